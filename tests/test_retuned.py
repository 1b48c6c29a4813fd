"""New settings at SIGHUP: taken whole or not at all, while tickets flow."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
from collections.abc import Callable
from typing import Any

from pepperusher.facade import Endpoint, Facade
from pepperusher.settings import read_settings

from tests.scene import SECOND, SETTINGS, TraceTestCase, ProxyTestCase

ERROR = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"


def changed(change: Callable[[Any], None]) -> dict[str, Any]:
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


class Module(TraceTestCase):
    def test_tickets_in_hand_keep_their_use_case_and_go_out_no_more_often_than_either_allows(self) -> None:
        self.lines = []
        now = 100 * SECOND

        def opened() -> Facade:
            facade = Facade(read_settings(SETTINGS, 5), now, lambda _: None)
            facade.update_endpoints([Endpoint(name, "here", 1, 1.0, 0, True) for name in "abcde"], True, now)
            return facade

        def settings(most: int) -> Any:
            """book is single-use, pay has gone."""
            return read_settings(
                changed(
                    lambda s: (
                        s["use-cases"][1].update({"effect": "side_effect"}),
                        s["use-cases"].pop(2),
                        s["policy-limits"].update({"most-transmissions": most}),
                    )
                ),
                5,
            )

        def ends(facade: Facade, use: str, how: str, most: int | None) -> str:
            """What becomes of a ticket whose attempts all end so; the settings change before the first has."""
            ticket = facade.open_ticket(use, "", now, 2 * SECOND, 0)
            step, out = facade.choose_backend(ticket, now), 0
            if most is not None:
                facade.reconfigure(settings(most), now)
            while step.action == "send":
                out += 1
                step = facade.report(ticket, how, now + 1000)
            facade.close_ticket(ticket, now + 1000)
            return f"{out} out, {step.action}"

        self.lines.append(f"look, three allowed: {ends(opened(), 'look', 'unreached', None)}")
        self.lines.append(f"look in hand, one allowed from then on: {ends(opened(), 'look', 'unreached', 1)}")
        self.lines.append(f"look in hand, five allowed from then on: {ends(opened(), 'look', 'unreached', 5)}")
        facade = opened()
        learned = facade._use_cases["look"]
        self.lines.append(f"book in hand, single-use from then on: {ends(facade, 'book', 'error', 5)}")
        self.lines.append(f"book taken after that: {ends(facade, 'book', 'error', None)}")
        self.lines.append(f"look taken after that: {ends(facade, 'look', 'unreached', None)}")
        self.lines.append(
            f"pay: {facade.retry_class_of('pay')}; what is known of look stays: {facade._use_cases['look'] is learned}"
        )
        self.lines.append(f"results that breakers keep: {sum(int(one['of']) for one in facade.backends())}")
        self.compare_trace("retuned_module")


class Files(ProxyTestCase):
    async def hang_up(self, text: str) -> str:
        """What the log says of it."""
        self.given, said = text, len(self.logged)
        os.kill(os.getpid(), signal.SIGHUP)
        await self.until(lambda: any("configuration" in line for line in self.logged[said:]))
        return next(line for line in self.logged[said:] if "configuration" in line).replace("127.0.0.1", "")

    async def test_a_broken_file_is_turned_down_whole_and_by_name(self) -> None:
        await self.open("a1")
        good = json.loads(self.given)
        stop = asyncio.Event()
        ends: set[str] = set()

        async def flow() -> None:
            at = await self.connect()
            while not stop.is_set():
                at[1].write(self.request("look", len(ends) + 10_000))
                ends.add((await self.hear(at[0])).split()[0])
                await asyncio.sleep(0.001)

        flowing = asyncio.create_task(flow())

        def file(where: str, value: Any = None) -> str:
            """The good file with other use cases, which must not be taken, and `value` at `where`, or nothing there."""
            made = copy.deepcopy(good)
            for use in made["settings"]["use-cases"]:
                use["name"] += "x"
            *path, last = where.split("/")
            at = made
            for name in path:
                at = at[int(name) if isinstance(at, list) else name]
            if value is None:
                del at[last]
            else:
                at[last] = value
            return json.dumps(made)

        said = []
        for what in ("", "{", "[]", "null", json.dumps(good)[:-40]):
            said.append((repr(what[:9]), await self.hang_up(what)))
        for where in (
            "settings",
            "discovery",
            "known",
            "limits/sockets",
            "settings/use-cases",
            "settings/rules/cold-share",
            "settings/policy-limits/most-transmissions",
            "settings/use-cases/1/outer-limit",
            "settings/use-cases/0/effect",
        ):
            said.append((f"no {where}", await self.hang_up(file(where))))
        for value in (0, -1, True, "3", float("nan"), 1e999, 2.5, [2]):
            said.append(
                (f"{value!r} attempts", await self.hang_up(file("settings/policy-limits/most-transmissions", value)))
            )
        for value in (0, -5.0, False, "2000", float("inf"), 1e-9):
            said.append(
                (f"an outer limit of {value!r}", await self.hang_up(file("settings/use-cases/2/outer-limit", value)))
            )
        said.append(("no use cases", await self.hang_up(file("settings/use-cases", []))))
        said.append(("two of a name", await self.hang_up(file("settings/use-cases/0/name", "bookx"))))
        stop.set()
        await flowing
        self.assertEqual({"200"}, ends)
        port = str(good["discovery"]).split(":")[1]
        self.lines = [
            f"{what}: {line.partition('taken: ')[2]}".replace(port, "PORT") if "taken" in line else f"{what}: TAKEN"
            for what, line in said
        ]
        self.lines = [
            line if ".json" not in line else f"{line.partition(': ')[0]}: {line.partition('.json: ')[2]}"
            for line in self.lines
        ]
        await self.ask("look is known still", self.request("look", 1))
        self.lines = [line for line in self.lines if "gets" not in line and "..." not in line]
        self.compare_trace("retuned_broken")

    async def test_a_good_file_is_in_force_at_once(self) -> None:
        await self.open("a1", "b1")
        good = json.loads(self.given)
        # One in hand under a use case that vanishes: it ends as it was taken.
        for toy in self.fake_backends.values():
            toy.does = ["slow"]
        under_way = asyncio.create_task(self.ask("book under way", self.request("book", 1)))
        await self.until(lambda: self.lines[-1].startswith("    "))
        good["settings"]["use-cases"] = [
            good["settings"]["use-cases"][0],
            {**good["settings"]["use-cases"][0], "name": "look-v2", "effect": "side_effect"},
        ]
        good["settings"]["policy-limits"]["most-transmissions"] = 1
        await self.hang_up(json.dumps(good))
        await under_way
        for toy in self.fake_backends.values():
            toy.does = []
        self.lines[:] = [line.replace("b1", "a1") for line in self.lines if "discovery" not in line]
        await self.ask("book has vanished", self.request("book", 2))
        await self.ask("look-v2 appears", self.request("look-v2", 3))
        for toy in self.fake_backends.values():
            toy.does = [ERROR] * 2
        await self.ask("look goes out once", self.request("look", 4))
        self.lines = [line.replace("b1", "a1") for line in self.lines]
        self.compare_trace("retuned_good")
