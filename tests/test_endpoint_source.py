"""Which list of endpoints a proxy uses, in virtual time: single decisions, and random histories in which a draining
backend must become known within the time limit and no older list may be put in force.
"""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from random import Random

import msgspec

from pepperusher.distribution import wire
from pepperusher.distribution.endpoint_source import (
    UNDECIDED,
    CONTROL,
    DISCOVERY,
    STALE_AFTER_US,
    STALE_SPREAD_US,
    START_WAIT_US,
    START_SPREAD_US,
    MIN_WATCH_US,
    EndpointSource,
)
from pepperusher.distribution.freshness import RETENTION_US, Freshness
from pepperusher.distribution.messages import Heartbeat, Version, FreshnessReport

SECOND_US = 1_000_000
TIME_LIMIT_US = 6 * SECOND_US


def version(number: int) -> Version:
    return Version(1, number)


class Words(unittest.TestCase):
    def test_passed_round_a_word_gets_no_younger(self) -> None:
        """Two machines exchange reports; each report arrives later than it was sent by its transit time."""
        owner, other = Freshness(), Freshness()
        owner.record_own("e/l", version(5), 0, 0)
        now = 0
        for _ in range(100):
            now += 20_000
            for report in owner.reports_for(["e/l"], now):
                other.record(report, now + 5_000)
            for report in other.reports_for(["e/l"], now + 10_000):
                self.assertFalse(owner.record(report, now + 15_000))
        self.assertEqual(0, owner.get("e/l").confirmed_at)  # type: ignore[union-attr]
        # The first report counts, which was 5 ms in transit, and no later one.
        self.assertEqual(5_000, other.get("e/l").confirmed_at)  # type: ignore[union-attr]

    def test_the_newest_version_and_then_the_latest_moment(self) -> None:
        freshness = Freshness()
        self.assertTrue(freshness.record(FreshnessReport("e/l", 1, 5, 100, 7), 1_000))
        self.assertFalse(freshness.record(FreshnessReport("e/l", 1, 4, 900, 0), 1_001))
        self.assertFalse(freshness.record(FreshnessReport("e/l", 1, 5, 100, 0), 1_002))
        self.assertTrue(freshness.record(FreshnessReport("e/l", 1, 5, 101, 3), 1_003))
        self.assertEqual([FreshnessReport("e/l", 1, 5, 101, 10)], freshness.reports_for(["e/l", "e/other"], 1_010))
        self.assertTrue(freshness.record(FreshnessReport("e/l", 1, 6, 2, 0), 1_011))

    def test_an_owner_whose_clock_was_set_back_is_heard(self) -> None:
        """Other machines have a report from before the owner's restart. The owner receives it from them and continues
        with a later stamp.
        """
        owner, other = Freshness(), Freshness()
        other.record(FreshnessReport("e/l", 1, 5, 10_000_000, 0), 50)
        for report in other.reports_for(["e/l"], 60):
            owner.record(report, 61)
        owner.record_own("e/l", version(5), 9_000_000, 9_000_000)
        self.assertTrue(other.record(owner.reports_for(["e/l"], 9_000_000)[0], 70))

    def test_what_nobody_speaks_of_is_forgotten(self) -> None:
        freshness = Freshness()
        freshness.record(FreshnessReport("e/l", 1, 5, 100, 7), 0)
        freshness.remove_expired(RETENTION_US - 1)
        self.assertEqual(["e/l"], freshness.names)
        freshness.remove_expired(RETENTION_US)
        self.assertEqual([], freshness.names)

    def test_a_beat_of_the_release_before_is_read_and_one_of_the_next(self) -> None:
        """Fields are appended at the end: a missing one has its default, and unknown ones are ignored."""
        before = msgspec.msgpack.encode([5, 1, 2, 3])
        self.assertEqual(Heartbeat(1, 2, 3), wire.decode(before))
        after = msgspec.msgpack.encode([5, 1, 2, 3, [["e/l", 1, 5, 100, 7, "later"]], "later"])
        self.assertEqual(Heartbeat(1, 2, 3, [FreshnessReport("e/l", 1, 5, 100, 7)]), wire.decode(after))


