"""The links to the members of a group in one zone, or to all of a small group: what others send them passes
through here.

A member is told to others by the address of its front here (`rehearsal.links`). Who stands together is one
side: links are cut and shaped between sides. Run as `python -m
pepperusher.rehearsal.hollow_group_links SEED HOST`, under orders.
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
    def __init__(self, seed: int, host: str) -> None:
        self._links = Links(host, Random(seed))

    async def open(self, order: dict[str, Any]) -> dict[str, Any]:
        """Fronts by name, and where those named listen; `side` is theirs."""
        fronts = {}
        for name, address in order["at"].items():
            fronts[name] = await self._links.open(name, order["side"])
            self._links.stands(name, tuple(address))
        return {"fronts": fronts}

    async def senders(self, order: dict[str, Any]) -> dict[str, Any]:
        """Hosts of those whose fronts are elsewhere, by side."""
        for host, side in order["hosts"].items():
            self._links.sends_from(host, side)
        return {}

    async def shape(self, order: dict[str, Any]) -> dict[str, Any]:
        """From these sides to those."""
        manner = LinkProperties(
            lost=order.get("lost", 0.0), delay=order.get("delay", 0.0), jitter=order.get("jitter", 0.0)
        )
        self._links.shape(manner, order["senders"], order["receivers"])
        return {}

    async def cut(self, order: dict[str, Any]) -> dict[str, Any]:
        """Between these sides and those, both ways."""
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
        does = {
            "open": self.open,
            "senders": self.senders,
            "shape": self.shape,
            "cut": self.cut,
            "heal": self.heal,
            "counts": self.counts,
        }
        while (order := await orders.next()) is not None:
            orders.say(did=order["do"], **await does[order["do"]](order))
        self._links.close()


def main(arguments: Sequence[str]) -> None:
    asyncio.run(GroupLinks(int(arguments[0]), arguments[1]).run())


if __name__ == "__main__":
    main(sys.argv[1:])
