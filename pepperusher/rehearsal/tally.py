"""The statistics of a rehearsal, computed from its records; does no I/O.

All attempts of a client for the same purpose count as one request (`wishes` in result files). Its latency runs from when the
first attempt was *intended* to be sent, so that a stalled proxy or generator cannot hide latency (coordinated omission);
latencies from the real send are reported as well. Latencies are kept as HDR histograms in us with three significant digits,
never as averages. Requests that overlap a stall of the generator are counted as `marked`.
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

LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS = 1, 3_600_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
# The search for the worst window moves the window by a fraction of its length.
STEPS_PER_WINDOW = 10


class LatencyHistogram(msgspec.Struct):
    """A histogram in the encoded HDR format, with the usual percentiles (us)."""

    count: int
    percentiles: dict[str, int]
    encoded: str


class SecondStatistics(msgspec.Struct):
    """The requests whose first attempt was intended within one second: their outcomes, attempts and latency percentiles (us)."""

    at: int
    wishes: int
    in_time: int
    late: int
    tries: int
    p50: int
    p99: int
    trusted: bool


class GroupStatistics(msgspec.Struct):
    """The requests of one use case or customer; `goodput` is the share of their importance that was earned."""

    name: str
    wishes: int
    in_time: int
    late: int
    goodput: float
    p50: int
    p99: int


class ProxyCost(msgspec.Struct):
    """The resource use of one proxy: CPU time per ticket (us), peak memory (KiB) and peak number of descriptors."""

    name: str
    tickets: int
    cpu: float
    memory: int
    descriptors: int


class RunStatistics(msgspec.Struct):
    """All statistics of one rehearsal, as they are stored in result files."""

    wishes: int
    in_time: int
    late: int
    failed: int
    tries: int
    ends: dict[str, int]
    goodput: float
    worst_window: float
    worst_window_at: int
    intended: LatencyHistogram
    trusted: LatencyHistogram
    from_send: LatencyHistogram
    sent_late: LatencyHistogram
    late_share: float
    marked: int
    stalls: list[tuple[int, int]]
    untrusted_seconds: list[int]
    seconds: list[SecondStatistics]
    use_cases: list[GroupStatistics]
    customers: list[GroupStatistics]
    tickets: int
    attempts: int
    turned_away: int
    wasted_share: float
    lived_on: LatencyHistogram
    doubled: int
    costs: list[ProxyCost]
    turns: list[tuple[int, int, str, str]]
    # Beliefs of proxies about members of their group: the time (us), the proxy, the belief, and the member concerned.
    believed: list[tuple[int, int, str, str]] = []
    # Pauses of proxies by the rehearsal: the proxy, the start and the end (us).
    held: list[tuple[int, int, int]] = []


def new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def encode_histogram(histogram: HdrHistogram) -> LatencyHistogram:
    count = histogram.get_total_count()
    return LatencyHistogram(
        count,
        {f"{percent:g}": int(histogram.get_value_at_percentile(percent)) if count else 0 for percent in PERCENTILES},
        histogram.encode().decode(),
    )


def decode_histogram(latencies: LatencyHistogram) -> HdrHistogram:
    return HdrHistogram.decode(latencies.encoded.encode())


def _histogram_of_values(values: list[int]) -> HdrHistogram:
    histogram = new_histogram()
    for value in values:
        histogram.record_value(min(HIGHEST_US, max(LOWEST_US, value)))
    return histogram


def percentile(values: list[int], percent: float) -> int:
    """Returns the percentile by the nearest-rank method; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(percent / 100 * len(ordered)))] if ordered else 0


class ClientRequest:
    """All attempts of one client request; `latency_us` is -1 if none succeeded before the use case's `outer` limit."""

    __slots__ = (
        "first_attempt",
        "last_attempt",
        "attempt_count",
        "latency_us",
        "in_time",
        "importance_earned",
        "importance_total",
    )

    def __init__(self, attempts: list[ClientAttempt], script: Script) -> None:
        attempts.sort(key=lambda attempt: attempt.nth)
        self.first_attempt, self.last_attempt, self.attempt_count = attempts[0], attempts[-1], len(attempts)
        use = script.use_cases[self.first_attempt.use]
        successful = [attempt for attempt in attempts if attempt.how == DONE]
        self.latency_us = successful[0].ended - self.first_attempt.intended if successful else -1
        if self.latency_us > use.outer:
            # The answer is worthless after `outer`.
            self.latency_us = -1
        self.in_time = 0 <= self.latency_us <= use.promised
        # Within a use case the importance of a request is proportional to its work.
        self.importance_total = use.importance * max(1, self.first_attempt.work)
        self.importance_earned = self.importance_total * (
            1.0 if self.in_time else use.late_share if self.latency_us >= 0 else 0.0
        )


