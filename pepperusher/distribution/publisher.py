"""What one control machine has, to whom it is sent, and what they made of it; free of I/O.

State and not a log: of each resource the newest version, the steady one (the last that went everywhere), and
a few bodies before them to make deltas of. A subscriber has a set of resources that it is to be sent, and the
message is made when it can be written: whoever is slow is sent the newest then, and holds the names alone.
"""

from __future__ import annotations

import hashlib
from collections import Counter, OrderedDict
from heapq import nsmallest
from typing import NamedTuple

from pepperusher.distribution import delta, wire
from pepperusher.distribution.messages import (
    KINDS,
    LONGEST_BODY,
    MOST_RESOURCES,
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

# A change goes out in waves: to these parts of the proxies, by a hash of their names and of the version, and
# to so many of those that are sent bodies from here at the least: one alone tells little before all are sent it.
# A wave ends once all of it have answered, after so long where nine in ten have, or after the second time whoever
# has: a machine that is slow for all would else send a change to all before it heard that some refuse it.
# No machine goes on before the others are as far, each told by its offers: those that refuse may all be one machine's,
# as where a region has its own. A machine that has the version is waited for as long as a wave lasts at the most, one
# that hasn't it yet as long as a wave lasts where nearly all answered, from when it came here.
WAVE_FRACTIONS = (0.02, 0.2, 1.0)
WAVES_LEAST = (1, 5, 0)
WAVE_WITHIN = 1_500_000
WAVE_TIMEOUT_US = 3_000_000
# It stops where two or more refused it and these are at least a tenth of those that answered, at once from so
# many on and else at the end of a wave; and where a wave ends with nobody but such as refused it.
REFUSED_PART = 0.1
REFUSED_LEAST = 2
REFUSED_AT_ONCE = 3
# A proxy asks for a body beside what it is sent only where something went wrong.
MOST_WANTS = 32
WANTS_A_SECOND = 2.0
# Bodies before the newest that deltas are made from, and how much of them.
MAX_DELTA_BASES = 4
BEFORE_BYTES = 8 * 1024 * 1024
# A name whose process spoke this lately is not another's; longer than they are silent between two words.
DOUBLED_WITHIN = 4_000_000
# Who has gone is known for so long, and so many at the most.
GONE_KEPT = 600_000_000
MOST_PROXIES = 20_000


class RejectedUpdateError(ValueError):
    """A change that can't be written now; its text is one line."""


def place_of(name: str, version: Version) -> float:
    """Where among the proxies one stands in the waves of a version, from 0 to 1; the same at every control
    machine, and another with each version, so that nobody is the first each time.
    """
    number = hashlib.blake2b(f"{version} {name}".encode(), digest_size=8).digest()
    return int.from_bytes(number) / 2**64


class StoredResource:
    """One resource, as this control machine has it."""

    __slots__ = (
        "newest", "steady", "halted", "before", "wave", "wave_at", "begun_at", "heard", "bar", "subscribers", "cache",
        "ahead",
    )  # fmt: skip

    def __init__(self, newest: Resource) -> None:
        self.newest = newest
        self.steady: Resource | None = None
        self.halted = ""
        self.before: OrderedDict[Version, Resource] = OrderedDict()  # BEFORE at the most
        self.wave = 0
        self.wave_at = self.begun_at = 0
        self.heard = 0  # of so many waves
        self.bar = 0.0
        self.subscribers: set[int] = set()  # emptied as they leave
        # Messages of this version as bytes, by the base that they are for: emptied with each version.
        self.cache: dict[Version | None, bytes] = {}
        self.ahead = NO_VERSION  # the newest that anybody else showed

    @property
    def done(self) -> bool:
        return self.steady is self.newest


class Subscriber:
    """One connection, as long as it lasts."""

    __slots__ = ("hello", "names", "known", "bodies", "dirty", "wants", "offered", "may_want", "may_want_at")

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.names: frozenset[Key] | None = None if hello.role == RELAY else frozenset(map(tuple, hello.names))  # type: ignore[arg-type]
        self.known: dict[Key, Mark] = {one.key: one.mark for one in hello.have}
        self.bodies = hello.bodies
        self.dirty: dict[Key, None] = {}  # in order; as many as it subscribes to at the most
        self.wants: set[tuple[Key, bool]] = set()  # twice as many
        self.offered: dict[Key, tuple[object, ...]] = {}  # as many
        self.may_want = float(MOST_WANTS if hello.role == PROXY else MOST_RESOURCES)
        self.may_want_at = 0


class ProxyRecord:
    """What is known of a proxy by its name, connected or not."""

    __slots__ = ("connection", "heard_at", "region", "in_force", "refused")

    def __init__(self, region: str) -> None:
        self.connection: int | None = None
        self.heard_at = 0
        self.region = region
        self.in_force: dict[Key, Version] = {}  # as many as it subscribes to
        self.refused: dict[Key, tuple[Version, str]] = {}


class PublisherEvent(NamedTuple):
    """For the log."""

    what: str
    figures: dict[str, object]


class Publisher:
    """`epoch` is the origin's; None where it is none. `writes` are the facts' region that it owns, "" for none.

    After each call `pending` holds the connections that have something to be sent: `next_for` makes it.
    """

    def __init__(self, name: str, region: str, epoch: int | None, owner: bool, peers: int, now: int) -> None:
        self.name, self.region, self.epoch, self.owner = name, region, epoch, owner
        self.resources: dict[Key, StoredResource] = {}  # MOST_RESOURCES at the most
        self.subscribers: dict[int, Subscriber] = {}  # emptied as they leave
        self.proxies: dict[str, ProxyRecord] = {}  # emptied GONE_KEPT after they left
        self.pending: dict[int, None] = {}
        self.replaced: list[int] = []  # connections whose name has come again: to be closed
        self.lines: list[PublisherEvent] = []
        self.keep: dict[Key, None] = {}  # resources that are to be written to disk
        self.counts: Counter[str] = Counter()
        self.confirmed: tuple[int, int] = (epoch or 0, now if epoch is not None else 0)
        self.confirmed_at = now
        self._rolling: set[Key] = set()
        # What the other control machines have, and of how many waves of it they have heard, by upstream: emptied as
        # they are lost, and of as many resources as there are here.
        self._elsewhere: dict[str, dict[Key, tuple[Version, int]]] = {}
        self._peers = peers
        self.compared: set[str] = set()  # control machines that showed what they have since the start
        # What others showed that is newer than what is here, and of that what other control machines have, so
        # that it is being fetched: as many as there are resources, emptied as it comes.
        self._ahead: dict[Key, Version] = {}
        self._fetched: dict[Key, Version] = {}

    # --- what there is ------------------------------------------------------------------------------

    def restore(self, newest: Resource, steady: Resource | None, halted: str, now: int) -> None:
        """From this machine's disk, at a start."""
        held = self.resources[newest.key] = StoredResource(newest)
        held.halted = halted
        if steady is not None and steady.version == newest.version:
            held.steady = newest
        elif steady is not None:
            held.steady = steady
            self._keep_base(held, steady)
        self._begin(held, now)

    def _begin(self, held: StoredResource, now: int) -> None:
        held.wave, held.wave_at, held.begun_at, held.heard = 0, now, now, 0
        if held.newest.fact:
            held.steady = held.newest
        if held.done or held.halted:
            self._rolling.discard(held.newest.key)
        else:
            self._rolling.add(held.newest.key)
        self._set_bar(held)

    def _set_bar(self, held: StoredResource) -> None:
        """How far the wave reaches."""
        places = [
            place_of(one.hello.name, held.newest.version)
            for one in map(self.subscribers.__getitem__, held.subscribers)
            if one.hello.role == PROXY and one.bodies
        ]
        least = nsmallest(WAVES_LEAST[held.wave], places)
        held.bar = max(WAVE_FRACTIONS[held.wave], *least, 0.0)

    def draft(self, kind: str, name: str, body: bytes, now: int) -> Resource:
        """The version that a change would become here. Raises RejectedUpdateError.

        Its number is the time in milliseconds, or one more than the last where that is greater: an origin with
        an old disk that nobody can tell of what it lost must not give a number twice.
        """
        if kind not in KINDS:
            raise RejectedUpdateError(f"{kind!r} is none of {', '.join(KINDS)}")
        if not name or len(name) > 100 or not name.isprintable():
            raise RejectedUpdateError(f"{name[:100]!r} is no name")
        if len(body) > LONGEST_BODY:
            raise RejectedUpdateError(f"is over {LONGEST_BODY} bytes")
        fact, held = KINDS[kind], self.resources.get((kind, name))
        if fact and not (self.owner and name.startswith(f"{self.region}/")):
            raise RejectedUpdateError(f"{self.name} does not own the facts of {name.partition('/')[0]}")
        if not fact and self.epoch is None:
            raise RejectedUpdateError(f"{self.name} is not the origin")
        if not fact and len(self.compared) < (self._peers + 1) // 2:
            raise RejectedUpdateError(
                f"{self.name} has compared with {len(self.compared)} of {self._peers} other control machines since"
                f" its start, and begins to write at {(self._peers + 1) // 2}"
            )
        if held is None and len(self.resources) >= MOST_RESOURCES:
            raise RejectedUpdateError(f"there are {MOST_RESOURCES} resources already")
        last = held.newest.version if held is not None else NO_VERSION
        ahead = max(last, self._ahead.get((kind, name), NO_VERSION))
        # A fact has the one owner and no origin: whichever machine that is goes on from what there is.
        epoch = (ahead.epoch or 1) if fact or self.epoch is None else self.epoch
        if epoch < ahead.epoch:
            raise RejectedUpdateError(f"epoch {epoch} of {self.name} is below {ahead.epoch}, which is in use")
        if self._fetched.get((kind, name), NO_VERSION) > last and epoch == ahead.epoch:
            # Whoever writes would go by what was, and undo the newer without having seen it.
            raise RejectedUpdateError(
                f"{ahead} is in use and {self.name} has {last}: it is being fetched; or raise the epoch"
            )
        return make_resource(kind, name, Version(epoch, max(ahead.number + 1, now // 1_000)), body)

    def accept(self, one: Resource, now: int, halted: str = "", steady: bool = False) -> str | None:
        """A version from disk, from the origin or from another control machine. What is wrong with it, or
        None; nothing older ever replaces something newer.
        """
        if one.digest != digest_of(one.body):
            return "its digest is not its body's"
        held = self.resources.get(one.key)
        if steady and held is not None and one.version < held.newest.version:
            if held.steady is None or one.version > held.steady.version:
                held.steady = one
                # A machine that was away is sent this beside the newest, often after it: what its proxies have.
                self._keep_base(held, one)
                held.cache.clear()
                self._mark(held)
                self.keep[one.key] = None
            return None
        if held is None:
            if len(self.resources) >= MOST_RESOURCES:
                return f"there are {MOST_RESOURCES} resources already"
            held = self.resources[one.key] = StoredResource(one)
            for id, sub in self.subscribers.items():
                if sub.names is None or one.key in sub.names:
                    held.subscribers.add(id)
        else:
            last = held.newest
            if one.version == last.version:
                if one.digest != last.digest:
                    self._forked(one.key, one.version, "another control machine")
                    return "two contents under one version"
                return None
            if one.version < last.version:
                self.counts["older left"] += 1
                return None
            self._keep_base(held, last)
            held.newest = one
        held.cache.clear()
        held.halted = halted
        if steady:
            held.steady = one
        if self._ahead.get(one.key, NO_VERSION) <= one.version:
            self._ahead.pop(one.key, None)
        if self._fetched.get(one.key, NO_VERSION) <= one.version:
            self._fetched.pop(one.key, None)
        self._begin(held, now)
        self._mark(held)
        self.keep[one.key] = None
        self.counts["versions"] += 1
        return None

    def _keep_base(self, held: StoredResource, one: Resource) -> None:
        """To make deltas from, whatever becomes steady later; in the order of versions, of which the oldest go."""
        held.before[one.version] = one
        for version in sorted(held.before):
            held.before.move_to_end(version)
        while len(held.before) > MAX_DELTA_BASES or (
            len(held.before) > 1 and sum(len(old.body) for old in held.before.values()) > BEFORE_BYTES
        ):
            held.before.popitem(last=False)

    def halt(self, key: Key, version: Version, why: str) -> None:
        """Not another proxy is sent this version."""
        held = self.resources.get(key)
        if held is None or held.newest.version != version or held.halted or held.newest.fact:
            return
        if held.done:
            held.steady = next(reversed(held.before.values()), None)
        held.halted = one_line(why)
        held.cache.clear()
        self._rolling.discard(key)
        self.keep[key] = None
        self.lines.append(
            PublisherEvent("a change is halted", {"resource": "/".join(key), "version": str(version), "why": why})
        )
        self._mark(held)

    def _mark(self, held: StoredResource) -> None:
        """Whoever subscribes may have something coming."""
        key = held.newest.key
        for id in held.subscribers:
            self.subscribers[id].dirty[key] = None
            self.pending[id] = None

    def _forked(self, key: Key, version: Version, by: str) -> None:
        """Two contents under one version: two wrote as the origin. Neither replaces the other; the next
        version, or another epoch, ends it.
        """
        self.counts["forked"] += 1
        self.lines.append(
            PublisherEvent(
                "two contents under one version", {"resource": "/".join(key), "version": str(version), "by": by}
            )
        )

    # --- who subscribes -----------------------------------------------------------------------------

    def doubled(self, hello: Hello, now: int) -> bool:
        """Whether another process lives under this name: it spoke just now, and is not this one."""
        proxy = self.proxies.get(hello.name)
        if hello.role != PROXY or proxy is None or proxy.connection is None:
            return False
        there = self.subscribers[proxy.connection].hello
        return there.life != hello.life and now - proxy.heard_at < DOUBLED_WITHIN

    def add_subscriber(self, id: int, hello: Hello, now: int) -> None:
        sub = self.subscribers[id] = Subscriber(hello)
        if hello.role == PROXY:
            proxy = self.proxies.get(hello.name)
            if proxy is None:
                self._make_room()
                proxy = self.proxies[hello.name] = ProxyRecord(hello.region)
            if proxy.connection is not None:
                self.replaced.append(proxy.connection)
            proxy.connection, proxy.heard_at, proxy.region = id, now, hello.region
            assert sub.names is not None
            proxy.in_force = {key: mark.version for key, mark in sub.known.items() if key in sub.names}
            proxy.refused = {one.key: (one.version, one.reason) for one in hello.refused if one.key in sub.names}
        elif hello.role == RELAY:
            self.compared.add(hello.name)
        for key, mark in sub.known.items():
            self._shown(key, mark, hello.name, hello.role == RELAY)
        for key in self.resources if sub.names is None else sub.names:
            held = self.resources.get(key)
            if held is not None:
                held.subscribers.add(id)
                sub.dirty[key] = None
                if key in self._rolling and len(held.subscribers) == 1:
                    self._set_bar(held)
        self.pending[id] = None

    def _make_room(self) -> None:
        if len(self.proxies) >= MOST_PROXIES:
            gone = min(
                (name for name, one in self.proxies.items() if one.connection is None),
                key=lambda name: self.proxies[name].heard_at,
                default=None,
            )
            if gone is not None:
                del self.proxies[gone]

    def _shown(self, key: Key, mark: Mark, by: str, relay: bool) -> None:
        """Somebody has this version: this machine's own may be of an old disk."""
        held = self.resources.get(key)
        last = held.newest.version if held is not None else NO_VERSION
        if (
            relay
            and mark.version > max(last, self._fetched.get(key, NO_VERSION))
            and len(self._fetched) < MOST_RESOURCES
        ):
            self._fetched[key] = mark.version
        if mark.version > max(last, self._ahead.get(key, NO_VERSION)):
            if len(self._ahead) < MOST_RESOURCES:
                self._ahead[key] = mark.version
            self.counts["behind"] += 1
            self.lines.append(
                PublisherEvent(
                    "older here than elsewhere",
                    {"resource": "/".join(key), "here": str(last), "there": str(mark.version), "by": by},
                )
            )
        elif held is not None and mark.version == last and mark.digest != held.newest.digest:
            self._forked(key, last, by)

    def leave(self, id: int, now: int) -> None:
        sub = self.subscribers.pop(id, None)
        self.pending.pop(id, None)
        if sub is None:
            return
        for key in self.resources if sub.names is None else sub.names:
            if key in self.resources:
                self.resources[key].subscribers.discard(id)
        proxy = self.proxies.get(sub.hello.name)
        if proxy is not None and proxy.connection == id:
            proxy.connection, proxy.heard_at = None, now

    # --- what they say ------------------------------------------------------------------------------

    def heard(self, id: int, now: int) -> None:
        sub = self.subscribers[id]
        if sub.hello.role == PROXY and (proxy := self.proxies.get(sub.hello.name)) is not None:
            proxy.heard_at = now

    def ack(self, id: int, one: Ack, now: int) -> None:
        sub = self.subscribers[id]
        proxy = self.proxies.get(sub.hello.name)
        if proxy is None or sub.names is None or one.key not in sub.names:
            return
        if one.reason:
            if proxy.refused.get(one.key, (NO_VERSION, ""))[0] < one.version:
                proxy.refused[one.key] = one.version, one.reason
                self.counts["refused"] += 1
                if proxy.in_force.get(one.key) == one.version:
                    # It was taken, did harm, and was undone.
                    del proxy.in_force[one.key]
                self._has_still(sub, one.key, proxy.in_force.get(one.key, NO_VERSION))
                held = self.resources.get(one.key)
                if held is not None and held.newest.version == one.version and not held.halted:
                    self._judge(one.key, now)
        else:
            # As it says and not the greatest: a process that was made anew may have less.
            proxy.in_force[one.key] = one.version
            self.counts["in force"] += 1
            if one.version > sub.known.get(one.key, Mark(*NO_VERSION, "")).version:
                # By way of its other upstream: from here on deltas are made from that.
                self._has_still(sub, one.key, one.version)

    def _has_still(self, sub: Subscriber, key: Key, version: Version) -> None:
        """One that refused what it was sent has the one before: deltas are made from that."""
        held = self.resources.get(key)
        if held is None:
            return
        for old in (held.newest, *held.before.values(), *((held.steady,) if held.steady else ())):
            if old.version == version:
                sub.known[key] = mark_of(old)
                return
        sub.known.pop(key, None)

    def want(self, id: int, key: Key, steady: bool, base: Mark | None, now: int) -> None:
        """Whoever wants more often than anybody need is not sent more for it."""
        sub = self.subscribers[id]
        proxy = sub.hello.role == PROXY
        most, again = (MOST_WANTS, WANTS_A_SECOND) if proxy else (MOST_RESOURCES, MOST_RESOURCES)
        sub.may_want = min(most, sub.may_want + again * (now - sub.may_want_at) / 1e6)
        sub.may_want_at = now
        if sub.may_want < 1.0:
            self.counts["wants left"] += 1
            return
        sub.may_want -= 1.0
        if sub.names is not None and (key not in sub.names or steady):
            return
        sub.wants.add((key, steady))
        if key in self.resources:
            if not steady and base is not None:
                sub.known[key] = base
            elif not steady:
                sub.known.pop(key, None)
            sub.dirty[key] = None
            self.pending[id] = None
        else:
            sub.wants.discard((key, steady))

    def bodies(self, id: int, on: bool) -> None:
        sub = self.subscribers[id]
        sub.bodies = on
        sub.offered.clear()
        for key in sub.names or ():
            if key in self.resources:
                sub.dirty[key] = None
        self.pending[id] = None

    # --- what they are sent -------------------------------------------------------------------------

    def _for(self, name: str, held: StoredResource) -> Resource | None:
        """The version that a proxy is to have now."""
        if held.done:
            return held.newest
        if not held.halted and place_of(name, held.newest.version) <= held.bar:
            return held.newest
        return held.steady

    def next_message(self, id: int) -> bytes | None:
        """The next message for a connection that can be written to; None where there is none."""
        sub = self.subscribers.get(id)
        while sub is not None and sub.dirty:
            key = next(iter(sub.dirty))
            made = self._to_relay(sub, key) if sub.names is None else self._to_proxy(sub, key)
            if made is not None:
                return made
            sub.dirty.pop(key, None)
        self.pending.pop(id, None)
        return None

    def _to_relay(self, sub: Subscriber, key: Key) -> bytes | None:
        """Offers, and the bodies that it wants."""
        held = self.resources[key]
        # What is steady goes along, and is no news of its own: it counts where a version is halted, and to one
        # that comes anew.
        said = (held.newest.version, held.halted, held.heard)
        if sub.offered.get(key) != said:
            sub.offered[key] = said
            return wire.encode(
                Offer(*key, mark_of(held.newest), held.halted, held.steady and mark_of(held.steady), held.heard)
            )
        if (key, True) in sub.wants:
            sub.wants.discard((key, True))
            if held.steady is not None and not held.done:
                return wire.encode(Snapshot(*key, mark_of(held.steady), held.steady.body, True))
        if (key, False) in sub.wants:
            sub.wants.discard((key, False))
            known, sub.known[key] = sub.known.get(key), mark_of(held.newest)
            return self._update(held, held.newest, known)
        return None

    def _to_proxy(self, sub: Subscriber, key: Key) -> bytes | None:
        held = self.resources[key]
        one = self._for(sub.hello.name, held)
        wanted = (key, False) in sub.wants
        sub.wants.discard((key, False))
        if one is None:
            return None
        known = sub.known.get(key)
        if known is not None and known.version >= one.version:
            return None
        refused = self.proxies[sub.hello.name].refused.get(key) if sub.hello.name in self.proxies else None
        if refused is not None and refused[0] == one.version:
            return None
        if not sub.bodies and not wanted:
            if sub.offered.get(key) == (one.version,):
                return None
            sub.offered[key] = (one.version,)
            return wire.encode(Offer(*key, mark_of(one)))
        sub.known[key] = mark_of(one)
        return self._update(held, one, known)

    def _snapshot(self, held: StoredResource, one: Resource) -> bytes:
        if one is not held.newest:
            return wire.encode(Snapshot(*one.key, mark_of(one), one.body))
        made = held.cache.get(None)
        if made is None:
            made = held.cache[None] = wire.encode(Snapshot(*one.key, mark_of(one), one.body))
        self.counts["snapshots"] += 1
        return made

    def _update(self, held: StoredResource, one: Resource, known: Mark | None) -> bytes:
        base = held.before.get(known.version) if known is not None else None
        if base is None and known is not None and held.steady is not None and held.steady.version == known.version:
            base = held.steady  # older than all that is kept before the newest
        if base is None or known is None or base.digest != known.digest or one is not held.newest:
            return self._snapshot(held, one)
        made = held.cache.get(base.version)
        if made is None:
            ops = delta.made(base.body, one.body)
            if delta.size(ops) >= len(one.body):
                made = wire.encode(Snapshot(*one.key, mark_of(one), one.body))
            else:
                made = wire.encode(Delta(*one.key, mark_of(one), mark_of(base), ops))
            held.cache[base.version] = made
        self.counts["deltas"] += 1
        return made

    # --- time ---------------------------------------------------------------------------------------

    def tick(self, now: int) -> None:
        """A few times a second."""
        for key in list(self._rolling):
            self._judge(key, now, now - self.resources[key].wave_at)
        if self.epoch is not None:
            self.confirmed, self.confirmed_at = (self.epoch, now), now

    def forget(self, now: int) -> None:
        """Now and then: who has been gone for long."""
        for name in [
            name for name, one in self.proxies.items() if one.connection is None and now - one.heard_at >= GONE_KEPT
        ]:
            del self.proxies[name]

    def _judge(self, key: Key, now: int, spent: int = 0) -> None:
        """Whether the wave goes on, is over after `spent` microseconds, or the change is halted."""
        held = self.resources[key]
        version = held.newest.version
        sent = answered = refused = 0
        reason = ""
        for id in held.subscribers:
            name = self.subscribers[id].hello.name
            proxy = self.proxies.get(name)
            if proxy is None or proxy.connection != id or place_of(name, version) > held.bar:
                continue
            if key in self.subscribers[id].dirty and id not in self.pending:
                continue  # it does not take what it is sent: the others don't wait for it
            no = proxy.refused.get(key)
            answers = proxy.in_force.get(key, NO_VERSION) >= version or (no is not None and no[0] == version)
            if not answers and not self.subscribers[id].bodies:
                continue  # another machine sends it there, by waves of its own
            sent += 1
            answered += answers
            if no is not None and no[0] == version:
                refused, reason = refused + 1, no[1]
        heard = answered == sent > 0 or spent >= WAVE_WITHIN and 10 * answered >= 9 * sent or spent >= WAVE_TIMEOUT_US
        over = key in self._rolling and heard
        many = refused >= REFUSED_LEAST and refused >= REFUSED_PART * answered
        if (many and (over or refused >= REFUSED_AT_ONCE)) or (over and refused and refused == answered):
            self.halt(key, version, f"refused by {refused} of {answered} that answered at {self.name}: {reason}")
        elif held.wave < len(WAVE_FRACTIONS) - 1:
            if over:
                self._heard(held, held.wave + 1)
            elif key in self._rolling and not sent:
                self._ask_others(held)
            if not over or not self._heard_elsewhere(held, now):
                return
            held.wave += 1
            held.wave_at = now
            self._set_bar(held)
            self._mark(held)
        elif over:
            held.steady = held.newest
            self._rolling.discard(key)
            self.keep[key] = None
            self._mark(held)

    def _ask_others(self, held: StoredResource) -> None:
        """Of the wave nobody is there: the nearest of those that came since, or the others are told that nobody is
        to be asked here.
        """
        subs = [self.subscribers[id] for id in held.subscribers]
        if not any(one.hello.role == PROXY and one.bodies for one in subs):
            self._heard(held, len(WAVE_FRACTIONS))
            return
        bar = held.bar
        self._set_bar(held)
        if held.bar > bar:
            self._mark(held)

    def _heard(self, held: StoredResource, waves: int) -> None:
        """Of so many waves: the others are told."""
        if held.heard < waves:
            held.heard = waves
            for id in held.subscribers:
                if self.subscribers[id].names is None:
                    self.subscribers[id].dirty[held.newest.key] = None
                    self.pending[id] = None

    def _heard_elsewhere(self, held: StoredResource, now: int) -> bool:
        """Whether the other control machines have heard of this wave, as far as they are waited for."""
        for those in self._elsewhere.values():
            version, heard = those.get(held.newest.key, (NO_VERSION, 0))
            if version < held.newest.version:
                if now - held.begun_at < WAVE_WITHIN:
                    return False
            elif version == held.newest.version and heard <= held.wave and now - held.wave_at < WAVE_TIMEOUT_US:
                return False
        return True

    def offered(self, upstream: str, offer: Offer, now: int) -> None:
        """By another control machine."""
        those = self._elsewhere.setdefault(upstream, {})
        if offer.key in those or offer.key in self.resources or len(those) < MOST_RESOURCES:
            those[offer.key] = offer.mark.version, offer.heard
        if offer.key in self._rolling and self._heard_elsewhere(self.resources[offer.key], now):
            self._judge(offer.key, now, now - self.resources[offer.key].wave_at)

    def linked(self, upstream: str) -> None:
        """It is there, and tells what it has."""
        self._elsewhere[upstream] = {}

    def unlinked(self, upstream: str) -> None:
        self._elsewhere.pop(upstream, None)

    def follow(self, confirmed: tuple[int, int], at: int | None) -> None:
        """A relay has the origin's word as the subscriber beside it has it, and is as old as that."""
        if self.epoch is None and at is not None:
            self.confirmed, self.confirmed_at = confirmed, at

    def beat(self, now: int) -> Heartbeat:
        if not self.confirmed[1]:
            return Heartbeat()
        return Heartbeat(*self.confirmed, max(0, now - self.confirmed_at))

    # --- what operators ask -------------------------------------------------------------------------

    def rows(self, number: int, key: Key, now: int) -> Rows:
        """What this control machine knows of one resource."""
        held = self.resources.get(key)
        made = []
        for name, proxy in self.proxies.items():
            if proxy.connection is not None:
                names = self.subscribers[proxy.connection].names
                if names is not None and key not in names:
                    continue
            elif key not in proxy.in_force and key not in proxy.refused:
                continue
            refused, reason = proxy.refused.get(key, (NO_VERSION, ""))
            connected = proxy.connection is not None
            made.append(
                Row(name, proxy.region, proxy.in_force.get(key, NO_VERSION), refused, reason, connected,
                    max(0, now - proxy.heard_at))
            )  # fmt: skip
        if held is None:
            return Rows(number, NO_VERSION, "", "", made)
        return Rows(number, held.newest.version, held.newest.digest, held.halted, made)

    def figures(self) -> dict[str, int | str]:
        return {
            **self.counts,
            "resources": len(self.resources),
            "subscribers": len(self.subscribers),
            "proxies known": len(self.proxies),
            "rolling": len(self._rolling),
            "halted": sum(1 for one in self.resources.values() if one.halted),
            "ahead elsewhere": len(self._ahead),
        }


class Rollout(NamedTuple):
    """How far one version is. `pending` are connected and have not answered; `unreachable` were known in the
    last ten minutes and are connected nowhere; `silent` are control machines that did not answer.
    """

    version: Version
    digest: str
    halted: str
    in_force: int
    pending: list[str]
    refused: dict[str, str]
    unreachable: list[str]
    silent: list[str]


def best(row: Row) -> tuple[bool, tuple[int, int]]:
    """Of two control machines' rows of one proxy the greater tells more."""
    return row.connected, max(tuple(row.in_force), tuple(row.refused))


def rollout_of(parts: list[Rows], silent: list[str]) -> Rollout:
    """Of what the control machines say, the newest version, and of each proxy its best word."""
    last = max(parts, key=lambda one: tuple(one.version))
    version = Version(*last.version)
    rows: dict[str, list[Row]] = {}
    for part in parts:
        for row in part.rows:
            rows.setdefault(row.proxy, []).append(row)
    in_force, pending, unreachable = 0, [], []
    refused: dict[str, str] = {}
    for name, those in sorted(rows.items()):
        no = next((one.reason for one in those if Version(*one.refused) == version and one.reason), "")
        if any(Version(*one.in_force) >= version for one in those):
            in_force += 1
        elif no:
            refused[name] = no
        elif any(one.connected for one in those):
            pending.append(name)
        else:
            unreachable.append(name)
    halted = next((one.halted for one in parts if one.halted and Version(*one.version) == version), "")
    return Rollout(version, last.digest, halted, in_force, pending, refused, unreachable, silent)
