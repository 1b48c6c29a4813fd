"""Tests of the commands that take backends out: which one wins, what becomes of the endpoint, and what is stored."""

from __future__ import annotations

import itertools
import json
import unittest

from pepperusher.backend_commands import AdminCommand, BackendCommands, InvalidCommandError, decode_commands
from pepperusher.changes.manual_drains import decode_drains, encode_drains, split_drain_blocks
from pepperusher.endpoint import Endpoint

from tests.scene import SECOND

HOUR = 3600 * SECOND


def endpoint(started_at: int = 0, ready: bool = True) -> Endpoint:
    return Endpoint("a", "here", 0, 1.0, started_at, ready)


def block(backend: str) -> str:
    """A drain as earlier releases stored it."""
    return f"\n[[backends]]\nid = {json.dumps(backend)}\ndrain = true\n"


class Commands(unittest.TestCase):
    def test_in_any_order_the_latest_wins(self) -> None:
        steps = [
            AdminCommand(True, 1, "ops", "x"),
            AdminCommand(False, 2),
            AdminCommand(True, 3),
            AdminCommand(False, 4),
        ]
        for order in itertools.permutations(steps):
            commands = BackendCommands()
            won = [commands.merge({"a": step}, 10) for step in order]
            self.assertEqual(steps[-1], commands.get("a"))
            self.assertTrue(won[0])
            self.assertFalse(commands.merge({"a": steps[0]}, 11))

    def test_a_backend_is_out_while_the_command_is_on_and_cold_from_its_lift(self) -> None:
        commands = BackendCommands()
        self.assertEqual(endpoint(5), commands.apply(endpoint(5)))
        commands.merge({"a": commands.next_command("a", True, 10 * SECOND)}, 10 * SECOND)
        self.assertEqual(endpoint(5, ready=False), commands.apply(endpoint(5)))
        commands.merge({"a": commands.next_command("a", False, 20 * SECOND)}, 20 * SECOND)
        self.assertEqual(endpoint(20 * SECOND), commands.apply(endpoint(5)))
        self.assertEqual(endpoint(30 * SECOND), commands.apply(endpoint(30 * SECOND)))
        self.assertEqual(endpoint(5, ready=False), commands.apply(endpoint(5, ready=False)))

    def test_a_clock_that_was_set_back_neither_undoes_a_lift_nor_keeps_the_backend_cold(self) -> None:
        """Guards against a backend that is cold for as long as the clock was set back, since the lift has to be later than
        the command that it lifts.
        """
        drained = AdminCommand(True, 5 * HOUR)
        for merged_first in (True, False):
            commands, now = BackendCommands(), 4 * HOUR
            lift = AdminCommand(False, 5 * HOUR + 1)
            if merged_first:
                commands.merge({"a": drained}, now)
                lift = commands.next_command("a", False, now)
            self.assertGreater(lift.at, drained.at)
            commands.merge({"a": lift}, now)
            self.assertFalse(commands.merge({"a": drained}, now + SECOND))
            self.assertEqual(endpoint(now), commands.apply(endpoint()))

    def test_lifted_ones_are_forgotten_by_age_or_number_and_no_others(self) -> None:
        commands = BackendCommands()
        commands.merge({str(number): AdminCommand(number % 2 == 0, number) for number in range(1, 21)}, 30)
        commands.forget_oldest_lifted(4)
        self.assertEqual([13, 15, 17, 19], [command.at for command in commands.by_backend.values() if not command.on])
        commands.forget_lifted(15)
        self.assertEqual([17, 19], [command.at for command in commands.by_backend.values() if not command.on])
        self.assertEqual(10, sum(command.on for command in commands.by_backend.values()))
        commands.forget_oldest_lifted(0)
        self.assertEqual(10, len(commands.by_backend))


class Stored(unittest.TestCase):
    def test_what_is_written_is_read(self) -> None:
        drains = {"a": AdminCommand(True, 5, "ops", 'the "why"'), "ü\n": AdminCommand(False, 7)}
        self.assertEqual(drains, decode_drains(encode_drains(drains).decode()))

    def test_what_is_not_valid_is_rejected_as_a_whole(self) -> None:
        for drains in (None, [], {"a": None}, {"a": [True]}, {"a": [1, 5]}, {"a": [True, -1]}, {"a": [True, 5, 1, ""]}):
            with self.subTest(drains=drains), self.assertRaises(InvalidCommandError):
                decode_commands(drains, "drains")
        text = encode_drains({"a": AdminCommand(True, 5, "ops", "why")}).decode()
        for cut in range(len(text)):
            self.assertRaises(InvalidCommandError, decode_drains, text[:cut])

    def test_drains_of_an_earlier_release_are_told_from_marks_of_the_file(self) -> None:
        mark = block("m")
        file = "[weights]\nnorth = 2.0\n" + mark
        section = "# --- shared: x\n[weights]\n# --- end of what is shared\n"
        for case, stored, present, expected in (
            ("none", file, file, (file, [])),
            ("one", file + block("a"), file, (file, ["a"])),
            ("two, one of them with quotes", file + block('"') + block("b"), file, (file, ['"', "b"])),
            ("the mark of the file once more", file + mark, file, (file, ["m"])),
            ("before a shared section", file + block("a") + section, file + section, (file + section, ["a"])),
            ("after one", file + section + block("a"), file, (file + section, ["a"])),
            ("an edited file", file + block("a"), "[said]\n" + file, (file, ["a"])),
            (
                "an edited file without its mark",
                file + block("a"),
                "[said]\n",
                ("[weights]\nnorth = 2.0\n", ["m", "a"]),
            ),
            ("a name with an escape of TOML", file + block("a").replace('"a"', r'"\U0001F600"'), file, None),
            ("no block", file + block("a") + "# more\n", file, (file + block("a") + "# more\n", [])),
        ):
            with self.subTest(case):
                self.assertEqual(expected or (stored, []), split_drain_blocks(stored, present))


if __name__ == "__main__":
    unittest.main()
