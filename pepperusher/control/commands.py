"""The command ctl: queries and controls a running proxy over its control socket, or a control machine."""

from __future__ import annotations

import asyncio
import getpass
import json
import time
from collections.abc import Awaitable, Callable
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from pepperusher.control import client
from pepperusher.control.client import RefusedError

if TYPE_CHECKING:
    from pepperusher.distribution.publisher import Rollout

T = TypeVar("T")
# Maximum number of proxy names shown for each state; the JSON output contains all.
MAX_NAMES_SHOWN = 20


@click.group()
@click.option("--socket", "path", envvar="PEPPERUSHER_CONTROL", help="The proxy's control socket.")
@click.option("--json", "as_json", is_flag=True, help="Print responses as JSON.")
@click.pass_context
def ctl(context: click.Context, path: str | None, as_json: bool) -> None:
    """Query or control a running proxy over its control socket; rollout and publish contact a control machine."""
    context.obj = (path, as_json)


def _send_command(context: click.Context, do: str, **parameters: Any) -> tuple[dict[str, Any], bool]:
    path, as_json = context.obj
    if path is None:
        raise click.UsageError("Missing option '--socket'.", context)
    try:
        response = client.ask(path, do, **parameters)
    except RefusedError as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(response))
    return response, as_json


def _format_time(us: int) -> str:
    return datetime.fromtimestamp(us / 1e6).isoformat(timespec="milliseconds")


def _format_change(change: dict[str, Any]) -> str:
    lines = [f"change {change['number']} ({change['name']}): {change['state']}"]
    lines += [f"  {_format_time(when)} {state} by {who}: {why}" for state, when, who, why in change["steps"]]
    return "\n".join(lines)


def _format_endpoints(source: dict[str, Any]) -> str:
    """Describes the source of the list of backends, since when it is used, and the age of discovery's last response."""
    response_age = source["word_us_ago"]
    return (
        f"{source['resource']}, discovery's version {'none' if source['version'] is None else source['version']}:"
        f" received from {source['by']} for {source['since_us_ago'] / 1e6:.1f} s,"
        f" last discovery response through control machines"
        f" {'none' if response_age is None else f'{response_age / 1e6:.1f} s old'};"
        f" {'watched' if source['watched'] else 'not watched'} here, {source['discovery_calls']} calls to discovery,"
        f" failed over to it {source['left']} times, failed back {source['returned']}"
    )


@ctl.command()
@click.pass_context
def status(context: click.Context) -> None:
    """Show the version in force, tickets in hand, limits and the open change."""
    response, as_json = _send_command(context, "status")
    if as_json:
        return
    click.echo(
        f"version {response['version']} ({response['digest']}), program {response['program']}, {response['in_hand']} tickets"
        f" in hand{', stopping' if response['stopping'] else ''}; versions with tickets {response['versions']}"
    )
    if response["open_change"]:
        since = response["since_change"]
        click.echo(_format_change(response["open_change"]))
        click.echo(f"  since: {since['done']} done, {since['bounced']} bounced, {since['scrapped']} scrapped")
    distribution = response["distribution"]
    if distribution is not None:
        confirmation_age = distribution["confirmed_us_ago"]
        if distribution["resource"] is not None:
            click.echo(
                f"{distribution['resource']} {distribution['version'] or 'not yet in force'}, confirmed"
                f" {'never' if confirmation_age is None else f'{confirmation_age / 1e6:.1f} s ago'}"
                f" by {', '.join(distribution['machines']) or 'no control machine'}"
                f"{'; refused ' + distribution['refused'] if distribution['refused'] else ''}"
            )
        if distribution.get("endpoints") is not None:
            click.echo(_format_endpoints(distribution["endpoints"]))
    for row in response.get("taken_out", ()):  # an earlier release does not tell them
        click.echo(
            f"{row['id']} is taken out by {row['by']} since {_format_time(row['since'])}"
            f" ({row['who'] or 'unknown'}: {row['why'] or 'none given'})"
        )
    click.echo(client.table(response["limits"]))


def _add_listing_command(name: str, key: str, help_text: str) -> None:
    @ctl.command(name, help=help_text)
    @click.pass_context
    def listing(context: click.Context) -> None:
        response, as_json = _send_command(context, name)
        if not as_json:
            click.echo(client.table(response[key]))


