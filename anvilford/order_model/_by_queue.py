"""Measures the placer by queue, zone and time window on scenario files.

Usage: `python -m anvilford.order_model --by-queue SCENARIO.json ...`
"""

import collections
import concurrent.futures
import statistics
from collections.abc import Iterable
from typing import Any

import attrs

from anvilford.order_model._comparison import FIRST_ARRIVAL_S
from anvilford.order_model._comparison import run_simulation
from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Result
from anvilford.order_model._scenario import Scenario
from anvilford.order_model._site import PlacementSimulation

# Length of the time windows, in seconds.
WINDOW_S = 2.0


@attrs.define
class _IdleCores:
    """Free share of the cores, observed while jobs without a start wait."""

    shares: list[float] = attrs.field(factory=list)

    def observe(self, site: PlacementSimulation) -> None:
        """Adds an observation if jobs wait."""
        if not site.placers["p"].count_waiting_jobs():
            return
        cores = free = 0
        for target in site.targets.values():
            if target.is_down:
                continue
            cores += target.record.capacity.cpu_millis
            free += target.record.capacity.cpu_millis - sum(
                work.need.cpu_millis for work in target.running.values()
            )
        self.shares.append(free / cores)


def measure(scenario: Scenario, processes: int = 1) -> dict[str, Any]:
    """Measures the placer on all seeds of a scenario.

    Args:
        scenario: Scenario to run.
        processes: Number of worker processes.

    Returns:
        Means over the seeds, by group of jobs (see `_measure_seed`).
    """
    work = [(scenario, seed) for seed in scenario.seeds]
    if processes > 1:
        with concurrent.futures.ProcessPoolExecutor(processes) as pool:
            by_seed = list(pool.map(_measure_seed, work))
    else:
        by_seed = [_measure_seed(item) for item in work]
    report: dict[str, Any] = {"scenario": scenario.name, "groups": {}}
    for group in by_seed[0]:
        seeds = [figures[group] for figures in by_seed if group in figures]
        report["groups"][group] = {
            name: statistics.mean(figures[name] for figures in seeds)
            for name in seeds[0]
        }
    return report


def _measure_seed(item: tuple[Scenario, int]) -> dict[str, dict[str, float]]:
    """Measures one seed.

    Returns:
        Figures of all jobs, of each queue and zone, and of the windows with the
        least share of the worth.
    """
    scenario, seed = item
    jobs = scenario.make_jobs(seed, FIRST_ARRIVAL_S)
    idle = _IdleCores()
    site = run_simulation(scenario, jobs, seed, idle.observe)
    groups: dict[str, list[Arrival]] = {"all": jobs}
    windows = collections.defaultdict(list)
    for job in jobs:
        groups.setdefault(f"queue {job.kind.policy.name}", []).append(job)
        if scenario.zones > 1:
            groups.setdefault(f"zone {job.zone}", []).append(job)
        windows[int((job.arrival_time - FIRST_ARRIVAL_S) / WINDOW_S)].append(
            job
        )
    figures = {
        name: _describe(site.results_by_kind(members)["all"])
        for name, members in groups.items()
    }
    worst = min(
        (site.results_by_kind(w)["all"] for w in windows.values()),
        key=lambda result: result.share,
    )
    figures["worst window"] = _describe(worst)
    refused_with = _free_shares_at_refusals(site)
    figures["all"] |= {
        "idle_waiting": statistics.mean(idle.shares or [0.0]),
        "idle_refusing": statistics.mean(refused_with or [0.0]),
    }
    return figures


def _free_shares_at_refusals(site: PlacementSimulation) -> list[float]:
    return [
        decision.fields["free_share"]
        for decision in site.decisions
        if decision.event == "job refused"
    ]


def _describe(result: Result) -> dict[str, float]:
    figures = {"asked": float(result.asked), "worth": result.share}
    for name in ("in_time", "late", "refused", "failed"):
        figures[name] = getattr(result, name) / max(result.asked, 1)
    return figures


def format_groups(report: dict[str, Any]) -> str:
    """Formats a report as a text table with one row for each group."""
    columns = ("asked", "worth", "in_time", "late", "refused", "failed")
    lines = [report["scenario"].ljust(22) + _join(c.rjust(9) for c in columns)]
    for group, figures in sorted(report["groups"].items()):
        cells = (
            f"{figures[c]:9.0f}" if c == "asked" else f"{figures[c]:9.4f}"
            for c in columns
        )
        lines.append(group.ljust(22) + _join(cells))
    total = report["groups"]["all"]
    lines.append(
        f"free share of the cores while jobs wait {total['idle_waiting']:.3f}, "
        f"at refusals {total['idle_refusing']:.3f}"
    )
    return "\n".join(lines)


def _join(cells: Iterable[str]) -> str:
    return "".join(cells)
