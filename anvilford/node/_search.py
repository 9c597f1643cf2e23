"""Search for the leader: queries the members and reads the leader's row."""

import asyncio
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from anvilford.leadership import decide_action
from anvilford.leadership import digest_members
from anvilford.leadership import ElectionAction
from anvilford.leadership import ElectionState
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.leadership import ROW_STALE_AFTER_S
from anvilford.node import _clock as clock
from anvilford.node._leader_row import LeaderRow
from anvilford.peers import PeerLinks
from anvilford.protocol import LeaderQuery

LEADER_QUERY_TIMEOUT_S = 0.15
# Wait for the remaining replies after a majority has replied. Replies of live
# members arrive within a few milliseconds of each other.
STRAGGLER_WAIT_S = 0.02
# Shortest time between two reads of the row to find a leader that it names.
ROW_READ_INTERVAL_S = 0.3
# Time for which a search waits for a read. A slow store takes longer: the read goes
# on, and later searches use its answer.
ROW_READ_TIMEOUT_S = 0.2
# Pause before a failed read of the row is repeated.
ROW_READ_RETRY_S = 0.08

_logger = logging.getLogger(__name__)


@attrs.define
class MembershipView:
    """Members and election term as known to the local member.

    Updated by the coordinator and the search, from heartbeat replies, query
    replies and the leader's row.

    Attributes:
        local_member: The member of this process.
        term: Highest term seen.
        members: Members from which the last leader received heartbeats.
        querying_members: Members that queried the local member since the last
            member list, by name. Right after the start, the member lists of
            several members can be incomplete in different ways; without the
            members that query, each could wait for another one to lead.
        member_list_received: Whether a leader has sent its member list in a
            heartbeat reply.
    """

    local_member: Member
    term: int = 0
    members: tuple[Member, ...] = ()
    querying_members: dict[str, Member] = attrs.field(factory=dict)
    member_list_received: bool = False
    _digested_members: tuple[Member, ...] = attrs.field(
        default=(), init=False, repr=False
    )
    _digest: int = attrs.field(default=0, init=False, repr=False)

    @property
    def other_members(self) -> list[Member]:
        """All known members except the local one."""
        members = {
            member.name: member for member in self.members
        } | self.querying_members
        return [
            member
            for name, member in members.items()
            if name != self.local_member.name
        ]

    def raise_term(self, *terms: int) -> None:
        """Raises the term to the highest of the given ones, if it is lower."""
        self.term = max(self.term, *terms)

    @property
    def members_digest(self) -> int:
        """Digest of `members`, computed once for each list."""
        if self._digested_members is not self.members:
            self._digested_members = self.members
            self._digest = digest_members(self.members)
        return self._digest

    def apply_member_list(
        self, members: tuple[Member, ...], digest: int
    ) -> None:
        """Applies the member list of a leader's heartbeat reply.

        Args:
            members: The list; empty if it is the one that is known.
            digest: Digest of the list.
        """
        if members:
            self.members = members
        elif digest != self.members_digest:
            return  # The list changed after the heartbeat was sent.
        self.member_list_received = True
        self.querying_members.clear()


@attrs.frozen
class SearchResult:
    """Result of one search.

    Attributes:
        replies: Replies of the members that were reached.
        other_zones_reachable: Whether targets in other zones accept
            connections; True if that was not checked.
    """

    replies: list[Opinion]
    other_zones_reachable: bool


