"""Runs parts of a rehearsal alone: the load against servers that run already, or the fleet without load."""

from __future__ import annotations

import asyncio
import ipaddress
import json
import tempfile
from collections.abc import Callable
from datetime import datetime, timezone
from pathlib import Path

from pepperusher import __version__
from pepperusher.rehearsal import rule_checker, records, script as scripts, tally
from pepperusher.rehearsal.run_controller import LEAD, RunController, RehearsalError, reserve_network, plan_digest
from pepperusher.rehearsal.results import VERSION, Result
from pepperusher.rehearsal.script import Script, ScriptError
from pepperusher.rehearsal.wire import address_of, clock
from pepperusher.rehearsal.worker import START_WITHIN, Worker

PROGRESS_INTERVAL = 0.5


def loopback(text: str) -> tuple[str, int]:
    """Parses a loopback address; load is never sent to any other address. Raises ScriptError."""
    try:
        host, port = address_of(text)
        if not ipaddress.ip_address("127.0.0.1" if host == "localhost" else host).is_loopback:
            raise ValueError(f"{text!r} is not an address of the loopback")
    except ValueError as error:
        raise ScriptError(f"--to: {error}") from None
    return host, port


async def _load(
    script: Script, targets: list[tuple[str, int]], work: Path, progress: Callable[[int], None] | None
) -> None:
    file = work / "script.json"
    file.write_bytes(scripts.encode(script))
    target_list = [
        {"number": number, "zone": "", "host": host, "port": port} for number, (host, port) in enumerate(targets)
    ]
    workers = [
        await Worker.start(
            "pepperusher.rehearsal.generator",
            f"load process {number}",
            work / f"load-{number}.log",
            str(file),
            str(number),
            str(work),
            json.dumps(target_list),
        )
        for number in range(script.load.processes)
    ]

    async def report_progress(start: int) -> None:
        while progress is not None:
            await asyncio.sleep(PROGRESS_INTERVAL)
            progress(max(0, clock() - start))

    progress_task: asyncio.Task[None] | None = None
    try:
        for worker in workers:
            await worker.said("planned", START_WITHIN)
        start = clock() + LEAD
        progress_task = asyncio.get_running_loop().create_task(report_progress(start))
        for worker in workers:
            worker.tell(admit=list(range(len(targets))))
            worker.tell(start=start)
        longest = max(use.outer for use in script.use_cases)
        for worker in workers:
            await worker.said("over", (script.span + longest) / 1e6 + START_WITHIN)
    finally:
        if progress_task is not None:
            progress_task.cancel()
        for worker in workers:
            await worker.end()


def load(script: Script, targets: list[tuple[str, int]], progress: Callable[[int], None] | None = None) -> Result:
    """Sends the script's load to the targets and returns the result. Raises RehearsalError."""
    digest = plan_digest(script)
    with tempfile.TemporaryDirectory(prefix="load-") as temporary_folder:
        work = Path(temporary_folder)
        played_at = datetime.now(timezone.utc).isoformat(timespec="seconds")
        try:
            asyncio.run(_load(script, targets, work, progress))
        except (RuntimeError, OSError) as error:
            raise RehearsalError(str(error)) from None
        all_records = rule_checker.Records(
            record for path in sorted(work.glob("*.records")) for record in records.read(path)
        )
    names = [f"{host}:{port}" for host, port in targets]
    return Result(
        VERSION,
        script.title,
        "load alone",
        script.seed,
        played_at,
        __version__,
        int(script.span),
        digest,
        "",
        {},
        [],
        tally.tally(script, names, all_records),
        [],
        names,
    )


async def _emulate(script: Script, net: int, work: Path, say: Callable[[str], None]) -> None:
    controller = RunController(script, net, work)
    try:
        await controller.stand(load=False)
        for place in controller.plan.places:
            say(f"backend {place.name:<20} {place.address[0]}:{place.address[1]}  zone {place.zone}, cell {place.cell}")
        for gate in controller.plan.proxies:
            say(
                f"proxy   {gate.name:<20} {gate.address[0]}:{gate.address[1]}  tier {script.tiers[gate.tier].name},"
                f" discovery {gate.discovery[0]}:{gate.discovery[1]}"
            )
        say("all processes are ready; press Ctrl-C to stop")
        controller.begin()
        await asyncio.Event().wait()
    finally:
        await controller.end()


def emulate(script: Script, proxies: bool, say: Callable[[str], None]) -> None:
    """Runs the fleet, with or without proxies, until it is interrupted. Raises RehearsalError."""
    if not proxies:
        for tier in script.tiers[:1]:
            tier.proxies = 0
    with reserve_network() as net, tempfile.TemporaryDirectory(prefix="emulate-") as temporary_folder:
        try:
            asyncio.run(_emulate(script, net, Path(temporary_folder), say))
        except KeyboardInterrupt:
            say("ended")
        except (RuntimeError, OSError) as error:
            raise RehearsalError(str(error)) from None
