"""The records that the books are kept in: one for each try of a ticket, one for each attempt that came.

Times are us after the start of the rehearsal. Records go to files as MessagePack, each behind its length, so
that what a killed process had written is read to its last whole record.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec

LENGTH = struct.Struct(">I")
# How a try ended for its client.
DONE, BOUNCED, SCRAPPED, LEFT = "done", "bounced", "scrapped", "left"
# No whole answer: the connection ended (or a strange answer came), or never came up, or nobody was there to
# ask.
LOST, WRONG, UNREACHED, NOBODY = "lost", "wrong", "unreached", "nobody"


class ClientAttempt(msgspec.Struct, array_like=True, gc=False):
    """One ticket as a proxy sees it. Tries of one client's wish share `wish`; `nth` counts from 0.

    `parent` is the ticket whose work made this call, "" from outside. `intended` is when it should have been
    sent, `sent` when it was (-1: never), `written` when the kernel had its last byte, `ended` when its end
    was known. `limit` is how long its client told that it would wait (us, 0 where it did not). `crossed` is
    when a kept connection ended under it with nothing said, and it was sent once more on a new one; -1 is
    never.
    """

    name: str
    wish: str
    nth: int
    mark: str
    use: int
    customer: int
    proxy: int
    parent: str
    work: int
    intended: int
    sent: int
    written: int
    ended: int
    how: str
    status: int
    advice: int
    fresh: bool
    limit: int
    crossed: int


class BackendAttempt(msgspec.Struct, array_like=True, gc=False):
    """One attempt as its backend saw it; -1 stands for never.

    `first` and `last` are when its first and its last byte came, `begun` when its work began, `ended` when it
    was over here, `gone` when its sender closed before that. `effect` is when the work had been done whole.
    `repeat` where the mark was known, `away` where it was turned away as never started, `worked` the work put
    in.
    """

    name: str
    mark: str
    use: int
    place: int
    id: str
    tier: int
    cell: int
    first: int
    last: int
    begun: int
    effect: int
    ended: int
    gone: int
    repeat: bool
    away: bool
    answered: bool
    fate: str
    worked: int


class StateNotification(msgspec.Struct, array_like=True, gc=False):
    """Discovery wrote to a proxy that `id` is in `state`."""

    proxy: int
    id: str
    state: str
    at: int


class BackendLifetimeRecord(msgspec.Struct, array_like=True, gc=False):
    """A backend's stay as it was: `fell` is when it was pushed over, -1 for never."""

    place: int
    id: str
    born: int
    ends: int
    fell: int


class ProxyRun(msgspec.Struct, array_like=True, gc=False):
    """A proxy's process: when it was started, ready, told to stop (SIGTERM) and killed or ended; -1 for
    never."""

    proxy: int
    pid: int
    started: int
    ready: int
    told: int
    killed: int
    ended: int
    status: int


class Stall(msgspec.Struct, array_like=True, gc=False):
    """A time in which a generator did not run: what was measured in it is not to be trusted."""

    process: int
    at: int
    until: int


class Sample(msgspec.Struct, array_like=True, gc=False):
    """A proxy's process at a time: its CPU so far in us, its memory in KiB, its descriptors."""

    proxy: int
    at: int
    cpu: int
    memory: int
    descriptors: int


class BreakerChange(msgspec.Struct, array_like=True, gc=False):
    """A proxy's breaker for a backend changed, as its log says."""

    proxy: int
    at: int
    id: str
    state: str


class ProxyPause(msgspec.Struct, array_like=True, gc=False):
    """The rehearsal kept a proxy's process from running from one time to another."""

    proxy: int
    at: int
    until: int


class MembershipBelief(msgspec.Struct, array_like=True, gc=False):
    """What a proxy says that it finds of a member of its group: `what` befell `of`, told by `by` where somebody did."""

    proxy: int
    at: int
    what: str
    of: str
    by: str


class Reconfiguration(msgspec.Struct, array_like=True, gc=False):
    """A proxy's process got SIGHUP, with a configuration that was written anew."""

    proxy: int
    at: int


KINDS: tuple[type[msgspec.Struct], ...] = (
    ClientAttempt, BackendAttempt, StateNotification, BackendLifetimeRecord, ProxyRun, Stall, Sample, BreakerChange, ProxyPause, MembershipBelief, Reconfiguration,
)  # fmt: skip
DECODERS = [msgspec.msgpack.Decoder(kind) for kind in KINDS]
NUMBER = {kind: number for number, kind in enumerate(KINDS)}


class Writer:
    """Appends records to a file; what waits is written by `flush`."""

    def __init__(self, path: Path) -> None:
        self._file: BinaryIO = open(path, "ab")
        self._waiting: list[msgspec.Struct] = []  # emptied by flush
        self._encode = msgspec.msgpack.Encoder(enc_hook=int).encode  # spans are whole numbers

    def add(self, record: msgspec.Struct) -> None:
        self._waiting.append(record)

    def flush(self) -> None:
        waiting, self._waiting = self._waiting, []
        parts = []
        for record in waiting:
            data = self._encode(record)
            parts += (LENGTH.pack(len(data) + 1), bytes((NUMBER[type(record)],)), data)
        if parts:
            self._file.write(b"".join(parts))
            self._file.flush()

    def close(self) -> None:
        self.flush()
        self._file.close()


def read(path: Path) -> Iterator[msgspec.Struct]:
    """The whole records of a file; a torn end is left out."""
    data = path.read_bytes()
    at = 0
    while at + LENGTH.size < len(data):
        (length,) = LENGTH.unpack_from(data, at)
        at += LENGTH.size
        if at + length > len(data):
            return
        yield DECODERS[data[at]].decode(memoryview(data)[at + 1 : at + length])
        at += length
