"""The client of the control socket: sends a command, and formats the response as a table."""

from __future__ import annotations

import json
import socket
from typing import Any

TIMEOUT_S = 10.0


class RefusedError(RuntimeError):
    """No response, or an error response; the text is the reason, followed by the faults, a line each."""


def ask(path: str, do: str, **parameters: Any) -> dict[str, Any]:
    """Sends the command `do` with its parameters and returns the response, merged from its parts. Raises
    RefusedError."""
    request = (
        json.dumps({"do": do, **{key: value for key, value in parameters.items() if value is not None}}).encode()
        + b"\n"
    )
    connection = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    connection.settimeout(TIMEOUT_S)
    response: dict[str, Any] = {}
    try:
        connection.connect(path)
        connection.sendall(request)
        with connection.makefile("rb") as lines:
            for line in lines:
                part = json.loads(line)
                for key, value in part.items():
                    if isinstance(value, list) and isinstance(response.get(key), list):
                        response[key] += value
                    else:
                        response[key] = value
                if not part.get("more"):
                    break
    except OSError as error:
        raise RefusedError(f"{path}: {error.strerror or error}") from None
    except ValueError:
        raise RefusedError(f"{path}: a response that is not valid JSON") from None
    finally:
        connection.close()
    if "ok" not in response:
        raise RefusedError(f"{path}: no response")
    if not response["ok"]:
        raise RefusedError("\n".join([str(response.get("why", "refused")), *map(str, response.get("faults", []))]))
    response.pop("more", None)
    return response


def table(rows: list[dict[str, Any]]) -> str:
    """Formats rows as a table with columns of fitting width."""
    if not rows:
        return "none"
    header = list(rows[0])
    cells = [header, *([_format_cell(row.get(key)) for key in header] for row in rows)]
    column_widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return "\n".join("  ".join(cell.ljust(width) for cell, width in zip(row, column_widths)).rstrip() for row in cells)


def _format_cell(value: Any) -> str:
    if value is None:
        return "-"
    return f"{value:.3g}" if isinstance(value, float) else str(value)
