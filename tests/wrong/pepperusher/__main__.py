"""`serve --config FILE`, wrong as the environment's WRONG says: "loses", "invents", "doubles", "twice",
"drains", "cold", "silent"; "" is a plain proxy that keeps the rules on a quiet day."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

import h11

WRONG = os.environ.get("WRONG", "")
TOLD = json.loads(Path(sys.argv[sys.argv.index("--config") + 1]).read_text())
HOST, PORT = TOLD["listen"].rsplit(":", 1)
SERVERS: dict[str, dict[str, object]] = {one["id"]: one for one in TOLD["known"]["servers"]}
turns = 0


async def receive(parser: h11.Connection, reader: asyncio.StreamReader) -> tuple[object, bytes] | None:
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
    """Goes by the list, unless it is wrong about drains."""
    reader, writer = await asyncio.open_connection(*TOLD["discovery"].rsplit(":", 1))
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
                for one in json.loads(line)["servers"]:
                    if one["state"] == "ready":
                        SERVERS[one["id"]] = one
                    elif WRONG != "drains":
                        SERVERS.pop(one["id"], None)


def choose() -> list[dict[str, object]]:
    global turns
    turns += 1
    those = sorted(SERVERS.values(), key=lambda one: str(one["id"]))
    if WRONG == "cold":
        return [max(those, key=lambda one: (one["started_ms"], one["id"]))]
    if WRONG == "twice":
        return [those[0], those[-1]]
    if WRONG == "overlaps":
        return [those[0], those[0]]
    return [those[turns % len(those)]]


async def send(server: dict[str, object], head: h11.Request, body: bytes) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(*str(server["addr"]).rsplit(":", 1))
    parser = h11.Connection(h11.CLIENT)
    try:
        sent = [parser.send(h11.Request(method=head.method, target=head.target, headers=head.headers))]
        if body:
            sent.append(parser.send(h11.Data(data=body)))
        writer.write(b"".join([*sent, parser.send(h11.EndOfMessage()) or b""]))  # type: ignore[list-item]
        got = await receive(parser, reader)
        return (got[0].status_code, got[1]) if got else (502, b"")  # type: ignore[attr-defined]
    finally:
        writer.close()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    parser = h11.Connection(h11.SERVER)
    try:
        while (got := await receive(parser, reader)) is not None:
            head, body = got
            status, text = 200, b"ready"
            if head.target != b"/ready":  # type: ignore[attr-defined]
                chosen = choose()
                if WRONG == "loses" and turns % 10 == 0:
                    await send(chosen[0], head, body)  # type: ignore[arg-type]
                    return
                if WRONG == "silent" and turns % 10 == 0:
                    await asyncio.sleep(60)
                if WRONG == "overlaps":
                    status, text = (await asyncio.gather(*(send(one, head, body) for one in chosen)))[-1]  # type: ignore
                else:
                    for one in chosen:
                        status, text = await send(one, head, body)  # type: ignore[arg-type]
                if WRONG == "invents" and turns % 10 == 0:
                    text = b"done as far as I know\n"
            answer = parser.send(h11.Response(status_code=status, headers=[(b"content-length", b"%d" % len(text))]))
            parts = [
                answer,
                parser.send(h11.Data(data=text)) if text else b"",
                parser.send(h11.EndOfMessage()),
            ]
            writer.write(b"".join(part for part in parts if part))
            if WRONG == "doubles" and turns % 10 == 0 and head.target != b"/ready":  # type: ignore[attr-defined]
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            parser.start_next_cycle()
    except (OSError, h11.ProtocolError):
        pass
    finally:
        writer.close()


async def main() -> None:
    server = await asyncio.start_server(serve, HOST, int(PORT))
    watching = asyncio.ensure_future(watch())
    async with server:
        await server.serve_forever()
    watching.cancel()


asyncio.run(main())
