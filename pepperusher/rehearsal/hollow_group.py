"""Group membership of hollow proxies: the real group node with its sockets. Its traffic is counted and its
observations are recorded.

Only runs with a group import this module. `GroupOrders` handles the orders to the members in one process.
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
RecordObservation = Callable[[str, int], None]  # the observation and its version
LOG_PREFIX = "group: "
# Observations: all other members are alive, or no longer all are.
ALL_ALIVE, NOT_ALL_ALIVE = "all there", "not all there"
GONE = "gone"
SILENT_EVENTS = ("suspected", "lost")
# Log events that are recorded with the name of the member they concern. Events that occur for every pair of
# members, such as "met", are left out: their number grows with the square of the group size.
RECORDED_EVENTS = (*SILENT_EVENTS, "heard of again", "left", "clients sent away", "a new life")


def group_table(place: Mapping[str, Any]) -> Group:
    """The group table that a complete proxy reads from its configuration."""
    return Group(
        listen=place["listen"],
        advertise=place.get("advertise"),
        seeds=list(place["seeds"]),
        key=place["key"],
        period=Span(place["period"]),
        within=Span(place["within"]),
    )


class CountedSocket(socket.socket):
    """A UDP socket that counts its datagrams and bytes."""

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
    """The group node of a hollow proxy. `place` has the fields of the group table, and `size` for the group size."""

    def __init__(
        self, place: Mapping[str, Any], policy_settings: PolicySettings, name: str, say: Say, record: RecordObservation
    ) -> None:
        self._forward_event, self._record_observation = say, record
        self._size = int(place["size"])
        self._silent_members: set[str] = set()  # members found suspected or lost, until a message from them
        self._all_alive = False
        self.traffic: Counter[str] = Counter()
        super().__init__(group_table(place), policy_settings, name, self._handle_event)

    def _bound(self) -> socket.socket:
        counted = CountedSocket(fileno=super()._bound().detach())
        counted.counts = self.traffic
        counted.setblocking(False)
        return counted

    async def _fetch(self, address: tuple[str, int]) -> None:
        self.traffic["streams"] += 1
        await super()._fetch(address)

    def _handle_event(self, line: str, **figures: Any) -> None:
        self._forward_event(line, **figures)
        if not line.startswith(LOG_PREFIX):
            return
        event, member = line.removeprefix(LOG_PREFIX), str(figures.get("of", ""))
        if event == "an order":
            self._record_observation(f"order {figures['key']}", int(figures["at"]))
            return
        if event.startswith(("reaches", "shares", "stood still", "doubled", "no longer", "not believed")):
            self._record_observation(event, 1)
            return
        if event in RECORDED_EVENTS:
            self._record_observation(f"{event} {member}", 1)
        (self._silent_members.add if event in SILENT_EVENTS else self._silent_members.discard)(member)
        all_alive = not self._silent_members and self.swim is not None and len(self.swim.members) + 1 >= self._size
        if all_alive != self._all_alive:
            self._all_alive = all_alive
            self._record_observation(ALL_ALIVE if all_alive else NOT_ALL_ALIVE, 1)

    def order(self, backend: str, on: bool) -> int:
        """Sets or lifts a ban, like a call at the console. Returns the time of the ban order (us of Unix time), or 0 if
        nothing changed.
        """
        lines = self._orders.ban(backend, on, clock.now())
        if not lines and self._orders.banned(backend) != on:
            return 0
        self._host.reapply_filters(self, lines)
        self.spread(clock.now())
        self._wake()
        ordered_at = self._orders.bans[backend].at
        self._record_observation(f"order {backend}", ordered_at)
        return ordered_at

    def cut_off(self) -> None:
        self._close()

    def state_counts(self) -> Counter[str]:
        """The number of items in its membership state, by kind."""
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
                "doubted": sum(member.health == SUSPECTED for member in swim.members),
            }
        )


def count_view(view: Mapping[str, Any]) -> Counter[str]:
    """Counts one member's view (`Node.members`) by kind: the other members by health, active orders, the number of
    members that share the limits, and whether the member reaches a majority.
    """
    counts: Counter[str] = Counter(str(row["found"]) for row in view["members"] if row["found"] != "itself")
    counts["doubled"] = sum("doubled" in row["is"] for row in view["members"])
    # Each part of a split answer repeats the orders, so the set removes duplicates.
    counts["orders on"] = len({(order_kind, key) for order_kind, key, on, _ in view["orders"] if on})
    counts["share of"] = int(view["sharers"] or 0)
    counts[f"reaches {view['reach']['word']}"] += 1
    return counts


class Member(Protocol):
    """The part of a hollow proxy that the orders use."""

    @property
    def running(self) -> bool: ...

    @property
    def node(self) -> MemberNode | None: ...

    async def leave(self) -> None: ...


class GroupOrders:
    """Handles the group orders of a process. `members` are its proxies by index; the process updates this mapping."""

    def __init__(self, members: Mapping[int, Any]) -> None:
        self._members: Mapping[int, Member] = members
        self._replaced_traffic: Counter[str] = Counter()  # traffic of replaced members
        self._reported_traffic: Counter[str] = Counter()
        self._leaving: set[asyncio.Task[None]] = set()  # tasks of the members that are leaving

    def ended(self, node: MemberNode) -> None:
        self._replaced_traffic.update(node.traffic)

    def _local_members(self, indices: Iterable[int] | None = None) -> list[tuple[int, Member, MemberNode]]:
        """The running proxies of the process that are group members, limited to the indices in `named` if given."""
        wanted = None if indices is None else set(indices)
        return [
            (index, member, member.node)
            for index, member in self._members.items()
            if member.running and member.node is not None and (wanted is None or index in wanted)
        ]

    async def handle(self, order: dict[str, Any]) -> dict[str, Any]:
        """Handles an order. Raises KeyError if it is unknown."""
        handlers = {
            "finds": self.finds,
            "kinds": self.kinds,
            "traffic": self.traffic,
            "leave": self.leave,
            "order": self.order,
            "holds": self.holds,
            "there": self.there,
        }
        return await handlers[order["asked"]](order)

    async def leave(self, order: dict[str, Any]) -> dict[str, Any]:
        """Starts the shutdown of these members and does not wait for its end."""
        for _, member, _ in self._local_members(order["indices"]):
            task = asyncio.get_running_loop().create_task(member.leave())
            self._leaving.add(task)
            task.add_done_callback(self._leaving.discard)
        return {"leaving": len(self._leaving)}

    async def order(self, order: dict[str, Any]) -> dict[str, Any]:
        order_times = [
            node.order(order["backend"], order["on"]) for _, _, node in self._local_members([order["index"]])
        ]
        return {"at": max(order_times, default=0)}

    async def finds(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts the members whose view of every member in `names`, except themselves, is `how`."""
        names, state = order["names"], order["how"]
        matching = total = 0
        for number, (_, _, node) in enumerate(self._local_members(order.get("by"))):
            total += 1
            matching += node.swim is not None and all(
                (known := node.swim.members.get(name)) is not None
                and (GONE if known.record.phase == LEFT else HEALTH[known.health]) == state
                for name in names
                if name != node.swim.own_record.name
            )
            if number % 8 == 7:
                await asyncio.sleep(0)
        return {"finds": matching, "of": total}

    async def there(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts the members that find all others alive, and the members by reach and by number of sharers."""
        counts: Counter[str] = Counter()
        rows = self._local_members(order.get("by"))
        for number, (_, _, node) in enumerate(rows):
            swim = node.swim
            if swim is None:
                continue
            counts["finds all"] += len(swim.members) + 1 >= order["size"] and not any(
                member.health != ALIVE or member.record.phase == LEFT or member.record.is_duplicate
                for member in swim.members
            )
            counts["lost"] += sum(member.health == LOST and member.record.phase != LEFT for member in swim.members)
            # The reach that the member announced last. Changes since then are in its recorded observations.
            counts[f"reaches {swim._reported_reach}"] += 1
            counts[f"share of {node.sharers}"] += 1
            if number % 8 == 7:
                await asyncio.sleep(0)
        return {"there": dict(counts), "of": len(rows)}

    async def holds(self, order: dict[str, Any]) -> dict[str, Any]:
        """Counts the members that have this ban order or a newer one."""
        rows = self._local_members(order.get("by"))
        holding = sum(
            node.swim is not None
            and (known := node.swim.broadcasts.get(BAN, order["backend"])) is not None
            and known.precedence >= (order["at"], order["on"])
            for _, _, node in rows
        )
        return {"holds": holding, "of": len(rows)}

    async def kinds(self, order: dict[str, Any]) -> dict[str, Any]:
        """Sums the views and the membership state of the members, by kind."""
        finds: Counter[str] = Counter()
        state_counts: Counter[str] = Counter()
        rows = self._local_members(order.get("by"))
        for number, (_, _, node) in enumerate(rows):
            if order.get("finds") and (view := node.members()) is not None:
                finds.update(count_view(view))
            state_counts.update(node.state_counts())
            if number % 8 == 7:
                await asyncio.sleep(0)
        return {"finds": dict(finds), "kept": dict(state_counts), "of": len(rows)}

    async def traffic(self, order: dict[str, Any]) -> dict[str, Any]:
        """Traffic of all members here since the last report, and the longest datagram since the start."""
        total = Counter(self._replaced_traffic)
        longest = total.pop("longest", 0)
        counts: Counter[str] = Counter()
        for member in self._members.values():
            if member.node is not None:
                total.update(member.node.traffic)
                longest = max(longest, member.node.traffic["longest"])
                if member.node.swim is not None:
                    counts.update(member.node.swim.counts)
        total.pop("longest", None)
        traffic, self._reported_traffic = total - self._reported_traffic, total
        return {"traffic": dict(traffic), "longest": longest, "counts": dict(counts)}
