"""What the dispatcher asks its caller to do, and its counters."""

import attrs

from anvilford.model import Complete
from anvilford.model import Failed
from anvilford.model import NotRun
from anvilford.model import TaskSpec


@attrs.frozen
class StartAttempt:
    """Send a task to a target; the attempt already counts as started.

    Attributes:
        attempt_id: Unique within this process.
        target_id: VM id of the target.
        address: "IP:port" of the target.
        job_key: Key given to `Dispatcher.submit`.
        task_index: Position of the task in its job.
        task: The task.
        deadline: Loop time at which the job's answer is due, in seconds.
    """

    attempt_id: str
    target_id: str
    address: str
    job_key: int
    task_index: int
    task: TaskSpec
    deadline: float


@attrs.frozen
class CancelAttempt:
    """Ask a target to stop an attempt; its end is still to be reported."""

    attempt_id: str
    target_id: str
    address: str


@attrs.frozen
class JobFinished:
    """The one answer of a job."""

    job_key: int
    answer: Complete | Failed | NotRun


Effect = StartAttempt | CancelAttempt | JobFinished


@attrs.frozen
class DispatcherStats:
    """State and counters of a dispatcher.

    Attributes:
        queued: Tasks waiting for a slot.
        running: Attempts that occupy a slot, including cancelled ones.
        jobs: Jobs without an answer.
        ejected: Targets that get no ordinary work because of their health.
        started: Attempts started.
        not_started: Attempts proven not to have run.
        retried: Tasks started again after a definite failure.
        cancelled: Cancellations sent to targets.
        refused: Jobs answered `NotRun`.
        completed: Jobs answered `Complete`.
        failed: Jobs answered `Failed`.
        late_finishes: Ends of attempts that were unknown or already over.
        slots_in_use: Occupied slots by target id.
    """

    queued: int
    running: int
    jobs: int
    ejected: int
    started: int
    not_started: int
    retried: int
    cancelled: int
    refused: int
    completed: int
    failed: int
    late_finishes: int
    slots_in_use: dict[str, int]
