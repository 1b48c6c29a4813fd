"""Three example backends and an example discovery service on loopback, to try the proxy with.

Each backend answers any request with its name after a short delay. `POST /drain` to a backend makes discovery list it
as draining, `POST /ready` lists it as ready again. Discovery holds the endpoint list and sends every change to its
watchers.
"""

from __future__ import annotations

import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
DISCOVERY_PORT = 8500
PORTS = {"one": 7101, "two": 7102, "three": 7103}


class EndpointList:
    """The endpoint list; `changed` wakes the watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.version = 1
        self.states = {name: "ready" for name in PORTS}

    def set_state(self, name: str, state: str) -> None:
        """Changes the state of a backend and wakes the watches."""
        with self.changed:
            self.states[name] = state
            self.version += 1
            self.changed.notify_all()

    def snapshot(self) -> bytes:
        """Returns the full list as one line of a watch."""
        endpoints = [
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
        return json.dumps({"version": self.version, "full": True, "servers": endpoints}).encode() + b"\n"


ENDPOINTS = EndpointList()


class QuietHandler(BaseHTTPRequestHandler):
    """An HTTP/1.1 request handler without an access log."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_: object) -> None:
        pass

    def answer(self, body: bytes) -> None:
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Discovery(QuietHandler):
    """Serves the endpoint list, and watches that send it again after each change."""

    def do_GET(self) -> None:
        if "watch=1" not in self.path:
            self.answer(ENDPOINTS.snapshot())
            return
        self.send_response(200)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        sent_version = 0
        try:
            while True:
                with ENDPOINTS.changed:
                    if ENDPOINTS.version == sent_version:
                        ENDPOINTS.changed.wait(2.0)
                    line = ENDPOINTS.snapshot() if ENDPOINTS.version != sent_version else b"\n"
                    sent_version = ENDPOINTS.version
                self.wfile.write(b"%x\r\n%b\r\n" % (len(line), line))
        except OSError:
            self.close_connection = True


class Backend(QuietHandler):
    """A backend that answers every request."""

    name = ""

    def answer_request(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path in ("/drain", "/ready"):
            ENDPOINTS.set_state(self.name, "draining" if self.path == "/drain" else "ready")
            self.answer(f"{self.name} is now {ENDPOINTS.states[self.name]}\n".encode())
            return
        time.sleep(random.uniform(0.01, 0.05))
        print(f"{self.name}: {self.command} {self.path} id {self.headers.get('Request-Id')}", flush=True)
        self.answer(f"{self.name} handled {self.path} with {len(body)} bytes\n".encode())

    do_GET = do_POST = answer_request


def main() -> None:
    for name, port in PORTS.items():
        handler_class = type(name, (Backend,), {"name": name})
        threading.Thread(target=ThreadingHTTPServer((HOST, port), handler_class).serve_forever, daemon=True).start()
    print(
        f"backends at {HOST}:{', '.join(map(str, PORTS.values()))}, discovery at {HOST}:{DISCOVERY_PORT}; stop with Ctrl-C",
        flush=True,
    )
    try:
        ThreadingHTTPServer((HOST, DISCOVERY_PORT), Discovery).serve_forever()
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
