"""Bodies too long to be buffered: the rest of a request's body, read while it is sent on, and an answer streamed to the
client as it arrives.
"""

from __future__ import annotations

from collections.abc import Callable

import h11

from pepperusher.net import clock
from pepperusher.net.buffers import Body
from pepperusher.net.connection import StreamConnection
from pepperusher.net.message import MAX_BODY_BYTES, Answer, BadMessage, read_data
from pepperusher.net.upload_clock import UploadClock


class RequestBodyReader:
    """The rest of a request's body. `set_waiting` is called with whether the proxy waits for the caller.

    Once `started`, data that was read is gone: there is no second attempt, and the buffered part is let go.
    """

    __slots__ = ("_parser", "_connection", "_buffered", "_set_waiting", "_length", "_upload_clock", "started", "error")

    def __init__(
        self,
        parser: h11.Connection,
        connection: StreamConnection,
        buffered: Body,
        total: int | None,
        set_waiting: Callable[[bool], None],
    ) -> None:
        self._parser = parser
        self._connection = connection
        self._buffered = buffered
        self._set_waiting = set_waiting
        self._length = len(buffered)
        position = connection.bytes_received - connection.unread_bytes - len(parser.trailing_data[0])
        end = None if total is None else position + total - self._length
        self._upload_clock = UploadClock(connection.arrived_bytes, end, clock.now())
        self.started = False
        self.error: tuple[str, int] | None = None

    async def read(self) -> bytes:
        """Reads the next part of the body, empty at its end. Raises BadMessage, and stores it in `error`, if the body
        is incomplete or invalid.
        """
        if not self.started:
            # No further attempt can follow, so it no longer matters to know early whether the client has left: its end
            # is noticed when it is read in order.
            self.started, self._connection.may_read_ahead = True, False
            self._buffered.release()
        connection = self._connection
        was_empty, received_before = connection.nothing_pending(), connection.bytes_received
        self._set_waiting(True)
        try:
            data = await read_data(self._parser, connection)
            if was_empty and connection.bytes_received > received_before:
                self._upload_clock.client_unfinished(connection.received_at())
            self._upload_clock.update(connection.arrived_bytes, clock.now())
            self._length += len(data)
            if self._length > MAX_BODY_BYTES:
                raise BadMessage(413, "the body is too large")
            return data
        except BadMessage as error:
            # The exception itself is not stored: it refers to its stack frames, and the cycle would last until a
            # garbage collection.
            self.error = str(error), error.status
            raise
        finally:
            self._set_waiting(False)

    def client_time_runs_since(self) -> int | None:
        """The earliest time from which the client may wait for its answer; None if it is surely still sending."""
        return self._upload_clock.runs_since()


def _unchanged(answer: Answer) -> Answer:
    return answer


class ResponseForwarder:
    """Streams an answer to a caller as it arrives. `prepare_head` turns the backend's head into the caller's."""

    # The callbacks refer back to the call: `release` drops them, since the cycle would otherwise last until a garbage
    # collection.

    __slots__ = ("_parser", "_connection", "_set_waiting", "_closes_connection", "prepare_head", "started", "finished")

    def __init__(
        self,
        parser: h11.Connection,
        connection: StreamConnection,
        set_waiting: Callable[[bool], None],
        closes_connection: Callable[[], bool],
    ) -> None:
        self._parser = parser
        self._connection = connection
        self._set_waiting = set_waiting
        self._closes_connection = closes_connection
        self.prepare_head: Callable[[Answer], Answer] = _unchanged
        self.started = False
        self.finished = False

    def release(self) -> None:
        """Drops the callbacks once the call is over."""
        self.prepare_head, self._closes_connection = _unchanged, bool

    async def begin(self, answer: Answer, length: int | None) -> bool:
        """Sends the head and the buffered part of the body; without `length` the framing marks its end. Returns whether
        the caller accepts it.
        """
        self.started = True
        prepared = self.prepare_head(answer)
        headers = list(prepared.headers)
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        if self._closes_connection():
            headers.append((b"connection", b"close"))
        head = self._parser.send(h11.Response(status_code=prepared.status, headers=headers))
        assert head is not None
        return await self._write(head) and (not prepared.body or await self.write(prepared.body))

    async def write(self, data: bytes) -> bool:
        """Sends a part of the body. Returns whether the caller accepts it."""
        return await self._write(self._parser.send(h11.Data(data=data)) or b"")

    async def end(self) -> bool:
        """Marks the end of the body. Returns whether the caller accepted everything."""
        accepted = await self._write(self._parser.send(h11.EndOfMessage()) or b"")
        self.finished = accepted
        return accepted

    async def _write(self, data: bytes) -> bool:
        """Returns whether the kernel took the data: the next part is not read from the backend before that."""
        if self._connection.send(data):
            return True
        self._set_waiting(True)
        try:
            return await self._connection.flush()
        finally:
            self._set_waiting(False)
