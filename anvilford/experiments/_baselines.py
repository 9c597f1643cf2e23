"""Policies that anvilford is compared with; interface of the dispatcher."""

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
class _Job:
    key: int
    spec: JobSpec
    deadline: float
    left: int
    running: dict[str, TargetView] = attrs.Factory(dict)
    sent: bool = False
    over: bool = False
    next_index: int = 0
    work_left: float = 0.0
    order: list[int] = attrs.Factory(list)


class BaselineDispatcher:
    """What the baselines share: jobs, deadlines, attempts and answers.

    Baselines admit every job, never retry and know nothing of health.
    """

    def __init__(self, prefix: str):
        self.prefix = prefix
        self.views: list[TargetView] = []
        self.in_use: list[int] = []
        self.jobs: dict[int, _Job] = {}
        self.attempts: dict[str, tuple[_Job, int]] = {}
        self.deadlines: list[tuple[float, int]] = []
        self.numbers = itertools.count()

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Takes the targets; called once, before the first job."""
        del now
        self.views = list(targets)
        self.in_use = [0] * len(self.views)

    def submit(
        self, job_key: int, job: JobSpec, caller: str, now: float
    ) -> list[Effect]:
        """Queues a job and starts what fits."""
        del caller
        effects: list[Effect] = []
        self.expire(now, effects)
        state = _Job(job_key, job, now + job.deadline_ms / 1000, len(job.tasks))
        self.jobs[job_key] = state
        heapq.heappush(self.deadlines, (state.deadline, job_key))
        self.enqueue(state)
        self.start_tasks(now, effects)
        return effects

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> list[Effect]:
        """Handles the end of an attempt."""
        effects: list[Effect] = []
        self.expire(now, effects)
        job, position = self.attempts.pop(attempt_id)
        self.in_use[position] -= 1
        job.running.pop(attempt_id, None)
        if not job.over:
            if isinstance(outcome, AttemptSucceeded):
                job.left -= 1
                if not job.left:
                    self.close(job, Complete(()), effects)
            else:
                self.fail(job, FailureReason.TASK_FAILED, effects)
        self.start_tasks(now, effects)
        return effects

    def advance(self, now: float) -> list[Effect]:
        """Handles deadlines."""
        effects: list[Effect] = []
        self.expire(now, effects)
        self.start_tasks(now, effects)
        return effects

    def next_wakeup(self) -> float | None:
        """Returns the earliest deadline."""
        return self.deadlines[0][0] if self.deadlines else None

    def expire(self, now: float, effects: list[Effect]) -> None:
        """Fails jobs at their deadline."""
        while self.deadlines and self.deadlines[0][0] <= now:
            job = self.jobs.get(heapq.heappop(self.deadlines)[1])
            if job is not None:
                self.fail(job, FailureReason.DEADLINE, effects)

    def fail(
        self, job: _Job, reason: FailureReason, effects: list[Effect]
    ) -> None:
        """Answers a job that does not complete and cancels its attempts."""
        if job.sent:
            states = (TaskState.UNKNOWN,) * len(job.spec.tasks)
            self.close(job, Failed(reason, states), effects)
        else:
            self.close(job, NotRun(RefusalReason(reason.value)), effects)
        for attempt_id, view in job.running.items():
            effects.append(
                CancelAttempt(attempt_id, view.target_id, view.address)
            )

    def close(
        self, job: _Job, answer: Complete | Failed | NotRun, effects: list
    ) -> None:
        """Gives the answer of a job."""
        job.over = True
        del self.jobs[job.key]
        effects.append(JobFinished(job.key, answer))

    def start(
        self, job: _Job, index: int, position: int, effects: list[Effect]
    ) -> None:
        """Starts a task at the target at `position`."""
        view = self.views[position]
        attempt_id = f"{self.prefix}-{next(self.numbers)}"
        self.attempts[attempt_id] = (job, position)
        self.in_use[position] += 1
        job.running[attempt_id] = view
        job.sent = True
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

    def enqueue(self, job: _Job) -> None:
        """Takes a new job."""
        raise NotImplementedError

    def start_tasks(self, now: float, effects: list[Effect]) -> None:
        """Starts what fits."""
        raise NotImplementedError


class FifoDispatcher(BaselineDispatcher):
    """Assigns each task to a target at once; each target serves in order.

    Attributes:
        least_outstanding: Whether a task goes to the target with the fewest
            tasks rather than to the next in turn.
    """

    def __init__(self, prefix: str, least_outstanding: bool):
        super().__init__(prefix)
        self.least_outstanding = least_outstanding
        self.queues: list[deque[tuple[_Job, int]]] = []
        self.turn = 0
        self.touched: set[int] = set()

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Takes the targets and makes one queue for each."""
        super().apply_targets(targets, now)
        self.queues = [deque() for _ in self.views]

    def enqueue(self, job: _Job) -> None:
        """Appends each task to the queue of one target."""
        for index in range(len(job.spec.tasks)):
            position = self.turn
            if self.least_outstanding:
                position = min(
                    range(len(self.views)),
                    key=lambda p: self.in_use[p] + len(self.queues[p]),
                )
            self.turn = (self.turn + 1) % len(self.views)
            self.queues[position].append((job, index))

    def start_tasks(self, now: float, effects: list[Effect]) -> None:
        """Starts the oldest tasks at each target with a free slot."""
        del now
        for position, queue in enumerate(self.queues):
            while queue and self.in_use[position] < self.views[position].slots:
                job, index = queue.popleft()
                if not job.over:
                    self.start(job, index, position, effects)


