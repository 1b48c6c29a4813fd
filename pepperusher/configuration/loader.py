"""The proxy's own file read: layers put together, typed, checked, all that is wrong said at once.

Of several layers the later wins, key by key: defaults, the file, the environment (PEPPERUSHER_CHANGES__WATCH
for changes.watch), the command line (--set changes.watch=20s). Lists stand as a whole.
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

PREFIX = "PEPPERUSHER_"
DEFAULT, FILE, ENVIRONMENT, COMMAND_LINE = "default", "file", "environment", "command line"
LARGEST = 4 * 1024 * 1024
# What nobody is shown who asks what is in force.
SECRET = ("group.key",)


class Fault(NamedTuple):
    """One thing wrong, as it is said: where it stands (`line` 0 where it has none), its key, the rule that it
    breaks."""

    source: str
    line: int
    key: str
    rule: str
    what: str

    def __str__(self) -> str:
        where = f"{self.source}:{self.line}" if self.line else self.source
        return f"{where}: {self.key or 'the file'}: {self.what} [{self.rule}]"


class ConfigurationError(ValueError):
    """A file that is not taken; `faults` are all that is wrong, the text is one line."""

    def __init__(self, faults: list[Fault]) -> None:
        more = f" (and {len(faults) - 1} more)" if len(faults) > 1 else ""
        super().__init__(f"{faults[0]}{more}")
        self.faults = faults


class Read(NamedTuple):
    """What was read: the typed file, its text, a digest of all layers, and where each value that was given
    came from."""

    own: Own
    text: str
    digest: str
    origins: dict[str, str]


def _scalar(text: str) -> Any:
    """A value as TOML has it; a bare word is a text."""
    try:
        return tomllib.loads(f"v = {text}")["v"]
    except tomllib.TOMLDecodeError:
        return text


def from_environment(environment: Mapping[str, str]) -> dict[str, Any]:
    """PEPPERUSHER_A__B=v as {"a.b": v}."""
    return {
        name[len(PREFIX) :].lower().replace("__", "."): _scalar(value)
        for name, value in sorted(environment.items())
        if name.startswith(PREFIX)
    }


def from_command_line(words: Iterable[str]) -> dict[str, Any]:
    """ "a.b=v" as {"a.b": v}. Raises ConfigurationError."""
    given = {}
    for word in words:
        key, equals, value = word.partition("=")
        if not equals or not key.strip():
            raise ConfigurationError([Fault(COMMAND_LINE, 0, word, "form", "is no key=value")])
        given[key.strip()] = _scalar(value.strip())
    return given


def _put(raw: dict[str, Any], key: str, value: Any) -> str | None:
    """Sets one value; what is wrong with its place, or None."""
    at: Any = raw
    *way, last = key.split(".")
    for step in way:
        at = at.setdefault(step, {}) if isinstance(at, dict) else None
        if not isinstance(at, dict):
            return f"{step} is no table that a single key can be set in"
    at[last] = value
    return None


def _leaves(raw: Any, at: str = "") -> Iterable[str]:
    if isinstance(raw, dict):
        for key, value in raw.items():
            yield from _leaves(value, f"{at}.{key}".lstrip("."))
    elif isinstance(raw, list) and raw and all(isinstance(one, dict) for one in raw):
        for number, one in enumerate(raw):
            yield from _leaves(one, f"{at}[{number}]")
    else:
        yield at


def parse(
    text: str,
    source: str = "the file",
    policy_settings: PolicySettings | None = None,
    environment: Mapping[str, Any] | None = None,
    command_line: Mapping[str, Any] | None = None,
) -> Read:
    """Raises ConfigurationError with all that is wrong. `environment` and `command_line` are {"a.b": value}."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([Fault(source, _line_of(error), "", "form", f"is not TOML: {error}")]) from None
    except RecursionError:
        raise ConfigurationError([Fault(source, 0, "", "form", "is nested too deep")]) from None
    raw = table_conversion.renamed(raw, Own)
    lines = KeyLocations(text)
    origins = dict.fromkeys(_leaves(raw), FILE)
    faults: list[Fault] = []
    for origin, given in ((ENVIRONMENT, environment or {}), (COMMAND_LINE, command_line or {})):
        for key, value in given.items():
            wrong = _put(raw, key, value)
            if wrong:
                faults.append(Fault(origin, 0, key, "form", wrong))
            else:
                origins[key] = origin

    def fault(key: str, rule: str, what: str) -> Fault:
        origin = next((origins[near] for near in _ups(key) if near in origins), None) or next(
            (origin for below, origin in origins.items() if below.startswith((f"{key}.", f"{key}["))), FILE
        )
        return Fault(source, lines.at(key), key, rule, what) if origin == FILE else Fault(origin, 0, key, rule, what)

    own, wrong_values = table_conversion.converted(raw, Own)
    faults += [fault(one.key, "known key" if one.unknown else "form", one.what) for one in wrong_values]
    if own is not None:
        faults += [fault(*one) for one in validation.check(own, policy_settings)]
    if faults:
        raise ConfigurationError(sorted(faults, key=lambda one: (one.source != source, one.line, one.key)))
    assert own is not None
    digest = hashlib.sha256(
        msgspec.json.encode(own, enc_hook=table_conversion.hook, order="deterministic")
    ).hexdigest()[:12]
    return Read(own, text, digest, origins)


