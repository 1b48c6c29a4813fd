"""The state machine of configuration changes: proposed, staged, applied, confirmed or undone; free of I/O.

One change is open at a time. The caller does the work of each step (writes the state, applies the configuration) and
then moves the change to its next state here. A change that is proposed while another is open is refused with an
error that names the open one, or queued if the configuration says so. Changes are never merged; the caller validates
a queued change again, against the configuration then in force, when its turn comes.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

PROPOSED, STAGED, APPLIED, CONFIRMED, UNDONE = "proposed", "staged", "applied", "confirmed", "undone"
# Allowed next states by state. A change that is undone before it is applied was abandoned.
ALLOWED_TRANSITIONS = {
    PROPOSED: (STAGED, UNDONE),
    STAGED: (APPLIED, UNDONE),
    APPLIED: (CONFIRMED, UNDONE),
    CONFIRMED: (),
    UNDONE: (),
}
MAX_QUEUED = 8


class TransactionError(ValueError):
    """An operation that the state of the change doesn't allow; its text is one line."""


class Step(NamedTuple):
    """One state transition: the change reached `state` at time `when` (us), caused by `who` for the reason `why`."""

    state: str
    when: int
    who: str
    why: str


class Change:
    """A proposed configuration change. `what` is the caller's payload, which the transaction log never inspects;
    `name` is the payload's digest as shown to operators."""

    __slots__ = ("number", "name", "what", "steps")

    def __init__(self, number: int, name: str, payload: Any, step: Step) -> None:
        self.number = number
        self.name = name
        self.what = payload
        self.steps = [step]  # at most one for each state

    @property
    def state(self) -> str:
        return self.steps[-1].state

    @property
    def over(self) -> bool:
        return not ALLOWED_TRANSITIONS[self.state]

    def reached_at(self, state: str) -> int:
        """The time (us) at which the change reached `state`; -1 if it never did."""
        return next((step.when for step in self.steps if step.state == state), -1)


class TransactionLog:
    """The open change, the queue of changes that wait for it, and the history of finished ones."""

    def __init__(self, history: int) -> None:
        self._history: deque[Change] = deque(maxlen=history)  # the last `history` finished changes
        self._queue: deque[Change] = deque()  # queued changes, MAX_QUEUED at most
        self._last_number = 0
        self.open: Change | None = None

    def set_history_limit(self, history: int) -> None:
        if history != self._history.maxlen:
            self._history = deque(self._history, history)

    @property
    def history(self) -> list[Change]:
        """Finished changes, oldest first, then the open change, then the queued ones."""
        return [*self._history, *(() if self.open is None else (self.open,)), *self._queue]

    def find(self, number: int | None) -> Change:
        """The change with this number; None stands for the open change. Raises TransactionError."""
        if number is None:
            if self.open is None:
                raise TransactionError("no change is open")
            return self.open
        for change in self.history:
            if change.number == number:
                return change
        raise TransactionError(f"no change {number} is known")

    def propose(self, name: str, payload: Any, who: str, why: str, may_queue: bool, now: int) -> Change:
        """Returns the new change: open if no other is, otherwise queued. Raises TransactionError, which names the open
        change, if the new one may not be queued."""
        if self.open is not None:
            if not may_queue:
                raise TransactionError(
                    f"change {self.open.number} ({self.open.name}) of {self.open.steps[0].who} is"
                    f" {self.open.state}; confirm or undo it first"
                )
            if len(self._queue) >= MAX_QUEUED:
                raise TransactionError(f"{MAX_QUEUED} changes are queued already")
        self._last_number += 1
        change = Change(self._last_number, name, payload, Step(PROPOSED, now, who, why))
        if self.open is None:
            self.open = change
        else:
            self._queue.append(change)
        return change

    def move(self, change: Change, state: str, who: str, why: str, now: int) -> None:
        """Moves a change to its next state. Raises TransactionError if that transition is not allowed."""
        if state not in ALLOWED_TRANSITIONS[change.state]:
            raise TransactionError(f"change {change.number} is {change.state} and can't become {state}")
        if change is not self.open and state != UNDONE:
            raise TransactionError(f"change {change.number} waits for change {self.open.number if self.open else 0}")
        change.steps.append(Step(state, now, who, why))
        if not change.over:
            return
        self._history.append(change)
        if change is self.open:
            self.open = None
        else:
            self._queue.remove(change)

    def next(self) -> Change | None:
        """Opens the first queued change if no change is open; the caller has to validate it again."""
        if self.open is None and self._queue:
            self.open = self._queue.popleft()
            return self.open
        return None


def verdict(
    change: Change, confirm_automatically: bool, watch_period: int, harm: object | None, now: int
) -> tuple[str, str] | None:
    """Decides on an applied change: (CONFIRMED or UNDONE, reason), or None while it is still watched."""
    if change.state != APPLIED:
        return None
    if harm is not None:
        return UNDONE, str(harm)
    if now - change.reached_at(APPLIED) < watch_period:
        return None
    if confirm_automatically:
        return CONFIRMED, "watch period passed without harm"
    return UNDONE, "not confirmed manually in time"
