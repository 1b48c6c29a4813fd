"""Validates the proxy's own configuration against named rules; a violation is reported with the key and the rule.

Some rules are requirements on the proxy, some follow from the platform's settings, and some concern the form of
values. No file can relax a rule: route settings may only narrow what the balancer is allowed to do, and a setting
that would widen it is refused.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from pepperusher.configuration.tables import Distribution, Group, Own, Route
from pepperusher.routes import match
from pepperusher.routes.match import Pattern, TemplateError
from pepperusher.terms import REPLAYABLE, SINGLE_USE, PolicySettings, UseCase

MAX_ATTEMPTS = 3
MAX_HISTORY = 10_000
# No response arrives within this time: the network alone takes longer.
MIN_TIMEOUT_US = 1_000
MIN_KEY_LENGTH = 16
MAX_ADDRESSES = 64
MAX_HOST_LENGTH = 60

RULES = {
    "form": "the file is TOML, and each value has the type of its key",
    "known key": "the file contains only known keys",
    "known use case": "each use case that the file names exists in the platform's settings",
    "three attempts": "a ticket has three attempts at most, and never more than the settings allow",
    "one at a time": "no ticket has two attempts in flight at once",
    "single-use once": "a single-use ticket that may have run is not retried",
    "within memory": "a referenced ticket is retried only within the deduplication window of its group",
    "within the client's wait": "an attempt ends before its client times out",
    "within the settings": "a route setting narrows what the platform's settings allow, and never widens it",
    "no conflict": "of two routes that could match the same ticket, one is more specific",
    "sound limits": "a limit admits at least one ticket, and its values are consistent",
    "sound watch": "a change is watched long enough to be judged, and not indefinitely",
    "one of a name": "a name is unique",
    "sound distribution": "control machines can be reached and authenticated, and the resources to receive are named",
    "sound group": "members can reach each other, and no one else can impersonate a member",
}


class RuleViolation(NamedTuple):
    """One violation: the path of the key, the name of the rule, and a description."""

    key: str
    rule: str
    problem: str


Report = Callable[[str, str, str], None]


def check(own: Own, policy_settings: PolicySettings | None) -> list[RuleViolation]:
    """All violations, in the order of the file. Without `policy_settings` the rules that depend on the platform's
    settings are skipped."""
    violations: list[RuleViolation] = []

    def report(key: str, rule: str, problem: str) -> None:
        assert rule in RULES, rule
        violations.append(RuleViolation(key, rule, problem))

    use_cases = (
        {use_case.name: use_case for use_case in policy_settings.use_cases} if policy_settings is not None else None
    )
    patterns: list[Pattern | None] = []
    for number, route in enumerate(own.routes):
        at = f"routes[{number}]"
        patterns.append(_parse_pattern(route, at, report))
        use_case = None
        if route.use_case is not None and use_cases is not None:
            use_case = use_cases.get(route.use_case)
            if use_case is None:
                report(f"{at}.use_case", "known use case", f"the platform's settings have no use case {route.use_case}")
        _check_attempts(route, at, use_case, policy_settings, report)
        _check_timeouts(route, at, use_case, use_cases, report)
        _check_limits(route, at, report)
        if not 0 <= route.priority <= 9:
            report(f"{at}.priority", "sound limits", f"{route.priority} is not from 0 to 9")
    _check_names([route.name for route in own.routes], "routes", "name", report)
    _check_names([mark.id for mark in own.backends], "backends", "id", report)
    _check_conflicts(own, patterns, report)
    _check_other_tables(own, report)
    return violations


def _parse_pattern(route: Route, key: str, report: Report) -> Pattern | None:
    try:
        return match.pattern(route.match.method, route.match.path, route.match.host, route.match.headers)
    except TemplateError as error:
        report(f"{key}.match", "form", str(error))
        return None


def _check_conflicts(own: Own, patterns: list[Pattern | None], report: Report) -> None:
    valid_indices = [number for number, pattern in enumerate(patterns) if pattern is not None]
    for later, earlier in match.conflicts([pattern for pattern in patterns if pattern is not None]):
        a, b = valid_indices[later], valid_indices[earlier]
        report(
            f"routes[{a}].match",
            "no conflict",
            f"{own.routes[a].name} and {own.routes[b].name} could match the same ticket, and neither is more specific",
        )


def _check_names(names: list[str], table: str, key: str, report: Report) -> None:
    seen: set[str] = set()
    for number, name in enumerate(names):
        if not name or len(name) > 100 or not name.isprintable():
            report(f"{table}[{number}].{key}", "form", f"{name!r} is not a valid name")
        elif name in seen:
            report(f"{table}[{number}].{key}", "one of a name", f"{name} appears twice")
        seen.add(name)


def _check_attempts(
    route: Route, key: str, use_case: UseCase | None, policy_settings: PolicySettings | None, report: Report
) -> None:
    attempts = route.attempts
    if route.second_copy:
        report(f"{key}.second_copy", "one at a time", "a second attempt while the first is in flight is not allowed")
    if attempts is not None:
        if not 1 <= attempts <= MAX_ATTEMPTS:
            report(
                f"{key}.attempts",
                "three attempts",
                f"{attempts} is not from 1 to {MAX_ATTEMPTS}",
            )
        elif policy_settings is not None and attempts > policy_settings.most_attempts:
            report(
                f"{key}.attempts",
                "within the settings",
                f"{attempts} is above the settings' most-transmissions, {policy_settings.most_attempts}",
            )
        if (
            use_case is not None
            and use_case.retry_class == SINGLE_USE
            and attempts > 1
            and (route.retry_on is None or set(route.retry_on) - {"unreached", "full"})
        ):
            report(
                f"{key}.attempts",
                "single-use once",
                f"{use_case.name} is single-use: with {attempts} attempts retry_on may contain only unreached and full",
            )
    if (
        use_case is not None
        and use_case.retry_class == SINGLE_USE
        and attempts is None
        and route.retry_on is not None
        and set(route.retry_on) - {"unreached", "full"}
    ):
        report(
            f"{key}.retry_on",
            "single-use once",
            f"{use_case.name} is single-use, and after these outcomes an attempt may have run",
        )
    budget = route.retry_budget
    if budget is not None:
        if not 0 <= budget.share <= 2 or not 0 <= budget.floor <= 10_000:
            report(f"{key}.retry_budget", "sound limits", "share is not from 0 to 2, or floor not from 0 to 10000")
        if not 1_000_000 <= budget.span <= 600_000_000:
            report(f"{key}.retry_budget.span", "sound limits", "is not from 1s to 10m")


def _check_timeouts(
    route: Route, route_key: str, use_case: UseCase | None, use_cases: dict[str, UseCase] | None, report: Report
) -> None:
    limits = (
        [use_case.outer_limit]
        if use_case is not None
        else [candidate.outer_limit for candidate in use_cases.values()]
        if use_cases
        else []
    )
    client_timeout = min(limits, default=None)
    scope = use_case.name if use_case is not None else "some use case it could match"
    for key in ("time_out", "outer", "patience"):
        value = getattr(route, key)
        if value is not None and value < MIN_TIMEOUT_US:
            report(f"{route_key}.{key}", "sound limits", "is below 1ms: no response could arrive in time")
    if route.outer is not None and client_timeout is not None and route.outer > client_timeout:
        report(
            f"{route_key}.outer",
            "within the settings",
            f"is above the time-out of clients of {scope}, {client_timeout // 1000}ms",
        )
    if route.time_out is not None:
        shortest_wait = min(
            (candidate for candidate in (route.outer, route.patience, client_timeout) if candidate is not None),
            default=None,
        )
        if shortest_wait is not None and route.time_out >= shortest_wait:
            report(
                f"{route_key}.time_out",
                "within the client's wait",
                f"an attempt could outlast its client's time-out, at most {shortest_wait // 1000}ms for {scope}",
            )
    if route.patience is not None and route.outer is not None and route.patience < route.outer:
        report(
            f"{route_key}.patience",
            "within the client's wait",
            "is below outer: a client that states no time-out would wait longer",
        )
    if (
        use_case is not None
        and use_case.retry_class not in (REPLAYABLE, SINGLE_USE)
        and (route.attempts or MAX_ATTEMPTS) > 1
        and route.time_out is not None
        and use_case.deduplication_window
        and route.time_out >= use_case.deduplication_window
        and (route.retry_on is None or "timed out" in route.retry_on)
    ):
        report(
            f"{route_key}.time_out",
            "within memory",
            f"is not below the deduplication window of the group of {use_case.name},"
            f" {use_case.deduplication_window // 1000}ms",
        )


def _check_limits(route: Route, route_key: str, report: Report) -> None:
    concurrency = route.concurrency
    if concurrency is not None:
        key = f"{route_key}.concurrency"
        if not 1 <= concurrency.most <= 100_000:
            report(f"{key}.most", "sound limits", f"{concurrency.most} is not from 1 to 100000")
        if not 0 <= concurrency.queue <= 100_000:
            report(f"{key}.queue", "sound limits", f"{concurrency.queue} is not from 0 to 100000")
        if concurrency.adaptive and not 1 <= concurrency.least <= concurrency.start <= concurrency.most:
            report(f"{key}.start", "sound limits", "least, start and most are not in ascending order")
        if concurrency.adaptive and not 1.0 <= concurrency.tolerance <= 10.0:
            report(f"{key}.tolerance", "sound limits", f"{concurrency.tolerance:g} is not from 1 to 10")
    rate = route.rate
    if rate is not None:
        if not 0 < rate.per_customer <= 1e6:
            report(
                f"{route_key}.rate.per_customer",
                "sound limits",
                f"{rate.per_customer:g} is not above 0 and at most 1000000",
            )
        if not 1 <= rate.burst <= 1e6:
            report(
                f"{route_key}.rate.burst",
                "sound limits",
                f"{rate.burst:g} is not from 1 to 1000000; below 1 no ticket would be admitted",
            )


def address_of(text: str) -> tuple[str, int]:
    """Parses address:port; with port 0 the kernel chooses one. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text!r} is not address:port")
    host = host.strip("[]")
    if not host or len(host) > MAX_HOST_LENGTH or not host.isprintable():
        raise ValueError(f"{text!r} has no valid host")
    return host, int(port)


