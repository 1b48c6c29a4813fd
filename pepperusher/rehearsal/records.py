"""The records of a rehearsal that the rule checker reads: the clients' attempts, the backends' attempts, and events.

Times are in us after the start of the rehearsal. Each record is written to a file as MessagePack with a length prefix, so
that the file of a killed process can be read up to its last complete record.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO

import msgspec

LENGTH_PREFIX = struct.Struct(">I")
# How a client's attempt ended.
DONE, BOUNCED, SCRAPPED, LEFT = "done", "bounced", "scrapped", "left"
# Without a complete answer: the connection was lost, the answer was wrong, no connection could be established, or there was
# no proxy to connect to.
LOST, WRONG, UNREACHED, NOBODY = "lost", "wrong", "unreached", "nobody"


class ClientAttempt(msgspec.Struct, array_like=True, gc=False):
    """One attempt of a client, which is one ticket for the proxy. The attempts of one request share `wish`; `nth` counts from 0.

    `mark` is the idempotency key. `parent` is the ticket whose work made this call, "" for external clients. `intended` is when
    it should have been sent, `sent` when it was (-1: never), `written` when the kernel had accepted its last byte, and `ended`
    when the client knew its outcome. `limit` is the time limit that the client announced (us, 0 if none). `crossed` is when a
    reused connection closed without an answer and the client sent the ticket again on a new one; -1 for never.
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
    """One attempt as the backend saw it; times of -1 stand for never.

    `first` and `last` are when the first and the last byte arrived, `begun` when the work began, `ended` when the attempt was
    over at the backend, and `gone` when the sender closed the connection before that. `effect` is when the work was complete
    and took effect. `repeat` says that the idempotency key was already known, `away` that the backend rejected the attempt
    without starting it; `worked` is the work that was done.
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
    """Discovery notified a proxy that the backend `id` is in `state`."""

    proxy: int
    id: str
    state: str
    at: int


class BackendLifetimeRecord(msgspec.Struct, array_like=True, gc=False):
    """The lifetime of one backend process: from `born` to `ends`; `fell` is when overload pushed it over, -1 for never."""

    place: int
    id: str
    born: int
    ends: int
    fell: int


class ProxyRun(msgspec.Struct, array_like=True, gc=False):
    """One process of a proxy: when it was started, became ready, got SIGTERM (`told`), was killed and ended; -1 for never."""

    proxy: int
    pid: int
    started: int
    ready: int
    told: int
    killed: int
    ended: int
    status: int


class Stall(msgspec.Struct, array_like=True, gc=False):
    """A span in which a load generator did not run, so that what it measured then is unreliable."""

    process: int
    at: int
    until: int


class Sample(msgspec.Struct, array_like=True, gc=False):
    """The resource use of a proxy's process at a time: total CPU time in us, memory in KiB, open descriptors."""

    proxy: int
    at: int
    cpu: int
    memory: int
    descriptors: int


class BreakerChange(msgspec.Struct, array_like=True, gc=False):
    """A change of a proxy's breaker for a backend, read from the proxy's log."""

    proxy: int
    at: int
    id: str
    state: str


class ProxyPause(msgspec.Struct, array_like=True, gc=False):
    """A span in which the rehearsal paused a proxy's process."""

    proxy: int
    at: int
    until: int


class MembershipBelief(msgspec.Struct, array_like=True, gc=False):
    """A proxy's belief about a member of its group, read from its log.

    `what` happened to `of`; `by` is the member that reported it, if any.
    """

    proxy: int
    at: int
    what: str
    of: str
    by: str


class Reconfiguration(msgspec.Struct, array_like=True, gc=False):
    """A proxy's process got SIGHUP after its configuration had been rewritten."""

    proxy: int
    at: int


RECORD_TYPES: tuple[type[msgspec.Struct], ...] = (
    ClientAttempt, BackendAttempt, StateNotification, BackendLifetimeRecord, ProxyRun, Stall, Sample, BreakerChange, ProxyPause, MembershipBelief, Reconfiguration,
)  # fmt: skip
DECODERS_BY_NUMBER = [msgspec.msgpack.Decoder(record_type) for record_type in RECORD_TYPES]
NUMBER_BY_TYPE = {record_type: number for number, record_type in enumerate(RECORD_TYPES)}


class Writer:
    """Appends records to a file; they are buffered until `flush`."""

    def __init__(self, path: Path) -> None:
        self._file: BinaryIO = open(path, "ab")
        self._buffered: list[msgspec.Struct] = []  # emptied by flush
        self._encode_record = msgspec.msgpack.Encoder(enc_hook=int).encode  # a Span is an int

    def add(self, record: msgspec.Struct) -> None:
        self._buffered.append(record)

    def flush(self) -> None:
        buffered, self._buffered = self._buffered, []
        parts = []
        for record in buffered:
            data = self._encode_record(record)
            parts += (LENGTH_PREFIX.pack(len(data) + 1), bytes((NUMBER_BY_TYPE[type(record)],)), data)
        if parts:
            self._file.write(b"".join(parts))
            self._file.flush()

    def close(self) -> None:
        self.flush()
        self._file.close()


def read(path: Path) -> Iterator[msgspec.Struct]:
    """Yields the complete records of a file; a truncated record at its end is skipped."""
    data = path.read_bytes()
    offset = 0
    while offset + LENGTH_PREFIX.size < len(data):
        (length,) = LENGTH_PREFIX.unpack_from(data, offset)
        offset += LENGTH_PREFIX.size
        if offset + length > len(data):
            return
        yield DECODERS_BY_NUMBER[data[offset]].decode(memoryview(data)[offset + 1 : offset + length])
        offset += length
