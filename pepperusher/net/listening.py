"""The listening socket of the callers' side, alone or one of a group at one address."""

from __future__ import annotations

import socket
import struct

BACKLOG = 1024
# One instruction of a classic filter, and what the kernel takes a program of them as; neither is in the
# socket module.
RETURN = 0x06
INSTRUCTION = struct.Struct("HBBI")
PROGRAM = struct.Struct("@HP")
ATTACH_REUSEPORT_CBPF = 51


def listener(address: tuple[str, int], shared: bool) -> socket.socket:
    """`shared` where another process may listen at the same address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    try:
        # A proxy starts again under its address while connections of the one before it still time out.
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        made.bind(address)
        made.listen(BACKLOG)
        made.setblocking(False)
    except OSError:
        made.close()
        raise
    return made


def give_way(made: socket.socket) -> bool:
    """From now on the kernel gives new connections to the second of the group, which is who came after us.

    A listener that closes resets what is queued for it, so nothing must be queued any more. With more than two in the group, or
    where the kernel has no such filter, it may come to nothing, and what is queued is accepted up to the close.
    """
    import ctypes   # here alone, and seldom: it would be a megabyte of each small proxy

    one = ctypes.create_string_buffer(INSTRUCTION.pack(RETURN, 0, 0, 1))
    try:
        made.setsockopt(socket.SOL_SOCKET, ATTACH_REUSEPORT_CBPF, PROGRAM.pack(1, ctypes.addressof(one)))
    except OSError:
        return False
    return True
