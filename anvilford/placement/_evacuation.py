"""Decides which jobs fit nowhere because zones are evacuated.

Load: one zone, or all of them, is emptied while callers go on to send jobs, some
of which require a label that only targets of that zone have. Such a job would
wait for a target until its answer has no value. It is refused at once instead.
"""

from collections.abc import Iterable

import attrs

from anvilford.placement._choice import UNLISTED_USABLE_S
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import Resources
from anvilford.placement._model import StepSpec
from anvilford.placement._state import Job
from anvilford.placement._state import Target

Kinds = frozenset[tuple[Resources, tuple[str, ...]]]


@attrs.frozen
class RemainingTargets:
    """What the targets of a service can run with and without evacuated zones.

    A kind is the capacity and the labels of a target.

    Attributes:
        remaining: Kinds of the targets outside evacuated zones.
        evacuated: Kinds of the targets in evacuated zones.
        index_version: `TargetList.index_version` of the targets.
    """

    remaining: Kinds
    evacuated: Kinds
    index_version: int

    def requires_evacuated(
        self, job: Job, best_speed: float, options: PlacementOptions
    ) -> bool:
        """Returns whether a waiting task fits in evacuated zones only.

        A task whose rack is evacuated fits elsewhere if its objective can be
        met with the longer run time there.

        Args:
            job: The job.
            best_speed: Speed of the fastest usable target; 0 for none.
            options: Parameters of the placer.
        """
        if not self.evacuated:
            return False
        speed = best_speed or 1.0
        penalty = options.remote_penalty
        for step in {task.step: task.spec for task in job.waiting}.values():
            is_late_elsewhere = (
                step.estimate_ms / 1000 * penalty / speed > job.objective
            )
            if not _fits(step, self.remaining, is_late_elsewhere) and _fits(
                step, self.evacuated, is_late_elsewhere
            ):
                return True
        return False


def _fits(step: StepSpec, kinds: Kinds, needs_rack: bool) -> bool:
    """Returns whether a task can run on a target of one of the kinds.

    Args:
        step: Step of the task.
        kinds: The kinds.
        needs_rack: Whether it cannot run outside of its rack, if it has one.
    """
    return any(
        step.need.fits_in(capacity)
        and (not step.label or step.label in labels)
        and (not (needs_rack and step.rack) or step.rack in labels)
        for capacity, labels in kinds
    )


def remaining_targets(
    targets: Iterable[Target], index_version: int, now: float
) -> RemainingTargets:
    """Returns what the targets of a service can run.

    Includes targets that cannot be used for the moment, such as one that does
    not answer: tasks may start there soon.

    Args:
        targets: Targets of the service.
        index_version: `TargetList.index_version` of the targets.
        now: Current time in seconds.
    """
    kinds: dict[bool, set] = {False: set(), True: set()}
    for target in targets:
        is_listed = (
            target.listed or now - target.unlisted_at <= UNLISTED_USABLE_S
        )
        if is_listed and not target.record.draining:
            kind = (target.record.capacity, target.record.labels)
            kinds[target.is_evacuated].add(kind)
    return RemainingTargets(
        frozenset(kinds[False]), frozenset(kinds[True]), index_version
    )
