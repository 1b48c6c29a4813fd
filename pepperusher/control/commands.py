"""The command ctl: asks a running proxy over its control socket."""

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
# Names of proxies that people are shown of each kind; JSON has all.
SHOWN = 20


@click.group()
@click.option("--socket", "path", envvar="PEPPERUSHER_CONTROL", help="The proxy's control socket.")
@click.option("--json", "as_json", is_flag=True, help="Answers as JSON.")
@click.pass_context
def ctl(context: click.Context, path: str | None, as_json: bool) -> None:
    """Ask a running proxy, or change it, over its control socket; rollout and publish ask a control machine."""
    context.obj = (path, as_json)


def _ask(context: click.Context, do: str, **said: Any) -> tuple[dict[str, Any], bool]:
    path, as_json = context.obj
    if path is None:
        raise click.UsageError("Missing option '--socket'.", context)
    try:
        answer = client.ask(path, do, **said)
    except RefusedError as error:
        raise click.ClickException(str(error)) from None
    if as_json:
        click.echo(json.dumps(answer))
    return answer, as_json


def _time(us: int) -> str:
    return datetime.fromtimestamp(us / 1e6).isoformat(timespec="milliseconds")


def _said_change(change: dict[str, Any]) -> str:
    lines = [f"change {change['number']} ({change['name']}): {change['state']}"]
    lines += [f"  {_time(when)} {state} by {who}: {why}" for state, when, who, why in change["steps"]]
    return "\n".join(lines)


def _said_endpoints(told: dict[str, Any]) -> str:
    """By whom the list of backends is told, since when, and how old that word is."""
    age = told["word_us_ago"]
    return (
        f"{told['resource']}, discovery's version {'none' if told['version'] is None else told['version']}: told by"
        f" {told['by']} for {told['since_us_ago'] / 1e6:.1f} s, discovery's word by control machines"
        f" {'none' if age is None else f'{age / 1e6:.1f} s old'}; {'watched' if told['watched'] else 'not watched'} here,"
        f" {told['discovery_calls']} calls to discovery, left for it {told['left']} times, back {told['returned']}"
    )


@ctl.command()
@click.pass_context
def status(context: click.Context) -> None:
    """What stands: version, tickets in hand, limits, the open change."""
    answer, as_json = _ask(context, "status")
    if as_json:
        return
    click.echo(
        f"version {answer['version']} ({answer['digest']}), program {answer['program']}, {answer['in_hand']} tickets"
        f" in hand{', stopping' if answer['stopping'] else ''}; versions with tickets {answer['versions']}"
    )
    if answer["open_change"]:
        since = answer["since_change"]
        click.echo(_said_change(answer["open_change"]))
        click.echo(f"  since: {since['done']} done, {since['bounced']} bounced, {since['scrapped']} scrapped")
    shared = answer["distribution"]
    if shared is not None:
        age = shared["confirmed_us_ago"]
        if shared["resource"] is not None:
            click.echo(
                f"{shared['resource']} {shared['version'] or 'not yet in force'}, confirmed"
                f" {'never' if age is None else f'{age / 1e6:.1f} s ago'} by {', '.join(shared['machines']) or 'nobody there'}"
                f"{'; refused ' + shared['refused'] if shared['refused'] else ''}"
            )
        if shared.get("endpoints") is not None:
            click.echo(_said_endpoints(shared["endpoints"]))
    click.echo(client.table(answer["limits"]))


def _listing(name: str, key: str, words: str) -> None:
    @ctl.command(name, help=words)
    @click.pass_context
    def listing(context: click.Context) -> None:
        answer, as_json = _ask(context, name)
        if not as_json:
            click.echo(client.table(answer[key]))


_listing("backends", "backends", "Every backend known, with its breaker.")
_listing("breakers", "breakers", "The breakers alone.")
_listing("tickets", "tickets", "Tickets in hand, the oldest first.")


def _said_members(answer: dict[str, Any]) -> str:
    reach, orders = answer["reach"], answer["orders"]
    cut = {"majority": "reaches a majority", "part": "CUT OFF from a majority", "nobody": "CUT OFF: reaches nobody"}
    lines = [
        f"{cut[reach['word']]}: {reach['here']} here, {reach['silent']} silent, {reach['gone']} gone, {reach['never']}"
        f" never met; shares as one of {answer['sharers']} (the settings say {answer['told']});"
        f" doubts itself by {answer['doubt']}",
        client.table(
            [
                {
                    key: row[key]
                    for key in ("name", "is", "found", "since_s", "answered_s", "orders", "list", "place", "at")
                }
                for row in answer["members"]
            ]
        ),
    ]
    lines += [f"{kind} {key} {'on' if on else 'off'} since {_time(at)}" for kind, key, on, at in orders]
    return "\n".join(lines)


@ctl.command()
@click.option("--watch", is_flag=True, help="Once a second, until it is interrupted.")
@click.pass_context
def members(context: click.Context, watch: bool) -> None:
    """Who is in the group as this proxy finds it, who is silent, and whether it is cut off itself."""
    while True:
        answer, as_json = _ask(context, "members")
        if not as_json:
            click.echo(("\f" if watch else "") + _said_members(answer))
        if not watch:
            return
        time.sleep(1.0)


@ctl.command()
@click.argument("name")
@click.pass_context
def forget(context: click.Context, name: str) -> None:
    """Take NAME off this proxy's roll: it is silent or gone, and will not come back."""
    answer, as_json = _ask(context, "forget", id=name)
    if not as_json:
        click.echo(f"{answer['forgotten']} is forgotten here")


