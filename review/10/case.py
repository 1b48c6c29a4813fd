"""A proxy with a control socket is replaced while it serves."""

from __future__ import annotations

import asyncio
import sys
from itertools import count
from pathlib import Path
from signal import SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.stage import (  # noqa: E402
    BROKEN,
    HELD,
    Backend,
    CannotRun,
    Discovery,
    Proxy,
    Stage,
    ask,
    configuration,
    free_port,
    play,
    request_bytes,
    settings,
)


async def case(stage: Stage) -> int:
    discovery = Discovery(stage)
    await discovery.start()
    for number in range(3):
        backend = Backend(stage, f"s-{number}", cell=number)
        await backend.start()
        discovery.add(backend)
    config = configuration(discovery, free_port(), settings())
    own = f'[control]\nsocket = "{stage.tmp}/control"\n'
    old = Proxy(stage, "old", config, own, console=free_port())
    await old.start()
    await old.ready()
    if not stage.trouble:
        new = old
    lost: list[str] = []
    numbers = count(1)
    going = True

    async def client() -> None:
        """Sends one request after the other, each on a connection of its own."""
        while going:
            request_id = f"c{next(numbers)}"
            request = request_bytes("GET", "cek-status", request_id, 2000)
            answer = await ask(stage, old.port, request_id, request, 3.0)
            if not answer.status:
                lost.append(f"{request_id}: {answer.why}")
            await asyncio.sleep(0.02)

    clients = [asyncio.create_task(client()) for _ in range(8)]
    await asyncio.sleep(1.0)
    crashed = False
    if stage.trouble:
        new = Proxy(stage, "new", config, own, console=free_port())
        await new.start()
        try:
            await new.console_ready(6.0)
        except CannotRun as error:
            stage.note(str(error))
            crashed = True
        if not crashed:
            old.signal(SIGTERM)
            await old.ended(4.0)
    await asyncio.sleep(2.0)
    going = False
    await asyncio.gather(*clients)
    stage.note(f"new process crashed: {crashed}; requests without an answer: {len(lost)}")
    return BROKEN if crashed else HELD


if __name__ == "__main__":
    play(__file__, case)
