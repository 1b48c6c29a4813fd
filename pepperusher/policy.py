"""The balancing decisions of one proxy: endpoint selection, admission, timeouts, retries and circuit breaking.

The code that uses a Balancer keeps the tickets and the timers. It asks for three things:

    choose_backend(ticket, now)                   a Backend to send to, or NOT_YET, BOUNCE or SCRAP
    attempt_ended(attempt, outcome, final, now)   what follows: AGAIN (call choose_backend), BOUNCE, SCRAP or NOTHING
    wait_time(ticket, now)                        the timeout of the attempt just placed, the delay before
                                                  choose_backend is called again, or the retry-after of a bounce;
                                                  for None, the delay before the endpoint list is requested

and reports events with update_endpoints(), endpoint_request_failed(), record_load_report(), response_started() and
caller_disconnected(). The interface is described in docs/interface.md, the design and each departure from it in
docs/design.md. Times are whole microseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from itertools import takewhile
from math import exp, sqrt
from operator import attrgetter
from random import Random

from pepperusher.terms import (
    AGAIN,
    BOUNCE,
    CALLED_OFF,
    CLOSED,
    DONE,
    ERROR,
    FULL,
    HALF_OPEN,
    LOAD_ACTIVE,
    MOOT,
    NEVER_RAN,
    NOTHING,
    OPEN,
    REFERENCED,
    REPLAYABLE,
    SCOPE_ALL,
    SCOPE_CELL,
    SCOPE_ZONE,
    SCRAP,
    SINGLE_USE,
    TIMED_OUT,
    LOAD_WAITING,
    Attempt,
    Backend,
    Customer,
    PolicySettings,
    Listing,
    Locality,
    Ticket,
    UseCase,
)

SECOND = 1_000_000  # us
# Circuit breaker thresholds; docs/design.md describes the alternatives that were tried.
BREAKER_WINDOW = 20
CONSECUTIVE_FAILURES = 5
SUCCESSES_TO_CLOSE = 3
MAX_TRIALS = 1
OPEN_DURATION_US = 5 * SECOND
# A use case that fails this many times in a row at a backend where other use cases succeed avoids it for
# OPEN_DURATION_US.
USE_CASE_CONSECUTIVE_FAILURES = 2
# The completion rate is averaged over about this time, or longer if it has fewer completions than this.
RATE_SPAN_US = SECOND // 3
MIN_RATE_SAMPLES = 8
# Minimum burst of a customer's quota at one proxy, since several tickets may arrive at once by chance.
MIN_QUOTA_BURST = 4.0
DEMAND_SPAN_US = 4 * SECOND  # time constant for the average demand of the customers
# Retry budget for tickets that may have run: the share of accepted tickets added to it, and its maximum.
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_MAX = 10.0
# Each proxy uses a subset of the endpoints: at least MIN_BACKENDS_PER_PROXY, to have a choice, and so large that about
# PROXIES_PER_BACKEND proxies use each backend.
PROXIES_PER_BACKEND = 10
MIN_BACKENDS_PER_PROXY = 4
# The subset of a zone keeps at least this part of its width even where the zone receives few calls or only those that
# other zones refuse, so that the proxy still observes it.
MIN_SUBSET_SHARE = 0.25
# Minimum weight of the newest sample in the smoothed number of attempts in flight at a backend.
MIN_SMOOTHING = 1 / 16
# Load reports older than this are ignored. A reported load is compared with at least this many calls.
LOAD_REPORT_MAX_AGE_US = 2 * SECOND
MIN_REPORTED_LOAD = 4.0
# Ring positions that are multiples of the golden ratio are evenly distributed for any number of proxies.
GOLDEN_RATIO = (sqrt(5) - 1) / 2


class Balancer:
    """The balancing decisions of one proxy, with the state they are based on."""

    def __init__(self, policy_settings: PolicySettings, now: int, log: Callable[[str], None]) -> None:
        self._random, self._log = Random(policy_settings.seed).random, log
        self._apply_settings(policy_settings)
        self._mean_latency, self._consecutive_lost, self._list_unavailable = 0, 0, False
        self._polls_list, self._list_requested = policy_settings.polls_list, not policy_settings.polls_list
        # Current backoff and time of the next request for the endpoint list.
        self._list_backoff, self._list_request_at = 0, now
        self._backends: list[Backend] = []  # the ready backends; replaced by endpoint updates
        # By zone, with this proxy's own zone first. Endpoint updates remove all other zones that have no backends.
        self._localities = {self._own_zone: Locality(now, RATE_SPAN_US, RATE_SPAN_US // MIN_RATE_SAMPLES)}
        self._cold_backends: list[Backend] = []  # cold backends; each is removed at the end of its warm-up
        self._started_at, self._retry_budget, self._demand_updated_at = now, RETRY_BUDGET_MAX, now

    def _apply_settings(self, policy_settings: PolicySettings) -> None:
        """Sets the parameters that depend only on the settings."""
        # In a pool each proxy enforces an even share of a customer's quota. Sidecar proxies do not, since the
        # distribution of a customer's traffic over the client processes is unknown.
        self._is_sidecar, self._splits_quota = (
            policy_settings.is_sidecar,
            policy_settings.tier_index == 0 and not policy_settings.is_sidecar,
        )
        self._first_tier, self._forwards_deadline = policy_settings.tier_index == 0, policy_settings.forwards_deadline
        self._importance_by_work, self._last_tier = policy_settings.importance_by_work, policy_settings.last_tier
        self._max_attempts, self._cancel_allowed = policy_settings.most_attempts, policy_settings.cancel_allowed
        self._max_retry_after = policy_settings.max_retry_after if policy_settings.retry_after_allowed else 0
        self._zone_count, self._own_zone = (
            len(policy_settings.zones),
            policy_settings.zone if len(policy_settings.zones) > 1 else "",
        )
        self._customers = policy_settings.customers
        self._use_cases = [
            use_case
            for use_case in policy_settings.use_cases
            if use_case.latency_target > 0 and use_case.importance > 0
        ]
        self._group_size = self.proxy_count = max(1, policy_settings.group_size)
        self._cold_share, self._warm_after = policy_settings.cold_share, max(1, policy_settings.warm_after)
        # Uses half of the permitted multiple; the other half is reserved for the calls of other proxies and for
        # variance.
        self._cold_rate_multiple = policy_settings.tip_multiple / 2
        self._min_cold_rate = SECOND / max(1, policy_settings.overload_for)
        self._max_ask_step = policy_settings.ask_within // 2 or SECOND
        self._ring_position = policy_settings.proxy_index * GOLDEN_RATIO % 1.0

    def reconfigure(self, policy_settings: PolicySettings, now: int) -> None:
        """Applies new settings. Use cases that stay are the same objects, so their learned state is kept."""
        self._apply_settings(policy_settings)
        for backend in self._backends:
            for use_case_table in (backend.use_case_failures, backend.avoided_until):
                for use_case in [use_case for use_case in use_case_table if use_case not in policy_settings.use_cases]:
                    del use_case_table[use_case]
        self._update_localities(now)

    # --- endpoint selection ------------------------------------------------------------------------

    def choose_backend(self, ticket: Ticket, now: int) -> Backend | int:
        """Returns the backend for the ticket's next attempt and counts the attempt, or returns BOUNCE or SCRAP."""
        if (
            ticket.finished
            or ticket.deadline <= now
            or len(ticket.attempts) >= min(self._max_attempts, ticket.max_attempts)
        ):
            return self._refuse(ticket, now)
        is_first, use_case = not ticket.attempts, ticket.use_case
        use_case.mean_work += (
            (int(ticket.work_hint) - use_case.mean_work) // 16 if use_case.mean_work else int(ticket.work_hint)
        )
        self._cold_backends = self._cold_backends and self._update_cold_backends(self._cold_backends, now)
        bound_by = None if is_first else self._binding_attempt(ticket)
        if bound_by is not None and now - bound_by.sent_at >= use_case.deduplication_window > 0:
            return self._refuse(ticket, now)
        # A retry of an attempt that may have run stays within its deduplication group, and so within that group's
        # zone.
        is_bound = bound_by is not None and use_case.scope != SCOPE_ALL
        localities = [self._locality_of(bound_by.backend)] if is_bound else self._locality_order()
        # The prediction applies to retries too: backends that are already overloaded must not receive them.
        within_quota = not is_first or self._take_quota(ticket, now)
        refused = False
        for locality in localities:
            candidates, in_flight, backend_count = self._eligible_backends(locality, use_case, now)
            if not candidates:
                continue
            if self._predicted_in_time(ticket, locality, within_quota, in_flight, backend_count, now):
                break
            # If the prediction refuses the zone, a first attempt within quota may still go to a cold backend whose
            # load is below the mean. Otherwise overload of the warm backends would leave the cold ones idle. Retries
            # are excluded.
            candidates = [
                b
                for b in candidates
                if is_first and within_quota and b.is_cold and b.mean_in_flight < locality.mean_load * b.load_scale
            ]
            if candidates:
                break
            refused = True
        else:
            if refused:
                return self._refuse(ticket, now)
            candidates = []
        if is_first:
            self._retry_budget = min(RETRY_BUDGET_MAX, self._retry_budget + RETRY_BUDGET_RATIO)
        if bound_by is not None:
            candidates = [
                b
                for b in self._backends
                if _same_deduplication_group(bound_by, b, use_case.scope)
                and _placement_allows(use_case, b)
                and (b.state == CLOSED or self._breaker_admits(b, now))
                and self._has_capacity(b, now)
            ]
        tried = [attempt.backend for attempt in ticket.attempts]
        candidates = [b for b in candidates if b not in tried] or candidates
        if ticket.work_hint and self._first_tier and self._last_tier:
            # Avoids backends that are too slow for a heavy ticket; list weights do not reflect the speed of a
            # backend's cores.
            candidates = [
                b for b in candidates if b.time_per_work * ticket.work_hint < use_case.latency_target
            ] or candidates
        chosen = self._pick_by_weight(candidates, now) or self._last_resort(ticket, bound_by, now)
        if chosen is None:
            return self._refuse(ticket, now)
        self._start_attempt(ticket, chosen, now)
        return chosen

    def _locality_order(self) -> list[Locality]:
        """Returns the zones in the order in which this ticket tries them; each comes first for its share of the
        tickets."""
        localities = list(self._localities.values())
        remaining = self._random() if len(localities) > 1 else 0.0
        first = next(
            (locality for locality in localities if (remaining := remaining - locality.traffic_share) < 0.0), None
        )
        return sorted(localities, key=lambda locality: locality is not first)

    def _eligible_backends(self, locality: Locality, use_case: UseCase, now: int) -> tuple[list[Backend], int, int]:
        """Returns the eligible backends of one zone, the attempts in flight there and the number of backends that the
        prediction counts."""
        eligible: list[Backend] = []
        avoided: list[Backend] = []
        is_restricted = use_case.zones is not None or use_case.kinds is not None
        in_flight = backend_count = 0
        total_in_flight = total_scale = available_weight = 0.0
        # With less than one attempt in flight per backend the load is averaged over many tickets: a single sample
        # would show a slow backend as empty as the others.
        smoothing = min(1.0, max(MIN_SMOOTHING, locality.mean_load))
        for backend in locality.ring:
            # Looks past the end of the subset while less than half of its weight is available, and for use cases that
            # may run at some backends only.
            outside_subset = not backend.in_subset and 2 * available_weight >= locality.subset_weight
            if outside_subset and not is_restricted:
                break
            if backend.state != CLOSED and not self._breaker_admits(backend, now):
                continue
            in_flight += 0 if outside_subset else backend.in_flight
            if not self._has_capacity(backend, now):
                continue
            may_run = not is_restricted or _placement_allows(use_case, backend)
            if may_run and now < backend.avoided_until.get(use_case, 0):
                avoided.append(backend)
                continue
            if not outside_subset:
                # The prediction is based on the completion rate of all use cases, so it also counts backends where
                # this use case may not run.
                backend_count += 1
                available_weight += backend.effective_weight
            if not may_run:
                continue
            backend.mean_in_flight += (backend.in_flight - backend.mean_in_flight) * smoothing
            total_in_flight, total_scale = total_in_flight + backend.mean_in_flight, total_scale + backend.load_scale
            eligible.append(backend)
        if not is_restricted:
            locality.mean_load = total_in_flight / total_scale if total_scale else 0.0
            self._resize_subset(locality, now)
        return eligible or avoided, in_flight, backend_count

    def _resize_subset(self, locality: Locality, now: int) -> None:
        """Doubles the subset while it holds more than one attempt per backend; halves it again below a quarter of
        that.

        Some sidecar proxies carry far more traffic than most, and one of them could overload a subset of the usual
        size on its own.
        """
        grow = locality.mean_load > 1.0 and not locality.ring[-1].in_subset
        if self._is_sidecar and (grow or locality.mean_load < 0.25 and locality.subset_scale > 1.0):
            locality.subset_scale *= 2.0 if grow else 0.5
            self._update_localities(now)

    def _has_capacity(self, backend: Backend, now: int) -> bool:
        """Returns whether the backend may receive one more call, by its last FULL outcome and its slow-start budget."""
        below_limit = now >= backend.full_until or backend.in_flight < backend.full_in_flight
        return below_limit and (not backend.is_cold or backend.in_subset and self._within_cold_budget(backend, now))

    @staticmethod
    def _pick_by_weight(candidates: list[Backend], now: int) -> Backend | None:
        """Picks by smooth weighted round robin, skipping backends that hold more than their share of the mean load."""
        # The mean covers the eligible backends only. Compared with the mean of all backends, a busy cell could have no
        # backend below it.
        mean = sum(b.mean_in_flight for b in candidates) / (sum(b.load_scale for b in candidates) or 1.0)
        underloaded = [b for b in candidates if b.mean_in_flight <= 1.1 * mean * b.load_scale + 0.01]
        # Reported loads include the calls of all proxies. Their relative deviation from the reported mean is added to
        # the relative load that this proxy causes itself.
        if reporting := [b for b in candidates if now < b.reported_at + LOAD_REPORT_MAX_AGE_US]:
            mean_reported = sum(b.reported_load for b in reporting) / sum(b.weight for b in reporting)
            excess = {
                b: (b.reported_load - mean_reported * b.weight) / (mean_reported * b.weight + MIN_REPORTED_LOAD)
                for b in reporting
            }
            underloaded = [
                b for b in candidates if b.mean_in_flight / (mean * b.load_scale + 0.01) + excess.get(b, 0.0) <= 1.1
            ] or underloaded
        best, total_weight = None, 0.0
        for backend in underloaded:
            total_weight += backend.effective_weight
            backend.current_weight += backend.effective_weight
            if best is None or backend.current_weight > best.current_weight:
                best = backend
        if best is not None:
            best.current_weight -= total_weight
        return best

    def _last_resort(self, ticket: Ticket, bound_by: Attempt | None, now: int) -> Backend | None:
        """Sends a trial to the open backend whose open period ends first; used when no breaker admits an attempt."""
        use_case = ticket.use_case
        candidates = [
            b
            for b in self._backends
            if b.state == OPEN
            and self._has_capacity(b, now)
            and _placement_allows(use_case, b)
            and (bound_by is None or _same_deduplication_group(bound_by, b, use_case.scope))
        ]
        best = min(candidates, key=attrgetter("open_until"), default=None)
        if best is not None:
            self._set_state(best, HALF_OPEN, now)
        return best

    def _start_attempt(self, ticket: Ticket, backend: Backend, now: int) -> None:
        """Adds an attempt to the ticket and counts it at the backend."""
        attempt = Attempt(ticket, backend, now, self._attempt_timeout(ticket, now), backend.state == HALF_OPEN)
        ticket.attempts.append(attempt)
        backend.in_flight += 1
        if ticket.use_case in backend.avoided_until:
            backend.avoided_until[ticket.use_case] = now + attempt.timeout
        if attempt.is_trial:
            backend.trials_in_flight += 1
            backend.trial_deadline = now + attempt.timeout
        if backend.is_cold:
            backend.tokens -= 1.0

    def _predicted_in_time(
        self, ticket: Ticket, locality: Locality, within_quota: bool, in_flight: int, backend_count: int, now: int
    ) -> bool:
        """Admission control, required by the operators: returns whether the ticket is predicted to finish in time.

        The attempts in flight divided by the completion rate give the current mean latency (Little's law); the latency
        of each use case is assumed to grow in the same proportion. The use case closest to its promised time sets the
        pressure for all, and tickets with the least importance per unit of time are refused first, so that a short
        promised time alone does not starve a use case.
        """
        use_case = ticket.use_case
        # Averaged over a few tickets, because with one or two in flight a single sample is mostly noise.
        locality.mean_in_flight += (in_flight - locality.mean_in_flight) / MIN_RATE_SAMPLES
        # Always admits while only a few calls per backend are in flight over all proxies that share it, so that a
        # stale prediction cannot block this proxy. The random term rounds allowances of less than one call per proxy.
        # The allowance is three times as large while no latency is known, but not unlimited: a burst right after the
        # start overloads backends for a long time.
        always_admitted = 4 if self._mean_latency else 12
        # If at least half of the backends report their load, the median is used: one slow backend is not an overload,
        # and one false report has no effect.
        reported_loads = sorted(
            b.reported_load
            for b in takewhile(attrgetter("in_subset"), locality.ring)
            if now < b.reported_at + LOAD_REPORT_MAX_AGE_US
        )
        if 2 * len(reported_loads) >= backend_count > 0:
            if 1.5 * reported_loads[len(reported_loads) // 2] <= always_admitted:
                return True
        elif (in_flight + self._random()) * locality.sharing_proxies <= always_admitted * backend_count:
            return True
        if not self._mean_latency or not use_case.mean_latency:
            return bool(self._mean_latency)
        completion_rate = self._current_completion_rate(locality, now)
        # Adds half a call to both sides, because with about one call in flight the quotient is mostly noise.
        slowdown = (locality.mean_in_flight + 0.5) / (completion_rate * self._mean_latency / SECOND + 0.5)
        if not self._first_tier:
            return slowdown * use_case.mean_latency < ticket.deadline - now
        pressure = max(
            ((other.mean_latency + other.latency_deviation) / other.latency_target for other in self._use_cases),
            default=0.0,
        )
        max_rate = max((self._importance_rate(other) for other in self._use_cases if other.mean_latency), default=1.0)
        max_pressure = 0.8 + 0.4 * self._importance_rate(use_case) / max_rate
        if not within_quota:
            max_pressure /= 2
        # Tickets whose work alone takes a large part of the promised time are no sign of overload.
        max_pressure *= max(
            1.0, 4 * max((other.mean_work / other.latency_target for other in self._use_cases), default=0.0)
        )
        # A ticket that would miss its own promised time is refused even if the other use cases are under little
        # pressure.
        return (
            pressure * slowdown < max_pressure
            and slowdown * (use_case.mean_latency + use_case.latency_deviation) <= use_case.latency_target
            and slowdown * use_case.mean_latency < ticket.deadline - now
        )

    def _importance_rate(self, use_case: UseCase) -> float:
        """Returns the importance per unit of time. Importance that is counted by work already includes the time."""
        return use_case.importance if self._importance_by_work else use_case.importance / use_case.mean_latency

    def _take_quota(self, ticket: Ticket, now: int) -> bool:
        """Takes a token of the customer's quota; returns whether the ticket is within the quota."""
        customer = ticket.customer
        if customer is None or not self._splits_quota:
            return True
        rate = customer.rate / self.proxy_count * self._quota_factor(customer, now)
        customer.tokens += rate * (now - customer.tokens_updated_at) / SECOND
        customer.tokens, customer.tokens_updated_at = min(max(rate, MIN_QUOTA_BURST), customer.tokens), now
        if customer.tokens < 1.0:
            return False
        customer.tokens -= 1.0
        return True

    def _quota_factor(self, customer: Customer, now: int) -> float:
        """Returns the factor by which the customer's even share of its quota is raised at this proxy: how many times
        their own even shares the other customers request here.

        Without it a proxy with several times the mean traffic saw every ticket as beyond its customer's share and
        bounced half of them.
        """
        decay, self._demand_updated_at = exp((self._demand_updated_at - now) / DEMAND_SPAN_US), now
        for other in self._customers:
            other.demand *= decay
        span_s = DEMAND_SPAN_US / SECOND * (1.0 - exp((self._started_at - now) / DEMAND_SPAN_US))
        even_demand = sum(other.rate for other in self._customers if other is not customer) / self.proxy_count * span_s
        other_demand = sum(other.demand for other in self._customers if other is not customer)
        customer.demand += 1.0
        # In a small pool each proxy gets about its even share, so demand above all shares means overload.
        return (
            max(1.0, other_demand / even_demand)
            if self.proxy_count > PROXIES_PER_BACKEND and even_demand > 0.0
            else 1.0
        )

    # --- outcomes ----------------------------------------------------------------------------------

    def attempt_ended(self, attempt: Attempt, outcome: int, final: bool, now: int) -> int:
        """Records the outcome of an attempt; `final` is set if the ticket is finished with it. Returns AGAIN, BOUNCE,
        SCRAP or NOTHING."""
        ticket = attempt.ticket
        attempt.outcome = outcome
        self._record_outcome(attempt, outcome, now)
        ticket.finished = ticket.finished or final
        if ticket.finished or any(other.outcome is None for other in ticket.attempts):
            return NOTHING
        if outcome == MOOT or not self._may_retry(ticket, now):
            return self._refuse(ticket, now)
        if outcome not in NEVER_RAN:
            # Retries amplify an overload, so they are limited to a fraction of the accepted tickets.
            if self._retry_budget < 1.0:
                return self._refuse(ticket, now)
            self._retry_budget -= 1.0
        return AGAIN

    def may_retry(self, ticket: Ticket, at: int) -> bool:
        """Returns whether another attempt could follow if the one in flight failed at that time and may have run."""
        return self._retry_budget >= 1.0 and self._may_retry(ticket, at)

    def _may_retry(self, ticket: Ticket, now: int) -> bool:
        """Returns whether time, the limit on attempts and the retry class allow another attempt."""
        use_case, remaining = ticket.use_case, self._useful_deadline(ticket) - now
        if (
            remaining < use_case.mean_latency // 2
            or remaining <= 0
            or len(ticket.attempts) >= min(self._max_attempts, ticket.max_attempts)
        ):
            return False
        return use_case.retry_class != SINGLE_USE or self._binding_attempt(ticket) is None

    def _record_outcome(self, attempt: Attempt, outcome: int, now: int) -> None:
        """Updates latency, completion rate and breaker with the outcome of an attempt."""
        backend, use_case = attempt.backend, attempt.ticket.use_case
        backend.in_flight -= 1
        duration = now - attempt.sent_at
        longest_expected = (
            use_case.mean_latency + 6 * use_case.latency_deviation
            if use_case.mean_latency and not self._first_tier
            else duration
        )
        if attempt.ticket.work_hint and (outcome == DONE or outcome == TIMED_OUT and duration >= use_case.mean_latency):
            time_per_work = duration / attempt.ticket.work_hint
            backend.time_per_work += (
                (time_per_work - backend.time_per_work) / MIN_RATE_SAMPLES if backend.time_per_work else time_per_work
            )
        is_lost = (
            outcome == TIMED_OUT
            and duration > longest_expected
            and self._locality_of(backend).last_completion_at <= attempt.sent_at
        )
        self._consecutive_lost = self._consecutive_lost + is_lost if outcome in (TIMED_OUT, CALLED_OFF) else 0
        if (
            outcome == DONE
            or is_lost
            and self._consecutive_lost >= CONSECUTIVE_FAILURES
            or outcome == TIMED_OUT
            and use_case.mean_latency <= duration <= longest_expected
        ):
            # Time-outs count as latency samples too; otherwise a use case that is slow everywhere would keep its short
            # attempt timeout. A time-out far beyond the usual latency is a lost answer and, below the first tier, not
            # a sample. Many such time-outs in a row without any answer may however come from a chain of services that
            # has slowed down, whose tiers would otherwise keep cutting off each other's calls; these count as at most
            # twice the mean.
            sample = min(duration, 2 * use_case.mean_latency) if is_lost else duration
            use_case.latency_deviation += (
                (abs(sample - use_case.mean_latency) - use_case.latency_deviation) // 16
                if use_case.mean_latency
                else duration // 2
            )
            use_case.mean_latency += (sample - use_case.mean_latency) // 16 if use_case.mean_latency else duration
        if outcome == DONE:
            locality = self._locality_of(backend)
            self._current_completion_rate(locality, now)
            locality.completion_gap += (now - locality.last_completion_at - locality.completion_gap) // MIN_RATE_SAMPLES
            locality.last_completion_at = now
            locality.rate_span = max(RATE_SPAN_US, MIN_RATE_SAMPLES * locality.completion_gap)
            locality.completion_rate += SECOND / locality.rate_span
            if backend.in_subset:  # Excludes backends that have left the list and only finish the calls they hold.
                locality.mean_slow_start_weight += (
                    (locality.slow_start_weight / locality.sharing_proxies - locality.mean_slow_start_weight)
                    * locality.completion_gap
                    / locality.rate_span
                )
                locality.unit_rate = (
                    self._current_unit_rate(locality, now)
                    + SECOND / self._warm_after / locality.slow_start_weight * locality.sharing_proxies
                )
                locality.unit_rate_updated_at = now
            self._mean_latency += (duration - self._mean_latency) // 16 if self._mean_latency else duration
        is_current = attempt.generation == backend.generation
        backend.trials_in_flight -= is_current and attempt.is_trial
        # A time-out below the usual latency is due to the caller's short deadline and says nothing about the backend.
        if not is_current or outcome in (MOOT, CALLED_OFF) or outcome == TIMED_OUT and duration < use_case.mean_latency:
            return
        if outcome == DONE:
            backend.use_case_failures.pop(use_case, None)
            backend.avoided_until.pop(use_case, None)
        elif outcome in (TIMED_OUT, ERROR) and self._last_tier:
            # Detects a use case that fails at some backends while other use cases keep their breakers closed.
            failures = backend.use_case_failures[use_case] = backend.use_case_failures.get(use_case, 0) + 1
            others_succeed = 2 * sum(use_case in b.use_case_failures for b in self._backends) <= len(self._backends)
            if (
                others_succeed
                and failures >= USE_CASE_CONSECUTIVE_FAILURES
                and failures > backend.consecutive_failures + 1
            ):
                backend.avoided_until[use_case] = now + OPEN_DURATION_US
        if outcome == FULL:
            # Limits the backend to the calls it holds now, until a call of usual length has had time to finish.
            backend.full_in_flight, backend.full_until = backend.in_flight, now + self._mean_latency
        self._record_result(backend, outcome == DONE, now)

    # --- timeouts and delays -----------------------------------------------------------------------

    def wait_time(self, ticket: Ticket | None, now: int) -> int:
        """Returns the attempt's timeout or the ticket's retry-after; for None, the delay before the next list request."""
        if ticket is None:
            if self._list_requested:
                return -1
            self._list_requested = now >= self._list_request_at
            return max(0, self._list_request_at - now)
        if not ticket.finished and ticket.attempts and ticket.attempts[-1].outcome is None:
            return ticket.attempts[-1].timeout
        return ticket.retry_after

    def _attempt_timeout(self, ticket: Ticket, now: int) -> int:
        """Returns the timeout of the ticket's next attempt."""
        use_case, remaining = ticket.use_case, max(1, self._useful_deadline(ticket) - now)
        if (
            len(ticket.attempts) + 1 >= min(self._max_attempts, ticket.max_attempts)
            or use_case.retry_class == SINGLE_USE
        ):
            return remaining
        # At least half of the remaining time. The timeout is sent along as the call's deadline, so a short one causes
        # time-outs and errors at every tier below, and the work is done twice where nothing cancels it.
        timeout = max(remaining // 2, use_case.mean_latency + 6 * use_case.latency_deviation)
        return timeout if remaining - timeout > use_case.mean_latency else remaining

    def _useful_deadline(self, ticket: Ticket) -> int:
        """Returns the time after which a response has no value any more."""
        use_case = ticket.use_case
        if not self._first_tier and self._forwards_deadline or self._first_tier and use_case.late_importance > 0:
            return ticket.deadline
        return min(
            ticket.deadline,
            ticket.arrived_at + use_case.latency_target + int(use_case.target_per_work * ticket.work_hint),
        )

    def _retry_after(self, ticket: Ticket, now: int) -> int:
        """Returns a random retry-after that is short enough for the retried ticket to meet its promised time; a later
        retry would be wasted work."""
        use_case = ticket.use_case
        delay = ticket.arrived_at + use_case.latency_target - now - use_case.mean_latency
        delay = min(self._max_retry_after, delay // 2) if delay > 0 else self._max_retry_after
        return int(delay * (0.25 + 0.75 * self._random()))

    # --- events ------------------------------------------------------------------------------------

    def update_endpoints(self, listings: Iterable[Listing], whole: bool, now: int) -> None:
        """Applies an endpoint update; `whole` is set for a full list, which replaces all backends."""
        remaining = {} if whole else {id(b): b for b in self._backends}
        previous_ids = {id(b) for b in self._backends}
        for listing in listings:
            backend = listing.backend
            if not listing.ready:
                remaining.pop(id(backend), None)
                continue
            # A random initial allowance, because one call from every proxy at once is too much for a cold backend.
            if listing.started_at > backend.started_at:
                backend.tokens, backend.tokens_updated_at = self._random(), now
            if id(backend) not in previous_ids or listing.started_at > backend.started_at:
                backend.current_weight = -self._random() * listing.weight
            backend.zone, backend.kind, backend.cell = listing.zone, listing.kind, listing.cell
            backend.weight, backend.started_at = listing.weight, listing.started_at
            remaining[id(backend)] = backend
        for backend in self._backends:
            backend.in_subset = False
        self._backends = list(remaining.values())
        self._update_localities(now)
        if self._list_unavailable:
            self._list_unavailable, self._list_backoff = False, 0
            self._log(f"endpoint list available again, {len(self._backends)} backends ready")

    def _update_localities(self, now: int) -> None:
        """Recomputes the localities and the weight of each backend from the endpoint list and the settings."""
        previous, self._localities = self._localities, {}
        rings = {self._own_zone: deque()}
        for backend in sorted(self._backends, key=attrgetter("address")):
            rings.setdefault(backend.zone if self._zone_count > 1 else "", deque()).append(backend)
        for zone, ring in rings.items():
            self._localities[zone] = previous.get(zone) or Locality(
                self._started_at, RATE_SPAN_US, RATE_SPAN_US // MIN_RATE_SAMPLES
            )
        self._split_traffic([sum(b.weight for b in ring) for ring in rings.values()])
        for zone, ring in rings.items():
            self._select_subset(self._localities[zone], ring)
        for backend in self._backends:
            # The expected load grows with the square root of the weight. An equal load for all overloads small
            # backends; a load in proportion to the weight lets a heavy backend that has slowed down gather calls until
            # they time out. Only the part of the backend that belongs to this proxy's subset counts.
            backend.load_scale = backend.subset_weight / sqrt(backend.weight)
        self._cold_backends = self._update_cold_backends(self._backends, now)

    def _split_traffic(self, weights: list[float]) -> None:
        """Sets each zone's share of the calls. Cross-zone calls cost time and money, so calls stay in this proxy's
        zone as far as its part of the total weight covers an even share of the traffic; the rest goes to zones with
        more than an even part of the weight."""
        even_weight = (sum(weights) or 1.0) / len(weights)
        own_share = min(1.0, weights[0] / even_weight)
        shares = [max(0.0, weight - even_weight) for weight in weights[1:]]
        shares = [own_share, *((1.0 - own_share) * excess / (sum(shares) or 1.0) for excess in shares)]
        for locality, share in zip(self._localities.values(), shares):
            locality.traffic_share = share

    def _locality_of(self, backend: Backend) -> Locality:
        """Returns the locality of the backend's zone."""
        return self._localities.get(backend.zone if self._zone_count > 1 else "") or self._localities[self._own_zone]

    def _select_subset(self, locality: Locality, ring: deque[Backend]) -> None:
        """Selects this proxy's subset of a zone: an arc of a ring on which each backend's length is its weight.

        With one call a second a proxy cannot learn the state of fifty backends. All proxies use the same ring and
        their arcs start at evenly distributed positions, so each backend receives calls by its weight; a backend that
        is partly covered counts for the covered part.
        """
        for backend in ring:
            backend.subset_weight, backend.in_subset = backend.weight, True
        total = sum(b.subset_weight for b in ring)
        # Assumes the proxies to be spread evenly over the zones, since a proxy does not know their distribution.
        locality.ring, locality.subset_weight, locality.sharing_proxies = (
            ring,
            total,
            self._group_size / max(1, self._zone_count),
        )
        sum_of_squares = sum(b.subset_weight * b.subset_weight for b in ring)
        # The width follows the zone's share of the calls; otherwise each backend of a small zone would receive calls
        # from all proxies.
        fraction = (
            max(
                PROXIES_PER_BACKEND * self._zone_count / self._group_size,
                MIN_BACKENDS_PER_PROXY / (total * total / sum_of_squares),
            )
            if ring
            else 1.0
        )
        if fraction >= 1.0:
            return
        fraction = min(1.0, fraction * max(MIN_SUBSET_SHARE, locality.traffic_share) * locality.subset_scale)
        offset = self._ring_position * total
        while offset >= ring[0].subset_weight:
            offset -= ring[0].subset_weight
            ring.rotate(-1)
        ring[0].subset_weight -= offset
        locality.subset_weight = remaining = total * fraction
        for backend in ring:
            backend.in_subset = remaining > 0.0
            if backend.in_subset:
                backend.subset_weight = min(backend.subset_weight, remaining)
                remaining -= backend.subset_weight
        locality.sharing_proxies *= sum(b.in_subset for b in ring) / len(ring) / locality.subset_scale

    def endpoint_request_failed(self, now: int) -> None:
        """Schedules the next request for the endpoint list after one has failed or a watch has ended."""
        if not self._polls_list:
            return
        if not self._list_unavailable:
            self._list_unavailable = True
            self._log("endpoint list unavailable, requesting it again")
        # Exponential backoff with jitter, because simultaneous requests of all proxies would overload discovery.
        self._list_backoff = min(self._max_ask_step, 2 * self._list_backoff or SECOND // 2)
        self._list_request_at = now + int(self._list_backoff * (0.5 + 0.5 * self._random()))
        self._list_requested = False

    def record_load_report(self, backend: Backend, load: dict[int, float], now: int) -> None:
        """Records a backend's load report: its waiting calls, or its active calls if it reports no queue."""
        reported = load.get(LOAD_WAITING, load.get(LOAD_ACTIVE))
        if reported is not None:
            backend.reported_load, backend.reported_at = reported, now

    def response_started(self, attempt: Attempt) -> None:
        """Finishes the ticket, because the response of this attempt is being forwarded to the client."""
        attempt.ticket.finished = True

    def caller_disconnected(self, ticket: Ticket) -> None:
        """Finishes the ticket of a client that has disconnected."""
        ticket.finished = True
        ticket.retry_after = 0 if self._cancel_allowed else -1

    def export_learned(self, now: int) -> tuple[int, float, float]:
        """Returns the load estimates that a successor process imports with `import_learned`; without them it would
        attribute an existing overload to its own calls."""
        own = self._localities[self._own_zone]
        return self._mean_latency, self._current_completion_rate(own, now), self._current_unit_rate(own, now)

    def import_learned(self, mean_latency: int, completion_rate: float, unit_rate: float, now: int) -> None:
        """Imports the load estimates that `export_learned` returned in another process of the same proxy."""
        self._mean_latency, self._started_at = mean_latency, min(self._started_at, now - 9 * RATE_SPAN_US)
        for locality in self._localities.values():
            locality.completion_rate, locality.unit_rate, locality.measured_since = (
                completion_rate,
                unit_rate,
                min(self._started_at, now - 9 * self._warm_after),
            )
            locality.rate_updated_at = locality.unit_rate_updated_at = locality.last_completion_at = now
            completion_rate = unit_rate = 0.0  # the estimates belong to the proxy's own zone, which is first

    # --- circuit breaker ---------------------------------------------------------------------------

    def _breaker_admits(self, backend: Backend, now: int) -> bool:
        """Returns whether the backend's breaker admits an attempt, and moves it to half-open when its open period has
        ended."""
        if backend.state == OPEN:
            if now < backend.open_until:
                return False
            self._set_state(backend, HALF_OPEN, now)
        if backend.trials_in_flight >= MAX_TRIALS and now >= backend.trial_deadline:
            backend.trials_in_flight -= 1
            self._record_result(backend, False, now)
            return False
        return backend.trials_in_flight < MAX_TRIALS

    def _record_result(self, backend: Backend, success: bool, now: int) -> None:
        """Adds a success or failure to the breaker's window and changes its state if a threshold is reached."""
        results = backend.results
        results.append(success)
        backend.failures += not success
        if len(results) > BREAKER_WINDOW:
            backend.failures -= not results.popleft()
        if success:
            backend.consecutive_failures = 0
            backend.consecutive_successes += 1
            if backend.state == HALF_OPEN and backend.consecutive_successes >= SUCCESSES_TO_CLOSE:
                self._set_state(backend, CLOSED, now)
            return
        backend.consecutive_successes = 0
        backend.consecutive_failures += 1
        if backend.state == HALF_OPEN:
            self._set_state(backend, OPEN, now)
        elif backend.consecutive_failures >= CONSECUTIVE_FAILURES or (
            len(results) >= BREAKER_WINDOW and 2 * backend.failures >= BREAKER_WINDOW
        ):
            if not self._failure_is_shared(backend):
                self._set_state(backend, OPEN, now)

    def _failure_is_shared(self, backend: Backend) -> bool:
        """Returns whether the other backends fail about as often. If a tier below fails or a use case is slow
        everywhere, opening the breaker would only exclude a healthy backend."""
        others = [other for other in self._backends if other is not backend and other.state == CLOSED]
        failures, results = sum(other.failures for other in others), sum(len(other.results) for other in others)
        if results < CONSECUTIVE_FAILURES:
            return False
        own_failure_rate = (
            1.0 if backend.consecutive_failures >= CONSECUTIVE_FAILURES else backend.failures / len(backend.results)
        )
        return 2.0 * failures / results >= own_failure_rate

    def _set_state(self, backend: Backend, state: int, now: int) -> None:
        """Changes the breaker's state and clears its window."""
        if backend.state != state and CLOSED in (backend.state, state):
            state_name = "open" if state == OPEN else "closed"
            self._log(
                f"{backend.address} breaker {state_name}: {backend.failures} of {len(backend.results)} attempts failed,"
                f" {backend.consecutive_failures} in a row"
            )
        backend.state = state
        backend.generation += 1
        backend.results.clear()
        backend.failures = backend.consecutive_failures = backend.consecutive_successes = backend.trials_in_flight = 0
        if state == OPEN:
            backend.open_until = now + OPEN_DURATION_US

    # --- slow start --------------------------------------------------------------------------------

    def _slow_start_factor(self, backend: Backend, now: int) -> float:
        """Returns the factor that reduces a cold backend's weight; it grows linearly with the age."""
        age = min(1.0, max(0, now - backend.started_at) / self._warm_after)
        return self._cold_share + (1.0 - self._cold_share) * age

    def _update_cold_backends(self, backends: list[Backend], now: int) -> list[Backend]:
        """Reduces the weights of recently started backends by their age (slow start), as the operators require, and
        returns those that are still cold."""
        for backend in backends:
            backend.is_cold = backend.started_at != 0 and now - backend.started_at < self._warm_after
            backend.effective_weight = backend.subset_weight * (
                self._slow_start_factor(backend, now) if backend.is_cold else 1.0
            )
        # Runs for every ticket while a backend is cold, so it stops at the end of the subset, which is first in the
        # ring.
        for locality in self._localities.values():
            locality.slow_start_weight = (
                sum(b.effective_weight for b in takewhile(attrgetter("in_subset"), locality.ring)) or 1.0
            )
        return [b for b in backends if b.is_cold]

    def _within_cold_budget(self, backend: Backend, now: int) -> bool:
        """Returns whether the slow-start budget of a cold backend allows one more call.

        The budget follows the rate of calls that warm backends of the same size take from this proxy, and is spent
        evenly over time.
        """
        size = backend.subset_weight * self._slow_start_factor(backend, now)
        # The completion rate is divided by the weight that was available while it was measured; otherwise one cold
        # backend would get the calls of all backends that have just left. The mean rate over a warm-up period applies
        # if it is higher, because overloaded warm backends complete few calls.
        locality = self._locality_of(backend)
        measured_share = 1.0 - exp(min(-1, locality.measured_since - now) / self._warm_after)
        rate = self._current_completion_rate(locality, now) / max(
            locality.slow_start_weight / locality.sharing_proxies, locality.mean_slow_start_weight
        )
        rate = (
            max(rate, self._current_unit_rate(locality, now) / measured_share)
            / locality.sharing_proxies
            * size
            * self._cold_rate_multiple
        )
        rate = max(rate, self._min_cold_rate / self.proxy_count)
        backend.tokens += rate * (now - backend.tokens_updated_at) / SECOND
        backend.tokens, backend.tokens_updated_at = min(max(1.0, rate / 4), backend.tokens), now
        return backend.tokens >= 1.0

    def _current_unit_rate(self, locality: Locality, now: int) -> float:
        """Returns the decayed completion rate of one unit of weight."""
        return locality.unit_rate * exp((locality.unit_rate_updated_at - now) / self._warm_after)

    @staticmethod
    def _current_completion_rate(locality: Locality, now: int) -> float:
        """Returns the zone's decayed completion rate in calls a second."""
        if now > locality.rate_updated_at:
            locality.completion_rate *= exp((locality.rate_updated_at - now) / locality.rate_span)
            locality.rate_updated_at = now
        # Corrects for the short time since the start; otherwise a new proxy would underestimate its completion rate.
        return locality.completion_rate / (1.0 - exp(min(-1, locality.measured_since - now) / locality.rate_span))

    # --- retry rules -------------------------------------------------------------------------------

    def _binding_attempt(self, ticket: Ticket) -> Attempt | None:
        """Returns the first attempt that may have run, or None. A retry of a referenced ticket must reach the
        deduplication group of that attempt within its deduplication window."""
        if ticket.use_case.retry_class == REPLAYABLE:
            return None
        return next((attempt for attempt in ticket.attempts if attempt.outcome not in NEVER_RAN), None)

    def _refuse(self, ticket: Ticket, now: int) -> int:
        """Finishes the ticket. Returns BOUNCE if it may safely be sent again, otherwise SCRAP."""
        ticket.finished = True
        ticket.retry_after = self._retry_after(ticket, now)
        use_case = ticket.use_case
        if self._binding_attempt(ticket) is None or (
            use_case.retry_class == REFERENCED and use_case.scope == SCOPE_ALL
        ):
            return BOUNCE
        return SCRAP


def _same_deduplication_group(ran: Attempt, other: Backend, scope: int) -> bool:
    """Returns whether `other` recognizes and drops a repeat of a request that ran in the attempt `ran`."""
    return ran.cell == other.cell if scope == SCOPE_CELL else scope != SCOPE_ZONE or ran.zone == other.zone


def _placement_allows(use_case: UseCase, backend: Backend) -> bool:
    """Returns whether the use case may run at the backend. Checked for every attempt, including breaker trials and
    last resorts."""
    return (use_case.zones is None or backend.zone in use_case.zones) and (
        use_case.kinds is None or backend.kind in use_case.kinds
    )
