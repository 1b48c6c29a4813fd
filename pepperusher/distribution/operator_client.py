"""What operators ask of a control machine: to write a change, how far one is, and its counts."""

from __future__ import annotations

import asyncio
import getpass
import os
from collections import Counter

from pepperusher.distribution import wire
from pepperusher.distribution.link import Link
from pepperusher.distribution.publisher import Rollout, rollout_of
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    LONGEST_ANSWER, NO_VERSION, OPERATOR, FiguresRequest, RolloutRequest, Figures, Hello, Message, Publish, Published,
    Refused, Rows, Version,
)  # fmt: skip

WITHIN = 10.0


class NoAnswerError(RuntimeError):
    """No answer, or one that says no; its text is one line."""


async def ask(address: tuple[str, int], key: bytes, message: Message, within: float = WITHIN) -> Message:
    """Raises NoAnswerError."""
    loop = asyncio.get_running_loop()
    told: asyncio.Future[Message] = loop.create_future()
    at = f"{address[0]}:{address[1]}"

    def opened(link: Link) -> None:
        name = f"operator {getpass.getuser()}"[:100]
        life = int.from_bytes(os.urandom(8)) >> 1
        link.send(wire.encode(Hello(OPERATOR, name, life, "", "", False, [], [], [])))
        link.send(wire.encode(message))

    def came(link: Link, answer: Message) -> None:
        if not told.done():
            told.set_result(answer)

    def ended(link: Link, why: str) -> None:
        if not told.done():
            told.set_exception(NoAnswerError(f"{at}: {why} (another key, or no control machine?)"))

    link = Link(Session(key, True, LONGEST_ANSWER), opened, came, ended, Counter())
    try:
        async with asyncio.timeout(within):
            await loop.create_connection(lambda: link, *address)
            answer = await told
    except TimeoutError:
        raise NoAnswerError(f"{at}: no answer within {within:g} s") from None
    except OSError as error:
        raise NoAnswerError(f"{at}: {error.strerror or error}") from None
    finally:
        link.abort("answered")
        if told.done() and not told.cancelled():
            told.exception()
    if isinstance(answer, Refused):
        raise NoAnswerError(f"{at}: {answer.why}")
    return answer


async def publish(address: tuple[str, int], key: bytes, kind: str, name: str, body: bytes) -> Version:
    """The version that it became, on the origin's disk. Raises NoAnswerError, with why it was not taken."""
    answer = await ask(address, key, Publish(kind, name, body))
    if not isinstance(answer, Published):
        raise NoAnswerError(f"{address[0]}:{address[1]}: an answer to something else")
    if answer.why:
        raise NoAnswerError(answer.why)
    return Version(answer.epoch, answer.number)


async def rollout(address: tuple[str, int], key: bytes, kind: str, name: str) -> Rollout:
    """How far the newest version is, by all control machines that answer. Raises NoAnswerError."""
    answer = await ask(address, key, RolloutRequest(0, kind, name, True))
    if not isinstance(answer, Rows):
        raise NoAnswerError(f"{address[0]}:{address[1]}: an answer to something else")
    if Version(*answer.version) == NO_VERSION:
        raise NoAnswerError(f"{kind}/{name} is known to no control machine")
    return rollout_of([answer], answer.silent)


async def fetch_counters(address: tuple[str, int], key: bytes) -> dict[str, int | str]:
    """Raises NoAnswerError."""
    answer = await ask(address, key, FiguresRequest())
    if not isinstance(answer, Figures):
        raise NoAnswerError(f"{address[0]}:{address[1]}: an answer to something else")
    return answer.counts