class LeaderSearch:
    """Searches for a leader on behalf of a member that has none.

    Attributes:
        membership: Members and term known to the local member; updated by the
            search.
        links: Connections to other members.
        leader_row: The leader's row in the store.
        probe_other_zones: Returns whether targets outside the local zone
            accept connections.
    """

    def __init__(
        self,
        membership: MembershipView,
        links: PeerLinks,
        row: LeaderRow,
        probe_other_zones: Callable[[], Awaitable[bool]],
    ):
        self.membership = membership
        self.links = links
        self.leader_row = row
        self.probe_other_zones = probe_other_zones
        self._row_read_at = 0.0

    async def read_row_until_known(self) -> None:
        """Reads the row until the store has answered once.

        Runs concurrently with the search and with a longer timeout, because a
        slow store takes longer than the search waits.
        """
        while not self.leader_row.has_been_read:
            if not await self.leader_row.read():
                await asyncio.sleep(ROW_READ_RETRY_S)

    @property
    def can_start(self) -> bool:
        """Whether the local member knows enough members to search.

        A new process that has neither read the row nor received a member list
        knows some of the members at most, and could conclude that there is no
        leader although there is one.
        """
        return (
            self.leader_row.has_been_read
            or self.membership.member_list_received
        )

    async def collect_state(self) -> SearchResult:
        """Queries the members and updates the membership.

        Without replies of a majority, it also reads the leader's row and
        checks whether other zones can be reached.
        """
        replies = await self.query_members()
        other_count = len(self.membership.other_members)
        zones_reachable = True
        if 2 * (1 + len(replies)) <= 1 + other_count or not other_count:
            if (
                await self.leader_row.read(ROW_READ_TIMEOUT_S)
                and not other_count
            ):
                self.update_from_row()
                replies = await self.query_members()
            if other_count:
                zones_reachable = await self.probe_other_zones()
        self.update_from_row()
        self.membership.raise_term(0, *(reply.term for reply in replies))
        return SearchResult(replies, zones_reachable)

    def select_action(
        self, result: SearchResult, can_lead: bool
    ) -> ElectionAction:
        """Decides what to do after a search.

        Args:
            result: Result of the search.
            can_lead: Whether the local member is able to lead now.
        """
        membership, row = self.membership, self.leader_row
        state = ElectionState(
            membership.local_member,
            can_lead,
            membership.term,
            membership.other_members,
            result.replies,
            row.store_reachable,
            clock.now() - row.changed_at,
            result.other_zones_reachable,
            row.leader.member if row.leader else None,
            row.unchanged_s,
            row.members,
        )
        action = decide_action(state)
        _logger.info(
            "leader sought",
            extra={
                "move": type(action).__name__,
                "reason": getattr(action, "reason", ""),
                "term": membership.term,
                "members_known": 1 + len(state.other_members),
                "members_reached": len(result.replies),
                "reaches_store": state.store_reachable,
                "reaches_other_zones": state.other_zones_reachable,
                "row_age_ms": int(state.row_age_s * 1000),
            },
        )
        return action

    async def list_reported_leaders(
        self, result: SearchResult
    ) -> Iterable[Leader]:
        """Returns leaders reported by other members or by the row.

        The row is read again at most once in `ROW_READ_INTERVAL_S`.

        Args:
            result: Result of the search.

        Returns:
            Leaders of the whole site except the local member, sorted by
            fencing token, highest first.
        """
        reported = {
            reply.leader for reply in result.replies if reply.reaches_leader
        }
        now = clock.now()
        if now - self._row_read_at >= ROW_READ_INTERVAL_S:
            self._row_read_at = now
            if await self.leader_row.read(ROW_READ_TIMEOUT_S):
                self.update_from_row()
                if self.leader_row.leader is not None:
                    reported.add(self.leader_row.leader)
        local_member = self.membership.local_member
        return sorted(
            (
                leader
                for leader in reported
                if leader.member != local_member and not leader.is_partial
            ),
            key=lambda leader: -leader.fence,
        )

    async def is_site_reached_without_leader(self) -> bool:
        """Returns whether a cut is over and no leader serves the whole site.

        Called by the leader of a zone. Neither the members nor the term are
        updated: a higher term would make it lose its zone. The row is read at
        most once in `ROW_READ_INTERVAL_S`.
        """
        now = clock.now()
        if now - self._row_read_at < ROW_READ_INTERVAL_S:
            return False
        self._row_read_at = now
        return (
            await self.leader_row.read(ROW_READ_TIMEOUT_S)
            and self.leader_row.unchanged_s >= ROW_STALE_AFTER_S
            and await self.probe_other_zones()
        )

    def update_from_row(self) -> None:
        """Updates members and term from the row, as it was last read.

        Members known from a leader are kept.
        """
        membership = self.membership
        membership.members = membership.members or self.leader_row.members
        if self.leader_row.leader is not None:
            membership.raise_term(self.leader_row.leader.term)

    async def query_members(self) -> list[Opinion]:
        """Queries all known members at once.

        Returns:
            Replies received within `LEADER_QUERY_TIMEOUT_S`, or within
            `STRAGGLER_WAIT_S` after a majority has replied.
        """
        query = LeaderQuery(self.membership.local_member, self.membership.term)
        others = self.membership.other_members
        pending_calls = {
            asyncio.ensure_future(
                self.links.call(member.address, query, LEADER_QUERY_TIMEOUT_S)
            )
            for member in others
        }
        replies: list[Opinion] = []
        deadline = clock.now() + LEADER_QUERY_TIMEOUT_S
        while pending_calls and clock.now() < deadline:
            done, pending_calls = await asyncio.wait(
                pending_calls,
                timeout=deadline - clock.now(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answers = [task.result().default_value(None) for task in done]
            replies += [
                answer for answer in answers if isinstance(answer, Opinion)
            ]
            if 2 * (1 + len(replies)) > 1 + len(others):
                deadline = min(deadline, clock.now() + STRAGGLER_WAIT_S)
        for task in pending_calls:
            task.cancel()
        return replies
