"""The proxies of a rehearsal as one group: their own files, the links between them, and what each says that
it finds.
"""

from __future__ import annotations

import json
import time
from pathlib import Path
from random import Random
from typing import Any

from pepperusher.rehearsal.fleet_plan import Gate
from pepperusher.rehearsal.links import Links, LinkProperties
from pepperusher.rehearsal.records import MembershipBelief
from pepperusher.rehearsal.script import Grouped, Link, Script
from pepperusher.rehearsal.fault_schedule import Strike
from pepperusher.rehearsal.wire import clock

KEY = "of this rehearsal alone"
TWINS = 200  # hosts of second processes under one name come after those of all proxies
SECOND = 1_000_000
IN, SAYS = "in the group", "group: "


def link_properties(link: Link) -> LinkProperties:
    return LinkProperties(
        link.lost, link.twice, link.damaged, link.delay / SECOND, link.jitter / SECOND, link.size, link.rate
    )


def duplicate_gate(gate: Gate, net: int) -> Gate:
    """Another place for a second process under the same name."""
    number = TWINS + gate.number
    return Gate(
        gate.number,
        gate.name,
        gate.tier,
        gate.zone,
        gate.ordinal,
        gate.group,
        (f"127.{net}.{2 + number // 250}.{1 + number % 250}", gate.address[1]),
        gate.discovery,
        gate.of,
    )


class GroupRun:
    """`base` is the text of the own file that the members have beside this."""

    def __init__(self, script: Script, gates: list[Gate], net: int, work: Path, base: str = "") -> None:
        assert script.proxies.group is not None
        self._said: Grouped = script.proxies.group
        self._script = script
        self._gates = gates
        self._work = work
        self._base = base
        self._net = net
        self.links = Links(f"127.{net}.0.2", Random(f"{script.seed}:links"))
        self._on: dict[int, Strike] = {}  # faults of links that are on, by their number; emptied as they end

    async def open(self) -> None:
        """Before any process is started: each is told of the others by addresses that stand here."""
        for gate in self._gates:
            await self.links.open(gate.name)

    async def open_twin(self, gate: Gate) -> None:
        """A second process under its name has a place and links of its own."""
        if (seat := self.seat(gate, True)) not in self.links.names:
            await self.links.open(seat)

    # --- a process ------------------------------------------------------------------------------------

    def seat(self, gate: Gate, twin: bool) -> str:
        """What its links are called: the same for every process that stands there in turn."""
        return f"{gate.name}#2" if twin else gate.name

    def control(self, seat: str) -> Path:
        return self._work / f"{seat}.ctl"

    def write_own(self, gate: Gate, seat: str, folder: Path) -> Path:
        others = [one.name for one in self._gates if one is not gate][: self._said.seeds]
        host, port = self.links.address(seat)
        seeds = ", ".join(f'"{at[0]}:{at[1]}"' for at in map(self.links.address, others))
        base = self._base.replace("HERE", str(folder))
        text = (
            f'{base}\n[group]\nlisten = "{gate.address[0]}:0"\nadvertise = "{host}:{port}"\nseeds = [{seeds}]\n'
            f'key = "{KEY}"\nperiod = "{self._said.period}us"\nwithin = "{self._said.within}us"\n'
            f'[control]\nsocket = "{self.control(seat)}"\n[said]\nform = "json"\n'
        )
        path = self._work / f"{seat}.toml"
        path.write_text(text)
        return path

    def heard(self, gate: Gate, seat: str, line: dict[str, Any], start: int) -> MembershipBelief | None:
        """A line of its log: where it listens now, or what it finds, with the time of its saying."""
        event = str(line.get("event", ""))
        if event == IN:
            host, _, port = str(line["listen"]).rpartition(":")
            self.links.stands(seat, (host, int(port)))
            return None
        if not event.startswith(SAYS):
            return None
        said = float(line.get("time", time.time()))
        ago = max(0, round((time.time() - said) * SECOND))
        return MembershipBelief(
            gate.number,
            clock() - ago - start,
            event.removeprefix(SAYS),
            str(line.get("of", "")),
            str(line.get("by", "")),
        )

    # --- links --------------------------------------------------------------------------------------

    def struck(self, strike: Strike, on: bool) -> None:
        """A fault of links begins or ends; those that are still on stay so."""
        number = strike.targets[0]
        if on:
            self._on[number] = strike
        else:
            self._on.pop(number, None)
        self.links.heal()
        for other in self._on:
            fault = self._script.faults[other]
            if fault.what == "link-part":
                self.links.part(fault.sides)
            elif fault.what == "link-cut":
                self.links.cut(*fault.sides)
            elif fault.link is not None:
                self.links.shape(link_properties(fault.link), *fault.sides)


def parsed(line: bytes) -> dict[str, Any]:
    """A line of a log in JSON; empty where it is none."""
    if not line.startswith(b"{"):
        return {}
    try:
        told = json.loads(line)
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}