def client_requests(script: Script, attempts: list[ClientAttempt]) -> list[ClientRequest]:
    """Returns the requests of external clients after the warm-up, ordered by the intended time of their first attempt."""
    attempts_by_request: dict[str, list[ClientAttempt]] = defaultdict(list)
    for attempt in attempts:
        if not attempt.parent:
            attempts_by_request[attempt.wish].append(attempt)
    requests = [ClientRequest(request_attempts, script) for request_attempts in attempts_by_request.values()]
    return sorted(
        (request for request in requests if request.first_attempt.intended >= script.warm_up),
        key=lambda request: request.first_attempt.intended,
    )


def _group_statistics(name: str, requests: list[ClientRequest]) -> GroupStatistics:
    latencies = [request.latency_us for request in requests if request.latency_us >= 0]
    importance_total = sum(request.importance_total for request in requests)
    return GroupStatistics(
        name,
        len(requests),
        sum(request.in_time for request in requests),
        len(latencies) - sum(request.in_time for request in requests),
        sum(request.importance_earned for request in requests) / importance_total if importance_total else 1.0,
        percentile(latencies, 50),
        percentile(latencies, 99),
    )


def _worst_window(requests: list[ClientRequest], window: Span) -> tuple[float, int]:
    """Returns the lowest goodput of any window and the start of that window.

    Windows with less than a quarter of the average importance are ignored.
    """
    step = max(1, window // STEPS_PER_WINDOW)
    total_by_step: dict[int, float] = defaultdict(float)
    earned_by_step: dict[int, float] = defaultdict(float)
    for request in requests:
        total_by_step[request.first_attempt.intended // step] += request.importance_total
        earned_by_step[request.first_attempt.intended // step] += request.importance_earned
    if not total_by_step:
        return 1.0, 0
    total = sum(total_by_step.values())
    first, last = min(total_by_step), max(total_by_step)
    minimum_total = total * min(1.0, STEPS_PER_WINDOW / (last - first + 1)) / 4
    worst, at = 1.0, first * step
    for window_start in range(first, max(first, last - STEPS_PER_WINDOW + 1) + 1):
        window_steps = range(window_start, window_start + STEPS_PER_WINDOW)
        window_total = sum(total_by_step.get(number, 0.0) for number in window_steps)
        window_earned = sum(earned_by_step.get(number, 0.0) for number in window_steps)
        if window_total >= minimum_total and window_total > 0 and window_earned / window_total < worst:
            worst, at = window_earned / window_total, window_start * step
    return worst, at


def _statistics_by_second(requests: list[ClientRequest], untrusted: set[int]) -> list[SecondStatistics]:
    requests_by_second: dict[int, list[ClientRequest]] = defaultdict(list)
    for request in requests:
        requests_by_second[request.first_attempt.intended // 1_000_000].append(request)
    statistics = []
    for second in range(min(requests_by_second, default=0), max(requests_by_second, default=-1) + 1):
        second_requests = requests_by_second.get(second, [])
        latencies = [request.latency_us for request in second_requests if request.latency_us >= 0]
        in_time = sum(request.in_time for request in second_requests)
        statistics.append(
            SecondStatistics(
                second,
                len(second_requests),
                in_time,
                len(latencies) - in_time,
                sum(request.attempt_count for request in second_requests),
                percentile(latencies, 50),
                percentile(latencies, 99),
                second not in untrusted,
            )
        )
    return statistics


def proxy_costs(names: list[str], records: Records, warm_up: int) -> list[ProxyCost]:
    """Returns the resource use of each proxy between its samples after the warm-up.

    The CPU time of a process starts at 0, so a decrease between two samples means that the process was replaced.
    """
    samples: dict[int, list[Sample]] = defaultdict(list)
    for sample in sorted(records.samples, key=lambda sample: sample.at):
        if sample.at >= warm_up:
            samples[sample.proxy].append(sample)
    tickets: dict[int, int] = defaultdict(int)
    for attempt in records.client_attempts:
        if attempt.proxy >= 0 and attempt.written >= warm_up:
            tickets[attempt.proxy] += 1
    costs = []
    for proxy, proxy_samples in sorted(samples.items()):
        cpu = sum(max(0, after.cpu - before.cpu) for before, after in zip(proxy_samples, proxy_samples[1:]))
        count = tickets.get(proxy, 0)
        costs.append(
            ProxyCost(
                names[proxy],
                count,
                cpu / count if count else 0.0,
                max(sample.memory for sample in proxy_samples),
                max(sample.descriptors for sample in proxy_samples),
            )
        )
    return costs


def tally(script: Script, names: list[str], records: Records) -> RunStatistics:
    """Computes the statistics of a rehearsal; `names` are the names of the proxies by number."""
    requests = client_requests(script, records.client_attempts)
    stalls = Spans((stall.at, stall.until) for stall in records.stalls)
    untrusted = set(stalls.seconds())
    trusted = [
        request
        for request in requests
        if not stalls.overlaps(request.first_attempt.intended, request.last_attempt.ended)
    ]
    latencies = [request.latency_us for request in requests if request.latency_us >= 0]
    in_time = sum(request.in_time for request in requests)
    external_attempts = [
        attempt for attempt in records.client_attempts if not attempt.parent and attempt.intended >= script.warm_up
    ]
    attempts_by_outcome: dict[str, int] = defaultdict(int)
    for attempt in external_attempts:
        attempts_by_outcome[attempt.how] += 1
    send_delays = [
        request.first_attempt.sent - request.first_attempt.intended
        for request in requests
        if request.first_attempt.sent >= 0
    ]
    importance_total = sum(request.importance_total for request in requests)
    worst_goodput, worst_window_start = _worst_window(requests, script.window)
    usage = rule_checker.work_usage(script, records)
    requests_by_use_case: dict[int, list[ClientRequest]] = defaultdict(list)
    requests_by_customer: dict[int, list[ClientRequest]] = defaultdict(list)
    for request in requests:
        requests_by_use_case[request.first_attempt.use].append(request)
        requests_by_customer[request.first_attempt.customer].append(request)
    return RunStatistics(
        wishes=len(requests),
        in_time=in_time,
        late=len(latencies) - in_time,
        failed=len(requests) - len(latencies),
        tries=sum(request.attempt_count for request in requests),
        ends=dict(sorted(attempts_by_outcome.items())),
        goodput=sum(request.importance_earned for request in requests) / importance_total if importance_total else 1.0,
        worst_window=worst_goodput,
        worst_window_at=worst_window_start,
        intended=encode_histogram(_histogram_of_values(latencies)),
        trusted=encode_histogram(
            _histogram_of_values([request.latency_us for request in trusted if request.latency_us >= 0])
        ),
        from_send=encode_histogram(
            _histogram_of_values([attempt.ended - attempt.sent for attempt in external_attempts if attempt.how == DONE])
        ),
        sent_late=encode_histogram(_histogram_of_values(send_delays)),
        late_share=sum(1 for delay in send_delays if delay > script.load.late) / len(send_delays)
        if send_delays
        else 0.0,
        marked=len(requests) - len(trusted),
        stalls=stalls.joined,
        untrusted_seconds=sorted(untrusted),
        seconds=_statistics_by_second(requests, untrusted),
        use_cases=[
            _group_statistics(use.name, requests_by_use_case.get(number, []))
            for number, use in enumerate(script.use_cases)
        ],
        customers=[
            _group_statistics(request.name, requests_by_customer.get(number, []))
            for number, request in enumerate(script.customers)
        ],
        tickets=usage.tickets,
        attempts=usage.attempts,
        turned_away=usage.rejected,
        wasted_share=usage.work_wasted_us / usage.work_done_us if usage.work_done_us else 0.0,
        lived_on=encode_histogram(_histogram_of_values(usage.outlived_client_us)),
        doubled=usage.duplicate_effects,
        costs=proxy_costs(names, records, script.warm_up),
        turns=sorted((request.at, request.proxy, request.id, request.state) for request in records.breaker_changes),
        believed=sorted(
            (request.at, request.proxy, request.what, request.of) for request in records.membership_beliefs
        ),
        held=sorted((request.proxy, request.at, request.until) for request in records.proxy_pauses),
    )
