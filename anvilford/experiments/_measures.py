"""Measures a run: slowdown, jobs in time, refusals and wasted messages."""

from collections.abc import Iterable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from anvilford.experiments._scenario import Scenario
from anvilford.experiments._simulation import JobRecord
from anvilford.experiments._simulation import LOCAL_DELAY_S
from anvilford.experiments._simulation import RunTotals

# The histogram holds integers, so slowdown is recorded in thousandths. A job
# that did not complete counts with the highest slowdown, so that a policy
# cannot improve a percentile by refusing slow jobs.
SLOWDOWN_UNITS = 1000
WORST_SLOWDOWN = 1000.0
# A refusal later than this after the arrival of the job counts as late.
REFUSAL_LIMIT_S = 0.1


@attrs.frozen
class Window:
    """Figures of one time window of a run.

    Attributes:
        start_s: Start of the window, in seconds since the start of the run.
        jobs: Number of jobs that arrived in the window.
        complete: Number of these jobs that completed in time, whenever that
            was.
        answered: Number of jobs whose completion was answered in the window,
            whenever they arrived.
        slowdown: Percentiles of the slowdown of the jobs that arrived, by
            name.
    """

    start_s: float
    jobs: int
    complete: int
    answered: int
    slowdown: dict[str, float]


def slowdown(scenario: Scenario, record: JobRecord) -> float:
    """Returns the response time that the caller sees, divided by the ideal.

    The ideal is the run time of the longest task on the fastest target plus the
    network delays, with a target in the zone of the entry. A job that did not
    complete gives `WORST_SLOWDOWN`.
    """
    if record.outcome != "complete":
        return WORST_SLOWDOWN
    arrival = record.arrival
    network = 2 * (scenario.client_delay_ms / 1000)
    ideal = arrival.longest_run_time_s + 2 * LOCAL_DELAY_S + network
    return (record.answered_at - arrival.time_s + network) / ideal


def slowdown_percentiles(values: Iterable[float]) -> dict[str, float]:
    """Returns percentiles and maximum of slowdowns, from an HDR histogram."""
    histogram = HdrHistogram(1, int(WORST_SLOWDOWN * SLOWDOWN_UNITS), 3)
    for value in values:
        histogram.record_value(max(1, round(value * SLOWDOWN_UNITS)))
    result = {
        name: histogram.get_value_at_percentile(percentile) / SLOWDOWN_UNITS
        for name, percentile in (
            ("p50", 50.0),
            ("p90", 90.0),
            ("p99", 99.0),
            ("p99.9", 99.9),
        )
    }
    result["max"] = histogram.get_max_value() / SLOWDOWN_UNITS
    return result


def split_into_windows(
    scenario: Scenario, records: list[JobRecord], job_class: str = ""
) -> list[Window]:
    """Splits the measured time of a run into windows.

    Args:
        scenario: Scenario that was simulated.
        records: Records of all jobs of the run.
        job_class: Class of the jobs to include; "" for all classes.

    Returns:
        Windows in order of time, without the warm-up.
    """
    count = int(scenario.duration_s / scenario.window_s)
    arrived: list[list[JobRecord]] = [[] for _ in range(count)]
    answered = [0] * count
    for record in records:
        if job_class and record.arrival.job_class != job_class:
            continue
        index = _window_index(scenario, record.arrival.time_s)
        if 0 <= index < count:
            arrived[index].append(record)
        if record.outcome == "complete":
            index = _window_index(scenario, record.answered_at)
            if 0 <= index < count:
                answered[index] += 1
    return [
        Window(
            start_s=scenario.warmup_s + i * scenario.window_s,
            jobs=len(members),
            complete=sum(r.outcome == "complete" for r in members),
            answered=answered[i],
            slowdown=slowdown_percentiles(
                slowdown(scenario, r) for r in members
            ),
        )
        for i, members in enumerate(arrived)
    ]


def _window_index(scenario: Scenario, when: float) -> int:
    return int((when - scenario.warmup_s) // scenario.window_s)


def refusal_counts(records: list[JobRecord]) -> dict[str, Any]:
    """Counts refusals.

    Returns:
        `count`: number of refusals; `false`: refusals of jobs of which a task
        had started; `late`: refusals after more than `REFUSAL_LIMIT_S`;
        `slowest_ms`: longest time from arrival to refusal.
    """
    refused = [r for r in records if r.outcome == "not_run"]
    delays = [r.answered_at - r.arrival.time_s for r in refused]
    return {
        "count": len(refused),
        "false": sum(r.started_tasks > 0 for r in refused),
        "late": sum(delay > REFUSAL_LIMIT_S for delay in delays),
        "slowest_ms": round(1000 * max(delays, default=0.0), 3),
    }


def wasted_message_rates(
    records: list[JobRecord], totals: RunTotals
) -> dict[str, float]:
    """Returns wasted messages per task of the completed jobs, by kind."""
    tasks = sum(
        len(r.arrival.job.tasks) for r in records if r.outcome == "complete"
    )
    kinds = {
        "refused_starts": totals.refused_starts,
        "cancels": totals.cancels,
        "retries": totals.retries,
    }
    return {
        kind: round(count / max(1, tasks), 6) for kind, count in kinds.items()
    }
