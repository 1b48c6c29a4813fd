"""One attempt to send a ticket to a backend, and what it needs from the ticket and the balancing decisions."""

from __future__ import annotations

from collections.abc import Awaitable, Callable


class Attempt:
    """One attempt to send a ticket to one backend. `outcome` is set if the attempt is given up from outside. `written`
    is set once the kernel has the last byte of the request: before that the request has not run, so the attempt may
    always be given up.
    """

    def __init__(self) -> None:
        self.outcome: str | None = None
        self.reason = ""  # why it did not succeed, for the log
        self.written = False
        self._abort: Callable[[], object] | None = None

    def give_up(self, outcome: str, reason: str) -> None:
        """Gives the attempt up from outside and aborts what it is doing."""
        if self.outcome is None:
            self.outcome = outcome
            self.reason = reason
            if self._abort is not None:
                self._abort()

    def detach(self) -> None:
        """Called when the connection may be used by another attempt: giving this one up must not abort it any more."""
        self._abort = None

    def on_give_up(self, abort: Callable[[], object]) -> None:
        """Sets what is called if the attempt is given up; calls it at once if it already is."""
        self._abort = abort
        if self.outcome is not None:
            abort()


class AttemptContext:
    """What an attempt needs from the ticket and the balancing decisions: whether it may be sent, the client's state,
    and calls that exclude the attempt from load figures while a body is streamed and include it again.
    """

    __slots__ = (
        "may_still_send",
        "client_left",
        "pause_attempt",
        "resume_attempt",
        "remaining_time",
        "prepare_to_send",
        "was_paused",
        "list_expired",
        "may_retry",
        "is_bound_repeat",
    )

    def __init__(
        self,
        may_still_send: Callable[[], bool],
        client_left: Callable[[], bool],
        pause_attempt: Callable[[], None],
        resume_attempt: Callable[[int], None],
        remaining_time: Callable[[], int],
        prepare_to_send: Callable[[], Awaitable[None]],
        was_paused: Callable[[], bool],
        list_expired: Callable[[], bool],
        may_retry: Callable[[int], bool],
        is_bound_repeat: Callable[[], bool],
    ) -> None:
        self.may_still_send = may_still_send
        self.client_left = client_left  # whether the client has left
        self.pause_attempt = pause_attempt
        self.resume_attempt = resume_attempt  # as of the given time
        self.remaining_time = remaining_time  # how long the client still waits, in microseconds
        self.was_paused = was_paused  # whether the process was paused and has not read the list since
        self.list_expired = list_expired  # whether the list has expired: no request may be sent by it
        # whether it repeats an attempt that may have run, and so is to reach the same deduplication group
        self.is_bound_repeat = is_bound_repeat
        self.may_retry = may_retry  # whether another attempt could follow if this one failed at the given time
        # returns once it is known whether the client has left, and the list in use is as discovery has written it, also after
        # a process pause
        self.prepare_to_send = prepare_to_send
