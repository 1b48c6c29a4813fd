"""What must hold: asserted in debug, counted in release (`python -O`), where one slip must not end a proxy."""

from __future__ import annotations

broken: dict[str, int] = {}  # keyed by the texts in the code, so it grows with the code alone


def check_invariant(truth: bool, what: str) -> None:
    if not truth:
        assert False, what
        broken[what] = broken.get(what, 0) + 1
