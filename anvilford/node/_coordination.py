"""Finds the member that places jobs, or becomes it."""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from anvilford.leadership import ClaimRow
from anvilford.leadership import decide
from anvilford.leadership import FENCES_PER_TERM
from anvilford.leadership import find_leader
from anvilford.leadership import Follow
from anvilford.leadership import Lead
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.leadership import Situation
from anvilford.leadership import Wait
from anvilford.node import _clock as clock
from anvilford.node._driver import PlacerDriver
from anvilford.node._leader_row import LeaderRow
from anvilford.node._members import Members
from anvilford.node._sync import SiteView
from anvilford.peers import PeerLinks
from anvilford.placement import TargetRecord
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.protocol import LeaderAnnounced
from anvilford.protocol import LeaderQuery
from anvilford.telemetry import Counters

HEARTBEAT_S = 0.15
# Round trips take a few milliseconds; a machine that is five times slower
# still answers within this.
HEARTBEAT_TIMEOUT_S = 0.25
QUERY_TIMEOUT_S = 0.15
# Answers of members that live come within a few milliseconds of each other.
MINORITY_WAIT_S = 0.02
# A heartbeat is answered within a few milliseconds; no job is offered to a
# leader that has not answered for this long.
DOUBT_S = 0.05
RENEW_S = 1.0
# The row is read this often while a leader is sought elsewhere.
ROW_LOOK_S = 0.3
ROW_LOOK_TIMEOUT_S = 0.2
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
        site: Configuration and targets.
        counters: Receives counts.
        make_driver: Makes the driver of a new placer from its fence; the flag
            tells that it serves a part of the site only.
        reaches_other_zones: Tells whether targets outside the own zone can be
            reached.
        leader: Who places jobs; None while that is not known.
        driver: The placer of this member while it leads.
        is_leaving: True after a planned stop began.
        members: Members that this member hears while it leads.
        known: Members that the last leader heard of.
        met_leader: Whether a leader has told its members.
        pending: Jobs that have not begun, by queue.
        term: Highest term known.
        fence: Highest fencing token of a leader that this member followed.
        has_row: Whether this member wrote the row in its term.
    """

    def __init__(
        self,
        me: Member,
        links: PeerLinks,
        row: LeaderRow,
        site: SiteView,
        counters: Counters,
        make_driver: Callable[[int, bool], PlacerDriver],
        reaches_other_zones: Callable[[], Awaitable[bool]],
    ):
        self.me = me
        self.links = links
        self.row = row
        self.site = site
        self.counters = counters
        self.make_driver = make_driver
        self.reaches_other_zones = reaches_other_zones
        self.leader: Leader | None = None
        self.driver: PlacerDriver | None = None
        self.is_leaving = False
        self.members = Members(me)
        self.known: tuple[Member, ...] = ()
        self.met_leader = False
        self._askers: dict[str, Member] = {}
        self.pending: dict[str, int] = {}
        self.term = 0
        self.fence = 0
        self.has_row = False
        self._changed = asyncio.Event()
        self._wake = asyncio.Event()
        self._reached_leader_at = clock.now()
        self._unanswered_since: float | None = None
        self._reclaim_at = 0.0
        self._write_at = 0.0
        self._looked_at = 0.0
        self._renewal: asyncio.Task | None = None

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
                # The reply names the members: should this leader die young,
                # they know each other.
                self.known = self.members.known()
            self.overtake(message.fence)
        return HeartbeatReply(
            self.term,
            self._leads,
            self.is_leaving,
            self.known if self._leads else (),
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
            self.term = max(self.term, fence // FENCES_PER_TERM)
            self._raise_term()

    async def receive_query(self, asker: Member) -> Opinion:
        """Answers whether this member leads or reaches its leader."""
        self._learn_member(asker)
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
        first_read = asyncio.ensure_future(self._read_row_first())
        try:
            while True:
                try:
                    await self._step()
                except Exception:
                    _logger.exception("coordination step failed")
                    await asyncio.sleep(SEEK_PAUSE_S)
        finally:
            first_read.cancel()

    async def _read_row_first(self) -> None:
        """Reads the row beside the loop until that has worked once.

        A slow store takes longer than the loop waits for it.
        """
        while not self.row.is_known:
            if not await self.row.read():
                await asyncio.sleep(SEEK_PAUSE_S)
        self._wake.set()

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
        self.term = max(self.term, leader.term)
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
                    self.known = reply.members
                    self.met_leader = True
                    self._askers.clear()
                self.pending = reply.pending
                self.term = max(self.term, reply.term)
                if self.leader == leader and reply.term > leader.term:
                    self._set_leader(
                        Leader(reply.term, leader.member, leader.is_partial)
                    )
                if not reply.leaving:
                    self._reached_leader_at = clock.now()
                    return True
                self._lose(leader, "leaving")
            case HeartbeatReply(term=term):
                self.term = max(self.term, term)
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
        if not self.row.is_known and not self.met_leader:
            # A fresh process knows at most some of the members, which says
            # nothing about whether there is a leader.
            await self._pause(SEEK_PAUSE_S)
            return
        opinions = await self._ask()
        others = len(self._others())
        reaches_zones = True
        if 2 * (1 + len(opinions)) <= 1 + others or not others:
            if await self.row.read(ROW_LOOK_TIMEOUT_S) and not others:
                self._learn_from_row()
                opinions = await self._ask()
            self._learn_from_row()
            if others:
                reaches_zones = await self.reaches_other_zones()
        if self.leader is not None:
            return
        self._learn_from_row()
        self.term = max([self.term, *(o.term for o in opinions)])
        situation = Situation(
            self.me,
            self._can_lead(),
            self.term,
            self._others(),
            opinions,
            self.row.reaches_store,
            clock.now() - self.row.changed_at,
            reaches_zones,
            self.row.leader.member if self.row.leader else None,
        )
        move = decide(situation)
        _logger.info(
            "leader sought",
            extra={
                "move": type(move).__name__,
                "reason": getattr(move, "reason", ""),
                "term": self.term,
                "members_known": 1 + len(situation.known),
                "members_reached": len(opinions),
                "reaches_store": situation.reaches_store,
                "reaches_other_zones": reaches_zones,
                "row_age_ms": int(situation.row_unchanged_s * 1000),
            },
        )
        match move:
            case Follow(leader):
                self._follow(leader)
            case Lead(is_partial):
                self._lead(Leader(self.term + 1, self.me, is_partial))
            case ClaimRow():
                await self._claim_row()
            case Wait():
                if not await self._try_leaders(opinions):
                    await self._pause(SEEK_PAUSE_S)

    async def _try_leaders(self, opinions: list[Opinion]) -> bool:
        """Follows a leader that others or the row name, if it answers."""
        named = {o.leader for o in opinions if o.reaches_leader}
        now = clock.now()
        if now - self._looked_at >= ROW_LOOK_S:
            self._looked_at = now
            if await self.row.read(ROW_LOOK_TIMEOUT_S):
                self._learn_from_row()
                if self.row.leader is not None:
                    named.add(self.row.leader)
        for leader in sorted(named, key=lambda x: -x.fence):
            if leader.member == self.me or leader.is_partial:
                continue
            if await self._beat(leader, QUERY_TIMEOUT_S):
                self._follow(leader)
                return True
        return False

    def _others(self) -> list[Member]:
        members = {m.name: m for m in self.known} | self._askers
        return [m for name, m in members.items() if name != self.me.name]

    def _learn_member(self, member: Member) -> None:
        """Notes a member that the last leader may not have heard of.

        While all processes are young, members know different parts of the
        site and would each wait for another one to lead.
        """
        if not self._leads:
            self._askers[member.name] = member

    def _learn_from_row(self) -> None:
        self.known = self.known or self.row.members
        if self.row.leader is not None:
            self.term = max(self.term, self.row.leader.term)

    async def _ask(self) -> list[Opinion]:
        """Asks all members; does not wait long for a minority."""
        query = LeaderQuery(self.me, self.term)
        others = self._others()
        waiting = {
            asyncio.ensure_future(
                self.links.call(member.address, query, QUERY_TIMEOUT_S)
            )
            for member in others
        }
        opinions: list[Opinion] = []
        end = clock.now() + QUERY_TIMEOUT_S
        while waiting and clock.now() < end:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=end - clock.now(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = [task.result().default_value(None) for task in done]
            opinions += [o for o in found if isinstance(o, Opinion)]
            if 2 * (1 + len(opinions)) > 1 + len(others):
                end = min(end, clock.now() + MINORITY_WAIT_S)
        for task in waiting:
            task.cancel()
        return opinions

    async def _claim_row(self) -> None:
        """Leads if the row can be written; there is nobody to ask."""
        leader = Leader(self.term + 1, self.me)
        if await self.row.write(leader, (self.me,)):
            self._lead(leader)
            self.has_row = True
        else:
            self._learn_from_row()
            await self._pause(SEEK_PAUSE_S)

    # Leading.

    def _lead(self, leader: Leader) -> None:
        now = clock.now()
        self._retire_driver()
        self.term = leader.term
        self.has_row = False
        self.members.reset([self.me, *self._others()], now)
        self._set_leader(leader)
        self._reached_leader_at = now
        self._write_at = now
        self.site.places_jobs = True
        self.driver = self.make_driver(leader.fence, leader.is_partial)
        self.driver.open(
            self._in_scope(self.site.targets),
            self._in_scope(self.site.dropped_targets()),
        )
        self._announce(leader)

    def _announce(self, leader: Leader) -> None:
        for member in self._others():
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
        written = await self.row.write(leader, self.known or (self.me,))
        if self.leader != leader or self.driver is None:
            return
        if written:
            self.has_row = True
            self._write_at = clock.now() + RENEW_S
            return
        self._write_at = clock.now() + FIRST_WRITE_RETRY_S
        named = self.row.leader
        if self.row.version == version or named is None:
            return
        if named.member.name == self.me.name:
            # Written by an earlier process on this VM.
            self.term = max(self.term, named.term)
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
        self.term = leader.term
        self._set_leader(leader)
        self.driver.raise_fence(leader.fence)
        self._announce(leader)
        self._write_at = clock.now()

    def _drop_silent_members(self, now: float) -> None:
        self.members.check(now)
        for entry in self.driver.waiting_entries() - self.members.live:
            self.driver.withdraw_entry(entry)
        if not self.leader.is_partial:
            self.known = self.members.known()
        self.pending = self.driver.placer.waiting_by_queue()

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
        opinions = await self._ask()
        leader = find_leader(self.me, 0, opinions)
        if leader is None or leader.is_partial or self.driver is None:
            return
        # Its jobs are offered to the leader, which finds their runs.
        self._follow(leader)
