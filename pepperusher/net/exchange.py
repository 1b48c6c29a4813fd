"""One attempt on one connection to a backend: what is sent, how it ended, and the answer, held or passed
on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import h11

from pepperusher.net.buffers import MAX_HELD_BODY_BYTES, Body, Pool
from pepperusher.net.body_streaming import ResponseForwarder
from pepperusher.net.connection import StreamConnection
from pepperusher.net.message import (
    INTERIM,
    Answer,
    BadMessage,
    Request,
    check_framing,
    encode_request,
    length_of,
    read_data,
    read_head,
)

# Once it has begun, an answer takes the network's time and not the work's: silent for so many times what a
# new connection may
# take, or this if that is more, it is broken, and sooner where its client's time ends. Some never end.
REST = 2
QUIET = 0.5
# An answer that is not whole so long after its head is passed on as it comes: held back further it might miss
# its client.
HOLD = 1.0
# Once its answer is passed on, or while its body flows, a backend that neither gives nor takes for so long is
# gone.
STALLED = 5.0
# The answers that tell of work done.
DONE = frozenset((200, 201, 202, 203, 204, 206, 304))
# Answers 4xx that speak of the moment and not of the request.
PASSING = (408, 425, 429)
# The outcomes whose answer is the ticket's.
PASSED_ON = ("done", "turned away")


class Attempt:
    """One sending of a ticket to one backend. `how` is set once it is given up from outside, `written` once the kernel has its
    last byte: before that it never ran, and may always be given up."""

    def __init__(self) -> None:
        self.how: str | None = None
        self.written = False
        self._stop: Callable[[], object] | None = None

    def give_up(self, how: str) -> None:
        if self.how is None:
            self.how = how
            if self._stop is not None:
                self._stop()

    def end(self) -> None:
        """Its connection may be another's from now on."""
        self._stop = None

    def stopped_by(self, stop: Callable[[], object]) -> None:
        self._stop = stop
        if self.how is not None:
            stop()


class Placed:
    """What the decisions are told of an attempt under way: set aside while its body comes, and back in
    its place."""

    __slots__ = (
        "may_still_send",
        "left",
        "pause_attempt",
        "resume_attempt",
        "remaining",
        "list_read",
        "stood",
        "expired",
    )

    def __init__(
        self,
        may_still_send: Callable[[], bool],
        left: Callable[[], bool],
        pause_attempt: Callable[[], None],
        resume_attempt: Callable[[], None],
        remaining: Callable[[], int],
        list_read: Callable[[], Awaitable[None]],
        stood: Callable[[], bool],
        expired: Callable[[], bool],
    ) -> None:
        self.may_still_send = may_still_send
        self.left = left  # whether its client has
        self.pause_attempt = pause_attempt
        self.resume_attempt = resume_attempt
        self.remaining = remaining  # how long its client waits yet, in microseconds
        self.stood = stood  # whether the process stood still, and the list was not read since
        self.expired = expired  # whether the list has: nothing may be written by it
        self.list_read = list_read  # returns once the list is as discovery has written it, also after a process pause


