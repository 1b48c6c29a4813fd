"""A proxy whose list is relayed by control machines: suspending and resuming calls to discovery, and relayed lists,
with a complete proxy on loopback.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from pepperusher.distribution.relay import Relay
from pepperusher.distribution.messages import Version
from pepperusher.net import clock
from pepperusher.net.endpoint_update import EndpointUpdate, parse_endpoint_update
from tests.scene import ProxyTestCase


class RelayedList(ProxyTestCase):
    def update(self, version: int, *servers: dict[str, object]) -> EndpointUpdate:
        return parse_endpoint_update({"version": version, "full": True, "servers": list(servers)})

    def ready_backends(self) -> str:
        ready = [str(row["id"]) for row in self.proxy.facade.backends() if row["ready"]]
        return " ".join(sorted(ready))

    async def test_it_rests_and_asks_again_from_where_it_was_told(self) -> None:
        await self.open("a1", "b1")
        discovery = self.proxy.discovery
        await self.wait_until(lambda: discovery.watched)
        discovery.suspend_calls()
        self.assertFalse(discovery.watched)
        # The watch ends, no other call goes out, and the watch is not counted as lost.
        self.assertEqual(b"", await asyncio.wait_for(self.watch_readers[0].read(), 5.0))
        discovery.take_relayed_list(self.update(7, self.line("a1"), self.line("b1", "draining")), clock.now())
        await asyncio.sleep(1.5)
        self.assertEqual(
            (1, 1, "a1", 7), (len(self.watches), discovery.metrics.calls, self.ready_backends(), discovery.version)
        )
        self.assertFalse([line for line in self.logged if "watch ended" in line])
        self.assertFalse(self.proxy.facade._balancer._list_unavailable)
        discovery.resume_calls()
        await self.wait_until(lambda: len(self.watches) == 2)
        self.assertIn("after=7", [line for line in self.lines if "discovery gets" in line][-1])

    async def test_at_rest_a_new_configuration_with_the_same_address_begins_no_term_of_its_own(self) -> None:
        """While calls are suspended no discovery could confirm the list: each request would be logged as sent by an
        overdue list.
        """
        await self.open("a1")
        discovery = self.proxy.discovery
        discovery.suspend_calls()
        with mock.patch("pepperusher.net.discovery.RECONFIGURED_DEADLINE_S", 0.1):
            self.proxy.reload_configuration()
        await asyncio.sleep(0.2)
        self.assertEqual((False, False), (discovery.confirmation.overdue, discovery.confirmation.expired))
        self.assertFalse([line for line in self.logged if "unconfirmed" in line])

    async def test_asked_and_told_to_rest_in_one_turn_of_the_loop_it_rests(self) -> None:
        """Guards against a watch that stays open besides the control machines' list, as happened after a process pause."""
        await self.open("a1")
        discovery = self.proxy.discovery
        await self.wait_until(lambda: discovery.watched)
        discovery.suspend_calls()
        await asyncio.sleep(0.1)
        discovery.resume_calls()
        discovery.suspend_calls()
        await asyncio.sleep(0.5)
        self.assertEqual((1, 1, False), (len(self.watches), discovery.metrics.calls, discovery.watched))
        discovery.resume_calls()
        await self.wait_until(lambda: discovery.watched)

    async def test_what_is_the_same_is_told_to_nobody(self) -> None:
        await self.open("a1", "b1", "c1")
        discovery = self.proxy.discovery
        discovery.suspend_calls()
        passed_on: list[tuple[list[str], bool]] = []
        listed = self.proxy._facade.update_endpoints
        self.proxy._facade.update_endpoints = lambda entries, whole, now: (  # type: ignore[method-assign]
            passed_on.append(([entry.id + (" gone" if entry.gone else "") for entry in entries], whole)),
            listed(entries, whole, now),
        )
        lines = [self.line("a1"), self.line("b1", "draining"), self.line("c1")]
        discovery.take_relayed_list(self.update(2, *lines), clock.now())
        discovery.take_relayed_list(self.update(3, *lines), clock.now())
        discovery.take_relayed_list(self.update(4, *lines[:2]), clock.now())
        self.assertEqual([(["b1"], False), (["c1 gone"], False)], passed_on)
        self.assertEqual(("a1", 4), (self.ready_backends(), discovery.version))
        own_list = discovery.own_list()
        assert own_list is not None
        self.assertEqual(["a1", "b1"], [entry["id"] for entry in own_list["servers"]])
        # The list in discovery's JSON form, as it is handed over.
        self.assertEqual(self.update(4, *lines[:2]), parse_endpoint_update(json.loads(json.dumps(own_list))))

    async def test_a_word_that_was_on_its_way_lowers_nothing(self) -> None:
        """The watch asked for changes after version 1, and a relayed list brought version 5; an older answer of
        discovery is read after that.
        """
        self.beats = False
        await self.open("a1", "b1")
        discovery = self.proxy.discovery
        self.endpoint_update(2, self.line("a1"))
        await self.wait_until(lambda: discovery.version == 2)
        self.watches[-1].close()
        await self.wait_until(lambda: len(self.watches) == 2)
        discovery.take_relayed_list(self.update(5, self.line("a1"), self.line("b1", "draining")), clock.now())
        await self.wait_until(lambda: discovery.watched)
        self.endpoint_update(3, self.line("b1"))
        for _ in range(20):
            self.assertEqual(("a1", 5), (self.ready_backends(), discovery.version))
            await asyncio.sleep(0.01)
        self.endpoint_update(6, self.line("a1", "draining"), self.line("b1"))
        await self.wait_until(lambda: (self.ready_backends(), discovery.version) == ("b1", 6))
        # A restarted version count is accepted with its full list.
        self.watches[-1].close()
        await self.wait_until(lambda: len(self.watches) == 3)
        self.endpoint_update(1, self.line("a1"), self.line("b1"), full=True)
        await self.wait_until(lambda: (self.ready_backends(), discovery.version) == ("a1 b1", 1))

    async def test_a_list_that_was_lost_is_not_when_another_tells_it(self) -> None:
        await self.open("a1")
        discovery = self.proxy.discovery
        self.server.close()
        self.watches[-1].close()
        await self.wait_until(lambda: self.proxy.facade._balancer._list_unavailable)
        discovery.suspend_calls()
        discovery.take_relayed_list(self.update(1, self.line("a1")), clock.now())
        self.assertFalse(self.proxy.facade._balancer._list_unavailable)


