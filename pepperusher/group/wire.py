"""The encoding of packets: magic bytes, the format version, a keyed checksum and a MessagePack body. It does no
I/O.

Foreign, truncated or damaged packets and those of another format version are recognised, and nothing of them
is read. Fields that a later release appends to a message are skipped, so that releases with the same format
version work side by side.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from pepperusher.group.messages import Suspicion, Broadcast, Packet, MemberRecord
from pepperusher.packet_authentication import CHECKSUM_BYTES, InvalidPacketError, PacketAuthenticator

MAGIC = b"pu"
FORMAT_VERSION = 1
HEADER_BYTES = len(MAGIC) + 1 + CHECKSUM_BYTES
# The most bytes of a datagram. With its IPv6 and UDP headers it fits the minimum MTU of IPv6, so that no
# network fragments it.
MAX_DATAGRAM_BYTES = 1200
__all__ = [
    "MAX_DATAGRAM_BYTES",
    "FORMAT_VERSION",
    "HEADER_BYTES",
    "MAGIC",
    "CHECKSUM_BYTES",
    "InvalidPacketError",
    "Wire",
]


class _EncodedPacket(msgspec.Struct, frozen=True, array_like=True):
    """A `Packet` whose parts are encoded already; the order of the fields is the same."""

    kind: int
    packet_number: int
    seq: int
    sender: msgspec.Raw
    recipient: str
    broadcasts_digest: int
    target: msgspec.Raw | None
    records: list[msgspec.Raw]
    suspicions: list[msgspec.Raw]
    broadcasts: list[msgspec.Raw]
    list_version: int


class Wire:
    """Encodes, signs and verifies packets. `key` is the group's; packets made with another key are rejected."""

    def __init__(self, key: str) -> None:
        authenticator = PacketAuthenticator(hashlib.sha256(key.encode()).digest(), MAGIC, FORMAT_VERSION)
        self.seal, self.open = authenticator.seal, authenticator.open
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(Packet).decode

    def encode_part(self, message: MemberRecord | Suspicion | Broadcast) -> bytes:
        """Encodes one record, suspicion or broadcast, which is then sent in any number of packets."""
        return self._encode(message)

    def pack(
        self,
        kind: int,
        packet_number: int,
        seq: int,
        sender: bytes,
        recipient: str,
        broadcasts_digest: int,
        target: bytes | None,
        records: Iterable[bytes],
        suspicions: Iterable[bytes],
        broadcasts: Iterable[bytes],
        list_version: int = 0,
    ) -> bytes:
        body = self._encode(
            _EncodedPacket(
                kind,
                packet_number,
                seq,
                msgspec.Raw(sender),
                recipient,
                broadcasts_digest,
                None if target is None else msgspec.Raw(target),
                [msgspec.Raw(part) for part in records],
                [msgspec.Raw(part) for part in suspicions],
                [msgspec.Raw(part) for part in broadcasts],
                list_version,
            )
        )
        return self.seal(body)

    def unpack(self, data: bytes) -> Packet:
        """Verifies and decodes a packet. Raises InvalidPacketError."""
        body = self.open(data)
        try:
            return self._decode(body)
        except (msgspec.MsgspecError, RecursionError):
            # The checksum is right but the body is invalid. The sender has the key, so its release is faulty.
            raise InvalidPacketError("sound, but no packet") from None
