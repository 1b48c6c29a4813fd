"""Hollow proxies: everything of a proxy that control reaches, many in one process, without its requests.

Real are the watch at discovery, the list and the decision state it is put into, the own file's state with
its versions and marks, whatever speaks for control over sockets, and, where the play asks for it, the
membership of a group. Left out are the listener, requests with
their connections, and the timers that serve those alone (`docs/scale.md` says what that changes). Run as
`python -m pepperusher.rehearsal.hollow NUMBER SPEC`, a process takes orders as `rehearsal.worker` has them.
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

# One that is slow has its loop held so long at a time.
SLOW_TURN = 0.05
NOWHERE = ("127.0.0.1", 1)
Noted = Callable[[str, int], None]


class NotedDiscovery(Discovery):
    """Says when a version is in force: after the decisions have it."""

    def __init__(
        self,
        noted: Noted,
        address: tuple[str, int],
        facade: Facade,
        backends: Backends,
        log: Log,
        narrows: Sequence[FilterEndpoints],
        seed: int,
    ) -> None:
        super().__init__(address, facade, backends, log, narrows, seed)
        self._noted = noted

    def apply_update(self, update: EndpointUpdate, source: Source | None = None) -> None:
        super().apply_update(update, source)
        self._noted("list", update.version)


class OwnState(Extension):
    """The own file's state as a whole proxy has it. A text is taken whole, or not at all."""

    def __init__(self, text: str, at: PolicySettings, log: Log) -> None:
        self._policy_settings = at
        self._host: ExtensionHost | None = None
        self.standing = ActiveConfiguration(self.read(text), clock.now(), self._list_again, log.write_event)
        self.filter_endpoints = self.standing.overlay.lines

    def read(self, text: str) -> Read:
        """Raises ConfigurationError."""
        return loader.parse(text, "what is told", self._policy_settings)

    def _list_again(self, lines: list[Endpoint]) -> None:
        if self._host is not None:
            self._host.reapply_filters(self, lines)

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    def put(self, text: str) -> str | None:
        """None where it is in force, else why not."""
        now, standing = clock.now(), self.standing
        try:
            read = self.read(text)
            if read.digest == standing.version.read.digest:
                return None
            change = standing.propose(read, "control", "told", now)
        except (ConfigurationError, TransactionError) as error:
            return str(error)
        standing.stage(change, now)
        standing.apply(change, now)
        standing.confirm(change, "control", "told", now)
        change.what = None
        return None