_add_listing_command("backends", "backends", "All known backends, with their breakers.")
_add_listing_command("breakers", "breakers", "The breakers only.")
_add_listing_command("tickets", "tickets", "Tickets in hand, oldest first.")


def _format_members(response: dict[str, Any]) -> str:
    reach, orders = response["reach"], response["orders"]
    reach_texts = {
        "majority": "reaches a majority",
        "part": "CUT OFF: reaches only a minority",
        "nobody": "CUT OFF: reaches no other member",
    }
    lines = [
        f"{reach_texts[reach['word']]}: {reach['here']} reachable, {reach['silent']} silent, {reach['gone']} gone,"
        f" {reach['never']} never seen; shares limits as one of {response['sharers']} (the settings say"
        f" {response['told']}); local health score {response['doubt']}",
        client.table(
            [
                {
                    key: row[key]
                    for key in ("name", "is", "found", "since_s", "answered_s", "orders", "list", "place", "at")
                }
                for row in response["members"]
            ]
        ),
    ]
    lines += [
        f"{kind} {key} {'is_set' if is_set else 'off'} since {_format_time(at)}" for kind, key, is_set, at in orders
    ]
    return "\n".join(lines)


@ctl.command()
@click.option("--watch", is_flag=True, help="Repeat once per second until interrupted.")
@click.pass_context
def members(context: click.Context, watch: bool) -> None:
    """Show the group's members as this proxy sees them, which are silent, and whether it is itself cut off."""
    while True:
        response, as_json = _send_command(context, "members")
        if not as_json:
            click.echo(("\f" if watch else "") + _format_members(response))
        if not watch:
            return
        time.sleep(1.0)


@ctl.command()
@click.argument("name")
@click.pass_context
def forget(context: click.Context, name: str) -> None:
    """Remove NAME, a silent or gone member that will not return, from this proxy's member list."""
    response, as_json = _send_command(context, "forget", id=name)
    if not as_json:
        click.echo(f"{response['forgotten']} is removed from this proxy's member list")


@ctl.command()
@click.pass_context
def history(context: click.Context) -> None:
    """Show the changes, each with its user, time and reason."""
    response, as_json = _send_command(context, "history")
    if not as_json:
        click.echo("\n".join(map(_format_change, response["changes"])) or "none")


def _send_change(context: click.Context, do: str, **parameters: Any) -> None:
    response, as_json = _send_command(context, do, who=getpass.getuser(), **parameters)
    if not as_json:
        click.echo(_format_change(response["change"]))


WHY = click.option("--why", default=None, help="The reason, which is kept in the history.")


@ctl.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
@WHY
@click.pass_context
def propose(context: click.Context, file: Path | None, why: str | None) -> None:
    """Propose FILE as the configuration, or the present content of the proxy's own file."""
    try:
        text = None if file is None else file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{file}: {getattr(error, 'strerror', None) or error}") from None
    _send_change(context, "propose", text=text, why=why)


@ctl.command()
@click.argument("number", required=False, type=int)
@WHY
@click.pass_context
def confirm(context: click.Context, number: int | None, why: str | None) -> None:
    """Confirm the open change, or the change with this NUMBER."""
    _send_change(context, "confirm", number=number, why=why)


@ctl.command()
@click.argument("number", required=False, type=int)
@WHY
@click.pass_context
def undo(context: click.Context, number: int | None, why: str | None) -> None:
    """Undo the open change, or withdraw the queued change with this NUMBER."""
    _send_change(context, "undo", number=number, why=why)


@ctl.command()
@click.argument("id")
@click.option("--lift", is_flag=True, help="Lift the drain again.")
@WHY
@click.pass_context
def drain(context: click.Context, id: str, lift: bool, why: str | None) -> None:
    """Drain the backend ID, so that it receives no new tickets; this is a change like any other."""
    _send_change(context, "drain", id=id, undo=lift, why=why)


MACHINE = click.option("--machine", required=True, metavar="HOST:PORT", help="A control machine.")
KEY_FILE = click.option("--key-file", required=True, help="The file with the shared key of the control machines.")
KIND = click.option("--kind", default="config", help="The kind of resource: config or endpoints.")


