"""Invariant checks. They raise in debug mode and are only counted under `python -O`, where one violation must not end
a proxy."""

from __future__ import annotations

violations: dict[str, int] = {}  # violations by the text of the check, so bounded by the number of checks


def check_invariant(holds: bool, description: str) -> None:
    """Asserts or counts an invariant; `description` says what has to be true."""
    if not holds:
        assert False, description
        violations[description] = violations.get(description, 0) + 1
