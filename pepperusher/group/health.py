"""The local health score, by which a member distrusts itself before it suspects another. It does no I/O.

This is Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018): failed probes, missing nacks and
suspicions that had to be refuted raise the score, acks lower it. In addition, late timers raise it: a member
that is starved of CPU sees its own lateness before it can tell whether another member is silent.

Missing nacks weigh less than in Lifeguard. Inside a small partition most helpers cannot be reached either, and
a member that stretched its periods for that, up to nine times, noticed as much later that it was cut off.
Missing answers alone therefore at most double the timeouts; a slow member is detected by its timers.
"""

from __future__ import annotations

MAX_SCORE = 8
# The highest score that missing answers alone can cause.
MAX_SCORE_BY_SILENCE = 1


class Health:
    """The local health score: 0 is healthy, MAX_SCORE is the worst."""

    def __init__(self) -> None:
        self.score = 0

    def degrade(self, amount: int = 1) -> None:
        self.score = min(MAX_SCORE, self.score + amount)

    def record_missing_nacks(self, count: int) -> None:
        """Raises the score by the number of helpers that sent neither an ack nor a nack."""
        if self.score < MAX_SCORE_BY_SILENCE:
            self.score = min(MAX_SCORE_BY_SILENCE, self.score + count)

    def improve(self) -> None:
        self.score = max(0, self.score - 1)

    def scale(self, duration: int) -> int:
        """Stretches a timeout or a probe period by the score."""
        return duration * (1 + self.score)
