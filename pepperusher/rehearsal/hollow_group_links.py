"""Relays the traffic to the group members of one zone, or to all members of a small group, with network faults.

Members advertise their relay addresses of this process (`rehearsal.links`). The members at one place form a side;
links are cut and shaped between sides. Runs as `python -m pepperusher.rehearsal.hollow_group_links SEED HOST` and
takes orders as `rehearsal.worker` describes.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Sequence
from random import Random
from typing import Any

from pepperusher.rehearsal.links import Links, LinkProperties
from pepperusher.rehearsal.worker import Orders


class GroupLinks:
    """The relays of one zone; each public method handles the order of its name."""

    def __init__(self, seed: int, host: str) -> None:
        self._links = Links(host, Random(seed))

    async def open(self, order: dict[str, Any]) -> dict[str, Any]:
        """Opens a relay address for each member on `side` and forwards it to the listen address of the member."""
        relay_addresses = {}
        for name, address in order["at"].items():
            relay_addresses[name] = await self._links.open(name, order["side"])
            self._links.stands(name, tuple(address))
        return {"fronts": relay_addresses}

    async def senders(self, order: dict[str, Any]) -> dict[str, Any]:
        """Sets the sides of the hosts of members whose relay addresses belong to other processes."""
        for host, side in order["hosts"].items():
            self._links.sends_from(host, side)
        return {}

    async def shape(self, order: dict[str, Any]) -> dict[str, Any]:
        """Sets the properties of the links from the sides `senders` to the sides `receivers`."""
        properties = LinkProperties(
            lost=order.get("lost", 0.0), delay=order.get("delay", 0.0), jitter=order.get("jitter", 0.0)
        )
        self._links.shape(properties, order["senders"], order["receivers"])
        return {}

    async def cut(self, order: dict[str, Any]) -> dict[str, Any]:
        """Cuts the links between `sides` and `others` in both directions."""
        self._links.part((order["sides"], order["others"]))
        return {}

    async def heal(self, order: dict[str, Any]) -> dict[str, Any]:
        self._links.heal()
        return {}

    async def counts(self, order: dict[str, Any]) -> dict[str, Any]:
        return {"counts": self._links.counts}

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(standing=True)
        handlers = {
            "open": self.open,
            "senders": self.senders,
            "shape": self.shape,
            "cut": self.cut,
            "heal": self.heal,
            "counts": self.counts,
        }
        while (order := await orders.next()) is not None:
            orders.say(did=order["do"], **await handlers[order["do"]](order))
        self._links.close()


def main(arguments: Sequence[str]) -> None:
    asyncio.run(GroupLinks(int(arguments[0]), arguments[1]).run())


if __name__ == "__main__":
    main(sys.argv[1:])
