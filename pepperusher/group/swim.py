"""The membership protocol of one group member: probes, acks, suspicion and gossip. It does no I/O.

The caller passes in the time and the received datagrams, and calls `wake` when it is due. Packets to send are
collected in `outgoing`, membership changes in `changes`, and broadcasts that are new to this proxy in `new_broadcasts`.

From SWIM (Das, Gupta, Motivala 2002): probes in shuffled rounds, indirect probes, piggybacked gossip,
incarnation numbers and suspicion. From Lifeguard (Dadgar, Phillips, Currey 2018): the local health score,
suspicion timeouts that shorten with each independent accuser, nacks, and telling a suspected member first so
that it can refute. As in memberlist, members also gossip between probes. Two parts are left out: a "dead"
message that others must accept, and a stream for data that does not fit a datagram; see docs/group-design.md.

A packet is only read once the process that sent it has answered a packet of this one, and each packet number
counts once. Recorded packets that somebody replays therefore change nothing.
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
from pepperusher.group.gossip_queue import SUSPICION, BROADCAST, RECORD, GossipQueue
from pepperusher.group.wire import MAX_DATAGRAM_BYTES, HEADER_BYTES, InvalidPacketError, Wire
from pepperusher.group.messages import (
    ACK,
    ALIVE,
    PING_REQ,
    HEALTH,
    LEAVING,
    LEFT,
    LOST,
    NACK,
    PHASES,
    PING,
    SENT_AWAY,
    GOSSIP,
    Suspicion,
    Broadcast,
    Packet,
    MemberRecord,
)
from pepperusher.invariants import check_invariant

SECOND = 1_000_000
# Members that are asked to probe a target that did not answer the direct probe.
INDIRECT_PROBES = 3
# A helper sends its nack after this part of the ack timeout.
NACK_AFTER_FRACTION = 0.8
# Members that receive gossip in one round, and gossip rounds per probe period.
GOSSIP_FANOUT, GOSSIP_ROUNDS_PER_PERIOD = 2, 4
# Members that are pinged in one gossip round when news should reach every member at once.
PINGS_PER_ROUND = 24
# One lost member is pinged again every so many probe periods.
LOST_PING_INTERVAL_PERIODS = 4
# How often seeds are pinged while no member is alive, and afterwards.
JOIN_INTERVAL_US, SEEDS_INTERVAL_US = SECOND, 10 * SECOND
# Random member records, and random broadcasts, that fill the free space of a packet.
MAX_EXTRA_PARTS = 4
# The most bytes of a packet beside its records, suspicions and broadcasts.
PACKET_OVERHEAD_BYTES = HEADER_BYTES + 57
# A member that got no answer for this many periods takes itself to be isolated.
MAX_UNANSWERED_PERIODS = 8
# The last probes, each of a random member, from which a member estimates how many others it reaches.
REACH_SAMPLE_PROBES = 8
# A name is marked as doubled until this long after the other process under it was last seen.
DUPLICATE_NAME_HOLD_US = 10 * SECOND
# The minimum time between two raises of this process's start number above a rival's.
RAISE_INTERVAL_US = SECOND
MAX_RIVALS = 4
# Limits on outstanding pings and on pings relayed for other members; no more are sent beyond these.
MAX_AWAITED = 4_000
MAX_RELAYS = 200
# A wake-up that is late by more than the ack timeout divided by this counts as a stall of the process.
STALL_THRESHOLD_DIVISOR = 2


class SwimSettings(NamedTuple):
    """Times are in microseconds. `configured_size` is the number of proxies in this tier by the settings."""

    period: int
    ack_timeout: int
    seeds: tuple[tuple[str, int], ...]
    configured_size: int
    retention: int  # how long a broadcast that is off is remembered


class Awaited(NamedTuple):
    """An ack that is expected. `name` is empty when a seed was pinged whose name is not known."""

    name: str
    deadline: int


class Probe:
    """The running probe of one member, direct until `indirect_at` and then also through helpers."""

    __slots__ = ("name", "seq", "indirect_at", "end", "helper_count", "nack_count", "answered")

    def __init__(self, name: str, seq: int, indirect_at: int, end: int) -> None:
        self.name, self.seq, self.indirect_at, self.end = name, seq, indirect_at, end
        self.helper_count = 0
        self.nack_count = 0
        self.answered = False


class Relay:
    """A ping that this member sends on behalf of another, which waits for the ack or a nack."""

    __slots__ = ("requester", "seq", "target", "nack_at", "deadline")

    def __init__(self, requester: str, seq: int, target: str, nack_at: int, deadline: int) -> None:
        self.requester, self.seq, self.target, self.nack_at, self.deadline = requester, seq, target, nack_at, deadline


class Swim:
    """One member's view of the group and its side of the protocol."""

    def __init__(self, own_record: MemberRecord, settings: SwimSettings, wire: Wire, rng: Random, now: int) -> None:
        self.own_record = own_record
        self.settings = settings
        self.members = Membership(settings.period)
        self.broadcasts = Broadcasts(settings.retention)
        self.health = Health()
        self.outgoing: list[tuple[tuple[str, int], bytes]] = []
        self.changes: list[Change] = []
        self.new_broadcasts: list[Broadcast] = []
        # Keyed by texts of this module and of wire.py, so its size is bounded.
        self.counts: dict[str, int] = {}
        self.list_version = 0  # the version of discovery's endpoint list that this proxy has
        self.sync_from: tuple[str, int] | None = None  # the member to request a full state sync from
        self._wire = wire
        self._rng = rng
        self._gossip_queue = GossipQueue()
        self._own_encoded = wire.encode_part(own_record)
        self._record_cache: dict[str, tuple[MemberRecord, bytes]] = {}  # cache of encoded records, one per member name
        self._packet_number = 0
        self._seq = rng.getrandbits(48)
        self._probe_round: list[str] = []  # members still to be probed in this round
        self._probe: Probe | None = None
        self._probe_at = now + rng.randrange(max(1, settings.period))
        self._probe_count = 0
        # For each of the last probes: members contacted (the target and the helpers), and how many answered.
        self._recent_probes: deque[tuple[int, int]] = deque(maxlen=REACH_SAMPLE_PROBES)
        self._gossip_at = now
        self._seeds_at = now
        self._awaited: dict[int, Awaited] = {}  # by sequence number; removed by the ack or at the deadline
        self._relays: dict[int, Relay] = {}  # by sequence number; removed by the ack or at the deadline
        self._urgent_pings: list[str] = []  # members still to be pinged with urgent news
        # Other processes under this name: the highest start number by token, at most MAX_RIVALS.
        self._rivals: dict[int, int] = {}
        self._rival_seen_at = 0
        self._raise_at: int | None = None
        self._raised_at = -RAISE_INTERVAL_US
        self._last_answer_at = now - MAX_UNANSWERED_PERIODS * settings.period
        self._reported_reach = ""
        self._reach_inputs: tuple[int, bool, bool, int, int] | None = None
        self._wake_at = now
        self._acked_phase: set[str] = set()
        self._gossip_queue.put(RECORD, own_record.name, self._own_encoded)

    # --- interface of the proxy --------------------------------------------------------------------

    def _answered_recently(self, now: int) -> bool:
        """Whether any member has acked within MAX_UNANSWERED_PERIODS."""
        return now - self._last_answer_at <= MAX_UNANSWERED_PERIODS * self.health.scale(self.settings.period)

    def _few_answer(self) -> bool:
        """Whether so few recent probes were answered that most members must be unreachable. Packet loss alone
        does not cause this, because most helpers still send a nack.
        """
        contacted = sum(count for count, _ in self._recent_probes)
        answered = sum(count for _, count in self._recent_probes)
        return len(self._recent_probes) == REACH_SAMPLE_PROBES and shares.FEW_ANSWERS_DIVISOR * answered <= contacted

    def reachability(self, now: int) -> Reachability:
        return shares.assess_reachability(
            self.settings.configured_size,
            self.own_record,
            self.members,
            self._answered_recently(now),
            self._few_answer(),
        )

    def sharer_count(self) -> int:
        """The number of proxies, this one included, that share the limits."""
        return shares.sharer_count(
            self.settings.configured_size, self.own_record, (member.record for member in self.members)
        )

    def set_phase(self, phase: int, now: int) -> None:
        """Publishes a new phase of this proxy. If it frees its share of the limits or takes it back, all reachable
        members are pinged at once.
        """
        before = self.own_record.phase
        if phase == before:
            return
        self._update_own_record(phase=phase)
        self._acked_phase.clear()
        # A mere start is not announced this way: when many proxies start together, each would ping all others.
        if phase in (SENT_AWAY, LEAVING, LEFT) or before == SENT_AWAY:
            self._schedule_pings()
            self._gossip_at = now

    def reconfigure(self, configured_size: int, tier: int, place: int) -> None:
        """Applies new settings: the size of the tier, and the tier and place of this proxy."""
        self.settings = self.settings._replace(configured_size=configured_size)
        if (tier, place) != (self.own_record.tier, self.own_record.place):
            self._update_own_record(tier=tier, place=place)

    @property
    def phase_acks(self) -> tuple[int, int]:
        """How many members have acked since the last change of phase, and how many members are alive."""
        return len(self._acked_phase), len(self._live_members())

    def broadcast(self, broadcast: Broadcast, now: int) -> bool:
        """Broadcasts news of this proxy to all members. False if it is not newer than what this proxy holds."""
        if not self.broadcasts.merge(broadcast, now):
            return False
        self._gossip_queue.put(BROADCAST, f"{broadcast.kind} {broadcast.key}", self._wire.encode_part(broadcast))
        self._schedule_pings()
        self._gossip_at = now
        return True

    def holder_counts(self) -> tuple[int, int]:
        """How many members, this one included, hold the same broadcasts, and how many members have not left."""
        present = [member for member in self.members if member.record.phase != LEFT]
        return 1 + sum(member.broadcasts_digest == self.broadcasts.digest for member in present), 1 + len(present)

    def stream_opening(self, purpose: int) -> bytes:
        """The first packet of a stream that this member opens; `purpose` is WANTS_STATE or WANTS_LIST."""
        return self._packet(GOSSIP, purpose, "", None, ())

    def full_state(self) -> list[bytes]:
        """The full state of this member, as packets for a full state sync over a stream."""
        parts = [(RECORD, self._encoded_record(item)) for item in self.members]
        parts += [(BROADCAST, self._wire.encode_part(item)) for item in self.broadcasts]
        packets = []
        while parts or not packets:
            free_bytes = MAX_DATAGRAM_BYTES - PACKET_OVERHEAD_BYTES - len(self._own_encoded)
            packet_parts: list[tuple[int, bytes]] = []
            while parts and len(parts[-1][1]) <= free_bytes:
                packet_parts.append(parts.pop())
                free_bytes -= len(packet_parts[-1][1])
            packets.append(self._packet(GOSSIP, 0, "", None, packet_parts))
        return packets

    # --- time ---------------------------------------------------------------------------------------

    def wake(self, now: int) -> int:
        """Does what is due and returns the time of the next wake-up."""
        self._compensate_stall(now)
        self._wake_at = now
        if self._raise_at is not None and now >= self._raise_at:
            self._raise_number()
        if self.own_record.is_duplicate and now - self._rival_seen_at >= DUPLICATE_NAME_HOLD_US:
            self._update_own_record(is_duplicate=False)
            self.changes.append(Change("no longer doubled", self.own_record.name, {}))
        self._check_probe(now)
        self._check_relays(now)
        if now >= self._probe_at:
            self._end_probe(now)
            self._begin_probe(now)
        for change in self.members.expire_suspicions(now):
            self.changes.append(change)
        if now >= self._seeds_at:
            self._ping_seeds(now)
        if now >= self._gossip_at:
            self._gossip(now)
        for seq in [seq for seq, pending in self._awaited.items() if pending.deadline <= now]:
            del self._awaited[seq]
        self.broadcasts.expire(now)
        self._report_reach(now)
        due = [self._probe_at, self._seeds_at, self._gossip_at]
        if self._probe is not None and not self._probe.answered and not self._probe.helper_count:
            due.append(self._probe.indirect_at)
        due += [pending.nack_at if pending.nack_at > now else pending.deadline for pending in self._relays.values()]
        due += [time for time in (self._raise_at, self.members.next_expiry()) if time is not None]
        self._wake_at = max(now + 1_000, min(due))
        return self._wake_at

    def _compensate_stall(self, now: int) -> None:
        """Detects that this process was stalled and moves all deadlines by the delay. It could not receive acks
        meanwhile, so no member is suspected for that time, and its own health score degrades.
        """
        delay = now - self._wake_at
        if delay <= self.settings.ack_timeout // STALL_THRESHOLD_DIVISOR:
            return
        self.health.degrade(1 if delay < self.settings.period else 2)
        self.members.postpone_suspicions(delay)
        if self._probe is not None:
            self._probe.indirect_at += delay
            self._probe.end += delay
        self._probe_at += delay
        self._awaited = {seq: Awaited(awaited.name, awaited.deadline + delay) for seq, awaited in self._awaited.items()}
        self._relays.clear()
        self._wake_at = now
        self._count("stood still")
        if delay >= MAX_UNANSWERED_PERIODS * self.settings.period:
            self.changes.append(
                Change("stood still, so its own suspicions count for less", self.own_record.name, {"us": delay})
            )

    def _report_reach(self, now: int) -> None:
        """Reports a change of reachability. The computation visits all members, so it runs only when one of its
        inputs has changed.
        """
        few_answer = self._few_answer()
        inputs = (
            self.members.version,
            self._answered_recently(now),
            few_answer,
            self.settings.configured_size,
            self.own_record.tier,
        )
        if inputs == self._reach_inputs:
            return
        self._reach_inputs = inputs
        reachability = self.reachability(now)
        if reachability.word != self._reported_reach:
            self._reported_reach = reachability.word
            self.changes.append(Change(f"reaches {reachability.word}", self.own_record.name, reachability._asdict()))

    # --- probes ---------------------------------------------------------------------------------------

    def _live_members(self) -> list[Member]:
        """The members that are neither lost nor have left."""
        return [member for member in self.members if member.health != LOST and member.record.phase != LEFT]

    def _begin_probe(self, now: int) -> None:
        """Starts the probe of the next member of the round, and sometimes pings a lost one."""
        period = self.health.scale(self.settings.period)
        self._probe_at = now + period
        self._probe_count += 1
        if self._probe_count % LOST_PING_INTERVAL_PERIODS == 0:
            self._ping_lost(now)
        target = self._next_target()
        if target is None:
            self._probe = None
            return
        probe = Probe(
            target.record.name, self._next_seq(), now + self.health.scale(self.settings.ack_timeout), now + period
        )
        self._probe = probe
        self._ping(target, now, probe.seq, probe.end)

    def _next_target(self) -> Member | None:
        """Each member is probed once per round, in random order. A member that joins is probed in the next round."""
        for _ in range(2):
            while self._probe_round:
                member = self.members.get(self._probe_round.pop())
                if member is not None and member.health != LOST and member.record.phase != LEFT:
                    return member
            self._probe_round = list(self.members.member_names())
            self._rng.shuffle(self._probe_round)
        return None

    def _ping_lost(self, now: int) -> None:
        """Pings a random lost member. This never stops, because a network partition may end at any time."""
        lost = [member for member in self.members if member.health == LOST and member.record.phase != LEFT]
        if lost:
            self._ping(self._rng.choice(lost), now)

    def _ping(self, member: Member, now: int, seq: int | None = None, deadline: int | None = None) -> None:
        """Pings a member and awaits its ack until the deadline."""
        if seq is None:
            seq = self._next_seq()
        if len(self._awaited) < MAX_AWAITED:
            self._awaited[seq] = Awaited(
                member.record.name, deadline or now + 2 * self.health.scale(self.settings.ack_timeout)
            )
        self._send(PING, member.record.address, seq, member.record.name)

    def _check_probe(self, now: int) -> None:
        """Asks helpers for indirect probes if the direct probe got no ack in time."""
        probe = self._probe
        if probe is None or probe.answered or probe.helper_count or now < probe.indirect_at:
            return
        target = self.members.get(probe.name)
        helpers = [
            helper
            for helper in self._live_members()
            if helper.health == ALIVE and helper.verified_token is not None and helper.record.name != probe.name
        ]
        if target is None or not helpers:
            return
        for helper in self._rng.sample(helpers, min(INDIRECT_PROBES, len(helpers))):
            probe.helper_count += 1
            self._send(PING_REQ, helper.record.address, probe.seq, helper.record.name, target.record)

    def _end_probe(self, now: int) -> None:
        """Ends the running probe, and suspects its target if neither it nor a helper has acked."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        self._recent_probes.append((1, 1) if probe.answered else (1 + probe.helper_count, probe.nack_count))
        if probe.answered:
            return
        self._count("probes without an answer")
        # A helper that sends neither an ack nor a nack is a hint that this member itself cannot receive.
        self.health.record_missing_nacks(probe.helper_count - probe.nack_count if probe.helper_count else 1)
        target = self.members.get(probe.name)
        if target is not None:
            record = target.record
            self._suspect(
                Suspicion(record.name, record.number, record.token, record.incarnation, self.own_record.name), now
            )

    def _suspect(self, suspicion: Suspicion, now: int) -> None:
        """Records a suspicion, and gossips it if it is new."""
        if changed := self.members.record_suspicion(suspicion, now):
            self.changes += changed
            # Suspicions are queued per accuser, not per sender: an accuser counts once, however many relay it.
            self._gossip_queue.put(
                SUSPICION, f"{suspicion.suspect} {suspicion.accuser}", self._wire.encode_part(suspicion)
            )

    def _check_relays(self, now: int) -> None:
        """Sends nacks for relayed pings that got no ack in time, and drops the expired ones."""
        for seq, relay in list(self._relays.items()):
            if relay.nack_at and now >= relay.nack_at:
                relay.nack_at = 0
                if (requester := self.members.get(relay.requester)) is not None:
                    self._send(NACK, requester.record.address, relay.seq, relay.requester)
            if now >= relay.deadline:
                del self._relays[seq]

    # --- gossip ---------------------------------------------------------------------------------------

    def _schedule_pings(self) -> None:
        """Schedules a ping of every live member, in random order, to spread urgent news."""
        self._urgent_pings = [member.record.name for member in self._live_members()]
        self._rng.shuffle(self._urgent_pings)

    def _gossip(self, now: int) -> None:
        """Runs a gossip round: urgent pings if any are scheduled, else queued gossip to random members."""
        self._gossip_at = now + self.settings.period // GOSSIP_ROUNDS_PER_PERIOD
        if self._urgent_pings:
            batch, self._urgent_pings = self._urgent_pings[:PINGS_PER_ROUND], self._urgent_pings[PINGS_PER_ROUND:]
            for name in batch:
                if (member := self.members.get(name)) is not None:
                    self._ping(member, now)
            return
        if not self._gossip_queue:
            return
        live = self._live_members()
        for member in self._rng.sample(live, min(GOSSIP_FANOUT, len(live))):
            self._send(GOSSIP, member.record.address, 0, member.record.name)

    def _ping_seeds(self, now: int) -> None:
        """Pings the seeds often while no member is alive, and rarely afterwards: two halves of a group that have
        lost each other find each other again through the seeds.
        """
        alive_addresses = {member.record.address for member in self.members if member.health == ALIVE}
        alone = not alive_addresses
        self._seeds_at = now + (JOIN_INTERVAL_US if alone else SEEDS_INTERVAL_US) * self._rng.randrange(75, 126) // 100
        for seed in self.settings.seeds:
            if seed not in alive_addresses and seed != self.own_record.address and len(self._awaited) < MAX_AWAITED:
                seq = self._next_seq()
                self._awaited[seq] = Awaited("", now + 2 * SECOND)
                self._send(PING, seed, seq, "")

    def _update_own_record(self, **changes: object) -> None:
        """Publishes the next incarnation of this member's own record."""
        self.own_record = msgspec.structs.replace(
            self.own_record, incarnation=self.own_record.incarnation + 1, **changes
        )
        self._own_encoded = self._wire.encode_part(self.own_record)
        self._gossip_queue.put(RECORD, self.own_record.name, self._own_encoded)

    def _encoded_record(self, member: Member) -> bytes:
        """The encoded record of a member, cached until the record changes."""
        record = member.record
        cached = self._record_cache.get(record.name)
        if cached is None or cached[0] is not record:
            if len(self._record_cache) > 2 * len(self.members) + 16:
                self._record_cache = {
                    name: entry for name, entry in self._record_cache.items() if self.members.get(name) is not None
                }
            cached = self._record_cache[record.name] = record, self._wire.encode_part(record)
        return cached[1]

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _send(
        self,
        kind: int,
        address: tuple[str, int],
        seq: int,
        recipient: str,
        target: MemberRecord | None = None,
        reply_parts: Sequence[tuple[int, bytes]] = (),
        max_extra: int = MAX_EXTRA_PARTS,
    ) -> None:
        """Sends a packet that carries queued gossip. Random member records and broadcasts fill the free space, so
        that members eventually receive what they missed without asking for it.
        """
        encoded_target = None if target is None else self._wire.encode_part(target)
        free_bytes = (
            MAX_DATAGRAM_BYTES
            - PACKET_OVERHEAD_BYTES
            - len(self._own_encoded)
            - len(recipient.encode())
            - len(encoded_target or b"")
        )
        parts: list[tuple[int, bytes]] = []
        member = self.members.get(recipient) if recipient else None
        if member is not None and member.health != ALIVE:
            # A suspected or lost member is told first, so that it can refute the suspicion.
            record = member.record
            for accuser in sorted(member.accusers)[:2]:
                parts.append(
                    (
                        SUSPICION,
                        self._wire.encode_part(
                            Suspicion(record.name, record.number, record.token, record.incarnation, accuser)
                        ),
                    )
                )
        parts += reply_parts
        free_bytes -= sum(len(item) for _, item in parts)
        for item in self._gossip_queue.pick(free_bytes, 24, len(self.members)):
            parts.append((item.kind, item.encoded))
            free_bytes -= len(item.encoded)
        if len(self.members) and max_extra:
            names = self.members.member_names()
            for _ in range(min(max_extra, len(names))):
                random_member = self.members.get(self._rng.choice(names))
                assert random_member is not None
                part = self._encoded_record(random_member)
                if len(part) > free_bytes:
                    break
                parts.append((RECORD, part))
                free_bytes -= len(part)
        if len(self.broadcasts) and max_extra:
            broadcasts = list(self.broadcasts)
            for broadcast in self._rng.sample(broadcasts, min(max_extra, len(broadcasts))):
                part = self._wire.encode_part(broadcast)
                if len(part) > free_bytes:
                    break
                parts.append((BROADCAST, part))
                free_bytes -= len(part)
        self.outgoing.append((address, self._packet(kind, seq, recipient, encoded_target, parts)))

    def _packet(
        self, kind: int, seq: int, recipient: str, encoded_target: bytes | None, parts: Sequence[tuple[int, bytes]]
    ) -> bytes:
        self._packet_number += 1
        by_kind: tuple[list[bytes], list[bytes], list[bytes]] = ([], [], [])
        for part_kind, part in parts:
            by_kind[part_kind].append(part)
        packet = self._wire.pack(
            kind,
            self._packet_number,
            seq,
            self._own_encoded,
            recipient,
            self.broadcasts.digest,
            encoded_target,
            *by_kind,
            self.list_version,
        )
        check_invariant(len(packet) <= MAX_DATAGRAM_BYTES, "a packet fits one datagram")
        return packet

    # --- received packets ------------------------------------------------------------------------------

    def receive(self, data: bytes, now: int) -> None:
        """Handles a datagram, or one packet of a stream that this member requested."""
        self._compensate_stall(now)
        try:
            packet = self._wire.unpack(data)
        except InvalidPacketError as error:
            self._count(f"packets {error}")
            return
        sender = packet.sender
        if sender.name == self.own_record.name:
            if sender.token != self.own_record.token:
                self._handle_rival(sender, now)
            return
        if packet.recipient and packet.recipient != self.own_record.name:
            self._count("packets for another")
            return
        member = self._verified_sender(packet, now)
        if member is None:
            return
        if not member.record_packet(packet.packet_number):
            self._count("packets that came twice or very late")
            return
        member.broadcasts_digest, member.list_version = packet.broadcasts_digest, packet.list_version
        reply_parts = self._merge_packet(packet, now)
        if packet.kind == PING:
            self._send(ACK, sender.address, packet.seq, sender.name, None, reply_parts)
        elif packet.kind == ACK:
            self._handle_ack(packet, now)
        elif packet.kind == PING_REQ and packet.target is not None:
            self._handle_ping_req(packet, packet.target, now)
        elif packet.kind == NACK:
            if self._probe is not None and packet.seq == self._probe.seq:
                self._probe.nack_count += 1

    def _verified_sender(self, packet: Packet, now: int) -> Member | None:
        """The member that sent the packet, if its process has already answered this one. Otherwise the sender is
        pinged to verify it, and the packet is not read.
        """
        sender = packet.sender
        member = self.members.get(sender.name)
        if member is not None and member.verified_token == sender.token:
            self._merge_record(sender, now)
            return member
        if member is not None and sender.life < member.record.life:
            # The sender is a process that has ended, or one whose clock is behind. A live one raises its start
            # number once it learns of the later record. That goes in an ack, since it reads only verified senders.
            if packet.kind == PING:
                self._send(
                    ACK, sender.address, packet.seq, sender.name, None, [(RECORD, self._encoded_record(member))], 0
                )
            return None
        awaited = self._awaited.get(packet.seq) if packet.kind == ACK else None
        if awaited is not None and awaited.name in ("", sender.name) and packet.target is None:
            alone = not any(other.verified_token is not None for other in self.members)
            self._merge_record(sender, now)
            member = self.members.get(sender.name)
            if member is not None:
                member.mark_verified(sender.token)
                if alone:
                    self.sync_from = sender.address
            return member
        if packet.kind == PING:
            # A new member gets an ack with as many member records as fit, and is pinged below.
            self._send(ACK, sender.address, packet.seq, sender.name, None, (), 16)
        if member is None or now - member.challenged_at >= self.settings.period:
            if member is not None:
                member.challenged_at = now
            if len(self._awaited) < MAX_AWAITED:
                seq = self._next_seq()
                self._awaited[seq] = Awaited(sender.name, now + 2 * self.health.scale(self.settings.ack_timeout))
                self._send(PING, sender.address, seq, sender.name, None, (), 0)
        return None

    def _merge_record(self, record: MemberRecord, now: int) -> bool:
        """Merges a member record, received directly or by gossip. True if it is newer than the known one."""
        if record.name == self.own_record.name:
            if record.token != self.own_record.token:
                self._handle_rival(record, now)
            elif record.precedence > self.own_record.precedence:
                # A holder of the key forged a record of this member, which could free its share of the limits. This
                # member overrides it with a record of a higher start number.
                self._count("words never said, taken back")
                self._update_own_record(number=record.number + 1)
            return False
        changes = self.members.merge(record, now)
        member = self.members.get(record.name)
        if member is None or member.record is not record:
            return False
        self.changes += changes
        self._gossip_queue.put(RECORD, record.name, self._encoded_record(member))
        if any(change.what == "heard of again" for change in changes):
            # The member was unreachable and may have missed broadcasts, so all of them are gossiped again.
            for broadcast in self.broadcasts:
                self._gossip_queue.put(
                    BROADCAST, f"{broadcast.kind} {broadcast.key}", self._wire.encode_part(broadcast)
                )
        return True

    def _merge_packet(self, packet: Packet, now: int) -> list[tuple[int, bytes]]:
        """Merges the gossip in a packet. Returns the records and broadcasts of which the sender has older versions
        than this member.
        """
        newer_parts: list[tuple[int, bytes]] = []
        for record in packet.records:
            if not self._merge_record(record, now):
                member = self.members.get(record.name)
                if (
                    member is not None
                    and record.precedence < member.record.precedence
                    and len(newer_parts) < MAX_EXTRA_PARTS
                ):
                    newer_parts.append((RECORD, self._encoded_record(member)))
        for suspicion in packet.suspicions:
            if suspicion.suspect == self.own_record.name:
                self._refute(suspicion)
                continue
            member = self.members.get(suspicion.suspect)
            if (
                member is not None
                and (suspicion.number, suspicion.token, suspicion.incarnation) < member.record.precedence
                and len(newer_parts) < MAX_EXTRA_PARTS
            ):
                newer_parts.append((RECORD, self._encoded_record(member)))
            self._suspect(suspicion, now)
        for broadcast in packet.broadcasts:
            known_broadcast = self.broadcasts.get(broadcast.kind, broadcast.key)
            if self.broadcasts.merge(broadcast, now):
                self.new_broadcasts.append(broadcast)
                self._gossip_queue.put(
                    BROADCAST, f"{broadcast.kind} {broadcast.key}", self._wire.encode_part(broadcast)
                )
            elif (
                known_broadcast is not None
                and broadcast.precedence < known_broadcast.precedence
                and len(newer_parts) < MAX_EXTRA_PARTS
            ):
                newer_parts.append((BROADCAST, self._wire.encode_part(known_broadcast)))
        return newer_parts

    def _refute(self, suspicion: Suspicion) -> None:
        """Refutes a suspicion of this member by a new incarnation, and degrades its own health score."""
        if (
            suspicion.number,
            suspicion.token,
        ) != self.own_record.life or suspicion.incarnation < self.own_record.incarnation:
            return
        if suspicion.incarnation > self.own_record.incarnation:
            self._count("charges of a word never said")
            return
        self.health.degrade()
        self._count("charges answered")
        self._update_own_record()

    def _handle_ack(self, packet: Packet, now: int) -> None:
        """Handles the ack of a direct ping, or one that a helper relays; the latter carries the target's record."""
        awaited = self._awaited.pop(packet.seq, None)
        sender = packet.sender
        if packet.target is None and awaited is not None and awaited.name in ("", sender.name):
            member = self.members.get(sender.name)
            assert member is not None
            member.last_ack_at = self._last_answer_at = now
            self._acked_phase.add(sender.name)
            if (relay := self._relays.pop(packet.seq, None)) is not None:
                requester = self.members.get(relay.requester)
                if requester is not None:
                    self._send(ACK, requester.record.address, relay.seq, relay.requester, sender)
        probe = self._probe
        if probe is None or probe.answered or packet.seq != probe.seq:
            return
        acked = sender if packet.target is None else packet.target
        if acked.name != probe.name:
            return
        if packet.target is not None:
            self._merge_record(acked, now)
            self._last_answer_at = now
        probe.answered = True
        self.health.improve()

    def _handle_ping_req(self, packet: Packet, target: MemberRecord, now: int) -> None:
        """Pings the target on behalf of the sender."""
        if target.name == self.own_record.name or len(self._relays) >= MAX_RELAYS:
            return
        self._merge_record(target, now)
        member = self.members.get(target.name)
        if member is None:
            return
        seq = self._next_seq()
        ack_timeout = self.settings.ack_timeout
        self._relays[seq] = Relay(
            packet.sender.name,
            packet.seq,
            target.name,
            now + round(NACK_AFTER_FRACTION * ack_timeout),
            now + 2 * ack_timeout,
        )
        self._ping(member, now, seq, now + 2 * ack_timeout)

    # --- two processes under one name ----------------------------------------------------------------

    def _handle_rival(self, record: MemberRecord, now: int) -> None:
        """Handles a record of another process under this name. The start number of a process that has ended never
        rises, so one that rises belongs to a second live process.
        """
        known_number = self._rivals.get(record.token)
        if known_number is not None and record.number > known_number and record.phase != LEFT:
            self._rival_seen_at = now
            if not self.own_record.is_duplicate:
                self.changes.append(
                    Change(
                        "doubled: another process lives under this one's name",
                        self.own_record.name,
                        {"at": f"{record.host}:{record.port}", "token": f"{record.token:016x}"},
                    )
                )
                self._update_own_record(is_duplicate=True)
        self._rivals[record.token] = max(record.number, known_number or 0)
        if len(self._rivals) > MAX_RIVALS:
            del self._rivals[min(self._rivals, key=lambda token: self._rivals[token])]
        if record.life > self.own_record.life and self._raise_at is None:
            self._raise_at = max(now, self._raised_at + RAISE_INTERVAL_US)
            if self._raise_at == now:
                self._raise_number()

    def _raise_number(self) -> None:
        """Raises the start number above that of every other process under this name. This happens at most once a
        second, because a live rival raises its own in turn.
        """
        assert self._raise_at is not None
        self._raised_at, self._raise_at = self._raise_at, None
        highest = max(self._rivals.values(), default=0)
        if highest >= self.own_record.number:
            self._update_own_record(number=highest + 1)
            self._count("lives raised")

    def _count(self, event: str) -> None:
        self.counts[event] = self.counts.get(event, 0) + 1

    # --- status for operators --------------------------------------------------------------------------

    def status_rows(self, now: int) -> list[dict[str, object]]:
        """One status row per member, this one first."""
        own_row: dict[str, object] = {
            "name": self.own_record.name,
            "is": PHASES[self.own_record.phase] + (", doubled" if self.own_record.is_duplicate else ""),
            "found": "itself",
            "since_s": 0.0,
            "answered_s": 0.0,
            "orders": "-",
            "list": self.list_version,
            "tier": self.own_record.tier,
            "place": self.own_record.place,
            "at": f"{self.own_record.host}:{self.own_record.port}",
            "life": self.own_record.number,
            "turn": self.own_record.incarnation,
        }
        rows = [own_row]
        for member in sorted(self.members, key=lambda member: member.record.name):
            record = member.record
            finding = "gone" if record.phase == LEFT else HEALTH[member.health]
            rows.append(
                {
                    "name": record.name,
                    "is": PHASES[record.phase] + (", doubled" if record.is_duplicate else ""),
                    "found": finding,
                    "since_s": round((now - member.changed_at) / SECOND, 1),
                    "answered_s": round((now - member.last_ack_at) / SECOND, 1) if member.last_ack_at else None,
                    "orders": "same" if member.broadcasts_digest == self.broadcasts.digest else "other",
                    "list": member.list_version,
                    "tier": record.tier,
                    "place": record.place,
                    "at": f"{record.host}:{record.port}",
                    "life": record.number,
                    "turn": record.incarnation,
                }
            )
        return rows
