"""The console's listener: one call to a connection, each answered at once, whoever else holds one open and
says nothing."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11

from pepperusher.net.buffers import Body, Pool
from pepperusher.net.connection import StreamConnection
from pepperusher.net.log import Log
from pepperusher.net.message import (
    MAX_HEAD_BYTES,
    Answer,
    BadMessage,
    encode_answer,
    text_answer,
    read_head,
    buffer_body,
)

# Connections at once. A further one takes the place of whoever has said least for longest.
PLACES = 6
# A call is whole so long after its connect.
WITHIN = 3.0
# After its answer so much time to take it and close, so that what it still writes does not reset the answer
# away.
LINGER = 0.5
BROKEN = text_answer(500, "an error in the console")


class AdminListener:
    def __init__(self, answer: Callable[[bytes, bytes], Awaitable[Answer]], log: Log) -> None:
        self._answer = answer
        self._log = log
        self._pool = Pool(1)
        # No whole call yet, the oldest first; emptied as calls come and lines end.
        self._asking: dict[StreamConnection, None] = {}
        self._open: set[asyncio.Task[None]] = set()  # PLACES at the most, and those that just lost theirs
        self._server: asyncio.Server

    async def listen(self, address: tuple[str, int]) -> int:
        """The port it listens at."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._taken, *address, reuse_address=True, backlog=128)
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def close(self) -> None:
        self._server.close()

    def _taken(self) -> StreamConnection:
        line = StreamConnection()
        if len(self._open) >= PLACES:
            # Not one whose call is in the kernel.
            oldest = next((one for one in self._asking if one.nothing_pending()), None)
            if oldest is not None:
                del self._asking[oldest]
                oldest.abort()
        self._asking[line] = None
        serving = asyncio.get_running_loop().create_task(self._serve(line))
        self._open.add(serving)
        serving.add_done_callback(self._open.discard)
        return line

    async def _serve(self, line: StreamConnection) -> None:
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        body = Body(self._pool)
        try:
            answer = text_answer(408, "the call did not end in time")
            try:
                async with asyncio.timeout(WITHIN):
                    head = await read_head(parser, line)
                    if head is None:
                        return
                    if not await buffer_body(parser, line, body):
                        raise BadMessage(413, "a call has no body")
                    assert isinstance(head, h11.Request)
                    answer = await self._answer(head.method, head.target)
            except BadMessage as bad:
                answer = text_answer(bad.status, str(bad))
            except TimeoutError:
                pass
            except Exception as error:  # ends this call alone, with an answer
                self._log.say(f"a call at the console ended by {type(error).__name__}: {error}")
                answer = BROKEN
            self._asking.pop(line, None)
            if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                line.send(encode_answer(parser, answer, True))
                line.send_eof()
                async with asyncio.timeout(LINGER):
                    while await line.read():
                        pass
        except TimeoutError:
            pass
        except Exception as error:  # this connection's trouble, and nobody else's
            self._log.say(f"a connection at the console ended: {type(error).__name__}: {error}")
        finally:
            self._asking.pop(line, None)
            body.release()
            line.abort()
