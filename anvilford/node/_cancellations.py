"""Cancels jobs for their callers, from any entry."""

import asyncio
import logging

from anvilford.leadership import Leader
from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._job_reports import make_cancelled_jobs
from anvilford.node._members import MEMBER_SILENT_AFTER_S
from anvilford.node._withdrawals import JobWithdrawals
from anvilford.peers import PeerLinks
from anvilford.placement import CancelResult
from anvilford.protocol import CancelJob
from anvilford.protocol import CancelJobReply
from anvilford.telemetry import Counters

# Time within which a caller gets the answer to a cancellation. A new leader is
# found about half a second after the old one stopped answering.
CANCEL_WAIT_S = 0.9
# Time for the leader's reply, which normally takes some milliseconds.
CANCEL_REPLY_TIMEOUT_S = 0.25
# Pause before a leader is asked again.
CANCEL_RETRY_S = 0.05
# Time after which an unknown job counts as not in progress. A request that was
# sent before the cancellation has been offered by then, unless its entry waits
# for a leader.
UNKNOWN_SETTLES_S = 0.3

_logger = logging.getLogger(__name__)


class JobCancellations:
    """Cancels jobs at the leader, and answers other entries if this one leads.

    The entry reports each cancellation to leaders for some seconds, also after
    its answer. An acknowledgement means that no task starts any more and that
    runs end within the lease of their targets: either the leader has confirmed
    it, or the caller's request waits at this entry, which offers the job to no
    leader any more.

    Attributes:
        coordinator: Provides the leader, and the reports to leaders.
        links: Connections to other members.
        withdrawals: Knows the requests in progress at this entry.
        counters: Receives the number of cancellations by result.
    """

    def __init__(
        self,
        coordinator: LeadershipCoordinator,
        links: PeerLinks,
        withdrawals: JobWithdrawals,
        counters: Counters,
    ):
        self.coordinator = coordinator
        self.links = links
        self.withdrawals = withdrawals
        self.counters = counters
        # Jobs that this leader has ended although another one may have them.
        self._doubtful = make_cancelled_jobs()

    async def cancel(self, job_id: str) -> CancelResult:
        """Cancels a job within `CANCEL_WAIT_S`.

        Returns:
            `CANCELED` if the job was in progress and nothing of it starts any
            more; `ENDED` or `UNKNOWN` if it was not; `UNDECIDED` if no leader
            could tell. The cancellation is still reported to leaders then.
        """
        started_at = clock.now()
        reports = self.coordinator.job_reports
        reports.add_cancelled(job_id)
        result = await self._ask_until_known(job_id, started_at + CANCEL_WAIT_S)
        if result is CancelResult.ENDED:
            reports.forget_cancelled(job_id)
        self.counters.increment("cancellations", result=result.name.lower())
        _logger.info(
            "cancellation answered",
            extra={
                "job": job_id,
                "result": result.name.lower(),
                "elapsed_ms": int((clock.now() - started_at) * 1000),
                "term": self.coordinator.term,
            },
        )
        return result

    async def _ask_until_known(self, job_id: str, until: float) -> CancelResult:
        """Asks leaders about a job until one knows, or until a time."""
        unknown_until = clock.now() + UNKNOWN_SETTLES_S
        # A caller that may have sent the job to another entry does not count.
        waits_here = (
            self.withdrawals.has_request(job_id)
            and job_id not in self.coordinator.unanswered_jobs
        )
        while True:
            result = await self._ask_leader(job_id)
            if result in (CancelResult.CANCELED, CancelResult.ENDED):
                return result
            now = clock.now()
            if result is CancelResult.UNKNOWN:
                # The request here has not been offered, or its offer is on the
                # way to this leader, which stops it.
                if waits_here:
                    return CancelResult.CANCELED
                if now >= unknown_until:
                    return result
            if now >= until or not self._may_ask_again:
                return self._cancel_local_request(job_id, waits_here)
            await asyncio.sleep(CANCEL_RETRY_S)

    @property
    def _may_ask_again(self) -> bool:
        """Whether a leader that handles cancellations may be found."""
        coordinator = self.coordinator
        return (
            coordinator.leader is None
            or coordinator.leader_is_unresponsive
            or coordinator.driver is not None
            or coordinator.leader_accepts_cancellations
        )

    def _cancel_local_request(
        self, job_id: str, waits_here: bool
    ) -> CancelResult:
        """Cancels a job whose request waits here, without a leader.

        A leader that still has it ends its runs: it hears the withdrawal or, if
        it hears nothing of this entry, goes by the end of its permission.
        """
        if not waits_here:
            return CancelResult.UNDECIDED
        self.withdrawals.withdraw(job_id)
        return CancelResult.CANCELED

    async def _ask_leader(self, job_id: str) -> CancelResult:
        """Cancels a job at the present leader, if it answers."""
        coordinator = self.coordinator
        leader = coordinator.leader
        if coordinator.driver is not None:
            return self.receive(job_id)
        if (
            leader is None
            or coordinator.leader_is_unresponsive
            or not coordinator.leader_accepts_cancellations
        ):
            return CancelResult.UNDECIDED
        return await self._call_leader(leader, job_id)

    async def _call_leader(self, leader: Leader, job_id: str) -> CancelResult:
        answer = await self.links.call(
            leader.member.address, CancelJob(job_id), CANCEL_REPLY_TIMEOUT_S
        )
        match answer.default_value(None):
            case CancelJobReply(result):
                return result
            case _:
                self.coordinator.report_failed_call(leader)
                return CancelResult.UNDECIDED

    def receive(self, job_id: str) -> CancelResult:
        """Cancels a job that this leader may have in progress.

        A leader that misses members cannot tell whether another one has a job
        that it does not know, or whose caller is gone. Nor can a new one for
        which all members count as heard at first.
        """
        coordinator = self.coordinator
        driver, leader = coordinator.driver, coordinator.leader
        if driver is None or leader is None:
            return CancelResult.UNDECIDED
        if job_id in driver.placer.kept_jobs:
            self._doubtful.add((job_id,))
        result = driver.cancel(job_id)
        if result is CancelResult.ENDED:
            return result
        coordinator.job_reports.learn_cancelled((job_id,))
        is_only_leader = (
            coordinator.heartbeats.hears_site
            and clock.now() - driver.started_at > MEMBER_SILENT_AFTER_S
            and not leader.is_partial
        )
        if is_only_leader or (
            result is CancelResult.CANCELED and job_id not in self._doubtful
        ):
            return result
        return CancelResult.UNDECIDED
