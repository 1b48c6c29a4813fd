"""A crowd of clients that leave while they wait, round a whole proxy in a process of its own.

Stand-in backends note when each attempt's first byte comes; a client notes when it left. An attempt that begins later than
`SLACK` after that was sent on for nobody. Run as a program it prints the cases by kind: `python -m tests.leavers [rounds]`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any

from tests.scene import SETTINGS, ProxyTestCase, configuration

SLACK = 0.1
RESET = struct.pack("ii", 1, 0)
LIMITS = {**SETTINGS["policy-limits"], "connect-timeout": 2500.0}
# Answered in time, so that a start is told by what the proxy does and not by a client's deadline.
ROOMY = {
    **SETTINGS,
    "policy-limits": LIMITS,
    "use-cases": [{**one, "promised-time": 3000.0, "outer-limit": 6000.0} for one in SETTINGS["use-cases"]],
}
ENDS = ("ends", "resets", "half")


class Backend:
    """Notes each attempt, and answers it as `plan` has it: a status, or "reset", after so many seconds."""

    def __init__(self, began: dict[str, list[float]], plan: dict[str, list[tuple[float, str]]]) -> None:
        self.began, self.plan = began, plan
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self._held: list[socket.socket] = []
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.listener.listen(256)
        self.server = await asyncio.start_server(self._serve, sock=self.listener)

    def hold(self) -> None:
        """Its accept queue is full: what connects is taken with the kernel's next try, a second later, once it is opened."""
        self.listener.listen(0)
        for _ in range(2):
            made = socket.socket()
            made.setblocking(False)
            made.connect_ex(("127.0.0.1", self.port))
            self._held.append(made)

    def close(self) -> None:
        for made in self._held:
            made.close()
        if self.server is not None:
            self.server.close()
        else:
            self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                at = time.monotonic()
                fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
                name = fields["request-id"]
                self.began[name].append(at)
                left = int(fields.get("content-length", 0))
                while left > 0 and (part := await reader.read(left)):
                    left -= len(part)
                if left:
                    break
                after, what = self.plan[name].pop(0) if self.plan.get(name) else (0.0, "200")
                await asyncio.sleep(after)
                if what == "reset":
                    break
                writer.write(f"HTTP/1.1 {what} X\r\nContent-Length: 2\r\n\r\nok".encode())
        writer.close()


class Ground:
    """A proxy's process with its backends, and a discovery that says nothing after its first word."""

    def __init__(
        self, backends: int = 8, own: str | None = None, before: Callable[[], None] | None = None, **changes: Any
    ) -> None:
        """`before` runs in the proxy's process before its program does."""
        self.before = before
        self.began: dict[str, list[float]] = defaultdict(list)
        self.plan: dict[str, list[tuple[float, str]]] = {}
        self.left: dict[str, tuple[str, float]] = {}  # by request: the kind, and when its client went
        self.backends = [Backend(self.began, self.plan) for _ in range(backends)]
        self.own, self.changes = own, {"settings": ROOMY, **changes}
        self.said: list[str] = []

    async def __aenter__(self) -> Ground:
        self.folder = tempfile.TemporaryDirectory()
        self.discovery = await asyncio.start_server(self._watched, "127.0.0.1", 0)
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.port = free.getsockname()[1]
        listed = {
            "version": 1,
            "full": True,
            "servers": [
                {"id": f"a{at}", "addr": f"127.0.0.1:{one.port}", "cell": at, "state": "ready"}
                for at, one in enumerate(self.backends)
            ],
        }
        told = configuration(
            listen=f"127.0.0.1:{self.port}",
            known=listed,
            discovery=f"127.0.0.1:{self.discovery.sockets[0].getsockname()[1]}",
            **self.changes,
        )
        path = os.path.join(self.folder.name, "told.json")
        with open(path, "w") as file:
            json.dump(told, file)
        more = []
        if self.own is not None:
            own = os.path.join(self.folder.name, "own.toml")
            with open(own, "w") as file:
                file.write(self.own)
            more = ["--own", own]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "pepperusher",
            "serve",
            "--config",
            path,
            *more,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "TMPDIR": self.folder.name},
            preexec_fn=self.before,
        )
        self.reading = asyncio.create_task(self._read())
        async with asyncio.timeout(20):
            while not any("serving at" in line for line in self.said):
                await asyncio.sleep(0.005)
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.said.append(line.decode())

    async def _watched(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"1\r\n\n\r\n")
                await asyncio.sleep(1)

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.reading.cancel()
        for one in self.backends:
            one.close()
        self.discovery.close()
        self.folder.cleanup()

    def dial(self) -> socket.socket:
        made = socket.create_connection(("127.0.0.1", self.port), timeout=10)
        made.setblocking(False)
        # What is written is the kernel's, however much: a client that has gone has nothing left to write.
        made.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * 1024 * 1024)
        return made

    @contextlib.contextmanager
    def stopped(self) -> Iterator[None]:
        """The proxy's loop does nothing meanwhile."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def go(self, at: socket.socket, how: str, kind: str, *names: str) -> None:
        """Its client leaves, with these requests of its not answered."""
        for name in names:
            self.left[name] = f"{kind}, {how}", time.monotonic()
        if how == "half":
            at.shutdown(socket.SHUT_WR)
            asyncio.get_running_loop().call_later(8, at.close)
            return
        if how == "resets":
            at.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        at.close()

    async def until(self, true: Callable[[], object], within: float = 10.0) -> None:
        async with asyncio.timeout(within):
            while not true():
                await asyncio.sleep(0.002)

    def late(self) -> dict[str, list[float]]:
        """By kind, how late each attempt began that did so more than SLACK after its client left."""
        found: dict[str, list[float]] = {kind: [] for kind, _ in self.left.values()}
        for name, (kind, at) in self.left.items():
            lag = max(self.began.get(name, [at]), default=at) - at
            if lag > SLACK:
                found[kind].append(lag)
        return found


def request(use: str, name: str, body: str = "", left: int = 5000) -> bytes:
    return ProxyTestCase.request(None, use, name, body, left)  # type: ignore[arg-type]


async def write(at: socket.socket, data: bytes) -> None:
    """All of it is with the kernel, or as much as it takes in a moment."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            await asyncio.get_running_loop().sock_sendall(at, data)


