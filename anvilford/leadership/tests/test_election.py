"""Tests of the choice of a leader."""

import attrs

from anvilford.leadership import ClaimRow
from anvilford.leadership import decide_action
from anvilford.leadership import ElectionState
from anvilford.leadership import Follow
from anvilford.leadership import Lead
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.leadership import Wait
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


def member(name: str, zone: str = "a", cores: float = 1.0) -> Member:
    """A member."""
    return Member(name, zone, name, cores, "token-" + name)


MEMBERS = [member(f"m{n}", "ab"[n // 3]) for n in range(5)]


def opinion(of: Member, leader: Leader | None = None, can_lead: bool = True):
    """What a member says; without a leader it reaches none."""
    return Opinion(of, 3, can_lead, leader is not None, leader or Leader(0, of))


@fixture
def situation():
    """`m1` lost its leader `m0`; `m2` to `m4` lost it too."""
    yield ElectionState(
        MEMBERS[1],
        True,
        3,
        MEMBERS,
        [opinion(m) for m in MEMBERS[2:]],
        True,
        0.7,
        True,
    )


def test_best_member_of_a_majority_leads(case, situation):
    """Guards against a site without a leader while the store is slow."""
    case.assertEqual(decide_action(situation), Lead(is_partial=False))
    away = attrs.evolve(situation, store_reachable=False)
    case.assertEqual(decide_action(away), Lead(is_partial=False))
    other = attrs.evolve(
        situation,
        local_member=MEMBERS[3],
        replies=[opinion(m) for m in (MEMBERS[1], MEMBERS[2], MEMBERS[4])],
    )
    case.assertEqual(decide_action(other), Wait("better_member"))


def test_larger_member_goes_first(case, situation):
    """Guards against a small machine that places the whole site's jobs."""
    large = member("z", cores=2.0)
    opinions = [*situation.replies, opinion(large)]
    move = decide_action(attrs.evolve(situation, replies=opinions))
    case.assertEqual(move, Wait("better_member"))


def test_leader_that_others_reach_stays(case, situation):
    """Guards against a cut-off member that deposes a sound leader."""
    leader = Leader(3, MEMBERS[0])
    opinions = [opinion(MEMBERS[2], leader), *situation.replies[1:]]
    move = decide_action(attrs.evolve(situation, replies=opinions))
    case.assertEqual(move, Wait("leader_lives"))


def test_leader_that_answers_is_followed(case, situation):
    """Guards against two leaders after a member missed the announcement."""
    leader = Leader(4, MEMBERS[2])
    opinions = [opinion(MEMBERS[2], leader), *situation.replies[1:]]
    move = decide_action(attrs.evolve(situation, replies=opinions))
    case.assertEqual(move, Follow(leader))


def test_minority_waits_for_the_row(case, situation):
    """Guards against leading the site from the small side of a cut."""
    cut = attrs.evolve(situation, replies=[opinion(MEMBERS[2])])
    case.assertEqual(decide_action(cut), Wait("machine_cut_off"))
    zone = attrs.evolve(cut, other_zones_reachable=False)
    case.assertEqual(decide_action(zone), Lead(is_partial=True))
    stale = attrs.evolve(cut, row_age_s=3.0)
    case.assertEqual(decide_action(stale), Lead(is_partial=False))


def test_zone_leader_is_not_followed_by_other_zones(case, situation):
    """Guards against offers to a member that serves another zone only."""
    leader = Leader(4, MEMBERS[3], is_partial=True)
    opinions = [*situation.replies[:1], opinion(MEMBERS[3], leader)]
    move = decide_action(attrs.evolve(situation, replies=opinions))
    case.assertEqual(move, Lead(is_partial=False))


def test_first_start_is_settled_by_the_row(case, situation):
    """Guards against several leaders when all processes start together."""
    alone = attrs.evolve(situation, other_members=(), replies=[])
    case.assertEqual(decide_action(alone), ClaimRow())
    begins = attrs.evolve(
        situation,
        other_members=(MEMBERS[2],),
        replies=[opinion(MEMBERS[2])],
        row_age_s=0.01,
        row_leader=MEMBERS[2],
    )
    case.assertEqual(decide_action(begins), Wait("leader_begins"))


def test_nobody_leads_while_stopping(case, situation):
    """Guards against a leader that is about to leave."""
    leaving = attrs.evolve(
        situation,
        can_lead=False,
        replies=[opinion(m, can_lead=False) for m in MEMBERS[2:]],
    )
    case.assertEqual(decide_action(leaving), Wait("nobody_able"))


def test_members_of_one_term_have_different_fences(case):
    """Guards against two leaders of one term that targets can't tell apart."""
    fences = {Leader(3, m).fence for m in MEMBERS}
    case.assertEqual(len(fences), len(MEMBERS))
    case.assertLess(max(fences), min(Leader(4, m).fence for m in MEMBERS))
