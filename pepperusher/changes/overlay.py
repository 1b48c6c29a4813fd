"""Applies the operators' overrides to the endpoints from discovery; free of I/O.

There are two owners of overrides beside discovery. A mark of the configuration file's `backends` table drains a backend or
scales its weight, and goes when the file no longer has it. A manual drain belongs to the operator who set it, and stays until
it is lifted, whatever replaces the file. A backend is ready only if discovery and every owner say so.
"""

from __future__ import annotations

from collections.abc import Mapping

from pepperusher.backend_commands import AdminCommand, BackendCommands
from pepperusher.configuration.tables import Mark
from pepperusher.endpoint_filter import EndpointFilter
from pepperusher.facade import Endpoint


class Overlay:
    """Filters endpoint updates through the overrides: `lines` filters an update, `ready` gives the endpoints that discovery
    lists as ready.
    """

    def __init__(self) -> None:
        self._marks: Mapping[str, Mark] = {}
        self.manual_drains = BackendCommands()
        self._filter = EndpointFilter(self._override)
        self.lines = self._filter.filter
        self.ready = self._filter.ready_endpoints

    def _override(self, entry: Endpoint) -> Endpoint:
        return self.manual_drains.apply(self._apply_mark(entry))

    def _apply_mark(self, entry: Endpoint) -> Endpoint:
        mark = self._marks.get(entry.id)
        if mark is None:
            return entry
        weight = entry.weight * mark.weight if mark.weight is not None else entry.weight
        return entry._replace(weight=weight, ready=entry.ready and not mark.drain)

    def set_marks(self, marks: Mapping[str, Mark]) -> list[Endpoint]:
        """Replaces the marks and returns the endpoints whose effective state changes."""

        def set_marks() -> None:
            self._marks = marks

        return self._filter.replace_marks(set_marks)

    def merge_manual_drains(self, commands: Mapping[str, AdminCommand], now: int) -> list[Endpoint]:
        """Merges commands of operators, of which later ones win, and returns the endpoints whose effective state changes."""
        return self._filter.replace_marks(lambda: self.manual_drains.merge(commands, now))

    def unlisted_marks(self, marks: Mapping[str, Mark]) -> list[str]:
        """Ids of overridden backends that discovery does not list as ready."""
        return sorted(name for name in marks if name not in self._filter)
