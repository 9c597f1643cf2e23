"""Answers of one zone's callers while the zone is cut off, side by side.

`.venv/bin/python -m benchmarks.zone_cut` runs the simulation of the tests on a
virtual clock with 24 targets in 4 zones and 8 entries at 70% load. The cut
separates the zone from the other zones and from the platform.
"""

import argparse

import attrs

from benchmarks.lending import Totals
from testkit.simulation import History
from testkit.simulation import NetworkOptions
from testkit.simulation import PartitionZone
from testkit.simulation import run_scenario
from testkit.simulation import Scenario
from testkit.simulation._history import AnswerReceived
from testkit.simulation._history import RequestSent

DURATION_S = 20.0
ZONE_PREFIX = "10.0.0."
# 192 slots; a task takes 0.27 s on average, those that run long included.
RATE_AT_70_PERCENT = 480.0


def only_zone(history: History) -> History:
    """Keeps the requests that callers sent to entries of the first zone."""
    requests = {
        r.request
        for r in history.events_of(RequestSent)
        if r.entry.startswith(ZONE_PREFIX)
    }
    events = [
        event
        for event in history.events
        if not isinstance(event, RequestSent | AnswerReceived)
        or event.request in requests
    ]
    return attrs.evolve(history, events=events)


def main() -> None:
    """Prints the comparison."""
    parser = argparse.ArgumentParser(prog="benchmarks.zone_cut")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--rate", type=float, default=RATE_AT_70_PERCENT)
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
        totals = Totals()
        for seed in range(arguments.seeds):
            history = run_scenario(scenario, seed)
            totals.add(only_zone(history))
        print(f"{name:8}{totals.report()}")


if __name__ == "__main__":
    main()
