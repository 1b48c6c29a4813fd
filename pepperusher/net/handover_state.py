"""What a process passes on to the one that takes its place."""

from __future__ import annotations

from typing import Any, NamedTuple


class HandoverState(NamedTuple):
    """`source` is where discovery answers its writer, and `listed` the list that this goes by, in discovery's own form.
    `told_by_source` where that list's version is one of `source`, so that only changes after it need to be asked for.
    `expires_at` is when the list expires unless discovery confirms it, in microseconds of the machine's monotonic clock;
    None where no term of it ends. `learned` is the facade's, and read there.
    """

    source: str = ""
    listed: dict[str, Any] | None = None
    learned: dict[str, Any] | None = None
    told_by_source: bool = True
    expires_at: int | None = None
