"""Measured in this process: decisions, the list, the arcs that proxies take of it, and the own file. No
sockets.
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
from pepperusher.configuration import loader
from pepperusher.policy import Balancer
from pepperusher.terms import Backend, Listing

NOW = 1_700_000_000 * SECOND
# A call's time at its backend, and between two calls.
TAKES, BETWEEN = 5_000, 14_000
# So much processor time at the least for one figure, in us: a single decision is too short for the clock.
ENOUGH = 60_000
GROUP = 1_000


def discard_line(_: str) -> None:
    """Whatever is said while it is measured."""


class QuietLog(Log):
    def say(self, line: str, figures: dict[str, Any] | None = None) -> None:
        pass


def cost(does: Callable[[], None], enough: int = ENOUGH) -> float:
    """Processor time of one turn, in us, over as many turns as take `enough`."""
    turns, began = 0, process_time()
    while True:
        does()
        turns += 1
        spent = (process_time() - began) * 1e6
        if spent >= enough:
            return spent / turns


def allocated_bytes(makes: Callable[[], object]) -> float:
    """Bytes that stay allocated with what `makes` gives."""
    collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = makes()
        collect()
        after = tracemalloc.get_traced_memory()[0]
        assert made is not None
        return float(after - before)
    finally:
        tracemalloc.stop()


def facade_with(size: int, group: int, seed: int, ordinal: int = 0, zones: list[str] | None = None) -> Facade:
    facade = Facade(fixtures.policy_settings(group, seed, ordinal, zones=zones), NOW, discard_line)
    facade.update_endpoints(parse_endpoint_update(fixtures.endpoint_list(size, zones)).entries, True, NOW)
    return facade


def watch_of(group: int, seed: int, zones: list[str] | None = None) -> Discovery:
    """The watch on the list with all behind it but the sockets."""
    facade = Facade(fixtures.policy_settings(group, seed, zones=zones), NOW, discard_line)
    backends = Backends(Budget(1024), Pool(16, 1 << 20), SECOND, 60 * SECOND)
    return Discovery(("127.0.0.1", 1), facade, backends, QuietLog("measured"))


# --- a decision -----------------------------------------------------------------------------------


def calls(facade: Facade) -> Iterator[int]:
    """One call a turn, taken, picked, reported and settled."""
    now = NOW
    while True:
        now += BETWEEN
        ticket = facade.open_ticket("use-0", "", now, SECOND, 0)
        step = facade.choose_backend(ticket, now)
        if step.action == SEND:
            facade.report(ticket, "done", now + TAKES)
        facade.close_ticket(ticket, now + TAKES)
        yield now


def decision(group: int, zones: list[str] | None = None) -> Callable[[int, int], float]:
    def at(size: int, seed: int) -> float:
        turns = calls(facade_with(size, group, seed, zones=zones))
        for _ in range(40):
            next(turns)
        return cost(lambda: next(turns) and None)

    return at


# --- the list -------------------------------------------------------------------------------------


def list_bytes(size: int, _: int) -> float:
    return float(len(fixtures.json_line(fixtures.endpoint_list(size, fixtures.ZONES))))


def list_parse(size: int, _: int) -> float:
    text = fixtures.json_line(fixtures.endpoint_list(size, fixtures.ZONES))
    return cost(lambda: parse_endpoint_update(json.loads(text.decode())) and None)


def list_take(size: int, seed: int, enough: int = ENOUGH) -> float:
    """By a watch that has none yet: the same list once more takes under half of that."""
    update = parse_endpoint_update(fixtures.endpoint_list(size))
    turns, spent = 0, 0.0
    while spent < enough:
        watch = watch_of(GROUP, seed)  # not timed, nor is the end of the one before
        began = process_time()
        watch.apply_update(update)
        spent += (process_time() - began) * 1e6
        turns += 1
    return spent / turns


def list_change(size: int, seed: int) -> float:
    """One backend that drains, and one that is ready again: the mean of the two lines, parsed and taken
    in.
    """
    watch = watch_of(GROUP, seed)
    watch.apply_update(parse_endpoint_update(fixtures.endpoint_list(size)))
    texts = [fixtures.json_line(fixtures.change(size, size // 2, state, 2)) for state in ("draining", "ready")]

    def both() -> None:
        for text in texts:
            watch.apply_update(parse_endpoint_update(json.loads(text.decode())))

    return cost(both) / 2


def list_memory(size: int, seed: int) -> float:
    def makes() -> object:
        watch = watch_of(GROUP, seed)
        watch.apply_update(parse_endpoint_update(json.loads(fixtures.json_line(fixtures.endpoint_list(size)))))
        return watch

    return allocated_bytes(makes)


# --- arcs: who connects to whom -------------------------------------------------------------------


def near_of(backends: int, callers: int, ordinal: int, zones: list[str] | None) -> list[str]:
    """The backends that the proxy at that place sends to as a rule."""
    balancer = Balancer(fixtures.policy_settings(callers, 0, ordinal, zones=zones), NOW, discard_line)
    told = parse_endpoint_update(fixtures.endpoint_list(backends, zones))
    balancer.update_endpoints(
        [Listing(Backend(one.id), one.zone, one.cell, one.weight, 0, True) for one in told.entries], True, NOW
    )
    return [one.address for one in balancer._backends if one.in_subset]


def callers_at(backends: int, zones: list[str] | None = None, sampled: int = 400) -> Callable[[int, int], float]:
    """Proxies that keep a connection to the backend that has most, by the number of proxies that call its
    service. Of more than `sampled` proxies so many are laid out and the rest counted like them."""

    def at(callers: int, seed: int) -> float:
        ordinals = Random(seed).sample(range(callers), min(callers, sampled))
        heard = Counter(name for one in ordinals for name in near_of(backends, callers, one, zones))
        return max(heard.values()) * callers / len(ordinals)

    return at


def arc_by_callers(backends: int, zones: list[str] | None = None) -> Callable[[int, int], float]:
    """Backends of one service that a proxy connects to, by how many proxies call it."""

    def at(callers: int, seed: int) -> float:
        ordinals = Random(seed).sample(range(callers), min(callers, 40))
        return sum(len(near_of(backends, callers, one, zones)) for one in ordinals) / len(ordinals)

    return at


def arc_by_list(callers: int, zones: list[str] | None = None) -> Callable[[int, int], float]:
    """Backends that a proxy connects to, by the length of its list."""

    def at(backends: int, seed: int) -> float:
        ordinals = Random(seed).sample(range(callers), min(callers, 20))
        return sum(len(near_of(backends, callers, one, zones)) for one in ordinals) / len(ordinals)

    return at


# --- the own file and the settings -----------------------------------------------------------------


def config_bytes(routes: int, _: int) -> float:
    return float(len(fixtures.own_file(routes).encode()))


def config_check(routes: int, seed: int) -> float:
    text, told = fixtures.own_file(routes), fixtures.policy_settings(GROUP, seed)
    return cost(lambda: loader.parse(text, policy_settings=told) and None)


def config_take(routes: int, seed: int) -> float:
    """From a file that was checked to the version in force, one way and back."""
    told = fixtures.policy_settings(GROUP, seed)
    first, other = (loader.parse(fixtures.own_file(routes, least), policy_settings=told) for least in (30, 31))
    standing = ActiveConfiguration(first, NOW, lambda _: None, lambda *_, **__: None)
    reads = [other, first]
    now = NOW

    def does() -> None:
        nonlocal now
        now += SECOND
        reads.reverse()
        standing._enter(reads[0], now)

    return cost(does)


def settings_take(use_cases: int, seed: int) -> float:
    """Other settings, in force for a list of 1,000."""
    facade = facade_with(1000, GROUP, seed)
    told = fixtures.settings(GROUP, use_cases=use_cases)
    return cost(lambda: facade.reconfigure(read_settings(told, seed), NOW))
