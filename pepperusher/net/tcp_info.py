"""What the kernel knows of a TCP connection: times of its segments, and the lengths of its queues."""

from __future__ import annotations

import array
import fcntl
import socket
import struct
import termios
from typing import NamedTuple

from pepperusher.net import clock

# `tcpi_last_data_recv` (milliseconds since data last arrived) and `tcpi_rtt` (the smoothed round trip in microseconds) in
# the kernel's TCP_INFO, and the granularity of the first.
TCP_INFO_FIGURES = struct.Struct("=52xI12xI")
TCP_INFO_GRANULARITY_MS = 4


class TcpFigures(NamedTuple):
    """What the kernel tells of a connection."""

    last_data_at: int  # when data last arrived, at the latest
    round_trip_us: int  # 0 if unknown


def tcp_figures(connection: socket.socket) -> TcpFigures:
    """The figures of a connection; where the platform has none, or it is not TCP, data counts as arriving now."""
    now = clock.now()
    if not hasattr(socket, "TCP_INFO"):
        return TcpFigures(now, 0)
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FIGURES.size)
    except OSError:
        return TcpFigures(now, 0)
    if len(info) < TCP_INFO_FIGURES.size:
        return TcpFigures(now, 0)
    last_data_ms, round_trip_us = TCP_INFO_FIGURES.unpack(info)
    return TcpFigures(now - 1000 * max(0, last_data_ms - TCP_INFO_GRANULARITY_MS), round_trip_us)


def unread_bytes(connection: socket.socket) -> int:
    """How many bytes have arrived and are not read."""
    return _queue_bytes(connection, termios.FIONREAD)


def unacknowledged_bytes(connection: socket.socket) -> int:
    """How many bytes that were written the peer's kernel has not acknowledged."""
    return _queue_bytes(connection, termios.TIOCOUTQ)


def _queue_bytes(connection: socket.socket, request: int) -> int:
    length = array.array("i", [0])
    fcntl.ioctl(connection.fileno(), request, length)
    return length[0]
