"""Answers while one target fails, hangs or has vanished, side by side.

`.venv/bin/python -m benchmarks.bad_targets` runs the simulation of the tests on
a virtual clock with 24 targets in 4 zones and 8 entries, and prints one line
for each fault of one target.
"""

import argparse

from benchmarks.lending import Totals
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
    """Prints the comparison."""
    parser = argparse.ArgumentParser(prog="benchmarks.bad_targets")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=250.0)
    arguments = parser.parse_args()
    for name, faults in FAULTS.items():
        scenario = Scenario(
            faults=faults,
            load_duration=DURATION_S,
            jobs_per_second=arguments.rate,
            max_tasks=1,
            resubmit_probability=0.0,
            cancel_probability=0.0,
            network=NetworkOptions(
                zones=4, entries_per_zone=2, targets_per_zone=6
            ),
        )
        totals = Totals()
        for seed in range(arguments.seeds):
            totals.add(run_scenario(scenario, seed))
        print(f"{name:9}{totals.report()}")


if __name__ == "__main__":
    main()
