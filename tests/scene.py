"""Scripted test cases for the decision module and the proxy whose printed steps are compared with recorded traces.

To record a new trace after an intended change, run the tests with KEEP=1 and read the difference before committing.
"""

from __future__ import annotations

import asyncio
import difflib
import functools
import json
import os
import socket
import struct
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pepperusher import terms
from pepperusher.console.admin_handlers import AdminHandlers, admin_handlers_alone
from pepperusher.net import bootstrap
from pepperusher.net.proxy import Proxy
from pepperusher.policy import Balancer
from pepperusher.terms import Backend, Customer, PolicySettings, Listing, Ticket, UseCase
from pepperusher.rehearsal.ports import free_port

TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
CONSTANT_NAMES = {
    value: name.lower() for name, value in vars(terms).items() if name.isupper() and isinstance(value, int)
}


def policy_settings(**changes: object) -> PolicySettings:
    """Returns settings for tests; `changes` override the defaults."""
    settings = PolicySettings()
    defaults = {
        "seed": 7,
        "customers": [],
        "group_size": 1,
        "proxy_index": 0,
        "tier_index": 0,
        "last_tier": True,
        "zone": "here",
        "zones": ["here"],
        "most_attempts": 3,
        "cancel_allowed": True,
        "retry_after_allowed": False,
        "max_retry_after": 0,
        "polls_list": False,
        "ask_within": 10 * SECOND,
        "cold_share": 0.2,
        "warm_after": 10 * SECOND,
        "tip_multiple": 3.0,
        "overload_for": 2 * SECOND,
        "forwards_deadline": True,
        "importance_by_work": False,
        "reported_by": terms.REPORTS_NONE,
        "is_sidecar": False,
        "only_drain_binds": False,
        "use_cases": [
            UseCase("look", SECOND, 2 * SECOND, 1.0),
            UseCase(
                "book",
                SECOND,
                4 * SECOND,
                5.0,
                retry_class=terms.REFERENCED,
                scope=terms.SCOPE_CELL,
                deduplication_window=SECOND,
            ),
            UseCase("pay", SECOND, 4 * SECOND, 5.0, retry_class=terms.SINGLE_USE),
        ],
    }
    for name, value in {**defaults, **changes}.items():
        setattr(settings, name, value)
    return settings


class TraceTestCase(unittest.TestCase):
    """A test case that prints its steps; `compare_trace` compares them with tests/traces/NAME.txt."""

    lines: list[str]

    def compare_trace(self, name: str) -> None:
        """Compares the printed steps with a trace, or records them if KEEP=1."""
        path = TRACES / f"{name}.txt"
        actual = "\n".join(self.lines) + "\n"
        if os.environ.get("KEEP") == "1":
            path.write_text(actual)
        expected = path.read_text()
        if actual != expected:
            self.fail(
                "\n"
                + "".join(
                    difflib.unified_diff(expected.splitlines(True), actual.splitlines(True), f"kept {name}", "now")
                )
            )


