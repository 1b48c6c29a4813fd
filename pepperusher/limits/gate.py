"""Admission control of a route: a concurrency limit and a bounded queue, shared fairly among customers; free of I/O.

A ticket is admitted while there is room. Otherwise it is queued if it can still finish in time. The next ticket to be
admitted belongs to the customer with the fewest admitted tickets for its weight (max-min fairness); within that
customer the order is priority, then arrival. A full queue drops the last ticket of the customer with the most queued
tickets for its weight, even if that is the new one. A ticket that can no longer finish in time is dropped as soon as
that is known, not when its deadline passes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from pepperusher.limits.gradient import Fixed, Gradient

# The mean service time of admitted tickets follows about this many completions; it tells which tickets can finish in
# time.
SERVICE_TIME_SAMPLES = 32
# Results of admission. Customers without admitted or queued tickets are removed at once, so there are never more of
# them than tickets.
ADMITTED, QUEUED, FULL, TOO_LATE = "in", "waits", "full", "late"


class AdmissionRequest:
    """A ticket that requests admission. If it was queued, `on_decision` is called once with ADMITTED, FULL or
    TOO_LATE."""

    __slots__ = ("customer", "priority", "arrived_at", "deadline", "order", "on_decision")

    def __init__(self, customer: str, priority: int, arrived_at: int, deadline: int, order: int) -> None:
        self.customer = customer
        self.priority = priority
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.order = order  # of arrival
        self.on_decision: Callable[[str], Any] | None = None


class _CustomerQueue:
    """The admitted and queued tickets of one customer."""

    __slots__ = ("weight", "admitted_count", "queue")

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.admitted_count = 0
        self.queue: list[AdmissionRequest] = []  # by priority, then arrival


class Gate:
    """Admission control of one route. `weights` is by customer, 1 for customers that it does not name.

    A change of settings keeps the admitted and the queued tickets.
    """

    def __init__(self, limit: Gradient | Fixed, max_waiting: int, weights: dict[str, float]) -> None:
        self._limit = limit
        self._max_waiting = max_waiting
        self._weights = weights
        self._customers: dict[str, _CustomerQueue] = {}  # only customers with admitted or queued tickets
        self._order = 0
        self._mean_service_time = 0.0
        self.admitted_count = 0
        self.waiting = 0  # number of queued tickets

    @property
    def limit(self) -> int:
        """The current concurrency limit."""
        return max(1, int(self._limit.limit))

    @property
    def adaptive(self) -> Gradient | None:
        """The limit, if it is adaptive."""
        return self._limit if isinstance(self._limit, Gradient) else None

    @property
    def mean_service_time(self) -> int:
        """Recent mean time from admission to release (us)."""
        return int(self._mean_service_time)

    def change(self, limit: Gradient | Fixed, max_waiting: int, weights: dict[str, float], now: int) -> None:
        """Applies new settings. If the limit is lowered, admitted tickets continue and no new ones are admitted until
        enough of them have been released."""
        self._limit, self._max_waiting, self._weights = limit, max_waiting, weights
        for name, customer in self._customers.items():
            customer.weight = self._weight(name)
        while self.waiting > self._max_waiting:
            self._drop_last(FULL)
        self._admit_queued(now)

    def _weight(self, customer: str) -> float:
        """Returns the customer's weight; it is never 0."""
        return max(1e-6, self._weights.get(customer, 1.0))

    def _customer_queue(self, customer: str) -> _CustomerQueue:
        """Returns the customer's entry, created if needed."""
        found = self._customers.get(customer)
        if found is None:
            found = self._customers[customer] = _CustomerQueue(self._weight(customer))
        return found

    def _remove_if_idle(self, customer: str) -> None:
        """Removes the customer's entry if it has neither admitted nor queued tickets."""
        found = self._customers.get(customer)
        if found is not None and not found.admitted_count and not found.queue:
            del self._customers[customer]

    def enter(self, customer: str, priority: int, now: int, deadline: int) -> tuple[str, AdmissionRequest]:
        """Returns ADMITTED, QUEUED (`on_decision` is called later), FULL, or TOO_LATE if the ticket could not finish
        in time."""
        self._order += 1
        ticket = AdmissionRequest(customer, priority, now, deadline, self._order)
        if self.admitted_count < self.limit and not self.waiting:
            self._admit(ticket)
            return ADMITTED, ticket
        if now + self._expected_wait(customer) + self._mean_service_time >= deadline:
            return TOO_LATE, ticket
        if self._max_waiting <= 0:
            return FULL, ticket
        found = self._customer_queue(customer)
        found.queue.append(ticket)
        found.queue.sort(key=lambda other: (-other.priority, other.order))
        self.waiting += 1
        if self.waiting > self._max_waiting and self._drop_last(FULL) is ticket:
            return FULL, ticket
        return QUEUED, ticket

    def _expected_wait(self, customer: str) -> float:
        """Estimates the queueing time of one more ticket of this customer, from its share of the limit and the recent
        mean service time."""
        found = self._customers.get(customer)
        if found is None or not found.queue:
            ahead = 0
        else:
            ahead = len(found.queue)
        weights = sum(other.weight for other in self._customers.values()) + (0 if found else self._weight(customer))
        fraction = max(1e-6, (found.weight if found else self._weight(customer)) / weights)
        return self._mean_service_time * (ahead + 0.5) / max(1.0, self.limit * fraction)

    def _admit(self, ticket: AdmissionRequest) -> None:
        self._customer_queue(ticket.customer).admitted_count += 1
        self.admitted_count += 1

    def release(self, customer: str, duration: int, worked: bool, now: int) -> None:
        """Releases an admitted ticket. `worked` is set if its duration reflects the backends: it succeeded, failed or
        timed out."""
        found = self._customers[customer]
        found.admitted_count -= 1
        if worked:
            self._limit.record(duration, self.admitted_count)
            self._mean_service_time += (
                (duration - self._mean_service_time) / SERVICE_TIME_SAMPLES if self._mean_service_time else duration
            )
        self.admitted_count -= 1
        self._remove_if_idle(customer)
        self._admit_queued(now)

    def withdraw(self, ticket: AdmissionRequest) -> None:
        """Removes a queued ticket whose client disconnected or whose deadline passed."""
        found = self._customers.get(ticket.customer)
        if found is not None and ticket in found.queue:
            found.queue.remove(ticket)
            self.waiting -= 1
            self._remove_if_idle(ticket.customer)

    def _admit_queued(self, now: int) -> None:
        """Admits queued tickets while there is room, and drops those that can no longer finish in time."""
        while self.waiting and self.admitted_count < self.limit:
            name, customer = min(
                ((name, customer) for name, customer in self._customers.items() if customer.queue),
                key=lambda pair: (pair[1].admitted_count / pair[1].weight, pair[1].queue[0].order),
            )
            ticket = customer.queue.pop(0)
            self.waiting -= 1
            if now + self._mean_service_time >= ticket.deadline:
                self._remove_if_idle(name)
                self._notify(ticket, TOO_LATE)
                continue
            self._admit(ticket)
            self._notify(ticket, ADMITTED)

    def _drop_last(self, decision: str) -> AdmissionRequest:
        """Drops the last queued ticket of the customer with the most queued tickets for its weight."""
        name, customer = max(
            ((name, customer) for name, customer in self._customers.items() if customer.queue),
            key=lambda pair: (len(pair[1].queue) / pair[1].weight, pair[1].queue[-1].order),
        )
        ticket = customer.queue.pop()
        self.waiting -= 1
        self._remove_if_idle(name)
        self._notify(ticket, decision)
        return ticket

    @staticmethod
    def _notify(ticket: AdmissionRequest, decision: str) -> None:
        if ticket.on_decision is not None:
            ticket.on_decision(decision)

    def limit_deadlines(self, latest: int) -> None:
        """Limits the deadlines of all queued tickets."""
        for customer in self._customers.values():
            for ticket in customer.queue:
                ticket.deadline = min(ticket.deadline, latest)

    def sweep(self, now: int) -> int:
        """Drops queued tickets that can no longer finish in time, and returns how many."""
        late = [
            ticket
            for customer in self._customers.values()
            for ticket in customer.queue
            if now + self._mean_service_time >= ticket.deadline
        ]
        for ticket in late:
            self.withdraw(ticket)
            self._notify(ticket, TOO_LATE)
        return len(late)
