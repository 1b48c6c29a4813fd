"""The script of a rehearsal: a TOML file that is parsed into typed tables and validated before any process starts.

The attributes have the names of the keys in the file; durations (`Span`) are whole microseconds. An invalid script raises
`ScriptError`, whose text is one line that names the key, so that users do not see a traceback.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, ClassVar, Literal

import msgspec

from pepperusher import table_conversion
from pepperusher.durations import Span

Fraction = float
MAX_BACKENDS = 2000
MAX_PROXIES = 500
MAX_ATTEMPTS = 3


class ScriptError(ValueError):
    """An invalid script; the text is one line that names the key."""


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the TOML file; an unknown key is an error."""


class Work(Table, kw_only=True):
    """The distribution of the work of a use case's tickets, in CPU time on one core of speed 1.

    `cv` is the coefficient of variation of a lognormal distribution.
    """

    mean: Span
    spread: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: float = 1.0


class UseCase(Table, kw_only=True):
    """One use case: its share of the load, the work of its tickets and its requirements.

    `promised` is the latency objective and `outer` the time after which an answer is worthless. An answer between the two
    earns `late_share` of the ticket's importance. `repeat` says whether a ticket may be sent again, `scope` among which
    backends a repeat is recognised, and `remembered` for how long. `body` is the size of the request body in bytes.
    """

    name: str
    share: Fraction = 1.0
    repeat: Literal["replayable", "referenced", "single-use"] = "replayable"
    scope: Literal["all", "zone", "cell"] = "cell"
    remembered: Span = Span(0)
    work: Work
    promised: Span
    outer: Span
    importance: float = 1.0
    late_share: Fraction = 0.0
    body: int = 0


class Customer(Table, kw_only=True):
    """One customer: its share of the load and its quota."""

    name: str
    share: Fraction = 1.0
    quota: float = 0.0


class Overload(Table, kw_only=True):
    """How a backend degrades under overload.

    After more than `at` tickets per core for `after`, the backend becomes `slower` times slower. It recovers when it has had
    no more than `below` tickets per core for `rest`, and after `most` at the latest.
    """

    at: float
    after: Span
    slower: float
    below: float = 0.5
    rest: Span
    most: Span = Span(30_000_000)


class Kind(Table, kw_only=True):
    """A kind of identical backends within a tier.

    `slots` and `queue` are per core: the tickets that run at once and that wait. A cold backend starts with the share
    `cold_from` of its speed and reaches the full speed after `warm_for`. `cancel` says for which tickets the backend stops
    when their sender closes the connection.
    """

    name: str
    count: int
    cores: int = 1
    speed: float = 1.0
    slots: int = 16
    queue: int = 32
    connections: int = 600
    handshake: Span = Span(0)
    idle: Span = Span(30_000_000)
    cold_from: Fraction = 1.0
    warm_for: Span = Span(0)
    cancel: Literal["all", "waiting", "none"] = "all"
    overload: Overload | None = None
    started: Literal["warm", "cold"] = "warm"


class Tier(Table, kw_only=True):
    """One service. `work` is the share of a ticket's work that is done in this tier, `calls` the mean number of calls that a
    ticket makes to the next tier."""

    name: str
    work: Fraction = 1.0
    calls: float = 0.0
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])
    cell: int = 4
    proxies: int = 1
    kinds: list[Kind]


class Phase(Table, kw_only=True):
    """A phase of the load with `rate` tickets per second; if `to` is set, the rate changes linearly from `rate` to `to`."""

    span: Span
    rate: float
    to: float | None = None
    arrivals: Literal["poisson", "even", "bursts"] = "poisson"
    burst: int = 10


class Surge(Table, kw_only=True, frozen=True):
    """Multiplies the rate of one customer or use case, or of all tickets, by `times` for `span`."""

    at: Span
    span: Span
    times: float
    customer: str | None = None
    use_case: str | None = None


class Trace(Table, kw_only=True):
    """A file of recorded tickets that are replayed in place of phases."""

    file: str
    form: Literal["json", "csv", "access"] = "json"
    speed: float = 1.0
    columns: dict[str, str] = {}


