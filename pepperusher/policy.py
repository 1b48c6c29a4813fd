"""Every decision of the balancer: one instance of Balancer for each proxy.

The caller keeps the tickets and the timers, and asks three things:
    where(ticket, now)          a Backend to send to, or NOT_YET, BOUNCE or SCRAP
    after(sent, how, over, now) for an attempt that ended: AGAIN (ask where), BOUNCE, SCRAP or NOTHING
    wait(ticket, now)           the patience of the attempt just placed, how long until where is asked
                                again, or the advice with a bounce; for None, when to ask for the list
and gives notice by listed(), list_failed(), begun() and gone(). The interface is described in
docs/interface.md, the design and each departure from it in docs/design.md. Times are whole microseconds.
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
    Side,
    Ticket,
    UseCase,
)

SECOND = 1_000_000
# The breaker's figures; docs/design.md says what was tried for each.
WINDOW = 20
RUN = 5
CLOSE_COUNT = 3
TRIALS = 1
OPEN_FOR = 5 * SECOND
# Failures in a row of one use case, at a server that does others, after which it stays away for OPEN_FOR.
USE_RUN = 2
# Done tickets a second are reckoned over about this long, and over so many of them at the least.
FLOW_SPAN = SECOND // 3
FLOW_LEAST = 8
# A customer's share saves up so many tickets at the least: chance brings several at once.
SHARE_LEAST = 4.0
ASKED_SPAN = 4 * SECOND  # and what the others ask for is counted over about so long
# Further attempts for tickets that may have run, as a part of the tickets taken, and the most saved up.
RETRY_BUDGET_RATIO = 0.2
RETRY_BUDGET_MAX = 10.0
# A proxy speaks to a part of the list: MIN_BACKENDS_PER_PROXY at the least, for a choice, each in that of about PROXIES_PER_BACKEND proxies.
PROXIES_PER_BACKEND = 10
MIN_BACKENDS_PER_PROXY = 4
# A location that gets few calls, or those refused elsewhere alone, is kept in view with this part of an arc.
PART_LEAST = 0.25
# In the mean of calls in flight at a backend, the newest figure has this part at the least.
HELD_LEAST = 1 / 16
# A load report this old tells nothing; what it tells is held against so many calls at the least.
FRESH = 2 * SECOND
TOLD_LEAST = 4.0
# Positions a golden part apart lie evenly on a ring whatever their number.
GOLDEN = (sqrt(5) - 1) / 2


class Balancer:
    """The decisions of one proxy."""

    def __init__(self, policy_settings: PolicySettings, now: int, say: Callable[[str], None]) -> None:
        self._chance, self._say = Random(policy_settings.seed).random, say
        self._tune(policy_settings)
        self._usual, self._unheard, self._list_lost = 0, 0, False
        self._must_ask, self._asked = policy_settings.polls_list, not policy_settings.polls_list
        self._ask_step, self._ask_at = 0, now
        self._backends: list[Backend] = []  # emptied by the list: holds what it names as ready
        # By location, this proxy's own first; emptied by the list, but for that.
        self._sides = {self._home: Side(now, FLOW_SPAN, FLOW_SPAN // FLOW_LEAST)}
        self._young: list[Backend] = []  # emptied by age
        self._started, self._spare, self._counted_at = now, RETRY_BUDGET_MAX, now

    def _tune(self, policy_settings: PolicySettings) -> None:
        """The figures that are derived from the ground alone."""
        # A pool splits a customer's share evenly; beside each client nobody knows how it lies.
        self._beside, self._shared_out = (
            policy_settings.is_sidecar,
            policy_settings.tier_index == 0 and not policy_settings.is_sidecar,
        )
        self._first_tier, self._limit_passed = policy_settings.tier_index == 0, policy_settings.forwards_deadline
        self._by_work, self._last_tier = policy_settings.importance_by_work, policy_settings.last_tier
        self._most, self._calls_off = policy_settings.most_attempts, policy_settings.cancel_allowed
        self._longest_advice = policy_settings.max_retry_after if policy_settings.retry_after_allowed else 0
        self._zones, self._home = (
            len(policy_settings.zones),
            policy_settings.zone if len(policy_settings.zones) > 1 else "",
        )
        self._customers = policy_settings.customers
        self._use_cases = [use for use in policy_settings.use_cases if use.latency_target > 0 and use.importance > 0]
        self._group = self.sharers = max(1, policy_settings.group_size)
        self._cold_share, self._warm_after = policy_settings.cold_share, max(1, policy_settings.warm_after)
        # Half the rule's multiple: the other half is for what other proxies and chance add.
        self._cold_rate = policy_settings.tip_multiple / 2
        self._cold_least = SECOND / max(1, policy_settings.overload_for)
        self._ask_longest = policy_settings.ask_within // 2 or SECOND
        self._position = policy_settings.proxy_index * GOLDEN % 1.0

    def reconfigure(self, policy_settings: PolicySettings, now: int) -> None:
        """Other settings from now on. Use cases that stay are the same objects, and stay known."""
        self._tune(policy_settings)
        for backend in self._backends:
            for table in (backend.runs, backend.shut):
                for use in [use for use in table if use not in policy_settings.use_cases]:
                    del table[use]
        self._lay(now)

    # --- where to send this ticket ----------------------------------------------------------------

    def choose_backend(self, ticket: Ticket, now: int) -> Backend | int:
        if ticket.finished or ticket.deadline <= now or len(ticket.attempts) >= min(self._most, ticket.most):
            return self._no(ticket, now)
        first, use = not ticket.attempts, ticket.use_case
        use.work += (int(ticket.cost) - use.work) // 16 if use.work else int(ticket.cost)
        self._young = self._young and self._age(self._young, now)
        anchor = None if first else self._anchor(ticket)
        if anchor is not None and now - anchor.sent_at >= use.deduplication_window > 0:
            return self._no(ticket, now)
        # What may have run stays with its group, and so with the location of that.
        bound_to = anchor is not None and use.scope != SCOPE_ALL
        sides = [self._side(anchor.backend)] if bound_to else self._in_turn()
        # Asked of further attempts too: in a jam they are the last thing the backends need.
        within = not first or self._within_share(ticket, now)
        refused = False
        for side in sides:
            choice, in_flight, counted = self._choice(side, use, now)
            if not choice:
                continue
            if self._in_time(ticket, side, within, in_flight, counted, now):
                break
            # A fresh one that holds less is asked all the same, or their jam idles it: not what may have run.
            choice = [b for b in choice if first and within and b.cold and b.held < side.mean * b.room]
            if choice:
                break
            refused = True
        else:
            if refused:
                return self._no(ticket, now)
            choice = []
        if first:
            self._spare = min(RETRY_BUDGET_MAX, self._spare + RETRY_BUDGET_RATIO)
        if anchor is not None:
            choice = [
                b
                for b in self._backends
                if _drops_repeats(anchor.backend, b, use.scope)
                and _may_run(use, b)
                and (b.state == CLOSED or self._admits(b, now))
                and self._has_room(b, now)
            ]
        tried = [sent.backend for sent in ticket.attempts]
        choice = [b for b in choice if b not in tried] or choice
        if ticket.cost and self._first_tier and self._last_tier:
            # Against heavy tickets at slow machines, where list weights tell nothing of the cores' speed.
            choice = [b for b in choice if b.pace * ticket.cost < use.latency_target] or choice
        picked = self._turn(choice, now) or self._last_resort(ticket, anchor, now)
        if picked is None:
            return self._no(ticket, now)
        self._place(ticket, picked, now)
        return picked

    def _in_turn(self) -> list[Side]:
        """The locations, in the order in which this ticket tries them: each is first for its part of them."""
        sides = list(self._sides.values())
        left = self._chance() if len(sides) > 1 else 0.0
        before = next((side for side in sides if (left := left - side.part) < 0.0), None)
        return sorted(sides, key=lambda side: side is not before)

    def _choice(self, side: Side, use: UseCase, now: int) -> tuple[list[Backend], int, int]:
        """Who of one location may take it; calls in flight, and at how many backends."""
        choice: list[Backend] = []
        shut: list[Backend] = []
        bound = use.zones is not None or use.kinds is not None
        in_flight = counted = 0
        held = room = admitting = 0.0
        # With under one call at each a mean over many tickets: else a slow backend seems as empty as others.
        pace = min(1.0, max(HELD_LEAST, side.mean))
        for backend in side.ring:
            # Widened while less than half of this proxy's part admits, and for those that may not run there.
            far = not backend.near and 2 * admitting >= side.weight
            if far and not bound:
                break
            if backend.state != CLOSED and not self._admits(backend, now):
                continue
            in_flight += 0 if far else backend.in_flight
            if not self._has_room(backend, now):
                continue
            may_run = not bound or _may_run(use, backend)
            if may_run and now < backend.shut.get(use, 0):
                shut.append(backend)
                continue
            if not far:
                # The prediction is that of all: what is bound is a part of the tickets, the flow everybody's.
                counted += 1
                admitting += backend.share
            if not may_run:
                continue
            backend.held += (backend.in_flight - backend.held) * pace
            held, room = held + backend.held, room + backend.room
            choice.append(backend)
        if not bound:
            side.mean = held / room if room else 0.0
            self._widen(side, now)
        return choice or shut, in_flight, counted

    def _widen(self, side: Side, now: int) -> None:
        """Beside each client some proxies carry far more than most: one that alone holds a call at each of
        its arc would be its crowd, and asks twice as many, till it holds a fourth of that."""
        wider = side.mean > 1.0 and not side.ring[-1].near
        if self._beside and (wider or side.mean < 0.25 and side.reach > 1.0):
            side.reach *= 2.0 if wider else 0.5
            self._lay(now)

    def _has_room(self, backend: Backend, now: int) -> bool:
        room = now >= backend.full_until or backend.in_flight < backend.full_at
        return room and (not backend.cold or backend.near and self._may_warm(backend, now))

    @staticmethod
    def _turn(choice: list[Backend], now: int) -> Backend | None:
        """Smooth weighted rotation over `choice`, passing over what holds more than its part of the mean."""
        # The mean of those it may still go to: by that of all, a busy cell would have none under it.
        mean = sum(b.held for b in choice) / (sum(b.room for b in choice) or 1.0)
        kept = [b for b in choice if b.held <= 1.1 * mean * b.room + 0.01]
        # What is reported of all proxies' calls goes beside this one's, as a part of its own mean.
        if fresh := [b for b in choice if now < b.told_at + FRESH]:
            told = sum(b.told for b in fresh) / sum(b.weight for b in fresh)
            over = {b: (b.told - told * b.weight) / (told * b.weight + TOLD_LEAST) for b in fresh}
            kept = [b for b in choice if b.held / (mean * b.room + 0.01) + over.get(b, 0.0) <= 1.1] or kept
        best, total = None, 0.0
        for backend in kept:
            total += backend.share
            backend.turn += backend.share
            if best is None or backend.turn > best.turn:
                best = backend
        if best is not None:
            best.turn -= total
        return best

    def _last_resort(self, ticket: Ticket, anchor: Attempt | None, now: int) -> Backend | None:
        """No breaker admits: a trial to the server whose open period ends first, as the design has it."""
        use = ticket.use_case
        shut = [
            b
            for b in self._backends
            if b.state == OPEN
            and self._has_room(b, now)
            and _may_run(use, b)
            and (anchor is None or _drops_repeats(anchor.backend, b, use.scope))
        ]
        best = min(shut, key=attrgetter("open_until"), default=None)
        if best is not None:
            self._change(best, HALF_OPEN, now)
        return best

    def _place(self, ticket: Ticket, backend: Backend, now: int) -> None:
        sent = Attempt(ticket, backend, now, self._patience(ticket, now), backend.state == HALF_OPEN)
        ticket.attempts.append(sent)
        backend.in_flight += 1
        if ticket.use_case in backend.shut:
            backend.shut[ticket.use_case] = now + sent.timeout
        if sent.trial:
            backend.trials += 1
            backend.trial_due = now + sent.timeout
        if backend.cold:
            backend.allowance -= 1.0

    def _in_time(self, ticket: Ticket, side: Side, within: bool, in_flight: int, admitting: int, now: int) -> bool:
        """The operators' carry-over: a ticket is taken only if predicted in time. Calls in flight over those
        done a second is the time one now takes on average; each use case keeps its proportion to that. The
        tightest use case sets the pressure for all, and what is of least importance for its time goes first,
        so a short promised time does not shut a use case out."""
        use = ticket.use_case
        # The mean over a few tickets: with one or two in flight at a time a single figure is chance.
        side.held += (in_flight - side.held) / FLOW_LEAST
        # Never refused while a few calls a server are in flight, over all proxies that share it: a stale
        # prediction must not shut this one. Chance rounds what comes to less than a call for each.
        # Three times as many while no time is known: a crowd at the very start chokes servers for long.
        few = 4 if self._usual else 12
        # Where most report what they hold, by the median: one that slows is no crowd, nor one that lies.
        fresh = sorted(b.told for b in takewhile(attrgetter("near"), side.ring) if now < b.told_at + FRESH)
        if 2 * len(fresh) >= admitting > 0:
            if 1.5 * fresh[len(fresh) // 2] <= few:
                return True
        elif (in_flight + self._chance()) * side.sharing <= few * admitting:
            return True
        if not self._usual or not use.mean_latency:
            return bool(self._usual)
        flow = self._flow_now(side, now)
        # Half a call of doubt on either side: where one call is all that was held, the quotient is chance.
        stretch = (side.held + 0.5) / (flow * self._usual / SECOND + 0.5)
        if not self._first_tier:
            return stretch * use.mean_latency < ticket.deadline - now
        pressure = max(
            ((one.mean_latency + one.latency_deviation) / one.latency_target for one in self._use_cases), default=0.0
        )
        most = max((self._value(one) for one in self._use_cases if one.mean_latency), default=1.0)
        bound = 0.8 + 0.4 * self._value(use) / most
        if not within:
            bound /= 2
        # Work that takes a good part of the promised time with nothing to wait for is no sign of a jam.
        bound *= max(1.0, 4 * max((one.work / one.latency_target for one in self._use_cases), default=0.0))
        # Late by its own times is late, however little the others are pressed.
        return (
            pressure * stretch < bound
            and stretch * (use.mean_latency + use.latency_deviation) <= use.latency_target
            and stretch * use.mean_latency < ticket.deadline - now
        )

    def _value(self, use: UseCase) -> float:
        """Importance for the time a ticket takes; where it is counted by work, that time is in it already."""
        return use.importance if self._by_work else use.importance / use.mean_latency

    def _within_share(self, ticket: Ticket, now: int) -> bool:
        customer = ticket.customer
        if customer is None or not self._shared_out:
            return True
        rate = customer.rate / self.sharers * self._heat(customer, now)
        customer.allowance += rate * (now - customer.counted_at) / SECOND
        customer.allowance, customer.counted_at = min(max(rate, SHARE_LEAST), customer.allowance), now
        if customer.allowance < 1.0:
            return False
        customer.allowance -= 1.0
        return True

    def _heat(self, customer: Customer, now: int) -> float:
        """How many times their even parts the other customers ask for here: so often a customer's own counts.
        A proxy with several times the mean saw every ticket as beyond its share, and bounced half of them."""
        fade, self._counted_at = exp((self._counted_at - now) / ASKED_SPAN), now
        for one in self._customers:
            one.asked *= fade
        span = ASKED_SPAN / SECOND * (1.0 - exp((self._started - now) / ASKED_SPAN))
        even = sum(one.rate for one in self._customers if one is not customer) / self.sharers * span
        asked = sum(one.asked for one in self._customers if one is not customer)
        customer.asked += 1.0
        # In a small pool each has about its even part, and all above their shares is overload.
        return max(1.0, asked / even) if self.sharers > PROXIES_PER_BACKEND and even > 0.0 else 1.0

    # --- after an outcome -------------------------------------------------------------------------

    def attempt_ended(self, sent: Attempt, how: int, over: bool, now: int) -> int:
        ticket = sent.ticket
        sent.ended = how
        self._count(sent, how, now)
        ticket.finished = ticket.finished or over
        if ticket.finished or any(other.ended is None for other in ticket.attempts):
            return NOTHING
        if how == MOOT or not self._may_repeat(ticket, now):
            return self._no(ticket, now)
        if how not in NEVER_RAN:
            # Further attempts feed a jam: beyond a part of the tickets taken they are not sent.
            if self._spare < 1.0:
                return self._no(ticket, now)
            self._spare -= 1.0
        return AGAIN

    def _may_repeat(self, ticket: Ticket, now: int) -> bool:
        use, left = ticket.use_case, self._useful_until(ticket) - now
        if left < use.mean_latency // 2 or left <= 0 or len(ticket.attempts) >= min(self._most, ticket.most):
            return False
        return use.retry_class != SINGLE_USE or self._anchor(ticket) is None

    def _count(self, sent: Attempt, how: int, now: int) -> None:
        backend, use = sent.backend, sent.ticket.use_case
        backend.in_flight -= 1
        took = now - sent.sent_at
        long = use.mean_latency + 6 * use.latency_deviation if use.mean_latency and not self._first_tier else took
        if sent.ticket.cost and (how == DONE or how == TIMED_OUT and took >= use.mean_latency):
            pace = took / sent.ticket.cost
            backend.pace += (pace - backend.pace) / FLOW_LEAST if backend.pace else pace
        lost = how == TIMED_OUT and took > long and self._side(backend).done_at <= sent.sent_at
        self._unheard = self._unheard + lost if how in (TIMED_OUT, CALLED_OFF) else 0
        if how == DONE or lost and self._unheard >= RUN or how == TIMED_OUT and use.mean_latency <= took <= long:
            # Else a use case slow everywhere would keep its short patience. Far beyond what is done it is a
            # lost answer, and in lower tiers no time for the next; but many in a row with nothing heard may
            # be a chain that has slowed, whose levels would cut each other short for ever.
            known = min(took, 2 * use.mean_latency) if lost else took
            use.latency_deviation += (
                (abs(known - use.mean_latency) - use.latency_deviation) // 16 if use.mean_latency else took // 2
            )
            use.mean_latency += (known - use.mean_latency) // 16 if use.mean_latency else took
        if how == DONE:
            side = self._side(backend)
            self._flow_now(side, now)
            side.gap += (now - side.done_at - side.gap) // FLOW_LEAST
            side.done_at = now
            side.span = max(FLOW_SPAN, FLOW_LEAST * side.gap)
            side.flow += SECOND / side.span
            if backend.near:  # Not those that have gone and finish what they hold.
                side.grown_then += (side.grown / side.sharing - side.grown_then) * side.gap / side.span
                side.took = self._took_now(side, now) + SECOND / self._warm_after / side.grown * side.sharing
                side.took_at = now
            self._usual += (took - self._usual) // 16 if self._usual else took
        current = sent.generation == backend.generation
        backend.trials -= current and sent.trial
        # A caller that left less than the usual time says nothing about the server.
        if not current or how in (MOOT, CALLED_OFF) or how == TIMED_OUT and took < use.mean_latency:
            return
        if how == DONE:
            backend.runs.pop(use, None)
            backend.shut.pop(use, None)
        elif how in (TIMED_OUT, ERROR) and self._last_tier:
            # Against one use case that fails at some servers, whose breakers the others keep closed.
            run = backend.runs[use] = backend.runs.get(use, 0) + 1
            alone = 2 * sum(use in b.runs for b in self._backends) <= len(self._backends)
            if alone and run >= USE_RUN and run > backend.run_failed + 1:
                backend.shut[use] = now + OPEN_FOR
        if how == FULL:
            # Not asked for more than it then held until a call of usual length has made room.
            backend.full_at, backend.full_until = backend.in_flight, now + self._usual
        self._result(backend, how == DONE, now)

    # --- how long to wait -------------------------------------------------------------------------

    def wait_time(self, ticket: Ticket | None, now: int) -> int:
        if ticket is None:
            if self._asked:
                return -1
            self._asked = now >= self._ask_at
            return max(0, self._ask_at - now)
        if not ticket.finished and ticket.attempts and ticket.attempts[-1].ended is None:
            return ticket.attempts[-1].timeout
        return ticket.pause

    def _patience(self, ticket: Ticket, now: int) -> int:
        use, left = ticket.use_case, max(1, self._useful_until(ticket) - now)
        if len(ticket.attempts) + 1 >= min(self._most, ticket.most) or use.retry_class == SINGLE_USE:
            return left
        # Never under half of what is left: a call carries what its caller allows, so a short patience here
        # becomes time-outs and errors at every tier below, and where nothing stops the work it is done twice.
        patience = max(left // 2, use.mean_latency + 6 * use.latency_deviation)
        return patience if left - patience > use.mean_latency else left

    def _useful_until(self, ticket: Ticket) -> int:
        use = ticket.use_case
        if not self._first_tier and self._limit_passed or self._first_tier and use.late_share > 0:
            return ticket.deadline
        return min(ticket.deadline, ticket.arrived_at + use.latency_target + int(use.stretch * ticket.cost))

    def _advice(self, ticket: Ticket, now: int) -> int:
        """When to come back: in time to be done as promised, against retries that are done for nothing."""
        use = ticket.use_case
        span = ticket.arrived_at + use.latency_target - now - use.mean_latency
        span = min(self._longest_advice, span // 2) if span > 0 else self._longest_advice
        return int(span * (0.25 + 0.75 * self._chance()))

    # --- notices ----------------------------------------------------------------------------------

    def update_endpoints(self, lines: Iterable[Listing], whole: bool, now: int) -> None:
        kept = {} if whole else {id(b): b for b in self._backends}
        was = {id(b) for b in self._backends}
        for line in lines:
            backend = line.backend
            if not line.ready:
                kept.pop(id(backend), None)
                continue
            # A random start keeps proxies out of step; a call each at once is too much for a cold backend.
            if line.started_at > backend.started_at:
                backend.allowance, backend.counted_at = self._chance(), now
            if id(backend) not in was or line.started_at > backend.started_at:
                backend.turn = -self._chance() * line.weight
            backend.zone, backend.kind, backend.cell = line.zone, line.kind, line.cell
            backend.weight, backend.started_at = line.weight, line.started_at
            kept[id(backend)] = backend
        for backend in self._backends:
            backend.near = False
        self._backends = list(kept.values())
        self._lay(now)
        if self._list_lost:
            self._list_lost, self._ask_step = False, 0
            self._say(f"list regained, {len(self._backends)} backends ready")

    def _lay(self, now: int) -> None:
        """What each backend counts for, by the list and the ground; one side for each location."""
        before, self._sides = self._sides, {}
        at = {self._home: deque()}
        for backend in sorted(self._backends, key=attrgetter("address")):
            at.setdefault(backend.zone if self._zones > 1 else "", deque()).append(backend)
        for zone, ring in at.items():
            self._sides[zone] = before.get(zone) or Side(self._started, FLOW_SPAN, FLOW_SPAN // FLOW_LEAST)
        self._part_sides([sum(b.weight for b in ring) for ring in at.values()])
        for zone, ring in at.items():
            self._lay_ring(self._sides[zone], ring)
        for backend in self._backends:
            # Between the plain mean, which crowds a small backend, and the mean for each weight, which lets
            # a heavy one that has slowed gather calls till they time out; for the part this proxy has in it.
            backend.room = backend.portion / sqrt(backend.weight)
        self._young = self._age(self._backends, now)

    def _part_sides(self, weights: list[float]) -> None:
        """Against paying the way, in time and price: calls stay here as far as this location's part of the
        weights carries an even part of the traffic; the rest goes to those with more than their part."""
        even = (sum(weights) or 1.0) / len(weights)
        here = min(1.0, weights[0] / even)
        spare = [max(0.0, weight - even) for weight in weights[1:]]
        spare = [here, *((1.0 - here) * one / (sum(spare) or 1.0) for one in spare)]
        for side, part in zip(self._sides.values(), spare):
            side.part = part

    def _side(self, backend: Backend) -> Side:
        return self._sides.get(backend.zone if self._zones > 1 else "") or self._sides[self._home]

    def _lay_ring(self, side: Side, ring: deque[Backend]) -> None:
        """This proxy's part of a location: an arc of a ring on which each backend is as long as its weight.

        Against thin evidence: a proxy with a call a second learns nothing of fifty backends. The ring is the
        same at every proxy and the arcs' starts lie evenly, so that each backend is asked by its weight; one
        that an arc covers in part counts for that part."""
        for backend in ring:
            backend.portion, backend.near = backend.weight, True
        total = sum(b.portion for b in ring)
        # Each location has its even part of the proxies, as far as any of them knows.
        side.ring, side.weight, side.sharing = ring, total, self._group / max(1, self._zones)
        squares = sum(b.portion * b.portion for b in ring)
        # As wide as its part of the calls asks for, or a backend in a small location hears from all proxies.
        part = (
            max(PROXIES_PER_BACKEND * self._zones / self._group, MIN_BACKENDS_PER_PROXY / (total * total / squares))
            if ring
            else 1.0
        )
        if part >= 1.0:
            return
        part = min(1.0, part * max(PART_LEAST, side.part) * side.reach)
        before = self._position * total
        while before >= ring[0].portion:
            before -= ring[0].portion
            ring.rotate(-1)
        ring[0].portion -= before
        side.weight = left = total * part
        for backend in ring:
            backend.near = left > 0.0
            if backend.near:
                backend.portion = min(backend.portion, left)
                left -= backend.portion
        side.sharing *= sum(b.near for b in ring) / len(ring) / side.reach

    def endpoint_request_failed(self, now: int) -> None:
        if not self._must_ask:
            return
        if not self._list_lost:
            self._list_lost = True
            self._say("list lost, asking again")
        # Doubled, against a list service drowned by the calls of every proxy at once.
        self._ask_step = min(self._ask_longest, 2 * self._ask_step or SECOND // 2)
        self._ask_at = now + int(self._ask_step * (0.5 + 0.5 * self._chance()))
        self._asked = False

    def record_load_report(self, backend: Backend, load: dict[int, float], now: int) -> None:
        told = load.get(LOAD_WAITING, load.get(LOAD_ACTIVE))
        if told is not None:
            backend.told, backend.told_at = told, now

    def response_started(self, sent: Attempt) -> None:
        sent.ticket.finished = True

    def caller_disconnected(self, ticket: Ticket) -> None:
        ticket.finished = True
        ticket.pause = 0 if self._calls_off else -1

    def export_learned(self, now: int) -> tuple[int, float, float]:
        """What another process of the same proxy is `taught`: else it takes the jam for its doing."""
        home = self._sides[self._home]
        return self._usual, self._flow_now(home, now), self._took_now(home, now)

    def import_learned(self, usual: int, flow: float, took: float, now: int) -> None:
        self._usual, self._started = usual, min(self._started, now - 9 * FLOW_SPAN)
        for side in self._sides.values():
            side.flow, side.took, side.started = flow, took, min(self._started, now - 9 * self._warm_after)
            side.flow_at = side.took_at = side.done_at = now
            flow = took = 0.0  # the first is the home's, whose they are

    # --- the breaker ------------------------------------------------------------------------------

    def _admits(self, backend: Backend, now: int) -> bool:
        if backend.state == OPEN:
            if now < backend.open_until:
                return False
            self._change(backend, HALF_OPEN, now)
        if backend.trials >= TRIALS and now >= backend.trial_due:
            backend.trials -= 1
            self._result(backend, False, now)
            return False
        return backend.trials < TRIALS

    def _result(self, backend: Backend, success: bool, now: int) -> None:
        results = backend.results
        results.append(success)
        backend.failures += not success
        if len(results) > WINDOW:
            backend.failures -= not results.popleft()
        if success:
            backend.run_failed = 0
            backend.run_done += 1
            if backend.state == HALF_OPEN and backend.run_done >= CLOSE_COUNT:
                self._change(backend, CLOSED, now)
            return
        backend.run_done = 0
        backend.run_failed += 1
        if backend.state == HALF_OPEN:
            self._change(backend, OPEN, now)
        elif backend.run_failed >= RUN or (len(results) >= WINDOW and 2 * backend.failures >= WINDOW):
            if not self._shared(backend):
                self._change(backend, OPEN, now)

    def _shared(self, backend: Backend) -> bool:
        """Whether the other servers fail about as much: against a tier below that fails, or a use case slow
        everywhere, opening sound servers."""
        others = [other for other in self._backends if other is not backend and other.state == CLOSED]
        failures, results = sum(one.failures for one in others), sum(len(one.results) for one in others)
        if results < RUN:
            return False
        own = 1.0 if backend.run_failed >= RUN else backend.failures / len(backend.results)
        return 2.0 * failures / results >= own

    def _change(self, backend: Backend, state: int, now: int) -> None:
        if backend.state != state and CLOSED in (backend.state, state):
            word = "open" if state == OPEN else "closed"
            self._say(
                f"{backend.address} {word}: {backend.failures} of {len(backend.results)} failed,"
                f" run {backend.run_failed}"
            )
        backend.state = state
        backend.generation += 1
        backend.results.clear()
        backend.failures = backend.run_failed = backend.run_done = backend.trials = 0
        if state == OPEN:
            backend.open_until = now + OPEN_FOR

    # --- cold backends ----------------------------------------------------------------------------

    def _grown(self, backend: Backend, now: int) -> float:
        age = min(1.0, max(0, now - backend.started_at) / self._warm_after)
        return self._cold_share + (1.0 - self._cold_share) * age

    def _age(self, backends: list[Backend], now: int) -> list[Backend]:
        """The operators' carry-over: a fresh backend counts for less, by its age. Returns the fresh."""
        for backend in backends:
            backend.cold = backend.started_at != 0 and now - backend.started_at < self._warm_after
            backend.share = backend.portion * (self._grown(backend, now) if backend.cold else 1.0)
        # Asked with each ticket while one is fresh: no further than the near ones, which come first.
        for side in self._sides.values():
            side.grown = sum(b.share for b in takewhile(attrgetter("near"), side.ring)) or 1.0
        return [b for b in backends if b.cold]

    def _may_warm(self, backend: Backend, now: int) -> bool:
        """The cold rule's budget, by what warm backends of like size take from this proxy, spent evenly."""
        size = backend.portion * self._grown(backend, now)
        # Over what was listed while it came: else one fresh backend gets the calls of all that just went.
        # And by what one took while a backend warms, if that is more: the warm ones choke and take little.
        side = self._side(backend)
        known = 1.0 - exp(min(-1, side.started - now) / self._warm_after)
        rate = self._flow_now(side, now) / max(side.grown / side.sharing, side.grown_then)
        rate = max(rate, self._took_now(side, now) / known) / side.sharing * size * self._cold_rate
        rate = max(rate, self._cold_least / self.sharers)
        backend.allowance += rate * (now - backend.counted_at) / SECOND
        backend.allowance, backend.counted_at = min(max(1.0, rate / 4), backend.allowance), now
        return backend.allowance >= 1.0

    def _took_now(self, side: Side, now: int) -> float:
        return side.took * exp((side.took_at - now) / self._warm_after)

    @staticmethod
    def _flow_now(side: Side, now: int) -> float:
        if now > side.flow_at:
            side.flow *= exp((side.flow_at - now) / side.span)
            side.flow_at = now
        # The first moments count as short as they are: else a proxy just started takes itself for slow.
        return side.flow / (1.0 - exp(min(-1, side.started - now) / side.span))

    # --- what a ticket still allows ---------------------------------------------------------------

    def _anchor(self, ticket: Ticket) -> Attempt | None:
        """The first attempt that may have run: it binds a referenced ticket to its group and time."""
        if ticket.use_case.retry_class == REPLAYABLE:
            return None
        return next((sent for sent in ticket.attempts if sent.ended not in NEVER_RAN), None)

    def _no(self, ticket: Ticket, now: int) -> int:
        ticket.finished = True
        ticket.pause = self._advice(ticket, now)
        use = ticket.use_case
        if self._anchor(ticket) is None or (use.retry_class == REFERENCED and use.scope == SCOPE_ALL):
            return BOUNCE
        return SCRAP


def _drops_repeats(ran: Backend, other: Backend, scope: int) -> bool:
    return ran.cell == other.cell if scope == SCOPE_CELL else scope != SCOPE_ZONE or ran.zone == other.zone


def _may_run(use: UseCase, backend: Backend) -> bool:
    """Placement: kept at each attempt, a trial's and a last resort's too."""
    return (use.zones is None or backend.zone in use.zones) and (use.kinds is None or backend.kind in use.kinds)
