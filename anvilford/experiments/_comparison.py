"""Runs every policy of a scenario on every seed and derives the figures."""

import concurrent.futures
import time
from typing import Any

import attrs

from anvilford.experiments import _measures
from anvilford.experiments._scenario import Scenario
from anvilford.experiments._simulation import POLICIES
from anvilford.experiments._simulation import Simulation
from anvilford.experiments._workload import make_arrivals

# Bound of the ordinary slowdown in the table of measures in the design page.
ORDINARY_P99 = 1.5


def run(
    scenario: Scenario,
    policies: tuple[str, ...] = POLICIES,
    processes: int = 1,
) -> dict[str, Any]:
    """Runs a scenario.

    Args:
        scenario: What is simulated.
        policies: Names of the policies to compare.
        processes: Number of worker processes.

    Returns:
        The report, a JSON value; equal for equal arguments except the number
        of processes.
    """
    variants = {"runs": attrs.evolve(scenario, without=[])}
    if scenario.measure == "slowdown_ratio":
        variants["reference"] = scenario
    kinds = [k for k in variants for _ in scenario.seeds for _ in policies]
    work = [
        (variant, seed, policy)
        for variant in variants.values()
        for seed in scenario.seeds
        for policy in policies
    ]
    if processes > 1:
        with concurrent.futures.ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(_run_packed, work))
    else:
        results = [run_one(*item) for item in work]
    report = {
        "scenario": attrs.asdict(scenario),
        "policies": {p: {"runs": [], "reference": []} for p in policies},
    }
    for kind, (_, _, policy), result in zip(kinds, work, results, strict=True):
        report["policies"][policy][kind].append(result)
    for policy in policies:
        report["policies"][policy]["figures"] = _figures(
            scenario, report["policies"], policy
        )
    return report


def run_one(scenario: Scenario, seed: int, policy: str) -> dict[str, Any]:
    """Runs one policy on one seed and returns its figures."""
    arrivals = [
        arrival
        for arrival in make_arrivals(scenario, seed)
        if arrival.job_class not in scenario.without
    ]
    simulation = Simulation(scenario, policy, seed, arrivals)
    simulation.run()
    records = simulation.records
    classes = sorted({a.job_class for a in arrivals})
    return {
        "seed": seed,
        "windows": _windows(scenario, records, scenario.report_class),
        "classes": {
            name: _windows(scenario, records, name) for name in classes
        },
        "refusals": _measures.refusals(records),
        "waste": _measures.waste(records, simulation.totals),
        "most_ejected": simulation.totals.most_ejected,
        "unanswered": sum(r.kind == "unanswered" for r in records),
    }


def decision_time(scenario: Scenario, seed: int) -> float:
    """Returns wall time per task start of one run, in seconds.

    It includes the event loop and the fakes. It varies between runs and is
    therefore not part of the report.
    """
    simulation = Simulation(
        scenario, "anvilford", seed, make_arrivals(scenario, seed)
    )
    started = time.perf_counter()
    simulation.run()
    spent = time.perf_counter() - started
    return spent / max(1, simulation.totals.starts)


def _run_packed(item: tuple[Scenario, int, str]) -> dict[str, Any]:
    return run_one(*item)


def _windows(scenario: Scenario, records: list, name: str) -> list[dict]:
    return [
        attrs.asdict(window)
        for window in _measures.windows(scenario, records, name)
    ]


def _worst(results: list[dict], percentile: str) -> float:
    return max(
        window["slowdown"][percentile]
        for result in results
        for window in result["windows"]
    )


def _figures(
    scenario: Scenario, all_results: dict[str, Any], policy: str
) -> dict[str, Any]:
    """Returns the worst windows of a policy over all seeds."""
    results = all_results[policy]["runs"]
    window_list = [w for r in results for w in r["windows"]]
    figures: dict[str, Any] = {
        "p99": _worst(results, "p99"),
        "p99.9": _worst(results, "p99.9"),
        "in_time": min(w["complete"] / max(1, w["jobs"]) for w in window_list),
        "in_time_total": sum(w["complete"] for w in window_list)
        / sum(w["jobs"] for w in window_list),
        "refusals_false": sum(r["refusals"]["false"] for r in results),
        "refusals_late": sum(r["refusals"]["late"] for r in results),
        "waste": max(sum(r["waste"].values()) for r in results),
        "most_ejected": max(r["most_ejected"] for r in results),
        "unanswered": sum(r["unanswered"] for r in results),
    }
    if scenario.measure == "slowdown_ratio":
        reference = all_results[policy]["reference"]
        figures["reference_p99.9"] = _worst(reference, "p99.9")
        figures["ratio"] = figures["p99.9"] / figures["reference_p99.9"]
    if scenario.measure == "peak" and "clairvoyant" in all_results:
        figures.update(
            _peak_figures(scenario, results, all_results["clairvoyant"]["runs"])
        )
    return figures


def _peak_figures(
    scenario: Scenario, results: list[dict], bound: list[dict]
) -> dict[str, Any]:
    """Compares answers in time per window of the peak with the bound."""
    surge = scenario.surges[0]
    peak_start = surge.start_s + surge.ramp_s
    peak_end = peak_start + surge.length_s
    worst, answered, possible, recovery = 1e9, 0, 0, 0.0
    for result, best in zip(results, bound, strict=True):
        for window, best_window in zip(
            result["windows"], best["windows"], strict=True
        ):
            start = window["start_s"]
            if peak_start <= start < peak_end:
                answered += window["answered"]
                possible += best_window["answered"]
                worst = min(
                    worst,
                    window["answered"] / max(1, best_window["answered"]),
                )
            if start >= peak_end and window["slowdown"]["p99"] > ORDINARY_P99:
                recovery = max(recovery, start + scenario.window_s - peak_end)
    return {
        "worst_second_of_bound": worst,
        "peak_of_bound": answered / max(1, possible),
        "recovery_s": recovery,
    }
