"""Asks the members and the store's row who places jobs."""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from anvilford.leadership import decide_action
from anvilford.leadership import ElectionAction
from anvilford.leadership import ElectionState
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.node import _clock as clock
from anvilford.node._leader_row import LeaderRow
from anvilford.peers import PeerLinks
from anvilford.protocol import LeaderQuery

LEADER_QUERY_TIMEOUT_S = 0.15
# Answers of members that live come within a few milliseconds of each other.
STRAGGLER_WAIT_S = 0.02
# The row is read this often while a leader is sought elsewhere.
ROW_READ_INTERVAL_S = 0.3
ROW_READ_TIMEOUT_S = 0.2
# Pause before a read that failed is tried again.
ROW_READ_RETRY_S = 0.08

_logger = logging.getLogger(__name__)


@attrs.define
class MembershipView:
    """What a member knows of the site's leadership.

    Attributes:
        me: The member itself.
        term: Highest term known.
        members: Members that the last leader heard of.
        askers: Members that asked this one since, by name. Right after a start
            members know different parts of the site, and would each wait for
            another one to lead.
        met_leader: Whether a leader has told its members.
    """

    local_member: Member
    term: int = 0
    members: tuple[Member, ...] = ()
    querying_members: dict[str, Member] = attrs.field(factory=dict)
    member_list_received: bool = False

    @property
    def other_members(self) -> list[Member]:
        """All members but this one."""
        members = {m.name: m for m in self.members} | self.querying_members
        return [
            m for name, m in members.items() if name != self.local_member.name
        ]

    def raise_term(self, *terms: int) -> None:
        """Takes the highest term."""
        self.term = max(self.term, *terms)

    def replace_members(self, members: tuple[Member, ...]) -> None:
        """Takes the members that a leader tells."""
        self.members = members
        self.member_list_received = True
        self.querying_members.clear()


@attrs.frozen
class SearchResult:
    """What members, row and zones told.

    Attributes:
        opinions: Answers of the members that were reached.
        reaches_other_zones: Whether targets in other zones can be reached.
    """

    replies: list[Opinion]
    other_zones_reachable: bool


class LeaderSearch:
    """Looks for a leader on behalf of a member that has none.

    Attributes:
        knowledge: What the member knows; the search adds to it.
        links: Connections to other members.
        row: The leader's row in the store.
        reaches_other_zones: Tells whether targets outside the own zone can be
            reached.
    """

    def __init__(
        self,
        knowledge: MembershipView,
        links: PeerLinks,
        row: LeaderRow,
        reaches_other_zones: Callable[[], Awaitable[bool]],
    ):
        self.membership = knowledge
        self.links = links
        self.leader_row = row
        self.probe_other_zones = reaches_other_zones
        self._row_read_at = 0.0

    async def read_row_until_known(self) -> None:
        """Reads the row until that has worked once.

        Beside the search, since a slow store takes longer than it waits.
        """
        while not self.leader_row.has_been_read:
            if not await self.leader_row.read():
                await asyncio.sleep(ROW_READ_RETRY_S)

    @property
    def can_start(self) -> bool:
        """Whether enough is known to tell that there is no leader.

        A fresh process knows at most some of the members.
        """
        return (
            self.leader_row.has_been_read
            or self.membership.member_list_received
        )

    async def collect_state(self) -> SearchResult:
        """Asks the members; without a majority the row and the zones, too."""
        opinions = await self.query_members()
        others = len(self.membership.other_members)
        reaches_zones = True
        if 2 * (1 + len(opinions)) <= 1 + others or not others:
            if await self.leader_row.read(ROW_READ_TIMEOUT_S) and not others:
                self.update_from_row()
                opinions = await self.query_members()
            if others:
                reaches_zones = await self.probe_other_zones()
        self.update_from_row()
        self.membership.raise_term(0, *(o.term for o in opinions))
        return SearchResult(opinions, reaches_zones)

    def select_action(
        self, result: SearchResult, can_lead: bool
    ) -> ElectionAction:
        """Decides what to do after a look."""
        knowledge, row = self.membership, self.leader_row
        situation = ElectionState(
            knowledge.local_member,
            can_lead,
            knowledge.term,
            knowledge.other_members,
            result.replies,
            row.store_reachable,
            clock.now() - row.changed_at,
            result.other_zones_reachable,
            row.leader.member if row.leader else None,
        )
        move = decide_action(situation)
        _logger.info(
            "leader sought",
            extra={
                "move": type(move).__name__,
                "reason": getattr(move, "reason", ""),
                "term": knowledge.term,
                "members_known": 1 + len(situation.other_members),
                "members_reached": len(result.replies),
                "reaches_store": situation.store_reachable,
                "reaches_other_zones": situation.other_zones_reachable,
                "row_age_ms": int(situation.row_age_s * 1000),
            },
        )
        return move

    async def list_reported_leaders(
        self, result: SearchResult
    ) -> Iterable[Leader]:
        """Leaders that others or the row name, the highest token first."""
        named = {o.leader for o in result.replies if o.reaches_leader}
        now = clock.now()
        if now - self._row_read_at >= ROW_READ_INTERVAL_S:
            self._row_read_at = now
            if await self.leader_row.read(ROW_READ_TIMEOUT_S):
                self.update_from_row()
                if self.leader_row.leader is not None:
                    named.add(self.leader_row.leader)
        me = self.membership.local_member
        return sorted(
            (x for x in named if x.member != me and not x.is_partial),
            key=lambda leader: -leader.fence,
        )

    def update_from_row(self) -> None:
        """Takes members and term from the row, as it was last read."""
        knowledge = self.membership
        knowledge.members = knowledge.members or self.leader_row.members
        if self.leader_row.leader is not None:
            knowledge.raise_term(self.leader_row.leader.term)

    async def query_members(self) -> list[Opinion]:
        """Asks all members; does not wait long for a minority."""
        query = LeaderQuery(self.membership.local_member, self.membership.term)
        others = self.membership.other_members
        waiting = {
            asyncio.ensure_future(
                self.links.call(member.address, query, LEADER_QUERY_TIMEOUT_S)
            )
            for member in others
        }
        opinions: list[Opinion] = []
        end = clock.now() + LEADER_QUERY_TIMEOUT_S
        while waiting and clock.now() < end:
            done, waiting = await asyncio.wait(
                waiting,
                timeout=end - clock.now(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            found = [task.result().default_value(None) for task in done]
            opinions += [o for o in found if isinstance(o, Opinion)]
            if 2 * (1 + len(opinions)) > 1 + len(others):
                end = min(end, clock.now() + STRAGGLER_WAIT_S)
        for task in waiting:
            task.cancel()
        return opinions
