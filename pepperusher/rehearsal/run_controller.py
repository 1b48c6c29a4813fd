"""Runs one rehearsal: starts the backend fleet, discovery, the proxies and the load generators, injects the
faults that the fleet processes do not inject themselves, and keeps the records until the run is over."""

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

# Faults that the controller injects; the fleet processes inject all others.
CONTROLLER_FAULTS = LINK_FAULTS | {
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
# Time in us between the moment when every process is ready and the start of the run.
LEAD = 400_000
# A backend's own proxy is started this long (us) before the backend, so that both are ready together.
OWN_PROXY_LEAD = 1_500_000
# The clients keep opening connections to a proxy for this long (us) after its SIGTERM.
ENDPOINT_REMOVAL_DELAY = 300_000
# Seconds between the end of the load and the end of the fleet.
SETTLE_SECONDS = 0.3


class RunController:
    """Starts, drives and ends all processes of one run.

    `progress` is called twice a second with the elapsed time of the run (us). `build` is another checkout whose
    `serve` is run in place of this one's.
    """

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
        self.discovery = DiscoveryServer(
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
        # Duplicate processes run under the name of another proxy; their records are kept apart from the run's.
        self._duplicate_writer = Writer(work / "twins.aside")
        self._twins: list[Runner] = []
        self._fleet: list[Worker] = []
        self._load: list[Worker] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._failures: list[str] = []
        self._admitted: set[int] = set()
        self._closed = False

    def _runner(self, gate: Gate, twin: bool, writer: Writer) -> Runner:
        return Runner(
            self._script,
            gate,
            self._work,
            self._build,
            writer,
            self._start,
            self.discovery.known,
            self.discovery.address,
            self.grouping,
            twin,
        )

    def _now(self) -> int:
        return clock() - self._start.at

    def runner(self, name: str) -> Runner:
        """The runner of the proxy with this name."""
        return next(runner for runner in self._runners if runner.gate.name == name)

    # --- start ------------------------------------------------------------------------------------

    async def stand(self, load: bool = True) -> None:
        """Starts all processes and waits until they are ready; the run itself does not start yet."""
        await self.discovery.listen()
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
            await self._start_load()
        for worker in self._fleet:
            await worker.said("standing", START_WITHIN)
        await self._start_proxies()
        for worker in self._load:
            await worker.said("planned", START_WITHIN)

    async def _start_load(self) -> None:
        front = self.plan.front
        targets = [
            {"number": gate.number, "zone": gate.zone, "host": gate.address[0], "port": gate.address[1]}
            for gate in front
        ]
        if not front:
            # Without proxies the clients send to the backends of the first tier directly.
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

    async def _start_proxies(self) -> None:
        # Limits concurrent starts: if hundreds of processes started at once, none would be ready in time.
        start_slots = asyncio.Semaphore(max(2, (os.cpu_count() or 2) // 2))

        async def start_runner(runner: Runner) -> None:
            async with start_slots:
                await runner.run()

        for number, outcome in enumerate(
            await asyncio.gather(*map(start_runner, self._runners), return_exceptions=True)
        ):
            if isinstance(outcome, BaseException):
                raise RehearsalError(str(outcome)) from None
            gate = self.plan.proxies[number]
            if gate.tier == 0:
                self._admitted.add(gate.number)
        self._admit()

    def _admit(self) -> None:
        for worker in self._load:
            worker.tell(admit=sorted(self._admitted) if self.plan.front else [-1])

    # --- run --------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Sets the start of the run, announces it to all processes, and schedules the faults."""
        self._start.at = clock() + LEAD
        if any(strike.what == "disk-old" for strike in self._line.strikes):
            for runner in self._runners:
                runner.keep_disk()
        self.discovery.begin()
        for worker in [*self._fleet, *self._load]:
            worker.tell(start=self._start.at)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._inject(strike)) for strike in self._line.strikes if strike.what in CONTROLLER_FAULTS
        ]
        self._tasks += [
            loop.create_task(self._follow_backend(life.place, life.born, life.ends))
            for life in self._line.lives
            if self.plan.places[life.place].proxy is not None
        ]
        self._tasks.append(loop.create_task(self._sample_loop()))

    async def play(self) -> None:
        """Runs the load to its end. Raises RehearsalError if a process of the test harness failed."""
        self.begin()
        await self.over()

    async def over(self) -> None:
        """Waits until the load generators have finished, then ends the fleet. Raises RehearsalError if a process
        of the test harness failed."""
        longest = max(use.outer for use in self._script.use_cases)
        within = (self._script.span + longest) / 1e6 + START_WITHIN
        sent = 0
        for worker in self._load:
            report = await worker.said("over", within)
            sent += report["sent"]
        await asyncio.sleep(SETTLE_SECONDS)
        for worker in self._fleet:
            worker.tell(end=True)
            await worker.said("ended", START_WITHIN)
        if self._failures:
            raise RehearsalError(self._failures[0])

    async def _until(self, at: int) -> None:
        while (left := self._start.at + at - clock()) > 0:
            await asyncio.sleep(left / 1e6)

    async def _inject(self, strike: Strike) -> None:
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
                runner.reload()
            return
        for number in strike.targets:
            if strike.what == "proxy-hup":
                self._runners[number].reload()
            elif strike.what == "proxy-starve":
                await self._runners[number].starved(strike.by, strike.until)
            elif strike.what == "proxy-stop":
                await self._suspend(number, strike.until)
            elif strike.what == "disk-full":
                self._runners[number].full_disk(True)
                await self._until(strike.until)
                self._runners[number].full_disk(False)
            elif strike.what == "disk-gone":
                self._runners[number].take_disk(True)
                await self._until(strike.until)
                self._runners[number].take_disk(False)
            elif strike.what == "disk-old":
                await self._restore_old_disk(number)
            elif strike.what == "proxy-hand":
                await self._drain_and_resume(number, strike.until)
            elif strike.what == "proxy-twin":
                await self.twin(number, strike.until)
            else:
                await self._stop_proxy(strike, number)

    async def _stop_proxy(self, strike: Strike, number: int) -> None:
        """Kills or terminates one proxy, and starts it again if the fault has an end."""
        runner = self._runners[number]
        if strike.what == "proxy-term":
            ending = asyncio.get_running_loop().create_task(runner.terminate())
            await asyncio.sleep(ENDPOINT_REMOVAL_DELAY / 1e6)
            self._out(number)
            await ending
        else:
            await runner.kill()
            # The clients detect a dead proxy only after the detection delay of the script.
            await asyncio.sleep(self._script.load.notice / 1e6)
            self._out(number)
        if strike.until < 0:
            return
        await self._until(strike.until)
        await self._start_again(runner)
        if runner.ready and runner.gate.tier == 0:
            self._admitted.add(number)
            self._admit()

    async def _suspend(self, number: int, until: int) -> None:
        """Suspends a proxy until `until`. The clients stop using it after their detection delay, and use it again
        once it resumes."""

        async def wait_for_resume() -> None:
            await asyncio.sleep(min(self._script.load.notice, max(0, until - self._now())) / 1e6)
            self._out(number)
            await self._until(until)

        await self._runners[number].stopped(wait_for_resume)
        if self._runners[number].gate.tier == 0:
            self._admitted.add(number)
            self._admit()

    async def _restore_old_disk(self, number: int) -> None:
        """Kills a proxy and starts it with a copy of its disk from the start of the run."""
        runner = self._runners[number]
        await runner.kill()
        runner.old_disk()
        await self._start_again(runner)

    async def _drain_and_resume(self, number: int, until: int) -> None:
        """Drains a proxy by its console, as an operator does, and resumes it at `until`."""
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
        """Runs a second process under the name of a proxy, at another address, until `until`."""
        assert self.grouping is not None
        await self.grouping.open_duplicate(self.plan.proxies[number])
        duplicate = self._runner(duplicate_gate(self.plan.proxies[number], self.plan.net), True, self._duplicate_writer)
        self._twins.append(duplicate)
        await self._start_again(duplicate)
        await self._until(until)
        await duplicate.kill()

    def _out(self, number: int) -> None:
        self._admitted.discard(number)
        self._admit()

    async def _start_again(self, runner: Runner) -> None:
        try:
            await runner.run()
        except RuntimeError as error:
            self._failures.append(str(error))

    async def _follow_backend(self, place: int, born: int, ends: int) -> None:
        """Starts and stops a backend's own proxy together with the backend."""
        gate = self.plan.places[place].proxy
        assert gate is not None
        runner = self._runners[gate.number]
        follows = any(life.place == place and life.born == ends for life in self._line.lives if ends >= 0)
        continues = any(life.place == place and life.ends == born for life in self._line.lives if born >= 0)
        if born >= 0 and not continues:
            previous_end = max(
                (life.ends for life in self._line.lives if life.place == place and 0 <= life.ends < born),
                default=0,
            )
            await self._until(max(previous_end + 50_000, born - OWN_PROXY_LEAD))
            await self._start_again(runner)
        if ends >= 0 and not follows:
            await self._until(ends)
            await runner.kill()

    async def _sample_loop(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_EVERY)
            for runner in self._runners:
                runner.sample()
            self._writer.flush()
            if self._progress is not None:
                self._progress(max(0, self._now()))

    # --- shutdown ---------------------------------------------------------------------------------

    async def end(self) -> None:
        """Ends every process and task that the controller started. Further calls do nothing."""
        if self._closed:
            return
        self._closed = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for worker in [*self._load, *self._fleet]:
            await worker.end()
        # A process that a cancelled task was just starting has to be ended too, or its pipes outlive the event loop.
        await asyncio.sleep(0)
        await asyncio.gather(*(runner.kill() for runner in [*self._runners, *self._twins]))
        if self.grouping is not None:
            self.grouping.links.close()
        self.discovery.close()
        self._duplicate_writer.close()
        self._writer.close()

    def records(self) -> rule_checker.Records:
        """The records of all processes of the run."""
        all_records = rule_checker.Records()
        for path in sorted(self._work.glob("*.records")):
            for record in records.read(path):
                all_records.add(record)
        # A proxy killed by the shutdown after the run does not count as killed by a fault.
        for proxy_run in all_records.proxy_runs:
            if proxy_run.killed >= self._run_end(all_records):
                proxy_run.killed = -1
        return all_records

    def _run_end(self, all_records: rule_checker.Records) -> int:
        return max((attempt.ended for attempt in all_records.client_attempts), default=self._script.span)

    @property
    def line(self) -> fault_schedule.FaultSchedule:
        """The faults and backend lifetimes of the run."""
        return self._line


def plan_digest(script: Script) -> str:
    """A short digest of the arrival plan; "closed" for a closed-loop load, which has no plan."""
    return "closed" if script.load.users else arrivals.digest(traces.plan_of(script))


async def _run(
    script: Script, net: int, work: Path, build: Path | None, progress: Callable[[int], None] | None
) -> tuple[rule_checker.Records, RunController]:
    controller = RunController(script, net, work, build, progress)
    try:
        await controller.stand()
        await controller.play()
    finally:
        await controller.end()
    return controller.records(), controller


def rehearse(
    script: Script,
    build: Path | None = None,
    work: Path | None = None,
    progress: Callable[[int], None] | None = None,
) -> Result:
    """Runs a script and returns its result. Logs and records stay in the folder `work`; without one they are
    deleted after the run.

    Raises RehearsalError with a one-line message, and ScriptError if a trace cannot be read.
    """
    digest = plan_digest(script)
    with reserve_network() as net, tempfile.TemporaryDirectory(prefix="rehearsal-") as spare:
        folder = work or Path(spare)
        folder.mkdir(parents=True, exist_ok=True)
        for stale_records in folder.glob("*.records"):
            stale_records.unlink()
        played_at = datetime.now(timezone.utc).isoformat(timespec="seconds")
        try:
            all_records, controller = asyncio.run(_run(script, net, folder, build, progress))
        except (RuntimeError, OSError) as error:
            raise RehearsalError(str(error)) from None
        findings = rule_checker.check(script, all_records)
        gate_names = [gate.name for gate in controller.plan.proxies]
        return Result(
            VERSION,
            script.title,
            str(build or "here"),
            script.seed,
            played_at,
            __version__,
            int(script.span),
            digest,
            fault_schedule.digest(controller.line),
            findings.counts,
            findings.entries,
            tally.tally(script, gate_names, all_records),
            [place.name for place in controller.plan.places],
            gate_names,
            logs=str(work or ""),
        )
