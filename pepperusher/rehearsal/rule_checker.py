"""The books: the four rules checked over what both sides of the proxies wrote down; free of I/O.

What a proxy is held to is what it could have known: it is not blamed for a client that left, for what it held
when it was killed, nor for a repeat that a client sent under a new name. Each entry against it names ticket,
time and backend.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from pepperusher.rehearsal.effective_changes import effective_notifications
from pepperusher.rehearsal.fleet_plan import FleetPlan, Place
from pepperusher.rehearsal.records import (
    BOUNCED,
    DONE,
    LEFT,
    LOST,
    WRONG,
    MembershipBelief,
    ProxyPause,
    ProxyRun,
    Reconfiguration,
    Sample,
    BackendAttempt,
    Stall,
    BackendLifetimeRecord,
    StateNotification,
    ClientAttempt,
    BreakerChange,
)
from pepperusher.rehearsal.endpoint_history import READY
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.stalls import Spans

LOST_TICKET, TWICE, DRAINS, COLD = (
    "no ticket lost",
    "no effect twice",
    "drains kept",
    "no cold backend pushed over",
)
RULES = (LOST_TICKET, TWICE, DRAINS, COLD)
# Entries kept of one rule; all are counted.
MOST_KEPT = 50
# What connects within this of a process' end or start may have crossed it.
CROSSING = 100_000
MOST_TIERS = 20


class Entry(NamedTuple):
    """One thing against the proxies. `backend` may be ""."""

    rule: str
    ticket: str
    at: int
    backend: str
    what: str


class Records:
    """All records of a rehearsal, sorted by kind; `add` takes them in any order."""

    def __init__(self, records: Iterable[msgspec.Struct] = ()) -> None:
        self.client_attempts: list[ClientAttempt] = []
        self.backend_attempts: list[BackendAttempt] = []
        self.state_notifications: list[StateNotification] = []
        self.backend_lifetimes: list[BackendLifetimeRecord] = []
        self.proxy_runs: list[ProxyRun] = []
        self.stalls: list[Stall] = []
        self.samples: list[Sample] = []
        self.breaker_changes: list[BreakerChange] = []
        self.proxy_pauses: list[ProxyPause] = []
        self.membership_beliefs: list[MembershipBelief] = []
        self.reconfigurations: list[Reconfiguration] = []
        self._lists = {
            ClientAttempt: self.client_attempts,
            BackendAttempt: self.backend_attempts,
            StateNotification: self.state_notifications,
            BackendLifetimeRecord: self.backend_lifetimes,
            ProxyRun: self.proxy_runs,
            Stall: self.stalls,
            Sample: self.samples,
            BreakerChange: self.breaker_changes,
            ProxyPause: self.proxy_pauses,
            MembershipBelief: self.membership_beliefs,
            Reconfiguration: self.reconfigurations,
        }
        for record in records:
            self.add(record)

    def add(self, record: msgspec.Struct) -> None:
        self._lists[type(record)].append(record)  # type: ignore[attr-defined]


class RuleChecker:
    """What stands against each rule: `counts` by rule, and `entries`, MOST_KEPT of each at the most."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(RULES, 0)
        self.entries: list[Entry] = []

    def against(self, rule: str, ticket: str, at: int, backend: str, what: str) -> None:
        self.counts[rule] += 1
        if self.counts[rule] <= MOST_KEPT:
            self.entries.append(Entry(rule, ticket, at, backend, what))

    @property
    def kept(self) -> bool:
        return not any(self.counts.values())


def check(script: Script, records: Records) -> RuleChecker:
    book = RuleChecker()
    sent_of: dict[str, list[BackendAttempt]] = defaultdict(list)
    for sent in records.backend_attempts:
        sent_of[sent.name].append(sent)
    for those in sent_of.values():
        those.sort(key=lambda one: one.first)
    _check_lost(script, records, sent_of, book)
    _check_twice(script, records, sent_of, book)
    _check_drains(script, records, book)
    _check_cold(records, book)
    book.entries.sort(key=lambda one: (RULES.index(one.rule), one.at))
    return book


