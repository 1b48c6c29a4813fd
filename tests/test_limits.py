"""Limits applied before the breakers: rates, retry budgets, concurrency, and the fairness of the admission queue."""

from __future__ import annotations

import unittest
from random import Random

from pepperusher.limits.gate import FULL, ADMITTED, TOO_LATE, QUEUED, Gate, AdmissionRequest
from pepperusher.limits.gradient import Fixed, Gradient
from pepperusher.limits.rate import Bucket, Buckets, RetryBudget

from tests.scene import SECOND, TraceTestCase

MS = 1000


class Rates(unittest.TestCase):
    def test_a_bucket_gives_its_rate_and_says_when(self) -> None:
        bucket = Bucket(10.0, 3.0, 0)
        self.assertEqual([bucket.take(0) for _ in range(4)], [0, 0, 0, 100 * MS])
        self.assertEqual([bucket.take(now) for now in (99 * MS, 100 * MS, 100 * MS)], [1 * MS, 0, 100 * MS])
        self.assertEqual(sum(bucket.take(now) == 0 for now in range(SECOND, 11 * SECOND, 10 * MS)), 102)
        # Neither a clock that stands still nor a change of settings grants a new burst.
        bucket.change(10.0, 100.0)
        self.assertGreater(bucket.take(10 * SECOND), 0)

    def test_a_flood_of_names_shares_one_bucket_and_leaves_no_memory(self) -> None:
        buckets = Buckets(1.0, 1.0, max_buckets=50)
        self.assertEqual([buckets.take(f"c{number}", 0) for number in range(50)], [0] * 50)
        self.assertEqual(
            [buckets.take(f"x{number}", 0) == 0 for number in range(5)], [True, False, False, False, False]
        )
        self.assertEqual(len(buckets), 50)
        buckets.sweep(2 * SECOND)
        self.assertEqual(len(buckets), 0)
        self.assertEqual(buckets.take("c1", 2 * SECOND), 0)

    def test_retries_are_a_share_of_firsts_and_a_floor(self) -> None:
        budget = RetryBudget(0.2, 0.5, 10 * SECOND, 0)
        self.assertEqual([budget.try_retry(0) for _ in range(7)], [True] * 5 + [False] * 2)
        for _ in range(100):
            budget.record_first_attempt(SECOND)
        self.assertEqual(sum(budget.try_retry(SECOND) for _ in range(50)), 20)
        self.assertFalse(budget.try_retry(9 * SECOND))
        # Deposits and withdrawals expire after the span; only the minimum rate remains.
        self.assertEqual(sum(budget.try_retry(12 * SECOND) for _ in range(50)), 5)

    def test_a_retry_storm_is_held_to_its_share(self) -> None:
        rng, budget, retries = Random(2), RetryBudget(0.1, 1.0, 10 * SECOND, 0), 0
        for number in range(20_000):
            now = number * 10 * MS
            budget.record_first_attempt(now)
            while rng.random() < 0.9 and budget.try_retry(now):
                retries += 1
        self.assertLess(retries, 20_000 * 0.1 + 200 * 1.0 + 20)
        self.assertGreater(retries, 20_000 * 0.1)


