"""The list of backends as discovery tells it, narrowed by the marks of our own file; free of I/O.

A mark can drain a backend or change its weight. It never lifts what discovery told: a backend is ready where
both say so, and every word of discovery's goes through at once, whatever change is open.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from pepperusher.facade import Entry
from pepperusher.own.tables import Mark


class Overlay:
    def __init__(self) -> None:
        self._told: dict[
            str, Entry
        ] = {}  # discovery's last word of each that is ready; emptied with the list
        self._marks: Mapping[str, Mark] = {}

    def _marked(self, entry: Entry) -> Entry:
        mark = self._marks.get(entry.id)
        if mark is None:
            return entry
        weight = entry.weight * mark.weight if mark.weight is not None else entry.weight
        return entry._replace(weight=weight, ready=entry.ready and not mark.drain)

    def lines(self, entries: Iterable[Entry], whole: bool) -> list[Entry]:
        """News of discovery's, as the decisions are to have it."""
        if whole:
            self._told.clear()
        made = []
        for entry in entries:
            if entry.ready:
                self._told[entry.id] = entry
            else:
                # Draining or gone: no mark has anything to say of it, and no undo brings it back.
                self._told.pop(entry.id, None)
            made.append(self._marked(entry))
        return made

    def turn(self, marks: Mapping[str, Mark]) -> list[Entry]:
        """Other marks from now on; the lines that change by it, of backends that discovery has as ready
        alone."""
        before = {name: self._marked(entry) for name, entry in self._told.items()}
        self._marks = marks
        return [after for name, entry in self._told.items() if (after := self._marked(entry)) != before[name]]

    def ready(self) -> list[Entry]:
        """Those that discovery has as ready."""
        return list(self._told.values())

    def unknown(self, marks: Mapping[str, Mark]) -> list[str]:
        """Marks on backends that the list does not have as ready now."""
        return sorted(name for name in marks if name not in self._told)