class Hollow(Proxy):
    """One of them, told by discovery, by control machines, or by both; a member of a group where `group` says
    which (`hollow_group.place_of`).
    """

    def __init__(self, told: BootstrapConfiguration, own: str | None, group: dict[str, Any] | None = None) -> None:
        self.own: OwnState | None = None
        self.node: MemberNode | None = None
        self._sweeping: asyncio.TimerHandle | None = None
        # What was in force when: (what, version, microseconds on the machine's clock). Emptied as it is
        # asked for.
        self.books: list[tuple[str, int, int]] = []
        self.latest: dict[str, int] = {}

        def make_extensions(of: BootstrapConfiguration, log: Log) -> list[Extension]:
            made: list[Extension] = []
            if own is not None:
                self.own = OwnState(own, of.policy_settings, log)
                made.append(self.own)
            if group is not None:
                from pepperusher.rehearsal.hollow_group import MemberNode

                self.node = MemberNode(group, of.policy_settings, of.name, log.write_event, self.book)
                made.append(self.node)
            return made

        super().__init__(told, lambda before: before, make_extensions)
        self._discovery = NotedDiscovery(
            self.note,
            told.discovery,
            self._facade,
            self._backends,
            self._log,
            [one.filter_endpoints for one in self._extensions if one.filter_endpoints is not None],
            told.policy_settings.seed,
        )
        self._lists: dict[str, dict[str, Endpoint]] = {}  # by service, what distribution told last; replaced with each
        self._parts: dict[str, str] = {}  # by name, the texts that make up its own file
        self._told_version = 0
        self.client: Client | None = None
        self.most_in_second = 0  # bytes both ways in the worst second so far
        self._bytes = 0
        self.on = False

    def joins(self, place: dict[str, Any], key: bytes) -> None:
        """Its subscription at the control machines, before it begins."""
        keep = place.get("keep")
        self.client = Client(
            [tuple(one) for one in place["upstreams"]],
            [tuple(one) for one in place["names"]],
            self.take_resource,
            key=key,
            name=place["name"],
            region=place["region"],
            zone=place["zone"],
            seed=place["index"],
            cache_path=None if keep is None else Path(keep) / place["name"],
            local_address=place.get("local", "127.0.0.1"),
            say=self._log.write_event,
        )

    def take_resource(self, one: Resource) -> str | None:
        """None for in force, else why it is refused."""
        text = one.body
        refused = (
            self.take_configuration(one.name, text.decode("utf-8", "replace"))
            if one.kind == CONFIG
            else self.take_list(one.name, text)
        )
        if refused is None:
            self.note(f"{one.kind}/{one.name}", number_of(*one.version))
        return refused

    def second(self) -> None:
        """One has passed."""
        if self.client is not None:
            now = self.client.counts["bytes in"] + self.client.counts["bytes out"]
            self.most_in_second = max(self.most_in_second, now - self._bytes)
            self._bytes = now

    def note(self, what: str, version: int) -> None:
        self.latest[what] = version
        self.book(what, version)

    def book(self, what: str, version: int) -> None:
        self.books.append((what, version, time.monotonic_ns() // 1000))

    async def begin(self, watch: bool) -> None:
        """As `serve` does it, without a listener."""
        self.on = True
        for one in self._extensions:
            await one.attach(self)
        if watch:
            self._discovery.start()
        if self.client is not None:
            self.client.start()
        for one in self._extensions:
            await one.start()
        if self.node is not None:
            self._sweep_later(self.node)

    def _sweep_later(self, node: MemberNode) -> None:
        self._sweeping = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep_group, node)

    def _sweep_group(self, node: MemberNode) -> None:
        """As a whole one's sweep does: the other companions here have nothing to do in it."""
        self._sweep_later(node)
        node.sweep()

    async def leave(self) -> None:
        """As a whole one that is told to stop, and has no client left."""
        self._stopping.set()
        self._notify_extensions("leaving", lambda one: one.drain_started(clock.now()))
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await self.end()

    async def end(self) -> None:
        """In order."""
        self.on = False
        for one in reversed(self._extensions):
            await one.stop()
        if self.client is not None:
            await self.client.stop()
        self.cut_off()

    def cut_off(self) -> None:
        """As a process that was killed: gone without a word."""
        self.on = False
        if self._sweeping is not None:
            self._sweeping.cancel()
        if self.node is not None:
            self.node.cut_off()
        if hasattr(self._discovery._source, "following"):
            self._discovery.stop()
        if self.client is not None:
            self.client.kill()

    def take_configuration(self, name: str, text: str) -> str | None:
        """A part of its own file; the parts in the order of their names are the file."""
        assert self.own is not None
        parts = {**self._parts, name: text}
        refused = self.own.put("\n".join(parts[one] for one in sorted(parts)))
        if refused is None:
            self._parts = parts
        return refused

    def take_list(self, service: str, body: bytes) -> str | None:
        """One service's list, whole, as a change of the whole list."""
        try:
            update = parse_endpoint_update(json.loads(body))
        except ValueError as error:
            return f"a list {error}"
        fresh = {entry.id: entry for entry in update.entries}
        before = self._lists.get(service, {})
        changed = [
            (entry, address)
            for entry, address in zip(update.entries, update.addresses)
            if before.get(entry.id) != entry
        ]
        gone = [(entry._replace(ready=False, gone=True), GONE) for id, entry in before.items() if id not in fresh]
        self._lists[service] = fresh
        self._told_version += 1
        Discovery.apply_update(
            self._discovery,
            EndpointUpdate(
                self._told_version,
                False,
                [one for one, _ in changed + gone],
                [address for _, address in changed + gone],
            ),
        )
        return None

    def state(self) -> Counter[str]:
        """What it holds, by kind; each grows with what control tells, and with nothing else."""
        backends = self._facade.backends()
        made = Counter(
            {
                "told": self._discovery.size,
                "backends": len(backends),
                "ready": sum(1 for one in backends if one["ready"]),
                "not closed": sum(1 for one in backends if one["state"] != "closed"),
                "doors": len(self._backends._connections_by_backend),
                "requests": self._facade.open_tickets,
                "subscribed": 0 if self.client is None else len(self.client.in_force),
            }
        )
        if self.own is not None:
            standing = self.own.standing
            made.update(
                {
                    "versions": len(standing.versions),
                    "routes": len(standing.version.read.own.routes),
                    "marks": len(standing.version.marks),
                    "changes": standing.version.number - 1,
                    "history": len(standing.ledger.history),
                }
            )
        return made


def number_of(epoch: int, number: int) -> int:
    """A version of distribution as one number, in the same order."""
    return epoch << 53 | number


def bootstrap_configuration(
    settings: dict[str, Any],
    name: str,
    number: int,
    zone: str,
    discovery: tuple[str, int],
    known: dict[str, Any] | None = None,
) -> BootstrapConfiguration:
    """What a whole proxy would read from its file."""
    made = BootstrapConfiguration()
    made.keys = {}
    made.name, made.listen, made.discovery, made.console = name, NOWHERE, discovery, None
    made.sockets, made.memory = 1024, 256 * 1024 * 1024
    made.policy_settings = read_settings(
        {**settings, "zone": zone, "ordinal": number % max(1, int(settings["group-size"]))}, number
    )
    made.connect_timeout, made.idle_timeout = 500_000, 10_000_000
    made.initial_endpoints = parse_endpoint_update(known) if known is not None else None
    return made


class Process:
    """The hollow proxies of one process, and the orders they are under."""

    def __init__(self, spec: dict[str, Any], number: int) -> None:
        self._spec = spec
        self._number = number
        self._hollows: dict[int, Hollow] = {}  # by index, those that ever ran here
        self._places: dict[int, dict[str, Any]] = {}
        self._group: GroupOrders | None = None
        self._ended: Counter[str] = Counter()  # what those counted in whose place others stand now
        self._counted: Counter[str] = Counter()
        self._seconds: list[list[int]] = []  # emptied as they are asked for

    async def _begin(self, place: dict[str, Any]) -> None:
        spec = self._spec
        settings = spec["lacking"] if place.get("lacks") else spec["settings"]
        group = place.get("group")
        if group is not None:
            settings = {**settings, "group-size": group["size"]}
        told = bootstrap_configuration(
            settings, place["name"], place["index"], place["zone"], tuple(place["discovery"])
        )
        hollow = Hollow(told, spec.get("own"), group)
        if place.get("upstreams"):
            hollow.joins(place, spec["key"].encode())
        self._places[place["index"]] = place
        before = self._hollows.get(place["index"])
        if before is not None:
            hollow.books = before.books
            if before.client is not None:
                self._ended.update(before.client.counts)
            if before.node is not None:
                self._group_orders().ended(before.node)
        self._hollows[place["index"]] = hollow
        await hollow.begin(place.get("watch", True))

    async def start(self, order: dict[str, Any]) -> dict[str, Any]:
        for place in order["places"]:
            await self._begin(place)
            if order.get("spread"):
                await asyncio.sleep(order["spread"])
        return {"running": self._running()}

    def _running(self) -> int:
        return sum(1 for one in self._hollows.values() if one.on)

    def _meant(self, order: dict[str, Any]) -> list[int]:
        """Of the indices named, those here; all where none are named."""
        named = order.get("indices")
        return list(self._hollows) if named is None else [one for one in named if one in self._hollows]

    async def kill(self, order: dict[str, Any]) -> dict[str, Any]:
        for index in self._meant(order):
            self._hollows[index].cut_off()
        return {"running": self._running()}

    async def again(self, order: dict[str, Any]) -> dict[str, Any]:
        """Started anew in the place of those that are away."""
        for index in self._meant(order):
            if not self._hollows[index].on:
                await self._begin(self._places[index])
        return {"running": self._running()}

    async def behind(self, order: dict[str, Any]) -> dict[str, Any]:
        """How many that run have not in force what they ought to: `versions` by view, `resources` by name."""
        count = of = 0
        versions, resources = order.get("versions", {}), order.get("resources", {})
        for index, hollow in self._hollows.items():
            if not hollow.on:
                continue
            place = self._places[index]
            wanted = {}
            if (version := versions.get(str(place["view"]))) is not None:
                wanted["list"] = version
            for kind, name in place.get("names", ()) if resources else ():
                if (version := resources.get(f"{kind}/{name}")) is not None:
                    wanted[f"{kind}/{name}"] = version
            if wanted:
                of += 1
                count += any(hollow.latest.get(what, -1) < version for what, version in wanted.items())
        return {"behind": count, "of": of}

    async def traffic(self, order: dict[str, Any]) -> dict[str, Any]:
        """Of control, since it was last asked for: sums, the worst second of all together and of any one."""
        seconds, self._seconds = self._seconds, []
        worst = max((hollow.most_in_second for hollow in self._hollows.values()), default=0)
        for hollow in self._hollows.values():
            hollow.most_in_second = 0
        made, self._counted = self._counts() - self._counted, self._counts()
        return {
            "counts": dict(made),
            "seconds": seconds,
            "worst_one": worst,
            "oldest_us": max(
                (
                    hollow.client.age_us(clock.now()) or 0
                    for hollow in self._hollows.values()
                    if hollow.on and hollow.client is not None
                ),
                default=0,
            ),
        }

    def _counts(self) -> Counter[str]:
        made: Counter[str] = Counter(self._ended)
        for hollow in self._hollows.values():
            if hollow.client is not None:
                made.update(hollow.client.counts)
        return made

    async def _look(self) -> None:
        """Once a second, what passed in it."""
        before = self._counts()
        while True:
            await asyncio.sleep(1.0)
            for hollow in self._hollows.values():
                hollow.second()
            now = self._counts()
            self._seconds.append(
                [
                    int(time.monotonic()),
                    now["bytes in"] + now["bytes out"] - before["bytes in"] - before["bytes out"],
                    now["connects"] - before["connects"],
                ]
            )
            before = now

    async def books(self, order: dict[str, Any]) -> dict[str, Any]:
        """Who had what in force when, to a file, and forgotten here."""
        path = Path(order["path"])
        rows = [[index, self._places[index]["view"], hollow.books] for index, hollow in self._hollows.items()]
        path.write_text(json.dumps(rows))
        for hollow in self._hollows.values():
            hollow.books = []
        return {"books": str(path)}

    async def configure(self, order: dict[str, Any]) -> dict[str, Any]:
        """A text handed over by hand, as `ctl propose` does at a whole one."""
        refused = [
            self._hollows[index].take_configuration(order["name"], order["text"]) for index in self._meant(order)
        ]
        return {"refused": [why for why in refused if why is not None]}

    async def state(self, order: dict[str, Any]) -> dict[str, Any]:
        """The sum over those that run, and what the process holds beside."""
        gc.collect()
        made: Counter[str] = Counter()
        for hollow in self._hollows.values():
            if hollow.on:
                made.update(hollow.state())
        made["tasks"] = len(asyncio.all_tasks())
        made["descriptors"] = len(os.listdir("/proc/self/fd"))
        return {"state": dict(made), "running": self._running(), "objects": len(gc.get_objects())}

    async def slow(self, order: dict[str, Any]) -> dict[str, Any]:
        """Has its loop for a part of the time alone, for so many seconds."""
        asyncio.get_running_loop().create_task(self._held(float(order["part"]), float(order["seconds"])))
        return {"slow": True}

    @staticmethod
    async def _held(part: float, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(SLOW_TURN)
            await asyncio.sleep(SLOW_TURN * part / (1 - part))

    def _group_orders(self) -> GroupOrders:
        if self._group is None:
            from pepperusher.rehearsal.hollow_group import GroupOrders

            self._group = GroupOrders(self._hollows)
        return self._group

    async def group(self, order: dict[str, Any]) -> dict[str, Any]:
        """What is asked of those that are members of a group."""
        return await self._group_orders().does(order)

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(standing=True, number=self._number)
        does = {
            "start": self.start,
            "kill": self.kill,
            "again": self.again,
            "behind": self.behind,
            "books": self.books,
            "configure": self.configure,
            "state": self.state,
            "slow": self.slow,
            "traffic": self.traffic,
            "group": self.group,
        }
        looking = asyncio.get_running_loop().create_task(self._look())
        while (order := await orders.next()) is not None:
            told = await does[order["do"]](order)
            orders.say(did=order["do"], **told)
        for hollow in self._hollows.values():
            hollow.cut_off()
        looking.cancel()


def main(arguments: Sequence[str]) -> None:
    number, spec = int(arguments[0]), json.loads(Path(arguments[1]).read_text())
    asyncio.run(Process(spec, number).run())


if __name__ == "__main__":
    main(sys.argv[1:])
