"""Renders docs/CAPACITY.md from a projection: the rows over budget, all other rows, the assumptions, the slopes, and
what was not measured. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from pepperusher.capacity.measures import COUNTED, Book, Measured
from pepperusher.capacity.projection import Projection
from pepperusher.capacity.target import Assumed, Row

# The section between these marks is edited by hand and kept when the page is rendered again.
AFTER_BEGIN, AFTER_END = "<!-- after: begin -->", "<!-- after: end -->"
NOT_MEASURED_YET = "not measured yet"
OCCASIONS = (
    "ordinary day",
    "release",
    "a rack lost",
    "a zone lost",
    "a region lost",
    "healing of a cut",
    "a control machine lost",
    "all control machines restarted",
    "every proxy started",
)
ROLES = ("proxy beside a backend", "front proxy", "control machine", "discovery", "backend and its callers", "operator")


def format_value(value: float | None, unit: str = "") -> str:
    """Formats a value with a unit that suits its size."""
    if value is None:
        return "not measured"
    if unit == "us" and abs(value) >= 1_000:
        return f"{_format_number(value / 1_000)} ms"
    if unit == "us/s":
        return f"{_format_number(value / 10_000)}% of a core"
    if unit in ("bytes", "bytes/s"):
        for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB")):
            if abs(value) >= size:
                return f"{_format_number(value / size)} {name}{unit[5:]}"
    return f"{_format_number(value)} {unit}".strip()


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _format_ratio(value: float | None) -> str:
    return "-" if value is None else f"{value:.2g}" if value < 10 else f"{value:,.0f}"


def _table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> Iterator[str]:
    """Yields the lines of a Markdown table."""
    cells = list(header)
    yield f"| {' | '.join(cells)} |"
    yield f"|{' --- |' * len(cells)}"
    for row in rows:
        yield f"| {' | '.join(row)} |"


def _cells(row: Row) -> list[str]:
    """Returns the cells of a row of the projection."""
    return [
        row.role,
        row.when,
        row.what,
        format_value(row.mild, row.unit),
        format_value(row.harsh, row.unit),
        "none" if row.budget is None else f"{format_value(row.budget.value, row.unit)} ({row.budget.of})",
        f"{_format_ratio(row.ratio(row.mild))}, **{_format_ratio(row.ratio(row.harsh))}**",
        row.mechanism.replace("missing", "**missing**", 1),
        ", ".join(row.from_) + (f". {row.note}" if row.note else ""),
    ]


ROW_HEADER = (
    "role",
    "when",
    "what",
    "mild",
    "harsh",
    "budget",
    "ratio mild, harsh",
    "mechanism",
    "from",
)


def slope_cells(measured: Measured, cores: int) -> list[str]:
    """Returns the cells of a measured slope."""
    fit, check = measured.fit(), measured.check()
    curve = measured.per if fit.curve == "line" else f"{fit.curve}, n = {measured.per}"
    # The calls to discovery are counts, but they depend on how fast it answers.
    load_independent = measured.worth == COUNTED and measured.role != "discovery"
    load = "" if measured.load is None or load_independent else f"; load {measured.load:g}"
    if measured.reference is not None and not load_independent:
        load += f", reference loop {measured.reference / 1000:.1f} ms"
    if measured.unreliable(cores):
        load += f" on {cores} cores, so **not projected**"
    return [
        measured.name,
        measured.what,
        f"{_format_number(fit.base)} + {fit.slope:.3g} ({fit.low:.3g} to {fit.high:.3g}) {measured.unit} by {curve}",
        f"{fit.residual:.1%}",
        f"{check.size:,.0f}: {_format_number(check.predicted)} predicted, {_format_number(check.measured)} measured, **{check.error:+.1%}**",
        f"`{measured.command}` at {measured.commit}: {', '.join(f'{size:,.0f}' for size, _ in measured.points)};"
        f" {measured.worth}, {measured.repeats} each{load}",
    ]


def _summary(row: Row) -> str:
    """Returns a line that summarizes a row."""
    mild, harsh = _format_ratio(row.ratio(row.mild)), _format_ratio(row.ratio(row.harsh))
    return f"- {row.role}, {row.when}: {row.what}: **{mild}** mild, **{harsh}** harsh; {row.mechanism}."


def _addressed_rows(projection: Projection) -> Iterator[str]:
    """Yields the rows that had no mechanism when one was chosen to be built, with their values before and after."""
    rows = [row for row in projection.rows() if row.before is not None]
    if not rows:
        return
    worst = max(rows, key=lambda row: row.ratio(row.before[1]) or 0.0 if row.before else 0.0)
    assert worst.before is not None
    yield (
        f"**Chosen before:** {worst.role}: {worst.what}, {format_value(worst.before[1], worst.unit)}, **"
        f"{_format_ratio(worst.ratio(worst.before[1]))} times** its budget, the row furthest over it without a"
        f" mechanism: **distribution was missing** then. It exists now and addresses these rows,"
        f" which are no longer among those without a mechanism:"
    )
    yield ""
    yield from _table(
        (
            "role",
            "when",
            "what",
            "budget",
            "before: mild, harsh",
            "ratio",
            "after: mild, harsh",
            "ratio",
            "mechanism",
            "from",
        ),
        (
            [
                row.role,
                row.when,
                row.what,
                format_value(row.budget.value if row.budget else None, row.unit),
                f"{format_value(before[0], row.unit)}, {format_value(before[1], row.unit)}",
                f"{_format_ratio(row.ratio(before[0]))}, **{_format_ratio(row.ratio(before[1]))}**",
                f"{format_value(row.mild, row.unit)}, {format_value(row.harsh, row.unit)}",
                f"{_format_ratio(row.ratio(row.mild))}, **{_format_ratio(row.ratio(row.harsh))}**",
                row.mechanism,
                ", ".join(row.from_) + f". {row.note}",
            ]
            for row in rows
            if (before := row.before) is not None
        ),
    )
    yield ""


def _next_bottleneck(projection: Projection) -> Iterator[str]:
    """Yields the rows already addressed, the next row to address, and the other rows over budget."""
    yield from _addressed_rows(projection)
    first_missing = projection.first_missing()
    if first_missing is None:
        yield "Every measured row over its budget has a mechanism."
        return
    yield (
        f"**Next: {first_missing.role}: {first_missing.what}** ({first_missing.when}): {format_value(first_missing.mild, first_missing.unit)} mild,"
        f" {format_value(first_missing.harsh, first_missing.unit)} harsh against"
        f" {format_value(first_missing.budget.value if first_missing.budget else None, first_missing.unit)}: **{_format_ratio(first_missing.worst)}"
        f" times** its budget. {first_missing.mechanism}."
    )
    yield ""
    yield "Not chosen, over budget and without a mechanism, in this order:"
    yield ""
    for row in projection.over():
        if row.missing and row != first_missing:
            yield _summary(row)
    yield ""
    yield "Over budget although a mechanism exists:"
    yield ""
    for row in projection.over():
        if not row.missing:
            yield _summary(row)


ASSUMPTION_TEXTS = {
    "largest": "backends of the largest of the 210 services (mean 24)",
    "called": "services that one proxy calls",
    "listed": "backends on the list of one proxy (mild: of the services that it calls; harsh: all, since"
    " there is no subscription by name)",
    "group": "group size in a proxy's settings",
    "callers": "proxies that call the service with the most callers",
    "zoned": "the settings name all 13 zones",
    "released": "backends replaced in one release",
    "release_s": "duration of a release in seconds",
    "members": "members of one group of proxies",
    "routes": "routes in the configuration file of a proxy",
    "concerned": "fraction of the configuration changes that apply to one proxy",
    "marked": "backends banned or drained by an operator at the same time",
    "failing": "levels of a chain that fail at the same time",
    "share": "fraction of the calls that such a level fails",
    "fronts": "front proxies",
    "entering": "fraction of all calls that enter through front proxies",
    "front_listed": "backends on the list of a front proxy",
    "apart_s": "seconds of a partition between regions",
}


def _assumption_table(mild: Assumed, harsh: Assumed) -> Iterator[str]:
    """Yields the table of the assumptions."""
    yield from _table(
        ("left open by the target", "mild", "harsh"),
        ([text, f"{getattr(mild, name):g}", f"{getattr(harsh, name):g}"] for name, text in ASSUMPTION_TEXTS.items()),
    )


def _not_measured(projection: Projection) -> Iterator[str]:
    """Yields the rows and occasions without measurements."""
    rows = projection.rows()
    for row in rows:
        if row.mild is None and row.harsh is None:
            yield f"- {row.role}, {row.when}: {row.what}."
    for role in ROLES:
        measured_occasions = {row.when for row in rows if row.role == role and (row.mild, row.harsh) != (None, None)}
        missing_occasions = [when for when in OCCASIONS if when not in measured_occasions]
        if not measured_occasions:
            yield f"- **{role}**: every occasion."
        elif missing_occasions:
            always_text = ", besides the rows for always" if "always" in measured_occasions else ""
            yield f"- {role}: nothing of its own for {', '.join(missing_occasions)}{always_text}."


def _attempts_table(book: Book) -> Iterator[str]:
    """Yields the table of the attempts along a chain with failing levels."""
    yield from _table(
        (
            "attempts along 30 levels",
            "sends a call, first 20",
            "sends a call, later",
            "sends of the worst call",
            "sends at the last level",
            "calls that succeeded",
        ),
        (
            [
                f"{failing} level{'s' * (failing > 1)} fail{'s' * (failing == 1)} {share}%, answered as {reply}",
                *(
                    "not measured"
                    if (single := book.single(f"attempts.{reply}.{share}.{failing}.{field}")) is None
                    else _format_number(single.value)
                    for field in ("first", "after", "most", "last", "done")
                ),
            ]
            for reply in ("error", "full")
            for share in (30, 100)
            for failing in (1, 2, 3)
        ),
    )
    yield ""
    yield from _table(
        ("levels, no time known yet", "part of calls done", "sends a call"),
        (
            [str(depth), _format_number(done.value), _format_number(sends.value)]
            for depth in (4, 8, 12, 16, 20, 30)
            if (done := book.single(f"cold.{depth}.done")) and (sends := book.single(f"cold.{depth}.sends"))
        ),
    )


def _slowed_chain_table(book: Book) -> Iterator[str]:
    """Yields the table of the chains whose services became slower."""
    factors = (1, 2, 3, 5, 10)
    yield from _table(
        ("levels", "attempts of each proxy", *(f"services take {factor} times as long" for factor in factors)),
        (
            [str(depth), str(max_attempts), *(
                "not measured" if (single := book.single(f"slowed.{max_attempts}.{depth}.{factor}")) is None
                else _format_number(single.value) for factor in factors
            )]
            for max_attempts in (3, 1) for depth in (5, 6, 7, 8, 10, 20, 30)
        ),
    )  # fmt: skip


def _one_proxy_chains(book: Book) -> Iterator[tuple[str, str]]:
    """Yields the name and the label of each chain of one proxy that was measured at the target's call rate."""
    for listed in (24, 250, 1_000, 5_000):
        for key, changes_text in (("", ""), (".release", ", a release's changes")):
            for group, group_text in (("", ""), (".group1", ", group size 1")):
                name = f"1.{listed}{key}.at72{group}"
                if book.single(f"chain.{name}.failed"):
                    yield name, f"1 in a row, 72 calls a second, {listed:,} listed{changes_text}{group_text}"