class Exchange:
    """`patience` starts with it, or with the body's last byte where that is still to come."""

    def __init__(
        self,
        line: StreamConnection,
        parser: h11.Connection,
        pool: Pool,
        out: Attempt,
        patience: int,
        connect_timeout: float,
        placed: Placed,
    ) -> None:
        self._placed = placed
        self._line = line
        self._parser = parser
        self._body = Body(pool)
        self._out = out
        self._patience = patience
        self._quiet = max(REST * connect_timeout, QUIET)
        self._overdue: asyncio.Handle | None = None
        self._silent: asyncio.Handle | None = None
        self.heard = False
        self._head: h11.Request | h11.Response | None = None  # where it came before the body was written
        self._ahead = 0

    async def run(self, request: Request, onward: ResponseForwarder | None) -> tuple[str, Answer | None]:
        """How it ended, and the answer if a whole one came and was not passed on yet."""
        out = self._out
        out.stopped_by(self._line.abort)
        try:
            if request.rest is None:
                self._due()
            how = await self._send(request)
            if how is not None:
                return how, None
            how, answer = await self._receive(onward)
            # Whatever it answered before its last byte was written, it has not run it.
            return (
                (how, answer) if self._out.written or how in (*PASSED_ON, "full", "called off") else ("unreached", None)
            )
        except h11.RemoteProtocolError:
            return out.how or "unreached", None  # what it said before it had the whole body is no HTTP
        except h11.LocalProtocolError:
            return "moot", None  # it can't be framed, so nothing was written: no fault of the backend's
        except BadMessage:
            return out.how or ("reset" if self._out.written else "unreached"), None
        except TimeoutError:
            return out.how or ("reset" if self._out.written else "unreached"), None
        finally:
            for timer in (self._overdue, self._silent):
                if timer is not None:
                    timer.cancel()
            out.end()
            self._body.release()

    @property
    def clean(self) -> bool:
        """Whether the connection may serve the next. What came after the answer would be taken for the answer
        to that."""
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._line.ended
            and self._out.how is None
            and not self._line.unread_bytes
            and not self._parser.trailing_data[0]
        )

    # --- the request ------------------------------------------------------------------------------

    async def _send(self, request: Request) -> str | None:
        """None once it is with the kernel, or the backend has spoken before that; else how it ended."""
        line, rest = self._line, request.rest
        framed = encode_request(self._parser, request)
        if self._placed.expired():
            return "moot"  # chosen before its term ended
        if self._placed.stood():
            return "unreached"
        sent = line.send(framed) or await line.flush()
        if not sent:
            return "moot" if self._out.how == "called off" else "unreached"
        if rest is not None:
            self._placed.pause_attempt()
            while True:
                try:
                    data = await rest.read()
                except BadMessage:
                    return "moot"  # no fault of the backend's
                if await self._answers():
                    self._due()  # it has its patience still, and no more of the body
                    return None
                event = h11.Data(data=data) if data else h11.EndOfMessage()
                if not line.send(self._parser.send(event) or b""):
                    async with asyncio.timeout(STALLED):
                        sent = await line.flush()
                    if not sent:
                        return "moot" if self._out.how == "called off" else "unreached"
                if not data:
                    break
            self._placed.resume_attempt()
            self._due()
        self._out.written = True
        return None

    async def _answers(self) -> bool:
        """Whether the backend has begun its answer before it has the whole body. An answer 1xx ahead is none: taken
        for one, each side would wait for the other."""
        line, parser = self._line, self._parser
        while line.unread_bytes:
            parser.receive_data(await line.read())
        event = parser.next_event()
        while isinstance(event, h11.InformationalResponse):
            self._ahead += 1
            if self._ahead > INTERIM:
                raise BadMessage(502, "interim answers without end")
            event = parser.next_event()
        if isinstance(event, h11.Response):
            check_framing(event)
            self._head = event
        return event is not h11.NEED_DATA or bool(parser.trailing_data[0]) or line.ended

    # --- the answer -------------------------------------------------------------------------------

    async def _receive(self, onward: ResponseForwarder | None) -> tuple[str, Answer | None]:
        head = self._head or await read_head(self._parser, self._line, self._listen)
        if head is None:
            return self._out.how or ("reset" if self._out.written else "unreached"), None
        assert isinstance(head, h11.Response)
        self.heard = True
        # The work is done: from here on it is silence that ends it, or its client's time, and not its patience.
        if self._overdue is not None:
            self._overdue.cancel()
        length = length_of(head)
        how = _outcome(head)
        whole = False
        if length is None or length <= MAX_HELD_BODY_BYTES or how not in PASSED_ON:
            try:
                async with asyncio.timeout(HOLD):
                    whole = await self._hold()
            except TimeoutError:
                pass
        answer = Answer(head.status_code, list(head.headers), bytes(self._body.contents()))
        if whole:
            return how, answer
        if self._out.how is not None:
            # Given up as its head came: what is left of it is cut off, and begun its client would have a part of it
            # in the place of its final answer.
            return self._out.how, None
        if how not in PASSED_ON or onward is None:
            return how, None
        return await self._pass_on(how, answer, length, onward)

    async def _hold(self) -> bool:
        """Whether it is whole, once as much is held as is to be."""
        while not self._body.full:
            self._listen()
            data = await read_data(self._parser, self._line)
            if not data:
                return True
            self._body.add(data)
        return False

    async def _pass_on(
        self, how: str, answer: Answer, length: int | None, onward: ResponseForwarder
    ) -> tuple[str, Answer | None]:
        for timer in (self._overdue, self._silent):
            if timer is not None:
                timer.cancel()
        taken = await onward.begin(answer, length)
        self._body.release()
        while taken:
            async with asyncio.timeout(STALLED):
                data = await read_data(self._parser, self._line)
            if not data:
                taken = await onward.end()
                return how if taken else "called off", None
            taken = await onward.write(data)
        return "called off", None

    # --- time -------------------------------------------------------------------------------------

    def _due(self) -> None:
        self._overdue = asyncio.get_running_loop().call_later(self._patience / 1e6, self._late, "timed out", 2)

    def _listen(self) -> None:
        """There is a part of an answer, which an answer 1xx ahead is not: the next is to follow, while its client still
        waits. Else one that stopped short held a client of less time than such a silence until it left unanswered."""
        if self._silent is not None:
            self._silent.cancel()
        within = min(self._quiet, max(0, self._placed.remaining()) / 1e6)
        self._silent = asyncio.get_running_loop().call_later(within, self._late, "reset", 2)

    def _late(self, how: str, looks: int) -> None:
        """Under load timers run late, and an answer may have been read already: it has its turn first, and ends this. So has
        one that comes with the last look, whose reader takes it with the next turn; once, since a reader that waits to
        write takes none."""
        if looks > 0 or looks == 0 and self._line.unread_bytes:
            again = asyncio.get_running_loop().call_soon(self._late, how, looks - 1)
            # Kept, so that what calls off the timer calls off this: an answer whose head came in the same turn, and whose
            # rest came later, was cut off.
            if how == "timed out":
                self._overdue = again
            else:
                self._silent = again
        else:
            self._out.give_up(how)


def _outcome(head: h11.Response) -> str:
    if head.status_code in DONE:
        return "done"
    if head.status_code in (503, 504) and (b"not-started", b"1") in list(head.headers):
        return "full"
    if 400 <= head.status_code < 500 and head.status_code not in PASSING:
        # The request is at fault, and as much so anywhere else.
        return "turned away"
    return "error"
