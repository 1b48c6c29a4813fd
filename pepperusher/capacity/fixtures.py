"""Generates endpoint lists, settings and configuration files for measurements. The same size gives the same result.
This module does no I/O.
"""

from __future__ import annotations

import json
from typing import Any

from pepperusher.settings import read_settings
from pepperusher.terms import PolicySettings

SECOND = 1_000_000
ZONES = [f"r{region}z{zone}" for region, zones in enumerate((4, 3, 3, 3)) for zone in range(zones)]
ONE_ZONE = ["r0z0"]


def settings(
    group: int, ordinal: int = 0, use_cases: int = 3, zones: list[str] | None = None, promised_ms: float = 500.0,
    max_attempts: int = 3,
) -> dict[str, Any]:  # fmt: skip
    """Returns the platform's settings object for one of `group` proxies. Calls have a promised time of `promised_ms`
    and time out after four times that.
    """
    zones = zones or ONE_ZONE
    effects = ("pure", "token", "side_effect")
    return {
        "group-size": group,
        "ordinal": ordinal,
        "stage": 0,
        "tiers": ["only"],
        "zone": zones[ordinal % len(zones)],
        "zones": zones,
        "family": "mesh",
        "discovery": "push",
        "use-cases": [
            {
                "name": f"use-{number}",
                "effect": effects[number % 3],
                "key-scope": "cell",
                "window": 5000.0,
                "importance": 1.0 + number % 5,
                "promised-time": promised_ms,
                "outer-limit": 4 * promised_ms,
            }
            for number in range(use_cases)
        ],
        "customers": [],
        "policy-limits": {
            "cancel": True,
            "connect-timeout": 250.0,
            "keepalive": 60000.0,
            "most-transmissions": max_attempts,
            "retry-after": True,
            "max-retry-after": 1000.0,
        },
        "rules": {
            "ask-within": 10000.0,
            "cold-share": 0.2,
            "warm-after": 10000.0,
            "tip-multiple": 3.0,
            "overload-for": 2000.0,
            "stop-sending-within": 1000.0,
        },
        "family-info": {"passes-deadline": True},
    }


def policy_settings(
    group: int, seed: int = 0, ordinal: int = 0, use_cases: int = 3, zones: list[str] | None = None
) -> PolicySettings:
    """Returns the parsed settings of one of `group` proxies."""
    return read_settings(settings(group, ordinal, use_cases, zones), seed)


def server(number: int, address: str, zones: list[str], state: str = "ready") -> dict[str, Any]:
    """Returns one entry of an endpoint list, as discovery sends it."""
    return {
        "id": f"service-{number // 24:03d}-{number:05d}",
        "addr": address,
        "zone": zones[number % len(zones)],
        "cell": number,
        "weight": 1.0,
        "state": state,
        "started_ms": 0,
    }


def endpoint_list(size: int, zones: list[str] | None = None, address: str = "") -> dict[str, Any]:
    """Returns a full endpoint list. All backends have `address` if given, else each has its own."""
    zones = zones or ONE_ZONE
    return {
        "version": 1,
        "full": True,
        "servers": [
            server(number, address or f"10.{number >> 14}.{number >> 6 & 255}.{number & 63}:8080", zones)
            for number in range(size)
        ],
    }


def change(size: int, number: int, state: str, version: int, zones: list[str] | None = None) -> dict[str, Any]:
    """Returns one incremental update of a watch, about one backend."""
    entry = endpoint_list(size, zones)["servers"][number]
    return {"version": version, "full": False, "servers": [{**entry, "state": state}]}


def json_line(message: dict[str, Any]) -> bytes:
    """Returns a message as a line of JSON."""
    return json.dumps(message).encode() + b"\n"


def routes(count: int) -> str:
    """Returns the text of `count` routes, each with a retry policy, a rate limit and a concurrency limit."""
    return "\n".join(
        f'[[routes]]\nname = "route-{number:04d}"\nmatch.path = "/service-{number:04d}/{{rest*}}"\n'
        f'time_out = "{200 + number % 50}ms"\nattempts = 2\nretry_on = ["unreached", "full"]\n'
        f"retry_budget = {{ share = 0.1, floor = 1.0 }}\nrate = {{ per_customer = 50.0, burst = 20.0 }}\n"
        f"concurrency = {{ most = {20 + number % 7}, queue = 10 }}\n"
        for number in range(count)
    )


def configuration_file(route_count: int, min_tickets: int = 30) -> str:
    """Returns the text of a proxy's configuration file with `route_count` routes."""
    return f'[changes]\nleast = {min_tickets}\nwatch = "10s"\n\n{routes(route_count)}'
