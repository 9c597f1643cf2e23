"""What an entry reports to leaders of jobs that lost or cancelled callers.

Each leader gets a report once; a new one gets all reports of the last seconds,
since it may still have such a job, or get it from another entry.
"""

from collections.abc import Iterable

import attrs

from anvilford.node._driver import PlacerDriver
from anvilford.node._unanswered import UnansweredJobs
from anvilford.placement import CancelResult

# Callers that cancel a job may have sent it shortly before, and may send it again
# 1.3 s after a broken connection. The job may still wait at an entry that is cut
# off, for a caller with a deadline of some seconds.
CANCELLED_RETENTION_S = 20.0
# Most cancelled jobs that are remembered; the oldest are dropped first. A new
# leader gets all of them from each entry, 18 bytes for each.
MAX_CANCELLED_JOBS = 1000


@attrs.frozen
class PendingReports:
    """Reports for a heartbeat or for the reply to one.

    Attributes:
        withdrawn: Ids of jobs for which this entry no longer waits.
        unanswered: Ids of jobs whose callers may send them again.
        cancelled: Ids of jobs whose callers have cancelled them.
    """

    withdrawn: tuple[str, ...] = ()
    unanswered: tuple[str, ...] = ()
    cancelled: tuple[str, ...] = ()


class JobReports:
    """Remembers jobs of which leaders have to know, for some seconds.

    Attributes:
        unanswered: Jobs that callers may send again to any entry, as far as
            this member knows.
        cancelled: Jobs that callers of any entry have cancelled, as far as this
            member knows.
    """

    def __init__(self):
        self.unanswered = UnansweredJobs()
        self.cancelled = make_cancelled_jobs()
        self._local_unanswered = UnansweredJobs()
        self._local_cancelled = make_cancelled_jobs()
        # Jobs that this entry has given up. Each leader that it follows next
        # may still have them.
        self._withdrawn = UnansweredJobs()
        # Fencing token of the last leader that got reports, and the time at
        # which the last of them was sent.
        self._reported = (0, 0.0)

    def add_unanswered(self, job_id: str) -> None:
        """Adds a job that this entry left without an answer."""
        self._local_unanswered.add((job_id,))

    def add_withdrawn(self, job_id: str) -> None:
        """Adds a job that this entry has given up."""
        self._withdrawn.add((job_id,))

    def add_cancelled(self, job_id: str) -> None:
        """Adds a job that a caller of this entry has cancelled."""
        self._local_cancelled.add((job_id,))
        self.cancelled.add((job_id,))

    def forget_lost_caller(self, job_id: str) -> None:
        """Ends the reports of a withdrawn or lost job that is offered again."""
        self._local_unanswered.remove(job_id)
        self._withdrawn.remove(job_id)

    def forget_cancelled(self, job_id: str) -> None:
        """Ends the reports of a cancelled job that had ended before."""
        self._local_cancelled.remove(job_id)
        self.cancelled.remove(job_id)

    def pending(self, fence: int) -> PendingReports:
        """Returns the reports for the leader with a fencing token."""
        reported_to, since = self._reported
        is_new_leader = reported_to != fence
        if is_new_leader:
            since = 0.0
        # The entry with a cancelled job's caller may be lost with the leader.
        cancelled = self.cancelled if is_new_leader else self._local_cancelled
        return PendingReports(
            self._withdrawn.list_since(since),
            self._local_unanswered.list_since(since),
            cancelled.list_since(since),
        )

    def record_delivery(self, fence: int, sent_at: float) -> None:
        """Records that a leader has answered the reports sent at a time."""
        self._reported = (fence, sent_at)

    def known_since(self, earliest: float) -> PendingReports:
        """Returns what this leader has learned at a time or later."""
        return PendingReports(
            (),
            self.unanswered.list_since(earliest),
            self.cancelled.list_since(earliest),
        )

    def cancel_jobs(self, driver: PlacerDriver, job_ids: Iterable[str]) -> None:
        """Cancels jobs that another entry reports to this leader."""
        for job_id in job_ids:
            if driver.cancel(job_id) is not CancelResult.ENDED:
                self.cancelled.add((job_id,))

    def learn_cancelled(self, job_ids: Iterable[str]) -> None:
        """Adds jobs that another entry reports as cancelled."""
        self.cancelled.add(job_ids)

    def is_cancelled(self, job_id: str) -> bool:
        """Returns whether a job is known to be cancelled."""
        return job_id in self.cancelled


def make_cancelled_jobs() -> UnansweredJobs:
    """Returns a memory of cancelled jobs that has no entries yet."""
    return UnansweredJobs(CANCELLED_RETENTION_S, MAX_CANCELLED_JOBS)
