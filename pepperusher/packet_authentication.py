"""Authenticates packets with a shared key: magic bytes, a format number and a keyed checksum. Free of I/O.

A packet from elsewhere, truncated, damaged or of another format is rejected with the reason, and nothing of it is read.
"""

from __future__ import annotations

import hashlib
import hmac

CHECKSUM_BYTES = 16


class InvalidPacketError(ValueError):
    """The packet was rejected. The text is one of a few reasons, since rejections are counted by it."""


class PacketAuthenticator:
    """Seals and opens packets. `key` has at most 64 bytes; `magic` tells apart the uses of a key."""

    def __init__(self, key: bytes, magic: bytes, format_number: int) -> None:
        self._key, self._magic, self._format = key, magic, format_number
        self._header = b"%s%c" % (magic, format_number)
        self.overhead = len(self._header) + CHECKSUM_BYTES

    def _checksum(self, covered: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(
            b"%s%c%s" % (covered, self._format, body), key=self._key, digest_size=CHECKSUM_BYTES
        ).digest()

    def seal(self, body: bytes, covered: bytes = b"") -> bytes:
        """Adds the header to `body`. `covered` is included in the checksum but not sent: the receiver knows it."""
        return b"%s%s%s" % (self._header, self._checksum(covered, body), body)

    def open(self, data: bytes, covered: bytes = b"") -> bytes:
        """Returns the body of an authentic packet. Raises InvalidPacketError."""
        if len(data) < self.overhead or not data.startswith(self._magic):
            raise InvalidPacketError("not of this program")
        format_number, body = data[len(self._magic)], data[self.overhead :]
        if format_number != self._format:
            # Another format may use another checksum, so nothing but the format number can be reported.
            raise InvalidPacketError(f"of form {format_number}, not {self._format}")
        if not hmac.compare_digest(self._checksum(covered, body), data[len(self._header) : self.overhead]):
            raise InvalidPacketError("with a wrong checksum: another key, or damaged")
        return body
