import unittest

from pepperusher.capacity import attempts
from pepperusher.terms import CALLED_OFF, CLOSED, DONE, ERROR, FULL, MOOT, RESET, TIMED_OUT, UNREACHED

from tests.scene import SECOND, BalancerTestCase


class Breaker(BalancerTestCase):
    def test_trips_by_run(self) -> None:
        self.open("a1")
        for outcome in (ERROR, FULL, UNREACHED, RESET, CALLED_OFF, MOOT, ERROR):
            self.call(outcome)
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
        self.choose_backend(late)
        self.call(ERROR, times=5, quiet=True)
        self.end_attempt(late, DONE, 0.1)
        self.pass_time(5)
        self.call(DONE, times=3)
        self.call(ERROR, times=4)
        self.compare_trace("late_result")

    def test_trials_close_reopen_and_time_out(self) -> None:
        self.open("a1", "b1")
        self.backends["b1"].weight = self.backends["b1"].effective_weight = 0.0001
        while self.backends["a1"].state == self.backends["b1"].state:
            self.call(ERROR, quiet=True)
        self.pass_time(5)
        first, second = self.ticket(), self.ticket()
        self.choose_backend(first)
        self.choose_backend(second)
        self.end_attempt(second, DONE, 0.1)
        self.end_attempt(first, ERROR, 0.1, final=True)
        self.pass_time(5)
        overdue = self.ticket()
        self.choose_backend(overdue)
        self.pass_time(2.5)
        self.call(DONE, times=1)
        self.end_attempt(overdue, TIMED_OUT)
        self.pass_time(5)
        self.call(DONE, times=5)
        self.compare_trace("trials")

    def test_none_admits(self) -> None:
        self.open("a1", "b1")
        self.balancer._failure_is_shared = lambda backend: False
        while any(backend.state == CLOSED for backend in self.backends.values()):
            self.call(ERROR, quiet=True)
        first, second, third = self.ticket(), self.ticket(), self.ticket()
        for ticket in (first, second, third):
            self.choose_backend(ticket)
        self.end_attempt(second, TIMED_OUT, 1.0, final=True)
        self.call(DONE, times=4)
        self.compare_trace("none_admits")

    def test_a_failure_shared_by_all_opens_no_server(self) -> None:
        """A tier below that fails must not open the breakers of the healthy backends above it."""
        self.open("a1", "b1", "c1", "d1")
        self.call(ERROR, times=60, quiet=True)
        self.note(f"states {[backend.state - 40 for backend in self.backends.values()]}")
        self.compare_trace("shared_failure")

    def test_one_use_case_that_fails_at_a_server_is_not_sent_there(self) -> None:
        """A use case that fails at one backend is kept away from it while other use cases keep the breaker closed
        there.

        Before, half of its tickets timed out for as long as the fault lasted. Above the last tier most failures come
        from the tier below, and the rule does not apply.
        """
        lines = []
        for last_tier in (True, False):
            self.open("a1", "b1", "c1", last_tier=last_tier)
            timed_out_at = []
            for number in range(150):
                use_case = "look" if number % 2 else "book"
                ticket = self.ticket(use_case)
                chosen = self.choose_backend(ticket, quiet=True)
                if use_case == "look" and chosen.address == "a1":
                    timed_out_at.append(f"{(self.now - 100 * SECOND) / SECOND:.1f}")
                    self.end_attempt(ticket, TIMED_OUT, 0.5, final=True, quiet=True)
                else:
                    self.end_attempt(ticket, DONE, 0.05, quiet=True)
            self.note(f"last tier {last_tier}: look timed out at {', '.join(timed_out_at)}")
            self.note(
                f"state {self.backends['a1'].state - 40}, avoided by {len(self.backends['a1'].avoided_until)} use cases"
            )
            lines += self.lines
        self.lines = lines
        self.compare_trace("use_shut")

    def test_a_lost_answer_is_no_time(self) -> None:
        """A lost answer is not a latency sample below the first tier.

        With a fifth of all answers lost, such samples made each attempt wait for all the time its caller had left, and
        no time remained for a retry. In the first tier they count, because the admission prediction uses the mean
        latency.
        """
        lines = []
        for stage in (1, 0):
            self.open("a1", "b1", "c1", "d1", tier_index=stage)
            self.call(DONE, 0.05, times=40, quiet=True)
            for _ in range(12):
                self.call(TIMED_OUT, 1.0, quiet=True)
                self.call(DONE, 0.05, times=4, quiet=True)
            self.note(f"tier {stage + 1}, the ticket has {2 if stage else 1} s")
            self.call(DONE)
            lines += self.lines
        self.lines = lines
        self.compare_trace("lost_answer")

    def test_lost_answers_in_a_row_with_nothing_heard_are_a_time(self) -> None:
        """Lost answers count as latency samples from the fifth in a row, each as at most twice the mean latency.

        Any answer in between, also an error, starts a new row; a cancelled attempt does not.
        """

        def mean_latency_after(*outcomes: int) -> int:
            self.open("a1", "b1", "c1", "d1", tier_index=1)
            self.call(DONE, 0.05, times=40, quiet=True)
            for outcome in outcomes:
                self.call(outcome, 1.0 if outcome == TIMED_OUT else 0.05, quiet=True)
            return self.use_cases["look"].mean_latency

        mean_latency = mean_latency_after()
        for outcome in (DONE, ERROR, FULL, RESET):
            self.assertEqual(mean_latency, mean_latency_after(*[*[TIMED_OUT] * 4, outcome] * 5))
        self.assertEqual(mean_latency, mean_latency_after(*[TIMED_OUT] * 4))
        self.assertEqual(mean_latency + mean_latency // 16, mean_latency_after(*[TIMED_OUT] * 5))
        self.assertEqual(
            mean_latency + mean_latency // 16,
            mean_latency_after(TIMED_OUT, TIMED_OUT, CALLED_OFF, TIMED_OUT, TIMED_OUT, TIMED_OUT),
        )
        self.assertLess(1.5 * mean_latency, mean_latency_after(*[TIMED_OUT] * 20))

    def test_lost_answers_while_others_come_are_no_time_at_a_proxy_with_many_calls(self) -> None:
        """Ten attempts at a backend that hangs time out together; others completed meanwhile, so they are lost
        answers."""
        self.open("a1", "b1", "c1", "d1", tier_index=1)
        self.call(DONE, 0.05, times=40, quiet=True)
        mean_latency = self.use_cases["look"].mean_latency
        in_flight = [self.ticket() for _ in range(10)]
        for ticket in in_flight:
            self.choose_backend(ticket, quiet=True)
        self.call(DONE, 0.05, quiet=True)
        self.pass_time(1.0)
        for ticket in in_flight:
            self.end_attempt(ticket, TIMED_OUT, final=True, quiet=True)
        self.assertEqual(mean_latency, self.use_cases["look"].mean_latency)

    def test_a_caller_with_little_time_says_nothing_about_the_server(self) -> None:
        self.open("a1")
        self.call(DONE, 0.2, times=30, quiet=True)
        for _ in range(12):
            ticket = self.ticket(timeout_s=0.05)
            self.choose_backend(ticket, quiet=True)
            self.end_attempt(ticket, TIMED_OUT, 0.05, final=True, quiet=True)
        self.note(f"state {self.backends['a1'].state - 40}")
        self.compare_trace("little_time")

    def test_servers_full_one_after_another_stay_closed(self) -> None:
        """A burst that fills every backend must not open all breakers and overload the last one."""
        self.open("a1", "b1", "c1")
        self.call(DONE, 0.05, times=90, quiet=True)
        self.call(FULL, 0.01, times=45, quiet=True)
        self.note(f"states {[backend.state - 40 for backend in self.backends.values()]}")
        self.list("b1", "c1", ready=False)
        self.call(FULL, 0.01, times=10, quiet=True)
        self.compare_trace("crowd")


class Chains(unittest.TestCase):
    """Chains of services, each behind a proxy that makes up to three attempts, in virtual time."""

    def test_a_chain_comes_through_when_its_services_are_slower(self) -> None:
        """No call may fail. With attempts limited to half of the remaining time, no call succeeded with eight levels
        or more."""
        for depth, factor in ((8, 2), (8, 10), (16, 2), (16, 5), (30, 2), (30, 3)):
            _, after = attempts.slowed_services(depth, factor, 1, calls=50)
            self.assertEqual(after.done, 1.0, f"{depth} levels, {factor} times as long")
            self.assertLess(after.sends, 1.1 * depth, f"{depth} levels, {factor} times as long")

    def test_a_chain_none_of_which_knows_a_time_comes_through(self) -> None:
        """With sixteen levels or more no call succeeded, with 109 attempts for each call, and the chain never
        recovered."""
        for depth in (8, 16, 30):
            result = attempts.cold_chain(depth, 1)
            self.assertGreaterEqual(result.done, 0.95, f"{depth} levels")
            self.assertLess(result.sends, 1.7 * depth, f"{depth} levels")

    def test_one_server_that_hangs_does_not_make_all_wait(self) -> None:
        for depth in (8, 30):
            for level in (0, depth // 2, depth - 1):
                first, after, extra = attempts.hung_backends(depth, [level], 1, calls=50)
                self.assertEqual((first.done, after.done), (1.0, 1.0), f"level {level} of {depth}")
                self.assertLess(first.sends, 1.2 * depth, f"level {level} of {depth}")
                self.assertLess(after.sends, 1.1 * depth, f"level {level} of {depth}")
                self.assertLess(extra, 2.0, f"level {level} of {depth}")
