"""The tables of the proxy's own file, typed; what each key means is said here once, for `explain`, schema and
pages.

Every later subsystem adds its table here. Spans are whole microseconds, written with a unit.
"""

from __future__ import annotations

from functools import partial
from typing import Annotated, Any, ClassVar, Literal

import msgspec
from msgspec import Meta

from pepperusher.durations import Span


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """A table of the file: a key that it does not know is an error."""


def _span(us: int) -> Any:
    """A default that the schema's writer need not put as JSON."""
    return msgspec.field(default_factory=partial(Span, us))


def _said(text: str) -> Meta:
    return Meta(description=text)


class Match(Table, kw_only=True, frozen=True):
    method: Annotated[str, _said("GET, POST and so on; any if left out")] = ""
    path: Annotated[str, _said("a template: /orders/{id}, or /files/{path*} for all below")] = "/{any*}"
    host: Annotated[str, _said("in small letters, without a port; *.local for all below; any if left out")] = ""
    headers: Annotated[dict[str, str], _said("headers, names in small letters, that must have just these values")] = (
        msgspec.field(default_factory=dict)
    )


class Concurrency(Table, kw_only=True, frozen=True):
    most: Annotated[int, _said("how many tickets at once at the most")]
    adaptive: Annotated[bool, _said("whether the limit follows the times of answers, from least to most")] = False
    least: Annotated[int, _said("where the adaptive limit ends downwards")] = 1
    start: Annotated[int, _said("where the adaptive limit starts")] = 20
    tolerance: Annotated[float, _said("by how much times may grow before the adaptive limit shrinks")] = 1.5
    queue: Annotated[int, _said("how many wait beyond the limit; the rest bounce")] = 0


class Rate(Table, kw_only=True, frozen=True):
    per_customer: Annotated[float, _said("tickets a second of each customer, in the long run")]
    burst: Annotated[float, _said("tickets at once")] = 10.0


class Budget(Table, kw_only=True, frozen=True):
    share: Annotated[float, _said("further attempts for each first one")] = 0.2
    floor: Annotated[float, _said("further attempts a second in any case")] = 1.0
    span: Annotated[Span, _said("over how long both are counted")] = _span(10_000_000)


ENDS = Literal["unreached", "full", "error", "reset", "timed out"]


class Route(Table, kw_only=True, frozen=True):
    FORMER: ClassVar[dict[str, str]] = {"transmissions": "attempts"}  # for one more version

    name: Annotated[str, _said("what logs, answers and ctl call it")]
    match: Annotated[Match, _said("which tickets it is for")] = msgspec.field(default_factory=Match)
    use_case: Annotated[str | None, _said("the use case it is for; needed for terms that hang on one")] = None
    time_out: Annotated[Span | None, _said("after this an attempt is given up, if the decisions have not before")] = (
        None
    )
    attempts: Annotated[int | None, _said("how often a ticket may go out, 1 to 3")] = None
    retry_on: Annotated[list[ENDS] | None, _said("after which ends a ticket may go out again; all if left out")] = None
    retry_budget: Annotated[Budget | None, _said("how many further attempts the route may make")] = None
    second_copy: Annotated[bool, _said("a second attempt while the first is out; the rules forbid it")] = False
    concurrency: Annotated[Concurrency | None, _said("how many tickets at once")] = None
    rate: Annotated[Rate | None, _said("how often")] = None
    priority: Annotated[int, _said("who of a customer's goes first in a queue, the greater; 0 to 9")] = 5
    outer: Annotated[Span | None, _said("the ticket's outer limit, where its client does not say")] = None
    patience: Annotated[Span | None, _said("however long a client says that it waits, it is held to this")] = None


class Mark(Table, kw_only=True, frozen=True):
    id: Annotated[str, _said("the backend's id in the list")]
    weight: Annotated[float | None, _said("its weight, times what the list says")] = None
    drain: Annotated[bool, _said("nothing new goes to it")] = False


class Changes(Table, kw_only=True, frozen=True):
    confirm: Annotated[
        Literal["by itself", "by hand"], _said("whether a change that did no harm is confirmed by itself")
    ] = "by itself"
    watch: Annotated[Span, _said("for how long a change is watched; by hand, after this unconfirmed it is undone")] = (
        _span(10_000_000)
    )
    least: Annotated[int, _said("tickets before anything is judged")] = 30
    errors: Annotated[float, _said("by how much the share of scrapped tickets may rise")] = 0.05
    bounces: Annotated[float, _said("by how much the share of bounced tickets may rise")] = 0.10
    latency: Annotated[float, _said("how many times as long the 90th percentile may become")] = 2.0
    wait: Annotated[bool, _said("whether a change proposed within another waits for it, or is refused")] = False
    state: Annotated[
        str | None,
        _said("a folder that lasts, for the last confirmed; without one the file counts at a start"),
    ] = None
    history: Annotated[int, _said("how many changes ctl history knows")] = 50


