"""The current endpoint list: applies updates to it and passes the changes on to the balancer and the connections."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from pepperusher.endpoint import Endpoint, FilterEndpoints
from pepperusher.net import clock
from pepperusher.net.endpoint_update import GONE, EndpointUpdate, format_address
from pepperusher.net.log import Log
from pepperusher.net.stopped_endpoints import StoppedEndpoints

# Number of endpoints named in one log line.
LOGGED_ENDPOINTS_MAX = 8


class EndpointListener(Protocol):
    """Receives list changes and sets the wait before the next call to discovery: a proxy's balancer, or a control
    machine's relay.
    """

    def update_endpoints(self, entries: Iterable[Endpoint], whole: bool, now: int) -> None:
        """Takes changed entries; `whole` says that they are the full list."""
        ...

    def endpoint_request_failed(self, now: int) -> None:
        """Records that the list may be out of date."""
        ...

    def endpoint_request_delay(self, now: int) -> int:
        """Returns the wait before the next call to discovery, in microseconds; negative for none."""
        ...


class EndpointConnections(Protocol):
    """Holds the connections to the listed endpoints."""

    def set_address(self, name: str, address: tuple[str, int], ready: bool) -> None:
        """Sets the address of an endpoint, and whether idle connections to it are kept."""
        ...

    def retain_only(self, names: set[str]) -> None:
        """Drops all endpoints that are not in `names`."""
        ...


class EndpointTable:
    """The endpoint list with the extensions' filters.

    `filters` are in the order in which they apply: the last one decides.
    """

    def __init__(
        self, facade: EndpointListener, backends: EndpointConnections, log: Log, filters: Sequence[FilterEndpoints]
    ) -> None:
        self._facade = facade
        self._backends = backends
        self._log = log
        self._filters = filters
        # Each endpoint's entry and address; emptied with the list.
        self._endpoints: dict[str, tuple[Endpoint, tuple[str, int]]] = {}
        self._stopped_endpoints = StoppedEndpoints()
        # Endpoints that are ready only in an older list than the one that stopped them; treated as draining for now.
        self._held_as_draining: dict[str, Endpoint] = {}

    @property
    def size(self) -> int:
        return len(self._endpoints)

    @property
    def empty(self) -> bool:
        return not self._endpoints

    def servers(self) -> list[dict[str, Any]]:
        """The list in discovery's JSON form."""
        return [
            {
                "id": entry.id,
                "addr": format_address(address),
                "zone": entry.zone,
                "cell": entry.cell,
                "weight": entry.weight,
                "kind": entry.kind,
                "state": "ready" if entry.ready else "draining",
                "started_ms": entry.started_at / 1000,
            }
            for entry, address in self._endpoints.values()
        ]

    def apply(self, update: EndpointUpdate, source_address: tuple[str, int]) -> None:
        """Applies an update that discovery sent from `source_address`."""
        unlisted = self._unlisted_by(update)
        self._log_changes(update, unlisted, source_address)
        self._stopped_endpoints.note(update, unlisted, clock.now())
        if update.whole:
            self._endpoints.clear()
            self._held_as_draining.clear()
        for entry in update.entries:
            self._held_as_draining.pop(entry.id, None)
        for entry, address in zip(update.entries, update.addresses):
            self._endpoints[entry.id] = entry, address
        if update.entries or update.whole:
            self.publish(update.entries, update.whole)
        for entry, address in zip(update.entries, update.addresses):
            if address == GONE:
                self._endpoints.pop(entry.id, None)

    def _unlisted_by(self, update: EndpointUpdate) -> list[Endpoint]:
        """The known endpoints that a full list leaves out."""
        if not update.whole:
            return []
        listed_ids = {entry.id for entry in update.entries}
        return [entry for name, (entry, _) in self._endpoints.items() if name not in listed_ids]

    def _log_changes(self, update: EndpointUpdate, unlisted: list[Endpoint], source_address: tuple[str, int]) -> None:
        """Logs which endpoints stop or resume receiving requests, and by which version."""
        changes = [f"{entry.id} not listed" for entry in unlisted if entry.ready]
        for entry in update.entries:
            known, _ = self._endpoints.get(entry.id, (None, GONE))
            if known is not None and known.ready != entry.ready:
                state = "ready again" if entry.ready else "gone" if entry.gone else "draining"
                changes.append(f"{entry.id} {state}")
        if changes:
            omitted = f" and {len(changes) - LOGGED_ENDPOINTS_MAX} more" if len(changes) > LOGGED_ENDPOINTS_MAX else ""
            self._log.say(
                f"version {update.version} of {format_address(source_address)}: {', '.join(changes[:LOGGED_ENDPOINTS_MAX])}{omitted}"
            )

    def publish(self, entries: list[Endpoint], whole: bool = False, filters_applied: int = 0) -> None:
        """Filters the entries and passes them to the balancer and the connections; the first `filters_applied` filters
        have been applied already.

        An endpoint that a filter marks as draining keeps no idle connections either.
        """
        for entry_filter in self._filters[filters_applied:]:
            entries = entry_filter(entries, whole)
        for entry in entries:
            _, address = self._endpoints.get(entry.id, (None, GONE))
            self._backends.set_address(entry.id, address, entry.ready)
        if whole:
            self._backends.retain_only({entry.id for entry in entries})
        if entries or whole:
            self._facade.update_endpoints(entries, whole, clock.now())

    def changes_to(self, update: EndpointUpdate) -> EndpointUpdate:
        """The differences between a full list and this one, as an incremental update."""
        listed_ids = {entry.id for entry in update.entries}
        changed = [
            (entry, address)
            for entry, address in zip(update.entries, update.addresses)
            if self._endpoints.get(entry.id) != (entry, address)
        ]
        changed += [
            (entry._replace(ready=False, gone=True), GONE)
            for name, (entry, _) in self._endpoints.items()
            if name not in listed_ids
        ]
        return EndpointUpdate(
            update.version, False, [entry for entry, _ in changed], [address for _, address in changed]
        )

    def lifted_by(self, update: EndpointUpdate) -> set[str]:
        """Endpoints that an older update lists as ready although a newer one stopped them and they have not restarted
        since.
        """
        return self._stopped_endpoints.lifted_by(update, clock.now())

    def hold(self, entries: Iterable[Endpoint]) -> dict[str, Endpoint]:
        """Remembers endpoints that only an older list has as ready; they have been applied as draining. Pass the result
        to `release`.
        """
        held = {entry.id: entry for entry in entries}
        self._held_as_draining.update(held)
        return held

    def release(self, held: dict[str, Endpoint]) -> None:
        """Makes held endpoints ready that no update has mentioned since: the older list was not merely delayed."""
        still_held = [entry for name, entry in held.items() if self._held_as_draining.get(name) is entry]
        for entry in still_held:
            del self._held_as_draining[entry.id]
            self._endpoints[entry.id] = entry, self._endpoints[entry.id][1]
        if still_held:
            self.publish(still_held)
