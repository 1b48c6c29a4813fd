"""Selection of backends by a sidecar proxy and with two zones: which backends it uses, and when it crosses zones."""

from __future__ import annotations

from collections import Counter

from pepperusher import terms
from pepperusher.policy import Balancer
from pepperusher.terms import BOUNCE, DONE, ERROR, SCRAP, TIMED_OUT, Backend, Customer, Listing, UseCase

from tests.scene import SECOND, BalancerTestCase, policy_settings

HERE, THERE = "here", "there"


def listings(here: int, there: int, weight: float = 1.0, known: dict[str, Backend] | None = None) -> list[Listing]:
    """Returns a list with this many backends in each zone."""
    result = []
    for zone, count in ((HERE, here), (THERE, there)):
        for number in range(count):
            name = f"{zone}{number:03}"
            backend = Backend(name) if known is None else known.setdefault(name, Backend(name))
            result.append(Listing(backend, zone, 1, weight, 0, True))
    return result


class Sides(BalancerTestCase):
    def open_two_zones(self, here: int, there: int, **changes: object) -> None:
        """Opens a balancer with this many backends in each of two zones."""
        self.open(zones=[HERE, THERE], zone=HERE, **changes)
        entries = listings(here, there)
        self.backends = {entry.backend.address: entry.backend for entry in entries}
        self.balancer.update_endpoints(entries, True, self.now)

    def zones_chosen(self, times: int, use_case: str = "look") -> Counter[str]:
        """Sends tickets and counts the zones that were chosen."""
        zones: Counter[str] = Counter()
        for _ in range(times):
            ticket = self.ticket(use_case)
            chosen = self.choose_backend(ticket, True)
            zones[chosen.zone if isinstance(chosen, Backend) else "refused"] += 1
            if isinstance(chosen, Backend):
                self.end_attempt(ticket, DONE, 0.1, quiet=True)
        return zones

    def test_what_the_own_location_refuses_goes_across(self) -> None:
        """One zone was overloaded and refused tickets while the backends of the other zone were idle."""
        self.open_two_zones(4, 4)
        self.assertEqual(self.zones_chosen(40)[HERE], 40)
        for name, backend in self.backends.items():
            backend.in_flight += 30 * name.startswith(HERE)
        for _ in range(20):  # the mean number of calls in flight rises over some tickets
            self.choose_backend(self.ticket(), True)
        zones = Counter(
            chosen.zone if isinstance(chosen := self.choose_backend(self.ticket(), True), Backend) else "refused"
            for _ in range(6)
        )
        self.assertEqual((zones[HERE], zones["refused"]), (0, 0), zones)

    def test_a_small_location_is_first_for_its_part_alone(self) -> None:
        self.open_two_zones(2, 14)
        zones = self.zones_chosen(400)
        # The zone has an eighth of the weight and half of the proxies, so it carries a fourth of their tickets.
        self.assertTrue(60 <= zones[HERE] <= 140, zones)

    def test_a_location_that_empties_is_left_out(self) -> None:
        """With many proxies the subset of an empty zone was computed too: an IndexError on each change of the list."""
        self.open_two_zones(3, 3, group_size=300)
        removed = [
            Listing(backend, HERE, 1, 1.0, 0, False) for name, backend in self.backends.items() if name.startswith(HERE)
        ]
        self.balancer.update_endpoints(removed, False, self.now)
        zones = self.zones_chosen(20)
        self.assertEqual(zones[HERE], 0)
        self.assertGreater(zones[THERE], 15)  # some of the first are refused while no latency is known

    def test_no_backend_hears_from_all_proxies(self) -> None:
        """Five backends in one zone, 35 in the other, 147 proxies in each: 184 proxies used a backend that accepts 120
        connections."""
        received: Counter[str] = Counter()
        for proxy_index in range(294):
            balancer = Balancer(
                policy_settings(
                    zones=[HERE, THERE],
                    zone=(HERE, THERE)[proxy_index % 2],
                    group_size=294,
                    proxy_index=proxy_index,
                    seed=proxy_index,
                ),
                0,
                lambda entry: None,
            )
            balancer.update_endpoints(listings(5, 35, 6.0), True, 0)
            received.update(
                b.address for locality in balancer._localities.values() for b in locality.ring if b.in_subset
            )
        self.assertLess(max(received.values()), 120)
        self.assertGreater(min(received.values()), 10)

    def test_a_busy_proxy_asks_more_and_a_quiet_one_its_part_again(self) -> None:
        sizes = []
        for is_sidecar in (True, False):
            self.open(group_size=200, is_sidecar=is_sidecar, zone=HERE, zones=[HERE])
            self.balancer.update_endpoints(listings(40, 0), True, self.now)

            def subset_size() -> int:
                return sum(b.in_subset for b in self.balancer._localities[""].ring)

            for _ in range(100):
                self.call(DONE, 0.001, quiet=True)
            size_before, in_flight = subset_size(), []
            for _ in range(200):
                ticket = self.ticket()
                if isinstance(self.choose_backend(ticket, True), Backend):
                    in_flight.append(ticket)
            size_busy = subset_size()
            for ticket in in_flight:
                self.end_attempt(ticket, DONE, 0.001, quiet=True)
            for _ in range(200):
                self.call(DONE, 0.1, quiet=True)
            sizes.append((size_before, size_busy > 2 * size_before, subset_size()))
        self.assertEqual(sizes[0][0], sizes[0][2])
        self.assertTrue(sizes[0][1])
        # In a pool all proxies are equally busy, so the subset keeps its size.
        self.assertEqual(sizes[1], (sizes[1][0], False, sizes[1][0]))


