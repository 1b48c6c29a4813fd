"""The control channel between the controller and a process of a rehearsal: JSON lines, with orders on the standard input
of the process and reports on its standard output. `Worker` is the controller's side, `Orders` the process's."""

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
    """A process of the rehearsal exited, failed or did not report in time. The message is one line."""


class Worker:
    """One process started by the controller, with its control channel."""

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
        """Sends an order; does nothing if the process has exited."""
        assert self._process.stdin is not None
        if self._process.returncode is None:
            self._process.stdin.write(json.dumps(order).encode() + b"\n")

    async def said(self, what: str, within: float) -> dict[str, Any]:
        """Waits for the next report with the key `what`. Raises WorkerError if the process fails, exits, or does not
        report within `within` seconds."""
        assert self._process.stdout is not None
        try:
            async with asyncio.timeout(within):
                while True:
                    line = await self._process.stdout.readline()
                    if not line:
                        raise WorkerError(f"{self.name} ended: {self._last_log_line()}")
                    report = json.loads(line)
                    if "failed" in report:
                        raise WorkerError(f"{self.name} failed: {report['failed']}")
                    if what in report:
                        return report
        except TimeoutError:
            raise WorkerError(
                f"{self.name} did not report {what} within {within:g} s: {self._last_log_line()}"
            ) from None

    def _last_log_line(self) -> str:
        lines = self._log.read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "its log is empty"

    def signal(self, number: int) -> None:
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Asks the process to exit by closing its standard input; kills it if it has not exited within END_WITHIN."""
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
    """Makes the kernel kill this process when its parent dies; called in the child before exec. Otherwise a controller
    that is killed would leave its fleet running. Uses prctl(2); does nothing on systems other than Linux."""
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    except (OSError, AttributeError):
        pass


def environment(build: Path | None = None) -> dict[str, str]:
    """The environment of a process started by a rehearsal: without the BALANCER_ variables, and with PYTHONPATH set to
    this checkout or to `build`."""
    root = str(build or Path(__file__).resolve().parents[2])
    kept = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    return {**kept, "PYTHONPATH": root}


class Orders:
    """The process's side of the control channel: receives orders by `next` and sends reports by `say`."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self._reader = reader

    @classmethod
    async def open(cls) -> Orders:
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        return cls(reader)

    async def next(self) -> dict[str, Any] | None:
        """The next order; None once the controller has closed the channel or exited."""
        line = await self._reader.readline()
        return json.loads(line) if line else None

    @staticmethod
    def say(**report: Any) -> None:
        print(json.dumps(report), flush=True)
