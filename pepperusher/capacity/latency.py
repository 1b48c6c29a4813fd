"""Measures the latency that proxies add to a call, compared with the same services without proxies. The load is open
loop and each latency counts from the time at which the call should have been sent. On a shared machine the values
depend on its other load, which is recorded with them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from statistics import median
from typing import NamedTuple

from pepperusher.capacity.processes import HOST, ProcessError, ProxyUnderTest, proxy, stand_in_services

# Calls a second of one proxy at the target: 360,000 over 5,000.
CALLS_A_SECOND = 72.0
ROUND_S = 6.0
# A round measures without and with proxies; the result is the median over the rounds. A reliable 99th percentile needs
# more rounds.
ROUNDS = 2
# A chain gets a third of that rate, for a longer time, so that thirty proxies and their services fit on two cores.
CHAIN_CALLS_A_SECOND, CHAIN_ROUND_S = 24.0, 10.0
# For calls one by one: the time without calls before them, and the wait after each answer.
IDLE_S, SETTLE_S = 2.0, 0.004
TIMEOUT_S = 10.0
WARM_CALLS = 8
SERVICE_HOST = "127.0.0.1"  # where stand-in services listen


class LatencyResult(NamedTuple):
    """The median and the 99th percentile of the latencies in us, the calls, and the calls not answered with 200."""

    p50: float
    p99: float
    calls: int
    failed: int


class _ClientConnection:
    """A connection on which a client sends one call at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def call(self, number: int) -> tuple[bool, bool]:
        """Sends a call; returns whether it was answered with 200 and whether the connection can be reused."""
        head = (
            f"GET /use-0/page HTTP/1.1\r\nHost: service\r\nRequest-Id: {number}\r\nRequest-Class: use-0\r\n"
            f"Request-Timeout: {round(TIMEOUT_S * 1000)}m\r\n\r\n"
        )
        self.writer.write(head.encode())
        response = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = next(int(field[15:]) for field in response.split(b"\r\n") if field.startswith(b"content-length:"))
        await self.reader.readexactly(length)
        return response[9:12] == b"200", b"connection: close" not in response


async def _open_loop_load(host: str, port: int, rate: float, seconds: float, seed: int, first: int) -> LatencyResult:
    """Sends calls at random intervals, independently of their answers, and returns their latencies."""
    loop = asyncio.get_running_loop()
    random = Random(seed)
    idle: list[_ClientConnection] = []  # connections are removed while in use
    latencies: list[float] = []
    failed = 0

    async def make_call(number: int, intended: float) -> None:
        nonlocal failed
        succeeded = False
        try:
            async with asyncio.timeout(2 * TIMEOUT_S):
                connection = idle.pop() if idle else _ClientConnection(*await asyncio.open_connection(host, port))
                succeeded, reusable = await connection.call(number)
                if reusable:
                    idle.append(connection)
                else:
                    connection.writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, StopIteration):
            pass
        latencies.append((loop.time() - intended) * 1e6)
        failed += not succeeded

    tasks: list[asyncio.Task[None]] = []
    intended, number, end = loop.time() + 0.05, first, loop.time() + seconds
    while intended < end:
        await asyncio.sleep(max(0.0, intended - loop.time()))
        tasks.append(loop.create_task(make_call(number, intended)))
        number += 1
        intended += random.expovariate(rate)
    await asyncio.gather(*tasks)
    for connection in idle:
        connection.writer.close()
    latencies.sort()
    return LatencyResult(
        latencies[len(latencies) // 2],
        latencies[min(len(latencies) - 1, int(0.99 * len(latencies)))],
        len(latencies),
        failed,
    )


async def _warm_up(host: str, port: int, first: int) -> None:
    """Makes calls one after another until WARM_CALLS in a row succeeded. Concurrent calls would fail while the proxies
    know no call durations yet, and the breakers of thirty levels would then stay open for long. Raises ProcessError.
    """
    successes = 0
    for number in range(first, first + 20 * WARM_CALLS):
        try:
            async with asyncio.timeout(TIMEOUT_S):
                connection = _ClientConnection(*await asyncio.open_connection(host, port))
                succeeded, _ = await connection.call(number)
                connection.writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, StopIteration):
            succeeded = False
        successes = successes + 1 if succeeded else 0
        if successes == WARM_CALLS:
            return
    raise ProcessError(f"the proxy did not answer {WARM_CALLS} calls in a row with 200")


def load(host: str, port: int, seed: int, rate: float = CALLS_A_SECOND, seconds: float = ROUND_S) -> LatencyResult:
    """Runs an open-loop load and returns its latencies."""
    return asyncio.run(_open_loop_load(host, port, rate, seconds, seed, 1 + seed * 1_000_000))


