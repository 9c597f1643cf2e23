"""Order in which queued tasks start."""

import heapq
import itertools

from anvilford.scheduling._jobs import Job
from anvilford.scheduling._jobs import LANES

# A queued job counts as submitted later by this many times the time its
# queued work takes on all slots: small and nearly finished jobs go first, and
# large ones still advance with age.
STRETCH = 160.0
# Width of the buckets in which queued work is summed by start order.
BUCKET_SECONDS = 0.1


class JobQueue:
    """Lanes of jobs with queued tasks, each a heap by start order.

    A job has at most one entry per lane. Entries of answered jobs are dropped
    when they reach the head, so no operation scans a lane.
    """

    def __init__(self):
        self.slots = 1
        self.tasks = 0
        self.tasks_of_caller: dict[str, int] = {}
        self._lanes: tuple[list, ...] = tuple([] for _ in LANES)
        # Queued work by lane and bucket of the start order.
        self._buckets: tuple[dict[int, float], ...] = tuple({} for _ in LANES)
        self._order = itertools.count()

    def add(self, job: Job, index: int, lane: int, first: bool = False) -> None:
        """Queues one task of a job; `first` puts it before its siblings."""
        if first:
            job.pending[lane].appendleft(index)
        else:
            job.pending[lane].append(index)
        job.queued_work[lane] += job.estimates[index]
        self._count(job, 1)

    def enter(self, job: Job) -> None:
        """Makes the job's queued tasks eligible, after the last `add`."""
        for lane in LANES:
            self._place(job, lane)
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

    def first_lane(self, lanes: list[int]) -> int | None:
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
        job.queued_work[lane] -= job.estimates[index]
        self._count(job, -1)
        self._place(job, lane)
        if job.pending[lane]:
            entry = (*self._key(job), next(self._order), job)
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
            job.entered[lane] = False
        return job, index

    def drop(self, job: Job) -> None:
        """Removes all queued tasks of a job."""
        self._count(job, -job.queued_tasks())
        for lane in LANES:
            job.pending[lane].clear()
            self._place(job, lane)

    def work_ahead(self, lane: int, order: float) -> float:
        """Returns queued work of a lane that starts before `order`."""
        last = int(order / BUCKET_SECONDS)
        return sum(
            work for key, work in self._buckets[lane].items() if key <= last
        )

    def order_of(self, submitted: float, work: float, weight: float) -> float:
        """Returns the start order of a job, a time in seconds.

        Args:
            submitted: Loop time of submission.
            work: Queued work in seconds.
            weight: Weight of the service.
        """
        return submitted + STRETCH * work / (weight * self.slots)

    def _order_of_job(self, job: Job) -> float:
        work = sum(job.queued_work)
        return self.order_of(job.submitted, work, job.service.weight)

    def _key(self, job: Job) -> tuple[int, float]:
        return job.service.priority, self._order_of_job(job)

    def _place(self, job: Job, lane: int) -> None:
        """Moves the job's queued work to its bucket."""
        buckets = self._buckets[lane]
        if job.placed[lane] is not None:
            key, work = job.placed[lane]
            job.placed[lane] = None
            buckets[key] -= work
            # Work is far above 1 microsecond; the rest is rounding.
            if buckets[key] < 1e-6:
                del buckets[key]
        if job.pending[lane]:
            work = max(job.queued_work[lane], 1e-5)
            key = int(self._order_of_job(job) / BUCKET_SECONDS)
            job.placed[lane] = (key, work)
            buckets[key] = buckets.get(key, 0.0) + work
        else:
            job.queued_work[lane] = 0.0

    def _count(self, job: Job, tasks: int) -> None:
        self.tasks += tasks
        held = self.tasks_of_caller.get(job.caller, 0) + tasks
        if held:
            self.tasks_of_caller[job.caller] = held
        else:
            self.tasks_of_caller.pop(job.caller, None)
