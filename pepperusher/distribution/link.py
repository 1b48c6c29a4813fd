"""One connection under asyncio, either side of it: messages in, and out as fast as the other side takes them.

Nothing here waits: what can't be written yet is not made yet. A buffer holds one part of one message.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import Message
from pepperusher.packet_authentication import BadPacket

# Small words that wait behind one that is being written: beats and the like, which their makers bound.
MOST_WAITING = 1024
MOST_WAITING_BYTES = 8 * 1024 * 1024


class Link(asyncio.Protocol):
    """`opened` once the other side has shown its chance bytes, `came` for each message, `ended` once, with
    why; `ready` is asked for the next message when there is room, and says None where there is none.
    """

    def __init__(
        self,
        session: Session,
        opened: Callable[[Link], None],
        came: Callable[[Link, Message], None],
        ended: Callable[[Link, str], None],
        counts: Counter[str],
        ready: Callable[[Link], bytes | None] | None = None,
    ) -> None:
        self._session = session
        self._opened, self._came, self._ended, self._ready = opened, came, ended, ready
        self._counts = counts
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[bytes] = deque()
        self._message: bytes | None = None
        self._at = 0
        self._full = False
        self._over = False
        self._closing = False
        self.peer = ""

    @property
    def session(self) -> Session:
        return self._session

    # --- the transport's calls ----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        if self._over:
            transport.abort()
            return
        self._transport = transport
        name = transport.get_extra_info("peername")
        self.peer = f"{name[0]}:{name[1]}" if isinstance(name, tuple) and len(name) >= 2 else "?"
        transport.set_write_buffer_limits(high=1)
        transport.write(self._session.handshake())

    def data_received(self, data: bytes) -> None:
        self._counts["bytes in"] += len(data)
        try:
            before = self._session.open
            for message in self._session.feed(data):
                if not before:
                    before = True
                    self._opened(self)
                self._counts["messages in"] += 1
                if self._over:
                    return
                self._came(self, message)
            if not before and self._session.open and not self._over:
                self._opened(self)
        except BadPacket as bad:
            self.abort(str(bad))
        except Exception as error:  # a fault of ours in reading it ends this connection and nothing else
            self.abort(f"{type(error).__name__}: {error}")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._end("lost" if exc is None else f"lost: {exc}")

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        self.pump()

    # --- the owner's --------------------------------------------------------------------------------

    @property
    def idle(self) -> bool:
        """Whether everything said has left this process."""
        return self._message is None and not self._waiting and not self._full

    def send(self, message: bytes) -> None:
        """Behind what is being written. More than waits is for one that does not read: it is ended."""
        if self._over or self._transport is None:
            return
        if len(self._waiting) >= MOST_WAITING or sum(map(len, self._waiting)) > MOST_WAITING_BYTES:
            self.abort("does not read")
            return
        self._waiting.append(message)
        self.pump()

    def pump(self) -> None:
        """Writes while there is room."""
        while not self._full and not self._over and self._transport is not None and self._session.open:
            if self._message is None:
                if self._waiting:
                    self._message = self._waiting.popleft()
                elif self._ready is not None and not self._closing:
                    self._message = self._ready(self)
                self._at = 0
                if self._message is None:
                    if self._closing:
                        self._transport.close()
                    return
                self._counts["messages out"] += 1
            frame, self._at = self._session.next_frame(self._message, self._at)
            if self._at >= len(self._message):
                self._message = None
            self._counts["bytes out"] += len(frame)
            self._transport.write(frame)

    def close(self) -> None:
        """Once what was said is written."""
        self._closing = True
        if not self._session.open and self._transport is not None:
            self._transport.close()
        self.pump()

    def abort(self, why: str) -> None:
        if self._transport is not None:
            self._transport.abort()
        self._end(why)

    def _end(self, why: str) -> None:
        if not self._over:
            self._over = True
            self._message = None
            self._waiting.clear()
            self._ended(self, why)


class Calls:
    """The connections that one side makes, by upstream: those under way, and those that are there. `local` is the
    address that they come from; "" for whichever leads there.
    """

    def __init__(self, addresses: dict[str, tuple[str, int]], local: str) -> None:
        self._addresses, self._local = addresses, local
        self.links: dict[str, Link] = {}  # as many as there are upstreams
        self._tasks: dict[str, asyncio.Task[None]] = {}  # emptied as they end

    def connect(self, upstream: str, link: Link) -> None:
        """What comes of it the link says."""
        self.links[upstream] = link
        self._tasks[upstream] = asyncio.get_running_loop().create_task(self._connect(upstream, link))

    async def _connect(self, upstream: str, link: Link) -> None:
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: link, *self._addresses[upstream], local_addr=(self._local, 0) if self._local else None
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
        task = self._tasks.pop(upstream, None)
        if task is not None:
            task.cancel()
        link = self.links.pop(upstream, None)
        if link is not None:
            link.abort("closed")

    def cancel(self) -> None:
        """All that is under way."""
        for task in self._tasks.values():
            task.cancel()
