"""Which route a ticket is of: method, path template, host and headers, the most exact first; free of I/O.

A route is more exact than another if all that it matches the other matches too. Two that could match the same
ticket with neither more exact are a conflict, said at load, so at run time at most one answer is right.
Exactness is counted in points so that a subset always has more of them: sorting by points is an order that
the subsets agree with.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%-]+")
NAMED = re.compile(r"\{([A-Za-z_][A-Za-z0-9_]*)\}")
REST = re.compile(r"\{([A-Za-z_][A-Za-z0-9_]*)\*\}")
HOST = re.compile(r"(\*\.)?[a-z0-9-]+(\.[a-z0-9-]+)*")
HEADER = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]+")
MOST_SEGMENTS = 32

# A segment of a template: a literal text, or any one (""), and at the end maybe all the rest.
ANY = ""


class TemplateError(ValueError):
    """A pattern that can't be read; its text says which part."""


class Template(NamedTuple):
    """A path template: its segments, ANY for a named one, and whether any more may follow."""

    segments: tuple[str, ...]
    rest: bool


def template(text: str) -> Template:
    """From "/orders/{id}/lines" or "/files/{path*}". Raises TemplateError."""
    if not text.startswith("/"):
        raise TemplateError(f"{text!r} does not begin with /")
    made: list[str] = []
    names: set[str] = set()
    parts = text[1:].split("/") if text != "/" else []
    if len(parts) > MOST_SEGMENTS:
        raise TemplateError(f"{text!r} has over {MOST_SEGMENTS} parts")
    for number, part in enumerate(parts):
        named = NAMED.fullmatch(part) or REST.fullmatch(part)
        if named:
            if named[1] in names:
                raise TemplateError(f"{text!r} has two of {{{named[1]}}}")
            names.add(named[1])
            if part.endswith("*}"):
                if number != len(parts) - 1:
                    raise TemplateError(f"{text!r} goes on after {part}")
                return Template(tuple(made), True)
            made.append(ANY)
        elif SEGMENT.fullmatch(part):
            made.append(part)
        else:
            raise TemplateError(f"{text!r} has {part!r}, which is neither a text nor {{name}}")
    return Template(tuple(made), False)


class Pattern(NamedTuple):
    """What a route matches; "" and empty where it does not care. `host` may begin with "*."."""

    method: str
    path: Template
    host: str
    headers: tuple[tuple[str, str], ...]

    @property
    def points(self) -> int:
        """More for what is more exact: a subset always has more than what holds it."""
        path = sum(2 if segment else 1 for segment in self.path.segments) + (0 if self.path.rest else 1)
        host = 0 if not self.host else 1 if self.host.startswith("*.") else 2
        if host == 1:
            host = 1 + self.host.count(".")
        elif host == 2:
            host = 2 + self.host.count(".")
        return 100 * path + 40 * host + (20 if self.method else 0) + len(self.headers)


def pattern(method: str, path: str, host: str, headers: Mapping[str, str]) -> Pattern:
    """Raises TemplateError."""
    if method and method not in METHODS:
        raise TemplateError(f"{method!r} is none of {', '.join(METHODS)}")
    if host and not HOST.fullmatch(host):
        raise TemplateError(f"{host!r} is no host in small letters, as api.local or *.local")
    for name in headers:
        if not HEADER.fullmatch(name):
            raise TemplateError(f"{name!r} is no header's name in small letters")
    if len(headers) > 19:
        raise TemplateError("over 19 headers")
    return Pattern(method, template(path), host, tuple(sorted(headers.items())))


# --- how two patterns lie to each other ------------------------------------------------------------


def _paths_meet(a: Template, b: Template) -> bool:
    for one, other in zip(a.segments, b.segments):
        if one and other and one != other:
            return False
    longer, shorter = (a, b) if len(a.segments) >= len(b.segments) else (b, a)
    return len(a.segments) == len(b.segments) or shorter.rest


def _path_within(a: Template, b: Template) -> bool:
    """Whether all that `a` matches `b` matches."""
    if len(a.segments) < len(b.segments) or any(other and one != other for one, other in zip(a.segments, b.segments)):
        return False
    return b.rest or not a.rest and len(a.segments) == len(b.segments)


