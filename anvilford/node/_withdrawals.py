"""Withdraws the jobs that a leader may still have after their requests."""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator

# Interval at which a job without its caller checks which leader it has.
LEADER_CHECK_INTERVAL_S = 0.1


class JobWithdrawals:
    """Withdraws jobs from the leader, at once or after a while.

    A withdrawal names the job and this entry. Other entries that wait for the
    job keep it.

    Attributes:
        coordinator: Provides the leader, and reports withdrawals to it.
    """

    def __init__(self, coordinator: LeadershipCoordinator):
        self.coordinator = coordinator
        self._requests: collections.Counter[str] = collections.Counter()
        # Time at which each job is to be withdrawn, and the tasks that wait.
        self._due_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def may_have_other_leader(self) -> bool:
        """Whether other entries may follow a leader that does not know jobs."""
        leader = self.coordinator.leader
        return leader is not None and (
            leader.is_partial or not self.coordinator.leader_hears_site
        )

    @contextlib.contextmanager
    def request_in_progress(self, job_id: str) -> Iterator[None]:
        """Holds delayed withdrawals of a job back during a request for it."""
        self._requests[job_id] += 1
        try:
            yield
        finally:
            self._requests[job_id] -= 1
            if not self._requests[job_id]:
                del self._requests[job_id]

    def has_request(self, job_id: str) -> bool:
        """Returns whether a request for a job is in progress here."""
        return job_id in self._requests

    def has_other_request(self, job_id: str) -> bool:
        """Returns whether another request for a job is in progress here."""
        return self._requests[job_id] > 1

    def withdraw(self, job_id: str) -> None:
        """Tells the leader that this entry no longer waits for a job."""
        driver = self.coordinator.driver
        if driver is not None:
            driver.withdraw(
                job_id, self.coordinator.local_member.name, "caller_left"
            )
        self.coordinator.report_withdrawn_job(job_id)

    def withdraw_later(self, job_id: str, at: float) -> None:
        """Withdraws a job at a time, or once a later request for it has ended.

        It is withdrawn earlier while the caller may send it to an entry that
        follows another leader, which does not know that the job runs.

        Args:
            job_id: Id of the job.
            at: The time, in seconds of `clock.now`.
        """
        is_pending = job_id in self._due_at
        self._due_at[job_id] = at
        if not is_pending:
            task = asyncio.ensure_future(self._withdraw_when_due(job_id))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _withdraw_when_due(self, job_id: str) -> None:
        # A withdrawal during a later request of this entry would end that one.
        while self._requests[job_id] or (
            clock.now() < self._due_at[job_id]
            and not self.may_have_other_leader
        ):
            await asyncio.sleep(LEADER_CHECK_INTERVAL_S)
        del self._due_at[job_id]
        self.withdraw(job_id)
