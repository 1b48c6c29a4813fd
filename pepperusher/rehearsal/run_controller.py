"""Plays one rehearsal: starts fleet, discovery, proxies and load, strikes with what is not the fleet's own,
and keeps the records until all is over."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import tempfile
from collections.abc import Callable
from datetime import datetime, timezone
from pathlib import Path

from pepperusher import __version__
from pepperusher.rehearsal import arrivals, rule_checker, records, script as scripts, tally, traces, fault_schedule
from pepperusher.rehearsal.fleet_plan import FleetPlan, Gate
from pepperusher.rehearsal.group_run import GroupRun, duplicate_gate
from pepperusher.rehearsal.discovery_server import DiscoveryServer
from pepperusher.rehearsal.loopback_networks import RehearsalError, reserve_network
from pepperusher.rehearsal.proxies import SAMPLE_EVERY, Runner
from pepperusher.rehearsal.records import Writer
from pepperusher.rehearsal.results import VERSION, Result
from pepperusher.rehearsal.endpoint_history import EndpointHistory
from pepperusher.rehearsal.script import LINK_FAULTS, Script
from pepperusher.rehearsal.fault_schedule import Strike
from pepperusher.rehearsal.wire import Start, clock
from pepperusher.rehearsal.worker import START_WITHIN, Worker

# Struck here, and not by the fleet itself.
BY_DIRECTOR = LINK_FAULTS | {
    "proxy-kill",
    "proxy-term",
    "proxy-hup",
    "proxy-stop",
    "proxy-starve",
    "proxy-twin",
    "proxy-hand",
    "disk-full",
    "disk-gone",
    "disk-old",
    "discovery-moved",
    "pause-generator",
}
# From all being ready to the first ticket.
LEAD = 400_000
# A backend's own proxy is started so long before it, and is ready when it is.
AHEAD = 1_500_000
# A proxy told to stop still gets new connections for so long.
STILL_DEALT = 300_000
SETTLE = 0.3


class RunController:
    """`progress` is told the time played (us) now and then; `build` is another checkout whose `serve` is
    played."""

    def __init__(
        self,
        script: Script,
        net: int,
        work: Path,
        build: Path | None = None,
        progress: Callable[[int], None] | None = None,
    ) -> None:
        self._script = script
        self._work = work
        self._progress = progress
        self.plan = FleetPlan(script, net)
        self._line = fault_schedule.timeline(script, self.plan)
        self._start = Start()
        self._writer = Writer(work / "director.records")
        self.listing = DiscoveryServer(
            self.plan, self._line, EndpointHistory(script, self.plan, self._line), self._writer, self._start
        )
        self._script_file = work / "script.json"
        self._script_file.write_bytes(scripts.encode(script))
        self.grouping: GroupRun | None = None
        if script.proxies.group is not None:
            own = script.proxies.own
            base = (Path(script.folder) / own).read_text() if own else ""
            self.grouping = GroupRun(script, self.plan.proxies, net, work, base)
        self._build = build
        self._runners = [self._runner(gate, False, self._writer) for gate in self.plan.proxies]
        # Second processes under a name that is taken; what they wrote is no record of the fleet's.
        self._aside = Writer(work / "twins.aside")
        self._twins: list[Runner] = []
        self._fleet: list[Worker] = []
        self._load: list[Worker] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._troubles: list[str] = []
        self._admitted: set[int] = set()
        self._ended = False

    def _runner(self, gate: Gate, twin: bool, writer: Writer) -> Runner:
        return Runner(
            self._script,
            gate,
            self._work,
            self._build,
            writer,
            self._start,
            self.listing.known,
            self.listing.address,
            self.grouping,
            twin,
        )

    def _now(self) -> int:
        return clock() - self._start.at

    def runner(self, name: str) -> Runner:
        """The process that stands at a proxy's place."""
        return next(one for one in self._runners if one.gate.name == name)

    # --- start ------------------------------------------------------------------------------------

    async def stand(self, load: bool = True) -> None:
        """Everything up and ready, nothing begun."""
        await self.listing.listen()
        if self.grouping is not None:
            await self.grouping.open()
        for number in range(self._script.processes):
            self._fleet.append(
                await Worker.start(
                    "pepperusher.rehearsal.fleet",
                    f"fleet process {number}",
                    self._work / f"fleet-{number}.log",
                    str(self._script_file),
                    str(self.plan.net),
                    str(number),
                    str(self._work),
                )
            )
        if load:
            await self._stand_load()
        for worker in self._fleet:
            await worker.said("standing", START_WITHIN)
        await self._stand_proxies()
        for worker in self._load:
            await worker.said("planned", START_WITHIN)

    async def _stand_load(self) -> None:
        front = self.plan.front
        targets = [
            {"number": gate.number, "zone": gate.zone, "host": gate.address[0], "port": gate.address[1]}
            for gate in front
        ]
        if not front:
            # Without proxies clients ask the backends of the first tier themselves.
            targets = [
                {"number": -1, "zone": place.zone, "host": place.address[0], "port": place.address[1]}
                for place in self.plan.places
                if place.tier == 0
            ]
        for number in range(self._script.load.processes):
            self._load.append(
                await Worker.start(
                    "pepperusher.rehearsal.generator",
                    f"load process {number}",
                    self._work / f"load-{number}.log",
                    str(self._script_file),
                    str(number),
                    str(self._work),
                    json.dumps(targets),
                )
            )

    async def _stand_proxies(self) -> None:
        # A few at a time: hundreds at once would each be late.
        turns = asyncio.Semaphore(max(2, (os.cpu_count() or 2) // 2))

        async def one(runner: Runner) -> None:
            async with turns:
                await runner.run()

        for turn, done in enumerate(await asyncio.gather(*map(one, self._runners), return_exceptions=True)):
            if isinstance(done, BaseException):
                raise RehearsalError(str(done)) from None
            gate = self.plan.proxies[turn]
            if gate.tier == 0:
                self._admitted.add(gate.number)
        self._admit()

    def _admit(self) -> None:
        for worker in self._load:
            worker.tell(admit=sorted(self._admitted) if self.plan.front else [-1])

    # --- the play ---------------------------------------------------------------------------------

    def begin(self) -> None:
        self._start.at = clock() + LEAD
        if any(strike.what == "disk-old" for strike in self._line.strikes):
            for runner in self._runners:
                runner.keep_disk()
        self.listing.begin()
        for worker in [*self._fleet, *self._load]:
            worker.tell(start=self._start.at)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._strike(strike)) for strike in self._line.strikes if strike.what in BY_DIRECTOR
        ]
        self._tasks += [
            loop.create_task(self._own_proxy(life.place, life.born, life.ends))
            for life in self._line.lives
            if self.plan.places[life.place].proxy is not None
        ]
        self._tasks.append(loop.create_task(self._watch()))

    async def play(self) -> None:
        """To the end of the load. Raises RehearsalError where a process of the rehearsal's own failed."""
        self.begin()
        await self.over()

    async def over(self) -> None:
        """The end of a play that has begun. Raises RehearsalError likewise."""
        longest = max(use.outer for use in self._script.use_cases)
        within = (self._script.span + longest) / 1e6 + START_WITHIN
        sent = 0
        for worker in self._load:
            told = await worker.said("over", within)
            sent += told["sent"]
        await asyncio.sleep(SETTLE)
        for worker in self._fleet:
            worker.tell(end=True)
            await worker.said("ended", START_WITHIN)
        if self._troubles:
            raise RehearsalError(self._troubles[0])

    async def _until(self, at: int) -> None:
        while (left := self._start.at + at - clock()) > 0:
            await asyncio.sleep(left / 1e6)

    async def _strike(self, strike: Strike) -> None:
        await self._until(strike.at)
        if strike.what == "pause-generator":
            for worker in self._load:
                worker.signal(signal.SIGSTOP)
            await self._until(strike.until)
            for worker in self._load:
                worker.signal(signal.SIGCONT)
            return
        if strike.what in LINK_FAULTS:
            if self.grouping is None:
                return
            self.grouping.struck(strike, True)
            await self._until(strike.until)
            self.grouping.struck(strike, False)
            return
        if strike.what == "discovery-moved":
            for runner in self._runners:
                runner.hang_up()
            return
        for number in strike.targets:
            if strike.what == "proxy-hup":
                self._runners[number].hang_up()
            elif strike.what == "proxy-starve":
                await self._runners[number].starved(strike.by, strike.until)
            elif strike.what == "proxy-stop":
                await self._stop_for(number, strike.until)
            elif strike.what == "disk-full":
                self._runners[number].full_disk(True)
                await self._until(strike.until)
                self._runners[number].full_disk(False)
            elif strike.what == "disk-gone":
                self._runners[number].take_disk(True)
                await self._until(strike.until)
                self._runners[number].take_disk(False)
            elif strike.what == "disk-old":
                await self._old_disk(number)
            elif strike.what == "proxy-hand":
                await self._by_hand(number, strike.until)
            elif strike.what == "proxy-twin":
                await self.twin(number, strike.until)
            else:
                await self._away(strike, number)

    async def _away(self, strike: Strike, number: int) -> None:
        """One proxy goes, and its place is taken again where the script has it."""
        runner = self._runners[number]
        if strike.what == "proxy-term":
            ending = asyncio.get_running_loop().create_task(runner.terminate())
            await asyncio.sleep(STILL_DEALT / 1e6)
            self._out(number)
            await ending
        else:
            await runner.kill()
            # The front notices only after a while that one has died.
            await asyncio.sleep(self._script.load.notice / 1e6)
            self._out(number)
        if strike.until < 0:
            return
        await self._until(strike.until)
        await self._again(runner)
        if runner.ready and runner.gate.tier == 0:
            self._admitted.add(number)
            self._admit()

    async def _stop_for(self, number: int, until: int) -> None:
        """It stands still; the front notices after a while, and when it goes on."""

        async def noticed() -> None:
            await asyncio.sleep(min(self._script.load.notice, max(0, until - self._now())) / 1e6)
            self._out(number)
            await self._until(until)

        await self._runners[number].stopped(noticed)
        if self._runners[number].gate.tier == 0:
            self._admitted.add(number)
            self._admit()

    async def _old_disk(self, number: int) -> None:
        """It is killed, and started with its disk as that was when the load began."""
        runner = self._runners[number]
        await runner.kill()
        runner.old_disk()
        await self._again(runner)

    async def _by_hand(self, number: int, until: int) -> None:
        """Staff send its clients away at its console, and let them come again."""
        await self._runners[number].call("POST", "/-/drain")
        await asyncio.sleep(self._script.load.notice / 1e6)
        self._out(number)
        await self._until(until)
        await self._runners[number].call("POST", "/-/resume")
        await asyncio.sleep(self._script.load.notice / 1e6)
        if self._runners[number].gate.tier == 0:
            self._admitted.add(number)
            self._admit()

    async def twin(self, number: int, until: int) -> None:
        """A second process under the name of a proxy, at another address, for a while."""
        assert self.grouping is not None
        await self.grouping.open_twin(self.plan.proxies[number])
        made = self._runner(duplicate_gate(self.plan.proxies[number], self.plan.net), True, self._aside)
        self._twins.append(made)
        await self._again(made)
        await self._until(until)
        await made.kill()

    def _out(self, number: int) -> None:
        self._admitted.discard(number)
        self._admit()

    async def _again(self, runner: Runner) -> None:
        try:
            await runner.run()
        except RuntimeError as error:
            self._troubles.append(str(error))

    async def _own_proxy(self, place: int, born: int, ends: int) -> None:
        """A backend's own proxy stops and starts with it."""
        gate = self.plan.places[place].proxy
        assert gate is not None
        runner = self._runners[gate.number]
        follows = any(life.place == place and life.born == ends for life in self._line.lives if ends >= 0)
        continues = any(life.place == place and life.ends == born for life in self._line.lives if born >= 0)
        if born >= 0 and not continues:
            before = max(
                (life.ends for life in self._line.lives if life.place == place and 0 <= life.ends < born),
                default=0,
            )
            await self._until(max(before + 50_000, born - AHEAD))
            await self._again(runner)
        if ends >= 0 and not follows:
            await self._until(ends)
            await runner.kill()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_EVERY)
            for runner in self._runners:
                runner.sample()
            self._writer.flush()
            if self._progress is not None:
                self._progress(max(0, self._now()))

    # --- the end ----------------------------------------------------------------------------------

    async def end(self) -> None:
        """All that was started is over when this returns; once more it does nothing."""
        if self._ended:
            return
        self._ended = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for worker in [*self._load, *self._fleet]:
            await worker.end()
        # What was being started when this came has to be over too, or its pipes outlive the loop.
        await asyncio.sleep(0)
        await asyncio.gather(*(runner.kill() for runner in [*self._runners, *self._twins]))
        if self.grouping is not None:
            self.grouping.links.close()
        self.listing.close()
        self._aside.close()
        self._writer.close()

    def records(self) -> rule_checker.Records:
        kept = rule_checker.Records()
        for path in sorted(self._work.glob("*.records")):
            for record in records.read(path):
                kept.add(record)
        # What ended a process at the end of the play is not what killed it within.
        for ran in kept.proxy_runs:
            if ran.killed >= self._end_of(kept):
                ran.killed = -1
        return kept

    def _end_of(self, kept: rule_checker.Records) -> int:
        return max((one.ended for one in kept.client_attempts), default=self._script.span)

    @property
    def line(self) -> fault_schedule.FaultSchedule:
        return self._line