def _ups(key: str) -> Iterable[str]:
    while key:
        yield key
        key = key[: max(key.rfind("."), key.rfind("["), 0)]


def _line_of(error: tomllib.TOMLDecodeError) -> int:
    words = str(error).split("line ")
    digits = words[-1].split(",")[0] if len(words) > 1 else ""
    return int(digits) if digits.isdecimal() else 0


def read(
    path: str | Path,
    policy_settings: PolicySettings | None = None,
    environment: Mapping[str, Any] | None = None,
    command_line: Mapping[str, Any] | None = None,
) -> Read:
    """Raises ConfigurationError."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise ConfigurationError([Fault(str(path), 0, "", "form", f"is over {LARGEST} bytes")])
        text = data.decode()
    except OSError as error:
        raise ConfigurationError([Fault(str(path), 0, "", "form", error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise ConfigurationError([Fault(str(path), 0, "", "form", "is not text in UTF-8")]) from None
    return parse(text, str(path), policy_settings, environment, command_line)


# --- what there is to say of it --------------------------------------------------------------------


def effective(read: Read) -> list[tuple[str, str, str]]:
    """(key, value, where it came from) of everything in force, defaults included."""
    rows: list[tuple[str, str, str]] = []

    def walk(value: Any, at: str) -> None:
        if isinstance(value, dict) and value:
            for key, one in value.items():
                walk(one, f"{at}.{key}".lstrip("."))
        elif isinstance(value, list) and value and all(isinstance(one, dict) for one in value):
            for number, one in enumerate(value):
                walk(one, f"{at}[{number}]")
        elif value is not None:
            origin = next((read.origins[near] for near in _ups(at) if near in read.origins), DEFAULT)
            shown = '"(not shown)"' if at in SECRET and value else msgspec.json.encode(value).decode()
            rows.append((at, shown, origin))

    walk(msgspec.to_builtins(read.own, enc_hook=table_conversion.hook), "")
    return rows


def _kind_of(key: str) -> tuple[Any, Any] | None:
    """The field's type and its default for a key with or without places ("routes.match.path")."""
    table: Any = Own
    found: tuple[Any, Any] | None = None
    for step in key.replace("[", ".[").split("."):
        if step.startswith("[") or step.isdecimal():
            continue
        field = next((one for one in msgspec.structs.fields(table) if one.encode_name == step), None) if table else None
        if field is None:
            return None
        found = (field.type, field)
        table = table_conversion.table_of(field.type)[0]
    return found


def keys() -> list[str]:
    """Every key there is, lists without places."""
    made: list[str] = []

    def walk(table: type, at: str) -> None:
        for field in msgspec.structs.fields(table):
            key = f"{at}.{field.encode_name}".lstrip(".")
            made.append(key)
            inner = table_conversion.table_of(field.type)[0]
            if inner is not None:
                walk(inner, key)

    walk(Own, "")
    return made


def explain(key: str) -> str:
    """What a key means, its form and its default. Raises KeyError with the nearest key."""
    found = _kind_of(key)
    if found is None:
        raise KeyError(f"{key}: not known{table_conversion.nearest(key, keys())}")
    kind, field = found
    words = (
        next((one.description for one in get_args(kind) if isinstance(one, msgspec.Meta)), "")
        if get_origin(kind) is Annotated
        else ""
    )
    inner, listed = table_conversion.table_of(kind)
    if inner is not None:
        names = ", ".join(one.encode_name for one in msgspec.structs.fields(inner))
        form = f"{'a list of tables' if listed else 'a table'} with {names}"
    else:
        form = _form(kind)
    default = "needed" if field.required else f"default {_default(field)}"
    return f"{key}: {words}\n  {form}; {default}"


def _form(kind: Any) -> str:
    schema = msgspec.json.schema(kind, schema_hook=_schema_hook)
    if "anyOf" in schema:
        return " or ".join(_one_form(one) for one in schema["anyOf"] if one.get("type") != "null")
    return _one_form(schema)


def _one_form(schema: dict[str, Any]) -> str:
    if "enum" in schema:
        return "one of " + ", ".join(str(one) for one in schema["enum"] if one is not None)
    if "pattern" in schema:
        return 'a span such as "250ms"'
    return {
        "boolean": "true or false",
        "integer": "a whole number",
        "number": "a number",
        "string": "a text",
        "array": "a list",
        "object": "a table",
    }.get(schema.get("type", ""), "a value")


def _default(field: Any) -> str:
    value = field.default_factory() if field.default is msgspec.NODEFAULT else field.default
    return "none" if value is None else msgspec.json.encode(value, enc_hook=table_conversion.hook).decode()


def _schema_hook(kind: type) -> dict[str, Any]:
    return {"type": "string", "pattern": r"^[0-9]+(\.[0-9]+)? ?(us|ms|s|m|h)$"}


def schema() -> dict[str, Any]:
    """The file's JSON Schema, for editors."""
    made = msgspec.json.schema(Own, schema_hook=_schema_hook)
    made["$schema"] = "https://json-schema.org/draft/2020-12/schema"
    made["title"] = "pepperusher's own file"
    return made
