"""In which line of a TOML text a key stands; the standard library's parser does not tell.

Reads what people write: headers, keys, dotted keys, lists of inline tables over several lines. A key inside
an inline table has the line in which it begins. For a text that the parser takes, a key not found has its
nearest parent's line.
"""

from __future__ import annotations

import re

HEADER = re.compile(r"\s*(\[\[?)\s*([^\]#]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"\s*((?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*'))*)\s*=")
PART = re.compile(r"[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*'")
TOKEN = re.compile(
    r"\"\"\".*?\"\"\"|'''.*?'''|\"(?:[^\"\\]|\\.)*\"|'[^']*'|#[^\n]*|[\[\]{},=\n]|[^\s\[\]{},=#\"']+", re.S
)


def _parts(dotted: str) -> list[str]:
    return [part.strip("\"'") for part in PART.findall(dotted)]


class KeyLocations:
    """`at` gives the line (from 1) of a key path such as "routes[2].match.path"; 0 where nothing is known of
    it."""

    def __init__(self, text: str) -> None:
        self._lines: dict[str, int] = {}  # as many as the text has keys
        self._counts: dict[str, int] = {}
        self._read(text)

    def at(self, path: str) -> int:
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return 0

    def _note(self, path: str, line: int) -> None:
        self._lines.setdefault(path, line)

    def _table(self, opening: str, dotted: str, line: int) -> str:
        prefix = ""
        parts = _parts(dotted)
        for number, part in enumerate(parts):
            prefix = f"{prefix}.{part}".lstrip(".")
            last = number == len(parts) - 1
            if last and opening == "[[":
                self._counts[prefix] = self._counts.get(prefix, -1) + 1
                self._note(prefix, line)
            if prefix in self._counts:
                prefix = f"{prefix}[{self._counts[prefix]}]"
        self._note(prefix, line)
        return prefix

    def _read(self, text: str) -> None:
        table = ""
        lines = text.split("\n")
        number = 0
        while number < len(lines):
            line = lines[number]
            header, key = HEADER.match(line), KEY.match(line)
            if header and not key:
                table = self._table(header[1], header[2], number + 1)
                number += 1
                continue
            if not key:
                number += 1
                continue
            path = table
            for part in _parts(key[1]):
                path = f"{path}.{part}".lstrip(".")
                self._note(path, number + 1)
            rest = "\n".join(lines[number:])[key.end() :]
            number += 1 + self._value(rest, path, number + 1)

    def _value(self, text: str, path: str, line: int) -> int:
        """Walks one value, noting the keys of inline tables; how many line ends it holds."""
        stack: list[tuple[str, str, int]] = []  # (kind, path, place in a list)
        ends = 0
        name: str | None = None
        for found in TOKEN.finditer(text):
            token = found[0]
            if token == "\n":
                if not stack:
                    return ends
                ends += 1
                continue
            if token.startswith("#"):
                continue
            within = stack[-1] if stack else ("", path, 0)
            here = (
                f"{within[1]}[{within[2]}]" if within[0] == "[" else f"{within[1]}.{name}" if within[0] == "{" else path
            )
            if token in "[{":
                self._note(here, line + ends)
                stack.append((token, here, 0))
                name = None
            elif token in "]}":
                stack.pop()
                name = None
            elif token == ",":
                if within[0] == "[":
                    stack[-1] = ("[", within[1], within[2] + 1)
                name = None
            elif token == "=":
                continue
            elif within[0] == "{" and name is None:
                name = ".".join(_parts(token)) or token.strip("\"'")
                self._note(f"{within[1]}.{name}", line + ends)
            else:
                self._note(here, line + ends)
            ends += token.count("\n")
        return ends
