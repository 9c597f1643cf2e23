"""Tests of a member without a majority that probes the targets it would lead."""

import asyncio
from unittest import mock

import attrs

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node import _contest as contest
from anvilford.node._contest import Contest
from anvilford.node._contest import probe_targets
from anvilford.node._contest import PROBED_TARGETS
from anvilford.node.tests.test_coordination import coordinator
from anvilford.node.tests.test_coordination import LOCAL_MEMBER
from anvilford.node.tests.test_coordination import LOST_LEADER
from anvilford.node.tests.test_coordination import OTHER_MEMBER
from anvilford.node.tests.test_coordination import SEARCH_DURATION_S
from anvilford.placement import NoAnswer
from anvilford.placement import Refusal
from anvilford.placement import Refused
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import RunningTask
from anvilford.placement import RUNS_PER_FENCE
from anvilford.placement import TargetRecord
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)
__all__ = ["coordinator", "load_tests"]

OWN_FENCE = 3
PROBE_FENCE = 5
OTHER_FENCE = 7
WATCH_S = 0.3
TARGETS = [
    TargetRecord(
        f"t{n}", 1, f"127.0.0.1:{n}", "a", "s", False, 0, Resources(1000), (), 1
    )
    for n in range(2 * PROBED_TARGETS)
]


@attrs.define
class FakeTargets:
    """Targets that obey the highest token, and that another leader may use.

    Attributes:
        fence: Highest token before the probe.
        taken_back_after_s: Time after which another leader takes back what was
            claimed; None for never.
        runs: Numbers of the runs in progress on each target.
        is_silent: Whether they do not answer.
        orders: Polls received.
        claimed_at: Time of the first claim.
    """

    fence: int = OWN_FENCE
    taken_back_after_s: float | None = None
    runs: tuple[int, ...] = ()
    is_silent: bool = False
    orders: list = attrs.field(factory=list)
    claimed_at: float = 0.0

    async def poll(self, address, order, timeout):
        """Answers a poll."""
        del address, timeout
        self.orders.append(order)
        if self.is_silent:
            return NoAnswer()
        now = clock.now()
        self.claimed_at = self.claimed_at or now
        back_after = self.taken_back_after_s
        if back_after is not None and now - self.claimed_at > back_after:
            self.fence = OTHER_FENCE
        if order.fence < self.fence:
            return Refused(Refusal.FENCE, 0)
        return Report(
            0, tuple(RunningTask(f"job.{n}", n, 0) for n in self.runs), ()
        )


def test_probe_mistakes_a_higher_token_for_a_leader(case):
    """Guards against a wrong sign that another leader is at work.

    A token that was refused for the first time may be that of a leader that is
    gone, and runs may be those of the member itself.
    """
    own_run, other_run = (
        fence * RUNS_PER_FENCE + 1 for fence in (OWN_FENCE, OTHER_FENCE)
    )
    for targets, expected in (
        (FakeTargets(), Contest.FREE),
        (FakeTargets(runs=(own_run,)), Contest.FREE),
        (FakeTargets(runs=(own_run, other_run)), Contest.TAKEN),
        (FakeTargets(taken_back_after_s=WATCH_S / 3), Contest.TAKEN),
        (FakeTargets(fence=OTHER_FENCE), Contest.REFUSED),
        (FakeTargets(is_silent=True), Contest.UNANSWERED),
    ):
        with case.subTest(targets=targets):
            result = asyncio.run(
                probe_targets(
                    TARGETS, targets.poll, PROBE_FENCE, OWN_FENCE, WATCH_S
                )
            )
            case.assertIs(result, expected)
            for order in targets.orders:
                case.assertIsNone(order.deadline_ms)
                case.assertEqual(order.acknowledged, 0)
            probed = {order.target_id for order in targets.orders}
            case.assertEqual(len(probed), PROBED_TARGETS)
    no_targets = probe_targets([], FakeTargets().poll, PROBE_FENCE, 0, 0.0)
    case.assertIs(asyncio.run(no_targets), Contest.UNANSWERED)


@fixture
def cut_off(coordinator):
    """Coordinator of a member that will lead its zone, with short probes."""
    coordinator.search.probe_other_zones = mock.AsyncMock(return_value=False)
    coordinator.membership.members = (
        LOCAL_MEMBER,
        OTHER_MEMBER,
        LOST_LEADER.member,
        Member("entry-4", "c", "127.0.0.1:4", 1.0, "t4"),
        Member("entry-5", "c", "127.0.0.1:5", 1.0, "t5"),
    )
    with mock.patch.object(contest, "PROBE_INTERVAL_S", 0.3):
        yield coordinator


async def lead_zone(coordinator):
    """Runs the coordinator until it leads its zone; returns the main loop."""
    loop = asyncio.ensure_future(coordinator.run())
    await wait_until_leading(coordinator)
    return loop


async def wait_until_leading(coordinator):
    """Waits until the member leads its zone, for a few seconds at most."""
    async with asyncio.timeout(5.0):
        while coordinator.driver is None:
            await asyncio.sleep(0.01)


def test_zone_has_no_leader_once_the_other_one_is_gone(case, cut_off):
    """Guards against a zone that is left alone after its targets were lost.

    The other leader was cut off later, or a late order of an earlier leader had
    caused the loss. The next leader must claim above the tokens of the probes.
    """
    cut_off.contest.probe = mock.AsyncMock(
        side_effect=[Contest.TAKEN, Contest.REFUSED, Contest.FREE]
    )

    async def scenario():
        loop = await lead_zone(cut_off)
        lost = cut_off.leader
        cut_off.on_fence_lost(cut_off.driver)
        await wait_until_leading(cut_off)
        loop.cancel()
        return lost

    lost = asyncio.run(scenario())
    probes = [call.args for call in cut_off.contest.probe.call_args_list]
    case.assertEqual(len(probes), 3)
    fences = [fence for fence, *_ in probes]
    case.assertEqual(fences, sorted(set(fences)))
    for fence, own_fence, is_partial, watch_s in probes:
        case.assertLess(lost.fence, fence)
        case.assertLess(fence, cut_off.leader.fence)
        case.assertEqual(own_fence, lost.fence)
        case.assertTrue(is_partial)
        case.assertEqual(watch_s, contest.PROBE_WATCH_S)
    case.assertTrue(cut_off.leader.is_partial)
    case.assertGreaterEqual(cut_off.fence, cut_off.leader.fence)


