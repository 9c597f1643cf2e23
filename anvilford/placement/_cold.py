"""Decides when tasks start on cold targets, which are slow after their start.

Load: a zone that was emptied is taken back, and all its targets are cold, while
the other zones are busy. A cold target says how long it stays so, but not how
much slower it is. Tasks go to warm targets first. A cold one is used as soon as
its expected answer is better than that after a wait for a warm one.

How much slower cold targets are is learned from the runs that began on them.
These runs do not count for the speed of the target, which is that of later.
"""

import math
from collections.abc import Iterable

import attrs

from anvilford.placement._admission import expected_wait
from anvilford.placement._admission import PACKING_EFFICIENCY
from anvilford.placement._choice import can_run
from anvilford.placement._choice import expected_run_seconds
from anvilford.placement._choice import MAX_BUDGET_SHARE
from anvilford.placement._model import PlacementOptions
from anvilford.placement._orders import RunEnd
from anvilford.placement._state import Demand
from anvilford.placement._state import Job
from anvilford.placement._state import Run
from anvilford.placement._state import sum_demand
from anvilford.placement._state import Target
from anvilford.placement._state import Task
from anvilford.placement._view import ServiceView

# Assumed slowdown before any run is measured: nothing is known of it but that it
# is above 1. Two keeps tasks within their objective of 1.6 times the estimate
# plus 60 ms only if they are short, so that the first runs risk little.
INITIAL_SLOWDOWN = 2.0
# Bounds of the slowdown. The upper one keeps a run that stands still from ruling
# out cold targets for good.
SLOWDOWN_RANGE = (1.0, 20.0)
# Weight of a new sample in the geometric moving average; the first ones weigh
# more, so that a wrong assumption is corrected after a few runs.
SAMPLE_WEIGHT = 0.12
INITIAL_SAMPLE_WEIGHT = 0.5
# Samples are clipped to this factor above or below the current value: 3% of the
# tasks run seven times longer than the rest, and estimates are off by 40%.
MAX_SAMPLE_FACTOR = 2.5
# Share of a run for which its target must have been cold, for a sample. The rest
# of the run is assumed to go at the speed of the target.
MIN_COLD_SHARE = 0.5
# Time without a sample, in seconds, after which the assumption of before holds
# again. Otherwise a slowdown that was found too high would never be corrected,
# as no task would start on a cold target.
SLOWDOWN_RETENTION_S = 60.0


def expected_cold_seconds(
    seconds: float, cold_seconds: float, slowdown: float
) -> float:
    """Returns the expected run time of a task that starts now.

    Args:
        seconds: Run time on the same target when it is warm.
        cold_seconds: Time for which the target stays cold.
        slowdown: Factor on the run time while it is cold.
    """
    if seconds * slowdown <= cold_seconds:
        return seconds * slowdown
    return seconds + cold_seconds * (1.0 - 1.0 / slowdown)


def began_cold(target: Target, run: Run) -> bool:
    """Returns whether the target was cold when a run began there."""
    return run.confirmed_at < target.cold_until


@attrs.define
class _Slowdown:
    """Measured slowdown of the cold targets of a service.

    Attributes:
        value: The slowdown.
        samples: Number of runs in it.
        measured_at: Time of the last of them, in seconds.
    """

    value: float = INITIAL_SLOWDOWN
    samples: int = 0
    measured_at: float = -math.inf


