"""The operators' current commands at the admin interface: which backends are banned, and whether clients are sent away.
Free of I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

from pepperusher.backend_commands import NEVER, AdminCommand, BackendCommands
from pepperusher.endpoint_filter import EndpointFilter
from pepperusher.facade import Endpoint


class AdminCommands:
    """Bans and the drain of one proxy. `kept_us` is how long a lifted ban is remembered: at least until the backend is
    warm again.
    """

    def __init__(self, kept_us: int) -> None:
        self._kept_us = kept_us
        self._bans = BackendCommands()  # a ban stays until it is lifted, a lifted one for `kept_us`
        self.drain = NEVER
        self._filter = EndpointFilter(self._bans.apply)
        self.lines = self._filter.filter

    @property
    def bans(self) -> dict[str, AdminCommand]:
        return self._bans.by_backend

    def banned(self, backend: str) -> bool:
        return self._bans.get(backend).on

    def ban(self, backend: str, on: bool, now: int) -> list[Endpoint]:
        """Bans or unbans a backend. Returns the entries that change; empty if it was so already."""
        if self.banned(backend) == on:
            return []
        return self.merge({backend: self._bans.next_command(backend, on, now)}, NEVER, now)

    def send_away(self, on: bool, now: int) -> None:
        if self.drain.on != on:
            self.drain = AdminCommand(on, max(now, self.drain.at + 1))

    def merge(self, bans: Mapping[str, AdminCommand], drain: AdminCommand, now: int) -> list[Endpoint]:
        """Merges another process's commands. Returns the entries that change."""
        if drain.at > self.drain.at:
            self.drain = drain
        return self._filter.replace_marks(lambda: self._bans.merge(bans, now))

    def forget(self, now: int) -> None:
        """Forgets lifted bans that are older than `kept_us`."""
        self._bans.forget_lifted(now - self._kept_us)
