"""The configuration file of a proxy: read once at the start and validated as a whole."""

from __future__ import annotations

import json
from typing import Any

from pepperusher.settings import SettingsError, read_settings, typed_field, duration_field
from pepperusher.net.endpoint_update import BadList, EndpointUpdate, parse_address, parse_endpoint_update
from pepperusher.terms import PolicySettings

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 512
DEFAULT_CONNECT_TIMEOUT_MS = 1000.0
DEFAULT_KEEPALIVE_MS = 10_000.0


# Paths of the file's objects with a fixed set of keys, and of the lists whose objects have one.
OBJECT_PATHS = (
    (),
    ("limits",),
    ("settings",),
    ("settings", "policy-limits"),
    ("settings", "rules"),
    ("settings", "family-info"),
    ("settings", "reporting"),
)
LIST_PATHS = (("settings", "use-cases"), ("settings", "customers"))


class BootstrapError(ValueError):
    """The configuration is unusable; the text is one line that says why."""


class BootstrapConfiguration:
    """The validated configuration of a proxy."""

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
    sockets: int  # descriptors for connections
    initial_endpoints: EndpointUpdate | None
    policy_settings: PolicySettings
    connect_timeout: int  # microseconds
    idle_timeout: int  # microseconds
    console: tuple[str, int] | None  # None without an admin listener
    memory: int  # memory limit of the process in bytes
    keys: dict[str, frozenset[str]]  # keys present in each object of the file, to compare the next file with


def _parse_address_option(override: str | None, document: dict[str, Any], name: str) -> tuple[str, int]:
    try:
        return parse_address(override or document.get(name))
    except BadList as error:
        raise BootstrapError(f"{name}: {error}") from None


def _value_at(value: Any, path: tuple[str, ...]) -> Any:
    for name in path:
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _keys_by_section(document: dict[str, Any]) -> dict[str, frozenset[str]]:
    """The keys present in each section of the file; for a list, the keys that all its objects have."""
    keys = {}
    for path in OBJECT_PATHS:
        if isinstance(value := _value_at(document, path), dict):
            keys[": ".join(path)] = frozenset(value)
    for path in LIST_PATHS:
        if (
            isinstance(items := _value_at(document, path), list)
            and items
            and all(isinstance(value, dict) for value in items)
        ):
            keys[": ".join(path)] = frozenset.intersection(*map(frozenset, items))
    return keys


def _validate(configuration: BootstrapConfiguration, settings: dict[str, Any]) -> None:
    """Rejects values that parse but cannot be used."""
    names = [use_case.name for use_case in configuration.policy_settings.use_cases]
    for use_case in configuration.policy_settings.use_cases:
        if use_case.outer_limit <= 0:
            raise BootstrapError(f"settings: use-cases: {use_case.name}: outer-limit is no number above 0")
        if use_case.latency_target < 0:
            raise BootstrapError(f"settings: use-cases: {use_case.name}: promised-time is negative")
        if names.count(use_case.name) > 1:
            raise BootstrapError(f"settings: use-cases: {use_case.name} stands there twice")
    max_transmissions = typed_field(settings, "policy-limits", dict).get("most-transmissions", 1)
    if not max_transmissions >= 1 or max_transmissions != int(max_transmissions):
        raise BootstrapError(
            f"settings: policy-limits: most-transmissions: {max_transmissions!r} is no whole number above 0"
        )


def read_bootstrap(
    path: str,
    name: str | None = None,
    listen: str | None = None,
    discovery: str | None = None,
    console: str | None = None,
    before: BootstrapConfiguration | None = None,
) -> BootstrapConfiguration:
    """Reads the file at `path`; the other arguments override its values.

    `before` is the configuration that a file replaced at run time had. The discovery address of the new file then
    overrides the command line's, as the more recent one. Each key of the old file must be present, since a default
    would otherwise replace what was truncated by mistake.
    """
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except OSError as error:
        raise BootstrapError(f"{path}: {error.strerror or error}") from None
    except (ValueError, RecursionError):
        raise BootstrapError(f"{path}: is not JSON") from None
    if not isinstance(document, dict):
        raise BootstrapError(f"{path}: is not an object")
    configuration = BootstrapConfiguration()
    configuration.keys = _keys_by_section(document)
    for section, keys in (before.keys if before is not None else {}).items():
        if missing := sorted(keys - configuration.keys.get(section, frozenset())):
            raise BootstrapError(f"{section}: {missing[0]}: missing" if section else f"{missing[0]}: missing")
    configuration.name = name or str(document.get("name", "proxy"))
    configuration.listen = _parse_address_option(listen, document, "listen")
    configuration.discovery = _parse_address_option(
        None if before is not None and "discovery" in document else discovery, document, "discovery"
    )
    configuration.console = (
        _parse_address_option(console, document, "console") if console or document.get("console") is not None else None
    )
    try:
        seed = int(str(document.get("seed", "0")), 16)
    except ValueError:
        raise BootstrapError(f"seed: {document['seed']!r} is not a hexadecimal number") from None
    try:
        limits, settings = typed_field(document, "limits", dict), typed_field(document, "settings", dict)
        if not settings:
            raise BootstrapError("settings: missing")
        sockets = limits.get("sockets", DEFAULT_SOCKETS)
        if not isinstance(sockets, (int, float)) or not 64 <= sockets <= 1_000_000:
            raise BootstrapError(f"limits: sockets: {sockets!r} is not a number from 64 up")
        configuration.sockets = int(sockets)
        memory = limits.get("memory_mb", DEFAULT_MEMORY_MB)
        if isinstance(memory, bool) or not isinstance(memory, (int, float)) or not 16 <= memory <= 1_000_000:
            raise BootstrapError(f"limits: memory_mb: {memory!r} is not a number from 16 up")
        configuration.memory = int(memory * 1024 * 1024)
        configuration.policy_settings = read_settings(settings, seed)
        if not configuration.policy_settings.use_cases:
            raise BootstrapError("settings: use-cases: missing or empty")
        _validate(configuration, settings)
        policy_limits = typed_field(settings, "policy-limits", dict)
        configuration.connect_timeout = duration_field(policy_limits, "connect-timeout", DEFAULT_CONNECT_TIMEOUT_MS)
        configuration.idle_timeout = duration_field(policy_limits, "keepalive", DEFAULT_KEEPALIVE_MS)
    except SettingsError as error:
        raise BootstrapError(f"settings: {error}") from None
    try:
        configuration.initial_endpoints = parse_endpoint_update(document["known"]) if document.get("known") else None
    except BadList as error:
        raise BootstrapError(f"known: {error}") from None
    return configuration
