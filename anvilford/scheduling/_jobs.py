"""State of jobs and attempts inside the dispatcher."""

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

# Lanes of the queue. A task belongs to the long lane when its operation is
# known to run long, else to the bulk lane when its job has very many tasks.
SHORT_LANE = 0
LONG_LANE = 1
BULK_LANE = 2
LANES = (SHORT_LANE, LONG_LANE, BULK_LANE)


@attrs.define(eq=False)
class Job:
    """A job without an answer.

    Attributes:
        key: Key given by the entry.
        spec: The job as submitted.
        caller: Name of the caller.
        service_policy: Settings of the service at submission.
        submitted: Loop time of submission, in seconds.
        deadline: Loop time at which the answer is due, in seconds.
        estimates: Expected run time of each task, in seconds.
        states: State of each task; `NOT_RUN` while queued, `UNKNOWN` while an
            attempt is running.
        results: Result of each task that succeeded.
        queued_indices: Indices of queued tasks by lane.
        is_in_heap: Whether the job has an entry in each lane's heap.
        queued_work: Sum of `estimates` of queued tasks by lane.
        counted_work: Where the queue sums up the job's work, by lane.
        avoided_targets: Target that did not start a task, by task index.
        attempts: Running attempts by id.
        unfinished: Number of tasks that have not succeeded.
        may_have_run: Whether an attempt ended other than by not starting.
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
        """Returns how many tasks wait for a slot."""
        return sum(len(indices) for indices in self.queued_indices)

    def make_incomplete_answer(
        self, reason: FailureReason, message: str = ""
    ) -> Failed | NotRun:
        """Builds the answer of a job that does not complete.

        A job of which no task can have run is answered `NotRun`: every
        attempt, if there was one, is proven not to have started.
        """
        if not self.may_have_run and not self.attempts:
            return NotRun(RefusalReason(reason.value))
        return Failed(reason, tuple(self.states), message)


@attrs.define(eq=False)
class Attempt:
    """An attempt that occupies a slot.

    Attributes:
        attempt_id: Unique within this process.
        job: The job, which may have been answered already.
        task_index: Position of the task in the job.
        target_id: VM id of the target.
        address: "IP:port" of the target.
        started: Loop time of the start, in seconds.
        lane: Lane from which the task was taken.
        is_long: Whether the attempt counts as long work.
        is_probe: Whether it tests a target that was ejected.
        previous_state: State of the task before; restored by proof that the
            attempt did not run.
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
