"""The commands that measure slopes and project them on a target."""

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
from pepperusher.capacity.fit import LEAST_SIZES
from pepperusher.capacity.measures import Book, Measured, merged, only, taken
from pepperusher.capacity.reference_speed import reference
from pepperusher.capacity.processes import ProcessError
from pepperusher.capacity.projection import Projection


def _commit() -> str:
    """Of the checkout that this program runs from, with a plus where it was changed since; empty where it is
    none.
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
    return f"{os.cpu_count()} cores, Python {platform.python_version()}"


def read(path: Path) -> Book:
    """Raises click.ClickException."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Book)
    except (OSError, msgspec.MsgspecError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def write(path: Path, book: Book) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(book), indent=1) + b"\n")


def _load() -> float:
    return os.getloadavg()[0]


def _sizes(_: click.Context, __: click.Parameter, given: str | None) -> list[int] | None:
    if given is None:
        return None
    found = [int(one) for one in given.split(",") if one.isdecimal()]
    if len(found) != len(given.split(",")) or len(found) <= LEAST_SIZES or sorted({*found, 0}) != [0, *found]:
        raise click.BadParameter(f"{given!r} is not {LEAST_SIZES + 1} or more whole numbers, each over the one before")
    return found


def _say(line: str) -> None:
    click.echo(f"{time.strftime('%H:%M:%S')} {line}", err=True)


@click.command()
@click.option("--only", "names", multiple=True, help="Measure what begins with this; several times for several.")
@click.option(
    "--sizes", callback=_sizes, help="In place of each one's own: six or more by commas, the last one held out."
)
@click.option("--chain", is_flag=True, help="Also a chain of 30 whole proxies (31 processes, some minutes).")
@click.option(
    "--listed",
    multiple=True,
    type=click.IntRange(1),
    help="Backends listed along the chain; several times for several.",
)
@click.option("--release", is_flag=True, help="A release's changes of the list, with --listed.")
@click.option("--group", default=measurements.CHAIN_GROUP, show_default=True, help="Group size along the chain.")
@click.option("--rounds", default=latency.ROUNDS, show_default=True, help="Without and with proxies in turn.")
@click.option("--lasts", default=latency.CHAIN_LASTS, show_default=True, help="Seconds of a round, each way.")
@click.option("--depth", default=measurements.DEPTH, show_default=True, help="Of the chain.")
@click.option(
    "--rate",
    default=measurements.CHAIN_RATE,
    show_default=True,
    help="Calls a second along the chain. Other than usual: 24 listed alone.",
)
@click.option("--attempts", default=3, show_default=True, help="That each proxy of the chain makes.")
@click.option("--seed", default=1, show_default=True, help="Of everything that hangs on chance.")
@click.option(
    "--out", type=click.Path(path_type=Path, dir_okay=False), help="Keep the figures here, beside those that are there."
)
@click.option("--json", "as_json", is_flag=True, help="Print the figures as JSON.")
@click.option("--list", "listing", is_flag=True, help="Print what can be measured, and measure nothing.")
def slopes(names: tuple[str, ...], sizes: list[int] | None, chain: bool, listed: tuple[int, ...],
    release: bool, group: int, rounds: int, lasts: float, depth: int, rate: float, attempts: int, seed: int,
    out: Path | None, as_json: bool, listing: bool) -> None:  # fmt: skip
    """Measure how each cost grows with its size.

    Each is measured at five sizes or more, fitted, and checked at a size that was not fitted.
    """
    wanted = only(measurements.measures(), names)
    if sizes is not None:
        wanted = [one._replace(sizes=tuple(sizes[:-1]), held_out=sizes[-1]) for one in wanted]
    if listing:
        for one in wanted:
            click.echo(
                f"{one.name}: {one.what} ({one.unit} by {one.per}; {', '.join(map(str, one.sizes))}; {one.held_out})"
            )
        return
    with_singles = not names or any("attempts".startswith(name) or name.startswith("attempts") for name in names)
    if not wanted and not with_singles and not chain:
        raise click.ClickException(f"nothing is measured under {', '.join(names)}; see --list")
    command = " ".join(
        [
            "pepperusher capacity slopes",
            *(f"--only {name}" for name in names),
            *(["--chain"] * chain),
            *([f"--depth {depth} --rate {rate:g} --attempts {attempts}"] * chain),
            *(f"--listed {one}" for one in listed if chain),
            *(["--release"] * (chain and release)),
            *([f"--group {group}"] * (chain and group != measurements.CHAIN_GROUP)),
            *([f"--rounds {rounds} --lasts {lasts:g}"] * chain),
            f"--seed {seed}",
        ]
    )
    book = Book(commit=_commit(), command=command, machine=_machine(), cores=os.cpu_count() or 1)

    def keep() -> None:
        if out is not None:
            write(out, merged(read(out), book) if out.exists() else book)

    for place, one in enumerate(wanted, 1):
        _say(f"[{place} of {len(wanted)}] {one.name}")
        try:
            again = f"pepperusher capacity slopes --only {one.name} --seed {seed}"
            if sizes is not None:
                again += f" --sizes {','.join(map(str, sizes))}"
            book.measured.append(taken(one, seed, _load, _say, book.commit, again, reference))
        except (ProcessError, TimeoutError) as error:
            click.echo(f"{one.name}: not measured: {error}", err=True)
            continue
        keep()
    if with_singles:
        book.singles += [msgspec.structs.replace(one, commit=book.commit) for one in measurements.singles(seed, _say)]
        keep()
    if chain:
        usual = (depth, rate, attempts) == (measurements.DEPTH, measurements.CHAIN_RATE, 3)
        stands = measurements.STANDS if usual else measurements.STANDS[:1]
        if listed:
            stands = tuple((one, measurements.RELEASE * release) for one in listed)
        for single in measurements.chain(seed, _say, depth, rate, stands, attempts, group, rounds, lasts):
            book.singles.append(
                msgspec.structs.replace(single, commit=book.commit, command=command, load=round(_load(), 1))
            )
            keep()
    if as_json:
        sys.stdout.buffer.write(msgspec.json.encode(book) + b"\n")
        return
    for measured in book.measured:
        click.echo(spoken(measured))
    for single in book.singles:
        click.echo(f"{single.name}: {single.value:.6g} {single.unit}: {single.what}")


