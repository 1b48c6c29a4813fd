"""The state of one control machine: the resources it stores, which version each subscriber is sent, and which versions
subscribers accepted or rejected; free of I/O.

The publisher keeps state and no log: of each resource the newest version, the stable version (the last one that was
rolled out to all proxies) and a few earlier bodies from which deltas are computed. For each subscriber it records only
the keys of the resources that may have to be sent. A message is encoded when the connection can be written to, so a
slow subscriber receives the newest version only and costs no memory for the versions in between.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from heapq import nsmallest
from typing import NamedTuple

from pepperusher.distribution import delta, wire
from pepperusher.distribution.messages import (
    KIND_IS_FACT,
    MAX_BODY_BYTES,
    MAX_RESOURCES,
    NO_VERSION,
    PROXY,
    RELAY,
    Ack,
    Heartbeat,
    Delta,
    Hello,
    Key,
    Mark,
    Offer,
    Resource,
    Row,
    Rows,
    Snapshot,
    Version,
    digest_of,
    mark_of,
    one_line,
    make_resource,
)

# A change is rolled out in waves, as a canary rollout. WAVE_FRACTIONS are the shares of the proxies that each wave
# reaches, chosen by a hash of the proxy's name and the version. WAVE_MIN_PROXIES are the fewest proxies in a wave among
# those to which this machine sends bodies: the answer of a single proxy says too little before all are sent the change.
#
# A wave ends when all of its proxies have answered, when nine in ten have answered after WAVE_QUORUM_US, or in any case
# after WAVE_TIMEOUT_US. If every wave ended after the shorter time, a machine that is slow for all its proxies would
# send the change to everyone before it learned that some reject it.
#
# No machine starts its next wave before the other control machines have completed theirs, which they announce in their
# offers: the proxies that reject a change may all be connected to one machine, for example where a region has its own.
# A peer that has the version is waited for up to WAVE_TIMEOUT_US, and one that does not have it yet up to
# WAVE_QUORUM_US from when the version arrived here.
WAVE_FRACTIONS = (0.02, 0.2, 1.0)
WAVE_MIN_PROXIES = (1, 5, 0)
WAVE_QUORUM_US = 1_500_000
WAVE_TIMEOUT_US = 3_000_000
# A rollout is halted when at least HALT_MIN_REJECTIONS proxies have rejected the change and they are at least
# HALT_FRACTION of those that answered: immediately from HALT_AT_ONCE rejections on, otherwise at the end of a wave. It
# is also halted when a wave ends and every proxy that answered rejected it.
HALT_FRACTION = 0.1
HALT_MIN_REJECTIONS = 2
HALT_AT_ONCE = 3
# The rate limit of explicit body requests of one proxy. A proxy requests a body only when something went wrong, since
# updates are sent without a request.
BODY_REQUEST_BURST = 32
BODY_REQUESTS_PER_S = 2.0
# How many earlier versions of a resource are kept as delta bases, and their total size.
MAX_DELTA_BASES = 4
MAX_DELTA_BASE_BYTES = 8 * 1024 * 1024
# A proxy name counts as in use by another process if that process was heard from within this time. It is longer than
# the interval between two heartbeats.
NAME_IN_USE_US = 4_000_000
# How long a disconnected proxy is remembered, and how many proxies are remembered at most.
DISCONNECTED_RETENTION_US = 600_000_000
MAX_PROXIES = 20_000


class RejectedUpdateError(ValueError):
    """A change that cannot be written now. Its text is one line."""


def wave_position(name: str, version: Version) -> float:
    """The position of a proxy in the rollout of a version, from 0 to 1. It is the same on every control machine, and
    differs between versions so that no proxy is always among the first.
    """
    digest = hashlib.blake2b(f"{version} {name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64


class StoredResource:
    """One resource as this control machine stores it, with the progress of its rollout."""

    __slots__ = (
        "newest",
        "stable",
        "halted",
        "delta_bases",
        "wave",
        "wave_started_at",
        "started_at",
        "waves_completed",
        "wave_limit",
        "subscribers",
        "encoded_updates",
        "newest_elsewhere",
    )

    def __init__(self, newest: Resource) -> None:
        self.newest = newest
        self.stable: Resource | None = None
        self.halted = ""  # why the rollout was halted, or empty
        self.delta_bases: OrderedDict[Version, Resource] = OrderedDict()  # MAX_DELTA_BASES at most, by version
        self.wave = 0  # index of the current wave
        self.wave_started_at = self.started_at = 0
        self.waves_completed = 0  # number of waves completed on this machine
        self.wave_limit = 0.0  # greatest wave position that the current wave reaches
        self.subscribers: set[int] = set()  # connection ids; removed when they disconnect
        # Encoded updates to the newest version by the version of their delta base, None for the snapshot; cleared when
        # the newest version changes.
        self.encoded_updates: dict[Version | None, bytes] = {}
        self.newest_elsewhere = NO_VERSION  # the newest version that another machine or proxy reported

    @property
    def fully_rolled_out(self) -> bool:
        return self.stable is self.newest


class Subscriber:
    """The publisher's record of one connection."""

    __slots__ = (
        "hello",
        "names",
        "known_versions",
        "receives_bodies",
        "dirty",
        "body_requests",
        "sent_offers",
        "request_tokens",
        "request_tokens_at",
    )

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.names: frozenset[Key] | None = None if hello.role == RELAY else frozenset(map(tuple, hello.subscribed))  # type: ignore[arg-type]
        self.known_versions: dict[Key, Mark] = {have.key: have.mark for have in hello.have}
        self.receives_bodies = hello.send_bodies
        self.dirty: dict[Key, None] = {}  # ordered set, bounded by its subscriptions
        # (key, stable) of requested bodies; at most two for each subscription
        self.body_requests: set[tuple[Key, bool]] = set()
        self.sent_offers: dict[Key, tuple[object, ...]] = {}  # the offer sent last, by resource
        self.request_tokens = float(BODY_REQUEST_BURST if hello.role == PROXY else MAX_RESOURCES)
        self.request_tokens_at = 0


