"""Compares the answers to callers of one zone with and without a partition.

Runs the simulation of `testkit.simulation`, on a virtual clock, with 24 targets
in 4 zones and 8 entries at 70% load. The partition separates the zone from the
other zones and from the platform. Prints one line without and one with it.

    python -m benchmarks.zone_cut [--seeds N] [--rate JOBS_PER_S]
"""

import argparse

import attrs

from benchmarks.lending import SimulationTotals
from testkit.simulation import History
from testkit.simulation import NetworkOptions
from testkit.simulation import PartitionZone
from testkit.simulation import run_scenario
from testkit.simulation import Scenario
from testkit.simulation._history import AnswerReceived
from testkit.simulation._history import RequestSent

DURATION_S = 20.0
FIRST_ZONE_PREFIX = "10.0.0."
# The site has 192 slots. A task takes 0.27 s on average, including those that
# run long.
JOBS_PER_S_AT_70_PERCENT_LOAD = 480.0


def keep_first_zone(history: History) -> History:
    """Returns the history without requests to entries of other zones.

    Events other than requests and answers stay.
    """
    requests = {
        r.request
        for r in history.events_of(RequestSent)
        if r.entry.startswith(FIRST_ZONE_PREFIX)
    }
    events = [
        event
        for event in history.events
        if not isinstance(event, RequestSent | AnswerReceived)
        or event.request in requests
    ]
    return attrs.evolve(history, events=events)


def main() -> None:
    """Simulates the site without and with the partition; prints a line each."""
    parser = argparse.ArgumentParser(prog="benchmarks.zone_cut")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument(
        "--rate", type=float, default=JOBS_PER_S_AT_70_PERCENT_LOAD
    )
    arguments = parser.parse_args()
    for name, faults in (
        ("whole", ()),
        ("cut off", (PartitionZone(0.0, 0, DURATION_S),)),
    ):
        scenario = Scenario(
            faults=faults,
            load_duration=DURATION_S,
            jobs_per_second=arguments.rate,
            max_tasks=1,
            resubmit_probability=0.0,
            cancel_probability=0.0,
            settle_time=6.0,
            network=NetworkOptions(
                zones=4, entries_per_zone=2, targets_per_zone=6
            ),
        )
        totals = SimulationTotals()
        for seed in range(arguments.seeds):
            history = run_scenario(scenario, seed)
            totals.add(keep_first_zone(history))
        print(f"{name:8}{totals.format_line()}")


if __name__ == "__main__":
    main()
