"""What a proxy, or a relay, does with the control machines: which of them it is connected to, what it takes
from them, what it asks for; free of I/O.

Nothing older ever replaces something newer, whoever sends it. Two upstreams at a time, the first of an order
by a hash of both names, so that a lost one's proxies go to all the others alike: the first sends bodies, the
second offers what it has, and is asked for it where the first does not send it in time. Where it is known which
stand in one's own region, the first is one of those and the second is none.

An attempt to connect is not taken back while there may be an answer: each one that is made anew costs the other
side what the last one cost, and its place in the kernel's line. So few are made, and they wait for long.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from pepperusher.distribution import delta
from pepperusher.distribution.messages import (
    KINDS,
    MOST_RESOURCES,
    NO_VERSION,
    PROXY,
    RELAY,
    Ack,
    Heartbeat,
    BodiesSwitch,
    Delta,
    HaveVersion,
    Hello,
    Key,
    Mark,
    Message,
    Offer,
    Refused,
    Resource,
    Snapshot,
    Version,
    BodyRequest,
    digest_of,
    mark_of,
    one_line,
)
from pepperusher.packet_authentication import BadPacket

UPSTREAM_COUNT = 2
# Both sides speak so often, and a side that was silent for so long has gone, whatever its socket says.
BEAT_EVERY = 2_000_000
SILENT_AFTER = 5_000_000
CONNECT_WITHIN = 8_000_000
# A relay's: it has few others, and finds out by a new connection that a cut has healed.
RELAY_CONNECT_WITHIN = 2_500_000
# Before it tries a lost one again: doubled each time, up to the most, and drawn from the half of it to all.
AGAIN_LEAST = 200_000
AGAIN_MOST = 3_000_000
RELAY_AGAIN_MOST = 1_500_000
# An upstream that ended the connection for a reason is not asked again at once: after this, drawn up to twice it.
REFUSED_AGAIN = 5_000_000
# At once under way, of a proxy.
MAX_CONNECTING = 9
# One that is being connected to keeps the next in order from being tried for so long; that one keeps the next but
# one for so long, where none is connected. Of nine machines the last is tried within 6.4 s.
CONNECT_FIRST = 1_500_000
HEDGE_EVERY = 750_000
# Where it is known which are near, the two that can be reached in a cut are among the first three: all of this takes
# so many times as long, since an answer that is late then is more likely one of a busy machine.
NEAR_PATIENCE = 2
# With one upstream there the other is not in such a hurry.
SECOND_FIRST = 3_000_000
# After a loss the next is tried within this, drawn, and after each further failure no sooner than that: all
# that lost the same machine, or all machines, at one moment must not come at one moment.
NEXT_WITHIN = 400_000
NEXT_MOST = 3_000_000
# A machine that stands before those in use is gone back to once nothing has come for so long, drawn up to twice
# that: a change that finds a proxy between two machines is sent to it by both.
QUIET_FOR = 5_000_000
# While it is connecting it is woken so often, so that it sees how long its own process stood still: time in which
# it could have read no answer is no evidence against anybody. So much of it at the most for one upstream.
LOOK_EVERY = 250_000
# Not woken again before this, whatever is due.
SOONEST = 5_000
STOOD_STILL = 100_000
EXCUSED_MOST = 10_000_000
# So long the first upstream has to send what the second has offered.
OFFERED_WITHIN = 1_000_000
# Or so long where it speaks: it may be two waves behind. By `publisher.WAVE_WITHIN`, not by WAVE_MOST: where few
# answer a wave a change may be sent by both; waited for longer, one that speaks and is cut off itself costs too much.
OFFERED_MOST = 3_500_000
# One that said nothing for a beat and a little more is not speaking.
SPEAKING = BEAT_EVERY + 500_000
# The snapshot is asked for so often at the most: doubled each time up to the most, until one fits.
WANT_AGAIN = 1_000_000
WANT_MOST = 30_000_000


def rendezvous_order(name: str, upstreams: Iterable[str]) -> list[str]:
    """Rendezvous hashing: the order in which this one uses them."""

    def weight(upstream: str) -> bytes:
        return hashlib.blake2b(f"{name} {upstream}".encode(), digest_size=8).digest()

    return sorted(upstreams, key=weight)


def order_of(name: str, upstreams: Iterable[str], near: Iterable[str] = ()) -> list[str]:
    """The order in which this one uses them: by `rank`, one of its own region and one of elsewhere in turn. So a
    region that is cut off has its upstream in it, one that lost its own has one elsewhere, and the bodies of a lost
    one are sent by all of elsewhere alike.
    """
    near = set(near)
    ranked = rendezvous_order(name, upstreams)
    mine, others = [one for one in ranked if one in near], [one for one in ranked if one not in near]
    both = min(len(mine), len(others))
    paired = [one for pair in zip(mine, others) for one in pair]
    return paired + mine[both:] + others[both:]


class Connect(NamedTuple):
    upstream: str


class Close(NamedTuple):
    upstream: str
    why: str


class Send(NamedTuple):
    upstream: str
    message: Message


class Apply(NamedTuple):
    """To be taken whole, and `applied` to be called with what came of it. `steady` is for relays."""

    resource: Resource
    halted: str
    steady: bool


class Say(NamedTuple):
    what: str
    figures: dict[str, object]


Effect = Connect | Close | Send | Apply | Say

DOWN, CONNECTING, UP = range(3)
# A resource's newest, or with True its steady version.
Slot = tuple[Key, bool]


class _Upstream:
    __slots__ = (
        "name", "state", "since", "again_at", "wait", "heard_at", "spoke_at", "beat_at", "excused", "offers", "bodies",
    )  # fmt: skip

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.state = DOWN
        self.since = self.again_at = self.heard_at = self.beat_at = now
        self.wait = AGAIN_LEAST
        self.spoke_at: int | None = None  # since it is connected
        self.excused = 0
        self.offers: dict[Slot, tuple[Mark, int, str]] = {}  # as many as are subscribed to
        self.bodies = False


class Subscriber:
    """`held` is what it has in force at the start. Every call may put effects into `out`; `wake` says when it
    is to be called next.
    """

    def __init__(
        self,
        name: str,
        life: int,
        region: str,
        zone: str,
        upstreams: Sequence[str],
        names: Sequence[Key],
        held: Iterable[Resource],
        chance: Random,
        now: int,
        role: int = PROXY,
        near: Iterable[str] = (),
    ) -> None:
        self._name, self._life, self._region, self._zone, self._role = name, life, region, zone, role
        self._names = None if role == RELAY else frozenset(names)
        self._links = len(upstreams) if role == RELAY else min(UPSTREAM_COUNT, len(upstreams))
        self._upstreams = {one: _Upstream(one, now) for one in order_of(name, upstreams, near)}
        patience = NEAR_PATIENCE if set(near) & set(upstreams) else 1
        self._first, self._hedge_every = patience * CONNECT_FIRST, patience * HEDGE_EVERY
        self._chance = chance
        self.effects: list[Effect] = []
        self.held: dict[Key, Resource] = {one.key: one for one in held}  # as many as are subscribed to
        self.refused: dict[Key, tuple[Mark, str]] = {}  # as many
        self._applying: dict[Key, Resource] = {}  # as many
        self._next: dict[Key, tuple[Resource, str]] = {}  # the newest behind what is being applied
        self._behind: set[Slot] = set()  # what somebody offered that is newer than what is here
        self._wants: dict[Slot, tuple[int, int, str]] = {}  # when asked again, how long then, whom last
        self._steady: dict[Key, Version] = {}  # a relay's, as many as it holds
        # What it holds and others call steady, until what is newer is taken: as many as it holds.
        self._steady_here: dict[Key, Resource] = {}
        self._misfits: set[Key] = set()  # to be had whole
        self.confirmed: tuple[int, int] = (0, 0)
        self.confirmed_at: int | None = None
        self.counts: Counter[str] = Counter()
        self._next_at = now + chance.randrange(NEXT_WITHIN)
        self._next_wait = AGAIN_LEAST
        self._due = now
        self._quiet_since = now
        self._quiet_for = self._drawn_quiet()

    # --- upstreams ----------------------------------------------------------------------------------

    @property
    def up(self) -> list[str]:
        """Those that it is connected to, in its order."""
        return [one.name for one in self._upstreams.values() if one.state == UP]

    def _settle(self, now: int) -> None:
        """Connects to as many as it uses, the first of its order that can be reached; gives up those that are
        one too many; has the first one send bodies.
        """
        order = list(self._upstreams.values())
        if not order:
            return
        there = [place for place, one in enumerate(order) if one.state == UP]
        for place in there[self._links :]:
            self._close(order[place], "others stand before it", now, 0)
        full = len(there) >= self._links
        # Behind the last that is used there is nothing to be had.
        within = order[: there[self._links - 1]] if full else order
        under_way = [one for one in order if one.state == CONNECTING]
        if full:
            for one in under_way:
                if one not in within:
                    self._close(one, "others stand before it", now, 0)
        more = self._to_connect(len(there), under_way, now)
        if more > 0 and now >= self._next_at:
            # Those that failed least lately first, so that each is tried before any is tried again: in a region that
            # is cut off the first of the order may be those that can't be reached.
            due = [one for one in within if one.state == DOWN and now >= one.again_at]
            for one in sorted(due, key=lambda one: one.wait)[:more]:
                one.state, one.since, one.excused = CONNECTING, now, 0
                self.counts["connects"] += 1
                self.effects.append(Connect(one.name))
                if self._role == PROXY and under_way:
                    self._next_at = now + self._hedge_every
        sender = self._sender(now)
        for one in self._upstreams.values():
            if one.state == UP and one.bodies != (one is sender):
                one.bodies = one is sender
                self.effects.append(Send(one.name, BodiesSwitch(one.bodies)))

    def _sender(self, now: int) -> _Upstream | None:
        """Who is to send bodies: the first that it is connected to. One that comes before those in front of it waits
        for them a little with that, or both would send everything to a proxy that starts.
        """
        if self._role == RELAY:
            return None
        soon = False
        for one in self._upstreams.values():
            if one.state == UP:
                return one if one.bodies or not soon else None
            soon = soon or (one.state == CONNECTING and now - one.since < self._first)
        return None

    def _to_connect(self, up: int, under_way: list[_Upstream], now: int) -> int:
        """How many more it may try now."""
        if self._role == RELAY:
            return self._links - up - sum(now - one.since < self._first for one in under_way)
        if up >= self._links:
            # A better place than the last in use; not in a hurry, and not in the middle of anything.
            quiet = not self._behind and not self._applying and now - self._quiet_since >= self._quiet_for
            return 1 if quiet and not under_way else 0
        first = SECOND_FIRST if up else self._first
        fresh = sum(now - one.since < first for one in under_way)
        room = MAX_CONNECTING - len(under_way)
        if under_way:
            # Beside what is waited for, one at a time: `_hedge_every` keeps them apart where none is connected.
            late = sum(now - one.since >= first for one in under_way)
            return min(1, room) if late and (not up or not fresh) else min(self._links - up - len(under_way), room)
        return min(self._links - up if self._next_wait == AGAIN_LEAST else 1, room)

    def _drawn_quiet(self) -> int:
        return self._chance.randrange(QUIET_FOR, 2 * QUIET_FOR)

    def _stirred(self, now: int) -> None:
        """A version or an upstream came or went."""
        self._quiet_since, self._quiet_for = now, self._drawn_quiet()

    def _close(self, one: _Upstream, why: str, now: int, wait: int | None = None) -> None:
        self.effects.append(Close(one.name, why))
        self._down(one, now, wait)

    def _down(self, one: _Upstream, now: int, wait: int | None = None) -> None:
        most = RELAY_AGAIN_MOST if self._role == RELAY else AGAIN_MOST
        if wait is None:
            wait, one.wait = one.wait, min(2 * one.wait, most)
            wait = self._chance.randrange(wait // 2, wait)
        if one.state == UP:
            self._next_at = now + self._chance.randrange(NEXT_WITHIN)
        elif wait and self._role == PROXY:
            self._next_wait = min(2 * self._next_wait, NEXT_MOST)
            self._next_at = now + self._chance.randrange(self._next_wait // 2, self._next_wait)
        one.state, one.since, one.again_at, one.spoke_at = DOWN, now, now + wait, None
        one.offers.clear()
        self._stirred(now)

    def connected(self, upstream: str, now: int) -> None:
        """And the two sides have shown each other the key."""
        one = self._upstreams[upstream]
        one.state, one.since, one.heard_at, one.beat_at = UP, now, now, now
        one.spoke_at, one.excused = None, 0
        self._stirred(now)
        # Who sends bodies is told before it says anything.
        one.bodies = False
        one.bodies = self._sender(now) is one
        refused = [Ack(*key, *mark.version, reason) for key, (mark, reason) in self.refused.items()]
        have = [HaveVersion(*key, mark_of(self.held[key])) for key in self.held]
        names = [] if self._names is None else sorted(self._names)
        self.effects.append(
            Send(
                upstream,
                Hello(self._role, self._name, self._life, self._region, self._zone, one.bodies, names, have, refused),
            )
        )
        self._settle(now)

    def lost(self, upstream: str, now: int) -> None:
        """The connection ended, or was not to be had."""
        one = self._upstreams[upstream]
        if one.state == DOWN:
            return
        self._down(one, now)
        self._settle(now)

    def wake(self, now: int) -> int:
        """What is due by now; when there will be more."""
        self._excuse(now)
        within = RELAY_CONNECT_WITHIN if self._role == RELAY else CONNECT_WITHIN
        due = now + BEAT_EVERY
        for one in self._upstreams.values():
            if one.state == CONNECTING and now - one.since >= within:
                self._close(one, "not connected in time", now)
            elif one.state == UP and now - one.heard_at >= SILENT_AFTER:
                self.counts["silent"] += 1
                self._close(one, "silent", now)
            elif one.state == UP and now - one.beat_at >= BEAT_EVERY:
                one.beat_at = now
                self.effects.append(Send(one.name, Heartbeat()))
        self._settle(now)
        self._ask(now)
        for one in self._upstreams.values():
            if one.state == UP:
                due = min(due, one.beat_at + BEAT_EVERY, one.heard_at + SILENT_AFTER)
        due = min(due, self._next_attempt(now))
        for at, _, _ in self._wants.values():
            due = min(due, max(at, now + SOONEST))
        self._due = due
        return due

    def _next_attempt(self, now: int) -> int:
        """When another may be tried, or it is to be seen whether this process stood still."""
        those = list(self._upstreams.values())
        up = sum(one.state == UP for one in those)
        under_way = [one for one in those if one.state == CONNECTING]
        at = now + (LOOK_EVERY if under_way else BEAT_EVERY)
        if up >= self._links:
            return at
        down = [max(one.again_at, self._next_at, now + SOONEST) for one in those if one.state == DOWN]
        if under_way and down:
            # Whatever else may be tried waits for these, as `_to_connect` has it.
            if len(under_way) >= MAX_CONNECTING or self._role == RELAY:
                return at
            if len(under_way) < self._links - up:
                return min(at, *down)
            since = [one.since for one in under_way]
            return min(at, max(max(since) + SECOND_FIRST if up else min(since) + self._first, min(down)))
        return min(at, *down) if down else at

    def _excuse(self, now: int) -> None:
        """Time in which this process stood still is taken off what others are waited for."""
        late = now - self._due
        if late < STOOD_STILL:
            return
        for one in self._upstreams.values():
            if one.state != DOWN and one.excused < EXCUSED_MOST:
                excused = min(late, EXCUSED_MOST - one.excused)
                one.excused += excused
                one.since, one.heard_at = min(now, one.since + excused), min(now, one.heard_at + excused)

    # --- what they send -----------------------------------------------------------------------------

    def received(self, upstream: str, message: Message, now: int) -> None:
        """Raises BadPacket for what no control machine says."""
        one = self._upstreams[upstream]
        if one.state != UP:
            return
        one.heard_at, one.excused = now, 0
        one.wait = AGAIN_LEAST
        if one.spoke_at is None:
            self._next_wait = AGAIN_LEAST
        one.spoke_at = now
        if not isinstance(message, Heartbeat):
            self._stirred(now)
        if isinstance(message, Heartbeat):
            self._beat(one, message, now)
        elif isinstance(message, Offer):
            self._offer(one, message, now)
        elif isinstance(message, Snapshot):
            self._snapshot(one, message, now)
        elif isinstance(message, Delta):
            self._delta(one, message, now)
        elif isinstance(message, Refused):
            self.effects.append(
                Say("a control machine ended the connection", {"upstream": one.name, "why": one_line(message.why)})
            )
            self._close(one, "refused there", now, self._chance.randrange(REFUSED_AGAIN, 2 * REFUSED_AGAIN))
            self._settle(now)
        else:
            raise BadPacket("sound, but nothing that a control machine says")

    def _beat(self, one: _Upstream, beat: Heartbeat, now: int) -> None:
        if (beat.epoch, beat.stamp) <= self.confirmed:
            return
        behind = any(
            one.offers[slot][0].version > self._last(slot[0])
            for slot in self._behind
            if not slot[1] and slot in one.offers
        )
        if not behind and not self._applying:
            self.confirmed = beat.epoch, beat.stamp
            self.confirmed_at = max(now - beat.age, self.confirmed_at or 0)

    def _known(self, key: Key) -> bool:
        if self._names is not None:
            return key in self._names
        return key[0] in KINDS and (key in self.held or len(self.held) < MOST_RESOURCES)

    def _last(self, key: Key) -> Version:
        """The newest that it has had, in force, refused, or about to be either."""
        held = self.held.get(key)
        last = held.version if held is not None else NO_VERSION
        if key in self.refused:
            last = max(last, self.refused[key][0].version)
        if key in self._applying:
            last = max(last, self._applying[key].version)
        if key in self._next:
            last = max(last, self._next[key][0].version)
        return last

    def _offer(self, one: _Upstream, offer: Offer, now: int) -> None:
        key = offer.key
        if not self._known(key):
            self.counts["not asked for"] += 1
            return
        one.offers[key, False] = offer.mark, now, offer.halted
        if self._role == RELAY:
            held = self.held.get(key)
            one.offers.pop((key, True), None)
            if offer.steady is not None and offer.steady.version < offer.mark.version:
                if held is not None and mark_of(held) == offer.steady:
                    # The version before the newest, which it has: not to be sent again with each change.
                    self._steady_here[key] = held
                else:
                    one.offers[key, True] = offer.steady, now, ""
            if offer.halted and held is not None and held.version == offer.mark.version:
                self.effects.append(Apply(held, offer.halted, False))
            self._ask_for((key, True), now)
        self._ask_for((key, False), now)

    def _ask(self, now: int) -> None:
        """Wants what is offered and was not sent, where that is due."""
        for slot in list(self._behind):
            self._ask_for(slot, now)

    def _ask_for(self, slot: Slot, now: int) -> None:
        """A relay at once, of the first that offers it; a proxy where its first upstream did not send it."""
        key, steady = slot
        last = self._steady.get(key, NO_VERSION) if steady else self._last(key)
        offers = [
            (one, *one.offers[slot][:2])
            for one in self._upstreams.values()
            if one.state == UP and slot in one.offers and one.offers[slot][0].version > last
        ]
        if not offers:
            self._behind.discard(slot)
            self._wants.pop(slot, None)
            return
        self._behind.add(slot)
        first = min(at for _, _, at in offers) + (OFFERED_WITHIN if self._role == PROXY else 0)
        due, wait, asked = self._wants.get(slot, (first, WANT_AGAIN, ""))
        if now < due:
            self._wants[slot] = due, wait, asked
            return
        if not asked and now < first - OFFERED_WITHIN + OFFERED_MOST and self._first_speaks(slot, last, now):
            # It is there and has not come to this proxy yet: by a wave, or as it is busy. Looked at again soon.
            self._wants[slot] = now + LOOK_EVERY, wait, asked
            return
        # Another than the last time where there is one: that one may have stopped.
        one = next((one for one, _, _ in offers if one.name != asked), offers[0][0])
        self._wants[slot] = now + wait, min(2 * wait, WANT_MOST), one.name
        held = None if steady or key in self._misfits else self.held.get(key)
        self.effects.append(Send(one.name, BodyRequest(*key, steady, held and mark_of(held))))
        self.counts["wants"] += 1

    def _first_speaks(self, slot: Slot, last: Version, now: int) -> bool:
        """Whether a proxy's first upstream, which sends bodies, said something lately and has not offered this."""
        if self._role == RELAY:
            return False
        first = next((one for one in self._upstreams.values() if one.state == UP), None)
        if first is None or first.spoke_at is None:
            return False
        if slot in first.offers and first.offers[slot][0].version > last:
            return False
        return now - first.spoke_at < SPEAKING

    def _snapshot(self, one: _Upstream, said: Snapshot, now: int) -> None:
        if not self._known(said.key):
            self.counts["not asked for"] += 1
            return
        self.counts["snapshots"] += 1
        if said.kind not in KINDS or digest_of(said.body) != said.mark.digest:
            raise BadPacket("sound, but its digest is not its body's")
        made = Resource(said.kind, said.name, said.mark.version, said.mark.digest, said.body, KINDS[said.kind])
        self._wants.pop((said.key, said.steady), None)
        self._misfits.discard(said.key)
        if said.steady:
            if made.version > self._steady.get(made.key, NO_VERSION):
                self._steady[made.key] = made.version
                self.effects.append(Apply(made, "", True))
            return
        self._take(made, self._halted(made), now)

    def _halted(self, made: Resource) -> str:
        """Why it is halted, where anybody said so: whoever sends the body may not know it yet, or said it before."""
        offers = (one.offers.get((made.key, False)) for one in self._upstreams.values())
        return next((one[2] for one in offers if one is not None and one[0].version == made.version and one[2]), "")

    def _delta(self, one: _Upstream, said: Delta, now: int) -> None:
        if not self._known(said.key):
            self.counts["not asked for"] += 1
            return
        self.counts["deltas"] += 1
        if said.mark.version <= self._last(said.key):
            self.counts["older left"] += 1
            return
        base = next(
            (
                there
                for there in (
                    self.held.get(said.key),
                    self._applying.get(said.key),
                    self._next.get(said.key, (None,))[0],
                )
                if there is not None and mark_of(there) == said.base
            ),
            None,
        )
        body = None
        if base is not None:
            try:
                body = delta.joined(base.body, said.ops)
            except delta.BadDelta:
                pass
        if body is None or digest_of(body) != said.mark.digest:
            # From here on as something that is offered and did not come.
            self.counts["misfits"] += 1
            self._misfits.add(said.key)
            one.offers[said.key, False] = said.mark, now - OFFERED_WITHIN, ""
            self._ask_for((said.key, False), now)
            return
        made = Resource(said.kind, said.name, said.mark.version, said.mark.digest, body, KINDS[said.kind])
        self._take(made, self._halted(made), now)

    def _take(self, made: Resource, halted: str, now: int) -> None:
        if made.version <= self._last(made.key):
            held = self.held.get(made.key)
            if held is not None and held.version == made.version and held.digest != made.digest:
                self.counts["forked"] += 1
                self.effects.append(
                    Say(
                        "two contents under one version", {"resource": "/".join(made.key), "version": str(made.version)}
                    )
                )
            self.counts["older left"] += 1
            return
        if made.key in self._applying:
            self._next[made.key] = made, halted
            return
        self._applying[made.key] = made
        self.effects.append(Apply(made, halted, False))

    def applied(self, one: Resource, reason: str | None, now: int) -> None:
        """What came of an Apply: in force, or refused with a reason. All upstreams are told."""
        if self._applying.get(one.key) is not one:
            return
        del self._applying[one.key]
        if reason is None:
            held = self.held.get(one.key)
            assert held is None or held.version < one.version
            self.held[one.key] = one
            self.refused.pop(one.key, None)
            steady = self._steady_here.pop(one.key, None)
            if steady is not None and self._steady.get(one.key, NO_VERSION) < steady.version < one.version:
                self._steady[one.key] = steady.version
                self.effects.append(Apply(steady, "", True))
        else:
            self.counts["refused"] += 1
            self.refused[one.key] = mark_of(one), one_line(reason) or "no reason given"
        if self._role == PROXY:
            said = Ack(*one.key, *one.version, "" if reason is None else self.refused[one.key][1])
            self.effects += [Send(up, said) for up in self.up]
        later = self._next.pop(one.key, None)
        if later is not None:
            self._take(*later, now)

    def undone(self, key: Key, before: Resource | None, reason: str) -> None:
        """What was in force did harm, and what was before it stands again: refused, as upstreams are told."""
        one = self.held.get(key)
        if one is None or (before is not None and before.version >= one.version):
            return
        if before is None:
            del self.held[key]
        else:
            self.held[key] = before
        self.counts["refused"] += 1
        self.refused[key] = mark_of(one), one_line(reason) or "no reason given"
        said = Ack(*key, *one.version, self.refused[key][1])
        self.effects += [Send(up, said) for up in self.up]

    def age(self, now: int) -> int | None:
        """us since the origin last spoke, as far as a control machine that it holds everything of told; None
        where none ever did.
        """
        return None if self.confirmed_at is None else max(0, now - self.confirmed_at)
