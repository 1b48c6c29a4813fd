"""The figures of a rehearsal, worked out from its records; free of I/O.

A client's tries count as one wish, under its first. Times of wishes run from when the first try was
*intended*, so a proxy or a generator that stands still cannot hide it; times from the real send are kept
beside them. All are HDR histograms in us, three figures exact, never averages. Marked are wishes that a stall
of the generator touched.
"""

from __future__ import annotations

from collections import defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

from pepperusher.rehearsal import rule_checker
from pepperusher.rehearsal.rule_checker import Records
from pepperusher.rehearsal.records import DONE, Sample, ClientAttempt
from pepperusher.rehearsal.script import Script
from pepperusher.durations import Span
from pepperusher.rehearsal.stalls import Spans

LOWEST, HIGHEST, FIGURES = 1, 3_600_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# Windows for the worst one start this often within one another.
WINDOW_STEPS = 10


class Times(msgspec.Struct):
    """A histogram as the HDR format has it, with the percentiles that people ask for (us)."""

    count: int
    percentiles: dict[str, int]
    encoded: str


class Second(msgspec.Struct):
    """One second of intended time: wishes, those done in time and late, their tries, and percentiles (us)."""

    at: int
    wishes: int
    in_time: int
    late: int
    tries: int
    p50: int
    p99: int
    trusted: bool


class Group(msgspec.Struct):
    """A use case's or a customer's part: `goodput` is the importance earned of that asked for."""

    name: str
    wishes: int
    in_time: int
    late: int
    goodput: float
    p50: int
    p99: int


class Cost(msgspec.Struct):
    """What a proxy took: CPU in us by ticket, the most memory (KiB) and descriptors."""

    name: str
    tickets: int
    cpu: float
    memory: int
    descriptors: int


class Figures(msgspec.Struct):
    wishes: int
    in_time: int
    late: int
    failed: int
    tries: int
    ends: dict[str, int]
    goodput: float
    worst_window: float
    worst_window_at: int
    intended: Times
    trusted: Times
    from_send: Times
    sent_late: Times
    late_share: float
    marked: int
    stalls: list[tuple[int, int]]
    untrusted_seconds: list[int]
    seconds: list[Second]
    use_cases: list[Group]
    customers: list[Group]
    tickets: int
    attempts: int
    turned_away: int
    wasted_share: float
    lived_on: Times
    doubled: int
    costs: list[Cost]
    turns: list[tuple[int, int, str, str]]
    # What proxies found of members of their group: when (us), which proxy, what, of whom.
    believed: list[tuple[int, int, str, str]] = []
    # From when to when the rehearsal kept which proxy from running.
    held: list[tuple[int, int, int]] = []


def histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST, HIGHEST, FIGURES)


def times_of(made: HdrHistogram) -> Times:
    count = made.get_total_count()
    return Times(
        count,
        {f"{one:g}": int(made.get_value_at_percentile(one)) if count else 0 for one in PERCENTILES},
        made.encode().decode(),
    )


def histogram_of(times: Times) -> HdrHistogram:
    return HdrHistogram.decode(times.encoded.encode())


def _times(values: list[int]) -> HdrHistogram:
    made = histogram()
    for value in values:
        made.record_value(min(HIGHEST, max(LOWEST, value)))
    return made


def percentile(values: list[int], part: float) -> int:
    """The nearest rank; 0 of none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part / 100 * len(ordered)))] if ordered else 0


class ClientRequest:
    """A client's tries, folded into the first. `took` is -1 where none was done."""

    __slots__ = ("first", "last", "tries", "took", "in_time", "earned", "asked")

    def __init__(self, tries: list[ClientAttempt], script: Script) -> None:
        tries.sort(key=lambda one: one.nth)
        self.first, self.last, self.tries = tries[0], tries[-1], len(tries)
        use = script.use_cases[self.first.use]
        done = [one for one in tries if one.how == DONE]
        self.took = done[0].ended - self.first.intended if done else -1
        if self.took > use.outer:
            # Nobody wants it any more.
            self.took = -1
        self.in_time = 0 <= self.took <= use.promised
        # A heavy ticket is worth more than a light one of its use case.
        self.asked = use.importance * max(1, self.first.work)
        self.earned = self.asked * (1.0 if self.in_time else use.late_share if self.took >= 0 else 0.0)


def client_requests(script: Script, tries: list[ClientAttempt]) -> list[ClientRequest]:
    """Those of clients, by the intended time of their first try, the warm-up left out."""
    together: dict[str, list[ClientAttempt]] = defaultdict(list)
    for one in tries:
        if not one.parent:
            together[one.wish].append(one)
    made = [ClientRequest(those, script) for those in together.values()]
    return sorted((one for one in made if one.first.intended >= script.warm_up), key=lambda one: one.first.intended)


def _group(name: str, wishes: list[ClientRequest]) -> Group:
    took = [one.took for one in wishes if one.took >= 0]
    asked = sum(one.asked for one in wishes)
    return Group(
        name,
        len(wishes),
        sum(one.in_time for one in wishes),
        len(took) - sum(one.in_time for one in wishes),
        sum(one.earned for one in wishes) / asked if asked else 1.0,
        percentile(took, 50),
        percentile(took, 99),
    )


