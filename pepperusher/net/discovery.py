"""The list of backends: the watch at discovery and the reading of what it tells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Any, Protocol

import h11

from pepperusher.entry import Entry, Narrow
from pepperusher.net import clock
from pepperusher.net.endpoint_update import GONE, BadList, EndpointUpdate, complete_objects, endpoint_update_of, merged, text_of_address
from pepperusher.net.endpoint_metrics import EndpointMetrics
from pepperusher.net.line import Line, reach
from pepperusher.net.log import Log
from pepperusher.net.message import HEAD, Request, framed_request

CONNECT_WITHIN = 1.5
# An empty line comes every 2 s: a watch with no line for longer is dead, whatever its connection says. What it
# misses is held against this proxy 6 s after its last line, and by then another watch has to have told it: after
# 4.5 s, and a wait of up to 500 ms, a call that stood 2.8 s in discovery's queue was too late. The second figure is
# spread over proxies, since all watches may fall silent at once; asked is then without a further wait.
SILENT = 2.5
SPREAD = 0.5
# Calls wait in turn at discovery, and one that waits looks like one that is lost: it is never left to begin
# anew at the queue's end. Another goes out beside it, since a change counts 6 s after discovery had it and
# could be reached. After a silence the call is most likely lost as well: the next goes out when that lasted
# as long as makes a watch dead. After a failure, or where nothing is known, a queue of many callers is as
# likely, and each call more makes it longer for all: the next goes out so late that it leaves 1.5 s for the
# answer. The spread is added to either.
FIRST_WITHIN = 4.0
# As many stand at once: for a fifth the oldest is given up, after a silence 10 s old, otherwise 16 s.
ABREAST = 4
# A call that was kept so long and then refused stood in a queue that is longer than discovery lets anybody wait,
# and is worked through all the same: once all that it works through was refused before, calls that come again
# soon, and all at the same time, keep it so for good. So the next goes out by chance within 2.5 times as long,
# not in the first tenth of that: far enough apart that the calls of a crowd come one after another. Within 6 s of
# the one refused, since it may have gone out just before discovery could be reached, and a change counts so long
# after; but never in haste for having been kept for longer.
KEPT_LONG = 1.0
PAUSE, PAUSE_LEAST = 2.5, 0.1
APART_MOST = 6.0
# Those that are started together with a list that they were given ask within so long, by chance: they are as many as
# discovery had callers, and come while those that lost their watches still wait.
START_SPREAD = 2.0
# What a list that is not confirmed may lack counts as told so long after a new configuration, or after a watch's last
# word, in seconds (PROTOCOL, SIGHUP; STANDING, one clock for silence).
RECONFIGURED_TERM = 4.0
LOST_TERM = 6.0
# So many endpoints are named in a line of the log at the most.
NAMED_MOST = 8
# A line that has begun is whole as soon as that, and a second later for each so many bytes that came: discovery may
# drip, or stop in the middle, and each byte alone is in time.
SLOWEST = 128 * 1024
# One line of a watch; more is no list.
LONGEST = 8 * 1024 * 1024


class Silent(Exception):
    """A watch that was answered says no more."""


class Refused(Exception):
    """A call that ended without an answer, or with another than a watch, `kept` seconds after it was asked."""

    def __init__(self, why: str, kept: float) -> None:
        super().__init__(why)
        self.kept = kept


class Decides(Protocol):
    """What a list is told to, and what says when to ask again: a proxy's decisions, or a control machine's part for
    it."""

    def listed(self, entries: Iterable[Entry], whole: bool, now: int) -> None: ...

    def list_failed(self, now: int) -> None: ...

    def tick(self, now: int) -> int: ...


class Reaches(Protocol):
    """What holds connections to those listed."""

    def reached_at(self, name: str, address: tuple[str, int], ready: bool) -> None: ...

    def only(self, names: set[str]) -> None: ...


class Call:
    """One request for the watch, from when it goes out until its connection ends. Times are the loop's, in seconds."""

    __slots__ = ("number", "address", "asked_at", "line", "spoken", "task")

    def __init__(self, number: int, address: tuple[str, int], asked_at: float) -> None:
        self.number = number
        self.address = address
        self.asked_at = asked_at
        self.line: Line | None = None   # once the connection is up
        self.spoken = False
        self.task: asyncio.Task[str]

    def described(self, now: float) -> str:
        return f"call {self.number} to {text_of_address(self.address)}, {now - self.asked_at:.2f} s old"

    @property
    def unread(self) -> int:
        """Bytes that came and were not looked at."""
        return self.line.unread if self.line is not None else 0

    def drop(self) -> None:
        self.task.cancel()
        # It may have failed in the same turn of the loop: nobody asks with what.
        self.task.add_done_callback(lambda over: over.cancelled() or over.exception())


