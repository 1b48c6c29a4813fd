"""A new configuration allows fewer attempts, and the proxy is killed while the change is still watched."""

from __future__ import annotations

import asyncio
import json
import sys
from itertools import count
from pathlib import Path
from signal import SIGHUP, SIGKILL

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

# The pages allow a proxy 30 s to be ready.
READY_S = 30.0
STARTS = 3


def own_file(stage: Stage, attempts: int) -> str:
    return (
        f'[changes]\nstate = "{stage.tmp}/changes"\n'
        '[[routes]]\nname = "look-ups"\nuse_case = "cek-status"\nmatch = { path = "/cek-status/{rest*}" }\n'
        f"attempts = {attempts}\n"
    )


async def case(stage: Stage) -> int:
    discovery = Discovery(stage)
    await discovery.start()
    for number in range(3):
        backend = Backend(stage, f"s-{number}", cell=number)
        await backend.start()
        discovery.add(backend)
    config = configuration(discovery, free_port(), settings())
    proxy = Proxy(stage, "first", config, own_file(stage, 3))
    await proxy.start()
    await proxy.ready()
    numbers = count(1)
    going = True

    async def client() -> None:
        while going:
            request_id = f"c{next(numbers)}"
            request = request_bytes("GET", "cek-status", request_id, 2000)
            await ask(stage, proxy.port, request_id, request, 3.0)
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client()) for _ in range(4)]
    await asyncio.sleep(2.0)
    # Both files are replaced whole, fit each other, and are read at one SIGHUP: two attempts in place of three.
    config["settings"]["policy-limits"]["most-transmissions"] = 2
    document = {**json.loads(proxy.config_path.read_text()), **config}
    for path, text in ((proxy.config_path, json.dumps(document)), (proxy.own_path, own_file(stage, 2))):
        following = path.with_suffix(path.suffix + ".new")
        following.write_text(text)
        following.replace(path)
    proxy.signal(SIGHUP)
    await asyncio.sleep(3.0)
    if not any("state applied" in line for line in proxy.log_lines()):
        raise CannotRun("the new configuration was not taken")
    refused = 0
    if stage.trouble:
        proxy.signal(SIGKILL)
        await proxy.ended(5.0)
        for start in range(1, STARTS + 1):
            again = Proxy(stage, f"start-{start}", config, own_file(stage, 2))
            await again.start()
            try:
                await again.ready(READY_S)
                break
            except CannotRun as error:
                stage.note(str(error))
                refused += 1
    else:
        await proxy.ready()
    await asyncio.sleep(1.0)
    going = False
    await asyncio.gather(*clients)
    stage.note(f"starts that were refused: {refused}")
    return BROKEN if refused else HELD


if __name__ == "__main__":
    play(__file__, case)
