"""A stand-in backend on a socket: reads tickets, has the engine work on them, calls the next tier, and
misbehaves."""

from __future__ import annotations

import asyncio
import socket
import struct
from random import Random

import h11

from pepperusher.rehearsal import active_faults as weathers
from pepperusher.rehearsal.caller import Asked, Client, Reply
from pepperusher.rehearsal.engine import FULL, RUNS, Engine, Job, Memory, parts_of
from pepperusher.rehearsal.fleet_plan import Place
from pepperusher.rehearsal.records import DONE, LEFT, BackendAttempt, BackendLifetimeRecord, ClientAttempt, Writer
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.active_faults import ActiveFaults
from pepperusher.rehearsal.wire import READ, BrokenConnection, Message, Peer, Start, answer_body, clock, relative_time

BACKLOG = 512
# A repeat that is known costs this part of the work.
REPEAT_COST = 0.01
# An answer in two parts stops after this many bytes of its body.
HALF_AT = 3
NOISE = b"\x16\x03\x01\x02\x00garbled\xff\xfe not HTTP\r\n\r\n"


class Task:
    """One ticket at work at `at`."""

    __slots__ = (
        "at",
        "peer",
        "record",
        "job",
        "calls",
        "info",
        "limit",
        "over",
        "child",
        "settled",
        "waited_for",
    )

    def __init__(
        self, at: Backend, peer: Peer, record: BackendAttempt, job: Job, calls: int, info: int, limit: int
    ) -> None:
        self.at = at
        self.peer = peer
        self.record = record
        self.job = job
        self.calls = calls
        self.info = info  # the whole ticket's work, as drawn
        self.limit = limit  # when its sender gives up (clock), 0 if it did not say
        self.over = False
        self.child: asyncio.Task[None] | None = None
        self.settled: asyncio.Future[None] | None = None  # what its connection waits for
        self.waited_for: list[Task] = []  # by repeats of it; emptied when it is over

    def settle(self) -> None:
        if self.settled is not None and not self.settled.done():
            self.settled.set_result(None)


