"""The commands that play scenes at scale with hollow proxies, and compare these with whole ones."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import click

from pepperusher.rehearsal import hollow_fidelity
from pepperusher.rehearsal.worker import WorkerError


def _say(line: str) -> None:
    click.echo(line, err=True)


def played(play: Callable[[Path], Awaitable[dict[str, Any]]]) -> dict[str, Any]:
    """In a folder that goes with it. Raises ClickException where a process of the play failed."""

    async def run(work: Path) -> dict[str, Any]:
        return await play(work)

    with tempfile.TemporaryDirectory(prefix="scale-") as work:
        try:
            return asyncio.run(run(Path(work)))
        except (WorkerError, RuntimeError) as error:
            raise click.ClickException(str(error)) from None


def _ended(told: dict[str, Any]) -> None:
    sys.exit(0 if told["verdict"] == "passed" else 1)


@click.command()
@click.option("--size", default=20, show_default=True, type=click.IntRange(1, 100), help="Of each kind.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="The figures as JSON.")
def fidelity(size: int, seed: int, as_json: bool) -> None:
    """Play whole and hollow proxies side by side, and hold what passed and what they hold against each
    other."""
    told = played(lambda work: hollow_fidelity.compare(size, seed, work, _say))
    if as_json:
        click.echo(json.dumps(told))
    else:
        for one in told["kinds"]:
            click.echo(
                f"{one['kind']:<12} whole {one['whole']:>9} hollow {one['hollow']:>9}"
                f"  {'agrees' if one['agrees'] else 'DIFFERS'}"
            )
        for what in ("processor_seconds_each", "memory_mb_each"):
            click.echo(f"{what}: whole {told[what]['whole']}, hollow {told[what]['hollow']}")
        click.echo(told["verdict"])
    _ended(told)
