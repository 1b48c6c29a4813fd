"""Crowds of clients that leave while they wait, around a whole proxy in a process of its own.

Stand-in backends record when the first byte of each attempt arrives; clients record when they left. An attempt that
begins more than `SLACK_S` seconds after that was sent although nobody waits for it. Run as a program, this module prints
the cases by kind: `python -m tests.leavers [rounds]`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from typing import Any

from pepperusher.rehearsal.ports import free_port
from tests.scene import SETTINGS, ProxyTestCase, configuration, reset_on_close

SLACK_S = 0.1
LIMITS = {**SETTINGS["policy-limits"], "connect-timeout": 2500.0}
# Timeouts long enough that the start of an attempt depends on the proxy and not on a client's deadline.
LONG_TIMEOUT_SETTINGS = {
    **SETTINGS,
    "policy-limits": LIMITS,
    "use-cases": [{**one, "promised-time": 3000.0, "outer-limit": 6000.0} for one in SETTINGS["use-cases"]],
}
LEAVING_WAYS = ("ends", "resets", "half")


class Backend:
    """Records each attempt and answers it according to `behaviour_plan`: a status, or "reset", after so many seconds."""

    def __init__(
        self, attempt_times: dict[str, list[float]], behaviour_plan: dict[str, list[tuple[float, str]]]
    ) -> None:
        self.attempt_times, self.behaviour_plan = attempt_times, behaviour_plan
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self._filling_sockets: list[socket.socket] = []
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        self.listener.listen(256)
        self.server = await asyncio.start_server(self._serve, sock=self.listener)

    def fill_accept_queue(self) -> None:
        """Fills the accept queue: connects succeed at the kernel's retry one second later, once the backend is opened."""
        self.listener.listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._filling_sockets.append(filler)

    def close(self) -> None:
        for filler in self._filling_sockets:
            filler.close()
        if self.server is not None:
            self.server.close()
        else:
            self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                received_at = time.monotonic()
                fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
                request_id = fields["request-id"]
                self.attempt_times[request_id].append(received_at)
                if fields.get("transfer-encoding") == "chunked":
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        await reader.readexactly(size + 2)
                    await reader.readuntil(b"\r\n")
                bytes_left = int(fields.get("content-length", 0))
                while bytes_left > 0 and (data := await reader.read(bytes_left)):
                    bytes_left -= len(data)
                if bytes_left:
                    break
                delay, action = (
                    self.behaviour_plan[request_id].pop(0) if self.behaviour_plan.get(request_id) else (0.0, "200")
                )
                await asyncio.sleep(delay)
                if action == "reset":
                    break
                writer.write(f"HTTP/1.1 {action} X\r\nContent-Length: 2\r\n\r\nok".encode())
        writer.close()


