"""The messages that members exchange: records of themselves, suspicions of others, and broadcasts.

Only a member's own record changes its state. Other members can merely suspect it, which it can refute.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

# The phase that a member reports of itself.
STARTING, SERVING, SENT_AWAY, LEAVING, LEFT = range(5)
PHASES = ("starting", "serving", "clients sent away", "leaving", "left")
# The health that other members observe.
ALIVE, SUSPECTED, LOST = range(3)
HEALTH = ("alive", "suspected", "lost")

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Host = Annotated[str, Meta(min_length=1, max_length=60)]
Port = Annotated[int, Meta(ge=1, le=65535)]
# Unix time in microseconds up to the year 2200, and counts. Larger values make a packet invalid.
TimestampUs = Annotated[int, Meta(ge=0, le=7_258_118_400_000_000)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Token = Annotated[int, Meta(ge=0, le=2**63 - 1)]


class MemberRecord(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a member publishes about itself. `number`, the start number, rises with each start of a process
    under the name; the random `token` tells two processes apart. `incarnation` rises with each record of one
    process. `place` is the index of the member in its tier, from 0.
    """

    name: Name
    host: Host
    port: Port
    number: TimestampUs
    token: Token
    incarnation: Count
    phase: Annotated[int, Meta(ge=0, le=LEFT)]
    is_duplicate: bool  # another live process uses the same name
    tier: Count
    place: Count

    @property
    def life(self) -> tuple[int, int]:
        return self.number, self.token

    @property
    def precedence(self) -> tuple[int, int, int]:
        """Of two records under a name the one with the greater precedence counts, in any order of arrival."""
        return self.number, self.token, self.incarnation

    @property
    def address(self) -> tuple[str, int]:
        return self.host, self.port

    @property
    def is_gone(self) -> bool:
        """Whether it has given up its share of the limits. A doubled name frees nothing."""
        return self.phase in (SENT_AWAY, LEFT) and not self.is_duplicate


class Suspicion(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """`accuser` gets no answer from `suspect`, whose record had this start number, token and incarnation. A
    member that receives a suspicion starts its own suspicion timeout; none is lost by a message alone.
    """

    suspect: Name
    number: TimestampUs
    token: Token
    incarnation: Count
    accuser: Name


class Broadcast(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A switch that all members hold, such as a ban, with the time since which it is on or off. The later of
    two broadcasts counts, and of two with the same time the one that is on.
    """

    kind: Annotated[str, Meta(min_length=1, max_length=16)]
    key: Annotated[str, Meta(max_length=200)]
    on: bool
    at: TimestampUs

    @property
    def precedence(self) -> tuple[int, bool]:
        return self.at, self.on


PING, ACK, PING_REQ, NACK, GOSSIP = range(5)
# The purpose of a stream, sent in the `seq` of its first packet: a full state sync, or the endpoint list.
WANTS_STATE, WANTS_LIST = range(2)
PACKET_KINDS = ("ping", "ack", "ask", "nack", "tell")


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram, or one part of a stream. `packet_number` rises with each packet of a process, so that no
    packet counts twice. `recipient` is the name of the addressed member, empty for a seed of unknown name. In
    a stream `seq` is its purpose. `broadcasts_digest` is the digest of the broadcasts that the sender holds.
    """

    kind: Annotated[int, Meta(ge=0, le=GOSSIP)]
    packet_number: Count
    seq: Count
    sender: MemberRecord
    recipient: Annotated[str, Meta(max_length=100)]
    broadcasts_digest: Token
    target: MemberRecord | None
    records: list[MemberRecord]
    suspicions: list[Suspicion]
    broadcasts: list[Broadcast]
    list_version: Count = 0  # the version of discovery's endpoint list that the sender has
