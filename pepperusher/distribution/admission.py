"""When a control machine serves whoever greeted it: at a rate, the others in a bounded line; free of I/O.

Connections are taken far faster than they are served: one that has only been taken costs little, and whoever was
taken and told so waits here, and does not go round the other machines. What is not taken looks from outside like a
machine that is cut off.
"""

from __future__ import annotations

# Served a second in the long run, and at once: a greeting may cost several whole bodies.
ADMISSION_RATE_PER_S = 800.0
ADMISSION_BURST = 400.0


class Admission:
    """The line of those that have greeted and are not served yet, in order, `most` at the most; by connection."""

    def __init__(self, most: int, now: int) -> None:
        self._most = most
        self._line: dict[int, None] = {}
        self._allowance, self._at = ADMISSION_BURST, now

    def __len__(self) -> int:
        return len(self._line)

    def __contains__(self, id: int) -> bool:
        return id in self._line

    def came(self, id: int) -> bool:
        """It stands at the end of the line; False where that is full."""
        if len(self._line) >= self._most:
            return False
        self._line[id] = None
        return True

    def gone(self, id: int) -> None:
        """One that ended, in the line or not."""
        self._line.pop(id, None)

    def due(self, now: int) -> list[int]:
        """Who is served now, first come first; off the line with that. `now` in us."""
        self._allowance = min(ADMISSION_BURST, self._allowance + ADMISSION_RATE_PER_S * (now - self._at) / 1e6)
        self._at = now
        many = min(len(self._line), int(self._allowance))
        self._allowance -= many
        those = [id for id, _ in zip(self._line, range(many))]
        for id in those:
            del self._line[id]
        return those

    def again_in(self) -> float | None:
        """Seconds until the next of the line is due; None where it is empty."""
        if not self._line:
            return None
        return max(0.0, 1.0 - self._allowance) / ADMISSION_RATE_PER_S
