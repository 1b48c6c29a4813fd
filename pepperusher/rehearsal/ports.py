"""Free ports for processes that are started with a port in their configuration, and so listen on it only later.

A port that the kernel reports as free may be taken by an outgoing connection before the process listens on it. The ports
given here are outside the range from which the kernel takes those (net.ipv4.ip_local_port_range).
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

LOOPBACK = "127.0.0.1"
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_PORTS = (32_768, 60_999)
# Registered services are mostly below the first.
FIRST_PORT, LAST_PORT = 12_000, 65_535
# Fewer ports on one side of the kernel's range are not enough for processes that choose at random.
MIN_PORTS = 1_000

_given: set[tuple[str, int]] = set()  # what this process has given out


def ephemeral_ports() -> tuple[int, int]:
    """The first and the last port that the kernel gives to outgoing connections."""
    try:
        first, last = map(int, EPHEMERAL_RANGE.read_text().split())
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_PORTS
    return first, last


def port_range() -> range:
    """The ports to choose from. Raises OSError where the kernel's range leaves too few."""
    first, last = ephemeral_ports()
    for ports in (range(FIRST_PORT, first), range(last + 1, LAST_PORT + 1)):
        if len(ports) >= MIN_PORTS:
            return ports
    raise OSError(f"{EPHEMERAL_RANGE}: {first} to {last} leaves no {MIN_PORTS} ports for processes")


def free_port(host: str = LOOPBACK) -> int:
    """Returns a TCP port of `host` that is free and that no outgoing connection takes, another one each time. Raises
    OSError.
    """
    ports = port_range()
    while True:
        port = random.choice(ports)
        if (host, port) in _given:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        _given.add((host, port))
        return port
