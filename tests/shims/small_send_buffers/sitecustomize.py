"""Gives every TCP socket of a proxy's process a small send buffer, as hosts with little memory for sockets do.

The interpreter imports this module at its start if the folder is on PYTHONPATH. With RECEIVE_BUFFER_BYTES in the environment
their receive buffers have that size. The kernel doubles the sizes that are set.
"""

import os
import socket

SEND_BUFFER_BYTES = 16 * 1024
RECEIVE_BUFFER_BYTES = os.environ.get("RECEIVE_BUFFER_BYTES")
_original_init = socket.socket.__init__


def _init_with_small_buffer(self, *arguments, **options):  # type: ignore[no-untyped-def]
    _original_init(self, *arguments, **options)
    if self.family == socket.AF_INET and self.type == socket.SOCK_STREAM:
        self.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if RECEIVE_BUFFER_BYTES:
            self.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, int(RECEIVE_BUFFER_BYTES))


socket.socket.__init__ = _init_with_small_buffer  # type: ignore[method-assign]
