"""Rehearsals: a stand-in fleet, open-loop load, books on both sides and experiments. `serve` imports none of
it."""
