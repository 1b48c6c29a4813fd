"""The group's membership in hollow proxies: the very node of a whole one with its sockets, its datagrams
counted and what it finds noted in the books.

Loaded only where a play has a group. `GroupOrders` are the orders about it that a process of hollow ones
takes.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from pepperusher.group.messages import ALIVE, HEALTH, LEFT, LOST, SUSPECTED
from pepperusher.net import clock
from pepperusher.net.node import BAN, Node
from pepperusher.configuration.tables import Group
from pepperusher.durations import Span
from pepperusher.terms import PolicySettings

Say = Callable[..., None]
Book = Callable[[str, int], None]  # what, and its version
SAYS = "group: "
# In the books: all others are found alive, or no longer.
ALL_THERE, NOT_ALL = "all there", "not all there"
GONE = "gone"
SILENT = ("suspected", "lost")
# Noted by whom it is of; what there is of each by the size of a group squared, as "met", is left out.
NOTED = (*SILENT, "heard of again", "left", "clients sent away", "a new life")


def group_table(place: Mapping[str, Any]) -> Group:
    """The group's table as a whole proxy reads it from its own file."""
    return Group(
        listen=place["listen"],
        advertise=place.get("advertise"),
        seeds=list(place["seeds"]),
        key=place["key"],
        period=Span(place["period"]),
        within=Span(place["within"]),
    )


class CountedSocket(socket.socket):
    """Counts what passes through it."""

    counts: Counter[str]

    def recv(self, *arguments: Any) -> bytes:
        data = super().recv(*arguments)
        self.counts["datagrams in"] += 1
        self.counts["bytes in"] += len(data)
        return data

    def sendto(self, data: bytes, address: Any) -> int:  # type: ignore[override]
        sent = super().sendto(data, address)
        self.counts["datagrams out"] += 1
        self.counts["bytes out"] += sent
        self.counts["longest"] = max(self.counts["longest"], sent)
        return sent


class MemberNode(Node):
    """`place` has the group's table and `size`, how many there are."""

    def __init__(
        self, place: Mapping[str, Any], policy_settings: PolicySettings, name: str, say: Say, book: Book
    ) -> None:
        self._tells, self._book = say, book
        self._size = int(place["size"])
        self._silent: set[str] = set()  # emptied by their words
        self._all_there = False
        self.traffic: Counter[str] = Counter()
        super().__init__(group_table(place), policy_settings, name, self._noted)

    def _bound(self) -> socket.socket:
        counted = CountedSocket(fileno=super()._bound().detach())
        counted.counts = self.traffic
        counted.setblocking(False)
        return counted

    async def _fetch(self, address: tuple[str, int]) -> None:
        self.traffic["streams"] += 1
        await super()._fetch(address)

    def _noted(self, line: str, **figures: Any) -> None:
        self._tells(line, **figures)
        if not line.startswith(SAYS):
            return
        what, of = line.removeprefix(SAYS), str(figures.get("of", ""))
        if what == "an order":
            self._book(f"order {figures['key']}", int(figures["at"]))
            return
        if what.startswith(("reaches", "shares", "stood still", "doubled", "no longer", "not believed")):
            self._book(what, 1)
            return
        if what in NOTED:
            self._book(f"{what} {of}", 1)
        (self._silent.add if what in SILENT else self._silent.discard)(of)
        there = not self._silent and self.swim is not None and len(self.swim.members) + 1 >= self._size
        if there != self._all_there:
            self._all_there = there
            self._book(ALL_THERE if there else NOT_ALL, 1)

    def order(self, backend: str, on: bool) -> int:
        """As by a call at its console: a ban, or its end. When it counts from, 0 where it was so already."""
        lines = self._orders.ban(backend, on, clock.now())
        if not lines and self._orders.banned(backend) != on:
            return 0
        self._host.reapply_filters(self, lines)
        self.spread(clock.now())
        self._wake()
        at = self._orders.bans[backend].at
        self._book(f"order {backend}", at)
        return at

    def cut_off(self) -> None:
        self._close()

    def kept(self) -> Counter[str]:
        """What it holds, by kind."""
        swim = self.swim
        if swim is None:
            return Counter()
        return Counter(
            {
                "members": len(swim.members),
                "orders": len(swim.broadcasts),
                "rumours": len(swim._gossip_queue),
                "awaited": len(swim._awaited),
                "relays": len(swim._relays),
                "owing": len(swim._urgent_pings),
                "rivals": len(swim._rivals),
                "packed words": len(swim._record_cache),
                "doubted": sum(one.health == SUSPECTED for one in swim.members),
            }
        )


def kinds_of(view: Mapping[str, Any]) -> Counter[str]:
    """What one member finds, by kind, from what it tells people (`Node.members`): others by how they are
    found, orders that are on, of how many it is one, and how far it reaches.
    """
    made: Counter[str] = Counter(str(row["found"]) for row in view["members"] if row["found"] != "itself")
    made["doubled"] = sum("doubled" in row["is"] for row in view["members"])
    # Parts of one answer each have them.
    made["orders on"] = len({(kind, key) for kind, key, on, _ in view["orders"] if on})
    made["share of"] = int(view["sharers"] or 0)
    made[f"reaches {view['reach']['word']}"] += 1
    return made


