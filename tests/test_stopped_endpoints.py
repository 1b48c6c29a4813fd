"""Unit tests: an older list does not undo the stops of a newer one."""

from __future__ import annotations

import unittest

from pepperusher.endpoint import Endpoint
from pepperusher.net.endpoint_update import EndpointUpdate
from pepperusher.net.stopped_endpoints import STOP_KEPT_US, StoppedEndpoints

READY = Endpoint("b0", "here", 0, 1.0, 1000, True)
NOW = 50_000_000


def update(version: int, *entries: Endpoint, whole: bool = True) -> EndpointUpdate:
    return EndpointUpdate(version, whole, list(entries), [("127.0.0.1", 9000)] * len(entries))


class Stopped(unittest.TestCase):
    def setUp(self) -> None:
        self.stopped = StoppedEndpoints()

    def test_a_drain_an_end_and_a_whole_list_without_it_stop_an_endpoint(self) -> None:
        for stops in (update(5, READY._replace(ready=False), whole=False),
                      update(5, READY._replace(ready=False, gone=True), whole=False), update(5)):  # fmt: skip
            self.setUp()
            self.stopped.note(stops, [] if stops.entries else [READY], NOW)
            self.assertEqual({"b0"}, self.stopped.lifted_by(update(4, READY), NOW))
            self.assertEqual(set(), self.stopped.lifted_by(update(5, READY), NOW))
            self.assertEqual(set(), self.stopped.lifted_by(update(4, READY._replace(ready=False)), NOW))

    def test_one_that_has_started_since_is_another(self) -> None:
        self.stopped.note(update(5), [READY], NOW)
        self.assertEqual(set(), self.stopped.lifted_by(update(4, READY._replace(started_at=1001)), NOW))

    def test_a_stop_is_forgotten_by_age_and_once_it_is_lifted(self) -> None:
        self.stopped.note(update(5), [READY], NOW)
        self.assertEqual({"b0"}, self.stopped.lifted_by(update(4, READY), NOW + STOP_KEPT_US - 1))
        self.assertEqual(set(), self.stopped.lifted_by(update(4, READY), NOW + STOP_KEPT_US))
        self.stopped.note(update(6, READY, whole=False), [], NOW)
        self.assertEqual(set(), self.stopped.lifted_by(update(4, READY), NOW))

    def test_what_is_kept_is_bounded_by_age(self) -> None:
        for number in range(100):
            at = NOW + number * STOP_KEPT_US
            self.stopped.note(update(number, READY._replace(id=f"b{number}", ready=False), whole=False), [], at)
        self.assertEqual(1, len(self.stopped._stops))


if __name__ == "__main__":
    unittest.main()
