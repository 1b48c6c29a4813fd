"""The plots of a report, as SVG for embedding in an HTML page."""

from __future__ import annotations

import io
from collections import defaultdict
from collections.abc import Sequence

import matplotlib

matplotlib.use("svg")

from matplotlib.figure import Figure  # noqa: E402

from pepperusher.rehearsal.results import Result  # noqa: E402
from pepperusher.rehearsal.tally import GroupStatistics, decode_histogram  # noqa: E402

FIGURE_SIZE_INCHES = (8.0, 2.8)
COLOURS = {"closed": "#d9ead3", "open": "#cc4125"}
MAX_ROWS = 40


def _to_svg(figure: Figure) -> str:
    """Returns the SVG of a figure, without the XML prolog, which HTML does not allow, and without the date, for reproducibility."""
    out = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "rehearsal"}):
        figure.savefig(out, format="svg", metadata={"Date": None}, bbox_inches="tight")
    text = out.getvalue()
    return text[text.index("<svg") :]


def _new_axes(
    title: str, x_label: str, y_label: str, size: tuple[float, float] = FIGURE_SIZE_INCHES
) -> tuple[Figure, object]:
    figure = Figure(figsize=size)
    axes = figure.add_subplot()
    axes.set_title(title, fontsize=10, loc="left")
    axes.set_xlabel(x_label, fontsize=8)
    axes.set_ylabel(y_label, fontsize=8)
    axes.tick_params(labelsize=8)
    axes.grid(alpha=0.3)
    return figure, axes


def latency_percentiles(results: list[Result]) -> str:
    """Plots latency by percentile; the x axis is 1 / (1 - p), which stretches the tail."""
    figure, axes = _new_axes("Time from the intended send, by percentile", "percentile", "ms")
    for result in results:
        histogram = decode_histogram(result.figures.intended)
        if not histogram.get_total_count():
            continue
        quantiles = [1 - 10 ** (-step / 20) for step in range(0, 81)]
        axes.plot(
            [1 / (1 - quantile) for quantile in quantiles],
            [histogram.get_value_at_percentile(100 * quantile) / 1000 for quantile in quantiles],
            label=f"{result.title}, {result.build}, seed {result.seed}"[:60],
        )
    axes.set_xscale("log")
    axes.set_xticks([1, 10, 100, 1000, 10_000], ["0", "90", "99", "99.9", "99.99"])
    axes.set_yscale("log")
    if results:
        axes.legend(fontsize=7)
    return _to_svg(figure)


def latency_over_time(result: Result) -> str:
    """Plots p50 and p99 by second; seconds with a stall of the generator are shaded."""
    seconds = result.figures.seconds
    figure, axes = _new_axes("Time from the intended send, by second", "s", "ms")
    starts = [second.at for second in seconds]
    axes.plot(starts, [second.p50 / 1000 for second in seconds], label="p50")
    axes.plot(starts, [second.p99 / 1000 for second in seconds], label="p99")
    for second in seconds:
        if not second.trusted:
            axes.axvspan(second.at, second.at + 1, color="#f6b26b", alpha=0.5)
    axes.legend(fontsize=7)
    return _to_svg(figure)


def request_outcomes(result: Result) -> str:
    seconds = result.figures.seconds
    figure, axes = _new_axes("Outcomes of the requests, by second", "s", "requests")
    starts = [second.at for second in seconds]
    axes.stackplot(
        starts,
        [second.in_time for second in seconds],
        [second.late for second in seconds],
        [second.wishes - second.in_time - second.late for second in seconds],
        labels=["in time", "late", "failed"],
        colors=["#93c47d", "#ffd966", "#cc4125"],
    )
    axes.plot(starts, [second.tries for second in seconds], color="black", linewidth=0.8, label="client attempts")
    axes.legend(fontsize=7)
    return _to_svg(figure)


def group_goodput(title: str, groups: list[GroupStatistics]) -> str:
    figure, axes = _new_axes(title, "goodput", "", (8.0, 0.6 + 0.28 * max(1, len(groups))))
    names = [group.name for group in groups]
    axes.barh(names, [group.goodput for group in groups], color="#6fa8dc")
    axes.set_xlim(0, 1)
    axes.invert_yaxis()
    return _to_svg(figure)


