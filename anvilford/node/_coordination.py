"""Finds the member that places jobs, or becomes it."""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from anvilford.leadership import ClaimRow
from anvilford.leadership import FENCES_PER_TERM
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
from anvilford.node._members import Members
from anvilford.node._search import Knowledge
from anvilford.node._search import LeaderSearch
from anvilford.node._search import QUERY_TIMEOUT_S
from anvilford.node._search import SearchResult
from anvilford.node._speed_row import SpeedRow
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLinks
from anvilford.placement import TargetRecord
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.protocol import LeaderAnnounced
from anvilford.telemetry import Counters

HEARTBEAT_S = 0.15
# Round trips take a few milliseconds; a machine that is five times slower
# still answers within this.
HEARTBEAT_TIMEOUT_S = 0.25
# A heartbeat is answered within a few milliseconds; no job is offered to a
# leader that has not answered for this long.
DOUBT_S = 0.05
RENEW_S = 1.0
# Speeds change within seconds at most; a successor corrects what is old.
SPEEDS_S = 3.0
# Writing the row for the first time is tried this often.
FIRST_WRITE_RETRY_S = 0.3
SEEK_PAUSE_S = 0.08
# Targets that were lost to a higher token are claimed anew this long after,
# so that the jobs of a cut-off zone may end.
RECLAIM_S = 1.0

_logger = logging.getLogger(__name__)


