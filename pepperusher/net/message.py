"""HTTP/1.1 messages over a connection, parsed and encoded by h11."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

import h11

from pepperusher.net.buffers import Body
from pepperusher.net.connection import StreamConnection

# Largest body, buffered or streamed.
MAX_BODY_BYTES = 32 * 1024 * 1024
# Largest message head; a longer one is bad input.
MAX_HEAD_BYTES = 16 * 1024
# Most header fields of a request; one with more is bad input. Each field takes some 100 bytes while it is parsed, however
# short it is.
MAX_HEADER_FIELDS = 256
# A head longer than this is refused while the memory for received data is exhausted; ordinary ones are far shorter.
MAX_HEAD_BYTES_WITHOUT_MEMORY = 4 * 1024
# Interim (1xx) answers accepted before the final one; a backend that sends more never ends.
MAX_INTERIM_ANSWERS = 16
# Chunks that are read as one part of a body.
MAX_CHUNKS_OF_PART = 32
STATUSES_WITHOUT_BODY = (204, 304)
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

Headers = list[tuple[bytes, bytes]]
# The end of a head, as the parser accepts it.
HEAD_END = re.compile(rb"\n\r?\n")


class BadMessage(Exception):
    """The input is no valid message; `status` is the status of the answer to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class StreamedBody(Protocol):
    """The part of a body that is not buffered but read while it is sent on. Once `started`, data that was read is gone;
    `error` holds why the body was incomplete or invalid, and the status of the answer to it.
    """

    started: bool
    error: tuple[str, int] | None

    async def read(self) -> bytes: ...

    def client_time_runs_since(self) -> int | None:
        """The earliest time from which the client may wait for its answer; None if it is surely still sending."""


