from pepperusher.terms import CALLED_OFF, CLOSED, DONE, ERROR, FULL, MOOT, RESET, TIMED_OUT, UNREACHED

from tests.scene import SECOND, Scene


class Breaker(Scene):
    def test_trips_by_run(self) -> None:
        self.open("a1")
        for how in (ERROR, FULL, UNREACHED, RESET, CALLED_OFF, MOOT, ERROR):
            self.call(how)
        self.kept("trip_by_run")

    def test_trips_by_half_of_a_full_window(self) -> None:
        self.open("a1")
        self.call(DONE, times=9, quiet=True)
        for _ in range(5):
            self.call(ERROR, quiet=True)
            self.call(ERROR)
            self.call(DONE, quiet=True)
        self.kept("trip_by_window")

    def test_counts_reset_and_a_late_result_is_discarded(self) -> None:
        self.open("a1")
        late = self.ticket()
        self.where(late)
        self.call(ERROR, times=5, quiet=True)
        self.after(late, DONE, 0.1)
        self.pass_time(5)
        self.call(DONE, times=3)
        self.call(ERROR, times=4)
        self.kept("late_result")

    def test_trials_close_reopen_and_time_out(self) -> None:
        self.open("a1", "b1")
        self.backends["b1"].weight = self.backends["b1"].share = 0.0001
        while self.backends["a1"].state == self.backends["b1"].state:
            self.call(ERROR, quiet=True)
        self.pass_time(5)
        first, second = self.ticket(), self.ticket()
        self.where(first)
        self.where(second)
        self.after(second, DONE, 0.1)
        self.after(first, ERROR, 0.1, over=True)
        self.pass_time(5)
        overdue = self.ticket()
        self.where(overdue)
        self.pass_time(2.5)
        self.call(DONE, times=1)
        self.after(overdue, TIMED_OUT)
        self.pass_time(5)
        self.call(DONE, times=5)
        self.kept("trials")

    def test_none_admits(self) -> None:
        self.open("a1", "b1")
        self.balancer._shared = lambda backend: False
        while any(backend.state == CLOSED for backend in self.backends.values()):
            self.call(ERROR, quiet=True)
        first, second, third = self.ticket(), self.ticket(), self.ticket()
        for ticket in (first, second, third):
            self.where(ticket)
        self.after(second, TIMED_OUT, 1.0, over=True)
        self.call(DONE, times=4)
        self.kept("none_admits")

    def test_a_failure_shared_by_all_opens_no_server(self) -> None:
        """A tier below that fails must not open the sound backends above it."""
        self.open("a1", "b1", "c1", "d1")
        self.call(ERROR, times=60, quiet=True)
        self.note(f"states {[backend.state - 40 for backend in self.backends.values()]}")
        self.kept("shared_failure")

    def test_one_use_case_that_fails_at_a_server_is_not_sent_there(self) -> None:
        """The others kept its breaker closed: a ticket in two waited in vain for as long as that lasted.

        Above the last tier most failures are those of a tier below, and nothing of the kind is done.
        """
        said = []
        for last in (True, False):
            self.open("a1", "b1", "c1", last_tier=last)
            waited = []
            for number in range(150):
                use = "look" if number % 2 else "book"
                ticket = self.ticket(use)
                picked = self.where(ticket, quiet=True)
                if use == "look" and picked.address == "a1":
                    waited.append(f"{(self.now - 100 * SECOND) / SECOND:.1f}")
                    self.after(ticket, TIMED_OUT, 0.5, over=True, quiet=True)
                else:
                    self.after(ticket, DONE, 0.05, quiet=True)
            self.note(f"last tier {last}: look waited in vain at {', '.join(waited)}")
            self.note(f"state {self.backends['a1'].state - 40}, shut to {len(self.backends['a1'].shut)}")
            said += self.lines
        self.lines = said
        self.kept("use_shut")

    def test_a_lost_answer_is_no_time(self) -> None:
        """Counted as one, a fifth of answers lost made each wait all that its caller had left, and leave no second try.

        In the first tier it counts as before: the prediction there goes by the usual time.
        """
        said = []
        for stage in (1, 0):
            self.open("a1", "b1", "c1", "d1", stage=stage)
            self.call(DONE, 0.05, times=40, quiet=True)
            for _ in range(12):
                self.call(TIMED_OUT, 1.0, quiet=True)
                self.call(DONE, 0.05, times=4, quiet=True)
            self.note(f"tier {stage + 1}, the ticket has {2 if stage else 1} s")
            self.call(DONE)
            said += self.lines
        self.lines = said
        self.kept("lost_answer")

    def test_a_caller_with_little_time_says_nothing_about_the_server(self) -> None:
        self.open("a1")
        self.call(DONE, 0.2, times=30, quiet=True)
        for _ in range(12):
            ticket = self.ticket(left=0.05)
            self.where(ticket, quiet=True)
            self.after(ticket, TIMED_OUT, 0.05, over=True, quiet=True)
        self.note(f"state {self.backends['a1'].state - 40}")
        self.kept("little_time")

    def test_servers_full_one_after_another_stay_closed(self) -> None:
        """A burst that fills every server must not open them all and drown the last."""
        self.open("a1", "b1", "c1")
        self.call(DONE, 0.05, times=90, quiet=True)
        self.call(FULL, 0.01, times=45, quiet=True)
        self.note(f"states {[backend.state - 40 for backend in self.backends.values()]}")
        self.list("b1", "c1", ready=False)
        self.call(FULL, 0.01, times=10, quiet=True)
        self.kept("crowd")
