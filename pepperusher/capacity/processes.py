"""Whole proxies, as `serve` runs in service, and what each takes: memory, descriptors, processor time, an
operator's word.
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

READY_WITHIN = 30.0
LOOK = 0.02
GROUP = 1_000
SOCKETS = 4_096
# ms: no call of a measurement is bounced as too late, since that would be no time added.
PROMISED = 5_000.0
IDLE_FOR = 4.0
PAGE = os.sysconf("SC_PAGE_SIZE")


class ProcessError(RuntimeError):
    """One did not come up, or ended; its text is one line."""


# Proxies listen at an address that only this process's use: connections that go out are from 127.0.0.1, and
# one of them could have the port by the time that a proxy binds it.
HOST = f"127.77.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"


def free_port() -> int:
    """The kernel's; a proxy's configuration has to name one."""
    with socket.socket() as one:
        one.bind((HOST, 0))
        port: int = one.getsockname()[1]
        return port


class ProxyUnderTest:
    """A running proxy."""

    def __init__(self, process: subprocess.Popen[bytes], port: int, folder: Path) -> None:
        self.process, self.port, self.folder = process, port, folder

    @property
    def control(self) -> Path:
        return self.folder / "control"

    def resident(self) -> float:
        """Bytes."""
        return float(int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE)

    def descriptors(self) -> float:
        return float(len(os.listdir(f"/proc/{self.process.pid}/fd")))

    def spent(self) -> float:
        """Processor time of the loop's thread in us, to the nanosecond."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1000

    def spent_by_all(self) -> float:
        """The same of all its threads: what is checked beside the loop is in it."""
        tasks = Path(f"/proc/{self.process.pid}/task")
        return sum(int((one / "schedstat").read_text().split()[0]) for one in tasks.iterdir()) / 1000

    def ready(self) -> bool:
        if self.process.poll() is not None:
            raise ProcessError(f"a proxy ended at its start: {_last(self.folder / 'log')}")
        try:
            with socket.create_connection((HOST, self.port), 1.0) as one:
                one.sendall(b"GET /ready HTTP/1.1\r\nHost: proxy\r\nConnection: close\r\n\r\n")
                return one.recv(16)[9:12] == b"200"
        except OSError:
            return False


def _last(log: Path) -> str:
    return (log.read_text(errors="replace").strip().splitlines() or ["it said nothing"])[-1]


def wait_until(true: Callable[[], bool], within: float = READY_WITHIN) -> None:
    """Raises ProcessError."""
    end = time.monotonic() + within
    while not true():
        if time.monotonic() > end:
            raise ProcessError(f"waited in vain for {within:g} s")
        time.sleep(LOOK)


@contextmanager
def proxy(
    listed: int,
    group: int = GROUP,
    discovery: int = 1,
    address: str = "",
    own: str | None = None,
    zones: list[str] | None = None,
    most: int = 3,
) -> Iterator[ProxyUnderTest]:
    """A proxy that knows so many backends at its start and makes `most` attempts; ready, and ended behind
    it.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        port = free_port()
        told: dict[str, Any] = {
            "name": "measured",
            "listen": f"{HOST}:{port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": "5eed",
            "limits": {"sockets": SOCKETS, "memory_mb": 512},
            "known": fixtures.endpoint_list(listed, zones, address),
            "settings": fixtures.settings(group, zones=zones, promised=PROMISED, most=most),
        }
        (folder / "proxy.json").write_text(json.dumps(told))
        words = ["--config", str(folder / "proxy.json")]
        if own is not None:
            (folder / "own.toml").write_text(own.replace("HERE", name))
            words += ["--own", str(folder / "own.toml")]
        with open(folder / "log", "wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-O", "-m", "pepperusher", "serve", *words],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment(),
                preexec_fn=with_parent,
            )
        made = ProxyUnderTest(process, port, folder)
        try:
            wait_until(made.ready)
            yield made
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


class StandIns:
    """The process of stand-in services."""

    def __init__(self, process: subprocess.Popen[str]) -> None:
        self._process = process

    def do(self, **order: Any) -> dict[str, Any]:
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(json.dumps(order) + "\n")
        self._process.stdin.flush()
        line = self._process.stdout.readline()
        if not line:
            raise ProcessError("the stand-in services ended")
        told: dict[str, Any] = json.loads(line)
        return told


@contextmanager
def standins() -> Iterator[StandIns]:
    process = subprocess.Popen(
        [sys.executable, "-O", "-m", "pepperusher.capacity.standins"],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=environment(),
        preexec_fn=with_parent,
        text=True,
    )
    try:
        yield StandIns(process)
    finally:
        process.kill()
        process.wait()
        for pipe in (process.stdin, process.stdout):
            assert pipe is not None
            pipe.close()


# --- what is measured -----------------------------------------------------------------------------


def resident(listed: int, _: int) -> float:
    with proxy(max(1, listed)) as one:
        return one.resident()


def idle(listed: int, seed: int) -> float:
    """Processor time a second of a proxy with a live watch and no tickets, in us."""
    with standins() as others:
        port = others.do(do="discovery", entries=max(1, listed), address="127.0.0.1:9", changes=0)["port"]
        with proxy(max(1, listed), discovery=port) as one:
            time.sleep(IDLE_FOR)  # a span that is measured, not waited in
            before, began = one.spent(), time.monotonic()
            time.sleep(IDLE_FOR)
            return (one.spent() - before) / (time.monotonic() - began)


def release(changes: float) -> Callable[[int, int], float]:
    """The same with so many changes of the list a second."""

    def at(listed: int, seed: int) -> float:
        with standins() as others:
            port = others.do(do="discovery", entries=listed, address="127.0.0.1:9", changes=changes)["port"]
            with proxy(listed, discovery=port) as one:
                time.sleep(IDLE_FOR / 2)
                before, began = one.spent(), time.monotonic()
                time.sleep(IDLE_FOR)
                return (one.spent() - before) / (time.monotonic() - began)

    return at


def by_connections(what: str) -> Callable[[int, int], float]:
    """Of a proxy with so many idle connections of callers: `resident` bytes or `descriptors`."""

    def at(connections: int, _: int) -> float:
        with proxy(24) as one, ExitStack() as held:
            for _ in range(connections):
                taken = held.enter_context(socket.create_connection((HOST, one.port), 5.0))
                taken.sendall(b"GET /ready HTTP/1.1\r\nHost: proxy\r\n\r\n")
                taken.recv(64)
            return float(getattr(one, what)())

    return at


CONTROLLED = '[control]\nsocket = "HERE/control"\n'


def told_one_by_one(proxies: int, _: int) -> float:
    """Seconds of processor time that `ctl propose` takes at each of so many proxies in turn: the least that
    an operator waits until a change is in force at all. On a busy machine the wait itself tells of others.
    """
    with ExitStack() as held:
        ones = [held.enter_context(proxy(24, own=CONTROLLED)) for _ in range(proxies)]
        wait_until(lambda: all(one.control.exists() for one in ones))
        for one in ones:
            text = CONTROLLED.replace("HERE", str(one.folder)) + fixtures.routes(20)
            (one.folder / "change.toml").write_text(text)
        before = resource.getrusage(resource.RUSAGE_CHILDREN)  # of those that ended: the proxies have not
        for one in ones:
            words = ["ctl", "--socket", str(one.control), "propose", str(one.folder / "change.toml")]
            asked = [sys.executable, "-m", "pepperusher", *words]
            subprocess.run(asked, check=True, stdout=subprocess.DEVNULL, env=environment())
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
