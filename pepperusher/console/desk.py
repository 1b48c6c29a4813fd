"""Joins the console with the proxy: what operators call is put in force here, and what is in force is kept."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pepperusher.console import words
from pepperusher.console.door import PLACES, Door
from pepperusher.console.orders import Orders
from pepperusher.net import clock
from pepperusher.net.log import Log
from pepperusher.net.message import Answer, plain
from pepperusher.terms import Ground

if TYPE_CHECKING:
    from pepperusher.net.proxy import Proxy

# A lifted ban is remembered for so long at the least.
KEPT = 60_000_000


class Desk:
    # Its listener, and a connection that just lost its place beside each one.
    descriptors = 1 + 2 * PLACES

    def __init__(self, address: tuple[str, int], ground: Ground, log: Log) -> None:
        self._address = address
        self._log = log
        self.orders = Orders(max(KEPT, ground.warm_after))
        self._door = Door(self.answer, log)
        self._proxy: Proxy
        self.port = 0

    async def start(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self.port = await self._door.listen(self._address)
        self._log.say(f"console at {self._address[0]}:{self.port}")

    def stop(self) -> None:
        self._door.close()

    def sweep(self) -> None:
        self.orders.forget(clock.now())

    def answer(self, method: bytes, target: bytes) -> Answer:
        try:
            word = words.word_of(method, target)
        except words.BadWords as bad:
            return plain(bad.status, str(bad))
        if word.what == words.READY:
            return plain(200, "ready") if self._proxy.can_serve else plain(503, "no backends known yet, or about to stop")
        if word.what in (words.DRAIN, words.RESUME):
            on = word.what == words.DRAIN
            self.orders.send_away(on, clock.now())
            self._proxy.send_away(on)
            return plain(200, "clients are sent away" if on else "clients may come")
        on, backend = word.what == words.BAN, word.backend
        if not self._proxy.knows(backend) and not self.orders.banned(backend):
            return plain(404, "no backend has this id")
        if self.orders.banned(backend) != on:
            self._log.say(f"{backend} {'banned' if on else 'put back'} at the console")
        self._proxy.put(self.orders.ban(backend, on, clock.now()))
        return plain(200, "banned" if on else "in use")
