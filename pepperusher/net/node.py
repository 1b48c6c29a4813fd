"""The proxy's membership in its gossip group: a UDP socket for gossip, a TCP listener for larger transfers, and what
follows from the membership.

Loaded only where the configuration file has a group. `group.swim` decides who is alive, `group.shares` what follows
from it. No ticket waits for any of it.
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

from pepperusher.backend_commands import NEVER, AdminCommand
from pepperusher.console.admin_commands import AdminCommands
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

# Datagrams read in one turn of the event loop, so that a flood of them does not hold up tickets.
DATAGRAMS_PER_TURN = 64
# The successor of a process retries to bind the group's address while its predecessor still uses it.
BIND_RETRY_S = 0.05
# Concurrent incoming streams, and the time limit of each.
STREAMS_MAX = 4
STREAM_TIMEOUT_S = 3.0
# Maximum number of parts in one stream.
STREAM_PARTS_MAX = 2_000
PART_LENGTH = struct.Struct(">I")
# A proxy without a list asks other members for theirs: this long after it joined (us), again at this interval (s), this
# many of them.
LIST_REQUEST_DELAY_US = 1_000_000
LIST_RETRY_S = 1.0
LENDERS_MAX = 3
PART_BYTES = 60_000
LIST_MAX_BYTES = 8 * 1024 * 1024
# When it leaves, a member waits up to this long until some others have acknowledged that.
LEAVE_TIMEOUT_S = 0.15
LEAVE_POLL_S = 0.01
LEAVE_ACKS = 3
# Interval at which the number of rejected packets is logged, in microseconds.
LOG_INTERVAL_US = 10_000_000
BAN = "ban"
# How long an admin call waits for other members to confirm a command.
HELD_TIMEOUT_S = 0.5
# Other members take over this proxy's share only this long after it sends clients away, since fronts go on sending
# until then.
SENT_AWAY_DELAY_US = 600_000
# A lifted ban is remembered this long, for members that were partitioned meanwhile.
LIFTED_BAN_KEPT_US = 3_600_000_000


class Node(Extension):
    """Joins the proxy to its gossip group.

    `commands` are those of the admin listener, and `apply_commands` makes it apply commands of other members; without
    an admin listener the node keeps and applies commands itself.
    """

    # Two listening sockets, the incoming streams, and its own outgoing ones: one for the member list, and those for
    # endpoint lists.
    descriptors = 2 + STREAMS_MAX + 1 + LENDERS_MAX

    def __init__(
        self,
        settings: Group,
        policy_settings: PolicySettings,
        name: str,
        say: Callable[..., None],
        commands: AdminCommands | None = None,
        apply_commands: Callable[[dict[str, AdminCommand]], None] | None = None,
    ) -> None:
        assert settings.listen is not None
        self._settings, self._policy_settings, self._name, self._say = settings, policy_settings, name, say
        self._listen = validation.address_of(settings.listen)
        self._wire = Wire(settings.key)
        self._host: ExtensionHost
        self.swim: Swim | None = None  # None until this process has bound the proxy's group address
        self.sharers: int | None = None
        self._membership_version = -1
        self._sent_away_at: int | None = None
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._join_task: asyncio.Task[None] | None = None
        self._fetch_task: asyncio.Task[None] | None = None
        self._list_task: asyncio.Task[None] | None = None
        self._streams = 0
        self._timer: asyncio.TimerHandle | None = None
        self._logged_counts: dict[str, int] = {}
        self._logged_at = 0
        self._unsent = 0
        if commands is None:
            commands = AdminCommands(max(LIFTED_BAN_KEPT_US, policy_settings.warm_after))
            self.filter_endpoints = commands.lines
            apply_commands = self._apply_own_commands
        self._owns_commands = apply_commands == self._apply_own_commands
        assert apply_commands is not None
        self._orders, self._apply_commands = commands, apply_commands

    def _apply_own_commands(self, bans: dict[str, AdminCommand]) -> None:
        self._host.reapply_filters(self, self._orders.merge(bans, NEVER, clock.now()))

    # --- start and end ------------------------------------------------------------------------------

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    async def start(self) -> None:
        """Joins the group at once, or once the previous process has released the address: until then that process is
        the member.
        """
        if not await self._join(True):
            self._join_task = asyncio.get_running_loop().create_task(self._join_when_free())

    async def _join_when_free(self) -> None:
        while not await self._join(False):
            await asyncio.sleep(BIND_RETRY_S)

    async def _join(self, first: bool) -> bool:
        """Binds the group's address and starts the SWIM protocol. Returns False while the address is taken."""
        datagram_socket = None
        try:
            datagram_socket = self._bound()
            port = datagram_socket.getsockname()[1]
            self._server = await asyncio.start_server(self._serve_stream, self._listen[0], port)
        except OSError as error:
            if datagram_socket is not None:
                datagram_socket.close()
            if first:
                self._say("not yet in the group", at=self._settings.listen, why=error.strerror or str(error))
            return False
        self._socket = datagram_socket
        now = clock.now()
        address = (
            (self._listen[0], port)
            if self._settings.advertise is None
            else validation.address_of(self._settings.advertise)
        )
        member = MemberRecord(
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
        seeds = tuple(map(validation.address_of, self._settings.seeds))
        swim_settings = SwimSettings(
            self._settings.period, self._settings.within, seeds, self._policy_settings.group_size, LIFTED_BAN_KEPT_US
        )
        self._random = Random(member.token)
        self.swim = Swim(member, swim_settings, self._wire, self._random, now)
        asyncio.get_running_loop().add_reader(datagram_socket, self._datagrams_ready)
        self._say(
            "in the group",
            listen=f"{self._listen[0]}:{port}",
            advertise=f"{address[0]}:{address[1]}",
            token=f"{member.token:016x}",
            number=member.number,
        )
        self._wake()
        return True

    def _bound(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._listen[0] else socket.AF_INET
        datagram_socket = socket.socket(family, socket.SOCK_DGRAM)
        try:
            datagram_socket.bind(self._listen)
            datagram_socket.setblocking(False)
        except OSError:
            datagram_socket.close()
            raise
        return datagram_socket

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        """Applies the group size of the new settings in place of the one computed so far."""
        self._policy_settings = policy_settings
        if self.swim is not None:
            self.swim.reconfigure(policy_settings.group_size, policy_settings.tier_index, policy_settings.proxy_index)
            self._share()

    def drain_started(self, until: int) -> None:
        """Leaves the membership to the successor if there is one; otherwise announces to the group that this proxy
        leaves.
        """
        if self._host.has_successor:
            self._close()
        elif self.swim is not None:
            self.swim.set_phase(LEAVING, clock.now())
            self._wake()

    async def stop(self) -> None:
        if self.swim is not None and self._socket is not None:
            self.swim.set_phase(LEFT, clock.now())
            self._wake()
            deadline = asyncio.get_running_loop().time() + LEAVE_TIMEOUT_S
            while asyncio.get_running_loop().time() < deadline:
                acknowledged, expected = self.swim.phase_acks
                if acknowledged >= min(expected, LEAVE_ACKS):
                    break
                await asyncio.sleep(LEAVE_POLL_S)
        self._close()

    def _close(self) -> None:
        loop = asyncio.get_running_loop()
        for task in (self._join_task, self._fetch_task, self._list_task):
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

    def _datagrams_ready(self) -> None:
        """Reads the datagrams that have arrived, at most DATAGRAMS_PER_TURN at once."""
        assert self._socket is not None and self.swim is not None
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                # One byte more than the limit, so that a truncated datagram is recognized as too long.
                data = self._socket.recv(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                break
            except OSError:
                continue  # ICMP error for an earlier datagram of ours
            self.swim.receive(data, clock.now())
        self._flush()

    def _wake(self) -> None:
        """Runs the protocol step that is due, and sets the timer for the next one."""
        if self.swim is None or self._socket is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        now = clock.now()
        due = self.swim.wake(now)
        self._timer = asyncio.get_running_loop().call_later((due - now) / 1e6, self._timer_fired)
        self._flush()

    def _timer_fired(self) -> None:
        self._timer = None
        try:
            self._wake()
        except Exception as error:  # without its timer the member would stay silent for good
            self._say("unexpected error in the group", why=f"{type(error).__name__}: {error}")
            if self._timer is None and self._socket is not None:
                self._timer = asyncio.get_running_loop().call_later(self._settings.period / 1e6, self._timer_fired)

    def _flush(self) -> None:
        """Sends the packets, logs the changes and applies the commands that the last step produced."""
        swim = self.swim
        assert swim is not None
        packets, swim.outgoing = swim.outgoing, []
        for address, data in packets:
            try:
                if self._socket is not None:
                    self._socket.sendto(data, address)
            except (OSError, UnicodeError):
                self._unsent += 1  # treated as lost in transit; a member's address may also be invalid
        changes, swim.changes = swim.changes, []
        for change in changes:
            if change.what == "suspected by one more":
                continue  # the log line about the loss names them all
            self._say(f"group: {change.what}", of=change.name, **change.figures)
        if swim.new_broadcasts:
            news, swim.new_broadcasts = swim.new_broadcasts, []
            self._apply_commands(
                {broadcast.key: AdminCommand(broadcast.on, broadcast.at) for broadcast in news if broadcast.kind == BAN}
            )
            for broadcast in news:
                self._say("group: an order", kind=broadcast.kind, key=broadcast.key, on=broadcast.on, at=broadcast.at)
        if swim.members.version != self._membership_version:
            self._membership_version = swim.members.version
            self._share()
        if swim.sync_from is not None and self._fetch_task is None:
            address, swim.sync_from = swim.sync_from, None
            self._fetch_task = asyncio.get_running_loop().create_task(self._fetch(address))

    def _share(self) -> None:
        """Tells the balancer how many proxies share the traffic, if that changed."""
        assert self.swim is not None
        size = self.swim.sharer_count()
        if size != self.sharers:
            self.sharers = size
            self._host.facade.set_proxy_count(size)
            self._say("group: shares", of=size, told=self._policy_settings.group_size)

    # --- streams --------------------------------------------------------------------------------------

    async def _fetch(self, address: tuple[str, int]) -> None:
        """Fetches the full member list of another member, once. What is missing arrives by gossip later."""
        writer = None
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address, local_addr=(self._listen[0], 0))
                assert self.swim is not None
                hello = self.swim.stream_opening(WANTS_STATE)
                writer.write(PART_LENGTH.pack(len(hello)) + hello)
                for _ in range(STREAM_PARTS_MAX):
                    data = await _read_part(reader, MAX_DATAGRAM_BYTES)
                    self.swim.receive(data, clock.now())
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
            self._fetch_task = None
        if self.swim is not None and self._socket is not None:
            self._flush()

    async def _serve_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves the member list or the endpoint list to peers that hold the group's key."""
        try:
            if self._streams >= STREAMS_MAX or self.swim is None:
                return
            self._streams += 1
            try:
                async with asyncio.timeout(STREAM_TIMEOUT_S):
                    hello = self._wire.unpack(await _read_part(reader, MAX_DATAGRAM_BYTES))
                    for data in self._list_parts() if hello.seq == WANTS_LIST else self.swim.full_state():
                        writer.write(PART_LENGTH.pack(len(data)) + data)
                        await writer.drain()
                    await writer.drain()
                    writer.write_eof()
                    # Waits for the peer's end. What it may still send is of no use, and must not pile up.
                    while await reader.read(MAX_DATAGRAM_BYTES):
                        pass
            finally:
                self._streams -= 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, InvalidPacketError):
            pass  # the peer's failure
        finally:
            writer.transport.abort()

    # --- the list, where discovery is unreachable -----------------------------------------------------

    def _list_parts(self) -> list[bytes]:
        """This proxy's endpoint list as sealed parts, with the time since its last confirmation; empty without a list."""
        own_list = self._host.list_for_peers()
        if own_list is None:
            return []
        text = json.dumps(
            {"age": max(0, clock.now() - own_list[0]), "listed": own_list[1]}, separators=(",", ":")
        ).encode()
        return [self._wire.seal(text[offset : offset + PART_BYTES]) for offset in range(0, len(text), PART_BYTES)]

    async def _borrow_list(self) -> None:
        """While there is no list, asks a few members of this tier for theirs.

        An endpoint is taken as ready if every one of them lists it as ready, and not if one of them knows that it
        drains or no longer lists it.
        """
        assert self.swim is not None
        try:
            while self._host.needs_list and self._socket is not None:
                serving = [
                    candidate.record.address
                    for candidate in self.swim.members
                    if candidate.health == ALIVE
                    and candidate.record.phase in (SERVING, SENT_AWAY)
                    and candidate.record.tier == self._policy_settings.tier_index
                ]
                addresses = self._random.sample(serving, min(LENDERS_MAX, len(serving)))
                lists = await asyncio.gather(*map(self._request_list, addresses))
                try:
                    merged = endpoint_borrowing.intersect_lists(
                        [candidate for candidate in lists if candidate is not None]
                    )
                    if merged is not None and self._host.needs_list:
                        age, listed = merged
                        self._host.borrow_list(listed, clock.now() - age)
                        self._say(
                            "group: serving by the list of other members, since discovery has sent none",
                            backends=len(listed["servers"]),
                            confirmed_us_ago=age,
                        )
                        return
                except ValueError as error:
                    self._say("group: a list of another member is rejected", why=str(error))
                await asyncio.sleep(LIST_RETRY_S)
        finally:
            self._list_task = None

    async def _request_list(self, address: tuple[str, int]) -> dict[str, Any] | None:
        """Requests the endpoint list of another member; None where that fails."""
        writer = None
        text = bytearray()
        try:
            async with asyncio.timeout(STREAM_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address, local_addr=(self._listen[0], 0))
                assert self.swim is not None
                hello = self.swim.stream_opening(WANTS_LIST)
                writer.write(PART_LENGTH.pack(len(hello)) + hello)
                while len(text) < LIST_MAX_BYTES:
                    text += self._wire.open(await _read_part(reader, PART_BYTES + MAX_DATAGRAM_BYTES))
        except asyncio.IncompleteReadError:
            pass  # end of the stream
        except (OSError, TimeoutError, ValueError):
            return None
        finally:
            if writer is not None:
                writer.transport.abort()
        try:
            document = json.loads(text)
        except (ValueError, RecursionError):
            return None
        return document if isinstance(document, dict) else None

    # --- with the proxy ---------------------------------------------------------------------------------

    def sweep(self) -> None:
        if self.swim is None or self._socket is None:
            return
        now = clock.now()
        self.swim.list_version = self._host.list_version
        if not self._host.stopping:
            self.swim.set_phase(self._phase(), now)
        if (
            self._list_task is None
            and self._host.needs_list
            and now - self.swim.own_record.number >= LIST_REQUEST_DELAY_US
        ):
            self._list_task = asyncio.get_running_loop().create_task(self._borrow_list())
        if self._owns_commands:
            self._orders.forget(now)
        self.spread(now)
        self._wake()
        if now - self._logged_at >= LOG_INTERVAL_US:
            rejected = {
                reason: count - self._logged_counts.get(reason, 0)
                for reason, count in self.swim.counts.items()
                if reason.startswith("packets") and count > self._logged_counts.get(reason, 0)
            }
            if rejected:
                self._logged_at = now
                self._logged_counts = dict(self.swim.counts)
                self._say(
                    "group: not believed", **{reason.replace(" ", "_"): count for reason, count in rejected.items()}
                )

    def _phase(self) -> int:
        """The phase that this member announces to the group."""
        if not self._host.sent_away():
            self._sent_away_at = None
        elif self._sent_away_at is None:
            self._sent_away_at = clock.now()
        if not self._host.can_serve:
            return STARTING
        away = self._sent_away_at is not None and clock.now() - self._sent_away_at >= SENT_AWAY_DELAY_US
        return SENT_AWAY if away else SERVING

    def spread(self, now: int) -> None:
        """Broadcasts the commands that this proxy has from its admin listener or from its other process."""
        assert self.swim is not None
        for backend, command in self._orders.bans.items():
            known = self.swim.broadcasts.get(BAN, backend)
            if known is None or (command.at, command.on) > known.precedence:
                self.swim.broadcast(Broadcast(BAN, backend, command.on, command.at), now)

    async def held(self) -> tuple[int, int] | None:
        """How many proxies hold the same commands as this one, and of how many, as far as known within HELD_TIMEOUT_S;
        None outside a group.
        """
        if self.swim is None or self._socket is None:
            return None
        self.spread(clock.now())
        self._wake()
        deadline = asyncio.get_running_loop().time() + HELD_TIMEOUT_S
        while True:
            holders, members = self.swim.holder_counts()
            if holders >= members or asyncio.get_running_loop().time() >= deadline:
                return holders, members
            await asyncio.sleep(LEAVE_POLL_S)

    def members(self) -> dict[str, Any] | None:
        """This member's view of the group, for operators; None before it has joined."""
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
            "orders": [[command.kind, command.key, command.on, command.at] for command in self.swim.broadcasts],
            "members": self.swim.status_rows(now),
        }

    def forget(self, name: str) -> bool:
        """Removes a dead member from the member list. False where it is unknown or alive."""
        return self.swim is not None and self.swim.members.remove(name)


async def _read_part(reader: asyncio.StreamReader, max_length: int) -> bytes:
    """Reads one length-prefixed part. Raises ValueError if it is longer than `max_length`."""
    (length,) = PART_LENGTH.unpack(await reader.readexactly(PART_LENGTH.size))
    if length > max_length:
        raise ValueError("a stream part is too long")
    return await reader.readexactly(length)
