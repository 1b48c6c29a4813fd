"""Drawn orders of drains, bans, lifts and of what replaces settings, files and processes, by seed, against a model of which
backends are out.

`python -m tests.test_manual_drain_orders SEED [SEED ...]` plays further seeds.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import unittest

from tests.manual_drain_scene import WATCH, WATCHED_LONG, ManualDrainScene

SEEDS = (1, 2)
STEPS = 9
PROBES = 30
# Never taken out, so that requests are answered throughout.
ALWAYS_IN = "b2"
TAKEN_OUT = ("b0", "b1")


class Play(ManualDrainScene):
    """One order of steps. `out_by` has who takes each backend out, as operators would say it."""

    async def play(self, seed: int) -> None:
        self.random = random.Random(f"manual drains:{seed}")
        self.out_by: dict[str, set[str]] = {name: set() for name in TAKEN_OUT}
        self.discovery = self.edits = 0
        self.steps: list[str] = []
        await self.wait_for_control(await self.process())
        kinds = (
            self.step_drain, self.step_drain, self.step_ban, self.step_lift, self.step_sighup, self.step_move,
            self.step_edit, self.step_undo, self.step_replace, self.step_replace, self.step_kill, self.step_dead_successor,
            self.step_gone,
        )  # fmt: skip
        for _ in range(STEPS):
            await self.random.choice(kinds)()
            await self.changes_are_over()
            await self.check()
        for name in TAKEN_OUT:
            while self.out_by[name]:
                await self.lift_one(name)
            await self.assert_back(name)

    async def check(self) -> None:
        out = {name for name, owners in self.out_by.items() if owners}
        await asyncio.sleep(0.6)
        counts = await self.send_requests(PROBES)
        self.assertEqual(0, sum(counts[name] for name in out), f"{self.steps}: {counts}, out {out}")
        self.assertEqual(PROBES, sum(counts.values()), self.steps)
        self.assertGreater(counts[ALWAYS_IN], 0)

    async def step_drain(self) -> None:
        name = self.random.choice(TAKEN_OUT)
        self.steps.append(f"drain {name}")
        if "ctl" not in self.out_by[name]:
            self.assertEqual("applied", (await self.drain(name))["state"])
            self.out_by[name].add("ctl")

    async def step_ban(self) -> None:
        name = self.random.choice(TAKEN_OUT)
        self.steps.append(f"ban {name}")
        self.assertIn("200", await self.serving.call("POST", f"/-/backends/{name}/disable"))
        self.out_by[name].add("console")

    async def step_lift(self) -> None:
        name = self.random.choice(TAKEN_OUT)
        if self.out_by[name]:
            await self.lift_one(name)

    async def lift_one(self, name: str) -> None:
        owner = self.random.choice(sorted(self.out_by[name]))
        self.steps.append(f"lift {name} of {owner}")
        if owner == "ctl":
            self.assertEqual("applied", (await self.lift(name))["state"])
            await self.changes_are_over()
        else:
            self.assertIn("200", await self.serving.call("POST", f"/-/backends/{name}/enable"))
        self.out_by[name].remove(owner)

    async def step_sighup(self) -> None:
        self.steps.append("sighup")
        await self.hang_up("configuration reloaded")

    async def step_move(self) -> None:
        self.steps.append("move discovery")
        self.discovery = 1 - self.discovery
        self.write_settings(self.discovery)
        await self.hang_up("list confirmed")

    async def step_edit(self) -> None:
        self.steps.append("edit the file")
        self.edits += 1
        self.own.write_text(f"{self.own_text()}[weights]\nnorth = {self.edits}.0\n")
        await self.hang_up("state applied")

    async def step_undo(self) -> None:
        self.steps.append("propose and undo")
        await self.propose(f"{self.own_text()}[weights]\nsouth = 2.0\n".replace(WATCH, WATCHED_LONG))
        await self.ctl("undo")

    async def step_replace(self) -> None:
        self.steps.append("replace")
        await self.replace()

    async def step_kill(self) -> None:
        self.steps.append("kill and start")
        await self.kill_and_start()

    async def step_dead_successor(self) -> None:
        self.steps.append("a successor that dies")
        following = await self.start_process()
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await following.end(signal.SIGKILL)
        self.processes.remove(following)
        following.log.close()

    async def step_gone(self) -> None:
        name = self.random.choice(TAKEN_OUT)
        self.steps.append(f"{name} gone and listed again")
        for state in ("gone", "ready"):
            for server in self.discoveries:
                server.change(name, state)
            await asyncio.sleep(0.2)


class DrawnOrders(Play):
    async def test_whoever_is_out_stays_out_and_whoever_is_lifted_comes_back(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                await self.play(seed)
                await self.asyncTearDown()
                await self.asyncSetUp()


def main(seeds: list[int]) -> int:
    """Plays these seeds one after another. Returns how many failed."""
    failed = 0

    class Chosen(Play):
        async def runTest(self) -> None:
            await self.play(seed)

    for seed in seeds:
        outcome = unittest.TextTestRunner(verbosity=0).run(Chosen())
        print(f"seed {seed}: {'held' if outcome.wasSuccessful() else 'FAILED'}", flush=True)
        failed += not outcome.wasSuccessful()
    return failed


if __name__ == "__main__":
    sys.exit(main([int(argument) for argument in sys.argv[1:]]) > 0)
