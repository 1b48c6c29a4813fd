"""The command `control`: runs a control machine, checks its file and prints its counters."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
from pathlib import Path

import click

from pepperusher.distribution import operator_client, control_file
from pepperusher.distribution.server import Server, ServerSettings, required_descriptors
from pepperusher.net.log import Log
from pepperusher.configuration.loader import ConfigurationError
from pepperusher.configuration.validation import address_of
from pepperusher.store.disk import Disk


def _read(path: str) -> control_file.LoadedControlFile:
    """Reads the file, or ends the command with its errors."""
    try:
        return control_file.read(path)
    except ConfigurationError as error:
        raise click.ClickException("\n".join(map(str, error.faults))) from None


@click.group(invoke_without_command=True)
@click.option("--config", "path", help="The control machine's own file, TOML.")
@click.pass_context
def control(context: click.Context, path: str | None) -> None:
    """Serve as a control machine until SIGTERM or SIGINT: send configuration and facts to the proxies that
    subscribe.
    """
    if context.invoked_subcommand is not None:
        return
    if path is None:
        raise click.UsageError("Missing option '--config'.")
    loaded = _read(path)
    try:
        asyncio.run(_serve(loaded))
    except OSError as error:
        raise click.ClickException(f"{loaded.file.listen}: {error.strerror or error}") from None


@control.command()
@click.argument("path", metavar="FILE")
def check(path: str) -> None:
    """Read FILE as `control` would and print what it configures, or all its errors, one a line."""
    file = _read(path).file
    role = f"origin with epoch {file.epoch}" if file.origin else "relay"
    facts = f", owner of the facts of {file.region}" if file.owns_facts else ""
    if file.relay is not None:
        facts += f", relays the list at {file.relay.discovery} as endpoints/{file.relay.endpoints}"
    click.echo(
        f"{file.name} in {file.region or 'no region'} listens at {file.listen}: {role}{facts},"
        f" {len(file.peers)} other control machines, at most {file.subscribers} proxies"
    )


@control.command()
@click.option("--machine", required=True, metavar="HOST:PORT", help="A control machine.")
@click.option("--key-file", required=True, help="The file with the key of control machines.")
def figures(machine: str, key_file: str) -> None:
    """Print the counters of a running control machine, by name, as JSON."""
    try:
        counters = asyncio.run(operator_client.fetch_counters(address_of(machine), control_file.read_key(key_file)))
    except (operator_client.NoAnswerError, ValueError) as error:
        raise click.ClickException(str(error)) from None
    click.echo(json.dumps(counters, indent=1))


def server_settings(file: control_file.ControlFile) -> ServerSettings:
    """The server's settings from the control machine's file."""
    return ServerSettings(
        file.name, file.region, file.zone, address_of(file.listen), [address_of(peer) for peer in file.peers],
        file.epoch if file.origin else None, file.owns_facts, file.subscribers, file.local,
        None if file.relay is None else (address_of(file.relay.discovery), file.relay.endpoints),
    )  # fmt: skip


def raise_descriptor_limit(wanted: int) -> int:
    """Raises the soft limit of file descriptors to `wanted`, or to the hard limit if that is lower. Returns
    the limit.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return wanted
    new_limit = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (new_limit, hard))
    return new_limit


async def _serve(loaded: control_file.LoadedControlFile) -> None:
    """Runs a control machine until a signal asks it to stop."""
    file = loaded.file
    log = Log(file.name)
    if file.log != "plain":
        from pepperusher.net.structured_log import formatter_of

        log.set_formatter(formatter_of(file.log))
    settings = server_settings(file)
    wanted = required_descriptors(settings)
    if (limit := raise_descriptor_limit(wanted)) < wanted:
        log.write_event("fewer descriptors than its subscribers may need", may=limit, wanted=wanted)
    server = Server(settings, loaded.key, Disk(Path(file.state_dir)), log.write_event, int.from_bytes(os.urandom(8)))
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stop_requested.set)
    port = await server.start()
    click.echo(json.dumps({"event": "listening", "name": file.name, "address": file.listen, "port": port}))
    try:
        await stop_requested.wait()
    finally:
        await server.stop()
