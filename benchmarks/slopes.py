"""Measures how traffic, processor time and memory grow with the site's size.

One size varies at a time, over at least four values, and the real code runs at
each. A line is fitted to every quantity by relative errors and printed with its
residuals and the measured range. The capacity model in docs/CAPACITY.md is
based on these lines.

    python -m benchmarks.slopes [--only NAME] [--json FILE]
"""

import argparse
import functools
import json
import pathlib
import sys
from collections.abc import Callable

import attrs

from anvilford import protocol
from benchmarks import _core_cost
from benchmarks import _memory
from benchmarks import _processes
from benchmarks._control_plane import ControlPlane
from benchmarks._control_plane import SiteSize
from benchmarks._control_plane import vm_list_bytes
from benchmarks._slope_types import print_sweep
from benchmarks._slope_types import run_sweep
from benchmarks._slope_types import SizeSweep

WARM_UP_DURATION_S = 5.0
STEADY_DURATION_S = 5.0
CHANGE_DURATION_S = 3.0
BASE_DESCRIPTION = "9 entries, 24 targets, 4 zones, 1 service unless varied"


def measure_traffic(site_size: SiteSize) -> dict[str, float]:
    """Measures the simulated control traffic per entry.

    Returns:
        Steady traffic and processor time per second, sizes of the VM list and
        of the configuration row, and the bytes and full gossip messages that a
        configuration change and a leaving target add.
    """
    control_plane = ControlPlane(site_size)
    control_plane.run(WARM_UP_DURATION_S)
    control_plane.reset_totals()
    control_plane.run(STEADY_DURATION_S)
    steady = dict(control_plane.totals)
    per_entry_s = 1 / site_size.entries / STEADY_DURATION_S
    values = {
        "bytes_per_s": steady["bytes"] * per_entry_s,
        "messages_per_s": steady["messages"] * per_entry_s,
        "core_us_per_s": 1e6 * steady["core_s"] * per_entry_s,
        "codec_us_per_s": 1e6 * steady["codec_s"] * per_entry_s,
        "list_bytes": vm_list_bytes(control_plane.vms),
        "row_bytes": len(json.dumps(control_plane.configuration_row[1])),
    }
    for name, change in (
        ("configuration", control_plane.change_configuration),
        ("leaving", control_plane.mark_target_leaving),
    ):
        control_plane.reset_totals()
        change()
        control_plane.run(CHANGE_DURATION_S)
        extra = control_plane.totals["bytes"] - (
            steady["bytes"] * CHANGE_DURATION_S / STEADY_DURATION_S
        )
        values[f"{name}_bytes"] = extra / site_size.entries
        full = control_plane.totals["full_messages"] / site_size.entries
        values[f"{name}_full_messages"] = full
    return values


def control_traffic() -> list[SizeSweep]:
    """Measures control traffic by entries, targets, zones and services."""
    shapes = (
        ("entries", (4, 9, 25, 50, 100), {}),
        ("targets", (24, 100, 500, 2000, 7100), {}),
        ("zones", (1, 4, 7, 14), {"entries": 28, "targets": 28}),
        ("services", (1, 8, 40, 120), {"targets": 480}),
    )
    return [
        _sweep_site_size(
            "control_traffic", varied, sizes, fixed, measure_traffic
        )
        for varied, sizes, fixed in shapes
    ]


def core_events() -> list[SizeSweep]:
    """Measures processor time of the core's events by the site's size."""
    shapes = (
        ("entries", (4, 9, 50, 200), {}),
        ("targets", (24, 100, 500, 2000, 7100), {}),
        ("zones", (1, 4, 7, 14), {"entries": 28, "targets": 28}),
        ("services", (1, 8, 40, 120), {"targets": 480}),
    )
    return [
        _sweep_site_size(
            "core_events", varied, sizes, fixed, _core_cost.measure_event_costs
        )
        for varied, sizes, fixed in shapes
    ]


def core_jobs() -> list[SizeSweep]:
    """Measures processor time of the core per job by its number of tasks."""

    def measure(tasks: int) -> dict[str, float]:
        return {"job_us": _core_cost.measure_job_cost(SiteSize(), tasks, 12)}

    sizes = (1, 10, 100, 400, 1100)
    return [
        run_sweep(
            "core_jobs", "tasks in a job", BASE_DESCRIPTION, sizes, measure
        )
    ]


def memory() -> list[SizeSweep]:
    """Measures resident memory by the amount of state that the core holds."""
    cases = (
        ("records", (20_000, 50_000, 100_000, 200_000)),
        ("tasks", (1000, 2000, 5000, 10_000)),
        ("targets", (500, 2000, 4000, 7100)),
    )
    return [
        run_sweep(
            "memory",
            kind,
            "growth of a fresh process",
            sizes,
            lambda size, kind=kind: {
                "grown_mb": _memory.measure_memory_growth_mb(kind, size)
            },
        )
        for kind, sizes in cases
    ]


