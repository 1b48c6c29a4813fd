"""Connections that nothing is read from for a while, watched for their end alone."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol


class Watched(Protocol):
    def fileno(self) -> int:
        """-1 once it is closed."""

    def hung_up(self) -> None:
        """Its other side has ended; told once."""


class Lookout:
    """The loop's own selector reports an end with what is to be read, and so not while nothing is: whoever sent more than is
    held ahead of its answer, and left, was served on. One descriptor, opened when it is first needed; where the platform
    has no epoll, such an end is seen when a transmission is about to go out, and no sooner."""

    def __init__(self) -> None:
        self._poll: select.epoll | None = None
        self._watched: dict[int, Watched] = {}   # emptied by their ends, and as they are read from again

    def mind(self, one: Watched) -> None:
        number = one.fileno()
        if number < 0 or number in self._watched or not hasattr(select, "epoll"):
            return
        if self._poll is None:
            self._poll = select.epoll()
            asyncio.get_running_loop().add_reader(self._poll.fileno(), self._look)
        self._poll.register(number, select.EPOLLRDHUP | select.EPOLLONESHOT)
        self._watched[number] = one

    def leave(self, one: Watched) -> None:
        number = one.fileno()
        if self._watched.get(number) is one:
            del self._watched[number]
            assert self._poll is not None
            self._poll.unregister(number)

    def _look(self) -> None:
        assert self._poll is not None
        for number, _ in self._poll.poll(0):
            if (one := self._watched.get(number)) is not None:
                self.leave(one)
                one.hung_up()

    def close(self) -> None:
        if self._poll is not None:
            asyncio.get_running_loop().remove_reader(self._poll.fileno())
            self._poll.close()
            self._poll = None
            self._watched.clear()
