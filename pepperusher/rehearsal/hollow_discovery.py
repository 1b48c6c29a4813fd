"""Discovery for scale tests: one process that every proxy watches, each by the view that it is given.

A view is a port of its own and a list of its own; one change reaches all whose view has the backend. Counted
are calls, lines and bytes, by view and by second. Run as `python -m pepperusher.rehearsal.hollow_discovery SPEC`,
under orders.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

from pepperusher.rehearsal.wire import clock
from pepperusher.rehearsal.worker import Orders

HOST = "127.0.2.1"
EMPTY_EVERY = 2.0
# The watches that are due are looked for so often.
LOOK_EVERY = 0.05
# Lines written before the loop has its turn: others are read meanwhile.
BATCH = 100
HEAD = 8 * 1024
BEGIN = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class View:
    """One list with its version, and who watches it."""

    def __init__(self, number: int, servers: dict[str, dict[str, Any]]) -> None:
        self.number = number
        self.servers = servers
        self.version = 1
        # What changed with each version, for those who ask for what came after theirs; the oldest are
        # dropped.
        self.changes: dict[int, list[dict[str, Any]]] = {}
        self.watches: set[Watch] = set()
        self.counts: Counter[str] = Counter()

    def line(self, after: int | None) -> bytes:
        rows: list[dict[str, Any]]
        if (
            after is None
            or after > self.version
            or any(one not in self.changes for one in range(after + 1, self.version + 1))
        ):
            rows, full = list(self.servers.values()), True
        else:
            rows, full = [row for one in range(after + 1, self.version + 1) for row in self.changes[one]], False
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode() + b"\n"


class Watch(asyncio.Protocol):
    """One connection of a proxy."""

    def __init__(self, view: View, listing: HollowDiscovery) -> None:
        self._view, self._listing = view, listing
        self._asked = b""
        self.due = 0.0
        self.transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._view.counts["calls"] += 1
        self._listing.count(calls=1)
        if self._listing.away:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self._view.counts["bytes in"] += len(data)
        self._asked += data
        if len(self._asked) > HEAD:
            self.transport.abort()
        elif b"\r\n\r\n" in self._asked:
            target = self._asked.split(b" ", 2)[1].decode("latin-1")
            self._asked = b""
            after = parse_qs(target.partition("?")[2]).get("after", [""])[0]
            self.transport.write(BEGIN)
            self.tell(self._view.line(int(after) if after.isdecimal() and after != "0" else None))
            self._view.watches.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._view.watches.discard(self)

    def tell(self, line: bytes) -> None:
        sent = b"%x\r\n%b\r\n" % (len(line), line)
        self.transport.write(sent)
        self.due = time.monotonic() + EMPTY_EVERY
        self._view.counts["lines" if len(line) > 1 else "empty lines"] += 1
        self._view.counts["bytes out"] += len(sent)
        self._listing.count(lines=1, out=len(sent))


class HollowDiscovery:
    def __init__(self, spec: dict[str, Any]) -> None:
        self.away = False
        self._seconds: dict[int, Counter[str]] = {}  # of the clock; emptied as they are asked for
        self.views = [
            View(number, {row["id"]: row for service in services for row in spec["services"][service]})
            for number, services in enumerate(spec["views"])
        ]
        self._servers: list[asyncio.Server] = []
        self._kept = int(spec.get("kept_changes", 1000))

    def count(self, **counts: int) -> None:
        self._seconds.setdefault(int(time.monotonic()), Counter()).update(counts)

    async def listen(self) -> list[list[Any]]:
        loop = asyncio.get_running_loop()
        for view in self.views:
            self._servers.append(await loop.create_server(partial(Watch, view, self), HOST, 0, backlog=4096))
        return [list(server.sockets[0].getsockname()) for server in self._servers]

    async def beat(self) -> None:
        """An empty line to whoever was told nothing for a while."""
        while True:
            await asyncio.sleep(LOOK_EVERY)
            now = time.monotonic()
            for number, watch in enumerate([one for view in self.views for one in view.watches if one.due <= now]):
                watch.tell(b"\n")
                if number % BATCH == BATCH - 1:
                    await asyncio.sleep(0)

    async def change(self, order: dict[str, Any]) -> dict[str, Any]:
        """Backends as they are now, for every view that has them; one that is gone leaves the list.
        `services` says whose a new one is, by the views' numbers in `views` where not all."""
        at = clock()
        rows: list[dict[str, Any]] = order["rows"]
        lines: list[tuple[View, bytes]] = []
        for view in self.views:
            mine = [row for row in rows if row["id"] in view.servers or view.number in row.get("new_in", ())]
            if not mine:
                continue
            mine = [{key: value for key, value in row.items() if key != "new_in"} for row in mine]
            view.version += 1
            view.changes[view.version] = mine
            view.changes.pop(view.version - self._kept, None)
            for row in mine:
                if row["state"] == "gone":
                    view.servers.pop(row["id"], None)
                else:
                    view.servers[row["id"]] = row
            lines.append((view, json.dumps({"version": view.version, "full": False, "servers": mine}).encode() + b"\n"))
        told = 0
        for view, line in lines:
            for watch in list(view.watches):
                watch.tell(line)
                told += 1
                if told % BATCH == 0:
                    await asyncio.sleep(0)
        return {"at": at, "told": told, "versions": {str(view.number): view.version for view, _ in lines}}

    async def versions(self, order: dict[str, Any]) -> dict[str, Any]:
        return {"versions": {str(view.number): view.version for view in self.views}}

    async def watches(self, order: dict[str, Any]) -> dict[str, Any]:
        return {
            "watches": [len(view.watches) for view in self.views],
            "empty": [view.counts["empty lines"] for view in self.views],
        }

    async def absent(self, order: dict[str, Any]) -> dict[str, Any]:
        """Away: what is open ends, and whoever calls is closed; or back."""
        self.away = bool(order["on"])
        if self.away:
            for view in self.views:
                for watch in list(view.watches):
                    watch.transport.abort()
        return {"away": self.away}

    async def counts(self, order: dict[str, Any]) -> dict[str, Any]:
        """Since the last time that it was asked."""
        seconds, self._seconds = self._seconds, {}
        views = []
        for view in self.views:
            views.append({**view.counts, "watches": len(view.watches), "servers": len(view.servers)})
            view.counts.clear()
        return {
            "seconds": {str(at): dict(one) for at, one in seconds.items()},
            "views": views,
            "processor": time.process_time(),
        }

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(listening=await self.listen())
        beat = asyncio.get_running_loop().create_task(self.beat())
        does = {
            "change": self.change,
            "versions": self.versions,
            "absent": self.absent,
            "counts": self.counts,
            "watches": self.watches,
        }
        while (order := await orders.next()) is not None:
            orders.say(did=order["do"], **await does[order["do"]](order))
        beat.cancel()


def main(arguments: Sequence[str]) -> None:
    asyncio.run(HollowDiscovery(json.loads(Path(arguments[0]).read_text())).run())


if __name__ == "__main__":
    main(sys.argv[1:])
