"""Runs every scheduling policy on every seed of a scenario."""

import concurrent.futures
import random
from collections.abc import Callable
from typing import Any

from anvilford.order_model import _baselines
from anvilford.order_model import _reference
from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Result
from anvilford.order_model._scenario import Scenario
from anvilford.order_model._site import PlacementSimulation

PLACER_POLICY = "anvilford"
REFERENCE_POLICY = "clairvoyant"
BASELINE_POLICIES = tuple(baseline.value for baseline in _baselines.Baseline)
POLICIES = (*BASELINE_POLICIES, PLACER_POLICY, REFERENCE_POLICY)
# Time of the first possible arrival, in seconds. By then the placer has claimed
# all targets.
FIRST_ARRIVAL_S = 0.1
# Time simulated after the last arrival, in seconds, in which the jobs that are
# still running end.
DRAIN_TIME_S = 6.0
# Time between the observations of a simulation, in seconds.
OBSERVATION_INTERVAL_S = 0.01


def compare(scenario: Scenario, processes: int = 1) -> dict[str, Any]:
    """Runs all policies on all seeds of a scenario.

    Args:
        scenario: Scenario to run.
        processes: Number of worker processes.

    Returns:
        A JSON object. For each policy it holds mean shares over the seeds (see
        `_mean_shares`) and "of_reference", the earned worth relative to that
        of the reference plan.
    """
    work = [(scenario, p, seed) for p in POLICIES for seed in scenario.seeds]
    if processes > 1:
        with concurrent.futures.ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(_run_policy_packed, work))
    else:
        results = [run_policy(*item) for item in work]
    report: dict[str, Any] = {"scenario": scenario.name, "policies": {}}
    for policy in POLICIES:
        policy_results = [
            result
            for (_, name, _), result in zip(work, results, strict=True)
            if name == policy
        ]
        report["policies"][policy] = _mean_shares(policy_results)
    best = report["policies"][REFERENCE_POLICY]["worth"]
    for figures in report["policies"].values():
        figures["of_reference"] = figures["worth"] / best
    return report


def run_policy(scenario: Scenario, policy: str, seed: int) -> Result:
    """Runs one policy on the jobs of one seed."""
    jobs = scenario.make_jobs(seed, FIRST_ARRIVAL_S)
    targets = scenario.make_targets()
    match policy:
        case _ if policy in BASELINE_POLICIES:
            baseline = _baselines.Baseline(policy)
            rng = random.Random(seed)
            return _baselines.simulate(baseline, jobs, targets, rng)
        case _ if policy == REFERENCE_POLICY:
            return _reference.plan(jobs, targets)
        case _:
            return _run_placer(scenario, jobs, seed)


def _run_placer(scenario: Scenario, jobs: list[Arrival], seed: int) -> Result:
    simulation = run_simulation(scenario, jobs, seed)
    return simulation.results_by_kind(jobs)["all"]


def run_simulation(
    scenario: Scenario,
    jobs: list[Arrival],
    seed: int,
    observe: Callable[[PlacementSimulation], None] | None = None,
) -> PlacementSimulation:
    """Simulates a placer on the jobs of one seed.

    Args:
        scenario: The scenario.
        jobs: Its jobs for the seed.
        seed: Seed of the simulation.
        observe: Called each `OBSERVATION_INTERVAL_S` while jobs arrive.
    """
    simulation = PlacementSimulation(scenario.make_targets(), seed=seed)
    simulation.job_deadline_s = scenario.deadline_s
    simulation.add_placer("p", 1)
    simulation.run(FIRST_ARRIVAL_S)
    if scenario.lost_targets is not None:
        lost = scenario.lost_target_ids()
        at = FIRST_ARRIVAL_S + scenario.lost_targets.at_s
        simulation.schedule(at, simulation.remove_targets, lost)
    for job in jobs:
        simulation.schedule(
            job.arrival_time, simulation.offer, "p", job, False, job.zone
        )
    if observe is not None:
        steps = int(scenario.length_s / OBSERVATION_INTERVAL_S)
        for step in range(steps):
            at = FIRST_ARRIVAL_S + step * OBSERVATION_INTERVAL_S
            simulation.schedule(at, observe, simulation)
    simulation.run(FIRST_ARRIVAL_S + scenario.length_s + DRAIN_TIME_S)
    return simulation


def _run_policy_packed(item: tuple[Scenario, str, int]) -> Result:
    return run_policy(*item)


def _mean_shares(results: list[Result]) -> dict[str, float]:
    """Averages the results of one policy over the seeds.

    "worth" and "worst_seed" are the mean and the smallest share of the
    possible worth that was earned; the other values are shares of the jobs.
    """
    count = len(results)
    figures = {"worth": sum(r.share for r in results) / count}
    for name in ("in_time", "late", "refused", "failed"):
        shares = (getattr(r, name) / max(r.asked, 1) for r in results)
        figures[name] = sum(shares) / count
    figures["worst_seed"] = min(r.share for r in results)
    return figures


def format_report(report: dict[str, Any]) -> str:
    """Formats a report as a text table with one row for each policy."""
    columns = (
        "worth", "of_reference", "in_time", "late", "refused", "failed",
        "worst_seed",
    )  # fmt: skip
    lines = [
        report["scenario"].ljust(20) + "".join(c.rjust(13) for c in columns)
    ]
    for policy, figures in report["policies"].items():
        cells = "".join(f"{figures[c]:13.3f}" for c in columns)
        lines.append(policy.ljust(20) + cells)
    return "\n".join(lines)
