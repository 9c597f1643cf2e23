"""Order in which queued tasks start."""

import heapq
import itertools

from anvilford.scheduling._jobs import Job
from anvilford.scheduling._jobs import LANES

# A queued job counts as submitted later by this many times the time its
# queued work takes on all slots: small and nearly finished jobs go first, and
# large ones still advance with age.
SIZE_DELAY_FACTOR = 160.0
# Width of the buckets in which queued work is summed by start order.
BUCKET_SECONDS = 0.1


class JobQueue:
    """Lanes of jobs with queued tasks, each a heap by start order.

    A job has at most one entry per lane. Entries of answered jobs are dropped
    when they reach the head, so no operation scans a lane.
    """

    def __init__(self):
        self.slot_count = 1
        self.task_count = 0
        self.task_count_by_caller: dict[str, int] = {}
        self._heaps: tuple[list, ...] = tuple([] for _ in LANES)
        # Queued work by lane and bucket of the start order.
        self._work_by_bucket: tuple[dict[int, float], ...] = tuple(
            {} for _ in LANES
        )
        self._insertion_numbers = itertools.count()

    def add_task(
        self, job: Job, task_index: int, lane: int, at_front: bool = False
    ) -> None:
        """Queues one task of a job; `at_front` puts it before its siblings."""
        if at_front:
            job.queued_indices[lane].appendleft(task_index)
        else:
            job.queued_indices[lane].append(task_index)
        job.queued_work[lane] += job.estimates[task_index]
        self._adjust_task_counts(job, 1)

    def push_job(self, job: Job) -> None:
        """Makes the job's queued tasks eligible, after the last `add_task`."""
        for lane in LANES:
            self._update_bucket(job, lane)
            if job.queued_indices[lane] and not job.is_in_heap[lane]:
                job.is_in_heap[lane] = True
                entry = (
                    *self._sort_key(job),
                    next(self._insertion_numbers),
                    job,
                )
                heapq.heappush(self._heaps[lane], entry)

    def peek_job(self, lane: int) -> Job | None:
        """Returns the job whose task starts next in a lane."""
        heap = self._heaps[lane]
        while heap:
            job = heap[0][-1]
            if not job.finished and job.queued_indices[lane]:
                return job
            heapq.heappop(heap)
            job.is_in_heap[lane] = False
        return None

    def choose_lane(self, lanes: list[int]) -> int | None:
        """Returns the lane whose head starts first, among `lanes`."""
        best = None
        for lane in lanes:
            if self.peek_job(lane) is not None and (
                best is None or self._heaps[lane][0] < self._heaps[best][0]
            ):
                best = lane
        return best

    def pop_task(self, lane: int) -> tuple[Job, int]:
        """Removes the next task of a lane; call `peek_job` before."""
        heap = self._heaps[lane]
        job = heap[0][-1]
        task_index = job.queued_indices[lane].popleft()
        job.queued_work[lane] -= job.estimates[task_index]
        self._adjust_task_counts(job, -1)
        self._update_bucket(job, lane)
        if job.queued_indices[lane]:
            entry = (*self._sort_key(job), next(self._insertion_numbers), job)
            heapq.heapreplace(heap, entry)
        else:
            heapq.heappop(heap)
            job.is_in_heap[lane] = False
        return job, task_index

    def remove_job(self, job: Job) -> None:
        """Removes all queued tasks of a job."""
        self._adjust_task_counts(job, -job.count_queued_tasks())
        for lane in LANES:
            job.queued_indices[lane].clear()
            self._update_bucket(job, lane)

    def work_ahead(self, lane: int, start_order: float) -> float:
        """Returns queued work of a lane that starts before `start_order`."""
        last_bucket = int(start_order / BUCKET_SECONDS)
        return sum(
            work
            for bucket, work in self._work_by_bucket[lane].items()
            if bucket <= last_bucket
        )

    def start_order(
        self, submitted: float, work: float, weight: float
    ) -> float:
        """Returns the start order of a job, a time in seconds.

        Args:
            submitted: Loop time of submission.
            work: Queued work in seconds.
            weight: Weight of the service.
        """
        return submitted + SIZE_DELAY_FACTOR * work / (weight * self.slot_count)

    def _job_start_order(self, job: Job) -> float:
        work = sum(job.queued_work)
        return self.start_order(job.submitted, work, job.service_policy.weight)

    def _sort_key(self, job: Job) -> tuple[int, float]:
        return job.service_policy.priority, self._job_start_order(job)

    def _update_bucket(self, job: Job, lane: int) -> None:
        """Moves the job's queued work to its bucket."""
        work_by_bucket = self._work_by_bucket[lane]
        if job.counted_work[lane] is not None:
            bucket, work = job.counted_work[lane]
            job.counted_work[lane] = None
            work_by_bucket[bucket] -= work
            # Work is far above 1 microsecond; the rest is rounding.
            if work_by_bucket[bucket] < 1e-6:
                del work_by_bucket[bucket]
        if job.queued_indices[lane]:
            work = max(job.queued_work[lane], 1e-5)
            bucket = int(self._job_start_order(job) / BUCKET_SECONDS)
            job.counted_work[lane] = (bucket, work)
            work_by_bucket[bucket] = work_by_bucket.get(bucket, 0.0) + work
        else:
            job.queued_work[lane] = 0.0

    def _adjust_task_counts(self, job: Job, change: int) -> None:
        self.task_count += change
        caller_tasks = self.task_count_by_caller.get(job.caller, 0) + change
        if caller_tasks:
            self.task_count_by_caller[job.caller] = caller_tasks
        else:
            self.task_count_by_caller.pop(job.caller, None)
