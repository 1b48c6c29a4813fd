"""The control socket of a running proxy: a Unix socket that its owner alone may open."""

from __future__ import annotations

import asyncio
import os
import socket
import stat
from collections.abc import AsyncIterator, Callable
from typing import Any

from pepperusher.control import messages
from pepperusher.control.messages import BadQuestion

# Between questions of one connection: a flood of them has its turn among tickets, and no more.
PACE = 0.02

Answers = Callable[[str, dict[str, Any]], AsyncIterator[dict[str, Any]]]


class ControlError(OSError):
    """The socket can't be opened; its text is one line."""


class Control:
    """`answers` gives the parts of an answer. What a client says or leaves unsaid costs its own connection
    alone."""

    def __init__(self, path: str, most: int, within: float, answers: Answers, say: Callable[..., None]) -> None:
        self._path = path
        self._most = most
        self._within = within
        self._answers = answers
        self._say = say
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[None]] = set()  # emptied as connections end, `most` at the most
        self._inode = 0

    async def listen(self) -> None:
        """Raises ControlError. A socket that a proxy before this one left is replaced; one that answers is
        not."""
        self._clear()
        taken = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        before = os.umask(0o177)
        try:
            # With the mask, and not a chmod after: between the two anybody could open it.
            taken.bind(self._path)
        except OSError as error:
            taken.close()
            raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        finally:
            os.umask(before)
        taken.setblocking(False)
        self._inode = os.stat(self._path).st_ino
        self._server = await asyncio.start_unix_server(self._accepted, sock=taken, limit=messages.LONGEST)

    def _clear(self) -> None:
        try:
            mode = os.lstat(self._path).st_mode
        except FileNotFoundError:
            return
        except OSError as error:
            raise ControlError(f"control socket {self._path}: {error.strerror or error}") from None
        if not stat.S_ISSOCK(mode):
            raise ControlError(f"control socket {self._path}: something else stands there")
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

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self._serving) >= self._most:
            writer.write(messages.refused(f"{self._most} are connected already"))
            writer.close()
            return
        self._serving.add(task)
        try:
            await self._serve(reader, writer)
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass  # its client's trouble, or the proxy's end
        except Exception as error:
            self._say("a control connection ended", why=f"{type(error).__name__}: {error}")
        finally:
            self._serving.discard(task)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answered = -PACE
        while True:
            try:
                async with asyncio.timeout(self._within):
                    line = await reader.readline()
            except ValueError:
                await self._tell(writer, messages.refused(f"a line of over {messages.LONGEST} bytes"))
                return
            if not line:
                return
            if not line.endswith(b"\n"):
                return
            # Before the next answer and not after the last: one that asks once and goes holds no place meanwhile.
            await asyncio.sleep(max(0.0, answered + PACE - asyncio.get_running_loop().time()))
            try:
                command, said = messages.question(line)
            except BadQuestion as bad:
                await self._tell(writer, messages.refused(str(bad)))
                # Noise is not read to its end.
                return
            async for part in self._answers(command, said):
                await self._tell(writer, messages.line(**part))
                # Tickets have their turn between the parts of a long answer.
                await asyncio.sleep(0)
            answered = asyncio.get_running_loop().time()

    async def _tell(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """One that asks and does not read is not waited for longer than one that does not ask."""
        writer.write(data)
        async with asyncio.timeout(self._within):
            await writer.drain()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            try:
                # The next proxy's may stand there already.
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
            except OSError:
                pass
        for task in list(self._serving):
            task.cancel()
