"""A whole proxy that takes its configuration from a real control machine: memory, and processor time at rest
and for one change by the size of the configuration. And to how many proxies a control machine is one of two.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from pepperusher.capacity.control_run import KEY, NAME, WITHIN, Fleet, body_of
from pepperusher.capacity.control_state import name_of
from pepperusher.capacity.processes import ProxyUnderTest, ProcessError, proxy, standins
from pepperusher.distribution import operator_client
from pepperusher.distribution.subscriber import UPSTREAM_COUNT, rendezvous_order
from pepperusher.distribution.messages import CONFIG, Version

LISTED = 24
RESTS = 4.0
MACHINES = 9


async def _in_force(fleet: Fleet, version: Version) -> None:
    """Raises ProcessError."""
    end = time.monotonic() + WITHIN
    while True:
        told = await operator_client.rollout(fleet.machines[0].address, KEY.encode(), CONFIG, NAME)
        if told.refused:
            raise ProcessError(f"refused: {told.refused}")
        if told.version == version and told.in_force == 1:
            return
        if time.monotonic() > end:
            raise ProcessError(f"{version} is not in force: {told}")
        await asyncio.sleep(0.05)


async def _play(routes: int, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder, standins() as others:
        fleet = Fleet(Path(folder), 1, 0, seed)
        try:
            version = await fleet.writes(NAME, body_of(routes))
            host, port = fleet.machines[0].address
            discovery = others.do(do="discovery", entries=LISTED, address="127.0.0.1:9", changes=0)["port"]
            said = (
                f'[changes]\nwatch = "1s"\n\n[distribution]\nmachines = ["{host}:{port}"]\n'
                f'key_file = "{Path(folder) / "key"}"\nconfig = "{NAME}"\nkeep = "HERE/kept"\n'
            )
            with proxy(LISTED, discovery=discovery, own=said) as one:
                await _in_force(fleet, version)
                await asyncio.sleep(RESTS)  # the change's own watch ends
                at_rest = await _over(one, RESTS)
                memory = one.resident()
                before, began = one.spent_by_all(), time.monotonic()
                version = await fleet.writes(NAME, body_of(routes, 30))
                await _in_force(fleet, version)
                took = time.monotonic() - began
                change = one.spent_by_all() - before - at_rest * took
                return {"memory": memory, "rest_cpu": at_rest, "change_cpu": change}
        finally:
            fleet.end()


async def _over(one: ProxyUnderTest, lasts: float) -> float:
    """Processor time a second over a span that is measured, not waited in."""
    before, began = one.spent_by_all(), time.monotonic()
    await asyncio.sleep(lasts)
    return (one.spent_by_all() - before) / (time.monotonic() - began)


# one play gives several figures; as many as sizes are measured
_PLAYED: dict[tuple[int, int], dict[str, float]] = {}


def whole(name: str) -> Callable[[int, int], float]:
    """By the routes of the configuration. Raises ProcessError."""

    def at(routes: int, seed: int) -> float:
        if (routes, seed) not in _PLAYED:
            _PLAYED[routes, seed] = asyncio.run(_play(routes, seed))
        return _PLAYED[routes, seed][name]

    return at


def most_connections(lost: int = 0) -> Callable[[int, int], float]:
    """Connections of the control machine that has most, of MACHINES of which so many are lost."""

    def at(proxies: int, seed: int) -> float:
        machines = [f"10.{seed % 256}.0.{number}:7300" for number in range(MACHINES)][lost:]
        held = Counter(
            up for number in range(proxies) for up in rendezvous_order(name_of(number), machines)[:UPSTREAM_COUNT]
        )
        return float(max(held.values()))

    return at