def _check_group(group: Group, report: Report) -> None:
    if group.listen is None:
        if group.seeds or group.advertise is not None or group.key:
            report("group.listen", "sound group", "is missing, but other keys of the group are set")
        return
    for key, text, min_port in (
        ("listen", group.listen, 0),
        ("advertise", group.advertise, 1),
        *((f"seeds[{number}]", seed, 1) for number, seed in enumerate(group.seeds)),
    ):
        if text is None:
            continue
        try:
            if address_of(text)[1] < min_port:
                report(f"group.{key}", "sound group", f"{text!r} has port 0, which cannot be reached")
        except ValueError as error:
            report(f"group.{key}", "sound group", str(error))
    if group.advertise is None and group.listen.rpartition(":")[0].strip("[]") in ("0.0.0.0", "::"):
        report(
            "group.advertise", "sound group", "is missing, and listen is a wildcard address, which others cannot reach"
        )
    if len(group.seeds) > MAX_ADDRESSES:
        report("group.seeds", "sound group", f"has {len(group.seeds)} entries; at most {MAX_ADDRESSES} are allowed")
    if len(group.key) < MIN_KEY_LENGTH:
        report(
            "group.key", "sound group", f"has fewer than {MIN_KEY_LENGTH} characters: anyone who guesses it could join"
        )
    if not 50_000 <= group.period <= 60_000_000:
        report("group.period", "sound group", "is not from 50ms to 1m")
    if not 5_000 <= group.within <= group.period // 2:
        report(
            "group.within",
            "sound group",
            "is not from 5ms to half of period: indirect probes need the rest of the period",
        )


