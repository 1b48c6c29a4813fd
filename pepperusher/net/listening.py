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


# Of no listener of a group: the kernel then goes by its own choice, as without a filter.
NOBODY = 0xFFFF_FFFF


def steer(made: socket.socket, to: int) -> bool:
    """From now on the kernel gives new connections to this one of the group, 0 being who listened first; NOBODY ends that.

    A listener that closes resets what is queued for it. Which is which holds for two; with more in the group, or where the
    kernel has no such filter, it may come to nothing.
    """
    import ctypes  # here alone, and seldom: it would be a megabyte of each small proxy

    one = ctypes.create_string_buffer(INSTRUCTION.pack(RETURN, 0, 0, to))
    try:
        made.setsockopt(socket.SOL_SOCKET, ATTACH_REUSEPORT_CBPF, PROGRAM.pack(1, ctypes.addressof(one)))
    except OSError:
        return False
    return True