class Control(Table, kw_only=True, frozen=True):
    socket: Annotated[str | None, _said("where the control socket is; none if left out")] = None
    connections: Annotated[int, _said("how many may be connected at once")] = 8
    within: Annotated[Span, _said("a command that is not whole by then ends its connection")] = _span(5_000_000)


class Said(Table, kw_only=True, frozen=True):
    form: Annotated[Literal["plain", "text", "json"], _said("lines as ever, or key=value, or JSON")] = "plain"
    version: Annotated[bool, _said("whether answers name the version of the terms that they were made under")] = False


class Store(Table, kw_only=True, frozen=True):
    folder: Annotated[str | None, _said("a folder that lasts, for the store; none if left out")] = None
    sync: Annotated[bool, _said("whether what is kept outlives the machine, and not the process alone")] = True
    wait: Annotated[Span, _said("for how long a referenced ticket waits to be on disk before it goes out")] = _span(
        50_000
    )
    marks: Annotated[int, _said("marks of referenced tickets at once; one more is bounced")] = 100_000
    compact_at: Annotated[int, _said("MB of log at which what it holds is put into a snapshot")] = 32


class Group(Table, kw_only=True, frozen=True):
    listen: Annotated[
        str | None,
        _said("where other proxies reach this one, address:port, by datagrams and streams; no group if left out"),
    ] = None
    advertise: Annotated[str | None, _said("the address that others are told, where it is another than listen")] = None
    seeds: Annotated[list[str], _said("addresses of proxies to ask first; this one's own does no harm")] = (
        msgspec.field(default_factory=list)
    )
    key: Annotated[str, _said("what all members have and strangers have not, 16 characters or more")] = ""
    period: Annotated[Span, _said("how often a member asks another whether it is there")] = _span(500_000)
    within: Annotated[Span, _said("how long it waits before it has others ask")] = _span(150_000)


class Distribution(Table, kw_only=True, frozen=True):
    machines: Annotated[
        list[str], _said("all control machines, address:port each; nothing is distributed to this proxy if left out")
    ] = msgspec.field(default_factory=list)
    key_file: Annotated[str | None, _said("a file with the key that control machines and proxies have")] = None
    config: Annotated[str | None, _said("the name of the configuration that this proxy takes from them")] = None
    endpoints: Annotated[
        str | None,
        _said("the list of backends that this proxy takes from them, region/name; watched at discovery if left out"),
    ] = None
    keep: Annotated[
        str | None, _said("a file for what is in force, to start from when no control machine is there")
    ] = None
    region: Annotated[str, _said("where this proxy stands, as rollouts tell it")] = ""
    near: Annotated[
        list[str], _said("those of the machines that stand in its region: used first; nobody knows if left out")
    ] = msgspec.field(default_factory=list)


class Own(Table, kw_only=True, frozen=True):
    """The proxy's own file as a whole."""

    routes: Annotated[list[Route], _said("terms by route")] = msgspec.field(default_factory=list)
    backends: Annotated[list[Mark], _said("marks on backends, beside what the list says")] = msgspec.field(
        default_factory=list
    )
    weights: Annotated[dict[str, float], _said("customers' shares where tickets wait; 1 if left out")] = msgspec.field(
        default_factory=dict
    )
    changes: Annotated[Changes, _said("how changes are watched, confirmed and undone")] = msgspec.field(
        default_factory=Changes
    )
    control: Annotated[Control, _said("the control socket")] = msgspec.field(default_factory=Control)
    store: Annotated[Store, _said("what is kept over a restart; read at a start alone")] = msgspec.field(
        default_factory=Store
    )
    group: Annotated[Group, _said("the other proxies; read at a start alone")] = msgspec.field(default_factory=Group)
    distribution: Annotated[Distribution, _said("control machines; read at a start alone")] = msgspec.field(
        default_factory=Distribution
    )
    said: Annotated[Said, _said("the log, and what answers tell")] = msgspec.field(default_factory=Said)
