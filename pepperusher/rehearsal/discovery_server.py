"""Discovery on a socket: list and watch, one listener for each proxy, so that it is known who was told what
when."""

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

EMPTY_EVERY = 2_000_000
# A discovery that has moved closes what is open at its old address after this.
OLD_CLOSES = 1_500_000
# So long a call waits in a full queue before it is refused, and how often it is looked at.
QUEUE_PATIENCE = 3_000_000
QUEUE_LOOK = 0.02


class DiscoveryServer:
    """Discovery for all gates. Its `moves` are the times at which it goes to another port, one after
    another."""

    def __init__(
        self, plan: FleetPlan, line: FaultSchedule, roster: EndpointHistory, writer: Writer, start: Start
    ) -> None:
        self._plan = plan
        self._roster = roster
        self._writer = writer
        self._start = start
        chance, spread = Random(f"{plan.script.seed}:discovery"), plan.script.discovery.spread
        # How much later than others each is told; it stays the same, so that no word overtakes another.
        self._later = {gate.number: int(chance.random() * spread) for gate in plan.proxies}
        self.moves = [one.at for one in line.strikes if one.what == "discovery-moved"]
        self._servers: list[asyncio.Server] = []
        self._serving: set[asyncio.Task[None]] = set()  # emptied as connections end
        self._begun = False

    async def listen(self) -> None:
        for gate in self._plan.proxies:
            for turn in range(len(self.moves) + 1):

                async def serve(
                    reader: asyncio.StreamReader,
                    writer: asyncio.StreamWriter,
                    gate: Gate = gate,
                    turn: int = turn,
                ) -> None:
                    await self._serve(Peer(reader, writer, h11.SERVER), gate, turn)

                self._servers.append(
                    await asyncio.start_server(serve, gate.discovery[0], gate.discovery[1] + turn, reuse_address=True)
                )

    def begin(self) -> None:
        """The rehearsal starts: before it the list stands still."""
        self._begun = True

    def address(self, gate: Gate, now: int) -> tuple[str, int]:
        """Where this proxy finds it at `now`."""
        return gate.discovery[0], gate.discovery[1] + sum(1 for at in self.moves if at <= now)

    def known(self, gate: Gate) -> dict[str, object]:
        """What a proxy is told at its start: the list as it was before anything changed."""
        return self._roster.line(gate.tier, self._roster.version(-1), None, self._began_ms())

    def _now(self) -> int:
        return max(-1, clock() - self._start.at) if self._begun else -1

    def _heard(self, gate: Gate) -> int:
        """Up to when this proxy is told."""
        return max(-1, self._now() - self._later[gate.number])

    def _began_ms(self) -> float:
        return time.time() * 1000 - (clock() - self._start.at) / 1000

    def _away(self, turn: int, now: int, open_already: bool) -> bool:
        if self._roster.down(now):
            return True
        if turn < len(self.moves):
            return now >= self.moves[turn] + (OLD_CLOSES if open_already else 0)
        return False

    async def _serve(self, peer: Peer, gate: Gate, turn: int) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            while (message := await peer.receive()) is not None:
                if self._away(turn, self._now(), False):
                    break
                target, _, query = message.head.target.decode("latin-1").partition("?")
                asked = parse_qs(query)
                if target != "/v1/endpoints":
                    peer.send(h11.Response(status_code=404, headers=[(b"content-length", b"0")]))
                elif await self._refused_by_queue(peer, turn):
                    peer.send(h11.Response(status_code=503, headers=[(b"content-length", b"0")]))
                    break
                elif asked.get("watch") == ["1"]:
                    after = asked.get("after", [""])[0]
                    await self._watch(peer, gate, turn, int(after) if after.isdecimal() else None)
                    break
                else:
                    body = self._line(gate, self._roster.version(self._heard(gate)), None)
                    peer.send(h11.Response(status_code=200, headers=[(b"content-length", b"%d" % len(body))]), body)
                if not peer.again():
                    break
        except (BrokenConnection, OSError, asyncio.CancelledError):
            pass  # the other side's end, or the rehearsal's
        finally:
            self._serving.discard(task)
            peer.abort()

    async def _refused_by_queue(self, peer: Peer, turn: int) -> bool:
        """A call waits while the queue is full; whether it waited too long, or its address was closed."""
        until = clock() + QUEUE_PATIENCE
        while self._roster.full(self._now()):
            if clock() >= until or peer.ended or self._away(turn, self._now(), True):
                return True
            await asyncio.sleep(QUEUE_LOOK)
        return False

    def _line(self, gate: Gate, version: int, after: int | None) -> bytes:
        told = self._roster.line(gate.tier, version, after, self._began_ms())
        now = self._now()
        for one in told["servers"]:
            self._writer.add(StateNotification(gate.number, one["id"], one["state"], now))
        return msgspec.json.encode(told) + b"\n"

    async def _watch(self, peer: Peer, gate: Gate, turn: int, after: int | None) -> None:
        peer.writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        opened = self._now()
        version = self._roster.version(self._heard(gate))
        data = self._line(gate, version, after)
        while not peer.ended:
            peer.writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await peer.writer.drain()
            empty_at = clock() + EMPTY_EVERY
            while True:
                now = self._heard(gate)
                if self._roster.silent(self._now()) or self._roster.fell_silent(opened, self._now()):
                    if peer.ended or self._away(turn, self._now(), True):
                        return
                    await asyncio.sleep(QUEUE_LOOK)
                    continue
                if peer.ended or self._away(turn, self._now(), True) or self._roster.version(now) < version:
                    return
                if self._roster.version(now) > version:
                    before, version = version, self._roster.version(now)
                    data = self._line(gate, version, before)
                    break
                if clock() >= empty_at:
                    data = b"\n"
                    break
                change = self._roster.next_change(now) if self._begun else None
                wait = min(
                    empty_at - clock(),
                    100_000
                    if change is None or turn < len(self.moves) or not self._begun
                    else max(0, change - now) + 500,
                )
                await asyncio.sleep(max(0, wait) / 1e6)

    def close(self) -> None:
        for server in self._servers:
            server.close()
        for task in list(self._serving):
            task.cancel()
