"""`serve --config FILE`: a proxy with the fault that the environment variable WRONG names.

- "loses": forwards every tenth ticket and closes the caller's connection without an answer
- "invents": answers every tenth ticket with a body that no backend sent
- "doubles": sends a second response to every tenth ticket
- "twice": sends each ticket to two backends, one after the other
- "overlaps": sends each ticket twice to the same backend at the same time
- "drains": keeps sending tickets to backends that drain or have been removed
- "cold": sends all tickets to the backend that was started last
- "silent": delays the answer to every tenth ticket by 60 s
- "": no fault: a round-robin proxy that passes the checks when no faults are injected
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

import h11

WRONG = os.environ.get("WRONG", "")
CONFIG = json.loads(Path(sys.argv[sys.argv.index("--config") + 1]).read_text())
HOST, PORT = CONFIG["listen"].rsplit(":", 1)
BACKENDS: dict[str, dict[str, object]] = {backend["id"]: backend for backend in CONFIG["known"]["servers"]}
ticket_count = 0


async def receive(parser: h11.Connection, reader: asyncio.StreamReader) -> tuple[object, bytes] | None:
    """Returns the head and the body of the next message, or None when the connection has ended."""
    head, body = None, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await reader.read(65536))
        elif isinstance(event, (h11.Request, h11.Response)):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        else:
            return None


async def watch() -> None:
    """Updates BACKENDS from the discovery service. With the fault "drains" no backend is removed."""
    reader, writer = await asyncio.open_connection(*CONFIG["discovery"].rsplit(":", 1))
    writer.write(b"GET /v1/endpoints?watch=1 HTTP/1.1\r\nHost: d\r\n\r\n")
    parser, text = h11.Connection(h11.CLIENT), b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(65536)
            if not data:
                return
            parser.receive_data(data)
        elif isinstance(event, h11.Data):
            *lines, text = (text + bytes(event.data)).split(b"\n")
            for line in filter(None, lines):
                for backend in json.loads(line)["servers"]:
                    if backend["state"] == "ready":
                        BACKENDS[backend["id"]] = backend
                    elif WRONG != "drains":
                        BACKENDS.pop(backend["id"], None)


def choose() -> list[dict[str, object]]:
    """Returns the backends to which a ticket is sent: the next in round-robin order, or as the fault requires."""
    global ticket_count
    ticket_count += 1
    backends = sorted(BACKENDS.values(), key=lambda backend: str(backend["id"]))
    if WRONG == "cold":
        return [max(backends, key=lambda backend: (backend["started_ms"], backend["id"]))]
    if WRONG == "twice":
        return [backends[0], backends[-1]]
    if WRONG == "overlaps":
        return [backends[0], backends[0]]
    return [backends[ticket_count % len(backends)]]


async def send(backend: dict[str, object], head: h11.Request, body: bytes) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(*str(backend["addr"]).rsplit(":", 1))
    parser = h11.Connection(h11.CLIENT)
    try:
        request = [parser.send(h11.Request(method=head.method, target=head.target, headers=head.headers))]
        if body:
            request.append(parser.send(h11.Data(data=body)))
        writer.write(b"".join([*request, parser.send(h11.EndOfMessage()) or b""]))  # type: ignore[list-item]
        response = await receive(parser, reader)
        return (response[0].status_code, response[1]) if response else (502, b"")  # type: ignore[attr-defined]
    finally:
        writer.close()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    parser = h11.Connection(h11.SERVER)
    try:
        while (message := await receive(parser, reader)) is not None:
            head, body = message
            status, text = 200, b"ready"
            if head.target != b"/ready":  # type: ignore[attr-defined]
                chosen = choose()
                if WRONG == "loses" and ticket_count % 10 == 0:
                    await send(chosen[0], head, body)  # type: ignore[arg-type]
                    return
                if WRONG == "silent" and ticket_count % 10 == 0:
                    await asyncio.sleep(60)
                if WRONG == "overlaps":
                    status, text = (await asyncio.gather(*(send(backend, head, body) for backend in chosen)))[-1]  # type: ignore
                else:
                    for backend in chosen:
                        status, text = await send(backend, head, body)  # type: ignore[arg-type]
                if WRONG == "invents" and ticket_count % 10 == 0:
                    text = b"done as far as I know\n"
            response = parser.send(h11.Response(status_code=status, headers=[(b"content-length", b"%d" % len(text))]))
            parts = [
                response,
                parser.send(h11.Data(data=text)) if text else b"",
                parser.send(h11.EndOfMessage()),
            ]
            writer.write(b"".join(part for part in parts if part))
            if WRONG == "doubles" and ticket_count % 10 == 0 and head.target != b"/ready":  # type: ignore[attr-defined]
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            parser.start_next_cycle()
    except (OSError, h11.ProtocolError):
        pass
    finally:
        writer.close()


async def main() -> None:
    server = await asyncio.start_server(serve, HOST, int(PORT))
    watch_task = asyncio.ensure_future(watch())
    async with server:
        await server.serve_forever()
    watch_task.cancel()


asyncio.run(main())
