"""A simulated backend on a real socket: reads tickets, executes them on the engine's model, calls the next tier, and
injects faults."""

from __future__ import annotations

import asyncio
import socket
import struct
from random import Random

import h11

from pepperusher.rehearsal import active_faults as faults
from pepperusher.rehearsal.caller import OutgoingTicket, Client, Reply
from pepperusher.rehearsal.engine import FULL, RUNS, Engine, Job, Memory, parts_of
from pepperusher.rehearsal.fleet_plan import Place
from pepperusher.rehearsal.records import DONE, LEFT, BackendAttempt, BackendLifetimeRecord, ClientAttempt, Writer
from pepperusher.rehearsal.script import Script
from pepperusher.rehearsal.active_faults import ActiveFaults
from pepperusher.rehearsal.wire import READ, BrokenConnection, Message, Peer, Start, answer_body, clock, relative_time

BACKLOG = 512
# A repeat of a ticket that is already done costs this share of the work.
REPEAT_WORK_SHARE = 0.01
# A truncated response ends after this many bytes of its body.
TRUNCATED_BODY_BYTES = 3
GARBLED_RESPONSE = b"\x16\x03\x01\x02\x00garbled\xff\xfe not HTTP\r\n\r\n"


class Task:
    """One ticket that the backend `at` executes."""

    __slots__ = (
        "at",
        "peer",
        "record",
        "job",
        "calls",
        "info",
        "limit",
        "over",
        "call_task",
        "connection_release",
        "waiting_repeats",
    )

    def __init__(
        self, at: Backend, peer: Peer, record: BackendAttempt, job: Job, calls: int, info: int, limit: int
    ) -> None:
        self.at = at
        self.peer = peer
        self.record = record
        self.job = job
        self.calls = calls
        self.info = info  # work of the ticket over all tiers, as drawn by the load generator
        self.limit = limit  # when the sender times out (clock), 0 if it sent no timeout
        self.over = False
        self.call_task: asyncio.Task[None] | None = None
        self.connection_release: asyncio.Future[None] | None = None  # resolved when the connection may go on
        self.waiting_repeats: list[Task] = []  # repeats that wait for this ticket; emptied when it is over

    def release_connection(self) -> None:
        """Lets the connection continue with its next ticket."""
        if self.connection_release is not None and not self.connection_release.done():
            self.connection_release.set_result(None)