def _host_fits(host: str, pattern: str) -> bool:
    return (
        not pattern
        or host == pattern
        or pattern.startswith("*.")
        and host.endswith(pattern[1:])
        and len(host) > len(pattern) - 1
    )


def _hosts_meet(a: str, b: str) -> bool:
    return _host_fits(a, b) or _host_fits(b, a) or not a or not b


def meet(a: Pattern, b: Pattern) -> bool:
    """Whether one ticket could match both."""
    if a.method and b.method and a.method != b.method or not _hosts_meet(a.host, b.host):
        return False
    asked = dict(a.headers)
    if any(asked.get(name, value) != value for name, value in b.headers):
        return False
    return _paths_meet(a.path, b.path)


def within(a: Pattern, b: Pattern) -> bool:
    """Whether all that `a` matches `b` matches."""
    return (
        (not b.method or a.method == b.method)
        and (not b.host or a.host != "" and _host_fits(a.host, b.host))
        and set(b.headers) <= set(a.headers)
        and _path_within(a.path, b.path)
    )


def conflicts(patterns: list[Pattern]) -> list[tuple[int, int]]:
    """Pairs (by place, the later first) that could match the same ticket with neither more exact, or both the
    same.

    Only patterns whose first segments may be the same are compared, since a thousand routes are a million
    pairs.
    """
    found = []
    groups: dict[str, list[int]] = {}
    for number, one in enumerate(patterns):
        first = one.path.segments[0] if one.path.segments else ANY
        groups.setdefault(first, []).append(number)
    loose = groups.get(ANY, [])
    for first, members in groups.items():
        against = members if first == ANY else [*members, *loose]
        for number in members:
            for other in against:
                if other == number or first == ANY and other > number or other > number and other in members:
                    continue
                a, b = patterns[number], patterns[other]
                if meet(a, b) and within(a, b) == within(b, a):
                    found.append((max(number, other), min(number, other)))
    return sorted(set(found))


# --- matching --------------------------------------------------------------------------------------


class _Node:
    """One step down a path. `ends` match where the path ends here, `rests` whatever follows; both by
    points."""

    __slots__ = ("literal", "any", "ends", "rests")

    def __init__(self) -> None:
        self.literal: dict[str, _Node] = {}
        self.any: _Node | None = None
        self.ends: list[tuple[int, int, Pattern]] = []
        self.rests: list[tuple[int, int, Pattern]] = []


class Routes:
    """The routes of one version, made once and never changed; as large as the file."""

    def __init__(self, patterns: Iterable[Pattern]) -> None:
        self._root = _Node()
        for number, one in enumerate(patterns):
            at = self._root
            for segment in one.path.segments:
                if segment:
                    at = at.literal.setdefault(segment, _Node())
                else:
                    at.any = at.any or _Node()
                    at = at.any
            (at.rests if one.path.rest else at.ends).append((one.points, number, one))

    def find(self, method: str, target: str, host: str, headers: Mapping[str, str]) -> int:
        """The place of the most exact route, -1 for none. `target` is the path with or without its query."""
        path = target.partition("?")[0]
        parts = path[1:].split("/") if len(path) > 1 else []
        best, place = -1, -1
        # Few branches: a part leads to its literal and to any.
        at = [self._root]
        for turn in range(len(parts) + 1):
            for node in at:
                for those in (node.rests, node.ends if turn == len(parts) else ()):
                    for points, number, one in those:
                        if points > best and _fits(one, method, host, headers):
                            best, place = points, number
            if turn == len(parts):
                break
            part = parts[turn]
            after = []
            for node in at:
                if (literal := node.literal.get(part)) is not None:
                    after.append(literal)
                if node.any is not None and part:
                    after.append(node.any)
            at = after
            if not at:
                break
        return place


def _fits(one: Pattern, method: str, host: str, headers: Mapping[str, str]) -> bool:
    return (
        (not one.method or one.method == method)
        and (not one.host or _host_fits(host, one.host))
        and all(headers.get(name) == value for name, value in one.headers)
    )
