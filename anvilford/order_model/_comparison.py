"""Plays every policy on every seed of a scenario."""

import concurrent.futures
import random
from typing import Any

from anvilford.order_model import _baselines
from anvilford.order_model import _reference
from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Result
from anvilford.order_model._scenario import Scenario
from anvilford.order_model._site import PlacementSimulation

OURS = "anvilford"
REFERENCE = "clairvoyant"
BASELINES = tuple(baseline.value for baseline in _baselines.Baseline)
POLICIES = (*BASELINES, OURS, REFERENCE)
# The placer has claimed all targets by then.
START_S = 0.1
# Jobs that are still at work after the last arrival end within this.
REST_S = 6.0


def compare(scenario: Scenario, processes: int = 1) -> dict[str, Any]:
    """Plays all policies.

    Args:
        scenario: What is played.
        processes: Number of worker processes.

    Returns:
        A JSON value: for each policy its mean shares over the seeds, those of
        each kind for ours, and the share of the reference that it earns.
    """
    work = [(scenario, p, seed) for p in POLICIES for seed in scenario.seeds]
    if processes > 1:
        with concurrent.futures.ProcessPoolExecutor(processes) as pool:
            results = list(pool.map(_play_packed, work))
    else:
        results = [play(*item) for item in work]
    report: dict[str, Any] = {"scenario": scenario.name, "policies": {}}
    for policy in POLICIES:
        played = [
            result
            for (_, name, _), result in zip(work, results, strict=True)
            if name == policy
        ]
        report["policies"][policy] = _mean(played)
    best = report["policies"][REFERENCE]["worth"]
    for figures in report["policies"].values():
        figures["of_reference"] = figures["worth"] / best
    return report


def play(scenario: Scenario, policy: str, seed: int) -> Result:
    """Plays one policy on one seed."""
    jobs = scenario.make_jobs(seed, START_S)
    targets = scenario.make_targets()
    match policy:
        case _ if policy in BASELINES:
            baseline = _baselines.Baseline(policy)
            rng = random.Random(seed)
            return _baselines.play(baseline, jobs, targets, rng)
        case _ if policy == REFERENCE:
            return _reference.plan(jobs, targets)
        case _:
            return _play_ours(scenario, jobs, seed)


def _play_ours(scenario: Scenario, jobs: list[Arrival], seed: int) -> Result:
    site = PlacementSimulation(scenario.make_targets(), seed=seed)
    site.add_placer("p", 1)
    site.run(START_S)
    for job in jobs:
        site.schedule(job.arrival_time, site.offer, "p", job)
    site.run(START_S + scenario.length_s + REST_S)
    return site.results_by_kind(jobs)["all"]


def _play_packed(item: tuple[Scenario, str, int]) -> Result:
    return play(*item)


def _mean(results: list[Result]) -> dict[str, float]:
    """Means over the seeds, as shares of the jobs or of their worth."""
    count = len(results)
    figures = {"worth": sum(r.share for r in results) / count}
    for name in ("in_time", "late", "refused", "failed"):
        shares = (getattr(r, name) / max(r.asked, 1) for r in results)
        figures[name] = sum(shares) / count
    figures["worst_seed"] = min(r.share for r in results)
    return figures


def format_report(report: dict[str, Any]) -> str:
    """One line a policy."""
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
