"""Runs proxies in processes of their own, as `serve` does in production, and measures their memory, descriptors and
processor time, and the processor time of an operator's command.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import Any

from pepperusher.capacity import fixtures
from pepperusher.rehearsal.worker import environment, with_parent
from pepperusher.rehearsal.ports import free_port

READY_TIMEOUT_S = 30.0
POLL_S = 0.02
GROUP_SIZE = 1_000
SOCKETS = 4_096
# So long that the proxy rejects no call of a measurement as too late: a rejected call would give no added latency.
PROMISED_MS = 5_000.0
MEASURE_S = 4.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class ProcessError(RuntimeError):
    """A process did not start or has ended. The message is one line."""


# The address at which the proxies of this process listen. It is not 127.0.0.1, since an outgoing connection from there
# could take the chosen port before the proxy binds it.
HOST = f"127.77.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


class ProxyUnderTest:
    """The process of a running proxy."""

    def __init__(self, process: subprocess.Popen[bytes], port: int, folder: Path) -> None:
        self.process, self.port, self.folder = process, port, folder

    @property
    def control(self) -> Path:
        return self.folder / "control"

    def resident(self) -> float:
        """Returns its resident memory in bytes."""
        return float(int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES)

    def descriptors(self) -> float:
        return float(len(os.listdir(f"/proc/{self.process.pid}/fd")))

    def loop_cpu_us(self) -> float:
        """Returns the processor time of the event loop's thread in us, at nanosecond resolution."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1000

    def cpu_us(self) -> float:
        """Returns the processor time of all threads in us, including the one that validates configurations."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks.iterdir()) / 1000

    def ready(self) -> bool:
        """Returns whether the proxy answers its readiness check. Raises ProcessError if the process has ended."""
        if self.process.poll() is not None:
            raise ProcessError(f"a proxy ended while starting: {_last_line(self.folder / 'log')}")
        try:
            with socket.create_connection((HOST, self.port), 1.0) as connection:
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
                return connection.recv(16)[9:12] == b"200"
        except OSError:
            return False


def _last_line(log: Path) -> str:
    """Returns the last line of a log."""
    return (log.read_text(errors="replace").strip().splitlines() or ["its log is empty"])[-1]


def wait_until(condition: Callable[[], bool], timeout_s: float = READY_TIMEOUT_S) -> None:
    """Polls until the condition is true. Raises ProcessError after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise ProcessError(f"condition not met within {timeout_s:g} s")
        time.sleep(POLL_S)


@contextmanager
def proxy(
    listed: int,
    group: int = GROUP_SIZE,
    discovery: int = 1,
    address: str = "",
    own_configuration: str | None = None,
    zones: list[str] | None = None,
    max_attempts: int = 3,
) -> Iterator[ProxyUnderTest]:
    """Runs a proxy that starts with `listed` backends and makes at most `max_attempts` attempts. The proxy is ready
    when the context is entered and killed when it is left.
    """
    with tempfile.TemporaryDirectory() as folder_name:
        folder = Path(folder_name)
        port = free_port(HOST)
        configuration: dict[str, Any] = {
            "name": "measured",
            "listen": f"{HOST}:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "5eed",
            "limits": {"sockets": SOCKETS, "memory_mb": 512},
            "known": fixtures.endpoint_list(listed, zones, address),
            "settings": fixtures.settings(group, zones=zones, promised_ms=PROMISED_MS, max_attempts=max_attempts),
        }
        (folder / "proxy.json").write_text(json.dumps(configuration))
        arguments = ["--config", str(folder / "proxy.json")]
        if own_configuration is not None:
            (folder / "own.toml").write_text(own_configuration.replace("HERE", folder_name))
            arguments += ["--own", str(folder / "own.toml")]
        with open(folder / "log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-O", "-m", "pepperusher", "serve", *arguments],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(),
                preexec_fn=with_parent,
            )
        running = ProxyUnderTest(process, port, folder)
        try:
            wait_until(running.ready)
            yield running
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


