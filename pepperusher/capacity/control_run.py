"""Real control machines in processes of their own and the clients of so many proxies before them, over
loopback sockets: what each side sends, receives and spends as they connect, at rest, for one change and as
they come back.

Bytes are those of the connections' frames: without TCP's and IP's heads. Two machines stand for the two
upstreams of a proxy: the first sends it bodies, the second offers, and both of it are counted.
"""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

from pepperusher.capacity import fixtures
from pepperusher.capacity.processes import HOST, PAGE, ProcessError, free_port
from pepperusher.distribution import resource_cache, operator_client, wire
from pepperusher.distribution.client import Client
from pepperusher.distribution.link import Link
from pepperusher.distribution.subscriber import Send
from pepperusher.distribution.wire import HANDSHAKE_BYTES, Session
from pepperusher.distribution.messages import (
    CONFIG, OPERATOR, CountersRequest, Heartbeat, Counters, Hello, Key, Message, Resource, Version,
)  # fmt: skip
from pepperusher.rehearsal.worker import environment, with_parent

KEY = "a key of measurements, for all"
NAME, OTHER = "measured", "other"
# Routes of the configuration, where its size is not what is measured.
ROUTES = 20
WITHIN = 60.0
LOOK = 0.02
# Looks by which a count that stands is told from one that is on its way.
ALIKE = 10
# Beats of each connection that are waited for at rest, one way; whole ones, so that a span holds as many.
BEATS = 4
LOCAL = "127.0.0.1"


def body_of(routes: int, most: int = 20) -> bytes:
    """A configuration to be shared; another `most` makes it another, by one route."""
    text = fixtures.routes(routes)
    head, _, last = text.rpartition("most = ")
    return f"{head}most = {most + 100}{last[last.index(',') :]}".encode()


def framed(message: Message) -> int:
    """Bytes that one message takes on a connection."""
    caller, called = Session(KEY.encode(), True), Session(KEY.encode(), False)
    assert not [*caller.feed(called.handshake()), *called.feed(caller.handshake())]
    data = wire.encode(message)
    at = sent = 0
    while at < len(data):
        frame, at = caller.next_frame(data, at)
        sent += len(frame)
    return sent


