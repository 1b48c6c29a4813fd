"""One member of a group: whom it asks, what it answers, what it passes on; free of I/O.

Driven by now, datagrams in, and `wake` when it is due; what is to be sent stands in `out`, what changed in
`changes`, what is new for this proxy to act on in `news`.

From SWIM (Das, Gupta, Motivala 2002): probes in a shuffled round, indirect ones, words passed on with them,
turns of a life, suspicion. From Lifeguard (Dadgar, Phillips, Currey 2018): doubt of oneself, suspicion that
shortens with each doubter, nacks, the suspected told first of all that it is. Passing on between probes as
well, as memberlist's authors describe it. Not taken: the word of loss that others must believe, and a stream
for whatever does not fit; see docs/group-design.md.

Nothing in a packet is read unless the process that sent it has answered a packet of this one, and each of its
packets counts once: so old ones, sent again by whoever recorded them, change nothing.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from random import Random
from typing import NamedTuple

import msgspec

from pepperusher.group import shares
from pepperusher.group.health import Health
from pepperusher.group.broadcasts import Broadcasts
from pepperusher.group.shares import Reachability
from pepperusher.group.membership import Change, Member, Membership
from pepperusher.group.gossip_queue import CHARGE, NOTICE, SAID, GossipQueue
from pepperusher.group.wire import DATAGRAM, HEAD, InvalidPacketError, Wire
from pepperusher.group.messages import (
    ACK,
    ALIVE,
    ASK,
    HEALTH,
    LEAVING,
    LEFT,
    LOST,
    NACK,
    PHASES,
    PING,
    SENT_AWAY,
    TELL,
    Suspicion,
    Broadcast,
    Packet,
    MemberRecord,
)
from pepperusher.invariants import check_invariant

SECOND = 1_000_000
# Others asked to try one that does not answer.
ASKED = 3
# Of the time in which an answer is waited for, when one that was asked says that it has none either.
NACK_AT = 0.8
# Members told between probes, and how often in a period.
TELLS, TELLS_A_PERIOD = 2, 4
# To how many a word that all should have goes in one turn, beside what is passed on.
AT_ONCE = 24
# One silent member is tried again in so many periods.
RETRY = 4
# Seeds are asked so often while nobody is known, and so often after.
JOIN_EVERY, SEEDS_EVERY = SECOND, 10 * SECOND
# Words of the roll in a packet's spare room, and notices.
FILL = 4
# What a packet has beside its words, at the most.
FRAME = HEAD + 57
# Without any answer for so many periods nobody is reached.
UNHEARD = 8
# Probes, each of a member by chance, by which it judges whether it reaches hardly anybody.
SAMPLED = 8
# A name that two processes live under is so for this long after the other last spoke.
DOUBLED_FOR = 10 * SECOND
# Between two words by which a life is put above another's under its name.
RAISE_EVERY = SECOND
RIVALS = 4
# Answers that are waited for, and tries for others, at once; more are not made.
AWAITED_MOST = 4_000
RELAYS_MOST = 200
# A later than this part of the time for an answer is a loop that stood still.
LATE = 2


class SwimSettings(NamedTuple):
    """Times in microseconds; `told` is how many proxies the settings count in this tier."""

    period: int
    within: int
    seeds: tuple[tuple[str, int], ...]
    told: int
    kept: int  # for how long what is off is remembered


class Awaited(NamedTuple):
    """An answer that is waited for: from whom, empty for whoever is at a seed; until when."""

    name: str
    until: int


class Probe:
    __slots__ = ("name", "seq", "ask_at", "end", "asked", "nacked", "done")

    def __init__(self, name: str, seq: int, ask_at: int, end: int) -> None:
        self.name, self.seq, self.ask_at, self.end = name, seq, ask_at, end
        self.asked = 0
        self.nacked = 0
        self.done = False


class Relay:
    """A try for another, who waits for what comes of it."""

    __slots__ = ("asker", "seq", "target", "nack_at", "until")

    def __init__(self, asker: str, seq: int, target: str, nack_at: int, until: int) -> None:
        self.asker, self.seq, self.target, self.nack_at, self.until = asker, seq, target, nack_at, until


class Swim:
    def __init__(self, me: MemberRecord, terms: SwimSettings, wire: Wire, chance: Random, now: int) -> None:
        self.me = me
        self.terms = terms
        self.roll = Membership(terms.period)
        self.notices = Broadcasts(terms.kept)
        self.health = Health()
        self.out: list[tuple[tuple[str, int], bytes]] = []
        self.changes: list[Change] = []
        self.news: list[Broadcast] = []
        # By words of this module and of wire, so it grows with the code alone.
        self.counts: dict[str, int] = {}
        self.list = 0  # the version of discovery's list that this proxy has
        self.wants_roll: tuple[str, int] | None = None  # whom a stream would bring it up to date from
        self._wire = wire
        self._chance = chance
        self._rumours = GossipQueue()
        self._part = wire.part(me)
        self._parts: dict[str, tuple[MemberRecord, bytes]] = {}  # packed words of the roll; one for each name on it
        self._number = 0
        self._seq = chance.getrandbits(48)
        self._round: list[str] = []  # whose turn to be probed it is; emptied by probing
        self._probe: Probe | None = None
        self._probe_at = now + chance.randrange(max(1, terms.period))
        self._probes = 0
        # Of the last probes, whom it turned to in each, the target and helpers, and who of them answered.
        self._turned: deque[tuple[int, int]] = deque(maxlen=SAMPLED)
        self._tell_at = now
        self._join_at = now
        self._awaited: dict[int, Awaited] = {}  # emptied by answers and by time
        self._relays: dict[int, Relay] = {}  # likewise
        self._owing: list[str] = []  # who is still to be told at once; emptied by telling
        # Other lives under this name, each with its highest number; RIVALS.
        self._rivals: dict[int, int] = {}
        self._rival_at = 0
        self._raise_at: int | None = None
        self._raised_at = -RAISE_EVERY
        self._answered_at = now - UNHEARD * terms.period
        self._reached = ""
        self._reach_of: tuple[int, bool, bool, int, int] | None = None
        self._due = now
        self._farewell: set[str] = set()
        self._rumours.put(SAID, me.name, self._part)

    # --- what the proxy asks and says -------------------------------------------------------------

    def _answered(self, now: int) -> bool:
        return now - self._answered_at <= UNHEARD * self.health.stretched(self.terms.period)

    def _hardly(self) -> bool:
        """Lost packets alone do not make it so: most helpers still say that they have no answer either."""
        to = sum(one for one, _ in self._turned)
        answered = sum(one for _, one in self._turned)
        return len(self._turned) == SAMPLED and shares.HARDLY * answered <= to

    def reach(self, now: int) -> Reachability:
        return shares.reach(self.terms.told, self.me, self.roll, self._answered(now), self._hardly())

    def size(self) -> int:
        """Of how many this proxy is one, where they share."""
        return shares.size(self.terms.told, self.me, (one.said for one in self.roll))

    def say(self, phase: int, now: int) -> None:
        """What this proxy is from here on; where it frees a part or takes it back, all who can be reached are
        told at once.
        """
        before = self.me.phase
        if phase == before:
            return
        self._new_word(phase=phase)
        self._farewell.clear()
        # Not of each start: in a herd of them everyone would tell everyone.
        if phase in (SENT_AWAY, LEAVING, LEFT) or before == SENT_AWAY:
            self._tell_all()
            self._tell_at = now

    def reconfigure(self, told: int, tier: int, place: int) -> None:
        """Other settings: how many proxies they count, and which of them this one is."""
        self.terms = self.terms._replace(told=told)
        if (tier, place) != (self.me.tier, self.me.place):
            self._new_word(tier=tier, place=place)

    @property
    def farewells(self) -> tuple[int, int]:
        """How many have answered since the last `say`, of how many that are there."""
        return len(self._farewell), len(self._live())

    def tell(self, notice: Broadcast, now: int) -> bool:
        """News of this proxy's own for all; whether it is any."""
        if not self.notices.take(notice, now):
            return False
        self._rumours.put(NOTICE, f"{notice.kind} {notice.key}", self._wire.part(notice))
        self._tell_all()
        self._tell_at = now
        return True

    def holders(self) -> tuple[int, int]:
        """How many hold the notices that this one holds, itself included, of all that are not gone."""
        there = [one for one in self.roll if one.said.phase != LEFT]
        return 1 + sum(one.held == self.notices.digest for one in there), 1 + len(there)

    def hello(self, wants: int) -> bytes:
        """The first part of a stream that this member opens."""
        return self._packet(TELL, wants, "", None, ())

    def whole(self) -> list[bytes]:
        """All that this member knows, as packets for a stream."""
        words = [(SAID, self._packed(one)) for one in self.roll]
        words += [(NOTICE, self._wire.part(one)) for one in self.notices]
        made = []
        while words or not made:
            room = DATAGRAM - FRAME - len(self._part)
            taken: list[tuple[int, bytes]] = []
            while words and len(words[-1][1]) <= room:
                taken.append(words.pop())
                room -= len(taken[-1][1])
            made.append(self._packet(TELL, 0, "", None, taken))
        return made

    # --- time ---------------------------------------------------------------------------------------

    def wake(self, now: int) -> int:
        """Does what is due; when it is to be woken next, at the latest."""
        self._stood(now)
        self._due = now
        if self._raise_at is not None and now >= self._raise_at:
            self._raise()
        if self.me.doubled and now - self._rival_at >= DOUBLED_FOR:
            self._new_word(doubled=False)
            self.changes.append(Change("no longer doubled", self.me.name, {}))
        self._look_at_probe(now)
        self._look_at_relays(now)
        if now >= self._probe_at:
            self._end_probe(now)
            self._begin_probe(now)
        for change in self.roll.look(now):
            self.changes.append(change)
        if now >= self._join_at:
            self._join(now)
        if now >= self._tell_at:
            self._pass_on(now)
        for seq in [seq for seq, one in self._awaited.items() if one.until <= now]:
            del self._awaited[seq]
        self.notices.forget(now)
        self._say_reach(now)
        due = [self._probe_at, self._join_at, self._tell_at]
        if self._probe is not None and not self._probe.done and not self._probe.asked:
            due.append(self._probe.ask_at)
        due += [one.nack_at if one.nack_at > now else one.until for one in self._relays.values()]
        due += [at for at in (self._raise_at, self.roll.next_look()) if at is not None]
        self._due = max(now + 1_000, min(due))
        return self._due

    def _stood(self, now: int) -> None:
        """This process was kept from its turn for a time. It had no ears meanwhile, so nobody is charged for
        that time: all that is waited for begins anew, and its own word counts for less.
        """
        late = now - self._due
        if late <= self.terms.within // LATE:
            return
        self.health.worse(1 if late < self.terms.period else 2)
        self.roll.postponed(late)
        if self._probe is not None:
            self._probe.ask_at += late
            self._probe.end += late
        self._probe_at += late
        self._awaited = {seq: Awaited(one.name, one.until + late) for seq, one in self._awaited.items()}
        self._relays.clear()
        self._due = now
        self._count("stood still")
        if late >= UNHEARD * self.terms.period:
            self.changes.append(Change("stood still, so its own doubts count for less", self.me.name, {"us": late}))

    def _say_reach(self, now: int) -> None:
        """A walk over the whole roll, so only where something that it hangs on is other than it was."""
        hardly = self._hardly()
        stands = self.roll.version, self._answered(now), hardly, self.terms.told, self.me.tier
        if stands == self._reach_of:
            return
        self._reach_of = stands
        found = self.reach(now)
        if found.word != self._reached:
            self._reached = found.word
            self.changes.append(Change(f"reaches {found.word}", self.me.name, found._asdict()))

    # --- probes ---------------------------------------------------------------------------------------

    def _live(self) -> list[Member]:
        return [one for one in self.roll if one.health != LOST and one.said.phase != LEFT]

    def _begin_probe(self, now: int) -> None:
        period = self.health.stretched(self.terms.period)
        self._probe_at = now + period
        self._probes += 1
        if self._probes % RETRY == 0:
            self._retry(now)
        one = self._next_of_round()
        if one is None:
            self._probe = None
            return
        probe = Probe(one.said.name, self._next_seq(), now + self.health.stretched(self.terms.within), now + period)
        self._probe = probe
        self._ping(one, now, probe.seq, probe.end)

    def _next_of_round(self) -> Member | None:
        """Each is probed once in a round, in an order of chance; whoever comes meanwhile is in the next."""
        for _ in range(2):
            while self._round:
                one = self.roll.get(self._round.pop())
                if one is not None and one.health != LOST and one.said.phase != LEFT:
                    return one
            self._round = list(self.roll.names())
            self._chance.shuffle(self._round)
        return None

    def _retry(self, now: int) -> None:
        """Silent members are tried again for good: a cut may end at any time."""
        lost = [one for one in self.roll if one.health == LOST and one.said.phase != LEFT]
        if lost:
            self._ping(self._chance.choice(lost), now)

    def _ping(self, one: Member, now: int, seq: int | None = None, until: int | None = None) -> None:
        if seq is None:
            seq = self._next_seq()
        if len(self._awaited) < AWAITED_MOST:
            self._awaited[seq] = Awaited(one.said.name, until or now + 2 * self.health.stretched(self.terms.within))
        self._send(PING, one.said.address, seq, one.said.name)

    def _look_at_probe(self, now: int) -> None:
        probe = self._probe
        if probe is None or probe.done or probe.asked or now < probe.ask_at:
            return
        target = self.roll.get(probe.name)
        others = [
            one
            for one in self._live()
            if one.health == ALIVE and one.proved is not None and one.said.name != probe.name
        ]
        if target is None or not others:
            return
        for one in self._chance.sample(others, min(ASKED, len(others))):
            probe.asked += 1
            self._send(ASK, one.said.address, probe.seq, one.said.name, target.said)

    def _end_probe(self, now: int) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        self._turned.append((1, 1) if probe.done else (1 + probe.asked, probe.nacked))
        if probe.done:
            return
        self._count("probes without an answer")
        # Whoever was asked and says nothing at all is a hint that it is this member that hears nobody.
        self.health.unheard(probe.asked - probe.nacked if probe.asked else 1)
        one = self.roll.get(probe.name)
        if one is not None:
            said = one.said
            self._charge(Suspicion(said.name, said.number, said.token, said.turn, self.me.name), now)

    def _charge(self, charge: Suspicion, now: int) -> None:
        if changed := self.roll.charge(charge, now):
            self.changes += changed
            # By whom it is told counts, not who told it: each doubter is one, however many pass it on.
            self._rumours.put(CHARGE, f"{charge.of} {charge.by}", self._wire.part(charge))

    def _look_at_relays(self, now: int) -> None:
        for seq, relay in list(self._relays.items()):
            if relay.nack_at and now >= relay.nack_at:
                relay.nack_at = 0
                if (asker := self.roll.get(relay.asker)) is not None:
                    self._send(NACK, asker.said.address, relay.seq, relay.asker)
            if now >= relay.until:
                del self._relays[seq]

    # --- passing on -----------------------------------------------------------------------------------

    def _tell_all(self) -> None:
        self._owing = [one.said.name for one in self._live()]
        self._chance.shuffle(self._owing)

    def _pass_on(self, now: int) -> None:
        self._tell_at = now + self.terms.period // TELLS_A_PERIOD
        if self._owing:
            turn, self._owing = self._owing[:AT_ONCE], self._owing[AT_ONCE:]
            for name in turn:
                if (one := self.roll.get(name)) is not None:
                    self._ping(one, now)
            return
        if not self._rumours:
            return
        live = self._live()
        for one in self._chance.sample(live, min(TELLS, len(live))):
            self._send(TELL, one.said.address, 0, one.said.name)

    def _join(self, now: int) -> None:
        """Seeds are asked while nobody is there, and seldom after: both halves of a group may have lost each
        other.
        """
        there = {one.said.address for one in self.roll if one.health == ALIVE}
        alone = not there
        self._join_at = now + (JOIN_EVERY if alone else SEEDS_EVERY) * self._chance.randrange(75, 126) // 100
        for seed in self.terms.seeds:
            if seed not in there and seed != self.me.address and len(self._awaited) < AWAITED_MOST:
                seq = self._next_seq()
                self._awaited[seq] = Awaited("", now + 2 * SECOND)
                self._send(PING, seed, seq, "")

    def _new_word(self, **changes: object) -> None:
        """This member's next word of itself."""
        self.me = msgspec.structs.replace(self.me, turn=self.me.turn + 1, **changes)
        self._part = self._wire.part(self.me)
        self._rumours.put(SAID, self.me.name, self._part)

    def _packed(self, one: Member) -> bytes:
        said = one.said
        known = self._parts.get(said.name)
        if known is None or known[0] is not said:
            if len(self._parts) > 2 * len(self.roll) + 16:
                self._parts = {name: kept for name, kept in self._parts.items() if self.roll.get(name) is not None}
            known = self._parts[said.name] = said, self._wire.part(said)
        return known[1]

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _send(
        self,
        kind: int,
        address: tuple[str, int],
        seq: int,
        to: str,
        target: MemberRecord | None = None,
        owed: Sequence[tuple[int, bytes]] = (),
        fill: int = FILL,
    ) -> None:
        """A packet with what is to be passed on, and in its spare room words of the roll by chance: what
        somebody has missed comes by in time, without any being asked for.
        """
        aim = None if target is None else self._wire.part(target)
        room = DATAGRAM - FRAME - len(self._part) - len(to.encode()) - len(aim or b"")
        words: list[tuple[int, bytes]] = []
        known = self.roll.get(to) if to else None
        if known is not None and known.health != ALIVE:
            # It is told before all others, so that it can answer.
            said = known.said
            for doubter in sorted(known.doubters)[:2]:
                words.append(
                    (CHARGE, self._wire.part(Suspicion(said.name, said.number, said.token, said.turn, doubter)))
                )
        words += owed
        room -= sum(len(one) for _, one in words)
        for one in self._rumours.pick(room, 24, len(self.roll)):
            words.append((one.sort, one.part))
            room -= len(one.part)
        if len(self.roll) and fill:
            names = self.roll.names()
            for _ in range(min(fill, len(names))):
                other = self.roll.get(self._chance.choice(names))
                assert other is not None
                part = self._packed(other)
                if len(part) > room:
                    break
                words.append((SAID, part))
                room -= len(part)
        if len(self.notices) and fill:
            told = list(self.notices)
            for notice in self._chance.sample(told, min(fill, len(told))):
                part = self._wire.part(notice)
                if len(part) > room:
                    break
                words.append((NOTICE, part))
                room -= len(part)
        self.out.append((address, self._packet(kind, seq, to, aim, words)))

    def _packet(self, kind: int, seq: int, to: str, aim: bytes | None, words: Sequence[tuple[int, bytes]]) -> bytes:
        self._number += 1
        by_sort: tuple[list[bytes], list[bytes], list[bytes]] = ([], [], [])
        for sort, part in words:
            by_sort[sort].append(part)
        made = self._wire.pack(kind, self._number, seq, self._part, to, self.notices.digest, aim, *by_sort, self.list)
        check_invariant(len(made) <= DATAGRAM, "a packet fits one datagram")
        return made

    # --- what comes ------------------------------------------------------------------------------------

    def receive(self, data: bytes, now: int) -> None:
        """A datagram, or one part of a stream that this member asked for."""
        self._stood(now)
        try:
            packet = self._wire.unpack(data)
        except InvalidPacketError as bad:
            self._count(f"packets {bad}")
            return
        sender = packet.sender
        if sender.name == self.me.name:
            if sender.token != self.me.token:
                self._rival(sender, now)
            return
        if packet.to and packet.to != self.me.name:
            self._count("packets for another")
            return
        member = self._proved(packet, now)
        if member is None:
            return
        if not member.fresh(packet.number):
            self._count("packets that came twice or very late")
            return
        member.held, member.list = packet.held, packet.version
        owed = self._read(packet, now)
        if packet.kind == PING:
            self._send(ACK, sender.address, packet.seq, sender.name, None, owed)
        elif packet.kind == ACK:
            self._acked(packet, now)
        elif packet.kind == ASK and packet.target is not None:
            self._asked(packet, packet.target, now)
        elif packet.kind == NACK:
            if self._probe is not None and packet.seq == self._probe.seq:
                self._probe.nacked += 1

    def _proved(self, packet: Packet, now: int) -> Member | None:
        """The sender, where its process has answered this one; else it is asked for that answer, and nothing
        is read.
        """
        sender = packet.sender
        member = self.roll.get(sender.name)
        if member is not None and member.proved == sender.token:
            self._take(sender, now)
            return member
        if member is not None and sender.life < member.said.life:
            # A life that is over, or one whose clock is behind: told of the later one, the living raises
            # itself. In an answer, for it reads nobody who has not answered it.
            if packet.kind == PING:
                self._send(ACK, sender.address, packet.seq, sender.name, None, [(SAID, self._packed(member))], 0)
            return None
        awaited = self._awaited.get(packet.seq) if packet.kind == ACK else None
        if awaited is not None and awaited.name in ("", sender.name) and packet.target is None:
            alone = not any(one.proved is not None for one in self.roll)
            self._take(sender, now)
            member = self.roll.get(sender.name)
            if member is not None:
                member.prove(sender.token)
                if alone:
                    self.wants_roll = sender.address
            return member
        if packet.kind == PING:
            # A newcomer: it has its answer, with all of the roll that has room, and is asked for its own.
            self._send(ACK, sender.address, packet.seq, sender.name, None, (), 16)
        if member is None or now - member.warned >= self.terms.period:
            if member is not None:
                member.warned = now
            if len(self._awaited) < AWAITED_MOST:
                seq = self._next_seq()
                self._awaited[seq] = Awaited(sender.name, now + 2 * self.health.stretched(self.terms.within))
                self._send(PING, sender.address, seq, sender.name, None, (), 0)
        return None

    def _take(self, said: MemberRecord, now: int) -> bool:
        """A member's own word, from wherever; whether it is news."""
        if said.name == self.me.name:
            if said.token != self.me.token:
                self._rival(said, now)
            elif said.key > self.me.key:
                # Somebody who has the key speaks in its name, and could free its part: a word above that is its own.
                self._count("words never said, taken back")
                self._new_word(number=said.number + 1)
            return False
        changed = self.roll.take(said, now)
        known = self.roll.get(said.name)
        if known is None or known.said is not said:
            return False
        self.changes += changed
        self._rumours.put(SAID, said.name, self._packed(known))
        if any(one.what == "heard of again" for one in changed):
            # It was away: what was told meanwhile it may not have.
            for notice in self.notices:
                self._rumours.put(NOTICE, f"{notice.kind} {notice.key}", self._wire.part(notice))
        return True

    def _read(self, packet: Packet, now: int) -> list[tuple[int, bytes]]:
        """What others are said to have said. The newer words that this member has, where the sender has older
        ones.
        """
        owed: list[tuple[int, bytes]] = []
        for said in packet.said:
            if not self._take(said, now):
                known = self.roll.get(said.name)
                if known is not None and said.key < known.said.key and len(owed) < FILL:
                    owed.append((SAID, self._packed(known)))
        for charge in packet.charges:
            if charge.of == self.me.name:
                self._charged(charge)
                continue
            known = self.roll.get(charge.of)
            if known is not None and (charge.number, charge.token, charge.turn) < known.said.key and len(owed) < FILL:
                owed.append((SAID, self._packed(known)))
            self._charge(charge, now)
        for notice in packet.notices:
            known_notice = self.notices.get(notice.kind, notice.key)
            if self.notices.take(notice, now):
                self.news.append(notice)
                self._rumours.put(NOTICE, f"{notice.kind} {notice.key}", self._wire.part(notice))
            elif known_notice is not None and notice.rank < known_notice.rank and len(owed) < FILL:
                owed.append((NOTICE, self._wire.part(known_notice)))
        return owed

    def _charged(self, charge: Suspicion) -> None:
        """Others doubt this member: it has a next word, and doubts itself a little."""
        if (charge.number, charge.token) != self.me.life or charge.turn < self.me.turn:
            return
        if charge.turn > self.me.turn:
            self._count("charges of a word never said")
            return
        self.health.worse()
        self._count("charges answered")
        self._new_word()

    def _acked(self, packet: Packet, now: int) -> None:
        awaited = self._awaited.pop(packet.seq, None)
        sender = packet.sender
        if packet.target is None and awaited is not None and awaited.name in ("", sender.name):
            member = self.roll.get(sender.name)
            assert member is not None
            member.heard = self._answered_at = now
            self._farewell.add(sender.name)
            if (relay := self._relays.pop(packet.seq, None)) is not None:
                asker = self.roll.get(relay.asker)
                if asker is not None:
                    self._send(ACK, asker.said.address, relay.seq, relay.asker, sender)
        probe = self._probe
        if probe is None or probe.done or packet.seq != probe.seq:
            return
        of = sender if packet.target is None else packet.target
        if of.name != probe.name:
            return
        if packet.target is not None:
            self._take(of, now)
            self._answered_at = now
        probe.done = True
        self.health.better()

    def _asked(self, packet: Packet, target: MemberRecord, now: int) -> None:
        if target.name == self.me.name or len(self._relays) >= RELAYS_MOST:
            return
        self._take(target, now)
        one = self.roll.get(target.name)
        if one is None:
            return
        seq = self._next_seq()
        within = self.terms.within
        self._relays[seq] = Relay(
            packet.sender.name, packet.seq, target.name, now + round(NACK_AT * within), now + 2 * within
        )
        self._ping(one, now, seq, now + 2 * within)

    # --- two under one name --------------------------------------------------------------------------

    def _rival(self, said: MemberRecord, now: int) -> None:
        """Another life under this name. One that is over never rises; one that rises lives, as this does."""
        seen = self._rivals.get(said.token)
        if seen is not None and said.number > seen and said.phase != LEFT:
            self._rival_at = now
            if not self.me.doubled:
                self.changes.append(
                    Change(
                        "doubled: another process lives under this one's name",
                        self.me.name,
                        {"at": f"{said.host}:{said.port}", "token": f"{said.token:016x}"},
                    )
                )
                self._new_word(doubled=True)
        self._rivals[said.token] = max(said.number, seen or 0)
        if len(self._rivals) > RIVALS:
            del self._rivals[min(self._rivals, key=lambda token: self._rivals[token])]
        if said.life > self.me.life and self._raise_at is None:
            self._raise_at = max(now, self._raised_at + RAISE_EVERY)
            if self._raise_at == now:
                self._raise()

    def _raise(self) -> None:
        """Above every other life under this name. Not more than once a second: a living rival does so in
        turn.
        """
        assert self._raise_at is not None
        self._raised_at, self._raise_at = self._raise_at, None
        highest = max(self._rivals.values(), default=0)
        if highest >= self.me.number:
            self._new_word(number=highest + 1)
            self._count("lives raised")

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    # --- for people ------------------------------------------------------------------------------------

    def rows(self, now: int) -> list[dict[str, object]]:
        """A row for each member, this one first."""
        mine: dict[str, object] = {
            "name": self.me.name,
            "is": PHASES[self.me.phase] + (", doubled" if self.me.doubled else ""),
            "found": "itself",
            "since_s": 0.0,
            "answered_s": 0.0,
            "orders": "-",
            "list": self.list,
            "tier": self.me.tier,
            "place": self.me.place,
            "at": f"{self.me.host}:{self.me.port}",
            "life": self.me.number,
            "turn": self.me.turn,
        }
        rows = [mine]
        for one in sorted(self.roll, key=lambda one: one.said.name):
            said = one.said
            found = "gone" if said.phase == LEFT else HEALTH[one.health]
            rows.append(
                {
                    "name": said.name,
                    "is": PHASES[said.phase] + (", doubled" if said.doubled else ""),
                    "found": found,
                    "since_s": round((now - one.since) / SECOND, 1),
                    "answered_s": round((now - one.heard) / SECOND, 1) if one.heard else None,
                    "orders": "same" if one.held == self.notices.digest else "other",
                    "list": one.list,
                    "tier": said.tier,
                    "place": said.place,
                    "at": f"{said.host}:{said.port}",
                    "life": said.number,
                    "turn": said.turn,
                }
            )
        return rows