class Decisions(unittest.TestCase):
    def setUp(self) -> None:
        self.create_source(None)

    def create_source(self, discovery_version: int | None, start_wait: int = START_WAIT_US) -> None:
        self.source = EndpointSource(0, Random(7), discovery_version, start_wait)

    def use_relayed_list(self, now: int, discovery_version: int = 10) -> None:
        """Control machines are the source from `at` on, with a confirmation by discovery at that moment."""
        self.source.set_relayed_version(version(1), discovery_version)
        self.source.confirm_relayed_version(version(1), now)
        step = self.source.step(now, False)
        self.assertEqual((True, False, CONTROL), (step.apply_relayed_list, step.watch_discovery, self.source.active))

    def test_a_start_waits_for_control_machines_and_then_asks(self) -> None:
        step = self.source.step(0, False)
        self.assertEqual((False, False), (step.apply_relayed_list, step.watch_discovery))
        self.assertTrue(START_WAIT_US <= step.wake_at < START_WAIT_US + START_SPREAD_US)
        self.assertFalse(self.source.step(step.wake_at - 1, False).watch_discovery)
        self.assertTrue(self.source.step(step.wake_at, False).watch_discovery)
        self.assertEqual(DISCOVERY, self.source.active)
        self.create_source(None, 0)
        self.assertTrue(self.source.step(0, False).watch_discovery)

    def test_a_list_without_a_word_is_not_gone_by(self) -> None:
        """For example the list from an outdated disk, which was not compared with discovery."""
        self.source.set_relayed_version(version(1), 10)
        self.assertEqual((False, UNDECIDED), (self.source.step(0, False).apply_relayed_list, self.source.active))
        self.source.confirm_relayed_version(version(2), 0)
        self.assertFalse(self.source.step(1, False).apply_relayed_list)
        self.source.set_relayed_version(version(2), 11)
        self.assertEqual((True, CONTROL), (self.source.step(2, False).apply_relayed_list, self.source.active))

    def test_left_so_long_after_the_last_word_of_discovery(self) -> None:
        """However often control machines repeat the same old confirmation."""
        self.use_relayed_list(0)
        for now in range(0, STALE_AFTER_US, 100_000):
            self.source.confirm_relayed_version(version(1), 0)
            self.assertFalse(self.source.step(now, False).watch_discovery)
        self.assertTrue(self.source.step(STALE_AFTER_US + STALE_SPREAD_US, False).watch_discovery)
        self.assertEqual((DISCOVERY, 1), (self.source.active, self.source.switches_to_discovery))

    def test_the_spread_is_drawn(self) -> None:
        stale_times = set()
        for seed in range(50):
            source = EndpointSource(0, Random(seed), None)
            source.set_relayed_version(version(1), 1)
            source.confirm_relayed_version(version(1), 0)
            stale_times.add(source.step(0, False).wake_at)
        self.assertGreater(len(stale_times), 45)
        self.assertTrue(
            all(STALE_AFTER_US <= stale_time < STALE_AFTER_US + STALE_SPREAD_US for stale_time in stale_times)
        )

    def test_a_word_of_another_version_keeps_nothing_fresh(self) -> None:
        self.use_relayed_list(0)
        for now in range(0, STALE_AFTER_US + STALE_SPREAD_US, 500_000):
            self.source.confirm_relayed_version(version(2), now)
            self.source.step(now, False)
        self.assertTrue(self.source.step(STALE_AFTER_US + STALE_SPREAD_US, False).watch_discovery)

    def test_back_at_once_without_a_watch_and_later_with_one(self) -> None:
        for watched in (False, True):
            with self.subTest(watched=watched):
                self.create_source(None)
                self.use_relayed_list(0)
                self.assertTrue(self.source.step(10 * SECOND_US, False).watch_discovery)
                now = 20 * SECOND_US
                self.source.confirm_relayed_version(version(1), now)
                step = self.source.step(now, watched)
                self.assertEqual(watched, step.watch_discovery)
                if watched:
                    self.assertTrue(now + MIN_WATCH_US <= step.wake_at < now + 2 * MIN_WATCH_US)
                    for later in range(now, step.wake_at, 500_000):
                        self.source.confirm_relayed_version(version(1), later)
                        self.assertTrue(self.source.step(later, True).watch_discovery)
                    self.source.confirm_relayed_version(version(1), step.wake_at)
                    self.assertFalse(self.source.step(step.wake_at, True).watch_discovery)
                self.assertEqual((CONTROL, 2), (self.source.active, self.source.switches_to_control))

    def test_an_older_list_is_not_gone_back_to_however_young_it_is_said_to_be(self) -> None:
        self.use_relayed_list(0)
        self.source.step(3 * SECOND_US, False)
        self.source.set_discovery_version(12, 4 * SECOND_US)
        for now in range(4 * SECOND_US, 60 * SECOND_US, SECOND_US):
            self.source.confirm_relayed_version(version(1), now)
            step = self.source.step(now, now % 2 == 0)
            self.assertEqual((False, True), (step.apply_relayed_list, step.watch_discovery))
        # As new as what discovery told this proxy, and confirmed after that.
        self.source.set_relayed_version(version(2), 12)
        self.source.confirm_relayed_version(version(2), 60 * SECOND_US)
        self.assertFalse(self.source.step(60 * SECOND_US, False).watch_discovery)

    def test_a_word_of_before_discovery_told_here_does_not_count(self) -> None:
        """Discovery restarted its numbering, and the list with the greater version is from before that."""
        self.use_relayed_list(0, 500)
        self.source.step(3 * SECOND_US, False)
        self.source.set_discovery_version(3, 4 * SECOND_US)
        self.source.confirm_relayed_version(version(1), 4 * SECOND_US - 1)
        step = self.source.step(4 * SECOND_US, False)
        self.assertEqual((False, True), (step.apply_relayed_list, step.watch_discovery))

    def test_a_lower_number_waits_for_its_word(self) -> None:
        """Without a confirmation the list may come from an outdated disk; with one, discovery restarted its
        numbering.
        """
        self.use_relayed_list(0, 500)
        self.source.set_relayed_version(version(2), 3)
        self.assertFalse(self.source.step(1, False).apply_relayed_list)
        self.source.confirm_relayed_version(version(2), 2)
        self.assertTrue(self.source.step(2, False).apply_relayed_list)
        # A greater version is a change and is applied without a confirmation.
        self.source.set_relayed_version(version(3), 4)
        self.assertTrue(self.source.step(3, False).apply_relayed_list)

    def test_of_another_discovery_it_is_not_gone_by(self) -> None:
        self.source.set_relayed_version(version(1), None)
        self.source.confirm_relayed_version(version(1), 0)
        self.assertEqual((False, UNDECIDED), (self.source.step(0, False).apply_relayed_list, self.source.active))
        self.source.set_relayed_discovery_version(10)
        self.assertTrue(self.source.step(1, False).apply_relayed_list)
        # The configuration now names another discovery.
        self.source.set_relayed_discovery_version(None)
        step = self.source.step(2, False)
        self.assertEqual((False, True), (step.apply_relayed_list, step.watch_discovery))

    def test_late_as_it_is_a_newer_list_is_taken_where_nobody_tells_any(self) -> None:
        self.use_relayed_list(0)
        self.assertTrue(self.source.step(4 * SECOND_US, False).watch_discovery)
        self.source.set_relayed_version(version(2), 11)
        self.source.confirm_relayed_version(version(2), 1 * SECOND_US)
        step = self.source.step(5 * SECOND_US, False)
        self.assertEqual((True, True, DISCOVERY), (step.apply_relayed_list, step.watch_discovery, self.source.active))
        self.assertFalse(self.source.step(5 * SECOND_US + 1, False).apply_relayed_list)

    def test_who_comes_back_takes_the_list_though_it_is_the_same(self) -> None:
        """The policy was told that the list is lost, and has to be told that it is available again."""
        self.use_relayed_list(0)
        self.source.step(4 * SECOND_US, False)
        self.source.confirm_relayed_version(version(1), 5 * SECOND_US)
        self.assertEqual((True, False), self.source.step(5 * SECOND_US, False)[:2])

    def test_who_goes_to_and_fro_stays_longer_with_discovery(self) -> None:
        watch_times, now = [], 0
        self.use_relayed_list(0)
        for _ in range(5):
            now += 4 * SECOND_US
            self.source.step(now, False)
            self.source.confirm_relayed_version(version(1), now)
            return_at = self.source.step(now, True).wake_at
            watch_times.append(return_at - now)
            for now in range(now, return_at + SECOND_US, SECOND_US):
                self.source.confirm_relayed_version(version(1), now)
                self.source.step(now, True)
            self.assertEqual(CONTROL, self.source.active)
        self.assertTrue(all(MIN_WATCH_US <= watch_time for watch_time in watch_times))
        self.assertGreater(watch_times[-1], 4 * MIN_WATCH_US)


