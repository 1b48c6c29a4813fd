"""A proxy that takes part of its file from control machines: as a change like any other, watched and undone
like any other.

Loaded only where the own file names control machines. No ticket waits for any of it; with all of them gone the
proxy serves on by what is in force, and says how old that is.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperusher.changes import shared_section
from pepperusher.changes.transaction_log import CONFIRMED, UNDONE, Change, TransactionError
from pepperusher.distribution import resource_cache
from pepperusher.distribution.client import Client
from pepperusher.distribution.control_file import read_key
from pepperusher.distribution.subscriber import MAX_CONNECTING, UPSTREAM_COUNT
from pepperusher.distribution.messages import CONFIG, Key, Resource
from pepperusher.net import clock
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.configuration_manager import ConfigurationManager
from pepperusher.configuration.loader import Fault, ConfigurationError
from pepperusher.configuration.validation import address_of
from pepperusher.configuration.tables import Distribution, Own
from pepperusher.terms import PolicySettings

if TYPE_CHECKING:
    from pepperusher.net.endpoint_relay import EndpointRelay

LOOK_EVERY = 0.1
# A change by hand that is open goes before it; after this it is refused for it.
OPEN_WITHIN = 60.0
# With no control machine there, so often is said how old that is which is in force.
SAID_EVERY = 60_000_000


def _title(one: Resource) -> str:
    return f"{one.kind}/{one.name} {one.version} {one.digest}"


def _shared(one: Resource) -> str:
    """Raises NotSharedError."""
    try:
        text = one.body.decode()
    except UnicodeDecodeError:
        raise shared_section.NotSharedError("is not text in UTF-8") from None
    shared_section.tables(text)
    return shared_section.block(_title(one), text)


def kept(own: Own) -> str:
    """What was in force before, of what is shared; nothing where it can't be had, which the client says."""
    said = own.distribution
    if not said.machines or said.keep is None or said.config is None:
        return ""
    try:
        for one in resource_cache.read(Path(said.keep), {(CONFIG, said.config)})[0]:
            return _shared(one)
    except shared_section.NotSharedError:
        pass
    return ""


class DistributedConfiguration(Extension):
    descriptors = UPSTREAM_COUNT + MAX_CONNECTING

    def __init__(
        self, said: Distribution, house: ConfigurationManager, name: str, source: str, say: Callable[..., None]
    ) -> None:
        """Raises ConfigurationError for a key that can't be read."""
        assert said.key_file is not None and (said.config or said.endpoints)
        try:
            key = read_key(said.key_file)
        except ValueError as error:
            raise ConfigurationError(
                [Fault(source, 0, "distribution.key_file", "sound distribution", str(error))]
            ) from None
        self._house, self._say = house, say
        self._key: Key | None = None if said.config is None else (CONFIG, said.config)
        self._relay: EndpointRelay | None = None
        seed = int.from_bytes(os.urandom(8))
        if said.endpoints is not None:
            from pepperusher.net.endpoint_relay import EndpointRelay

            self._relay = EndpointRelay(said.endpoints, seed, say)
        names = [key for key in (self._key, self._relay and self._relay.key) if key is not None]
        self._watched: Change | None = None
        self._ending: asyncio.Task[None] | None = None
        self._said_at = clock.now()
        addresses = [(*address_of(one), said.region if one in said.near else "") for one in said.machines]
        self._client = Client(
            addresses, names, self._apply, key=key, name=name, region=said.region, zone="",
            seed=seed, cache_path=None if said.keep is None else Path(said.keep), local_address="", say=say,
            provisional=True, on_freshness=None if self._relay is None else self._relay.words,
        )  # fmt: skip

    async def attach(self, host: ExtensionHost) -> None:
        if self._relay is not None:
            self._relay.attach(host)

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        if self._relay is not None:
            self._relay.look()

    async def start(self) -> None:
        self._client.start()

    def drain_started(self, until: int) -> None:
        """What is changed from now on is for whoever takes its place, under its name. Where the list comes this way and
        the end takes long, discovery is asked as after any silence.
        """
        self._ending = asyncio.get_running_loop().create_task(self._client.stop())

    async def stop(self) -> None:
        if self._relay is not None:
            self._relay.stop()
        if self._ending is None:
            self._ending = asyncio.get_running_loop().create_task(self._client.stop())
        await self._ending

    async def _apply(self, one: Resource) -> str | None:
        """As a change; in force from when it is applied, and refused where it is undone before or after. A list as
        discovery's word, at once.
        """
        if self._relay is not None and one.key == self._relay.key:
            return self._relay.take(one)
        assert self._key is not None
        key = self._key
        try:
            shared = _shared(one)
        except shared_section.NotSharedError as error:
            return str(error)
        house = self._house
        if house.shared == shared:
            return None
        until = asyncio.get_running_loop().time() + OPEN_WITHIN
        while True:
            self._look()
            try:
                change = await house.propose_shared(shared, "a control machine", _title(one))
                break
            except ConfigurationError as error:
                return str(error)
            except TransactionError as error:
                if asyncio.get_running_loop().time() >= until:
                    return str(error)
                await asyncio.sleep(LOOK_EVERY)
        if change is None:
            asyncio.get_running_loop().call_soon(self._client.confirm, key)
        elif change.state == UNDONE:
            return change.steps[-1].why
        else:
            self._watched = change
        return None

    def sweep(self) -> None:
        self._look()
        now = clock.now()
        if not self._client.upstreams and now - self._said_at >= SAID_EVERY:
            self._said_at = now
            self._say("no control machine is there: serving by what is in force", **self.status())

    def _look(self) -> None:
        """What became of the change that was taken last."""
        change = self._watched
        if change is None or self._key is None or self._client.in_force.get(self._key) is None:
            return
        if change.state == CONFIRMED:
            self._watched = None
            self._client.confirm(self._key)
        elif change.state == UNDONE:
            self._watched = None
            self._client.revert(self._key, f"undone: {change.steps[-1].why}")

    def status(self) -> dict[str, Any]:
        """For people: what is in force, how old that is, what was refused, and who is there."""
        version = refused = None
        if self._key is not None:
            version, refused = self._client.in_force.get(self._key), self._client.refused.get(self._key)
        age = self._client.age_us(clock.now())
        return {
            "resource": None if self._key is None else "/".join(self._key),
            "version": None if version is None else str(version),
            "confirmed_us_ago": age,
            "refused": None if refused is None else f"{refused[0]}: {refused[1]}",
            "machines": self._client.upstreams,
            "endpoints": None if self._relay is None else self._relay.status(),
        }
