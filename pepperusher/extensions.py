"""The companions that the own file asks for, and the console's, each loaded only where it is asked for."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from pepperusher.net.extension import Extension
from pepperusher.net.configuration_manager import ConfigurationManager, given_of
from pepperusher.net.log import Log
from pepperusher.net.bootstrap import BootstrapConfiguration
from pepperusher.configuration.tables import Own

if TYPE_CHECKING:
    from pepperusher.net.distributed_configuration import DistributedConfiguration


def _kept(own: Own) -> str:
    """What is kept of what is shared with other proxies, where the file names control machines."""
    if not own.distribution.machines:
        return ""
    from pepperusher.net.distributed_configuration import kept

    return kept(own)


def extensions_of(
    own: str | Path, given: tuple[str, ...], bootstrap: BootstrapConfiguration, log: Log
) -> list[Extension]:
    """In the order in which they narrow the list: operators' orders have the last word. Raises ConfigurationError."""
    house = ConfigurationManager(own, given_of(given), bootstrap.policy_settings, log, _kept)
    made: list[Extension] = [house]
    desk = node = None
    if bootstrap.console is not None:
        from pepperusher.console.admin_handlers import AdminHandlers

        desk = AdminHandlers(bootstrap.console, bootstrap.policy_settings, log)
    if house.own.group.listen is not None:
        from pepperusher.net.node import Node

        with_desk = (desk.orders, desk.take) if desk is not None else (None, None)
        node = Node(house.own.group, bootstrap.policy_settings, bootstrap.name, log.write_event, *with_desk)
        made.append(node)
        if desk is not None:
            desk.held = node.held
    distributed: DistributedConfiguration | None = None
    if house.own.distribution.machines:
        from pepperusher.net.distributed_configuration import DistributedConfiguration

        distributed = DistributedConfiguration(house.own.distribution, house, bootstrap.name, str(own), log.write_event)
        made.append(distributed)
    if house.own.control.socket is not None:
        from pepperusher.net.answers import ControlAnswers

        made.append(ControlAnswers(house, node, log.write_event, distributed))
    if desk is not None:
        made.append(desk)
    return made
