"""Backends that are slow on the wire but sound: they pause within an answer, or read a request slowly or in part.

Each runs around a proxy in a process of its own. A request's id names the behaviour of whichever backend it reaches:
`<behaviour>-<number>`.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import socket
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

from tests.leavers import ProxyProcess
from tests.scene import SETTINGS

KILOBYTE = 1024
# The receive buffer of a backend that reads slowly, so that little of a request disappears in the kernel.
SMALL_BUFFER_BYTES = 16 * KILOBYTE
CHUNKED = "Transfer-Encoding: chunked\r\n"

SMALL_SEND_BUFFERS = Path(__file__).parent / "shims" / "small_send_buffers"
# The time for a connection as in the incident, which sets how long a silent answer was waited for.
SLOW_SETTINGS = {**SETTINGS, "policy-limits": {**SETTINGS["policy-limits"], "connect-timeout": 250.0}}

Writer = asyncio.StreamWriter


class Answer(NamedTuple):
    """How a backend writes an answer: each part after a pause, in seconds."""

    framing: str  # "chunked", "close" or "length"
    parts: tuple[tuple[float, int], ...]  # pauses and sizes in bytes
    ends: bool = True  # whether the backend ends the answer after its last part; otherwise it falls silent

    @property
    def length(self) -> int:
        return sum(size for _, size in self.parts)


class SlowReader(NamedTuple):
    """How a backend reads a request: at most `limit` bytes of the body, at `bytes_per_s`."""

    limit: int
    bytes_per_s: int


class SlowBackend:
    """Records when the head of each attempt arrived and how its connection ended, and behaves as its plan says."""

    def __init__(self, answers: dict[str, Answer], readers: dict[str, SlowReader]) -> None:
        self._answers = answers
        self._readers = readers
        self.heads: dict[str, list[float]] = defaultdict(list)  # by request id
        self.closed_early: dict[str, list[float]] = defaultdict(list)  # ended by the proxy within the answer
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self.listener.bind(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self.server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        self.listener.listen(256)
        self.server = await asyncio.start_server(self._serve, sock=self.listener, limit=SMALL_BUFFER_BYTES)

    def close(self) -> None:
        for task in self._serving:
            task.cancel()
        if self.server is not None:
            self.server.close()
        self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            try:
                while await self._serve_one(reader, writer):
                    pass
            except asyncio.CancelledError:
                writer.transport.abort()
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: Writer) -> bool:
        """Serves one request and returns whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
        request_id = fields["request-id"]
        behaviour = request_id.rpartition("-")[0]
        self.heads[request_id].append(time.monotonic())
        await self._read_body(reader, fields, self._readers.get(behaviour))
        answer = self._answers.get(behaviour, Answer("length", ((0.0, 2),)))
        if not await self._write_answer(writer, answer):
            self.closed_early[request_id].append(time.monotonic())
            return False
        return answer.framing != "close"

    async def _read_body(
        self, reader: asyncio.StreamReader, fields: dict[str, str], slow_reader: SlowReader | None
    ) -> None:
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
                await self._read_slowly(reader, size, slow_reader)
                await reader.readuntil(b"\r\n")
            await reader.readuntil(b"\r\n")
        else:
            await self._read_slowly(reader, int(fields.get("content-length", 0)), slow_reader)

    @staticmethod
    async def _read_slowly(reader: asyncio.StreamReader, size: int, slow_reader: SlowReader | None) -> None:
        if slow_reader is None:
            await _read_exactly(reader, size)
            return
        loop = asyncio.get_running_loop()
        left = min(size, slow_reader.limit)
        next_read_at = loop.time()
        while left > 0:
            part = min(left, SMALL_BUFFER_BYTES)
            await _read_exactly(reader, part)
            left -= part
            # Each sleep lasts a little longer than asked for, which the next one makes up for.
            next_read_at += part / slow_reader.bytes_per_s
            await asyncio.sleep(next_read_at - loop.time())
        if size > slow_reader.limit:
            await asyncio.Event().wait()  # reads no more, for as long as the test lasts

    @staticmethod
    async def _write_answer(writer: Writer, answer: Answer) -> bool:
        """Writes the answer and returns whether the proxy let it."""
        framing = {"chunked": CHUNKED, "close": "", "length": f"Content-Length: {answer.length}\r\n"}[answer.framing]
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n".encode())
        for pause, size in answer.parts:
            await asyncio.sleep(pause)
            if writer.transport.is_closing():
                return False
            data = b"a" * size
            writer.write(b"%x\r\n%s\r\n" % (size, data) if answer.framing == "chunked" else data)
            await writer.drain()
        if not answer.ends:
            await asyncio.Event().wait()
        if answer.framing == "chunked":
            writer.write(b"0\r\n\r\n")
        return not writer.transport.is_closing()