# --- no ticket lost --------------------------------------------------------------------------------


def _check_lost(script: Script, records: Records, sent_of: dict[str, list[BackendAttempt]], book: RuleChecker) -> None:
    """A ticket written whole to a proxy that stood gets one whole answer by the time its client gives up."""
    stays: dict[int, list[ProxyRun]] = defaultdict(list)
    for ran in records.proxy_runs:
        stays[ran.proxy].append(ran)
    stills = _stills(records)
    slack = script.rules.slack
    for one in records.client_attempts:
        if one.how == WRONG:
            _wrong(one, sent_of, book)
            continue
        if one.how == DONE and not any(sent.effect >= 0 or sent.repeat for sent in sent_of.get(one.name, ())):
            book.against(LOST_TICKET, one.name, one.ended, "", "done with an answer that no backend made for it")
            continue
        if one.crossed >= 0 and any(0 <= sent.first < one.crossed for sent in sent_of.get(one.name, ())):
            # It had been read: its proxy sent it on, and ended its connection with no answer.
            if not _killed(stays[one.proxy], one):
                book.against(LOST_TICKET, one.name, one.crossed, "", "its connection ended without an answer, sent on")
            continue
        if one.how not in (LOST, LEFT) or one.written < 0:
            continue
        if _killed(stays[one.proxy], one):
            continue
        still = stills[one.proxy]
        if one.how == LOST:
            if not _end_seen_late(one, one.name in sent_of, still):
                book.against(LOST_TICKET, one.name, one.ended, "", "its connection ended without a whole answer")
        elif one.parent == "" and _waited(one, still) >= slack:
            book.against(
                LOST_TICKET,
                one.name,
                one.ended,
                "",
                f"no answer {(one.ended - one.sent) // 1000} ms after it was sent",
            )


def _stills(records: Records) -> dict[int, Spans]:
    """By proxy, when its process could not run or a generator did not: what was due then is not held against
    it. A little longer than it was kept, for what it has to catch up with.
    """
    silent = [(stall.at, stall.until) for stall in records.stalls]
    kept: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for held in records.proxy_pauses:
        kept[held.proxy].append((held.at, held.until + CROSSING))
    none = Spans(silent)
    return defaultdict(lambda: none, {proxy: Spans(silent + those) for proxy, those in kept.items()})


def _waited(one: ClientAttempt, still: Spans) -> int:
    """How long after its answer was due the client looked for it and its proxy could run.

    Due at the end of the time that the client told; where somebody stood still as the ticket was sent, that
    time began when its proxy could read it. A process pause that was over before that excuses nothing: its proxy
    could still say at least that there is no answer, and what had come meanwhile was read.
    """
    written = still.until(one.written)
    moved = written != one.written or still.touch(one.sent, one.written)
    due = (written if moved else one.sent) + one.limit
    return one.ended - due - still.covered(due, one.ended) if due < one.ended else -1


def _end_seen_late(one: ClientAttempt, sent_on: bool, still: Spans) -> bool:
    """Whether a process pause explains that its connection ended without an answer. Nobody's clock ends one that
    a proxy works at. A proxy ends a kept connection that rests, and one on which the rest of a ticket does
    not come; its client is to see that at once and to ask once more, and can't while it or the proxy stands
    still. So never where the ticket had been sent on.
    """
    if sent_on or not still.touch(one.sent, one.ended):
        return False
    return not one.fresh or still.touch(one.sent, one.written)


def _wrong(one: ClientAttempt, sent_of: dict[str, list[BackendAttempt]], book: RuleChecker) -> None:
    book.against(
        LOST_TICKET,
        one.name,
        one.ended,
        "",
        f"answered {one.status} with what no backend made for it, or more than one answer",
    )


