"""What operators have ordered: which backends are banned, and whether clients are sent away. Free of I/O.

An order has a time, and the later of two counts: a second call out needs no second call back, and what two processes
were ordered comes together whoever tells the other first.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from pepperusher.facade import Endpoint
from pepperusher.endpoint_filter import EndpointFilter


class AdminCommand(NamedTuple):
    on: bool
    at: int


NEVER = AdminCommand(False, 0)


class AdminCommands:
    """`kept` is for how long a lifted ban is remembered: at least until whom it was lifted from is warm."""

    def __init__(self, kept: int) -> None:
        self._kept = kept
        self.bans: dict[str, AdminCommand] = {}  # one in force stays till it is lifted, a lifted one for `kept`
        self.drain = NEVER
        self._narrowed = EndpointFilter(self._marked)
        self.lines = self._narrowed.filter

    def _marked(self, entry: Endpoint) -> Endpoint:
        order = self.bans.get(entry.id)
        if order is None or not entry.ready:
            return entry
        if order.on:
            return entry._replace(ready=False)
        # It was restarted while it was out, and discovery may tell so late or never: it comes back cold.
        return entry._replace(started_at=max(entry.started_at, order.at))

    def banned(self, backend: str) -> bool:
        return self.bans.get(backend, NEVER).on

    def ban(self, backend: str, on: bool, now: int) -> list[Endpoint]:
        """The lines that change by it; none where it was so already."""
        if self.banned(backend) == on:
            return []
        return self.merge({backend: AdminCommand(on, max(now, self.bans.get(backend, NEVER).at + 1))}, NEVER)

    def send_away(self, on: bool, now: int) -> None:
        if self.drain.on != on:
            self.drain = AdminCommand(on, max(now, self.drain.at + 1))

    def merge(self, bans: Mapping[str, AdminCommand], drain: AdminCommand) -> list[Endpoint]:
        """Another's orders beside these. The lines that change by it."""

        def turn() -> None:
            for backend, order in bans.items():
                if order.at > self.bans.get(backend, NEVER).at:
                    self.bans[backend] = order

        if drain.at > self.drain.at:
            self.drain = drain
        return self._narrowed.replace_marks(turn)

    def forget(self, now: int) -> None:
        for backend, order in list(self.bans.items()):
            if not order.on and now - order.at >= self._kept:
                del self.bans[backend]
