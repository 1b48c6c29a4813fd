"""Whose list a proxy goes by, in virtual time: the decisions by themselves, and histories by chance in which a drain must
be told within the term and nothing older may come into force."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from random import Random

import msgspec

from pepperusher.distribution import wire
from pepperusher.distribution.endpoint_source import (
    UNDECIDED, CONTROL, DISCOVERY, LEAVE_AFTER, LEAVE_SPREAD, START_WAIT_US, START_SPREAD, STAY, EndpointSource,
)  # fmt: skip
from pepperusher.distribution.freshness import KEPT, Freshness
from pepperusher.distribution.messages import Heartbeat, Version, FreshnessReport

SECOND = 1_000_000
TERM = 6 * SECOND


def version(number: int) -> Version:
    return Version(1, number)


class Words(unittest.TestCase):
    def test_passed_round_a_word_gets_no_younger(self) -> None:
        """Two machines that tell each other: each hearing is later than the sending by the time on the way."""
        one, other = Freshness(), Freshness()
        one.own("e/l", version(5), 0, 0)
        now = 0
        for _ in range(100):
            now += 20_000
            for word in one.of(["e/l"], now):
                other.record(word, now + 5_000)
            for word in other.of(["e/l"], now + 10_000):
                self.assertFalse(one.record(word, now + 15_000))
        self.assertEqual(0, one.get("e/l").confirmed_at)  # type: ignore[union-attr]
        # The first hearing, by which it was 5 ms on the way, and no other.
        self.assertEqual(5_000, other.get("e/l").confirmed_at)  # type: ignore[union-attr]

    def test_the_newest_version_and_then_the_latest_moment(self) -> None:
        heard = Freshness()
        self.assertTrue(heard.record(FreshnessReport("e/l", 1, 5, 100, 7), 1_000))
        self.assertFalse(heard.record(FreshnessReport("e/l", 1, 4, 900, 0), 1_001))
        self.assertFalse(heard.record(FreshnessReport("e/l", 1, 5, 100, 0), 1_002))
        self.assertTrue(heard.record(FreshnessReport("e/l", 1, 5, 101, 3), 1_003))
        self.assertEqual([FreshnessReport("e/l", 1, 5, 101, 10)], heard.of(["e/l", "e/other"], 1_010))
        self.assertTrue(heard.record(FreshnessReport("e/l", 1, 6, 2, 0), 1_011))

    def test_an_owner_whose_clock_was_set_back_is_heard(self) -> None:
        """Others have its word of before its restart; it hears that from them, and goes on behind it."""
        owner, other = Freshness(), Freshness()
        other.record(FreshnessReport("e/l", 1, 5, 10_000_000, 0), 50)
        for word in other.of(["e/l"], 60):
            owner.record(word, 61)
        owner.own("e/l", version(5), 9_000_000, 9_000_000)
        self.assertTrue(other.record(owner.of(["e/l"], 9_000_000)[0], 70))

    def test_what_nobody_speaks_of_is_forgotten(self) -> None:
        heard = Freshness()
        heard.record(FreshnessReport("e/l", 1, 5, 100, 7), 0)
        heard.forget(KEPT - 1)
        self.assertEqual(["e/l"], heard.names)
        heard.forget(KEPT)
        self.assertEqual([], heard.names)

    def test_a_beat_of_the_release_before_is_read_and_one_of_the_next(self) -> None:
        """Fields at the end: their absence is nothing said, what follows them is read over."""
        before = msgspec.msgpack.encode([5, 1, 2, 3])
        self.assertEqual(Heartbeat(1, 2, 3), wire.decode(before))
        after = msgspec.msgpack.encode([5, 1, 2, 3, [["e/l", 1, 5, 100, 7, "later"]], "later"])
        self.assertEqual(Heartbeat(1, 2, 3, [FreshnessReport("e/l", 1, 5, 100, 7)]), wire.decode(after))


class Decisions(unittest.TestCase):
    def setUp(self) -> None:
        self.made(None)

    def made(self, told: int | None, patience: int = START_WAIT_US) -> None:
        self.source = EndpointSource(0, Random(7), told, patience)

    def relayed(self, at: int, number: int = 10) -> None:
        """By control machines since `at`, with discovery's word of that moment."""
        self.source.set_relayed_version(version(1), number)
        self.source.confirm_relayed_version(version(1), at)
        step = self.source.step(at, False)
        self.assertEqual((True, False, CONTROL), (step.apply_relayed_list, step.watch_discovery, self.source.active))

    def test_a_start_waits_for_control_machines_and_then_asks(self) -> None:
        step = self.source.step(0, False)
        self.assertEqual((False, False), (step.apply_relayed_list, step.watch_discovery))
        self.assertTrue(START_WAIT_US <= step.wake_at < START_WAIT_US + START_SPREAD)
        self.assertFalse(self.source.step(step.wake_at - 1, False).watch_discovery)
        self.assertTrue(self.source.step(step.wake_at, False).watch_discovery)
        self.assertEqual(DISCOVERY, self.source.active)
        self.made(None, 0)
        self.assertTrue(self.source.step(0, False).watch_discovery)

    def test_a_list_without_a_word_is_not_gone_by(self) -> None:
        """As one of an old disk is, that nobody has compared with discovery."""
        self.source.set_relayed_version(version(1), 10)
        self.assertEqual((False, UNDECIDED), (self.source.step(0, False).apply_relayed_list, self.source.active))
        self.source.confirm_relayed_version(version(2), 0)
        self.assertFalse(self.source.step(1, False).apply_relayed_list)
        self.source.set_relayed_version(version(2), 11)
        self.assertEqual((True, CONTROL), (self.source.step(2, False).apply_relayed_list, self.source.active))

    def test_left_so_long_after_the_last_word_of_discovery(self) -> None:
        """However often control machines say the same old word again."""
        self.relayed(0)
        for at in range(0, LEAVE_AFTER, 100_000):
            self.source.confirm_relayed_version(version(1), 0)
            self.assertFalse(self.source.step(at, False).watch_discovery)
        self.assertTrue(self.source.step(LEAVE_AFTER + LEAVE_SPREAD, False).watch_discovery)
        self.assertEqual((DISCOVERY, 1), (self.source.active, self.source.switches_to_discovery))

    def test_the_spread_is_drawn(self) -> None:
        dues = set()
        for seed in range(50):
            source = EndpointSource(0, Random(seed), None)
            source.set_relayed_version(version(1), 1)
            source.confirm_relayed_version(version(1), 0)
            dues.add(source.step(0, False).wake_at)
        self.assertGreater(len(dues), 45)
        self.assertTrue(all(LEAVE_AFTER <= due < LEAVE_AFTER + LEAVE_SPREAD for due in dues))

    def test_a_word_of_another_version_keeps_nothing_fresh(self) -> None:
        self.relayed(0)
        for at in range(0, LEAVE_AFTER + LEAVE_SPREAD, 500_000):
            self.source.confirm_relayed_version(version(2), at)
            self.source.step(at, False)
        self.assertTrue(self.source.step(LEAVE_AFTER + LEAVE_SPREAD, False).watch_discovery)

    def test_back_at_once_without_a_watch_and_later_with_one(self) -> None:
        for watched in (False, True):
            with self.subTest(watched=watched):
                self.made(None)
                self.relayed(0)
                self.assertTrue(self.source.step(10 * SECOND, False).watch_discovery)
                at = 20 * SECOND
                self.source.confirm_relayed_version(version(1), at)
                step = self.source.step(at, watched)
                self.assertEqual(watched, step.watch_discovery)
                if watched:
                    self.assertTrue(at + STAY <= step.wake_at < at + 2 * STAY)
                    for later in range(at, step.wake_at, 500_000):
                        self.source.confirm_relayed_version(version(1), later)
                        self.assertTrue(self.source.step(later, True).watch_discovery)
                    self.source.confirm_relayed_version(version(1), step.wake_at)
                    self.assertFalse(self.source.step(step.wake_at, True).watch_discovery)
                self.assertEqual((CONTROL, 2), (self.source.active, self.source.switches_to_control))

    def test_an_older_list_is_not_gone_back_to_however_young_it_is_said_to_be(self) -> None:
        self.relayed(0)
        self.source.step(3 * SECOND, False)
        self.source.set_discovery_version(12, 4 * SECOND)
        for at in range(4 * SECOND, 60 * SECOND, SECOND):
            self.source.confirm_relayed_version(version(1), at)
            step = self.source.step(at, at % 2 == 0)
            self.assertEqual((False, True), (step.apply_relayed_list, step.watch_discovery))
        # As new as what was told here, and said after that.
        self.source.set_relayed_version(version(2), 12)
        self.source.confirm_relayed_version(version(2), 60 * SECOND)
        self.assertFalse(self.source.step(60 * SECOND, False).watch_discovery)

    def test_a_word_of_before_discovery_told_here_does_not_count(self) -> None:
        """Discovery began anew, and the list with the greater number is of before that."""
        self.relayed(0, 500)
        self.source.step(3 * SECOND, False)
        self.source.set_discovery_version(3, 4 * SECOND)
        self.source.confirm_relayed_version(version(1), 4 * SECOND - 1)
        step = self.source.step(4 * SECOND, False)
        self.assertEqual((False, True), (step.apply_relayed_list, step.watch_discovery))

    def test_a_lower_number_waits_for_its_word(self) -> None:
        """Without one it may be of an old disk; with one, discovery began anew."""
        self.relayed(0, 500)
        self.source.set_relayed_version(version(2), 3)
        self.assertFalse(self.source.step(1, False).apply_relayed_list)
        self.source.confirm_relayed_version(version(2), 2)
        self.assertTrue(self.source.step(2, False).apply_relayed_list)
        # A greater one is a change, and waits for nothing.
        self.source.set_relayed_version(version(3), 4)
        self.assertTrue(self.source.step(3, False).apply_relayed_list)

    def test_of_another_discovery_it_is_not_gone_by(self) -> None:
        self.source.set_relayed_version(version(1), None)
        self.source.confirm_relayed_version(version(1), 0)
        self.assertEqual((False, UNDECIDED), (self.source.step(0, False).apply_relayed_list, self.source.active))
        self.source.set_relayed_discovery_version(10)
        self.assertTrue(self.source.step(1, False).apply_relayed_list)
        # The file now names another.
        self.source.set_relayed_discovery_version(None)
        step = self.source.step(2, False)
        self.assertEqual((False, True), (step.apply_relayed_list, step.watch_discovery))

    def test_late_as_it_is_a_newer_list_is_taken_where_nobody_tells_any(self) -> None:
        self.relayed(0)
        self.assertTrue(self.source.step(4 * SECOND, False).watch_discovery)
        self.source.set_relayed_version(version(2), 11)
        self.source.confirm_relayed_version(version(2), 1 * SECOND)
        step = self.source.step(5 * SECOND, False)
        self.assertEqual((True, True, DISCOVERY), (step.apply_relayed_list, step.watch_discovery, self.source.active))
        self.assertFalse(self.source.step(5 * SECOND + 1, False).apply_relayed_list)

    def test_who_comes_back_takes_the_list_though_it_is_the_same(self) -> None:
        """The decisions were told that it is lost, and are told that it is not."""
        self.relayed(0)
        self.source.step(4 * SECOND, False)
        self.source.confirm_relayed_version(version(1), 5 * SECOND)
        self.assertEqual((True, False), self.source.step(5 * SECOND, False)[:2])

    def test_who_goes_to_and_fro_stays_longer_with_discovery(self) -> None:
        stays, at = [], 0
        self.relayed(0)
        for _ in range(5):
            at += 4 * SECOND
            self.source.step(at, False)
            self.source.confirm_relayed_version(version(1), at)
            back = self.source.step(at, True).wake_at
            stays.append(back - at)
            for at in range(at, back + SECOND, SECOND):
                self.source.confirm_relayed_version(version(1), at)
                self.source.step(at, True)
            self.assertEqual(CONTROL, self.source.active)
        self.assertTrue(all(STAY <= one for one in stays))
        self.assertGreater(stays[-1], 4 * STAY)