def _check_distribution(distribution: Distribution, report: Report) -> None:
    if not distribution.machines:
        if any(
            value is not None
            for value in (distribution.key_file, distribution.config, distribution.endpoints, distribution.keep)
        ):
            report(
                "distribution.machines", "sound distribution", "is missing, but other keys of the distribution are set"
            )
        return
    for number, text in enumerate(distribution.machines):
        try:
            if address_of(text)[1] < 1:
                report(
                    f"distribution.machines[{number}]",
                    "sound distribution",
                    f"{text!r} has port 0, which cannot be reached",
                )
        except ValueError as error:
            report(f"distribution.machines[{number}]", "sound distribution", str(error))
    if len(distribution.machines) > MAX_ADDRESSES:
        report(
            "distribution.machines",
            "sound distribution",
            f"has {len(distribution.machines)} entries; at most {MAX_ADDRESSES} are allowed",
        )
    if len(set(distribution.machines)) < len(distribution.machines):
        report("distribution.machines", "one of a name", "contains an address twice")
    for number, text in enumerate(distribution.near):
        if text not in distribution.machines:
            report(f"distribution.near[{number}]", "sound distribution", f"{text!r} is not one of the machines")
    if distribution.near and not distribution.region:
        report("distribution.region", "sound distribution", "is missing, but near is set")
    if distribution.key_file is None:
        report(
            "distribution.key_file",
            "sound distribution",
            "is missing: without a key anyone at these addresses could change the configuration",
        )
    if distribution.endpoints is not None:
        region, _, name = distribution.endpoints.partition("/")
        if not region or not name or len(distribution.endpoints) > 100 or not distribution.endpoints.isprintable():
            report(
                "distribution.endpoints", "sound distribution", f"{distribution.endpoints[:100]!r} is not region/name"
            )
    if distribution.config is None and distribution.endpoints is not None:
        return
    if not distribution.config or len(distribution.config) > 100 or not distribution.config.isprintable():
        report("distribution.config", "sound distribution", "is missing or not a valid name")


