"""Discovery for scale tests: one process that every proxy watches.

Each view has its own port and endpoint list; a change of a backend is sent to the watchers of every view that
contains it. Calls, lines and bytes are counted by view and by second. Runs as
`python -m pepperusher.rehearsal.hollow_discovery SPEC` and takes orders as `rehearsal.worker` describes.
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
EMPTY_INTERVAL_S = 2.0
# Interval of the search for watches that need a keepalive line.
POLL_INTERVAL_S = 0.05
# Lines written before the event loop runs again, so that it also reads from other connections.
LINES_PER_TURN = 100
MAX_HEAD_BYTES = 8 * 1024
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class View:
    """One endpoint list with its version and its watches."""

    def __init__(self, number: int, servers: dict[str, dict[str, Any]]) -> None:
        self.number = number
        self.servers = servers
        self.version = 1
        # The changes of each recent version, for clients that ask for everything after their version. Older
        # changes are dropped.
        self.changes: dict[int, list[dict[str, Any]]] = {}
        self.watches: set[Watch] = set()
        self.counts: Counter[str] = Counter()

    def line(self, after: int | None) -> bytes:
        rows: list[dict[str, Any]]
        if (
            after is None
            or after > self.version
            or any(version not in self.changes for version in range(after + 1, self.version + 1))
        ):
            rows, full = list(self.servers.values()), True
        else:
            rows, full = [row for version in range(after + 1, self.version + 1) for row in self.changes[version]], False
        return json.dumps({"version": self.version, "full": full, "servers": rows}).encode() + b"\n"


class Watch(asyncio.Protocol):
    """The server side of one watch connection of a proxy."""

    def __init__(self, view: View, discovery: HollowDiscovery) -> None:
        self._view, self._discovery = view, discovery
        self._request_head = b""
        self.keepalive_due_at = 0.0
        self.transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._view.counts["calls"] += 1
        self._discovery.count(calls=1)
        if self._discovery.away:
            transport.abort()

    def data_received(self, data: bytes) -> None:
        self._view.counts["bytes in"] += len(data)
        self._request_head += data
        if len(self._request_head) > MAX_HEAD_BYTES:
            self.transport.abort()
        elif b"\r\n\r\n" in self._request_head:
            target = self._request_head.split(b" ", 2)[1].decode("latin-1")
            self._request_head = b""
            after = parse_qs(target.partition("?")[2]).get("after", [""])[0]
            self.transport.write(RESPONSE_HEAD)
            self.send_line(self._view.line(int(after) if after.isdecimal() and after != "0" else None))
            self._view.watches.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._view.watches.discard(self)

    def send_line(self, line: bytes) -> None:
        chunk = b"%x\r\n%b\r\n" % (len(line), line)
        self.transport.write(chunk)
        self.keepalive_due_at = time.monotonic() + EMPTY_INTERVAL_S
        self._view.counts["lines" if len(line) > 1 else "empty lines"] += 1
        self._view.counts["bytes out"] += len(chunk)
        self._discovery.count(lines=1, out=len(chunk))


class HollowDiscovery:
    def __init__(self, spec: dict[str, Any]) -> None:
        self.away = False
        self._counts_by_second: dict[
            int, Counter[str]
        ] = {}  # counters by second of the monotonic clock; cleared by each report
        self.views = [
            View(number, {row["id"]: row for service in services for row in spec["services"][service]})
            for number, services in enumerate(spec["views"])
        ]
        self._servers: list[asyncio.Server] = []
        self._max_changes = int(spec.get("kept_changes", 1000))

    def count(self, **counts: int) -> None:
        self._counts_by_second.setdefault(int(time.monotonic()), Counter()).update(counts)

    async def listen(self) -> list[list[Any]]:
        loop = asyncio.get_running_loop()
        for view in self.views:
            self._servers.append(await loop.create_server(partial(Watch, view, self), HOST, 0, backlog=4096))
        return [list(server.sockets[0].getsockname()) for server in self._servers]

    async def send_keepalives(self) -> None:
        """Sends an empty keepalive line to each watch that received nothing for EMPTY_INTERVAL_S."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
            for number, watch in enumerate(
                [watch for view in self.views for watch in view.watches if watch.keepalive_due_at <= now]
            ):
                watch.send_line(b"\n")
                if number % LINES_PER_TURN == LINES_PER_TURN - 1:
                    await asyncio.sleep(0)

    async def change(self, order: dict[str, Any]) -> dict[str, Any]:
        """Applies new states of backends to every view that contains them; a backend in state "gone" is removed.
        `new_in` of a row lists the views to which a new backend is added.
        """
        at = clock()
        rows: list[dict[str, Any]] = order["rows"]
        lines: list[tuple[View, bytes]] = []
        for view in self.views:
            changed = [row for row in rows if row["id"] in view.servers or view.number in row.get("new_in", ())]
            if not changed:
                continue
            changed = [{key: value for key, value in row.items() if key != "new_in"} for row in changed]
            view.version += 1
            view.changes[view.version] = changed
            view.changes.pop(view.version - self._max_changes, None)
            for row in changed:
                if row["state"] == "gone":
                    view.servers.pop(row["id"], None)
                else:
                    view.servers[row["id"]] = row
            lines.append(
                (view, json.dumps({"version": view.version, "full": False, "servers": changed}).encode() + b"\n")
            )
        sent_count = 0
        for view, line in lines:
            for watch in list(view.watches):
                watch.send_line(line)
                sent_count += 1
                if sent_count % LINES_PER_TURN == 0:
                    await asyncio.sleep(0)
        return {"at": at, "told": sent_count, "versions": {str(view.number): view.version for view, _ in lines}}

    async def versions(self, order: dict[str, Any]) -> dict[str, Any]:
        return {"versions": {str(view.number): view.version for view in self.views}}

    async def watches(self, order: dict[str, Any]) -> dict[str, Any]:
        return {
            "watches": [len(view.watches) for view in self.views],
            "empty": [view.counts["empty lines"] for view in self.views],
        }

    async def absent(self, order: dict[str, Any]) -> dict[str, Any]:
        """Makes discovery unavailable (closes open watches and rejects new calls) or available again."""
        self.away = bool(order["on"])
        if self.away:
            for view in self.views:
                for watch in list(view.watches):
                    watch.transport.abort()
        return {"away": self.away}

    async def counts(self, order: dict[str, Any]) -> dict[str, Any]:
        """Reports the counters since the last report."""
        counts_by_second, self._counts_by_second = self._counts_by_second, {}
        views = []
        for view in self.views:
            views.append({**view.counts, "watches": len(view.watches), "servers": len(view.servers)})
            view.counts.clear()
        return {
            "seconds": {str(second): dict(counts) for second, counts in counts_by_second.items()},
            "views": views,
            "processor": time.process_time(),
        }

    async def run(self) -> None:
        orders = await Orders.open()
        orders.say(listening=await self.listen())
        keepalives = asyncio.get_running_loop().create_task(self.send_keepalives())
        handlers = {
            "change": self.change,
            "versions": self.versions,
            "absent": self.absent,
            "counts": self.counts,
            "watches": self.watches,
        }
        while (order := await orders.next()) is not None:
            orders.say(did=order["do"], **await handlers[order["do"]](order))
        keepalives.cancel()


def main(arguments: Sequence[str]) -> None:
    asyncio.run(HollowDiscovery(json.loads(Path(arguments[0]).read_text())).run())


if __name__ == "__main__":
    main(sys.argv[1:])
