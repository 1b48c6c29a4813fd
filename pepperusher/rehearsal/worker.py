"""A process of a rehearsal: told what to do by lines of JSON on its standard input, it says what it has done
on its standard output. The director's side of it is `Worker`, the process's own is `Orders`."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

END_WITHIN = 10.0
START_WITHIN = 60.0


class WorkerError(RuntimeError):
    """A process of the rehearsal ended, or did not do as told; its text is one line."""


class Worker:
    """One process of the module `module`, started by the director."""

    def __init__(self, process: asyncio.subprocess.Process, name: str, log: Path) -> None:
        self._process = process
        self._log = log
        self.name = name

    @classmethod
    async def start(cls, module: str, name: str, log: Path, *arguments: str, cpus: set[int] | None = None) -> Worker:
        with open(log, "ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env=environment(),
                start_new_session=True,
                preexec_fn=with_parent,
            )
        if cpus:
            os.sched_setaffinity(process.pid, cpus)
        worker = cls(process, name, log)
        return worker

    @property
    def pid(self) -> int:
        return self._process.pid

    def tell(self, **order: Any) -> None:
        assert self._process.stdin is not None
        if self._process.returncode is None:
            self._process.stdin.write(json.dumps(order).encode() + b"\n")

    async def said(self, what: str, within: float) -> dict[str, Any]:
        """The next line that says `what`. Raises WorkerError if the process fails, ends or takes longer."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within):
                while True:
                    line = await self._process.stdout.readline()
                    if not line:
                        raise WorkerError(f"{self.name} ended: {self._last_words()}")
                    told = json.loads(line)
                    if "failed" in told:
                        raise WorkerError(f"{self.name} failed: {told['failed']}")
                    if what in told:
                        return told
        except TimeoutError:
            raise WorkerError(f"{self.name} did not say {what} within {within:g} s: {self._last_words()}") from None

    def _last_words(self) -> str:
        lines = self._log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def signal(self, number: int) -> None:
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Lets it go by closing its input; kills it if it stays."""
        if self._process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_WITHIN):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()


PR_SET_PDEATHSIG = 1


def with_parent() -> None:
    """In a new process, before its program: it ends when the one that started it does, however that ended. Else a director
    that is killed would leave a fleet behind (prctl(2); elsewhere than on Linux it does nothing)."""
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        pass


def environment(build: Path | None = None) -> dict[str, str]:
    """What a process started by a rehearsal sees: this program's modules, or those of `build`, whatever the
    folder."""
    root = str(build or Path(__file__).resolve().parents[2])
    kept = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return {**kept, "PYTHONPATH": root}


class Orders:
    """The process's own side: orders by `next`, answers by `say`."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader

    @classmethod
    async def open(cls) -> Orders:
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        return cls(reader)

    async def next(self) -> dict[str, Any] | None:
        """None once the director has gone or wants no more."""
        line = await self._reader.readline()
        return json.loads(line) if line else None

    @staticmethod
    def say(**told: Any) -> None:
        print(json.dumps(told), flush=True)
