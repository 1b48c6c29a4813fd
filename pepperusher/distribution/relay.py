"""A control machine's watch of discovery: what discovery tells becomes a fact, and each word of the watch a word of
how old that is.

Loaded only where the control machine's file names discovery. Reading and watching are a proxy's
(`net.discovery`); what stands in here for a proxy's decisions only says when to ask again.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from random import Random

from pepperusher.distribution.messages import LONGEST_BODY, Version
from pepperusher.endpoint import Endpoint
from pepperusher.net import clock
from pepperusher.net.discovery import Discovery
from pepperusher.net.log import Log

# After a call that failed: few ask in this way, their proxies are told by them, and while these are not, each of them
# may ask too: at a discovery that turns most calls away the few have to come in among thousands. Doubled up to the
# most, and drawn from the half of it to all.
PAUSE_LEAST = 50_000
PAUSE_MOST = 100_000


class _Asking:
    """In the place of a proxy's decisions: when discovery is asked again."""

    def __init__(self, chance: Random) -> None:
        self._chance = chance
        self._pause, self._ask_at = 0, 0
        self.told = False  # since the start
        self.changed = False  # since it was written last

    def update_endpoints(self, entries: Iterable[Endpoint], whole: bool, now: int) -> None:
        if whole or any(True for _ in entries):
            self.told = self.changed = True
        self._pause = 0

    def endpoint_request_failed(self, now: int) -> None:
        self._pause = min(PAUSE_MOST, 2 * self._pause or PAUSE_LEAST)
        self._ask_at = now + self._chance.randrange(self._pause // 2, self._pause + 1)

    def endpoint_request_delay(self, now: int) -> int:
        return max(0, self._ask_at - now)


class _NoBackends:
    """Nobody here connects to those listed."""

    def reached_at(self, name: str, address: tuple[str, int], ready: bool) -> None:
        pass

    def only(self, names: set[str]) -> None:
        pass


class _Lines(Log):
    """Discovery's lines among the machine's own, held to their rate."""

    def __init__(self, say: Callable[..., None]) -> None:
        super().__init__("")
        self._tell = say

    def say(self, line: str, figures: dict[str, object] | None = None) -> None:
        self._tell("discovery", said=line, **(figures or {}))


class Relay:
    """`write` makes a body the newest of the fact and gives its version, None where that can't be now; `word` says
    that discovery spoke at this time, and then this version was all that it had told; False where that is no longer
    the newest.
    """

    def __init__(
        self,
        address: tuple[str, int],
        name: str,
        write: Callable[[str, bytes], Version | None],
        word: Callable[[str, Version, int], bool],
        say: Callable[..., None],
        seed: int,
    ) -> None:
        self._name, self._write, self._word, self._say = name, write, word, say
        self._asking = _Asking(Random(seed))
        self._discovery = Discovery(address, self._asking, _NoBackends(), _Lines(say), (), seed)
        self._discovery.on_word = self._discovery_confirmed
        self._spoke_at: int | None = None  # and it has not been said yet
        self._last_at: int | None = None
        self._coming = False
        self._number: int | None = None  # discovery's, of the list that is written
        self._version: Version | None = None
        self._too_long = False
        self.words = 0

    def start(self) -> None:
        self._discovery.start()

    def stop(self) -> None:
        self._discovery.stop()

    def _discovery_confirmed(self) -> None:
        """Lines that come in one turn of the loop make one version."""
        self._spoke_at = self._last_at = clock.now()
        if not self._coming:
            self._coming = True
            asyncio.get_running_loop().call_soon(self.publish_pending)

    def publish_pending(self) -> None:
        """Also now and then: what could not be written is tried again."""
        self._coming = False
        if self._spoke_at is None or not self._asking.told:
            return
        if self._version is None or self._asking.changed or self._number != self._discovery.version:
            listed = self._discovery.listed()
            body = json.dumps({**(listed or {}), "discovery": self._discovery.source}).encode()
            if len(body) > LONGEST_BODY:
                if not self._too_long:
                    self._say("the list is too long to be handed on", bytes=len(body), most=LONGEST_BODY)
                self._too_long = True
                return
            self._too_long = False
            version = self._write(self._name, body)
            if version is None:
                return
            self._number, self._version, self._asking.changed = self._discovery.version, version, False
        spoke_at, self._spoke_at = self._spoke_at, None
        self.words += 1
        if not self._word(self._name, self._version, spoke_at):
            # Another's is in its place, of this machine's life before or of one that it was compared with since: written
            # over at the next look, before proxies hold this word for missing.
            self._asking.changed, self._spoke_at = True, spoke_at

    def figures(self) -> dict[str, int | str]:
        return {
            "relay list": f"endpoints/{self._name}",
            "relay version": str(self._version or "not yet written"),
            "relay discovery version": self._number or 0,
            "relay watch": "stands" if self._discovery.watched else "lost",
            "relay word age us": -1 if self._last_at is None else max(0, clock.now() - self._last_at),
            "relay words": self.words,
            "relay calls": self._discovery.metrics.calls,
        }
