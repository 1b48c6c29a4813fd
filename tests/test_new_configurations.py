"""End-to-end tests: drains are respected while new configurations move discovery. Proxies run as processes with SIGHUP
and faults at discovery.
"""

from __future__ import annotations

import asyncio

from tests.reconfiguration_scene import REACHED_TERM, RECONFIGURED_TERM, ReconfigurationScene


class InARow(ReconfigurationScene):
    """Incident 47: each new configuration arrives before the call of the previous one is answered."""

    ADDRESSES = 8

    async def test_a_row_of_new_configurations_does_not_put_off_what_discovery_has_to_tell(self) -> None:
        """Each answer takes 1.2 s and a new address arrives every 0.9 s. Guards against closing every call 0.3 s before
        its answer, which loses its place in the queue.
        """
        for address in self.addresses:
            address.delay = 1.2
        began = self.now()
        self.addresses[0].held = True  # the old watch's updates arrive late
        self.discovery.change("b0", "draining")
        for number in range(1, self.ADDRESSES):
            self.reconfigure_all(number)
            await self.until(began + 0.9 * number)
        await self.until(began + REACHED_TERM + 2.0)
        self.assert_drained("b0", began + RECONFIGURED_TERM)


class Refused(ReconfigurationScene):
    """Incident 47: discovery refuses calls briefly after a new configuration, and is slow afterwards."""

    PROXIES = 6

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for address in self.addresses:
            address.refusing = True
        self.addresses[0].cut()

    async def drains_as_it_moves(self, refuses_for: float, then_takes: float) -> None:
        """b0 drains as a new configuration arrives. The new address refuses calls for `refuses_for` seconds, then takes
        `then_takes` seconds for each answer.
        """
        new = self.addresses[1]
        began = self.now()
        self.discovery.change("b0", "draining")
        self.reconfigure_all(1)
        await self.until(began + refuses_for)
        new.refusing, new.delay = False, then_takes
        await self.until(began + REACHED_TERM + 2.0)
        self.assert_drained("b0", began + RECONFIGURED_TERM)

    async def test_refused_calls_are_made_again_soon_enough_for_the_term_of_a_new_configuration(self) -> None:
        """Guards against waits that double as after an outage, whose deadline is 6 s."""
        await self.drains_as_it_moves(1.6, 2.0)

    async def test_waits_of_an_outage_are_not_carried_over_to_a_new_address(self) -> None:
        """Guards against carrying over the wait: after 6 s of refusals the old address was called every 1.25 to 2.5 s,
        and so was the new one.
        """
        await asyncio.sleep(6.0)
        await self.drains_as_it_moves(1.2, 2.7)
