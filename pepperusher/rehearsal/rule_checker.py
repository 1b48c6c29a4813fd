"""Checks the four rules against the records that clients and backends wrote during a rehearsal; does no I/O.

A proxy is only held to what it could have known: a client that left, the tickets that a proxy held when it was killed and
a repeat that a client sent under a new name are no violations. Each entry names the ticket, the time and the backend.
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
# The number of entries that are kept per rule; violations beyond it are only counted.
MAX_ENTRIES_PER_RULE = 50
# A ticket this close to the end of a process may have been in flight when the process ended.
PROCESS_BOUNDARY_TOLERANCE_US = 100_000
MAX_CALL_DEPTH = 20


class Entry(NamedTuple):
    """One violation of a rule; `backend` is "" if none is involved."""

    rule: str
    ticket: str
    at: int
    backend: str
    what: str


class Records:
    """All records of a rehearsal, grouped by type; `add` accepts them in any order."""

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
        self._lists_by_type = {
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
        self._lists_by_type[type(record)].append(record)  # type: ignore[attr-defined]


class RuleChecker:
    """The violations found: `counts` per rule, and `entries`, at most MAX_ENTRIES_PER_RULE of each rule."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(RULES, 0)
        self.entries: list[Entry] = []

    def report_violation(self, rule: str, ticket: str, at: int, backend: str, what: str) -> None:
        """Counts a violation and keeps an entry for it, unless the rule already has MAX_ENTRIES_PER_RULE."""
        self.counts[rule] += 1
        if self.counts[rule] <= MAX_ENTRIES_PER_RULE:
            self.entries.append(Entry(rule, ticket, at, backend, what))

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.counts.values())


def check(script: Script, records: Records) -> RuleChecker:
    """Checks all four rules; the entries are ordered by rule and time."""
    checker = RuleChecker()
    attempts_by_ticket: dict[str, list[BackendAttempt]] = defaultdict(list)
    for attempt in records.backend_attempts:
        attempts_by_ticket[attempt.name].append(attempt)
    for attempts in attempts_by_ticket.values():
        attempts.sort(key=lambda attempt: attempt.first)
    _check_lost_tickets(script, records, attempts_by_ticket, checker)
    _check_duplicate_effects(script, records, attempts_by_ticket, checker)
    _check_drains(script, records, checker)
    _check_cold_backends(records, checker)
    checker.entries.sort(key=lambda entry: (RULES.index(entry.rule), entry.at))
    return checker


# --- no ticket lost --------------------------------------------------------------------------------


def _check_lost_tickets(
    script: Script, records: Records, attempts_by_ticket: dict[str, list[BackendAttempt]], checker: RuleChecker
) -> None:
    """A ticket that was written completely to a running proxy gets one complete answer before its client gives up."""
    runs_by_proxy: dict[int, list[ProxyRun]] = defaultdict(list)
    for run in records.proxy_runs:
        runs_by_proxy[run.proxy].append(run)
    unresponsive_by_proxy = _unresponsive_spans(records)
    slack = script.rules.slack
    for client_attempt in records.client_attempts:
        if client_attempt.how == WRONG:
            _report_wrong_answer(client_attempt, attempts_by_ticket, checker)
            continue
        if client_attempt.how == DONE and not any(
            backend_attempt.effect >= 0 or backend_attempt.repeat
            for backend_attempt in attempts_by_ticket.get(client_attempt.name, ())
        ):
            checker.report_violation(
                LOST_TICKET,
                client_attempt.name,
                client_attempt.ended,
                "",
                "done with an answer that no backend made for it",
            )
            continue
        if client_attempt.crossed >= 0 and any(
            0 <= backend_attempt.first < client_attempt.crossed
            for backend_attempt in attempts_by_ticket.get(client_attempt.name, ())
        ):
            # The proxy had read the ticket and forwarded it, but closed the connection without an answer.
            if not _killed_during(runs_by_proxy[client_attempt.proxy], client_attempt):
                checker.report_violation(
                    LOST_TICKET,
                    client_attempt.name,
                    client_attempt.crossed,
                    "",
                    "its connection ended without an answer after it was forwarded",
                )
            continue
        if client_attempt.how not in (LOST, LEFT) or client_attempt.written < 0:
            continue
        if _killed_during(runs_by_proxy[client_attempt.proxy], client_attempt):
            continue
        unresponsive = unresponsive_by_proxy[client_attempt.proxy]
        if client_attempt.how == LOST:
            if not _explained_by_pause(client_attempt, client_attempt.name in attempts_by_ticket, unresponsive):
                checker.report_violation(
                    LOST_TICKET,
                    client_attempt.name,
                    client_attempt.ended,
                    "",
                    "its connection ended without a whole answer",
                )
        elif client_attempt.parent == "" and _overdue_us(client_attempt, unresponsive) >= slack:
            checker.report_violation(
                LOST_TICKET,
                client_attempt.name,
                client_attempt.ended,
                "",
                f"no answer {(client_attempt.ended - client_attempt.sent) // 1000} ms after it was sent",
            )


