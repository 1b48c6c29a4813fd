"""Counters of a proxy's calls to discovery and of the age of its endpoint list."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class EndpointMetrics:
    """Counters since the start; times are seconds of the loop's clock.

    `refused` counts calls that ended without a message. Of these, `refused_at_once` were refused in under QUEUED_LONG_S
    (net/call_schedule.py), `refused_late` waited longer, as in discovery's queue, and `unconnected` never had a
    connection.

    `given_up` counts calls that were superseded before they had an answer, and `taken_late` the updates that arrived on
    such a call and were newer than the list.

    `overdue` counts how often the list was unconfirmed past a deadline, and `sent_overdue` the requests sent to
    backends meanwhile, each of which may have gone to a draining one. `expired` counts how often the deadline was a
    hard one, and `refused_expired` the requests refused because of it (net/list_confirmation.py).
    """

    calls: int = 0
    refused: int = 0
    refused_at_once: int = 0
    refused_late: int = 0
    unconnected: int = 0
    given_up: int = 0
    taken_late: int = 0
    lost: int = 0
    overdue: int = 0
    sent_overdue: int = 0
    expired: int = 0
    refused_expired: int = 0
    longest_unconfirmed: float = 0.0

    def line(self) -> str:
        """The counters as a log line; docs/on-call.md explains it."""
        return (
            f"list: {self.calls} calls, {self.refused} refused ({self.refused_at_once} at once, {self.refused_late} after a wait,"
            f" {self.unconnected} without a connection), {self.given_up} given up ({self.taken_late} updates taken from these),"
            f" {self.lost} watches lost, {self.longest_unconfirmed:.1f} s unconfirmed at the longest,"
            f" {self.overdue} times overdue, {self.sent_overdue} requests sent meanwhile,"
            f" {self.expired} times expired, {self.refused_expired} requests refused for that"
        )
