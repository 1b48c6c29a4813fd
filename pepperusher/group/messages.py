"""What members say to each other, typed: of themselves, of those who are silent, and news for all.

A member's word of itself is the only one that changes what it is; what others say of it is a charge that it
can answer.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

# What a member says of itself.
STARTING, SERVING, SENT_AWAY, LEAVING, LEFT = range(5)
PHASES = ("starting", "serving", "clients sent away", "leaving", "left")
# What another finds of it.
ALIVE, SUSPECTED, LOST = range(3)
HEALTH = ("alive", "suspected", "lost")

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Host = Annotated[str, Meta(min_length=1, max_length=60)]
Port = Annotated[int, Meta(ge=1, le=65535)]
# Unix time in microseconds up to the year 2200, and counts; what is beyond is no word of ours.
Time = Annotated[int, Meta(ge=0, le=7_258_118_400_000_000)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Token = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A member's own word. `number` and `token` are its life: the first rises with each start under a name,
    the second tells two processes apart. `turn` rises with each word of one life. `place` is which of its
    tier it is, from 0.
    """

    name: Name
    host: Host
    port: Port
    number: Time
    token: Token
    turn: Count
    phase: Annotated[int, Meta(ge=0, le=LEFT)]
    doubled: bool  # it has met another process living under its name
    tier: Count
    place: Count

    @property
    def life(self) -> tuple[int, int]:
        return self.number, self.token

    @property
    def key(self) -> tuple[int, int, int]:
        """Of two words under a name the one with the greater key counts, in whatever order they come."""
        return self.number, self.token, self.turn

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def gone(self) -> bool:
        """It has said that its part is free. What two say under one name frees nothing."""
        return self.phase in (SENT_AWAY, LEFT) and not self.doubled


class Suspicion(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """`by` gets no answer from `of`, as it was at this turn of this life. Nobody is lost by another's word:
    whoever hears it starts to doubt, and concludes for itself.
    """

    of: Name
    number: Time
    token: Token
    turn: Count
    by: Name


class Broadcast(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """News for all: one thing is on or off since a time. The later counts, and of two at one time the one
    that is on.
    """

    kind: Annotated[str, Meta(min_length=1, max_length=16)]
    key: Annotated[str, Meta(max_length=200)]
    on: bool
    at: Time

    @property
    def rank(self) -> tuple[int, bool]:
        return self.at, self.on


PING, ACK, ASK, NACK, TELL = range(5)
# What a stream is opened for.
WANTS_ROLL, WANTS_LIST = range(2)
KINDS = ("ping", "ack", "ask", "nack", "tell")


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram, or one part of a stream. `number` rises with each of a life, so that none counts twice.
    `to` names the one it is for; empty for whoever answers at a seed. In a stream `seq` says what is wanted.
    `held` is a digest of the notices that the sender holds.
    """

    kind: Annotated[int, Meta(ge=0, le=TELL)]
    number: Count
    seq: Count
    sender: MemberRecord
    to: Annotated[str, Meta(max_length=100)]
    held: Token
    target: MemberRecord | None
    said: list[MemberRecord]
    charges: list[Suspicion]
    notices: list[Broadcast]
    version: Count = 0  # of discovery's list, as the sender has it
