"""A proxy stays under its memory limit beside crowds of clients that are slow, stop half way or send very many fields."""

from __future__ import annotations

import unittest

import pytest

from tests.memory_crowds import CROWDS, MEGABYTE, meet

# Megabytes and descriptors: the limits of the incident's processes, and the least memory that the operators' pages name.
LIMITS = ((64, 1024), (32, 1024))


@pytest.mark.timeout(240)
class Crowds(unittest.IsolatedAsyncioTestCase):
    async def check(self, *names: str) -> None:
        """Meets each crowd at each limit; names joined by + are crowds that come one after another."""
        for name in names:
            for megabytes, descriptors in LIMITS:
                with self.subTest(name, megabytes=megabytes):
                    outcome = await meet(megabytes, descriptors, *(CROWDS[one] for one in name.split("+")))
                    self.assertLess(outcome.peak_bytes, megabytes * MEGABYTE, "".join(outcome.memory_lines))
                    self.assertEqual("200", outcome.after)

    # Guards against heads whose many short fields take twenty times their length for as long as the request is in hand.
    async def test_heads_with_very_many_fields(self) -> None:
        await self.check("many_fields", "slow_head")

    async def test_heads_that_are_as_long_as_may_be(self) -> None:
        await self.check("long_fields")

    async def test_bodies_that_are_written_slowly(self) -> None:
        await self.check("slow_body", "byte_chunks")

    async def test_requests_that_stop_half_way(self) -> None:
        await self.check("half_body")

    async def test_long_answers_that_are_read_slowly_and_connections_that_are_silent(self) -> None:
        await self.check("slow_reader", "silent")

    async def test_many_requests_at_once_on_each_connection(self) -> None:
        await self.check("pipeline")

    async def test_all_of_them_together(self) -> None:
        await self.check("mixed")

    # Guards against memory that is freed by one kind of load and not given back for the next.
    async def test_one_kind_after_another(self) -> None:
        await self.check("half_body+long_fields+slow_reader+mixed")


if __name__ == "__main__":
    unittest.main()
