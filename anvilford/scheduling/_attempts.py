"""Running attempts: their slots, and what is learned when they end."""

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

# A target that refused a task as busy is full with the work of others. For
# this long it is expected to have no more slots than were in use then; without
# the limit, every end of an own task there led to one more refusal.
MIN_BUSY_BACKOFF_SECONDS = 0.1
MAX_BUSY_BACKOFF_SECONDS = 0.3
# The first pause of a zone after a refusal there; it doubles with each one.
MIN_ZONE_BACKOFF_SECONDS = 0.01


class RunningAttempts:
    """Attempts that occupy a slot, including those of answered jobs.

    Attributes:
        zone: Availability zone of the entry.
        attempt_id_prefix: Start of every attempt id.
        targets: Targets by id, shared with the dispatcher.
        run_times: Learns from attempts that ran to their end.
        health: Learns from every end.
        request_wakeup: Asks for a call of `Dispatcher.advance`.
        by_id: Attempts by id.
        zone_backoffs: Other zones that refused a task as busy: loop time until
            which the zone gets no work, and the length of that time.
        long_count: Number of attempts that count as long work.
        count_by_lane: Number of attempts by the lane of their task.
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
        # Kept for the life of the process: a VM that leaves never returns
        # under the same id, but an outdated view may list it again.
        self.leaving_target_ids: set[str] = set()
        self._attempt_numbers = itertools.count()

    def start(
        self,
        job: Job,
        task_index: int,
        target: Target,
        lane: int,
        is_probe: bool,
        now: float,
    ) -> Attempt:
        """Records an attempt and occupies its slot."""
        attempt = Attempt(
            attempt_id=f"{self.attempt_id_prefix}-{next(self._attempt_numbers)}",
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
        """Counts an attempt that exceeded the limit of short work as long."""
        attempt = self.by_id.get(attempt_id)
        if attempt is not None and not attempt.is_long:
            attempt.is_long = True
            self.long_count += 1

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> Attempt | None:
        """Frees the slot of an attempt and learns from its outcome.

        Returns:
            The attempt, or None when it is unknown or already over.
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
                # Counts after the job was answered too: a target that answers
                # nothing is only noticed after the deadlines of its jobs.
                self.health.record_failure(target, attempt.is_probe, now)
            case AttemptFailed() | AttemptUnknown():
                # A cancelled attempt ends like this without any fault.
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
        # Entries spread their work evenly, so a full target of a zone means
        # that the others there are nearly full.
        _, backoff = self.zone_backoffs.get(zone, (0.0, 0.0))
        backoff = min(
            MAX_BUSY_BACKOFF_SECONDS, max(MIN_ZONE_BACKOFF_SECONDS, 2 * backoff)
        )
        self.zone_backoffs[zone] = (now + backoff, backoff)
