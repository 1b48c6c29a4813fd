"""The control role under asyncio: accepts, reads, writes to whoever can be written to, keeps on disk.

Decides nothing: `admission` says who is served when, `publisher` who is sent what, `subscriber` what this one
takes from other control machines.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from itertools import count
from random import Random
from typing import TYPE_CHECKING, NamedTuple

from pepperusher.distribution import version_records, wire
from pepperusher.distribution.admission import Admission
from pepperusher.distribution.freshness import Freshness
from pepperusher.distribution.link import Calls, Link
from pepperusher.distribution.publisher import RejectedUpdateError, Publisher, best, rollout_of
from pepperusher.distribution.subscriber import Apply, Close, Connect, Say, Send, Subscriber
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    ENDPOINTS,
    LONGEST_ANSWER,
    LONGEST_MESSAGE,
    LONGEST_WORD,
    NO_VERSION,
    OPERATOR,
    PROXY,
    RELAY,
    Ack,
    FiguresRequest,
    RolloutRequest,
    Heartbeat,
    BodiesSwitch,
    Figures,
    Hello,
    Message,
    Offer,
    Publish,
    Published,
    Refused,
    Resource,
    Row,
    Rows,
    Version,
    BodyRequest,
    one_line,
)
from pepperusher.net import clock
from pepperusher.packet_authentication import BadPacket
from pepperusher.store.disk import Disk

if TYPE_CHECKING:
    from pepperusher.distribution.relay import Relay

# Connections taken a second in the long run, and at once: the rest waits in the kernel, and to whoever waits there
# this machine looks as if it were cut off. So it is more than all proxies of nine machines make at one moment
# within the time after which they try another (`subscriber.CONNECT_FIRST`); who is served when is `admission`'s.
ACCEPTED_A_SECOND = 3200.0
ACCEPTED_AT_ONCE = 2048.0
BACKLOG = 4096
# Who has not shown the key by then goes, and so many may be about it at once. Where there is room for it a proxy
# whose process is busy, as many are at a start, is not sent round once more: beyond MOST_STRANGERS the oldest go
# after STRANGER_FOR.
HELLO_WITHIN = 12.0
MOST_STRANGERS = 2048
STRANGER_FOR = 1_500_000
# Said by one that stands in the line to be served, before its turn: the rest of what it has to say comes after that.
MOST_SAID = 256
# Messages from one connection within ten seconds, by its role.
MESSAGES = {PROXY: 1_000, RELAY: 20_000, OPERATOR: 1_000}
MOST_RELAYS = 64
MOST_OPERATORS = 32
# Held beside connections: the listener, the loop's own, the disk's files, standard streams, and some to spare.
HELD_BESIDE = 64
TICK = 0.1
ADMIT_EVERY = 0.01
BEAT_EVERY = 2_000_000
SILENT_AFTER = 10_000_000
FORGET_EVERY = 30_000_000
# Written to in one turn of the loop.
BATCH = 64
# Other control machines are waited for so long with a question to all.
ASKED_WITHIN = 1.0
# A disk that fails is tried again so often.
KEEP_AGAIN = 1.0


class ServerSettings(NamedTuple):
    """What the role's file says; `origin` is its epoch where it is the one that may write."""

    name: str
    region: str
    zone: str
    listen: tuple[str, int]
    peers: Sequence[tuple[str, int]]
    epoch: int | None
    owner: bool
    subscribers: int
    local: str
    relay: tuple[tuple[str, int], str] | None = None  # where discovery answers, and the name of its list as a fact


def descriptors_of(terms: ServerSettings) -> int:
    """What it may come to hold at once: all whom it admits, strangers among them, and its own connections."""
    return terms.subscribers + MOST_STRANGERS + MOST_RELAYS + MOST_OPERATORS + len(terms.peers) + HELD_BESIDE


class _SubscriberConnection:
    """One that was accepted, until it ends."""

    __slots__ = ("link", "hello", "greeting", "said", "heard_at", "beat_at", "timer", "allowance")

    def __init__(self, link: Link, now: int) -> None:
        self.link = link
        self.hello: Hello | None = None  # once it is served
        self.greeting: Hello | None = None  # while it stands in the line
        self.said: list[Message] = []  # in the line, MOST_SAID at the most
        self.heard_at = self.beat_at = now
        self.allowance = float(MESSAGES[PROXY])
        self.timer: asyncio.TimerHandle | None = None


