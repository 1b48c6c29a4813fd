"""Drains of backends that operators set by hand: how a change proposes one, and how they are stored; free of I/O.

They are kept apart from the text of the configuration file, so that what replaces the file does not end them. Earlier
releases kept each as a block behind the file's text; `split_drain_blocks` finds those.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import NamedTuple

from pepperusher.backend_commands import AdminCommand, InvalidCommandError, decode_commands
from pepperusher.changes import shared_section

FORMAT = 1
# Lifted drains that are remembered, so that no older record of the drain brings it back.
LIFTED_KEPT = 1_000
DRAIN_BLOCK = re.compile(r'\n\[\[backends\]\]\nid = ("(?:[^"\\\n]|\\.)*")\ndrain = true\n\Z')


class DrainProposal(NamedTuple):
    """A change that drains a backend by hand or lifts that, and the command that it replaces."""

    backend: str
    command: AdminCommand
    previous: AdminCommand

    @property
    def name(self) -> str:
        return f"{'drain' if self.command.on else 'lift'} {self.backend}"


def encode_drains(drains: Mapping[str, AdminCommand]) -> bytes:
    return json.dumps({"form": FORMAT, "drains": drains}, separators=(",", ":")).encode()


def decode_drains(text: str) -> dict[str, AdminCommand]:
    """Validates stored drains. Raises InvalidCommandError."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidCommandError("is not JSON") from None
    if not isinstance(document, dict) or document.get("form") != FORMAT:
        raise InvalidCommandError(f"is not of format {FORMAT}")
    return decode_commands(document.get("drains"), "drains")


def split_drain_blocks(text: str, file_text: str) -> tuple[str, list[str]]:
    """Splits what an earlier release stored as the configuration in force: the text without the drains that it appended,
    and the backends of those. A block that `file_text`, the configuration file as it is now, has too is the file's.
    """
    own, shared = shared_section.own_part(text), shared_section.shared_part(text)
    file_own = shared_section.own_part(file_text)
    backends: list[str] = []
    while own != file_own and (block := DRAIN_BLOCK.search(own)) is not None:
        if not own.startswith(file_own) and block[0] in file_own:
            break
        try:
            backends.insert(0, json.loads(block[1]))
        except ValueError:
            break  # written by hand, with an escape that TOML alone has
        own = own[: block.start()]
    return (own + shared if backends else text), backends
