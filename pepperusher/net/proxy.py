"""One proxy: joins callers, decisions and backends, starts them and drains them."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

from pepperusher import invariants
from pepperusher.facade import BOUNCE, HOLD, REFERENCED, REPLAYABLE, SCRAP, SEND, Endpoint, Facade, Step
from pepperusher.settings import parse_load_report
from pepperusher.net import clock, load_reports
from pepperusher.net.backends import Backends
from pepperusher.net.budget import Budget
from pepperusher.net.buffers import Pool
from pepperusher.net.callers import SHY, Call, Callers
from pepperusher.net.extension import Extension
from pepperusher.net.discovery import Discovery
from pepperusher.net.endpoint_update import parse_address, parse_endpoint_update, format_address
from pepperusher.net.exchange import PASSED_ON, Attempt, Placed
from pepperusher.net.log import Log
from pepperusher.net.message import Answer, Request, end_to_end, text_answer
from pepperusher.net.handover_state import HandoverState
from pepperusher.net.request_headers import BadRequest, duration_of, read_headers, timeout_of
from pepperusher.net.process_pause import ProcessPause
from pepperusher.net.bootstrap import BootstrapConfiguration, BootstrapError
from pepperusher.terms import PolicySettings

READY = text_answer(200, "ready")
BROKEN = text_answer(500, "an error in the proxy")
# For whoever ended its sending and reads on: nothing of it is sent on any more.
LEFT = text_answer(503, "its client left before it was sent on")
LEFT_LATER = text_answer(502, "its client left")
NOT_READY = text_answer(503, "no backends known, clients sent away, or about to stop")
# After SIGTERM connections go on coming for a while.
ACCEPT_AFTER_SIGTERM_S = 0.55
# SIGKILL comes no sooner after SIGTERM than the longest wait of a client, or this if that is shorter, and a
# moment.
MAX_GRACE_S = 3.0
GRACE_MARGIN_S = 0.7
# Before that, the last are given up, to have their answers, and so much before that it ends.
GIVEN_UP = 0.45
ENDED = 0.25
# And so much before that connections end with their answers, so that those given up do.
CLOSED_BEFORE = 0.1
SWEEP_INTERVAL_S = 0.25
# After operators sent clients away, fronts notice within this; connections that stand idle then are closed.
SENT_AWAY = 600_000
COUNTS_EVERY = 240
# Of the memory that the process may take, so much is held of bodies at the most: the first part is the
# program's own, and
# each connection has buffers beside that.
HELD_PART = 8
# What a new configuration can't change in a process that serves.
AT_A_START = ("name", "listen", "sockets", "memory", "console")
# The ends of an attempt that tell of the time that work takes.
WORKED = ("done", "error", "timed out", "reset")
ENDS = {BOUNCE: "bounced", SCRAP: "scrapped"}

# Makes what a proxy has beside it, from what it is told at its start.
ExtensionFactory = Callable[[BootstrapConfiguration, Log], Sequence[Extension]]


def _descriptors(wanted: int) -> int:
    """What the process may really hold; a soft limit under what is wanted is raised as far as it goes."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted <= hard or soft < wanted and hard == resource.RLIM_INFINITY:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        return wanted
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


