"""What `benchmarks.real_path` measures, one function for each section."""

import time
from collections.abc import Callable
from typing import Any

import attrs

from benchmarks._real_site import counters
from benchmarks._real_site import cpu_ms
from benchmarks._real_site import product_changes
from benchmarks._real_site import run_load
from benchmarks._real_site import total
from benchmarks._real_site import wait_for_targets
from benchmarks.codec_slopes import fit
from standins.cluster import Site

TASK_MS = 50
CALLERS = 16
CONNECTIONS = (64, 256)
RATES = (25, 50, 100, 200)
JOB_SIZES = (1, 10, 100, 400, 1100)
TARGETS = (4, 8, 16, 32)
# Daemons on one VM; design section 6.1 allows four entries in a zone.
PROCESSES = (1, 2, 4)
# Small, so that a job of 1,100 tasks costs processor time rather than waiting.
SMALL_TASK_MS = 5
# Rate of jobs while the number of targets grows.
TARGETS_RATE = 100
# Share of the slots that the site for counting messages keeps busy.
ORDINARY_LOAD = 0.7
# The entry uses 8 slots of each target; the rest serves the direct calls.
WIDE_TARGETS = ("--slots", "64", "--connections", "512")

Section = dict[str, Any]


def wide_site(processes: int = 1) -> Site:
    """Daemons with 4 targets that have room for direct calls."""
    return Site(
        entries_per_zone=processes,
        targets_per_zone=TARGETS[0],
        settings_overrides=product_changes(),
        target_options=WIDE_TARGETS,
    )


def measure_added(site: Site, seconds: float, rounds: int) -> Section:
    """Compares jobs of one task with direct calls of the same task.

    Each round has a closed loop of 16 callers and an open loop at the rate at
    which 16 callers that need no time between calls would arrive.
    """
    direct = next(iter(site.targets.values()))[0]
    common = ("--run-ms", str(TASK_MS), "--seconds", str(seconds))
    # The daemon's threads and connections come with the first jobs.
    run_load(site, "--callers", str(CALLERS), "--seconds", "1")
    rate = str(CALLERS * 1000 / TASK_MS * 0.8)
    arrivals = {
        "closed": ("--callers", str(CALLERS), "--connections", str(CALLERS)),
        "open": ("--rate", rate),
    }
    results: dict[str, list] = {name: [] for name in arrivals}
    for number in range(rounds):
        for name, options in arrivals.items():
            seed = ("--seed", str(number + 1))
            report = run_load(site, *common, *seed, *options, direct=direct)
            results[name].append(_added_row(report))
    return {"open_rate": float(rate), **results}


def measure_processes(seconds: float) -> list[Section]:
    """Compares added time and capacity of one to four daemons on a VM."""
    rows = []
    for count in PROCESSES:
        with wide_site(count) as site:
            wait_for_targets(site)
            added = measure_added(site, seconds, 1)
            full = run_load(
                site,
                *("--callers", "64", "--run-ms", "10"),
                *("--seconds", str(seconds), "--deadline-ms", "20000"),
            )["entry"]
        complete = full["counts"].get("complete", 0)
        rows.append(
            {
                "processes": count,
                **{loop: added[loop][0] for loop in ("closed", "open")},
                "jobs_per_second": round(complete / seconds, 1),
            }
        )
    return rows


def _added_row(report: dict[str, Any]) -> Section:
    kind = "complete_short"
    names = ("p50", "p99")
    latency = {
        load: {n: report[load]["latency_ms"][kind][n] for n in names}
        for load in ("entry", "direct")
    }
    return {
        "added_ms": {n: report["added_ms"][kind][n] for n in names},
        **latency,
        "counts": report["entry"]["counts"],
    }


def measure_connections(
    site: Site, seconds: float, connections: tuple[int, ...] = CONNECTIONS
) -> list[Section]:
    """Counts resets and lost answers while every connection is in use."""
    rows = []
    for count in connections:
        report = run_load(
            site,
            *("--callers", str(count), "--connections", str(count)),
            *("--run-ms", str(TASK_MS), "--seconds", str(seconds)),
            *("--deadline-ms", "20000"),
        )["entry"]
        events = report["connections"][0]
        counts = report["counts"]
        rows.append(
            {
                "connections": count,
                "sent": report["sent"],
                "answered": sum(
                    latency["count"]
                    for latency in report["latency_ms"].values()
                ),
                "resets": events["resets"],
                "refused": events["refused"],
                "timeouts": events["timeouts"],
                **{n: counts.get(n, 0) for n in ("lost", "wrong", "no_id")},
                "errors": sum(
                    number
                    for outcome, number in counts.items()
                    if outcome.startswith("http_")
                ),
                "outcomes": counts,
                "latency_ms": {
                    name: report["latency_ms"]["complete_short"][name]
                    for name in ("p50", "p99", "max")
                },
            }
        )
    return rows


