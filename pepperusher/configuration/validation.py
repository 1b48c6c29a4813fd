"""The rules that the proxy's own file is held to, each with a name; what breaks one is said with its key.

Some are the brief's, some follow from the platform's settings, some are of form. None is ever relaxed for a
file: terms narrow what the decisions may do, and a term that would widen it is refused.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from pepperusher.configuration.tables import Distribution, Group, Own, Route
from pepperusher.routes import match
from pepperusher.routes.match import Pattern, TemplateError
from pepperusher.terms import REPLAYABLE, SINGLE_USE, PolicySettings, UseCase

MOST_ATTEMPTS = 3
LONGEST_HISTORY = 10_000
# What no answer can be in: the network alone takes more.
SHORTEST_TIME_OUT = 1_000
SHORTEST_KEY = 16
MOST_SEEDS = 64
LONGEST_HOST = 60

RULES = {
    "form": "the file is TOML, and each value has its key's form",
    "known key": "no key stands in it that is not known",
    "known use case": "a use case that it names is one of the platform's settings",
    "three attempts": "a ticket goes out three times at the most, and never more often than the settings allow",
    "one at a time": "no ticket has two attempts out at once",
    "single-use once": "a single-use ticket that may have run is not sent again",
    "within memory": "a referenced ticket is sent again only while its group knows the repeat",
    "within the client's wait": "an attempt ends before its client gives up",
    "within the settings": "a term narrows what the settings allow, and never widens it",
    "no conflict": "of two routes that could match the same ticket one is the more exact",
    "sound limits": "a limit lets something through, and its figures agree",
    "sound watch": "a change is watched long enough to be judged, and not for ever",
    "one of a name": "a name stands once",
    "sound distribution": "control machines can be reached and told from strangers, and it is said what is taken of them",
    "sound group": "members can reach each other, and strangers cannot pass for one",
}


class RuleViolation(NamedTuple):
    """One thing wrong: the key's path, the rule's name, and what is wrong."""

    key: str
    rule: str
    problem: str


Tell = Callable[[str, str, str], None]


def check(own: Own, policy_settings: PolicySettings | None) -> list[RuleViolation]:
    """All that is wrong, in the file's order. Without `policy_settings` what hangs on the platform's settings is not
    looked at."""
    found: list[RuleViolation] = []

    def tell(key: str, rule: str, what: str) -> None:
        assert rule in RULES, rule
        found.append(RuleViolation(key, rule, what))

    uses = {use.name: use for use in policy_settings.use_cases} if policy_settings is not None else None
    patterns: list[Pattern | None] = []
    for number, route in enumerate(own.routes):
        at = f"routes[{number}]"
        patterns.append(_pattern(route, at, tell))
        use = None
        if route.use_case is not None and uses is not None:
            use = uses.get(route.use_case)
            if use is None:
                tell(f"{at}.use_case", "known use case", f"the settings have no {route.use_case}")
        _attempts(route, at, use, policy_settings, tell)
        _times(route, at, use, uses, tell)
        _limits(route, at, tell)
        if not 0 <= route.priority <= 9:
            tell(f"{at}.priority", "sound limits", f"{route.priority} is not from 0 to 9")
    _names([route.name for route in own.routes], "routes", "name", tell)
    _names([mark.id for mark in own.backends], "backends", "id", tell)
    _conflicts(own, patterns, tell)
    _rest(own, tell)
    return found


def _pattern(route: Route, at: str, tell: Tell) -> Pattern | None:
    try:
        return match.pattern(route.match.method, route.match.path, route.match.host, route.match.headers)
    except TemplateError as error:
        tell(f"{at}.match", "form", str(error))
        return None


def _conflicts(own: Own, patterns: list[Pattern | None], tell: Tell) -> None:
    sound = [number for number, one in enumerate(patterns) if one is not None]
    for later, earlier in match.conflicts([one for one in patterns if one is not None]):
        a, b = sound[later], sound[earlier]
        tell(
            f"routes[{a}].match",
            "no conflict",
            f"{own.routes[a].name} and {own.routes[b].name} could match the same ticket, and neither is more exact",
        )


def _names(names: list[str], table: str, key: str, tell: Tell) -> None:
    seen: set[str] = set()
    for number, name in enumerate(names):
        if not name or len(name) > 100 or not name.isprintable():
            tell(f"{table}[{number}].{key}", "form", f"{name!r} is no name")
        elif name in seen:
            tell(f"{table}[{number}].{key}", "one of a name", f"{name} stands twice")
        seen.add(name)


def _attempts(route: Route, at: str, use: UseCase | None, policy_settings: PolicySettings | None, tell: Tell) -> None:
    wanted = route.attempts
    if route.second_copy:
        tell(f"{at}.second_copy", "one at a time", "the rules allow no second copy while a first is out")
    if wanted is not None:
        if not 1 <= wanted <= MOST_ATTEMPTS:
            tell(
                f"{at}.attempts",
                "three attempts",
                f"{wanted} is not from 1 to {MOST_ATTEMPTS}",
            )
        elif policy_settings is not None and wanted > policy_settings.most_attempts:
            tell(
                f"{at}.attempts",
                "within the settings",
                f"{wanted} is over the settings' most-transmissions, {policy_settings.most_attempts}",
            )
        if (
            use is not None
            and use.retry_class == SINGLE_USE
            and wanted > 1
            and (route.retry_on is None or set(route.retry_on) - {"unreached", "full"})
        ):
            tell(
                f"{at}.attempts",
                "single-use once",
                f"{use.name} is single-use: with {wanted} attempts retry_on may hold unreached and full alone",
            )
    if (
        use is not None
        and use.retry_class == SINGLE_USE
        and wanted is None
        and route.retry_on is not None
        and set(route.retry_on) - {"unreached", "full"}
    ):
        tell(f"{at}.retry_on", "single-use once", f"{use.name} is single-use, and after these it may have run")
    budget = route.retry_budget
    if budget is not None:
        if not 0 <= budget.share <= 2 or not 0 <= budget.floor <= 10_000:
            tell(f"{at}.retry_budget", "sound limits", "share is not from 0 to 2, or floor not from 0 to 10000")
        if not 1_000_000 <= budget.span <= 600_000_000:
            tell(f"{at}.retry_budget.span", "sound limits", "is not from 1s to 10m")


def _times(route: Route, at: str, use: UseCase | None, uses: dict[str, UseCase] | None, tell: Tell) -> None:
    limits = [use.outer_limit] if use is not None else [one.outer_limit for one in uses.values()] if uses else []
    client = min(limits, default=None)
    whose = use.name if use is not None else "some use case it could match"
    for key in ("time_out", "outer", "patience"):
        value = getattr(route, key)
        if value is not None and value < SHORTEST_TIME_OUT:
            tell(f"{at}.{key}", "sound limits", "is under 1ms: nothing could be in time")
    if route.outer is not None and client is not None and route.outer > client:
        tell(
            f"{at}.outer",
            "within the settings",
            f"is longer than a client of {whose} waits, {client // 1000}ms",
        )
    if route.time_out is not None:
        wait = min((one for one in (route.outer, route.patience, client) if one is not None), default=None)
        if wait is not None and route.time_out >= wait:
            tell(
                f"{at}.time_out",
                "within the client's wait",
                f"an attempt could outlive its client, who waits {wait // 1000}ms at the most for {whose}",
            )
    if route.patience is not None and route.outer is not None and route.patience < route.outer:
        tell(
            f"{at}.patience",
            "within the client's wait",
            "is under outer: a client that says nothing would wait for longer",
        )
    if (
        use is not None
        and use.retry_class not in (REPLAYABLE, SINGLE_USE)
        and (route.attempts or MOST_ATTEMPTS) > 1
        and route.time_out is not None
        and use.deduplication_window
        and route.time_out >= use.deduplication_window
        and (route.retry_on is None or "timed out" in route.retry_on)
    ):
        tell(
            f"{at}.time_out",
            "within memory",
            f"after it the group of {use.name} has forgotten the first, known for {use.deduplication_window // 1000}ms",
        )


def _limits(route: Route, at: str, tell: Tell) -> None:
    held = route.concurrency
    if held is not None:
        key = f"{at}.concurrency"
        if not 1 <= held.most <= 100_000:
            tell(f"{key}.most", "sound limits", f"{held.most} is not from 1 to 100000")
        if not 0 <= held.queue <= 100_000:
            tell(f"{key}.queue", "sound limits", f"{held.queue} is not from 0 to 100000")
        if held.adaptive and not 1 <= held.least <= held.start <= held.most:
            tell(f"{key}.start", "sound limits", "least, start and most do not stand in this order")
        if held.adaptive and not 1.0 <= held.tolerance <= 10.0:
            tell(f"{key}.tolerance", "sound limits", f"{held.tolerance:g} is not from 1 to 10")
    rate = route.rate
    if rate is not None:
        if not 0 < rate.per_customer <= 1e6:
            tell(
                f"{at}.rate.per_customer",
                "sound limits",
                f"{rate.per_customer:g} is not over 0 and up to 1000000",
            )
        if not 1 <= rate.burst <= 1e6:
            tell(
                f"{at}.rate.burst",
                "sound limits",
                f"{rate.burst:g} is not from 1 to 1000000: not one ticket would pass",
            )


def address_of(text: str) -> tuple[str, int]:
    """Raises ValueError. Port 0 is for the kernel to choose."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or int(port) > 65535:
        raise ValueError(f"{text!r} is no address:port")
    host = host.strip("[]")
    if not host or len(host) > LONGEST_HOST or not host.isprintable():
        raise ValueError(f"{text!r} has no host")
    return host, int(port)


