"""Receives a section of a proxy's configuration file from control machines, and applies it as a configuration change
that is watched and undone like any other.

Loaded only where the configuration file names control machines. No ticket waits for any of it. With all of them
unreachable the proxy serves with its active configuration, and logs its age.
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

POLL_INTERVAL_S = 0.1
# How long an update waits for an open manual change; after this it is refused.
OPEN_CHANGE_TIMEOUT_S = 60.0
# How often the age of the configuration is logged while no control machine is reachable, in microseconds.
LOG_INTERVAL_US = 60_000_000


def _title(resource: Resource) -> str:
    return f"{resource.kind}/{resource.name} {resource.version} {resource.digest}"


def _shared_section(resource: Resource) -> str:
    """The shared section made from a resource. Raises NotSharedError."""
    try:
        text = resource.body.decode()
    except UnicodeDecodeError:
        raise shared_section.NotSharedError("is not text in UTF-8") from None
    shared_section.tables(text)
    return shared_section.block(_title(resource), text)


def stored_shared_section(own: Own) -> str:
    """The shared section that was stored last; empty where there is none to read, which the client logs."""
    settings = own.distribution
    if not settings.machines or settings.keep is None or settings.config is None:
        return ""
    try:
        for resource in resource_cache.read(Path(settings.keep), {(CONFIG, settings.config)})[0]:
            return _shared_section(resource)
    except shared_section.NotSharedError:
        pass
    return ""


class DistributedConfiguration(Extension):
    """Subscribes to the shared section and to the endpoint list, where the file names them."""

    descriptors = UPSTREAM_COUNT + MAX_CONNECTING

    def __init__(
        self, settings: Distribution, manager: ConfigurationManager, name: str, source: str, say: Callable[..., None]
    ) -> None:
        """Raises ConfigurationError for a key that cannot be read."""
        assert settings.key_file is not None and (settings.config or settings.endpoints)
        try:
            key = read_key(settings.key_file)
        except ValueError as error:
            raise ConfigurationError(
                [Fault(source, 0, "distribution.key_file", "sound distribution", str(error))]
            ) from None
        self._manager, self._say = manager, say
        self._key: Key | None = None if settings.config is None else (CONFIG, settings.config)
        self._relay: EndpointRelay | None = None
        seed = int.from_bytes(os.urandom(8))
        if settings.endpoints is not None:
            from pepperusher.net.endpoint_relay import EndpointRelay

            self._relay = EndpointRelay(settings.endpoints, seed, say)
        names = [key for key in (self._key, self._relay and self._relay.key) if key is not None]
        self._pending_change: Change | None = None
        self._stop_task: asyncio.Task[None] | None = None
        self._logged_at = clock.now()
        addresses = [
            (*address_of(machine), settings.region if machine in settings.near else "") for machine in settings.machines
        ]
        self._client = Client(
            addresses, names, self._apply, key=key, name=name, region=settings.region, zone="",
            seed=seed, cache_path=None if settings.keep is None else Path(settings.keep), local_address="", say=say,
            provisional=True, on_freshness=None if self._relay is None else self._relay.take_freshness,
        )  # fmt: skip

    async def attach(self, host: ExtensionHost) -> None:
        if self._relay is not None:
            self._relay.attach(host)

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        if self._relay is not None:
            self._relay.discovery_address_changed()

    async def start(self) -> None:
        self._client.start()

    def drain_started(self, until: int) -> None:
        """Unsubscribes: later updates are for the next process of this proxy, under the same name.

        Where the endpoint list comes this way and shutdown takes long, discovery is called as after any silence.
        """
        self._stop_task = asyncio.get_running_loop().create_task(self._client.stop())

    async def stop(self) -> None:
        if self._relay is not None:
            self._relay.stop()
        if self._stop_task is None:
            self._stop_task = asyncio.get_running_loop().create_task(self._client.stop())
        await self._stop_task

    async def _apply(self, resource: Resource) -> str | None:
        """Applies an update. Returns the reason if it is rejected.

        A shared section becomes a configuration change: active once applied, refused if it is undone before or after.
        An endpoint list takes effect at once, as a message of discovery does.
        """
        if self._relay is not None and resource.key == self._relay.key:
            return self._relay.take_list(resource)
        assert self._key is not None
        key = self._key
        try:
            shared = _shared_section(resource)
        except shared_section.NotSharedError as error:
            return str(error)
        manager = self._manager
        if manager.shared == shared:
            return None
        deadline = asyncio.get_running_loop().time() + OPEN_CHANGE_TIMEOUT_S
        while True:
            self._report_outcome()
            try:
                change = await manager.propose_shared(shared, "a control machine", _title(resource))
                break
            except ConfigurationError as error:
                return str(error)
            except TransactionError as error:
                if asyncio.get_running_loop().time() >= deadline:
                    return str(error)
                await asyncio.sleep(POLL_INTERVAL_S)
        if change is None:
            asyncio.get_running_loop().call_soon(self._client.confirm, key)
        elif change.state == UNDONE:
            return change.steps[-1].why
        else:
            self._pending_change = change
        return None

    def sweep(self) -> None:
        self._report_outcome()
        now = clock.now()
        if not self._client.upstreams and now - self._logged_at >= LOG_INTERVAL_US:
            self._logged_at = now
            self._say("no control machine is reachable: serving with the configuration in force", **self.status())

    def _report_outcome(self) -> None:
        """Reports the outcome of the last change to the control machines."""
        change = self._pending_change
        if change is None or self._key is None or self._client.in_force.get(self._key) is None:
            return
        if change.state == CONFIRMED:
            self._pending_change = None
            self._client.confirm(self._key)
        elif change.state == UNDONE:
            self._pending_change = None
            self._client.revert(self._key, f"undone: {change.steps[-1].why}")

    def status(self) -> dict[str, Any]:
        """The state for operators: active version and its age, the last refusal, and the reachable control machines."""
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
