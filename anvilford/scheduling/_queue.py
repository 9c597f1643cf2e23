"""Order in which queued tasks start."""

import heapq
import itertools

from anvilford.scheduling._jobs import Job
from anvilford.scheduling._jobs import LONG
from anvilford.scheduling._jobs import SHORT

# A queued job counts as submitted later by this many times the time its
# queued work takes on all slots: small and nearly finished jobs go first, and
# large ones still advance with age.
STRETCH = 10.0


class JobQueue:
    """Two lanes of jobs with queued tasks, each a heap by start order.

    A job has at most one entry per lane. Entries of answered jobs are dropped
    when they reach the head, so no operation scans a lane.
    """

    def __init__(self):
        self.slots = 1
        self.tasks = 0
        self.work = 0.0
        self.tasks_of_caller: dict[str, int] = {}
        self._lanes: tuple[list, list] = ([], [])
        self._order = itertools.count()

    def add(self, job: Job, index: int, lane: int, first: bool = False) -> None:
        """Queues one task of a job; `first` puts it before its siblings."""
        if first:
            job.pending[lane].appendleft(index)
        else:
            job.pending[lane].append(index)
        job.queued_work += job.estimates[index]
        self._count(job, 1, job.estimates[index])

    def enter(self, job: Job) -> None:
        """Makes the job's queued tasks eligible, after the last `add`."""
        for lane in (SHORT, LONG):
            if job.pending[lane] and not job.entered[lane]:
                job.entered[lane] = True
                entry = (*self._key(job), next(self._order), job)
                heapq.heappush(self._lanes[lane], entry)

    def head(self, lane: int) -> Job | None:
        """Returns the job whose task starts next in a lane."""
        heap = self._lanes[lane]
        while heap:
            job = heap[0][-1]
            if not job.finished and job.pending[lane]:
                return job
            heapq.heappop(heap)
            job.entered[lane] = False
        return None

    def first_lane(self, lanes: tuple[int, ...]) -> int | None:
        """Returns the lane whose head starts first, among `lanes`."""
        best = None
        for lane in lanes:
            if self.head(lane) is not None and (
                best is None or self._lanes[lane][0] < self._lanes[best][0]
            ):
                best = lane
        return best

    def take(self, lane: int) -> tuple[Job, int]:
        """Removes the next task of a lane; `head` must have returned a job."""
        heap = self._lanes[lane]
        job = heap[0][-1]
        index = job.pending[lane].popleft()
        work = job.estimates[index]
        job.queued_work = max(0.0, job.queued_work - work)
        self._count(job, -1, -work)
        if job.pending[lane]:
            entry = (*self._key(job), next(self._order), job)
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
            job.entered[lane] = False
        return job, index

    def drop(self, job: Job) -> None:
        """Removes all queued tasks of a job."""
        self._count(job, -job.queued_tasks(), -job.queued_work)
        job.queued_work = 0.0
        for lane in (SHORT, LONG):
            job.pending[lane].clear()

    def _key(self, job: Job) -> tuple[int, float]:
        work = job.queued_work / job.service.weight
        return job.service.priority, job.submitted + STRETCH * work / self.slots

    def _count(self, job: Job, tasks: int, work: float) -> None:
        self.tasks += tasks
        self.work = max(0.0, self.work + work) if self.tasks else 0.0
        held = self.tasks_of_caller.get(job.caller, 0) + tasks
        if held:
            self.tasks_of_caller[job.caller] = held
        else:
            self.tasks_of_caller.pop(job.caller, None)
