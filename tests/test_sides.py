"""A proxy beside its client, and backends in two locations: which of them it asks, and when it goes across."""

from __future__ import annotations

from collections import Counter

from pepperusher import terms
from pepperusher.policy import Balancer
from pepperusher.terms import BOUNCE, DONE, ERROR, SCRAP, TIMED_OUT, Backend, Customer, Listing, UseCase

from tests.scene import SECOND, BalancerTestCase, policy_settings

HERE, THERE = "here", "there"


def listed(here: int, there: int, weight: float = 1.0, told: dict[str, Backend] | None = None) -> list[Listing]:
    lines = []
    for zone, count in ((HERE, here), (THERE, there)):
        for one in range(count):
            name = f"{zone}{one:03}"
            backend = Backend(name) if told is None else told.setdefault(name, Backend(name))
            lines.append(Listing(backend, zone, 1, weight, 0, True))
    return lines


class Sides(BalancerTestCase):
    def two(self, here: int, there: int, **changes: object) -> None:
        self.open(zones=[HERE, THERE], zone=HERE, **changes)
        lines = listed(here, there)
        self.backends = {line.backend.address: line.backend for line in lines}
        self.balancer.update_endpoints(lines, True, self.now)

    def where_to(self, times: int, use: str = "look") -> Counter[str]:
        went: Counter[str] = Counter()
        for _ in range(times):
            ticket = self.ticket(use)
            picked = self.where(ticket, True)
            went[picked.zone if isinstance(picked, Backend) else "refused"] += 1
            if isinstance(picked, Backend):
                self.after(ticket, DONE, 0.1, quiet=True)
        return went

    def test_what_the_own_location_refuses_goes_across(self) -> None:
        """One location was full of tickets and refused them while the other's cores stood idle."""
        self.two(4, 4)
        self.assertEqual(self.where_to(40)[HERE], 40)
        for name, backend in self.backends.items():
            backend.in_flight += 30 * name.startswith(HERE)
        for _ in range(20):  # the mean of what is held takes some tickets to rise
            self.where(self.ticket(), True)
        went = Counter(
            picked.zone if isinstance(picked := self.where(self.ticket(), True), Backend) else "refused"
            for _ in range(6)
        )
        self.assertEqual((went[HERE], went["refused"]), (0, 0), went)

    def test_a_small_location_is_first_for_its_part_alone(self) -> None:
        self.two(2, 14)
        went = self.where_to(400)
        # It has an eighth of the weights and half of the proxies: it carries a fourth of their tickets.
        self.assertTrue(60 <= went[HERE] <= 140, went)

    def test_a_location_that_empties_is_left_out(self) -> None:
        """With many proxies the ring of an empty location was cut all the same: an IndexError on each change of the list."""
        self.two(3, 3, group_size=300)
        gone = [
            Listing(backend, HERE, 1, 1.0, 0, False) for name, backend in self.backends.items() if name.startswith(HERE)
        ]
        self.balancer.update_endpoints(gone, False, self.now)
        went = self.where_to(20)
        self.assertEqual(went[HERE], 0)
        self.assertGreater(went[THERE], 15)  # some of the first are refused while no time is known

    def test_no_backend_hears_from_all_proxies(self) -> None:
        """Five backends in one location, 35 in the other, 147 proxies in each: 184 asked one that takes 120 connections."""
        heard: Counter[str] = Counter()
        for one in range(294):
            balancer = Balancer(
                policy_settings(
                    zones=[HERE, THERE], zone=(HERE, THERE)[one % 2], group_size=294, proxy_index=one, seed=one
                ),
                0,
                lambda line: None,
            )
            balancer.update_endpoints(listed(5, 35, 6.0), True, 0)
            heard.update(b.address for side in balancer._sides.values() for b in side.ring if b.near)
        self.assertLess(max(heard.values()), 120)
        self.assertGreater(min(heard.values()), 10)

    def test_a_busy_proxy_asks_more_and_a_quiet_one_its_part_again(self) -> None:
        said = []
        for beside in (True, False):
            self.open(group_size=200, is_sidecar=beside, zone=HERE, zones=[HERE])
            self.balancer.update_endpoints(listed(40, 0), True, self.now)

            def near() -> int:
                return sum(b.near for b in self.balancer._sides[""].ring)

            for _ in range(100):
                self.call(DONE, 0.001, quiet=True)
            before, out = near(), []
            for _ in range(200):
                ticket = self.ticket()
                if isinstance(self.where(ticket, True), Backend):
                    out.append(ticket)
            busy = near()
            for ticket in out:
                self.after(ticket, DONE, 0.001, quiet=True)
            for _ in range(200):
                self.call(DONE, 0.1, quiet=True)
            said.append((before, busy > 2 * before, near()))
        self.assertEqual(said[0][0], said[0][2])
        self.assertTrue(said[0][1])
        # In a pool all are as busy: an arc is what it was.
        self.assertEqual(said[1], (said[1][0], False, said[1][0]))


