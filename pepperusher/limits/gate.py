"""Who is let in: so many at once, a bounded queue beyond that, shared fairly among customers; free of I/O.

While there is room a ticket goes in. Else it waits, if it can still be in time, and gives way to nobody but
by share: the next to go in is of the customer who has least in hand for its weight (max-min fairness), the
first of that customer's by priority and then by coming. A full queue drops the last of whoever has most
waiting for its weight, be it the newcomer. What can no longer be in time is dropped as soon as that is known,
not when its time is up.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pepperusher.limits.gradient import Fixed, Gradient

# Times taken by those let in, for what can be in time: a mean that follows the last some dozen.
USUAL = 32
# Customers with nothing in hand and nothing waiting are forgotten at once; others are as many as tickets in
# hand.
ADMITTED, QUEUED, FULL, TOO_LATE = "in", "waits", "full", "late"


class Waiting:
    """A ticket at the gate. `on_decision` is called once with ADMITTED, FULL or TOO_LATE if it had to wait."""

    __slots__ = ("customer", "priority", "arrived_at", "deadline", "order", "on_decision")

    def __init__(self, customer: str, priority: int, arrived_at: int, deadline: int, order: int) -> None:
        self.customer = customer
        self.priority = priority
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.order = order
        self.on_decision: Callable[[str], Any] | None = None


class _Share:
    """One customer here."""

    __slots__ = ("weight", "admitted_count", "queue")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.admitted_count = 0
        self.queue: list[Waiting] = []  # by priority, then coming; emptied as they go in or are dropped


class Gate:
    """One route's gate. `weights` by customer, 1 for others. A change of terms keeps who is inside and who
    waits."""

    def __init__(self, limit: Gradient | Fixed, queue: int, weights: dict[str, float]) -> None:
        self._limit = limit
        self._most_waiting = queue
        self._weights = weights
        self._shares: dict[str, _Share] = {}  # emptied as customers have nothing here
        self._order = 0
        self._usual = 0.0
        self.admitted_count = 0
        self.waiting = 0

    @property
    def limit(self) -> int:
        return max(1, int(self._limit.limit))

    @property
    def adaptive(self) -> Gradient | None:
        """The limit, where it is one that follows."""
        return self._limit if isinstance(self._limit, Gradient) else None

    @property
    def mean_service_time(self) -> int:
        """How long one that was let in takes lately (us)."""
        return int(self._usual)

    def change(self, limit: Gradient | Fixed, queue: int, weights: dict[str, float], now: int) -> None:
        """Other terms. A limit that became less lets none go, and waits for those inside to leave."""
        self._limit, self._most_waiting, self._weights = limit, queue, weights
        for name, share in self._shares.items():
            share.weight = self._weight(name)
        while self.waiting > self._most_waiting:
            self._drop_last(FULL)
        self._let_in(now)

    def _weight(self, customer: str) -> float:
        return max(1e-6, self._weights.get(customer, 1.0))

    def _share(self, customer: str) -> _Share:
        share = self._shares.get(customer)
        if share is None:
            share = self._shares[customer] = _Share(self._weight(customer))
        return share

    def _tidy(self, customer: str) -> None:
        share = self._shares.get(customer)
        if share is not None and not share.admitted_count and not share.queue:
            del self._shares[customer]

    def enter(self, customer: str, priority: int, now: int, until: int) -> tuple[str, Waiting]:
        """ADMITTED, QUEUED (then `on_decision` is told), FULL, or TOO_LATE: it could not be in time."""
        self._order += 1
        one = Waiting(customer, priority, now, until, self._order)
        if self.admitted_count < self.limit and not self.waiting:
            self._take(one)
            return ADMITTED, one
        if now + self._wait_of(customer) + self._usual >= until:
            return TOO_LATE, one
        if self._most_waiting <= 0:
            return FULL, one
        share = self._share(customer)
        share.queue.append(one)
        share.queue.sort(key=lambda other: (-other.priority, other.order))
        self.waiting += 1
        if self.waiting > self._most_waiting and self._drop_last(FULL) is one:
            return FULL, one
        return QUEUED, one

    def _wait_of(self, customer: str) -> float:
        """How long one more of this customer's would wait, if all inside took as long as lately: its share of
        the places comes free in turn."""
        share = self._shares.get(customer)
        if share is None or not share.queue:
            ahead = 0
        else:
            ahead = len(share.queue)
        weights = sum(one.weight for one in self._shares.values()) + (0 if share else self._weight(customer))
        part = max(1e-6, (share.weight if share else self._weight(customer)) / weights)
        return self._usual * (ahead + 0.5) / max(1.0, self.limit * part)

    def _take(self, one: Waiting) -> None:
        self._share(one.customer).admitted_count += 1
        self.admitted_count += 1

    def release(self, customer: str, took: int, worked: bool, now: int) -> None:
        """One that was in is over. `worked` where its time tells of the servers: done, failed or timed
        out."""
        share = self._shares[customer]
        share.admitted_count -= 1
        if worked:
            self._limit.heard(took, self.admitted_count)
            self._usual += (took - self._usual) / USUAL if self._usual else took
        self.admitted_count -= 1
        self._tidy(customer)
        self._let_in(now)

    def withdraw(self, one: Waiting) -> None:
        """Its client left, or its time is over: it waits no more."""
        share = self._shares.get(one.customer)
        if share is not None and one in share.queue:
            share.queue.remove(one)
            self.waiting -= 1
            self._tidy(one.customer)

    def _let_in(self, now: int) -> None:
        while self.waiting and self.admitted_count < self.limit:
            name, share = min(
                ((name, share) for name, share in self._shares.items() if share.queue),
                key=lambda pair: (pair[1].admitted_count / pair[1].weight, pair[1].queue[0].order),
            )
            one = share.queue.pop(0)
            self.waiting -= 1
            if now + self._usual >= one.deadline:
                self._tidy(name)
                self._told(one, TOO_LATE)
                continue
            self._take(one)
            self._told(one, ADMITTED)

    def _drop_last(self, why: str) -> Waiting:
        """Of whoever has most waiting for its weight, the last."""
        name, share = max(
            ((name, share) for name, share in self._shares.items() if share.queue),
            key=lambda pair: (len(pair[1].queue) / pair[1].weight, pair[1].queue[-1].order),
        )
        one = share.queue.pop()
        self.waiting -= 1
        self._tidy(name)
        self._told(one, why)
        return one

    @staticmethod
    def _told(one: Waiting, how: str) -> None:
        if one.on_decision is not None:
            one.on_decision(how)

    def limit_deadlines(self, latest: int) -> None:
        """Who waits is to be in and over by then, or is late."""
        for share in self._shares.values():
            for one in share.queue:
                one.deadline = min(one.deadline, latest)

    def sweep(self, now: int) -> int:
        """Drops those that can no longer be in time; how many."""
        late = [one for share in self._shares.values() for one in share.queue if now + self._usual >= one.deadline]
        for one in late:
            self.withdraw(one)
            self._told(one, TOO_LATE)
        return len(late)
