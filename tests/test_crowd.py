"""Behaviour that is harmless in one proxy but not in the forty, or all of a tier, that share the backends."""

from pepperusher.terms import DONE, ERROR

from tests.crowd import Crowd
from tests.scene import SECOND, TraceTestCase, BalancerTestCase


class Fleet(TraceTestCase):
    def test_fresh_backends_are_not_idle_beside_bounced_tickets(self) -> None:
        """Six of ten backends are replaced: overload of the remaining warm ones must not restrict the new ones."""
        crowd = Crowd(7)
        crowd.list(*(f"b{number}" for number in range(10)))
        crowd.play(10, 88, 0.06)
        crowd.list(*(f"b{number}" for number in range(6)), ready=False)
        for number in range(6, 10):
            crowd.backends[f"b{number}"].speed = 0.4  # overloaded
        crowd.list(*(f"f{number}" for number in range(6)), started_at=crowd.now)
        earlier_counts = crowd.counts.copy()
        crowd.play(5, 140, 0.06)
        new_counts = crowd.counts - earlier_counts
        restarted_at = crowd.now - 5 * SECOND
        most = max(
            sum(window_start <= sent_at < window_start + 3 * SECOND for sent_at in backend.sent_times)
            for backend in crowd.backends.values()
            if backend.started_at
            for window_start in range(restarted_at, crowd.now, SECOND // 4)
        )
        self.lines = [
            f"to new backends {sum(new_counts[f'f{number}'] for number in range(6))}, to warm ones"
            f" {sum(new_counts[f'b{number}'] for number in range(6, 10))}, done {new_counts['done']}, bounced {new_counts['bounced']},"
            f" timed out {new_counts['timed out']}",
            f"most to a new backend in any 3 s {most}; the rule allows at least 3 x 0.4 x 3 / 0.06 = 60",
        ]
        self.compare_trace("fleet_fresh")


class Refused(BalancerTestCase):
    def test_a_fresh_backend_is_no_way_past_the_prediction_for_what_may_have_run(self) -> None:
        """The prediction refused the retry, a cold backend of another cell had budget, and the retry went to the
        overloaded backends of its own cell."""
        self.open("a1", "b1")
        for use_case in ("look", "book"):
            self.call(DONE, 0.1, use_case=use_case, times=40, quiet=True)
        ticket = self.ticket("book", timeout_s=4.0)
        self.choose_backend(ticket)
        self.list("c2", started_at=self.now)
        for name in ("a1", "b1"):
            self.backends[name].in_flight += 40
        self.end_attempt(ticket, ERROR, 0.9)
        self.backends["c2"].tokens = 1.0
        self.choose_backend(ticket)
        self.choose_backend(self.ticket())
        self.compare_trace("fresh_no_way_past")
