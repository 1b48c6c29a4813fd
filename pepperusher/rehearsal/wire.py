"""The HTTP/1.1 implementation of the simulated clients, backends and discovery: h11 on asyncio streams. It shares no
code with the proxy, which it is used to test."""

from __future__ import annotations

import asyncio
import zlib
from time import monotonic_ns
from typing import NamedTuple

import h11

READ = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 256 * 1024

Headers = list[tuple[bytes, bytes]]


def clock() -> int:
    """us of the machine's monotonic clock, which all processes of a rehearsal share."""
    return monotonic_ns() // 1000


# One hour in us: longer than the processes of any rehearsal take to start.
START_UNKNOWN = 3_600_000_000


class Start:
    """The clock time at which the run starts. It is set once the fleet is ready and lies in the future until then, so
    that earlier events have times below 0."""

    __slots__ = ("at",)

    def __init__(self) -> None:
        self.at = clock() + START_UNKNOWN


def relative_time(at: int, start: int) -> int:
    """Converts a clock time to the form used in records, us after the start; -1 ("never") stays -1."""
    return at - start if at >= 0 else -1


class Message(NamedTuple):
    """A complete request or response. `first` and `last` are the clock times at which its first and last byte were
    read."""

    head: h11.Request | h11.Response
    headers: dict[bytes, bytes]
    body: bytes
    first: int
    last: int


class BrokenConnection(Exception):
    """The peer closed the connection within a message or sent invalid HTTP. `begun` is whether a part of the message had
    arrived."""

    def __init__(self, text: str, begun: bool = False) -> None:
        super().__init__(text)
        self.begun = begun


class Peer:
    """One connection with its HTTP parser, for a client or a server."""

    __slots__ = ("reader", "writer", "parser", "used", "idle_since", "first")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, role: type) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(role, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.used = 0
        self.idle_since = clock()
        self.first = -1  # clock time of the current message's first byte, -1 between messages

    async def receive(self) -> Message | None:
        """The next complete message; None if the peer closed the connection between messages. Raises
        BrokenConnection."""
        head: h11.Request | h11.Response | None = None
        body: list[bytes] = []
        size = 0
        self.first = clock() if self.parser.trailing_data[0] else -1
        last = clock()
        try:
            while True:
                event = self.parser.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read(READ)
                    last = clock()
                    if data and self.first < 0:
                        self.first = last
                    if not data and self.first < 0:
                        return None
                    self.parser.receive_data(data)
                elif isinstance(event, (h11.Request, h11.Response)):
                    head = event
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > MAX_BODY_BYTES:
                        raise BrokenConnection("message body exceeds the size limit", True)
                    body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    assert head is not None
                    return Message(head, dict(head.headers), b"".join(body), self.first, last)
                elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    return None
        except (OSError, h11.RemoteProtocolError) as error:
            raise BrokenConnection(f"{type(error).__name__}: {error}", self.first >= 0) from None

    def send(self, head: h11.Request | h11.Response, body: bytes = b"") -> None:
        parts = [self.parser.send(head)]
        if body:
            parts.append(self.parser.send(h11.Data(data=body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        self.writer.write(b"".join(part for part in parts if part))

    def again(self) -> bool:
        """Prepares the parser for the next message; returns false if the connection cannot be reused."""
        if self.parser.our_state is not h11.DONE or self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.used += 1
        self.idle_since = clock()
        return True

    def abort(self) -> None:
        self.writer.transport.abort()

    def close(self) -> None:
        self.writer.close()

    @property
    def ended(self) -> bool:
        return self.reader.at_eof() or self.reader.exception() is not None or self.writer.transport.is_closing()


async def open_peer(address: tuple[str, int]) -> Peer:
    return Peer(*await asyncio.open_connection(*address, limit=READ), h11.CLIENT)


def answer_body(name: str, size: int = 0) -> bytes:
    """The response body of a backend for the ticket `name`, padded to `size` bytes. The checksum tells it from the
    bodies of other tickets."""
    content = f"done {name} {zlib.crc32(name.encode()) ^ 0x5EED:08x}\n".encode()
    return content + b"." * max(0, size - len(content))


def is_answer(body: bytes, name: str) -> bool:
    return body.startswith(answer_body(name))


def address_of(text: str) -> tuple[str, int]:
    """From "host:port". Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host.strip("[]"), int(port)
