"""One request of a caller, from its arrival to its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pepperusher.net.body_streaming import ResponseForwarder
from pepperusher.net.connection import HIDDEN_END_BYTES, PROBE_AFTER_US, HiddenEnd
from pepperusher.net.message import Request


class ClientConnection(Protocol):
    """The connection of a call's client, as far as it tells whether the client is still there."""

    def peer_has_left(self) -> bool:
        """Whether the client has left, also where only the kernel knows."""
        ...

    def hidden_end(self, request_arrived_at: int, silent_us: int = ..., unread_bytes: int = ...) -> HiddenEnd | None:
        """What hides the end of a client that may have left unseen; None where it would be seen."""
        ...

    async def probe_peer(self) -> None:
        """Makes a client that has left show it."""


class Call:
    """One request from a caller. `on_disconnect` is called if its client leaves before the answer.

    `ticket` is set once the request is a valid ticket: it is then neither `bad` nor a question about the proxy itself.
    `client` tells whether the client has left: docs/crossings.md defines what counts as leaving. The first bytes of the
    request had arrived at `arrived_at` at the latest, and its time runs from `received_at` on.
    """

    __slots__ = (
        "request",
        "received_at",
        "forwarder",
        "on_disconnect",
        "left",
        "bad",
        "ticket",
        "_client",
        "_arrived_at",
    )

    def __init__(
        self,
        request: Request,
        received_at: int,
        forwarder: ResponseForwarder | None = None,
        client: ClientConnection | None = None,
        arrived_at: int | None = None,
    ) -> None:
        self._client = client
        self._arrived_at = received_at if arrived_at is None else arrived_at
        self.request = request
        self.received_at = received_at
        self.forwarder = forwarder
        self.on_disconnect: Callable[[], None] | None = None
        self.left = False
        self.bad = False
        self.ticket = False

    @property
    def answer_started(self) -> bool:
        """Whether part of the answer has already been sent to the client."""
        return self.forwarder is not None and self.forwarder.started

    def set_left(self) -> None:
        """Records that the client has left, and calls `on_disconnect` once."""
        if not self.left:
            self.left = True
            if self.on_disconnect is not None:
                self.on_disconnect()

    def check_disconnected(self) -> bool:
        """Checks whether the client has left by now. It is called before a byte is sent to a backend, because the event
        loop reports an end only after all data received before it.
        """
        if not self.left and self._client is not None and self._client.peer_has_left():
            self.set_left()
        return self.left

    def hidden_end(self) -> HiddenEnd | None:
        """What hides the end of a client that may have left unseen, behind more than is read; None where it would be seen."""
        return None if self.left or self._client is None else self._client.hidden_end(self._arrived_at)

    def reason_to_probe(self) -> HiddenEnd | None:
        """What may hide the client's end soon, or does already. The end of one whose body is not here to its end may be held
        up at the client however little has arrived.
        """
        if self.left or self._client is None:
            return None
        unread_bytes = HIDDEN_END_BYTES if self.request.rest is None else 0
        return self._client.hidden_end(self._arrived_at, PROBE_AFTER_US, unread_bytes)

    async def probe_client(self) -> bool:
        """Makes a client whose end may be hidden show whether it has left, and returns that."""
        if self._client is not None:
            await self._client.probe_peer()
        return self.check_disconnected()

    def release_headers(self) -> None:
        """Called once the request's headers are needed no longer, or only in another form."""
        self.request = self.request._replace(headers=())

    def release(self) -> None:
        """Called once the request is answered. Drops the callback that refers back to the connection; the reference
        cycle would last until a garbage collection.
        """
        self._client = None
