"""Measures real daemons over loopback and checks the performance limits.

    python -m benchmarks.real_path [--json FILE] [--seconds N]

Starts a site of separate processes on loopback and runs `benchmarks.load`
against its daemon beside direct calls to the same targets. The report states
for each performance limit (docs/design.md, section 1.3) whether it is met.
"""

import argparse
import datetime
import json
import os
import sys
from typing import Any

import attrs

from benchmarks import _real_sections as sections
from benchmarks._real_site import wait_for_targets
from standins.cluster import Site

CPU_SECTIONS = ("rate", "job_size", "targets")
SITE_SECTIONS = ("added", "connections", *CPU_SECTIONS)
SECTIONS = (*SITE_SECTIONS, "processes", "waste")
ADDED_LIMITS_MS = {"p50": 4.0, "p99": 15.0}
MESSAGE_OVERHEAD_LIMIT = 0.05


@attrs.frozen
class Verdict:
    """Measured value and its limit.

    Attributes:
        name: Name of the measured quantity.
        figure: Measured value.
        limit: Largest value that meets the limit.
    """

    name: str
    figure: float
    limit: float

    @property
    def is_met(self) -> bool:
        """Whether the measured value is within the limit."""
        return self.figure <= self.limit


def main(argv: list[str] | None = None) -> int:
    """Runs the measurement.

    Returns:
        Exit status: 0 if all measured limits are met, otherwise 1.
    """
    arguments = parse_arguments(argv)
    report = measure(arguments)
    verdicts = check_limits(report)
    report["verdicts"] = [
        {**attrs.asdict(v), "met": v.is_met} for v in verdicts
    ]
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(report, file, indent=2)
    print_report(report, verdicts)
    return 0 if all(v.is_met for v in verdicts) else 1


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Parses the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.real_path")
    parser.add_argument("--json", help="file for the report")
    parser.add_argument(
        "--seconds", type=float, default=4.0, help="length of each load"
    )
    parser.add_argument(
        "--rounds",
        type=int,
        default=3,
        help="rounds of the added-latency section",
    )
    parser.add_argument("--only", nargs="+", choices=SECTIONS, default=SECTIONS)
    return parser.parse_args(argv)


