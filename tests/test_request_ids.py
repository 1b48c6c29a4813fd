"""An id that comes again does not run twice."""

from __future__ import annotations

import asyncio
import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pepperusher.console.shared_request_ids import SharedRequestIds
from pepperusher.net.request_ids import MAX_SENT_ID_BYTES, MAX_SENT_IDS, SENT_ID_RETENTION_US, RequestIds

from tests.scene import LONG_TIMEOUT_SETTINGS, ProxyTestCase


class Ids(unittest.TestCase):
    def test_an_id_is_free_once_its_request_has_ended_without_a_chance_to_run(self) -> None:
        request_ids = RequestIds()
        self.assertTrue(request_ids.add(b"1", 0))
        self.assertFalse(request_ids.add(b"1", 1))
        request_ids.remove(b"1")
        self.assertTrue(request_ids.add(b"1", 2))

    def test_one_that_may_have_run_is_free_after_a_time_and_the_number_is_bounded(self) -> None:
        request_ids = RequestIds()
        request_ids.may_have_run(b"1", 0)
        self.assertFalse(request_ids.add(b"1", SENT_ID_RETENTION_US - 1))
        self.assertTrue(request_ids.add(b"1", SENT_ID_RETENTION_US))
        for number in range(2 * MAX_SENT_IDS):
            request_ids.may_have_run(b"x%d" % number, SENT_ID_RETENTION_US)
        self.assertEqual(MAX_SENT_IDS, len(request_ids._sent))

    # Guards against ever new long ids that take more memory than a small proxy has.
    def test_long_ids_are_bounded_by_their_length(self) -> None:
        request_ids = RequestIds()
        for number in range(100):
            request_ids.may_have_run(b"%d" % number + b"x" * 16_000, 0)
        self.assertLessEqual(sum(map(len, request_ids._sent)), MAX_SENT_ID_BYTES)
        self.assertEqual(sum(map(len, request_ids._sent)), request_ids._sent_bytes)
        request_ids.add(b"later", SENT_ID_RETENTION_US)
        self.assertEqual(0, request_ids._sent_bytes)


class Shared(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        paths = Path(folder.name, "one.ids"), Path(folder.name, "other.ids")
        self.one, self.other = SharedRequestIds(*paths), SharedRequestIds(*reversed(paths))
        self.addCleanup(self.one.close)
        self.addCleanup(self.other.close)

    # Guards against a full disk that fails every request while one process replaces another.
    def test_a_disk_that_fails_keeps_no_request_from_being_taken(self) -> None:
        request_ids = RequestIds()
        request_ids.share(self.one, 0)
        with mock.patch("os.write", side_effect=OSError(errno.ENOSPC, "full")):
            self.assertTrue(request_ids.add(b"1", 0))
        self.assertTrue(request_ids.add(b"2", 0))
        self.assertEqual([b"2"], self.other.received())

    def test_a_write_that_was_cut_short_spoils_no_later_id(self) -> None:
        write = os.write
        with mock.patch("os.write", lambda descriptor, data: write(descriptor, data[:3])):
            self.one.publish([b"12345"])
        self.one.publish([b"6"])
        self.assertEqual([b"12", b"6"], self.other.received())


class ComesAgain(ProxyTestCase):
    # Guards against an id that runs twice because it comes again after its client has left (issue 69, d).
    async def test_an_id_that_may_have_run_is_not_sent_on_again_after_its_client_left(self) -> None:
        await self.open("a1", "b1", settings=LONG_TIMEOUT_SETTINGS)
        for use_case, is_sent_again in (("pay", False), ("book", False), ("look", True)):
            for fake_backend in self.fake_backends.values():
                fake_backend.behaviors = ["silent"]
            _, writer = await self.connect()
            writer.write(self.request(use_case, use_case))
            await self.wait_until(lambda: self.attempts_of(use_case))
            writer.close()
            await self.wait_until(lambda: not self.proxy._facade.open_tickets)
            for fake_backend in self.fake_backends.values():
                fake_backend.behaviors = []
            reader, writer = await self.connect()
            writer.write(self.request(use_case, use_case))
            async with asyncio.timeout(10):
                response = await self.read_response(reader)
            self.assertIn("200" if is_sent_again else "409", response)
            self.assertEqual(2 if is_sent_again else 1, self.attempts_of(use_case))
            writer.close()

    def attempts_of(self, request_id: str) -> int:
        return sum(f" id {request_id} " in f"{line} " for line in self.lines if " gets " in line)


if __name__ == "__main__":
    unittest.main()
