"""One connection on asyncio streams that reports at once when the peer closes or sends unexpected data."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

from pepperusher.invariants import check_invariant
from pepperusher.net import clock, tcp_info
from pepperusher.net.disconnect_watcher import DisconnectWatcher
from pepperusher.net.turn_queue import FREE_EVENTS
from pepperusher.net.peer_memory import MAX_READ_BYTES, MIN_READ_BYTES, PeerConnections

# The most that a consumer is handed at a time.
READ_BYTES = 16 * 1024
# The stream reader stops reading above twice this many unread bytes, and goes on at this many; a peer that sends faster
# is slowed down by TCP flow control. The last read may exceed that by what PeerMemory allows it.
READER_LIMIT_BYTES = READ_BYTES // 2
# A peer's end may wait behind so much unread data: small segments fill the kernel's buffer many times as fast as their
# length tells.
HIDDEN_END_BYTES = 4 * 1024
# A peer that sent its request, or was written to without a reset, so shortly before counts as there: an attempt may begin
# 0.1 s after its client has left. It is probed before that time is over, so that a late event loop does not use it up.
SIGN_OF_LIFE_US = 80_000
PROBE_AFTER_US = 40_000
# Every answer begins so, interim ones too. A peer whose end may be hidden is sent the next byte of this ahead of its answer:
# the kernel of one that has closed its connection answers with a reset.
ANSWER_START = b"HTTP/1.1 "
# How long that reset is waited for: two round trips within these bounds, or less if the byte is acknowledged before.
MIN_PROBE_US, MAX_PROBE_US = 10_000, 50_000
PROBE_POLL_S = 0.002
# Every connection receives into this buffer, and copies what it received before the next one does.
_receive_buffer = memoryview(bytearray(MAX_READ_BYTES))


class HiddenEnd(NamedTuple):
    """What hides the end that a peer may have sent."""

    read_bytes: int  # received and not yet used
    kernel_bytes: int  # arrived at this machine and not read
    reading: bool  # whether this side reads on
    silent_us: int  # since the last sign that the peer was there

    def __str__(self) -> str:
        return (
            f"{self.read_bytes} bytes unused, {self.kernel_bytes} in the kernel,"
            f" {'read on' if self.reading else 'not read'}, last sign {self.silent_us / 1e6:.3f} s ago"
        )


class StreamConnection(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """The two streams of a connection. Its end is reported by callbacks, so that watching an idle connection costs no
    task.

    It is one of `peers` while it is open. As a BufferedProtocol it decides how much each read takes; asyncio would
    otherwise take up to 256 KiB, whatever the limit of the stream reader.
    """

    def __init__(self, peers: PeerConnections) -> None:
        self._peers = peers
        self.reader = asyncio.StreamReader(READER_LIMIT_BYTES)
        super().__init__(self.reader)
        self.transport: asyncio.Transport
        self.writer: asyncio.StreamWriter
        self.last_received_at = 0
        # When the first bytes of the present request had arrived at this machine at the latest; None until they are read.
        self.request_arrived_at: int | None = None
        self.peer_ended = False
        # the peer closed its sending direction, as opposed to a reset or a close on this side
        self.ended_cleanly = False
        self.bytes_received = 0
        self.on_peer_end: Callable[[], None] | None = None
        self.on_data: Callable[[], None] | None = None
        # The name is not _closed, which the base class uses.
        self._on_lost: Callable[[], None] | None = None
        self._lost = False
        self._write_pending = False
        self._sent_at = 0  # when data was last written
        self._early_bytes = 0  # bytes of the next answer that were sent ahead of it
        # Watches for the peer's end while so much unread data is buffered that the reader accepts no more; None where
        # the end need not be known at that time.
        self.disconnect_watcher: DisconnectWatcher | None = None
        self._watched = False
        # Whether reading may continue in that case, since the end may follow the unread data; whether it does; the data
        # read in this way, which shrinks as it is consumed and is dropped with the connection; and whether the end was
        # received behind that data, and the reader is still to be told.
        self.may_read_ahead = True
        self._reading_ahead = False
        self._read_ahead = bytearray()
        self._end_pending = False
        # Bytes received and not yet consumed; bytes left after an answer belong to no ticket.
        self.unread_bytes = 0
        # Bytes that the parser holds of a message that is not whole, or of the next one.
        self._parser_bytes = 0
        self._parsed_events = 0  # since the peer was last waited for, or a turn
        # Whether reading is paused until everything unread is consumed, because the memory for all peers is exhausted.
        self._held_back = False
        # Bytes that the kernel had not taken when data was last written; zero again once it has all of it.
        self.unsent_bytes = 0
        # Set once the last data has been sent: done when the peer closes too, or has sent more than `_discard_limit`
        # bytes.
        self._discard_done: asyncio.Future[None] | None = None
        self._discard_limit = 0

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        super().connection_made(transport)
        self.transport = transport
        self._peers.add(self)
        # With no write buffer allowed, data counts as written only once the kernel has it, which decides whether an
        # attempt may have run.
        transport.set_write_buffer_limits(high=0)
        # Without the reader, which only this object refers to: see `drop_unread`.
        self.writer = asyncio.StreamWriter(transport, self, None, asyncio.get_running_loop())

    def pause_writing(self) -> None:
        self._write_pending = True
        super().pause_writing()

    def resume_writing(self) -> None:
        self._write_pending = False  # the low-water mark is zero: the kernel has all of it
        self._count_unsent(0)
        super().resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the next read goes, which limits its size."""
        size = self._peers.read_size()
        if self.request_arrived_at is None:
            self.request_arrived_at = tcp_info.tcp_figures(self._socket).last_data_at
        if self._reading_ahead and self.disconnect_watcher is not None:
            size = min(size, self.disconnect_watcher.read_size())
        return _receive_buffer[:size]

    def buffer_updated(self, nbytes: int) -> None:
        """Called when so many bytes were received into the buffer."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        if self._discard_done is not None:
            self._discard_limit -= len(data)
            if self._discard_limit <= 0:
                self._finish_discarding()
            return
        self.last_received_at = clock.now()
        self._count_unread(len(data))
        self.bytes_received += len(data)
        if self._reading_ahead and self.disconnect_watcher is not None:
            self._read_ahead += data
            self.disconnect_watcher.read_ahead_bytes += len(data)
        else:
            super().data_received(data)
            if self._peers.held_back:
                self._held_back = True
                self.transport.pause_reading()
        if self.on_data is not None:
            self.on_data()
        if (
            self.disconnect_watcher is not None
            and not self._watched
            and (self._reading_ahead or not self.transport.is_reading())
        ):
            self._read_ahead_or_watch(self.disconnect_watcher)

    def _read_ahead_or_watch(self, disconnect_watcher: DisconnectWatcher) -> None:
        """Called when the reader accepts no more data: reads ahead within the limit, or watches for the peer's end
        only.
        """
        may_read_ahead = self.may_read_ahead and not self._peers.held_back
        if may_read_ahead and disconnect_watcher.may_read_ahead(len(self._read_ahead)):
            if not self._reading_ahead:
                self._reading_ahead = True
                self.transport.resume_reading()
        else:
            self.transport.pause_reading()
            self._watched = True
            disconnect_watcher.watch(self)

    def _data_consumed(self) -> None:
        """Called when data was consumed: passes on data that was read ahead and, once all of it is, resumes normal
        reading and reports a pending end.
        """
        if self._held_back and not self.unread_bytes:
            self._held_back = False
            self.transport.resume_reading()
        if self._reading_ahead and self.unread_bytes - len(self._read_ahead) <= READER_LIMIT_BYTES:
            # No more than the stream reader accepts without pausing the transport.
            data = bytes(self._read_ahead[:READER_LIMIT_BYTES])
            self._remove_read_ahead(len(data))
            if data:
                self.reader.feed_data(data)
            if not self._read_ahead:
                self._reading_ahead = False
                if self._end_pending:
                    self.reader.feed_eof()
                elif not self.transport.is_closing():
                    self.transport.resume_reading()
        if self._watched and self.transport.is_reading():
            if self._reading_ahead:
                self.transport.pause_reading()  # the stream reader does not know the limit and has resumed reading
            else:
                self._stop_watching()

    def _remove_read_ahead(self, size: int) -> None:
        """Removes bytes that were read ahead, here and from the watcher's sum."""
        del self._read_ahead[:size]
        if self.disconnect_watcher is not None:
            self.disconnect_watcher.read_ahead_bytes -= size

    def _count_unread(self, change: int) -> None:
        """Counts bytes that were received, or consumed if negative. A lost connection no longer counts: it receives
        nothing more, and what it has is consumed or dropped at once.
        """
        self.unread_bytes += change
        if not self._lost:
            self._peers.memory.received += change

    def set_parser_bytes(self, size: int) -> None:
        """Records how many bytes are held of messages in other places than the reader: by the parser, or as the head of a
        request in hand. They count as received.
        """
        if not self._lost:
            self._peers.memory.received += size - self._parser_bytes
            self._parser_bytes = size

    def _count_unsent(self, unsent_bytes: int) -> None:
        """Counts the bytes that the kernel has not taken."""
        self._peers.memory.unsent += unsent_bytes - self.unsent_bytes
        self.unsent_bytes = unsent_bytes

    def _stop_watching(self) -> None:
        """Ends the watch for the peer's end."""
        if self._watched and self.disconnect_watcher is not None:
            self._watched = False
            self.disconnect_watcher.unwatch(self)

    def fileno(self) -> int:
        descriptor: int = self._socket.fileno()
        return descriptor

    def on_hang_up(self) -> None:
        """The peer has closed while some of its data is still unread."""
        self._watched = False
        self._report_end()

    def eof_received(self) -> bool | None:
        self._finish_discarding()
        self.ended_cleanly = True
        if self._reading_ahead:
            self._end_pending = True
            self._report_end()
            return True
        keeps_open = super().eof_received()
        self._report_end()
        return keeps_open

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._peers.remove(self)
        self.set_parser_bytes(0)
        self._peers.memory.received -= self.unread_bytes
        self._lost = True
        self._finish_discarding()
        self._stop_watching()
        self._reading_ahead = False
        self._remove_read_ahead(len(self._read_ahead))
        self._count_unsent(0)
        self._report_end()
        # The writer refers back to this object: the cycle would last until a garbage collection.
        del self.writer
        self.on_peer_end = self.on_data = None
        if self._on_lost is not None:
            self._on_lost()

    def call_when_lost(self, callback: Callable[[], None]) -> None:
        """Calls `callback` once, when the connection is lost and its descriptor is about to be closed."""
        if self._lost:
            callback()
        else:
            self._on_lost = callback

    def _report_end(self) -> None:
        """Calls `on_peer_end` once."""
        if not self.peer_ended:
            self.peer_ended = True
            if self.on_peer_end is not None:
                self.on_peer_end()

    @property
    def memory_exhausted(self) -> bool:
        """Whether the memory for what is received on all connections is exhausted."""
        return self._peers.held_back

    @property
    def parser_bytes(self) -> int:
        """What the parser holds of messages that are not whole."""
        return self._parser_bytes

    @property
    def read_ahead_bytes(self) -> int:
        """The part of `unread_bytes` that was read ahead of the reader."""
        return len(self._read_ahead)

    async def read(self) -> bytes:
        """Returns received data, or nothing at the end, whether that was a close or a reset."""
        if not self.unread_bytes:
            self._parsed_events = 0  # the peer has to be waited for
        try:
            data = await self.reader.read(MIN_READ_BYTES if self._peers.held_back else READ_BYTES)
        except OSError:
            return b""
        self._count_unread(-len(data))
        self._data_consumed()
        return data

    def count_parsed(self) -> None:
        """Counts one event that was parsed of what the peer has sent."""
        self._parsed_events += 1

    async def wait_for_turn(self) -> None:
        """Waits for a turn if much was parsed without a wait."""
        if self._parsed_events >= FREE_EVENTS:
            self._parsed_events = 0
            await self._peers.turns.wait()

    async def wait_for_read_ahead(self) -> None:
        """Waits until all data that the peer has sent so far is read ahead, perhaps with its end behind it: data beyond
        the kernel's buffers follows as these empty, a part in each loop iteration.
        """
        bytes_seen = -1
        while self._reading_ahead and not self.peer_ended and bytes_seen != self.bytes_received:
            bytes_seen = self.bytes_received
            await asyncio.sleep(0)

    @property
    def arrived_bytes(self) -> int:
        """How many bytes of the peer have arrived at this machine, including those that the kernel still holds."""
        if self.transport.is_closing():
            return self.bytes_received
        return self.bytes_received + tcp_info.unread_bytes(self._socket)

    @property
    def _socket(self) -> socket.socket:
        accepted: socket.socket = self.transport.get_extra_info("socket")
        return accepted

    def received_at(self) -> int:
        """When the last data arrived at this machine, which under load is long before it is read."""
        return min(self.last_received_at, tcp_info.tcp_figures(self._socket).last_data_at)

    def nothing_pending(self) -> bool:
        """Whether the kernel holds nothing from the peer: neither its end nor unexpected data."""
        if self.peer_ended or self.unread_bytes or self.transport.is_closing():
            return False
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    @property
    def has_unread_data(self) -> bool:
        """Whether data from the peer waits to be read, here or in the kernel; in the kernel an end counts as data."""
        return bool(self.unread_bytes) or not self.peer_ended and not self.nothing_pending()

    def peer_has_left(self) -> bool:
        """Whether the peer has ended its sending direction or the connection, even if only the kernel knows: the event
        loop reports it later, after all data received before.
        """
        if self.peer_ended or self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self._socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def hidden_end(
        self, request_arrived_at: int, silent_us: int = SIGN_OF_LIFE_US, unread_bytes: int = HIDDEN_END_BYTES
    ) -> HiddenEnd | None:
        """What hides the end that the peer may have sent: the rest of what it sent, and the end behind it, may wait at the
        peer while data is not read here. None where fewer than `unread_bytes` wait in the kernel, and where the peer's
        request, or an answer that it took, shows that it was there `silent_us` ago. Data that still arrives shows nothing,
        since its kernel may hold it.
        """
        silent_for_us = clock.now() - max(self._sent_at, request_arrived_at)
        if silent_for_us <= silent_us or self.peer_ended or self.transport.is_closing():
            return None
        kernel_bytes = self.arrived_bytes - self.bytes_received
        if kernel_bytes < unread_bytes:
            return None
        return HiddenEnd(self.unread_bytes, kernel_bytes, self.transport.is_reading(), silent_for_us)

    async def probe_peer(self) -> None:
        """Sends the next byte of the coming answer ahead, and waits until the peer's kernel has acknowledged it or reset the
        connection, for a short time at the most. Does nothing once all bytes that every answer begins with are sent.
        """
        early_byte = ANSWER_START[self._early_bytes : self._early_bytes + 1]
        if not early_byte or self.closing:
            return
        self._early_bytes += 1
        self._write(early_byte)
        round_trip_us = tcp_info.tcp_figures(self._socket).round_trip_us
        deadline = clock.now() + min(MAX_PROBE_US, max(MIN_PROBE_US, 2 * round_trip_us))
        while clock.now() < deadline and not self.peer_has_left() and tcp_info.unacknowledged_bytes(self._socket):
            await asyncio.sleep(PROBE_POLL_S)

    def send(self, data: bytes) -> bool:
        """Sends data and returns whether the kernel took all of it at once."""
        if self.closing:
            self._write_pending = True
            return False
        if self._early_bytes and data:
            check_invariant(data.startswith(ANSWER_START), "what follows bytes sent ahead is an answer")
            data = data[self._early_bytes :]
            self._early_bytes = 0
        self._write(data)
        return not self._write_pending

    def _write(self, data: bytes) -> None:
        self.writer.write(data)
        self._sent_at = clock.now()
        self._count_unsent(self.transport.get_write_buffer_size())
        if self.transport.is_closing():
            self._write_pending = True

    async def flush(self) -> bool:
        """Waits until pending data is written and returns whether the kernel took all of it."""
        if self._write_pending and not self.transport.is_closing():
            try:
                await self.writer.drain()
            except OSError:
                pass
        # The end of the wait does not tell: aborting the connection ends it just like writing everything does.
        return not self._write_pending

    def send_eof(self) -> None:
        """Closes the sending direction."""
        if not self.transport.is_closing() and self.transport.can_write_eof():
            self.transport.write_eof()

    @property
    def closing(self) -> bool:
        """Whether this side ends the connection: it is closed, or its last data has been sent."""
        return self._discard_done is not None or self.transport.is_closing()

    def send_last(self, data: bytes, max_discarded: int) -> None:
        """Sends the last data and closes the sending direction; a reader on this side finds an end at once.

        Data that still arrives, up to `max_discarded` bytes, is discarded while `discard_until_closed` is awaited:
        closing with unread bytes resets the connection, and a peer that keeps writing would lose the last data (RFC
        9112, 9.6).
        """
        if self.closing:
            return
        self.send(data)
        self.send_eof()
        self._discard_limit = max_discarded
        self._discard_done = asyncio.get_running_loop().create_future()
        self.reader.feed_eof()
        self._report_end()

    async def discard_until_closed(self, timeout_s: float) -> None:
        """After `send_last`: waits until the peer closes too or has sent more than the limit, or for `timeout_s`
        seconds.
        """
        if self._discard_done is not None:
            await asyncio.wait((self._discard_done,), timeout=timeout_s)

    def _finish_discarding(self) -> None:
        """Ends the wait of `discard_until_closed`."""
        if self._discard_done is not None and not self._discard_done.done():
            self._discard_done.set_result(None)

    def close(self) -> None:
        """Closes the connection once the kernel has all data that was sent."""
        self.transport.close()

    def abort(self) -> None:
        self.transport.abort()

    def discard(self) -> None:
        """Aborts the connection, and drops what nobody will read any more."""
        self.transport.abort()
        self.drop_unread()

    def drop_unread(self) -> None:
        """Drops received data that nobody will read any more. The connection itself stays in memory until a garbage
        collection, because asyncio's transports are part of reference cycles.
        """
        self.set_parser_bytes(0)
        self._count_unread(-self.unread_bytes)
        self._remove_read_ahead(len(self._read_ahead))
        self._reading_ahead = False
        self.reader = asyncio.StreamReader()
        self.reader.feed_eof()

    def reset(self) -> None:
        """Resets the connection at once, so that the peer does not take it for an orderly end."""
        if not self.transport.is_closing():
            linger = struct.pack("ii", 1, 0)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()


async def connect(address: tuple[str, int], peers: PeerConnections) -> StreamConnection:
    """Opens a connection to an address, one of `peers`."""
    _, connection = await asyncio.get_running_loop().create_connection(lambda: StreamConnection(peers), *address)
    return connection


async def wrap_socket(accepted: socket.socket, peers: PeerConnections) -> StreamConnection:
    """Makes a connection of a socket that was accepted, one of `peers`."""
    _, connection = await asyncio.get_running_loop().create_connection(lambda: StreamConnection(peers), sock=accepted)
    return connection
