"""One attempt on one connection to a backend: sends the request, determines the outcome, and buffers or streams the
answer.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from pepperusher.net import clock
from pepperusher.net.attempt import Attempt, AttemptContext
from pepperusher.net.buffers import MAX_HELD_BODY_BYTES, Body, Pool
from pepperusher.net.body_streaming import ResponseForwarder
from pepperusher.net.connection import StreamConnection
from pepperusher.net.message import (
    MAX_INTERIM_ANSWERS,
    Answer,
    BadMessage,
    Request,
    StreamedBody,
    check_framing,
    encode_request,
    content_length_of,
    read_data,
    read_head,
)

# An answer that has begun no longer waits for the backend's work but for the network. After a silence of SILENCE_FACTOR
# connect timeouts, or of the minimum if that is longer, a short one counts as broken if another attempt may follow; where
# none may, its backend may be slow, and it is waited for. The client's deadline may end it sooner. Some answers never
# end.
SILENCE_FACTOR = 2
MIN_SILENCE_TIMEOUT_S = 0.5
# An answer that is still incomplete this many seconds after its head is streamed to the client: held back longer, it
# might miss the client's deadline.
HOLD_TIMEOUT_S = 1.0
# One of unknown length is streamed this many seconds before its client's deadline at the latest.
BEGIN_MARGIN_S = 0.1
# While an answer or a request body is streamed, a backend that neither sends nor reads for this many seconds counts as
# gone.
STALL_TIMEOUT_S = 5.0
# Statuses of answers that report completed work.
DONE_STATUSES = frozenset((200, 201, 202, 203, 204, 206, 304))
# 4xx statuses that concern the moment (load, timing) rather than the request.
TRANSIENT_STATUSES = (408, 425, 429)
# Outcomes whose answer is the answer to the ticket.
FORWARDED_OUTCOMES = ("done", "turned away")

# Why a timer gave an attempt up, by its outcome.
TIMER_REASONS = {"timed out": "no answer in time", "reset": "the answer began and fell silent"}


class ReceivedAnswer(NamedTuple):
    """The outcome of an attempt whose answer was received to its end, or as far as it is held back. `may_stream` is set
    if the rest follows and may be streamed to the client.
    """

    outcome: str
    answer: Answer | None = None
    may_stream: bool = False


class Exchange:
    """Runs one attempt on one connection. `timeout_us` runs from its start, or from the last byte of the request body
    where that is still to come.
    """

    def __init__(
        self,
        connection: StreamConnection,
        parser: h11.Connection,
        pool: Pool,
        attempt: Attempt,
        timeout_us: int,
        connect_timeout: float,
        context: AttemptContext,
    ) -> None:
        self._context = context
        self._connection = connection
        self._parser = parser
        self._body = Body(pool)
        self._attempt = attempt
        self._timeout_us = timeout_us
        self._silence_timeout_s = max(SILENCE_FACTOR * connect_timeout, MIN_SILENCE_TIMEOUT_S)
        self._timeout_timer: asyncio.Handle | None = None
        self._silence_timer: asyncio.Handle | None = None
        self.head_received = False
        # set where the answer's head arrives before the body is written
        self._head: h11.Request | h11.Response | None = None
        self._interim_answers = 0

    async def run(self, request: Request, forwarder: ResponseForwarder | None) -> tuple[str, Answer | None]:
        """Returns the outcome, and the answer if a complete one arrived and was not streamed to the client."""
        attempt = self._attempt
        attempt.on_give_up(self._connection.abort)
        try:
            if request.rest is None:
                self._start_timeout()
            outcome = await self._send(request)
            if outcome is not None:
                return outcome, None
            received = await self._receive()
            outcome, answer = received.outcome, None if received.may_stream else received.answer
            if received.may_stream and forwarder is not None:
                accepted = await self._begin_streaming(received, forwarder)
                del received  # what was held may be long, and streaming the rest may last
                if not accepted or not await self._stream(forwarder):
                    outcome = "called off"
            # Whatever the backend answered before the last byte was written, it has not run the request.
            return (
                (outcome, answer)
                if self._attempt.written or outcome in (*FORWARDED_OUTCOMES, "full", "called off")
                else ("unreached", None)
            )
        except h11.RemoteProtocolError as error:
            attempt.reason = attempt.reason or f"not HTTP: {error}"
            # the backend sent something other than HTTP before it had the whole body
            return attempt.outcome or "unreached", None
        except h11.LocalProtocolError as error:
            attempt.reason = f"the request cannot be framed: {error}"
            # the request cannot be framed, so nothing was written, which is not the backend's fault
            return "moot", None
        except BadMessage as error:
            attempt.reason = attempt.reason or str(error)
            return attempt.outcome or ("reset" if self._attempt.written else "unreached"), None
        except TimeoutError:
            attempt.reason = attempt.reason or "the backend neither sent nor read in time"
            return attempt.outcome or ("reset" if self._attempt.written else "unreached"), None
        finally:
            for timer in (self._timeout_timer, self._silence_timer):
                if timer is not None:
                    timer.cancel()
            attempt.detach()
            self._body.release()

    @property
    def reusable(self) -> bool:
        """Whether the connection may serve another request. Data received after the answer would be taken for the
        answer to the next request.
        """
        return (
            self._parser.our_state is h11.DONE
            and self._parser.their_state is h11.DONE
            and not self._connection.peer_ended
            and self._attempt.outcome is None
            and not self._connection.unread_bytes
            and not self._parser.trailing_data[0]
        )

    # --- the request ------------------------------------------------------------------------------

    async def _send(self, request: Request) -> str | None:
        """Sends the request. Returns None once the kernel has all of it or the backend answers before that; otherwise
        the outcome.
        """
        connection, rest = self._connection, request.rest
        encoded = encode_request(self._parser, request)
        if self._context.list_expired():
            self._attempt.reason = "the list has expired since the backend was chosen"
            return "moot"
        if self._context.was_paused():
            self._attempt.reason = "the process was paused"
            return "unreached"
        sent = connection.send(encoded)
        del encoded  # it may be long, and this call may last
        if not sent:
            # Without the rest of a body to come, the attempt's own timer ends this wait.
            async with asyncio.timeout(None if rest is None else min(STALL_TIMEOUT_S, self._timeout_us / 1e6)):
                sent = await connection.flush()
        if not sent:
            return self._unsent_outcome()
        if rest is None:
            self._attempt.written = True
            return None
        return await self._send_rest(rest)

    async def _send_rest(self, rest: StreamedBody) -> str | None:
        """Sends the rest of the body as it is read from the client. Returns what `_send` does.

        The client's time stands still only while the client may still be sending; it runs while the backend does not
        read.
        """
        context, connection = self._context, self._connection
        context.pause_attempt()
        client_time_us = context.remaining_time()
        data = None
        while data != b"":
            try:
                data = await rest.read()
            except BadMessage as error:
                self._attempt.reason = f"the rest of the request: {error}"
                return "moot"  # the client's body is invalid, which is not the backend's fault
            if await self._answer_started():
                self._start_timeout()  # the backend still has its full time to answer and gets no more of the body
                return None
            event = h11.Data(data=data) if data else h11.EndOfMessage()
            sent = connection.send(self._parser.send(event) or b"")
            time_left_s = _upload_time_left(rest, client_time_us)
            if not sent and time_left_s > 0:
                async with asyncio.timeout(time_left_s):
                    sent = await connection.flush()
            if not sent or time_left_s <= 0:
                self._attempt.reason = self._attempt.reason or "the backend read the request too slowly"
                return self._unsent_outcome()
        runs_since = rest.client_time_runs_since()
        now = clock.now()
        written_late_us = 0 if runs_since is None else now - runs_since
        context.resume_attempt(now - written_late_us)
        self._timeout_us = max(0, min(self._timeout_us, client_time_us - written_late_us))
        self._start_timeout()
        self._attempt.written = True
        return None

    def _unsent_outcome(self) -> str:
        """The outcome of an attempt whose request was not written to its end."""
        return "moot" if self._attempt.outcome == "called off" else "unreached"

    async def _answer_started(self) -> bool:
        """Whether the backend has begun its answer before it has the whole body. An interim (1xx) answer does not
        count: if it did, the proxy would wait for the answer and the backend for the rest of the body.
        """
        connection, parser = self._connection, self._parser
        while connection.unread_bytes:
            parser.receive_data(await connection.read())
        event = parser.next_event()
        while isinstance(event, h11.InformationalResponse):
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise BadMessage(502, "interim answers without end")
            event = parser.next_event()
        if isinstance(event, h11.Response):
            check_framing(event)
            self._head = event
        return event is not h11.NEED_DATA or bool(parser.trailing_data[0]) or connection.peer_ended

    # --- the answer -------------------------------------------------------------------------------

    async def _receive(self) -> ReceivedAnswer:
        """Receives the answer, or as much of it as is held back."""
        head = self._head or await read_head(self._parser, self._connection, self._restart_silence_timer)
        if head is None:
            self._attempt.reason = self._attempt.reason or "the backend closed the connection before an answer"
            return ReceivedAnswer(self._attempt.outcome or ("reset" if self._attempt.written else "unreached"))
        assert isinstance(head, h11.Response)
        self.head_received = True
        # The work is done: from here on a silence or the client's deadline ends the attempt, not its timeout.
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        length = content_length_of(head)
        outcome = _outcome_of(head)
        if outcome not in FORWARDED_OUTCOMES:
            self._attempt.reason = self._attempt.reason or f"status {head.status_code}"
        complete = False
        if length is None and outcome in FORWARDED_OUTCOMES:
            complete = await self._hold_answer_of_unknown_length()
        elif length is None or length <= MAX_HELD_BODY_BYTES or outcome not in FORWARDED_OUTCOMES:
            complete = await self._hold_short_answer()
        answer = Answer(head.status_code, list(head.headers), bytes(self._body.contents()))
        if complete:
            return ReceivedAnswer(outcome, answer)
        if self._attempt.outcome is not None:
            # The attempt was given up as the head arrived, so the rest of the answer is cut off. Streaming it would
            # give the client a part of an answer in place of its final answer.
            return ReceivedAnswer(self._attempt.outcome)
        if outcome not in FORWARDED_OUTCOMES:
            return ReceivedAnswer(outcome)
        # The status line and headers of a streamed answer are sent at once, and the length is that of the whole.
        return ReceivedAnswer(outcome, answer._replace(length=length), may_stream=True)

    async def _hold_answer_of_unknown_length(self) -> bool:
        """Buffers an answer that may be long and returns whether it is complete. A long one has to begin while its
        client still waits, and a silence does not tell that it is broken.
        """
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        time_left_s = self._context.remaining_time() / 1e6 - BEGIN_MARGIN_S
        try:
            async with asyncio.timeout(max(0.0, min(HOLD_TIMEOUT_S, time_left_s))):
                return await self._buffer_answer()
        except TimeoutError:
            return False

    async def _hold_short_answer(self) -> bool:
        """Buffers a short answer and returns whether it is complete. One that is silent is held until its silence timer
        ends the attempt: its client can still be given another final answer.
        """
        self._restart_silence_timer()
        while True:
            try:
                async with asyncio.timeout(HOLD_TIMEOUT_S):
                    return await self._buffer_answer(self._restart_silence_timer)
            except TimeoutError:
                if clock.now() - self._connection.last_received_at < self._silence_timeout_s * 1e6:
                    return False

    async def _buffer_answer(self, on_part: Callable[[], None] | None = None) -> bool:
        """Buffers the answer up to the limit and returns whether it is complete. `on_part` is called for each part."""
        while not self._body.full:
            data = await read_data(self._parser, self._connection)
            if not data:
                return True
            self._body.add(data)
            if on_part is not None:
                on_part()
        return False

    async def _begin_streaming(self, received: ReceivedAnswer, forwarder: ResponseForwarder) -> bool:
        """Sends what is held of a long answer to the client and returns whether it accepts it."""
        for timer in (self._timeout_timer, self._silence_timer):
            if timer is not None:
                timer.cancel()
        assert received.answer is not None
        accepted = await forwarder.begin(received.answer, received.answer.length)
        self._body.release()
        return accepted

    async def _stream(self, forwarder: ResponseForwarder) -> bool:
        """Streams the rest of an answer as it arrives and returns whether the client accepted all of it."""
        while True:
            async with asyncio.timeout(STALL_TIMEOUT_S):
                data = await read_data(self._parser, self._connection)
            if not data:
                return await forwarder.end()
            if not await forwarder.write(data):
                return False

    # --- timers -----------------------------------------------------------------------------------

    def _start_timeout(self) -> None:
        """Starts the timer that ends the attempt as timed out."""
        self._timeout_timer = asyncio.get_running_loop().call_later(
            self._timeout_us / 1e6, self._timer_fired, "timed out", 2
        )

    def _restart_silence_timer(self) -> None:
        """Restarts the silence timer because a part of the answer has arrived (an interim 1xx answer is none): the next
        part has to follow while the client still waits. Without the client's deadline, an answer that stopped midway
        kept a client with little time left waiting until it left without an answer.
        """
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        may_retry = self._context.may_retry(clock.now() + round(self._silence_timeout_s * 1e6))
        silence_timeout_s = self._silence_timeout_s if may_retry else STALL_TIMEOUT_S
        timeout_s = min(silence_timeout_s, max(0, self._context.remaining_time()) / 1e6)
        self._silence_timer = asyncio.get_running_loop().call_later(timeout_s, self._timer_fired, "reset", 2)

    def _timer_fired(self, outcome: str, rechecks: int) -> None:
        """Gives the attempt up after a few loop iterations. Under load timers fire late and an answer may already be
        received: it is handled first and ends the attempt. With the last check still pending, unread data gets one more
        iteration for its reader; only one, because a reader that is waiting to write consumes nothing.
        """
        if rechecks > 0 or rechecks == 0 and self._connection.unread_bytes:
            recheck = asyncio.get_running_loop().call_soon(self._timer_fired, outcome, rechecks - 1)
            # Stored as the timer, so that cancelling the timer cancels this check too: otherwise an answer was cut off
            # whose head came in the same loop iteration and whose rest came later.
            if outcome == "timed out":
                self._timeout_timer = recheck
            else:
                self._silence_timer = recheck
        else:
            self._attempt.give_up(outcome, TIMER_REASONS[outcome])


def _upload_time_left(rest: StreamedBody, client_time_us: int) -> float:
    """How many seconds the backend may take to read on, given how long the client waits once it has sent its body."""
    runs_since = rest.client_time_runs_since()
    if runs_since is None:
        return STALL_TIMEOUT_S
    return min(STALL_TIMEOUT_S, (runs_since + client_time_us - clock.now()) / 1e6)


def _outcome_of(head: h11.Response) -> str:
    """The outcome that an answer's head stands for."""
    if head.status_code in DONE_STATUSES:
        return "done"
    if head.status_code in (503, 504) and (b"not-started", b"1") in list(head.headers):
        return "full"
    if 400 <= head.status_code < 500 and head.status_code not in TRANSIENT_STATUSES:
        # The request is at fault, and would be at any other backend.
        return "turned away"
    return "error"