class Machine:
    """A control machine's process."""

    asked_of = "bytes in", "bytes out", "messages in", "messages out"

    def __init__(self, number: int, folder: Path, ports: list[int]) -> None:
        self.asked: Counter[str] = Counter()  # what it took to ask it for its counts
        self.address = HOST, ports[number]
        peers = [f"{HOST}:{port}" for place, port in enumerate(ports) if place != number]
        self._state = state = folder / f"state-{number}"
        state.mkdir()
        file = folder / f"control-{number}.toml"
        file.write_text(
            f'name = "control-{number}"\nlisten = "{HOST}:{ports[number]}"\nkey_file = "{folder / "key"}"\n'
            f'state_dir = "{state}"\nregion = "r0"\npeers = {json.dumps(peers)}\nepoch = 1\n'
            f"origin = {json.dumps(number == 0)}\nsubscribers = 20000\n"
        )
        with open(folder / f"control-{number}.log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "pepperusher", "control", "--config", str(file)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(),
                preexec_fn=with_parent,
            )

    def spent(self) -> float:
        """Processor time of all its threads, in us."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return sum(int((one / "schedstat").read_text().split()[0]) for one in tasks.iterdir()) / 1000

    def resident(self) -> float:
        """Bytes."""
        return float(int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE)

    def descriptors(self) -> float:
        """But for the file that is being written, which stands for as long as the disk takes."""
        held = 0
        for one in Path(f"/proc/{self.process.pid}/fd").iterdir():
            try:
                held += not os.readlink(one).startswith(str(self._state))
            except FileNotFoundError:
                pass  # closed meanwhile
        return float(held)

    def end(self) -> None:
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class HeartbeatClient(Client):
    """Says how many of its messages are beats: what an occasion takes is told without them."""

    def _message_received(self, upstream: str, link: Link, message: Message) -> None:
        self.counts["beats in"] += isinstance(message, Heartbeat)
        super()._message_received(upstream, link, message)

    def _perform_effects(self) -> None:
        assert self._subscriber is not None
        self.counts["beats out"] += sum(
            isinstance(one, Send) and isinstance(one.message, Heartbeat) for one in self._subscriber.effects
        )
        super()._perform_effects()


class Counts(NamedTuple):
    """Since the start, of all machines together and of all clients together; times in us."""

    at: float
    out_bytes: float
    in_bytes: float
    out_messages: float
    in_messages: float
    cpu: float
    client_out_bytes: float
    client_in_bytes: float
    client_out_messages: float
    client_in_messages: float
    client_cpu: float
    origin_out_bytes: float
    beats_out: float  # of machines, as clients have them
    beats_in: float


class Spent(NamedTuple):
    """What happened between two readings; the same fields, by occasion and name."""

    figures: dict[str, float]

    def of(self, name: str) -> float:
        return self.figures[name]


async def wait_until(true: Callable[[], bool], what: str, within: float = WITHIN) -> None:
    """Raises ProcessError."""
    end = time.monotonic() + within
    while not true():
        if time.monotonic() > end:
            raise ProcessError(f"waited in vain for {within:g} s: {what}")
        await asyncio.sleep(LOOK)


async def standing(read: Callable[[], float], spent: Callable[[], float]) -> float:
    """What is read once it has stood for ALIKE looks, and for a moment in which the process has run by the processor time that it
    has spent: whoever was asked for figures has the connection of who asked until it runs again. Raises ProcessError.
    """
    end = time.monotonic() + WITHIN
    last, alike, since = read(), 1, 0.0
    while alike < ALIKE or spent() == since:
        if time.monotonic() > end:
            raise ProcessError("descriptors that come and go, or a process that does not run")
        await asyncio.sleep(LOOK)
        now = read()
        last, alike = now, alike + 1 if now == last else 1
        if alike == 2:
            since = spent()  # not with the first look: a process may be about to lose the processor then
    return last


class Fleet:
    """So many machines, and clients of them in this process. `some` of the clients take NAME, the others
    OTHER.
    """

    def __init__(self, folder: Path, machines: int, proxies: int, seed: int, some: int | None = None) -> None:
        self.folder, self.proxies, self._seed = folder, proxies, seed
        self.some = proxies if some is None else some
        (folder / "key").write_text(KEY + "\n")
        ports = [free_port() for _ in range(machines)]
        self.machines: list[Machine] = []
        for number in range(machines):
            self.machines.append(Machine(number, folder, ports))
        self.clients: list[HeartbeatClient] = []
        self._gone: Counter[str] = Counter()  # counts of clients that ended

    @property
    def upstreams(self) -> list[tuple[str, int]]:
        return [one.address for one in self.machines]

    async def writes(self, key: str, body: bytes) -> Version:
        """Publishes, once the origin does: it compares with others first. Raises ProcessError."""
        end = time.monotonic() + WITHIN
        while True:
            try:
                return await operator_client.publish(self.machines[0].address, KEY.encode(), CONFIG, key, body)
            except operator_client.NoAnswerError as error:
                if time.monotonic() > end or any(one.process.poll() is not None for one in self.machines):
                    raise ProcessError(f"no change is taken: {error}") from None
                await asyncio.sleep(5 * LOOK)

    def connect(self, keep: Path | None = None) -> None:
        """Clients of as many proxies, at once; with `keep` from what stands there."""
        for number in range(self.proxies):
            name = NAME if number < self.some else OTHER
            one = HeartbeatClient(
                self.upstreams, [(CONFIG, name)], lambda _: None, key=KEY.encode(),
                name=f"proxy-{number:05d}", region="r0", zone=fixtures.ZONES[number % len(fixtures.ZONES)],
                seed=self._seed * 1_000_003 + number, cache_path=keep, local_address=LOCAL,
            )  # fmt: skip
            self.clients.append(one)
            one.start()

    def kill(self) -> None:
        for one in self.clients:
            both_ways = [what for what in one.counts if what.endswith((" in", " out"))]
            self._gone.update({what: one.counts[what] for what in both_ways})
            one.kill()
        self.clients.clear()

    async def all_have(self, version: Version, key: Key = (CONFIG, NAME)) -> None:
        """In force at each that takes it, all their connections up, each acknowledgement and each wave's end
        at the machines. Raises ProcessError.
        """
        links = min(2, len(self.machines))
        takes = [one for place, one in enumerate(self.clients) if place < self.some]
        await wait_until(lambda: all(one.in_force.get(key) == version for one in takes), f"{version} in force")
        await wait_until(lambda: all(one.in_force for one in self.clients), "something in force at the others")
        await wait_until(lambda: all(len(one.upstreams) == links for one in self.clients), "all connected")
        await self.settled()

    async def settled(self) -> None:
        """No change is under way at any machine, and all have as many resources. Raises ProcessError."""
        end = time.monotonic() + WITHIN
        while True:
            told = [await self._figures(one) for one in self.machines]
            held = {one["resources"] for one in told}
            if len(held) == 1 and not any(one["rolling"] for one in told):
                return
            if time.monotonic() > end:
                raise ProcessError("a change does not come to its end")
            await asyncio.sleep(10 * LOOK)

    async def descriptors(self) -> float:
        """Of a machine in the mean, while all have the connections that belong to them and no more: one that was starved has lost
        a peer for a moment, or holds what its client has left. Raises ProcessError.
        """
        machines = len(self.machines)
        # Of its proxies, of each peer, and that of who asks.
        belong = self.proxies * min(2, machines) + machines * (machines - 1) + machines
        end = time.monotonic() + WITHIN
        while time.monotonic() < end:
            counted = [await standing(one.descriptors, one.spent) for one in self.machines]
            told = [await self._figures(one) for one in self.machines]
            joined = all(one["peers connected"] == machines - 1 for one in told)
            if joined and sum(int(one["connections"]) for one in told) == belong:
                return sum(counted) / machines
        raise ProcessError("connections that do not stand")

    def client_messages(self) -> int:
        return sum(one.counts["messages in"] for one in self.clients)

    async def _figures(self, machine: Machine) -> dict[str, int | str]:
        """Its counts; what this asking takes is kept, so that it can be taken off."""
        told = await operator_client.fetch_counters(machine.address, KEY.encode())
        hello = Hello(OPERATOR, f"operator {getpass.getuser()}"[:100], 2**62, "", "", False, [], [], [])
        # The answer is made before this question is counted as sent, and behind what it was asked with.
        machine.asked["bytes in"] += HANDSHAKE_BYTES + framed(hello) + framed(CountersRequest())
        machine.asked["messages in"] += 2
        made = {what: int(told.get(what, 0)) - machine.asked[what] for what in machine.asked_of}
        machine.asked["bytes out"] += framed(Counters(told))
        machine.asked["messages out"] += 1
        return {**told, **made}

    async def read(self) -> Counts:
        told = [await self._figures(one) for one in self.machines]

        def sum_of(what: str) -> float:
            return float(sum(int(one[what]) for one in told))

        def clients(what: str) -> float:
            return float(self._gone[what] + sum(one.counts[what] for one in self.clients))

        return Counts(
            time.monotonic() * 1e6, sum_of("bytes out"), sum_of("bytes in"), sum_of("messages out"),
            sum_of("messages in"), sum(one.spent() for one in self.machines), clients("bytes out"),
            clients("bytes in"), clients("messages out"), clients("messages in"), time.process_time() * 1e6,
            float(told[0]["bytes out"]), clients("beats in"), clients("beats out"),
        )  # fmt: skip

    def end(self) -> None:
        self.kill()
        for one in self.machines:
            one.end()


def _between(before: Counts, after: Counts, occasion: str, each: float = 1.0) -> Iterable[tuple[str, float]]:
    for name, one, two in zip(Counts._fields, before, after):
        yield f"{occasion}.{name}", (two - one) / each


def _without_beats(before: Counts, after: Counts, rest: dict[str, float]) -> Iterable[tuple[str, float]]:
    """Of a change: the beats that fell into it are taken off, and what passing time alone costs."""
    took = dict(_between(before, after, "change"))
    seconds = (after.at - before.at) / 1e6
    for side, way in (("", "out"), ("", "in"), ("client_", "in"), ("client_", "out")):
        beats = took[f"change.beats_{way if not side else 'in' if way == 'out' else 'out'}"]
        messages, sent = f"{side}{way}_messages", f"{side}{way}_bytes"
        each = rest[f"rest.{sent}"] / rest[f"rest.{messages}"] if rest[f"rest.{messages}"] else 0.0
        took[f"change.{messages}"] -= beats
        took[f"change.{sent}"] -= beats * each
    for what in ("cpu", "client_cpu"):
        took[f"change.{what}"] -= rest[f"rest.{what}"] * seconds
    return took.items()


async def _published(fleet: Fleet, body: bytes) -> tuple[Version, float]:
    """By `pepperusher ctl publish`, as an operator does; its own processor time in us."""
    file = fleet.folder / "published.toml"
    file.write_bytes(body)
    host, port = fleet.machines[0].address
    words = ["ctl", "publish", NAME, str(file), "--machine", f"{host}:{port}", "--key-file"]
    before = resource.getrusage(resource.RUSAGE_CHILDREN)  # of those that ended: the machines have not
    said = await asyncio.to_thread(
        subprocess.run, [sys.executable, "-m", "pepperusher", *words, str(fleet.folder / "key")], check=True,
        stdout=subprocess.PIPE, env=environment(),
    )  # fmt: skip
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    spent = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    epoch, number = said.stdout.decode().split()[1].split(".")
    return Version(int(epoch), int(number)), spent * 1e6


async def _rest(fleet: Fleet, beats: int) -> Iterable[tuple[str, float]]:
    """Over whole beats of each connection, so that a short span holds as many as a long one."""
    before, began = await fleet.read(), fleet.client_messages()
    links = fleet.proxies * min(2, len(fleet.machines))
    if links:
        await wait_until(lambda: fleet.client_messages() - began >= beats * links, "beats")
    else:
        await asyncio.sleep(2.0 * beats)  # a span that is measured, not waited in
    after = await fleet.read()
    return _between(before, after, "rest", (after.at - before.at) / 1e6)


async def _play(proxies: int, machines: int, routes: int, seed: int, some: int | None, beats: int) -> Spent:
    made: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), machines, proxies, seed, some)
        try:
            await fleet.writes(OTHER, body_of(routes))
            version = await fleet.writes(NAME, body_of(routes))
            await fleet.settled()
            before = await fleet.read()
            fleet.connect()
            await fleet.all_have(version)
            made.update(_between(before, await fleet.read(), "start"))
            made["memory"] = sum(one.resident() for one in fleet.machines) / machines
            made["descriptors"] = await fleet.descriptors()
            made.update(await _rest(fleet, beats))
            before = await fleet.read()
            version, made["publish.cpu"] = await _published(fleet, body_of(routes, 30))
            await fleet.all_have(version)
            made.update(_without_beats(before, await fleet.read(), made))
            if proxies and fleet.some == proxies:
                keep = Path(folder) / "kept"
                one: Resource = fleet.clients[0]._confirmed[CONFIG, NAME]
                wrong = resource_cache.write(keep, [one], int(time.time() * 1e6))
                if wrong:
                    raise ProcessError(wrong)
                fleet.kill()
                await asyncio.sleep(LOOK)
                before = await fleet.read()
                fleet.connect(keep)
                await fleet.all_have(version)
                made.update(_between(before, await fleet.read(), "resume"))
                made["resume.snapshots"] = float(sum(one.counts["snapshots"] for one in fleet.clients))
        finally:
            fleet.end()
    return Spent(made)


# one play gives several figures; as many as sizes are measured
_PLAYED: dict[tuple[int, int, int, int, int | None, int], Spent] = {}


def played(proxies: int, machines: int, routes: int, seed: int, some: int | None = None, beats: int = BEATS) -> Spent:
    """Raises ProcessError."""
    key = proxies, machines, routes, seed, some, beats
    if key not in _PLAYED:
        _PLAYED[key] = asyncio.run(_play(*key))
    return _PLAYED[key]


def by_proxies(name: str, machines: int = 2) -> Callable[[int, int], float]:
    """By the number of proxies, each connected to two of `machines`."""
    return lambda size, seed: played(size, machines, ROUTES, seed).of(name)


def by_takers(name: str, proxies: int = 100) -> Callable[[int, int], float]:
    """By how many of `proxies` take what changes."""
    return lambda size, seed: played(proxies, 2, ROUTES, seed, size).of(name)


def by_machines(name: str) -> Callable[[int, int], float]:
    """By the number of control machines, with no proxy."""
    return lambda size, seed: played(0, size, ROUTES, seed).of(name)
