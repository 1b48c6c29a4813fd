"""Proxies that know each other: who is there, who said that it goes, who is silent. Free of I/O; net/node.py
has the sockets.
"""
