"""Whole `serve` processes in one group, with our links between them, under load and with books on both sides."""

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

LOOK = 0.05


class Play(unittest.IsolatedAsyncioTestCase):
    """`stand` starts all; faults are struck by the test itself, which waits for what it sees and for no time;
    `over` waits for the end of the load and checks the books.
    """

    async def stand(self, size: int, seconds: int, group: dict[str, Any] | None = None, **changes: Any) -> None:
        asyncio.get_running_loop().set_debug(False)  # several times as slow, and all links pass through here
        span = f"{seconds}s"
        script = small(
            span=span,
            tiers=[{"name": "desk", "cell": 2, "proxies": size, "kinds": [{"name": "std", "count": 4}]}],
            proxies={"group": group or {}},
            load={"phases": [{"span": span, "rate": 8 * size, "arrivals": "even"}], "notice": "200ms"},
            **changes,
        )
        stack, keeping = AsyncExitStack(), ExitStack()
        self.addCleanup(keeping.close)
        self.addAsyncCleanup(stack.aclose)
        net = keeping.enter_context(reserve_network())
        self.work = Path(keeping.enter_context(tempfile.TemporaryDirectory(prefix="group-")))
        self.script = script
        self.director = RunController(script, net, self.work)
        stack.push_async_callback(self.director.end)
        await self.director.stand()
        self.names = [gate.name for gate in self.director.plan.gates]
        await self.until(
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
        """What `ctl members` says at each; of those whose process runs."""
        wanted = [name for name in (self.names if names is None else names) if self.runner(name).pid is not None]
        made = await asyncio.gather(*(self.runner(name).ask("members") for name in wanted), return_exceptions=True)
        return {name: view for name, view in zip(wanted, made) if isinstance(view, dict)}

    async def until(
        self,
        true: Callable[[dict[str, dict[str, Any]]], bool],
        names: Iterable[str] | None = None,
        within: float = 60.0,
    ) -> dict[str, dict[str, Any]]:
        """The views once something holds of them."""
        names = list(self.names if names is None else names)
        views: dict[str, dict[str, Any]] = {}
        try:
            async with asyncio.timeout(within):
                while True:
                    views = await self.views(names)
                    if len(views) == len(names) and true(views):
                        return views
                    await asyncio.sleep(LOOK)
        except TimeoutError:
            self.fail(
                "it never held: "
                + "; ".join(
                    f"{name} {view['reach']} {[(row['name'], row['is'], row['found']) for row in view['members'][1:]]}"
                    for name, view in views.items()
                )
            )

    async def found(self, names: Iterable[str], of: Iterable[str], how: str) -> None:
        """Each of `names` finds each of `of` so."""
        of = set(of)
        await self.until(
            lambda views: all(
                {row["found"] for row in view["members"] if row["name"] in of and row["name"] != name} <= {how}
                and of - {name} <= {row["name"] for row in view["members"]}
                for name, view in views.items()
            ),
            names,
        )

    def said(self, what: str, by: str | None = None) -> list[tuple[str, str]]:
        """Who has said that of whom."""
        return [
            (name, one.of)
            for name in self.names
            if by in (None, name)
            for one in self.runner(name).believed
            if one.what == what
        ]

    async def over(self) -> rule_checker.Records:
        """Plays on to the end of the load; tickets flowed through every proxy, and no rule is broken."""
        await self.director.over()
        await self.director.end()
        kept = self.director.records()
        book = rule_checker.check(self.script, kept)
        self.assertEqual([], book.entries)
        for gate in self.director.plan.gates:
            done = sum(one.how == "done" for one in kept.client_attempts if one.proxy == gate.number)
            self.assertGreater(done, 5, f"through {gate.name}")
        return kept
