"""Which endpoints discovery has told to drain or to be gone, and by which version: an older list does not lift that."""

from __future__ import annotations

from typing import NamedTuple

from pepperusher.endpoint import Endpoint
from pepperusher.net.endpoint_update import EndpointUpdate

# So long after it was told, in microseconds, a stop is kept against an older list: by then a watch that tells
# such a list has told what is newer, or its versions are its own.
KEPT_FOR = 6_000_000


class _Stop(NamedTuple):
    version: int
    born: int
    at: int


class StoppedEndpoints:
    """Times are microseconds of the proxy's clock."""

    def __init__(self) -> None:
        self._stops: dict[str, _Stop] = {}  # emptied by age, and as endpoints come back

    def note(self, update: EndpointUpdate, unlisted: list[Endpoint], now: int) -> None:
        """An update that is taken; `unlisted` are those known before that it leaves out as a whole list."""
        for entry in update.entries:
            if entry.ready:
                self._stops.pop(entry.id, None)
            else:
                self._stops[entry.id] = _Stop(update.version, entry.started_at, now)
        for entry in unlisted:
            self._stops[entry.id] = _Stop(update.version, entry.started_at, now)
        for name, stop in list(self._stops.items()):
            if now - stop.at >= KEPT_FOR:
                del self._stops[name]

    def lifted_by(self, update: EndpointUpdate, now: int) -> set[str]:
        """Those that an older update has as ready, though a newer one has stopped them and they have not started since."""
        lifted = set()
        for entry in update.entries:
            stop = self._stops.get(entry.id)
            if stop is None or not entry.ready:
                continue
            if stop.version > update.version and entry.started_at <= stop.born and now - stop.at < KEPT_FOR:
                lifted.add(entry.id)
        return lifted
