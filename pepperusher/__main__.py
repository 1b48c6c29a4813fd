"""The command line."""

from __future__ import annotations

import sys
from importlib import import_module

import click

from pepperusher import __version__
from pepperusher.net import told
from pepperusher.net.proxy import run


# Commands that live in packages of their own, loaded when they are asked for: `serve` must not grow by them.
LATER = {name: "pepperusher.rehearsal.commands" for name in ("emulate", "load", "rehearse", "experiment", "report")}
EXTRA = "rehearsal"


class Commands(click.Group):
    """The commands here and those that are loaded later."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LATER])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LATER:
            return super().get_command(ctx, cmd_name)
        try:
            module = import_module(LATER[cmd_name])
        except ModuleNotFoundError as error:
            if (error.name or "").startswith("pepperusher"):
                raise
            raise click.ClickException(f"{cmd_name} needs {error.name}: pip install 'pepperusher[{EXTRA}]'") from None
        command: click.Command = getattr(module, cmd_name)
        return command


@click.group(cls=Commands)
def main() -> None:
    """A load balancer for services that call services."""


def _read(config: str, **given: str | None) -> told.Told:
    try:
        return told.read(config, **given)
    except told.ToldError as error:
        raise click.ClickException(str(error)) from None


@main.command()
@click.option("--config", envvar="BALANCER_CONFIG", required=True, help="The configuration, a JSON file.")
@click.option("--name", envvar="BALANCER_NAME", help="This proxy's name, in place of the configuration's.")
@click.option("--listen", envvar="BALANCER_LISTEN", help="Where callers connect, address:port.")
@click.option("--discovery", envvar="BALANCER_DISCOVERY", help="Where discovery answers, address:port.")
def serve(config: str, name: str | None, listen: str | None, discovery: str | None) -> None:
    """Serve until SIGTERM or SIGINT, then answer what is in hand and end.

    SIGHUP reads the configuration anew and goes over to the discovery that stands in it.
    """
    given = _read(config, name=name, listen=listen, discovery=discovery)

    def again() -> told.Told:
        return told.read(config, name=name, listen=listen, discovery=discovery, file_first=True)

    try:
        run(given, again)
    except OSError as error:
        raise click.ClickException(str(error)) from None


@main.command()
@click.argument("config")
def check(config: str) -> None:
    """Read a configuration as serve would, and say what it holds."""
    given = _read(config)
    ground = given.ground
    click.echo(f"{given.name} listens at {given.listen[0]}:{given.listen[1]}, tier {ground.stage + 1},"
               f" {ground.ordinal + 1} of {ground.group_size}; {len(ground.use_cases)} use cases,"
               f" {len(ground.customers)} customers, {len(given.known.entries) if given.known else 0} backends known")


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"pepperusher {__version__}")


if __name__ == "__main__":
    sys.exit(main())
