"""Loads the proxy's own configuration: merges its layers, converts and validates them, and reports all faults at once.

The layers are the defaults, the file, the environment (PEPPERUSHER_CHANGES__WATCH for changes.watch) and the command
line (--set changes.watch=20s). A later layer overrides the earlier ones key by key; a list is replaced as a whole.
"""

from __future__ import annotations

import hashlib
import tomllib
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import Any, NamedTuple, get_args, get_origin, Annotated

import msgspec

from pepperusher import table_conversion
from pepperusher.configuration import validation
from pepperusher.configuration.key_locations import KeyLocations
from pepperusher.configuration.tables import Own
from pepperusher.terms import PolicySettings

ENVIRONMENT_PREFIX = "PEPPERUSHER_"
DEFAULT, FILE, ENVIRONMENT, COMMAND_LINE = "default", "file", "environment", "command line"
LARGEST = 4 * 1024 * 1024
# Keys whose values are redacted when the effective configuration is shown.
REDACTED_KEYS = ("group.key",)


class Fault(NamedTuple):
    """One fault of a configuration: its source, line (0 if it has none), key, the rule that it violates, and a
    description."""

    source: str
    line: int
    key: str
    rule: str
    what: str

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        return f"{where}: {self.key or 'the file'}: {self.what} [{self.rule}]"


class ConfigurationError(ValueError):
    """An invalid configuration. `faults` holds all its faults; the text of the error is one line."""

    def __init__(self, faults: list[Fault]) -> None:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(f"{faults[0]}{more}")
        self.faults = faults


class Read(NamedTuple):
    """A loaded configuration: its tables, the text of the file, a digest of all layers merged, and the origin of each
    value that is not a default."""

    own: Own
    text: str
    digest: str
    origins: dict[str, str]


def _parse_scalar(text: str) -> Any:
    """Parses a value as TOML; a bare word is a string."""
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def from_environment(environment: Mapping[str, str]) -> dict[str, Any]:
    """Reads the environment layer: PEPPERUSHER_A__B=v becomes {"a.b": v}."""
    return {
        name[len(ENVIRONMENT_PREFIX) :].lower().replace("__", "."): _parse_scalar(value)
        for name, value in sorted(environment.items())
        if name.startswith(ENVIRONMENT_PREFIX)
    }


def from_command_line(arguments: Iterable[str]) -> dict[str, Any]:
    """Reads the command-line layer: "a.b=v" becomes {"a.b": v}. Raises ConfigurationError."""
    values = {}
    for argument in arguments:
        key, equals, value = argument.partition("=")
        if not equals or not key.strip():
            raise ConfigurationError([Fault(COMMAND_LINE, 0, argument, "form", "is not key=value")])
        values[key.strip()] = _parse_scalar(value.strip())
    return values


def _set_value(raw: dict[str, Any], key: str, value: Any) -> str | None:
    """Sets one value; returns a description of the fault if its parent is not a table, otherwise None."""
    table: Any = raw
    *parents, last = key.split(".")
    for step in parents:
        table = table.setdefault(step, {}) if isinstance(table, dict) else None
        if not isinstance(table, dict):
            return f"{step} is not a table, so no single key of it can be set"
    table[last] = value
    return None


def _leaf_paths(raw: Any, path: str = "") -> Iterable[str]:
    """The key paths of all values that are not tables."""
    if isinstance(raw, dict):
        for key, value in raw.items():
            yield from _leaf_paths(value, f"{path}.{key}".lstrip("."))
    elif isinstance(raw, list) and raw and all(isinstance(element, dict) for element in raw):
        for number, element in enumerate(raw):
            yield from _leaf_paths(element, f"{path}[{number}]")
    else:
        yield path


