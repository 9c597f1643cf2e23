"""Baseline policies that anvilford is compared with.

They have the interface of `anvilford.scheduling.Dispatcher`.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Sequence

import attrs

from anvilford.model import AttemptOutcome
from anvilford.model import AttemptSucceeded
from anvilford.model import Complete
from anvilford.model import Failed
from anvilford.model import FailureReason
from anvilford.model import JobSpec
from anvilford.model import NotRun
from anvilford.model import RefusalReason
from anvilford.model import TaskState
from anvilford.scheduling import CancelAttempt
from anvilford.scheduling import Effect
from anvilford.scheduling import JobFinished
from anvilford.scheduling import StartAttempt
from anvilford.scheduling import TargetView


@attrs.define(eq=False)
class _JobState:
    """State of a job that is not answered yet or whose attempts still run.

    Attributes:
        key: Key of the job.
        spec: Job as submitted.
        deadline: Time at which the job fails, in seconds.
        unfinished_tasks: Number of tasks that have not succeeded.
        running_attempts: Targets of the running attempts by attempt id.
        has_started: Whether an attempt was ever started.
        is_answered: Whether the job has its answer; its remaining tasks are
            not started.
        next_in_order: Index in `task_order` of the next task to start; only
            the clairvoyant policy uses it.
        unstarted_run_time: Sum of the true run times of the tasks that have
            not started, in seconds; only the clairvoyant policy uses it.
        task_order: Indexes of the tasks in the order in which they start; only
            the clairvoyant policy uses it.
    """

    key: int
    spec: JobSpec
    deadline: float
    unfinished_tasks: int
    running_attempts: dict[str, TargetView] = attrs.Factory(dict)
    has_started: bool = False
    is_answered: bool = False
    next_in_order: int = 0
    unstarted_run_time: float = 0.0
    task_order: list[int] = attrs.Factory(list)


class BaselineDispatcher:
    """Base class that tracks jobs, deadlines, attempts and answers.

    The baselines admit every job, never retry a task and ignore the health of
    targets. Subclasses decide which task starts at which target.

    Attributes:
        prefix: Prefix of attempt ids, unique among the entries of a run.
        targets: Targets that the policy uses.
        slots_in_use: Number of slots in use at each target, by its position in
            `targets`.
        jobs: Unanswered jobs by key.
        attempts: Job and position of the target of each running attempt, by
            attempt id.
        deadlines: Heap of (deadline, job key); may contain answered jobs.
        attempt_numbers: Source of the numbers in attempt ids.
    """

    def __init__(self, prefix: str):
        self.prefix = prefix
        self.targets: list[TargetView] = []
        self.slots_in_use: list[int] = []
        self.jobs: dict[int, _JobState] = {}
        self.attempts: dict[str, tuple[_JobState, int]] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.attempt_numbers = itertools.count()

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Sets the targets; must be called once, before the first job."""
        del now
        self.targets = list(targets)
        self.slots_in_use = [0] * len(self.targets)

    def submit(
        self, job_key: int, job: JobSpec, caller: str, now: float
    ) -> list[Effect]:
        """Queues a job and starts all tasks that fit into free slots."""
        del caller
        effects: list[Effect] = []
        self._fail_expired_jobs(now, effects)
        state = _JobState(
            job_key, job, now + job.deadline_ms / 1000, len(job.tasks)
        )
        self.jobs[job_key] = state
        heapq.heappush(self.deadlines, (state.deadline, job_key))
        self._enqueue_job(state)
        self._start_tasks(now, effects)
        return effects

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> list[Effect]:
        """Handles the end of an attempt; a failed task fails its job."""
        effects: list[Effect] = []
        self._fail_expired_jobs(now, effects)
        job, position = self.attempts.pop(attempt_id)
        self.slots_in_use[position] -= 1
        job.running_attempts.pop(attempt_id, None)
        if not job.is_answered:
            if isinstance(outcome, AttemptSucceeded):
                job.unfinished_tasks -= 1
                if not job.unfinished_tasks:
                    self._answer_job(job, Complete(()), effects)
            else:
                self._fail_job(job, FailureReason.TASK_FAILED, effects)
        self._start_tasks(now, effects)
        return effects

    def advance(self, now: float) -> list[Effect]:
        """Fails jobs whose deadline has passed and starts tasks that fit."""
        effects: list[Effect] = []
        self._fail_expired_jobs(now, effects)
        self._start_tasks(now, effects)
        return effects

    def next_wakeup(self) -> float | None:
        """Returns the earliest deadline, or None if there is none."""
        return self.deadlines[0][0] if self.deadlines else None

    def _fail_expired_jobs(self, now: float, effects: list[Effect]) -> None:
        """Fails the jobs whose deadline has passed; adds to `effects`."""
        while self.deadlines and self.deadlines[0][0] <= now:
            job = self.jobs.get(heapq.heappop(self.deadlines)[1])
            if job is not None:
                self._fail_job(job, FailureReason.DEADLINE, effects)

    def _fail_job(
        self, job: _JobState, reason: FailureReason, effects: list[Effect]
    ) -> None:
        """Answers a job that does not complete and cancels its attempts.

        The answer is `Failed` if an attempt was started, otherwise `NotRun`.
        """
        if job.has_started:
            states = (TaskState.UNKNOWN,) * len(job.spec.tasks)
            self._answer_job(job, Failed(reason, states), effects)
        else:
            self._answer_job(job, NotRun(RefusalReason(reason.value)), effects)
        for attempt_id, view in job.running_attempts.items():
            effects.append(
                CancelAttempt(attempt_id, view.target_id, view.address)
            )

    def _answer_job(
        self, job: _JobState, answer: Complete | Failed | NotRun, effects: list
    ) -> None:
        """Marks a job as answered and adds its answer to `effects`."""
        job.is_answered = True
        del self.jobs[job.key]
        effects.append(JobFinished(job.key, answer))

    def _start_task(
        self, job: _JobState, index: int, position: int, effects: list[Effect]
    ) -> None:
        """Starts the task with this index at the target at `position`."""
        view = self.targets[position]
        attempt_id = f"{self.prefix}-{next(self.attempt_numbers)}"
        self.attempts[attempt_id] = (job, position)
        self.slots_in_use[position] += 1
        job.running_attempts[attempt_id] = view
        job.has_started = True
        effects.append(
            StartAttempt(
                attempt_id,
                view.target_id,
                view.address,
                job.key,
                index,
                job.spec.tasks[index],
                job.deadline,
            )
        )

    def _enqueue_job(self, job: _JobState) -> None:
        """Adds a new job to the queue of the policy."""
        raise NotImplementedError

    def _start_tasks(self, now: float, effects: list[Effect]) -> None:
        """Starts tasks in free slots in the order of the policy."""
        raise NotImplementedError


