"""Results as files: one gzipped JSON document a rehearsal, with a version, so that a later program reads
them."""

from __future__ import annotations

import gzip
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from pepperusher.rehearsal.rule_checker import Entry
from pepperusher.rehearsal.tally import Figures

VERSION = 2
SUFFIX = ".rehearsal"


class ResultError(ValueError):
    """A result that can't be read; its text is one line."""


class Result(msgspec.Struct):
    """One rehearsal that was played. `plan` and `troubles` are digests: two of the same were asked the
    same."""

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
    figures: Figures
    backends: list[str]
    proxies: list[str]
    parameters: dict[str, Any] = {}
    logs: str = ""

    @property
    def kept(self) -> bool:
        return not any(self.rules.values())


def _attempts(document: dict[str, Any]) -> dict[str, Any]:
    """Attempts had another name; what else is wrong is found as the document is typed."""
    figures = document.get("figures")
    if isinstance(figures, dict) and "transmissions" in figures:
        figures["attempts"] = figures.pop("transmissions")
    return {**document, "version": 2}


# From a version to the one after it, over the plain document.
STEPS: dict[int, Callable[[dict[str, Any]], dict[str, Any]]] = {1: _attempts}


def write(path: Path, result: Result) -> None:
    """In place of what stands there, at once."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_bytes(gzip.compress(msgspec.json.encode(result), mtime=0))
    fresh.replace(path)


def read(path: Path) -> Result:
    """Raises ResultError in one line."""
    try:
        document = msgspec.json.decode(gzip.decompress(path.read_bytes()))
    except (EOFError, zlib.error, gzip.BadGzipFile, msgspec.DecodeError):
        raise ResultError(f"{path}: is no result of a rehearsal") from None
    except OSError as error:
        raise ResultError(f"{path}: {error.strerror or error}") from None
    version = document.get("version") if isinstance(document, dict) else None
    if not isinstance(version, int):
        raise ResultError(f"{path}: is no result of a rehearsal")
    if version > VERSION:
        raise ResultError(f"{path}: version {version} is of a later program; this one reads up to {VERSION}")
    if version < min(STEPS):
        raise ResultError(f"{path}: is no result of a rehearsal")
    while version < VERSION:
        document = STEPS[version](document)
        version = document["version"]
    try:
        return msgspec.convert(document, Result)
    except msgspec.ValidationError as error:
        raise ResultError(f"{path}: {error}") from None
