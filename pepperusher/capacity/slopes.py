"""Every measurement of growth, by name; `capacity slopes` takes them."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from pepperusher.capacity import attempts, control_run, control_state, decisions, latency, membership
from pepperusher.capacity import processes, call_storms, configuration_run, watch_costs
from pepperusher.capacity.measures import CLOCKED, COUNTED, TIMED, Measure, Single
from pepperusher.capacity.processes import ProcessError
from pepperusher.capacity.fixtures import ZONES

BESIDE, FRONT, CONTROL, DISCOVERY, BACKEND, OPERATOR = (
    "proxy beside a backend",
    "front proxy",
    "control machine",
    "discovery",
    "backend and its callers",
    "operator",
)
LISTS, LIST_MOST = (100, 250, 500, 1000, 1750, 2500), 5000
CALLERS = (100, 250, 500, 1000, 1750, 2500)
GROUPS, GROUP_MOST = (25, 50, 100, 200, 400), 800
# Changes of a list in a release: 400 backends replaced in 3 minutes, each drains, goes and comes.
RELEASE = 400 * 3 / 180
DEPTH = 30
# Of what is timed within this process, and of whole processes; each in turn at all sizes.
REPEATS, PLAYS = 15, 3
# Backends listed along a chain of whole proxies, and changes of the list a second.
STANDS = ((24, 0.0), (1000, 0.0), (250, RELEASE), (250, 0.0))
CHAIN_RATE = latency.CHAIN_RATE
CHAIN_GROUP = 1_000
SLOWED = (5, 6, 7, 8, 10, 20, DEPTH)


def _decisions() -> Iterator[Measure]:
    for group in (1, 24, 1000):
        yield Measure(
            f"decision.group{group}",
            BESIDE,
            f"take, pick and report of one call, group size {group}, one zone",
            "backend listed",
            "us",
            TIMED,
            LISTS,
            LIST_MOST,
            decisions.decision(group),
            REPEATS,
            "n over 400" if group == 1000 else "",
        )
    yield Measure(
        "decision.zones",
        BESIDE,
        "take, pick and report of one call, group size 1,000, 13 zones",
        "backend listed",
        "us",
        TIMED,
        LISTS,
        LIST_MOST,
        decisions.decision(1000, ZONES),
        REPEATS,
        "n over 400",
    )


def _list() -> Iterator[Measure]:
    for name, what, unit, worth, at, repeats in (
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
        yield Measure(name, BESIDE, what, "backend listed", unit, worth, LISTS, LIST_MOST, at, repeats)


def _arcs() -> Iterator[Measure]:
    for zones, said in ((None, "one zone"), (ZONES, "13 zones")):
        spot = "zones" if zones else "zone"
        yield Measure(
            f"callers.{spot}",
            BACKEND,
            f"proxies that keep to the busiest of 24 backends, {said}",
            "proxy that calls them",
            "connections",
            COUNTED,
            CALLERS,
            5000,
            decisions.callers_at(24, zones),
        )
        yield Measure(
            f"arc.{spot}",
            FRONT,
            f"backends that one of 1,000 proxies keeps to, {said}",
            "backend listed",
            "connections",
            COUNTED,
            LISTS,
            LIST_MOST,
            decisions.arc_by_list(1000, zones),
        )


def _membership() -> Iterator[Measure]:
    for name, what, unit, worth in (
        ("messages", "messages out of one member a second, at rest", "messages/s", COUNTED),
        ("bytes", "bytes out of one member a second, at rest", "bytes/s", COUNTED),
        ("cpu", "processor time of one member a second, at rest", "us/s", TIMED),
        ("change_messages", "messages out of one member for one word of another", "messages", COUNTED),
        ("change_bytes", "bytes out of one member for one word of another", "bytes", COUNTED),
    ):
        yield Measure(
            f"group.{name}", BESIDE, what, "member", unit, worth, GROUPS, GROUP_MOST, membership.spent(name), 3
        )
    yield Measure(
        "group.state",
        BESIDE,
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
        BESIDE,
        "what a newcomer is sent",
        "member",
        "bytes",
        COUNTED,
        (100, 250, 500, 750, 1000),
        1900,
        membership.sync,
    )


def _discovery() -> Iterator[Measure]:
    stood = "a call worked through in 4 ms, 64 waiting"
    for name, what, unit, figure, back in (
        ("start_calls", f"calls as all start within a second, {stood}", "calls", "calls", False),
        ("start_seconds", f"until all are told, {stood}", "s", "seconds", False),
        ("return_calls", f"calls as it returns after 3 s, {stood}", "calls", "calls", True),
        ("return_seconds", f"from its return until all are told, {stood}", "s", "seconds", True),
    ):
        yield Measure(
            f"discovery.{name}",
            DISCOVERY,
            f"{what} (simulated)",
            "proxy",
            unit,
            COUNTED,
            LISTS,
            LIST_MOST,
            call_storms.played(figure, back),
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
        watch_costs.played("change_bytes"),
    )


def _config() -> Iterator[Measure]:
    sizes, most = (5, 10, 20, 40, 60, 100), 200
    for name, what, unit, worth, at, repeats in (
        ("bytes", "an own file", "bytes", COUNTED, decisions.config_bytes, 1),
        ("check", "checking it, in a thread beside the loop", "us", TIMED, decisions.config_check, REPEATS),
        ("take", "taking the checked one in, on that loop", "us", TIMED, decisions.config_take, 5),
    ):
        yield Measure(f"config.{name}", BESIDE, what, "route", unit, worth, sizes, most, at, repeats)
    yield Measure(
        "config.settings",
        BESIDE,
        "other settings in force, 1,000 listed",
        "use case",
        "us",
        TIMED,
        sizes,
        most,
        decisions.settings_take,
        5,
    )


def _processes() -> Iterator[Measure]:
    yield Measure(
        "process.memory",
        BESIDE,
        "memory of an idle process (RSS)",
        "backend listed",
        "bytes",
        TIMED,
        LISTS,
        LIST_MOST,
        processes.resident,
    )
    yield Measure(
        "process.idle",
        BESIDE,
        "processor time a second without tickets",
        "backend listed",
        "us/s",
        TIMED,
        LISTS,
        LIST_MOST,
        processes.idle,
        PLAYS,
    )
    yield Measure(
        "process.release",
        BESIDE,
        f"the same with {RELEASE:.1f} changes of the list a second",
        "backend listed",
        "us/s",
        TIMED,
        LISTS,
        LIST_MOST,
        processes.release(RELEASE),
        PLAYS,
    )
    connections, most = (25, 50, 100, 200, 400), 800
    yield Measure(
        "connection.memory",
        FRONT,
        "memory of a process (RSS), by idle connections",
        "connection",
        "bytes",
        TIMED,
        connections,
        most,
        processes.by_connections("resident"),
    )
    yield Measure(
        "connection.descriptors",
        FRONT,
        "descriptors of a process, by idle connections",
        "connection",
        "descriptors",
        COUNTED,
        connections,
        most,
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
        processes.told_one_by_one,
        3,
    )


def _latency() -> Iterator[Measure]:
    sizes, most = (24, 100, 250, 500, 1000), 2500
    for which, said in (("p50", "the middle"), ("p99", "the 99th of 100")):
        yield Measure(
            f"alone.{which}",
            BESIDE,
            f"processor time of a call alone in one proxy, {said} of 400",
            "backend listed",
            "us",
            TIMED,
            sizes,
            most,
            latency.processor(which),
            PLAYS,
        )
    for group, changes, said in ((1000, 0.0, "calm"), (1000, RELEASE, "release"), (1, 0.0, "group1")):
        with_changes = f", {changes:.1f} changes of the list a second" if changes else ""
        for which, what in (
            ("p99", "time added at the 99th of 100"),
            ("p50", "time added at the middle"),
            ("cpu", "processor time of a call"),
        ):
            yield Measure(
                f"added.{said}.{which}",
                BESIDE,
                f"{what}, one proxy, 72 calls a second, group size {group}{with_changes}",
                "backend listed",
                "us",
                TIMED if which == "cpu" else CLOCKED,
                sizes,
                most,
                latency.added(group, which, changes),
            )


# Proxies before two control machines; at the target one of nine has 556 proxies' worth of connections.
FLEETS, FLEET_MOST = (25, 50, 100, 200, 400), 800


def _control_state() -> Iterator[Measure]:
    sizes, most = (5, 10, 20, 40, 60, 100), 200
    yield Measure(
        "control.state.subscriber",
        CONTROL,
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
        CONTROL,
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
        CONTROL,
        f"what it holds, nobody connected, {control_run.ROUTES} routes each",
        "resource",
        "bytes",
        COUNTED,
        (10, 20, 40, 80, 120),
        210,
        control_state.by_resource,
    )
    for name, what, at in (
        ("control.snapshot_bytes", "a configuration sent whole, on the connection", control_state.snapshot_bytes),
        ("control.delta_bytes", "a change of one route in it, on the connection", control_state.delta_bytes),
    ):
        yield Measure(name, CONTROL, what, "route", "bytes", COUNTED, sizes, most, at)
    yield Measure(
        "client.state",
        BESIDE,
        "what the decisions about control machines hold, with the configuration",
        "route",
        "bytes",
        COUNTED,
        sizes,
        most,
        control_state.client_state,
    )


def _control_shares() -> Iterator[Measure]:
    for name, what, lost in (
        ("control.fullest", "connections of the fullest of nine machines", 0),
        ("control.fullest_lost", "the same with one of them lost", 1),
    ):
        yield Measure(
            name,
            CONTROL,
            what,
            "proxy",
            "connections",
            COUNTED,
            (500, 1000, 1500, 2000, 2500),
            5000,
            configuration_run.most_connections(lost),
        )


def _told() -> Iterator[Measure]:
    for name, what, unit in (
        ("memory", "memory of a whole proxy that a control machine tells (RSS), 24 listed", "bytes"),
        ("rest_cpu", "its processor time a second at rest", "us/s"),
        ("change_cpu", "its processor time for one change, until in force, beyond what it spends at rest", "us"),
    ):
        yield Measure(
            f"client.whole.{name}",
            BESIDE,
            what,
            "route",
            unit,
            TIMED,
            (5, 10, 20, 40, 60, 100),
            200,
            configuration_run.whole(name),
            PLAYS,
            # At rest each route that was used looks through all for its own (`changes/active_configuration.py` sweep).
            "n + n squared / 84" if name == "rest_cpu" else "",
        )


def _control() -> Iterator[Measure]:
    """Of two machines together, both connections of each proxy."""
    beside = "two control machines together, both connections of each proxy"
    for occasion, said in (
        ("start", "connecting, nothing held"),
        ("rest", "at rest, a second"),
        ("change", "one change to all"),
        ("resume", "connecting again, all held"),
    ):
        a_second = "/s" if occasion == "rest" else ""
        for name, what, unit, worth in (
            ("out_messages", "messages out", "messages", COUNTED),
            ("in_messages", "messages in", "messages", COUNTED),
            ("out_bytes", "bytes out", "bytes", COUNTED), ("in_bytes", "bytes in", "bytes", COUNTED),
            ("cpu", "processor time", "us", TIMED),
        ):  # fmt: skip
            yield Measure(
                f"control.{occasion}.{name}",
                CONTROL,
                f"{said}: {what}, {beside}",
                "proxy",
                unit + a_second,
                worth,
                FLEETS,
                FLEET_MOST,
                control_run.by_proxies(f"{occasion}.{name}"),
            )
        for name, what, unit, worth in (
            ("out_bytes", "bytes out", "bytes", COUNTED), ("in_bytes", "bytes in", "bytes", COUNTED),
            ("out_messages", "messages out", "messages", COUNTED),
            ("in_messages", "messages in", "messages", COUNTED),
            ("cpu", "processor time of the clients alone, in one process", "us", TIMED),
        ):  # fmt: skip
            yield Measure(
                f"client.{occasion}.{name}",
                BESIDE,
                f"{said}: {what}, clients of all proxies together, both connections",
                "proxy",
                unit + a_second,
                worth,
                FLEETS,
                FLEET_MOST,
                control_run.by_proxies(f"{occasion}.client_{name}"),
            )
    yield Measure(
        "control.memory",
        CONTROL,
        "memory of its process (RSS)",
        "proxy connected to it",
        "bytes",
        TIMED,
        FLEETS,
        FLEET_MOST,
        control_run.by_proxies("memory"),
    )
    yield Measure(
        "control.descriptors",
        CONTROL,
        "descriptors of its process",
        "proxy connected to it",
        "descriptors",
        COUNTED,
        FLEETS,
        FLEET_MOST,
        control_run.by_proxies("descriptors"),
    )
    yield Measure(
        "operator.publish",
        OPERATOR,
        "processor time of one `ctl publish`, which all proxies take",
        "proxy",
        "us",
        TIMED,
        FLEETS,
        FLEET_MOST,
        control_run.by_proxies("publish.cpu"),
    )
    for name, what, unit in (
        ("out_messages", "messages out", "messages"), ("out_bytes", "bytes out", "bytes"),
    ):  # fmt: skip
        yield Measure(
            f"control.some.{name}",
            CONTROL,
            f"one change to some of 100 proxies: {what}, {beside}",
            "proxy that takes it",
            unit,
            COUNTED,
            (10, 20, 30, 40, 50),
            80,
            control_run.by_takers(f"change.{name}"),
        )
    for occasion, said, unit in (
        ("rest", "at rest, a second", "bytes/s"), ("change", "one change", "bytes"),
    ):  # fmt: skip
        yield Measure(
            f"control.relay.{occasion}",
            CONTROL,
            f"{said}: bytes out of the origin to the others, no proxy there",
            "control machine",
            unit,
            COUNTED,
            (2, 3, 4, 5, 6),
            9,
            control_run.by_machines(f"{occasion}.origin_out_bytes"),
        )


QUICK: tuple[Callable[[], Iterator[Measure]], ...] = (
    _decisions, _list, _arcs, _membership, _config, _control_state,
    _control_shares,
)  # fmt: skip
WHOLE: tuple[Callable[[], Iterator[Measure]], ...] = (
    _discovery, _processes, _control, _told, _latency,
)  # fmt: skip


def measures() -> list[Measure]:
    return [one for made in (*QUICK, *WHOLE) for one in made()]


def singles(seed: int, say: Callable[[str], None]) -> Iterator[Single]:
    """Figures that are no slopes: attempts along a chain, and bounds of the code."""

    def single(name: str, what: str, unit: str, value: float, worth: str = COUNTED) -> Single:
        say(f"{name}: {value:.6g} {unit}")
        return Single(name=name, what=what, unit=unit, worth=worth, seed=seed, value=value)

    for passed in ("error", "full"):
        for share in (0.3, 1.0):
            for failing in (1, 2, 3):
                first, after = attempts.came(DEPTH, failing, share, seed, passed)
                said = f"{failing} of {DEPTH} levels fail {share:.0%} of calls, passed up as {passed}"
                key = f"attempts.{passed}.{round(share * 100)}.{failing}"
                yield single(f"{key}.first", f"sends for a call, the first 20: {said}", "sends", first.sends)
                yield single(f"{key}.after", f"sends for a call, later: {said}", "sends", after.sends)
                yield single(
                    f"{key}.most", f"sends for the worst call: {said}", "sends", float(max(first.most, after.most))
                )
                yield single(f"{key}.last", f"sends that reach the last level, for a call: {said}", "sends", first.last)
                yield single(f"{key}.done", f"part of later calls that are done: {said}", "", after.done)
    for depth in (4, 8, 12, 16, 20, DEPTH):
        came = attempts.cold(depth, seed)
        yield single(
            f"cold.{depth}.done",
            f"part of calls done along {depth} levels, none of which knows a time yet",
            "",
            came.done,
        )
        yield single(f"cold.{depth}.sends", f"sends for a call along {depth} such levels", "sends", came.sends)
    for most in (3, 1):
        for depth in SLOWED:
            for factor in (1, 2, 3, 5, 10):
                _, after = attempts.slowed(depth, factor, seed, most)
                yield single(
                    f"slowed.{most}.{depth}.{factor}",
                    f"part of calls done along {depth} warmed levels"
                    f" whose services take {factor} times as long, {most} attempts, after the first 20",
                    "",
                    after.done,
                )
    yield single("roll.most", "members that a group takes", "members", float(membership.most_members()))
    yield single("notices.most", "notices at once that a group takes", "notices", float(membership.most_notices()))


def chain_key(depth: int, listed: int, rate: float, changes: float = 0.0, attempts: int = 3,
    group: int = CHAIN_GROUP) -> str:  # fmt: skip
    """What the figures of a chain are called."""
    at = "" if rate == latency.CHAIN_RATE else f".at{rate:g}"
    alone = "" if group == CHAIN_GROUP else f".group{group}"
    return f"chain.{depth}.{listed}{'.release' * (changes > 0)}{at}{'.once' * (attempts == 1)}{alone}"


def chain(
    seed: int,
    say: Callable[[str], None],
    depth: int = DEPTH,
    rate: float = CHAIN_RATE,
    stands: tuple[tuple[int, float], ...] = STANDS,
    most: int = 3,
    group: int = CHAIN_GROUP,
    rounds: int = latency.ROUNDS,
    lasts: float = latency.CHAIN_LASTS,
) -> Iterator[Single]:
    """A chain of whole proxies, by list size, and with a release's changes; each makes `most` attempts."""
    for listed, changes in stands:
        key = chain_key(depth, listed, rate, changes, most, group)
        try:
            added = latency.through_chain(depth, listed, group, seed, changes, lasts, rounds, rate, most)
        except latency.Failing as error:
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
        with_changes = f", {changes:.1f} changes a second" if changes else ""
        said = f"{depth} proxies in a row, {listed} listed{with_changes}, {rate:g} calls a second"
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
                what=f"{name}: {said}",
                unit="us",
                worth=TIMED if name == "cpu" else CLOCKED,
                seed=seed,
                value=value,
            )
        yield Single(
            name=f"{key}.calls",
            what=f"calls that the figures stand on, {rounds} rounds: {said}",
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
