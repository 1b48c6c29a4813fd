"""Runs a proxy under its configuration file: admits tickets by route, carries out configuration changes, watches them
and stores the confirmed one.

Loaded only where there is such a file. The decisions are made in `changes.active_configuration`.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from pepperusher.backend_commands import AdminCommand
from pepperusher.changes import shared_section
from pepperusher.changes.manual_drains import DrainProposal
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
from pepperusher.net.call import Call
from pepperusher.net.extension import Extension, ExtensionHost
from pepperusher.net.log import Log
from pepperusher.net.message import Answer, Request, text_answer
from pepperusher.net.state_folder import StateFolder
from pepperusher.configuration import loader
from pepperusher.configuration.loader import ConfigurationError, Read
from pepperusher.configuration.tables import Own
from pepperusher.terms import PolicySettings

if TYPE_CHECKING:
    from pepperusher.net.request_store import RequestStore

POLL_INTERVAL_S = 0.1
DEFAULT_RETRY_AFTER_MAX_US = 10_000_000
# With less time left than this in microseconds a ticket is not admitted: it could not finish, however quick answers
# are.
MIN_TIME_LEFT_US = 30_000
# 429 means that the client caused the refusal, 503 that it did not; both count as bounces.
STATUS = {RATE: 429, FULL: 503, TOO_LATE: 503}
REASONS = {RATE: "over its rate", FULL: "too many at once", TOO_LATE: "could not be in time"}


def command_line_values(assignments: tuple[str, ...]) -> dict[str, Any]:
    """The values set on the command line. Raises ConfigurationError."""
    return loader.from_command_line(assignments)


class ConfigurationManager(Extension):
    """Manages the configuration file of a proxy.

    `path` is the file and `command_line` holds the command line's values. `shared` returns the stored copy of the
    shared section where the file names control machines.
    """

    def __init__(
        self,
        path: str | Path,
        command_line: Mapping[str, Any],
        policy_settings: PolicySettings,
        log: Log,
        shared: Callable[[Own], str] | None = None,
    ) -> None:
        say = log.write_event
        self._reload_task: asyncio.Task[None] | None = None
        self._leave_task: asyncio.Task[None] | None = None
        self.kept_out: dict[str, int] = {}  # by the keys of STATUS, so its size is fixed
        self._retry_after_max = policy_settings.max_retry_after or DEFAULT_RETRY_AFTER_MAX_US
        self._path = Path(path)
        self._command_line = dict(command_line)
        self._environment = loader.from_environment(os.environ)
        self._policy_settings = policy_settings
        self._say = say
        # Called once manual drains have changed, for the other process of this proxy.
        self.on_drains_changed: Callable[[], object] | None = None
        self._host: ExtensionHost | None = None
        self._watch_task: asyncio.Task[None] | None = None
        # Serializes changes, since each waits for its writes.
        self._change_lock = asyncio.Lock()
        self._state_folder = StateFolder(self._change_lock, self._parse_confirmed, say)
        self._fallback_reason = ""
        self.shared = ""  # the section from control machines, which `changes.shared_section` appends to the file's text
        self._read_stored_shared = shared
        # The last change of the shared section, and the section before it.
        self._shared_change: tuple[Change, str] | None = None
        self.active_configuration = ActiveConfiguration(
            self._initial_configuration(), clock.now(), self._reapply_entries, say
        )
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
        self._state_folder.attach(self.active_configuration)

    @property
    def own(self) -> Own:
        """The active configuration."""
        return self.active_configuration.version.read.own

    def _count(self, reason: str) -> None:
        self.kept_out[reason] = self.kept_out.get(reason, 0) + 1

    def _initial_configuration(self) -> Read:
        """The configuration to start with. Raises ConfigurationError, or OSError for the state folder."""
        read = self._read_file()
        if self._read_stored_shared is not None:
            read = self._add_stored_shared(read, self._read_stored_shared(read.own))
        folder = read.own.changes.state
        if folder is None:
            return read
        start = self._state_folder.begin(folder, read.text)
        if start.instead:
            self._fallback_reason = start.instead
            self.shared = shared_section.shared_part(start.text)
            return self._parse_confirmed(start.text)
        return read

    def prepare(self) -> None:
        self._state_folder.prepare()

    async def _take_over_state_folder(self) -> None:
        """Takes the state folder once the previous process has left it, and follows what that one has decided since."""
        start = await self._state_folder.take_over()
        if start is None:
            return
        try:
            await self.propose_text(start.text, "the proxy", start.instead or "confirmed by the previous process")
        except ConfigurationError as error:
            self._say("what the previous process decided is not followed", why=str(error))

    # --- manual drains ------------------------------------------------------------------------------

    @property
    def manual_drains(self) -> dict[str, AdminCommand]:
        """The drains that operators set by hand, and those that they lifted, by backend."""
        return dict(self.active_configuration.manual_drains.by_backend)

    def merge_manual_drains(self, drains: Mapping[str, AdminCommand]) -> bool:
        """Takes drains and lifts of another process of this proxy; later ones win. Returns whether any did."""
        return self.active_configuration.take_over_manual_drains(drains, clock.now())

    def _publish_drains(self) -> None:
        """Tells the other process of this proxy."""
        if self.on_drains_changed is not None:
            self.on_drains_changed()

    def _add_stored_shared(self, read: Read, shared: str) -> Read:
        """Adds the stored shared section if the file still works with it."""
        try:
            combined = self._parse(self._put_shared(read.text, shared, str(self._path)), str(self._path))
        except ValueError as error:
            self._say("the stored shared section is ignored: it does not fit the file", why=str(error))
            return read
        self.shared = shared
        return combined

    def _read_file(self) -> Read:
        read = loader.read(self._path, self._policy_settings, self._environment, self._command_line)
        return self._parse(read.text, str(self._path)) if self.shared else read

    def _parse(self, text: str, source: str) -> Read:
        """Parses `text` with the current shared section, in place of any that the text contains."""
        text = self._put_shared(text, self.shared, source) if self.shared else text
        return loader.parse(text, source, self._policy_settings, self._environment, self._command_line)

    def _parse_confirmed(self, text: str) -> Read:
        """Parses the last confirmed configuration, which contains the shared section of its time. Raises
        ConfigurationError.
        """
        return loader.parse(
            text, "the last confirmed file", self._policy_settings, self._environment, self._command_line
        )

    @staticmethod
    def _put_shared(text: str, shared: str, source: str) -> str:
        """Replaces the shared section of `text`. Raises ConfigurationError."""
        try:
            return shared_section.put(text, shared)
        except shared_section.NotSharedError as error:
            raise ConfigurationError([loader.Fault(source, 0, "", "form", f"the shared section {error}")]) from None

    def settings_changed(self, policy_settings: PolicySettings) -> None:
        """Takes the operators' new settings: the configuration file is validated against them from now on, and proposed
        as it stands.
        """
        self._policy_settings = policy_settings
        self._retry_after_max = policy_settings.max_retry_after or DEFAULT_RETRY_AFTER_MAX_US
        self.hang_up()

    def drain_started(self, until: int) -> None:
        self.active_configuration.limit_deadlines(until)
        if self._host is not None and self._host.has_successor:
            self._leave_task = asyncio.get_running_loop().create_task(self._state_folder.leave())

    def _reapply_entries(self, entries: list[Endpoint]) -> None:
        if self._host is not None:
            self._host.reapply_filters(self, entries)

    async def attach(self, host: ExtensionHost) -> None:
        self._host = host

    async def start(self) -> None:
        if self._fallback_reason:
            self._say("started with the last confirmed file", why=self._fallback_reason)
        if self.request_store is not None:
            self.request_store.start()
        self._watch_task = asyncio.get_running_loop().create_task(self._watch_changes())

    async def stop(self) -> None:
        if self.request_store is not None:
            await self.request_store.stop()
        if self._watch_task is not None:
            self._watch_task.cancel()
        await self._state_folder.leave()

    def hang_up(self) -> None:
        """Proposes the file as it stands now, as SIGHUP does."""
        self._reload_task = asyncio.get_running_loop().create_task(self._reload())

    async def _reload(self) -> None:
        try:
            await self.propose_file("SIGHUP", "the file was read anew")
        except ConfigurationError as error:
            for fault in error.faults:
                self._say("the file is not taken", why=str(fault))
        except TransactionError as error:
            self._say("no change", why=str(error))

    # --- tickets ----------------------------------------------------------------------------------

    def request_admission(
        self, request: Request, use_case: str, customer: str, wait_limit: int | None, usual_limit: int
    ) -> AdmittedTicket:
        """Matches the request to its route, and admits, queues or refuses it."""
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
            wait_limit,
            usual_limit,
            clock.now(),
        )

    async def admit(self, ticket: AdmittedTicket, call: Call) -> bool:
        """Waits where needed, and returns whether the ticket is admitted. A refused one ends here."""
        if not await self._wait_for_admission(ticket, call):
            self.active_configuration.finish(ticket, "left" if call.left else "bounced", False, clock.now())
            return False
        return True

    async def _wait_for_admission(self, ticket: AdmittedTicket, call: Call) -> bool:
        """Waits until a queued ticket is admitted, refused, too late, or left by its client."""
        if call.left:
            return False
        if ticket.how != QUEUED or ticket.waiting is None:
            return ticket.how == ADMITTED
        outcome: asyncio.Future[str] = asyncio.get_running_loop().create_future()

        def resolve(decision: str) -> None:
            self.active_configuration.admission_decided(ticket, decision, clock.now())
            if not outcome.done():
                outcome.set_result(decision)

        def leave() -> None:
            if ticket.how == QUEUED:
                self.active_configuration.withdraw(ticket)
                ticket.how = "left"
                if not outcome.done():
                    outcome.set_result("left")

        def give_up() -> None:
            if ticket.how == QUEUED:
                self.active_configuration.withdraw(ticket)
                resolve(TOO_LATE)

        ticket.waiting.on_decision = resolve
        call.on_disconnect = leave
        # A timer of its own, because the periodic check may come up to POLL_INTERVAL_S later, when the client has
        # already left.
        time_left = (
            ticket.until - clock.now() - max(MIN_TIME_LEFT_US, self.active_configuration.mean_service_time(ticket))
        )
        timer = asyncio.get_running_loop().call_later(max(0, time_left) / 1e6, give_up)
        try:
            return await outcome == ADMITTED and not call.left
        finally:
            timer.cancel()
            call.on_disconnect = None

    def refusal(self, ticket: AdmittedTicket) -> Answer | None:
        """The answer for a refused ticket; None where its client left."""
        if ticket.how not in STATUS:
            return None
        self._count(f"kept out {ticket.how}")
        advice = (
            [(b"retry-after", f"{min(ticket.advice, self._retry_after_max) / 1e6:.3f}".encode())]
            if self._policy_settings.retry_after_allowed
            else []
        )
        return self.add_version_header(ticket, text_answer(STATUS[ticket.how], REASONS[ticket.how], *advice))

    def start_attempt(self, ticket: AdmittedTicket, time_limit: int) -> int:
        """Records that the first attempt is sent. Returns how long it may take."""
        self.active_configuration.record_first_attempt(ticket, clock.now())
        return ticket.terms.attempt_timeout(time_limit)

    def retry_allowed(self, ticket: AdmittedTicket, outcome: str) -> bool:
        return self.active_configuration.retry_allowed(ticket, outcome, clock.now())

    def refund_retry(self, ticket: AdmittedTicket, outcome: str) -> None:
        """Returns a granted retry that was not sent."""
        self.active_configuration.refund_retry(ticket, outcome, clock.now())

    def finish(self, ticket: AdmittedTicket, outcome: str, worked: bool) -> None:
        self.active_configuration.finish(ticket, outcome, worked, clock.now())

    def add_version_header(self, ticket: AdmittedTicket, answer: Answer | None) -> Answer | None:
        """Adds the version of the ticket's terms to the answer, if configured."""
        if answer is None or not ticket.version.read.own.said.version:
            return answer
        return answer._replace(headers=[*answer.headers, (b"terms-version", b"%d" % ticket.version.number)])

    # --- changes ----------------------------------------------------------------------------------

    async def propose_file(self, who: str, why: str) -> Change:
        """Proposes the file as it stands now. Raises ConfigurationError, TransactionError."""
        return await self._propose(await asyncio.to_thread(self._read_file), who, why)

    async def propose_text(self, text: str, who: str, why: str) -> Change:
        """Proposes `text`. Raises ConfigurationError, TransactionError."""
        return await self._propose(await asyncio.to_thread(self._parse, text, "what is proposed"), who, why)

    async def propose_shared(self, shared: str, who: str, why: str) -> Change | None:
        """Proposes `shared` as the new shared section. Returns None if it changes nothing. Raises ConfigurationError,
        and TransactionError where another change is open or has just ended.
        """

        version = self.active_configuration.version

        def parse() -> Read:
            text = self._put_shared(version.read.text, shared, "what is shared")
            return loader.parse(text, "what is shared", self._policy_settings, self._environment, self._command_line)

        read = await asyncio.to_thread(parse)
        if self.active_configuration.ledger.open is not None:
            # Unlike other changes it does not wait, since the file that it is appended to could change meanwhile.
            raise TransactionError(f"change {self.active_configuration.ledger.open.number} is open")
        if self.active_configuration.version is not version:
            raise TransactionError("the configuration that it was appended to has been replaced")
        if read.digest == self.active_configuration.version.read.digest:
            self.shared = shared
            return None
        change = self.active_configuration.propose(read, who, why, clock.now())
        self._shared_change, self.shared = (change, self.shared), shared
        await self._apply(change)
        if change.over:
            self._restore_shared(change)
        return change

    def _restore_shared(self, change: Change) -> None:
        """Restores the shared section from before a change that was undone."""
        if self._shared_change is not None and self._shared_change[0] is change and change.state == UNDONE:
            self.shared, self._shared_change = self._shared_change[1], None

    async def drain(self, backend: str, lift: bool, who: str, why: str) -> Change:
        """Proposes a manual drain of a backend as a change; `lift` removes one. Raises TransactionError."""
        change = self.active_configuration.propose_drain(backend, not lift, who, why, clock.now())
        return await self._apply_if_open(change)

    async def _propose(self, read: Read, who: str, why: str) -> Change:
        """Opens a change for a parsed configuration, and applies it unless it has to wait for another."""
        return await self._apply_if_open(self.active_configuration.propose(read, who, why, clock.now()))

    async def _apply_if_open(self, change: Change) -> Change:
        """Applies a change unless it has to wait for another."""
        if change is self.active_configuration.ledger.open:
            await self._apply(change)
        return change

    async def _apply(self, change: Change) -> None:
        """Takes a change from proposed to applied. Persistent state is written before anything changes."""
        async with self._change_lock:
            if change.over:
                return
            try:
                await self._state_folder.write_open(change)
            except OSError as error:
                self.active_configuration.undo(
                    change,
                    "the proxy",
                    f"the change cannot be written: {error.strerror or error}",
                    clock.now(),
                )
                return
            if change.over:
                # It was undone by an operator while it was being written.
                await self._state_folder.write_undone(change)
                return
            self.active_configuration.stage(change, clock.now())
            self.active_configuration.apply(change, clock.now())
            if isinstance(change.what, DrainProposal):
                self._publish_drains()

    async def confirm(self, number: int | None, who: str, why: str) -> Change:
        """Confirms an applied change. Raises TransactionError."""
        change = self.active_configuration.ledger.find(number)
        async with self._change_lock:
            if change.state != APPLIED:
                raise TransactionError(
                    f"change {change.number} is {change.state}, and only an applied one can be confirmed"
                )
            try:
                await self._state_folder.write_confirmed(change)
            except OSError as error:
                raise TransactionError(f"the change cannot be written: {error.strerror or error}") from None
            if change.state != APPLIED:
                raise TransactionError(f"change {change.number} was undone meanwhile")
            self.active_configuration.confirm(change, who, why, clock.now())
            # The history records the change; keeping the file's text of every change would waste memory.
            change.what = None
        await self._start_next_change()
        return change

    async def undo(self, number: int | None, who: str, why: str) -> Change:
        """Undoes a change at once; persistent state is written afterwards. Raises TransactionError."""
        change = self.active_configuration.ledger.find(number)
        self.active_configuration.undo(change, who, why, clock.now())
        self._restore_shared(change)
        if isinstance(change.what, DrainProposal):
            self._publish_drains()
        async with self._change_lock:
            await self._state_folder.write_undone(change)
            change.what = None
        await self._state_folder.store_drains()
        await self._start_next_change()
        return change

    async def _start_next_change(self) -> None:
        """Carries out the next waiting change after parsing it again on top of the active configuration."""
        change = self.active_configuration.ledger.next()
        while change is not None:
            try:
                await self._validate_again(change)
                await self._apply(change)
                return
            except (ConfigurationError, TransactionError) as error:
                self.active_configuration.undo(change, "the proxy", str(error), clock.now())
                change = self.active_configuration.ledger.next()

    async def _validate_again(self, change: Change) -> None:
        """Validates a change that has waited against what is in force now. Raises ConfigurationError, TransactionError."""
        active, payload = self.active_configuration, change.what
        if isinstance(payload, DrainProposal):
            _, _, who, why = payload.command
            change.what = active.drain_proposal(payload.backend, payload.command.on, who, why, clock.now())
            return
        change.what = await asyncio.to_thread(self._parse, payload.text, "what is proposed")
        if change.what.digest == active.version.read.digest:
            raise TransactionError("it is what stands already")

    async def _watch_changes(self) -> None:
        """Confirms or undoes the open change when its watch period ends, and cleans up periodically."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            try:
                await self._take_over_state_folder()
                await self._state_folder.reopen()
                await self._state_folder.store_drains()
                now = clock.now()
                self.active_configuration.sweep(now)
                outcome = self.active_configuration.due(now)
                if outcome is not None:
                    change = self.active_configuration.ledger.find(None)
                    if outcome[0] == CONFIRMED:
                        await self.confirm(change.number, "the proxy", outcome[1])
                    else:
                        await self.undo(change.number, "the proxy", outcome[1])
            except TransactionError as error:
                self._say("a change could not be confirmed or undone automatically", why=str(error))
            except OSError as error:
                self._state_folder.give_up(error)
            except Exception as error:  # without this loop a bad change would stay active
                self._say("the change watch loop failed", why=f"{type(error).__name__}: {error}")
