"""Limits before the breakers: how many tickets at once and how often, and who waits; none chooses a
server."""