def bars(title: str, x_label: str, series: Sequence[str], rows: Sequence[tuple[str, Sequence[float | None]]]) -> str:
    """Plots a group of horizontal bars for each row, one bar per series; a missing value has no bar."""
    figure, axes = _new_axes(title, x_label, "", (8.0, 0.8 + 0.12 * max(1, len(rows)) * (len(series) + 1)))
    height = 0.9 / max(1, len(series))
    for index, series_name in enumerate(series):
        axes.barh(
            [row + (index - (len(series) - 1) / 2) * height for row in range(len(rows))],
            [values[index] or 0.0 for _, values in rows],
            height=height,
            label=series_name,
        )
    axes.set_yticks(range(len(rows)), [name for name, _ in rows], fontsize=7)
    axes.invert_yaxis()
    axes.legend(fontsize=7)
    return _to_svg(figure)


def open_breakers(result: Result) -> str:
    """Plots for each backend when breakers of proxies were open, read from the proxies' logs."""
    open_spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    opened: dict[tuple[int, str], int] = {}
    for at, proxy, backend, state in result.figures.turns:
        if state == "open":
            opened.setdefault((proxy, backend), at)
        elif (proxy, backend) in opened:
            opened_at = opened.pop((proxy, backend))
            open_spans[backend].append((opened_at / 1e6, (at - opened_at) / 1e6))
    for (_, backend), opened_at in opened.items():
        open_spans[backend].append((opened_at / 1e6, max(0, result.span - opened_at) / 1e6))
    rows = sorted(open_spans, key=lambda backend: -sum(duration for _, duration in open_spans[backend]))[:MAX_ROWS]
    figure, axes = _new_axes(
        f"Open breakers, darker for more proxies ({len(open_spans)} backends had one)",
        "s",
        "",
        (8.0, 0.8 + 0.2 * max(1, len(rows))),
    )
    for row, backend in enumerate(rows):
        axes.broken_barh(open_spans[backend], (row - 0.4, 0.8), color=COLOURS["open"], alpha=0.3, linewidth=0)
    axes.set_yticks(range(len(rows)), rows, fontsize=7)
    axes.set_xlim(0, result.span / 1e6)
    axes.invert_yaxis()
    return _to_svg(figure)


# The state of a member after a belief that a proxy logged, by the text of the belief.
MEMBER_STATES = {"suspected": "suspected", "lost": "lost", "left": "gone", "clients sent away": "gone"}
MEMBER_STATE_COLOURS = {"suspected": "#ffd966", "lost": "#cc4125", "gone": "#6fa8dc"}


def member_states(result: Result) -> str:
    """Plots for each proxy the state that the other members of its group believed it to be in, darker for more members."""
    state_spans: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    current_states: dict[tuple[int, str], tuple[str, int]] = {}

    def end_state(proxy: int, member: str, at: int) -> None:
        if (previous := current_states.pop((proxy, member), None)) is not None:
            state_spans[member, previous[0]].append((previous[1] / 1e6, max(0, at - previous[1]) / 1e6))

    for at, proxy, belief, member in result.figures.believed:
        if member == result.proxies[proxy] or belief.startswith(("reaches", "an order", "shares")):
            continue
        end_state(proxy, member, at)
        if belief in MEMBER_STATES:
            current_states[proxy, member] = MEMBER_STATES[belief], at
    for proxy, member in list(current_states):
        end_state(proxy, member, result.span)
    names = [name for name in result.proxies if any(member == name for member, _ in state_spans)][:MAX_ROWS]
    figure, axes = _new_axes(
        "States of members as seen by the others, darker for more members",
        "s",
        "",
        (8.0, 0.8 + 0.2 * max(1, len(names))),
    )
    for row, name in enumerate(names):
        for state, colour in MEMBER_STATE_COLOURS.items():
            axes.broken_barh(
                state_spans[name, state],
                (row - 0.4, 0.8),
                color=colour,
                alpha=min(1.0, 2 / len(result.proxies)),
                linewidth=0,
            )
        pauses = [
            (max(0, at) / 1e6, (until - at) / 1e6)
            for proxy, at, until in result.figures.held
            if result.proxies[proxy] == name
        ]
        axes.broken_barh(pauses, (row - 0.1, 0.2), color="black", linewidth=0)
    axes.set_yticks(range(len(names)), names, fontsize=7)
    axes.set_xlim(0, result.span / 1e6)
    axes.invert_yaxis()
    return _to_svg(figure)
