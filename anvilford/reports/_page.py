"""Draws a day as one HTML page with plots inside."""

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
WAIT_QUANTILES = (0.5, 0.95)
# More lines than these would hide the plot.
MOST_MARKS = 40


def write_page(day: LogSummary, path: pathlib.Path, title: str) -> None:
    """Writes a page; equal days give equal files.

    Args:
        day: What is drawn.
        path: File to write.
        title: Heading.
    """
    plots = [
        _draw(_plot_outcomes, day),
        _draw(_plot_waits, day),
        _draw(_plot_shares, day),
    ]
    reasons = "".join(
        f"<tr><td>{html.escape(reason)}</td><td>{count}</td></tr>"
        for reason, count in day.refusals.most_common()
    )
    events = "".join(
        f"<tr><td>{at:.2f}</td><td>{html.escape(text)}</td></tr>"
        for at, text in day.events
    )
    path.write_text(
        f"<!DOCTYPE html><meta charset='utf-8'><title>{html.escape(title)}"
        f"</title><h1>{html.escape(title)}</h1>{''.join(plots)}"
        f"<h2>Not served, by reason</h2><table>{reasons}</table>"
        f"<h2>Leaders and processes</h2><table>{events}</table>"
        f"<p>Log lines left out by the entries: {day.left_out}</p>\n",
        "utf-8",
    )


def _draw(plot, day: LogSummary) -> str:
    """Draws one plot as SVG, without what differs between equal plots."""
    with matplotlib.rc_context({"svg.hashsalt": "anvilford"}):
        figure = mpl_figure.Figure(figsize=(9, 3), layout="constrained")
        plot(day, figure)
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _plot_outcomes(day: LogSummary, figure: mpl_figure.Figure) -> None:
    axes = figure.subplots()
    seconds = range(day.seconds)
    base = [0] * day.seconds
    for outcome in OUTCOMES:
        counts = [day.outcomes.get(s, {}).get(outcome, 0) for s in seconds]
        axes.bar(
            seconds, counts, 1.0, base, align="edge", label=outcome,
            color=COLOURS[outcome],
        )  # fmt: skip
        base = [a + b for a, b in zip(base, counts, strict=True)]
    changes = [at for at, text in day.events if text.endswith(" leads")]
    for at in changes[:MOST_MARKS]:
        axes.axvline(at, color="#404080", linewidth=0.8)
    axes.set_title("Requests a second; a line is a new leader")
    axes.set_xlabel("seconds")
    axes.legend(loc="upper right")


def _plot_waits(day: LogSummary, figure: mpl_figure.Figure) -> None:
    axes = figure.subplots()
    seconds = sorted(day.waits_ms)
    for share in WAIT_QUANTILES:
        waits = [_quantile(day.waits_ms[s], share) for s in seconds]
        axes.plot(seconds, waits, label=f"{share:.0%}")
    axes.set_title("Time from arrival to first start, ms")
    axes.set_xlabel("seconds")
    axes.legend(loc="upper right")


def _plot_shares(day: LogSummary, figure: mpl_figure.Figure) -> None:
    left, right = figure.subplots(1, 2)
    for axes, title, table in (
        (left, "By zone", day.by_zone),
        (right, "By queue", day.by_queue),
    ):
        _plot_bars(axes, table)
        axes.set_title(title)


def _plot_bars(axes, table: Mapping[str, Mapping[str, int]]) -> None:
    names = sorted(table)
    base = [0.0] * len(names)
    for outcome in OUTCOMES:
        shares = [
            table[name].get(outcome, 0) / sum(table[name].values())
            for name in names
        ]
        axes.barh(names, shares, left=base, color=COLOURS[outcome])
        base = [a + b for a, b in zip(base, shares, strict=True)]


def _quantile(values: list[int], share: float) -> int:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.floor(share * len(ordered)))]
