"""Asks the members and the store's row who places jobs."""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from anvilford.leadership import decide
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Move
from anvilford.leadership import Opinion
from anvilford.leadership import Situation
from anvilford.node import _clock as clock
from anvilford.node._leader_row import LeaderRow
from anvilford.peers import PeerLinks
from anvilford.protocol import LeaderQuery

QUERY_TIMEOUT_S = 0.15
# Answers of members that live come within a few milliseconds of each other.
MINORITY_WAIT_S = 0.02
# The row is read this often while a leader is sought elsewhere.
ROW_LOOK_S = 0.3
ROW_LOOK_TIMEOUT_S = 0.2
# Pause before a read that failed is tried again.
ROW_RETRY_S = 0.08

_logger = logging.getLogger(__name__)


@attrs.define
class Knowledge:
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

    me: Member
    term: int = 0
    members: tuple[Member, ...] = ()
    askers: dict[str, Member] = attrs.field(factory=dict)
    met_leader: bool = False

    @property
    def others(self) -> list[Member]:
        """All members but this one."""
        members = {m.name: m for m in self.members} | self.askers
        return [m for name, m in members.items() if name != self.me.name]

    def learn_term(self, *terms: int) -> None:
        """Takes the highest term."""
        self.term = max(self.term, *terms)

    def learn_members(self, members: tuple[Member, ...]) -> None:
        """Takes the members that a leader tells."""
        self.members = members
        self.met_leader = True
        self.askers.clear()


@attrs.frozen
class SearchResult:
    """What members, row and zones told.

    Attributes:
        opinions: Answers of the members that were reached.
        reaches_other_zones: Whether targets in other zones can be reached.
    """

    opinions: list[Opinion]
    reaches_other_zones: bool


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
        knowledge: Knowledge,
        links: PeerLinks,
        row: LeaderRow,
        reaches_other_zones: Callable[[], Awaitable[bool]],
    ):
        self.knowledge = knowledge
        self.links = links
        self.row = row
        self.reaches_other_zones = reaches_other_zones
        self._looked_at = 0.0

    async def read_row_first(self) -> None:
        """Reads the row until that has worked once.

        Beside the search, since a slow store takes longer than it waits.
        """
        while not self.row.is_known:
            if not await self.row.read():
                await asyncio.sleep(ROW_RETRY_S)

    @property
    def may_begin(self) -> bool:
        """Whether enough is known to tell that there is no leader.

        A fresh process knows at most some of the members.
        """
        return self.row.is_known or self.knowledge.met_leader

    async def look(self) -> SearchResult:
        """Asks the members; without a majority the row and the zones, too."""
        opinions = await self.ask()
        others = len(self.knowledge.others)
        reaches_zones = True
        if 2 * (1 + len(opinions)) <= 1 + others or not others:
            if await self.row.read(ROW_LOOK_TIMEOUT_S) and not others:
                self.learn_from_row()
                opinions = await self.ask()
            if others:
                reaches_zones = await self.reaches_other_zones()
        self.learn_from_row()
        self.knowledge.learn_term(0, *(o.term for o in opinions))
        return SearchResult(opinions, reaches_zones)

    def choose(self, result: SearchResult, can_lead: bool) -> Move:
        """Decides what to do after a look."""
        knowledge, row = self.knowledge, self.row
        situation = Situation(
            knowledge.me,
            can_lead,
            knowledge.term,
            knowledge.others,
            result.opinions,
            row.reaches_store,
            clock.now() - row.changed_at,
            result.reaches_other_zones,
            row.leader.member if row.leader else None,
        )
        move = decide(situation)
        _logger.info(
            "leader sought",
            extra={
                "move": type(move).__name__,
                "reason": getattr(move, "reason", ""),
                "term": knowledge.term,
                "members_known": 1 + len(situation.known),
                "members_reached": len(result.opinions),
                "reaches_store": situation.reaches_store,
                "reaches_other_zones": situation.reaches_other_zones,
                "row_age_ms": int(situation.row_unchanged_s * 1000),
            },
        )
        return move

    async def named_leaders(self, result: SearchResult) -> Iterable[Leader]:
        """Leaders that others or the row name, the highest token first."""
        named = {o.leader for o in result.opinions if o.reaches_leader}
        now = clock.now()
        if now - self._looked_at >= ROW_LOOK_S:
            self._looked_at = now
            if await self.row.read(ROW_LOOK_TIMEOUT_S):
                self.learn_from_row()
                if self.row.leader is not None:
                    named.add(self.row.leader)
        me = self.knowledge.me
        return sorted(
            (x for x in named if x.member != me and not x.is_partial),
            key=lambda leader: -leader.fence,
        )

    def learn_from_row(self) -> None:
        """Takes members and term from the row, as it was last read."""
        knowledge = self.knowledge
        knowledge.members = knowledge.members or self.row.members
        if self.row.leader is not None:
            knowledge.learn_term(self.row.leader.term)

    async def ask(self) -> list[Opinion]:
        """Asks all members; does not wait long for a minority."""
        query = LeaderQuery(self.knowledge.me, self.knowledge.term)
        others = self.knowledge.others
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
