"""Runs the proxies of a rehearsal as one group: their configuration files, the simulated links between them, and the
membership changes that each proxy logs.
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
DUPLICATE_HOST_OFFSET = 200  # offset of the host numbers of duplicate processes, beyond those of all proxies
SECOND = 1_000_000
IN, EVENT_PREFIX = "in the group", "group: "


def link_properties(link: Link) -> LinkProperties:
    return LinkProperties(
        link.lost, link.twice, link.damaged, link.delay / SECOND, link.jitter / SECOND, link.size, link.rate
    )


def duplicate_gate(gate: Gate, net: int) -> Gate:
    """A gate for a duplicate process of a proxy: the same name at another address."""
    number = DUPLICATE_HOST_OFFSET + gate.number
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
    """The group of one run. `base` is the text of the script's own configuration file, which precedes the group's
    settings."""

    def __init__(self, script: Script, gates: list[Gate], net: int, work: Path, base: str = "") -> None:
        assert script.proxies.group is not None
        self._group: Grouped = script.proxies.group
        self._script = script
        self._gates = gates
        self._work = work
        self._base = base
        self._net = net
        self.links = Links(f"127.{net}.0.2", Random(f"{script.seed}:links"))
        self._active_faults: dict[int, Strike] = {}  # active link faults by their number in the script

    async def open(self) -> None:
        """Opens the front of every proxy. Has to be called before any process starts, since the processes are configured
        with the addresses of the fronts."""
        for gate in self._gates:
            await self.links.open(gate.name)

    async def open_duplicate(self, gate: Gate) -> None:
        """Opens a front of its own for a duplicate process of a proxy."""
        if (instance_name := self.instance_name(gate, True)) not in self.links.names:
            await self.links.open(instance_name)

    # --- a process ------------------------------------------------------------------------------------

    def instance_name(self, gate: Gate, twin: bool) -> str:
        """The name of a proxy's front and files, the same for all processes that run one after another at a gate."""
        return f"{gate.name}#2" if twin else gate.name

    def control(self, instance_name: str) -> Path:
        """The path of a proxy's control socket."""
        return self._work / f"{instance_name}.ctl"

    def write_own(self, gate: Gate, instance_name: str, folder: Path) -> Path:
        """Writes the configuration file of one group member and returns its path."""
        others = [other.name for other in self._gates if other is not gate][: self._group.seeds]
        host, port = self.links.address(instance_name)
        seeds = ", ".join(f'"{address[0]}:{address[1]}"' for address in map(self.links.address, others))
        base = self._base.replace("HERE", str(folder))
        text = (
            f'{base}\n[group]\nlisten = "{gate.address[0]}:0"\nadvertise = "{host}:{port}"\nseeds = [{seeds}]\n'
            f'key = "{KEY}"\nperiod = "{self._group.period}us"\nwithin = "{self._group.within}us"\n'
            f'[control]\nsocket = "{self.control(instance_name)}"\n[said]\nform = "json"\n'
        )
        path = self._work / f"{instance_name}.toml"
        path.write_text(text)
        return path

    def handle_log_entry(
        self, gate: Gate, instance_name: str, line: dict[str, Any], start: int
    ) -> MembershipBelief | None:
        """Handles an entry of a proxy's log: registers the address at which it listens, or returns a membership change
        with the time at which it was logged."""
        event = str(line.get("event", ""))
        if event == IN:
            host, _, port = str(line["listen"]).rpartition(":")
            self.links.stands(instance_name, (host, int(port)))
            return None
        if not event.startswith(EVENT_PREFIX):
            return None
        logged_at = float(line.get("time", time.time()))
        age = max(0, round((time.time() - logged_at) * SECOND))
        return MembershipBelief(
            gate.number,
            clock() - age - start,
            event.removeprefix(EVENT_PREFIX),
            str(line.get("of", "")),
            str(line.get("by", "")),
        )

    # --- links --------------------------------------------------------------------------------------

    def struck(self, strike: Strike, on: bool) -> None:
        """Starts or ends a link fault; the other active faults continue."""
        number = strike.targets[0]
        if on:
            self._active_faults[number] = strike
        else:
            self._active_faults.pop(number, None)
        self.links.heal()
        for other in self._active_faults:
            fault = self._script.faults[other]
            if fault.what == "link-part":
                self.links.part(fault.sides)
            elif fault.what == "link-cut":
                self.links.cut(*fault.sides)
            elif fault.link is not None:
                self.links.shape(link_properties(fault.link), *fault.sides)


def parsed(line: bytes) -> dict[str, Any]:
    """The fields of a JSON log line; empty if the line is not a JSON object."""
    if not line.startswith(b"{"):
        return {}
    try:
        fields = json.loads(line)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
