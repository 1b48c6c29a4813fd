"""The admin listener: one call per connection, each answered at once, even while other connections are open and idle."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import h11

from pepperusher.net.buffers import Body, Pool
from pepperusher.net.connection import StreamConnection
from pepperusher.net.listening import open_listener
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
from pepperusher.net.peer_memory import PeerConnections

# Concurrent connections. A further one replaces the oldest that has sent nothing.
CONNECTIONS_MAX = 6
BACKLOG = 128
# Time limit for a complete call after its connection was accepted.
CALL_TIMEOUT_S = 3.0
# Time for the client to read the answer and close, so that data that it still sends does not reset the connection
# before that.
CLOSE_TIMEOUT_S = 0.5
ERROR_ANSWER = text_answer(500, "an error in the console")


class AdminListener:
    """Accepts admin connections and answers one call on each."""

    def __init__(self, answer: Callable[[bytes, bytes], Awaitable[Answer]], log: Log) -> None:
        self._answer = answer
        self._log = log
        self._pool = Pool(1)
        self._peers = PeerConnections("console", self._pool.peer_memory, essential=True)
        # Connections without a complete call yet, the oldest first; emptied as calls complete and connections end.
        self._incomplete: dict[StreamConnection, None] = {}
        self._open: set[asyncio.Task[None]] = set()  # at most CONNECTIONS_MAX, and those that were just replaced
        self._listener: socket.socket | None = None
        self._server: asyncio.Server | None = None

    def bind(self, address: tuple[str, int]) -> int:
        """Opens the listening socket and returns its port: what connects from now on is answered once `serve` is called.
        Raises OSError.
        """
        self._listener = open_listener(address, False)
        port: int = self._listener.getsockname()[1]
        return port

    async def serve(self) -> None:
        """Starts to answer calls."""
        assert self._listener is not None
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, sock=self._listener, backlog=BACKLOG
        )

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        elif self._listener is not None:
            self._listener.close()

    def _accept(self) -> StreamConnection:
        """Accepts a connection, replacing an idle one if too many are open."""
        connection = StreamConnection(self._peers)
        if len(self._open) >= CONNECTIONS_MAX:
            # Only a connection without unread data in the kernel is replaced.
            oldest = next((candidate for candidate in self._incomplete if candidate.nothing_pending()), None)
            if oldest is not None:
                del self._incomplete[oldest]
                oldest.abort()
        self._incomplete[connection] = None
        serving = asyncio.get_running_loop().create_task(self._serve(connection))
        self._open.add(serving)
        serving.add_done_callback(self._open.discard)
        return connection

    async def _serve(self, connection: StreamConnection) -> None:
        """Reads one call, answers it and closes the connection."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        body = Body(self._pool)
        try:
            answer = text_answer(408, "the call did not end in time")
            try:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    head = await read_head(parser, connection)
                    if head is None:
                        return
                    if not await buffer_body(parser, connection, body):
                        raise BadMessage(413, "a call has no body")
                    assert isinstance(head, h11.Request)
                    answer = await self._answer(head.method, head.target)
            except BadMessage as bad:
                answer = text_answer(bad.status, str(bad))
            except TimeoutError:
                pass
            except Exception as error:  # an error ends only this call, with an answer
                self._log.say(f"a call at the console failed: {type(error).__name__}: {error}")
                answer = ERROR_ANSWER
            self._incomplete.pop(connection, None)
            if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                connection.send(encode_answer(parser, answer, True))
                connection.send_eof()
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    while await connection.read():
                        pass
        except TimeoutError:
            pass
        except Exception as error:  # an error ends only this connection
            self._log.say(f"a connection at the console failed: {type(error).__name__}: {error}")
        finally:
            self._incomplete.pop(connection, None)
            body.release()
            connection.discard()