class AtOnce(unittest.TestCase):
    def converge(self, limit: Gradient, servers: int, work: int, rounds: int = 4000) -> float:
        """Returns the limit that it converges to with `servers` that take `work` for each call; further calls only
        queue."""
        for _ in range(rounds):
            in_use = int(limit.limit)
            limit.record(round(work * max(1.0, in_use / servers)), in_use)
        return limit.limit

    def test_it_settles_a_little_over_what_the_servers_carry(self) -> None:
        for servers in (4, 20, 80):
            limit = Gradient(1, 1000, 10, 1.5)
            converged = self.converge(limit, servers, 50 * MS)
            self.assertGreater(converged, servers)
            self.assertLess(converged, 3 * servers + 20)

    def test_work_that_varies_does_not_hold_it_under_what_they_carry(self) -> None:
        """With exponentially distributed work the lowest short-term mean is far below the mean and is no usable
        measure."""
        for servers in (8, 40):
            rng, limit, below_capacity = Random(servers), Gradient(2, 1000, 10, 2.0), 0
            for number in range(20_000):
                in_use = int(limit.limit)
                limit.record(round(rng.expovariate(1.0) * 50 * MS * max(1.0, in_use / servers)) + 1, in_use)
                below_capacity += number > 2000 and limit._limit < servers
            self.assertLess(below_capacity / 18_000, 0.1, servers)
            self.assertLess(limit._limit, 5 * servers + 30)

    def test_it_gives_way_when_they_slow_and_comes_back(self) -> None:
        limit = Gradient(2, 1000, 20, 1.5)
        before = self.converge(limit, 40, 50 * MS)
        slowed = self.converge(limit, 40, 250 * MS, 60)
        self.assertLess(slowed, before / 2)
        self.assertGreater(self.converge(limit, 40, 50 * MS, 3000), 40)

    def test_it_stays_within_its_bounds_and_grows_only_where_it_is_used(self) -> None:
        limit = Gradient(5, 30, 20, 1.5)
        for _ in range(500):
            limit.record(50 * MS, 2)
        self.assertEqual(limit.limit, 20)
        for _ in range(500):
            limit.record(50 * MS, 30)
        self.assertEqual(limit.limit, 30)
        for _ in range(300):
            limit.record(5 * SECOND, 30)
        for _ in range(20):
            limit.record(100 * SECOND, 30)
        self.assertLess(limit.limit, 20)
        limit.change(5, 6, 1.5)
        self.assertLessEqual(limit.limit, 6)


