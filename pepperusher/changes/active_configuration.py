"""The active configuration: the version in force, its admission limits, and the changes to it; free of I/O.

`request_admission` admits a ticket and `finish` ends it; in between, the ticket uses the version it started with.
Concurrency gates, rate limits and retry budgets belong to a route's name and outlive versions: changing a limit
doesn't cancel tickets that are already admitted.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from pepperusher.backend_commands import NEVER, AdminCommand, BackendCommands
from pepperusher.changes import transaction_log
from pepperusher.changes.transaction_log import (
    APPLIED,
    CONFIRMED,
    STAGED,
    UNDONE,
    Change,
    TransactionLog,
    TransactionError,
)
from pepperusher.changes.overlay import Overlay
from pepperusher.changes.error_watch import ErrorWatch
from pepperusher.changes.manual_drains import LIFTED_KEPT, DrainProposal
from pepperusher.facade import Endpoint
from pepperusher.invariants import check_invariant
from pepperusher.limits.gate import FULL, ADMITTED, TOO_LATE, QUEUED, Gate, AdmissionRequest
from pepperusher.limits.gradient import Fixed, Gradient
from pepperusher.limits.rate import Buckets, RetryBudget
from pepperusher.configuration.loader import Read
from pepperusher.configuration.tables import Concurrency
from pepperusher.routes.terms import NO_LIMIT, DEFAULT_TERMS, Terms, Version

RATE = "rate"
# Customer name of tickets that name no customer.
UNNAMED_CUSTOMER = ""
# Retry-after advice where no better estimate is known.
DEFAULT_RETRY_AFTER_US = 200_000
# A route logs that it rejects tickets at most once per this interval.
LOG_INTERVAL_US = 10_000_000
MAX_NAMES_LOGGED = 10


class AdmittedTicket:
    """Admission state of one ticket. `how` is ADMITTED, QUEUED, FULL, TOO_LATE or RATE; `advice` is the retry-after
    time (us) of a rejected ticket; `until` is the ticket's deadline."""

    __slots__ = (
        "version",
        "terms",
        "customer",
        "how",
        "advice",
        "arrived_at",
        "admitted_at",
        "until",
        "waiting",
        "finished",
        "occupies_gate",
        "attempted",
    )

    def __init__(self, version: Version, terms: Terms, customer: str, arrived_at: int, deadline: int) -> None:
        self.version = version
        self.terms = terms
        self.customer = customer
        self.how = ADMITTED
        self.advice = 0
        self.arrived_at = arrived_at
        self.admitted_at = arrived_at
        self.until = deadline
        self.waiting: AdmissionRequest | None = None
        self.finished = False
        self.occupies_gate = False
        self.attempted = False


class _RouteLimits:
    """The limits of one route, kept across versions under the route's name."""

    __slots__ = ("gate", "buckets", "budget", "logged_at", "rejected_count")

    def __init__(self) -> None:
        self.gate: Gate | None = None
        self.buckets: Buckets | None = None
        self.budget: RetryBudget | None = None
        self.logged_at = -LOG_INTERVAL_US
        self.rejected_count = 0


