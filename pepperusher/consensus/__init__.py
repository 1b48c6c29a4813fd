"""Duties that only one proxy may hold: voters that agree on a log. Free of I/O; what the log says of duties
comes next.
"""