class ClairvoyantDispatcher(BaselineDispatcher):
    """Knows true run times, speeds and faults, and all targets of all zones.

    Starts the job with the least true work left that can still finish in
    time, on the fastest free target. It may drop a job at any time and
    therefore never wastes a slot on a job that will be late.

    Attributes:
        speeds: True speed by target id; faulty targets are left out.
    """

    def __init__(self, prefix: str, speeds: dict[str, float]):
        super().__init__(prefix)
        self.speeds = speeds
        self.heap: list[tuple[float, int, _Job]] = []
        self.free: list[tuple[float, int]] = []

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Takes the targets without the faulty ones."""
        views = [view for view in targets if view.target_id in self.speeds]
        views.sort(key=lambda view: -self.speeds[view.target_id])
        super().apply_targets(views, now)

    def enqueue(self, job: _Job) -> None:
        """Orders the tasks of a job from long to short."""
        tasks = sorted(
            range(len(job.spec.tasks)),
            key=lambda i: -job.spec.tasks[i].payload,
        )
        job.order = tasks
        job.work_left = sum(task.payload for task in job.spec.tasks)
        heapq.heappush(self.heap, (job.work_left, job.key, job))

    def start_tasks(self, now: float, effects: list[Effect]) -> None:
        """Starts tasks while there is a free slot."""
        position = 0
        while self.heap:
            while (
                position < len(self.views)
                and self.in_use[position] >= self.views[position].slots
            ):
                position += 1
            if position == len(self.views):
                return
            job = self.heap[0][2]
            index = -1 if job.over else job.order[job.next_index]
            if job.over or self._too_late(job, index, position, now):
                heapq.heappop(self.heap)
                if not job.over:
                    self.fail(job, FailureReason.DEADLINE, effects)
                continue
            self.start(job, index, position, effects)
            job.next_index += 1
            job.work_left -= job.spec.tasks[index].payload
            if job.next_index == len(job.order):
                heapq.heappop(self.heap)
            else:
                heapq.heapreplace(self.heap, (job.work_left, job.key, job))

    def _too_late(
        self, job: _Job, index: int, position: int, now: float
    ) -> bool:
        speed = self.speeds[self.views[position].target_id]
        return now + job.spec.tasks[index].payload / speed > job.deadline
