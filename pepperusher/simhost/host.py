"""Hosts many isolated instances on one wire: a line read is a call on the decisions, an answer is a line
written."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator

from pepperusher.policy import Balancer
from pepperusher.simhost import wire
from pepperusher.simhost.wire import WireError, micros, millis, text, whole
from pepperusher.terms import AGAIN, BOUNCE, NOT_YET, SCRAP, UNKNOWN, Backend, Listing, Ticket

LIST_TIMER = 0
# One line of an inventory: address, zone, cell, weight, born, ready, kind, gone.
Line = tuple[str, str, int, float, int, bool, str, bool]


class Instance:
    """One proxy: its decisions, its tickets in hand and its timers."""

    def __init__(self, fields: dict[str, str], now: int) -> None:
        policy_settings = wire.read_settings(text("spawn", fields, "params"), whole("spawn", fields, "seed"))
        self.out: list[str] = []
        self.balancer = Balancer(policy_settings, now, self._say)
        self.use_cases = {use.name: use for use in policy_settings.use_cases}
        self.customers = {customer.name: customer for customer in policy_settings.customers}
        self.backends: dict[str, Backend] = {}  # grows with the fleet, not with tickets; dies with the instance
        self.tickets: dict[int, Ticket] = {}  # emptied when a ticket is over and no attempt is out
        self.held: dict[int, int] = {}  # timer to ticket, emptied as timers fall due
        self.last_ref = LIST_TIMER
        self.list_timer_set = False

    def _say(self, line: str) -> None:
        self.out.append(f"journal_line\tline={line}")

    def new_request(self, fields: dict[str, str], now: int) -> None:
        xid = whole("new_request", fields, "xid")
        grade = text("new_request", fields, "grade")
        use_case = self.use_cases.get(grade)
        if use_case is None:
            raise WireError(f"new_request: grade is not in the settings: {grade!r}")
        until = micros("new_request", fields, "give-up-at")
        cost = micros("new_request", fields, "work") if "work" in fields else 0
        ticket = Ticket(use_case, self.customers.get(fields.get("client-group", "")), now, until, cost)
        self.tickets[xid] = ticket
        self._place(xid, ticket, now)

    def _place(self, xid: int, ticket: Ticket, now: int) -> None:
        answer = self.balancer.choose_backend(ticket, now)
        if isinstance(answer, Backend):
            patience = millis(self.balancer.wait_time(ticket, now))
            self.out.append(f"place\txid={xid}\tpatience={patience}\tbackend={answer.address}")
        elif answer == NOT_YET:
            self.last_ref += 1
            self.held[self.last_ref] = xid
            due = millis(now + self.balancer.wait_time(ticket, now))
            self.out.append(f"sleep\tref={self.last_ref}\tmoment={due}")
        else:
            self._answer(xid, ticket, answer, now)

    def _answer(self, xid: int, ticket: Ticket, answer: int, now: int) -> None:
        if answer == AGAIN:
            self._place(xid, ticket, now)
            return
        if answer == BOUNCE:
            self.out.append(f"not_now\txid={xid}\tretry-after={millis(self.balancer.wait_time(ticket, now))}")
        elif answer == SCRAP:
            self.out.append(f"error\txid={xid}")
        self._settle(xid, ticket)

    def _settle(self, xid: int, ticket: Ticket) -> None:
        if ticket.finished and all(sent.ended is not None for sent in ticket.attempts):
            self.tickets.pop(xid, None)

    def settled(self, fields: dict[str, str], now: int) -> None:
        xid = whole("settled", fields, "xid")
        number = whole("settled", fields, "round-no")
        how = wire.HOW.get(text("settled", fields, "how"), UNKNOWN)
        ticket = self.tickets.get(xid)
        if ticket is None or number >= len(ticket.attempts):
            return
        sent = ticket.attempts[number]
        if sent.ended is None:
            if "load" in fields:
                self.balancer.record_load_report(sent.backend, wire.load(fields["load"]), now)
            self._answer(xid, ticket, self.balancer.attempt_ended(sent, how, fields.get("last") == "1", now), now)

    def first(self, fields: dict[str, str], now: int) -> None:
        ticket = self.tickets.get(whole("first", fields, "xid"))
        number = whole("first", fields, "round-no")
        if ticket is not None and number < len(ticket.attempts):
            self.balancer.response_started(ticket.attempts[number])

    def dropped(self, fields: dict[str, str], now: int) -> None:
        xid = whole("dropped", fields, "xid")
        ticket = self.tickets.get(xid)
        if ticket is None or ticket.finished:
            return
        self.balancer.caller_disconnected(ticket)
        if self.balancer.wait_time(ticket, now) == 0:
            for number, sent in enumerate(ticket.attempts):
                if sent.ended is None:
                    self.out.append(f"revoke\txid={xid}\tround-no={number}")
        self._settle(xid, ticket)

    def elapsed(self, fields: dict[str, str], now: int) -> None:
        ref = whole("elapsed", fields, "ref")
        if ref == LIST_TIMER:
            self.list_timer_set = False
            self._ask_for_list(now)
            return
        xid = self.held.pop(ref, None)
        ticket = self.tickets.get(xid) if xid is not None else None
        if ticket is not None and not ticket.finished:
            self._place(xid, ticket, now)

    def sync(self, lines: Iterable[Line] | None, whole_list: bool, now: int) -> None:
        if lines is None:
            self.balancer.endpoint_request_failed(now)
        else:
            self.balancer.update_endpoints([self._listing(line) for line in lines], whole_list, now)
        self._ask_for_list(now)

    def _listing(self, line: Line) -> Listing:
        address, *rest = line
        backend = self.backends.get(address)
        if backend is None:
            backend = self.backends[address] = Backend(address)
        return Listing(backend, *rest)

    def _ask_for_list(self, now: int) -> None:
        pause = self.balancer.wait_time(None, now)
        if pause == 0:
            self.out.append("watch\twant=1")
        elif pause > 0 and not self.list_timer_set:
            self.list_timer_set = True
            self.out.append(f"sleep\tref={LIST_TIMER}\tmoment={millis(now + pause)}")

    def unused(self, fields: dict[str, str], now: int) -> None:
        """Probe results and peers' messages: the decisions ask for neither."""


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
    """All instances of this process; they share the wire and nothing else."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.banks: dict[int, list[Line]] = {}  # sixteen numbers at the most, each replaced by the next list

    def replies(self, lines: Iterator[str]) -> Iterator[str]:
        for line in lines:
            if line == "\n":
                continue
            message, *parts = line.rstrip("\n").split("\t")
            if message != "begin_batch":
                raise WireError(f"{message}: comes where begin_batch was due")
            yield self._batch(lines, micros(message, wire.fields_of(message, parts), "ts"))

    def _batch(self, lines: Iterator[str], now: int) -> str:
        out: list[str] = []
        who = ""
        current: Instance | None = None
        for line in lines:
            plain, json_follows, params = line.rstrip("\n").partition("\tparams=")
            message, *parts = plain.split("\t")
            if message == "eob":
                self._collect(out, who, current)
                out.append("ack\n")
                return "\n".join(out)
            fields = wire.fields_of(message, parts)
            if json_follows:
                fields["params"] = params
            if message == "to":
                self._collect(out, who, current)
                who = text(message, fields, "who")
                current = self.instances.get(who)
            elif message == "inventory":
                self.banks[whole(message, fields, "bank")] = self._inventory(fields, lines)
            elif not who:
                raise WireError(f"{message}: comes before any to")
            elif message == "spawn":
                # A new start in the same batch: what the old one still had to say goes with it.
                current = self.instances[who] = Instance(fields, now)
            elif message == "power_off":
                self.instances.pop(who, None)
                current = None
            elif message == "sync":
                self._sync(fields, current, now)
            elif message in EVENTS:
                if current is not None:
                    self._decide(current, EVENTS[message], fields, now)
            else:
                raise WireError(f"{message}: is not a message of this wire")
        raise WireError("begin_batch: the input ends before eob")

    @staticmethod
    def _collect(out: list[str], who: str, current: Instance | None) -> None:
        if current is not None and current.out:
            out.append(f"speaking\twho={who}")
            out.extend(current.out)
            current.out.clear()

    @staticmethod
    def _inventory(fields: dict[str, str], lines: Iterator[str]) -> list[Line]:
        entries: list[Line] = []
        for _ in range(whole("inventory", fields, "elements")):
            message, *parts = next(lines, "").rstrip("\n").split("\t")
            if message != "m":
                raise WireError(f"inventory: elements: {message!r} stands where an m line was due")
            entry = wire.fields_of("m", parts)
            try:
                weight = float(entry.get("heft", "1"))
            except ValueError:
                raise WireError(f"m: heft is not a number: {entry['heft']!r}") from None
            entries.append(
                (
                    text("m", entry, "backend"),
                    entry.get("area", ""),
                    whole("m", entry, "group") if "group" in entry else 0,
                    weight if weight > 0 else 1.0,
                    micros("m", entry, "born") if "born" in entry else 0,
                    text("m", entry, "phase") == "IN",
                    entry.get("type", ""),
                    entry.get("phase") == "OUT",
                )
            )
        return entries

    def _sync(self, fields: dict[str, str], current: Instance | None, now: int) -> None:
        how = text("sync", fields, "how")
        if how not in ("delta", "full", "cached", "failed"):
            raise WireError(f"sync: how is not known: {how!r}")
        lines = None
        if how != "failed":
            bank = whole("sync", fields, "bank")
            if bank not in self.banks:
                raise WireError(f"sync: bank {bank} has not been given")
            lines = self.banks[bank]
        if current is not None:
            self._decide(current, Instance.sync, lines, how != "delta", now)

    @staticmethod
    def _decide(current: Instance, call: Callable[..., None], *given: object) -> None:
        try:
            call(current, *given)
        except WireError:
            raise
        except Exception as error:  # whatever a decision trips over ends the day in words, not in silence
            current.out.append(f"bail_out\tline={type(error).__name__}: {' '.join(str(error).split())}")