class Beside(BalancerTestCase):
    def test_use_cases_of_no_importance_raise_nothing(self) -> None:
        """The pressure was the maximum of an empty sequence: a ValueError for each ticket beyond the unconditional
        allowance."""
        for stage in (0, 1):
            self.open("a1", tier_index=stage, use_cases=[UseCase("look", SECOND, 2 * SECOND, 0.0)])
            self.call(DONE, 0.1, times=5, quiet=True)
            self.backends["a1"].in_flight = 20
            self.choose_backend(self.ticket(), True)

    def test_what_is_taught_before_the_first_list_stays(self) -> None:
        """The completion rate and the cold-start rate were lost if the localities were only created with the first
        list."""
        self.open()
        self.balancer = Balancer(policy_settings(), self.now, self.note)
        self.balancer.import_learned(100_000, 40.0, 3.0, self.now)
        self.list("a1")
        self.assertEqual([round(estimate) for estimate in self.balancer.export_learned(self.now)], [100_000, 40, 3])

    def test_an_even_part_of_a_customers_share_binds_nobody_beside_one_client(self) -> None:
        results = []
        for is_sidecar in (True, False):
            customer = Customer("tall", 4.0)
            self.open("a1", group_size=100, is_sidecar=is_sidecar, customers=[customer])
            ticket = self.ticket()
            ticket.customer = customer
            results.append([self.balancer._take_quota(ticket, self.now) for _ in range(12)])
        self.assertTrue(all(results[0]))
        self.assertFalse(all(results[1]))

    def test_heavy_tickets_go_to_those_quick_enough_for_their_work(self) -> None:
        """With equal list weights and speeds of 1 and a third, heavy tickets were late at the slow backends while fast
        ones were free."""
        self.open("a1", "b1", "c1", "d1")
        slow_backends = {"a1", "b1"}
        slow_chosen: Counter[bool] = Counter()
        for number in range(200):
            ticket = self.ticket()
            ticket.work_hint = 600_000 if number % 5 == 0 else 100_000
            chosen = self.choose_backend(ticket, True)
            assert isinstance(chosen, Backend)
            if number >= 100 and ticket.work_hint > 500_000:
                slow_chosen[chosen.address in slow_backends] += 1
            self.end_attempt(
                ticket, DONE, ticket.work_hint / SECOND * (3 if chosen.address in slow_backends else 1), quiet=True
            )
        self.assertEqual(slow_chosen, Counter({False: 20}))

    def test_one_that_is_given_up_is_answered_at_once_and_a_bounce_says_when_to_come_back(self) -> None:
        """Held until its deadline, a refused ticket would not be retried by its client; it has to be answered
        immediately."""
        self.open("a1", retry_after_allowed=True, max_retry_after=SECOND, is_sidecar=True)
        self.call(DONE, 0.1, times=30, quiet=True)
        self.backends["a1"].in_flight += 60
        answers = [self.choose_backend(self.ticket(), True) for _ in range(30)]
        self.assertIn(BOUNCE, answers)
        self.assertFalse([answer for answer in answers if answer not in (BOUNCE, self.backends["a1"])])
        bounced = self.ticket()
        while self.choose_backend(bounced, True) != BOUNCE:
            bounced = self.ticket()
        self.assertTrue(bounced.finished)
        self.assertTrue(0 < self.balancer.wait_time(bounced, self.now) <= SECOND)
        # A ticket that may have run and must not run again is scrapped by the call that reports the outcome.
        self.open("a1", retry_after_allowed=True, max_retry_after=SECOND, is_sidecar=True)
        for outcome in (ERROR, TIMED_OUT):
            paid = self.ticket("pay")
            self.choose_backend(paid, True)
            self.assertEqual(self.end_attempt(paid, outcome, 0.2, quiet=True), SCRAP)
            self.assertTrue(paid.finished)

    def test_a_use_case_late_by_its_own_times_is_refused(self) -> None:
        """Pressure and bound of the use case closest to its promised time let others exceed their own promised time."""
        use_cases = [
            UseCase("look", SECOND, 4 * SECOND, 1.0, late_importance=0.3),
            UseCase("add", SECOND, 4 * SECOND, 8.0, late_importance=0.3),
        ]
        self.open("a1", use_cases=use_cases, importance_by_work=True)
        for use_case in use_cases:
            use_case.mean_latency, use_case.latency_deviation = 900_000, 150_000
        self.balancer._mean_latency = 900_000
        # As many tickets are in flight as complete in one latency: no overload, and the bound is 1.2 for the highest
        # importance.
        self.backends["a1"].in_flight = 6
        locality = self.balancer._localities[""]
        locality.mean_in_flight, locality.completion_rate, locality.rate_updated_at, locality.measured_since = (
            6.0,
            6 / 0.9,
            self.now,
            self.now - 100 * SECOND,
        )
        self.assertEqual(self.choose_backend(self.ticket("add"), True), BOUNCE)
        for use_case in use_cases:
            use_case.latency_deviation = 50_000
        self.assertIs(self.choose_backend(self.ticket("add"), True), self.backends["a1"])
