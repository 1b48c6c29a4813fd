"""Connections to backends, which are kept alive and reused, and single attempts on them."""

from __future__ import annotations

import asyncio

import h11

from pepperusher.net import clock
from pepperusher.net.buffers import Pool
from pepperusher.net.budget import Budget
from pepperusher.net.attempt import Attempt, AttemptContext
from pepperusher.net.exchange import Exchange
from pepperusher.net.body_streaming import ResponseForwarder
from pepperusher.net.connection import StreamConnection, connect
from pepperusher.net.listening_process import ListeningProcess
from pepperusher.net.message import MAX_HEAD_BYTES, Answer, Request
from pepperusher.net.peer_memory import PeerConnections
from pepperusher.net.request_events import RequestEvents

# Connections to backends are opened only up to this share of all descriptors: the rest is for callers, who must always
# be accepted, if only to be bounced.
BACKEND_SHARE = 0.95
# A connection that has been idle for less than this is reused, whatever happened to others.
MIN_REUSE_IDLE_US = 10_000
# Loop iterations that a connection needs to be set up once the kernel has it, with some to spare.
CONNECT_LOOP_TURNS = 10
# A connection is not reused for this long after its last answer: some backends send a second answer a little later,
# which would be taken for the answer to the next ticket. If one comes later still, the time is raised, up to the
# maximum.
SETTLE_TIME_US = 20_000
MAX_SETTLE_TIME_US = 200_000

# Why an idle connection to a backend was closed.
CLOSED_UNLISTED = "its backend is gone or moved, or does not respond"
CLOSED_FOR_DESCRIPTOR = "idle and its descriptor is needed"
CLOSED_IDLE = "idle"
CLOSED_BY_PEER = "its backend ended it"
CLOSED_UNEXPECTED_DATA = "unexpected data"
CLOSED_NOT_REUSABLE = "not usable after an attempt"
# Why a repeat was not sent.
UNTOLD_PROCESS = "its process has ended, and another may listen there"


class BackendConnection:
    """One connection to a backend with its HTTP parser."""

    __slots__ = ("stream", "address", "has_answered", "parser", "established_at", "idle_since")

    def __init__(self, stream: StreamConnection, address: tuple[str, int]) -> None:
        self.stream = stream
        self.address = address
        self.has_answered = False  # it has carried a ticket
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.established_at = clock.now()
        self.idle_since = 0


class BackendConnections:
    """The address of one backend, the process there, and the idle connections to it, ordered by last use."""

    __slots__ = ("address", "process", "idle", "listed", "last_answer_at", "attempts")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.process = ListeningProcess()
        self.idle: list[BackendConnection] = []  # removed by use, by age, when the peer closes, and with the list
        self.listed = True
        self.last_answer_at = 0
        self.attempts: set[Attempt] = set()  # attempts under way at this backend; removed as they end


