"""Where everything of a scale test stands: services, views, regions, zones, and who is in which process.
Free of I/O."""

from __future__ import annotations

from itertools import accumulate
from random import Random
from typing import Any, NamedTuple

REGIONS = 4
ZONES = 13
# Of 5,000 backends; fewer have fewer services of the same sizes.
SERVICES_AT = (210, 5000)
# Sizes fall with the rank by this power: the mean is 24, the largest some 420 of 5,000.
SKEW = 0.75
# Services that one proxy calls, and lists of them that differ.
CALLS = 5
VIEWS = 42
# Every so many views call the largest service.
LARGEST_IN = 5
# Milliseconds one way: within a zone, within a region, between regions.
WITHIN_ZONE, WITHIN_REGION, BETWEEN = 0.3, 1.0, 30.0

SETTINGS: dict[str, Any] = {
    "group-size": 1000,
    "ordinal": 0,
    "stage": 0,
    "zones": [f"z{one}" for one in range(ZONES)],
    "tiers": ["only"],
    "policy-limits": {
        "cancel": True,
        "connect-timeout": 500.0,
        "keepalive": 10000.0,
        "most-transmissions": 3,
        "retry-after": True,
        "max-retry-after": 1000.0,
    },
    "rules": {
        "ask-within": 10000.0,
        "cold-share": 0.2,
        "warm-after": 5000.0,
        "tip-multiple": 3.0,
        "overload-for": 2000.0,
    },
    "family-info": {"passes-deadline": True},
    "use-cases": [
        {"name": "look", "promised-time": 1000.0, "outer-limit": 2000.0, "importance": 1.0, "effect": "pure"},
        {
            "name": "book",
            "promised-time": 1000.0,
            "outer-limit": 2000.0,
            "importance": 2.0,
            "effect": "token",
            "key-scope": "cell",
            "window": 5000.0,
        },
    ],
}

# Those of a proxy that lacks a use case: a file whose route names it is refused there.
LACKING = {**SETTINGS, "use-cases": SETTINGS["use-cases"][:1]}


class Place(NamedTuple):
    """One proxy's."""

    number: int
    name: str
    zone: int
    region: int
    view: int
    worker: int


class Plan(NamedTuple):
    services: list[list[dict[str, Any]]]  # the rows of each, the largest first
    views: list[list[int]]
    places: list[Place]
    workers: list[int]  # each one's zone

    def region(self, zone: int) -> int:
        return region_of(zone)


def region_of(zone: int) -> int:
    """The zones are dealt to the regions in turn."""
    return zone % REGIONS


def row(service: int, number: int, zone: int, state: str = "ready", turn: int = 0) -> dict[str, Any]:
    """One backend as discovery tells it; `turn` counts those that stood in its place before."""
    return {
        "id": f"s{service}-{number}" + (f".{turn}" if turn else ""),
        "addr": f"10.{service % 200}.{number // 200}.{number % 200 + 1}:80",
        "zone": f"z{zone}",
        "cell": number % 4,
        "weight": 1.0,
        "state": state,
        "started_ms": 0,
    }


def sizes(size: int, services: int) -> list[int]:
    """Of the services, the largest first; together `size`."""
    weights = [(rank + 1) ** -SKEW for rank in range(services)]
    ends = [round(size * end / sum(weights)) for end in accumulate(weights)]
    made = [max(1, end - before) for before, end in zip([0, *ends], ends)]
    made[0] -= sum(made) - size
    return made


def plan(size: int, seed: int, workers_per_zone: int, zones: int = ZONES, views: int = VIEWS) -> Plan:
    chance = Random(seed)
    count = max(CALLS + 1, round(size * SERVICES_AT[0] / SERVICES_AT[1]))
    numbers = iter(range(size))
    services = [
        [row(service, number, next(numbers) % zones) for number in range(many)]
        for service, many in enumerate(sizes(size, count))
    ]
    called = []
    for view in range(views):
        chosen = chance.sample(range(1, count), CALLS - 1 if view % LARGEST_IN == 0 else CALLS)
        called.append(sorted([0, *chosen] if view % LARGEST_IN == 0 else chosen))
    places = [
        Place(
            index,
            f"p{index}",
            index % zones,
            region_of(index % zones),
            chance.randrange(views),
            (index % zones) * workers_per_zone + index // zones % workers_per_zone,
        )
        for index in range(size)
    ]
    return Plan(services, called, places, [one // workers_per_zone for one in range(zones * workers_per_zone)])


TEAMS = 100


def names_of(place: Place, plan: Plan, parts: int = REGIONS) -> list[list[str]]:
    """What it subscribes to: all proxies' configuration, its team's, lists of the services it calls."""
    made = [["config", "common"], ["config", f"t{place.number % TEAMS}"]]
    return made + [["endpoints", list_of(service, parts)] for service in plan.views[place.view]]


def list_of(service: int, parts: int = REGIONS) -> str:
    """The name of its list. Each is a fact of one region; the services are dealt to the regions in turn."""
    return f"r{service % parts}/s{service}"


def lists_of(plan: Plan, parts: int = REGIONS) -> dict[str, list[dict[str, Any]]]:
    """Every list, by name."""
    return {list_of(service, parts): rows for service, rows in enumerate(plan.services)}
