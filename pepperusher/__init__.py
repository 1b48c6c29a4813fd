"""A load balancer for services that call services, deciding by one breaker per server."""

__version__ = "0.4.0"
