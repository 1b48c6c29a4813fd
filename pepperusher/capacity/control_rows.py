"""Rows for what control machines need at the target, and for what a proxy needs for its connections to them, by
occasion. This module does no I/O.

The slopes were measured with two control machines and proxies that connect to both. Of nine machines each has 2 / 9
of the connections of a proxy on average, so its load is that of `proxies / 9` proxies connected to both machines.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from pepperusher.capacity.target import Assumed, Budget, Row, Target, total, product

MACHINE, BACKEND_PROXY = "control machine", "proxy beside a backend"
US_PER_SECOND, MB = 1_000_000.0, 1_000_000.0
# The limits of distribution.server and distribution.publisher: connections admitted a second and in a burst, the
# duration of a wave that a proxy does not acknowledge and the waves before the last one, the older versions that deltas
# are computed from, and the maximum number of connections.
ADMITTED_A_SECOND, ADMISSION_BURST = 800.0, 400.0
MAX_WAVE_S, WAVES_BEFORE_LAST = 3.0, 2
DELTA_BASES = 4
MAX_SUBSCRIBERS = 4_000.0
SECONDS_PER_DAY = 86_400.0
SERVER = "`distribution/server.py`, `publisher.py`"
CLIENT = "`distribution/client.py`, `subscriber.py`"
ValueAt = Callable[[str, float], float | None]


class OneByOneCosts(NamedTuple):
    """The operator's rows without control machines: their texts, and their values in seconds."""

    in_force: str
    whole_day: str
    spent: float | None
    day: float | None


class Occasion(NamedTuple):
    """The load of one control machine on an occasion, in proxies with both connections: `connected` are connected when
    it is over, `connecting` connect during it, and `sent_whole` of these are sent the whole configuration.
    """

    when: str
    connected: float
    connecting: float
    sent_whole: float
    note: str


def proxies_per_machine(value_at: ValueAt, target: Target, harsh: bool) -> tuple[float, float]:
    """Returns the load of one machine, with all machines and with one of them lost: the mean in the mild case, that of
    the machine with the most connections in the harsh case.
    """
    mean, lost = target.proxies / target.control_machines, target.proxies / (target.control_machines - 1)
    if not harsh:
        return mean, lost
    fullest, fullest_lost = (
        value_at("control.fullest", target.proxies),
        value_at("control.fullest_lost", target.proxies),
    )
    return (mean if fullest is None else fullest / 2), (lost if fullest_lost is None else fullest_lost / 2)


