"""A crowd of clients that stop half way: each connects, sends the head and the first half of a long request at full speed, and stays.

Arguments: the port, how many, the length of the whole body in bytes, and how many seconds each stays. Whoever is answered or
closed earlier goes.
"""

from __future__ import annotations

import os
import selectors
import socket
import sys
import time

from standins import request_bytes


def main(port: int, count: int, size: int, stay_s: float) -> None:
    selector = selectors.DefaultSelector()
    half = b"z" * (size // 2)
    for number in range(count):
        client = socket.socket()
        client.setblocking(False)
        try:
            client.connect(("127.0.0.1", port))
        except BlockingIOError:
            pass
        name = f"half-{os.getpid()}-{number}"
        request = request_bytes(name, "ajukan-faktur", 2000, f"key-{name}", half, size)
        selector.register(client, selectors.EVENT_READ | selectors.EVENT_WRITE, [memoryview(request)])
    until, left, whole = time.monotonic() + stay_s, count, 0
    while left and time.monotonic() < until:
        for key, events in selector.select(0.1):
            client, unsent = key.fileobj, key.data
            assert isinstance(client, socket.socket)
            ended = False
            try:
                if events & selectors.EVENT_READ:
                    ended = True
                    client.recv(65536)
                elif events & selectors.EVENT_WRITE:
                    unsent[0] = unsent[0][client.send(unsent[0][:500_000]) :]
                    if not unsent[0]:
                        whole += 1
                        selector.modify(client, selectors.EVENT_READ, unsent)
            except BlockingIOError:
                pass
            except OSError:
                ended = True
            if ended:
                selector.unregister(client)
                client.close()
                left -= 1
    print(f"{count} connected, {whole} sent their half whole, {count - left} were answered or closed", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4]))