class ColdTargets:
    """What is known of cold targets, and the decisions to use them."""

    def __init__(self):
        self._slowdowns: dict[str, _Slowdown] = {}

    def slowdown(self, service: str, now: float) -> float:
        """Returns the expected slowdown of the cold targets of a service."""
        known = self._slowdowns.get(service)
        if known is None or now - known.measured_at > SLOWDOWN_RETENTION_S:
            return INITIAL_SLOWDOWN
        return known.value

    def record_end(
        self, target: Target, run: Run, end: RunEnd, now: float
    ) -> None:
        """Learns from the end of a run, if it began on a cold target.

        A run that was stopped shows only that the slowdown is not lower.

        Args:
            target: Target of the run.
            run: Run that this placer has started: the start of another one is
                not known.
            end: How it ended.
            now: Current time in seconds.
        """
        if (
            not began_cold(target, run)
            or end not in (RunEnd.DONE, RunEnd.STOPPED)
            or run.task is None
            or not run.confirmed_at
        ):
            return
        elapsed = max(now - run.confirmed_at, 0.002)
        warm_seconds = max(now - target.cold_until, 0.0)
        cold_seconds = elapsed - warm_seconds
        expected = run.task.spec.estimate_ms / 1000 / target.speed
        if expected <= 0 or cold_seconds < MIN_COLD_SHARE * elapsed:
            return
        # Work of the cold time, in seconds on the warm target. If estimates are
        # too low, none may seem to be left.
        work = max(expected - warm_seconds, 0.1 * expected)
        service = target.record.service
        if end is RunEnd.STOPPED and (
            cold_seconds / work < self.slowdown(service, now)
        ):
            return
        self._add_sample(service, cold_seconds / work, now)

    def _add_sample(self, service: str, sample: float, now: float) -> None:
        known = self._slowdowns.get(service)
        if known is None or now - known.measured_at > SLOWDOWN_RETENTION_S:
            known = self._slowdowns[service] = _Slowdown()
        bounded = min(
            max(sample, known.value / MAX_SAMPLE_FACTOR),
            known.value * MAX_SAMPLE_FACTOR,
        )
        weight = max(SAMPLE_WEIGHT, INITIAL_SAMPLE_WEIGHT / (1 + known.samples))
        value = known.value * (bounded / known.value) ** weight
        known.value = min(max(value, SLOWDOWN_RANGE[0]), SLOWDOWN_RANGE[1])
        known.samples += 1
        known.measured_at = now

    def run_seconds(
        self, task: Task, target: Target, options: PlacementOptions, now: float
    ) -> float:
        """Returns the expected run time of a task on a cold target."""
        return expected_cold_seconds(
            expected_run_seconds(task, target, options),
            max(target.cold_until - now, 0.0),
            self.slowdown(target.record.service, now),
        )

    def choose(
        self,
        task: Task,
        targets: Iterable[Target],
        warm_wait: float,
        best_warm_speed: float,
        options: PlacementOptions,
        now: float,
    ) -> Target | None:
        """Chooses the cold target on which a task starts, if any.

        To be called when the task does not start on a warm target now.

        Args:
            task: Task whose dependencies have completed.
            targets: Cold targets of the service.
            warm_wait: Expected seconds until a warm target is free; infinity if
                there is none.
            best_warm_speed: Speed of the fastest warm target, free or busy; 0
                if there is none.
            options: Parameters of the placer.
            now: Current time in seconds.

        Returns:
            None if it is better to wait, or if the answer would have no value.
        """
        if task.has_lost_target:
            return None  # It is tried on one target at a time.
        best, best_seconds = None, math.inf
        for target in targets:
            if can_run(task, target, now):
                seconds = self.run_seconds(task, target, options, now)
                if seconds < best_seconds:
                    best, best_seconds = target, seconds
        if best is None:
            return None
        job = task.job
        budget = (job.objective_deadline - now) * MAX_BUDGET_SHARE
        if best_seconds <= budget:
            return best
        warm_seconds = warm_wait + task.spec.estimate_ms / 1000 / (
            best_warm_speed or 1.0
        )
        if warm_seconds <= budget or warm_seconds < best_seconds:
            return None
        return best if now + best_seconds <= job.value_deadline else None

    def admits(
        self,
        job: Job,
        backlog: Demand,
        view: ServiceView,
        options: PlacementOptions,
        now: float,
    ) -> bool:
        """Returns whether a new job that would be refused fits on cold targets.

        It does if they have room for it at once, beside the jobs that wait, and
        its answer would still have value.

        Args:
            job: The new job.
            backlog: Demand of the jobs that wait for the service.
            view: View of the service.
            options: Parameters of the placer.
            now: Current time in seconds.
        """
        if not view.cold_targets:
            return False
        free = sum(t.available.cpu_millis for t in view.cold_targets)
        if free * PACKING_EFFICIENCY < backlog.cpu + job.demand.cpu:
            return False
        seconds = []
        for task in {task.step: task for task in job.waiting}.values():
            times = [
                self.run_seconds(task, target, options, now)
                for target in view.cold_targets
                if can_run(task, target, now)
            ]
            if not times:
                return False
            seconds.append(min(times))
        is_chain = any(step.after for step in job.spec.steps)
        total = sum(seconds) if is_chain else max(seconds, default=0.0)
        return total <= (job.value_deadline - now) * MAX_BUDGET_SHARE


def expected_warm_wait(jobs: Iterable[Job], view: ServiceView) -> float:
    """Returns the expected seconds until all jobs start on warm targets.

    Args:
        jobs: Jobs that wait for the service.
        view: View of the service.

    Returns:
        Infinity without warm targets.
    """
    return expected_wait(sum_demand(job.demand for job in jobs), view.capacity)
