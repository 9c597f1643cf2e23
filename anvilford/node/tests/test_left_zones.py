"""Tests of a leader that leaves lost targets to the leader of a zone."""

import asyncio

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._coordination import LEFT_ZONES_RETRY_S
from anvilford.node._members import MEMBER_LIVE_TIMEOUT_S
from anvilford.node.tests.test_coordination import coordinator
from anvilford.node.tests.test_coordination import LOCAL_MEMBER
from anvilford.node.tests.test_coordination import run_for
from anvilford.protocol import Heartbeat
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["coordinator", "load_tests"]

SILENT_MEMBER = Member("entry-9", "c", "127.0.0.1:9", 1.0, "t9")


def lead_with_silent_zone(coordinator) -> None:
    """Leads a site with members in zone "b" and a silent one in zone "c"."""
    others = [
        Member(f"entry-{n}", "b", f"127.0.0.1:{n}", 1.0, f"t{n}")
        for n in range(4, 8)
    ]
    coordinator.membership.members = (LOCAL_MEMBER, *others, SILENT_MEMBER)
    coordinator._start_leading(Leader(2, LOCAL_MEMBER))
    last_heard = clock.now() - MEMBER_LIVE_TIMEOUT_S - 0.1
    coordinator.heartbeats.record_heartbeat(SILENT_MEMBER, last_heard, 0.0)


async def lose_targets(coordinator, zones, was_owned=True) -> None:
    """Loses targets in the given zones and waits until that was handled."""
    coordinator.driver.fenced_zones.return_value = set(zones)
    coordinator.on_fence_lost(coordinator.driver, was_owned)
    coordinator._raise_fence_at = clock.now()
    await coordinator._lead_step()


def test_targets_of_a_silent_zone_are_claimed_in_turn(case, coordinator):
    """Guards against leaders that take the targets of a zone in turn.

    The entries of the zone were cut off, but not its targets. The leader of the
    site claimed them again a second after each loss.
    """

    async def scenario():
        lead_with_silent_zone(coordinator)
        await lose_targets(coordinator, {"c"})
        await run_for(coordinator, 0.2)

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(2, LOCAL_MEMBER))
    case.assertTrue(coordinator.has_written_row)


def test_lost_targets_stay_with_a_leader_that_is_gone(case, coordinator):
    """Guards against targets that nobody uses for as long as a leader lives.

    They are claimed if they are in a zone with a member that is heard, if the
    higher token may be that of an earlier leader, if no entry of the zone has
    come back for long, and at once if one does.
    """

    async def lead_after(zones, was_owned, waited_s, returns):
        coordinator._close_driver()
        coordinator._set_leader(None)
        lead_with_silent_zone(coordinator)
        await lose_targets(coordinator, zones, was_owned)
        coordinator._claims_left_zones_at -= waited_s
        if returns:
            coordinator.receive_heartbeat(Heartbeat(SILENT_MEMBER, 0))
        await coordinator._lead_step()
        return coordinator.leader.term

    async def scenario():
        for zones, was_owned, waited_s, returns in (
            ({"b", "c"}, True, 0.0, False),
            ({"c"}, False, 0.0, False),
            ({"c"}, True, LEFT_ZONES_RETRY_S, False),
            ({"c"}, True, 0.0, True),
        ):
            term = await lead_after(zones, was_owned, waited_s, returns)
            case.assertEqual(term, 3, (zones, was_owned, waited_s, returns))

    asyncio.run(scenario())


def test_raised_token_takes_targets_that_were_left(case, coordinator):
    """Guards against a turn each time that the token is raised otherwise."""

    async def scenario():
        lead_with_silent_zone(coordinator)
        await lose_targets(coordinator, {"c"})
        coordinator._raise_term()
        left_zones = coordinator.driver.raise_fence.call_args.args[1]
        case.assertEqual(left_zones, {"c"})
        await coordinator._lead_step()
        case.assertEqual(coordinator.leader, Leader(3, LOCAL_MEMBER))
        coordinator.receive_heartbeat(Heartbeat(SILENT_MEMBER, 0))
        await coordinator._lead_step()

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(4, LOCAL_MEMBER))
    case.assertFalse(coordinator.driver.raise_fence.call_args.args[1])


def test_targets_that_were_left_are_gone(case, coordinator):
    """Guards against claims for targets that are not there any more."""

    async def scenario():
        lead_with_silent_zone(coordinator)
        await lose_targets(coordinator, {"c"})
        coordinator.driver.fenced_zones.return_value = set()
        await coordinator._lead_step()
        await coordinator._lead_step()

    asyncio.run(scenario())
    case.assertEqual(coordinator.leader, Leader(2, LOCAL_MEMBER))