def _killed(stays: list[ProxyRun], one: ClientAttempt) -> bool:
    """Whether its proxy was killed while it had it."""
    return any(0 <= ran.killed and one.sent - CROSSING <= ran.killed <= one.ended + CROSSING for ran in stays)


# --- no effect twice -------------------------------------------------------------------------------


def _check_twice(script: Script, records: Records, sent_of: dict[str, list[BackendAttempt]], book: RuleChecker) -> None:
    """Never two attempts at once, never more than allowed, and none that may repeat an effect where the
    use case does not let it. What never began, and what was turned away, has not run."""
    most = script.rules.most_attempts
    places = FleetPlan(script, 0).places
    bounced = {one.name: one for one in records.client_attempts if one.how == BOUNCED}
    crossed = {one.name: one.crossed for one in records.client_attempts if one.crossed >= 0}
    for name, those in (
        (name, part) for name, those in sent_of.items() for part in _asked(those, crossed.get(name, -1))
    ):
        if len(those) > most:
            book.against(TWICE, name, those[most].first, those[most].id, f"{len(those)} attempts, {most} allowed")
        for before, after in zip(those, those[1:]):
            over = before.ended if before.gone < 0 else before.gone
            if over < 0 or after.first < over - script.rules.slack:
                book.against(
                    TWICE,
                    name,
                    after.first,
                    after.id,
                    f"sent while it was still out at {before.id}, {(over - after.first) / 1000:.1f} ms early",
                )
        use = script.use_cases[those[0].use]
        if use.repeat == "single-use":
            _single(those, bounced.get(name), book)
        elif use.repeat == "referenced":
            _referenced(script, places, those, book)


def _asked(those: list[BackendAttempt], crossed: int) -> list[list[BackendAttempt]]:
    """Attempts by each time that the client asked: one that sent a ticket once more on a new connection
    asked for what comes after that itself."""
    parts = [[one for one in those if one.first < crossed], [one for one in those if one.first >= crossed]]
    return [part for part in parts if part]


def _single(those: list[BackendAttempt], bounced: ClientAttempt | None, book: RuleChecker) -> None:
    ran = [one for one in those if one.begun >= 0]
    for one in ran[1:]:
        book.against(TWICE, one.name, one.begun, one.id, f"single-use, and had begun at {ran[0].id}")
    if bounced is not None and ran:
        book.against(TWICE, bounced.name, bounced.ended, ran[0].id, "bounced as harmless, and had begun")


def _referenced(script: Script, places: list[Place], those: list[BackendAttempt], book: RuleChecker) -> None:
    use = script.use_cases[those[0].use]

    def group(one: BackendAttempt) -> object:
        """Those among which a repeat is known."""
        return one.tier if use.scope == "all" else places[one.place].zone if use.scope == "zone" else one.cell

    for turn, one in enumerate(those):
        begun = [before for before in those[:turn] if 0 <= before.begun]
        if not begun or one.away:
            continue
        if group(one) != group(begun[0]):
            book.against(
                TWICE,
                one.name,
                one.first,
                one.id,
                f"had begun at {begun[0].id}, whose group alone drops its repeats",
            )
        elif one.last - begun[0].begun > use.remembered + script.rules.slack:
            book.against(TWICE, one.name, one.first, one.id, f"had begun at {begun[0].id}, longer ago than is known")
    effects = [one for one in those if one.effect >= 0]
    for one in effects[1:]:
        book.against(TWICE, one.name, one.effect, one.id, f"took effect before at {effects[0].id}")


# --- drains kept -----------------------------------------------------------------------------------