class ActiveConfiguration:
    """`update_endpoints` receives the endpoints whose effective state changes with the overrides; `say` writes a log
    line with its fields."""

    def __init__(
        self, read: Read, now: int, update_endpoints: Callable[[list[Endpoint]], None], say: Callable[..., None]
    ) -> None:
        self._update_endpoints = update_endpoints
        self._say = say
        # An entry is removed once its route is gone and its last ticket has ended.
        self._limits_by_route: dict[str, _RouteLimits] = {}
        self.overlay = Overlay()
        self.version = Version(1, read)
        self.versions: dict[int, Version] = {1: self.version}  # without versions whose tickets have all ended
        self.confirmed = self.version
        self.ledger = TransactionLog(read.own.changes.history)
        self.toll = ErrorWatch(read.own.changes.watch)
        self._last_number = 1
        self._latest_deadline: int | None = None
        self._apply_limits(now)

    # --- tickets ----------------------------------------------------------------------------------

    def request_admission(
        self,
        method: str,
        target: str,
        host: str,
        headers: Mapping[str, str],
        use_case: str,
        customer: str,
        stated_timeout: int | None,
        default_timeout: int,
        now: int,
    ) -> AdmittedTicket:
        """Applies the rate limit and the concurrency gate of the ticket's route. `stated_timeout` is the timeout that
        the client states, `default_timeout` the usual timeout of clients of its use case; both in us."""
        version = self.version
        terms = version.terms(method, target, host, headers, use_case)
        timeout = terms.caller_timeout(stated_timeout)
        deadline = now + (default_timeout if timeout is None else timeout)
        if self._latest_deadline is not None:
            deadline = min(deadline, self._latest_deadline)
        admission = AdmittedTicket(version, terms, customer or UNNAMED_CUSTOMER, now, deadline)
        version.open_tickets += 1
        limits = self._limits_by_route.get(terms.name)
        if limits is None:
            return admission
        if limits.buckets is not None:
            retry_after = limits.buckets.take(admission.customer, now)
            if retry_after:
                return self._reject(
                    admission, limits, RATE, retry_after if retry_after > 0 else DEFAULT_RETRY_AFTER_US, now
                )
        if limits.gate is not None:
            admission.how, admission.waiting = limits.gate.enter(
                admission.customer, terms.priority, now, admission.until
            )
            admission.occupies_gate = admission.how == ADMITTED
            if admission.how in (FULL, TOO_LATE):
                return self._reject(
                    admission, limits, admission.how, max(DEFAULT_RETRY_AFTER_US, limits.gate.mean_service_time), now
                )
        return admission

    def _reject(
        self, admission: AdmittedTicket, limits: _RouteLimits, how: str, advice: int, now: int
    ) -> AdmittedTicket:
        admission.how, admission.advice = how, advice
        limits.rejected_count += 1
        if now - limits.logged_at >= LOG_INTERVAL_US:
            gate = limits.gate
            self._say(
                "limit exceeded",
                route=admission.terms.name,
                why=how,
                kept_out=limits.rejected_count,
                inside=gate.admitted_count if gate else 0,
                waiting=gate.waiting if gate else 0,
                limit=gate.limit if gate else 0,
            )
            limits.logged_at = now
        return admission

    def admission_decided(self, admission: AdmittedTicket, how: str, now: int) -> None:
        """Records the outcome for a queued ticket: ADMITTED, FULL or TOO_LATE."""
        admission.how = how
        admission.occupies_gate = how == ADMITTED
        admission.admitted_at = now
        if how != ADMITTED:
            limits = self._limits_by_route.get(admission.terms.name)
            if limits is not None:
                gate = limits.gate
                self._reject(
                    admission, limits, how, max(DEFAULT_RETRY_AFTER_US, gate.mean_service_time if gate else 0), now
                )

    def withdraw(self, admission: AdmittedTicket) -> None:
        """Removes a queued ticket from its gate's queue, for example because its client disconnected."""
        limits = self._limits_by_route.get(admission.terms.name)
        if admission.how == QUEUED and limits is not None and limits.gate is not None and admission.waiting is not None:
            limits.gate.withdraw(admission.waiting)

    def mean_service_time(self, admission: AdmittedTicket) -> int:
        """Mean service time of the tickets that its gate admits (us); 0 without a gate."""
        limits = self._limits_by_route.get(admission.terms.name)
        return limits.gate.mean_service_time if limits is not None and limits.gate is not None else 0

    def record_first_attempt(self, admission: AdmittedTicket, now: int) -> None:
        """Counts the ticket's first attempt toward the retry budget; later calls do nothing. The ticket's own list of
        attempts can't tell which is the first, because it includes attempts restored from the store."""
        if admission.attempted:
            return
        admission.attempted = True
        limits = self._limits_by_route.get(admission.terms.name)
        if limits is not None and limits.budget is not None:
            limits.budget.record_first_attempt(now)

    def retry_allowed(self, admission: AdmittedTicket, outcome: str, now: int) -> bool:
        """Whether the route's terms and its retry budget allow another attempt after one that ended with `outcome`."""
        if outcome == "done" or not admission.terms.may_retry_after(outcome):
            return False
        limits = self._limits_by_route.get(admission.terms.name)
        if limits is None or limits.budget is None or limits.budget.try_retry(now):
            return True
        limits.rejected_count += 1
        if now - limits.logged_at >= LOG_INTERVAL_US:
            self._say("limit exceeded", route=admission.terms.name, why="retry budget", kept_out=limits.rejected_count)
            limits.logged_at = now
        return False

    def refund_retry(self, admission: AdmittedTicket, outcome: str, now: int) -> None:
        """Returns the budget that `retry_allowed` took for a retry that was not made."""
        limits = self._limits_by_route.get(admission.terms.name)
        if limits is not None and limits.budget is not None and outcome != "done":
            limits.budget.refund_retry(now)

    def limit_deadlines(self, latest_deadline: int) -> None:
        """Caps the deadlines of queued and new tickets at `latest_deadline`; called when the proxy shuts down."""
        self._latest_deadline = latest_deadline
        for limits in self._limits_by_route.values():
            if limits.gate is not None:
                limits.gate.limit_deadlines(latest_deadline)

    def finish(self, admission: AdmittedTicket, outcome: str, is_latency_sample: bool, now: int) -> None:
        """Ends a ticket. `outcome` is done, bounced, scrapped, or left, which the error watch ignores;
        `is_latency_sample` says whether the ticket's duration is a valid sample of the backends' latency."""
        check_invariant(not admission.finished, "a ticket is finished only once")
        if admission.finished:
            return
        admission.finished = True
        self.withdraw(admission)
        limits = self._limits_by_route.get(admission.terms.name)
        if admission.occupies_gate and limits is not None and limits.gate is not None:
            limits.gate.release(admission.customer, now - admission.admitted_at, is_latency_sample, now)
        if outcome != "left":
            self.toll.add(admission.version.number, outcome, now - admission.arrived_at, now)
        version = admission.version
        version.open_tickets -= 1
        check_invariant(version.open_tickets >= 0, "a version's count of open tickets is never negative")
        if not version.open_tickets and version not in (self.version, self.confirmed):
            self.versions.pop(version.number, None)

    # --- the version in force -------------------------------------------------------------------------

    def _apply_limits(self, now: int) -> None:
        """Applies the limits and backend overrides of the current version."""
        own = self.version.read.own
        names = set()
        for route in own.routes:
            names.add(route.name)
            limits = self._limits_by_route.setdefault(route.name, _RouteLimits())
            if route.concurrency is None:
                # Admitted tickets still release the old gate; the new limit is too high to reject any.
                if limits.gate is not None:
                    limits.gate.change(Fixed(1 << 30), 1 << 30, own.weights, now)
            elif limits.gate is None:
                limits.gate = Gate(_create_limit(route.concurrency, None), route.concurrency.queue, own.weights)
            else:
                limits.gate.change(
                    _create_limit(route.concurrency, limits.gate), route.concurrency.queue, own.weights, now
                )
            if route.rate is None:
                limits.buckets = None
            elif limits.buckets is None:
                limits.buckets = Buckets(route.rate.per_customer, route.rate.burst)
            else:
                limits.buckets.change(route.rate.per_customer, route.rate.burst)
            budget = route.retry_budget
            if budget is None:
                limits.budget = None
            elif limits.budget is None:
                limits.budget = RetryBudget(budget.share, budget.floor, budget.span, now)
            else:
                limits.budget.change(budget.share, budget.floor)
        for name, limits in list(self._limits_by_route.items()):
            if name not in names:
                if limits.gate is not None and (limits.gate.admitted_count or limits.gate.waiting):
                    limits.gate.change(Fixed(1 << 30), 1 << 30, own.weights, now)
                    limits.buckets = limits.budget = None
                else:
                    del self._limits_by_route[name]
        self._override_endpoints(self.overlay.set_marks(self.version.marks))

    def _override_endpoints(self, changed: list[Endpoint]) -> None:
        """Passes on the endpoints whose effective state changed with the overrides, and logs them."""
        if not changed:
            return
        self._say(
            "endpoint overrides changed",
            version=self.version.number,
            drained=_names([endpoint.id for endpoint in changed if not endpoint.ready]),
            ready=_names([endpoint.id for endpoint in changed if endpoint.ready]),
        )
        self._update_endpoints(changed)

    def _enter(self, read: Read, now: int) -> Version:
        self._last_number += 1
        self.version = Version(self._last_number, read)
        self.versions[self._last_number] = self.version
        self._apply_limits(now)
        return self.version

    # --- changes ----------------------------------------------------------------------------------

    def propose(self, read: Read, who: str, why: str, now: int) -> Change:
        """Proposes a validated configuration. Raises TransactionError if it equals the one in force, or if another
        change is open and may not be waited for."""
        if read.digest == self.version.read.digest:
            raise TransactionError(f"{read.digest} is already in force")
        return self._propose(read.digest, read, who, why, now)

    def propose_drain(self, backend: str, on: bool, who: str, why: str, now: int) -> Change:
        """Proposes to drain a backend by hand, or to lift that (not `on`). Raises TransactionError if that is so already,
        for a backend that is not listed as ready, and where `propose` does."""
        proposal = self.drain_proposal(backend, on, who, why, now)
        return self._propose(proposal.name, proposal, who, why, now)

    def _propose(self, name: str, payload: Read | DrainProposal, who: str, why: str, now: int) -> Change:
        change = self.ledger.propose(name, payload, who, why, self.version.read.own.changes.wait, now)
        self._log_transition(change)
        return change

    def drain_proposal(self, backend: str, on: bool, who: str, why: str, now: int) -> DrainProposal:
        """A manual drain or its lift, on top of what is in force now. Raises TransactionError."""
        previous = self.manual_drains.get(backend)
        if previous.on == on:
            raise TransactionError(f"{backend} {'is' if on else 'was not'} drained by hand{' already' if on else ''}")
        if on and not any(entry.id == backend for entry in self.overlay.ready()):
            raise TransactionError(f"{backend} is no backend that is listed as ready")
        return DrainProposal(backend, self.manual_drains.next_command(backend, on, now, who, why), previous)

    def stage(self, change: Change, now: int) -> None:
        """Marks a change as ready to apply, once its preparations are done."""
        self._transition(change, STAGED, "the proxy", "checked", now)

    def apply(self, change: Change, now: int) -> None:
        """Puts a staged change into force: tickets that arrive from now on use it."""
        self._transition(change, APPLIED, "the proxy", "staged", now)
        if isinstance(change.what, DrainProposal):
            # A version of its own, so that the watch tells its tickets from those before.
            version = self._enter(self.version.read, now)
            self.merge_manual_drains({change.what.backend: change.what.command}, now)
        else:
            version = self._enter(change.what, now)
        own = version.read.own
        self.ledger.set_history_limit(own.changes.history)
        self.toll.start_comparison(version.number, own.changes.watch, now)
        for name in self.overlay.unlisted_marks(version.marks):
            self._say("override for a backend that discovery does not list as ready", id=name)

    def confirm(self, change: Change, who: str, why: str, now: int) -> None:
        self._transition(change, CONFIRMED, who, why, now)
        self.toll.stop_comparison()
        previous, self.confirmed = self.confirmed, self.version
        if not previous.open_tickets and previous is not self.version:
            self.versions.pop(previous.number, None)

    def undo(self, change: Change, who: str, why: str, now: int) -> None:
        """Abandons a change that is not applied yet, or rolls an applied one back to the last confirmed configuration.
        The rollback is a new version: tickets of the undone version finish under it, and none is sent again."""
        was_applied = change.state == APPLIED
        self._transition(change, UNDONE, who, why, now)
        if not was_applied:
            return
        self.toll.stop_comparison()
        undone_version = self.version
        self.confirmed = self._enter(self.confirmed.read, now)
        if isinstance(change.what, DrainProposal):
            self._undo_drain(change.what, now)
        for version in list(self.versions.values()):
            if version is not self.version and not version.open_tickets:
                del self.versions[version.number]
        check_invariant(undone_version is not self.version, "a rollback creates a new version")

    def _undo_drain(self, proposal: DrainProposal, now: int) -> None:
        """Replaces the command of an undone change by the one before it, unless there has been a later one."""
        if self.manual_drains.get(proposal.backend) == proposal.command:
            _, _, who, why = proposal.previous
            restored = self.manual_drains.next_command(proposal.backend, proposal.previous.on, now, who, why)
            self.merge_manual_drains({proposal.backend: restored}, now)

    @property
    def manual_drains(self) -> BackendCommands:
        """The drains that operators set by hand, and those that they lifted."""
        return self.overlay.manual_drains

    def merge_manual_drains(self, commands: Mapping[str, AdminCommand], now: int) -> None:
        """Puts manual drains and lifts into force, of which later ones win."""
        self._override_endpoints(self.overlay.merge_manual_drains(commands, now))
        self.manual_drains.forget_oldest_lifted(LIFTED_KEPT)

    def take_over_manual_drains(self, commands: Mapping[str, AdminCommand], now: int) -> bool:
        """Puts into force, and logs, manual drains and lifts that were stored or that another process of this proxy has.
        Returns whether any of them is new here."""
        before = dict(self.manual_drains.by_backend)
        self.merge_manual_drains(commands, now)
        for backend, command in self.manual_drains.by_backend.items():
            if command.on != before.get(backend, NEVER).on:
                event = "manual drain taken over" if command.on else "manual drain taken over as lifted"
                self._say(event, id=backend, who=command.who, why=command.why, since=command.at)
        return self.manual_drains.by_backend != before

    def _transition(self, change: Change, state: str, who: str, why: str, now: int) -> None:
        self.ledger.move(change, state, who, why, now)
        self._log_transition(change)

    def _log_transition(self, change: Change) -> None:
        step = change.steps[-1]
        self._say("change", number=change.number, name=change.name, state=step.state, who=step.who, why=step.why)

    def due(self, now: int) -> tuple[str, str] | None:
        """(CONFIRMED or UNDONE, reason) if the open change is to be decided now; None while it is still watched or no
        change is open."""
        change = self.ledger.open
        if change is None:
            return None
        proposed = self.version.read if isinstance(change.what, DrainProposal) else change.what
        proposed_settings = proposed.own.changes
        # The stricter of the confirmed and the proposed settings counts, so a change can't loosen its own watch.
        confirmed_settings = self.confirmed.read.own.changes
        harm = self.toll.find_harm(
            min(confirmed_settings.least, proposed_settings.least),
            min(confirmed_settings.errors, proposed_settings.errors),
            min(confirmed_settings.bounces, proposed_settings.bounces),
            min(confirmed_settings.latency, proposed_settings.latency),
        )
        confirm_automatically = proposed_settings.confirm == "by itself" and confirmed_settings.confirm == "by itself"
        return transaction_log.verdict(
            change, confirm_automatically, max(confirmed_settings.watch, proposed_settings.watch), harm, now
        )

    def sweep(self, now: int) -> None:
        for name, limits in list(self._limits_by_route.items()):
            if limits.gate is not None:
                limits.gate.sweep(now)
            if limits.buckets is not None:
                limits.buckets.sweep(now)
            if (
                limits.gate is not None
                and not limits.gate.admitted_count
                and not limits.gate.waiting
                and all(route.name != name for route in self.version.read.own.routes)
            ):
                del self._limits_by_route[name]

    def gates(self) -> list[dict[str, object]]:
        """Limits and counters by route, for the status page."""
        return [
            {
                "route": name,
                "inside": limits.gate.admitted_count if limits.gate else 0,
                "waiting": limits.gate.waiting if limits.gate else 0,
                "limit": limits.gate.limit if limits.gate else None,
                "customers": len(limits.buckets) if limits.buckets else 0,
                "kept_out": limits.rejected_count,
            }
            for name, limits in self._limits_by_route.items()
        ]


def _names(ids: list[str]) -> str:
    """The ids for a log line; the first MAX_NAMES_LOGGED of them."""
    more = f" and {len(ids) - MAX_NAMES_LOGGED} more" if len(ids) > MAX_NAMES_LOGGED else ""
    return " ".join(ids[:MAX_NAMES_LOGGED]) + more or "none"


def _create_limit(settings: Concurrency, gate: Gate | None) -> Gradient | Fixed:
    """Creates the route's limit; an existing adaptive limit keeps its current value."""
    if not settings.adaptive:
        return Fixed(settings.most)
    existing = gate.adaptive if gate is not None else None
    if existing is not None:
        existing.change(settings.least, settings.most, settings.tolerance)
        return existing
    return Gradient(settings.least, settings.most, settings.start, settings.tolerance)


__all__ = [
    "FULL",
    "ADMITTED",
    "TOO_LATE",
    "NO_LIMIT",
    "DEFAULT_TERMS",
    "AdmittedTicket",
    "RATE",
    "ActiveConfiguration",
    "QUEUED",
]
