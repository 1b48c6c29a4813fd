"""The process that plays backends: `python -m pepperusher.rehearsal.fleet SCRIPT.json NET PROCESS WORK`.

It works out for itself who stands where when and what strikes whom, and is only told when the start is.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from pepperusher.rehearsal import script as scripts
from pepperusher.rehearsal import active_faults
from pepperusher.rehearsal.backend import Backend
from pepperusher.rehearsal.engine import Memory
from pepperusher.rehearsal.fleet_plan import FleetPlan, Place
from pepperusher.rehearsal.records import Writer
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.fault_schedule import Life, timeline
from pepperusher.rehearsal.wire import Start, clock
from pepperusher.rehearsal.worker import Orders

FLUSH_EVERY = 0.25


class Fleet:
    """The backends of one process."""

    def __init__(self, script: Script, plan: FleetPlan, process: int, writer: Writer) -> None:
        self._script = script
        self._plan = plan
        self._line = timeline(script, plan)
        self._writer = writer
        self._start = Start()
        self._mine = [place for place in plan.places if plan.process_of(place, script.processes) == process]
        self._memories: dict[object, Memory] = {}  # one for each group that shares one, so as many as the script has
        self._standing: dict[int, Backend] = {}  # by place; emptied as stays end
        self._tasks: list[asyncio.Task[None]] = []

    def _memory(self, place: Place) -> Memory:
        scopes = {use.scope for use in self._script.use_cases if use.repeat == "referenced"}
        key: object = (place.tier, place.cell)
        if "all" in scopes:
            key = place.tier
        elif "zone" in scopes:
            key = (place.tier, place.zone)
        return self._memories.setdefault(key, Memory())

    async def stand(self) -> None:
        """Those that stand from the beginning."""
        for life in self._line.lives:
            if life.born < 0 and (place := self._plan.places[life.place]) in self._mine:
                await self._arrive(life, place)

    async def _arrive(self, life: Life, place: Place) -> None:
        backend = Backend(self._script, place, life.id, life.born, self._memory(place), self._writer, self._start)
        self._standing[place.number] = backend
        await backend.listen()

    def begin(self, at: int) -> None:
        """The start is at `at` on the clock."""
        self._start.at = at
        loop = asyncio.get_running_loop()
        for place in self._mine:
            self._tasks.append(loop.create_task(self._live(place)))

    async def _until(self, at: int) -> None:
        while (left := self._start.at + at - clock()) > 0:
            await asyncio.sleep(left / 1e6)

    async def _live(self, place: Place) -> None:
        """All that happens at one place, in its order."""
        edges = [(at, 1, None) for at in active_faults.transition_times(self._line.strikes, place.number)]
        stays: list[tuple[int, int, Life | None]] = []
        for life in self._line.lives:
            if life.place != place.number:
                continue
            if life.born >= 0:
                stays.append((life.born, 0, life))
            if life.ends >= 0:
                stays.append((life.ends, -1, life))
        for at, _, life in sorted([*edges, *stays], key=lambda one: one[:2]):
            await self._until(at)
            if life is not None and at == life.ends:
                backend = self._standing[place.number]
                followed = any(one.place == place.number and one.born == at for one in self._line.lives)
                if followed:
                    # A new id at an old address: the same process goes on under another name.
                    continue
                del self._standing[place.number]
                backend.end(at)
                continue
            if life is not None:
                standing = self._standing.get(place.number)
                if standing is not None:
                    standing.renamed(life.id, at)
                else:
                    await self._arrive(life, place)
            if (backend_now := self._standing.get(place.number)) is not None:
                await backend_now.weather(active_faults.faults_at(self._line.strikes, place.number, at))

    async def flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_EVERY)
            self._writer.flush()

    def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for backend in self._standing.values():
            backend.end(-1)
        self._writer.close()


async def play(script: Script, net: int, process: int, work: Path) -> None:
    fleet = Fleet(script, FleetPlan(script, net), process, Writer(work / f"fleet-{process}.records"))
    orders = await Orders.open()
    await fleet.stand()
    flushing = asyncio.get_running_loop().create_task(fleet.flush())
    asyncio.get_running_loop().set_exception_handler(
        lambda _, trouble: orders.say(failed=f"{trouble.get('message')}: {trouble.get('exception')!r}")
    )
    orders.say(standing=True)
    while (order := await orders.next()) is not None:
        if "start" in order:
            fleet.begin(order["start"])
        if "end" in order:
            break
    flushing.cancel()
    fleet.end()
    orders.say(ended=True)


def main() -> None:
    path, net, process, work = sys.argv[1:]
    script = scripts.decode(Path(path).read_bytes())
    asyncio.run(play(script, int(net), int(process), Path(work)))


if __name__ == "__main__":
    main()
