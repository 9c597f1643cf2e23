"""Finds the member that places jobs, or becomes it."""

import asyncio
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
from anvilford.node._driver import PlacerDriver
from anvilford.node._leader_row import LeaderRow
from anvilford.node._members import HeartbeatTracker
from anvilford.node._search import LEADER_QUERY_TIMEOUT_S
from anvilford.node._search import LeaderSearch
from anvilford.node._search import MembershipView
from anvilford.node._search import SearchResult
from anvilford.node._speed_row import SpeedRow
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLinks
from anvilford.placement import TargetRecord
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.protocol import LeaderAnnounced
from anvilford.telemetry import Counters

HEARTBEAT_INTERVAL_S = 0.15
# Round trips take a few milliseconds; a machine that is five times slower
# still answers within this.
HEARTBEAT_TIMEOUT_S = 0.25
# A heartbeat is answered within a few milliseconds; no job is offered to a
# leader that has not answered for this long.
LEADER_UNRESPONSIVE_AFTER_S = 0.05
ROW_WRITE_INTERVAL_S = 1.0
# Speeds change within seconds at most; a successor corrects what is old.
SPEEDS_WRITE_INTERVAL_S = 3.0
# Writing the row for the first time is tried this often.
ROW_WRITE_RETRY_S = 0.3
SEARCH_INTERVAL_S = 0.08
# Targets that were lost to a higher token are claimed anew this long after,
# so that the jobs of a cut-off zone may end.
FENCE_RAISE_DELAY_S = 1.0

_logger = logging.getLogger(__name__)


