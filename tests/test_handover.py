"""One process in place of another: whole processes on loopback, and the state that passes between them."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pepperusher.console.admin_commands import NEVER, AdminCommand
from pepperusher.console.process_slot import process_slots
from pepperusher.console.process_liveness import ProcessLiveness
from pepperusher.console.state import BadState, State, state_of, text_of
from pepperusher.facade import Endpoint, Facade
from pepperusher.settings import read_settings

from tests.scene import SECOND, SETTINGS, TraceTestCase, ProxyTestCase, own_address


class Marks(unittest.TestCase):
    def test_who_stands_still_by_its_marks_alone(self) -> None:
        pulse, now = ProcessLiveness(), 0

        def looks(mark: int, span: int, every: int = 50_000) -> bool:
            nonlocal now
            until = now + span
            while now < until:
                now += every
                found = pulse.still(mark, now)
            return found

        self.assertFalse(looks(1, 250_000))
        self.assertFalse(looks(2, 250_000))
        self.assertTrue(looks(2, 100_000))
        self.assertFalse(looks(3, 250_000))
        now += 5_000_000  # this one stood still itself
        self.assertFalse(looks(3, 250_000))
        self.assertTrue(looks(3, 100_000))
        now += 5_000_000  # and again: what was found holds, since there is no new mark
        self.assertTrue(looks(3, 50_000))
        pulse.anew()
        self.assertFalse(looks(3, 250_000))


class Passed(TraceTestCase):
    def test_what_another_left_is_read_as_a_stranger_s(self) -> None:
        self.lines = []
        good = State(
            {"a": AdminCommand(True, 5), "b": AdminCommand(False, 9)},
            AdminCommand(True, 7),
            "next",
            True,
            "127.0.0.1:1",
            {"version": 4, "full": True, "servers": []},
            {"times": {}},
            True,
            False,
            12_000_000,
        )
        self.assertEqual(good, state_of(text_of(good)))
        told = json.loads(text_of(good))
        older = {name: part for name, part in told.items() if name not in ("told_by_source", "expires_at")}
        self.assertEqual(good._replace(told_by_source=True, expires_at=None), state_of(json.dumps(older)))
        for what, text in (
            ("nothing", ""),
            ("half", text_of(good)[:70]),
            ("deep", "[" * 100_000),
            ("a list", "[]"),
            ("another release's", json.dumps({**told, "form": 2})),
            ("no bans", json.dumps({**told, "bans": None})),
            ("a ban without a time", json.dumps({**told, "bans": {"a": [True]}})),
            ("a ban that is no order", json.dumps({**told, "bans": {"a": [1, 5]}})),
            ("a time of no sort", json.dumps({**told, "bans": {"a": [True, 1e300]}})),
            ("a drain that is none", json.dumps({**told, "drain": "yes"})),
            ("an end of its term that is none", json.dumps({**told, "expires_at": -1})),
            ("a list that is none", json.dumps({**told, "listed": 3})),
            ("a name that is none", json.dumps({**told, "seen": {}})),
        ):
            try:
                self.lines.append(f"{what}: {state_of(text)}")
            except BadState as error:
                self.lines.append(f"{what}: {error}")
        self.compare_trace("handover_state")

    def test_what_was_learned_goes_on_elsewhere(self) -> None:
        """A breaker that is open stays so for the rest of its period; words that are no figures change nothing."""
        facades = [Facade(read_settings(SETTINGS, 5), 100 * SECOND, lambda _: None) for _ in range(2)]
        for facade in facades:
            facade.update_endpoints(
                [Endpoint("a", "here", 1, 1.0, 0, True), Endpoint("b", "here", 1, 1.0, 0, True)], True, 100 * SECOND
            )
        first, second = facades
        for number in range(40):
            now = (100 + number // 10) * SECOND
            ticket = first.open_ticket("look", "", now, SECOND, 0)
            step = first.choose_backend(ticket, now)
            while step.action == "send":
                step = first.report(ticket, "done" if step.backend == "a" else "reset", now + 20_000)
            first.close_ticket(ticket, now + 20_000)
        now = 104 * SECOND
        learned = json.loads(json.dumps(first.export_learned(now)))
        for bad in (
            {},
            {**learned, "open_for": {"a": "soon"}},
            {**learned, "flow": [1]},
            {**learned, "times": {"look": [-1, 0]}},
        ):
            self.assertRaises(ValueError, second.import_learned, bad, now)
        self.assertEqual({"open_for": {}, "times": {}, "flow": [0, 0.0, 0.0]}, second.export_learned(now))
        second.import_learned(learned, now)
        self.assertEqual(list(learned["open_for"]), ["b"])
        self.assertEqual(first.backends()[1]["open_until"], second.backends()[1]["open_until"])
        self.assertEqual(learned["times"], second.export_learned(now)["times"])

    def test_who_sits_where(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            first, following = process_slots(folder, "p/1")
            again, _ = process_slots(folder, "p/1")
            self.assertTrue(first.take())
            self.assertEqual((False, True, False), (again.take(), again.taken(), first.taken()))
            first.write(State({}, NEVER, "x"))
            self.assertEqual("x", again.read().seen)
            self.assertIsNone(again.read())  # nothing new
            first.close()
            self.assertTrue(again.take())
            Path(folder, "pepperusher.p%2f1.state").write_bytes(b'{"form":1,"bans"')
            self.assertRaises(BadState, again.read)
            following.close()
            again.close()


class Process:
    """`serve` as the platform starts it."""

    def __init__(self, street: Replaced, console: str) -> None:
        self.street, self.console = street, console

    async def start(self) -> Process:
        self.log = tempfile.TemporaryFile("w+")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "pepperusher",
            "serve",
            "--config",
            str(self.street.file),
            "--console",
            self.console,
            env={**os.environ, "TMPDIR": self.street.folder},
            stderr=self.log,
        )
        return self

    async def ready(self) -> None:
        async with asyncio.timeout(60):  # on a busy machine a start alone takes over 10 s
            while "200" not in await self.call("GET", "/-/ready"):
                await asyncio.sleep(0.02)

    async def call(self, method: str, path: str) -> str:
        host, port = self.console.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return "nobody"
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        said = (await reader.read()).decode().split("\r\n")[0]
        writer.close()
        return said

    async def logs(self, words: str, after: int = 0) -> int:
        """Where its log goes on once it has said so, from a place on."""
        async with asyncio.timeout(60):
            while True:
                # Not by seek: the process writes where this one stands.
                text = os.pread(self.log.fileno(), 1 << 20, 0).decode()
                if (at := text.find(words, after)) >= 0:
                    return at + len(words)
                await asyncio.sleep(0.02)

    async def end(self, how: int = signal.SIGTERM) -> int:
        if self.process.returncode is None:
            self.process.send_signal(how)
        async with asyncio.timeout(10):
            return await self.process.wait()


class Replaced(ProxyTestCase):
    """Clients, backends and discovery are the test's, the proxy is as many processes as it takes."""

    async def stand(self, *names: str) -> None:
        await self.open(*names)  # a proxy in this process, for its toys alone
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        listen = own_address()
        host, _, port = listen.partition(":")
        self.at = host, int(port)
        given = {**json.loads(self.given), "listen": listen}
        self.file = Path(self.folder, "config.json")
        self.file.write_text(json.dumps(given))
        self.processes: list[Process] = []
        self.ends: dict[str, int] = {}
        self.number = 1000

    async def process(self) -> Process:
        made = await Process(self, own_address()).start()
        self.processes.append(made)
        await made.ready()
        return made

    async def client(self, kept: bool, stop: asyncio.Event) -> None:
        """Asks one ticket after another; a connection that was closed between two is no fault, a ticket cut off is one."""
        at = None
        while not stop.is_set():
            self.number += 1
            number = self.number
            try:
                if at is None:
                    at = await asyncio.open_connection(*self.at)
                at[1].write(self.request("look", number))
                async with asyncio.timeout(3):
                    said = await self.read_response(at[0])
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                said, at = type(error).__name__, None
            word = said.split()[0] if said[0].isdigit() else said
            self.ends[word] = self.ends.get(word, 0) + 1
            if at is not None and (not kept or "closing" in said or said[0] == "t"):
                at[1].close()
                at = None
            await asyncio.sleep(0.005)

    async def asyncTearDown(self) -> None:
        for one in self.processes:
            if one.process.returncode is None:
                one.process.kill()
                await one.process.wait()
            one.log.close()
        await super().asyncTearDown()

    async def test_a_process_is_replaced_under_load_with_a_ban_and_a_drain_in_force(self) -> None:
        await self.stand("a1", "b1")
        first = await self.process()
        stop = asyncio.Event()
        clients = [asyncio.create_task(self.client(number % 2 == 0, stop)) for number in range(8)]
        self.assertIn("200", await first.call("POST", "/-/backends/a1/disable"))
        await asyncio.sleep(0.1)
        del self.lines[:]
        for _ in range(2):
            second = await self.process()
            self.assertIsNone(first.process.returncode)
            ending = asyncio.create_task(first.end())
            # Called at either while both live, an order holds at both, and for whoever comes next.
            self.assertIn("200", await second.call("POST", "/-/drain"))
            self.assertEqual(0, await ending)
            self.assertIn("200", await second.call("POST", "/-/resume"))
            await asyncio.sleep(0.2)
            first = second
        stop.set()
        await asyncio.gather(*clients)
        self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])
        self.assertGreater(len(self.lines), 100)
        # Kept connections close between tickets; nothing was refused, reset, bounced, or ended without an answer.
        self.assertEqual({"200"}, set(self.ends) - {"the"}, self.ends)
        self.assertLessEqual(self.ends.get("the", 0), 2)
        del self.lines[:]
        self.assertIn("200", await first.call("POST", "/-/backends/a1/enable"))
        async with asyncio.timeout(8):
            while not any("    a1 gets" in line for line in self.lines):
                await self.send_request(
                    "look", self.request("look", self.number), await asyncio.open_connection(*self.at)
                )
                self.number += 1

    async def test_a_next_process_that_dies_leaves_the_first_whole_and_a_killed_one_is_followed(self) -> None:
        await self.stand("a1", "b1")
        first = await self.process()
        second = await self.process()
        self.assertEqual(-signal.SIGKILL, await second.end(signal.SIGKILL))
        self.assertIn("200", await first.call("POST", "/-/backends/b1/disable"))
        self.assertIn("200", await first.call("POST", "/-/drain"))
        for name in ("pepperusher.p1.next.state", "pepperusher.p1.next.state.new"):
            Path(self.folder, name).write_text('{"form":1,"bans":{"a1":[tr')
        third = await self.process()
        del self.lines[:]
        await first.end(signal.SIGKILL)
        at = await asyncio.open_connection(*self.at)
        at[1].write(b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n")
        self.assertIn("503", await self.read_response(at[0]))  # the drain that it was told of stays in force
        self.assertIn("200", await third.call("POST", "/-/resume"))
        for number in range(4):
            at = await asyncio.open_connection(*self.at)
            await self.send_request("look", self.request("look", number), at)
        self.assertEqual(4, sum("    a1 gets" in line for line in self.lines))
        # Alone after all of them, over what the day before left: the ban stands, a drain does not.
        self.assertIn("200", await third.call("POST", "/-/drain"))
        await third.end(signal.SIGKILL)
        fourth = await self.process()
        at = await asyncio.open_connection(*self.at)
        at[1].write(b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n")
        self.assertIn("200", await self.read_response(at[0]))
        self.assertIn("200", await fourth.call("POST", "/-/backends/b1/enable"))

    async def asked(self, tickets: int) -> list[str]:
        """Each on a new connection, one after another; what comes of each within 3 s."""
        made = []
        for _ in range(tickets):
            self.number += 1
            at = await asyncio.open_connection(*self.at)
            at[1].write(self.request("look", self.number))
            try:
                async with asyncio.timeout(3):
                    made.append((await self.read_response(at[0])).split()[0])
            except TimeoutError:
                made.append("nothing")
            at[1].close()
        return made

    async def test_of_two_at_one_address_the_living_one_has_all_new_connections(self) -> None:
        """The kernel went on handing them to the one that stood still: 9 of 12 got no answer in 3 s. Either may be it, and
        both in turn; it has its part again once it goes on, and knows by then what was ordered meanwhile."""
        await self.stand("a1", "b1")
        first = await self.process()
        second = await self.process()
        seen: dict[Process, int] = {first: 0, second: 0}
        for still, lives in ((first, second), (second, first), (first, second)):
            kept = []
            for _ in range(12):  # about half of them at each
                self.number += 1
                kept.append(await asyncio.open_connection(*self.at))
                await self.send_request("look", self.request("look", self.number), kept[-1])
            still.process.send_signal(signal.SIGSTOP)
            seen[lives] = await lives.logs("new connections come here", seen[lives])
            self.assertEqual({"200"}, set(await self.asked(30)))
            for reader, writer in kept:
                self.number += 1
                writer.write(self.request("look", self.number, left=4000))
            # What the living one has in hand reaches its backend before the order, and is seen there before it is answered.
            heard = [asyncio.create_task(reader.readuntil(b"\r\n\r\n")) for reader, _ in kept]
            await asyncio.wait(heard, timeout=0.5)
            self.assertIn("200", await lives.call("POST", "/-/backends/a1/disable"))
            del self.lines[:]
            still.process.send_signal(signal.SIGCONT)
            seen[lives] = await lives.logs("has its part of new connections again", seen[lives])
            self.assertEqual({"200"}, set(await self.asked(10)))
            self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])
            await asyncio.wait(heard)
            for _, writer in kept:
                writer.close()
            self.assertIn("200", await lives.call("POST", "/-/backends/a1/enable"))
            # Both have some of these.
            held = [await asyncio.open_connection(*self.at) for _ in range(40)]
            for one in (first, second):
                async with asyncio.timeout(10):
                    while len(os.listdir(f"/proc/{one.process.pid}/fd")) < 20:
                        await asyncio.sleep(0.02)
            for _, writer in held:
                writer.close()
        # Killed while it stands still, it is followed by one whose connections nobody keeps from it.
        first.process.send_signal(signal.SIGSTOP)
        await second.logs("new connections come here", seen[second])
        await first.end(signal.SIGKILL)
        third = await self.process()
        self.assertIn("200", await third.call("POST", "/-/resume"))
        held = [await asyncio.open_connection(*self.at) for _ in range(40)]
        async with asyncio.timeout(10):
            while len(os.listdir(f"/proc/{third.process.pid}/fd")) < 20:
                await asyncio.sleep(0.02)
        for _, writer in held:
            writer.close()

    async def test_the_console_answers_while_the_process_is_flooded(self) -> None:
        """Tickets on new connections as fast as they go, half heads and silence, and descriptors run out: each call within 1 s."""
        await self.stand("a1", "b1")
        given = json.loads(self.file.read_text())
        self.file.write_text(json.dumps({**given, "limits": {"sockets": 128}}))
        one = await self.process()
        # The budget counts what it lets in; here the kernel counts too.
        resource.prlimit(one.process.pid, resource.RLIMIT_NOFILE, (128, 128))
        stop = asyncio.Event()
        flood = [asyncio.create_task(self.client(False, stop)) for _ in range(40)]
        held = []
        for number in range(300):
            held.append(await asyncio.open_connection(*self.at))
            held[-1][1].write(b"GET /look/page HTTP/1.1\r\nHo" if number % 2 else b"")
        longest = 0.0
        for _ in range(6):
            for method, path in (
                ("GET", "/-/ready"),
                ("POST", "/-/backends/a1/disable"),
                ("POST", "/-/backends/a1/enable"),
            ):
                began = asyncio.get_running_loop().time()
                self.assertIn(" 200 ", await one.call(method, path))
                longest = max(longest, asyncio.get_running_loop().time() - began)
        stop.set()
        for _, writer in held:
            writer.close()
        await asyncio.gather(*flood)
        self.assertLess(longest, 1.0)

    async def test_a_full_disk_costs_the_keeping_and_not_the_start(self) -> None:
        """Each writes with its start; a process that comes beside another one once ended by it."""
        self.processes = []
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch(
                "pepperusher.console.process_slot.ProcessSlot.write", side_effect=OSError(28, "No space left on device")
            ),
        ):
            first, _ = process_slots(folder, "p1")
            first.take()  # another one reigns, and says nothing
            await self.open("a1", console="127.0.0.1:1", passed=folder)
            await self.send_request("look", self.request("look", 1))
            self.assertIn("200", self.lines[-1])
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_handlers.port)
            writer.write(b"POST /-/backends/a1/disable HTTP/1.1\r\nHost: c\r\n\r\n")
            self.assertIn("500 'in force, but not kept", await self.read_response(reader))
            writer.close()
            first.close()
        self.assertTrue(any("the state is not kept: No space left" in line for line in self.logged), self.logged)

    async def test_a_folder_that_can_t_be_written_is_said_and_the_proxy_serves(self) -> None:
        await self.open("a1", console="127.0.0.1:1", passed="/nowhere")
        self.assertTrue(any("/nowhere: No such file or directory" in line for line in self.logged), self.logged)
        self.processes = []
        await self.send_request("look", self.request("look", 1))
        self.assertIn("200", self.lines[-1])
