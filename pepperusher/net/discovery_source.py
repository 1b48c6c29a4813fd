"""The discovery service at one address, and the calls that are open there."""

from __future__ import annotations

import asyncio

from pepperusher.net.call_schedule import CallSchedule
from pepperusher.net.endpoint_update import format_address
from pepperusher.net.connection import StreamConnection

# Calls open at once. A fifth closes the oldest, which is 10 s old after a silence and 16 s old otherwise.
CONCURRENT_CALLS_MAX = 4
# A superseded call is still read for this long: what discovery has already written counts as delivered.
SUPERSEDED_READ_S = 0.25


class WatchSilentError(Exception):
    """A watch received nothing for too long. Its last message came at `last_message_at`, by the loop's clock."""

    def __init__(self, last_message_at: float) -> None:
        super().__init__("silent")
        self.last_message_at = last_message_at


class CallRefusedError(Exception):
    """A call ended without an answer, or with an answer other than a watch, `waited` seconds after its request was
    sent.
    """

    def __init__(self, why: str, waited: float) -> None:
        super().__init__(why)
        self.waited = waited


class Call:
    """One watch request, from connecting to the end of its connection. Times are the loop's, in seconds."""

    __slots__ = ("number", "address", "asked_at", "connection", "has_message", "superseded", "task")

    def __init__(self, number: int, address: tuple[str, int], asked_at: float) -> None:
        self.number = number
        self.address = address
        self.asked_at = asked_at
        self.connection: StreamConnection | None = None  # None until the connection is established
        self.has_message = False
        self.superseded = False  # superseded by another call; what still arrives may be newer than the list
        self.task: asyncio.Task[str]

    def describe(self, now: float) -> str:
        connection = "" if self.connection is not None else ", no connection"
        return f"call {self.number} to {format_address(self.address)}, {now - self.asked_at:.2f} s old{connection}"

    @property
    def has_unread_data(self) -> bool:
        """Whether unread data waits, in the kernel's buffer or in this process."""
        return self.connection is not None and self.connection.has_unread_data

    def close_now(self) -> None:
        self.task.cancel()
        # The task may have failed in the same turn of the loop; nothing else retrieves its exception.
        self.task.add_done_callback(_retrieve_exception)

    def close_after_read(self) -> None:
        """Closes the call after a moment in which what discovery has already written is read."""
        self.superseded = True
        self.task.add_done_callback(_retrieve_exception)
        asyncio.get_running_loop().call_later(SUPERSEDED_READ_S, self.task.cancel)


def _retrieve_exception(task: asyncio.Task[str]) -> None:
    """Retrieves the task's exception, since asyncio logs exceptions that were never retrieved."""
    if not task.cancelled():
        task.exception()


class Source:
    """The discovery service at one address.

    `version` is that of its last update, None before the first.
    """

    __slots__ = ("address", "version", "versions_restarted", "following", "calls", "watch", "schedule")

    def __init__(self, address: tuple[str, int], version: int | None, schedule: CallSchedule) -> None:
        self.address = address
        self.version = version
        # The version count restarted, so changes after our version cannot be asked for.
        self.versions_restarted = False
        self.following: asyncio.Task[None]
        # Open calls, the oldest first, at most CONCURRENT_CALLS_MAX. There are several only until one receives a
        # message; that call becomes the watch.
        self.calls: list[Call] = []
        self.watch: Call | None = None
        self.schedule = schedule

    def promote_to_watch(self, call: Call) -> list[Call]:
        """Makes the call that received a message the watch. Returns the other calls, which it supersedes."""
        self.schedule.note_message()
        if self.watch is not None or call.superseded:
            return []
        self.watch = call
        others = [other for other in self.calls if other is not call]
        self.calls = [call]
        return others

    def remove_call(self, call: Call) -> None:
        """Removes a call that has ended."""
        self.calls.remove(call)
        if call is self.watch:
            self.watch = None

    def detach_calls(self) -> list[Call]:
        """Hands all open calls over to the caller, who has to close them."""
        calls, self.calls, self.watch = self.calls, [], None
        return calls
