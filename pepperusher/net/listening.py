"""The listening socket for callers, alone or in a group of sockets that share one address (SO_REUSEPORT)."""

from __future__ import annotations

import socket
import struct

BACKLOG = 1024
# The return instruction of classic BPF, the layouts of an instruction and of a program (struct sock_fprog), and the
# socket option; the socket module has none of them.
BPF_RETURN = 0x06
BPF_INSTRUCTION = struct.Struct("HBBI")
BPF_PROGRAM = struct.Struct("@HP")
ATTACH_REUSEPORT_CBPF = 51


def open_listener(address: tuple[str, int], shared: bool) -> socket.socket:
    """Opens a listening socket. `shared` allows another process to listen at the same address."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listening = socket.socket(family, socket.SOCK_STREAM)
    try:
        # A proxy restarts at its address while connections of its predecessor are still in TIME_WAIT.
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listening.bind(address)
        listening.listen(BACKLOG)
        listening.setblocking(False)
    except OSError:
        listening.close()
        raise
    return listening


# An index that no listener of a group has: the kernel then chooses as it does without a filter.
NO_LISTENER = 0xFFFF_FFFF


def steer_listener_group(listening: socket.socket, index: int) -> bool:
    """Makes the kernel give new connections to the listener with this index in its group, 0 being the first that
    listened; NO_LISTENER ends that. Returns whether the kernel accepted the filter.

    A listener that closes resets the connections in its queue. The indexes are reliable for two listeners; with more,
    or on kernels without such filters, the call may have no effect.
    """
    import ctypes  # imported only here, where it is rarely needed: it takes a megabyte, too much for a small proxy

    instruction = ctypes.create_string_buffer(BPF_INSTRUCTION.pack(BPF_RETURN, 0, 0, index))
    try:
        listening.setsockopt(
            socket.SOL_SOCKET, ATTACH_REUSEPORT_CBPF, BPF_PROGRAM.pack(1, ctypes.addressof(instruction))
        )
    except OSError:
        return False
    return True
