"""The settings object that a proxy is handed at its start, turned into the `PolicySettings` of its decisions.

The operators' names for things end here; the adapter for the bench and the proxy on sockets share this door.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pepperusher import terms
from pepperusher.terms import Customer, PolicySettings, UseCase

REPEAT = {"pure": terms.REPLAYABLE, "token": terms.REFERENCED, "side_effect": terms.SINGLE_USE}
# What the decisions make use of in a load report; any other name is read over.
REPORT = {"active": terms.LOAD_ACTIVE, "waiting": terms.LOAD_WAITING}
REPORTED_BY = {"silent": terms.REPORTS_NONE, "piggyback": terms.REPORTS_IN_RESPONSES, "pull": terms.REPORTS_BY_PROBES}
SCOPE = {"all": terms.SCOPE_ALL, "zone": terms.SCOPE_ZONE, "cell": terms.SCOPE_CELL}


class SettingsError(ValueError):
    """Settings that cannot be read; its text names the entry."""


def number_field(of: dict[str, Any], name: str, default: float | None = None) -> float:
    value = of.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingsError(f"{name} is {'missing' if value is None else 'not a number'}")
    if not abs(value) < 1e15:  # json reads NaN and Infinity, and neither is a figure
        raise SettingsError(f"{name} is out of any range")
    return value


def duration_field(of: dict[str, Any], name: str, default: float | None = None) -> int:
    return round(number_field(of, name, default) * 1000)


def typed_field(of: dict[str, Any], name: str, kind: type) -> Any:
    value = of.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise SettingsError(f"{name} has the wrong form")
    return value


def _only(of: dict[str, Any], name: str, known: list[str] | None = None) -> frozenset[str] | None:
    """The only places or kinds; None where the settings name none. An empty set lets nothing run, and is a
    mistake."""
    told = of.get(name)
    if told is None:
        return None
    if not isinstance(told, list) or not all(isinstance(one, str) for one in told):
        raise SettingsError(f"use-cases: {of['name']}: {name} is not a list of names")
    if not told:
        raise SettingsError(f"use-cases: {of['name']}: {name} names none, so it could run nowhere")
    if known is not None and (unknown := sorted(set(told) - set(known))):
        raise SettingsError(f"use-cases: {of['name']}: {name}: {unknown[0]} is not one of the zones")
    return frozenset(told)


def _word(of: dict[str, Any], name: str, known: dict[str, Any], default: str, within: str = "") -> Any:
    told = of.get(name, default)
    if not isinstance(told, str) or told not in known:
        raise SettingsError(f"{within + ': ' if within else ''}{name}: {told!r} is not one of {', '.join(known)}")
    return known[told]


def boolean_field(of: dict[str, Any], name: str) -> bool:
    told = of.get(name, False)
    if not isinstance(told, bool):
        raise SettingsError(f"{name} is neither true nor false")
    return told


def parse_load_report(told: Iterable[tuple[str, Any]]) -> dict[int, float]:
    """A load report in our words. What is no figure from 0 up, or of a name not known, is as if it were not
    there: a spoilt report is worth no more than none, and ends nothing."""
    made = {}
    for name, value in told:
        try:
            found = float(value)
        except (TypeError, ValueError):
            continue
        if name in REPORT and not isinstance(value, bool) and 0 <= found < 1e9:
            made[REPORT[name]] = found
    return made


def _named(of: Any, within: str) -> str:
    if not isinstance(of, dict) or not isinstance(of.get("name"), str):
        raise SettingsError(f"{within} has an entry without a name")
    return of["name"]


def read_settings(told: Any, seed: int) -> PolicySettings:
    if not isinstance(told, dict):
        raise SettingsError("is not an object")
    limits, rules = typed_field(told, "policy-limits", dict), typed_field(told, "rules", dict)
    made = PolicySettings()
    made.seed = seed
    made.zones = [str(zone) for zone in typed_field(told, "zones", list)]
    made.use_cases = [
        UseCase(
            _named(use, "use-cases"),
            duration_field(use, "promised-time"),
            duration_field(use, "outer-limit"),
            number_field(use, "importance", 1.0),
            number_field(use, "overdue-importance", 0.0),
            # A kind that is not known is held to the strictest.
            REPEAT.get(use.get("effect"), terms.SINGLE_USE),
            SCOPE.get(use.get("key-scope"), terms.SCOPE_CELL),
            duration_field(use, "window", 0.0),
            number_field(use, "aim-stretch", 0.0),
            _only(use, "zones-allowed", made.zones),
            _only(use, "runs-on"),
        )
        for use in typed_field(told, "use-cases", list)
    ]
    made.customers = [
        Customer(_named(one, "customers"), number_field(one, "quota-rps", 0.0))
        for one in typed_field(told, "customers", list)
    ]
    made.group_size = int(number_field(told, "group-size", 1))
    made.proxy_index = int(number_field(told, "ordinal", 0))
    made.tier_index = int(number_field(told, "stage", 0))
    made.last_tier = made.tier_index >= len(typed_field(told, "tiers", list)) - 1
    made.zone = str(told.get("zone", ""))
    made.most_attempts = int(number_field(limits, "most-transmissions", 1))
    made.cancel_allowed = bool(limits.get("cancel", False))
    made.retry_after_allowed = bool(limits.get("retry-after", False))
    made.max_retry_after = duration_field(limits, "max-retry-after", 0.0)
    made.polls_list = _word(told, "discovery", {"push": False, "ask": True}, "push")
    made.list_is_pushed = told.get("discovery") == "push"
    made.ask_within = duration_field(rules, "ask-within", 0.0)
    made.drain_within = duration_field(rules, "stop-sending-within", 500.0)
    made.cold_share = number_field(rules, "cold-share", 1.0)
    made.warm_after = duration_field(rules, "warm-after", 0.0)
    made.tip_multiple = number_field(rules, "tip-multiple", 1.0)
    made.overload_for = duration_field(rules, "overload-for", 1000.0)
    made.forwards_deadline = bool(typed_field(told, "family-info", dict).get("passes-deadline", False))
    made.only_drain_binds = boolean_field(rules, "drain-binds-alone")
    reporting = typed_field(told, "reporting", dict)
    made.reported_by = _word(reporting, "how", REPORTED_BY, "silent", "reporting")
    names = typed_field(reporting, "names", list)
    if not all(isinstance(one, str) for one in names):
        raise SettingsError("reporting: names: is not a list of names")
    if twice := sorted({one for one in names if names.count(one) > 1}):
        raise SettingsError(f"reporting: names: {twice[0]} stands there twice")
    if made.reported_by == terms.REPORTS_NONE and names:
        raise SettingsError(f"reporting: names: {names[0]} is told by nobody, as how says")
    family = told.get("family", "")
    if not isinstance(family, str):
        raise SettingsError("family is not a word")
    made.is_sidecar = family == "mesh"
    made.importance_by_work = told.get("importance-by") == "work"
    return made
