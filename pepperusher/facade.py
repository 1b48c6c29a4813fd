"""The decisions in blocking style for whoever holds the connections: take, pick, report, tick.

Answers are plain values; the module's own types stay behind this page. A ticket taken here is a handle to its
caller. Times are whole microseconds of one clock that only advances.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from pepperusher import terms
from pepperusher.endpoint import Endpoint as Endpoint
from pepperusher.invariants import check_invariant
from pepperusher.policy import OPEN_FOR, Balancer
from pepperusher.terms import Backend, PolicySettings, Listing, Ticket

# What to do next with a ticket.
SEND, HOLD, BOUNCE, SCRAP, NOTHING = "send", "hold", "bounce", "scrap", "nothing"
# How an attempt ended.
HOW = {
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
# While a trial is set aside it is not overdue.
FOR_NOW = 3600 * 1_000_000
# Calls for the list that fail are at the most half of this apart, so that one after discovery is back has time
# to be answered before what it tells counts, 6 s after that; also where its queue turned away the first.
ASK_WITHIN = 5_000_000
# Whether a ticket may run again.
REPLAYABLE, REFERENCED, SINGLE_USE = "replayable", "referenced", "single-use"
REPEAT = {terms.REPLAYABLE: REPLAYABLE, terms.REFERENCED: REFERENCED, terms.SINGLE_USE: SINGLE_USE}
STATES = {terms.CLOSED: "closed", terms.OPEN: "open", terms.HALF_OPEN: "half-open"}
FINAL = {terms.BOUNCE: BOUNCE, terms.SCRAP: SCRAP}


class Step(NamedTuple):
    """What to do: send to `backend` for `wait` at most, hold for `wait`, or answer (`wait`: the advice, 0
    none)."""

    action: str
    backend: str
    wait: int


OVER = Step(NOTHING, "", 0)


class Facade:
    """One proxy's decisions, asked in turn."""

    def __init__(self, policy_settings: PolicySettings, now: int, say: Callable[[str], None]) -> None:
        self._on_sockets(policy_settings)
        self._balancer = Balancer(policy_settings, now, say)
        self._take_up(policy_settings)
        self._sharers: int | None = None
        self._backends: dict[str, Backend] = {}  # emptied by endpoint updates, long after they left it
        self._unlisted: dict[str, int] = {}  # since when; emptied likewise, and when they come back
        self._latest: int | None = None
        self._tickets: set[Ticket] = set()  # in hand; emptied as they are settled

    def _on_sockets(self, policy_settings: PolicySettings) -> None:
        """Nobody pushes the list there: a watch has to be asked for, whatever the settings call it. Where they call it pushed,
        a change binds from the moment it is known nearby, so a lost watch is asked for anew within half a drain's grace;
        where it is asked for, the settings leave time, and every proxy asks the one discovery. But a change
        counts 6 s after discovery had it and could be reached, whatever they leave."""
        policy_settings.polls_list = True
        policy_settings.ask_within = (
            policy_settings.drain_within
            if policy_settings.list_is_pushed
            else min(policy_settings.ask_within, ASK_WITHIN)
        )

    def _take_up(self, policy_settings: PolicySettings) -> None:
        self._use_cases = {use.name: use for use in policy_settings.use_cases}
        self._customers = {customer.name: customer for customer in policy_settings.customers}
        self._most = policy_settings.most_attempts
        self._by_answers = policy_settings.reported_by == terms.REPORTS_IN_RESPONSES
        # A backend off the list may come back under its id. Its breaker tells something while it could still
        # be open
        # for a ticket that is in hand now; kept for longer, ids that are ever new would pile up.
        self._remembered = OPEN_FOR + policy_settings.max_outer_limit

    def reconfigure(self, policy_settings: PolicySettings, now: int) -> None:
        """Other settings from now on, all of them at once.

        A ticket in hand keeps the use case that it was taken under, and goes out no more often than either ground allows:
        the module asks its own figure too. What is known of use cases and customers that stay is kept.
        """
        self._on_sockets(policy_settings)
        for ticket in self._tickets:
            ticket.most = min(ticket.most, self._most)
        for at, use in enumerate(policy_settings.use_cases):
            was = self._use_cases.get(use.name)
            if was is not None:
                for name in terms.LEARNED:
                    setattr(use, name, getattr(was, name))
                if use.same_terms(was):
                    policy_settings.use_cases[at] = was
        for customer in policy_settings.customers:
            if (known := self._customers.get(customer.name)) is not None:
                customer.allowance, customer.counted_at, customer.asked = known.allowance, known.counted_at, known.asked
        self._balancer.reconfigure(policy_settings, now)
        self.set_proxy_count(self._sharers)
        self._take_up(policy_settings)

    def set_proxy_count(self, sharers: int | None) -> None:
        """Of how many proxies this one is one, where they share what a customer or a cold backend may get; None where nobody
        knows better than the settings. Which backends it takes for its own hangs on the settings alone: arcs would move
        with each proxy that comes and goes."""
        self._sharers = sharers
        if sharers is not None:
            self._balancer.sharers = max(1, sharers)

    # --- tickets ----------------------------------------------------------------------------------

    @property
    def open_tickets(self) -> int:
        return len(self._tickets)

    def retry_class_of(self, use_case: str) -> str | None:
        """Whether its tickets may run again; None for a use case that is not known."""
        use = self._use_cases.get(use_case)
        return REPEAT[use.retry_class] if use is not None else None

    def default_timeout_of(self, use_case: str) -> int:
        """How long a client of it waits that does not say."""
        return self._use_cases[use_case].outer_limit

    def open_ticket(self, use_case: str, customer: str, came: int, left: int | None, cost: int) -> Ticket:
        """A ticket in hand until it is settled; `left` is what its client waits, None if it does not say."""
        use = self._use_cases[use_case]
        until = came + (use.outer_limit if left is None else left)
        if self._latest is not None:
            until = min(until, self._latest)
        ticket = Ticket(use, self._customers.get(customer), came, until, cost)
        self._tickets.add(ticket)
        return ticket

    def choose_backend(self, ticket: Ticket, now: int) -> Step:
        answer = self._balancer.choose_backend(ticket, now)
        wait = self._balancer.wait_time(ticket, now)
        if isinstance(answer, Backend):
            return Step(SEND, answer.address, min(wait, ticket.deadline - now))
        if answer == terms.NOT_YET:
            return Step(HOLD, "", wait)
        return Step(FINAL[answer], "", wait)

    def may_still_send(self, ticket: Ticket, now: int) -> bool:
        """Whether the attempt just picked may still be sent: a list or a client may have changed
        meanwhile."""
        sent = ticket.attempts[-1]
        if ticket.finished or sent.backend.address in self._unlisted or now - sent.sent_at >= sent.timeout:
            return False
        # Its group may have forgotten an earlier one in the time that the connection took to come up.
        ran = [one.sent_at for one in ticket.attempts[:-1] if one.ended not in terms.NEVER_RAN]
        use = ticket.use_case
        return not ran or use.retry_class == terms.REPLAYABLE or not 0 < use.deduplication_window <= now - ran[0]

    def remaining(self, ticket: Ticket, now: int) -> int:
        """How long its client waits yet; under 0 once its time is over. While the attempt is aside that time stands."""
        aside = ticket.attempts[-1].aside if ticket.attempts else None
        return ticket.deadline - (now if aside is None else aside)

    def restore_attempt(self, ticket: Ticket, backend: str, cell: int, sent: int, ran: bool) -> None:
        """One that went out under the same mark before this ticket was taken, and may have run, or is known
        never to
        have: the rules on further attempts then hold for the mark. Before the first `pick`."""
        known = self._backends.get(backend)
        if known is None:
            # Off the list, and its group may stand: that alone is known of it.
            known = Backend(backend)
            known.cell = cell
        before = terms.Attempt(ticket, known, sent, 0, False)
        before.ended = terms.UNKNOWN if ran else terms.FULL
        ticket.attempts.append(before)

    def cell_of(self, backend: str) -> int:
        known = self._backends.get(backend)
        return known.cell if known is not None else 0

    def deduplication_window_of(self, use_case: str) -> int:
        """For how long its group knows a repeat; at least as long as a client of it waits."""
        use = self._use_cases[use_case]
        return max(use.deduplication_window, use.outer_limit)

    def limit_attempts(self, ticket: Ticket, most: int) -> None:
        """It goes out `most` times at the most, if the settings do not say less."""
        ticket.most = max(1, min(ticket.most, most))

    def pause_attempt(self, ticket: Ticket, now: int) -> None:
        """Its body still comes, or its answer is passed on: a slow client, of which the backend's calls in
        flight, its time
        and its breaker must tell nothing. Until `back`, or the report."""
        sent = ticket.attempts[-1]
        if sent.aside is None and sent.ended is None:
            sent.aside = now
            sent.backend.in_flight -= 1
            if sent.trial and sent.generation == sent.backend.generation:
                sent.backend.trial_due = now + FOR_NOW

    def resume_attempt(self, ticket: Ticket, now: int) -> None:
        """Its last byte is written: the ticket's time and the attempt's run from here."""
        self._back(ticket.attempts[-1], now)

    @staticmethod
    def _back(sent: terms.Attempt, now: int) -> None:
        if sent.aside is None:
            return
        ticket, stood = sent.ticket, now - sent.aside
        sent.aside = None
        sent.backend.in_flight += 1
        sent.sent_at += stood
        ticket.arrived_at += stood
        ticket.deadline += stood
        if sent.trial and sent.generation == sent.backend.generation:
            sent.backend.trial_due = sent.sent_at + sent.timeout

    def response_started(self, ticket: Ticket, now: int) -> None:
        """Its answer is passed on from here: no other can be its answer any more."""
        self._balancer.response_started(ticket.attempts[-1])
        self.pause_attempt(ticket, now)

    def report(self, ticket: Ticket, how: str, now: int, again: bool = True) -> Step:
        """The attempt that was out has ended; tells what to do next. Not `again`: whatever it was, it
        was the last."""
        sent = ticket.attempts[-1]
        check_invariant(sent.ended is None, "an attempt ends once")
        if sent.ended is not None:
            return OVER
        self._back(sent, now)
        if not again:
            ticket.most = min(ticket.most, len(ticket.attempts))
        answer = self._balancer.attempt_ended(sent, HOW[how], how == "done", now)
        check_invariant(sent.backend.in_flight >= 0, "calls in flight are never under none")
        if answer == terms.AGAIN:
            return self.choose_backend(ticket, now)
        if answer == terms.NOTHING:
            return OVER
        return Step(FINAL[answer], "", self._balancer.wait_time(ticket, now))

    def caller_disconnected(self, ticket: Ticket, now: int) -> bool:
        """The client left; tells whether what is out is to be called off."""
        if ticket.finished:
            return False
        self._balancer.caller_disconnected(ticket)
        return self._balancer.wait_time(ticket, now) == 0

    def close_ticket(self, ticket: Ticket, now: int) -> None:
        """The last word on a ticket, whatever became of it: nothing of it may stay in flight."""
        for sent in ticket.attempts:
            if sent.ended is None:
                self._back(sent, now)
                self._balancer.attempt_ended(sent, terms.UNKNOWN, True, now)
        ticket.finished = True
        # Each points to its ticket: they would stay until a collection.
        ticket.attempts.clear()
        check_invariant(ticket in self._tickets, "a ticket is settled once")
        self._tickets.discard(ticket)

    def limit_deadlines(self, latest: int) -> None:
        """Tickets in hand and those still to come are to be over by `latest`: the proxy is about to stop."""
        self._latest = latest
        for ticket in self._tickets:
            ticket.deadline = min(ticket.deadline, latest)

    # --- the list ---------------------------------------------------------------------------------

    def update_endpoints(self, entries: Iterable[Endpoint], whole: bool, now: int) -> None:
        lines = []
        seen = set()
        for entry in entries:
            backend = self._backends.get(entry.id)
            if backend is None:
                backend = self._backends[entry.id] = Backend(entry.id)
            seen.add(entry.id)
            if entry.ready:
                self._unlisted.pop(entry.id, None)
            else:
                self._unlisted.setdefault(entry.id, now)
            lines.append(
                Listing(
                    backend, entry.zone, entry.cell, entry.weight, entry.started_at, entry.ready, entry.kind, entry.gone
                )
            )
        if whole:
            for name in self._backends:
                if name not in seen:
                    self._unlisted.setdefault(name, now)
        # Here and not in tick, which nobody calls while a watch lives: that may be for weeks.
        for name, since in list(self._unlisted.items()):
            if now - since >= self._remembered and not self._backends[name].in_flight:
                del self._unlisted[name], self._backends[name]
        self._balancer.update_endpoints(lines, whole, now)

    def export_learned(self, now: int) -> dict[str, object]:
        """What another process of the same proxy can go on from, in plain values: `taught` reads it there."""
        open_for = {
            name: max(0, one.open_until - now) if one.state == terms.OPEN else 0
            for name, one in self._backends.items()
            if one.state != terms.CLOSED
        }
        times = {
            name: [use.mean_latency, use.latency_deviation] for name, use in self._use_cases.items() if use.mean_latency
        }
        return {"open_for": open_for, "times": times, "flow": list(self._balancer.export_learned(now))}

    def import_learned(self, told: Mapping[str, object], now: int) -> None:
        """Raises ValueError where that is not what `learned` gives; nothing of it is taken then."""

        def whole(value: object) -> int:
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < 1e12:
                raise ValueError(f"{value!r} is no figure")
            return round(value)

        try:
            open_for = {name: min(whole(left), OPEN_FOR) for name, left in dict(told["open_for"]).items()}
            times = {name: (whole(usual), whole(spread)) for name, (usual, spread) in dict(told["times"]).items()}
            usual, flow, took = map(whole, told["flow"])
        except (KeyError, TypeError, AttributeError) as error:
            raise ValueError(f"{type(error).__name__}: {error}") from None
        for name, left in open_for.items():
            if (backend := self._backends.get(name)) is not None:
                backend.state, backend.open_until = terms.OPEN, now + left
        for name, (known, spread) in times.items():
            if (use := self._use_cases.get(name)) is not None:
                use.mean_latency, use.latency_deviation = known, spread
        self._balancer.import_learned(usual, flow, took, now)

    def record_load_report(self, backend: str, load: Mapping[int, float], now: int) -> None:
        """What an answer told of its backend's load, in the words of `terms`; where the settings name no such
        reports, and of one off the list, it counts for nothing."""
        known = self._backends.get(backend)
        if known is not None and self._by_answers:
            self._balancer.record_load_report(known, load, now)

    def has_backend(self, backend: str) -> bool:
        """Whether the list has it, or had it a short time ago."""
        return backend in self._backends

    def backends(self) -> list[dict[str, object]]:
        """Each known one as it stands, for those who ask; the words are plain."""
        return [
            {
                "id": name,
                "state": STATES[one.state],
                "ready": name not in self._unlisted,
                "weight": one.weight,
                "zone": one.zone,
                "cell": one.cell,
                "in_flight": one.in_flight,
                "failed": one.failures,
                "of": len(one.results),
                "run_failed": one.run_failed,
                "open_until": one.open_until,
            }
            for name, one in self._backends.items()
        ]

    def tickets(self, now: int) -> list[dict[str, object]]:
        """Each in hand, the oldest first."""
        return [
            {
                "use_case": one.use_case.name,
                "customer": one.customer.name if one.customer else "",
                "age_ms": (now - one.arrived_at) // 1000,
                "left_ms": (one.deadline - now) // 1000,
                "attempts": len(one.attempts),
                "at": next((sent.backend.address for sent in one.attempts if sent.ended is None), ""),
            }
            for one in sorted(self._tickets, key=lambda one: one.arrived_at)
        ]

    def endpoint_request_failed(self, now: int) -> None:
        self._balancer.endpoint_request_failed(now)

    def endpoint_request_delay(self, now: int) -> int:
        """In how long to ask for the list; 0 is now, and counts as asked; -1 is when the asking has ended."""
        return self._balancer.wait_time(None, now)
