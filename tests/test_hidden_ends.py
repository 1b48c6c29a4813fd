"""Clients that close their connection behind more data than the proxy reads ahead, where nothing shows that they have left."""

from __future__ import annotations

import asyncio
import unittest

from tests.leavers import LeavingClients, ProxyProcess

CLIENTS = 6
# Megabytes of the proxy, and how much its clients send behind a request.
CASES = ((192, 3_000_000), (64, 2_000_000), (32, 400_000), (32, 2_000_000))


class HiddenEnds(unittest.IsolatedAsyncioTestCase):
    # Guards against requests that are sent on after their client closed its connection with much unread (issue 69, d).
    async def test_none_is_sent_again_behind_more_requests_than_are_read_ahead(self) -> None:
        for megabytes, pipelined_bytes in CASES:
            with self.subTest(megabytes=megabytes, pipelined_bytes=pipelined_bytes):
                late, total = await self.leave_between_attempts(megabytes, pipelined_bytes)
                self.assertEqual({}, late)
                self.assertGreaterEqual(total, CLIENTS)

    async def leave_between_attempts(self, megabytes: int, pipelined_bytes: int) -> tuple[dict[str, list[float]], int]:
        """Lets clients leave while their first attempt is out. Returns the late attempts by case, and how many left."""
        async with ProxyProcess(24, limits={"memory_mb": megabytes, "sockets": 1024}) as proxy_process:
            for backend in proxy_process.backends:
                await backend.open()
            clients = LeavingClients()
            for leave in (clients.leave_between_attempts, clients.leave_before_reset):
                # On a busy machine some requests are refused before their first attempt, which the client would wait for.
                await asyncio.gather(
                    *(leave(proxy_process, "ends", leave.__name__, pipelined_bytes) for _ in range(CLIENTS)),
                    return_exceptions=True,
                )
                await asyncio.sleep(1.0)
            late = {case: delays for case, delays in proxy_process.late_attempts().items() if delays}
            return late, len(proxy_process.left_at)

    async def leave_while_connecting(self, megabytes: int, body_bytes: int) -> dict[str, list[float]]:
        """Lets a client leave while the connection for its request with a long body comes up."""
        async with ProxyProcess(4, limits={"memory_mb": megabytes, "sockets": 1024}) as proxy_process:
            for backend in proxy_process.backends:
                backend.fill_accept_queue()
            await LeavingClients().leave_while_connecting(proxy_process, "ends", "connecting", 0, body_bytes)
            for backend in proxy_process.backends:
                await backend.open()
            await asyncio.sleep(2.0)
            return {case: delays for case, delays in proxy_process.late_attempts().items() if delays}

    async def test_a_long_body_whose_client_left_goes_to_no_connection_that_comes_up_late(self) -> None:
        for megabytes, body_bytes in ((192, 3_000_000), (64, 1_000_000)):
            with self.subTest(megabytes=megabytes, body_bytes=body_bytes):
                self.assertEqual({}, await self.leave_while_connecting(megabytes, body_bytes))

    async def test_the_same_with_the_least_memory(self) -> None:
        self.assertEqual({}, await self.leave_while_connecting(32, 1_000_000))


if __name__ == "__main__":
    unittest.main()
