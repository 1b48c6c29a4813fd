"""Runs whole `serve` processes as one group, with simulated links between them and under load. Records of both
sides are checked at the end.
"""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack, ExitStack
from pathlib import Path
from typing import Any

from pepperusher.rehearsal import rule_checker
from pepperusher.rehearsal.run_controller import RunController
from pepperusher.rehearsal.links import Links
from pepperusher.rehearsal.loopback_networks import reserve_network
from pepperusher.rehearsal.proxies import Runner

from tests.rehearsal_scene import small

POLL_INTERVAL_S = 0.05


class GroupTestCase(unittest.IsolatedAsyncioTestCase):
    """`start_group` starts the processes. The test itself injects faults and waits for observed states rather than
    for fixed times. `finish` waits for the end of the load and checks the records.
    """

    async def start_group(self, size: int, seconds: int, group: dict[str, Any] | None = None, **changes: Any) -> None:
        asyncio.get_running_loop().set_debug(False)  # debug mode is several times slower, and this loop runs all links
        duration = f"{seconds}s"
        script = small(
            span=duration,
            tiers=[{"name": "desk", "cell": 2, "proxies": size, "kinds": [{"name": "std", "count": 4}]}],
            proxies={"group": group or {}},
            load={"phases": [{"span": duration, "rate": 8 * size, "arrivals": "even"}], "notice": "200ms"},
            **changes,
        )
        stack, resources = AsyncExitStack(), ExitStack()
        self.addCleanup(resources.close)
        self.addAsyncCleanup(stack.aclose)
        net = resources.enter_context(reserve_network())
        self.work = Path(resources.enter_context(tempfile.TemporaryDirectory(prefix="group-")))
        self.script = script
        self.director = RunController(script, net, self.work)
        stack.push_async_callback(self.director.end)
        await self.director.stand()
        self.names = [gate.name for gate in self.director.plan.proxies]
        await self.wait_until(
            lambda views: all(
                len(view["members"]) == size and view["reach"]["word"] == "majority" for view in views.values()
            )
        )
        self.director.begin()

    @property
    def links(self) -> Links:
        assert self.director.grouping is not None
        return self.director.grouping.links

    def runner(self, name: str) -> Runner:
        return self.director.runner(name)

    async def views(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """The output of `ctl members` at each proxy whose process is running."""
        wanted = [name for name in (self.names if names is None else names) if self.runner(name).pid is not None]
        replies = await asyncio.gather(*(self.runner(name).ask("members") for name in wanted), return_exceptions=True)
        return {name: view for name, view in zip(wanted, replies) if isinstance(view, dict)}

    async def wait_until(
        self,
        condition: Callable[[dict[str, dict[str, Any]]], bool],
        names: Iterable[str] | None = None,
        within: float = 60.0,
    ) -> dict[str, dict[str, Any]]:
        """Waits until the views meet a condition, and returns them."""
        names = list(self.names if names is None else names)
        views: dict[str, dict[str, Any]] = {}
        try:
            async with asyncio.timeout(within):
                while True:
                    views = await self.views(names)
                    if len(views) == len(names) and condition(views):
                        return views
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            self.fail(
                "the condition was never met: "
                + "; ".join(
                    f"{name} {view['reach']} {[(row['name'], row['is'], row['found']) for row in view['members'][1:]]}"
                    for name, view in views.items()
                )
            )

    async def wait_until_found(self, names: Iterable[str], subjects: Iterable[str], health: str) -> None:
        """Waits until each of `names` finds all of `subjects` in this health."""
        subjects = set(subjects)
        await self.wait_until(
            lambda views: all(
                {row["found"] for row in view["members"] if row["name"] in subjects and row["name"] != name} <= {health}
                and subjects - {name} <= {row["name"] for row in view["members"]}
                for name, view in views.items()
            ),
            names,
        )

    def observed(self, change: str, observer: str | None = None) -> list[tuple[str, str]]:
        """The changes of this kind that the proxies reported, as pairs of observer and member."""
        return [
            (name, event.of)
            for name in self.names
            if observer in (None, name)
            for event in self.runner(name).believed
            if event.what == change
        ]

    async def finish(self) -> rule_checker.Records:
        """Waits for the end of the load, then checks that no rule is broken and that every proxy served tickets."""
        await self.director.over()
        await self.director.end()
        records = self.director.records()
        report = rule_checker.check(self.script, records)
        self.assertEqual([], report.entries)
        for gate in self.director.plan.proxies:
            done_count = sum(
                attempt.how == "done" for attempt in records.client_attempts if attempt.proxy == gate.number
            )
            self.assertGreater(done_count, 5, f"through {gate.name}")
        return records
