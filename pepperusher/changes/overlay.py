"""Applies the operator overrides of the proxy's own configuration to the endpoints from discovery; free of I/O.

An override (a `Mark` of the `backends` table) drains a backend or scales its weight. A backend is ready only if both
discovery and its override say so.
"""

from __future__ import annotations

from collections.abc import Mapping

from pepperusher.facade import Endpoint
from pepperusher.endpoint_filter import EndpointFilter
from pepperusher.configuration.tables import Mark


class Overlay:
    """Filters endpoint updates through the overrides: `lines` filters an update, `ready` gives the ready endpoints."""

    def __init__(self) -> None:
        self._marks: Mapping[str, Mark] = {}
        self._filter = EndpointFilter(self._apply_mark)
        self.lines = self._filter.filter
        self.ready = self._filter.ready_endpoints

    def _apply_mark(self, entry: Endpoint) -> Endpoint:
        mark = self._marks.get(entry.id)
        if mark is None:
            return entry
        weight = entry.weight * mark.weight if mark.weight is not None else entry.weight
        return entry._replace(weight=weight, ready=entry.ready and not mark.drain)

    def set_marks(self, marks: Mapping[str, Mark]) -> list[Endpoint]:
        """Replaces the overrides and returns the endpoints whose effective state changes."""

        def set_marks() -> None:
            self._marks = marks

        return self._filter.replace_marks(set_marks)

    def unlisted_marks(self, marks: Mapping[str, Mark]) -> list[str]:
        """Ids of overridden backends that discovery does not list as ready."""
        return sorted(name for name in marks if name not in self._filter)
