"""The Request-Ids of requests that are in hand, and of those that may have run a short time ago."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

# An id that may have run is rejected for this long. That is longer than a client waits for an answer, and than most backends
# work on a request whose client has left.
SENT_ID_RETENTION_US = 30_000_000
# The most ids that are kept, and their length in all, since a client may send long ones; the oldest are dropped first.
MAX_SENT_IDS = 4096
MAX_SENT_ID_BYTES = 256 * 1024


class OtherProcess(Protocol):
    """Another process of the same proxy, which serves requests at the same address."""

    def publish(self, request_ids: Iterable[bytes]) -> None:
        """Tells it of ids that were taken in hand here."""

    def received(self) -> list[bytes]:
        """The ids that it has told since the last call."""


class RequestIds:
    """Keeps one request from running twice under its id. A client gives each request an id of its own, its retries too."""

    def __init__(self) -> None:
        self._in_hand: set[bytes] = set()  # removed as the tickets end
        # When each id was sent to a backend that may have run it, in the order of that; removed when it is old.
        self._sent: dict[bytes, int] = {}
        self._sent_bytes = 0  # their length in all
        self._other_process: OtherProcess | None = None

    def share(self, other_process: OtherProcess | None, now: int) -> None:
        """Shares all ids with another process from now on, or with none any more."""
        if self._other_process is not None:
            self._receive(now)
        self._other_process = other_process
        if other_process is not None:
            other_process.publish([*self._in_hand, *self._sent])

    def _receive(self, now: int) -> None:
        """Takes over what the other process has told."""
        if self._other_process is not None:
            for request_id in self._other_process.received():
                self.may_have_run(request_id, now)

    def add(self, request_id: bytes, now: int) -> bool:
        """Takes a request in hand. Returns False if its id is in hand, or may have run a short time ago."""
        self._receive(now)
        self._drop_old(now)
        if request_id in self._in_hand or request_id in self._sent:
            return False
        self._in_hand.add(request_id)
        if self._other_process is not None:
            self._other_process.publish([request_id])
        return True

    def remove(self, request_id: bytes) -> None:
        """Lets a request go that has ended."""
        self._in_hand.discard(request_id)

    def may_have_run(self, request_id: bytes, now: int) -> None:
        """Records that a request that must not run twice was sent and may have run."""
        if request_id in self._sent:
            self._drop(request_id)
        self._sent[request_id] = now
        self._sent_bytes += len(request_id)
        while len(self._sent) > MAX_SENT_IDS or self._sent_bytes > MAX_SENT_ID_BYTES:
            self._drop(next(iter(self._sent)))

    def _drop(self, request_id: bytes) -> None:
        del self._sent[request_id]
        self._sent_bytes -= len(request_id)

    def _drop_old(self, now: int) -> None:
        while self._sent:
            request_id = next(iter(self._sent))
            if now - self._sent[request_id] < SENT_ID_RETENTION_US:
                break
            self._drop(request_id)
