"""Runs real control machines in processes of their own and the clients of many proxies in this process, connected
over loopback sockets. Measures the messages, bytes and processor time of each side while the clients connect, at rest,
for one change, and while the clients connect again.

Bytes are those of the frames, without TCP and IP headers. Two machines act as the two upstreams of each proxy: one
sends it resource bodies, the other only offers versions, and the traffic of both is counted.
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
from pepperusher.capacity.processes import HOST, PAGE_BYTES, ProcessError
from pepperusher.distribution import resource_cache, operator_client, wire
from pepperusher.distribution.client import Client
from pepperusher.distribution.link import Link
from pepperusher.distribution.subscriber import Send
from pepperusher.distribution.wire import HANDSHAKE_BYTES, Session
from pepperusher.distribution.messages import (
    CONFIG, OPERATOR, CountersRequest, Heartbeat, Counters, Hello, Key, Message, Resource, Version,
)  # fmt: skip
from pepperusher.rehearsal.worker import environment, with_parent
from pepperusher.rehearsal.ports import free_port

KEY = "a key of measurements, for all"
NAME, OTHER_NAME = "measured", "other"
# Routes of the configuration in runs that do not vary its size.
ROUTES = 20
TIMEOUT_S = 60.0
POLL_S = 0.02
# A value counts as stable after this many equal polls.
STABLE_POLLS = 10
# A measurement at rest lasts until each connection has carried this many heartbeats in one direction. A whole number
# of heartbeats gives each measurement the same number, however long it takes.
HEARTBEATS = 4
LOCAL_ADDRESS = "127.0.0.1"


def configuration_body(routes: int, max_concurrency: int = 20) -> bytes:
    """Returns a configuration to distribute. Another `max_concurrency` changes one of its routes."""
    text = fixtures.routes(routes)
    head, _, last = text.rpartition("most = ")
    return f"{head}most = {max_concurrency + 100}{last[last.index(',') :]}".encode()


def framed_size(message: Message) -> int:
    """Returns the bytes of the frames that carry one message on a connection."""
    client, server = Session(KEY.encode(), True), Session(KEY.encode(), False)
    assert not [*client.feed(server.handshake()), *server.feed(client.handshake())]
    data = wire.encode(message)
    offset = size = 0
    while offset < len(data):
        frame, offset = client.next_frame(data, offset)
        size += len(frame)
    return size


class MachineProcess:
    """The process of a control machine."""

    query_counters = "bytes in", "bytes out", "messages in", "messages out"

    def __init__(self, number: int, folder: Path, ports: list[int]) -> None:
        self.query_costs: Counter[str] = Counter()  # messages and bytes of the queries for its counters
        self.address = HOST, ports[number]
        peers = [f"{HOST}:{port}" for other, port in enumerate(ports) if other != number]
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

    def cpu_us(self) -> float:
        """Returns the processor time of all its threads, in us."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir()) / 1000

    def resident(self) -> float:
        """Returns its resident memory in bytes."""
        return float(int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES)

    def descriptors(self) -> float:
        """Returns the number of its open descriptors, except files in its state directory: a file there is open for as
        long as the disk takes to write it.
        """
        count = 0
        for descriptor in Path(f"/proc/{self.process.pid}/fd").iterdir():
            try:
                count += not os.readlink(descriptor).startswith(str(self._state))
            except FileNotFoundError:
                pass  # the process closed the descriptor in the meantime
        return float(count)

    def end(self) -> None:
        """Kills the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class HeartbeatClient(Client):
    """A client that also counts its heartbeats, so that the costs of a change can be given without them."""

    def _message_received(self, upstream: str, link: Link, message: Message) -> None:
        self.counts["beats in"] += isinstance(message, Heartbeat)
        super()._message_received(upstream, link, message)

    def _perform_effects(self) -> None:
        assert self._subscriber is not None
        self.counts["beats out"] += sum(
            isinstance(output, Send) and isinstance(output.message, Heartbeat) for output in self._subscriber.effects
        )
        super()._perform_effects()


class Counts(NamedTuple):
    """Totals since the start, of all machines and of all clients; times are in us."""

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
    beats_out: float  # heartbeats sent by machines, as the clients count them
    beats_in: float


class RunCosts(NamedTuple):
    """The costs measured in one run, by `occasion.field`, with the fields of `Counts`, and some single values."""

    figures: dict[str, float]

    def value(self, name: str) -> float:
        return self.figures[name]


async def wait_until(condition: Callable[[], bool], description: str, timeout_s: float = TIMEOUT_S) -> None:
    """Polls until the condition is true. Raises ProcessError after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise ProcessError(f"condition not met within {timeout_s:g} s: {description}")
        await asyncio.sleep(POLL_S)


