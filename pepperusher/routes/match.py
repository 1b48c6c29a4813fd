"""Matches tickets to routes by method, path template, host and headers; the most specific match wins. Free of I/O.

A route is more specific than another if the other matches everything that it matches. Two routes that can match the
same ticket without either being more specific are a conflict, which is reported when the configuration is loaded; so
the match is unambiguous at run time. Specificity is counted in points, of which the more specific of two such routes
always has more, so sorting by points respects that order.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD", "OPTIONS")
SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@%-]+")
NAMED_SEGMENT = re.compile(r"\{([A-Za-z_][A-Za-z0-9_]*)\}")
REMAINING_SEGMENTS = re.compile(r"\{([A-Za-z_][A-Za-z0-9_]*)\*\}")
HOST = re.compile(r"(\*\.)?[a-z0-9-]+(\.[a-z0-9-]+)*")
HEADER = re.compile(r"[a-z0-9!#$%&'*+.^_`|~-]+")
MAX_SEGMENTS = 32

# A wildcard segment in a template. Other segments are literal text.
ANY = ""


class TemplateError(ValueError):
    """An invalid pattern; the text names the invalid part."""


class Template(NamedTuple):
    """A path template: its segments, ANY for a named one, and whether further segments may follow."""

    segments: tuple[str, ...]
    matches_rest: bool


def template(text: str) -> Template:
    """Parses a template such as "/orders/{id}/lines" or "/files/{path*}". Raises TemplateError."""
    if not text.startswith("/"):
        raise TemplateError(f"{text!r} does not begin with /")
    segments: list[str] = []
    parameters: set[str] = set()
    parts = text[1:].split("/") if text != "/" else []
    if len(parts) > MAX_SEGMENTS:
        raise TemplateError(f"{text!r} has more than {MAX_SEGMENTS} segments")
    for index, part in enumerate(parts):
        parameter = NAMED_SEGMENT.fullmatch(part) or REMAINING_SEGMENTS.fullmatch(part)
        if parameter:
            if parameter[1] in parameters:
                raise TemplateError(f"{text!r} names {{{parameter[1]}}} twice")
            parameters.add(parameter[1])
            if part.endswith("*}"):
                if index != len(parts) - 1:
                    raise TemplateError(f"{text!r} continues after {part}")
                return Template(tuple(segments), True)
            segments.append(ANY)
        elif SEGMENT.fullmatch(part):
            segments.append(part)
        else:
            raise TemplateError(f"{text!r} has {part!r}, which is neither a literal segment nor {{name}}")
    return Template(tuple(segments), False)


class Pattern(NamedTuple):
    """The conditions of a route; an empty value matches anything. `host` may begin with "*."."""

    method: str
    path: Template
    host: str
    headers: tuple[tuple[str, str], ...]

    @property
    def specificity(self) -> int:
        """The specificity. If a pattern matches everything that another one matches, the other one has more points."""
        path = sum(2 if segment else 1 for segment in self.path.segments) + (0 if self.path.matches_rest else 1)
        host = 0 if not self.host else 1 if self.host.startswith("*.") else 2
        if host == 1:
            host = 1 + self.host.count(".")
        elif host == 2:
            host = 2 + self.host.count(".")
        return 100 * path + 40 * host + (20 if self.method else 0) + len(self.headers)


def pattern(method: str, path: str, host: str, headers: Mapping[str, str]) -> Pattern:
    """Builds a pattern from its settings. Raises TemplateError."""
    if method and method not in METHODS:
        raise TemplateError(f"{method!r} is not one of {', '.join(METHODS)}")
    if host and not HOST.fullmatch(host):
        raise TemplateError(f"{host!r} is not a lower-case host such as api.local or *.local")
    for name in headers:
        if not HEADER.fullmatch(name):
            raise TemplateError(f"{name!r} is not a lower-case header name")
    if len(headers) > 19:
        raise TemplateError("more than 19 headers")
    return Pattern(method, template(path), host, tuple(sorted(headers.items())))


# --- relations between patterns ----------------------------------------------------------------


def _paths_overlap(a: Template, b: Template) -> bool:
    """Returns whether one path could match both templates."""
    for left, right in zip(a.segments, b.segments):
        if left and right and left != right:
            return False
    longer, shorter = (a, b) if len(a.segments) >= len(b.segments) else (b, a)
    return len(a.segments) == len(b.segments) or shorter.matches_rest


def _path_contained(a: Template, b: Template) -> bool:
    """Returns whether `b` matches every path that `a` matches."""
    if len(a.segments) < len(b.segments) or any(right and left != right for left, right in zip(a.segments, b.segments)):
        return False
    return b.matches_rest or not a.matches_rest and len(a.segments) == len(b.segments)


def _host_matches(host: str, pattern: str) -> bool:
    """Returns whether a host matches a host pattern; an empty pattern matches any host."""
    return (
        not pattern
        or host == pattern
        or pattern.startswith("*.")
        and host.endswith(pattern[1:])
        and len(host) > len(pattern) - 1
    )


def _hosts_overlap(a: str, b: str) -> bool:
    """Returns whether one host could match both patterns."""
    return _host_matches(a, b) or _host_matches(b, a) or not a or not b


def overlap(a: Pattern, b: Pattern) -> bool:
    """Returns whether one ticket could match both patterns."""
    if a.method and b.method and a.method != b.method or not _hosts_overlap(a.host, b.host):
        return False
    required = dict(a.headers)
    if any(required.get(name, value) != value for name, value in b.headers):
        return False
    return _paths_overlap(a.path, b.path)


def is_contained(a: Pattern, b: Pattern) -> bool:
    """Returns whether `b` matches every ticket that `a` matches."""
    return (
        (not b.method or a.method == b.method)
        and (not b.host or a.host != "" and _host_matches(a.host, b.host))
        and set(b.headers) <= set(a.headers)
        and _path_contained(a.path, b.path)
    )


def conflicts(patterns: list[Pattern]) -> list[tuple[int, int]]:
    """Returns the conflicts as pairs of indexes, the later first: patterns that can match the same ticket while
    neither is more specific, or both are equal.

    Only patterns whose first segments can match the same text are compared, since a thousand routes are a million
    pairs.
    """
    pairs = []
    groups: dict[str, list[int]] = {}
    for number, candidate in enumerate(patterns):
        first = candidate.path.segments[0] if candidate.path.segments else ANY
        groups.setdefault(first, []).append(number)
    wildcards = groups.get(ANY, [])
    for first, members in groups.items():
        compared = members if first == ANY else [*members, *wildcards]
        for number in members:
            for other in compared:
                if other == number or first == ANY and other > number or other > number and other in members:
                    continue
                a, b = patterns[number], patterns[other]
                if overlap(a, b) and is_contained(a, b) == is_contained(b, a):
                    pairs.append((max(number, other), min(number, other)))
    return sorted(set(pairs))


# --- matching ----------------------------------------------------------------------------------


class _Node:
    """A node of the path tree. `exact_patterns` match if the path ends here, `prefix_patterns` whatever follows. Each
    list holds points, index and pattern."""

    __slots__ = ("literal", "wildcard", "exact_patterns", "prefix_patterns")

    def __init__(self) -> None:
        self.literal: dict[str, _Node] = {}
        self.wildcard: _Node | None = None
        self.exact_patterns: list[tuple[int, int, Pattern]] = []
        self.prefix_patterns: list[tuple[int, int, Pattern]] = []


class Routes:
    """The routes of one configuration version; immutable."""

    def __init__(self, patterns: Iterable[Pattern]) -> None:
        self._root = _Node()
        for number, route_pattern in enumerate(patterns):
            node = self._root
            for segment in route_pattern.path.segments:
                if segment:
                    node = node.literal.setdefault(segment, _Node())
                else:
                    node.wildcard = node.wildcard or _Node()
                    node = node.wildcard
            (node.prefix_patterns if route_pattern.path.matches_rest else node.exact_patterns).append(
                (route_pattern.specificity, number, route_pattern)
            )

    def find(self, method: str, target: str, host: str, headers: Mapping[str, str]) -> int:
        """Returns the index of the most specific matching route, -1 for none. `target` is the path with or without its
        query."""
        path = target.partition("?")[0]
        parts = path[1:].split("/") if len(path) > 1 else []
        best, index = -1, -1
        # There are few branches: each segment leads to its literal child and the wildcard child at most.
        nodes = [self._root]
        for depth in range(len(parts) + 1):
            for node in nodes:
                for candidates in (node.prefix_patterns, node.exact_patterns if depth == len(parts) else ()):
                    for points, number, route_pattern in candidates:
                        if points > best and _matches(route_pattern, method, host, headers):
                            best, index = points, number
            if depth == len(parts):
                break
            part = parts[depth]
            next_nodes = []
            for node in nodes:
                if (literal := node.literal.get(part)) is not None:
                    next_nodes.append(literal)
                if node.wildcard is not None and part:
                    next_nodes.append(node.wildcard)
            nodes = next_nodes
            if not nodes:
                break
        return index


def _matches(pattern: Pattern, method: str, host: str, headers: Mapping[str, str]) -> bool:
    """Returns whether method, host and headers match; the path has been matched by the tree."""
    return (
        (not pattern.method or pattern.method == method)
        and (not pattern.host or _host_matches(host, pattern.host))
        and all(headers.get(name) == value for name, value in pattern.headers)
    )
