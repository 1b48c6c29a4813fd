"""The page docs/CAPACITY.md from a projection: rows over budget first, then all rows, slopes, assumptions
and what was not measured; free of I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Any

from pepperusher.capacity.measures import COUNTED, Book, Measured
from pepperusher.capacity.projection import Projection
from pepperusher.capacity.target import Assumed, Row

# What stands between these on the page is another hand's, and is kept when the page is printed anew.
AFTER, AFTER_END = "<!-- after: begin -->", "<!-- after: end -->"
NOTHING_YET = "not measured yet"
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


def figure(value: float | None, unit: str = "") -> str:
    if value is None:
        return "not measured"
    if unit == "us" and abs(value) >= 1_000:
        return f"{_short(value / 1_000)} ms"
    if unit == "us/s":
        return f"{_short(value / 10_000)}% of a core"
    if unit in ("bytes", "bytes/s"):
        for size, name in ((1e9, "GB"), (1e6, "MB"), (1e3, "kB")):
            if abs(value) >= size:
                return f"{_short(value / size)} {name}{unit[5:]}"
    return f"{_short(value)} {unit}".strip()


def _short(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _ratio(value: float | None) -> str:
    return "-" if value is None else f"{value:.2g}" if value < 10 else f"{value:,.0f}"


def _table(head: Iterable[str], rows: Iterable[Iterable[str]]) -> Iterator[str]:
    cells = list(head)
    yield f"| {' | '.join(cells)} |"
    yield f"|{' --- |' * len(cells)}"
    for row in rows:
        yield f"| {' | '.join(row)} |"


def _cells(row: Row) -> list[str]:
    return [
        row.role,
        row.when,
        row.what,
        figure(row.mild, row.unit),
        figure(row.harsh, row.unit),
        "none" if row.budget is None else f"{figure(row.budget.value, row.unit)} ({row.budget.of})",
        f"{_ratio(row.ratio(row.mild))}, **{_ratio(row.ratio(row.harsh))}**",
        row.mechanism.replace("missing", "**missing**", 1),
        ", ".join(row.from_) + (f". {row.note}" if row.note else ""),
    ]


HEAD = ("role", "when", "what", "mild", "harsh", "budget", "ratio mild, harsh", "mechanism that carries it", "from")


def slope_of(one: Measured, cores: int) -> list[str]:
    fit, check = one.fit(), one.check()
    curve = one.per if fit.curve == "line" else f"{fit.curve}, n = {one.per}"
    # What discovery is asked is counted, but how soon it answers is not.
    alone = one.worth == COUNTED and one.role != "discovery"
    load = "" if one.load is None or alone else f"; load {one.load:g}"
    if one.reference is not None and not alone:
        load += f", reference loop {one.reference / 1000:.1f} ms"
    if one.spoilt(cores):
        load += f" on {cores} cores, so **not projected**"
    return [
        one.name,
        one.what,
        f"{_short(fit.base)} + {fit.slope:.3g} ({fit.low:.3g} to {fit.high:.3g}) {one.unit} by {curve}",
        f"{fit.residual:.1%}",
        f"{check.size:,.0f}: {_short(check.said)} said, {_short(check.measured)} measured, **{check.error:+.1%}**",
        f"`{one.command}` at {one.commit}: {', '.join(f'{size:,.0f}' for size, _ in one.points)};"
        f" {one.worth}, {one.repeats} each{load}",
    ]


def _in_short(row: Row) -> str:
    mild, harsh = _ratio(row.ratio(row.mild)), _ratio(row.ratio(row.harsh))
    return f"- {row.role}, {row.when}: {row.what}: **{mild}** mild, **{harsh}** harsh; {row.mechanism}."


def _carried(of: Projection) -> Iterator[str]:
    """What was missing when the mechanism was chosen, and what carries it now."""
    rows = [row for row in of.rows() if row.before is not None]
    if not rows:
        return
    worst = max(rows, key=lambda row: row.ratio(row.before[1]) or 0.0 if row.before else 0.0)
    assert worst.before is not None
    yield (
        f"**Chosen before:** {worst.role}: {worst.what}, {figure(worst.before[1], worst.unit)}, **"
        f"{_ratio(worst.ratio(worst.before[1]))} times** its budget, the row furthest over it that no"
        f" mechanism carried: **distribution was missing** then. It is there now and carries these rows,"
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
            "mechanism that carries it",
            "from",
        ),
        (
            [
                row.role,
                row.when,
                row.what,
                figure(row.budget.value if row.budget else None, row.unit),
                f"{figure(before[0], row.unit)}, {figure(before[1], row.unit)}",
                f"{_ratio(row.ratio(before[0]))}, **{_ratio(row.ratio(before[1]))}**",
                f"{figure(row.mild, row.unit)}, {figure(row.harsh, row.unit)}",
                f"{_ratio(row.ratio(row.mild))}, **{_ratio(row.ratio(row.harsh))}**",
                row.mechanism,
                ", ".join(row.from_) + f". {row.note}",
            ]
            for row in rows
            if (before := row.before) is not None
        ),
    )
    yield ""


def _choice(of: Projection) -> Iterator[str]:
    yield from _carried(of)
    first = of.first_missing()
    if first is None:
        yield "No row that is over its budget is without a mechanism, as far as it was measured."
        return
    yield (
        f"**Next: {first.role}: {first.what}** ({first.when}): {figure(first.mild, first.unit)} mild,"
        f" {figure(first.harsh, first.unit)} harsh against"
        f" {figure(first.budget.value if first.budget else None, first.unit)}: **{_ratio(first.worst)}"
        f" times** its budget. {first.mechanism}."
    )
    yield ""
    yield "Not chosen, over budget and without a mechanism, in this order:"
    yield ""
    for row in of.over():
        if row.missing and row != first:
            yield _in_short(row)
    yield ""
    yield "Over budget with a mechanism that is there and does not suffice:"
    yield ""
    for row in of.over():
        if not row.missing:
            yield _in_short(row)


SAID = {
    "largest": "backends of the largest of the 210 services (mean 24)",
    "called": "services that one proxy calls",
    "listed": "backends on the list of one proxy (mild: of the services that it calls; harsh: all, since"
    " nothing is sent by name)",
    "group": "group size in a proxy's settings",
    "callers": "proxies that call the service that most call",
    "zoned": "settings name all 13 zones",
    "released": "backends replaced in one release",
    "release_s": "within so many seconds",
    "members": "members of one group of proxies",
    "routes": "routes in an own file",
    "concerned": "part of the changes of configuration that concern one proxy",
    "marked": "backends banned or drained by hand at once",
    "failing": "levels of a chain that fail at once",
    "share": "part of their calls that they fail",
    "fronts": "front proxies",
    "entering": "part of all calls that come in by way of front proxies",
    "front_listed": "backends on the list of a front proxy",
    "apart_s": "seconds for which regions lose each other",
}


def _assumed(mild: Assumed, harsh: Assumed) -> Iterator[str]:
    yield from _table(
        ("left open by the target", "mild", "harsh"),
        ([said, f"{getattr(mild, name):g}", f"{getattr(harsh, name):g}"] for name, said in SAID.items()),
    )


def _not_measured(of: Projection) -> Iterator[str]:
    rows = of.rows()
    for row in rows:
        if row.mild is None and row.harsh is None:
            yield f"- {row.role}, {row.when}: {row.what}."
    for role in ROLES:
        there = {row.when for row in rows if row.role == role and (row.mild, row.harsh) != (None, None)}
        gone = [when for when in OCCASIONS if when not in there]
        if not there:
            yield f"- **{role}**: every occasion."
        elif gone:
            beside = ", beside what holds always" if "always" in there else ""
            yield f"- {role}: nothing of its own for {', '.join(gone)}{beside}."


def _at_all(book: Book) -> Iterator[str]:
    yield from _table(
        (
            "attempts along 30 levels",
            "a call, the first 20",
            "a call, later",
            "the worst call",
            "at the last level",
            "calls done",
        ),
        (
            [
                f"{failing} level{'s' * (failing > 1)} fail{'s' * (failing == 1)} {share}%, passed up as {passed}",
                *(
                    "not measured"
                    if (one := book.single(f"attempts.{passed}.{share}.{failing}.{which}")) is None
                    else _short(one.value)
                    for which in ("first", "after", "most", "last", "done")
                ),
            ]
            for passed in ("error", "full")
            for share in (30, 100)
            for failing in (1, 2, 3)
        ),
    )
    yield ""
    yield from _table(
        ("levels, no time known yet", "part of calls done", "sends a call"),
        (
            [str(depth), _short(done.value), _short(sends.value)]
            for depth in (4, 8, 12, 16, 20, 30)
            if (done := book.single(f"cold.{depth}.done")) and (sends := book.single(f"cold.{depth}.sends"))
        ),
    )


def _slowed(book: Book) -> Iterator[str]:
    factors = (1, 2, 3, 5, 10)
    yield from _table(
        ("levels", "attempts of each proxy", *(f"services take {one} times as long" for one in factors)),
        (
            [str(depth), str(most), *(
                "not measured" if (one := book.single(f"slowed.{most}.{depth}.{factor}")) is None
                else _short(one.value) for factor in factors
            )]
            for most in (3, 1) for depth in (5, 6, 7, 8, 10, 20, 30)
        ),
    )  # fmt: skip


def _one_proxy(book: Book) -> Iterator[tuple[str, str]]:
    """Key and words of what was measured through one proxy at the target's calls a second."""
    for listed in (24, 250, 1_000, 5_000):
        for key, with_it in (("", ""), (".release", ", a release's changes")):
            for group, said in (("", ""), (".group1", ", group size 1")):
                name = f"1.{listed}{key}.at72{group}"
                if book.single(f"chain.{name}.failed"):
                    yield name, f"1 in a row, 72 calls a second, {listed:,} listed{with_it}{said}"


