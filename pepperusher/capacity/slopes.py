"""Defines every measurement that `capacity slopes` can take: how each cost grows with the size of the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from pepperusher.capacity import attempts, control_run, control_state, decisions, latency, membership
from pepperusher.capacity import processes, call_storms, configuration_run, watch_costs
from pepperusher.capacity.measures import CLOCKED, COUNTED, TIMED, Measure, Single
from pepperusher.capacity.processes import ProcessError
from pepperusher.capacity.fixtures import ZONES

BACKEND_PROXY, FRONT_PROXY, CONTROL_MACHINE, DISCOVERY, BACKEND, OPERATOR = (
    "proxy beside a backend",
    "front proxy",
    "control machine",
    "discovery",
    "backend and its callers",
    "operator",
)
LIST_SIZES, LIST_HELD_OUT = (100, 250, 500, 1000, 1750, 2500), 5000
CALLER_COUNTS = (100, 250, 500, 1000, 1750, 2500)
GROUP_SIZES, GROUP_HELD_OUT = (25, 50, 100, 200, 400), 800
# A release replaces 400 backends in 3 minutes; each is reported as draining, removed and added.
RELEASE_CHANGES_A_SECOND = 400 * 3 / 180
CHAIN_DEPTH = 30
# Repeats of measurements within this process, and of those that start processes. Each repeat goes through all sizes.
REPEATS, PROCESS_REPEATS = 15, 3
# Each measured chain of proxy processes: the backends on its endpoint lists, and the changes of the lists a second.
CHAIN_LISTS = ((24, 0.0), (1000, 0.0), (250, RELEASE_CHANGES_A_SECOND), (250, 0.0))
CHAIN_CALLS_A_SECOND = latency.CHAIN_CALLS_A_SECOND
CHAIN_GROUP_SIZE = 1_000
SLOWED_DEPTHS = (5, 6, 7, 8, 10, 20, CHAIN_DEPTH)


def _decision_measures() -> Iterator[Measure]:
    """Yields the measurements of one call."""
    for group in (1, 24, 1000):
        yield Measure(
            f"decision.group{group}",
            BACKEND_PROXY,
            f"take, pick and report of one call, group size {group}, one zone",
            "backend listed",
            "us",
            TIMED,
            LIST_SIZES,
            LIST_HELD_OUT,
            decisions.decision(group),
            REPEATS,
            "n over 400" if group == 1000 else "",
        )
    yield Measure(
        "decision.zones",
        BACKEND_PROXY,
        "take, pick and report of one call, group size 1,000, 13 zones",
        "backend listed",
        "us",
        TIMED,
        LIST_SIZES,
        LIST_HELD_OUT,
        decisions.decision(1000, ZONES),
        REPEATS,
        "n over 400",
    )


def _endpoint_list_measures() -> Iterator[Measure]:
    """Yields the measurements of the endpoint list."""
    for name, what, unit, reliability, measure, repeats in (
        ("list.bytes", "a whole list, as it is sent", "bytes", COUNTED, decisions.list_bytes, 1),
        ("list.parse", "reading it, on the loop that carries calls", "us", TIMED, decisions.list_parse, REPEATS),
        ("list.take", "taking it in where there was none, on that loop", "us", TIMED, decisions.list_take, REPEATS),
        (
            "list.change",
            "one change of it, read and taken in, on that loop",
            "us",
            TIMED,
            decisions.list_change,
            REPEATS,
        ),
        ("list.memory", "what the watch and the decisions hold of it", "bytes", COUNTED, decisions.list_memory, 1),
    ):
        yield Measure(
            name, BACKEND_PROXY, what, "backend listed", unit, reliability, LIST_SIZES, LIST_HELD_OUT, measure, repeats
        )


def _arc_measures() -> Iterator[Measure]:
    """Yields the measurements of the connections between proxies and backends."""
    for zones, zones_text in ((None, "one zone"), (ZONES, "13 zones")):
        key = "zones" if zones else "zone"
        yield Measure(
            f"callers.{key}",
            BACKEND,
            f"proxies that keep to the busiest of 24 backends, {zones_text}",
            "proxy that calls them",
            "connections",
            COUNTED,
            CALLER_COUNTS,
            5000,
            decisions.connections_by_callers(24, zones),
        )
        yield Measure(
            f"arc.{key}",
            FRONT_PROXY,
            f"backends that one of 1,000 proxies keeps to, {zones_text}",
            "backend listed",
            "connections",
            COUNTED,
            LIST_SIZES,
            LIST_HELD_OUT,
            decisions.arc_by_list(1000, zones),
        )


def _membership_measures() -> Iterator[Measure]:
    """Yields the measurements of group membership."""
    for name, what, unit, reliability in (
        ("messages", "messages out of one member a second, at rest", "messages/s", COUNTED),
        ("bytes", "bytes out of one member a second, at rest", "bytes/s", COUNTED),
        ("cpu", "processor time of one member a second, at rest", "us/s", TIMED),
        ("change_messages", "messages out of one member for one word of another", "messages", COUNTED),
        ("change_bytes", "bytes out of one member for one word of another", "bytes", COUNTED),
    ):
        yield Measure(
            f"group.{name}",
            BACKEND_PROXY,
            what,
            "member",
            unit,
            reliability,
            GROUP_SIZES,
            GROUP_HELD_OUT,
            membership.by_members(name),
            3,
        )
    yield Measure(
        "group.state",
        BACKEND_PROXY,
        "what one member holds of the others",
        "member",
        "bytes",
        COUNTED,
        (100, 250, 500, 750, 1000),
        1900,
        membership.state,
    )
    yield Measure(
        "group.sync",
        BACKEND_PROXY,
        "what a newcomer is sent",
        "member",
        "bytes",
        COUNTED,
        (100, 250, 500, 750, 1000),
        1900,
        membership.sync,
    )


def _discovery_measures() -> Iterator[Measure]:
    """Yields the measurements of discovery."""
    server_text = "a call worked through in 4 ms, 64 waiting"
    for name, what, unit, figure, after_outage in (
        ("start_calls", f"calls as all start within a second, {server_text}", "calls", "calls", False),
        ("start_seconds", f"until all are told, {server_text}", "s", "seconds", False),
        ("return_calls", f"calls as it returns after 3 s, {server_text}", "calls", "calls", True),
        ("return_seconds", f"from its return until all are told, {server_text}", "s", "seconds", True),
    ):
        yield Measure(
            f"discovery.{name}",
            DISCOVERY,
            f"{what} (simulated)",
            "proxy",
            unit,
            COUNTED,
            LIST_SIZES,
            LIST_HELD_OUT,
            call_storms.by_proxies(figure, after_outage),
        )
    yield Measure(
        "discovery.change_bytes",
        DISCOVERY,
        "bytes out for one change, over sockets",
        "proxy",
        "bytes",
        COUNTED,
        (10, 20, 30, 40, 50),
        100,
        watch_costs.by_proxies("change_bytes"),
    )


def _configuration_measures() -> Iterator[Measure]:
    """Yields the measurements of the configuration file and the settings."""
    sizes, held_out = (5, 10, 20, 40, 60, 100), 200
    for name, what, unit, reliability, measure, repeats in (
        ("bytes", "an own file", "bytes", COUNTED, decisions.config_bytes, 1),
        ("check", "checking it, in a thread beside the loop", "us", TIMED, decisions.config_check, REPEATS),
        ("take", "taking the checked one in, on that loop", "us", TIMED, decisions.config_take, 5),
    ):
        yield Measure(
            f"config.{name}", BACKEND_PROXY, what, "route", unit, reliability, sizes, held_out, measure, repeats
        )
    yield Measure(
        "config.settings",
        BACKEND_PROXY,
        "other settings in force, 1,000 listed",
        "use case",
        "us",
        TIMED,
        sizes,
        held_out,
        decisions.settings_take,
        5,
    )


def _process_measures() -> Iterator[Measure]:
    """Yields the measurements of proxy processes."""
    yield Measure(
        "process.memory",
        BACKEND_PROXY,
        "memory of an idle process (RSS)",
        "backend listed",
        "bytes",
        TIMED,
        LIST_SIZES,
        LIST_HELD_OUT,
        processes.resident,
    )
    yield Measure(
        "process.idle",
        BACKEND_PROXY,
        "processor time a second without tickets",
        "backend listed",
        "us/s",
        TIMED,
        LIST_SIZES,
        LIST_HELD_OUT,
        processes.idle,
        PROCESS_REPEATS,
    )
    yield Measure(
        "process.release",
        BACKEND_PROXY,
        f"the same with {RELEASE_CHANGES_A_SECOND:.1f} changes of the list a second",
        "backend listed",
        "us/s",
        TIMED,
        LIST_SIZES,
        LIST_HELD_OUT,
        processes.release(RELEASE_CHANGES_A_SECOND),
        PROCESS_REPEATS,
    )
    connections, held_out = (25, 50, 100, 200, 400), 800
    yield Measure(
        "connection.memory",
        FRONT_PROXY,
        "memory of a process (RSS), by idle connections",
        "connection",
        "bytes",
        TIMED,
        connections,
        held_out,
        processes.by_connections("resident"),
    )
    yield Measure(
        "connection.descriptors",
        FRONT_PROXY,
        "descriptors of a process, by idle connections",
        "connection",
        "descriptors",
        COUNTED,
        connections,
        held_out,
        processes.by_connections("descriptors"),
    )
    yield Measure(
        "operator.change",
        OPERATOR,
        "processor time until a change is in force everywhere, `ctl propose` at one proxy after another",
        "proxy",
        "s",
        TIMED,
        (1, 2, 3, 4, 6),
        8,
        processes.propose_one_by_one,
        3,
    )


def _latency_measures() -> Iterator[Measure]:
    """Yields the measurements of the latency that one proxy adds."""
    sizes, held_out = (24, 100, 250, 500, 1000), 2500
    for figure, label in (("p50", "the middle"), ("p99", "the 99th of 100")):
        yield Measure(
            f"alone.{figure}",
            BACKEND_PROXY,
            f"processor time of a call alone in one proxy, {label} of 400",
            "backend listed",
            "us",
            TIMED,
            sizes,
            held_out,
            latency.cpu_of_single_calls(figure),
            PROCESS_REPEATS,
        )
    for group, changes, label in ((1000, 0.0, "calm"), (1000, RELEASE_CHANGES_A_SECOND, "release"), (1, 0.0, "group1")):
        with_changes = f", {changes:.1f} changes of the list a second" if changes else ""
        for figure, what in (
            ("p99", "time added at the 99th of 100"),
            ("p50", "time added at the middle"),
            ("cpu", "processor time of a call"),
        ):
            yield Measure(
                f"added.{label}.{figure}",
                BACKEND_PROXY,
                f"{what}, one proxy, 72 calls a second, group size {group}{with_changes}",
                "backend listed",
                "us",
                TIMED if figure == "cpu" else CLOCKED,
                sizes,
                held_out,
                latency.added_latency(group, figure, changes),
            )


# Numbers of proxies that connect to two control machines. At the target each of nine machines has the connections of
# 556 proxies.
FLEET_SIZES, FLEET_HELD_OUT = (25, 50, 100, 200, 400), 800


def _control_state_measures() -> Iterator[Measure]:
    """Yields the measurements of the state of control machines and their clients."""
    sizes, held_out = (5, 10, 20, 40, 60, 100), 200
    yield Measure(
        "control.state.subscriber",
        CONTROL_MACHINE,
        "what a machine holds, one resource subscribed to by each",
        "subscriber",
        "bytes",
        COUNTED,
        (100, 250, 500, 750, 1000),
        1500,
        control_state.by_subscriber,
    )
    yield Measure(
        "control.state.subscription",
        CONTROL_MACHINE,
        "what it holds with 100 subscribers",
        "resource that each subscribes to",
        "bytes",
        COUNTED,
        (1, 2, 4, 8, 16, 32),
        64,
        control_state.by_subscription,
    )
    yield Measure(
        "control.state.resource",
        CONTROL_MACHINE,
        f"what it holds, nobody connected, {control_run.ROUTES} routes each",
        "resource",
        "bytes",
        COUNTED,
        (10, 20, 40, 80, 120),
        210,
        control_state.by_resource,
    )
    for name, what, measure in (
        ("control.snapshot_bytes", "a configuration sent whole, on the connection", control_state.snapshot_bytes),
        ("control.delta_bytes", "a change of one route in it, on the connection", control_state.delta_bytes),
    ):
        yield Measure(name, CONTROL_MACHINE, what, "route", "bytes", COUNTED, sizes, held_out, measure)
    yield Measure(
        "client.state",
        BACKEND_PROXY,
        "what the decisions about control machines hold, with the configuration",
        "route",
        "bytes",
        COUNTED,
        sizes,
        held_out,
        control_state.client_state,
    )


def _control_connection_measures() -> Iterator[Measure]:
    """Yields the measurements of the connections of a control machine."""
    for name, what, lost_machines in (
        ("control.fullest", "connections of the fullest of nine machines", 0),
        ("control.fullest_lost", "the same with one of them lost", 1),
    ):
        yield Measure(
            name,
            CONTROL_MACHINE,
            what,
            "proxy",
            "connections",
            COUNTED,
            (500, 1000, 1500, 2000, 2500),
            5000,
            configuration_run.most_connections(lost_machines),
        )


def _configured_proxy_measures() -> Iterator[Measure]:
    """Yields the measurements of a proxy process that gets its configuration from control machines."""
    for name, what, unit in (
        ("memory", "memory of a whole proxy that a control machine tells (RSS), 24 listed", "bytes"),
        ("rest_cpu", "its processor time a second at rest", "us/s"),
        ("change_cpu", "its processor time for one change, until in force, beyond what it spends at rest", "us"),
    ):
        yield Measure(
            f"client.whole.{name}",
            BACKEND_PROXY,
            what,
            "route",
            unit,
            TIMED,
            (5, 10, 20, 40, 60, 100),
            200,
            configuration_run.by_routes(name),
            PROCESS_REPEATS,
            # At rest each route in use searches all routes for its own (`changes/active_configuration.py` sweep).
            "n + n squared / 84" if name == "rest_cpu" else "",
        )


def _control_machine_measures() -> Iterator[Measure]:
    """Yields the measurements of two control machines together, with both connections of each proxy."""
    scope_text = "two control machines together, both connections of each proxy"
    for occasion, occasion_text in (
        ("start", "connecting, nothing held"),
        ("rest", "at rest, a second"),
        ("change", "one change to all"),
        ("resume", "connecting again, all held"),
    ):
        unit_suffix = "/s" if occasion == "rest" else ""
        for name, what, unit, reliability in (
            ("out_messages", "messages out", "messages", COUNTED),
            ("in_messages", "messages in", "messages", COUNTED),
            ("out_bytes", "bytes out", "bytes", COUNTED), ("in_bytes", "bytes in", "bytes", COUNTED),
            ("cpu", "processor time", "us", TIMED),
        ):  # fmt: skip
            yield Measure(
                f"control.{occasion}.{name}",
                CONTROL_MACHINE,
                f"{occasion_text}: {what}, {scope_text}",
                "proxy",
                unit + unit_suffix,
                reliability,
                FLEET_SIZES,
                FLEET_HELD_OUT,
                control_run.by_proxies(f"{occasion}.{name}"),
            )
        for name, what, unit, reliability in (
            ("out_bytes", "bytes out", "bytes", COUNTED), ("in_bytes", "bytes in", "bytes", COUNTED),
            ("out_messages", "messages out", "messages", COUNTED),
            ("in_messages", "messages in", "messages", COUNTED),
            ("cpu", "processor time of the clients alone, in one process", "us", TIMED),
        ):  # fmt: skip
            yield Measure(
                f"client.{occasion}.{name}",
                BACKEND_PROXY,
                f"{occasion_text}: {what}, clients of all proxies together, both connections",
                "proxy",
                unit + unit_suffix,
                reliability,
                FLEET_SIZES,
                FLEET_HELD_OUT,
                control_run.by_proxies(f"{occasion}.client_{name}"),
            )
    yield Measure(
        "control.memory",
        CONTROL_MACHINE,
        "memory of its process (RSS)",
        "proxy connected to it",
        "bytes",
        TIMED,
        FLEET_SIZES,
        FLEET_HELD_OUT,
        control_run.by_proxies("memory"),
    )
    yield Measure(
        "control.descriptors",
        CONTROL_MACHINE,
        "descriptors of its process",
        "proxy connected to it",
        "descriptors",
        COUNTED,
        FLEET_SIZES,
        FLEET_HELD_OUT,
        control_run.by_proxies("descriptors"),
    )
    yield Measure(
        "operator.publish",
        OPERATOR,
        "processor time of one `ctl publish`, which all proxies take",
        "proxy",
        "us",
        TIMED,
        FLEET_SIZES,
        FLEET_HELD_OUT,
        control_run.by_proxies("publish.cpu"),
    )
    for name, what, unit in (
        ("out_messages", "messages out", "messages"), ("out_bytes", "bytes out", "bytes"),
    ):  # fmt: skip
        yield Measure(
            f"control.some.{name}",
            CONTROL_MACHINE,
            f"one change to some of 100 proxies: {what}, {scope_text}",
            "proxy that takes it",
            unit,
            COUNTED,
            (10, 20, 30, 40, 50),
            80,
            control_run.by_subscribers(f"change.{name}"),
        )
    for occasion, occasion_text, unit in (
        ("rest", "at rest, a second", "bytes/s"), ("change", "one change", "bytes"),
    ):  # fmt: skip
        yield Measure(
            f"control.relay.{occasion}",
            CONTROL_MACHINE,
            f"{occasion_text}: bytes out of the origin to the others, no proxy there",
            "control machine",
            unit,
            COUNTED,
            (2, 3, 4, 5, 6),
            9,
            control_run.by_machines(f"{occasion}.origin_out_bytes"),
        )


IN_PROCESS: tuple[Callable[[], Iterator[Measure]], ...] = (
    _decision_measures, _endpoint_list_measures, _arc_measures, _membership_measures, _configuration_measures, _control_state_measures,
    _control_connection_measures,
)  # fmt: skip
WITH_PROCESSES: tuple[Callable[[], Iterator[Measure]], ...] = (
    _discovery_measures, _process_measures, _control_machine_measures, _configured_proxy_measures, _latency_measures,
)  # fmt: skip


def measures() -> list[Measure]:
    """Returns all measurements, those within this process first."""
    return [measure for group in (*IN_PROCESS, *WITH_PROCESSES) for measure in group()]


def singles(seed: int, say: Callable[[str], None]) -> Iterator[Single]:
    """Yields the values that do not depend on a size: attempts along a call chain, and limits that the code sets."""

    def single(name: str, what: str, unit: str, value: float, reliability: str = COUNTED) -> Single:
        say(f"{name}: {value:.6g} {unit}")
        return Single(name=name, what=what, unit=unit, worth=reliability, seed=seed, value=value)

    for reply in ("error", "full"):
        for share in (0.3, 1.0):
            for failing in (1, 2, 3):
                first, later = attempts.failing_services(CHAIN_DEPTH, failing, share, seed, reply)
                condition = f"{failing} of {CHAIN_DEPTH} levels fail {share:.0%} of calls, passed up as {reply}"
                name_prefix = f"attempts.{reply}.{round(share * 100)}.{failing}"
                yield single(
                    f"{name_prefix}.first", f"sends for a call, the first 20: {condition}", "sends", first.sends
                )
                yield single(f"{name_prefix}.after", f"sends for a call, later: {condition}", "sends", later.sends)
                yield single(
                    f"{name_prefix}.most",
                    f"sends for the worst call: {condition}",
                    "sends",
                    float(max(first.most, later.most)),
                )
                yield single(
                    f"{name_prefix}.last",
                    f"sends that reach the last level, for a call: {condition}",
                    "sends",
                    first.last,
                )
                yield single(f"{name_prefix}.done", f"part of later calls that are done: {condition}", "", later.done)
    for depth in (4, 8, 12, 16, 20, CHAIN_DEPTH):
        result = attempts.cold_chain(depth, seed)
        yield single(
            f"cold.{depth}.done",
            f"part of calls done along {depth} levels, none of which knows a time yet",
            "",
            result.done,
        )
        yield single(f"cold.{depth}.sends", f"sends for a call along {depth} such levels", "sends", result.sends)
    for max_attempts in (3, 1):
        for depth in SLOWED_DEPTHS:
            for factor in (1, 2, 3, 5, 10):
                _, later = attempts.slowed_services(depth, factor, seed, max_attempts)
                yield single(
                    f"slowed.{max_attempts}.{depth}.{factor}",
                    f"part of calls done along {depth} warmed levels"
                    f" whose services take {factor} times as long, {max_attempts} attempts, after the first 20",
                    "",
                    later.done,
                )
    yield single("roll.most", "members that a group takes", "members", float(membership.most_members()))
    yield single("notices.most", "notices at once that a group takes", "notices", float(membership.most_notices()))


def chain_key(depth: int, listed: int, rate: float, changes_a_second: float = 0.0, attempts: int = 3,
    group: int = CHAIN_GROUP_SIZE) -> str:  # fmt: skip
    """Returns the prefix of the names of the values measured along one chain."""
    rate_suffix = "" if rate == latency.CHAIN_CALLS_A_SECOND else f".at{rate:g}"
    group_suffix = "" if group == CHAIN_GROUP_SIZE else f".group{group}"
    return f"chain.{depth}.{listed}{'.release' * (changes_a_second > 0)}{rate_suffix}{'.once' * (attempts == 1)}{group_suffix}"


def chain(
    seed: int,
    say: Callable[[str], None],
    depth: int = CHAIN_DEPTH,
    rate: float = CHAIN_CALLS_A_SECOND,
    list_loads: tuple[tuple[int, float], ...] = CHAIN_LISTS,
    max_attempts: int = 3,
    group: int = CHAIN_GROUP_SIZE,
    rounds: int = latency.ROUNDS,
    round_seconds: float = latency.CHAIN_ROUND_S,
) -> Iterator[Single]:
    """Measures a chain of proxy processes, once for each pair of a list size and a rate of list changes in
    `list_loads`. Each proxy makes at most `max_attempts` attempts.
    """
    for listed, changes_a_second in list_loads:
        key = chain_key(depth, listed, rate, changes_a_second, max_attempts, group)
        try:
            added = latency.added_by_chain(
                depth, listed, group, seed, changes_a_second, round_seconds, rounds, rate, max_attempts
            )
        except latency.TooManyFailuresError as error:
            say(f"a chain of {depth}, {listed} listed: no time added: {error}")
            yield Single(
                name=f"{key}.failed",
                what=f"part of calls that failed along {depth} proxies",
                unit="",
                worth=CLOCKED,
                seed=seed,
                value=error.share,
            )
            continue
        except ProcessError as error:
            say(f"a chain of {depth}, {listed} listed: not measured: {error}")
            continue
        changes_text = f", {changes_a_second:.1f} changes a second" if changes_a_second else ""
        condition = f"{depth} proxies in a row, {listed} listed{changes_text}, {rate:g} calls a second"
        for name, value in (
            ("added99", added.p99),
            ("added50", added.p50),
            ("bare99", added.bare.p99),
            ("through99", added.through.p99),
            ("cpu", added.cpu),
        ):
            say(f"{key}.{name}: {value:.6g} us")
            yield Single(
                name=f"{key}.{name}",
                what=f"{name}: {condition}",
                unit="us",
                worth=TIMED if name == "cpu" else CLOCKED,
                seed=seed,
                value=value,
            )
        yield Single(
            name=f"{key}.calls",
            what=f"calls that the figures stand on, {rounds} rounds: {condition}",
            unit="calls",
            worth=COUNTED,
            seed=seed,
            value=float(added.through.calls),
        )
        failed = added.through.failed / added.through.calls
        yield Single(
            name=f"{key}.failed",
            what=f"part of calls that failed along {depth} proxies",
            unit="",
            worth=CLOCKED,
            seed=seed,
            value=failed,
        )
