"""What the control socket answers, out of the running proxy."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Iterable
from itertools import islice
from typing import TYPE_CHECKING, Any

from pepperusher import __version__
from pepperusher.changes.ledger import Change, LedgerError
from pepperusher.control.words import ROWS
from pepperusher.facade import Facade
from pepperusher.net import clock
from pepperusher.own.reading import OwnError

if TYPE_CHECKING:
    from pepperusher.net.house import House


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


class Answers:
    def __init__(self, house: House, facade: Facade, stopping: asyncio.Event) -> None:
        self._house = house
        self._facade = facade
        self._stopping = stopping

    async def to(self, command: str, said: dict[str, Any]) -> AsyncIterator[dict[str, Any]]:
        try:
            if command in ("propose", "confirm", "undo", "drain"):
                yield {"ok": True, "change": _change(await self._change(command, said))}
                return
        except OwnError as error:
            yield {
                "ok": False,
                "why": "the file is not taken",
                "faults": [str(fault) for fault in error.faults],
            }
            return
        except LedgerError as error:
            yield {"ok": False, "why": str(error)}
            return
        for part in self._read(command):
            yield part

    async def _change(self, command: str, said: dict[str, Any]) -> Change:
        house, who, why = self._house, said.get("who") or "ctl", said.get("why") or "none given"
        if command == "confirm":
            return await house.confirm(said.get("number"), who, why)
        if command == "undo":
            return await house.undo(said.get("number"), who, why)
        if command == "propose":
            text = said.get("text")
            return await (
                house.propose_file(who, why) if text is None else house.propose_text(text, who, why)
            )
        return await house.drain(said.get("id") or "", bool(said.get("undo")), who, why)

    def _read(self, command: str) -> Iterable[dict[str, Any]]:
        house, facade = self._house, self._facade
        if command == "status":
            standing = house.standing
            change = standing.ledger.open
            yield {
                "ok": True,
                "program": __version__,
                "version": standing.version.number,
                "digest": standing.version.read.digest,
                "versions": sorted(standing.versions),
                "in_hand": facade.in_hand,
                "stopping": self._stopping.is_set(),
                "open_change": None if change is None else _change(change),
                "kept_out": dict(house.kept_out),
                "limits": standing.gates(),
                "since_change": {
                    "done": standing.toll.since.done,
                    "bounced": standing.toll.since.bounced,
                    "scrapped": standing.toll.since.scrapped,
                },
            }
        elif command == "history":
            yield from _rows("changes", map(_change, house.standing.ledger.history))
        elif command == "tickets":
            yield from _rows("tickets", facade.tickets(clock.now()))
        elif command == "backends":
            yield from _rows("backends", facade.backends())
        else:
            yield from _rows(
                "breakers",
                (
                    {key: one[key] for key in ("id", "state", "failed", "of", "run_failed")}
                    for one in facade.backends()
                ),
            )
