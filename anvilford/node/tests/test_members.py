"""Tests of the heartbeats that the leader receives."""

import attrs

from anvilford.leadership import Member
from anvilford.node._members import HeartbeatTracker
from anvilford.node._members import MEMBER_CHECK_INTERVAL_S
from anvilford.node._members import MEMBER_LIVE_TIMEOUT_S
from anvilford.node._members import MEMBER_RETENTION_S
from anvilford.node._members import MEMBER_SILENT_AFTER_S
from anvilford.order_model import PlacementSimulation
from anvilford.placement import PlacementOptions
from anvilford.placement import PROOF_TIMEOUT_S
from anvilford.placement._fleet import STOP_RETRY_S
from anvilford.placement._target_list import GONE_FOR_GOOD_S
from anvilford.placement.tests._shared import make_target
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

LEADER = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")
OTHER = Member("entry-1", "b", "127.0.0.1:2", 1.0, "t1")


@fixture
def heartbeats():
    """Tracker of a leader that has led since the time 0."""
    tracker = HeartbeatTracker(LEADER)
    tracker.reset([LEADER, OTHER], 0.0)
    yield tracker


def test_heartbeats_that_are_read_late_keep_no_jobs(case, heartbeats):
    """A leader that was held up must not take old heartbeats for new ones.

    The member left for another leader after 0.1 s. This leader stood still
    until 0.45 s, which is too short for a step down, then read the heartbeat
    and would have kept the member's runs alive until 2.07 s. Another placer
    starts their tasks from 1.9 s on.
    """
    heartbeats.record_heartbeat(OTHER, 0.45, 0.0)
    heartbeats.expire(0.5)
    case.assertIn(OTHER.name, heartbeats.live_names)
    heartbeats.expire(0.8)
    case.assertNotIn(OTHER.name, heartbeats.live_names)


def test_answered_heartbeats_keep_a_member_live(case, heartbeats):
    """A member that gets its answers late, but in time, must stay live.

    Its jobs would be given up although it waits for them.
    """
    answered_at = 0.0
    for step in range(1, 40):
        now = step * 0.3  # 0.15 s of interval, and as much on the way.
        heartbeats.expire(now)
        case.assertIn(OTHER.name, heartbeats.live_names)
        heartbeats.record_heartbeat(OTHER, now, answered_at)
        answered_at = now


def test_returning_member_is_live(case, heartbeats):
    """A member that comes back has no answer yet, but must count as live."""
    heartbeats.expire(2.0)
    case.assertNotIn(OTHER.name, heartbeats.live_names)
    heartbeats.record_heartbeat(OTHER, 2.1, 0.0)
    heartbeats.expire(2.2)
    case.assertIn(OTHER.name, heartbeats.live_names)


def test_runs_of_members_that_left_end_in_time(case):
    """The times after which two placers go by each other must fit together.

    Leases end with the permission of the member. Its jobs are stopped so early
    that a stop can be repeated before.
    """
    options = PlacementOptions()
    stopped = PROOF_TIMEOUT_S + MEMBER_CHECK_INTERVAL_S + 2 * STOP_RETRY_S
    case.assertLess(stopped + options.stop_time, options.permission_lifetime)
    case.assertLess(options.permission_lifetime, options.resubmit_pause)
    case.assertLess(MEMBER_LIVE_TIMEOUT_S, PROOF_TIMEOUT_S)


def test_leader_that_was_cut_off_takes_itself_for_connected(case, heartbeats):
    """Guards against jobs that are kept for callers who went elsewhere.

    Callers send a job again 1.3 s after their connection broke; the entries
    learn it from the next heartbeat, and the jobs end soon after.
    """
    heartbeats.record_heartbeat(OTHER, 1.0, 0.9)
    heartbeats.expire(1.0 + MEMBER_SILENT_AFTER_S)
    case.assertTrue(heartbeats.hears_site)
    heartbeats.expire(1.01 + MEMBER_SILENT_AFTER_S)
    case.assertFalse(heartbeats.hears_site)
    case.assertLess(MEMBER_SILENT_AFTER_S, MEMBER_LIVE_TIMEOUT_S)
    heartbeats.record_heartbeat(OTHER, 2.0, 0.9)
    heartbeats.expire(2.01)
    case.assertTrue(heartbeats.hears_site)


