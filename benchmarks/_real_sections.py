"""Measurements of `benchmarks.real_path`, one function for each section."""

import time
from collections.abc import Callable
from typing import Any

import attrs

from benchmarks._real_site import daemon_cpu_ms
from benchmarks._real_site import default_settings
from benchmarks._real_site import read_counters
from benchmarks._real_site import run_load
from benchmarks._real_site import sum_counter
from benchmarks._real_site import wait_for_targets
from benchmarks.codec_slopes import fit_line
from standins.cluster import Site

TASK_MS = 50
CALLER_COUNT = 16
CONNECTION_COUNTS = (64, 256)
JOB_RATES = (25, 50, 100, 200)
JOB_SIZES = (1, 10, 100, 400, 1100)
TARGET_COUNTS = (4, 8, 16, 32)
# Numbers of daemons on one VM. By default a zone may have at most four entries
# (setting `targets.entries_per_zone`).
DAEMON_COUNTS = (1, 2, 4)
# Short run time in milliseconds, so that a job of 1,100 tasks is dominated by
# processor time and not by waiting for slots.
SMALL_TASK_MS = 5
# Jobs per second at each number of targets.
TARGET_COUNT_JOB_RATE = 100
# Share of all slots that the load for counting messages keeps busy.
SLOT_UTILIZATION = 0.7
# The entry uses 8 slots of each target; the others serve the direct calls.
TARGET_OPTIONS = ("--slots", "64", "--connections", "512")

Section = dict[str, Any]


def make_site(processes: int = 1) -> Site:
    """Creates a site of 4 targets with spare slots for direct calls.

    Args:
        processes: Number of daemons.
    """
    return Site(
        entries_per_zone=processes,
        targets_per_zone=TARGET_COUNTS[0],
        settings_overrides=default_settings(),
        target_options=TARGET_OPTIONS,
    )


def measure_added_latency(site: Site, seconds: float, rounds: int) -> Section:
    """Measures the latency that a daemon adds to direct calls of its targets.

    Jobs of one task run beside direct calls of the same task. Each round has a
    closed loop of 16 callers and an open loop at 80% of the rate at which 16
    callers without added latency would send.
    """
    direct = next(iter(site.targets.values()))[0]
    common = ("--run-ms", str(TASK_MS), "--seconds", str(seconds))
    # Warm-up: the daemon creates threads and connections with the first jobs.
    run_load(site, "--callers", str(CALLER_COUNT), "--seconds", "1")
    rate = str(CALLER_COUNT * 1000 / TASK_MS * 0.8)
    arrivals = {
        "closed": (
            "--callers",
            str(CALLER_COUNT),
            "--connections",
            str(CALLER_COUNT),
        ),
        "open": ("--rate", rate),
    }
    results: dict[str, list] = {name: [] for name in arrivals}
    for number in range(rounds):
        for name, options in arrivals.items():
            seed = ("--seed", str(number + 1))
            report = run_load(site, *common, *seed, *options, direct=direct)
            results[name].append(_summarize_added_latency(report))
    return {"open_rate": float(rate), **results}


def measure_daemon_counts(seconds: float) -> list[Section]:
    """Measures added latency and throughput of 1 to 4 daemons on one VM."""
    rows = []
    for count in DAEMON_COUNTS:
        with make_site(count) as site:
            wait_for_targets(site)
            added = measure_added_latency(site, seconds, 1)
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


def _summarize_added_latency(report: dict[str, Any]) -> Section:
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
    site: Site, seconds: float, connections: tuple[int, ...] = CONNECTION_COUNTS
) -> list[Section]:
    """Counts resets and lost answers while all connections are in use."""
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


def measure_idle_cpu(site: Site, seconds: float) -> float:
    """Returns the processor time of an idle daemon in ms per second."""
    # Warm-up: the first jobs create connection pools, threads and run time
    # estimates.
    run_load(site, "--callers", str(CALLER_COUNT), "--seconds", "1")
    idle = _measure_cpu(site.entries[0], lambda: time.sleep(seconds))
    return idle["cpu_ms"] / idle["seconds"]


def measure_cpu_by_rate(site: Site, seconds: float) -> Section:
    """Fits processor time per second to the rate of jobs of one task."""
    rows = [_measure_cpu_at_rate(site, rate, seconds) for rate in JOB_RATES]
    return _fit_points(
        tuple(row["jobs"] / row["seconds"] for row in rows),
        [row["cpu_ms"] / row["seconds"] for row in rows],
    )


