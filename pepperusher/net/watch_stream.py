"""One watch of discovery on one connection: sends the request and reads complete objects from the response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

import h11

from pepperusher.net.discovery_source import CallRefusedError, WatchSilentError
from pepperusher.net.endpoint_update import BadList, complete_objects
from pepperusher.net.connection import StreamConnection
from pepperusher.net.message import MAX_HEAD_BYTES, Request, encode_request

# Minimum rate of a line in bytes per second: each received part of a line extends the silence timeout by the time that
# it takes at this rate. Without a minimum, discovery could send byte by byte, or stop inside a line, with each byte in
# time.
LINE_MIN_BYTES_PER_S = 128 * 1024
# Maximum length of one line; a longer one is not a list.
LINE_MAX_BYTES = 8 * 1024 * 1024
# Time to read data that is already there when the deadline passes.
LATE_READ_S = 0.1


class WatchData(NamedTuple):
    """What one read returned: complete objects, and the error behind them if any.

    `has_message` says whether a message of discovery was completed, which may be an empty line; part of a line does not
    count.
    """

    objects: list[Any]
    error: BadList | None
    has_message: bool


class WatchStream:
    """Reads one watch. `silence_timeout` gives the seconds without a message after which the watch is dead;
    `max_line_bytes` is the length of the longest line.
    """

    def __init__(
        self, connection: StreamConnection, silence_timeout: Callable[[], float], max_line_bytes: int = LINE_MAX_BYTES
    ) -> None:
        self._connection = connection
        self._silence_timeout = silence_timeout
        self._max_line_bytes = max_line_bytes
        self._parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._text = bytearray()
        self._deadline: float | None = None  # None until the response head: a queued call waits without a deadline
        self._last_message_at = 0.0  # when the response head or the last line arrived

    def send_request(self, address: tuple[str, int], after: int | None) -> None:
        """Sends the watch request: for changes after version `after`, or for the full list where that is None."""
        host = f"{address[0]}:{address[1]}".encode()
        target = b"/v1/endpoints?watch=1" + (b"" if after is None else b"&after=%d" % after)
        self._connection.send(encode_request(self._parser, Request(b"GET", target, [(b"host", host)], b"")))

    async def read_next(self) -> WatchData | None:
        """Returns the next part of the stream, None at its end. Raises CallRefusedError, WatchSilentError, BadList, and
        connection errors.
        """
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise CallRefusedError(f"answered {event.status_code}", 0.0)
                self._last_message_at = asyncio.get_running_loop().time()
                self._deadline = self._last_message_at + self._silence_timeout()
            elif isinstance(event, h11.Data):
                return self._parse_data(event.data)
            else:
                return None

    async def _receive(self) -> None:
        """Reads from the connection into the parser. Raises WatchSilentError at the deadline if no data is left to
        read.
        """
        try:
            async with asyncio.timeout_at(self._deadline):
                self._parser.receive_data(await self._connection.read())
        except TimeoutError:
            if not self._connection.has_unread_data:
                raise WatchSilentError(self._last_message_at) from None
            # The data and the deadline were due at once, as after a process pause: the data is read first and may end
            # the silence.
            self._deadline = asyncio.get_running_loop().time() + LATE_READ_S

    def _parse_data(self, data: bytes | bytearray) -> WatchData:
        """Adds received data to the text so far, and extends the deadline after a message."""
        self._text += data
        if len(self._text) > self._max_line_bytes:
            raise BadList("a line is too long")
        result = WatchData([], None, False)
        if b"\n" in data:
            objects, rest, error = complete_objects(self._text)
            self._text = bytearray(rest)
            result = WatchData(objects, error, bool(objects) or not rest and error is None)
        if result.has_message:
            self._last_message_at = asyncio.get_running_loop().time()
        self._deadline = self._last_message_at + self._silence_timeout() + len(self._text) / LINE_MIN_BYTES_PER_S
        return result
