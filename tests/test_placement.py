"""Where a use case may run: kept at each attempt, whatever the breakers, the list and the load say."""

from __future__ import annotations

import random

from pepperusher import terms
from pepperusher.settings import SettingsError, read_settings as read
from pepperusher.terms import DONE, RESET, TIMED_OUT, UNREACHED, Backend, Listing, UseCase

from tests.scene import SECOND, SETTINGS, TraceTestCase, BalancerTestCase

CARD = {"zones": frozenset(("there",)), "kinds": frozenset(("big",))}


class Placement(BalancerTestCase):
    def stand(self, **changes: object) -> None:
        uses = [
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
        self.open(zones=["here", "there"], use_cases=uses, **changes)
        self.put("a1 b1", "here", "big")
        self.put("c2", "there", "small")
        self.put("d2 e3", "there", "big")

    def put(self, names: str, zone: str, kind: str, ready: bool = True) -> None:
        self.balancer.update_endpoints(
            [
                Listing(self.backends.setdefault(name, Backend(name)), zone, int(name[1:]), 1.0, 0, ready, kind)
                for name in names.split()
            ],
            False,
            self.now,
        )

    def test_it_is_kept_when_all_that_may_are_failing_or_gone(self) -> None:
        self.stand()
        for how in (DONE, UNREACHED, UNREACHED, UNREACHED):
            self.call(how, 0.01, use="card", times=2)
        self.call(TIMED_OUT, 0.6, use="card", times=4, quiet=True)
        self.call(DONE, 0.05, use="look", times=30, quiet=True)
        self.note("both fail")
        self.call(RESET, 0.01, use="card", times=2)
        self.put("d2 e3", "there", "big", ready=False)
        self.note("both drain: an answer at once")
        self.call(DONE, use="card")
        self.call(DONE, use="look")
        self.put("d2", "here", "big")
        self.note("one is back, elsewhere")
        self.call(DONE, use="card")
        self.compare_trace("placement")

    def test_a_further_attempt_keeps_it_too(self) -> None:
        """Its cell holds one of another kind, which drops repeats as well and may not run it."""
        self.stand()
        for use in ("card", "look"):
            self.call(DONE, 0.05, use=use, times=20, quiet=True)
        ticket = self.ticket("card", left=4.0)
        while (sent := self.where(ticket)).address != "d2":
            ticket = self.ticket("card", left=4.0)
        self.after(ticket, RESET, 0.05)
        self.where(ticket)
        self.compare_trace("placement_further")

    def test_it_is_kept_by_chance_s_every_turn(self) -> None:
        """Thousands of tickets with every outcome, lists that change, cold ones, a large group: never elsewhere."""
        chance = random.Random(3)
        for group in (1, 60):
            self.stand(group_size=group, proxy_index=group // 2)
            names = ["a1", "b1", "c2", "d2", "e3"]
            for _ in range(4000):
                self.now += chance.randrange(40_000)
                if chance.random() < 0.02:
                    self.balancer.update_endpoints(
                        [
                            Listing(
                                self.backends[chance.choice(names)],
                                chance.choice(("here", "there")),
                                2,
                                1.0,
                                self.now if chance.random() < 0.3 else 0,
                                chance.random() < 0.7,
                                chance.choice(("big", "small")),
                            )
                        ],
                        False,
                        self.now,
                    )
                ticket = self.ticket(chance.choice(("card", "look")), left=chance.choice((0.1, 2.0)))
                answer = self.balancer.choose_backend(ticket, self.now)
                while isinstance(answer, Backend):
                    if ticket.use_case.name == "card":
                        self.assertEqual(("there", "big"), (answer.zone, answer.kind))
                    self.now += chance.randrange(20_000)
                    how = chance.choice((DONE, terms.ERROR, terms.FULL, TIMED_OUT, UNREACHED, RESET))
                    answer = self.balancer.attempt_ended(ticket.attempts[-1], how, how == DONE, self.now)
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
            use = {**SETTINGS["use-cases"][0], name: value}
            try:
                made = read({**SETTINGS, "use-cases": [use]}, 1).use_cases[0]
                self.lines.append(f"{name} {value}: zones {made.zones}, kinds {made.kinds}")
            except SettingsError as error:
                self.lines.append(f"{name} {value}: {error}")
        for value in (1, "true", None, True):
            try:
                made = read({**SETTINGS, "rules": {**SETTINGS["rules"], "drain-binds-alone": value}}, 1)
                self.lines.append(f"drain-binds-alone {value}: {made.only_drain_binds}")
            except SettingsError as error:
                self.lines.append(f"drain-binds-alone {value}: {error}")
        self.compare_trace("placement_told")
