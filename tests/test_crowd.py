"""What each proxy does that is harmless alone: forty of them, or as many as share a tier, and one tally over all."""

from tests.crowd import Crowd
from tests.scene import SECOND, Kept


class Fleet(Kept):
    def test_one_that_slows_is_let_go_of_until_it_is_quick_again(self) -> None:
        """Held alike by number, a slow one keeps as many as the others and they stay for longer: one that choked by what
        it held never got under what ends that, from many proxies with a ticket or two each."""
        crowd = Crowd(7)
        crowd.list(*(f"b{one}" for one in range(10)))
        crowd.play(10, 130, 0.05)
        crowd.cores["b3"].speed = 0.25
        before = crowd.tally.copy()
        held = []
        for _ in range(20):
            crowd.play(0.3, 130, 0.05)
            held.append(len(crowd.cores["b3"].work))
        now = crowd.tally - before
        self.lines = [f"slowed to a quarter for 6 s: it held {held}, {now['b3']} were sent there, the others"
                      f" {min(now[name] for name in crowd.cores if name != 'b3')} at the least;"
                      f" bounced {now['bounced']}, timed out {now['timed out']}"]
        self.kept("fleet_slowed")

    def test_fresh_backends_are_not_idle_beside_bounced_tickets(self) -> None:
        """Six in ten replaced: the warm ones jam, and their jam must not hold the fresh ones' part down."""
        crowd = Crowd(7)
        crowd.list(*(f"b{one}" for one in range(10)))
        crowd.play(10, 88, 0.06)
        crowd.list(*(f"b{one}" for one in range(6)), ready=False)
        for one in range(6, 10):
            crowd.cores[f"b{one}"].speed = 0.4   # choked
        crowd.list(*(f"f{one}" for one in range(6)), born=crowd.now)
        before = crowd.tally.copy()
        crowd.play(5, 140, 0.06)
        now = crowd.tally - before
        born = crowd.now - 5 * SECOND
        most = max(sum(since <= at < since + 3 * SECOND for at in core.sent) for core in crowd.cores.values() if core.born
                   for since in range(born, crowd.now, SECOND // 4))
        self.lines = [f"to the fresh {sum(now[f'f{one}'] for one in range(6))}, to the warm"
                      f" {sum(now[f'b{one}'] for one in range(6, 10))}, done {now['done']}, bounced {now['bounced']},"
                      f" timed out {now['timed out']}",
                      f"most to a fresh one in any 3 s {most}; the least of it the rule allows 3 x 0.4 x 3 / 0.06 = 60"]
        self.kept("fleet_fresh")