# --- histories by chance ----------------------------------------------------------------------------

TICK = 10_000


@dataclass
class Spans:
    """When something does not work: from and till."""

    those: list[tuple[int, int]] = field(default_factory=list)

    def at(self, now: int) -> bool:
        return any(begin <= now < end for begin, end in self.those)

    @staticmethod
    def drawn(chance: Random, many: int, until: int) -> Spans:
        begins = [chance.randrange(5 * SECOND, until) for _ in range(chance.randrange(many + 1))]
        return Spans([(one, one + chance.randrange(200_000, 15 * SECOND)) for one in begins])


class Watch:
    """A watch of discovery, the owner's or the proxy's, as `net.discovery` keeps one. A call is answered 50 ms after it
    went out, if it can be. What falls silent is noticed after 2.5 to 3 s; failed calls go out again after `pause`.
    """

    def __init__(self, play: Play, cut: Spans, pause: int) -> None:
        self.play, self.cut, self.pause = play, cut, pause
        self.on = False
        self.stands = False
        self.broken = False  # lost, and not noticed yet
        self.next_at = 0
        self.answer_at: int | None = None
        self.word_at = 0
        self.told: tuple[int, int] | None = None

    def turn(self, on: bool, now: int) -> None:
        if on != self.on:
            self.on, self.stands, self.answer_at, self.next_at = on, False, None, now

    def reachable(self, now: int) -> bool:
        return not self.cut.at(now) and not self.play.down.at(now)

    def tick(self, now: int) -> tuple[bool, bool]:
        """Whether it spoke, and with something new."""
        if not self.on:
            return False, False
        if self.stands:
            if self.play.begun_at == now or self.play.down.at(now):
                # Its process ended: the connection with it.
                self.stands, self.next_at = False, now + self.pause
                return False, False
            self.broken = self.broken or self.cut.at(now)
            if self.broken:
                if now - self.word_at >= 2_500_000 + self.play.spread:
                    self.stands, self.next_at = False, now
                return False, False
            if self.told != self.play.state:
                self.told, self.word_at = self.play.state, now
                return True, True
            if now - self.word_at >= 2 * SECOND:
                self.word_at = now
                return True, False
            return False, False
        if self.answer_at is None:
            if now >= self.next_at:
                self.answer_at = now + 50_000
                self.play.calls += self is self.play.mine
        elif now >= self.answer_at:
            self.answer_at = None
            if not self.reachable(now):
                self.next_at = now + self.pause
                return False, False
            self.stands, self.broken, self.word_at = True, False, now
            news = self.told != self.play.state
            self.told = self.play.state
            return True, news
        return False, False


