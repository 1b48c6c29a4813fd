"""The proxy itself: connects the callers' side, the balancing decisions and the backends, starts them and drains them."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
from collections.abc import Callable, Sequence
from itertools import count
from typing import Any

from pepperusher import invariants
from pepperusher.facade import BOUNCE, HOLD, OUTCOMES, REFERENCED, REPLAYABLE, SCRAP, SEND, Endpoint, Facade, Step
from pepperusher.settings import parse_load_report
from pepperusher.net import clock, load_reports
from pepperusher.net.backends import Backends
from pepperusher.net.budget import Budget
from pepperusher.net.buffers import Pool
from pepperusher.net.call import Call
from pepperusher.net.callers import NEW_CONNECTION_GRACE_US, Callers
from pepperusher.net.extension import Extension
from pepperusher.net.discovery import Discovery
from pepperusher.net.endpoint_update import parse_address, parse_endpoint_update, format_address
from pepperusher.net.attempt import Attempt, AttemptContext
from pepperusher.net.exchange import FORWARDED_OUTCOMES
from pepperusher.net.log import Log
from pepperusher.net.memory_limits import MemoryLimits
from pepperusher.net.memory_relief import MemoryRelief
from pepperusher.net.memory_report import MemoryReport, own_memory
from pepperusher.net.message import Answer, PackedHeaders, Request, end_to_end_headers, text_answer
from pepperusher.net.handover_state import HandoverState
from pepperusher.net.peer_memory import PeerMemory
from pepperusher.net.request_headers import BadRequest, duration_of, read_headers, timeout_of
from pepperusher.net.request_ids import RequestIds
from pepperusher.net.request_events import RequestEvents
from pepperusher.net.process_pause import ProcessPause
from pepperusher.net.bootstrap import BootstrapConfiguration, BootstrapError
from pepperusher.net.watch_stream import LINE_MAX_BYTES
from pepperusher.terms import NEVER_RAN, PolicySettings

READY_ANSWER = text_answer(200, "ready")
INTERNAL_ERROR_ANSWER = text_answer(500, "an error in the proxy")
# Answers for a client that ended its sending direction but still reads. Nothing of its ticket is sent to a backend any
# more.
CLIENT_LEFT_ANSWER = text_answer(503, "its client left before it was sent on")
CLIENT_LEFT_AFTER_SEND_ANSWER = text_answer(502, "its client left")
NOT_READY_ANSWER = text_answer(503, "no backends known, clients sent away, or about to stop")
# Seconds for which new connections still arrive after SIGTERM, until the load balancer in front has noticed the stop.
ACCEPT_AFTER_SIGTERM_S = 0.55
# SIGKILL follows SIGTERM no sooner than the longest time a client waits (or this figure, if that is shorter) plus a
# margin, in seconds.
MAX_GRACE_S = 3.0
GRACE_MARGIN_S = 0.7
# Seconds before SIGKILL at which the last attempts are given up, so that their tickets still get answers, and at which
# the process exits.
GIVE_UP_MARGIN_S = 0.45
EXIT_MARGIN_S = 0.25
# Seconds before the last attempts are given up at which connections start to close with their answers, so that the
# connections of the tickets given up do so as well.
CLOSE_MARGIN_S = 0.1
SWEEP_INTERVAL_S = 0.25
# Load balancers in front notice within this time (microseconds) that operators redirect clients; idle connections are
# closed after it.
REDIRECT_CLOSE_DELAY_US = 600_000
SWEEPS_PER_COUNTS_LINE = 240  # one line a minute
# A line of discovery takes at most this fraction; parsing one takes several times its length.
LINE_MEMORY_DIVISOR = 16
# Settings that a running process cannot change when its configuration is reloaded.
RESTART_ONLY_SETTINGS = ("name", "listen", "sockets", "memory", "console")
# A client is probed again before an attempt if the event loop was so late that the answer to the first probe is old.
MAX_PROBES_OF_ATTEMPT = 2
# Outcomes of an attempt whose duration shows how long the work takes.
OUTCOMES_THAT_MEASURE_WORK = ("done", "error", "timed out", "reset")
# What a ticket that no backend answered counts as.
FINAL_OUTCOMES = {BOUNCE: "bounced", SCRAP: "scrapped"}

# Builds the proxy's extensions from the configuration it is started with.
ExtensionFactory = Callable[[BootstrapConfiguration, Log], Sequence[Extension]]


def _available_descriptors(wanted: int) -> int:
    """Returns how many descriptors the process can really hold. Raises a soft limit that is below `wanted`, as far as
    the hard limit allows.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < wanted <= hard or soft < wanted and hard == resource.RLIM_INFINITY:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        return wanted
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


