"""One connection that sends at full speed keeps nobody else from an answer in time, and takes no memory that grows."""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import unittest
from collections.abc import Callable
from itertools import count
from pathlib import Path

from tests.leavers import LONG_TIMEOUT_SETTINGS, request
from tests.memory_crowds import ask_ordinary
from tests.slow_backends import SlowProxyProcess

FLOOD_S = 4.0
# An ordinary request that takes this long beside a flood has lost much of its client's time, which is 2 s.
SLOWEST_S = 0.5
# A few requests may be refused, since the flood's own requests take backends' time.
SERVED_SHARE = 0.9
# Memory that a flood takes once, for buffers; what grows further grows without end.
GROWTH_BYTES = 8 * 1024 * 1024
REQUESTS_AT_ONCE = 200

_numbers = count(1)


def _many(make: Callable[[int], bytes]) -> bytes:
    return b"".join(make(next(_numbers)) for _ in range(REQUESTS_AT_ONCE))


def _byte_chunks() -> bytes:
    return b"1\r\nz\r\n" * 5_000


BYTE_CHUNKS_HEAD = request("book", "chunks").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
# What a client sends first, and again and again after that.
FLOODS: dict[str, tuple[bytes, Callable[[], bytes]]] = {
    "questions": (b"", lambda: b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n" * REQUESTS_AT_ONCE),
    "new ids": (b"", lambda: _many(lambda number: request("look", f"flood-{number}"))),
    "new classes": (b"", lambda: _many(lambda number: request(f"class{number}", f"flood-{number}"))),
    "new names": (
        b"",
        lambda: _many(
            lambda number: request("book", f"flood-{number}").replace(
                b"Host:", b"Tenant: tenant-%d\r\nX-Field-%d: 1\r\nHost:" % (number, number)
            )
        ),
    ),
    "no id": (b"", lambda: _many(lambda number: b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % number)),
    "unsound": (b"", lambda: _many(lambda number: b"GET / %d\r\n\r\n" % number)),
    "chunks of a byte": (BYTE_CHUNKS_HEAD, _byte_chunks),
    "many fields": (
        b"",
        lambda: _many(lambda number: request("look", f"flood-{number}")[:-2] + b"a:\r\n" * 200 + b"\r\n"),
    ),
}


def own_memory_of(pid: int) -> int:
    found = re.search(r"RssAnon:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
    assert found is not None
    return int(found[1]) * 1024


class Flood:
    """A client that sends at full speed on one connection, and opens another when that is closed."""

    def __init__(self, port: int, first: bytes, more: Callable[[], bytes]) -> None:
        self._port, self._first, self._more = port, first, more
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            with socket.socket() as client, contextlib.suppress(OSError):
                client.setblocking(False)
                await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", self._port))
                reading = asyncio.create_task(self._read(client))
                try:
                    await self._write(client)
                finally:
                    reading.cancel()
            await asyncio.sleep(0.01)

    async def _write(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(client, self._first)
        while True:
            await loop.sock_sendall(client, self._more())

    @staticmethod
    async def _read(client: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while await asyncio.get_running_loop().sock_recv(client, 65536):
                pass

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.wait([self._task])


class Floods(unittest.IsolatedAsyncioTestCase):
    # Guards against a flood on one connection that leaves others without an answer in time, or takes ever more memory.
    async def test_others_are_answered_in_time_and_memory_does_not_grow(self) -> None:
        loop = asyncio.get_running_loop()
        # The backends and the flood share this loop, which is several times slower in unittest's debug mode.
        loop.set_debug(False)
        for name, (first, more) in FLOODS.items():
            async with SlowProxyProcess(
                backends=8, limits={"memory_mb": 64, "sockets": 1024}, settings=LONG_TIMEOUT_SETTINGS
            ) as proxy_process:
                pid = proxy_process.process.pid
                flood = Flood(proxy_process.port, first, more)
                await asyncio.sleep(FLOOD_S / 4)
                early, asked, ends_at = own_memory_of(pid), [], loop.time() + FLOOD_S
                while loop.time() < ends_at:
                    asked.append(asyncio.create_task(ask_ordinary(proxy_process.port, len(asked))))
                    await asyncio.sleep(0.1)
                results = await asyncio.gather(*asked)
                grown = own_memory_of(pid) - early
                await flood.stop()
            with self.subTest(name):
                statuses = [status for status, _ in results]
                self.assertLessEqual(set(statuses), {"200", "503"})
                self.assertGreaterEqual(statuses.count("200"), SERVED_SHARE * len(statuses), statuses)
                self.assertLess(max(seconds for _, seconds in results), SLOWEST_S)
                self.assertLess(grown, GROWTH_BYTES)


if __name__ == "__main__":
    unittest.main()
