"""Turns for connections that need much CPU time, so that the others are served meanwhile."""

from __future__ import annotations

import asyncio
from collections import deque

# Parser events that a connection may use before it has to wait for more data or for a turn. An ordinary request takes a few;
# a body in chunks of a byte takes one for each.
FREE_EVENTS = 64


class TurnQueue:
    """Grants one turn in each iteration of the event loop, first come, first served.

    Data that has been received is parsed without a wait. A peer that sends many small parts would otherwise keep the event
    loop busy with all that was received, and many such peers each in the same iteration.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._is_granting = False

    async def wait(self) -> None:
        """Waits for a turn."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if not self._is_granting:
            self._is_granting = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        """Grants the next turn, and comes again in the next iteration while anybody waits."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():  # a task that was cancelled waits no longer
                turn.set_result(None)
                break
        self._is_granting = bool(self._waiting)
        if self._is_granting:
            asyncio.get_running_loop().call_soon(self._grant)
