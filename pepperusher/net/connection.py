"""One connection on asyncio streams that tells at once when the other side leaves or speaks out of turn."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable

from pepperusher.net import clock
from pepperusher.net.disconnect_watcher import DisconnectWatcher

# Where the kernel's figures of a connection hold the time since data last came in, and how coarse it may be.
INFO = struct.Struct("=52xI")
COARSE = 4
# What is read at once; a peer that sends faster is held back by the kernel.
READ = 16 * 1024


class StreamConnection(asyncio.StreamReaderProtocol):
    """The two streams of a connection. Watching costs no task: most of the time nothing happens."""

    def __init__(self) -> None:
        self.reader = asyncio.StreamReader(READ)
        super().__init__(self.reader)
        self.transport: asyncio.Transport
        self.writer: asyncio.StreamWriter
        self.heard_at = 0
        self.ended = False
        self.ended_in_order = False  # by the other side's end, not by a reset or by us
        self.bytes_received = 0
        self.on_end: Callable[[], None] | None = None
        self.on_data: Callable[[], None] | None = None
        # The base class has a name _closed of its own.
        self._tell_let_go: Callable[[], None] | None = None
        self._let_go = False
        self._unwritten = False
        # Who sees to its end while so much has come unread that the reader takes no more; None where that need not be known.
        self.disconnect_watcher: DisconnectWatcher | None = None
        self._minded = False
        # Whether it may be read on then, since the end may stand behind it; whether it is, and what came so, which empties as
        # it is read and with the connection; and whether the end came, of which the reader is told behind that.
        self.may_read_ahead = True
        self._reads_ahead = False
        self._ahead = bytearray()
        self._end_due = False
        # Come and not yet read; what is left after an answer belongs to no ticket.
        self.unread_bytes = 0
        # Once our last word is out: done when the other side ends too, or has sent `_droppable` bytes more.
        self._dropped_all: asyncio.Future[None] | None = None
        self._droppable = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self.transport = transport
        # Written is what the kernel has: by it an attempt is known to have gone or not.
        transport.set_write_buffer_limits(high=0)
        self.writer = asyncio.StreamWriter(transport, self, self.reader, asyncio.get_running_loop())

    def pause_writing(self) -> None:
        self._unwritten = True
        super().pause_writing()

    def resume_writing(self) -> None:
        self._unwritten = False  # the mark is at nothing: all of it is with the kernel
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        if self._dropped_all is not None:
            self._droppable -= len(data)
            if self._droppable <= 0:
                self._drop_no_more()
            return
        self.heard_at = clock.now()
        self.unread_bytes += len(data)
        self.bytes_received += len(data)
        if self._reads_ahead and self.disconnect_watcher is not None:
            self._ahead += data
            self.disconnect_watcher.held += len(data)
        else:
            super().data_received(data)
        if self.on_data is not None:
            self.on_data()
        if (
            self.disconnect_watcher is not None
            and not self._minded
            and (self._reads_ahead or not self.transport.is_reading())
        ):
            self._go_on(self.disconnect_watcher)

    def _go_on(self, disconnect_watcher: DisconnectWatcher) -> None:
        """The reader takes no more."""
        if self.may_read_ahead and disconnect_watcher.room(len(self._ahead)):
            if not self._reads_ahead:
                self._reads_ahead = True
                self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self._minded = True
            disconnect_watcher.mind(self)

    def _taken(self) -> None:
        """Some of what came is read: where more is taken again, its end is told with it."""
        if self._reads_ahead and self.unread_bytes - len(self._ahead) <= READ:
            part = bytes(self._ahead[:READ])
            self._dropped(len(part))
            if part:
                self.reader.feed_data(part)
            if not self._ahead:
                self._reads_ahead = False
                if self._end_due:
                    self.reader.feed_eof()
                elif not self.transport.is_closing():
                    self.transport.resume_reading()
        if self._minded and self.transport.is_reading():
            if self._reads_ahead:
                self.transport.pause_reading()  # the reader knows nothing of the bound, and has had it go on
            else:
                self._unminded()

    def _dropped(self, size: int) -> None:
        del self._ahead[:size]
        if self.disconnect_watcher is not None:
            self.disconnect_watcher.held -= size

    def _unminded(self) -> None:
        if self._minded and self.disconnect_watcher is not None:
            self._minded = False
            self.disconnect_watcher.leave(self)

    def fileno(self) -> int:
        number: int = self.transport.get_extra_info("socket").fileno()
        return number

    def hung_up(self) -> None:
        """The other side has ended, with words of its still unread."""
        self._minded = False
        self._end()

    def eof_received(self) -> bool | None:
        self._drop_no_more()
        self.ended_in_order = True
        if self._reads_ahead:
            self._end_due = True
            self._end()
            return True
        stays = super().eof_received()
        self._end()
        return stays

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._drop_no_more()
        self._unminded()
        self._reads_ahead = False
        self._dropped(len(self._ahead))
        self._end()
        # It points back here: the two would stay until a collection.
        del self.writer
        self.on_end = self.on_data = None
        self._let_go = True
        if self._tell_let_go is not None:
            self._tell_let_go()

    def when_let_go(self, tell: Callable[[], None]) -> None:
        """Once, when the connection is over and its descriptor about to be closed."""
        if self._let_go:
            tell()
        else:
            self._tell_let_go = tell

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            if self.on_end is not None:
                self.on_end()

    async def read(self) -> bytes:
        """What has come; nothing at the end, however it ended."""
        try:
            data = await self.reader.read(READ)
        except OSError:
            return b""
        self.unread_bytes -= len(data)
        self._taken()
        return data

    async def looked_ahead(self) -> None:
        """Until all is read ahead that the other side had for us by now, its end perhaps behind it: where it filled the
        kernel's buffers it follows as these empty, a part with each turn of the loop."""
        seen = -1
        while self._reads_ahead and not self.ended and seen != self.bytes_received:
            seen = self.bytes_received
            await asyncio.sleep(0)

    def came_at(self) -> int:
        """When the last of it came to this machine, which on a busy one is long before it is read."""
        if not hasattr(socket, "TCP_INFO"):
            return self.heard_at
        told = self.transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO.size)
        if len(told) < INFO.size:
            return self.heard_at
        return min(self.heard_at, clock.now() - 1000 * max(0, INFO.unpack(told)[0] - COARSE))

    def quiet(self) -> bool:
        """Whether the kernel holds nothing of the other side's, neither its end nor words out of turn."""
        if self.ended or self.unread_bytes or self.transport.is_closing():
            return False
        look = select.poll()
        look.register(self.transport.get_extra_info("socket"), select.POLLIN)
        return not look.poll(0)

    @property
    def has_unread_data(self) -> bool:
        """Whether the other side's words wait to be read, here or in the kernel alone; its end counts as one there."""
        return bool(self.unread_bytes) or not self.ended and not self.quiet()

    def left(self) -> bool:
        """Whether the other side has ended its sending or the connection, be it in the kernel alone: the loop tells it later,
        behind what came before it."""
        if self.ended or self.transport.is_closing():
            return True
        look = select.poll()
        look.register(self.transport.get_extra_info("socket"), select.POLLRDHUP)
        return bool(look.poll(0))

    def send(self, data: bytes) -> bool:
        """Whether the kernel took all of it at once."""
        if self.closing:
            self._unwritten = True
            return False
        self.writer.write(data)
        if self.transport.is_closing():
            self._unwritten = True
        return not self._unwritten

    async def flush(self) -> bool:
        """Whether the kernel took the rest."""
        if self._unwritten and not self.transport.is_closing():
            try:
                await self.writer.drain()
            except OSError:
                pass
        # Not by how the wait ended: a connection that we abort ends it as one that has taken all.
        return not self._unwritten

    def send_end(self) -> None:
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()

    @property
    def closing(self) -> bool:
        """Whether it ends by our will: closed, or with our last word said."""
        return self._dropped_all is not None or self.transport.is_closing()

    def send_last(self, last: bytes, most: int) -> None:
        """Sends the last that we say, and ends our sending: whoever reads here finds an end at once.

        What still comes, up to `most` bytes, is dropped for as long as `dropped` is waited for: a close over
        unread bytes resets the connection, and whoever writes on would lose our last word (RFC 9112, 9.6)."""
        if self.closing:
            return
        self.send(last)
        self.send_end()
        self._droppable = most
        self._dropped_all = asyncio.get_running_loop().create_future()
        self.reader.feed_eof()
        self._end()

    async def discard_until_closed(self, within: float) -> None:
        """After `end_with`: till the other side ends too or has sent more than it may, or for `within` seconds."""
        if self._dropped_all is not None:
            await asyncio.wait((self._dropped_all,), timeout=within)

    def _drop_no_more(self) -> None:
        if self._dropped_all is not None and not self._dropped_all.done():
            self._dropped_all.set_result(None)

    def close(self) -> None:
        """Once what was sent is with the kernel."""
        self.transport.close()

    def abort(self) -> None:
        self.transport.abort()

    def reset(self) -> None:
        """At once, and so that it is not taken for an end in order."""
        if not self.transport.is_closing():
            at_once = struct.pack("ii", 1, 0)
            self.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, at_once)
        self.transport.abort()


async def connect(address: tuple[str, int]) -> StreamConnection:
    _, line = await asyncio.get_running_loop().create_connection(StreamConnection, *address)
    return line


async def wrap_socket(taken: socket.socket) -> StreamConnection:
    _, line = await asyncio.get_running_loop().create_connection(StreamConnection, sock=taken)
    return line
