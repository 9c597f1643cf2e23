"""Leadership of one entry: follows, searches for or becomes the leader.

The leader places the jobs of all entries. The other members send it heartbeats
and search for a new leader when it does not answer.
"""

import asyncio
import contextlib
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from anvilford.leadership import ClaimRow
from anvilford.leadership import FENCING_TOKENS_PER_TERM
from anvilford.leadership import find_leader
from anvilford.leadership import Follow
from anvilford.leadership import Lead
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.leadership import Wait
from anvilford.node import _clock as clock
from anvilford.node._appointment import Appointments
from anvilford.node._contest import Contest
from anvilford.node._contest import ContestCheck
from anvilford.node._driver import PlacerDriver
from anvilford.node._job_reports import JobReports
from anvilford.node._job_reports import PendingReports
from anvilford.node._leader_row import LeaderRow
from anvilford.node._members import HeartbeatTracker
from anvilford.node._members import MEMBER_CHECK_INTERVAL_S
from anvilford.node._outdated_messages import MessageOrder
from anvilford.node._search import LEADER_QUERY_TIMEOUT_S
from anvilford.node._search import LeaderSearch
from anvilford.node._search import MembershipView
from anvilford.node._search import SearchResult
from anvilford.node._speed_row import SpeedRow
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLinks
from anvilford.placement import ANSWER_AGE_S
from anvilford.placement import CrashHistory
from anvilford.placement import Offer
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement import TargetRecord
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.protocol import LeaderAnnounced
from anvilford.protocol import Message
from anvilford.protocol import TargetLossReport
from anvilford.protocol import WithdrawJob
from anvilford.telemetry import Counters

HEARTBEAT_INTERVAL_S = 0.15
# A heartbeat is normally answered within a few milliseconds. The timeout leaves
# room for machines that are five times slower and for a leader that is held up
# for 0.1 s.
HEARTBEAT_TIMEOUT_S = 0.25
# No job is offered to a leader whose answer to a heartbeat has been outstanding
# for this long; an answer normally takes a few milliseconds. A job offered to a
# lost leader has to wait, because its successor cannot tell whether the job has
# started.
LEADER_UNRESPONSIVE_AFTER_S = 0.05
ROW_WRITE_INTERVAL_S = 1.0
# Speeds may change within seconds; a new leader corrects outdated ones by its
# own measurements.
SPEEDS_WRITE_INTERVAL_S = 3.0
# Pause before a failed write of the row is repeated.
ROW_WRITE_RETRY_S = 0.3
SEARCH_INTERVAL_S = 0.08
# Delay before the leader raises its own fencing token after a target obeyed a
# higher one. It lets the jobs of the leader of a cut-off zone end before the
# targets are claimed again.
FENCE_RAISE_DELAY_S = 1.0
# Time after which a leader claims targets that it has left to the leader of a zone
# that is cut off. If all entries of the zone are gone, nobody else uses them;
# otherwise their leader loses its runs.
LEFT_ZONES_RETRY_S = 60.0

# Reasons of a `MOVED` outcome that show that the leader has not started the job.
REASON_NOT_LEADING = "not_leading"
REASON_LATE_OFFER = "late_offer"
REASONS_NOT_STARTED = (REASON_NOT_LEADING, REASON_LATE_OFFER)

_logger = logging.getLogger(__name__)


