"""The extensions that the configuration file and the admin address ask for, each loaded only if needed."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from pepperusher.net.extension import Extension
from pepperusher.net.configuration_manager import ConfigurationManager, command_line_values
from pepperusher.net.log import Log
from pepperusher.net.bootstrap import BootstrapConfiguration
from pepperusher.configuration.tables import Own

if TYPE_CHECKING:
    from pepperusher.net.distributed_configuration import DistributedConfiguration


def _stored_shared_section(configuration: Own) -> str:
    """The stored shared section, where the file names control machines."""
    if not configuration.distribution.machines:
        return ""
    from pepperusher.net.distributed_configuration import stored_shared_section

    return stored_shared_section(configuration)


def extensions_of(
    own: str | Path, assignments: tuple[str, ...], bootstrap: BootstrapConfiguration, log: Log
) -> list[Extension]:
    """Returns the extensions in the order in which they filter the endpoint list: admin commands apply last. Raises
    ConfigurationError.
    """
    manager = ConfigurationManager(
        own, command_line_values(assignments), bootstrap.policy_settings, log, _stored_shared_section
    )
    extensions: list[Extension] = [manager]
    admin_handlers = node = None
    if bootstrap.console is not None:
        from pepperusher.console.admin_handlers import AdminHandlers

        admin_handlers = AdminHandlers(bootstrap.console, bootstrap.policy_settings, log, manager)
        manager.on_drains_changed = admin_handlers.store_state
    if manager.own.group.listen is not None:
        from pepperusher.net.node import Node

        admin_commands = (
            (admin_handlers.commands, admin_handlers.merge_commands) if admin_handlers is not None else (None, None)
        )
        node = Node(manager.own.group, bootstrap.policy_settings, bootstrap.name, log.write_event, *admin_commands)
        extensions.append(node)
        if admin_handlers is not None:
            admin_handlers.held = node.held
    distributed: DistributedConfiguration | None = None
    if manager.own.distribution.machines:
        from pepperusher.net.distributed_configuration import DistributedConfiguration

        distributed = DistributedConfiguration(
            manager.own.distribution, manager, bootstrap.name, str(own), log.write_event
        )
        extensions.append(distributed)
    if manager.own.control.socket is not None:
        from pepperusher.net.answers import ControlAnswers

        bans = admin_handlers.commands.bans if admin_handlers is not None else None
        extensions.append(ControlAnswers(manager, node, log.write_event, distributed, bans))
    if admin_handlers is not None:
        extensions.append(admin_handlers)
    return extensions
