"""The commands that run large-scale scenarios with hollow proxies and compare hollow proxies with real ones."""

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


def run_in_temporary_folder(scenario: Callable[[Path], Awaitable[dict[str, Any]]]) -> dict[str, Any]:
    """Runs a scenario in a temporary folder. Raises ClickException if one of its processes failed."""

    async def run_scenario(work: Path) -> dict[str, Any]:
        return await scenario(work)

    with tempfile.TemporaryDirectory(prefix="scale-") as work:
        try:
            return asyncio.run(run_scenario(Path(work)))
        except (WorkerError, RuntimeError, TimeoutError) as error:
            raise click.ClickException(str(error)) from None


def _exit_with_verdict(result: dict[str, Any]) -> None:
    """Ends the program with status 0 if the run passed, else with 1."""
    sys.exit(0 if result["verdict"] == "passed" else 1)


@click.command()
@click.option("--size", default=20, show_default=True, type=click.IntRange(1, 100), help="Proxies of each kind.")
@click.option("--seed", default=1, show_default=True)
@click.option("--control", is_flag=True, help="Compare configuration from control machines instead of endpoint lists.")
@click.option("--group", is_flag=True, help="Compare group membership instead of endpoint lists.")
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
def fidelity(size: int, seed: int, control: bool, group: bool, as_json: bool) -> None:
    """Run real and hollow proxies side by side and compare their traffic and their state."""
    if control and group:
        raise click.ClickException("--control and --group cannot be combined")
    compare = hollow_fidelity.compare_control if control else hollow_fidelity.compare
    if group:
        compare = hollow_group_fidelity.compare
    result = run_in_temporary_folder(lambda work: compare(size, seed, work, _say))
    if as_json:
        click.echo(json.dumps(result))
    else:
        for kind in result["kinds"]:
            click.echo(
                f"{kind['kind']:<26} whole {kind['whole']:>9} hollow {kind['hollow']:>9}"
                f"  {'agrees' if kind['agrees'] else 'DIFFERS'}"
            )
        for field in ("processor_seconds_each", "memory_mb_each"):
            if field in result:
                click.echo(f"{field}: whole {result[field]['whole']}, hollow {result[field]['hollow']}")
        click.echo(result["verdict"])
    _exit_with_verdict(result)


@click.command()
@click.argument("names", nargs=-1, metavar="[SCENE]...")
@click.option("--size", default=200, show_default=True, type=click.IntRange(20, 5000), help="Proxies.")
@click.option("--controls", default=3, show_default=True, type=click.IntRange(2, 9), help="Control machines.")
@click.option("--seed", default=1, show_default=True)
@click.option("--quick", is_flag=True, help="Run shorter phases with the same checks.")
@click.option("--json", "as_json", is_flag=True, help="Print a line of JSON for each scene when it ends.")
@click.option("--report", type=click.Path(dir_okay=False, path_type=Path), help="Write a page with plots to this file.")
def scene(
    names: tuple[str, ...],
    size: int,
    controls: int,
    seed: int,
    quick: bool,
    as_json: bool,
    report: Path | None,
) -> None:
    """Run large-scale scenes with hollow proxies, all of them if none is named. `before` runs with discovery alone,
    `group` with a membership group and no control machines, and `group-join` only its join, loss and ban phases."""
    separate_scenes = "before", "group", "group-join"
    unknown = [name for name in names if name not in (*hollow_scenarios.SCENES, *separate_scenes)]
    if unknown:
        raise click.ClickException(
            f"{unknown[0]!r} is none of {', '.join((*hollow_scenarios.SCENES, *separate_scenes))}"
        )
    if set(names) & {"group", "group-join"} and size > hollow_group_scenarios.LARGEST:
        raise click.ClickException(f"a group has at most {hollow_group_scenarios.LARGEST} members")

    results: list[dict[str, Any]] = []

    def report_result(result: dict[str, Any]) -> None:
        result = {**result, "size": size, "controls": controls, "seed": seed}
        results.append(result)
        if as_json:
            click.echo(json.dumps(result))
            return
        click.echo(f"{result['scene']}: {result['verdict']}, {result.get('seconds', '')} s")
        for check in result.get("checks", ()):
            click.echo(
                f"  {'holds' if check['holds'] else 'DOES NOT HOLD'}: {check['what']}: {json.dumps(check['seen'])}"
            )

    async def run(work: Path) -> dict[str, Any]:
        scene_results: list[dict[str, Any]] = []
        if "before" in names:
            scene_results += await hollow_scenarios.before(size, seed, work, _say, report_result)
        if "group" in names:
            scene_results += await hollow_group_scenarios.run_scenario(size, seed, quick, work, _say, report_result)
        if "group-join" in names:
            short_steps = hollow_group_scenarios.SHORT
            scene_results += await hollow_group_scenarios.run_scenario(
                size, seed, quick, work, _say, report_result, steps=short_steps
            )
        if not names or set(names) - set(separate_scenes):
            hollow_scenes = [name for name in names if name not in separate_scenes] or list(hollow_scenarios.SCENES)
            scene_results += await hollow_scenarios.run_scenarios(
                hollow_scenes, size, controls, seed, quick, work, _say, report_result
            )
        return {
            "verdict": "passed"
            if all(scene_result["verdict"] == "passed" for scene_result in scene_results)
            else "failed"
        }

    try:
        verdict = run_in_temporary_folder(run)
    finally:
        # The report covers the scenes that ended, even if a process failed later.
        if report is not None:
            from pepperusher.rehearsal import hollow_report

            hollow_report.write(report, results)
    _exit_with_verdict(verdict)