class Crowd:
    def __init__(self) -> None:
        self.count = 0

    def name(self) -> str:
        self.count += 1
        return f"{self.count}"

    def ahead(self, size: int) -> bytes:
        made = b""
        while len(made) < size:
            made += request("pay", self.name(), "x" * 3000)
        return made

    async def between(self, ground: Ground, how: str, kind: str, behind: int) -> None:
        """The first attempt fails some time after its client left."""
        name, at = self.name(), ground.dial()
        ground.plan[name] = [(0.3, "500"), (0.3, "500"), (0.0, "200")]
        await write(at, request("look", name) + self.ahead(behind))
        await ground.until(lambda: ground.began[name])
        await asyncio.sleep(0.05)
        ground.go(at, how, kind, name)

    async def broken(self, ground: Ground, how: str, kind: str, behind: int) -> None:
        """The connection of the first attempt ends under it some time after its client left."""
        name, at = self.name(), ground.dial()
        ground.plan[name] = [(0.3, "reset"), (0.3, "reset")]
        await write(at, request("look", name) + self.ahead(behind))
        await ground.until(lambda: ground.began[name])
        await asyncio.sleep(0.05)
        ground.go(at, how, kind, name)

    async def pipelined(self, ground: Ground, how: str, kind: str, behind: int) -> None:
        """Others stand behind the first, which is answered after its client left."""
        at, names = ground.dial(), [self.name() for _ in range(5)]
        ground.plan[names[0]] = [(0.3, "200")]
        await write(at, b"".join(request("pay", name, "x" * (behind // 5)) for name in names))
        await ground.until(lambda: ground.began[names[0]])
        await asyncio.sleep(0.05)
        ground.go(at, how, kind, *names)

    async def connecting(self, ground: Ground, how: str, kind: str, behind: int, body: int) -> None:
        """Its first attempt waits for a connection, which comes up a second later."""
        name, at = self.name(), ground.dial()
        await write(at, request("pay" if body else "look", name, "x" * body) + self.ahead(behind))
        await asyncio.sleep(0.05)
        ground.go(at, how, kind, name)

    async def busy(self, ground: Ground, how: str, kind: str) -> None:
        """It comes and goes within 80 ms in which the loop does nothing."""
        names = []
        for wait in (0.0, 0.02, 0.07):
            name, at = self.name(), ground.dial()
            await asyncio.sleep(0.01)
            with ground.stopped():
                await write(at, request("look", name))
                await asyncio.sleep(wait)
                ground.go(at, how, kind, name)
                await asyncio.sleep(0.08 - wait)
            names.append(name)

    async def busy_between(self, ground: Ground, how: str, kind: str) -> None:
        """Its first attempt fails, and it leaves, within 80 ms in which the loop does nothing."""
        name, at = self.name(), ground.dial()
        ground.plan[name] = [(0.06, "500"), (0.06, "500")]
        await write(at, request("look", name))
        await ground.until(lambda: ground.began[name])
        with ground.stopped():
            await asyncio.sleep(0.02)
            ground.go(at, how, kind, name)
            await asyncio.sleep(0.06)

    async def still(self, ground: Ground, how: str, kind: str, behind: int) -> None:
        """It comes and goes while the process stands still."""
        name, at = self.name(), ground.dial()
        with ground.stopped():
            await write(at, request("look", name) + self.ahead(behind))
            ground.go(at, how, kind, name)
            await asyncio.sleep(0.25)

    async def queued(self, ground: Ground, how: str, kind: str, behind: int) -> None:
        """It waits behind others: in the gate, or in the kernel's queue of those not let in."""
        name, at = self.name(), ground.dial()
        await write(at, request("look", name) + self.ahead(behind))
        await asyncio.sleep(0.05)
        ground.go(at, how, kind, name)

    async def held(self, ground: Ground, count: int) -> list[socket.socket]:
        """So many that are out for half a second, and stay."""
        made = []
        for _ in range(count):
            name, at = self.name(), ground.dial()
            ground.plan[name] = [(0.5, "200")]
            await write(at, request("look", name))
            made.append(at)
        return made


BEHIND = (
    ("alone", 0),
    ("20 kB behind", 20_000),
    ("100 kB behind", 100_000),
    ("400 kB behind", 400_000),
    ("1 MB behind", 1_000_000),
)
ONE_AT_ONCE = '[[routes]]\nname = "all"\nconcurrency = {most = 1, queue = 500}\n'


async def figures(rounds: int) -> dict[str, tuple[int, list[float]]]:
    found: dict[str, tuple[int, list[float]]] = {}

    def add(ground: Ground) -> None:
        late = ground.late()
        for kind, lags in late.items():
            cases = sum(one == kind for one, _ in ground.left.values())
            before, was = found.get(kind, (0, []))
            found[kind] = before + cases, was + lags

    crowd = Crowd()
    async with Ground(24) as ground:
        for one in ground.backends:
            await one.open()
        for _ in range(rounds):
            for what, behind in BEHIND:
                for how in ENDS:
                    await crowd.between(ground, how, f"between attempts, {what}", behind)
                    await crowd.broken(ground, how, f"connection ended, {what}", behind)
                    await crowd.pipelined(ground, how, f"pipelined, {what}", behind)
                    await crowd.still(ground, how, f"stood still, {what}", behind)
            for how in ENDS:
                await crowd.busy(ground, how, "loop busy")
                await crowd.busy_between(ground, how, "loop busy, between attempts")
        await asyncio.sleep(1.5)
        add(ground)
    for own, sockets, count, kind in ((ONE_AT_ONCE, 1024, 2, "in the gate"), (None, 64, 31, "not let in yet")):
        for what, behind in BEHIND:
            async with Ground(4, own, limits={"sockets": sockets}) as ground:
                for one in ground.backends:
                    await one.open()
                stay = await crowd.held(ground, count)
                await asyncio.sleep(0.1)
                await asyncio.gather(
                    *(crowd.queued(ground, how, f"{kind}, {what}", behind) for how in ENDS for _ in range(rounds))
                )
                await asyncio.sleep(1.5)
                add(ground)
                for at in stay:
                    at.close()
    for what, behind in BEHIND:
        for body in (0, 30_000, 200_000, 1_000_000):
            if behind and body > 30_000:
                continue
            async with Ground(6) as ground:
                for one in ground.backends:
                    one.hold()
                kind = f"connecting, body {body // 1000} kB, {what}"
                await asyncio.gather(
                    *(crowd.connecting(ground, how, kind, behind, body) for how in ENDS for _ in range(rounds))
                )
                for one in ground.backends:
                    await one.open()
                await asyncio.sleep(2.5)
                add(ground)
    return found


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    found = asyncio.run(figures(rounds))
    for kind, (cases, late) in sorted(found.items()):
        print(f"{kind:60} {len(late):4} of {cases:4} late, longest {max(late, default=0.0):.3f} s")
    print(
        f"{sum(len(late) for _, late in found.values())} of {sum(cases for cases, _ in found.values())} late,"
        f" longest {max((max(late, default=0.0) for _, late in found.values()), default=0.0):.3f} s"
    )


if __name__ == "__main__":
    main()
