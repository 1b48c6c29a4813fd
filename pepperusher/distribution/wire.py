"""A connection's bytes: messages in frames, each frame sealed for this connection and this place in it; free
of I/O.

Each side begins with some chance bytes of its own, and the keys of the two directions are made of the common
key and both. So a frame that was recorded, repeated, left out or sent back is as wrong as a stranger's.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Iterator

import msgspec

from pepperusher.distribution import messages
from pepperusher.distribution.messages import Message
from pepperusher.packet_authentication import BadPacket, PacketAuthenticator

MARK = b"pd"
FORM = 1
LENGTH = struct.Struct(">I")
COUNT = struct.Struct(">Q")
CHANCE = 16
HANDSHAKE_BYTES = LENGTH.size + len(MARK) + 1 + CHANCE
# A message goes in parts of at most this, so that a slow one holds no more than that in a buffer of its own.
PART = 32 * 1024
LAST, MORE = b"\0", b"\1"
CALLER, CALLED = b"caller", b"called"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def encode(message: Message) -> bytes:
    """Once for all connections that it is sent on."""
    return _encode(message)


def decode(data: bytes) -> Message:
    """Raises BadPacket."""
    try:
        return _decode(data)
    except (msgspec.MsgspecError, RecursionError):
        # Sound and not to be read: from whoever has the key, so a fault of a release.
        raise BadPacket("sound, but no message") from None


class Session:
    """One connection as one side has it. Raises BadPacket for whatever is not of the other side, and is of no
    use from then on. `longest` is how long a message from there may be; raised once it is known who it is.
    """

    def __init__(self, key: bytes, calls: bool, longest: int = messages.LONGEST_HELLO) -> None:
        self._key = hashlib.sha256(b"distribution " + key).digest()
        self._chance = os.urandom(CHANCE)
        self._calls = calls
        self._in: PacketAuthenticator | None = None
        self._out: PacketAuthenticator | None = None
        self._read = self._written = 0
        self._buffer = bytearray()  # one frame and less
        self._parts = bytearray()  # one message and less
        self.longest = longest

    def handshake(self) -> bytes:
        """First on the connection, from either side."""
        return LENGTH.pack(HANDSHAKE_BYTES - LENGTH.size) + MARK + bytes([FORM]) + self._chance

    @property
    def open(self) -> bool:
        """Whether anything can be sent."""
        return self._out is not None

    def _opened(self, data: bytes) -> None:
        if len(data) != HANDSHAKE_BYTES - LENGTH.size or not data.startswith(MARK):
            raise BadPacket("not of this program")
        if data[len(MARK)] != FORM:
            raise BadPacket(f"of form {data[len(MARK)]}, not {FORM}")
        theirs = data[len(MARK) + 1 :]
        both = self._chance + theirs if self._calls else theirs + self._chance
        keys = {side: hashlib.blake2b(side + both, key=self._key, digest_size=32).digest() for side in (CALLER, CALLED)}
        mine, other = (CALLER, CALLED) if self._calls else (CALLED, CALLER)
        self._out, self._in = PacketAuthenticator(keys[mine], MARK, FORM), PacketAuthenticator(keys[other], MARK, FORM)

    def next_frame(self, message: bytes, at: int) -> tuple[bytes, int]:
        """The next frame of a message, and where the rest begins; its length at the end."""
        assert self._out is not None
        end = min(at + PART, len(message))
        sealed = self._out.seal((LAST if end == len(message) else MORE) + message[at:end], COUNT.pack(self._written))
        self._written += 1
        return LENGTH.pack(len(sealed)) + sealed, end

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are whole. Raises BadPacket."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer)
            if length > PART + 64 or (self._in is None and length > HANDSHAKE_BYTES):
                raise BadPacket("a frame that is too long" if self._in else "not of this program")
            if len(self._buffer) < LENGTH.size + length:
                return
            frame = bytes(self._buffer[LENGTH.size : LENGTH.size + length])
            del self._buffer[: LENGTH.size + length]
            if self._in is None:
                self._opened(frame)
                continue
            body = self._in.open(frame, COUNT.pack(self._read))
            self._read += 1
            if not body:
                raise BadPacket("sound, but no message")
            if len(self._parts) + len(body) > self.longest:
                raise BadPacket("a message that is too long")
            self._parts += body[1:]
            if body[:1] == MORE:
                continue
            whole, self._parts = bytes(self._parts), bytearray()
            yield decode(whole)
