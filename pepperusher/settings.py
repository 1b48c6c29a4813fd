"""Converts the settings object that a proxy receives at its start into the `PolicySettings` of its decisions.

The simulator's adapter and the proxy on sockets both use it. The names that operators use in the settings do not
appear past this module.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from pepperusher import terms
from pepperusher.terms import Customer, PolicySettings, UseCase

RETRY_CLASSES = {"pure": terms.REPLAYABLE, "token": terms.REFERENCED, "side_effect": terms.SINGLE_USE}
# The metrics of a load report that the decisions use; others are ignored.
LOAD_METRICS = {"active": terms.LOAD_ACTIVE, "waiting": terms.LOAD_WAITING}
REPORTING_MODES = {
    "silent": terms.REPORTS_NONE,
    "piggyback": terms.REPORTS_IN_RESPONSES,
    "pull": terms.REPORTS_BY_PROBES,
}
SCOPES = {"all": terms.SCOPE_ALL, "zone": terms.SCOPE_ZONE, "cell": terms.SCOPE_CELL}


class SettingsError(ValueError):
    """Invalid settings; the text names the entry."""


def number_field(fields: dict[str, Any], name: str, default: float | None = None) -> float:
    """Returns a numeric entry of the settings. Raises SettingsError if it is missing or invalid."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise SettingsError(f"{name} is {'missing' if value is None else 'not a number'}")
    if not abs(value) < 1e15:  # json accepts NaN and Infinity, which are not valid numbers here
        raise SettingsError(f"{name} is out of range")
    return value


def duration_field(fields: dict[str, Any], name: str, default: float | None = None) -> int:
    """Returns a duration, given in milliseconds, in microseconds."""
    return round(number_field(fields, name, default) * 1000)


def typed_field(fields: dict[str, Any], name: str, kind: type) -> Any:
    """Returns an entry of the given type; a missing entry counts as empty."""
    value = fields.get(name)
    if value is None:
        return kind()
    if not isinstance(value, kind):
        raise SettingsError(f"{name} has the wrong type")
    return value


def _allowed_names(fields: dict[str, Any], name: str, zones: list[str] | None = None) -> frozenset[str] | None:
    """Returns the zones or kinds that an entry is limited to; None if it is not limited. An empty list would leave
    nowhere to run and is an error."""
    names = fields.get(name)
    if names is None:
        return None
    if not isinstance(names, list) or not all(isinstance(item, str) for item in names):
        raise SettingsError(f"use-cases: {fields['name']}: {name} is not a list of names")
    if not names:
        raise SettingsError(f"use-cases: {fields['name']}: {name} is empty, so it could run nowhere")
    if zones is not None and (unknown := sorted(set(names) - set(zones))):
        raise SettingsError(f"use-cases: {fields['name']}: {name}: {unknown[0]} is not one of the zones")
    return frozenset(names)


def _choice_field(fields: dict[str, Any], name: str, choices: dict[str, Any], default: str, section: str = "") -> Any:
    """Returns the value in `choices` for a text entry."""
    value = fields.get(name, default)
    if not isinstance(value, str) or value not in choices:
        raise SettingsError(f"{section + ': ' if section else ''}{name}: {value!r} is not one of {', '.join(choices)}")
    return choices[value]


def boolean_field(fields: dict[str, Any], name: str) -> bool:
    """Returns a boolean entry; a missing entry counts as false."""
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise SettingsError(f"{name} is neither true nor false")
    return value


def parse_load_report(metrics: Iterable[tuple[str, Any]]) -> dict[int, float]:
    """Converts a load report into the keys of `terms`. Unknown metrics and values that are not valid numbers from 0 up
    are skipped: a malformed report counts as a missing one and is no error."""
    load = {}
    for name, value in metrics:
        try:
            number = float(value)
        except (TypeError, ValueError):
            continue
        if name in LOAD_METRICS and not isinstance(value, bool) and 0 <= number < 1e9:
            load[LOAD_METRICS[name]] = number
    return load


