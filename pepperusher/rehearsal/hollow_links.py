"""The links of one zone to everything that control has elsewhere: a process between its proxies and the rest.

Whoever is in the zone is told the address of a front here in place of the real one (`rehearsal.links`). Run
as `python -m pepperusher.rehearsal.hollow_links SEED`, under orders.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from random import Random
from typing import Any

from pepperusher.rehearsal.links import Links, LinkProperties
from pepperusher.rehearsal.worker import Orders

# Whoever connects from the zone: it has no front of its own here.
ZONE = ""


class Zone:
    def __init__(self, seed: int) -> None:
        self._links = Links("127.0.0.1", Random(seed))

    async def open(self, order: dict[str, Any]) -> dict[str, Any]:
        return {"fronts": {name: await self._links.open(name) for name in order["names"]}}

    async def stands(self, order: dict[str, Any]) -> dict[str, Any]:
        for name, address in order["at"].items():
            self._links.stands(name, tuple(address))
        return {}

    async def shape(self, order: dict[str, Any]) -> dict[str, Any]:
        """Both ways, to those named."""
        manner = LinkProperties(
            delay=order.get("delay", 0.0),
            lost=order.get("lost", 0.0),
            jitter=order.get("jitter", 0.0),
            rate=order.get("rate", 0.0),
        )
        self._links.shape(manner, [ZONE], order["names"])
        self._links.shape(manner, order["names"], [ZONE])
        return {}

    async def cut(self, order: dict[str, Any]) -> dict[str, Any]:
        """Both ways, or what the zone hears (`in`) or says (`out`) alone."""
        if order.get("way", "both") in ("both", "out"):
            self._links.cut([ZONE], order["names"])
        if order.get("way", "both") in ("both", "in"):
            self._links.cut(order["names"], [ZONE])
        return {}

    async def heal(self, order: dict[str, Any]) -> dict[str, Any]:
        self._links.heal()
        return {}

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(standing=True)
        does = {
            "open": self.open,
            "stands": self.stands,
            "shape": self.shape,
            "cut": self.cut,
            "heal": self.heal,
        }
        while (order := await orders.next()) is not None:
            orders.say(did=order["do"], **await does[order["do"]](order))
        self._links.close()


def main(arguments: Sequence[str]) -> None:
    asyncio.run(Zone(int(arguments[0])).run())


if __name__ == "__main__":
    main(sys.argv[1:])