@ctl.command()
@click.pass_context
def history(context: click.Context) -> None:
    """Changes, each with who, when and why."""
    answer, as_json = _ask(context, "history")
    if not as_json:
        click.echo("\n".join(map(_said_change, answer["changes"])) or "none")


def _changed(context: click.Context, do: str, **said: Any) -> None:
    answer, as_json = _ask(context, do, who=getpass.getuser(), **said)
    if not as_json:
        click.echo(_said_change(answer["change"]))


WHY = click.option("--why", default=None, help="Kept in the history.")


@ctl.command()
@click.argument("file", required=False, type=click.Path(path_type=Path))
@WHY
@click.pass_context
def propose(context: click.Context, file: Path | None, why: str | None) -> None:
    """Propose FILE, or the proxy's own file as it stands now."""
    try:
        text = None if file is None else file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise click.ClickException(f"{file}: {getattr(error, 'strerror', None) or error}") from None
    _changed(context, "propose", text=text, why=why)


@ctl.command()
@click.argument("number", required=False, type=int)
@WHY
@click.pass_context
def confirm(context: click.Context, number: int | None, why: str | None) -> None:
    """Confirm the open change, or the one of that NUMBER."""
    _changed(context, "confirm", number=number, why=why)


@ctl.command()
@click.argument("number", required=False, type=int)
@WHY
@click.pass_context
def undo(context: click.Context, number: int | None, why: str | None) -> None:
    """Undo the open change, or give up the one of that NUMBER that waits."""
    _changed(context, "undo", number=number, why=why)


@ctl.command()
@click.argument("id")
@click.option("--lift", is_flag=True, help="Take the mark off again.")
@WHY
@click.pass_context
def drain(context: click.Context, id: str, lift: bool, why: str | None) -> None:
    """Send nothing new to the backend ID, as a change like any other."""
    _changed(context, "drain", id=id, undo=lift, why=why)


MACHINE = click.option("--machine", required=True, metavar="HOST:PORT", help="A control machine.")
KEY_FILE = click.option("--key-file", required=True, help="The file with the key of control machines.")
KIND = click.option("--kind", default="config", help="config, or endpoints.")


def _asked(machine: str, key_file: str, ask: Callable[[tuple[str, int], bytes], Awaitable[T]]) -> T:
    """Of a control machine."""
    from pepperusher.distribution.operator_client import NoAnswerError
    from pepperusher.distribution.control_file import read_key
    from pepperusher.configuration.validation import address_of

    async def asked() -> T:
        return await ask(address_of(machine), read_key(key_file))

    try:
        return asyncio.run(asked())
    except (NoAnswerError, ValueError) as error:
        raise click.ClickException(str(error)) from None


@ctl.command()
@click.argument("name")
@click.argument("file", type=click.Path(path_type=Path))
@MACHINE
@KEY_FILE
@KIND
@click.option("--unchecked", is_flag=True, help="Not read as a proxy would before it is sent.")
@click.pass_context
def publish(
    context: click.Context, name: str, file: Path, machine: str, key_file: str, kind: str, unchecked: bool
) -> None:
    """Make FILE the next version of NAME, by way of the origin at HOST:PORT."""
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
        raise click.ClickException(f"{file}: is not text in UTF-8") from None
    except shared_section.NotSharedError as error:
        raise click.ClickException(f"{file}: {error}") from None
    version = _asked(machine, key_file, lambda at, key: operator_client.publish(at, key, kind, name, body))
    if context.obj[1]:
        click.echo(json.dumps({"kind": kind, "name": name, "version": list(version)}))
    else:
        click.echo(f"{kind}/{name} {version} is written")


def _said_rollout(kind: str, name: str, told: Rollout) -> str:
    lines = [
        f"{kind}/{name} {told.version} ({told.digest}): in force at {told.in_force}, pending {len(told.pending)},"
        f" refused {len(told.refused)}, unreachable {len(told.unreachable)}"
    ]
    if told.halted:
        lines.append(f"  HALTED: {told.halted}")
    if told.silent:
        lines.append(f"  not counted, since they did not answer: {', '.join(told.silent)}")
    lines += [f"  {proxy} refused: {why}" for proxy, why in list(told.refused.items())[:SHOWN]]
    for what, those in (("pending", told.pending), ("unreachable", told.unreachable)):
        if those:
            more = f" and {len(those) - SHOWN} more" if len(those) > SHOWN else ""
            lines.append(f"  {what}: {', '.join(those[:SHOWN])}{more}")
    return "\n".join(lines)


@ctl.command()
@click.argument("name")
@MACHINE
@KEY_FILE
@KIND
@click.option(
    "--watch", is_flag=True, help="Once a second, until all that can be reached have answered or it is halted."
)
@click.option("--json", "here_json", is_flag=True, help="As JSON, a line each time.")
@click.pass_context
def rollout(
    context: click.Context, name: str, machine: str, key_file: str, kind: str, watch: bool, here_json: bool
) -> None:
    """How far the newest version of NAME is: in force where, refused by whom and why, who is pending."""
    from pepperusher.distribution import operator_client

    while True:
        told = _asked(machine, key_file, lambda at, key: operator_client.rollout(at, key, kind, name))
        if here_json or context.obj[1]:
            click.echo(json.dumps({"kind": kind, "name": name, **told._asdict(), "version": list(told.version)}))
        else:
            click.echo(_said_rollout(kind, name, told))
        if not watch or told.halted or not told.pending:
            return
        time.sleep(1.0)
