"""Reports as one self-contained HTML page: statistics, plots, violations of the rules and comparisons."""

from __future__ import annotations

from collections.abc import Iterable
from html import escape
from pathlib import Path

from pepperusher.rehearsal import plots, text_report
from pepperusher.rehearsal.experiments import ArmComparison
from pepperusher.rehearsal.results import Result
from pepperusher.durations import format_duration
from pepperusher.rehearsal.tally import GroupStatistics

STYLE = """body{font:14px/1.45 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.15em .7em;text-align:right;border-bottom:1px solid
#ddd} td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.8em;overflow-x:auto}
svg{max-width:100%;height:auto}.broken{color:#a61c00;font-weight:bold}.kept{color:#38761d}"""
MAX_RESULTS_SHOWN = 12


def table(headings: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """Returns an HTML table; the text of the cells is escaped."""
    heading_row = "".join(f"<th>{escape(cell)}</th>" for cell in headings)
    body = "".join("<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in row) + "</tr>\n" for row in rows)
    return f"<table><tr>{heading_row}</tr>\n{body}</table>\n"


def _group_section(title: str, groups: list[GroupStatistics]) -> str:
    rows = (
        (
            group.name,
            group.wishes,
            group.in_time,
            group.late,
            group.wishes - group.in_time - group.late,
            f"{group.goodput:.4f}",
            format_duration(group.p50),
            format_duration(group.p99),
        )
        for group in groups
    )
    return (
        f"<h3>{title}</h3>"
        + table((title, "requests", "in time", "late", "failed", "goodput", "p50", "p99"), rows)
        + plots.group_goodput(f"Goodput by {title.lower()}", groups)
    )


def _rule_section(result: Result) -> str:
    if not result.rules:
        return "<p>The rules were not checked, since there are no records of backends.</p>"
    lines = []
    for rule, count in result.rules.items():
        verdict = f'<span class="broken">broken {count} times</span>' if count else '<span class="kept">kept</span>'
        lines.append(f"<li>{escape(rule)}: {verdict}</li>")
    rows = [
        (entry.rule, entry.ticket, format_duration(entry.at), entry.backend, entry.what) for entry in result.entries
    ]
    entries = table(("rule", "ticket", "at", "backend", "what"), rows) if rows else ""
    return f"<ul>{''.join(lines)}</ul>{entries}"


def _result_section(result: Result) -> str:
    figures = result.figures
    costs = [
        (cost.name, cost.tickets, f"{cost.cpu / 1000:.2f} ms", f"{cost.memory / 1024:.1f} MB", cost.descriptors)
        for cost in figures.costs
        if cost.tickets
    ]
    parts = [
        f"<h2>{escape(result.title)}</h2>",
        f"<p>Seed {result.seed}, {format_duration(result.span)}, build {escape(result.build)}, played {escape(result.played_at)} by"
        f" version {escape(result.program)}; plan {escape(result.plan)}, faults {escape(result.troubles)}.</p>",
        f"<pre>{escape(text_report.summary(result))}</pre>",
        "<h3>Rules</h3>",
        _rule_section(result),
        plots.request_outcomes(result),
        plots.latency_over_time(result),
    ]
    if figures.use_cases:
        parts.append(_group_section("Use case", figures.use_cases))
    if figures.customers:
        parts.append(_group_section("Customer", figures.customers))
    if figures.turns:
        parts += ["<h3>Breakers</h3>", plots.open_breakers(result)]
    if figures.believed:
        parts += [
            "<h3>Group</h3>",
            "<p>Yellow: suspected; red: lost; blue: left the group by its own announcement; black line: paused by the rehearsal.</p>",
            plots.member_states(result),
        ]
    if costs:
        parts += [
            "<h3>Proxies</h3>",
            table(("proxy", "tickets", "CPU per ticket", "memory", "descriptors"), costs),
        ]
    return "\n".join(parts)


def _comparison_section(comparisons: list[ArmComparison]) -> str:
    parts = []
    for comparison in comparisons:
        rows = (
            (
                difference.measure,
                f"{difference.base:.4f}",
                f"{difference.other:.4f}",
                f"{difference.mean:+.4f}",
                f"{difference.low:+.4f} to {difference.high:+.4f}",
                difference.pairs,
                difference.verdict,
            )
            for difference in comparison.differences
        )
        parts.append(
            f"<h2>{escape(comparison.other)} against {escape(comparison.base)}</h2><p>{escape(comparison.conditions)}</p>"
            + table(
                ("measure", comparison.base, comparison.other, "difference", "95% interval", "pairs", "verdict"), rows
            )
        )
    return "\n".join(parts)


def html(results: list[Result], comparisons: list[ArmComparison] | None = None) -> str:
    """Returns the report: the comparisons, if any, and the first MAX_RESULTS_SHOWN results."""
    title = results[0].title if len(results) == 1 else f"{len(results)} rehearsals"
    body = [f"<h1>{escape(title)}</h1>"]
    if comparisons:
        body.append(_comparison_section(comparisons))
    body.append(plots.latency_percentiles(results[:MAX_RESULTS_SHOWN]))
    body += map(_result_section, results[:MAX_RESULTS_SHOWN])
    if len(results) > MAX_RESULTS_SHOWN:
        body.append(
            f"<p>{len(results) - MAX_RESULTS_SHOWN} more results are not shown; each is in its result file.</p>"
        )
    return (
        f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style></head>\n<body>\n" + "\n".join(body) + "\n</body></html>\n"
    )


def write(path: Path, results: list[Result], comparisons: list[ArmComparison] | None = None) -> None:
    path.write_text(html(results, comparisons), encoding="utf-8")
