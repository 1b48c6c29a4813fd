"""Processes of one proxy that replace each other, with clients, backends and discovery in the test process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from tests.scene import LONG_TIMEOUT_MS, LONG_TIMEOUT_SETTINGS, ProxyTestCase, memory_folder, own_address
from tests.stalls import StallMeter

# A client's answer that takes longer is late; time in which the test, and with it client and backends, stood still does not
# count.
ANSWER_WITHIN_S = ProxyTestCase.timeout_ms / 1000


class Process:
    """A `serve` process, started as the platform starts it."""

    def __init__(self, owner: ReplacementTestCase, console: str) -> None:
        self.owner, self.console = owner, console

    async def start(self) -> Process:
        self.log = tempfile.TemporaryFile("w+")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(self.owner.file),
            "--console",
            self.console,
            *(["--own", str(self.owner.own)] if self.owner.own is not None else []),
            env={**os.environ, "TMPDIR": self.owner.folder},
            stderr=self.log,
        )
        return self

    async def ready(self) -> None:
        async with asyncio.timeout(60):  # on a busy machine a start alone takes over 10 s
            while "200" not in await self.call("GET", "/-/ready"):
                if self.process.returncode is not None:
                    raise AssertionError(f"ended with {self.process.returncode} before it was ready: {self.log_text()}")
                await asyncio.sleep(0.02)

    async def call(self, method: str, path: str) -> str:
        host, port = self.console.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return "nobody"
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        answer = (await reader.read()).decode().split("\r\n")[0]
        writer.close()
        return answer

    async def wait_for_log(self, words: str, after: int = 0) -> int:
        """Waits until the log contains `words` behind position `after`. Returns the position behind them."""
        async with asyncio.timeout(60):
            while True:
                text = self.log_text()
                if (position := text.find(words, after)) >= 0:
                    return position + len(words)
                await asyncio.sleep(0.02)

    def log_text(self) -> str:
        # Not by seek, as the process shares the file position.
        return os.pread(self.log.fileno(), 1 << 20, 0).decode()

    async def end(self, how: int = signal.SIGTERM) -> int:
        if self.process.returncode is None:
            self.process.send_signal(how)
        async with asyncio.timeout(10):
            return await self.process.wait()


class ReplacementTestCase(ProxyTestCase):
    """A scene with clients, backends and discovery in the test process, and the proxy as any number of processes."""

    async def start_scene(self, *names: str, own: str | None = None, **changes: object) -> None:
        """`own` is the text of the processes' own file, in which HERE stands for the scene's folder; `changes` override
        entries of the configuration.
        """
        await self.open(*names, **changes)  # this in-process proxy is used only for its stub backends
        folder = tempfile.TemporaryDirectory(dir=memory_folder())
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        listen = own_address()
        host, _, port = listen.partition(":")
        self.at = host, int(port)
        given = {**json.loads(self.given), "listen": listen}
        self.file = Path(self.folder, "config.json")
        self.file.write_text(json.dumps(given))
        self.own: Path | None = None
        if own is not None:
            self.own = Path(self.folder, "own.toml")
            self.own.write_text(own.replace("HERE", self.folder))
        self.processes: list[Process] = []
        self.outcome_counts: dict[str, int] = {}
        self.failures: list[str] = []
        self.number = 1000
        self.stalls = StallMeter()
        self.stalls.start()
        self.addCleanup(self.stalls.stop)

    async def start_scene_for_clients(self, *names: str, own: str | None = None) -> None:
        """As `start_scene`, with timeouts so long that no attempt ends, and no breaker opens, because this process did not
        run its backends: each answer other than 200 is the proxy's. The clients measure the time themselves.
        """
        self.timeout_ms = LONG_TIMEOUT_MS
        await self.start_scene(*names, own=own, settings=LONG_TIMEOUT_SETTINGS)

    async def start_process(self, console: str = "") -> Process:
        """Starts a process; `console` is the address of its console, one of its own if empty."""
        started = await Process(self, console or own_address()).start()
        self.processes.append(started)
        return started

    async def process(self) -> Process:
        """Starts a process and waits until it is ready."""
        started = await self.start_process()
        await started.ready()
        return started

    async def client(self, kept: bool, stop: asyncio.Event) -> None:
        """Sends one ticket after another. A connection closed between two tickets is allowed; a ticket cut off, or
        answered late, is counted as a failure.
        """
        connection = None
        while not stop.is_set():
            self.number += 1
            number = self.number
            try:
                if connection is None:
                    connection = await asyncio.open_connection(*self.at)
                began, stalled_before = time.monotonic(), self.stalls.total_s
                connection[1].write(self.request("look", number))
                async with asyncio.timeout(3):
                    answer = await self.read_response(connection[0])
                took = time.monotonic() - began - (self.stalls.total_s - stalled_before)
                if took > ANSWER_WITHIN_S:
                    answer = f"late: {took:.3f} s, {answer}"
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                answer, connection = type(error).__name__, None
            outcome = answer.split()[0] if answer[0].isdigit() else answer
            self.outcome_counts[outcome] = self.outcome_counts.get(outcome, 0) + 1
            if outcome != "200":
                self.failures.append(f"{time.time():.3f} request {number}: {answer}")
            if connection is not None and (not kept or "closing" in answer or answer[0] == "t"):
                connection[1].close()
                connection = None
            await asyncio.sleep(0.005)

    def evidence(self) -> str:
        """What the clients met, when this test process did not run, and the log of each process."""
        stalls = [
            f"{ended_at:.3f} this test stood still for {seconds:.3f} s" for ended_at, seconds in self.stalls.long_stalls
        ]
        logs = [process.log_text() for process in self.processes]
        return "\n".join([str(self.outcome_counts), *self.failures, *stalls, *logs])

    async def asyncTearDown(self) -> None:
        for process in self.processes:
            if process.process.returncode is None:
                process.process.kill()
                await process.process.wait()
            process.log.close()
        await super().asyncTearDown()
