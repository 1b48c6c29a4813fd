"""A drain is kept where discovery does not answer before its term ends: whole proxies as processes, SIGHUP, and a full queue.

What discovery has counts as told 4 s after a new configuration, and 6 s after a watch fell silent, whether or not it came
(docs/design.md, "Terms for the list").
"""

from __future__ import annotations

import asyncio

from tests.reconfiguration_scene import (
    EMPTY_LINE_EVERY, GRACE, REACHED_TERM, RECONFIGURED_TERM, TAKEN_OVER_TERM, ReconfigurationScene,
)  # fmt: skip

# When the incident's proxies were told of new configurations, in seconds after the first.
ROW = (0.0, 0.3, 0.7, 1.6)
# Seconds after the first configuration at which discovery can answer again, well past the term of the last.
ANSWERS_AT = 9.0
SETTLES = 4.0


class ExpiredListScene(ReconfigurationScene):
    """Three processes; b0 drains as discovery stops answering calls, and they lose the watch that would tell them."""

    PROXIES = 3
    ADDRESSES = 1 + len(ROW)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.ready_to_lose_watches()
        self.listed_before = self.discovery.line(True)
        self.lose_watches()
        self.discovery.change("b0", "draining")
        for address in self.addresses:
            address.full = True

    async def ready_to_lose_watches(self) -> None:
        """Returns when they may be lost."""

    def lose_watches(self) -> None:
        self.addresses[0].cut()

    async def answers_again(self, began: float) -> None:
        await self.until(began + ANSWERS_AT)
        for address in self.addresses:
            address.full, address.held, address.replica = False, False, None
        self.answers_since = self.now()
        await self.until(began + ANSWERS_AT + SETTLES)

    def assert_drained_and_answered(self, told_at: float) -> None:
        """No send to b0 after its grace; each proxy answers while its list is past its term, and serves once it is told."""
        late = self.sent_late("b0", told_at)
        logs = "\n".join(f"{proxy.name}:\n{proxy.log}" for proxy in self.proxies if proxy.name in late)
        self.assertEqual({}, late, f"b0 was sent requests after the grace, by so many seconds\n{logs}")
        for proxy in self.proxies:
            refused = [line for line in proxy.answers if b" 503 " in line]
            self.assertGreater(len(refused), 10, "nobody refused what it could not send")
        served = {one.proxy for one in self.received if one.at > self.answers_since}
        self.assertEqual({proxy.name for proxy in self.proxies}, served)


class ANewConfiguration(ExpiredListScene):
    async def test_nothing_goes_out_by_a_list_that_a_full_discovery_did_not_confirm_in_time(self) -> None:
        """Incident 54: four new configurations in a row, each at another address, and no call is answered before the 4 s of the
        last are over. Every proxy knew that its list was past its term, and sent on."""
        began = self.now()
        for number, at in enumerate(ROW, 1):
            await self.until(began + at)
            self.reconfigure_all(number)
        await self.answers_again(began)
        self.assert_drained_and_answered(began + ROW[-1] + RECONFIGURED_TERM)

    async def test_an_older_list_of_the_new_address_does_not_end_the_term(self) -> None:
        """A replica that is behind tells the list of before the drain and ends its watch: the term of 4 s was forgotten, and
        6 s from that word took its place."""
        began = self.now()
        self.addresses[1].replica = self.listed_before
        self.reconfigure_all(1)
        await self.until(began + 0.5)
        self.addresses[1].replica = None
        await self.answers_again(began)
        self.assert_drained_and_answered(began + RECONFIGURED_TERM)

    async def test_a_new_configuration_with_the_same_address_begins_a_term_too(self) -> None:
        """Its address is asked already, so nothing was done, and 6 s from the last word counted alone."""
        began = self.now()
        for proxy in self.proxies:
            proxy.reconfigure(self.addresses[0].address)
        await self.answers_again(began)
        self.assert_drained_and_answered(began + RECONFIGURED_TERM)

    async def test_another_new_configuration_does_not_let_an_expired_list_be_used(self) -> None:
        """Found by the soak (seed 201): until a connection to the newest address came up, the list was used again."""
        began = self.now()
        row = (0.0, 5.0, 5.3, 5.7)
        for number, at in enumerate(row, 1):
            await self.until(began + at)
            self.reconfigure_all(number)
        await self.answers_again(began)
        self.assert_drained_and_answered(began + RECONFIGURED_TERM)


