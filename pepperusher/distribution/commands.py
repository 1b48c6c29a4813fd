"""The command control: a control machine's role, and its check."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
from pathlib import Path

import click

from pepperusher.distribution import operator_client, control_file
from pepperusher.distribution.server import Server, ServerSettings, descriptors_of
from pepperusher.net.log import Log
from pepperusher.configuration.loader import ConfigurationError
from pepperusher.configuration.validation import address_of
from pepperusher.store.disk import Disk


def _read(path: str) -> control_file.Read:
    try:
        return control_file.read(path)
    except ConfigurationError as error:
        raise click.ClickException("\n".join(map(str, error.faults))) from None


@click.group(invoke_without_command=True)
@click.option("--config", "path", help="The control machine's own file, TOML.")
@click.pass_context
def control(context: click.Context, path: str | None) -> None:
    """Serve as a control machine until SIGTERM or SIGINT: configuration and facts to every proxy that asks."""
    if context.invoked_subcommand is not None:
        return
    if path is None:
        raise click.UsageError("Missing option '--config'.")
    read = _read(path)
    try:
        asyncio.run(_serve(read))
    except OSError as error:
        raise click.ClickException(f"{read.file.listen}: {error.strerror or error}") from None


@control.command()
@click.argument("path", metavar="FILE")
def check(path: str) -> None:
    """Read FILE as `control` would: what it holds, or all that is wrong, a line each."""
    file = _read(path).file
    does = f"origin with epoch {file.epoch}" if file.origin else "relay"
    facts = f", owner of the facts of {file.region}" if file.owns_facts else ""
    if file.relay is not None:
        facts += f", hands on the list at {file.relay.discovery} as endpoints/{file.relay.endpoints}"
    click.echo(
        f"{file.name} in {file.region or 'no region'} listens at {file.listen}: {does}{facts},"
        f" {len(file.peers)} other control machines, {file.subscribers} proxies at the most"
    )


@control.command()
@click.option("--machine", required=True, metavar="HOST:PORT", help="A control machine.")
@click.option("--key-file", required=True, help="The file with the key of control machines.")
def figures(machine: str, key_file: str) -> None:
    """A running control machine's counts, by name, as JSON."""
    try:
        told = asyncio.run(operator_client.fetch_counters(address_of(machine), control_file.read_key(key_file)))
    except (operator_client.NoAnswerError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps(told, indent=1))


def terms_of(file: control_file.ControlFile) -> ServerSettings:
    return ServerSettings(
        file.name, file.region, file.zone, address_of(file.listen), [address_of(one) for one in file.peers],
        file.epoch if file.origin else None, file.owns_facts, file.subscribers, file.local,
        None if file.relay is None else (address_of(file.relay.discovery), file.relay.endpoints),
    )  # fmt: skip


def raised(wanted: int) -> int:
    """How many descriptors this process may hold; its soft limit is raised to what is wanted, or to the hard one."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    most = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))
    return most


async def _serve(read: control_file.Read) -> None:
    file = read.file
    log = Log(file.name)
    if file.log != "plain":
        from pepperusher.net.structured_log import form_of

        log.take_form(form_of(file.log))
    terms = terms_of(file)
    wanted = descriptors_of(terms)
    if (may := raised(wanted)) < wanted:
        log.tell("fewer descriptors than its subscribers may need", may=may, wanted=wanted)
    server = Server(terms, read.key, Disk(Path(file.state_dir)), log.tell, int.from_bytes(os.urandom(8)))
    ended = asyncio.Event()
    for one in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(one, ended.set)
    port = await server.start()
    click.echo(json.dumps({"event": "listening", "name": file.name, "address": file.listen, "port": port}))
    try:
        await ended.wait()
    finally:
        await server.stop()