def occasions(value_at: ValueAt, target: Target, assumed: Assumed, harsh: bool) -> Iterator[Occasion]:
    """Yields the occasions. In the mild case all proxies that connect hold the newest version; in the harsh case they
    hold nothing or a version that is too old for a delta.
    """
    load, lost = proxies_per_machine(value_at, target, harsh)
    machines = target.control_machines
    imbalance = load / (target.proxies / machines)
    yield Occasion(
        "release",
        load,
        assumed.released / machines * imbalance,
        assumed.released / machines * imbalance * harsh,
        "each proxy that is replaced connects again",
    )
    for occasion, lost_proxies, lost_machines in (
        ("a rack lost", 40, 0), ("a zone lost", target.proxies // target.zones, 1),
        ("a region lost", target.proxies * 4 // target.zones, 3),
    ):  # fmt: skip
        lost_in_case = lost_machines if harsh else 0
        remaining = machines - lost_in_case
        staying = (target.proxies - lost_proxies) / remaining * imbalance
        moving = (target.proxies - lost_proxies) * lost_in_case / machines / remaining * imbalance
        returning = lost_proxies / remaining * imbalance
        yield Occasion(
            occasion,
            staying + returning,
            moving + returning,
            returning if harsh else 0.0,
            "and all of them return at the same time"
            + (f", {lost_machines} of the nine lost with it in the harsh case" if lost_machines else ""),
        )
    # During the partition the proxies of the region use two upstreams within it, the other proxies none there.
    proxies_inside, machines_inside = target.proxies * 4 // target.zones, 3
    proxies_outside = target.proxies - proxies_inside
    to_machine_inside = proxies_inside * (machines - machines_inside) / machines / (machines - machines_inside)
    to_machine_outside = proxies_outside * machines_inside / machines / machines_inside
    connecting = (to_machine_outside if harsh else to_machine_inside) * imbalance
    stale = assumed.apart_s * target.changes_a_day / SECONDS_PER_DAY > DELTA_BASES
    yield Occasion(
        "healing of a cut",
        load,
        connecting,
        connecting if stale else 0.0,
        "mild: a machine outside the region, after 60 s; harsh: one inside it, after 300 s",
    )
    yield Occasion(
        "a control machine lost",
        lost,
        target.proxies / machines / (machines - 1) * imbalance,
        0.0,
        "one in eight of its connections",
    )
    yield Occasion("all control machines restarted", load, load, 0.0, "all hold the newest version")
    yield Occasion(
        "every proxy started", load, load, load if harsh else 0.0, "mild: all have a local cache; harsh: none has"
    )


def _snapshot_bytes(value_at: ValueAt, assumed: Assumed, proxies: float) -> float | None:
    """Returns the bytes of the whole configuration, sent to `proxies` proxies."""
    return product(proxies, value_at("control.snapshot_bytes", assumed.routes)) if proxies else 0.0


def machine_rows(value_at: ValueAt, target: Target, mild: Assumed, harsh: Assumed) -> Iterator[Row]:
    """Yields the rows of one control machine."""
    cases = (mild, False), (harsh, True)
    core_budget = Budget(US_PER_SECOND, "own choice: one core of the control machine")
    core_budget_12_s = Budget(
        US_PER_SECOND * target.in_force_s, "own choice: one core of the control machine, over 12 s"
    )
    link_budget = Budget(125 * MB, "own choice: one 1 Gbit/s link")
    link_budget_12_s = Budget(125 * MB * target.in_force_s, "own choice: one 1 Gbit/s link, over 12 s")

    def row(
        occasion: str, what: str, unit: str, value_of: Callable[[Assumed, bool], float | None], budget: Budget | None,
        mechanism: str, *from_: str, note: str = "",
    ) -> Row:  # fmt: skip
        values = [value_of(assumed, is_harsh) for assumed, is_harsh in cases]
        return Row(MACHINE, occasion, what, unit, values[0], values[1], budget, mechanism, from_, note)

    measured = value_at("control.fullest", target.proxies) is not None

    def connections(_: Assumed, is_harsh: bool) -> float | None:
        return 2 * proxies_per_machine(value_at, target, is_harsh)[0] if measured else None

    def connections_after_loss(_: Assumed, is_harsh: bool) -> float | None:
        return 2 * proxies_per_machine(value_at, target, is_harsh)[1] if measured else None

    def value_by_connections(name: str, count: float | None) -> float | None:
        return None if count is None else value_at(name, count)

    # Two descriptors for each peer. The measured values already include those of one peer.
    peer_descriptors = 2.0 * (target.control_machines - 2)
    for occasion, connections_of, label in (
        ("always", connections, "fullest of nine"), ("a control machine lost", connections_after_loss, "fullest of eight"),
    ):  # fmt: skip
        yield row(
            occasion,
            "proxies connected to it",
            "connections",
            connections_of,
            Budget(MAX_SUBSCRIBERS, "the code: the default of `subscribers`"),
            "rendezvous hashing (`subscriber.rank`)",
            "control.fullest",
            "control.fullest_lost",
            note=f"harsh: the {label}",
        )
        yield row(
            occasion,
            "descriptors of its process",
            "descriptors",
            lambda assumed, is_harsh, connections_of=connections_of: total(  # type: ignore[misc]
                value_by_connections("control.descriptors", connections_of(assumed, is_harsh)), peer_descriptors
            ),
            Budget(4_096, "own choice: a usual hard limit, to which the process raises its soft limit"),
            "`distribution/commands.py` raised",
            "control.descriptors",
            "control.fullest",
        )
        yield row(
            occasion,
            "memory of its process",
            "bytes",
            lambda assumed, is_harsh, connections_of=connections_of: value_by_connections(  # type: ignore[misc]
                "control.memory", connections_of(assumed, is_harsh)
            ),
            Budget(target.proxy_bytes, "own choice: 256 MB, as for a proxy"),
            SERVER,
            "control.memory",
            note="with one resource; resources and subscriptions have rows of their own",
        )
    yield row(
        "always",
        "state: subscribers, one resource each",
        "bytes",
        lambda assumed, is_harsh: value_by_connections("control.state.subscriber", connections(assumed, is_harsh)),
        Budget(target.proxy_bytes, "own choice: 256 MB, as for a proxy"),
        "`publisher.py` Subscriber, ProxyRecord",
        "control.state.subscriber",
        note="without the memory of the kernel and asyncio for a connection",
    )
    subscription_bytes = (value_at("control.state.subscription", 2), value_at("control.state.subscription", 1))
    bytes_a_subscription = (
        None
        if subscription_bytes[0] is None or subscription_bytes[1] is None
        else (subscription_bytes[0] - subscription_bytes[1]) / 100
    )
    yield row(
        "always",
        "state: subscriptions beyond the first",
        "bytes",
        lambda assumed, is_harsh: product(
            connections(assumed, is_harsh), bytes_a_subscription, 6.0 if is_harsh else 0.0
        ),
        Budget(target.proxy_bytes, "own choice: 256 MB, as for a proxy"),
        "`publisher.py` Subscriber, ProxyRecord",
        "control.state.subscription",
        note="mild: one configuration; harsh: six more, as in the runs with hollow proxies",
    )
    yield row(
        "always", "state: a configuration for each of 210 services, with older versions", "bytes",
        lambda assumed, is_harsh: product(
            value_at("control.state.resource", target.services), assumed.routes / 20
        ),
        Budget(target.proxy_bytes, "own choice: 256 MB, as for a proxy"), "`publisher.py` StoredResource",
        "control.state.resource",
        note="measured with 20 routes; the harsh case is scaled to its 200 routes",
    )  # fmt: skip

    def daily_rate(what: str, relay: bool = False) -> Callable[[Assumed, bool], float | None]:
        """Returns a function for the cost a second over a day: at rest, for the changes and for the restarts."""

        def rate_of(assumed: Assumed, is_harsh: bool) -> float | None:
            load = proxies_per_machine(value_at, target, is_harsh)[0]
            changes = target.changes_a_day / SECONDS_PER_DAY
            restarts = target.restarts_a_day / SECONDS_PER_DAY / target.control_machines
            parts = [
                value_at(f"control.rest.{what}", load),
                product(changes, value_at(f"control.change.{what}", load * assumed.concerned)),
                product(restarts, _slope_at_target(value_at, f"control.{'start' if is_harsh else 'resume'}.{what}")),
            ]
            if relay:
                parts += [
                    value_at("control.relay.rest", target.control_machines),
                    product(changes, value_at("control.relay.change", target.control_machines)),
                ]
            return total(*parts)

        return rate_of

    for what, label, unit, budget, relay in (
        ("out_bytes", "bytes a second out", "bytes/s", link_budget, True),
        ("in_bytes", "bytes a second in", "bytes/s", link_budget, False),
        ("out_messages", "messages a second out", "messages/s", None, False),
        ("in_messages", "messages a second in", "messages/s", None, False),
        ("cpu", "processor time a second", "us/s", core_budget, False),
    ):
        yield row(
            "ordinary day",
            label,
            unit,
            daily_rate(what, relay),
            budget,
            SERVER,
            f"control.rest.{what}",
            f"control.change.{what}",
            f"control.resume.{what}",
            f"control.start.{what}",
            note="heartbeats, and the changes and restarts of a day" + ("; as the origin" if relay else ""),
        )
    for what, label, unit, change_budget in (
        ("out_bytes", "bytes out for one change, over 12 s", "bytes", link_budget_12_s),
        ("in_bytes", "bytes in for one change, over 12 s", "bytes", link_budget_12_s),
        ("out_messages", "messages out for one change", "messages", None),
        ("in_messages", "messages in for one change", "messages", None),
        ("cpu", "processor time for one change, over 12 s", "us", core_budget_12_s),
    ):
        yield row(
            "ordinary day",
            label,
            unit,
            lambda assumed, is_harsh, what=what: total(  # type: ignore[misc]
                value_at(
                    f"control.change.{what}", proxies_per_machine(value_at, target, is_harsh)[0] * assumed.concerned
                ),
                value_at("control.relay.change", target.control_machines) if what == "out_bytes" else 0.0,
            ),
            change_budget,
            f"{SERVER}: one delta for all subscribers with the same base version",
            f"control.change.{what}",
            "control.some.out_bytes",
            note="mild: to the proxies that call one service; harsh: to all",
        )
    yield from _by_occasion(value_at, target, mild, harsh, link_budget, link_budget_12_s, core_budget, core_budget_12_s)


def _slope_at_target(value_at: ValueAt, name: str) -> float | None:
    """Returns the cost of one more proxy, at a size where the fixed part is negligible."""
    smaller, larger = value_at(name, 1_000), value_at(name, 1_001)
    return None if smaller is None or larger is None else larger - smaller


def _by_occasion(
    value_at: ValueAt, target: Target, mild: Assumed, harsh: Assumed, link_budget: Budget, link_budget_12_s: Budget, core_budget: Budget,
    core_budget_12_s: Budget,
) -> Iterator[Row]:  # fmt: skip
    """Yields the rows of one control machine for each occasion."""
    pairs = zip(occasions(value_at, target, mild, False), occasions(value_at, target, harsh, True))
    for mild_occasion, harsh_occasion in pairs:
        release = mild_occasion.when == "release"
        measured = value_at("control.fullest", target.proxies) is not None
        durations = (mild.release_s, harsh.release_s) if release else (target.in_force_s, target.in_force_s)
        duration_text = "a second" if release else "over 12 s"
        admission_seconds = [
            2 * occasion.connecting / ADMITTED_A_SECOND for occasion in (mild_occasion, harsh_occasion)
        ]
        if not release:
            admission_seconds = [
                max(0.0, 2 * occasion.connecting - ADMISSION_BURST) / ADMITTED_A_SECOND
                for occasion in (mild_occasion, harsh_occasion)
            ]
            yield Row(
                MACHINE,
                mild_occasion.when,
                "seconds until all connecting proxies are admitted",
                "s",
                admission_seconds[0] if measured else None,
                admission_seconds[1] if measured else None,
                Budget(target.in_force_s, "target: in force everywhere within 12 s"),
                "`admission.py` ADMITTED_A_SECOND, ADMITTED_AT_ONCE",
                ("control.fullest",),
                f"by the limits in the code; {mild_occasion.note}",
            )
        for what, label, unit in (
            ("out_bytes", "bytes out", "bytes"), ("in_bytes", "bytes in", "bytes"),
            ("out_messages", "messages out", "messages"), ("in_messages", "messages in", "messages"),
            ("cpu", "processor time", "us"),
        ):  # fmt: skip
            values: list[float | None] = []
            for occasion, assumed, duration in zip((mild_occasion, harsh_occasion), (mild, harsh), durations):
                connecting = occasion.connecting
                # The bytes of a whole configuration are computed from its size; the processor time for it was measured.
                name = f"control.{'start' if occasion.sent_whole and what == 'cpu' else 'resume'}.{what}"
                value = total(
                    product(duration, value_at(f"control.rest.{what}", occasion.connected)), value_at(name, connecting),
                    _snapshot_bytes(value_at, assumed, occasion.sent_whole) if what == "out_bytes" else 0.0,
                    occasion.sent_whole if what == "out_messages" else 0.0,
                )  # fmt: skip
                values.append(None if value is None else value / duration if release else value)
            budget = {
                "out_bytes": link_budget if release else link_budget_12_s, "in_bytes": link_budget if release else link_budget_12_s,
                "cpu": core_budget if release else core_budget_12_s,
            }.get(what)  # fmt: skip
            yield Row(
                MACHINE, mild_occasion.when, f"{label}, {duration_text}", unit + "/s" * release, values[0], values[1], budget,
                SERVER, (f"control.resume.{what}", f"control.rest.{what}")
                + (("control.snapshot_bytes",) if what == "out_bytes" else ()), mild_occasion.note,
            )  # fmt: skip


def proxy_rows(value_at: ValueAt, target: Target, mild: Assumed, harsh: Assumed, role: str = BACKEND_PROXY,
    extra_note: str = "") -> Iterator[Row]:  # fmt: skip
    """Yields what a proxy needs for its connections to control machines; `extra_note` is added to each note."""
    bandwidth_budget = Budget(target.proxy_wire, "target: 21 KB a second for control")
    bandwidth_budget_12_s = Budget(target.proxy_wire * target.in_force_s, "target: 21 KB a second, over 12 s")
    cpu_budget = Budget(target.proxy_cpu_us, "target: 1.4% of a core for control")
    cpu_budget_12_s = Budget(target.proxy_cpu_us * target.in_force_s, "target: 1.4% of a core, over 12 s")
    memory_budget = Budget(target.proxy_bytes, "target: 256 MB")

    def cost_a_proxy(occasion: str, resource: str) -> float | None:
        """Returns the cost of one proxy, which is what one more adds. Messages and bytes are those of both directions."""
        if resource == "cpu":
            return _slope_at_target(value_at, f"client.{occasion}.cpu")
        return total(
            _slope_at_target(value_at, f"client.{occasion}.out_{resource}"),
            _slope_at_target(value_at, f"client.{occasion}.in_{resource}"),
        )

    def measure_names(occasion: str, resource: str) -> tuple[str, ...]:
        if resource == "cpu":
            return (f"client.{occasion}.cpu",)
        return f"client.{occasion}.out_{resource}", f"client.{occasion}.in_{resource}"

    def apply_cost(assumed: Assumed) -> float | None:
        return value_at("client.whole.change_cpu", assumed.routes)

    yield Row(
        role,
        "always",
        "state: its data from control machines",
        "bytes",
        value_at("client.state", mild.routes),
        value_at("client.state", harsh.routes),
        memory_budget,
        f"{CLIENT}, `resource_cache.py`",
        ("client.state",),
        extra_note,
    )
    yield Row(
        role,
        "always",
        "processor time a second of an idle process that control machines configure",
        "us/s",
        value_at("client.whole.rest_cpu", mild.routes),
        value_at("client.whole.rest_cpu", harsh.routes),
        cpu_budget,
        f"{CLIENT}, `net/distributed_configuration.py`, timers of the active configuration",
        ("client.whole.rest_cpu",),
        _join_notes(
            "24 listed; most of the cost of 200 routes is one sweep that searches all routes for each route"
            " (docs/results.md)",
            extra_note,
        ),
    )
    yield Row(
        role,
        "always",
        "memory of an idle process that control machines configure",
        "bytes",
        value_at("client.whole.memory", mild.routes),
        value_at("client.whole.memory", harsh.routes),
        memory_budget,
        f"{CLIENT}, `net/distributed_configuration.py`",
        ("client.whole.memory",),
        _join_notes("24 listed; longer lists add as much as without control machines", extra_note),
    )
    for resource, label, unit, budget in (
        ("bytes", "bytes a second in and out with control machines", "bytes/s", bandwidth_budget),
        ("messages", "messages a second in and out with control machines", "messages/s", None),
        ("cpu", "processor time a second for control machines", "us/s", cpu_budget),
    ):
        values = []
        for assumed in (mild, harsh):
            rate = assumed.concerned * target.changes_a_day / SECONDS_PER_DAY
            parts = [cost_a_proxy("rest", resource), product(rate, cost_a_proxy("change", resource))]
            if resource == "cpu":
                parts.append(product(rate, apply_cost(assumed)))
            values.append(total(*parts))
        yield Row(
            role,
            "ordinary day",
            label,
            unit,
            values[0],
            values[1],
            budget,
            CLIENT,
            (
                *measure_names("rest", resource),
                *measure_names("change", resource),
                *(["client.whole.change_cpu"] * (resource == "cpu")),
            ),
            _join_notes(
                "heartbeats and the changes of a day; a release or the loss of a rack, zone or region adds"
                " nothing, since control machines do not send endpoint lists",
                extra_note,
            ),
        )
    for resource, label, unit, budget in (
        ("bytes", "bytes in and out for one change, over 12 s", "bytes", bandwidth_budget_12_s),
        ("cpu", "processor time for one change, over 12 s", "us", cpu_budget_12_s),
    ):
        values = [
            total(
                cost_a_proxy("change", resource),
                product(target.in_force_s, cost_a_proxy("rest", resource)),
                apply_cost(assumed) if resource == "cpu" else 0.0,
            )
            for assumed in (mild, harsh)
        ]
        yield Row(
            role,
            "ordinary day",
            label,
            unit,
            values[0],
            values[1],
            budget,
            CLIENT
            + (
                ", `net/distributed_configuration.py`, `changes/`, `configuration/loader.py`"
                if resource == "cpu"
                else ""
            ),
            (
                *measure_names("change", resource),
                *measure_names("rest", resource),
                *(["client.whole.change_cpu"] * (resource == "cpu")),
            ),
            extra_note,
        )
    # For each case: which part of its two connections a proxy opens again, and whether it is sent the whole
    # configuration.
    for occasion, cases, note in (
        (
            "healing of a cut",
            ((0.5, False), (1.0, True)),
            "harsh: connects to both upstreams again, with a version too old for a delta",
        ),
        ("a control machine lost", ((0.0, False), (0.5, False)), "mild: neither of its two; harsh: one of them"),
        ("all control machines restarted", ((1.0, False), (1.0, False)), "without a newer version"),
        ("every proxy started", ((1.0, False), (1.0, True)), "mild: has a local cache; harsh: has none"),
    ):
        for resource, label, unit, budget in (
            ("bytes", "bytes in and out with control machines, over 12 s", "bytes", bandwidth_budget_12_s),
            ("messages", "messages in and out with control machines, over 12 s", "messages", None),
            ("cpu", "processor time for control machines, over 12 s", "us", cpu_budget_12_s),
        ):
            values = []
            for assumed, (reconnections, sent_whole) in zip((mild, harsh), cases):
                extra_cost: float | None = 0.0
                if sent_whole:
                    extra_cost = {"bytes": value_at("control.snapshot_bytes", assumed.routes), "messages": 1.0,
                        "cpu": apply_cost(assumed)}[resource]  # fmt: skip
                elif resource == "cpu" and occasion == "every proxy started":
                    # The configuration from the local cache is parsed and validated as well.
                    extra_cost = apply_cost(assumed)
                values.append(
                    total(
                        product(reconnections, cost_a_proxy("resume", resource)),
                        product(target.in_force_s, cost_a_proxy("rest", resource)),
                        extra_cost,
                    )
                )
            yield Row(
                role,
                occasion,
                label,
                unit,
                values[0],
                values[1],
                budget,
                CLIENT,
                (*measure_names("resume", resource), *measure_names("rest", resource)),
                _join_notes(note, extra_note),
            )


def _join_notes(*parts: str) -> str:
    """Joins the notes that are not empty."""
    return "; ".join(filter(None, parts))


def operator_rows(
    value_at: ValueAt,
    target: Target,
    mild: Assumed,
    harsh: Assumed,
    publish_us: float,
    one_by_one: OneByOneCosts,
    in_force_budget: Budget,
) -> Iterator[Row]:
    """Yields the operator's rows with control machines. `publish_us` is the processor time to publish one change, which
    does not depend on the number of proxies.
    """
    values: list[float | None] = []
    for assumed, is_harsh in ((mild, False), (harsh, True)):
        cpu_us = total(
            publish_us,
            value_at("control.change.cpu", proxies_per_machine(value_at, target, is_harsh)[0] * assumed.concerned),
        )
        values.append(None if cpu_us is None else cpu_us / US_PER_SECOND + MAX_WAVE_S * WAVES_BEFORE_LAST * is_harsh)
    yield Row(
        "operator",
        "ordinary day",
        one_by_one.in_force,
        "s",
        values[0],
        values[1],
        in_force_budget,
        "`distribution` (9 control machines): `ctl publish`, waves, acknowledgements",
        ("operator.publish", "control.change.cpu"),
        "after: the processor time of `ctl publish` and then of one control machine;"
        " harsh: and two waves that last to their limit because of frozen proxies. A lower bound: for the elapsed time at"
        " 5,000 hollow proxies, see After the mechanism",
        (one_by_one.spent, one_by_one.spent),
    )
    seconds_a_day = publish_us / US_PER_SECOND * target.changes_a_day
    yield Row(
        "operator",
        "ordinary day",
        one_by_one.whole_day,
        "s",
        seconds_a_day,
        seconds_a_day,
        Budget(SECONDS_PER_DAY, "a day"),
        "`distribution`: one `ctl publish` a change, for any number of subscribers",
        ("operator.publish",),
        "after: processor time of `ctl publish`; before, mild: each change concerns one service",
        (None if one_by_one.day is None else one_by_one.day / target.services, one_by_one.day),
    )
