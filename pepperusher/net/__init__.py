"""The proxy on sockets: connections, HTTP and discovery around the balancing decisions; this package decides nothing
itself.
"""
