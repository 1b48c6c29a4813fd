"""Lists of backends relayed by control machines, between real processes: one or two control machines, proxies run by
`serve`, and a stand-in for discovery that counts its calls. Times are measured at the proxy from when discovery sends a
change.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from pepperusher.control.client import RefusedError, ask
from pepperusher.distribution import operator_client, publish, rollout
from pepperusher.distribution import control_file
from pepperusher.distribution.client import Client
from pepperusher.distribution.operator_client import NoAnswerError
from pepperusher.distribution.server import Server, ServerSettings
from pepperusher.distribution.messages import ENDPOINTS, Version
from pepperusher.settings import read_settings
from pepperusher.configuration import loader
from pepperusher.configuration.loader import Fault, ConfigurationError
from pepperusher.store.disk import Disk
from pepperusher.rehearsal.ports import free_port
from tests.scene import SETTINGS, LONG_TIMEOUT_SETTINGS, configuration, own_address
from tests.test_distribution_processes import HOST, SECRET, TIMEOUT_S, Machine, end_machines, wait_until

NAME = "east/web"
TIME_LIMIT_S = 6.0
# A margin beyond the limit for the delays of a busy test machine.
MARGIN_S = 1.5
PROXIES = 3


def _process_has_connection(process_id: int, port: int) -> bool:
    """Whether this process holds the end of a connection that has this port."""
    wanted = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        parts = line.split()
        if int(parts[1].rpartition(":")[2], 16) == port:
            wanted.add(f"socket:[{parts[9]}]")
    try:
        return any(
            os.readlink(f"/proc/{process_id}/fd/{descriptor}") in wanted
            for descriptor in os.listdir(f"/proc/{process_id}/fd")
        )
    except OSError:
        return False


class DiscoveryStandIn:
    """A stand-in for discovery: a list, its watches, and its callers. With `muted`, the process `owner` is accepted and
    sent nothing, as behind a partition. With `down`, connections are closed immediately.
    """

    def __init__(self, names: list[str]) -> None:
        self.list_version, self.states = 100, dict.fromkeys(names, "ready")
        self.calls: list[float] = []
        self.owner = 0  # the process id that is distinguished from others
        self.muted = False  # the owner is sent nothing
        self.down = False
        self._watches: dict[asyncio.StreamWriter, tuple[int, asyncio.Task[None]]] = {}  # removed when they end
        self._news = asyncio.Condition()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._handle_call, HOST, port)
        self.port: int = self._server.sockets[0].getsockname()[1]

    @property
    def watches(self) -> int:
        return len(self._watches)

    def list_line(self, full: bool, *names: str) -> bytes:
        servers = [
            {"id": name, "addr": f"127.0.0.1:{9000 + index}", "zone": "here", "cell": index, "state": self.states[name],
             "weight": 1.0, "started_ms": 0}
            for index, name in enumerate(self.states) if full or name in names
        ]  # fmt: skip
        return json.dumps({"version": self.list_version, "full": full, "servers": servers}).encode() + b"\n"

    def change_state(self, name: str, state: str) -> None:
        """Changes a state and sends it to all watches."""
        self.list_version += 1
        self.states[name] = state
        for writer, (process_id, _) in self._watches.items():
            if not self._silent(process_id):
                self._write(writer, self.list_line(False, name))

    def _silent(self, process_id: int) -> bool:
        return self.muted and process_id != 0

    @staticmethod
    def _write(writer: asyncio.StreamWriter, text: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _handle_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
            return
        self.calls.append(asyncio.get_running_loop().time())
        if self.down:
            writer.transport.abort()
            return
        port = writer.get_extra_info("peername")[1]
        process_id = self.owner if self.owner and _process_has_connection(self.owner, port) else 0
        heartbeat_task = asyncio.create_task(self._heartbeat(writer, process_id))
        self._watches[writer] = process_id, heartbeat_task
        if not self._silent(process_id):
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, self.list_line(True))
        try:
            await reader.read()
        except OSError:
            pass
        heartbeat_task.cancel()
        self._watches.pop(writer, None)
        writer.close()

    async def _heartbeat(self, writer: asyncio.StreamWriter, process_id: int) -> None:
        while True:
            await asyncio.sleep(2.0)
            if not self._silent(process_id):
                self._write(writer, b"\n")

    def close_watches(self) -> None:
        for writer in list(self._watches):
            writer.transport.abort()

    async def stop(self) -> None:
        self._server.close()
        self.close_watches()


class ProxyProcess:
    """A whole proxy in its own process."""

    def __init__(self, folder: Path, name: str, discovery: int, machines: list[int], pushed: bool = False) -> None:
        self.name, self.folder = name, folder
        self.socket = str(folder / f"{name}.sock")
        settings = {**LONG_TIMEOUT_SETTINGS, "discovery": "push"} if pushed else LONG_TIMEOUT_SETTINGS
        self.config = folder / f"{name}.json"
        bootstrap = configuration(name=name, listen=own_address(), discovery=f"{HOST}:{discovery}", settings=settings)
        self.config.write_text(json.dumps(bootstrap))
        self.own = folder / f"{name}.toml"
        text = f'[control]\nsocket = "{self.socket}"\n'
        if machines:
            text += (
                f"[distribution]\nmachines = {json.dumps([f'{HOST}:{port}' for port in machines])}\n"
                f'key_file = "{folder}/key"\nregion = "east"\nendpoints = "{NAME}"\n'
            )
        self.own.write_text(text)
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        with open(self.folder / f"{self.name}.err", "ab") as errors:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "pepperusher", "serve", "--config", str(self.config), "--own", str(self.own),
                stdout=errors, stderr=errors,
            )  # fmt: skip

    @property
    def ended(self) -> bool:
        return self.process is not None and self.process.returncode is not None

    @property
    def errors(self) -> str:
        return (self.folder / f"{self.name}.err").read_text()

    async def endpoint_status(self) -> dict[str, Any]:
        return (await asyncio.to_thread(ask, self.socket, "status"))["distribution"]["endpoints"]

    async def backend_states(self) -> dict[str, bool]:
        rows = (await asyncio.to_thread(ask, self.socket, "backends"))["backends"]
        return {row["id"]: row["ready"] for row in rows}

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Scene(unittest.IsolatedAsyncioTestCase):
    """One owner, as many relays as a test needs, and proxies that are configured with all of them."""

    RELAYS = 0

    async def asyncSetUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        (self.folder / "key").write_bytes(SECRET)
        self.discovery = DiscoveryStandIn([f"b{number}" for number in range(6)])
        await self.discovery.start()
        ports = [free_port(HOST) for _ in range(1 + self.RELAYS)]
        self.machines = [
            Machine(self.folder, 2 * number, port, [peer for peer in ports if peer != port], owns_facts=number == 0)
            for number, port in enumerate(ports)
        ]
        self.owner = self.machines[0]
        text = self.owner.file.read_text()
        self.owner.file.write_text(f'{text}[relay]\ndiscovery = "{HOST}:{self.discovery.port}"\nendpoints = "{NAME}"\n')
        await self.start_owner()
        await asyncio.gather(*(machine.start() for machine in self.machines[1:]))
        self.proxies = [
            ProxyProcess(self.folder, f"p{number}", self.discovery.port, self.ports_for_proxies(ports))
            for number in range(PROXIES)
        ]

    def ports_for_proxies(self, ports: list[int]) -> list[int]:
        """The machines that the proxies are configured with."""
        return ports

    async def start_owner(self) -> None:
        await self.owner.start()
        assert self.owner.process is not None
        self.discovery.owner = self.owner.process.pid

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(proxy.end() for proxy in self.proxies))
        await end_machines(self, self.machines)
        await self.discovery.stop()
        for proxy in self.proxies:
            self.assertNotIn("Traceback", proxy.errors)

    async def wait_for_all(self, description: str, condition: Any, timeout: float = TIMEOUT_S) -> float:
        """Waits until `condition` holds for the answers of all proxies, and returns how long that took."""
        loop = asyncio.get_running_loop()
        started = loop.time()

        async def holds(proxy: ProxyProcess) -> bool:
            try:
                return bool(await condition(proxy))
            except RefusedError:
                return False  # its socket file exists, but it does not listen yet

        while True:
            results = await asyncio.gather(*map(holds, self.proxies))
            if all(results):
                return loop.time() - started
            if loop.time() - started > timeout:
                raise AssertionError(
                    f"not within {timeout} s: {description}: {[await proxy.endpoint_status() for proxy in self.proxies]}"
                )
            await asyncio.sleep(0.02)

    async def wait_for_source(self, source: str, timeout: float = TIMEOUT_S) -> float:
        async def condition(proxy: ProxyProcess) -> bool:
            status = await proxy.endpoint_status()
            return status is not None and status["by"] == source and (source == "discovery" or not status["watched"])

        return await self.wait_for_all(f"source {source}", condition, timeout)

    async def wait_for_draining(self, *names: str, timeout: float = TIMEOUT_S) -> float:
        """Waits until exactly these backends are draining at every proxy."""

        async def condition(proxy: ProxyProcess) -> bool:
            states = await proxy.backend_states()
            return {name for name, ready in states.items() if not ready} == set(names) and len(states) == 6

        return await self.wait_for_all(f"draining {names}", condition, timeout)

    async def start_proxies(self) -> None:
        await asyncio.gather(*(proxy.start() for proxy in self.proxies))
        await wait_until(
            lambda: all(Path(proxy.socket).exists() or proxy.ended for proxy in self.proxies),
            description="the control sockets",
        )
        self.assertEqual([""] * PROXIES, [proxy.errors if proxy.ended else "" for proxy in self.proxies])
        await self.wait_for_source("control machines")
        await self.wait_for_draining()

    async def wait_for_single_watch(self) -> None:
        """Waits until the only watch is that of the owner."""
        await wait_until(lambda: self.discovery.watches == 1, description="a single watch")

    async def wait_until_quiet(self, seconds: float) -> None:
        """Waits until no proxy has switched away from control machines for this time: then no proxy watches discovery,
        and discovery receives no call.
        """
        loop = asyncio.get_running_loop()
        end, started, state, calls = loop.time() + TIMEOUT_S, loop.time(), (-1, -1), 0
        while loop.time() - started < seconds:
            calls_before = len(self.discovery.calls)
            statuses = [await proxy.endpoint_status() for proxy in self.proxies]
            state_now = sum(status["left"] for status in statuses), (await self.owner_counters())["relay calls"]
            if state_now != state or any(status["by"] != "control machines" for status in statuses):
                self.assertLess(loop.time(), end, f"switched again and again: {statuses}")
                started, state = loop.time(), state_now
            self.assertEqual(
                [], [status for status in statuses if status["by"] == "control machines" and status["watched"]]
            )
            # The age at which proxies switch to discovery, plus a delay on a busy machine.
            self.assertEqual(
                [],
                [
                    status
                    for status in statuses
                    if status["by"] == "control machines" and status["word_us_ago"] > 4_000_000
                ],
            )
            if loop.time() - started < 1.0:
                calls = calls_before  # the last one may have been in progress
            self.assertEqual(calls, calls_before)
            await asyncio.sleep(0.2)

    async def check_call_counts(self) -> None:
        """Every call that discovery received is in the counters of the owner or a proxy, and a proxy that did not
        switch made none.
        """
        while True:
            calls_before = len(self.discovery.calls)
            statuses = [await proxy.endpoint_status() for proxy in self.proxies]
            counted = (await self.owner_counters())["relay calls"] + sum(
                status["discovery_calls"] for status in statuses
            )
            if calls_before == len(self.discovery.calls) == counted:
                break
            await asyncio.sleep(0.1)
        self.assertEqual([], [status for status in statuses if not status["left"] and status["discovery_calls"]])

    async def owner_counters(self) -> dict[str, Any]:
        return await operator_client.fetch_counters((HOST, self.owner.port), SECRET)


class Relayed(Scene):
    async def test_one_watch_for_all_and_drains_in_time(self) -> None:
        await self.start_proxies()
        await self.wait_for_single_watch()
        self.discovery.change_state("b1", "draining")
        self.assertLess(await self.wait_for_draining("b1", timeout=TIME_LIMIT_S), TIME_LIMIT_S)
        # Changes in quick succession make one version, or a few.
        written = (await self.owner_counters())["versions"]
        for _ in range(50):
            self.discovery.change_state("b2", "draining")
            self.discovery.change_state("b2", "ready")
        self.discovery.change_state("b3", "draining")
        await self.wait_for_draining("b1", "b3", timeout=TIME_LIMIT_S)
        self.assertLess((await self.owner_counters())["versions"] - written, 10)
        # Over several of discovery's empty lines no proxy calls it, and each list is as old as discovery's last
        # message. On a machine that gives the stand-in no time its lines are late, and proxies call it for good reason;
        # then the check covers the next lines.
        await self.wait_until_quiet(7.0)
        await self.wait_for_single_watch()
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "pepperusher", "ctl", "--socket", self.proxies[0].socket, "status",
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        text = (await process.communicate())[0].decode()
        self.assertRegex(
            text,
            rf"endpoints/{NAME}, discovery's version 202: received from control machines for [0-9.]+ s, last discovery response",
        )
        self.assertRegex(
            text, r"not watched here, \d+ calls to discovery, failed over to it \d+ times, failed back \d+"
        )
        counters = await self.owner_counters()
        self.assertEqual((202, "stands"), (counters["relay discovery version"], counters["relay watch"]))
        self.assertGreaterEqual(counters["relay word age us"], 0)
        await self.check_call_counts()

    async def test_the_owner_killed_and_back_with_an_older_list(self) -> None:
        await self.start_proxies()
        await wait_until(lambda: bool(list(self.owner.state.glob("*.resource"))), description="the list on disk")
        shutil.copytree(self.owner.state, f"{self.owner.state}.old")
        self.discovery.change_state("b1", "draining")
        await self.wait_for_draining("b1", timeout=TIME_LIMIT_S)
        await self.owner.end()
        self.discovery.change_state("b2", "draining")
        self.assertLess(
            await self.wait_for_draining("b1", "b2", timeout=TIME_LIMIT_S + MARGIN_S), TIME_LIMIT_S + MARGIN_S
        )
        await self.wait_for_source("discovery")
        await wait_until(lambda: self.discovery.watches == PROXIES, description="a watch of each proxy")
        # Restarted from an outdated disk and cut off from discovery: it has no confirmation for the list that it
        # offers.
        shutil.rmtree(self.owner.state)
        shutil.move(f"{self.owner.state}.old", self.owner.state)
        self.discovery.muted = True
        await self.start_owner()
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started < 8.0:
            await self.wait_for_draining("b1", "b2", timeout=0.0)
            await self.wait_for_source("discovery", timeout=0.0)
        self.discovery.change_state("b3", "draining")
        await self.wait_for_draining("b1", "b2", "b3", timeout=TIME_LIMIT_S)
        # Once it is confirmed again, all proxies return to it and only the owner's watch remains.
        self.discovery.muted = False
        await self.wait_for_source("control machines")
        await self.wait_for_single_watch()
        await self.wait_for_draining("b1", "b2", "b3", timeout=0.0)
        self.discovery.change_state("b3", "ready")
        await self.wait_for_draining("b1", "b2", timeout=TIME_LIMIT_S)

    async def test_the_owner_stopped(self) -> None:
        """Its connections stay open, and the kernel buffers what is sent to it."""
        await self.start_proxies()
        assert self.owner.process is not None
        self.owner.process.send_signal(signal.SIGSTOP)
        self.discovery.change_state("b1", "draining")
        self.assertLess(await self.wait_for_draining("b1", timeout=TIME_LIMIT_S + MARGIN_S), TIME_LIMIT_S + MARGIN_S)
        await self.wait_for_source("discovery")
        self.owner.process.send_signal(signal.SIGCONT)
        await self.wait_for_source("control machines")
        await self.wait_for_single_watch()
        await self.wait_for_draining("b1", timeout=0.0)

    async def test_the_owner_cut_off_from_discovery(self) -> None:
        """It is alive and sends heartbeats, but its confirmations are old."""
        await self.start_proxies()
        self.discovery.muted = True
        self.discovery.change_state("b1", "draining")
        self.assertLess(await self.wait_for_draining("b1", timeout=TIME_LIMIT_S + MARGIN_S), TIME_LIMIT_S + MARGIN_S)
        await self.wait_for_source("discovery")
        self.discovery.change_state("b1", "ready")
        self.discovery.change_state("b2", "draining")
        await self.wait_for_draining("b2", timeout=TIME_LIMIT_S)
        self.discovery.muted = False
        await self.wait_for_source("control machines")
        await self.wait_for_single_watch()
        await self.wait_for_draining("b2", timeout=0.0)

    async def test_discovery_away_and_back_begun_anew(self) -> None:
        """The list stays in force until the owner's call gets an answer; versions that start again from the beginning
        mean a new discovery.
        """
        await self.start_proxies()
        self.discovery.change_state("b1", "draining")
        await self.wait_for_draining("b1", timeout=TIME_LIMIT_S)
        self.discovery.down = True
        self.discovery.close_watches()
        await self.wait_for_source("discovery")
        await self.wait_for_draining("b1", timeout=0.0)
        self.discovery.down, self.discovery.list_version = False, 3
        self.discovery.states["b4"] = "draining"
        self.assertLess(
            await self.wait_for_draining("b1", "b4", timeout=TIME_LIMIT_S + MARGIN_S), TIME_LIMIT_S + MARGIN_S
        )
        await self.wait_for_source("control machines")
        await self.wait_for_single_watch()
        self.assertEqual(3, (await self.proxies[0].endpoint_status())["version"])

    async def test_a_proxy_stopped_for_long(self) -> None:
        """The data waiting in its sockets is read first. An additional call to discovery is allowed, and it returns to
        control machines.
        """
        await self.start_proxies()
        stopped = self.proxies[0].process
        assert stopped is not None
        stopped.send_signal(signal.SIGSTOP)
        self.discovery.change_state("b1", "draining")
        await asyncio.sleep(4.0)
        stopped.send_signal(signal.SIGCONT)
        await self.wait_for_draining("b1", timeout=TIME_LIMIT_S)
        await self.wait_for_source("control machines")
        await self.wait_for_single_watch()
        await self.check_call_counts()

    async def publish_list(self, body: bytes) -> Version:
        """Publishes by hand, and repeats that if the owner wrote a version between the check and this write."""
        async with asyncio.timeout(TIMEOUT_S):
            while True:
                try:
                    return await publish((HOST, self.owner.port), SECRET, ENDPOINTS, NAME, body)
                except NoAnswerError as error:
                    if "came meanwhile" not in str(error):
                        raise

    async def test_what_is_no_list_is_refused_and_written_over(self) -> None:
        await self.start_proxies()
        address = HOST, self.owner.port
        for body in (b"no list", b'{"version": 900, "full": true, "servers": []}', b"[" * 100_000):
            await self.publish_list(body)
            await self.wait_for_draining(timeout=TIME_LIMIT_S)
        # A well-formed list that discovery never sent: the owner overwrites it at discovery's next message. The one
        # with a lower version is not even applied, since it has no confirmation.
        for number in (50, 900):
            forged = json.loads(self.discovery.list_line(True))
            forged |= {
                "version": number,
                "servers": forged["servers"][1:],
                "discovery": f"{HOST}:{self.discovery.port}",
            }
            version = await self.publish_list(json.dumps(forged).encode())
            async with asyncio.timeout(TIMEOUT_S):
                while (await rollout(address, SECRET, ENDPOINTS, NAME)).version <= version:
                    await asyncio.sleep(0.05)
            await self.wait_for_draining(timeout=TIME_LIMIT_S)
        self.discovery.change_state("b5", "draining")
        await self.wait_for_draining("b5", timeout=TIME_LIMIT_S)
        await self.wait_for_source("control machines")
        rows = (await rollout(address, SECRET, ENDPOINTS, NAME)).in_force
        self.assertEqual(PROXIES, rows)


class OverTwoMachines(Scene):
    """Proxies that are configured only with a machine that is not the owner."""

    RELAYS = 1

    def ports_for_proxies(self, ports: list[int]) -> list[int]:
        return ports[1:]

    async def test_told_by_one_that_is_told_itself(self) -> None:
        await self.start_proxies()
        await self.wait_for_single_watch()
        self.discovery.change_state("b1", "draining")
        await self.wait_for_draining("b1", timeout=TIME_LIMIT_S)
        # The machine in between is alive, but discovery's confirmation grows old all the same.
        await self.owner.end()
        self.discovery.change_state("b2", "draining")
        self.assertLess(
            await self.wait_for_draining("b1", "b2", timeout=TIME_LIMIT_S + MARGIN_S), TIME_LIMIT_S + MARGIN_S
        )
        await self.wait_for_source("discovery")
        await self.start_owner()
        await self.wait_for_source("control machines")
        await self.wait_for_single_watch()
        await self.wait_for_draining("b1", "b2", timeout=0.0)

    async def test_all_control_machines_gone(self) -> None:
        await self.start_proxies()
        for machine in self.machines:
            await machine.end()
        self.discovery.change_state("b1", "draining")
        self.assertLess(await self.wait_for_draining("b1", timeout=TIME_LIMIT_S + MARGIN_S), TIME_LIMIT_S + MARGIN_S)
        await self.wait_for_source("discovery")
        await wait_until(lambda: self.discovery.watches == PROXIES, description="a watch of each proxy")
        # A start without control machines: discovery is called after a while.
        await self.proxies[0].end()
        Path(self.proxies[0].socket).unlink(missing_ok=True)
        await self.proxies[0].start()
        await wait_until(lambda: Path(self.proxies[0].socket).exists(), description="the control socket")
        await self.wait_for_draining("b1")


class Prompt(unittest.IsolatedAsyncioTestCase):
    async def test_nothing_said_waits_for_an_acknowledgement(self) -> None:
        """A report behind a list, and the next list behind that report, were each delayed by 40 ms."""
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        server = Server(
            ServerSettings("c", "east", "", (HOST, 0), [], None, True, 100, "127.0.0.1"), SECRET, Disk(folder),
            lambda what, **figures: None, 1,
        )  # fmt: skip
        port = await server.start()
        client = Client(
            [(HOST, port)], [(ENDPOINTS, NAME)], lambda one: None, key=SECRET, name="p", region="east", zone="", seed=1
        )
        client.start()
        await wait_until(lambda: bool(client.upstreams), description="connections to upstreams")
        accepted = next(iter(server._connections.values())).link._transport
        assert accepted is not None
        self.assertTrue(accepted.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await client.stop()
        await server.stop()


class Alone(unittest.TestCase):
    def loaded_modules(self, code: str, *names: str) -> list[str]:
        result = subprocess.run(
            [sys.executable, "-c", f"import sys; {code}; print([n for n in sys.modules if n in {names!r}])"],
            capture_output=True, text=True, check=True, timeout=60,
        )  # fmt: skip
        modules: list[str] = json.loads(result.stdout.replace("'", '"'))
        return modules

    def test_nobody_loads_it_whose_file_does_not_name_it(self) -> None:
        names = (
            "pepperusher.distribution.relay",
            "pepperusher.net.endpoint_relay",
            "pepperusher.distribution.endpoint_source",
        )
        for code in (
            "import pepperusher.__main__; from pepperusher.net import proxy",
            "import pepperusher.extensions; from pepperusher.net import distributed_configuration",
            "import pepperusher.distribution.commands",
        ):
            self.assertEqual([], self.loaded_modules(code, *names))

    def test_a_control_machine_loads_nothing_of_a_proxy(self) -> None:
        names = ("pepperusher.net.proxy", "pepperusher.net.backends", "pepperusher.facade", "pepperusher.policy")
        code = "import pepperusher.distribution.commands, pepperusher.distribution.relay"
        self.assertEqual([], self.loaded_modules(code, *names))

    def test_what_is_wrong_in_either_file_is_a_line(self) -> None:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder)
        (folder / "key").write_bytes(SECRET)
        file = folder / "c.toml"
        common_settings = f'name = "c"\nlisten = "127.0.0.1:0"\nkey_file = "{folder}/key"\nstate_dir = "{folder}/s"\nregion = "east"\n'
        file.write_text(f'{common_settings}[relay]\ndiscovery = "nowhere"\nendpoints = "west/web"\n')
        self.assertEqual(
            ["relay", "relay.discovery", "relay.endpoints"],
            sorted(fault.key for fault in self.faults(lambda: control_file.read(file))),
        )
        file.write_text(
            f'{common_settings}owns_facts = true\n[relay]\ndiscovery = "127.0.0.1:5"\nendpoints = "east/web"\n'
        )
        self.assertEqual("east/web", control_file.read(file).file.relay.endpoints)  # type: ignore[union-attr]
        file.write_text(
            f'{common_settings}owns_facts = true\n[relay]\ndiscovery = "127.0.0.1:5"\nendpoint = "east/web"\n'
        )
        self.assertTrue(self.faults(lambda: control_file.read(file)))
        for endpoints, fault_count in (("web", 1), ("/web", 1), ("east/", 1), ("east/web", 0)):
            text = f'[distribution]\nmachines = ["127.0.0.1:5"]\nkey_file = "{folder}/key"\nendpoints = "{endpoints}"\n'
            faults = self.faults(lambda: loader.parse(text, "own.toml", read_settings(SETTINGS, 5)))
            self.assertEqual(["distribution.endpoints"] * fault_count, [fault.key for fault in faults])
        text = f'[distribution]\nkey_file = "{folder}/key"\nendpoints = "east/web"\n'
        self.assertEqual(
            ["distribution.machines"],
            [fault.key for fault in self.faults(lambda: loader.parse(text, "own.toml", read_settings(SETTINGS, 5)))],
        )

    @staticmethod
    def faults(read: Any) -> list[Fault]:
        try:
            read()
        except ConfigurationError as error:
            return list(error.faults)
        return []


if __name__ == "__main__":
    unittest.main()
