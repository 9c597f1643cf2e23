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
from anvilford.scheduling._jobs import LONG
from anvilford.scheduling._placement import Target

# A target that refused a task as busy is full with the work of others. For
# this long it is expected to have no more slots than were in use then; without
# the limit, every end of an own task there led to one more refusal.
REFUSAL_PAUSE = 0.1
MAX_REFUSAL_PAUSE = 0.3
# The first pause of a zone after a refusal there; it doubles with each one.
REMOTE_PAUSE = 0.01


class RunningAttempts:
    """Attempts that occupy a slot, including those of answered jobs.

    Attributes:
        zone: Availability zone of the entry.
        attempt_prefix: Start of every attempt id.
        targets: Targets by id, shared with the dispatcher.
        run_times: Learns from attempts that ran to their end.
        health: Learns from every end.
        wake_at: Asks for a call of `Dispatcher.advance`.
        by_id: Attempts by id.
        remote_zones: Other zones that refused a task as busy: loop time until
            which the zone gets no work, and the length of that time.
        long_running: Number of attempts that count as long work.
        running: Number of attempts by the lane of their task.
    """

    def __init__(
        self,
        zone: str,
        attempt_prefix: str,
        targets: dict[str, Target],
        run_times: RunTimes,
        health: HealthMonitor,
        wake_at: Callable[[float], None],
    ):
        self.zone = zone
        self.attempt_prefix = attempt_prefix
        self.targets = targets
        self.run_times = run_times
        self.health = health
        self.wake_at = wake_at
        self.by_id: dict[str, Attempt] = {}
        self.remote_zones: dict[str, tuple[float, float]] = {}
        self.long_running = 0
        self.running = [0] * len(LANES)
        # Kept for the life of the process: a VM that leaves never returns
        # under the same id, but an outdated view may list it again.
        self.left: set[str] = set()
        self._numbers = itertools.count()

    def start(
        self,
        job: Job,
        index: int,
        target: Target,
        lane: int,
        probe: bool,
        now: float,
    ) -> Attempt:
        """Records an attempt and occupies its slot."""
        attempt = Attempt(
            attempt_id=f"{self.attempt_prefix}-{next(self._numbers)}",
            job=job,
            index=index,
            target_id=target.view.target_id,
            address=target.view.address,
            started=now,
            lane=lane,
            long=lane == LONG,
            probe=probe,
            previous_state=job.states[index],
        )
        self.by_id[attempt.attempt_id] = attempt
        job.attempts[attempt.attempt_id] = attempt
        job.states[index] = TaskState.UNKNOWN
        target.in_use += 1
        target.probing = target.probing or probe
        self.long_running += attempt.long
        self.running[lane] += 1
        return attempt

    def mark_long(self, attempt_id: str) -> None:
        """Counts an attempt that exceeded the limit of short work as long."""
        attempt = self.by_id.get(attempt_id)
        if attempt is not None and not attempt.long:
            attempt.long = True
            self.long_running += 1

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
        self.long_running -= attempt.long
        self.running[attempt.lane] -= 1
        target = self.targets[attempt.target_id]
        if not isinstance(outcome, AttemptNotStarted):
            if target.view.zone != self.zone:
                self.remote_zones.pop(target.view.zone, None)
            if target.in_use > target.limit:
                target.pause = 0.0
        target.in_use -= 1
        if attempt.probe:
            target.probing = False
        match outcome:
            case AttemptSucceeded():
                self._observe_success(attempt, target, now)
            case AttemptNotStarted(reason):
                self._observe_refusal(target, reason, attempt.probe, now)
            case AttemptUnknown(UnknownAttemptReason.TIMEOUT):
                # Counts after the job was answered too: a target that answers
                # nothing is only noticed after the deadlines of its jobs.
                self.health.observe_failure(target, attempt.probe, now)
            case AttemptFailed() | AttemptUnknown():
                # A cancelled attempt ends like this without any fault.
                if not attempt.job.finished:
                    self.health.observe_failure(target, attempt.probe, now)
        return attempt

    def _observe_success(
        self, attempt: Attempt, target: Target, now: float
    ) -> None:
        spec = attempt.job.spec
        self.run_times.observe(
            spec.service,
            spec.tasks[attempt.index].operation,
            attempt.target_id,
            now - attempt.started,
        )
        target.slowness = self.run_times.slowness(attempt.target_id)
        target.observations += 1
        self.health.observe_success(target, attempt.probe, now)

    def _observe_refusal(
        self,
        target: Target,
        reason: NotStartedReason,
        probe: bool,
        now: float,
    ) -> None:
        if reason == NotStartedReason.LEAVING:
            target.left = True
            self.left.add(target.view.target_id)
            return
        if reason == NotStartedReason.CONNECTION_REFUSED:
            self.health.observe_failure(target, probe, now)
        if target.view.zone != self.zone:
            self._pause_zone(target.view.zone, now)
        target.pause = min(
            MAX_REFUSAL_PAUSE, max(REFUSAL_PAUSE, 2 * target.pause)
        )
        target.limit = target.in_use
        target.limited_until = now + target.pause
        self.wake_at(target.limited_until)

    def _pause_zone(self, zone: str, now: float) -> None:
        # Entries spread their work evenly, so a full target of a zone means
        # that the others there are nearly full.
        _, pause = self.remote_zones.get(zone, (0.0, 0.0))
        pause = min(MAX_REFUSAL_PAUSE, max(REMOTE_PAUSE, 2 * pause))
        self.remote_zones[zone] = (now + pause, pause)
