"""The shared section of the configuration file, after the part that is the proxy's own; free of I/O.

The control machines distribute the shared section to many proxies. It stands between two delimiter lines, so that
operators' edits and manual drains leave it as it is. It may hold only tables that can be equal on many proxies:
routes, backend overrides and customer weights. Settings of a single proxy (its sockets, folders, group, the watching
of its changes) can't be shared.
"""

from __future__ import annotations

import tomllib
from typing import Any

BEGIN, END = "# --- shared: ", "# --- end of what is shared\n"
TABLES = ("routes", "backends", "weights")


class NotSharedError(ValueError):
    """A text that can't be used as a shared section; the error's text is one line."""


def tables(text: str) -> dict[str, Any]:
    """Parses and validates the text of a shared section. Raises NotSharedError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise NotSharedError(f"is not TOML: {error}") from None
    except RecursionError:
        raise NotSharedError("is nested too deep") from None
    for name in raw:
        if name not in TABLES:
            raise NotSharedError(f"{name} belongs to a single proxy; only {', '.join(TABLES)} can be shared")
    if any(line.startswith((BEGIN, END.strip())) for line in text.splitlines()):
        raise NotSharedError("contains a delimiter line of the shared section")
    return raw


def block(title: str, text: str) -> str:
    """The shared section as `put` appends it: the text between its delimiter lines."""
    return f"{BEGIN}{title}\n{text}" + ("" if text.endswith("\n") or not text else "\n") + END


def own_part(text: str) -> str:
    """The file's text without its shared section."""
    start = text.find(BEGIN)
    if start < 0 or (start > 0 and text[start - 1] != "\n"):
        return text
    end = text.find(END, start)
    return text if end < 0 else text[:start] + text[end + len(END) :]


def shared_part(text: str) -> str:
    """The shared section with its delimiter lines, or an empty text."""
    own = own_part(text)
    if own == text:
        return ""
    start = text.find(BEGIN)
    return text[start : text.find(END, start) + len(END)]


def put(text: str, shared: str) -> str:
    """Replaces the shared section of `text` by `shared`. Raises NotSharedError if the two don't form one valid file."""
    own = own_part(text)
    if not shared:
        return own
    whole = own + ("" if own.endswith("\n") or not own else "\n") + shared
    try:
        own_tables, shared_tables, merged_tables = tomllib.loads(own), tomllib.loads(shared), tomllib.loads(whole)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        try:
            tomllib.loads(own)
        except (tomllib.TOMLDecodeError, RecursionError):
            return whole  # validation of the whole file reports the errors of the own part
        raise NotSharedError(f"does not combine with this proxy's own file: {error}") from None
    for name, value in shared_tables.items():
        own_value = own_tables.get(name, [] if isinstance(value, list) else {})
        expected = (
            [*own_value, *value] if isinstance(value, list) and isinstance(own_value, list) else {**own_value, **value}
        )
        if merged_tables.get(name) != expected:
            raise NotSharedError(f"{name} must begin with its own table header")
    return whole
