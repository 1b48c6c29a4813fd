"""The ends of connections whose words nobody needs yet: read ahead up to a bound, and beyond it watched for their end alone."""

from __future__ import annotations

import asyncio
import select
from typing import Protocol


# Of one connection so much is read ahead at the most.
EACH = 1024 * 1024


class Watched(Protocol):
    def fileno(self) -> int:
        """-1 once it is closed."""

    def hung_up(self) -> None:
        """Its other side has ended; told once."""


class DisconnectWatcher:
    """The loop's own selector reports an end with what is to be read, and so not while nothing is: whoever sent more than is
    held ahead of its answer, and left, was served on. And an end that is behind more than the kernel takes stays with the other
    side, where nothing tells of it: so what comes is read ahead, until its bound.

    One descriptor, opened when it is first needed; where the platform has no epoll, such an end is seen when an attempt
    is about to go out, and no sooner. `most` is the bound in bytes on what all connections hold read ahead.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self.held = 0  # read ahead, in bytes: counted down as it is used and as connections end
        self._poll: select.epoll | None = None
        self._watched: dict[int, Watched] = {}  # emptied by their ends, and as they are read from again

    def room(self, held: int) -> bool:
        """Whether a connection that has read `held` bytes ahead may go on."""
        return held < EACH and self.held < self._most

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
