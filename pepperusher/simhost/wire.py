"""Converts between the simulator's protocol and the types of the decisions; no other module knows its names and
formats."""

from __future__ import annotations

import json

from pepperusher import settings
from pepperusher import terms
from pepperusher.terms import PolicySettings

OUTCOMES = {
    "0": terms.DONE,
    "255": terms.ERROR,
    "254": terms.FULL,
    "253": terms.TIMED_OUT,
    "252": terms.UNREACHED,
    "251": terms.RESET,
    "250": terms.CALLED_OFF,
    "249": terms.MOOT,
}


class WireError(Exception):
    """An invalid line; the text names the message and the field."""


def fields_of(message: str, parts: list[str]) -> dict[str, str]:
    """Parses the `name=value` fields of a message."""
    fields: dict[str, str] = {}
    for part in parts:
        name, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"{message}: {part!r} is not name=value")
        fields[name] = value
    return fields


def text_field(message: str, fields: dict[str, str], name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"{message}: {name} is missing") from None


def integer_field(message: str, fields: dict[str, str], name: str) -> int:
    value = text_field(message, fields, name)
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{message}: {name} is not a whole number: {value!r}") from None


def time_field(message: str, fields: dict[str, str], name: str) -> int:
    """Returns a time in milliseconds as microseconds."""
    value = text_field(message, fields, name)
    try:
        return round(float(value) * 1000)
    except (ValueError, OverflowError):
        raise WireError(f"{message}: {name} is not a time: {value!r}") from None


def format_ms(us: int) -> str:
    """Formats microseconds as milliseconds with three decimals."""
    return f"{us // 1000}.{us % 1000:03d}"


def parse_load_report(report: str) -> dict[int, float]:
    """Parses a load report such as `active:3,waiting:1`."""
    return settings.parse_load_report(tuple(metric.split(":", 1)) for metric in report.split(",") if ":" in metric)


def read_settings(params: str, seed: int) -> PolicySettings:
    """Parses the JSON settings of a spawn message."""
    try:
        data = json.loads(params)
    except ValueError:
        raise WireError("spawn: params is not JSON") from None
    try:
        return settings.read_settings(data, seed)
    except settings.SettingsError as error:
        raise WireError(f"spawn: params: {error}") from None
