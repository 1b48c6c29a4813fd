"""Finds the line of a key in a TOML text, which the standard library's parser does not report.

Supports table headers, keys, dotted keys, and lists of inline tables over several lines. A key inside an inline table
has the line in which the key begins. In a text that the parser accepts, a key that is not found has the line of its
nearest parent.
"""

from __future__ import annotations

import re

HEADER = re.compile(r"\s*(\[\[?)\s*([^\]#]+?)\s*\]\]?\s*(#.*)?$")
KEY = re.compile(r"\s*((?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*')(?:\s*\.\s*(?:[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*'))*)\s*=")
KEY_PART = re.compile(r"[A-Za-z0-9_-]+|\"[^\"]*\"|'[^']*'")
TOKEN = re.compile(
    r"\"\"\".*?\"\"\"|'''.*?'''|\"(?:[^\"\\]|\\.)*\"|'[^']*'|#[^\n]*|[\[\]{},=\n]|[^\s\[\]{},=#\"']+", re.S
)


def _split_dotted_key(dotted: str) -> list[str]:
    return [part.strip("\"'") for part in KEY_PART.findall(dotted)]


class KeyLocations:
    """The lines of the keys of one text. `at` returns the line (from 1) of a key path such as "routes[2].match.path",
    or 0 if neither the key nor a parent is found."""

    def __init__(self, text: str) -> None:
        self._lines: dict[str, int] = {}  # by key path
        self._last_indices: dict[str, int] = {}  # of arrays of tables, by path
        self._read(text)

    def at(self, path: str) -> int:
        """The line of the key or of its nearest parent; 0 if neither is found."""
        while path:
            if path in self._lines:
                return self._lines[path]
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return 0

    def _record(self, path: str, line: int) -> None:
        self._lines.setdefault(path, line)

    def _read_header(self, opening: str, dotted: str, line: int) -> str:
        """Records a table header and returns the path of its table, with indices for arrays of tables."""
        prefix = ""
        parts = _split_dotted_key(dotted)
        for index, part in enumerate(parts):
            prefix = f"{prefix}.{part}".lstrip(".")
            is_last = index == len(parts) - 1
            if is_last and opening == "[[":
                self._last_indices[prefix] = self._last_indices.get(prefix, -1) + 1
                self._record(prefix, line)
            if prefix in self._last_indices:
                prefix = f"{prefix}[{self._last_indices[prefix]}]"
        self._record(prefix, line)
        return prefix

    def _read(self, text: str) -> None:
        table_path = ""
        lines = text.split("\n")
        number = 0
        while number < len(lines):
            line = lines[number]
            header, key = HEADER.match(line), KEY.match(line)
            if header and not key:
                table_path = self._read_header(header[1], header[2], number + 1)
                number += 1
                continue
            if not key:
                number += 1
                continue
            path = table_path
            for part in _split_dotted_key(key[1]):
                path = f"{path}.{part}".lstrip(".")
                self._record(path, number + 1)
            rest = "\n".join(lines[number:])[key.end() :]
            number += 1 + self._read_value(rest, path, number + 1)

    def _read_value(self, text: str, path: str, line: int) -> int:
        """Scans one value and records the keys of its inline tables; returns the number of line ends in it."""
        stack: list[tuple[str, str, int]] = []  # (bracket, path, index in a list)
        line_ends = 0
        name: str | None = None
        for token_match in TOKEN.finditer(text):
            token = token_match[0]
            if token == "\n":
                if not stack:
                    return line_ends
                line_ends += 1
                continue
            if token.startswith("#"):
                continue
            enclosing = stack[-1] if stack else ("", path, 0)
            value_path = (
                f"{enclosing[1]}[{enclosing[2]}]"
                if enclosing[0] == "["
                else f"{enclosing[1]}.{name}"
                if enclosing[0] == "{"
                else path
            )
            if token in "[{":
                self._record(value_path, line + line_ends)
                stack.append((token, value_path, 0))
                name = None
            elif token in "]}":
                stack.pop()
                name = None
            elif token == ",":
                if enclosing[0] == "[":
                    stack[-1] = ("[", enclosing[1], enclosing[2] + 1)
                name = None
            elif token == "=":
                continue
            elif enclosing[0] == "{" and name is None:
                name = ".".join(_split_dotted_key(token)) or token.strip("\"'")
                self._record(f"{enclosing[1]}.{name}", line + line_ends)
            else:
                self._record(value_path, line + line_ends)
            line_ends += token.count("\n")
        return line_ends
