"""The encoding of a connection: messages are split into frames, and each frame is authenticated for this connection and
its position in it; free of I/O.

Each side starts with a random nonce. The keys of the two directions are derived from the shared key and both nonces, so
a frame that was recorded, repeated, omitted or reflected fails authentication like a frame of a stranger.
"""

from __future__ import annotations

import hashlib
import os
import struct
from collections.abc import Iterator

import msgspec

from pepperusher.distribution import messages
from pepperusher.distribution.messages import Message
from pepperusher.packet_authentication import InvalidPacketError, PacketAuthenticator

PROTOCOL_MAGIC = b"pd"
PROTOCOL_VERSION = 1
FRAME_LENGTH = struct.Struct(">I")
FRAME_NUMBER = struct.Struct(">Q")
NONCE_BYTES = 16
HANDSHAKE_BYTES = FRAME_LENGTH.size + len(PROTOCOL_MAGIC) + 1 + NONCE_BYTES
# The most payload in one frame. A slow connection holds at most one frame in its write buffer.
MAX_FRAME_PAYLOAD = 32 * 1024
LAST_FRAME, MORE_FRAMES = b"\0", b"\1"
CLIENT_SIDE, SERVER_SIDE = b"caller", b"called"

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode


def encode(message: Message) -> bytes:
    """Encodes a message once for all connections that it is sent on."""
    return _encode(message)


def decode(data: bytes) -> Message:
    """Raises InvalidPacketError."""
    try:
        return _decode(data)
    except (msgspec.MsgspecError, RecursionError):
        # It is authentic but cannot be decoded: the sender has the key, so this is a fault in one of the releases.
        raise InvalidPacketError("authentic, but not a valid message") from None


class Session:
    """One side of a connection. Raises InvalidPacketError for data that the other side did not send, and is unusable after that.
    `max_message_bytes` limits the length of received messages; it is raised once the role of the other side is known.
    """

    def __init__(self, key: bytes, is_client: bool, max_message_bytes: int = messages.MAX_HELLO_BYTES) -> None:
        self._key = hashlib.sha256(b"distribution " + key).digest()
        self._nonce = os.urandom(NONCE_BYTES)
        self._is_client = is_client
        self._receive_authenticator: PacketAuthenticator | None = None
        self._send_authenticator: PacketAuthenticator | None = None
        self._frames_received = self._frames_sent = 0
        self._buffer = bytearray()  # up to one incomplete frame
        self._message = bytearray()  # up to one incomplete message
        self.max_message_bytes = max_message_bytes

    def handshake(self) -> bytes:
        """The handshake that each side sends first."""
        return (
            FRAME_LENGTH.pack(HANDSHAKE_BYTES - FRAME_LENGTH.size)
            + PROTOCOL_MAGIC
            + bytes([PROTOCOL_VERSION])
            + self._nonce
        )

    @property
    def handshake_complete(self) -> bool:
        """Whether the handshake is complete, so that messages can be sent."""
        return self._send_authenticator is not None

    def _handshake_received(self, data: bytes) -> None:
        """Derives the keys of both directions from the other side's handshake."""
        if len(data) != HANDSHAKE_BYTES - FRAME_LENGTH.size or not data.startswith(PROTOCOL_MAGIC):
            raise InvalidPacketError("not of this program")
        if data[len(PROTOCOL_MAGIC)] != PROTOCOL_VERSION:
            raise InvalidPacketError(f"of form {data[len(PROTOCOL_MAGIC)]}, not {PROTOCOL_VERSION}")
        peer_nonce = data[len(PROTOCOL_MAGIC) + 1 :]
        nonces = self._nonce + peer_nonce if self._is_client else peer_nonce + self._nonce
        keys = {
            side: hashlib.blake2b(side + nonces, key=self._key, digest_size=32).digest()
            for side in (CLIENT_SIDE, SERVER_SIDE)
        }
        sending, receiving = (CLIENT_SIDE, SERVER_SIDE) if self._is_client else (SERVER_SIDE, CLIENT_SIDE)
        self._send_authenticator, self._receive_authenticator = (
            PacketAuthenticator(keys[sending], PROTOCOL_MAGIC, PROTOCOL_VERSION),
            PacketAuthenticator(keys[receiving], PROTOCOL_MAGIC, PROTOCOL_VERSION),
        )

    def next_frame(self, message: bytes, offset: int) -> tuple[bytes, int]:
        """Returns the next frame of a message, and the offset of the rest, which is the length of the message at the
        end.
        """
        assert self._send_authenticator is not None
        end = min(offset + MAX_FRAME_PAYLOAD, len(message))
        sealed = self._send_authenticator.seal(
            (LAST_FRAME if end == len(message) else MORE_FRAMES) + message[offset:end],
            FRAME_NUMBER.pack(self._frames_sent),
        )
        self._frames_sent += 1
        return FRAME_LENGTH.pack(len(sealed)) + sealed, end

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yields the messages that are complete. Raises InvalidPacketError."""
        self._buffer += data
        while len(self._buffer) >= FRAME_LENGTH.size:
            (length,) = FRAME_LENGTH.unpack_from(self._buffer)
            if length > MAX_FRAME_PAYLOAD + 64 or (self._receive_authenticator is None and length > HANDSHAKE_BYTES):
                raise InvalidPacketError(
                    "a frame that is too long" if self._receive_authenticator else "not of this program"
                )
            if len(self._buffer) < FRAME_LENGTH.size + length:
                return
            frame = bytes(self._buffer[FRAME_LENGTH.size : FRAME_LENGTH.size + length])
            del self._buffer[: FRAME_LENGTH.size + length]
            if self._receive_authenticator is None:
                self._handshake_received(frame)
                continue
            body = self._receive_authenticator.open(frame, FRAME_NUMBER.pack(self._frames_received))
            self._frames_received += 1
            if not body:
                raise InvalidPacketError("authentic, but not a valid message")
            if len(self._message) + len(body) > self.max_message_bytes:
                raise InvalidPacketError("a message that is too long")
            self._message += body[1:]
            if body[:1] == MORE_FRAMES:
                continue
            message, self._message = bytes(self._message), bytearray()
            yield decode(message)
