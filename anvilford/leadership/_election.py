"""Election rules for a member that currently has no leader.

A member leads immediately if it reaches a majority of the members from which
the last leader received heartbeats and none of them reaches that leader. The
leader's row in the store is written afterwards, because the store may be slow
or unreachable.

Safety does not depend on there being a single leader: targets obey only the
highest fencing token, and runs end with their leases. A single leader keeps
the state of all targets in one place. The rules in this module prevent members
that are merely partitioned from a working leader from replacing it.
"""

from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from anvilford.leadership._model import Leader
from anvilford.leadership._model import Member
from anvilford.leadership._model import Opinion

# The leader writes its row every second while the store answers. A row that all
# reads show unchanged for this long has no live leader, regardless of which
# members can be reached. A write that was under way when the store came back
# may have to time out first and is then repeated, which takes 2.3 s.
ROW_STALE_AFTER_S = 2.5
# A member that has just written the leader's row starts to lead within this
# time. Until then, the other members wait for it.
ROW_FRESH_S = 0.5
# Share of the members that must answer, all of them as new processes, before one
# concludes that the whole site has restarted. A machine that is cut off by itself
# reaches fewer.
RESTARTED_SHARE = 0.25
# Least number of them. One that has restarted alone on a small site, and reaches
# nobody while the store is slow, must not conclude that.
MIN_RESTARTED = 3
# A leader leaves its place to a member with this many times its cores. Members
# that differ less are worth no change of the leader.
BETTER_CORES_RATIO = 1.25


@attrs.frozen
class ElectionState:
    """Input of the election decision of a member without a leader.

    Attributes:
        local_member: The member that decides.
        can_lead: Whether the local member is able to lead now.
        term: Highest term that the local member has seen.
        other_members: Members from which the last leader received heartbeats,
            and members that queried the local member since.
        replies: Replies of those members that answered the leader query.
        store_reachable: Whether the last call to the store was answered.
        row_age_s: Seconds since a change of the leader's row was last seen.
        other_zones_reachable: Whether targets in other zones accept
            connections.
        row_leader: Leader named in the row; None if the row names none.
        row_unchanged_s: Seconds for which the store answered without a gap and
            the leader's row was seen unchanged.
        row_members: Members named in the row, as processes of that time.
    """

    local_member: Member
    can_lead: bool
    term: int
    other_members: Sequence[Member]
    replies: Sequence[Opinion]
    store_reachable: bool
    row_age_s: float
    other_zones_reachable: bool
    row_leader: Member | None = None
    row_unchanged_s: float = 0.0
    row_members: Sequence[Member] = ()


@attrs.frozen
class Follow:
    """Follow another member, which leads."""

    leader: Leader


@attrs.frozen
class Lead:
    """Start to lead now and write the row afterwards.

    Attributes:
        is_partial: True to place jobs only on targets of the local zone.
        by_row: True if only the row shows that the site has no leader, because
            it is stale or names earlier processes. The store may refuse the
            leader of the others, so that the member may lead only if the targets
            show no other leader at work.
    """

    is_partial: bool
    by_row: bool = False


@attrs.frozen
class ClaimRow:
    """Write the row and lead if that succeeds: no other member is known."""


@attrs.frozen
class Wait:
    """Do not lead; search again after a pause.

    Attributes:
        reason: Why the member waits, for the log.
    """

    reason: str


ElectionAction = Follow | Lead | ClaimRow | Wait


def candidate_sort_key(member: Member) -> tuple[float, str]:
    """Sort key of candidates: most cores first, then by name."""
    return (-member.cores, member.name)


def find_better_leader(
    local_member: Member, members: Iterable[Member]
) -> Member | None:
    """Returns the member that should lead instead of the local one.

    The first member that starts leads a site, whatever its VM can bear. With
    hundreds of targets, a small VM falls behind at the first peak.

    Args:
        local_member: The leader.
        members: Members that follow it.

    Returns:
        The preferred candidate, if it has at least `BETTER_CORES_RATIO` times
        the cores of the leader; else None.
    """
    best = min(members, key=candidate_sort_key, default=local_member)
    if best.cores >= BETTER_CORES_RATIO * local_member.cores:
        return best
    return None