def spoken(one: Measured) -> str:
    fit, check = one.fit(), one.check()
    return (
        f"{one.name}: {one.what}: {fit.base:.4g} + {fit.slope:.4g} ({fit.low:.4g} to {fit.high:.4g})"
        f" {one.unit} x {fit.curve} of {one.per}s;"
        f" mean residual {fit.residual:.1%}; at {check.size:g}, not fitted, {check.said:.4g} said,"
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
    help="Figures that `capacity slopes --out` kept.",
)
@click.option(
    "--page",
    "out",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write the page here; what stands there between the marks of the after-figures is kept.",
)
@click.option("--json", "as_json", is_flag=True, help="Print it as JSON.")
def project(path: Path, out: Path | None, as_json: bool) -> None:
    """Hold measured slopes against the target, worst first.

    Prints what is over its budget; the whole page with --page, and all rows with --json.
    """
    book = read(path)
    made = Projection(book)
    if out is not None:
        after = page.after_of(out.read_text()) if out.exists() else page.NOTHING_YET
        out.write_text(page.printed(made, book, after))
    if as_json:
        sys.stdout.buffer.write(msgspec.json.encode(page.as_json(made, book)) + b"\n")
        return
    for row in made.over():
        click.echo(
            f"{row.worst:8.1f} times: {row.role}, {row.when}: {row.what}:"
            f" {page.figure(row.mild, row.unit)} mild,"
            f" {page.figure(row.harsh, row.unit)} harsh; {row.mechanism}"
        )
    first = made.first_missing()
    click.echo(f"furthest over its budget and carried by no mechanism: {first.what if first else 'none'}")