def plan_digest(script: Script) -> str:
    """The plan of arrivals in a few letters; a closed loop has none."""
    return "closed" if script.load.users else arrivals.digest(traces.plan_of(script))


async def _play(
    script: Script, net: int, work: Path, build: Path | None, progress: Callable[[int], None] | None
) -> tuple[rule_checker.Records, RunController]:
    director = RunController(script, net, work, build, progress)
    try:
        await director.stand()
        await director.play()
    finally:
        await director.end()
    return director.records(), director


def rehearse(
    script: Script,
    build: Path | None = None,
    work: Path | None = None,
    progress: Callable[[int], None] | None = None,
) -> Result:
    """Plays a script and returns its result. `work` keeps logs and records; without one they go when it is
    over.

    Raises RehearsalError (one line), and ScriptError where a trace can't be read.
    """
    digest = plan_digest(script)
    with reserve_network() as net, tempfile.TemporaryDirectory(prefix="rehearsal-") as spare:
        folder = work or Path(spare)
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.glob("*.records"):
            old.unlink()
        played_at = datetime.now(timezone.utc).isoformat(timespec="seconds")
        try:
            kept, director = asyncio.run(_play(script, net, folder, build, progress))
        except (RuntimeError, OSError) as error:
            raise RehearsalError(str(error)) from None
        book = rule_checker.check(script, kept)
        names = [gate.name for gate in director.plan.proxies]
        return Result(
            VERSION,
            script.title,
            str(build or "here"),
            script.seed,
            played_at,
            __version__,
            int(script.span),
            digest,
            fault_schedule.digest(director.line),
            book.counts,
            book.entries,
            tally.tally(script, names, kept),
            [place.name for place in director.plan.places],
            names,
            logs=str(work or ""),
        )
