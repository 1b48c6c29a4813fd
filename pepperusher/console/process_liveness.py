"""Whether another process of this proxy turns its loop, by the marks that it leaves on its lock; free of I/O.

A stopped or dead-locked process keeps its lock and its listener, and the kernel goes on handing it
connections that nobody answers. Its marks are compared with each other and never with a clock, so that
neither clocks that are set nor those of two processes that differ tell anything. Only one that says that it
leaves them is judged by them.
"""

from __future__ import annotations

# So long without a mark it stands still. Twice the longest turn that a loop has had under a crowd (0.16 s,
# docs/results.md).
STILL = 300_000
# Whoever looks later than this after its last look stood still itself, and has to look anew.
LATE = 120_000


class ProcessLiveness:
    def __init__(self) -> None:
        self.anew()

    def anew(self) -> None:
        """Another process may sit there from here on."""
        self._mark = 0
        self._since = 0  # when this mark was first seen, or the looking began anew
        self._looked = 0
        self._still = False

    def still(self, mark: int, now: int) -> bool:
        """Whether it stands still, as far as a look at its mark at `now` (us) tells."""
        late, self._looked = now - self._looked > LATE, now
        if mark != self._mark:
            self._mark, self._since, self._still = mark, now, False
        elif late and not self._still:
            # What was found holds until a new mark: a look that came late would else give half of the
            # connections back to one that stands still, as on a busy machine it did.
            self._since = now
        self._still = self._still or now - self._since >= STILL
        return self._still
