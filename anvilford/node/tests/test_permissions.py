"""Tests of how long a leader may go by what an entry has told it."""

import asyncio
import random
from unittest import mock

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._driver import PlacerDriver
from anvilford.node._main import EntryNode
from anvilford.placement import Accepted
from anvilford.placement import CrashHistory
from anvilford.placement import JobSpec
from anvilford.placement import NoAnswer
from anvilford.placement import Offer
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement import Poll
from anvilford.placement import QueuePolicy
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import RunningTask
from anvilford.placement import StartRun
from anvilford.placement import StepSpec
from anvilford.placement import TargetRecord
from anvilford.protocol import Heartbeat
from anvilford.telemetry import Counters
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

LOCAL_MEMBER = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")
OTHER_MEMBER = Member("entry-1", "b", "127.0.0.1:2", 1.0, "t1")
# `retransmit_ms` of the users' sites.
RESUBMIT_PAUSE_S = 1.3
TARGET = TargetRecord(
    "r1", 3, "127.0.0.1:9", "a", "line", False, 0, Resources(8000), (), 1
)


class FakeTargets:
    """A target whose runs never end; it does not answer stops.

    Attributes:
        starts: Starts so far.
    """

    def __init__(self):
        self.starts: list[StartRun] = []

    async def start(self, address, order, timeout_s):
        """Records a start and accepts it."""
        del address, timeout_s
        self.starts.append(order)
        return Accepted(int(clock.now() * 1000))

    async def stop(self, address, order, timeout_s):
        """Does not answer, as if the target had just been cut off."""
        del address, order
        await asyncio.sleep(timeout_s)
        return NoAnswer()

    async def poll(self, address, order: Poll, timeout_s):
        """Reports the runs."""
        del address, timeout_s
        await asyncio.sleep(order.wait_ms / 1000)
        running = tuple(RunningTask(s.task, s.run, 10) for s in self.starts)
        clock_ms = int(clock.now() * 1000)
        return Report(clock_ms, running, (), TARGET.incarnation)


@fixture
def node():
    """Entry node that is to lead, with one modelled target."""
    targets = FakeTargets()
    site = mock.Mock(targets=(TARGET,), has_current_targets=True)
    site.recently_removed_targets.return_value = ()
    site.evacuations.names = frozenset()

    def create_driver(fence, is_partial):
        del is_partial
        return PlacerDriver(
            fence,
            PlacementOptions(),
            targets,
            Counters(),
            on_fence_lost=mock.Mock(),
            on_suspended=mock.Mock(),
            crashes=CrashHistory(),
        )

    node = mock.Mock(spec=EntryNode, targets=targets, crashes=CrashHistory())
    node.coordinator = LeadershipCoordinator(
        LOCAL_MEMBER,
        mock.Mock(),
        mock.Mock(),
        mock.Mock(read=mock.AsyncMock(return_value={})),
        site,
        Counters(),
        create_driver,
        mock.AsyncMock(),
        mock.AsyncMock(),
        node.crashes,
    )
    random.seed(1)
    yield node


def make_offer(**fields) -> Offer:
    """Returns an offer of the other member, of a job with one task."""
    step = StepSpec(1, Resources(1000), 50)
    policy = QueuePolicy("check", "line", 0, 3, 1.6, 60)
    spec = JobSpec("", (step,))
    return Offer(
        "00000000000000a1",
        OTHER_MEMBER.name,
        policy,
        spec,
        0.0,
        1.5,
        process=OTHER_MEMBER.token,
        **fields,
    )


def test_offer_that_is_read_late_is_started_beside_the_next_leader(case, node):
    """Guards against a second run of a job that its entry has offered elsewhere.

    The network held the offer back, as it may for the whole of a cut. The entry
    lost the leader meanwhile, and another one runs the job.
    """

    async def scenario():
        coordinator = node.coordinator
        coordinator.membership.members = (LOCAL_MEMBER, OTHER_MEMBER)
        coordinator._start_leading(Leader(3, LOCAL_MEMBER))
        coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        await asyncio.sleep(0.05)
        later = clock.now() + 3.0
        with mock.patch.object(clock, "now", return_value=later):
            # The leader has gone on meanwhile.
            coordinator.driver._clock_read_at = later
            coordinator._expire_members(later)
            placed = asyncio.ensure_future(
                EntryNode._handle_peer_message(
                    node, mock.Mock(), make_offer(fence=coordinator.fence)
                )
            )
            await asyncio.wait((placed,), timeout=0.05)
        case.assertEqual(node.targets.starts, [])
        case.assertTrue(placed.done())
        case.assertEqual(placed.result().kind, OutcomeKind.MOVED)
        coordinator._close_driver()

    asyncio.run(scenario())


def test_run_outlives_the_pause_of_its_caller(case, node):
    """Guards against a run that goes on when its caller may send the job again.

    The connection of the caller broke when its entry was cut off. The leader
    extended the lease until it missed the entry, and could not stop the run.
    """

    async def scenario():
        coordinator = node.coordinator
        coordinator.membership.members = (LOCAL_MEMBER, OTHER_MEMBER)
        coordinator._start_leading(Leader(3, LOCAL_MEMBER))
        reply = coordinator.receive_heartbeat(Heartbeat(OTHER_MEMBER, 0))
        lost_at = clock.now()
        coordinator.receive_heartbeat(
            Heartbeat(OTHER_MEMBER, 0, answered_at=reply.sent_at)
        )
        await asyncio.sleep(0.02)
        offer = make_offer(answered_at=reply.sent_at)
        placed = asyncio.ensure_future(
            EntryNode._handle_peer_message(node, mock.Mock(), offer)
        )
        while clock.now() < lost_at + 0.9:
            await asyncio.sleep(0.05)
            coordinator._expire_members(clock.now())
        case.assertEqual(len(node.targets.starts), 1)
        (target,) = coordinator.driver.placer.fleet.targets.values()
        case.assertGreater(target.lease_end, lost_at + 0.8)
        case.assertLess(target.lease_end, lost_at + RESUBMIT_PAUSE_S)
        coordinator._close_driver()
        await placed

    asyncio.run(scenario())


def test_placement_of_a_caller_that_left_goes_on(case, node):
    """Guards against offers of a job whose request has been answered.

    The caller left in the moment in which the leader changed. The placement
    lost its cancellation, and offered the job to each leader from then on.
    """

    async def scenario():
        coordinator = node.coordinator
        waiting = asyncio.ensure_future(coordinator.wait_for_leader_change(1.0))
        await asyncio.sleep(0.01)
        coordinator._wake_waiting_offers()
        waiting.cancel()
        await asyncio.wait((waiting,))
        case.assertTrue(waiting.cancelled())

    asyncio.run(scenario())
