"""A backend that an operator took out gets nothing until the operator lifts that, whatever replaces what is in force
(review/8): the same steps for each way to take one out, and what holds for the drains of the control socket alone.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
import unittest
from pathlib import Path

from pepperusher.changes import shared_section
from pepperusher.changes.confirmed_file import ConfirmedFile
from pepperusher.net.configuration_manager import ConfigurationManager

from tests.manual_drain_steps import ANOTHER, MARK, OTHER, Steps
from tests.manual_drain_scene import STATE, WATCH, WATCHED_LONG, TIMEOUT_S, ManualDrainScene, RefusedError
from tests.scene import ProxyTestCase


class DrainByCtl(Steps, ManualDrainScene):
    """Guards against a drain that stood in the text of the file in force, and went with it."""

    async def take_out(self) -> None:
        self.assertEqual("applied", (await self.drain())["state"])


class WhileTheDrainIsWatched(Steps, ManualDrainScene):
    """The same, but for changes of the file, which an open change refuses."""

    changes = STATE + WATCHED_LONG

    async def take_out(self) -> None:
        self.assertEqual("applied", (await self.drain())["state"])

    async def begin(self) -> None:
        await self.wait_for_control(await self.process())
        await self.take_out()
        await self.assert_out("b0")

    async def test_an_edited_file(self) -> None:
        await self.begin()
        self.own.write_text(self.own_text() + OTHER)
        await self.hang_up("confirm or undo it first")
        await self.assert_out("b0")

    async def test_another_file_proposed(self) -> None:
        await self.begin()
        with self.assertRaisesRegex(RefusedError, "confirm or undo it first"):
            await self.propose(self.own_text() + OTHER)
        await self.assert_out("b0")

    async def test_another_file_undone_by_hand(self) -> None:
        """Not a change of the file: the drain's own one, which puts the backend back."""
        await self.begin()
        self.assertEqual("undone", (await self.ctl("undo"))["change"]["state"])
        await self.assert_back()
        await self.kill_and_start()
        await self.assert_back()

    async def test_another_file_undone_by_the_watch(self) -> None:
        """As above, by the watch."""
        self.own.write_text(self.own_text().replace(WATCHED_LONG, WATCH + 'confirm = "by hand"\n'))
        await self.wait_for_control(await self.process())
        await self.take_out()
        await self.changes_are_over()
        await self.assert_back()
        await self.replace()
        await self.assert_back()


class ChangesThatWait(ManualDrainScene):
    # Long enough for two further commands on a busy machine.
    changes = STATE + WATCH.replace("1s", "4s") + "wait = true\n"

    async def test_a_drain_stands_under_a_change_that_waited_for_it(self) -> None:
        await self.wait_for_control(await self.process())
        before = await self.digest()
        await self.drain()
        self.assertEqual("proposed", (await self.propose(self.own_text() + OTHER))["state"])
        self.assertEqual("proposed", (await self.propose(self.own_text() + ANOTHER))["state"])
        await self.changes_are_over()
        self.assertNotEqual(before, await self.digest())
        self.assertEqual(["confirmed"] * 3, [change["state"] for change in (await self.ctl("history"))["changes"]])
        await self.assert_out("b0")

    async def test_a_drain_that_waits_comes_into_force_with_the_file_before_it(self) -> None:
        await self.wait_for_control(await self.process())
        await self.propose(self.own_text() + OTHER)
        changed = await self.digest()
        self.assertEqual("proposed", (await self.drain())["state"])
        self.assertEqual("proposed", (await self.drain())["state"])
        await self.changes_are_over()
        self.assertEqual(changed, await self.digest())
        states = [change["state"] for change in (await self.ctl("history"))["changes"]]
        self.assertEqual(["confirmed", "confirmed", "undone"], states)
        await self.assert_out("b0")