class BalancerTestCase(TraceTestCase):
    """A test case that calls the decision module in virtual time and prints each call and its result."""

    def open(self, *addresses: str, **changes: object) -> None:
        """Creates a balancer with these backends; `changes` override its settings."""
        settings = policy_settings(**changes)
        self.lines: list[str] = []
        self.now = 100 * SECOND
        self.balancer = Balancer(settings, self.now, lambda line: self.note(f"log: {line}"))
        self.use_cases = {use.name: use for use in settings.use_cases}
        self.backends: dict[str, Backend] = {}
        self.list(*addresses)

    def note(self, line: str) -> None:
        """Prints a step with the time since the start."""
        self.lines.append(f"{(self.now - 100 * SECOND) / SECOND:8.3f} {line}")

    def list(
        self,
        *addresses: str,
        ready: bool = True,
        started_at: int = 0,
        whole: bool = False,
        weight: float = 1.0,
        zone: str = "here",
    ) -> None:
        """Backends are named by a letter and the cell: a1 and b1 share cell 1."""
        listings = [
            Listing(self.backends.setdefault(name, Backend(name)), zone, int(name[1:] or 0), weight, started_at, ready)
            for name in addresses
        ]
        self.balancer.update_endpoints(listings, whole, self.now)

    def pass_time(self, seconds: float) -> None:
        self.now += round(seconds * SECOND)

    def ticket(self, use_case: str = "look", timeout_s: float = 2.0, customer: Customer | None = None) -> Ticket:
        """Creates a ticket that arrives now."""
        return Ticket(self.use_cases[use_case], customer, self.now, self.now + round(timeout_s * SECOND))

    def choose_backend(self, ticket: Ticket, quiet: bool = False) -> Backend | int:
        """Requests a decision and prints it unless `quiet`."""
        answer = self.balancer.choose_backend(ticket, self.now)
        if isinstance(answer, Backend):
            text = f"{answer.address}, timeout {self.balancer.wait_time(ticket, self.now) / SECOND:.3f}"
        else:
            text = CONSTANT_NAMES[answer]
        if not quiet:
            self.note(f"{ticket.use_case.name} -> {text}")
        return answer

    def end_attempt(
        self, ticket: Ticket, outcome: int, duration_s: float = 0.0, final: bool = False, quiet: bool = False
    ) -> int:
        """Ends the ticket's last attempt after `duration_s` and prints what follows unless `quiet`."""
        self.pass_time(duration_s)
        attempt = ticket.attempts[-1]
        if not quiet:
            self.note(f"{ticket.use_case.name} at {attempt.backend.address} {CONSTANT_NAMES[outcome]}")
        answer = self.balancer.attempt_ended(attempt, outcome, final or outcome == terms.DONE, self.now)
        if not quiet and answer != terms.NOTHING:
            self.note(f"{ticket.use_case.name} -> {CONSTANT_NAMES[answer]}")
        return answer

    def call(
        self, outcome: int, duration_s: float = 0.1, use_case: str = "look", times: int = 1, quiet: bool = False
    ) -> None:
        """Sends tickets one after another, each with a single attempt of this outcome."""
        for _ in range(times):
            ticket = self.ticket(use_case)
            if isinstance(self.choose_backend(ticket, quiet), Backend):
                self.end_attempt(ticket, outcome, duration_s, final=True, quiet=quiet)


SETTINGS = {
    "group-size": 1,
    "ordinal": 0,
    "stage": 0,
    "zone": "here",
    "zones": ["here"],
    "tiers": ["only"],
    "policy-limits": {
        "cancel": True,
        "connect-timeout": 500.0,
        "keepalive": 10000.0,
        "most-transmissions": 3,
        "retry-after": True,
        "max-retry-after": 1000.0,
    },
    "rules": {
        "ask-within": 10000.0,
        "cold-share": 0.2,
        "warm-after": 5000.0,
        "tip-multiple": 3.0,
        "overload-for": 2000.0,
    },
    "family-info": {"passes-deadline": True},
    "use-cases": [
        {"name": "look", "promised-time": 1000.0, "outer-limit": 2000.0, "importance": 1.0, "effect": "pure"},
        {
            "name": "book",
            "promised-time": 1000.0,
            "outer-limit": 2000.0,
            "importance": 2.0,
            "effect": "token",
            "key-scope": "cell",
            "window": 5000.0,
        },
        {"name": "pay", "promised-time": 1000.0, "outer-limit": 2000.0, "importance": 5.0, "effect": "side_effect"},
    ],
}

SHARED_MEMORY = Path("/dev/shm")
# A client timeout (ms) and settings under which no ticket is late, however busy the machine is.
LONG_TIMEOUT_MS = 60_000
LONG_TIMEOUT_SETTINGS = {
    **SETTINGS,
    "use-cases": [{**use, "promised-time": 60_000.0, "outer-limit": 60_000.0} for use in SETTINGS["use-cases"]],
}


def memory_folder() -> str | None:
    """A folder in memory for the files of a scene that depends on the time, or None for the usual one. On a busy disk a plain
    write took over 1 s, in which the test and the proxies that write stood still.
    """
    return str(SHARED_MEMORY) if os.access(SHARED_MEMORY, os.W_OK | os.X_OK) else None


def reset_on_close(connection: socket.socket) -> None:
    """Makes closing the connection reset it, as a process that dies does."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def own_address() -> str:
    """Returns a free host:port for a child process, on a loopback address that only this test process uses."""
    pid = os.getpid()
    host = f"127.{240 + (pid >> 16) % 15}.{pid >> 8 & 255}.{pid & 255}"
    return f"{host}:{free_port(host)}"


def configuration(**changes: object) -> dict[str, object]:
    """Returns a proxy's configuration; `changes` override its entries."""
    return {
        "name": "p1",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:1",
        "seed": "5",
        "limits": {"sockets": 1024},
        "settings": SETTINGS,
        **changes,
    }