def daemon_memory() -> list[SizeSweep]:
    """Measures resident memory of a real daemon by connections and tasks."""
    return [
        SizeSweep(
            "daemon_memory",
            "idle connections of callers",
            "one daemon, 6 targets",
            _processes.measure_connection_memory((1, 64, 128, 256)),
        ),
        SizeSweep(
            "daemon_memory",
            "tasks running at once",
            "one daemon, 6 targets",
            _processes.measure_running_task_memory((1, 64, 128, 256)),
        ),
    ]


def daemon_time() -> list[SizeSweep]:
    """Measures processor time of a real daemon by job rate and job size."""
    with _processes.single_entry_site() as site:
        run = functools.partial(
            _processes.measure_daemon_load, site, seconds=4.0
        )
        run(rate=50, tasks=1)
        return [
            run_sweep(
                "daemon_time",
                "jobs of one task per second",
                "one daemon, 6 targets, tasks of 20 ms",
                (20, 50, 100, 200, 300),
                lambda rate: run(rate=rate, tasks=1),
            ),
            run_sweep(
                "daemon_time",
                "tasks in a job",
                "one daemon, 6 targets, tasks of 20 ms, 2 callers that wait",
                (1, 10, 100, 400, 1100),
                lambda tasks: run(callers=2, tasks=tasks),
            ),
        ]


def platform_load() -> list[SizeSweep]:
    """Measures the platform's reads and idle daemons by entries and targets."""
    return [
        run_sweep(
            "platform_load",
            "entries",
            "real daemons, 4 zones, 24 targets, no jobs",
            (4, 8, 12, 16),
            lambda count: _processes.measure_idle_site(4, count // 4, 6),
        ),
        run_sweep(
            "platform_load",
            "targets in the list",
            "2 real daemons, 1 zone, no jobs",
            (24, 250, 700, 2000),
            lambda count: _processes.measure_idle_site(1, 2, 0, count),
        ),
    ]


def configuration_delay() -> list[SizeSweep]:
    """Measures the time until all entries apply a configuration change."""

    def measure(polling_entries: int | None, entries: int) -> dict[str, float]:
        delays = []
        for seed in range(5):
            site_size = SiteSize(
                entries=entries, polling_entries=polling_entries
            )
            control_plane = ControlPlane(site_size, seed)
            control_plane.run(3.0)
            control_plane.change_configuration()
            changed = control_plane.now
            while (
                len(control_plane.applied_at) < entries
                and control_plane.now < changed + 60
            ):
                control_plane.run(0.05)
            if len(control_plane.applied_at) < entries:
                raise AssertionError(
                    f"{len(control_plane.applied_at)} of {entries} entries"
                    " applied the configuration change within 60 s"
                )
            delays.append(max(control_plane.applied_at.values()) - changed)
        return {"worst_s": max(delays), "mean_s": sum(delays) / len(delays)}

    return [
        run_sweep(
            "configuration_delay",
            "entries",
            f"5 seeds, platform reachable by {reach}",
            (4, 9, 25, 50),
            functools.partial(measure, polling_entries),
        )
        for reach, polling_entries in (("all", None), ("one entry", 1))
    ]


def _sweep_site_size(
    name: str,
    varied: str,
    sizes: tuple[int, ...],
    fixed: dict[str, int],
    measure: Callable[[SiteSize], dict[str, float]],
) -> SizeSweep:
    text = BASE_DESCRIPTION + "".join(f", {v} {k}" for k, v in fixed.items())
    base = SiteSize(**fixed)
    return run_sweep(
        name,
        varied,
        text,
        sizes,
        lambda size: measure(attrs.evolve(base, **{varied: size})),
    )


# The names of the functions are the values of `--only`.
MEASUREMENTS = {
    function.__name__: function
    for function in (
        control_traffic,
        core_events,
        core_jobs,
        memory,
        daemon_memory,
        daemon_time,
        platform_load,
        configuration_delay,
    )
}


def main(argv: list[str] | None = None) -> int:
    """Runs the measurements and prints points and fitted lines; returns 0."""
    parser = argparse.ArgumentParser(prog="benchmarks.slopes")
    parser.add_argument("--only", choices=MEASUREMENTS, help="one measurement")
    parser.add_argument("--json", type=pathlib.Path, help="file for the report")
    arguments = parser.parse_args(argv)
    protocol.require_acceleration()
    names = [arguments.only] if arguments.only else list(MEASUREMENTS)
    documents = []
    for name in names:
        for slope in MEASUREMENTS[name]():
            documents.append(slope.to_document())
            print_sweep(documents[-1])
    if arguments.json:
        arguments.json.write_text(json.dumps(documents, indent=2) + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
