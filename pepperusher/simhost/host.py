"""Hosts many isolated instances on one connection: each input line calls the decisions, and each result is a line."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from pepperusher.policy import Balancer
from pepperusher.simhost import wire
from pepperusher.simhost.wire import WireError, time_field, format_ms, text_field, integer_field
from pepperusher.terms import AGAIN, BOUNCE, NOT_YET, SCRAP, UNKNOWN, Backend, Listing, Ticket

LIST_TIMER = 0  # number of the timer for the next request for the endpoint list
# One endpoint of an inventory: address, zone, cell, weight, start time, ready, kind, gone.
InventoryEntry = tuple[str, str, int, float, int, bool, str, bool]


class Instance:
    """One simulated proxy: its decisions, open tickets and timers."""

    def __init__(self, fields: dict[str, str], now: int) -> None:
        policy_settings = wire.read_settings(
            text_field("spawn", fields, "params"), integer_field("spawn", fields, "seed")
        )
        self.output: list[str] = []
        self.balancer = Balancer(policy_settings, now, self._log)
        self.use_cases = {use_case.name: use_case for use_case in policy_settings.use_cases}
        self.customers = {customer.name: customer for customer in policy_settings.customers}
        self.backends: dict[str, Backend] = {}  # bounded by the fleet, not by the tickets
        self.tickets: dict[int, Ticket] = {}  # removed when a ticket is finished and has no attempt in flight
        self.timer_tickets: dict[int, int] = {}  # timer to ticket; removed when the timer fires
        self.last_timer = LIST_TIMER
        self.list_timer_set = False

    def _log(self, line: str) -> None:
        """Sends a log line of the decisions to the simulator."""
        self.output.append(f"journal_line\tline={line}")

    def new_request(self, fields: dict[str, str], now: int) -> None:
        """A client sent a request."""
        xid = integer_field("new_request", fields, "xid")
        grade = text_field("new_request", fields, "grade")
        use_case = self.use_cases.get(grade)
        if use_case is None:
            raise WireError(f"new_request: grade is not in the settings: {grade!r}")
        deadline = time_field("new_request", fields, "give-up-at")
        work_hint = time_field("new_request", fields, "work") if "work" in fields else 0
        ticket = Ticket(use_case, self.customers.get(fields.get("client-group", "")), now, deadline, work_hint)
        self.tickets[xid] = ticket
        self._place(xid, ticket, now)

    def _place(self, xid: int, ticket: Ticket, now: int) -> None:
        """Requests a decision for the ticket and sends it to the simulator."""
        decision = self.balancer.choose_backend(ticket, now)
        if isinstance(decision, Backend):
            timeout = format_ms(self.balancer.wait_time(ticket, now))
            self.output.append(f"place\txid={xid}\tpatience={timeout}\tbackend={decision.address}")
        elif decision == NOT_YET:
            self.last_timer += 1
            self.timer_tickets[self.last_timer] = xid
            due_ms = format_ms(now + self.balancer.wait_time(ticket, now))
            self.output.append(f"sleep\tref={self.last_timer}\tmoment={due_ms}")
        else:
            self._answer(xid, ticket, decision, now)

    def _answer(self, xid: int, ticket: Ticket, decision: int, now: int) -> None:
        """Sends the outcome of a ticket to the simulator, or places its next attempt."""
        if decision == AGAIN:
            self._place(xid, ticket, now)
            return
        if decision == BOUNCE:
            self.output.append(f"not_now\txid={xid}\tretry-after={format_ms(self.balancer.wait_time(ticket, now))}")
        elif decision == SCRAP:
            self.output.append(f"error\txid={xid}")
        self._remove_if_finished(xid, ticket)

    def _remove_if_finished(self, xid: int, ticket: Ticket) -> None:
        """Forgets the ticket if it is finished and has no attempt in flight."""
        if ticket.finished and all(attempt.outcome is not None for attempt in ticket.attempts):
            self.tickets.pop(xid, None)

    def settled(self, fields: dict[str, str], now: int) -> None:
        """An attempt ended."""
        xid = integer_field("settled", fields, "xid")
        attempt_number = integer_field("settled", fields, "round-no")
        outcome = wire.OUTCOMES.get(text_field("settled", fields, "how"), UNKNOWN)
        ticket = self.tickets.get(xid)
        if ticket is None or attempt_number >= len(ticket.attempts):
            return
        attempt = ticket.attempts[attempt_number]
        if attempt.outcome is None:
            if "load" in fields:
                self.balancer.record_load_report(attempt.backend, wire.parse_load_report(fields["load"]), now)
            self._answer(
                xid, ticket, self.balancer.attempt_ended(attempt, outcome, fields.get("last") == "1", now), now
            )

    def first(self, fields: dict[str, str], now: int) -> None:
        """The response to an attempt started."""
        ticket = self.tickets.get(integer_field("first", fields, "xid"))
        attempt_number = integer_field("first", fields, "round-no")
        if ticket is not None and attempt_number < len(ticket.attempts):
            self.balancer.response_started(ticket.attempts[attempt_number])

    def dropped(self, fields: dict[str, str], now: int) -> None:
        """A client disconnected."""
        xid = integer_field("dropped", fields, "xid")
        ticket = self.tickets.get(xid)
        if ticket is None or ticket.finished:
            return
        self.balancer.caller_disconnected(ticket)
        if self.balancer.wait_time(ticket, now) == 0:
            for number, attempt in enumerate(ticket.attempts):
                if attempt.outcome is None:
                    self.output.append(f"revoke\txid={xid}\tround-no={number}")
        self._remove_if_finished(xid, ticket)

    def elapsed(self, fields: dict[str, str], now: int) -> None:
        """A timer fired."""
        ref = integer_field("elapsed", fields, "ref")
        if ref == LIST_TIMER:
            self.list_timer_set = False
            self._request_list(now)
            return
        xid = self.timer_tickets.pop(ref, None)
        ticket = self.tickets.get(xid) if xid is not None else None
        if ticket is not None and not ticket.finished:
            self._place(xid, ticket, now)

    def sync(self, endpoints: Iterable[InventoryEntry] | None, whole_list: bool, now: int) -> None:
        """An endpoint update arrived, or the request for the list failed if `endpoints` is None."""
        if endpoints is None:
            self.balancer.endpoint_request_failed(now)
        else:
            self.balancer.update_endpoints([self._listing(endpoint) for endpoint in endpoints], whole_list, now)
        self._request_list(now)

    def _listing(self, endpoint: InventoryEntry) -> Listing:
        address, *rest = endpoint
        backend = self.backends.get(address)
        if backend is None:
            backend = self.backends[address] = Backend(address)
        return Listing(backend, *rest)

    def _request_list(self, now: int) -> None:
        """Requests the endpoint list, or sets a timer if the next request is due later."""
        delay = self.balancer.wait_time(None, now)
        if delay == 0:
            self.output.append("watch\twant=1")
        elif delay > 0 and not self.list_timer_set:
            self.list_timer_set = True
            self.output.append(f"sleep\tref={LIST_TIMER}\tmoment={format_ms(now + delay)}")

    def unused(self, fields: dict[str, str], now: int) -> None:
        """Ignores probe results and messages of other proxies; the decisions request neither."""


EVENTS: dict[str, Callable[[Instance, dict[str, str], int], None]] = {
    "new_request": Instance.new_request,
    "settled": Instance.settled,
    "first": Instance.first,
    "dropped": Instance.dropped,
    "elapsed": Instance.elapsed,
    "status_back": Instance.unused,
    "mail": Instance.unused,
}


class Host:
    """All instances of this process; they share only the connection to the simulator."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        # By number; sixteen at most, each replaced by the next list with its number.
        self.inventories: dict[int, list[InventoryEntry]] = {}

    def replies(self, lines: Iterator[str]) -> Iterator[str]:
        """Reads batches of input lines and yields a reply for each."""
        for line in lines:
            if line == "\n":
                continue
            message, *parts = line.rstrip("\n").split("\t")
            if message != "begin_batch":
                raise WireError(f"{message}: received where begin_batch was expected")
            yield self._batch(lines, time_field(message, wire.fields_of(message, parts), "ts"))

    def _batch(self, lines: Iterator[str], now: int) -> str:
        """Processes one batch of lines up to `eob`; returns the reply."""
        output: list[str] = []
        instance_name = ""
        current: Instance | None = None
        for line in lines:
            head, has_params, params = line.rstrip("\n").partition("\tparams=")
            message, *parts = head.split("\t")
            if message == "eob":
                self._collect(output, instance_name, current)
                output.append("ack\n")
                return "\n".join(output)
            fields = wire.fields_of(message, parts)
            if has_params:
                fields["params"] = params
            if message == "to":
                self._collect(output, instance_name, current)
                instance_name = text_field(message, fields, "who")
                current = self.instances.get(instance_name)
            elif message == "inventory":
                self.inventories[integer_field(message, fields, "bank")] = self._inventory(fields, lines)
            elif not instance_name:
                raise WireError(f"{message}: received before any to")
            elif message == "spawn":
                # A restart in the same batch discards the pending output of the old instance.
                current = self.instances[instance_name] = Instance(fields, now)
            elif message == "power_off":
                self.instances.pop(instance_name, None)
                current = None
            elif message == "sync":
                self._sync(fields, current, now)
            elif message in EVENTS:
                if current is not None:
                    self._decide(current, EVENTS[message], fields, now)
            else:
                raise WireError(f"{message}: is not a message of this protocol")
        raise WireError("begin_batch: the input ends before eob")

    @staticmethod
    def _collect(output: list[str], instance_name: str, current: Instance | None) -> None:
        """Moves the pending output of the instance to the reply."""
        if current is not None and current.output:
            output.append(f"speaking\twho={instance_name}")
            output.extend(current.output)
            current.output.clear()

    @staticmethod
    def _inventory(fields: dict[str, str], lines: Iterator[str]) -> list[InventoryEntry]:
        """Reads the entries of an endpoint list that follow an inventory line."""
        entries: list[InventoryEntry] = []
        for _ in range(integer_field("inventory", fields, "elements")):
            message, *parts = next(lines, "").rstrip("\n").split("\t")
            if message != "m":
                raise WireError(f"inventory: elements: {message!r} found where an m line was expected")
            entry = wire.fields_of("m", parts)
            try:
                weight = float(entry.get("heft", "1"))
            except ValueError:
                raise WireError(f"m: heft is not a number: {entry['heft']!r}") from None
            entries.append(
                (
                    text_field("m", entry, "backend"),
                    entry.get("area", ""),
                    integer_field("m", entry, "group") if "group" in entry else 0,
                    weight if weight > 0 else 1.0,
                    time_field("m", entry, "born") if "born" in entry else 0,
                    text_field("m", entry, "phase") == "IN",
                    entry.get("type", ""),
                    entry.get("phase") == "OUT",
                )
            )
        return entries

    def _sync(self, fields: dict[str, str], current: Instance | None, now: int) -> None:
        """Passes an endpoint update, or the failure of its request, to the instance."""
        how = text_field("sync", fields, "how")
        if how not in ("delta", "full", "cached", "failed"):
            raise WireError(f"sync: unknown how: {how!r}")
        entries = None
        if how != "failed":
            bank = integer_field("sync", fields, "bank")
            if bank not in self.inventories:
                raise WireError(f"sync: bank {bank} has not been sent")
            entries = self.inventories[bank]
        if current is not None:
            self._decide(current, Instance.sync, entries, how != "delta", now)

    @staticmethod
    def _decide(current: Instance, method: Callable[..., None], *arguments: object) -> None:
        """Calls an instance; reports an unexpected exception to the simulator."""
        try:
            method(current, *arguments)
        except WireError:
            raise
        # Reports any failure of a decision to the simulator, which would otherwise see no answer.
        except Exception as error:
            current.output.append(f"bail_out\tline={type(error).__name__}: {' '.join(str(error).split())}")
