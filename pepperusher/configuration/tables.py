"""The typed tables of the proxy's own configuration file, with the descriptions that `explain` and the schema show.

Each subsystem adds its own table here. Durations are whole microseconds, written with a unit.
"""

from __future__ import annotations

from functools import partial
from typing import Annotated, Any, ClassVar, Literal

import msgspec
from msgspec import Meta

from pepperusher.durations import Span


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """Base of the tables of the file; an unknown key is an error."""


def _duration_default(us: int) -> Any:
    """A duration as a default. A default factory keeps msgspec from encoding it into the schema, which fails."""
    return msgspec.field(default_factory=partial(Span, us))


def _description(text: str) -> Meta:
    return Meta(description=text)


class Match(Table, kw_only=True, frozen=True):
    """The conditions under which a route applies to a request."""

    method: Annotated[str, _description("the HTTP method, such as GET or POST; any if omitted")] = ""
    path: Annotated[str, _description("a path template: /orders/{id}, or /files/{path*} for all paths below")] = (
        "/{any*}"
    )
    host: Annotated[
        str, _description("the host in lower case, without a port; *.local for all subdomains; any if omitted")
    ] = ""
    headers: Annotated[
        dict[str, str], _description("headers that must have exactly these values; names in lower case")
    ] = msgspec.field(default_factory=dict)


class Concurrency(Table, kw_only=True, frozen=True):
    """The concurrency limit of a route, fixed or adaptive, and its queue."""

    most: Annotated[int, _description("maximum number of concurrent tickets")]
    adaptive: Annotated[bool, _description("whether the limit adapts to response times, between least and most")] = (
        False
    )
    least: Annotated[int, _description("lower bound of the adaptive limit")] = 1
    start: Annotated[int, _description("initial value of the adaptive limit")] = 20
    tolerance: Annotated[
        float, _description("factor by which response times may grow before the adaptive limit shrinks")
    ] = 1.5
    queue: Annotated[
        int, _description("maximum number of tickets that wait beyond the limit; further ones are rejected")
    ] = 0


class Rate(Table, kw_only=True, frozen=True):
    """The rate limit of a route for each customer, a token bucket."""

    per_customer: Annotated[float, _description("sustained rate in tickets per second for each customer")]
    burst: Annotated[float, _description("burst size of the rate limit, in tickets")] = 10.0


class Budget(Table, kw_only=True, frozen=True):
    """The retry budget of a route."""

    share: Annotated[float, _description("retries allowed per first attempt")] = 0.2
    floor: Annotated[float, _description("retries per second that are allowed in any case")] = 1.0
    span: Annotated[Span, _description("time window over which the budget is counted")] = _duration_default(10_000_000)


RETRYABLE_OUTCOMES = Literal["unreached", "full", "error", "reset", "timed out"]


class Route(Table, kw_only=True, frozen=True):
    """The settings of one route."""

    FORMER: ClassVar[dict[str, str]] = {"transmissions": "attempts"}  # former key names, accepted for one more version

    name: Annotated[str, _description("the route's name in logs, responses and ctl")]
    match: Annotated[Match, _description("the tickets that the route applies to")] = msgspec.field(
        default_factory=Match
    )
    use_case: Annotated[
        str | None, _description("the use case that the route applies to; required for settings that depend on one")
    ] = None
    time_out: Annotated[Span | None, _description("time-out of an attempt, unless the balancer ends it earlier")] = None
    attempts: Annotated[int | None, _description("maximum number of attempts per ticket, 1 to 3")] = None
    retry_on: Annotated[
        list[RETRYABLE_OUTCOMES] | None, _description("outcomes after which a ticket may be retried; all if omitted")
    ] = None
    retry_budget: Annotated[Budget | None, _description("the retry budget of the route")] = None
    second_copy: Annotated[
        bool, _description("a second attempt while the first is in flight (hedging); the rules forbid it")
    ] = False
    concurrency: Annotated[Concurrency | None, _description("concurrency limit of the route")] = None
    rate: Annotated[Rate | None, _description("rate limit of the route")] = None
    priority: Annotated[
        int, _description("priority among the queued tickets of a customer, 0 to 9; the greater goes first")
    ] = 5
    outer: Annotated[Span | None, _description("overall time-out of a ticket whose client states none")] = None
    patience: Annotated[Span | None, _description("upper bound for the time-out that a client states")] = None


class Mark(Table, kw_only=True, frozen=True):
    """An override for one backend."""

    id: Annotated[str, _description("the backend's id as discovery lists it")]
    weight: Annotated[float | None, _description("factor for the weight that discovery lists")] = None
    drain: Annotated[bool, _description("whether the backend is drained: it receives no new tickets")] = False


