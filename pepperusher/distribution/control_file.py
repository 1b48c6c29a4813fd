"""The configuration file of a control machine: validated as a whole, with all errors reported at once, one a line."""

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

MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 4096
MAX_PEERS = 63


def _description(text: str) -> Meta:
    return Meta(description=text)


class RelayTable(Table, kw_only=True, frozen=True):
    """The list of backends that this machine watches at discovery and publishes as a fact of its region."""

    discovery: Annotated[str, _description("the address of discovery, address:port, as in the proxies' configuration")]
    endpoints: Annotated[str, _description("the name of the fact, region/name")]


class ControlFile(Table, kw_only=True, frozen=True):
    """The file of `pepperusher control`."""

    name: Annotated[str, _description("its name in logs, in `ctl` and for other control machines")]
    listen: Annotated[str, _description("the address for proxies, other control machines and operators, address:port")]
    key_file: Annotated[str, _description("a file with the shared key, 16 characters or more")]
    state_dir: Annotated[str, _description("a persistent folder for its resources")]
    region: Annotated[str, _description("its region")]
    zone: Annotated[str, _description("its zone in the region")] = ""
    peers: Annotated[list[str], _description("the other control machines, address:port each")] = msgspec.field(
        default_factory=list
    )
    local: Annotated[
        str, _description("the source address of its own connections; chosen by the kernel if left out")
    ] = ""
    origin: Annotated[bool, _description("whether it is the origin, the one machine that writes configuration")] = False
    epoch: Annotated[
        int, _description("raised by hand when another machine becomes the origin or the origin lost its disk")
    ] = 1
    owns_facts: Annotated[bool, _description("whether it is the one machine that writes its region's facts")] = False
    relay: Annotated[RelayTable | None, _description("the list that it relays from discovery; none if left out")] = None
    subscribers: Annotated[int, _description("how many proxies may be connected at once")] = 4_000
    log: Annotated[Literal["plain", "text", "json"], _description("the format of its log")] = "json"


class LoadedControlFile(NamedTuple):
    """A valid file and the key that it names."""

    file: ControlFile
    key: bytes


def read_key(path: str | Path) -> bytes:
    """Reads the shared key. Raises ValueError with one line."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_KEY_BYTES + 1)
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror or error}") from None
    key = data.strip()
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ValueError(f"{path}: the key has {len(key)} bytes, expected {MIN_KEY_BYTES} to {MAX_KEY_BYTES}")
    return key


def _relay(table: RelayTable, file: ControlFile, report: Callable[[str, str, str], None]) -> None:
    """Validates the relay table."""
    try:
        if address_of(table.discovery)[1] == 0:
            report("relay.discovery", "form", f"{table.discovery} has no port")
    except ValueError as error:
        report("relay.discovery", "form", str(error))
    if not file.owns_facts:
        report("relay", "one owner", "is for the machine that owns its region's facts (owns_facts)")
    if (
        not table.endpoints.startswith(f"{file.region}/")
        or not 1 < len(table.endpoints) <= 100
        or not table.endpoints.isprintable()
    ):
        report(
            "relay.endpoints",
            "form",
            f"{table.endpoints[:100]!r} is not a fact of {file.region}: expected {file.region}/NAME",
        )


def read(path: str | Path) -> LoadedControlFile:
    """Raises ConfigurationError with all faults."""
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
    control_file, errors = table_conversion.converted(raw, ControlFile)
    faults = [
        Fault(source, lines.at(fault.key), fault.key, "known key" if fault.unknown else "form", fault.what)
        for fault in errors
    ]
    key = b""
    if control_file is not None:

        def report(setting: str, rule: str, problem: str) -> None:
            faults.append(Fault(source, lines.at(setting), setting, rule, problem))

        if not control_file.name or len(control_file.name) > 100 or not control_file.name.isprintable():
            report("name", "form", f"{control_file.name[:100]!r} is not a valid name")
        if len(control_file.region) > 100 or "/" in control_file.region or not control_file.region.isprintable():
            report("region", "form", f"{control_file.region[:100]!r} is not a valid region")
        for setting, address in [
            ("listen", control_file.listen),
            *((f"peers[{index}]", peer) for index, peer in enumerate(control_file.peers)),
        ]:
            try:
                port = address_of(address)[1]
            except ValueError as error:
                report(setting, "form", str(error))
            else:
                if port == 0 and setting != "listen":
                    report(setting, "form", f"{address} has no port")
        if len(control_file.peers) > MAX_PEERS:
            report("peers", "form", f"{len(control_file.peers)} peers exceed the limit of {MAX_PEERS}")
        if len(set(control_file.peers)) < len(control_file.peers):
            report("peers", "one of a name", "an address is listed twice")
        if not 1 <= control_file.epoch <= 2**53:
            report("epoch", "form", f"{control_file.epoch} is not from 1 to 2**53")
        if not 1 <= control_file.subscribers <= 50_000:
            report("subscribers", "sound limits", f"{control_file.subscribers} is not from 1 to 50000")
        if control_file.owns_facts and not control_file.region:
            report("owns_facts", "form", "is set without a region")
        if control_file.relay is not None:
            _relay(control_file.relay, control_file, report)
        try:
            key = read_key(control_file.key_file)
        except ValueError as error:
            report("key_file", "form", str(error))
    if faults:
        raise ConfigurationError(sorted(faults, key=lambda fault: (fault.line, fault.key)))
    assert control_file is not None
    return LoadedControlFile(control_file, key)
