"""Decides when the next watch call goes out at one discovery address. Free of I/O, without a clock of its own.

Times are seconds of one monotonic clock. A *deadline* is the time by which discovery must have confirmed the list. From
then on changes at discovery count as delivered: the drain rules treat this proxy as having received them, whether or
not it has (docs/design.md, "Terms for the list").
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

# Discovery sends an empty line every 2 s, so a watch without a line for longer is dead, whatever the state of its
# connection. Updates that it misses count as delivered 6 s after its last line, and another watch must have delivered
# them by then. With a timeout of 4.5 s and a wait of up to 500 ms, a call that stood 2.8 s in discovery's queue was too
# late. The spread differs per proxy, since all watches may fall silent at once; the next call then goes out without a
# further wait.
WATCH_SILENCE_TIMEOUT_S = 2.5
CALL_SPREAD_S = 0.5
# Discovery queues calls, and a queued call looks like a lost one. It is not closed, as a new call would start at the
# end of the queue; another call goes out in parallel, since a change counts 6 s after discovery had it and could be
# reached. After a silence the open call is most likely lost too, so the next goes out after the silence timeout. After
# a failure, or at a start, a queue of many callers is as likely, and every further call lengthens it for all: the next
# goes out late, leaving 1.5 s for its answer. The spread is added to either.
FIRST_ANSWER_TIMEOUT_S = 4.0
# A call refused after at least this long stood in a queue that is longer than discovery lets callers wait, but is
# worked through all the same. If all refused calls came back soon and together, they would keep the queue that long for
# good. The next call therefore goes out at a random time within 2.5 times the wait, excluding the first tenth, so that
# the calls of many proxies arrive one after another. It goes out within 6 s of the refused call, since that may have
# gone out just before discovery became reachable, and a change counts 6 s after that. A longer wait never shortens the
# pause below 2.5 s.
QUEUED_LONG_S = 1.0
QUEUED_PAUSE_FACTOR, QUEUED_PAUSE_MIN_FRACTION = 2.5, 0.1
QUEUED_PAUSE_MAX_S = 6.0
# With a known deadline the next call goes out early enough to leave this time for its answer, unless less than
# RETRY_SPREAD_MIN_S remains to spread such calls over.
RETRY_ANSWER_TIME_S = 0.5
PARALLEL_ANSWER_TIME_S = 1.5
RETRY_SPREAD_MIN_S = 1.0
# While a deadline runs, a call that was refused at once is repeated soon, because an early place in the queue matters:
# the first wait, its growth with each further failure, and the longest wait. Half of each wait is random, to keep the
# proxies' calls apart. Such a refusal has cost discovery no turn of its queue.
RETRY_INITIAL_S = 0.2
RETRY_GROWTH = 1.5
RETRY_MAX_S = 0.5
# A deadline that passes while discovery is down leaves all later requests at risk, so fast retries go on for this many
# times its length.
FAST_RETRY_DEADLINES = 3


class CallSchedule:
    """The call schedule of one address. `backoff` gives the wait after failures while no deadline runs, in seconds."""

    def __init__(self, random: Random, backoff: Callable[[], float]) -> None:
        self._random = random
        self._backoff = backoff
        self._confirm_by = 0.0  # from then on changes that the list lacks may count as delivered; 0 for none
        self._fast_retry_until = 0.0  # until then failed calls are repeated soon
        self._call_due = False  # since the deadline began no call was made and no message has come
        # The first call since the deadline began is open alone; if it is lost, the next must not wait past the
        # deadline.
        self._parallel_call_soon = False
        self._newest_cut_short = False  # the newest call was cut short while others are open without an answer
        self._retry_wait = RETRY_INITIAL_S
        self.asked_at = 0.0  # when the newest call went out
        # Since the last message a watch ended by silence, and no call was refused, reset or failed.
        self.watch_fell_silent = False
        self.paused_until = 0.0  # no call goes out before this time

    def start_deadline(self, now: float, within: float) -> None:
        """Starts a deadline: discovery has to confirm the list within `within` seconds."""
        self._fast_retry_until = now + FAST_RETRY_DEADLINES * within
        self._confirm_by = 0.0  # the retry pace of the deadline applies instead
        self._call_due = True
        self._parallel_call_soon = True
        self._retry_wait = RETRY_INITIAL_S

    def confirm_by(self, deadline: float) -> None:
        """Sets the time from which changes that the list lacks may count as delivered. Cleared by a message or by
        `start_deadline`.
        """
        self._confirm_by = deadline

    def pause_until(self, until: float) -> None:
        """Lets no call go out before `until`."""
        self.paused_until = until

    def note_call(self, now: float, parallel: bool) -> None:
        """Records that a call goes out; `parallel` says whether others are open without a message."""
        self.asked_at = now
        self._call_due = self._newest_cut_short = False
        self._parallel_call_soon = self._parallel_call_soon and not parallel

    def note_message(self) -> None:
        """Records a message of discovery."""
        self.watch_fell_silent = self._call_due = self._newest_cut_short = False
        self._confirm_by = 0.0
        self._retry_wait = RETRY_INITIAL_S

    def note_failure(self, now: float, waited: float) -> None:
        """Records that the last open call ended, `waited` seconds after its request was sent; 0 if it did not wait in a
        queue.
        """
        if waited >= QUEUED_LONG_S:
            longest = min(QUEUED_PAUSE_FACTOR * waited, max(QUEUED_PAUSE_FACTOR, QUEUED_PAUSE_MAX_S - waited))
            time_left = self._confirm_by - RETRY_ANSWER_TIME_S - now
            if time_left >= RETRY_SPREAD_MIN_S:
                longest = min(longest, time_left)
            self.paused_until = now + self._random.uniform(QUEUED_PAUSE_MIN_FRACTION * longest, longest)
        elif now < self._fast_retry_until:
            self.paused_until = now + self._retry_wait * self._random.uniform(0.5, 1.0)
            self._retry_wait = min(RETRY_MAX_S, RETRY_GROWTH * self._retry_wait)

    def note_cut_short(self, now: float) -> None:
        """Records a call that was answered but ended without a message while others are open unanswered. Discovery does
        answer, so these are more likely lost than queued.
        """
        self.note_failure(now, 0.0)
        self._newest_cut_short = True

    def seconds_to_next_call(self, now: float, calls_open: bool, spread: float) -> float:
        """Seconds until the next call; 0 or less for at once.

        `calls_open` says whether calls are open without a message, and `spread` is this proxy's part of CALL_SPREAD_S.
        """
        if calls_open:
            parallel_wait = self._parallel_call_at(now, spread) - now
            return min(parallel_wait, self._wait_without_open_calls(now)) if self._newest_cut_short else parallel_wait
        return self._wait_without_open_calls(now)

    def _parallel_call_at(self, now: float, spread: float) -> float:
        """When a call goes out in parallel to unanswered ones."""
        soonest, latest = (
            self.asked_at + within + spread for within in (WATCH_SILENCE_TIMEOUT_S, FIRST_ANSWER_TIMEOUT_S)
        )
        if self.watch_fell_silent or self._parallel_call_soon:
            return soonest
        if now >= self._confirm_by:
            return latest
        return max(soonest, min(latest, self._confirm_by - PARALLEL_ANSWER_TIME_S - spread))

    def _wait_without_open_calls(self, now: float) -> float:
        if self.paused_until > now:
            return self.paused_until - now
        # This also holds if it is first evaluated late: as long as no call has failed, the balancer asks for none.
        return 0.0 if self._call_due or now < self._fast_retry_until else self._backoff()