def _chain_table(book: Book) -> Iterator[str]:
    """Yields the table of the measured chains of proxy processes."""
    rows = []
    keys = [
        (
            f"{depth}.24.at{rate}{attempts_suffix}",
            f"{depth} in a row, {rate} calls a second, 24 listed" + (", one attempt each" if attempts_suffix else ""),
        )
        for depth in (1, 5, 10, 20, 30)
        for rate in (2, 4, 8, 24)
        for attempts_suffix in ("", ".once")
        if book.single(f"chain.{depth}.24.at{rate}{attempts_suffix}.failed")
    ]
    keys += [("30.24.once", "30 in a row, 24 calls a second, 24 listed, one attempt each")] * (
        book.single("chain.30.24.once.failed") is not None
    )
    for key, label in (
        *_one_proxy_chains(book),
        *keys,
        ("30.24", "24 listed"),
        ("30.250", "250 listed"),
        ("30.1000", "1,000 listed"),
        ("30.250.release", "250 listed, a release's changes"),
    ):
        label = label if "row" in label else f"30 in a row, 24 calls a second, {label}"
        singles = [
            book.single(f"chain.{key}.{field}")
            for field in ("bare99", "through99", "added99", "added50", "cpu", "failed")
        ]
        load = next((f"{single.load:g}" for single in singles if single is not None and single.load is not None), "-")
        failed = "not measured" if singles[-1] is None else f"{singles[-1].value:.0%}"
        calls = book.single(f"chain.{key}.calls")
        rows.append(
            [
                label,
                *(format_value(single.value if single else None, "us") for single in singles[:-1]),
                failed,
                "-" if calls is None else f"{calls.value:,.0f}",
                load,
            ]
        )
    yield from _table(
        (
            "chain",
            "99th percentile without proxies",
            "99th percentile with proxies",
            "added at the 99th percentile",
            "added at the median",
            "processor time a call of the last proxy",
            "calls failed",
            "calls",
            "load",
        ),
        rows,
    )


