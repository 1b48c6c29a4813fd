"""The script of a rehearsal: a TOML file read into typed values and checked whole, before anything starts.

Every value is in its file's words; spans become whole microseconds. What is wrong is said in one line that
names the key (`ScriptError`), never by a traceback.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, ClassVar, Literal

import msgspec

from pepperusher import table_conversion
from pepperusher.durations import Span

Share = float
MOST_BACKENDS = 2000
MOST_PROXIES = 500
MOST_ATTEMPTS = 3


class ScriptError(ValueError):
    """A script that can't be played; its text is one line naming the key."""


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file: a key it does not know is an error."""


class Work(Table, kw_only=True):
    """How the work of a use case is drawn, in time on one core of speed 1."""

    mean: Span
    spread: Literal["fixed", "exponential", "lognormal"] = "exponential"
    cv: float = 1.0


class UseCase(Table, kw_only=True):
    """One use case: its part of the load, its work and its terms."""

    name: str
    share: Share = 1.0
    repeat: Literal["replayable", "referenced", "single-use"] = "replayable"
    scope: Literal["all", "zone", "cell"] = "cell"
    remembered: Span = Span(0)
    work: Work
    promised: Span
    outer: Span
    importance: float = 1.0
    late_share: Share = 0.0
    body: int = 0


class Customer(Table, kw_only=True):
    name: str
    share: Share = 1.0
    quota: float = 0.0


class Overload(Table, kw_only=True):
    """Beyond `at` tickets a core for `after`, the backend turns `slower` times slower until it has had no
    more than `below` a core for `rest`, or for `most`."""

    at: float
    after: Span
    slower: float
    below: float = 0.5
    rest: Span
    most: Span = Span(30_000_000)


class Kind(Table, kw_only=True):
    """Backends of one kind within a tier."""

    name: str
    count: int
    cores: int = 1
    speed: float = 1.0
    slots: int = 16
    queue: int = 32
    connections: int = 600
    handshake: Span = Span(0)
    idle: Span = Span(30_000_000)
    cold_from: Share = 1.0
    warm_for: Span = Span(0)
    cancel: Literal["all", "waiting", "none"] = "all"
    overload: Overload | None = None
    started: Literal["warm", "cold"] = "warm"


class Tier(Table, kw_only=True):
    """One service. `work` is its part of a ticket's work, `calls` the mean number of calls to the next
    tier."""

    name: str
    work: Share = 1.0
    calls: float = 0.0
    zones: list[str] = msgspec.field(default_factory=lambda: ["here"])
    cell: int = 4
    proxies: int = 1
    kinds: list[Kind]


class Phase(Table, kw_only=True):
    """A part of the load: `rate` tickets a second, going over evenly to `to` where that stands."""

    span: Span
    rate: float
    to: float | None = None
    arrivals: Literal["poisson", "even", "bursts"] = "poisson"
    burst: int = 10


class Surge(Table, kw_only=True, frozen=True):
    """One customer or use case (or all) at `times` its rate for a while."""

    at: Span
    span: Span
    times: float
    customer: str | None = None
    use_case: str | None = None


class Trace(Table, kw_only=True):
    """Recorded tickets in place of phases."""

    file: str
    form: Literal["json", "csv", "access"] = "json"
    speed: float = 1.0
    columns: dict[str, str] = {}


class Load(Table, kw_only=True):
    """What clients do. `users` of 0 is open loop; else so many users, each asking again once it has its
    answer."""

    phases: list[Phase] = []
    surges: list[Surge] = []
    day: list[float] = []
    trace: Trace | None = None
    users: int = 0
    retries: int = 0
    patience: Share = 1.0
    backoff: Span = Span(0)
    honours: Share = 1.0
    connections: Literal["kept", "new"] = "kept"
    leave: Share = 0.0
    processes: int = 1
    hints: bool = True
    notice: Span = Span(1_000_000)
    late: Span = Span(1_000)
    stall: Span = Span(50_000)
    # So many tickets go on open connections of proxies that were told to stop, while these stand.
    stays: Share = 0.0
    # One in fifteen proxies gets so many times the mean, of what is left the others get even parts.
    uneven: float = 1.0


class Discovery(Table, kw_only=True):
    """How late the list tells of a change; each proxy at a time of its own, up to `spread` later still."""

    notice: Span = Span(500_000)
    spread: Span = Span(0)
    silent: Span = Span(0)


class Rules(Table, kw_only=True):
    """The figures of the four rules and what proxies are allowed, as in their settings."""

    FORMER: ClassVar[dict[str, str]] = {"most_transmissions": "most_attempts"}  # for one more version

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
    """The proxies are members of one group, with links of the rehearsal's own between them. `seeds` is how many each is told
    of."""

    period: Span = Span(200_000)
    within: Span = Span(60_000)
    seeds: int = 2


class Proxies(Table, kw_only=True):
    """How the real `serve` processes are run. `own` is an own file for those of the first tier, beside the script, and HERE in
    it the folder that a proxy's seat keeps; `console` whether operators can call each, as they can where there is a group."""

    group: Grouped | None = None
    console: bool = False
    sockets: int = 1024
    memory_mb: int = 192
    optimised: bool = True
    own: str | None = None


