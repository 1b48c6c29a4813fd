"""Measurements within this process, without sockets: decisions, the endpoint list, the subset of it that a proxy
connects to (its arc), and the configuration file.
"""

from __future__ import annotations

import json
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator
from gc import collect
from random import Random
from time import process_time
from typing import Any

from pepperusher.capacity import fixtures
from pepperusher.capacity.fixtures import SECOND
from pepperusher.changes.active_configuration import ActiveConfiguration
from pepperusher.facade import SEND, Facade
from pepperusher.settings import read_settings
from pepperusher.net.backends import Backends
from pepperusher.net.budget import Budget
from pepperusher.net.buffers import Pool
from pepperusher.net.discovery import Discovery
from pepperusher.net.endpoint_update import parse_endpoint_update
from pepperusher.net.log import Log
from pepperusher.net.request_events import RequestEvents
from pepperusher.configuration import loader
from pepperusher.policy import Balancer
from pepperusher.terms import Backend, Listing

NOW = 1_700_000_000 * SECOND
# How long a backend takes for a call, and the time from one call to the next.
CALL_US, CALL_INTERVAL_US = 5_000, 14_000
# Each value is measured over at least this much processor time: a single decision is too short for the clock.
MIN_CPU_US = 60_000
GROUP_SIZE = 1_000


def discard_line(_: str) -> None:
    """Discards the log lines of the code under measurement."""


class QuietLog(Log):
    """A log that discards everything."""

    def say(self, line: str, figures: dict[str, Any] | None = None) -> None:
        pass


def cpu_us_per_call(call: Callable[[], None], min_cpu_us: int = MIN_CPU_US) -> float:
    """Returns the mean processor time of one call in us, over as many calls as take `min_cpu_us`."""
    turns, started = 0, process_time()
    while True:
        call()
        turns += 1
        spent = (process_time() - started) * 1e6
        if spent >= min_cpu_us:
            return spent / turns


def allocated_bytes(create: Callable[[], object]) -> float:
    """Returns the bytes that stay allocated while the object that `create` returns is in use."""
    collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        created = create()
        collect()
        after = tracemalloc.get_traced_memory()[0]
        assert created is not None
        return float(after - before)
    finally:
        tracemalloc.stop()


def facade_of_size(size: int, group: int, seed: int, ordinal: int = 0, zones: list[str] | None = None) -> Facade:
    """Returns a facade with `size` backends on its endpoint list."""
    facade = Facade(fixtures.policy_settings(group, seed, ordinal, zones=zones), NOW, discard_line)
    facade.update_endpoints(parse_endpoint_update(fixtures.endpoint_list(size, zones)).entries, True, NOW)
    return facade


def new_watch(group: int, seed: int, zones: list[str] | None = None) -> Discovery:
    """Returns a discovery watch with the facade and backends behind it, but without sockets."""
    facade = Facade(fixtures.policy_settings(group, seed, zones=zones), NOW, discard_line)
    backends = Backends(Budget(1024), Pool(16, 1 << 20), SECOND, 60 * SECOND, RequestEvents(Log("watch")))
    return Discovery(("127.0.0.1", 1), facade, backends, QuietLog("measured"))


# --- a decision -----------------------------------------------------------------------------------


def repeat_calls(facade: Facade) -> Iterator[int]:
    """Runs one call for each value requested: opens its ticket, chooses a backend, reports the outcome and closes the
    ticket.
    """
    now = NOW
    while True:
        now += CALL_INTERVAL_US
        ticket = facade.open_ticket("use-0", "", now, SECOND, 0)
        step = facade.choose_backend(ticket, now)
        if step.action == SEND:
            facade.report(ticket, "done", now + CALL_US)
        facade.close_ticket(ticket, now + CALL_US)
        yield now


def decision(group: int, zones: list[str] | None = None) -> Callable[[int, int], float]:
    """Returns a measurement of the processor time of one call, by the size of the endpoint list."""

    def measure(size: int, seed: int) -> float:
        turns = repeat_calls(facade_of_size(size, group, seed, zones=zones))
        for _ in range(40):
            next(turns)
        return cpu_us_per_call(lambda: next(turns) and None)

    return measure


# --- the list -------------------------------------------------------------------------------------


def list_bytes(size: int, _: int) -> float:
    """Returns the bytes of a full endpoint list as discovery sends it."""
    return float(len(fixtures.json_line(fixtures.endpoint_list(size, fixtures.ZONES))))


def list_parse(size: int, _: int) -> float:
    """Measures how long a full endpoint list takes to parse."""
    text = fixtures.json_line(fixtures.endpoint_list(size, fixtures.ZONES))
    return cpu_us_per_call(lambda: parse_endpoint_update(json.loads(text.decode())) and None)


def list_take(size: int, seed: int, min_cpu_us: int = MIN_CPU_US) -> float:
    """Measures a watch that applies its first list. Each turn has a new watch, since applying the same list again takes
    less than half the time.
    """
    update = parse_endpoint_update(fixtures.endpoint_list(size))
    turns, spent = 0, 0.0
    while spent < min_cpu_us:
        watch = new_watch(GROUP_SIZE, seed)  # neither this nor the destruction of the previous watch is timed
        started = process_time()
        watch.apply_update(update)
        spent += (process_time() - started) * 1e6
        turns += 1
    return spent / turns


