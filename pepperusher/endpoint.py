"""One line of the list of backends, for whoever reads the list: a proxy, or a control machine that tells proxies."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class Endpoint(NamedTuple):
    """One line of the list of backends. `born` 0 is long ago; not `ready` means it drains, or is `gone`."""

    id: str
    zone: str
    cell: int
    weight: float
    started_at: int
    ready: bool
    kind: str = ""
    gone: bool = False


# What one makes of lines, whole or not, before they are acted on.
FilterEndpoints = Callable[[list[Endpoint], bool], list[Endpoint]]
