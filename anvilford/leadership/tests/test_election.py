"""Tests of the election rules."""

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
    """Returns a member whose address is its name."""
    return Member(name, zone, name, cores, "token-" + name)


MEMBERS = [member(f"m{n}", "ab"[n // 3]) for n in range(5)]


def reply(sender: Member, leader: Leader | None = None, can_lead: bool = True):
    """Returns a reply to a leader query; without a leader, it reaches none."""
    return Opinion(
        sender, 3, can_lead, leader is not None, leader or Leader(0, sender)
    )


@fixture
def state():
    """State of `m1`, which lost the leader `m0`, as did `m2` to `m4`.

    `m0` to `m2` are in zone a, `m3` and `m4` in zone b.
    """
    yield ElectionState(
        MEMBERS[1],
        True,
        3,
        MEMBERS,
        [reply(m) for m in MEMBERS[2:]],
        True,
        0.7,
        True,
    )


def test_best_member_of_a_majority_leads(case, state):
    """With a majority, the preferred candidate leads without the store.

    If the row had to be written first, the site would have no leader while
    the store is slow or unreachable.
    """
    case.assertEqual(decide_action(state), Lead(is_partial=False))
    no_store = attrs.evolve(state, store_reachable=False)
    case.assertEqual(decide_action(no_store), Lead(is_partial=False))
    other = attrs.evolve(
        state,
        local_member=MEMBERS[3],
        replies=[reply(m) for m in (MEMBERS[1], MEMBERS[2], MEMBERS[4])],
    )
    case.assertEqual(decide_action(other), Wait("better_member"))


def test_larger_member_goes_first(case, state):
    """A candidate with more cores takes precedence.

    Otherwise a small machine might have to place the jobs of the whole site.
    """
    large = member("z", cores=2.0)
    replies = [*state.replies, reply(large)]
    action = decide_action(attrs.evolve(state, replies=replies))
    case.assertEqual(action, Wait("better_member"))


def test_leader_that_others_reach_stays(case, state):
    """No member leads while another member reaches the leader.

    Otherwise a member that is partitioned from a working leader would depose
    it.
    """
    leader = Leader(3, MEMBERS[0])
    replies = [reply(MEMBERS[2], leader), *state.replies[1:]]
    action = decide_action(attrs.evolve(state, replies=replies))
    case.assertEqual(action, Wait("leader_lives"))


def test_leader_that_answers_is_followed(case, state):
    """A member that replies as leader is followed.

    Otherwise a member that missed the leader's announcement would become a
    second leader.
    """
    leader = Leader(4, MEMBERS[2])
    replies = [reply(MEMBERS[2], leader), *state.replies[1:]]
    action = decide_action(attrs.evolve(state, replies=replies))
    case.assertEqual(action, Follow(leader))


def test_minority_waits_for_the_row(case, state):
    """A minority leads the site only after the leader's row is stale.

    Otherwise the smaller side of a network partition would lead the site. If
    no other zone can be reached, the minority leads its own zone.
    """
    minority = attrs.evolve(state, replies=[reply(MEMBERS[2])])
    case.assertEqual(decide_action(minority), Wait("machine_cut_off"))
    isolated_zone = attrs.evolve(minority, other_zones_reachable=False)
    case.assertEqual(decide_action(isolated_zone), Lead(is_partial=True))
    store_was_away = attrs.evolve(minority, row_age_s=3.0, row_unchanged_s=1.0)
    case.assertEqual(decide_action(store_was_away), Wait("machine_cut_off"))
    stale_row = attrs.evolve(minority, row_age_s=3.0, row_unchanged_s=3.0)
    by_row = Lead(is_partial=False, by_row=True)
    case.assertEqual(decide_action(stale_row), by_row)


def test_site_that_has_restarted_waits_for_no_majority(case, state):
    """Guards against a site without a leader until its slowest members start.

    After a loss of power, all members that answer are other processes than those
    in the row. One that has not restarted may follow a leader that lives.
    """
    before = [attrs.evolve(m, token="old-" + m.name) for m in MEMBERS]
    restarted = attrs.evolve(
        state,
        replies=[reply(MEMBERS[2]), reply(MEMBERS[3])],
        other_members=[*MEMBERS, *(member(f"o{n}") for n in range(3))],
        row_members=before,
    )
    by_row = Lead(is_partial=False, by_row=True)
    case.assertEqual(decide_action(restarted), by_row)
    for change, action in (
        ({"store_reachable": False}, Wait("machine_cut_off")),
        ({"other_zones_reachable": False}, Lead(is_partial=True)),
        ({"replies": [reply(MEMBERS[2])]}, Wait("machine_cut_off")),
        ({"row_members": [*before[:2], *MEMBERS[2:]]}, Wait("machine_cut_off")),
        ({"row_members": MEMBERS}, Wait("machine_cut_off")),
        ({"row_members": ()}, Wait("machine_cut_off")),
        (
            {"replies": [reply(MEMBERS[0]), reply(MEMBERS[2])]},
            Wait("better_member"),
        ),
    ):
        changed = attrs.evolve(restarted, **change)
        case.assertEqual(decide_action(changed), action, change)
    many = [member(f"n{n}") for n in range(20)]
    alone = attrs.evolve(restarted, row_members=[*before, *many])
    case.assertEqual(decide_action(alone), Wait("machine_cut_off"))


def test_zone_leader_is_not_followed_by_other_zones(case, state):
    """A leader that serves only its own zone is ignored in other zones.

    Otherwise jobs would be offered to a member that cannot place them.
    """
    leader = Leader(4, MEMBERS[3], is_partial=True)
    replies = [*state.replies[:1], reply(MEMBERS[3], leader)]
    action = decide_action(attrs.evolve(state, replies=replies))
    case.assertEqual(action, Lead(is_partial=False))


def test_first_start_is_settled_by_the_row(case, state):
    """Without a known leader, the process that writes the row leads.

    Several processes that start together, none of which knows the others,
    would otherwise all lead. A member that has just written the row is given
    time to start leading.
    """
    alone = attrs.evolve(state, other_members=(), replies=[])
    case.assertEqual(decide_action(alone), ClaimRow())
    row_written = attrs.evolve(
        state,
        other_members=(MEMBERS[2],),
        replies=[reply(MEMBERS[2])],
        row_age_s=0.01,
        row_leader=MEMBERS[2],
    )
    case.assertEqual(decide_action(row_written), Wait("leader_begins"))


def test_nobody_leads_while_stopping(case, state):
    """Members that cannot lead, for example while stopping, are not elected.

    Otherwise the site would elect a leader that is about to stop.
    """
    leaving = attrs.evolve(
        state,
        can_lead=False,
        replies=[reply(m, can_lead=False) for m in MEMBERS[2:]],
    )
    case.assertEqual(decide_action(leaving), Wait("nobody_able"))


def test_members_of_one_term_have_different_fences(case):
    """Members that lead in the same term have different fencing tokens.

    With equal tokens, targets would accept orders from both of them. Tokens of
    the next term are higher than all of this term.
    """
    fences = {Leader(3, m).fence for m in MEMBERS}
    case.assertEqual(len(fences), len(MEMBERS))
    case.assertLess(max(fences), min(Leader(4, m).fence for m in MEMBERS))


def test_leaders_of_one_term_share_a_fence(case):
    """Guards against two leaders of one term that targets both obey."""
    names = [f"entry-{zone}-{n}" for zone in "abcdefghij" for n in range(30)]
    fences = {
        Leader(2, Member(name, "a", "127.0.0.1:1", 1.0, "t")).fence
        for name in names
    }
    case.assertEqual(len(fences), len(names))


def test_two_members_lead_in_one_term(case):
    """Both have a majority, since members that answer promise nothing.

    Known: a cut between two members leaves each with all others. Their tokens
    differ, so that targets obey one of them; this guards against equal ones.
    """
    shared = [reply(m) for m in MEMBERS[2:]]
    states = [
        ElectionState(m, True, 3, MEMBERS, shared, True, 0.7, True)
        for m in MEMBERS[:2]
    ]
    for state in states:
        case.assertEqual(decide_action(state), Lead(is_partial=False))
    first, second = (Leader(s.term + 1, s.local_member) for s in states)
    case.assertEqual(first.term, second.term)
    case.assertNotEqual(first.fence, second.fence)
