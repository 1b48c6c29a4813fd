"""Discovery at one address, and the calls that are out there."""

from __future__ import annotations

import asyncio

from pepperusher.net.call_schedule import CallSchedule
from pepperusher.net.endpoint_update import format_address
from pepperusher.net.connection import StreamConnection

# As many calls stand at once: for a fifth the oldest is given up, after a silence 10 s old, otherwise 16 s.
ABREAST = 4
# A call that is given up for another is read on for so many seconds: what discovery has written counts as told.
LEFT_WITHIN = 0.25


class Silent(Exception):
    """A watch that was answered says no more; its last word came at `since`, by the loop's clock."""

    def __init__(self, since: float) -> None:
        super().__init__("silent")
        self.since = since


class Refused(Exception):
    """A call that ended without an answer, or with another than a watch, `kept` seconds after it was asked."""

    def __init__(self, why: str, kept: float) -> None:
        super().__init__(why)
        self.kept = kept


class Call:
    """One request for the watch, from when it goes out until its connection ends. Times are the loop's, in seconds."""

    __slots__ = ("number", "address", "asked_at", "line", "spoken", "leaving", "task")

    def __init__(self, number: int, address: tuple[str, int], asked_at: float) -> None:
        self.number = number
        self.address = address
        self.asked_at = asked_at
        self.line: StreamConnection | None = None  # once the connection is up
        self.spoken = False
        self.leaving = False  # another has its place; what still comes may be newer than the list
        self.task: asyncio.Task[str]

    def described(self, now: float) -> str:
        connection = "" if self.line is not None else ", no connection"
        return f"call {self.number} to {format_address(self.address)}, {now - self.asked_at:.2f} s old{connection}"

    @property
    def has_unread_data(self) -> bool:
        """Whether something came that was not looked at, be it in the kernel alone."""
        return self.line is not None and self.line.has_unread_data

    def drop(self) -> None:
        """Closes it at once."""
        self.task.cancel()
        # It may have failed in the same turn of the loop: nobody asks with what.
        self.task.add_done_callback(_take_outcome)

    def leave(self) -> None:
        """Closes it in a moment, once what discovery had written was read."""
        self.leaving = True
        self.task.add_done_callback(_take_outcome)
        asyncio.get_running_loop().call_later(LEFT_WITHIN, self.task.cancel)


def _take_outcome(task: asyncio.Task[str]) -> None:
    """Else asyncio logs an exception that nobody asked for."""
    if not task.cancelled():
        task.exception()


class Source:
    """Discovery at one address. `version` is that of its last word; None is one that has told nothing yet."""

    __slots__ = ("address", "version", "begun_anew", "following", "calls", "watch", "schedule")

    def __init__(self, address: tuple[str, int], version: int | None, schedule: CallSchedule) -> None:
        self.address = address
        self.version = version
        self.begun_anew = False  # its versions start again: what came after ours means nothing there
        self.following: asyncio.Task[None]
        # Out and not over, the oldest first, `ABREAST` at the most; several only while none has spoken, and
        # then that one is the watch.
        self.calls: list[Call] = []
        self.watch: Call | None = None
        self.schedule = schedule

    def spoken_by(self, call: Call) -> list[Call]:
        """It is the watch from here on. Returns the others, which have lost their places."""
        self.schedule.spoken()
        if self.watch is not None or call.leaving:
            return []
        self.watch = call
        others = [other for other in self.calls if other is not call]
        self.calls = [call]
        return others

    def over(self, call: Call) -> None:
        self.calls.remove(call)
        if call is self.watch:
            self.watch = None

    def take_calls(self) -> list[Call]:
        """All that are out, which are the caller's from here on."""
        calls, self.calls, self.watch = self.calls, [], None
        return calls
