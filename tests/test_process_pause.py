"""After a pause of the process nothing is sent before the list has been read: updates that discovery wrote meanwhile
count as told.
"""

from __future__ import annotations

import asyncio
import signal
import time
from unittest import mock

from pepperusher.net.backends import BackendConnections, BackendConnection
from tests.reconfiguration_scene import ReconfigurationScene
from tests.scene import ProxyTestCase

PAUSE_S = 0.4  # seconds, more than a process may be paused unnoticed


class ProcessPause(ProxyTestCase):
    async def open_connections(self) -> None:
        """Opens four connections, each of which has had an answer."""
        await self.open("a1", "b1")
        self.open_streams = [await self.connect() for _ in range(4)]
        for number, streams in enumerate(self.open_streams):
            await self.send_request("look", self.request("look", number), streams)

    def block_loop(self) -> None:
        """Blocks the event loop, which runs the proxy and everything else. Requests wait on the connections, and behind
        them a line of the list that drains a1.
        """
        for number, (_, writer) in enumerate(self.open_streams, 10):
            writer.write(self.request("look", number))
        self.endpoint_update(2, self.line("a1", "draining"))
        del self.lines[:]
        time.sleep(PAUSE_S)

    async def assert_drained(self) -> None:
        """Checks that all requests are answered, and none was sent to a1."""
        for reader, _ in self.open_streams:
            self.assertIn("200", await self.read_response(reader))
        self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])

    async def test_after_standing_still_no_ticket_goes_before_the_list_is_read(self) -> None:
        """The requests are read before the list."""
        await self.open_connections()
        self.block_loop()
        await self.assert_drained()

    async def test_standing_still_is_noticed_also_where_the_pace_was_due_just_then(self) -> None:
        """The periodic check ran between the pause and the requests, and reported that there was no pause."""
        await self.open_connections()
        # Both are due in the next loop iteration, this one first, and so their effects come in the iteration after it.
        loop = asyncio.get_running_loop()
        loop.call_at(0.0, loop.call_soon, self.block_loop)
        time.sleep(0.06)
        await self.assert_drained()

    async def test_requests_wait_for_what_is_read_however_slowly_the_loop_goes_on(self) -> None:
        """Requests waited for 2 ms, which on a busy machine may pass before the event loop runs once."""
        await self.open_connections()
        # All are due in the next iteration, in this order: the loop blocks, the periodic check notices that, and time
        # passes.
        loop = asyncio.get_running_loop()
        loop.call_at(0.0, loop.call_soon, self.block_loop)
        loop.call_at(loop.time() + 0.055, loop.call_soon, time.sleep, 0.01)
        time.sleep(0.06)
        await self.assert_drained()

    async def test_a_connection_that_came_up_meanwhile_is_not_written_to_before_the_list_is_read(self) -> None:
        await self.open("a1", "b1")
        connect = self.proxy._backends._connect

        async def connect_and_block(*args: object) -> BackendConnection | str:
            connected = await connect(*args)  # type: ignore[arg-type]
            self.endpoint_update(2, self.line("a1", "draining"))
            time.sleep(PAUSE_S)
            return connected

        with mock.patch.object(self.proxy._backends, "_connect", connect_and_block):
            for number in range(2):
                await self.send_request(f"pay {number}", self.request("pay", number))
        self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])

    async def test_an_attempt_that_ended_meanwhile_is_not_followed_by_another_before_the_list_is_read(self) -> None:
        await self.open("a1", "b1")
        self.fake_backends["a1"].behaviors = self.fake_backends["b1"].behaviors = [
            "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
        ]
        attempt = self.proxy._backends.attempt
        backends_tried: list[str] = []

        async def attempt_and_block(backend: str, *args: object) -> object:
            result = await attempt(backend, *args)  # type: ignore[arg-type]
            backends_tried.append(backend)
            if len(backends_tried) == 1:
                other = "b1" if backend == "a1" else "a1"
                self.endpoint_update(2, self.line(other, "draining"))
                time.sleep(PAUSE_S)
            return result

        with mock.patch.object(self.proxy._backends, "attempt", attempt_and_block):
            await self.send_request("look 1", self.request("look", 1))
        self.assertEqual([backends_tried[0]], sorted(set(backends_tried)))

    async def test_a_kept_connection_that_was_chosen_before_is_not_written_to(self) -> None:
        await self.open("a1", "b1")
        for number in range(4):
            await self.send_request("look", self.request("look", number))
        del self.lines[:]
        take_idle_connection = self.proxy._backends._take_idle_connection
        chosen: list[str] = []

        def choose_and_block(connections: BackendConnections, is_bound_repeat: bool) -> BackendConnection | None:
            if not chosen:
                chosen.append(
                    next(
                        name for name, one in self.proxy._backends._connections_by_backend.items() if one is connections
                    )
                )
                self.endpoint_update(2, self.line(chosen[0], "draining"))
                time.sleep(PAUSE_S)
            return take_idle_connection(connections, is_bound_repeat)

        with mock.patch.object(self.proxy._backends, "_take_idle_connection", choose_and_block):
            await self.send_request("look 9", self.request("look", 9))
        self.assertIn("200", self.lines[-1])
        self.assertEqual([], [line for line in self.lines if f"    {chosen[0]} gets" in line])


class Stopped(ReconfigurationScene):
    """Processes paused by SIGSTOP and SIGCONT with no ticket in hand, since a byte about to be written at SIGSTOP
    cannot be called back. Requests arrive while they are stopped.
    """

    PROXIES = 3
    ADDRESSES = 1
    CLIENTS = 15  # per proxy, besides the one of the scene

    async def test_nothing_goes_out_after_a_stop_before_the_list_is_read(self) -> None:
        self.clients += [
            asyncio.create_task(proxy.send_requests()) for proxy in self.proxies for _ in range(self.CLIENTS)
        ]
        await asyncio.sleep(0.5)
        for drained in ("b0", "b1"):
            for proxy in self.proxies:
                proxy.may_send.clear()
            await asyncio.sleep(0.2)
            for proxy in self.proxies:
                proxy.signal(signal.SIGSTOP)
                proxy.may_send.set()
            await asyncio.sleep(0.2)
            self.discovery.change(drained, "draining")
            drained_at = self.now()
            await asyncio.sleep(1.0)
            for proxy in self.proxies:
                proxy.signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            self.assert_drained(drained, drained_at)
