"""Connections to backends, kept and used again, and one attempt on one of them."""

from __future__ import annotations

import asyncio

import h11

from pepperusher.net import clock
from pepperusher.net.buffers import Pool
from pepperusher.net.budget import Budget
from pepperusher.net.exchange import Attempt, Exchange, Placed
from pepperusher.net.body_streaming import ResponseForwarder
from pepperusher.net.connection import StreamConnection, connect
from pepperusher.net.message import MAX_HEAD_BYTES, Answer, Request

# No connection to a backend is opened above this part of all descriptors: the rest is for callers, who must
# always get in, if only to be bounced.
PART = 0.95
# Under so much a kept connection is used again whatever happened to others.
KEPT_LEAST = 10_000
# Turns of the loop that a connection takes to come up once the kernel has it, with some to spare.
TURNS = 10
# So long after its last answer a connection is not used again: some backends answer twice, the second time a little later,
# and that would be taken for the answer to the next ticket. Later still, and it is learned, up to the second figure.
SETTLES = 20_000
SETTLES_MOST = 200_000


class BackendConnection:
    """One connection to a backend with its parser."""

    __slots__ = ("line", "address", "answered", "parser", "idle_since")

    def __init__(self, line: StreamConnection, address: tuple[str, int]) -> None:
        self.line = line
        self.address = address
        self.answered = False  # it has carried a ticket
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.idle_since = 0


class BackendConnections:
    """Where one backend is reached, with the connections that stand idle there, the latest used last."""

    __slots__ = ("address", "idle", "listed", "heard_at", "out")

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.idle: list[BackendConnection] = []  # emptied by use, by age, when the other side leaves, and with the list
        self.listed = True
        self.heard_at = 0
        self.out: set[Attempt] = set()  # under way there; emptied as they end