def _unresponsive_spans(records: Records) -> dict[int, Spans]:
    """Returns the spans in which each proxy's process was paused or a generator stalled.

    What was due within them is no violation. A pause counts as a little longer than it was, since the process then has a
    backlog to work off.
    """
    generator_stalls = [(stall.at, stall.until) for stall in records.stalls]
    pauses_by_proxy: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for pause in records.proxy_pauses:
        pauses_by_proxy[pause.proxy].append((pause.at, pause.until + PROCESS_BOUNDARY_TOLERANCE_US))
    only_stalls = Spans(generator_stalls)
    return defaultdict(
        lambda: only_stalls, {proxy: Spans(generator_stalls + pauses) for proxy, pauses in pauses_by_proxy.items()}
    )


def _overdue_us(attempt: ClientAttempt, unresponsive: Spans) -> int:
    """Returns how long the client waited beyond the time its answer was due, less pauses and stalls; -1 if it was not due.

    The answer is due at the end of the time limit that the client announced. If the proxy was paused or a generator stalled
    while the ticket was sent, the limit runs from when the proxy could read the ticket. A pause that ended before the limit is
    no excuse: the proxy could still have answered that there is no result.
    """
    readable_at = unresponsive.end_after(attempt.written)
    was_delayed = readable_at != attempt.written or unresponsive.overlaps(attempt.sent, attempt.written)
    due = (readable_at if was_delayed else attempt.sent) + attempt.limit
    return attempt.ended - due - unresponsive.overlap_us(due, attempt.ended) if due < attempt.ended else -1


def _explained_by_pause(attempt: ClientAttempt, was_forwarded: bool, unresponsive: Spans) -> bool:
    """Whether a pause or stall explains that the connection ended without an answer.

    No time-out ends a connection while the proxy works on its ticket, so a forwarded ticket is never excused. A proxy does
    close an idle keep-alive connection, and one on which the rest of a request does not arrive. The client is expected to
    notice that at once and to send the ticket again, which it cannot do while it or the proxy is paused.
    """
    if was_forwarded or not unresponsive.overlaps(attempt.sent, attempt.ended):
        return False
    return not attempt.fresh or unresponsive.overlaps(attempt.sent, attempt.written)


def _report_wrong_answer(
    attempt: ClientAttempt, attempts_by_ticket: dict[str, list[BackendAttempt]], checker: RuleChecker
) -> None:
    checker.report_violation(
        LOST_TICKET,
        attempt.name,
        attempt.ended,
        "",
        f"answered {attempt.status} with what no backend made for it, or more than one answer",
    )


def _killed_during(runs: list[ProxyRun], attempt: ClientAttempt) -> bool:
    """Whether the proxy was killed while it had the ticket."""
    return any(
        0 <= run.killed
        and attempt.sent - PROCESS_BOUNDARY_TOLERANCE_US <= run.killed <= attempt.ended + PROCESS_BOUNDARY_TOLERANCE_US
        for run in runs
    )


# --- no effect twice -------------------------------------------------------------------------------