class Source:
    """Discovery at one address. Each counts versions of its own; None is one that has told nothing yet."""

    __slots__ = ("address", "version", "begun_anew", "following", "calls", "watch", "asked_at", "silent",
                 "paused_till")

    def __init__(self, address: tuple[str, int], version: int | None) -> None:
        self.address = address
        self.version = version
        self.begun_anew = False   # its versions start again: what came after ours means nothing there
        self.following: asyncio.Task[None]
        # Out and not over, the oldest first, `ABREAST` at the most; several only while none has spoken, and
        # then that one is the watch.
        self.calls: list[Call] = []
        self.watch: Call | None = None
        self.asked_at = 0.0   # when the newest call went out, in seconds of the loop's clock
        # Since the last word it was silence that ended a watch, and no call was refused, reset or failed.
        self.silent = False
        self.paused_till = 0.0   # no call before, by the same clock: the last was kept for long and refused

    @property
    def next_at(self) -> float:
        """When another call goes out beside those without a word, before the spread over proxies."""
        return self.asked_at + (SILENT if self.silent else FIRST_WITHIN)

    def spoken_by(self, call: Call) -> list[Call]:
        """It is the watch from here on. The others, which are returned, are to end before a word of theirs is read: it
        might be older."""
        self.silent = False
        if self.watch is not None:
            return []
        self.watch = call
        others = [other for other in self.calls if other is not call]
        self.calls = [call]
        return others

    def over(self, call: Call) -> bool:
        """Whether it was still counted on."""
        if call not in self.calls:
            return False
        self.calls.remove(call)
        if call is self.watch:
            self.watch = None
        return True


