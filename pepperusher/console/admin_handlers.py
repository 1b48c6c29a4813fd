"""Connects the admin interface with the proxy: applies operators' commands, stores them, and hands them over between
two processes of one proxy.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol

from pepperusher.console import console_calls
from pepperusher.console.admin_listener import CONNECTIONS_MAX, AdminListener
from pepperusher.backend_commands import NEVER, AdminCommand
from pepperusher.console.admin_commands import AdminCommands
from pepperusher.console.process_slot import ProcessSlot, process_slots
from pepperusher.console.shared_request_ids import SharedRequestIds
from pepperusher.console.process_liveness import ProcessLiveness
from pepperusher.console.state import BadState, State
from pepperusher.net import clock
from pepperusher.net.endpoint_update import format_address
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.log import Log
from pepperusher.net.message import Answer, text_answer
from pepperusher.net.handover_state import HandoverState
from pepperusher.net.bootstrap import BootstrapConfiguration
from pepperusher.terms import PolicySettings

NOT_READY_ANSWER = text_answer(503, "no backends known yet, or about to stop")
NOT_STORED_ANSWER = text_answer(500, "in force, but not kept for the next process: see the log")
# Minimum time for which a lifted ban is remembered, in microseconds.
LIFTED_BAN_KEPT_MIN_US = 60_000_000


# How often the other process's state is read, and how long the predecessor is waited for.
POLL_INTERVAL_S = 0.05
PREDECESSOR_TIMEOUT_S = 1.0
# The share of connections that each of two processes may use.
SHARED_PART = 0.5


class ManualDrains(Protocol):
    """The drains of the control socket, as far as two processes of one proxy tell them to each other."""

    @property
    def manual_drains(self) -> Mapping[str, AdminCommand]: ...

    def merge_manual_drains(self, drains: Mapping[str, AdminCommand]) -> bool:
        """Takes those of another process, of which later ones win. Returns whether any did."""
        ...


class AdminHandlers(Extension):
    """The admin interface of a proxy, and its coordination with another process of the same proxy.

    While a process is replaced, two of them run. The holder of the first slot is the active one, the holder of the
    second its successor. Each publishes its state in a file beside its lock, where the other reads it.
    """

    # The listener, two lock files, two files of request ids, and connections that were just closed in favor of others.
    descriptors = 7 + CONNECTIONS_MAX
    shares_address = True

    def __init__(
        self,
        address: tuple[str, int],
        policy_settings: PolicySettings,
        log: Log,
        manual_drains: ManualDrains | None = None,
    ) -> None:
        self._address = address
        self._manual_drains = manual_drains
        self._log = log
        self.commands = AdminCommands(max(LIFTED_BAN_KEPT_MIN_US, policy_settings.warm_after))
        self._listener = AdminListener(self.answer, log)
        self.filter_endpoints = self.commands.lines
        self._proxy: ExtensionHost
        self.port = 0
        # The slots of the active process and of its successor; None without a folder for them.
        self._active_slot: ProcessSlot | None = None
        self._successor_slot: ProcessSlot | None = None
        # Returns how many proxies of the group hold this one's commands, and of how many; None outside a group.
        self.held: Callable[[], Awaitable[tuple[int, int] | None]] | None = None
        self._shared_request_ids: SharedRequestIds | None = None
        self._token = f"{os.getpid()}-{clock.now()}"
        self._serving = False
        self._successor_token = ""  # the successor's token, once the successor has been noticed
        self._successor_serves = False
        self._active = False  # whether this process is the active one
        self._poll_task: asyncio.Task[None] | None = None
        self._liveness = ProcessLiveness()  # of the other process, if it publishes heartbeats
        self._other_beats = False
        self._other_serves = False
        self._steering = False  # whether all new connections are steered here because the other process hangs

    # --- the two slots ------------------------------------------------------------------------------

    async def attach(self, host: ExtensionHost) -> None:
        """Takes the first slot, or else the second one together with the state that the active process hands over."""
        self._proxy = host
        folder = os.environ.get("TMPDIR")
        if not folder:
            self._log.say("no $TMPDIR: bans end with this process, and no other can take over from it")
            return
        try:
            self._active_slot, self._successor_slot = process_slots(folder, host.name)
        except OSError as error:
            self._log.say(
                f"{folder}: {error.strerror or error}: bans end with this process, and no other can take over from it"
            )
            return
        self._active = self._active_slot.take()
        if self._active:
            # A drain ends with its process: starting a stopped proxy again means that it should serve.
            if (handed_over := self._read(self._active_slot)) is not None:
                self._merge(handed_over._replace(drain=NEVER))
            return
        host.limit_share(SHARED_PART)
        self._share_request_ids()
        self.store_state()
        handed_over = await self._wait_for_handover()
        if handed_over is not None:
            self._merge(handed_over)
        self._proxy.take_over_from(handed_over.handover_state if handed_over is not None else HandoverState())
        self._log.say(
            "taking over from a running process" + ("" if handed_over is not None else ", which published no state")
        )

    async def _wait_for_handover(self) -> State | None:
        """The active process's state once that has noticed this process, or its last state if it does not in time."""
        loop = asyncio.get_running_loop()
        deadline, state = loop.time() + PREDECESSOR_TIMEOUT_S, None
        while True:
            assert self._active_slot is not None
            state = self._read(self._active_slot) or state
            if state is not None and state.seen == self._token or loop.time() >= deadline:
                return state
            if self._successor_slot is not None and not self._successor_slot.held:
                self.store_state()  # another process may be just releasing the slot
            await asyncio.sleep(POLL_INTERVAL_S / 5)

    def _read(self, slot: ProcessSlot) -> State | None:
        """Reads the state in a slot; None where it is unchanged or invalid."""
        try:
            state = slot.read()
            if state is not None and not slot.held:
                self._other_beats, self._other_serves = state.beats, state.serves
            return state
        except BadState as error:
            self._log.say(f"the state of the other process is rejected: {error}")
            return None

    def _merge(self, other: State) -> None:
        """Applies the commands of the other process, and publishes what changed: the other may be killed, and its state
        with a lift in it would then be read by nobody.
        """
        bans, drained = dict(self.commands.bans), self.commands.drain
        self._proxy.reapply_filters(self, self.commands.merge(other.bans, other.drain, clock.now()))
        if self.commands.drain != drained:
            self._proxy.send_away(self.commands.drain.on)
        drains_changed = self._manual_drains is not None and self._manual_drains.merge_manual_drains(
            other.manual_drains
        )
        if drains_changed or self.commands.bans != bans or self.commands.drain != drained:
            self.store_state()

    def _state(self) -> State:
        """The state that this process publishes. The handover state is included once a successor is known."""
        handover = self._proxy.handover_state() if self._active and self._successor_token else HandoverState()
        other_token = self._successor_token if self._active else self._token
        return State(
            self.commands.bans,
            self.commands.drain,
            other_token,
            self._serving,
            beats=True,
            manual_drains={} if self._manual_drains is None else self._manual_drains.manual_drains,
            **handover._asdict(),
        )

    def _write_state(self) -> None:
        """Writes this process's state to its slot. Raises OSError."""
        slot = self._active_slot if self._active else self._successor_slot
        if slot is not None and slot.take():
            slot.write(self._state())

    def check_other_process(self) -> None:
        """Reads the state of the other process if there is one, and takes over if it has ended."""
        if self._active_slot is None or self._successor_slot is None:
            return
        slot = self._active_slot if self._active else self._successor_slot
        if slot.held:
            slot.publish_heartbeat()
        if not self._active and self._active_slot.take():
            self._active = True
            self._reset_steering()
            if (last_state := self._read(self._active_slot)) is not None:
                self._merge(last_state)
            self._write_state()
            self._successor_slot.release()
            self._proxy.limit_share(1.0)
            self._stop_sharing_request_ids()
            self._log.say("the previous process has ended")
            return
        if not self._active:
            if not self._successor_slot.held:
                self._write_state()
            if (other_state := self._read(self._active_slot)) is not None:
                self._merge(other_state)
            self._steer_around_hang(self._active_slot)
            return
        if not self._successor_slot.held_by_other():
            self._reset_steering()
            if self._successor_token:
                self._successor_token, self._successor_serves = "", False
                self._proxy.limit_share(1.0)
                self._stop_sharing_request_ids()
                self._write_state()
                self._log.say("the successor process has ended")
            return
        if (other_state := self._read(self._successor_slot)) is not None:
            self._merge(other_state)
            self._successor_serves = other_state.serves
            if other_state.seen != self._successor_token:
                self._successor_token = other_state.seen
                self._proxy.limit_share(SHARED_PART)
                # Before the successor is told that it was noticed, since it serves from then on.
                self._share_request_ids()
                self._write_state()
        self._steer_around_hang(self._successor_slot)

    def _share_request_ids(self) -> None:
        """Begins to share the ids of requests with the other process, so that none runs at both."""
        assert self._active_slot is not None and self._successor_slot is not None
        self._stop_sharing_request_ids()
        paths = self._active_slot.request_ids_path, self._successor_slot.request_ids_path
        own_path, other_path = paths if self._active else reversed(paths)
        try:
            self._shared_request_ids = SharedRequestIds(own_path, other_path)
        except OSError as error:
            self._log.say(f"the ids of requests are not shared: {error.strerror or error}")
            return
        self._proxy.request_ids.share(self._shared_request_ids, clock.now())

    def _stop_sharing_request_ids(self) -> None:
        """Ends that; what the other process has told until now is kept."""
        if self._shared_request_ids is not None:
            self._proxy.request_ids.share(None, clock.now())
            self._shared_request_ids.close()
            self._shared_request_ids = None

    def _steer_around_hang(self, other: ProcessSlot) -> None:
        """Steers all new connections to this process while the other one hangs.

        Connections already in the other's accept queue are lost for as long as it hangs, except those that the kernel
        returns when it ends.
        """
        hangs = self._liveness.hangs(other.last_heartbeat(), clock.now()) and self._other_beats
        if hangs == self._steering or hangs and not self._serving:
            return
        if hangs:
            if not self._proxy.steer_connections(0 if self._active else 1):
                return
        elif self._other_serves:
            # Not while it shuts down: a connection handed to it would be reset when it closes its listener.
            self._proxy.steer_connections(None)
        self._steering = hangs
        self._log.say(
            "the other process hangs: new connections come here"
            if hangs
            else "the other process runs again: it has its part of new connections again"
        )

    def _reset_steering(self) -> None:
        """Undoes the steering when the other process has ended: a remaining filter would keep connections from the next
        process.
        """
        self._liveness.reset()
        self._other_beats = False
        if self._steering:
            self._steering = False
            self._proxy.steer_connections(None)

    def process_resumed(self) -> None:
        try:
            self.check_other_process()
        except OSError as error:
            self._log.say(f"the check of the other process failed: {error}")

    async def _poll(self) -> None:
        """Checks the other process periodically."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                self.check_other_process()
            except Exception as error:  # nothing else watches the other process, so the loop goes on
                self._log.say(f"the check of the other process failed: {type(error).__name__}: {error}")

    @property
    def has_successor(self) -> bool:
        """Whether another process serves the clients from now on."""
        try:
            self.check_other_process()
        except OSError as error:
            self._log.say(f"the check of the other process failed: {error}")
        return self._active and bool(self._successor_token) and self._successor_serves

    @property
    def has_predecessor(self) -> bool:
        """Whether another process may serve here: without a folder for the slots, nothing tells that."""
        return not self._active

    # --- start and end ------------------------------------------------------------------------------

    def prepare(self) -> None:
        """Raises OSError where the console's address can't be opened."""
        try:
            self.port = self._listener.bind(self._address)
        except OSError as error:
            raise OSError(f"console {format_address(self._address)}: {error.strerror or error}") from None

    async def start(self) -> None:
        self._serving = True
        self.store_state()
        self._poll_task = asyncio.get_running_loop().create_task(self._poll())
        await self._listener.serve()
        self._log.say(f"console at {self._address[0]}:{self.port}")

    def drain_started(self, until: int) -> None:
        """Publishes that this process takes no more clients."""
        self._serving = False
        self.store_state()

    async def stop(self) -> None:
        self._listener.close()
        if self._poll_task is not None:
            self._poll_task.cancel()
        for slot in (self._active_slot, self._successor_slot):
            if slot is not None:
                slot.close()

    def sweep(self) -> None:
        self.commands.forget(clock.now())

    def store_state(self) -> bool:
        """Writes the state for the other process, and returns whether that worked."""
        try:
            self._write_state()
        except OSError as error:
            self._log.say(f"the state is not kept: {error.strerror or error}")
            return False
        return True

    def merge_commands(self, bans: dict[str, AdminCommand]) -> None:
        """Merges commands that were given at another proxy."""
        self._proxy.reapply_filters(self, self.commands.merge(bans, NEVER, clock.now()))
        self.store_state()

    async def answer(self, method: bytes, target: bytes) -> Answer:
        """Answers an admin call. A command applies here at once; in a group the answer says how many proxies hold it."""
        response, is_command = self._dispatch(method, target)
        holders = await self.held() if is_command and self.held is not None and response.status == 200 else None
        if holders is not None:
            response = text_answer(
                200, f"{response.body.decode().strip()}, held by {holders[0]} of {holders[1]} proxies"
            )
        return response

    def _dispatch(self, method: bytes, target: bytes) -> tuple[Answer, bool]:
        """The answer, and whether the call is a command for the whole group."""
        try:
            call = console_calls.console_call_of(method, target)
        except console_calls.BadConsoleCall as bad:
            return text_answer(bad.status, str(bad)), False
        if call.action == console_calls.READY:
            ready = self._proxy.can_serve
            return (text_answer(200, "ready") if ready else NOT_READY_ANSWER), False
        if call.action in (console_calls.DRAIN, console_calls.RESUME):
            on = call.action == console_calls.DRAIN
            self.commands.send_away(on, clock.now())
            self._proxy.send_away(on)
            if not self.store_state():
                return NOT_STORED_ANSWER, False
            return text_answer(200, "clients are sent away" if on else "clients may come"), False
        on, backend = call.action == console_calls.BAN, call.backend
        if not self._proxy.has_backend(backend) and not self.commands.banned(backend):
            return text_answer(404, "no backend has this id"), False
        if self.commands.banned(backend) != on:
            self._log.say(f"{backend} {'banned' if on else 'put back'} at the console")
        self._proxy.reapply_filters(self, self.commands.ban(backend, on, clock.now()))
        if not self.store_state():
            return NOT_STORED_ANSWER, True
        return text_answer(200, "banned" if on else "in use"), True


def admin_handlers_alone(bootstrap: BootstrapConfiguration, log: Log) -> list[Extension]:
    """The extensions of a proxy that has an admin address and no configuration file."""
    return [] if bootstrap.console is None else [AdminHandlers(bootstrap.console, bootstrap.policy_settings, log)]