def parse(
    text: str,
    source: str = "the file",
    policy_settings: PolicySettings | None = None,
    environment: Mapping[str, Any] | None = None,
    command_line: Mapping[str, Any] | None = None,
) -> Read:
    """Merges the layers and validates the result; `environment` and `command_line` are {"a.b": value}. Raises
    ConfigurationError with all faults."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([Fault(source, _error_line(error), "", "form", f"is not TOML: {error}")]) from None
    except RecursionError:
        raise ConfigurationError([Fault(source, 0, "", "form", "is nested too deep")]) from None
    raw = table_conversion.renamed(raw, Own)
    lines = KeyLocations(text)
    origins = dict.fromkeys(_leaf_paths(raw), FILE)
    faults: list[Fault] = []
    for origin, layer_values in ((ENVIRONMENT, environment or {}), (COMMAND_LINE, command_line or {})):
        for key, value in layer_values.items():
            wrong = _set_value(raw, key, value)
            if wrong:
                faults.append(Fault(origin, 0, key, "form", wrong))
            else:
                origins[key] = origin

    def fault(key: str, rule: str, problem: str) -> Fault:
        origin = next((origins[parent] for parent in _with_parents(key) if parent in origins), None) or next(
            (origin for child, origin in origins.items() if child.startswith((f"{key}.", f"{key}["))), FILE
        )
        return (
            Fault(source, lines.at(key), key, rule, problem) if origin == FILE else Fault(origin, 0, key, rule, problem)
        )

    own, conversion_errors = table_conversion.converted(raw, Own)
    faults += [fault(error.key, "known key" if error.unknown else "form", error.what) for error in conversion_errors]
    if own is not None:
        faults += [fault(*violation) for violation in validation.check(own, policy_settings)]
    if faults:
        raise ConfigurationError(
            sorted(faults, key=lambda reported: (reported.source != source, reported.line, reported.key))
        )
    assert own is not None
    digest = hashlib.sha256(
        msgspec.json.encode(own, enc_hook=table_conversion.hook, order="deterministic")
    ).hexdigest()[:12]
    return Read(own, text, digest, origins)


def _with_parents(key: str) -> Iterable[str]:
    """Yields a key path and then its parents, the nearest first."""
    while key:
        yield key
        key = key[: max(key.rfind("."), key.rfind("["), 0)]


def _error_line(error: tomllib.TOMLDecodeError) -> int:
    words = str(error).split("line ")
    digits = words[-1].split(",")[0] if len(words) > 1 else ""
    return int(digits) if digits.isdecimal() else 0


def read(
    path: str | Path,
    policy_settings: PolicySettings | None = None,
    environment: Mapping[str, Any] | None = None,
    command_line: Mapping[str, Any] | None = None,
) -> Read:
    """Reads a file and parses it as `parse` does. Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise ConfigurationError([Fault(str(path), 0, "", "form", f"is larger than {LARGEST} bytes")])
        text = data.decode()
    except OSError as error:
        raise ConfigurationError([Fault(str(path), 0, "", "form", error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise ConfigurationError([Fault(str(path), 0, "", "form", "is not valid UTF-8")]) from None
    return parse(text, str(path), policy_settings, environment, command_line)


# --- descriptions of a configuration and of its keys ------------------------------------------------


def effective(read: Read) -> list[tuple[str, str, str]]:
    """(key, value, origin) of all effective values, including defaults."""
    rows: list[tuple[str, str, str]] = []

    def walk(value: Any, path: str) -> None:
        if isinstance(value, dict) and value:
            for key, element in value.items():
                walk(element, f"{path}.{key}".lstrip("."))
        elif isinstance(value, list) and value and all(isinstance(element, dict) for element in value):
            for number, element in enumerate(value):
                walk(element, f"{path}[{number}]")
        elif value is not None:
            origin = next((read.origins[parent] for parent in _with_parents(path) if parent in read.origins), DEFAULT)
            shown_value = '"(redacted)"' if path in REDACTED_KEYS and value else msgspec.json.encode(value).decode()
            rows.append((path, shown_value, origin))

    walk(msgspec.to_builtins(read.own, enc_hook=table_conversion.hook), "")
    return rows


def _find_key(key: str) -> tuple[Any, Any] | None:
    """The type and the field of a key, with or without list indices ("routes.match.path")."""
    table: Any = Own
    found: tuple[Any, Any] | None = None
    for step in key.replace("[", ".[").split("."):
        if step.startswith("[") or step.isdecimal():
            continue
        field = (
            next((candidate for candidate in msgspec.structs.fields(table) if candidate.encode_name == step), None)
            if table
            else None
        )
        if field is None:
            return None
        found = (field.type, field)
        table = table_conversion.table_of(field.type)[0]
    return found


def keys() -> list[str]:
    """All keys of the file, without list indices."""
    all_keys: list[str] = []

    def walk(table: type, path: str) -> None:
        for field in msgspec.structs.fields(table):
            key = f"{path}.{field.encode_name}".lstrip(".")
            all_keys.append(key)
            inner = table_conversion.table_of(field.type)[0]
            if inner is not None:
                walk(inner, key)

    walk(Own, "")
    return all_keys


def explain(key: str) -> str:
    """Describes the meaning, type and default of a key. Raises KeyError, which suggests the most similar key."""
    found = _find_key(key)
    if found is None:
        raise KeyError(f"{key}: unknown key{table_conversion.nearest(key, keys())}")
    kind, field = found
    description = (
        next((meta.description for meta in get_args(kind) if isinstance(meta, msgspec.Meta)), "")
        if get_origin(kind) is Annotated
        else ""
    )
    inner, is_list = table_conversion.table_of(kind)
    if inner is not None:
        names = ", ".join(inner_field.encode_name for inner_field in msgspec.structs.fields(inner))
        type_description = f"{'a list of tables' if is_list else 'a table'} with {names}"
    else:
        type_description = _describe_type(kind)
    default = "required" if field.required else f"default {_describe_default(field)}"
    return f"{key}: {description}\n  {type_description}; {default}"


def _describe_type(kind: Any) -> str:
    schema = msgspec.json.schema(kind, schema_hook=_schema_hook)
    if "anyOf" in schema:
        return " or ".join(
            _describe_schema(alternative) for alternative in schema["anyOf"] if alternative.get("type") != "null"
        )
    return _describe_schema(schema)


def _describe_schema(schema: dict[str, Any]) -> str:
    if "enum" in schema:
        return "one of " + ", ".join(str(value) for value in schema["enum"] if value is not None)
    if "pattern" in schema:
        return 'a duration such as "250ms"'
    return {
        "boolean": "true or false",
        "integer": "an integer",
        "number": "a number",
        "string": "a string",
        "array": "a list",
        "object": "a table",
    }.get(schema.get("type", ""), "a value")


def _describe_default(field: Any) -> str:
    value = field.default_factory() if field.default is msgspec.NODEFAULT else field.default
    return "none" if value is None else msgspec.json.encode(value, enc_hook=table_conversion.hook).decode()


def _schema_hook(kind: type) -> dict[str, Any]:
    return {"type": "string", "pattern": r"^[0-9]+(\.[0-9]+)? ?(us|ms|s|m|h)$"}


def schema() -> dict[str, Any]:
    """The JSON Schema of the file, for editors."""
    json_schema = msgspec.json.schema(Own, schema_hook=_schema_hook)
    json_schema["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    json_schema["title"] = "pepperusher's own file"
    return json_schema
