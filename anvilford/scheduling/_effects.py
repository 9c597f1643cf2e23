"""Effects that the dispatcher returns to its caller, and its statistics."""

import attrs

from anvilford.model import Complete
from anvilford.model import Failed
from anvilford.model import NotRun
from anvilford.model import TaskSpec


@attrs.frozen
class StartAttempt:
    """Instruction to send a task to a target.

    The attempt occupies its slot before this effect is returned, and until its
    outcome is passed to `Dispatcher.finish`.

    Attributes:
        attempt_id: Id of the attempt, unique within this process.
        target_id: VM id of the target.
        address: "IP:port" of the target.
        job_key: Key given to `Dispatcher.submit`.
        task_index: Position of the task in its job.
        task: Task to run.
        deadline: Loop time at which the answer of the job is due, in seconds.
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
    """Instruction to ask a target to stop an attempt.

    The attempt occupies its slot until its outcome is passed to
    `Dispatcher.finish`.

    Attributes:
        attempt_id: Id from `StartAttempt`.
        target_id: VM id of the target.
        address: "IP:port" of the target.
    """

    attempt_id: str
    target_id: str
    address: str


@attrs.frozen
class JobFinished:
    """Final answer of a job; each job has exactly one.

    Attributes:
        job_key: Key given to `Dispatcher.submit`.
        answer: Answer to send to the caller.
    """

    job_key: int
    answer: Complete | Failed | NotRun


Effect = StartAttempt | CancelAttempt | JobFinished


@attrs.frozen
class DispatcherStats:
    """Current state of a dispatcher and event counts since its start.

    Attributes:
        queued: Number of tasks that wait for a slot.
        running: Number of attempts that occupy a slot, including attempts of
            answered jobs.
        jobs: Number of jobs without an answer.
        ejected: Number of targets that get only probes because they failed or
            were slow.
        started: Attempts started.
        not_started: Attempts that are known not to have run.
        retried: Tasks queued again after a definite failure.
        cancelled: Cancellations of attempts.
        refused: Jobs answered `NotRun`.
        completed: Jobs answered `Complete`.
        failed: Jobs answered `Failed`.
        late_finishes: Reported outcomes of attempts that were unknown or had
            already ended.
        slots_in_use: Number of occupied slots by VM id of the target.
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
