"""What each proxy does that is harmless alone: forty of them, or as many as share a tier, and one tally over all."""

from pepperusher.terms import DONE, ERROR

from tests.crowd import Crowd
from tests.scene import SECOND, TraceTestCase, BalancerTestCase


class Fleet(TraceTestCase):
    def test_fresh_backends_are_not_idle_beside_bounced_tickets(self) -> None:
        """Six in ten replaced: the warm ones jam, and their jam must not hold the fresh ones' part down."""
        crowd = Crowd(7)
        crowd.list(*(f"b{one}" for one in range(10)))
        crowd.play(10, 88, 0.06)
        crowd.list(*(f"b{one}" for one in range(6)), ready=False)
        for one in range(6, 10):
            crowd.cores[f"b{one}"].speed = 0.4  # choked
        crowd.list(*(f"f{one}" for one in range(6)), born=crowd.now)
        before = crowd.tally.copy()
        crowd.play(5, 140, 0.06)
        now = crowd.tally - before
        born = crowd.now - 5 * SECOND
        most = max(
            sum(since <= at < since + 3 * SECOND for at in core.sent)
            for core in crowd.cores.values()
            if core.born
            for since in range(born, crowd.now, SECOND // 4)
        )
        self.lines = [
            f"to the fresh {sum(now[f'f{one}'] for one in range(6))}, to the warm"
            f" {sum(now[f'b{one}'] for one in range(6, 10))}, done {now['done']}, bounced {now['bounced']},"
            f" timed out {now['timed out']}",
            f"most to a fresh one in any 3 s {most}; the least of it the rule allows 3 x 0.4 x 3 / 0.06 = 60",
        ]
        self.compare_trace("fleet_fresh")


class Refused(BalancerTestCase):
    def test_a_fresh_backend_is_no_way_past_the_prediction_for_what_may_have_run(self) -> None:
        """The prediction refused it, a fresh one of another cell had budget, and it went to the jammed ones of its own."""
        self.open("a1", "b1")
        for use in ("look", "book"):
            self.call(DONE, 0.1, use=use, times=40, quiet=True)
        ticket = self.ticket("book", left=4.0)
        self.where(ticket)
        self.list("c2", born=self.now)
        for name in ("a1", "b1"):
            self.backends[name].in_flight += 40
        self.after(ticket, ERROR, 0.9)
        self.backends["c2"].allowance = 1.0
        self.where(ticket)
        self.where(self.ticket())
        self.compare_trace("fresh_no_way_past")
