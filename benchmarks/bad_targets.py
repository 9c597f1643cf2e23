"""Compares the answers to callers under different faults of one target.

Runs the simulation of `testkit.simulation`, on a virtual clock, with 24 targets
in 4 zones and 8 entries. Prints one line for each fault: none, a target that
fails all tasks, one that hangs, and one that has vanished.

    python -m benchmarks.bad_targets [--seeds N] [--rate JOBS_PER_S]
"""

import argparse

from benchmarks.lending import SimulationTotals
from testkit.simulation import FailingTarget
from testkit.simulation import HangTarget
from testkit.simulation import KillTarget
from testkit.simulation import NetworkOptions
from testkit.simulation import run_scenario
from testkit.simulation import Scenario

DURATION_S = 30.0
FAULTS = {
    "none": (),
    "failing": (FailingTarget(0.0, 0, DURATION_S),),
    "hanging": (HangTarget(0.0, 0, DURATION_S),),
    "vanished": (KillTarget(0.0, 0),),
}


def main() -> None:
    """Runs the simulations and prints one line for each fault."""
    parser = argparse.ArgumentParser(prog="benchmarks.bad_targets")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=250.0)
    arguments = parser.parse_args()
    for name, faults in FAULTS.items():
        scenario = Scenario(
            faults=faults,
            duration=DURATION_S,
            jobs_per_second=arguments.rate,
            max_tasks=1,
            resubmit=0.0,
            cancel=0.0,
            network=NetworkOptions(
                zones=4, entries_per_zone=2, targets_per_zone=6
            ),
        )
        totals = SimulationTotals()
        for seed in range(arguments.seeds):
            totals.add(run_scenario(scenario, seed))
        print(f"{name:9}{totals.format_line()}")


if __name__ == "__main__":
    main()