class ProxyRecord:
    """What is known of a proxy by its name, whether it is connected or not."""

    __slots__ = ("connection", "last_heard_at", "region", "in_force", "refused")

    def __init__(self, region: str) -> None:
        self.connection: int | None = None
        self.last_heard_at = 0
        self.region = region
        self.in_force: dict[Key, Version] = {}  # bounded by its subscriptions
        self.refused: dict[Key, tuple[Version, str]] = {}


class PublisherEvent(NamedTuple):
    """An event to be logged."""

    message: str
    fields: dict[str, object]


class Publisher:
    """The distribution state of one control machine. `epoch` is the epoch in which this machine writes as the origin,
    None on all others. `owns_facts` says whether it writes the facts of its region. `peer_count` is the number of other
    control machines.

    After each call, `pending` holds the ids of the connections that have something to be sent. `next_message` encodes
    it.
    """

    def __init__(self, name: str, region: str, epoch: int | None, owns_facts: bool, peer_count: int, now: int) -> None:
        self.name, self.region, self.epoch, self.owns_facts = name, region, epoch, owns_facts
        self.resources: dict[Key, StoredResource] = {}  # MAX_RESOURCES at most
        self.subscribers: dict[int, Subscriber] = {}  # by connection id, removed when they disconnect
        self.proxies: dict[str, ProxyRecord] = {}  # by name, removed DISCONNECTED_RETENTION_US after they disconnected
        self.pending: dict[int, None] = {}
        self.replaced_connections: list[int] = []  # older connections of a name that connected again, to be closed
        self.events: list[PublisherEvent] = []
        self.unsaved: dict[Key, None] = {}  # resources that have to be written to disk
        self.counts: Counter[str] = Counter()
        # (epoch, stamp) of the origin's last confirmation, and when that was by the local clock.
        self.confirmed: tuple[int, int] = (epoch or 0, now if epoch is not None else 0)
        self.confirmed_at = now
        self._rolling_out: set[Key] = set()
        # By upstream, the version that each other control machine has and the number of waves it completed. Removed
        # when the connection to it is lost, and bounded by the resources stored here.
        self._peer_progress: dict[str, dict[Key, tuple[Version, int]]] = {}
        self._peer_count = peer_count
        # names of the control machines that reported their versions since the start
        self.compared_peers: set[str] = set()
        # Versions reported by others that are newer than those stored here. `_being_fetched` holds those that another
        # control machine has, so that their bodies can be fetched. Both are bounded by MAX_RESOURCES, and an entry is
        # removed when the version arrives.
        self._newer_elsewhere: dict[Key, Version] = {}
        self._being_fetched: dict[Key, Version] = {}

    # --- resources ----------------------------------------------------------------------------------

    def restore(self, newest: Resource, stable: Resource | None, halted: str, now: int) -> None:
        """Adds a resource read from this machine's disk at the start."""
        stored = self.resources[newest.key] = StoredResource(newest)
        stored.halted = halted
        if stable is not None and stable.version == newest.version:
            stored.stable = newest
        elif stable is not None:
            stored.stable = stable
            self._add_delta_base(stored, stable)
        self._start_rollout(stored, now)

    def _start_rollout(self, stored: StoredResource, now: int) -> None:
        """Starts the rollout of the newest version with the first wave. Facts are stable at once."""
        stored.wave, stored.wave_started_at, stored.started_at, stored.waves_completed = 0, now, now, 0
        if stored.newest.fact:
            stored.stable = stored.newest
        if stored.fully_rolled_out or stored.halted:
            self._rolling_out.discard(stored.newest.key)
        else:
            self._rolling_out.add(stored.newest.key)
        self._update_wave_limit(stored)

    def _update_wave_limit(self, stored: StoredResource) -> None:
        """Computes up to which position proxies belong to the current wave."""
        positions = [
            wave_position(subscriber.hello.name, stored.newest.version)
            for subscriber in map(self.subscribers.__getitem__, stored.subscribers)
            if subscriber.hello.role == PROXY and subscriber.receives_bodies
        ]
        smallest = nsmallest(WAVE_MIN_PROXIES[stored.wave], positions)
        stored.wave_limit = max(WAVE_FRACTIONS[stored.wave], *smallest, 0.0)

    def draft(self, kind: str, name: str, body: bytes, now: int) -> Resource:
        """Returns the version that a change would become here, without storing it. Raises RejectedUpdateError.

        The version number is the time in milliseconds, or the last number plus one where that is greater. An origin
        that restarts with an outdated disk and reaches no other machine therefore does not assign a number twice.
        """
        if kind not in KIND_IS_FACT:
            raise RejectedUpdateError(f"unknown kind {kind!r}, expected one of {', '.join(KIND_IS_FACT)}")
        if not name or len(name) > 100 or not name.isprintable():
            raise RejectedUpdateError(f"{name[:100]!r} is not a valid name")
        if len(body) > MAX_BODY_BYTES:
            raise RejectedUpdateError(f"the body exceeds {MAX_BODY_BYTES} bytes")
        fact, stored = KIND_IS_FACT[kind], self.resources.get((kind, name))
        if fact and not (self.owns_facts and name.startswith(f"{self.region}/")):
            raise RejectedUpdateError(f"{self.name} does not own the facts of {name.partition('/')[0]}")
        if not fact and self.epoch is None:
            raise RejectedUpdateError(f"{self.name} is not the origin")
        if not fact and len(self.compared_peers) < (self._peer_count + 1) // 2:
            raise RejectedUpdateError(
                f"{self.name} has compared with {len(self.compared_peers)} of {self._peer_count} other control machines"
                f" since its start, and begins to write at {(self._peer_count + 1) // 2}"
            )
        if stored is None and len(self.resources) >= MAX_RESOURCES:
            raise RejectedUpdateError(f"the limit of {MAX_RESOURCES} resources is reached")
        current = stored.newest.version if stored is not None else NO_VERSION
        newest_known = max(current, self._newer_elsewhere.get((kind, name), NO_VERSION))
        # Facts have one owner but no origin, so the owner continues in the newest known epoch.
        epoch = (newest_known.epoch or 1) if fact or self.epoch is None else self.epoch
        if epoch < newest_known.epoch:
            raise RejectedUpdateError(f"epoch {epoch} of {self.name} is below {newest_known.epoch}, which is in use")
        if self._being_fetched.get((kind, name), NO_VERSION) > current and epoch == newest_known.epoch:
            # The author of this change has not seen the newer version and would silently revert it.
            raise RejectedUpdateError(
                f"{newest_known} is in use and {self.name} has {current}: wait until it is fetched, or raise the epoch"
            )
        return make_resource(kind, name, Version(epoch, max(newest_known.number + 1, now // 1_000)), body)

    def accept(self, resource: Resource, now: int, halted: str = "", stable: bool = False) -> str | None:
        """Stores a version that came from disk, from the origin or from another control machine. Returns what is wrong
        with it, or None. A newer version is never replaced by an older one.
        """
        if resource.digest != digest_of(resource.body):
            return "its digest does not match its body"
        stored = self.resources.get(resource.key)
        if stable and stored is not None and resource.version < stored.newest.version:
            if stored.stable is None or resource.version > stored.stable.version:
                stored.stable = resource
                # A machine that was disconnected is sent this version along with the newest, often after it. It is the
                # version that its proxies have.
                self._add_delta_base(stored, resource)
                stored.encoded_updates.clear()
                self._mark_dirty(stored)
                self.unsaved[resource.key] = None
            return None
        if stored is None:
            if len(self.resources) >= MAX_RESOURCES:
                return f"the limit of {MAX_RESOURCES} resources is reached"
            stored = self.resources[resource.key] = StoredResource(resource)
            for id, subscriber in self.subscribers.items():
                if subscriber.names is None or resource.key in subscriber.names:
                    stored.subscribers.add(id)
        else:
            last = stored.newest
            if resource.version == last.version:
                if resource.digest != last.digest:
                    self._report_conflict(resource.key, resource.version, "another control machine")
                    return "two contents under one version"
                return None
            if resource.version < last.version:
                self.counts["older left"] += 1
                return None
            self._add_delta_base(stored, last)
            stored.newest = resource
        stored.encoded_updates.clear()
        stored.halted = halted
        if stable:
            stored.stable = resource
        if self._newer_elsewhere.get(resource.key, NO_VERSION) <= resource.version:
            self._newer_elsewhere.pop(resource.key, None)
        if self._being_fetched.get(resource.key, NO_VERSION) <= resource.version:
            self._being_fetched.pop(resource.key, None)
        self._note_early_acks(stored)
        self._start_rollout(stored, now)
        self._mark_dirty(stored)
        self.unsaved[resource.key] = None
        self.counts["versions"] += 1
        return None

    def _note_early_acks(self, stored: StoredResource) -> None:
        """Notes which proxies have the newest version already: they may have received it from their other upstream, and
        acknowledged it, before it came here.
        """
        resource = stored.newest
        for subscriber in map(self.subscribers.__getitem__, stored.subscribers):
            if subscriber.hello.role != PROXY:
                continue
            proxy = self.proxies.get(subscriber.hello.name)
            if proxy is not None and proxy.in_force.get(resource.key) == resource.version:
                subscriber.known_versions[resource.key] = mark_of(resource)

    def _add_delta_base(self, stored: StoredResource, base: Resource) -> None:
        """Keeps a version as a delta base, sorted by version. The oldest are dropped, and the newest of them becomes
        the stable version if the rollout is halted later.
        """
        stored.delta_bases[base.version] = base
        for version in sorted(stored.delta_bases):
            stored.delta_bases.move_to_end(version)
        while len(stored.delta_bases) > MAX_DELTA_BASES or (
            len(stored.delta_bases) > 1
            and sum(len(old.body) for old in stored.delta_bases.values()) > MAX_DELTA_BASE_BYTES
        ):
            stored.delta_bases.popitem(last=False)

    def halt(self, key: Key, version: Version, reason: str) -> None:
        """Stops the rollout of this version: it is sent to no further proxy."""
        stored = self.resources.get(key)
        if stored is None or stored.newest.version != version or stored.halted or stored.newest.fact:
            return
        if stored.fully_rolled_out:
            stored.stable = next(reversed(stored.delta_bases.values()), None)
        stored.halted = one_line(reason)
        stored.encoded_updates.clear()
        self._rolling_out.discard(key)
        self.unsaved[key] = None
        self.events.append(
            PublisherEvent("a change is halted", {"resource": "/".join(key), "version": str(version), "why": reason})
        )
        self._mark_dirty(stored)

    def _mark_dirty(self, stored: StoredResource) -> None:
        """Marks the resource as possibly to be sent to each of its subscribers."""
        key = stored.newest.key
        for id in stored.subscribers:
            self.subscribers[id].dirty[key] = None
            self.pending[id] = None

    def _report_conflict(self, key: Key, version: Version, reporter: str) -> None:
        """Reports two contents under one version: two machines have written as the origin. Neither replaces the other
        until the next version or the next epoch.
        """
        self.counts["forked"] += 1
        self.events.append(
            PublisherEvent(
                "two contents under one version", {"resource": "/".join(key), "version": str(version), "by": reporter}
            )
        )

    # --- subscribers --------------------------------------------------------------------------------

    def name_in_use(self, hello: Hello, now: int) -> bool:
        """Whether another live process already uses this proxy name: it was heard from recently and has another
        instance id.
        """
        proxy = self.proxies.get(hello.name)
        if hello.role != PROXY or proxy is None or proxy.connection is None:
            return False
        connected_hello = self.subscribers[proxy.connection].hello
        return connected_hello.instance_id != hello.instance_id and now - proxy.last_heard_at < NAME_IN_USE_US

    def add_subscriber(self, id: int, hello: Hello, now: int) -> None:
        """Adds a connection that is served from now on."""
        subscriber = self.subscribers[id] = Subscriber(hello)
        if hello.role == PROXY:
            proxy = self.proxies.get(hello.name)
            if proxy is None:
                self._evict_proxy()
                proxy = self.proxies[hello.name] = ProxyRecord(hello.region)
            if proxy.connection is not None:
                self.replaced_connections.append(proxy.connection)
            proxy.connection, proxy.last_heard_at, proxy.region = id, now, hello.region
            assert subscriber.names is not None
            proxy.in_force = {
                key: mark.version for key, mark in subscriber.known_versions.items() if key in subscriber.names
            }
            proxy.refused = {ack.key: (ack.version, ack.reason) for ack in hello.refused if ack.key in subscriber.names}
        elif hello.role == RELAY:
            self.compared_peers.add(hello.name)
        for key, mark in subscriber.known_versions.items():
            self._note_known_version(key, mark, hello.name, hello.role == RELAY)
        for key in self.resources if subscriber.names is None else subscriber.names:
            stored = self.resources.get(key)
            if stored is not None:
                stored.subscribers.add(id)
                subscriber.dirty[key] = None
                if key in self._rolling_out and len(stored.subscribers) == 1:
                    self._update_wave_limit(stored)
        self.pending[id] = None

    def _evict_proxy(self) -> None:
        """Forgets the proxy that has been disconnected for longest if the limit is reached."""
        if len(self.proxies) >= MAX_PROXIES:
            evicted = min(
                (name for name, proxy in self.proxies.items() if proxy.connection is None),
                key=lambda name: self.proxies[name].last_heard_at,
                default=None,
            )
            if evicted is not None:
                del self.proxies[evicted]

    def _note_known_version(self, key: Key, mark: Mark, reporter: str, is_relay: bool) -> None:
        """Notes that a subscriber has this version. It may be newer than the version here if this machine was restored
        from an outdated disk.
        """
        stored = self.resources.get(key)
        current = stored.newest.version if stored is not None else NO_VERSION
        if (
            is_relay
            and mark.version > max(current, self._being_fetched.get(key, NO_VERSION))
            and len(self._being_fetched) < MAX_RESOURCES
        ):
            self._being_fetched[key] = mark.version
        if mark.version > max(current, self._newer_elsewhere.get(key, NO_VERSION)):
            if len(self._newer_elsewhere) < MAX_RESOURCES:
                self._newer_elsewhere[key] = mark.version
            self.counts["behind"] += 1
            self.events.append(
                PublisherEvent(
                    "a newer version exists elsewhere",
                    {"resource": "/".join(key), "here": str(current), "there": str(mark.version), "by": reporter},
                )
            )
        elif stored is not None and mark.version == current and mark.digest != stored.newest.digest:
            self._report_conflict(key, current, reporter)

    def remove_subscriber(self, id: int, now: int) -> None:
        """Removes a connection that ended."""
        subscriber = self.subscribers.pop(id, None)
        self.pending.pop(id, None)
        if subscriber is None:
            return
        for key in self.resources if subscriber.names is None else subscriber.names:
            if key in self.resources:
                self.resources[key].subscribers.discard(id)
        proxy = self.proxies.get(subscriber.hello.name)
        if proxy is not None and proxy.connection == id:
            proxy.connection, proxy.last_heard_at = None, now

    # --- messages from subscribers ------------------------------------------------------------------

    def note_activity(self, id: int, now: int) -> None:
        """Records that a proxy was heard from."""
        subscriber = self.subscribers[id]
        if subscriber.hello.role == PROXY and (proxy := self.proxies.get(subscriber.hello.name)) is not None:
            proxy.last_heard_at = now

    def ack(self, id: int, ack: Ack, now: int) -> None:
        """Records that a proxy accepted or rejected a version."""
        subscriber = self.subscribers[id]
        proxy = self.proxies.get(subscriber.hello.name)
        if proxy is None or subscriber.names is None or ack.key not in subscriber.names:
            return
        if ack.reason:
            if proxy.refused.get(ack.key, (NO_VERSION, ""))[0] < ack.version:
                proxy.refused[ack.key] = ack.version, ack.reason
                self.counts["refused"] += 1
                if proxy.in_force.get(ack.key) == ack.version:
                    # The change was in force, did harm, and was rolled back.
                    del proxy.in_force[ack.key]
                self._set_known_version(subscriber, ack.key, proxy.in_force.get(ack.key, NO_VERSION))
                stored = self.resources.get(ack.key)
                if stored is not None and stored.newest.version == ack.version and not stored.halted:
                    self._evaluate_wave(ack.key, now)
        else:
            # The version as reported, not the greatest so far: a restarted process may have an older one.
            proxy.in_force[ack.key] = ack.version
            self.counts["in force"] += 1
            if ack.version > subscriber.known_versions.get(ack.key, Mark(*NO_VERSION, "")).version:
                # The proxy received it from its other upstream; from now on deltas are made from this version.
                self._set_known_version(subscriber, ack.key, ack.version)

    def _set_known_version(self, subscriber: Subscriber, key: Key, version: Version) -> None:
        """After a rejection the subscriber still has the earlier version, from which deltas are made."""
        stored = self.resources.get(key)
        if stored is None:
            return
        for old in (stored.newest, *stored.delta_bases.values(), *((stored.stable,) if stored.stable else ())):
            if old.version == version:
                subscriber.known_versions[key] = mark_of(old)
                return
        subscriber.known_versions.pop(key, None)

    def request_body(self, id: int, key: Key, stable: bool, base: Mark | None, now: int) -> None:
        """Handles an explicit request for a body. Requests beyond the rate limit are ignored."""
        subscriber = self.subscribers[id]
        is_proxy = subscriber.hello.role == PROXY
        burst, rate = (BODY_REQUEST_BURST, BODY_REQUESTS_PER_S) if is_proxy else (MAX_RESOURCES, MAX_RESOURCES)
        subscriber.request_tokens = min(
            burst, subscriber.request_tokens + rate * (now - subscriber.request_tokens_at) / 1e6
        )
        subscriber.request_tokens_at = now
        if subscriber.request_tokens < 1.0:
            self.counts["wants left"] += 1
            return
        subscriber.request_tokens -= 1.0
        if subscriber.names is not None and (key not in subscriber.names or stable):
            return
        subscriber.body_requests.add((key, stable))
        if key in self.resources:
            if not stable and base is not None:
                subscriber.known_versions[key] = base
            elif not stable:
                subscriber.known_versions.pop(key, None)
            subscriber.dirty[key] = None
            self.pending[id] = None
        else:
            subscriber.body_requests.discard((key, stable))

    def set_receives_bodies(self, id: int, enabled: bool) -> None:
        """Switches a subscriber between bodies and offers only."""
        subscriber = self.subscribers[id]
        subscriber.receives_bodies = enabled
        subscriber.sent_offers.clear()
        for key in subscriber.names or ():
            if key in self.resources:
                subscriber.dirty[key] = None
        self.pending[id] = None

    # --- messages to subscribers --------------------------------------------------------------------

    def _version_for(self, proxy_name: str, stored: StoredResource) -> Resource | None:
        """The version that a proxy should have at this point of the rollout."""
        if stored.fully_rolled_out:
            return stored.newest
        if not stored.halted and wave_position(proxy_name, stored.newest.version) <= stored.wave_limit:
            return stored.newest
        return stored.stable

    def next_message(self, id: int) -> bytes | None:
        """Encodes the next message for a connection that can be written to; None if there is none."""
        subscriber = self.subscribers.get(id)
        while subscriber is not None and subscriber.dirty:
            key = next(iter(subscriber.dirty))
            encoded = (
                self._next_for_relay(subscriber, key)
                if subscriber.names is None
                else self._next_for_proxy(subscriber, key)
            )
            if encoded is not None:
                return encoded
            subscriber.dirty.pop(key, None)
        self.pending.pop(id, None)
        return None

    def _next_for_relay(self, subscriber: Subscriber, key: Key) -> bytes | None:
        """Encodes an offer, or a body that the relay requested."""
        stored = self.resources[key]
        # The stable version goes along with the offer but does not cause one: it matters only for a halted version, and
        # to a machine that has just connected.
        offer_state = (stored.newest.version, stored.halted, stored.waves_completed)
        if subscriber.sent_offers.get(key) != offer_state:
            subscriber.sent_offers[key] = offer_state
            return wire.encode(
                Offer(
                    *key,
                    mark_of(stored.newest),
                    stored.halted,
                    stored.stable and mark_of(stored.stable),
                    stored.waves_completed,
                )
            )
        if (key, True) in subscriber.body_requests:
            subscriber.body_requests.discard((key, True))
            if stored.stable is not None and not stored.fully_rolled_out:
                return wire.encode(Snapshot(*key, mark_of(stored.stable), stored.stable.body, True))
        if (key, False) in subscriber.body_requests:
            subscriber.body_requests.discard((key, False))
            known, subscriber.known_versions[key] = subscriber.known_versions.get(key), mark_of(stored.newest)
            return self._encoded_update(stored, stored.newest, known)
        return None

    def _next_for_proxy(self, subscriber: Subscriber, key: Key) -> bytes | None:
        """Encodes the version that the proxy should have, or an offer of it; None if it needs neither."""
        stored = self.resources[key]
        target = self._version_for(subscriber.hello.name, stored)
        requested = (key, False) in subscriber.body_requests
        subscriber.body_requests.discard((key, False))
        if target is None:
            return None
        known = subscriber.known_versions.get(key)
        if known is not None and known.version >= target.version:
            return None
        refused = (
            self.proxies[subscriber.hello.name].refused.get(key) if subscriber.hello.name in self.proxies else None
        )
        if refused is not None and refused[0] == target.version:
            return None
        if not subscriber.receives_bodies and not requested:
            if subscriber.sent_offers.get(key) == (target.version,):
                return None
            subscriber.sent_offers[key] = (target.version,)
            return wire.encode(Offer(*key, mark_of(target)))
        subscriber.known_versions[key] = mark_of(target)
        return self._encoded_update(stored, target, known)

    def _encoded_snapshot(self, stored: StoredResource, target: Resource) -> bytes:
        """Encodes the whole body of a version."""
        if target is not stored.newest:
            return wire.encode(Snapshot(*target.key, mark_of(target), target.body))
        encoded = stored.encoded_updates.get(None)
        if encoded is None:
            encoded = stored.encoded_updates[None] = wire.encode(Snapshot(*target.key, mark_of(target), target.body))
        self.counts["snapshots"] += 1
        return encoded

    def _encoded_update(self, stored: StoredResource, target: Resource, known: Mark | None) -> bytes:
        """Encodes a delta from the known version if possible and smaller, else a snapshot."""
        base = stored.delta_bases.get(known.version) if known is not None else None
        if base is None and known is not None and stored.stable is not None and stored.stable.version == known.version:
            base = stored.stable  # older than all delta bases that are kept
        if base is None or known is None or base.digest != known.digest or target is not stored.newest:
            return self._encoded_snapshot(stored, target)
        encoded = stored.encoded_updates.get(base.version)
        if encoded is None:
            ops = delta.make_delta(base.body, target.body)
            if delta.encoded_size(ops) >= len(target.body):
                encoded = wire.encode(Snapshot(*target.key, mark_of(target), target.body))
            else:
                encoded = wire.encode(Delta(*target.key, mark_of(target), mark_of(base), ops))
            stored.encoded_updates[base.version] = encoded
        self.counts["deltas"] += 1
        return encoded

    # --- rollout ------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """Advances the rollouts. Called several times a second."""
        for key in list(self._rolling_out):
            self._evaluate_wave(key, now, now - self.resources[key].wave_started_at)
        if self.epoch is not None:
            self.confirmed, self.confirmed_at = (self.epoch, now), now

    def remove_expired(self, now: int) -> None:
        """Removes the proxies that have been disconnected for a long time."""
        for name in [
            name
            for name, proxy in self.proxies.items()
            if proxy.connection is None and now - proxy.last_heard_at >= DISCONNECTED_RETENTION_US
        ]:
            del self.proxies[name]

    def _evaluate_wave(self, key: Key, now: int, wave_age: int = 0) -> None:
        """Decides whether the current wave of a rollout continues, ends, or the rollout is halted.
        `wave_age` is in us.
        """
        stored = self.resources[key]
        version = stored.newest.version
        sent = answered = rejected = 0
        reason = ""
        for id in stored.subscribers:
            name = self.subscribers[id].hello.name
            proxy = self.proxies.get(name)
            if proxy is None or proxy.connection != id or wave_position(name, version) > stored.wave_limit:
                continue
            if key in self.subscribers[id].dirty and id not in self.pending:
                continue  # its socket accepts no data, so the wave does not wait for it
            rejection = proxy.refused.get(key)
            has_answered = proxy.in_force.get(key, NO_VERSION) >= version or (
                rejection is not None and rejection[0] == version
            )
            if not has_answered and not self.subscribers[id].receives_bodies:
                continue  # its other upstream sends the body, in that machine's own waves
            sent += 1
            answered += has_answered
            if rejection is not None and rejection[0] == version:
                rejected, reason = rejected + 1, rejection[1]
        complete = (
            answered == sent > 0
            or wave_age >= WAVE_QUORUM_US
            and 10 * answered >= 9 * sent
            or wave_age >= WAVE_TIMEOUT_US
        )
        wave_over = key in self._rolling_out and complete
        widely_rejected = rejected >= HALT_MIN_REJECTIONS and rejected >= HALT_FRACTION * answered
        if (widely_rejected and (wave_over or rejected >= HALT_AT_ONCE)) or (
            wave_over and rejected and rejected == answered
        ):
            self.halt(key, version, f"refused by {rejected} of {answered} that answered at {self.name}: {reason}")
        elif stored.wave < len(WAVE_FRACTIONS) - 1:
            if wave_over:
                self._announce_waves(stored, stored.wave + 1)
            elif key in self._rolling_out and not sent:
                self._extend_empty_wave(stored)
            if not wave_over or not self._peers_completed_wave(stored, now):
                return
            stored.wave += 1
            stored.wave_started_at = now
            self._update_wave_limit(stored)
            self._mark_dirty(stored)
        elif wave_over:
            stored.stable = stored.newest
            self._rolling_out.discard(key)
            self.unsaved[key] = None
            self._mark_dirty(stored)

    def _extend_empty_wave(self, stored: StoredResource) -> None:
        """Handles a wave without any proxy: extends it to the nearest proxies that have connected since, or, if this
        machine sends bodies to no proxy, tells the other machines that all waves are completed here.
        """
        subscribers = [self.subscribers[id] for id in stored.subscribers]
        if not any(subscriber.hello.role == PROXY and subscriber.receives_bodies for subscriber in subscribers):
            self._announce_waves(stored, len(WAVE_FRACTIONS))
            return
        previous_limit = stored.wave_limit
        self._update_wave_limit(stored)
        if stored.wave_limit > previous_limit:
            self._mark_dirty(stored)

    def _announce_waves(self, stored: StoredResource, waves: int) -> None:
        """Announces to the other control machines how many waves are completed here."""
        if stored.waves_completed < waves:
            stored.waves_completed = waves
            for id in stored.subscribers:
                if self.subscribers[id].names is None:
                    self.subscribers[id].dirty[stored.newest.key] = None
                    self.pending[id] = None

    def _peers_completed_wave(self, stored: StoredResource, now: int) -> bool:
        """Whether the other control machines have completed the current wave, or have been waited for long enough."""
        for progress in self._peer_progress.values():
            version, waves = progress.get(stored.newest.key, (NO_VERSION, 0))
            if version < stored.newest.version:
                if now - stored.started_at < WAVE_QUORUM_US:
                    return False
            elif (
                version == stored.newest.version
                and waves <= stored.wave
                and now - stored.wave_started_at < WAVE_TIMEOUT_US
            ):
                return False
        return True

    def peer_offered(self, upstream: str, offer: Offer, now: int) -> None:
        """Records the offer of another control machine."""
        progress = self._peer_progress.setdefault(upstream, {})
        if offer.key in progress or offer.key in self.resources or len(progress) < MAX_RESOURCES:
            progress[offer.key] = offer.mark.version, offer.waves_completed
        if offer.key in self._rolling_out and self._peers_completed_wave(self.resources[offer.key], now):
            self._evaluate_wave(offer.key, now, now - self.resources[offer.key].wave_started_at)

    def peer_connected(self, upstream: str) -> None:
        """Records a new connection to another control machine, before its offers."""
        self._peer_progress[upstream] = {}

    def peer_disconnected(self, upstream: str) -> None:
        self._peer_progress.pop(upstream, None)

    def follow_origin(self, confirmed: tuple[int, int], confirmed_at: int | None) -> None:
        """Takes over the origin's last confirmation from this machine's own subscriber, on a machine that is not the
        origin.
        """
        if self.epoch is None and confirmed_at is not None:
            self.confirmed, self.confirmed_at = confirmed, confirmed_at

    def heartbeat(self, now: int) -> Heartbeat:
        """The heartbeat with the origin's last confirmation."""
        if not self.confirmed[1]:
            return Heartbeat()
        return Heartbeat(*self.confirmed, max(0, now - self.confirmed_at))

    # --- queries of operators -----------------------------------------------------------------------

    def rollout_rows(self, request_id: int, key: Key, now: int) -> Rows:
        """What this control machine knows of the rollout of one resource."""
        stored = self.resources.get(key)
        rows = []
        for name, proxy in self.proxies.items():
            if proxy.connection is not None:
                names = self.subscribers[proxy.connection].names
                if names is not None and key not in names:
                    continue
            elif key not in proxy.in_force and key not in proxy.refused:
                continue
            refused, reason = proxy.refused.get(key, (NO_VERSION, ""))
            connected = proxy.connection is not None
            rows.append(
                Row(name, proxy.region, proxy.in_force.get(key, NO_VERSION), refused, reason, connected,
                    max(0, now - proxy.last_heard_at))
            )  # fmt: skip
        if stored is None:
            return Rows(request_id, NO_VERSION, "", "", rows)
        return Rows(request_id, stored.newest.version, stored.newest.digest, stored.halted, rows)

    def counters(self) -> dict[str, int | str]:
        """Counters by name, for operators."""
        return {
            **self.counts,
            "resources": len(self.resources),
            "subscribers": len(self.subscribers),
            "proxies known": len(self.proxies),
            "rolling": len(self._rolling_out),
            "halted": sum(1 for stored in self.resources.values() if stored.halted),
            "ahead elsewhere": len(self._newer_elsewhere),
        }


class Rollout(NamedTuple):
    """The progress of one version. `pending` are proxies that are connected and have not answered; `unreachable` were
    known in the last ten minutes and are connected nowhere; `silent` are control machines that did not answer.
    """

    version: Version
    digest: str
    halted: str
    in_force: int
    pending: list[str]
    refused: dict[str, str]
    unreachable: list[str]
    silent: list[str]


def row_priority(row: Row) -> tuple[bool, tuple[int, int]]:
    """Sort key for two machines' rows of one proxy: the greater row is more informative."""
    return row.connected, max(tuple(row.in_force), tuple(row.refused))


def merge_rollout(parts: list[Rows], silent: list[str]) -> Rollout:
    """Merges the answers of the control machines: the newest version, and for each proxy the most informative row."""
    last = max(parts, key=lambda part: tuple(part.version))
    version = Version(*last.version)
    rows: dict[str, list[Row]] = {}
    for part in parts:
        for row in part.rows:
            rows.setdefault(row.proxy, []).append(row)
    in_force, pending, unreachable = 0, [], []
    refused: dict[str, str] = {}
    for name, proxy_rows in sorted(rows.items()):
        rejection = next((row.reason for row in proxy_rows if Version(*row.refused) == version and row.reason), "")
        if any(Version(*row.in_force) >= version for row in proxy_rows):
            in_force += 1
        elif rejection:
            refused[name] = rejection
        elif any(row.connected for row in proxy_rows):
            pending.append(name)
        else:
            unreachable.append(name)
    halted = next((part.halted for part in parts if part.halted and Version(*part.version) == version), "")
    return Rollout(version, last.digest, halted, in_force, pending, refused, unreachable, silent)