def _ask_control_machine(machine: str, key_file: str, ask: Callable[[tuple[str, int], bytes], Awaitable[T]]) -> T:
    """Runs a request to a control machine."""
    from pepperusher.distribution.operator_client import NoAnswerError
    from pepperusher.distribution.control_file import read_key
    from pepperusher.configuration.validation import address_of

    async def send_request() -> T:
        return await ask(address_of(machine), read_key(key_file))

    try:
        return asyncio.run(send_request())
    except (NoAnswerError, ValueError) as error:
        raise click.ClickException(str(error)) from None


@ctl.command()
@click.argument("name")
@click.argument("file", type=click.Path(path_type=Path))
@MACHINE
@KEY_FILE
@KIND
@click.option("--unchecked", is_flag=True, help="Skip the validation before FILE is sent.")
@click.pass_context
def publish(
    context: click.Context, name: str, file: Path, machine: str, key_file: str, kind: str, unchecked: bool
) -> None:
    """Publish FILE as the next version of NAME through the origin at HOST:PORT."""
    from pepperusher.changes import shared_section
    from pepperusher.distribution import operator_client
    from pepperusher.configuration import loader
    from pepperusher.configuration.loader import ConfigurationError

    try:
        body = file.read_bytes()
        if kind == "config" and not unchecked:
            shared_section.tables(body.decode())
            loader.parse(body.decode(), str(file))
    except OSError as error:
        raise click.ClickException(f"{file}: {error.strerror or error}") from None
    except ConfigurationError as error:
        raise click.ClickException("\n".join(map(str, error.faults))) from None
    except UnicodeDecodeError:
        raise click.ClickException(f"{file}: is not valid UTF-8") from None
    except shared_section.NotSharedError as error:
        raise click.ClickException(f"{file}: {error}") from None
    version = _ask_control_machine(
        machine, key_file, lambda at, key: operator_client.publish(at, key, kind, name, body)
    )
    if context.obj[1]:
        click.echo(json.dumps({"kind": kind, "name": name, "version": list(version)}))
    else:
        click.echo(f"{kind}/{name} {version} is written")


def _format_rollout(kind: str, name: str, progress: Rollout) -> str:
    lines = [
        f"{kind}/{name} {progress.version} ({progress.digest}): in force at {progress.in_force},"
        f" pending {len(progress.pending)},"
        f" refused {len(progress.refused)}, unreachable {len(progress.unreachable)}"
    ]
    if progress.halted:
        lines.append(f"  HALTED: {progress.halted}")
    if progress.silent:
        lines.append(f"  not counted, because they did not respond: {', '.join(progress.silent)}")
    lines += [f"  {proxy} refused: {why}" for proxy, why in list(progress.refused.items())[:MAX_NAMES_SHOWN]]
    for state, proxies in (("pending", progress.pending), ("unreachable", progress.unreachable)):
        if proxies:
            more = f" and {len(proxies) - MAX_NAMES_SHOWN} more" if len(proxies) > MAX_NAMES_SHOWN else ""
            lines.append(f"  {state}: {', '.join(proxies[:MAX_NAMES_SHOWN])}{more}")
    return "\n".join(lines)


@ctl.command()
@click.argument("name")
@MACHINE
@KEY_FILE
@KIND
@click.option(
    "--watch",
    is_flag=True,
    help="Repeat once per second until all reachable proxies have responded or the rollout is halted.",
)
@click.option("--json", "here_json", is_flag=True, help="Print JSON, a line for each repetition.")
@click.pass_context
def rollout(
    context: click.Context, name: str, machine: str, key_file: str, kind: str, watch: bool, here_json: bool
) -> None:
    """Show the rollout of the newest version of NAME: where it is in force, refused (and why) or pending."""
    from pepperusher.distribution import operator_client

    while True:
        progress = _ask_control_machine(machine, key_file, lambda at, key: operator_client.rollout(at, key, kind, name))
        if here_json or context.obj[1]:
            click.echo(
                json.dumps({"kind": kind, "name": name, **progress._asdict(), "version": list(progress.version)})
            )
        else:
            click.echo(_format_rollout(kind, name, progress))
        if not watch or progress.halted or not progress.pending:
            return
        time.sleep(1.0)
