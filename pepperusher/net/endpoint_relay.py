"""A whole proxy's list of backends by subscription, beside the watch of discovery that it goes back to.

Loaded only where the own file names such a list. `distribution.endpoint_source` decides by whom it goes.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from pepperusher.distribution.endpoint_source import CONTROL, DISCOVERY, SOURCE_NAMES, START_WAIT_US, EndpointSource
from pepperusher.distribution.freshness import Freshness
from pepperusher.distribution.messages import ENDPOINTS, Key, Resource, FreshnessReport
from pepperusher.net import clock
from pepperusher.net.extension import ExtensionHost
from pepperusher.net.endpoint_update import BadList, EndpointUpdate, parse_endpoint_update

# Its timer came later than that: the process stood still, and what waits in its sockets is read before a word counts
# as missing.
STOOD_STILL = 200_000
READ_WITHIN = 0.02
SOONEST = 0.001


class EndpointRelay:
    def __init__(self, name: str, seed: int, say: Callable[..., None]) -> None:
        self.key: Key = (ENDPOINTS, name)
        self._name, self._say = name, say
        self._chance = Random(seed)
        self._freshness = Freshness()  # of this one fact
        self._host: ExtensionHost | None = None
        self._source: EndpointSource | None = None
        self._list: tuple[EndpointUpdate, str] | None = None  # as control machines have it, and of which discovery
        self._number: int | None = None  # discovery's, of what is in force
        self._asks = False
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0
        self._by: int | None = None  # as it was said last

    def attach(self, host: ExtensionHost) -> None:
        """Before discovery is asked for the first time."""
        self._host = host
        now, discovery, policy_settings = clock.now(), host.discovery, host.policy_settings
        self._number = None if discovery.needs_list else discovery.version
        # Where lists are pushed, nobody is let in before discovery was asked.
        self._source = EndpointSource(
            now, self._chance, self._number, 0 if policy_settings.list_is_pushed else START_WAIT_US
        )
        if not policy_settings.list_is_pushed:
            discovery.suspend_calls()
        self._asks = policy_settings.list_is_pushed
        self._look()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._source = None

    def take(self, one: Resource) -> str | None:
        """The newest that the subscription has. Why it is none."""
        try:
            listed = json.loads(one.body)
            update = parse_endpoint_update(listed)
            address = listed.get("discovery")
            if not update.whole or not isinstance(address, str):
                raise BadList("is no whole list with its discovery")
        except (ValueError, RecursionError) as error:
            return f"the list {error}"
        if self._source is None:
            return "this process ends"
        self._list = update, address
        self._source.set_relayed_version(one.version, self._number_of())
        self._look()
        return None

    def _number_of(self) -> int | None:
        """Discovery's number of the list held, where it is of the discovery that this proxy would ask."""
        if self._list is None or self._host is None or self._list[1] != self._host.discovery.source:
            return None
        return self._list[0].version

    def words(self, words: Sequence[FreshnessReport]) -> None:
        now = clock.now()
        if [word for word in words if word.name == self._name and self._freshness.record(word, now)]:
            heard = self._freshness.get(self._name)
            if heard is not None and self._source is not None:
                self._source.confirm_relayed_version(heard.version, heard.confirmed_at)
                self._look()

    def look(self) -> None:
        """Where discovery answers may have changed."""
        if self._source is not None:
            self._source.set_relayed_discovery_version(self._number_of())
            self._look()

    def _look(self) -> None:
        source, host = self._source, self._host
        if source is None or host is None:
            return
        discovery, now = host.discovery, clock.now()
        if not discovery.needs_list and discovery.version != self._number:
            self._number = discovery.version
            source.set_discovery_version(discovery.version, now)
        step = source.step(now, discovery.watched)
        if step.apply_relayed_list and self._list is not None:
            update = self._list[0]
            self._number = update.version
            discovery.take_relayed_list(update, now - (source.age_us(now) or 0))
        elif source.active == CONTROL and (age := source.age_us(now)) is not None:
            # As an empty line of a watch of its own does.
            discovery.confirmed_at = max(now - age, discovery.confirmed_at or 0)
        if step.watch_discovery != self._asks:
            self._asks = step.watch_discovery
            if step.watch_discovery:
                discovery.resume_calls()
            else:
                discovery.suspend_calls()
        if source.active != self._by:
            self._by = source.active
            if source.active in (CONTROL, DISCOVERY):
                self._say(
                    "the list is told by " + SOURCE_NAMES[source.active],
                    word_us_ago=source.age_us(now),
                    version=self._number,
                )
        self._due = step.wake_at
        if self._timer is not None:
            self._timer.cancel()
        wait = max(SOONEST, (step.wake_at - now) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(wait, self._woke)

    def _woke(self) -> None:
        if clock.now() - self._due >= STOOD_STILL and self._by == CONTROL:
            self._due = clock.now()
            self._timer = asyncio.get_running_loop().call_later(READ_WITHIN, self._look)
        else:
            self._look()

    def status(self) -> dict[str, Any] | None:
        """For people."""
        if self._source is None or self._host is None:
            return None
        now = clock.now()
        return {
            "resource": "/".join(self.key),
            "by": SOURCE_NAMES[self._source.active],
            "since_us_ago": now - self._source.since,
            "word_us_ago": self._source.age_us(now),
            "version": self._number,
            "watched": self._host.discovery.watched,
            "discovery_calls": self._host.discovery.metrics.calls,
            "left": self._source.switches_to_discovery,
            "returned": self._source.switches_to_control,
        }
