"""The admin interface: calls that ban backends, send clients away, and report whether this process can serve."""
