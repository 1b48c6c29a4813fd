"""A stand of hollow proxies that are one group: their links, what is done to them, and what they are
asked.
"""

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
# The port of every member, each on a host of its own.
PORT = 7100
SEEDS = 3
HOSTS_A_NET = 250
STAND_WITHIN = 60.0
HOSTS_AT_ONCE = 1000
NAMES_AT_ONCE = 200
# As the own file has them where it says nothing (us).
PERIOD, WITHIN = 500_000, 150_000
LOOK_EVERY = 0.2


def host_of(net: int, number: int) -> str:
    return f"127.{net}.{1 + number // HOSTS_A_NET}.{1 + number % HOSTS_A_NET}"


def side_of(zone: int) -> str:
    return f"z{zone}"


class HollowGroupRun(HollowRun):
    """`net` is the second number of the loopback addresses that are this play's alone (`loopback_networks.own_net`)."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        work: Path,
        progress: Callable[[str], None],
        net: int,
        period: int = PERIOD,
        within: int = WITHIN,
    ) -> None:
        super().__init__(plan, seed, work, progress)
        self._net, self._period, self._within = net, period, within
        self.size = len(plan.places)
        self.ways: list[Worker] = []  # the links of each zone, for those who stand there
        self.addresses: dict[int, list[Any]] = {}  # of each member's front

    async def stand(self) -> None:
        await super().stand()
        zones = range(max(self.plan.workers) + 1)
        self.ways = [
            await self._start(
                "hollow_group_links",
                f"ways {zone}",
                str(self._seed * 1000 + zone),
                f"127.{self._net}.0.{10 + zone}",
            )
            for zone in zones
        ]
        for worker in self.ways:
            await worker.said("standing", STAND_WITHIN)
        hosts = {host_of(self._net, one.number): side_of(one.zone) for one in self.plan.places}
        rows = list(hosts.items())
        for start in range(0, len(rows), HOSTS_AT_ONCE):
            part = dict(rows[start : start + HOSTS_AT_ONCE])
            await asyncio.gather(*(self._ask(worker, "senders", hosts=part) for worker in self.ways))
        for zone, worker in enumerate(self.ways):
            those = {
                str(one.number): [host_of(self._net, one.number), PORT] for one in self.plan.places if one.zone == zone
            }
            names = list(those)
            for start in range(0, len(names), NAMES_AT_ONCE):
                at = {name: those[name] for name in names[start : start + NAMES_AT_ONCE]}
                fronts = (await self._ask(worker, "open", at=at, side=side_of(zone)))["fronts"]
                self.addresses.update({int(name): address for name, address in fronts.items()})
        await self.shape_ways()

    async def shape_ways(self, lost: float = 0.0) -> None:
        """The members' links as they are without trouble, or with a part of the datagrams lost, those within
        a zone too.
        """
        for zone, worker in enumerate(self.ways):
            there: dict[float, list[str]] = {}
            for other in range(len(self.ways)):
                delay = 0.0
                if other != zone:
                    delay = WITHIN_REGION if region_of(zone) == region_of(other) else BETWEEN
                there.setdefault(delay, []).append(side_of(other))
            for delay, sides in there.items():
                await self._ask(
                    worker,
                    "shape",
                    senders=sides,
                    receivers=[side_of(zone)],
                    delay=delay / 1000,
                    lost=lost,
                )

    async def part(self, zones: set[int]) -> None:
        """Nothing passes between members there and all others."""
        inner = [side_of(zone) for zone in zones]
        outer = [side_of(zone) for zone in range(len(self.ways)) if zone not in zones]
        await asyncio.gather(*(self._ask(worker, "cut", sides=inner, others=outer) for worker in self.ways))

    async def heal_ways(self) -> None:
        await asyncio.gather(*(self._ask(worker, "heal") for worker in self.ways))
        await self.shape_ways()

    async def ways_counts(self) -> Counter[str]:
        made: Counter[str] = Counter()
        for told in await asyncio.gather(*(self._ask(worker, "counts") for worker in self.ways)):
            made.update(told["counts"])
        return made

    async def end(self) -> None:
        await super().end()
        await asyncio.gather(*(worker.end() for worker in self.ways))

    def _order(self, place: Place, lists: str) -> dict[str, Any]:
        told = super()._order(place, lists)
        address = self.addresses[place.number]
        told["group"] = {
            "listen": f"{host_of(self._net, place.number)}:{PORT}",
            "advertise": f"{address[0]}:{address[1]}",
            "seeds": [f"{host}:{port}" for host, port in map(self.addresses.__getitem__, self.seeds())],
            "key": KEY,
            "period": self._period,
            "within": self._within,
            "size": self.size,
        }
        return told

    def seeds(self) -> list[int]:
        """The first few; they stand in zones of their own where there are so many."""
        return [one.number for one in self.plan.places[:SEEDS]]

    async def begin_all(self) -> None:
        await self.begin(self.plan.places, DISCOVERY)

    # --- what is asked --------------------------------------------------------------------------------

    async def group(self, what: str, **order: Any) -> list[dict[str, Any]]:
        """Of every process that can answer."""
        return await self.ask_all("group", asked=what, **order)

    async def until(self, what: str, within: float, many: str, **order: Any) -> bool:
        """Until all that are asked say so; False where they have not in time."""
        until = time.monotonic() + within
        while True:
            told = await self.group(what, **order)
            if sum(one[many] for one in told) >= sum(one["of"] for one in told):
                return True
            if time.monotonic() >= until:
                return False
            await asyncio.sleep(LOOK_EVERY)

    async def found(self, names: Iterable[str], how: str, within: float, by: Iterable[int] | None = None) -> bool:
        """Until all those asked find all named so: "alive", "suspected", "lost" or "gone"."""
        return await self.until(
            "finds", within, "finds", names=list(names), how=how, by=None if by is None else list(by)
        )

    async def there(self, by: Iterable[int] | None = None) -> Counter[str]:
        made: Counter[str] = Counter()
        for told in await self.group("there", size=self.size, by=None if by is None else list(by)):
            made.update(told["there"])
            made["of"] += told["of"]
        return made

    async def all_there(self, within: float) -> bool:
        """Until each that runs finds all others."""
        until = time.monotonic() + within
        while True:
            told = await self.there()
            if told["finds all"] == told["of"] > 0:
                return True
            if time.monotonic() >= until:
                self._say(f"  {told['finds all']} of {told['of']} find all others")
                return False
            await asyncio.sleep(LOOK_EVERY)

    async def group_traffic(self) -> tuple[Counter[str], int, Counter[str]]:
        """Of all members since this was last asked for, the longest datagram ever, and their own counts since
        they began."""
        made: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        longest = 0
        for told in await self.group("traffic"):
            made.update(told["traffic"])
            counts.update(told["counts"])
            longest = max(longest, told["longest"])
        return made, longest, counts

    async def kinds(self, finds: bool = False) -> tuple[Counter[str], Counter[str]]:
        """Sums over all that run: what they find, and what they hold."""
        found: Counter[str] = Counter()
        kept: Counter[str] = Counter()
        for told in await self.group("kinds", finds=finds):
            found.update(told["finds"])
            kept.update(told["kept"])
        return found, kept

    async def ban(self, number: int, backend: str, on: bool) -> int:
        """By one member; when the order counts from (us of Unix time)."""
        told = await self.group("order", index=number, backend=backend, on=on)
        return max(int(one["at"]) for one in told)
