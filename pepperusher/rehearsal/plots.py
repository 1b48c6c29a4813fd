"""The plots of a report, as SVG to stand in a page."""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Sequence

import matplotlib

matplotlib.use("svg")

from matplotlib.figure import Figure  # noqa: E402

from pepperusher.rehearsal.results import Result  # noqa: E402
from pepperusher.rehearsal.tally import Group, histogram_of  # noqa: E402

WIDE = (8.0, 2.8)
COLOURS = {"closed": "#d9ead3", "open": "#cc4125"}
MOST_ROWS = 40


def _svg(figure: Figure) -> str:
    """Without what differs from one writing to the next, and without the XML head a page has no place for."""
    out = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "rehearsal"}):
        figure.savefig(out, format="svg", metadata={"Date": None}, bbox_inches="tight")
    text = out.getvalue()
    return text[text.index("<svg") :]


def _axes(title: str, x: str, y: str, size: tuple[float, float] = WIDE) -> tuple[Figure, object]:
    figure = Figure(figsize=size)
    axes = figure.add_subplot()
    axes.set_title(title, fontsize=10, loc="left")
    axes.set_xlabel(x, fontsize=8)
    axes.set_ylabel(y, fontsize=8)
    axes.tick_params(labelsize=8)
    axes.grid(alpha=0.3)
    return figure, axes


def percentiles(results: list[Result]) -> str:
    """Time by percentile, the tail drawn out as 1 / (1 - p)."""
    figure, axes = _axes("Time from the intended send, by percentile", "percentile", "ms")
    for result in results:
        times = histogram_of(result.figures.intended)
        if not times.get_total_count():
            continue
        parts = [1 - 10 ** (-step / 20) for step in range(0, 81)]
        axes.plot(
            [1 / (1 - part) for part in parts],
            [times.get_value_at_percentile(100 * part) / 1000 for part in parts],
            label=f"{result.title}, {result.build}, seed {result.seed}"[:60],
        )
    axes.set_xscale("log")
    axes.set_xticks([1, 10, 100, 1000, 10_000], ["0", "90", "99", "99.9", "99.99"])
    axes.set_yscale("log")
    if results:
        axes.legend(fontsize=7)
    return _svg(figure)


def over_time(result: Result) -> str:
    seconds = result.figures.seconds
    figure, axes = _axes("Time from the intended send, by second", "s", "ms")
    at = [one.at for one in seconds]
    axes.plot(at, [one.p50 / 1000 for one in seconds], label="p50")
    axes.plot(at, [one.p99 / 1000 for one in seconds], label="p99")
    for one in seconds:
        if not one.trusted:
            axes.axvspan(one.at, one.at + 1, color="#f6b26b", alpha=0.5)
    axes.legend(fontsize=7)
    return _svg(figure)


def outcomes(result: Result) -> str:
    seconds = result.figures.seconds
    figure, axes = _axes("What became of the wishes, by second", "s", "wishes")
    at = [one.at for one in seconds]
    axes.stackplot(
        at,
        [one.in_time for one in seconds],
        [one.late for one in seconds],
        [one.wishes - one.in_time - one.late for one in seconds],
        labels=["in time", "late", "failed"],
        colors=["#93c47d", "#ffd966", "#cc4125"],
    )
    axes.plot(at, [one.tries for one in seconds], color="black", linewidth=0.8, label="tries")
    axes.legend(fontsize=7)
    return _svg(figure)


def groups(title: str, those: list[Group]) -> str:
    figure, axes = _axes(title, "goodput", "", (8.0, 0.6 + 0.28 * max(1, len(those))))
    names = [one.name for one in those]
    axes.barh(names, [one.goodput for one in those], color="#6fa8dc")
    axes.set_xlim(0, 1)
    axes.invert_yaxis()
    return _svg(figure)