# --- random histories -------------------------------------------------------------------------------

TICK_US = 10_000


@dataclass
class Outages:
    """The times during which something does not work: (begin, end)."""

    intervals: list[tuple[int, int]] = field(default_factory=list)

    def at(self, now: int) -> bool:
        return any(start <= now < end for start, end in self.intervals)

    @staticmethod
    def random_outages(random: Random, max_count: int, end: int) -> Outages:
        starts = [random.randrange(5 * SECOND_US, end) for _ in range(random.randrange(max_count + 1))]
        return Outages([(start, start + random.randrange(200_000, 15 * SECOND_US)) for start in starts])


class Watch:
    """A watch of discovery by the owner or the proxy, as `net.discovery` implements it. A call is answered after 50 ms
    if possible. A silent watch is noticed after 2.5 to 3 s. Failed calls are repeated after `retry_delay`.
    """

    def __init__(self, simulation: RelaySimulation, outages: Outages, retry_delay: int) -> None:
        self.simulation, self.outages, self.retry_delay = simulation, outages, retry_delay
        self.enabled = False
        self.established = False
        self.unnoticed_loss = False  # lost, and not noticed yet
        self.next_call_at = 0
        self.answer_at: int | None = None
        self.last_message_at = 0
        self.received: tuple[int, int] | None = None

    def set_enabled(self, enabled: bool, now: int) -> None:
        if enabled != self.enabled:
            self.enabled, self.established, self.answer_at, self.next_call_at = enabled, False, None, now

    def reachable(self, now: int) -> bool:
        return not self.outages.at(now) and not self.simulation.discovery_down.at(now)

    def tick(self, now: int) -> tuple[bool, bool]:
        """Returns whether the watch received a message, and whether that had something new."""
        if not self.enabled:
            return False, False
        if self.established:
            if self.simulation.restarted_at == now or self.simulation.discovery_down.at(now):
                # Discovery's process ended, and the connection with it.
                self.established, self.next_call_at = False, now + self.retry_delay
                return False, False
            self.unnoticed_loss = self.unnoticed_loss or self.outages.at(now)
            if self.unnoticed_loss:
                if now - self.last_message_at >= 2_500_000 + self.simulation.silence_jitter:
                    self.established, self.next_call_at = False, now
                return False, False
            if self.received != self.simulation.state:
                self.received, self.last_message_at = self.simulation.state, now
                return True, True
            if now - self.last_message_at >= 2 * SECOND_US:
                self.last_message_at = now
                return True, False
            return False, False
        if self.answer_at is None:
            if now >= self.next_call_at:
                self.answer_at = now + 50_000
                self.simulation.calls += self is self.simulation.own_watch
        elif now >= self.answer_at:
            self.answer_at = None
            if not self.reachable(now):
                self.next_call_at = now + self.retry_delay
                return False, False
            self.established, self.unnoticed_loss, self.last_message_at = True, False, now
            changed = self.received != self.simulation.state
            self.received = self.simulation.state
            return True, changed
        return False, False