def _check_duplicate_effects(
    script: Script, records: Records, attempts_by_ticket: dict[str, list[BackendAttempt]], checker: RuleChecker
) -> None:
    """Attempts of a ticket never overlap or exceed the limit, and none repeats an effect that the use case forbids to repeat.

    An attempt that never began or that the backend rejected has had no effect.
    """
    max_attempts = script.rules.most_attempts
    places = FleetPlan(script, 0).places
    bounced = {
        client_attempt.name: client_attempt
        for client_attempt in records.client_attempts
        if client_attempt.how == BOUNCED
    }
    resent_at = {
        client_attempt.name: client_attempt.crossed
        for client_attempt in records.client_attempts
        if client_attempt.crossed >= 0
    }
    for name, attempts in (
        (name, split_attempts)
        for name, attempts in attempts_by_ticket.items()
        for split_attempts in _split_at_resend(attempts, resent_at.get(name, -1))
    ):
        if len(attempts) > max_attempts:
            checker.report_violation(
                TWICE,
                name,
                attempts[max_attempts].first,
                attempts[max_attempts].id,
                f"{len(attempts)} attempts, {max_attempts} allowed",
            )
        for before, after in zip(attempts, attempts[1:]):
            closed_at = before.ended if before.gone < 0 else before.gone
            if closed_at < 0 or after.first < closed_at - script.rules.slack:
                checker.report_violation(
                    TWICE,
                    name,
                    after.first,
                    after.id,
                    f"sent while its attempt at {before.id} was still open, {(closed_at - after.first) / 1000:.1f} ms early",
                )
        use = script.use_cases[attempts[0].use]
        if use.repeat == "single-use":
            _check_single_use(attempts, bounced.get(name), checker)
        elif use.repeat == "referenced":
            _check_referenced(script, places, attempts, checker)


def _split_at_resend(attempts: list[BackendAttempt], resent_at: int) -> list[list[BackendAttempt]]:
    """Splits the attempts at the time at which the client itself sent the ticket again on a new connection.

    The attempts after that time belong to the client's second request, not to a retry by the proxy.
    """
    parts = [
        [attempt for attempt in attempts if attempt.first < resent_at],
        [attempt for attempt in attempts if attempt.first >= resent_at],
    ]
    return [part for part in parts if part]


def _check_single_use(attempts: list[BackendAttempt], bounced: ClientAttempt | None, checker: RuleChecker) -> None:
    begun = [attempt for attempt in attempts if attempt.begun >= 0]
    for attempt in begun[1:]:
        checker.report_violation(
            TWICE, attempt.name, attempt.begun, attempt.id, f"single-use, but had already begun at {begun[0].id}"
        )
    if bounced is not None and begun:
        checker.report_violation(
            TWICE, bounced.name, bounced.ended, begun[0].id, "rejected as never begun, but had begun"
        )


def _check_referenced(
    script: Script, places: list[Place], attempts: list[BackendAttempt], checker: RuleChecker
) -> None:
    use = script.use_cases[attempts[0].use]

    def group(attempt: BackendAttempt) -> object:
        """Identifies the group of backends that recognises repeats of this attempt."""
        return (
            attempt.tier if use.scope == "all" else places[attempt.place].zone if use.scope == "zone" else attempt.cell
        )

    for position, attempt in enumerate(attempts):
        begun = [earlier for earlier in attempts[:position] if 0 <= earlier.begun]
        if not begun or attempt.away:
            continue
        if group(attempt) != group(begun[0]):
            checker.report_violation(
                TWICE,
                attempt.name,
                attempt.first,
                attempt.id,
                f"had begun at {begun[0].id}, and only its group recognises repeats",
            )
        elif attempt.last - begun[0].begun > use.remembered + script.rules.slack:
            checker.report_violation(
                TWICE,
                attempt.name,
                attempt.first,
                attempt.id,
                f"had begun at {begun[0].id}, longer ago than repeats are remembered",
            )
    effects = [attempt for attempt in attempts if attempt.effect >= 0]
    for attempt in effects[1:]:
        checker.report_violation(
            TWICE, attempt.name, attempt.effect, attempt.id, f"had already taken effect at {effects[0].id}"
        )


# --- drains kept -----------------------------------------------------------------------------------


