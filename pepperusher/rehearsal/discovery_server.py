"""The simulated discovery server: serves list and watch requests. Each proxy has a listener of its own, so that the
records show which proxy received which state when."""

from __future__ import annotations

import asyncio
import time
from random import Random
from urllib.parse import parse_qs

import h11
import msgspec

from pepperusher.rehearsal.fleet_plan import FleetPlan, Gate
from pepperusher.rehearsal.records import StateNotification, Writer
from pepperusher.rehearsal.endpoint_history import EndpointHistory
from pepperusher.rehearsal.fault_schedule import FaultSchedule
from pepperusher.rehearsal.wire import BrokenConnection, Peer, Start, clock

HEARTBEAT_INTERVAL = 2_000_000
# When discovery moves, it closes the connections at its old address after this time (us).
OLD_ADDRESS_GRACE = 1_500_000
# How long a request waits in a full queue before it is refused (us), and how often that is checked (s).
QUEUE_TIMEOUT = 3_000_000
POLL_INTERVAL = 0.02


class DiscoveryServer:
    """Discovery for all proxies. `moves` are the times (us after the start) at which it moves to the next port."""

    def __init__(
        self, plan: FleetPlan, line: FaultSchedule, history: EndpointHistory, writer: Writer, start: Start
    ) -> None:
        self._plan = plan
        self._history = history
        self._writer = writer
        self._start = start
        chance, spread = Random(f"{plan.script.seed}:discovery"), plan.script.discovery.spread
        # Each proxy receives changes with an extra delay of its own, constant so that the changes stay in order.
        self._extra_delay = {gate.number: int(chance.random() * spread) for gate in plan.proxies}
        self.moves = [strike.at for strike in line.strikes if strike.what == "discovery-moved"]
        self._servers: list[asyncio.Server] = []
        self._connection_tasks: set[asyncio.Task[None]] = set()  # an entry is removed when its connection ends
        self._started = False

    async def listen(self) -> None:
        """Opens the listeners of all proxies, one for each address that discovery has during the run."""
        for gate in self._plan.proxies:
            for address_index in range(len(self.moves) + 1):

                async def serve(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    gate: Gate = gate,
                    address_index: int = address_index,
                ) -> None:
                    await self._serve(Peer(reader, writer, h11.SERVER), gate, address_index)

                self._servers.append(
                    await asyncio.start_server(
                        serve, gate.discovery[0], gate.discovery[1] + address_index, reuse_address=True
                    )
                )

    def begin(self) -> None:
        """Marks the start of the run; the list does not change before."""
        self._started = True

    def address(self, gate: Gate, now: int) -> tuple[str, int]:
        """The address of discovery for this proxy at `now`."""
        return gate.discovery[0], gate.discovery[1] + sum(1 for at in self.moves if at <= now)

    def known(self, gate: Gate) -> dict[str, object]:
        """The endpoint list that a proxy's configuration file holds: the list at the start of the run."""
        return self._history.line(gate.tier, self._history.version(-1), None, self._start_unix_ms())

    def _now(self) -> int:
        return max(-1, clock() - self._start.at) if self._started else -1

    def _published_until(self, gate: Gate) -> int:
        """The time up to which this proxy has received changes."""
        return max(-1, self._now() - self._extra_delay[gate.number])

    def _start_unix_ms(self) -> float:
        return time.time() * 1000 - (clock() - self._start.at) / 1000

    def _is_closed(self, address_index: int, now: int, already_open: bool) -> bool:
        if self._history.down(now):
            return True
        if address_index < len(self.moves):
            return now >= self.moves[address_index] + (OLD_ADDRESS_GRACE if already_open else 0)
        return False

    async def _serve(self, peer: Peer, gate: Gate, address_index: int) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        try:
            while (message := await peer.receive()) is not None:
                if self._is_closed(address_index, self._now(), False):
                    break
                target, _, query = message.head.target.decode("latin-1").partition("?")
                parameters = parse_qs(query)
                if target != "/v1/endpoints":
                    peer.send(h11.Response(status_code=404, headers=[(b"content-length", b"0")]))
                elif await self._refused_by_queue(peer, address_index):
                    peer.send(h11.Response(status_code=503, headers=[(b"content-length", b"0")]))
                    break
                elif parameters.get("watch") == ["1"]:
                    after = parameters.get("after", [""])[0]
                    await self._watch(peer, gate, address_index, int(after) if after.isdecimal() else None)
                    break
                else:
                    body = self._line(gate, self._history.version(self._published_until(gate)), None)
                    peer.send(h11.Response(status_code=200, headers=[(b"content-length", b"%d" % len(body))]), body)
                if not peer.again():
                    break
        except (BrokenConnection, OSError, asyncio.CancelledError):
            pass  # the proxy closed the connection, or the run ends
        finally:
            self._connection_tasks.discard(task)
            peer.abort()

    async def _refused_by_queue(self, peer: Peer, address_index: int) -> bool:
        """Waits while the queue is full; returns whether the request is refused, because it waited too long or its
        address was closed."""
        refuse_at = clock() + QUEUE_TIMEOUT
        while self._history.full(self._now()):
            if clock() >= refuse_at or peer.ended or self._is_closed(address_index, self._now(), True):
                return True
            await asyncio.sleep(POLL_INTERVAL)
        return False

    def _line(self, gate: Gate, version: int, after: int | None) -> bytes:
        update = self._history.line(gate.tier, version, after, self._start_unix_ms())
        now = self._now()
        for server in update["servers"]:
            self._writer.add(StateNotification(gate.number, server["id"], server["state"], now))
        return msgspec.json.encode(update) + b"\n"

    async def _watch(self, peer: Peer, gate: Gate, address_index: int, after: int | None) -> None:
        peer.writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        opened_at = self._now()
        version = self._history.version(self._published_until(gate))
        data = self._line(gate, version, after)
        while not peer.ended:
            peer.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await peer.writer.drain()
            heartbeat_at = clock() + HEARTBEAT_INTERVAL
            while True:
                now = self._published_until(gate)
                if self._history.silent(self._now()) or self._history.fell_silent(opened_at, self._now()):
                    if peer.ended or self._is_closed(address_index, self._now(), True):
                        return
                    await asyncio.sleep(POLL_INTERVAL)
                    continue
                if (
                    peer.ended
                    or self._is_closed(address_index, self._now(), True)
                    or self._history.version(now) < version
                ):
                    return
                if self._history.version(now) > version:
                    before, version = version, self._history.version(now)
                    data = self._line(gate, version, before)
                    break
                if clock() >= heartbeat_at:
                    data = b"\n"
                    break
                change = self._history.next_change(now) if self._started else None
                wait = min(
                    heartbeat_at - clock(),
                    100_000
                    if change is None or address_index < len(self.moves) or not self._started
                    else max(0, change - now) + 500,
                )
                await asyncio.sleep(max(0, wait) / 1e6)

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for task in list(self._connection_tasks):
            task.cancel()
