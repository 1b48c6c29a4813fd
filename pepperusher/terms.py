"""The words of the interface: what passes between the decisions and whoever asks for them.

Times are whole microseconds. docs/interface.md describes each call and value.
"""

from __future__ import annotations

from collections import deque

# How an attempt ended.
DONE = 0
ERROR = 1
FULL = 2
TIMED_OUT = 3
UNREACHED = 4
RESET = 5
CALLED_OFF = 6
MOOT = 7
UNKNOWN = 8
NEVER_RAN = frozenset((FULL, UNREACHED, MOOT))

# What the module answers where it names no backend.
NOT_YET = 10
BOUNCE = 11
SCRAP = 12
AGAIN = 13
NOTHING = 14

# May a use case run again, and which backends drop its repeats.
REPLAYABLE = 20
REFERENCED = 21
SINGLE_USE = 22
SCOPE_ALL = 30
SCOPE_ZONE = 31
SCOPE_CELL = 32

# Over what any ground allows; a ticket's own figure narrows it.
MOST = 1 << 20

# What a backend reports of its load: calls it holds, calls that wait there.
LOAD_ACTIVE = 50
LOAD_WAITING = 51
# And with what its reports come.
REPORTS_NONE = 60
REPORTS_IN_RESPONSES = 61
REPORTS_BY_PROBES = 62

LONG_AGO = -1 << 60

# A breaker's states.
CLOSED = 40
OPEN = 41
HALF_OPEN = 42


# What is learned of a use case, beside its terms.
LEARNED = ("mean_latency", "latency_deviation", "work")


class UseCase:
    """One use case: its terms, and what this balancer has learned of its times (two figures).

    `zones` and `kinds` are the only ones where it may run; None for any.
    """

    __slots__ = (
        "name",
        "latency_target",
        "outer_limit",
        "importance",
        "late_share",
        "stretch",
        "retry_class",
        "scope",
        "deduplication_window",
        "zones",
        "kinds",
        "mean_latency",
        "latency_deviation",
        "work",
    )

    def __init__(
        self,
        name: str,
        latency_target: int,
        outer_limit: int,
        importance: float,
        late_share: float = 0.0,
        retry_class: int = REPLAYABLE,
        scope: int = SCOPE_ALL,
        deduplication_window: int = 0,
        stretch: float = 0.0,
        zones: frozenset[str] | None = None,
        kinds: frozenset[str] | None = None,
    ) -> None:
        self.name = name
        self.latency_target = latency_target
        self.outer_limit = outer_limit
        self.importance = importance
        self.late_share = late_share
        self.retry_class = retry_class
        self.scope = scope
        self.deduplication_window = deduplication_window
        self.stretch = stretch
        self.zones = zones
        self.kinds = kinds
        self.mean_latency = 0
        self.latency_deviation = 0
        self.work = 0  # by the hints of its tickets; 0 where there are none

    def same_terms(self, other: UseCase) -> bool:
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__ if name not in LEARNED)


class Customer:
    """One customer: its share in tickets a second over all proxies, this proxy's allowance of it, and the tickets that it was
    asked for of late."""

    __slots__ = ("name", "rate", "allowance", "counted_at", "asked")

    def __init__(self, name: str, rate: float) -> None:
        self.name = name
        self.rate = rate
        self.allowance = 0.0
        self.counted_at = 0
        self.asked = 0.0


