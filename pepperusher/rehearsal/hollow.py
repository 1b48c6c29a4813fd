"""Hollow proxies: the control-plane side of a proxy without its request path, many in one process.

The real code runs for the discovery watch, the endpoint list and the decision state built from it, the
proxy's own configuration with its versions and marks, the client of the control machines and, if the run asks
for it, the group membership. The listener, requests, their connections and the timers that only serve them are
left out (`docs/scale.md` says what that changes). A process runs as
`python -m pepperusher.rehearsal.hollow NUMBER SPEC` and takes orders as `rehearsal.worker` describes.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperusher.changes.transaction_log import TransactionError
from pepperusher.changes.active_configuration import ActiveConfiguration
from pepperusher.distribution.client import Client
from pepperusher.distribution.messages import CONFIG, Resource
from pepperusher.facade import Endpoint, Facade
from pepperusher.settings import read_settings
from pepperusher.net import clock
from pepperusher.net.backends import Backends
from pepperusher.net.extension import Extension, ExtensionHost, FilterEndpoints
from pepperusher.net.discovery import Discovery, Source
from pepperusher.net.endpoint_update import GONE, EndpointUpdate, parse_endpoint_update
from pepperusher.net.log import Log
from pepperusher.net.proxy import ACCEPT_AFTER_SIGTERM_S, SWEEP_INTERVAL_S, Proxy
from pepperusher.net.bootstrap import BootstrapConfiguration
from pepperusher.configuration import loader
from pepperusher.configuration.loader import ConfigurationError, Read
from pepperusher.rehearsal.worker import Orders
from pepperusher.terms import PolicySettings

if TYPE_CHECKING:
    from pepperusher.rehearsal.hollow_group import GroupOrders, MemberNode

# A slow process blocks its event loop for this many seconds at a time.
SLOW_BLOCK_S = 0.05
UNUSED_ADDRESS = ("127.0.0.1", 1)
VersionCallback = Callable[[str, int], None]


class ReportingDiscovery(Discovery):
    """Reports each version of the endpoint list once it is in force, which is after the decision state has it."""

    def __init__(
        self,
        on_version: VersionCallback,
        address: tuple[str, int],
        facade: Facade,
        backends: Backends,
        log: Log,
        filters: Sequence[FilterEndpoints],
        seed: int,
    ) -> None:
        super().__init__(address, facade, backends, log, filters, seed)
        self._on_version = on_version

    def apply_update(self, update: EndpointUpdate, source: Source | None = None) -> None:
        super().apply_update(update, source)
        self._on_version("list", update.version)


class ConfigurationExtension(Extension):
    """The configuration state of a complete proxy. A configuration text is applied completely or not at all."""

    def __init__(self, text: str, policy_settings: PolicySettings, log: Log) -> None:
        self._policy_settings = policy_settings
        self._host: ExtensionHost | None = None
        self.active = ActiveConfiguration(self.read(text), clock.now(), self._reapply_lines, log.write_event)
        self.filter_endpoints = self.active.overlay.lines

    def read(self, text: str) -> Read:
        """Raises ConfigurationError."""
        return loader.parse(text, "configuration from control", self._policy_settings)

    def _reapply_lines(self, lines: list[Endpoint]) -> None:
        if self._host is not None:
            self._host.reapply_filters(self, lines)

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    def apply_text(self, text: str) -> str | None:
        """Applies the configuration text. Returns None if it is in force, otherwise the reason for the refusal."""
        now, active = clock.now(), self.active
        try:
            read = self.read(text)
            if read.digest == active.version.read.digest:
                return None
            change = active.propose(read, "control", "told", now)
        except (ConfigurationError, TransactionError) as error:
            return str(error)
        active.stage(change, now)
        active.apply(change, now)
        active.confirm(change, "control", "told", now)
        change.what = None
        return None


class Hollow(Proxy):
    """One hollow proxy, updated by discovery, by control machines or by both. With `group` (see
    `hollow_group.place_of`) it is also a member of that group.
    """

    def __init__(
        self, bootstrap: BootstrapConfiguration, configuration_text: str | None, group: dict[str, Any] | None = None
    ) -> None:
        self.configuration: ConfigurationExtension | None = None
        self.node: MemberNode | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        # When each version came into force: (resource, version, microseconds on the machine's monotonic clock).
        # An order to report the rows also clears them.
        self.activation_times: list[tuple[str, int, int]] = []
        self.latest_versions: dict[str, int] = {}

        def make_extensions(configuration: BootstrapConfiguration, log: Log) -> list[Extension]:
            extensions: list[Extension] = []
            if configuration_text is not None:
                self.configuration = ConfigurationExtension(configuration_text, configuration.policy_settings, log)
                extensions.append(self.configuration)
            if group is not None:
                from pepperusher.rehearsal.hollow_group import MemberNode

                self.node = MemberNode(
                    group, configuration.policy_settings, configuration.name, log.write_event, self.record_activation
                )
                extensions.append(self.node)
            return extensions

        super().__init__(bootstrap, lambda configuration: configuration, make_extensions)
        self._discovery = ReportingDiscovery(
            self.record_version,
            bootstrap.discovery,
            self._facade,
            self._backends,
            self._log,
            [extension.filter_endpoints for extension in self._extensions if extension.filter_endpoints is not None],
            bootstrap.policy_settings.seed,
        )
        self._service_entries: dict[str, dict[str, Endpoint]] = {}  # by service, the entries of its last endpoint list
        self._configuration_parts: dict[str, str] = {}  # by resource name, the parts of its configuration text
        self._update_version = 0
        self.client: Client | None = None
        self.max_bytes_per_second = 0  # the most bytes in both directions in one second since the last report
        self._last_bytes = 0
        self.running = False

    def create_client(self, place: dict[str, Any], key: bytes) -> None:
        """Sets up the subscription at the control machines; called before `start_proxy`."""
        cache_directory = place.get("keep")
        self.client = Client(
            [tuple(item) for item in place["upstreams"]],
            [tuple(item) for item in place["names"]],
            self.take_resource,
            key=key,
            name=place["name"],
            region=place["region"],
            zone=place["zone"],
            seed=place["index"],
            cache_path=None if cache_directory is None else Path(cache_directory) / place["name"],
            local_address=place.get("local", "127.0.0.1"),
            say=self._log.write_event,
        )

    def take_resource(self, resource: Resource) -> str | None:
        """Applies a resource. Returns None if it is in force, otherwise the reason for the refusal."""
        body = resource.body
        refusal = (
            self.take_configuration(resource.name, body.decode("utf-8", "replace"))
            if resource.kind == CONFIG
            else self.take_list(resource.name, body)
        )
        if refusal is None:
            self.record_version(f"{resource.kind}/{resource.name}", number_of(*resource.version))
        return refusal

    def record_second(self) -> None:
        """Updates the most bytes in one second; called once a second."""
        if self.client is not None:
            total = self.client.counts["bytes in"] + self.client.counts["bytes out"]
            self.max_bytes_per_second = max(self.max_bytes_per_second, total - self._last_bytes)
            self._last_bytes = total

    def record_version(self, resource: str, version: int) -> None:
        self.latest_versions[resource] = version
        self.record_activation(resource, version)

    def record_activation(self, resource: str, version: int) -> None:
        self.activation_times.append((resource, version, time.monotonic_ns() // 1000))

    async def start_proxy(self, watch: bool) -> None:
        """Starts the proxy as `Proxy.serve` does, but without a listener."""
        self.running = True
        for extension in self._extensions:
            await extension.attach(self)
        if watch:
            self._discovery.start()
        if self.client is not None:
            self.client.start()
        for extension in self._extensions:
            await extension.start()
        if self.node is not None:
            self._schedule_sweep(self.node)

    def _schedule_sweep(self, node: MemberNode) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep_group, node)

    def _sweep_group(self, node: MemberNode) -> None:
        """Does what the periodic sweep of a complete proxy does; the other extensions here have no work in it."""
        self._schedule_sweep(node)
        node.sweep()

    async def leave(self) -> None:
        """Shuts down as a complete proxy does after SIGTERM when it has no open client connections."""
        self._stopping.set()
        self._notify_extensions("leaving", lambda extension: extension.drain_started(clock.now()))
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await self.stop_proxy()

    async def stop_proxy(self) -> None:
        """Stops the extensions and the client in order, then everything else."""
        self.running = False
        for extension in reversed(self._extensions):
            await extension.stop()
        if self.client is not None:
            await self.client.stop()
        self.cut_off()

    def cut_off(self) -> None:
        """Stops without notifying any peer, like a killed process."""
        self.running = False
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self.node is not None:
            self.node.cut_off()
        if hasattr(self._discovery._source, "following"):
            self._discovery.stop()
        if self.client is not None:
            self.client.kill()

    def take_configuration(self, name: str, text: str) -> str | None:
        """Replaces one part of its configuration. The parts, joined in the order of their names, are the file."""
        assert self.configuration is not None
        parts = {**self._configuration_parts, name: text}
        refusal = self.configuration.apply_text("\n".join(parts[one] for one in sorted(parts)))
        if refusal is None:
            self._configuration_parts = parts
        return refusal

    def take_list(self, service: str, body: bytes) -> str | None:
        """One service's list, complete, as an incremental update of all endpoints."""
        try:
            update = parse_endpoint_update(json.loads(body))
        except ValueError as error:
            return f"endpoint list {error}"
        current = {entry.id: entry for entry in update.entries}
        previous = self._service_entries.get(service, {})
        changed = [
            (entry, address)
            for entry, address in zip(update.entries, update.addresses)
            if previous.get(entry.id) != entry
        ]
        removed = [
            (entry._replace(ready=False, gone=True), GONE) for id, entry in previous.items() if id not in current
        ]
        self._service_entries[service] = current
        self._update_version += 1
        Discovery.apply_update(
            self._discovery,
            EndpointUpdate(
                self._update_version,
                False,
                [one for one, _ in changed + removed],
                [address for _, address in changed + removed],
            ),
        )
        return None

    def state(self) -> Counter[str]:
        """How many items it holds, by kind. Each number depends on the updates from the control plane alone."""
        backends = self._facade.backends()
        counts = Counter(
            {
                "told": self._discovery.size,
                "backends": len(backends),
                "ready": sum(1 for backend in backends if backend["ready"]),
                "not closed": sum(1 for backend in backends if backend["state"] != "closed"),
                "doors": len(self._backends._connections_by_backend),
                "requests": self._facade.open_tickets,
                "subscribed": 0 if self.client is None else len(self.client.in_force),
            }
        )
        if self.configuration is not None:
            active = self.configuration.active
            counts.update(
                {
                    "versions": len(active.versions),
                    "routes": len(active.version.read.own.routes),
                    "marks": len(active.version.marks),
                    "changes": active.version.number - 1,
                    "history": len(active.ledger.history),
                }
            )
        return counts