class Server:
    def __init__(self, terms: ServerSettings, key: bytes, disk: Disk, say: Callable[..., None], seed: int) -> None:
        self._terms, self._key, self._disk, self._say = terms, key, disk, say
        now = clock.now()
        self.publisher = Publisher(terms.name, terms.region, terms.epoch, terms.owner, len(terms.peers), now)
        self.counts: Counter[str] = Counter()
        self._ids = count(1)
        self._connections: dict[int, _SubscriberConnection] = {}  # emptied as they end
        self._strangers: dict[int, None] = {}  # MOST_STRANGERS at the most
        self._admission = Admission(terms.subscribers, now)
        self._admitting: asyncio.TimerHandle | None = None
        self._roles: Counter[int] = Counter()
        self._allowance, self._allowed_at = ACCEPTED_AT_ONCE, now
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()  # emptied as they end
        self._pumping = False
        self._drafting = asyncio.Lock()  # one change becomes a version at a time
        self._writing = asyncio.Lock()
        self._forgot_at = now
        self._keep_due = asyncio.Event()
        self._disk_fails = ""
        self._chance = Random(seed)
        # As a subscriber of the other control machines.
        self._addresses = {f"{host}:{port}": (host, port) for host, port in terms.peers}
        self._calls = Calls(self._addresses, terms.local)
        self._life = int.from_bytes(os.urandom(8)) >> 1
        self._subscriber: Subscriber | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._asked: dict[int, tuple[str, asyncio.Future[Rows]]] = {}  # emptied after ASKED_WITHIN
        self._numbers = count(1)
        self.freshness = Freshness()
        self._unsaid: dict[int, None] = {}  # connections that a word is for; emptied as it is said, or they end
        self._saying = False
        self._relay: Relay | None = None

    # --- start and end ------------------------------------------------------------------------------

    async def start(self) -> int:
        """The port that it listens at. Raises OSError where the address or the folder can't be had."""
        now = clock.now()
        self._disk.lock()
        kept, wrong = version_records.read(self._disk)
        for one in wrong:
            self._say("a resource on disk can't be read", why=one)
        for newest, steady, halted in kept:
            self.publisher.restore(newest, steady, halted, now)
        family = socket.AF_INET6 if ":" in self._terms.listen[0] else socket.AF_INET
        # With its protocol named: asyncio takes Nagle's algorithm off those alone, and a word behind a body waited 40 ms
        # for the other side's delayed acknowledgement.
        made = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            made.bind(self._terms.listen)
            made.listen(BACKLOG)
            made.setblocking(False)
        except OSError:
            made.close()
            raise
        self._socket = made
        self._go(self._accept(made))
        self._go(self._tick())
        self._go(self._keeping())
        self._subscriber = Subscriber(
            self._terms.name, self._life, self._terms.region, self._terms.zone, list(self._addresses), (),
            [held.newest for held in self.publisher.resources.values()], self._chance, now, RELAY,
        )  # fmt: skip
        self._wake()
        if self._terms.relay is not None:
            from pepperusher.distribution.relay import Relay

            self._relay = Relay(
                *self._terms.relay, self._write_fact, self._own_word, self._say, self._chance.getrandbits(32)
            )
            self._relay.start()
        port: int = made.getsockname()[1]
        return port

    def _go(self, what: object) -> None:
        task = asyncio.get_running_loop().create_task(what)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """What was taken is on disk, as far as it can be."""
        for timer in (self._timer, self._admitting):
            if timer is not None:
                timer.cancel()
        self._calls.cancel()
        if self._relay is not None:
            self._relay.stop()
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        for link in [*self._calls.links.values(), *(one.link for one in self._connections.values())]:
            link.close()
        while self.publisher.keep:
            if not await self._keep_one():
                break
        await asyncio.sleep(0)
        for one in list(self._connections.values()):
            one.link.abort("stopped")
        self._disk.close()

    # --- who connects -------------------------------------------------------------------------------

    async def _accept(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = clock.now()
            self._allowance = min(
                ACCEPTED_AT_ONCE, self._allowance + ACCEPTED_A_SECOND * (now - self._allowed_at) / 1e6
            )
            self._allowed_at = now
            if self._allowance < 1.0:
                await asyncio.sleep((1.0 - self._allowance) / ACCEPTED_A_SECOND + 0.01)
                continue
            if len(self._strangers) >= MOST_STRANGERS:
                # The one that has been one for longest: whoever has the key shows it soon.
                oldest = self._connections[next(iter(self._strangers))]
                if now - oldest.heard_at < STRANGER_FOR:
                    await asyncio.sleep(TICK / 2)
                    continue
                oldest.link.abort("said nothing, and others came")
            try:
                taken, _ = await loop.sock_accept(listening)
                self._allowance -= 1.0
                await loop.connect_accepted_socket(self._link, taken)
            except OSError as error:
                self._say("a connection can't be taken", why=error.strerror or str(error))
                await asyncio.sleep(TICK)

    def _link(self) -> Link:
        id = next(self._ids)
        link = Link(
            Session(self._key, False), lambda _: None, partial(self._came, id), partial(self._ended, id),
            self.counts, lambda _: self.publisher.next_message(id),
        )  # fmt: skip
        one = self._connections[id] = _SubscriberConnection(link, clock.now())
        self._strangers[id] = None
        self.counts["accepted"] += 1
        one.timer = asyncio.get_running_loop().call_later(HELLO_WITHIN, self._unheard, id)
        return link

    def _unheard(self, id: int) -> None:
        one = self._connections.get(id)
        if one is not None and one.hello is None:
            one.link.abort("said nothing in time")

    def _ended(self, id: int, link: Link, why: str) -> None:
        one = self._connections.pop(id, None)
        if one is None:
            return
        if one.timer is not None:
            one.timer.cancel()
        self._admission.gone(id)
        self._unsaid.pop(id, None)
        if one.hello is None:
            self._strangers.pop(id, None)
        else:
            self._roles[one.hello.role] -= 1
            self.publisher.leave(id, clock.now())
        if not why.startswith("lost") and why not in ("stopped", "another of its name"):
            self.counts["ended"] += 1
            self._say("a connection ended", peer=link.peer, name=one.hello.name if one.hello else "?", why=why)

    def _came(self, id: int, link: Link, message: Message) -> None:
        one = self._connections.get(id)
        if one is None:
            return
        now = clock.now()
        most = MESSAGES.get(one.hello.role, MESSAGES[PROXY]) if one.hello is not None else MESSAGES[PROXY]
        one.allowance = min(most, one.allowance + most * (now - one.heard_at) / 10e6)
        one.heard_at = now
        if one.allowance < 1.0:
            self.counts["floods"] += 1
            raise BadPacket("too many messages")
        one.allowance -= 1.0
        if one.greeting is not None:
            if len(one.said) >= MOST_SAID:
                raise BadPacket("too many messages")
            if not isinstance(message, Heartbeat):
                one.said.append(message)
        elif one.hello is None:
            if not isinstance(message, Hello):
                raise BadPacket("sound, but no greeting")
            self._greeted(id, one, message, now)
        else:
            self._served(id, one, one.hello, message, now)
        self._pump_soon()

    def _served(self, id: int, one: _SubscriberConnection, hello: Hello, message: Message, now: int) -> None:
        """Raises BadPacket for what it may not say."""
        publisher = self.publisher
        if isinstance(message, Heartbeat):
            if hello.role != OPERATOR:
                publisher.heard(id, now)
        elif hello.role == OPERATOR:
            self._operator(one, message)
        elif isinstance(message, Ack):
            publisher.ack(id, message, now)
        elif isinstance(message, BodyRequest):
            publisher.want(id, message.key, message.steady, message.base, now)
        elif isinstance(message, BodiesSwitch):
            publisher.bodies(id, message.on)
        elif isinstance(message, RolloutRequest) and hello.role == RELAY:
            self._say_to(one, publisher.rows(message.number, (message.kind, message.name), now))
        else:
            raise BadPacket("sound, but nothing that it may say")

    def _greeted(self, id: int, one: _SubscriberConnection, hello: Hello, now: int) -> None:
        """Proxies stand in the line, and are told at once that this machine is there."""
        if hello.role != PROXY:
            self._serve(id, one, hello, now)
            return
        if not self._admission.came(id):
            self._refuse(one, "too many wait to be served")
            return
        if one.timer is not None:
            one.timer.cancel()
        self._strangers.pop(id, None)
        one.greeting, one.beat_at = hello, now
        one.link.session.longest = LONGEST_WORD
        self._admit()
        if one.greeting is not None:
            self.counts["waited to be served"] += 1
            self._say_to(one, Heartbeat())

    def _admit(self) -> None:
        """Serves whose turn it is, and comes back for the next."""
        now = clock.now()
        for id in self._admission.due(now):
            one = self._connections[id]
            hello, said, one.greeting, one.said = one.greeting, one.said, None, []
            assert hello is not None, "in the line, and has not greeted"
            try:
                self._serve(id, one, hello, now)
                for message in said:
                    if one.hello is not None:
                        self._served(id, one, one.hello, message, now)
            except BadPacket as bad:
                one.link.abort(str(bad))
            except Exception as error:  # a fault of ours ends this connection, and the line goes on
                one.link.abort(f"{type(error).__name__}: {error}")
        self._pump_soon()
        again = self._admission.again_in()
        if again is not None and self._admitting is None:
            self._admitting = asyncio.get_running_loop().call_later(max(again, ADMIT_EVERY), self._admit_again)

    def _admit_again(self) -> None:
        self._admitting = None
        self._admit()

    def _serve(self, id: int, one: _SubscriberConnection, hello: Hello, now: int) -> None:
        most = {RELAY: MOST_RELAYS, OPERATOR: MOST_OPERATORS}.get(hello.role, self._terms.subscribers)
        if self._roles[hello.role] >= most:
            self._refuse(one, f"{most} of its kind are connected already")
            return
        if hello.life == self._life:
            self._refuse(one, "this is the control machine itself: take its address off its peers")
            return
        if self.publisher.doubled(hello, now):
            self._refuse(one, f"another process is connected as {hello.name}")
            return
        if one.timer is not None:
            one.timer.cancel()
        self._strangers.pop(id, None)
        self._roles[hello.role] += 1
        one.hello = hello
        one.link.session.longest = LONGEST_WORD if hello.role == PROXY else LONGEST_MESSAGE
        if hello.role != OPERATOR:
            self.publisher.add_subscriber(id, hello, now)
        one.beat_at = now
        if hello.role != OPERATOR:
            self._say_to(one, self._beat(one, now))

    def _refuse(self, one: _SubscriberConnection, why: str) -> None:
        self._say("a connection is refused", peer=one.link.peer, why=why)
        self._say_to(one, Refused(one_line(why)))
        one.link.close()

    def _say_to(self, one: _SubscriberConnection, message: Message) -> None:
        one.link.send(wire.encode(message))

    # --- sending ------------------------------------------------------------------------------------

    def _pump_soon(self) -> None:
        """What is pending goes out, some connections a turn of the loop; and lines, and the disk."""
        publisher = self.publisher
        for line in publisher.lines:
            self._say(line.what, **line.figures)
        publisher.lines.clear()
        for id in publisher.replaced:
            if id in self._connections:
                self._connections[id].link.abort("another of its name")
        publisher.replaced.clear()
        if publisher.keep:
            self._keep_due.set()
        if publisher.pending and not self._pumping:
            self._pumping = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _pump(self) -> None:
        self._pumping = False
        pending = self.publisher.pending
        for id in list(pending)[:BATCH]:
            # Whoever is not to be written to now calls for its next itself, once it can be.
            pending.pop(id, None)
            one = self._connections.get(id)
            if one is not None:
                one.link.pump()
        if pending:
            self._pumping = True
            asyncio.get_running_loop().call_soon(self._pump)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK)
            try:
                self._ticked(clock.now())
            except Exception as error:  # without its tick nothing would go on
                self._say("the control role met an error", why=f"{type(error).__name__}: {error}")

    def _ticked(self, now: int) -> None:
        self.publisher.tick(now)
        if self._relay is not None:
            self._relay.publish_pending()
        self._say_words()
        beats: dict[tuple[str, ...], bytes] = {}
        for one in list(self._connections.values()):
            if one.hello is None and one.greeting is None:
                continue
            if now - one.heard_at >= SILENT_AFTER:
                one.link.abort("lost: silent")
            elif one.hello is None:
                if now - one.beat_at >= BEAT_EVERY:
                    one.beat_at = now
                    one.link.send(wire.encode(Heartbeat()))
            elif one.hello.role != OPERATOR and now - one.beat_at >= BEAT_EVERY:
                one.beat_at = now
                if one.link.idle:
                    # One that is being written to shows by that that this one is there.
                    one.link.send(self._encoded_beat(one, now, beats))
        if now - self._forgot_at >= FORGET_EVERY:
            self._forgot_at = now
            self.publisher.forget(now)
            self.freshness.forget(now)
        self._pump_soon()

    # --- how old facts are --------------------------------------------------------------------------

    def _facts_of(self, hello: Hello) -> tuple[str, ...]:
        """Of which facts there are words for this one."""
        if hello.role == RELAY:
            return tuple(self.freshness.names)
        return tuple(name for kind, name in hello.names if kind == ENDPOINTS and self.freshness.get(name))

    def _beat(self, one: _SubscriberConnection, now: int) -> Heartbeat:
        beat = self.publisher.beat(now)
        facts = self._facts_of(one.hello) if one.hello is not None else ()
        return Heartbeat(beat.epoch, beat.stamp, beat.age, self.freshness.of(facts, now)) if facts else beat

    def _encoded_beat(self, one: _SubscriberConnection, now: int, made: dict[tuple[str, ...], bytes]) -> bytes:
        """One for all that hear of the same facts."""
        facts = self._facts_of(one.hello) if one.hello is not None else ()
        if facts not in made:
            made[facts] = wire.encode(self._beat(one, now))
        return made[facts]

    def _own_word(self, name: str, version: Version, told_at: int) -> bool:
        """Whether this version is the newest of the fact."""
        held = self.publisher.resources.get((ENDPOINTS, name))
        if held is None or held.newest.version != version:
            return False
        self.freshness.own(name, version, told_at, clock.now())
        self._worded((name,))
        return True

    def _worded(self, names: Sequence[str]) -> None:
        """There is a newer word of these: whoever subscribes is told, in the place of the next beat."""
        for name in names:
            held = self.publisher.resources.get((ENDPOINTS, name))
            if held is not None:
                self._unsaid.update(dict.fromkeys(held.subscribers))
        self._say_words()

    def _say_words(self) -> None:
        if self._unsaid and not self._saying:
            self._saying = True
            asyncio.get_running_loop().call_soon(self._say_some, list(self._unsaid), 0)

    def _say_some(self, ids: list[int], at: int) -> None:
        """To some a turn of the loop, as all that is sent. Those that can't be written to have the newest at a tick."""
        if at + BATCH < len(ids):
            asyncio.get_running_loop().call_soon(self._say_some, ids, at + BATCH)
        else:
            self._saying = False
        now = clock.now()
        beats: dict[tuple[str, ...], bytes] = {}
        for id in ids[at : at + BATCH]:
            if id not in self._unsaid:
                continue
            one = self._connections.get(id)
            if one is None or one.hello is None:
                del self._unsaid[id]
            elif one.link.idle:
                del self._unsaid[id]
                one.beat_at = now
                one.link.send(self._encoded_beat(one, now, beats))

    def _write_fact(self, name: str, body: bytes) -> Version | None:
        """As the owner, at once: the disk follows, since its number is the time and is not given twice. The version
        that stands with this body; None where it can't be written now.
        """
        publisher, now = self.publisher, clock.now()
        held = publisher.resources.get((ENDPOINTS, name))
        if held is not None and held.newest.body == body:
            return held.newest.version
        try:
            made = publisher.draft(ENDPOINTS, name, body, now)
        except RejectedUpdateError as no:
            self.counts["facts not written"] += 1
            if self.counts["facts not written"] % 100 == 1:
                self._say("a fact is not written yet", name=name, why=str(no))
            return None
        if publisher.accept(made, now) is not None:
            return None
        if self._subscriber is not None:
            self._subscriber.held[made.key] = made
        self._pump_soon()
        return made.version

    # --- disk ---------------------------------------------------------------------------------------

    async def _keeping(self) -> None:
        while True:
            await self._keep_due.wait()
            self._keep_due.clear()
            while self.publisher.keep:
                if not await self._keep_one():
                    await asyncio.sleep(KEEP_AGAIN)

    async def _keep_one(self) -> bool:
        key = next(iter(self.publisher.keep))
        del self.publisher.keep[key]
        held = self.publisher.resources[key]
        why = await self._written(held.newest, held.steady, held.halted)
        if why:
            self.publisher.keep.setdefault(key, None)
        if why != self._disk_fails:
            self._disk_fails = why
            self._say("the disk fails: served on from memory" if why else "the disk is written again", why=why or "-")
        return not why

    async def _written(self, newest: Resource, steady: Resource | None, halted: str) -> str:
        async with self._writing:
            try:
                await asyncio.to_thread(version_records.write, self._disk, newest, steady, halted)
            except OSError as error:
                return error.strerror or str(error)
        return ""

    # --- operators ----------------------------------------------------------------------------------

    def _operator(self, one: _SubscriberConnection, message: Message) -> None:
        if isinstance(message, Publish):
            self._go(self._publish(one, message))
        elif isinstance(message, RolloutRequest):
            self._go(self._rollout(one, message))
        elif isinstance(message, FiguresRequest):
            self._say_to(one, Figures(self._figures()))
        else:
            raise BadPacket("sound, but nothing that it may say")

    def _figures(self) -> dict[str, int | str]:
        return {
            "name": self._terms.name,
            "connections": len(self._connections),
            "waiting to be served": len(self._admission),
            "peers connected": len(self._calls.links),
            "disk": self._disk_fails or "written",
            "age us": self.publisher.beat(clock.now()).age,
            **self.publisher.figures(),
            **self.counts,
            **(self._relay.figures() if self._relay is not None else {}),
        }

    async def _publish(self, one: _SubscriberConnection, said: Publish) -> None:
        """On disk first, and then to others."""
        publisher = self.publisher
        async with self._drafting:
            try:
                made = publisher.draft(said.kind, said.name, said.body, clock.now())
            except RejectedUpdateError as no:
                self._say_to(one, Published(*NO_VERSION, one_line(str(no))))
                return
            held = publisher.resources.get(made.key)
            why = await self._written(made, held.steady if held is not None else None, "")
            if why:
                self._say_to(one, Published(*NO_VERSION, one_line(f"it can't be written: {why}")))
                return
            wrong = publisher.accept(made, clock.now())
            if wrong is None and publisher.resources[made.key].newest is not made:
                # While it was written a newer one came of another control machine; that is on disk after this.
                publisher.keep[made.key] = None
                wrong = f"{publisher.resources[made.key].newest.version} came meanwhile"
            if wrong:
                self._say_to(one, Published(*NO_VERSION, one_line(wrong)))
                return
            publisher.keep.pop(made.key, None)
            if self._subscriber is not None:
                self._subscriber.held[made.key] = made
        name = one.hello.name if one.hello else "?"
        self._say(
            "published", resource=f"{made.kind}/{made.name}", version=str(made.version), digest=made.digest, by=name
        )
        self._say_to(one, Published(*made.version))
        self._pump_soon()

    async def _rollout(self, one: _SubscriberConnection, asked: RolloutRequest) -> None:
        """This control machine's part, and with `wide` all others' too."""
        parts = [self.publisher.rows(asked.number, (asked.kind, asked.name), clock.now())]
        silent: list[str] = []
        if asked.wide:
            those: dict[str, asyncio.Future[Rows]] = {}
            for upstream in self._addresses:
                link = self._calls.links.get(upstream)
                if link is None or not link.session.open:
                    silent.append(upstream)
                    continue
                number = next(self._numbers)
                told: asyncio.Future[Rows] = asyncio.get_running_loop().create_future()
                self._asked[number] = upstream, told
                those[upstream] = told
                link.send(wire.encode(RolloutRequest(number, asked.kind, asked.name, False)))
            if those:
                await asyncio.wait(those.values(), timeout=ASKED_WITHIN)
            for upstream, told in those.items():
                if told.done() and not told.cancelled():
                    parts.append(told.result())
                else:
                    silent.append(upstream)
            for number in [number for number, (_, told) in self._asked.items() if told in those.values()]:
                del self._asked[number]
        whole = rollout_of(parts, silent)
        rows: dict[str, Row] = {}
        for row in (row for part in parts for row in part.rows):
            rows[row.proxy] = max(row, rows.get(row.proxy, row), key=best)
        self._say_to(
            one,
            Rows(asked.number, whole.version, whole.digest, whole.halted, list(rows.values()), whole.silent),
        )

    # --- of other control machines ------------------------------------------------------------------

    def _wake(self) -> None:
        if self._subscriber is None or self._socket is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = clock.now()
        due = self._subscriber.wake(now)
        self._done()
        self._timer = asyncio.get_running_loop().call_later(max(0.001, (due - now) / 1e6), self._wake)

    def _done(self) -> None:
        subscriber = self._subscriber
        assert subscriber is not None
        while subscriber.effects:
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
                    self.publisher.unlinked(effect.upstream)
                elif isinstance(effect, Apply):
                    self._take(effect)
                elif isinstance(effect, Say):
                    self._say(effect.what, **effect.figures)

    def _take(self, effect: Apply) -> None:
        """From another control machine."""
        assert self._subscriber is not None
        now, one = clock.now(), effect.resource
        held = self.publisher.resources.get(one.key)
        if effect.halted and held is not None and held.newest.version == one.version:
            self.publisher.halt(one.key, one.version, effect.halted)
            return
        why = self.publisher.accept(one, now, effect.halted, effect.steady)
        if why:
            self._say(
                "a version of another control machine is not taken",
                resource="/".join(one.key),
                version=str(one.version),
                why=why,
            )
        if not effect.steady:
            self._subscriber.applied(one, why, now)

    def _connect(self, upstream: str) -> None:
        link = Link(
            Session(self._key, True, LONGEST_ANSWER), partial(self._peer_opened, upstream),
            partial(self._peer_came, upstream), partial(self._peer_ended, upstream), self.counts,
        )  # fmt: skip
        self._calls.connect(upstream, link)

    def _peer_opened(self, upstream: str, link: Link) -> None:
        if self._calls.links.get(upstream) is link and self._subscriber is not None:
            self._subscriber.connected(upstream, clock.now())
            self.publisher.linked(upstream)
            self._after()

    def _peer_came(self, upstream: str, link: Link, message: Message) -> None:
        if self._calls.links.get(upstream) is not link or self._subscriber is None:
            return
        if isinstance(message, Rows):
            asked = self._asked.get(message.number)
            if asked is not None and asked[0] == upstream and not asked[1].done():
                asked[1].set_result(message)
            return
        now = clock.now()
        self._subscriber.received(upstream, message, now)
        if isinstance(message, Offer):
            self.publisher.offered(upstream, message, now)
        self._after()
        if isinstance(message, Heartbeat):
            # After what came before it is taken: a word is of a version.
            newer = [word.name for word in message.words if self.freshness.record(word, now)]
            if newer:
                self._worded(newer)

    def _peer_ended(self, upstream: str, link: Link, why: str) -> None:
        if self._calls.links.get(upstream) is not link or self._subscriber is None:
            return
        del self._calls.links[upstream]
        self.counts["peers lost"] += 1
        self._subscriber.lost(upstream, clock.now())
        self.publisher.unlinked(upstream)
        self._after()

    def _after(self) -> None:
        self._done()
        subscriber, publisher = self._subscriber, self.publisher
        assert subscriber is not None
        publisher.follow(subscriber.confirmed, subscriber.confirmed_at)
        self._wake()
        self._pump_soon()
