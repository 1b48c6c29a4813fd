"""The life of a change: proposed, staged, applied, confirmed or undone; one at a time; free of I/O.

Whoever calls does what an answer says (write the state, apply the terms) and tells the ledger when it is
done. What is proposed while another is open is refused by that one's name, or waits for it where the file
says so; it is never merged, and one that waited is checked anew against what stands when its turn comes.
"""

from __future__ import annotations

from collections import deque
from typing import Any, NamedTuple

PROPOSED, STAGED, APPLIED, CONFIRMED, UNDONE = "proposed", "staged", "applied", "confirmed", "undone"
# What may follow what. Undone before it was applied is a change that was given up.
FOLLOWS = {
    PROPOSED: (STAGED, UNDONE),
    STAGED: (APPLIED, UNDONE),
    APPLIED: (CONFIRMED, UNDONE),
    CONFIRMED: (),
    UNDONE: (),
}
MOST_WAITING = 8


class TransactionError(ValueError):
    """What can't be done with a change now; its text is one line."""


class Step(NamedTuple):
    """A change came to `state` at `when` (us), by whom and why."""

    state: str
    when: int
    who: str
    why: str


class Change:
    """`what` is whatever the caller proposed; the ledger never looks into it. `name` is what it is called
    by."""

    __slots__ = ("number", "name", "what", "steps")

    def __init__(self, number: int, name: str, what: Any, step: Step) -> None:
        self.number = number
        self.name = name
        self.what = what
        self.steps = [step]  # five at the most

    @property
    def state(self) -> str:
        return self.steps[-1].state

    @property
    def over(self) -> bool:
        return not FOLLOWS[self.state]

    def at(self, state: str) -> int:
        """When it came to that state, -1 for never."""
        return next((step.when for step in self.steps if step.state == state), -1)


class TransactionLog:
    def __init__(self, history: int) -> None:
        self._history: deque[Change] = deque(maxlen=history)  # those over, the last `history`
        self._waiting: deque[Change] = deque()  # emptied as their turn comes, MOST_WAITING at the most
        self._number = 0
        self.open: Change | None = None

    def keep(self, history: int) -> None:
        if history != self._history.maxlen:
            self._history = deque(self._history, history)

    @property
    def history(self) -> list[Change]:
        """Oldest first; the open one and those that wait last."""
        return [*self._history, *(() if self.open is None else (self.open,)), *self._waiting]

    def find(self, number: int | None) -> Change:
        """Raises TransactionError. None is the open one."""
        if number is None:
            if self.open is None:
                raise TransactionError("no change is open")
            return self.open
        for change in self.history:
            if change.number == number:
                return change
        raise TransactionError(f"no change {number} is known")

    def propose(self, name: str, what: Any, who: str, why: str, waits: bool, now: int) -> Change:
        """The change, open if none was, else waiting. Raises TransactionError, naming the one that is open."""
        if self.open is not None:
            if not waits:
                raise TransactionError(
                    f"change {self.open.number} ({self.open.name}) of {self.open.steps[0].who} is"
                    f" {self.open.state}; confirm or undo it first"
                )
            if len(self._waiting) >= MOST_WAITING:
                raise TransactionError(f"{MOST_WAITING} changes wait already")
        self._number += 1
        change = Change(self._number, name, what, Step(PROPOSED, now, who, why))
        if self.open is None:
            self.open = change
        else:
            self._waiting.append(change)
        return change

    def move(self, change: Change, state: str, who: str, why: str, now: int) -> None:
        """To the next state. Raises TransactionError where that can't follow."""
        if state not in FOLLOWS[change.state]:
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
            self._waiting.remove(change)

    def next(self) -> Change | None:
        """The one whose turn has come: it is open from now on, and to be checked anew."""
        if self.open is None and self._waiting:
            self.open = self._waiting.popleft()
            return self.open
        return None


def verdict(change: Change, by_itself: bool, watch: int, harm: object | None, now: int) -> tuple[str, str] | None:
    """What becomes of an applied change now: (CONFIRMED or UNDONE, why), or None while it is watched."""
    if change.state != APPLIED:
        return None
    if harm is not None:
        return UNDONE, str(harm)
    if now - change.at(APPLIED) < watch:
        return None
    if by_itself:
        return CONFIRMED, "watched, and nothing rose"
    return UNDONE, "not confirmed by hand in time"
