"""What a proxy is told at its start: the configuration file, read once and checked whole."""

from __future__ import annotations

import json
from typing import Any

from pepperusher.settings import SettingsError, read_settings, typed_field, duration_field
from pepperusher.net.endpoint_update import BadList, EndpointUpdate, parse_address, parse_endpoint_update
from pepperusher.terms import PolicySettings

SOCKETS = 1024
MEMORY_MB = 512
CONNECT_WITHIN = 1000.0
KEEPALIVE = 10_000.0


# Objects of the file whose keys are fixed, and lists whose entries' keys are.
FIXED = (
    (),
    ("limits",),
    ("settings",),
    ("settings", "policy-limits"),
    ("settings", "rules"),
    ("settings", "family-info"),
    ("settings", "reporting"),
)
EACH = (("settings", "use-cases"), ("settings", "customers"))


class BootstrapError(ValueError):
    """A configuration that cannot be served from; its text is one clear line."""


class BootstrapConfiguration:
    __slots__ = (
        "name",
        "listen",
        "discovery",
        "sockets",
        "initial_endpoints",
        "policy_settings",
        "connect_timeout",
        "idle_timeout",
        "console",
        "keys",
        "memory",
    )

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    sockets: int
    initial_endpoints: EndpointUpdate | None
    policy_settings: PolicySettings
    connect_timeout: int
    idle_timeout: int
    console: tuple[str, int] | None  # None where operators have no address of their own
    memory: int  # bytes that the process may take
    keys: dict[str, frozenset[str]]  # which each object of the file has, for the next file to be held against


def _address(given: str | None, of: dict[str, Any], name: str) -> tuple[str, int]:
    try:
        return parse_address(given or of.get(name))
    except BadList as error:
        raise BootstrapError(f"{name}: {error}") from None


def _at(of: Any, where: tuple[str, ...]) -> Any:
    for name in where:
        of = of.get(name) if isinstance(of, dict) else None
    return of


def _keys(of: dict[str, Any]) -> dict[str, frozenset[str]]:
    made = {}
    for where in FIXED:
        if isinstance(one := _at(of, where), dict):
            made[": ".join(where)] = frozenset(one)
    for where in EACH:
        if isinstance(several := _at(of, where), list) and several and all(isinstance(one, dict) for one in several):
            made[": ".join(where)] = frozenset.intersection(*map(frozenset, several))
    return made


def _check(made: BootstrapConfiguration, settings: dict[str, Any]) -> None:
    """What can't be worked by, though each figure can be read."""
    names = [use.name for use in made.policy_settings.use_cases]
    for use in made.policy_settings.use_cases:
        if use.outer_limit <= 0:
            raise BootstrapError(f"settings: use-cases: {use.name}: outer-limit is no number above 0")
        if use.latency_target < 0:
            raise BootstrapError(f"settings: use-cases: {use.name}: promised-time is under 0")
        if names.count(use.name) > 1:
            raise BootstrapError(f"settings: use-cases: {use.name} stands there twice")
    most = typed_field(settings, "policy-limits", dict).get("most-transmissions", 1)
    if not most >= 1 or most != int(most):
        raise BootstrapError(f"settings: policy-limits: most-transmissions: {most!r} is no whole number above 0")


def read_bootstrap(
    path: str,
    name: str | None = None,
    listen: str | None = None,
    discovery: str | None = None,
    console: str | None = None,
    before: BootstrapConfiguration | None = None,
) -> BootstrapConfiguration:
    """The file at `path`; what is given beside it goes before it.

    `before` is what a file that was replaced under way had told: the discovery that the new one names is the newer word, and
    each key that the old one has must be there, since a default would stand for what was cut off by mistake.
    """
    try:
        with open(path, encoding="utf-8") as file:
            of = json.load(file)
    except OSError as error:
        raise BootstrapError(f"{path}: {error.strerror or error}") from None
    except (ValueError, RecursionError):
        raise BootstrapError(f"{path}: is not JSON") from None
    if not isinstance(of, dict):
        raise BootstrapError(f"{path}: is not an object")
    made = BootstrapConfiguration()
    made.keys = _keys(of)
    for where, keys in (before.keys if before is not None else {}).items():
        if missing := sorted(keys - made.keys.get(where, frozenset())):
            raise BootstrapError(f"{where}: {missing[0]}: missing" if where else f"{missing[0]}: missing")
    made.name = name or str(of.get("name", "proxy"))
    made.listen = _address(listen, of, "listen")
    made.discovery = _address(None if before is not None and "discovery" in of else discovery, of, "discovery")
    made.console = _address(console, of, "console") if console or of.get("console") is not None else None
    try:
        seed = int(str(of.get("seed", "0")), 16)
    except ValueError:
        raise BootstrapError(f"seed: {of['seed']!r} is not a hexadecimal number") from None
    try:
        limits, settings = typed_field(of, "limits", dict), typed_field(of, "settings", dict)
        if not settings:
            raise BootstrapError("settings: missing")
        sockets = limits.get("sockets", SOCKETS)
        if not isinstance(sockets, (int, float)) or not 64 <= sockets <= 1_000_000:
            raise BootstrapError(f"limits: sockets: {sockets!r} is not a number from 64 up")
        made.sockets = int(sockets)
        memory = limits.get("memory_mb", MEMORY_MB)
        if isinstance(memory, bool) or not isinstance(memory, (int, float)) or not 16 <= memory <= 1_000_000:
            raise BootstrapError(f"limits: memory_mb: {memory!r} is not a number from 16 up")
        made.memory = int(memory * 1024 * 1024)
        made.policy_settings = read_settings(settings, seed)
        if not made.policy_settings.use_cases:
            raise BootstrapError("settings: use-cases: there is none")
        _check(made, settings)
        allowed = typed_field(settings, "policy-limits", dict)
        made.connect_timeout = duration_field(allowed, "connect-timeout", CONNECT_WITHIN)
        made.idle_timeout = duration_field(allowed, "keepalive", KEEPALIVE)
    except SettingsError as error:
        raise BootstrapError(f"settings: {error}") from None
    try:
        made.initial_endpoints = parse_endpoint_update(of["known"]) if of.get("known") else None
    except BadList as error:
        raise BootstrapError(f"known: {error}") from None
    return made
