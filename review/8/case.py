"""A backend is drained with ctl; later a new configuration moves discovery."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from itertools import count
from pathlib import Path
from signal import SIGHUP

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common_2.stage import (  # noqa: E402
    BROKEN,
    HELD,
    HOST,
    ROOT,
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

# The settings' figure, and 50 ms that each time limit is longer on sockets.
GRACE_S = 0.55


async def ctl(stage: Stage, *words: str) -> str:
    process = await asyncio.create_subprocess_exec(
        str(ROOT / ".venv/bin/python"), "-B", "-m", "pepperusher", "ctl", "--socket", f"{stage.tmp}/control", *words,
        cwd=ROOT, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    try:
        text = (await asyncio.wait_for(process.communicate(), 10.0))[0].decode().strip()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    stage.note(f"ctl {' '.join(words)}: {process.returncode}: {text}")
    if process.returncode:
        raise CannotRun("ctl failed")
    return text


async def case(stage: Stage) -> int:
    discovery, moved = Discovery(stage), Discovery(stage)
    await discovery.start()
    await moved.start()
    backends = []
    for number in range(3):
        backend = Backend(stage, f"s-{number}", cell=number)
        await backend.start()
        discovery.add(backend)
        backends.append(backend)
    moved.servers = discovery.servers
    config = configuration(discovery, free_port(), settings())
    own = (
        f'[control]\nsocket = "{stage.tmp}/control"\n[changes]\nstate = "{stage.tmp}/changes"\nwatch = "2s"\n'
        '[[routes]]\nname = "look-ups"\nuse_case = "cek-status"\nmatch = { path = "/cek-status/{rest*}" }\n'
        "concurrency = { most = 50, queue = 20 }\n"
    )
    proxy = Proxy(stage, "first", config, own)
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
    await ctl(stage, "drain", "s-0", "--why", "maintenance of the mesin")
    told_at = time.monotonic()
    await asyncio.sleep(4.0)
    if "confirmed" not in await ctl(stage, "history"):
        raise CannotRun("the drain was not confirmed")
    late = [run for run in backends[0].arrived if run.at - told_at > GRACE_S]
    if late:
        raise CannotRun("the drain did not take effect")
    if stage.trouble:
        config["discovery"] = f"{HOST}:{moved.port}"
        following = proxy.config_path.with_suffix(".new")
        following.write_text(json.dumps({**json.loads(proxy.config_path.read_text()), **config}))
        following.replace(proxy.config_path)
        proxy.signal(SIGHUP)
    await asyncio.sleep(5.0)
    going = False
    await asyncio.gather(*clients)
    await ctl(stage, "history")
    late = [run for run in backends[0].arrived if run.at - told_at > GRACE_S]
    stage.note(f"requests at the drained backend, later than {GRACE_S} s after the yes: {len(late)}")
    if late:
        stage.note(f"the first came {late[0].at - told_at:.2f} s after the yes, the last {late[-1].at - told_at:.2f} s")
    return BROKEN if late else HELD


if __name__ == "__main__":
    play(__file__, case)
