"""Jobs that lost their callers, which may send them again."""

import collections
from collections.abc import Iterable

from anvilford.node import _clock as clock

# Callers send a job again 1.3 s after a broken connection or status 504. A new
# leader is found within 0.7 s, and runs of the one before may last 1.2 s more.
# Withdrawn jobs need less: a leader that hears nothing of them for 0.6 s hears
# nothing of their entry either, and stops them.
UNANSWERED_RETENTION_S = 4.0
# Only the latest ones are kept. Under overload, hundreds of callers a second
# may get no answer.
MAX_UNANSWERED_JOBS = 1000


class UnansweredJobs:
    """Remembers for some seconds which jobs have lost their callers.

    Attributes:
        retention_s: Time for which a job is remembered, in seconds.
        max_jobs: Most jobs that are remembered; the oldest are dropped first.
    """

    def __init__(
        self,
        retention_s: float = UNANSWERED_RETENTION_S,
        max_jobs: int = MAX_UNANSWERED_JOBS,
    ):
        self.retention_s = retention_s
        self.max_jobs = max_jobs
        # Time of the last addition by job id, oldest first.
        self._added_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, job_ids: Iterable[str]) -> None:
        """Adds jobs, or renews those that are listed."""
        now = clock.now()
        for job_id in job_ids:
            self._added_at.pop(job_id, None)
            self._added_at[job_id] = now
        while len(self._added_at) > self.max_jobs:
            self._added_at.popitem(last=False)

    def remove(self, job_id: str) -> None:
        """Removes a job; does nothing if it is not listed."""
        self._added_at.pop(job_id, None)

    def __contains__(self, job_id: str) -> bool:
        """Returns whether a job was added within the retention time."""
        added_at = self._added_at.get(job_id)
        return (
            added_at is not None and clock.now() - added_at <= self.retention_s
        )

    def list_since(self, earliest: float = 0.0) -> tuple[str, ...]:
        """Returns the ids of the jobs added at a time or later.

        Args:
            earliest: The time, in seconds of `clock.now`. Jobs older than the
                retention time are left out in any case.
        """
        expired_at = clock.now() - self.retention_s
        while self._added_at:
            job_id, at = next(iter(self._added_at.items()))
            if at >= expired_at:
                break
            del self._added_at[job_id]
        recent = []
        for job_id, at in reversed(self._added_at.items()):
            if at < earliest:
                break
            recent.append(job_id)
        return tuple(reversed(recent))
