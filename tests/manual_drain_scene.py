"""A proxy as processes, backends that operators take out, and discovery that can move.

Discovery, the backends and the clients run in the test's own process. The proxy is asked and changed as operators do it:
over the control socket, at the console, by signals and by its files.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

import pytest

from pepperusher.control import client
from pepperusher.control.client import RefusedError

from tests.reconfiguration_scene import GRACE, HOST, SETTINGS, Backend, Discovery, Received
from tests.replacement_scene import Process
from tests.scene import configuration, memory_folder, own_address

CONTROL = '[control]\nsocket = "HERE/control"\n'
STATE = 'state = "HERE/state"\n'
# A change is over after this time; none is undone for its errors.
WATCH = 'least = 100000\nwatch = "1s"\n'
WATCHED_LONG = 'least = 100000\nwatch = "1h"\n'
TIMEOUT_S = 60.0
# Requests that show whether a backend is sent to: one of three that are ready gets none of these by chance once in 10^10.
PROBES = 60
WHY = "maintenance"
OK = b"HTTP/1.1 200"
STATUS_BYTES = len(OK)


@pytest.mark.one_at_a_time  # each starts several processes, and other tests beside them depend on the time
class ManualDrainScene(unittest.IsolatedAsyncioTestCase):
    """Three backends, of which tests take out "b0", and two addresses of discovery."""

    changes = STATE + WATCH  # the table `changes` of the configuration file
    more = ""  # what else the file has

    async def asyncSetUp(self) -> None:
        self.folder = tempfile.mkdtemp(dir=memory_folder())
        self.addCleanup(shutil.rmtree, self.folder)
        self.received: list[Received] = []
        self.backends = [Backend(f"b{number}", self.received) for number in range(3)]
        self.discoveries = [Discovery(self.backends) for _ in range(2)]
        for server in (*self.backends, *self.discoveries):
            await server.start()
        self.listen = own_address()
        self.settings: dict[str, Any] = dict(SETTINGS)
        self.file = Path(self.folder, "config.json")
        self.write_settings(0)
        self.own = Path(self.folder, "own.toml")
        self.own.write_text(self.own_text())
        self.processes: list[Process] = []
        self.requests = 0
        self.answers: list[bytes] = []

    async def asyncTearDown(self) -> None:
        for process in self.processes:
            if process.process.returncode is None:
                process.process.kill()
            await process.process.wait()
            process.log.close()
        for server in (*self.discoveries, *self.backends):
            server.stop()

    # --- files and processes --------------------------------------------------------------------------

    def own_text(self) -> str:
        return (CONTROL + "[changes]\n" + self.changes + self.more).replace("HERE", self.folder)

    def write_settings(self, discovery: int) -> None:
        """Writes the platform's file, which names this address of discovery."""
        known = json.loads(self.discoveries[0].line(True))
        address = f"{HOST}:{self.discoveries[discovery].port}"
        content = configuration(listen=self.listen, discovery=address, known=known, settings=self.settings)
        self.file.write_text(json.dumps(content))

    async def start_process(self) -> Process:
        started = await Process(self, own_address()).start()  # type: ignore[arg-type]
        self.processes.append(started)
        return started

    async def process(self) -> Process:
        """Starts a process and waits until it is ready."""
        started = await self.start_process()
        await started.ready()
        return started

    @property
    def serving(self) -> Process:
        return self.processes[-1]

    async def replace(self) -> Process:
        """Starts a successor, and ends the process before it once the successor is ready."""
        before = self.serving
        following = await self.process()
        await before.end()
        await self.wait_for_control(following)
        return following

    async def kill_and_start(self) -> Process:
        await self.serving.end(signal.SIGKILL)
        following = await self.process()
        await self.wait_for_control(following)
        return following

    async def wait_for_control(self, process: Process) -> None:
        await process.wait_for_log("the control socket is open")

    async def hang_up(self, words: str) -> None:
        """Sends SIGHUP and waits until the log has `words` behind what it had before."""
        position = len(self.serving.log_text())
        self.serving.process.send_signal(signal.SIGHUP)
        await self.serving.wait_for_log(words, position)

    # --- commands ---------------------------------------------------------------------------------------

    async def ctl(self, do: str, **parameters: Any) -> dict[str, Any]:
        return await asyncio.to_thread(client.ask, f"{self.folder}/control", do, **parameters)

    async def drain(self, backend: str = "b0") -> dict[str, Any]:
        return (await self.ctl("drain", id=backend, who="ops", why=WHY))["change"]

    async def lift(self, backend: str = "b0") -> dict[str, Any]:
        return (await self.ctl("drain", id=backend, undo=True, who="ops", why="well again"))["change"]

    async def propose(self, text: str) -> dict[str, Any]:
        return (await self.ctl("propose", text=text, who="ops", why="a change"))["change"]

    async def digest(self) -> str:
        return str((await self.ctl("status"))["digest"])

    async def changes_are_over(self) -> None:
        """Waits until no change is open or waits."""
        async with asyncio.timeout(TIMEOUT_S):
            while (await self.ctl("status"))["open_change"] is not None:
                await asyncio.sleep(0.02)

    # --- traffic ----------------------------------------------------------------------------------------

    async def request(self) -> None:
        self.requests += 1
        host, _, port = self.listen.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"GET /look/page HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: r-{self.requests}\r\n"
            f"Request-Timeout: 20000m\r\nConnection: close\r\n\r\n".encode()
        )
        async with asyncio.timeout(TIMEOUT_S):
            self.answers.append((await reader.read())[:STATUS_BYTES])
        writer.close()

    async def send_requests(self, count: int = PROBES) -> dict[str, int]:
        """Sends requests one after another. Returns how many each backend got; all are answered."""
        answered, received = len(self.answers), len(self.received)
        for _ in range(count):
            await self.request()
        self.assertEqual([OK] * count, self.answers[answered:])
        backends = [request.backend for request in self.received[received:]]
        return {backend.name: backends.count(backend.name) for backend in self.backends}

    async def assert_out(self, *names: str) -> None:
        """After the grace nothing goes to these backends, and all requests are answered by the others."""
        await asyncio.sleep(GRACE)
        counts = await self.send_requests()
        self.assertEqual(dict.fromkeys(names, 0), {name: counts[name] for name in names}, counts)
        self.assertEqual(PROBES, sum(counts.values()))

    async def assert_back(self, name: str = "b0") -> None:
        """The backend gets requests; few at first, since it counts as cold."""
        until = time.monotonic() + TIMEOUT_S
        while not (counts := await self.send_requests(10))[name]:
            self.assertLess(time.monotonic(), until, f"{name} gets nothing: {counts}")
            await asyncio.sleep(0.1)


__all__ = ["RefusedError", "ManualDrainScene"]
