"""HTTP/1.1 messages over a line, parsed and framed by h11."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple, Protocol

import h11

from pepperusher.net.buffers import Body
from pepperusher.net.connection import StreamConnection

# A body at the most, whether it is held or flows.
MAX_BODY_BYTES = 32 * 1024 * 1024
# A message's head; more is bad input.
MAX_HEAD_BYTES = 16 * 1024
# Answers 1xx ahead of one; more never come to an end.
INTERIM = 16
BODILESS = (204, 304)
HOP = frozenset(
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


class BadMessage(Exception):
    """What came is no message that can be answered as one; `status` is the answer it gets."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Rest(Protocol):
    """What of a body is not held, and is read as it is sent on. Once `touched`, what was read is gone; `bad` is why
    it had no end, and the status to answer."""

    touched: bool
    bad: tuple[str, int] | None

    async def read(self) -> bytes: ...


class Request(NamedTuple):
    method: bytes
    target: bytes
    headers: Headers
    body: memoryview | bytes  # as far as it is held
    rest: Rest | None = None  # what comes behind that
    length: int | None = None  # of all of it, where there is a rest and its head says so


class Answer(NamedTuple):
    status: int
    headers: Headers
    body: bytes
    length: int | None = None  # where it has a length and no body, as the answer to HEAD


def text_answer(status: int, text: str, *more: tuple[bytes, bytes]) -> Answer:
    """An answer of the proxy's own: one line, with `more` headers."""
    return Answer(status, [(b"content-type", b"text/plain"), *more], f"{text}\n".encode())


def end_to_end(headers: Headers) -> Headers:
    """What a proxy passes on: neither the connection's own headers nor those it names as such."""
    named = frozenset(
        name.strip().lower() for key, value in headers if key == b"connection" for name in value.split(b",")
    )
    return [pair for pair in headers if pair[0] not in HOP and pair[0] not in named]


def check_framing(head: h11.Request | h11.Response) -> None:
    """What h11 lets pass, and where it matters most: how long the body is has to be beyond doubt."""
    length = coding = None
    for name, value in head.headers:
        if name == b"content-length":
            length = int(value)
        elif name == b"transfer-encoding":
            coding = value
    if length is not None and coding is not None:
        # Whoever goes by the other of the two finds another request in the body.
        raise BadMessage(400, "both Content-Length and Transfer-Encoding")
    if length is not None and length > MAX_BODY_BYTES:
        # Not read first: some say 3 GB and send them.
        raise BadMessage(413, "the body is too large")


async def read_head(
    parser: h11.Connection, line: StreamConnection, came: Callable[[], None] | None = None
) -> h11.Request | h11.Response | None:
    """The next message's head; None where the line ended before one began. `came` is told when a part of it
    has."""
    interim = 0
    with _bad_messages():
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if came is not None and parser.trailing_data[0]:
                    came()
                parser.receive_data(await line.read())
            elif isinstance(event, (h11.Request, h11.Response)):
                check_framing(event)
                return event
            elif isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > INTERIM:
                    raise BadMessage(502, "interim answers without end")
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None


async def read_data(parser: h11.Connection, line: StreamConnection) -> bytes:
    """The next part of the body behind a head that was read; nothing at its end."""
    with _bad_messages():
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    line.send(parser.send(h11.InformationalResponse(status_code=100, headers=[])))
                read = await line.read()
                if not read and not line.ended_in_order:
                    # Where the end of the connection is the end of the body, a broken one must not look like
                    # it.
                    raise BadMessage(400, "the connection broke")
                parser.receive_data(read)
            elif isinstance(event, h11.Data):
                if event.data:
                    return bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return b""
            else:
                raise BadMessage(400, "the message broke off")


async def buffer_body(parser: h11.Connection, line: StreamConnection, body: Body) -> bool:
    """Reads a body into `body`, as far as that holds it; whether it is whole."""
    while not body.full:
        data = await read_data(parser, line)
        if not data:
            return True
        body.add(data)
    return False


@contextmanager
def _bad_messages() -> Iterator[None]:
    """Whatever else the parser trips over is no message either, and its sender's fault."""
    try:
        yield
    except (BadMessage, TimeoutError):
        raise
    except Exception as error:
        raise BadMessage(getattr(error, "error_status_hint", 400), str(error)) from None


def length_of(head: h11.Request | h11.Response) -> int | None:
    """The body's length by the head's own word."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), None)


def encode_request(parser: h11.Connection, request: Request) -> bytes:
    """The whole of it, or as much as is held: the rest flows."""
    headers = request.headers
    if request.rest is not None:
        length = request.length
        by = (b"transfer-encoding", b"chunked") if length is None else (b"content-length", b"%d" % length)
        headers = [*headers, by]
    elif request.body or request.method not in (b"GET", b"HEAD"):
        headers = [*headers, (b"content-length", b"%d" % len(request.body))]
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    return _framed(parser, head, request.body, request.rest is None)


def encode_answer(parser: h11.Connection, answer: Answer, close: bool) -> bytes:
    headers = list(answer.headers)
    # Some have no body by their status, and a length is not theirs to tell.
    if answer.status not in BODILESS:
        headers.append((b"content-length", b"%d" % (len(answer.body) if answer.length is None else answer.length)))
    if close:
        headers.append((b"connection", b"close"))
    return _framed(parser, h11.Response(status_code=answer.status, headers=headers), answer.body)


def _framed(
    parser: h11.Connection, head: h11.Request | h11.Response, body: memoryview | bytes, whole: bool = True
) -> bytes:
    parts = [parser.send(head)]
    if body:
        parts.append(parser.send(h11.Data(data=body)))
    if whole:
        parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