class Proxy:
    """One proxy process: serves tickets, follows the list of backends, and drains at a stop."""

    def __init__(
        self,
        bootstrap: BootstrapConfiguration,
        reload: Callable[[BootstrapConfiguration], BootstrapConfiguration],
        make_extensions: ExtensionFactory | None = None,
    ) -> None:
        self._bootstrap = bootstrap
        self._reload = reload
        self._log = Log(bootstrap.name)
        self._events = RequestEvents(self._log)
        self._extensions = make_extensions(bootstrap, self._log) if make_extensions is not None else ()
        admission_gates = [extension.gate for extension in self._extensions if extension.gate is not None]
        invariants.check_invariant(len(admission_gates) <= 1, "a ticket goes through one gate")
        self._gate = admission_gates[0] if admission_gates else None
        descriptors = _available_descriptors(bootstrap.sockets)
        memory_limits = MemoryLimits.of(bootstrap.memory, descriptors)
        self._pool = Pool(256, memory_limits.bodies, PeerMemory(memory_limits.received))
        self._budget = Budget(descriptors, sum(extension.descriptors for extension in self._extensions))
        self._facade = Facade(bootstrap.policy_settings, clock.now(), self._log.say)
        # The callers' side registers first: where descriptors run out, its idle connections are closed first, since
        # they cost least.
        self._callers = Callers(
            self._handle, self._budget, self._pool, self._log, bootstrap.policy_settings.max_outer_limit, self._events
        )
        self._backends = Backends(
            self._budget, self._pool, bootstrap.connect_timeout, bootstrap.idle_timeout, self._events
        )
        self._discovery = Discovery(
            bootstrap.discovery,
            self._facade,
            self._backends,
            self._log,
            [extension.filter_endpoints for extension in self._extensions if extension.filter_endpoints is not None],
            bootstrap.policy_settings.seed,
            self._pool.peer_memory,
            min(LINE_MAX_BYTES, bootstrap.memory // LINE_MEMORY_DIVISOR),
        )
        self._memory_relief = MemoryRelief(bootstrap.memory)
        self._memory_report = MemoryReport(
            bootstrap.memory,
            self._pool,
            (self._callers.peers, self._backends.peers, self._discovery.peers),
            self._log,
        )
        self._request_ids = RequestIds()
        self._stopping = asyncio.Event()
        self._sent_away_at: int | None = None  # when operators began to redirect clients; None while they do not
        self._has_successor = False  # set when the stop begins: whether another process takes over the address
        self._backends_were_known = False  # whether any backend has been known so far
        self.port = 0
        self._process_pause = ProcessPause(
            lambda: self._discovery.has_unread_data,
            lambda: self._notify_extensions("process resumed", lambda extension: extension.process_resumed()),
        )

    # --- one ticket -------------------------------------------------------------------------------

    def _notify_extensions(self, event: str, notify: Callable[[Extension], None]) -> None:
        """Calls every extension in order. An exception in one neither keeps the others from their call nor a ticket
        from its answer.
        """
        for extension in self._extensions:
            try:
                notify(extension)
            except Exception as error:
                self._log.say(f"{type(extension).__name__}, {event}: {type(error).__name__}: {error}")

    async def _handle(self, call: Call) -> Answer:
        """Answers one request; errors end only this request."""
        try:
            await self._process_pause.wait_for_list()
            proxy_headers = read_headers(call.request.headers)
            request_id = proxy_headers.get(b"request-id")
            if not request_id:
                if call.request.target.split(b"?")[0] == b"/ready":
                    return READY_ANSWER if self._takes_clients else NOT_READY_ANSWER
                raise BadRequest("Request-Id is missing")
            if not self._request_ids.add(request_id, clock.now()):
                # Sent on, it would run twice.
                raise BadRequest("a ticket with this Request-Id is in hand, or may have run", 409)
            try:
                answer = await self._serve_ticket(call, proxy_headers)
            finally:
                self._request_ids.remove(request_id)
            invariants.check_invariant(
                answer is not None or call.left or call.answer_started,
                "a ticket ends with an answer unless its client left",
            )
            return answer or (CLIENT_LEFT_ANSWER if call.left and not call.answer_started else INTERNAL_ERROR_ANSWER)
        except BadRequest as error:
            call.bad = True
            self._events.count("bad calls")
            return text_answer(error.status, str(error))
        except Exception as error:  # ends only this ticket, which gets an answer
            self._events.count("exceptions")
            self._log.say(f"a ticket failed with {type(error).__name__}: {error}")
            return INTERNAL_ERROR_ANSWER

    async def _serve_ticket(self, call: Call, proxy_headers: dict[bytes, bytes]) -> Answer | None:
        """Serves one ticket: checks its headers, admits it, and makes attempts until there is a final answer. Returns
        None if its client left.
        """
        method, target, headers, body, rest, length = call.request
        if b"host" not in proxy_headers:
            # HTTP/1.0 requests may omit Host; the request to the backend is HTTP/1.1, which requires it.
            headers = PackedHeaders([(b"host", format_address(self._bootstrap.listen).encode()), *headers])
        class_from_path = target.partition(b"?")[0].removeprefix(b"/").partition(b"/")[0]
        if proxy_headers.get(b"request-class", class_from_path) != class_from_path:
            raise BadRequest("Request-Class is not the first part of the path")
        use_case = class_from_path.decode("latin-1")
        retry_class = self._facade.retry_class_of(use_case)
        if retry_class is None:
            raise BadRequest("the use case is not known here")
        # Backends reject such requests, and the rejections would count as failures of the backends.
        if (
            method not in ((b"GET", b"HEAD") if retry_class == REPLAYABLE else (b"POST",))
            or retry_class == REPLAYABLE
            and (body or rest is not None)
        ):
            raise BadRequest("the method or a body is not this use case's")
        if retry_class == REFERENCED and not proxy_headers.get(b"idempotency-key"):
            raise BadRequest("Idempotency-Key is missing")
        timeout, cost = None, 0
        if value := proxy_headers.get(b"request-timeout"):
            timeout = timeout_of(value)
            # When the event loop runs late, the answer is late as well and the client would have given up by then: the
            # timeout is shortened by the lateness of timers, by a tenth at most.
            timeout -= min(self._process_pause.lateness_us, timeout // 10)
        if value := proxy_headers.get(b"work-hint"):
            cost = duration_of("Work-Hint", value, 1, "a number")
        call.ticket = True
        customer = proxy_headers.get(b"tenant", b"").decode("latin-1")
        if call.left:
            # The client left while the request waited for its turn to be read.
            self._events.count("left")
            return CLIENT_LEFT_ANSWER
        admission = None
        if self._gate is not None:
            admission = self._gate.request_admission(
                call.request, use_case, customer, timeout, self._facade.default_timeout_of(use_case)
            )
            if not await self._gate.admit(admission, call):
                return self._gate.refusal(admission)
            timeout = admission.terms.caller_timeout(timeout)
        ticket = self._facade.open_ticket(use_case, customer, call.received_at, timeout, cost)
        request_id = proxy_headers[b"request-id"]
        if admission is not None:
            self._facade.limit_attempts(ticket, admission.terms.max_attempts)
        # Attempts under an idempotency key count across tickets and restarts, where the request store records them.
        request_store = self._gate.request_store if self._gate is not None and retry_class == REFERENCED else None
        idempotency_key = proxy_headers[b"idempotency-key"].decode("latin-1") if request_store is not None else ""
        if request_store is not None and request_store.enabled:
            for past in request_store.attempts_of(use_case, idempotency_key):
                self._facade.restore_attempt(ticket, past.backend, past.cell, past.sent, past.ran)
        if (
            request_store is not None
            and not request_store.complete
            and any(header == b"client-retry" for header, _ in headers)
        ):
            # Without the store there is no record of how often this request was sent: a retry gets one attempt.
            self._facade.limit_attempts(ticket, 1)
        headers = PackedHeaders(pair for pair in end_to_end_headers(headers) if pair[0] != b"request-timeout")
        call.release_headers()
        attempt: Attempt | None = None

        def cancel_attempt() -> None:
            """Called when the client leaves while its ticket is in hand."""
            may_cancel = self._facade.caller_disconnected(ticket, clock.now()) or call.answer_started
            # Attempts under way continue where the settings forbid cancelling. A request that is not completely written
            # has not run and would only run later, after its client has left, so it is always cancelled.
            if attempt is not None and (may_cancel or not attempt.written):
                attempt.give_up("called off", "the client left")

        call.on_disconnect = cancel_attempt

        def strip_load_report(head: Answer) -> Answer:
            """Passes the load report in an answer's headers to the balancing decisions and removes it from the answer."""
            if not any(name == load_reports.REPORT_HEADER for name, _ in head.headers):
                return head
            self._facade.record_load_report(
                step.backend, parse_load_report(load_reports.reported_metrics(head.headers)), clock.now()
            )
            return head._replace(headers=load_reports.without_reports(head.headers))

        def prepare_head(head: Answer) -> Answer:
            """Prepares the head of an answer that is streamed to the client: from here on the answer is final for this
            ticket.
            """
            head = strip_load_report(head)
            self._facade.response_started(ticket, clock.now())
            prepared = Answer(head.status, end_to_end_headers(head.headers), head.body)
            return (
                prepared
                if admission is None or self._gate is None
                else self._gate.add_version_header(admission, prepared) or prepared
            )

        if call.forwarder is not None:
            call.forwarder.prepare_head = prepare_head

        async def prepare_to_send() -> None:
            """Finds out whether a client has left whose end can't be seen, and waits for the list after a pause."""
            for _ in range(MAX_PROBES_OF_ATTEMPT):
                if (hidden_end := call.reason_to_probe()) is None:
                    break
                self._events.client_probed(request_id, hidden_end, await call.probe_client())
            await self._process_pause.wait_for_list()

        context = AttemptContext(
            lambda: (
                not call.check_disconnected()
                and call.hidden_end() is None
                and self._facade.may_still_send(ticket, clock.now())
            ),
            lambda: call.left or call.hidden_end() is not None,
            lambda: self._facade.pause_attempt(ticket, clock.now()),
            lambda at: self._facade.resume_attempt(ticket, at),
            lambda: self._facade.remaining(ticket, clock.now()),
            prepare_to_send,
            lambda: self._process_pause.unnoticed,
            lambda: self._discovery.confirmation.expired,
            lambda at: (rest is None or not rest.started) and self._facade.may_retry(ticket, at),
            lambda: self._facade.is_bound_repeat(ticket),
        )
        outcome, answer, final_outcome, attempts = "", None, "left", 0
        try:
            await self._process_pause.wait_for_list()
            step = self._facade.choose_backend(ticket, clock.now())
            while step.action in (SEND, HOLD):
                if step.action == HOLD:
                    attempt = None
                    await asyncio.sleep(step.wait / 1e6)
                    await self._process_pause.wait_for_list()
                    step = self._facade.choose_backend(ticket, clock.now())
                    continue
                await prepare_to_send()
                if not context.may_still_send():
                    # The client's end was found in the kernel before the event loop reported it, or can't be found
                    # there, or the backend has gone meanwhile: nothing more is sent.
                    if not call.left:
                        self._events.count("not sent")
                    outcome = "moot"
                    step = self._facade.report(ticket, outcome, clock.now(), False)
                    continue
                record = None
                if request_store is not None and request_store.enabled:
                    record = await request_store.record_attempt(
                        use_case,
                        idempotency_key,
                        step.backend,
                        self._facade.cell_of(step.backend),
                        self._facade.deduplication_window_of(use_case),
                    )
                    await prepare_to_send()
                    if record is None or not context.may_still_send():
                        outcome = "moot"
                        if record is not None:
                            request_store.record_outcome(use_case, idempotency_key, record, outcome)
                        step = self._facade.report(ticket, outcome, clock.now(), False)
                        continue
                if self._discovery.confirmation.expired:
                    self._discovery.confirmation.request_refused(request_id)
                    self._events.count("list expired")
                    outcome = "moot"
                    if request_store is not None and record is not None:
                        request_store.record_outcome(use_case, idempotency_key, record, outcome)
                    step = self._facade.report(ticket, outcome, clock.now(), False)
                    continue
                attempts += 1
                if attempts > 1:
                    self._events.retry(request_id, step.backend, attempts)
                self._discovery.confirmation.request_sent(request_id, step.backend)
                attempt = Attempt()
                attempt_began = clock.now()
                attempt_timeout = step.wait
                if admission is not None and self._gate is not None:
                    attempt_timeout = self._gate.start_attempt(admission, step.wait)
                outcome, answer = await self._backends.attempt(
                    step.backend,
                    Request(method, target, headers, body, rest, length),
                    attempt,
                    attempt_timeout,
                    context,
                    call.forwarder,
                )
                if attempt.written and retry_class != REPLAYABLE and OUTCOMES[outcome] not in NEVER_RAN:
                    self._request_ids.may_have_run(request_id, clock.now())
                self._events.attempt_ended(
                    request_id, step.backend, outcome, attempt.reason, clock.now() - attempt_began
                )
                if answer is not None:
                    answer = strip_load_report(answer)
                if request_store is not None and record is not None:
                    request_store.record_outcome(use_case, idempotency_key, record, outcome)
                retry_allowed = admission is None or self._gate is None or self._gate.retry_allowed(admission, outcome)
                # The part of the body that was already read is gone, so another attempt would send an incomplete body.
                retry_allowed = retry_allowed and (rest is None or not rest.started)
                if retry_allowed and outcome != "done":
                    await self._process_pause.wait_for_list()
                step = self._facade.report(ticket, outcome, clock.now(), retry_allowed)
                if admission is not None and self._gate is not None and retry_allowed and step.action != SEND:
                    self._gate.refund_retry(admission, outcome)
            if rest is not None and rest.error is not None:
                raise BadRequest(*rest.error)
            final_outcome = "done" if outcome == "done" else FINAL_OUTCOMES.get(step.action, "left")
            final_answer = self._final_answer(request_id, step, outcome, answer)
            if final_answer is None and call.left and not call.answer_started:
                self._events.count("left")
                final_answer = (
                    CLIENT_LEFT_ANSWER
                    if self._facade.choose_backend(ticket, clock.now()).action == BOUNCE
                    else CLIENT_LEFT_AFTER_SEND_ANSWER
                )
            return (
                final_answer
                if admission is None or self._gate is None
                else self._gate.add_version_header(admission, final_answer)
            )
        finally:
            call.on_disconnect = None
            self._facade.close_ticket(ticket, clock.now())
            if admission is not None and self._gate is not None:
                self._gate.finish(admission, final_outcome, outcome in OUTCOMES_THAT_MEASURE_WORK)

    def _final_answer(self, request_id: bytes, step: Step, outcome: str, answer: Answer | None) -> Answer | None:
        """The answer to the client: that of the backend, or one of the proxy for a bounced or scrapped ticket."""
        if outcome in FORWARDED_OUTCOMES and answer is not None:
            # The answer to HEAD has a Content-Length and no body.
            length = None
            if not answer.body:
                length = next((int(value) for name, value in answer.headers if name == b"content-length"), None)
            return Answer(answer.status, end_to_end_headers(answer.headers), answer.body, length)
        if step.action == BOUNCE:
            self._events.request_failed(request_id, "bounces", outcome)
            retry_after = [(b"retry-after", f"{step.wait / 1e6:.3f}".encode())] if step.wait > 0 else []
            return text_answer(503, "bounced", *retry_after)
        if step.action == SCRAP:
            self._events.request_failed(request_id, "scraps", outcome)
            return text_answer(504 if outcome == "timed out" else 502, "scrapped")
        return None

    # --- operations ---------------------------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        """Whether this process is able to serve, whether or not clients are sent to it."""
        self._backends_were_known = self._backends_were_known or self._backends.known
        return self._backends_were_known and not self._stopping.is_set()

    @property
    def _takes_clients(self) -> bool:
        """Whether /ready invites clients: this process serves them, or another process of this proxy at the same
        address does.
        """
        return (
            self._backends.known and self._sent_away_at is None and (not self._stopping.is_set() or self._has_successor)
        )

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
        return self._has_successor

    @property
    def has_predecessor(self) -> bool:
        return any(extension.has_predecessor for extension in self._extensions)

    def sent_away(self) -> bool:
        """Whether operators redirect clients elsewhere."""
        return self._sent_away_at is not None

    def limit_share(self, share: float) -> None:
        """Limits this process to a share of the descriptors and of the memory for peers, since two processes of one
        proxy share them.
        """
        self._budget.set_share(share)
        self._pool.set_share(share)
        self._log.say(f"limited to {self._budget.limit} connections")

    def handover_state(self) -> HandoverState:
        """The state that the next process takes over."""
        endpoints, received_from_source = self._discovery.handover_list()
        deadline = self._discovery.confirmation.handover_deadline
        return HandoverState(
            self._discovery.source,
            endpoints,
            self._facade.export_learned(clock.now()),
            received_from_source,
            None if deadline is None else round(deadline * 1e6),
        )

    def take_over_from(self, state: HandoverState) -> None:
        """Continues from the state that the previous process handed over, as far as it can be read."""
        self._discovery.take_over(None if state.expires_at is None else state.expires_at / 1e6)
        try:
            if state.listed is not None:
                same_discovery = state.source in (self._discovery.source, self._configured_discovery())
                self._discovery.resume_from_handover(
                    parse_address(state.source) if same_discovery else parse_address(self._discovery.source),
                    parse_endpoint_update(state.listed),
                    same_discovery and state.told_by_source,
                )
            if state.learned is not None:
                self._facade.import_learned(state.learned, clock.now())
        except ValueError as error:
            self._log.say(f"state handed over by the previous process rejected: {error}")

    def _configured_discovery(self) -> str:
        """The discovery address in the configuration file, which may have been replaced since this process started."""
        try:
            return format_address(self._reload(self._bootstrap).discovery)
        except BootstrapError:
            return ""

    def has_backend(self, backend: str) -> bool:
        return self._facade.has_backend(backend)

    def reapply_filters(self, source: Extension, endpoints: list[Endpoint]) -> None:
        """Applies `endpoints` as the extension `source` has filtered them; extensions behind it in the order filter
        them as well.
        """
        filtering = [extension for extension in self._extensions if extension.filter_endpoints is not None]
        self._discovery.publish(endpoints, False, filtering.index(source) + 1)

    @property
    def request_ids(self) -> RequestIds:
        return self._request_ids

    @property
    def policy_settings(self) -> PolicySettings:
        return self._bootstrap.policy_settings

    @property
    def discovery(self) -> Discovery:
        return self._discovery

    @property
    def list_version(self) -> int:
        """The version of the list in use."""
        return self._discovery.version

    @property
    def needs_list(self) -> bool:
        """Whether the proxy has no list at all."""
        return self._discovery.needs_list and not self._stopping.is_set()

    def list_for_peers(self) -> tuple[int, dict[str, Any]] | None:
        """The own list and when discovery last confirmed it, for other proxies of the group; None without a valid one."""
        if self._discovery.confirmation.expired:
            return None
        listed, confirmed_at = self._discovery.own_list(), self._discovery.confirmed_at
        return (confirmed_at, listed) if listed is not None and confirmed_at is not None and listed["servers"] else None

    def borrow_list(self, listed: dict[str, Any], confirmed_at: int) -> None:
        """Uses the list of another proxy until discovery sends one."""
        self._discovery.borrow_list(parse_endpoint_update(listed), confirmed_at)

    def steer_connections(self, to: int | None) -> bool:
        return self._callers.steer(to)

    def send_away(self, on: bool) -> None:
        """Redirects clients elsewhere, or ends that: /ready answers that clients must not come, and present connections
        are closed with the answer to their next request, or while they are idle.

        While the proxy stops it redirects clients by itself, and this call cannot bring them back.
        """
        if on == (self._sent_away_at is not None):
            return
        self._sent_away_at = clock.now() if on else None
        self._log.say("clients are sent away" if on else "clients may come again")
        if not self._stopping.is_set():
            self._callers.close_after_answers(on)

    # --- start and end ----------------------------------------------------------------------------

    async def serve(self) -> None:
        """Starts the proxy, serves until it is stopped, and drains it."""
        policy_settings = self._bootstrap.policy_settings
        if self._bootstrap.initial_endpoints is not None:
            self._discovery.apply_update(self._bootstrap.initial_endpoints)
        loop = asyncio.get_running_loop()
        # Errors in event loop callbacks are logged as one line instead of a traceback.
        loop.set_exception_handler(
            lambda _, context: self._log.say(f"loop: {context.get('message')}: {context.get('exception')!r}")
        )
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        # Without a handler SIGHUP ends the process, and with it every ticket in hand.
        loop.add_signal_handler(signal.SIGHUP, self.reload_configuration)
        for extension in self._extensions:
            await extension.attach(self)
        # With pushed lists a change counts for the proxy as soon as it is known nearby, so discovery is asked at once;
        # otherwise the settings leave time to ask.
        self._discovery.start(at_once=policy_settings.list_is_pushed)
        if policy_settings.list_is_pushed:
            # The list in the start configuration may be out of date.
            await self._discovery.wait_for_update(policy_settings.drain_within / 1e6)
        for extension in self._extensions:
            extension.prepare()
        self.port = self._callers.listen(
            self._bootstrap.listen, any(extension.shares_address for extension in self._extensions)
        )
        for extension in self._extensions:
            await self._start_extension(extension)
        sweep_task = loop.create_task(self._sweep())
        pause_watch = loop.create_task(self._process_pause.watch())
        # Objects alive now live as long as the process, so the garbage collector need not scan them each time.
        # Connections leave reference cycles in asyncio's transports: if the collector ran too rarely, they would look
        # like a memory leak.
        gc.collect()
        gc.freeze()
        gc.set_threshold(2_000, 10, 10)
        self._log.say(f"serving at {self._bootstrap.listen[0]}:{self.port}")
        await self._stopping.wait()
        await self._drain()
        for extension in reversed(self._extensions):
            await extension.stop()
        self._discovery.stop()
        self._callers.close_watcher()
        sweep_task.cancel()
        pause_watch.cancel()
        self._log_counts()

    async def _start_extension(self, extension: Extension) -> None:
        """Starts an extension. Callers are connected by now, so an extension that fails does not end the process."""
        try:
            await extension.start()
        except Exception as error:
            self._log.say(f"{type(extension).__name__} does not work: {type(error).__name__}: {error}")

    def stop(self) -> None:
        """Begins to stop the proxy: `serve` then drains it and returns."""
        if not self._stopping.is_set():
            self._has_successor = any(extension.has_successor for extension in self._extensions)
        self._stopping.set()

    def reload_configuration(self) -> None:
        """Reloads the configuration file: settings and the discovery address take effect now, everything else at the
        next start.
        """
        try:
            new = self._reload(self._bootstrap)
        except BootstrapError as error:
            self._log.say(f"the new configuration is not taken: {error}")
            self._discovery.configuration_changed(None, self._process_pause.seconds_since_check)
            return
        old = self._bootstrap
        self._log.say(
            f"configuration reloaded, discovery at {format_address(new.discovery)},"
            f" use cases {', '.join(use_case.name for use_case in new.policy_settings.use_cases)}"
        )
        if deferred := [name for name in RESTART_ONLY_SETTINGS if getattr(new, name) != getattr(old, name)]:
            self._log.say(f"takes effect only at the next start: {', '.join(deferred)}")
        self._bootstrap = new
        self._facade.reconfigure(new.policy_settings, clock.now())
        self._backends.reconfigure(new.connect_timeout, new.idle_timeout)
        self._callers.reconfigure(new.policy_settings.max_outer_limit)
        self._discovery.configuration_changed(new.discovery, self._process_pause.seconds_since_check)
        self._notify_extensions("settings changed", lambda extension: extension.settings_changed(new.policy_settings))

    async def _drain(self) -> None:
        """Serves until the last ticket is answered or the process has to exit. Connections are accepted to the end,
        because the kernel accepts them on behalf of this process.

        Until the last attempts are given up, clients are served on the connections they hold: the neighbouring proxy
        may be stopping as well, and without one the clients have nowhere to go.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        kill_after = min(self._bootstrap.policy_settings.max_outer_limit / 1e6, MAX_GRACE_S) + GRACE_MARGIN_S
        self._log.say(
            f"stopping, {self._facade.open_tickets} tickets in hand"
            + (", another process takes over" if self._has_successor else "")
        )
        give_up_after = kill_after - GIVE_UP_MARGIN_S
        self._facade.limit_deadlines(clock.now() + round(give_up_after * 1e6))
        self._notify_extensions(
            "drain started", lambda extension: extension.drain_started(clock.now() + round(give_up_after * 1e6))
        )
        loop.call_later(give_up_after, self._backends.give_up_all, "timed out", "the process is about to exit")
        if self._has_successor:
            # New connections go to the next process, and those here close with their answers.
            self._callers.hand_over_listener()
            self._callers.close_after_answers()
        else:
            await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        while (elapsed := loop.time() - started_at) < kill_after - EXIT_MARGIN_S:
            if elapsed >= give_up_after - CLOSE_MARGIN_S:
                self._callers.close_after_answers()
                self._callers.close_listener()
                self._callers.close_idle()
            # Another connection may have arrived while the last one ended.
            if not self._callers.open and not self._callers.close_listener():
                break
            await asyncio.sleep(0.02)

    async def _sweep(self) -> None:
        """Closes unused connections several times a second, and logs the counts once a minute."""
        for round_number in count(1):
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self._backends.sweep(clock.now())
                self._callers.sweep(clock.now())
                own = own_memory()
                self._memory_report.check(own)
                self._memory_relief.relieve(own, clock.now())
                # Idle connections are not closed at once: their clients would open new ones, which the load balancer in
                # front still sends here.
                if self._sent_away_at is not None and clock.now() - self._sent_away_at >= REDIRECT_CLOSE_DELAY_US:
                    self._callers.close_idle(NEW_CONNECTION_GRACE_US)
                self._budget.trim()
                self._notify_extensions("sweep", lambda extension: extension.sweep())
            except Exception as error:  # nothing else closes these connections, so the loop has to go on
                self._log.say(f"a sweep failed with {type(error).__name__}: {error}")
            if round_number % SWEEPS_PER_COUNTS_LINE == 0:
                self._log_counts()

    def _log_counts(self) -> None:
        """Logs what happened since the start, and broken invariants."""
        counts = ", ".join(f"{event} {count}" for event, count in sorted(self._events.counts.items()))
        self._log.say(
            f"since the start: {counts or 'nothing yet'}; {self._callers.open} callers,"
            f" {self._facade.open_tickets} tickets in hand, {self._budget.open} connections,"
            f" timers {self._process_pause.lateness_us} us late"
            + (f", paused {self._process_pause.count} times" if self._process_pause.count else "")
        )
        self._log.say(self._events.closes_line())
        self._log.say(self._memory_report.line(own_memory()))
        self._log.say(self._discovery.metrics.line())
        for invariant, times in invariants.violations.items():
            self._log.say(f"invariant violated {times} times: {invariant}")


def run(
    bootstrap: BootstrapConfiguration,
    reload: Callable[[BootstrapConfiguration], BootstrapConfiguration],
    make_extensions: ExtensionFactory | None = None,
) -> None:
    """Runs a proxy until it stops. `reload` reads the configuration again, given the one in force; `make_extensions`
    builds the extensions, if there are any.
    """
    asyncio.run(Proxy(bootstrap, reload, make_extensions).serve())
