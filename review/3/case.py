"""A crowd of clients that stop half way through a long request: the proxy has to stay under its memory limit."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402
from standins import now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# "At most 192 MB and 1,024 descriptors" on the days that are scored, and "half the memory and descriptors".
MEMORY_MB = 96
SOCKETS = 512
BACKENDS = 8
CROWD = 300  # "crowds of thousands that connect and idle or stop half way"
CROWD_BODY_BYTES = 4_000_000  # "bodies reach 32 MB"; each sends half of it
CROWD_STAYS_S = 4.0
RUN_S = 12.0
TIMEOUT_MS = 1000


async def main() -> int:
    record = standins.Record(HERE / "record.txt")
    discovery = standins.Discovery()
    await discovery.start()
    backends = [standins.BackendProcess(f"s-{number}", record) for number in range(BACKENDS)]
    proxy = standins.Proxy(
        record,
        discovery,
        standins.settings(
            standins.use_case("cek-status", "pure", 750.0, 2000.0),
            standins.use_case("ajukan-faktur", "token", 1500.0, 4000.0),
        ),
        memory_mb=MEMORY_MB,
        sockets=SOCKETS,
    )
    killed: list[float] = []
    peak_kb = 0
    outcomes: dict[str, int] = {}
    crowds: list[asyncio.subprocess.Process] = []

    async def limit_memory(pid: int) -> None:
        """The platform's side: kills the proxy over its limit. Only its own (anonymous) memory is counted, so neither files
        nor what it shares with other processes."""
        nonlocal peak_kb
        while True:
            lines = Path(f"/proc/{pid}/status").read_text().splitlines()
            own_kb = next((int(line.split()[1]) for line in lines if line.startswith("RssAnon:")), 0)
            peak_kb = max(peak_kb, own_kb)
            if own_kb > MEMORY_MB * 1024:
                proxy.processes[0].kill()
                killed.append(now())
                record.say(f"platform: killed the proxy, {own_kb} kB of {MEMORY_MB * 1024} kB")
                return
            await asyncio.sleep(0.005)

    async def ask(name: str) -> None:
        """An ordinary client: a short request on a connection of its own."""
        try:
            answer = await standins.call(proxy.port, standins.request_bytes(name, "cek-status", TIMEOUT_MS), 3.0)
            what = str(answer[0])
        except (EOFError, OSError, TimeoutError) as error:
            what = f"{type(error).__name__} {error}"
        outcomes[what] = outcomes.get(what, 0) + 1
        record.say(f"client: {name} {what}")

    try:
        for backend in backends:
            await backend.start()
            discovery.put(backend.name, backend.address, cell=1)
        process = await proxy.start()
        if not await proxy.ready():
            record.say("the proxy is not ready")
            return 2
        watching = asyncio.create_task(limit_memory(process.pid))
        asked = []
        for number in range(int(RUN_S * 20)):
            asked.append(asyncio.create_task(ask(f"r{number}")))
            if TROUBLE and number == 40:
                for _ in range(2):
                    crowd = await asyncio.create_subprocess_exec(
                        str(standins.ROOT / ".venv/bin/python"),
                        str(HERE.parent / "crowd.py"),
                        *map(str, (proxy.port, CROWD // 2, CROWD_BODY_BYTES, CROWD_STAYS_S)),
                        stdout=asyncio.subprocess.PIPE,
                    )
                    crowds.append(crowd)
                record.say(f"crowd: {CROWD} clients send half of {CROWD_BODY_BYTES} bytes and stay {CROWD_STAYS_S} s")
            if killed and now() > killed[0] + 1.0:
                break
            await asyncio.sleep(0.05)
        await asyncio.gather(*asked)
        watching.cancel()
        for crowd in crowds:
            said, _ = await crowd.communicate()
            record.say(f"crowd: {said.decode().strip()}")
        record.say(f"ordinary clients: {outcomes}")
        record.say(f"most memory of its own: {peak_kb} kB, limit {MEMORY_MB * 1024} kB")
        if process.returncode is not None and not killed:
            record.say(f"the proxy ended by itself: {process.returncode}")
            return 1
        return 1 if killed else 0
    finally:
        for crowd in crowds:
            if crowd.returncode is None:
                crowd.kill()
            await crowd.wait()
        await proxy.stop()
        for backend in backends:
            await backend.stop()


if __name__ == "__main__":
    try:
        sys.exit(asyncio.run(standins.within_limit(main())))
    except Exception as error:  # the case could not run
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
