"""The layout of a scale test: services, views, regions and zones, and the process of each proxy. Does no I/O."""

from __future__ import annotations

from itertools import accumulate
from random import Random
from typing import Any, NamedTuple

REGIONS = 4
ZONES = 13
# 210 services for 5,000 backends; smaller tests have proportionally fewer services.
REFERENCE_SERVICES_BACKENDS = (210, 5000)
# Exponent of the power law by which service sizes fall with their rank. With 5,000 backends the mean size is 24
# and the largest about 420.
SIZE_EXPONENT = 0.75
# Number of services that one proxy calls, and number of different sets of services (views).
SERVICES_PER_VIEW = 5
VIEWS = 42
# One view in this many calls the largest service.
LARGEST_INTERVAL = 5
# One-way link delays in ms.
WITHIN_ZONE, WITHIN_REGION, BETWEEN = 0.3, 1.0, 30.0

SETTINGS: dict[str, Any] = {
    "group-size": 1000,
    "ordinal": 0,
    "stage": 0,
    "zones": [f"z{zone}" for zone in range(ZONES)],
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

# Settings of a proxy without the use case "book". It refuses a configuration with a route for that use case.
LACKING = {**SETTINGS, "use-cases": SETTINGS["use-cases"][:1]}


class Place(NamedTuple):
    """The position of one proxy in the layout."""

    number: int
    name: str
    zone: int
    region: int
    view: int
    worker: int


class Plan(NamedTuple):
    services: list[list[dict[str, Any]]]  # the backends of each service, the largest service first
    views: list[list[int]]
    places: list[Place]
    workers: list[int]  # the zone of each worker process

    def region(self, zone: int) -> int:
        return region_of(zone)


def region_of(zone: int) -> int:
    """The zones are assigned to the regions round-robin."""
    return zone % REGIONS


def row(service: int, number: int, zone: int, state: str = "ready", turn: int = 0) -> dict[str, Any]:
    """One backend in the format of discovery; `turn` counts the earlier backends at its address."""
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
    """The sizes of the services, the largest first; their sum is `size`."""
    weights = [(rank + 1) ** -SIZE_EXPONENT for rank in range(services)]
    ends = [round(size * end / sum(weights)) for end in accumulate(weights)]
    counts = [max(1, end - previous_end) for previous_end, end in zip([0, *ends], ends)]
    counts[0] -= sum(counts) - size
    return counts


def plan(size: int, seed: int, workers_per_zone: int, zones: int = ZONES, views: int = VIEWS) -> Plan:
    random = Random(seed)
    service_count = max(
        SERVICES_PER_VIEW + 1, round(size * REFERENCE_SERVICES_BACKENDS[0] / REFERENCE_SERVICES_BACKENDS[1])
    )
    backend_numbers = iter(range(size))
    services = [
        [row(service, number, next(backend_numbers) % zones) for number in range(service_size)]
        for service, service_size in enumerate(sizes(size, service_count))
    ]
    view_services = []
    for view in range(views):
        chosen = random.sample(
            range(1, service_count), SERVICES_PER_VIEW - 1 if view % LARGEST_INTERVAL == 0 else SERVICES_PER_VIEW
        )
        view_services.append(sorted([0, *chosen] if view % LARGEST_INTERVAL == 0 else chosen))
    places = [
        Place(
            index,
            f"p{index}",
            index % zones,
            region_of(index % zones),
            random.randrange(views),
            (index % zones) * workers_per_zone + index // zones % workers_per_zone,
        )
        for index in range(size)
    ]
    return Plan(
        services, view_services, places, [worker // workers_per_zone for worker in range(zones * workers_per_zone)]
    )


TEAMS = 100


def names_of(place: Place, plan: Plan, parts: int = REGIONS) -> list[list[str]]:
    """The subscriptions of a proxy as [kind, name]: the common configuration, that of its team, and the endpoint lists
    of the services that it calls.
    """
    subscriptions = [["config", "common"], ["config", f"t{place.number % TEAMS}"]]
    return subscriptions + [["endpoints", list_of(service, parts)] for service in plan.views[place.view]]


def list_of(service: int, parts: int = REGIONS) -> str:
    """The name of the endpoint list of a service. One region owns each list; the services are assigned to the regions
    round-robin.
    """
    return f"r{service % parts}/s{service}"


def lists_of(plan: Plan, parts: int = REGIONS) -> dict[str, list[dict[str, Any]]]:
    """The backends of every endpoint list, by its name."""
    return {list_of(service, parts): rows for service, rows in enumerate(plan.services)}
