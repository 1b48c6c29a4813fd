"""What a fleet costs by its size: slopes measured, projected on a target, and read from a page. `serve`
imports none of it.
"""
