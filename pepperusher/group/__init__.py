"""Membership of a group of proxies: which are alive, have left or are silent. It does no I/O; net/node.py has the
sockets.
"""
