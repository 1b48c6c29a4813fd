"""The list of endpoints as it stands: what updates make of it, and who acts on that."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

from pepperusher.endpoint import Endpoint, FilterEndpoints
from pepperusher.net import clock
from pepperusher.net.endpoint_update import GONE, EndpointUpdate, format_address
from pepperusher.net.log import Log
from pepperusher.net.stopped_endpoints import StoppedEndpoints

# So many endpoints are named in a line of the log at the most.
NAMED_MOST = 8


class Decides(Protocol):
    """What a list is told to, and what says when to ask again: a proxy's decisions, or a control machine's part for
    it."""

    def update_endpoints(self, entries: Iterable[Endpoint], whole: bool, now: int) -> None: ...

    def endpoint_request_failed(self, now: int) -> None: ...

    def endpoint_request_delay(self, now: int) -> int: ...


class Reaches(Protocol):
    """What holds connections to those listed."""

    def set_address(self, name: str, address: tuple[str, int], ready: bool) -> None: ...

    def retain_only(self, names: set[str]) -> None: ...


class EndpointTable:
    """`narrows` are what extensions make of each line, in this order: the last has the last word."""

    def __init__(self, facade: Decides, backends: Reaches, log: Log, narrows: Sequence[FilterEndpoints]) -> None:
        self._facade = facade
        self._backends = backends
        self._log = log
        self._narrows = narrows
        # What the list says of each, and where it is reached; emptied with the list.
        self._told: dict[str, tuple[Endpoint, tuple[str, int]]] = {}
        self._stopped = StoppedEndpoints()
        # Ready by an older list than the one that stopped them, and taken as draining for now.
        self._held: dict[str, Endpoint] = {}

    @property
    def size(self) -> int:
        return len(self._told)

    @property
    def empty(self) -> bool:
        return not self._told

    def servers(self) -> list[dict[str, Any]]:
        """In discovery's own form."""
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
            for entry, address in self._told.values()
        ]

    def apply(self, update: EndpointUpdate, by: tuple[str, int]) -> None:
        """An update that discovery told at the address `by`."""
        unlisted = self._unlisted_by(update)
        self._log_changes(update, unlisted, by)
        self._stopped.note(update, unlisted, clock.now())
        if update.whole:
            self._told.clear()
            self._held.clear()
        for entry in update.entries:
            self._held.pop(entry.id, None)
        for entry, address in zip(update.entries, update.addresses):
            self._told[entry.id] = entry, address
        if update.entries or update.whole:
            self.publish(update.entries, update.whole)
        for entry, address in zip(update.entries, update.addresses):
            if address == GONE:
                self._told.pop(entry.id, None)

    def _unlisted_by(self, update: EndpointUpdate) -> list[Endpoint]:
        """Those known that a whole list leaves out."""
        if not update.whole:
            return []
        named = {entry.id for entry in update.entries}
        return [entry for name, (entry, _) in self._told.items() if name not in named]

    def _log_changes(self, update: EndpointUpdate, unlisted: list[Endpoint], by: tuple[str, int]) -> None:
        """Which endpoints are to have nothing more from here on, or may have it again, and by which word."""
        changes = [f"{entry.id} not listed" for entry in unlisted if entry.ready]
        for entry in update.entries:
            known, _ = self._told.get(entry.id, (None, GONE))
            if known is not None and known.ready != entry.ready:
                state = "ready again" if entry.ready else "gone" if entry.gone else "draining"
                changes.append(f"{entry.id} {state}")
        if changes:
            more = f" and {len(changes) - NAMED_MOST} more" if len(changes) > NAMED_MOST else ""
            self._log.say(f"version {update.version} of {format_address(by)}: {', '.join(changes[:NAMED_MOST])}{more}")

    def publish(self, entries: list[Endpoint], whole: bool = False, past: int = 0) -> None:
        """Lines to be acted on, once those who narrow them had their say; the first `past` of these had it.
        What is drained by a mark or an order has no connection kept either."""
        for narrow in self._narrows[past:]:
            entries = narrow(entries, whole)
        for entry in entries:
            _, address = self._told.get(entry.id, (None, GONE))
            self._backends.set_address(entry.id, address, entry.ready)
        if whole:
            self._backends.retain_only({entry.id for entry in entries})
        if entries or whole:
            self._facade.update_endpoints(entries, whole, clock.now())

    def changes_to(self, update: EndpointUpdate) -> EndpointUpdate:
        """What of a whole list is different here, as an update of changes."""
        there = {entry.id for entry in update.entries}
        changed = [
            (entry, address)
            for entry, address in zip(update.entries, update.addresses)
            if self._told.get(entry.id) != (entry, address)
        ]
        changed += [
            (entry._replace(ready=False, gone=True), GONE)
            for name, (entry, _) in self._told.items()
            if name not in there
        ]
        return EndpointUpdate(update.version, False, [one for one, _ in changed], [one for _, one in changed])

    def lifted_by(self, update: EndpointUpdate) -> set[str]:
        """Those that an older update has as ready, though a newer one has stopped them and they have not started since."""
        return self._stopped.lifted_by(update, clock.now())

    def hold(self, entries: Iterable[Endpoint]) -> dict[str, Endpoint]:
        """They are ready by an older list alone, and were applied as draining; `release` takes what this returns."""
        held = {entry.id: entry for entry in entries}
        self._held.update(held)
        return held

    def release(self, held: dict[str, Endpoint]) -> None:
        """It was no late list: what it had as ready, and nobody has told of since, is."""
        back = [entry for name, entry in held.items() if self._held.get(name) is entry]
        for entry in back:
            del self._held[entry.id]
            self._told[entry.id] = entry, self._told[entry.id][1]
        if back:
            self.publish(back)