def render(projection: Projection, book: Book, after: str = NOT_MEASURED_YET) -> str:
    """Returns the whole page; `after` is the section between the marks."""
    over_budget = projection.over()
    target = projection.target
    lines = [
        "# Capacity: what runs out first on the way to 5,000 proxies",
        "",
        "Printed by `pepperusher capacity project --slopes docs/capacity.json --page docs/CAPACITY.md`;"
        " only the section between"
        " the `after` marks is written by hand. A slope is a least-squares fit over five sizes or"
        " more, checked at a size that was not"
        f" fitted. {book.machine}; the machine was shared, so times (medians, of `time.process_time` where"
        f" one process is measured) depend on"
        " the load that is given with them. The reference loop is 200,000 turns of plain Python, timed"
        " between the sizes: when all cores are busy they slow each other down, and the same work takes up to"
        " twice the processor time (docs/results.md). Counts are exact. A commit with a plus had uncommitted"
        " changes.",
        "",
        f"The target: {target.proxies:,} backends, each with its proxy, in {target.services} services;"
        f" {target.calls:,.0f} calls a second up to"
        f" {target.depth} levels deep; {target.added_us / 1000:g} ms added to a call at the 99th percentile;"
        f" {target.regions} regions, {target.zones} zones;"
        f" {target.changes_a_day:,} changes of configuration a day in force within {target.in_force_s:g}"
        f" s; for control traffic a proxy uses"
        f" {target.proxy_cpu_us / 10_000:g}% of a core, {target.proxy_bytes / 1e6:g} MB and"
        f" {target.proxy_wire / 1000:g} KB a second; {target.control_machines}"
        f" control machines; {target.failures_a_day} failures and {target.restarts_a_day:,} restarts a day.",
        "",
        "## Over budget, worst first",
        "",
        *(_table(ROW_HEADER, map(_cells, over_budget))),
        "",
        "## What comes first",
        "",
        *_next_bottleneck(projection),
        "",
        "### After the mechanism",
        "",
        AFTER_BEGIN,
        after,
        AFTER_END,
        "",
        "## All rows, worst first",
        "",
        *(_table(ROW_HEADER, map(_cells, [row for row in projection.rows() if row not in over_budget]))),
        "",
        "## Assumptions",
        "",
        *_assumption_table(projection.mild, projection.harsh),
        "",
        "## Slopes",
        "",
        "Counts are fitted by the curve with the smallest residual (line, n log n, log n, root of n, n"
        " squared), if that is under half of the"
        " line's; times by a line, or by a curve that follows from the code (n over 400: with a group size"
        " of 1,000 all lists of fewer than 400 backends give subsets of the same size; n + n squared / 84: each of n"
        " routes searches all routes, which takes as long as the rest at 84). Intervals are at 95%; the residual is the"
        " mean absolute residual as a fraction of the mean value.",
        "",
        *_table(
            ("slope", "what", "base + slope (95%)", "residual", "at the held-out size", "how"),
            [
                slope_cells(measured, book.cores)
                for measured in sorted(book.measured, key=lambda measured: measured.name)
            ],
        ),
        "",
        "## Attempts along a chain",
        "",
        "`pepperusher capacity slopes --only attempts`. The real decisions in virtual time, one call of the"
        " client at a time, client timeout 2 s, 1 ms of work at each level, 24 backends. Without a"
        " limit three attempts at each of 30 levels would give 3^30 sends. Two things limit them: RETRY_BUDGET_RATIO"
        " (0.2 retries for each call) at each"
        " proxy, and the client's timeout; RETRY_BUDGET_MAX (10 saved retries) makes the first calls cost the most. A"
        " call that failed with the reply `full` was"
        " not executed, and its retry does not count against RETRY_BUDGET_RATIO.",
        "",
        *_attempts_table(book),
        "",
        "Chains warmed up with services that take 1 ms, which then become slower without failing: the fraction of"
        " calls that succeed, after the first 20 (simulated). Each level gives the next one half of the remaining time,"
        " until little more than the usual duration remains; from there on each level gives the usual"
        " duration, and calls that time out are retried. Five time-outs in a row without any answer"
        " raise the usual duration (`policy.py`); without that rule no call completed again along eight or more"
        " levels. With a single attempt a level gives all the remaining time.",
        "",
        *_slowed_chain_table(book),
        "",
        "## A chain of proxy processes",
        "",
        "`pepperusher capacity slopes --only nothing --chain --depth N --rate R --attempts A`."
        " A result with a load above the number of cores depends"
        " on other"
        " processes and is not projected. If more than 1 in 100 calls failed in each round, no latency is given,"
        " since failed calls end early. Open loop, Poisson arrivals, latency from the"
        " intended time of sending, compared with the same services without proxies; medians over the rounds."
        " The column calls has the calls of all rounds; where it shows -, the result is that of the"
        " quieter of two rounds of 10 s, and at 8 calls a second the 99th percentile is the worst of about"
        " 80.",
        "",
        *_chain_table(book),
        "",
        "## Not measured",
        "",
        *_not_measured(projection),
    ]
    return "\n".join(lines) + "\n"


