"""A proxy's side of distribution under asyncio: the same for a whole proxy and for a hollow one.

Never on a ticket's path: with all control machines gone, what is in force stays so, and what was kept is
taken at a start.
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
from pepperusher.distribution.link import Calls, Link
from pepperusher.distribution.subscriber import Apply, Close, Connect, Say, Send, Subscriber
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    LONGEST_MESSAGE,
    Heartbeat,
    Key,
    Message,
    Resource,
    Version,
    FreshnessReport,
    one_line,
)
from pepperusher.net import clock
from pepperusher.packet_authentication import BadPacket

# When a control machine last confirmed what is held is written down so often.
TOUCH_EVERY = 10_000_000


def _unheard(what: str, **figures: object) -> None:
    pass


class Client:
    """`upstreams` are all control machines, each with its region where that is known: those of this proxy's own
    are used before others. `names` are the resources that this proxy uses; nothing else is sent to it. `apply` takes one whole: None for in force, a text for refused with this reason; it may be a
    coroutine function. What `keep` holds is taken by it at the start. Its connections come from
    `local`; "" for whichever address leads there.

    With `provisional` what is in force is kept only once `confirm` says that it lasts; `undone` says that it
    did not. `words` hears what control machines say of how old facts are.
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
        say: Callable[..., None] = _unheard,
        provisional: bool = False,
        on_freshness: Callable[[Sequence[FreshnessReport]], None] | None = None,
    ) -> None:
        self._addresses = {f"{one[0]}:{one[1]}": (one[0], one[1]) for one in upstreams}
        self._near = [f"{one[0]}:{one[1]}" for one in upstreams if region and one[2:] == (region,)]
        self._names, self._apply, self._key, self._say = list(names), apply, key, say
        self._name, self._region, self._zone = name, region, zone
        self._chance = Random(seed)
        self._keep = cache_path
        self.counts: Counter[str] = Counter()
        self.in_force: dict[Key, Version] = {}
        self._calls = Calls(self._addresses, local_address)
        self._applying: set[asyncio.Task[None]] = set()  # one a resource at the most
        self._writing: asyncio.Task[None] | None = None
        self._unwritten = False
        self._touched_at = 0
        self._timer: asyncio.TimerHandle | None = None
        self._beginning: asyncio.Task[None] | None = None
        self._gone = False
        self._subscriber: Subscriber | None = None
        self._kept_at: int | None = None
        self._provisional = provisional
        self._words = on_freshness
        self._lasting: dict[Key, Resource] = {}  # as many as there are names

    # --- start and end ------------------------------------------------------------------------------

    def start(self) -> None:
        """At once; what was kept is taken before anything else is."""
        self._beginning = asyncio.get_running_loop().create_task(self._begin())

    async def _begin(self) -> None:
        held: list[Resource] = []
        if self._keep is not None:
            kept, self._kept_at, why = resource_cache.read(self._keep, set(self._names))
            if why:
                self._say("what was kept of distribution can't be read", why=why)
            for one in kept:
                reason = await self._made(one)
                if reason is None:
                    held.append(one)
                    self.in_force[one.key] = one.version
                    self._lasting[one.key] = one
                else:
                    self._say(
                        "what was kept is not taken", resource="/".join(one.key), version=str(one.version), why=reason
                    )
        now = clock.now()
        self._subscriber = Subscriber(
            self._name, int.from_bytes(os.urandom(8)) >> 1, self._region, self._zone, list(self._addresses),
            self._names, held, self._chance, now, near=self._near,
        )  # fmt: skip
        self._subscriber.confirmed_at = self._kept_at
        self._wake()

    async def stop(self) -> None:
        """What is in force is on disk, and the control machines see the connections end."""
        links = list(self._calls.links.values())
        self._end()
        for link in links:
            link.close()
        if self._writing is not None:
            await asyncio.wait([self._writing])
        if self._keep is not None and self._unwritten:
            await self._write()

    def kill(self) -> None:
        """Gone without a word, as a process that is killed."""
        links = list(self._calls.links.values())
        self._end()
        for link in links:
            link.abort("killed")

    def _end(self) -> None:
        self._gone = True
        if self._timer is not None:
            self._timer.cancel()
        if self._beginning is not None:
            self._beginning.cancel()
        self._calls.cancel()
        for task in self._applying:
            task.cancel()
        self._calls.links.clear()

    def age(self, now_us: int) -> int | None:
        """us since the origin's word last reached here by a control machine whose versions this has; over a
        restart too. None where none ever did.
        """
        if self._subscriber is None:
            return None if self._kept_at is None else max(0, now_us - self._kept_at)
        return self._subscriber.age(now_us)

    @property
    def upstreams(self) -> list[str]:
        """Those that it is connected to."""
        return [] if self._subscriber is None else self._subscriber.up

    @property
    def refused(self) -> dict[Key, tuple[Version, str]]:
        if self._subscriber is None:
            return {}
        return {key: (mark.version, why) for key, (mark, why) in self._subscriber.refused.items()}

    # --- the subscriber's effects -------------------------------------------------------------------

    def _wake(self) -> None:
        if self._gone or self._subscriber is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = clock.now()
        due = self._subscriber.wake(now)
        self._perform_effects()
        self._timer = asyncio.get_running_loop().call_later(max(0.001, (due - now) / 1e6), self._wake)
        if self._keep is not None and now - self._touched_at >= TOUCH_EVERY and not self._unwritten:
            self._touched_at = now
            if self._subscriber.confirmed_at is not None:
                resource_cache.touch(self._keep, self._subscriber.confirmed_at)

    def _perform_effects(self) -> None:
        subscriber = self._subscriber
        assert subscriber is not None
        while subscriber.effects and not self._gone:
            out, subscriber.effects = subscriber.effects, []
            for effect in out:
                if isinstance(effect, Send):
                    link = self._calls.links.get(effect.upstream)
                    if link is not None:
                        link.send(wire.encode(effect.message))
                elif isinstance(effect, Connect):
                    self._connect(effect.upstream)
                elif isinstance(effect, Close):
                    self._calls.close(effect.upstream)
                elif isinstance(effect, Apply):
                    self._take(effect.resource)
                elif isinstance(effect, Say):
                    self._say(effect.what, **effect.figures)
        for what in ("connects", "snapshots", "deltas", "wants", "refused"):
            self.counts[what] = subscriber.counts[what]

    def _connect(self, upstream: str) -> None:
        link = Link(
            Session(self._key, True, LONGEST_MESSAGE), partial(self._opened, upstream),
            partial(self._message_received, upstream), partial(self._ended, upstream), self.counts,
        )  # fmt: skip
        self._calls.connect(upstream, link)

    def _opened(self, upstream: str, link: Link) -> None:
        if self._calls.links.get(upstream) is link and self._subscriber is not None:
            self._subscriber.connected(upstream, clock.now())
            self._later()

    def _message_received(self, upstream: str, link: Link, message: Message) -> None:
        if self._calls.links.get(upstream) is link and self._subscriber is not None:
            self._subscriber.received(upstream, message, clock.now())
            if self._words is not None and isinstance(message, Heartbeat) and message.words:
                self._words(message.words)
            # By far the most are beats, and nothing is due sooner for them.
            if self._subscriber.effects or not isinstance(message, Heartbeat):
                self._later()

    def _ended(self, upstream: str, link: Link, why: str) -> None:
        if self._calls.links.get(upstream) is not link or self._subscriber is None:
            return
        del self._calls.links[upstream]
        if why.startswith(("not of", "of form", "with a wrong", "sound, but", "a frame", "a message")):
            self._say("a control machine is not believed", upstream=upstream, why=why)
        self._subscriber.lost(upstream, clock.now())
        self._wake()

    def _later(self) -> None:
        """Effects now; and the timer anew, since something may be due sooner."""
        self._perform_effects()
        self._wake()

    # --- taking -------------------------------------------------------------------------------------

    def _take(self, one: Resource) -> None:
        task = asyncio.get_running_loop().create_task(self._taken(one))
        self._applying.add(task)
        task.add_done_callback(self._applying.discard)

    async def _made(self, one: Resource) -> str | None:
        try:
            made = self._apply(one)
            if inspect.isawaitable(made):
                made = await made
            return made if made is None else one_line(made) or "no reason given"
        except Exception as error:  # a fault of ours in taking it is a refusal, and the old stands
            return one_line(f"{type(error).__name__}: {error}")

    async def _taken(self, one: Resource) -> None:
        reason = await self._made(one)
        if self._gone or self._subscriber is None:
            return
        if reason is None:
            self.in_force[one.key] = one.version
        self._subscriber.applied(one, reason, clock.now())
        self._later()
        if reason is None and not self._provisional:
            self.confirm(one.key)

    def confirm(self, key: Key) -> None:
        """What is in force lasts, and is kept."""
        if self._gone or self._subscriber is None or key not in self._subscriber.held:
            return
        self._lasting[key] = self._subscriber.held[key]
        if self._keep is not None:
            self._unwritten = True
            if self._writing is None:
                self._writing = asyncio.get_running_loop().create_task(self._keeping())

    def revert(self, key: Key, reason: str) -> None:
        """What lasted before is in force again; the one undone counts as refused."""
        if self._gone or self._subscriber is None:
            return
        before = self._lasting.get(key)
        self._subscriber.undone(key, before, reason)
        if before is None:
            self.in_force.pop(key, None)
        else:
            self.in_force[key] = before.version
        self._later()

    async def _keeping(self) -> None:
        try:
            while self._unwritten and not self._gone:
                await self._write()
        finally:
            self._writing = None

    async def _write(self) -> None:
        assert self._keep is not None and self._subscriber is not None
        self._unwritten = False
        held = list(self._lasting.values())
        confirmed_at = self._subscriber.confirmed_at or clock.now()
        why = await asyncio.to_thread(resource_cache.write, self._keep, held, confirmed_at)
        if why:
            self._say("what is in force can't be kept", why=why)


__all__ = ["BadPacket", "Client"]
