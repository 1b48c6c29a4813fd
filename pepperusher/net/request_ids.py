"""The Request-Ids of requests that are in hand, and of those that may have run a short time ago."""

from __future__ import annotations

# An id that may have run is rejected for this long. That is longer than a client waits for an answer, and than most backends
# work on a request whose client has left.
SENT_ID_RETENTION_US = 30_000_000
# The most ids that are kept; the oldest are dropped first.
MAX_SENT_IDS = 4096


class RequestIds:
    """Keeps one request from running twice under its id. A client gives each request an id of its own, its retries too."""

    def __init__(self) -> None:
        self._in_hand: set[bytes] = set()  # removed as the tickets end
        # When each id was sent to a backend that may have run it, in the order of that; removed when it is old.
        self._sent: dict[bytes, int] = {}

    def add(self, request_id: bytes, now: int) -> bool:
        """Takes a request in hand. Returns False if its id is in hand, or may have run a short time ago."""
        self._drop_old(now)
        if request_id in self._in_hand or request_id in self._sent:
            return False
        self._in_hand.add(request_id)
        return True

    def remove(self, request_id: bytes) -> None:
        """Lets a request go that has ended."""
        self._in_hand.discard(request_id)

    def may_have_run(self, request_id: bytes, now: int) -> None:
        """Records that a request that must not run twice was sent and may have run."""
        self._sent.pop(request_id, None)
        self._sent[request_id] = now
        if len(self._sent) > MAX_SENT_IDS:
            del self._sent[next(iter(self._sent))]

    def _drop_old(self, now: int) -> None:
        while self._sent:
            request_id = next(iter(self._sent))
            if now - self._sent[request_id] < SENT_ID_RETENTION_US:
                break
            del self._sent[request_id]