class Load(Table, kw_only=True):
    """The behaviour of the clients.

    With `users` = 0 the load is open-loop. Otherwise it is closed-loop: that many users, each of which sends its next ticket
    when it has the answer to the last one. `day` is a list of rates at even distances over the span, with linear interpolation.
    A client makes up to `retries` further attempts after `backoff`, waits `patience` times the use case's `outer` for each, and
    follows a Retry-After with probability `honours`; `leave` is the share of attempts that clients abandon early. `hints` says
    whether requests announce their expected work, and `notice` how long the front load balancer takes to notice that a proxy
    has stopped or come back. The generator counts a send as late after `late`, and a pause of its own as a stall after `stall`.
    """

    phases: list[Phase] = []
    surges: list[Surge] = []
    day: list[float] = []
    trace: Trace | None = None
    users: int = 0
    retries: int = 0
    patience: Fraction = 1.0
    backoff: Span = Span(0)
    honours: Fraction = 1.0
    connections: Literal["kept", "new"] = "kept"
    leave: Fraction = 0.0
    processes: int = 1
    hints: bool = True
    notice: Span = Span(1_000_000)
    late: Span = Span(1_000)
    stall: Span = Span(50_000)
    # The share of tickets that are sent on connections that are still open to proxies that have received SIGTERM.
    stays: Fraction = 0.0
    # One in fifteen proxies gets this multiple of the mean load; the others share the rest evenly.
    uneven: float = 1.0


class Discovery(Table, kw_only=True):
    """The delay with which discovery reports a change: `notice`, and for each proxy a further fixed delay of up to `spread`.

    `silent` replaces `notice` for backends that end without being planned to; 0 means that it is the same.
    """

    notice: Span = Span(500_000)
    spread: Span = Span(0)
    silent: Span = Span(0)


class Rules(Table, kw_only=True):
    """The limits of the four rules, and the limits that the proxies have in their configuration."""

    # Former keys, which are accepted for one more version, and their present names.
    FORMER: ClassVar[dict[str, str]] = {"most_transmissions": "most_attempts"}

    drain_grace: Span = Span(500_000)
    tip_multiple: float = 3.0
    tip_for: Span = Span(3_000_000)
    slack: Span = Span(50_000)
    most_attempts: int = 3
    cancel: bool = True
    advice: bool = True
    longest_advice: Span = Span(2_000_000)
    passes_limit: bool = True
    connect_within: Span = Span(100_000)
    ask_within: Span = Span(10_000_000)


class Grouped(Table, kw_only=True):
    """Makes the proxies members of one group, connected by simulated links.

    `period` and `within` are written to the proxies' [group] tables; `seeds` is the number of members that each proxy knows
    at its start.
    """

    period: Span = Span(200_000)
    within: Span = Span(60_000)
    seeds: int = 2


class Proxies(Table, kw_only=True):
    """How the real `serve` processes are run.

    `own` names a configuration file for the proxies of the first tier, relative to the script; HERE in it stands for the
    working directory of the proxy. `console` opens the operators' console of each proxy; in a group it is always open.
    """

    group: Grouped | None = None
    console: bool = False
    sockets: int = 1024
    memory_mb: int = 192
    optimised: bool = True
    own: str | None = None


FaultKind = Literal[
    "freeze",
    "silent",
    "slow",
    "errors",
    "reset",
    "garble",
    "lost",
    "refuse",
    "half-answer",
    "idle-drop",
    "drain",
    "kill",
    "restart",
    "proxy-term",
    "proxy-kill",
    "proxy-hup",
    "proxy-stop",
    "proxy-starve",
    "proxy-twin",
    "proxy-hand",
    "disk-full",
    "disk-gone",
    "disk-old",
    "link-part",
    "link-cut",
    "link-bad",
    "discovery-down",
    "discovery-late",
    "discovery-moved",
    "discovery-back",
    "discovery-full",
    "discovery-silent",
    "watches-silent",
    "new-ids",
    "pause-generator",
]
# The faults by target: backends, proxies and links between proxies.
BACKEND_FAULTS = frozenset(
    (
        "freeze",
        "silent",
        "slow",
        "errors",
        "reset",
        "garble",
        "lost",
        "refuse",
        "half-answer",
        "idle-drop",
        "drain",
        "kill",
        "restart",
        "new-ids",
    )
)
PROXY_FAULTS = frozenset(
    (
        "proxy-term",
        "proxy-kill",
        "proxy-hup",
        "proxy-stop",
        "proxy-starve",
        "proxy-twin",
        "proxy-hand",
        "disk-full",
        "disk-gone",
        "disk-old",
    )
)
LINK_FAULTS = frozenset(("link-part", "link-cut", "link-bad"))