class Owner(unittest.IsolatedAsyncioTestCase):
    async def test_what_another_wrote_is_written_over_before_discovery_speaks_again(self) -> None:
        """Guards against waiting for discovery's next message, up to 2 s, in which proxies would already switch to
        discovery.
        """
        written: list[bytes] = []
        messages: list[Version] = []
        accepted = True

        def write(name: str, body: bytes) -> Version | None:
            written.append(body)
            return Version(1, len(written))

        def announce(name: str, version: Version, told_at: int) -> bool:
            messages.append(version)
            return accepted

        relay = Relay(("127.0.0.1", 1), "east/web", write, announce, lambda what, **figures: None, 1)
        servers = [{"id": "a1", "addr": "127.0.0.1:5", "state": "ready"}]
        relay._discovery.apply_update(parse_endpoint_update({"version": 7, "full": True, "servers": servers}))
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        self.assertEqual((1, [Version(1, 1)]), (len(written), messages))
        self.assertEqual((7, "127.0.0.1:1"), (json.loads(written[0])["version"], json.loads(written[0])["discovery"]))
        # A message without changes refreshes the current version; between messages nothing is written.
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        relay.publish_pending()
        self.assertEqual((1, [Version(1, 1)] * 2), (len(written), messages))
        accepted = False
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        accepted = True
        relay.publish_pending()
        self.assertEqual((2, Version(1, 2)), (len(written), messages[-1]))

    async def test_before_discovery_told_a_list_nothing_is_written(self) -> None:
        """An empty line is a heartbeat and not an empty list."""
        written: list[bytes] = []
        relay = Relay(
            ("127.0.0.1", 1),
            "east/web",
            lambda name, body: written.append(body),
            lambda *_: True,
            lambda *_, **__: None,
            1,
        )
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        self.assertEqual([], written)


if __name__ == "__main__":
    unittest.main()
