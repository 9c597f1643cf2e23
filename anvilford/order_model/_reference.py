"""What a dispatcher could earn that knows every job and run time beforehand.

Jobs are taken by worth for each core-second. Each is given places at which
all its tasks end in time, among those not yet taken; if there are none, it is
left out. Room that is left serves late jobs in the same way. This is a greedy
plan, not the optimum, which takes too long to find; no plan that does not know
the future comes near it at a crest.
"""

import bisect
from collections.abc import Sequence

import attrs

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import Ending
from anvilford.order_model._load import LATE_LIMIT_FACTOR
from anvilford.order_model._load import Result
from anvilford.order_model._target import FakeTarget
from anvilford.placement import Resources


@attrs.define
class _Timeline:
    """Reserved work of one target.

    Attributes:
        capacity: Its cores, in thousandths.
        speed: Its speed.
        spans: Reserved spans as (start, end, cores), by their start.
        longest: Longest span, in seconds.
    """

    capacity: int
    speed: float
    spans: list[tuple[float, float, int]] = attrs.field(factory=list)
    longest: float = 0.0

    def find_start(
        self, need: Resources, seconds: float, after: float, end_by: float
    ) -> float | None:
        """Earliest start at which a task has room until its end."""
        length = seconds / self.speed
        if after + length > end_by or need.cpu_millis > self.capacity:
            return None
        near = self._overlapping(after, end_by)
        starts = [after, *sorted(end for _, end, _ in near if end > after)]
        for start in starts:
            if start + length > end_by:
                return None
            if self._fits(need.cpu_millis, start, start + length, near):
                return start
        return None

    def reserve(self, need: Resources, start: float, end: float) -> None:
        """Takes room for a span."""
        bisect.insort(self.spans, (start, end, need.cpu_millis))
        self.longest = max(self.longest, end - start)

    def release(self, need: Resources, start: float, end: float) -> None:
        """Gives a span back."""
        self.spans.remove((start, end, need.cpu_millis))

    def _overlapping(
        self, start: float, end: float
    ) -> list[tuple[float, float, int]]:
        first = bisect.bisect_left(self.spans, (start - self.longest,))
        last = bisect.bisect_left(self.spans, (end,))
        return [span for span in self.spans[first:last] if span[1] > start]

    def _fits(
        self,
        cpu: int,
        start: float,
        end: float,
        near: Sequence[tuple[float, float, int]],
    ) -> bool:
        within = [s for s in near if s[0] < end and s[1] > start]
        moments = [start, *(s[0] for s in within if s[0] > start)]
        return all(
            cpu + sum(s[2] for s in within if s[0] <= at < s[1])
            <= self.capacity
            for at in moments
        )


def plan(jobs: Sequence[Arrival], targets: Sequence[FakeTarget]) -> Result:
    """Plans all jobs with full knowledge.

    Args:
        jobs: All jobs with their true run times.
        targets: The targets, which do not fail in the plan.
    """
    timelines = [
        _Timeline(t.record.capacity.cpu_millis, t.speed)
        # The slowest first: fast ones are left for those that need them.
        for t in sorted(targets, key=lambda t: t.speed)
    ]
    result = Result()
    left = []
    for job in sorted(jobs, key=lambda job: -job.worth / _work(job)):
        if _place(job, timelines, job.objective_s):
            result.add_job(job, job.objective_s, Ending.ANSWERED)
        else:
            left.append(job)
    for job in left:
        latest = LATE_LIMIT_FACTOR * job.objective_s
        placed = _place(job, timelines, latest)
        ending = Ending.ANSWERED if placed else Ending.REFUSED
        result.add_job(job, latest, ending)
    return result


def _work(job: Arrival) -> float:
    return sum(job.run_times_s) * job.spec.steps[0].need.cpu_millis


def _place(job: Arrival, timelines: list[_Timeline], within: float) -> bool:
    """Reserves room for all tasks of a job, or for none."""
    need = job.spec.steps[0].need
    taken = []
    for seconds in sorted(job.run_times_s, reverse=True):
        for timeline in timelines:
            start = timeline.find_start(
                need, seconds, job.arrival_time, job.arrival_time + within
            )
            if start is not None:
                end = start + seconds / timeline.speed
                timeline.reserve(need, start, end)
                taken.append((timeline, start, end))
                break
        else:
            for timeline, start, end in taken:
                timeline.release(need, start, end)
            return False
    return True
