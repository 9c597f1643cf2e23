"""State of the jobs and attempts of a dispatcher."""

from collections import deque
from typing import Any

import attrs

from anvilford.model import Failed
from anvilford.model import FailureReason
from anvilford.model import JobSpec
from anvilford.model import NotRun
from anvilford.model import RefusalReason
from anvilford.model import TaskState
from anvilford.scheduling._policy import ServicePolicy

# Lanes of the queue. A task belongs to the long lane if its operation usually
# runs long, else to the bulk lane if its job has very many tasks, else to the
# short lane.
SHORT_LANE = 0
LONG_LANE = 1
BULK_LANE = 2
LANES = (SHORT_LANE, LONG_LANE, BULK_LANE)


@attrs.define(eq=False)
class Job:
    """A job from its admission until its last attempt has ended.

    Attributes:
        key: Key given to `Dispatcher.submit`.
        spec: Job as submitted.
        caller: Name of the caller.
        service_policy: Settings of the service when the job was submitted.
        submitted: Loop time of submission, in seconds.
        deadline: Loop time at which the answer is due, in seconds.
        estimates: Expected run time of each task when the job was submitted,
            in seconds at a target of typical speed.
        states: State of each task: `UNKNOWN` while an attempt is running, and
            `NOT_RUN`, or `FAILED` before a retry, while the task is queued.
        results: Result of each task; None until the task has succeeded.
        unfinished: Number of tasks that have not succeeded.
        queued_indices: Indices of queued tasks in start order, by lane.
        is_in_heap: Whether the heap of a lane has an entry of the job, by lane.
        queued_work: Sum of the estimates of queued tasks in seconds, by lane.
        counted_work: Bucket in which `JobQueue` counts the work of the job and
            the counted seconds, by lane; None without queued tasks.
        avoided_targets: VM id of the target of the last attempt that did not
            start or failed, by task index.
        attempts: Running attempts by attempt id.
        may_have_run: Whether the outcome of an attempt was other than
            `AttemptNotStarted`.
        finished: Whether the job has been answered.
    """

    key: int
    spec: JobSpec
    caller: str
    service_policy: ServicePolicy
    submitted: float
    deadline: float
    estimates: list[float]
    states: list[TaskState]
    results: list[Any]
    unfinished: int
    queued_indices: tuple[deque[int], ...] = attrs.Factory(
        lambda: tuple(deque() for _ in LANES)
    )
    is_in_heap: list[bool] = attrs.Factory(lambda: [False] * len(LANES))
    queued_work: list[float] = attrs.Factory(lambda: [0.0] * len(LANES))
    counted_work: list[tuple[int, float] | None] = attrs.Factory(
        lambda: [None] * len(LANES)
    )
    avoided_targets: dict[int, str] = attrs.Factory(dict)
    attempts: dict[str, "Attempt"] = attrs.Factory(dict)
    may_have_run: bool = False
    finished: bool = False

    def count_queued_tasks(self) -> int:
        """Returns the number of tasks that wait for a slot."""
        return sum(len(indices) for indices in self.queued_indices)

    def make_incomplete_answer(
        self, reason: FailureReason, message: str = ""
    ) -> Failed | NotRun:
        """Builds the answer of a job that did not complete.

        Args:
            reason: Why the job ended.
            message: Error text reported by the target.

        Returns:
            `NotRun` if no task can have run, because every attempt is known not
            to have started; otherwise `Failed`.
        """
        if not self.may_have_run and not self.attempts:
            return NotRun(RefusalReason(reason.value))
        return Failed(reason, tuple(self.states), message)


@attrs.define(eq=False)
class Attempt:
    """An attempt to run a task, which occupies a slot of a target.

    Attributes:
        attempt_id: Id of the attempt, unique within this process.
        job: Job of the task; it may have been answered already.
        task_index: Position of the task in the job.
        target_id: VM id of the target.
        address: "IP:port" of the target.
        started: Loop time of the start, in seconds.
        lane: Lane from which the task was removed.
        is_long: Whether the attempt counts as long work: it came from the long
            lane or exceeded the run time limit of short work.
        is_probe: Whether the attempt tests an ejected target.
        previous_state: State of the task before the attempt, restored if the
            attempt is known not to have run.
    """

    attempt_id: str
    job: Job
    task_index: int
    target_id: str
    address: str
    started: float
    lane: int
    is_long: bool
    is_probe: bool
    previous_state: TaskState
