"""The control socket of a running proxy: a Unix socket that only its owner may open."""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import AsyncIterator, Callable
from typing import Any

from pepperusher.control import messages
from pepperusher.control.messages import InvalidRequestError

# Minimum interval between the requests of a connection, so that a flood of requests doesn't delay tickets.
MIN_REQUEST_INTERVAL_S = 0.02

Answers = Callable[[str, dict[str, Any]], AsyncIterator[dict[str, Any]]]


class ControlError(OSError):
    """The socket can't be opened; the text is one line."""


class Control:
    """The server of the control socket. `answers` yields the parts of the response to a command. An invalid, slow or
    silent client loses its own connection and affects nothing else."""

    def __init__(
        self, path: str, max_connections: int, timeout: float, answers: Answers, say: Callable[..., None]
    ) -> None:
        self._path = path
        self._max_connections = max_connections
        self._timeout = timeout
        self._answers = answers
        self._say = say
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()  # one for each connection
        self._inode = 0

    async def listen(self) -> None:
        """Opens the socket. A stale socket of an earlier proxy is replaced, but not one on which a proxy answers.
        Raises ControlError."""
        self._remove_stale_socket()
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        previous_mask = os.umask(0o177)
        try:
            # The umask sets the mode at creation; with a later chmod, any user could open the socket in between.
            listener.bind(self._path)
        except OSError as error:
            listener.close()
            raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        finally:
            os.umask(previous_mask)
        listener.setblocking(False)
        self._inode = os.stat(self._path).st_ino
        self._server = await asyncio.start_unix_server(
            self._handle_connection, sock=listener, limit=messages.MAX_LINE_BYTES
        )

    def _remove_stale_socket(self) -> None:
        try:
            mode = os.lstat(self._path).st_mode
        except FileNotFoundError:
            return
        except OSError as error:
            raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        if not stat.S_ISSOCK(mode):
            raise ControlError(f"control socket {self._path}: the path exists and is not a socket")
        probe = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        probe.settimeout(0.2)
        try:
            probe.connect(self._path)
        except OSError:
            os.unlink(self._path)
            return
        finally:
            probe.close()
        raise ControlError(f"control socket {self._path}: another proxy answers there")

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._connection_tasks) >= self._max_connections:
            writer.write(messages.encode_error(f"{self._max_connections} are connected already"))
            writer.close()
            return
        self._connection_tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass  # the client failed or was too slow, or the proxy is stopping
        except Exception as error:
            self._say("control connection closed after an error", why=f"{type(error).__name__}: {error}")
        finally:
            self._connection_tasks.discard(task)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        last_response_at = -MIN_REQUEST_INTERVAL_S
        while True:
            try:
                async with asyncio.timeout(self._timeout):
                    line = await reader.readline()
            except ValueError:
                await self._send(
                    writer, messages.encode_error(f"the request is longer than {messages.MAX_LINE_BYTES} bytes")
                )
                return
            if not line:
                return
            if not line.endswith(b"\n"):
                return
            # The pause precedes a response rather than following it, so that a client with a single request doesn't
            # occupy a connection during the pause.
            await asyncio.sleep(max(0.0, last_response_at + MIN_REQUEST_INTERVAL_S - asyncio.get_running_loop().time()))
            try:
                command, parameters = messages.parse_request(line)
            except InvalidRequestError as error:
                await self._send(writer, messages.encode_error(str(error)))
                # The rest of an invalid request is not read.
                return
            async for part in self._answers(command, parameters):
                await self._send(writer, messages.encode_line(**part))
                # Lets tickets run between the parts of a long response.
                await asyncio.sleep(0)
            last_response_at = asyncio.get_running_loop().time()

    async def _send(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Sends data. A client that doesn't read it has the same time-out as one that doesn't send a request."""
        writer.write(data)
        async with asyncio.timeout(self._timeout):
            await writer.drain()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            try:
                # The path may already belong to the socket of the next proxy.
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
            except OSError:
                pass
        for task in list(self._connection_tasks):
            task.cancel()
