"""Tests of a stored configuration that no longer fits the settings: the file in place, which fits them, counts instead."""

from __future__ import annotations

import json
import signal
import time
import unittest
from pathlib import Path
from typing import Any

from pepperusher.control import client

from tests.replacement_scene import Process, ReplacementTestCase
from tests.scene import SETTINGS
from tests.serve_process import ServeProcessTestCase

UNFIT = "the last confirmed file is not used: it does not fit the settings"
STATE = '[control]\nsocket = "HERE/control"\n[changes]\nstate = "HERE/state"\nconfirm = "by hand"\nwatch = "1h"\n'


def route(attempts: int) -> str:
    return f'[[routes]]\nname = "look-ups"\nuse_case = "look"\nattempts = {attempts}\n'


def settings(attempts: int) -> dict[str, Any]:
    """The platform's settings, which allow each request `attempts` attempts."""
    return {**SETTINGS, "policy-limits": {**SETTINGS["policy-limits"], "most-transmissions": attempts}}


class Starts(ServeProcessTestCase):
    """Both files are replaced by ones that allow fewer attempts, as a person would do it, and the process is killed."""

    def setUp(self) -> None:
        super().setUp()
        self.own.write_text(self.first + route(3))
        self.start()
        self.change_both(2)

    def change_settings(self, attempts: int) -> None:
        platform_file = self.at / "p.json"
        platform_file.write_text(json.dumps({**json.loads(platform_file.read_text()), "settings": settings(attempts)}))

    def change_both(self, attempts: int) -> None:
        """Replaces both files and waits until the change is applied."""
        self.change_settings(attempts)
        self.own.write_text(self.first + route(attempts))
        assert self.process is not None
        before = client.ask(self.socket, "status")["digest"]
        self.process.send_signal(signal.SIGHUP)
        until = time.monotonic() + 60
        while client.ask(self.socket, "status")["digest"] == before:
            self.assertLess(time.monotonic(), until, "the change was not applied")
            time.sleep(0.02)
        self.changed = client.ask(self.socket, "status")["digest"]

    def assert_started_with_the_file(self) -> str:
        """Asserts that the process serves the file in place, and does so again at the next start. Returns the first log."""
        self.start()
        self.assertEqual(self.changed, client.ask(self.socket, "status")["digest"])
        log = self.kill()
        self.start()
        self.assertEqual(self.changed, client.ask(self.socket, "status")["digest"])
        self.assertEqual((self.at / "state" / "confirmed.toml").read_text(), self.own.read_text())
        return log

    # Guards against a proxy that does not start again after it was killed while new settings were watched (review/9).
    def test_killed_with_a_change_open(self) -> None:
        self.kill()
        log = self.assert_started_with_the_file()
        self.assertEqual(1, log.count(UNFIT), log)
        self.assertIn("3 is above the settings' most-transmissions, 2", log)
        self.assertNotIn("started with the last confirmed file", log)

    # Guards against the same after an undo, which leaves the file in place as the one that was undone.
    def test_killed_after_the_change_was_undone(self) -> None:
        self.ctl("undo")
        self.kill()
        self.assertIn(UNFIT, self.assert_started_with_the_file())

    # Guards against a mend that takes the file in place where the last confirmed one can still be used.
    def test_a_last_confirmed_file_that_fits_again_counts(self) -> None:
        self.kill()
        self.change_settings(3)
        self.start()
        self.assertNotEqual(self.changed, client.ask(self.socket, "status")["digest"])
        log = self.kill()
        self.assertIn("started with the last confirmed file", log)
        self.assertNotIn(UNFIT, log)

    def test_the_first_change_after_such_a_start_is_undone_to_the_file(self) -> None:
        self.kill()
        self.start()
        self.own.write_text(self.first + route(1))
        self.assertIn(": applied", self.ctl("propose"))
        self.assertIn(": undone", self.ctl("undo"))
        self.kill()
        self.start()
        self.assertEqual(self.changed, client.ask(self.socket, "status")["digest"])


class Replacements(ReplacementTestCase):
    """A process is replaced while a change of both files is open."""

    def write_files(self, attempts: int, own_attempts: int) -> None:
        given = json.loads(self.file.read_text())
        self.file.write_text(json.dumps({**given, "settings": settings(attempts)}))
        assert self.own is not None
        self.own.write_text(STATE.replace("HERE", self.folder) + route(own_attempts))

    def status(self, key: str) -> Any:
        try:
            return client.ask(f"{self.folder}/control", "status")[key]
        except client.RefusedError:
            return None

    async def first_with_an_open_change(self) -> Process:
        """Starts a process that is then given two attempts in place of three, in both files."""
        await self.start_scene("a1", own=STATE + route(3))
        first = await self.process()
        await self.wait_until(lambda: self.status("digest") is not None)
        before = self.status("digest")
        self.write_files(2, 2)
        first.process.send_signal(signal.SIGHUP)
        await self.wait_until(lambda: self.status("digest") != before)
        return first

    def confirmed(self) -> str:
        return Path(self.folder, "state", "confirmed.toml").read_text()

    # Guards against a replacement that is refused while new settings are watched, and against a fallback at the start that
    # the take-over of the state folder takes back.
    async def test_a_replacement_serves_by_the_file(self) -> None:
        for how in (signal.SIGTERM, signal.SIGKILL):
            with self.subTest(how=how.name):
                first = await self.first_with_an_open_change()
                changed = self.status("digest")
                second = await self.process()
                await first.end(how)
                await second.wait_for_log("the state folder is held by this process")
                await self.wait_until(lambda: self.status("digest") is not None)
                self.assertEqual(changed, self.status("digest"))
                self.assertEqual(self.own.read_text(), self.confirmed())
                self.assertIn(UNFIT, second.log_text())
                self.assertNotIn("the change watch loop failed", second.log_text())
                await second.end(signal.SIGKILL)
                await self.asyncTearDown()

    # Guards against a decision of the previous process that can't be followed and is told as a failure of the watch.
    async def test_a_confirmation_that_fits_no_longer_is_not_followed(self) -> None:
        first = await self.first_with_an_open_change()
        self.write_files(3, 2)  # the last confirmed file fits again, so that the replacement starts with it
        second = await self.process()
        self.write_files(1, 2)
        second.process.send_signal(signal.SIGHUP)
        await second.wait_for_log("the file is not taken")
        client.ask(f"{self.folder}/control", "confirm")
        await first.end(signal.SIGKILL)
        await second.wait_for_log("what the previous process decided is not followed")
        self.assertNotIn("the change watch loop failed", second.log_text())


if __name__ == "__main__":
    unittest.main()
