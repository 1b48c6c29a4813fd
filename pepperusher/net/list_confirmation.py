"""Tracks whether discovery has confirmed the endpoint list, and whether the list has expired.

After an event such as a lost watch, discovery has to confirm the list by a *deadline* (docs/design.md, "Terms for the
list"). From then on changes at discovery count as delivered: the drain rules treat this proxy as having received them,
whether or not it has. The *soft* deadline of an outage or a start applies only while discovery can be reached, which a
proxy cannot know: past it the list is still used, and each use is logged and counted. A *hard* deadline applies
whatever discovery does. A list that is unconfirmed at its hard deadline has expired: any of its endpoints may be
draining, so no request is sent by it.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from pepperusher.net.call_schedule import WATCH_SILENCE_TIMEOUT_S
from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.log import Log

# Seconds after which a change counts as delivered: after a watch's last message, after a new configuration, and after
# this process replaced another (see the protocol documents PROTOCOL; LATER on SIGHUP; STANDING, one clock for silence;
# DAYS, replacing the process).
LOST_DEADLINE_S = 6.0
RECONFIGURED_DEADLINE_S = 4.0
TAKEN_OVER_DEADLINE_S = 2.0
# In a series of new configurations the deadline of the last applies. What changed before the first counts this long
# after the first all the same.
SERIES_DEADLINE_S = 6.0
# An expired list is used again after this long: discovery is then down for long, or its address is wrong, and a proxy
# that refuses everything is worse than one that sends to a draining endpoint.
EXPIRED_LIST_MAX_S = 30.0


class Cause(Enum):
    """Why discovery has to confirm the list again; the value is the text for the log."""

    STARTED = "this process started"
    LOST = "discovery lost"
    SILENT = "a watch fell silent"
    RECONFIGURED = "a new configuration"
    TAKEN_OVER = "this process took over from another"

    @property
    def hard(self) -> bool:
        """Whether the deadline is hard: it applies whether or not discovery can be reached."""
        return self not in (Cause.STARTED, Cause.LOST)

    @property
    def supersedes(self) -> bool:
        """Whether the deadline replaces a running hard one, instead of running beside it."""
        return self is not Cause.SILENT


class ListConfirmation:
    """Tracks the deadlines of one endpoint list. Times are seconds of the loop's clock."""

    def __init__(self, metrics: EndpointMetrics, log: Log) -> None:
        self._metrics = metrics
        self._log = log
        self._unconfirmed_since: float | None = None  # None while the list is confirmed
        self._confirmed_at: float | None = None  # when the last message came
        self._soft_deadline: float | None = None  # None while the list is confirmed
        # The last hard deadline. A confirmation before it does not clear it: the confirming message may precede some of
        # the changes that count at the deadline.
        self._hard_deadline: float | None = None
        self._series_began_at: float | None = None  # when the first hard deadline since the last confirmation began
        # Discovery was reached at any address since then. Changes that no proxy could have received do not count.
        self._discovery_reached = False
        self._unconfirmed_logged = self._overdue_logged = self._expired_logged = False
        self._refused_requests = 0  # requests refused since the list expired
        self._logged_endpoints: set[str] = set()  # endpoints logged while overdue; emptied by a confirmation

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()

    @property
    def overdue(self) -> bool:
        """Whether the list is unconfirmed past a deadline, so that changes it lacks count as delivered."""
        if self._unconfirmed_since is None:
            return False
        now = self._now()
        overdue = any(
            deadline is not None and now > deadline for deadline in (self._soft_deadline, self._hard_deadline)
        )
        if overdue and not self._overdue_logged:
            self._unconfirmed_logged = self._overdue_logged = True
            self._metrics.overdue += 1
            self._log.say("list past its deadline; not confirmed yet")
        return overdue

    @property
    def expired(self) -> bool:
        """Whether no request may be sent by the list: it is unconfirmed past its hard deadline although discovery could
        be reached.
        """
        deadline = self._hard_deadline
        if (
            self._unconfirmed_since is None
            or deadline is None
            or not deadline < self._now() <= deadline + EXPIRED_LIST_MAX_S
        ):
            return False
        if not self._discovery_reached:
            return False
        if not self._expired_logged:
            self._expired_logged = True
            self._metrics.expired += 1
            self._log.say("list expired; requests are refused until discovery confirms it")
        return self.overdue

    def require_confirmation(self, cause: Cause, within: float, since: float) -> None:
        """Requires discovery to confirm the list within `within` seconds of `since`.

        `since` is when the list was last known to be complete, or the earliest time at which the signal may have
        arrived.
        """
        if cause.hard:
            self._start_hard_deadline(within, since, cause.supersedes)
        else:
            self._start_soft_deadline(within, since)
        if self._unconfirmed_since is None:
            self._unconfirmed_since = since
        if cause is Cause.STARTED:
            return  # true at every start, so it is logged only past the deadline
        self._unconfirmed_logged = True
        deadline = min(deadline for deadline in (self._soft_deadline, self._hard_deadline) if deadline is not None)
        self._log.say(f"list unconfirmed: {cause.value}; deadline in {deadline - self._now():.2f} s")

    def _start_soft_deadline(self, within: float, since: float) -> None:
        """Starts a soft deadline `within` seconds after `since`, unless an earlier one is running."""
        if self._hard_deadline is not None and self._hard_deadline <= since:
            self._hard_deadline = None  # the list was confirmed when it passed
        deadline = since + within
        self._soft_deadline = deadline if self._soft_deadline is None else min(self._soft_deadline, deadline)

    @property
    def handover_deadline(self) -> float | None:
        """When the list expires in a successor unless it is confirmed there; None without a hard deadline.

        A deadline that passed while the list was confirmed applies here only if the watch is found silent, with no message
        since before that deadline. It does not apply sooner in the successor.
        """
        deadline = self._hard_deadline
        if deadline is None or deadline > self._now() or self._unconfirmed_since is not None:
            return deadline
        return deadline if self._confirmed_at is None else max(deadline, self._confirmed_at + WATCH_SILENCE_TIMEOUT_S)

    def expire_by(self, deadline: float) -> None:
        """Applies the hard deadline that the previous process had for its handed-over list."""
        if self._hard_deadline is not None and self._now() <= deadline + EXPIRED_LIST_MAX_S:
            self._hard_deadline = min(self._hard_deadline, deadline)

    def add_hard_deadline(self, within: float, since: float) -> None:
        """Starts a hard deadline while discovery still confirms the list: it applies if discovery is lost before it
        passes.
        """
        self._start_hard_deadline(within, since, supersedes=True)
        self._discovery_reached = True

    def note_discovery_reachable(self) -> None:
        """Records that discovery is reachable: a connection was established, or failed for lack of a resource on this
        machine alone.
        """
        self._discovery_reached = True

    def _start_hard_deadline(self, within: float, since: float, supersedes: bool) -> None:
        """Starts a hard deadline `within` seconds after `since`. It does not extend one that has already expired the
        list.
        """
        running = self._hard_deadline
        if running is not None and self._unconfirmed_since is not None and self._now() > running:
            if self._now() <= running + EXPIRED_LIST_MAX_S:
                return  # already expired; only a confirmation ends that
            self._series_began_at = running = None
        if running is not None and running <= since:
            running = None  # the list was confirmed when it passed
        if self._series_began_at is None:
            self._series_began_at = since
            self._discovery_reached = self._discovery_reached and running is not None and not supersedes
        deadline = min(since + within, self._series_began_at + SERIES_DEADLINE_S)
        self._hard_deadline = deadline if supersedes or running is None else min(running, deadline)

    def note_confirmed(self, call: str) -> None:
        """Records a message of discovery; `call` describes the call for the log."""
        if self._unconfirmed_since is not None:
            unconfirmed_for = self._now() - self._unconfirmed_since
            self._metrics.longest_unconfirmed = max(self._metrics.longest_unconfirmed, unconfirmed_for)
            late = ", past its deadline" if self.overdue else ""
            refused = f", {self._refused_requests} requests refused" if self._refused_requests else ""
            if self._unconfirmed_logged:
                self._log.say(f"list confirmed; after {unconfirmed_for:.2f} s{late}{refused}, {call}")
        self._confirmed_at = self._now()
        self._unconfirmed_since = self._soft_deadline = self._series_began_at = None
        self._unconfirmed_logged = self._overdue_logged = self._expired_logged = False
        self._refused_requests = 0
        self._logged_endpoints.clear()
        if self._hard_deadline is not None and self._hard_deadline <= self._now():
            self._hard_deadline = None

    def request_sent(self, request_id: bytes, endpoint: str) -> None:
        """Counts and logs a request that is sent to `endpoint` although the list is overdue."""
        if self.overdue:
            self._metrics.sent_overdue += 1
            if endpoint not in self._logged_endpoints:
                self._logged_endpoints.add(endpoint)
                self._log.say(f"request {request_id.decode('latin-1')} goes to {endpoint} by a list past its deadline")

    def request_refused(self, request_id: bytes) -> None:
        """Counts a request that is refused because the list has expired."""
        self._metrics.refused_expired += 1
        self._refused_requests += 1
        if self._refused_requests == 1:
            self._log.say(f"request {request_id.decode('latin-1')} is refused: the list has expired")
