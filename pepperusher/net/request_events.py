"""Counts how attempts, requests and connections end, and logs each one that did not end well, with its reason."""

from __future__ import annotations

from collections import Counter

from pepperusher.net.connection import HiddenEnd
from pepperusher.net.log import Log

# Outcomes of an attempt that need no line: the request was served, or its client is gone.
QUIET_OUTCOMES = ("done", "called off")


class RequestEvents:
    """The events of one proxy. Every event is counted; their lines have a rate limit of their own, so that a burst of
    failures leaves room for other lines.
    """

    def __init__(self, log: Log) -> None:
        self._log = log
        # Keyed by outcomes and texts in the code, so their size is bounded by the code.
        self.counts: Counter[str] = Counter()
        self.closed_connections: Counter[str] = Counter()

    def count(self, event: str) -> None:
        """Counts an event without a line."""
        self.counts[event] += 1

    def attempt_ended(self, request_id: bytes, backend: str, outcome: str, reason: str, duration_us: int) -> None:
        """Counts the outcome of an attempt."""
        self.counts[outcome] += 1
        if outcome not in QUIET_OUTCOMES:
            self._say(request_id, f"attempt at {backend} {outcome} after {duration_us / 1e6:.3f} s", reason)

    def retry(self, request_id: bytes, backend: str, attempt_number: int) -> None:
        """Counts a further attempt."""
        self.counts["retried"] += 1
        self._say(request_id, f"attempt {attempt_number} goes to {backend}", "")

    def client_probed(self, request_id: bytes, hidden_end: HiddenEnd, left: bool) -> None:
        """Counts a client whose end could not be seen before an attempt, and what became known of it."""
        self.counts["client probed"] += 1
        self._say(
            request_id, f"its client's end can't be seen, and it {'has left' if left else 'is there'}", str(hidden_end)
        )

    def request_failed(self, request_id: bytes, event: str, reason: str) -> None:
        """Counts a request that no backend answered, as `event`."""
        self.counts[event] += 1
        self._say(request_id, event, reason)

    def connection_closed(self, side: str, reason: str) -> None:
        """Counts a connection that the proxy closed by itself; `side` is the peers' side."""
        self.closed_connections[f"{side}: {reason}"] += 1
        self._log.say_detail(f"closed a connection of {side}: {reason}")

    def closes_line(self) -> str:
        """The counts of the connections that the proxy closed, by side and reason."""
        counts = ", ".join(f"{reason} {count}" for reason, count in sorted(self.closed_connections.items()))
        return f"connections closed by the proxy: {counts or 'none'}"

    def _say(self, request_id: bytes, event: str, reason: str) -> None:
        """Logs one event of a request."""
        text = f"request {request_id.decode('latin-1')}: {event}"
        self._log.say_detail(f"{text}, {reason}" if reason else text)
