"""Results as a short text for a terminal."""

from __future__ import annotations

from pepperusher.rehearsal.results import Result
from pepperusher.durations import said
from pepperusher.rehearsal.tally import Figures, Times

ENTRIES = 20


def _times(name: str, times: Times) -> str:
    figures = "  ".join(f"p{part} {said(value):>8}" for part, value in times.percentiles.items())
    return f"  {name:<20} {figures}" if times.count else f"  {name:<20} none"


def _head(result: Result) -> list[str]:
    return [f"{result.title}  (seed {result.seed}, {said(result.span)}, build {result.build}, plan {result.plan})"]


def _wishes(figures: Figures) -> list[str]:
    share = 100 / figures.wishes if figures.wishes else 0.0
    lines = [
        f"  {figures.wishes} wanted: {figures.in_time} in time ({figures.in_time * share:.2f}%), {figures.late} late,"
        f" {figures.failed} failed; {figures.tries / max(1, figures.wishes):.2f} tries each",
        f"  goodput {figures.goodput:.4f}, worst window {figures.worst_window:.4f} from"
        f" {said(figures.worst_window_at)} on",
        "  tries ended: " + ", ".join(f"{how} {count}" for how, count in figures.ends.items()),
        _times("from intended time", figures.intended),
        _times("from the real send", figures.from_send),
    ]
    if figures.marked:
        lines.append(_times("without stalls", figures.trusted))
    return lines


def _trust(figures: Figures) -> list[str]:
    lines = [
        f"  the generator sent {100 * figures.late_share:.2f}% late (p99 {said(figures.sent_late.percentiles['99'])},"
        f" most {said(figures.sent_late.percentiles['100'])})"
    ]
    if figures.stalls:
        spans = ", ".join(f"{said(until - at)} from {said(at)}" for at, until in figures.stalls[:5])
        lines.append(
            f"  THE GENERATOR STOOD STILL: {spans}; {figures.marked} figures of that time are marked; seconds"
            f" not to be trusted: {', '.join(map(str, figures.untrusted_seconds))}"
        )
    return lines


def _fleet(figures: Figures) -> list[str]:
    lines = [
        f"  {figures.attempts / max(1, figures.tickets):.3f} attempts a ticket,"
        f" {figures.turned_away} turned away; {100 * figures.wasted_share:.2f}% of the work wasted;"
        f" work lived on after its sender left: most {said(figures.lived_on.percentiles['100'])}"
    ]
    front = [cost for cost in figures.costs if cost.tickets]
    if front:
        tickets = sum(cost.tickets for cost in front)
        lines.append(
            f"  proxies: {sum(cost.cpu * cost.tickets for cost in front) / tickets / 1000:.2f} ms CPU a ticket,"
            f" at most {max(cost.memory for cost in front) / 1024:.1f} MB and"
            f" {max(cost.descriptors for cost in front)} descriptors"
        )
    if figures.doubled:
        lines.append(
            f"  {figures.doubled} effects of one mark more than once over a client's tries (no rule forbids it)"
        )
    return lines


def _rules(result: Result) -> list[str]:
    lines = []
    for rule, count in result.rules.items():
        lines.append(f"  {rule:<28} {'kept' if not count else f'BROKEN {count} times'}")
        for entry in [one for one in result.entries if one.rule == rule][:ENTRIES]:
            where = f" at {entry.backend}" if entry.backend else ""
            lines.append(f"    {said(entry.at)}: {entry.ticket or 'the backend'}{where}: {entry.what}")
    return lines


def summary(result: Result) -> str:
    figures = result.figures
    return "\n".join([*_head(result), *_wishes(figures), *_trust(figures), *_fleet(figures), *_rules(result)])


def load_summary(result: Result) -> str:
    """Of a load alone, whose other side kept no books."""
    return "\n".join([*_head(result), *_wishes(result.figures), *_trust(result.figures)])