class Link(Table, kw_only=True):
    """Impairments of the link from one proxy to another.

    `lost`, `twice` and `damaged` are shares of the datagrams, `delay` and `jitter` their latency. Datagrams are truncated to
    `size` bytes and limited to `rate` bytes per second.
    """

    lost: Fraction = 0.0
    twice: Fraction = 0.0
    damaged: Fraction = 0.0
    delay: Span = Span(0)
    jitter: Span = Span(0)
    size: int = 0
    rate: float = 0.0


class Fault(Table, kw_only=True):
    """One injected fault. `tier`, `zone`, `kind` and `names` select backends; `count` or `part` limits how many are affected.

    With `flap` the fault alternates between active and inactive, each for that long. `every` and `times` repeat it.
    `apart` is the time between the targets, and `back` the time until a stopped target starts again. `by` is the
    slow-down factor, the share of affected answers (1.0 is all) or the delay; for proxy-starve it is the share of the
    CPU that the proxy keeps. `sides` are lists of names of proxies: partitions that cannot reach each other
    (link-part), or the senders and the receivers of a link that passes nothing (link-cut) or is impaired as `link` says
    (link-bad). Without a group the proxies exchange no messages, so link faults have no effect.
    """

    what: FaultKind
    at: Span
    span: Span = Span(0)
    tier: str | None = None
    zone: str | None = None
    kind: str | None = None
    names: list[str] = []
    count: int | None = None
    part: Fraction | None = None
    by: float | None = None
    use_case: str | None = None
    flap: Span = Span(0)
    every: Span = Span(0)
    times: int = 1
    apart: Span = Span(0)
    back: Span = Span(0)
    sides: list[list[str]] = []
    link: Link | None = None


class Chance(Table, kw_only=True):
    """Random faults drawn from the seed: on average one per `every`, of the kinds in `of`, with a mean duration of `span`."""

    every: Span
    of: list[FaultKind]
    span: Span = Span(5_000_000)
    part: Fraction = 0.15
    tier: str | None = None
    by: float = 4.0


class Script(Table, kw_only=True):
    """The root table: a whole rehearsal. `warm_up` is excluded from the statistics; `window` is the length of the worst window."""

    title: str
    seed: int = 1
    span: Span
    warm_up: Span = Span(0)
    window: Span = Span(10_000_000)
    processes: int = 1
    use_cases: list[UseCase]
    customers: list[Customer] = []
    tiers: list[Tier]
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    rules: Rules = msgspec.field(default_factory=Rules)
    proxies: Proxies = msgspec.field(default_factory=Proxies)
    load: Load
    faults: list[Fault] = []
    chances: list[Chance] = []
    folder: str = "."


def encode(value: Any) -> bytes:
    """Encodes a table as JSON for `decode`; the encoding is deterministic."""
    return msgspec.json.encode(value, enc_hook=table_conversion.hook, order="deterministic")


def decode(data: bytes, table_type: type = Script) -> Any:
    """Decodes a table from the JSON that `encode` writes."""
    return msgspec.json.decode(data, type=table_type, dec_hook=table_conversion.unhook)


def convert(document: Any, table_type: type) -> Any:
    """Converts a parsed TOML document into a table. Raises ScriptError that names the first invalid key."""
    table, problems = table_conversion.converted(table_conversion.renamed(document, table_type), table_type)
    if problems:
        raise ScriptError(f"{problems[0].key or 'the file'}: {problems[0].what}")
    return table


