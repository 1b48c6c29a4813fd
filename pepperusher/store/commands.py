"""The commands that look after a store on disk: check, dump, compact, repair."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click

from pepperusher.store import frames, recovery, salvage, tables
from pepperusher.store.disk import Disk, FolderLockedError
from pepperusher.store.log import Log, replay
from pepperusher.store.recovery import RefusedError

WORDS = {
    tables.SENT: "sent",
    tables.NEVER_RAN: "never ran",
    tables.BREAKER: "breaker",
    tables.LISTED: "listed",
    tables.UNLISTED: "unlisted",
}
LARGE = 16 * 1024 * 1024
# Far over what any proxy holds: the commands drop nothing that a proxy would keep.
MOST = 1 << 40
FOLDER = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))


@contextmanager
def one_line() -> Iterator[None]:
    try:
        yield
    except (RefusedError, FolderLockedError) as error:
        raise click.ClickException(str(error)) from None
    except OSError as error:
        raise click.ClickException(f"{error.filename or 'the folder'}: {error.strerror or error}") from None


def _files(folder: Path) -> dict[str, bytes]:
    """All of a folder, with a bar where that is much."""
    paths = [one for one in sorted(folder.iterdir()) if one.is_file() and one.name != "lock"]
    whole = sum(one.stat().st_size for one in paths)
    if whole < LARGE:
        return {one.name: one.read_bytes() for one in paths}
    files = {}
    with click.progressbar(length=whole, label="reading", file=click.get_text_stream("stderr")) as bar:
        for one in paths:
            files[one.name] = one.read_bytes()
            bar.update(len(files[one.name]))
    return files


def _recovered(folder: Path) -> recovery.Recovered:
    found = recovery.recover(_files(folder))
    if found is None:
        raise click.ClickException(f"{folder}: holds no store")
    return found


@click.group()
def store() -> None:
    """Look after a store on disk. Nothing but compact and repair writes, and repair to a folder of its own."""


@store.command()
@FOLDER
def check(folder: Path) -> None:
    """Say whether FOLDER holds a store that would be opened, and what is in it; ends with 1 where it would refuse."""
    with one_line():
        found = _recovered(folder)
        kinds = Counter(kind for kind, _ in replay(found))
        size = sum(one.stat().st_size for one in folder.iterdir())
        click.echo(
            f"{folder}: sound, {size} bytes, {len(found.state)} groups in {found.manifest.snapshot or 'no snapshot'},"
            f" {len(found.log)} in segments {found.manifest.first} to {found.number}; the last is {found.sequence}"
        )
        for kind, count in sorted(kinds.items()):
            click.echo(f"  {WORDS.get(kind, f'kind {kind}'):<10} {count}")
        if found.cut:
            click.echo(f"  {found.cut} bytes at the end were being written, and never acknowledged")
        for name in found.stale:
            click.echo(f"  {name} is left over, and goes when the store is opened")


@store.command()
@FOLDER
def dump(folder: Path) -> None:
    """Print every record of FOLDER, a JSON line each, in their order."""
    with one_line():
        for kind, body in replay(_recovered(folder)):
            words = tables.DECODE(body) if kind in WORDS else body.hex()
            click.echo(json.dumps({"kind": WORDS.get(kind, kind), "record": words}))


def _tables(records: Iterator[tuple[int, bytes]]) -> tables.Tables:
    made = tables.Tables(MOST, MOST, MOST)
    for kind, body in records:
        made.take(kind, body)
    return made


@store.command()
@FOLDER
def compact(folder: Path) -> None:
    """Put what FOLDER holds now into one snapshot. No proxy may have it open."""
    with one_line():
        before = sum(one.stat().st_size for one in folder.iterdir())
        log = Log(Disk(folder))
        found = log.open()
        held = _tables(replay(found))
        if held.unknown:
            log.close()
            raise click.ClickException(f"{folder}: {held.unknown} records are of a later program, and would be lost")
        sequence = log.rotate()
        name = log.write_snapshot(sequence, held.state(time.time_ns() // 1000))
        log.take_snapshot(name, sequence, log.number)
        log.close()
        click.echo(f"{folder}: {before} bytes before, {sum(one.stat().st_size for one in folder.iterdir())} now")


@store.command()
@FOLDER
@click.option("--to", type=click.Path(path_type=Path), help="A new folder for it; FOLDER.repaired if left out.")
def repair(folder: Path, to: Path | None) -> None:
    """Write what can be kept of FOLDER to a new folder, and say what is dropped. FOLDER stays as it is."""
    with one_line():
        target = to or folder.with_name(folder.name + ".repaired")
        if target.exists():
            raise click.ClickException(f"{target}: is there already")
        kept = salvage.salvage(_files(folder))
        log = Log(Disk(target))
        log.open()
        _write(log, kept)
        log.close()
        click.echo(f"{target}: {len(kept.groups)} groups kept")
        for line in kept.dropped:
            click.echo(f"  dropped: {line}")
        if not kept.dropped:
            click.echo("  nothing dropped: the store was sound")


def _write(log: Log, kept: salvage.Salvaged) -> None:
    """Group by group, with a bar where they are many."""
    size = sum(len(one.body) for one in kept.groups)
    if size < LARGE:
        for one in kept.groups:
            log.append(frames.unpacked(one.body))
        return
    with click.progressbar(length=size, label="writing", file=click.get_text_stream("stderr")) as bar:
        for one in kept.groups:
            log.append(frames.unpacked(one.body))
            bar.update(len(one.body))