class TooManyFailuresError(ProcessError):
    """Too many calls failed in each round; `share` is the failed fraction of all calls."""

    def __init__(self, rounds: list[LatencyResult]) -> None:
        super().__init__("; ".join(f"{result.failed} of {result.calls} calls failed" for result in rounds))
        self.share = sum(result.failed for result in rounds) / sum(result.calls for result in rounds)


class AddedLatency(NamedTuple):
    """The latency that proxies add at the median and at the 99th percentile, in us, as medians over the rounds. `bare`
    and `through` are the latencies without and with proxies, with the calls of all rounds. `cpu` is the processor
    time of one proxy for a call, in us.
    """

    p50: float
    p99: float
    bare: LatencyResult
    through: LatencyResult
    cpu: float


def _compare_rounds(
    run_without: Callable[[int], LatencyResult],
    run_through: Callable[[int], LatencyResult],
    proxy_cpu_us: Callable[[], float],
    seed: int,
    rounds: int,
) -> AddedLatency:
    """Returns the medians over the rounds; the processor time is the mean over all rounds. Rounds in which more than 1
    in 100 calls failed are ignored. Raises TooManyFailuresError if no round is left.
    """
    cpu_before = proxy_cpu_us()
    results = [(run_without(seed + 2 * number), run_through(seed + 2 * number + 1)) for number in range(rounds)]
    cpu_us_a_call = (proxy_cpu_us() - cpu_before) / sum(through.calls for _, through in results)
    valid = [pair for pair in results if all(100 * result.failed <= result.calls for result in pair)]
    if not valid:
        raise TooManyFailuresError([through for _, through in results])
    return AddedLatency(
        median(through.p50 - without.p50 for without, through in valid),
        median(through.p99 - without.p99 for without, through in valid),
        _medians([without for without, _ in valid]),
        _medians([through for _, through in valid]),
        cpu_us_a_call,
    )


def _medians(rounds: list[LatencyResult]) -> LatencyResult:
    """Returns the medians of the latencies of several rounds, and the sums of their calls."""
    return LatencyResult(
        median(result.p50 for result in rounds),
        median(result.p99 for result in rounds),
        sum(result.calls for result in rounds),
        sum(result.failed for result in rounds),
    )


def added_by_one_proxy(
    listed: int, group: int, seed: int, changes: float = 0.0, round_s: float = ROUND_S, rounds: int = ROUNDS
) -> AddedLatency:
    """Measures one proxy in front of one service, whose address all backends on the list have."""
    with stand_in_services() as stand_ins:
        service = stand_ins.send(do="open", services=1)["ports"][0]
        address = f"127.0.0.1:{service}"
        discovery = stand_ins.send(do="discovery", entries=listed, address=address, changes=changes)["port"]
        with proxy(listed, group, discovery, address) as running:
            asyncio.run(_open_loop_load(HOST, running.port, CALLS_A_SECOND, round_s / 2, seed, 1))
            return _compare_rounds(
                lambda round_seed: load(SERVICE_HOST, service, round_seed, seconds=round_s),
                lambda round_seed: load(HOST, running.port, round_seed, seconds=round_s),
                running.loop_cpu_us,
                seed + 1,
                rounds,
            )


@contextmanager
def running_chain(
    depth: int, listed: int, group: int, changes: float = 0.0, max_attempts: int = 3
) -> Iterator[tuple[int, list[ProxyUnderTest]]]:
    """Runs two chains of `depth` services: in one each service calls the next directly, in the other through a proxy.
    Returns the port of the first service of the direct chain, and the proxies. The proxies are warmed up from the
    end of the chain, since none of them knows any call duration at its start.
    """
    with ExitStack() as stack:
        stand_ins = stack.enter_context(stand_in_services())
        direct_ports = stand_ins.send(do="open", services=depth)["ports"]
        ports = stand_ins.send(do="open", services=depth)["ports"]
        proxies: list[ProxyUnderTest] = []
        for port in ports:
            address = f"{SERVICE_HOST}:{port}"
            discovery = stand_ins.send(do="discovery", entries=listed, address=address, changes=changes)["port"]
            proxies.append(stack.enter_context(proxy(listed, group, discovery, address, max_attempts=max_attempts)))
        next_hops = (
            [(SERVICE_HOST, port) for port in direct_ports[1:]],
            [(HOST, running.port) for running in proxies[1:]],
        )
        stand_ins.send(do="forwards", to=[*next_hops[0], None, *next_hops[1], None])
        for level in reversed(range(depth)):
            asyncio.run(_warm_up(HOST, proxies[level].port, 10_000_000 * (level + 1)))
        yield direct_ports[0], proxies


