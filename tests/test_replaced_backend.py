"""Repeats of requests at an address where another process has begun to listen, before discovery tells it (review/6)."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from pepperusher.endpoint import Endpoint
from pepperusher.facade import Facade
from pepperusher.net import listening_process
from pepperusher.net.listening_process import TOLD_WITHIN_US, ListeningProcess
from pepperusher.settings import read_settings
from pepperusher.terms import SCOPE_ALL
from tests.scene import SECOND, SETTINGS, FakeBackend, ProxyTestCase, reset_on_close

# Requests that open connections to every backend before one of them is replaced.
WARM_REQUESTS = 8
REPEATED = range(100, 108)
SOON_TOLD_US = 200_000


class ReplacedBackend(ProxyTestCase):
    """`a1`, `b1` and `d1` drop each other's repeats (one cell); `c2` is of another cell and takes over the address of `a1`."""

    async def die(self, name: str) -> None:
        """Ends a backend's process: its connections are reset, and new ones are refused."""
        backend = self.fake_backends[name]
        backend.server.close()
        for writer in backend.writers:
            if (at := writer.get_extra_info("socket")) is not None and at.fileno() >= 0:
                reset_on_close(at)
            writer.transport.abort()
        await backend.server.wait_closed()

    async def listen_at(self, name: str, successor: str) -> None:
        """Lets another process listen at the address of a backend that has died."""
        port = self.fake_backends[name].port
        backend = self.fake_backends[successor] = FakeBackend(successor, self.lines)
        backend.port = port
        backend.server = await asyncio.start_server(backend.serve, "127.0.0.1", backend.port)

    async def replace(self, name: str, successor: str) -> None:
        await self.die(name)
        await self.listen_at(name, successor)

    async def warm(self) -> None:
        for number in range(WARM_REQUESTS):
            await self.send_request("warm", self.request("look", number))

    def runs_of(self, number: int) -> list[str]:
        """The backends that a request reached."""
        return [line.split()[0] for line in self.lines if f" gets " in line and f" id {number} " in line]

    async def lose_held_requests(self, name: str) -> list[int]:
        """Sends requests that are bound to their group, of which this backend begins some and dies. Returns these."""
        self.fake_backends[name].behaviors = ["held"] * len(REPEATED)
        asked = [
            asyncio.create_task(self.send_request(f"book {number}", self.request("book", number)))
            for number in REPEATED
        ]
        await self.wait_until(lambda: all(self.runs_of(number) for number in REPEATED))
        begun = [number for number in REPEATED if self.runs_of(number) == [name]]
        self.assertTrue(begun)
        await self.die(name)
        await asyncio.gather(*asked)
        return begun

    async def test_a_request_that_may_have_run_is_not_repeated_at_a_process_that_discovery_has_not_told(self) -> None:
        await self.open("a1", "b1")
        await self.warm()
        await self.replace("a1", "c2")
        for number in await self.lose_held_requests("b1"):
            self.assertEqual(["b1"], self.runs_of(number), "\n".join(self.lines))

    async def test_nor_on_a_connection_that_others_have_opened_to_that_process(self) -> None:
        await self.open("a1", "b1")
        await self.warm()
        await self.replace("a1", "c2")
        await self.warm()
        self.assertTrue([line for line in self.lines if "c2 gets GET /look" in line], "first attempts go there")
        for number in await self.lose_held_requests("b1"):
            self.assertEqual(["b1"], self.runs_of(number), "\n".join(self.lines))

    async def test_nor_where_only_a_refused_connection_has_shown_the_end_of_the_old_process(self) -> None:
        await self.open("a1", "b1")
        await self.die("a1")
        await self.warm()
        await self.listen_at("a1", "c2")
        for number in await self.lose_held_requests("b1"):
            self.assertEqual(["b1"], self.runs_of(number), "\n".join(self.lines))

    async def test_it_is_repeated_at_another_process_of_the_group(self) -> None:
        await self.open("a1", "b1", "d1")
        await self.warm()
        await self.replace("a1", "c2")
        for number in await self.lose_held_requests("b1"):
            self.assertEqual(["b1", "d1"], self.runs_of(number), "\n".join(self.lines))
            self.assertIn(f"book {number} -> 200 'd1 {number}'", self.lines)

    async def test_it_is_repeated_there_once_discovery_counts_as_having_told(self) -> None:
        await self.open("a1", "b1")
        await self.warm()
        with mock.patch.object(listening_process, "TOLD_WITHIN_US", SOON_TOLD_US):
            await self.replace("a1", "a1")
            await asyncio.sleep(2 * SOON_TOLD_US / 1e6)
            for number in await self.lose_held_requests("b1"):
                self.assertEqual(["b1", "a1"], self.runs_of(number), "\n".join(self.lines))


class Repeats(unittest.TestCase):
    """Which attempts have to reach the group of an earlier one."""

    def setUp(self) -> None:
        self.facade = Facade(read_settings(SETTINGS, 5), SECOND, lambda _: None)
        self.facade.update_endpoints([Endpoint(name, "here", 1, 1.0, 0, True) for name in ("a1", "b1")], True, SECOND)

    def is_bound(self, use_case: str, may_have_run: bool | None) -> bool:
        """Whether an attempt is, after one of the same key that the store has kept; None for none."""
        ticket = self.facade.open_ticket(use_case, "", SECOND, None, 0)
        if may_have_run is not None:
            self.facade.restore_attempt(ticket, "a1", 1, SECOND, may_have_run)
        self.facade.choose_backend(ticket, SECOND)
        return self.facade.is_bound_repeat(ticket)

    def test_a_kept_attempt_that_may_have_run_binds_the_first_one_here(self) -> None:
        self.assertTrue(self.is_bound("book", True))
        self.assertFalse(self.is_bound("book", False))
        self.assertFalse(self.is_bound("book", None))
        self.assertFalse(self.is_bound("look", True))

    def test_where_all_backends_drop_a_repeat_it_is_bound_to_none(self) -> None:
        self.facade._use_cases["book"].scope = SCOPE_ALL
        self.assertFalse(self.is_bound("book", True))


class Process(unittest.TestCase):
    def test_connections_of_before_the_end_lead_to_the_process_that_was_told(self) -> None:
        process = ListeningProcess()
        self.assertFalse(process.may_be_untold(5, 10))
        process.note_end(100)
        self.assertFalse(process.may_be_untold(99, 200))
        self.assertTrue(process.may_be_untold(100, 200))
        self.assertTrue(process.may_be_untold(150, 99 + TOLD_WITHIN_US))
        self.assertFalse(process.may_be_untold(150, 100 + TOLD_WITHIN_US))


if __name__ == "__main__":
    unittest.main()
