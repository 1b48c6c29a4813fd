"""HTTP/1.1 messages over a line, parsed and framed by h11."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import h11

from pepperusher.net.buffers import MOST, Body, TooLarge
from pepperusher.net.line import Line

# A message's head; more is bad input.
HEAD = 16 * 1024
# Answers 1xx ahead of one; more never come to an end.
INTERIM = 16
HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization",
                 b"te", b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect"))

Headers = list[tuple[bytes, bytes]]


class BadMessage(Exception):
    """What came is no message that can be answered as one; `status` is the answer it gets."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Request(NamedTuple):
    method: bytes
    target: bytes
    headers: Headers
    body: memoryview | bytes


class Answer(NamedTuple):
    status: int
    headers: Headers
    body: bytes


def plain(status: int, text: str, *more: tuple[bytes, bytes]) -> Answer:
    """An answer of the proxy's own: one line, with `more` headers."""
    return Answer(status, [(b"content-type", b"text/plain"), *more], f"{text}\n".encode())


def end_to_end(headers: Headers) -> Headers:
    """What a proxy passes on: neither the connection's own headers nor those it names as such."""
    named = frozenset(name.strip().lower() for key, value in headers if key == b"connection"
                      for name in value.split(b","))
    return [pair for pair in headers if pair[0] not in HOP and pair[0] not in named]


def _check_framing(head: h11.Request | h11.Response) -> None:
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
    if length is not None and length > MOST:
        # Not read first: some say 3 GB and send them.
        raise BadMessage(413, "the body is too large")
    if isinstance(head, h11.Response) and length is None and coding is None and head.status_code not in (204, 304):
        # It would end with the connection, and a broken one so looks like a whole one.
        raise BadMessage(502, "neither Content-Length nor Transfer-Encoding")


async def receive(parser: h11.Connection, line: Line, body: Body,
                  begun: Callable[[], None] | None = None) -> h11.Request | h11.Response | None:
    """The next whole message: its head, with the body in `body`; None where the line ended before one began.

    `begun` is told while there is a part of it, which an answer 1xx ahead is not.
    """
    head: h11.Request | h11.Response | None = None
    interim = 0
    try:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                if parser.they_are_waiting_for_100_continue:
                    line.send(parser.send(h11.InformationalResponse(status_code=100, headers=[])))
                if begun is not None and (head is not None or parser.trailing_data[0]):
                    begun()
                parser.receive_data(await line.read())
            elif isinstance(event, (h11.Request, h11.Response)):
                head = event
                _check_framing(head)
            elif isinstance(event, h11.InformationalResponse):
                interim += 1
                if interim > INTERIM:
                    raise BadMessage(502, "interim answers without end")
            elif isinstance(event, h11.Data):
                body.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return head
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                return None
    except BadMessage:
        raise
    except TooLarge:
        raise BadMessage(413, "the body is too large") from None
    except Exception as error:   # whatever else the parser trips over is no message either, and its sender's fault
        raise BadMessage(getattr(error, "error_status_hint", 400), str(error)) from None


def framed_request(parser: h11.Connection, request: Request) -> bytes:
    headers = request.headers
    if request.body or request.method not in (b"GET", b"HEAD"):
        headers = [*headers, (b"content-length", b"%d" % len(request.body))]
    return _framed(parser, h11.Request(method=request.method, target=request.target, headers=headers), request.body)


def framed_answer(parser: h11.Connection, answer: Answer, close: bool) -> bytes:
    headers = [*answer.headers, (b"content-length", b"%d" % len(answer.body))]
    if close:
        headers.append((b"connection", b"close"))
    return _framed(parser, h11.Response(status_code=answer.status, headers=headers), answer.body)


def _framed(parser: h11.Connection, head: h11.Request | h11.Response, body: memoryview | bytes) -> bytes:
    parts = [parser.send(head)]
    if body:
        parts.append(parser.send(h11.Data(data=body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
