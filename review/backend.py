"""A backend that is a process of its own, so that a case can stop and continue it (a backend that hangs).

It listens at a free port, which it prints, and prints a line for each request whose head came and for each that came
whole. A request whose path has `?answer=N` is answered with N bytes, any other with a few.
"""

from __future__ import annotations

import asyncio
import sys
import time

from standins import answer_bytes, read_body, read_head

PART = 50_000


async def main(name: str) -> None:
    def say(text: str) -> None:
        print(f"{time.monotonic():.3f} {name} {text}", flush=True)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                request_id = head[1].get("request-id", "")
                say(f"head {request_id}")
                try:
                    body = await read_body(reader, head[1])
                except (asyncio.IncompleteReadError, OSError):
                    say(f"broken {request_id}")
                    return
                say(f"whole {request_id} {len(body)}")
                target = head[0].split(" ")[1]
                if "?answer=" not in target:
                    writer.write(answer_bytes(200, f"{name} {request_id}".encode()))
                    await writer.drain()
                    continue
                # A long answer is written in parts, a little apart, as a backend writes what it produces.
                answer = answer_bytes(200, b"x" * int(target.partition("?answer=")[2]))
                for offset in range(0, len(answer), PART):
                    writer.write(answer[offset : offset + PART])
                    await writer.drain()
                    await asyncio.sleep(0.05)
                say(f"answered {request_id}")
        except OSError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
