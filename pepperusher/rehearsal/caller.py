"""One caller of a proxy, as clients and the backends of a tier before are: asks, waits as long as it will,
leaves."""

from __future__ import annotations

import asyncio
import re

import h11

from pepperusher.rehearsal.records import BOUNCED, DONE, LEFT, LOST, SCRAPPED, UNREACHED, WRONG
from pepperusher.rehearsal.script import UseCase
from pepperusher.rehearsal.wire import BrokenConnection, Message, Peer, clock, is_answer, open_peer

# A connection that does not come up in this is none; a proxy accepts at once or is away.
CONNECT_WITHIN = 1.0
# A kept connection that ends this soon after it was written to crossed its proxy's close: sent once more on a
# new one. One that ends later was read, and what it carried is lost.
CROSSING = 100_000
CROSSED = "crossed"
ADVICE = re.compile(rb"[0-9]{1,6}(\.[0-9]{1,6})?")


class Asked:
    """One ticket to ask. `work` is the whole of it and `hint` what is told of it (us; -1 none), `left` what
    is said of the client's patience (us, 0 nothing). `sent`, `written`, `crossed` are set as it goes
    (clock)."""

    __slots__ = (
        "name",
        "use",
        "customer",
        "work",
        "left",
        "mark",
        "body",
        "hint",
        "again",
        "sent",
        "written",
        "fresh",
        "crossed",
    )

    def __init__(
        self,
        name: str,
        use: UseCase,
        customer: str,
        work: int,
        left: int,
        mark: str,
        body: bytes,
        hint: int,
        again: bool = False,
    ) -> None:
        self.name = name
        self.use = use
        self.customer = customer
        self.work = work
        self.left = left
        self.mark = mark
        self.body = body
        self.hint = hint
        self.again = again
        self.sent = -1
        self.written = -1
        self.crossed = -1
        self.fresh = False

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
        if self.left:
            headers.append((b"request-timeout", b"%du" % self.left))
        if self.hint >= 0:
            headers.append((b"work-hint", b"%d" % self.hint))
        if self.again:
            headers.append((b"client-retry", b"1"))
        if self.mark:
            headers.append((b"idempotency-key", self.mark.encode()))
        method = b"GET" if self.use.repeat == "replayable" else b"POST"
        if method == b"POST":
            headers.append((b"content-length", b"%d" % len(self.body)))
        return h11.Request(method=method, target=b"/" + name, headers=headers)


class Reply:
    """How it ended: one of the words of `records`; `advice` is when to come back (us, 0 not told)."""

    __slots__ = ("how", "status", "advice")

    def __init__(self, how: str, status: int = 0, advice: int = 0) -> None:
        self.how = how
        self.status = status
        self.advice = advice


def _read(message: Message, name: str) -> Reply:
    head = message.head
    assert isinstance(head, h11.Response)
    status = head.status_code
    if status == 200:
        return Reply(DONE if is_answer(message.body, name) else WRONG, status)
    if status in (429, 503):
        given = message.headers.get(b"retry-after", b"")
        return Reply(BOUNCED, status, round(float(given) * 1e6) if ADVICE.fullmatch(given) else 0)
    return Reply(SCRAPPED, status)


class Client:
    """Connections to one proxy, kept and used again, one ticket at a time on each; as many as are busy at
    once."""

    def __init__(self, address: tuple[str, int], proxy: int, kept: bool = True) -> None:
        self._address = address
        self._host = f"{address[0]}:{address[1]}".encode()
        self.proxy = proxy
        self._kept = kept
        self._idle: list[Peer] = []  # emptied by use, and by `close`
        self.opened = 0

    @property
    def rests(self) -> bool:
        """Whether a connection stands open that nobody uses now."""
        return any(not peer.ended for peer in self._idle)

    async def ask(self, asked: Asked, patience: int) -> Reply:
        """Never raises but for a cancellation, which closes the connection as a client that leaves does."""
        peer: Peer | None = None
        asked.sent = clock()
        try:
            async with asyncio.timeout(max(0, patience) / 1e6):
                while True:
                    peer = self._rested()
                    asked.fresh = peer is None
                    if peer is None:
                        try:
                            async with asyncio.timeout(CONNECT_WITHIN):
                                peer = await open_peer(self._address)
                        except TimeoutError:
                            return Reply(UNREACHED)
                        except OSError:
                            return Reply(UNREACHED)
                        self.opened += 1
                    reply = await self._exchange(peer, asked)
                    if reply.how != CROSSED:
                        return reply
                    peer.abort()
                    asked.crossed = clock()
        except TimeoutError:
            if peer is not None:
                peer.abort()
            return Reply(LEFT)
        except asyncio.CancelledError:
            if peer is not None:
                peer.abort()
            raise

    async def _exchange(self, peer: Peer, asked: Asked) -> Reply:
        began = clock()
        try:
            peer.send(asked.head(self._host), asked.body)
            if peer.writer.transport.get_write_buffer_size():
                await peer.writer.drain()
            asked.written = clock()
            message = await peer.receive()
        except (BrokenConnection, OSError) as broken:
            peer.abort()
            return self._broke(asked, began, isinstance(broken, BrokenConnection) and broken.begun)
        if message is None:
            peer.abort()
            return self._broke(asked, began, False)
        reply = _read(message, asked.name)
        if peer.parser.trailing_data[0]:
            # A second answer, or noise behind the first: no answer is whole that has company.
            reply = Reply(WRONG, reply.status)
            peer.abort()
        elif self._kept and peer.again() and not peer.ended:
            self._idle.append(peer)
        else:
            peer.close()
        return reply

    @staticmethod
    def _broke(asked: Asked, began: int, begun: bool) -> Reply:
        return Reply(LOST if begun or asked.fresh or clock() - began > CROSSING else CROSSED)

    def _rested(self) -> Peer | None:
        while self._idle:
            peer = self._idle.pop()
            if not peer.ended:
                return peer
            peer.abort()
        return None

    def close(self) -> None:
        while self._idle:
            self._idle.pop().abort()
