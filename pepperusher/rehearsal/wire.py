"""HTTP/1.1 as the stand-ins speak it: h11 on asyncio streams, apart from the proxy's own code, which it is to
test."""

from __future__ import annotations

import asyncio
import zlib
from time import monotonic_ns
from typing import NamedTuple

import h11

READ = 64 * 1024
HEAD = 64 * 1024
MOST = 256 * 1024

Headers = list[tuple[bytes, bytes]]


def clock() -> int:
    """us of the machine's monotonic clock, which all processes of a rehearsal share."""
    return monotonic_ns() // 1000


# Far beyond what a fleet takes to stand.
NOT_YET = 3_600_000_000


class Start:
    """When the rehearsal starts, on the clock; told once the fleet stands, and till then still to come: what
    happens before it has a time below 0."""

    __slots__ = ("at",)

    def __init__(self) -> None:
        self.at = clock() + NOT_YET


def relative_time(at: int, start: int) -> int:
    """A time of the clock as records have it, us after the start; -1 stays never."""
    return at - start if at >= 0 else -1


class Message(NamedTuple):
    """A ticket or an answer. `first` and `last` are when its first and its last byte were read (clock)."""

    head: h11.Request | h11.Response
    headers: dict[bytes, bytes]
    body: bytes
    first: int
    last: int


class BrokenConnection(Exception):
    """The other side ended, or sent what is no HTTP; `begun` where a part of a message had come."""

    def __init__(self, text: str, begun: bool = False) -> None:
        super().__init__(text)
        self.begun = begun


class Peer:
    """One connection with its parser, on either side."""

    __slots__ = ("reader", "writer", "parser", "used", "idle_since", "first")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, role: type) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(role, max_incomplete_event_size=HEAD)
        self.used = 0
        self.idle_since = clock()
        self.first = -1  # when a message's first byte came, -1 between messages

    async def receive(self) -> Message | None:
        """The next whole message, None where the other side ended between two. Raises BrokenConnection."""
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
                    if size > MOST:
                        raise BrokenConnection("a body without end", True)
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
        """Whether another message may follow; readies the parser for it."""
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
    """What a backend answers to the ticket `name`: nobody else makes this one."""
    made = f"done {name} {zlib.crc32(name.encode()) ^ 0x5EED:08x}\n".encode()
    return made + b"." * max(0, size - len(made))


def is_answer(body: bytes, name: str) -> bool:
    return body.startswith(answer_body(name))


def address_of(text: str) -> tuple[str, int]:
    """From "host:port". Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is no address:port")
    return host.strip("[]"), int(port)