class FakeBackend:
    """A backend with scripted answers: for each request the next text of `behaviors`, either a raw response or a keyword
    below."""

    def __init__(self, name: str, output: list[str]) -> None:
        self.name, self.output = name, output
        self.behaviors: list[str] = []
        self.connections = 0
        self.deadlines: list[int] = []  # the timeout of each request, in us
        self.release = asyncio.Event()  # set by the test to release answers with the keyword "held"
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        while await self.answer(reader, writer):
            pass
        writer.close()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *rest = head.strip().split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in rest)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        if fields.get("request-timeout", "").endswith("u"):
            self.deadlines.append(int(fields["request-timeout"][:-1]))
        timeout_note = "with" if fields.get("request-timeout", "").endswith("u") else "without"
        key = f" key {fields['idempotency-key']}" if "idempotency-key" in fields else ""
        self.output.append(
            f"    {self.name} gets {first} id {fields.get('request-id')}{key} {len(body)} bytes, {timeout_note} a wait"
        )
        behavior = self.behaviors.pop(0) if self.behaviors else "ok"
        if behavior == "break":
            return False
        if behavior == "garble":
            writer.write(b"garbage\r\n\r\n")
        if behavior in ("silent", "garble"):
            try:
                await reader.read()
            except ConnectionError:
                pass
            self.output.append(f"    {self.name}'s connection is closed")
            return False
        if behavior == "soon":
            writer.write(b"HTTP/1.1 103 Soon\r\n\r\n")
        if behavior in ("slow", "soon"):
            await asyncio.sleep(0.4)
        if behavior == "held":
            await self.release.wait()
        if behavior in ("ok", "slow", "soon", "held", "stray"):
            text = f"{self.name} {fields.get('request-id')}"
            behavior = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}" + "stray" * (behavior == "stray")
        writer.write(behavior.encode())
        return not behavior.endswith("half")