class Backend:
    """One lifetime of a backend at its place."""

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
        self._random = Random(f"{script.seed}:backend:{id}")
        warm_up_start = start.at + born if born >= 0 else (now if kind.started == "cold" else now - kind.warm_for)
        rules = script.rules
        self._engine = Engine(kind, warm_up_start, now, rules.tip_multiple, rules.tip_for)
        self._active_faults = ActiveFaults()
        self._reachable = asyncio.Event()
        self._reachable.set()
        self._peers: dict[Peer, Task | None] = {}  # an entry is removed when its connection ends
        self._tasks: dict[Job, Task] = {}  # an entry is removed when its ticket ends
        self._timer: asyncio.TimerHandle | None = None
        self._server: asyncio.Server | None = None
        self._listen_lock = asyncio.Lock()
        self._client: Client | None = None
        self._use_case_numbers = {use.name.encode(): number for number, use in enumerate(script.use_cases)}
        self._ended = False
        self._calls = 0
        if place.proxy is not None:
            self._client = Client(place.proxy.address, place.proxy.number)
        tier = script.tiers[place.tier]
        tier_work_share = tier.work
        for upper_tier in script.tiers[: place.tier]:
            tier_work_share /= upper_tier.calls
        self._tier_work_share = tier_work_share
        self._mean_calls = tier.calls if place.proxy is not None else 0.0

    # --- start and end ----------------------------------------------------------------------------

    async def listen(self) -> None:
        """Starts to accept connections; does nothing if it already listens or has ended."""
        async with self._listen_lock:
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
        """Ends the backend at once: resets its connections and stops listening, so that new ones are refused."""
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

    def change_id(self, id: str, at: int) -> None:
        """Records that discovery lists the backend under another id from now on; nothing else changes."""
        self._writer.add(BackendLifetimeRecord(self.place.number, self.id, self.born, at, self.fell))
        self.id, self.born = id, at

    @property
    def fell(self) -> int:
        """When the backend failed from load (us after the start), -1 if it has not."""
        return relative_time(self._engine.fell, self._start.at)

    async def apply_faults(self, now: ActiveFaults) -> None:
        """Applies the faults that are active from now on."""
        before, self._active_faults = self._active_faults, now
        self._advance_engine()
        self._engine.frozen = now.frozen
        self._engine.slower = now.slower
        self._advance_engine()
        if now.frozen or now.silent:
            self._reachable.clear()
        else:
            if before.silent and not now.silent:
                # A machine that was unreachable has lost its connections when it returns.
                for peer in list(self._peers):
                    _reset(peer)
            self._reachable.set()
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
                message = await self._receive_next(peer)
                if message is None:
                    break
                if not await self._handle_ticket(peer, message):
                    break
        except BrokenConnection as broken:
            if broken.begun and self._peers.get(peer) is None and not self._ended and not writer.transport.is_closing():
                writer.write(b"HTTP/1.1 400 Bad\r\ncontent-length: 0\r\nconnection: close\r\n\r\n")
        except asyncio.CancelledError:
            pass  # the process is shutting down
        finally:
            task = self._peers.pop(peer, None)
            if task is not None and not task.over:
                self._handle_disconnect(task)
            peer.close()

    async def _receive_next(self, peer: Peer) -> Message | None:
        try:
            async with asyncio.timeout(self.place.kind.idle / 1e6):
                return await peer.receive()
        except TimeoutError:
            return None

    async def _handle_ticket(self, peer: Peer, message: Message) -> bool:
        """Handles one ticket until the response is sent or the sender disconnects; returns whether the connection can
        be reused."""
        most = self._active_faults.idle_most
        if most and peer.used and message.first - peer.idle_since > most:
            _reset(peer)
            return False
        target = message.head.target.partition(b"?")[0]
        if target in (b"/health", b"/status/load"):
            self._respond(peer, 200, b"up\n")
            return peer.again()
        use = self._use_case_numbers.get(target.lstrip(b"/").partition(b"/")[0])
        name = message.headers.get(b"request-id", b"").decode("latin-1")
        if use is None or not name:
            self._respond(peer, 404, b"no such use case, or no Request-Id\n")
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
        # On a frozen or unreachable machine a ticket at most waits in a kernel buffer.
        if not self._reachable.is_set() and not await self._wait_until_reachable(peer):
            record.ended = record.gone = self._now()
            record.fate = "silent" if self._active_faults.silent else "frozen"
            self._writer.add(record)
            return False
        task = self._start_ticket(peer, message, record)
        if task is None:
            return peer.again()
        self._peers[peer] = task
        # Before the response the sender may only close the connection: any other data ends it too.
        disconnected = await self._wait_for_end(peer, task)
        self._peers[peer] = None
        if disconnected:
            return False
        return not peer.writer.transport.is_closing() and peer.again()

    async def _wait_until_reachable(self, peer: Peer) -> bool:
        reachable = asyncio.ensure_future(self._reachable.wait())
        end = asyncio.ensure_future(_read_until_closed(peer))
        try:
            await asyncio.wait((reachable, end), return_when=asyncio.FIRST_COMPLETED)
            return reachable.done() and not end.done() and not peer.writer.transport.is_closing()
        finally:
            reachable.cancel()
            await _cancel_and_wait(end)

    async def _wait_for_end(self, peer: Peer, task: Task) -> bool:
        """Waits until the ticket is over; returns whether the sender disconnected before."""
        task.connection_release = over = asyncio.get_running_loop().create_future()
        if task.over:
            return False
        end = asyncio.ensure_future(_read_until_closed(peer))
        await asyncio.wait((over, end), return_when=asyncio.FIRST_COMPLETED)
        if over.done():
            await _cancel_and_wait(end)
            return False
        self._handle_disconnect(task)
        return True

    # --- one ticket -------------------------------------------------------------------------------

    def _start_ticket(self, peer: Peer, message: Message, record: BackendAttempt) -> Task | None:
        """Starts the ticket on the engine; returns None if it is over at once, as when it is rejected."""
        use = self._script.use_cases[record.use]
        info = _integer_value(message.headers.get(b"request-info", b""), b"work")
        if info is None:
            info = int(use.work.mean)
        fate = faults.response_outcome(self._active_faults, use.name, self._random)
        record.fate = fate
        calls = int(self._mean_calls + self._random.random()) if self._mean_calls else 0
        work = round(info * self._tier_work_share)
        if not peer.used:
            work += self.place.kind.handshake
        if len(self._peers) > self.place.kind.connections * self.place.kind.cores:
            self._reject(peer, record, 503)
            return None
        job = Job([])
        known, holder = "new", None
        if use.repeat == "referenced" and record.mark:
            known, holder = self._memory.ask(record.use, record.mark, use.remembered, job, clock())
        if known == "done":
            calls, work, record.repeat = 0, round(work * REPEAT_WORK_SHARE), True
        job.parts = parts_of(work, calls)
        task = Task(self, peer, record, job, calls, info, _sender_timeout_at(message))
        job.owner = task
        if known == "under way" and holder is not None:
            # The repeat waits until the first ticket is over. If that one is stopped, the repeat does the work itself.
            record.repeat = True
            holder.owner.waiting_repeats.append(task)
            return task
        self._offer(task, work)
        return None if task.over else task

    def _offer(self, task: Task, work: int) -> None:
        self._advance_engine()
        self._tasks[task.job] = task
        admission = self._engine.offer(task.job, work)
        if admission == FULL:
            self._forget_mark(task, False)
            del self._tasks[task.job]
            task.over = True
            self._reject(task.peer, task.record, 503)
            task.release_connection()
            return
        if admission == RUNS:
            task.record.begun = self._now()
        self._advance_engine()

    def _advance_engine(self) -> None:
        """Advances the engine to the current time and handles the parts of tickets that ended."""
        if self._ended:
            return
        now = clock()
        for job in self._engine.advance(now):
            task = self._tasks.get(job)
            if task is not None:
                self._handle_part_end(task)
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
            self._timer = asyncio.get_running_loop().call_later(max(0, due - clock()) / 1e6, self._advance_engine)

    def _handle_part_end(self, task: Task) -> None:
        if not task.job.parts:
            task.record.effect = self._now() if not task.record.repeat else -1
            self._answer(task)
            return
        if self._client is None:
            self._engine.resume(task.job)
            return
        task.call_task = asyncio.get_running_loop().create_task(self._call(task))

    async def _call(self, task: Task) -> None:
        """Sends one call to the next tier. The ticket fails if the call does."""
        assert self._client is not None
        use = self._script.use_cases[task.record.use]
        self._calls += 1
        call_index = task.calls - len(task.job.parts)
        name = f"{self.id}:{self._calls}"
        mark = f"{task.record.mark or task.record.name}.{call_index}" if use.repeat == "referenced" else ""
        left = 0
        if task.limit and self._script.rules.passes_limit:
            left = max(1, task.limit - clock())
        call_request = OutgoingTicket(name, use, "", task.info, left, mark, b"", self._hint(task.info))
        intended = self._now()
        try:
            reply = await self._client.ask(call_request, self._call_timeout(task, use.outer))
        except asyncio.CancelledError:
            self._record_call(task, call_request, intended, Reply(LEFT))
            raise
        self._record_call(task, call_request, intended, reply)
        if not self._reachable.is_set():
            await self._reachable.wait()
        task.call_task = None
        if task.over or self._ended:
            return
        if reply.outcome != DONE:
            self._fail(task)
            return
        self._advance_engine()
        if not task.over:
            self._engine.resume(task.job)
            self._advance_engine()

    def _hint(self, info: int) -> int:
        """Expected work of the call (us), sent as a hint to the next tier; -1 where the script sends no hints."""
        tiers = self._script.tiers
        if not self._script.load.hints:
            return -1
        return (
            round(
                info
                * self._tier_work_share
                / tiers[self.place.tier].work
                * tiers[self.place.tier + 1].work
                / tiers[self.place.tier].calls
            )
            if tiers[self.place.tier].work
            else -1
        )

    def _call_timeout(self, task: Task, outer: int) -> int:
        """Timeout of a call (us): the time left of the ticket's own, or the client time limit of the use case."""
        return max(1000, task.limit - clock()) if task.limit else outer

    def _record_call(self, task: Task, call_request: OutgoingTicket, intended: int, reply: Reply) -> None:
        """Records a call in the same form as an attempt of a client."""
        assert self.place.proxy is not None
        self._writer.add(
            ClientAttempt(
                call_request.name,
                call_request.name,
                0,
                call_request.idempotency_key,
                task.record.use,
                -1,
                self.place.proxy.number,
                task.record.name,
                call_request.work,
                intended,
                relative_time(call_request.sent_at, self._start.at),
                relative_time(call_request.written_at, self._start.at),
                self._now(),
                reply.outcome,
                reply.status,
                reply.retry_after,
                call_request.on_new_connection,
                call_request.sent_timeout,
                relative_time(call_request.resent_at, self._start.at),
            )
        )

    def _answer(self, task: Task) -> None:
        """Responds to a ticket whose work is done, according to the fault drawn for it."""
        record, peer = task.record, task.peer
        fate = record.fate
        if fate == faults.ERROR:
            self._respond(peer, 500, b"an error\n")
        elif fate == faults.RESET:
            _reset(peer)
        elif fate == faults.GARBLE:
            peer.writer.write(GARBLED_RESPONSE)
        elif fate == faults.LOST:
            pass
        elif fate == faults.HALF:
            peer.writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: 64\r\n\r\n" + answer_body(record.name)[:TRUNCATED_BODY_BYTES]
            )
        else:
            self._respond(peer, 200, answer_body(record.name))
            record.answered = not peer.writer.transport.is_closing()
        self._settle(task, answered=fate in (faults.GOOD, faults.ERROR))

    def _fail(self, task: Task) -> None:
        self._respond(task.peer, 500, b"a call failed\n")
        self._settle(task)

    def _settle(self, task: Task, stopped: bool = False, answered: bool = True) -> None:
        """Ends a ticket. Repeats that wait for it are answered if its work is done, or do the work themselves."""
        if task.over:
            return
        task.over = True
        job = task.job
        if task.call_task is not None and not task.call_task.done():
            task.call_task.cancel()
        done = task.record.effect >= 0
        self._forget_mark(task, done or task.record.repeat)
        self._tasks.pop(job, None)
        for started_job in self._engine.leave(job):
            if (started_task := self._tasks.get(started_job)) is not None:
                started_task.record.begun = self._now()
        task.record.ended = self._now()
        task.record.worked = round(job.done_work)
        self._writer.add(task.record)
        for waiting in task.waiting_repeats:
            if waiting.over:
                continue
            if done:
                waiting.job.parts = [1]
            waiting.at.resume_repeat(waiting, done)
        task.waiting_repeats.clear()
        if answered and not stopped:
            task.release_connection()

    def resume_repeat(self, waiting: Task, done: bool) -> None:
        """Continues a repeat here after the first ticket, maybe at another backend of the cell, is over."""
        if self._ended:
            return
        if not done:
            waiting.record.repeat = False
            use = self._script.use_cases[waiting.record.use]
            known, holder = self._memory.ask(
                waiting.record.use, waiting.record.mark, use.remembered, waiting.job, clock()
            )
            if known == "under way" and holder is not None:
                # Another waiting repeat has already taken over the work; this one waits for it.
                waiting.record.repeat = True
                holder.owner.waiting_repeats.append(waiting)
                return
        self._offer(waiting, 0)

    def _forget_mark(self, task: Task, done: bool) -> None:
        if self._script.use_cases[task.record.use].repeat == "referenced" and task.record.mark:
            self._memory.over(task.record.use, task.record.mark, task.job, done)

    def _handle_disconnect(self, task: Task) -> None:
        """Handles a disconnect of the sender: the backend kind configures which work is cancelled."""
        if task.over:
            return
        task.record.gone = self._now()
        cancel = self.place.kind.cancel
        if cancel == "all" or cancel == "waiting" and task.job.waiting:
            self._advance_engine()
            if not task.over:
                self._settle(task, stopped=True)
            self._advance_engine()

    def _reject(self, peer: Peer, record: BackendAttempt, status: int) -> None:
        record.away, record.ended = True, self._now()
        self._writer.add(record)
        self._respond(peer, status, b"not started\n", (b"not-started", b"1"))

    def _respond(self, peer: Peer, status: int, body: bytes, *more: tuple[bytes, bytes]) -> None:
        if peer.writer.transport.is_closing() or peer.parser.our_state is not h11.SEND_RESPONSE:
            return
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body)), *more]
        peer.send(h11.Response(status_code=status, headers=headers), body)

    def _now(self) -> int:
        return clock() - self._start.at


