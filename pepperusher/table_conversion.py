"""Converts plain values from TOML or JSON into typed tables and reports every error, not only the first.

msgspec converts each single value. This module walks the tables itself, because msgspec stops at the first error.
"""

from __future__ import annotations

import difflib
import functools
import re
import types
from typing import Annotated, Any, NamedTuple, Union, get_args, get_origin

import msgspec

from pepperusher.durations import Span, span, written

MIN_SIMILARITY = 0.5


class ConversionError(NamedTuple):
    """One error: the path of the key and a description; `unknown` is true if the key itself is unknown."""

    key: str
    what: str
    unknown: bool


def unhook(kind: type, encoded: Any) -> Any:
    """Decodes a duration; msgspec calls it for types that it doesn't know."""
    if kind is Span:
        return span(encoded)
    raise NotImplementedError(kind)


def hook(value: Any) -> Any:
    """Encodes a duration in the form that `unhook` decodes."""
    if isinstance(value, int):
        return written(value)
    raise NotImplementedError(type(value))


def nearest(unknown: str, names: list[str]) -> str:
    """A suggestion for a misspelt name, as the end of an error text; empty if no name is similar."""
    matches = difflib.get_close_matches(unknown, names, 1, MIN_SIMILARITY)
    return f"; did you mean {matches[0]}?" if matches else ""


def _without_annotation(kind: Any) -> Any:
    """The type without its annotation, and without None if it is an optional type."""
    if get_origin(kind) is Annotated:
        return _without_annotation(get_args(kind)[0])
    if get_origin(kind) in (Union, types.UnionType):
        alternatives = [alternative for alternative in get_args(kind) if alternative is not type(None)]
        return _without_annotation(alternatives[0]) if len(alternatives) == 1 else kind
    return kind


def table_of(kind: Any) -> tuple[type | None, bool]:
    """The table type of a field, and whether the field is a list of such tables; None if it holds no table."""
    bare_type = _without_annotation(kind)
    if isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
        return bare_type, False
    if get_origin(bare_type) is list:
        element_type = _without_annotation(get_args(bare_type)[0])
        if isinstance(element_type, type) and issubclass(element_type, msgspec.Struct):
            return element_type, True
    return None, False


def _split_error(error: msgspec.ValidationError) -> tuple[str, str]:
    """Splits msgspec's error into its message and the location within the value."""
    text = str(error)
    location_match = re.search(r" - at `\$(.*?)`$", text)
    location = location_match[1] if location_match else ""
    text = text[: location_match.start()] if location_match else text
    return text[:1].lower() + text[1:], "" if location.startswith("key") else location


@functools.cache  # one entry for each table class
def _fields(kind: type) -> tuple[msgspec.structs.FieldInfo, ...]:
    """Caches the fields of a table class. msgspec computes them anew on each call, which took most of the time of
    validating a file with many tables of one class.
    """
    return msgspec.structs.fields(kind)


def renamed(raw: Any, kind: type) -> Any:
    """Replaces keys that have a former name (the table's `FORMER`) by their current name.

    If a table has a key under both names, the former one is kept, and conversion then reports it as unknown."""
    if not isinstance(raw, dict):
        return raw
    former: dict[str, str] = getattr(kind, "FORMER", {})
    renamed_table = {
        (name if former.get(name, name) in raw else former.get(name, name)): value for name, value in raw.items()
    }
    for field in _fields(kind):
        table, is_list = table_of(field.type)
        value = renamed_table.get(field.encode_name)
        if table is not None and is_list and isinstance(value, list):
            renamed_table[field.encode_name] = [renamed(element, table) for element in value]
        elif table is not None and not is_list and value is not None:
            renamed_table[field.encode_name] = renamed(value, table)
    return renamed_table


def converted(raw: Any, kind: type, path: str = "") -> tuple[Any, list[ConversionError]]:
    """Converts a table: the typed table or None, and all errors."""
    if not isinstance(raw, dict):
        return None, [ConversionError(path, "is not a table", False)]
    errors: list[ConversionError] = []
    fields = {field.encode_name: field for field in _fields(kind)}
    values: dict[str, Any] = {}
    for name, value in raw.items():
        key = f"{path}.{name}".lstrip(".")
        field = fields.get(name)
        if field is None:
            errors.append(ConversionError(key, f"not known here{nearest(name, list(fields))}", True))
            continue
        values[field.name], value_errors = _convert_value(value, field.type, key)
        errors += value_errors
    for name, field in fields.items():
        if name not in raw and field.required:
            errors.append(ConversionError(f"{path}.{name}".lstrip("."), "missing", False))
    return (None if errors else kind(**values)), errors


def _convert_value(value: Any, kind: Any, key: str) -> tuple[Any, list[ConversionError]]:
    table, is_list = table_of(kind)
    if table is not None and not is_list:
        return converted(value, table, key)
    if table is not None:
        if not isinstance(value, list):
            return None, [ConversionError(key, "is not a list of tables", False)]
        items, errors = [], []
        for number, element in enumerate(value):
            item, item_errors = converted(element, table, f"{key}[{number}]")
            items.append(item)
            errors += item_errors
        return items, errors
    try:
        return msgspec.convert(value, kind, dec_hook=unhook), []
    except msgspec.ValidationError as error:
        message, location = _split_error(error)
        return None, [ConversionError(key + location, message, False)]