def find_leader(
    local_member: Member, min_term: int, replies: Sequence[Opinion]
) -> Leader | None:
    """Returns the leader to follow among the members that replied.

    Args:
        local_member: Member that searches for a leader. It ignores leaders
            that serve only another zone.
        min_term: Leaders of lower terms are ignored.
        replies: Replies to the leader query.

    Returns:
        The leader with the highest term, where leaders of the whole site take
        precedence over leaders of one zone; None if no member leads.
    """
    leaders = [
        reply.leader
        for reply in replies
        if reply.is_leader
        and reply.leader.term >= min_term
        and (
            not reply.leader.is_partial
            or reply.member.zone == local_member.zone
        )
    ]
    return max(
        leaders,
        key=lambda leader: (not leader.is_partial, leader.term),
        default=None,
    )


def decide_action(state: ElectionState) -> ElectionAction:
    """Returns what a member without a leader does next."""
    local_member, replies = state.local_member, state.replies
    leader = find_leader(local_member, state.term, replies)
    if leader is not None:
        return Follow(leader)
    if any(
        reply.reaches_leader and not reply.leader.is_partial
        for reply in replies
    ):
        return Wait("leader_lives")
    if state.row_age_s < ROW_FRESH_S and any(
        reply.member == state.row_leader and reply.can_lead for reply in replies
    ):
        return Wait("leader_begins")
    candidates = [reply.member for reply in replies if reply.can_lead]
    if state.can_lead:
        candidates.append(local_member)
    if not candidates:
        return Wait("nobody_able")
    others = [
        member
        for member in state.other_members
        if member.name != local_member.name
    ]
    if not others:
        if not state.can_lead:
            return Wait("nobody_able")
        return ClaimRow() if state.store_reachable else Lead(False)
    reached_count = 1 + len(replies)
    has_majority = 2 * reached_count > 1 + len(others)
    row_is_stale = (
        state.store_reachable and state.row_unchanged_s >= ROW_STALE_AFTER_S
    )
    if has_majority or row_is_stale or _has_site_restarted(state):
        if min(candidates, key=candidate_sort_key) == local_member:
            return Lead(is_partial=False, by_row=not has_majority)
        return Wait("better_member")
    return _decide_partial_leadership(state, candidates)


def _has_site_restarted(state: ElectionState) -> bool:
    """Returns whether all members that answer have restarted since the row.

    After a loss of power, small VMs start half a second later than large ones, and
    a majority of the members takes as long. Not while a member is reached that
    was there before, or while other zones cannot be reached: a leader may serve
    the rest of the site then.
    """
    tokens = {member.name: member.token for member in state.row_members}
    reached = [state.local_member, *(reply.member for reply in state.replies)]
    return (
        state.store_reachable
        and state.other_zones_reachable
        and len(reached) >= max(RESTARTED_SHARE * len(tokens), MIN_RESTARTED)
        and all(
            tokens.get(member.name, member.token) != member.token
            for member in reached
        )
    )


def _decide_partial_leadership(
    state: ElectionState, candidates: list[Member]
) -> ElectionAction:
    """Decides whether to lead the local zone only.

    The local member reaches no majority of the members. It leads its zone if
    the whole zone is cut off from the other zones and it is the preferred
    candidate of the zone.

    Args:
        state: Input of the decision.
        candidates: Members that were reached and are able to lead, including
            the local member if it is able to.
    """
    if state.other_zones_reachable:
        # Only this machine is cut off from the other members, so the leader
        # still places jobs on the targets of this zone.
        return Wait("machine_cut_off")
    zone_candidates = [
        member
        for member in candidates
        if member.zone == state.local_member.zone
    ]
    if (
        zone_candidates
        and min(zone_candidates, key=candidate_sort_key) == state.local_member
    ):
        return Lead(is_partial=True)
    return Wait("better_member")