def test_refused_claim_leaves_the_zone_alone(case, cut_off):
    """Guards against a wait after a token of a leader that is gone.

    The leader before the cut had a higher term than the members here knew.
    """
    cut_off.contest.probe = mock.AsyncMock(return_value=Contest.TAKEN)

    async def scenario():
        loop = await lead_zone(cut_off)
        term = cut_off.term
        cut_off.on_fence_lost(cut_off.driver, was_owned=False)
        case.assertIsNone(cut_off.driver)
        await asyncio.sleep(2 * SEARCH_DURATION_S)
        case.assertIsNotNone(cut_off.driver)
        case.assertGreater(cut_off.leader.term, term)
        loop.cancel()

    asyncio.run(scenario())
    case.assertEqual(cut_off.contest.probe.call_count, 0)


def test_loss_is_remembered_after_the_cut(case, cut_off):
    """Guards against a wait at the start of the next cut.

    The token of a leader of the site that raises it counts as its last one.
    """

    async def scenario():
        cut_off._start_leading(Leader(2, LOCAL_MEMBER))
        cut_off.on_fence_lost(cut_off.driver)
        case.assertTrue(cut_off.contest.has_lost)
        cut_off._raise_term()

    asyncio.run(scenario())
    case.assertFalse(cut_off.contest.has_lost)
    case.assertEqual(cut_off.contest.led_fence, Leader(3, LOCAL_MEMBER).fence)


def test_minority_leads_beside_a_leader_that_the_store_refuses(
    case, coordinator
):
    """Guards against a leader of the site beside that of the majority.

    The store refused the leader of the majority, whose row was stale for the
    minority. The two took all targets from each other in turn. Once the targets
    show no other leader, the minority leads, as its members may be all that is
    left.
    """
    coordinator.site.targets = tuple(TARGETS)
    coordinator.leader_row.unchanged_s = 60.0
    coordinator.membership.members = (
        LOCAL_MEMBER,
        OTHER_MEMBER,
        LOST_LEADER.member,
        Member("entry-4", "c", "127.0.0.1:4", 1.0, "t4"),
        Member("entry-5", "c", "127.0.0.1:5", 1.0, "t5"),
    )
    probe = coordinator.contest.probe = mock.AsyncMock(
        return_value=Contest.TAKEN
    )

    async def scenario():
        loop = asyncio.ensure_future(coordinator.run())
        await asyncio.sleep(2 * SEARCH_DURATION_S)
        case.assertIsNone(coordinator.driver)
        probe.return_value = Contest.FREE
        await wait_until_leading(coordinator)
        loop.cancel()

    with mock.patch.object(contest, "SITE_PROBE_INTERVAL_S", 0.3):
        asyncio.run(scenario())
    case.assertFalse(coordinator.leader.is_partial)
    for fence, own_fence, is_partial, watch_s in (
        call.args for call in probe.call_args_list
    ):
        case.assertLess(fence, coordinator.leader.fence)
        case.assertEqual((own_fence, is_partial, watch_s), (0, False, 0.0))


def test_probe_misses_the_only_target_in_use(case):
    """Guards against a leader beside one whose other targets are idle."""
    other_run = OTHER_FENCE * RUNS_PER_FENCE + 1

    async def poll(address, order, timeout):
        is_busy = address == TARGETS[-1].address
        targets = busy if is_busy else idle
        return await targets.poll(address, order, timeout)

    for _ in range(20):
        busy, idle = FakeTargets(runs=(other_run,)), FakeTargets()
        result = asyncio.run(probe_targets(TARGETS, poll, PROBE_FENCE, 0, 0.0))
        case.assertIs(result, Contest.TAKEN)
    busy = idle
    result = asyncio.run(probe_targets(TARGETS, poll, PROBE_FENCE, 0, 0.0))
    case.assertIs(result, Contest.FREE)
    busy = idle = FakeTargets(is_silent=True)
    result = asyncio.run(probe_targets(TARGETS, poll, PROBE_FENCE, 0, 0.0))
    case.assertIs(result, Contest.UNANSWERED)


def test_member_goes_over_to_the_lower_leader_of_a_term(case, coordinator):
    """Guards against claims that follow two leaders of one term.

    The member followed the one whose announcement came last. If that was the
    one with the lower token, it claimed all targets again, as the member had
    followed the other one.
    """
    leaders = [Leader(4, OTHER_MEMBER), Leader(4, LOST_LEADER.member)]
    lower, higher = sorted(leaders, key=lambda leader: leader.fence)

    async def scenario():
        for announced, expected in (
            (lower, lower),
            (higher, higher),
            (lower, higher),
            (attrs.evolve(lower, term=5), attrs.evolve(lower, term=5)),
        ):
            coordinator.receive_announcement(announced)
            case.assertEqual(coordinator.leader, expected)
        # The leader of the site goes before that of a zone.
        coordinator._follow(attrs.evolve(higher, term=6, is_partial=True))
        of_site = attrs.evolve(lower, term=6)
        coordinator.receive_announcement(of_site)
        case.assertEqual(coordinator.leader, of_site)

    asyncio.run(scenario())
