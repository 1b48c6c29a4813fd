"""The operators' current commands: which backends are banned, and whether clients are sent away. Free of I/O.

Each command has a time and the latest one wins. Repeated bans therefore need only one lift, and two processes' commands
merge to the same result in any order.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from pepperusher.facade import Endpoint
from pepperusher.endpoint_filter import EndpointFilter


class AdminCommand(NamedTuple):
    """A command that was turned on or off at a time, in microseconds."""

    on: bool
    at: int


NEVER = AdminCommand(False, 0)


class AdminCommands:
    """Bans and the drain of one proxy. `kept_us` is how long a lifted ban is remembered: at least until the backend is
    warm again.
    """

    def __init__(self, kept_us: int) -> None:
        self._kept_us = kept_us
        self.bans: dict[str, AdminCommand] = {}  # a ban stays until it is lifted, a lifted one for `kept_us`
        self.drain = NEVER
        self._filter = EndpointFilter(self._apply_ban)
        self.lines = self._filter.filter

    def _apply_ban(self, entry: Endpoint) -> Endpoint:
        """The entry as the bans change it: draining while banned, and cold after that."""
        command = self.bans.get(entry.id)
        if command is None or not entry.ready:
            return entry
        if command.on:
            return entry._replace(ready=False)
        # It may have restarted while it was banned, and discovery may report that late or never: it counts as cold.
        return entry._replace(started_at=max(entry.started_at, command.at))

    def banned(self, backend: str) -> bool:
        return self.bans.get(backend, NEVER).on

    def ban(self, backend: str, on: bool, now: int) -> list[Endpoint]:
        """Bans or unbans a backend. Returns the entries that change; empty if it was so already."""
        if self.banned(backend) == on:
            return []
        return self.merge({backend: AdminCommand(on, max(now, self.bans.get(backend, NEVER).at + 1))}, NEVER)

    def send_away(self, on: bool, now: int) -> None:
        if self.drain.on != on:
            self.drain = AdminCommand(on, max(now, self.drain.at + 1))

    def merge(self, bans: Mapping[str, AdminCommand], drain: AdminCommand) -> list[Endpoint]:
        """Merges another process's commands. Returns the entries that change."""

        def apply() -> None:
            for backend, command in bans.items():
                if command.at > self.bans.get(backend, NEVER).at:
                    self.bans[backend] = command

        if drain.at > self.drain.at:
            self.drain = drain
        return self._filter.replace_marks(apply)

    def forget(self, now: int) -> None:
        """Forgets lifted bans that are older than `kept_us`."""
        for backend, command in list(self.bans.items()):
            if not command.on and now - command.at >= self._kept_us:
                del self.bans[backend]