class NewSharedSections(ProxyTestCase):
    """Sections as control machines send them, in one process."""

    def out(self) -> list[object]:
        return [row["id"] for row in self.proxy._facade.backends() if not row["ready"]]

    async def test_a_drain_stands_under_a_new_shared_section_and_its_undo(self) -> None:
        await self.open("a1", "b1", own=f"[changes]\n{WATCHED_LONG}")
        manager = self.proxy._gate
        assert isinstance(manager, ConfigurationManager)
        await self.wait_until(lambda: len(self.proxy._facade.backends()) == 2)
        drain = await manager.drain("a1", False, "ops", "maintenance")
        await manager.confirm(drain.number, "ops", "fine")
        for number in range(2):
            section = shared_section.block(str(number), f"[weights]\nnorth = {number}.5\n")
            change = await manager.propose_shared(section, "a control machine", "")
            assert change is not None
            self.assertEqual({"north": number + 0.5}, manager.own.weights)
            self.assertEqual(["a1"], self.out())
            if number:
                await manager.undo(change.number, "ops", "it does harm")
                self.assertEqual({"north": 0.5}, manager.own.weights)
            else:
                await manager.confirm(change.number, "ops", "fine")
            self.assertEqual(["a1"], self.out())
        section = shared_section.block("2", MARK.replace("b0", "a1"))
        change = await manager.propose_shared(section, "a control machine", "")
        await manager.confirm(change.number, "ops", "fine")  # type: ignore[union-attr]
        lift = await manager.drain("a1", True, "ops", "well again")
        await manager.confirm(lift.number, "ops", "fine")
        self.assertEqual(["a1"], self.out())  # the section's own drain
        await manager.propose_shared(section.replace("true", "false"), "a control machine", "")
        self.assertEqual([], self.out())


class Lifts(ManualDrainScene):
    """Guards against a drain that comes back after its lift, and one that is lifted by anything else."""

    async def test_a_lifted_drain_stays_lifted(self) -> None:
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        await self.propose(self.own_text() + OTHER)
        await self.changes_are_over()
        await self.lift()
        await self.changes_are_over()
        await self.assert_back()
        await self.propose(self.own_text() + ANOTHER)
        await self.changes_are_over()
        await self.propose(self.own_text())
        await self.changes_are_over()
        await self.assert_back()
        await self.replace()
        await self.assert_back()
        await self.kill_and_start()
        await self.assert_back()
        with self.assertRaisesRegex(RefusedError, "was not drained by hand"):
            await self.lift()

    async def test_the_file_is_the_confirmed_one_after_an_undone_lift(self) -> None:
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        self.own.write_text(self.own_text().replace(WATCH, WATCHED_LONG))
        await self.hang_up("state applied")
        await self.ctl("confirm")
        await self.lift()
        await self.assert_back()
        await self.ctl("undo")
        await self.assert_out("b0")
        await self.kill_and_start()
        await self.assert_out("b0")

    async def test_two_drained_and_one_lifted(self) -> None:
        await self.wait_for_control(await self.process())
        for name in ("b0", "b1"):
            await self.drain(name)
            await self.changes_are_over()
        with self.assertRaisesRegex(RefusedError, "b0 (is drained by hand already|has a mark already)"):
            await self.drain()
        await self.assert_out("b0", "b1")
        await self.lift("b1")
        await self.changes_are_over()
        await self.assert_back("b1")
        await self.hang_up("configuration reloaded")
        await self.assert_out("b0")
        await self.replace()
        await self.assert_out("b0")
        await self.assert_back("b1")

    async def test_each_owner_lifts_its_own(self) -> None:
        """A backend that is drained by ctl, banned at the console and marked in the file needs all three to end."""
        self.own.write_text(self.own_text() + MARK)
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        await self.serving.call("POST", "/-/backends/b0/disable")
        self.own.write_text(self.own_text())
        await self.hang_up("state confirmed")
        await self.assert_out("b0")
        taken_out = (await self.ctl("status"))["taken_out"]
        self.assertEqual(
            [("b0", "ctl", "ops", "maintenance"), ("b0", "console", "", "")],
            [(row["id"], row["by"], row["who"], row["why"]) for row in taken_out],
        )
        self.assertAlmostEqual(time.time(), taken_out[0]["since"] / 1e6, delta=60.0)
        await self.lift()
        await self.changes_are_over()
        await self.assert_out("b0")
        await self.serving.call("POST", "/-/backends/b0/enable")
        await self.assert_back()
        self.assertEqual([], (await self.ctl("status"))["taken_out"])

    async def test_a_lifted_backend_is_cold(self) -> None:
        """Operators restart a backend while it is out: it has a fifth of its share at first, as a new one has."""
        self.settings["rules"] = {**self.settings["rules"], "warm-after": 60_000.0}
        self.write_settings(0)
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        await self.lift()
        counts = await self.send_requests()
        self.assertLess(counts["b0"], min(counts["b1"], counts["b2"]) / 2, counts)

    async def test_a_lift_at_the_successor_reaches_the_one_that_ends(self) -> None:
        """Guards against a lift in the state of a process that nobody reads once both are killed; no state folder."""
        self.own.write_text(self.own_text().replace(STATE.replace("HERE", self.folder), ""))
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        first = self.serving
        host, _, port = self.listen.rpartition(":")
        _, kept = await asyncio.open_connection(host, int(port))  # for which the first one serves on
        self.addCleanup(kept.close)
        second = await self.process()
        first.process.send_signal(signal.SIGTERM)
        await self.wait_for_control(second)
        await self.lift()
        async with asyncio.timeout(TIMEOUT_S):
            while self.published_drains()["b0"][0]:
                await asyncio.sleep(0.01)
        self.assertIsNone(first.process.returncode)  # it was the first one that published the lift
        for process in (first, second):
            await process.end(signal.SIGKILL)
        await self.process()
        await self.assert_back()

    def published_drains(self) -> dict[str, list[object]]:
        """The manual drains that the process with the first slot publishes."""
        state = json.loads(Path(self.folder, "pepperusher.p1.state").read_text())
        return state["manual_drains"]  # type: ignore[no-any-return]

    async def test_a_ban_that_is_lifted_at_the_successor_stays_lifted(self) -> None:
        """As above, for the console."""
        first = await self.process()
        await first.call("POST", "/-/backends/b0/disable")
        second = await self.process()
        await second.call("POST", "/-/backends/b0/enable")
        await self.assert_back()
        for process in (first, second):
            await process.end(signal.SIGKILL)
        await self.process()
        await self.assert_back()


