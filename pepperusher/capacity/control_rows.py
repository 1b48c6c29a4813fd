"""What control machines take at the target, and a proxy for being told by them, by occasion; free of I/O.

Slopes are by proxies that are connected to two of two machines. Of nine, one has 2 connections in 9 of each
proxy, so it takes what `proxies / 9` take of both: its load.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from pepperusher.capacity.target import Assumed, Budget, Row, Target, total, product

MACHINE, BESIDE = "control machine", "proxy beside a backend"
SECOND, MB = 1_000_000.0, 1_000_000.0
# As distribution.server and distribution.publisher have them: connections admitted a second and at once, a
# wave that nobody ends, bodies that deltas are made from, connections at the most.
ADMITTED, ADMISSION_BURST = 800.0, 400.0
WAVE_S, WAVES_BEFORE = 3.0, 2
BASES = 4
SUBSCRIBERS = 4_000.0
DAY = 86_400.0
SERVER = "`distribution/server.py`, `publisher.py`"
CLIENT = "`distribution/client.py`, `subscriber.py`"
At = Callable[[str, float], float | None]


class Before(NamedTuple):
    """The operator's rows as they were: what they are called, and both values in seconds."""

    in_force: str
    whole_day: str
    spent: float | None
    day: float | None


class Occasion(NamedTuple):
    """What befalls one control machine: the load that is connected as it is over, the load that connects
    within it, and how many of those are sent the whole configuration; in proxies with both connections.
    """

    when: str
    stays: float
    comes: float
    whole: float
    note: str


def proxies_per_machine(at: At, t: Target, harsh: bool) -> tuple[float, float]:
    """Of one machine, and with one machine lost; the fullest of them in the harsh case."""
    mean, lost = t.proxies / t.control_machines, t.proxies / (t.control_machines - 1)
    if not harsh:
        return mean, lost
    fullest, fullest_lost = at("control.fullest", t.proxies), at("control.fullest_lost", t.proxies)
    return (mean if fullest is None else fullest / 2), (lost if fullest_lost is None else fullest_lost / 2)


