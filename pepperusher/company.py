"""The companions that the own file asks for, and the console's, each loaded only where it is asked for."""

from __future__ import annotations

from pathlib import Path

from pepperusher.net.companion import Companion
from pepperusher.net.house import House, given_of
from pepperusher.net.log import Log
from pepperusher.net.told import Told


def company(own: str | Path, given: tuple[str, ...], told: Told, log: Log) -> list[Companion]:
    """In the order in which they narrow the list: the operators' orders have the last word. Raises OwnError."""
    house = House(own, given_of(given), told.ground, log)
    made: list[Companion] = [house]
    if house.own.control.socket is not None:
        from pepperusher.net.answers import Answers

        made.append(Answers(house, log.tell))
    if told.console is not None:
        from pepperusher.console.desk import Desk

        made.append(Desk(told.console, told.ground, log))
    return made
