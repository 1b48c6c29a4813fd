"""A loop whose clock stands while there is work, and skips to the next timer when there is none.

Sockets are the kernel's. All that talk stand in the one loop, so what a busy machine adds to a wait in real
time is no part of a verdict. Not for what waits for another process or a thread."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar
from unittest import mock

from pepperusher.net import clock

# What was written over loopback is given so long to come, in real seconds, before the clock skips.
CROSSING = 0.001
T = TypeVar("T")


class _Selector(selectors.DefaultSelector):
    loop: SkippingLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or timeout is not None and timeout <= 0:
            return ready
        ready = super().select(CROSSING if timeout is not None else None)
        if not ready and timeout is not None:
            self.loop.now += timeout
        return ready


class SkippingLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.now = 1000.0  # seconds
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        return self.now


def run(what: Coroutine[Any, Any, T]) -> T:
    """`what` to its end, with the proxy's clock as the loop's."""
    with asyncio.Runner(loop_factory=SkippingLoop) as runner:
        loop = runner.get_loop()
        began = clock.now()
        with mock.patch.object(clock, "now", lambda: began + round((loop.time() - 1000.0) * 1e6)):
            return runner.run(what)
