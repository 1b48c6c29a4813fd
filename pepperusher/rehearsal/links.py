"""Links of our own between proxies, in user space: what passes between each two, one way and the other.

Each proxy is told to others by the address of its front here, so that all for it comes by; who sent it is
known by where it came from. Datagrams and streams: cut, cut one way, lost, late, out of order, doubled,
damaged, cut to a size, slow. No proxy knows of any of it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

LONGEST = 65_536
# A link that is slow holds back so much; what comes beyond that is lost, as in a router's queue.
HELD_BACK = 1.0
LOOK_EVERY = 0.02
BATCH = 64
# Streams that wait to be taken: a few hundred proxies of a zone may connect to one front at one moment, and beyond it
# the kernel drops them, to be tried again after 1 s and 3 s.
BACKLOG = 1024


class LinkProperties(NamedTuple):
    """What befalls what one sends another. Shares from 0 to 1, times in seconds, `rate` in bytes a second (0:
    no bound); `size` is what a datagram is cut to (0: none is). With a jitter over the time between two they
    change order.
    """

    lost: float = 0.0
    twice: float = 0.0
    damaged: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    size: int = 0
    rate: float = 0.0


PLAIN = LinkProperties()


class Front:
    """Where others reach one proxy, and where that really listens once it has said so. `side` is what it
    counts as where links are cut and shaped: its own name, or that of all who stand with it.
    """

    __slots__ = ("name", "side", "address", "sock", "server", "stands")

    def __init__(self, name: str, side: str, sock: socket.socket, server: asyncio.Server) -> None:
        self.name = name
        self.side = side
        self.sock = sock
        self.server = server
        self.address: tuple[str, int] = sock.getsockname()
        self.stands: tuple[str, int] | None = None


class Links:
    def __init__(self, host: str, chance: Random) -> None:
        self._host = host
        self._chance = chance
        self._fronts: dict[str, Front] = {}
        self._of_host: dict[str, str] = {}  # by a proxy's own host, its side
        self._sides: set[str] = set()  # those of several, within which links are shaped as well
        self._cut: set[tuple[str, str]] = set()
        self._manners: dict[tuple[str, str], LinkProperties] = {}
        self._free: dict[tuple[str, str], float] = {}  # when a slow link has sent what it holds back
        self._tasks: set[asyncio.Task[None]] = set()  # of streams; emptied as they end
        self._late: set[asyncio.TimerHandle] = set()
        self.counts: dict[str, int] = {
            "passed": 0,
            "passed bytes": 0,
            "came": 0,
            "came bytes": 0,
            "cut": 0,
            "lost": 0,
            "doubled": 0,
            "damaged": 0,
            "streams": 0,
            "stream bytes": 0,
        }

    async def open(self, name: str, side: str = "") -> tuple[str, int]:
        """The address to be told of it; of the same number for datagrams and streams."""
        while True:
            server = await asyncio.start_server(
                lambda reader, writer: self._accepted(name, reader, writer), self._host, 0, backlog=BACKLOG
            )
            port = server.sockets[0].getsockname()[1]
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                sock.bind((self._host, port))
            except OSError:
                sock.close()
                server.close()
                continue
            break
        sock.setblocking(False)
        front = self._fronts[name] = Front(name, side or name, sock, server)
        if side:
            self._sides.add(side)
        asyncio.get_running_loop().add_reader(sock, self._come, front)
        return front.address

    def stands(self, name: str, address: tuple[str, int]) -> None:
        """Where its process listens now. Each has a host of its own: by that it is known as a sender."""
        front = self._fronts[name]
        front.stands = address
        self._of_host[address[0]] = front.side

    def sends_from(self, host: str, side: str) -> None:
        """One whose own front is in another process."""
        self._of_host[host] = side

    def address(self, name: str) -> tuple[str, int]:
        return self._fronts[name].address

    @property
    def names(self) -> list[str]:
        return list(self._fronts)

    def close(self) -> None:
        loop = asyncio.get_running_loop()
        for front in self._fronts.values():
            loop.remove_reader(front.sock)
            front.sock.close()
            front.server.close()
        for handle in self._late:
            handle.cancel()
        for task in self._tasks:
            task.cancel()

    # --- what is broken -----------------------------------------------------------------------------

    def part(self, sides: Iterable[Iterable[str]]) -> None:
        """Nothing passes between members of different sides; whoever is on no side reaches all."""
        held = [set(side) for side in sides]
        for number, side in enumerate(held):
            for other in held[number + 1 :]:
                self.cut(side, other)
                self.cut(other, side)

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """One way."""
        receivers = list(receivers)
        self._cut |= {(a, b) for a in senders for b in receivers if a != b}

    def shape(self, manner: LinkProperties, senders: Iterable[str], receivers: Iterable[str]) -> None:
        receivers = list(receivers)
        for a in senders:
            for b in receivers:
                if a != b or a in self._sides:
                    self._manners[a, b] = manner

    def heal(self) -> None:
        self._cut.clear()
        self._manners.clear()
        self._free.clear()

    # --- datagrams ------------------------------------------------------------------------------------

    def _come(self, front: Front) -> None:
        for _ in range(BATCH):
            try:
                data, source = front.sock.recvfrom(LONGEST)
            except OSError:
                return
            self.counts["came"] += 1
            self.counts["came bytes"] += len(data)
            self._pass(self._of_host.get(source[0], ""), front, data)

    def _pass(self, sender: str, front: Front, data: bytes) -> None:
        way = sender, front.side
        if way in self._cut:
            self.counts["cut"] += 1
            return
        manner = self._manners.get(way, PLAIN)
        chance = self._chance.random
        if manner.lost and chance() < manner.lost:
            self.counts["lost"] += 1
            return
        if manner.damaged and chance() < manner.damaged:
            self.counts["damaged"] += 1
            at = self._chance.randrange(len(data) or 1)
            data = data[:at] + bytes([data[at] ^ 1 << self._chance.randrange(8)]) + data[at + 1 :] if data else data
        if manner.size:
            data = data[: manner.size]
        copies = 2 if manner.twice and chance() < manner.twice else 1
        self.counts["doubled"] += copies - 1
        for _ in range(copies):
            self._send(way, manner, front, data)

    def _send(self, way: tuple[str, str], manner: LinkProperties, front: Front, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        wait = manner.delay + (self._chance.random() * manner.jitter if manner.jitter else 0.0)
        if manner.rate:
            free = max(loop.time(), self._free.get(way, 0.0))
            if free - loop.time() > HELD_BACK:
                self.counts["lost"] += 1
                return
            self._free[way] = free + len(data) / manner.rate
            wait += self._free[way] - loop.time()
        if wait <= 0:
            self._out(front, data)
            return

        def late() -> None:
            self._late.discard(handle)
            self._out(front, data)

        handle = loop.call_later(wait, late)
        self._late.add(handle)

    def _out(self, front: Front, data: bytes) -> None:
        if front.stands is None:
            return
        try:
            front.sock.sendto(data, front.stands)
            self.counts["passed"] += 1
            self.counts["passed bytes"] += len(data)
        except OSError:
            self.counts["lost"] += 1

    # --- streams ----------------------------------------------------------------------------------------

    async def _accepted(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        onward: asyncio.StreamWriter | None = None
        try:
            sender = self._of_host.get(writer.get_extra_info("peername")[0], "")
            front = self._fronts[name]
            if front.stands is None:
                return
            self.counts["streams"] += 1
            await self._open_way(sender, front.side)
            back, onward = await asyncio.open_connection(*front.stands)
            await asyncio.gather(
                self._pump(sender, front.side, reader, onward), self._pump(front.side, sender, back, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
            if onward is not None:
                onward.transport.abort()

    async def _open_way(self, sender: str, receiver: str) -> None:
        """A cut is silence, and no end of a connection: what is written waits, as in a kernel that sends
        again.
        """
        while (sender, receiver) in self._cut:
            await asyncio.sleep(LOOK_EVERY)

    async def _pump(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(LONGEST):
            self.counts["stream bytes"] += len(data)
            await self._open_way(sender, receiver)
            manner = self._manners.get((sender, receiver), PLAIN)
            await asyncio.sleep(manner.delay + (len(data) / manner.rate if manner.rate else 0.0))
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
