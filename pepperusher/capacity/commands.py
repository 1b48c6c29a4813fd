"""The command `capacity` and its own commands, each in a module of its own that is loaded when it is asked
for.
"""

from __future__ import annotations

from importlib import import_module

import click

# Name of the command, and the module that has it under that name.
COMMANDS = {
    "fidelity": "pepperusher.capacity.scenes",
    "scene": "pepperusher.capacity.scenes",
    "project": "pepperusher.capacity.slope_commands",
    "slopes": "pepperusher.capacity.slope_commands",
}


class CapacityCommands(click.Group):
    """The commands of COMMANDS."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = getattr(import_module(COMMANDS[cmd_name]), cmd_name.replace("-", "_"))
        return command


@click.group(cls=CapacityCommands)
def capacity() -> None:
    """Measure what grows with the size of a fleet, and hold it against a target."""
