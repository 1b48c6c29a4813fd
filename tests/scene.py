"""One scripted conversation with the decision module, printed as it goes and compared with the trace that is kept.

To keep a new trace after a wanted change, run the tests with KEEP=1 and read the difference before committing it.
"""

from __future__ import annotations

import difflib
import os
import unittest
from pathlib import Path

from pepperusher import terms
from pepperusher.policy import Balancer
from pepperusher.terms import Backend, Customer, Ground, Listing, Ticket, UseCase

TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
WORDS = {value: name.lower() for name, value in vars(terms).items() if name.isupper() and isinstance(value, int)}


def ground(**changes: object) -> Ground:
    made = Ground()
    given = {
        "seed": 7, "customers": [], "group_size": 1, "ordinal": 0, "stage": 0, "zone": "here", "zones": ["here"],
        "most_transmissions": 3, "may_call_off": True, "may_advise": False, "longest_advice": 0, "must_ask": False,
        "ask_within": 10 * SECOND, "cold_share": 0.2, "warm_after": 10 * SECOND, "tip_multiple": 3.0,
        "overload_for": 2 * SECOND, "passes_limit": True, "importance_by_work": False,
        "use_cases": [
            UseCase("look", SECOND, 2 * SECOND, 1.0),
            UseCase("book", SECOND, 4 * SECOND, 5.0, repeat=terms.REFERENCED, scope=terms.SCOPE_CELL,
                    remembered=SECOND),
            UseCase("pay", SECOND, 4 * SECOND, 5.0, repeat=terms.SINGLE_USE)]}
    for name, value in {**given, **changes}.items():
        setattr(made, name, value)
    return made


class Scene(unittest.TestCase):
    """A test case whose steps print; `kept` compares what was printed with tests/traces/NAME.txt."""

    maxDiff = None

    def open(self, *addresses: str, **changes: object) -> None:
        told = ground(**changes)
        self.lines: list[str] = []
        self.now = 100 * SECOND
        self.balancer = Balancer(told, self.now, lambda line: self.note(f"log: {line}"))
        self.use_cases = {use.name: use for use in told.use_cases}
        self.backends: dict[str, Backend] = {}
        self.list(*addresses)

    def note(self, line: str) -> None:
        self.lines.append(f"{(self.now - 100 * SECOND) / SECOND:8.3f} {line}")

    def list(self, *addresses: str, ready: bool = True, born: int = 0, whole: bool = False, weight: float = 1.0,
             zone: str = "here") -> None:
        """Backends are named by letter and cell: a1 and b1 share cell 1."""
        lines = [Listing(self.backends.setdefault(name, Backend(name)), zone, int(name[1:] or 0), weight, born, ready)
                 for name in addresses]
        self.balancer.listed(lines, whole, self.now)

    def pass_time(self, seconds: float) -> None:
        self.now += round(seconds * SECOND)

    def ticket(self, use: str = "look", left: float = 2.0, customer: Customer | None = None) -> Ticket:
        return Ticket(self.use_cases[use], customer, self.now, self.now + round(left * SECOND))

    def where(self, ticket: Ticket, quiet: bool = False) -> Backend | int:
        answer = self.balancer.where(ticket, self.now)
        if isinstance(answer, Backend):
            said = f"{answer.address}, patience {self.balancer.wait(ticket, self.now) / SECOND:.3f}"
        else:
            said = WORDS[answer]
        if not quiet:
            self.note(f"{ticket.use_case.name} -> {said}")
        return answer

    def after(self, ticket: Ticket, how: int, took: float = 0.0, over: bool = False, quiet: bool = False) -> int:
        self.pass_time(took)
        sent = ticket.transmissions[-1]
        if not quiet:
            self.note(f"{ticket.use_case.name} at {sent.backend.address} {WORDS[how]}")
        answer = self.balancer.after(sent, how, over or how == terms.DONE, self.now)
        if not quiet and answer != terms.NOTHING:
            self.note(f"{ticket.use_case.name} -> {WORDS[answer]}")
        return answer

    def call(self, how: int, took: float = 0.1, use: str = "look", times: int = 1, quiet: bool = False) -> None:
        for _ in range(times):
            ticket = self.ticket(use)
            if isinstance(self.where(ticket, quiet), Backend):
                self.after(ticket, how, took, over=True, quiet=quiet)

    def kept(self, name: str) -> None:
        path = TRACES / f"{name}.txt"
        said = "\n".join(self.lines) + "\n"
        if os.environ.get("KEEP") == "1":
            path.write_text(said)
        was = path.read_text()
        if said != was:
            self.fail("\n" + "".join(difflib.unified_diff(
                was.splitlines(True), said.splitlines(True), f"kept {name}", "now")))
