"""An event loop whose clock stands still while there is work, and skips to the next timer when there is none.

Sockets are real. All peers run in this one loop, so delays of a busy machine in real time do not affect results. It is
not suitable for tests that wait for another process or a thread.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

from pepperusher.net import clock

# Real seconds that data written over loopback gets to arrive before the clock skips.
DELIVERY_S = 0.001
T = TypeVar("T")


class _SkippingSelector(selectors.DefaultSelector):
    loop: SkippingLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or timeout is not None and timeout <= 0:
            return ready
        ready = super().select(DELIVERY_S if timeout is not None else None)
        if not ready and timeout is not None:
            self.loop.now += timeout
        return ready


class SkippingLoop(asyncio.SelectorEventLoop):
    """The loop whose clock skips to the next timer."""

    def __init__(self) -> None:
        self.now = 1000.0  # seconds
        selector = _SkippingSelector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs `coroutine` to its end, with the proxy's clock set to the loop's time."""
    with asyncio.Runner(loop_factory=SkippingLoop) as runner:
        loop = runner.get_loop()
        started_at = clock.now()
        with mock.patch.object(clock, "now", lambda: started_at + round((loop.time() - 1000.0) * 1e6)):
            return runner.run(coroutine)