def _worst(wishes: list[ClientRequest], window: Span) -> tuple[float, int]:
    """The least goodput of any stretch of `window`, and when it began; windows with little in them do not
    count."""
    step = max(1, window // WINDOW_STEPS)
    asked: dict[int, float] = defaultdict(float)
    earned: dict[int, float] = defaultdict(float)
    for one in wishes:
        asked[one.first.intended // step] += one.asked
        earned[one.first.intended // step] += one.earned
    if not asked:
        return 1.0, 0
    whole = sum(asked.values())
    first, last = min(asked), max(asked)
    fewest = whole * min(1.0, WINDOW_STEPS / (last - first + 1)) / 4
    worst, at = 1.0, first * step
    for begins in range(first, max(first, last - WINDOW_STEPS + 1) + 1):
        those = range(begins, begins + WINDOW_STEPS)
        sought = sum(asked.get(one, 0.0) for one in those)
        got = sum(earned.get(one, 0.0) for one in those)
        if sought >= fewest and sought > 0 and got / sought < worst:
            worst, at = got / sought, begins * step
    return worst, at


def _seconds(wishes: list[ClientRequest], untrusted: set[int]) -> list[Second]:
    by: dict[int, list[ClientRequest]] = defaultdict(list)
    for one in wishes:
        by[one.first.intended // 1_000_000].append(one)
    made = []
    for at in range(min(by, default=0), max(by, default=-1) + 1):
        those = by.get(at, [])
        took = [one.took for one in those if one.took >= 0]
        in_time = sum(one.in_time for one in those)
        made.append(
            Second(
                at,
                len(those),
                in_time,
                len(took) - in_time,
                sum(one.tries for one in those),
                percentile(took, 50),
                percentile(took, 99),
                at not in untrusted,
            )
        )
    return made


def costs_of(names: list[str], records: Records, warm_up: int) -> list[Cost]:
    """By proxy, over the time between its samples after the warm-up; a process that follows another counts
    anew."""
    samples: dict[int, list[Sample]] = defaultdict(list)
    for sample in sorted(records.samples, key=lambda one: one.at):
        if sample.at >= warm_up:
            samples[sample.proxy].append(sample)
    tickets: dict[int, int] = defaultdict(int)
    for one in records.client_attempts:
        if one.proxy >= 0 and one.written >= warm_up:
            tickets[one.proxy] += 1
    made = []
    for proxy, those in sorted(samples.items()):
        cpu = sum(max(0, after.cpu - before.cpu) for before, after in zip(those, those[1:]))
        count = tickets.get(proxy, 0)
        made.append(
            Cost(
                names[proxy],
                count,
                cpu / count if count else 0.0,
                max(one.memory for one in those),
                max(one.descriptors for one in those),
            )
        )
    return made


def tally(script: Script, names: list[str], records: Records) -> Figures:
    """`names` are the proxies' by number."""
    wishes = client_requests(script, records.client_attempts)
    stalls = Spans((one.at, one.until) for one in records.stalls)
    untrusted = set(stalls.seconds())
    trusted = [one for one in wishes if not stalls.touch(one.first.intended, one.last.ended)]
    took = [one.took for one in wishes if one.took >= 0]
    in_time = sum(one.in_time for one in wishes)
    outside = [one for one in records.client_attempts if not one.parent and one.intended >= script.warm_up]
    ends: dict[str, int] = defaultdict(int)
    for one in outside:
        ends[one.how] += 1
    late = [one.first.sent - one.first.intended for one in wishes if one.first.sent >= 0]
    asked = sum(one.asked for one in wishes)
    worst, worst_at = _worst(wishes, script.window)
    used = rule_checker.work_usage(script, records)
    by_use: dict[int, list[ClientRequest]] = defaultdict(list)
    by_customer: dict[int, list[ClientRequest]] = defaultdict(list)
    for one in wishes:
        by_use[one.first.use].append(one)
        by_customer[one.first.customer].append(one)
    return Figures(
        wishes=len(wishes),
        in_time=in_time,
        late=len(took) - in_time,
        failed=len(wishes) - len(took),
        tries=sum(one.tries for one in wishes),
        ends=dict(sorted(ends.items())),
        goodput=sum(one.earned for one in wishes) / asked if asked else 1.0,
        worst_window=worst,
        worst_window_at=worst_at,
        intended=times_of(_times(took)),
        trusted=times_of(_times([one.took for one in trusted if one.took >= 0])),
        from_send=times_of(_times([one.ended - one.sent for one in outside if one.how == DONE])),
        sent_late=times_of(_times(late)),
        late_share=sum(1 for one in late if one > script.load.late) / len(late) if late else 0.0,
        marked=len(wishes) - len(trusted),
        stalls=stalls.joined,
        untrusted_seconds=sorted(untrusted),
        seconds=_seconds(wishes, untrusted),
        use_cases=[_group(use.name, by_use.get(number, [])) for number, use in enumerate(script.use_cases)],
        customers=[_group(one.name, by_customer.get(number, [])) for number, one in enumerate(script.customers)],
        tickets=used.tickets,
        attempts=used.attempts,
        turned_away=used.away,
        wasted_share=used.wasted / used.worked if used.worked else 0.0,
        lived_on=times_of(_times(used.lived_on)),
        doubled=used.doubled,
        costs=costs_of(names, records, script.warm_up),
        turns=sorted((one.at, one.proxy, one.id, one.state) for one in records.breaker_changes),
        believed=sorted((one.at, one.proxy, one.what, one.of) for one in records.membership_beliefs),
        held=sorted((one.proxy, one.at, one.until) for one in records.proxy_pauses),
    )