def _check_drains(script: Script, records: Records, book: RuleChecker) -> None:
    """Nothing's first byte comes to a backend later than the grace after its sender was told that it
    drains, or that counts as told."""
    told: dict[tuple[int, str], list[StateNotification]] = defaultdict(list)
    for one in [
        *records.state_notifications,
        *effective_notifications(script, records.reconfigurations, records.proxy_runs),
    ]:
        told[one.proxy, one.id].append(one)
    # What discovery wrote to a process that could not run it has read once it runs again.
    for held in sorted(records.proxy_pauses, key=lambda one: one.at):
        for (proxy, _), those in told.items():
            if proxy == held.proxy:
                those[:] = [
                    StateNotification(one.proxy, one.id, one.state, held.until)
                    if held.at <= one.at < held.until
                    else one
                    for one in those
                ]
    for those in told.values():
        those.sort(key=lambda one: one.at)
    proxy_of = {one.name: one.proxy for one in records.client_attempts}
    started: dict[int, list[int]] = defaultdict(list)
    for ran in records.proxy_runs:
        started[ran.proxy].append(ran.started)
    grace = script.rules.drain_grace + script.rules.slack
    for sent in records.backend_attempts:
        proxy = proxy_of.get(sent.name)
        if proxy is None:
            continue
        words = [one for one in told.get((proxy, sent.id), ()) if one.at <= sent.first]
        if not words or words[-1].state == READY:
            continue
        # Told the same again, it was told with the first of them; a process knows what was told to it alone.
        since = words[-1].at
        for one in reversed(words):
            if one.state == READY:
                break
            since = one.at
        begun = max((at for at in started[proxy] if at <= sent.first), default=-1)
        if since < begun:
            later = [one.at for one in words if one.at >= begun]
            if not later:
                continue
            since = later[0]
        if sent.first - since > grace:
            book.against(
                DRAINS,
                sent.name,
                sent.first,
                sent.id,
                f"sent {(sent.first - since) // 1000} ms after its proxy was told that it is {words[-1].state}",
            )


def _check_cold(records: Records, book: RuleChecker) -> None:
    for stood in records.backend_lifetimes:
        if stood.fell >= 0:
            book.against(COLD, "", stood.fell, stood.id, "pushed over while it was cold")


# --- beyond the rules ------------------------------------------------------------------------------


class WorkUsage(NamedTuple):
    """How the fleet's work was used: attempts and what became of their work (us on a core of speed 1).

    `wasted` is work that no client had anything of: it was stopped, or its answer did not count. `lived_on`
    are, for each piece of work in whatever tier, how long it went on after its client outside had left or had
    its answer (us), where it did. `doubled` are effects of one mark more than
    once over all tries of a client, which no rule forbids a proxy.
    """

    tickets: int
    attempts: int
    away: int
    worked: int
    wasted: int
    lived_on: list[int]
    doubled: int


def work_usage(script: Script, records: Records) -> WorkUsage:
    done = {one.name for one in records.client_attempts if one.how == DONE}
    ended = _ends_outside(records)
    effects: dict[tuple[int, str], int] = defaultdict(int)
    worked = wasted = away = 0
    lived_on = []
    for sent in records.backend_attempts:
        worked += sent.worked
        away += sent.away
        if sent.name not in done:
            wasted += sent.worked
        if sent.begun >= 0 and sent.ended > ended.get(sent.name, sent.ended):
            lived_on.append(sent.ended - ended[sent.name])
        if sent.effect >= 0 and sent.mark and script.use_cases[sent.use].repeat == "referenced":
            effects[sent.tier, sent.mark] += 1
    # Counted to the end of each client's wish; below the first tier as well.
    doubled = sum(count - 1 for count in effects.values() if count > 1)
    tickets = len({sent.name for sent in records.backend_attempts})
    return WorkUsage(tickets, len(records.backend_attempts), away, worked, wasted, sorted(lived_on), doubled)


def _ends_outside(records: Records) -> dict[str, int]:
    """By ticket of any tier, when the try of the client outside that it is made for was over."""
    sender = {one.name: one for one in records.client_attempts}
    ends: dict[str, int] = {}
    for one in records.client_attempts:
        # A call's parent is a ticket of the tier above; as many steps as there are tiers, and no loops.
        at, steps = one, 0
        while at.parent and at.parent in sender and steps < MOST_TIERS:
            at, steps = sender[at.parent], steps + 1
        if not at.parent:
            ends[one.name] = at.ended
    return ends
