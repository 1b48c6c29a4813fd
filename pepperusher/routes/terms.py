"""The limits that a route's settings place on its tickets, and immutable versions of the configuration; free of I/O.

A ticket keeps one `Version` from arrival to its end, whatever is applied meanwhile. Terms only restrict: they allow
less time, fewer attempts and retries after fewer outcomes. They never select a backend and never allow what the
balancer's decisions would not.
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
    """The limits of one route; durations in us. `max_attempts` counts all attempts of a ticket; `retriable_outcomes`
    are those after which it may be retried, None for any."""

    name: str
    use_case: str | None
    max_attempt_timeout: int
    max_attempts: int
    retriable_outcomes: frozenset[str] | None
    default_timeout: int
    max_caller_timeout: int
    priority: int
    route: Route | None

    def caller_timeout(self, sent_timeout: int | None) -> int | None:
        """Returns the client's timeout, given the one it sent (None if it sent none). None stands for the use case's
        default."""
        if sent_timeout is None:
            return self.default_timeout if self.default_timeout < NO_LIMIT else None
        return min(sent_timeout, self.max_caller_timeout)

    def attempt_timeout(self, allowed: int) -> int:
        """Returns the timeout of an attempt, at most `allowed`, which is what the balancer's decisions give it."""
        return min(allowed, self.max_attempt_timeout)

    def may_retry_after(self, outcome: str) -> bool:
        """Returns whether these terms allow a retry after an attempt with this outcome."""
        return self.retriable_outcomes is None or outcome in self.retriable_outcomes or outcome == "moot"


# The terms of tickets that no route matches, which only the balancer's own decisions limit.
DEFAULT_TERMS = Terms("", None, NO_LIMIT, DEFAULT_MAX_ATTEMPTS := 3, None, NO_LIMIT, NO_LIMIT, 5, None)


def terms_of(route: Route) -> Terms:
    """Derives the terms of a route from its settings."""
    return Terms(
        route.name,
        route.use_case,
        route.time_out or NO_LIMIT,
        route.attempts or DEFAULT_MAX_ATTEMPTS,
        None if route.retry_on is None else frozenset(route.retry_on),
        route.outer or NO_LIMIT,
        route.patience or NO_LIMIT,
        route.priority,
        route,
    )


class Version:
    """One version of the configuration file; immutable but for `open_tickets`, the number of tickets that use it."""

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
        """Returns the terms of the most specific route; a route for another use case does not apply."""
        index = self._routes.find(method, target, host, headers)
        if index < 0:
            return DEFAULT_TERMS
        found = self._terms[index]
        return found if found.use_case in (None, use_case) else DEFAULT_TERMS

    @property
    def matches_headers(self) -> bool:
        """Returns whether any route matches headers; otherwise headers need not be prepared for matching."""
        return any(route.match.headers for route in self.read.own.routes)