def occasions(at: At, t: Target, of: Assumed, harsh: bool) -> Iterator[Occasion]:
    """Mild: all that come hold what is newest. Harsh: they hold nothing, or what is too old for a delta."""
    load, lost = proxies_per_machine(at, t, harsh)
    machines = t.control_machines
    uneven = load / (t.proxies / machines)
    yield Occasion(
        "release",
        load,
        of.released / machines * uneven,
        of.released / machines * uneven * harsh,
        "each proxy that is replaced connects anew",
    )
    for when, gone, with_it in (
        ("a rack lost", 40, 0), ("a zone lost", t.proxies // t.zones, 1),
        ("a region lost", t.proxies * 4 // t.zones, 3),
    ):  # fmt: skip
        away = with_it if harsh else 0
        left = machines - away
        stay = (t.proxies - gone) / left * uneven
        moved = (t.proxies - gone) * away / machines / left * uneven
        back = gone / left * uneven
        yield Occasion(
            when,
            stay + back,
            moved + back,
            back if harsh else 0.0,
            "and back at one moment" + (f", {with_it} of the nine lost with it in the harsh case" if with_it else ""),
        )
    # A region's proxies have both upstreams within it while they are cut off, the others none there.
    inside, theirs = t.proxies * 4 // t.zones, 3
    outside = t.proxies - inside
    home = inside * (machines - theirs) / machines / (machines - theirs)
    foreign = outside * theirs / machines / theirs
    comes = (foreign if harsh else home) * uneven
    stale = of.apart_s * t.changes_a_day / DAY > BASES
    yield Occasion(
        "healing of a cut",
        load,
        comes,
        comes if stale else 0.0,
        "mild: a machine outside, after 60 s; harsh: one within the region, after 300 s",
    )
    yield Occasion(
        "a control machine lost",
        lost,
        t.proxies / machines / (machines - 1) * uneven,
        0.0,
        "one in eight of its connections",
    )
    yield Occasion("all control machines restarted", load, load, 0.0, "all hold what is newest")
    yield Occasion(
        "every proxy started", load, load, load if harsh else 0.0, "mild: from what each kept; harsh: nothing"
    )


def _whole(at: At, of: Assumed, proxies: float) -> float | None:
    return product(proxies, at("control.snapshot_bytes", of.routes)) if proxies else 0.0


def machine(at: At, t: Target, mild: Assumed, harsh: Assumed) -> Iterator[Row]:
    both = (mild, False), (harsh, True)
    core = Budget(SECOND, "own choice: one core of the control machine")
    core_12 = Budget(SECOND * t.in_force_s, "own choice: one core of the control machine, over 12 s")
    line = Budget(125 * MB, "own choice: one line of 1 Gbit/s")
    line_12 = Budget(125 * MB * t.in_force_s, "own choice: one line of 1 Gbit/s, over 12 s")

    def row(
        when: str, what: str, unit: str, of: Callable[[Assumed, bool], float | None], budget: Budget | None,
        mechanism: str, *from_: str, note: str = "",
    ) -> Row:  # fmt: skip
        made = [of(one, hard) for one, hard in both]
        return Row(MACHINE, when, what, unit, made[0], made[1], budget, mechanism, from_, note)

    known = at("control.fullest", t.proxies) is not None

    def connections(_: Assumed, hard: bool) -> float | None:
        return 2 * proxies_per_machine(at, t, hard)[0] if known else None

    def when_lost(_: Assumed, hard: bool) -> float | None:
        return 2 * proxies_per_machine(at, t, hard)[1] if known else None

    def of_connections(name: str, held: float | None) -> float | None:
        return None if held is None else at(name, held)

    peers = 2.0 * (t.control_machines - 2)  # beside the two of the machines that were measured
    for when, held, said in (
        ("always", connections, "fullest of nine"), ("a control machine lost", when_lost, "fullest of eight"),
    ):  # fmt: skip
        yield row(
            when,
            "proxies connected to it",
            "connections",
            held,
            Budget(SUBSCRIBERS, "the code: `subscribers` where its file names none"),
            "rendezvous hashing (`subscriber.rank`)",
            "control.fullest",
            "control.fullest_lost",
            note=f"harsh: the {said}",
        )
        yield row(
            when,
            "descriptors of its process",
            "descriptors",
            lambda of, hard, held=held: total(  # type: ignore[misc]
                of_connections("control.descriptors", held(of, hard)), peers
            ),
            Budget(4_096, "own choice: a usual hard limit, to which it raises its own"),
            "`distribution/commands.py` raised",
            "control.descriptors",
            "control.fullest",
        )
        yield row(
            when,
            "memory of its process",
            "bytes",
            lambda of, hard, held=held: of_connections(  # type: ignore[misc]
                "control.memory", held(of, hard)
            ),
            Budget(t.proxy_bytes, "own choice: as a proxy, 256 MB"),
            SERVER,
            "control.memory",
            note="one resource; the resources and what is subscribed to are rows of their own",
        )
    yield row(
        "always",
        "state: subscribers, one resource each",
        "bytes",
        lambda of, hard: of_connections("control.state.subscriber", connections(of, hard)),
        Budget(t.proxy_bytes, "own choice: as a proxy, 256 MB"),
        "`publisher.py` Subscriber, Proxy",
        "control.state.subscriber",
        note="without the kernel's and asyncio's part of a connection",
    )
    each = (at("control.state.subscription", 2), at("control.state.subscription", 1))
    further = None if each[0] is None or each[1] is None else (each[0] - each[1]) / 100
    yield row(
        "always",
        "state: subscriptions beyond the first",
        "bytes",
        lambda of, hard: product(connections(of, hard), further, 6.0 if hard else 0.0),
        Budget(t.proxy_bytes, "own choice: as a proxy, 256 MB"),
        "`publisher.py` Subscriber, Proxy",
        "control.state.subscription",
        note="mild: the one configuration; harsh: six further, as in the hollow runs",
    )
    yield row(
        "always", "state: a configuration for each of 210 services, with the versions before", "bytes",
        lambda of, hard: product(
            at("control.state.resource", t.services), of.routes / 20
        ),
        Budget(t.proxy_bytes, "own choice: as a proxy, 256 MB"), "`publisher.py` Held",
        "control.state.resource",
        note="20 routes measured; the harsh case by its 200 routes",
    )  # fmt: skip

    def day(what: str, relay: bool = False) -> Callable[[Assumed, bool], float | None]:
        """A second: at rest, the day's changes, and the day's restarts."""

        def at_day(of: Assumed, hard: bool) -> float | None:
            load = proxies_per_machine(at, t, hard)[0]
            changes = t.changes_a_day / DAY
            came = t.restarts_a_day / DAY / t.control_machines
            parts = [
                at(f"control.rest.{what}", load),
                product(changes, at(f"control.change.{what}", load * of.concerned)),
                product(came, _slope(at, f"control.{'start' if hard else 'resume'}.{what}")),
            ]
            if relay:
                parts += [
                    at("control.relay.rest", t.control_machines),
                    product(changes, at("control.relay.change", t.control_machines)),
                ]
            return total(*parts)

        return at_day

    for what, said, unit, budget, relay in (
        ("out_bytes", "bytes a second out", "bytes/s", line, True),
        ("in_bytes", "bytes a second in", "bytes/s", line, False),
        ("out_messages", "messages a second out", "messages/s", None, False),
        ("in_messages", "messages a second in", "messages/s", None, False),
        ("cpu", "processor time a second", "us/s", core, False),
    ):
        yield row(
            "ordinary day",
            said,
            unit,
            day(what, relay),
            budget,
            SERVER,
            f"control.rest.{what}",
            f"control.change.{what}",
            f"control.resume.{what}",
            f"control.start.{what}",
            note="beats, the day's changes and restarts" + ("; as the origin" if relay else ""),
        )
    for what, said, unit, one in (
        ("out_bytes", "bytes out for one change, of 12 s", "bytes", line_12),
        ("in_bytes", "bytes in for one change, of 12 s", "bytes", line_12),
        ("out_messages", "messages out for one change", "messages", None),
        ("in_messages", "messages in for one change", "messages", None),
        ("cpu", "processor time for one change, of 12 s", "us", core_12),
    ):
        yield row(
            "ordinary day",
            said,
            unit,
            lambda of, hard, what=what: total(  # type: ignore[misc]
                at(f"control.change.{what}", proxies_per_machine(at, t, hard)[0] * of.concerned),
                at("control.relay.change", t.control_machines) if what == "out_bytes" else 0.0,
            ),
            one,
            f"{SERVER}: one delta for all that have the same base",
            f"control.change.{what}",
            "control.some.out_bytes",
            note="mild: to the proxies of one service's callers; harsh: to all",
        )
    yield from _by_occasion(at, t, mild, harsh, line, line_12, core, core_12)


def _slope(at: At, name: str) -> float | None:
    """Of one more, far from where the fixed part weighs."""
    one, two = at(name, 1_000), at(name, 1_001)
    return None if one is None or two is None else two - one


def _by_occasion(
    at: At, t: Target, mild: Assumed, harsh: Assumed, line: Budget, line_12: Budget, core: Budget,
    core_12: Budget,
) -> Iterator[Row]:  # fmt: skip
    pairs = zip(occasions(at, t, mild, False), occasions(at, t, harsh, True))
    for easy, hard in pairs:
        release = easy.when == "release"
        known = at("control.fullest", t.proxies) is not None
        spans = (mild.release_s, harsh.release_s) if release else (t.in_force_s, t.in_force_s)
        over = "a second" if release else "of 12 s"
        seconds = [2 * one.comes / ADMITTED for one in (easy, hard)]
        if not release:
            seconds = [max(0.0, 2 * one.comes - ADMISSION_BURST) / ADMITTED for one in (easy, hard)]
            yield Row(
                MACHINE,
                easy.when,
                "seconds until all that connect are admitted",
                "s",
                seconds[0] if known else None,
                seconds[1] if known else None,
                Budget(t.in_force_s, "target: in force everywhere within 12 s"),
                "`admission.py` ADMITTED_A_SECOND, ADMITTED_AT_ONCE",
                ("control.fullest",),
                f"by the code's rates; {easy.note}",
            )
        for what, said, unit in (
            ("out_bytes", "bytes out", "bytes"), ("in_bytes", "bytes in", "bytes"),
            ("out_messages", "messages out", "messages"), ("in_messages", "messages in", "messages"),
            ("cpu", "processor time", "us"),
        ):  # fmt: skip
            made: list[float | None] = []
            for one, of, span in zip((easy, hard), (mild, harsh), spans):
                come = one.comes
                # What is sent whole is reckoned by its size; what that takes of the processor was measured.
                name = f"control.{'start' if one.whole and what == 'cpu' else 'resume'}.{what}"
                value = total(
                    product(span, at(f"control.rest.{what}", one.stays)), at(name, come),
                    _whole(at, of, one.whole) if what == "out_bytes" else 0.0,
                    one.whole if what == "out_messages" else 0.0,
                )  # fmt: skip
                made.append(None if value is None else value / span if release else value)
            budget = {
                "out_bytes": line if release else line_12, "in_bytes": line if release else line_12,
                "cpu": core if release else core_12,
            }.get(what)  # fmt: skip
            yield Row(
                MACHINE, easy.when, f"{said}, {over}", unit + "/s" * release, made[0], made[1], budget,
                SERVER, (f"control.resume.{what}", f"control.rest.{what}")
                + (("control.snapshot_bytes",) if what == "out_bytes" else ()), easy.note,
            )  # fmt: skip


def proxy_rows(at: At, t: Target, mild: Assumed, harsh: Assumed, role: str = BESIDE,
    also: str = "") -> Iterator[Row]:  # fmt: skip
    """What being told by control machines takes of a proxy; `also` is said with each row."""
    wire = Budget(t.proxy_wire, "target: 21 KB a second for control")
    wire_12 = Budget(t.proxy_wire * t.in_force_s, "target: 21 KB a second, over 12 s")
    cpu = Budget(t.proxy_cpu_us, "target: 1.4% of a core for control")
    cpu_12 = Budget(t.proxy_cpu_us * t.in_force_s, "target: 1.4% of a core, over 12 s")
    memory = Budget(t.proxy_bytes, "target: 256 MB")

    def mean(occasion: str, way: str) -> float | None:
        """Of one proxy, which is what one more adds; both ways of messages or bytes."""
        if way == "cpu":
            return _slope(at, f"client.{occasion}.cpu")
        return total(_slope(at, f"client.{occasion}.out_{way}"), _slope(at, f"client.{occasion}.in_{way}"))

    def names(occasion: str, way: str) -> tuple[str, ...]:
        if way == "cpu":
            return (f"client.{occasion}.cpu",)
        return f"client.{occasion}.out_{way}", f"client.{occasion}.in_{way}"

    def applying(of: Assumed) -> float | None:
        return at("client.whole.change_cpu", of.routes)

    yield Row(
        role,
        "always",
        "state: what it has of control machines",
        "bytes",
        at("client.state", mild.routes),
        at("client.state", harsh.routes),
        memory,
        f"{CLIENT}, `keeping.py`",
        ("client.state",),
        also,
    )
    yield Row(
        role,
        "always",
        "processor time a second of an idle process that control machines tell",
        "us/s",
        at("client.whole.rest_cpu", mild.routes),
        at("client.whole.rest_cpu", harsh.routes),
        cpu,
        f"{CLIENT}, `net/distributed_configuration.py`, timers of what is in force",
        ("client.whole.rest_cpu",),
        _said(
            "24 listed; most of what 200 routes add is one sweep that looks through all routes for each"
            " (docs/results.md)",
            also,
        ),
    )
    yield Row(
        role,
        "always",
        "memory of an idle process that control machines tell",
        "bytes",
        at("client.whole.memory", mild.routes),
        at("client.whole.memory", harsh.routes),
        memory,
        f"{CLIENT}, `net/distributed_configuration.py`",
        ("client.whole.memory",),
        _said("24 listed; what is listed adds as in the row without control machines", also),
    )
    for way, said, unit, budget in (
        ("bytes", "bytes a second in and out with control machines", "bytes/s", wire),
        ("messages", "messages a second in and out with control machines", "messages/s", None),
        ("cpu", "processor time a second for control machines", "us/s", cpu),
    ):
        made = []
        for of in (mild, harsh):
            rate = of.concerned * t.changes_a_day / DAY
            parts = [mean("rest", way), product(rate, mean("change", way))]
            if way == "cpu":
                parts.append(product(rate, applying(of)))
            made.append(total(*parts))
        yield Row(
            role,
            "ordinary day",
            said,
            unit,
            made[0],
            made[1],
            budget,
            CLIENT,
            (*names("rest", way), *names("change", way), *(["client.whole.change_cpu"] * (way == "cpu"))),
            _said(
                "beats and the day's changes; a release, a rack, a zone or a region lost bring no more of"
                " it, since lists do not come this way",
                also,
            ),
        )
    for way, said, unit, budget in (
        ("bytes", "bytes in and out for one change, of 12 s", "bytes", wire_12),
        ("cpu", "processor time for one change, of 12 s", "us", cpu_12),
    ):
        made = [
            total(
                mean("change", way),
                product(t.in_force_s, mean("rest", way)),
                applying(of) if way == "cpu" else 0.0,
            )
            for of in (mild, harsh)
        ]
        yield Row(
            role,
            "ordinary day",
            said,
            unit,
            made[0],
            made[1],
            budget,
            CLIENT
            + (", `net/distributed_configuration.py`, `changes/`, `configuration/loader.py`" if way == "cpu" else ""),
            (*names("change", way), *names("rest", way), *(["client.whole.change_cpu"] * (way == "cpu"))),
            also,
        )
    # How much of connecting twice befalls it, and whether it is sent the whole configuration.
    for when, both, note in (
        (
            "healing of a cut",
            ((0.5, False), (1.0, True)),
            "harsh: both upstreams anew, and what it has is too old for a delta",
        ),
        ("a control machine lost", ((0.0, False), (0.5, False)), "mild: not one of its two; harsh: one of them"),
        ("all control machines restarted", ((1.0, False), (1.0, False)), "with nothing newer"),
        ("every proxy started", ((1.0, False), (1.0, True)), "mild: from what it kept; harsh: nothing kept"),
    ):
        for way, said, unit, budget in (
            ("bytes", "bytes in and out with control machines, of 12 s", "bytes", wire_12),
            ("messages", "messages in and out with control machines, of 12 s", "messages", None),
            ("cpu", "processor time for control machines, of 12 s", "us", cpu_12),
        ):
            made = []
            for of, (part, whole) in zip((mild, harsh), both):
                more: float | None = 0.0
                if whole:
                    more = {"bytes": at("control.snapshot_bytes", of.routes), "messages": 1.0,
                        "cpu": applying(of)}[way]  # fmt: skip
                elif way == "cpu" and when == "every proxy started":
                    more = applying(of)  # what it kept is read and checked as well
                made.append(total(product(part, mean("resume", way)), product(t.in_force_s, mean("rest", way)), more))
            yield Row(
                role,
                when,
                said,
                unit,
                made[0],
                made[1],
                budget,
                CLIENT,
                (*names("resume", way), *names("rest", way)),
                _said(note, also),
            )


def _said(*parts: str) -> str:
    return "; ".join(filter(None, parts))


def operator(
    at: At, t: Target, mild: Assumed, harsh: Assumed, publish: float, before: Before, within: Budget
) -> Iterator[Row]:
    """`publish` in us of one change, whatever the number of proxies."""
    made: list[float | None] = []
    for of, hard in ((mild, False), (harsh, True)):
        spent = total(publish, at("control.change.cpu", proxies_per_machine(at, t, hard)[0] * of.concerned))
        made.append(None if spent is None else spent / SECOND + WAVE_S * WAVES_BEFORE * hard)
    yield Row(
        "operator",
        "ordinary day",
        before.in_force,
        "s",
        made[0],
        made[1],
        within,
        "`distribution` (9 control machines): `ctl publish`, waves, acknowledgements",
        ("operator.publish", "control.change.cpu"),
        "after: the processor time of `ctl publish` and of one control machine for it, one after the other;"
        " harsh: and two waves that wait to their end for proxies that are frozen. A least: by the clock, at"
        " 5,000 hollow proxies, see After the mechanism",
        (before.spent, before.spent),
    )
    day = publish / SECOND * t.changes_a_day
    yield Row(
        "operator",
        "ordinary day",
        before.whole_day,
        "s",
        day,
        day,
        Budget(DAY, "a day"),
        "`distribution`: one `ctl publish` a change, however many take it",
        ("operator.publish",),
        "after: processor time of `ctl publish`; before, mild: each change concerns one service",
        (None if before.day is None else before.day / t.services, before.day),
    )
