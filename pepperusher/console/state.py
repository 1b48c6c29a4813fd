"""What passes from one process to the next, as one JSON text; free of I/O.

Read as if a stranger had written it: the release before this one may have, or a process that died meanwhile.
"""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from pepperusher.console.admin_commands import NEVER, AdminCommand
from pepperusher.net.handover_state import HandoverState

FORM = 1
LONGEST = 16 * 1024 * 1024
# Times beyond this are none: the year 2200 in microseconds.
LATEST = 7_258_118_400_000_000


class BadState(ValueError):
    """Nothing to take over; the text says why."""


class State(NamedTuple):
    """`seen` names the next process that its writer knows of, `serves` whether its writer takes clients,
    `beats` whether it leaves marks as it turns its loop. The others are those of `HandoverState`.
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
    def passed_on(self) -> HandoverState:
        return HandoverState(self.source, self.listed, self.learned, self.told_by_source, self.expires_at)


def text_of(state: State) -> str:
    return json.dumps({"form": FORM, **state._asdict()}, separators=(",", ":"))


def _order(told: Any, of: str) -> AdminCommand:
    if (
        not isinstance(told, list)
        or len(told) != 2
        or not isinstance(told[0], bool)
        or isinstance(told[1], bool)
        or not isinstance(told[1], int)
        or not 0 <= told[1] <= LATEST
    ):
        raise BadState(f"{of} is no order")
    return AdminCommand(told[0], told[1])


def state_of(text: str | bytes) -> State:
    try:
        told = json.loads(text)
    except (ValueError, RecursionError):
        raise BadState("is not JSON") from None
    if not isinstance(told, dict) or told.get("form") != FORM:
        raise BadState(f"is not of form {FORM}")
    bans = told.get("bans")
    if not isinstance(bans, dict):
        raise BadState("bans: missing")
    made = {name: _order(one, f"bans: {name}") for name, one in bans.items()}
    words = [told.get(name, "") for name in ("seen", "source")]
    if not all(isinstance(word, str) for word in words):
        raise BadState("seen or source is no text")
    listed, learned = told.get("listed"), told.get("learned")
    for part in (listed, learned):
        if part is not None and not isinstance(part, dict):
            raise BadState("listed or learned is no object")
    expires_at = told.get("expires_at")
    if expires_at is not None and (
        isinstance(expires_at, bool) or not isinstance(expires_at, int) or not 0 <= expires_at <= LATEST
    ):
        raise BadState("expires_at is no time")
    return State(
        made,
        _order(told.get("drain", list(NEVER)), "drain"),
        words[0],
        told.get("serves") is True,
        words[1],
        listed,
        learned,
        told.get("beats") is True,
        told.get("told_by_source") is not False,
        expires_at,
    )
