"""What stands now: the version in force, the gates it has, and changes to it; free of I/O.

A ticket is admitted by `ask`, and told out by `over`; between them it goes by the version it began with.
Gates, rates and retry budgets belong to a route's name and live on over versions: a change of a limit lets
none go that are in.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

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
from pepperusher.facade import Endpoint
from pepperusher.invariants import check_invariant
from pepperusher.limits.gate import FULL, ADMITTED, TOO_LATE, QUEUED, Gate, AdmissionRequest
from pepperusher.limits.gradient import Fixed, Gradient
from pepperusher.limits.rate import Buckets, RetryBudget
from pepperusher.configuration.loader import Read
from pepperusher.configuration.tables import Concurrency
from pepperusher.routes.terms import NO_LIMIT, DEFAULT_TERMS, Terms, Version

RATE = "rate"
# What a customer is called that a ticket does not name.
NOBODY = ""
# A client is told to come back after this where nothing better is known.
ADVICE = 200_000
# A limit that begins to act is said once in so long.
SAID_EVERY = 10_000_000


class AdmittedTicket:
    """One ticket's way in. `how` is ADMITTED, QUEUED, FULL, TOO_LATE or RATE; `advice` when to come back (us) where it
    is kept out."""

    __slots__ = (
        "version",
        "terms",
        "customer",
        "how",
        "advice",
        "came",
        "entered",
        "until",
        "waiting",
        "over",
        "inside",
        "out",
    )

    def __init__(self, version: Version, terms: Terms, customer: str, came: int, until: int) -> None:
        self.version = version
        self.terms = terms
        self.customer = customer
        self.how = ADMITTED
        self.advice = 0
        self.came = came
        self.entered = came
        self.until = until
        self.waiting: AdmissionRequest | None = None
        self.over = False
        self.inside = False
        self.out = False


class _Held:
    """What a route's name holds over versions."""

    __slots__ = ("gate", "buckets", "budget", "said_at", "kept_out")

    def __init__(self) -> None:
        self.gate: Gate | None = None
        self.buckets: Buckets | None = None
        self.budget: RetryBudget | None = None
        self.said_at = -SAID_EVERY
        self.kept_out = 0


