"""The commands of rehearsals: emulate, load, rehearse, experiment, report, group-figures, askers, soak, cold-figures."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from pepperusher.rehearsal import results, script as scripts, text_report
from pepperusher.rehearsal.run_controller import RehearsalError, rehearse as play
from pepperusher.rehearsal.results import Result, ResultError
from pepperusher.rehearsal.script import ScriptError
from pepperusher.durations import span as span_of

RULE_BROKEN = 1
FILE = click.argument("file", type=click.Path(path_type=Path))


@contextmanager
def one_line() -> Iterator[None]:
    """What is wrong with a file or a play is one line, never a traceback. SIGTERM ends it as Ctrl-C does, with all that it
    started; so does SIGINT where a shell that put it into the background has it ignored."""
    signal.signal(signal.SIGINT, signal.default_int_handler)
    # Not the same handler: asyncio turns SIGINT into a cancellation, and all that was started is ended in order.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        yield
    except (ScriptError, RehearsalError, ResultError) as error:
        raise click.ClickException(str(error)) from None
    except KeyboardInterrupt:
        raise click.ClickException("stopped") from None


@contextmanager
def progress(title: str, span: int) -> Iterator[Callable[[int], None] | None]:
    """A bar on a terminal; nothing else where there is none."""
    if not sys.stderr.isatty():
        yield None
        return
    with click.progressbar(length=span, label=title[:40], file=sys.stderr) as bar:

        def played(now: int) -> None:
            bar.update(max(0, min(span, now) - bar.pos))

        yield played


def _script(file: Path, seed: int | None, span: str | None) -> scripts.Script:
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
@FILE
@click.option("--report", type=click.Path(path_type=Path), help="Write an HTML page with plots here.")
@click.option("--out", type=click.Path(path_type=Path), help="Keep the result in this file (.rehearsal).")
@click.option("--work", type=click.Path(path_type=Path), help="Keep logs and records in this folder.")
@click.option(
    "--build",
    type=click.Path(path_type=Path, exists=True, file_okay=False),
    help="Play the proxy of this checkout in place of this one.",
)
@click.option("--seed", type=int, help="In place of the script's.")
@click.option("--span", help="In place of the script's, such as 10s.")
def rehearse(
    file: Path,
    report: Path | None,
    out: Path | None,
    work: Path | None,
    build: Path | None,
    seed: int | None,
    span: str | None,
) -> None:
    """Play the rehearsal in FILE: a stand-in fleet, real proxies and open-loop load on loopback.

    Prints a summary. Ends with 1 if one of the four rules was broken, naming tickets, times and backends.
    """
    with one_line():
        script = _script(file, seed, span)
        with progress(script.title, script.span) as played:
            result = play(script, build.resolve() if build else None, work, played)
        if out is not None:
            results.write(out, result)
        click.echo(text_report.summary(result))
        if report is not None:
            from pepperusher.rehearsal import page

            page.write(report, [result])
            click.echo(f"report: {report}")
    if not result.kept:
        sys.exit(RULE_BROKEN)


@click.command()
@FILE
@click.option(
    "--to",
    "targets",
    multiple=True,
    metavar="ADDRESS:PORT",
    required=True,
    help="A proxy or a server to ask; several are asked in turn.",
)
@click.option("--out", type=click.Path(path_type=Path), help="Keep the result in this file (.rehearsal).")
@click.option("--seed", type=int, help="In place of the script's.")
@click.option("--span", help="In place of the script's, such as 10s.")
def load(file: Path, targets: tuple[str, ...], out: Path | None, seed: int | None, span: str | None) -> None:
    """Play only the clients of the rehearsal in FILE, against servers that stand already.

    Only addresses of this machine's loopback are asked.
    """
    from pepperusher.rehearsal import standalone

    with one_line():
        script = _script(file, seed, span)
        with progress(script.title, script.span) as played:
            result = standalone.load(script, [standalone.loopback(one) for one in targets], played)
        if out is not None:
            results.write(out, result)
        click.echo(text_report.load_summary(result))


@click.command()
@FILE
@click.option("--proxies/--no-proxies", default=True, help="Whether real proxies stand before the fleet.")
@click.option("--seed", type=int, help="In place of the script's.")
def emulate(file: Path, proxies: bool, seed: int | None) -> None:
    """Stand up the fleet of the rehearsal in FILE until Ctrl-C, with its troubles from the start on.

    Prints the addresses of proxies, backends and discovery.
    """
    from pepperusher.rehearsal import standalone

    with one_line():
        standalone.emulate(_script(file, seed, None), proxies, click.echo)


@click.command()
@FILE
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("results"),
    show_default=True,
    help="Keep results in this folder; those that are there already are not played again.",
)
@click.option("--report", type=click.Path(path_type=Path), help="Write an HTML page with plots here.")
def experiment(file: Path, out: Path, report: Path | None) -> None:
    """Play the experiment in FILE: rehearsals over parameters, seeds and builds, in turn, compared pair by
    pair."""
    from pepperusher.rehearsal import experiments

    with one_line():
        wanted = experiments.read(file)
        played = experiments.play(wanted, out, click.echo)
        click.echo(experiments.spoken(wanted, played))
        if report is not None:
            from pepperusher.rehearsal import page

            page.write(report, [result for _, result in played], experiments.compare_arms(wanted, played))
            click.echo(f"report: {report}")
    if not all(result.kept for _, result in played):
        sys.exit(RULE_BROKEN)


@click.command()
@click.argument("files", type=click.Path(path_type=Path), nargs=-1, required=True)
@click.option("--html", type=click.Path(path_type=Path), help="Write an HTML page with plots here.")
def report(files: tuple[Path, ...], html: Path | None) -> None:
    """Show results that were kept: a summary of each, and with --html a page of all."""
    with one_line():
        read: list[Result] = [results.read(file) for file in files]
        for result in read:
            click.echo(text_report.summary(result))
        if html is not None:
            from pepperusher.rehearsal import page

            page.write(html, read)
            click.echo(f"report: {html}")


@click.command("group-figures")
@click.option("--sizes", default="10,40,100,300,1000", show_default=True, help="How many members, several by commas.")
@click.option("--plays", default=5, show_default=True, help="Plays of each, by seed; of groups over 100 one.")
def group_figures(sizes: str, plays: int) -> None:
    """Measure a group of proxies in virtual time: detection, news, wrong suspicions, and what it costs."""
    from pepperusher.rehearsal import group_figures

    if not all(one.isdecimal() and 2 <= int(one) <= 2000 for one in sizes.split(",")) or plays < 1:
        raise click.ClickException("--sizes are whole numbers from 2 to 2000, and --plays is 1 or more")
    with one_line():
        made = list(
            group_figures.rows([int(one) for one in sizes.split(",")], plays, lambda line: click.echo(line, err=True))
        )
        click.echo(group_figures.table(made))


@click.command("askers")
@click.option(
    "--scene",
    "scenes",
    default="down,refusing,silent,unreachable,watches-end,watches-silent",
    show_default=True,
    help="Several by commas; start-slow, start-full and start-back time new processes.",
)
@click.option("--askers", "crowd", default=200, show_default=True, help="How many ask the one discovery.")
@click.option("--whole", default=24, show_default=True, help="How many of these are processes, where starts are timed.")
@click.option("--each", default=14.0, show_default=True, help="Milliseconds that discovery works on a call.")
@click.option(
    "--queue", default=1_000_000, help="Calls that may wait there; it answers 503 to those beyond.  [default: no end]"
)
@click.option("--ask-within", default=10.0, show_default=True, help="Seconds that the settings give for asking.")
@click.option("--trials", default=5, show_default=True, help="Troubles in a scene, of 3 to 20 s by chance.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One object a scene, in place of a table.")
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
    """Measure a crowd of proxies at one discovery: how late they hear of a change after it is back, and the calls it took."""
    import json

    from pepperusher.rehearsal import discovery_clients as crowds

    wanted = scenes.split(",")
    if strange := [one for one in wanted if one not in (*crowds.TROUBLES, *crowds.STARTS)]:
        raise click.ClickException(f"--scene: there is no {strange[0]}")
    if not 1 <= crowd <= 220 or min(whole, trials, queue) < 0 or not 0 < each < 10_000:
        raise click.ClickException("--askers is from 1 to 220, the others are above 0")
    with one_line():
        if not as_json:
            click.echo(crowds.HEAD)
        for made in crowds.run_scenes(wanted, crowd, whole, each / 1000, queue, trials, seed, ask_within):
            click.echo(json.dumps(made._asdict()) if as_json else made.row())


@click.command()
@click.option("--seeds", default="1-50", show_default=True, help="One, or the first and the last with a - between.")
@click.option("--span", default="20s", show_default=True, help="How long each run lasts.")
@click.option("--work", type=click.Path(path_type=Path), help="Keep logs and records of runs that broke a rule here.")
@click.option("--build", type=click.Path(path_type=Path), help="Another checkout, whose proxies are run.")
def soak(seeds: str, span: str, work: Path | None, build: Path | None) -> None:
    """Run a small fleet under trouble that is drawn from each seed, one run after another.

    Ends with 1 if a rule was broken in one of them.
    """
    from pepperusher.rehearsal import soak as soaking

    first, _, last = seeds.partition("-")
    last = last or first
    if not (first.isdecimal() and last.isdecimal() and int(first) <= int(last)):
        raise click.ClickException("--seeds are such as 7, or 1-50")
    with one_line():
        try:
            lasts = span_of(span)
        except ValueError as error:
            raise ScriptError(f"--span: {error}") from None
        kept = True
        for seed in range(int(first), int(last) + 1):
            result = soaking.run(seed, lasts, work, build)
            click.echo(soaking.line(result))
            kept = kept and result.kept
    if not kept:
        sys.exit(RULE_BROKEN)


@click.command("cold-figures")
@click.option("--proxies", default=30, show_default=True, help="How many proxies.")
@click.option("--seeds", default=2, show_default=True, help="Runs of each case, by seed.")
@click.option("--deployment", "deployments", multiple=True, help="By name, once or more. All if none.")
def cold_figures(proxies: int, seeds: int, deployments: tuple[str, ...]) -> None:
    """Read what all proxies together send to cold backends, in virtual time, against the rule's budget.

    Ends with 1 if a window was over it.
    """
    from pepperusher.rehearsal import cold_backend_sum

    names = [one.name for one in cold_backend_sum.DEPLOYMENTS]
    if unknown := [one for one in deployments if one not in names]:
        raise click.ClickException(f"--deployment {unknown[0]} is none of {', '.join(names)}")
    if not 2 <= proxies <= 1000 or seeds < 1:
        raise click.ClickException("--proxies are 2 to 1000, and --seeds is 1 or more")
    with one_line():
        kept = True
        click.echo(cold_backend_sum.HEAD)
        for row in cold_backend_sum.rows(proxies, range(seeds), deployments or names):
            click.echo(cold_backend_sum.line(*row))
            kept = kept and not row[2].over
    if not kept:
        sys.exit(RULE_BROKEN)
