"""The commands for maintenance of a store on disk: check, dump, compact, repair."""

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

KIND_NAMES = {
    tables.SENT: "sent",
    tables.NEVER_RAN: "never ran",
    tables.BREAKER: "breaker",
    tables.LISTED: "listed",
    tables.UNLISTED: "unlisted",
}
# From this size on the commands show a progress bar.
PROGRESS_BAR_MIN_BYTES = 16 * 1024 * 1024
# Far above the size of any proxy's tables, so that the commands don't evict entries that a proxy would keep.
UNLIMITED = 1 << 40
FOLDER_ARGUMENT = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))


@contextmanager
def report_errors() -> Iterator[None]:
    """Reports errors of the store as one line, without a traceback."""
    try:
        yield
    except (RefusedError, FolderLockedError) as error:
        raise click.ClickException(str(error)) from None
    except OSError as error:
        raise click.ClickException(f"{error.filename or 'the folder'}: {error.strerror or error}") from None


def _read_files(folder: Path) -> dict[str, bytes]:
    """Reads all files of a folder, with a progress bar if they are large."""
    paths = [path for path in sorted(folder.iterdir()) if path.is_file() and path.name != "lock"]
    total_bytes = sum(path.stat().st_size for path in paths)
    if total_bytes < PROGRESS_BAR_MIN_BYTES:
        return {path.name: path.read_bytes() for path in paths}
    files = {}
    with click.progressbar(length=total_bytes, label="reading", file=click.get_text_stream("stderr")) as bar:
        for path in paths:
            files[path.name] = path.read_bytes()
            bar.update(len(files[path.name]))
    return files


def _recover_store(folder: Path) -> recovery.Recovered:
    recovered = recovery.recover(_read_files(folder))
    if recovered is None:
        raise click.ClickException(f"{folder}: contains no store")
    return recovered


@click.group()
def store() -> None:
    """Maintain a store on disk. Only compact and repair write, and repair writes to a separate folder."""


@store.command()
@FOLDER_ARGUMENT
def check(folder: Path) -> None:
    """Check whether the store in FOLDER can be opened and summarize it; exits with 1 if it can't."""
    with report_errors():
        recovered = _recover_store(folder)
        kinds = Counter(kind for kind, _ in replay(recovered))
        size = sum(path.stat().st_size for path in folder.iterdir())
        click.echo(
            f"{folder}: valid, {size} bytes, {len(recovered.state)} groups in"
            f" {recovered.manifest.snapshot or 'no snapshot'}, {len(recovered.log)} in segments"
            f" {recovered.manifest.first_segment} to {recovered.segment_number}; the last group is {recovered.sequence}"
        )
        for kind, count in sorted(kinds.items()):
            click.echo(f"  {KIND_NAMES.get(kind, f'kind {kind}'):<10} {count}")
        if recovered.truncated_bytes:
            click.echo(
                f"  {recovered.truncated_bytes} bytes at the end are an interrupted write that was never acknowledged"
            )
        for name in recovered.stale:
            click.echo(f"  {name} is unused, and is removed when the store is opened")


@store.command()
@FOLDER_ARGUMENT
def dump(folder: Path) -> None:
    """Print all records of the store in FOLDER in order, each as a line of JSON."""
    with report_errors():
        for kind, body in replay(_recover_store(folder)):
            record = tables.DECODE(body) if kind in KIND_NAMES else body.hex()
            click.echo(json.dumps({"kind": KIND_NAMES.get(kind, kind), "record": record}))


def _rebuild_tables(records: Iterator[tuple[int, bytes]]) -> tables.Tables:
    store_tables = tables.Tables(UNLIMITED, UNLIMITED, UNLIMITED)
    for kind, body in records:
        store_tables.take(kind, body)
    return store_tables


@store.command()
@FOLDER_ARGUMENT
def compact(folder: Path) -> None:
    """Compact the store in FOLDER into one snapshot. No proxy may have it open."""
    with report_errors():
        bytes_before = sum(path.stat().st_size for path in folder.iterdir())
        log = Log(Disk(folder))
        recovered = log.open()
        store_tables = _rebuild_tables(replay(recovered))
        if store_tables.unknown:
            log.close()
            raise click.ClickException(
                f"{folder}: {store_tables.unknown} records are from a later version of the program, and would be lost"
            )
        sequence = log.rotate()
        name = log.write_snapshot(sequence, store_tables.state(time.time_ns() // 1000))
        log.commit_snapshot(name, sequence, log.number)
        log.close()
        click.echo(
            f"{folder}: {bytes_before} bytes before, {sum(path.stat().st_size for path in folder.iterdir())} now"
        )


@store.command()
@FOLDER_ARGUMENT
@click.option("--to", type=click.Path(path_type=Path), help="The new folder; FOLDER.repaired by default.")
def repair(folder: Path, to: Path | None) -> None:
    """Write the recoverable records of FOLDER to a new folder and list what is dropped. FOLDER is not changed."""
    with report_errors():
        target = to or folder.with_name(folder.name + ".repaired")
        if target.exists():
            raise click.ClickException(f"{target}: already exists")
        salvaged = salvage.salvage(_read_files(folder))
        log = Log(Disk(target))
        log.open()
        _append_groups(log, salvaged)
        log.close()
        click.echo(f"{target}: {len(salvaged.groups)} groups kept")
        for line in salvaged.dropped:
            click.echo(f"  dropped: {line}")
        if not salvaged.dropped:
            click.echo("  nothing dropped: the store was valid")


def _append_groups(log: Log, salvaged: salvage.Salvaged) -> None:
    """Appends the groups one by one, with a progress bar if they are large."""
    size = sum(len(group.body) for group in salvaged.groups)
    if size < PROGRESS_BAR_MIN_BYTES:
        for group in salvaged.groups:
            log.append(frames.decode_records(group.body))
        return
    with click.progressbar(length=size, label="writing", file=click.get_text_stream("stderr")) as bar:
        for group in salvaged.groups:
            log.append(frames.decode_records(group.body))
            bar.update(len(group.body))
