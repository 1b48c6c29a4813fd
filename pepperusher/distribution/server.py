"""A control machine under asyncio: accepts connections, reads and writes messages, and saves resources to disk.

It makes no decisions itself: `admission` decides when a connection is served, `publisher` what each subscriber is sent,
and `subscriber` what this machine accepts from other control machines.
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
from pepperusher.distribution.link import OutgoingConnections, Link
from pepperusher.distribution.publisher import RejectedUpdateError, Publisher, row_priority, merge_rollout
from pepperusher.distribution.subscriber import Apply, Close, Connect, LogEvent, Send, Subscriber
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    ENDPOINTS,
    MAX_REPLY_BYTES,
    MAX_MESSAGE_BYTES,
    MAX_PROXY_MESSAGE_BYTES,
    NO_VERSION,
    OPERATOR,
    PROXY,
    RELAY,
    Ack,
    CountersRequest,
    RolloutRequest,
    Heartbeat,
    BodiesSwitch,
    Counters,
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
from pepperusher.packet_authentication import InvalidPacketError
from pepperusher.store.disk import Disk

if TYPE_CHECKING:
    from pepperusher.distribution.relay import Relay

# The rate and burst of accepted connections. Further ones wait in the kernel's accept queue, where this machine looks
# unreachable to the client. So the burst exceeds what all proxies of nine machines open within the time after which
# they try another machine (`subscriber.HEDGE_AFTER_US`). `admission` decides when an accepted connection is served.
ACCEPT_RATE_PER_S = 3200.0
ACCEPT_BURST = 2048.0
LISTEN_BACKLOG = 4096
# A connection that has not authenticated itself with a hello message within HELLO_TIMEOUT_S is closed, and at most
# MAX_AWAITING_HELLO connections may be in that state. While there is room, a proxy whose process is busy, as many are
# at a start, need not connect again. Beyond the limit, the oldest connection is closed if it has waited for
# AWAITING_HELLO_MIN_US.
HELLO_TIMEOUT_S = 12.0
MAX_AWAITING_HELLO = 2048
AWAITING_HELLO_MIN_US = 1_500_000
# How many messages of a connection are queued while it waits to be served. They are handled right after its hello
# message.
MAX_QUEUED_MESSAGES = 256
# The limit of messages from one connection within ten seconds, by role.
MESSAGES_PER_10_S = {PROXY: 1_000, RELAY: 20_000, OPERATOR: 1_000}
MAX_RELAYS = 64
MAX_OPERATORS = 32
# Descriptors besides connections: the listener, the event loop's own, the files on disk, the standard streams, and a
# reserve.
OTHER_DESCRIPTORS = 64
TICK_S = 0.1
ADMIT_MIN_DELAY_S = 0.01
HEARTBEAT_INTERVAL_US = 2_000_000
SILENCE_TIMEOUT_US = 10_000_000
CLEANUP_INTERVAL_US = 30_000_000
# How many connections are written to in one turn of the event loop.
CONNECTIONS_PER_TURN = 64
# How long other control machines have to answer a request of this one.
PEER_REPLY_TIMEOUT_S = 1.0
# The interval at which a failed write to disk is retried.
DISK_RETRY_S = 1.0


class ServerSettings(NamedTuple):
    """The settings of a control machine, taken from its file. `epoch` is set only on the origin, the one machine that
    writes configuration.
    """

    name: str
    region: str
    zone: str
    listen: tuple[str, int]
    peers: Sequence[tuple[str, int]]
    epoch: int | None
    owns_facts: bool
    max_subscribers: int
    local_address: str
    # the address of discovery, and the name of the fact that holds its list
    relay: tuple[tuple[str, int], str] | None = None


def required_descriptors(settings: ServerSettings) -> int:
    """How many file descriptors the machine may use at once: for all admitted and unauthenticated connections and its
    own.
    """
    return (
        settings.max_subscribers
        + MAX_AWAITING_HELLO
        + MAX_RELAYS
        + MAX_OPERATORS
        + len(settings.peers)
        + OTHER_DESCRIPTORS
    )


class _SubscriberConnection:
    """One accepted connection."""

    __slots__ = (
        "link",
        "hello",
        "pending_hello",
        "queued_messages",
        "last_heard_at",
        "heartbeat_sent_at",
        "hello_timer",
        "message_tokens",
    )

    def __init__(self, link: Link, now: int) -> None:
        self.link = link
        self.hello: Hello | None = None  # set when it is served
        self.pending_hello: Hello | None = None  # set while it waits for admission
        self.queued_messages: list[Message] = []  # received while it waits, MAX_QUEUED_MESSAGES at most
        self.last_heard_at = self.heartbeat_sent_at = now
        self.message_tokens = float(MESSAGES_PER_10_S[PROXY])
        self.hello_timer: asyncio.TimerHandle | None = None


class Server:
    """A control machine: accepts subscribers and operators, and subscribes to the other control machines."""

    def __init__(self, settings: ServerSettings, key: bytes, disk: Disk, say: Callable[..., None], seed: int) -> None:
        self._settings, self._key, self._disk, self._say = settings, key, disk, say
        now = clock.now()
        self.publisher = Publisher(
            settings.name, settings.region, settings.epoch, settings.owns_facts, len(settings.peers), now
        )
        self.counts: Counter[str] = Counter()
        self._ids = count(1)
        self._connections: dict[int, _SubscriberConnection] = {}  # by id, removed when they end
        self._awaiting_hello: dict[int, None] = {}  # MAX_AWAITING_HELLO at most
        self._admission = Admission(settings.max_subscribers, now)
        self._admit_timer: asyncio.TimerHandle | None = None
        self._role_counts: Counter[int] = Counter()
        self._accept_tokens, self._accept_tokens_at = ACCEPT_BURST, now
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()  # removed when they end
        self._flush_scheduled = False
        self._publish_lock = asyncio.Lock()  # assigns one version at a time
        self._disk_lock = asyncio.Lock()
        self._write_began_at: int | None = None  # while a write to disk is in progress
        self._cleaned_at = now
        self._save_due = asyncio.Event()
        self._disk_error = ""
        self._random = Random(seed)
        # This machine as a subscriber of the other control machines.
        self._addresses = {f"{host}:{port}": (host, port) for host, port in settings.peers}
        self._outgoing = OutgoingConnections(self._addresses, settings.local_address)
        self._instance_id = int.from_bytes(os.urandom(8)) >> 1
        self._subscriber: Subscriber | None = None
        self._wake_timer: asyncio.TimerHandle | None = None
        self._peer_requests: dict[int, tuple[str, asyncio.Future[Rows]]] = {}  # removed after PEER_REPLY_TIMEOUT_S
        self._request_ids = count(1)
        self.freshness = Freshness()
        # connections that a freshness report is due for; removed when it is sent or they end
        self._freshness_due: dict[int, None] = {}
        self._freshness_scheduled = False
        self._relay: Relay | None = None

    # --- start and end ------------------------------------------------------------------------------

    async def start(self) -> int:
        """Starts serving and returns the port. Raises OSError if the address or the state folder is not available."""
        now = clock.now()
        self._disk.lock()
        stored, errors = version_records.read(self._disk)
        for error in errors:
            self._say("a resource on disk can't be read", why=error)
        for newest, stable, halted in stored:
            self.publisher.restore(newest, stable, halted, now)
        family = socket.AF_INET6 if ":" in self._settings.listen[0] else socket.AF_INET
        # The protocol is named explicitly because asyncio sets TCP_NODELAY on such sockets alone. Without it a small
        # message behind a body waited 40 ms for the other side's delayed acknowledgement.
        listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self._settings.listen)
            listener.listen(LISTEN_BACKLOG)
            listener.setblocking(False)
        except OSError:
            listener.close()
            raise
        self._socket = listener
        self._spawn(self._accept(listener))
        self._spawn(self._tick_loop())
        self._spawn(self._save_loop())
        self._subscriber = Subscriber(
            self._settings.name,
            self._instance_id,
            self._settings.region,
            self._settings.zone,
            list(self._addresses),
            (),
            [resource.newest for resource in self.publisher.resources.values()],
            self._random,
            now,
            RELAY,
        )
        self._wake()
        if self._settings.relay is not None:
            from pepperusher.distribution.relay import Relay

            self._relay = Relay(
                *self._settings.relay,
                self._write_fact,
                self._record_own_freshness,
                self._say,
                self._random.getrandbits(32),
            )
            self._relay.start()
        port: int = listener.getsockname()[1]
        return port

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Ends all connections and writes unsaved resources to disk as far as possible."""
        for timer in (self._wake_timer, self._admit_timer):
            if timer is not None:
                timer.cancel()
        self._outgoing.cancel()
        if self._relay is not None:
            self._relay.stop()
        for task in self._tasks:
            task.cancel()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        for link in [*self._outgoing.links.values(), *(connection.link for connection in self._connections.values())]:
            link.close()
        while self.publisher.unsaved:
            if not await self._save_next():
                break
        await asyncio.sleep(0)
        for connection in list(self._connections.values()):
            connection.link.abort("stopped")
        self._disk.close()

    # --- accepted connections -----------------------------------------------------------------------

    async def _accept(self, listener: socket.socket) -> None:
        """Accepts connections at a limited rate."""
        loop = asyncio.get_running_loop()
        while True:
            now = clock.now()
            self._accept_tokens = min(
                ACCEPT_BURST, self._accept_tokens + ACCEPT_RATE_PER_S * (now - self._accept_tokens_at) / 1e6
            )
            self._accept_tokens_at = now
            if self._accept_tokens < 1.0:
                await asyncio.sleep((1.0 - self._accept_tokens) / ACCEPT_RATE_PER_S + 0.01)
                continue
            if len(self._awaiting_hello) >= MAX_AWAITING_HELLO:
                # The oldest unauthenticated connection is closed: a client that has the key sends its hello soon.
                oldest = self._connections[next(iter(self._awaiting_hello))]
                if now - oldest.last_heard_at < AWAITING_HELLO_MIN_US:
                    await asyncio.sleep(TICK_S / 2)
                    continue
                oldest.link.abort("sent no hello message, and too many connections wait")
            try:
                accepted, _ = await loop.sock_accept(listener)
                self._accept_tokens -= 1.0
                await loop.connect_accepted_socket(self._new_link, accepted)
            except OSError as error:
                self._say("a connection can't be accepted", why=error.strerror or str(error))
                await asyncio.sleep(TICK_S)

    def _new_link(self) -> Link:
        id = next(self._ids)
        link = Link(
            Session(self._key, False),
            lambda _: None,
            partial(self._message_received, id),
            partial(self._connection_ended, id),
            self.counts,
            lambda _: self.publisher.next_message(id),
        )
        connection = self._connections[id] = _SubscriberConnection(link, clock.now())
        self._awaiting_hello[id] = None
        self.counts["accepted"] += 1
        connection.hello_timer = asyncio.get_running_loop().call_later(HELLO_TIMEOUT_S, self._hello_timed_out, id)
        return link

    def _hello_timed_out(self, id: int) -> None:
        connection = self._connections.get(id)
        if connection is not None and connection.hello is None:
            connection.link.abort("sent no hello message in time")

    def _connection_ended(self, id: int, link: Link, reason: str) -> None:
        connection = self._connections.pop(id, None)
        if connection is None:
            return
        if connection.hello_timer is not None:
            connection.hello_timer.cancel()
        self._admission.discard(id)
        self._freshness_due.pop(id, None)
        if connection.hello is None:
            self._awaiting_hello.pop(id, None)
        else:
            self._role_counts[connection.hello.role] -= 1
            self.publisher.remove_subscriber(id, clock.now())
        if not reason.startswith("lost") and reason not in ("stopped", "replaced by a newer connection of this name"):
            self.counts["ended"] += 1
            self._say(
                "a connection ended",
                peer=link.peer,
                name=connection.hello.name if connection.hello else "?",
                why=reason,
            )

    def _message_received(self, id: int, link: Link, message: Message) -> None:
        connection = self._connections.get(id)
        if connection is None:
            return
        now = clock.now()
        limit = (
            MESSAGES_PER_10_S.get(connection.hello.role, MESSAGES_PER_10_S[PROXY])
            if connection.hello is not None
            else MESSAGES_PER_10_S[PROXY]
        )
        connection.message_tokens = min(
            limit, connection.message_tokens + limit * (now - connection.last_heard_at) / 10e6
        )
        connection.last_heard_at = now
        if connection.message_tokens < 1.0:
            self.counts["floods"] += 1
            raise InvalidPacketError("too many messages")
        connection.message_tokens -= 1.0
        if connection.pending_hello is not None:
            if len(connection.queued_messages) >= MAX_QUEUED_MESSAGES:
                raise InvalidPacketError("too many messages")
            if not isinstance(message, Heartbeat):
                connection.queued_messages.append(message)
        elif connection.hello is None:
            if not isinstance(message, Hello):
                raise InvalidPacketError("authentic, but not a hello message")
            self._hello_received(id, connection, message, now)
        else:
            self._handle_message(id, connection, connection.hello, message, now)
        self._schedule_flush()

    def _handle_message(
        self, id: int, connection: _SubscriberConnection, hello: Hello, message: Message, now: int
    ) -> None:
        """Handles a message of a connection that is served. Raises InvalidPacketError for one that its role may not send."""
        publisher = self.publisher
        if isinstance(message, Heartbeat):
            if hello.role != OPERATOR:
                publisher.note_activity(id, now)
        elif hello.role == OPERATOR:
            self._handle_operator(connection, message)
        elif isinstance(message, Ack):
            publisher.ack(id, message, now)
        elif isinstance(message, BodyRequest):
            publisher.request_body(id, message.key, message.stable, message.base, now)
        elif isinstance(message, BodiesSwitch):
            publisher.set_receives_bodies(id, message.enabled)
        elif isinstance(message, RolloutRequest) and hello.role == RELAY:
            self._send(connection, publisher.rollout_rows(message.request_id, (message.kind, message.name), now))
        else:
            raise InvalidPacketError("authentic, but not allowed for this role")

    def _hello_received(self, id: int, connection: _SubscriberConnection, hello: Hello, now: int) -> None:
        """Queues a proxy for admission and answers it immediately, so that it knows this machine is alive. Other roles
        are served without waiting.
        """
        if hello.role != PROXY:
            self._start_serving(id, connection, hello, now)
            return
        if not self._admission.enqueue(id):
            self._refuse(connection, "too many connections wait to be served")
            return
        if connection.hello_timer is not None:
            connection.hello_timer.cancel()
        self._awaiting_hello.pop(id, None)
        connection.pending_hello, connection.heartbeat_sent_at = hello, now
        connection.link.session.max_message_bytes = MAX_PROXY_MESSAGE_BYTES
        self._admit()
        if connection.pending_hello is not None:
            self.counts["waited to be served"] += 1
            self._send(connection, Heartbeat())

    def _admit(self) -> None:
        """Serves the connections whose turn it is and schedules the next admission."""
        now = clock.now()
        for id in self._admission.take_due(now):
            connection = self._connections[id]
            hello, queued, connection.pending_hello, connection.queued_messages = (
                connection.pending_hello,
                connection.queued_messages,
                None,
                [],
            )
            assert hello is not None, "queued without a hello message"
            try:
                self._start_serving(id, connection, hello, now)
                for message in queued:
                    if connection.hello is not None:
                        self._handle_message(id, connection, connection.hello, message, now)
            except InvalidPacketError as error:
                connection.link.abort(str(error))
            except Exception as error:  # an error in this program ends this connection and not the queue
                connection.link.abort(f"{type(error).__name__}: {error}")
        self._schedule_flush()
        delay = self._admission.next_due_in()
        if delay is not None and self._admit_timer is None:
            self._admit_timer = asyncio.get_running_loop().call_later(
                max(delay, ADMIT_MIN_DELAY_S), self._admit_timer_fired
            )

    def _admit_timer_fired(self) -> None:
        self._admit_timer = None
        self._admit()

    def _start_serving(self, id: int, connection: _SubscriberConnection, hello: Hello, now: int) -> None:
        """Serves a connection from now on, or refuses it."""
        limit = {RELAY: MAX_RELAYS, OPERATOR: MAX_OPERATORS}.get(hello.role, self._settings.max_subscribers)
        if self._role_counts[hello.role] >= limit:
            self._refuse(connection, f"the limit of {limit} connections of this role is reached")
            return
        if hello.instance_id == self._instance_id:
            self._refuse(connection, "this is the control machine itself: remove its address from its peers")
            return
        if self.publisher.name_in_use(hello, now):
            self._refuse(connection, f"another process is connected as {hello.name}")
            return
        if connection.hello_timer is not None:
            connection.hello_timer.cancel()
        self._awaiting_hello.pop(id, None)
        self._role_counts[hello.role] += 1
        connection.hello = hello
        connection.link.session.max_message_bytes = (
            MAX_PROXY_MESSAGE_BYTES if hello.role == PROXY else MAX_MESSAGE_BYTES
        )
        if hello.role != OPERATOR:
            self.publisher.add_subscriber(id, hello, now)
        connection.heartbeat_sent_at = now
        if hello.role != OPERATOR:
            self._send(connection, self._heartbeat(connection, now))

    def _refuse(self, connection: _SubscriberConnection, reason: str) -> None:
        """Tells the client the reason and closes the connection."""
        self._say("a connection is rejected", peer=connection.link.peer, why=reason)
        self._send(connection, Refused(one_line(reason)))
        connection.link.close()

    def _send(self, connection: _SubscriberConnection, message: Message) -> None:
        connection.link.send(wire.encode(message))

    # --- sending ------------------------------------------------------------------------------------

    def _schedule_flush(self) -> None:
        """Logs events, closes replaced connections, and schedules writes to connections and to disk."""
        publisher = self.publisher
        for event in publisher.events:
            self._say(event.message, **event.fields)
        publisher.events.clear()
        for id in publisher.replaced_connections:
            if id in self._connections:
                self._connections[id].link.abort("replaced by a newer connection of this name")
        publisher.replaced_connections.clear()
        if publisher.unsaved:
            self._save_due.set()
        if publisher.pending and not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Writes to some of the connections that have something pending."""
        self._flush_scheduled = False
        pending = self.publisher.pending
        for id in list(pending)[:CONNECTIONS_PER_TURN]:
            # A connection that cannot be written to now asks for its next message itself when it can.
            pending.pop(id, None)
            connection = self._connections.get(id)
            if connection is not None:
                connection.link.write_pending()
        if pending:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    async def _tick_loop(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._tick(clock.now())
            except Exception as error:  # the machine must not stop without its tick
                self._say("error in the periodic tick", why=f"{type(error).__name__}: {error}")

    def _tick(self, now: int) -> None:
        """Performs the periodic work."""
        self.publisher.tick(now)
        if self._relay is not None:
            self._relay.publish_pending()
        self._schedule_freshness()
        encoded: dict[tuple[str, ...], bytes] = {}
        for connection in list(self._connections.values()):
            if connection.hello is None and connection.pending_hello is None:
                continue
            if now - connection.last_heard_at >= SILENCE_TIMEOUT_US:
                connection.link.abort("lost: silent")
            elif connection.hello is None:
                if now - connection.heartbeat_sent_at >= HEARTBEAT_INTERVAL_US:
                    connection.heartbeat_sent_at = now
                    connection.link.send(wire.encode(Heartbeat()))
            elif connection.hello.role != OPERATOR and now - connection.heartbeat_sent_at >= HEARTBEAT_INTERVAL_US:
                connection.heartbeat_sent_at = now
                if connection.link.idle:
                    # A connection with data in transit needs no heartbeat.
                    connection.link.send(self._encoded_heartbeat(connection, now, encoded))
        if now - self._cleaned_at >= CLEANUP_INTERVAL_US:
            self._cleaned_at = now
            self.publisher.remove_expired(now)
            self.freshness.remove_expired(now)
        self._schedule_flush()

    # --- freshness of facts -------------------------------------------------------------------------

    def _facts_for(self, hello: Hello) -> tuple[str, ...]:
        """The facts whose freshness this connection is told."""
        if hello.role == RELAY:
            return tuple(self.freshness.names)
        return tuple(name for kind, name in hello.subscribed if kind == ENDPOINTS and self.freshness.get(name))

    def _heartbeat(self, connection: _SubscriberConnection, now: int) -> Heartbeat:
        heartbeat = self.publisher.heartbeat(now)
        facts = self._facts_for(connection.hello) if connection.hello is not None else ()
        return (
            Heartbeat(heartbeat.epoch, heartbeat.stamp, heartbeat.age_us, self.freshness.reports_for(facts, now))
            if facts
            else heartbeat
        )

    def _encoded_heartbeat(
        self, connection: _SubscriberConnection, now: int, encoded: dict[tuple[str, ...], bytes]
    ) -> bytes:
        """One encoding for all connections that subscribe to the same facts."""
        facts = self._facts_for(connection.hello) if connection.hello is not None else ()
        if facts not in encoded:
            encoded[facts] = wire.encode(self._heartbeat(connection, now))
        return encoded[facts]

    def _record_own_freshness(self, name: str, version: Version, confirmed_at: int) -> bool:
        """Records that discovery confirmed this version of a fact that this machine owns. Returns whether it is the
        newest version.
        """
        stored = self.publisher.resources.get((ENDPOINTS, name))
        if stored is None or stored.newest.version != version:
            return False
        self.freshness.record_own(name, version, confirmed_at, clock.now())
        self._freshness_changed((name,))
        return True

    def _freshness_changed(self, names: Sequence[str]) -> None:
        """The freshness of these facts has changed: their subscribers are told by a heartbeat ahead of the next regular
        one.
        """
        for name in names:
            stored = self.publisher.resources.get((ENDPOINTS, name))
            if stored is not None:
                self._freshness_due.update(dict.fromkeys(stored.subscribers))
        self._schedule_freshness()

    def _schedule_freshness(self) -> None:
        if self._freshness_due and not self._freshness_scheduled:
            self._freshness_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_freshness, list(self._freshness_due), 0)

    def _send_freshness(self, ids: list[int], start: int) -> None:
        """Sends freshness reports to a few connections in each turn of the loop, as with all messages. Connections that
        are busy get the newest report at a later tick.
        """
        if start + CONNECTIONS_PER_TURN < len(ids):
            asyncio.get_running_loop().call_soon(self._send_freshness, ids, start + CONNECTIONS_PER_TURN)
        else:
            self._freshness_scheduled = False
        now = clock.now()
        encoded: dict[tuple[str, ...], bytes] = {}
        for id in ids[start : start + CONNECTIONS_PER_TURN]:
            if id not in self._freshness_due:
                continue
            connection = self._connections.get(id)
            if connection is None or connection.hello is None:
                del self._freshness_due[id]
            elif connection.link.idle:
                del self._freshness_due[id]
                connection.heartbeat_sent_at = now
                connection.link.send(self._encoded_heartbeat(connection, now, encoded))

    def _write_fact(self, name: str, body: bytes) -> Version | None:
        """Writes a fact as its owner and returns the version that has this body, or None if it cannot be written now.
        It is saved to disk afterwards: its version number is the time, so a lost write cannot lead to a number being
        used twice.
        """
        publisher, now = self.publisher, clock.now()
        stored = publisher.resources.get((ENDPOINTS, name))
        if stored is not None and stored.newest.body == body:
            return stored.newest.version
        try:
            resource = publisher.draft(ENDPOINTS, name, body, now)
        except RejectedUpdateError as error:
            self.counts["facts not written"] += 1
            if self.counts["facts not written"] % 100 == 1:
                self._say("a fact can't be written yet", name=name, why=str(error))
            return None
        if publisher.accept(resource, now) is not None:
            return None
        if self._subscriber is not None:
            self._subscriber.resources[resource.key] = resource
        self._schedule_flush()
        return resource.version

    # --- disk ---------------------------------------------------------------------------------------

    async def _save_loop(self) -> None:
        """Writes unsaved resources to disk, with retries."""
        while True:
            await self._save_due.wait()
            self._save_due.clear()
            while self.publisher.unsaved:
                if not await self._save_next():
                    await asyncio.sleep(DISK_RETRY_S)

    async def _save_next(self) -> bool:
        """Writes one unsaved resource to disk. Returns whether that succeeded."""
        async with self._disk_lock:
            # Chosen once the disk is free: a change may have been published during the wait.
            key = next(iter(self.publisher.unsaved), None)
            if key is None:
                return True
            del self.publisher.unsaved[key]
            stored = self.publisher.resources[key]
            error = await self._write_to_disk(stored.newest, stored.stable, stored.halted)
            if error:
                self.publisher.unsaved.setdefault(key, None)
        if error != self._disk_error:
            self._disk_error = error
            self._say("the disk fails: serving from memory" if error else "the disk is written again", why=error or "-")
        return not error

    async def _write_to_disk(self, newest: Resource, stable: Resource | None, halted: str) -> str:
        """Writes a resource to disk; the caller holds the disk's lock. Returns an error or an empty text."""
        self._write_began_at = clock.now()
        try:
            await asyncio.to_thread(version_records.write, self._disk, newest, stable, halted)
        except OSError as error:
            return error.strerror or str(error)
        finally:
            self._write_began_at = None
        return ""

    # --- operators ----------------------------------------------------------------------------------

    def _handle_operator(self, connection: _SubscriberConnection, message: Message) -> None:
        if isinstance(message, Publish):
            self._spawn(self._publish(connection, message))
        elif isinstance(message, RolloutRequest):
            self._spawn(self._rollout(connection, message))
        elif isinstance(message, CountersRequest):
            self._send(connection, Counters(self._counters()))
        else:
            raise InvalidPacketError("authentic, but not allowed for this role")

    def _counters(self) -> dict[str, int | str]:
        now = clock.now()
        return {
            "name": self._settings.name,
            "connections": len(self._connections),
            "waiting to be served": len(self._admission),
            "peers connected": len(self._outgoing.links),
            "disk": self._disk_error or "written",
            "unsaved": len(self.publisher.unsaved),
            "write us": 0 if self._write_began_at is None else now - self._write_began_at,
            "age us": self.publisher.heartbeat(now).age_us,
            **self.publisher.counters(),
            **self.counts,
            **(self._relay.counters() if self._relay is not None else {}),
        }

    async def _publish(self, connection: _SubscriberConnection, request: Publish) -> None:
        """Writes a change of an operator: to disk first, then to the subscribers."""
        publisher = self.publisher
        async with self._publish_lock:
            try:
                resource = publisher.draft(request.kind, request.name, request.body, clock.now())
            except RejectedUpdateError as error:
                self._send(connection, Published(*NO_VERSION, one_line(str(error))))
                return
            async with self._disk_lock:
                stored = publisher.resources.get(resource.key)
                stable = stored.stable if stored is not None else None
                disk_error = await self._write_to_disk(resource, stable, "")
            if disk_error:
                self._send(
                    connection, Published(*NO_VERSION, one_line(f"the change can't be written to disk: {disk_error}"))
                )
                return
            problem = publisher.accept(resource, clock.now())
            if problem is None and publisher.resources[resource.key].newest is not resource:
                # During the write a newer version arrived from another control machine. It is written to disk after
                # this one.
                publisher.unsaved[resource.key] = None
                problem = (
                    f"{publisher.resources[resource.key].newest.version} came meanwhile from another control machine"
                )
            if problem:
                self._send(connection, Published(*NO_VERSION, one_line(problem)))
                return
            if publisher.resources[resource.key].stable is stable:
                publisher.unsaved.pop(resource.key, None)
            if self._subscriber is not None:
                self._subscriber.resources[resource.key] = resource
        name = connection.hello.name if connection.hello else "?"
        self._say(
            "published",
            resource=f"{resource.kind}/{resource.name}",
            version=str(resource.version),
            digest=resource.digest,
            by=name,
        )
        self._send(connection, Published(*resource.version))
        self._schedule_flush()

    async def _rollout(self, connection: _SubscriberConnection, request: RolloutRequest) -> None:
        """Answers with this machine's view of a rollout, and with `all_machines` also with those of the
        other machines.
        """
        answers = [self.publisher.rollout_rows(request.request_id, (request.kind, request.name), clock.now())]
        silent: list[str] = []
        if request.all_machines:
            pending: dict[str, asyncio.Future[Rows]] = {}
            for upstream in self._addresses:
                link = self._outgoing.links.get(upstream)
                if link is None or not link.session.handshake_complete:
                    silent.append(upstream)
                    continue
                request_id = next(self._request_ids)
                answer: asyncio.Future[Rows] = asyncio.get_running_loop().create_future()
                self._peer_requests[request_id] = upstream, answer
                pending[upstream] = answer
                link.send(wire.encode(RolloutRequest(request_id, request.kind, request.name, False)))
            if pending:
                await asyncio.wait(pending.values(), timeout=PEER_REPLY_TIMEOUT_S)
            for upstream, answer in pending.items():
                if answer.done() and not answer.cancelled():
                    answers.append(answer.result())
                else:
                    silent.append(upstream)
            for request_id in [
                request_id for request_id, (_, answer) in self._peer_requests.items() if answer in pending.values()
            ]:
                del self._peer_requests[request_id]
        merged = merge_rollout(answers, silent)
        rows: dict[str, Row] = {}
        for row in (row for answer_rows in answers for row in answer_rows.rows):
            rows[row.proxy] = max(row, rows.get(row.proxy, row), key=row_priority)
        self._send(
            connection,
            Rows(request.request_id, merged.version, merged.digest, merged.halted, list(rows.values()), merged.silent),
        )

    # --- connections to other control machines ------------------------------------------------------

    def _wake(self) -> None:
        """Runs the subscriber's timer."""
        if self._subscriber is None or self._socket is None:
            return
        if self._wake_timer is not None:
            self._wake_timer.cancel()
        now = clock.now()
        due = self._subscriber.wake(now)
        self._perform_effects()
        self._wake_timer = asyncio.get_running_loop().call_later(max(0.001, (due - now) / 1e6), self._wake)

    def _perform_effects(self) -> None:
        """Performs the effects of this machine's subscriber."""
        subscriber = self._subscriber
        assert subscriber is not None
        while subscriber.effects:
            effects, subscriber.effects = subscriber.effects, []
            for effect in effects:
                if isinstance(effect, Send):
                    link = self._outgoing.links.get(effect.upstream)
                    if link is not None:
                        link.send(wire.encode(effect.message))
                elif isinstance(effect, Connect):
                    self._connect_peer(effect.upstream)
                elif isinstance(effect, Close):
                    self._outgoing.close(effect.upstream)
                    self.publisher.peer_disconnected(effect.upstream)
                elif isinstance(effect, Apply):
                    self._accept_from_peer(effect)
                elif isinstance(effect, LogEvent):
                    self._say(effect.message, **effect.fields)

    def _accept_from_peer(self, effect: Apply) -> None:
        """Stores a version received from another control machine."""
        assert self._subscriber is not None
        now, resource = clock.now(), effect.resource
        stored = self.publisher.resources.get(resource.key)
        if effect.halted and stored is not None and stored.newest.version == resource.version:
            self.publisher.halt(resource.key, resource.version, effect.halted)
            return
        problem = self.publisher.accept(resource, now, effect.halted, effect.stable)
        if problem:
            self._say(
                "a version of another control machine is rejected",
                resource="/".join(resource.key),
                version=str(resource.version),
                why=problem,
            )
        if not effect.stable:
            self._subscriber.applied(resource, problem, now)

    def _connect_peer(self, upstream: str) -> None:
        link = Link(
            Session(self._key, True, MAX_REPLY_BYTES), partial(self._peer_connected, upstream),
            partial(self._peer_message, upstream), partial(self._peer_disconnected, upstream), self.counts,
        )  # fmt: skip
        self._outgoing.connect(upstream, link)

    def _peer_connected(self, upstream: str, link: Link) -> None:
        if self._outgoing.links.get(upstream) is link and self._subscriber is not None:
            self._subscriber.connected(upstream, clock.now())
            self.publisher.peer_connected(upstream)
            self._after_peer_event()

    def _peer_message(self, upstream: str, link: Link, message: Message) -> None:
        if self._outgoing.links.get(upstream) is not link or self._subscriber is None:
            return
        if isinstance(message, Rows):
            request = self._peer_requests.get(message.request_id)
            if request is not None and request[0] == upstream and not request[1].done():
                request[1].set_result(message)
            return
        now = clock.now()
        self._subscriber.received(upstream, message, now)
        if isinstance(message, Offer):
            self.publisher.peer_offered(upstream, message, now)
        self._after_peer_event()
        if isinstance(message, Heartbeat):
            # Freshness reports refer to versions, so they are handled after the versions that preceded them.
            updated = [report.name for report in message.freshness if self.freshness.record(report, now)]
            if updated:
                self._freshness_changed(updated)

    def _peer_disconnected(self, upstream: str, link: Link, reason: str) -> None:
        if self._outgoing.links.get(upstream) is not link or self._subscriber is None:
            return
        del self._outgoing.links[upstream]
        self.counts["peers lost"] += 1
        self._subscriber.disconnected(upstream, clock.now())
        self.publisher.peer_disconnected(upstream)
        self._after_peer_event()

    def _after_peer_event(self) -> None:
        """Performs effects and passes on what another control machine has confirmed."""
        self._perform_effects()
        subscriber, publisher = self._subscriber, self.publisher
        assert subscriber is not None
        publisher.follow_origin(subscriber.confirmed, subscriber.confirmed_at)
        self._wake()
        self._schedule_flush()