class Coordination:
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
        self.me = me
        self.links = links
        self.row = row
        self.speed_row = speed_row
        self.site = site
        self.counters = counters
        self.make_driver = make_driver
        self.leader: Leader | None = None
        self.driver: PlacerDriver | None = None
        self.is_leaving = False
        self.members = Members(me)
        self.pending: dict[str, int] = {}
        self.knowledge = Knowledge(me)
        self.search = LeaderSearch(
            self.knowledge, links, row, reaches_other_zones
        )
        self.fence = 0
        self.has_row = False
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._reached_leader_at = clock.now()
        self._unanswered_since: float | None = None
        self._reclaim_at = 0.0
        self._write_at = 0.0
        self._speeds_due_at = 0.0
        self._renewal: asyncio.Task | None = None
        # Keeps a reference to the call to the speeds' row that is under way.
        self._speed_call: asyncio.Task | None = None

    @property
    def term(self) -> int:
        """Highest term known."""
        return self.knowledge.term

    # For offers.

    async def wait_for_change(self, timeout: float) -> None:
        """Waits until another member may place jobs."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout)
        except TimeoutError:
            return  # The caller looks at its own deadline.

    @property
    def leader_is_doubtful(self) -> bool:
        """Whether the leader has not answered a heartbeat for a while.

        A job offered to it now may be lost, and another leader could not tell
        whether it has begun; a job that is held back begins at once there.
        """
        since = self._unanswered_since
        return since is not None and clock.now() - since > DOUBT_S

    def suspect(self, leader: Leader) -> None:
        """Notes that a call to the leader failed."""
        if self.leader == leader and leader.member != self.me:
            self._wake.set()

    def targets_changed(self) -> None:
        """Passes the site's targets to the placer."""
        if self.driver is not None:
            self.driver.list_targets(
                self._in_scope(self.site.targets),
                self._in_scope(self.site.dropped_targets()),
            )

    def _in_scope(self, targets: Iterable[TargetRecord]) -> list[TargetRecord]:
        """Targets that this member's placer uses."""
        is_partial = self.leader is not None and self.leader.is_partial
        return [
            target
            for target in targets
            if not is_partial or target.zone == self.me.zone
        ]

    # Messages from members.

    @property
    def _leads(self) -> bool:
        return self.driver is not None

    def receive_heartbeat(self, message: Heartbeat) -> HeartbeatReply:
        """Answers a member's heartbeat."""
        if self._leads:
            self.members.hear(message.member, clock.now())
            if not self.leader.is_partial:
                # The reply names the members: should this leader end right
                # after its start, they know each other.
                self.knowledge.members = self.members.known()
            self.overtake(message.fence)
        return HeartbeatReply(
            self.term,
            self._leads,
            self.is_leaving,
            self.knowledge.members if self._leads else (),
            self.pending if self._leads else {},
            self.site.table.version if self.site.table else 0,
        )

    def overtake(self, fence: int) -> None:
        """Takes a higher token than one that a member has followed.

        The member's zone was led by another while it was cut off; the targets
        there obey the higher token, and may run jobs that it now offers here.
        """
        if not self._leads or self.leader.is_partial:
            return
        if fence > self.leader.fence:
            self.knowledge.learn_term(fence // FENCES_PER_TERM)
            self._raise_term()

    async def receive_query(self, asker: Member) -> Opinion:
        """Answers whether this member leads or reaches its leader."""
        if not self._leads:
            self.knowledge.askers[asker.name] = asker
        leader = self.leader
        reaches = self._leads and not self.is_leaving
        if leader is not None and self.driver is None:
            # Looks anew: the last heartbeat may be older than the loss.
            reaches = await self._beat(leader, QUERY_TIMEOUT_S / 2)
            if not reaches:
                self._wake.set()
        return Opinion(
            self.me,
            self.term,
            self._can_lead(),
            reaches,
            leader or Leader(0, self.me),
        )

    def receive_announcement(self, leader: Leader) -> None:
        """Follows a new leader that announces itself."""
        if leader.member == self.me:
            return
        if self._leads and leader.fence < self.leader.fence:
            if not self.leader.is_partial:
                announcement = LeaderAnnounced(self.leader)
                self.links.send(leader.member.address, announcement)
            return
        if leader.term >= self.term:
            self._follow(leader)

    # The loop.

    async def run(self) -> None:
        """Follows, seeks or leads until cancelled."""
        first_read = asyncio.ensure_future(self.search.read_row_first())
        first_read.add_done_callback(lambda _: self._wake.set())
        try:
            while True:
                try:
                    await self._step()
                except Exception:
                    _logger.exception("coordination step failed")
                    await asyncio.sleep(SEEK_PAUSE_S)
        finally:
            first_read.cancel()

    async def _step(self) -> None:
        if self.driver is not None and self.leader is not None:
            await self._lead_step()
        elif self.leader is not None:
            await self._follow_step()
        else:
            await self._seek_step()

    async def _pause(self, seconds: float) -> None:
        self._wake.clear()
        try:
            await asyncio.wait_for(self._wake.wait(), seconds)
        except TimeoutError:
            return  # Nothing happened, which is the usual case.

    # Following.

    def _follow(self, leader: Leader) -> None:
        self.knowledge.learn_term(leader.term)
        if leader.member != self.me:
            self._retire_driver()
        self._set_leader(leader)
        self._wake.set()

    def _set_leader(self, leader: Leader | None) -> None:
        if self.leader == leader:
            return
        old = self.leader
        self.leader = leader
        self._unanswered_since = None
        if leader is not None:
            self.fence = max(self.fence, leader.fence)
        contact_age = clock.now() - self._reached_leader_at
        _logger.info(
            "leader changed",
            extra={
                "leader": leader.member.name if leader else None,
                "term": leader.term if leader else self.term,
                "is_partial": bool(leader and leader.is_partial),
                "previous": old.member.name if old else None,
                "contact_age_ms": int(contact_age * 1000),
                "row_version": self.row.version,
            },
        )
        self._wake_offers()

    def _wake_offers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _follow_step(self) -> None:
        leader = self.leader
        self._unanswered_since = clock.now()
        if await self._beat(leader, HEARTBEAT_TIMEOUT_S):
            was_doubtful = self.leader_is_doubtful
            self._unanswered_since = None
            if was_doubtful:
                self._wake_offers()
            await self._pause(HEARTBEAT_S)
        elif self.leader == leader:
            # The connection may have gone silent. The search asks all members
            # and the leader itself, over a new one.
            self.links.reset(leader.member.address)
            self._set_leader(None)

    async def _beat(self, leader: Leader, timeout: float) -> bool:
        """Sends a heartbeat; True if the leader answers as such."""
        answer = await self.links.call(
            leader.member.address, Heartbeat(self.me, self.fence), timeout
        )
        match answer.default_value(None):
            case HeartbeatReply(leading=True) as reply:
                self.site.expect_configuration(reply.configuration_version)
                if reply.members:
                    self.knowledge.learn_members(reply.members)
                self.pending = reply.pending
                self.knowledge.learn_term(reply.term)
                if self.leader == leader and reply.term > leader.term:
                    self._set_leader(
                        Leader(reply.term, leader.member, leader.is_partial)
                    )
                if not reply.leaving:
                    self._reached_leader_at = clock.now()
                    return True
                self._lose(leader, "leaving")
            case HeartbeatReply(term=term):
                self.knowledge.learn_term(term)
                self._lose(leader, "not_leading")
            case _:
                self.counters.increment("heartbeats_failed")
        return False

    def _lose(self, leader: Leader, reason: str) -> None:
        """The leader itself says that another is to follow."""
        if self.leader is not None and self.leader.member == leader.member:
            _logger.info(
                "leader lost",
                extra={"leader": leader.member.name, "reason": reason},
            )
            self._set_leader(None)

    # Seeking.

    def _can_lead(self) -> bool:
        return not self.is_leaving and self.site.is_complete()

    async def _seek_step(self) -> None:
        if not self.search.may_begin:
            await self._pause(SEEK_PAUSE_S)
            return
        result = await self.search.look()
        if self.leader is not None:
            return
        match self.search.choose(result, self._can_lead()):
            case Follow(leader):
                self._follow(leader)
            case Lead(is_partial):
                self._lead(Leader(self.term + 1, self.me, is_partial))
            case ClaimRow():
                await self._claim_row()
            case Wait():
                if not await self._try_leaders(result):
                    await self._pause(SEEK_PAUSE_S)

    async def _try_leaders(self, result: SearchResult) -> bool:
        """Follows a leader that is named, if it answers."""
        for leader in await self.search.named_leaders(result):
            if await self._beat(leader, QUERY_TIMEOUT_S):
                self._follow(leader)
                return True
        return False

    async def _claim_row(self) -> None:
        """Leads if the row can be written; there is nobody to ask."""
        leader = Leader(self.term + 1, self.me)
        if await self.row.write(leader, (self.me,)):
            self._lead(leader)
            self.has_row = True
        else:
            self.search.learn_from_row()
            await self._pause(SEEK_PAUSE_S)

    # Leading.

    def _lead(self, leader: Leader) -> None:
        now = clock.now()
        self._retire_driver()
        self.knowledge.term = leader.term
        self.has_row = False
        self.members.reset([self.me, *self.knowledge.others], now)
        self._set_leader(leader)
        self._reached_leader_at = now
        self._write_at = now
        self._speeds_due_at = now + SPEEDS_S
        self.site.places_jobs = True
        self.driver = self.make_driver(leader.fence, leader.is_partial)
        self.driver.open(
            self._in_scope(self.site.targets),
            self._in_scope(self.site.dropped_targets()),
        )
        self._announce(leader)
        self._speed_call = asyncio.ensure_future(self._take_speeds(self.driver))

    async def _take_speeds(self, driver: PlacerDriver) -> None:
        """Begins with the speeds that the last leader learned.

        Beside the loop: jobs are placed meanwhile as if they were not known.
        """
        driver.assume_speeds(await self.speed_row.read())

    def _keep_speeds(self) -> None:
        """Writes the learned speeds, beside the renewal of the leader's row."""
        now = clock.now()
        if now < self._speeds_due_at or not self._speed_call.done():
            return
        self._speeds_due_at = now + SPEEDS_S
        self._speed_call = asyncio.ensure_future(
            self.speed_row.write(self.driver.learned_speeds())
        )

    def _announce(self, leader: Leader) -> None:
        for member in self.knowledge.others:
            if not leader.is_partial or member.zone == self.me.zone:
                self.links.send(member.address, LeaderAnnounced(leader))

    async def _lead_step(self) -> None:
        leader = self.leader
        await self._pause(HEARTBEAT_S)
        if self.driver is None or self.leader != leader:
            return
        now = clock.now()
        self._drop_silent_members(now)
        if leader.is_partial:
            await self._look_for_leader()
        elif self._reclaim_at and now >= self._reclaim_at:
            self._raise_term()
        elif now >= self._write_at and not self.is_leaving:
            self._start_renewal()

    def _start_renewal(self) -> None:
        """Writes the row beside the loop.

        A store that does not answer must not keep the leader from stopping
        the jobs of silent members.
        """
        if self._renewal is None or self._renewal.done():
            self._renewal = asyncio.ensure_future(self._renew())

    async def _renew(self) -> None:
        """Writes the row; steps down if it names a newer leader."""
        leader = self.leader
        version = self.row.version
        written = await self.row.write(
            leader, self.knowledge.members or (self.me,)
        )
        if self.leader != leader or self.driver is None:
            return
        if written:
            self.has_row = True
            self._write_at = clock.now() + RENEW_S
            self._keep_speeds()
            return
        self._write_at = clock.now() + FIRST_WRITE_RETRY_S
        named = self.row.leader
        if self.row.version == version or named is None:
            return
        if named.member.name == self.me.name:
            # Written by an earlier process on this VM.
            self.knowledge.learn_term(named.term)
            self._raise_term()
        elif named.fence > leader.fence:
            self._step_down("deposed")
        else:
            # The row is that of an earlier leader, read again just now.
            self._write_at = clock.now()

    def _raise_term(self) -> None:
        """Takes a higher term, so that all targets obey again."""
        self._reclaim_at = 0.0
        leader = Leader(self.term + 1, self.me)
        self.knowledge.term = leader.term
        self._set_leader(leader)
        self.driver.raise_fence(leader.fence)
        self._announce(leader)
        self._write_at = clock.now()

    def _drop_silent_members(self, now: float) -> None:
        self.members.check(now)
        for entry in self.driver.waiting_entries() - self.members.live:
            self.driver.withdraw_entry(entry)
        if not self.leader.is_partial:
            self.knowledge.members = self.members.known()
        self.pending = self.driver.placer.count_waiting_jobs()

    def on_fence_lost(self, driver: PlacerDriver) -> None:
        """A target obeys a higher token: another placer is at work."""
        if driver is not self.driver:
            return
        if self.is_leaving or (self.leader and self.leader.is_partial):
            self._step_down("fence_lost")
        elif not self._reclaim_at:
            self._reclaim_at = clock.now() + RECLAIM_S

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
        self._retire_driver()
        self._set_leader(None)
        self._wake.set()

    def _retire_driver(self) -> None:
        driver, self.driver = self.driver, None
        self._reclaim_at = 0.0
        self.site.places_jobs = False
        if driver is not None:
            driver.close()

    async def _look_for_leader(self) -> None:
        """Hands the zone back once the site's leader can be reached."""
        opinions = await self.search.ask()
        leader = find_leader(self.me, 0, opinions)
        if leader is None or leader.is_partial or self.driver is None:
            return
        # Its jobs are offered to the leader, which finds their runs.
        self._follow(leader)
