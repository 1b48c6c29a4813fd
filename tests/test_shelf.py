"""What a proxy knows of a mark over its own end: killed, started again, and asked once more, on loopback."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.scene import configuration


class Backend:
    """Notes which tickets came; answers, ends the connection, or says nothing, as it is told."""

    def __init__(self, does: str) -> None:
        self.does = does
        self.came: list[str] = []

    async def open(self) -> int:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
                await reader.readexactly(int(fields.get("content-length", 0)))
                self.came.append(fields["idempotency-key"])
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
        self.at = Path(folder.name)
        self.own = self.at / "own.toml"
        # Not the 50 ms of every day: other tests write to the same disk, and none of these is about its times.
        self.own.write_text(f'[store]\nfolder = "{self.at}/store"\nwait = "1s"\n')
        # Two groups of two; a referenced ticket may only go on within the first's.
        self.backends = {name: Backend("ok") for name in ("a1", "b1", "a2", "b2")}
        servers = [
            {
                "id": name,
                "addr": f"127.0.0.1:{await one.open()}",
                "zone": "here",
                "cell": int(name[1:]),
                "state": "ready",
                "weight": 1.0,
                "started_ms": 0,
            }
            for name, one in self.backends.items()
        ]
        self.port = self.free()
        told = configuration(listen=f"127.0.0.1:{self.port}", known={"version": 1, "full": True, "servers": servers})
        (self.at / "p.json").write_text(json.dumps(told))
        self.process: asyncio.subprocess.Process | None = None
        self.number = 0

    @staticmethod
    def free() -> int:
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            return int(free.getsockname()[1])

    async def asyncTearDown(self) -> None:
        await self.kill()

    async def start(self) -> None:
        with open(self.at / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pepperusher",
                "serve",
                "--config",
                str(self.at / "p.json"),
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

    def does(self, what: str) -> None:
        for one in self.backends.values():
            one.does = what

    def came(self, mark: str) -> list[str]:
        return [name for name, one in self.backends.items() for key in one.came if key == mark]

    async def ask(self, mark: str, left: int = 1500, more: str = "") -> tuple[str, float]:
        """The status, and how long it took."""
        self.number += 1
        began = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            f"POST /book HTTP/1.1\r\nHost: h\r\nRequest-Id: {self.number}\r\nRequest-Timeout: {left}m\r\n"
            f"Idempotency-Key: {mark}\r\n{more}Content-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(5):
            head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return head.decode().split()[1], time.monotonic() - began

    async def test_three_before_a_kill_are_three_for_good(self) -> None:
        self.does("break")
        await self.start()
        for _ in range(2):
            await self.ask("m")
        sent = len(self.came("m"))
        self.assertEqual(sent, 3)
        await self.kill()
        await self.start()
        self.does("ok")
        status, took = await self.ask("m", more="Client-Retry: 1\r\n")
        self.assertIn(status, ("502", "503"))
        self.assertLess(took, 0.5)
        self.assertEqual(len(self.came("m")), 3)
        self.assertEqual((await self.ask("other"))[0], "200")

    async def test_after_a_kill_it_goes_on_within_the_group_that_knows_the_repeat(self) -> None:
        for number in range(6):
            mark = f"m{number}"
            self.does("silent")
            await self.start()
            asking = asyncio.create_task(self.ask(mark, 900))
            while not self.came(mark):
                await asyncio.sleep(0.005)
            await self.kill()
            await asyncio.gather(asking, return_exceptions=True)
            first = self.came(mark)[0]
            await self.start()
            self.does("ok")
            self.assertEqual((await self.ask(mark))[0], "200")
            self.assertEqual({name[1] for name in self.came(mark)}, {first[1]})
            await self.kill()

    async def test_a_mark_is_forgotten_with_its_group(self) -> None:
        """The group knows a repeat for 5 s; a clock that far on is stood in for by a store that says so."""
        from pepperusher.net import clock
        from pepperusher.store.disk import Disk
        from pepperusher.store.log import Log
        from pepperusher.store.tables import SENT, RequestMarks

        log, marks = Log(Disk(self.at / "store")), RequestMarks(10)
        log.open()
        now = clock.now()
        for place in range(3):
            log.append([(SENT, marks.sent("book", "old", "a1", 1, now - 6_000_000 + place, now - 1_000_000))])
            log.append([(SENT, marks.sent("book", "new", "a1", 1, now - 1_000_000 + place, now + 60_000_000))])
        log.close()
        await self.start()
        self.assertEqual((await self.ask("old"))[0], "200")
        self.assertIn((await self.ask("new"))[0], ("502", "503"))
        self.assertEqual(self.came("new"), [])

    async def test_a_store_that_refuses_is_off_with_one_line_and_retries_go_out_once(self) -> None:
        await self.start()
        self.assertEqual((await self.ask("m"))[0], "200")
        await self.kill(signal.SIGTERM)
        manifest = self.at / "store" / "manifest"
        manifest.write_bytes(b"x" + manifest.read_bytes()[1:])
        await self.start()
        self.does("break")
        await self.ask("n", more="Client-Retry: 1\r\n")
        self.assertEqual(len(self.came("n")), 1)
        await self.ask("o")
        self.assertGreater(len(self.came("o")), 1)
        await self.kill()
        said = [line for line in (self.at / "log").read_text().splitlines() if "the store is off" in line]
        self.assertEqual(len(said), 1)
        self.assertIn("manifest: is corrupt", said[0])

    async def test_two_proxies_on_one_folder(self) -> None:
        await self.start()
        second = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(self.at / "p.json"),
            "--own",
            str(self.own),
            "--listen",
            f"127.0.0.1:{self.free()}",
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