async def _read_exactly(reader: asyncio.StreamReader, size: int) -> None:
    while size > 0:
        data = await reader.read(min(size, SMALL_BUFFER_BYTES))
        if not data:
            raise asyncio.IncompleteReadError(b"", size)
        size -= len(data)


class SlowProxyProcess(ProxyProcess):
    """A proxy whose backends are slow as the request ids say. With `small_buffers` its kernel holds little of what it
    writes; `receive_buffer_bytes` sets how much it holds of what the proxy has still to read.
    """

    def __init__(
        self,
        answers: dict[str, Answer] | None = None,
        readers: dict[str, SlowReader] | None = None,
        backends: int = 3,
        small_buffers: bool = False,
        receive_buffer_bytes: int | None = None,
        **bootstrap_changes: Any,
    ) -> None:
        super().__init__(0, **{"settings": SLOW_SETTINGS, **bootstrap_changes})
        if small_buffers:
            self.environment = {"PYTHONPATH": str(SMALL_SEND_BUFFERS)}
            if receive_buffer_bytes is not None:
                self.environment["RECEIVE_BUFFER_BYTES"] = str(receive_buffer_bytes)
        self.slow_backends = [SlowBackend(answers or {}, readers or {}) for _ in range(backends)]
        self.backends = self.slow_backends  # type: ignore[assignment]

    async def __aenter__(self) -> SlowProxyProcess:
        for backend in self.slow_backends:
            await backend.open()
        await super().__aenter__()
        return self

    def heads(self, request_id: str) -> int:
        """How many attempts of a request reached a backend."""
        return sum(len(backend.heads.get(request_id, ())) for backend in self.slow_backends)


class Received(NamedTuple):
    """What a client received; times in seconds since its request's last byte was written."""

    status: str  # "" if there was no answer
    first_byte_s: float
    last_byte_s: float
    body_bytes: int
    whole: bool
    text: str = ""  # what was received, if it is short


SHORT_TEXT_BYTES = 400


async def exchange(
    port: int,
    request_bytes: bytes,
    patience_s: float = 12.0,
    write: Callable[[asyncio.StreamWriter], Awaitable[None]] | None = None,
) -> Received:
    """Sends a request and reads its answer to the end. `write` may write the request in another way."""
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    status, first_byte_at, body_bytes, whole, body = "", 0.0, 0, False, b""
    # The kernel takes the whole request at once, as it does for most clients on a local network.
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * KILOBYTE * KILOBYTE)
    if write is None:
        writer.write(request_bytes)
    else:
        await write(writer)
    written_at = loop.time()
    with contextlib.suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError, ValueError):
        async with asyncio.timeout(patience_s):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first_byte_at = loop.time()
            status = head.split(" ", 2)[1]
            if "transfer-encoding: chunked" in head.lower():
                while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
                    await _read_exactly(reader, size)
                    body_bytes += size
                    await reader.readuntil(b"\r\n")
                await reader.readuntil(b"\r\n")
                whole = True
            else:
                found = re.search(r"content-length: (\d+)", head.lower())
                expected = int(found[1]) if found else -1
                while body_bytes != expected and (data := await reader.read(64 * KILOBYTE)):
                    body_bytes += len(data)
                    body = (body + data)[:SHORT_TEXT_BYTES]
                whole = body_bytes == expected or expected < 0
    ended_at = loop.time()
    writer.transport.abort()
    return Received(
        status, first_byte_at - written_at, ended_at - written_at, body_bytes, whole, body.decode("latin-1").strip()
    )
