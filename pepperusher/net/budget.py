"""The budget of descriptors of this process, shared by connections from callers and to backends."""

from __future__ import annotations

from asyncio import Event, timeout
from collections.abc import Callable

from pepperusher.invariants import check_invariant

# Left free for the listener, discovery, the event loop, files that the interpreter opens, and connections that are
# closed but not yet released by the loop.
RESERVED_DESCRIPTORS = 16
# Minimum for tickets, however few descriptors the process has.
MIN_DESCRIPTORS = 16
# Above this share of the limit, connections close with their answer.
CLOSE_AFTER_ANSWER_SHARE = 0.75
# Above this share, a descriptor is worth more than a connection that sent no ticket and stays open.
CLOSE_WITHOUT_TICKET_SHARE = 0.5
RECHECK_INTERVAL_S = 0.05


class Budget:
    """Counts descriptors against their limit, and has idle connections closed where they run out."""

    def __init__(self, descriptors: int, reserved_elsewhere: int = 0) -> None:
        self._reserve = RESERVED_DESCRIPTORS + descriptors // 32
        # Descriptors reserved for another purpose, such as the operators' console, are available neither to callers nor
        # to backends.
        self._descriptors, self._reserved_elsewhere = descriptors, reserved_elsewhere
        self.set_share(1.0)
        self.open = 0
        self._closing = 0
        self._idle_closers: list[Callable[[bool], bool]] = []  # one for each side, registered as the proxy is assembled
        self._released = Event()

    def set_share(self, share: float) -> None:
        """Sets this process's share of all descriptors; another process of the same proxy may hold the rest."""
        self.limit = max(MIN_DESCRIPTORS, int(self._descriptors * share) - self._reserve - self._reserved_elsewhere)

    def trim(self) -> None:
        """Closes idle connections above the limit, after the share was reduced."""
        while self.is_above(1.0) and self._closing < self._reserve // 2 and self._close_idle_connection(False):
            self._closing += 1

    def register_idle_closer(self, close_one: Callable[[bool], bool]) -> None:
        """Registers a function that closes one idle connection. Its argument says whether a ticket in hand needs the
        descriptor; such a ticket takes precedence over connections that are otherwise spared.
        """
        self._idle_closers.append(close_one)

    def _close_idle_connection(self, needed: bool) -> bool:
        """Closes an idle connection of any side; spared ones only if `needed`."""
        return (
            any(close_one(False) for close_one in self._idle_closers)
            or needed
            and any(close_one(True) for close_one in self._idle_closers)
        )

    @property
    def reserve_exhausted(self) -> bool:
        """Whether as many connections are closed but not yet released by the loop as the reserve covers: the loop's
        next iteration makes room again.
        """
        return self._closing >= self._reserve // 2

    def acquire(self, share: float = 1.0, needed: bool = False) -> bool:
        """Acquires a descriptor, up to a share of the limit, closing an idle connection if necessary. `needed` says
        that a ticket in hand needs it.
        """
        if self.is_above(share):
            if self.reserve_exhausted or not self._close_idle_connection(needed):
                return False
            self._closing += 1
        self.open += 1
        return True

    def is_above(self, share: float) -> bool:
        """Whether as many descriptors are in use as this share of the limit."""
        return self.open - self._closing >= self.limit * share

    def release(self) -> None:
        """Returns one descriptor."""
        self.open -= 1
        check_invariant(self.open >= 0, "a descriptor is given back once")
        self._closing = max(0, self._closing - 1)
        self._released.set()

    async def wait_for_release(self) -> None:
        """Waits until a descriptor may be available: one was released, or connections have by now been idle long enough
        to be closed.
        """
        self._released.clear()
        try:
            async with timeout(RECHECK_INTERVAL_S):
                await self._released.wait()
        except TimeoutError:
            pass