def _group(group: Group, tell: Tell) -> None:
    if group.listen is None:
        if group.seeds or group.advertise is not None or group.key:
            tell("group.listen", "sound group", "is missing, and without it there is no group")
        return
    for key, text, least in (
        ("listen", group.listen, 0),
        ("advertise", group.advertise, 1),
        *((f"seeds[{number}]", seed, 1) for number, seed in enumerate(group.seeds)),
    ):
        if text is None:
            continue
        try:
            if address_of(text)[1] < least:
                tell(f"group.{key}", "sound group", f"{text!r} is where nobody can be reached")
        except ValueError as error:
            tell(f"group.{key}", "sound group", str(error))
    if group.advertise is None and group.listen.rpartition(":")[0].strip("[]") in ("0.0.0.0", "::"):
        tell("group.advertise", "sound group", "is missing, and listen is an address where nobody reaches this one")
    if len(group.seeds) > MOST_SEEDS:
        tell("group.seeds", "sound group", f"are {len(group.seeds)}, and {MOST_SEEDS} are enough")
    if len(group.key) < SHORTEST_KEY:
        tell("group.key", "sound group", f"is under {SHORTEST_KEY} characters: whoever guesses it is a member")
    if not 50_000 <= group.period <= 60_000_000:
        tell("group.period", "sound group", "is not from 50ms to 1m")
    if not 5_000 <= group.within <= group.period // 2:
        tell("group.within", "sound group", "is not from 5ms to half of period: others are asked in what is left")