class Changes(Table, kw_only=True, frozen=True):
    """How configuration changes are watched and confirmed."""

    confirm: Annotated[
        Literal["by itself", "by hand"],
        _description("whether a change that did no harm is confirmed automatically or manually"),
    ] = "by itself"
    watch: Annotated[
        Span,
        _description(
            "how long a change is watched; with manual confirmation, it is undone if still unconfirmed after this"
        ),
    ] = _duration_default(10_000_000)
    least: Annotated[int, _description("number of tickets that must end before a change is judged")] = 30
    errors: Annotated[float, _description("allowed increase of the share of scrapped tickets")] = 0.05
    bounces: Annotated[float, _description("allowed increase of the share of bounced tickets")] = 0.10
    latency: Annotated[float, _description("factor by which the 90th percentile of latency may rise")] = 2.0
    wait: Annotated[
        bool, _description("whether a change that is proposed while another is open is queued; otherwise it is refused")
    ] = False
    state: Annotated[
        str | None,
        _description("a persistent folder for the last confirmed configuration; without it a start uses the file"),
    ] = None
    history: Annotated[int, _description("number of changes that ctl history keeps")] = 50


class Control(Table, kw_only=True, frozen=True):
    """The control socket."""

    socket: Annotated[str | None, _description("path of the control socket; no socket if omitted")] = None
    connections: Annotated[int, _description("maximum number of concurrent connections")] = 8
    within: Annotated[
        Span, _description("time-out for receiving a whole command; after it the connection is closed")
    ] = _duration_default(5_000_000)


class Said(Table, kw_only=True, frozen=True):
    """The format of log lines, and details in responses."""

    form: Annotated[
        Literal["plain", "text", "json"], _description("format of log lines: plain lines, key=value or JSON")
    ] = "plain"
    version: Annotated[
        bool, _description("whether responses state the configuration version under which they were made")
    ] = False


class Store(Table, kw_only=True, frozen=True):
    """The persistent store."""

    folder: Annotated[str | None, _description("a persistent folder for the store; no store if omitted")] = None
    sync: Annotated[
        bool,
        _description(
            "whether writes are synced, so that they survive a crash of the machine and not only of the process"
        ),
    ] = True
    wait: Annotated[
        Span, _description("how long a referenced ticket waits for its record to be on disk before it is sent")
    ] = _duration_default(50_000)
    marks: Annotated[
        int, _description("maximum number of marks of referenced tickets; tickets with further marks are bounced")
    ] = 100_000
    compact_at: Annotated[int, _description("size of the log, in MB, at which it is compacted into a snapshot")] = 32


class Group(Table, kw_only=True, frozen=True):
    """The group of proxies, whose members probe each other."""

    listen: Annotated[
        str | None,
        _description("address:port where other proxies reach this one, by UDP and TCP; no group if omitted"),
    ] = None
    advertise: Annotated[str | None, _description("the address that other members use, if it differs from listen")] = (
        None
    )
    seeds: Annotated[list[str], _description("addresses of proxies to contact first; may include this one's own")] = (
        msgspec.field(default_factory=list)
    )
    key: Annotated[str, _description("the shared secret of the group, 16 characters or more")] = ""
    period: Annotated[Span, _description("interval at which a member probes another")] = _duration_default(500_000)
    within: Annotated[Span, _description("time-out of a probe, after which other members probe on its behalf")] = (
        _duration_default(150_000)
    )


class Distribution(Table, kw_only=True, frozen=True):
    """The control machines, and the resources that this proxy receives from them."""

    machines: Annotated[
        list[str],
        _description("all control machines, as address:port; nothing is distributed to this proxy if omitted"),
    ] = msgspec.field(default_factory=list)
    key_file: Annotated[str | None, _description("a file with the shared key of control machines and proxies")] = None
    config: Annotated[str | None, _description("the name of the configuration that this proxy receives from them")] = (
        None
    )
    endpoints: Annotated[
        str | None,
        _description(
            "the list of backends that this proxy receives from them, as region/name; if omitted, it watches discovery"
        ),
    ] = None
    keep: Annotated[
        str | None,
        _description(
            "a file that stores the configuration in force, to start from when no control machine is reachable"
        ),
    ] = None
    region: Annotated[str, _description("the region of this proxy, as shown in rollouts")] = ""
    near: Annotated[
        list[str], _description("the control machines in this proxy's region, which it prefers; unknown if omitted")
    ] = msgspec.field(default_factory=list)


class Own(Table, kw_only=True, frozen=True):
    """The proxy's own configuration file as a whole."""

    routes: Annotated[list[Route], _description("settings by route")] = msgspec.field(default_factory=list)
    backends: Annotated[list[Mark], _description("overrides for backends, applied on top of what discovery lists")] = (
        msgspec.field(default_factory=list)
    )
    weights: Annotated[
        dict[str, float], _description("weights of customers in the queues of tickets; 1 if omitted")
    ] = msgspec.field(default_factory=dict)
    changes: Annotated[Changes, _description("how configuration changes are watched, confirmed and undone")] = (
        msgspec.field(default_factory=Changes)
    )
    control: Annotated[Control, _description("the control socket")] = msgspec.field(default_factory=Control)
    store: Annotated[Store, _description("data that is kept over a restart; read only at startup")] = msgspec.field(
        default_factory=Store
    )
    group: Annotated[Group, _description("the group of proxies; read only at startup")] = msgspec.field(
        default_factory=Group
    )
    distribution: Annotated[Distribution, _description("the control machines; read only at startup")] = msgspec.field(
        default_factory=Distribution
    )
    said: Annotated[Said, _description("the log, and details in responses")] = msgspec.field(default_factory=Said)