async def _cancel_and_wait(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits for its end: a stream allows one reader at a time, and a cancelled task keeps reading
    until it has ended."""
    task.cancel()
    await asyncio.wait((task,))


async def _read_until_closed(peer: Peer) -> None:
    """Reads until the other side closes; data that it sends before is passed to the parser."""
    try:
        while data := await peer.reader.read(READ):
            peer.parser.receive_data(data)
    except (OSError, h11.RemoteProtocolError):
        pass


def _reset(peer: Peer) -> None:
    """Ends a connection by a TCP reset, as a crashed process does; a plain close would send a FIN."""
    tcp_socket = peer.writer.get_extra_info("socket")
    if tcp_socket is not None and not peer.writer.transport.is_closing():
        try:
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    peer.abort()


def _integer_value(header: bytes, name: bytes) -> int | None:
    """The non-negative integer value of `name` in a `name=value,name=value` header; None if there is none."""
    for part in header.split(b","):
        key, _, value = part.strip().partition(b"=")
        if key == name and value.isdigit() and len(value) < 13:
            return int(value)
    return None


def _sender_timeout_at(message: Message) -> int:
    """When the sender times out (clock), 0 if the ticket has no valid Request-Timeout header."""
    timeout_header = message.headers.get(b"request-timeout", b"")
    unit = {b"m": 1000, b"u": 1}.get(timeout_header[-1:])
    if unit is None or not timeout_header[:-1].isdigit() or len(timeout_header) > 13:
        return 0
    return message.last + int(timeout_header[:-1]) * unit
