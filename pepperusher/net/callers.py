"""The callers' side: listens, reads tickets, writes answers and notices a client that left."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from itertools import chain, count

import h11

from pepperusher.net import clock
from pepperusher.net.buffers import MAX_HELD_BODY_BYTES, Body, Pool
from pepperusher.net.budget import HALF, SHORT, Budget
from pepperusher.net.connection import StreamConnection, wrap_socket
from pepperusher.net.listening import NOBODY, listener, steer
from pepperusher.net.log import Log
from pepperusher.net.disconnect_watcher import DisconnectWatcher
from pepperusher.net.body_streaming import RequestBodyReader, ResponseForwarder
from pepperusher.net.message import (
    MAX_HEAD_BYTES,
    MAX_BODY_BYTES,
    Answer,
    BadMessage,
    Request,
    encode_answer,
    length_of,
    text_answer,
    read_head,
    buffer_body,
)

# Connections let in one after another before others have their turn.
BATCH = 16
# So long after its connect a caller has begun, or the connection ends.
BEGUN = 2_000_000
# So long after its first byte a message is whole, and a second more for each so many bytes that came. Not from the last
# byte: a caller that drips would keep its connection for good. Honest ones take 2 s for a head and send 64 kB a second.
WHOLE = 2_400_000
SLOWEST = 32_000
# Where descriptors run out, or the proxy ends, a new connection that has said nothing for so long is closed: whoever
# opens one to send does so at once.
SHY = 250_000
# And where a ticket in hand would be refused, whoever is as new as that: what it sends may be on its way.
JUST_NOW = 50_000
# Where descriptors run out, a message that has begun and stopped for so long is answered as one that took too long.
STOPPED = 500_000
# Callers get no more than this part of all descriptors: a ticket in hand takes one of its caller's and one to a backend,
# and a crowd that says nothing left none for the second, so that those who asked were bounced.
PART = 2 / 3
# After an answer to bad input so much more is read, so that the answer is not lost in a reset.
LINGER = 1.0
LINGER_MOST = 4 * MAX_HELD_BODY_BYTES
# An honest one whose body was not read to its end has longer to notice.
NOTICED = 3.0
# And one that is told to close with its answer, so that what it still sends does not turn our close into a reset.
CLOSING = 0.25
# What is no ticket costs as much as one to read. Whoever sends it is heard again after so long.
PAUSE = 0.1

# What is read ahead of its turn, lest an end stand behind it, is this part of what is held of bodies.
AHEAD_PART = 2

# Of two processes at one address, which came after the other.
SECOND = 1
# Over all that the budget holds, where nothing else would do.
FOR_ONCE = 2.0

LATE = text_answer(408, "the request did not end in time")


def _accepted(listener: socket.socket) -> socket.socket | None:
    """The next from the kernel's queue, None where it is empty. At once: a wait that is called off could lose
    one."""
    try:
        taken, _ = listener.accept()
    except (BlockingIOError, InterruptedError):
        return None
    taken.setblocking(False)
    return taken


async def _readable(listener: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(listener, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_reader(listener)


class Call:
    """One request from a caller. `on_leave` is told if its client leaves before the answer.

    `ticket` once it is one: neither `bad` nor about the proxy itself. `away` looks whether its client has left, in the kernel
    too: docs/crossings.md says what counts as leaving.
    """

    __slots__ = ("request", "received_at", "onward", "on_leave", "left", "bad", "ticket", "_away")

    def __init__(
        self,
        request: Request,
        received_at: int,
        onward: ResponseForwarder | None = None,
        away: Callable[[], bool] = bool,
    ) -> None:
        self._away = away
        self.request = request
        self.received_at = received_at
        self.onward = onward
        self.on_leave: Callable[[], None] | None = None
        self.left = False
        self.bad = False
        self.ticket = False

    @property
    def begun(self) -> bool:
        """Whether its answer is passed on already."""
        return self.onward is not None and self.onward.begun

    def leave(self) -> None:
        if not self.left:
            self.left = True
            if self.on_leave is not None:
                self.on_leave()

    def check_disconnected(self) -> bool:
        """Whether its client has left by now: asked before a byte goes to a backend, since the loop tells of an end behind
        all that came before it."""
        if not self.left and self._away():
            self.leave()
        return self.left

    def release(self) -> None:
        """It has its answer. What it was handed points back to its connection: the two would stay until a collection."""
        self._away = bool


class Caller:
    """One connection from a caller."""

    __slots__ = ("line", "parser", "waiting_since", "answered", "useful", "before", "spent")

    def __init__(self, line: StreamConnection) -> None:
        self.line = line
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        # For the caller: to ask or to ask again, to end what it began, to take an answer; None while we work
        # for it.
        self.waiting_since: int | None = clock.now()
        self.answered = False
        self.useful = False  # it has sent a ticket, and may send more
        self.before = 0  # what it had sent when this message began
        self.spent = 0  # how long this message was waited for before it was sent on

    def waits(self, on: bool) -> None:
        """Whether it is the caller's turn, within a message that is under way."""
        now = clock.now()
        if on:
            self.waiting_since = now - self.spent
        elif self.waiting_since is not None:
            self.spent, self.waiting_since = now - self.waiting_since, None

    def takes(self, on: bool) -> None:
        """Whether it has to take a part of its answer."""
        self.waiting_since = clock.now() if on else None

    @property
    def whole_within(self) -> int:
        return WHOLE + 1_000_000 * (self.line.bytes_received - self.before) // SLOWEST