def bars(title: str, x: str, parts: Sequence[str], rows: Sequence[tuple[str, Sequence[float | None]]]) -> str:
    """A row of bars for each name, one for each part; none where there is no figure."""
    figure, axes = _axes(title, x, "", (8.0, 0.8 + 0.12 * max(1, len(rows)) * (len(parts) + 1)))
    high = 0.9 / max(1, len(parts))
    for place, part in enumerate(parts):
        axes.barh(
            [row + (place - (len(parts) - 1) / 2) * high for row in range(len(rows))],
            [values[place] or 0.0 for _, values in rows],
            height=high,
            label=part,
        )
    axes.set_yticks(range(len(rows)), [name for name, _ in rows], fontsize=7)
    axes.invert_yaxis()
    axes.legend(fontsize=7)
    return _svg(figure)


def breakers(result: Result) -> str:
    """Each backend's breakers over time, as the proxies' logs tell of them: the share that stands open."""
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    opened: dict[tuple[int, str], int] = {}
    for at, proxy, id, state in result.figures.turns:
        if state == "open":
            opened.setdefault((proxy, id), at)
        elif (proxy, id) in opened:
            began = opened.pop((proxy, id))
            spans[id].append((began / 1e6, (at - began) / 1e6))
    for (_, id), began in opened.items():
        spans[id].append((began / 1e6, max(0, result.span - began) / 1e6))
    rows = sorted(spans, key=lambda id: -sum(length for _, length in spans[id]))[:MOST_ROWS]
    figure, axes = _axes(
        f"Breakers open, darker where at more proxies ({len(spans)} backends had one)",
        "s",
        "",
        (8.0, 0.8 + 0.2 * max(1, len(rows))),
    )
    for row, id in enumerate(rows):
        axes.broken_barh(spans[id], (row - 0.4, 0.8), color=COLOURS["open"], alpha=0.3, linewidth=0)
    axes.set_yticks(range(len(rows)), rows, fontsize=7)
    axes.set_xlim(0, result.span / 1e6)
    axes.invert_yaxis()
    return _svg(figure)


# What a member is found to be from such a line on.
FOUND = {"suspected": "suspected", "lost": "lost", "left": "gone", "clients sent away": "gone"}
FOUND_COLOURS = {"suspected": "#ffd966", "lost": "#cc4125", "gone": "#6fa8dc"}


def members(result: Result) -> str:
    """For each proxy, as what the others found it over time, darker where more did."""
    spans: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    since: dict[tuple[int, str], tuple[str, int]] = {}

    def end(by: int, of: str, at: int) -> None:
        if (was := since.pop((by, of), None)) is not None:
            spans[of, was[0]].append((was[1] / 1e6, max(0, at - was[1]) / 1e6))

    for at, proxy, what, of in result.figures.believed:
        if of == result.proxies[proxy] or what.startswith(("reaches", "an order", "shares")):
            continue
        end(proxy, of, at)
        if what in FOUND:
            since[proxy, of] = FOUND[what], at
    for proxy, of in list(since):
        end(proxy, of, result.span)
    names = [name for name in result.proxies if any(of == name for of, _ in spans)][:MOST_ROWS]
    figure, axes = _axes(
        "Members as the others find them, darker where more do", "s", "", (8.0, 0.8 + 0.2 * max(1, len(names)))
    )
    for row, name in enumerate(names):
        for what, colour in FOUND_COLOURS.items():
            axes.broken_barh(
                spans[name, what], (row - 0.4, 0.8), color=colour, alpha=min(1.0, 2 / len(result.proxies)), linewidth=0
            )
        held = [
            (max(0, at) / 1e6, (until - at) / 1e6)
            for proxy, at, until in result.figures.held
            if result.proxies[proxy] == name
        ]
        axes.broken_barh(held, (row - 0.1, 0.2), color="black", linewidth=0)
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_xlim(0, result.span / 1e6)
    axes.invert_yaxis()
    return _svg(figure)