async def stable_value(read: Callable[[], float], cpu_us: Callable[[], float]) -> float:
    """Returns the value once STABLE_POLLS polls in a row gave it and the process has run during them, as its processor
    time shows: a machine that was queried keeps the connection of the query open until it runs again. Raises
    ProcessError.
    """
    deadline = time.monotonic() + TIMEOUT_S
    last, equal_polls, cpu_us_at_repeat = read(), 1, 0.0
    while equal_polls < STABLE_POLLS or cpu_us() == cpu_us_at_repeat:
        if time.monotonic() > deadline:
            raise ProcessError(
                "the number of descriptors does not become stable, or the process gets no processor time"
            )
        await asyncio.sleep(POLL_S)
        value = read()
        last, equal_polls = value, equal_polls + 1 if value == last else 1
        if equal_polls == 2:
            cpu_us_at_repeat = cpu_us()  # not at the first poll: the process may be about to be descheduled then
    return last


class Fleet:
    """Control machines, and clients of them in this process. The first `subscriber_count` clients subscribe to NAME,
    the others to OTHER_NAME.
    """

    def __init__(
        self, folder: Path, machines: int, proxies: int, seed: int, subscriber_count: int | None = None
    ) -> None:
        self.folder, self.proxies, self._seed = folder, proxies, seed
        self.subscriber_count = proxies if subscriber_count is None else subscriber_count
        (folder / "key").write_text(KEY + "\n")
        ports = [free_port(HOST) for _ in range(machines)]
        self.machines: list[MachineProcess] = []
        for number in range(machines):
            self.machines.append(MachineProcess(number, folder, ports))
        self.clients: list[HeartbeatClient] = []
        self._ended_counts: Counter[str] = Counter()  # counters of clients that were killed

    @property
    def upstreams(self) -> list[tuple[str, int]]:
        return [machine.address for machine in self.machines]

    async def publish(self, key: str, body: bytes) -> Version:
        """Publishes a resource. Retries until the origin accepts it, since a starting origin first compares its state
        with its peers. Raises ProcessError.
        """
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            try:
                return await operator_client.publish(self.machines[0].address, KEY.encode(), CONFIG, key, body)
            except operator_client.NoAnswerError as error:
                if time.monotonic() > deadline or any(machine.process.poll() is not None for machine in self.machines):
                    raise ProcessError(f"the control machines accept no change: {error}") from None
                await asyncio.sleep(5 * POLL_S)

    def connect(self, cache: Path | None = None) -> None:
        """Starts the clients of all proxies at the same time, with the local cache in `cache` if given."""
        for number in range(self.proxies):
            name = NAME if number < self.subscriber_count else OTHER_NAME
            client = HeartbeatClient(
                self.upstreams, [(CONFIG, name)], lambda _: None, key=KEY.encode(),
                name=f"proxy-{number:05d}", region="r0", zone=fixtures.ZONES[number % len(fixtures.ZONES)],
                seed=self._seed * 1_000_003 + number, cache_path=cache, local_address=LOCAL_ADDRESS,
            )  # fmt: skip
            self.clients.append(client)
            client.start()

    def kill(self) -> None:
        """Kills all clients; their message and byte counters are kept."""
        for client in self.clients:
            counters = [counter for counter in client.counts if counter.endswith((" in", " out"))]
            self._ended_counts.update({counter: client.counts[counter] for counter in counters})
            client.kill()
        self.clients.clear()

    async def wait_until_in_force(self, version: Version, key: Key = (CONFIG, NAME)) -> None:
        """Waits until the version is in force at each subscriber, all clients are connected, and the machines have all
        acknowledgements and have ended all waves. Raises ProcessError.
        """
        links_each = min(2, len(self.machines))
        subscribers = [client for number, client in enumerate(self.clients) if number < self.subscriber_count]
        await wait_until(
            lambda: all(client.in_force.get(key) == version for client in subscribers),
            f"{version} in force at all subscribers",
        )
        await wait_until(
            lambda: all(client.in_force for client in self.clients), "a version in force at the other clients"
        )
        await wait_until(
            lambda: all(len(client.upstreams) == links_each for client in self.clients), "all clients connected"
        )
        await self.wait_until_settled()

    async def wait_until_settled(self) -> None:
        """Waits until no machine has a rollout in progress and all have the same number of resources. Raises
        ProcessError.
        """
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            figures = [await self._figures(machine) for machine in self.machines]
            resource_counts = {machine["resources"] for machine in figures}
            if len(resource_counts) == 1 and not any(machine["rolling"] for machine in figures):
                return
            if time.monotonic() > deadline:
                raise ProcessError("a rollout does not end")
            await asyncio.sleep(10 * POLL_S)

    async def descriptors(self) -> float:
        """Returns the mean number of descriptors of a machine, read while the machines have exactly the expected
        connections: a machine that got no processor time may have lost a peer for a moment, or still hold connections
        that a client has closed. Raises ProcessError.
        """
        machines = len(self.machines)
        # The connections of the proxies, those between the machines, and the one of the query at each machine.
        expected_connections = self.proxies * min(2, machines) + machines * (machines - 1) + machines
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            counts = [await stable_value(machine.descriptors, machine.cpu_us) for machine in self.machines]
            figures = [await self._figures(machine) for machine in self.machines]
            peers_connected = all(machine["peers connected"] == machines - 1 for machine in figures)
            if peers_connected and sum(int(machine["connections"]) for machine in figures) == expected_connections:
                return sum(counts) / machines
        raise ProcessError("the machines do not reach the expected connections")

    def client_messages(self) -> int:
        return sum(client.counts["messages in"] for client in self.clients)

    async def _figures(self, machine: MachineProcess) -> dict[str, int | str]:
        """Queries the counters of a machine. The cost of the queries is recorded and subtracted."""
        figures = await operator_client.fetch_counters(machine.address, KEY.encode())
        hello = Hello(OPERATOR, f"operator {getpass.getuser()}"[:100], 2**62, "", "", False, [], [], [])
        # The answer includes the messages of this query that the machine received, but not the answer itself.
        machine.query_costs["bytes in"] += HANDSHAKE_BYTES + framed_size(hello) + framed_size(CountersRequest())
        machine.query_costs["messages in"] += 2
        corrected = {
            counter: int(figures.get(counter, 0)) - machine.query_costs[counter] for counter in machine.query_counters
        }
        machine.query_costs["bytes out"] += framed_size(Counters(figures))
        machine.query_costs["messages out"] += 1
        return {**figures, **corrected}

    async def read(self) -> Counts:
        """Reads the counters of all machines and clients."""
        figures = [await self._figures(machine) for machine in self.machines]

        def machine_total(counter: str) -> float:
            return float(sum(int(machine_figures[counter]) for machine_figures in figures))

        def client_total(counter: str) -> float:
            return float(self._ended_counts[counter] + sum(client.counts[counter] for client in self.clients))

        return Counts(
            time.monotonic() * 1e6, machine_total("bytes out"), machine_total("bytes in"),
            machine_total("messages out"), machine_total("messages in"),
            sum(machine.cpu_us() for machine in self.machines), client_total("bytes out"), client_total("bytes in"),
            client_total("messages out"), client_total("messages in"), time.process_time() * 1e6,
            float(figures[0]["bytes out"]), client_total("beats in"), client_total("beats out"),
        )  # fmt: skip

    def end(self) -> None:
        """Kills the clients and the machines."""
        self.kill()
        for machine in self.machines:
            machine.end()


