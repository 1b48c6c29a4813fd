"""The command line."""

from __future__ import annotations

import sys
from functools import partial
from importlib import import_module
from types import ModuleType

import click

from pepperusher import __version__
from pepperusher.net import bootstrap
from pepperusher.net.proxy import run
from pepperusher.terms import REPORTS_IN_RESPONSES, REPORTS_NONE, REPORTS_BY_PROBES


REPORTED_BY = {REPORTS_NONE: "nobody", REPORTS_IN_RESPONSES: "answers", REPORTS_BY_PROBES: "probes, which are not sent"}
# Commands that live in packages of their own, loaded when they are asked for: `serve` must not grow by them.
LATER = {
    **{
        name: ("pepperusher.rehearsal.commands", "rehearsal")
        for name in (
            "emulate",
            "load",
            "rehearse",
            "experiment",
            "report",
            "group-figures",
            "askers",
            "cold-figures",
            "soak",
        )
    },
    **{name: ("pepperusher.configuration.commands", "own") for name in ("explain", "schema")},
    "capacity": ("pepperusher.capacity.commands", "rehearsal"),
    "control": ("pepperusher.distribution.commands", "own"),
    "ctl": ("pepperusher.control.commands", "own"),
    "store": ("pepperusher.store.commands", "store"),
}


def later(module: str, extra: str) -> ModuleType:
    """A module with libraries that `serve` does without on the platform."""
    try:
        return import_module(module)
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("pepperusher"):
            raise
        raise click.ClickException(f"this needs {error.name}: pip install 'pepperusher[{extra}]'") from None


class Commands(click.Group):
    """The commands here and those that are loaded later."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LATER])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LATER:
            return super().get_command(ctx, cmd_name)
        command: click.Command = getattr(later(*LATER[cmd_name]), cmd_name.replace("-", "_"))
        return command


@click.group(cls=Commands)
def main() -> None:
    """A load balancer for services that call services."""


def _read(config: str, **given: str | None) -> bootstrap.BootstrapConfiguration:
    try:
        return bootstrap.read_bootstrap(config, **given)
    except bootstrap.BootstrapError as error:
        raise click.ClickException(str(error)) from None


@main.command()
@click.option("--config", envvar="BALANCER_CONFIG", required=True, help="The configuration, a JSON file.")
@click.option("--name", envvar="BALANCER_NAME", help="This proxy's name, in place of the configuration's.")
@click.option("--listen", envvar="BALANCER_LISTEN", help="Where callers connect, address:port.")
@click.option("--discovery", envvar="BALANCER_DISCOVERY", help="Where discovery answers, address:port.")
@click.option("--console", envvar="BALANCER_CONSOLE", help="Where operators connect, address:port.")
@click.option("--own", envvar="PEPPERUSHER_OWN", help="The proxy's own file, TOML: routes, limits, changes, control.")
@click.option("--set", "given", multiple=True, metavar="KEY=VALUE", help="A value in place of the own file's.")
def serve(
    config: str,
    name: str | None,
    listen: str | None,
    discovery: str | None,
    console: str | None,
    own: str | None,
    given: tuple[str, ...],
) -> None:
    """Serve until SIGTERM or SIGINT, then answer what is in hand and end.

    SIGHUP reads the configuration anew, goes over to the discovery that stands in it, and proposes the own
    file as it stands then.
    """
    read = _read(config, name=name, listen=listen, discovery=discovery, console=console)
    if own is None and given:
        raise click.ClickException("--set: there is no --own file whose values it could replace")
    # Companions bring libraries that a small proxy has no room for: loaded only where there are any.
    make_extensions = None
    if own is not None:
        make_extensions = partial(later("pepperusher.extensions", "own").extensions_of, own, given)
    elif read.console is not None:
        make_extensions = import_module("pepperusher.console.admin_handlers").admin_handlers_alone

    def again(before: bootstrap.BootstrapConfiguration) -> bootstrap.BootstrapConfiguration:
        return bootstrap.read_bootstrap(
            config, name=name, listen=listen, discovery=discovery, console=console, before=before
        )

    try:
        run(read, again, make_extensions)
    except OSError as error:
        raise click.ClickException(str(error)) from None
    except ValueError as error:
        # The own file's faults, one a line; a ValueError of any other kind is ours.
        faults = getattr(error, "faults", None)
        if faults is None:
            raise
        raise click.ClickException("\n".join(map(str, faults))) from None


@main.command()
@click.argument("config")
@click.option(
    "--own",
    envvar="PEPPERUSHER_OWN",
    help="The proxy's own file: all in force and where it came from, or all that is wrong.",
)
@click.option("--set", "values", multiple=True, metavar="KEY=VALUE", help="A value in place of the own file's.")
def check(config: str, own: str | None, values: tuple[str, ...]) -> None:
    """Read a configuration as serve would, and say what it holds."""
    given = _read(config)
    policy_settings = given.policy_settings
    click.echo(
        f"{given.name} listens at {given.listen[0]}:{given.listen[1]}, tier {policy_settings.tier_index + 1},"
        f" {policy_settings.proxy_index + 1} of {policy_settings.group_size}; {len(policy_settings.use_cases)} use cases,"
        f" {len(policy_settings.customers)} customers, {len(given.initial_endpoints.entries) if given.initial_endpoints else 0} backends known;"
        f" {'beside its client' if policy_settings.is_sidecar else 'one of a pool'}, load reported by"
        f" {REPORTED_BY[policy_settings.reported_by]}"
    )
    if own is not None:
        later("pepperusher.configuration.commands", "own").checked(own, policy_settings, values)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"pepperusher {__version__}")


if __name__ == "__main__":
    sys.exit(main())