class Backend:
    """One stay of a backend at its place."""

    def __init__(
        self, script: Script, place: Place, id: str, born: int, memory: Memory, writer: Writer, start: Start
    ) -> None:
        now = clock()
        kind = place.kind
        self.place = place
        self.id = id
        self.born = born
        self._script = script
        self._memory = memory
        self._writer = writer
        self._start = start
        self._chance = Random(f"{script.seed}:backend:{id}")
        from_when = start.at + born if born >= 0 else (now if kind.started == "cold" else now - kind.warm_for)
        rules = script.rules
        self._engine = Engine(kind, from_when, now, rules.tip_multiple, rules.tip_for)
        self._weather = ActiveFaults()
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._peers: dict[Peer, Task | None] = {}  # emptied as connections end
        self._tasks: dict[Job, Task] = {}  # emptied as tickets end
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._listening = asyncio.Lock()
        self._client: Client | None = None
        self._uses = {use.name.encode(): number for number, use in enumerate(script.use_cases)}
        self._ended = False
        self._calls = 0
        if place.proxy is not None:
            self._client = Client(place.proxy.address, place.proxy.number)
        tier = script.tiers[place.tier]
        portion = tier.work
        for above in script.tiers[: place.tier]:
            portion /= above.calls
        self._portion = portion
        self._mean_calls = tier.calls if place.proxy is not None else 0.0

    # --- start and end ----------------------------------------------------------------------------

    async def listen(self) -> None:
        async with self._listening:
            if self._server is not None or self._ended:
                return
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.place.address)
            listener.setblocking(False)
            self._server = await asyncio.start_server(self._serve, sock=listener, backlog=BACKLOG)

    def _refuse(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def end(self, at: int) -> None:
        """Killed, or its time over: connections are reset and its address refuses."""
        if self._ended:
            return
        self._ended = True
        self._refuse()
        if self._timer is not None:
            self._timer.cancel()
        for task in list(self._tasks.values()):
            self._settle(task, stopped=True)
        for peer in list(self._peers):
            _reset(peer)
        if self._client is not None:
            self._client.close()
        self._writer.add(BackendLifetimeRecord(self.place.number, self.id, self.born, at, self.fell))

    def renamed(self, id: str, at: int) -> None:
        """Discovery knows it under another id from now on; it goes on as it was."""
        self._writer.add(BackendLifetimeRecord(self.place.number, self.id, self.born, at, self.fell))
        self.id, self.born = id, at

    @property
    def fell(self) -> int:
        return relative_time(self._engine.fell, self._start.at)

    async def weather(self, now: ActiveFaults) -> None:
        """The timeline has it that its weather changes."""
        before, self._weather = self._weather, now
        self._turn()
        self._engine.frozen = now.frozen
        self._engine.slower = now.slower
        self._turn()
        if now.frozen or now.silent:
            self._thawed.clear()
        else:
            if before.silent and not now.silent:
                # What a silent machine had is gone when it is back.
                for peer in list(self._peers):
                    _reset(peer)
            self._thawed.set()
        if now.refuses:
            self._refuse()
        elif self._engine.fell < 0:
            await self.listen()

    # --- connections ------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer, h11.SERVER)
        self._peers[peer] = None
        try:
            while not self._ended:
                message = await self._next(peer)
                if message is None:
                    break
                if not await self._take(peer, message):
                    break
        except BrokenConnection as broken:
            if broken.begun and self._peers.get(peer) is None and not self._ended and not writer.transport.is_closing():
                writer.write(b"HTTP/1.1 400 Bad\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
        except asyncio.CancelledError:
            pass  # the process ends
        finally:
            task = self._peers.pop(peer, None)
            if task is not None and not task.over:
                self._gone(task)
            peer.close()

    async def _next(self, peer: Peer) -> Message | None:
        try:
            async with asyncio.timeout(self.place.kind.idle / 1e6):
                return await peer.receive()
        except TimeoutError:
            return None

    async def _take(self, peer: Peer, message: Message) -> bool:
        """One ticket, from its last byte until its sender is gone or the answer is out."""
        most = self._weather.idle_most
        if most and peer.used and message.first - peer.idle_since > most:
            _reset(peer)
            return False
        target = message.head.target.partition(b"?")[0]
        if target in (b"/health", b"/status/load"):
            self._plain(peer, 200, b"up\n")
            return peer.again()
        use = self._uses.get(target.lstrip(b"/").partition(b"/")[0])
        name = message.headers.get(b"request-id", b"").decode("latin-1")
        if use is None or not name:
            self._plain(peer, 404, b"no such use case, or no Request-Id\n")
            return peer.again()
        mark = message.headers.get(b"idempotency-key", b"").decode("latin-1")
        record = BackendAttempt(
            name,
            mark,
            use,
            self.place.number,
            self.id,
            self.place.tier,
            self.place.cell,
            relative_time(message.first, self._start.at),
            relative_time(message.last, self._start.at),
            -1,
            -1,
            -1,
            -1,
            False,
            False,
            False,
            "",
            0,
        )
        # A machine that is frozen or silent has it in its kernel at the most.
        if not self._thawed.is_set() and not await self._thaws(peer):
            record.ended = record.gone = self._now()
            record.fate = "silent" if self._weather.silent else "frozen"
            self._writer.add(record)
            return False
        task = self._began(peer, message, record)
        if task is None:
            return peer.again()
        self._peers[peer] = task
        # Nothing more may come on it before the answer but its end.
        early = await self._watch(peer, task)
        self._peers[peer] = None
        if early:
            return False
        return not peer.writer.transport.is_closing() and peer.again()

    async def _thaws(self, peer: Peer) -> bool:
        thaw = asyncio.ensure_future(self._thawed.wait())
        end = asyncio.ensure_future(_ends(peer))
        try:
            await asyncio.wait((thaw, end), return_when=asyncio.FIRST_COMPLETED)
            return thaw.done() and not end.done() and not peer.writer.transport.is_closing()
        finally:
            thaw.cancel()
            await _no_more(end)

    async def _watch(self, peer: Peer, task: Task) -> bool:
        """Until the ticket is over; whether its sender left, or spoke out of turn, before."""
        task.settled = over = asyncio.get_running_loop().create_future()
        if task.over:
            return False
        end = asyncio.ensure_future(_ends(peer))
        await asyncio.wait((over, end), return_when=asyncio.FIRST_COMPLETED)
        if over.done():
            await _no_more(end)
            return False
        self._gone(task)
        return True

    # --- one ticket -------------------------------------------------------------------------------

    def _began(self, peer: Peer, message: Message, record: BackendAttempt) -> Task | None:
        """Offers it to the engine; None where it was turned away at once."""
        use = self._script.use_cases[record.use]
        info = _figure(message.headers.get(b"request-info", b""), b"work")
        if info is None:
            info = int(use.work.mean)
        fate = weathers.response_outcome(self._weather, use.name, self._chance)
        record.fate = fate
        calls = int(self._mean_calls + self._chance.random()) if self._mean_calls else 0
        work = round(info * self._portion)
        if not peer.used:
            work += self.place.kind.handshake
        if len(self._peers) > self.place.kind.connections * self.place.kind.cores:
            self._away(peer, record, 503)
            return None
        job = Job([])
        known, holder = "new", None
        if use.repeat == "referenced" and record.mark:
            known, holder = self._memory.ask(record.use, record.mark, use.remembered, job, clock())
        if known == "done":
            calls, work, record.repeat = 0, round(work * REPEAT_COST), True
        job.parts = parts_of(work, calls)
        task = Task(self, peer, record, job, calls, info, _limit(message))
        job.owner = task
        if known == "under way" and holder is not None:
            # Until the first is over, it waits for the same work; if that is stopped, it does it itself.
            record.repeat = True
            holder.owner.waited_for.append(task)
            return task
        self._offer(task, work)
        return None if task.over else task

    def _offer(self, task: Task, work: int) -> None:
        self._turn()
        self._tasks[task.job] = task
        how = self._engine.offer(task.job, work)
        if how == FULL:
            self._forget_mark(task, False)
            del self._tasks[task.job]
            task.over = True
            self._away(task.peer, task.record, 503)
            task.settle()
            return
        if how == RUNS:
            task.record.begun = self._now()
        self._turn()

    def _turn(self) -> None:
        """Brings the engine up to now and acts on what ended."""
        if self._ended:
            return
        now = clock()
        for job in self._engine.advance(now):
            task = self._tasks.get(job)
            if task is not None:
                self._part_ended(task)
        if self._engine.fell >= 0:
            self._refuse()
            for task in list(self._tasks.values()):
                self._settle(task, stopped=True)
            for peer in list(self._peers):
                _reset(peer)
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._engine.due()
        if due is not None:
            self._timer = asyncio.get_running_loop().call_later(max(0, due - clock()) / 1e6, self._turn)

    def _part_ended(self, task: Task) -> None:
        if not task.job.parts:
            task.record.effect = self._now() if not task.record.repeat else -1
            self._answer(task)
            return
        if self._client is None:
            self._engine.resume(task.job)
            return
        task.child = asyncio.get_running_loop().create_task(self._call(task))

    async def _call(self, task: Task) -> None:
        """One call to the next tier. It fails if the call does."""
        assert self._client is not None
        use = self._script.use_cases[task.record.use]
        self._calls += 1
        turn = task.calls - len(task.job.parts)
        name = f"{self.id}:{self._calls}"
        mark = f"{task.record.mark or task.record.name}.{turn}" if use.repeat == "referenced" else ""
        left = 0
        if task.limit and self._script.rules.passes_limit:
            left = max(1, task.limit - clock())
        asked = Asked(name, use, "", task.info, left, mark, b"", self._hint(task.info))
        intended = self._now()
        try:
            reply = await self._client.ask(asked, self._patience(task, use.outer))
        except asyncio.CancelledError:
            self._note(task, asked, intended, Reply(LEFT))
            raise
        self._note(task, asked, intended, reply)
        if not self._thawed.is_set():
            await self._thawed.wait()
        task.child = None
        if task.over or self._ended:
            return
        if reply.how != DONE:
            self._fail(task)
            return
        self._turn()
        if not task.over:
            self._engine.resume(task.job)
            self._turn()

    def _hint(self, info: int) -> int:
        tiers = self._script.tiers
        if not self._script.load.hints:
            return -1
        return (
            round(
                info
                * self._portion
                / tiers[self.place.tier].work
                * tiers[self.place.tier + 1].work
                / tiers[self.place.tier].calls
            )
            if tiers[self.place.tier].work
            else -1
        )

    def _patience(self, task: Task, outer: int) -> int:
        """How long it waits for a call: as its own sender does, or as any client of the use case."""
        return max(1000, task.limit - clock()) if task.limit else outer

    def _note(self, task: Task, asked: Asked, intended: int, reply: Reply) -> None:
        """A call's own record, as a client's try has."""
        assert self.place.proxy is not None
        self._writer.add(
            ClientAttempt(
                asked.name,
                asked.name,
                0,
                asked.mark,
                task.record.use,
                -1,
                self.place.proxy.number,
                task.record.name,
                asked.work,
                intended,
                relative_time(asked.sent, self._start.at),
                relative_time(asked.written, self._start.at),
                self._now(),
                reply.how,
                reply.status,
                reply.advice,
                asked.fresh,
                asked.left,
                relative_time(asked.crossed, self._start.at),
            )
        )

    def _answer(self, task: Task) -> None:
        """Its work is whole: answers as its fate has it."""
        record, peer = task.record, task.peer
        fate = record.fate
        if fate == weathers.ERROR:
            self._plain(peer, 500, b"an error\n")
        elif fate == weathers.RESET:
            _reset(peer)
        elif fate == weathers.GARBLE:
            peer.writer.write(NOISE)
        elif fate == weathers.LOST:
            pass
        elif fate == weathers.HALF:
            peer.writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n" + answer_body(record.name)[:HALF_AT])
        else:
            self._plain(peer, 200, answer_body(record.name))
            record.answered = not peer.writer.transport.is_closing()
        self._settle(task, answered=fate in (weathers.GOOD, weathers.ERROR))

    def _fail(self, task: Task) -> None:
        self._plain(task.peer, 500, b"a call failed\n")
        self._settle(task)

    def _settle(self, task: Task, stopped: bool = False, answered: bool = True) -> None:
        """It is over here. Repeats that wait for it get their answer, or do the work themselves."""
        if task.over:
            return
        task.over = True
        job = task.job
        if task.child is not None and not task.child.done():
            task.child.cancel()
        done = task.record.effect >= 0
        self._forget_mark(task, done or task.record.repeat)
        self._tasks.pop(job, None)
        for entered in self._engine.leave(job):
            if (following := self._tasks.get(entered)) is not None:
                following.record.begun = self._now()
        task.record.ended = self._now()
        task.record.worked = round(job.done_work)
        self._writer.add(task.record)
        for waiting in task.waited_for:
            if waiting.over:
                continue
            if done:
                waiting.job.parts = [1]
            waiting.at.revive(waiting, done)
        task.waited_for.clear()
        if answered and not stopped:
            task.settle()

    def revive(self, waiting: Task, done: bool) -> None:
        """A repeat here whose first, maybe at another backend of the cell, is over."""
        if self._ended:
            return
        if not done:
            waiting.record.repeat = False
            use = self._script.use_cases[waiting.record.use]
            known, holder = self._memory.ask(
                waiting.record.use, waiting.record.mark, use.remembered, waiting.job, clock()
            )
            if known == "under way" and holder is not None:
                # Of several that waited the first one does it.
                waiting.record.repeat = True
                holder.owner.waited_for.append(waiting)
                return
        self._offer(waiting, 0)

    def _forget_mark(self, task: Task, done: bool) -> None:
        if self._script.use_cases[task.record.use].repeat == "referenced" and task.record.mark:
            self._memory.over(task.record.use, task.record.mark, task.job, done)

    def _gone(self, task: Task) -> None:
        """Its sender closed: what stops is the kind's to say."""
        if task.over:
            return
        task.record.gone = self._now()
        cancel = self.place.kind.cancel
        if cancel == "all" or cancel == "waiting" and task.job.waiting:
            self._turn()
            if not task.over:
                self._settle(task, stopped=True)
            self._turn()

    def _away(self, peer: Peer, record: BackendAttempt, status: int) -> None:
        record.away, record.ended = True, self._now()
        self._writer.add(record)
        self._plain(peer, status, b"not started\n", (b"not-started", b"1"))

    def _plain(self, peer: Peer, status: int, body: bytes, *more: tuple[bytes, bytes]) -> None:
        if peer.writer.transport.is_closing() or peer.parser.our_state is not h11.SEND_RESPONSE:
            return
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body)), *more]
        peer.send(h11.Response(status_code=status, headers=headers), body)

    def _now(self) -> int:
        return clock() - self._start.at


