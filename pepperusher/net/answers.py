"""What the control socket answers, out of the running proxy."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterable
from itertools import islice
from typing import Any, Protocol

from pepperusher import __version__
from pepperusher.changes.transaction_log import Change, TransactionError
from pepperusher.control.socket import Control
from pepperusher.control.messages import ROWS
from pepperusher.net import clock
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.configuration_manager import ConfigurationManager
from pepperusher.configuration.loader import ConfigurationError


def _change(change: Change) -> dict[str, Any]:
    return {
        "number": change.number,
        "name": change.name,
        "state": change.state,
        "who": change.steps[0].who,
        "why": change.steps[0].why,
        "steps": [[step.state, step.when, step.who, step.why] for step in change.steps],
    }


def _rows(key: str, rows: Iterable[dict[str, Any]]) -> Iterable[dict[str, Any]]:
    """An answer in parts of so many rows."""
    left = iter(rows)
    part = list(islice(left, ROWS))
    while following := list(islice(left, ROWS)):
        yield {"ok": True, key: part, "more": True}
        part = following
    yield {"ok": True, key: part}


class Members(Protocol):
    """The group, as it can be asked."""

    def members(self) -> dict[str, Any] | None: ...

    def forget(self, name: str) -> bool: ...


class Shared(Protocol):
    """What control machines distribute, as it can be asked."""

    def status(self) -> dict[str, Any]: ...


class Answers(Extension):
    """The control socket that the own file names, for as long as the proxy serves."""

    def __init__(
        self,
        house: ConfigurationManager,
        members: Members | None,
        say: Callable[..., None],
        shared: Shared | None = None,
    ) -> None:
        self._house = house
        self._shared = shared
        self._members = members
        said = house.active_configuration.version.read.own.control
        assert said.socket is not None
        self._control = Control(said.socket, said.connections, said.within / 1e6, self.to, say)
        self._host: ExtensionHost

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    async def start(self) -> None:
        """Raises ControlError where the socket can't be opened."""
        await self._control.listen()

    async def stop(self) -> None:
        self._control.close()

    async def to(self, command: str, said: dict[str, Any]) -> AsyncIterator[dict[str, Any]]:
        try:
            if command in ("propose", "confirm", "undo", "drain"):
                yield {"ok": True, "change": _change(await self._change(command, said))}
                return
        except ConfigurationError as error:
            yield {
                "ok": False,
                "why": "the file is not taken",
                "faults": [str(fault) for fault in error.faults],
            }
            return
        except TransactionError as error:
            yield {"ok": False, "why": str(error)}
            return
        if command in ("members", "forget"):
            for part in self._of_group(command, said):
                yield part
            return
        for part in self._read(command):
            yield part

    def _of_group(self, command: str, said: dict[str, Any]) -> Iterable[dict[str, Any]]:
        group = self._members.members() if self._members is not None else None
        if group is None or self._members is None:
            yield {"ok": False, "why": "this proxy is in no group" + ("" if self._members is None else " yet")}
        elif command == "forget":
            name = said.get("id") or ""
            if self._members.forget(name):
                yield {"ok": True, "forgotten": name}
            else:
                yield {"ok": False, "why": f"{name[:100]!r} is no member that is silent or gone"}
        else:
            rows = group.pop("members")
            for part in _rows("members", rows):
                yield {**part, **group}

    async def _change(self, command: str, said: dict[str, Any]) -> Change:
        house, who, why = self._house, said.get("who") or "ctl", said.get("why") or "none given"
        if command == "confirm":
            return await house.confirm(said.get("number"), who, why)
        if command == "undo":
            return await house.undo(said.get("number"), who, why)
        if command == "propose":
            text = said.get("text")
            return await (house.propose_file(who, why) if text is None else house.propose_text(text, who, why))
        return await house.drain(said.get("id") or "", bool(said.get("undo")), who, why)

    def _read(self, command: str) -> Iterable[dict[str, Any]]:
        house, facade = self._house, self._host.facade
        if command == "status":
            standing = house.active_configuration
            change = standing.ledger.open
            yield {
                "ok": True,
                "program": __version__,
                "version": standing.version.number,
                "digest": standing.version.read.digest,
                "versions": sorted(standing.versions),
                "in_hand": facade.open_tickets,
                "stopping": self._host.stopping,
                "open_change": None if change is None else _change(change),
                "kept_out": dict(house.kept_out),
                "limits": standing.gates(),
                "distribution": None if self._shared is None else self._shared.status(),
                "since_change": {
                    "done": standing.toll.since.done,
                    "bounced": standing.toll.since.bounced,
                    "scrapped": standing.toll.since.scrapped,
                },
            }
        elif command == "history":
            yield from _rows("changes", map(_change, house.active_configuration.ledger.history))
        elif command == "tickets":
            yield from _rows("tickets", facade.tickets(clock.now()))
        elif command == "backends":
            yield from _rows("backends", facade.backends())
        else:
            yield from _rows(
                "breakers",
                ({key: one[key] for key in ("id", "state", "failed", "of", "run_failed")} for one in facade.backends()),
            )