class Gates(TraceTestCase):
    def enter(
        self, gate: Gate, customer: str, now: int = 0, deadline: int = 10 * SECOND, priority: int = 5
    ) -> AdmissionRequest:
        """Requests admission and prints the decision."""
        decision, ticket = gate.enter(customer, priority, now, deadline)
        name = f"{customer}{ticket.order}"
        ticket.on_decision = lambda decision: self.lines.append(f"  {name}: {decision}")
        self.lines.append(f"{name} {decision}; {gate.admitted_count} admitted, {gate.waiting} queued")
        return ticket

    def leave(self, gate: Gate, customer: str, now: int, duration: int = 100 * MS) -> None:
        """Releases a ticket of the customer."""
        self.lines.append(f"{customer} released")
        gate.release(customer, duration, True, now)

    def test_who_waits_who_goes_in_and_who_gives_way(self) -> None:
        """Two admitted and three queued at most; north weighs twice as much as the others."""
        self.lines = []
        gate = Gate(Fixed(2), 3, {"north": 2.0})
        for customer in ("north", "north", "east", "east", "north"):
            self.enter(gate, customer)
        self.lines.append("one more of east, which has most queued; then one of west")
        self.enter(gate, "east")
        self.enter(gate, "west")
        for now in (100, 200, 300):
            self.leave(gate, "north" if now < 300 else "east", now * MS)
        self.lines.append("one with priority, and one that cannot finish in time")
        self.enter(gate, "west", 300 * MS)
        self.enter(gate, "west", 300 * MS, priority=9)
        self.enter(gate, "east", 300 * MS, deadline=350 * MS)
        self.leave(gate, "west", 400 * MS)
        self.lines.append(f"dropped at 9.95 s: {gate.sweep(9950 * MS)}")
        self.compare_trace("limits_gate")

    def test_each_customer_gets_its_share_under_a_flood(self) -> None:
        """One customer sends ten times as much as the others together: each of the others is served completely."""
        gate, rng = Gate(Fixed(10), 40, {}), Random(4)
        served: dict[str, int] = {}
        requested: dict[str, int] = {}
        admitted: list[tuple[int, str]] = []

        def record_admitted(customer: str, now: int) -> None:
            admitted.append((now + 100 * MS, customer))
            served[customer] = served.get(customer, 0) + 1

        current_time = [0]
        for now in range(0, 20 * SECOND, 5 * MS):
            current_time[0] = now
            for ticket in [ticket for ticket in admitted if ticket[0] <= now]:
                admitted.remove(ticket)
                gate.release(ticket[1], 100 * MS, True, now)
            for customer, rate in (("flood", 500), ("a", 20), ("b", 20), ("c", 10)):
                if rng.random() < rate * 0.005 or customer == "flood" and now % (10 * MS) == 0:
                    requested[customer] = requested.get(customer, 0) + 1
                    decision, ticket = gate.enter(customer, 5, now, now + 2 * SECOND)
                    if decision == ADMITTED:
                        record_admitted(customer, now)
                    elif decision == QUEUED:
                        ticket.on_decision = lambda final_decision, customer=customer: (
                            record_admitted(customer, current_time[0]) if final_decision == ADMITTED else None
                        )
            gate.sweep(now)
            self.assertLessEqual(gate.admitted_count, 10)
            self.assertLessEqual(gate.waiting, 40)
        for customer in ("a", "b", "c"):
            self.assertGreater(served[customer] / requested[customer], 0.95, customer)
        # The flood gets the remaining capacity of ten tickets at a time, each of a tenth of a second.
        self.assertGreater(sum(served.values()), 0.95 * 20 * 100)
        self.assertLess(served["flood"], requested["flood"] / 2)

    def test_books_balance_over_long_histories(self) -> None:
        """In any order of events each ticket gets exactly one decision, none is left over, and the tables end empty."""
        for seed in range(30):
            rng = Random(seed)
            gate = Gate(Fixed(rng.randint(1, 5)), rng.randint(0, 6), {"a": rng.random() + 0.1})
            decisions: dict[int, list[str]] = {}
            waiting: dict[int, AdmissionRequest] = {}
            admitted: list[AdmissionRequest] = []

            def record(ticket: AdmissionRequest, decision: str) -> None:
                decisions.setdefault(ticket.order, []).append(decision)
                waiting.pop(ticket.order, None)
                if decision == ADMITTED:
                    admitted.append(ticket)

            now = 0
            for _ in range(2000):
                now += rng.randint(0, 20 * MS)
                action = rng.random()
                if action < 0.5:
                    decision, ticket = gate.enter(
                        rng.choice("abcd"), rng.randint(0, 9), now, now + rng.randint(1, 400 * MS)
                    )
                    if decision == QUEUED:
                        waiting[ticket.order] = ticket
                        ticket.on_decision = lambda decision, ticket=ticket: record(ticket, decision)
                    else:
                        decisions.setdefault(ticket.order, []).append(decision)
                        if decision == ADMITTED:
                            admitted.append(ticket)
                elif action < 0.85 and admitted:
                    ticket = admitted.pop(rng.randrange(len(admitted)))
                    gate.release(ticket.customer, rng.randint(1, 100 * MS), rng.random() < 0.9, now)
                elif action < 0.9 and waiting:
                    _, ticket = waiting.popitem()
                    gate.withdraw(ticket)
                    decisions.setdefault(ticket.order, []).append("left")
                elif action < 0.95:
                    gate.sweep(now)
                else:
                    gate.change(Fixed(rng.randint(1, 5)), rng.randint(0, 6), {"b": 2.0}, now)
                self.assertEqual((gate.admitted_count, gate.waiting), (len(admitted), len(waiting)))
            for ticket in list(waiting.values()):
                gate.withdraw(ticket)
            while admitted:
                ticket = admitted.pop()
                gate.release(ticket.customer, 1, True, now)
            self.assertEqual({len(decided) for decided in decisions.values()}, {1})
            self.assertEqual((gate.admitted_count, gate.waiting, gate._customers), (0, 0, {}))

    def test_no_queue_and_no_time(self) -> None:
        gate = Gate(Fixed(1), 0, {})
        self.assertEqual([gate.enter("a", 5, 0, SECOND)[0] for _ in range(2)], [ADMITTED, FULL])
        gate.release("a", 600 * MS, True, 600 * MS)
        gate.enter("a", 5, 600 * MS, 9 * SECOND)
        self.assertEqual(gate.enter("a", 5, 600 * MS, SECOND)[0], TOO_LATE)


if __name__ == "__main__":
    unittest.main()
