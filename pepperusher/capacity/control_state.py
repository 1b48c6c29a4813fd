"""What a control machine and a proxy's client hold in their memory, and what one message of a configuration
takes on a connection; counted in this process by the real code, without sockets.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from pepperusher.capacity import fixtures
from pepperusher.capacity.control_run import NAME, ROUTES, body_of, framed
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


def name_of(number: int) -> str:
    return f"service-{number // 24:03d}-{number:05d}"


def hello(number: int, names: list[Key], have: list[Resource] | None = None) -> Hello:
    """As it comes off the wire: nothing in it is shared with another's."""
    zone = fixtures.ZONES[number % len(fixtures.ZONES)]
    said = Hello(
        PROXY, name_of(number), Random(number).getrandbits(62), zone[:2], zone, True, names, [], []
    )  # fmt: skip
    read = wire.decode(wire.encode(said))
    assert isinstance(read, Hello)
    return read


def opened() -> tuple[Session, Session]:
    """Both sides of a connection that has begun."""
    caller, called = Session(KEY, True), Session(KEY, False)
    assert not [*caller.feed(called.handshake()), *called.feed(caller.handshake())]
    return caller, called


def _publisher() -> Publisher:
    return Publisher("control-0", "r0", 1, False, 0, NOW)


def _settled(publisher: Publisher, now: int) -> int:
    """All waves over, with nobody there to wait for."""
    for _ in range(4):
        now += 2_000_000
        publisher.tick(now)
    return now


def subscribers(size: int, names: int = 1) -> object:
    """A publisher with so many connected, each with `names` resources in force."""
    publisher = _publisher()
    for number in range(names):
        made = make_resource(CONFIG, f"{NAME}-{number:03d}", Version(1, 1), body_of(1))
        publisher.accept(made, NOW)
    _settled(publisher, NOW)
    connections = []
    for id in range(size):
        caller, called = opened()
        greeting = hello(id, [(CONFIG, f"{NAME}-{number:03d}") for number in range(names)])
        link = Link(called, lambda _: None, lambda *_: None, lambda *_: None, Counter())
        one = _SubscriberConnection(link, NOW)
        one.hello = greeting
        connections.append(one)
        publisher.add_subscriber(id, greeting, NOW)
        while publisher.next_message(id) is not None:
            pass
        for key in greeting.subscribed:
            proxy = publisher.proxies[greeting.name]
            proxy.in_force[key] = publisher.resources[key].newest.version
    return publisher, connections


def by_subscriber(size: int, _: int) -> float:
    """Bytes of a machine with so many connected, one resource each; without asyncio's and the kernel's
    part of a connection.
    """
    return allocated_bytes(lambda: subscribers(size))


def by_subscription(size: int, _: int) -> float:
    """The same for 100 connected, by the resources that each takes."""
    return allocated_bytes(lambda: subscribers(100, size))


def by_resource(size: int, _: int) -> float:
    """Bytes of a machine with so many resources of ROUTES routes, each with all the versions before that are
    kept, and nobody connected.
    """

    def makes() -> object:
        publisher, now = _publisher(), NOW
        for version in range(1, MAX_DELTA_BASES + 3):
            for number in range(size):
                body = body_of(ROUTES, version)
                publisher.accept(make_resource(CONFIG, f"{NAME}-{number:04d}", Version(1, version), body), now)
            now = _settled(publisher, now)
        return publisher

    return allocated_bytes(makes)


def _update(routes: int, known: bool) -> bytes:
    """What a publisher sends a proxy: the whole, or from the version before."""
    publisher = _publisher()
    first = make_resource(CONFIG, NAME, Version(1, 1), body_of(routes))
    publisher.accept(first, NOW)
    now = _settled(publisher, NOW)
    publisher.add_subscriber(1, hello(1, [(CONFIG, NAME)]), now)
    sent = publisher.next_message(1)
    assert sent is not None
    if known:
        publisher.accept(make_resource(CONFIG, NAME, Version(1, 2), body_of(routes, 30)), now)
        publisher.subscribers[1].dirty[CONFIG, NAME] = None
        for _ in range(4):
            now += 2_000_000
            publisher.tick(now)
        sent = publisher.next_message(1)
        assert sent is not None
    return sent


def snapshot_bytes(routes: int, _: int) -> float:
    return float(framed(wire.decode(_update(routes, False))))


def delta_bytes(routes: int, _: int) -> float:
    """For a change of one route."""
    return float(framed(wire.decode(_update(routes, True))))


def client_state(routes: int, seed: int) -> float:
    """Bytes that a proxy's decisions about control machines and what it took from them hold; without its
    connections.
    """

    def makes() -> object:
        upstreams = [f"10.0.0.{number}:7300" for number in range(MACHINES)]
        one = Subscriber("proxy", 1, "r0", "r0z0", upstreams, [(CONFIG, NAME)], [], Random(seed), NOW)
        made = make_resource(CONFIG, NAME, Version(1, 1), body_of(routes))
        one._enqueue(made, "", NOW)
        one.applied(made, None, NOW)
        assert one.resources[CONFIG, NAME] is made and mark_of(made).version > NO_VERSION
        return one, made, dict(one.resources)

    return allocated_bytes(makes)
