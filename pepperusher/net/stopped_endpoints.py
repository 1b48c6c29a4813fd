"""Remembers which endpoints discovery has drained or removed, and by which version, so that an older list does not undo
it.
"""

from __future__ import annotations

from typing import NamedTuple

from pepperusher.endpoint import Endpoint
from pepperusher.net.endpoint_update import EndpointUpdate

# How long a stop is kept against an older list, in microseconds. By then a watch that delivered such a list has also
# delivered newer updates, or its versions are a count of their own.
STOP_KEPT_US = 6_000_000


class _Stop(NamedTuple):
    """A stop: the version of the update that reported it, the start time of the endpoint, and when the update arrived."""

    version: int
    born: int
    stopped_at: int


class StoppedEndpoints:
    """The endpoints that were stopped recently. Times are microseconds of the proxy's clock."""

    def __init__(self) -> None:
        self._stops: dict[str, _Stop] = {}  # entries are removed by age and when the endpoint is ready again

    def note(self, update: EndpointUpdate, unlisted: list[Endpoint], now: int) -> None:
        """Records an applied update; `unlisted` are the known endpoints that it leaves out as a full list."""
        for entry in update.entries:
            if entry.ready:
                self._stops.pop(entry.id, None)
            else:
                self._stops[entry.id] = _Stop(update.version, entry.started_at, now)
        for entry in unlisted:
            self._stops[entry.id] = _Stop(update.version, entry.started_at, now)
        for endpoint_id, stop in list(self._stops.items()):
            if now - stop.stopped_at >= STOP_KEPT_US:
                del self._stops[endpoint_id]

    def lifted_by(self, update: EndpointUpdate, now: int) -> set[str]:
        """Endpoints that an older update lists as ready although a newer one stopped them and they have not restarted
        since.
        """
        lifted = set()
        for entry in update.entries:
            stop = self._stops.get(entry.id)
            if stop is None or not entry.ready:
                continue
            if stop.version > update.version and entry.started_at <= stop.born and now - stop.stopped_at < STOP_KEPT_US:
                lifted.add(entry.id)
        return lifted
