"""How far a member trusts itself before it charges another; free of I/O.

Lifeguard's local health multiplier (Dadgar, Phillips, Currey 2018): probes that fail, nacks that stay out and
charges that had to be answered make it doubt itself, answers take the doubt away. Ours beside it: timers that
ran late count too, since a member starved of its processor sees its own lateness before it can tell whether
anybody else is silent.

Nacks that stay out are less of a sign than in Lifeguard. Inside a small cut most of those that were asked
can't be reached either: a member that stretched its periods by them, up to nine times, knew that much later
that it is cut off. By itself such silence makes a time twice as long and no longer; a slow member sees its
timers.
"""

from __future__ import annotations

MOST = 8
# Doubt that comes of others' silence alone.
SILENCE_MOST = 1


class Health:
    def __init__(self) -> None:
        self.score = 0

    def worse(self, by: int = 1) -> None:
        self.score = min(MOST, self.score + by)

    def unheard(self, by: int) -> None:
        """So many of those that were asked to try somebody said nothing at all."""
        if self.score < SILENCE_MOST:
            self.score = min(SILENCE_MOST, self.score + by)

    def better(self) -> None:
        self.score = max(0, self.score - 1)

    def stretched(self, span: int) -> int:
        """A time that is waited for an answer, or between probes."""
        return span * (1 + self.score)
