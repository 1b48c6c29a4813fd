"""Measures the memory of a control machine and of a proxy's client, and the bytes of one configuration message on a
connection. The real code runs in this process, without sockets.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from pepperusher.capacity import fixtures
from pepperusher.capacity.control_run import NAME, ROUTES, configuration_body, framed_size
from pepperusher.capacity.decisions import NOW, allocated_bytes
from pepperusher.distribution import wire
from pepperusher.distribution.link import Link
from pepperusher.distribution.publisher import MAX_DELTA_BASES, Publisher
from pepperusher.distribution.server import _SubscriberConnection
from pepperusher.distribution.subscriber import Subscriber
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    CONFIG, NO_VERSION, PROXY, Hello, Key, Resource, Version, mark_of, make_resource,
)  # fmt: skip

KEY = b"measured, not a key of anybody's"
MACHINES = 9


def proxy_name(number: int) -> str:
    """Returns a proxy name of realistic length."""
    return f"service-{number // 24:03d}-{number:05d}"


def hello_message(number: int, names: list[Key], have: list[Resource] | None = None) -> Hello:
    """Returns the message as decoded from the wire, so that it shares no objects with other messages."""
    zone = fixtures.ZONES[number % len(fixtures.ZONES)]
    message = Hello(
        PROXY, proxy_name(number), Random(number).getrandbits(62), zone[:2], zone, True, names, [], []
    )  # fmt: skip
    decoded = wire.decode(wire.encode(message))
    assert isinstance(decoded, Hello)
    return decoded


def open_sessions() -> tuple[Session, Session]:
    """Returns both sides of a connection after the handshake."""
    client, server = Session(KEY, True), Session(KEY, False)
    assert not [*client.feed(server.handshake()), *server.feed(client.handshake())]
    return client, server


def _publisher() -> Publisher:
    return Publisher("control-0", "r0", 1, False, 0, NOW)


def _end_waves(publisher: Publisher, now: int) -> int:
    """Ends all waves of a publisher that has no subscribers to wait for; returns the time after that."""
    for _ in range(4):
        now += 2_000_000
        publisher.tick(now)
    return now


def subscribers(size: int, names: int = 1) -> object:
    """Returns a publisher with `size` subscribers, each with `names` resources in force, and their connections."""
    publisher = _publisher()
    for number in range(names):
        first_version = make_resource(CONFIG, f"{NAME}-{number:03d}", Version(1, 1), configuration_body(1))
        publisher.accept(first_version, NOW)
    _end_waves(publisher, NOW)
    connections = []
    for subscriber_id in range(size):
        client, server = open_sessions()
        greeting = hello_message(subscriber_id, [(CONFIG, f"{NAME}-{number:03d}") for number in range(names)])
        link = Link(server, lambda _: None, lambda *_: None, lambda *_: None, Counter())
        connection = _SubscriberConnection(link, NOW)
        connection.hello = greeting
        connections.append(connection)
        publisher.add_subscriber(subscriber_id, greeting, NOW)
        while publisher.next_message(subscriber_id) is not None:
            pass
        for key in greeting.subscribed:
            proxy = publisher.proxies[greeting.name]
            proxy.in_force[key] = publisher.resources[key].newest.version
    return publisher, connections


def by_subscriber(size: int, _: int) -> float:
    """Returns the bytes that a machine holds for `size` subscribers of one resource, without the memory of asyncio and
    the kernel for a connection.
    """
    return allocated_bytes(lambda: subscribers(size))


def by_subscription(size: int, _: int) -> float:
    """Returns the same for 100 subscribers, by the number of resources that each subscribes to."""
    return allocated_bytes(lambda: subscribers(100, size))


def by_resource(size: int, _: int) -> float:
    """Returns the bytes that a machine without subscribers holds for `size` resources of ROUTES routes, each with all
    the older versions that it keeps.
    """

    def create() -> object:
        publisher, now = _publisher(), NOW
        for version in range(1, MAX_DELTA_BASES + 3):
            for number in range(size):
                body = configuration_body(ROUTES, version)
                publisher.accept(make_resource(CONFIG, f"{NAME}-{number:04d}", Version(1, version), body), now)
            now = _end_waves(publisher, now)
        return publisher

    return allocated_bytes(create)


def _update(routes: int, as_delta: bool) -> bytes:
    """Returns what a publisher sends a proxy: the whole resource, or a delta from the previous version."""
    publisher = _publisher()
    first = make_resource(CONFIG, NAME, Version(1, 1), configuration_body(routes))
    publisher.accept(first, NOW)
    now = _end_waves(publisher, NOW)
    publisher.add_subscriber(1, hello_message(1, [(CONFIG, NAME)]), now)
    update = publisher.next_message(1)
    assert update is not None
    if as_delta:
        publisher.accept(make_resource(CONFIG, NAME, Version(1, 2), configuration_body(routes, 30)), now)
        publisher.subscribers[1].dirty[CONFIG, NAME] = None
        for _ in range(4):
            now += 2_000_000
            publisher.tick(now)
        update = publisher.next_message(1)
        assert update is not None
    return update


def snapshot_bytes(routes: int, _: int) -> float:
    """Returns the bytes on the connection of a whole configuration."""
    return float(framed_size(wire.decode(_update(routes, False))))


def delta_bytes(routes: int, _: int) -> float:
    """Returns the bytes on the connection for a change of one route."""
    return float(framed_size(wire.decode(_update(routes, True))))


def client_state(routes: int, seed: int) -> float:
    """Returns the bytes that a proxy holds for its decisions about control machines and the resource that it got from
    them, without its connections.
    """

    def create() -> object:
        upstreams = [f"10.0.0.{number}:7300" for number in range(MACHINES)]
        subscriber = Subscriber("proxy", 1, "r0", "r0z0", upstreams, [(CONFIG, NAME)], [], Random(seed), NOW)
        configuration = make_resource(CONFIG, NAME, Version(1, 1), configuration_body(routes))
        subscriber._enqueue(configuration, "", NOW)
        subscriber.applied(configuration, None, NOW)
        assert subscriber.resources[CONFIG, NAME] is configuration and mark_of(configuration).version > NO_VERSION
        return subscriber, configuration, dict(subscriber.resources)

    return allocated_bytes(create)