class Member(Protocol):
    """A hollow proxy, as these orders see it."""

    @property
    def on(self) -> bool: ...

    @property
    def node(self) -> MemberNode | None: ...

    async def leave(self) -> None: ...


class GroupOrders:
    """`members` by index; those of the process, changed by it as they come and go."""

    def __init__(self, members: Mapping[int, Any]) -> None:
        self._members: Mapping[int, Member] = members
        self._ended: Counter[str] = Counter()  # of those in whose place others stand now
        self._counted: Counter[str] = Counter()
        self._leaving: set[asyncio.Task[None]] = set()  # emptied as they have left

    def ended(self, node: MemberNode) -> None:
        self._ended.update(node.traffic)

    def _here(self, named: Iterable[int] | None = None) -> list[tuple[int, Member, MemberNode]]:
        """Those that run and are members, of the indices named; all where none are."""
        wanted = None if named is None else set(named)
        return [
            (index, one, one.node)
            for index, one in self._members.items()
            if one.on and one.node is not None and (wanted is None or index in wanted)
        ]

    async def does(self, order: dict[str, Any]) -> dict[str, Any]:
        """Raises KeyError where it is none."""
        known = {
            "finds": self.finds,
            "kinds": self.kinds,
            "traffic": self.traffic,
            "leave": self.leave,
            "order": self.order,
            "holds": self.holds,
            "there": self.there,
        }
        return await known[order["asked"]](order)

    async def leave(self, order: dict[str, Any]) -> dict[str, Any]:
        """Told to stop; not waited for."""
        for _, one, _ in self._here(order["indices"]):
            task = asyncio.get_running_loop().create_task(one.leave())
            self._leaving.add(task)
            task.add_done_callback(self._leaving.discard)
        return {"leaving": len(self._leaving)}

    async def order(self, order: dict[str, Any]) -> dict[str, Any]:
        at = [node.order(order["backend"], order["on"]) for _, _, node in self._here([order["index"]])]
        return {"at": max(at, default=0)}

    async def finds(self, order: dict[str, Any]) -> dict[str, Any]:
        """By how many, of how many, all of `names` but itself are found so."""
        names, how = order["names"], order["how"]
        finds = of = 0
        for number, (_, _, node) in enumerate(self._here(order.get("by"))):
            of += 1
            finds += node.swim is not None and all(
                (known := node.swim.members.get(name)) is not None
                and (GONE if known.record.phase == LEFT else HEALTH[known.health]) == how
                for name in names
                if name != node.swim.own_record.name
            )
            if number % 8 == 7:
                await asyncio.sleep(0)
        return {"finds": finds, "of": of}

    async def there(self, order: dict[str, Any]) -> dict[str, Any]:
        """How many find all others there, on the roll and alive; and how many reach how far, as one of how
        many.
        """
        made: Counter[str] = Counter()
        rows = self._here(order.get("by"))
        for number, (_, _, node) in enumerate(rows):
            swim = node.swim
            if swim is None:
                continue
            made["finds all"] += len(swim.members) + 1 >= order["size"] and not any(
                one.health != ALIVE or one.record.phase == LEFT or one.record.is_duplicate for one in swim.members
            )
            made["lost"] += sum(one.health == LOST and one.record.phase != LEFT for one in swim.members)
            # As it has said, and not as it would say at its next turn: that is in its books.
            made[f"reaches {swim._reported_reach}"] += 1
            made[f"share of {node.sharers}"] += 1
            if number % 8 == 7:
                await asyncio.sleep(0)
        return {"there": dict(made), "of": len(rows)}

    async def holds(self, order: dict[str, Any]) -> dict[str, Any]:
        """By how many of how many an order stands as it was given."""
        rows = self._here(order.get("by"))
        held = sum(
            node.swim is not None
            and (known := node.swim.broadcasts.get(BAN, order["backend"])) is not None
            and known.precedence >= (order["at"], order["on"])
            for _, _, node in rows
        )
        return {"holds": held, "of": len(rows)}

    async def kinds(self, order: dict[str, Any]) -> dict[str, Any]:
        """Sums of what they find and of what they hold."""
        finds: Counter[str] = Counter()
        kept: Counter[str] = Counter()
        rows = self._here(order.get("by"))
        for number, (_, _, node) in enumerate(rows):
            if order.get("finds") and (view := node.members()) is not None:
                finds.update(kinds_of(view))
            kept.update(node.kept())
            if number % 8 == 7:
                await asyncio.sleep(0)
        return {"finds": dict(finds), "kept": dict(kept), "of": len(rows)}

    async def traffic(self, order: dict[str, Any]) -> dict[str, Any]:
        """Of all here, since it was last asked for; the longest datagram ever."""
        now = Counter(self._ended)
        longest = now.pop("longest", 0)
        counts: Counter[str] = Counter()
        for one in self._members.values():
            if one.node is not None:
                now.update(one.node.traffic)
                longest = max(longest, one.node.traffic["longest"])
                if one.node.swim is not None:
                    counts.update(one.node.swim.counts)
        now.pop("longest", None)
        made, self._counted = now - self._counted, now
        return {"traffic": dict(made), "longest": longest, "counts": dict(counts)}
