"""Targets of a simulated run."""

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

# The target client gives up on an answer this long after the lease ended.
ANSWER_TIMEOUT_MARGIN_S = 0.1


@attrs.define(eq=False)
class SimulatedTarget:
    """Runs tasks whose payload is `{"uid", "run_s"}`.

    Attributes:
        vm_id: VM id.
        address: "IP:port".
        zone: Availability zone.
        slots: Tasks that may run at once.
        history: Where executions are recorded.
        running: Attempts that hold a slot.
        cancelled: Attempts ended by a cancel.
        is_dead: True once the VM vanished.
        is_hanging: True while it answers nothing.
        is_failing: True while it fails everything.
        says_leaving: True once it refuses work because it is leaving.
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
        """Starts a task or refuses it.

        Returns:
            Time until the target answers, and the answer.
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
            return 0.001, AttemptFailed("fails everything")
        run = task.payload["run_s"]
        if run > lease:
            return lease, AttemptFailed("lease expired")
        return run, AttemptSucceeded({"uid": uid})

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome
    ) -> AttemptOutcome:
        """Ends an attempt; what a vanished target ran stays unknown."""
        if self.is_dead and not isinstance(outcome, AttemptNotStarted):
            return AttemptUnknown(UnknownAttemptReason.CONNECTION_LOST)
        self.running.discard(attempt_id)
        return outcome
