"""The client side of a proxy, used by the load generators and by backends that call the next tier: sends tickets, waits
up to a timeout, and disconnects."""

from __future__ import annotations

import asyncio
import re

import h11

from pepperusher.rehearsal.records import BOUNCED, DONE, LEFT, LOST, SCRAPPED, UNREACHED, WRONG
from pepperusher.rehearsal.script import UseCase
from pepperusher.rehearsal.wire import BrokenConnection, Message, Peer, clock, is_answer, open_peer

# Connect timeout in seconds: a proxy on loopback accepts at once or is not running.
CONNECT_TIMEOUT = 1.0
# If a reused connection ends within this time (us) after a ticket was written, the proxy closed it while the ticket was
# on its way, and the ticket is sent again on another connection. If it ends later, the proxy has read the ticket, and
# the ticket counts as lost.
CLOSE_RACE_WINDOW = 100_000
CLOSE_RACE = "crossed"
RETRY_AFTER = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")


class OutgoingTicket:
    """One ticket to send to a proxy. `work` is its total work and `work_hint` the value of the Work-Hint header (us; -1
    for none); `sent_timeout` is the value of the Request-Timeout header (us; 0 for none). `sent_at`, `written_at` and
    `resent_at` are clock times set while it is sent (-1 before)."""

    __slots__ = (
        "name",
        "use",
        "customer",
        "work",
        "sent_timeout",
        "idempotency_key",
        "body",
        "work_hint",
        "is_retry",
        "sent_at",
        "written_at",
        "on_new_connection",
        "resent_at",
    )

    def __init__(
        self,
        name: str,
        use: UseCase,
        customer: str,
        work: int,
        sent_timeout: int,
        idempotency_key: str,
        body: bytes,
        work_hint: int,
        is_retry: bool = False,
    ) -> None:
        self.name = name
        self.use = use
        self.customer = customer
        self.work = work
        self.sent_timeout = sent_timeout
        self.idempotency_key = idempotency_key
        self.body = body
        self.work_hint = work_hint
        self.is_retry = is_retry
        self.sent_at = -1
        self.written_at = -1
        self.resent_at = -1
        self.on_new_connection = False

    def head(self, host: bytes) -> h11.Request:
        name = self.use.name.encode()
        headers = [
            (b"host", host),
            (b"request-id", self.name.encode()),
            (b"request-class", name),
            (b"request-info", b"work=%d" % self.work),
        ]
        if self.customer:
            headers.append((b"tenant", self.customer.encode()))
        if self.sent_timeout:
            headers.append((b"request-timeout", b"%du" % self.sent_timeout))
        if self.work_hint >= 0:
            headers.append((b"work-hint", b"%d" % self.work_hint))
        if self.is_retry:
            headers.append((b"client-retry", b"1"))
        if self.idempotency_key:
            headers.append((b"idempotency-key", self.idempotency_key.encode()))
        method = b"GET" if self.use.repeat == "replayable" else b"POST"
        if method == b"POST":
            headers.append((b"content-length", b"%d" % len(self.body)))
        return h11.Request(method=method, target=b"/" + name, headers=headers)


class Reply:
    """The outcome of a ticket, one of the constants in `records`. `retry_after` is the delay from the Retry-After header
    (us; 0 for none)."""

    __slots__ = ("outcome", "status", "retry_after")

    def __init__(self, outcome: str, status: int = 0, retry_after: int = 0) -> None:
        self.outcome = outcome
        self.status = status
        self.retry_after = retry_after


def _parse_reply(message: Message, name: str) -> Reply:
    head = message.head
    assert isinstance(head, h11.Response)
    status = head.status_code
    if status == 200:
        return Reply(DONE if is_answer(message.body, name) else WRONG, status)
    if status in (429, 503):
        header = message.headers.get(b"retry-after", b"")
        return Reply(BOUNCED, status, round(float(header) * 1e6) if RETRY_AFTER.fullmatch(header) else 0)
    return Reply(SCRAPPED, status)


class Client:
    """The pool of connections to one proxy. Each carries one ticket at a time and is reused afterwards (unless `reuse` is
    false); a new one is opened when none is idle."""

    def __init__(self, address: tuple[str, int], proxy: int, reuse: bool = True) -> None:
        self._address = address
        self._host = f"{address[0]}:{address[1]}".encode()
        self.proxy = proxy
        self._reuse = reuse
        self._idle: list[Peer] = []  # an entry is removed by use, and by `close`
        self.opened = 0

    @property
    def has_idle_connection(self) -> bool:
        """Whether an idle connection is open."""
        return any(not peer.ended for peer in self._idle)

    async def ask(self, ticket: OutgoingTicket, timeout_us: int) -> Reply:
        """Sends a ticket and waits up to `timeout_us` for its answer. Raises only CancelledError, after closing the
        connection as a client that disconnects does."""
        peer: Peer | None = None
        ticket.sent_at = clock()
        try:
            async with asyncio.timeout(max(0, timeout_us) / 1e6):
                while True:
                    peer = self._take_idle()
                    ticket.on_new_connection = peer is None
                    if peer is None:
                        try:
                            async with asyncio.timeout(CONNECT_TIMEOUT):
                                peer = await open_peer(self._address)
                        except TimeoutError:
                            return Reply(UNREACHED)
                        except OSError:
                            return Reply(UNREACHED)
                        self.opened += 1
                    reply = await self._exchange(peer, ticket)
                    if reply.outcome != CLOSE_RACE:
                        return reply
                    peer.abort()
                    ticket.resent_at = clock()
        except TimeoutError:
            if peer is not None:
                peer.abort()
            return Reply(LEFT)
        except asyncio.CancelledError:
            if peer is not None:
                peer.abort()
            raise

    async def _exchange(self, peer: Peer, ticket: OutgoingTicket) -> Reply:
        write_started = clock()
        try:
            peer.send(ticket.head(self._host), ticket.body)
            if peer.writer.transport.get_write_buffer_size():
                await peer.writer.drain()
            ticket.written_at = clock()
            message = await peer.receive()
        except (BrokenConnection, OSError) as broken:
            peer.abort()
            return self._broken_reply(ticket, write_started, isinstance(broken, BrokenConnection) and broken.begun)
        if message is None:
            peer.abort()
            return self._broken_reply(ticket, write_started, False)
        reply = _parse_reply(message, ticket.name)
        if peer.parser.trailing_data[0]:
            # A second response or garbage follows the first, so the response counts as wrong.
            reply = Reply(WRONG, reply.status)
            peer.abort()
        elif self._reuse and peer.again() and not peer.ended:
            self._idle.append(peer)
        else:
            peer.close()
        return reply

    @staticmethod
    def _broken_reply(ticket: OutgoingTicket, write_started: int, begun: bool) -> Reply:
        return Reply(
            LOST if begun or ticket.on_new_connection or clock() - write_started > CLOSE_RACE_WINDOW else CLOSE_RACE
        )

    def _take_idle(self) -> Peer | None:
        while self._idle:
            peer = self._idle.pop()
            if not peer.ended:
                return peer
            peer.abort()
        return None

    def close(self) -> None:
        while self._idle:
            self._idle.pop().abort()
