"""The other side of the control socket: asks, and puts the answer for people or as JSON."""

from __future__ import annotations

import json
import socket
from typing import Any

WITHIN = 10.0


class RefusedError(RuntimeError):
    """No answer, or one that says no; its text is one line."""


def ask(path: str, do: str, **said: Any) -> dict[str, Any]:
    """The whole answer, its parts put together. Raises RefusedError."""
    question = (
        json.dumps({"do": do, **{key: value for key, value in said.items() if value is not None}}).encode() + b"\n"
    )
    taken = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    taken.settimeout(WITHIN)
    whole: dict[str, Any] = {}
    try:
        taken.connect(path)
        taken.sendall(question)
        with taken.makefile("rb") as lines:
            for line in lines:
                part = json.loads(line)
                for key, value in part.items():
                    if isinstance(value, list) and isinstance(whole.get(key), list):
                        whole[key] += value
                    else:
                        whole[key] = value
                if not part.get("more"):
                    break
    except OSError as error:
        raise RefusedError(f"{path}: {error.strerror or error}") from None
    except ValueError:
        raise RefusedError(f"{path}: an answer that can't be read") from None
    finally:
        taken.close()
    if "ok" not in whole:
        raise RefusedError(f"{path}: no answer")
    if not whole["ok"]:
        raise RefusedError("\n".join([str(whole.get("why", "refused")), *map(str, whole.get("faults", []))]))
    whole.pop("more", None)
    return whole


def table(rows: list[dict[str, Any]]) -> str:
    """Rows for people, columns as wide as they need."""
    if not rows:
        return "none"
    head = list(rows[0])
    cells = [head, *([_cell(row.get(key)) for key in head] for row in rows)]
    wide = [max(len(row[place]) for row in cells) for place in range(len(head))]
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, wide)).rstrip() for row in cells)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.3g}" if isinstance(value, float) else str(value)
