"""The subscriber's side of distribution, for a proxy or for a control machine that relays: which control machines it is
connected to, which versions it accepts and what it requests; free of I/O.

A newer version is never replaced by an older one, whoever sends it. A proxy uses two upstreams at a time, in an order
given by rendezvous hashing, so that the proxies of a lost machine spread evenly over all the others. The first upstream
sends bodies. The second only offers its versions, and is asked for a body if the first does not send it in time. Where
it is known which machines are in the proxy's own region, the first upstream is one of those and the second is in
another region.

A connection attempt is not abandoned while an answer may still come: each new attempt costs the other side as much as
the last one, and the old attempt loses its place in the kernel's accept queue. Therefore few attempts are made, with
long timeouts.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

from pepperusher.distribution import delta
from pepperusher.distribution.messages import (
    KIND_IS_FACT,
    MAX_RESOURCES,
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
from pepperusher.packet_authentication import InvalidPacketError

UPSTREAM_COUNT = 2
# Both sides send heartbeats at this interval. A side that was silent for SILENCE_TIMEOUT_US is taken for lost, whatever
# the state of its socket.
HEARTBEAT_INTERVAL_US = 2_000_000
SILENCE_TIMEOUT_US = 5_000_000
CONNECT_TIMEOUT_US = 8_000_000
# The timeout of a relay. It has few upstreams, and only a new connection shows that a network partition has healed.
RELAY_CONNECT_TIMEOUT_US = 2_500_000
# The exponential backoff before a lost upstream is connected to again. The delay is drawn from the upper half.
RECONNECT_MIN_US = 200_000
RECONNECT_MAX_US = 3_000_000
RELAY_RECONNECT_MAX_US = 1_500_000
# The delay before reconnecting to an upstream that closed the connection with a reason, drawn from this value to twice
# it.
REFUSED_RECONNECT_US = 5_000_000
# How many connection attempts a proxy has in progress at once, at most.
MAX_CONNECTING = 9
# How long an attempt may be in progress before the next upstream is tried alongside it, and the interval of further
# attempts while none has succeeded. Of nine machines the last is tried within 6.4 s.
HEDGE_AFTER_US = 1_500_000
HEDGE_INTERVAL_US = 750_000
# Where the machines of the own region are known, both of these are multiplied by this. In a partition the two reachable
# machines are among the first three, so a late answer more likely means a busy machine.
NEAR_TIMEOUT_FACTOR = 2
# The same for the second upstream: there is less urgency once one is connected.
SECOND_HEDGE_AFTER_US = 3_000_000
# After a loss the next attempt is made after a random delay up to FAILOVER_JITTER_US; after further failures the delay
# grows up to FAILOVER_MAX_US. Proxies that lost one machine, or all machines, at the same moment must not reconnect at
# the same moment.
FAILOVER_JITTER_US = 400_000
FAILOVER_MAX_US = 3_000_000
# A proxy returns to an upstream that precedes those in use once nothing has arrived for this time, drawn up to twice
# it. A change that arrives while a proxy moves between two machines is sent by both.
QUIET_PERIOD_US = 5_000_000
# While it is connecting, the subscriber wakes at this interval and so notices how long its own process was paused.
# During a pause it could not have read an answer, so that time is not counted against an upstream, up to
# MAX_EXCUSED_PAUSE_US for each.
CONNECTING_WAKE_US = 250_000
# The shortest delay until the next wake-up.
MIN_WAKE_DELAY_US = 5_000
PAUSE_THRESHOLD_US = 100_000
MAX_EXCUSED_PAUSE_US = 10_000_000
# How long the first upstream has to send a version that the second has offered.
OFFER_GRACE_US = 1_000_000
# The limit if the first upstream is still sending messages: its rollout may be two waves behind. It covers two times
# `publisher.WAVE_QUORUM_US` and not WAVE_TIMEOUT_US. Where few proxies answer a wave, both upstreams may send the
# change; a longer wait would cost too much if the first upstream is alive but cut off itself.
OFFER_MAX_WAIT_US = 3_500_000
# An upstream that sent nothing for longer than a heartbeat interval and a margin is not counted as active.
ACTIVE_WITHIN_US = HEARTBEAT_INTERVAL_US + 500_000
# The exponential backoff between two requests for the same body, until a matching one arrives.
REQUEST_RETRY_MIN_US = 1_000_000
REQUEST_RETRY_MAX_US = 30_000_000


def rendezvous_order(name: str, upstreams: Iterable[str]) -> list[str]:
    """Ranks the upstreams by rendezvous hashing."""

    def weight(upstream: str) -> bytes:
        return hashlib.blake2b(f"{name} {upstream}".encode(), digest_size=8).digest()

    return sorted(upstreams, key=weight)


def upstream_order(name: str, upstreams: Iterable[str], near: Iterable[str] = ()) -> list[str]:
    """The order in which this subscriber uses its upstreams: ranked by `rendezvous_order`, alternating between its own
    region and other regions. A region that is cut off keeps an upstream of its own, a region that lost its machines has
    one elsewhere, and the bodies of a lost machine are sent by all machines of the other regions alike.
    """
    near = set(near)
    ranked = rendezvous_order(name, upstreams)
    near_ranked, far_ranked = (
        [upstream for upstream in ranked if upstream in near],
        [upstream for upstream in ranked if upstream not in near],
    )
    pairs = min(len(near_ranked), len(far_ranked))
    paired = [upstream for pair in zip(near_ranked, far_ranked) for upstream in pair]
    return paired + near_ranked[pairs:] + far_ranked[pairs:]


class Connect(NamedTuple):
    """Effect: connect to this upstream."""

    upstream: str


class Close(NamedTuple):
    """Effect: close the connection to this upstream, or stop connecting."""

    upstream: str
    reason: str


class Send(NamedTuple):
    """Effect: send this message."""

    upstream: str
    message: Message


class Apply(NamedTuple):
    """The receiver applies the resource and then calls `applied` with the outcome. `stable` is used by relays only."""

    resource: Resource
    halted: str
    stable: bool


class LogEvent(NamedTuple):
    """Effect: write this to the log."""

    message: str
    fields: dict[str, object]


Effect = Connect | Close | Send | Apply | LogEvent

DOWN, CONNECTING, UP = range(3)
# The newest version of a resource, or with True its stable version.
VersionSlot = tuple[Key, bool]


class _Upstream:
    """The state of the connection to one control machine."""

    __slots__ = (
        "name",
        "state",
        "state_since",
        "retry_at",
        "retry_delay",
        "last_heard_at",
        "last_message_at",
        "heartbeat_sent_at",
        "excused",
        "offers",
        "sends_bodies",
    )

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.state = DOWN
        self.state_since = self.retry_at = self.last_heard_at = self.heartbeat_sent_at = now
        self.retry_delay = RECONNECT_MIN_US
        self.last_message_at: int | None = None  # since the connection was established
        self.excused = 0  # us of pauses of this process by which its timeouts were extended
        # mark, time of the offer and halt reason; bounded by the subscriptions
        self.offers: dict[VersionSlot, tuple[Mark, int, str]] = {}
        self.sends_bodies = False


class Subscriber:
    """Decides for one proxy or relay. `resources` are those in force at the start. Calls append effects for the caller
    to perform, and `wake` returns when it has to be called next.
    """

    def __init__(
        self,
        name: str,
        instance_id: int,
        region: str,
        zone: str,
        upstreams: Sequence[str],
        names: Sequence[Key],
        resources: Iterable[Resource],
        random: Random,
        now: int,
        role: int = PROXY,
        near: Iterable[str] = (),
    ) -> None:
        self._name, self._instance_id, self._region, self._zone, self._role = name, instance_id, region, zone, role
        self._names = None if role == RELAY else frozenset(names)
        self._connection_target = len(upstreams) if role == RELAY else min(UPSTREAM_COUNT, len(upstreams))
        self._upstreams = {upstream: _Upstream(upstream, now) for upstream in upstream_order(name, upstreams, near)}
        timeout_factor = NEAR_TIMEOUT_FACTOR if set(near) & set(upstreams) else 1
        self._hedge_after, self._hedge_interval = timeout_factor * HEDGE_AFTER_US, timeout_factor * HEDGE_INTERVAL_US
        self._random = random
        self.effects: list[Effect] = []
        # in force; bounded by the subscriptions
        self.resources: dict[Key, Resource] = {resource.key: resource for resource in resources}
        # rejected versions with the reason; bounded by the subscriptions
        self.refused: dict[Key, tuple[Mark, str]] = {}
        self._applying: dict[Key, Resource] = {}  # being applied; bounded by the subscriptions
        self._queued: dict[Key, tuple[Resource, str]] = {}  # the newest version waiting behind the one being applied
        self._missing: set[VersionSlot] = set()  # offered versions newer than those in force
        # next request at, delay after that, upstream asked last
        self._body_requests: dict[VersionSlot, tuple[int, int, str]] = {}
        self._stable_versions: dict[Key, Version] = {}  # on a relay, bounded by its resources
        # Versions in force here that others call stable, until a newer version is applied; bounded by the resources.
        self._stable_in_force: dict[Key, Resource] = {}
        self._needs_snapshot: set[Key] = set()  # to be requested as a snapshot, since a delta did not apply
        self.confirmed: tuple[int, int] = (0, 0)  # (epoch, stamp) of the origin's last confirmation
        self.confirmed_at: int | None = None
        self.counts: Counter[str] = Counter()
        self._next_attempt_at = now + random.randrange(FAILOVER_JITTER_US)
        self._failover_delay = RECONNECT_MIN_US
        self._wake_due = now
        self._quiet_since = now
        self._quiet_period = self._random_quiet_period()

    # --- upstreams ----------------------------------------------------------------------------------

    @property
    def connected_upstreams(self) -> list[str]:
        """The upstreams it is connected to, in its order."""
        return [peer.name for peer in self._upstreams.values() if peer.state == UP]

    def _update_connections(self, now: int) -> None:
        """Connects to as many upstreams as needed, the first ones in order that can be reached; closes surplus
        connections; and selects the upstream that sends bodies.
        """
        order = list(self._upstreams.values())
        if not order:
            return
        connected = [index for index, peer in enumerate(order) if peer.state == UP]
        for index in connected[self._connection_target :]:
            self._close(order[index], "preferred upstreams are connected", now, 0)
        complete = len(connected) >= self._connection_target
        # Upstreams behind the last one in use are not worth connecting to.
        candidates = order[: connected[self._connection_target - 1]] if complete else order
        connecting = [peer for peer in order if peer.state == CONNECTING]
        if complete:
            for peer in connecting:
                if peer not in candidates:
                    self._close(peer, "preferred upstreams are connected", now, 0)
        allowed = self._attempts_allowed(len(connected), connecting, now)
        if allowed > 0 and now >= self._next_attempt_at:
            # The upstreams with the shortest backoff first, so that each is tried before any is tried again. In a
            # region that is cut off, the first in order may be those that cannot be reached.
            ready = [peer for peer in candidates if peer.state == DOWN and now >= peer.retry_at]
            for peer in sorted(ready, key=lambda peer: peer.retry_delay)[:allowed]:
                peer.state, peer.state_since, peer.excused = CONNECTING, now, 0
                self.counts["connects"] += 1
                self.effects.append(Connect(peer.name))
                if self._role == PROXY and connecting:
                    self._next_attempt_at = now + self._hedge_interval
        sender = self._body_sender(now)
        for peer in self._upstreams.values():
            if peer.state == UP and peer.sends_bodies != (peer is sender):
                peer.sends_bodies = peer is sender
                self.effects.append(Send(peer.name, BodiesSwitch(peer.sends_bodies)))

    def _body_sender(self, now: int) -> _Upstream | None:
        """The upstream that should send bodies: the first one that is connected. If a preceding one is still
        connecting, a newly connected one is not selected for a short time, since otherwise both would send all bodies
        to a proxy that starts.
        """
        if self._role == RELAY:
            return None
        earlier_connecting = False
        for peer in self._upstreams.values():
            if peer.state == UP:
                return peer if peer.sends_bodies or not earlier_connecting else None
            earlier_connecting = earlier_connecting or (
                peer.state == CONNECTING and now - peer.state_since < self._hedge_after
            )
        return None

    def _attempts_allowed(self, connected: int, connecting: list[_Upstream], now: int) -> int:
        """How many more connection attempts may be started now."""
        if self._role == RELAY:
            return (
                self._connection_target
                - connected
                - sum(now - peer.state_since < self._hedge_after for peer in connecting)
            )
        if connected >= self._connection_target:
            # The target is reached, so this is an attempt at a preferred upstream: only in a quiet period, and never
            # while a version is missing or being applied.
            quiet = not self._missing and not self._applying and now - self._quiet_since >= self._quiet_period
            return 1 if quiet and not connecting else 0
        hedge_after = SECOND_HEDGE_AFTER_US if connected else self._hedge_after
        recent = sum(now - peer.state_since < hedge_after for peer in connecting)
        room = MAX_CONNECTING - len(connecting)
        if connecting:
            # Hedged attempts are started one at a time. `_hedge_interval` spaces them out while no upstream is
            # connected.
            late = sum(now - peer.state_since >= hedge_after for peer in connecting)
            return (
                min(1, room)
                if late and (not connected or not recent)
                else min(self._connection_target - connected - len(connecting), room)
            )
        return min(self._connection_target - connected if self._failover_delay == RECONNECT_MIN_US else 1, room)

    def _random_quiet_period(self) -> int:
        return self._random.randrange(QUIET_PERIOD_US, 2 * QUIET_PERIOD_US)

    def _restart_quiet_period(self, now: int) -> None:
        """Restarts the quiet period after a version or an upstream came or went."""
        self._quiet_since, self._quiet_period = now, self._random_quiet_period()

    def _close(self, peer: _Upstream, reason: str, now: int, delay: int | None = None) -> None:
        self.effects.append(Close(peer.name, reason))
        self._mark_down(peer, now, delay)

    def _mark_down(self, peer: _Upstream, now: int, delay: int | None = None) -> None:
        """Schedules the next attempt at a lost upstream, and the next attempt at any upstream."""
        max_delay = RELAY_RECONNECT_MAX_US if self._role == RELAY else RECONNECT_MAX_US
        if delay is None:
            delay, peer.retry_delay = peer.retry_delay, min(2 * peer.retry_delay, max_delay)
            delay = self._random.randrange(delay // 2, delay)
        if peer.state == UP:
            self._next_attempt_at = now + self._random.randrange(FAILOVER_JITTER_US)
        elif delay and self._role == PROXY:
            self._failover_delay = min(2 * self._failover_delay, FAILOVER_MAX_US)
            self._next_attempt_at = now + self._random.randrange(self._failover_delay // 2, self._failover_delay)
        peer.state, peer.state_since, peer.retry_at, peer.last_message_at = DOWN, now, now + delay, None
        peer.offers.clear()
        self._restart_quiet_period(now)

    def connected(self, upstream: str, now: int) -> None:
        """The connection is established, and both sides have proven that they have the key."""
        peer = self._upstreams[upstream]
        peer.state, peer.state_since, peer.last_heard_at, peer.heartbeat_sent_at = UP, now, now, now
        peer.last_message_at, peer.excused = None, 0
        self._restart_quiet_period(now)
        # The body sender is selected before the hello message, which states it.
        peer.sends_bodies = False
        peer.sends_bodies = self._body_sender(now) is peer
        refused = [Ack(*key, *mark.version, reason) for key, (mark, reason) in self.refused.items()]
        have = [HaveVersion(*key, mark_of(self.resources[key])) for key in self.resources]
        names = [] if self._names is None else sorted(self._names)
        self.effects.append(
            Send(
                upstream,
                Hello(
                    self._role,
                    self._name,
                    self._instance_id,
                    self._region,
                    self._zone,
                    peer.sends_bodies,
                    names,
                    have,
                    refused,
                ),
            )
        )
        self._update_connections(now)

    def disconnected(self, upstream: str, now: int) -> None:
        """The connection ended or could not be established."""
        peer = self._upstreams[upstream]
        if peer.state == DOWN:
            return
        self._mark_down(peer, now)
        self._update_connections(now)

    def wake(self, now: int) -> int:
        """Performs what is due now and returns when to call again, in us."""
        self._excuse_pause(now)
        timeout = RELAY_CONNECT_TIMEOUT_US if self._role == RELAY else CONNECT_TIMEOUT_US
        due = now + HEARTBEAT_INTERVAL_US
        for peer in self._upstreams.values():
            if peer.state == CONNECTING and now - peer.state_since >= timeout:
                self._close(peer, "not connected in time", now)
            elif peer.state == UP and now - peer.last_heard_at >= SILENCE_TIMEOUT_US:
                self.counts["silent"] += 1
                self._close(peer, "silent", now)
            elif peer.state == UP and now - peer.heartbeat_sent_at >= HEARTBEAT_INTERVAL_US:
                peer.heartbeat_sent_at = now
                self.effects.append(Send(peer.name, Heartbeat()))
        self._update_connections(now)
        self._request_missing(now)
        for peer in self._upstreams.values():
            if peer.state == UP:
                due = min(due, peer.heartbeat_sent_at + HEARTBEAT_INTERVAL_US, peer.last_heard_at + SILENCE_TIMEOUT_US)
        due = min(due, self._next_attempt_due(now))
        for retry_at, _, _ in self._body_requests.values():
            due = min(due, max(retry_at, now + MIN_WAKE_DELAY_US))
        self._wake_due = due
        return due

    def _next_attempt_due(self, now: int) -> int:
        """When the next attempt may be started, or when to check whether this process was paused."""
        peers = list(self._upstreams.values())
        connected = sum(peer.state == UP for peer in peers)
        connecting = [peer for peer in peers if peer.state == CONNECTING]
        wake_at = now + (CONNECTING_WAKE_US if connecting else HEARTBEAT_INTERVAL_US)
        if connected >= self._connection_target:
            return wake_at
        retry_times = [
            max(peer.retry_at, self._next_attempt_at, now + MIN_WAKE_DELAY_US) for peer in peers if peer.state == DOWN
        ]
        if connecting and retry_times:
            # Further attempts wait for those in progress, as in `_attempts_allowed`.
            if len(connecting) >= MAX_CONNECTING or self._role == RELAY:
                return wake_at
            if len(connecting) < self._connection_target - connected:
                return min(wake_at, *retry_times)
            started = [peer.state_since for peer in connecting]
            return min(
                wake_at,
                max(
                    max(started) + SECOND_HEDGE_AFTER_US if connected else min(started) + self._hedge_after,
                    min(retry_times),
                ),
            )
        return min(wake_at, *retry_times) if retry_times else wake_at

    def _excuse_pause(self, now: int) -> None:
        """Extends the timeouts of upstreams by the time in which this process was paused."""
        pause = now - self._wake_due
        if pause < PAUSE_THRESHOLD_US:
            return
        for peer in self._upstreams.values():
            if peer.state != DOWN and peer.excused < MAX_EXCUSED_PAUSE_US:
                excused = min(pause, MAX_EXCUSED_PAUSE_US - peer.excused)
                peer.excused += excused
                peer.state_since, peer.last_heard_at = (
                    min(now, peer.state_since + excused),
                    min(now, peer.last_heard_at + excused),
                )

    # --- messages from upstreams --------------------------------------------------------------------

    def received(self, upstream: str, message: Message, now: int) -> None:
        """Handles a message of an upstream. Raises InvalidPacketError for a message that no control machine sends."""
        peer = self._upstreams[upstream]
        if peer.state != UP:
            return
        peer.last_heard_at, peer.excused = now, 0
        peer.retry_delay = RECONNECT_MIN_US
        if peer.last_message_at is None:
            self._failover_delay = RECONNECT_MIN_US
        peer.last_message_at = now
        if not isinstance(message, Heartbeat):
            self._restart_quiet_period(now)
        if isinstance(message, Heartbeat):
            self._on_heartbeat(peer, message, now)
        elif isinstance(message, Offer):
            self._on_offer(peer, message, now)
        elif isinstance(message, Snapshot):
            self._on_snapshot(peer, message, now)
        elif isinstance(message, Delta):
            self._on_delta(peer, message, now)
        elif isinstance(message, Refused):
            self.effects.append(
                LogEvent(
                    "a control machine ended the connection", {"upstream": peer.name, "why": one_line(message.reason)}
                )
            )
            self._close(
                peer,
                "closed by the control machine",
                now,
                self._random.randrange(REFUSED_RECONNECT_US, 2 * REFUSED_RECONNECT_US),
            )
            self._update_connections(now)
        else:
            raise InvalidPacketError("authentic, but not a message of a control machine")

    def _on_heartbeat(self, peer: _Upstream, heartbeat: Heartbeat, now: int) -> None:
        if (heartbeat.epoch, heartbeat.stamp) <= self.confirmed:
            return
        missing = any(
            peer.offers[slot][0].version > self._newest_received(slot[0])
            for slot in self._missing
            if not slot[1] and slot in peer.offers
        )
        if not missing and not self._applying:
            self.confirmed = heartbeat.epoch, heartbeat.stamp
            self.confirmed_at = max(now - heartbeat.age_us, self.confirmed_at or 0)

    def _is_subscribed(self, key: Key) -> bool:
        """Whether versions of this resource are accepted at all."""
        if self._names is not None:
            return key in self._names
        return key[0] in KIND_IS_FACT and (key in self.resources or len(self.resources) < MAX_RESOURCES)

    def _newest_received(self, key: Key) -> Version:
        """The newest version received so far: in force, rejected, being applied or queued."""
        resource = self.resources.get(key)
        newest = resource.version if resource is not None else NO_VERSION
        if key in self.refused:
            newest = max(newest, self.refused[key][0].version)
        if key in self._applying:
            newest = max(newest, self._applying[key].version)
        if key in self._queued:
            newest = max(newest, self._queued[key][0].version)
        return newest

    def _on_offer(self, peer: _Upstream, offer: Offer, now: int) -> None:
        key = offer.key
        if not self._is_subscribed(key):
            self.counts["not asked for"] += 1
            return
        peer.offers[key, False] = offer.mark, now, offer.halted
        if self._role == RELAY:
            resource = self.resources.get(key)
            peer.offers.pop((key, True), None)
            if offer.stable is not None and offer.stable.version < offer.mark.version:
                if resource is not None and mark_of(resource) == offer.stable:
                    # The stable version is in force here already, so it is not requested again with each change.
                    self._stable_in_force[key] = resource
                else:
                    peer.offers[key, True] = offer.stable, now, ""
            if offer.halted and resource is not None and resource.version == offer.mark.version:
                self.effects.append(Apply(resource, offer.halted, False))
            self._request_if_due((key, True), now)
        self._request_if_due((key, False), now)

    def _request_missing(self, now: int) -> None:
        """Requests the bodies that were offered and not sent, where that is due."""
        for slot in list(self._missing):
            self._request_if_due(slot, now)

    def _request_if_due(self, slot: VersionSlot, now: int) -> None:
        """Requests the body of one offered version. A relay asks the first upstream that offers it immediately; a proxy
        asks once its first upstream had time to send it.
        """
        key, stable = slot
        newest = self._stable_versions.get(key, NO_VERSION) if stable else self._newest_received(key)
        offers = [
            (peer, *peer.offers[slot][:2])
            for peer in self._upstreams.values()
            if peer.state == UP and slot in peer.offers and peer.offers[slot][0].version > newest
        ]
        if not offers:
            self._missing.discard(slot)
            self._body_requests.pop(slot, None)
            return
        self._missing.add(slot)
        first = min(offered_at for _, _, offered_at in offers) + (OFFER_GRACE_US if self._role == PROXY else 0)
        due, delay, asked_last = self._body_requests.get(slot, (first, REQUEST_RETRY_MIN_US, ""))
        if now < due:
            self._body_requests[slot] = due, delay, asked_last
            return
        if (
            not asked_last
            and now < first - OFFER_GRACE_US + OFFER_MAX_WAIT_US
            and self._first_upstream_active(slot, newest, now)
        ):
            # The first upstream is alive but has not reached this proxy yet, because of its waves or because it is
            # busy. This is checked again soon.
            self._body_requests[slot] = now + CONNECTING_WAKE_US, delay, asked_last
            return
        # Another upstream than the last time if there is one: that one may hang.
        peer = next((peer for peer, _, _ in offers if peer.name != asked_last), offers[0][0])
        self._body_requests[slot] = now + delay, min(2 * delay, REQUEST_RETRY_MAX_US), peer.name
        base = None if stable or key in self._needs_snapshot else self.resources.get(key)
        self.effects.append(Send(peer.name, BodyRequest(*key, stable, base and mark_of(base))))
        self.counts["wants"] += 1

    def _first_upstream_active(self, slot: VersionSlot, newest: Version, now: int) -> bool:
        """Whether a proxy's first upstream, which sends bodies, was active recently and has not offered this version
        itself.
        """
        if self._role == RELAY:
            return False
        first = next((peer for peer in self._upstreams.values() if peer.state == UP), None)
        if first is None or first.last_message_at is None:
            return False
        if slot in first.offers and first.offers[slot][0].version > newest:
            return False
        return now - first.last_message_at < ACTIVE_WITHIN_US

    def _on_snapshot(self, peer: _Upstream, snapshot: Snapshot, now: int) -> None:
        if not self._is_subscribed(snapshot.key):
            self.counts["not asked for"] += 1
            return
        self.counts["snapshots"] += 1
        if snapshot.kind not in KIND_IS_FACT or digest_of(snapshot.body) != snapshot.mark.digest:
            raise InvalidPacketError("authentic, but its digest does not match its body")
        resource = Resource(
            snapshot.kind,
            snapshot.name,
            snapshot.mark.version,
            snapshot.mark.digest,
            snapshot.body,
            KIND_IS_FACT[snapshot.kind],
        )
        self._body_requests.pop((snapshot.key, snapshot.stable), None)
        self._needs_snapshot.discard(snapshot.key)
        if snapshot.stable:
            if resource.version > self._stable_versions.get(resource.key, NO_VERSION):
                self._stable_versions[resource.key] = resource.version
                self.effects.append(Apply(resource, "", True))
            return
        self._enqueue(resource, self._halt_reason(resource), now)

    def _halt_reason(self, resource: Resource) -> str:
        """Why the version is halted, according to any upstream: the one that sends the body may not know it yet, or may
        have said so earlier.
        """
        offers = (peer.offers.get((resource.key, False)) for peer in self._upstreams.values())
        return next(
            (offer[2] for offer in offers if offer is not None and offer[0].version == resource.version and offer[2]),
            "",
        )

    def _on_delta(self, peer: _Upstream, update: Delta, now: int) -> None:
        if not self._is_subscribed(update.key):
            self.counts["not asked for"] += 1
            return
        self.counts["deltas"] += 1
        if update.mark.version <= self._newest_received(update.key):
            self.counts["older left"] += 1
            return
        base = next(
            (
                candidate
                for candidate in (
                    self.resources.get(update.key),
                    self._applying.get(update.key),
                    self._queued.get(update.key, (None,))[0],
                )
                if candidate is not None and mark_of(candidate) == update.base
            ),
            None,
        )
        body = None
        if base is not None:
            try:
                body = delta.apply_delta(base.body, update.ops)
            except delta.BadDelta:
                pass
        if body is None or digest_of(body) != update.mark.digest:
            # From now on the version counts as offered but not sent.
            self.counts["misfits"] += 1
            self._needs_snapshot.add(update.key)
            peer.offers[update.key, False] = update.mark, now - OFFER_GRACE_US, ""
            self._request_if_due((update.key, False), now)
            return
        resource = Resource(
            update.kind, update.name, update.mark.version, update.mark.digest, body, KIND_IS_FACT[update.kind]
        )
        self._enqueue(resource, self._halt_reason(resource), now)

    def _enqueue(self, resource: Resource, halted: str, now: int) -> None:
        """Applies a version that is newer than all received so far, after the one being applied."""
        if resource.version <= self._newest_received(resource.key):
            current = self.resources.get(resource.key)
            if current is not None and current.version == resource.version and current.digest != resource.digest:
                self.counts["forked"] += 1
                self.effects.append(
                    LogEvent(
                        "two contents under one version",
                        {"resource": "/".join(resource.key), "version": str(resource.version)},
                    )
                )
            self.counts["older left"] += 1
            return
        if resource.key in self._applying:
            self._queued[resource.key] = resource, halted
            return
        self._applying[resource.key] = resource
        self.effects.append(Apply(resource, halted, False))

    def applied(self, resource: Resource, reason: str | None, now: int) -> None:
        """Records the outcome of an Apply effect, in force or rejected with a reason, and tells all upstreams."""
        if self._applying.get(resource.key) is not resource:
            return
        del self._applying[resource.key]
        if reason is None:
            current = self.resources.get(resource.key)
            assert current is None or current.version < resource.version
            self.resources[resource.key] = resource
            self.refused.pop(resource.key, None)
            stable = self._stable_in_force.pop(resource.key, None)
            if (
                stable is not None
                and self._stable_versions.get(resource.key, NO_VERSION) < stable.version < resource.version
            ):
                self._stable_versions[resource.key] = stable.version
                self.effects.append(Apply(stable, "", True))
        else:
            self.counts["refused"] += 1
            self.refused[resource.key] = mark_of(resource), one_line(reason) or "no reason given"
        if self._role == PROXY:
            ack = Ack(*resource.key, *resource.version, "" if reason is None else self.refused[resource.key][1])
            self.effects += [Send(upstream, ack) for upstream in self.connected_upstreams]
        queued = self._queued.pop(resource.key, None)
        if queued is not None:
            self._enqueue(*queued, now)

    def reverted(self, key: Key, previous: Resource | None, reason: str) -> None:
        """The version in force did harm and the caller has restored the previous one: records the version as rejected
        and tells all upstreams.
        """
        resource = self.resources.get(key)
        if resource is None or (previous is not None and previous.version >= resource.version):
            return
        if previous is None:
            del self.resources[key]
        else:
            self.resources[key] = previous
        self.counts["refused"] += 1
        self.refused[key] = mark_of(resource), one_line(reason) or "no reason given"
        ack = Ack(*key, *resource.version, self.refused[key][1])
        self.effects += [Send(upstream, ack) for upstream in self.connected_upstreams]

    def age_us(self, now: int) -> int | None:
        """us since the origin's last confirmation, counted only if it came from a control machine whose versions are
        all in force here; None without one.
        """
        return None if self.confirmed_at is None else max(0, now - self.confirmed_at)
