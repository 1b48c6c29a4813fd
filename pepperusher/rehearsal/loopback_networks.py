"""Reserves loopback addresses that no other rehearsal on the machine uses."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

LOCK_PORT = 7069
NETS = range(16, 240)


class RehearsalError(RuntimeError):
    """A rehearsal failed before its end. The message is one line."""


@contextmanager
def reserve_network() -> Iterator[int]:
    """Reserves a network 127.N.x.y for this rehearsal and yields N. A listening socket on the network locks it against
    other rehearsals on the machine."""
    first = os.getpid() % len(NETS)
    for offset in range(len(NETS)):
        net = NETS[(first + offset) % len(NETS)]
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.0.1", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        lock.listen(1)
        try:
            yield net
        finally:
            lock.close()
        return
    raise RehearsalError("no loopback addresses are left: over 200 rehearsals run on this machine")
