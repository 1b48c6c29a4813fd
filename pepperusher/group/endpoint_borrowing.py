"""Combines the endpoint lists of other members into one that a proxy uses if discovery does not answer at its
start. It does no I/O.
"""

from __future__ import annotations

from typing import Any

# A list that discovery confirmed longer ago than this is not used: endpoints that have drained since would
# get traffic.
MAX_LIST_AGE_US = 600_000_000


def intersect_lists(lists: list[dict[str, Any]]) -> tuple[int, dict[str, Any]] | None:
    """The endpoints that every recent list has as ready, and how long ago discovery confirmed the oldest of
    these lists. None if no list is recent enough or no endpoint is in all of them. The age of each list comes
    from its own proxy's clock, since the clocks of two proxies may differ.

    An endpoint that one member knows to drain is left out even if others have not heard of it. One that was
    removed is missing from the list of the member that knows, so the others cannot bring it back. A new
    endpoint that only some members know has to wait for discovery.
    """
    recent: list[tuple[int, dict[str, dict[str, Any]], dict[str, Any]]] = []
    for lent in lists:
        age, endpoint_list = lent.get("age"), lent.get("listed")
        if isinstance(age, bool) or not isinstance(age, int) or not isinstance(endpoint_list, dict):
            continue
        endpoints = endpoint_list.get("servers")
        if not 0 <= age <= MAX_LIST_AGE_US or not isinstance(endpoints, list):
            continue
        ready = {
            endpoint["id"]: endpoint
            for endpoint in endpoints
            if isinstance(endpoint, dict) and isinstance(endpoint.get("id"), str) and endpoint.get("state") == "ready"
        }
        recent.append((age, ready, endpoint_list))
    if not recent:
        return None
    newest = min(recent, key=lambda entry: entry[0])
    ready_in_all = set.intersection(*(set(ready) for _, ready, _ in recent))
    if not ready_in_all:
        return None
    endpoints = [endpoint for name, endpoint in newest[1].items() if name in ready_in_all]
    return max(age for age, _, _ in recent), {**newest[2], "full": True, "servers": endpoints}
