"""pepperusher: a load balancer for services that call services."""
