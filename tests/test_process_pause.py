"""After a process stood still nothing goes out before the list was read: what discovery wrote meanwhile counts as told."""

from __future__ import annotations

import asyncio
import signal
import time
from unittest import mock

from pepperusher.net.backends import BackendConnections, BackendConnection
from tests.reconfiguration_scene import ReconfigurationScene
from tests.scene import ProxyTestCase

PAUSE = 0.4  # seconds, more than a process may stand unnoticed


class ProcessPause(ProxyTestCase):
    async def keep_connections(self) -> None:
        """Four, each of which has had an answer."""
        await self.open("a1", "b1")
        self.kept_open = [await self.connect() for _ in range(4)]
        for number, at in enumerate(self.kept_open):
            await self.ask("look", self.request("look", number), at)

    def stand(self) -> None:
        """The whole loop, with proxy and all: requests wait on the connections, and a line of the list that drains a1 behind
        them."""
        for number, (_, writer) in enumerate(self.kept_open, 10):
            writer.write(self.request("look", number))
        self.endpoint_update(2, self.line("a1", "draining"))
        del self.lines[:]
        time.sleep(PAUSE)

    async def assert_drained(self) -> None:
        for reader, _ in self.kept_open:
            self.assertIn("200", await self.hear(reader))
        self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])

    async def test_after_standing_still_no_ticket_goes_before_the_list_is_read(self) -> None:
        """Requests are read first."""
        await self.keep_connections()
        self.stand()
        await self.assert_drained()

    async def test_standing_still_is_noticed_also_where_the_pace_was_due_just_then(self) -> None:
        """The pace had its turn between the standing and the requests, and said that all was well."""
        await self.keep_connections()
        # In the next turn both are due, this one first; and so they come in the turn behind it.
        loop = asyncio.get_running_loop()
        loop.call_at(0.0, loop.call_soon, self.stand)
        time.sleep(0.06)
        await self.assert_drained()

    async def test_requests_wait_for_what_is_read_however_slowly_the_loop_goes_on(self) -> None:
        """They waited for 2 ms, which on a busy machine may pass before the loop comes round once."""
        await self.keep_connections()
        # All are due in the next iteration, in this order: it stands, the pace notices that, and time passes.
        loop = asyncio.get_running_loop()
        loop.call_at(0.0, loop.call_soon, self.stand)
        loop.call_at(loop.time() + 0.055, loop.call_soon, time.sleep, 0.01)
        time.sleep(0.06)
        await self.assert_drained()

    async def test_a_connection_that_came_up_meanwhile_is_not_written_to_before_the_list_is_read(self) -> None:
        await self.open("a1", "b1")
        connect = self.proxy._backends._connect

        async def stands(*given: object) -> BackendConnection | str:
            made = await connect(*given)  # type: ignore[arg-type]
            self.endpoint_update(2, self.line("a1", "draining"))
            time.sleep(PAUSE)
            return made

        with mock.patch.object(self.proxy._backends, "_connect", stands):
            for number in range(2):
                await self.ask(f"pay {number}", self.request("pay", number))
        self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])

    async def test_an_attempt_that_ended_meanwhile_is_not_followed_by_another_before_the_list_is_read(self) -> None:
        await self.open("a1", "b1")
        self.fake_backends["a1"].does = self.fake_backends["b1"].does = ["HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"]
        attempt = self.proxy._backends.attempt
        tried: list[str] = []

        async def stands(backend: str, *given: object) -> object:
            made = await attempt(backend, *given)  # type: ignore[arg-type]
            tried.append(backend)
            if len(tried) == 1:
                other = "b1" if backend == "a1" else "a1"
                self.endpoint_update(2, self.line(other, "draining"))
                time.sleep(PAUSE)
            return made

        with mock.patch.object(self.proxy._backends, "attempt", stands):
            await self.ask("look 1", self.request("look", 1))
        self.assertEqual([tried[0]], sorted(set(tried)))

    async def test_a_kept_connection_that_was_chosen_before_is_not_written_to(self) -> None:
        await self.open("a1", "b1")
        for number in range(4):
            await self.ask("look", self.request("look", number))
        del self.lines[:]
        latest = self.proxy._backends._latest
        chosen: list[str] = []

        def stands(door: BackendConnections) -> BackendConnection | None:
            if not chosen:
                chosen.append(next(name for name, one in self.proxy._backends._doors.items() if one is door))
                self.endpoint_update(2, self.line(chosen[0], "draining"))
                time.sleep(PAUSE)
            return latest(door)

        with mock.patch.object(self.proxy._backends, "_latest", stands):
            await self.ask("look 9", self.request("look", 9))
        self.assertIn("200", self.lines[-1])
        self.assertEqual([], [line for line in self.lines if f"    {chosen[0]} gets" in line])


class Stopped(ReconfigurationScene):
    """Processes, by SIGSTOP and SIGCONT, with nothing in hand: a byte that was about to be written as the stop came can't be
    called back. Requests come while they stand."""

    PROXIES = 3
    ADDRESSES = 1
    CLIENTS = 15  # of each proxy, beside the one of the scene

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
            told_at = self.now()
            await asyncio.sleep(1.0)
            for proxy in self.proxies:
                proxy.signal(signal.SIGCONT)
            await asyncio.sleep(1.0)
            self.assert_drained(drained, told_at)
