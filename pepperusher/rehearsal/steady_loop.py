"""An event loop whose clock stands still while the machine is busy elsewhere.

Its time is what was waited in the selector, up to what was asked for: neither the work of its own callbacks
nor a processor that came late counts. For crowds that share one process here and would each have a machine of
their own. Real time is never less; timers of the kernel go by that.
"""

from __future__ import annotations

import asyncio
import selectors
import time


class Counted(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.waited = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        began = time.monotonic()
        ready = super().select(timeout)
        took = time.monotonic() - began
        self.waited += took if timeout is None else min(took, max(0.0, timeout))
        return ready


class SteadyLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._counted = Counted()
        super().__init__(self._counted)

    def time(self) -> float:
        return self._counted.waited