def measure_cpu_by_job_size(
    site: Site, seconds: float, idle_ms_per_s: float
) -> Section:
    """Fits processor time per job to the number of tasks in a job."""
    rows = [_measure_cpu_at_job_size(site, size, seconds) for size in JOB_SIZES]
    return _fit_points(JOB_SIZES, _cpu_ms_per_job(rows, idle_ms_per_s))


def measure_cpu_by_target_count(
    site: Site, seconds: float, idle_ms_per_s: float
) -> Section:
    """Fits processor time per job to the number of targets.

    Adds targets to the site and leaves them there.
    """
    rows = []
    for count in TARGET_COUNTS:
        while len(site.targets) < count:
            site.start_target(f"target-{len(site.targets)}", site.zones[0])
        wait_for_targets(site)
        rows.append(_measure_cpu_at_rate(site, TARGET_COUNT_JOB_RATE, seconds))
    return _fit_points(TARGET_COUNTS, _cpu_ms_per_job(rows, idle_ms_per_s))


def _measure_cpu_at_rate(site: Site, rate: float, seconds: float) -> Section:
    """Measures the daemon under jobs of one task at a rate per second."""
    return _measure_cpu(
        site.entries[0],
        lambda: run_load(
            site,
            *("--rate", str(rate), "--run-ms", str(TASK_MS)),
            *("--seconds", str(seconds)),
        ),
    )


def _measure_cpu_at_job_size(site: Site, size: int, seconds: float) -> Section:
    """Measures the daemon under one caller whose jobs have `size` tasks."""
    return _measure_cpu(
        site.entries[0],
        lambda: run_load(
            site,
            *("--callers", "1", "--tasks", str(size)),
            *("--run-ms", str(SMALL_TASK_MS), "--seconds", str(seconds)),
            *("--deadline-ms", "60000"),
        ),
    )


def _measure_cpu(entry: Any, run: Callable[[], Any]) -> Section:
    """Measures a daemon while a function runs.

    Args:
        entry: The daemon.
        run: Function that returns a report of `benchmarks.load`, or None.

    Returns:
        The daemon's processor time ("cpu_ms"), the elapsed time ("seconds") and
        with a report the number of completed jobs ("jobs").
    """
    began, cpu = time.monotonic(), daemon_cpu_ms(entry)
    report = run()
    row = {
        "cpu_ms": daemon_cpu_ms(entry) - cpu,
        "seconds": time.monotonic() - began,
    }
    if report is not None:
        row["jobs"] = report["entry"]["counts"].get("complete", 0)
    return row


def _cpu_ms_per_job(rows: list[Section], idle_ms_per_s: float) -> list[float]:
    return [
        (row["cpu_ms"] - idle_ms_per_s * row["seconds"]) / row["jobs"]
        for row in rows
    ]


def _fit_points(sizes: tuple[float, ...], values: list[float]) -> Section:
    """Returns the points and a line fitted to them."""
    return {
        "x": [round(x, 2) for x in sizes],
        "cpu_ms": [round(value, 3) for value in values],
        **attrs.asdict(fit_line(sizes, values)),
    }


def measure_message_overhead(seconds: float) -> Section:
    """Counts messages beyond the one start that each task needs.

    The site has two zones with two entries each, at 70% load. Counted are
    forwarded jobs, refused starts, cancellations, retries and messages between
    entries.
    """
    with Site(
        zones=("quimper-a", "lorient-a"),
        entries_per_zone=2,
        targets_per_zone=2,
        settings_overrides=default_settings(),
    ) as site:
        slots = 8 * len(site.targets)
        rate = SLOT_UTILIZATION * slots * 1000 / TASK_MS
        options = ("--rate", str(rate), "--run-ms", str(TASK_MS))
        run_load(site, *options, "--seconds", "1")
        before = read_counters(site)
        report = run_load(site, *options, "--seconds", str(seconds))["entry"]
        after = read_counters(site)

    def increase(name: str, label: str = "") -> float:
        return sum_counter(after, name, label) - sum_counter(
            before, name, label
        )

    answered = report["counts"].get("complete", 0)
    refused = increase("attempts_finished", 'outcome="AttemptNotStarted"')
    started = increase("attempts_started")
    by_kind = {
        "forwards": increase("forwards"),
        "refused_starts": refused,
        "cancels": increase("attempts_cancelled"),
        "retries": max(0.0, started - refused - answered),
        "peer_messages": increase("peer_messages_sent"),
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
