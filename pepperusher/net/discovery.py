"""Discovery of endpoints: which address is asked, by which calls, and whose word counts."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Sequence
from random import Random
from typing import Any

from pepperusher.endpoint import Endpoint, FilterEndpoints
from pepperusher.net import call_schedule, clock
from pepperusher.net.call_schedule import CallSchedule
from pepperusher.net.discovery_source import ABREAST, Call, Refused, Silent, Source
from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.endpoint_table import Decides, EndpointTable, Reaches
from pepperusher.net.endpoint_update import BadList, EndpointUpdate, parse_endpoint_update, merged, format_address
from pepperusher.net.connection import StreamConnection, connect
from pepperusher.net.list_confirmation import LOST_TERM, RECONFIGURED_TERM, TAKEN_OVER_TERM, Cause, ListConfirmation
from pepperusher.net.log import Log
from pepperusher.net.watch_stream import WatchStream

CONNECT_WITHIN = 1.5
# Those that are started together with a list that they were given ask within so long, by chance: they are as many as
# discovery had callers, and come while those that lost their watches still wait.
START_SPREAD = 2.0
# A new address is asked so many seconds later while a call at the one before waits for its turn. That is under
# a third of the time for which an address stays open once it is replaced.
WAITS_ELSEWHERE = 0.5
# A connection fails by these for want of something on this machine, whether or not discovery could be reached.
OWN_WANTS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
# Seconds after which watching goes on that an unexpected error has ended.
FOLLOW_AGAIN = 1.0
# Addresses that were replaced and are still heard.
REPLACED_MOST = 3


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        facade: Decides,
        backends: Reaches,
        log: Log,
        narrows: Sequence[FilterEndpoints] = (),
        seed: int = 0,
    ) -> None:
        self._chance = Random(seed)
        self._spread = call_schedule.SPREAD * self._chance.random()
        self._heard = asyncio.Event()  # once any watch has spoken
        self._lost = False  # since a watch ended, until another speaks
        self._table = EndpointTable(facade, backends, log, narrows)
        self._facade = facade
        self._source = Source(address, 0, self._schedule())
        # Whom new configurations have replaced, each with its watch or the calls that wait there: till the new one has
        # told, these are better than none, and their places in the queue are the older. Emptied then; bounded.
        self._replaced: list[Source] = []
        # Who told the list as it stands, and its version there.
        self._list_source, self._list_version = self._source, 0
        self._log = log
        # When its source last said anything, or that of whom the list was borrowed; None where nobody ever has.
        self.confirmed_at: int | None = None
        self._borrowed = False
        # Where the list comes from elsewhere: set while discovery is to be asked. None where nothing else tells it.
        self._asks: asyncio.Event | None = None
        self.metrics = EndpointMetrics()
        self.confirmation = ListConfirmation(self.metrics, log)
        self._took_over = False  # another process's place
        self._taken_over_due_at: float | None = None  # when the list expires that it passed on
        self.on_update: Callable[[], None] | None = None  # a watch has spoken; what it told stands in the list

    def _schedule(self) -> CallSchedule:
        return CallSchedule(self._chance, self._backoff)

    def _backoff(self) -> float:
        """What the decisions say, in seconds."""
        wait = self._facade.endpoint_request_delay(clock.now())
        return wait / 1e6 if wait >= 0 else 1.0

    def apply_update(self, update: EndpointUpdate, source: Source | None = None) -> None:
        source = source or self._source
        if self._borrowed:
            # Also where it tells changes alone, since it was asked before: they are all that it has, and what another had
            # beside them is gone.
            update, self._borrowed = update._replace(whole=True), False
        source.version = update.version
        self._list_source, self._list_version = source, update.version
        self._table.apply(update, source.address)

    def publish(self, entries: list[Endpoint], whole: bool = False, past: int = 0) -> None:
        """As `EndpointTable.put`."""
        self._table.publish(entries, whole, past)

    @property
    def size(self) -> int:
        """How many endpoints the list has."""
        return self._table.size

    @property
    def source(self) -> str:
        return format_address(self._source.address)

    def own_list(self) -> dict[str, Any] | None:
        """The list as it stands, in discovery's own form; None before its source has told anything."""
        if self._source.version is None:
            return None
        return {"version": self._source.version, "full": True, "servers": self._table.servers()}

    def handover_list(self) -> tuple[dict[str, Any] | None, bool]:
        """The list that requests go by, whoever told it, None where it is empty; and whether its source has."""
        if self._table.empty:
            return None, False
        told_by_source = self._source.version is not None
        return {"version": max(0, self._list_version), "full": True, "servers": self._table.servers()}, told_by_source

    @property
    def version(self) -> int:
        """Of the list as it stands; 0 where none was told."""
        return max(0, self._source.version or 0)

    @property
    def needs_list(self) -> bool:
        """Whether there is no list at all."""
        return self._table.empty

    def borrow_list(self, update: EndpointUpdate, confirmed_at: int) -> None:
        """Another proxy's list, for as long as discovery has told nothing: its own first word then replaces it, and it is asked
        on as before."""
        if self._table.empty:
            age = max(0, clock.now() - confirmed_at) / 1e6
            self.confirmation.expect(Cause.STARTED, LOST_TERM, asyncio.get_running_loop().time() - age)
            self.confirmed_at = confirmed_at
            self.apply_update(update)
            self._source.version, self._borrowed = None, True
            self._facade.endpoint_request_failed(clock.now())

    @property
    def watched(self) -> bool:
        """Whether a watch of its own has spoken and stands."""
        return self._source.watch is not None

    @property
    def has_unread_data(self) -> bool:
        """Whether words of discovery wait on a connection that stands, in the kernel or behind it."""
        calls = [call for source in (self._source, *self._replaced) for call in source.calls]
        return any(call.has_unread_data for call in calls)

    def suspend_calls(self) -> None:
        """From here on another tells the list: no call goes out, and none is waited for, until `ask`."""
        if self._asks is None:
            self._asks = asyncio.Event()
        self._asks.clear()
        for source in (self._source, *self._replaced):
            self._give_up(source.take_calls(), "another tells the list")

    @property
    def _rests(self) -> bool:
        return self._asks is not None and not self._asks.is_set()

    def resume_calls(self) -> None:
        """At once, and from then on as ever."""
        if self._asks is not None:
            self._asks.set()

    def take_relayed_list(self, update: EndpointUpdate, confirmed_at: int) -> None:
        """The whole list as another had it of the discovery that this one would ask. Only what is different is acted on."""
        if not self._table.empty and not self._borrowed and self._source.version is not None:
            update = self._table.changes_to(update)
        self.confirmed_at = max(confirmed_at, self.confirmed_at or 0)
        self.apply_update(update)
        self._let_go()
        self._said()

    def start(self, at_once: bool = True) -> None:
        """Asks at once, or where there is a list to go by, within START_SPREAD seconds by chance."""
        now = asyncio.get_running_loop().time()
        if self._took_over:
            self._source.schedule.begin_term(now, TAKEN_OVER_TERM)
            self.confirmation.expect(Cause.TAKEN_OVER, TAKEN_OVER_TERM, now)
            if self._taken_over_due_at is not None:
                self.confirmation.end_by(self._taken_over_due_at)
        elif not self._table.empty:
            self.confirmation.expect(Cause.STARTED, LOST_TERM, now)
            self._source.schedule.expect_by(now + LOST_TERM)
            if not at_once:
                self._source.schedule.pause(now + START_SPREAD * self._chance.random())
        self._source.following = asyncio.get_running_loop().create_task(self._follow(self._source, False))

    async def wait_for_update(self, within: float) -> None:
        """Until a watch has spoken, but `within` seconds at the most."""
        try:
            async with asyncio.timeout(within):
                await self._heard.wait()
        except TimeoutError:
            pass

    def stop(self) -> None:
        self._source.following.cancel()
        self._let_go()

    def _give_up(self, calls: Sequence[Call], why: str, at_once: bool = False) -> None:
        """Others have their places. What was written on them counts as told, so it is read first, unless `at_once`."""
        now = asyncio.get_running_loop().time()
        for call in calls:
            if not call.spoken:
                self.metrics.given_up += 1
                self._log.say(f"call given up; {why}: {call.described(now)}")
            if at_once:
                call.drop()
            else:
                call.leave()

    def take_over(self, due_at: float | None) -> None:
        """Before its start: in the place of another process, whose list expires then by the loop's clock; None where no term
        of it ends."""
        self._took_over, self._taken_over_due_at = True, due_at

    def resume_from_handover(self, address: tuple[str, int], update: EndpointUpdate, told_there: bool) -> None:
        """Before its start: from another process's list; discovery is asked at that address, for what came after this list
        where it was told there, or else for the whole."""
        self._source = Source(address, 0, self._schedule())
        self.apply_update(update)
        if not told_there:
            self._source.version = None

    def configuration_changed(self, address: tuple[str, int] | None, waited: float) -> None:
        """A new configuration with that address, None where it can't be read: the signal came at most `waited` seconds ago,
        and what discovery has counts RECONFIGURED_TERM seconds after that."""
        now = asyncio.get_running_loop().time()
        if address is not None and address != self._source.address:
            self._turn_to(address, now)
            self.confirmation.expect(Cause.RECONFIGURED, RECONFIGURED_TERM, now - waited)
            return
        self._source.schedule.begin_term(now, RECONFIGURED_TERM)
        if self._source.watch is not None:
            self.confirmation.keep_term(RECONFIGURED_TERM, now - waited)
        elif not self._rests:  # whoever tells the list of that address then has terms of its own
            self.confirmation.expect(Cause.RECONFIGURED, RECONFIGURED_TERM, now - waited)

    def _turn_to(self, address: tuple[str, int], now: float) -> None:
        """Asked there at once, while the list and all that is out stand till it has told."""
        if self._source.calls:
            self._replace(self._source)
        else:
            self._source.following.cancel()
        self._source = Source(address, None, self._schedule())
        self._source.schedule.begin_term(now, RECONFIGURED_TERM)
        if self._waits_elsewhere:
            # With each of many configurations in a row another call would lengthen the queue that this one stands in.
            self._source.schedule.pause(now + WAITS_ELSEWHERE)
        self._source.following = asyncio.get_running_loop().create_task(self._follow(self._source, False))

    @property
    def _waits_elsewhere(self) -> bool:
        """Whether a call without a word has a place in the queue by way of an address that was replaced."""
        return any(not call.spoken for source in self._replaced for call in source.calls)

    def _replace(self, source: Source) -> None:
        """Keeps its watch, or the call that has waited longest; of too many addresses the oldest without a watch goes. Each
        holds a descriptor."""
        kept = source.watch or source.calls[0]
        others = [call for call in source.calls if call is not kept]
        source.calls = [kept]
        self._give_up(others, "a newer configuration", at_once=True)
        self._replaced.append(source)
        if len(self._replaced) > REPLACED_MOST:
            oldest = next((one for one in self._replaced if one.watch is None), self._replaced[0])
            self._leave(oldest, "newer configurations", at_once=True)

    def _leave(self, source: Source, why: str, at_once: bool = False) -> None:
        self._replaced.remove(source)
        self._give_up(source.take_calls(), why, at_once)
        source.following.cancel()

    def _let_go(self) -> None:
        while self._replaced:
            self._leave(self._replaced[0], "the new address has told")

    async def _follow(self, source: Source, at_once: bool) -> None:
        """Watches for as long as the proxy lives."""
        while True:
            try:
                return await self._watch_on(source, at_once)
            except Exception as error:  # without it no drain would be heard of again
                self._log.say(f"the watch of the list ended by {type(error).__name__}: {error}")
                await asyncio.sleep(FOLLOW_AGAIN)

    async def _watch_on(self, source: Source, at_once: bool) -> None:
        """Asks again as the schedule says, and beside calls that have had no word for long."""
        try:
            while source is self._source or source.calls:
                wait: float | None = None
                while self._asks is not None and self._rests:
                    # Looked at again: it may have been told to rest since it was woken.
                    await self._asks.wait()
                    at_once = True
                if source is self._source and source.watch is None:
                    now = asyncio.get_running_loop().time()
                    wait = 0.0 if at_once else source.schedule.wait(now, bool(source.calls), self._spread)
                    if wait <= 0:
                        at_once = False
                        self._call(source)
                        continue
                if not source.calls:
                    await asyncio.sleep(wait or 0.0)
                    continue
                await asyncio.wait(
                    [call.task for call in source.calls], timeout=wait, return_when=asyncio.FIRST_COMPLETED
                )
                for call in [call for call in source.calls if call.task.done()]:
                    source.over(call)
                    at_once = self._ended(call, source)
        finally:
            for call in source.take_calls():
                call.drop()

    def _call(self, source: Source) -> None:
        if source.calls:
            self._log.say(f"no word of the watch, calls out: {len(source.calls)}")
        oldest = source.calls[: max(0, len(source.calls) - ABREAST + 1)]
        for old in oldest:
            source.over(old)
        self._give_up(oldest, "too many calls out", at_once=True)
        loop = asyncio.get_running_loop()
        self.metrics.calls += 1
        source.schedule.called(loop.time(), bool(source.calls))
        call = Call(self.metrics.calls, source.address, loop.time())
        call.task = loop.create_task(self._watch(source, call))
        source.calls.append(call)

    def _ended(self, call: Call, source: Source) -> bool:
        """Says and counts why; whether the next is to go out at once."""
        error = call.task.exception()
        now = asyncio.get_running_loop().time()
        reason = call.task.result() if error is None else _words(error)
        at_once = self._schedule_next(call, error, source, now)
        self._log.say(f"watch ended: {reason}; {call.described(now)}{self._next_described(source, now)}")
        self._count_end(call, error)
        if call.spoken and source is self._source:
            self._watch_lost(error, source, now)
        return at_once

    def _watch_lost(self, error: BaseException | None, source: Source, now: float) -> None:
        """What it missed counts from its last word where it fell silent, whatever discovery does."""
        if isinstance(error, Silent):
            source.schedule.begin_term(now, max(0.0, error.since + LOST_TERM - now))
            self.confirmation.expect(Cause.SILENT, LOST_TERM, error.since)
        else:
            source.schedule.expect_by(now + LOST_TERM)
            self.confirmation.expect(Cause.LOST, LOST_TERM, now)

    def _next_described(self, source: Source, now: float) -> str:
        """What follows a call that ended, for the log; nothing where the decisions say when the next goes out."""
        if source is not self._source:
            return "; its address was replaced"
        if source.calls:
            return f"; {len(source.calls)} more out"
        wait = source.schedule.paused_till - now
        return f"; next in {wait:.2f} s" if wait > 0 else ""

    def _count_end(self, call: Call, error: BaseException | None) -> None:
        if call.spoken:
            self.metrics.lost += 1
            return
        self.metrics.refused += 1
        if call.line is None:
            self.metrics.unconnected += 1
        elif isinstance(error, Refused):
            self.metrics.refused_late += error.kept >= call_schedule.KEPT_LONG
            self.metrics.refused_at_once += error.kept < call_schedule.KEPT_LONG

    def _schedule_next(self, call: Call, error: BaseException | None, source: Source, now: float) -> bool:
        """Whether the next is to go out at once."""
        source.schedule.silent = silent = isinstance(error, Silent)
        # The end of one that is replaced is expected, and says nothing of the new one.
        if source is not self._source:
            return False
        self._lost = True
        # Those that are still out keep their places, and none goes out for one that was refused: the queue is long.
        cut_short = call.line is not None and not isinstance(error, (Refused, Silent))
        if source.calls and not cut_short:
            return False
        if silent:
            return True
        # Whatever discovery says or does: without a watch drains are not kept.
        self._facade.endpoint_request_failed(clock.now())
        if source.calls:
            source.schedule.cut_short(now)
        else:
            source.schedule.failed(now, error.kept if isinstance(error, Refused) else 0.0)
        if self._waits_elsewhere:
            source.schedule.pause(max(source.schedule.paused_till, now + WAITS_ELSEWHERE))
        return False

    async def _watch(self, source: Source, call: Call) -> str:
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                line = call.line = await connect(source.address)
        except OSError as error:
            if error.errno in OWN_WANTS:
                self.confirmation.reached()
            raise
        self.confirmation.reached()
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            return await self._read(line, source, call)
        except Refused as refused:
            refused.kept = loop.time() - asked_at
            raise
        except Exception as error:
            if line.bytes_received:
                raise
            raise Refused(_words(error), loop.time() - asked_at) from None
        finally:
            line.abort()

    async def _read(self, line: StreamConnection, source: Source, call: Call) -> str:
        # Versions of another address mean nothing here, nor those of before a new beginning: without one the whole list
        # comes.
        asked = None if source.begun_anew else source.version
        stream = WatchStream(line, lambda: call_schedule.WATCH_SILENCE_TIMEOUT_S + self._spread)
        stream.ask(source.address, asked)
        first = True
        while (heard := await stream.next()) is not None:
            if source is self._source:
                self.confirmed_at = clock.now()
            if heard.word:
                call.spoken = True
                self._give_up(source.spoken_by(call), "another has told")
            for update in merged(map(self._update, heard.objects)):
                self._speaks(update, source, call, first, asked)
                first = False
            if heard.bad is not None:
                raise heard.bad
            if heard.word and source is self._source and not call.leaving:
                self._said()
        return "closed"

    def _speaks(self, update: EndpointUpdate, source: Source, call: Call, first: bool, asked: int | None) -> None:
        """One word of discovery. With its first a service that has started again may well be behind; then only a whole list
        tells where it stands."""
        current = source is self._source and not call.leaving
        if not current:
            if self._newer(update, source):
                self.metrics.taken_late += call.leaving
                self.apply_update(update, source)
            return
        if first and not update.whole and asked is not None and update.version < asked:
            source.begun_anew = True
            raise BadList(f"its versions begin anew: {update.version} after {asked}")
        if first and asked is not None and source.version is not None and asked <= update.version < source.version:
            # On its way while another told what is newer: what it has beyond that follows.
            pass
        elif first or source.version is None or update.version >= source.version:
            self._take_first(update, source)
            source.begun_anew = False
        self._let_go()

    def _newer(self, update: EndpointUpdate, source: Source) -> bool:
        """Whether a word of an address that was replaced, or of a call that has lost its place, goes before the list: an
        older one would lift a drain. All addresses are of one service, and count alike."""
        if source is self._list_source:
            return update.version >= self._list_version
        return update.version > self._list_version

    def _take_first(self, update: EndpointUpdate, source: Source) -> None:
        """An older whole list may only be late: what a newer one has stopped stays so for now, unless nobody would be left."""
        lifted = self._table.lifted_by(update) if update.version < self._list_version else set()
        if not lifted or all(entry.id in lifted for entry in update.entries if entry.ready):
            self.apply_update(update, source)
            return
        self._log.say(f"version {update.version} after {self._list_version}; {len(lifted)} stay stopped for now")
        entries = [entry._replace(ready=False) if entry.id in lifted else entry for entry in update.entries]
        self.apply_update(update._replace(entries=entries), source)
        held = self._table.hold(entry for entry in update.entries if entry.id in lifted)
        asyncio.get_running_loop().call_later(LOST_TERM, self._table.release, held)

    def _said(self) -> None:
        """The watch lives. Where it has nothing new that has to be told all the same: the decisions ask later after each
        watch that ended, and would go on from the failures of days ago."""
        self._heard.set()
        if self._source.version is not None:
            # An empty line of an address that has told nothing yet says nothing of the list.
            self.confirmation.confirmed(self._watch_described())
        if self._lost:
            self._lost = False
            self._facade.update_endpoints((), False, clock.now())
        if self.on_update is not None:
            self.on_update()

    def _watch_described(self) -> str:
        watch = self._source.watch
        return watch.described(asyncio.get_running_loop().time()) if watch is not None else "told by another"

    @staticmethod
    def _update(told: Any) -> EndpointUpdate:
        try:
            return parse_endpoint_update(told)
        except ValueError as error:
            raise BadList(f"a line {error}") from None


def _words(error: BaseException) -> str:
    return f"{error}" if isinstance(error, (Silent, Refused)) else f"{type(error).__name__} {error}".strip()
