"""Tests of the ports that are given to processes."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
import struct
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from unittest import mock

from pepperusher.rehearsal import ports
from tests.scene import reset_on_close

# Descriptors that the test leaves to the rest of its process.
DESCRIPTORS_LEFT = 200
# Linux: a bound address gets its port only from the connect, so that the port can serve connections from other addresses.
IP_BIND_ADDRESS_NO_PORT = 24
# The range of ports for one socket; two 16-bit numbers, the last one above. Linux 6.3 and later.
IP_LOCAL_PORT_RANGE = 51
QUEUED_CONNECTIONS = 128


def spare_descriptors() -> int:
    """How many descriptors this process may still open, less those that are left to the rest of it."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return limit - len(os.listdir("/proc/self/fd")) - DESCRIPTORS_LEFT


@contextlib.contextmanager
def taken_ephemeral_ports(host: str) -> Iterator[set[int]]:
    """Takes every ephemeral port of `host` that the descriptors allow, by outgoing connections, which take nothing from those
    of other tests: a port that is bound, at whatever address, is passed over by each connect.
    """
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.create_server((host, ports.free_port(host)), backlog=QUEUED_CONNECTIONS))
        taken: set[int] = set()
        first, last = ports.ephemeral_ports()
        for port in range(first, min(last + 1, first + spare_descriptors())):
            holder = stack.enter_context(socket.socket())
            reset_on_close(holder)
            holder.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
            with contextlib.suppress(OSError):  # an earlier kernel chooses among all, which takes longer
                holder.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, struct.pack("I", port << 16 | port))
            holder.bind((host, 0))
            try:
                holder.connect(listener.getsockname())
            except OSError:
                continue  # another test has bound it
            taken.add(holder.getsockname()[1])
            listener.accept()[0].close()
        yield taken


class FreePorts(unittest.TestCase):
    def test_a_port_binds_while_ephemeral_ports_are_taken(self) -> None:
        """Guards against "address already in use" at a process whose port an outgoing connection took (issue 81)."""
        host = f"127.{200 + os.getpid() % 39}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
        first, last = ports.ephemeral_ports()
        expected = min(last - first + 1, spare_descriptors()) * 9 // 10
        with taken_ephemeral_ports(host) as taken:
            self.assertGreater(len(taken), expected)
            self.assertTrue(all(first <= port <= last for port in taken))
            for _ in range(50):
                with socket.socket() as listener:
                    port = ports.free_port(host)
                    self.assertFalse(first <= port <= last)
                    listener.bind((host, port))
                    listener.listen()

    def test_each_is_another_one_outside_the_kernel_s_range(self) -> None:
        given = {ports.free_port() for _ in range(200)}
        self.assertEqual(200, len(given))
        first, last = ports.ephemeral_ports()
        self.assertFalse([port for port in given if first <= port <= last])

    def test_other_ranges_of_the_kernel(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            mock.patch.object(ports, "EPHEMERAL_RANGE", Path(folder, "range")),
        ):
            self.assertEqual(range(12_000, 32_768), ports.port_range())
            for text, expected in (
                ("32768\t60999\n", range(12_000, 32_768)),
                ("9000 50000", range(50_001, 65_536)),
                ("no range", range(12_000, 32_768)),
            ):
                ports.EPHEMERAL_RANGE.write_text(text)
                self.assertEqual(expected, ports.port_range(), text)
            ports.EPHEMERAL_RANGE.write_text("1024 65535")
            self.assertRaises(OSError, ports.port_range)


if __name__ == "__main__":
    unittest.main()
