"""Messages over a connection: no part of a body is lost where its reader is cancelled."""

from __future__ import annotations

import asyncio
import unittest

import h11

from pepperusher.net.message import read_data
from pepperusher.net.turn_queue import FREE_EVENTS


class WaitingConnection:
    """A connection that makes its reader wait for a turn, as one does that has parsed much."""

    def __init__(self, parsed_events: int) -> None:
        self.parsed_events = parsed_events

    def count_parsed(self) -> None:
        self.parsed_events += 1

    async def wait_for_turn(self) -> None:
        if self.parsed_events >= FREE_EVENTS:
            self.parsed_events = 0
            await asyncio.sleep(0.05)


class Cancelled(unittest.IsolatedAsyncioTestCase):
    # Guards against an answer in many small chunks that lacks some of them, because it was no longer held back while its
    # reader waited for a turn.
    async def test_chunks_that_were_parsed_are_not_lost_with_a_wait_for_a_turn(self) -> None:
        chunks = [b"%d" % number for number in range(10, 20)]
        for parsed_events in range(FREE_EVENTS - len(chunks), FREE_EVENTS + 1):
            parser = h11.Connection(h11.CLIENT)
            parser.send(h11.Request(method=b"GET", target=b"/", headers=[(b"host", b"h")]))
            parser.send(h11.EndOfMessage())
            encoded = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
            parser.receive_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encoded + b"0\r\n\r\n")
            parser.next_event()
            connection, received = WaitingConnection(parsed_events), b""
            while True:
                try:
                    async with asyncio.timeout(0.01):
                        data = await read_data(parser, connection)  # type: ignore[arg-type]
                except TimeoutError:
                    continue
                if not data:
                    break
                received += data
            self.assertEqual(b"".join(chunks), received, parsed_events)