class ASilentWatch(ExpiredListScene):
    ADDRESSES = 1

    def lose_watches(self) -> None:
        self.addresses[0].held = True

    async def test_nothing_goes_out_by_the_list_of_a_silent_watch_past_its_term(self) -> None:
        """Each proxy notices the silence within 3 s and calls anew, and its calls are refused after a wait in a full queue."""
        began = self.now()
        await self.answers_again(began)
        self.assert_drained_and_answered(began + REACHED_TERM)


class ASilentWatchThatEnded(ExpiredListScene):
    PROXIES = 1
    ADDRESSES = 1

    async def ready_to_lose_watches(self) -> None:
        """Just after a word, so that the silence is not noticed before the watch ends."""
        while self.now() - self.addresses[0].wrote_at > 0.05:
            await asyncio.sleep(0.01)

    def lose_watches(self) -> None:
        self.addresses[0].held = True

    async def test_nothing_goes_out_where_it_ended_before_its_silence_was_noticed(self) -> None:
        """Found by the soak (seed 543): the term was counted from the end of the watch, and as that of an outage."""
        began = self.now()
        await self.until(began + EMPTY_LINE_EVERY + 0.2)
        self.addresses[0].cut()
        await self.answers_again(began)
        self.assert_drained_and_answered(began + REACHED_TERM)


class ALostCall(ReconfigurationScene):
    """What the bench showed at a start: the first call is never answered, and the answer to the next ends without a word."""

    PROXIES = 3
    ADDRESSES = 1

    async def test_a_call_that_was_cut_short_is_made_again_while_one_before_it_has_no_answer(self) -> None:
        discovery = self.addresses[0]
        discovery.unanswered = discovery.cut_short = self.PROXIES
        lost_at = self.now()
        discovery.cut()
        self.discovery.change("b0", "draining")
        await self.until(lost_at + REACHED_TERM + SETTLES)
        self.assertEqual((0, 0), (discovery.unanswered, discovery.cut_short))
        self.assert_drained("b0", lost_at + REACHED_TERM)


class AnotherProcess(ReconfigurationScene):
    PROXIES = 2

    async def test_a_process_that_takes_another_s_place_knows_what_that_was_told(self) -> None:
        """The other had a new configuration whose address had told nothing yet, so it passed on no list, and the list of the
        configuration was used, in which b0 had not drained yet."""
        drained_at = self.now()
        self.discovery.change("b0", "draining")
        await self.until(drained_at + GRACE)
        self.addresses[1].full = True
        self.reconfigure_all(1)
        await self.until(drained_at + GRACE + 0.3)
        await asyncio.gather(*(proxy.replace() for proxy in self.proxies))
        await self.until(self.now() + TAKEN_OVER_TERM - 0.5)
        self.assert_drained("b0", drained_at)


class AnotherProcessInTheTerm(ExpiredListScene):
    PROXIES = 2

    async def test_a_process_that_takes_another_s_place_does_not_use_the_list_that_has_expired_there(self) -> None:
        """It had a term of its own, 2 s from its start, and sent by the expired list till then."""
        began = self.now()
        self.reconfigure_all(1)
        await self.until(began + RECONFIGURED_TERM + 0.5)
        await asyncio.gather(*(proxy.replace() for proxy in self.proxies))
        await self.answers_again(began)
        self.assert_drained_and_answered(began + RECONFIGURED_TERM)
