"""Running attempts, their slots, and the effects of their outcomes."""

import itertools
from collections.abc import Callable

from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptOutcome
from anvilford.model import AttemptSucceeded
from anvilford.model import AttemptUnknown
from anvilford.model import NotStartedReason
from anvilford.model import TaskState
from anvilford.model import UnknownAttemptReason
from anvilford.scheduling._estimates import RunTimes
from anvilford.scheduling._health import HealthMonitor
from anvilford.scheduling._jobs import Attempt
from anvilford.scheduling._jobs import Job
from anvilford.scheduling._jobs import LANES
from anvilford.scheduling._jobs import LONG_LANE
from anvilford.scheduling._placement import Target

# A target that refuses a task as busy is occupied by tasks of other entries.
# During the back-off it is assumed to have only the slots that this entry used
# at the refusal. Without this limit, each task of this entry that ended there
# led to one more refusal. The back-off doubles with each refusal, from the
# minimum up to the maximum.
MIN_BUSY_BACKOFF_SECONDS = 0.1
MAX_BUSY_BACKOFF_SECONDS = 0.3
# Back-off from another zone after the first refusal there. It doubles with each
# refusal, up to MAX_BUSY_BACKOFF_SECONDS.
MIN_ZONE_BACKOFF_SECONDS = 0.01