def test_leader_that_misses_a_member_takes_itself_for_connected(case):
    """Guards against jobs that are kept for callers who went to that member.

    Its zone may be cut off and have a leader of its own. That member may also
    lead its zone alone, although others of the zone are heard.
    """
    members = [LEADER, OTHER, attrs.evolve(OTHER, name="entry-2", zone="c")]
    members += [attrs.evolve(OTHER, name="entry-3")]
    heartbeats = HeartbeatTracker(LEADER)
    heartbeats.reset(members, 0.0)
    now = 1.0
    for missing, expected in ((None, True), (3, False), (2, False)):
        now += 1.0
        for number, member in enumerate(members):
            if number != missing:
                heartbeats.record_heartbeat(member, now, now)
        heartbeats.expire(now + 0.01)
        case.assertIs(heartbeats.hears_site, expected)


def cut_members_off(
    heard_zones: str,
    controls_zone=lambda zone: True,
    contested: bool = False,
    lost: tuple[str, ...] = (),
) -> HeartbeatTracker:
    """Returns a tracker that heard only some of nine members for 45 s.

    The leader, entry-0, and entry-1 and entry-2 are in zone "a", and two each in
    "b", "c" and "d".

    Args:
        heard_zones: Zones whose members send heartbeats.
        controls_zone: As for `HeartbeatTracker.forget_lost_members`.
        contested: Whether targets obey another leader every 10 s.
        lost: Names of members in these zones that send none all the same.
    """
    members = [LEADER] + [
        attrs.evolve(OTHER, name=f"entry-{number}", zone=zone)
        for number, zone in enumerate("aabbccdd", 1)
    ]
    heartbeats = HeartbeatTracker(LEADER)
    heartbeats.reset(members, 0.0)
    for step in range(1, int(3 * MEMBER_RETENTION_S / MEMBER_CHECK_INTERVAL_S)):
        now = step * MEMBER_CHECK_INTERVAL_S
        for member in members[1:]:
            if member.zone in heard_zones and member.name not in lost:
                heartbeats.record_heartbeat(member, now, now)
        if contested and step % 200 == 0:
            heartbeats.contested_at = now
        heartbeats.expire(now)
        heartbeats.forget_lost_members(now, controls_zone)
    return heartbeats


def test_cut_off_leader_becomes_a_majority_of_itself(case):
    """Guards against a minority that forgets all others in a long cut.

    Its leader took itself for one that hears the site, kept jobs of callers who
    had gone to the other side, and took the targets back after the cut.
    """
    heartbeats = cut_members_off("a")
    case.assertFalse(heartbeats.has_majority)
    case.assertFalse(heartbeats.hears_site)
    case.assertEqual(len(heartbeats.known_members()), 9)


def test_leader_forgets_a_zone_that_was_cut_off(case):
    """Guards against jobs that are kept for callers who went to that zone.

    Most members are heard, but those of the zone may have a leader of their own
    for the targets there, which this leader does not reach, or not know any more.
    """
    for control in (False, None):
        heartbeats = cut_members_off("abc", {"d": control}.get)
        case.assertFalse(heartbeats.hears_site)
        case.assertTrue(heartbeats.has_majority)
        case.assertEqual(len(heartbeats.known_members()), 9)


def test_leader_forgets_a_member_that_leads_its_zone(case):
    """Guards against the same for one entry that takes the targets by turns.

    Whenever this leader has just taken them back, all of them obey it.
    """
    heartbeats = cut_members_off("abcd", contested=True, lost=("entry-8",))
    case.assertFalse(heartbeats.hears_site)
    case.assertEqual(len(heartbeats.known_members()), 9)