def number_of(epoch: int, number: int) -> int:
    """Packs a distribution version (epoch, number) into one integer with the same order."""
    return epoch << 53 | number


def bootstrap_configuration(
    settings: dict[str, Any],
    name: str,
    number: int,
    zone: str,
    discovery: tuple[str, int],
    initial_endpoints: dict[str, Any] | None = None,
) -> BootstrapConfiguration:
    """The bootstrap configuration that a complete proxy would read from its file."""
    configuration = BootstrapConfiguration()
    configuration.keys = {}
    configuration.name, configuration.listen, configuration.discovery, configuration.console = (
        name,
        UNUSED_ADDRESS,
        discovery,
        None,
    )
    configuration.sockets, configuration.memory = 1024, 256 * 1024 * 1024
    configuration.policy_settings = read_settings(
        {**settings, "zone": zone, "ordinal": number % max(1, int(settings["group-size"]))}, number
    )
    configuration.connect_timeout, configuration.idle_timeout = 500_000, 10_000_000
    configuration.initial_endpoints = (
        parse_endpoint_update(initial_endpoints) if initial_endpoints is not None else None
    )
    return configuration


class Process:
    """The hollow proxies of one process and the handlers of the orders to them."""

    def __init__(self, spec: dict[str, Any], number: int) -> None:
        self._spec = spec
        self._number = number
        self._hollows: dict[int, Hollow] = {}  # by index, the latest proxy at each place
        self._places: dict[int, dict[str, Any]] = {}
        self._group: GroupOrders | None = None
        self._replaced_counts: Counter[str] = Counter()  # client counters of replaced proxies
        self._reported_counts: Counter[str] = Counter()
        self._seconds: list[list[int]] = []  # [second, bytes, connects]; cleared by each report

    async def _start_proxy(self, place: dict[str, Any]) -> None:
        spec = self._spec
        settings = spec["lacking"] if place.get("lacks") else spec["settings"]
        group = place.get("group")
        if group is not None:
            settings = {**settings, "group-size": group["size"]}
        bootstrap = bootstrap_configuration(
            settings, place["name"], place["index"], place["zone"], tuple(place["discovery"])
        )
        hollow = Hollow(bootstrap, spec.get("own"), group)
        if place.get("upstreams"):
            hollow.create_client(place, spec["key"].encode())
        self._places[place["index"]] = place
        previous = self._hollows.get(place["index"])
        if previous is not None:
            hollow.activation_times = previous.activation_times
            if previous.client is not None:
                self._replaced_counts.update(previous.client.counts)
            if previous.node is not None:
                self._group_orders().ended(previous.node)
        self._hollows[place["index"]] = hollow
        await hollow.start_proxy(place.get("watch", True))

    async def start(self, order: dict[str, Any]) -> dict[str, Any]:
        for place in order["places"]:
            await self._start_proxy(place)
            if order.get("spread"):
                await asyncio.sleep(order["spread"])
        return {"running": self._running()}

    def _running(self) -> int:
        return sum(1 for hollow in self._hollows.values() if hollow.running)

    def _selected(self, order: dict[str, Any]) -> list[int]:
        """The indices of the order that are in this process, or all of its proxies if the order names none."""
        indices = order.get("indices")
        return list(self._hollows) if indices is None else [index for index in indices if index in self._hollows]

    async def kill(self, order: dict[str, Any]) -> dict[str, Any]:
        for index in self._selected(order):
            self._hollows[index].cut_off()
        return {"running": self._running()}

    async def again(self, order: dict[str, Any]) -> dict[str, Any]:
        """Starts a new proxy at each place whose proxy is not running."""
        for index in self._selected(order):
            if not self._hollows[index].running:
                await self._start_proxy(self._places[index])
        return {"running": self._running()}

    async def behind(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts the running proxies without the wanted versions in force: `versions` by view, `resources` by name."""
        count = total = 0
        versions, resources = order.get("versions", {}), order.get("resources", {})
        for index, hollow in self._hollows.items():
            if not hollow.running:
                continue
            place = self._places[index]
            wanted = {}
            if (version := versions.get(str(place["view"]))) is not None:
                wanted["list"] = version
            for kind, name in place.get("names", ()) if resources else ():
                if (version := resources.get(f"{kind}/{name}")) is not None:
                    wanted[f"{kind}/{name}"] = version
            if wanted:
                total += 1
                count += any(hollow.latest_versions.get(resource, -1) < version for resource, version in wanted.items())
        return {"behind": count, "of": total}

    async def traffic(self, order: dict[str, Any]) -> dict[str, Any]:
        """Control-plane traffic since the last report: sums, seconds of all together, the worst second of a proxy."""
        seconds, self._seconds = self._seconds, []
        max_bytes = max((hollow.max_bytes_per_second for hollow in self._hollows.values()), default=0)
        for hollow in self._hollows.values():
            hollow.max_bytes_per_second = 0
        counts, self._reported_counts = self._counts() - self._reported_counts, self._counts()
        return {
            "counts": dict(counts),
            "seconds": seconds,
            "worst_one": max_bytes,
            "oldest_us": max(
                (
                    hollow.client.age_us(clock.now()) or 0
                    for hollow in self._hollows.values()
                    if hollow.running and hollow.client is not None
                ),
                default=0,
            ),
        }

    def _counts(self) -> Counter[str]:
        total: Counter[str] = Counter(self._replaced_counts)
        for hollow in self._hollows.values():
            if hollow.client is not None:
                total.update(hollow.client.counts)
        return total

    async def _sample_traffic(self) -> None:
        """Records the control-plane traffic of each second."""
        previous = self._counts()
        while True:
            await asyncio.sleep(1.0)
            for hollow in self._hollows.values():
                hollow.record_second()
            current = self._counts()
            self._seconds.append(
                [
                    int(time.monotonic()),
                    current["bytes in"] + current["bytes out"] - previous["bytes in"] - previous["bytes out"],
                    current["connects"] - previous["connects"],
                ]
            )
            previous = current

    async def activation_times(self, order: dict[str, Any]) -> dict[str, Any]:
        """Writes when each version came into force at each proxy to a file, and clears those rows."""
        path = Path(order["path"])
        rows = [
            [index, self._places[index]["view"], hollow.activation_times] for index, hollow in self._hollows.items()
        ]
        path.write_text(json.dumps(rows))
        for hollow in self._hollows.values():
            hollow.activation_times = []
        return {"books": str(path)}

    async def configure(self, order: dict[str, Any]) -> dict[str, Any]:
        """Applies a configuration text by hand, as `ctl propose` does at a complete proxy."""
        refusals = [
            self._hollows[index].take_configuration(order["name"], order["text"]) for index in self._selected(order)
        ]
        return {"refused": [refusal for refusal in refusals if refusal is not None]}

    async def state(self, order: dict[str, Any]) -> dict[str, Any]:
        """Sums the state of the running proxies, and counts the tasks, descriptors and objects of the process."""
        gc.collect()
        total: Counter[str] = Counter()
        for hollow in self._hollows.values():
            if hollow.running:
                total.update(hollow.state())
        total["tasks"] = len(asyncio.all_tasks())
        total["descriptors"] = len(os.listdir("/proc/self/fd"))
        return {"state": dict(total), "running": self._running(), "objects": len(gc.get_objects())}

    async def slow(self, order: dict[str, Any]) -> dict[str, Any]:
        """Leaves the event loop only a part of the time, for `seconds`."""
        asyncio.get_running_loop().create_task(self._block_loop(float(order["part"]), float(order["seconds"])))
        return {"slow": True}

    @staticmethod
    async def _block_loop(free_share: float, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            time.sleep(SLOW_BLOCK_S)
            await asyncio.sleep(SLOW_BLOCK_S * free_share / (1 - free_share))

    def _group_orders(self) -> GroupOrders:
        if self._group is None:
            from pepperusher.rehearsal.hollow_group import GroupOrders

            self._group = GroupOrders(self._hollows)
        return self._group

    async def group(self, order: dict[str, Any]) -> dict[str, Any]:
        """Handles an order to the members of a group."""
        return await self._group_orders().handle(order)

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(standing=True, number=self._number)
        handlers = {
            "start": self.start,
            "kill": self.kill,
            "again": self.again,
            "behind": self.behind,
            "books": self.activation_times,
            "configure": self.configure,
            "state": self.state,
            "slow": self.slow,
            "traffic": self.traffic,
            "group": self.group,
        }
        sampling = asyncio.get_running_loop().create_task(self._sample_traffic())
        while (order := await orders.next()) is not None:
            answer = await handlers[order["do"]](order)
            orders.say(did=order["do"], **answer)
        for hollow in self._hollows.values():
            hollow.cut_off()
        sampling.cancel()


def main(arguments: Sequence[str]) -> None:
    number, spec = int(arguments[0]), json.loads(Path(arguments[1]).read_text())
    asyncio.run(Process(spec, number).run())


if __name__ == "__main__":
    main(sys.argv[1:])