def added_by_chain(
    depth: int,
    listed: int,
    group: int,
    seed: int,
    changes: float = 0.0,
    round_s: float = CHAIN_ROUND_S,
    rounds: int = ROUNDS,
    rate: float = CHAIN_CALLS_A_SECOND,
    max_attempts: int = 3,
) -> AddedLatency:
    """Compares a chain of services with proxies, each of which makes at most `max_attempts` attempts, with the same
    chain without proxies.
    """
    with running_chain(depth, listed, group, changes, max_attempts) as (direct_port, proxies):
        return _compare_rounds(
            lambda round_seed: load(SERVICE_HOST, direct_port, round_seed, rate, round_s),
            lambda round_seed: load(HOST, proxies[0].port, round_seed, rate, round_s),
            proxies[-1].loop_cpu_us,
            seed + 1,
            rounds,
        )


async def _cpu_by_call(host: str, port: int, running: ProxyUnderTest, seed: int, calls: int) -> list[float]:
    """Returns the sorted processor times of one proxy for `calls` calls, one at a time, in us, without the processor
    time that the proxy uses at rest.
    """
    loop = asyncio.get_running_loop()
    before, started = running.loop_cpu_us(), loop.time()
    await asyncio.sleep(IDLE_S)
    idle = (running.loop_cpu_us() - before) / (loop.time() - started)
    # Opened only now, since the proxy closes a connection that is idle for that long.
    connection = _ClientConnection(*await asyncio.open_connection(host, port))
    cpu_times = []
    for number in range(calls):
        before, started = running.loop_cpu_us(), loop.time()
        try:
            succeeded, reusable = await connection.call(1 + seed * 1_000_000 + number)
        except (OSError, asyncio.IncompleteReadError) as error:
            last_lines = (running.folder / "log").read_text(errors="replace").splitlines()[-3:]
            raise ProcessError(
                f"single call {number}: {error!r}; the last lines of the proxy's log: {last_lines}"
            ) from None
        if not succeeded:
            raise ProcessError(f"single call {number} was not answered with 200")
        await asyncio.sleep(SETTLE_S)  # work of the proxy after its answer counts as part of the call
        cpu_times.append(running.loop_cpu_us() - before - idle * (loop.time() - started))
        if not reusable:
            connection.writer.close()
            connection = _ClientConnection(*await asyncio.open_connection(host, port))
    connection.writer.close()
    return sorted(cpu_times)


def cpu_of_single_calls(percentile: str, calls: int = 400) -> Callable[[int, int], float]:
    """Returns a measurement of the `p50` or `p99` of the processor times of calls made one by one, by the size of the
    list. Other load on the machine affects it only through shared caches, while it affects the latency directly.
    """

    def measure(listed: int, seed: int) -> float:
        if (listed, seed) not in _CPU_TIMES:
            with stand_in_services() as stand_ins:
                service = stand_ins.send(do="open", services=1)["ports"][0]
                address = f"127.0.0.1:{service}"
                discovery = stand_ins.send(do="discovery", entries=listed, address=address, changes=0)["port"]
                with proxy(listed, 1_000, discovery, address) as running:
                    asyncio.run(_cpu_by_call(HOST, running.port, running, 1, 50))
                    _CPU_TIMES[listed, seed] = asyncio.run(_cpu_by_call(HOST, running.port, running, 2, calls))
        cpu_times = _CPU_TIMES[listed, seed]
        return cpu_times[int(len(cpu_times) * (0.99 if percentile == "p99" else 0.5))]

    return measure


# One run gives two values. The cache holds one entry for each size and seed measured.
_CPU_TIMES: dict[tuple[int, int], list[float]] = {}
# One run gives several values. The cache holds one entry for each size and seed measured.
_ADDED_LATENCIES: dict[tuple[int, int, float, int], AddedLatency] = {}


def added_latency(group: int, field: str = "p99", changes: float = 0.0) -> Callable[[int, int], float]:
    """Returns a measurement of a field of `AddedLatency` for one proxy, by the size of the list."""

    def measure(listed: int, seed: int) -> float:
        key = listed, group, changes, seed
        if key not in _ADDED_LATENCIES:
            _ADDED_LATENCIES[key] = added_by_one_proxy(listed, group, seed, changes)
        return float(getattr(_ADDED_LATENCIES[key], field))

    return measure