class Discovery:
    def __init__(self, address: tuple[str, int], facade: Decides, backends: Reaches, log: Log,
                 narrows: Sequence[Narrow] = (), seed: int = 0) -> None:
        self._chance = Random(seed)
        self._spread = SPREAD * self._chance.random()
        self._heard = asyncio.Event()   # once any watch has spoken
        self._lost = False              # since a watch ended, until another speaks
        # What companions make of each line, in this order: the last has the last word.
        self._narrows = narrows
        # What the list says of each, and where it is reached; emptied with the list.
        self._told: dict[str, tuple[Entry, tuple[str, int]]] = {}
        self._source = Source(address, 0)
        # Whom a new configuration has replaced, each with its last watch; emptied when the new one has told,
        # since
        # till then an old watch is better than none.
        self._replaced: list[Source] = []
        self._facade = facade
        self._backends = backends
        self._log = log
        # When its source last said anything, or that of whom the list was borrowed; None where nobody ever has.
        self.confirmed_at: int | None = None
        self._borrowed = False
        # Where the list comes from elsewhere: set while discovery is to be asked. None where nothing else tells it.
        self._asks: asyncio.Event | None = None
        self.metrics = EndpointMetrics()
        self._unconfirmed_since: float | None = None   # by the loop's clock; None while a watch stands
        # When a list that is not confirmed counts as told whatever came; None while a watch stands, before the first
        # call, and once that was counted.
        self._due_at: float | None = None
        self._overdue = False
        self.on_word: Callable[[], None] | None = None   # a watch has spoken; what it told stands in the list

    def take(self, update: EndpointUpdate, source: Source | None = None) -> None:
        source = source or self._source
        if self._borrowed:
            # Also where it tells changes alone, since it was asked before: they are all that it has, and what another had
            # beside them is gone.
            update, self._borrowed = update._replace(whole=True), False
        source.version = update.version
        self._say_changes(update, source)
        if update.whole:
            self._told.clear()
        for entry, address in zip(update.entries, update.addresses):
            self._told[entry.id] = entry, address
        if update.entries or update.whole:
            self.put(update.entries, update.whole)
        for entry, address in zip(update.entries, update.addresses):
            if address == GONE:
                self._told.pop(entry.id, None)

    def _say_changes(self, update: EndpointUpdate, source: Source) -> None:
        """Which endpoints are to have nothing more from here on, or may have it again, and by which word."""
        stopped, back = [], []
        for entry in update.entries:
            known, _ = self._told.get(entry.id, (None, GONE))
            if known is not None and known.ready != entry.ready:
                (back if entry.ready else stopped).append(f"{entry.id} {'ready again' if entry.ready else 'gone' if entry.gone else 'draining'}")
        if update.whole:
            named = {entry.id for entry in update.entries}
            stopped += [f"{name} not listed" for name, (known, _) in self._told.items() if known.ready and name not in named]
        changes = stopped + back
        if changes:
            more = f" and {len(changes) - NAMED_MOST} more" if len(changes) > NAMED_MOST else ""
            self._log.say(f"version {update.version} of {text_of_address(source.address)}: {', '.join(changes[:NAMED_MOST])}{more}")

    def put(self, entries: list[Entry], whole: bool = False, past: int = 0) -> None:
        """Lines to be acted on, once those who narrow them had their say; the first `past` of these had it.
        What is drained by a mark or an order has no connection kept either."""
        for narrow in self._narrows[past:]:
            entries = narrow(entries, whole)
        for entry in entries:
            _, address = self._told.get(entry.id, (None, GONE))
            self._backends.reached_at(entry.id, address, entry.ready)
        if whole:
            self._backends.only({entry.id for entry in entries})
        if entries or whole:
            self._facade.listed(entries, whole, clock.now())

    @property
    def source(self) -> str:
        return text_of_address(self._source.address)

    def listed(self) -> dict[str, Any] | None:
        """The list as it stands, in discovery's own form; None before its source has told anything."""
        if self._source.version is None:
            return None
        return {"version": self._source.version, "full": True, "servers": [
            {"id": entry.id, "addr": text_of_address(address), "zone": entry.zone, "cell": entry.cell, "weight": entry.weight,
             "kind": entry.kind, "state": "ready" if entry.ready else "draining", "started_ms": entry.born / 1000}
            for entry, address in self._told.values()]}

    @property
    def version(self) -> int:
        """Of the list as it stands; 0 where none was told."""
        return max(0, self._source.version or 0)

    @property
    def wanting(self) -> bool:
        """Whether there is no list at all."""
        return not self._told

    def borrow(self, update: EndpointUpdate, confirmed_at: int) -> None:
        """Another proxy's list, for as long as discovery has told nothing: its own first word then replaces it, and it is asked
        on as before."""
        if not self._told:
            self.confirmed_at = confirmed_at
            self.take(update)
            self._source.version, self._borrowed = None, True
            self._facade.list_failed(clock.now())

    @property
    def watched(self) -> bool:
        """Whether a watch of its own has spoken and stands."""
        return self._source.watch is not None

    def rest(self) -> None:
        """From here on another tells the list: no call goes out, and none is waited for, until `ask`."""
        if self._asks is None:
            self._asks = asyncio.Event()
        self._asks.clear()
        for source in (self._source, *self._replaced):
            self._give_up(source.calls, "another tells the list")
            source.calls, source.watch = [], None

    def ask(self) -> None:
        """At once, and from then on as ever."""
        if self._asks is not None:
            self._asks.set()

    def relayed(self, update: EndpointUpdate, confirmed_at: int) -> None:
        """The whole list as another had it of the discovery that this one would ask. Only what is different is acted on."""
        if self._told and not self._borrowed and self._source.version is not None:
            there = {entry.id for entry in update.entries}
            changed = [(entry, address) for entry, address in zip(update.entries, update.addresses)
                       if self._told.get(entry.id) != (entry, address)]
            changed += [(entry._replace(ready=False, gone=True), GONE)
                        for name, (entry, _) in self._told.items() if name not in there]
            update = EndpointUpdate(update.version, False, [one for one, _ in changed], [one for _, one in changed])
        self.confirmed_at = max(confirmed_at, self.confirmed_at or 0)
        self.take(update)
        self._let_go()
        self._said()

    def start(self, at_once: bool = True) -> None:
        """Asks at once, or where there is a list to go by, within START_SPREAD seconds by chance."""
        if not at_once and self._told:
            spread = START_SPREAD * self._chance.random()
            self._source.paused_till = asyncio.get_running_loop().time() + spread
        self._source.following = asyncio.get_running_loop().create_task(self._follow(self._source, False))

    async def told(self, within: float) -> None:
        """Until a watch has spoken, but `within` seconds at the most."""
        try:
            async with asyncio.timeout(within):
                await self._heard.wait()
        except TimeoutError:
            pass

    def stop(self) -> None:
        self._source.following.cancel()
        self._let_go()

    def sent(self, request: str, endpoint: str) -> None:
        """The request of this id goes out to that endpoint, by the list as it stands."""
        if self.overdue:
            self.metrics.sent_overdue += 1
            self._log.say(f"request {request} goes to {endpoint} by a list past its term")

    @property
    def overdue(self) -> bool:
        """Whether the list is not confirmed and past its term: what it lacks counts as told."""
        if self._due_at is not None and asyncio.get_running_loop().time() > self._due_at:
            self._due_at, self._overdue = None, True
            self.metrics.overdue += 1
            self._log.say("list past its term; not confirmed yet")
        return self._overdue

    def _expect(self, within: float) -> None:
        """The list is not confirmed from here on, and what it may lack counts `within` seconds from now at the latest."""
        now = asyncio.get_running_loop().time()
        if self._unconfirmed_since is None:
            self._unconfirmed_since = now
        if not self._overdue:
            self._due_at = min(self._due_at or now + within, now + within)

    def _confirmed(self) -> None:
        if self._unconfirmed_since is not None:
            now = asyncio.get_running_loop().time()
            lasted = now - self._unconfirmed_since
            self.metrics.longest_unconfirmed = max(self.metrics.longest_unconfirmed, lasted)
            by = f" by {self._source.watch.described(now)}" if self._source.watch is not None else ""
            self._log.say(f"list confirmed; after {lasted:.2f} s{', past its term' if self.overdue else ''}{by}")
        self._unconfirmed_since, self._due_at, self._overdue = None, None, False

    def _give_up(self, calls: Iterable[Call], why: str) -> None:
        """Closes them with what may wait there unread."""
        now = asyncio.get_running_loop().time()
        for call in calls:
            if not call.spoken:
                self.metrics.given_up += 1
                self.metrics.unread += bool(call.unread)
            if not call.spoken or call.unread:
                self._log.say(f"{call.described(now)}, is given up, {call.unread} bytes unread: {why}")
            call.drop()

    def go_on(self, address: tuple[str, int], update: EndpointUpdate) -> None:
        """Before its start: from another process's list, told at that address."""
        self._source = Source(address, 0)
        self.take(update)

    def turn_to(self, address: tuple[str, int]) -> None:
        """A new configuration: asked there at once, while the list and the old watch stand till it has
        told."""
        if address == self._source.address:
            return
        self._expect(RECONFIGURED_TERM)
        if self._source.version is None:
            # Of several configurations one after another the last counts.
            self._give_up(self._source.calls, "a newer configuration")
            self._source.following.cancel()
        else:
            self._replaced.append(self._source)
        self._source = Source(address, None)
        self._source.following = asyncio.get_running_loop().create_task(self._follow(self._source, True))

    def _let_go(self) -> None:
        while self._replaced:
            replaced = self._replaced.pop()
            self._give_up(replaced.calls, "the new one has told")
            replaced.following.cancel()

    async def _follow(self, source: Source, at_once: bool) -> None:
        """Watches for as long as the proxy lives, asking again when the decisions say, and beside calls that
        have had no word for long."""
        try:
            while source is self._source or source.calls:
                wait = None
                while self._asks is not None and not self._asks.is_set():
                    # Looked at again: it may have been told to rest since it was woken.
                    await self._asks.wait()
                    at_once = True
                if source is self._source and source.watch is None:
                    wait = 0.0 if at_once else self._wait(source)
                    if wait <= 0:
                        at_once = False
                        self._call(source)
                        continue
                if not source.calls:
                    await asyncio.sleep(wait or 0.0)
                    continue
                await asyncio.wait([call.task for call in source.calls], timeout=wait, return_when=asyncio.FIRST_COMPLETED)
                for call in [call for call in source.calls if call.task.done()]:
                    source.over(call)
                    at_once = self._ended(call, source)
        finally:
            for call in source.calls:
                call.drop()

    def _wait(self, source: Source) -> float:
        """Seconds till the next call."""
        if source.calls:
            return source.next_at + self._spread - asyncio.get_running_loop().time()
        paused = source.paused_till - asyncio.get_running_loop().time()
        if paused > 0:
            return paused
        wait = self._facade.tick(clock.now())
        return wait / 1e6 if wait >= 0 else 1.0

    def _call(self, source: Source) -> None:
        if source.calls:
            self._log.say(f"no word of the watch, calls out: {len(source.calls)}")
        oldest = source.calls[:max(0, len(source.calls) - ABREAST + 1)]
        for old in oldest:
            source.over(old)
        self._give_up(oldest, "too many calls out")
        loop = asyncio.get_running_loop()
        self.metrics.calls += 1
        source.asked_at = loop.time()
        call = Call(self.metrics.calls, source.address, source.asked_at)
        call.task = loop.create_task(self._watch(source, call))
        source.calls.append(call)

    def _ended(self, call: Call, source: Source) -> bool:
        """Whether the next is to go out at once."""
        error = call.task.exception()
        now = asyncio.get_running_loop().time()
        self._log.say(f"watch ended: {call.task.result() if error is None else _words(error)}; {call.described(now)}")
        self.metrics.lost += call.spoken
        self.metrics.refused += not call.spoken
        source.silent = isinstance(error, Silent)
        # The end of one that is replaced is expected, and says nothing of the new one.
        if source is not self._source:
            return False
        self._lost = True
        if call.spoken:
            # Counted from its last word.
            self._expect(LOST_TERM - (SILENT + self._spread if source.silent else 0.0))
        # Those that are still out keep their places, and none goes out for the one that ended.
        if source.calls:
            return False
        if not source.silent:
            # Whatever discovery says or does: without a watch drains are not kept.
            self._facade.list_failed(clock.now())
        if isinstance(error, Refused) and error.kept >= KEPT_LONG:
            longest = min(PAUSE * error.kept, max(PAUSE, APART_MOST - error.kept))
            pause = self._chance.uniform(PAUSE_LEAST * longest, longest)
            source.paused_till = asyncio.get_running_loop().time() + pause
        return source.silent

    async def _watch(self, source: Source, call: Call) -> str:
        async with asyncio.timeout(CONNECT_WITHIN):
            line = call.line = await reach(source.address)
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            return await self._read(line, source, call)
        except Refused as refused:
            refused.kept = loop.time() - asked_at
            raise
        except Exception as error:
            if line.received:
                raise
            raise Refused(_words(error), loop.time() - asked_at) from None
        finally:
            line.abort()

    async def _read(self, line: Line, source: Source, call: Call) -> str:
        parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD)
        host = f"{source.address[0]}:{source.address[1]}".encode()
        # Versions of another address mean nothing here, nor those of before a new beginning: without one the whole list
        # comes.
        asked = None if source.begun_anew else source.version
        after = b"" if asked is None else b"&after=%d" % asked
        target = b"/v1/endpoints?watch=1" + after
        line.send(framed_request(parser, Request(b"GET", target, [(b"host", host)], b"")))
        text = bytearray()
        first = True
        loop = asyncio.get_running_loop()
        until: float | None = None   # a call waits its turn till it is given up for another
        spoke_at = 0.0               # its head or last line; a part of one is no word
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    async with asyncio.timeout_at(until):
                        parser.receive_data(await line.read())
                except TimeoutError:
                    raise Silent("silent") from None
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Refused(f"answered {event.status_code}", 0.0)
                spoke_at = loop.time()
                until = spoke_at + SILENT + self._spread
            elif isinstance(event, h11.Data):
                if source is self._source:
                    self.confirmed_at = clock.now()
                text += event.data
                if len(text) > LONGEST:
                    raise BadList("a line is too long")
                if b"\n" in event.data:
                    told, rest, bad = complete_objects(text)
                    if told or not rest and bad is None:
                        self._spoke(call, source)
                    for update in merged(map(self._update, told)):
                        self._speaks(update, source, first, asked)
                        first = False
                    if bad is not None:
                        raise bad
                    text = bytearray(rest)
                    if told or not text:
                        spoke_at = loop.time()
                        if source is self._source:
                            self._said()
                until = spoke_at + SILENT + self._spread + len(text) / SLOWEST
            else:
                return "closed"

    def _spoke(self, call: Call, source: Source) -> None:
        """Something whole came by it."""
        call.spoken = True
        self._give_up(source.spoken_by(call), "another call has told")

    def _speaks(self, update: EndpointUpdate, source: Source, first: bool, asked: int | None) -> None:
        """One word of a watch. Within one versions only rise: what is older came late, and would lift a drain. With its first
        word a discovery that has started again may well be behind; then only a whole list tells where it stands."""
        if first and not update.whole and asked is not None and update.version < asked:
            source.begun_anew = True
            raise BadList(f"its versions begin anew: {update.version} after {asked}")
        if first and asked is not None and source.version is not None and asked <= update.version < source.version:
            # On its way while another told what is newer: what it has beyond that follows.
            pass
        elif first or source.version is None or update.version >= source.version:
            self.take(update, source)
            source.begun_anew = False
        if source is self._source:
            self._let_go()

    def _said(self) -> None:
        """The watch lives. Where it has nothing new that has to be told all the same: the decisions ask later after each
        watch that ended, and would go on from the failures of days ago."""
        self._heard.set()
        self._confirmed()
        if self._lost:
            self._lost = False
            self._facade.listed((), False, clock.now())
        if self.on_word is not None:
            self.on_word()

    @staticmethod
    def _update(told: Any) -> EndpointUpdate:
        try:
            return endpoint_update_of(told)
        except ValueError as error:
            raise BadList(f"a line {error}") from None


def _words(error: BaseException) -> str:
    return f"{error}" if isinstance(error, (Silent, Refused)) else f"{type(error).__name__} {error}".strip()
