"""Priority queue of tasks that wait for a slot."""

import heapq
import itertools

from anvilford.scheduling._jobs import Job
from anvilford.scheduling._jobs import LANES

# A job is ordered as if submitted later by this many times the time that its
# queued work takes on all slots. Small and nearly finished jobs start first,
# and large jobs still advance as they age.
SIZE_DELAY_FACTOR = 160.0
# Width of the intervals by which queued work is summed, in seconds. The
# intervals divide the start order of the jobs, which is a time in seconds.
BUCKET_SECONDS = 0.1


class JobQueue:
    """Queued tasks of all jobs, in one heap of jobs per lane.

    Jobs are ordered by the priority of their service, then by start order. A
    job has at most one entry per heap. Entries of answered jobs are removed
    when they reach the top, so no operation scans a heap.

    Attributes:
        slot_count: Number of usable slots, at least 1; set by the dispatcher.
        task_count: Number of queued tasks.
        task_count_by_caller: Number of queued tasks by name of the caller;
            callers without queued tasks are missing.
    """

    def __init__(self):
        self.slot_count = 1
        self.task_count = 0
        self.task_count_by_caller: dict[str, int] = {}
        self._heaps: tuple[list, ...] = tuple([] for _ in LANES)
        # Queued work in seconds by bucket of the start order, for each lane.
        self._work_by_bucket: tuple[dict[int, float], ...] = tuple(
            {} for _ in LANES
        )
        self._insertion_numbers = itertools.count()

    def add_task(
        self, job: Job, task_index: int, lane: int, at_front: bool = False
    ) -> None:
        """Adds a task of a job; it can start once `push_job` is called.

        Args:
            job: Job of the task.
            task_index: Position of the task in the job.
            lane: Lane of the task.
            at_front: Whether the task starts before the other queued tasks of
                the job rather than after them.
        """
        if at_front:
            job.queued_indices[lane].appendleft(task_index)
        else:
            job.queued_indices[lane].append(task_index)
        job.queued_work[lane] += job.estimates[task_index]
        self._adjust_task_counts(job, 1)

    def push_job(self, job: Job) -> None:
        """Inserts a job into the heaps of its lanes, after `add_task`."""
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
        """Returns the job whose task starts next in a lane, or None."""
        heap = self._heaps[lane]
        while heap:
            job = heap[0][-1]
            if not job.finished and job.queued_indices[lane]:
                return job
            heapq.heappop(heap)
            job.is_in_heap[lane] = False
        return None

    def choose_lane(self, lanes: list[int]) -> int | None:
        """Returns the lane among `lanes` whose first job starts earliest.

        Returns None if all of them are empty.
        """
        best = None
        for lane in lanes:
            if self.peek_job(lane) is not None and (
                best is None or self._heaps[lane][0] < self._heaps[best][0]
            ):
                best = lane
        return best

    def pop_task(self, lane: int) -> tuple[Job, int]:
        """Removes the next task of a lane.

        `peek_job` must have returned a job of this lane immediately before.

        Returns:
            The job and the position of the task in it.
        """
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
        """Returns the queued work that starts before a job.

        Args:
            lane: Lane of the job.
            start_order: Start order of the job.

        Returns:
            Work in seconds, including all work in the bucket of the job.
        """
        last_bucket = int(start_order / BUCKET_SECONDS)
        return sum(
            work
            for bucket, work in self._work_by_bucket[lane].items()
            if bucket <= last_bucket
        )

    def start_order(
        self, submitted: float, work: float, weight: float
    ) -> float:
        """Returns the start order of a job; the lowest value starts first.

        Args:
            submitted: Loop time of the submission, in seconds.
            work: Queued work of the job, in seconds.
            weight: Weight of the service.

        Returns:
            Loop time in seconds.
        """
        return submitted + SIZE_DELAY_FACTOR * work / (weight * self.slot_count)

    def _job_start_order(self, job: Job) -> float:
        work = sum(job.queued_work)
        return self.start_order(job.submitted, work, job.service_policy.weight)

    def _sort_key(self, job: Job) -> tuple[int, float]:
        return job.service_policy.priority, self._job_start_order(job)

    def _update_bucket(self, job: Job, lane: int) -> None:
        """Counts the queued work of a job in the bucket of its start order."""
        work_by_bucket = self._work_by_bucket[lane]
        if job.counted_work[lane] is not None:
            bucket, work = job.counted_work[lane]
            job.counted_work[lane] = None
            work_by_bucket[bucket] -= work
            # Queued work is far above 1 microsecond, so a smaller sum is a
            # rounding error.
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
        caller_task_count = (
            self.task_count_by_caller.get(job.caller, 0) + change
        )
        if caller_task_count:
            self.task_count_by_caller[job.caller] = caller_task_count
        else:
            self.task_count_by_caller.pop(job.caller, None)