def _check_drains(script: Script, records: Records, checker: RuleChecker) -> None:
    """No attempt's first byte reaches a backend later than the grace period after its proxy was told of the drain.

    A change that the proxy is deemed to know (see `effective_changes`) counts as told.
    """
    notifications_by_target: dict[tuple[int, str], list[StateNotification]] = defaultdict(list)
    for notification in [
        *records.state_notifications,
        *effective_notifications(script, records.reconfigurations, records.proxy_runs),
    ]:
        notifications_by_target[notification.proxy, notification.id].append(notification)
    # A paused process reads what discovery wrote to it when it resumes.
    for pause in sorted(records.proxy_pauses, key=lambda pause: pause.at):
        for (proxy, _), notifications in notifications_by_target.items():
            if proxy == pause.proxy:
                notifications[:] = [
                    StateNotification(notification.proxy, notification.id, notification.state, pause.until)
                    if pause.at <= notification.at < pause.until
                    else notification
                    for notification in notifications
                ]
    for notifications in notifications_by_target.values():
        notifications.sort(key=lambda notification: notification.at)
    proxy_by_ticket = {attempt.name: attempt.proxy for attempt in records.client_attempts}
    starts_by_proxy: dict[int, list[int]] = defaultdict(list)
    for run in records.proxy_runs:
        starts_by_proxy[run.proxy].append(run.started)
    grace = script.rules.drain_grace + script.rules.slack
    for attempt in records.backend_attempts:
        proxy = proxy_by_ticket.get(attempt.name)
        if proxy is None:
            continue
        received = [
            notification
            for notification in notifications_by_target.get((proxy, attempt.id), ())
            if notification.at <= attempt.first
        ]
        if not received or received[-1].state == READY:
            continue
        # If discovery repeated a state, the first notification counts. A process only knows what it was told itself, so
        # notifications to the process before it do not count.
        since = received[-1].at
        for notification in reversed(received):
            if notification.state == READY:
                break
            since = notification.at
        process_started = max((at for at in starts_by_proxy[proxy] if at <= attempt.first), default=-1)
        if since < process_started:
            later = [notification.at for notification in received if notification.at >= process_started]
            if not later:
                continue
            since = later[0]
        if attempt.first - since > grace:
            checker.report_violation(
                DRAINS,
                attempt.name,
                attempt.first,
                attempt.id,
                f"sent {(attempt.first - since) // 1000} ms after its proxy was told that it is {received[-1].state}",
            )


def _check_cold_backends(records: Records, checker: RuleChecker) -> None:
    for lifetime in records.backend_lifetimes:
        if lifetime.fell >= 0:
            checker.report_violation(COLD, "", lifetime.fell, lifetime.id, "pushed over while it was cold")


# --- beyond the rules ------------------------------------------------------------------------------


class WorkUsage(NamedTuple):
    """How the work of the fleet was used: the attempts and the outcome of their work (us on a core of speed 1).

    `work_wasted_us` is work without use for any client: it was cancelled, or its answer did not count. `outlived_client_us`
    lists, for each attempt of any tier that went on after the external client had left or had its answer, for how long it did.
    `duplicate_effects` counts effects that took place more than once under one idempotency key over all attempts of a client;
    no rule forbids a proxy that.
    """

    tickets: int
    attempts: int
    rejected: int
    work_done_us: int
    work_wasted_us: int
    outlived_client_us: list[int]
    duplicate_effects: int


def work_usage(script: Script, records: Records) -> WorkUsage:
    """Computes what became of the fleet's work over the whole rehearsal."""
    done = {attempt.name for attempt in records.client_attempts if attempt.how == DONE}
    client_ends = _client_attempt_ends(records)
    effects: dict[tuple[int, str], int] = defaultdict(int)
    work_done_us = work_wasted_us = rejected = 0
    outlived_client_us = []
    for attempt in records.backend_attempts:
        work_done_us += attempt.worked
        rejected += attempt.away
        if attempt.name not in done:
            work_wasted_us += attempt.worked
        if attempt.begun >= 0 and attempt.ended > client_ends.get(attempt.name, attempt.ended):
            outlived_client_us.append(attempt.ended - client_ends[attempt.name])
        if attempt.effect >= 0 and attempt.mark and script.use_cases[attempt.use].repeat == "referenced":
            effects[attempt.tier, attempt.mark] += 1
    # An idempotency key is the same for all attempts of a client's request, and is counted in each tier.
    duplicate_effects = sum(count - 1 for count in effects.values() if count > 1)
    tickets = len({attempt.name for attempt in records.backend_attempts})
    return WorkUsage(
        tickets,
        len(records.backend_attempts),
        rejected,
        work_done_us,
        work_wasted_us,
        sorted(outlived_client_us),
        duplicate_effects,
    )


def _client_attempt_ends(records: Records) -> dict[str, int]:
    """Returns, for each ticket of any tier, when the external client's attempt that caused it ended."""
    attempts_by_name = {attempt.name: attempt for attempt in records.client_attempts}
    end_by_ticket: dict[str, int] = {}
    for attempt in records.client_attempts:
        # The parent of a call is a ticket of the tier above. The limit on steps guards against cycles in damaged records.
        ancestor, depth = attempt, 0
        while ancestor.parent and ancestor.parent in attempts_by_name and depth < MAX_CALL_DEPTH:
            ancestor, depth = attempts_by_name[ancestor.parent], depth + 1
        if not ancestor.parent:
            end_by_ticket[attempt.name] = ancestor.ended
    return end_by_ticket
