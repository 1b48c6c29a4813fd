"""A control machine's own file: typed, read whole, all that is wrong said at once, a line each."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal, NamedTuple

from msgspec import Meta

import msgspec

from pepperusher import table_conversion
from pepperusher.configuration.key_locations import KeyLocations
from pepperusher.configuration.loader import LARGEST, Fault, ConfigurationError
from pepperusher.configuration.validation import address_of
from pepperusher.configuration.tables import Table

SHORTEST_KEY, LONGEST_KEY = 16, 4096
MOST_PEERS = 63


def _said(text: str) -> Meta:
    return Meta(description=text)


class RelayTable(Table, kw_only=True, frozen=True):
    """Which list of backends it watches at discovery, and writes as a fact of its region."""

    discovery: Annotated[str, _said("where discovery answers, address:port; as the proxies' configuration has it")]
    endpoints: Annotated[str, _said("the fact's name, region/name")]


class ControlFile(Table, kw_only=True, frozen=True):
    """The file of `pepperusher control`."""

    name: Annotated[str, _said("what the others, logs and ctl call it")]
    listen: Annotated[str, _said("where proxies, the other control machines and operators connect, address:port")]
    key_file: Annotated[str, _said("a file with the key that all have, 16 characters or more")]
    state_dir: Annotated[str, _said("a folder that lasts, for what it holds")]
    region: Annotated[str, _said("where it stands")]
    zone: Annotated[str, _said("where in its region")] = ""
    peers: Annotated[list[str], _said("the other control machines, address:port each")] = msgspec.field(
        default_factory=list
    )
    local: Annotated[str, _said("the address that its own connections come from; the kernel's choice if left out")] = ""
    origin: Annotated[bool, _said("whether it is the one that writes configuration")] = False
    epoch: Annotated[int, _said("raised by hand whenever another becomes the origin, or it lost its disk")] = 1
    owns_facts: Annotated[bool, _said("whether it is the one that writes its region's facts")] = False
    relay: Annotated[RelayTable | None, _said("the list that it hands on from discovery; none if left out")] = None
    subscribers: Annotated[int, _said("how many proxies may be connected at once")] = 4_000
    log: Annotated[Literal["plain", "text", "json"], _said("the form of its lines")] = "json"


class Read(NamedTuple):
    file: ControlFile
    key: bytes


def read_key(path: str | Path) -> bytes:
    """Raises ValueError, in one line."""
    try:
        with open(path, "rb") as file:
            data = file.read(LONGEST_KEY + 1)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror or error}") from None
    key = data.strip()
    if not SHORTEST_KEY <= len(key) <= LONGEST_KEY:
        raise ValueError(f"{path}: a key of {len(key)} bytes, and it needs {SHORTEST_KEY} to {LONGEST_KEY}")
    return key


def _relay(said: RelayTable, file: ControlFile, tell: Callable[[str, str, str], None]) -> None:
    try:
        if address_of(said.discovery)[1] == 0:
            tell("relay.discovery", "form", f"{said.discovery} has no port")
    except ValueError as error:
        tell("relay.discovery", "form", str(error))
    if not file.owns_facts:
        tell("relay", "one owner", "is for the machine that owns its region's facts (owns_facts)")
    if (
        not said.endpoints.startswith(f"{file.region}/")
        or not 1 < len(said.endpoints) <= 100
        or not said.endpoints.isprintable()
    ):
        tell(
            "relay.endpoints",
            "form",
            f"{said.endpoints[:100]!r} is no name of a fact of {file.region}, as {file.region}/NAME",
        )


def read(path: str | Path) -> Read:
    """Raises ConfigurationError with all that is wrong."""
    source = str(path)
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1)
        if len(data) > LARGEST:
            raise ConfigurationError([Fault(source, 0, "", "form", f"is over {LARGEST} bytes")])
        text = data.decode()
        raw = tomllib.loads(text)
    except OSError as error:
        raise ConfigurationError([Fault(source, 0, "", "form", error.strerror or str(error))]) from None
    except UnicodeDecodeError:
        raise ConfigurationError([Fault(source, 0, "", "form", "is not text in UTF-8")]) from None
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError([Fault(source, 0, "", "form", f"is not TOML: {error}")]) from None
    except RecursionError:
        raise ConfigurationError([Fault(source, 0, "", "form", "is nested too deep")]) from None
    lines = KeyLocations(text)
    file_, wrong = table_conversion.converted(raw, ControlFile)
    faults = [
        Fault(source, lines.at(one.key), one.key, "known key" if one.unknown else "form", one.what) for one in wrong
    ]
    key = b""
    if file_ is not None:

        def tell(where: str, rule: str, what: str) -> None:
            faults.append(Fault(source, lines.at(where), where, rule, what))

        if not file_.name or len(file_.name) > 100 or not file_.name.isprintable():
            tell("name", "form", f"{file_.name[:100]!r} is no name")
        if len(file_.region) > 100 or "/" in file_.region or not file_.region.isprintable():
            tell("region", "form", f"{file_.region[:100]!r} is no region")
        for at, address in [("listen", file_.listen), *((f"peers[{n}]", one) for n, one in enumerate(file_.peers))]:
            try:
                port = address_of(address)[1]
            except ValueError as error:
                tell(at, "form", str(error))
            else:
                if port == 0 and at != "listen":
                    tell(at, "form", f"{address} has no port")
        if len(file_.peers) > MOST_PEERS:
            tell("peers", "form", f"{len(file_.peers)}, and {MOST_PEERS} are the most")
        if len(set(file_.peers)) < len(file_.peers):
            tell("peers", "one of a name", "an address stands twice")
        if not 1 <= file_.epoch <= 2**53:
            tell("epoch", "form", f"{file_.epoch} is not from 1 up")
        if not 1 <= file_.subscribers <= 50_000:
            tell("subscribers", "sound limits", f"{file_.subscribers} is not from 1 to 50000")
        if file_.owns_facts and not file_.region:
            tell("owns_facts", "form", "there is no region whose facts it could own")
        if file_.relay is not None:
            _relay(file_.relay, file_, tell)
        try:
            key = read_key(file_.key_file)
        except ValueError as error:
            tell("key_file", "form", str(error))
    if faults:
        raise ConfigurationError(sorted(faults, key=lambda one: (one.line, one.key)))
    assert file_ is not None
    return Read(file_, key)
