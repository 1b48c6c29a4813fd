"""Formats results as short texts for a terminal."""

from __future__ import annotations

from pepperusher.rehearsal.results import Result
from pepperusher.durations import format_duration
from pepperusher.rehearsal.tally import RunStatistics, LatencyHistogram

MAX_ENTRIES_SHOWN = 20


def _latency_line(name: str, latencies: LatencyHistogram) -> str:
    columns = "  ".join(f"p{percent} {format_duration(value):>8}" for percent, value in latencies.percentiles.items())
    return f"  {name:<20} {columns}" if latencies.count else f"  {name:<20} none"


def _header(result: Result) -> list[str]:
    return [
        f"{result.title}  (seed {result.seed}, {format_duration(result.span)}, build {result.build}, plan {result.plan})"
    ]


def _request_lines(figures: RunStatistics) -> list[str]:
    percent_per_request = 100 / figures.wishes if figures.wishes else 0.0
    lines = [
        f"  {figures.wishes} requests: {figures.in_time} in time ({figures.in_time * percent_per_request:.2f}%), {figures.late} late,"
        f" {figures.failed} failed; {figures.tries / max(1, figures.wishes):.2f} attempts each",
        f"  goodput {figures.goodput:.4f}, worst window {figures.worst_window:.4f} from"
        f" {format_duration(figures.worst_window_at)}",
        "  client attempts: " + ", ".join(f"{outcome} {count}" for outcome, count in figures.ends.items()),
        _latency_line("from intended time", figures.intended),
        _latency_line("from the real send", figures.from_send),
    ]
    if figures.marked:
        lines.append(_latency_line("without stalls", figures.trusted))
    return lines


def _generator_lines(figures: RunStatistics) -> list[str]:
    lines = [
        f"  sent late by the generator: {100 * figures.late_share:.2f}% (p99 {format_duration(figures.sent_late.percentiles['99'])},"
        f" maximum {format_duration(figures.sent_late.percentiles['100'])})"
    ]
    if figures.stalls:
        spans = ", ".join(
            f"{format_duration(until - at)} from {format_duration(at)}" for at, until in figures.stalls[:5]
        )
        lines.append(
            f"  THE GENERATOR STALLED: {spans}; {figures.marked} requests overlap a stall; seconds"
            f" with unreliable measurements: {', '.join(map(str, figures.untrusted_seconds))}"
        )
    return lines


def _fleet_lines(figures: RunStatistics) -> list[str]:
    lines = [
        f"  {figures.attempts / max(1, figures.tickets):.3f} attempts per ticket,"
        f" {figures.turned_away} rejected by backends; {100 * figures.wasted_share:.2f}% of the work wasted;"
        f" longest work after its client had left: {format_duration(figures.lived_on.percentiles['100'])}"
    ]
    first_tier = [cost for cost in figures.costs if cost.tickets]
    if first_tier:
        tickets = sum(cost.tickets for cost in first_tier)
        lines.append(
            f"  proxies: {sum(cost.cpu * cost.tickets for cost in first_tier) / tickets / 1000:.2f} ms CPU per ticket,"
            f" at most {max(cost.memory for cost in first_tier) / 1024:.1f} MB and"
            f" {max(cost.descriptors for cost in first_tier)} descriptors"
        )
    if figures.doubled:
        lines.append(
            f"  {figures.doubled} repeated effects under one idempotency key over a client's attempts (not forbidden by a rule)"
        )
    return lines


def _rule_lines(result: Result) -> list[str]:
    lines = []
    for rule, count in result.rules.items():
        lines.append(f"  {rule:<28} {'kept' if not count else f'BROKEN {count} times'}")
        for entry in [entry for entry in result.entries if entry.rule == rule][:MAX_ENTRIES_SHOWN]:
            where = f" at {entry.backend}" if entry.backend else ""
            lines.append(f"    {format_duration(entry.at)}: {entry.ticket or 'the backend'}{where}: {entry.what}")
    return lines


def summary(result: Result) -> str:
    """Returns the summary of a rehearsal: requests, generator, fleet and rules."""
    figures = result.figures
    return "\n".join(
        [
            *_header(result),
            *_request_lines(figures),
            *_generator_lines(figures),
            *_fleet_lines(figures),
            *_rule_lines(result),
        ]
    )


def load_summary(result: Result) -> str:
    """Returns the summary of a load against external servers, for which there are no backend records and no rules."""
    return "\n".join([*_header(result), *_request_lines(result.figures), *_generator_lines(result.figures)])
