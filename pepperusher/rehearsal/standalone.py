"""Parts of a rehearsal on their own: the load against servers that stand already, the fleet without load."""

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

TELL_EVERY = 0.5


def loopback(text: str) -> tuple[str, int]:
    """An address of this machine's loopback, which is all that a load is ever sent to. Raises ScriptError."""
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
    told = [{"number": number, "zone": "", "host": host, "port": port} for number, (host, port) in enumerate(targets)]
    workers = [
        await Worker.start(
            "pepperusher.rehearsal.generator",
            f"load process {number}",
            work / f"load-{number}.log",
            str(file),
            str(number),
            str(work),
            json.dumps(told),
        )
        for number in range(script.load.processes)
    ]

    async def tell(start: int) -> None:
        while progress is not None:
            await asyncio.sleep(TELL_EVERY)
            progress(max(0, clock() - start))

    telling: asyncio.Task[None] | None = None
    try:
        for worker in workers:
            await worker.said("planned", START_WITHIN)
        start = clock() + LEAD
        telling = asyncio.get_running_loop().create_task(tell(start))
        for worker in workers:
            worker.tell(admit=list(range(len(targets))))
            worker.tell(start=start)
        longest = max(use.outer for use in script.use_cases)
        for worker in workers:
            await worker.said("over", (script.span + longest) / 1e6 + START_WITHIN)
    finally:
        if telling is not None:
            telling.cancel()
        for worker in workers:
            await worker.end()


def load(script: Script, targets: list[tuple[str, int]], progress: Callable[[int], None] | None = None) -> Result:
    """Raises RehearsalError."""
    digest = plan_digest(script)
    with tempfile.TemporaryDirectory(prefix="load-") as spare:
        work = Path(spare)
        played_at = datetime.now(timezone.utc).isoformat(timespec="seconds")
        try:
            asyncio.run(_load(script, targets, work, progress))
        except (RuntimeError, OSError) as error:
            raise RehearsalError(str(error)) from None
        kept = rule_checker.Records(record for path in sorted(work.glob("*.records")) for record in records.read(path))
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
        tally.tally(script, names, kept),
        [],
        names,
    )


async def _emulate(script: Script, net: int, work: Path, say: Callable[[str], None]) -> None:
    director = RunController(script, net, work)
    try:
        await director.stand(load=False)
        for place in director.plan.places:
            say(f"backend {place.name:<20} {place.address[0]}:{place.address[1]}  zone {place.zone}, cell {place.cell}")
        for gate in director.plan.proxies:
            say(
                f"proxy   {gate.name:<20} {gate.address[0]}:{gate.address[1]}  tier {script.tiers[gate.tier].name},"
                f" discovery {gate.discovery[0]}:{gate.discovery[1]}"
            )
        say("standing; Ctrl-C ends it")
        director.begin()
        await asyncio.Event().wait()
    finally:
        await director.end()


def emulate(script: Script, proxies: bool, say: Callable[[str], None]) -> None:
    """Until it is interrupted. Raises RehearsalError."""
    if not proxies:
        for tier in script.tiers[:1]:
            tier.proxies = 0
    with reserve_network() as net, tempfile.TemporaryDirectory(prefix="emulate-") as spare:
        try:
            asyncio.run(_emulate(script, net, Path(spare), say))
        except KeyboardInterrupt:
            say("ended")
        except (RuntimeError, OSError) as error:
            raise RehearsalError(str(error)) from None
