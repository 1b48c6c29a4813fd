"""A control machine's watch of discovery: the list from discovery is published as a fact, and each message of the watch
confirms how fresh the fact is.

Loaded only if the control machine's file names discovery. The watch itself is that of a proxy (`net.discovery`); the
class that replaces the proxy's decisions here only schedules retries.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from random import Random

from pepperusher.distribution.messages import MAX_BODY_BYTES, Version
from pepperusher.endpoint import Endpoint
from pepperusher.net import clock
from pepperusher.net.discovery import Discovery
from pepperusher.net.log import Log

# The exponential backoff after a failed call, drawn from the upper half. It is short because few machines call
# discovery in this way, and while they fail each of their proxies may call it as well: at a discovery that rejects most
# calls, these few must succeed among thousands.
RETRY_MIN_US = 50_000
RETRY_MAX_US = 100_000


class _RetrySchedule:
    """Schedules the calls to discovery, in place of a proxy's decisions."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._delay, self._retry_at = 0, 0
        self.list_received = False  # since the start
        self.list_changed = False  # since the list was written last

    def update_endpoints(self, entries: Iterable[Endpoint], whole: bool, now: int) -> None:
        if whole or any(True for _ in entries):
            self.list_received = self.list_changed = True
        self._delay = 0

    def endpoint_request_failed(self, now: int) -> None:
        self._delay = min(RETRY_MAX_US, 2 * self._delay or RETRY_MIN_US)
        self._retry_at = now + self._random.randrange(self._delay // 2, self._delay + 1)

    def endpoint_request_delay(self, now: int) -> int:
        return max(0, self._retry_at - now)


class _NoBackends:
    """A control machine connects to none of the listed backends."""

    def set_address(self, name: str, address: tuple[str, int], ready: bool) -> None:
        pass

    def retain_only(self, names: set[str]) -> None:
        pass


class _DiscoveryLog(Log):
    """Forwards discovery's log lines to the machine's log, which limits their rate."""

    def __init__(self, say: Callable[..., None]) -> None:
        super().__init__("")
        self._log = say

    def say(self, line: str, figures: dict[str, object] | None = None) -> None:
        self._log("discovery", said=line, **(figures or {}))


class Relay:
    """Publishes discovery's list as a fact. `write_fact` makes a body the newest version of the fact and returns the
    version, or None if that is not possible now. `report_confirmation` records that discovery confirmed this version at
    this time, and returns False if it is no longer the newest.
    """

    def __init__(
        self,
        address: tuple[str, int],
        name: str,
        write_fact: Callable[[str, bytes], Version | None],
        report_confirmation: Callable[[str, Version, int], bool],
        say: Callable[..., None],
        seed: int,
    ) -> None:
        self._name, self._write_fact, self._report_confirmation, self._say = name, write_fact, report_confirmation, say
        self._schedule = _RetrySchedule(Random(seed))
        self._discovery = Discovery(address, self._schedule, _NoBackends(), _DiscoveryLog(say), (), seed)
        self._discovery.on_update = self._discovery_confirmed
        self._unreported_at: int | None = None  # confirmed, and not reported yet
        self._last_confirmed_at: int | None = None
        self._publish_scheduled = False
        self._discovery_version: int | None = None  # discovery's version of the list that was written
        self._version: Version | None = None
        self._too_large = False
        self.confirmations = 0

    def start(self) -> None:
        self._discovery.start()

    def stop(self) -> None:
        self._discovery.stop()

    def _discovery_confirmed(self) -> None:
        """Lines received in one turn of the event loop make one version."""
        self._unreported_at = self._last_confirmed_at = clock.now()
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self.publish_pending)

    def publish_pending(self) -> None:
        """Writes the list if it changed and reports the confirmation. Also called periodically, to retry a write that
        failed.
        """
        self._publish_scheduled = False
        if self._unreported_at is None or not self._schedule.list_received:
            return
        if self._version is None or self._schedule.list_changed or self._discovery_version != self._discovery.version:
            endpoint_list = self._discovery.own_list()
            body = json.dumps({**(endpoint_list or {}), "discovery": self._discovery.source}).encode()
            if len(body) > MAX_BODY_BYTES:
                if not self._too_large:
                    self._say("the list of backends is too large to be published", bytes=len(body), most=MAX_BODY_BYTES)
                self._too_large = True
                return
            self._too_large = False
            version = self._write_fact(self._name, body)
            if version is None:
                return
            self._discovery_version, self._version, self._schedule.list_changed = (
                self._discovery.version,
                version,
                False,
            )
        confirmed_at, self._unreported_at = self._unreported_at, None
        self.confirmations += 1
        if not self._report_confirmation(self._name, self._version, confirmed_at):
            # The newest version is another one, from an earlier run of this machine or from a machine that it has
            # compared with since. It is overwritten at the next call, before proxies miss this confirmation.
            self._schedule.list_changed, self._unreported_at = True, confirmed_at

    def counters(self) -> dict[str, int | str]:
        return {
            "relay list": f"endpoints/{self._name}",
            "relay version": str(self._version or "not yet written"),
            "relay discovery version": self._discovery_version or 0,
            "relay watch": "stands" if self._discovery.watched else "lost",
            "relay word age us": -1
            if self._last_confirmed_at is None
            else max(0, clock.now() - self._last_confirmed_at),
            "relay words": self.confirmations,
            "relay calls": self._discovery.metrics.calls,
        }
