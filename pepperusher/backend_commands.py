"""Commands of operators that take a backend out, and put it back; free of I/O.

Each command has a time and the latest one wins. Repeated commands therefore need only one lift, and the commands of two
processes merge to the same result in any order. The drains of the control socket and the bans of the admin interface are
commands of this kind.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from pepperusher.endpoint import Endpoint

# Latest valid time: the year 2200 in microseconds.
LATEST_TIME_US = 7_258_118_400_000_000


class InvalidCommandError(ValueError):
    """A stored command that is invalid; the text says why."""


class AdminCommand(NamedTuple):
    """A command that was turned on or off at a time, in microseconds; by whom and why, where that is known."""

    on: bool
    at: int
    who: str = ""
    why: str = ""


NEVER = AdminCommand(False, 0)


class BackendCommands:
    """The latest command for each backend: it is taken out while that is on, and cold once it is lifted."""

    def __init__(self) -> None:
        self.by_backend: dict[str, AdminCommand] = {}
        # When each was lifted, by the clock of this process: the time of a command may be ahead of it, where the machine's
        # clock was set back since.
        self._lifted_at: dict[str, int] = {}

    def get(self, backend: str) -> AdminCommand:
        return self.by_backend.get(backend, NEVER)

    def next_command(self, backend: str, on: bool, now: int, who: str = "", why: str = "") -> AdminCommand:
        """A command that is later than the present one, also where the clock was set back since."""
        return AdminCommand(on, max(now, self.get(backend).at + 1), who, why)

    def merge(self, commands: Mapping[str, AdminCommand], now: int) -> bool:
        """Merges commands, of which later ones win. Returns whether any did."""
        later = {backend: command for backend, command in commands.items() if command.at > self.get(backend).at}
        for backend, command in later.items():
            self.by_backend[backend] = command
            self._lifted_at[backend] = min(command.at, now)
        return bool(later)

    def apply(self, entry: Endpoint) -> Endpoint:
        """The entry as the commands change it: draining while taken out, and cold after that."""
        command = self.by_backend.get(entry.id)
        if command is None or not entry.ready:
            return entry
        if command.on:
            return entry._replace(ready=False)
        # It may have restarted while it was out, and discovery may report that late or never: it counts as cold.
        return entry._replace(started_at=max(entry.started_at, self._lifted_at[entry.id]))

    def forget_lifted(self, before: int) -> None:
        """Forgets commands that were lifted before this time."""
        for backend, command in list(self.by_backend.items()):
            if not command.on and command.at <= before:
                self._forget(backend)

    def forget_oldest_lifted(self, kept: int) -> None:
        """Forgets lifted commands except for the latest `kept` ones."""
        lifted = sorted((command.at, backend) for backend, command in self.by_backend.items() if not command.on)
        for _, backend in lifted[: max(0, len(lifted) - kept)]:
            self._forget(backend)

    def _forget(self, backend: str) -> None:
        del self.by_backend[backend], self._lifted_at[backend]


def decode_command(value: Any, where: str) -> AdminCommand:
    """Validates a command of a JSON document, [on, at] or [on, at, who, why]; `where` names its place for the error.
    Raises InvalidCommandError.
    """
    if not isinstance(value, list) or len(value) not in (2, 4):
        raise InvalidCommandError(f"{where} is not a command")
    on, at, *texts = value
    if (
        not isinstance(on, bool)
        or isinstance(at, bool)
        or not isinstance(at, int)
        or not 0 <= at <= LATEST_TIME_US
        or not all(isinstance(text, str) for text in texts)
    ):
        raise InvalidCommandError(f"{where} is not a command")
    return AdminCommand(on, at, *texts)


def decode_commands(value: Any, where: str) -> dict[str, AdminCommand]:
    """Validates the commands by backend of a JSON document. Raises InvalidCommandError."""
    if not isinstance(value, dict):
        raise InvalidCommandError(f"{where}: missing")
    return {name: decode_command(command, f"{where}: {name}") for name, command in value.items()}
