"""The proxy's place in its group: a socket for datagrams, one for streams, and what is made of what the group
knows.

Loaded only where the own file has a group. Decides nothing: `group.swim` says who is there, `group.shares`
what follows. No ticket waits for any of it.
"""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
from collections.abc import Callable
from random import Random
from typing import Any

from pepperusher.console.admin_commands import NEVER, AdminCommand, AdminCommands
from pepperusher.group import endpoint_borrowing
from pepperusher.group.swim import Swim, SwimSettings
from pepperusher.group.wire import MAX_DATAGRAM_BYTES, InvalidPacketError, Wire
from pepperusher.group.messages import (
    ALIVE,
    LEAVING,
    LEFT,
    SENT_AWAY,
    SERVING,
    STARTING,
    WANTS_LIST,
    WANTS_STATE,
    Broadcast,
    MemberRecord,
)
from pepperusher.net import clock
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.configuration import validation
from pepperusher.configuration.tables import Group
from pepperusher.terms import PolicySettings

# Datagrams read in one turn of the loop: a flood of them has its turn among tickets, and no more.
BATCH = 64
# A process that takes another's place waits for its address as long as that one serves.
AGAIN_EVERY = 0.05
# Streams at once, each whole within this.
STREAMS = 4
STREAM_WITHIN = 3.0
# Parts of one stream at the most.
PARTS = 2_000
LENGTH = struct.Struct(">I")
# A proxy with no list asks others for theirs: so long after it became a member, again after so long, so many
# of them.
LIST_AFTER = 1_000_000
LIST_EVERY = 1.0
LENDERS = 3
PART = 60_000
LONGEST_LIST = 8 * 1024 * 1024
# On its way out a member waits so long for some to have heard that it left.
FAREWELL = 0.15
FAREWELL_LOOK = 0.01
ENOUGH = 3
# What came and was not believed is said in the log, so seldom.
TOLD_EVERY = 10_000_000
BAN = "ban"
# How long a call at the console waits for others to hold an order.
HELD_WITHIN = 0.5
# Others take this proxy's part once it is free: fronts go on sending for so long after clients are sent away.
AWAY_AFTER = 600_000
# A lifted ban is told to who was cut off for as long as this.
KEPT = 3_600_000_000


