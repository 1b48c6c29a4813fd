"""A run of hollow proxies that form one group: their links, the faults injected into them, and the queries to them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from pepperusher.rehearsal.hollow_plan import BETWEEN, WITHIN_REGION, Place, Plan, region_of
from pepperusher.rehearsal.hollow_run import DISCOVERY, HollowRun
from pepperusher.rehearsal.worker import Worker

KEY = "of this play alone"
# The port of every member; each member has its own loopback address.
PORT = 7100
SEEDS = 3
HOSTS_PER_SUBNET = 250
START_TIMEOUT_S = 60.0
HOSTS_PER_ORDER = 1000
RELAYS_PER_ORDER = 200
# The defaults of the group table (us): probe period, and time to wait for an answer.
PERIOD, ANSWER_TIMEOUT = 500_000, 150_000
POLL_INTERVAL_S = 0.2


def member_host(net: int, number: int) -> str:
    return f"127.{net}.{1 + number // HOSTS_PER_SUBNET}.{1 + number % HOSTS_PER_SUBNET}"


def zone_side(zone: int) -> str:
    return f"z{zone}"


class HollowGroupRun(HollowRun):
    """The processes of a run with a group. `net` is the second number of its loopback addresses, which no other run
    uses (`loopback_networks.reserve_network`).
    """

    def __init__(
        self,
        plan: Plan,
        seed: int,
        work: Path,
        progress: Callable[[str], None],
        net: int,
        period: int = PERIOD,
        within: int = ANSWER_TIMEOUT,
    ) -> None:
        super().__init__(plan, seed, work, progress)
        self._net, self._period, self._within = net, period, within
        self.size = len(plan.places)
        self.relays: list[Worker] = []  # by zone, the relay process of the links to its members
        self.addresses: dict[int, list[Any]] = {}  # by member, its relay address

    async def start_processes(self) -> None:
        await super().start_processes()
        zones = range(max(self.plan.workers) + 1)
        self.relays = [
            await self._start_process(
                "hollow_group_links",
                f"ways {zone}",
                str(self._seed * 1000 + zone),
                f"127.{self._net}.0.{10 + zone}",
            )
            for zone in zones
        ]
        for worker in self.relays:
            await worker.said("standing", START_TIMEOUT_S)
        hosts = {member_host(self._net, place.number): zone_side(place.zone) for place in self.plan.places}
        rows = list(hosts.items())
        for start in range(0, len(rows), HOSTS_PER_ORDER):
            batch = dict(rows[start : start + HOSTS_PER_ORDER])
            await asyncio.gather(*(self._ask(worker, "senders", hosts=batch) for worker in self.relays))
        for zone, worker in enumerate(self.relays):
            listen_addresses = {
                str(place.number): [member_host(self._net, place.number), PORT]
                for place in self.plan.places
                if place.zone == zone
            }
            names = list(listen_addresses)
            for start in range(0, len(names), RELAYS_PER_ORDER):
                address_batch = {name: listen_addresses[name] for name in names[start : start + RELAYS_PER_ORDER]}
                relays = (await self._ask(worker, "open", at=address_batch, side=zone_side(zone)))["fronts"]
                self.addresses.update({int(name): address for name, address in relays.items()})
        await self.shape_relays()

    async def shape_relays(self, lost: float = 0.0) -> None:
        """Sets the links between members to their normal delay, with a share `lost` of the datagrams dropped,
        also within a zone.
        """
        for zone, worker in enumerate(self.relays):
            sides_by_delay: dict[float, list[str]] = {}
            for other in range(len(self.relays)):
                delay = 0.0
                if other != zone:
                    delay = WITHIN_REGION if region_of(zone) == region_of(other) else BETWEEN
                sides_by_delay.setdefault(delay, []).append(zone_side(other))
            for delay, sides in sides_by_delay.items():
                await self._ask(
                    worker,
                    "shape",
                    senders=sides,
                    receivers=[zone_side(zone)],
                    delay=delay / 1000,
                    lost=lost,
                )

    async def cut_off_zones(self, zones: set[int]) -> None:
        """Cuts these zones off from all others."""
        inner = [zone_side(zone) for zone in zones]
        outer = [zone_side(zone) for zone in range(len(self.relays)) if zone not in zones]
        await asyncio.gather(*(self._ask(worker, "cut", sides=inner, others=outer) for worker in self.relays))

    async def heal_relays(self) -> None:
        await asyncio.gather(*(self._ask(worker, "heal") for worker in self.relays))
        await self.shape_relays()

    async def relay_counts(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for answer in await asyncio.gather(*(self._ask(worker, "counts") for worker in self.relays)):
            total.update(answer["counts"])
        return total

    async def end(self) -> None:
        await super().end()
        await asyncio.gather(*(worker.end() for worker in self.relays))

    def _start_order(self, place: Place, lists: str) -> dict[str, Any]:
        order = super()._start_order(place, lists)
        address = self.addresses[place.number]
        order["group"] = {
            "listen": f"{member_host(self._net, place.number)}:{PORT}",
            "advertise": f"{address[0]}:{address[1]}",
            "seeds": [f"{host}:{port}" for host, port in map(self.addresses.__getitem__, self.seeds())],
            "key": KEY,
            "period": self._period,
            "within": self._within,
            "size": self.size,
        }
        return order

    def seeds(self) -> list[int]:
        """The first members are the seeds; they are in different zones if there are enough zones."""
        return [place.number for place in self.plan.places[:SEEDS]]

    async def start_all(self) -> None:
        await self.start_proxies(self.plan.places, DISCOVERY)

    # --- queries --------------------------------------------------------------------------------

    async def query_group(self, query: str, **order: Any) -> list[dict[str, Any]]:
        """Sends a group order to every process that can answer."""
        return await self.ask_all("group", asked=query, **order)

    async def wait_for_all(self, query: str, timeout: float, count_key: str, **order: Any) -> bool:
        """Repeats a query until the count under `count_key` includes all queried members. Returns False on time-out."""
        deadline = time.monotonic() + timeout
        while True:
            answers = await self.query_group(query, **order)
            if sum(answer[count_key] for answer in answers) >= sum(answer["of"] for answer in answers):
                return True
            if time.monotonic() >= deadline:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_found(
        self, names: Iterable[str], state: str, timeout: float, by: Iterable[int] | None = None
    ) -> bool:
        """Waits until the members in `by` (or all) find every member in `names` in `state`: "alive", "suspected",
        "lost" or "gone".
        """
        return await self.wait_for_all(
            "finds", timeout, "finds", names=list(names), how=state, by=None if by is None else list(by)
        )

    async def count_alive_views(self, by: Iterable[int] | None = None) -> Counter[str]:
        total: Counter[str] = Counter()
        for answer in await self.query_group("there", size=self.size, by=None if by is None else list(by)):
            total.update(answer["there"])
            total["of"] += answer["of"]
        return total

    async def wait_until_all_alive(self, timeout: float) -> bool:
        """Waits until every running member finds all others alive."""
        deadline = time.monotonic() + timeout
        while True:
            counts = await self.count_alive_views()
            if counts["finds all"] == counts["of"] > 0:
                return True
            if time.monotonic() >= deadline:
                self._progress(f"  {counts['finds all']} of {counts['of']} members find all others alive")
                return False
            await asyncio.sleep(POLL_INTERVAL_S)

    async def group_traffic(self) -> tuple[Counter[str], int, Counter[str]]:
        """The traffic of all members since the last call, the longest datagram since the start, and the counters of the
        membership protocol since the start.
        """
        traffic: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        longest = 0
        for answer in await self.query_group("traffic"):
            traffic.update(answer["traffic"])
            counts.update(answer["counts"])
            longest = max(longest, answer["longest"])
        return traffic, longest, counts

    async def views_and_state(self, finds: bool = False) -> tuple[Counter[str], Counter[str]]:
        """Sums over the running members, by kind: their views and their membership state."""
        views: Counter[str] = Counter()
        state: Counter[str] = Counter()
        for answer in await self.query_group("kinds", finds=finds):
            views.update(answer["finds"])
            state.update(answer["kept"])
        return views, state

    async def ban(self, number: int, backend: str, on: bool) -> int:
        """Sets or lifts a ban at one member. Returns the time of the order (us of Unix time)."""
        answers = await self.query_group("order", index=number, backend=backend, on=on)
        return max(int(answer["at"]) for answer in answers)