WHAT = Literal[
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
OF_BACKENDS = frozenset(
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
OF_PROXIES = frozenset(
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
OF_LINKS = frozenset(("link-part", "link-cut", "link-bad"))


class Link(Table, kw_only=True):
    """What befalls what one proxy sends another: shares that are lost, doubled, damaged; how late, by how much more; the
    bytes that a datagram is cut to; bytes a second."""

    lost: Share = 0.0
    twice: Share = 0.0
    damaged: Share = 0.0
    delay: Span = Span(0)
    jitter: Span = Span(0)
    size: int = 0
    rate: float = 0.0


class Fault(Table, kw_only=True):
    """One trouble. It strikes backends that `tier`, `zone`, `kind` and `names` leave, `count` of them or a
    `part`.

    `flap` turns it on and off in turn, each for so long. `every` repeats it. `by` is how many times slower,
    or of how many answers it strikes (1.0 is all), or how late; for proxy-starve the part of its processor that it has.
    `sides` are names of proxies: of those who no longer reach each other (link-part), or from whom to whom nothing
    passes (link-cut), or passes as `link` says (link-bad); where no proxy speaks to another, none of it is noticed.
    """

    what: WHAT
    at: Span
    span: Span = Span(0)
    tier: str | None = None
    zone: str | None = None
    kind: str | None = None
    names: list[str] = []
    count: int | None = None
    part: Share | None = None
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
    """Faults drawn from the seed: about one in `every`, of the kinds named, each for `span` at the mean."""

    every: Span
    of: list[WHAT]
    span: Span = Span(5_000_000)
    part: Share = 0.15
    tier: str | None = None
    by: float = 4.0


class Script(Table, kw_only=True):
    """A whole rehearsal."""

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
    """A table as JSON that `decode` reads; the same value gives the same bytes."""
    return msgspec.json.encode(value, enc_hook=table_conversion.hook, order="deterministic")


def decode(data: bytes, kind: type = Script) -> Any:
    return msgspec.json.decode(data, type=kind, dec_hook=table_conversion.unhook)


def convert(raw: Any, kind: type) -> Any:
    """A table from what a TOML file holds. Raises ScriptError naming the first key that is wrong."""
    made, wrong = table_conversion.converted(table_conversion.renamed(raw, kind), kind)
    if wrong:
        raise ScriptError(f"{wrong[0].key or 'the file'}: {wrong[0].what}")
    return made


def load_toml(path: str | Path) -> dict[str, Any]:
    """A TOML file as it stands. Raises ScriptError."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ScriptError(f"{path}: {error.strerror or error}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: is not TOML: {error}") from None


def load_with_bases(path: Path) -> dict[str, Any]:
    """A script's file with those that it is `like` beneath it: a table takes what it does not say itself from
    there, a list stands as a whole. Raises ScriptError."""
    raw = load_toml(path)
    seen = {path.resolve()}
    at = path
    while (like := raw.pop("like", None)) is not None:
        if not isinstance(like, str):
            raise ScriptError(f"{at}: like: is no name of a file")
        at = at.parent / like
        if at.resolve() in seen:
            raise ScriptError(f"{path}: like: comes back to {like}")
        seen.add(at.resolve())
        raw = _over(load_toml(at), raw)
    return raw


def _over(beneath: dict[str, Any], raw: dict[str, Any]) -> dict[str, Any]:
    merged = dict(beneath)
    for key, value in raw.items():
        below = beneath.get(key)
        merged[key] = _over(below, value) if isinstance(value, dict) and isinstance(below, dict) else value
    return merged


def read(path: str | Path) -> Script:
    """The script in a file. Raises ScriptError with a line that names the file and the key."""
    raw = load_with_bases(Path(path))
    try:
        script = build_script(raw)
    except ScriptError as error:
        raise ScriptError(f"{path}: {error}") from None
    script.folder = str(Path(path).resolve().parent)
    return script


def build_script(raw: dict[str, Any]) -> Script:
    script: Script = convert(raw, Script)
    check(script)
    return script


def _need(truth: bool, key: str, what: str) -> None:
    if not truth:
        raise ScriptError(f"{key}: {what}")


def _distinct(names: list[str], key: str) -> None:
    for name in names:
        _need(
            bool(re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]*", name)),
            key,
            f"{name!r} is no name: letters, digits, and . _ - after the first",
        )
        _need(names.count(name) == 1, key, f"{name} stands twice")


def check(script: Script) -> None:
    """What types alone do not say. Raises ScriptError naming the key."""
    _need(0 < script.span <= 3_600_000_000, "span", "is not from 1us to 1h")
    _need(script.warm_up < script.span, "warm_up", "leaves nothing of the span")
    _need(script.window > 0, "window", "is 0")
    _need(1 <= script.processes <= 32, "processes", "is not from 1 to 32")
    _need(bool(script.use_cases), "use_cases", "there is none")
    _distinct([use.name for use in script.use_cases], "use_cases")
    for number, use in enumerate(script.use_cases):
        key = f"use_cases[{number}]"
        _need(use.share > 0, f"{key}.share", "is not over 0")
        _need(0 < use.promised <= use.outer, f"{key}.promised", "is not over 0 and within outer")
        _need(
            use.repeat != "referenced" or use.remembered > 0,
            f"{key}.remembered",
            "missing: a referenced use case needs how long a repeat is known",
        )
        _need(0 <= use.body <= 65536, f"{key}.body", "is not from 0 to 65536 bytes")
        _need(
            not use.body or use.repeat != "replayable",
            f"{key}.body",
            "a replayable use case is a GET without one",
        )
        _need(0 <= use.late_share <= 1, f"{key}.late_share", "is not from 0 to 1")
        _need(use.work.cv > 0, f"{key}.work.cv", "is not over 0")
        _need(
            use.repeat != "referenced" or use.scope == "cell" or script.processes == 1,
            f"{key}.scope",
            f"{use.scope} needs processes = 1: a group that knows a repeat stands in one process",
        )
    _distinct([one.name for one in script.customers], "customers")
    for number, one in enumerate(script.customers):
        _need(one.share > 0, f"customers[{number}].share", "is not over 0")
    _check_tiers(script)
    _check_load(script)
    _check_faults(script)
    _need(
        1 <= script.rules.most_attempts <= MOST_ATTEMPTS,
        "rules.most_attempts",
        f"is not from 1 to {MOST_ATTEMPTS}: the brief allows no more",
    )
    _need(64 <= script.proxies.sockets <= 1_000_000, "proxies.sockets", "is not from 64 to 1000000")


def _check_tiers(script: Script) -> None:
    _need(bool(script.tiers), "tiers", "there is none")
    _distinct([tier.name for tier in script.tiers], "tiers")
    for number, tier in enumerate(script.tiers):
        key = f"tiers[{number}]"
        _need(bool(tier.kinds), f"{key}.kinds", "there is none")
        _distinct([kind.name for kind in tier.kinds], f"{key}.kinds")
        _need(bool(tier.zones), f"{key}.zones", "there is none")
        _need(1 <= tier.cell <= 1000, f"{key}.cell", "is not from 1 to 1000 backends")
        _need(tier.work >= 0, f"{key}.work", "is under 0")
        last = number == len(script.tiers) - 1
        _need(tier.calls >= 0, f"{key}.calls", "is under 0")
        _need(not last or tier.calls == 0, f"{key}.calls", "the last tier has none to call")
        _need(last or tier.calls > 0, f"{key}.calls", "missing: without calls the next tier has nothing to do")
        _need(0 <= tier.proxies <= MOST_PROXIES, f"{key}.proxies", f"is not from 0 to {MOST_PROXIES}")
        for place, kind in enumerate(tier.kinds):
            at = f"{key}.kinds[{place}]"
            _need(kind.count >= 1, f"{at}.count", "is not 1 or more")
            _need(kind.cores >= 1, f"{at}.cores", "is not 1 or more")
            _need(kind.speed > 0, f"{at}.speed", "is not over 0")
            _need(kind.slots >= 1 and kind.queue >= 0, f"{at}.slots", "no room for a ticket")
            _need(0 < kind.cold_from <= 1, f"{at}.cold_from", "is not over 0 and up to 1")
            _need(
                kind.cold_from == 1 or kind.warm_for > 0,
                f"{at}.warm_for",
                "missing: a cold backend warms in a time",
            )
            _need(kind.overload is None or kind.overload.slower >= 1, f"{at}.overload.slower", "is under 1")
    backends = sum(kind.count for tier in script.tiers for kind in tier.kinds)
    _need(backends <= MOST_BACKENDS, "tiers", f"{backends} backends are over {MOST_BACKENDS}")
    zones = {zone for tier in script.tiers for zone in tier.zones}
    _need(len(zones) <= 50, "tiers", "over 50 zones")


def _check_load(script: Script) -> None:
    load = script.load
    _need(
        bool(load.phases) + bool(load.day) + (load.trace is not None) + bool(load.users) == 1,
        "load",
        "needs exactly one of phases, day, trace and users",
    )
    for number, phase in enumerate(load.phases):
        _need(phase.span > 0, f"load.phases[{number}].span", "is 0")
        _need(
            phase.rate >= 0 and (phase.to is None or phase.to >= 0),
            f"load.phases[{number}].rate",
            "is under 0",
        )
        _need(phase.burst >= 1, f"load.phases[{number}].burst", "is not 1 or more")
    _need(all(rate >= 0 for rate in load.day), "load.day", "a rate is under 0")
    for number, surge in enumerate(load.surges):
        key = f"load.surges[{number}]"
        _need(surge.times >= 0, f"{key}.times", "is under 0")
        _known(surge.customer, [one.name for one in script.customers], f"{key}.customer")
        _known(surge.use_case, [use.name for use in script.use_cases], f"{key}.use_case")
    _need(0 <= load.retries <= 10, "load.retries", "is not from 0 to 10")
    _need(0 < load.patience <= 1, "load.patience", "is not over 0 and up to 1")
    _need(0 <= load.honours <= 1, "load.honours", "is not from 0 to 1")
    _need(0 <= load.leave <= 1, "load.leave", "is not from 0 to 1")
    _need(0 <= load.stays <= 1, "load.stays", "is not from 0 to 1")
    _need(1 <= load.uneven < 15, "load.uneven", "is not from 1 to under 15")
    _need(1 <= load.processes <= 16, "load.processes", "is not from 1 to 16")
    _need(0 <= load.users <= 10_000, "load.users", "is not from 0 to 10000")
    _need(load.trace is None or load.trace.speed > 0, "load.trace.speed", "is not over 0")


def _known(name: str | None, names: list[str], key: str) -> None:
    if name is not None and name not in names:
        raise ScriptError(f"{key}: there is no {name}{table_conversion.nearest(name, names)}")


def _check_group_fault(script: Script, fault: Fault, key: str) -> None:
    linked = fault.what in OF_LINKS
    _need(
        script.proxies.group is not None or fault.what != "proxy-twin",
        f"{key}.what",
        "needs proxies.group: else no proxy has a name to another",
    )
    _need(
        fault.what != "proxy-hand" or script.proxies.console or script.proxies.group is not None,
        f"{key}.what",
        "needs proxies.console: clients are sent away by a call there",
    )
    _need(linked or not fault.sides and fault.link is None, f"{key}.sides", f"is not for {fault.what}")
    if fault.what == "proxy-starve":
        _need(fault.by is not None and 0 < fault.by < 1, f"{key}.by", "is not over 0 and under 1")
    if not linked:
        return
    sides = len(fault.sides)
    _need(sides >= 2 if fault.what == "link-part" else sides == 2, f"{key}.sides", "are not two (link-part: or more)")
    first = [f"p{number + 1}" for number in range(script.tiers[0].proxies)]
    for name in (name for side in fault.sides for name in side):
        if not name.startswith("p-"):  # those of lower tiers are called by their backends
            _known(name, first, f"{key}.sides")
    _need(
        (fault.what == "link-bad") == (fault.link is not None), f"{key}.link", "stands with link-bad, and there alone"
    )


def _check_faults(script: Script) -> None:
    tiers = [tier.name for tier in script.tiers]
    zones = sorted({zone for tier in script.tiers for zone in tier.zones})
    kinds = sorted({kind.name for tier in script.tiers for kind in tier.kinds})
    uses = [use.name for use in script.use_cases]
    for number, fault in enumerate(script.faults):
        key = f"faults[{number}]"
        _known(fault.tier, tiers, f"{key}.tier")
        _known(fault.zone, zones, f"{key}.zone")
        _known(fault.kind, kinds, f"{key}.kind")
        _known(fault.use_case, uses, f"{key}.use_case")
        _need(fault.at < script.span, f"{key}.at", "is after the end")
        _need(fault.count is None or fault.part is None, f"{key}.count", "stands beside part; one of them")
        _need(fault.count is None or fault.count >= 1, f"{key}.count", "is not 1 or more")
        _need(fault.part is None or 0 < fault.part <= 1, f"{key}.part", "is not over 0 and up to 1")
        _need(1 <= fault.times <= 1000, f"{key}.times", "is not from 1 to 1000")
        _need(fault.times == 1 or fault.every > 0, f"{key}.every", "missing beside times")
        _need(
            fault.what not in ("errors", "reset", "garble", "lost", "half-answer")
            or fault.by is None
            or 0 < fault.by <= 1,
            f"{key}.by",
            "is not over 0 and up to 1",
        )
        _need(fault.what != "slow" or (fault.by or 2) >= 1, f"{key}.by", "is under 1, which is no slowing")
        lasts = OF_BACKENDS - {"kill", "restart", "drain", "new-ids"} | {
            "discovery-down",
            "discovery-late",
            "discovery-full",
            "discovery-silent",
        }
        lasts |= {"proxy-stop", "proxy-starve", "proxy-twin", "proxy-hand", "disk-full", "disk-gone"} | OF_LINKS
        _check_group_fault(script, fault, key)
        _need(fault.what not in lasts or fault.span > 0, f"{key}.span", "missing: it lasts for a while")
        _need(not fault.flap or fault.what in lasts, f"{key}.flap", f"{fault.what} cannot flap")
    for number, chance in enumerate(script.chances):
        key = f"chances[{number}]"
        _need(not OF_LINKS & set(chance.of), f"{key}.of", "a link is not broken by chance: its sides are named")
        _known(chance.tier, tiers, f"{key}.tier")
        _need(chance.every > 0, f"{key}.every", "is 0")
        _need(bool(chance.of), f"{key}.of", "names none")
        _need(0 < chance.part <= 1, f"{key}.part", "is not over 0 and up to 1")
        _need("pause-generator" not in chance.of, f"{key}.of", "a pause of the generator is not left to chance")