def _chain(book: Book) -> Iterator[str]:
    rows = []
    keys = [
        (
            f"{depth}.24.at{rate}{once}",
            f"{depth} in a row, {rate} calls a second, 24 listed" + (", one attempt each" if once else ""),
        )
        for depth in (1, 5, 10, 20, 30)
        for rate in (2, 4, 8, 24)
        for once in ("", ".once")
        if book.single(f"chain.{depth}.24.at{rate}{once}.failed")
    ]
    keys += [("30.24.once", "30 in a row, 24 calls a second, 24 listed, one attempt each")] * (
        book.single("chain.30.24.once.failed") is not None
    )
    for key, said in (
        *_one_proxy(book),
        *keys,
        ("30.24", "24 listed"),
        ("30.250", "250 listed"),
        ("30.1000", "1,000 listed"),
        ("30.250.release", "250 listed, a release's changes"),
    ):
        said = said if "row" in said else f"30 in a row, 24 calls a second, {said}"
        found = [
            book.single(f"chain.{key}.{which}")
            for which in ("bare99", "through99", "added99", "added50", "cpu", "failed")
        ]
        load = next((f"{one.load:g}" for one in found if one is not None and one.load is not None), "-")
        failed = "not measured" if found[-1] is None else f"{found[-1].value:.0%}"
        calls = book.single(f"chain.{key}.calls")
        rows.append(
            [
                said,
                *(figure(one.value if one else None, "us") for one in found[:-1]),
                failed,
                "-" if calls is None else f"{calls.value:,.0f}",
                load,
            ]
        )
    yield from _table(
        (
            "chain",
            "99th without proxies",
            "99th with them",
            "added at the 99th",
            "added at the middle",
            "processor time of the last proxy, a call",
            "calls failed",
            "calls",
            "load beside it",
        ),
        rows,
    )


