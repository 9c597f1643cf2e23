"""Decides whether the tasks of a new job fit on free cores now.

Addresses a load under which the sum of the free cores misleads: jobs with an
earlier latest start wait for faster targets, or for more cores than any target
has free, while the tasks of a small job would fit and be in time. By the sum,
such jobs were refused while a quarter of the cores were free.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from anvilford.placement._choice import can_run
from anvilford.placement._choice import expected_run_seconds
from anvilford.placement._choice import waits_for_faster_target
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import Resources
from anvilford.placement._state import Job
from anvilford.placement._state import Target
from anvilford.placement._state import Task


class FreeRoom:
    """Free resources of targets, of which jobs take parts.

    Attributes:
        most_free: Most free cores of one target, in thousandths.
        best_speed: Speed of the fastest target with free cores.
    """

    def __init__(
        self, targets: Iterable[Target], smallest_cpu: int, now: float
    ):
        """Collects the free resources.

        Args:
            targets: Usable targets of a service, the fastest first.
            smallest_cpu: Fewest free cores of a target that matter, in
                thousandths.
            now: Current time in seconds.
        """
        self._now = now
        # Slow targets first: fast ones are left to jobs with little time.
        self._free = [
            [target, target.available]
            for target in targets
            if target.available.cpu_millis >= smallest_cpu
        ][::-1]
        self.most_free = max(
            (free.cpu_millis for _, free in self._free), default=0
        )
        self.best_speed = max((t.speed for t, _ in self._free), default=0.0)

    def take(
        self, job: Job, start_at: float, options: PlacementOptions
    ) -> bool:
        """Takes the room for the waiting tasks of a job, as far as it lasts.

        Only targets count on which a task would end before the objective of
        the job. On others, it would wait for a faster one.

        Args:
            job: The job.
            start_at: Time at which its tasks would start, in seconds.
            options: Parameters of the placer.

        Returns:
            True if the room was enough for all of them.
        """
        time_left = job.objective_deadline - start_at
        by_step: dict[int, list[Task]] = {}
        for task in job.waiting:
            by_step.setdefault(task.step, []).append(task)
        return all(
            self._take_for(tasks, time_left, options)
            for tasks in by_step.values()
        )

    def _take_for(
        self, tasks: Sequence[Task], time_left: float, options: PlacementOptions
    ) -> bool:
        """Takes the room for tasks of one step, which are identical."""
        task, count = tasks[0], len(tasks)
        limit = task.spec.spread_limit or count
        for entry in self._free:
            target, free = entry
            if not task.spec.need.fits_in(free):
                continue
            if expected_run_seconds(task, target, options) > time_left or (
                not can_run(task, target, self._now)
            ):
                continue
            taken, free = _take_from(free, task.spec.need, min(count, limit))
            entry[1] = free
            count -= taken
            if not count:
                return True
        return False


def _take_from(
    free: Resources, need: Resources, most: int
) -> tuple[int, Resources]:
    """Returns how many tasks fit, up to `most`, and what they leave free."""
    taken = 0
    while taken < most and need.fits_in(free):
        free = free.minus(need)
        taken += 1
    return taken, free


def fits_now(
    job: Job,
    ahead: Iterable[Job],
    targets: Sequence[Target],
    best_speed: float,
    delay: float,
    options: PlacementOptions,
    now: float,
) -> bool:
    """Returns whether all tasks of a new job fit on free cores and are in time.

    They fit beside the tasks of the jobs ahead of it that can start now. Those
    that wait for a faster target, or for more free cores, leave the free ones
    to others.

    Args:
        job: The new job.
        ahead: Waiting jobs that start before it if there is room.
        targets: Usable targets of the service, the fastest first.
        best_speed: Speed of the fastest of them.
        delay: Time until its tasks start, in seconds.
        options: Parameters of the placer.
        now: Current time in seconds.
    """
    if any(step.after for step in job.spec.steps):
        return False
    smallest = min(step.need.cpu_millis for step in job.spec.steps)
    if not FreeRoom(targets, smallest, now).take(job, now + delay, options):
        return False
    room = FreeRoom(targets, 0, now)
    for other in ahead:
        if (
            other.smallest_cpu <= room.most_free
            and not waits_for_faster_target(
                other, room.best_speed, best_speed, now
            )
        ):
            room.take(other, now, options)
    return room.take(job, now + delay, options)
