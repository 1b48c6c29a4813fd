"""One connection under asyncio, of a client or of a control machine: decodes messages, and writes messages as fast as
the other side reads them.

It never blocks. A message that cannot be written yet is not encoded yet, and the write buffer holds one frame of one
message.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import Message
from pepperusher.packet_authentication import InvalidPacketError

# Limits of the short messages that wait behind the one being written, such as heartbeats, whose senders limit their
# rate.
MAX_QUEUED_SENDS = 1024
MAX_QUEUED_BYTES = 8 * 1024 * 1024


class Link(asyncio.Protocol):
    """`on_open` is called when the handshake is complete, `on_message` for each message, and `on_end` once, with the
    reason. `next_message` is called for the next message when there is room, and returns None if there is none.
    """

    def __init__(
        self,
        session: Session,
        on_open: Callable[[Link], None],
        on_message: Callable[[Link, Message], None],
        on_end: Callable[[Link, str], None],
        counts: Counter[str],
        next_message: Callable[[Link], bytes | None] | None = None,
    ) -> None:
        self._session = session
        self._on_open, self._on_message, self._on_end, self._next_message = on_open, on_message, on_end, next_message
        self._counts = counts
        self._transport: asyncio.Transport | None = None
        self._queue: deque[bytes] = deque()
        self._message: bytes | None = None
        self._offset = 0
        self._write_paused = False
        self._finished = False
        self._closing = False
        self.peer = ""

    @property
    def session(self) -> Session:
        return self._session

    # --- called by the transport --------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        if self._finished:
            transport.abort()
            return
        self._transport = transport
        address = transport.get_extra_info("peername")
        self.peer = f"{address[0]}:{address[1]}" if isinstance(address, tuple) and len(address) >= 2 else "?"
        transport.set_write_buffer_limits(high=1)
        transport.write(self._session.handshake())

    def data_received(self, data: bytes) -> None:
        self._counts["bytes in"] += len(data)
        try:
            was_open = self._session.handshake_complete
            for message in self._session.feed(data):
                if not was_open:
                    was_open = True
                    self._on_open(self)
                self._counts["messages in"] += 1
                if self._finished:
                    return
                self._on_message(self, message)
            if not was_open and self._session.handshake_complete and not self._finished:
                self._on_open(self)
        except InvalidPacketError as error:
            self.abort(str(error))
        except Exception as error:  # an error in this program ends this connection and nothing else
            self.abort(f"{type(error).__name__}: {error}")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._finish("lost" if exc is None else f"lost: {exc}")

    def pause_writing(self) -> None:
        self._write_paused = True

    def resume_writing(self) -> None:
        self._write_paused = False
        self.write_pending()

    # --- called by the owner ------------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether all messages have left this process."""
        return self._message is None and not self._queue and not self._write_paused

    def send(self, message: bytes) -> None:
        """Queues a message behind the one being written. A connection whose queue is full is aborted, since its peer
        does not read.
        """
        if self._finished or self._transport is None:
            return
        if len(self._queue) >= MAX_QUEUED_SENDS or sum(map(len, self._queue)) > MAX_QUEUED_BYTES:
            self.abort("does not read")
            return
        self._queue.append(message)
        self.write_pending()

    def write_pending(self) -> None:
        """Writes while there is room."""
        while (
            not self._write_paused
            and not self._finished
            and self._transport is not None
            and self._session.handshake_complete
        ):
            if self._message is None:
                if self._queue:
                    self._message = self._queue.popleft()
                elif self._next_message is not None and not self._closing:
                    self._message = self._next_message(self)
                self._offset = 0
                if self._message is None:
                    if self._closing:
                        self._transport.close()
                    return
                self._counts["messages out"] += 1
            frame, self._offset = self._session.next_frame(self._message, self._offset)
            if self._offset >= len(self._message):
                self._message = None
            self._counts["bytes out"] += len(frame)
            self._transport.write(frame)

    def close(self) -> None:
        """Closes the connection when all queued messages are written."""
        self._closing = True
        if not self._session.handshake_complete and self._transport is not None:
            self._transport.close()
        self.write_pending()

    def abort(self, reason: str) -> None:
        """Ends the connection immediately."""
        if self._transport is not None:
            self._transport.abort()
        self._finish(reason)

    def _finish(self, reason: str) -> None:
        if not self._finished:
            self._finished = True
            self._message = None
            self._queue.clear()
            self._on_end(self, reason)


class OutgoingConnections:
    """The outgoing connections of a client by upstream, both established and in progress. They are made from
    `local_address`, or from any address if that is empty.
    """

    def __init__(self, addresses: dict[str, tuple[str, int]], local_address: str) -> None:
        self._addresses, self._local_address = addresses, local_address
        self.links: dict[str, Link] = {}  # bounded by the number of upstreams
        self._tasks: dict[str, asyncio.Task[None]] = {}  # removed when they end

    def connect(self, upstream: str, link: Link) -> None:
        """Starts connecting. The link reports the outcome."""
        self.links[upstream] = link
        self._tasks[upstream] = asyncio.get_running_loop().create_task(self._connect(upstream, link))

    async def _connect(self, upstream: str, link: Link) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: link,
                *self._addresses[upstream],
                local_addr=(self._local_address, 0) if self._local_address else None,
            )
        except OSError as error:
            link.abort(error.strerror or str(error))
        except asyncio.CancelledError:
            link.abort("given up")
            raise
        finally:
            if self._tasks.get(upstream) is asyncio.current_task():
                del self._tasks[upstream]

    def close(self, upstream: str) -> None:
        """Closes the connection to an upstream, or stops connecting."""
        task = self._tasks.pop(upstream, None)
        if task is not None:
            task.cancel()
        link = self.links.pop(upstream, None)
        if link is not None:
            link.abort("closed")

    def cancel(self) -> None:
        """Cancels all attempts in progress."""
        for task in self._tasks.values():
            task.cancel()
