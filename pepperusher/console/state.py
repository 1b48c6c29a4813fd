"""The state that passes from one process to the next, as JSON; free of I/O.

It is validated like untrusted input: an earlier release may have written it, or a process that died while writing.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from pepperusher.backend_commands import (
    LATEST_TIME_US,
    NEVER,
    AdminCommand,
    InvalidCommandError,
    decode_command,
    decode_commands,
)
from pepperusher.net.handover_state import HandoverState

FORMAT = 1
STATE_MAX_BYTES = 16 * 1024 * 1024


class BadState(ValueError):
    """The state is invalid; the text says why."""


class State(NamedTuple):
    """The state that a process publishes.

    `seen` is the token of the other process that the writer knows of, `serves` says whether the writer takes clients,
    and `beats` whether it publishes heartbeats. `manual_drains` are the drains of the control socket. The other fields are
    those of `HandoverState`.
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
    manual_drains: Mapping[str, AdminCommand] = {}

    @property
    def handover_state(self) -> HandoverState:
        return HandoverState(self.source, self.listed, self.learned, self.told_by_source, self.expires_at)


def encode_state(state: State) -> str:
    # Earlier releases read commands of two parts alone, and nothing of the drains.
    bans = {backend: command[:2] for backend, command in state.bans.items()}
    document = {"form": FORMAT, **state._asdict(), "bans": bans, "drain": state.drain[:2]}
    return json.dumps(document, separators=(",", ":"))


def decode_state(text: str | bytes) -> State:
    """Parses and validates a state. Raises BadState."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        raise BadState("is not JSON") from None
    if not isinstance(document, dict) or document.get("form") != FORMAT:
        raise BadState(f"is not of format {FORMAT}")
    try:
        bans = decode_commands(document.get("bans"), "bans")
        manual_drains = decode_commands(document.get("manual_drains", {}), "manual_drains")
        drain = decode_command(document.get("drain", list(NEVER[:2])), "drain")
    except InvalidCommandError as error:
        raise BadState(str(error)) from None
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
        bans,
        drain,
        texts[0],
        document.get("serves") is True,
        texts[1],
        listed,
        learned,
        document.get("beats") is True,
        document.get("told_by_source") is not False,
        expires_at,
        manual_drains,
    )
