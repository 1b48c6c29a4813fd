"""Simulates the network links between proxies in user space, for datagrams and streams and separately for each
direction.

Each proxy is advertised to the others by the address of a front in this process, so that all traffic to it passes here;
the sender is identified by its source address. Traffic can be blocked in one or both directions, lost, delayed,
reordered, duplicated, damaged, truncated or limited in rate. The proxies are not aware of the simulation.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from random import Random
from typing import NamedTuple

READ_SIZE = 65_536
# Longest queue of a rate-limited link, in seconds. Datagrams beyond it are lost, as in a router's queue.
MAX_QUEUE_SECONDS = 1.0
BLOCK_POLL_INTERVAL = 0.02
DATAGRAMS_PER_WAKE_UP = 64
# Listen backlog: a few hundred proxies of a zone may connect to one front at once. Beyond the backlog the kernel drops
# connection attempts, which are retried after 1 s and 3 s.
BACKLOG = 1024


class LinkProperties(NamedTuple):
    """The properties of a link in one direction: `lost`, `twice` (duplicated) and `damaged` as shares from 0 to 1,
    `delay` and `jitter` in seconds, `rate` in bytes per second (0: unlimited), and `size`, the length that datagrams are
    truncated to (0: not truncated). Datagrams are reordered if the jitter exceeds the time between them.
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
    """The sockets at which the others reach one proxy. `stands` is the address at which the proxy itself listens, None
    until it is known. `side` identifies it when links are blocked or shaped: its own name, or a name that it shares with
    other proxies.
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
    """All links between the proxies of a rehearsal."""

    def __init__(self, host: str, rng: Random) -> None:
        self._host = host
        self._random = rng
        self._fronts: dict[str, Front] = {}
        self._side_of_host: dict[str, str] = {}  # host of a proxy -> its side
        self._sides: set[str] = set()  # sides of several proxies; links within such a side can be shaped too
        self._blocked: set[tuple[str, str]] = set()
        self._properties: dict[tuple[str, str], LinkProperties] = {}
        self._queue_empty_at: dict[tuple[str, str], float] = {}  # when the queue of a rate-limited link is empty
        self._tasks: set[asyncio.Task[None]] = set()  # one for each stream; removed when it ends
        self._pending_sends: set[asyncio.TimerHandle] = set()
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
        """Opens the front of a proxy, with the same port for datagrams and streams; returns the address to advertise."""
        while True:
            server = await asyncio.start_server(
                lambda reader, writer: self._accept_stream(name, reader, writer), self._host, 0, backlog=BACKLOG
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
        asyncio.get_running_loop().add_reader(sock, self._receive_datagrams, front)
        return front.address

    def stands(self, name: str, address: tuple[str, int]) -> None:
        """Sets the address at which a proxy's process listens. Each process has a host of its own, which identifies it as
        a sender."""
        front = self._fronts[name]
        front.stands = address
        self._side_of_host[address[0]] = front.side

    def sends_from(self, host: str, side: str) -> None:
        """Registers a sender whose front is in another process."""
        self._side_of_host[host] = side

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
        for handle in self._pending_sends:
            handle.cancel()
        for task in self._tasks:
            task.cancel()

    # --- link faults --------------------------------------------------------------------------------

    def part(self, sides: Iterable[Iterable[str]]) -> None:
        """Blocks all traffic between members of different sides; proxies on no side still reach all others."""
        members = [set(side) for side in sides]
        for number, side in enumerate(members):
            for other in members[number + 1 :]:
                self.cut(side, other)
                self.cut(other, side)

    def cut(self, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Blocks all traffic from the senders to the receivers, but not in the other direction."""
        receivers = list(receivers)
        self._blocked |= {(sender, receiver) for sender in senders for receiver in receivers if sender != receiver}

    def shape(self, properties: LinkProperties, senders: Iterable[str], receivers: Iterable[str]) -> None:
        """Sets the properties of all links from the senders to the receivers."""
        receivers = list(receivers)
        for sender in senders:
            for receiver in receivers:
                if sender != receiver or sender in self._sides:
                    self._properties[sender, receiver] = properties

    def heal(self) -> None:
        """Removes all blocks and link properties."""
        self._blocked.clear()
        self._properties.clear()
        self._queue_empty_at.clear()

    # --- datagrams ------------------------------------------------------------------------------------

    def _receive_datagrams(self, front: Front) -> None:
        for _ in range(DATAGRAMS_PER_WAKE_UP):
            try:
                data, source = front.sock.recvfrom(READ_SIZE)
            except OSError:
                return
            self.counts["came"] += 1
            self.counts["came bytes"] += len(data)
            self._pass(self._side_of_host.get(source[0], ""), front, data)

    def _pass(self, sender: str, front: Front, data: bytes) -> None:
        direction = sender, front.side
        if direction in self._blocked:
            self.counts["cut"] += 1
            return
        properties = self._properties.get(direction, PLAIN)
        next_random = self._random.random
        if properties.lost and next_random() < properties.lost:
            self.counts["lost"] += 1
            return
        if properties.damaged and next_random() < properties.damaged:
            self.counts["damaged"] += 1
            at = self._random.randrange(len(data) or 1)
            data = data[:at] + bytes([data[at] ^ 1 << self._random.randrange(8)]) + data[at + 1 :] if data else data
        if properties.size:
            data = data[: properties.size]
        copy_count = 2 if properties.twice and next_random() < properties.twice else 1
        self.counts["doubled"] += copy_count - 1
        for _ in range(copy_count):
            self._send_copy(direction, properties, front, data)

    def _send_copy(self, direction: tuple[str, str], properties: LinkProperties, front: Front, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        delay_seconds = properties.delay + (self._random.random() * properties.jitter if properties.jitter else 0.0)
        if properties.rate:
            queue_empty_at = max(loop.time(), self._queue_empty_at.get(direction, 0.0))
            if queue_empty_at - loop.time() > MAX_QUEUE_SECONDS:
                self.counts["lost"] += 1
                return
            self._queue_empty_at[direction] = queue_empty_at + len(data) / properties.rate
            delay_seconds += self._queue_empty_at[direction] - loop.time()
        if delay_seconds <= 0:
            self._out(front, data)
            return

        def send_delayed() -> None:
            self._pending_sends.discard(handle)
            self._out(front, data)

        handle = loop.call_later(delay_seconds, send_delayed)
        self._pending_sends.add(handle)

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

    async def _accept_stream(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            sender = self._side_of_host.get(writer.get_extra_info("peername")[0], "")
            front = self._fronts[name]
            if front.stands is None:
                return
            self.counts["streams"] += 1
            await self._wait_until_open(sender, front.side)
            upstream_reader, upstream_writer = await asyncio.open_connection(*front.stands)
            await asyncio.gather(
                self._copy_stream(sender, front.side, reader, upstream_writer),
                self._copy_stream(front.side, sender, upstream_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()
            if upstream_writer is not None:
                upstream_writer.transport.abort()

    async def _wait_until_open(self, sender: str, receiver: str) -> None:
        """Waits while the direction is blocked. A block does not end connections: data waits, as in a kernel that
        retransmits.
        """
        while (sender, receiver) in self._blocked:
            await asyncio.sleep(BLOCK_POLL_INTERVAL)

    async def _copy_stream(
        self, sender: str, receiver: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(READ_SIZE):
            self.counts["stream bytes"] += len(data)
            await self._wait_until_open(sender, receiver)
            properties = self._properties.get((sender, receiver), PLAIN)
            await asyncio.sleep(properties.delay + (len(data) / properties.rate if properties.rate else 0.0))
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
