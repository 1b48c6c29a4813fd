"""Three toy backends and a toy discovery on loopback, to try the proxy with.

Each backend answers any request with its name after a little work. `POST /drain` to one makes discovery list it as
draining, `POST /ready` lists it again. Discovery holds the list and tells its watchers each change.
"""

from __future__ import annotations

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
DISCOVERY = 8500
PORTS = {"one": 7101, "two": 7102, "three": 7103}


class Fleet:
    """The list of backends; `changed` wakes the watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 1
        self.states = {name: "ready" for name in PORTS}

    def set(self, name: str, state: str) -> None:
        with self.changed:
            self.states[name] = state
            self.version += 1
            self.changed.notify_all()

    def told(self) -> bytes:
        servers = [
            {
                "id": name,
                "addr": f"{HOST}:{PORTS[name]}",
                "zone": "here",
                "kind": "toy",
                "cell": 0,
                "state": state,
                "weight": 1.0,
                "started_ms": 0,
            }
            for name, state in self.states.items()
        ]
        return json.dumps({"version": self.version, "full": True, "servers": servers}).encode() + b"\n"


FLEET = Fleet()


class Quiet(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        pass

    def answer(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(Quiet):
    def do_GET(self) -> None:
        if "watch=1" not in self.path:
            self.answer(FLEET.told())
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        seen = 0
        try:
            while True:
                with FLEET.changed:
                    if FLEET.version == seen:
                        FLEET.changed.wait(2.0)
                    line = FLEET.told() if FLEET.version != seen else b"\n"
                    seen = FLEET.version
                self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
        except OSError:
            self.close_connection = True


class Backend(Quiet):
    name = ""

    def work(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path in ("/drain", "/ready"):
            FLEET.set(self.name, "draining" if self.path == "/drain" else "ready")
            self.answer(f"{self.name} is now {FLEET.states[self.name]}\n".encode())
            return
        time.sleep(random.uniform(0.01, 0.05))
        print(f"{self.name}: {self.command} {self.path} id {self.headers.get('Request-Id')}", flush=True)
        self.answer(f"{self.name} did {self.path} with {len(body)} bytes\n".encode())

    do_GET = do_POST = work


def main() -> None:
    for name, port in PORTS.items():
        kind = type(name, (Backend,), {"name": name})
        threading.Thread(target=ThreadingHTTPServer((HOST, port), kind).serve_forever, daemon=True).start()
    print(
        f"backends at {HOST}:{', '.join(map(str, PORTS.values()))}, discovery at {HOST}:{DISCOVERY}; Ctrl-C ends",
        flush=True,
    )
    try:
        ThreadingHTTPServer((HOST, DISCOVERY), Discovery).serve_forever()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
