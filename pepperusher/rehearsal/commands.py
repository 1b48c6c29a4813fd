"""The commands of rehearsals: emulate, load, rehearse, experiment, report, group-figures, askers, soak, cold-figures."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from pepperusher.rehearsal import results, script as scripts, text_report
from pepperusher.rehearsal.run_controller import RehearsalError, rehearse as run_rehearsal
from pepperusher.rehearsal.results import Result, ResultError
from pepperusher.rehearsal.script import ScriptError
from pepperusher.durations import span as span_of

EXIT_RULE_BROKEN = 1
FILE_ARGUMENT = click.argument("file", type=click.Path(path_type=Path))


@contextmanager
def errors_in_one_line() -> Iterator[None]:
    """Reports errors in files and runs as one line without a traceback, and handles SIGINT and SIGTERM.

    SIGTERM ends the command and all processes that it started, as Ctrl-C does. The handler for SIGINT is set explicitly, since
    a shell that starts the command in the background makes it ignore SIGINT.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    # SIGTERM raises SIGINT rather than an exception: asyncio turns SIGINT into a cancellation, which ends all processes in order.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        yield
    except (ScriptError, RehearsalError, ResultError) as error:
        raise click.ClickException(str(error)) from None
    except KeyboardInterrupt:
        raise click.ClickException("stopped") from None


@contextmanager
def progress(title: str, span: int) -> Iterator[Callable[[int], None] | None]:
    """Shows a progress bar if stderr is a terminal; else yields None."""
    if not sys.stderr.isatty():
        yield None
        return
    with click.progressbar(length=span, label=title[:40], file=sys.stderr) as bar:

        def show_progress(now: int) -> None:
            bar.update(max(0, min(span, now) - bar.pos))

        yield show_progress


def _read_script(file: Path, seed: int | None, span: str | None) -> scripts.Script:
    """Reads a script and applies the options --seed and --span; faults after the new span are dropped."""
    script = scripts.read(file)
    if seed is not None:
        script.seed = seed
    if span is not None:
        try:
            script.span = span_of(span)
        except ValueError as error:
            raise ScriptError(f"--span: {error}") from None
        script.faults = [fault for fault in script.faults if fault.at < script.span]
        scripts.check(script)
    return script


@click.command()
@FILE_ARGUMENT
@click.option("--report", type=click.Path(path_type=Path), help="Write an HTML report with plots to this file.")
@click.option("--out", type=click.Path(path_type=Path), help="Write the result to this file (.rehearsal).")
@click.option("--work", type=click.Path(path_type=Path), help="Keep logs and records in this folder.")
@click.option(
    "--build",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Run the proxies of another checkout.",
)
@click.option("--seed", type=int, help="Replaces the seed of the script.")
@click.option("--span", help="Replaces the span of the script, such as 10s.")
def rehearse(
    file: Path,
    report: Path | None,
    out: Path | None,
    work: Path | None,
    build: Path | None,
    seed: int | None,
    span: str | None,
) -> None:
    """Run the rehearsal in FILE: an emulated fleet, real proxies and generated load on loopback.

    Prints a summary. Exits with status 1 if one of the four rules was broken, and lists tickets, times and backends.
    """
    with errors_in_one_line():
        script = _read_script(file, seed, span)
        with progress(script.title, script.span) as show_progress:
            result = run_rehearsal(script, build.resolve() if build else None, work, show_progress)
        if out is not None:
            results.write(out, result)
        click.echo(text_report.summary(result))
        if report is not None:
            from pepperusher.rehearsal import page

            page.write(report, [result])
            click.echo(f"report: {report}")
    if not result.kept:
        sys.exit(EXIT_RULE_BROKEN)


@click.command()
@FILE_ARGUMENT
@click.option(
    "--to",
    "targets",
    multiple=True,
    metavar="ADDRESS:PORT",
    required=True,
    help="The address of a proxy or server; several are used in turn.",
)
@click.option("--out", type=click.Path(path_type=Path), help="Write the result to this file (.rehearsal).")
@click.option("--seed", type=int, help="Replaces the seed of the script.")
@click.option("--span", help="Replaces the span of the script, such as 10s.")
def load(file: Path, targets: tuple[str, ...], out: Path | None, seed: int | None, span: str | None) -> None:
    """Run only the clients of the rehearsal in FILE, against servers that are already running.

    Only loopback addresses are allowed.
    """
    from pepperusher.rehearsal import standalone

    with errors_in_one_line():
        script = _read_script(file, seed, span)
        with progress(script.title, script.span) as show_progress:
            result = standalone.load(script, [standalone.loopback(target) for target in targets], show_progress)
        if out is not None:
            results.write(out, result)
        click.echo(text_report.load_summary(result))