def after_section(page: str) -> str:
    """Returns the section between the marks of an existing page, or NOT_MEASURED_YET if it has none."""
    _, begin, rest = page.partition(AFTER_BEGIN)
    section, end, _ = rest.partition(AFTER_END)
    return section.strip("\n") if begin and end else NOT_MEASURED_YET


def as_json(projection: Projection, book: Book) -> dict[str, Any]:
    """Returns the projection and the fitted slopes as a JSON object."""
    first_missing = projection.first_missing()
    return {
        "commit": book.commit,
        "command": book.command,
        "target": projection.target._asdict(),
        "assumed": {"mild": projection.mild._asdict(), "harsh": projection.harsh._asdict()},
        "first_missing": None if first_missing is None else first_missing.what,
        "rows": [
            {
                **row._asdict(),
                "budget": None if row.budget is None else row.budget._asdict(),
                "ratio_mild": row.ratio(row.mild),
                "ratio_harsh": row.ratio(row.harsh),
                "missing": row.missing,
            }
            for row in projection.rows()
        ],
        "slopes": {
            measured.name: {
                "curve": (fit := measured.fit()).curve,
                "base": fit.base,
                "slope": fit.slope,
                "low": fit.low,
                "high": fit.high,
                "unit": measured.unit,
                "error_at_held_out": measured.check().error,
            }
            for measured in book.measured
        },
    }
