"""The marks of our own file on the list of backends; free of I/O.

A mark can drain a backend or change its weight. A backend is ready where discovery and the mark both say so.
"""

from __future__ import annotations

from collections.abc import Mapping

from pepperusher.facade import Endpoint
from pepperusher.endpoint_filter import EndpointFilter
from pepperusher.configuration.tables import Mark


class Overlay:
    def __init__(self) -> None:
        self._marks: Mapping[str, Mark] = {}
        self._narrowed = EndpointFilter(self._marked)
        self.lines = self._narrowed.filter
        self.ready = self._narrowed.ready_endpoints

    def _marked(self, entry: Endpoint) -> Endpoint:
        mark = self._marks.get(entry.id)
        if mark is None:
            return entry
        weight = entry.weight * mark.weight if mark.weight is not None else entry.weight
        return entry._replace(weight=weight, ready=entry.ready and not mark.drain)

    def turn(self, marks: Mapping[str, Mark]) -> list[Endpoint]:
        """Other marks from now on; the lines that change by it."""

        def turn() -> None:
            self._marks = marks

        return self._narrowed.replace_marks(turn)

    def unknown(self, marks: Mapping[str, Mark]) -> list[str]:
        """Marks on backends that the list does not have as ready now."""
        return sorted(name for name in marks if name not in self._narrowed)
