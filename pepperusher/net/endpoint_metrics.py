"""What a proxy counts of its calls to discovery, and of the age of the list that it goes by."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class EndpointMetrics:
    """Counts since the start; times are seconds of the loop's clock.

    `refused` are calls that ended without a word. Of these `refused_at_once` were answered so in under KEPT_LONG
    (net/call_schedule.py), `refused_late` were kept for longer, as in discovery's queue, and `unconnected` never had a
    connection.
    `given_up` are calls whose place another took before they had an answer; `taken_late` the updates that came by such
    a call all the same, and were newer than the list.
    `overdue` counts the times that the list was not confirmed within its term, and `sent_overdue` the requests that
    went to a backend meanwhile: each of these may have gone to one that drains. `expired` counts the times that the term
    was a binding one, and `refused_expired` the requests that did not go out for that (net/list_confirmation.py).
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
        """For the log, in words that docs/on-call.md explains."""
        return (
            f"list: {self.calls} calls, {self.refused} refused ({self.refused_at_once} at once, {self.refused_late} after a wait,"
            f" {self.unconnected} without a connection), {self.given_up} given up ({self.taken_late} updates taken from these),"
            f" {self.lost} watches lost, {self.longest_unconfirmed:.1f} s unconfirmed at the longest,"
            f" {self.overdue} times overdue, {self.sent_overdue} requests sent meanwhile,"
            f" {self.expired} times expired, {self.refused_expired} requests refused for that"
        )
