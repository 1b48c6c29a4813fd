"""The commands that measure slopes and project them on a target."""

from __future__ import annotations

import click


@click.command()
def slopes() -> None:
    """Measure how each cost grows with its size."""
    raise click.ClickException("not built yet")


@click.command()
def project() -> None:
    """Hold measured slopes against a target, worst first."""
    raise click.ClickException("not built yet")