def _check_other_tables(own: Own, report: Report) -> None:
    for number, mark in enumerate(own.backends):
        if mark.weight is not None and not 0 < mark.weight <= 100:
            report(
                f"backends[{number}].weight",
                "sound limits",
                f"{mark.weight:g} is not above 0 and at most 100; use drain to send nothing",
            )
    for name, weight in own.weights.items():
        if not 0 < weight <= 1e6:
            report(f"weights.{name}", "sound limits", f"{weight:g} is not above 0 and at most 1000000")
    changes = own.changes
    if not 1_000_000 <= changes.watch <= 3_600_000_000:
        report("changes.watch", "sound watch", "is not from 1s to 1h")
    if not 1 <= changes.least <= 1_000_000:
        report("changes.least", "sound watch", f"{changes.least} is not from 1 to 1000000")
    for key in ("errors", "bounces"):
        if not 0 < getattr(changes, key) <= 1:
            report(f"changes.{key}", "sound watch", f"{getattr(changes, key):g} is not above 0 and at most 1")
    if not 1 < changes.latency <= 100:
        report("changes.latency", "sound watch", f"{changes.latency:g} is not above 1 and at most 100")
    if not 1 <= changes.history <= MAX_HISTORY:
        report("changes.history", "sound limits", f"{changes.history} is not from 1 to {MAX_HISTORY}")
    if not 1_000 <= own.store.wait <= 10_000_000:
        report("store.wait", "sound limits", "is not from 1ms to 10s")
    if not 1 <= own.store.marks <= 10_000_000:
        report("store.marks", "sound limits", f"{own.store.marks} is not from 1 to 10000000")
    if not 1 <= own.store.compact_at <= 65_536:
        report("store.compact_at", "sound limits", f"{own.store.compact_at} is not from 1 to 65536")
    if own.store.folder is not None and own.store.folder == own.changes.state:
        report("store.folder", "one of a name", "is the folder of changes.state too; each needs its own folder")
    _check_group(own.group, report)
    _check_distribution(own.distribution, report)
    if not 1 <= own.control.connections <= 64:
        report("control.connections", "sound limits", f"{own.control.connections} is not from 1 to 64")
    if not 100_000 <= own.control.within <= 60_000_000:
        report("control.within", "sound limits", "is not from 100ms to 1m")
    if own.control.socket is not None and not 0 < len(own.control.socket.encode()) <= 107:
        report("control.socket", "sound limits", "is not a path of 1 to 107 bytes, the limit for Unix sockets")
