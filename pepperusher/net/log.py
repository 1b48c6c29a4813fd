"""Lines to standard error by plain print, held to a rate: a storm of troubles must not become a storm of writes."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from pepperusher.net import clock

RATE = 5  # lines a second in the long run
SAVED = 40  # lines at once
LONGEST = 400  # characters a line
LONGEST_FORMED = 4000


class Log:
    def __init__(self, name: str) -> None:
        self._name = name
        self._allowance = float(SAVED)
        self._counted_at = clock.now()
        self._kept_back = 0
        # Puts a line otherwise than plain: its words, and figures that go with them.
        self._form: Callable[[dict[str, Any]], str] | None = None

    def set_formatter(self, form: Callable[[dict[str, Any]], str]) -> None:
        self._form = form

    def write_event(self, what: str, **figures: Any) -> None:
        """A line with its figures, each by name."""
        self.say(what, figures)

    def say(self, line: str, figures: dict[str, Any] | None = None) -> None:
        now = clock.now()
        self._allowance = min(SAVED, self._allowance + RATE * (now - self._counted_at) / 1e6)
        self._counted_at = now
        if self._allowance < 1.0:
            self._kept_back += 1
            return
        self._allowance -= 1.0
        kept_back, self._kept_back = self._kept_back, 0
        if self._form is not None:
            told = {"time": now // 1000 / 1000, "proxy": self._name, "event": line, **(figures or {})}
            if kept_back:
                told["kept_back"] = kept_back
            self._print(self._form(told), LONGEST_FORMED)
            return
        if figures:
            line = f"{line}: " + ", ".join(f"{name} {value}" for name, value in figures.items())
        if kept_back:
            line = f"{line} ({kept_back} lines kept back before this)"
        self._print(f"{now // 1000 / 1000:.3f} {self._name}: {line[:LONGEST]}", LONGEST + 200)

    @staticmethod
    def _print(line: str, longest: int) -> None:
        # What came from outside may stand in it: one line stays one line.
        line = "".join(one if one.isprintable() else "?" for one in line[:longest])
        try:
            print(line, file=sys.stderr, flush=True)
        except OSError:
            pass  # whoever read the log has gone; that is no reason to stop serving
