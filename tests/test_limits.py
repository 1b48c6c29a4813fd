"""Limits before the breakers: rates, budgets of retries, how many at once, who waits and who gives way."""

from __future__ import annotations

import unittest
from random import Random

from pepperusher.limits.gate import FULL, ADMITTED, TOO_LATE, QUEUED, Gate, Waiting
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
        # A clock that stands or a change of terms is no new burst.
        bucket.change(10.0, 100.0)
        self.assertGreater(bucket.take(10 * SECOND), 0)

    def test_a_flood_of_names_shares_one_bucket_and_leaves_no_memory(self) -> None:
        buckets = Buckets(1.0, 1.0, most=50)
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
        # What was put in and taken out is gone after the span, and what is left is the floor.
        self.assertEqual(sum(budget.try_retry(12 * SECOND) for _ in range(50)), 5)

    def test_a_retry_storm_is_held_to_its_share(self) -> None:
        chance, budget, furthers = Random(2), RetryBudget(0.1, 1.0, 10 * SECOND, 0), 0
        for number in range(20_000):
            now = number * 10 * MS
            budget.record_first_attempt(now)
            while chance.random() < 0.9 and budget.try_retry(now):
                furthers += 1
        self.assertLess(furthers, 20_000 * 0.1 + 200 * 1.0 + 20)
        self.assertGreater(furthers, 20_000 * 0.1)


class AtOnce(unittest.TestCase):
    def settled(self, limit: Gradient, servers: int, work: int, rounds: int = 4000) -> float:
        """What it settles at before `servers` that take `work` each: more at once only wait."""
        for _ in range(rounds):
            inside = int(limit.limit)
            limit.heard(round(work * max(1.0, inside / servers)), inside)
        return limit.limit

    def test_it_settles_a_little_over_what_the_servers_carry(self) -> None:
        for servers in (4, 20, 80):
            limit = Gradient(1, 1000, 10, 1.5)
            at = self.settled(limit, servers, 50 * MS)
            self.assertGreater(at, servers)
            self.assertLess(at, 3 * servers + 20)

    def test_work_that_varies_does_not_hold_it_under_what_they_carry(self) -> None:
        """Times as of exponential work: the least of their short means is far under their mean, and is no measure."""
        for servers in (8, 40):
            chance, limit, low = Random(servers), Gradient(2, 1000, 10, 2.0), 0
            for number in range(20_000):
                inside = int(limit.limit)
                limit.heard(round(chance.expovariate(1.0) * 50 * MS * max(1.0, inside / servers)) + 1, inside)
                low += number > 2000 and limit._limit < servers
            self.assertLess(low / 18_000, 0.1, servers)
            self.assertLess(limit._limit, 5 * servers + 30)

    def test_it_gives_way_when_they_slow_and_comes_back(self) -> None:
        limit = Gradient(2, 1000, 20, 1.5)
        before = self.settled(limit, 40, 50 * MS)
        slowed = self.settled(limit, 40, 250 * MS, 60)
        self.assertLess(slowed, before / 2)
        self.assertGreater(self.settled(limit, 40, 50 * MS, 3000), 40)

    def test_it_stays_within_its_bounds_and_grows_only_where_it_is_used(self) -> None:
        limit = Gradient(5, 30, 20, 1.5)
        for _ in range(500):
            limit.heard(50 * MS, 2)
        self.assertEqual(limit.limit, 20)
        for _ in range(500):
            limit.heard(50 * MS, 30)
        self.assertEqual(limit.limit, 30)
        for _ in range(300):
            limit.heard(5 * SECOND, 30)
        for _ in range(20):
            limit.heard(100 * SECOND, 30)
        self.assertLess(limit.limit, 20)
        limit.change(5, 6, 1.5)
        self.assertLessEqual(limit.limit, 6)