class RelaySimulation:
    """One discovery, one owner and one proxy. `state` is that of discovery: the number of its restarts, and its list
    version.
    """

    def __init__(self, seed: int, seconds: int = 90) -> None:
        random = self.random = Random(seed)
        self.end = seconds * SECOND_US
        self.discovery_down = Outages.random_outages(random, 1, self.end)
        self.silence_jitter = random.randrange(500_000)
        self.restarted_at = -1
        self.restarts = {
            random.randrange(10 * SECOND_US, self.end) // TICK_US * TICK_US for _ in range(random.randrange(3))
        }
        self.changes = {random.randrange(SECOND_US, self.end) // TICK_US * TICK_US for _ in range(40)} - self.restarts
        self.state = (0, random.randrange(100, 200))
        self.history = [(0, self.state)]
        self.calls = 0
        # The owner, and its connection to the proxy: cut, slow, or down.
        self.owner = Watch(self, Outages.random_outages(random, 2, self.end), 250_000)
        self.owner_down = Outages.random_outages(random, 1, self.end)
        self.relay_cut = Outages.random_outages(random, 2, self.end)
        self.relay_slow = Outages.random_outages(random, 1, self.end)
        self.own_watch = Watch(self, Outages.random_outages(random, 1, self.end), random.randrange(500_000, 2_500_000))
        self.published: tuple[Version, tuple[int, int]] | None = None
        self.in_transit: list[tuple[int, Version, tuple[int, int], int]] = []
        self.source = EndpointSource(0, Random(seed), None)
        self.relayed_states: dict[Version, tuple[int, int]] = {}
        self.in_force: tuple[int, int] | None = None
        self.wake_at = 0
        self.late_lists: list[str] = []
        self.older_lists: list[str] = []
        self.relayed_ticks = 0  # ticks in which control machines were the source and no watch was established

    def _send(self, now: int, version: Version, state: tuple[int, int], confirmed_at: int) -> None:
        """Sends a list with its confirmation. It is lost if the connection is cut, and delayed by up to 2 s if that is
        slow. The confirmation is sent by its age, so the transit time is not counted.
        """
        if not self.relay_cut.at(now):
            delay = (
                self.random.randrange(1_000, 40_000)
                if not self.relay_slow.at(now)
                else self.random.randrange(200_000, 2 * SECOND_US)
            )
            self.in_transit.append((now + delay, version, state, now - confirmed_at))

    def run(self) -> None:
        last_confirmation, was_down, resent_at = -1, False, 0
        for now in range(0, self.end, TICK_US):
            if now in self.restarts:
                self.state, self.restarted_at = (self.state[0] + 1, self.random.randrange(1, 5)), now
                self.history.append((now, self.state))
            elif now in self.changes:
                self.state = (self.state[0], self.state[1] + 1)
                self.history.append((now, self.state))
            # The owner: while its process is down it has no watch, and it restarts with the content of its disk.
            is_down = self.owner_down.at(now)
            self.owner.set_enabled(not is_down, now)
            message_received, _ = self.owner.tick(now)
            if message_received and self.owner.received is not None:
                if self.published is None or self.published[1] != self.owner.received:
                    number = max(now // 1000, self.published[0].number + 1 if self.published else 1)
                    self.published = version(number), self.owner.received
                last_confirmation = now
                self._send(now, *self.published, now)
            elif self.published is not None and not is_down and now - resent_at >= 2 * SECOND_US:
                # A heartbeat or a new connection repeats the last confirmation with its age. An owner that has just
                # restarted has no confirmation but an old list, which it considers newer than it is.
                resent_at = now
                if was_down and last_confirmation < now - 2 * SECOND_US:
                    old = version(self.published[0].number - 5)
                    self._send(now, old, (self.published[1][0], max(0, self.published[1][1] - 2)), now)
                else:
                    self._send(now, *self.published, last_confirmation)
            was_down = is_down or (was_down and not message_received)
            # The proxy.
            relayed_received = False
            for delivery in [delivery for delivery in self.in_transit if delivery[0] <= now]:
                self.in_transit.remove(delivery)
                relayed_received = True
                _, relayed_version, state, age = delivery
                if not self.relayed_states or relayed_version > max(self.relayed_states):
                    self.relayed_states[relayed_version] = state
                    self.source.set_relayed_version(relayed_version, state[1])
                self.source.confirm_relayed_version(relayed_version, now - age)
            message_received, _ = self.own_watch.tick(now)
            if message_received and self.own_watch.received != self.in_force:
                self._put_in_force(self.own_watch.received, "discovery", now)
                assert self.own_watch.received is not None
                self.source.set_discovery_version(self.own_watch.received[1], now)
                relayed_received = True
            if relayed_received or message_received or now >= self.wake_at:
                step = self.source.step(now, self.own_watch.established)
                if step.apply_relayed_list:
                    self._put_in_force(self.relayed_states[max(self.relayed_states)], "control machines", now)
                self.own_watch.set_enabled(step.watch_discovery, now)
                self.wake_at = step.wake_at
                assert step.wake_at > now
            self.relayed_ticks += self.source.active == CONTROL and not self.own_watch.enabled
            self._check_time_limit(now)

    def _put_in_force(self, state: tuple[int, int] | None, source: str, now: int) -> None:
        if state is not None and self.in_force is not None and state < self.in_force:
            self.older_lists.append(f"{now}: {state} by {source} after {self.in_force}")
        self.in_force = state

    def _check_time_limit(self, now: int) -> None:
        """A proxy that could reach discovery for the time limit must have what discovery had before that."""
        limit_start = now - TIME_LIMIT_US - 200_000
        if limit_start < 0 or any(
            start < now and limit_start < end
            for start, end in (*self.own_watch.outages.intervals, *self.discovery_down.intervals)
        ):
            return
        required = [state for at, state in self.history if at <= limit_start][-1]
        if self.in_force is None or self.in_force < required:
            self.late_lists.append(f"{now}: {self.in_force} for {required}, by {self.source.active}")


class Histories(unittest.TestCase):
    def test_told_within_the_term_and_nothing_older(self) -> None:
        relayed_ticks = switches = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                simulation = RelaySimulation(seed)
                simulation.run()
                self.assertEqual([], simulation.late_lists[:3])
                self.assertEqual([], simulation.older_lists[:3])
                relayed_ticks += simulation.relayed_ticks
                switches += simulation.source.switches_to_discovery
        # Control machines are the source most of the time, and proxies switch to discovery now and then.
        self.assertGreater(relayed_ticks, 60 * 9_000 * 0.5)
        self.assertGreater(switches, 60)

    def test_without_troubles_discovery_is_never_asked(self) -> None:
        simulation = RelaySimulation(1)
        for outages in (
            simulation.discovery_down,
            simulation.owner.outages,
            simulation.owner_down,
            simulation.relay_cut,
            simulation.relay_slow,
            simulation.own_watch.outages,
        ):
            outages.intervals.clear()
        simulation.restarts.clear()
        simulation.run()
        self.assertEqual((0, [], []), (simulation.calls, simulation.late_lists, simulation.older_lists))


if __name__ == "__main__":
    unittest.main()
