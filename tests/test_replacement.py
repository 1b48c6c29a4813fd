"""Tests of what two processes of one proxy meet at while one replaces the other: who holds it, when it passes on, and what
refuses a start.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import signal
import socket
import struct
import tempfile
import unittest
from pathlib import Path

from pepperusher.configuration.tables import Store
from pepperusher.control import client
from pepperusher.control.socket import Control, ControlSocketInUseError
from pepperusher.distribution import resource_cache
from pepperusher.distribution.messages import CONFIG, Version, make_resource
from pepperusher.net.request_store import RequestStore

from tests.replacement_scene import Process, ReplacementTestCase
from tests.scene import own_address

CONTROL = '[control]\nsocket = "HERE/control"\n'
STATE = CONTROL + '[changes]\nstate = "HERE/state"\nconfirm = "by hand"\nwatch = "1h"\n'
# Microseconds for a record to reach the disk: other tests write to the same disk, and no test here depends on that time.
DISK_WAIT_US = 1_000_000
# The kernel's figures of the process that listens on a Unix socket (struct ucred).
PEER_CREDENTIALS = struct.Struct("iII")


class Replacement(ReplacementTestCase):
    def control_holder(self) -> int | None:
        """The process that answers on the control socket."""
        with socket.socket(socket.AF_UNIX) as connection:
            try:
                connection.connect(f"{self.folder}/control")
            except OSError:
                return None
            credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        return PEER_CREDENTIALS.unpack(credentials)[0]

    async def wait_for_control(self, holder: Process) -> None:
        await self.wait_until(lambda: self.control_holder() == holder.process.pid)

    async def serve_while(self, clients: int = 8) -> tuple[asyncio.Event, list[asyncio.Task[None]]]:
        """Starts clients, each request of them on a connection of its own, until the event is set."""
        stop = asyncio.Event()
        return stop, [asyncio.create_task(self.client(False, stop)) for _ in range(clients)]

    # Guards against a process that ended at its start because its predecessor answered on the control socket (review/10).
    async def test_a_proxy_with_a_control_socket_is_replaced_while_it_serves(self) -> None:
        await self.start_scene_for_clients("a1", "b1", own=CONTROL)
        first = await self.process()
        await self.wait_for_control(first)
        stop, clients = await self.serve_while()
        for _ in range(2):
            second = await self.process()
            self.assertEqual(first.process.pid, self.control_holder())
            ending = asyncio.create_task(first.end())
            await self.wait_for_control(second)
            self.assertEqual(0, await ending)
            self.assertEqual(second.process.pid, self.control_holder())
            first = second
        stop.set()
        await asyncio.gather(*clients)
        self.assertEqual({"200"}, set(self.outcome_counts), self.evidence())

    # Guards against a control socket that nobody holds after one of two processes is killed.
    async def test_the_control_socket_stays_with_the_one_that_lives(self) -> None:
        await self.start_scene("a1", own=CONTROL)
        first = await self.process()
        await self.wait_for_control(first)
        second = await self.start_process()
        await second.wait_for_log("the control socket is not open yet")
        await second.end(signal.SIGKILL)  # before its yes
        self.assertEqual(first.process.pid, self.control_holder())
        third = await self.process()
        await first.end(signal.SIGKILL)
        await self.wait_for_control(third)

    def digest(self) -> str:
        """The digest of the configuration in force at the process that has the control socket."""
        return str(client.ask(f"{self.folder}/control", "status")["digest"])

    def state_files(self) -> tuple[str, str]:
        """The confirmed file and the marker of the open change."""
        folder = Path(self.folder, "state")
        return (folder / "confirmed.toml").read_text(), (folder / "open.json").read_text()

    # Guards against a process that stores its file as the confirmed one, and removes the marker of a change, while the one
    # that it is to replace still watches that change.
    async def test_the_state_folder_is_left_alone_until_the_first_process_ends(self) -> None:
        await self.start_scene("a1", own=STATE)
        first = await self.process()
        await self.wait_for_control(first)
        own = Path(self.folder, "own.toml")
        confirmed = own.read_text()
        own.write_text(confirmed + "[weights]\na1 = 2.0\n")
        client.ask(f"{self.folder}/control", "propose")
        before = self.state_files()
        self.assertEqual(confirmed, before[0])
        own.write_text(confirmed + "[weights]\na1 = 3.0\n")
        second = await self.process()
        await asyncio.sleep(0.3)
        self.assertEqual(before, self.state_files())
        await second.end(signal.SIGKILL)
        self.assertEqual(before, self.state_files())
        third = await self.process()
        await first.end(signal.SIGKILL)
        await third.wait_for_log("the state folder is held by this process")
        self.assertEqual(own.read_text(), (Path(self.folder, "state", "confirmed.toml")).read_text())

    # Guards against a process that serves by what its predecessor has replaced, or undone, since it started.
    async def test_what_the_first_process_decides_meanwhile_is_followed(self) -> None:
        await self.start_scene("a1", own=STATE)
        first = await self.process()
        await self.wait_for_control(first)
        own, control = Path(self.folder, "own.toml"), f"{self.folder}/control"
        old_digest = self.digest()
        own.write_text(own.read_text() + "[weights]\na1 = 2.0\n")
        client.ask(control, "propose")
        new_digest = self.digest()
        self.assertNotEqual(old_digest, new_digest)
        second = await self.process()  # by the last confirmed file, since the change is open
        client.ask(control, "confirm")
        await first.end()
        await self.wait_for_control(second)
        await self.wait_until(lambda: self.digest() == new_digest)
        client.ask(control, "confirm")
        third = await self.process()
        await second.end(signal.SIGKILL)
        await self.wait_for_control(third)
        self.assertEqual(new_digest, self.digest())

    async def book(self, request_id: str) -> str:
        """Sends a request under one idempotency key; returns its answer."""
        reader, writer = await asyncio.open_connection(*self.at)
        writer.write(self.request("book", request_id).replace(b"Key: k" + request_id.encode(), b"Key: one"))
        answer = await self.read_response(reader)
        writer.close()
        return answer

    def times_sent(self) -> int:
        return sum(" key one " in line for line in self.lines)

    # Guards against a store that is off for as long as a process lives that took another's place (review/1).
    async def test_the_store_passes_on_when_the_first_process_ends(self) -> None:
        for how in (signal.SIGTERM, signal.SIGKILL):
            with self.subTest(how=how.name):
                await self.start_scene("a1", "b1", "a2", "b2", own='[store]\nfolder = "HERE/store"\nwait = "1s"\n')
                first = await self.process()
                second = await self.process()
                await first.end(how)
                await second.wait_for_log("the store is open")
                for fake_backend in self.fake_backends.values():
                    fake_backend.behaviors = ["break"] * 9
                for number in range(2):
                    await self.book(f"{how.name}{number}")
                self.assertEqual(3, self.times_sent())
                await second.end(signal.SIGKILL)
                third = await self.process()
                self.assertRegex(await self.book(f"{how.name}again"), "50[23]")
                self.assertEqual(3, self.times_sent())
                await third.end(signal.SIGKILL)
                await self.asyncTearDown()

    # Guards against a group address that nobody holds, or that ends the process which finds it taken.
    async def test_the_group_address_passes_on_when_the_first_process_ends(self) -> None:
        await self.start_scene("a1", own=f'[group]\nlisten = "{own_address()}"\nkey = "{"k" * 32}"\n')
        first = await self.process()
        await first.wait_for_log("in the group: listen")
        second = await self.start_process()
        await second.wait_for_log("not yet in the group")
        await second.end(signal.SIGKILL)
        for how in (signal.SIGKILL, signal.SIGTERM):
            following = await self.process()
            self.assertIn("not yet in the group", following.log_text())
            self.assertNotIn("in the group: listen", following.log_text())
            await first.end(how)
            await following.wait_for_log("in the group: listen")
            first = following

    # Guards against callers whose connections end with a process that refuses its start after it began to listen.
    async def test_a_start_that_is_refused_meets_no_caller(self) -> None:
        await self.start_scene_for_clients("a1", "b1", own=CONTROL)
        first = await self.process()
        stop, clients = await self.serve_while()
        not_a_socket = Path(self.folder, "file")
        not_a_socket.write_text("")
        own = Path(self.folder, "own.toml")
        text = own.read_text()
        for refused, file, console in (
            ("the path exists and is not a socket", text.replace("/control", "/file"), ""),
            ("No such file or directory", text.replace("/control", "/none/control"), ""),
            (f"console {first.console}: Address already in use", text, first.console),
        ):
            own.write_text(file)
            for _ in range(3):
                following = await self.start_process(console)
                async with asyncio.timeout(60):
                    self.assertEqual(1, await following.process.wait())
                self.assertIn(refused, following.log_text())
                self.assertNotIn("Traceback", following.log_text())
        stop.set()
        await asyncio.gather(*clients)
        self.assertIsNone(first.process.returncode)
        self.assertEqual({"200"}, set(self.outcome_counts), self.evidence())


class StoreOfTwo(unittest.IsolatedAsyncioTestCase):
    """Two request stores on one folder, without a proxy."""

    # Guards against attempts that nobody records because the other process of a replacement holds the folder.
    async def test_what_was_sent_while_another_process_held_the_folder_is_written_afterwards(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        logged: list[str] = []

        def open_store() -> RequestStore:
            store = RequestStore(Store(folder=folder.name, wait=DISK_WAIT_US), lambda line, **_: logged.append(line))
            store.start()
            return store

        first = open_store()
        second = open_store()
        self.assertEqual(["the store is not open yet"], logged)
        self.assertEqual((True, False), (second.enabled, second.complete))
        self.assertIsNotNone(await first.record_attempt("book", "of the first", "a1", 1, 60_000_000))
        self.assertIsNotNone(await second.record_attempt("book", "of the second", "a2", 2, 60_000_000))
        never_ran = await second.record_attempt("book", "never ran", "a2", 2, 60_000_000)
        assert never_ran is not None
        second.record_outcome("book", "never ran", never_ran, "unreached")
        self.assertEqual(1, len(second.attempts_of("book", "of the second")))
        await first.stop()
        async with asyncio.timeout(10):
            while not second.complete:
                await asyncio.sleep(0.01)
        self.assertEqual(["a1"], [attempt.backend for attempt in second.attempts_of("book", "of the first")])
        await second.stop()
        third = open_store()
        for key, ran in (("of the first", True), ("of the second", True), ("never ran", False)):
            self.assertEqual([ran], [attempt.ran for attempt in third.attempts_of("book", key)], key)
        await third.stop()


def write_cache(path: str, body_bytes: int) -> None:
    """Writes a cache file again and again, as a process does that hears of many versions."""
    for number in range(100):
        resource = make_resource(CONFIG, "all", Version(1, number), b"x" * body_bytes)
        resource_cache.write(Path(path), [resource], number)


class CacheOfTwo(unittest.TestCase):
    # Guards against a cache that is damaged because both processes of a replacement write it at once.
    def test_two_processes_write_the_cache_of_resources_and_it_is_whole_at_any_time(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "kept")
            write_cache(str(path), 10)
            context = multiprocessing.get_context("spawn")
            writers = [
                context.Process(target=write_cache, args=(str(path), size))
                for size in range(500_000, 3_000_000, 500_000)
            ]
            for writer in writers:
                writer.start()
            problems = set()
            while any(writer.is_alive() for writer in writers):
                resources, _, problem = resource_cache.read(path, {(CONFIG, "all")})
                problems.add(problem or ("" if resources else "nothing is kept"))
            for writer in writers:
                writer.join()
            self.assertEqual({""}, problems)
            self.assertEqual([path], list(Path(folder).iterdir()))


class ControlPath(unittest.IsolatedAsyncioTestCase):
    """The path of the control socket, without a proxy."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = f"{folder.name}/control"
        self.logged: list[str] = []

    def control(self) -> Control:
        control = Control(self.path, 1, 1.0, None, lambda line, **_: self.logged.append(line))  # type: ignore[arg-type]
        self.addCleanup(control.close)
        return control

    # Guards against the socket of a process that hangs being taken from it.
    async def test_a_socket_whose_process_accepts_nothing_is_not_stale(self) -> None:
        with socket.socket(socket.AF_UNIX) as hanging:
            hanging.bind(self.path)
            hanging.listen(0)
            fillers = [socket.socket(socket.AF_UNIX) for _ in range(3)]
            for filler in fillers:
                self.addCleanup(filler.close)
                filler.setblocking(False)
                filler.connect_ex(self.path)
            with self.assertRaises(ControlSocketInUseError):
                await self.control().listen()
        await self.control().listen()  # the process has ended

    # Guards against a proxy without its control socket after a cleaner, or a process that has ended since, took the path.
    async def test_a_path_that_was_removed_or_taken_is_opened_again(self) -> None:
        first, second = self.control(), self.control()
        await first.hold()
        Path(self.path).unlink()
        await second.hold()
        await asyncio.sleep(0.2)
        self.assertTrue(second._has_path())
        self.assertFalse(first._has_path())
        second.close()
        async with asyncio.timeout(5):
            while not first._has_path():
                await asyncio.sleep(0.01)

    # Guards against a start that is refused at the path of its predecessor, and one that is not at another proxy's.
    async def test_another_process_is_passed_over_for_its_successor_alone(self) -> None:
        await self.control().listen()
        self.control().check(successor=True)
        with self.assertRaises(ControlSocketInUseError):
            self.control().check(successor=False)


if __name__ == "__main__":
    unittest.main()
