"""Result files: one gzipped JSON document per rehearsal, with a version so that later releases can read it."""

from __future__ import annotations

import gzip
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from pepperusher.rehearsal.rule_checker import Entry
from pepperusher.rehearsal.tally import RunStatistics

VERSION = 2
SUFFIX = ".rehearsal"


class ResultError(ValueError):
    """A result file that cannot be read; the text is one line."""


class Result(msgspec.Struct):
    """The result of one rehearsal.

    `plan` and `troubles` are digests of the planned arrivals and faults: two results with equal digests had the same input.
    """

    version: int
    title: str
    build: str
    seed: int
    played_at: str
    program: str
    span: int
    plan: str
    troubles: str
    rules: dict[str, int]
    entries: list[Entry]
    figures: RunStatistics
    backends: list[str]
    proxies: list[str]
    parameters: dict[str, Any] = {}
    logs: str = ""

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.rules.values())


def _rename_transmissions(document: dict[str, Any]) -> dict[str, Any]:
    """Migrates version 1, in which attempts were called transmissions. Other errors are found when the document is converted."""
    figures = document.get("figures")
    if isinstance(figures, dict) and "transmissions" in figures:
        figures["attempts"] = figures.pop("transmissions")
    return {**document, "version": 2}


# Functions that migrate a document from the version that is the key to the next one.
MIGRATIONS: dict[int, Callable[[dict[str, Any]], dict[str, Any]]] = {1: _rename_transmissions}


def write(path: Path, result: Result) -> None:
    """Writes a result file; an existing one is replaced atomically."""
    temporary = path.with_name(path.name + ".new")
    temporary.write_bytes(gzip.compress(msgspec.json.encode(result), mtime=0))
    temporary.replace(path)


def read(path: Path) -> Result:
    """Reads a result file and migrates it to the present version. Raises ResultError."""
    try:
        document = msgspec.json.decode(gzip.decompress(path.read_bytes()))
    except (EOFError, zlib.error, gzip.BadGzipFile, msgspec.DecodeError):
        raise ResultError(f"{path}: is not a result of a rehearsal") from None
    except OSError as error:
        raise ResultError(f"{path}: {error.strerror or error}") from None
    version = document.get("version") if isinstance(document, dict) else None
    if not isinstance(version, int):
        raise ResultError(f"{path}: is not a result of a rehearsal")
    if version > VERSION:
        raise ResultError(f"{path}: version {version} was written by a later release; this one reads up to {VERSION}")
    if version < min(MIGRATIONS):
        raise ResultError(f"{path}: is not a result of a rehearsal")
    while version < VERSION:
        document = MIGRATIONS[version](document)
        version = document["version"]
    try:
        return msgspec.convert(document, Result)
    except msgspec.ValidationError as error:
        raise ResultError(f"{path}: {error}") from None
