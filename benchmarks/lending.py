"""Compares the answers to callers with and without lending of slots.

With lending, entries may use the slots that other entries of their zone leave
unused. Runs the simulation of `testkit.simulation`, on a virtual clock,
with uneven load. Prints one line for each skew (probability that a caller uses
the first entry), without ("fixed") and with lending.

    python -m benchmarks.lending [--seeds N] [--rate JOBS_PER_S]
"""

import argparse
import collections

import attrs
from hdrh.histogram import HdrHistogram

from anvilford.entry import CoreOptions
from anvilford.model import Complete
from anvilford.protocol import RequestKind
from testkit.simulation import check
from testkit.simulation import History
from testkit.simulation import NetworkOptions
from testkit.simulation import run_scenario
from testkit.simulation import Scenario
from testkit.simulation._history import Answered
from testkit.simulation._history import Executed
from testkit.simulation._history import Requested
from testkit.simulation._history import Sent

MAX_LATENCY_MS = 60_000


@attrs.define
class SimulationTotals:
    """Outcomes and latencies of several simulated runs of one scenario.

    Attributes:
        latencies: Latencies of complete answers in milliseconds.
        outcomes: Number of answers to submissions, by class name.
        sent: Attempts sent to targets.
        executed: Attempts that targets executed.
        violations: Violated invariants that `testkit.simulation.check` found.
    """

    latencies: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, 3)
    )
    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    sent: int = 0
    executed: int = 0
    violations: int = 0

    def add(self, history: History) -> None:
        """Adds the events of one run."""
        requested = {
            r.request: r
            for r in history.of(Requested)
            if r.kind is RequestKind.SUBMIT
        }
        for answered in history.of(Answered):
            request = requested.get(answered.request)
            if request is None:
                continue
            self.outcomes[type(answered.answer).__name__] += 1
            if isinstance(answered.answer, Complete):
                elapsed = (answered.at - request.at) * 1000
                self.latencies.record_value(max(1, round(elapsed)))
        self.sent += len(history.of(Sent))
        self.executed += len(history.of(Executed))
        self.violations += len(check(history))

    def format_line(self) -> str:
        """Formats the totals as one line of text."""
        answered = sum(self.outcomes.values())
        p50, p99 = (self.latencies.get_value_at_percentile(p) for p in (50, 99))
        wasted = (self.sent - self.executed) / max(1, self.executed)
        return (
            f"complete {self.outcomes['Complete'] / answered:7.2%}  "
            f"p50 {p50:5d} ms  p99 {p99:5d} ms  "
            f"refused starts per task {wasted:.4f}  "
            f"violations {self.violations}"
        )


def main() -> None:
    """Runs the simulations and prints one line for each variant."""
    parser = argparse.ArgumentParser(prog="benchmarks.lending")
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--rate", type=float, default=20.0)
    arguments = parser.parse_args()
    for skew in (0.0, 0.5, 1.0):
        for lending in (False, True):
            scenario = Scenario(
                duration=20.0,
                jobs_per_second=arguments.rate,
                resubmit=0.0,
                cancel=0.0,
                skew=skew,
                network=NetworkOptions(
                    zones=1, core=CoreOptions(lending=lending)
                ),
            )
            totals = SimulationTotals()
            for seed in range(arguments.seeds):
                totals.add(run_scenario(scenario, seed))
            name = "lending" if lending else "fixed  "
            print(f"skew {skew:.1f}  {name}  {totals.format_line()}")


if __name__ == "__main__":
    main()
