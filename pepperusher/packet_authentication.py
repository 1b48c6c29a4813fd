"""Bytes that show that they were made by who has a key: a mark, the form's number, a keyed checksum; free of
I/O.

A stranger's bytes, cut, damaged or of another form are told apart and nothing of them is read.
"""

from __future__ import annotations

import hashlib
import hmac

CHECKSUM_BYTES = 16


class InvalidPacketError(ValueError):
    """Nothing to be believed; the text is why, in words that are few, since they are counted by it."""


class PacketAuthenticator:
    """`key` has 64 bytes at the most. `mark` tells one program's use of it from another's."""

    def __init__(self, key: bytes, mark: bytes, form: int) -> None:
        self._key, self._mark, self._form = key, mark, form
        self._start = b"%s%c" % (mark, form)
        self.overhead = len(self._start) + CHECKSUM_BYTES

    def _sum(self, before: bytes, body: bytes) -> bytes:
        return hashlib.blake2b(
            b"%s%c%s" % (before, self._form, body), key=self._key, digest_size=CHECKSUM_BYTES
        ).digest()

    def seal(self, body: bytes, before: bytes = b"") -> bytes:
        """Any bytes, for who has the key to open. `before` is covered by the checksum and not sent: the other
        side knows it.
        """
        return b"%s%s%s" % (self._start, self._sum(before, body), body)

    def open(self, data: bytes, before: bytes = b"") -> bytes:
        """Raises InvalidPacketError."""
        if len(data) < self.overhead or not data.startswith(self._mark):
            raise InvalidPacketError("not of this program")
        form, body = data[len(self._mark)], data[self.overhead :]
        if form != self._form:
            # Its checksum may be made otherwise; that it speaks another form is all that can be told.
            raise InvalidPacketError(f"of form {form}, not {self._form}")
        if not hmac.compare_digest(self._sum(before, body), data[len(self._start) : self.overhead]):
            raise InvalidPacketError("with a wrong checksum: another key, or damaged")
        return body
