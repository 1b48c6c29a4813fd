"""Reports as one HTML page that needs nothing beside it: figures, plots, the rule book, comparisons."""

from __future__ import annotations

from collections.abc import Iterable
from html import escape
from pathlib import Path

from pepperusher.rehearsal import plots, text_report
from pepperusher.rehearsal.experiments import ArmComparison
from pepperusher.rehearsal.results import Result
from pepperusher.durations import said
from pepperusher.rehearsal.tally import Group

STYLE = """body{font:14px/1.45 system-ui,sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.6em 0}td,th{padding:.15em .7em;text-align:right;border-bottom:1px solid
#ddd} td:first-child,th:first-child{text-align:left}pre{background:#f6f6f6;padding:.8em;overflow-x:auto}
svg{max-width:100%;height:auto}.broken{color:#a61c00;font-weight:bold}.kept{color:#38761d}"""
COMPARED = 12


def table(head: Iterable[str], rows: Iterable[Iterable[object]]) -> str:
    """As HTML; whatever stands in the cells is escaped."""
    top = "".join(f"<th>{escape(one)}</th>" for one in head)
    body = "".join("<tr>" + "".join(f"<td>{escape(str(one))}</td>" for one in row) + "</tr>\n" for row in rows)
    return f"<table><tr>{top}</tr>\n{body}</table>\n"


def _groups(title: str, those: list[Group]) -> str:
    rows = (
        (
            one.name,
            one.wishes,
            one.in_time,
            one.late,
            one.wishes - one.in_time - one.late,
            f"{one.goodput:.4f}",
            said(one.p50),
            said(one.p99),
        )
        for one in those
    )
    return (
        f"<h3>{title}</h3>"
        + table((title, "wishes", "in time", "late", "failed", "goodput", "p50", "p99"), rows)
        + plots.groups(f"Goodput by {title.lower()}", those)
    )


def _rules(result: Result) -> str:
    if not result.rules:
        return "<p>No books were kept on the other side.</p>"
    lines = []
    for rule, count in result.rules.items():
        word = f'<span class="broken">broken {count} times</span>' if count else '<span class="kept">kept</span>'
        lines.append(f"<li>{escape(rule)}: {word}</li>")
    rows = [(one.rule, one.ticket, said(one.at), one.backend, one.what) for one in result.entries]
    entries = table(("rule", "ticket", "at", "backend", "what"), rows) if rows else ""
    return f"<ul>{''.join(lines)}</ul>{entries}"


def _result(result: Result) -> str:
    figures = result.figures
    costs = [
        (one.name, one.tickets, f"{one.cpu / 1000:.2f} ms", f"{one.memory / 1024:.1f} MB", one.descriptors)
        for one in figures.costs
        if one.tickets
    ]
    parts = [
        f"<h2>{escape(result.title)}</h2>",
        f"<p>Seed {result.seed}, {said(result.span)}, build {escape(result.build)}, played {escape(result.played_at)} by"
        f" version {escape(result.program)}; plan {escape(result.plan)}, troubles {escape(result.troubles)}.</p>",
        f"<pre>{escape(text_report.summary(result))}</pre>",
        "<h3>Rule book</h3>",
        _rules(result),
        plots.outcomes(result),
        plots.over_time(result),
    ]
    if figures.use_cases:
        parts.append(_groups("Use case", figures.use_cases))
    if figures.customers:
        parts.append(_groups("Customer", figures.customers))
    if figures.turns:
        parts += ["<h3>Breakers</h3>", plots.breakers(result)]
    if figures.believed:
        parts += [
            "<h3>Group</h3>",
            "<p>Yellow is suspected, red lost, blue gone by its own word; a black line where the rehearsal kept it from running.</p>",
            plots.members(result),
        ]
    if costs:
        parts += [
            "<h3>Proxies</h3>",
            table(("proxy", "tickets", "CPU a ticket", "memory", "descriptors"), costs),
        ]
    return "\n".join(parts)


def _compared(made: list[ArmComparison]) -> str:
    parts = []
    for each in made:
        rows = (
            (
                one.measure,
                f"{one.base:.4f}",
                f"{one.other:.4f}",
                f"{one.mean:+.4f}",
                f"{one.low:+.4f} to {one.high:+.4f}",
                one.pairs,
                one.verdict,
            )
            for one in each.differences
        )
        parts.append(
            f"<h2>{escape(each.other)} against {escape(each.base)}</h2><p>{escape(each.where)}</p>"
            + table(("measure", each.base, each.other, "difference", "95% interval", "pairs", "verdict"), rows)
        )
    return "\n".join(parts)


def html(results: list[Result], compared: list[ArmComparison] | None = None) -> str:
    title = results[0].title if len(results) == 1 else f"{len(results)} rehearsals"
    body = [f"<h1>{escape(title)}</h1>"]
    if compared:
        body.append(_compared(compared))
    body.append(plots.percentiles(results[:COMPARED]))
    body += map(_result, results[:COMPARED])
    if len(results) > COMPARED:
        body.append(f"<p>{len(results) - COMPARED} more are left out here; each is kept as a file.</p>")
    return (
        f'<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title>'
        f"<style>{STYLE}</style></head>\n<body>\n" + "\n".join(body) + "\n</body></html>\n"
    )


def write(path: Path, results: list[Result], compared: list[ArmComparison] | None = None) -> None:
    path.write_text(html(results, compared), encoding="utf-8")
