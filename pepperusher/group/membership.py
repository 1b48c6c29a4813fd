"""The member list and the state of each member. It does no I/O.

Three states are kept apart. A member is *gone* if its own record says so. It is *silent* if others find it
suspected or lost; it becomes alive again with its own next record, however late that comes, and a silent
member stays on the list for ever. A member is *never met* if the settings count it and nobody has heard of
it. Only a gone member frees its share of the limits (shares.py).

Records of one member merge by taking the greatest (start number, token, incarnation), so every order of
arrival ends in the same state and repeats change nothing. A suspicion names the record it is about, and the
member's next record voids it.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import log, log10
from typing import NamedTuple

from pepperusher.group.messages import ALIVE, HEALTH, LEFT, LOST, PHASES, SUSPECTED, Suspicion, MemberRecord

# The most members on the list. A further one replaces the member that left longest ago, or is refused if
# nobody has left.
MAX_MEMBERS = 2_000
# Lifeguard's suspicion timeout. The minimum is this many periods times log10 of the group size. It starts at
# SUSPICION_MAX_FACTOR times the minimum and falls to it as MAX_CONFIRMATIONS further members suspect too.
MIN_SUSPICION_PERIODS = 5
SUSPICION_MAX_FACTOR = 6
MAX_CONFIRMATIONS = 3
# Refuted suspicions are counted per accuser, and one is forgotten per REFUTED_DECAY_US. Suspicions of an
# accuser with more than MAX_REFUTED are ignored: a member that receives nothing suspects everyone without end.
REFUTED_DECAY_US = 10_000_000
MAX_REMOVED = 200
MAX_REFUTED = 4
# The packet numbers below the newest one among which duplicates are recognised. Older packets are not read.
REPLAY_WINDOW_PACKETS = 256


class Change(NamedTuple):
    """A change of the member `name`, to be logged and acted on; `what` is the kind of change."""

    what: str
    name: str
    figures: dict[str, object]


class Member:
    """The last record of another member, and what this proxy has observed of it."""

    __slots__ = (
        "record",
        "health",
        "changed_at",
        "accusers",
        "suspected_at",
        "lost_at",
        "verified_token",
        "newest_packet",
        "received_bits",
        "last_ack_at",
        "broadcasts_digest",
        "list_version",
        "refuted_count",
        "refuted_decay_at",
        "challenged_at",
    )

    def __init__(self, record: MemberRecord, now: int) -> None:
        self.record = record
        self.health = ALIVE
        self.changed_at = now  # time of the last change of phase or health
        self.accusers: set[str] = set()  # members that suspect its current record
        self.suspected_at = 0
        self.lost_at = 0  # when a suspected member is declared lost
        # The token of the process that answered a packet of this one. Packets of other processes under its name
        # are not read.
        self.verified_token: int | None = None
        self.newest_packet = 0  # the highest packet number received from that process
        self.received_bits = 0  # bit i is set if packet number newest_packet - i was received
        self.last_ack_at = 0  # when it last answered this member directly
        self.broadcasts_digest = 0  # the digest of its broadcasts, by its last packet
        self.list_version = 0  # the version of its endpoint list, by its last packet
        self.refuted_count = 0  # how many of its suspicions were refuted
        self.refuted_decay_at = now
        self.challenged_at = 0  # when an unverified sender under its name was last pinged

    @property
    def is_silent(self) -> bool:
        """Whether others find it suspected or lost, or its name is doubled, and it has not said that it is gone."""
        return (
            not self.record.is_gone and self.record.phase != LEFT and (self.health != ALIVE or self.record.is_duplicate)
        )

    def record_packet(self, packet_number: int) -> bool:
        """Marks a packet number as received. False if it was received before or is too old to tell."""
        if packet_number > self.newest_packet:
            self.received_bits = (
                (self.received_bits << (packet_number - self.newest_packet) | 1) & (1 << REPLAY_WINDOW_PACKETS) - 1
                if packet_number - self.newest_packet < REPLAY_WINDOW_PACKETS
                else 1
            )
            self.newest_packet = packet_number
            return True
        bit = 1 << (self.newest_packet - packet_number)
        if self.newest_packet - packet_number >= REPLAY_WINDOW_PACKETS or self.received_bits & bit:
            return False
        self.received_bits |= bit
        return True

    def mark_verified(self, token: int) -> None:
        """Marks the process with this token as verified and restarts its replay window."""
        if self.verified_token != token:
            self.verified_token, self.newest_packet, self.received_bits = token, 0, 0


class Membership:
    """All known members except this proxy itself."""

    def __init__(self, period: int) -> None:
        self._period = period
        self._members: dict[str, Member] = {}
        self._name_cache: tuple[str, ...] | None = None
        # The last records of members that operators removed, at most MAX_REMOVED. Members that still list them
        # would otherwise bring them back.
        self._removed: dict[str, tuple[int, int, int]] = {}
        self.refused = 0  # new members refused because the list was full
        self._suspected: dict[str, Member] = {}  # members suspected now; removed by a new record or when lost
        self.version = 0  # rises with each new record and each change of health

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, name: str) -> Member | None:
        return self._members.get(name)

    def member_names(self) -> tuple[str, ...]:
        """The names of all members, cached until one is added or removed, since it is read for each packet."""
        if self._name_cache is None:
            self._name_cache = tuple(self._members)
        return self._name_cache

    # --- records ----------------------------------------------------------------------------------

    def merge(self, record: MemberRecord, now: int) -> list[Change]:
        """Merges a member's record, received from it or by gossip. Returns no changes if it is not newer."""
        member = self._members.get(record.name)
        if member is None:
            if record.precedence <= self._removed.get(record.name, (0, 0, 0)):
                return []
            if not self._make_room():
                self.refused += 1
                return []
            self._members[record.name] = Member(record, now)
            self._name_cache = None
            self.version += 1
            return [Change("met", record.name, _log_fields(record))]
        previous = member.record
        if record.precedence <= previous.precedence:
            return []
        changes = []
        for accuser in member.accusers:
            if (accusing := self._members.get(accuser)) is not None and record.token == previous.token:
                accusing.refuted_count = min(2 * MAX_REFUTED, self._decayed_refuted_count(accusing, now) + 1)
        previous_health = member.health
        member.record = record
        self.version += 1
        member.accusers.clear()
        member.health = ALIVE
        self._suspected.pop(record.name, None)
        if record.is_duplicate and not previous.is_duplicate:
            changes.append(
                Change(
                    "doubled: two processes live under one name, neither is believed of the other",
                    record.name,
                    {**_log_fields(record), "other": previous.token},
                )
            )
        elif previous.is_duplicate and not record.is_duplicate:
            changes.append(Change("no longer doubled", record.name, _log_fields(record)))
        if record.token != previous.token and not record.is_duplicate and not previous.is_duplicate:
            changes.append(Change("a new life", record.name, _log_fields(record)))
            member.changed_at = now
        elif record.phase != previous.phase:
            changes.append(Change(PHASES[record.phase], record.name, _log_fields(record)))
            member.changed_at = now
        elif previous_health != ALIVE:
            changes.append(
                Change("heard of again", record.name, {**_log_fields(record), "was": HEALTH[previous_health]})
            )
            member.changed_at = now
        return changes

    def _make_room(self) -> bool:
        """Deletes the member that left longest ago if the list is full. False if no member has left."""
        if len(self._members) < MAX_MEMBERS:
            return True
        left = [member for member in self if member.record.phase == LEFT]
        if not left:
            return False
        self._delete(min(left, key=lambda member: member.changed_at).record.name)
        return True

    def _delete(self, name: str) -> None:
        del self._members[name]
        self._suspected.pop(name, None)
        self._name_cache = None
        self.version += 1

    # --- suspicion --------------------------------------------------------------------------------

    def _decayed_refuted_count(self, member: Member, now: int) -> int:
        """Applies the decay to a member's refuted suspicions and returns their number."""
        decayed = (now - member.refuted_decay_at) // REFUTED_DECAY_US
        if decayed > 0:
            member.refuted_count = max(0, member.refuted_count - decayed)
            member.refuted_decay_at += decayed * REFUTED_DECAY_US
        return member.refuted_count

    def is_credible(self, name: str, now: int) -> bool:
        """Whether suspicions by this member count. One whose suspicions are all refuted receives nothing itself."""
        member = self._members.get(name)
        return member is None or self._decayed_refuted_count(member, now) <= MAX_REFUTED

    def record_suspicion(self, suspicion: Suspicion, now: int) -> list[Change]:
        """Records that an accuser, or this proxy itself, gets no answer from a member. A suspicion of an older
        record than the known one is ignored.
        """
        member = self._members.get(suspicion.suspect)
        if member is None or member.record.phase == LEFT or member.health == LOST:
            return []
        if (
            suspicion.number,
            suspicion.token,
            suspicion.incarnation,
        ) != member.record.precedence or suspicion.accuser in member.accusers:
            return []
        if not self.is_credible(suspicion.accuser, now):
            return []
        if len(member.accusers) > MAX_CONFIRMATIONS:
            return []
        member.accusers.add(suspicion.accuser)
        if member.health == ALIVE:
            member.health, member.suspected_at, member.changed_at = SUSPECTED, now, now
            self._suspected[suspicion.suspect] = member
            self.version += 1
        member.lost_at = member.suspected_at + self.suspicion_timeout(len(member.accusers) - 1)
        return [
            Change(
                "suspected" if len(member.accusers) == 1 else "suspected by one more",
                suspicion.suspect,
                {**_log_fields(member.record), "by": suspicion.accuser},
            )
        ]

    def suspicion_timeout(self, confirmations: int) -> int:
        """How long a member stays suspected before it is lost, given the accusers beside the first one."""
        minimum = round(MIN_SUSPICION_PERIODS * max(1.0, log10(len(self) + 1)) * self._period)
        expected = min(MAX_CONFIRMATIONS, max(0, len(self) - 1))
        if expected == 0:
            return minimum
        fraction = log(min(confirmations, expected) + 1) / log(expected + 1)
        return round(minimum * (SUSPICION_MAX_FACTOR - (SUSPICION_MAX_FACTOR - 1) * fraction))

    def expire_suspicions(self, now: int) -> list[Change]:
        """Declares members lost whose suspicion timeout is over. It runs at each wake-up, so it visits only the
        suspected members.
        """
        changes = []
        for name, member in list(self._suspected.items()):
            if now >= member.lost_at:
                del self._suspected[name]
                self.version += 1
                changes.append(
                    Change(
                        "lost",
                        member.record.name,
                        {
                            **_log_fields(member.record),
                            "after_us": now - member.suspected_at,
                            "by": " ".join(sorted(member.accusers)),
                        },
                    )
                )
                member.health, member.changed_at = LOST, now
        return changes

    def next_expiry(self) -> int | None:
        """The time at which the next suspected member is declared lost."""
        return min((member.lost_at for member in self._suspected.values()), default=None)

    def postpone_suspicions(self, delay: int) -> None:
        """Extends all suspicions after a stall of this process, during which no refutation could be received."""
        for member in self._suspected.values():
            member.suspected_at += delay
            member.lost_at += delay

    # --- removal by operators -----------------------------------------------------------------------

    def remove(self, name: str) -> bool:
        """Removes a silent or gone member that, by an operator's word, will not come back under this name. False
        if it is neither.
        """
        member = self._members.get(name)
        if member is None or not (member.is_silent or member.record.phase == LEFT):
            return False
        self._removed[name] = member.record.precedence
        if len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        self._delete(name)
        return True


def _log_fields(record: MemberRecord) -> dict[str, object]:
    return {
        "phase": PHASES[record.phase],
        "number": record.number,
        "token": f"{record.token:016x}",
        "turn": record.incarnation,
    }
