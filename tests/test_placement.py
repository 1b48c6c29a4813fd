"""Placement: a use case runs only where it may, whatever the breakers, the endpoint list and the load are."""

from __future__ import annotations

import random

from pepperusher import terms
from pepperusher.settings import SettingsError, read_settings as read
from pepperusher.terms import DONE, RESET, TIMED_OUT, UNREACHED, Backend, Listing, UseCase

from tests.scene import SECOND, SETTINGS, TraceTestCase, BalancerTestCase

CARD = {"zones": frozenset(("there",)), "kinds": frozenset(("big",))}


class Placement(BalancerTestCase):
    def open_zones(self, **changes: object) -> None:
        """Opens a balancer whose use case card may run in one zone and on one kind of backend only."""
        use_cases = [
            UseCase("look", SECOND, 2 * SECOND, 1.0),
            UseCase(
                "card",
                SECOND,
                4 * SECOND,
                5.0,
                retry_class=terms.REFERENCED,
                scope=terms.SCOPE_CELL,
                deduplication_window=SECOND,
                **CARD,
            ),
        ]
        self.open(zones=["here", "there"], use_cases=use_cases, **changes)
        self.list_endpoints("a1 b1", "here", "big")
        self.list_endpoints("c2", "there", "small")
        self.list_endpoints("d2 e3", "there", "big")

    def list_endpoints(self, names: str, zone: str, kind: str, ready: bool = True) -> None:
        """Sends an endpoint update for backends named by a letter and their cell."""
        self.balancer.update_endpoints(
            [
                Listing(self.backends.setdefault(name, Backend(name)), zone, int(name[1:]), 1.0, 0, ready, kind)
                for name in names.split()
            ],
            False,
            self.now,
        )

    def test_it_is_kept_when_all_that_may_are_failing_or_gone(self) -> None:
        self.open_zones()
        for outcome in (DONE, UNREACHED, UNREACHED, UNREACHED):
            self.call(outcome, 0.01, use_case="card", times=2)
        self.call(TIMED_OUT, 0.6, use_case="card", times=4, quiet=True)
        self.call(DONE, 0.05, use_case="look", times=30, quiet=True)
        self.note("both backends fail")
        self.call(RESET, 0.01, use_case="card", times=2)
        self.list_endpoints("d2 e3", "there", "big", ready=False)
        self.note("both backends drain: an immediate answer")
        self.call(DONE, use_case="card")
        self.call(DONE, use_case="look")
        self.list_endpoints("d2", "here", "big")
        self.note("one is listed again, in the other zone")
        self.call(DONE, use_case="card")
        self.compare_trace("placement")

    def test_a_further_attempt_keeps_it_too(self) -> None:
        """The cell also holds a backend of another kind, which deduplicates too but may not run the use case."""
        self.open_zones()
        for use_case in ("card", "look"):
            self.call(DONE, 0.05, use_case=use_case, times=20, quiet=True)
        ticket = self.ticket("card", timeout_s=4.0)
        while (sent := self.choose_backend(ticket)).address != "d2":
            ticket = self.ticket("card", timeout_s=4.0)
        self.end_attempt(ticket, RESET, 0.05)
        self.choose_backend(ticket)
        self.compare_trace("placement_further")

    def test_it_is_kept_by_chance_s_every_turn(self) -> None:
        """Thousands of tickets with every outcome, list changes, cold backends and a large group never run anywhere
        else."""
        rng = random.Random(3)
        for group in (1, 60):
            self.open_zones(group_size=group, proxy_index=group // 2)
            names = ["a1", "b1", "c2", "d2", "e3"]
            for _ in range(4000):
                self.now += rng.randrange(40_000)
                if rng.random() < 0.02:
                    self.balancer.update_endpoints(
                        [
                            Listing(
                                self.backends[rng.choice(names)],
                                rng.choice(("here", "there")),
                                2,
                                1.0,
                                self.now if rng.random() < 0.3 else 0,
                                rng.random() < 0.7,
                                rng.choice(("big", "small")),
                            )
                        ],
                        False,
                        self.now,
                    )
                ticket = self.ticket(rng.choice(("card", "look")), timeout_s=rng.choice((0.1, 2.0)))
                answer = self.balancer.choose_backend(ticket, self.now)
                while isinstance(answer, Backend):
                    if ticket.use_case.name == "card":
                        self.assertEqual(("there", "big"), (answer.zone, answer.kind))
                    self.now += rng.randrange(20_000)
                    outcome = rng.choice((DONE, terms.ERROR, terms.FULL, TIMED_OUT, UNREACHED, RESET))
                    answer = self.balancer.attempt_ended(ticket.attempts[-1], outcome, outcome == DONE, self.now)
                    if answer == terms.AGAIN:
                        answer = self.balancer.choose_backend(ticket, self.now)


class Told(TraceTestCase):
    def test_what_can_t_be_kept_is_refused_by_name(self) -> None:
        self.lines = []
        for name, value in (
            ("zones-allowed", "here"),
            ("zones-allowed", []),
            ("zones-allowed", ["nowhere"]),
            ("zones-allowed", [3]),
            ("runs-on", {}),
            ("runs-on", []),
            ("runs-on", ["big"]),
            ("zones-allowed", ["here"]),
        ):
            use_case = {**SETTINGS["use-cases"][0], name: value}
            try:
                result = read({**SETTINGS, "use-cases": [use_case]}, 1).use_cases[0]
                self.lines.append(f"{name} {value}: zones {result.zones}, kinds {result.kinds}")
            except SettingsError as error:
                self.lines.append(f"{name} {value}: {error}")
        for value in (1, "true", None, True):
            try:
                result = read({**SETTINGS, "rules": {**SETTINGS["rules"], "drain-binds-alone": value}}, 1)
                self.lines.append(f"drain-binds-alone {value}: {result.only_drain_binds}")
            except SettingsError as error:
                self.lines.append(f"drain-binds-alone {value}: {error}")
        self.compare_trace("placement_told")
