"""The requests of operators to a control machine: publish a change, query a rollout, read counters."""

from __future__ import annotations

import asyncio
import getpass
import os
from collections import Counter

from pepperusher.distribution import wire
from pepperusher.distribution.link import Link
from pepperusher.distribution.publisher import Rollout, merge_rollout
from pepperusher.distribution.wire import Session
from pepperusher.distribution.messages import (
    MAX_REPLY_BYTES, NO_VERSION, OPERATOR, CountersRequest, RolloutRequest, Counters, Hello, Message, Publish, Published,
    Refused, Rows, Version,
)  # fmt: skip

REQUEST_TIMEOUT_S = 10.0


class NoAnswerError(RuntimeError):
    """There was no answer, or the request was rejected. The text is one line."""


async def send_request(
    address: tuple[str, int], key: bytes, message: Message, timeout: float = REQUEST_TIMEOUT_S
) -> Message:
    """Reads the counters of a control machine. Raises NoAnswerError."""
    loop = asyncio.get_running_loop()
    future: asyncio.Future[Message] = loop.create_future()
    peer = f"{address[0]}:{address[1]}"

    def connection_opened(link: Link) -> None:
        name = f"operator {getpass.getuser()}"[:100]
        instance_id = int.from_bytes(os.urandom(8)) >> 1
        link.send(wire.encode(Hello(OPERATOR, name, instance_id, "", "", False, [], [], [])))
        link.send(wire.encode(message))

    def message_received(link: Link, answer: Message) -> None:
        if not future.done():
            future.set_result(answer)

    def connection_ended(link: Link, reason: str) -> None:
        if not future.done():
            future.set_exception(NoAnswerError(f"{peer}: {reason} (another key, or no control machine?)"))

    link = Link(Session(key, True, MAX_REPLY_BYTES), connection_opened, message_received, connection_ended, Counter())
    try:
        async with asyncio.timeout(timeout):
            await loop.create_connection(lambda: link, *address)
            answer = await future
    except TimeoutError:
        raise NoAnswerError(f"{peer}: no answer within {timeout:g} s") from None
    except OSError as error:
        raise NoAnswerError(f"{peer}: {error.strerror or error}") from None
    finally:
        link.abort("answered")
        if future.done() and not future.cancelled():
            future.exception()
    if isinstance(answer, Refused):
        raise NoAnswerError(f"{peer}: {answer.reason}")
    return answer


async def publish(address: tuple[str, int], key: bytes, kind: str, name: str, body: bytes) -> Version:
    """Publishes a change and returns its version once the origin has written it to disk. Raises NoAnswerError, with the
    reason if the change was rejected.
    """
    answer = await send_request(address, key, Publish(kind, name, body))
    if not isinstance(answer, Published):
        raise NoAnswerError(f"{address[0]}:{address[1]}: an answer to another request")
    if answer.reason:
        raise NoAnswerError(answer.reason)
    return Version(answer.epoch, answer.number)


async def rollout(address: tuple[str, int], key: bytes, kind: str, name: str) -> Rollout:
    """The progress of the newest version according to all control machines that answer. Raises NoAnswerError."""
    answer = await send_request(address, key, RolloutRequest(0, kind, name, True))
    if not isinstance(answer, Rows):
        raise NoAnswerError(f"{address[0]}:{address[1]}: an answer to another request")
    if Version(*answer.version) == NO_VERSION:
        raise NoAnswerError(f"{kind}/{name} is known to no control machine")
    return merge_rollout([answer], answer.silent)


async def fetch_counters(address: tuple[str, int], key: bytes) -> dict[str, int | str]:
    """Sends one request and returns its answer. Raises NoAnswerError."""
    answer = await send_request(address, key, CountersRequest())
    if not isinstance(answer, Counters):
        raise NoAnswerError(f"{address[0]}:{address[1]}: an answer to another request")
    return answer.counts
