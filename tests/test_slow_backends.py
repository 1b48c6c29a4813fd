"""Backends that are slow but sound: their answers are passed on whole, and clients have their final answer in time."""

from __future__ import annotations

import asyncio
import unittest

from tests.leavers import request
from tests.slow_backends import Answer, Received, SlowProxyProcess, SlowReader, exchange

USE_CASES = ("look", "book", "pay")  # idempotent, idempotent by key, non-idempotent
# An answer may come this long after its client's deadline before the request counts as lost.
LATE_ANSWER_S = 0.5
ALL = 10**9
CHUNK = b"%x\r\n%s\r\n" % (16384, bytes(16384))

PAUSED_ANSWERS = {
    "lumps-chunked": Answer("chunked", ((0.7, 50_000), (0.7, 60_000), (0.3, 60_000))),
    "lumps-close": Answer("close", ((0.7, 50_000), (0.7, 60_000), (0.3, 60_000))),
    "late-body-chunked": Answer("chunked", ((0.9, 190_000),)),
    "late-body-close": Answer("close", ((0.9, 285_000),)),
    "late-body-length": Answer("length", ((0.9, 285_000),)),
}
SHORT_ANSWERS = {"short-length": Answer("length", ((0.0, 5_000), (0.7, 20_000)))}
UNENDING_ANSWERS = {
    "unending-chunked": Answer("chunked", ((0.0, 100),), ends=False),
    "unending-length": Answer("length", ((0.0, 100), (60.0, 100))),
}
STUCK_READERS = {
    "stuck-1": (SlowReader(6_000, ALL), 3_000_000, 1500),
    "stuck-2": (SlowReader(18_000, ALL), 181_304, 750),
    "stuck-3": (SlowReader(25_000, ALL), 854_388, 750),
    "slow-1": (SlowReader(ALL, 118_000), 967_654, 850),
    "slow-2": (SlowReader(ALL, 110_000), 908_668, 900),
}
# It takes 4 s and more, of which its client's kernel hides 0.5 s. With the receive buffers that the kernel chooses itself
# (up to tcp_rmem, 6 MB and more) the body arrives in steps of seconds, and the proxy's bound for the client's last byte lags
# behind by those too.
LONG_UPLOAD_BYTES = 31 * 1024 * 1024
RECEIVE_BUFFER_BYTES = 256 * 1024
LONG_UPLOAD_TIMEOUT_MS = 3000


def long_request(request_id: str, size: int, chunked: bool, timeout_ms: int) -> bytes:
    """A request with a body of so many bytes."""
    head = request("book", request_id, timeout_ms=timeout_ms)
    if chunked:
        chunks = CHUNK * (size // 16384)
        return head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + chunks + b"0\r\n\r\n"
    return head.replace(b"Content-Length: 0", b"Content-Length: %d" % size) + bytes(size)


class Answers(unittest.IsolatedAsyncioTestCase):
    async def ask_each(self, answers: dict[str, Answer], timeout_ms: int) -> dict[str, Received]:
        """Asks for each answer in each use case, all at once with a proxy each, and returns what the clients received."""
        received = {}
        for use_case in USE_CASES:
            for name in answers:
                async with SlowProxyProcess(answers) as proxy_process:
                    request_bytes = request(use_case, f"{name}-1", timeout_ms=timeout_ms)
                    received[f"{use_case} {name}"] = await exchange(proxy_process.port, request_bytes)
        return received

    # Guards against a long answer that is cut off because its backend pauses for half a second (issue 69, evidence 2).
    async def test_a_long_answer_whose_backend_pauses_is_passed_on_whole(self) -> None:
        for name, received in (await self.ask_each(PAUSED_ANSWERS, 1500)).items():
            with self.subTest(name):
                self.assertEqual(("200", True), (received.status, received.whole))
                self.assertEqual(PAUSED_ANSWERS[name.split()[1]].length, received.body_bytes)
                self.assertLess(received.first_byte_s, 1.5 + LATE_ANSWER_S)

    # Guards against the same where the client's deadline falls into the pause.
    async def test_a_long_answer_that_pauses_over_the_deadline_begins_before_it(self) -> None:
        for name, received in (await self.ask_each(PAUSED_ANSWERS, 600)).items():
            with self.subTest(name):
                self.assertEqual(("200", True), (received.status, received.whole))
                self.assertLess(received.first_byte_s, 0.6 + LATE_ANSWER_S)

    # Guards against a short answer that is cut off because its backend pauses, where no other attempt may follow.
    async def test_a_short_answer_that_pauses_is_waited_for_where_no_attempt_follows(self) -> None:
        for name, received in (await self.ask_each(SHORT_ANSWERS, 1900)).items():
            with self.subTest(name):
                self.assertEqual(("200", True, 25_000), (received.status, received.whole, received.body_bytes))

    async def test_an_answer_that_never_ends_is_no_whole_one_and_short_ones_fail_in_time(self) -> None:
        for name, received in (await self.ask_each(UNENDING_ANSWERS, 600)).items():
            with self.subTest(name):
                if "length" in name:
                    self.assertRegex(received.status, "50[234]")
                    self.assertLess(received.last_byte_s, 0.6 + LATE_ANSWER_S)
                else:
                    self.assertFalse(received.status == "200" and received.whole)
                    self.assertLess(received.first_byte_s, 0.6 + LATE_ANSWER_S)
                    self.assertLess(received.last_byte_s, 8.0)  # the client is told by a reset


class Requests(unittest.IsolatedAsyncioTestCase):
    # Guards against a final answer that comes seconds late because the backend reads the request slowly (issue 69,
    # evidence 2).
    async def test_a_backend_that_reads_slowly_or_stops_reading_delays_no_final_answer(self) -> None:
        for name, (reader, size, timeout_ms) in STUCK_READERS.items():
            for chunked in (False, True):
                with self.subTest(name, chunked=chunked):
                    async with SlowProxyProcess(readers={name: reader}, small_buffers=True) as proxy_process:
                        request_bytes = long_request(f"{name}-1", size, chunked, timeout_ms)
                        received = await exchange(proxy_process.port, request_bytes)
                    self.assertRegex(received.status, "50[234]")
                    self.assertLess(received.last_byte_s, timeout_ms / 1000 + LATE_ANSWER_S)

    # Guards against the opposite: a long upload that a backend reads steadily takes longer than its client's time, which
    # begins with its last byte.
    async def test_a_long_upload_that_takes_longer_than_the_client_s_time_is_served(self) -> None:
        # The backend shares this loop, which is several times slower in unittest's debug mode.
        asyncio.get_running_loop().set_debug(False)
        readers = {"steady": SlowReader(ALL, LONG_UPLOAD_BYTES // 4)}
        for chunked in (False, True):
            with self.subTest(chunked=chunked):
                async with SlowProxyProcess(
                    readers=readers, small_buffers=True, receive_buffer_bytes=RECEIVE_BUFFER_BYTES
                ) as proxy_process:
                    request_bytes = long_request("steady-1", LONG_UPLOAD_BYTES, chunked, LONG_UPLOAD_TIMEOUT_MS)
                    received = await exchange(proxy_process.port, request_bytes)
                self.assertEqual(("200", True), (received.status, received.whole))
                self.assertGreater(received.last_byte_s, LONG_UPLOAD_TIMEOUT_MS / 1000)


if __name__ == "__main__":
    unittest.main()