def load_toml(path: str | Path) -> dict[str, Any]:
    """Parses a TOML file. Raises ScriptError if it cannot be read."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ScriptError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: is not TOML: {error}") from None


def load_with_bases(path: Path) -> dict[str, Any]:
    """Loads a script and merges it over the file that its key `like` names, if any, and so on.

    Tables are merged key by key; a list replaces the list of the base as a whole. Raises ScriptError.
    """
    document = load_toml(path)
    visited = {path.resolve()}
    current = path
    while (base := document.pop("like", None)) is not None:
        if not isinstance(base, str):
            raise ScriptError(f"{current}: like: is not a file name")
        current = current.parent / base
        if current.resolve() in visited:
            raise ScriptError(f"{path}: like: circular reference to {base}")
        visited.add(current.resolve())
        document = _merge_over(load_toml(current), document)
    return document


def _merge_over(base: dict[str, Any], overriding: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in overriding.items():
        base_value = base.get(key)
        merged[key] = (
            _merge_over(base_value, value) if isinstance(value, dict) and isinstance(base_value, dict) else value
        )
    return merged


def read(path: str | Path) -> Script:
    """Reads and validates a script. Raises ScriptError with a line that names the file and the key."""
    document = load_with_bases(Path(path))
    try:
        script = build_script(document)
    except ScriptError as error:
        raise ScriptError(f"{path}: {error}") from None
    script.folder = str(Path(path).resolve().parent)
    return script


def build_script(document: dict[str, Any]) -> Script:
    """Converts and validates a parsed script. Raises ScriptError naming the key."""
    script: Script = convert(document, Script)
    check(script)
    return script


def _require(holds: bool, key: str, problem: str) -> None:
    if not holds:
        raise ScriptError(f"{key}: {problem}")


def _require_unique_names(names: list[str], key: str) -> None:
    for name in names:
        _require(
            bool(re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*", name)),
            key,
            f"{name!r} is not a valid name: it starts with a letter or digit, followed by letters, digits and . _ -",
        )
        _require(names.count(name) == 1, key, f"{name} is listed twice")


def check(script: Script) -> None:
    """Validates what the types cannot express. Raises ScriptError naming the key."""
    _require(0 < script.span <= 3_600_000_000, "span", "is not from 1us to 1h")
    _require(script.warm_up < script.span, "warm_up", "is not shorter than the span")
    _require(script.window > 0, "window", "is 0")
    _require(1 <= script.processes <= 32, "processes", "is not from 1 to 32")
    _require(bool(script.use_cases), "use_cases", "is empty")
    _require_unique_names([use.name for use in script.use_cases], "use_cases")
    for number, use in enumerate(script.use_cases):
        key = f"use_cases[{number}]"
        _require(use.share > 0, f"{key}.share", "is not over 0")
        _require(0 < use.promised <= use.outer, f"{key}.promised", "is not over 0 and within outer")
        _require(
            use.repeat != "referenced" or use.remembered > 0,
            f"{key}.remembered",
            "missing: a referenced use case needs the time for which a repeat is recognised",
        )
        _require(0 <= use.body <= 65536, f"{key}.body", "is not from 0 to 65536 bytes")
        _require(
            not use.body or use.repeat != "replayable",
            f"{key}.body",
            "a replayable use case is a GET, which has no body",
        )
        _require(0 <= use.late_share <= 1, f"{key}.late_share", "is not from 0 to 1")
        _require(use.work.cv > 0, f"{key}.work.cv", "is not over 0")
        _require(
            use.repeat != "referenced" or use.scope == "cell" or script.processes == 1,
            f"{key}.scope",
            f"{use.scope} needs processes = 1: backends that recognise repeats together run in one process",
        )
    _require_unique_names([customer.name for customer in script.customers], "customers")
    for number, customer in enumerate(script.customers):
        _require(customer.share > 0, f"customers[{number}].share", "is not over 0")
    _check_tiers(script)
    _check_load(script)
    _check_faults(script)
    _require(
        1 <= script.rules.most_attempts <= MAX_ATTEMPTS,
        "rules.most_attempts",
        f"is not from 1 to {MAX_ATTEMPTS}: the requirements allow no more",
    )
    _require(64 <= script.proxies.sockets <= 1_000_000, "proxies.sockets", "is not from 64 to 1000000")


def _check_tiers(script: Script) -> None:
    _require(bool(script.tiers), "tiers", "is empty")
    _require_unique_names([tier.name for tier in script.tiers], "tiers")
    for number, tier in enumerate(script.tiers):
        key = f"tiers[{number}]"
        _require(bool(tier.kinds), f"{key}.kinds", "is empty")
        _require_unique_names([kind.name for kind in tier.kinds], f"{key}.kinds")
        _require(bool(tier.zones), f"{key}.zones", "is empty")
        _require(1 <= tier.cell <= 1000, f"{key}.cell", "is not from 1 to 1000 backends")
        _require(tier.work >= 0, f"{key}.work", "is under 0")
        last = number == len(script.tiers) - 1
        _require(tier.calls >= 0, f"{key}.calls", "is under 0")
        _require(not last or tier.calls == 0, f"{key}.calls", "the last tier has no next tier to call")
        _require(last or tier.calls > 0, f"{key}.calls", "missing: without calls the next tier gets no tickets")
        _require(0 <= tier.proxies <= MAX_PROXIES, f"{key}.proxies", f"is not from 0 to {MAX_PROXIES}")
        for kind_number, kind in enumerate(tier.kinds):
            kind_key = f"{key}.kinds[{kind_number}]"
            _require(kind.count >= 1, f"{kind_key}.count", "is not 1 or more")
            _require(kind.cores >= 1, f"{kind_key}.cores", "is not 1 or more")
            _require(kind.speed > 0, f"{kind_key}.speed", "is not over 0")
            _require(kind.slots >= 1 and kind.queue >= 0, f"{kind_key}.slots", "is under 1, or queue is under 0")
            _require(0 < kind.cold_from <= 1, f"{kind_key}.cold_from", "is not over 0 and up to 1")
            _require(
                kind.cold_from == 1 or kind.warm_for > 0,
                f"{kind_key}.warm_for",
                "missing: a cold backend needs a warm-up time",
            )
            _require(kind.overload is None or kind.overload.slower >= 1, f"{kind_key}.overload.slower", "is under 1")
    backends = sum(kind.count for tier in script.tiers for kind in tier.kinds)
    _require(backends <= MAX_BACKENDS, "tiers", f"{backends} backends are over {MAX_BACKENDS}")
    zones = {zone for tier in script.tiers for zone in tier.zones}
    _require(len(zones) <= 50, "tiers", "over 50 zones")


def _check_load(script: Script) -> None:
    load = script.load
    _require(
        bool(load.phases) + bool(load.day) + (load.trace is not None) + bool(load.users) == 1,
        "load",
        "needs exactly one of phases, day, trace and users",
    )
    for number, phase in enumerate(load.phases):
        _require(phase.span > 0, f"load.phases[{number}].span", "is 0")
        _require(
            phase.rate >= 0 and (phase.to is None or phase.to >= 0),
            f"load.phases[{number}].rate",
            "is under 0",
        )
        _require(phase.burst >= 1, f"load.phases[{number}].burst", "is not 1 or more")
    _require(all(rate >= 0 for rate in load.day), "load.day", "a rate is under 0")
    for number, surge in enumerate(load.surges):
        key = f"load.surges[{number}]"
        _require(surge.times >= 0, f"{key}.times", "is under 0")
        _require_known(surge.customer, [customer.name for customer in script.customers], f"{key}.customer")
        _require_known(surge.use_case, [use.name for use in script.use_cases], f"{key}.use_case")
    _require(0 <= load.retries <= 10, "load.retries", "is not from 0 to 10")
    _require(0 < load.patience <= 1, "load.patience", "is not over 0 and up to 1")
    _require(0 <= load.honours <= 1, "load.honours", "is not from 0 to 1")
    _require(0 <= load.leave <= 1, "load.leave", "is not from 0 to 1")
    _require(0 <= load.stays <= 1, "load.stays", "is not from 0 to 1")
    _require(1 <= load.uneven < 15, "load.uneven", "is not from 1 to under 15")
    _require(1 <= load.processes <= 16, "load.processes", "is not from 1 to 16")
    _require(0 <= load.users <= 10_000, "load.users", "is not from 0 to 10000")
    _require(load.trace is None or load.trace.speed > 0, "load.trace.speed", "is not over 0")


def _require_known(name: str | None, names: list[str], key: str) -> None:
    if name is not None and name not in names:
        raise ScriptError(f"{key}: there is no {name}{table_conversion.nearest(name, names)}")


def _check_group_fault(script: Script, fault: Fault, key: str) -> None:
    is_link_fault = fault.what in LINK_FAULTS
    _require(
        script.proxies.group is not None or fault.what != "proxy-twin",
        f"{key}.what",
        "needs proxies.group: without a group proxies have no names",
    )
    _require(
        fault.what != "proxy-hand" or script.proxies.console or script.proxies.group is not None,
        f"{key}.what",
        "needs proxies.console: clients are sent away by a console command",
    )
    _require(is_link_fault or not fault.sides and fault.link is None, f"{key}.sides", f"does not apply to {fault.what}")
    if fault.what == "proxy-starve":
        _require(fault.by is not None and 0 < fault.by < 1, f"{key}.by", "is not over 0 and under 1")
    if not is_link_fault:
        return
    side_count = len(fault.sides)
    _require(
        side_count >= 2 if fault.what == "link-part" else side_count == 2,
        f"{key}.sides",
        "are not two (two or more for link-part)",
    )
    first_tier_proxies = [f"p{number + 1}" for number in range(script.tiers[0].proxies)]
    for name in (name for side in fault.sides for name in side):
        if not name.startswith("p-"):  # proxies of lower tiers have names that start with p-
            _require_known(name, first_tier_proxies, f"{key}.sides")
    _require(
        (fault.what == "link-bad") == (fault.link is not None),
        f"{key}.link",
        "is required for link-bad and not allowed for other faults",
    )


def _check_faults(script: Script) -> None:
    tiers = [tier.name for tier in script.tiers]
    zones = sorted({zone for tier in script.tiers for zone in tier.zones})
    kinds = sorted({kind.name for tier in script.tiers for kind in tier.kinds})
    use_cases = [use.name for use in script.use_cases]
    for number, fault in enumerate(script.faults):
        key = f"faults[{number}]"
        _require_known(fault.tier, tiers, f"{key}.tier")
        _require_known(fault.zone, zones, f"{key}.zone")
        _require_known(fault.kind, kinds, f"{key}.kind")
        _require_known(fault.use_case, use_cases, f"{key}.use_case")
        _require(fault.at < script.span, f"{key}.at", "is after the end")
        _require(fault.count is None or fault.part is None, f"{key}.count", "cannot be combined with part")
        _require(fault.count is None or fault.count >= 1, f"{key}.count", "is not 1 or more")
        _require(fault.part is None or 0 < fault.part <= 1, f"{key}.part", "is not over 0 and up to 1")
        _require(1 <= fault.times <= 1000, f"{key}.times", "is not from 1 to 1000")
        _require(fault.times == 1 or fault.every > 0, f"{key}.every", "missing: needed with times")
        _require(
            fault.what not in ("errors", "reset", "garble", "lost", "half-answer")
            or fault.by is None
            or 0 < fault.by <= 1,
            f"{key}.by",
            "is not over 0 and up to 1",
        )
        _require(fault.what != "slow" or (fault.by or 2) >= 1, f"{key}.by", "is under 1, which would be a speed-up")
        lasting_faults = BACKEND_FAULTS - {"kill", "restart", "drain", "new-ids"} | {
            "discovery-down",
            "discovery-late",
            "discovery-full",
            "discovery-silent",
        }
        lasting_faults |= {
            "proxy-stop",
            "proxy-starve",
            "proxy-twin",
            "proxy-hand",
            "disk-full",
            "disk-gone",
        } | LINK_FAULTS
        _check_group_fault(script, fault, key)
        _require(
            fault.what not in lasting_faults or fault.span > 0, f"{key}.span", "missing: this fault needs a duration"
        )
        _require(not fault.flap or fault.what in lasting_faults, f"{key}.flap", f"{fault.what} cannot flap")
    for number, chance in enumerate(script.chances):
        key = f"chances[{number}]"
        _require(not LINK_FAULTS & set(chance.of), f"{key}.of", "link faults cannot be random: they need sides")
        _require_known(chance.tier, tiers, f"{key}.tier")
        _require(chance.every > 0, f"{key}.every", "is 0")
        _require(bool(chance.of), f"{key}.of", "is empty")
        _require(0 < chance.part <= 1, f"{key}.part", "is not over 0 and up to 1")
        _require("pause-generator" not in chance.of, f"{key}.of", "pause-generator cannot be random")
