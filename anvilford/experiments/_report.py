"""Writes a report as JSON with an SVG plot, and formats its figures."""

import json
import pathlib
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import figure as mpl_figure  # noqa: E402 (after use)

_COLUMNS = {
    "slowdown": ("p99", "p99.9", "in_time", "waste"),
    "slowdown_ratio": ("p99.9", "reference_p99.9", "ratio", "in_time", "waste"),
    "peak": (
        "worst_second_of_bound",
        "peak_of_bound",
        "in_time_total",
        "recovery_s",
        "refusals_late",
    ),
    "in_time": ("in_time", "in_time_total", "p99", "most_ejected", "waste"),
}


def write_report(report: dict[str, Any], directory: pathlib.Path) -> None:
    """Writes NAME.json and NAME.svg; equal reports give identical files.

    Args:
        report: Report of a scenario, from `compare_policies`.
        directory: Directory of the files; it is created if necessary.
    """
    directory.mkdir(parents=True, exist_ok=True)
    name = report["scenario"]["name"]
    text = json.dumps(report, indent=1, sort_keys=True)
    (directory / f"{name}.json").write_text(text + "\n", encoding="utf-8")
    _plot(report, directory / f"{name}.svg")


def format_figures(report: dict[str, Any]) -> str:
    """Returns the figures as a text table with one line per policy.

    The measure of the scenario determines the columns.
    """
    columns = _COLUMNS[report["scenario"]["measure"]]
    columns += ("refusals_false", "unanswered")
    lines = [" ".join(["policy".ljust(22), *(c.rjust(15) for c in columns)])]
    for policy, result in report["policies"].items():
        cells = (
            f"{result['figures'].get(c, float('nan')):.4f}".rjust(15)
            for c in columns
        )
        lines.append(" ".join([policy.ljust(22), *cells]))
    return "\n".join(lines)


def _plot(report: dict[str, Any], path: pathlib.Path) -> None:
    measure = report["scenario"]["measure"]
    with matplotlib.rc_context({"svg.hashsalt": "anvilford"}):
        figure = mpl_figure.Figure(figsize=(7, 4))
        axes = figure.subplots()
        if measure == "peak":
            _plot_answers(report, axes)
        else:
            _plot_percentiles(report, axes)
        axes.set_title(report["scenario"]["name"])
        axes.legend()
        # Without the date, equal reports give identical files.
        figure.savefig(path, format="svg", metadata={"Date": None})


def _plot_answers(report: dict[str, Any], axes: Any) -> None:
    for policy, result in report["policies"].items():
        windows = result["runs"][0]["windows"]
        axes.plot(
            [w["start_s"] for w in windows],
            [w["answered"] for w in windows],
            label=policy,
        )
    axes.set_xlabel("time in s (first seed)")
    axes.set_ylabel("jobs answered in time per window")


def _plot_percentiles(report: dict[str, Any], axes: Any) -> None:
    names = ("p50", "p90", "p99", "p99.9")
    for policy, result in report["policies"].items():
        worst = [
            max(w["slowdown"][n] for r in result["runs"] for w in r["windows"])
            for n in names
        ]
        axes.plot(names, worst, marker="o", label=policy)
    axes.set_yscale("log")
    axes.set_xlabel("percentile, worst window of all seeds")
    axes.set_ylabel("slowdown")
