"""The process that runs simulated backends: `python -m pepperusher.rehearsal.fleet SCRIPT.json NET PROCESS WORK`.

It derives all lifetimes and faults of its backends from the script; the controller only sends the start time.
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
        self._places = [place for place in plan.places if plan.process_of(place, script.processes) == process]
        self._memories: dict[object, Memory] = {}  # one for each scope of idempotency keys in the script
        self._running_backends: dict[int, Backend] = {}  # by place; an entry is removed when its backend ends
        self._tasks: list[asyncio.Task[None]] = []

    def _memory(self, place: Place) -> Memory:
        """The memory of idempotency keys that the backend at this place shares with its cell, zone or tier, depending on
        the widest scope of any use case in the script."""
        scopes = {use.scope for use in self._script.use_cases if use.repeat == "referenced"}
        key: object = (place.tier, place.cell)
        if "all" in scopes:
            key = place.tier
        elif "zone" in scopes:
            key = (place.tier, place.zone)
        return self._memories.setdefault(key, Memory())

    async def stand(self) -> None:
        """Starts the backends that exist from the beginning of the run."""
        for life in self._line.lives:
            if life.born < 0 and (place := self._plan.places[life.place]) in self._places:
                await self._start_backend(life, place)

    async def _start_backend(self, life: Life, place: Place) -> None:
        backend = Backend(self._script, place, life.id, life.born, self._memory(place), self._writer, self._start)
        self._running_backends[place.number] = backend
        await backend.listen()

    def begin(self, at: int) -> None:
        """Schedules the lifetimes and faults; the run starts at clock time `at`."""
        self._start.at = at
        loop = asyncio.get_running_loop()
        for place in self._places:
            self._tasks.append(loop.create_task(self._run_place(place)))

    async def _sleep_until(self, at: int) -> None:
        while (left := self._start.at + at - clock()) > 0:
            await asyncio.sleep(left / 1e6)

    async def _run_place(self, place: Place) -> None:
        """Applies all starts, ends and faults at one place, in the order of their times."""
        transitions = [(at, 1, None) for at in active_faults.transition_times(self._line.strikes, place.number)]
        lifetime_events: list[tuple[int, int, Life | None]] = []
        for life in self._line.lives:
            if life.place != place.number:
                continue
            if life.born >= 0:
                lifetime_events.append((life.born, 0, life))
            if life.ends >= 0:
                lifetime_events.append((life.ends, -1, life))
        for at, _, life in sorted([*transitions, *lifetime_events], key=lambda event: event[:2]):
            await self._sleep_until(at)
            if life is not None and at == life.ends:
                backend = self._running_backends[place.number]
                continues = any(
                    next_life.place == place.number and next_life.born == at for next_life in self._line.lives
                )
                if continues:
                    # Only the id changes: the same backend continues at its address.
                    continue
                del self._running_backends[place.number]
                backend.end(at)
                continue
            if life is not None:
                running_backend = self._running_backends.get(place.number)
                if running_backend is not None:
                    running_backend.change_id(life.id, at)
                else:
                    await self._start_backend(life, place)
            if (active_backend := self._running_backends.get(place.number)) is not None:
                await active_backend.apply_faults(active_faults.faults_at(self._line.strikes, place.number, at))

    async def flush(self) -> None:
        """Flushes the records to disk every FLUSH_EVERY seconds."""
        while True:
            await asyncio.sleep(FLUSH_EVERY)
            self._writer.flush()

    def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        for backend in self._running_backends.values():
            backend.end(-1)
        self._writer.close()


async def play(script: Script, net: int, process: int, work: Path) -> None:
    fleet = Fleet(script, FleetPlan(script, net), process, Writer(work / f"fleet-{process}.records"))
    orders = await Orders.open()
    await fleet.stand()
    flush_task = asyncio.get_running_loop().create_task(fleet.flush())
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: orders.say(failed=f"{context.get('message')}: {context.get('exception')!r}")
    )
    orders.say(standing=True)
    while (order := await orders.next()) is not None:
        if "start" in order:
            fleet.begin(order["start"])
        if "end" in order:
            break
    flush_task.cancel()
    fleet.end()
    orders.say(ended=True)


def main() -> None:
    path, net, process, work = sys.argv[1:]
    script = scripts.decode(Path(path).read_bytes())
    asyncio.run(play(script, int(net), int(process), Path(work)))


if __name__ == "__main__":
    main()
