import unittest

from pepperusher.capacity import attempts
from pepperusher.terms import CALLED_OFF, CLOSED, DONE, ERROR, FULL, MOOT, RESET, TIMED_OUT, UNREACHED

from tests.scene import SECOND, BalancerTestCase


class Breaker(BalancerTestCase):
    def test_trips_by_run(self) -> None:
        self.open("a1")
        for how in (ERROR, FULL, UNREACHED, RESET, CALLED_OFF, MOOT, ERROR):
            self.call(how)
        self.compare_trace("trip_by_run")

    def test_trips_by_half_of_a_full_window(self) -> None:
        self.open("a1")
        self.call(DONE, times=9, quiet=True)
        for _ in range(5):
            self.call(ERROR, quiet=True)
            self.call(ERROR)
            self.call(DONE, quiet=True)
        self.compare_trace("trip_by_window")

    def test_counts_reset_and_a_late_result_is_discarded(self) -> None:
        self.open("a1")
        late = self.ticket()
        self.where(late)
        self.call(ERROR, times=5, quiet=True)
        self.after(late, DONE, 0.1)
        self.pass_time(5)
        self.call(DONE, times=3)
        self.call(ERROR, times=4)
        self.compare_trace("late_result")

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
        self.compare_trace("trials")

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
        self.compare_trace("none_admits")

    def test_a_failure_shared_by_all_opens_no_server(self) -> None:
        """A tier below that fails must not open the sound backends above it."""
        self.open("a1", "b1", "c1", "d1")
        self.call(ERROR, times=60, quiet=True)
        self.note(f"states {[backend.state - 40 for backend in self.backends.values()]}")
        self.compare_trace("shared_failure")

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
        self.compare_trace("use_shut")

    def test_a_lost_answer_is_no_time(self) -> None:
        """Counted as one, a fifth of answers lost made each wait all that its caller had left, and leave no second try.

        In the first tier it counts as before: the prediction there goes by the usual time.
        """
        said = []
        for stage in (1, 0):
            self.open("a1", "b1", "c1", "d1", tier_index=stage)
            self.call(DONE, 0.05, times=40, quiet=True)
            for _ in range(12):
                self.call(TIMED_OUT, 1.0, quiet=True)
                self.call(DONE, 0.05, times=4, quiet=True)
            self.note(f"tier {stage + 1}, the ticket has {2 if stage else 1} s")
            self.call(DONE)
            said += self.lines
        self.lines = said
        self.compare_trace("lost_answer")

    def test_lost_answers_in_a_row_with_nothing_heard_are_a_time(self) -> None:
        """Four tell nothing, nor four and one that is answered, by an error too; from the fifth on each counts as
        twice the usual time, however long it was out; one that was called off breaks no row."""

        def learned(*hows: int) -> int:
            self.open("a1", "b1", "c1", "d1", tier_index=1)
            self.call(DONE, 0.05, times=40, quiet=True)
            for how in hows:
                self.call(how, 1.0 if how == TIMED_OUT else 0.05, quiet=True)
            return self.use_cases["look"].mean_latency

        usual = learned()
        for how in (DONE, ERROR, FULL, RESET):
            self.assertEqual(usual, learned(*[*[TIMED_OUT] * 4, how] * 5))
        self.assertEqual(usual, learned(*[TIMED_OUT] * 4))
        self.assertEqual(usual + usual // 16, learned(*[TIMED_OUT] * 5))
        self.assertEqual(
            usual + usual // 16, learned(TIMED_OUT, TIMED_OUT, CALLED_OFF, TIMED_OUT, TIMED_OUT, TIMED_OUT)
        )
        self.assertLess(1.5 * usual, learned(*[TIMED_OUT] * 20))

    def test_lost_answers_while_others_come_are_no_time_at_a_proxy_with_many_calls(self) -> None:
        """Ten out at once at a server that hangs all end together: others were done while they were out."""
        self.open("a1", "b1", "c1", "d1", tier_index=1)
        self.call(DONE, 0.05, times=40, quiet=True)
        usual = self.use_cases["look"].mean_latency
        out = [self.ticket() for _ in range(10)]
        for ticket in out:
            self.where(ticket, quiet=True)
        self.call(DONE, 0.05, quiet=True)
        self.pass_time(1.0)
        for ticket in out:
            self.after(ticket, TIMED_OUT, over=True, quiet=True)
        self.assertEqual(usual, self.use_cases["look"].mean_latency)

    def test_a_caller_with_little_time_says_nothing_about_the_server(self) -> None:
        self.open("a1")
        self.call(DONE, 0.2, times=30, quiet=True)
        for _ in range(12):
            ticket = self.ticket(left=0.05)
            self.where(ticket, quiet=True)
            self.after(ticket, TIMED_OUT, 0.05, over=True, quiet=True)
        self.note(f"state {self.backends['a1'].state - 40}")
        self.compare_trace("little_time")

    def test_servers_full_one_after_another_stay_closed(self) -> None:
        """A burst that fills every server must not open them all and drown the last."""
        self.open("a1", "b1", "c1")
        self.call(DONE, 0.05, times=90, quiet=True)
        self.call(FULL, 0.01, times=45, quiet=True)
        self.note(f"states {[backend.state - 40 for backend in self.backends.values()]}")
        self.list("b1", "c1", ready=False)
        self.call(FULL, 0.01, times=10, quiet=True)
        self.compare_trace("crowd")


class Chains(unittest.TestCase):
    """Levels of services, each with a proxy that makes up to three attempts, in virtual time."""

    def test_a_chain_comes_through_when_its_services_are_slower(self) -> None:
        """None fails: cut short by half of what was left, none was ever done again from eight levels on."""
        for depth, factor in ((8, 2), (8, 10), (16, 2), (16, 5), (30, 2), (30, 3)):
            _, after = attempts.slowed(depth, factor, 1, calls=50)
            self.assertEqual(after.done, 1.0, f"{depth} levels, {factor} times as long")
            self.assertLess(after.sends, 1.1 * depth, f"{depth} levels, {factor} times as long")

    def test_a_chain_none_of_which_knows_a_time_comes_through(self) -> None:
        """Sixteen levels and more got nothing through, at 109 sends a call, for ever."""
        for depth in (8, 16, 30):
            came = attempts.cold(depth, 1)
            self.assertGreaterEqual(came.done, 0.95, f"{depth} levels")
            self.assertLess(came.sends, 1.7 * depth, f"{depth} levels")

    def test_one_server_that_hangs_does_not_make_all_wait(self) -> None:
        for depth in (8, 30):
            for level in (0, depth // 2, depth - 1):
                first, after, grown = attempts.hung(depth, [level], 1, calls=50)
                self.assertEqual((first.done, after.done), (1.0, 1.0), f"level {level} of {depth}")
                self.assertLess(first.sends, 1.2 * depth, f"level {level} of {depth}")
                self.assertLess(after.sends, 1.1 * depth, f"level {level} of {depth}")
                self.assertLess(grown, 2.0, f"level {level} of {depth}")
