"""Capacity planning: measures how costs grow with the size of a fleet and projects them to a target size. `serve`
imports none of this package.
"""
