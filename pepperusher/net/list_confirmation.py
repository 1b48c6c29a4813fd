"""Whether discovery has confirmed the list, when what an unconfirmed one lacks counts as told, and whether it has expired.

A *term* is the span after which the operators hold a change to be told, whether or not it came (docs/design.md, "Terms for
the list"). That of an outage or a start runs only while discovery can be reached, which a proxy can't know: a list past it
is still used, and that is logged and counted. A *binding* term runs whatever discovery does. A list that was not confirmed
by its end has expired: any endpoint of it may have been told to drain, so no request may go out by it.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.log import Log

# Seconds after which a change counts as told: after a watch's last word, after a new configuration, and after this process
# took another's place (PROTOCOL; SIGHUP in LATER; STANDING, one clock for silence; DAYS, replacing the process).
LOST_TERM = 6.0
RECONFIGURED_TERM = 4.0
TAKEN_OVER_TERM = 2.0
# Of several new configurations in a row the term of the last counts; what changed before the first of them counts so many
# seconds after that all the same.
ROW_MOST = 6.0
# A list that has expired is used again after so many seconds: by then discovery is away for good, or was named wrongly, and
# a proxy that refuses all is worse than one that sends to an endpoint that drains.
EXPIRED_MOST = 30.0


class Cause(Enum):
    """Why discovery has to confirm the list anew, in the log's words."""

    STARTED = "this process started"
    LOST = "discovery lost"
    SILENT = "a watch fell silent"
    RECONFIGURED = "a new configuration"
    TAKEN_OVER = "another process's place taken"

    @property
    def binding(self) -> bool:
        """Whether its term runs whatever discovery does."""
        return self not in (Cause.STARTED, Cause.LOST)

    @property
    def supersedes(self) -> bool:
        """Whether its term takes the place of a binding one that still runs, rather than running beside it."""
        return self is not Cause.SILENT


class ListConfirmation:
    """Times are seconds of the loop's clock."""

    def __init__(self, metrics: EndpointMetrics, log: Log) -> None:
        self._metrics = metrics
        self._log = log
        self._missing_since: float | None = None  # None while the list is confirmed
        self._lost_due_at: float | None = None  # None while the list is confirmed
        # The end of the last binding term. It outlasts a confirmation until then: a word that came before its end need not
        # have told all that counts there.
        self._binding_due_at: float | None = None
        self._row_began_at: float | None = None  # the first binding term since the list was confirmed
        # Since then, at whichever address: what nobody could have been told does not count.
        self._was_reached = False
        self._unconfirmed_said = self._overdue_said = self._expired_said = False
        self._refused = 0  # requests, since it has expired
        self._said_of: set[str] = (
            set()
        )  # endpoints named in the log since it is overdue; emptied with each confirmation

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def overdue(self) -> bool:
        """Whether the list is not confirmed and past its term: what it lacks counts as told."""
        if self._missing_since is None:
            return False
        now = self._now()
        overdue = any(due is not None and now > due for due in (self._lost_due_at, self._binding_due_at))
        if overdue and not self._overdue_said:
            self._unconfirmed_said = self._overdue_said = True
            self._metrics.overdue += 1
            self._log.say("list past its term; not confirmed yet")
        return overdue

    @property
    def expired(self) -> bool:
        """Whether nothing may go out by it: it is past a binding term, discovery could be reached, and did not confirm it."""
        due = self._binding_due_at
        if self._missing_since is None or due is None or not due < self._now() <= due + EXPIRED_MOST:
            return False
        if not self._was_reached:
            return False
        if not self._expired_said:
            self._expired_said = True
            self._metrics.expired += 1
            self._log.say("list expired; requests are refused until discovery confirms it")
        return self.overdue

    def expect(self, cause: Cause, within: float, since: float) -> None:
        """Discovery has to confirm it: what it may lack counts `within` seconds after `since` at the latest, which is when
        it was known last to be whole, or when the signal may have come."""
        if cause.binding:
            self._begin_binding_term(within, since, cause.supersedes)
        else:
            self._begin_lost_term(within, since)
        if self._missing_since is None:
            self._missing_since = since
        if cause is Cause.STARTED:
            return  # as with every start, so not worth a line before its term is over
        self._unconfirmed_said = True
        due = min(due for due in (self._lost_due_at, self._binding_due_at) if due is not None)
        self._log.say(f"list unconfirmed: {cause.value}; what it lacks counts in {due - self._now():.2f} s")

    def _begin_lost_term(self, within: float, since: float) -> None:
        if self._binding_due_at is not None and self._binding_due_at <= since:
            self._binding_due_at = None  # confirmed to its end
        due = since + within
        self._lost_due_at = due if self._lost_due_at is None else min(self._lost_due_at, due)

    @property
    def hard_deadline(self) -> float | None:
        """When the list expires unless it is confirmed; None where no binding term ends."""
        return self._binding_due_at

    def end_by(self, due: float) -> None:
        """The list is another process's, and a binding term of it ends then."""
        if self._binding_due_at is not None and self._now() <= due + EXPIRED_MOST:
            self._binding_due_at = min(self._binding_due_at, due)

    def keep_term(self, within: float, since: float) -> None:
        """A binding term begins while discovery still tells the list: it counts if discovery is lost before its end."""
        self._begin_binding_term(within, since, supersedes=True)
        self._was_reached = True

    def reached(self) -> None:
        """A connection to discovery came up, or failed for want of something on this machine alone."""
        self._was_reached = True

    def _begin_binding_term(self, within: float, since: float, supersedes: bool) -> None:
        running = self._binding_due_at
        if running is not None and self._missing_since is not None and self._now() > running:
            if self._now() <= running + EXPIRED_MOST:
                return  # expired already: nothing but a confirmation ends that
            self._row_began_at = running = None
        if running is not None and running <= since:
            running = None  # confirmed to its end
        if self._row_began_at is None:
            self._row_began_at = since
            self._was_reached = self._was_reached and running is not None and not supersedes
        due = min(since + within, self._row_began_at + ROW_MOST)
        self._binding_due_at = due if supersedes or running is None else min(running, due)

    def confirmed(self, by: str) -> None:
        """Discovery has spoken; `by` says which call."""
        if self._missing_since is not None:
            lasted = self._now() - self._missing_since
            self._metrics.longest_unconfirmed = max(self._metrics.longest_unconfirmed, lasted)
            late = ", past its term" if self.overdue else ""
            refused = f", {self._refused} requests refused" if self._refused else ""
            if self._unconfirmed_said:
                self._log.say(f"list confirmed; after {lasted:.2f} s{late}{refused}, {by}")
        self._missing_since = self._lost_due_at = self._row_began_at = None
        self._unconfirmed_said = self._overdue_said = self._expired_said = False
        self._refused = 0
        self._said_of.clear()
        if self._binding_due_at is not None and self._binding_due_at <= self._now():
            self._binding_due_at = None

    def request_sent(self, request: bytes, endpoint: str) -> None:
        """The request of this id goes out to that endpoint."""
        if self.overdue:
            self._metrics.sent_overdue += 1
            if endpoint not in self._said_of:
                self._said_of.add(endpoint)
                self._log.say(f"request {request.decode('latin-1')} goes to {endpoint} by a list past its term")

    def request_refused(self, request: bytes) -> None:
        """The request of this id does not go out, since the list has expired."""
        self._metrics.refused_expired += 1
        self._refused += 1
        if self._refused == 1:
            self._log.say(f"request {request.decode('latin-1')} is refused: the list has expired")
