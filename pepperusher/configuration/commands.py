"""The commands for the proxy's own configuration file: explain, schema, and its part of check."""

from __future__ import annotations

import json
import os

import click

from pepperusher.configuration import loader, validation
from pepperusher.configuration.loader import ConfigurationError
from pepperusher.terms import PolicySettings


def checked(path: str, policy_settings: PolicySettings, values: tuple[str, ...]) -> None:
    """Prints the effective configuration with the origin of each value. Exits with 1 and a list of all faults if it is
    invalid."""
    try:
        read = loader.read(path, policy_settings, loader.from_environment(os.environ), loader.from_command_line(values))
    except ConfigurationError as error:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        raise click.ClickException(f"{path}: {len(error.faults)} faults") from None
    rows = loader.effective(read)
    key_width = max(len(key) for key, _, _ in rows)
    click.echo(f"{path} ({read.digest}):")
    for key, value, origin in rows:
        click.echo(f"  {key:<{key_width}}  {value}  [{origin}]")


@click.command()
@click.argument("key", required=False)
def explain(key: str | None) -> None:
    """Explain KEY of the proxy's own file: its meaning, type and default. Without KEY, list all keys and
    rules."""
    if key is None:
        for known_key in loader.keys():
            click.echo(known_key)
        for name, description in validation.RULES.items():
            click.echo(f'rule "{name}": {description}')
        return
    try:
        click.echo(loader.explain(key))
    except KeyError as error:
        raise click.ClickException(str(error.args[0])) from None


@click.command()
def schema() -> None:
    """Print the JSON Schema of the proxy's own file, for editors."""
    click.echo(json.dumps(loader.schema(), indent=1))
