"""The command `capacity` and its subcommands, whose modules are imported only when they are used."""

from __future__ import annotations

from importlib import import_module

import click

# The module of each subcommand; the function in it has the name of the subcommand.
COMMANDS = {
    "fidelity": "pepperusher.capacity.scenes",
    "scene": "pepperusher.capacity.scenes",
    "project": "pepperusher.capacity.slope_commands",
    "slopes": "pepperusher.capacity.slope_commands",
}


class CapacityCommands(click.Group):
    """A command group that imports the subcommands in COMMANDS when they are used."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in COMMANDS:
            return None
        command: click.Command = getattr(import_module(COMMANDS[cmd_name]), cmd_name.replace("-", "_"))
        return command


@click.group(cls=CapacityCommands)
def capacity() -> None:
    """Measure costs that grow with the size of a fleet and compare them with a target."""
