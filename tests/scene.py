"""One scripted conversation with the decision module, printed as it goes and compared with the trace that is kept.

To keep a new trace after a wanted change, run the tests with KEEP=1 and read the difference before committing it.
"""

from __future__ import annotations

import asyncio
import difflib
import functools
import json
import os
import socket
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

TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
WORDS = {value: name.lower() for name, value in vars(terms).items() if name.isupper() and isinstance(value, int)}


def policy_settings(**changes: object) -> PolicySettings:
    made = PolicySettings()
    given = {
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
    for name, value in {**given, **changes}.items():
        setattr(made, name, value)
    return made


class TraceTestCase(unittest.TestCase):
    """A test case whose steps print; `kept` compares what was printed with tests/traces/NAME.txt."""

    lines: list[str]

    def compare_trace(self, name: str) -> None:
        path = TRACES / f"{name}.txt"
        said = "\n".join(self.lines) + "\n"
        if os.environ.get("KEEP") == "1":
            path.write_text(said)
        was = path.read_text()
        if said != was:
            self.fail(
                "\n" + "".join(difflib.unified_diff(was.splitlines(True), said.splitlines(True), f"kept {name}", "now"))
            )


class BalancerTestCase(TraceTestCase):
    """A conversation with the module."""

    def open(self, *addresses: str, **changes: object) -> None:
        told = policy_settings(**changes)
        self.lines: list[str] = []
        self.now = 100 * SECOND
        self.balancer = Balancer(told, self.now, lambda line: self.note(f"log: {line}"))
        self.use_cases = {use.name: use for use in told.use_cases}
        self.backends: dict[str, Backend] = {}
        self.list(*addresses)

    def note(self, line: str) -> None:
        self.lines.append(f"{(self.now - 100 * SECOND) / SECOND:8.3f} {line}")

    def list(
        self,
        *addresses: str,
        ready: bool = True,
        born: int = 0,
        whole: bool = False,
        weight: float = 1.0,
        zone: str = "here",
    ) -> None:
        """Backends are named by letter and cell: a1 and b1 share cell 1."""
        lines = [
            Listing(self.backends.setdefault(name, Backend(name)), zone, int(name[1:] or 0), weight, born, ready)
            for name in addresses
        ]
        self.balancer.update_endpoints(lines, whole, self.now)

    def pass_time(self, seconds: float) -> None:
        self.now += round(seconds * SECOND)

    def ticket(self, use: str = "look", left: float = 2.0, customer: Customer | None = None) -> Ticket:
        return Ticket(self.use_cases[use], customer, self.now, self.now + round(left * SECOND))

    def where(self, ticket: Ticket, quiet: bool = False) -> Backend | int:
        answer = self.balancer.choose_backend(ticket, self.now)
        if isinstance(answer, Backend):
            said = f"{answer.address}, patience {self.balancer.wait_time(ticket, self.now) / SECOND:.3f}"
        else:
            said = WORDS[answer]
        if not quiet:
            self.note(f"{ticket.use_case.name} -> {said}")
        return answer

    def after(self, ticket: Ticket, how: int, took: float = 0.0, over: bool = False, quiet: bool = False) -> int:
        self.pass_time(took)
        sent = ticket.attempts[-1]
        if not quiet:
            self.note(f"{ticket.use_case.name} at {sent.backend.address} {WORDS[how]}")
        answer = self.balancer.attempt_ended(sent, how, over or how == terms.DONE, self.now)
        if not quiet and answer != terms.NOTHING:
            self.note(f"{ticket.use_case.name} -> {WORDS[answer]}")
        return answer

    def call(self, how: int, took: float = 0.1, use: str = "look", times: int = 1, quiet: bool = False) -> None:
        for _ in range(times):
            ticket = self.ticket(use)
            if isinstance(self.where(ticket, quiet), Backend):
                self.after(ticket, how, took, over=True, quiet=quiet)


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

# No ticket is late, however busy the machine, where its client says that it waits for as long (in ms).
LONG_TIMEOUT_MS = 60_000
LONG_TIMEOUT_SETTINGS = {
    **SETTINGS,
    "use-cases": [{**use, "promised-time": 60_000.0, "outer-limit": 60_000.0} for use in SETTINGS["use-cases"]],
}


_given: set[str] = set()  # by this process, one for each that it starts; emptied by its end


def own_address() -> str:
    """host:port for a process that is told where to listen, on a loopback address that this process alone
    goes by.

    At 127.0.0.1 a port that the kernel says is free may be an outgoing connection's by the time the process
    has come so far, also another test's: it then ends with "Address already in use". None goes out from here.
    """
    pid = os.getpid()
    host = f"127.{240 + (pid >> 16) % 15}.{pid >> 8 & 255}.{pid & 255}"
    while True:
        with socket.socket() as free:
            free.bind((host, 0))
            made = f"{host}:{free.getsockname()[1]}"
        if made not in _given:
            _given.add(made)
            return made


def configuration(**changes: object) -> dict[str, object]:
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
    """A backend that does what it is told with each request, in turn: an answer's text, or a word below."""

    def __init__(self, name: str, said: list[str]) -> None:
        self.name, self.said = name, said
        self.does: list[str] = []
        self.connections = 0
        self.deadlines: list[int] = []  # as each request told it, in us
        self.may = asyncio.Event()  # set by the test: what is "held" goes on
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
        wait = "with" if fields.get("request-timeout", "").endswith("u") else "without"
        key = f" key {fields['idempotency-key']}" if "idempotency-key" in fields else ""
        self.said.append(
            f"    {self.name} gets {first} id {fields.get('request-id')}{key} {len(body)} bytes, {wait} a wait"
        )
        what = self.does.pop(0) if self.does else "ok"
        if what == "break":
            return False
        if what == "garble":
            writer.write(b"garbage\r\n\r\n")
        if what in ("silent", "garble"):
            try:
                await reader.read()
            except ConnectionError:
                pass
            self.said.append(f"    {self.name}'s connection is closed")
            return False
        if what == "soon":
            writer.write(b"HTTP/1.1 103 Soon\r\n\r\n")
        if what in ("slow", "soon"):
            await asyncio.sleep(0.4)
        if what == "held":
            await self.may.wait()
        if what in ("ok", "slow", "soon", "held", "stray"):
            text = f"{self.name} {fields.get('request-id')}"
            what = f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}" + "stray" * (what == "stray")
        writer.write(what.encode())
        return not what.endswith("half")


