"""What replaces the settings, the file or the process that is in force, as steps for each way to take a backend out.

The steps for the drains of the control socket are in test_manual_drains. Those for the other ways, which held before drains had
an owner of their own too, are run by hand, since they start some two hundred processes:
`python -m pytest tests/manual_drain_steps.py`.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from pepperusher.distribution import resource_cache
from pepperusher.distribution.messages import CONFIG, Version, make_resource

from tests.manual_drain_scene import WATCH, WATCHED_LONG, ManualDrainScene
from tests.reconfiguration_scene import HOST

MARK = '[[backends]]\nid = "b0"\ndrain = true\n'
OTHER = "[weights]\nnorth = 2.0\n"
ANOTHER = "[weights]\nnorth = 3.0\n"
INVALID = "[weights]\nnorth = -1\n"


class Steps:
    """What replaces the settings, the file or the process that is in force; `take_out` takes b0 out."""

    async def take_out(self) -> None:
        raise NotImplementedError

    async def begin(self: ManualDrainScene) -> None:
        await self.wait_for_control(await self.process())
        await self.take_out()
        await self.changes_are_over()
        await self.assert_out("b0")

    async def test_sighup_with_nothing_changed(self: ManualDrainScene) -> None:
        await self.begin()
        await self.hang_up("configuration reloaded")
        await self.assert_out("b0")

    async def test_new_settings(self: ManualDrainScene) -> None:
        await self.begin()
        self.settings["use-cases"] = [use for use in self.settings["use-cases"] if use["name"] != "pay"]
        self.write_settings(0)
        await self.hang_up("use cases look, book\n")
        await self.assert_out("b0")

    async def test_discovery_moved_and_moved_back(self: ManualDrainScene) -> None:
        await self.begin()
        for discovery in (1, 0):
            self.write_settings(discovery)
            await self.hang_up(f"discovery at 127.0.0.1:{self.discoveries[discovery].port}")
            await self.assert_out("b0")

    async def test_an_edited_file(self: ManualDrainScene) -> None:
        await self.begin()
        before = await self.digest()
        self.own.write_text(self.own_text() + OTHER)
        await self.hang_up("state confirmed")
        self.assertNotEqual(before, await self.digest())
        await self.assert_out("b0")

    async def test_an_invalid_file(self: ManualDrainScene) -> None:
        await self.begin()
        self.own.write_text(self.own_text() + INVALID)
        await self.hang_up("the file is not taken")
        await self.assert_out("b0")

    async def test_another_file_proposed(self: ManualDrainScene) -> None:
        await self.begin()
        before = await self.digest()
        self.assertEqual("applied", (await self.propose(self.own_text() + OTHER))["state"])
        await self.assert_out("b0")
        await self.changes_are_over()
        self.assertNotEqual(before, await self.digest())
        await self.assert_out("b0")

    async def test_another_file_undone_by_hand(self: ManualDrainScene) -> None:
        await self.begin()
        before = await self.digest()
        await self.propose(self.own_text().replace(WATCH, WATCHED_LONG) + OTHER)
        await self.ctl("undo")
        self.assertEqual(before, await self.digest())
        await self.assert_out("b0")

    async def test_another_file_undone_by_the_watch(self: ManualDrainScene) -> None:
        await self.begin()
        before = await self.digest()
        await self.propose(self.own_text().replace(WATCH, WATCH + 'confirm = "by hand"\n') + OTHER)
        await self.assert_out("b0")
        await self.changes_are_over()
        self.assertEqual(before, await self.digest())
        await self.assert_out("b0")

    async def test_a_replacement(self: ManualDrainScene) -> None:
        await self.begin()
        await self.replace()
        await self.assert_out("b0")

    async def test_three_replacements_in_a_row_after_discovery_moved(self: ManualDrainScene) -> None:
        await self.begin()
        self.write_settings(1)
        await self.hang_up("configuration reloaded")
        for _ in range(3):
            await self.replace()
        await self.assert_out("b0")

    async def test_both_processes_of_a_replacement(self: ManualDrainScene) -> None:
        await self.begin()
        first = self.serving
        await self.process()
        await self.assert_out("b0")  # both serve
        await first.end(signal.SIGKILL)
        await self.assert_out("b0")

    async def test_a_successor_that_is_killed_before_its_yes(self: ManualDrainScene) -> None:
        await self.begin()
        following = await self.start_process()
        await following.wait_for_log("taking over from a running process")
        await following.end(signal.SIGKILL)
        await self.assert_out("b0")

    async def test_a_kill_and_a_start(self: ManualDrainScene) -> None:
        await self.begin()
        await self.kill_and_start()
        await self.assert_out("b0")

    async def test_a_kill_and_a_start_with_an_edited_file(self: ManualDrainScene) -> None:
        await self.begin()
        before = await self.digest()
        self.own.write_text(self.own_text() + OTHER)
        await self.kill_and_start()
        self.assertNotEqual(before, await self.digest())
        await self.assert_out("b0")

    async def test_gone_and_listed_again_also_while_discovery_moves(self: ManualDrainScene) -> None:
        await self.begin()
        for discovery in (0, 1):
            for state in ("gone", "ready"):
                for server in self.discoveries:
                    server.change("b0", state)
                await asyncio.sleep(0.2)
            self.write_settings(1 - discovery)
            await self.hang_up("list confirmed")
            await self.assert_out("b0")


class BanAtTheConsole(Steps, ManualDrainScene):
    async def take_out(self) -> None:
        self.assertIn("200", await self.serving.call("POST", "/-/backends/b0/disable"))


class MarkInTheFile(Steps, ManualDrainScene):
    more = MARK

    async def take_out(self) -> None:
        pass

    async def test_it_goes_with_the_file(self) -> None:
        await self.begin()
        self.own.write_text(self.own_text().replace(MARK, ""))
        await self.hang_up("state confirmed")
        await self.assert_back()


class DrainInASharedSection(Steps, ManualDrainScene):
    """A section of control machines that drains b0, as it was kept; no control machine can be reached."""

    more = f'[distribution]\nmachines = ["{HOST}:1"]\nkey_file = "HERE/key"\nconfig = "all"\nkeep = "HERE/kept"\n'

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        Path(self.folder, "key").write_bytes(b"k" * 32)
        section = make_resource(CONFIG, "all", Version(1, 1), MARK.encode())
        self.assertEqual("", resource_cache.write(Path(self.folder, "kept"), [section], 1))

    async def take_out(self) -> None:
        pass