class LeadershipCoordinator:
    """Knows which member places jobs; leads itself when it should.

    Attributes:
        me: This member.
        links: Connections to other members.
        row: The leader's row in the store.
        speed_row: The row with what leaders learned of targets' speeds.
        site: Configuration and targets.
        counters: Receives counts.
        make_driver: Makes the driver of a new placer from its fence; the flag
            tells that it serves a part of the site only.
        leader: Who places jobs; None while that is not known.
        driver: The placer of this member while it leads.
        is_leaving: True after a planned stop began.
        members: Members that this member hears while it leads.
        knowledge: What this member knows of members and terms.
        search: Looks for a leader.
        pending: Jobs that have not begun, by queue.
        fence: Highest fencing token of a leader that this member followed.
        has_row: Whether this member wrote the row in its term.
    """

    def __init__(
        self,
        me: Member,
        links: PeerLinks,
        row: LeaderRow,
        speed_row: SpeedRow,
        site: SiteView,
        counters: Counters,
        make_driver: Callable[[int, bool], PlacerDriver],
        reaches_other_zones: Callable[[], Awaitable[bool]],
    ):
        self.local_member = me
        self.links = links
        self.leader_row = row
        self.speed_row = speed_row
        self.site = site
        self.counters = counters
        self.create_driver = make_driver
        self.leader: Leader | None = None
        self.driver: PlacerDriver | None = None
        self.is_stopping = False
        self.heartbeats = HeartbeatTracker(me)
        self.waiting_jobs: dict[str, int] = {}
        self.membership = MembershipView(me)
        self.search = LeaderSearch(
            self.membership, links, row, reaches_other_zones
        )
        self.fence = 0
        self.has_written_row = False
        self._leader_changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._leader_contact_at = clock.now()
        self._heartbeat_pending_since: float | None = None
        self._raise_fence_at = 0.0
        self._row_write_due_at = 0.0
        self._speeds_write_due_at = 0.0
        self._row_write_task: asyncio.Task | None = None
        # Keeps a reference to the call to the speeds' row that is under way.
        self._speed_row_task: asyncio.Task | None = None

    @property
    def term(self) -> int:
        """Highest term known."""
        return self.membership.term

    # For offers.

    async def wait_for_leader_change(self, timeout: float) -> None:
        """Waits until another member may place jobs."""
        try:
            await asyncio.wait_for(self._leader_changed.wait(), timeout)
        except TimeoutError:
            return  # The caller looks at its own deadline.

    @property
    def leader_is_unresponsive(self) -> bool:
        """Whether the leader has not answered a heartbeat for a while.

        A job offered to it now may be lost, and another leader could not tell
        whether it has begun; a job that is held back begins at once there.
        """
        since = self._heartbeat_pending_since
        return (
            since is not None
            and clock.now() - since > LEADER_UNRESPONSIVE_AFTER_S
        )

    def report_failed_call(self, leader: Leader) -> None:
        """Notes that a call to the leader failed."""
        if self.leader == leader and leader.member != self.local_member:
            self._wake.set()

    def update_targets(self) -> None:
        """Passes the site's targets to the placer."""
        if self.driver is not None:
            self.driver.update_targets(
                self._in_scope(self.site.targets),
                self._in_scope(self.site.recently_removed_targets()),
            )

    def _in_scope(self, targets: Iterable[TargetRecord]) -> list[TargetRecord]:
        """Targets that this member's placer uses."""
        is_partial = self.leader is not None and self.leader.is_partial
        return [
            target
            for target in targets
            if not is_partial or target.zone == self.local_member.zone
        ]

    # Messages from members.

    @property
    def _is_leading(self) -> bool:
        return self.driver is not None

    def receive_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Answers a member's heartbeat."""
        if self._is_leading:
            self.heartbeats.record_heartbeat(message.member, clock.now())
            if not self.leader.is_partial:
                # The reply names the members: should this leader end right
                # after its start, they know each other.
                self.membership.members = self.heartbeats.known_members()
            self.raise_fence_above(message.fence)
        return HeartbeatReply(
            self.term,
            self._is_leading,
            self.is_stopping,
            self.membership.members if self._is_leading else (),
            self.waiting_jobs if self._is_leading else {},
            self.site.routing_table.version if self.site.routing_table else 0,
        )

    def raise_fence_above(self, fence: int) -> None:
        """Takes a higher token than one that a member has followed.

        The member's zone was led by another while it was cut off; the targets
        there obey the higher token, and may run jobs that it now offers here.
        """
        if not self._is_leading or self.leader.is_partial:
            return
        if fence > self.leader.fence:
            self.membership.raise_term(fence // FENCING_TOKENS_PER_TERM)
            self._raise_term()

    async def receive_query(self, querying_member: Member) -> Opinion:
        """Answers whether this member leads or reaches its leader."""
        if not self._is_leading:
            self.membership.querying_members[querying_member.name] = (
                querying_member
            )
        leader = self.leader
        reaches = self._is_leading and not self.is_stopping
        if leader is not None and self.driver is None:
            # Looks anew: the last heartbeat may be older than the loss.
            reaches = await self._send_heartbeat(
                leader, LEADER_QUERY_TIMEOUT_S / 2
            )
            if not reaches:
                self._wake.set()
        return Opinion(
            self.local_member,
            self.term,
            self._can_lead(),
            reaches,
            leader or Leader(0, self.local_member),
        )

    def receive_announcement(self, leader: Leader) -> None:
        """Follows a new leader that announces itself."""
        if leader.member == self.local_member:
            return
        if self._is_leading and leader.fence < self.leader.fence:
            if not self.leader.is_partial:
                announcement = LeaderAnnounced(self.leader)
                self.links.send(leader.member.address, announcement)
            return
        if leader.term >= self.term:
            self._follow(leader)

    # The loop.

    async def run(self) -> None:
        """Follows, seeks or leads until cancelled."""
        first_read = asyncio.ensure_future(self.search.read_row_until_known())
        first_read.add_done_callback(lambda _: self._wake.set())
        try:
            while True:
                try:
                    await self._step()
                except Exception:
                    _logger.exception("coordination step failed")
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
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), seconds)
        except TimeoutError:
            return  # Nothing happened, which is the usual case.

    # Following.

    def _follow(self, leader: Leader) -> None:
        self.membership.raise_term(leader.term)
        if leader.member != self.local_member:
            self._close_driver()
        self._set_leader(leader)
        self._wake.set()

    def _set_leader(self, leader: Leader | None) -> None:
        if self.leader == leader:
            return
        old = self.leader
        self.leader = leader
        self._heartbeat_pending_since = None
        if leader is not None:
            self.fence = max(self.fence, leader.fence)
        contact_age = clock.now() - self._leader_contact_at
        _logger.info(
            "leader changed",
            extra={
                "leader": leader.member.name if leader else None,
                "term": leader.term if leader else self.term,
                "is_partial": bool(leader and leader.is_partial),
                "previous": old.member.name if old else None,
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
            was_doubtful = self.leader_is_unresponsive
            self._heartbeat_pending_since = None
            if was_doubtful:
                self._wake_waiting_offers()
            await self._wait_for_wake(HEARTBEAT_INTERVAL_S)
        elif self.leader == leader:
            # The connection may have gone silent. The search asks all members
            # and the leader itself, over a new one.
            self.links.reset(leader.member.address)
            self._set_leader(None)

    async def _send_heartbeat(self, leader: Leader, timeout: float) -> bool:
        """Sends a heartbeat; True if the leader answers as such."""
        answer = await self.links.call(
            leader.member.address,
            Heartbeat(self.local_member, self.fence),
            timeout,
        )
        match answer.default_value(None):
            case HeartbeatReply(leading=True) as reply:
                self.site.refresh_if_older(reply.configuration_version)
                if reply.members:
                    self.membership.replace_members(reply.members)
                self.waiting_jobs = reply.pending
                self.membership.raise_term(reply.term)
                if self.leader == leader and reply.term > leader.term:
                    self._set_leader(
                        Leader(reply.term, leader.member, leader.is_partial)
                    )
                if not reply.leaving:
                    self._leader_contact_at = clock.now()
                    return True
                self._clear_resigned_leader(leader, "leaving")
            case HeartbeatReply(term=term):
                self.membership.raise_term(term)
                self._clear_resigned_leader(leader, "not_leading")
            case _:
                self.counters.increment("heartbeats_failed")
        return False

    def _clear_resigned_leader(self, leader: Leader, reason: str) -> None:
        """The leader itself says that another is to follow."""
        if self.leader is not None and self.leader.member == leader.member:
            _logger.info(
                "leader lost",
                extra={"leader": leader.member.name, "reason": reason},
            )
            self._set_leader(None)

    # Seeking.

    def _can_lead(self) -> bool:
        return not self.is_stopping and self.site.is_loaded()

    async def _search_step(self) -> None:
        if not self.search.can_start:
            await self._wait_for_wake(SEARCH_INTERVAL_S)
            return
        result = await self.search.collect_state()
        if self.leader is not None:
            return
        match self.search.select_action(result, self._can_lead()):
            case Follow(leader):
                self._follow(leader)
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
        """Follows a leader that is named, if it answers."""
        for leader in await self.search.list_reported_leaders(result):
            if await self._send_heartbeat(leader, LEADER_QUERY_TIMEOUT_S):
                self._follow(leader)
                return True
        return False

    async def _claim_row(self) -> None:
        """Leads if the row can be written; there is nobody to ask."""
        leader = Leader(self.term + 1, self.local_member)
        if await self.leader_row.write(leader, (self.local_member,)):
            self._start_leading(leader)
            self.has_written_row = True
        else:
            self.search.update_from_row()
            await self._wait_for_wake(SEARCH_INTERVAL_S)

    # Leading.

    def _start_leading(self, leader: Leader) -> None:
        now = clock.now()
        self._close_driver()
        self.membership.term = leader.term
        self.has_written_row = False
        self.heartbeats.reset(
            [self.local_member, *self.membership.other_members], now
        )
        self._set_leader(leader)
        self._leader_contact_at = now
        self._row_write_due_at = now
        self._speeds_write_due_at = now + SPEEDS_WRITE_INTERVAL_S
        self.site.is_placing = True
        self.driver = self.create_driver(leader.fence, leader.is_partial)
        self.driver.start(
            self._in_scope(self.site.targets),
            self._in_scope(self.site.recently_removed_targets()),
        )
        self._announce(leader)
        self._speed_row_task = asyncio.ensure_future(
            self._load_speeds(self.driver)
        )

    async def _load_speeds(self, driver: PlacerDriver) -> None:
        """Begins with the speeds that the last leader learned.

        Beside the loop: jobs are placed meanwhile as if they were not known.
        """
        driver.assume_speeds(await self.speed_row.read())

    def _start_speeds_write(self) -> None:
        """Writes the learned speeds, beside the renewal of the leader's row."""
        now = clock.now()
        if now < self._speeds_write_due_at or not self._speed_row_task.done():
            return
        self._speeds_write_due_at = now + SPEEDS_WRITE_INTERVAL_S
        self._speed_row_task = asyncio.ensure_future(
            self.speed_row.write(self.driver.learned_speeds())
        )

    def _announce(self, leader: Leader) -> None:
        for member in self.membership.other_members:
            if not leader.is_partial or member.zone == self.local_member.zone:
                self.links.send(member.address, LeaderAnnounced(leader))

    async def _lead_step(self) -> None:
        leader = self.leader
        await self._wait_for_wake(HEARTBEAT_INTERVAL_S)
        if self.driver is None or self.leader != leader:
            return
        now = clock.now()
        self._expire_members(now)
        if leader.is_partial:
            await self._hand_back_zone()
        elif self._raise_fence_at and now >= self._raise_fence_at:
            self._raise_term()
        elif now >= self._row_write_due_at and not self.is_stopping:
            self._start_row_write()

    def _start_row_write(self) -> None:
        """Writes the row beside the loop.

        A store that does not answer must not keep the leader from stopping
        the jobs of silent members.
        """
        if self._row_write_task is None or self._row_write_task.done():
            self._row_write_task = asyncio.ensure_future(self._write_row())

    async def _write_row(self) -> None:
        """Writes the row; steps down if it names a newer leader."""
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
        named = self.leader_row.leader
        if self.leader_row.version == version or named is None:
            return
        if named.member.name == self.local_member.name:
            # Written by an earlier process on this VM.
            self.membership.raise_term(named.term)
            self._raise_term()
        elif named.fence > leader.fence:
            self._step_down("deposed")
        else:
            # The row is that of an earlier leader, read again just now.
            self._row_write_due_at = clock.now()

    def _raise_term(self) -> None:
        """Takes a higher term, so that all targets obey again."""
        self._raise_fence_at = 0.0
        leader = Leader(self.term + 1, self.local_member)
        self.membership.term = leader.term
        self._set_leader(leader)
        self.driver.raise_fence(leader.fence)
        self._announce(leader)
        self._row_write_due_at = clock.now()

    def _expire_members(self, now: float) -> None:
        self.heartbeats.expire(now)
        for entry in self.driver.waiting_entries() - self.heartbeats.live_names:
            self.driver.withdraw_entry(entry)
        if not self.leader.is_partial:
            self.membership.members = self.heartbeats.known_members()
        self.waiting_jobs = self.driver.placer.waiting_by_queue()

    def on_fence_lost(self, driver: PlacerDriver) -> None:
        """A target obeys a higher token: another placer is at work."""
        if driver is not self.driver:
            return
        if self.is_stopping or (self.leader and self.leader.is_partial):
            self._step_down("fence_lost")
        elif not self._raise_fence_at:
            self._raise_fence_at = clock.now() + FENCE_RAISE_DELAY_S

    def on_suspended(self, driver: PlacerDriver) -> None:
        """This process stood still; another may lead by now."""
        if driver is self.driver:
            self._step_down("suspended")

    def _step_down(self, reason: str) -> None:
        if self.driver is None:
            return
        _logger.warning(
            "leadership given up", extra={"reason": reason, "term": self.term}
        )
        self._close_driver()
        self._set_leader(None)
        self._wake.set()

    def _close_driver(self) -> None:
        driver, self.driver = self.driver, None
        self._raise_fence_at = 0.0
        self.site.is_placing = False
        if driver is not None:
            driver.close()

    async def _hand_back_zone(self) -> None:
        """Hands the zone back once the site's leader can be reached."""
        opinions = await self.search.query_members()
        leader = find_leader(self.local_member, 0, opinions)
        if leader is None or leader.is_partial or self.driver is None:
            return
        # Its jobs are offered to the leader, which finds their runs.
        self._follow(leader)
