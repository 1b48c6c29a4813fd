"""When the next call for the list goes out at one address of discovery. Decisions alone: no I/O, and no clock of its own.

Times are seconds of one clock that only advances. A *term* is the span within which discovery's word has to have come:
from its end on, what the list lacks counts as told (docs/design.md, "Terms for the list").
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

# An empty line comes every 2 s: a watch with no line for longer is dead, whatever its connection says. What it
# misses is held against this proxy 6 s after its last line, and by then another watch has to have told it: after
# 4.5 s, and a wait of up to 500 ms, a call that stood 2.8 s in discovery's queue was too late. The second figure is
# spread over proxies, since all watches may fall silent at once; asked is then without a further wait.
WATCH_SILENCE_TIMEOUT_S = 2.5
SPREAD = 0.5
# Calls wait in turn at discovery, and one that waits looks like one that is lost: it is never left to begin
# anew at the queue's end. Another goes out beside it, since a change counts 6 s after discovery had it and
# could be reached. After a silence the call is most likely lost as well: the next goes out when that lasted
# as long as makes a watch dead. After a failure, or where nothing is known, a queue of many callers is as
# likely, and each call more makes it longer for all: the next goes out so late that it leaves 1.5 s for the
# answer. The spread is added to either.
FIRST_ANSWER_TIMEOUT_S = 4.0
# A call that was kept so long and then refused stood in a queue that is longer than discovery lets anybody wait,
# and is worked through all the same: once all that it works through was refused before, calls that come again
# soon, and all at the same time, keep it so for good. So the next goes out by chance within 2.5 times as long,
# not in the first tenth of that: far enough apart that the calls of a crowd come one after another. Within 6 s of
# the one refused, since it may have gone out just before discovery could be reached, and a change counts so long
# after; but never in haste for having been kept for longer.
KEPT_LONG = 1.0
PAUSE, PAUSE_LEAST = 2.5, 0.1
APART_MOST = 6.0
# Where what the list lacks counts from a known time on, the next goes out so early that so many seconds are left for its
# answer, unless that leaves less than the last figure to spread such calls over.
ANSWERED_WITHIN = 0.5
FIRST_ANSWERED_WITHIN = 1.5
SPREAD_LEAST = 1.0
# While a term runs a call that was refused at once is made again soon, since what counts is to be early in the queue:
# the first wait, its growth with each further failure, and the longest. Half of each is by chance, against calls of
# all proxies at once. Refused so, a call has cost discovery no turn.
RETRY_FIRST = 0.2
RETRY_GROWTH = 1.5
RETRY_MOST = 0.5
# A term that ends while discovery is down leaves all sends after it at risk: the pace holds for so many of its length.
PACE_HELD = 3


class CallSchedule:
    """Of one address. `backoff` gives the wait after failures outside a term, in seconds."""

    def __init__(self, chance: Random, backoff: Callable[[], float]) -> None:
        self._chance = chance
        self._backoff = backoff
        self._due_at = 0.0  # what the list lacks may count from then on
        self._soon_till = 0.0  # failed calls are made again soon
        self._call_owed = False  # no call of this term was made yet, and no word has come in it
        self._beside_soon = False  # the first call of a term is out alone: lost, it would be missed past the term
        self._cut_short = False  # the newest call was, while others are out without an answer
        self._retry = RETRY_FIRST
        self.asked_at = 0.0  # when the newest call went out
        self.silent = False  # since the last word silence ended a watch, and no call was refused, reset or failed
        self.paused_till = 0.0  # no call before

    def begin_term(self, now: float, term: float) -> None:
        """Discovery's word has to have come within so many seconds."""
        self._soon_till = now + PACE_HELD * term
        self._due_at = 0.0  # a term has a pace of its own
        self._call_owed = True
        self._beside_soon = True
        self._retry = RETRY_FIRST

    def expect_by(self, due: float) -> None:
        """What the list lacks may count from then on; until a word comes, or a term begins."""
        self._due_at = due

    def pause(self, till: float) -> None:
        self.paused_till = till

    def called(self, now: float, beside: bool) -> None:
        """Another goes out, `beside` calls that had no word."""
        self.asked_at = now
        self._call_owed = self._cut_short = False
        self._beside_soon = self._beside_soon and not beside

    def spoken(self) -> None:
        self.silent = self._call_owed = self._cut_short = False
        self._due_at = 0.0
        self._retry = RETRY_FIRST

    def failed(self, now: float, kept: float) -> None:
        """The last call that was out ended: `kept` seconds after it was made, 0 where it was none that waited."""
        if kept >= KEPT_LONG:
            longest = min(PAUSE * kept, max(PAUSE, APART_MOST - kept))
            in_time = self._due_at - ANSWERED_WITHIN - now
            if in_time >= SPREAD_LEAST:
                longest = min(longest, in_time)
            self.paused_till = now + self._chance.uniform(PAUSE_LEAST * longest, longest)
        elif now < self._soon_till:
            self.paused_till = now + self._retry * self._chance.uniform(0.5, 1.0)
            self._retry = min(RETRY_MOST, RETRY_GROWTH * self._retry)

    def cut_short(self, now: float) -> None:
        """A call was answered and ended without a word, while others are out without an answer: discovery answers, so these
        are more likely lost than waiting for their turn."""
        self.failed(now, 0.0)
        self._cut_short = True

    def wait(self, now: float, out: bool, spread: float) -> float:
        """Seconds until the next call, none or less for at once; `out` tells whether calls are out without a word, and
        `spread` is this proxy's part of SPREAD."""
        if out:
            beside = self._beside_at(now, spread) - now
            return min(beside, self._wait_alone(now)) if self._cut_short else beside
        return self._wait_alone(now)

    def _beside_at(self, now: float, spread: float) -> float:
        """When another goes out beside calls that have no answer."""
        soonest, latest = (
            self.asked_at + within + spread for within in (WATCH_SILENCE_TIMEOUT_S, FIRST_ANSWER_TIMEOUT_S)
        )
        if self.silent or self._beside_soon:
            return soonest
        if now >= self._due_at:
            return latest
        return max(soonest, min(latest, self._due_at - FIRST_ANSWERED_WITHIN - spread))

    def _wait_alone(self, now: float) -> float:
        if self.paused_till > now:
            return self.paused_till - now
        # However late this is looked at: where no call has failed, the decisions ask for none.
        return 0.0 if self._call_owed or now < self._soon_till else self._backoff()
