"""Relays the traffic between the processes of one zone and the control plane, with network faults.

Each process in the zone connects to a relay address of this process instead of the real address
(`rehearsal.links`). Runs as `python -m pepperusher.rehearsal.hollow_links SEED` and takes orders as
`rehearsal.worker` describes.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from random import Random
from typing import Any

from pepperusher.rehearsal.links import Links, LinkProperties
from pepperusher.rehearsal.worker import Orders

# Link name of every client in the zone; clients have no relay address of their own.
CLIENTS = ""


class Zone:
    """The relays of one zone; each public method handles the order of its name."""

    def __init__(self, seed: int) -> None:
        self._links = Links("127.0.0.1", Random(seed))

    async def open(self, order: dict[str, Any]) -> dict[str, Any]:
        return {"fronts": {name: await self._links.open(name) for name in order["names"]}}

    async def stands(self, order: dict[str, Any]) -> dict[str, Any]:
        for name, address in order["at"].items():
            self._links.stands(name, tuple(address))
        return {}

    async def shape(self, order: dict[str, Any]) -> dict[str, Any]:
        """Sets the properties of the links to the named destinations, in both directions."""
        properties = LinkProperties(
            delay=order.get("delay", 0.0),
            lost=order.get("lost", 0.0),
            jitter=order.get("jitter", 0.0),
            rate=order.get("rate", 0.0),
        )
        self._links.shape(properties, [CLIENTS], order["names"])
        self._links.shape(properties, order["names"], [CLIENTS])
        return {}

    async def cut(self, order: dict[str, Any]) -> dict[str, Any]:
        """Cuts the links to the named destinations: in both directions, or only the traffic into the zone (`in`) or
        out of it (`out`).
        """
        if order.get("way", "both") in ("both", "out"):
            self._links.cut([CLIENTS], order["names"])
        if order.get("way", "both") in ("both", "in"):
            self._links.cut(order["names"], [CLIENTS])
        return {}

    async def heal(self, order: dict[str, Any]) -> dict[str, Any]:
        self._links.heal()
        return {}

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(standing=True)
        handlers = {
            "open": self.open,
            "stands": self.stands,
            "shape": self.shape,
            "cut": self.cut,
            "heal": self.heal,
        }
        while (order := await orders.next()) is not None:
            orders.say(did=order["do"], **await handlers[order["do"]](order))
        self._links.close()


def main(arguments: Sequence[str]) -> None:
    asyncio.run(Zone(int(arguments[0])).run())


if __name__ == "__main__":
    main(sys.argv[1:])
