"""One use case that is slow by itself, beside others that are not; and a jam, in which all are."""

from __future__ import annotations

from pepperusher.terms import DONE, Backend

from tests.scene import Scene


class Alone(Scene):
    def stand(self, *slow: str) -> None:
        """Two use cases with times of 0.1 s, then those named take 0.9 of their promised second."""
        self.open("a1", "b1")
        for use in ("look", "book"):
            self.call(DONE, 0.1, use=use, times=30, quiet=True)
        for _ in range(60):
            for use in slow:
                self.call(DONE, 0.9, use=use, quiet=True)
            for use in {"look", "book"} - set(slow):
                self.call(DONE, 0.1, use=use, quiet=True)
        self.note(", ".join(f"{use} takes {self.use_cases[use].usual / 1e6:.2f} s" for use in ("look", "book")))

    def pile_up(self, use: str, most: int) -> None:
        """Tickets of it that nobody has answered yet, until one is refused."""
        for number in range(most):
            if not isinstance(self.where(self.ticket(use), quiet=True), Backend):
                self.note(f"{number} of {use} in flight, the next is refused")
                return
        self.note(f"{most} of {use} in flight")

    def test_it_does_not_shut_the_others_out(self) -> None:
        """Its time was the pressure for all, and its calls in flight, which time out and are in no flow, their jam."""
        self.stand("look")
        self.pile_up("look", 40)
        self.pile_up("book", 3)
        self.kept("alone")

    def test_a_jam_is_told_from_it(self) -> None:
        self.stand("look", "book")
        self.pile_up("look", 40)
        self.pile_up("book", 3)
        self.kept("alone_jam")