class Play:
    """One discovery, one owner, one proxy. `state` is discovery's: its life, and the number of the last change."""

    def __init__(self, seed: int, seconds: int = 90) -> None:
        chance = self.chance = Random(seed)
        self.end = seconds * SECOND
        self.down = Spans.drawn(chance, 1, self.end)
        self.spread = chance.randrange(500_000)
        self.begun_at = -1
        self.anew = {chance.randrange(10 * SECOND, self.end) // TICK * TICK for _ in range(chance.randrange(3))}
        self.changes = {chance.randrange(SECOND, self.end) // TICK * TICK for _ in range(40)} - self.anew
        self.state = (0, chance.randrange(100, 200))
        self.history = [(0, self.state)]
        self.calls = 0
        # The owner, and the way from it to the proxy: cut, slow, away.
        self.owner = Watch(self, Spans.drawn(chance, 2, self.end), 250_000)
        self.away = Spans.drawn(chance, 1, self.end)
        self.cut = Spans.drawn(chance, 2, self.end)
        self.slow = Spans.drawn(chance, 1, self.end)
        self.mine = Watch(self, Spans.drawn(chance, 1, self.end), chance.randrange(500_000, 2_500_000))
        self.written: tuple[Version, tuple[int, int]] | None = None
        self.sent: list[tuple[int, Version, tuple[int, int], int]] = []  # on the way
        self.source = EndpointSource(0, Random(seed), None)
        self.held: dict[Version, tuple[int, int]] = {}
        self.in_force: tuple[int, int] | None = None
        self.wake_at = 0
        self.late: list[str] = []
        self.older: list[str] = []
        self.relayed = 0  # ticks in which the list was told by control machines and no watch stood

    def _send(self, now: int, version: Version, state: tuple[int, int], spoke_at: int) -> None:
        """A list and its word: lost where the way is cut, and what comes on a slow way comes up to 2 s later. The word is
        by its age, so the way is not counted."""
        if not self.cut.at(now):
            delay = (
                self.chance.randrange(1_000, 40_000)
                if not self.slow.at(now)
                else self.chance.randrange(200_000, 2 * SECOND)
            )
            self.sent.append((now + delay, version, state, now - spoke_at))

    def run(self) -> None:
        last_word, was_away, resent_at = -1, False, 0
        for now in range(0, self.end, TICK):
            if now in self.anew:
                self.state, self.begun_at = (self.state[0] + 1, self.chance.randrange(1, 5)), now
                self.history.append((now, self.state))
            elif now in self.changes:
                self.state = (self.state[0], self.state[1] + 1)
                self.history.append((now, self.state))
            # The owner: a process that is away has no watch, and comes back with what is on its disk.
            away = self.away.at(now)
            self.owner.turn(not away, now)
            spoke, _ = self.owner.tick(now)
            if spoke and self.owner.told is not None:
                if self.written is None or self.written[1] != self.owner.told:
                    number = max(now // 1000, self.written[0].number + 1 if self.written else 1)
                    self.written = version(number), self.owner.told
                last_word = now
                self._send(now, *self.written, now)
            elif self.written is not None and not away and now - resent_at >= 2 * SECOND:
                # A beat, or a connection that was made anew: the word of then, as old as it is. One that has just
                # started has no word, but an old list to show, younger in its own eyes than it is.
                resent_at = now
                if was_away and last_word < now - 2 * SECOND:
                    old = version(self.written[0].number - 5)
                    self._send(now, old, (self.written[1][0], max(0, self.written[1][1] - 2)), now)
                else:
                    self._send(now, *self.written, last_word)
            was_away = away or (was_away and not spoke)
            # The proxy.
            heard = False
            for one in [one for one in self.sent if one[0] <= now]:
                self.sent.remove(one)
                heard = True
                _, ver, state, age = one
                if not self.held or ver > max(self.held):
                    self.held[ver] = state
                    self.source.set_relayed_version(ver, state[1])
                self.source.confirm_relayed_version(ver, now - age)
            spoke, _ = self.mine.tick(now)
            if spoke and self.mine.told != self.in_force:
                self._put(self.mine.told, "discovery", now)
                assert self.mine.told is not None
                self.source.set_discovery_version(self.mine.told[1], now)
                heard = True
            if heard or spoke or now >= self.wake_at:
                step = self.source.step(now, self.mine.stands)
                if step.apply_relayed_list:
                    self._put(self.held[max(self.held)], "control machines", now)
                self.mine.turn(step.watch_discovery, now)
                self.wake_at = step.wake_at
                assert step.wake_at > now
            self.relayed += self.source.active == CONTROL and not self.mine.on
            self._look(now)

    def _put(self, state: tuple[int, int] | None, by: str, now: int) -> None:
        if state is not None and self.in_force is not None and state < self.in_force:
            self.older.append(f"{now}: {state} by {by} after {self.in_force}")
        self.in_force = state

    def _look(self, now: int) -> None:
        """Who could reach discovery for the term's time has what discovery had before that."""
        since = now - TERM - 200_000
        if since < 0 or any(begin < now and since < end for begin, end in (*self.mine.cut.those, *self.down.those)):
            return
        due = [state for at, state in self.history if at <= since][-1]
        if self.in_force is None or self.in_force < due:
            self.late.append(f"{now}: {self.in_force} for {due}, by {self.source.active}")


class Histories(unittest.TestCase):
    def test_told_within_the_term_and_nothing_older(self) -> None:
        relayed = left = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                play = Play(seed)
                play.run()
                self.assertEqual([], play.late[:3])
                self.assertEqual([], play.older[:3])
                relayed += play.relayed
                left += play.source.switches_to_discovery
        # And it is control machines that tell, for the most part; they are left now and then.
        self.assertGreater(relayed, 60 * 9_000 * 0.5)
        self.assertGreater(left, 60)

    def test_without_troubles_discovery_is_never_asked(self) -> None:
        play = Play(1)
        for one in (play.down, play.owner.cut, play.away, play.cut, play.slow, play.mine.cut):
            one.those.clear()
        play.anew.clear()
        play.run()
        self.assertEqual((0, [], []), (play.calls, play.late, play.older))


if __name__ == "__main__":
    unittest.main()
