"""Agreement on a replicated log (Raft), for duties that only one proxy may hold at a time. It does no I/O. The
state machine of the duties is not implemented yet.
"""