def measure(arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs the chosen sections and returns the report."""
    seconds, chosen = arguments.seconds, arguments.only
    report: dict[str, Any] = {
        "started": datetime.datetime.now(datetime.UTC).isoformat(
            "T", "seconds"
        ),
        "python": sys.version.split()[0],
        "load_average": os.getloadavg(),
        "seconds": seconds,
    }
    if set(chosen) & set(SITE_SECTIONS):
        with sections.make_site() as site:
            wait_for_targets(site)
            report |= _measure_site(site, arguments)
    if "processes" in chosen:
        report["processes"] = sections.measure_daemon_counts(seconds)
    if "waste" in chosen:
        report["waste"] = sections.measure_message_overhead(seconds)
    return report


def _measure_site(site: Site, arguments: argparse.Namespace) -> dict[str, Any]:
    """Runs the chosen sections among those that share one daemon."""
    seconds, chosen = arguments.seconds, arguments.only
    report: dict[str, Any] = {}
    if "added" in chosen:
        rounds = arguments.rounds
        report["added"] = sections.measure_added_latency(site, seconds, rounds)
    if "connections" in chosen:
        report["connections"] = sections.measure_connections(site, seconds)
    if not set(chosen) & set(CPU_SECTIONS):
        return report
    background = sections.measure_idle_cpu(site, seconds)
    report["idle_ms_per_second"] = round(background, 2)
    if "rate" in chosen:
        report["rate"] = sections.measure_cpu_by_rate(site, seconds)
    if "job_size" in chosen:
        report["job_size"] = sections.measure_cpu_by_job_size(
            site, seconds, background
        )
    if "targets" in chosen:
        report["targets"] = sections.measure_cpu_by_target_count(
            site, seconds, background
        )
    return report


def check_limits(report: dict[str, Any]) -> list[Verdict]:
    """Compares the measured values with their limits.

    Of several rounds of added latency, the worst one counts.
    """
    verdicts = []
    for loop in ("closed", "open"):
        rounds = report.get("added", {}).get(loop, ())
        for name, limit in ADDED_LIMITS_MS.items() if rounds else ():
            worst = max(row["added_ms"][name] for row in rounds)
            title = f"added {name} ms, {loop} loop, worst round"
            verdicts.append(Verdict(title, worst, limit))
    for row in report.get("connections", ()):
        count = row["connections"]
        resets = row["resets"] + row["refused"]
        lost = row["lost"] + row["wrong"] + row["no_id"] + row["timeouts"]
        lost += row["sent"] - row["answered"] + row["errors"]
        verdicts.append(Verdict(f"resets at {count} connections", resets, 0))
        verdicts.append(Verdict(f"lost answers at {count}", lost, 0))
    if "waste" in report:
        wasted = report["waste"]["per_task_total"]
        verdicts.append(
            Verdict("wasted messages per task", wasted, MESSAGE_OVERHEAD_LIMIT)
        )
    return verdicts


def print_report(report: dict[str, Any], verdicts: list[Verdict]) -> None:
    """Prints the measured values, then each limit and whether it is met."""
    load = " ".join(f"{value:.1f}" for value in report["load_average"])
    print(f"{report['started']}  Python {report['python']}  load {load}")
    for loop in ("closed", "open"):
        for row in report.get("added", {}).get(loop, ()):
            print(f"added, {loop}: {_format_added_latency(row)}")
    for row in report.get("connections", ()):
        print("connections: " + _format_pairs(row, ("latency_ms", "outcomes")))
        print(f"    {row['latency_ms']} {row['outcomes']}")
    if "idle_ms_per_second" in report:
        _print_cpu(report)
    for row in report.get("processes", ()):
        print(
            f"{row['processes']} daemons, 64 callers, 10 ms tasks:"
            f" {row['jobs_per_second']} jobs per second"
        )
        for loop in ("closed", "open"):
            print(f"    added, {loop}: {_format_added_latency(row[loop])}")
    if "waste" in report:
        waste = report["waste"]
        print(f"waste per task: {_format_pairs(waste['per_task'])}")
        print(f"    {waste['answered']} of {waste['sent']} answered")
    for verdict in verdicts:
        state = "met" if verdict.is_met else "NOT MET"
        print(
            f"{verdict.name:<42}{verdict.figure:>9.3f}"
            f"  at most {verdict.limit:<6g}{state}"
        )


def _print_cpu(report: dict[str, Any]) -> None:
    idle = report["idle_ms_per_second"]
    print(f"daemon idle: {idle} ms of CPU time per second")
    units = {
        "rate": "CPU time in ms per second, by jobs per second",
        "job_size": "CPU time in ms per job, by tasks per job",
        "targets": "CPU time in ms per job, by number of targets",
    }
    for name, unit in units.items():
        if name not in report:
            continue
        row = report[name]
        points = ", ".join(
            f"{x:g}: {y:g}"
            for x, y in zip(row["x"], row["cpu_ms"], strict=True)
        )
        print(f"{unit}: {points}")
        print(
            f"    slope {row['slope']:.4f}, intercept {row['intercept']:.3f},"
            f" residual rms {row['residual_rms']:.1%},"
            f" worst {row['residual_worst']:.1%}"
        )


def _format_added_latency(row: dict[str, Any]) -> str:
    return (
        "  ".join(
            f"{name} +{row['added_ms'][name]:.2f}"
            f" ({row['entry'][name]:.1f} - {row['direct'][name]:.1f})"
            for name in ADDED_LIMITS_MS
        )
        + f"  {row['counts']}"
    )


def _format_pairs(values: dict[str, Any], without: tuple[str, ...] = ()) -> str:
    shown = {k: v for k, v in values.items() if k not in without}
    return ", ".join(f"{name} {value}" for name, value in shown.items())


if __name__ == "__main__":
    sys.exit(main())
