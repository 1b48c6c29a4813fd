"""A process of stand-in services and stand-in discovery servers: `python -m pepperusher.capacity.standins`.

It reads orders as lines of JSON from its standard input and answers each with a line on its standard output: `open`
services, set where each service `forwards` calls, or start a `discovery`. A service that does not forward answers
immediately. The process ends at the end of its standard input.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

from pepperusher.capacity.watch_costs import StandInDiscovery

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
FAILURE = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
HEADERS_END = b"\r\n\r\n"


class NextHopConnection(asyncio.Protocol):
    """A connection to the next hop, for one request at a time."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._caller: CallerConnection | None = None
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def send(self, caller: CallerConnection, head: bytes) -> None:
        """Sends a request for a caller."""
        self._caller, self._buffer = caller, b""
        self._transport.write(head)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, end, body = self._buffer.partition(HEADERS_END)
        if not end:
            return
        fields = head.lower().split(b"\r\n")
        length = next((int(field[15:]) for field in fields if field.startswith(b"content-length:")), 0)
        if len(body) < length:
            return
        caller, self._caller = self._caller, None
        if b"connection: close" in fields:
            self._transport.close()
        else:
            self._service.idle_connections.append(self)
        if caller is not None:
            caller.answer(ANSWER if head[9:12] == b"200" else FAILURE)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._service.idle_connections:
            self._service.idle_connections.remove(self)
        if self._caller is not None:
            self._caller.answer(FAILURE)
            self._caller = None


class Service:
    """A service that answers calls itself or forwards them to its next hop."""

    def __init__(self) -> None:
        self.next_hop: tuple[str, int] | None = None
        self.idle_connections: list[NextHopConnection] = []  # a connection is removed when it is used or closed

    async def open(self) -> int:
        """Starts to listen; returns the port."""
        server = await asyncio.get_running_loop().create_server(
            lambda: CallerConnection(self), "127.0.0.1", 0, backlog=1024
        )
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def forward(self, caller: CallerConnection, head: bytes) -> None:
        """Forwards a request to the next hop, on a new connection if none is idle."""
        assert self.next_hop is not None
        if self.idle_connections:
            self.idle_connections.pop().send(caller, head)
            return
        try:
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: NextHopConnection(self), *self.next_hop
            )
        except OSError:
            caller.answer(FAILURE)
            return
        connection.send(caller, head)


class CallerConnection(asyncio.Protocol):
    """A connection of a caller, with one request at a time and without bodies."""

    def __init__(self, service: Service) -> None:
        self._service = service
        self._buffer = b""
        self._tasks: set[asyncio.Task[None]] = set()  # each task removes itself when it ends

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, end, rest = self._buffer.partition(HEADERS_END)
        if not end:
            return
        self._buffer = rest
        if self._service.next_hop is None:
            self._transport.write(ANSWER)
        elif self._service.idle_connections:
            self._service.idle_connections.pop().send(self, head + end)
        else:
            task = asyncio.get_running_loop().create_task(self._service.forward(self, head + end))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def answer(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)


class StandIns:
    """Executes the orders from standard input."""

    def __init__(self) -> None:
        self._services: list[Service] = []
        self._changing: list[asyncio.Task[None]] = []
        self._discoveries: list[StandInDiscovery] = []

    async def execute(self, order: dict[str, Any]) -> dict[str, Any]:
        """Executes an order and returns the answer."""
        if order["do"] == "open":
            services = [Service() for _ in range(order["services"])]
            self._services += services
            return {"ports": [await service.open() for service in services]}
        if order["do"] == "forwards":
            for service, address in zip(self._services, order["to"]):
                service.next_hop = None if address is None else (address[0], address[1])
                service.idle_connections.clear()
            return {}
        discovery = StandInDiscovery(order["entries"], order["address"])
        await discovery.open()
        self._discoveries.append(discovery)
        if order["changes"] > 0:
            self._changing.append(asyncio.create_task(_changes(discovery, order["entries"], order["changes"])))
        return {"port": discovery.port}


async def _changes(discovery: StandInDiscovery, entries: int, rate: float) -> None:
    """Drains each backend in turn and makes it ready again, with `rate` changes a second in total."""
    number = 0
    while True:
        for _ in range(2):
            await asyncio.sleep(1.0 / rate)
            discovery.change(number % entries)
        number += 1


async def main() -> None:
    """Executes orders until the end of standard input."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    stand_ins = StandIns()
    while line := await reader.readline():
        print(json.dumps(await stand_ins.execute(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
