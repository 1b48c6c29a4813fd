"""Log lines printed to standard error, rate-limited so that a burst of errors does not become a burst of writes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from pepperusher.net import clock

LINES_PER_SECOND = 5  # on average
BURST_LINES = 40  # allowed at once after a quiet time
# The same for lines about single requests and connections, which are limited by themselves.
DETAIL_LINES_PER_SECOND = 5
DETAIL_BURST_LINES = 100
MAX_LINE_CHARACTERS = 400
MAX_STRUCTURED_CHARACTERS = 4000


class RateLimit:
    """A token bucket for log lines, which counts those that it refuses."""

    def __init__(self, lines_per_second: int, burst: int) -> None:
        self._lines_per_second = lines_per_second
        self._burst = burst
        self._allowance = float(burst)
        self._refilled_at = clock.now()
        self.dropped_lines = 0

    def allow(self, now: int) -> bool:
        """Whether one more line may be written; counts it as dropped if not."""
        elapsed_s = (now - self._refilled_at) / 1e6
        self._allowance = min(self._burst, self._allowance + self._lines_per_second * elapsed_s)
        self._refilled_at = now
        if self._allowance < 1.0:
            self.dropped_lines += 1
            return False
        self._allowance -= 1.0
        return True

    def take_dropped(self) -> int:
        """The number of lines dropped since the last call."""
        dropped_lines, self.dropped_lines = self.dropped_lines, 0
        return dropped_lines


class Log:
    """Writes the proxy's log lines, as plain text or through a formatter."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._limit = RateLimit(LINES_PER_SECOND, BURST_LINES)
        self._detail_limit = RateLimit(DETAIL_LINES_PER_SECOND, DETAIL_BURST_LINES)
        # Formats a line differently from plain text, given its text and its fields.
        self._formatter: Callable[[dict[str, Any]], str] | None = None

    def set_formatter(self, formatter: Callable[[dict[str, Any]], str]) -> None:
        """Sets the formatter for lines in another form than plain text."""
        self._formatter = formatter

    def write_event(self, event: str, **figures: Any) -> None:
        """Logs a line with named fields."""
        self.say(event, figures)

    def say(self, line: str, fields: dict[str, Any] | None = None) -> None:
        """Logs a line, with named fields if there are any."""
        self._say(self._limit, line, fields)

    def say_detail(self, line: str) -> None:
        """Logs a line about a single request or connection, within a rate limit of its own."""
        self._say(self._detail_limit, line, None)

    def _say(self, limit: RateLimit, line: str, fields: dict[str, Any] | None) -> None:
        """Writes a line if `limit` allows it."""
        now = clock.now()
        if not limit.allow(now):
            return
        dropped_lines = limit.take_dropped()
        if self._formatter is not None:
            record = {"time": now // 1000 / 1000, "proxy": self._name, "event": line, **(fields or {})}
            if dropped_lines:
                record["kept_back"] = dropped_lines
            self._print(self._formatter(record), MAX_STRUCTURED_CHARACTERS)
            return
        if fields:
            line = f"{line}: " + ", ".join(f"{name} {value}" for name, value in fields.items())
        if dropped_lines:
            line = f"{line} ({dropped_lines} lines suppressed by the rate limit before this)"
        self._print(f"{now // 1000 / 1000:.3f} {self._name}: {line[:MAX_LINE_CHARACTERS]}", MAX_LINE_CHARACTERS + 200)

    @staticmethod
    def _print(line: str, max_characters: int) -> None:
        """Prints one line to standard error."""
        # The text may contain outside input: non-printable characters are replaced, so that one line stays one line.
        line = "".join(character if character.isprintable() else "?" for character in line[:max_characters])
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:
            pass  # the reader of the log is gone, which is no reason to stop serving
