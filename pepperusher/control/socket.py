"""The control socket of a running proxy: a Unix socket that only its owner may open."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import stat
from collections.abc import AsyncIterator, Callable
from typing import Any

from pepperusher.control import messages
from pepperusher.control.messages import InvalidRequestError

# Minimum interval between the requests of a connection, so that a flood of requests doesn't delay tickets.
MIN_REQUEST_INTERVAL_S = 0.02
# How often a process checks that the path is its own, or whether it has become free.
PATH_CHECK_INTERVAL_S = 0.05

Answers = Callable[[str, dict[str, Any]], AsyncIterator[dict[str, Any]]]


class ControlError(OSError):
    """The socket can't be opened; the text is one line."""


class ControlSocketInUseError(ControlError):
    """Another process answers on the socket."""


class Control:
    """The server of the control socket. `answers` yields the parts of the response to a command. An invalid, slow or
    silent client loses its own connection and affects nothing else.

    Of two processes that are configured with one path, the one that answers there keeps it until it releases it or ends,
    however it ends; `hold` takes it then.
    """

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
        self._hold_task: asyncio.Task[None] | None = None
        self._last_problem = ""

    def check(self, successor: bool) -> None:
        """Checks, without a change, that the socket can be opened. Raises ControlError, also where another process answers
        there, except for the `successor` of that process.
        """
        folder = os.path.dirname(self._path) or "."
        if not os.access(folder, os.W_OK | os.X_OK):
            reason = "the folder is not writable" if os.path.isdir(folder) else os.strerror(errno.ENOENT)
            raise ControlError(f"control socket {self._path}: {reason}")
        try:
            self._is_stale()
        except ControlSocketInUseError:
            if not successor:
                raise

    async def hold(self) -> None:
        """Opens the socket at once if no other process answers there, and otherwise as soon as that is so. A path that was
        removed is opened again.
        """
        await self._hold_once()
        self._hold_task = asyncio.get_running_loop().create_task(self._keep_holding())

    async def _keep_holding(self) -> None:
        while True:
            await asyncio.sleep(PATH_CHECK_INTERVAL_S)
            await self._hold_once()

    async def _hold_once(self) -> None:
        """Opens the socket unless this process has it already. Each reason why it can't is logged once."""
        if self._has_path():
            return
        self._stop_listening()
        try:
            await self.listen()
        except OSError as error:
            if str(error) != self._last_problem:
                self._last_problem = str(error)
                self._say("the control socket is not open yet", why=self._last_problem)
            return
        self._last_problem = ""
        self._say("the control socket is open", at=self._path)

    def _has_path(self) -> bool:
        """Whether the socket at the path is that of this process."""
        if self._server is None:
            return False
        try:
            return os.stat(self._path).st_ino == self._inode
        except OSError:
            return False

    async def listen(self) -> None:
        """Opens the socket. A stale socket of an earlier process is replaced, but not one on which a process answers.
        Raises ControlError."""
        if self._is_stale():
            os.unlink(self._path)
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        previous_mask = os.umask(0o177)
        try:
            # The umask sets the mode at creation; with a later chmod, any user could open the socket in between.
            listener.bind(self._path)
            self._inode = os.stat(self._path).st_ino
        except OSError as error:
            listener.close()
            raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        finally:
            os.umask(previous_mask)
        listener.setblocking(False)
        self._server = await asyncio.start_unix_server(
            self._handle_connection, sock=listener, limit=messages.MAX_LINE_BYTES
        )

    def _is_stale(self) -> bool:
        """Whether an earlier process left a socket at the path. Raises ControlError where something else is there."""
        try:
            mode = os.lstat(self._path).st_mode
        except FileNotFoundError:
            return False
        except OSError as error:
            raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        if not stat.S_ISSOCK(mode):
            raise ControlError(f"control socket {self._path}: the path exists and is not a socket")
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.setblocking(False)
            try:
                probe.connect(self._path)
            except ConnectionRefusedError:
                return True
            except FileNotFoundError:
                return False  # it was removed just now
            except BlockingIOError:
                pass  # a process listens there and is too busy to accept
            except OSError as error:
                raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        raise ControlSocketInUseError(f"control socket {self._path}: another proxy answers there")

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

    def release(self) -> None:
        """Leaves the path to the successor of this process. Commands that are under way are still answered."""
        if self._hold_task is not None:
            self._hold_task.cancel()
            self._hold_task = None
        self._stop_listening()

    def _stop_listening(self) -> None:
        if self._server is None:
            return
        # The path may already belong to the socket of the next proxy, or be removed at this moment.
        with contextlib.suppress(OSError):
            if self._has_path():
                os.unlink(self._path)
        self._server.close()
        self._server = None

    def close(self) -> None:
        """Leaves the path and ends all connections."""
        self.release()
        for task in list(self._connection_tasks):
            task.cancel()