class ProxyProcess:
    """A proxy's process with its backends, and a discovery that sends only heartbeats."""

    def __init__(
        self,
        backends: int = 8,
        own_configuration: str | None = None,
        before_start: Callable[[], None] | None = None,
        **bootstrap_changes: Any,
    ) -> None:
        """`before_start` runs in the proxy's process before its program starts."""
        self.before_start = before_start
        self.environment: dict[str, str] = {}  # added to the proxy's environment
        self.attempt_times: dict[str, list[float]] = defaultdict(list)
        self.behaviour_plan: dict[str, list[tuple[float, str]]] = {}
        self.left_at: dict[str, tuple[str, float]] = {}  # by request: the kind of case, and when its client left
        self.backends = [Backend(self.attempt_times, self.behaviour_plan) for _ in range(backends)]
        self.own_configuration, self.bootstrap_changes = (
            own_configuration,
            {"settings": LONG_TIMEOUT_SETTINGS, **bootstrap_changes},
        )
        self.log_lines: list[str] = []

    async def __aenter__(self) -> ProxyProcess:
        self.folder = tempfile.TemporaryDirectory()
        self.discovery = await asyncio.start_server(self._watched, "127.0.0.1", 0)
        self.port = free_port()
        listed = {
            "version": 1,
            "full": True,
            "servers": [
                {"id": f"a{index}", "addr": f"127.0.0.1:{backend.port}", "cell": index, "state": "ready"}
                for index, backend in enumerate(self.backends)
            ],
        }
        bootstrap = configuration(
            listen=f"127.0.0.1:{self.port}",
            known=listed,
            discovery=f"127.0.0.1:{self.discovery.sockets[0].getsockname()[1]}",
            **self.bootstrap_changes,
        )
        path = os.path.join(self.folder.name, "told.json")
        with open(path, "w") as file:
            json.dump(bootstrap, file)
        options = []
        if self.own_configuration is not None:
            own_path = os.path.join(self.folder.name, "own.toml")
            with open(own_path, "w") as file:
                file.write(self.own_configuration)
            options = ["--own", own_path]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            "-m",
            "pepperusher",
            "serve",
            "--config",
            path,
            *options,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "TMPDIR": self.folder.name, **self.environment},
            preexec_fn=self.before_start,
        )
        self.log_reader = asyncio.create_task(self._read())
        async with asyncio.timeout(20):
            while not any("serving at" in line for line in self.log_lines):
                assert self.process.returncode is None, f"ended at its start: {self.log_lines}"
                await asyncio.sleep(0.005)
        return self

    async def _read(self) -> None:
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            self.log_lines.append(line.decode())

    async def _watched(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"1\r\n\n\r\n")
                await asyncio.wait([reading := asyncio.ensure_future(reader.read(1))], timeout=1)
                reading.cancel()
        writer.transport.abort()

    async def __aexit__(self, *_: object) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        self.log_reader.cancel()
        for backend in self.backends:
            backend.close()
        self.discovery.close()
        # Lets the stand-ins see the end of the proxy's connections, so that no writer is left when the loop is closed.
        await asyncio.sleep(0.05)
        self.folder.cleanup()

    def connect(self) -> socket.socket:
        """Opens a client's connection to the proxy."""
        client = socket.create_connection(("127.0.0.1", self.port), timeout=10)
        client.setblocking(False)
        # The kernel takes everything that is written, however much: a client that has left cannot write the rest.
        client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * 1024 * 1024)
        return client

    @contextlib.contextmanager
    def stopped(self) -> Iterator[None]:
        """Stops the proxy's process, so that its event loop does nothing meanwhile."""
        self.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def make_leave(self, client: socket.socket, way: str, case: str, *names: str) -> None:
        """Makes the client leave while these requests of it are unanswered."""
        for name in names:
            self.left_at[name] = f"{case}, {way}", time.monotonic()
        if way == "half":
            client.shutdown(socket.SHUT_WR)
            asyncio.get_running_loop().call_later(8, client.close)
            return
        if way == "resets":
            reset_on_close(client)
        client.close()

    async def wait_until(self, condition: Callable[[], object], timeout_s: float = 10.0) -> None:
        """Waits until the condition holds."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.002)

    def late_attempts(self) -> dict[str, list[float]]:
        """By kind of case, the delays of the attempts that began more than SLACK_S seconds after their client left."""
        delays: dict[str, list[float]] = {case: [] for case, _ in self.left_at.values()}
        for name, (case, left_at) in self.left_at.items():
            delay = max(self.attempt_times.get(name, [left_at]), default=left_at) - left_at
            if delay > SLACK_S:
                delays[case].append(delay)
        return delays


def request(use_case: str, request_id: str, body: str = "", timeout_ms: int = 5000) -> bytes:
    """A request as ProxyTestCase sends it."""
    return ProxyTestCase.request(None, use_case, request_id, body, timeout_ms)  # type: ignore[arg-type]


async def write(client: socket.socket, data: bytes) -> None:
    """Writes until the kernel has all of the data, or as much as it takes within 0.1 s."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(0.1):
            await asyncio.get_running_loop().sock_sendall(client, data)