def _difference(before: Counts, after: Counts, occasion: str, divisor: float = 1.0) -> Iterable[tuple[str, float]]:
    """Yields the differences of two readings by `occasion.field`, each divided by `divisor`."""
    for name, earlier, later in zip(Counts._fields, before, after):
        yield f"{occasion}.{name}", (later - earlier) / divisor


def _change_costs(before: Counts, after: Counts, rest: dict[str, float]) -> Iterable[tuple[str, float]]:
    """Returns the costs of a change: without the heartbeats in the meantime and without the processor time at rest."""
    costs = dict(_difference(before, after, "change"))
    seconds = (after.at - before.at) / 1e6
    for side, direction in (("", "out"), ("", "in"), ("client_", "in"), ("client_", "out")):
        heartbeats = costs[f"change.beats_{direction if not side else 'in' if direction == 'out' else 'out'}"]
        message_counter, byte_counter = f"{side}{direction}_messages", f"{side}{direction}_bytes"
        bytes_a_heartbeat = (
            rest[f"rest.{byte_counter}"] / rest[f"rest.{message_counter}"] if rest[f"rest.{message_counter}"] else 0.0
        )
        costs[f"change.{message_counter}"] -= heartbeats
        costs[f"change.{byte_counter}"] -= heartbeats * bytes_a_heartbeat
    for counter in ("cpu", "client_cpu"):
        costs[f"change.{counter}"] -= rest[f"rest.{counter}"] * seconds
    return costs.items()


