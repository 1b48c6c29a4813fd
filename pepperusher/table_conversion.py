"""Plain values from TOML or JSON turned into typed tables, with every error found and not the first alone.

msgspec converts each value; the walk over tables is ours, since msgspec ends at the first thing wrong.
"""

from __future__ import annotations

import difflib
import functools
import re
import types
from typing import Annotated, Any, NamedTuple, Union, get_args, get_origin

import msgspec

from pepperusher.durations import Span, span, written

NEAR = 0.5


class ConversionError(NamedTuple):
    """One thing wrong with a value: its key's path, and what; `unknown` where the key itself is."""

    key: str
    what: str
    unknown: bool


def unhook(kind: type, given: Any) -> Any:
    if kind is Span:
        return span(given)
    raise NotImplementedError(kind)


def hook(value: Any) -> Any:
    """A span as `unhook` reads it."""
    if isinstance(value, int):
        return written(value)
    raise NotImplementedError(type(value))


def nearest(unknown: str, names: list[str]) -> str:
    near = difflib.get_close_matches(unknown, names, 1, NEAR)
    return f"; did you mean {near[0]}?" if near else ""


def _bare(kind: Any) -> Any:
    """Without its description, and without None where that is the only other."""
    if get_origin(kind) is Annotated:
        return _bare(get_args(kind)[0])
    if get_origin(kind) in (Union, types.UnionType):
        rest = [one for one in get_args(kind) if one is not type(None)]
        return _bare(rest[0]) if len(rest) == 1 else kind
    return kind


def table_of(kind: Any) -> tuple[type | None, bool]:
    """The table that a field's type holds, and whether it is a list of them."""
    bare = _bare(kind)
    if isinstance(bare, type) and issubclass(bare, msgspec.Struct):
        return bare, False
    if get_origin(bare) is list:
        inner = _bare(get_args(bare)[0])
        if isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            return inner, True
    return None, False


def _short(error: msgspec.ValidationError) -> tuple[str, str]:
    """What msgspec says, and where within the value."""
    text = str(error)
    found = re.search(r" - at `\$(.*?)`$", text)
    where = found[1] if found else ""
    text = text[: found.start()] if found else text
    return text[:1].lower() + text[1:], "" if where.startswith("key") else where


@functools.cache  # as many as there are kinds of tables in the code
def _fields(kind: type) -> tuple[msgspec.structs.FieldInfo, ...]:
    """msgspec works a kind's fields out anew each time, which for a file of many tables of a kind took most of the
    time that the check took.
    """
    return msgspec.structs.fields(kind)


def renamed(raw: Any, kind: type) -> Any:
    """The same with keys that stand under a former name, the table's `FORMER`, under the one of today.

    A key that stands under both is left as it is, and then found to be unknown."""
    if not isinstance(raw, dict):
        return raw
    former: dict[str, str] = getattr(kind, "FORMER", {})
    made = {(name if former.get(name, name) in raw else former.get(name, name)): value for name, value in raw.items()}
    for field in _fields(kind):
        table, listed = table_of(field.type)
        value = made.get(field.encode_name)
        if table is not None and listed and isinstance(value, list):
            made[field.encode_name] = [renamed(one, table) for one in value]
        elif table is not None and not listed and value is not None:
            made[field.encode_name] = renamed(value, table)
    return made


def converted(raw: Any, kind: type, at: str = "") -> tuple[Any, list[ConversionError]]:
    """The table, or None with all that is wrong."""
    if not isinstance(raw, dict):
        return None, [ConversionError(at, "is no table", False)]
    wrong: list[ConversionError] = []
    fields = {field.encode_name: field for field in _fields(kind)}
    values: dict[str, Any] = {}
    for name, value in raw.items():
        key = f"{at}.{name}".lstrip(".")
        field = fields.get(name)
        if field is None:
            wrong.append(ConversionError(key, f"not known here{nearest(name, list(fields))}", True))
            continue
        values[field.name], more = _value(value, field.type, key)
        wrong += more
    for name, field in fields.items():
        if name not in raw and field.required:
            wrong.append(ConversionError(f"{at}.{name}".lstrip("."), "missing", False))
    return (None if wrong else kind(**values)), wrong


def _value(value: Any, kind: Any, key: str) -> tuple[Any, list[ConversionError]]:
    table, listed = table_of(kind)
    if table is not None and not listed:
        return converted(value, table, key)
    if table is not None:
        if not isinstance(value, list):
            return None, [ConversionError(key, "is no list of tables", False)]
        made, wrong = [], []
        for number, one in enumerate(value):
            item, more = converted(one, table, f"{key}[{number}]")
            made.append(item)
            wrong += more
        return made, wrong
    try:
        return msgspec.convert(value, kind, dec_hook=unhook), []
    except msgspec.ValidationError as error:
        what, where = _short(error)
        return None, [ConversionError(key + where, what, False)]
