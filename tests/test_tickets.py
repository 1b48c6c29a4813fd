from pepperusher.terms import DONE, ERROR, FULL, OPEN, SCRAP, TIMED_OUT, Backend, Customer, Listing, Ticket

from tests.scene import SECOND, BalancerTestCase


class Tickets(BalancerTestCase):
    def test_rotation_is_smooth_and_weighted(self) -> None:
        self.open("a1", "b1")
        self.list("c1", weight=2.0)
        self.call(DONE, 0.001, times=8)
        self.compare_trace("rotation")

    def test_a_backend_that_gathers_calls_is_passed_over(self) -> None:
        """Incident idebbd2: a heavy backend that had slowed down gathered calls until it timed out."""
        self.open("a1", "b1", "c1")
        self.list("d1", weight=10.0)
        for _ in range(40):
            ticket = self.ticket()
            chosen = self.choose_backend(ticket, quiet=True)
            if isinstance(chosen, Backend) and chosen.address != "d1":
                self.end_attempt(ticket, DONE, 0.01, quiet=True)
        self.note(f"calls at the slow backend {self.backends['d1'].in_flight}")
        self.compare_trace("passed_over")

    def test_a_slow_backend_is_seen_with_few_calls(self) -> None:
        """With less than one call per backend, the calls in flight at one moment show a slow backend as empty as the
        others."""
        self.open("a1", "b1", "c1", "d1")
        slow: list[tuple[int, Ticket]] = []
        sent = dict.fromkeys(self.backends, 0)
        for _ in range(80):
            while slow and slow[0][0] <= self.now:
                self.end_attempt(slow.pop(0)[1], DONE, quiet=True)
            ticket = self.ticket()
            chosen = self.choose_backend(ticket, quiet=True)
            sent[chosen.address] += 1
            if chosen.address == "a1":
                slow.append((self.now + SECOND // 5, ticket))
            else:
                self.end_attempt(ticket, DONE, 0.05, quiet=True)
            self.pass_time(0.1)
        self.note(f"of 80 calls, one at a time, a1 taking four times as long: {sent}")
        self.compare_trace("few_calls")

    def test_what_never_ran_lifts_nothing_that_an_earlier_one_bound(self) -> None:
        """An attempt may have run and the next surely did not: retries stay in the first one's group, and the end is
        no bounce."""
        self.open("a1", "b1", "c2")
        ticket = self.ticket("book", timeout_s=4.0)
        first = self.choose_backend(ticket)
        while first.cell != 1:  # its cell has two backends
            self.end_attempt(ticket, DONE, quiet=True)
            ticket = self.ticket("book", timeout_s=4.0)
            first = self.choose_backend(ticket)
        self.end_attempt(ticket, ERROR, 0.01)
        second = self.choose_backend(ticket)
        self.assertEqual(1, second.cell)
        self.end_attempt(ticket, FULL, 0.01)
        third = self.choose_backend(ticket)
        self.assertTrue(third == SCRAP or third.cell == 1)
        if third != SCRAP:
            self.assertEqual(SCRAP, self.end_attempt(ticket, FULL, 0.01))

    def test_a_customer_saves_up_a_few_tickets_of_its_share(self) -> None:
        """Each proxy's quota is a fifth of a ticket a second, while several tickets may arrive at once by chance."""
        customer = Customer("school", 20.0)
        self.open("a1", group_size=100, customers=[customer])
        for wait in (0, 0, 0, 0, 0, 5):
            self.pass_time(wait)
            self.note(f"within its quota: {self.balancer._take_quota(self.ticket(customer=customer), self.now)}")
        self.compare_trace("saved_share")

    def test_a_proxy_with_more_than_its_part_of_all_traffic_holds_no_customer_to_an_even_part(self) -> None:
        """Four of 36 proxies had five times the mean traffic: half of their tickets were beyond the even share of the
        quota and bounced."""
        lines = []
        for case, requests_per_step in (
            ("each requests five times its even share", (5, 5)),
            ("one does", (5, 1)),
            ("only one requests, five times its share", (5, 0)),
            ("one does, and the other has no quota", (5, 1)),
            ("each requests as much of few proxies", (5, 5)),
        ):
            proxy_count = 10 if "few" in case else 20
            customers = [
                Customer("north", 10.0 * proxy_count),
                Customer("south", 0.0 if "no quota" in case else 10.0 * proxy_count),
            ]
            self.open("a1", group_size=proxy_count, customers=customers)
            within_quota = {customer.name: 0 for customer in customers}
            for step in range(400):  # 20 s
                self.pass_time(0.05)
                for customer, requests in zip(customers, requests_per_step):
                    for _ in range(requests if step % 2 else 0):
                        in_quota = self.balancer._take_quota(self.ticket(customer=customer), self.now)
                        within_quota[customer.name] += in_quota and step >= 200
            lines.append(
                f"{case}: of {requests_per_step[0] * 100} of north's within quota {within_quota['north']}, of {requests_per_step[1] * 100} of south's {within_quota['south']}"
            )
        self.lines = lines
        self.compare_trace("heat")

    def test_nothing_new_goes_to_a_backend_that_drains(self) -> None:
        self.open("a1", "b1")
        self.call(DONE, 0.001, times=2)
        self.list("a1", ready=False)
        self.call(DONE, 0.001, times=3)
        self.list("b1", whole=True, ready=False)
        self.call(DONE)
        self.compare_trace("drain")

    def test_a_cold_backend_has_a_budget(self) -> None:
        """Slow-start weights alone do not protect a cold backend when all other backends are gone."""
        self.open("a1", "b1")
        self.call(DONE, 0.02, times=200, quiet=True)
        self.list("c1", started_at=self.now)
        self.list("a1", "b1", ready=False)
        for _ in range(40):
            sent_at = self.now
            self.call(DONE, 0.05, quiet=True)
            self.now = sent_at + SECOND * 6 // 100
        sent = len(self.backends["c1"].results)
        self.note(f"in 2.4 s a backend just started was sent {sent} of 40")
        self.compare_trace("cold_budget")

    def test_referenced_stays_in_its_cell_and_its_time(self) -> None:
        self.open("a1", "b1", "c2", "d2")
        for _ in range(2):
            ticket = self.ticket("book", timeout_s=4.0)
            self.choose_backend(ticket)
            self.end_attempt(ticket, ERROR, 0.05)
            self.choose_backend(ticket)
            self.end_attempt(ticket, TIMED_OUT, 1.2)
            self.choose_backend(ticket)
        self.compare_trace("referenced")

    def test_referenced_that_never_ran_goes_anywhere(self) -> None:
        self.open("a1", "b2")
        ticket = self.ticket("book", timeout_s=4.0)
        self.choose_backend(ticket)
        self.end_attempt(ticket, FULL)
        self.choose_backend(ticket)
        self.end_attempt(ticket, FULL)
        self.choose_backend(ticket)
        self.end_attempt(ticket, FULL)
        self.compare_trace("referenced_never_ran")

    def test_single_use_runs_once(self) -> None:
        self.open("a1", "b1")
        first, second = self.ticket("pay", timeout_s=4.0), self.ticket("pay", timeout_s=4.0)
        for ticket, outcome in ((first, FULL), (second, ERROR)):
            self.choose_backend(ticket)
            self.end_attempt(ticket, outcome, 0.05)
        self.choose_backend(first)
        self.end_attempt(first, TIMED_OUT, 3.9)
        self.compare_trace("single_use")

    def test_one_final_answer_at_the_outer_limit(self) -> None:
        self.open("a1", "b1")
        ticket = self.ticket(timeout_s=0.5)
        self.choose_backend(ticket)
        self.end_attempt(ticket, TIMED_OUT, 0.5)
        disconnected = self.ticket()
        self.choose_backend(disconnected)
        self.balancer.caller_disconnected(disconnected)
        self.note(f"client disconnected: cancels after {self.balancer.wait_time(disconnected, self.now)}")
        self.end_attempt(disconnected, ERROR, 0.1)
        self.compare_trace("outer_limit")

    def test_further_attempts_are_a_part_of_the_tickets(self) -> None:
        """Retries amplify an overload: once the retry budget is spent, a ticket that may have run is bounced."""
        self.open("a1", "b1", "c1")
        self.balancer._retry_budget = 1.0
        for _ in range(3):
            ticket = self.ticket()
            self.choose_backend(ticket)
            self.end_attempt(ticket, ERROR, 0.01)
        self.compare_trace("spare")

    def test_an_empty_list_bounces(self) -> None:
        self.open(retry_after_allowed=True, max_retry_after=SECOND)
        ticket = self.ticket()
        self.choose_backend(ticket)
        self.note(
            f"retry-after within half of the promised time: {0 < self.balancer.wait_time(ticket, self.now) <= SECOND // 2}"
        )
        self.compare_trace("empty_list")

    def test_the_list_is_asked_for_again_backed_off(self) -> None:
        self.open("a1", polls_list=True)
        for _ in range(6):
            self.note(f"list request in {self.balancer.wait_time(None, self.now)}")
            self.balancer.endpoint_request_failed(self.now)
            self.pass_time(self.balancer.wait_time(None, self.now) / SECOND)
        self.note(f"list request in {self.balancer.wait_time(None, self.now)}")
        self.list("a1")
        self.note(f"list request in {self.balancer.wait_time(None, self.now)}")
        self.compare_trace("list_lost")

    def test_calls_stay_in_their_zone_as_far_as_it_carries(self) -> None:
        self.open("a1", "b1", zones=["here", "there"])
        self.list("c1", "d1", "e1", zone="there")
        self.call(DONE, 0.001, times=10)
        self.compare_trace("zones")

    def test_a_zone_that_loses_its_backends_calls_the_others_by_weight(self) -> None:
        self.open("a1", zones=["here", "there"])
        self.list("b1", "c1", "d1", zone="there")
        self.list("a1", ready=False)
        self.call(DONE, 0.001, times=6)
        self.compare_trace("zone_lost")

    def test_each_of_many_proxies_speaks_to_an_arc_of_the_list(self) -> None:
        """Incidents i009e79, ic3acfa, i4088df: a proxy with few calls learns nothing about a long list of backends."""
        names = [chr(97 + number) + "1" for number in range(20)]
        received = dict.fromkeys(names, 0)
        lines = []
        for ordinal in range(80):
            self.open(*names, group_size=80, proxy_index=ordinal)
            self.call(DONE, 0.1, times=24, quiet=True)
            used = [name for name in names if self.backends[name].results]
            for name in used:
                received[name] += len(self.backends[name].results)
            if ordinal < 3:
                lines.append(f"proxy {ordinal} uses {' '.join(used)}")
        lines.append(f"of 96 calls each, backends get {min(received.values())} to {max(received.values())}")
        near = [backend for backend in self.balancer._localities[""].ring if backend.in_subset]
        for backend in near[1:]:
            self.balancer._set_state(backend, OPEN, self.now)
        self.lines = lines
        self.note("with one backend of its subset left, the last proxy uses others:")
        self.call(DONE, times=4)
        self.compare_trace("arcs")

    def test_a_full_server_is_not_asked_for_more_than_it_held(self) -> None:
        """In a burst that fills every backend, further tickets bounce until a call of usual length has made room."""
        self.open("a1", "b1")
        self.call(DONE, 0.1, times=20, quiet=True)
        first, second = self.ticket(), self.ticket()
        for ticket in (first, second):
            self.choose_backend(ticket, quiet=True)
        for ticket in (self.ticket(), self.ticket()):
            self.choose_backend(ticket)
            self.end_attempt(ticket, FULL, final=True)
        self.choose_backend(self.ticket())
        self.end_attempt(first, DONE, 0.02)
        self.choose_backend(self.ticket())
        self.pass_time(0.1)
        self.choose_backend(self.ticket())
        self.compare_trace("full")

    def test_what_is_never_bounced_is_shared_by_all_proxies(self) -> None:
        """Incident iea4e88: eight proxies, each allowed two calls at every backend without prediction, overloaded them
        together."""
        lines = []
        for proxy_count in (1, 8):
            self.open("a1", "b1", group_size=proxy_count)
            for knowledge in ("nothing", "times"):
                accepted = [
                    ticket
                    for ticket in (self.ticket() for _ in range(30))
                    if isinstance(self.choose_backend(ticket, quiet=True), Backend)
                ]
                lines.append(
                    f"of 30 at once, one of {proxy_count} proxies takes {len(accepted)}, with {knowledge} known"
                )
                for ticket in accepted:
                    self.end_attempt(ticket, DONE, quiet=True)
                self.call(DONE, 0.6, times=10, quiet=True)
        self.lines = lines
        self.compare_trace("shared_allowance")

    def test_a_busy_cell_still_takes_what_is_bound_to_it(self) -> None:
        """Compared with the mean of all backends, a busy cell would have none below it, and the ticket would be
        scrapped."""
        self.open("a1", "b1", "c2", "d2")
        bound = self.ticket("book", timeout_s=4.0)
        self.choose_backend(bound)
        cell = bound.attempts[0].backend.cell
        for backend in self.backends.values():
            backend.in_flight += 2 * (backend.cell == cell)
        self.end_attempt(bound, ERROR, 0.01)
        self.choose_backend(bound)
        self.compare_trace("busy_cell")

    # Guards against a repeat that runs twice because another process is listed under the id of the one that ran it, in a
    # deduplication group that does not know the repeat (issue 69, e).
    def test_a_repeat_goes_to_the_group_of_the_process_that_ran_it(self) -> None:
        for moved_to, expected in ((2, "b1"), (1, "a1 b1")):
            self.open("a1", "b1", "c2")
            bound = self.ticket("book", timeout_s=4.0)
            while (chosen := self.choose_backend(bound, quiet=True)) is not self.backends["a1"]:
                self.assertIsInstance(chosen, Backend)
                self.end_attempt(bound, FULL, quiet=True)
                bound = self.ticket("book", timeout_s=4.0)
            backend = self.backends["a1"]
            replaced = Listing(backend, "here", moved_to, 1.0, self.now, True)
            self.balancer.update_endpoints([replaced], False, self.now)
            self.end_attempt(bound, ERROR, 0.01, quiet=True)
            again = self.choose_backend(bound, quiet=True)
            assert isinstance(again, Backend)
            self.assertIn(again.address, expected.split())