@click.command()
@FILE_ARGUMENT
@click.option("--proxies/--no-proxies", default=True, help="Whether to start real proxies in front of the fleet.")
@click.option("--seed", type=int, help="Replaces the seed of the script.")
def emulate(file: Path, proxies: bool, seed: int | None) -> None:
    """Run the fleet of the rehearsal in FILE until Ctrl-C, with its faults but without load.

    Prints the addresses of proxies, backends and discovery.
    """
    from pepperusher.rehearsal import standalone

    with errors_in_one_line():
        standalone.emulate(_read_script(file, seed, None), proxies, click.echo)


@click.command()
@FILE_ARGUMENT
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("results"),
    show_default=True,
    help="Write results to this directory; runs that have a result there are not repeated.",
)
@click.option("--report", type=click.Path(path_type=Path), help="Write an HTML report with plots to this file.")
def experiment(file: Path, out: Path, report: Path | None) -> None:
    """Run the experiment in FILE: rehearsals over parameters, seeds and builds, compared in pairs."""
    from pepperusher.rehearsal import experiments

    with errors_in_one_line():
        definition = experiments.read(file)
        results_by_run = experiments.run_experiment(definition, out, click.echo)
        click.echo(experiments.format_comparison(definition, results_by_run))
        if report is not None:
            from pepperusher.rehearsal import page

            page.write(
                report, [result for _, result in results_by_run], experiments.compare_arms(definition, results_by_run)
            )
            click.echo(f"report: {report}")
    if not all(result.kept for _, result in results_by_run):
        sys.exit(EXIT_RULE_BROKEN)