class LeavingClients:
    """Starts clients that leave at various times; each method is one kind of case."""

    def __init__(self) -> None:
        self.count = 0

    def next_id(self) -> str:
        """A request id that was not used before."""
        self.count += 1
        return f"{self.count}"

    def pipelined_requests(self, size: int) -> bytes:
        """Valid requests of at least `size` bytes in all."""
        requests = b""
        while len(requests) < size:
            requests += request("pay", self.next_id(), "x" * 3000)
        return requests

    async def leave_between_attempts(
        self, proxy_process: ProxyProcess, way: str, case: str, pipelined_bytes: int
    ) -> None:
        """The first attempt fails some time after its client left."""
        request_id, client = self.next_id(), proxy_process.connect()
        proxy_process.behaviour_plan[request_id] = [(0.3, "500"), (0.3, "500"), (0.0, "200")]
        await write(client, request("look", request_id) + self.pipelined_requests(pipelined_bytes))
        await proxy_process.wait_until(lambda: proxy_process.attempt_times[request_id])
        await asyncio.sleep(0.05)
        proxy_process.make_leave(client, way, case, request_id)

    async def leave_before_reset(self, proxy_process: ProxyProcess, way: str, case: str, pipelined_bytes: int) -> None:
        """The first attempt's connection is closed by the backend some time after its client left."""
        request_id, client = self.next_id(), proxy_process.connect()
        proxy_process.behaviour_plan[request_id] = [(0.3, "reset"), (0.3, "reset")]
        await write(client, request("look", request_id) + self.pipelined_requests(pipelined_bytes))
        await proxy_process.wait_until(lambda: proxy_process.attempt_times[request_id])
        await asyncio.sleep(0.05)
        proxy_process.make_leave(client, way, case, request_id)

    async def leave_with_pipelined(
        self, proxy_process: ProxyProcess, way: str, case: str, pipelined_bytes: int
    ) -> None:
        """More requests are pipelined behind the first, which is answered after its client left."""
        client, request_ids = proxy_process.connect(), [self.next_id() for _ in range(5)]
        proxy_process.behaviour_plan[request_ids[0]] = [(0.3, "200")]
        await write(
            client, b"".join(request("pay", request_id, "x" * (pipelined_bytes // 5)) for request_id in request_ids)
        )
        await proxy_process.wait_until(lambda: proxy_process.attempt_times[request_ids[0]])
        await asyncio.sleep(0.05)
        proxy_process.make_leave(client, way, case, *request_ids)

    async def leave_while_connecting(
        self, proxy_process: ProxyProcess, way: str, case: str, pipelined_bytes: int, body: int
    ) -> None:
        """The first attempt waits for a connection, which is set up one second later."""
        request_id, client = self.next_id(), proxy_process.connect()
        await write(
            client,
            request("pay" if body else "look", request_id, "x" * body) + self.pipelined_requests(pipelined_bytes),
        )
        await asyncio.sleep(0.05)
        proxy_process.make_leave(client, way, case, request_id)

    async def leave_while_blocked(self, proxy_process: ProxyProcess, way: str, case: str) -> None:
        """The client connects and leaves within 80 ms in which the event loop does nothing."""
        request_ids = []
        for wait in (0.0, 0.02, 0.07):
            request_id, client = self.next_id(), proxy_process.connect()
            await asyncio.sleep(0.01)
            with proxy_process.stopped():
                await write(client, request("look", request_id))
                await asyncio.sleep(wait)
                proxy_process.make_leave(client, way, case, request_id)
                await asyncio.sleep(0.08 - wait)
            request_ids.append(request_id)

    async def leave_between_attempts_while_blocked(self, proxy_process: ProxyProcess, way: str, case: str) -> None:
        """The first attempt fails and its client leaves within 80 ms in which the event loop does nothing."""
        request_id, client = self.next_id(), proxy_process.connect()
        proxy_process.behaviour_plan[request_id] = [(0.06, "500"), (0.06, "500")]
        await write(client, request("look", request_id))
        await proxy_process.wait_until(lambda: proxy_process.attempt_times[request_id])
        with proxy_process.stopped():
            await asyncio.sleep(0.02)
            proxy_process.make_leave(client, way, case, request_id)
            await asyncio.sleep(0.06)

    async def leave_while_stopped(self, proxy_process: ProxyProcess, way: str, case: str, pipelined_bytes: int) -> None:
        """The client connects and leaves while the process is stopped."""
        request_id, client = self.next_id(), proxy_process.connect()
        with proxy_process.stopped():
            await write(client, request("look", request_id) + self.pipelined_requests(pipelined_bytes))
            proxy_process.make_leave(client, way, case, request_id)
            await asyncio.sleep(0.25)

    async def leave_while_queued(self, proxy_process: ProxyProcess, way: str, case: str, pipelined_bytes: int) -> None:
        """The ticket waits behind others, in the gate or in the kernel's accept queue."""
        request_id, client = self.next_id(), proxy_process.connect()
        await write(client, request("look", request_id) + self.pipelined_requests(pipelined_bytes))
        await asyncio.sleep(0.05)
        proxy_process.make_leave(client, way, case, request_id)

    async def send_slow_tickets(self, proxy_process: ProxyProcess, count: int) -> list[socket.socket]:
        """Sends `count` tickets that take half a second each, from clients that stay."""
        connected = []
        for _ in range(count):
            request_id, client = self.next_id(), proxy_process.connect()
            proxy_process.behaviour_plan[request_id] = [(0.5, "200")]
            await write(client, request("look", request_id))
            connected.append(client)
        return connected


PIPELINED_SIZES = (
    ("alone", 0),
    ("20 kB behind", 20_000),
    ("100 kB behind", 100_000),
    ("400 kB behind", 400_000),
    ("1 MB behind", 1_000_000),
)
ONE_TICKET_AT_A_TIME = '[[routes]]\nname = "all"\nconcurrency = {most = 1, queue = 500}\n'


async def run_cases(rounds: int) -> dict[str, tuple[int, list[float]]]:
    """Runs all cases. Returns, by kind, how many there were and the delays of those that were late."""
    results: dict[str, tuple[int, list[float]]] = {}

    def add_results(proxy_process: ProxyProcess) -> None:
        delays_by_case = proxy_process.late_attempts()
        for case, delays in delays_by_case.items():
            total = sum(other_case == case for other_case, _ in proxy_process.left_at.values())
            total_before, delays_before = results.get(case, (0, []))
            results[case] = total_before + total, delays_before + delays

    clients = LeavingClients()
    async with ProxyProcess(24) as proxy_process:
        for backend in proxy_process.backends:
            await backend.open()
        for _ in range(rounds):
            for description, pipelined_bytes in PIPELINED_SIZES:
                for way in LEAVING_WAYS:
                    await clients.leave_between_attempts(
                        proxy_process, way, f"between attempts, {description}", pipelined_bytes
                    )
                    await clients.leave_before_reset(
                        proxy_process, way, f"connection ended, {description}", pipelined_bytes
                    )
                    await clients.leave_with_pipelined(proxy_process, way, f"pipelined, {description}", pipelined_bytes)
                    await clients.leave_while_stopped(
                        proxy_process, way, f"stood still, {description}", pipelined_bytes
                    )
            for way in LEAVING_WAYS:
                await clients.leave_while_blocked(proxy_process, way, "loop busy")
                await clients.leave_between_attempts_while_blocked(proxy_process, way, "loop busy, between attempts")
        await asyncio.sleep(1.5)
        add_results(proxy_process)
    for own_configuration, sockets, count, case in (
        (ONE_TICKET_AT_A_TIME, 1024, 2, "in the gate"),
        (None, 64, 31, "not let in yet"),
    ):
        for description, pipelined_bytes in PIPELINED_SIZES:
            async with ProxyProcess(4, own_configuration, limits={"sockets": sockets}) as proxy_process:
                for backend in proxy_process.backends:
                    await backend.open()
                waiting = await clients.send_slow_tickets(proxy_process, count)
                await asyncio.sleep(0.1)
                await asyncio.gather(
                    *(
                        clients.leave_while_queued(proxy_process, way, f"{case}, {description}", pipelined_bytes)
                        for way in LEAVING_WAYS
                        for _ in range(rounds)
                    )
                )
                await asyncio.sleep(1.5)
                add_results(proxy_process)
                for client in waiting:
                    client.close()
    for description, pipelined_bytes in PIPELINED_SIZES:
        for body in (0, 30_000, 200_000, 1_000_000):
            if pipelined_bytes and body > 30_000:
                continue
            async with ProxyProcess(6) as proxy_process:
                for backend in proxy_process.backends:
                    backend.fill_accept_queue()
                case = f"connecting, body {body // 1000} kB, {description}"
                await asyncio.gather(
                    *(
                        clients.leave_while_connecting(proxy_process, way, case, pipelined_bytes, body)
                        for way in LEAVING_WAYS
                        for _ in range(rounds)
                    )
                )
                for backend in proxy_process.backends:
                    await backend.open()
                await asyncio.sleep(2.5)
                add_results(proxy_process)
    return results


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 2
    results = asyncio.run(run_cases(rounds))
    for case, (cases, delays) in sorted(results.items()):
        print(f"{case:60} {len(delays):4} of {cases:4} late, longest {max(delays, default=0.0):.3f} s")
    print(
        f"{sum(len(delays) for _, delays in results.values())} of {sum(cases for cases, _ in results.values())} late,"
        f" longest {max((max(delays, default=0.0) for _, delays in results.values()), default=0.0):.3f} s"
    )


if __name__ == "__main__":
    main()
