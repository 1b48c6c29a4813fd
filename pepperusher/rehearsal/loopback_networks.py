"""Loopback addresses that no other rehearsal on the machine uses now."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterator
from contextlib import contextmanager

LOCK_PORT = 7069
NETS = range(16, 240)


class RehearsalError(RuntimeError):
    """A rehearsal that could not be played to its end; its text is one line."""


@contextmanager
def reserve_network() -> Iterator[int]:
    """A second number for this rehearsal's addresses, 127.N.x.y, that no other one on the machine uses
    now."""
    first = os.getpid() % len(NETS)
    for turn in range(len(NETS)):
        net = NETS[(first + turn) % len(NETS)]
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
