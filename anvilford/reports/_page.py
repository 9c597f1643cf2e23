"""Renders a log summary as one HTML page with embedded SVG plots."""

import html
import io
import math
import pathlib
from collections.abc import Mapping

import matplotlib

matplotlib.use("Agg")
from matplotlib import figure as mpl_figure  # noqa: E402 (after use)

from anvilford.reports._series import LogSummary  # noqa: E402 (after use)
from anvilford.reports._series import OUTCOMES  # noqa: E402 (after use)

COLOURS = {"served": "#4c9f70", "refused": "#e0a030", "lost": "#c04040"}
START_DELAY_QUANTILES = (0.5, 0.95)
# More vertical lines than this would hide the bars of the plot.
MAX_LEADER_CHANGE_LINES = 40


def write_page(summary: LogSummary, path: pathlib.Path, title: str) -> None:
    """Writes the page; equal summaries and titles give identical files.

    Args:
        summary: Figures to plot.
        path: HTML file to write; an existing file is replaced.
        title: Title and heading of the page, as plain text.
    """
    plots = [
        _render_svg(_plot_outcomes, summary),
        _render_svg(_plot_start_delays, summary),
        _render_svg(_plot_outcome_shares, summary),
    ]
    reasons = "".join(
        f"<tr><td>{html.escape(reason)}</td><td>{count}</td></tr>"
        for reason, count in summary.failures_by_reason.most_common()
    )
    events = "".join(
        f"<tr><td>{at:.2f}</td><td>{html.escape(text)}</td></tr>"
        for at, text in summary.events
    )
    path.write_text(
        f"<!DOCTYPE html><meta charset='utf-8'><title>{html.escape(title)}"
        f"</title><h1>{html.escape(title)}</h1>{''.join(plots)}"
        f"<h2>Not served, by reason</h2><table>{reasons}</table>"
        f"<h2>Leaders and processes</h2><table>{events}</table>"
        f"<p>Log lines left out by the entries: {summary.lines_left_out}</p>\n",
        "utf-8",
    )


def _render_svg(plot, summary: LogSummary) -> str:
    """Returns one plot as an SVG element.

    A fixed hash salt and the omitted date make equal plots identical.

    Args:
        plot: Function that draws the plot, with the parameters summary and
            figure.
        summary: Figures to plot.
    """
    with matplotlib.rc_context({"svg.hashsalt": "anvilford"}):
        figure = mpl_figure.Figure(figsize=(9, 3), layout="constrained")
        plot(summary, figure)
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _plot_outcomes(summary: LogSummary, figure: mpl_figure.Figure) -> None:
    axes = figure.subplots()
    seconds = range(summary.duration_s)
    base = [0] * summary.duration_s
    for outcome in OUTCOMES:
        counts = [summary.by_second.get(s, {}).get(outcome, 0) for s in seconds]
        axes.bar(
            seconds, counts, 1.0, base, align="edge", label=outcome,
            color=COLOURS[outcome],
        )  # fmt: skip
        base = [a + b for a, b in zip(base, counts, strict=True)]
    changes = [at for at, text in summary.events if text.endswith(" leads")]
    for at in changes[:MAX_LEADER_CHANGE_LINES]:
        axes.axvline(at, color="#404080", linewidth=0.8)
    axes.set_title("Requests per second; vertical lines mark leader changes")
    axes.set_xlabel("seconds")
    axes.legend(loc="upper right")


def _plot_start_delays(summary: LogSummary, figure: mpl_figure.Figure) -> None:
    axes = figure.subplots()
    seconds = sorted(summary.start_delays_ms)
    for quantile in START_DELAY_QUANTILES:
        delays = [
            _quantile(summary.start_delays_ms[s], quantile) for s in seconds
        ]
        axes.plot(seconds, delays, label=f"{quantile:.0%}")
    axes.set_title("Time from arrival to first start of a job, ms")
    axes.set_xlabel("seconds")
    axes.legend(loc="upper right")


def _plot_outcome_shares(
    summary: LogSummary, figure: mpl_figure.Figure
) -> None:
    left, right = figure.subplots(1, 2)
    for axes, title, table in (
        (left, "Share of outcomes by zone", summary.by_zone),
        (right, "Share of outcomes by queue", summary.by_queue),
    ):
        _plot_stacked_bars(axes, table)
        axes.set_title(title)


def _plot_stacked_bars(axes, table: Mapping[str, Mapping[str, int]]) -> None:
    names = sorted(table)
    base = [0.0] * len(names)
    for outcome in OUTCOMES:
        shares = [
            table[name].get(outcome, 0) / sum(table[name].values())
            for name in names
        ]
        axes.barh(names, shares, left=base, color=COLOURS[outcome])
        base = [a + b for a, b in zip(base, shares, strict=True)]


def _quantile(values: list[int], quantile: float) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.floor(quantile * len(ordered)))]
