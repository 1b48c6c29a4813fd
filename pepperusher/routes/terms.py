"""The terms of a route as a ticket goes by them, and versions of all of them; free of I/O.

A ticket has one `Version` from its first look to its end, whatever is applied meanwhile. Terms narrow: less
time, fewer attempts, fewer ends after which one more may go. They never choose a server and never allow
what the decisions would not.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from pepperusher.configuration.loader import Read
from pepperusher.configuration.tables import Mark, Route
from pepperusher.routes import match
from pepperusher.routes.match import Routes

NO_LIMIT = 1 << 60


class Terms(NamedTuple):
    """One route's, derived; spans in us. `most` is how often a ticket may go out, `ends` after which it may
    again."""

    name: str
    use_case: str | None
    time_out: int
    max_attempts: int
    retriable_outcomes: frozenset[str] | None
    default_timeout: int
    max_caller_timeout: int
    priority: int
    route: Route | None

    def caller_timeout(self, given: int | None) -> int | None:
        """What a client waits under these terms: `given` is what it said, None if nothing; None is the use
        case's."""
        if given is None:
            return self.default_timeout if self.default_timeout < NO_LIMIT else None
        return min(given, self.max_caller_timeout)

    def attempt_timeout(self, wait: int) -> int:
        """How long an attempt may take, of what the decisions would give it."""
        return min(wait, self.time_out)

    def may_retry_after(self, how: str) -> bool:
        """Whether a ticket may go out again after an attempt that ended so, as far as these terms go."""
        return self.retriable_outcomes is None or how in self.retriable_outcomes or how == "moot"


# A ticket that no route matches goes by the decisions alone.
DEFAULT_TERMS = Terms("", None, NO_LIMIT, MOST := 3, None, NO_LIMIT, NO_LIMIT, 5, None)


def terms_of(route: Route) -> Terms:
    return Terms(
        route.name,
        route.use_case,
        route.time_out or NO_LIMIT,
        route.attempts or MOST,
        None if route.retry_on is None else frozenset(route.retry_on),
        route.outer or NO_LIMIT,
        route.patience or NO_LIMIT,
        route.priority,
        route,
    )


class Version:
    """All that a file says, as one thing that never changes. `in_hand` are its tickets: it goes with the
    last."""

    __slots__ = ("number", "read", "marks", "open_tickets", "_routes", "_terms")

    def __init__(self, number: int, read: Read) -> None:
        self.number = number
        self.read = read
        self.open_tickets = 0
        self.marks: dict[str, Mark] = {mark.id: mark for mark in read.own.backends}
        self._terms = [terms_of(route) for route in read.own.routes]
        self._routes = Routes(
            match.pattern(route.match.method, route.match.path, route.match.host, route.match.headers)
            for route in read.own.routes
        )

    def terms(self, method: str, target: str, host: str, headers: Mapping[str, str], use_case: str) -> Terms:
        """Of the most exact route; one that is for another use case is none."""
        place = self._routes.find(method, target, host, headers)
        if place < 0:
            return DEFAULT_TERMS
        found = self._terms[place]
        return found if found.use_case in (None, use_case) else DEFAULT_TERMS

    @property
    def matches_headers(self) -> bool:
        """Whether any route looks at headers: else they need not be made ready for it."""
        return any(route.match.headers for route in self.read.own.routes)
