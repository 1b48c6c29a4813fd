"""Receives a proxy's endpoint list by subscription from control machines, with discovery's watch as the fallback.

Loaded only where the proxy's configuration file names such a list. `distribution.endpoint_source` decides which source
is in use.
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

# A timer that fires this late means that the process was paused: its sockets are read before a message counts as
# missing.
LATE_TIMER_US = 200_000
SOCKET_READ_S = 0.02
TIMER_MIN_S = 0.001


class EndpointRelay:
    """Switches the proxy's list between control machines and discovery, as EndpointSource decides."""

    def __init__(self, name: str, seed: int, say: Callable[..., None]) -> None:
        self.key: Key = (ENDPOINTS, name)
        self._name, self._say = name, say
        self._random = Random(seed)
        self._freshness = Freshness()  # of this resource alone
        self._host: ExtensionHost | None = None
        self._source: EndpointSource | None = None
        # The list that control machines sent, and the discovery address that it comes from.
        self._relayed_list: tuple[EndpointUpdate, str] | None = None
        self._version_in_use: int | None = None  # discovery's version of the list in use
        self._calls_discovery = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_at = 0
        self._logged_source: int | None = None  # the source that was logged last

    def attach(self, host: ExtensionHost) -> None:
        """Chooses the first source, before the first call to discovery."""
        self._host = host
        now, discovery, policy_settings = clock.now(), host.discovery, host.policy_settings
        self._version_in_use = None if discovery.needs_list else discovery.version
        # Where lists are pushed, the proxy admits no requests before discovery was called.
        self._source = EndpointSource(
            now, self._random, self._version_in_use, 0 if policy_settings.list_is_pushed else START_WAIT_US
        )
        if not policy_settings.list_is_pushed:
            discovery.suspend_calls()
        self._calls_discovery = policy_settings.list_is_pushed
        self._update_source()

    def stop(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._source = None

    def take_list(self, resource: Resource) -> str | None:
        """Takes the newest list of the subscription. Returns the reason if it is rejected."""
        try:
            document = json.loads(resource.body)
            update = parse_endpoint_update(document)
            address = document.get("discovery")
            if not update.whole or not isinstance(address, str):
                raise BadList("is not a full list with its discovery address")
        except (ValueError, RecursionError) as error:
            return f"the list {error}"
        if self._source is None:
            return "this process is shutting down"
        self._relayed_list = update, address
        self._source.set_relayed_version(resource.version, self._relayed_version())
        self._update_source()
        return None

    def _relayed_version(self) -> int | None:
        """Discovery's version of the list held, None unless it comes from the discovery address that this proxy uses."""
        if self._relayed_list is None or self._host is None or self._relayed_list[1] != self._host.discovery.source:
            return None
        return self._relayed_list[0].version

    def take_freshness(self, words: Sequence[FreshnessReport]) -> None:
        """Handles messages that say when control machines last heard of the list."""
        now = clock.now()
        if [message for message in words if message.name == self._name and self._freshness.record(message, now)]:
            report = self._freshness.get(self._name)
            if report is not None and self._source is not None:
                self._source.confirm_relayed_version(report.version, report.confirmed_at)
                self._update_source()

    def discovery_address_changed(self) -> None:
        """Handles a possible change of discovery's address."""
        if self._source is not None:
            self._source.set_relayed_discovery_version(self._relayed_version())
            self._update_source()

    def _update_source(self) -> None:
        """Asks EndpointSource which source is in use now, and applies the answer to discovery."""
        source, host = self._source, self._host
        if source is None or host is None:
            return
        discovery, now = host.discovery, clock.now()
        if not discovery.needs_list and discovery.version != self._version_in_use:
            self._version_in_use = discovery.version
            source.set_discovery_version(discovery.version, now)
        step = source.step(now, discovery.watched)
        if step.apply_relayed_list and self._relayed_list is not None:
            update = self._relayed_list[0]
            self._version_in_use = update.version
            discovery.take_relayed_list(update, now - (source.age_us(now) or 0))
        elif source.active == CONTROL and (age := source.age_us(now)) is not None:
            # This confirms the list as an empty line on a watch does.
            discovery.confirmed_at = max(now - age, discovery.confirmed_at or 0)
        if step.watch_discovery != self._calls_discovery:
            self._calls_discovery = step.watch_discovery
            if step.watch_discovery:
                discovery.resume_calls()
            else:
                discovery.suspend_calls()
        if source.active != self._logged_source:
            self._logged_source = source.active
            if source.active in (CONTROL, DISCOVERY):
                self._say(
                    "the list now comes from " + SOURCE_NAMES[source.active],
                    word_us_ago=source.age_us(now),
                    version=self._version_in_use,
                )
        self._timer_due_at = step.wake_at
        if self._timer is not None:
            self._timer.cancel()
        wait = max(TIMER_MIN_S, (step.wake_at - now) / 1e6)
        self._timer = asyncio.get_running_loop().call_later(wait, self._timer_fired)

    def _timer_fired(self) -> None:
        if clock.now() - self._timer_due_at >= LATE_TIMER_US and self._logged_source == CONTROL:
            self._timer_due_at = clock.now()
            self._timer = asyncio.get_running_loop().call_later(SOCKET_READ_S, self._update_source)
        else:
            self._update_source()

    def status(self) -> dict[str, Any] | None:
        """The state of the relay, for operators."""
        if self._source is None or self._host is None:
            return None
        now = clock.now()
        return {
            "resource": "/".join(self.key),
            "by": SOURCE_NAMES[self._source.active],
            "since_us_ago": now - self._source.since,
            "word_us_ago": self._source.age_us(now),
            "version": self._version_in_use,
            "watched": self._host.discovery.watched,
            "discovery_calls": self._host.discovery.metrics.calls,
            "left": self._source.switches_to_discovery,
            "returned": self._source.switches_to_control,
        }
