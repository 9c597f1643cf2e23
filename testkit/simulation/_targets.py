"""Simulated targets."""

import attrs

from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptOutcome
from anvilford.model import AttemptSucceeded
from anvilford.model import AttemptUnknown
from anvilford.model import NotStartedReason
from anvilford.model import TaskSpec
from anvilford.model import UnknownAttemptReason
from testkit.simulation._history import History
from testkit.simulation._history import TargetBeganLeaving
from testkit.simulation._history import TaskStarted

# The target client stops waiting for an answer this long after the lease
# ended, in seconds.
ANSWER_TIMEOUT_MARGIN_S = 0.1


@attrs.define(eq=False)
class SimulatedTarget:
    """Target that runs tasks with the payload `{"uid": ID, "run_s": SECONDS}`.

    Attributes:
        vm_id: VM id.
        address: "IP:port".
        zone: Availability zone.
        slots: Number of tasks that may run at the same time.
        history: Receives task starts and refusals of a leaving target.
        running: Attempt ids that hold a slot.
        cancelled: Attempt ids that ended by a cancellation.
        is_dead: True once the VM was removed.
        is_hanging: True while the target accepts tasks and never answers.
        is_failing: True while the target fails every task.
        refuses_as_leaving: True once the target refuses all tasks because it
            is leaving.
    """

    vm_id: str
    address: str
    zone: str
    slots: int
    history: History
    running: set[str] = attrs.field(factory=set)
    cancelled: set[str] = attrs.field(factory=set)
    is_dead: bool = False
    is_hanging: bool = False
    is_failing: bool = False
    refuses_as_leaving: bool = False

    def start(
        self, attempt_id: str, task: TaskSpec, lease: float, now: float
    ) -> tuple[float, AttemptOutcome]:
        """Starts a task or refuses it; times are in seconds.

        Returns:
            Delay until the target answers in seconds, and the outcome.
        """
        if self.is_dead:
            reason = NotStartedReason.CONNECTION_REFUSED
            return 0.0, AttemptNotStarted(reason)
        if self.refuses_as_leaving:
            self.history.record(TargetBeganLeaving(now, self.vm_id))
            return 0.0, AttemptNotStarted(NotStartedReason.LEAVING)
        if lease <= 0:
            return 0.0, AttemptNotStarted(NotStartedReason.LEASE)
        if len(self.running) >= self.slots:
            return 0.0, AttemptNotStarted(NotStartedReason.BUSY)
        uid = task.payload["uid"]
        self.running.add(attempt_id)
        self.history.record(TaskStarted(now, self.vm_id, attempt_id, uid))
        if self.is_hanging:
            reason = UnknownAttemptReason.TIMEOUT
            return lease + ANSWER_TIMEOUT_MARGIN_S, AttemptUnknown(reason)
        if self.is_failing:
            return 0.001, AttemptFailed("the target fails every task")
        run_s = task.payload["run_s"]
        if run_s > lease:
            return lease, AttemptFailed("lease expired")
        return run_s, AttemptSucceeded({"uid": uid})

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """Frees the slot of an attempt and returns the outcome for the entry.

        Started attempts of a removed target end with an unknown outcome.
        """
        if self.is_dead and not isinstance(outcome, AttemptNotStarted):
            return AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
        self.running.discard(attempt_id)
        return outcome