def printed(of: Projection, book: Book, after: str = NOTHING_YET) -> str:
    """The whole page. `after` is what stands between the marks."""
    over = of.over()
    target = of.target
    lines = [
        "# Capacity: what runs out first on the way to 5,000 proxies",
        "",
        "Printed by `pepperusher capacity project --slopes docs/capacity.json --page docs/CAPACITY.md`;"
        " nothing here is written by hand but what"
        " stands between the marks of the after-figures. A slope is a least-squares fit over five sizes or"
        " more, checked at a size that was not"
        f" fitted. {book.machine}; the machine was shared, so times (medians, of `time.process_time` where"
        f" one process is measured) are worth"
        " what the load beside them says. A reference loop is the same 200,000 turns of plain Python, timed"
        " between the sizes: where all cores are busy they slow each other, and processor time is longer for"
        " the same work, by up to twice (docs/results.md). Counts are exact. A commit with a plus had changes"
        " that were not committed.",
        "",
        f"The target: {target.proxies:,} backends, each with its proxy, in {target.services} services;"
        f" {target.calls:,.0f} calls a second up to"
        f" {target.depth} deep; {target.added_us / 1000:g} ms added to a call for 99 in 100;"
        f" {target.regions} regions, {target.zones} zones;"
        f" {target.changes_a_day:,} changes of configuration a day in force within {target.in_force_s:g}"
        f" s; for control a proxy spends"
        f" {target.proxy_cpu_us / 10_000:g}% of a core, {target.proxy_bytes / 1e6:g} MB and"
        f" {target.proxy_wire / 1000:g} KB a second; {target.control_machines}"
        f" control machines; {target.failures_a_day} failures and {target.restarts_a_day:,} restarts a day.",
        "",
        "## Over budget, worst first",
        "",
        *(_table(HEAD, map(_cells, over))),
        "",
        "## What comes first",
        "",
        *_choice(of),
        "",
        "### After the mechanism",
        "",
        AFTER,
        after,
        AFTER_END,
        "",
        "## All rows, worst first",
        "",
        *(_table(HEAD, map(_cells, [row for row in of.rows() if row not in over]))),
        "",
        "## Assumptions",
        "",
        *_assumed(of.mild, of.harsh),
        "",
        "## Slopes",
        "",
        "What is counted is fitted by the curve that leaves least (line, n log n, log n, root of n, n"
        " squared), if it leaves under half of a"
        " line's residuals; what is timed, by a line, or by the curve that the code gives (n over 400: of a"
        " list of fewer than 400 backends an arc is as long in a group of 1,000; n + n squared / 84: each of"
        " n looks through all as well, which is as much at 84). Intervals are at 95%, the residual is the"
        " mean absolute one as a part of the mean value.",
        "",
        *_table(
            ("slope", "what", "base + slope (95%)", "residual", "at a size not fitted", "how"),
            [slope_of(one, book.cores) for one in sorted(book.measured, key=lambda one: one.name)],
        ),
        "",
        "## Attempts along a chain",
        "",
        "`pepperusher capacity slopes --only attempts`. The real decisions in virtual time, one call from"
        " the top at a time, 2 s of patience, 1 ms of work at each level, 24 backends. Without a"
        " bound three attempts at each of 30 levels come to 3^30. What stops it: RETRY_BUDGET_RATIO (0.2 further"
        " sends for each call taken) at each"
        " proxy, and the client's wait; RETRY_BUDGET_MAX (10 saved up) makes the first calls the dearest. A"
        " failure that is passed up as `full` never"
        " ran, and is not held to RETRY_BUDGET_RATIO.",
        "",
        *_at_all(book),
        "",
        "Warmed at 1 ms a service, which then take longer, none of them failing: the part of calls done,"
        " after the first 20 (simulated). Each level leaves the next half of what is left, until that is"
        " little more than what was usual (`policy.py` _attempt_timeout); from there on each level has what was"
        " usual once, and what is cut at its end is sent again. Five lost answers in a row with nothing heard"
        " tell a longer usual time (`policy.py` _count); before that no call came through again from eight"
        " levels on. With one attempt a level leaves all.",
        "",
        *_slowed(book),
        "",
        "## A chain of whole proxies",
        "",
        "`pepperusher capacity slopes --only nothing --chain --depth N --rate R --attempts A`."
        " Where the load is over the cores, it tells"
        " of what"
        " else ran, and is not projected. Where over 1 in 100 calls failed in each round no time is told,"
        " since those that fail end early. Open loop, Poisson, latency from the"
        " intended moment of sending, against the same services without proxies; medians over the rounds."
        " Where calls are told, so many are behind the figures, all rounds together; where none are, the"
        " quieter of two rounds of 10 s counts, and at 8 calls a second the 99th of 100 is the worst of some"
        " 80.",
        "",
        *_chain(book),
        "",
        "## Not measured",
        "",
        *_not_measured(of),
    ]
    return "\n".join(lines) + "\n"


def after_of(page: str) -> str:
    """What stands between the marks of a page that was printed before."""
    _, begin, rest = page.partition(AFTER)
    held, end, _ = rest.partition(AFTER_END)
    return held.strip("\n") if begin and end else NOTHING_YET


def as_json(of: Projection, book: Book) -> dict[str, Any]:
    first = of.first_missing()
    return {
        "commit": book.commit,
        "command": book.command,
        "target": of.target._asdict(),
        "assumed": {"mild": of.mild._asdict(), "harsh": of.harsh._asdict()},
        "first_missing": None if first is None else first.what,
        "rows": [
            {
                **row._asdict(),
                "budget": None if row.budget is None else row.budget._asdict(),
                "ratio_mild": row.ratio(row.mild),
                "ratio_harsh": row.ratio(row.harsh),
                "missing": row.missing,
            }
            for row in of.rows()
        ],
        "slopes": {
            one.name: {
                "curve": (fit := one.fit()).curve,
                "base": fit.base,
                "slope": fit.slope,
                "low": fit.low,
                "high": fit.high,
                "unit": one.unit,
                "error_at_held_out": one.check().error,
            }
            for one in book.measured
        },
    }
