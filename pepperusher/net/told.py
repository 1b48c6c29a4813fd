"""What a proxy is told at its start: the configuration file, read once and checked whole."""

from __future__ import annotations

import json
from typing import Any

from pepperusher.ground import GroundError, ground, part, span
from pepperusher.net.discovery import BadList, News, address_of, news_of
from pepperusher.terms import Ground

SOCKETS = 1024
CONNECT_WITHIN = 1000.0
KEEPALIVE = 10_000.0


class ToldError(ValueError):
    """A configuration that cannot be served from; its text is one clear line."""


class Told:
    __slots__ = ("name", "listen", "discovery", "sockets", "known", "ground", "connect_within", "idle_most",
                 "console")

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    sockets: int
    known: News | None
    ground: Ground
    connect_within: int
    idle_most: int
    console: tuple[str, int] | None   # None where operators have no address of their own


def _address(given: str | None, of: dict[str, Any], name: str) -> tuple[str, int]:
    try:
        return address_of(given or of.get(name))
    except BadList as error:
        raise ToldError(f"{name}: {error}") from None


def read(path: str, name: str | None = None, listen: str | None = None, discovery: str | None = None,
         console: str | None = None, file_first: bool = False) -> Told:
    """The file at `path`; what is given beside it goes before it.

    `file_first` is for a file that was replaced under way: the discovery that it names is the newer word.
    """
    try:
        with open(path, encoding="utf-8") as file:
            of = json.load(file)
    except OSError as error:
        raise ToldError(f"{path}: {error.strerror or error}") from None
    except (ValueError, RecursionError):
        raise ToldError(f"{path}: is not JSON") from None
    if not isinstance(of, dict):
        raise ToldError(f"{path}: is not an object")
    made = Told()
    made.name = name or str(of.get("name", "proxy"))
    made.listen = _address(listen, of, "listen")
    made.discovery = _address(None if file_first and "discovery" in of else discovery, of, "discovery")
    made.console = _address(console, of, "console") if console or of.get("console") is not None else None
    try:
        seed = int(str(of.get("seed", "0")), 16)
    except ValueError:
        raise ToldError(f"seed: {of['seed']!r} is not a hexadecimal number") from None
    try:
        limits, settings = part(of, "limits", dict), part(of, "settings", dict)
        if not settings:
            raise ToldError("settings: missing")
        sockets = limits.get("sockets", SOCKETS)
        if not isinstance(sockets, (int, float)) or not 64 <= sockets <= 1_000_000:
            raise ToldError(f"limits: sockets: {sockets!r} is not a number from 64 up")
        made.sockets = int(sockets)
        made.ground = ground(settings, seed)
        if not made.ground.use_cases:
            raise ToldError("settings: use-cases: there is none")
        allowed = part(settings, "policy-limits", dict)
        made.connect_within = span(allowed, "connect-timeout", CONNECT_WITHIN)
        made.idle_most = span(allowed, "keepalive", KEEPALIVE)
    except GroundError as error:
        raise ToldError(f"settings: {error}") from None
    try:
        made.known = news_of(of["known"]) if of.get("known") else None
    except BadList as error:
        raise ToldError(f"known: {error}") from None
    return made