class Folders(ManualDrainScene):
    """Where the drains are kept, and what becomes of them there."""

    changes = WATCH

    async def test_without_a_state_folder_a_replacement_has_them_and_the_log_says_what_ends_them(self) -> None:
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        await self.serving.wait_for_log("manual drains are lost if this process is killed: why changes.state names no")
        await self.replace()
        await self.assert_out("b0")
        await self.hang_up("configuration reloaded")
        await self.assert_out("b0")
        await self.kill_and_start()  # what two processes read from each other is still there
        await self.assert_out("b0")
        await self.serving.end(signal.SIGKILL)
        self.remove_states()
        await self.process()
        self.assertGreater((await self.send_requests())["b0"], 0)

    def remove_states(self) -> None:
        """The folder of temporary files did not last."""
        for path in Path(self.folder).glob("pepperusher.*"):
            path.unlink()

    async def test_a_state_folder_alone(self) -> None:
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCH))
        await self.wait_for_control(await self.process())
        await self.drain()
        await self.changes_are_over()
        await self.serving.end(signal.SIGKILL)
        self.remove_states()
        await self.wait_for_control(await self.process())
        await self.serving.wait_for_log("manual drain taken over: id b0, who ops, why maintenance, since")
        await self.assert_out("b0")
        await self.lift()
        await self.assert_back()

    async def test_a_state_folder_that_fails(self) -> None:
        """A drain that cannot be written is refused; one that is in force stays, its undo is written once that works."""
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCHED_LONG))
        await self.wait_for_control(await self.process())
        in_the_way = Path(self.folder, "state", "drains.json.new")
        in_the_way.mkdir()  # the temporary file cannot be created
        change = await self.drain()
        self.assertEqual("undone", change["state"])
        self.assertIn("cannot be written", change["steps"][-1][3])
        self.assertGreater((await self.send_requests())["b0"], 0)
        in_the_way.rmdir()
        self.assertEqual("applied", (await self.drain())["state"])
        in_the_way.mkdir()
        await self.ctl("undo")
        await self.serving.wait_for_log("the manual drains cannot be written")
        await self.assert_back()
        in_the_way.rmdir()
        async with asyncio.timeout(10):
            while json.loads(Path(self.folder, "state", "drains.json").read_text())["drains"]["b0"][0]:
                await asyncio.sleep(0.05)

    async def test_a_state_folder_that_cannot_be_used_at_the_start_is_used_later(self) -> None:
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCH))
        folder = Path(self.folder, "state")
        folder.write_text("")  # a file in its place
        await self.wait_for_control(await self.process())
        self.assertIn("the state folder cannot be used", self.serving.log_text())
        await self.drain()
        await self.changes_are_over()
        await self.assert_out("b0")
        folder.unlink()
        await self.serving.wait_for_log("the state folder can be used again")
        self.assertEqual(self.own.read_text(), Path(folder, "confirmed.toml").read_text())
        await self.serving.end(signal.SIGKILL)
        self.remove_states()
        await self.process()
        await self.assert_out("b0")

    async def test_a_state_folder_that_is_used_later_keeps_the_marker_of_an_unconfirmed_file(self) -> None:
        """Guards against a file that counts as confirmed because the folder could not be read at a start."""
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCHED_LONG))
        confirmed = self.own.read_text()
        await self.wait_for_control(await self.process())
        before = await self.digest()
        self.own.write_text(confirmed + OTHER)
        await self.hang_up("state applied")
        await self.serving.end(signal.SIGKILL)
        folder, away = Path(self.folder, "state"), Path(self.folder, "away")
        folder.rename(away)
        folder.write_text("")
        await self.wait_for_control(await self.process())
        folder.unlink()
        away.rename(folder)
        await self.serving.wait_for_log("the state folder can be used again")
        self.assertEqual(confirmed, Path(folder, "confirmed.toml").read_text())
        await self.kill_and_start()
        self.assertEqual(before, await self.digest())

    async def test_stored_drains_that_are_no_drains(self) -> None:
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCH))
        folder = Path(self.folder, "state")
        folder.mkdir()
        for text in ("", "[", '{"form": 2}', '{"form": 1, "drains": {"b0": [true, "now", "", ""]}}', "\xff"):
            Path(folder, "drains.json").write_text(text, encoding="latin-1")
            process = await self.process()
            self.assertIn("the stored drains are ignored", process.log_text())
            self.assertGreater((await self.send_requests())["b0"], 0)
            await process.end()

    async def test_the_state_folder_of_an_earlier_release(self) -> None:
        """It has each drain as a block behind the text of the file; marks that the file has itself are the file's."""
        more = OTHER + '\n[[backends]]\nid = "b1"\ndrain = true\n'
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCH) + more)
        folder = Path(self.folder, "state")
        folder.mkdir()
        confirmed = self.own.read_text() + '\n[[backends]]\nid = "b0"\ndrain = true\n'
        Path(folder, "confirmed.toml").write_text(confirmed)
        await self.wait_for_control(await self.process())
        await self.assert_out("b0", "b1")
        rows = (await self.ctl("status"))["taken_out"]
        self.assertEqual([("b0", "an earlier release")], [(row["id"], row["who"]) for row in rows])
        self.assertEqual(self.own.read_text(), Path(folder, "confirmed.toml").read_text())
        self.own.write_text(self.own.read_text().replace(more, ""))
        await self.hang_up("state confirmed")
        await self.assert_back("b1")
        await self.assert_out("b0")
        await self.lift()
        await self.changes_are_over()
        await self.kill_and_start()
        await self.assert_back()

    async def test_what_an_earlier_release_stores_while_its_successor_waits_for_the_folder(self) -> None:
        """Guards against a folder that the successor writes before it has read the drains in it."""
        self.own.write_text(self.own_text().replace(WATCH, STATE.replace("HERE", self.folder) + WATCH))
        folder = Path(self.folder, "state")
        earlier_release = ConfirmedFile(folder)
        self.assertTrue(earlier_release.lock())
        earlier_release.confirm(self.own.read_text())
        await self.wait_for_control(await self.process())
        self.assertIn("the state folder is held by another process", self.serving.log_text())
        drained = self.own.read_text() + '\n[[backends]]\nid = "b0"\ndrain = true\n'
        earlier_release.confirm(drained)
        await self.serving.wait_for_log("manual drain taken over: id b0")
        await self.assert_out("b0")
        earlier_release.confirm(self.own.read_text())
        await self.serving.wait_for_log("manual drain taken over as lifted: id b0")
        await self.assert_back()
        earlier_release.confirm(drained)
        earlier_release.unlock()
        await self.serving.wait_for_log("the state folder is held by this process")
        await self.assert_out("b0")


if __name__ == "__main__":
    unittest.main()
