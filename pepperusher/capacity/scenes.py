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

from pepperusher.rehearsal import hollow_fidelity, hollow_group_fidelity, hollow_group_scenarios, hollow_scenarios
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
        except (WorkerError, RuntimeError, TimeoutError) as error:
            raise click.ClickException(str(error)) from None


def _ended(told: dict[str, Any]) -> None:
    sys.exit(0 if told["verdict"] == "passed" else 1)


@click.command()
@click.option("--size", default=20, show_default=True, type=click.IntRange(1, 100), help="Of each kind.")
@click.option("--seed", default=1, show_default=True)
@click.option("--control", is_flag=True, help="Configuration from control machines, in place of lists.")
@click.option("--group", is_flag=True, help="Membership in a group, in place of lists.")
@click.option("--json", "as_json", is_flag=True, help="The figures as JSON.")
def fidelity(size: int, seed: int, control: bool, group: bool, as_json: bool) -> None:
    """Play whole and hollow proxies side by side, and hold what passed and what they hold against each
    other."""
    if control and group:
        raise click.ClickException("--control and --group are two comparisons")
    compare = hollow_fidelity.compare_control if control else hollow_fidelity.compare
    if group:
        compare = hollow_group_fidelity.compare
    told = played(lambda work: compare(size, seed, work, _say))
    if as_json:
        click.echo(json.dumps(told))
    else:
        for one in told["kinds"]:
            click.echo(
                f"{one['kind']:<26} whole {one['whole']:>9} hollow {one['hollow']:>9}"
                f"  {'agrees' if one['agrees'] else 'DIFFERS'}"
            )
        for what in ("processor_seconds_each", "memory_mb_each"):
            if what in told:
                click.echo(f"{what}: whole {told[what]['whole']}, hollow {told[what]['hollow']}")
        click.echo(told["verdict"])
    _ended(told)


@click.command()
@click.argument("names", nargs=-1, metavar="[SCENE]...")
@click.option("--size", default=200, show_default=True, type=click.IntRange(20, 5000), help="Proxies.")
@click.option("--controls", default=3, show_default=True, type=click.IntRange(2, 9), help="Control machines.")
@click.option("--seed", default=1, show_default=True)
@click.option("--quick", is_flag=True, help="Shorter spans, the same checks.")
@click.option("--json", "as_json", is_flag=True, help="A line of JSON for each scene as it ends.")
@click.option("--report", type=click.Path(dir_okay=False, path_type=Path), help="A page with plots, to be written.")
def scene(
    names: tuple[str, ...],
    size: int,
    controls: int,
    seed: int,
    quick: bool,
    as_json: bool,
    report: Path | None,
) -> None:
    """Play scenes at scale with hollow proxies: all where none is named; `before` has discovery alone,
    `group` a group of members without control machines, `group-join` its joining, a loss and a ban alone."""
    apart = "before", "group", "group-join"
    unknown = [name for name in names if name not in (*hollow_scenarios.SCENES, *apart)]
    if unknown:
        raise click.ClickException(f"{unknown[0]!r} is none of {', '.join((*hollow_scenarios.SCENES, *apart))}")
    if set(names) & {"group", "group-join"} and size > hollow_group_scenarios.LARGEST:
        raise click.ClickException(f"a group ends at {hollow_group_scenarios.LARGEST}")

    ended: list[dict[str, Any]] = []

    def each(told: dict[str, Any]) -> None:
        told = {**told, "size": size, "controls": controls, "seed": seed}
        ended.append(told)
        if as_json:
            click.echo(json.dumps(told))
            return
        click.echo(f"{told['scene']}: {told['verdict']}, {told.get('seconds', '')} s")
        for one in told.get("checks", ()):
            click.echo(f"  {'holds' if one['holds'] else 'DOES NOT HOLD'}: {one['what']}: {json.dumps(one['seen'])}")

    async def run(work: Path) -> dict[str, Any]:
        made: list[dict[str, Any]] = []
        if "before" in names:
            made += await hollow_scenarios.before(size, seed, work, _say, each)
        if "group" in names:
            made += await hollow_group_scenarios.run_scenario(size, seed, quick, work, _say, each)
        if "group-join" in names:
            short = hollow_group_scenarios.SHORT
            made += await hollow_group_scenarios.run_scenario(size, seed, quick, work, _say, each, steps=short)
        if not names or set(names) - set(apart):
            mine = [name for name in names if name not in apart] or list(hollow_scenarios.SCENES)
            made += await hollow_scenarios.run_scenarios(mine, size, controls, seed, quick, work, _say, each)
        return {"verdict": "passed" if all(one["verdict"] == "passed" for one in made) else "failed"}

    try:
        verdict = played(run)
    finally:
        # Of those that ended, also where a process of the play failed.
        if report is not None:
            from pepperusher.rehearsal import hollow_report

            hollow_report.write(report, ended)
    _ended(verdict)
