from pepperusher.terms import DONE, ERROR, FULL, OPEN, SCRAP, TIMED_OUT, Backend, Customer, Ticket

from tests.scene import SECOND, BalancerTestCase


class Tickets(BalancerTestCase):
    def test_rotation_is_smooth_and_weighted(self) -> None:
        self.open("a1", "b1")
        self.list("c1", weight=2.0)
        self.call(DONE, 0.001, times=8)
        self.compare_trace("rotation")

    def test_a_backend_that_gathers_calls_is_passed_over(self) -> None:
        """Incident idebbd2: a heavy backend that slowed gathered calls till it timed out."""
        self.open("a1", "b1", "c1")
        self.list("d1", weight=10.0)
        for _ in range(40):
            ticket = self.ticket()
            picked = self.where(ticket, quiet=True)
            if isinstance(picked, Backend) and picked.address != "d1":
                self.after(ticket, DONE, 0.01, quiet=True)
        self.note(f"calls at the slow backend {self.backends['d1'].in_flight}")
        self.compare_trace("passed_over")

    def test_a_slow_backend_is_seen_with_few_calls(self) -> None:
        """With less than a call at each, what is in flight at the moment shows a slow one as empty as the rest."""
        self.open("a1", "b1", "c1", "d1")
        slow: list[tuple[int, Ticket]] = []
        sent = dict.fromkeys(self.backends, 0)
        for _ in range(80):
            while slow and slow[0][0] <= self.now:
                self.after(slow.pop(0)[1], DONE, quiet=True)
            ticket = self.ticket()
            picked = self.where(ticket, quiet=True)
            sent[picked.address] += 1
            if picked.address == "a1":
                slow.append((self.now + SECOND // 5, ticket))
            else:
                self.after(ticket, DONE, 0.05, quiet=True)
            self.pass_time(0.1)
        self.note(f"of 80 calls, one at a time, a1 taking four times as long: {sent}")
        self.compare_trace("few_calls")

    def test_what_never_ran_lifts_nothing_that_an_earlier_one_bound(self) -> None:
        """One that may have run, then one that surely did not: still bound to the first one's group, and no bounce at its end."""
        self.open("a1", "b1", "c2")
        ticket = self.ticket("book", left=4.0)
        first = self.where(ticket)
        while first.cell != 1:  # whose group has two
            self.after(ticket, DONE, quiet=True)
            ticket = self.ticket("book", left=4.0)
            first = self.where(ticket)
        self.after(ticket, ERROR, 0.01)
        second = self.where(ticket)
        self.assertEqual(1, second.cell)
        self.after(ticket, FULL, 0.01)
        third = self.where(ticket)
        self.assertTrue(third == SCRAP or third.cell == 1)
        if third != SCRAP:
            self.assertEqual(SCRAP, self.after(ticket, FULL, 0.01))

    def test_a_customer_saves_up_a_few_tickets_of_its_share(self) -> None:
        """A fifth of a ticket a second for each proxy: chance alone brings several at once."""
        customer = Customer("school", 20.0)
        self.open("a1", group_size=100, customers=[customer])
        for wait in (0, 0, 0, 0, 0, 5):
            self.pass_time(wait)
            self.note(f"within its share: {self.balancer._within_share(self.ticket(customer=customer), self.now)}")
        self.compare_trace("saved_share")

    def test_a_proxy_with_more_than_its_part_of_all_traffic_holds_no_customer_to_an_even_part(self) -> None:
        """Four of 36 proxies had five times the mean: half of what they were asked was beyond its share, and bounced."""
        said = []
        for what, asked in (
            ("each asks for five times its even part", (5, 5)),
            ("one does", (5, 1)),
            ("one alone asks, five times", (5, 0)),
            ("one does, and the other has no share", (5, 1)),
            ("each asks for so much of few proxies", (5, 5)),
        ):
            group = 10 if "few" in what else 20
            customers = [
                Customer("north", 10.0 * group),
                Customer("south", 0.0 if "no share" in what else 10.0 * group),
            ]
            self.open("a1", group_size=group, customers=customers)
            within = {one.name: 0 for one in customers}
            for tenth in range(400):  # twenty seconds
                self.pass_time(0.05)
                for customer, often in zip(customers, asked):
                    for _ in range(often if tenth % 2 else 0):
                        kept = self.balancer._within_share(self.ticket(customer=customer), self.now)
                        within[customer.name] += kept and tenth >= 200
            said.append(
                f"{what}: of {asked[0] * 100} of north's within {within['north']}, of {asked[1] * 100} of south's {within['south']}"
            )
        self.lines = said
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
        """The age weights alone don't guard it: here every other backend is gone."""
        self.open("a1", "b1")
        self.call(DONE, 0.02, times=200, quiet=True)
        self.list("c1", born=self.now)
        self.list("a1", "b1", ready=False)
        for _ in range(40):
            at = self.now
            self.call(DONE, 0.05, quiet=True)
            self.now = at + SECOND * 6 // 100
        sent = len(self.backends["c1"].results)
        self.note(f"in 2.4 s a backend just started was sent {sent} of 40")
        self.compare_trace("cold_budget")

    def test_referenced_stays_in_its_cell_and_its_time(self) -> None:
        self.open("a1", "b1", "c2", "d2")
        for _ in range(2):
            ticket = self.ticket("book", left=4.0)
            self.where(ticket)
            self.after(ticket, ERROR, 0.05)
            self.where(ticket)
            self.after(ticket, TIMED_OUT, 1.2)
            self.where(ticket)
        self.compare_trace("referenced")

    def test_referenced_that_never_ran_goes_anywhere(self) -> None:
        self.open("a1", "b2")
        ticket = self.ticket("book", left=4.0)
        self.where(ticket)
        self.after(ticket, FULL)
        self.where(ticket)
        self.after(ticket, FULL)
        self.where(ticket)
        self.after(ticket, FULL)
        self.compare_trace("referenced_never_ran")

    def test_single_use_runs_once(self) -> None:
        self.open("a1", "b1")
        first, second = self.ticket("pay", left=4.0), self.ticket("pay", left=4.0)
        for ticket, how in ((first, FULL), (second, ERROR)):
            self.where(ticket)
            self.after(ticket, how, 0.05)
        self.where(first)
        self.after(first, TIMED_OUT, 3.9)
        self.compare_trace("single_use")

    def test_one_final_answer_at_the_outer_limit(self) -> None:
        self.open("a1", "b1")
        ticket = self.ticket(left=0.5)
        self.where(ticket)
        self.after(ticket, TIMED_OUT, 0.5)
        gone = self.ticket()
        self.where(gone)
        self.balancer.caller_disconnected(gone)
        self.note(f"client left: calls off after {self.balancer.wait_time(gone, self.now)}")
        self.after(gone, ERROR, 0.1)
        self.compare_trace("outer_limit")

    def test_further_attempts_are_a_part_of_the_tickets(self) -> None:
        """What a jam is fed with: with its saved part spent, a ticket that may have run is bounced."""
        self.open("a1", "b1", "c1")
        self.balancer._spare = 1.0
        for _ in range(3):
            ticket = self.ticket()
            self.where(ticket)
            self.after(ticket, ERROR, 0.01)
        self.compare_trace("spare")

    def test_an_empty_list_bounces(self) -> None:
        self.open(retry_after_allowed=True, max_retry_after=SECOND)
        ticket = self.ticket()
        self.where(ticket)
        self.note(
            f"come back in {0 < self.balancer.wait_time(ticket, self.now) <= SECOND // 2}, in time for its second"
        )
        self.compare_trace("empty_list")

    def test_the_list_is_asked_for_again_backed_off(self) -> None:
        self.open("a1", polls_list=True)
        for _ in range(6):
            self.note(f"ask in {self.balancer.wait_time(None, self.now)}")
            self.balancer.endpoint_request_failed(self.now)
            self.pass_time(self.balancer.wait_time(None, self.now) / SECOND)
        self.note(f"ask in {self.balancer.wait_time(None, self.now)}")
        self.list("a1")
        self.note(f"ask in {self.balancer.wait_time(None, self.now)}")
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
        """Incidents i009e79, ic3acfa, i4088df: with few calls a proxy learns nothing of a long list."""
        names = [chr(97 + number) + "1" for number in range(20)]
        heard = dict.fromkeys(names, 0)
        said = []
        for ordinal in range(80):
            self.open(*names, group_size=80, proxy_index=ordinal)
            self.call(DONE, 0.1, times=24, quiet=True)
            asked = [name for name in names if self.backends[name].results]
            for name in asked:
                heard[name] += len(self.backends[name].results)
            if ordinal < 3:
                said.append(f"proxy {ordinal} asks {' '.join(asked)}")
        said.append(f"of 96 calls each, backends get {min(heard.values())} to {max(heard.values())}")
        near = [backend for backend in self.balancer._sides[""].ring if backend.near]
        for backend in near[1:]:
            self.balancer._change(backend, OPEN, self.now)
        self.lines = said
        self.note("with one of its arc left the last proxy widens:")
        self.call(DONE, times=4)
        self.compare_trace("arcs")

    def test_a_full_server_is_not_asked_for_more_than_it_held(self) -> None:
        """A burst: with every server full, further tickets are bounced until a usual call has made room."""
        self.open("a1", "b1")
        self.call(DONE, 0.1, times=20, quiet=True)
        first, second = self.ticket(), self.ticket()
        for ticket in (first, second):
            self.where(ticket, quiet=True)
        for ticket in (self.ticket(), self.ticket()):
            self.where(ticket)
            self.after(ticket, FULL, over=True)
        self.where(self.ticket())
        self.after(first, DONE, 0.02)
        self.where(self.ticket())
        self.pass_time(0.1)
        self.where(self.ticket())
        self.compare_trace("full")

    def test_what_is_never_bounced_is_shared_by_all_proxies(self) -> None:
        """Incident iea4e88: eight proxies, each allowed two calls at every server unasked, choked them together."""
        said = []
        for group in (1, 8):
            self.open("a1", "b1", group_size=group)
            for known in ("nothing", "times"):
                taken = [
                    ticket
                    for ticket in (self.ticket() for _ in range(30))
                    if isinstance(self.where(ticket, quiet=True), Backend)
                ]
                said.append(f"of 30 at once, one of {group} proxies takes {len(taken)}, with {known} known")
                for ticket in taken:
                    self.after(ticket, DONE, quiet=True)
                self.call(DONE, 0.6, times=10, quiet=True)
        self.lines = said
        self.compare_trace("shared_allowance")

    def test_a_busy_cell_still_takes_what_is_bound_to_it(self) -> None:
        """By the mean of all backends a busy cell would have none at or under it, and the ticket were scrapped."""
        self.open("a1", "b1", "c2", "d2")
        bound = self.ticket("book", left=4.0)
        self.where(bound)
        cell = bound.attempts[0].backend.cell
        for backend in self.backends.values():
            backend.in_flight += 2 * (backend.cell == cell)
        self.after(bound, ERROR, 0.01)
        self.where(bound)
        self.compare_trace("busy_cell")
