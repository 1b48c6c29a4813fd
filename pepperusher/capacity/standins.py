"""A process of stand-in services, and of a stand-in discovery: `python -m pepperusher.capacity.standins`.

Told by one line of JSON on its standard input after another, it answers each with one on its standard
output: `open` services, then where each `forwards`. A service that forwards nowhere answers at once. It ends
with its standard input.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from pepperusher.capacity.watch_costs import StandIn

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
FAILED = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
END = b"\r\n\r\n"


class Onward(asyncio.Protocol):
    """A connection to the next, for one request at a time."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._of: Served | None = None
        self._held = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def ask(self, of: Served, head: bytes) -> None:
        self._of, self._held = of, b""
        self._transport.write(head)

    def data_received(self, data: bytes) -> None:
        self._held += data
        head, end, body = self._held.partition(END)
        if not end:
            return
        fields = head.lower().split(b"\r\n")
        length = next((int(one[15:]) for one in fields if one.startswith(b"content-length:")), 0)
        if len(body) < length:
            return
        of, self._of = self._of, None
        if b"connection: close" in fields:
            self._transport.close()
        else:
            self._service.idle.append(self)
        if of is not None:
            of.answer(ANSWER if head[9:12] == b"200" else FAILED)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._service.idle:
            self._service.idle.remove(self)
        if self._of is not None:
            self._of.answer(FAILED)
            self._of = None


class Service:
    def __init__(self) -> None:
        self.next: tuple[str, int] | None = None
        self.idle: list[Onward] = []  # emptied by use, and as they are closed

    async def open(self) -> int:
        server = await asyncio.get_running_loop().create_server(lambda: Served(self), "127.0.0.1", 0, backlog=1024)
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def forward(self, of: Served, head: bytes) -> None:
        assert self.next is not None
        if self.idle:
            self.idle.pop().ask(of, head)
            return
        try:
            _, line = await asyncio.get_running_loop().create_connection(lambda: Onward(self), *self.next)
        except OSError:
            of.answer(FAILED)
            return
        line.ask(of, head)


class Served(asyncio.Protocol):
    """A connection of a caller, with one request at a time and no bodies."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._held = b""
        self._tasks: set[asyncio.Task[None]] = set()  # emptied as they end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._held += data
        head, end, rest = self._held.partition(END)
        if not end:
            return
        self._held = rest
        if self._service.next is None:
            self._transport.write(ANSWER)
        elif self._service.idle:
            self._service.idle.pop().ask(self, head + end)
        else:
            task = asyncio.get_running_loop().create_task(self._service.forward(self, head + end))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def answer(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


class Stage:
    def __init__(self) -> None:
        self._services: list[Service] = []
        self._changing: list[asyncio.Task[None]] = []
        self._discoveries: list[StandIn] = []

    async def do(self, order: dict[str, Any]) -> dict[str, Any]:
        if order["do"] == "open":
            made = [Service() for _ in range(order["services"])]
            self._services += made
            return {"ports": [await one.open() for one in made]}
        if order["do"] == "forwards":
            for service, address in zip(self._services, order["to"]):
                service.next = None if address is None else (address[0], address[1])
                service.idle.clear()
            return {}
        discovery = StandIn(order["entries"], order["address"])
        await discovery.open()
        self._discoveries.append(discovery)
        if order["changes"] > 0:
            self._changing.append(asyncio.create_task(_changes(discovery, order["entries"], order["changes"])))
        return {"port": discovery.port}


async def _changes(discovery: StandIn, entries: int, rate: float) -> None:
    """Backend by backend drains and is ready again, so many changes a second in all."""
    number = 0
    while True:
        for _ in range(2):
            await asyncio.sleep(1.0 / rate)
            discovery.change(number % entries)
        number += 1


async def main() -> None:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    stage = Stage()
    while line := await reader.readline():
        print(json.dumps(await stage.do(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
