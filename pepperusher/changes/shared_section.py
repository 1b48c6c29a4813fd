"""The part of the file that is shared with other proxies, behind the part that is this proxy's own; free of I/O.

It stands between two marks, so that what people propose, drain by hand or write anew keeps it as it is. It may
hold what is the same for many: terms by route, marks on backends, shares. What is a proxy's own (its sockets,
folders, group, how its changes are watched) is no one else's to say.
"""

from __future__ import annotations

import tomllib
from typing import Any

BEGIN, END = "# --- shared: ", "# --- end of what is shared\n"
TABLES = ("routes", "backends", "weights")


class NotSharedError(ValueError):
    """No text that can be shared; its text is one line."""


def tables(text: str) -> dict[str, Any]:
    """What a text to be shared holds. Raises NotSharedError."""
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise NotSharedError(f"is not TOML: {error}") from None
    except RecursionError:
        raise NotSharedError("is nested too deep") from None
    for name in raw:
        if name not in TABLES:
            raise NotSharedError(f"{name} is a proxy's own: {', '.join(TABLES)} can be shared")
    if any(line.startswith((BEGIN, END.strip())) for line in text.splitlines()):
        raise NotSharedError("has a mark of what is shared in it")
    return raw


def block(title: str, text: str) -> str:
    """What `put` puts behind a proxy's own part."""
    return f"{BEGIN}{title}\n{text}" + ("" if text.endswith("\n") or not text else "\n") + END


def own_part(text: str) -> str:
    """Without what is shared."""
    at = text.find(BEGIN)
    if at < 0 or (at > 0 and text[at - 1] != "\n"):
        return text
    end = text.find(END, at)
    return text if end < 0 else text[:at] + text[end + len(END) :]


def shared_part(text: str) -> str:
    """The block alone, or nothing."""
    own = own_part(text)
    if own == text:
        return ""
    at = text.find(BEGIN)
    return text[at : text.find(END, at) + len(END)]


def put(text: str, shared: str) -> str:
    """With what is shared, in place of what was. Raises NotSharedError where the two can't stand in one file."""
    own = own_part(text)
    if not shared:
        return own
    whole = own + ("" if own.endswith("\n") or not own else "\n") + shared
    try:
        mine, theirs, both = tomllib.loads(own), tomllib.loads(shared), tomllib.loads(whole)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        try:
            tomllib.loads(own)
        except (tomllib.TOMLDecodeError, RecursionError):
            return whole  # what is wrong with the own part is said of that
        raise NotSharedError(f"does not go with this proxy's own file: {error}") from None
    for name, value in theirs.items():
        had = mine.get(name, [] if isinstance(value, list) else {})
        wanted = [*had, *value] if isinstance(value, list) and isinstance(had, list) else {**had, **value}
        if both.get(name) != wanted:
            raise NotSharedError(f"{name} must begin with a header of its own")
    return whole
