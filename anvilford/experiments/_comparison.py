"""Runs all policies of a scenario on all seeds and derives the figures."""

import concurrent.futures
import time
from typing import Any

import attrs

from anvilford.experiments import _measures
from anvilford.experiments._scenario import Scenario
from anvilford.experiments._simulation import POLICIES
from anvilford.experiments._simulation import Simulation
from anvilford.experiments._workload import make_arrivals

# Highest 99th percentile of the slowdown that counts as ordinary, from the
# table of measures on the design page. After a peak, the site has recovered
# once the percentile no longer exceeds it.
MAX_ORDINARY_P99_SLOWDOWN = 1.5


def compare_policies(
    scenario: Scenario,
    policies: tuple[str, ...] = POLICIES,
    processes: int = 1,
) -> dict[str, Any]:
    """Runs a scenario with several policies and reports their figures.

    Args:
        scenario: Scenario to simulate. With the measure "slowdown_ratio", a
            reference run without the classes in `without` is added for each
            policy and seed.
        policies: Names of the policies to compare.
        processes: Number of worker processes.

    Returns:
        The report as a JSON value. It depends on the scenario and the policies
        only, not on the number of processes.
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
            results = list(pool.map(_run_policy_packed, work))
    else:
        results = [run_policy(*item) for item in work]
    report = {
        "scenario": attrs.asdict(scenario),
        "policies": {p: {"runs": [], "reference": []} for p in policies},
    }
    for kind, (_, _, policy), result in zip(kinds, work, results, strict=True):
        report["policies"][policy][kind].append(result)
    for policy in policies:
        report["policies"][policy]["figures"] = _derive_figures(
            scenario, report["policies"], policy
        )
    return report


def run_policy(scenario: Scenario, seed: int, policy: str) -> dict[str, Any]:
    """Runs one policy on one seed.

    Args:
        scenario: Scenario to simulate; arrivals of the classes in `without`
            are left out.
        seed: Seed of the arrivals and of the policy.
        policy: One of `POLICIES`.

    Returns:
        Figures of the run as a JSON value.
    """
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
        "windows": _window_dicts(scenario, records, scenario.report_class),
        "classes": {
            name: _window_dicts(scenario, records, name) for name in classes
        },
        "refusals": _measures.refusal_counts(records),
        "waste": _measures.wasted_message_rates(records, simulation.totals),
        "most_ejected": simulation.totals.max_ejected_share,
        "unanswered": sum(r.outcome == "unanswered" for r in records),
    }


def wall_time_per_start(scenario: Scenario, seed: int) -> float:
    """Returns the wall time per task start of a run of anvilford, in seconds.

    The time includes the event loop and the fake targets and entries. It
    varies between runs and is therefore not part of the report.
    """
    simulation = Simulation(
        scenario, "anvilford", seed, make_arrivals(scenario, seed)
    )
    started = time.perf_counter()
    simulation.run()
    spent = time.perf_counter() - started
    return spent / max(1, simulation.totals.starts)


def _run_policy_packed(item: tuple[Scenario, int, str]) -> dict[str, Any]:
    return run_policy(*item)


def _window_dicts(scenario: Scenario, records: list, name: str) -> list[dict]:
    return [
        attrs.asdict(window)
        for window in _measures.split_into_windows(scenario, records, name)
    ]


def _worst_percentile(results: list[dict], percentile: str) -> float:
    return max(
        window["slowdown"][percentile]
        for result in results
        for window in result["windows"]
    )


def _derive_figures(
    scenario: Scenario, all_results: dict[str, Any], policy: str
) -> dict[str, Any]:
    """Returns the figures of a policy over all seeds.

    Percentiles and `in_time` are those of the worst window.

    Args:
        scenario: Scenario that was simulated.
        all_results: Lists `runs` and `reference` of each policy.
        policy: Policy whose figures are derived.
    """
    results = all_results[policy]["runs"]
    window_list = [w for r in results for w in r["windows"]]
    figures: dict[str, Any] = {
        "p99": _worst_percentile(results, "p99"),
        "p99.9": _worst_percentile(results, "p99.9"),
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
        figures["reference_p99.9"] = _worst_percentile(reference, "p99.9")
        figures["ratio"] = figures["p99.9"] / figures["reference_p99.9"]
    if scenario.measure == "peak" and "clairvoyant" in all_results:
        figures.update(
            _derive_peak_figures(
                scenario, results, all_results["clairvoyant"]["runs"]
            )
        )
    return figures


def _derive_peak_figures(
    scenario: Scenario, results: list[dict], bound: list[dict]
) -> dict[str, Any]:
    """Compares the jobs answered during the peak with the clairvoyant policy.

    Args:
        scenario: Scenario that was simulated; its first surge is the peak.
        results: Runs of the policy, one per seed.
        bound: Runs of the clairvoyant policy on the same seeds.

    Returns:
        `worst_second_of_bound`: lowest ratio of the answered jobs, policy to
        clairvoyant policy, in a window of the peak; `peak_of_bound`: the same
        ratio over the whole peak; `recovery_s`: seconds from the end of the
        peak to the end of the last window in which the 99th percentile of the
        slowdown exceeds `MAX_ORDINARY_P99_SLOWDOWN`.
    """
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
            if (
                start >= peak_end
                and window["slowdown"]["p99"] > MAX_ORDINARY_P99_SLOWDOWN
            ):
                recovery = max(recovery, start + scenario.window_s - peak_end)
    return {
        "worst_second_of_bound": worst,
        "peak_of_bound": answered / max(1, possible),
        "recovery_s": recovery,
    }