def test_members_that_are_gone_count_for_ever(case):
    """Guards against a site that never hears all members again.

    The targets of their zone obey this leader, or there are none and another
    member of the zone is heard.
    """
    for heard_zones, control, lost in (
        ("abcd", True, ("entry-8",)),
        ("abcd", None, ("entry-8",)),
        ("abc", True, ("entry-7", "entry-8")),
    ):
        heartbeats = cut_members_off(
            heard_zones, lambda _, c=control: c, lost=lost
        )
        names = {member.name for member in heartbeats.known_members()}
        case.assertEqual(len(names), 9 - len(lost))
        case.assertFalse(names.intersection(lost))
        case.assertTrue(heartbeats.hears_site)


def test_member_and_target_that_are_gone_keep_each_other_for_ever(case):
    """Guards against a site that never hears all members again.

    A target that is off the list was kept while a member was missing, and the
    member while not all targets of its zone obeyed the leader. Before the limit,
    both may be in a part of the zone that is cut off.
    """
    zone = make_target("kept").record.zone
    lost = attrs.evolve(OTHER, zone=zone)
    heard = [
        attrs.evolve(OTHER, name=f"entry-{n}", zone=zone) for n in (2, 3, 4)
    ]
    heartbeats = HeartbeatTracker(LEADER)
    heartbeats.reset([LEADER, lost, *heard], 0.0)
    site = PlacementSimulation([make_target("kept"), make_target("gone")])
    placer = site.add_placer("p", 1)
    site.run(0.1)
    site.faults.partitioned_pairs.add(("p", "gone"))
    placer.apply_target_list([site.targets["kept"].record], [], 0.1)
    known = {}
    while site.now < GONE_FOR_GOOD_S + 60.0:
        site.run(site.now + MEMBER_CHECK_INTERVAL_S)
        for member in heard:
            heartbeats.record_heartbeat(member, site.now, site.now)
        heartbeats.expire(site.now)
        if not heartbeats.hears_site:
            placer.record_missing_members(site.now)
        heartbeats.forget_lost_members(
            site.now, lambda zone: placer.fleet.controls_zone(zone, site.now)
        )
        known[int(site.now)] = lost in heartbeats.known_members()
    case.assertTrue(known[int(GONE_FOR_GOOD_S) - 1])
    case.assertTrue(heartbeats.hears_site)
    case.assertNotIn("gone", placer.fleet.targets)


def test_members_are_forgotten_as_soon_as_their_targets_are_back(case):
    """Guards against a leader that forgets members at the end of a cut.

    The targets of their zone answer at once, and they follow a second later.
    """
    zone = make_target("t").record.zone
    lost = attrs.evolve(OTHER, zone=zone)
    heard = [attrs.evolve(OTHER, name=f"entry-{n}") for n in (2, 3, 4)]
    heartbeats = HeartbeatTracker(LEADER)
    heartbeats.reset([LEADER, lost, *heard], 0.0)
    site = PlacementSimulation([make_target("t")])
    placer = site.add_placer("p", 1)
    site.run(0.1)
    site.faults.partitioned_pairs.add(("p", "t"))
    placer.apply_target_list([], [], 4.5)
    known = {}
    while site.now < 30.0:
        site.run(site.now + MEMBER_CHECK_INTERVAL_S)
        if site.now > 18.0:
            site.faults.partitioned_pairs.clear()
            site.list_targets("p")
        for member in heard:
            heartbeats.record_heartbeat(member, site.now, site.now)
        heartbeats.expire(site.now)
        if not heartbeats.hears_site:
            placer.record_missing_members(site.now)
        heartbeats.forget_lost_members(
            site.now, lambda zone: placer.fleet.controls_zone(zone, site.now)
        )
        known[int(site.now)] = lost in heartbeats.known_members()
    case.assertTrue(known[20])
    case.assertFalse(known[29])
