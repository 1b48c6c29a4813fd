"""The callers' side: accepts connections, reads tickets, writes answers and notices clients that leave."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from itertools import chain, count

import h11

from pepperusher.net import clock
from pepperusher.net.buffers import MAX_HELD_BODY_BYTES, Body, Pool
from pepperusher.net.budget import CLOSE_WITHOUT_TICKET_SHARE, CLOSE_AFTER_ANSWER_SHARE, Budget
from pepperusher.net.call import Call
from pepperusher.net.connection import StreamConnection, wrap_socket
from pepperusher.net.listening import NO_LISTENER, open_listener, steer_listener_group
from pepperusher.net.log import Log
from pepperusher.net.disconnect_watcher import DisconnectWatcher
from pepperusher.net.body_streaming import RequestBodyReader, ResponseForwarder
from pepperusher.net.message import (
    MAX_HEAD_BYTES,
    MAX_BODY_BYTES,
    Answer,
    BadMessage,
    PackedHeaders,
    Request,
    encode_answer,
    content_length_of,
    text_answer,
    read_head,
    buffer_body,
)
from pepperusher.net.peer_memory import PeerConnections
from pepperusher.net.request_events import RequestEvents

# Connections accepted in a row before other tasks get a turn.
ACCEPT_BATCH = 16
# A connection that has sent nothing for this long after it was opened is closed.
FIRST_BYTE_TIMEOUT_US = 2_000_000
# A request must be complete this long after its first byte, plus one second for every MIN_BYTES_PER_SECOND bytes
# received. The limit does not run from the last byte, because a client that trickles bytes would keep its connection
# for good. Legitimate clients take up to 2 s for a head and send 64 kB/s.
REQUEST_TIMEOUT_US = 2_400_000
MIN_BYTES_PER_SECOND = 32_000
# Where descriptors run out, or while the proxy stops, a new connection that has sent nothing for this long is closed: a
# client that opens one in order to send does so at once.
NEW_CONNECTION_GRACE_US = 250_000
# Where a ticket in hand would otherwise be refused, connections of this age are closed too; a younger one may have its
# request on the way.
MIN_IDLE_US = 50_000
# Where descriptors run out, a request that has begun and then stalled for this long is answered with a timeout.
STALLED_REQUEST_US = 500_000
# Callers get at most this share of all descriptors. A ticket in hand takes one for its caller and one for its backend;
# a crowd of silent clients otherwise left none for the second, and tickets in hand were bounced.
CALLER_SHARE = 2 / 3
# After the answer to bad input up to this much more is read, for up to this long, so that the answer is not lost in a
# connection reset.
LINGER_S = 1.0
LINGER_BYTES = 4 * MAX_HELD_BODY_BYTES
# A legitimate client whose body was not read to its end has longer to notice the answer.
UNREAD_BODY_LINGER_S = 3.0
# A client told to close with its answer has this long, so that data it still sends does not turn the close into a
# reset.
CLOSE_LINGER_S = 0.25
# A request that is no valid ticket costs as much to read as a ticket. Its sender is read again only after this pause.
BAD_REQUEST_PAUSE_S = 0.1

# Data read ahead (to detect an end of the connection behind it) is limited to this fraction of the memory for held
# bodies.
READ_AHEAD_DIVISOR = 2

# Of two processes that listen at one address, the one that started later.
SECOND_PROCESS = 1
# A share of the descriptor budget above its limit, used where refusing is not possible.
SHARE_ABOVE_LIMIT = 2.0

# Why a connection of a caller was closed.
CLOSED_WITH_LAST_ANSWER = "its last answer was sent and its descriptor is needed"
CLOSED_FOR_TICKET = "idle and a ticket needs its descriptor"
CLOSED_FOR_CONNECTION = "idle and a new connection needs its descriptor"
CLOSED_STALLED = "its request stalled and its descriptor is needed"
CLOSED_UNREAD_ANSWER = "it did not read its answer"
CLOSED_IDLE = "idle"
CLOSED_LATE_REQUEST = "its request took too long"
CLOSED_AT_END = "idle and clients are sent away"
CLOSED_CUT_ANSWER = "its answer was cut short"
CLOSED_BAD_MESSAGE = "its message was rejected with"

REQUEST_TIMEOUT_ANSWER = text_answer(408, "the request did not end in time")


def _accept_one(listening: socket.socket) -> socket.socket | None:
    """Accepts the next connection from the kernel's queue, or returns None if it is empty. It does not wait: cancelling
    a waiting accept could lose a connection.
    """
    try:
        accepted, _ = listening.accept()
    except (BlockingIOError, InterruptedError):
        return None
    accepted.setblocking(False)
    return accepted


async def _wait_readable(listening: socket.socket) -> None:
    """Waits until the listener has a connection to accept."""
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(listening, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_reader(listening)


class Caller:
    """One connection from a caller, with its HTTP parser and timing."""

    __slots__ = ("connection", "parser", "waiting_since", "answered", "sent_ticket", "bytes_before", "waited_us")

    def __init__(self, connection: StreamConnection) -> None:
        self.connection = connection
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        # Since when the proxy waits for the caller: to send a request, to complete one, or to read an answer. None
        # while the proxy works on a request.
        self.waiting_since: int | None = clock.now()
        self.answered = False
        self.sent_ticket = False  # it has sent a ticket and may send more
        self.bytes_before = 0  # bytes received before the current request began
        self.waited_us = 0  # how long the proxy waited for parts of the current request so far

    def set_waiting(self, waiting: bool) -> None:
        """Records whether the proxy waits for the caller, within a request that is under way."""
        now = clock.now()
        if waiting:
            self.waiting_since = now - self.waited_us
        elif self.waiting_since is not None:
            self.waited_us, self.waiting_since = now - self.waiting_since, None

    def set_waiting_for_reader(self, waiting: bool) -> None:
        """Records whether the proxy waits for the caller to read a part of its answer."""
        self.waiting_since = clock.now() if waiting else None

    @property
    def request_timeout(self) -> int:
        """How long the current request may take in all, in microseconds."""
        return (
            REQUEST_TIMEOUT_US
            + 1_000_000 * (self.connection.bytes_received - self.bytes_before) // MIN_BYTES_PER_SECOND
        )


class Callers:
    """Accepts the callers' connections, serves their requests, and closes idle connections where descriptors run short."""

    def __init__(
        self,
        handle: Callable[[Call], Awaitable[Answer]],
        budget: Budget,
        pool: Pool,
        log: Log,
        max_client_wait: int,
        events: RequestEvents,
    ) -> None:
        self._handle = handle
        # The longest time that any client waits for an answer. A client that takes longer to read its answer or to send
        # the next request is assumed to have left.
        self._max_client_wait = max_client_wait
        self._budget = budget
        self._pool = pool
        self.peers = PeerConnections("callers", pool.peer_memory)
        self._log = log
        self._events = events
        self._serving: set[asyncio.Task[None]] = set()  # removed as connections end
        self._callers: dict[Caller, None] = {}  # likewise; in the order of their arrival
        # Idle connections between tickets, the longest idle first; removed with the first byte of a ticket and as
        # connections end.
        self._idle: dict[Caller, None] = {}
        # Connections told to close with their answer and not closed yet; removed as connections end, and where
        # descriptors are needed.
        self._closing_connections: dict[Caller, None] = {}
        self._closing = False
        self._listener: socket.socket | None = None
        self._disconnect_watcher = DisconnectWatcher(lambda: pool.max_bytes // READ_AHEAD_DIVISOR)
        self._accept_task: asyncio.Task[None]
        budget.register_idle_closer(self._close_one)

    def reconfigure(self, max_client_wait: int) -> None:
        """Applies a changed configuration."""
        self._max_client_wait = max_client_wait

    @property
    def open(self) -> int:
        """The number of open connections."""
        return len(self._serving)

    def listen(self, address: tuple[str, int], shared: bool = False) -> int:
        """Starts to listen and returns the port."""
        self._listener = open_listener(address, shared)
        self._accept_task = asyncio.get_running_loop().create_task(self._accept(self._listener))
        port: int = self._listener.getsockname()[1]
        return port

    def hand_over_listener(self) -> None:
        """Directs new connections to the other process at this address. Connections that the kernel has already queued
        here are still served here.
        """
        assert self._listener is not None
        steer_listener_group(self._listener, SECOND_PROCESS)
        self.close_listener()

    def close_listener(self) -> bool:
        """Stops listening after accepting what the kernel has queued, and returns whether anything was queued. Closing
        the listener would reset a connection that arrived as the last of the others ended, and it may carry a ticket.
        """
        if self._listener is None:
            return False
        # The task waits between two accepts, so no accepted connection is lost by cancelling it.
        self._accept_task.cancel()
        was_queued = False
        while (accepted := _accept_one(self._listener)) is not None:
            # This may exceed the limit, but only once per connection: left in the queue, the connection would be reset.
            self._budget.acquire(SHARE_ABOVE_LIMIT)
            self._start_serving(accepted)
            was_queued = True
        self._listener.close()
        self._listener = None
        return was_queued

    def steer(self, index: int | None) -> bool:
        """Directs all new connections to the first (0) or second (1) process at this address, or leaves the choice to
        the kernel (None). Returns whether that was possible.
        """
        return self._listener is not None and steer_listener_group(
            self._listener, NO_LISTENER if index is None else index
        )

    async def _accept(self, listening: socket.socket) -> None:
        """Accepts connections until it is cancelled, when another process takes over: what the kernel has accepted may
        carry a ticket, which this process then has to answer.
        """
        for number in count(1):
            if number % ACCEPT_BATCH == 0:
                # Tasks of accepted connections are not awaited; without this pause hundreds that arrive together would
                # keep other tasks from running.
                await asyncio.sleep(0)
            while not self._acquire_descriptor():
                await self._budget.wait_for_release()
            try:
                while (accepted := _accept_one(listening)) is None:
                    await _wait_readable(listening)
            except OSError as error:
                self._budget.release()
                self._log.say(f"accept failed: {error}")
                await asyncio.sleep(0.01)
                continue
            self._start_serving(accepted)

    def _start_serving(self, accepted: socket.socket) -> None:
        """Starts the task that serves an accepted connection."""
        # The task is not awaited: under load one loop iteration takes long, and only one connection would be accepted
        # in each.
        task = asyncio.get_running_loop().create_task(self._serve(accepted))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    def _acquire_descriptor(self) -> bool:
        """Acquires a descriptor for one more connection. Where callers have used up their share, an idle connection of
        theirs is closed for it.
        """
        if self.open >= self._budget.limit * CALLER_SHARE and not self._close_one():
            return False
        return self._budget.acquire()

    # --- one connection ---------------------------------------------------------------------------

    async def _serve(self, accepted: socket.socket) -> None:
        """Serves one connection until it ends."""
        try:
            connection = await wrap_socket(accepted, self.peers)
        except Exception as error:  # ends only this connection
            accepted.close()
            self._budget.release()
            self._log.say(f"an accepted connection could not be set up: {error}")
            return
        connection.call_when_lost(self._budget.release)
        connection.disconnect_watcher = self._disconnect_watcher
        caller = Caller(connection)
        self._callers[caller] = None
        body = Body(self._pool)
        try:
            while await self._serve_one(caller, body):
                body.release()
            body.release()
            await connection.discard_until_closed(LINGER_S)
        except Exception as error:  # ends only this connection
            self._log.say(f"connection ended: {type(error).__name__}: {error}")
        finally:
            body.release()
            self._set_idle(caller, False)
            self._callers.pop(caller, None)
            self._closing_connections.pop(caller, None)
            caller.connection.close()
            caller.connection.drop_unread()

    async def _serve_one(self, caller: Caller, body: Body) -> bool:
        """Serves one request and returns whether the connection stays open.

        Where descriptors run short the connection closes with its answer: unlike a close between requests, that cannot
        cross with a request on its way.
        """
        connection, parser = caller.connection, caller.parser
        pipelined = bool(parser.trailing_data[0])
        self._set_idle(caller, not pipelined)
        if pipelined:
            # Hundreds of pipelined requests would otherwise be read and answered while all others wait.
            await self.peers.turns.wait()
        caller.bytes_before = connection.bytes_received - connection.unread_bytes - len(parser.trailing_data[0])
        if not pipelined and not connection.unread_bytes:
            # What is here already was read at the first request, or with the one before: that time is early enough.
            connection.request_arrived_at = None
        connection.on_data = lambda: self._set_idle(caller, False)
        connection.may_read_ahead = True
        complete, head, rejection = False, None, None
        try:
            head = await read_head(parser, connection)
            if head is not None:
                complete = await buffer_body(parser, connection, body)
                if complete:  # otherwise the data behind it belongs to its own body, which is streamed
                    await connection.wait_for_read_ahead()
        except BadMessage as error:
            # The exception itself would keep what was read of the message while the answer lingers.
            rejection = text_answer(error.status, str(error))
        finally:
            connection.on_data = None
            self._set_idle(caller, False)
        if rejection is not None:
            caller.waiting_since = None  # the linger time limits this connection from here on
            await self._reject(caller, rejection)
            return False
        if head is None or connection.closing:
            return False
        assert isinstance(head, h11.Request)
        caller.set_waiting(False)
        headers = PackedHeaders(head.headers)
        request = Request(head.method, head.target, headers, body)
        connection.set_parser_bytes(len(parser.trailing_data[0]) + len(headers))
        length = content_length_of(head)
        del head, headers  # its fields take many times the memory of the packed ones
        received_at = connection.received_at()
        if not complete:
            rest = RequestBodyReader(parser, connection, body, length, caller.set_waiting)
            request = request._replace(rest=rest, length=length)
            received_at = clock.now()
        forwarder = ResponseForwarder(
            parser, connection, caller.set_waiting_for_reader, lambda: self._closes_with_answer(caller, call)
        )
        call = Call(request, received_at, forwarder, connection, connection.request_arrived_at)
        del request  # the call lets go of what it needs no longer
        if connection.peer_ended:
            call.set_left()
        connection.on_peer_end = call.set_left
        answer = await self._handle(call)
        connection.on_peer_end = None
        forwarder.release()
        call.release()
        caller.waiting_since, caller.waited_us = None, 0
        if forwarder.started and not forwarder.finished:
            self._closed(CLOSED_CUT_ANSWER)
            connection.reset()  # the answer was cut short: the client must not take it for complete
        # A client that ended only its sending direction still reads, so it gets its answer; in the other cases there is
        # nobody left to answer.
        if connection.closing or forwarder.started and not forwarder.finished:
            return False
        if not forwarder.started:
            if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                return False  # it took too long and has been answered with a timeout
            connection.send(encode_answer(parser, answer, self._closes_with_answer(caller, call)))
        caller.answered = True
        caller.sent_ticket = caller.sent_ticket or call.ticket
        caller.waiting_since = clock.now()
        if not await connection.flush():
            return False
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            caller.waiting_since = None
            if parser.their_state is h11.SEND_BODY:
                await self._linger(
                    connection, *((UNREAD_BODY_LINGER_S, MAX_BODY_BYTES) if call.ticket else (LINGER_S, LINGER_BYTES))
                )
            elif self._closing and call.ticket and not connection.peer_ended:
                # Only where operators redirect clients: where descriptors run short, other connections need the
                # descriptor more.
                self._closing_connections[caller] = None
                await self._linger(connection, CLOSE_LINGER_S, LINGER_BYTES)
            return False
        if call.bad:
            await asyncio.sleep(BAD_REQUEST_PAUSE_S)
        caller.waiting_since = clock.now()
        parser.start_next_cycle()
        return True

    def _closes_with_answer(self, caller: Caller, call: Call) -> bool:
        """Whether the connection closes with this answer."""
        connection, parser = caller.connection, caller.parser
        # A client that sends a bad request with more data behind it is not read to the end.
        close = (
            call.left
            or parser.their_state is not h11.DONE
            or call.bad
            and bool(parser.trailing_data[0] or not connection.nothing_pending())
        )
        if self._closing or self._budget.is_above(CLOSE_AFTER_ANSWER_SHARE):
            # Pipelined requests are served as well: they are answered before the connection closes.
            close = close or connection.nothing_pending() and not parser.trailing_data[0]
        # Guards against hundreds of clients that only probe readiness or send bad requests and keep a connection each.
        return close or not call.ticket and not caller.sent_ticket and self._budget.is_above(CLOSE_WITHOUT_TICKET_SHARE)

    async def _reject(self, caller: Caller, answer: Answer) -> None:
        """Answers a message that is invalid or too late, and ends the connection."""
        connection = caller.connection
        if caller.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self._closed(f"{CLOSED_BAD_MESSAGE} {answer.status}")
        connection.send(encode_answer(caller.parser, answer, True))
        await self._linger(connection, LINGER_S, LINGER_BYTES)

    @staticmethod
    async def _linger(connection: StreamConnection, timeout_s: float, bytes_left: int) -> None:
        """Reads on for a while, so that the answer is not lost in a connection reset."""
        try:
            async with asyncio.timeout(timeout_s):
                if await connection.flush():
                    connection.send_eof()
                while bytes_left > 0 and (data := await connection.read()):
                    bytes_left -= len(data)
        except (TimeoutError, OSError):
            pass

    # --- idle connections -------------------------------------------------------------------------

    def _set_idle(self, caller: Caller, idle: bool) -> None:
        """Adds the caller to the idle ones or removes it."""
        if idle == (caller in self._idle):
            return
        if idle:
            self._idle[caller] = None
            return
        del self._idle[caller]
        # The first byte of a request has arrived.
        caller.waiting_since, caller.waited_us = clock.now(), 0

    def _close_one(self, needed: bool = False) -> bool:
        """Frees a descriptor by closing a connection, first one whose answer already announced the close. A connection
        with data in the kernel is spared, since that may be a whole ticket.

        `needed` says that a ticket in hand would otherwise be refused: then new and recently used connections are not
        spared either.
        """
        while self._closing_connections:
            caller = next(iter(self._closing_connections))
            del self._closing_connections[caller]
            connection = caller.connection
            if not connection.transport.is_closing():
                self._closed(CLOSED_WITH_LAST_ANSWER)
                connection.abort()
                return True
        now = clock.now()

        def idle_for(caller: Caller, min_idle: int) -> bool:
            return caller.waiting_since is not None and now - caller.waiting_since >= min_idle

        # A connection without an answer so far may carry a ticket that is sent again because it crossed a close: it is
        # given time.
        silent = [caller for caller in self._idle if not caller.answered]
        if needed:
            return any(
                self._close_unless_pending(caller, CLOSED_FOR_TICKET)
                for caller in chain(
                    (caller for caller in silent if idle_for(caller, MIN_IDLE_US)),
                    (caller for caller in self._idle if caller.answered),
                )
            )
        # While most idle connections are silent ones, their time-out is awaited: closing a recently active client would
        # only make it open a new connection for its next request.
        active_grace = FIRST_BYTE_TIMEOUT_US if 2 * len(silent) > len(self._idle) else 0
        return any(
            self._close_unless_pending(caller, CLOSED_FOR_CONNECTION)
            for caller in chain(
                (caller for caller in silent if idle_for(caller, NEW_CONNECTION_GRACE_US)),
                (caller for caller in self._idle if caller.answered and not caller.sent_ticket),
                (caller for caller in self._idle if caller.sent_ticket and idle_for(caller, active_grace)),
            )
        ) or self._close_stalled_request(now)

    def _close_stalled_request(self, now: int) -> bool:
        """Closes the oldest connection with a request that began and has stalled. A legitimate client continues to
        send; a crowd of clients that stop midway would each keep a descriptor for as long as a request may take, with
        all others waiting in the kernel's queue.
        """
        for caller in self._callers:
            connection = caller.connection
            if (
                caller.waiting_since is not None
                and caller not in self._idle
                and now - connection.last_received_at >= STALLED_REQUEST_US
                and connection.on_peer_end is None
                and caller.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE)
                and connection.nothing_pending()
            ):
                self._closed(CLOSED_STALLED)
                if connection.send(encode_answer(caller.parser, REQUEST_TIMEOUT_ANSWER, True)):
                    connection.close()
                else:
                    connection.abort()  # its descriptor is needed now, and the client does not read
                return True
        return False

    def _closed(self, reason: str) -> None:
        """Records that a connection is closed from this side."""
        self._events.connection_closed(self.peers.side, reason)

    def _close_unless_pending(self, caller: Caller, reason: str) -> bool:
        """Closes the connection unless the kernel holds unread data from it; returns whether it was closed."""
        if not caller.connection.nothing_pending():
            return False
        self._closed(reason)
        self._set_idle(caller, False)
        caller.connection.abort()
        return True

    def sweep(self, now: int) -> None:
        """Closes connections that their callers no longer use: idle since one request, stalled within a request, or
        opened and silent.
        """
        idle_most = (
            FIRST_BYTE_TIMEOUT_US
            if self._budget.is_above(CLOSE_WITHOUT_TICKET_SHARE)
            else max(FIRST_BYTE_TIMEOUT_US, self._max_client_wait)
        )
        for caller in list(self._callers):
            since = caller.waiting_since
            if since is None or now - since < FIRST_BYTE_TIMEOUT_US:
                continue
            idle = caller in self._idle
            reading_answer = caller.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)
            if reading_answer:
                limit = self._max_client_wait
            elif idle:
                limit = idle_most if caller.answered else FIRST_BYTE_TIMEOUT_US
            else:
                limit = caller.request_timeout
            if now - since < limit:
                continue
            if idle or reading_answer:
                self._close_unless_pending(caller, CLOSED_UNREAD_ANSWER if reading_answer else CLOSED_IDLE)
            elif caller.connection.nothing_pending():
                # The client may still be sending, and a reset would lose the answer; where descriptors are needed, this
                # connection is closed first.
                self._closed(CLOSED_LATE_REQUEST)
                caller.waiting_since = None
                self._closing_connections[caller] = None
                caller.connection.send_last(encode_answer(caller.parser, REQUEST_TIMEOUT_ANSWER, True), LINGER_BYTES)

    # --- the end ----------------------------------------------------------------------------------

    def close_after_answers(self, on: bool = True) -> None:
        """From now on (or no longer) every connection closes with its next answer."""
        self._closing = on

    def close_idle(self, min_idle: int = 0) -> None:
        """Closes connections that have been idle for at least `min_idle`; a new one gets time for its first request. A
        connection that has already sent data closes with its answer instead.
        """
        now = clock.now()
        for caller in list(self._idle):
            if caller.waiting_since is None or now - caller.waiting_since >= (
                min_idle if caller.answered else max(min_idle, NEW_CONNECTION_GRACE_US)
            ):
                self._close_unless_pending(caller, CLOSED_AT_END)

    def close_watcher(self) -> None:
        """Releases the disconnect watcher's descriptor."""
        self._disconnect_watcher.close()
