"""Rows for a front proxy, compared with a proxy beside a backend. This module does no I/O.

A front proxy is the same program serving clients from outside the mesh: it has more calls and connections, and it may
call every service. The target does not say how many front proxies there are or how many calls they carry; see
`target.Assumed`.
"""

from __future__ import annotations

from collections.abc import Iterator

from pepperusher.capacity import control_rows
from pepperusher.capacity.control_rows import US_PER_SECOND, ValueAt
from pepperusher.capacity.target import Assumed, Budget, Row, Target, total, product

FRONT_PROXY = "front proxy"
CLIENT_CONNECTIONS = 2_000
SAME_NOTE = "the same as for a proxy beside a backend"


def rows(value_at: ValueAt, target: Target, mild: Assumed, harsh: Assumed) -> Iterator[Row]:
    """Yields the rows of one front proxy."""
    cases = mild, harsh
    arc_measures = "arc.zone", "arc.zones"
    socket_budget = Budget(
        1_024,
        "own choice: `net/bootstrap.py` SOCKETS, the descriptors of a proxy whose configuration does not set them",
    )
    memory_budget = Budget(target.proxy_bytes, "target: 256 MB")
    core_budget = Budget(US_PER_SECOND, "own choice: one core, since a proxy is one process")
    cpu_budget = Budget(target.proxy_cpu_us, "target: 1.4% of a core for control")
    bandwidth_budget = Budget(target.proxy_wire, "target: 21 KB a second for control")
    bandwidth_budget_12_s = Budget(target.proxy_wire * target.in_force_s, "target: 21 KB a second, over 12 s")
    backend_connections = [value_at(arc_measures[assumed.zoned], assumed.front_listed) for assumed in cases]
    yield Row(
        FRONT_PROXY,
        "always",
        "backends that it is connected to",
        "connections",
        *backend_connections,
        socket_budget,
        "subsets (`policy.py` MIN_BACKENDS_PER_PROXY, PROXIES_PER_BACKEND)",
        arc_measures,
        "its list is longer: see the assumptions",
    )
    yield Row(
        FRONT_PROXY, "always", f"memory with {CLIENT_CONNECTIONS:,} connections of clients", "bytes",
        *(
            total(
                value_at("connection.memory", CLIENT_CONNECTIONS),
                product(_slope_at_target(value_at, "process.memory"), float(assumed.front_listed - 24)),
            )
            for assumed in cases
        ),
        memory_budget, "`net/callers.py`, the whole endpoint list", ("connection.memory", "process.memory"),
    )  # fmt: skip
    yield Row(
        FRONT_PROXY, "always", f"descriptors with {CLIENT_CONNECTIONS:,} connections of clients", "descriptors",
        *(total(value_at("connection.descriptors", CLIENT_CONNECTIONS), connections) for connections in backend_connections), socket_budget,
        "`net/callers.py`: at the limit the connection idle longest is closed",
        ("connection.descriptors", *arc_measures), "its configuration must name more sockets",
    )  # fmt: skip
    calls = [target.calls * assumed.entering / assumed.fronts for assumed in cases]
    yield Row(
        FRONT_PROXY,
        "ordinary day",
        "calls a second of one front proxy",
        "calls/s",
        calls[0],
        calls[1],
        None,
        "a single process; no other shares its calls",
        (),
        "own choice, see the assumptions; a proxy beside a backend has 72 a second",
    )
    cpu_us_a_call = [value_at("added.calm.cpu", 1_000)] * 2
    yield Row(
        FRONT_PROXY,
        "ordinary day",
        "processor time a second for its calls",
        "us/s",
        product(calls[0], cpu_us_a_call[0]),
        product(calls[1], cpu_us_a_call[1]),
        core_budget,
        "the whole proxy, on one core",
        ("added.calm.cpu",),
        "by the processor time of a call at 72 calls a second, load given with the slope",
    )
    yield Row(
        FRONT_PROXY, "ordinary day", "processor time a second: process and membership at rest", "us/s",
        *(total(value_at("process.idle", assumed.front_listed), value_at("group.cpu", assumed.members)) for assumed in cases), cpu_budget,
        "`group/swim.py`, `net/discovery.py`", ("process.idle", "group.cpu"), "its list is longer",
    )  # fmt: skip
    bytes_a_change = value_at("discovery.change_bytes", 1)
    for occasion, rates in (
        ("ordinary day", [3 * target.restarts_a_day / 86_400] * 2),
        ("release", [3 * assumed.released / assumed.release_s for assumed in cases]),
    ):
        yield Row(
            FRONT_PROXY, occasion, "bytes a second in for changes of its list", "bytes/s",
            *(product(rate * assumed.front_listed / target.proxies, bytes_a_change) for rate, assumed in zip(rates, cases)), bandwidth_budget,
            "`net/discovery.py`", ("discovery.change_bytes",), "harsh: its list has all backends",
        )  # fmt: skip
    yield Row(
        FRONT_PROXY, "release", "processor time a second for changes of the list", "us/s",
        *(
            total(
                value_at("process.idle", assumed.front_listed),
                product(3 * assumed.released / assumed.release_s, value_at("list.change", assumed.front_listed)),
            )
            for assumed in cases
        ),
        cpu_budget, "`facade.update_endpoints`, which rebuilds every ring for each change", ("process.idle", "list.change"),
    )  # fmt: skip
    for occasion, lost_backends in (
        ("a rack lost", 40), ("a zone lost", target.proxies // target.zones),
        ("a region lost", target.proxies * 4 // target.zones),
    ):  # fmt: skip
        yield Row(
            FRONT_PROXY, occasion, f"bytes in for {lost_backends:,} changes of the list, over 12 s", "bytes",
            *(product(lost_backends * assumed.front_listed / target.proxies, bytes_a_change) for assumed in cases), bandwidth_budget_12_s,
            "`net/discovery.py`", ("discovery.change_bytes",),
        )  # fmt: skip
        yield Row(
            FRONT_PROXY, occasion, "connections to backends that are lost and opened elsewhere", "connections",
            *(product(connections, lost_backends / target.proxies) for connections in backend_connections), socket_budget, "subsets; `net/backends.py`", arc_measures,
            "the same fraction as of its list is lost",
        )  # fmt: skip
    yield Row(
        FRONT_PROXY, "every proxy started", "bytes of its list, over 12 s", "bytes",
        *(value_at("list.bytes", assumed.front_listed) for assumed in cases), bandwidth_budget_12_s,
        "missing: a subscription by name (every proxy is sent the whole list)", ("list.bytes",),
    )  # fmt: skip
    yield Row(
        FRONT_PROXY, "every proxy started", "how long a whole list blocks the event loop", "us",
        *(total(value_at("list.parse", assumed.front_listed), value_at("list.take", assumed.front_listed)) for assumed in cases), None,
        "`net/discovery.py`, in one step on the event loop", ("list.parse", "list.take"),
    )  # fmt: skip
    yield from control_rows.proxy_rows(value_at, target, mild, harsh, FRONT_PROXY, SAME_NOTE)


def _slope_at_target(value_at: ValueAt, name: str) -> float | None:
    """Returns the cost of one more unit of size, at a size where the fixed part is negligible."""
    smaller, larger = value_at(name, 1_000), value_at(name, 1_001)
    return None if smaller is None or larger is None else larger - smaller
