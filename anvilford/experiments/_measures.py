"""Figures of a run: slowdown, answers in time, refusals, wasted messages."""

from collections.abc import Iterable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from anvilford.experiments._scenario import Scenario
from anvilford.experiments._simulation import JobRecord
from anvilford.experiments._simulation import LOCAL_DELAY
from anvilford.experiments._simulation import Totals

# Slowdown is recorded in thousandths. A job that did not complete counts as
# the highest value, so that refusing slow jobs does not improve a percentile.
SCALE = 1000
WORST_SLOWDOWN = 1000.0
# Refusals must be given within this time.
REFUSAL_TIME = 0.1


@attrs.frozen
class Window:
    """Figures of the jobs that arrived in one window.

    Attributes:
        start_s: Start of the window since the start of the run.
        jobs: Jobs that arrived.
        complete: Jobs that arrived in it and completed in time.
        answered: Jobs answered complete in the window.
        slowdown: Percentiles by name.
    """

    start_s: float
    jobs: int
    complete: int
    answered: int
    slowdown: dict[str, float]


def slowdown(scenario: Scenario, record: JobRecord) -> float:
    """Returns response time divided by the ideal, as the caller sees it."""
    if record.kind != "complete":
        return WORST_SLOWDOWN
    arrival = record.arrival
    network = 2 * (scenario.client_delay_ms / 1000)
    ideal = arrival.longest + 2 * LOCAL_DELAY + network
    return (record.answered - arrival.when + network) / ideal


def percentiles(values: Iterable[float]) -> dict[str, float]:
    """Returns percentiles of slowdowns from an HDR histogram."""
    histogram = HdrHistogram(1, int(WORST_SLOWDOWN * SCALE), 3)
    for value in values:
        histogram.record_value(max(1, round(value * SCALE)))
    result = {
        name: histogram.get_value_at_percentile(percentile) / SCALE
        for name, percentile in (
            ("p50", 50.0),
            ("p90", 90.0),
            ("p99", 99.0),
            ("p99.9", 99.9),
        )
    }
    result["max"] = histogram.get_max_value() / SCALE
    return result


def windows(
    scenario: Scenario, records: list[JobRecord], job_class: str = ""
) -> list[Window]:
    """Splits the measured time of a run into windows.

    Args:
        scenario: What was simulated.
        records: All jobs of the run.
        job_class: Only jobs of this class; "" for all.
    """
    count = int(scenario.duration_s / scenario.window_s)
    arrived: list[list[JobRecord]] = [[] for _ in range(count)]
    answered = [0] * count
    for record in records:
        if job_class and record.arrival.job_class != job_class:
            continue
        index = _window(scenario, record.arrival.when)
        if 0 <= index < count:
            arrived[index].append(record)
        if record.kind == "complete":
            index = _window(scenario, record.answered)
            if 0 <= index < count:
                answered[index] += 1
    return [
        Window(
            start_s=scenario.warmup_s + i * scenario.window_s,
            jobs=len(members),
            complete=sum(r.kind == "complete" for r in members),
            answered=answered[i],
            slowdown=percentiles(slowdown(scenario, r) for r in members),
        )
        for i, members in enumerate(arrived)
    ]


def _window(scenario: Scenario, when: float) -> int:
    return int((when - scenario.warmup_s) // scenario.window_s)


def refusals(records: list[JobRecord]) -> dict[str, Any]:
    """Returns counts of refusals and of false or late ones."""
    refused = [r for r in records if r.kind == "not_run"]
    delays = [r.answered - r.arrival.when for r in refused]
    return {
        "count": len(refused),
        "false": sum(r.started > 0 for r in refused),
        "late": sum(delay > REFUSAL_TIME for delay in delays),
        "slowest_ms": round(1000 * max(delays, default=0.0), 3),
    }


def waste(records: list[JobRecord], totals: Totals) -> dict[str, float]:
    """Returns wasted messages per answered task, by kind."""
    tasks = sum(
        len(r.arrival.job.tasks) for r in records if r.kind == "complete"
    )
    kinds = {
        "refused_starts": totals.refused_starts,
        "cancels": totals.cancels,
        "retries": totals.retries,
    }
    return {
        kind: round(count / max(1, tasks), 6) for kind, count in kinds.items()
    }