def _entry_name(entry: Any, list_name: str) -> str:
    """Returns the name of an entry in a list."""
    if not isinstance(entry, dict) or not isinstance(entry.get("name"), str):
        raise SettingsError(f"{list_name} has an entry without a name")
    return entry["name"]


def read_settings(data: Any, seed: int) -> PolicySettings:
    """Converts the settings object. Raises SettingsError if it is invalid."""
    if not isinstance(data, dict):
        raise SettingsError("is not an object")
    limits, rules = typed_field(data, "policy-limits", dict), typed_field(data, "rules", dict)
    settings = PolicySettings()
    settings.seed = seed
    settings.zones = [str(zone) for zone in typed_field(data, "zones", list)]
    settings.use_cases = [
        UseCase(
            _entry_name(entry, "use-cases"),
            duration_field(entry, "promised-time"),
            duration_field(entry, "outer-limit"),
            number_field(entry, "importance", 1.0),
            number_field(entry, "overdue-importance", 0.0),
            # An unknown effect or scope gets the strictest rules.
            RETRY_CLASSES.get(entry.get("effect"), terms.SINGLE_USE),
            SCOPES.get(entry.get("key-scope"), terms.SCOPE_CELL),
            duration_field(entry, "window", 0.0),
            number_field(entry, "aim-stretch", 0.0),
            _allowed_names(entry, "zones-allowed", settings.zones),
            _allowed_names(entry, "runs-on"),
        )
        for entry in typed_field(data, "use-cases", list)
    ]
    settings.customers = [
        Customer(_entry_name(entry, "customers"), number_field(entry, "quota-rps", 0.0))
        for entry in typed_field(data, "customers", list)
    ]
    settings.group_size = int(number_field(data, "group-size", 1))
    settings.proxy_index = int(number_field(data, "ordinal", 0))
    settings.tier_index = int(number_field(data, "stage", 0))
    settings.last_tier = settings.tier_index >= len(typed_field(data, "tiers", list)) - 1
    settings.zone = str(data.get("zone", ""))
    settings.most_attempts = int(number_field(limits, "most-transmissions", 1))
    settings.cancel_allowed = bool(limits.get("cancel", False))
    settings.retry_after_allowed = bool(limits.get("retry-after", False))
    settings.max_retry_after = duration_field(limits, "max-retry-after", 0.0)
    settings.polls_list = _choice_field(data, "discovery", {"push": False, "ask": True}, "push")
    settings.list_is_pushed = data.get("discovery") == "push"
    settings.ask_within = duration_field(rules, "ask-within", 0.0)
    settings.drain_within = duration_field(rules, "stop-sending-within", 500.0)
    settings.cold_share = number_field(rules, "cold-share", 1.0)
    settings.warm_after = duration_field(rules, "warm-after", 0.0)
    settings.tip_multiple = number_field(rules, "tip-multiple", 1.0)
    settings.overload_for = duration_field(rules, "overload-for", 1000.0)
    settings.forwards_deadline = bool(typed_field(data, "family-info", dict).get("passes-deadline", False))
    settings.only_drain_binds = boolean_field(rules, "drain-binds-alone")
    reporting = typed_field(data, "reporting", dict)
    settings.reported_by = _choice_field(reporting, "how", REPORTING_MODES, "silent", "reporting")
    names = typed_field(reporting, "names", list)
    if not all(isinstance(entry, str) for entry in names):
        raise SettingsError("reporting: names: is not a list of names")
    if repeated := sorted({entry for entry in names if names.count(entry) > 1}):
        raise SettingsError(f"reporting: names: {repeated[0]} appears twice")
    if settings.reported_by == terms.REPORTS_NONE and names:
        raise SettingsError(f"reporting: names: {names[0]} is named, but how is silent")
    family = data.get("family", "")
    if not isinstance(family, str):
        raise SettingsError("family is not a string")
    settings.is_sidecar = family == "mesh"
    settings.importance_by_work = data.get("importance-by") == "work"
    return settings
