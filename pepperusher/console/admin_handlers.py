"""Joins the console with the proxy: what operators call is put in force here, and what is in force is
kept."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable

from pepperusher.console import console_calls
from pepperusher.console.admin_listener import PLACES, AdminListener
from pepperusher.console.admin_commands import NEVER, AdminCommand, AdminCommands
from pepperusher.console.process_slot import ProcessSlot, process_slots
from pepperusher.console.process_liveness import ProcessLiveness
from pepperusher.console.state import BadState, State
from pepperusher.net import clock
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.log import Log
from pepperusher.net.message import Answer, text_answer
from pepperusher.net.handover_state import HandoverState
from pepperusher.net.bootstrap import BootstrapConfiguration
from pepperusher.terms import PolicySettings

NOT_YET = text_answer(503, "no backends known yet, or about to stop")
NOT_KEPT = text_answer(500, "in force, but not kept for the next process: see the log")
# A lifted ban is remembered for so long at the least.
KEPT = 60_000_000


# How often the other process is looked at, and for how long the one before is waited for.
LOOK_EVERY = 0.05
SEEN_WITHIN = 1.0
# The part of the descriptors that each of two processes keeps to.
HALF = 0.5


class AdminHandlers(Extension):
    # Its listener, two locks, and room for connections that just lost their place.
    descriptors = 5 + PLACES
    shares_address = True

    def __init__(self, address: tuple[str, int], policy_settings: PolicySettings, log: Log) -> None:
        self._address = address
        self._log = log
        self.orders = AdminCommands(max(KEPT, policy_settings.warm_after))
        self._door = AdminListener(self.answer, log)
        self.filter_endpoints = self.orders.lines
        self._proxy: ExtensionHost
        self.port = 0
        # The first is whose holder reigns, the second whose holder is next; None without a folder for them.
        self._first: ProcessSlot | None = None
        self._next: ProcessSlot | None = None
        # How many proxies hold this one's orders, of how many; None where it is in no group.
        self.held: Callable[[], Awaitable[tuple[int, int] | None]] | None = None
        self._token = f"{os.getpid()}-{clock.now()}"
        self._serves = False
        self._seen = ""  # the next process, once it has been noticed
        self._next_serves = False
        self._sits = False  # whether this process reigns
        self._looking: asyncio.Task[None] | None = None
        self._pulse = ProcessLiveness()  # of the other process, where that one leaves marks
        self._beats = False
        self._other_serves = False
        self._took = False  # whether this one has all new connections, since the other stands still

    # --- the places ---------------------------------------------------------------------------------

    async def attach(self, host: ExtensionHost) -> None:
        """Before anything is served: takes the first place, or the next one and what the process before has
        to pass on."""
        self._proxy = host
        folder = os.environ.get("TMPDIR")
        if not folder:
            self._log.say("no $TMPDIR: bans end with this process, and none can take its place")
            return
        try:
            self._first, self._next = process_slots(folder, host.name)
        except OSError as error:
            self._log.say(
                f"{folder}: {error.strerror or error}: bans end with this process, and none can take its place"
            )
            return
        self._sits = self._first.take()
        if self._sits:
            # A drain ends with its process: whoever starts a stopped proxy wants it to serve.
            if (left := self._read(self._first)) is not None:
                self._merge(left._replace(drain=NEVER))
            return
        host.limit_descriptors(HALF)
        self._kept()
        left = await self._told()
        if left is not None:
            self._merge(left)
        self._proxy.take_over_from(left.passed_on if left is not None else HandoverState())
        self._log.say(
            "taking the place of a process that serves" + ("" if left is not None else ", which tells nothing")
        )

    async def _told(self) -> State | None:
        """What the process before tells once it has noticed this one; what it told last where it does not."""
        loop = asyncio.get_running_loop()
        until, left = loop.time() + SEEN_WITHIN, None
        while True:
            assert self._first is not None
            left = self._read(self._first) or left
            if left is not None and left.seen == self._token or loop.time() >= until:
                return left
            if self._next is not None and not self._next.held:
                self._kept()  # another may be ending in that place
            await asyncio.sleep(LOOK_EVERY / 5)

    def _read(self, seat: ProcessSlot) -> State | None:
        try:
            read = seat.read()
            if read is not None and not seat.held:
                self._beats, self._other_serves = read.beats, read.serves
            return read
        except BadState as error:
            self._log.say(f"what another process left is not taken: {error}")
            return None

    def _merge(self, other: State) -> None:
        drained = self.orders.drain
        self._proxy.reapply_filters(self, self.orders.merge(other.bans, other.drain))
        if self.orders.drain != drained:
            self._proxy.send_away(self.orders.drain.on)

    def _state(self) -> State:
        passed = self._proxy.handover_state() if self._sits and self._seen else HandoverState()
        seen = self._seen if self._sits else self._token
        return State(self.orders.bans, self.orders.drain, seen, self._serves, beats=True, **passed._asdict())

    def _tell(self) -> None:
        """Raises OSError where it can't be kept."""
        seat = self._first if self._sits else self._next
        if seat is not None and seat.take():
            seat.write(self._state())

    def look(self) -> None:
        """At the other process, where there is one."""
        if self._first is None or self._next is None:
            return
        seat = self._first if self._sits else self._next
        if seat.held:
            seat.beat()
        if not self._sits and self._first.take():
            self._sits = True
            self._alone()
            if (left := self._read(self._first)) is not None:
                self._merge(left)
            self._tell()
            self._next.give_up()
            self._proxy.limit_descriptors(1.0)
            self._log.say("the process before has ended")
            return
        if not self._sits:
            if not self._next.held:
                self._tell()
            if (other := self._read(self._first)) is not None:
                self._merge(other)
            self._feel(self._first)
            return
        if not self._next.taken():
            self._alone()
            if self._seen:
                self._seen, self._next_serves = "", False
                self._proxy.limit_descriptors(1.0)
                self._tell()
                self._log.say("the process that was to take this one's place has ended")
            return
        if (other := self._read(self._next)) is not None:
            self._merge(other)
            self._next_serves = other.serves
            if other.seen != self._seen:
                self._seen = other.seen
                self._proxy.limit_descriptors(HALF)
                self._tell()
        self._feel(self._next)

    def _feel(self, other: ProcessSlot) -> None:
        """While the other process stands still all new connections are this one's; its queue is lost for as
        long as it stands, but for what the kernel gives back as it ends.
        """
        still = self._pulse.still(other.mark(), clock.now()) and self._beats
        if still == self._took or still and not self._serves:
            return
        if still:
            if not self._proxy.steer_connections(0 if self._sits else 1):
                return
        elif self._other_serves:
            # Not where it is on its way out: a connection handed to it again would be reset as it closes.
            self._proxy.steer_connections(None)
        self._took = still
        self._log.say(
            "the other process stands still: new connections come here"
            if still
            else "the other process goes on: it has its part of new connections again"
        )

    def _alone(self) -> None:
        """Nobody sits beside this process: a filter that stayed would keep connections from whoever comes
        next.
        """
        self._pulse.anew()
        self._beats = False
        if self._took:
            self._took = False
            self._proxy.steer_connections(None)

    def process_resumed(self) -> None:
        try:
            self.look()
        except OSError as error:
            self._log.say(f"a look at the other process failed: {error}")

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            try:
                self.look()
            except Exception as error:  # what it sees nobody else does: it goes on
                self._log.say(f"a look at the other process ended by {type(error).__name__}: {error}")

    @property
    def has_successor(self) -> bool:
        """Whether another process takes the clients from here on."""
        try:
            self.look()
        except OSError as error:
            self._log.say(f"a look at the other process failed: {error}")
        return self._sits and bool(self._seen) and self._next_serves

    # --- start and end ------------------------------------------------------------------------------

    async def start(self) -> None:
        """Once clients can come."""
        self._serves = True
        self._kept()
        self._looking = asyncio.get_running_loop().create_task(self._look())
        self.port = await self._door.listen(self._address)
        self._log.say(f"console at {self._address[0]}:{self.port}")

    def drain_started(self, until: int) -> None:
        """Whoever looks from here on finds one that takes no more clients."""
        self._serves = False
        self._kept()

    async def stop(self) -> None:
        self._door.close()
        if self._looking is not None:
            self._looking.cancel()
        for seat in (self._first, self._next):
            if seat is not None:
                seat.close()

    def sweep(self) -> None:
        self.orders.forget(clock.now())

    def _kept(self) -> bool:
        """Whether what is in force now is also known to whoever takes this process's place."""
        try:
            self._tell()
        except OSError as error:
            self._log.say(f"the state is not kept: {error.strerror or error}")
            return False
        return True

    def take(self, bans: dict[str, AdminCommand]) -> None:
        """Orders that were called at another proxy, beside those here."""
        self._proxy.reapply_filters(self, self.orders.merge(bans, NEVER))
        self._kept()

    async def answer(self, method: bytes, target: bytes) -> Answer:
        """In force here at once; where there is a group, said with how many hold it."""
        made, ordered = self._answered(method, target)
        held = await self.held() if ordered and self.held is not None and made.status == 200 else None
        if held is not None:
            made = text_answer(200, f"{made.body.decode().strip()}, held by {held[0]} of {held[1]} proxies")
        return made

    def _answered(self, method: bytes, target: bytes) -> tuple[Answer, bool]:
        """The answer, and whether others are to hold what was called."""
        try:
            word = console_calls.console_call_of(method, target)
        except console_calls.BadConsoleCall as bad:
            return text_answer(bad.status, str(bad)), False
        if word.what == console_calls.READY:
            ready = self._proxy.can_serve
            return (text_answer(200, "ready") if ready else NOT_YET), False
        if word.what in (console_calls.DRAIN, console_calls.RESUME):
            on = word.what == console_calls.DRAIN
            self.orders.send_away(on, clock.now())
            self._proxy.send_away(on)
            if not self._kept():
                return NOT_KEPT, False
            return text_answer(200, "clients are sent away" if on else "clients may come"), False
        on, backend = word.what == console_calls.BAN, word.backend
        if not self._proxy.has_backend(backend) and not self.orders.banned(backend):
            return text_answer(404, "no backend has this id"), False
        if self.orders.banned(backend) != on:
            self._log.say(f"{backend} {'banned' if on else 'put back'} at the console")
        self._proxy.reapply_filters(self, self.orders.ban(backend, on, clock.now()))
        if not self._kept():
            return NOT_KEPT, True
        return text_answer(200, "banned" if on else "in use"), True


def admin_handlers_alone(bootstrap: BootstrapConfiguration, log: Log) -> list[Extension]:
    """What a proxy has beside it whose operators have an address, and no file of its own."""
    return [] if bootstrap.console is None else [AdminHandlers(bootstrap.console, bootstrap.policy_settings, log)]
