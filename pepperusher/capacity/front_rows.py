"""What differs at a front proxy from a proxy beside a backend, and where nothing does; free of I/O.

A front proxy is the same program before clients from outside: it has more calls and clients, and it may call
every service. How many there are and what they carry the target leaves open.
"""

from __future__ import annotations

from collections.abc import Iterator

from pepperusher.capacity import control_rows
from pepperusher.capacity.control_rows import SECOND, At
from pepperusher.capacity.target import Assumed, Budget, Row, Target, total, product

FRONT = "front proxy"
CLIENTS = 2_000
SAME = "not different from a proxy beside a backend"


def rows(at: At, t: Target, mild: Assumed, harsh: Assumed) -> Iterator[Row]:
    both = mild, harsh
    arc = "arc.zone", "arc.zones"
    sockets = Budget(
        1_024, "own choice: `net/bootstrap.py` SOCKETS, a proxy's descriptors where its configuration names none"
    )
    memory = Budget(t.proxy_bytes, "target: 256 MB")
    core = Budget(SECOND, "own choice: one core, since a proxy is one process")
    cpu = Budget(t.proxy_cpu_us, "target: 1.4% of a core for control")
    wire = Budget(t.proxy_wire, "target: 21 KB a second for control")
    wire_12 = Budget(t.proxy_wire * t.in_force_s, "target: 21 KB a second, over 12 s")
    kept = [at(arc[of.zoned], of.front_listed) for of in both]
    yield Row(
        FRONT,
        "always",
        "backends it keeps connections to",
        "connections",
        *kept,
        sockets,
        "arcs (`policy.py` MIN_BACKENDS_PER_PROXY, PROXIES_PER_BACKEND)",
        arc,
        "its list is longer: see the assumptions",
    )
    yield Row(
        FRONT, "always", f"memory with {CLIENTS:,} connections of clients", "bytes",
        *(
            total(
                at("connection.memory", CLIENTS),
                product(_slope(at, "process.memory"), float(of.front_listed - 24)),
            )
            for of in both
        ),
        memory, "`net/callers.py`, the list as it is sent", ("connection.memory", "process.memory"),
    )  # fmt: skip
    yield Row(
        FRONT, "always", f"descriptors with {CLIENTS:,} connections of clients", "descriptors",
        *(total(at("connection.descriptors", CLIENTS), one) for one in kept), sockets,
        "`net/callers.py`: the idle one of longest is closed at the limit",
        ("connection.descriptors", *arc), "its configuration must name more sockets",
    )  # fmt: skip
    calls = [t.calls * of.entering / of.fronts for of in both]
    yield Row(
        FRONT,
        "ordinary day",
        "calls a second of one front proxy",
        "calls/s",
        calls[0],
        calls[1],
        None,
        "one process; nothing shares its calls with another",
        (),
        "own choice, see the assumptions; beside a backend 72 a second",
    )
    each = [at("added.calm.cpu", 1_000)] * 2
    yield Row(
        FRONT,
        "ordinary day",
        "processor time a second for its calls",
        "us/s",
        product(calls[0], each[0]),
        product(calls[1], each[1]),
        core,
        "the whole proxy, on one core",
        ("added.calm.cpu",),
        "by the processor time of a call at 72 calls a second, load beside the slope",
    )
    yield Row(
        FRONT, "ordinary day", "processor time a second: process and membership at rest", "us/s",
        *(total(at("process.idle", of.front_listed), at("group.cpu", of.members)) for of in both), cpu,
        "`group/swim.py`, `net/discovery.py`", ("process.idle", "group.cpu"), "its list is longer",
    )  # fmt: skip
    change = at("discovery.change_bytes", 1)
    for when, rates in (
        ("ordinary day", [3 * t.restarts_a_day / 86_400] * 2),
        ("release", [3 * of.released / of.release_s for of in both]),
    ):
        yield Row(
            FRONT, when, "bytes a second in for changes of its list", "bytes/s",
            *(product(rate * of.front_listed / t.proxies, change) for rate, of in zip(rates, both)), wire,
            "`net/discovery.py`", ("discovery.change_bytes",), "harsh: as a proxy that lists all",
        )  # fmt: skip
    yield Row(
        FRONT, "release", "processor time a second with the list's changes", "us/s",
        *(
            total(
                at("process.idle", of.front_listed),
                product(3 * of.released / of.release_s, at("list.change", of.front_listed)),
            )
            for of in both
        ),
        cpu, "`facade.listed`, which lays every ring anew for each change", ("process.idle", "list.change"),
    )  # fmt: skip
    for when, lost in (
        ("a rack lost", 40), ("a zone lost", t.proxies // t.zones),
        ("a region lost", t.proxies * 4 // t.zones),
    ):  # fmt: skip
        yield Row(
            FRONT, when, f"bytes in for {lost:,} changes of the list, of 12 s", "bytes",
            *(product(lost * of.front_listed / t.proxies, change) for of in both), wire_12,
            "`net/discovery.py`", ("discovery.change_bytes",),
        )  # fmt: skip
        yield Row(
            FRONT, when, "connections to backends that are lost and opened elsewhere", "connections",
            *(product(one, lost / t.proxies) for one in kept), sockets, "arcs; `net/backends.py`", arc,
            "as many as of its list are lost",
        )  # fmt: skip
    yield Row(
        FRONT, "every proxy started", "bytes of its list, of 12 s", "bytes",
        *(at("list.bytes", of.front_listed) for of in both), wire_12,
        "missing: a subscription by name (every proxy is sent the whole list)", ("list.bytes",),
    )  # fmt: skip
    yield Row(
        FRONT, "every proxy started", "how long a whole list holds the loop", "us",
        *(total(at("list.parse", of.front_listed), at("list.take", of.front_listed)) for of in both), None,
        "`net/discovery.py`, at once on the loop", ("list.parse", "list.take"),
    )  # fmt: skip
    yield from control_rows.proxy_rows(at, t, mild, harsh, FRONT, SAME)


def _slope(at: At, name: str) -> float | None:
    one, two = at(name, 1_000), at(name, 1_001)
    return None if one is None or two is None else two - one