class ProxyTestCase(TraceTestCase, unittest.IsolatedAsyncioTestCase):
    """A test case with a complete proxy on loopback between a test client, fake backends and a fake discovery."""

    beats = True  # False if a watch is to stay silent, or if the test writes partial lines to it
    start_spread = 0.0  # seconds over which the proxy spreads its first request for the list
    timeout_ms = 1500  # client timeout (ms) unless a test sets another

    async def open(self, *names: str, own: str | None = None, passed: str | None = None, **changes: object) -> None:
        """Starts the proxy. `own` is the text of its configuration file `own_file`, `passed` the folder for handover
        state."""
        if passed is None and "console" in changes:
            handover_folder = tempfile.TemporaryDirectory()
            self.addCleanup(handover_folder.cleanup)
            passed = handover_folder.name
        environment = mock.patch.dict(os.environ, {"TMPDIR": passed or ""})
        environment.start()
        self.addCleanup(environment.stop)
        # Most tests start with the first request for the list; with 0 it is sent immediately, by the same code.
        spread = mock.patch("pepperusher.net.discovery.START_SPREAD_S", self.start_spread)
        spread.start()
        self.addCleanup(spread.stop)
        self.lines = []
        self.logged: list[str] = []
        self.fake_backends = {name: FakeBackend(name, self.lines) for name in names}
        for backend in self.fake_backends.values():
            await backend.open()
        self.watches: list[asyncio.StreamWriter] = []
        self.watch_readers: list[asyncio.StreamReader] = []
        self.server = await asyncio.start_server(self.serve_watch, "127.0.0.1", 0)
        listed = {"version": 1, "full": True, "servers": [self.line(name) for name in names]}
        content = configuration(known=listed, **changes)
        content["discovery"] = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.given = json.dumps(content)
        read = self.reload_configuration()
        read.listen = ("127.0.0.1", 0)
        if read.console is not None:
            read.console = ("127.0.0.1", 0)
        make_extensions = admin_handlers_alone
        if own is not None:
            from pepperusher.extensions import extensions_of

            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            self.own_file = Path(folder.name) / "own.toml"
            self.own_file.write_text(own.replace("HERE", folder.name))
            make_extensions = functools.partial(extensions_of, self.own_file, ())
        self.proxy = Proxy(read, self.reload_configuration, make_extensions)
        # Tests send tickets in quick succession; the settling time of connections has tests of its own.
        self.proxy._backends._settle_time = 0
        self.proxy._log.say = lambda line, fields=None: self.logged.append(f"{line} {fields}" if fields else line)
        self.serving = asyncio.create_task(self.proxy.serve())
        await self.wait_until(lambda: self.proxy.port and (self.watches or not names))

    def reload_configuration(
        self, before: bootstrap.BootstrapConfiguration | None = None
    ) -> bootstrap.BootstrapConfiguration:
        """Reads the configuration file that a test has set in `given`."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(self.given)
            file.flush()
            return bootstrap.read_bootstrap(
                file.name, discovery=None if "discovery" in self.given else "127.0.0.1:1", before=before
            )

    @property
    def admin_handlers(self) -> AdminHandlers:
        """The extension that serves the admin console."""
        return next(extension for extension in self.proxy._extensions if isinstance(extension, AdminHandlers))

    def line(self, name: str, state: str = "ready") -> dict[str, object]:
        """Returns discovery's entry for a fake backend."""
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.fake_backends[name].port}",
            "zone": "here",
            "cell": int(name[1:]),
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one watch of the fake discovery service."""
        request_line = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]
        self.lines.append(f"discovery gets {request_line}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        self.watches.append(writer)
        self.watch_readers.append(reader)
        if self.beats:
            heartbeats = asyncio.create_task(self.beat(writer))
            self.addCleanup(heartbeats.cancel)  # keeps a reference to the task

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        """Sends a heartbeat as discovery does at least every 2 s; without it the proxy renewed its watch in tests that
        took longer on a busy machine."""
        while not writer.is_closing():
            await asyncio.sleep(0.5)
            writer.write(b"1\r\n\n\r\n")

    def endpoint_update(self, version: int, *servers: dict[str, object], full: bool = False, watch: int = -1) -> None:
        """Sends an endpoint update on a watch."""
        text = json.dumps({"version": version, "full": full, "servers": servers}) + "\n"
        self.watches[watch].write(f"{len(text):x}\r\n{text}\r\n".encode())

    async def wait_until(self, condition: object) -> None:
        """Waits up to 10 s until the condition is true."""
        async with asyncio.timeout(10):
            while not condition():
                await asyncio.sleep(0.002)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.proxy.port)

    def request(self, use: str, number: int, body: str = "", left: int | None = None, more: str = "") -> bytes:
        """Builds a request of a use case; `left` is its timeout in ms, `more` are further header lines."""
        left = self.timeout_ms if left is None else left
        verb = "POST" if body or use != "look" else "GET"
        more += f"Idempotency-Key: k{number}\r\n" if use == "book" else ""
        return (
            f"{verb} /{use}/page?q=1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {number}\r\nRequest-Class: {use}\r\n"
            f"Request-Timeout: {left}m\r\n{more}Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    async def receive_until_closed(self, at: socket.socket) -> tuple[bytes, ConnectionError | None]:
        """Reads until the connection ends; returns the bytes and the error that ended it, if any."""
        at.setblocking(False)
        received = b""
        try:
            async with asyncio.timeout(10):
                while chunk := await asyncio.get_running_loop().sock_recv(at, 65536):
                    received += chunk
        except ConnectionError as error:
            return received, error
        return received, None

    async def read_response(self, reader: asyncio.StreamReader) -> str:
        """Reads one response and describes its status and body, and whether the connection closes after it."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except asyncio.IncompleteReadError:
            return "the connection ends"
        fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
        body = await reader.readexactly(int(fields["content-length"]))
        closing = ", closing" if fields.get("connection") == "close" else ""
        return f"{head.split()[1]} {body.decode().strip()[:50]!r}{closing}"

    async def send_request(
        self, what: str, sent: bytes, at: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    ) -> None:
        """Sends a request and prints the response; `what` names the step in the trace."""
        reader, writer = at or await self.connect()
        writer.write(sent)
        self.lines.append(f"{what} ...")
        self.lines.append(f"{what} -> {await self.read_response(reader)}")
        if at is None:
            writer.close()

    async def asyncTearDown(self) -> None:
        self.proxy.stop()
        if not self.serving.done():
            self.serving.cancel()
        await asyncio.gather(self.serving, return_exceptions=True)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
        self.check_counted_memory()

    def check_counted_memory(self) -> None:
        """The proxy counts as held for its peers exactly what its open connections hold."""
        proxy = self.proxy
        held = [side.peers.held_bytes() for side in (proxy._callers, proxy._backends, proxy._discovery)]
        memory = proxy._pool.peer_memory
        self.assertEqual(memory.received, sum(one.received + one.read_ahead for one in held))
        self.assertEqual(memory.unsent, sum(one.unsent for one in held))