class FifoDispatcher(BaselineDispatcher):
    """Assigns each task to a target on arrival; each target is a FIFO queue.

    Attributes:
        least_outstanding: Whether a task is assigned to the target with the
            fewest queued and running tasks, rather than round-robin.
        queues: Queue of (job, task index) for each target, by its position in
            `targets`.
        next_position: Position of the next target in round-robin order.
    """

    def __init__(self, prefix: str, least_outstanding: bool):
        super().__init__(prefix)
        self.least_outstanding = least_outstanding
        self.queues: list[deque[tuple[_JobState, int]]] = []
        self.next_position = 0
        self.touched: set[int] = set()

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Sets the targets and creates one queue for each."""
        super().apply_targets(targets, now)
        self.queues = [deque() for _ in self.targets]

    def _enqueue_job(self, job: _JobState) -> None:
        """Appends each task of a job to the queue of one target."""
        for index in range(len(job.spec.tasks)):
            position = self.next_position
            if self.least_outstanding:
                position = min(
                    range(len(self.targets)),
                    key=lambda p: self.slots_in_use[p] + len(self.queues[p]),
                )
            self.next_position = (self.next_position + 1) % len(self.targets)
            self.queues[position].append((job, index))

    def _start_tasks(self, now: float, effects: list[Effect]) -> None:
        """Starts the oldest queued tasks at each target with a free slot."""
        del now
        for position, queue in enumerate(self.queues):
            while (
                queue
                and self.slots_in_use[position] < self.targets[position].slots
            ):
                job, index = queue.popleft()
                if not job.is_answered:
                    self._start_task(job, index, position, effects)


class ClairvoyantDispatcher(BaselineDispatcher):
    """Upper bound that uses information which a real policy does not have.

    It uses the true run times, speeds and faults, and the targets of all
    zones. It starts the job with the shortest remaining run time that can
    still finish in time, at the fastest free target. It may drop a job at any
    time and therefore never uses a slot for a job that would be late.

    Attributes:
        speeds: True speed of each target that has no faults, by target id; the
            fastest target has 1.
        jobs_by_unstarted_run_time: Heap of (run time of the tasks not started
            in seconds, job key, job).
    """

    def __init__(self, prefix: str, speeds: dict[str, float]):
        super().__init__(prefix)
        self.speeds = speeds
        self.jobs_by_unstarted_run_time: list[tuple[float, int, _JobState]] = []
        self.free: list[tuple[float, int]] = []

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Sets the targets, fastest first, without the faulty ones."""
        views = [view for view in targets if view.target_id in self.speeds]
        views.sort(key=lambda view: -self.speeds[view.target_id])
        super().apply_targets(views, now)

    def _enqueue_job(self, job: _JobState) -> None:
        """Adds a job whose tasks start in order of decreasing run time."""
        tasks = sorted(
            range(len(job.spec.tasks)),
            key=lambda i: -job.spec.tasks[i].payload,
        )
        job.task_order = tasks
        job.unstarted_run_time = sum(task.payload for task in job.spec.tasks)
        heapq.heappush(
            self.jobs_by_unstarted_run_time,
            (job.unstarted_run_time, job.key, job),
        )

    def _start_tasks(self, now: float, effects: list[Effect]) -> None:
        """Starts tasks, shortest remaining job first, while a slot is free."""
        position = 0
        while self.jobs_by_unstarted_run_time:
            while (
                position < len(self.targets)
                and self.slots_in_use[position] >= self.targets[position].slots
            ):
                position += 1
            if position == len(self.targets):
                return
            job = self.jobs_by_unstarted_run_time[0][2]
            index = -1 if job.is_answered else job.task_order[job.next_in_order]
            if job.is_answered or self._would_end_late(
                job, index, position, now
            ):
                heapq.heappop(self.jobs_by_unstarted_run_time)
                if not job.is_answered:
                    self._fail_job(job, FailureReason.DEADLINE, effects)
                continue
            self._start_task(job, index, position, effects)
            job.next_in_order += 1
            job.unstarted_run_time -= job.spec.tasks[index].payload
            if job.next_in_order == len(job.task_order):
                heapq.heappop(self.jobs_by_unstarted_run_time)
            else:
                heapq.heapreplace(
                    self.jobs_by_unstarted_run_time,
                    (job.unstarted_run_time, job.key, job),
                )

    def _would_end_late(
        self, job: _JobState, index: int, position: int, now: float
    ) -> bool:
        speed = self.speeds[self.targets[position].target_id]
        return now + job.spec.tasks[index].payload / speed > job.deadline
