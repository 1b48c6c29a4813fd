"""The state that a process hands over to its successor."""

from __future__ import annotations

from typing import Any, NamedTuple


class HandoverState(NamedTuple):
    """State handed over to the next process of the same proxy.

    `source` is the address of discovery that the writer uses, and `listed` the writer's list in discovery's JSON form.
    `told_by_source` says that the list's version is one of `source`, so that only later changes need to be requested.
    `expires_at` is when the list expires unless discovery confirms it, in microseconds of the machine's monotonic
    clock; None without a running deadline. `learned` is the facade's state and is validated there.
    """

    source: str = ""
    listed: dict[str, Any] | None = None
    learned: dict[str, Any] | None = None
    told_by_source: bool = True
    expires_at: int | None = None
