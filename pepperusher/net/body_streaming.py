"""Bodies too long to be held: a request's rest, read as it is sent on, and an answer passed on as it
comes."""

from __future__ import annotations

from collections.abc import Callable

import h11

from pepperusher.net.connection import StreamConnection
from pepperusher.net.message import MAX_BODY_BYTES, Answer, BadMessage, read_data


class RequestBodyReader:
    """The rest of a request's body. `waits` is told while it is its caller's turn.

    Once `touched`, what was read is gone: there is no second attempt.
    """

    __slots__ = ("_parser", "_line", "_waits", "_length", "touched", "bad")

    def __init__(
        self, parser: h11.Connection, line: StreamConnection, held: int, waits: Callable[[bool], None]
    ) -> None:
        self._parser = parser
        self._line = line
        self._waits = waits
        self._length = held
        self.touched = False
        self.bad: tuple[str, int] | None = None

    async def read(self) -> bytes:
        """The next part, nothing at the end. Raises BadMessage, and keeps it, where there is no end."""
        if not self.touched:
            # Nothing further goes out: where its client is by now changes nothing that its end, in its turn, does not.
            self.touched, self._line.may_read_ahead = True, False
        self._waits(True)
        try:
            data = await read_data(self._parser, self._line)
            self._length += len(data)
            if self._length > MAX_BODY_BYTES:
                raise BadMessage(413, "the body is too large")
            return data
        except BadMessage as bad:
            # Not itself: it points to its frames, and they would stay until a collection.
            self.bad = str(bad), bad.status
            raise
        finally:
            self._waits(False)


def _as_it_is(answer: Answer) -> Answer:
    return answer


class ResponseForwarder:
    """The way back to a caller, for an answer that is passed on as it comes. `dress` makes its head the
    caller's."""

    # What it is handed points back to the call: `over` lets go of it, else the two would stay until a
    # collection.

    __slots__ = ("_parser", "_line", "_waits", "_closes", "dress", "begun", "ended")

    def __init__(
        self, parser: h11.Connection, line: StreamConnection, waits: Callable[[bool], None], closes: Callable[[], bool]
    ) -> None:
        self._parser = parser
        self._line = line
        self._waits = waits
        self._closes = closes
        self.dress: Callable[[Answer], Answer] = _as_it_is
        self.begun = False
        self.ended = False

    def over(self) -> None:
        self.dress, self._closes = _as_it_is, bool

    async def begin(self, answer: Answer, length: int | None) -> bool:
        """Its head and what was held of it; without a length its end is told by its framing. Whether the
        caller takes it."""
        self.begun = True
        dressed = self.dress(answer)
        headers = list(dressed.headers)
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        if self._closes():
            headers.append((b"connection", b"close"))
        head = self._parser.send(h11.Response(status_code=dressed.status, headers=headers))
        assert head is not None
        return await self._write(head) and (not dressed.body or await self.write(dressed.body))

    async def write(self, data: bytes) -> bool:
        return await self._write(self._parser.send(h11.Data(data=data)) or b"")

    async def end(self) -> bool:
        taken = await self._write(self._parser.send(h11.EndOfMessage()) or b"")
        self.ended = taken
        return taken

    async def _write(self, data: bytes) -> bool:
        """Whether the kernel took it: the next part is not read before."""
        if self._line.send(data):
            return True
        self._waits(True)
        try:
            return await self._line.flush()
        finally:
            self._waits(False)