def measure_background(site: Site, seconds: float) -> float:
    """Returns the daemon's processor time without jobs, in ms per second."""
    # Pools, threads and estimates exist after the first jobs.
    run_load(site, "--callers", str(CALLERS), "--seconds", "1")
    idle = _cpu_of(site.entries[0], lambda: time.sleep(seconds))
    return idle["cpu_ms"] / idle["seconds"]


def measure_rates(site: Site, seconds: float) -> Section:
    """Fits processor time per second over jobs of one task per second."""
    rows = [_cpu_of_rate(site, rate, seconds) for rate in RATES]
    return _fitted(
        tuple(row["jobs"] / row["seconds"] for row in rows),
        [row["cpu_ms"] / row["seconds"] for row in rows],
    )


def measure_job_sizes(site: Site, seconds: float, background: float) -> Section:
    """Fits processor time per job over tasks per job."""
    rows = [_cpu_of_size(site, size, seconds) for size in JOB_SIZES]
    return _fitted(JOB_SIZES, _per_job(rows, background))


def measure_targets(site: Site, seconds: float, background: float) -> Section:
    """Fits processor time per job over targets, which it adds to the site."""
    rows = []
    for count in TARGETS:
        while len(site.targets) < count:
            site.start_target(f"target-{len(site.targets)}", site.zones[0])
        wait_for_targets(site)
        rows.append(_cpu_of_rate(site, TARGETS_RATE, seconds))
    return _fitted(TARGETS, _per_job(rows, background))


def _cpu_of_rate(site: Site, rate: float, seconds: float) -> Section:
    """Runs jobs of one task that arrive at a rate."""
    return _cpu_of(
        site.entries[0],
        lambda: run_load(
            site,
            *("--rate", str(rate), "--run-ms", str(TASK_MS)),
            *("--seconds", str(seconds)),
        ),
    )


def _cpu_of_size(site: Site, size: int, seconds: float) -> Section:
    """Runs one caller that sends jobs of one size."""
    return _cpu_of(
        site.entries[0],
        lambda: run_load(
            site,
            *("--callers", "1", "--tasks", str(size)),
            *("--run-ms", str(SMALL_TASK_MS), "--seconds", str(seconds)),
            *("--deadline-ms", "60000"),
        ),
    )


def _cpu_of(entry: Any, run: Callable[[], Any]) -> Section:
    """Returns processor and wall time of the daemon and jobs completed."""
    began, cpu = time.monotonic(), cpu_ms(entry)
    report = run()
    row = {
        "cpu_ms": cpu_ms(entry) - cpu,
        "seconds": time.monotonic() - began,
    }
    if report is not None:
        row["jobs"] = report["entry"]["counts"].get("complete", 0)
    return row


def _per_job(rows: list[Section], background: float) -> list[float]:
    return [
        (row["cpu_ms"] - background * row["seconds"]) / row["jobs"]
        for row in rows
    ]


def _fitted(sizes: tuple[float, ...], values: list[float]) -> Section:
    """Returns the points and the line that fits them."""
    return {
        "x": [round(x, 2) for x in sizes],
        "cpu_ms": [round(value, 3) for value in values],
        **attrs.asdict(fit(sizes, values)),
    }


def measure_waste(seconds: float) -> Section:
    """Counts messages beyond one per task on two zones at ordinary load."""
    with Site(
        zones=("quimper-a", "lorient-a"),
        entries_per_zone=2,
        targets_per_zone=2,
        settings_overrides=product_changes(),
    ) as site:
        slots = 8 * len(site.targets)
        rate = ORDINARY_LOAD * slots * 1000 / TASK_MS
        options = ("--rate", str(rate), "--run-ms", str(TASK_MS))
        run_load(site, *options, "--seconds", "1")
        before = counters(site)
        report = run_load(site, *options, "--seconds", str(seconds))["entry"]
        after = counters(site)

    def grown(name: str, label: str = "") -> float:
        return total(after, name, label) - total(before, name, label)

    answered = report["counts"].get("complete", 0)
    refused = grown("attempts_finished", 'outcome="AttemptNotStarted"')
    started = grown("attempts_started")
    by_kind = {
        "forwards": grown("forwards"),
        "refused_starts": refused,
        "cancels": grown("attempts_cancelled"),
        "retries": max(0.0, started - refused - answered),
        "peer_messages": grown("peer_messages_sent"),
    }
    return {
        "entries": 4,
        "rate": rate,
        "sent": report["sent"],
        "answered": answered,
        "counts": report["counts"],
        "messages": by_kind,
        "per_task": {k: round(v / answered, 4) for k, v in by_kind.items()},
        "per_task_total": round(sum(by_kind.values()) / answered, 4),
    }