async def _no_more(task: asyncio.Task[None]) -> None:
    """Cancelled and over: a stream has one reader at a time, and one that is only told to go still reads."""
    task.cancel()
    await asyncio.wait((task,))


async def _ends(peer: Peer) -> None:
    """Until the other side ends; what it sends ahead is kept for its turn."""
    try:
        while data := await peer.reader.read(READ):
            peer.parser.receive_data(data)
    except (OSError, h11.RemoteProtocolError):
        pass


def _reset(peer: Peer) -> None:
    """Ends a connection by a reset, as a process that dies does; a plain close would end it in order."""
    taken = peer.writer.get_extra_info("socket")
    if taken is not None and not peer.writer.transport.is_closing():
        try:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    peer.abort()


def _figure(header: bytes, name: bytes) -> int | None:
    """One whole figure of a `name=value,name=value` header."""
    for part in header.split(b","):
        key, _, value = part.strip().partition(b"=")
        if key == name and value.isdigit() and len(value) < 13:
            return int(value)
    return None


def _limit(message: Message) -> int:
    """When its sender gives up (clock), 0 where it did not say."""
    given = message.headers.get(b"request-timeout", b"")
    unit = {b"m": 1000, b"u": 1}.get(given[-1:])
    if unit is None or not given[:-1].isdigit() or len(given) > 13:
        return 0
    return message.last + int(given[:-1]) * unit
