"""The memory of a proxy: what is logged of it, and that it stays under its limit, whatever its peers send or leave unread."""

from __future__ import annotations

import unittest
from unittest import mock

from pepperusher.net import memory_report
from pepperusher.net.buffers import Pool
from pepperusher.net.memory_report import MemoryReport
from pepperusher.net.peer_memory import PeerConnections

MEGABYTE = 1024 * 1024
LIMIT_MB = 80


class FakeConnection:
    """A connection with these figures."""

    def __init__(self, unread_bytes: int, read_ahead_bytes: int, unsent_bytes: int) -> None:
        self.unread_bytes = unread_bytes
        self.read_ahead_bytes = read_ahead_bytes
        self.unsent_bytes = unsent_bytes


class RecordingLog:
    """Keeps the lines."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def say(self, line: str) -> None:
        self.lines.append(line)


class Report(unittest.TestCase):
    def test_each_further_part_of_the_limit_is_logged_once_with_what_is_held(self) -> None:
        callers, log = PeerConnections("callers"), RecordingLog()
        callers.add(FakeConnection(5 * MEGABYTE, 3 * MEGABYTE, 0))
        callers.add(FakeConnection(0, 0, MEGABYTE))
        pool = Pool(4)
        pool.take()
        report = MemoryReport(LIMIT_MB * MEGABYTE, pool, (callers,), log)  # type: ignore[arg-type]
        for own_mb in (15, 25, 29, 15, 28, 71):
            with mock.patch.object(memory_report, "own_memory", return_value=own_mb * MEGABYTE):
                report.check()
        held = "bodies 4; 2 callers: received 2048, read ahead 3072, unsent 1024"
        self.assertEqual(
            [f"memory: {25 * 1024} of 81920 kB, {held}", f"memory: {71 * 1024} of 81920 kB, {held}"], log.lines
        )

    def test_a_process_knows_its_own_memory(self) -> None:
        own = memory_report.own_memory()
        assert own is not None
        self.assertGreater(own, MEGABYTE)


if __name__ == "__main__":
    unittest.main()