class Backends:
    """All backends of the list, the connections to them, and attempts on these."""

    def __init__(
        self, budget: Budget, pool: Pool, connect_timeout: int, idle_timeout: int, events: RequestEvents
    ) -> None:
        self._budget = budget
        self._events = events
        self._pool = pool
        self.peers = PeerConnections("backends", pool.peer_memory)
        self._connect_timeout = connect_timeout / 1e6
        # Well below the backend's own idle timeout: a request that crosses the backend's close may have run.
        self._idle_timeout = idle_timeout // 2
        # A device on the network may drop an idle connection long before that, and reveals it only by resetting the
        # next request.
        self._max_idle_us = self._idle_timeout
        self._settle_time = SETTLE_TIME_US
        self._connections_by_backend: dict[
            str, BackendConnections
        ] = {}  # removed with the list, once no attempt is under way
        budget.register_idle_closer(self._close_oldest)

    def reconfigure(self, connect_timeout: int, idle_timeout: int) -> None:
        """Applies a changed configuration."""
        self._connect_timeout, self._idle_timeout = connect_timeout / 1e6, idle_timeout // 2
        self._max_idle_us = min(self._max_idle_us, self._idle_timeout)

    @property
    def known(self) -> bool:
        """Whether the list holds any backend."""
        return any(connections.listed for connections in self._connections_by_backend.values())

    # --- the list ---------------------------------------------------------------------------------

    def set_address(self, backend: str, address: tuple[str, int], is_listed: bool) -> None:
        """Sets where a backend is reached, or removes it from the list (`is_listed` false). Connections to an earlier
        address are closed.
        """
        connections = self._connections_by_backend.get(backend)
        if connections is None:
            if not is_listed:
                return
            connections = self._connections_by_backend[backend] = BackendConnections(address)
        if connections.address != address or not is_listed:
            if connections.address != address:
                connections.process = ListeningProcess()
            connections.address = address
            self._close_idle(connections)
        connections.listed = is_listed
        self._forget_if_unused(backend, connections)

    def retain_only(self, backends: set[str]) -> None:
        """Applies a complete list: backends that are not in it are gone."""
        for name, connections in list(self._connections_by_backend.items()):
            if name not in backends:
                connections.listed = False
                self._close_idle(connections)
                self._forget_if_unused(name, connections)

    def _forget_if_unused(self, backend: str, connections: BackendConnections) -> None:
        """Drops a backend that is off the list and has no attempts under way."""
        if not connections.listed and not connections.attempts:
            self._connections_by_backend.pop(backend, None)

    def give_up_all(self, outcome: str, reason: str) -> None:
        """Gives up all attempts under way, with this outcome."""
        for connections in self._connections_by_backend.values():
            for attempt in list(connections.attempts):
                attempt.give_up(outcome, reason)

    # --- idle connections -------------------------------------------------------------------------

    def _close_idle(self, connections: BackendConnections) -> None:
        """Closes all idle connections to a backend."""
        while connections.idle:
            self._drop(connections, connections.idle[-1], CLOSED_UNLISTED)

    def _drop(self, connections: BackendConnections, connection: BackendConnection, reason: str) -> None:
        """Closes one connection, and removes it from the idle ones."""
        if connection in connections.idle:
            connections.idle.remove(connection)
            self._events.connection_closed(self.peers.side, reason)
        connection.stream.discard()

    def _close_oldest(self, needed: bool = False) -> bool:
        """Closes the connection that has been idle for longest, if there is one."""
        connections = min(
            (connections for connections in self._connections_by_backend.values() if connections.idle),
            default=None,
            key=lambda one: one.idle[0].idle_since,
        )
        if connections is None:
            return False
        self._drop(connections, connections.idle[0], CLOSED_FOR_DESCRIPTOR)
        return True

    def sweep(self, now: int) -> None:
        """Closes connections that have been idle for too long."""
        for connections in self._connections_by_backend.values():
            while connections.idle and now - connections.idle[0].idle_since >= self._max_idle_us:
                self._drop(connections, connections.idle[0], CLOSED_IDLE)

    def _add_idle(self, connections: BackendConnections, connection: BackendConnection) -> None:
        """Keeps a connection as idle and watches it for unexpected events."""
        if connection.parser.our_state is h11.DONE:
            connection.parser.start_next_cycle()
        connection.idle_since = clock.now()

        def handle_unexpected_data() -> None:
            idle_time = clock.now() - connection.idle_since
            if 2 * idle_time < MAX_SETTLE_TIME_US:
                self._settle_time = max(self._settle_time, 2 * idle_time)
            self._drop(connections, connection, CLOSED_UNEXPECTED_DATA)

        def handle_peer_end() -> None:
            # Closing the connection on this side reports an end too.
            if connection in connections.idle:
                self._note_reset(connections, connection)
            self._drop(connections, connection, CLOSED_BY_PEER)

        # Whatever arrives now, an end or an unexpected second answer, the connection is not reused.
        connection.stream.on_peer_end, connection.stream.on_data = handle_peer_end, handle_unexpected_data
        connections.idle.append(connection)

    @staticmethod
    def _note_reset(connections: BackendConnections, connection: BackendConnection) -> None:
        """Records that the process behind a connection may have ended, if the peer has reset it."""
        if connection.stream.peer_ended and not connection.stream.ended_cleanly:
            connections.process.note_end(clock.now())

    def _keep_for_reuse(self, connections: BackendConnections, connection: BackendConnection) -> bool:
        """Keeps a connection for reuse and returns whether it did: not for a backend that is gone or has moved to
        another address.
        """
        if not connections.listed or connections.address != connection.address:
            connection.stream.discard()
            return False
        self._add_idle(connections, connection)
        return True

    def _take_idle_connection(self, connections: BackendConnections, is_bound_repeat: bool) -> BackendConnection | None:
        """Takes the connection that was used last and can be reused, if there is one."""
        now = clock.now()
        for index in range(len(connections.idle) - 1, -1, -1):
            connection = connections.idle[index]
            if connection.has_answered and now - connection.idle_since < self._settle_time:
                continue
            if is_bound_repeat and connections.process.may_be_untold(connection.established_at, now):
                continue
            del connections.idle[index]
            connection.stream.on_data = None
            connection.stream.on_peer_end = None
            # The peer's end may be in the kernel and not yet read: if a request were written now, it would count as one
            # that may have run.
            if now - connection.idle_since < self._max_idle_us and connection.stream.nothing_pending():
                return connection
            connection.stream.discard()
        return None

    def _adapt_max_idle(self, idle_time: int, reused_successfully: bool) -> None:
        """Adapts the maximum idle time of reused connections from one that was reused after it was idle for
        `idle_time`: halves it after a failure, and slowly raises it again.

        One network connects this proxy to all backends, so the figure is shared: learning it per backend would cost a
        few reset tickets at each.
        """
        if not reused_successfully:
            self._max_idle_us = max(MIN_REUSE_IDLE_US, min(self._max_idle_us, idle_time) // 2)
        elif 2 * idle_time >= self._max_idle_us:
            self._max_idle_us = min(self._idle_timeout, self._max_idle_us + self._max_idle_us // 128)

    async def _connect(
        self, connections: BackendConnections, attempt: Attempt, timeout_s: float
    ) -> BackendConnection | str:
        """Opens a connection, or returns the outcome of the attempt: `moot` without a descriptor, `unreached`
        otherwise.
        """
        for turns_left in range(CONNECT_LOOP_TURNS, -1, -1):
            if self._budget.acquire(BACKEND_SHARE, True):
                break
            if not turns_left or not self._budget.reserve_exhausted or attempt.outcome is not None:
                attempt.reason = attempt.reason or f"no descriptor: {self._budget.open} of {self._budget.limit} in use"
                return "moot"
            # Closed connections free their descriptors in the next loop iteration. Of many tickets that arrived in one
            # iteration the last were otherwise refused, although idle clients could be closed.
            await asyncio.sleep(0)
        address = connections.address
        connecting = asyncio.ensure_future(connect(address, self.peers))
        connecting.add_done_callback(self._return_descriptor)
        attempt.on_give_up(connecting.cancel)
        done, _ = await asyncio.wait((connecting,), timeout=timeout_s)
        if not done:
            # The timer may have fired late, and the connection may be up in the kernel: it needs a few loop iterations
            # to be set up.
            for _ in range(CONNECT_LOOP_TURNS):
                if not connecting.done():
                    await asyncio.sleep(0)
            connecting.cancel()
            await asyncio.wait((connecting,))
        if connecting.cancelled() or connecting.exception() is not None:
            if not connecting.cancelled() and isinstance(connecting.exception(), ConnectionRefusedError):
                connections.process.note_end(clock.now())
            error = "no connection in time" if connecting.cancelled() else str(connecting.exception())
            attempt.reason = attempt.reason or error
            return "unreached"
        return BackendConnection(connecting.result(), address)

    def _return_descriptor(self, connecting: asyncio.Future[StreamConnection]) -> None:
        """Returns the descriptor to the budget when the connection ends, or at once if connecting failed."""
        if connecting.cancelled() or connecting.exception() is not None:
            self._budget.release()
        else:
            connecting.result().call_when_lost(self._budget.release)

    # --- one attempt ------------------------------------------------------------------------------

    async def attempt(
        self,
        backend: str,
        request: Request,
        attempt: Attempt,
        timeout_us: int,
        context: AttemptContext,
        forwarder: ResponseForwarder | None = None,
    ) -> tuple[str, Answer | None]:
        """Makes one attempt, never a second one. Returns the outcome, and the answer if a complete one arrived and was
        not streamed to the client. The backend is told what is left of `timeout_us` when the request is written.
        """
        connections = self._connections_by_backend.get(backend)
        if connections is None:
            return "unreached", None
        connections.attempts.add(attempt)
        began = clock.now()
        try:
            outcome, answer = await self._attempt(connections, request, attempt, timeout_us, context, forwarder)
        finally:
            connections.attempts.discard(attempt)
            self._forget_if_unused(backend, connections)
        if outcome == "timed out" and connections.last_answer_at < began:
            # Other connections to an unresponsive machine are as unresponsive; a new one that cannot be set up fails at
            # once.
            self._close_idle(connections)
        return outcome, answer

    async def _attempt(
        self,
        connections: BackendConnections,
        request: Request,
        attempt: Attempt,
        timeout_us: int,
        context: AttemptContext,
        forwarder: ResponseForwarder | None,
    ) -> tuple[str, Answer | None]:
        """Makes the attempt on an idle or a new connection."""
        deadline = clock.now() + timeout_us
        is_bound_repeat = context.is_bound_repeat()
        connection = self._take_idle_connection(connections, is_bound_repeat)
        idle_time = None if connection is None else clock.now() - connection.idle_since
        if connection is None:
            if is_bound_repeat and connections.process.may_be_untold(clock.now(), clock.now()):
                attempt.reason = UNTOLD_PROCESS
                return "unreached", None
            connected = await self._connect(connections, attempt, min(self._connect_timeout, timeout_us / 1e6))
            if isinstance(connected, str):
                return "moot" if attempt.outcome == "called off" else connected, None
            connection = connected
            await context.prepare_to_send()
            # Nothing was written, whatever the reason for giving up: the ticket has not run, and if its client left,
            # that says nothing about the backend.
            if attempt.outcome is not None or not context.may_still_send():
                attempt.reason = attempt.reason or "it may no longer be sent"
                self._keep_for_reuse(connections, connection)
                return "moot" if attempt.outcome == "called off" or context.client_left() else "unreached", None
            if connections.address != connection.address or not connection.stream.nothing_pending():
                # The old address may belong to another process by now, or the peer has already closed or sent
                # unexpected data that is still in the kernel. If a single-use ticket were written here, it would count
                # as one that may have run.
                attempt.reason = "the connection ended as it came up, or the backend moved"
                connection.stream.discard()
                return "unreached", None
            if is_bound_repeat and connections.process.may_be_untold(connection.established_at, clock.now()):
                attempt.reason = UNTOLD_PROCESS
                self._keep_for_reuse(connections, connection)
                return "unreached", None
        connection.has_answered = True
        began = clock.now()
        time_left = max(0, deadline - began)
        request = request._replace(headers=[*request.headers, (b"request-timeout", b"%du" % max(1, time_left))])
        exchange = Exchange(
            connection.stream, connection.parser, self._pool, attempt, time_left, self._connect_timeout, context
        )
        reusable = False
        try:
            outcome, answer = await exchange.run(request, forwarder)
            if exchange.head_received:
                connections.last_answer_at = clock.now()
                if idle_time is not None:
                    self._adapt_max_idle(idle_time, True)
            elif (
                idle_time is not None
                and outcome == "reset"
                and attempt.outcome is None
                and connection.stream.last_received_at < began
                and clock.now() - began < self._connect_timeout * 1e6
            ):
                # Only an immediate reset without any data counts: an answer that broke off, or work that ended in a
                # crash, says nothing about idle connections.
                self._adapt_max_idle(idle_time, False)
            if attempt.outcome is None and not exchange.head_received:
                self._note_reset(connections, connection)
            reusable = exchange.reusable
            return outcome, answer
        finally:
            if not reusable or not self._keep_for_reuse(connections, connection):
                self._events.connection_closed(self.peers.side, CLOSED_NOT_REUSABLE)
                connection.stream.discard()
                # The loop closes the aborted connection in its next iteration. If the ticket were sent elsewhere before
                # that, it would be out twice at the same time.
                await asyncio.sleep(0)
