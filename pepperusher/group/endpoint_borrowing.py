"""Which entries of other members' lists may stand for discovery's, which is away at a start; free of I/O."""

from __future__ import annotations

from typing import Any

# A list that discovery confirmed longer ago than this (us) is not taken: what drained since would be served.
LONGEST_AGE = 600_000_000


def joined(lists: list[dict[str, Any]]) -> tuple[int, dict[str, Any]] | None:
    """What every one of these lists has as ready, and how long ago discovery confirmed the oldest of them;
    None where none is young enough, or nothing is in all. Each has its age by its own proxy's clock: those of
    two may be apart.

    An entry that drains at one is left out though others have not heard so, and one that is gone stands in no
    list of who has: it never comes back by who has not. What is new and known to some alone waits for
    discovery.
    """
    young: list[tuple[int, dict[str, dict[str, Any]], dict[str, Any]]] = []
    for told in lists:
        age, listed = told.get("age"), told.get("listed")
        if isinstance(age, bool) or not isinstance(age, int) or not isinstance(listed, dict):
            continue
        servers = listed.get("servers")
        if not 0 <= age <= LONGEST_AGE or not isinstance(servers, list):
            continue
        ready = {
            one["id"]: one
            for one in servers
            if isinstance(one, dict) and isinstance(one.get("id"), str) and one.get("state") == "ready"
        }
        young.append((age, ready, listed))
    if not young:
        return None
    newest = min(young, key=lambda one: one[0])
    names = set.intersection(*(set(ready) for _, ready, _ in young))
    if not names:
        return None
    servers = [one for name, one in newest[1].items() if name in names]
    return max(age for age, _, _ in young), {**newest[2], "full": True, "servers": servers}