class StandInServices:
    """The process of the stand-in services."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self._process = process

    def send(self, **order: Any) -> dict[str, Any]:
        """Sends an order and returns the answer. Raises ProcessError if the process has ended."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(json.dumps(order) + "\n")
        self._process.stdin.flush()
        line = self._process.stdout.readline()
        if not line:
            raise ProcessError("the stand-in services ended")
        answer: dict[str, Any] = json.loads(line)
        return answer


@contextmanager
def stand_in_services() -> Iterator[StandInServices]:
    """Runs the process of `capacity.standins`."""
    process = subprocess.Popen(
        [sys.executable, "-O", "-m", "pepperusher.capacity.standins"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=environment(),
        preexec_fn=with_parent,
        text=True,
    )
    try:
        yield StandInServices(process)
    finally:
        process.kill()
        process.wait()
        for pipe in (process.stdin, process.stdout):
            assert pipe is not None
            pipe.close()


# --- what is measured -----------------------------------------------------------------------------


def resident(listed: int, _: int) -> float:
    """Returns the resident memory of an idle proxy in bytes."""
    with proxy(max(1, listed)) as running:
        return running.resident()


def idle(listed: int, seed: int) -> float:
    """Measures the processor time a second, in us, of a proxy that watches discovery and has no tickets."""
    with stand_in_services() as stand_ins:
        port = stand_ins.send(do="discovery", entries=max(1, listed), address="127.0.0.1:9", changes=0)["port"]
        with proxy(max(1, listed), discovery=port) as running:
            time.sleep(MEASURE_S)  # until the processor time of the start is over
            before, started = running.loop_cpu_us(), time.monotonic()
            time.sleep(MEASURE_S)
            return (running.loop_cpu_us() - before) / (time.monotonic() - started)


def release(changes_a_second: float) -> Callable[[int, int], float]:
    """Returns the same measurement with `changes_a_second` changes of the endpoint list."""

    def measure(listed: int, seed: int) -> float:
        with stand_in_services() as stand_ins:
            port = stand_ins.send(do="discovery", entries=listed, address="127.0.0.1:9", changes=changes_a_second)[
                "port"
            ]
            with proxy(listed, discovery=port) as running:
                time.sleep(MEASURE_S / 2)
                before, started = running.loop_cpu_us(), time.monotonic()
                time.sleep(MEASURE_S)
                return (running.loop_cpu_us() - before) / (time.monotonic() - started)

    return measure


def by_connections(method_name: str) -> Callable[[int, int], float]:
    """Returns a measurement of the `resident` bytes or the `descriptors` of a proxy, by the number of idle connections
    of callers.
    """

    def measure(connections: int, _: int) -> float:
        with proxy(24) as running, ExitStack() as stack:
            for _ in range(connections):
                connection = stack.enter_context(socket.create_connection((HOST, running.port), 5.0))
                connection.sendall(b"GET /ready HTTP/1.1\r\nHost: proxy\r\n\r\n")
                connection.recv(64)
            return float(getattr(running, method_name)())

    return measure


CONTROL_CONFIGURATION = '[control]\nsocket = "HERE/control"\n'


def propose_one_by_one(proxies: int, _: int) -> float:
    """Returns the seconds of processor time that `ctl propose` takes for a number of proxies, one after another: a
    lower bound of the time until a change is in force at all of them. The elapsed time is not used, since on a busy
    machine it depends on other processes.
    """
    with ExitStack() as stack:
        running_proxies = [
            stack.enter_context(proxy(24, own_configuration=CONTROL_CONFIGURATION)) for _ in range(proxies)
        ]
        wait_until(lambda: all(running.control.exists() for running in running_proxies))
        for running in running_proxies:
            text = CONTROL_CONFIGURATION.replace("HERE", str(running.folder)) + fixtures.routes(20)
            (running.folder / "change.toml").write_text(text)
        before = resource.getrusage(
            resource.RUSAGE_CHILDREN
        )  # covers only children that have ended, so not the proxies
        for running in running_proxies:
            arguments = ["ctl", "--socket", str(running.control), "propose", str(running.folder / "change.toml")]
            command = [sys.executable, "-m", "pepperusher", *arguments]
            subprocess.run(command, check=True, stdout=subprocess.DEVNULL, env=environment())
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