async def _publish_by_command(fleet: Fleet, body: bytes) -> tuple[Version, float]:
    """Publishes with `pepperusher ctl publish`, as an operator does; returns the version and the processor time of the
    command in us.
    """
    file = fleet.folder / "published.toml"
    file.write_bytes(body)
    host, port = fleet.machines[0].address
    arguments = ["ctl", "publish", NAME, str(file), "--machine", f"{host}:{port}", "--key-file"]
    before = resource.getrusage(resource.RUSAGE_CHILDREN)  # covers only children that have ended, so not the machines
    result = await asyncio.to_thread(
        subprocess.run, [sys.executable, "-m", "pepperusher", *arguments, str(fleet.folder / "key")], check=True,
        stdout=subprocess.PIPE, env=environment(),
    )  # fmt: skip
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    cpu_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    epoch, number = result.stdout.decode().split()[1].split(".")
    return Version(int(epoch), int(number)), cpu_s * 1e6


async def _rest_costs(fleet: Fleet, heartbeats: int) -> Iterable[tuple[str, float]]:
    """Returns the costs a second at rest, measured over a whole number of heartbeats of each connection."""
    before, messages_before = await fleet.read(), fleet.client_messages()
    links_total = fleet.proxies * min(2, len(fleet.machines))
    if links_total:
        await wait_until(lambda: fleet.client_messages() - messages_before >= heartbeats * links_total, "heartbeats")
    else:
        await asyncio.sleep(2.0 * heartbeats)  # the duration of the measurement, not a wait for an event
    after = await fleet.read()
    return _difference(before, after, "rest", (after.at - before.at) / 1e6)


async def _run(
    proxies: int, machines: int, routes: int, seed: int, subscriber_count: int | None, heartbeats: int
) -> RunCosts:
    """Measures a fleet on all occasions: start, rest, a change and, if all proxies subscribe, connecting again."""
    costs: dict[str, float] = {}
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), machines, proxies, seed, subscriber_count)
        try:
            await fleet.publish(OTHER_NAME, configuration_body(routes))
            version = await fleet.publish(NAME, configuration_body(routes))
            await fleet.wait_until_settled()
            before = await fleet.read()
            fleet.connect()
            await fleet.wait_until_in_force(version)
            costs.update(_difference(before, await fleet.read(), "start"))
            costs["memory"] = sum(machine.resident() for machine in fleet.machines) / machines
            costs["descriptors"] = await fleet.descriptors()
            costs.update(await _rest_costs(fleet, heartbeats))
            before = await fleet.read()
            version, costs["publish.cpu"] = await _publish_by_command(fleet, configuration_body(routes, 30))
            await fleet.wait_until_in_force(version)
            costs.update(_change_costs(before, await fleet.read(), costs))
            if proxies and fleet.subscriber_count == proxies:
                cache_folder = Path(folder) / "kept"
                resource_held: Resource = fleet.clients[0]._confirmed[CONFIG, NAME]
                cache_error = resource_cache.write(cache_folder, [resource_held], int(time.time() * 1e6))
                if cache_error:
                    raise ProcessError(cache_error)
                fleet.kill()
                await asyncio.sleep(POLL_S)
                before = await fleet.read()
                fleet.connect(cache_folder)
                await fleet.wait_until_in_force(version)
                costs.update(_difference(before, await fleet.read(), "resume"))
                costs["resume.snapshots"] = float(sum(client.counts["snapshots"] for client in fleet.clients))
        finally:
            fleet.end()
    return RunCosts(costs)


# One run gives several values. The cache holds one entry for each size and seed measured.
_RUNS: dict[tuple[int, int, int, int, int | None, int], RunCosts] = {}


def cached_run(
    proxies: int,
    machines: int,
    routes: int,
    seed: int,
    subscriber_count: int | None = None,
    heartbeats: int = HEARTBEATS,
) -> RunCosts:
    """Returns the costs of a run, which is done once for the same arguments. Raises ProcessError."""
    key = proxies, machines, routes, seed, subscriber_count, heartbeats
    if key not in _RUNS:
        _RUNS[key] = asyncio.run(_run(*key))
    return _RUNS[key]


def by_proxies(name: str, machines: int = 2) -> Callable[[int, int], float]:
    """Returns a measurement by the number of proxies, each connected to two of `machines`."""
    return lambda size, seed: cached_run(size, machines, ROUTES, seed).value(name)


def by_subscribers(name: str, proxies: int = 100) -> Callable[[int, int], float]:
    """Returns a measurement by how many of `proxies` subscribe to the changed resource."""
    return lambda size, seed: cached_run(proxies, 2, ROUTES, seed, size).value(name)


def by_machines(name: str) -> Callable[[int, int], float]:
    """Returns a measurement by the number of control machines, without proxies."""
    return lambda size, seed: cached_run(0, size, ROUTES, seed).value(name)
