"""One entry of the endpoint list, as read by proxies and by control machines that pass the list on to proxies."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Endpoint(NamedTuple):
    """One entry of the endpoint list. `started_at` is 0 if the start time is unknown; one that is not `ready` drains
    or is `gone`."""

    id: str
    zone: str
    cell: int
    weight: float
    started_at: int
    ready: bool
    kind: str = ""
    gone: bool = False


# Transforms the entries of an update, full or partial, before they take effect.
FilterEndpoints = Callable[[list[Endpoint], bool], list[Endpoint]]