class Gates(TraceTestCase):
    def enter(self, gate: Gate, customer: str, now: int = 0, until: int = 10 * SECOND, priority: int = 5) -> Waiting:
        how, one = gate.enter(customer, priority, now, until)
        name = f"{customer}{one.order}"
        one.on_decision = lambda how: self.lines.append(f"  {name} told {how}")
        self.lines.append(f"{name} {how}; {gate.admitted_count} in, {gate.waiting} wait")
        return one

    def leave(self, gate: Gate, customer: str, now: int, took: int = 100 * MS) -> None:
        self.lines.append(f"{customer} leaves")
        gate.release(customer, took, True, now)

    def test_who_waits_who_goes_in_and_who_gives_way(self) -> None:
        """Two at once and three that wait; north weighs twice as much as the others."""
        self.lines = []
        gate = Gate(Fixed(2), 3, {"north": 2.0})
        for customer in ("north", "north", "east", "east", "north"):
            self.enter(gate, customer)
        self.lines.append("one more of east's, which has most waiting; then one of west's")
        self.enter(gate, "east")
        self.enter(gate, "west")
        for now in (100, 200, 300):
            self.leave(gate, "north" if now < 300 else "east", now * MS)
        self.lines.append("one with priority, and one that can't be in time")
        self.enter(gate, "west", 300 * MS)
        self.enter(gate, "west", 300 * MS, priority=9)
        self.enter(gate, "east", 300 * MS, until=350 * MS)
        self.leave(gate, "west", 400 * MS)
        self.lines.append(f"swept at 9.95 s: {gate.sweep(9950 * MS)}")
        self.compare_trace("limits_gate")

    def test_each_customer_gets_its_share_under_a_flood(self) -> None:
        """One sends ten times as much as the others together: each of them is served all that it asks."""
        gate, chance = Gate(Fixed(10), 40, {}), Random(4)
        served: dict[str, int] = {}
        asked: dict[str, int] = {}
        inside: list[tuple[int, str]] = []

        def taken(customer: str, now: int) -> None:
            inside.append((now + 100 * MS, customer))
            served[customer] = served.get(customer, 0) + 1

        now_is = [0]
        for now in range(0, 20 * SECOND, 5 * MS):
            now_is[0] = now
            for one in [one for one in inside if one[0] <= now]:
                inside.remove(one)
                gate.release(one[1], 100 * MS, True, now)
            for customer, rate in (("flood", 500), ("a", 20), ("b", 20), ("c", 10)):
                if chance.random() < rate * 0.005 or customer == "flood" and now % (10 * MS) == 0:
                    asked[customer] = asked.get(customer, 0) + 1
                    how, one = gate.enter(customer, 5, now, now + 2 * SECOND)
                    if how == ADMITTED:
                        taken(customer, now)
                    elif how == QUEUED:
                        one.on_decision = lambda told, customer=customer: (
                            taken(customer, now_is[0]) if told == ADMITTED else None
                        )
            gate.sweep(now)
            self.assertLessEqual(gate.admitted_count, 10)
            self.assertLessEqual(gate.waiting, 40)
        for customer in ("a", "b", "c"):
            self.assertGreater(served[customer] / asked[customer], 0.95, customer)
        # The rest of what ten at a tenth of a second carry is the flood's.
        self.assertGreater(sum(served.values()), 0.95 * 20 * 100)
        self.assertLess(served["flood"], asked["flood"] / 2)

    def test_books_balance_over_long_histories(self) -> None:
        """Whatever comes in whatever order: everyone is told once, nobody is left, tables empty."""
        for seed in range(30):
            chance = Random(seed)
            gate = Gate(Fixed(chance.randint(1, 5)), chance.randint(0, 6), {"a": chance.random() + 0.1})
            told: dict[int, list[str]] = {}
            waiting: dict[int, Waiting] = {}
            inside: list[Waiting] = []

            def tell(one: Waiting, how: str) -> None:
                told.setdefault(one.order, []).append(how)
                waiting.pop(one.order, None)
                if how == ADMITTED:
                    inside.append(one)

            now = 0
            for _ in range(2000):
                now += chance.randint(0, 20 * MS)
                turn = chance.random()
                if turn < 0.5:
                    how, one = gate.enter(
                        chance.choice("abcd"), chance.randint(0, 9), now, now + chance.randint(1, 400 * MS)
                    )
                    if how == QUEUED:
                        waiting[one.order] = one
                        one.on_decision = lambda how, one=one: tell(one, how)
                    else:
                        told.setdefault(one.order, []).append(how)
                        if how == ADMITTED:
                            inside.append(one)
                elif turn < 0.85 and inside:
                    one = inside.pop(chance.randrange(len(inside)))
                    gate.release(one.customer, chance.randint(1, 100 * MS), chance.random() < 0.9, now)
                elif turn < 0.9 and waiting:
                    _, one = waiting.popitem()
                    gate.withdraw(one)
                    told.setdefault(one.order, []).append("left")
                elif turn < 0.95:
                    gate.sweep(now)
                else:
                    gate.change(Fixed(chance.randint(1, 5)), chance.randint(0, 6), {"b": 2.0}, now)
                self.assertEqual((gate.admitted_count, gate.waiting), (len(inside), len(waiting)))
            for one in list(waiting.values()):
                gate.withdraw(one)
            while inside:
                one = inside.pop()
                gate.release(one.customer, 1, True, now)
            self.assertEqual({len(words) for words in told.values()}, {1})
            self.assertEqual((gate.admitted_count, gate.waiting, gate._shares), (0, 0, {}))

    def test_no_queue_and_no_time(self) -> None:
        gate = Gate(Fixed(1), 0, {})
        self.assertEqual([gate.enter("a", 5, 0, SECOND)[0] for _ in range(2)], [ADMITTED, FULL])
        gate.release("a", 600 * MS, True, 600 * MS)
        gate.enter("a", 5, 600 * MS, 9 * SECOND)
        self.assertEqual(gate.enter("a", 5, 600 * MS, SECOND)[0], TOO_LATE)


if __name__ == "__main__":
    unittest.main()