class RunningAttempts:
    """Registry of attempts that occupy a slot.

    Attempts of jobs that were already answered keep their slot until the target
    reports their end.

    Attributes:
        zone: Availability zone of the entry.
        attempt_id_prefix: Prefix of all attempt ids.
        targets: Targets by VM id, shared with the dispatcher.
        run_times: Receives the run times of successful attempts.
        health: Receives the successes and failures of targets.
        request_wakeup: Requests a call of `Dispatcher.advance` at a loop time
            in seconds.
        by_id: Attempts by attempt id.
        zone_backoffs: For each other zone that recently refused a task, the
            loop time until which it gets no work, and the length of that
            back-off; both in seconds.
        long_count: Number of attempts that count as long work.
        count_by_lane: Number of attempts by the lane of their task.
        leaving_target_ids: VM ids of all targets that refused a task because
            they were leaving. They are never removed: a VM that leaves does not
            return under the same id, but an outdated membership view may still
            list it.
    """

    def __init__(
        self,
        zone: str,
        attempt_id_prefix: str,
        targets: dict[str, Target],
        run_times: RunTimes,
        health: HealthMonitor,
        request_wakeup: Callable[[float], None],
    ):
        self.zone = zone
        self.attempt_id_prefix = attempt_id_prefix
        self.targets = targets
        self.run_times = run_times
        self.health = health
        self.request_wakeup = request_wakeup
        self.by_id: dict[str, Attempt] = {}
        self.zone_backoffs: dict[str, tuple[float, float]] = {}
        self.long_count = 0
        self.count_by_lane = [0] * len(LANES)
        self.leaving_target_ids: set[str] = set()
        self._numbers = itertools.count()

    def start(
        self,
        job: Job,
        task_index: int,
        target: Target,
        lane: int,
        is_probe: bool,
        now: float,
    ) -> Attempt:
        """Creates an attempt and occupies a slot of its target.

        Args:
            job: Job of the task.
            task_index: Position of the task in the job.
            target: Target that is to run the task.
            lane: Lane from which the task was removed.
            is_probe: Whether the attempt tests an ejected target.
            now: Loop time in seconds.
        """
        attempt = Attempt(
            attempt_id=f"{self.attempt_id_prefix}-{next(self._numbers)}",
            job=job,
            task_index=task_index,
            target_id=target.view.target_id,
            address=target.view.address,
            started=now,
            lane=lane,
            is_long=lane == LONG_LANE,
            is_probe=is_probe,
            previous_state=job.states[task_index],
        )
        self.by_id[attempt.attempt_id] = attempt
        job.attempts[attempt.attempt_id] = attempt
        job.states[task_index] = TaskState.UNKNOWN
        target.in_use += 1
        target.is_probing = target.is_probing or is_probe
        self.long_count += attempt.is_long
        self.count_by_lane[lane] += 1
        return attempt

    def mark_long(self, attempt_id: str) -> None:
        """Counts an attempt as long work from now on, if it still runs."""
        attempt = self.by_id.get(attempt_id)
        if attempt is not None and not attempt.is_long:
            attempt.is_long = True
            self.long_count += 1

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> Attempt | None:
        """Frees the slot of an attempt and records its outcome.

        The outcome updates the run time estimates, the health of the target and
        the back-offs of the target and its zone.

        Returns:
            The attempt, or None when it is unknown or has already ended.
        """
        attempt = self.by_id.pop(attempt_id, None)
        if attempt is None:
            return None
        attempt.job.attempts.pop(attempt_id, None)
        self.long_count -= attempt.is_long
        self.count_by_lane[attempt.lane] -= 1
        target = self.targets[attempt.target_id]
        if not isinstance(outcome, AttemptNotStarted):
            if target.view.zone != self.zone:
                self.zone_backoffs.pop(target.view.zone, None)
            # More tasks were in progress on the target than when it last
            # refused one, so slots of the target have become free. The next
            # back-off starts at the minimum.
            if target.in_use > target.busy_slot_limit:
                target.busy_backoff = 0.0
        target.in_use -= 1
        if attempt.is_probe:
            target.is_probing = False
        match outcome:
            case AttemptSucceeded():
                self._record_success(attempt, target, now)
            case AttemptNotStarted(reason):
                self._record_not_started(target, reason, attempt.is_probe, now)
            case AttemptUnknown(UnknownAttemptReason.TIMEOUT):
                # Counts as a failure even if the job has been answered: a
                # target that never responds lets its attempts time out only
                # after the deadlines of their jobs.
                self.health.record_failure(target, attempt.is_probe, now)
            case AttemptFailed() | AttemptUnknown():
                # Attempts of an answered job were cancelled, so their outcome
                # is no failure of the target.
                if not attempt.job.finished:
                    self.health.record_failure(target, attempt.is_probe, now)
        return attempt

    def _record_success(
        self, attempt: Attempt, target: Target, now: float
    ) -> None:
        spec = attempt.job.spec
        self.run_times.record_run(
            spec.service,
            spec.tasks[attempt.task_index].operation,
            attempt.target_id,
            now - attempt.started,
        )
        target.slowness = self.run_times.slowness(attempt.target_id)
        target.slowness_runs += 1
        self.health.record_success(target, attempt.is_probe, now)

    def _record_not_started(
        self,
        target: Target,
        reason: NotStartedReason,
        is_probe: bool,
        now: float,
    ) -> None:
        """Backs off from a target that did not start a task.

        A target that is leaving gets no further tasks instead. A refused
        connection also counts as a failure of the target.
        """
        if reason == NotStartedReason.LEAVING:
            target.is_leaving = True
            self.leaving_target_ids.add(target.view.target_id)
            return
        if reason == NotStartedReason.CONNECTION_REFUSED:
            self.health.record_failure(target, is_probe, now)
        if target.view.zone != self.zone:
            self._back_off_zone(target.view.zone, now)
        target.busy_backoff = min(
            MAX_BUSY_BACKOFF_SECONDS,
            max(MIN_BUSY_BACKOFF_SECONDS, 2 * target.busy_backoff),
        )
        target.busy_slot_limit = target.in_use
        target.busy_limit_until = now + target.busy_backoff
        self.request_wakeup(target.busy_limit_until)

    def _back_off_zone(self, zone: str, now: float) -> None:
        # Entries spread work evenly over the targets of a zone. If one target
        # is full, the other targets of the zone are nearly full.
        _, backoff = self.zone_backoffs.get(zone, (0.0, 0.0))
        backoff = min(
            MAX_BUSY_BACKOFF_SECONDS, max(MIN_ZONE_BACKOFF_SECONDS, 2 * backoff)
        )
        self.zone_backoffs[zone] = (now + backoff, backoff)