class ActiveConfiguration:
    """`list_again` takes lines for the decisions where marks change them; `say` takes a log line with its
    figures."""

    def __init__(
        self, read: Read, now: int, list_again: Callable[[list[Endpoint]], None], say: Callable[..., None]
    ) -> None:
        self._list_again = list_again
        self._say = say
        self._held: dict[str, _Held] = {}  # by route; emptied as routes go and their last ticket with them
        self.overlay = Overlay()
        self.version = Version(1, read)
        self.versions: dict[int, Version] = {1: self.version}  # emptied as their last tickets go
        self.confirmed = self.version
        self.ledger = TransactionLog(read.own.changes.history)
        self.toll = ErrorWatch(read.own.changes.watch)
        self._numbers = 1
        self._latest: int | None = None
        self._take_up(now)

    # --- tickets ----------------------------------------------------------------------------------

    def request_admission(
        self,
        method: str,
        target: str,
        host: str,
        headers: Mapping[str, str],
        use_case: str,
        customer: str,
        given: int | None,
        usual_wait: int,
        now: int,
    ) -> AdmittedTicket:
        """`given` is how long its client said that it waits, `usual_wait` what its use case's clients do
        (us)."""
        version = self.version
        terms = version.terms(method, target, host, headers, use_case)
        wait = terms.caller_timeout(given)
        until = now + (usual_wait if wait is None else wait)
        if self._latest is not None:
            until = min(until, self._latest)
        made = AdmittedTicket(version, terms, customer or NOBODY, now, until)
        version.open_tickets += 1
        held = self._held.get(terms.name)
        if held is None:
            return made
        if held.buckets is not None:
            come_back = held.buckets.take(made.customer, now)
            if come_back:
                return self._refused(made, held, RATE, come_back if come_back > 0 else ADVICE, now)
        if held.gate is not None:
            made.how, made.waiting = held.gate.enter(made.customer, terms.priority, now, made.until)
            made.inside = made.how == ADMITTED
            if made.how in (FULL, TOO_LATE):
                return self._refused(made, held, made.how, max(ADVICE, held.gate.mean_service_time), now)
        return made

    def _refused(self, made: AdmittedTicket, held: _Held, how: str, advice: int, now: int) -> AdmittedTicket:
        made.how, made.advice = how, advice
        held.kept_out += 1
        if now - held.said_at >= SAID_EVERY:
            gate = held.gate
            self._say(
                "limit acts",
                route=made.terms.name,
                why=how,
                kept_out=held.kept_out,
                inside=gate.admitted_count if gate else 0,
                waiting=gate.waiting if gate else 0,
                limit=gate.limit if gate else 0,
            )
            held.said_at = now
        return made

    def admission_decided(self, made: AdmittedTicket, how: str, now: int) -> None:
        """One that waited is ADMITTED, or FULL or TOO_LATE."""
        made.how = how
        made.inside = how == ADMITTED
        made.entered = now
        if how != ADMITTED:
            held = self._held.get(made.terms.name)
            if held is not None:
                gate = held.gate
                self._refused(made, held, how, max(ADVICE, gate.mean_service_time if gate else 0), now)

    def withdraw(self, made: AdmittedTicket) -> None:
        """Its client left while it waited."""
        held = self._held.get(made.terms.name)
        if made.how == QUEUED and held is not None and held.gate is not None and made.waiting is not None:
            held.gate.withdraw(made.waiting)

    def mean_service_time(self, made: AdmittedTicket) -> int:
        """How long those take that its gate lets in (us); 0 where there is none."""
        held = self._held.get(made.terms.name)
        return held.gate.mean_service_time if held is not None and held.gate is not None else 0

    def record_first_attempt(self, made: AdmittedTicket, now: int) -> None:
        """It goes out; the first time counts for the retry budget. Not told from the ticket's attempts: those that a
        store remembers stand among them."""
        if made.out:
            return
        made.out = True
        held = self._held.get(made.terms.name)
        if held is not None and held.budget is not None:
            held.budget.record_first_attempt(now)

    def retry_allowed(self, made: AdmittedTicket, how: str, now: int) -> bool:
        """Whether it may go out once more after an attempt that ended so."""
        if how == "done" or not made.terms.may_retry_after(how):
            return False
        held = self._held.get(made.terms.name)
        if held is None or held.budget is None or held.budget.try_retry(now):
            return True
        held.kept_out += 1
        if now - held.said_at >= SAID_EVERY:
            self._say("limit acts", route=made.terms.name, why="retry budget", kept_out=held.kept_out)
            held.said_at = now
        return False

    def refund_retry(self, made: AdmittedTicket, how: str, now: int) -> None:
        """`again` allowed one more, and the decisions did not make it."""
        held = self._held.get(made.terms.name)
        if held is not None and held.budget is not None and how != "done":
            held.budget.refund_retry(now)

    def limit_deadlines(self, latest: int) -> None:
        """The proxy stops: who waits or comes is to be over by then."""
        self._latest = latest
        for held in self._held.values():
            if held.gate is not None:
                held.gate.limit_deadlines(latest)

    def finish(self, made: AdmittedTicket, end: str, worked: bool, now: int) -> None:
        """The last word on a ticket: `end` is done, bounced, scrapped, or left (which tells nothing);
        `worked` where its time tells of the servers."""
        check_invariant(not made.over, "a ticket passes its gate once")
        if made.over:
            return
        made.over = True
        self.withdraw(made)
        held = self._held.get(made.terms.name)
        if made.inside and held is not None and held.gate is not None:
            held.gate.release(made.customer, now - made.entered, worked, now)
        if end != "left":
            self.toll.add(made.version.number, end, now - made.came, now)
        version = made.version
        version.open_tickets -= 1
        check_invariant(version.open_tickets >= 0, "a version's tickets are never under none")
        if not version.open_tickets and version not in (self.version, self.confirmed):
            self.versions.pop(version.number, None)

    # --- what is in force -------------------------------------------------------------------------

    def _take_up(self, now: int) -> None:
        """The present version's limits and marks, at one instant."""
        own = self.version.read.own
        names = set()
        for route in own.routes:
            names.add(route.name)
            held = self._held.setdefault(route.name, _Held())
            if route.concurrency is None:
                # Those inside still leave it; nobody new enters.
                if held.gate is not None:
                    held.gate.change(Fixed(1 << 30), 1 << 30, own.weights, now)
            elif held.gate is None:
                held.gate = Gate(_limit(route.concurrency, None), route.concurrency.queue, own.weights)
            else:
                held.gate.change(_limit(route.concurrency, held.gate), route.concurrency.queue, own.weights, now)
            if route.rate is None:
                held.buckets = None
            elif held.buckets is None:
                held.buckets = Buckets(route.rate.per_customer, route.rate.burst)
            else:
                held.buckets.change(route.rate.per_customer, route.rate.burst)
            budget = route.retry_budget
            if budget is None:
                held.budget = None
            elif held.budget is None:
                held.budget = RetryBudget(budget.share, budget.floor, budget.span, now)
            else:
                held.budget.change(budget.share, budget.floor)
        for name, held in list(self._held.items()):
            if name not in names:
                if held.gate is not None and (held.gate.admitted_count or held.gate.waiting):
                    held.gate.change(Fixed(1 << 30), 1 << 30, own.weights, now)
                    held.buckets = held.budget = None
                else:
                    del self._held[name]
        changed = self.overlay.turn(self.version.marks)
        if changed:
            self._list_again(changed)

    def _enter(self, read: Read, now: int) -> Version:
        self._numbers += 1
        self.version = Version(self._numbers, read)
        self.versions[self._numbers] = self.version
        self._take_up(now)
        return self.version

    # --- changes ----------------------------------------------------------------------------------

    def propose(self, read: Read, who: str, why: str, now: int) -> Change:
        """Checked already; raises TransactionError where it can't be now, or changes nothing."""
        if read.digest == self.version.read.digest:
            raise TransactionError(f"{read.digest} is what stands already")
        change = self.ledger.propose(read.digest, read, who, why, self.version.read.own.changes.wait, now)
        self._said(change)
        return change

    def stage(self, change: Change, now: int) -> None:
        """Whatever is needed ahead has been done, and it may be applied."""
        self._move(change, STAGED, "the proxy", "checked", now)

    def apply(self, change: Change, now: int) -> None:
        """At one instant: tickets that come from now on go by it."""
        self._move(change, APPLIED, "the proxy", "staged", now)
        version = self._enter(change.what, now)
        own = version.read.own
        self.ledger.keep(own.changes.history)
        self.toll.begin(version.number, own.changes.watch, now)
        for name in self.overlay.unknown(version.marks):
            self._say("a mark on a backend that is not listed", id=name)

    def confirm(self, change: Change, who: str, why: str, now: int) -> None:
        self._move(change, CONFIRMED, who, why, now)
        self.toll.end()
        before, self.confirmed = self.confirmed, self.version
        if not before.open_tickets and before is not self.version:
            self.versions.pop(before.number, None)

    def undo(self, change: Change, who: str, why: str, now: int) -> None:
        """Before it was applied, it is given up. After, what was confirmed last stands again, as a version of
        its own: tickets of the one undone go on to their end under it, and nothing is sent again."""
        was_applied = change.state == APPLIED
        self._move(change, UNDONE, who, why, now)
        if not was_applied:
            return
        self.toll.end()
        undone = self.version
        self.confirmed = self._enter(self.confirmed.read, now)
        for version in list(self.versions.values()):
            if version is not self.version and not version.open_tickets:
                del self.versions[version.number]
        check_invariant(undone is not self.version, "an undo makes a version of its own")

    def _move(self, change: Change, state: str, who: str, why: str, now: int) -> None:
        self.ledger.move(change, state, who, why, now)
        self._said(change)

    def _said(self, change: Change) -> None:
        step = change.steps[-1]
        self._say("change", number=change.number, name=change.name, state=step.state, who=step.who, why=step.why)

    def due(self, now: int) -> tuple[str, str] | None:
        """What is to become of the open change now, and why; None while it is watched or none is open."""
        change = self.ledger.open
        if change is None:
            return None
        terms = change.what.own.changes
        # Judged by what stood before it: a change can't loosen the watch that it is under.
        held = self.confirmed.read.own.changes
        harm = self.toll.harm(
            min(held.least, terms.least),
            min(held.errors, terms.errors),
            min(held.bounces, terms.bounces),
            min(held.latency, terms.latency),
        )
        by_itself = terms.confirm == "by itself" and held.confirm == "by itself"
        return transaction_log.verdict(change, by_itself, max(held.watch, terms.watch), harm, now)

    def sweep(self, now: int) -> None:
        for name, held in list(self._held.items()):
            if held.gate is not None:
                held.gate.sweep(now)
            if held.buckets is not None:
                held.buckets.sweep(now)
            if (
                held.gate is not None
                and not held.gate.admitted_count
                and not held.gate.waiting
                and all(route.name != name for route in self.version.read.own.routes)
            ):
                del self._held[name]

    def gates(self) -> list[dict[str, object]]:
        """By route, for those who ask."""
        return [
            {
                "route": name,
                "inside": held.gate.admitted_count if held.gate else 0,
                "waiting": held.gate.waiting if held.gate else 0,
                "limit": held.gate.limit if held.gate else None,
                "customers": len(held.buckets) if held.buckets else 0,
                "kept_out": held.kept_out,
            }
            for name, held in self._held.items()
        ]


def _limit(of: Concurrency, gate: Gate | None) -> Gradient | Fixed:
    """A limit of these terms; an adaptive one that stood goes on from where it was."""
    if not of.adaptive:
        return Fixed(of.most)
    before = gate.adaptive if gate is not None else None
    if before is not None:
        before.change(of.least, of.most, of.tolerance)
        return before
    return Gradient(of.least, of.most, of.start, of.tolerance)


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