def list_change(size: int, seed: int) -> float:
    """Measures an update that drains one backend and one that makes it ready again, each parsed and applied; returns
    the mean of both.
    """
    watch = new_watch(GROUP_SIZE, seed)
    watch.apply_update(parse_endpoint_update(fixtures.endpoint_list(size)))
    texts = [fixtures.json_line(fixtures.change(size, size // 2, state, 2)) for state in ("draining", "ready")]

    def apply_both() -> None:
        for text in texts:
            watch.apply_update(parse_endpoint_update(json.loads(text.decode())))

    return cpu_us_per_call(apply_both) / 2


def list_memory(size: int, seed: int) -> float:
    """Returns the bytes that a watch and the decisions hold for an endpoint list."""

    def create() -> object:
        watch = new_watch(GROUP_SIZE, seed)
        watch.apply_update(parse_endpoint_update(json.loads(fixtures.json_line(fixtures.endpoint_list(size)))))
        return watch

    return allocated_bytes(create)


# --- arcs: the backends that a proxy connects to -------------------------------------------------------------------


def preferred_backends(backends: int, callers: int, ordinal: int, zones: list[str] | None) -> list[str]:
    """Returns the addresses of the backends that the proxy with this ordinal normally sends to."""
    balancer = Balancer(fixtures.policy_settings(callers, 0, ordinal, zones=zones), NOW, discard_line)
    update = parse_endpoint_update(fixtures.endpoint_list(backends, zones))
    balancer.update_endpoints(
        [Listing(Backend(entry.id), entry.zone, entry.cell, entry.weight, 0, True) for entry in update.entries],
        True,
        NOW,
    )
    return [entry.address for entry in balancer._backends if entry.in_subset]


def connections_by_callers(
    backends: int, zones: list[str] | None = None, sampled: int = 400
) -> Callable[[int, int], float]:
    """Measures the connections of the backend with the most connections, by the number of proxies that call its
    service. Of more than `sampled` proxies a random sample is computed and scaled up."""

    def measure(callers: int, seed: int) -> float:
        ordinals = Random(seed).sample(range(callers), min(callers, sampled))
        connections = Counter(
            name for ordinal in ordinals for name in preferred_backends(backends, callers, ordinal, zones)
        )
        return max(connections.values()) * callers / len(ordinals)

    return measure


def arc_by_callers(backends: int, zones: list[str] | None = None) -> Callable[[int, int], float]:
    """Measures the backends of one service that a proxy connects to, by the number of proxies that call the service."""

    def measure(callers: int, seed: int) -> float:
        ordinals = Random(seed).sample(range(callers), min(callers, 40))
        return sum(len(preferred_backends(backends, callers, ordinal, zones)) for ordinal in ordinals) / len(ordinals)

    return measure


def arc_by_list(callers: int, zones: list[str] | None = None) -> Callable[[int, int], float]:
    """Measures the backends that a proxy connects to, by the length of its endpoint list."""

    def measure(backends: int, seed: int) -> float:
        ordinals = Random(seed).sample(range(callers), min(callers, 20))
        return sum(len(preferred_backends(backends, callers, ordinal, zones)) for ordinal in ordinals) / len(ordinals)

    return measure


# --- the configuration file and the settings -----------------------------------------------------------------


def config_bytes(routes: int, _: int) -> float:
    """Returns the bytes of a configuration file."""
    return float(len(fixtures.configuration_file(routes).encode()))


def config_check(routes: int, seed: int) -> float:
    """Measures how long a configuration file takes to parse and validate."""
    text, settings = fixtures.configuration_file(routes), fixtures.policy_settings(GROUP_SIZE, seed)
    return cpu_us_per_call(lambda: loader.parse(text, policy_settings=settings) and None)


def config_take(routes: int, seed: int) -> float:
    """Measures how long a validated configuration takes to become the active one, switching between two of them."""
    settings = fixtures.policy_settings(GROUP_SIZE, seed)
    first, second = (
        loader.parse(fixtures.configuration_file(routes, min_tickets), policy_settings=settings)
        for min_tickets in (30, 31)
    )
    active = ActiveConfiguration(first, NOW, lambda _: None, lambda *_, **__: None)
    configurations = [second, first]
    now = NOW

    def switch() -> None:
        nonlocal now
        now += SECOND
        configurations.reverse()
        active._enter(configurations[0], now)

    return cpu_us_per_call(switch)


def settings_take(use_cases: int, seed: int) -> float:
    """Measures a change of the settings with 1,000 backends listed."""
    facade = facade_of_size(1000, GROUP_SIZE, seed)
    changed_settings = fixtures.settings(GROUP_SIZE, use_cases=use_cases)
    return cpu_us_per_call(lambda: facade.reconfigure(read_settings(changed_settings, seed), NOW))
