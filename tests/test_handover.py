"""Tests of one process taking over from another: complete processes on loopback, and the state handed over between
them.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from pepperusher.backend_commands import NEVER, AdminCommand
from pepperusher.console.process_slot import process_slots
from pepperusher.console.process_liveness import ProcessLiveness
from pepperusher.console.state import BadState, State, decode_state, encode_state
from pepperusher.facade import Endpoint, Facade
from pepperusher.settings import read_settings

from tests.replacement_scene import Process, ReplacementTestCase
from tests.scene import SECOND, SETTINGS, TraceTestCase


class Marks(unittest.TestCase):
    def test_who_stands_still_by_its_marks_alone(self) -> None:
        liveness, now = ProcessLiveness(), 0

        def hangs_after(heartbeat: int, duration: int, every: int = 50_000) -> bool:
            nonlocal now
            until = now + duration
            while now < until:
                now += every
                hangs = liveness.hangs(heartbeat, now)
            return hangs

        self.assertFalse(hangs_after(1, 250_000))
        self.assertFalse(hangs_after(2, 250_000))
        self.assertTrue(hangs_after(2, 100_000))
        self.assertFalse(hangs_after(3, 250_000))
        now += 5_000_000  # the observing process was paused itself
        self.assertFalse(hangs_after(3, 250_000))
        self.assertTrue(hangs_after(3, 100_000))
        now += 5_000_000  # paused again: the finding holds, since there is no new heartbeat
        self.assertTrue(hangs_after(3, 50_000))
        liveness.reset()
        self.assertFalse(hangs_after(3, 250_000))


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
        self.assertEqual(good, decode_state(encode_state(good)))
        document = json.loads(encode_state(good))
        older = {name: part for name, part in document.items() if name not in ("told_by_source", "expires_at")}
        self.assertEqual(good._replace(told_by_source=True, expires_at=None), decode_state(json.dumps(older)))
        for case, text in (
            ("nothing", ""),
            ("half", encode_state(good)[:70]),
            ("deep", "[" * 100_000),
            ("a list", "[]"),
            ("another release's", json.dumps({**document, "form": 2})),
            ("no bans", json.dumps({**document, "bans": None})),
            ("a ban without a time", json.dumps({**document, "bans": {"a": [True]}})),
            ("a ban that is no order", json.dumps({**document, "bans": {"a": [1, 5]}})),
            ("a time of no sort", json.dumps({**document, "bans": {"a": [True, 1e300]}})),
            ("a drain that is none", json.dumps({**document, "drain": "yes"})),
            ("an end of its term that is none", json.dumps({**document, "expires_at": -1})),
            ("a list that is none", json.dumps({**document, "listed": 3})),
            ("a name that is none", json.dumps({**document, "seen": {}})),
        ):
            try:
                self.lines.append(f"{case}: {decode_state(text)}")
            except BadState as error:
                self.lines.append(f"{case}: {error}")
        self.compare_trace("handover_state")

    def test_what_was_learned_goes_on_elsewhere(self) -> None:
        """An open breaker stays open for the rest of its period in the next process; invalid state is rejected as a
        whole.
        """
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
            self.assertEqual((False, True, False), (again.take(), again.held_by_other(), first.held_by_other()))
            first.write(State({}, NEVER, "x"))
            self.assertEqual("x", again.read().seen)
            self.assertIsNone(again.read())  # unchanged since the last read
            first.close()
            self.assertTrue(again.take())
            Path(folder, "pepperusher.p%2f1.state").write_bytes(b'{"form":1,"bans"')
            self.assertRaises(BadState, again.read)
            following.close()
            again.close()


class Replaced(ReplacementTestCase):
    async def test_a_process_is_replaced_under_load_with_a_ban_and_a_drain_in_force(self) -> None:
        await self.start_scene_for_clients("a1", "b1")
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
            # A command given at either process applies at both, and at the next successor.
            self.assertIn("200", await second.call("POST", "/-/drain"))
            self.assertEqual(0, await ending)
            self.assertIn("200", await second.call("POST", "/-/resume"))
            await asyncio.sleep(0.2)
            first = second
        stop.set()
        await asyncio.gather(*clients)
        self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])
        self.assertGreater(len(self.lines), 100)
        # Kept connections may close between tickets, but no ticket was refused, reset, bounced or left without an
        # answer.
        self.assertEqual({"200"}, set(self.outcome_counts) - {"the"}, self.evidence())
        self.assertLessEqual(self.outcome_counts.get("the", 0), 2)
        del self.lines[:]
        self.assertIn("200", await first.call("POST", "/-/backends/a1/enable"))
        async with asyncio.timeout(8):
            while not any("    a1 gets" in line for line in self.lines):
                await self.send_request(
                    "look", self.request("look", self.number), await asyncio.open_connection(*self.at)
                )
                self.number += 1

    # Guards against an id that runs twice because it comes again at the other process of an upgrade (issue 69, d).
    async def test_an_id_that_one_process_took_is_not_sent_on_by_the_other(self) -> None:
        await self.start_scene("a1", "b1")
        first = await self.process()
        for fake_backend in self.fake_backends.values():
            fake_backend.behaviors = ["silent"] * 4
        left, stays = "left-before", "in-hand"
        for number in (left, stays):
            _, writer = await asyncio.open_connection(*self.at)
            writer.write(self.request("pay", number, left=60_000))
            await self.wait_until(lambda number=number: self.attempts_of(number))
            if number == left:
                writer.close()
        await self.process()
        ending = asyncio.create_task(first.end())
        for fake_backend in self.fake_backends.values():
            fake_backend.behaviors = []
        await first.wait_for_log("another process takes over")
        reader, writer = await self.connect_to_successor(left)
        for number, status in ((left, "409"), (stays, "409"), ("new", "200")):
            writer.write(self.request("pay", number))
            answer = await self.read_response(reader)
            self.assertIn(status, answer, number)
            self.assertNotIn("closing", answer)
            await asyncio.sleep(0.15)  # a request that is rejected has its connection read again after a pause
        self.assertEqual([1, 1, 1], [self.attempts_of(number) for number in (left, stays, "new")])
        writer.close()
        await ending

    async def connect_to_successor(self, taken_id: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Returns a connection to the process that takes over. The one that ends may have taken a connection that came just
        before it handed its listener over: it says so, since its answers announce the close.
        """
        async with asyncio.timeout(10):
            while True:
                reader, writer = await asyncio.open_connection(*self.at)
                writer.write(self.request("pay", taken_id))
                answer = await self.read_response(reader)
                self.assertIn("409", answer)
                if "closing" not in answer:
                    await asyncio.sleep(0.15)  # as below
                    return reader, writer
                writer.close()

    def attempts_of(self, request_id: str) -> int:
        return sum(f" id {request_id} " in f"{line} " for line in self.lines if " gets " in line)

    async def test_a_next_process_that_dies_leaves_the_first_whole_and_a_killed_one_is_followed(self) -> None:
        await self.start_scene("a1", "b1")
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
        self.assertIn("503", await self.read_response(at[0]))  # the drain handed over stays in force
        self.assertIn("200", await third.call("POST", "/-/resume"))
        for number in range(4):
            at = await asyncio.open_connection(*self.at)
            await self.send_request("look", self.request("look", number), at)
        self.assertEqual(4, sum("    a1 gets" in line for line in self.lines))
        # A process that starts alone takes over a stored ban, but not a drain.
        self.assertIn("200", await third.call("POST", "/-/drain"))
        await third.end(signal.SIGKILL)
        fourth = await self.process()
        at = await asyncio.open_connection(*self.at)
        at[1].write(b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n")
        self.assertIn("200", await self.read_response(at[0]))
        self.assertIn("200", await fourth.call("POST", "/-/backends/b1/enable"))

    async def send_tickets(self, tickets: int) -> list[str]:
        """Sends tickets one after another, each on a new connection. Returns the outcome of each within 3 s."""
        outcomes = []
        for _ in range(tickets):
            self.number += 1
            connection = await asyncio.open_connection(*self.at)
            connection[1].write(self.request("look", self.number))
            try:
                async with asyncio.timeout(3):
                    outcomes.append((await self.read_response(connection[0])).split()[0])
            except TimeoutError:
                outcomes.append("nothing")
            connection[1].close()
        return outcomes

    async def wait_for_descriptors(self, process: Process, count: int) -> None:
        """Waits until a process has at least `count` descriptors open."""
        try:
            async with asyncio.timeout(10):
                while len(os.listdir(f"/proc/{process.process.pid}/fd")) < count:
                    await asyncio.sleep(0.02)
        except TimeoutError:
            self.fail(f"process {self.processes.index(process)} has too few connections\n{self.evidence()}")

    async def test_of_two_at_one_address_the_living_one_has_all_new_connections(self) -> None:
        """Guards against the kernel handing new connections to a stopped process: 9 of 12 got no answer in 3 s. Each
        process is stopped in turn; once it continues it gets its part of the connections again, and knows the commands
        given meanwhile.
        """
        await self.start_scene("a1", "b1")
        first = await self.process()
        second = await self.process()
        log_position: dict[Process, int] = {first: 0, second: 0}
        for stopped, running in ((first, second), (second, first), (first, second)):
            kept = []
            for _ in range(12):  # about half of them at each process
                self.number += 1
                kept.append(await asyncio.open_connection(*self.at))
                await self.send_request("look", self.request("look", self.number), kept[-1])
            stopped.process.send_signal(signal.SIGSTOP)
            log_position[running] = await running.wait_for_log("new connections come here", log_position[running])
            self.assertEqual({"200"}, set(await self.send_tickets(30)))
            for reader, writer in kept:
                self.number += 1
                writer.write(self.request("look", self.number, left=4000))
            # The tickets in hand at the running process reach their backend before the ban and are recorded before they
            # are answered.
            heard = [asyncio.create_task(reader.readuntil(b"\r\n\r\n")) for reader, _ in kept]
            await asyncio.wait(heard, timeout=0.5)
            self.assertIn("200", await running.call("POST", "/-/backends/a1/disable"))
            del self.lines[:]
            stopped.process.send_signal(signal.SIGCONT)
            log_position[running] = await running.wait_for_log(
                "has its part of new connections again", log_position[running]
            )
            self.assertEqual({"200"}, set(await self.send_tickets(10)))
            self.assertEqual([], [line for line in self.lines if "    a1 gets" in line])
            await asyncio.wait(heard)
            for _, writer in kept:
                writer.close()
            self.assertIn("200", await running.call("POST", "/-/backends/a1/enable"))
            # Both processes get some of these connections.
            held = [await asyncio.open_connection(*self.at) for _ in range(40)]
            for process in (first, second):
                await self.wait_for_descriptors(process, 20)
            for _, writer in held:
                writer.close()
        # A process killed while stopped leaves no steering behind that keeps connections from its successor.
        first.process.send_signal(signal.SIGSTOP)
        await second.wait_for_log("new connections come here", log_position[second])
        await first.end(signal.SIGKILL)
        third = await self.process()
        self.assertIn("200", await third.call("POST", "/-/resume"))
        held = [await asyncio.open_connection(*self.at) for _ in range(40)]
        await self.wait_for_descriptors(third, 20)
        for _, writer in held:
            writer.close()

    async def test_the_console_answers_while_the_process_is_flooded(self) -> None:
        """Tickets on new connections as fast as possible, half-sent heads, silent connections, and no descriptors left:
        each admin call is answered within 1 s.
        """
        await self.start_scene("a1", "b1")
        given = json.loads(self.file.read_text())
        self.file.write_text(json.dumps({**given, "limits": {"sockets": 128}}))
        process = await self.process()
        # The proxy's budget counts the connections that it accepts; the kernel's limit counts all descriptors.
        resource.prlimit(process.process.pid, resource.RLIMIT_NOFILE, (128, 128))
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
                self.assertIn(" 200 ", await process.call(method, path))
                longest = max(longest, asyncio.get_running_loop().time() - began)
        stop.set()
        for _, writer in held:
            writer.close()
        await asyncio.gather(*flood)
        self.assertLess(longest, 1.0)

    async def test_a_full_disk_costs_the_keeping_and_not_the_start(self) -> None:
        """Each process writes its state at the start. Guards against a successor that ended because of a full disk."""
        self.processes = []
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch(
                "pepperusher.console.process_slot.ProcessSlot.write", side_effect=OSError(28, "No space left on device")
            ),
        ):
            first, _ = process_slots(folder, "p1")
            first.take()  # another process holds the first slot and publishes nothing
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
