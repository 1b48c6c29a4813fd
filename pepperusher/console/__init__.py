"""The operators' door: calls that take backends out, send clients away, and tell whether this process can
serve."""
