"""Answers commands on the control socket from the state of the running proxy."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from itertools import islice
from typing import Any, Protocol

from pepperusher import __version__
from pepperusher.backend_commands import AdminCommand
from pepperusher.changes.transaction_log import Change, TransactionError
from pepperusher.control.socket import Control
from pepperusher.control.messages import ROWS
from pepperusher.net import clock
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.configuration_manager import ConfigurationManager
from pepperusher.configuration.loader import ConfigurationError


def _change(change: Change) -> dict[str, Any]:
    """A configuration change as it is shown to operators."""
    return {
        "number": change.number,
        "name": change.name,
        "state": change.state,
        "who": change.steps[0].who,
        "why": change.steps[0].why,
        "steps": [[step.state, step.when, step.who, step.why] for step in change.steps],
    }


def _rows(key: str, rows: Iterable[dict[str, Any]]) -> Iterable[dict[str, Any]]:
    """Splits an answer into parts of at most ROWS rows."""
    remaining = iter(rows)
    rows_of_part = list(islice(remaining, ROWS))
    while next_rows := list(islice(remaining, ROWS)):
        yield {"ok": True, key: rows_of_part, "more": True}
        rows_of_part = next_rows
    yield {"ok": True, key: rows_of_part}


def _taken_out(by: str, commands: Mapping[str, AdminCommand]) -> list[dict[str, Any]]:
    """The backends that operators took out, as they are shown to operators; `by` names where the commands were given."""
    return [
        {"id": backend, "by": by, "who": command.who, "why": command.why, "since": command.at}
        for backend, command in sorted(commands.items())
        if command.on
    ]


class Members(Protocol):
    """The group of proxies, as far as control commands use it."""

    def members(self) -> dict[str, Any] | None: ...

    def forget(self, name: str) -> bool: ...


class Shared(Protocol):
    """The configuration that control machines distribute, as far as control commands use it."""

    def status(self) -> dict[str, Any]: ...


class ControlAnswers(Extension):
    """The control socket that the configuration file names. It is open while the proxy serves; of two processes of one
    proxy, the earlier one has it until it is told to end.
    """

    def __init__(
        self,
        manager: ConfigurationManager,
        members: Members | None,
        say: Callable[..., None],
        shared: Shared | None = None,
        bans: Mapping[str, AdminCommand] | None = None,
    ) -> None:
        self._bans = bans if bans is not None else {}
        self._manager = manager
        self._shared = shared
        self._members = members
        control = manager.active_configuration.version.read.own.control
        assert control.socket is not None
        self._control = Control(control.socket, control.connections, control.within / 1e6, self.answer, say)
        self._host: ExtensionHost

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    def prepare(self) -> None:
        """Raises ControlError if the socket cannot be opened, or if a proxy has it that this process does not replace."""
        self._control.check(self._host.has_predecessor)

    async def start(self) -> None:
        await self._control.hold()

    def drain_started(self, until: int) -> None:
        """Leaves the socket to the successor, if there is one."""
        if self._host.has_successor:
            self._control.release()

    async def stop(self) -> None:
        self._control.close()

    async def answer(self, command: str, arguments: dict[str, Any]) -> AsyncIterator[dict[str, Any]]:
        """Answers one command, in one or several parts."""
        try:
            if command in ("propose", "confirm", "undo", "drain"):
                yield {"ok": True, "change": _change(await self._apply_change(command, arguments))}
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
            for part in self._group_answers(command, arguments):
                yield part
            return
        for part in self._read_state(command):
            yield part

    def _group_answers(self, command: str, arguments: dict[str, Any]) -> Iterable[dict[str, Any]]:
        """Answers commands about the group of proxies."""
        group = self._members.members() if self._members is not None else None
        if group is None or self._members is None:
            yield {"ok": False, "why": "this proxy is in no group" + ("" if self._members is None else " yet")}
        elif command == "forget":
            name = arguments.get("id") or ""
            if self._members.forget(name):
                yield {"ok": True, "forgotten": name}
            else:
                yield {"ok": False, "why": f"{name[:100]!r} is no member that is silent or gone"}
        else:
            rows = group.pop("members")
            for part in _rows("members", rows):
                yield {**part, **group}

    async def _apply_change(self, command: str, arguments: dict[str, Any]) -> Change:
        """Carries out a command that changes the configuration."""
        manager, who, why = self._manager, arguments.get("who") or "ctl", arguments.get("why") or "none given"
        if command == "confirm":
            return await manager.confirm(arguments.get("number"), who, why)
        if command == "undo":
            return await manager.undo(arguments.get("number"), who, why)
        if command == "propose":
            text = arguments.get("text")
            return await (manager.propose_file(who, why) if text is None else manager.propose_text(text, who, why))
        return await manager.drain(arguments.get("id") or "", bool(arguments.get("undo")), who, why)

    def _read_state(self, command: str) -> Iterable[dict[str, Any]]:
        """Answers commands that only read the proxy's state."""
        manager, facade = self._manager, self._host.facade
        if command == "status":
            active = manager.active_configuration
            change = active.ledger.open
            yield {
                "ok": True,
                "program": __version__,
                "version": active.version.number,
                "digest": active.version.read.digest,
                "versions": sorted(active.versions),
                "in_hand": facade.open_tickets,
                "stopping": self._host.stopping,
                "open_change": None if change is None else _change(change),
                "kept_out": dict(manager.kept_out),
                "limits": active.gates(),
                "taken_out": [*_taken_out("ctl", manager.manual_drains), *_taken_out("console", self._bans)],
                "distribution": None if self._shared is None else self._shared.status(),
                "since_change": {
                    "done": active.toll.since.done,
                    "bounced": active.toll.since.bounced,
                    "scrapped": active.toll.since.scrapped,
                },
            }
        elif command == "history":
            yield from _rows("changes", map(_change, manager.active_configuration.ledger.history))
        elif command == "tickets":
            yield from _rows("tickets", facade.tickets(clock.now()))
        elif command == "backends":
            yield from _rows("backends", facade.backends())
        else:
            yield from _rows(
                "breakers",
                (
                    {key: backend[key] for key in ("id", "state", "failed", "of", "run_failed")}
                    for backend in facade.backends()
                ),
            )
