"""From when on a client's time runs while its request body is still on the way."""

from __future__ import annotations

import unittest

from pepperusher.net.upload_clock import CLIENT_SEND_BUFFER_BYTES, MARK_BYTES, UploadClock

MEGABYTE = 1024 * 1024
SECOND = 1_000_000


class Clock(unittest.TestCase):
    def test_what_fits_the_client_s_send_buffer_may_be_complete_at_once(self) -> None:
        for end in (None, 3 * MEGABYTE):
            upload_clock = UploadClock(100_000, end, 5 * SECOND)
            upload_clock.update(200_000, 7 * SECOND)
            self.assertEqual(5 * SECOND, upload_clock.runs_since())

    def test_it_does_not_run_while_more_is_missing_than_fits_there(self) -> None:
        upload_clock = UploadClock(0, 20 * MEGABYTE, 0)
        for number in range(1, 16):
            upload_clock.update(number * MEGABYTE, number * SECOND)
            self.assertIsNone(upload_clock.runs_since())
        upload_clock.update(16 * MEGABYTE, 16 * SECOND)
        self.assertEqual(16 * SECOND, upload_clock.runs_since())
        upload_clock.update(18 * MEGABYTE, 30 * SECOND)
        self.assertEqual(16 * SECOND, upload_clock.runs_since())

    def test_without_a_length_it_runs_from_when_so_much_less_had_arrived(self) -> None:
        upload_clock = UploadClock(0, None, 0)
        for number in range(1, 41):
            upload_clock.update(number * MARK_BYTES, number * SECOND)
        self.assertEqual((40 - CLIENT_SEND_BUFFER_BYTES // MARK_BYTES) * SECOND, upload_clock.runs_since())

    def test_a_client_that_was_waited_for_had_not_finished_by_then(self) -> None:
        upload_clock = UploadClock(0, 3 * MEGABYTE, 0)
        upload_clock.client_unfinished(9 * SECOND)
        self.assertEqual(9 * SECOND, upload_clock.runs_since())


if __name__ == "__main__":
    unittest.main()
