"""The descriptors that this process may hold, shared by connections of callers and to backends."""

from __future__ import annotations

from asyncio import Event, timeout
from collections.abc import Callable

from pepperusher.invariants import check_invariant

# Left free: the listener, discovery, the loop's own, files that the interpreter opens, and connections that
# are closed but not yet let go by the loop.
RESERVE = 16
# However little is left beside that, tickets go on.
LEAST = 16
# From this part of all on, connections end with their answer.
SHORT = 0.75
# From this part on, what was asked once and kept is worth less than its descriptor.
HALF = 0.5
LOOK_AGAIN = 0.05


class Budget:
    def __init__(self, sockets: int, kept_back: int = 0) -> None:
        self._reserve = RESERVE + sockets // 32
        # What is kept back for another purpose, as for operators, is not callers' nor backends'.
        self._sockets, self._kept_back = sockets, kept_back
        self.share(1.0)
        self.open = 0
        self._closing = 0
        self._makers: list[Callable[[bool], bool]] = []  # one for each side, as the proxy is put together
        self._freed = Event()

    def share(self, part: float) -> None:
        """So much of all descriptors is this process's: another one of the same proxy may hold the rest."""
        self.most = max(LEAST, int(self._sockets * part) - self._reserve - self._kept_back)

    def trim(self) -> None:
        """After its part has become less: closes what stands idle above it."""
        while self.above(1.0) and self._closing < self._reserve // 2 and self._made(False):
            self._closing += 1

    def may_close_idle(self, closes_one: Callable[[bool], bool]) -> None:
        """It is asked with whether a ticket in hand needs the room, which goes before what may be spared else."""
        self._makers.append(closes_one)

    def _made(self, needed: bool) -> bool:
        return any(maker(False) for maker in self._makers) or needed and any(maker(True) for maker in self._makers)

    @property
    def busy(self) -> bool:
        """Whether as many are closed already, and not let go by the loop, as the reserve bears: there is room again when it
        has come round."""
        return self._closing >= self._reserve // 2

    def take(self, part: float = 1.0, needed: bool = False) -> bool:
        """One more, up to a part of all; makes room by closing what stands idle. `needed` by a ticket in hand."""
        if self.above(part):
            if self.busy or not self._made(needed):
                return False
            self._closing += 1
        self.open += 1
        return True

    def above(self, part: float) -> bool:
        return self.open - self._closing >= self.most * part

    def give(self) -> None:
        self.open -= 1
        check_invariant(self.open >= 0, "a descriptor is given back once")
        self._closing = max(0, self._closing - 1)
        self._freed.set()

    async def freed(self) -> None:
        """Until one may have come free: by an end, or because what stood idle has now stood long enough."""
        self._freed.clear()
        try:
            async with timeout(LOOK_AGAIN):
                await self._freed.wait()
        except TimeoutError:
            pass
