"""The watch falls silent, a backend begins to drain, and discovery refuses calls for longer than half a minute."""

from __future__ import annotations

import asyncio
import sys
import time
from itertools import count
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.stage import (  # noqa: E402
    BROKEN,
    HELD,
    Backend,
    CannotRun,
    Discovery,
    Proxy,
    Stage,
    call,
    configuration,
    free_port,
    play,
    request_bytes,
    settings,
)

# A silent watch's changes count as told 6 s after it fell silent; then the grace of 500 ms, and 50 ms on sockets.
TOLD_S, GRACE_S = 6.0, 0.55
OUTAGE_S = 45.0


async def case(stage: Stage) -> int:
    discovery = Discovery(stage)
    await discovery.start()
    backends = []
    for number in range(3):
        backend = Backend(stage, f"s-{number}", cell=number)
        await backend.start()
        discovery.add(backend)
        backends.append(backend)
    proxy = Proxy(stage, "proxy", configuration(discovery, free_port(), settings()))
    await proxy.start()
    await proxy.ready()
    numbers = count(1)
    going = True
    answered: dict[int, int] = {}

    async def client() -> None:
        while going:
            answer = await call(proxy.port, request_bytes("GET", "cek-status", f"c{next(numbers)}", 2000), 3.0)
            answered[answer.status] = answered.get(answer.status, 0) + 1
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client()) for _ in range(4)]
    await asyncio.sleep(5.0)
    if not backends[0].arrived:
        raise CannotRun("the backend got no requests")
    if stage.trouble:
        stage.note("the watch falls silent, and discovery refuses calls")
        discovery.silent = discovery.refusing = True
    silent_at = time.monotonic()
    await asyncio.sleep(1.0)
    discovery.change("s-0", state="draining")
    await asyncio.sleep(OUTAGE_S)
    stage.note("discovery answers calls again")
    discovery.silent = discovery.refusing = False
    await asyncio.sleep(4.0)
    going = False
    await asyncio.gather(*clients)
    late = [run.at - silent_at for run in backends[0].arrived if run.at - silent_at > TOLD_S + GRACE_S]
    stage.note(f"answers by status: {answered}")
    stage.note(f"requests at the draining backend, later than {TOLD_S + GRACE_S} s after the silence: {len(late)}")
    if late:
        stage.note(f"the first came {late[0]:.2f} s after the silence began, the last {late[-1]:.2f} s")
    return BROKEN if late else HELD


if __name__ == "__main__":
    play(__file__, case)
