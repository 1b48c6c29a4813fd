"""Endpoint discovery: holds the watch at the discovery service and decides which messages update the endpoint list."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from pepperusher.endpoint import Endpoint, FilterEndpoints
from pepperusher.net import call_schedule, clock
from pepperusher.net.call_schedule import CallSchedule
from pepperusher.net.discovery_source import CONCURRENT_CALLS_MAX, Call, CallRefusedError, WatchSilentError, Source
from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.endpoint_table import EndpointListener, EndpointTable, EndpointConnections
from pepperusher.net.endpoint_update import (
    BadList,
    EndpointUpdate,
    parse_endpoint_update,
    merge_updates,
    format_address,
)
from pepperusher.net.connection import StreamConnection, connect
from pepperusher.net.list_confirmation import (
    LOST_DEADLINE_S,
    RECONFIGURED_DEADLINE_S,
    TAKEN_OVER_DEADLINE_S,
    Cause,
    ListConfirmation,
)
from pepperusher.net.log import Log
from pepperusher.net.peer_memory import PeerConnections, PeerMemory
from pepperusher.net.watch_stream import LINE_MAX_BYTES, WatchStream

CONNECT_TIMEOUT_S = 1.5
# Processes that start with a configured or handed-over list open their first call after a random delay of up to this
# long. Many proxies may start at once, and their calls would arrive while proxies that lost their watches still wait in
# discovery's queue.
START_SPREAD_S = 2.0
# After a move to a new address the first call waits this long while a call at the previous address is still queued. It
# is under a third of the time for which a replaced address stays open.
REPLACED_CALL_HEAD_START_S = 0.5
# Errors that mean that this machine lacks a resource. They say nothing about whether discovery is reachable.
LOCAL_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
# Delay before the watch loop restarts after an unexpected error.
WATCH_RESTART_DELAY_S = 1.0
# Number of replaced addresses whose calls are kept open.
REPLACED_SOURCES_MAX = 3


class Discovery:
    """Keeps the proxy's endpoint list up to date from the discovery service.

    It opens a watch at the configured address, applies the updates that arrive, and reopens the watch when it ends. The
    list can also come from elsewhere: borrowed from a peer, relayed by control machines, or handed over by the previous
    process of this proxy.
    """

    def __init__(
        self,
        address: tuple[str, int],
        facade: EndpointListener,
        backends: EndpointConnections,
        log: Log,
        filters: Sequence[FilterEndpoints] = (),
        seed: int = 0,
        peer_memory: PeerMemory | None = None,
        max_line_bytes: int = LINE_MAX_BYTES,
    ) -> None:
        self._max_line_bytes = max_line_bytes
        self._random = Random(seed)
        self._spread = call_schedule.CALL_SPREAD_S * self._random.random()
        self._first_message = asyncio.Event()  # set by the first message of any watch
        self._lost = False  # a watch has ended and no message has arrived since
        self._table = EndpointTable(facade, backends, log, filters)
        self._facade = facade
        self._source = Source(address, 0, self._new_schedule())
        # Sources that a new configuration has replaced, each with its watch or its queued calls. Until the new address
        # answers, their updates are better than none and their calls are ahead in the queue. Emptied once the new
        # address answers; at most REPLACED_SOURCES_MAX.
        self._replaced_sources: list[Source] = []
        # The source that delivered the current list, and the list's version there.
        self._list_source, self._list_version = self._source, 0
        self._log = log
        self.peers = PeerConnections(
            "calls of discovery", PeerMemory() if peer_memory is None else peer_memory, essential=True
        )
        # When the list was last confirmed, in microseconds: the last message of its source, or of the source from which
        # a borrowed list came. None if it was never confirmed.
        self.confirmed_at: int | None = None
        self._list_borrowed = False
        # Set while calls to discovery are allowed. None where only discovery delivers the list.
        self._calls_allowed: asyncio.Event | None = None
        self.metrics = EndpointMetrics()
        self.confirmation = ListConfirmation(self.metrics, log)
        self._replaces_process = False  # this process replaces a running one
        self._handover_deadline: float | None = None  # when the handed-over list expires, by the loop's clock
        # Called after each message of the watch, once its update is applied.
        self.on_update: Callable[[], None] | None = None

    def _new_schedule(self) -> CallSchedule:
        return CallSchedule(self._random, self._backoff)

    def _backoff(self) -> float:
        """The wait before the next call that the balancer asks for, in seconds."""
        wait = self._facade.endpoint_request_delay(clock.now())
        return wait / 1e6 if wait >= 0 else 1.0

    def apply_update(self, update: EndpointUpdate, source: Source | None = None) -> None:
        """Applies an update from `source`, by default from the current one, to the endpoint list."""
        source = source or self._source
        if self._list_borrowed:
            # The first update from discovery replaces a borrowed list, also where it holds only changes because the
            # call asked from a known version: the lender's other entries are stale.
            update, self._list_borrowed = update._replace(whole=True), False
        source.version = update.version
        self._list_source, self._list_version = source, update.version
        self._table.apply(update, source.address)

    def publish(self, entries: list[Endpoint], whole: bool = False, filters_applied: int = 0) -> None:
        """Filters the entries and passes them to the balancer; see `EndpointTable`."""
        self._table.publish(entries, whole, filters_applied)

    @property
    def size(self) -> int:
        """Number of endpoints in the list."""
        return self._table.size

    @property
    def source(self) -> str:
        """The address of discovery, as `host:port`."""
        return format_address(self._source.address)

    def own_list(self) -> dict[str, Any] | None:
        """The current list in discovery's JSON form; None before the current source has delivered one."""
        if self._source.version is None:
            return None
        return {"version": self._source.version, "full": True, "servers": self._table.servers()}

    def handover_list(self) -> tuple[dict[str, Any] | None, bool]:
        """The list in use, whatever its origin, or None where it is empty; and whether the current source delivered it."""
        if self._table.empty:
            return None, False
        from_current_source = self._source.version is not None
        return {
            "version": max(0, self._list_version),
            "full": True,
            "servers": self._table.servers(),
        }, from_current_source

    @property
    def version(self) -> int:
        """The version of the list that the current source delivered; 0 if it delivered none."""
        return max(0, self._source.version or 0)

    @property
    def needs_list(self) -> bool:
        """Whether the list is empty."""
        return self._table.empty

    def borrow_list(self, update: EndpointUpdate, confirmed_at: int) -> None:
        """Uses another proxy's list until discovery answers.

        The first update from discovery replaces it, and calls to discovery go on as before. Ignored where there is a
        list already.
        """
        if self._table.empty:
            age = max(0, clock.now() - confirmed_at) / 1e6
            self.confirmation.require_confirmation(
                Cause.STARTED, LOST_DEADLINE_S, asyncio.get_running_loop().time() - age
            )
            self.confirmed_at = confirmed_at
            self.apply_update(update)
            self._source.version, self._list_borrowed = None, True
            self._facade.endpoint_request_failed(clock.now())

    @property
    def watched(self) -> bool:
        """Whether a watch at the current address is open and has received a message."""
        return self._source.watch is not None

    @property
    def has_unread_data(self) -> bool:
        """Whether data from discovery waits unread on an open connection, in the kernel's buffer or in this process."""
        calls = [call for source in (self._source, *self._replaced_sources) for call in source.calls]
        return any(call.has_unread_data for call in calls)

    def suspend_calls(self) -> None:
        """Closes all calls and opens no more until `resume_calls`: the list comes from another source."""
        if self._calls_allowed is None:
            self._calls_allowed = asyncio.Event()
        self._calls_allowed.clear()
        for source in (self._source, *self._replaced_sources):
            self._close_calls(source.detach_calls(), "the list is relayed by control machines")

    @property
    def _calls_suspended(self) -> bool:
        return self._calls_allowed is not None and not self._calls_allowed.is_set()

    def resume_calls(self) -> None:
        """Opens a call at once, and keeps the watch open from then on."""
        if self._calls_allowed is not None:
            self._calls_allowed.set()

    def take_relayed_list(self, update: EndpointUpdate, confirmed_at: int) -> None:
        """Applies a full list that a control machine read from the same discovery address. Only the differences are
        passed on.
        """
        if not self._table.empty and not self._list_borrowed and self._source.version is not None:
            update = self._table.changes_to(update)
        self.confirmed_at = max(confirmed_at, self.confirmed_at or 0)
        self.apply_update(update)
        self._drop_all_replaced()
        self._note_message()

    def start(self, at_once: bool = True) -> None:
        """Starts the watch loop. The first call goes out at once, or after a random delay of up to START_SPREAD_S where
        there is a list to serve from and `at_once` is false.
        """
        now = asyncio.get_running_loop().time()
        if self._replaces_process:
            self._source.schedule.start_deadline(now, TAKEN_OVER_DEADLINE_S)
            self.confirmation.require_confirmation(Cause.TAKEN_OVER, TAKEN_OVER_DEADLINE_S, now)
            if self._handover_deadline is not None:
                self.confirmation.expire_by(self._handover_deadline)
        elif not self._table.empty:
            self.confirmation.require_confirmation(Cause.STARTED, LOST_DEADLINE_S, now)
            self._source.schedule.confirm_by(now + LOST_DEADLINE_S)
            if not at_once:
                self._source.schedule.pause_until(now + START_SPREAD_S * self._random.random())
        self._source.following = asyncio.get_running_loop().create_task(self._keep_watching(self._source, False))

    async def wait_for_update(self, within: float) -> None:
        """Waits for the first message of any watch, at most `within` seconds."""
        try:
            async with asyncio.timeout(within):
                await self._first_message.wait()
        except TimeoutError:
            pass

    def stop(self) -> None:
        self._source.following.cancel()
        self._drop_all_replaced()

    def _close_calls(self, calls: Sequence[Call], why: str, at_once: bool = False) -> None:
        """Closes calls that another call has superseded. What discovery has already written on them counts as
        delivered, so it is read first, unless `at_once`.
        """
        now = asyncio.get_running_loop().time()
        for call in calls:
            if not call.has_message:
                self.metrics.given_up += 1
                self._log.say(f"call given up; {why}: {call.describe(now)}")
            if at_once:
                call.close_now()
            else:
                call.close_after_read()

    def take_over(self, due_at: float | None) -> None:
        """Marks this process as the successor of a running one; called before `start`.

        `due_at` is when the handed-over list expires, by the loop's clock; None where no deadline of it is running.
        """
        self._replaces_process, self._handover_deadline = True, due_at

    def resume_from_handover(self, address: tuple[str, int], update: EndpointUpdate, listed_there: bool) -> None:
        """Starts from the list of the previous process; called before `start`.

        The first call goes to `address`. It asks for changes after this list where `listed_there` says that the list came
        from there, and for the full list otherwise.
        """
        self._source = Source(address, 0, self._new_schedule())
        self.apply_update(update)
        if not listed_there:
            self._source.version = None

    def configuration_changed(self, address: tuple[str, int] | None, signal_age: float) -> None:
        """Handles a configuration change.

        `address` is the new address of discovery, None where the configuration cannot be read. `signal_age` is how long
        ago the signal may have arrived, in seconds: the deadline of RECONFIGURED_DEADLINE_S counts from then.
        """
        now = asyncio.get_running_loop().time()
        if address is not None and address != self._source.address:
            self._switch_to(address, now)
            self.confirmation.require_confirmation(Cause.RECONFIGURED, RECONFIGURED_DEADLINE_S, now - signal_age)
            return
        self._source.schedule.start_deadline(now, RECONFIGURED_DEADLINE_S)
        if self._source.watch is not None:
            self.confirmation.add_hard_deadline(RECONFIGURED_DEADLINE_S, now - signal_age)
        elif not self._calls_suspended:  # otherwise the relay that delivers the list tracks its own deadlines
            self.confirmation.require_confirmation(Cause.RECONFIGURED, RECONFIGURED_DEADLINE_S, now - signal_age)

    def _switch_to(self, address: tuple[str, int], now: float) -> None:
        """Moves to a new address at once. The list and the open calls at the previous address stay in use until the new
        address answers.
        """
        if self._source.calls:
            self._keep_replaced(self._source)
        else:
            self._source.following.cancel()
        self._source = Source(address, None, self._new_schedule())
        self._source.schedule.start_deadline(now, RECONFIGURED_DEADLINE_S)
        if self._queued_at_replaced_address:
            # In a series of configuration changes a call for each would lengthen the queue in which this proxy already
            # waits.
            self._source.schedule.pause_until(now + REPLACED_CALL_HEAD_START_S)
        self._source.following = asyncio.get_running_loop().create_task(self._keep_watching(self._source, False))

    @property
    def _queued_at_replaced_address(self) -> bool:
        """Whether a call without a message is queued at a replaced address."""
        return any(not call.has_message for source in self._replaced_sources for call in source.calls)

    def _keep_replaced(self, source: Source) -> None:
        """Keeps the watch of a replaced source, or else its oldest call, and closes the others.

        Beyond REPLACED_SOURCES_MAX the oldest source without a watch is dropped, since each holds a descriptor.
        """
        kept_call = source.watch or source.calls[0]
        others = [call for call in source.calls if call is not kept_call]
        source.calls = [kept_call]
        self._close_calls(others, "a newer configuration", at_once=True)
        self._replaced_sources.append(source)
        if len(self._replaced_sources) > REPLACED_SOURCES_MAX:
            oldest = next(
                (replaced for replaced in self._replaced_sources if replaced.watch is None), self._replaced_sources[0]
            )
            self._drop_replaced(oldest, "newer configurations", at_once=True)

    def _drop_replaced(self, source: Source, why: str, at_once: bool = False) -> None:
        """Closes the calls of a replaced address and forgets it."""
        self._replaced_sources.remove(source)
        self._close_calls(source.detach_calls(), why, at_once)
        source.following.cancel()

    def _drop_all_replaced(self) -> None:
        while self._replaced_sources:
            self._drop_replaced(self._replaced_sources[0], "the new address answered")

    async def _keep_watching(self, source: Source, at_once: bool) -> None:
        """Keeps a watch open for the life of the proxy, and restarts after unexpected errors."""
        while True:
            try:
                return await self._run_calls(source, at_once)
            except Exception as error:  # without a watch no further drain would arrive
                self._log.say(f"the watch loop failed: {type(error).__name__}: {error}")
                await asyncio.sleep(WATCH_RESTART_DELAY_S)

    async def _run_calls(self, source: Source, at_once: bool) -> None:
        """Opens calls as the schedule says, also in parallel to calls that have waited long without a message."""
        try:
            while source is self._source or source.calls:
                wait: float | None = None
                while self._calls_allowed is not None and self._calls_suspended:
                    # Checked again: calls may have been suspended between the event and this task's turn.
                    await self._calls_allowed.wait()
                    at_once = True
                if source is self._source and source.watch is None:
                    now = asyncio.get_running_loop().time()
                    wait = (
                        0.0 if at_once else source.schedule.seconds_to_next_call(now, bool(source.calls), self._spread)
                    )
                    if wait <= 0:
                        at_once = False
                        self._start_call(source)
                        continue
                if not source.calls:
                    await asyncio.sleep(wait or 0.0)
                    continue
                await asyncio.wait(
                    [call.task for call in source.calls], timeout=wait, return_when=asyncio.FIRST_COMPLETED
                )
                for call in [call for call in source.calls if call.task.done()]:
                    source.remove_call(call)
                    at_once = self._handle_call_end(call, source)
        finally:
            for call in source.detach_calls():
                call.close_now()

    def _start_call(self, source: Source) -> None:
        """Opens a call, and closes the oldest one if too many are open."""
        if source.calls:
            self._log.say(f"no message on the watch; calls open: {len(source.calls)}")
        oldest = source.calls[: max(0, len(source.calls) - CONCURRENT_CALLS_MAX + 1)]
        for call_to_close in oldest:
            source.remove_call(call_to_close)
        self._close_calls(oldest, "too many calls open", at_once=True)
        loop = asyncio.get_running_loop()
        self.metrics.calls += 1
        source.schedule.note_call(loop.time(), bool(source.calls))
        call = Call(self.metrics.calls, source.address, loop.time())
        call.task = loop.create_task(self._run_call(source, call))
        source.calls.append(call)

    def _handle_call_end(self, call: Call, source: Source) -> bool:
        """Logs and counts the end of a call. Returns whether the next call goes out at once."""
        error = call.task.exception()
        now = asyncio.get_running_loop().time()
        reason = call.task.result() if error is None else _describe_error(error)
        at_once = self._schedule_next(call, error, source, now)
        self._log.say(f"watch ended: {reason}; {call.describe(now)}{self._describe_next_call(source, now)}")
        self._count_end(call, error)
        if call.has_message and source is self._source:
            self._start_watch_lost_deadline(error, source, now)
        return at_once

    def _start_watch_lost_deadline(self, error: BaseException | None, source: Source, now: float) -> None:
        """Starts the deadline for the updates that the lost watch may have missed. For a silent watch it counts from
        the last message, and is a hard deadline.
        """
        if isinstance(error, WatchSilentError):
            source.schedule.start_deadline(now, max(0.0, error.last_message_at + LOST_DEADLINE_S - now))
            self.confirmation.require_confirmation(Cause.SILENT, LOST_DEADLINE_S, error.last_message_at)
        else:
            source.schedule.confirm_by(now + LOST_DEADLINE_S)
            self.confirmation.require_confirmation(Cause.LOST, LOST_DEADLINE_S, now)

    def _describe_next_call(self, source: Source, now: float) -> str:
        """The log text for what follows a call that ended; empty where the balancer sets the time of the next call."""
        if source is not self._source:
            return "; its address was replaced"
        if source.calls:
            return f"; {len(source.calls)} more calls open"
        wait = source.schedule.paused_until - now
        return f"; next in {wait:.2f} s" if wait > 0 else ""

    def _count_end(self, call: Call, error: BaseException | None) -> None:
        """Counts the end of a call by its cause."""
        if call.has_message:
            self.metrics.lost += 1
            return
        self.metrics.refused += 1
        if call.connection is None:
            self.metrics.unconnected += 1
        elif isinstance(error, CallRefusedError):
            self.metrics.refused_late += error.waited >= call_schedule.QUEUED_LONG_S
            self.metrics.refused_at_once += error.waited < call_schedule.QUEUED_LONG_S

    def _schedule_next(self, call: Call, error: BaseException | None, source: Source, now: float) -> bool:
        """Schedules the next call after `call` ended. Returns whether it goes out at once."""
        source.schedule.watch_fell_silent = silent = isinstance(error, WatchSilentError)
        # A replaced address is expected to end its calls; that says nothing about the new one.
        if source is not self._source:
            return False
        self._lost = True
        # Calls still open keep their place in the queue. No call replaces a refused one, because a refusal after a wait
        # means a long queue.
        cut_short = call.connection is not None and not isinstance(error, (CallRefusedError, WatchSilentError))
        if source.calls and not cut_short:
            return False
        if silent:
            return True
        # Without a watch no drains arrive, so the balancer is told that the list is out of date.
        self._facade.endpoint_request_failed(clock.now())
        if source.calls:
            source.schedule.note_cut_short(now)
        else:
            source.schedule.note_failure(now, error.waited if isinstance(error, CallRefusedError) else 0.0)
        if self._queued_at_replaced_address:
            source.schedule.pause_until(max(source.schedule.paused_until, now + REPLACED_CALL_HEAD_START_S))
        return False

    async def _run_call(self, source: Source, call: Call) -> str:
        """Connects, sends the watch request and reads the response to its end. Returns why it ended."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = call.connection = await connect(source.address, self.peers)
        except OSError as error:
            if error.errno in LOCAL_RESOURCE_ERRORS:
                self.confirmation.note_discovery_reachable()
            raise
        self.confirmation.note_discovery_reachable()
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            return await self._read_watch(connection, source, call)
        except CallRefusedError as refused:
            refused.waited = loop.time() - asked_at
            raise
        except Exception as error:
            if connection.bytes_received:
                raise
            raise CallRefusedError(_describe_error(error), loop.time() - asked_at) from None
        finally:
            connection.discard()

    async def _read_watch(self, connection: StreamConnection, source: Source, call: Call) -> str:
        """Applies the updates of one watch until its connection closes."""
        # Versions of another address, or from before a restart of the version count, are meaningless here. Without a
        # version discovery sends the full list.
        asked_version = None if source.versions_restarted else source.version
        stream = WatchStream(
            connection, lambda: call_schedule.WATCH_SILENCE_TIMEOUT_S + self._spread, self._max_line_bytes
        )
        stream.send_request(source.address, asked_version)
        first = True
        while (data := await stream.read_next()) is not None:
            if source is self._source:
                self.confirmed_at = clock.now()
            if data.has_message:
                call.has_message = True
                self._close_calls(source.promote_to_watch(call), "another call was answered")
            for update in merge_updates(map(self._parse_update, data.objects)):
                self._handle_update(update, source, call, first, asked_version)
                first = False
            if data.error is not None:
                raise data.error
            if data.has_message and source is self._source and not call.superseded:
                self._note_message()
        return "closed"

    def _handle_update(
        self, update: EndpointUpdate, source: Source, call: Call, first: bool, asked_version: int | None
    ) -> None:
        """Applies one update.

        If the first update of a watch is incremental and has a lower version than was asked for, discovery has
        restarted its version count, and only a full list gives a known state.
        """
        current = source is self._source and not call.superseded
        if not current:
            if self._is_newer(update, source):
                self.metrics.taken_late += call.superseded
                self.apply_update(update, source)
            return
        if first and not update.whole and asked_version is not None and update.version < asked_version:
            source.versions_restarted = True
            raise BadList(f"the version count restarted: {update.version} after {asked_version}")
        if (
            first
            and asked_version is not None
            and source.version is not None
            and asked_version <= update.version < source.version
        ):
            # The update was in flight while a relayed list with a newer version was applied; later changes follow on
            # this watch.
            pass
        elif first or source.version is None or update.version >= source.version:
            self._apply_keeping_stops(update, source)
            source.versions_restarted = False
        self._drop_all_replaced()

    def _is_newer(self, update: EndpointUpdate, source: Source) -> bool:
        """Whether an update from a replaced address or a superseded call is newer than the list. An older one could
        undo a drain. All addresses belong to one service and share its version count.
        """
        if source is self._list_source:
            return update.version >= self._list_version
        return update.version > self._list_version

    def _apply_keeping_stops(self, update: EndpointUpdate, source: Source) -> None:
        """Applies an update, but keeps endpoints draining that a newer update has stopped.

        An older full list may have been delayed on its way. The stopped endpoints become ready after LOST_DEADLINE_S
        unless they are mentioned again. They become ready at once if otherwise no endpoint would be ready.
        """
        stopped = self._table.lifted_by(update) if update.version < self._list_version else set()
        if not stopped or all(entry.id in stopped for entry in update.entries if entry.ready):
            self.apply_update(update, source)
            return
        self._log.say(
            f"version {update.version} after {self._list_version}; {len(stopped)} endpoints stay stopped for now"
        )
        entries = [entry._replace(ready=False) if entry.id in stopped else entry for entry in update.entries]
        self.apply_update(update._replace(entries=entries), source)
        held_entries = self._table.hold(entry for entry in update.entries if entry.id in stopped)
        asyncio.get_running_loop().call_later(LOST_DEADLINE_S, self._table.release, held_entries)

    def _note_message(self) -> None:
        """Records a message of the current watch, and confirms the list.

        After a lost watch the balancer is told even if nothing changed: it lengthens the wait before each call after
        every failure, and would otherwise continue from failures of long ago.
        """
        self._first_message.set()
        if self._source.version is not None:
            # An empty line from an address that has not sent a list yet does not confirm one.
            self.confirmation.note_confirmed(self._describe_watch())
        if self._lost:
            self._lost = False
            self._facade.update_endpoints((), False, clock.now())
        if self.on_update is not None:
            self.on_update()

    def _describe_watch(self) -> str:
        watch = self._source.watch
        return watch.describe(asyncio.get_running_loop().time()) if watch is not None else "relayed by control machines"

    @staticmethod
    def _parse_update(message: Any) -> EndpointUpdate:
        try:
            return parse_endpoint_update(message)
        except ValueError as error:
            raise BadList(f"a line {error}") from None


def _describe_error(error: BaseException) -> str:
    return (
        f"{error}"
        if isinstance(error, (WatchSilentError, CallRefusedError))
        else f"{type(error).__name__} {error}".strip()
    )
