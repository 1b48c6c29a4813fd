"""Measures a proxy process that gets its configuration from a real control machine: memory, and processor time at
rest and for one change, by the size of the configuration. Also counts the connections of a control machine when each
proxy connects to two.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from pepperusher.capacity.control_run import KEY, NAME, TIMEOUT_S, Fleet, configuration_body
from pepperusher.capacity.control_state import proxy_name
from pepperusher.capacity.processes import ProxyUnderTest, ProcessError, proxy, stand_in_services
from pepperusher.distribution import operator_client
from pepperusher.distribution.subscriber import UPSTREAM_COUNT, rendezvous_order
from pepperusher.distribution.messages import CONFIG, Version

LISTED = 24
REST_S = 4.0
MACHINES = 9


async def _wait_until_in_force(fleet: Fleet, version: Version) -> None:
    """Polls until the proxy has the version in force. Raises ProcessError."""
    deadline = time.monotonic() + TIMEOUT_S
    while True:
        rollout = await operator_client.rollout(fleet.machines[0].address, KEY.encode(), CONFIG, NAME)
        if rollout.refused:
            raise ProcessError(f"the proxy refused the configuration: {rollout.refused}")
        if rollout.version == version and rollout.in_force == 1:
            return
        if time.monotonic() > deadline:
            raise ProcessError(f"{version} is not in force: {rollout}")
        await asyncio.sleep(0.05)


async def _run(routes: int, seed: int) -> dict[str, float]:
    """Measures a proxy at rest and over one change of its configuration."""
    with tempfile.TemporaryDirectory() as folder, stand_in_services() as stand_ins:
        fleet = Fleet(Path(folder), 1, 0, seed)
        try:
            version = await fleet.publish(NAME, configuration_body(routes))
            host, port = fleet.machines[0].address
            discovery = stand_ins.send(do="discovery", entries=LISTED, address="127.0.0.1:9", changes=0)["port"]
            proxy_configuration = (
                f'[changes]\nwatch = "1s"\n\n[distribution]\nmachines = ["{host}:{port}"]\n'
                f'key_file = "{Path(folder) / "key"}"\nconfig = "{NAME}"\nkeep = "HERE/kept"\n'
            )
            with proxy(LISTED, discovery=discovery, own_configuration=proxy_configuration) as running:
                await _wait_until_in_force(fleet, version)
                await asyncio.sleep(REST_S)  # until the proxy has ended its observation period after the change
                at_rest = await _cpu_a_second(running, REST_S)
                memory = running.resident()
                before, started = running.cpu_us(), time.monotonic()
                version = await fleet.publish(NAME, configuration_body(routes, 30))
                await _wait_until_in_force(fleet, version)
                elapsed = time.monotonic() - started
                change = running.cpu_us() - before - at_rest * elapsed
                return {"memory": memory, "rest_cpu": at_rest, "change_cpu": change}
        finally:
            fleet.end()


async def _cpu_a_second(running: ProxyUnderTest, seconds: float) -> float:
    """Returns the processor time a second of all threads, measured over `seconds`."""
    before, started = running.cpu_us(), time.monotonic()
    await asyncio.sleep(seconds)
    return (running.cpu_us() - before) / (time.monotonic() - started)


# One run gives several values. The cache holds one entry for each size and seed measured.
_RUNS: dict[tuple[int, int], dict[str, float]] = {}


def by_routes(name: str) -> Callable[[int, int], float]:
    """Returns a measurement by the number of routes in the configuration. It raises ProcessError."""

    def measure(routes: int, seed: int) -> float:
        if (routes, seed) not in _RUNS:
            _RUNS[routes, seed] = asyncio.run(_run(routes, seed))
        return _RUNS[routes, seed][name]

    return measure


def most_connections(lost_machines: int = 0) -> Callable[[int, int], float]:
    """Returns a measurement of the connections of the control machine with the most connections, by the number of
    proxies, with `lost_machines` of MACHINES lost.
    """

    def measure(proxies: int, seed: int) -> float:
        machines = [f"10.{seed % 256}.0.{number}:7300" for number in range(MACHINES)][lost_machines:]
        connections = Counter(
            upstream
            for number in range(proxies)
            for upstream in rendezvous_order(proxy_name(number), machines)[:UPSTREAM_COUNT]
        )
        return float(max(connections.values()))

    return measure