def _distribution(said: Distribution, tell: Tell) -> None:
    if not said.machines:
        if any(one is not None for one in (said.key_file, said.config, said.endpoints, said.keep)):
            tell("distribution.machines", "sound distribution", "is missing, and without it nothing is distributed")
        return
    for number, text in enumerate(said.machines):
        try:
            if address_of(text)[1] < 1:
                tell(
                    f"distribution.machines[{number}]", "sound distribution", f"{text!r} is where nobody can be reached"
                )
        except ValueError as error:
            tell(f"distribution.machines[{number}]", "sound distribution", str(error))
    if len(said.machines) > MOST_SEEDS:
        tell("distribution.machines", "sound distribution", f"are {len(said.machines)}, and {MOST_SEEDS} are enough")
    if len(set(said.machines)) < len(said.machines):
        tell("distribution.machines", "one of a name", "have one address twice")
    for number, text in enumerate(said.near):
        if text not in said.machines:
            tell(f"distribution.near[{number}]", "sound distribution", f"{text!r} is none of the machines")
    if said.near and not said.region:
        tell("distribution.region", "sound distribution", "is missing, and machines are near to it")
    if said.key_file is None:
        tell(
            "distribution.key_file",
            "sound distribution",
            "is missing: whoever answers there could say what is in force",
        )
    if said.endpoints is not None:
        region, _, name = said.endpoints.partition("/")
        if not region or not name or len(said.endpoints) > 100 or not said.endpoints.isprintable():
            tell("distribution.endpoints", "sound distribution", f"{said.endpoints[:100]!r} is no name as region/name")
    if said.config is None and said.endpoints is not None:
        return
    if not said.config or len(said.config) > 100 or not said.config.isprintable():
        tell("distribution.config", "sound distribution", "is missing, or no name")


