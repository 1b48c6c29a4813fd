"""The proxy's client of the control machines under asyncio, used by whole proxies and by hollow ones.

Tickets never wait for it. Without any control machine the resources in force stay in force, and cached ones are applied
at a start.
"""

from __future__ import annotations

import asyncio
import inspect
import os
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from pathlib import Path
from random import Random

from pepperusher.distribution import resource_cache, wire
from pepperusher.distribution.link import OutgoingConnections, Link
from pepperusher.distribution.subscriber import Apply, Close, Connect, LogEvent, Send, Subscriber
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    MAX_MESSAGE_BYTES,
    Heartbeat,
    Key,
    Message,
    Resource,
    Version,
    FreshnessReport,
    one_line,
)
from pepperusher.net import clock
from pepperusher.packet_authentication import InvalidPacketError

# How often the time of the last confirmation is written to the cache file, as its modification time.
CONFIRMATION_WRITE_US = 10_000_000


def _discard_log(event: str, **fields: object) -> None:
    pass


class Client:
    """Subscribes to resources and applies each new version.

    `upstreams` are the addresses of all control machines, each with its region if known; those in this proxy's region
    are preferred. `names` are the subscribed resources. `apply` applies a whole resource and returns None, or the
    reason for rejecting it; it may be a coroutine function. Resources cached in the file `cache_path` are applied first
    at a start. Connections are made from `local_address`, or from any address if that is empty.

    With `provisional`, a version in force is cached only after `confirm` was called; `revert` reports that it was
    rolled back. `on_freshness` is called with the freshness of facts as control machines report it.
    """

    def __init__(
        self,
        upstreams: Sequence[tuple[str, int] | tuple[str, int, str]],
        names: Sequence[Key],
        apply: Callable[[Resource], str | None | Awaitable[str | None]],
        *,
        key: bytes,
        name: str,
        region: str,
        zone: str,
        seed: int,
        cache_path: Path | None = None,
        local_address: str = "127.0.0.1",
        say: Callable[..., None] = _discard_log,
        provisional: bool = False,
        on_freshness: Callable[[Sequence[FreshnessReport]], None] | None = None,
    ) -> None:
        self._addresses = {f"{upstream[0]}:{upstream[1]}": (upstream[0], upstream[1]) for upstream in upstreams}
        self._near = [f"{upstream[0]}:{upstream[1]}" for upstream in upstreams if region and upstream[2:] == (region,)]
        self._keys, self._apply, self._key, self._say = list(names), apply, key, say
        self._name, self._region, self._zone = name, region, zone
        self._random = Random(seed)
        self._cache_path = cache_path
        self.counts: Counter[str] = Counter()
        self.in_force: dict[Key, Version] = {}
        self._outgoing = OutgoingConnections(self._addresses, local_address)
        self._apply_tasks: set[asyncio.Task[None]] = set()  # at most one for each resource
        self._write_task: asyncio.Task[None] | None = None
        self._cache_outdated = False
        self._confirmation_written_at = 0
        self._timer: asyncio.TimerHandle | None = None
        self._start_task: asyncio.Task[None] | None = None
        self._stopped = False
        self._subscriber: Subscriber | None = None
        self._cached_confirmed_at: int | None = None
        self._provisional = provisional
        self._on_freshness = on_freshness
        self._confirmed: dict[Key, Resource] = {}  # bounded by the subscriptions

    # --- start and end ------------------------------------------------------------------------------

    def start(self) -> None:
        """Starts in the background; cached resources are applied before any others."""
        self._start_task = asyncio.get_running_loop().create_task(self._load_cache())

    async def _load_cache(self) -> None:
        """Applies the cached resources, then starts to connect."""
        applied: list[Resource] = []
        if self._cache_path is not None:
            cached, self._cached_confirmed_at, error = resource_cache.read(self._cache_path, set(self._keys))
            if error:
                self._say("the cache of distributed resources can't be read", why=error)
            for resource in cached:
                reason = await self._apply_resource(resource)
                if reason is None:
                    applied.append(resource)
                    self.in_force[resource.key] = resource.version
                    self._confirmed[resource.key] = resource
                else:
                    self._say(
                        "a cached resource is rejected",
                        resource="/".join(resource.key),
                        version=str(resource.version),
                        why=reason,
                    )
        now = clock.now()
        self._subscriber = Subscriber(
            self._name, int.from_bytes(os.urandom(8)) >> 1, self._region, self._zone, list(self._addresses),
            self._keys, applied, self._random, now, near=self._near,
        )  # fmt: skip
        self._subscriber.confirmed_at = self._cached_confirmed_at
        self._wake()

    async def stop(self) -> None:
        """Ends the connections in order and writes the versions in force to the cache."""
        links = list(self._outgoing.links.values())
        self._shut_down()
        for link in links:
            link.close()
        if self._write_task is not None:
            await asyncio.wait([self._write_task])
        if self._cache_path is not None and self._cache_outdated:
            await self._write_cache()

    def kill(self) -> None:
        """Ends abruptly, as a killed process would."""
        links = list(self._outgoing.links.values())
        self._shut_down()
        for link in links:
            link.abort("killed")

    def _shut_down(self) -> None:
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self._start_task is not None:
            self._start_task.cancel()
        self._outgoing.cancel()
        for task in self._apply_tasks:
            task.cancel()
        self._outgoing.links.clear()

    def age_us(self, now_us: int) -> int | None:
        """us since the origin's last confirmation reached this proxy through a control machine whose versions it has;
        it survives a restart. None without one.
        """
        if self._subscriber is None:
            return None if self._cached_confirmed_at is None else max(0, now_us - self._cached_confirmed_at)
        return self._subscriber.age_us(now_us)

    @property
    def upstreams(self) -> list[str]:
        """The control machines that it is connected to."""
        return [] if self._subscriber is None else self._subscriber.connected_upstreams

    @property
    def refused(self) -> dict[Key, tuple[Version, str]]:
        """Rejected versions with the reason, by resource."""
        if self._subscriber is None:
            return {}
        return {key: (mark.version, reason) for key, (mark, reason) in self._subscriber.refused.items()}

    # --- the subscriber's effects -------------------------------------------------------------------

    def _wake(self) -> None:
        if self._stopped or self._subscriber is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = clock.now()
        due = self._subscriber.wake(now)
        self._perform_effects()
        self._timer = asyncio.get_running_loop().call_later(max(0.001, (due - now) / 1e6), self._wake)
        if (
            self._cache_path is not None
            and now - self._confirmation_written_at >= CONFIRMATION_WRITE_US
            and not self._cache_outdated
        ):
            self._confirmation_written_at = now
            if self._subscriber.confirmed_at is not None:
                resource_cache.touch(self._cache_path, self._subscriber.confirmed_at)

    def _perform_effects(self) -> None:
        """Performs the effects of the subscriber."""
        subscriber = self._subscriber
        assert subscriber is not None
        while subscriber.effects and not self._stopped:
            effects, subscriber.effects = subscriber.effects, []
            for effect in effects:
                if isinstance(effect, Send):
                    link = self._outgoing.links.get(effect.upstream)
                    if link is not None:
                        link.send(wire.encode(effect.message))
                elif isinstance(effect, Connect):
                    self._connect(effect.upstream)
                elif isinstance(effect, Close):
                    self._outgoing.close(effect.upstream)
                elif isinstance(effect, Apply):
                    self._start_applying(effect.resource)
                elif isinstance(effect, LogEvent):
                    self._say(effect.message, **effect.fields)
        for counter in ("connects", "snapshots", "deltas", "wants", "refused"):
            self.counts[counter] = subscriber.counts[counter]

    def _connect(self, upstream: str) -> None:
        link = Link(
            Session(self._key, True, MAX_MESSAGE_BYTES), partial(self._link_opened, upstream),
            partial(self._message_received, upstream), partial(self._link_ended, upstream), self.counts,
        )  # fmt: skip
        self._outgoing.connect(upstream, link)

    def _link_opened(self, upstream: str, link: Link) -> None:
        if self._outgoing.links.get(upstream) is link and self._subscriber is not None:
            self._subscriber.connected(upstream, clock.now())
            self._effects_pending()

    def _message_received(self, upstream: str, link: Link, message: Message) -> None:
        if self._outgoing.links.get(upstream) is link and self._subscriber is not None:
            self._subscriber.received(upstream, message, clock.now())
            if self._on_freshness is not None and isinstance(message, Heartbeat) and message.freshness:
                self._on_freshness(message.freshness)
            # Most messages are heartbeats, which make nothing due sooner.
            if self._subscriber.effects or not isinstance(message, Heartbeat):
                self._effects_pending()

    def _link_ended(self, upstream: str, link: Link, reason: str) -> None:
        """Handles the end of a connection, and logs it if the other side is no valid control machine."""
        if self._outgoing.links.get(upstream) is not link or self._subscriber is None:
            return
        del self._outgoing.links[upstream]
        if reason.startswith(("not of", "of form", "with a wrong", "authentic, but", "a frame", "a message")):
            self._say("a control machine sent invalid data", upstream=upstream, why=reason)
        self._subscriber.disconnected(upstream, clock.now())
        self._wake()

    def _effects_pending(self) -> None:
        """Performs the pending effects and restarts the timer, since something may be due sooner."""
        self._perform_effects()
        self._wake()

    # --- applying resources -------------------------------------------------------------------------

    def _start_applying(self, resource: Resource) -> None:
        task = asyncio.get_running_loop().create_task(self._apply_and_report(resource))
        self._apply_tasks.add(task)
        task.add_done_callback(self._apply_tasks.discard)

    async def _apply_resource(self, resource: Resource) -> str | None:
        """Applies a resource. Returns None, or the reason for rejecting it."""
        try:
            result = self._apply(resource)
            if inspect.isawaitable(result):
                result = await result
            return result if result is None else one_line(result) or "no reason given"
        except Exception as error:  # an error while applying is a rejection; the old version stays in force
            return one_line(f"{type(error).__name__}: {error}")

    async def _apply_and_report(self, resource: Resource) -> None:
        """Applies a resource and reports the outcome to the control machines."""
        reason = await self._apply_resource(resource)
        if self._stopped or self._subscriber is None:
            return
        if reason is None:
            self.in_force[resource.key] = resource.version
        self._subscriber.applied(resource, reason, clock.now())
        self._effects_pending()
        if reason is None and not self._provisional:
            self.confirm(resource.key)

    def confirm(self, key: Key) -> None:
        """The version in force is confirmed, and is written to the cache."""
        if self._stopped or self._subscriber is None or key not in self._subscriber.resources:
            return
        self._confirmed[key] = self._subscriber.resources[key]
        if self._cache_path is not None:
            self._cache_outdated = True
            if self._write_task is None:
                self._write_task = asyncio.get_running_loop().create_task(self._write_loop())

    def revert(self, key: Key, reason: str) -> None:
        """The last confirmed version is in force again; the one that was rolled back counts as rejected."""
        if self._stopped or self._subscriber is None:
            return
        confirmed = self._confirmed.get(key)
        self._subscriber.reverted(key, confirmed, reason)
        if confirmed is None:
            self.in_force.pop(key, None)
        else:
            self.in_force[key] = confirmed.version
        self._effects_pending()

    async def _write_loop(self) -> None:
        """Writes the cache until it is up to date."""
        try:
            while self._cache_outdated and not self._stopped:
                await self._write_cache()
        finally:
            self._write_task = None

    async def _write_cache(self) -> None:
        assert self._cache_path is not None and self._subscriber is not None
        self._cache_outdated = False
        resources = list(self._confirmed.values())
        confirmed_at = self._subscriber.confirmed_at or clock.now()
        error = await asyncio.to_thread(resource_cache.write, self._cache_path, resources, confirmed_at)
        if error:
            self._say("the cache of distributed resources can't be written", why=error)


__all__ = ["InvalidPacketError", "Client"]
