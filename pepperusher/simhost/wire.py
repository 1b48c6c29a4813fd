"""The wire's names and forms, turned into the terms of the decisions and back. Nothing past here knows them."""

from __future__ import annotations

import json
from typing import Any

from pepperusher import terms
from pepperusher.terms import Customer, Ground, UseCase

HOW = {
    "0": terms.DONE, "255": terms.ERROR, "254": terms.FULL, "253": terms.TIMED_OUT, "252": terms.UNREACHED,
    "251": terms.RESET, "250": terms.CALLED_OFF, "249": terms.MOOT,
}
REPEAT = {"pure": terms.REPLAYABLE, "token": terms.REFERENCED, "side_effect": terms.SINGLE_USE}
SCOPE = {"all": terms.SCOPE_ALL, "zone": terms.SCOPE_ZONE, "cell": terms.SCOPE_CELL}


class WireError(Exception):
    """A line that cannot be read; its text names the message and the field."""


def fields_of(message: str, parts: list[str]) -> dict[str, str]:
    fields: dict[str, str] = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"{message}: {part!r} is not name=value")
        fields[name] = value
    return fields


def text(message: str, fields: dict[str, str], name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"{message}: {name} is missing") from None


def whole(message: str, fields: dict[str, str], name: str) -> int:
    value = text(message, fields, name)
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{message}: {name} is not a whole number: {value!r}") from None


def micros(message: str, fields: dict[str, str], name: str) -> int:
    value = text(message, fields, name)
    try:
        return round(float(value) * 1000)
    except (ValueError, OverflowError):
        raise WireError(f"{message}: {name} is not a time: {value!r}") from None


def millis(us: int) -> str:
    return f"{us // 1000}.{us % 1000:03d}"


def _figure(of: dict[str, Any], name: str, default: float | None = None) -> float:
    value = of.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise WireError(f"spawn: params: {name} is {'missing' if value is None else 'not a number'}")
    return value


def _span(of: dict[str, Any], name: str, default: float | None = None) -> int:
    return round(_figure(of, name, default) * 1000)


def _part(of: dict[str, Any], name: str, kind: type) -> Any:
    value = of.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise WireError(f"spawn: params: {name} has the wrong form")
    return value


def _named(of: Any, within: str) -> str:
    if not isinstance(of, dict) or not isinstance(of.get("name"), str):
        raise WireError(f"spawn: params: {within} has an entry without a name")
    return of["name"]


def ground(params: str, seed: int) -> Ground:
    try:
        told = json.loads(params)
    except ValueError:
        raise WireError("spawn: params is not JSON") from None
    if not isinstance(told, dict):
        raise WireError("spawn: params is not an object")
    limits, rules = _part(told, "policy-limits", dict), _part(told, "rules", dict)
    made = Ground()
    made.seed = seed
    made.use_cases = [
        UseCase(_named(use, "use-cases"), _span(use, "promised-time"), _span(use, "outer-limit"),
                _figure(use, "importance", 1.0), _figure(use, "overdue-importance", 0.0),
                # A kind that is not known is held to the strictest.
                REPEAT.get(use.get("effect"), terms.SINGLE_USE), SCOPE.get(use.get("key-scope"), terms.SCOPE_CELL),
                _span(use, "window", 0.0), _figure(use, "aim-stretch", 0.0))
        for use in _part(told, "use-cases", list)]
    made.customers = [Customer(_named(one, "customers"), _figure(one, "quota-rps", 0.0))
                      for one in _part(told, "customers", list)]
    made.group_size = int(_figure(told, "group-size", 1))
    made.ordinal = int(_figure(told, "ordinal", 0))
    made.stage = int(_figure(told, "stage", 0))
    made.zone = str(told.get("zone", ""))
    made.zones = [str(zone) for zone in _part(told, "zones", list)]
    made.most_transmissions = int(_figure(limits, "most-transmissions", 1))
    made.may_call_off = bool(limits.get("cancel", False))
    made.may_advise = bool(limits.get("retry-after", False))
    made.longest_advice = _span(limits, "max-retry-after", 0.0)
    made.must_ask = told.get("discovery") == "ask"
    made.ask_within = _span(rules, "ask-within", 0.0)
    made.cold_share = _figure(rules, "cold-share", 1.0)
    made.warm_after = _span(rules, "warm-after", 0.0)
    made.tip_multiple = _figure(rules, "tip-multiple", 1.0)
    made.overload_for = _span(rules, "overload-for", 1000.0)
    made.passes_limit = bool(_part(told, "family-info", dict).get("passes-deadline", False))
    made.importance_by_work = told.get("importance-by") == "work"
    return made