@click.command()
@click.argument("files", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--html", type=click.Path(path_type=Path), help="Write an HTML report with plots to this file.")
def report(files: tuple[Path, ...], html: Path | None) -> None:
    """Print a summary of each result file; with --html also write a report of all."""
    with errors_in_one_line():
        loaded: list[Result] = [results.read(file) for file in files]
        for result in loaded:
            click.echo(text_report.summary(result))
        if html is not None:
            from pepperusher.rehearsal import page

            page.write(html, loaded)
            click.echo(f"report: {html}")


@click.command("group-figures")
@click.option(
    "--sizes", default="10,40,100,300,1000", show_default=True, help="Numbers of members, separated by commas."
)
@click.option(
    "--plays", default=5, show_default=True, help="Runs per size, each with its own seed; groups over 100 are run once."
)
def group_figures(sizes: str, plays: int) -> None:
    """Measure a group of proxies in virtual time: failure detection, dissemination, false suspicions and costs."""
    from pepperusher.rehearsal import group_figures

    if not all(size.isdecimal() and 2 <= int(size) <= 2000 for size in sizes.split(",")) or plays < 1:
        raise click.ClickException("--sizes are whole numbers from 2 to 2000, and --plays is 1 or more")
    with errors_in_one_line():
        rows = list(
            group_figures.rows([int(size) for size in sizes.split(",")], plays, lambda line: click.echo(line, err=True))
        )
        click.echo(group_figures.table(rows))


@click.command("askers")
@click.option(
    "--scene",
    "scenes",
    default="down,refusing,silent,unreachable,watches-end,watches-silent",
    show_default=True,
    help="Scenes, separated by commas; start-slow, start-full and start-back measure the start of new processes.",
)
@click.option(
    "--askers", "crowd", default=200, show_default=True, help="Number of proxies that call the one discovery server."
)
@click.option(
    "--whole",
    default=24,
    show_default=True,
    help="How many of these are real processes in the scenes that measure starts.",
)
@click.option("--each", default=14.0, show_default=True, help="Milliseconds that discovery needs for a call.")
@click.option(
    "--queue",
    default=1_000_000,
    help="Calls that discovery queues; it answers 503 to further ones.  [default: unlimited]",
)
@click.option(
    "--ask-within", default=10.0, show_default=True, help="The proxies' time-out for calls to discovery, in seconds."
)
@click.option(
    "--trials", default=5, show_default=True, help="Outages per scene, each of a random length from 3 to 20 s."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per scene instead of a table.")
def askers(
    scenes: str,
    crowd: int,
    whole: int,
    each: float,
    queue: int,
    ask_within: float,
    trials: int,
    seed: int,
    as_json: bool,
) -> None:
    """Measure many proxies at one discovery server: how late they learn of a change after an outage, and how many calls it took."""
    import json

    from pepperusher.rehearsal import discovery_clients as discovery_scenes

    scene_names = scenes.split(",")
    if unknown := [name for name in scene_names if name not in (*discovery_scenes.TROUBLES, *discovery_scenes.STARTS)]:
        raise click.ClickException(f"--scene: there is no {unknown[0]}")
    if not 1 <= crowd <= 220 or min(whole, trials, queue) < 0 or not 0 < each < 10_000:
        raise click.ClickException(
            "--askers is from 1 to 220, the other numbers are not negative, and --each is over 0 and under 10000"
        )
    with errors_in_one_line():
        if not as_json:
            click.echo(discovery_scenes.HEAD)
        for measurement in discovery_scenes.run_scenes(
            scene_names, crowd, whole, each / 1000, queue, trials, seed, ask_within
        ):
            click.echo(json.dumps(measurement._asdict()) if as_json else measurement.row())


@click.command()
@click.option("--seeds", default="1-50", show_default=True, help="One seed, or a range such as 1-50.")
@click.option("--span", default="20s", show_default=True, help="The length of each run.")
@click.option(
    "--work",
    type=click.Path(path_type=Path),
    help="Keep the logs and records of runs that broke a rule in this directory.",
)
@click.option("--build", type=click.Path(path_type=Path), help="Run the proxies of another checkout.")
def soak(seeds: str, span: str, work: Path | None, build: Path | None) -> None:
    """Run a small fleet with random faults drawn from each seed, one run after another.

    Exits with status 1 if a rule was broken in a run.
    """
    from pepperusher.rehearsal import soak as soak_runs

    first, _, last = seeds.partition("-")
    last = last or first
    if not (first.isdecimal() and last.isdecimal() and int(first) <= int(last)):
        raise click.ClickException("--seeds must be a number such as 7 or a range such as 1-50")
    with errors_in_one_line():
        try:
            span_us = span_of(span)
        except ValueError as error:
            raise ScriptError(f"--span: {error}") from None
        all_rules_kept = True
        for seed in range(int(first), int(last) + 1):
            result = soak_runs.run(seed, span_us, work, build)
            click.echo(soak_runs.line(result))
            all_rules_kept = all_rules_kept and result.kept
    if not all_rules_kept:
        sys.exit(EXIT_RULE_BROKEN)


@click.command("cold-figures")
@click.option("--proxies", default=30, show_default=True, help="Number of proxies.")
@click.option("--seeds", default=2, show_default=True, help="Runs per case, each with its own seed.")
@click.option("--deployment", "deployments", multiple=True, help="Name of a deployment; may be repeated. Default: all.")
def cold_figures(proxies: int, seeds: int, deployments: tuple[str, ...]) -> None:
    """Measure in virtual time what all proxies together send to cold backends, against the budget of the rule.

    Exits with status 1 if a window exceeded the budget.
    """
    from pepperusher.rehearsal import cold_backend_sum

    names = [deployment.name for deployment in cold_backend_sum.DEPLOYMENTS]
    if unknown := [name for name in deployments if name not in names]:
        raise click.ClickException(f"--deployment {unknown[0]} is not one of {', '.join(names)}")
    if not 2 <= proxies <= 1000 or seeds < 1:
        raise click.ClickException("--proxies are 2 to 1000, and --seeds is 1 or more")
    with errors_in_one_line():
        all_rules_kept = True
        click.echo(cold_backend_sum.HEAD)
        for row in cold_backend_sum.rows(proxies, range(seeds), deployments or names):
            click.echo(cold_backend_sum.line(*row))
            all_rules_kept = all_rules_kept and not row[2].over
    if not all_rules_kept:
        sys.exit(EXIT_RULE_BROKEN)
