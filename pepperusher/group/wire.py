"""Packets as bytes: a mark, the form's number, a keyed checksum, and MessagePack; free of I/O.

A stranger's bytes, cut, damaged or of another form are told apart and nothing of them is read. Fields that a
later release puts at the end of a word are read over, so that releases of one form work side by side.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from pepperusher.group.messages import Suspicion, Broadcast, Packet, MemberRecord
from pepperusher.packet_authentication import CHECKSUM_BYTES, InvalidPacketError, PacketAuthenticator

MARK = b"pu"
FORM = 1
HEAD = len(MARK) + 1 + CHECKSUM_BYTES
# One datagram: within the least that networks carry whole, headers of IPv6 and UDP taken off.
DATAGRAM = 1200
__all__ = ["DATAGRAM", "FORM", "HEAD", "MARK", "CHECKSUM_BYTES", "InvalidPacketError", "Wire"]


class _Outgoing(msgspec.Struct, frozen=True, array_like=True):
    kind: int
    number: int
    seq: int
    sender: msgspec.Raw
    to: str
    held: int
    target: msgspec.Raw | None
    said: list[msgspec.Raw]
    charges: list[msgspec.Raw]
    notices: list[msgspec.Raw]
    version: int


class Wire:
    """`key` is the group's: whoever has another is a stranger."""

    def __init__(self, key: str) -> None:
        sealed = PacketAuthenticator(hashlib.sha256(key.encode()).digest(), MARK, FORM)
        self.seal, self.open = sealed.seal, sealed.open
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Packet).decode

    def part(self, word: MemberRecord | Suspicion | Broadcast) -> bytes:
        """A word as it will stand in a packet; packed once, however often it is told."""
        return self._encode(word)

    def pack(
        self,
        kind: int,
        number: int,
        seq: int,
        sender: bytes,
        to: str,
        held: int,
        target: bytes | None,
        said: Iterable[bytes],
        charges: Iterable[bytes],
        notices: Iterable[bytes],
        version: int = 0,
    ) -> bytes:
        body = self._encode(
            _Outgoing(
                kind,
                number,
                seq,
                msgspec.Raw(sender),
                to,
                held,
                None if target is None else msgspec.Raw(target),
                [msgspec.Raw(one) for one in said],
                [msgspec.Raw(one) for one in charges],
                [msgspec.Raw(one) for one in notices],
                version,
            )
        )
        return self.seal(body)

    def unpack(self, data: bytes) -> Packet:
        """Raises InvalidPacketError."""
        body = self.open(data)
        try:
            return self._decode(body)
        except (msgspec.MsgspecError, RecursionError):
            # Sound and not to be read: from whoever has the key, so a fault of a release.
            raise InvalidPacketError("sound, but no packet") from None
