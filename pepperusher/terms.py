"""The types and constants of the interface between the balancing decisions and the code that calls them.

Times are whole microseconds. docs/interface.md describes each call and value.
"""

from __future__ import annotations

from collections import deque

# Outcomes of an attempt.
DONE = 0
ERROR = 1
FULL = 2  # the backend refused it, being at its limit
TIMED_OUT = 3
UNREACHED = 4  # no connection
RESET = 5  # the connection broke
CALLED_OFF = 6  # cancelled by the proxy
MOOT = 7  # not sent, or not completely, through no fault of the backend
UNKNOWN = 8
# After these outcomes the request certainly has not run.
NEVER_RAN = frozenset((FULL, UNREACHED, MOOT))

# Decisions other than a backend to send to.
NOT_YET = 10  # hold the ticket
BOUNCE = 11  # refuse it; the caller may safely retry
SCRAP = 12  # fail it; it may have run and must not be retried
AGAIN = 13  # choose a backend for another attempt
NOTHING = 14  # no action

# Whether the tickets of a use case may run again, and which backends deduplicate repeated runs.
REPLAYABLE = 20  # may run any number of times
REFERENCED = 21  # carries an idempotency key by which backends drop repeats
SINGLE_USE = 22  # must not run twice
SCOPE_ALL = 30  # all backends drop a repeat
SCOPE_ZONE = 31  # those in the same zone do
SCOPE_CELL = 32  # those in the same cell do

# Higher than any limit in the settings; a ticket's own limit only lowers the limit of the settings.
MAX_ATTEMPTS = 1 << 20

# Metrics in a backend's load report: the calls that it holds and the calls that wait in its queue.
LOAD_ACTIVE = 50
LOAD_WAITING = 51
# How load reports arrive: not at all, with responses, or from probes.
REPORTS_NONE = 60
REPORTS_IN_RESPONSES = 61
REPORTS_BY_PROBES = 62

LONG_AGO = -1 << 60  # earlier than any time that occurs

# Circuit breaker states.
CLOSED = 40
OPEN = 41
HALF_OPEN = 42


# The fields of UseCase that the balancer learns; all others come from the settings.
LEARNED_FIELDS = ("mean_latency", "latency_deviation", "mean_work")


class UseCase:
    """One use case: its settings and the latency that this balancer has learned (mean and mean deviation).

    `zones` and `kinds` limit where it may run; None means anywhere.
    """

    __slots__ = (
        "name",
        "latency_target",
        "outer_limit",
        "importance",
        "late_importance",
        "target_per_work",
        "retry_class",
        "scope",
        "deduplication_window",
        "zones",
        "kinds",
        "mean_latency",
        "latency_deviation",
        "mean_work",
    )

    def __init__(
        self,
        name: str,
        latency_target: int,
        outer_limit: int,
        importance: float,
        late_importance: float = 0.0,
        retry_class: int = REPLAYABLE,
        scope: int = SCOPE_ALL,
        deduplication_window: int = 0,
        target_per_work: float = 0.0,
        zones: frozenset[str] | None = None,
        kinds: frozenset[str] | None = None,
    ) -> None:
        self.name = name
        self.latency_target = latency_target  # promised time from arrival to response
        self.outer_limit = outer_limit  # timeout of clients that send none
        self.importance = importance
        self.late_importance = late_importance  # what a response after the promised time is still worth
        self.retry_class = retry_class
        self.scope = scope
        self.deduplication_window = deduplication_window  # for how long backends recognize a repeat; 0 for no limit
        self.target_per_work = target_per_work  # addition to the promised time per unit of hinted work
        self.zones = zones
        self.kinds = kinds
        self.mean_latency = 0  # 0 until the first sample
        self.latency_deviation = 0  # mean absolute deviation
        self.mean_work = 0  # mean work of its tickets as hinted by the callers; 0 if there are no hints

    def same_settings(self, other: UseCase) -> bool:
        """Returns whether both have the same settings, whatever has been learned."""
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__ if name not in LEARNED_FIELDS)


class Customer:
    """One customer: its quota in tickets a second over all proxies, the tokens that this proxy has left of it, and the
    recent demand at this proxy."""

    __slots__ = ("name", "rate", "tokens", "tokens_updated_at", "demand")

    def __init__(self, name: str, rate: float) -> None:
        self.name = name
        self.rate = rate  # tickets a second over all proxies
        self.tokens = 0.0
        self.tokens_updated_at = 0
        self.demand = 0.0


