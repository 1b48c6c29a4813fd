"""The typed messages between control machines, proxies and operators; free of I/O.

There are two kinds of resources. Configuration is a decision: its versions are totally ordered by one origin. Facts,
such as lists of endpoints, have one owner, a region, and may be stale elsewhere. KIND_IS_FACT is the only place that
says which is which, so that no code confuses the two.
"""

from __future__ import annotations

import hashlib
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

CONFIG, ENDPOINTS = "config", "endpoints"
# By kind of resource: whether it is a fact.
KIND_IS_FACT = {CONFIG: False, ENDPOINTS: True}

# The longest body is that of a proxy's own file; a message is a body and its envelope.
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_MESSAGE_BYTES = MAX_BODY_BYTES + 64 * 1024
# Holds all rows of a rollout.
MAX_REPLY_BYTES = 16 * 1024 * 1024
# The longest message of a proxy, and of a connection that waits for admission.
MAX_PROXY_MESSAGE_BYTES = 128 * 1024
# The hello message of a control machine lists all its versions.
MAX_HELLO_BYTES = 2 * 1024 * 1024
# How many resources one proxy may subscribe to, and how many a control machine stores.
MAX_SUBSCRIPTIONS = 256
MAX_RESOURCES = 8_000
MAX_REASON_CHARS = 300

Name = Annotated[str, Meta(min_length=1, max_length=100)]
Reason = Annotated[str, Meta(max_length=MAX_REASON_CHARS)]
Digest = Annotated[str, Meta(min_length=32, max_length=32)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Key = tuple[str, str]


class Version(NamedTuple):
    """The version of one resource; versions of different resources cannot be compared. The epoch is raised by hand with
    each new origin. The origin raises the number with each change: to the time in ms, or by one if that is greater.
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


NO_VERSION = Version(0, 0)


class Resource(NamedTuple):
    """One version of a resource with its body."""

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
    """Raises KeyError for an unknown kind."""
    return Resource(kind, name, version, digest_of(body), body, KIND_IS_FACT[kind])


def one_line(reason: str) -> str:
    """The reason in one line, cut to the length that a message may hold."""
    return " ".join(reason.split())[:MAX_REASON_CHARS]


class _Message(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """The base of all messages. Fields that a later release appends are ignored when decoding."""


class Mark(NamedTuple):
    """A version and the digest of its content, without the body."""

    epoch: Count
    number: Count
    digest: Digest

    @property
    def version(self) -> Version:
        return Version(self.epoch, self.number)


def mark_of(resource: Resource) -> Mark:
    return Mark(*resource.version, resource.digest)


# The role of a client. A relay is a control machine that subscribes to another one.
PROXY, RELAY, OPERATOR = range(3)
ROLES = ("proxy", "relay", "operator")


class Ack(_Message, tag=2):
    """Acknowledges a version: in force, or rejected with a reason (ACK or NACK)."""

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
    """Reports a version that a client already has."""

    kind: Name
    name: Name
    mark: Mark

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Hello(_Message, tag=1):
    """The first message of a client. `instance_id` distinguishes two processes with one name. `names` are the resources
    that a proxy subscribes to; a relay subscribes to all and lists none.
    """

    role: Annotated[int, Meta(ge=0, le=OPERATOR)]
    name: Name
    instance_id: Annotated[int, Meta(ge=0, le=2**63 - 1)]
    region: Annotated[str, Meta(max_length=100)]
    zone: Annotated[str, Meta(max_length=100)]
    send_bodies: bool
    subscribed: Annotated[list[tuple[Name, Name]], Meta(max_length=MAX_SUBSCRIPTIONS)]
    have: Annotated[list[HaveVersion], Meta(max_length=MAX_RESOURCES)]
    refused: Annotated[list[Ack], Meta(max_length=MAX_SUBSCRIPTIONS)]


class BodyRequest(_Message, tag=3):
    """Requests a body, because an update did not apply or the version was only offered. `base` is a version from which
    a delta may be computed; without one a snapshot is sent.
    """

    kind: Name
    name: Name
    stable: bool = False
    base: Mark | None = None

    @property
    def key(self) -> Key:
        return self.kind, self.name


class BodiesSwitch(_Message, tag=4):
    """Tells an upstream to send bodies, or offers only: one of a proxy's two upstreams sends bodies."""

    enabled: bool


class FreshnessReport(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """How fresh the fact `endpoints/name` is: `age_us` before this message was sent, the owner's source confirmed that
    this version was the newest. `stamp` is the time of that by the owner's clock.
    """

    name: Name
    epoch: Count
    number: Count
    stamp: Count
    age_us: Count


class Heartbeat(_Message, tag=5):
    """Shows that the sender is alive. From a control machine also the origin's last confirmation: its epoch, its time
    by the origin's clock and its age in us; and the freshness of the facts that the receiver subscribes to.
    """

    epoch: Count = 0
    stamp: Count = 0
    age_us: Count = 0
    freshness: list[FreshnessReport] = []


class Offer(_Message, tag=6):
    """The newest version without its body. Relays also receive the reason if it was halted, the stable version that new
    proxies are given, and how many waves of the rollout are completed on the sender.
    """

    kind: Name
    name: Name
    mark: Mark
    halted: Reason = ""
    stable: Mark | None = None
    waves_completed: int = 0

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Snapshot(_Message, tag=7):
    """A version with its whole body."""

    kind: Name
    name: Name
    mark: Mark
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]
    stable: bool = False

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Delta(_Message, tag=8):
    """An update from one version to another. `ops` are those of `distribution.delta`."""

    kind: Name
    name: Name
    mark: Mark
    base: Mark
    ops: list[tuple[Count, Count] | bytes]

    @property
    def key(self) -> Key:
        return self.kind, self.name


class Publish(_Message, tag=9):
    """Asks the origin, or the owner of a fact, to write a change."""

    kind: Name
    name: Name
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]


class Published(_Message, tag=10):
    """The version assigned to a published change, or why it was rejected."""

    epoch: Count
    number: Count
    reason: Reason = ""


class RolloutRequest(_Message, tag=11):
    """Asks for the progress of a rollout on one control machine, or with `all_machines` on all of them. The answer
    repeats `request_id`.
    """

    request_id: Count
    kind: Name
    name: Name
    all_machines: bool


class Row(NamedTuple):
    """The state of one proxy: the version in force, the version it rejected and why, whether it is connected, and how
    long ago it was last heard from, in us.
    """

    proxy: Name
    region: str
    in_force: tuple[Count, Count]
    refused: tuple[Count, Count]
    reason: str
    connected: bool
    heard_us_ago: Count


class Rows(_Message, tag=12):
    """The rollout progress as one control machine, or all of them, know it. `silent` are machines that did not answer
    in time.
    """

    request_id: Count
    version: tuple[Count, Count]
    digest: str
    halted: Reason
    rows: list[Row]
    silent: list[str] = []


class Refused(_Message, tag=13):
    """Tells the client why its connection is closed."""

    reason: Reason


class CountersRequest(_Message, tag=14):
    """Asks a control machine for its counters."""

    pass


class Counters(_Message, tag=16):
    """The counters of a control machine by name."""

    counts: dict[str, int | str]


Message = (
    Hello
    | Ack
    | BodyRequest
    | BodiesSwitch
    | Heartbeat
    | Offer
    | Snapshot
    | Delta
    | Publish
    | Published
    | RolloutRequest
    | Rows
    | Refused
    | CountersRequest
    | Counters
)