class PackedHeaders:
    """Header fields in one piece, for as long as a request is in hand: as separate objects, short ones take many times their
    length.
    """

    __slots__ = ("_block",)

    def __init__(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        # Neither a name nor a value can hold a line end, and no name can hold a colon.
        self._block = b"\n".join(b"%s:%s" % (name, value) for name, value in headers)

    def __len__(self) -> int:
        """The length in bytes."""
        return len(self._block)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        for line in self._block.split(b"\n") if self._block else ():
            name, _, value = line.partition(b":")
            yield name, value


class Request(NamedTuple):
    """A request to a backend, whose body may be partly buffered."""

    method: bytes
    target: bytes
    headers: Iterable[tuple[bytes, bytes]]
    body: Body | bytes  # as much of it as is buffered
    rest: StreamedBody | None = None  # the part of the body behind `body`
    length: int | None = None  # of the whole body, if there is a rest and the head has a Content-Length


class Answer(NamedTuple):
    """An answer to a client, with its buffered body."""

    status: int
    headers: Headers
    body: bytes
    length: int | None = None  # set where the answer has a Content-Length and no body, as the answer to HEAD


def text_answer(status: int, text: str, *more_headers: tuple[bytes, bytes]) -> Answer:
    """An answer of the proxy itself: one line of text, with `more_headers`."""
    return Answer(status, [(b"content-type", b"text/plain"), *more_headers], f"{text}\n".encode())


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """The headers that a proxy forwards: without hop-by-hop headers and those that Connection names."""
    named_by_connection = frozenset(
        name.strip().lower() for key, value in headers if key == b"connection" for name in value.split(b",")
    )
    return [
        header for header in headers if header[0] not in HOP_BY_HOP_HEADERS and header[0] not in named_by_connection
    ]


def check_framing(head: h11.Request | h11.Response) -> None:
    """Checks what h11 accepts but a proxy must not: the length of the body has to be unambiguous, since a wrong one
    allows request smuggling.
    """
    length = transfer_encoding = None
    for name, value in head.headers:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            transfer_encoding = value
    if length is not None and transfer_encoding is not None:
        # A recipient that uses the other of the two headers would find another request inside the body.
        raise BadMessage(400, "both Content-Length and Transfer-Encoding")
    if length is not None and length > MAX_BODY_BYTES:
        # Rejected before it is read: some clients announce 3 GB and send them.
        raise BadMessage(413, "the body is too large")


def check_head(received: bytes, memory_exhausted: bool) -> None:
    """Checks the number of fields of a request's head, or of what has arrived of one, before it is parsed, and its length
    where memory is short.
    """
    end = HEAD_END.search(received)
    length = len(received) if end is None else end.start()
    if received.count(b"\n", 0, length) > MAX_HEADER_FIELDS:
        raise BadMessage(431, "too many header fields")
    if memory_exhausted and length > MAX_HEAD_BYTES_WITHOUT_MEMORY:
        raise BadMessage(503, "no memory for a head of this length")


async def read_head(
    parser: h11.Connection, connection: StreamConnection, on_data: Callable[[], None] | None = None
) -> h11.Request | h11.Response | None:
    """Reads the head of the next message; None where the connection ended before one began. `on_data` is called when a
    part of it has arrived.
    """
    interim_answers = 0
    with _parser_errors_as_bad_messages():
        while True:
            if parser.our_role is h11.SERVER:
                check_head(parser.trailing_data[0], connection.memory_exhausted)
            event = parser.next_event()
            connection.count_parsed()
            if event is h11.NEED_DATA:
                unparsed_bytes = len(parser.trailing_data[0])
                connection.set_parser_bytes(unparsed_bytes)
                if on_data is not None and unparsed_bytes:
                    on_data()
                parser.receive_data(await connection.read())
            elif isinstance(event, (h11.Request, h11.Response)):
                connection.set_parser_bytes(len(parser.trailing_data[0]))
                check_framing(event)
                return event
            elif isinstance(event, h11.InformationalResponse):
                interim_answers += 1
                if interim_answers > MAX_INTERIM_ANSWERS:
                    raise BadMessage(502, "interim answers without end")
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None


async def read_data(parser: h11.Connection, connection: StreamConnection) -> bytes:
    """Reads the next part of the body of the message whose head was read; empty at its end. A part is what has arrived, of
    one chunk or of several.
    """
    parts: list[bytes] = []
    with _parser_errors_as_bad_messages():
        while parser.their_state in (h11.SEND_BODY, h11.ERROR):
            if not parts:
                await connection.wait_for_turn()  # a reader that is cancelled here has taken nothing yet
            event = parser.next_event()
            if isinstance(event, h11.Data):
                connection.count_parsed()
                parts.append(bytes(event.data))
                if len(parts) >= MAX_CHUNKS_OF_PART:
                    break
            elif event is h11.NEED_DATA:
                if any(parts):
                    break
                if parser.they_are_waiting_for_100_continue:
                    connection.send(parser.send(h11.InformationalResponse(status_code=100, headers=[])))
                received = await connection.read()
                if not received and not connection.ended_cleanly:
                    # Where the end of the connection marks the end of the body, a broken connection must not look like
                    # that.
                    raise BadMessage(400, "the connection broke")
                parser.receive_data(received)
            elif not isinstance(event, h11.EndOfMessage):
                raise BadMessage(400, "the message broke off")
    return parts[0] if len(parts) == 1 else b"".join(parts)


async def buffer_body(parser: h11.Connection, connection: StreamConnection, body: Body) -> bool:
    """Reads a body into `body` up to its limit and returns whether it is complete."""
    while not body.full:
        data = await read_data(parser, connection)
        if not data:
            return True
        body.add(data)
    return _add_parsed_data(parser, body)


def _add_parsed_data(parser: h11.Connection, body: Body) -> bool:
    """Adds what the parser has of the body without reading more, and returns whether that completes it."""
    with _parser_errors_as_bad_messages():
        for _ in range(MAX_CHUNKS_OF_PART):
            event = parser.next_event()
            if not isinstance(event, h11.Data):
                return isinstance(event, h11.EndOfMessage)
            body.add(bytes(event.data))
    return False


@contextmanager
def _parser_errors_as_bad_messages() -> Iterator[None]:
    """Turns other errors of the parser into BadMessage: they are faults of the sender too."""
    try:
        yield
    except (BadMessage, TimeoutError):
        raise
    except Exception as error:
        raise BadMessage(getattr(error, "error_status_hint", 400), str(error)) from None


def content_length_of(head: h11.Request | h11.Response) -> int | None:
    """The Content-Length in the head, if there is one."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), None)


def encode_request(parser: h11.Connection, request: Request) -> bytes:
    """Encodes the request, or its buffered part where the rest is streamed."""
    headers = [*request.headers]
    if request.rest is not None:
        length = request.length
        framing_header = (b"transfer-encoding", b"chunked") if length is None else (b"content-length", b"%d" % length)
        headers = [*headers, framing_header]
    elif request.body or request.method not in (b"GET", b"HEAD"):
        headers = [*headers, (b"content-length", b"%d" % len(request.body))]
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    buffered = request.body if isinstance(request.body, bytes) else request.body.contents()
    return _encode(parser, head, buffered, request.rest is None)


def encode_answer(parser: h11.Connection, answer: Answer, close: bool) -> bytes:
    """Encodes the answer; `close` announces that the connection closes after it."""
    headers = list(answer.headers)
    # Answers of some statuses have no body and must not have a Content-Length.
    if answer.status not in STATUSES_WITHOUT_BODY:
        headers.append((b"content-length", b"%d" % (len(answer.body) if answer.length is None else answer.length)))
    if close:
        headers.append((b"connection", b"close"))
    return _encode(parser, h11.Response(status_code=answer.status, headers=headers), answer.body)


def _encode(
    parser: h11.Connection, head: h11.Request | h11.Response, body: memoryview | bytes, whole: bool = True
) -> bytes:
    """Encodes a head with its body; `whole` ends the message."""
    parts = [parser.send(head)]
    if body:
        parts.append(parser.send(h11.Data(data=body)))
    if whole:
        parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
