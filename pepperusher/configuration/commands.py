"""The commands that tell of the proxy's own file: explain, schema, and check's part."""

from __future__ import annotations

import json
import os

import click

from pepperusher.configuration import loader, validation
from pepperusher.configuration.loader import ConfigurationError
from pepperusher.terms import PolicySettings


def checked(path: str, policy_settings: PolicySettings, values: tuple[str, ...]) -> None:
    """Prints what is in force and where each value came from; ends with 1 and all that is wrong."""
    try:
        read = loader.read(path, policy_settings, loader.from_environment(os.environ), loader.from_command_line(values))
    except ConfigurationError as error:
        for fault in error.faults:
            click.echo(str(fault), err=True)
        raise click.ClickException(f"{path}: {len(error.faults)} wrong") from None
    rows = loader.effective(read)
    wide = max(len(key) for key, _, _ in rows)
    click.echo(f"{path} ({read.digest}):")
    for key, value, origin in rows:
        click.echo(f"  {key:<{wide}}  {value}  [{origin}]")


@click.command()
@click.argument("key", required=False)
def explain(key: str | None) -> None:
    """Say what KEY of the proxy's own file means, its form and its default; without one, all keys and
    rules."""
    if key is None:
        for one in loader.keys():
            click.echo(one)
        for name, what in validation.RULES.items():
            click.echo(f'rule "{name}": {what}')
        return
    try:
        click.echo(loader.explain(key))
    except KeyError as error:
        raise click.ClickException(str(error.args[0])) from None


@click.command()
def schema() -> None:
    """Print the JSON Schema of the proxy's own file, for editors."""
    click.echo(json.dumps(loader.schema(), indent=1))