class LeadershipCoordinator:
    """Tracks the leader of the site, and leads if this member is elected.

    Attributes:
        local_member: The member of this process.
        links: Connections to other members.
        leader_row: The leader's row in the store.
        speed_row: Row of the store with the target speeds that the leader
            measured.
        site: Configuration and targets.
        counters: Receives counts.
        create_driver: Creates the driver of a new placer. Arguments are its
            fencing token and whether it serves only the local zone.
        crashes: Targets that were lost while they ran tasks; its changes are
            reported to the other members while this member leads.
        leader: Member that places jobs; None while it is not known.
        driver: Driver of this member's placer; None unless this member leads.
        is_stopping: True once a planned stop has begun; set by `EntryNode`.
        heartbeats: Heartbeats that this member receives while it leads.
        membership: Members and term known to this member.
        search: Searches for a leader.
        contest: Checks targets before this member leads without a majority.
        waiting_jobs: Number of jobs that have not started, by queue; updated
            by each heartbeat reply, or by the placer while this member leads.
        fence: Highest fencing token of the leaders that this member followed.
        has_written_row: Whether this member has written the row since it
            started to lead.
        job_reports: Jobs that lost or cancelled callers, as far as this member
            knows and reports them.
        unanswered_jobs: Those that callers may send again to any entry.
        heartbeat_number: Number of the last heartbeat that this process sent.
        leader_hears_site: Whether the leader lately heard all known members,
            as it replied last.
        leader_accepts_cancellations: Whether it handles `CancelJob`; those of
            the previous build do not.
    """

    def __init__(
        self,
        local_member: Member,
        links: PeerLinks,
        leader_row: LeaderRow,
        speed_row: SpeedRow,
        site: SiteView,
        counters: Counters,
        create_driver: Callable[[int, bool], PlacerDriver],
        probe_other_zones: Callable[[], Awaitable[bool]],
        probe_targets: Callable[[int, int, bool, float], Awaitable[Contest]],
        crashes: CrashHistory,
    ):
        self.local_member = local_member
        self.links = links
        self.leader_row = leader_row
        self.speed_row = speed_row
        self.site = site
        self.counters = counters
        self.create_driver = create_driver
        self.crashes = crashes
        self.leader: Leader | None = None
        self.driver: PlacerDriver | None = None
        self.is_stopping = False
        self.heartbeats = HeartbeatTracker(local_member)
        self.waiting_jobs: dict[str, int] = {}
        self.membership = MembershipView(local_member)
        self.search = LeaderSearch(
            self.membership, links, leader_row, probe_other_zones
        )
        self.contest = ContestCheck(probe_targets)
        self.fence = 0
        self.has_written_row = False
        self.job_reports = JobReports()
        self.unanswered_jobs = self.job_reports.unanswered
        self.leader_hears_site = True
        self.leader_accepts_cancellations = False
        self._message_order = MessageOrder()
        self._leader_changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._leader_contact_at = clock.now()
        self._heartbeat_pending_since: float | None = None
        # One heartbeat at a time: the answer to the next one shows that the
        # leader is alive after the failure that caused a query.
        self._heartbeat_lock = asyncio.Lock()
        # Leader and task of the heartbeat that waits for the previous one.
        self._next_heartbeat: tuple[Leader, asyncio.Task] | None = None
        # Token of the leader's process and `sent_at` of its last reply.
        self._last_answer = ("", 0.0)
        self._last_answer_received_at = 0.0
        self.heartbeat_number = 0
        self._raise_fence_at = 0.0
        # Zones whose lost targets are left to their leaders, and until when.
        self._left_zones: set[str] = set()
        self._claims_left_zones_at = 0.0
        # Whether a target refused a claim of this leader since its last raise.
        self._was_refused_claim = False
        self._row_write_due_at = 0.0
        self._appointments = Appointments()
        self._speeds_write_due_at = 0.0
        self._row_write_task: asyncio.Task | None = None
        # Check whether this leader of a zone should search for one of the site.
        self._site_check_task: asyncio.Task[bool] | None = None
        # Reference to the pending read or write of the speed row, which keeps
        # the task from being garbage-collected.
        self._speed_row_task: asyncio.Task | None = None

    @property
    def term(self) -> int:
        """Highest election term that this member has seen."""
        return self.membership.term

    # Interface for job offers and the target list.

    async def wait_for_leader_change(self, timeout: float) -> None:
        """Waits until the leader changes or answers again.

        Args:
            timeout: Longest time to wait, in seconds.
        """
        # Not `asyncio.wait_for`, which loses a cancellation that comes together
        # with the event (Python 3.11).
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._leader_changed.wait()

    @property
    def leader_is_unresponsive(self) -> bool:
        """Whether the answer of the leader to a heartbeat is overdue.

        Jobs should be held back meanwhile. If the leader is gone, a successor
        starts a held-back job immediately. A job offered to the previous leader
        would have to wait, because the successor cannot know whether it has
        started. Without a recent answer, an offer proves nothing and would be
        rejected.
        """
        since = self._heartbeat_pending_since
        return not self._has_fresh_answer or (
            since is not None
            and clock.now() - since > LEADER_UNRESPONSIVE_AFTER_S
        )

    @property
    def answered_at(self) -> float:
        """Time of the leader's last answer, on its clock; 0 for none."""
        token, sent_at = self._last_answer
        leader = self.leader
        return sent_at if leader and token == leader.member.token else 0.0

    @property
    def _has_fresh_answer(self) -> bool:
        if self.leader is None or self.leader.member == self.local_member:
            return self.leader is not None
        age = clock.now() - self._last_answer_received_at
        return self.answered_at > 0 and age <= ANSWER_AGE_S

    def report_unanswered_job(self, job_id: str) -> None:
        """Records that a caller of this entry may send a job again.

        It may reach another entry and another leader, which do not know of the
        runs that are in progress. The next heartbeat reports the job.
        """
        self.job_reports.add_unanswered(job_id)
        self._expect_resent_jobs((job_id,), self.local_member.name)

    def report_withdrawn_job(self, job_id: str) -> None:
        """Tells the leader that this entry no longer waits for a job.

        Heartbeats keep the jobs of this entry alive. The next ones repeat the
        report until a leader has answered one: there may be no leader now, and
        the report may be lost with its connection.
        """
        self.job_reports.add_withdrawn(job_id)
        if self.leader is not None and self.driver is None:
            self._send_withdrawals(self.leader, (job_id,))

    def _send_withdrawals(self, leader: Leader, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            message = WithdrawJob(job_id, self.local_member.name)
            self.links.send(leader.member.address, message)

    def forget_withdrawal(self, job_id: str) -> None:
        """Ends the reports of a withdrawn or lost job that is offered again."""
        self.job_reports.forget_lost_caller(job_id)

    def _expect_resent_jobs(self, job_ids: tuple[str, ...], entry: str) -> None:
        """Adds jobs that an entry has reported, also to the placer."""
        self.unanswered_jobs.add(job_ids)
        if self.driver is not None:
            self.driver.placer.expect_resent_jobs(job_ids, entry, clock.now())

    def report_failed_call(self, leader: Leader) -> None:
        """Checks the leader now, after a call to it failed."""
        if self.leader == leader and leader.member != self.local_member:
            self._wake.set()

    def update_targets(self) -> None:
        """Passes the site's targets to the placer, if this member leads."""
        if self.driver is not None:
            self.driver.update_targets(
                self._targets_in_scope(self.site.targets),
                self._targets_in_scope(self.site.recently_removed_targets()),
                self.site.has_current_targets,
                self.site.evacuations.names,
            )

    def _targets_in_scope(
        self, targets: Iterable[TargetRecord]
    ) -> list[TargetRecord]:
        """Returns the targets that this member's placer may use.

        A leader of one zone uses only the targets of its zone.
        """
        is_partial = self.leader is not None and self.leader.is_partial
        return [
            target
            for target in targets
            if not is_partial or target.zone == self.local_member.zone
        ]

    # Handlers of messages from other members.

    @property
    def _is_leading(self) -> bool:
        return self.driver is not None

    def _stop_jobs_of_earlier_process(self, member: Member) -> None:
        """Stops the jobs of a member that has restarted since it was heard.

        It may be back before it counts as silent, and knows nothing of them.
        """
        if self._message_order.notice_restart(member):
            self.heartbeats.permissions.withdraw(member.name)
            self.driver.stop_jobs_of(member.name)

    def receive_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Records a member's heartbeat and returns the reply."""
        self.site.evacuations.take_from_member(message)
        evacuations = self.site.evacuations.fields_for_member(message)
        now = clock.now()
        if self._is_leading:
            # It may step down if it was suspended.
            self._stop_jobs_of_earlier_process(message.member)
        if self._is_leading and not self._message_order.is_outdated(
            message.member.name, message.member.token, message.number
        ):
            self._apply_heartbeat(message, now)
        known = (
            self.job_reports.known_since(message.answered_at)
            if self._is_leading
            else PendingReports()
        )
        digest = self.membership.members_digest
        sends_members = self._is_leading and message.members_digest != digest
        return HeartbeatReply(
            self.term,
            self._is_leading,
            self.is_stopping,
            self.membership.members if sends_members else (),
            self.waiting_jobs if self._is_leading else {},
            self.site.routing_table.version if self.site.routing_table else 0,
            digest,
            now,
            self.site.changed_version if self._is_leading else 0,
            self.heartbeats.hears_site,
            known.unanswered,
            known.cancelled,
            accepts_cancellations=True,
            evacuations_digest=evacuations.digest,
            evacuations=evacuations.report,
        )

    def _apply_heartbeat(self, message: Heartbeat, now: float) -> None:
        """Records what a heartbeat tells this leader of its sender."""
        name = message.member.name
        self._message_order.record_heartbeat(name, message.number)
        if not message.answered_at and name in self.driver.waiting_entries():
            # The member has followed another leader since it last did this one,
            # which may run its jobs.
            self.driver.stop_jobs_of(name)
            if not self._is_leading:
                return  # It has stepped down after a suspension.
        # The heartbeat itself may have been sent long before it was read.
        followed_at = min(message.answered_at, now)
        self.heartbeats.record_heartbeat(message.member, now, followed_at)
        self.driver.placer.record_contact(name, followed_at)
        self._expect_resent_jobs(message.unanswered_jobs, name)
        self.job_reports.cancel_jobs(self.driver, message.cancelled_jobs)
        if not self._is_leading:
            return  # As above.
        if not self.leader.is_partial:
            # The reply includes the members heard so far, so that they know each
            # other if this leader ends right after its start.
            self.membership.members = self.heartbeats.known_members()
        self.raise_fence_above(message.fence)

    async def receive_offer(self, offer: Offer) -> Outcome:
        """Places the job of a member that is proved to follow this leader.

        The offer may be late: its entry may have offered the job to another
        leader since.
        """
        self.raise_fence_above(offer.fence)
        if self.driver is None:
            return Outcome(OutcomeKind.MOVED, REASON_NOT_LEADING)
        now = clock.now()
        if self._message_order.is_outdated(
            offer.entry, offer.process, offer.heartbeat_number
        ) or not self.heartbeats.permissions.admit(
            offer.entry, min(offer.answered_at, now), now
        ):
            self.counters.increment("late_offers")
            _logger.warning(
                "offer is not proved to be from a member that follows",
                extra={
                    "job": offer.job_id,
                    "entry": offer.entry,
                    "answered_ms_ago": int((now - offer.answered_at) * 1000),
                },
            )
            return Outcome(OutcomeKind.MOVED, REASON_LATE_OFFER)
        return await self.driver.place(offer)

    def raise_fence_above(self, fence: int) -> None:
        """Reacts to a fencing token that a member followed, if it is higher.

        Targets may obey that token and run jobs that the member now offers to
        this leader. A leader of the whole site raises its own token and claims
        all targets again. A leader of one zone steps down, since the other
        leader has reached its zone.

        Args:
            fence: Highest fencing token that the member followed.
        """
        if not self._is_leading or fence <= self.leader.fence:
            return
        self.membership.raise_term(fence // FENCING_TOKENS_PER_TERM)
        self._claim_or_step_down()

    async def receive_query(self, querying_member: Member) -> Opinion:
        """Answers the query of a member that searches for a leader.

        Sends a heartbeat to the leader first, because the last answer may be
        older than the leader's failure.

        Args:
            querying_member: The member that searches.

        Returns:
            Reply that states whether this member leads or reaches its leader.
        """
        if self._is_leading:
            self._stop_jobs_of_earlier_process(querying_member)
        else:
            self.membership.querying_members[querying_member.name] = (
                querying_member
            )
        leader = self.leader
        reaches_leader = self._is_leading and not self.is_stopping
        if leader is not None and self.driver is None:
            reaches_leader = await self._send_heartbeat(
                leader, LEADER_QUERY_TIMEOUT_S / 2
            )
            if not reaches_leader:
                self._wake.set()
        return Opinion(
            self.local_member,
            self.term,
            self._can_lead(),
            reaches_leader,
            leader or Leader(0, self.local_member),
        )

    def receive_announcement(self, leader: Leader) -> None:
        """Follows a new leader that announces itself.

        If this member leads with a higher fencing token, it keeps leading and
        announces itself to the sender. If it is named itself, the leader has
        appointed it.
        """
        if leader.member == self.local_member:
            if (
                leader.term > self.term
                and not self._is_leading
                and self._can_lead()
            ):
                self._start_leading(leader)
                self._wake.set()
            return
        if self._is_leading and leader.fence < self.leader.fence:
            if not self.leader.is_partial:
                announcement = LeaderAnnounced(self.leader)
                self.links.send(leader.member.address, announcement)
            return
        if leader.term >= self.term and not self._follows_higher(leader):
            self._follow(leader)

    def _follows_higher(self, leader: Leader) -> bool:
        """Whether this member follows another leader of the term, which prevails.

        Two may begin in one term, since members that answer queries of both
        promise nothing. Targets obey the higher token, and the other leader
        would claim them all again for a member that has followed this one.
        """
        followed = self.leader
        return (
            followed is not None
            and followed.term == leader.term
            and followed.is_partial == leader.is_partial
            and followed.fence > leader.fence
        )

    # Main loop.

    async def run(self) -> None:
        """Follows, searches for or is the leader, until cancelled."""
        first_read = asyncio.ensure_future(self.search.read_row_until_known())
        first_read.add_done_callback(lambda _: self._wake.set())
        try:
            while True:
                try:
                    await self._step()
                except Exception:
                    _logger.exception(
                        "leadership step ended with an exception; repeating it"
                    )
                    await asyncio.sleep(SEARCH_INTERVAL_S)
        finally:
            first_read.cancel()

    async def _step(self) -> None:
        if self.driver is not None and self.leader is not None:
            await self._lead_step()
        elif self.leader is not None:
            await self._follow_step()
        else:
            await self._search_step()

    async def _wait_for_wake(self, seconds: float) -> None:
        """Waits until an event requires a step, at most the given seconds."""
        self._wake.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()

    # Methods used while this member follows another one.

    def _follow(self, leader: Leader) -> None:
        """Follows a leader; stops leading if this member leads."""
        self.membership.raise_term(leader.term)
        if leader.member != self.local_member:
            self._close_driver()
        previous = self.leader
        if (
            previous is not None
            and previous.member != leader.member
            and self.leader_is_unresponsive
        ):
            # Offers without an answer fail now and go to the new leader, which
            # stops runs that no entry offers to it.
            self.links.disconnect(previous.member.address)
        self._set_leader(leader)
        self._wake.set()

    def _set_leader(self, leader: Leader | None) -> None:
        """Sets the leader, logs a change and wakes the waiting offers."""
        if self.leader == leader:
            return
        previous = self.leader
        self.leader = leader
        self._heartbeat_pending_since = None
        self.leader_hears_site = True
        if leader is not None:
            self.fence = max(self.fence, leader.fence)
        contact_age = clock.now() - self._leader_contact_at
        _logger.info(
            "leader changed",
            extra={
                "leader": leader.member.name if leader else None,
                "term": leader.term if leader else self.term,
                "fence": leader.fence if leader else 0,
                "is_partial": bool(leader and leader.is_partial),
                "previous": previous.member.name if previous else None,
                "contact_age_ms": int(contact_age * 1000),
                "row_version": self.leader_row.version,
            },
        )
        self._wake_waiting_offers()

    def _wake_waiting_offers(self) -> None:
        self._leader_changed.set()
        self._leader_changed = asyncio.Event()

    async def _follow_step(self) -> None:
        leader = self.leader
        self._heartbeat_pending_since = clock.now()
        if await self._send_heartbeat(leader, HEARTBEAT_TIMEOUT_S):
            was_unresponsive = self.leader_is_unresponsive
            self._heartbeat_pending_since = None
            if was_unresponsive:
                self._wake_waiting_offers()
            await self._wait_for_wake(HEARTBEAT_INTERVAL_S)
        elif self.leader == leader:
            # The connection may have failed without an error. The search
            # queries all members, and the leader over a new connection.
            self.links.disconnect(leader.member.address)
            self._set_leader(None)

    async def _send_heartbeat(self, leader: Leader, timeout: float) -> bool:
        """Sends a heartbeat and applies the reply.

        Args:
            leader: Leader to which the heartbeat is sent.
            timeout: Time allowed for the reply, in seconds.

        Returns:
            True if the member replies that it leads and is not stopping.
        """
        try:
            async with asyncio.timeout(timeout):
                reply = await asyncio.shield(self._join_next_heartbeat(leader))
        except TimeoutError:
            reply = None
        match reply:
            case HeartbeatReply(leading=True) as reply:
                self.site.expect_version(reply.configuration_version)
                self.site.refresh_targets_if_older(reply.targets_version)
                self.membership.apply_member_list(
                    reply.members, reply.members_digest
                )
                self.waiting_jobs = reply.pending
                self.leader_hears_site = reply.hears_site
                if not reply.hears_site:
                    self.site.record_missing_members()
                self.unanswered_jobs.add(reply.unanswered_jobs)
                self.job_reports.learn_cancelled(reply.cancelled_jobs)
                self.leader_accepts_cancellations = reply.accepts_cancellations
                self.membership.raise_term(reply.term)
                if self.leader == leader and reply.term > leader.term:
                    self._set_leader(
                        Leader(reply.term, leader.member, leader.is_partial)
                    )
                was_unresponsive = self.leader_is_unresponsive
                self._last_answer = (leader.member.token, reply.sent_at)
                self._last_answer_received_at = clock.now()
                if was_unresponsive:
                    self._wake_waiting_offers()
                if not reply.leaving:
                    self._leader_contact_at = clock.now()
                    self.contest.clear()
                    return True
                self._clear_resigned_leader(leader, "leaving")
            case HeartbeatReply(term=term):
                self.membership.raise_term(term)
                self._clear_resigned_leader(leader, "not_leading")
            case _:
                self.counters.increment("heartbeats_failed")
        return False

    def _join_next_heartbeat(
        self, leader: Leader
    ) -> "asyncio.Task[Message | None]":
        """Returns the task of a heartbeat that has not been sent yet.

        Only one heartbeat is under way at a time. All that ask meanwhile share
        the next one: with hundreds of members, dozens of queries arrive at
        once when a leader is lost.
        """
        if self._next_heartbeat is None or self._next_heartbeat[0] != leader:
            task = asyncio.ensure_future(self._exchange_heartbeat(leader))
            self._next_heartbeat = (leader, task)
        return self._next_heartbeat[1]

    async def _exchange_heartbeat(self, leader: Leader) -> Message | None:
        """Sends a heartbeat once the previous one has ended.

        Returns:
            The reply, or None if the call failed.
        """
        async with self._heartbeat_lock:
            if (
                self._next_heartbeat is not None
                and self._next_heartbeat[1] is asyncio.current_task()
            ):
                self._next_heartbeat = None
            followed = self.leader
            if followed is not None and followed.member != leader.member:
                # A heartbeat would keep this member's jobs alive there.
                return None
            return await self._call_leader(leader)

    async def _call_leader(self, leader: Leader) -> Message | None:
        """Sends a heartbeat now; returns the reply, or None if it failed."""
        token, sent_at = self._last_answer
        reports = self.job_reports.pending(leader.fence)
        evacuations = self.site.evacuations.fields_for_leader(
            leader.member.token
        )
        now = clock.now()
        self.heartbeat_number += 1
        self._send_withdrawals(leader, reports.withdrawn)
        heartbeat = Heartbeat(
            self.local_member,
            self.fence,
            self.membership.members_digest,
            sent_at if token == leader.member.token else 0.0,
            reports.unanswered,
            self.heartbeat_number,
            reports.cancelled,
            evacuations_digest=evacuations.digest,
            evacuations=evacuations.report,
        )
        answer = await self.links.call(
            leader.member.address, heartbeat, HEARTBEAT_TIMEOUT_S
        )
        reply = answer.default_value(None)
        if isinstance(reply, HeartbeatReply):
            self.site.evacuations.take_from_leader(leader.member.token, reply)
            if reply.leading:
                self.job_reports.record_delivery(leader.fence, now)
        return reply

    def _clear_resigned_leader(self, leader: Leader, reason: str) -> None:
        """Clears the leader after it replied that it no longer leads."""
        if self.leader is not None and self.leader.member == leader.member:
            _logger.info(
                "leader replied that it no longer leads",
                extra={"leader": leader.member.name, "reason": reason},
            )
            self._set_leader(None)

    # Methods used while this member searches for a leader.

    def _can_lead(self) -> bool:
        return not self.is_stopping and self.site.is_loaded()

    async def _search_step(self) -> None:
        self.site.record_missing_members()
        if not self.search.can_start:
            await self._wait_for_wake(SEARCH_INTERVAL_S)
            return
        result = await self.search.collect_state()
        if self.leader is not None:
            return
        match self.search.select_action(result, self._can_lead()):
            case Follow(leader):
                self._follow(leader)
            case Lead(is_partial) as lead if self._must_probe(lead):
                await self._lead_if_uncontested(is_partial)
            case Lead(is_partial):
                self._start_leading(
                    Leader(self.term + 1, self.local_member, is_partial)
                )
            case ClaimRow():
                await self._claim_row()
            case Wait():
                if not await self._follow_reported_leader(result):
                    await self._wait_for_wake(SEARCH_INTERVAL_S)

    async def _follow_reported_leader(self, result: SearchResult) -> bool:
        """Follows the first reported leader that answers; True if one does."""
        for leader in await self.search.list_reported_leaders(result):
            if await self._send_heartbeat(leader, LEADER_QUERY_TIMEOUT_S):
                self._follow(leader)
                return True
        return False

    def _must_probe(self, lead: Lead) -> bool:
        """Whether targets must show no other leader before this member leads.

        That is so without a majority for a member that has lost targets, and
        for one that goes by the row: the store may refuse the leader of the
        others, so that its row is stale although it is at work.
        """
        if lead.by_row:
            return bool(self.site.targets)
        return lead.is_partial and self.contest.has_lost

    async def _lead_if_uncontested(self, is_partial: bool) -> None:
        """Leads if the targets show no other leader at work.

        Without a majority, this member cannot tell otherwise whether one leads
        the others and reaches the targets. The two would take them from each
        other in turn. The probe goes on during further searches.

        Args:
            is_partial: Whether this member would lead only its zone.
        """
        if self.contest.is_due:
            # Leaders that this member follows next claim above this token.
            token = Leader(self.term + 1, self.local_member)
            self.membership.raise_term(token.term)
            self.fence = max(self.fence, token.fence)
            self.contest.start(token.fence, is_partial)
        result = await self.contest.wait(SEARCH_INTERVAL_S)
        if result is None or self.leader is not None:
            return
        _logger.info(
            "targets probed for another leader",
            extra={
                "result": result.value,
                "term": self.term,
                "is_partial": is_partial,
            },
        )
        if result is Contest.FREE:
            self._start_leading(
                Leader(self.term + 1, self.local_member, is_partial)
            )

    async def _claim_row(self) -> None:
        """Leads if the row can be written, as no other member is known."""
        leader = Leader(self.term + 1, self.local_member)
        if await self.leader_row.write(leader, (self.local_member,)):
            self._start_leading(leader)
            self.has_written_row = True
        else:
            self.search.update_from_row()
            await self._wait_for_wake(SEARCH_INTERVAL_S)

    # Methods used while this member leads.

    def _start_leading(self, leader: Leader) -> None:
        """Starts a placer and announces this member as the leader."""
        now = clock.now()
        self._close_driver()
        self.contest.clear()
        self.contest.led_fence = leader.fence
        self.membership.term = leader.term
        self.has_written_row = False
        self._site_check_task = None
        self._message_order.clear()
        self.heartbeats.reset(
            [self.local_member, *self.membership.other_members], now
        )
        self._set_leader(leader)
        self._leader_contact_at = now
        self._row_write_due_at = now
        self._speeds_write_due_at = now + SPEEDS_WRITE_INTERVAL_S
        self._appointments.record_lead(now)
        self.site.is_placing = True
        self.driver = self.create_driver(leader.fence, leader.is_partial)
        self.driver.placer.limit_leases(self.heartbeats.permissions.oldest)
        self.driver.start(
            self._targets_in_scope(self.site.targets),
            self._targets_in_scope(self.site.recently_removed_targets()),
            self.site.has_current_targets,
            self.site.evacuations.names,
        )
        known = self.job_reports.known_since(0.0)
        self.driver.placer.expect_resent_jobs(known.unanswered, "", now)
        for job_id in known.cancelled:
            self.driver.placer.cancel(job_id, now)
        self._send_to_members(LeaderAnnounced(leader))
        self._speed_row_task = asyncio.ensure_future(
            self._load_speeds(self.driver)
        )

    async def _load_speeds(self, driver: PlacerDriver) -> None:
        """Reads the speeds measured by the last leader and passes them on.

        Runs concurrently with the main loop. Until the speeds are read, jobs
        are placed without them.
        """
        driver.restore_speeds(await self.speed_row.read())

    def _start_speeds_write(self) -> None:
        """Starts to write the measured speeds, if that is due."""
        now = clock.now()
        if now < self._speeds_write_due_at or not self._speed_row_task.done():
            return
        self._speeds_write_due_at = now + SPEEDS_WRITE_INTERVAL_S
        self._speed_row_task = asyncio.ensure_future(
            self.speed_row.write(self.driver.measured_speeds())
        )

    def _send_to_members(self, message: Message) -> None:
        """Sends a message to the members that this leader serves."""
        is_partial = self.leader.is_partial
        for member in self.membership.other_members:
            if not is_partial or member.zone == self.local_member.zone:
                self.links.send(member.address, message)

    async def _lead_step(self) -> None:
        leader = self.leader
        await self._wait_for_wake(MEMBER_CHECK_INTERVAL_S)
        if self.driver is None or self.leader != leader:
            return
        now = clock.now()
        if losses := self.crashes.pop_changes():
            self._send_to_members(TargetLossReport(losses))
        self._expire_members(now)
        if self.driver is None:
            return  # The member has stepped down after a suspension.
        if leader.is_partial:
            await self._hand_back_zone()
        elif (
            self._raise_fence_at
            and now >= self._raise_fence_at
            and not self._leaves_lost_targets(now)
        ):
            self._claim_or_step_down()
        elif now >= self._row_write_due_at and not self.is_stopping:
            self._start_row_write()
        self._appoint_better_member(now)

    def _appoint_better_member(self, now: float) -> None:
        """Asks a member that bears more load to lead, if there is one.

        This member leads until the other one announces itself. An election
        would leave a large site without a leader for a moment.
        """
        if self.driver is None or self.leader.is_partial or self.is_stopping:
            return
        better = self._appointments.choose(
            self.local_member, self.heartbeats.live_members(), now
        )
        if better is None:
            return
        _logger.info(
            "appointing a member with more cores as leader",
            extra={
                "term": self.term,
                "cores": self.local_member.cores,
                "better": better.name,
                "better_cores": better.cores,
            },
        )
        appointment = LeaderAnnounced(Leader(self.term + 1, better))
        self.links.send(better.address, appointment)

    def _start_row_write(self) -> None:
        """Starts to write the row, concurrently with the main loop.

        The leader must be able to stop the jobs of members without heartbeats
        even while the store does not answer.
        """
        if self._row_write_task is None or self._row_write_task.done():
            self._row_write_task = asyncio.ensure_future(self._write_row())

    async def _write_row(self) -> None:
        """Writes the leader's row once and schedules the next write.

        After a conflict, the member steps down if the row names a leader with
        a higher fencing token. If the row was written by an earlier process on
        the same VM, this member raises its term above the one in the row.
        """
        leader = self.leader
        version = self.leader_row.version
        written = await self.leader_row.write(
            leader, self.membership.members or (self.local_member,)
        )
        if self.leader != leader or self.driver is None:
            return
        if written:
            self.has_written_row = True
            self._row_write_due_at = clock.now() + ROW_WRITE_INTERVAL_S
            self._start_speeds_write()
            return
        self._row_write_due_at = clock.now() + ROW_WRITE_RETRY_S
        row_leader = self.leader_row.leader
        if self.leader_row.version == version or row_leader is None:
            return
        if row_leader.member.name == self.local_member.name:
            # The row was written by an earlier process on this VM.
            self.membership.raise_term(row_leader.term)
            self._raise_term()
        elif row_leader.fence > leader.fence:
            self._step_down("deposed")
        else:
            # The row names an earlier leader and its version is known now, so
            # the next write can succeed.
            self._row_write_due_at = clock.now()

    @property
    def _may_claim_site(self) -> bool:
        """Whether this leader may take targets back from another one.

        Without a majority of the members it may not: the others follow that
        leader, and the two would take the targets from each other in turn.
        """
        return (
            not self.is_stopping
            and not self.leader.is_partial
            and self.heartbeats.has_majority
        )

    def _leaves_lost_targets(self, now: float) -> bool:
        """Whether the targets that this leader has lost stay with another one.

        They do if another one has taken them since this one claimed them, and
        if they are in zones of which it hears no member. A zone that is cut off
        has a leader of its own, for entries that this leader does not serve;
        the two would take the targets from each other in turn. A member that is
        heard again ends that.
        """
        zones = self.driver.fenced_zones()
        if self._left_zones and not zones:
            # The targets that were left are gone or new incarnations.
            self._left_zones = set()
            self._raise_fence_at = 0.0
            return True
        leaves = (
            self._may_claim_site
            and not self._was_refused_claim
            and bool(zones)
            and zones <= self._zones_to_leave(now)
        )
        if leaves and zones != self._left_zones:
            self._left_zones = zones
            self._claims_left_zones_at = now + LEFT_ZONES_RETRY_S
            _logger.warning(
                "leaving lost targets to the leader of their zone",
                extra={"zones": sorted(zones), **self.heartbeats.counts},
            )
        return leaves

    def _zones_to_leave(self, now: float) -> set[str]:
        """Returns zones whose lost targets this leader does not claim again."""
        if self._left_zones and now >= self._claims_left_zones_at:
            return set()
        return self.heartbeats.silent_zones()

    def _claim_or_step_down(self) -> None:
        """Claims all targets with a higher token, or steps down."""
        if self._may_claim_site:
            self._raise_term()
        else:
            self._step_down("fence_lost")

    def _raise_term(self) -> None:
        """Raises this leader's term, so that all targets obey it again."""
        self._raise_fence_at = 0.0
        leader = Leader(self.term + 1, self.local_member)
        self.membership.term = leader.term
        _logger.warning(
            "claiming all targets with a higher fence",
            extra={"fence": leader.fence, **self.heartbeats.counts},
        )
        self.contest.clear()
        self.contest.led_fence = leader.fence
        self._set_leader(leader)
        self.site.require_current_targets()
        self.update_targets()
        now = clock.now()
        left_zones = self._left_zones & self._zones_to_leave(now)
        self._was_refused_claim = False
        self._left_zones = left_zones
        if left_zones:
            self._raise_fence_at = now  # Checked again at each step.
        if self.driver is not None:
            self.driver.raise_fence(leader.fence, left_zones)
        if not self._is_leading:
            return  # The member has stepped down after a suspension.
        self._send_to_members(LeaderAnnounced(leader))
        self._row_write_due_at = clock.now()

    def _expire_members(self, now: float) -> None:
        """Stops the jobs of members that no longer send heartbeats."""
        self.driver.placer.record_contact(self.local_member.name, now)
        self.heartbeats.expire(now)
        self.driver.placer.limit_leases(
            self.heartbeats.permissions.oldest,
            self.heartbeats.oldest_proof_of_all,
        )
        # The members have to know them for as long as they go on.
        self.unanswered_jobs.add(self.driver.placer.kept_jobs)
        self.leader_hears_site = self.heartbeats.hears_site
        if not self.leader_hears_site:
            self.site.record_missing_members()
            self.driver.placer.record_missing_members(now)
        for entry in self.driver.waiting_entries():
            if entry in self.heartbeats.permissions:
                continue
            self.driver.stop_jobs_of(entry)
            if self.driver is None:
                return  # The member has stepped down after a suspension.
        if not self.leader.is_partial:
            self.heartbeats.forget_lost_members(now, self.driver.controls_zone)
            if self.driver is None:
                return  # As above.
            self.membership.members = self.heartbeats.known_members()
        self.waiting_jobs = self.driver.placer.count_waiting_jobs()

    def on_fence_lost(
        self, driver: PlacerDriver, was_owned: bool = True
    ) -> None:
        """Reacts to a target that obeys a higher fencing token.

        Another placer is active. A leader that is stopping or serves only its
        zone steps down; another one raises its term after a delay, or steps
        down if it does not hear a majority of the members by then.

        Args:
            driver: The driver whose order the target refused.
            was_owned: Whether the target had obeyed this driver's token, so
                that another placer has claimed it since. Otherwise an earlier
                one may have, which is gone.
        """
        if driver is not self.driver:
            return
        self.heartbeats.contested_at = clock.now()
        if was_owned:
            self.contest.record_loss()
        else:
            self._was_refused_claim = True
        if self.is_stopping or self.leader.is_partial:
            self._step_down("fence_lost")
        elif not self._raise_fence_at:
            self._raise_fence_at = clock.now() + FENCE_RAISE_DELAY_S

    def on_suspended(self, driver: PlacerDriver) -> None:
        """Steps down after a suspension, as another member may lead by now."""
        if driver is self.driver:
            self._step_down("suspended")

    def _step_down(self, reason: str) -> None:
        if self.driver is None:
            return
        _logger.warning(
            "stepped down as leader",
            extra={
                "reason": reason,
                "term": self.term,
                **self.heartbeats.counts,
            },
        )
        self._close_driver()
        self._set_leader(None)
        self._wake.set()

    def _close_driver(self) -> None:
        """Closes the placer, if this member leads."""
        driver, self.driver = self.driver, None
        self._raise_fence_at = 0.0
        self._left_zones = set()
        self._was_refused_claim = False
        self.site.is_placing = False
        if driver is not None:
            driver.close()

    async def _hand_back_zone(self) -> None:
        """Follows the leader of the whole site once it can be reached.

        Called while this member leads only its zone. If it reaches most of the
        members and none of them leads the site, it steps down and searches:
        they may be waiting for it, or lead their own zones. It also does if it
        reaches other zones and the row is stale: members that are gone still
        count, and the others wait for it if it is the best candidate.
        """
        zone_leader = self.leader
        replies = await self.search.query_members()
        if self.driver is None or self.leader != zone_leader:
            return
        leader = find_leader(self.local_member, 0, replies)
        if leader is not None and not leader.is_partial:
            # The entries offer the jobs of this zone to the leader, which finds
            # their runs on the targets.
            self._follow(leader)
            return
        if 2 * (1 + len(replies)) > 1 + len(self.membership.other_members):
            self._step_down("zone_reached_others")
        elif self._reaches_site_without_leader():
            self._step_down("zone_reached_site_without_leader")

    def _reaches_site_without_leader(self) -> bool:
        """Returns the result of the last check of the site; starts another.

        The checks run concurrently with the main loop, which must stop the jobs
        of members without heartbeats in time.
        """
        task = self._site_check_task
        if task is not None and not task.done():
            return False
        self._site_check_task = asyncio.ensure_future(
            self.search.is_site_reached_without_leader()
        )
        return task is not None and task.result()
