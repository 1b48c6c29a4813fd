"""Time that proxies add to a call: open loop, each latency from the intended moment of sending, against the
same services without proxies. Figures of a machine that others share are worth what the load beside them
says.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from statistics import median
from typing import NamedTuple

from pepperusher.capacity.processes import HOST, ProcessError, ProxyUnderTest, proxy, standins

# Calls a second of one proxy at the target: 360,000 over 5,000.
RATE = 72.0
LASTS = 6.0
# Without and with proxies in turn, so often; the medians over the rounds count. More where calls are to be
# enough for a 99th.
ROUNDS = 2
# Along a chain a third of that, and for longer: thirty proxies and their services then fit two cores.
CHAIN_RATE, CHAIN_LASTS = 24.0, 10.0
# One by one: a span without calls, and after each answer.
IDLE, SETTLES = 2.0, 0.004
WITHIN = 10.0
IN_A_ROW = 8
BARE = "127.0.0.1"  # where stand-in services listen


class LatencyResult(NamedTuple):
    """Latencies in us: the middle and the 99th of 100; calls, and those that were not answered 200."""

    p50: float
    p99: float
    calls: int
    failed: int


class _Line:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, number: int) -> tuple[bool, bool]:
        """Whether it was answered 200, and whether the connection can be used again."""
        head = (
            f"GET /use-0/page HTTP/1.1\r\nHost: service\r\nRequest-Id: {number}\r\nRequest-Class: use-0\r\n"
            f"Request-Timeout: {round(WITHIN * 1000)}m\r\n\r\n"
        )
        self.writer.write(head.encode())
        told = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        length = next(int(one[15:]) for one in told.split(b"\r\n") if one.startswith(b"content-length:"))
        await self.reader.readexactly(length)
        return told[9:12] == b"200", b"connection: close" not in told


async def _load(host: str, port: int, rate: float, lasts: float, seed: int, first: int) -> LatencyResult:
    loop = asyncio.get_running_loop()
    chance = Random(seed)
    idle: list[_Line] = []  # emptied by use
    took: list[float] = []
    failed = 0

    async def one(number: int, at: float) -> None:
        nonlocal failed
        good = False
        try:
            async with asyncio.timeout(2 * WITHIN):
                line = idle.pop() if idle else _Line(*await asyncio.open_connection(host, port))
                good, again = await line.ask(number)
                if again:
                    idle.append(line)
                else:
                    line.writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, StopIteration):
            pass
        took.append((loop.time() - at) * 1e6)
        failed += not good

    tasks: list[asyncio.Task[None]] = []
    at, number, end = loop.time() + 0.05, first, loop.time() + lasts
    while at < end:
        await asyncio.sleep(max(0.0, at - loop.time()))
        tasks.append(loop.create_task(one(number, at)))
        number += 1
        at += chance.expovariate(rate)
    await asyncio.gather(*tasks)
    for line in idle:
        line.writer.close()
    took.sort()
    return LatencyResult(took[len(took) // 2], took[min(len(took) - 1, int(0.99 * len(took)))], len(took), failed)


async def _warmed(host: str, port: int, first: int) -> None:
    """One call after another until so many in a row were answered: of several at once some fail where
    nothing is known, and the breakers of thirty levels are open for long after. Raises ProcessError.
    """
    row = 0
    for number in range(first, first + 20 * IN_A_ROW):
        try:
            async with asyncio.timeout(WITHIN):
                line = _Line(*await asyncio.open_connection(host, port))
                good, _ = await line.ask(number)
                line.writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, StopIteration):
            good = False
        row = row + 1 if good else 0
        if row == IN_A_ROW:
            return
    raise ProcessError(f"no {IN_A_ROW} calls in a row were answered")


def load(host: str, port: int, seed: int, rate: float = RATE, lasts: float = LASTS) -> LatencyResult:
    return asyncio.run(_load(host, port, rate, lasts, seed, 1 + seed * 1_000_000))


class Failing(ProcessError):
    """Too many calls failed in each round; `share` of all."""

    def __init__(self, rounds: list[LatencyResult]) -> None:
        super().__init__("; ".join(f"{one.failed} of {one.calls} calls failed" for one in rounds))
        self.share = sum(one.failed for one in rounds) / sum(one.calls for one in rounds)


class AddedLatency(NamedTuple):
    """us that the proxies add: at the middle and at the 99th of 100, medians over the rounds, with what the
    calls took beside them; calls are of all rounds. `cpu` is what one of the proxies spent for a call, in us.
    """

    p50: float
    p99: float
    bare: LatencyResult
    through: LatencyResult
    cpu: float


def _rounds(
    without: Callable[[int], LatencyResult],
    through: Callable[[int], LatencyResult],
    cpu: Callable[[], float],
    seed: int,
    rounds: int,
) -> AddedLatency:
    """Medians over several rounds; the processor time is of all. A round in which more than 1 in 100 failed
    does not count. Raises ProcessError where none does.
    """
    before = cpu()
    made = [(without(seed + 2 * place), through(seed + 2 * place + 1)) for place in range(rounds)]
    spent = (cpu() - before) / sum(two.calls for _, two in made)
    sound = [one for one in made if all(100 * told.failed <= told.calls for told in one)]
    if not sound:
        raise Failing([two for _, two in made])
    return AddedLatency(
        median(two.p50 - one.p50 for one, two in sound),
        median(two.p99 - one.p99 for one, two in sound),
        _over([one for one, _ in sound]),
        _over([two for _, two in sound]),
        spent,
    )


def _over(rounds: list[LatencyResult]) -> LatencyResult:
    """The medians of several rounds, and all their calls."""
    return LatencyResult(
        median(one.p50 for one in rounds),
        median(one.p99 for one in rounds),
        sum(one.calls for one in rounds),
        sum(one.failed for one in rounds),
    )


def through_one(
    listed: int, group: int, seed: int, changes: float = 0.0, lasts: float = LASTS, rounds: int = ROUNDS
) -> AddedLatency:
    """One proxy before one service that stands for all on its list."""
    with standins() as others:
        service = others.do(do="open", services=1)["ports"][0]
        address = f"127.0.0.1:{service}"
        discovery = others.do(do="discovery", entries=listed, address=address, changes=changes)["port"]
        with proxy(listed, group, discovery, address) as one:
            asyncio.run(_load(HOST, one.port, RATE, lasts / 2, seed, 1))
            return _rounds(
                lambda place: load(BARE, service, place, lasts=lasts),
                lambda place: load(HOST, one.port, place, lasts=lasts),
                one.spent,
                seed + 1,
                rounds,
            )


@contextmanager
def chain(
    depth: int, listed: int, group: int, changes: float = 0.0, most: int = 3
) -> Iterator[tuple[int, list[ProxyUnderTest]]]:
    """`depth` services twice: each calling the next, from the port that is given; and each calling the next
    through a proxy of its own, from the first of these proxies. They are warmed from the chain's end, since
    none of them knows yet how long a call takes.
    """
    with ExitStack() as held:
        others = held.enter_context(standins())
        bare = others.do(do="open", services=depth)["ports"]
        ports = others.do(do="open", services=depth)["ports"]
        proxies: list[ProxyUnderTest] = []
        for port in ports:
            address = f"{BARE}:{port}"
            discovery = others.do(do="discovery", entries=listed, address=address, changes=changes)["port"]
            proxies.append(held.enter_context(proxy(listed, group, discovery, address, most=most)))
        to = [(BARE, port) for port in bare[1:]], [(HOST, one.port) for one in proxies[1:]]
        others.do(do="forwards", to=[*to[0], None, *to[1], None])
        for place in reversed(range(depth)):
            asyncio.run(_warmed(HOST, proxies[place].port, 10_000_000 * (place + 1)))
        yield bare[0], proxies


def through_chain(
    depth: int,
    listed: int,
    group: int,
    seed: int,
    changes: float = 0.0,
    lasts: float = CHAIN_LASTS,
    rounds: int = ROUNDS,
    rate: float = CHAIN_RATE,
    most: int = 3,
) -> AddedLatency:
    """A chain of services with proxies against the same with none; each proxy makes `most` attempts."""
    with chain(depth, listed, group, changes, most) as (bare, proxies):
        return _rounds(
            lambda place: load(BARE, bare, place, rate, lasts),
            lambda place: load(HOST, proxies[0].port, place, rate, lasts),
            proxies[-1].spent,
            seed + 1,
            rounds,
        )


async def _one_by_one(host: str, port: int, one: ProxyUnderTest, seed: int, calls: int) -> list[float]:
    """Processor time of one proxy for each of so many calls, in us, each alone in it and without what passing
    time costs.
    """
    loop = asyncio.get_running_loop()
    before, began = one.spent(), loop.time()
    await asyncio.sleep(IDLE)
    idle = (one.spent() - before) / (loop.time() - began)
    # Only now: one that says nothing for so long is closed by the proxy.
    line = _Line(*await asyncio.open_connection(host, port))
    took = []
    for number in range(calls):
        before, began = one.spent(), loop.time()
        try:
            good, again = await line.ask(1 + seed * 1_000_000 + number)
        except (OSError, asyncio.IncompleteReadError) as error:
            said = (one.folder / "log").read_text(errors="replace").splitlines()[-3:]
            raise ProcessError(f"call {number} alone: {error!r}; the proxy's last lines: {said}") from None
        if not good:
            raise ProcessError(f"call {number} alone was not answered with 200")
        await asyncio.sleep(SETTLES)  # what the proxy does behind its answer is a part of the call
        took.append(one.spent() - before - idle * (loop.time() - began))
        if not again:
            line.writer.close()
            line = _Line(*await asyncio.open_connection(host, port))
    line.writer.close()
    return sorted(took)


def processor(which: str, calls: int = 400) -> Callable[[int, int], float]:
    """Of the processor times of calls one by one, by the list's size: `p50` or `p99`. What others on the
    machine do lengthens a call and not this, but for caches that are shared.
    """

    def at(listed: int, seed: int) -> float:
        if (listed, seed) not in _ALONE:
            with standins() as others:
                service = others.do(do="open", services=1)["ports"][0]
                address = f"127.0.0.1:{service}"
                discovery = others.do(do="discovery", entries=listed, address=address, changes=0)["port"]
                with proxy(listed, 1_000, discovery, address) as one:
                    asyncio.run(_one_by_one(HOST, one.port, one, 1, 50))
                    _ALONE[listed, seed] = asyncio.run(_one_by_one(HOST, one.port, one, 2, calls))
        took = _ALONE[listed, seed]
        return took[int(len(took) * (0.99 if which == "p99" else 0.5))]

    return at


# one play gives two figures; as many as sizes are measured
_ALONE: dict[tuple[int, int], list[float]] = {}
# one play gives several figures; as many as sizes are measured
_ADDED: dict[tuple[int, int, float, int], AddedLatency] = {}


def added(group: int, which: str = "p99", changes: float = 0.0) -> Callable[[int, int], float]:
    def at(listed: int, seed: int) -> float:
        key = listed, group, changes, seed
        if key not in _ADDED:
            _ADDED[key] = through_one(listed, group, seed, changes)
        return float(getattr(_ADDED[key], which))

    return at
