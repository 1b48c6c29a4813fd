"""The command line of pepperusher."""

from __future__ import annotations

import sys
from functools import partial
from importlib import import_module
from types import ModuleType

import click

import pepperusher.asyncio_without_tls  # noqa: F401  (before all others that import asyncio)
from pepperusher import __version__
from pepperusher.net import bootstrap
from pepperusher.net.proxy import run
from pepperusher.terms import REPORTS_IN_RESPONSES, REPORTS_NONE, REPORTS_BY_PROBES


LOAD_REPORT_SOURCES = {
    REPORTS_NONE: "nobody",
    REPORTS_IN_RESPONSES: "responses",
    REPORTS_BY_PROBES: "probes, which this proxy does not send",
}
# Commands that are imported only when they are used, so that they don't increase the memory of `serve`.
LAZY_COMMANDS = {
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


def import_optional(module: str, extra: str) -> ModuleType:
    """Imports a module that needs optional libraries, which `serve` on the platform does without."""
    try:
        return import_module(module)
    except ModuleNotFoundError as error:
        if (error.name or "").startswith("pepperusher"):
            raise
        raise click.ClickException(f"this needs {error.name}: pip install 'pepperusher[{extra}]'") from None


class Commands(click.Group):
    """The commands of this module and those that are imported on use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        command: click.Command = getattr(import_optional(*LAZY_COMMANDS[cmd_name]), cmd_name.replace("-", "_"))
        return command


@click.group(cls=Commands)
def main() -> None:
    """A load balancer for service-to-service calls."""


def _read_bootstrap(config: str, **overrides: str | None) -> bootstrap.BootstrapConfiguration:
    try:
        return bootstrap.read_bootstrap(config, **overrides)
    except bootstrap.BootstrapError as error:
        raise click.ClickException(str(error)) from None


@main.command()
@click.option("--config", envvar="BALANCER_CONFIG", required=True, help="The configuration, a JSON file.")
@click.option("--name", envvar="BALANCER_NAME", help="This proxy's name, which overrides the configuration's.")
@click.option("--listen", envvar="BALANCER_LISTEN", help="Where callers connect, address:port.")
@click.option("--discovery", envvar="BALANCER_DISCOVERY", help="Where discovery answers, address:port.")
@click.option("--console", envvar="BALANCER_CONSOLE", help="Where operators connect, address:port.")
@click.option("--own", envvar="PEPPERUSHER_OWN", help="The proxy's own file, TOML: routes, limits, changes, control.")
@click.option("--set", "given", multiple=True, metavar="KEY=VALUE", help="A value that overrides the own file's.")
def serve(
    config: str,
    name: str | None,
    listen: str | None,
    discovery: str | None,
    console: str | None,
    own: str | None,
    given: tuple[str, ...],
) -> None:
    """Serve until SIGTERM or SIGINT, then finish the tickets in hand and exit.

    On SIGHUP, read the configuration again, switch to the discovery address in it, and propose the present content
    of the own file.
    """
    configuration = _read_bootstrap(config, name=name, listen=listen, discovery=discovery, console=console)
    if own is None and given:
        raise click.ClickException("--set needs --own, the file whose values it replaces")
    # The extensions import libraries that a small proxy has no memory for, so they are loaded only if configured.
    make_extensions = None
    if own is not None:
        make_extensions = partial(import_optional("pepperusher.extensions", "own").extensions_of, own, given)
    elif configuration.console is not None:
        make_extensions = import_module("pepperusher.console.admin_handlers").admin_handlers_alone

    def reread_bootstrap(before: bootstrap.BootstrapConfiguration) -> bootstrap.BootstrapConfiguration:
        return bootstrap.read_bootstrap(
            config, name=name, listen=listen, discovery=discovery, console=console, before=before
        )

    try:
        run(configuration, reread_bootstrap, make_extensions)
    except OSError as error:
        raise click.ClickException(str(error)) from None
    except ValueError as error:
        # Faults of the own file are printed a line each; any other ValueError is a bug and is raised.
        faults = getattr(error, "faults", None)
        if faults is None:
            raise
        raise click.ClickException("\n".join(map(str, faults))) from None


@main.command()
@click.argument("config")
@click.option(
    "--own",
    envvar="PEPPERUSHER_OWN",
    help="The proxy's own file: print the effective values with their origins, or all faults.",
)
@click.option("--set", "values", multiple=True, metavar="KEY=VALUE", help="A value that overrides the own file's.")
def check(config: str, own: str | None, values: tuple[str, ...]) -> None:
    """Validate a configuration as serve would, and summarize it."""
    configuration = _read_bootstrap(config)
    policy_settings = configuration.policy_settings
    click.echo(
        f"{configuration.name} listens at {configuration.listen[0]}:{configuration.listen[1]},"
        f" tier {policy_settings.tier_index + 1},"
        f" {policy_settings.proxy_index + 1} of {policy_settings.group_size};"
        f" {len(policy_settings.use_cases)} use cases,"
        f" {len(policy_settings.customers)} customers,"
        f" {len(configuration.initial_endpoints.entries) if configuration.initial_endpoints else 0} backends known;"
        f" {'a sidecar' if policy_settings.is_sidecar else 'one of a pool'}, load reported by"
        f" {LOAD_REPORT_SOURCES[policy_settings.reported_by]}"
    )
    if own is not None:
        import_optional("pepperusher.configuration.commands", "own").checked(own, policy_settings, values)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"pepperusher {__version__}")


if __name__ == "__main__":
    sys.exit(main())
