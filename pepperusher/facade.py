"""The decisions for the code that owns the connections, as synchronous calls with plain values.

The types of the decision module stay internal; a ticket is an opaque handle for the code that holds it. Times are
whole microseconds of one monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from pepperusher import terms
from pepperusher.endpoint import Endpoint as Endpoint
from pepperusher.invariants import check_invariant
from pepperusher.policy import OPEN_DURATION_US, Balancer
from pepperusher.terms import Backend, PolicySettings, Listing, Ticket

# Next action for a ticket.
SEND, HOLD, BOUNCE, SCRAP, NOTHING = "send", "hold", "bounce", "scrap", "nothing"
# Outcomes of an attempt, by the names that callers and metrics use.
OUTCOMES = {
    "done": terms.DONE,
    "error": terms.ERROR,
    "full": terms.FULL,
    "timed out": terms.TIMED_OUT,
    "unreached": terms.UNREACHED,
    "reset": terms.RESET,
    "called off": terms.CALLED_OFF,
    "moot": terms.MOOT,
    "turned away": terms.MOOT,
    "unknown": terms.UNKNOWN,
}
# A trial that is paused does not become overdue.
PAUSED_TRIAL_TIMEOUT_US = 3600 * 1_000_000
# The delay between failed requests for the endpoint list is at most half of this. After discovery has recovered, a
# request can then be answered before a change takes effect 6 s later, even if discovery's full queue turned away the
# first request.
LIST_REQUEST_PERIOD_US = 5_000_000
# Whether a ticket may run again.
REPLAYABLE, REFERENCED, SINGLE_USE = "replayable", "referenced", "single-use"
RETRY_CLASS_NAMES = {terms.REPLAYABLE: REPLAYABLE, terms.REFERENCED: REFERENCED, terms.SINGLE_USE: SINGLE_USE}
STATE_NAMES = {terms.CLOSED: "closed", terms.OPEN: "open", terms.HALF_OPEN: "half-open"}
FINAL_ACTIONS = {terms.BOUNCE: BOUNCE, terms.SCRAP: SCRAP}


class Step(NamedTuple):
    """The next action: send to `backend` with timeout `wait`, hold for `wait`, or answer (`wait` is the retry-after, 0
    for none)."""

    action: str
    backend: str
    wait: int


NO_ACTION = Step(NOTHING, "", 0)


class Facade:
    """The balancing decisions of one proxy. Calls must not overlap."""

    def __init__(self, policy_settings: PolicySettings, now: int, log: Callable[[str], None]) -> None:
        self._adapt_list_settings(policy_settings)
        self._balancer = Balancer(policy_settings, now, log)
        self._apply_settings(policy_settings)
        self._proxy_count: int | None = None
        self._backends: dict[str, Backend] = {}  # by id; updates remove backends that have been unlisted long enough
        # By id, the time at which each was unlisted; removed likewise, or when it is listed again.
        self._unlisted: dict[str, int] = {}
        self._latest_deadline: int | None = None
        self._tickets: set[Ticket] = set()  # open tickets

    def _adapt_list_settings(self, policy_settings: PolicySettings) -> None:
        """Adapts the list settings to a proxy on sockets.

        Discovery never connects to a proxy, so the proxy has to request a watch, also where the settings say that the
        list is pushed. In that case a change is binding as soon as discovery knows it, so a lost watch is requested
        again within half of the drain period. Otherwise the settings allow more time, and all proxies request the list
        from the same discovery. A change always takes effect 6 s after discovery had it and was reachable, whatever
        the settings allow.
        """
        policy_settings.polls_list = True
        policy_settings.ask_within = (
            policy_settings.drain_within
            if policy_settings.list_is_pushed
            else min(policy_settings.ask_within, LIST_REQUEST_PERIOD_US)
        )

    def _apply_settings(self, policy_settings: PolicySettings) -> None:
        """Sets the parameters that depend only on the settings."""
        self._use_cases = {use_case.name: use_case for use_case in policy_settings.use_cases}
        self._customers = {customer.name: customer for customer in policy_settings.customers}
        self._max_attempts = policy_settings.most_attempts
        self._takes_load_reports = policy_settings.reported_by == terms.REPORTS_IN_RESPONSES
        # A backend that is off the list may be listed again under its id. Its breaker state is kept while it could
        # still be open for a ticket that is open now; keeping it longer would accumulate state if ids are never
        # reused.
        self._retention_us = OPEN_DURATION_US + policy_settings.max_outer_limit

    def reconfigure(self, policy_settings: PolicySettings, now: int) -> None:
        """Applies new settings as a whole.

        An open ticket keeps the use case under which it was accepted, and both the old and the new limit on its
        attempts apply. Learned state of use cases and customers that remain is kept.
        """
        self._adapt_list_settings(policy_settings)
        for ticket in self._tickets:
            ticket.max_attempts = min(ticket.max_attempts, self._max_attempts)
        for index, use_case in enumerate(policy_settings.use_cases):
            previous = self._use_cases.get(use_case.name)
            if previous is not None:
                for name in terms.LEARNED_FIELDS:
                    setattr(use_case, name, getattr(previous, name))
                if use_case.same_settings(previous):
                    policy_settings.use_cases[index] = previous
        for customer in policy_settings.customers:
            if (previous_customer := self._customers.get(customer.name)) is not None:
                customer.tokens, customer.tokens_updated_at, customer.demand = (
                    previous_customer.tokens,
                    previous_customer.tokens_updated_at,
                    previous_customer.demand,
                )
        self._balancer.reconfigure(policy_settings, now)
        self.set_proxy_count(self._proxy_count)
        self._apply_settings(policy_settings)

    def set_proxy_count(self, proxy_count: int | None) -> None:
        """Sets the number of proxies that share customer quotas and cold-start budgets; None uses the settings' group
        size.

        The subset of backends depends on the settings alone, since it would otherwise move whenever a proxy joins or
        leaves.
        """
        self._proxy_count = proxy_count
        if proxy_count is not None:
            self._balancer.proxy_count = max(1, proxy_count)

    # --- tickets ----------------------------------------------------------------------------------

    @property
    def open_tickets(self) -> int:
        """The number of open tickets."""
        return len(self._tickets)

    def retry_class_of(self, use_case: str) -> str | None:
        """Returns whether tickets of the use case may run again; None if the use case is unknown."""
        found = self._use_cases.get(use_case)
        return RETRY_CLASS_NAMES[found.retry_class] if found is not None else None

    def default_timeout_of(self, use_case: str) -> int:
        """Returns the timeout of a client that sends none."""
        return self._use_cases[use_case].outer_limit

    def open_ticket(self, use_case: str, customer: str, arrived_at: int, timeout: int | None, work_hint: int) -> Ticket:
        """Opens a ticket. `timeout` is the client's timeout, None if it sent none."""
        found = self._use_cases[use_case]
        deadline = arrived_at + (found.outer_limit if timeout is None else timeout)
        if self._latest_deadline is not None:
            deadline = min(deadline, self._latest_deadline)
        ticket = Ticket(found, self._customers.get(customer), arrived_at, deadline, work_hint)
        self._tickets.add(ticket)
        return ticket

    def choose_backend(self, ticket: Ticket, now: int) -> Step:
        """Returns the next action: the backend for the ticket's next attempt, or the answer if there is none."""
        answer = self._balancer.choose_backend(ticket, now)
        wait = self._balancer.wait_time(ticket, now)
        if isinstance(answer, Backend):
            return Step(SEND, answer.address, min(wait, ticket.deadline - now))
        if answer == terms.NOT_YET:
            return Step(HOLD, "", wait)
        return Step(FINAL_ACTIONS[answer], "", wait)

    def may_still_send(self, ticket: Ticket, now: int) -> bool:
        """Returns whether the attempt just picked may still be sent; the list may have changed or the client
        disconnected since."""
        attempt = ticket.attempts[-1]
        if ticket.finished or attempt.backend.address in self._unlisted or now - attempt.sent_at >= attempt.timeout:
            return False
        # While the connection was being set up, the deduplication window of an earlier attempt may have ended.
        repeated = self._repeated_attempt(ticket)
        return repeated is None or not 0 < ticket.use_case.deduplication_window <= now - repeated.sent_at

    def is_bound_repeat(self, ticket: Ticket) -> bool:
        """Returns whether the attempt just picked repeats one that may have run, and so has to reach the deduplication group
        of that one."""
        return ticket.use_case.scope != terms.SCOPE_ALL and self._repeated_attempt(ticket) is not None

    @staticmethod
    def _repeated_attempt(ticket: Ticket) -> terms.Attempt | None:
        """Returns the first attempt before the present one that may have run, or None if it doesn't matter whether it did."""
        if ticket.use_case.retry_class == terms.REPLAYABLE:
            return None
        return next((earlier for earlier in ticket.attempts[:-1] if earlier.outcome not in terms.NEVER_RAN), None)

    def remaining(self, ticket: Ticket, now: int) -> int:
        """Returns the time until the ticket's deadline, negative once it has passed. The time is frozen while an
        attempt is paused."""
        paused_at = ticket.attempts[-1].paused_at if ticket.attempts else None
        return ticket.deadline - (now if paused_at is None else paused_at)

    def restore_attempt(self, ticket: Ticket, backend: str, cell: int, sent_at: int, may_have_run: bool) -> None:
        """Restores an attempt that was sent under the same idempotency key before this ticket was opened, so that the
        retry rules apply to the key. `may_have_run` is false if it is known never to have run. Must be called before
        the first `choose_backend`."""
        # The backend may be off the list, and its id may stand for another process by now; its deduplication group may
        # still exist.
        attempt = terms.Attempt(ticket, self._backends.get(backend) or Backend(backend), sent_at, 0, False)
        attempt.cell = cell
        attempt.outcome = terms.UNKNOWN if may_have_run else terms.FULL
        ticket.attempts.append(attempt)

    def cell_of(self, backend: str) -> int:
        """Returns the cell of a backend; 0 if it is unknown."""
        known = self._backends.get(backend)
        return known.cell if known is not None else 0

    def deduplication_window_of(self, use_case: str) -> int:
        """Returns the deduplication window, at least as long as a client of the use case waits."""
        found = self._use_cases[use_case]
        return max(found.deduplication_window, found.outer_limit)

    def limit_attempts(self, ticket: Ticket, max_attempts: int) -> None:
        """Limits the ticket to `max_attempts` attempts if the settings do not limit it further."""
        ticket.max_attempts = max(1, min(ticket.max_attempts, max_attempts))

    def pause_attempt(self, ticket: Ticket, now: int) -> None:
        """Excludes the attempt from the backend's calls in flight, latency and breaker until `resume_attempt` or
        `report` is called.

        Used while the request body is still being received or the response is being forwarded: a slow client says
        nothing about the backend.
        """
        attempt = ticket.attempts[-1]
        if attempt.paused_at is None and attempt.outcome is None:
            attempt.paused_at = now
            attempt.backend.in_flight -= 1
            if attempt.is_trial and attempt.generation == attempt.backend.generation:
                attempt.backend.trial_deadline = now + PAUSED_TRIAL_TIMEOUT_US

    def resume_attempt(self, ticket: Ticket, now: int) -> None:
        """Counts the attempt again: the request is written, and the ticket's and the attempt's times continue from
        `now` on, which may lie in the past."""
        self._resume(ticket.attempts[-1], now)

    @staticmethod
    def _resume(attempt: terms.Attempt, now: int) -> None:
        """Ends the pause of an attempt and shifts its times and the ticket's by the length of the pause."""
        if attempt.paused_at is None:
            return
        ticket, paused_for = attempt.ticket, max(0, now - attempt.paused_at)
        attempt.paused_at = None
        attempt.backend.in_flight += 1
        attempt.sent_at += paused_for
        ticket.arrived_at += paused_for
        ticket.deadline += paused_for
        if attempt.is_trial and attempt.generation == attempt.backend.generation:
            attempt.backend.trial_deadline = attempt.sent_at + attempt.timeout

    def response_started(self, ticket: Ticket, now: int) -> None:
        """The response is being forwarded to the client, so no other attempt can answer the ticket any more."""
        self._balancer.response_started(ticket.attempts[-1])
        self.pause_attempt(ticket, now)

    def report(self, ticket: Ticket, outcome: str, now: int, may_retry: bool = True) -> Step:
        """Records how the current attempt ended and returns the next action. `may_retry` is False if it must be the
        last attempt."""
        attempt = ticket.attempts[-1]
        check_invariant(attempt.outcome is None, "an attempt ends once")
        if attempt.outcome is not None:
            return NO_ACTION
        self._resume(attempt, now)
        if not may_retry:
            ticket.max_attempts = min(ticket.max_attempts, len(ticket.attempts))
        answer = self._balancer.attempt_ended(attempt, OUTCOMES[outcome], outcome == "done", now)
        check_invariant(attempt.backend.in_flight >= 0, "calls in flight are never negative")
        if answer == terms.AGAIN:
            return self.choose_backend(ticket, now)
        if answer == terms.NOTHING:
            return NO_ACTION
        return Step(FINAL_ACTIONS[answer], "", self._balancer.wait_time(ticket, now))

    def may_retry(self, ticket: Ticket, at: int) -> bool:
        """Returns whether another attempt could follow if the one in flight failed at that time."""
        return self._balancer.may_retry(ticket, at)

    def caller_disconnected(self, ticket: Ticket, now: int) -> bool:
        """The client has disconnected. Returns whether the attempt in flight is to be cancelled."""
        if ticket.finished:
            return False
        self._balancer.caller_disconnected(ticket)
        return self._balancer.wait_time(ticket, now) == 0

    def close_ticket(self, ticket: Ticket, now: int) -> None:
        """Closes the ticket, whatever its outcome; attempts that are still in flight end as unknown."""
        for attempt in ticket.attempts:
            if attempt.outcome is None:
                self._resume(attempt, now)
                self._balancer.attempt_ended(attempt, terms.UNKNOWN, True, now)
        ticket.finished = True
        # Each attempt refers to its ticket; without this they would stay until the next cycle collection.
        ticket.attempts.clear()
        check_invariant(ticket in self._tickets, "a ticket is closed once")
        self._tickets.discard(ticket)

    def limit_deadlines(self, latest_deadline: int) -> None:
        """Limits the deadlines of all open and future tickets to `latest_deadline`, because the proxy is about to
        stop."""
        self._latest_deadline = latest_deadline
        for ticket in self._tickets:
            ticket.deadline = min(ticket.deadline, latest_deadline)

    # --- endpoint list ----------------------------------------------------------------------------

    def update_endpoints(self, endpoints: Iterable[Endpoint], whole: bool, now: int) -> None:
        """Applies an endpoint update; `whole` is set for a full list, which replaces all endpoints."""
        listings = []
        seen = set()
        for endpoint in endpoints:
            backend = self._backends.get(endpoint.id)
            if backend is None:
                backend = self._backends[endpoint.id] = Backend(endpoint.id)
            seen.add(endpoint.id)
            if endpoint.ready:
                self._unlisted.pop(endpoint.id, None)
            else:
                self._unlisted.setdefault(endpoint.id, now)
            listings.append(
                Listing(
                    backend,
                    endpoint.zone,
                    endpoint.cell,
                    endpoint.weight,
                    endpoint.started_at,
                    endpoint.ready,
                    endpoint.kind,
                    endpoint.gone,
                )
            )
        if whole:
            for backend_id in self._backends:
                if backend_id not in seen:
                    self._unlisted.setdefault(backend_id, now)
        # Done here rather than in `endpoint_request_delay`, which is not called while a watch is alive, possibly for
        # weeks.
        for backend_id, since in list(self._unlisted.items()):
            if now - since >= self._retention_us and not self._backends[backend_id].in_flight:
                del self._unlisted[backend_id], self._backends[backend_id]
        self._balancer.update_endpoints(listings, whole, now)

    def export_learned(self, now: int) -> dict[str, object]:
        """Returns the learned state as plain values, for `import_learned` in another process of the same proxy."""
        open_for = {
            name: max(0, backend.open_until - now) if backend.state == terms.OPEN else 0
            for name, backend in self._backends.items()
            if backend.state != terms.CLOSED
        }
        latencies = {
            name: [use_case.mean_latency, use_case.latency_deviation]
            for name, use_case in self._use_cases.items()
            if use_case.mean_latency
        }
        return {"open_for": open_for, "times": latencies, "flow": list(self._balancer.export_learned(now))}

    def import_learned(self, learned: Mapping[str, object], now: int) -> None:
        """Imports the result of `export_learned`. Raises ValueError if the input is malformed; nothing is imported
        then."""

        def parse_number(value: object) -> int:
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e12:
                raise ValueError(f"{value!r} is not a valid number")
            return round(value)

        try:
            open_for = {
                name: min(parse_number(open_us), OPEN_DURATION_US)
                for name, open_us in dict(learned["open_for"]).items()
            }
            latencies = {
                name: (parse_number(mean), parse_number(deviation))
                for name, (mean, deviation) in dict(learned["times"]).items()
            }
            mean, completion_rate, unit_rate = map(parse_number, learned["flow"])
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        for name, open_us in open_for.items():
            if (backend := self._backends.get(name)) is not None:
                backend.state, backend.open_until = terms.OPEN, now + open_us
        for name, (mean_latency, deviation) in latencies.items():
            if (use_case := self._use_cases.get(name)) is not None:
                use_case.mean_latency, use_case.latency_deviation = mean_latency, deviation
        self._balancer.import_learned(mean, completion_rate, unit_rate, now)

    def record_load_report(self, backend: str, load: Mapping[int, float], now: int) -> None:
        """Records a load report from a response. Ignored if the settings name no such reports or the backend is
        unknown."""
        known = self._backends.get(backend)
        if known is not None and self._takes_load_reports:
            self._balancer.record_load_report(known, load, now)

    def has_backend(self, backend: str) -> bool:
        """Returns whether the backend is listed, or was until a short time ago."""
        return backend in self._backends

    def backends(self) -> list[dict[str, object]]:
        """Describes all known backends in plain values, for the console."""
        return [
            {
                "id": name,
                "state": STATE_NAMES[backend.state],
                "ready": name not in self._unlisted,
                "weight": backend.weight,
                "zone": backend.zone,
                "cell": backend.cell,
                "in_flight": backend.in_flight,
                "failed": backend.failures,
                "of": len(backend.results),
                "run_failed": backend.consecutive_failures,
                "open_until": backend.open_until,
            }
            for name, backend in self._backends.items()
        ]

    def tickets(self, now: int) -> list[dict[str, object]]:
        """Describes the open tickets, the oldest first."""
        return [
            {
                "use_case": ticket.use_case.name,
                "customer": ticket.customer.name if ticket.customer else "",
                "age_ms": (now - ticket.arrived_at) // 1000,
                "left_ms": (ticket.deadline - now) // 1000,
                "attempts": len(ticket.attempts),
                "at": next((attempt.backend.address for attempt in ticket.attempts if attempt.outcome is None), ""),
            }
            for ticket in sorted(self._tickets, key=lambda ticket: ticket.arrived_at)
        ]

    def endpoint_request_failed(self, now: int) -> None:
        """Reports that a request for the endpoint list has failed or that the watch has ended."""
        self._balancer.endpoint_request_failed(now)

    def endpoint_request_delay(self, now: int) -> int:
        """Returns the delay until the list is to be requested: 0 means now and counts as a request, -1 that none is
        due."""
        return self._balancer.wait_time(None, now)
