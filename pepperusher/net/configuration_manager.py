"""The proxy under its own file: admits tickets by their route, carries changes out, watches them, keeps the
confirmed.

Loaded only where there is such a file. It decides nothing: `changes.active_configuration` does.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperusher.changes import shared_section
from pepperusher.changes.confirmed_file import ConfirmedFile
from pepperusher.changes.transaction_log import APPLIED, CONFIRMED, UNDONE, Change, TransactionError
from pepperusher.changes.active_configuration import (
    FULL,
    ADMITTED,
    TOO_LATE,
    RATE,
    QUEUED,
    AdmittedTicket,
    ActiveConfiguration,
)
from pepperusher.facade import Endpoint
from pepperusher.net import clock
from pepperusher.net.callers import Call
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.log import Log
from pepperusher.net.message import Answer, Request, text_answer
from pepperusher.configuration import loader
from pepperusher.configuration.loader import ConfigurationError, Read
from pepperusher.configuration.tables import Own
from pepperusher.terms import PolicySettings

if TYPE_CHECKING:
    from pepperusher.net.request_store import RequestStore

LOOK_EVERY = 0.1
LONGEST_ADVICE = 10_000_000
# With less than this left a ticket is let in to no purpose, however quick answers are.
LEAST_LEFT = 30_000
# 429 tells a client that it is its own doing, 503 that it is not; both are bounces.
STATUS = {RATE: 429, FULL: 503, TOO_LATE: 503}
# A drain by hand is put behind the file's text.
DRAIN = "\n[[backends]]\nid = {id}\ndrain = true\n"
WHY = {RATE: "over its rate", FULL: "too many at once", TOO_LATE: "could not be in time"}


def given_of(words: tuple[str, ...]) -> dict[str, Any]:
    """What the command line sets. Raises ConfigurationError."""
    return loader.from_command_line(words)


class ConfigurationManager(Extension):
    """`path` is the file, `given` the command line's values. `shared` gives what is kept of what is shared with
    other proxies, where the file says that any is."""

    def __init__(
        self,
        path: str | Path,
        given: Mapping[str, Any],
        policy_settings: PolicySettings,
        log: Log,
        shared: Callable[[Own], str] | None = None,
    ) -> None:
        say = log.write_event
        self._hanging: asyncio.Task[None] | None = None
        self.kept_out: dict[str, int] = {}  # by the words of STATUS, so it grows with the code alone
        self._longest_advice = policy_settings.max_retry_after or LONGEST_ADVICE
        self._path = Path(path)
        self._given = dict(given)
        self._environment = loader.from_environment(os.environ)
        self._policy_settings = policy_settings
        self._say = say
        self._kept: ConfirmedFile | None = None
        self._host: ExtensionHost | None = None
        self._watching: asyncio.Task[None] | None = None
        # One carrying out of a change at a time: its writes are waited for.
        self._turn = asyncio.Lock()
        self._instead = ""
        self.shared = ""  # behind the file's own text, as `changes.shared_section` puts it there
        self._kept_shared = shared
        self._sharing: tuple[Change, str] | None = None  # the last change of it, and what was shared before
        self.active_configuration = ActiveConfiguration(self._begin(), clock.now(), self._list_again, say)
        self.gate = self
        self.filter_endpoints = self.active_configuration.overlay.lines
        self.request_store: RequestStore | None = None
        if self.active_configuration.version.read.own.store.folder is not None:
            from pepperusher.net.request_store import RequestStore

            self.request_store = RequestStore(self.active_configuration.version.read.own.store, say)
        form = self.active_configuration.version.read.own.said.form
        if form != "plain":
            from pepperusher.net.structured_log import formatter_of

            log.set_formatter(formatter_of(form))

    @property
    def own(self) -> Own:
        """The file in force."""
        return self.active_configuration.version.read.own

    def _count(self, what: str) -> None:
        self.kept_out[what] = self.kept_out.get(what, 0) + 1

    def _begin(self) -> Read:
        """What to start with. Raises ConfigurationError, or OSError of the folder that is to last."""
        read = self._read()
        if self._kept_shared is not None:
            read = self._begin_shared(read, self._kept_shared(read.own))
        folder = read.own.changes.state
        if folder is None:
            return read
        self._kept = ConfirmedFile(Path(folder))
        try:
            begin = self._kept.begin(read.text)
            if begin.instead:
                self._instead = begin.instead
                self.shared = shared_section.shared_part(begin.text)
                return self._parse(begin.text, "the last confirmed")
            self._kept.confirm(read.text)
        except OSError as error:
            # A disk that fails must not keep a proxy from serving; a restart then goes by the file.
            self._say(
                "the folder for what is confirmed can't be used",
                folder=folder,
                why=error.strerror or str(error),
            )
            self._kept = None
        return read

    def _begin_shared(self, read: Read, shared: str) -> Read:
        """With what was in force before, where the file goes with it still."""
        try:
            made = self._parse(self._put(read.text, shared, str(self._path)), str(self._path))
        except ValueError as error:
            self._say("what was shared is left out: it does not go with the file", why=str(error))
            return read
        self.shared = shared
        return made

    def _read(self) -> Read:
        read = loader.read(self._path, self._policy_settings, self._environment, self._given)
        return self._parse(read.text, str(self._path)) if self.shared else read

    def _parse(self, text: str, source: str) -> Read:
        """With what is shared as it stands, whatever a text has of it."""
        text = self._put(text, self.shared, source) if self.shared else text
        return loader.parse(text, source, self._policy_settings, self._environment, self._given)

    @staticmethod
    def _put(text: str, shared: str, source: str) -> str:
        """Raises ConfigurationError."""
        try:
            return shared_section.put(text, shared)
        except shared_section.NotSharedError as error:
            raise ConfigurationError([loader.Fault(source, 0, "", "form", f"what is shared {error}")]) from None

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        """The operators' settings as they are now; the own file is read against them from here on, and proposed
        as it stands."""
        self._policy_settings = policy_settings
        self._longest_advice = policy_settings.max_retry_after or LONGEST_ADVICE
        self.hang_up()

    def drain_started(self, until: int) -> None:
        self.active_configuration.limit_deadlines(until)

    def _list_again(self, lines: list[Endpoint]) -> None:
        if self._host is not None:
            self._host.reapply_filters(self, lines)

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    async def start(self) -> None:
        if self._instead:
            self._say("started with the last confirmed file", why=self._instead)
        if self.request_store is not None:
            self.request_store.start()
        self._watching = asyncio.get_running_loop().create_task(self._watch())

    async def stop(self) -> None:
        if self.request_store is not None:
            await self.request_store.stop()
        if self._watching is not None:
            self._watching.cancel()

    def hang_up(self) -> None:
        """SIGHUP is one way to propose the file as it stands now."""
        self._hanging = asyncio.get_running_loop().create_task(self._hung_up())

    async def _hung_up(self) -> None:
        try:
            await self.propose_file("SIGHUP", "the file was read anew")
        except ConfigurationError as error:
            for fault in error.faults:
                self._say("the file is not taken", why=str(fault))
        except TransactionError as error:
            self._say("no change", why=str(error))

    # --- tickets ----------------------------------------------------------------------------------

    def request_admission(
        self, request: Request, use_case: str, customer: str, given: int | None, usual: int
    ) -> AdmittedTicket:
        version = self.active_configuration.version
        headers: dict[str, str] = {}
        host = b""
        for name, value in request.headers:
            if name == b"host":
                host = value
            elif version.matches_headers:
                headers[name.decode("latin-1")] = value.decode("latin-1")
        return self.active_configuration.request_admission(
            request.method.decode("latin-1"),
            request.target.decode("latin-1"),
            host.rpartition(b":")[0].decode("latin-1").lower() if b":" in host else host.decode("latin-1").lower(),
            headers,
            use_case,
            customer,
            given,
            usual,
            clock.now(),
        )

    async def admit(self, made: AdmittedTicket, call: Call) -> bool:
        """Whether it may go in, waited for where it must be. One that may not is over with it."""
        if not await self._admitted(made, call):
            self.active_configuration.finish(made, "left" if call.left else "bounced", False, clock.now())
            return False
        return True

    async def _admitted(self, made: AdmittedTicket, call: Call) -> bool:
        if call.left:
            return False
        if made.how != QUEUED or made.waiting is None:
            return made.how == ADMITTED
        told: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        def tell(how: str) -> None:
            self.active_configuration.admission_decided(made, how, clock.now())
            if not told.done():
                told.set_result(how)

        def leave() -> None:
            if made.how == QUEUED:
                self.active_configuration.withdraw(made)
                made.how = "left"
                if not told.done():
                    told.set_result("left")

        def late() -> None:
            if made.how == QUEUED:
                self.active_configuration.withdraw(made)
                tell(TOO_LATE)

        made.waiting.on_decision = tell
        call.on_disconnect = leave
        # Of its own, and not with the next look at all: that is up to LOOK_EVERY later, and its client has
        # left by then.
        left = made.until - clock.now() - max(LEAST_LEFT, self.active_configuration.mean_service_time(made))
        timer = asyncio.get_running_loop().call_later(max(0, left) / 1e6, late)
        try:
            return await told == ADMITTED and not call.left
        finally:
            timer.cancel()
            call.on_disconnect = None

    def refusal(self, made: AdmittedTicket) -> Answer | None:
        """What one that may not go in is told; None where its client left."""
        if made.how not in STATUS:
            return None
        self._count(f"kept out {made.how}")
        advice = (
            [(b"retry-after", f"{min(made.advice, self._longest_advice) / 1e6:.3f}".encode())]
            if self._policy_settings.retry_after_allowed
            else []
        )
        return self.add_version_header(made, text_answer(STATUS[made.how], WHY[made.how], *advice))

    def start_attempt(self, made: AdmittedTicket, wait: int) -> int:
        """It goes out now; for how long at the most."""
        self.active_configuration.record_first_attempt(made, clock.now())
        return made.terms.attempt_timeout(wait)

    def retry_allowed(self, made: AdmittedTicket, how: str) -> bool:
        return self.active_configuration.retry_allowed(made, how, clock.now())

    def refund_retry(self, made: AdmittedTicket, how: str) -> None:
        """It might have gone out once more and did not."""
        self.active_configuration.refund_retry(made, how, clock.now())

    def finish(self, made: AdmittedTicket, end: str, worked: bool) -> None:
        self.active_configuration.finish(made, end, worked, clock.now())

    def add_version_header(self, made: AdmittedTicket, answer: Answer | None) -> Answer | None:
        """An answer that names the version of its terms, where the file has it so."""
        if answer is None or not made.version.read.own.said.version:
            return answer
        return answer._replace(headers=[*answer.headers, (b"terms-version", b"%d" % made.version.number)])

    # --- changes ----------------------------------------------------------------------------------

    async def propose_file(self, who: str, why: str) -> Change:
        """As it stands now. Raises ConfigurationError, TransactionError."""
        return await self._propose(await asyncio.to_thread(self._read), who, why)

    async def propose_text(self, text: str, who: str, why: str) -> Change:
        """Raises ConfigurationError, TransactionError."""
        return await self._propose(await asyncio.to_thread(self._parse, text, "what is proposed"), who, why)

    async def propose_shared(self, shared: str, who: str, why: str) -> Change | None:
        """Another text in place of what is shared; None where all stands as it would have it. Raises ConfigurationError,
        and TransactionError where another change is open."""

        def parsed() -> Read:
            text = self._put(self.active_configuration.version.read.text, shared, "what is shared")
            return loader.parse(text, "what is shared", self._policy_settings, self._environment, self._given)

        read = await asyncio.to_thread(parsed)
        if self.active_configuration.ledger.open is not None:
            # It does not wait as others may: what it is put behind could be another by then.
            raise TransactionError(f"change {self.active_configuration.ledger.open.number} is open")
        if read.digest == self.active_configuration.version.read.digest:
            self.shared = shared
            return None
        change = self.active_configuration.propose(read, who, why, clock.now())
        self._sharing, self.shared = (change, self.shared), shared
        await self._carry_out(change)
        if change.over:
            self._unshare(change)
        return change

    def _unshare(self, change: Change) -> None:
        """What is shared as it was before a change that was undone."""
        if self._sharing is not None and self._sharing[0] is change and change.state == UNDONE:
            self.shared, self._sharing = self._sharing[1], None

    async def drain(self, id: str, lift: bool, who: str, why: str) -> Change:
        """A mark by hand, as a change like any other; `lift` takes one off again that was put on so. Raises
        ConfigurationError, TransactionError."""
        text = self.active_configuration.version.read.text
        block = DRAIN.format(id=json.dumps(id))
        if lift:
            if block not in text:
                raise TransactionError(f"{id} was not drained by hand")
            return await self.propose_text(text.replace(block, "", 1), who, why)
        if not any(one.id == id for one in self.active_configuration.overlay.ready()):
            raise TransactionError(f"{id} is no backend that is listed as ready")
        if id in self.active_configuration.version.marks:
            raise TransactionError(f"{id} has a mark already")
        return await self.propose_text(text + block, who, why)

    async def _propose(self, read: Read, who: str, why: str) -> Change:
        change = self.active_configuration.propose(read, who, why, clock.now())
        if change is self.active_configuration.ledger.open:
            await self._carry_out(change)
        return change

    async def _carry_out(self, change: Change) -> None:
        """From proposed to applied. What must last is written before anything changes."""
        async with self._turn:
            if change.over:
                return
            if self._kept is not None:
                try:
                    await asyncio.to_thread(self._kept.open, change.number, change.what.text)
                except OSError as error:
                    self.active_configuration.undo(
                        change,
                        "the proxy",
                        f"its mark can't be written: {error.strerror or error}",
                        clock.now(),
                    )
                    return
            if change.over:
                # Undone by hand while its mark was written.
                await self._mark_undone(change)
                return
            self.active_configuration.stage(change, clock.now())
            self.active_configuration.apply(change, clock.now())

    async def confirm(self, number: int | None, who: str, why: str) -> Change:
        """Raises TransactionError."""
        change = self.active_configuration.ledger.find(number)
        async with self._turn:
            if change.state != APPLIED:
                raise TransactionError(
                    f"change {change.number} is {change.state}, and only an applied one can be confirmed"
                )
            if self._kept is not None:
                try:
                    await asyncio.to_thread(self._kept.confirm, change.what.text)
                except OSError as error:
                    raise TransactionError(f"it can't be written: {error.strerror or error}") from None
            if change.state != APPLIED:
                raise TransactionError(f"change {change.number} was undone meanwhile")
            self.active_configuration.confirm(change, who, why, clock.now())
            # The history tells of it; a file's text for each of its changes would be memory for nothing.
            change.what = None
        await self._next()
        return change

    async def undo(self, number: int | None, who: str, why: str) -> Change:
        """At once; what lasts is written after. Raises TransactionError."""
        change = self.active_configuration.ledger.find(number)
        self.active_configuration.undo(change, who, why, clock.now())
        self._unshare(change)
        async with self._turn:
            await self._mark_undone(change)
            change.what = None
        await self._next()
        return change

    async def _mark_undone(self, change: Change) -> None:
        if self._kept is not None and change.what is not None:
            try:
                await asyncio.to_thread(self._kept.undo, change.what.text)
                await asyncio.to_thread(self._kept.restore, self.active_configuration.confirmed.read.text)
            except OSError as error:
                self._say("what was undone can't be written", why=error.strerror or str(error))

    async def _next(self) -> None:
        """The change that waited for this one, checked anew against what stands."""
        change = self.active_configuration.ledger.next()
        while change is not None:
            try:
                change.what = await asyncio.to_thread(self._parse, change.what.text, "what is proposed")
                if change.what.digest == self.active_configuration.version.read.digest:
                    raise TransactionError("it is what stands already")
                await self._carry_out(change)
                return
            except (ConfigurationError, TransactionError) as error:
                self.active_configuration.undo(change, "the proxy", str(error), clock.now())
                change = self.active_configuration.ledger.next()

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            try:
                now = clock.now()
                self.active_configuration.sweep(now)
                due = self.active_configuration.due(now)
                if due is not None:
                    change = self.active_configuration.ledger.find(None)
                    if due[0] == CONFIRMED:
                        await self.confirm(change.number, "the proxy", due[1])
                    else:
                        await self.undo(change.number, "the proxy", due[1])
            except TransactionError as error:
                self._say("a change goes on", why=str(error))
            except Exception as error:  # without the watch a bad change would stand
                self._say("the watch on changes met an error", why=f"{type(error).__name__}: {error}")