class Backends:
    def __init__(self, budget: Budget, pool: Pool, connect_timeout: int, idle_timeout: int) -> None:
        self._budget = budget
        self._pool = pool
        self._connect_timeout = connect_timeout / 1e6
        # Well before the backend's own limit: a request that crosses its close may have run.
        self._idle_timeout = idle_timeout // 2
        # What stands between may drop a connection long before that, and tells it with a reset of the next
        # ticket.
        self._kept_most = self._idle_timeout
        self._settles = SETTLES
        self._doors: dict[str, BackendConnections] = {}  # emptied by the list, once nothing is out there
        budget.may_close_idle(self._close_oldest)

    def reconfigure(self, connect_timeout: int, idle_timeout: int) -> None:
        self._connect_timeout, self._idle_timeout = connect_timeout / 1e6, idle_timeout // 2
        self._kept_most = min(self._kept_most, self._idle_timeout)

    @property
    def known(self) -> bool:
        return any(door.listed for door in self._doors.values())

    # --- the list ---------------------------------------------------------------------------------

    def set_address(self, backend: str, address: tuple[str, int], wanted: bool) -> None:
        door = self._doors.get(backend)
        if door is None:
            if not wanted:
                return
            door = self._doors[backend] = BackendConnections(address)
        if door.address != address or not wanted:
            door.address = address
            self._close_idle(door)
        door.listed = wanted
        self._forget(backend, door)

    def retain_only(self, backends: set[str]) -> None:
        """The whole list: others are gone."""
        for name, door in list(self._doors.items()):
            if name not in backends:
                door.listed = False
                self._close_idle(door)
                self._forget(name, door)

    def _forget(self, backend: str, door: BackendConnections) -> None:
        if not door.listed and not door.out:
            self._doors.pop(backend, None)

    def give_up_all(self, how: str) -> None:
        for door in self._doors.values():
            for out in list(door.out):
                out.give_up(how)

    # --- connections that stand idle --------------------------------------------------------------

    def _close_idle(self, door: BackendConnections) -> None:
        while door.idle:
            self._drop(door, door.idle[-1])

    @staticmethod
    def _drop(door: BackendConnections, link: BackendConnection) -> None:
        if link in door.idle:
            door.idle.remove(link)
        link.line.abort()

    def _close_oldest(self, needed: bool = False) -> bool:
        door = min(
            (door for door in self._doors.values() if door.idle), default=None, key=lambda one: one.idle[0].idle_since
        )
        if door is None:
            return False
        self._drop(door, door.idle[0])
        return True

    def sweep(self, now: int) -> None:
        for door in self._doors.values():
            while door.idle and now - door.idle[0].idle_since >= self._kept_most:
                self._drop(door, door.idle[0])

    def _rest(self, door: BackendConnections, link: BackendConnection) -> None:
        if link.parser.our_state is h11.DONE:
            link.parser.start_next_cycle()
        link.idle_since = clock.now()

        def strays() -> None:
            stood = clock.now() - link.idle_since
            if 2 * stood < SETTLES_MOST:
                self._settles = max(self._settles, 2 * stood)
            self._drop(door, link)

        # Whatever comes now, an end or words nobody asked for: this connection is not used again.
        link.line.on_end, link.line.on_data = lambda: self._drop(door, link), strays
        door.idle.append(link)

    def _keep(self, door: BackendConnections, link: BackendConnection) -> bool:
        """Whether it may serve the next: a backend that has gone, or stands at another address by now, has none kept."""
        if not door.listed or door.address != link.address:
            link.line.abort()
            return False
        self._rest(door, link)
        return True

    def _latest(self, door: BackendConnections) -> BackendConnection | None:
        now = clock.now()
        for at in range(len(door.idle) - 1, -1, -1):
            link = door.idle[at]
            if link.answered and now - link.idle_since < self._settles:
                continue
            del door.idle[at]
            link.line.on_data = None
            link.line.on_end = None
            # Its end may be in the kernel and not yet read: written to now, the ticket may have run.
            if now - link.idle_since < self._kept_most and link.line.quiet():
                return link
            link.line.abort()
        return None

    def _learn(self, stood: int, answered: bool) -> None:
        """From a connection that was used again after it `stood` idle: half of what broke, and slowly more
        again.

        One network lies between this proxy and all backends, and a few resets at each would be as many tickets lost.
        """
        if not answered:
            self._kept_most = max(KEPT_LEAST, min(self._kept_most, stood) // 2)
        elif 2 * stood >= self._kept_most:
            self._kept_most = min(self._idle_timeout, self._kept_most + self._kept_most // 128)

    async def _connect(self, door: BackendConnections, out: Attempt, within: float) -> BackendConnection | str:
        for turn in range(TURNS, -1, -1):
            if self._budget.take(PART, True):
                break
            if not turn or not self._budget.busy or out.how is not None:
                return "moot"
            # Of many that came in one turn of the loop the last were refused, beside idle clients that could be closed.
            await asyncio.sleep(0)
        address = door.address
        reaching = asyncio.ensure_future(connect(address))
        reaching.add_done_callback(self._connected)
        out.stopped_by(reaching.cancel)
        done, _ = await asyncio.wait((reaching,), timeout=within)
        if not done:
            # The timer may be late, and what it waited for may be here: it needs a few turns to come up.
            for _ in range(TURNS):
                if not reaching.done():
                    await asyncio.sleep(0)
            reaching.cancel()
            await asyncio.wait((reaching,))
        if reaching.cancelled() or reaching.exception() is not None:
            return "unreached"
        return BackendConnection(reaching.result(), address)

    def _connected(self, reaching: asyncio.Future[StreamConnection]) -> None:
        """The descriptor goes back to the budget when the connection ends, or at once if there is none."""
        if reaching.cancelled() or reaching.exception() is not None:
            self._budget.give()
        else:
            reaching.result().when_let_go(self._budget.give)

    # --- one attempt -------------------------------------------------------------------------

    async def attempt(
        self,
        backend: str,
        request: Request,
        out: Attempt,
        patience: int,
        placed: Placed,
        onward: ResponseForwarder | None = None,
    ) -> tuple[str, Answer | None]:
        """How it ended, and the answer if a whole one came and was not passed on. Never sends a second
        time. The backend is told what is left of `patience`, in microseconds, when the request is written."""
        door = self._doors.get(backend)
        if door is None:
            return "unreached", None
        door.out.add(out)
        began = clock.now()
        try:
            how, answer = await self._attempt(door, request, out, patience, placed, onward)
        finally:
            door.out.discard(out)
            self._forget(backend, door)
        if how == "timed out" and door.heard_at < began:
            # A silent machine's other connections are as silent; a new one that doesn't come up tells at
            # once.
            self._close_idle(door)
        return how, answer

    async def _attempt(
        self,
        door: BackendConnections,
        request: Request,
        out: Attempt,
        patience: int,
        placed: Placed,
        onward: ResponseForwarder | None,
    ) -> tuple[str, Answer | None]:
        until = clock.now() + patience
        link = self._latest(door)
        stood = None if link is None else clock.now() - link.idle_since
        if link is None:
            made = await self._connect(door, out, min(self._connect_timeout, patience / 1e6))
            if isinstance(made, str):
                return "moot" if out.how == "called off" else made, None
            link = made
            await placed.list_read()
            # Never written to, whatever it is given up for: the ticket never ran, and where its client left that tells
            # nothing of the backend.
            if out.how is not None or not placed.may_still_send():
                self._keep(door, link)
                return "moot" if out.how == "called off" or placed.left() else "unreached", None
            if door.address != link.address or not link.line.quiet():
                # Somebody else may be there now; or it has ended already, or speaks out of turn, in the kernel alone as yet:
                # written to, a single-use ticket would count as one that may have run.
                link.line.abort()
                return "unreached", None
        link.answered = True
        began = clock.now()
        left = max(0, until - began)
        request = request._replace(headers=[*request.headers, (b"request-timeout", b"%du" % max(1, left))])
        exchange = Exchange(link.line, link.parser, self._pool, out, left, self._connect_timeout, placed)
        kept = False
        try:
            how, answer = await exchange.run(request, onward)
            if exchange.heard:
                door.heard_at = clock.now()
                if stood is not None:
                    self._learn(stood, True)
            elif (
                stood is not None
                and how == "reset"
                and out.how is None
                and link.line.heard_at < began
                and clock.now() - began < self._connect_timeout * 1e6
            ):
                # At once and without a word: an answer that broke off, or work that ended in a crash, tells
                # nothing of it.
                self._learn(stood, False)
            kept = exchange.clean
            return how, answer
        finally:
            if not kept or not self._keep(door, link):
                link.line.abort()
                # The loop closes it when it comes round: sent on before that, the ticket would be out twice.
                await asyncio.sleep(0)
