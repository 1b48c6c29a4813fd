"""The companions that the own file asks for, and the console's, each loaded only where it is asked for."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from pepperusher.net.extension import Companion
from pepperusher.net.configuration_manager import House, given_of
from pepperusher.net.log import Log
from pepperusher.net.bootstrap import Told
from pepperusher.configuration.tables import Own

if TYPE_CHECKING:
    from pepperusher.net.distributed_configuration import Distributed


def _kept(own: Own) -> str:
    """What is kept of what is shared with other proxies, where the file names control machines."""
    if not own.distribution.machines:
        return ""
    from pepperusher.net.distributed_configuration import kept

    return kept(own)


def company(own: str | Path, given: tuple[str, ...], told: Told, log: Log) -> list[Companion]:
    """In the order in which they narrow the list: operators' orders have the last word. Raises OwnError."""
    house = House(own, given_of(given), told.ground, log, _kept)
    made: list[Companion] = [house]
    desk = node = None
    if told.console is not None:
        from pepperusher.console.admin_handlers import Desk

        desk = Desk(told.console, told.ground, log)
    if house.own.group.listen is not None:
        from pepperusher.net.node import Node

        with_desk = (desk.orders, desk.take) if desk is not None else (None, None)
        node = Node(house.own.group, told.ground, told.name, log.tell, *with_desk)
        made.append(node)
        if desk is not None:
            desk.held = node.held
    distributed: Distributed | None = None
    if house.own.distribution.machines:
        from pepperusher.net.distributed_configuration import Distributed

        distributed = Distributed(house.own.distribution, house, told.name, str(own), log.tell)
        made.append(distributed)
    if house.own.control.socket is not None:
        from pepperusher.net.answers import Answers

        made.append(Answers(house, node, log.tell, distributed))
    if desk is not None:
        made.append(desk)
    return made
