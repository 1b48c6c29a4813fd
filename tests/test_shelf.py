"""Tests that a proxy remembers the attempts of an idempotency key across a kill and a restart, on loopback."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path

from pepperusher.rehearsal.ports import free_port
from tests.scene import LONG_TIMEOUT_MS, LONG_TIMEOUT_SETTINGS, configuration


class Backend:
    """A backend that records tickets and then answers, closes the connection, or stays silent, as `does` says."""

    def __init__(self, does: str) -> None:
        self.does = does
        self.received: list[str] = []

    async def open(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.received.append(fields["idempotency-key"])
                if self.does == "break":
                    break
                if self.does == "silent":
                    await asyncio.sleep(30)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Kept(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder_path = Path(folder.name)
        self.own = self.folder_path / "own.toml"
        # More than the usual 50 ms: other tests write to the same disk, and none of these tests depends on that time.
        self.own.write_text(f'[store]\nfolder = "{self.folder_path}/store"\nwait = "5s"\n')
        # Two cells of two backends; a referenced ticket may only be retried within the cell of its first attempt.
        self.backends = {name: Backend("ok") for name in ("a1", "b1", "a2", "b2")}
        servers = [
            {
                "id": name,
                "addr": f"127.0.0.1:{await backend.open()}",
                "zone": "here",
                "cell": int(name[1:]),
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for name, backend in self.backends.items()
        ]
        self.port = free_port()
        bootstrap = configuration(
            listen=f"127.0.0.1:{self.port}",
            known={"version": 1, "full": True, "servers": servers},
            settings=LONG_TIMEOUT_SETTINGS,
        )
        (self.folder_path / "p.json").write_text(json.dumps(bootstrap))
        self.process: asyncio.subprocess.Process | None = None
        self.number = 0

    async def asyncTearDown(self) -> None:
        await self.kill()

    async def start(self) -> None:
        with open(self.folder_path / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pepperusher",
                "serve",
                "--config",
                str(self.folder_path / "p.json"),
                "--own",
                str(self.own),
                stderr=log,
            )
        until = time.monotonic() + 10
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.close()
                return
            except OSError:
                self.assertLess(time.monotonic(), until)
                await asyncio.sleep(0.02)

    async def kill(self, number: int = signal.SIGKILL) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()
        self.process = None

    def does(self, behaviour: str) -> None:
        for backend in self.backends.values():
            backend.does = behaviour

    def received(self, wanted_key: str) -> list[str]:
        return [name for name, backend in self.backends.items() for key in backend.received if key == wanted_key]

    async def send_ticket(self, key: str, time_left_ms: int = 1500, extra_headers: str = "") -> tuple[str, float]:
        """Sends a ticket. Returns its status and how long it took."""
        self.number += 1
        began = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /book HTTP/1.1\r\nHost: h\r\nRequest-Id: {self.number}\r\nRequest-Timeout: {time_left_ms}m\r\n"
            f"Idempotency-Key: {key}\r\n{extra_headers}Content-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head.decode().split()[1], time.monotonic() - began

    async def test_three_before_a_kill_are_three_for_good(self) -> None:
        self.does("break")
        await self.start()
        for _ in range(2):
            await self.send_ticket("m")
        sent = len(self.received("m"))
        self.assertEqual(sent, 3)
        await self.kill()
        await self.start()
        self.does("ok")
        status, took = await self.send_ticket("m", extra_headers="Client-Retry: 1\r\n")
        self.assertIn(status, ("502", "503"))
        self.assertLess(took, 0.5)
        self.assertEqual(len(self.received("m")), 3)
        self.assertEqual((await self.send_ticket("other"))[0], "200")

    async def test_after_a_kill_it_goes_on_within_the_group_that_knows_the_repeat(self) -> None:
        for number in range(6):
            mark = f"m{number}"
            self.does("silent")
            await self.start()
            asking = asyncio.create_task(self.send_ticket(mark, LONG_TIMEOUT_MS))
            while not self.received(mark):
                if asking.done():  # by an answer, or by the time that the client waits for one
                    self.fail(f"{asking} without an attempt\n{(self.folder_path / 'log').read_text()}")
                await asyncio.sleep(0.005)
            await self.kill()
            await asyncio.gather(asking, return_exceptions=True)
            first = self.received(mark)[0]
            await self.start()
            self.does("ok")
            self.assertEqual((await self.send_ticket(mark, LONG_TIMEOUT_MS))[0], "200")
            self.assertEqual({name[1] for name in self.received(mark)}, {first[1]})
            await self.kill()

    async def test_a_mark_is_forgotten_with_its_group(self) -> None:
        """A cell recognizes a repeat for 5 s. Instead of advancing the clock, the test stores older attempts."""
        from pepperusher.net import clock
        from pepperusher.store.disk import Disk
        from pepperusher.store.log import Log
        from pepperusher.store.tables import SENT, RequestMarks

        log, marks = Log(Disk(self.folder_path / "store")), RequestMarks(10)
        log.open()
        now = clock.now()
        for place in range(3):
            log.append([(SENT, marks.sent("book", "old", "a1", 1, now - 6_000_000 + place, now - 1_000_000))])
            log.append([(SENT, marks.sent("book", "new", "a1", 1, now - 1_000_000 + place, now + 60_000_000))])
        log.close()
        await self.start()
        self.assertEqual((await self.send_ticket("old"))[0], "200")
        self.assertIn((await self.send_ticket("new"))[0], ("502", "503"))
        self.assertEqual(self.received("new"), [])

    async def test_a_store_that_refuses_is_off_with_one_line_and_retries_go_out_once(self) -> None:
        await self.start()
        self.assertEqual((await self.send_ticket("m"))[0], "200")
        await self.kill(signal.SIGTERM)
        manifest = self.folder_path / "store" / "manifest"
        manifest.write_bytes(b"x" + manifest.read_bytes()[1:])
        await self.start()
        self.does("break")
        await self.send_ticket("n", extra_headers="Client-Retry: 1\r\n")
        self.assertEqual(len(self.received("n")), 1)
        await self.send_ticket("o")
        self.assertGreater(len(self.received("o")), 1)
        await self.kill()
        log_lines = [line for line in (self.folder_path / "log").read_text().splitlines() if "the store is off" in line]
        self.assertEqual(len(log_lines), 1)
        self.assertIn("manifest: is corrupt", log_lines[0])

    async def test_two_proxies_on_one_folder(self) -> None:
        await self.start()
        second = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(self.folder_path / "p.json"),
            "--own",
            str(self.own),
            "--listen",
            f"127.0.0.1:{free_port()}",
            stderr=asyncio.subprocess.PIPE,
        )
        assert second.stderr is not None
        async with asyncio.timeout(10):
            line = (await second.stderr.readline()).decode()
        second.kill()
        await second.communicate()
        self.assertIn("another process has it open", line)


if __name__ == "__main__":
    unittest.main()