class Node(Extension):
    """`orders` are the operators' orders where there is a console, which puts them in force; else this has
    its own.
    """

    # Two listeners, streams that others opened, and its own: for the roll, and for lists.
    descriptors = 2 + STREAMS + 1 + LENDERS

    def __init__(
        self,
        said: Group,
        policy_settings: PolicySettings,
        name: str,
        say: Callable[..., None],
        orders: AdminCommands | None = None,
        put: Callable[[dict[str, AdminCommand]], None] | None = None,
    ) -> None:
        assert said.listen is not None
        self._said, self._policy_settings, self._name, self._say = said, policy_settings, name, say
        self._listen = validation.address_of(said.listen)
        self._wire = Wire(said.key)
        self._host: ExtensionHost
        self.swim: Swim | None = None  # None until this process has the proxy's address in the group
        self.sharers: int | None = None
        self._version = -1
        self._away_at: int | None = None
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._sitting: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._listing: asyncio.Task[None] | None = None
        self._streams = 0
        self._timer: asyncio.TimerHandle | None = None
        self._counted: dict[str, int] = {}
        self._told_at = 0
        self._unsent = 0
        if orders is None:
            orders = AdminCommands(max(KEPT, policy_settings.warm_after))
            self.filter_endpoints = orders.lines
            put = self._put
        self._own_orders = put == self._put
        assert put is not None
        self._orders, self._in_force = orders, put

    def _put(self, bans: dict[str, AdminCommand]) -> None:
        self._host.reapply_filters(self, self._orders.merge(bans, NEVER))

    # --- start and end ------------------------------------------------------------------------------

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    async def start(self) -> None:
        """At once, or once the process before has left the address: until then that one is the member."""
        if not await self._sit(True):
            self._sitting = asyncio.get_running_loop().create_task(self._wait())

    async def _wait(self) -> None:
        while not await self._sit(False):
            await asyncio.sleep(AGAIN_EVERY)

    async def _sit(self, first: bool) -> bool:
        made = None
        try:
            made = self._bound()
            port = made.getsockname()[1]
            self._server = await asyncio.start_server(self._told, self._listen[0], port)
        except OSError as error:
            if made is not None:
                made.close()
            if first:
                self._say("not yet in the group", at=self._said.listen, why=error.strerror or str(error))
            return False
        self._socket = made
        now = clock.now()
        address = (
            (self._listen[0], port) if self._said.advertise is None else validation.address_of(self._said.advertise)
        )
        me = MemberRecord(
            self._name,
            *address,
            now,
            int.from_bytes(os.urandom(8)) >> 1,
            0,
            STARTING,
            False,
            self._policy_settings.tier_index,
            self._policy_settings.proxy_index,
        )
        seeds = tuple(map(validation.address_of, self._said.seeds))
        terms = SwimSettings(self._said.period, self._said.within, seeds, self._policy_settings.group_size, KEPT)
        self._chance = Random(me.token)
        self.swim = Swim(me, terms, self._wire, self._chance, now)
        asyncio.get_running_loop().add_reader(made, self._come)
        self._say(
            "in the group",
            listen=f"{self._listen[0]}:{port}",
            advertise=f"{address[0]}:{address[1]}",
            token=f"{me.token:016x}",
            number=me.number,
        )
        self._wake()
        return True

    def _bound(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        made = socket.socket(family, socket.SOCK_DGRAM)
        try:
            made.bind(self._listen)
            made.setblocking(False)
        except OSError:
            made.close()
            raise
        return made

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        """A size that the settings have now goes before what was reckoned from the one before."""
        self._policy_settings = policy_settings
        if self.swim is not None:
            self.swim.reconfigure(policy_settings.group_size, policy_settings.tier_index, policy_settings.proxy_index)
            self._share()

    def drain_started(self, until: int) -> None:
        """Another process that takes this one's place is the member from now on; else the others are told."""
        if self._host.has_successor:
            self._close()
        elif self.swim is not None:
            self.swim.set_phase(LEAVING, clock.now())
            self._wake()

    async def stop(self) -> None:
        if self.swim is not None and self._socket is not None:
            self.swim.set_phase(LEFT, clock.now())
            self._wake()
            until = asyncio.get_running_loop().time() + FAREWELL
            while asyncio.get_running_loop().time() < until:
                heard, of = self.swim.phase_acks
                if heard >= min(of, ENOUGH):
                    break
                await asyncio.sleep(FAREWELL_LOOK)
        self._close()

    def _close(self) -> None:
        loop = asyncio.get_running_loop()
        for task in (self._sitting, self._fetching, self._listing):
            if task is not None:
                task.cancel()
        if self._timer is not None:
            self._timer.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None

    # --- datagrams and time -------------------------------------------------------------------------

    def _come(self) -> None:
        assert self._socket is not None and self.swim is not None
        for _ in range(BATCH):
            try:
                # One byte more than is read: what is cut to fit is no packet.
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # an earlier datagram of ours reached nobody
            self.swim.receive(data, clock.now())
        self._done()

    def _wake(self) -> None:
        if self.swim is None or self._socket is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = clock.now()
        due = self.swim.wake(now)
        self._timer = asyncio.get_running_loop().call_later((due - now) / 1e6, self._woken)
        self._done()

    def _woken(self) -> None:
        self._timer = None
        try:
            self._wake()
        except Exception as error:  # without its timer it would be silent for good
            self._say("the group met an error", why=f"{type(error).__name__}: {error}")
            if self._timer is None and self._socket is not None:
                self._timer = asyncio.get_running_loop().call_later(self._said.period / 1e6, self._woken)

    def _done(self) -> None:
        """What came of the last turn goes out, is said, and put in force."""
        swim = self.swim
        assert swim is not None
        out, swim.outgoing = swim.outgoing, []
        for address, data in out:
            try:
                if self._socket is not None:
                    self._socket.sendto(data, address)
            except (OSError, UnicodeError):
                self._unsent += 1  # as if it were lost under way; an address may also be none
        changes, swim.changes = swim.changes, []
        for change in changes:
            if change.what == "suspected by one more":
                continue  # the line on loss names them all
            self._say(f"group: {change.what}", of=change.name, **change.figures)
        if swim.new_broadcasts:
            news, swim.new_broadcasts = swim.new_broadcasts, []
            self._in_force({one.key: AdminCommand(one.on, one.at) for one in news if one.kind == BAN})
            for one in news:
                self._say("group: an order", kind=one.kind, key=one.key, on=one.on, at=one.at)
        if swim.members.version != self._version:
            self._version = swim.members.version
            self._share()
        if swim.sync_from is not None and self._fetching is None:
            address, swim.sync_from = swim.sync_from, None
            self._fetching = asyncio.get_running_loop().create_task(self._fetch(address))

    def _share(self) -> None:
        assert self.swim is not None
        size = self.swim.sharer_count()
        if size != self.sharers:
            self.sharers = size
            self._host.facade.set_proxy_count(size)
            self._say("group: shares", of=size, told=self._policy_settings.group_size)

    # --- streams --------------------------------------------------------------------------------------

    async def _fetch(self, address: tuple[str, int]) -> None:
        """The whole roll of another, once; what of it does not come goes about by itself, if later."""
        writer = None
        try:
            async with asyncio.timeout(STREAM_WITHIN):
                reader, writer = await asyncio.open_connection(*address, local_addr=(self._listen[0], 0))
                assert self.swim is not None
                hello = self.swim.stream_opening(WANTS_STATE)
                writer.write(LENGTH.pack(len(hello)) + hello)
                for _ in range(PARTS):
                    data = await _part(reader, MAX_DATAGRAM_BYTES)
                    self.swim.receive(data, clock.now())
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
            self._fetching = None
        if self.swim is not None and self._socket is not None:
            self._done()

    async def _told(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """To whoever can show the group's key."""
        try:
            if self._streams >= STREAMS or self.swim is None:
                return
            self._streams += 1
            try:
                async with asyncio.timeout(STREAM_WITHIN):
                    hello = self._wire.unpack(await _part(reader, MAX_DATAGRAM_BYTES))
                    for data in self._list_parts() if hello.seq == WANTS_LIST else self.swim.full_state():
                        writer.write(LENGTH.pack(len(data)) + data)
                        await writer.drain()
                    await writer.drain()
                    writer.write_eof()
                    await reader.read()
            finally:
                self._streams -= 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, InvalidPacketError):
            pass  # its caller's trouble
        finally:
            writer.transport.abort()

    # --- the list, where discovery is away ------------------------------------------------------------

    def _list_parts(self) -> list[bytes]:
        """This proxy's list as sealed parts, with when it was last confirmed; none where it has none."""
        lent = self._host.list_for_peers()
        if lent is None:
            return []
        text = json.dumps({"age": max(0, clock.now() - lent[0]), "listed": lent[1]}, separators=(",", ":")).encode()
        return [self._wire.seal(text[at : at + PART]) for at in range(0, len(text), PART)]

    async def _lists(self) -> None:
        """As long as there is no list: asked of a few members of this tier. What each of them has as ready is
        taken; what one knows to drain, or no longer lists, is not.
        """
        assert self.swim is not None
        try:
            while self._host.needs_list and self._socket is not None:
                there = [
                    one.record.address
                    for one in self.swim.members
                    if one.health == ALIVE
                    and one.record.phase in (SERVING, SENT_AWAY)
                    and one.record.tier == self._policy_settings.tier_index
                ]
                asked = self._chance.sample(there, min(LENDERS, len(there)))
                made = await asyncio.gather(*map(self._list_of, asked))
                try:
                    joined = endpoint_borrowing.intersect_lists([one for one in made if one is not None])
                    if joined is not None and self._host.needs_list:
                        age, listed = joined
                        self._host.borrow_list(listed, clock.now() - age)
                        self._say(
                            "group: serving by the list of other members, since discovery has told none",
                            backends=len(listed["servers"]),
                            confirmed_us_ago=age,
                        )
                        return
                except ValueError as error:
                    self._say("group: a list of another member is not taken", why=str(error))
                await asyncio.sleep(LIST_EVERY)
        finally:
            self._listing = None

    async def _list_of(self, address: tuple[str, int]) -> dict[str, Any] | None:
        writer = None
        text = bytearray()
        try:
            async with asyncio.timeout(STREAM_WITHIN):
                reader, writer = await asyncio.open_connection(*address, local_addr=(self._listen[0], 0))
                assert self.swim is not None
                hello = self.swim.stream_opening(WANTS_LIST)
                writer.write(LENGTH.pack(len(hello)) + hello)
                while len(text) < LONGEST_LIST:
                    text += self._wire.open(await _part(reader, PART + MAX_DATAGRAM_BYTES))
        except asyncio.IncompleteReadError:
            pass  # its end
        except (OSError, TimeoutError, ValueError):
            return None
        finally:
            if writer is not None:
                writer.transport.abort()
        try:
            told = json.loads(text)
        except (ValueError, RecursionError):
            return None
        return told if isinstance(told, dict) else None

    # --- with the proxy ---------------------------------------------------------------------------------

    def sweep(self) -> None:
        if self.swim is None or self._socket is None:
            return
        now = clock.now()
        self.swim.list_version = self._host.list_version
        if not self._host.stopping:
            self.swim.set_phase(self._phase(), now)
        if self._listing is None and self._host.needs_list and now - self.swim.own_record.number >= LIST_AFTER:
            self._listing = asyncio.get_running_loop().create_task(self._lists())
        if self._own_orders:
            self._orders.forget(now)
        self.spread(now)
        self._wake()
        if now - self._told_at >= TOLD_EVERY:
            more = {
                what: many - self._counted.get(what, 0)
                for what, many in self.swim.counts.items()
                if what.startswith("packets") and many > self._counted.get(what, 0)
            }
            if more:
                self._told_at = now
                self._counted = dict(self.swim.counts)
                self._say("group: not believed", **{what.replace(" ", "_"): many for what, many in more.items()})

    def _phase(self) -> int:
        if not self._host.sent_away():
            self._away_at = None
        elif self._away_at is None:
            self._away_at = clock.now()
        if not self._host.can_serve:
            return STARTING
        away = self._away_at is not None and clock.now() - self._away_at >= AWAY_AFTER
        return SENT_AWAY if away else SERVING

    def spread(self, now: int) -> None:
        """Orders that this proxy has, from its console or from another process at its seat."""
        assert self.swim is not None
        for backend, order in self._orders.bans.items():
            known = self.swim.broadcasts.get(BAN, backend)
            if known is None or (order.at, order.on) > known.precedence:
                self.swim.broadcast(Broadcast(BAN, backend, order.on, order.at), now)

    async def held(self) -> tuple[int, int] | None:
        """How many proxies hold the orders that this one holds, of how many, as far as it is known within a
        moment; None where it is in no group.
        """
        if self.swim is None or self._socket is None:
            return None
        self.spread(clock.now())
        self._wake()
        until = asyncio.get_running_loop().time() + HELD_WITHIN
        while True:
            held, of = self.swim.holder_counts()
            if held >= of or asyncio.get_running_loop().time() >= until:
                return held, of
            await asyncio.sleep(FAREWELL_LOOK)

    def members(self) -> dict[str, Any] | None:
        """For people: this member's view. None where it is in no group yet."""
        if self.swim is None:
            return None
        now = clock.now()
        return {
            "reach": self.swim.reachability(now)._asdict(),
            "sharers": self.sharers,
            "told": self._policy_settings.group_size,
            "doubt": self.swim.health.score,
            "counts": dict(self.swim.counts),
            "unsent": self._unsent,
            "orders": [[one.kind, one.key, one.on, one.at] for one in self.swim.broadcasts],
            "members": self.swim.status_rows(now),
        }

    def forget(self, name: str) -> bool:
        return self.swim is not None and self.swim.members.remove(name)


async def _part(reader: asyncio.StreamReader, most: int) -> bytes:
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > most:
        raise ValueError("a part that is none")
    return await reader.readexactly(length)
