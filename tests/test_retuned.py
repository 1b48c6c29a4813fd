"""New settings at SIGHUP apply completely or not at all, while requests are in progress."""

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


def changed_settings(change: Callable[[Any], None]) -> dict[str, Any]:
    """Returns a changed copy of the settings."""
    settings = copy.deepcopy(SETTINGS)
    change(settings)
    return settings


class Module(TraceTestCase):
    def test_tickets_in_hand_keep_their_use_case_and_go_out_no_more_often_than_either_allows(self) -> None:
        self.lines = []
        now = 100 * SECOND

        def open_facade() -> Facade:
            facade = Facade(read_settings(SETTINGS, 5), now, lambda _: None)
            facade.update_endpoints([Endpoint(name, "here", 1, 1.0, 0, True) for name in "abcde"], True, now)
            return facade

        def settings(max_attempts: int) -> Any:
            """Settings in which book is single-use and pay is removed."""
            return read_settings(
                changed_settings(
                    lambda s: (
                        s["use-cases"][1].update({"effect": "side_effect"}),
                        s["use-cases"].pop(2),
                        s["policy-limits"].update({"most-transmissions": max_attempts}),
                    )
                ),
                5,
            )

        def run_ticket(facade: Facade, use_case: str, outcome: str, max_attempts: int | None) -> str:
            """Describes the end of a ticket whose attempts all have the given outcome; the settings change during the
            first attempt."""
            ticket = facade.open_ticket(use_case, "", now, 2 * SECOND, 0)
            step, attempts = facade.choose_backend(ticket, now), 0
            if max_attempts is not None:
                facade.reconfigure(settings(max_attempts), now)
            while step.action == "send":
                attempts += 1
                step = facade.report(ticket, outcome, now + 1000)
            facade.close_ticket(ticket, now + 1000)
            return f"{attempts} attempts, {step.action}"

        self.lines.append(f"look, three allowed: {run_ticket(open_facade(), 'look', 'unreached', None)}")
        self.lines.append(f"look open, one allowed from then on: {run_ticket(open_facade(), 'look', 'unreached', 1)}")
        self.lines.append(f"look open, five allowed from then on: {run_ticket(open_facade(), 'look', 'unreached', 5)}")
        facade = open_facade()
        learned = facade._use_cases["look"]
        self.lines.append(f"book open, single-use from then on: {run_ticket(facade, 'book', 'error', 5)}")
        self.lines.append(f"book opened after that: {run_ticket(facade, 'book', 'error', None)}")
        self.lines.append(f"look opened after that: {run_ticket(facade, 'look', 'unreached', None)}")
        self.lines.append(
            f"pay: {facade.retry_class_of('pay')}; learned state of look is kept: {facade._use_cases['look'] is learned}"
        )
        self.lines.append(f"results kept by breakers: {sum(int(one['of']) for one in facade.backends())}")
        self.compare_trace("retuned_module")


class Files(ProxyTestCase):
    async def reload(self, text: str) -> str:
        """Sends SIGHUP with the configuration `text` and returns the log line about it."""
        self.given, first_line = text, len(self.logged)
        os.kill(os.getpid(), signal.SIGHUP)
        await self.wait_until(lambda: any("configuration" in line for line in self.logged[first_line:]))
        return next(line for line in self.logged[first_line:] if "configuration" in line).replace("127.0.0.1", "")

    async def test_a_broken_file_is_turned_down_whole_and_by_name(self) -> None:
        await self.open("a1")
        good = json.loads(self.given)
        stop = asyncio.Event()
        statuses: set[str] = set()

        async def run_client() -> None:
            connection = await self.connect()
            while not stop.is_set():
                connection[1].write(self.request("look", len(statuses) + 10_000))
                statuses.add((await self.read_response(connection[0])).split()[0])
                await asyncio.sleep(0.001)

        client_task = asyncio.create_task(run_client())

        def changed_file(where: str, value: Any = None) -> str:
            """Returns the good file with renamed use cases, which must not take effect, and with `value` at the path
            `where`, or without that entry if `value` is None."""
            changed = copy.deepcopy(good)
            for use in changed["settings"]["use-cases"]:
                use["name"] += "x"
            *path, last = where.split("/")
            entry = changed
            for name in path:
                entry = entry[int(name) if isinstance(entry, list) else name]
            if value is None:
                del entry[last]
            else:
                entry[last] = value
            return json.dumps(changed)

        results = []
        for case in ("", "{", "[]", "null", json.dumps(good)[:-40]):
            results.append((repr(case[:9]), await self.reload(case)))
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
            results.append((f"no {where}", await self.reload(changed_file(where))))
        for value in (0, -1, True, "3", float("nan"), 1e999, 2.5, [2]):
            results.append(
                (
                    f"{value!r} attempts",
                    await self.reload(changed_file("settings/policy-limits/most-transmissions", value)),
                )
            )
        for value in (0, -5.0, False, "2000", float("inf"), 1e-9):
            results.append(
                (
                    f"an outer limit of {value!r}",
                    await self.reload(changed_file("settings/use-cases/2/outer-limit", value)),
                )
            )
        results.append(("no use cases", await self.reload(changed_file("settings/use-cases", []))))
        results.append(("duplicate name", await self.reload(changed_file("settings/use-cases/0/name", "bookx"))))
        stop.set()
        await client_task
        self.assertEqual({"200"}, statuses)
        port = str(good["discovery"]).split(":")[1]
        self.lines = [
            f"{case}: {line.partition('taken: ')[2]}".replace(port, "PORT") if "taken" in line else f"{case}: TAKEN"
            for case, line in results
        ]
        self.lines = [
            line if ".json" not in line else f"{line.partition(': ')[0]}: {line.partition('.json: ')[2]}"
            for line in self.lines
        ]
        await self.send_request("look is still known", self.request("look", 1))
        self.lines = [line for line in self.lines if "gets" not in line and "..." not in line]
        self.compare_trace("retuned_broken")

    async def test_a_good_file_is_in_force_at_once(self) -> None:
        await self.open("a1", "b1")
        good = json.loads(self.given)
        # A ticket is open under a use case that the new settings remove; it ends as it was accepted.
        for backend in self.fake_backends.values():
            backend.behaviors = ["held"]
        under_way = asyncio.create_task(self.send_request("book open", self.request("book", 1)))
        await self.wait_until(lambda: self.lines[-1].startswith("    "))
        good["settings"]["use-cases"] = [
            good["settings"]["use-cases"][0],
            {**good["settings"]["use-cases"][0], "name": "look-v2", "effect": "side_effect"},
        ]
        good["settings"]["policy-limits"]["most-transmissions"] = 1
        await self.reload(json.dumps(good))
        self.assertFalse(under_way.done())
        for backend in self.fake_backends.values():
            backend.release.set()
        await under_way
        for backend in self.fake_backends.values():
            backend.behaviors = []
        self.lines[:] = [line.replace("b1", "a1") for line in self.lines if "discovery" not in line]
        await self.send_request("book removed", self.request("book", 2))
        await self.send_request("look-v2 added", self.request("look-v2", 3))
        for backend in self.fake_backends.values():
            backend.behaviors = [ERROR] * 2
        await self.send_request("look is attempted once", self.request("look", 4))
        self.lines = [line.replace("b1", "a1") for line in self.lines]
        self.compare_trace("retuned_good")
