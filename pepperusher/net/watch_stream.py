"""One watch of discovery on one connection: the request for it, and its lines as they come whole."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from pepperusher.net.discovery_source import Refused, Silent
from pepperusher.net.endpoint_update import BadList, complete_objects
from pepperusher.net.connection import StreamConnection
from pepperusher.net.message import MAX_HEAD_BYTES, Request, encode_request

# A line that has begun is whole as soon as that, and a second later for each so many bytes that came: discovery may
# drip, or stop in the middle, and each byte alone is in time.
SLOWEST = 128 * 1024
# One line of a watch; more is no list.
LONGEST = 8 * 1024 * 1024
# What is there when the time for it is over is read within so many seconds.
READ_WITHIN = 0.1


class Heard(NamedTuple):
    """What came at once: whole objects, and what is wrong behind them. `word` where discovery has spoken, be it an empty
    line; a part of a line is no word."""

    objects: list[Any]
    bad: BadList | None
    word: bool


class WatchStream:
    """`silence` gives the seconds after which a watch that says nothing is dead."""

    def __init__(self, line: StreamConnection, silence: Callable[[], float]) -> None:
        self._line = line
        self._silence = silence
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._text = bytearray()
        self._until: float | None = None  # a call waits its turn till it is given up for another
        self._spoke_at = 0.0  # its head or last line

    def ask(self, address: tuple[str, int], after: int | None) -> None:
        """For what came after that version, or for the whole list."""
        host = f"{address[0]}:{address[1]}".encode()
        target = b"/v1/endpoints?watch=1" + (b"" if after is None else b"&after=%d" % after)
        self._line.send(encode_request(self._parser, Request(b"GET", target, [(b"host", host)], b"")))

    async def next(self) -> Heard | None:
        """What comes next; None at the end. Raises Refused, Silent, BadList, and what a connection may."""
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Refused(f"answered {event.status_code}", 0.0)
                self._spoke_at = asyncio.get_running_loop().time()
                self._until = self._spoke_at + self._silence()
            elif isinstance(event, h11.Data):
                return self._heard(event.data)
            else:
                return None

    async def _receive(self) -> None:
        try:
            async with asyncio.timeout_at(self._until):
                self._parser.receive_data(await self._line.read())
        except TimeoutError:
            if not self._line.has_unread_data:
                raise Silent(self._spoke_at) from None
            # Both were due at once, as after a process pause: what came is read, and ends the silence or does not.
            self._until = asyncio.get_running_loop().time() + READ_WITHIN

    def _heard(self, data: bytes | bytearray) -> Heard:
        self._text += data
        if len(self._text) > LONGEST:
            raise BadList("a line is too long")
        heard = Heard([], None, False)
        if b"\n" in data:
            objects, rest, bad = complete_objects(self._text)
            self._text = bytearray(rest)
            heard = Heard(objects, bad, bool(objects) or not rest and bad is None)
        if heard.word:
            self._spoke_at = asyncio.get_running_loop().time()
        self._until = self._spoke_at + self._silence() + len(self._text) / SLOWEST
        return heard