class Backend:
    """One backend as this proxy knows it, with its breaker. The window empties at each change of state."""

    __slots__ = (
        "address",
        "zone",
        "kind",
        "cell",
        "weight",
        "started_at",
        "in_flight",
        "held",
        "turn",
        "share",
        "portion",
        "near",
        "room",
        "cold",
        "state",
        "generation",
        "results",
        "failures",
        "run_failed",
        "run_done",
        "open_until",
        "trials",
        "trial_due",
        "full_until",
        "full_at",
        "allowance",
        "counted_at",
        "runs",
        "shut",
        "told",
        "told_at",
        "pace",
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.zone = ""
        self.kind = ""
        self.cell = 0
        self.weight = 1.0
        self.started_at = 0
        self.in_flight = 0
        self.held = 0.0
        self.turn = 0.0
        self.share = 1.0
        self.portion = 1.0
        self.near = True
        self.room = 1.0
        self.cold = False
        self.state = CLOSED
        self.generation = 0
        self.results: deque[bool] = deque()
        self.failures = 0
        self.run_failed = 0
        self.run_done = 0
        self.open_until = 0
        self.trials = 0
        self.trial_due = 0
        self.full_until = 0
        self.full_at = 0
        self.allowance = 0.0
        self.counted_at = 0
        # By use case: how often in a row it failed here, and until when it is not sent here. Emptied by what
        # is done.
        self.runs: dict[UseCase, int] = {}
        self.shut: dict[UseCase, int] = {}
        # Calls that it reports, from all proxies, and when that came; a report is as good as none soon after.
        self.told = 0.0
        self.told_at = LONG_AGO
        # What its calls take, for their hinted work; 0 where none is known.
        self.pace = 0.0


class Side:
    """One location's backends as one proxy knows them, and its flow there."""

    __slots__ = (
        "part",
        "reach",
        "ring",
        "weight",
        "grown",
        "grown_then",
        "sharing",
        "mean",
        "held",
        "flow",
        "flow_at",
        "started",
        "span",
        "gap",
        "done_at",
        "took",
        "took_at",
    )

    def __init__(self, started: int, span: int, gap: int) -> None:
        self.part = 1.0  # of the calls that go here first
        self.ring: deque[Backend] = deque()  # all of the location, this proxy's part first; emptied by the list
        self.reach = 1.0  # how many times as wide as others' this proxy's arc is
        self.weight = 0.0
        self.grown = 1.0
        self.grown_then = 0.0  # over `sharing`, as it was while what makes up the flow came
        self.sharing = 1.0
        self.mean = 0.0
        self.held = 0.0
        self.flow = 0.0
        self.started = self.flow_at = self.done_at = self.took_at = started
        self.span = span
        self.gap = gap
        self.took = 0.0  # a second, by one of weight 1 from all that share it


class Listing:
    """One line of the list of backends. `born` 0 is long ago; `ready` is false while it drains or once gone.

    `gone` tells the second from the first, where that makes a difference.
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
    """One sending of a ticket to a backend. `ended` is None while it is out."""

    __slots__ = ("ticket", "backend", "sent_at", "timeout", "generation", "trial", "ended", "aside")

    def __init__(self, ticket: Ticket, backend: Backend, sent_at: int, timeout: int, trial: bool) -> None:
        self.ticket = ticket
        self.backend = backend
        self.sent_at = sent_at
        self.timeout = timeout
        self.generation = backend.generation
        self.trial = trial
        self.ended: int | None = None
        # Since when it holds no place at its backend, while its body still comes or its answer is passed on.
        self.aside: int | None = None


class Ticket:
    """One ticket in hand. `until` is its outer limit; `over` once it has had its final answer or its client
    left.

    `most` is how often it may go out, where that is less than the ground allows.
    """

    __slots__ = ("use_case", "customer", "arrived_at", "deadline", "cost", "attempts", "finished", "pause", "most")

    def __init__(
        self, use_case: UseCase, customer: Customer | None, arrived_at: int, deadline: int, cost: float = 0.0
    ) -> None:
        self.use_case = use_case
        self.customer = customer
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.cost = cost
        self.attempts: list[Attempt] = []
        self.finished = False
        self.pause = 0
        self.most = MOST


class PolicySettings:
    """What a proxy is told once, at its start: the use cases, the customers and the limits it works under."""

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
    group_size: int
    proxy_index: int
    tier_index: int
    last_tier: bool
    zone: str
    zones: list[str]
    most_attempts: int
    cancel_allowed: bool
    retry_after_allowed: bool
    max_retry_after: int
    polls_list: bool
    list_is_pushed: bool  # what has been told to whoever pushes the list binds, whether or not it came here
    ask_within: int
    drain_within: int  # nothing new to a backend so long after it was told to drain
    cold_share: float
    warm_after: int
    tip_multiple: float
    overload_for: int
    forwards_deadline: bool
    importance_by_work: bool
    reported_by: int
    is_sidecar: bool  # each client process has a proxy of its own, and so each proxy traffic of its own
    only_drain_binds: bool  # one that is gone or left out of the list may still be sent to

    @property
    def max_outer_limit(self) -> int:
        """As long as any client waits, whatever it asks for."""
        return max((use.outer_limit for use in self.use_cases), default=0)
