"""Decides what a member does that has no leader.

A member leads at once when more than half of the members that the last leader
heard agree that it is gone; the store, which may be slow or away, learns of it
afterwards. Safety doesn't rest on there being one leader: targets obey the
highest fencing token, and runs end with their leases. Leadership keeps the
knowledge of all targets in one place, and the rules below keep members that
are merely cut off from a sound leader from taking its place.
"""

from collections.abc import Sequence

import attrs

from anvilford.leadership._model import Leader
from anvilford.leadership._model import Member
from anvilford.leadership._model import Opinion

# The leader renews its row each second; a row that has not changed for this
# long has no leader, whoever can or cannot be reached.
ROW_STALE_AFTER_S = 2.5
# A process that has just written the row begins to lead within this.
ROW_FRESH_S = 0.5


@attrs.frozen
class ElectionState:
    """All that a member without a leader knows.

    Attributes:
        me: The member itself.
        can_lead: Whether it could lead.
        term: Highest term that it knows.
        known: Other members that the last leader heard of, or that asked.
        opinions: Answers of those that were reached.
        reaches_store: Whether the store answers.
        row_unchanged_s: For how long the leader's row has not changed.
        reaches_other_zones: Whether targets in other zones can be reached.
        row_leader: The process that the row names, if any.
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


@attrs.frozen
class Follow:
    """Another member leads."""

    leader: Leader


@attrs.frozen
class Lead:
    """Lead from now on; the row follows.

    Attributes:
        is_partial: Whether only for the own zone.
    """

    is_partial: bool


@attrs.frozen
class ClaimRow:
    """Write the row first: nobody else can be asked."""


@attrs.frozen
class Wait:
    """Another member is better placed, or the leader lives elsewhere."""

    reason: str


ElectionAction = Follow | Lead | ClaimRow | Wait


def candidate_sort_key(member: Member) -> tuple[float, str]:
    """Order in which members take the lead: the largest first."""
    return (-member.cores, member.name)


def find_leader(
    local_member: Member, min_term: int, replies: Sequence[Opinion]
) -> Leader | None:
    """The leader with the highest term among members that were reached."""
    leading = [
        o.leader
        for o in replies
        if o.is_leader
        and o.leader.term >= min_term
        and (not o.leader.is_partial or o.member.zone == local_member.zone)
    ]
    return max(leading, key=lambda x: (not x.is_partial, x.term), default=None)


def decide_action(state: ElectionState) -> ElectionAction:
    """Decides the next step of a member that has no leader."""
    me, opinions = state.local_member, state.replies
    leader = find_leader(me, state.term, opinions)
    if leader is not None:
        return Follow(leader)
    if any(o.reaches_leader and not o.leader.is_partial for o in opinions):
        return Wait("leader_lives")
    if state.row_age_s < ROW_FRESH_S and any(
        o.member == state.row_leader and o.can_lead for o in opinions
    ):
        return Wait("leader_begins")
    able = [o.member for o in opinions if o.can_lead]
    if state.can_lead:
        able.append(me)
    if not able:
        return Wait("nobody_able")
    others = [m for m in state.other_members if m.name != me.name]
    if not others:
        if not state.can_lead:
            return Wait("nobody_able")
        return ClaimRow() if state.store_reachable else Lead(False)
    reached = 1 + len(opinions)
    has_majority = 2 * reached > 1 + len(others)
    is_stale = state.store_reachable and state.row_age_s >= ROW_STALE_AFTER_S
    if has_majority or is_stale:
        if min(able, key=candidate_sort_key) == me:
            return Lead(is_partial=False)
        return Wait("better_member")
    return _decide_partial_leadership(state, able)


def _decide_partial_leadership(
    situation: ElectionState, able: list[Member]
) -> ElectionAction:
    """Serves the own zone if the whole zone is cut off."""
    if situation.other_zones_reachable:
        # Only this machine is cut off from the others; the leader still
        # places on this zone's targets.
        return Wait("machine_cut_off")
    zone = [
        member for member in able if member.zone == situation.local_member.zone
    ]
    if zone and min(zone, key=candidate_sort_key) == situation.local_member:
        return Lead(is_partial=True)
    return Wait("better_member")
