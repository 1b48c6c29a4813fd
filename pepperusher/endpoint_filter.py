"""The list of backends as discovery tells it, narrowed by a mark on each line; free of I/O.

A mark never lifts what discovery told: every word of discovery's goes through at once, whatever the marks are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from pepperusher.facade import Endpoint


class EndpointFilter:
    def __init__(self, mark: Callable[[Endpoint], Endpoint]) -> None:
        self._mark = mark
        # Discovery's last word of each that is ready; emptied with the list.
        self._told: dict[str, Endpoint] = {}

    def filter(self, entries: Iterable[Endpoint], whole: bool) -> list[Endpoint]:
        """An endpoint update, as the decisions are to have it: a line for each, in the same order."""
        if whole:
            self._told.clear()
        made = []
        for entry in entries:
            if entry.ready:
                self._told[entry.id] = entry
            else:
                # Draining or gone: no mark has anything to say of it, and no undo brings it back.
                self._told.pop(entry.id, None)
            made.append(self._mark(entry))
        return made

    def replace_marks(self, turn: Callable[[], None]) -> list[Endpoint]:
        """Other marks from now on, by `turn`; the lines that change by it, of backends that discovery has as
        ready alone."""
        before = {name: self._mark(entry) for name, entry in self._told.items()}
        turn()
        return [after for name, entry in self._told.items() if (after := self._mark(entry)) != before[name]]

    def ready_endpoints(self) -> list[Endpoint]:
        """Those that discovery has as ready."""
        return list(self._told.values())

    def __contains__(self, name: str) -> bool:
        return name in self._told