class Proxy:
    def __init__(
        self,
        bootstrap: BootstrapConfiguration,
        again: Callable[[BootstrapConfiguration], BootstrapConfiguration],
        make_extensions: ExtensionFactory | None = None,
    ) -> None:
        self._bootstrap = bootstrap
        self._again = again
        self._log = Log(bootstrap.name)
        self._extensions = make_extensions(bootstrap, self._log) if make_extensions is not None else ()
        gates = [one.gate for one in self._extensions if one.gate is not None]
        invariants.check_invariant(len(gates) <= 1, "a ticket goes through one gate")
        self._gate = gates[0] if gates else None
        self._pool = Pool(256, bootstrap.memory // HELD_PART)
        self._budget = Budget(_descriptors(bootstrap.sockets), sum(one.descriptors for one in self._extensions))
        self._facade = Facade(bootstrap.policy_settings, clock.now(), self._log.say)
        # Callers first: where descriptors run out, it is theirs that are closed first, since they cost least.
        self._callers = Callers(
            self._handle, self._budget, self._pool, self._log, bootstrap.policy_settings.max_outer_limit
        )
        self._backends = Backends(self._budget, self._pool, bootstrap.connect_timeout, bootstrap.idle_timeout)
        self._discovery = Discovery(
            bootstrap.discovery,
            self._facade,
            self._backends,
            self._log,
            [one.filter_endpoints for one in self._extensions if one.filter_endpoints is not None],
            bootstrap.policy_settings.seed,
        )
        self._names: set[bytes] = set()  # of the tickets in hand; emptied as they end
        self._stopping = asyncio.Event()
        self._sent_away_at: int | None = None  # since when the operators have clients sent away
        self._succeeded = False  # at its end: whether another process serves on
        self._served = False  # whether backends have been known
        self.port = 0
        self._process_pause = ProcessPause(
            lambda: self._discovery.has_unread_data, lambda: self._tell("woke", lambda one: one.process_resumed())
        )
        self._counts: dict[str, int] = {}  # by the words of facade and pages here, so it grows with the code alone

    # --- one ticket -------------------------------------------------------------------------------

    def _tell(self, what: str, does: Callable[[Extension], None]) -> None:
        """Each companion in its turn: what one trips over keeps nothing from the others, and no ticket from its answer."""
        for one in self._extensions:
            try:
                does(one)
            except Exception as error:
                self._log.say(f"{type(one).__name__}, {what}: {type(error).__name__}: {error}")

    async def _handle(self, call: Call) -> Answer:
        try:
            await self._process_pause.list_read()
            told = read_headers(call.request.headers)
            name = told.get(b"request-id")
            if not name:
                if call.request.target.split(b"?")[0] == b"/ready":
                    return READY if self._takes_clients else NOT_READY
                raise BadRequest("Request-Id is missing")
            if name in self._names:
                # Sent on, it would be the same ticket out twice.
                raise BadRequest("a ticket with this Request-Id is in hand", 409)
            self._names.add(name)
            try:
                answer = await self._ticket(call, told)
            finally:
                self._names.discard(name)
            invariants.check_invariant(
                answer is not None or call.left or call.begun, "a ticket ends with an answer unless its client left"
            )
            return answer or (LEFT if call.left and not call.begun else BROKEN)
        except BadRequest as bad:
            call.bad = True
            self._count("bad calls")
            return text_answer(bad.status, str(bad))
        except Exception as error:  # ends this ticket alone, with an answer
            self._count("exceptions")
            self._log.say(f"a ticket ended by {type(error).__name__}: {error}")
            return BROKEN

    async def _ticket(self, call: Call, told: dict[bytes, bytes]) -> Answer | None:
        method, target, headers, body, rest, length = call.request
        if b"host" not in told:
            # HTTP/1.0 may do without; what goes on is HTTP/1.1.
            headers = [(b"host", format_address(self._bootstrap.listen).encode()), *headers]
        named = target.partition(b"?")[0].removeprefix(b"/").partition(b"/")[0]
        if told.get(b"request-class", named) != named:
            raise BadRequest("Request-Class is not the first part of the path")
        use_case = named.decode("latin-1")
        repeat = self._facade.retry_class_of(use_case)
        if repeat is None:
            raise BadRequest("the use case is not known here")
        # Backends turn the rest away, which would count as their failing.
        if (
            method not in ((b"GET", b"HEAD") if repeat == REPLAYABLE else (b"POST",))
            or repeat == REPLAYABLE
            and (body or rest is not None)
        ):
            raise BadRequest("the method or a body is not this use case's")
        if repeat == REFERENCED and not told.get(b"idempotency-key"):
            raise BadRequest("Idempotency-Key is missing")
        wait, cost = None, 0
        if given := told.get(b"request-timeout"):
            wait = timeout_of(given)
            # A loop that comes round late answers late: its client would have given up by then.
            wait -= min(self._process_pause.late, wait // 10)
        if given := told.get(b"work-hint"):
            cost = duration_of("Work-Hint", given, 1, "a number")
        call.ticket = True
        customer = told.get(b"tenant", b"").decode("latin-1")
        if call.left:
            # While it waited for its turn.
            self._count("left")
            return LEFT
        passed = None
        if self._gate is not None:
            passed = self._gate.request_admission(
                call.request, use_case, customer, wait, self._facade.default_timeout_of(use_case)
            )
            if not await self._gate.admit(passed, call):
                return self._gate.refusal(passed)
            wait = passed.terms.caller_timeout(wait)
        ticket = self._facade.open_ticket(use_case, customer, call.received_at, wait, cost)
        name = told[b"request-id"]
        if passed is not None:
            self._facade.limit_attempts(ticket, passed.terms.max_attempts)
        # What was sent under a mark counts over tickets and restarts, where it is kept.
        shelf = self._gate.request_store if self._gate is not None and repeat == REFERENCED else None
        mark = told[b"idempotency-key"].decode("latin-1") if shelf is not None else ""
        if shelf is not None and shelf.enabled:
            for one in shelf.attempts_of(use_case, mark):
                self._facade.restore_attempt(ticket, one.backend, one.cell, one.sent, one.ran)
        elif shelf is not None and any(header == b"client-retry" for header, _ in headers):
            # Nobody knows any more how often it went out.
            self._facade.limit_attempts(ticket, 1)
        onward = [pair for pair in end_to_end(headers) if pair[0] != b"request-timeout"]
        out: Attempt | None = None

        def leave() -> None:
            off = self._facade.caller_disconnected(ticket, clock.now()) or call.begun
            # Work under way stays where the settings have it so; what is not written whole is none, and would be later.
            if out is not None and (off or not out.written):
                out.give_up("called off")

        call.on_leave = leave

        def heard(head: Answer) -> Answer:
            """What it tells of its backend's load goes to the decisions, and no further."""
            if not any(name == load_reports.HEADER for name, _ in head.headers):
                return head
            self._facade.record_load_report(
                step.backend, parse_load_report(load_reports.pairs_of(head.headers)), clock.now()
            )
            return head._replace(headers=load_reports.without(head.headers))

        def dress(head: Answer) -> Answer:
            """The head of an answer that is passed on as it comes: from here on it is this ticket's."""
            head = heard(head)
            self._facade.response_started(ticket, clock.now())
            made = Answer(head.status, end_to_end(head.headers), head.body)
            return made if passed is None or self._gate is None else self._gate.add_version_header(passed, made) or made

        if call.onward is not None:
            call.onward.dress = dress
        placed = Placed(
            lambda: not call.check_disconnected() and self._facade.may_still_send(ticket, clock.now()),
            lambda: call.left,
            lambda: self._facade.pause_attempt(ticket, clock.now()),
            lambda: self._facade.resume_attempt(ticket, clock.now()),
            lambda: self._facade.remaining(ticket, clock.now()),
            self._process_pause.list_read,
            lambda: self._process_pause.unnoticed,
            lambda: self._discovery.confirmation.expired,
        )
        how, answer, end, attempts = "", None, "left", 0
        try:
            await self._process_pause.list_read()
            step = self._facade.choose_backend(ticket, clock.now())
            while step.action in (SEND, HOLD):
                if step.action == HOLD:
                    out = None
                    await asyncio.sleep(step.wait / 1e6)
                    await self._process_pause.list_read()
                    step = self._facade.choose_backend(ticket, clock.now())
                    continue
                if call.check_disconnected():
                    # Seen here where the loop has not come round to it: nothing more goes out.
                    how = "moot"
                    step = self._facade.report(ticket, how, clock.now(), False)
                    continue
                kept = None
                if shelf is not None and shelf.enabled:
                    kept = await shelf.record_attempt(
                        use_case,
                        mark,
                        step.backend,
                        self._facade.cell_of(step.backend),
                        self._facade.deduplication_window_of(use_case),
                    )
                    await self._process_pause.list_read()
                    if kept is None or not placed.may_still_send():
                        how = "moot"
                        if kept is not None:
                            shelf.record_outcome(use_case, mark, kept, how)
                        step = self._facade.report(ticket, how, clock.now(), False)
                        continue
                if self._discovery.confirmation.expired:
                    self._discovery.confirmation.request_refused(name)
                    self._count("list expired")
                    how = "moot"
                    if shelf is not None and kept is not None:
                        shelf.record_outcome(use_case, mark, kept, how)
                    step = self._facade.report(ticket, how, clock.now(), False)
                    continue
                if attempts:
                    self._count("retried")
                attempts += 1
                self._discovery.confirmation.request_sent(name, step.backend)
                out = Attempt()
                patience = step.wait
                if passed is not None and self._gate is not None:
                    patience = self._gate.start_attempt(passed, step.wait)
                how, answer = await self._backends.attempt(
                    step.backend,
                    Request(method, target, onward, body, rest, length),
                    out,
                    patience,
                    placed,
                    call.onward,
                )
                self._count(how)
                if answer is not None:
                    answer = heard(answer)
                if shelf is not None and kept is not None:
                    shelf.record_outcome(use_case, mark, kept, how)
                again = passed is None or self._gate is None or self._gate.retry_allowed(passed, how)
                # What was read of its rest is gone, and a second copy would be without it.
                again = again and (rest is None or not rest.touched)
                if again and how != "done":
                    await self._process_pause.list_read()
                step = self._facade.report(ticket, how, clock.now(), again)
                if passed is not None and self._gate is not None and again and step.action != SEND:
                    self._gate.refund_retry(passed, how)
            if rest is not None and rest.bad is not None:
                raise BadRequest(*rest.bad)
            end = "done" if how == "done" else ENDS.get(step.action, "left")
            answered = self._answer(step, how, answer)
            if answered is None and call.left and not call.begun:
                self._count("left")
                answered = LEFT if self._facade.choose_backend(ticket, clock.now()).action == BOUNCE else LEFT_LATER
            return answered if passed is None or self._gate is None else self._gate.add_version_header(passed, answered)
        finally:
            call.on_leave = None
            self._facade.close_ticket(ticket, clock.now())
            if passed is not None and self._gate is not None:
                self._gate.finish(passed, end, how in WORKED)

    def _answer(self, step: Step, how: str, answer: Answer | None) -> Answer | None:
        if how in PASSED_ON and answer is not None:
            # The answer to HEAD tells a length and has no body.
            length = None
            if not answer.body:
                length = next((int(value) for name, value in answer.headers if name == b"content-length"), None)
            return Answer(answer.status, end_to_end(answer.headers), answer.body, length)
        if step.action == BOUNCE:
            self._count("bounces")
            advice = [(b"retry-after", f"{step.wait / 1e6:.3f}".encode())] if step.wait > 0 else []
            return text_answer(503, "bounced", *advice)
        if step.action == SCRAP:
            self._count("scraps")
            return text_answer(504 if how == "timed out" else 502, "scrapped")
        return None

    def _count(self, what: str) -> None:
        self._counts[what] = self._counts.get(what, 0) + 1

    # --- what operators ask for ---------------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        """Whether this process can, whoever is sent to it."""
        self._served = self._served or self._backends.known
        return self._served and not self._stopping.is_set()

    @property
    def _takes_clients(self) -> bool:
        """Or another process of this proxy does, which answers at the same address."""
        return self._backends.known and self._sent_away_at is None and (not self._stopping.is_set() or self._succeeded)

    @property
    def name(self) -> str:
        return self._bootstrap.name

    @property
    def facade(self) -> Facade:
        return self._facade

    @property
    def stopping(self) -> bool:
        return self._stopping.is_set()

    @property
    def has_successor(self) -> bool:
        return self._succeeded

    def sent_away(self) -> bool:
        return self._sent_away_at is not None

    def limit_descriptors(self, part: float) -> None:
        """So much of the descriptors: two processes of one proxy share them."""
        self._budget.share(part)
        self._log.say(f"keeps to {self._budget.most} connections")

    def handover_state(self) -> HandoverState:
        """For the next process."""
        listed, told_by_source = self._discovery.handover_list()
        due = self._discovery.confirmation.hard_deadline
        return HandoverState(
            self._discovery.source,
            listed,
            self._facade.export_learned(clock.now()),
            told_by_source,
            None if due is None else round(due * 1e6),
        )

    def take_over_from(self, passed: HandoverState) -> None:
        """Goes on from what the process before passed on, as far as it can be read."""
        self._discovery.take_over(None if passed.expires_at is None else passed.expires_at / 1e6)
        try:
            if passed.listed is not None:
                known = passed.source in (self._discovery.source, self._newest_discovery())
                self._discovery.resume_from_handover(
                    parse_address(passed.source) if known else parse_address(self._discovery.source),
                    parse_endpoint_update(passed.listed),
                    known and passed.told_by_source,
                )
            if passed.learned is not None:
                self._facade.import_learned(passed.learned, clock.now())
        except ValueError as error:
            self._log.say(f"what the process before passed on is not taken: {error}")

    def _newest_discovery(self) -> str:
        """The file's: it may have been replaced since the environment was set."""
        try:
            return format_address(self._again(self._bootstrap).discovery)
        except BootstrapError:
            return ""

    def has_backend(self, backend: str) -> bool:
        return self._facade.has_backend(backend)

    def reapply_filters(self, by: Extension, lines: list[Endpoint]) -> None:
        """Lines of the list as `by` has them now: those whose say comes behind its own have it too."""
        before = [one for one in self._extensions if one.filter_endpoints is not None]
        self._discovery.publish(lines, False, before.index(by) + 1)

    @property
    def policy_settings(self) -> PolicySettings:
        return self._bootstrap.policy_settings

    @property
    def discovery(self) -> Discovery:
        return self._discovery

    @property
    def list_version(self) -> int:
        return self._discovery.version

    @property
    def needs_list(self) -> bool:
        return self._discovery.needs_list and not self._stopping.is_set()

    def list_for_peers(self) -> tuple[int, dict[str, Any]] | None:
        if self._discovery.confirmation.expired:
            return None
        listed, confirmed_at = self._discovery.own_list(), self._discovery.confirmed_at
        return (confirmed_at, listed) if listed is not None and confirmed_at is not None and listed["servers"] else None

    def borrow_list(self, listed: dict[str, Any], confirmed_at: int) -> None:
        self._discovery.borrow_list(parse_endpoint_update(listed), confirmed_at)

    def steer_connections(self, to: int | None) -> bool:
        return self._callers.steer(to)

    def send_away(self, on: bool) -> None:
        """Clients go elsewhere: no new ones, and those here with the answer to what they ask next, or when
        they ask nothing.

        Stopping, the proxy sends them away by itself, and no word brings them back.
        """
        if on == (self._sent_away_at is not None):
            return
        self._sent_away_at = clock.now() if on else None
        self._log.say("clients are sent away" if on else "clients may come again")
        if not self._stopping.is_set():
            self._callers.close_after_answers(on)

    # --- start and end ----------------------------------------------------------------------------

    async def serve(self) -> None:
        told = self._bootstrap.policy_settings
        if self._bootstrap.initial_endpoints is not None:
            self._discovery.apply_update(self._bootstrap.initial_endpoints)
        loop = asyncio.get_running_loop()
        # What the loop trips over is a line in the log, not a traceback.
        loop.set_exception_handler(
            lambda _, trouble: self._log.say(f"loop: {trouble.get('message')}: {trouble.get('exception')!r}")
        )
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        # Without a handler it ends the process, and with it every ticket in hand.
        loop.add_signal_handler(signal.SIGHUP, self.reload_configuration)
        for one in self._extensions:
            await one.attach(self)
        # What is known nearby binds from the first moment on; otherwise the settings leave time to ask.
        self._discovery.start(at_once=told.list_is_pushed)
        if told.list_is_pushed:
            # The list that this process was told may be old.
            await self._discovery.wait_for_update(told.drain_within / 1e6)
        self.port = self._callers.listen(self._bootstrap.listen, any(one.shares_address for one in self._extensions))
        for one in self._extensions:
            await one.start()
        sweep = loop.create_task(self._sweep())
        pace = loop.create_task(self._process_pause.watch())
        # What stands now stays for good: the collector need not walk it each time. Connections leave cycles
        # behind
        # in asyncio's transports: collected seldom they look like memory that goes on growing.
        gc.collect()
        gc.freeze()
        gc.set_threshold(2_000, 10, 10)
        self._log.say(f"serving at {self._bootstrap.listen[0]}:{self.port}")
        await self._stopping.wait()
        await self._drain()
        for one in reversed(self._extensions):
            await one.stop()
        self._discovery.stop()
        self._callers.over()
        sweep.cancel()
        pace.cancel()
        self._say_counts()

    def stop(self) -> None:
        if not self._stopping.is_set():
            self._succeeded = any(one.has_successor for one in self._extensions)
        self._stopping.set()

    def reload_configuration(self) -> None:
        """The configuration may have been replaced: settings and where discovery answers are taken from it,
        all else at a start."""
        try:
            told = self._again(self._bootstrap)
        except BootstrapError as error:
            self._log.say(f"the new configuration is not taken: {error}")
            self._discovery.configuration_changed(None, self._process_pause.unwatched_for)
            return
        before = self._bootstrap
        self._log.say(
            f"configuration read anew, discovery at {format_address(told.discovery)},"
            f" use cases {', '.join(use.name for use in told.policy_settings.use_cases)}"
        )
        if stays := [name for name in AT_A_START if getattr(told, name) != getattr(before, name)]:
            self._log.say(f"not before the next start: {', '.join(stays)}")
        self._bootstrap = told
        self._facade.reconfigure(told.policy_settings, clock.now())
        self._backends.reconfigure(told.connect_timeout, told.idle_timeout)
        self._callers.reconfigure(told.policy_settings.max_outer_limit)
        self._discovery.configuration_changed(told.discovery, self._process_pause.unwatched_for)
        self._tell("told anew", lambda one: one.settings_changed(told.policy_settings))

    async def _drain(self) -> None:
        """Accepts to the last: what the kernel takes on our behalf is ours.

        Till the last are given up clients are served on through the connections they hold: the proxy next to this one
        may be away as well, and where there is none they have nowhere to go.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        killed = min(self._bootstrap.policy_settings.max_outer_limit / 1e6, MAX_GRACE_S) + GRACE_MARGIN_S
        self._log.say(
            f"stopping, {self._facade.open_tickets} tickets in hand"
            + (", another process serves on" if self._succeeded else "")
        )
        last = killed - GIVEN_UP
        self._facade.limit_deadlines(clock.now() + round(last * 1e6))
        self._tell("leaving", lambda one: one.drain_started(clock.now() + round(last * 1e6)))
        loop.call_later(last, self._backends.give_up_all, "timed out")
        if self._succeeded:
            # New ones are the next process's, and those here end as they are answered.
            self._callers.give_way()
            self._callers.close_after_answers()
        else:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        while (passed := loop.time() - began) < killed - ENDED:
            if passed >= last - CLOSED_BEFORE:
                self._callers.close_after_answers()
                self._callers.shut()
                self._callers.close_idle()
            # With the last of them another may have come.
            if not self._callers.open and not self._callers.shut():
                break
            await asyncio.sleep(0.02)

    async def _sweep(self) -> None:
        for rounds in count(1):
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self._backends.sweep(clock.now())
                self._callers.sweep(clock.now())
                # Not at once: those whose connections close would open new ones, and the front still sends
                # those here.
                if self._sent_away_at is not None and clock.now() - self._sent_away_at >= SENT_AWAY:
                    self._callers.close_idle(SHY)
                self._budget.trim()
                self._tell("sweep", lambda one: one.sweep())
            except Exception as error:  # what it closes nobody else does: it goes on
                self._log.say(f"a sweep ended by {type(error).__name__}: {error}")
            if rounds % COUNTS_EVERY == 0:
                self._say_counts()

    def _say_counts(self) -> None:
        said = ", ".join(f"{what} {count}" for what, count in sorted(self._counts.items()))
        self._log.say(
            f"since the start: {said or 'nothing yet'}; {self._callers.open} callers,"
            f" {self._facade.open_tickets} tickets in hand, {self._budget.open} connections,"
            f" timers {self._process_pause.late} us late"
            + (f", paused {self._process_pause.count} times" if self._process_pause.count else "")
        )
        self._log.say(self._discovery.metrics.line())
        for what, times in invariants.broken.items():
            self._log.say(f"did not hold {times} times: {what}")


def run(
    bootstrap: BootstrapConfiguration,
    again: Callable[[BootstrapConfiguration], BootstrapConfiguration],
    make_extensions: ExtensionFactory | None = None,
) -> None:
    """`again` reads the configuration anew, beside the one in force; `make_extensions` makes the extensions, where
    there are any."""
    asyncio.run(Proxy(bootstrap, again, make_extensions).serve())
