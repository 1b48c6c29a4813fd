"""The commands that measure slopes and project them to the target size."""

from __future__ import annotations

import os
import platform
import subprocess
import sys
import time
from pathlib import Path

import click
import msgspec

from pepperusher.capacity import latency, page, slopes as measurements
from pepperusher.capacity.fit import MIN_SIZES
from pepperusher.capacity.measures import Book, Measured, merge_books, select_measures, take_measurement
from pepperusher.capacity.reference_speed import reference_loop_us
from pepperusher.capacity.processes import ProcessError
from pepperusher.capacity.projection import Projection


def _commit() -> str:
    """Returns the commit of the checkout that this program runs from, with a plus if there are uncommitted changes, or
    an empty string outside a checkout.
    """
    here = Path(__file__).parent
    try:
        head = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"], cwd=here, capture_output=True, text=True, check=True
        ).stdout.strip()
        changed = subprocess.run(
            ["git", "status", "--porcelain", "--untracked-files=no", "."],
            cwd=here,
            capture_output=True,
            text=True,
            check=True,
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return ""
    return head + "+" * bool(changed)


def _machine() -> str:
    """Describes this machine."""
    return f"{os.cpu_count()} cores, Python {platform.python_version()}"


def read(path: Path) -> Book:
    """Reads the results in a file. Raises click.ClickException."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Book)
    except (OSError, msgspec.MsgspecError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def write(path: Path, book: Book) -> None:
    """Writes the results to a file."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(book), indent=1) + b"\n")


def _load() -> float:
    """Returns the load average of the last minute."""
    return os.getloadavg()[0]


def _sizes(_: click.Context, __: click.Parameter, text: str | None) -> list[int] | None:
    """Parses the option --sizes."""
    if text is None:
        return None
    sizes = [int(part) for part in text.split(",") if part.isdecimal()]
    if len(sizes) != len(text.split(",")) or len(sizes) <= MIN_SIZES or sorted({*sizes, 0}) != [0, *sizes]:
        raise click.BadParameter(f"{text!r} is not {MIN_SIZES + 1} or more whole numbers in increasing order")
    return sizes


def _say(line: str) -> None:
    click.echo(f"{time.strftime('%H:%M:%S')} {line}", err=True)


@click.command()
@click.option("--only", "names", multiple=True, help="Measure only what has this prefix; can be given several times.")
@click.option(
    "--sizes",
    callback=_sizes,
    help="Sizes to measure instead of the defaults: six or more, separated by commas; the last one is held out.",
)
@click.option("--chain", is_flag=True, help="Also measure a chain of 30 proxies (31 processes, some minutes).")
@click.option(
    "--listed",
    multiple=True,
    type=click.IntRange(1),
    help="Backends on the lists along the chain; can be given several times.",
)
@click.option("--release", is_flag=True, help="With --listed: change the lists as a release does.")
@click.option("--group", default=measurements.CHAIN_GROUP_SIZE, show_default=True, help="Group size along the chain.")
@click.option("--rounds", default=latency.ROUNDS, show_default=True, help="Rounds, each without and then with proxies.")
@click.option(
    "--lasts",
    default=latency.CHAIN_ROUND_S,
    show_default=True,
    help="Seconds of a round without and of one with proxies.",
)
@click.option("--depth", default=measurements.CHAIN_DEPTH, show_default=True, help="Proxies in the chain.")
@click.option(
    "--rate",
    default=measurements.CHAIN_CALLS_A_SECOND,
    show_default=True,
    help="Calls a second along the chain. With a value other than the default only a list of 24 is measured.",
)
@click.option("--attempts", default=3, show_default=True, help="Maximum attempts of each proxy in the chain.")
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write the results to this file; results already in it are kept.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
@click.option("--list", "listing", is_flag=True, help="List the measurements without running them.")
def slopes(names: tuple[str, ...], sizes: list[int] | None, chain: bool, listed: tuple[int, ...],
    release: bool, group: int, rounds: int, lasts: float, depth: int, rate: float, attempts: int, seed: int,
    out: Path | None, as_json: bool, listing: bool) -> None:  # fmt: skip
    """Measure how each cost grows with its size.

    Each cost is measured at five sizes or more and fitted; the fit is checked at a further size.
    """
    selected = select_measures(measurements.measures(), names)
    if sizes is not None:
        selected = [measure._replace(sizes=tuple(sizes[:-1]), held_out=sizes[-1]) for measure in selected]
    if listing:
        for measure in selected:
            click.echo(
                f"{measure.name}: {measure.what} ({measure.unit} by {measure.per}; {', '.join(map(str, measure.sizes))}; {measure.held_out})"
            )
        return
    with_singles = not names or any("attempts".startswith(name) or name.startswith("attempts") for name in names)
    if not selected and not with_singles and not chain:
        raise click.ClickException(f"no measurement has the prefix {', '.join(names)}; see --list")
    command = " ".join(
        [
            "pepperusher capacity slopes",
            *(f"--only {name}" for name in names),
            *(["--chain"] * chain),
            *([f"--depth {depth} --rate {rate:g} --attempts {attempts}"] * chain),
            *(f"--listed {size}" for size in listed if chain),
            *(["--release"] * (chain and release)),
            *([f"--group {group}"] * (chain and group != measurements.CHAIN_GROUP_SIZE)),
            *([f"--rounds {rounds} --lasts {lasts:g}"] * chain),
            f"--seed {seed}",
        ]
    )
    book = Book(commit=_commit(), command=command, machine=_machine(), cores=os.cpu_count() or 1)

    def save() -> None:
        if out is not None:
            write(out, merge_books(read(out), book) if out.exists() else book)

    for number, measure in enumerate(selected, 1):
        _say(f"[{number} of {len(selected)}] {measure.name}")
        try:
            repeat_command = f"pepperusher capacity slopes --only {measure.name} --seed {seed}"
            if sizes is not None:
                repeat_command += f" --sizes {','.join(map(str, sizes))}"
            book.measured.append(
                take_measurement(measure, seed, _load, _say, book.commit, repeat_command, reference_loop_us)
            )
        except (ProcessError, TimeoutError) as error:
            click.echo(f"{measure.name}: not measured: {error}", err=True)
            continue
        save()
    if with_singles:
        book.singles += [
            msgspec.structs.replace(single, commit=book.commit) for single in measurements.singles(seed, _say)
        ]
        save()
    if chain:
        is_default_chain = (depth, rate, attempts) == (measurements.CHAIN_DEPTH, measurements.CHAIN_CALLS_A_SECOND, 3)
        list_loads = measurements.CHAIN_LISTS if is_default_chain else measurements.CHAIN_LISTS[:1]
        if listed:
            list_loads = tuple((size, measurements.RELEASE_CHANGES_A_SECOND * release) for size in listed)
        for single in measurements.chain(seed, _say, depth, rate, list_loads, attempts, group, rounds, lasts):
            book.singles.append(
                msgspec.structs.replace(single, commit=book.commit, command=command, load=round(_load(), 1))
            )
            save()
    if as_json:
        sys.stdout.buffer.write(msgspec.json.encode(book) + b"\n")
        return
    for measured in book.measured:
        click.echo(summary_line(measured))
    for single in book.singles:
        click.echo(f"{single.name}: {single.value:.6g} {single.unit}: {single.what}")


def summary_line(measured: Measured) -> str:
    """Returns a line that summarizes a measured slope."""
    fit, check = measured.fit(), measured.check()
    return (
        f"{measured.name}: {measured.what}: {fit.base:.4g} + {fit.slope:.4g} ({fit.low:.4g} to {fit.high:.4g})"
        f" {measured.unit} x {fit.curve} of {measured.per}s;"
        f" mean residual {fit.residual:.1%}; at {check.size:g}, not fitted, {check.predicted:.4g} predicted,"
        f" {check.measured:.4g} measured"
        f" ({check.error:+.1%})"
    )


@click.command()
@click.option(
    "--slopes",
    "path",
    type=click.Path(path_type=Path, dir_okay=False),
    default=Path("docs/capacity.json"),
    show_default=True,
    help="Results written by `capacity slopes --out`.",
)
@click.option(
    "--page",
    "out",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write the page to this file; its section between the `after` marks is kept.",
)
@click.option("--json", "as_json", is_flag=True, help="Print the projection as JSON.")
def project(path: Path, out: Path | None, as_json: bool) -> None:
    """Project measured slopes to the target size and compare them with budgets, worst first.

    Prints the rows over budget. --page writes the whole page, --json prints all rows.
    """
    book = read(path)
    projection = Projection(book)
    if out is not None:
        after = page.after_section(out.read_text()) if out.exists() else page.NOT_MEASURED_YET
        out.write_text(page.render(projection, book, after))
    if as_json:
        sys.stdout.buffer.write(msgspec.json.encode(page.as_json(projection, book)) + b"\n")
        return
    for row in projection.over():
        click.echo(
            f"{row.worst:8.1f} times: {row.role}, {row.when}: {row.what}:"
            f" {page.format_value(row.mild, row.unit)} mild,"
            f" {page.format_value(row.harsh, row.unit)} harsh; {row.mechanism}"
        )
    first = projection.first_missing()
    click.echo(f"furthest over its budget without a mechanism: {first.what if first else 'none'}")
