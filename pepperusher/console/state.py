"""The state that passes from one process to the next, as JSON; free of I/O.

It is validated like untrusted input: an earlier release may have written it, or a process that died while writing.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from pepperusher.console.admin_commands import NEVER, AdminCommand
from pepperusher.net.handover_state import HandoverState

FORMAT = 1
STATE_MAX_BYTES = 16 * 1024 * 1024
# Latest valid time: the year 2200 in microseconds.
LATEST_TIME_US = 7_258_118_400_000_000


class BadState(ValueError):
    """The state is invalid; the text says why."""


class State(NamedTuple):
    """The state that a process publishes.

    `seen` is the token of the other process that the writer knows of, `serves` says whether the writer takes clients,
    and `beats` whether it publishes heartbeats. The other fields are those of `HandoverState`.
    """

    bans: dict[str, AdminCommand]
    drain: AdminCommand
    seen: str = ""
    serves: bool = False
    source: str = ""
    listed: dict[str, Any] | None = None
    learned: dict[str, Any] | None = None
    beats: bool = False
    told_by_source: bool = True
    expires_at: int | None = None

    @property
    def handover_state(self) -> HandoverState:
        return HandoverState(self.source, self.listed, self.learned, self.told_by_source, self.expires_at)


def encode_state(state: State) -> str:
    return json.dumps({"form": FORMAT, **state._asdict()}, separators=(",", ":"))


def _decode_command(value: Any, where: str) -> AdminCommand:
    """Validates a command of the JSON document; `where` names its place for the error."""
    if (
        not isinstance(value, list)
        or len(value) != 2
        or not isinstance(value[0], bool)
        or isinstance(value[1], bool)
        or not isinstance(value[1], int)
        or not 0 <= value[1] <= LATEST_TIME_US
    ):
        raise BadState(f"{where} is not a command")
    return AdminCommand(value[0], value[1])


def decode_state(text: str | bytes) -> State:
    """Parses and validates a state. Raises BadState."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        raise BadState("is not JSON") from None
    if not isinstance(document, dict) or document.get("form") != FORMAT:
        raise BadState(f"is not of format {FORMAT}")
    bans = document.get("bans")
    if not isinstance(bans, dict):
        raise BadState("bans: missing")
    commands = {name: _decode_command(value, f"bans: {name}") for name, value in bans.items()}
    texts = [document.get(name, "") for name in ("seen", "source")]
    if not all(isinstance(text_value, str) for text_value in texts):
        raise BadState("seen or source is not a string")
    listed, learned = document.get("listed"), document.get("learned")
    for part in (listed, learned):
        if part is not None and not isinstance(part, dict):
            raise BadState("listed or learned is not an object")
    expires_at = document.get("expires_at")
    if expires_at is not None and (
        isinstance(expires_at, bool) or not isinstance(expires_at, int) or not 0 <= expires_at <= LATEST_TIME_US
    ):
        raise BadState("expires_at is not a valid time")
    return State(
        commands,
        _decode_command(document.get("drain", list(NEVER)), "drain"),
        texts[0],
        document.get("serves") is True,
        texts[1],
        listed,
        learned,
        document.get("beats") is True,
        document.get("told_by_source") is not False,
        expires_at,
    )