class Backend:
    """One backend as this proxy knows it, with its breaker. Each change of the breaker's state clears the result
    window."""

    __slots__ = (
        "address",
        "zone",
        "kind",
        "cell",
        "weight",
        "started_at",
        "in_flight",
        "mean_in_flight",
        "current_weight",
        "effective_weight",
        "subset_weight",
        "in_subset",
        "load_scale",
        "is_cold",
        "state",
        "generation",
        "results",
        "failures",
        "consecutive_failures",
        "consecutive_successes",
        "open_until",
        "trials_in_flight",
        "trial_deadline",
        "full_until",
        "full_in_flight",
        "tokens",
        "tokens_updated_at",
        "use_case_failures",
        "avoided_until",
        "reported_load",
        "reported_at",
        "time_per_work",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.zone = ""
        self.kind = ""
        self.cell = 0
        self.weight = 1.0
        self.started_at = 0
        self.in_flight = 0  # attempts of this proxy
        self.mean_in_flight = 0.0
        self.current_weight = 0.0  # state of the smooth weighted round robin
        self.effective_weight = 1.0  # `subset_weight`, reduced during slow start
        self.subset_weight = 1.0  # the part of `weight` that belongs to this proxy's subset
        self.in_subset = True  # whether it belongs to this proxy's subset
        self.load_scale = 1.0  # expected load relative to the other backends
        self.is_cold = False
        self.state = CLOSED
        self.generation = 0  # counts changes of the breaker's state; results of older attempts are ignored
        self.results: deque[bool] = deque()
        self.failures = 0
        self.consecutive_failures = 0  # consecutive failures
        self.consecutive_successes = 0  # consecutive successes
        self.open_until = 0
        self.trials_in_flight = 0
        self.trial_deadline = 0
        self.full_until = 0  # until then it gets no more calls than `full_in_flight`
        self.full_in_flight = 0
        self.tokens = 0.0  # slow-start budget, in calls
        self.tokens_updated_at = 0
        # By use case: consecutive failures at this backend, and the time until which it is avoided. A successful
        # attempt removes the entry.
        self.use_case_failures: dict[UseCase, int] = {}
        self.avoided_until: dict[UseCase, int] = {}
        # The calls of all proxies in the backend's latest load report, and when that arrived. A report soon becomes
        # stale.
        self.reported_load = 0.0
        self.reported_at = LONG_AGO
        # Mean duration of its attempts per unit of hinted work; 0 if unknown.
        self.time_per_work = 0.0


class Locality:
    """The backends of one zone as one proxy knows them, and the rate at which they complete its calls."""

    __slots__ = (
        "traffic_share",
        "subset_scale",
        "ring",
        "subset_weight",
        "slow_start_weight",
        "mean_slow_start_weight",
        "sharing_proxies",
        "mean_load",
        "mean_in_flight",
        "completion_rate",
        "rate_updated_at",
        "measured_since",
        "rate_span",
        "completion_gap",
        "last_completion_at",
        "unit_rate",
        "unit_rate_updated_at",
    )

    def __init__(self, measured_since: int, rate_span: int, completion_gap: int) -> None:
        self.traffic_share = 1.0  # share of the tickets that try this zone first
        # All backends of the zone, this proxy's subset first; replaced by endpoint updates.
        self.ring: deque[Backend] = deque()
        self.subset_scale = 1.0  # width of this proxy's subset relative to that of other proxies
        self.subset_weight = 0.0
        self.slow_start_weight = 1.0
        # `slow_start_weight` / `sharing_proxies`, averaged over the period in which the completion rate was measured
        self.mean_slow_start_weight = 0.0
        self.sharing_proxies = 1.0  # how many proxies share the backends of this subset
        self.mean_load = 0.0  # attempts in flight per backend of the subset
        self.mean_in_flight = 0.0
        self.completion_rate = 0.0
        self.measured_since = self.rate_updated_at = self.last_completion_at = self.unit_rate_updated_at = (
            measured_since
        )
        self.rate_span = rate_span
        self.completion_gap = completion_gap
        self.unit_rate = 0.0  # completions a second of a backend of weight 1, over all proxies that share it


class Listing:
    """One entry of an endpoint update. `started_at` is 0 if the start time is unknown; `ready` is false while it
    drains and after it has been removed.

    `gone` tells removal from draining where the difference matters.
    """

    __slots__ = ("backend", "zone", "cell", "weight", "started_at", "ready", "kind", "gone")

    def __init__(
        self,
        backend: Backend,
        zone: str,
        cell: int,
        weight: float,
        started_at: int,
        ready: bool,
        kind: str = "",
        gone: bool = False,
    ) -> None:
        self.backend = backend
        self.kind = kind
        self.gone = gone
        self.zone = zone
        self.cell = cell
        self.weight = weight
        self.started_at = started_at
        self.ready = ready


class Attempt:
    """One attempt to send a ticket to a backend. `outcome` is None while it is in flight; `cell` and `zone` are the
    backend's when it was sent.
    """

    __slots__ = (
        "ticket",
        "backend",
        "cell",
        "zone",
        "sent_at",
        "timeout",
        "generation",
        "is_trial",
        "outcome",
        "paused_at",
    )

    def __init__(self, ticket: Ticket, backend: Backend, sent_at: int, timeout: int, is_trial: bool) -> None:
        self.ticket = ticket
        self.backend = backend
        # Another process may be listed under the same id by the time of a retry.
        self.cell = backend.cell
        self.zone = backend.zone
        self.sent_at = sent_at
        self.timeout = timeout
        self.generation = backend.generation
        self.is_trial = is_trial
        self.outcome: int | None = None
        # The time since when it does not count as in flight, because the request body is still being received or the
        # response is being forwarded; None if it counts.
        self.paused_at: int | None = None


class Ticket:
    """A request in hand. `deadline` is a point in time; `finished` is set once it has its final answer or its client
    has disconnected.

    `max_attempts` limits its attempts where that is below the limit of the settings.
    """

    __slots__ = (
        "use_case",
        "customer",
        "arrived_at",
        "deadline",
        "work_hint",
        "attempts",
        "finished",
        "retry_after",
        "max_attempts",
    )

    def __init__(
        self, use_case: UseCase, customer: Customer | None, arrived_at: int, deadline: int, work_hint: float = 0.0
    ) -> None:
        self.use_case = use_case
        self.customer = customer
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.work_hint = work_hint  # work that the caller announced, 0 for none
        self.attempts: list[Attempt] = []
        self.finished = False
        # After a refusal the retry-after; after a disconnect 0 to cancel what is in flight, -1 to let it finish.
        self.retry_after = 0
        self.max_attempts = MAX_ATTEMPTS


class PolicySettings:
    """The settings of a proxy's decisions: use cases, customers and the limits of its operation."""

    __slots__ = (
        "seed",
        "use_cases",
        "customers",
        "group_size",
        "proxy_index",
        "tier_index",
        "last_tier",
        "zone",
        "zones",
        "most_attempts",
        "cancel_allowed",
        "retry_after_allowed",
        "max_retry_after",
        "polls_list",
        "ask_within",
        "cold_share",
        "warm_after",
        "tip_multiple",
        "overload_for",
        "forwards_deadline",
        "importance_by_work",
        "only_drain_binds",
        "reported_by",
        "is_sidecar",
        "list_is_pushed",
        "drain_within",
    )

    seed: int
    use_cases: list[UseCase]
    customers: list[Customer]
    group_size: int  # number of proxies that share the backends
    proxy_index: int  # position of this proxy in the group, from 0
    tier_index: int  # 0 for the tier that receives the calls of clients
    last_tier: bool
    zone: str
    zones: list[str]
    most_attempts: int
    cancel_allowed: bool
    retry_after_allowed: bool
    max_retry_after: int
    polls_list: bool
    list_is_pushed: bool  # a drain is binding once discovery knows of it, even if the update has not reached this proxy
    ask_within: int  # a lost endpoint list has to be requested again within this time
    drain_within: int  # how long after the start of a drain a proxy may still send new attempts to the backend
    cold_share: float  # initial share of its calls that a cold backend can carry
    warm_after: int  # age at which a backend is warm
    tip_multiple: float  # a cold backend fails at this multiple of its share of the calls
    overload_for: int  # if it lasts for this long
    forwards_deadline: bool  # whether calls carry their deadline to the next tier
    importance_by_work: bool  # whether the importance counts per unit of work, not per ticket
    reported_by: int  # one of REPORTS_NONE, REPORTS_IN_RESPONSES, REPORTS_BY_PROBES
    # Whether each client process has its own (sidecar) proxy, and each proxy therefore different traffic.
    is_sidecar: bool
    # Whether only draining excludes a backend: one that is gone or absent from the list may still receive attempts.
    only_drain_binds: bool

    @property
    def max_outer_limit(self) -> int:
        """The longest outer limit of all use cases."""
        return max((use_case.outer_limit for use_case in self.use_cases), default=0)