class ProxyTestCase(TraceTestCase, unittest.IsolatedAsyncioTestCase):
    """A whole proxy on loopback between a toy client, toy backends and a toy discovery."""

    beats = True  # False where a watch is to be silent, or a line of it to come in parts
    start_spread = 0.0  # seconds within which it asks for the list at its start
    left = 1500  # how long clients wait that say nothing else, in ms

    async def open(self, *names: str, own: str | None = None, passed: str | None = None, **changes: object) -> None:
        """`own` is the text of the proxy's own file, at `own_file`; `passed` the folder for what processes pass on."""
        if passed is None and "console" in changes:
            kept = tempfile.TemporaryDirectory()
            self.addCleanup(kept.cleanup)
            passed = kept.name
        environment = mock.patch.dict(os.environ, {"TMPDIR": passed or ""})
        environment.start()
        self.addCleanup(environment.stop)
        # Most tests are about what follows the first call; with 0 it goes out at once, by the same code.
        spread = mock.patch("pepperusher.net.discovery.START_SPREAD_S", self.start_spread)
        spread.start()
        self.addCleanup(spread.stop)
        self.lines = []
        self.logged: list[str] = []
        self.fake_backends = {name: FakeBackend(name, self.lines) for name in names}
        for toy in self.fake_backends.values():
            await toy.open()
        self.watches: list[asyncio.StreamWriter] = []
        self.heard: list[asyncio.StreamReader] = []
        self.server = await asyncio.start_server(self.watched, "127.0.0.1", 0)
        listed = {"version": 1, "full": True, "servers": [self.line(name) for name in names]}
        given = configuration(known=listed, **changes)
        given["discovery"] = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.given = json.dumps(given)
        read = self.read_again()
        read.listen = ("127.0.0.1", 0)
        if read.console is not None:
            read.console = ("127.0.0.1", 0)
        made = admin_handlers_alone
        if own is not None:
            from pepperusher.extensions import extensions_of

            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            self.own_file = Path(folder.name) / "own.toml"
            self.own_file.write_text(own.replace("HERE", folder.name))
            made = functools.partial(extensions_of, self.own_file, ())
        self.proxy = Proxy(read, self.read_again, made)
        # Here tickets follow one another at once; that a connection settles has tests of its own.
        self.proxy._backends._settles = 0
        self.proxy._log.say = lambda line, figures=None: self.logged.append(f"{line} {figures}" if figures else line)
        self.serving = asyncio.create_task(self.proxy.serve())
        await self.until(lambda: self.proxy.port and (self.watches or not names))

    def read_again(self, before: bootstrap.BootstrapConfiguration | None = None) -> bootstrap.BootstrapConfiguration:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(self.given)
            file.flush()
            return bootstrap.read_bootstrap(
                file.name, discovery=None if "discovery" in self.given else "127.0.0.1:1", before=before
            )

    @property
    def desk(self) -> AdminHandlers:
        return next(one for one in self.proxy._extensions if isinstance(one, AdminHandlers))

    def line(self, name: str, state: str = "ready") -> dict[str, object]:
        return {
            "id": name,
            "addr": f"127.0.0.1:{self.fake_backends[name].port}",
            "zone": "here",
            "cell": int(name[1:]),
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def watched(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        asked = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[0]
        self.lines.append(f"discovery gets {asked}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
        self.watches.append(writer)
        self.heard.append(reader)
        if self.beats:
            beating = asyncio.create_task(self.beat(writer))
            self.addCleanup(beating.cancel)  # and so it is kept

    async def beat(self, writer: asyncio.StreamWriter) -> None:
        """As discovery does, every 2 s at the latest: a test that took longer, on a busy machine, saw its watch asked for anew."""
        while not writer.is_closing():
            await asyncio.sleep(0.5)
            writer.write(b"1\r\n\n\r\n")

    def endpoint_update(self, version: int, *servers: dict[str, object], full: bool = False, watch: int = -1) -> None:
        text = json.dumps({"version": version, "full": full, "servers": servers}) + "\n"
        self.watches[watch].write(f"{len(text):x}\r\n{text}\r\n".encode())

    async def until(self, true: object) -> None:
        async with asyncio.timeout(10):
            while not true():
                await asyncio.sleep(0.002)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection("127.0.0.1", self.proxy.port)

    def request(self, use: str, number: int, body: str = "", left: int | None = None, more: str = "") -> bytes:
        left = self.left if left is None else left
        verb = "POST" if body or use != "look" else "GET"
        more += f"Idempotency-Key: k{number}\r\n" if use == "book" else ""
        return (
            f"{verb} /{use}/page?q=1 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {number}\r\nRequest-Class: {use}\r\n"
            f"Request-Timeout: {left}m\r\n{more}Content-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    async def to_the_end(self, at: socket.socket) -> tuple[bytes, ConnectionError | None]:
        """All that a client outside the loop hears till its connection ends, and what broke it."""
        at.setblocking(False)
        heard = b""
        try:
            async with asyncio.timeout(10):
                while part := await asyncio.get_running_loop().sock_recv(at, 65536):
                    heard += part
        except ConnectionError as error:
            return heard, error
        return heard, None

    async def hear(self, reader: asyncio.StreamReader) -> str:
        """One answer, as its status, body and whether more may follow."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        except asyncio.IncompleteReadError:
            return "the connection ends"
        fields = dict(line.split(": ", 1) for line in head.strip().split("\r\n")[1:])
        body = await reader.readexactly(int(fields["content-length"]))
        closing = ", closing" if fields.get("connection") == "close" else ""
        return f"{head.split()[1]} {body.decode().strip()[:50]!r}{closing}"

    async def ask(
        self, what: str, sent: bytes, at: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    ) -> None:
        reader, writer = at or await self.connect()
        writer.write(sent)
        self.lines.append(f"{what} ...")
        self.lines.append(f"{what} -> {await self.hear(reader)}")
        if at is None:
            writer.close()

    async def asyncTearDown(self) -> None:
        self.proxy.stop()
        if not self.serving.done():
            self.serving.cancel()
        await asyncio.gather(self.serving, return_exceptions=True)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()