class Callers:
    def __init__(
        self, handle: Callable[[Call], Awaitable[Answer]], budget: Budget, pool: Pool, log: Log, longest_wait: int
    ) -> None:
        self._handle = handle
        # As long as any client waits for an answer: one that takes longer to take it, or to ask again, has
        # left.
        self._longest_wait = longest_wait
        self._budget = budget
        self._pool = pool
        self._log = log
        self._serving: set[asyncio.Task[None]] = set()  # emptied as connections end
        self._callers: dict[Caller, None] = {}  # likewise; in the order in which they came
        # Standing between tickets, the longest first; emptied by a ticket's first byte and as connections
        # end.
        self._idle: dict[Caller, None] = {}
        # Told to close with their answer, and not closed yet; emptied as connections end, and where room is needed.
        self._ending: dict[Caller, None] = {}
        self._closing = False
        self._listener: socket.socket | None = None
        self._disconnect_watcher = DisconnectWatcher(pool.most // AHEAD_PART)
        self._accepting: asyncio.Task[None]
        budget.may_close_idle(self._close_oldest)

    def reconfigure(self, longest_wait: int) -> None:
        self._longest_wait = longest_wait

    @property
    def open(self) -> int:
        return len(self._serving)

    def listen(self, address: tuple[str, int], shared: bool = False) -> int:
        """The port it listens at."""
        self._listener = listener(address, shared)
        self._accepting = asyncio.get_running_loop().create_task(self._accept(self._listener))
        port: int = self._listener.getsockname()[1]
        return port

    def give_way(self) -> None:
        """New connections are another process's from now on; what the kernel has queued here is ours
        still."""
        assert self._listener is not None
        steer(self._listener, SECOND)
        self.shut()

    def shut(self) -> bool:
        """No more are let in from now on, but for what the kernel has queued; whether there was any. A connection that came
        while the last of the others ended would be reset, and a ticket may be in it."""
        if self._listener is None:
            return False
        # It stands between two accepts, and none is lost by its end.
        self._accepting.cancel()
        queued = False
        while (taken := _accepted(self._listener)) is not None:
            # Beyond its part, but once: left in the queue it would be reset.
            self._budget.take(FOR_ONCE)
            self._let_in(taken)
            queued = True
        self._listener.close()
        self._listener = None
        return queued

    def steer(self, to: int | None) -> bool:
        """All new connections to the first or the second process of this address, or as the kernel has it; whether it could be
        done."""
        return self._listener is not None and steer(self._listener, NOBODY if to is None else to)

    async def _accept(self, listener: socket.socket) -> None:
        """Stops for another process alone: what the kernel has accepted may hold a ticket, which is then
        ours."""
        for number in count(1):
            if number % BATCH == 0:
                # What is accepted at once is not waited for; hundreds that come together leave others their
                # turn.
                await asyncio.sleep(0)
            while not self._may_let_in():
                await self._budget.freed()
            try:
                while (taken := _accepted(listener)) is None:
                    await _readable(listener)
            except OSError as error:
                self._budget.give()
                self._log.say(f"accept failed: {error}")
                await asyncio.sleep(0.01)
                continue
            self._let_in(taken)

    def _let_in(self, taken: socket.socket) -> None:
        # Not waited for: in a crowd each turn of the loop is long, and would let in one.
        serving = asyncio.get_running_loop().create_task(self._serve(taken))
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    def _may_let_in(self) -> bool:
        """Takes a descriptor for one more; where callers have their part, one of theirs makes room."""
        if self.open >= self._budget.most * PART and not self._close_oldest():
            return False
        return self._budget.take()

    # --- one connection ---------------------------------------------------------------------------

    async def _serve(self, taken: socket.socket) -> None:
        try:
            line = await wrap_socket(taken)
        except Exception as error:  # this connection's trouble, and nobody else's
            taken.close()
            self._budget.give()
            self._log.say(f"a connection was not taken: {error}")
            return
        line.when_let_go(self._budget.give)
        line.disconnect_watcher = self._disconnect_watcher
        caller = Caller(line)
        self._callers[caller] = None
        body = Body(self._pool)
        try:
            while await self._serve_one(caller, body):
                body.release()
            body.release()
            await line.discard_until_closed(LINGER)
        except Exception as error:  # this connection's trouble, and nobody else's
            self._log.say(f"connection ended: {type(error).__name__}: {error}")
        finally:
            body.release()
            self._rest(caller, False)
            self._callers.pop(caller, None)
            self._ending.pop(caller, None)
            caller.line.close()

    async def _serve_one(self, caller: Caller, body: Body) -> bool:
        """One ticket; tells whether the connection goes on.

        Where descriptors run short it ends with the answer: unlike a close between tickets, that crosses nothing.
        """
        line, parser = caller.line, caller.parser
        ahead = bool(parser.trailing_data[0])
        self._rest(caller, not ahead)
        if ahead:
            # Against hundreds sent at once, which would be read and answered while all others wait.
            await asyncio.sleep(0)
        caller.before = line.bytes_received - line.unread_bytes - len(parser.trailing_data[0])
        line.on_data = lambda: self._rest(caller, False)
        line.may_read_ahead = True
        whole = False
        try:
            head = await read_head(parser, line)
            if head is not None:
                whole = await buffer_body(parser, line, body)
                if whole:  # else what is behind is of its own body, which is passed on as it comes
                    await line.looked_ahead()
        except BadMessage as bad:
            caller.waiting_since = None  # it has a limit of its own
            await self._turn_away(caller, bad)
            return False
        finally:
            line.on_data = None
            self._rest(caller, False)
        if head is None or line.closing:
            return False
        assert isinstance(head, h11.Request)
        caller.waits(False)
        request = Request(head.method, head.target, list(head.headers), body.contents())
        came = line.came_at()
        if not whole:
            request = request._replace(
                rest=RequestBodyReader(parser, line, body.length, caller.waits), length=length_of(head)
            )
            came = clock.now()
        onward = ResponseForwarder(parser, line, caller.takes, lambda: self._closes(caller, call))
        call = Call(request, came, onward, line.left)
        if line.ended:
            call.leave()
        line.on_end = call.leave
        answer = await self._handle(call)
        line.on_end = None
        onward.over()
        call.release()
        caller.waiting_since, caller.spent = None, 0
        if onward.begun and not onward.ended:
            line.reset()  # broken off: it must not look like an end
        # Whoever ended its sending alone, and reads on, is told; nobody else is there to be.
        if line.closing or onward.begun and not onward.ended:
            return False
        if not onward.begun:
            if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                return False  # its time was up, and it has been told
            line.send(encode_answer(parser, answer, self._closes(caller, call)))
        caller.answered = True
        caller.useful = caller.useful or call.ticket
        caller.waiting_since = clock.now()
        if not await line.flush():
            return False
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            caller.waiting_since = None
            if parser.their_state is h11.SEND_BODY:
                await self._linger(line, *((NOTICED, MAX_BODY_BYTES) if call.ticket else (LINGER, LINGER_MOST)))
            elif self._closing and call.ticket and not line.ended:
                # Only where clients are sent away: where descriptors run short, one held on to is worth more to others.
                self._ending[caller] = None
                await self._linger(line, CLOSING, LINGER_MOST)
            return False
        if call.bad:
            await asyncio.sleep(PAUSE)
        caller.waiting_since = clock.now()
        parser.start_next_cycle()
        return True

    def _closes(self, caller: Caller, call: Call) -> bool:
        """Whether the connection ends with this answer."""
        line, parser = caller.line, caller.parser
        # Whoever sends what is no ticket and more behind it is not read to the end.
        close = (
            call.left
            or parser.their_state is not h11.DONE
            or call.bad
            and bool(parser.trailing_data[0] or not line.quiet())
        )
        if self._closing or self._budget.above(SHORT):
            # What a client has sent ahead is taken as well: it is answered before the connection ends.
            close = close or line.quiet() and not parser.trailing_data[0]
        # Against hundreds that ask whether we are ready, or for what there is not, and keep a connection each.
        return close or not call.ticket and not caller.useful and self._budget.above(HALF)

    async def _turn_away(self, caller: Caller, bad: BadMessage) -> None:
        line = caller.line
        if caller.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        line.send(encode_answer(caller.parser, text_answer(bad.status, str(bad)), True))
        await self._linger(line, LINGER, LINGER_MOST)

    @staticmethod
    async def _linger(line: StreamConnection, within: float, left: int) -> None:
        """Reads on for a while, so that the answer is not lost in a reset."""
        try:
            async with asyncio.timeout(within):
                if await line.flush():
                    line.send_end()
                while left > 0 and (read := await line.read()):
                    left -= len(read)
        except (TimeoutError, OSError):
            pass

    # --- connections that stand idle --------------------------------------------------------------

    def _rest(self, caller: Caller, idle: bool) -> None:
        if idle == (caller in self._idle):
            return
        if idle:
            self._idle[caller] = None
            return
        del self._idle[caller]
        # A message's first byte.
        caller.waiting_since, caller.spent = clock.now(), 0

    def _close_oldest(self, needed: bool = False) -> bool:
        """Where descriptors run out: first whose answer said so already. What is in the kernel, and so may be a whole ticket, is left alone.

        `needed` by a ticket in hand, which would be refused: then whoever is new, or asked of late, is not spared either.
        """
        while self._ending:
            caller = next(iter(self._ending))
            del self._ending[caller]
            line = caller.line
            if not line.transport.is_closing():
                line.abort()
                return True
        now = clock.now()

        def stood(caller: Caller, least: int) -> bool:
            return caller.waiting_since is not None and now - caller.waiting_since >= least

        # One that has had no answer may carry a ticket that crossed a close and is sent once more: it is
        # given time.
        shy = [caller for caller in self._idle if not caller.answered]
        if needed:
            return any(
                self._closed(caller)
                for caller in chain(
                    (one for one in shy if stood(one, JUST_NOW)), (one for one in self._idle if one.answered)
                )
            )
        # While most are silent, their time is waited for: whoever asked of late asks again, and opens one for
        # it.
        spared = BEGUN if 2 * len(shy) > len(self._idle) else 0
        return any(
            self._closed(caller)
            for caller in chain(
                (one for one in shy if stood(one, SHY)),
                (one for one in self._idle if one.answered and not one.useful),
                (one for one in self._idle if one.useful and stood(one, spared)),
            )
        ) or self._close_half(now)

    def _close_half(self, now: int) -> bool:
        """The oldest that began a message and says no more. An honest one goes on; of a crowd that stops half way each kept
        its place for as long as a message may take, and all others stood in the kernel's queue."""
        for caller in self._callers:
            line = caller.line
            if (
                caller.waiting_since is not None
                and caller not in self._idle
                and now - line.heard_at >= STOPPED
                and line.on_end is None
                and caller.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE)
                and line.quiet()
            ):
                if line.send(encode_answer(caller.parser, LATE, True)):
                    line.close()
                else:
                    line.abort()  # its descriptor is wanted now, and it takes nothing
                return True
        return False

    def _closed(self, caller: Caller) -> bool:
        """Closed, unless the kernel holds something of its."""
        if not caller.line.quiet():
            return False
        self._rest(caller, False)
        caller.line.abort()
        return True

    def sweep(self, now: int) -> None:
        """Ends what its caller has no more use for: asked once and kept, begun and not ended, opened and
        silent."""
        idle_most = BEGUN if self._budget.above(HALF) else max(BEGUN, self._longest_wait)
        for caller in list(self._callers):
            since = caller.waiting_since
            if since is None or now - since < BEGUN:
                continue
            idle = caller in self._idle
            taking = caller.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE)
            if taking:
                most = self._longest_wait
            elif idle:
                most = idle_most if caller.answered else BEGUN
            else:
                most = caller.whole_within
            if now - since < most:
                continue
            if idle or taking:
                self._closed(caller)
            elif caller.line.quiet():
                # It may be sending still, and would lose the answer in a reset; for room it goes first.
                caller.waiting_since = None
                self._ending[caller] = None
                caller.line.send_last(encode_answer(caller.parser, LATE, True), LINGER_MOST)

    # --- the end ----------------------------------------------------------------------------------

    def close_after_answers(self, on: bool = True) -> None:
        self._closing = on

    def close_idle(self, least: int = 0) -> None:
        """Those that have stood idle for so long; one that is new has time for its first words. One that has sent something
        ends with the answer to it."""
        now = clock.now()
        for caller in list(self._idle):
            if caller.waiting_since is None or now - caller.waiting_since >= (
                least if caller.answered else max(least, SHY)
            ):
                self._closed(caller)

    def over(self) -> None:
        self._disconnect_watcher.close()