class Beside(BalancerTestCase):
    def test_use_cases_of_no_importance_raise_nothing(self) -> None:
        """The pressure was the greatest of none: a ValueError for each ticket beyond the floor."""
        for stage in (0, 1):
            self.open("a1", tier_index=stage, use_cases=[UseCase("look", SECOND, 2 * SECOND, 0.0)])
            self.call(DONE, 0.1, times=5, quiet=True)
            self.backends["a1"].in_flight = 20
            self.where(self.ticket(), True)

    def test_what_is_taught_before_the_first_list_stays(self) -> None:
        """Kept at the sides, which came with the list, the flow and the budget for fresh ones were lost."""
        self.open()
        self.balancer = Balancer(policy_settings(), self.now, self.note)
        self.balancer.import_learned(100_000, 40.0, 3.0, self.now)
        self.list("a1")
        self.assertEqual([round(one) for one in self.balancer.export_learned(self.now)], [100_000, 40, 3])

    def test_an_even_part_of_a_customers_share_binds_nobody_beside_one_client(self) -> None:
        bounds = []
        for beside in (True, False):
            customer = Customer("tall", 4.0)
            self.open("a1", group_size=100, is_sidecar=beside, customers=[customer])
            ticket = self.ticket()
            ticket.customer = customer
            bounds.append([self.balancer._within_share(ticket, self.now) for _ in range(12)])
        self.assertTrue(all(bounds[0]))
        self.assertFalse(all(bounds[1]))

    def test_heavy_tickets_go_to_those_quick_enough_for_their_work(self) -> None:
        """List weights alike, speeds 1 and a third: heavy tickets were late at the slow ones though the quick were free."""
        self.open("a1", "b1", "c1", "d1")
        slow = {"a1", "b1"}
        went: Counter[bool] = Counter()
        for number in range(200):
            ticket = self.ticket()
            ticket.cost = 600_000 if number % 5 == 0 else 100_000
            picked = self.where(ticket, True)
            assert isinstance(picked, Backend)
            if number >= 100 and ticket.cost > 500_000:
                went[picked.address in slow] += 1
            self.after(ticket, DONE, ticket.cost / SECOND * (3 if picked.address in slow else 1), quiet=True)
        self.assertEqual(went, Counter({False: 20}))

    def test_one_that_is_given_up_is_answered_at_once_and_a_bounce_says_when_to_come_back(self) -> None:
        """Held back till its outer limit its client would not ask again; it has to be told instead."""
        self.open("a1", retry_after_allowed=True, max_retry_after=SECOND, is_sidecar=True)
        self.call(DONE, 0.1, times=30, quiet=True)
        self.backends["a1"].in_flight += 60
        answers = [self.where(self.ticket(), True) for _ in range(30)]
        self.assertIn(BOUNCE, answers)
        self.assertFalse([answer for answer in answers if answer not in (BOUNCE, self.backends["a1"])])
        bounced = self.ticket()
        while self.where(bounced, True) != BOUNCE:
            bounced = self.ticket()
        self.assertTrue(bounced.finished)
        self.assertTrue(0 < self.balancer.wait_time(bounced, self.now) <= SECOND)
        # What may have run and may not again is scrapped by the call that tells how it ended.
        self.open("a1", retry_after_allowed=True, max_retry_after=SECOND, is_sidecar=True)
        for how in (ERROR, TIMED_OUT):
            paid = self.ticket("pay")
            self.where(paid, True)
            self.assertEqual(self.after(paid, how, 0.2, quiet=True), SCRAP)
            self.assertTrue(paid.finished)

    def test_a_use_case_late_by_its_own_times_is_refused(self) -> None:
        """The tightest one's pressure and the bound let others stand at the edge of their own promised time."""
        uses = [
            UseCase("look", SECOND, 4 * SECOND, 1.0, late_share=0.3),
            UseCase("add", SECOND, 4 * SECOND, 8.0, late_share=0.3),
        ]
        self.open("a1", use_cases=uses, importance_by_work=True)
        for use in uses:
            use.mean_latency, use.latency_deviation = 900_000, 150_000
        self.balancer._usual = 900_000
        # As many in hand as are done in the time that a ticket takes: no jam, and the bound is 1.2 for what is worth most.
        self.backends["a1"].in_flight = 6
        side = self.balancer._sides[""]
        side.held, side.flow, side.flow_at, side.started = 6.0, 6 / 0.9, self.now, self.now - 100 * SECOND
        self.assertEqual(self.where(self.ticket("add"), True), BOUNCE)
        for use in uses:
            use.latency_deviation = 50_000
        self.assertIs(self.where(self.ticket("add"), True), self.backends["a1"])