def _rest(own: Own, tell: Tell) -> None:
    for number, mark in enumerate(own.backends):
        if mark.weight is not None and not 0 < mark.weight <= 100:
            tell(
                f"backends[{number}].weight",
                "sound limits",
                f"{mark.weight:g} is not over 0 and up to 100; drain it instead",
            )
    for name, weight in own.weights.items():
        if not 0 < weight <= 1e6:
            tell(f"weights.{name}", "sound limits", f"{weight:g} is not over 0 and up to 1000000")
    changes = own.changes
    if not 1_000_000 <= changes.watch <= 3_600_000_000:
        tell("changes.watch", "sound watch", "is not from 1s to 1h")
    if not 1 <= changes.least <= 1_000_000:
        tell("changes.least", "sound watch", f"{changes.least} is not from 1 to 1000000")
    for key in ("errors", "bounces"):
        if not 0 < getattr(changes, key) <= 1:
            tell(f"changes.{key}", "sound watch", f"{getattr(changes, key):g} is not over 0 and up to 1")
    if not 1 < changes.latency <= 100:
        tell("changes.latency", "sound watch", f"{changes.latency:g} is not over 1 and up to 100")
    if not 1 <= changes.history <= LONGEST_HISTORY:
        tell("changes.history", "sound limits", f"{changes.history} is not from 1 to {LONGEST_HISTORY}")
    if not 1_000 <= own.store.wait <= 10_000_000:
        tell("store.wait", "sound limits", "is not from 1ms to 10s")
    if not 1 <= own.store.marks <= 10_000_000:
        tell("store.marks", "sound limits", f"{own.store.marks} is not from 1 to 10000000")
    if not 1 <= own.store.compact_at <= 65_536:
        tell("store.compact_at", "sound limits", f"{own.store.compact_at} is not from 1 to 65536")
    if own.store.folder is not None and own.store.folder == own.changes.state:
        tell("store.folder", "one of a name", "is the folder of changes.state; each needs its own")
    _group(own.group, tell)
    _distribution(own.distribution, tell)
    if not 1 <= own.control.connections <= 64:
        tell("control.connections", "sound limits", f"{own.control.connections} is not from 1 to 64")
    if not 100_000 <= own.control.within <= 60_000_000:
        tell("control.within", "sound limits", "is not from 100ms to 1m")
    if own.control.socket is not None and not 0 < len(own.control.socket.encode()) <= 107:
        tell("control.socket", "sound limits", "is not a path of 1 to 107 bytes, as a Unix socket's is")
