"""A proxy's `Discovery` whose list another tells: rest, ask and relayed, over a whole proxy on loopback."""

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

    def listed(self) -> str:
        ready = [str(row["id"]) for row in self.proxy.facade.backends() if row["ready"]]
        return " ".join(sorted(ready))

    async def test_it_rests_and_asks_again_from_where_it_was_told(self) -> None:
        await self.open("a1", "b1")
        discovery = self.proxy.discovery
        await self.wait_until(lambda: discovery.watched)
        discovery.suspend_calls()
        self.assertFalse(discovery.watched)
        # The watch ends, and no other goes out; nobody counts it as lost.
        self.assertEqual(b"", await asyncio.wait_for(self.watch_readers[0].read(), 5.0))
        discovery.take_relayed_list(self.update(7, self.line("a1"), self.line("b1", "draining")), clock.now())
        await asyncio.sleep(1.5)
        self.assertEqual(
            (1, 1, "a1", 7), (len(self.watches), discovery.metrics.calls, self.listed(), discovery.version)
        )
        self.assertFalse([line for line in self.logged if "watch ended" in line])
        self.assertFalse(self.proxy.facade._balancer._list_unavailable)
        discovery.resume_calls()
        await self.wait_until(lambda: len(self.watches) == 2)
        self.assertIn("after=7", [line for line in self.lines if "discovery gets" in line][-1])

    async def test_at_rest_a_new_configuration_with_the_same_address_begins_no_term_of_its_own(self) -> None:
        """Nobody is asked who could confirm the list: each request would be logged as sent by one past its term."""
        await self.open("a1")
        discovery = self.proxy.discovery
        discovery.suspend_calls()
        with mock.patch("pepperusher.net.discovery.RECONFIGURED_TERM", 0.1):
            self.proxy.reload_configuration()
        await asyncio.sleep(0.2)
        self.assertEqual((False, False), (discovery.confirmation.overdue, discovery.confirmation.expired))
        self.assertFalse([line for line in self.logged if "unconfirmed" in line])

    async def test_asked_and_told_to_rest_in_one_turn_of_the_loop_it_rests(self) -> None:
        """As after the process stood still: a watch stood beside control machines' list for good."""
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
        told: list[tuple[list[str], bool]] = []
        listed = self.proxy._facade.update_endpoints
        self.proxy._facade.update_endpoints = lambda entries, whole, now: (  # type: ignore[method-assign]
            told.append(([one.id + (" gone" if one.gone else "") for one in entries], whole)),
            listed(entries, whole, now),
        )
        lines = [self.line("a1"), self.line("b1", "draining"), self.line("c1")]
        discovery.take_relayed_list(self.update(2, *lines), clock.now())
        discovery.take_relayed_list(self.update(3, *lines), clock.now())
        discovery.take_relayed_list(self.update(4, *lines[:2]), clock.now())
        self.assertEqual([(["b1"], False), (["c1 gone"], False)], told)
        self.assertEqual(("a1", 4), (self.listed(), discovery.version))
        made = discovery.own_list()
        assert made is not None
        self.assertEqual(["a1", "b1"], [one["id"] for one in made["servers"]])
        # In discovery's own form, as it is handed on.
        self.assertEqual(self.update(4, *lines[:2]), parse_endpoint_update(json.loads(json.dumps(made))))

    async def test_a_word_that_was_on_its_way_lowers_nothing(self) -> None:
        """Asked after 1, told 5 by another, and then discovery's answer of before that is read."""
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
            self.assertEqual(("a1", 5), (self.listed(), discovery.version))
            await asyncio.sleep(0.01)
        self.endpoint_update(6, self.line("a1", "draining"), self.line("b1"))
        await self.wait_until(lambda: (self.listed(), discovery.version) == ("b1", 6))
        # What begins anew counts from the start, as ever.
        self.watches[-1].close()
        await self.wait_until(lambda: len(self.watches) == 3)
        self.endpoint_update(1, self.line("a1"), self.line("b1"), full=True)
        await self.wait_until(lambda: (self.listed(), discovery.version) == ("a1 b1", 1))

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
        """Its next word would be 2 s later, and by then proxies had left for discovery."""
        written: list[bytes] = []
        words: list[Version] = []
        stands = True

        def write(name: str, body: bytes) -> Version | None:
            written.append(body)
            return Version(1, len(written))

        def word(name: str, version: Version, told_at: int) -> bool:
            words.append(version)
            return stands

        relay = Relay(("127.0.0.1", 1), "east/web", write, word, lambda what, **figures: None, 1)
        servers = [{"id": "a1", "addr": "127.0.0.1:5", "state": "ready"}]
        relay._discovery.apply_update(parse_endpoint_update({"version": 7, "full": True, "servers": servers}))
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        self.assertEqual((1, [Version(1, 1)]), (len(written), words))
        self.assertEqual((7, "127.0.0.1:1"), (json.loads(written[0])["version"], json.loads(written[0])["discovery"]))
        # A word with nothing new is said of the version there is; between words nothing is.
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        relay.publish_pending()
        self.assertEqual((1, [Version(1, 1)] * 2), (len(written), words))
        stands = False
        relay._discovery_confirmed()
        await asyncio.sleep(0.01)
        stands = True
        relay.publish_pending()
        self.assertEqual((2, Version(1, 2)), (len(written), words[-1]))

    async def test_before_discovery_told_a_list_nothing_is_written(self) -> None:
        """An empty line alone is no empty list."""
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
