"""Searches for violations: `python -m testkit.simulation --runs 500`.

Each run draws its faults, sizes and message loss from its own seed. The seed
of a run with violations is printed; `--seed N --runs 1` repeats the run with
the same events.
"""

import argparse
import concurrent.futures
import random
import sys

from anvilford.entry import CoreOptions
from testkit.simulation import _faults
from testkit.simulation._checker import check_history
from testkit.simulation._checker import Violation
from testkit.simulation._network import NetworkOptions
from testkit.simulation._scenario import run_scenario
from testkit.simulation._scenario import Scenario

PRESETS = ("ordinary", "peak", "maintenance")


def random_fault(rng: random.Random) -> _faults.Fault:
    """Draws a fault at 0.1 s to 5 s after the warm-up."""
    at = rng.uniform(0.1, 5.0)
    number = rng.randrange(8)
    duration = rng.uniform(0.2, 5.0)
    return rng.choice(
        (
            _faults.SuspendEntry(at, number, duration),
            _faults.KillEntry(at, number, rng.uniform(0.1, 3.0)),
            _faults.DrainEntry(at, number, rng.uniform(0.1, 3.0)),
            _faults.PartitionZone(at, rng.randrange(3), duration),
            _faults.PlatformOutage(at, duration),
            _faults.FailingTarget(at, number, duration),
            _faults.KillTarget(at, number),
            _faults.TargetLeaving(
                at, number, rng.choice(("list", "answer", "operator"))
            ),
            _faults.CancelWave(at, rng.random()),
            _faults.ApplyConfiguration(at, rng.choice(PRESETS)),
        )
    )


def random_scenario(seed: int) -> Scenario:
    """Draws a scenario with one to five faults from a seed."""
    rng = random.Random(seed)
    faults = tuple(random_fault(rng) for _ in range(rng.randint(1, 5)))
    network = NetworkOptions(
        zones=rng.randint(1, 3),
        entries_per_zone=rng.randint(1, 3),
        targets_per_zone=rng.randint(1, 3),
        mean_latency=rng.choice((0.0005, 0.001, 0.02)),
        loss_probability=rng.choice((0.0, 0.02, 0.3)),
        duplication_probability=rng.choice((0.0, 0.05, 0.5)),
        core=CoreOptions(drain_notice=0.3),
    )
    return Scenario(
        faults=faults,
        jobs_per_second=rng.choice((5.0, 30.0, 60.0)),
        max_tasks=rng.choice((1, 6, 20)),
        resubmit_probability=rng.choice((0.0, 0.4, 0.8)),
        cancel_probability=rng.choice((0.0, 0.05, 0.5)),
        first_entry_probability=rng.choice((0.0, 0.8)),
        network=network,
    )


def check_random_scenario(seed: int) -> tuple[int, list[Violation]]:
    """Runs a random scenario; returns its seed and the violations found."""
    return seed, check_history(run_scenario(random_scenario(seed), seed))


def main() -> int:
    """Runs the search; returns 1 if any run violated an invariant."""
    parser = argparse.ArgumentParser(prog="testkit.simulation")
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--processes", type=int, default=4)
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    failed_runs = 0
    with concurrent.futures.ProcessPoolExecutor(
        arguments.processes
    ) as executor:
        for seed, violations in executor.map(check_random_scenario, seeds):
            if violations:
                failed_runs += 1
                print(f"seed {seed}: {len(violations)} violations")
                for violation in violations[:3]:
                    print(f"  {violation.invariant}: {violation.detail}")
    print(f"{arguments.runs} runs, {failed_runs} with violations")
    return 1 if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
