"""What control machines, their relays, proxies and operators say to each other, typed; free of I/O.

Decisions (configuration) have one order, made by the one origin; facts have one owner, a region, and may be
stale elsewhere. Which of the two a kind is stands here and nowhere else, so that nothing treats one as the
other.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

CONFIG, ENDPOINTS = "config", "endpoints"
# Whether it is a fact.
KINDS = {CONFIG: False, ENDPOINTS: True}

# A body at the most, as the own file's; a message is that and its frame's words.
LONGEST_BODY = 4 * 1024 * 1024
LONGEST_MESSAGE = LONGEST_BODY + 64 * 1024
# All rows of a rollout.
LONGEST_ANSWER = 16 * 1024 * 1024
# What one that is no control machine and no operator may say at once.
LONGEST_WORD = 128 * 1024
# A control machine's greeting, with what it has.
LONGEST_HELLO = 2 * 1024 * 1024
# How much one proxy may subscribe to, and how much there is for a control machine to keep.
MOST_NAMES = 256
MOST_RESOURCES = 8_000
LONGEST_REASON = 300

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Reason = Annotated[str, Meta(max_length=LONGEST_REASON)]
Digest = Annotated[str, Meta(min_length=32, max_length=32)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Key = tuple[str, str]


class Version(NamedTuple):
    """The epoch is raised by hand with each new origin; the number by the origin with each change, to the time
    in ms or by one. They order the versions of one resource, and say nothing across resources.
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


NO_VERSION = Version(0, 0)


class Resource(NamedTuple):
    kind: str
    name: str
    version: Version
    digest: str
    body: bytes
    fact: bool

    @property
    def key(self) -> Key:
        return self.kind, self.name


def digest_of(body: bytes) -> str:
    return hashlib.blake2b(body, digest_size=16).hexdigest()


def make_resource(kind: str, name: str, version: Version, body: bytes) -> Resource:
    """Raises KeyError for a kind that there is not."""
    return Resource(kind, name, version, digest_of(body), body, KINDS[kind])


def one_line(reason: str) -> str:
    return " ".join(reason.split())[:LONGEST_REASON]


class _Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Fields that a later release puts at the end are read over."""


class Mark(NamedTuple):
    """A version and its content, without the body."""

    epoch: Count
    number: Count
    digest: Digest

    @property
    def version(self) -> Version:
        return Version(self.epoch, self.number)


def mark_of(one: Resource) -> Mark:
    return Mark(*one.version, one.digest)


PROXY, RELAY, OPERATOR = range(3)
ROLES = ("proxy", "relay", "operator")


class Ack(_Message, tag=2):
    """In force, or refused with a reason: an ACK or NACK of this version."""

    kind: Name
    name: Name
    epoch: Count
    number: Count
    reason: Reason = ""

    @property
    def key(self) -> Key:
        return self.kind, self.name

    @property
    def version(self) -> Version:
        return Version(self.epoch, self.number)


class HaveVersion(_Message, tag=15):
    kind: Name
    name: Name
    mark: Mark

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Hello(_Message, tag=1):
    """First on a connection. `life` tells two processes under one name apart. A relay subscribes to all, and
    names nothing.
    """

    role: Annotated[int, Meta(ge=0, le=OPERATOR)]
    name: Name
    life: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    region: Annotated[str, Meta(max_length=100)]
    zone: Annotated[str, Meta(max_length=100)]
    bodies: bool
    names: Annotated[list[tuple[Name, Name]], Meta(max_length=MOST_NAMES)]
    have: Annotated[list[HaveVersion], Meta(max_length=MOST_RESOURCES)]
    refused: Annotated[list[Ack], Meta(max_length=MOST_NAMES)]


class BodyRequest(_Message, tag=3):
    """The body: what came does not fit what is there, or this one was only offered it. `base` is what a delta
    may be made from; without one it comes whole.
    """

    kind: Name
    name: Name
    steady: bool = False
    base: Mark | None = None

    @property
    def key(self) -> Key:
        return self.kind, self.name


class BodiesSwitch(_Message, tag=4):
    """From now on bodies, or offers alone: of a proxy's two upstreams one sends bodies."""

    on: bool


class FreshnessReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Of the fact `endpoints/name`: its owner's own source last spoke at `stamp`, in the owner's time, `age` us
    before this is sent, and then this version was all that it had told.
    """

    name: Name
    epoch: Count
    number: Count
    stamp: Count
    age: Count


class Heartbeat(_Message, tag=5):
    """The sender is there. From a control machine: when the origin last spoke, in the origin's time, and how
    long ago in us that reached the sender; and words of the facts that the other side subscribes to.
    """

    epoch: Count = 0
    stamp: Count = 0
    age: Count = 0
    words: list[FreshnessReport] = []


class Offer(_Message, tag=6):
    """The version there is, without its body. To relays also whether it was halted, which version those are given
    that have none, and of how many waves this machine has heard.
    """

    kind: Name
    name: Name
    mark: Mark
    halted: Reason = ""
    steady: Mark | None = None
    heard: int = 0

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Snapshot(_Message, tag=7):
    kind: Name
    name: Name
    mark: Mark
    body: Annotated[bytes, Meta(max_length=LONGEST_BODY)]
    steady: bool = False

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Delta(_Message, tag=8):
    """From one version to another; `ops` as `distribution.delta` has them."""

    kind: Name
    name: Name
    mark: Mark
    base: Mark
    ops: list[tuple[Count, Count] | bytes]

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Publish(_Message, tag=9):
    kind: Name
    name: Name
    body: Annotated[bytes, Meta(max_length=LONGEST_BODY)]


class Published(_Message, tag=10):
    """The version it became, or why it did not."""

    epoch: Count
    number: Count
    why: Reason = ""


class RolloutRequest(_Message, tag=11):
    """`wide`: of all control machines, and not of the one that is asked alone. `number` is for the answer."""

    number: Count
    kind: Name
    name: Name
    wide: bool


class Row(NamedTuple):
    """One proxy: what is in force there, what it refused and why, whether it is connected, and when it was
    last heard, in us before now.
    """

    proxy: Name
    region: str
    in_force: tuple[Count, Count]
    refused: tuple[Count, Count]
    reason: str
    connected: bool
    heard: Count


class Rows(_Message, tag=12):
    """Of one control machine, or of all; `silent` are those that did not answer in time."""

    number: Count
    version: tuple[Count, Count]
    digest: str
    halted: Reason
    rows: list[Row]
    silent: list[str] = []


class Refused(_Message, tag=13):
    """Why this connection ends."""

    why: Reason


class FiguresRequest(_Message, tag=14):
    pass


class Figures(_Message, tag=16):
    """A control machine's counts by name."""

    counts: dict[str, int | str]


Message = (
    Hello | Ack | BodyRequest | BodiesSwitch | Heartbeat | Offer | Snapshot | Delta | Publish | Published | RolloutRequest | Rows
    | Refused | FiguresRequest | Figures
)  # fmt: skip
