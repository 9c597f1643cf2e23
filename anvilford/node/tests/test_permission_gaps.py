"""Tests of messages that bring a permission back after it has ended."""

import asyncio
import socket
import time
from unittest import mock

import attrs
from expression import Error
from expression import Ok

from anvilford.http1 import HttpListener
from anvilford.http1 import ListenerLimits
from anvilford.http1 import Request
from anvilford.leadership import Leader
from anvilford.node import _clock as clock
from anvilford.node._callers import CallerRequestHandler
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._main import EntryNode
from anvilford.node._progress import LoopProgress
from anvilford.node.tests.test_permissions import LOCAL_MEMBER
from anvilford.node.tests.test_permissions import make_offer
from anvilford.node.tests.test_permissions import node
from anvilford.node.tests.test_permissions import OTHER_MEMBER
from anvilford.node.tests.test_permissions import RESUBMIT_PAUSE_S
from anvilford.peers import PeerLost
from anvilford.placement import CrashHistory
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.protocol import Heartbeat
from anvilford.protocol import WithdrawJob
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)
assert node


def lead(node):
    """Lets the node lead, with the other member as its follower."""
    coordinator = node.coordinator
    coordinator.membership.members = (LOCAL_MEMBER, OTHER_MEMBER)
    coordinator._start_leading(Leader(3, LOCAL_MEMBER))
    return coordinator


async def beat(coordinator, answered_at, until, jobs=(), number=0):
    """Sends heartbeats of the other member; returns the last answer's time."""
    while True:
        reply = coordinator.receive_heartbeat(
            Heartbeat(
                OTHER_MEMBER,
                0,
                answered_at=answered_at,
                unanswered_jobs=jobs,
                number=number,
            )
        )
        answered_at = reply.sent_at
        coordinator._expire_members(clock.now())
        if clock.now() >= until:
            return answered_at
        await asyncio.sleep(0.1)


def send(node, message):
    """Handles a message as if it had been received from the other member."""
    return asyncio.ensure_future(
        EntryNode._handle_peer_message(node, mock.Mock(), message)
    )


def test_offer_that_arrives_after_its_end_is_started(case, node):
    """Guards against runs without a caller that heartbeats keep alive.

    The offers were held back with their connection, which the entry replaced.
    What it sent later came by the new one: the withdrawal of a job, the loss
    of a caller, and the first heartbeat after a restart.
    """

    async def scenario():
        coordinator = lead(node)
        answered_at = await beat(coordinator, 0.0, 0.0)
        await asyncio.sleep(0.02)
        offers = [
            attrs.evolve(
                make_offer(answered_at=answered_at), job_id=f"{number:016x}"
            )
            for number in range(3)
        ]
        await beat(coordinator, answered_at, clock.now() + 0.2, number=1)
        await send(node, WithdrawJob(offers[0].job_id, OTHER_MEMBER.name))
        answered_at = await beat(
            coordinator, answered_at, 0.0, jobs=(offers[1].job_id,), number=2
        )
        placed = [send(node, offer) for offer in offers[:2]]
        await asyncio.sleep(0.05)
        restarted = attrs.evolve(OTHER_MEMBER, token="t2")
        coordinator.receive_heartbeat(Heartbeat(restarted, 0))
        placed.append(send(node, offers[2]))
        await asyncio.sleep(0.05)
        started = {
            start.task.partition(".")[0] for start in node.targets.starts
        }
        for offer, cause in zip(
            offers, ("withdrawn", "reported", "restarted"), strict=True
        ):
            with case.subTest(cause=cause):
                case.assertNotIn(offer.job_id, started)
        coordinator._close_driver()
        await asyncio.gather(*placed)

    asyncio.run(scenario())


def test_job_goes_on_when_its_entry_returns_from_another_leader(case, node):
    """Guards against a run beside that of the leader in between.

    The entry had an answer of that leader, so it names none of this one, and is
    back before the job was stopped. The other leader starts it 1.2 s after
    it was offered there.
    """

    async def scenario():
        coordinator = lead(node)
        answered_at = await beat(coordinator, 0.0, 0.0)
        await asyncio.sleep(0.02)
        answered_at = await beat(coordinator, answered_at, 0.0)
        left_at = clock.now()
        placed = send(node, make_offer(answered_at=answered_at))
        while clock.now() < left_at + 0.48:
            await asyncio.sleep(0.04)
            coordinator._expire_members(clock.now())
        case.assertEqual(len(node.targets.starts), 1)
        await beat(coordinator, 0.0, left_at + 1.0)
        (target,) = coordinator.driver.placer.fleet.targets.values()
        case.assertLess(target.lease_end, left_at + RESUBMIT_PAUSE_S)
        coordinator._close_driver()
        await placed

    asyncio.run(scenario())


def test_offer_hides_that_a_caller_was_lost_before(case, node):
    """Guards against leases by an answer to a heartbeat without the report.

    The heartbeat was sent just before the caller was lost, and answered 0.2 s
    later. The next one, with the report, is lost.
    """

    async def scenario():
        coordinator = lead(node)
        answered_at = await beat(coordinator, 0.0, 0.0)
        await asyncio.sleep(0.02)
        answered_at = await beat(coordinator, answered_at, 0.0)
        first = send(node, make_offer(answered_at=answered_at))
        lost_at = clock.now()
        while clock.now() < lost_at + 0.2:
            await asyncio.sleep(0.04)
            coordinator._expire_members(clock.now())
        reply = coordinator.receive_heartbeat(
            Heartbeat(OTHER_MEMBER, 0, answered_at=answered_at)
        )
        await asyncio.sleep(0.02)
        other = attrs.evolve(
            make_offer(answered_at=reply.sent_at), job_id="00000000000000a2"
        )
        second = send(node, other)
        while clock.now() < lost_at + 0.8:
            await asyncio.sleep(0.04)
            coordinator._expire_members(clock.now())
        (target,) = coordinator.driver.placer.fleet.targets.values()
        case.assertLess(target.lease_end, lost_at + RESUBMIT_PAUSE_S)
        coordinator._close_driver()
        await asyncio.gather(first, second)

    asyncio.run(scenario())


def test_job_that_came_again_is_reported_as_lost(case):
    """Guards against status 504 for a caller that waits.

    The caller got no result at first, and has sent the job again. A leader that
    raises its token gets the reports of the last seconds again.
    """

    async def scenario():
        heartbeats = []
        outcomes = [Outcome(OutcomeKind.LOST, "entry_silent")]

        async def call(address, message, timeout_s):
            del address
            if isinstance(message, Heartbeat):
                heartbeats.append(message)
            elif outcomes:
                return Ok(outcomes.pop())
            else:
                await asyncio.sleep(timeout_s)
            return Error(PeerLost())

        links = mock.Mock(call=call)
        coordinator = LeadershipCoordinator(
            LOCAL_MEMBER,
            links,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            Counters(),
            mock.Mock(),
            mock.AsyncMock(),
            mock.AsyncMock(),
            CrashHistory(),
        )
        leader = Leader(3, OTHER_MEMBER)
        coordinator._set_leader(leader)
        coordinator._last_answer = (OTHER_MEMBER.token, clock.now())
        coordinator._last_answer_received_at = clock.now()
        handler = CallerRequestHandler(
            LOCAL_MEMBER.name, mock.Mock(), coordinator, links, Counters()
        )
        offer = make_offer()

        def submit():
            disconnected = asyncio.get_running_loop().create_future()
            request = Request("POST", "/", {}, b"", disconnected, clock.now())
            route = mock.Mock(policy=offer.policy)
            return asyncio.ensure_future(
                handler._place_until_deadline(
                    request, route, offer.job_id, offer.spec
                )
            )

        case.assertEqual((await submit()).status, 504)
        again = submit()
        await asyncio.sleep(0.05)
        await coordinator._call_leader(Leader(4, OTHER_MEMBER))
        again.cancel()
        case.assertEqual(heartbeats[-1].unanswered_jobs, ())

    asyncio.run(scenario())


def test_request_that_was_read_late_is_offered(case):
    """Guards against a run for a caller that has given up unseen.

    The process was suspended. The caller neither closed its connection, nor did
    it wait any longer when the request was read.
    """

    async def scenario():
        coordinator = mock.Mock(
            leader=Leader(2, LOCAL_MEMBER),
            local_member=LOCAL_MEMBER,
            leader_is_unresponsive=False,
            leader_hears_site=True,
            fence=1,
        )
        offers = []

        def place(offer):
            offers.append(offer)
            return asyncio.Future()

        coordinator.driver.place = place
        site = mock.Mock()
        site.routing_table.find_route.return_value = mock.Mock(
            policy=make_offer().policy, path_prefix="/jobs/", needs_advice=False
        )
        handler = CallerRequestHandler(
            LOCAL_MEMBER.name, site, coordinator, mock.Mock(), Counters()
        )
        with LoopProgress() as progress:
            listener = HttpListener(
                "127.0.0.1:0",
                handler.handle,
                ListenerLimits(),
                progress.earliest_arrival,
            )
            await submit(listener)
        case.assertEqual([offer.remaining for offer in offers], [])

    async def submit(listener):
        body = b'{"spec":"x","best_effort":true,"steps":[{"count":1,"cpu":500,"estimate_ms":9}]}'
        head = (
            "POST /jobs/00000000000000a1 HTTP/1.1\r\nHost: a\r\n"
            "X-Anvilford-Deadline-Ms: 500\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        async with listener:
            await asyncio.sleep(0.1)
            host, _, port = listener.address.rpartition(":")
            with socket.create_connection((host, int(port))) as caller:
                caller.sendall(head.encode() + body)
                time.sleep(1.0)  # noqa: ASYNC251
                await asyncio.sleep(0.2)

    asyncio.run(scenario())


def test_job_is_reported_for_the_first_of_two_requests(case):
    """Guards against status 504 for a caller that waits.

    The entry has not noticed that the first connection is gone. The offer for
    the second request replaces that for the first one, whose answer is 504.
    """

    async def scenario():
        heartbeats, offers = [], []

        async def call(address, message, timeout_s):
            del address, timeout_s
            if isinstance(message, Heartbeat):
                heartbeats.append(message)
                return Error(PeerLost())
            for replaced in offers:
                replaced.set_result(Outcome(OutcomeKind.LOST, "offered_again"))
            offers.append(asyncio.get_running_loop().create_future())
            return Ok(await offers[-1])

        links = mock.Mock(call=call)
        coordinator = LeadershipCoordinator(
            LOCAL_MEMBER,
            links,
            mock.Mock(),
            mock.Mock(),
            mock.Mock(),
            Counters(),
            mock.Mock(),
            mock.AsyncMock(),
            mock.AsyncMock(),
            CrashHistory(),
        )
        leader = Leader(3, OTHER_MEMBER)
        coordinator._set_leader(leader)
        coordinator._last_answer = (OTHER_MEMBER.token, clock.now())
        coordinator._last_answer_received_at = clock.now()
        handler = CallerRequestHandler(
            LOCAL_MEMBER.name, mock.Mock(), coordinator, links, Counters()
        )
        offer = make_offer()
        site = handler.site
        site.routing_table.find_route.return_value = mock.Mock(
            policy=offer.policy, path_prefix="/jobs/", needs_advice=False
        )

        def submit():
            disconnected = asyncio.get_running_loop().create_future()
            body = b'{"best_effort":true,"steps":[{"count":1,"estimate_ms":9}]}'
            request = Request(
                "POST",
                "/jobs/" + offer.job_id,
                {},
                body,
                disconnected,
                clock.now(),
            )
            return asyncio.ensure_future(handler.handle(request))

        first = submit()
        await asyncio.sleep(0.02)
        second = submit()
        case.assertEqual((await first).status, 504)
        await coordinator._call_leader(leader)
        case.assertFalse(second.done())
        second.cancel()
        case.assertEqual(heartbeats[-1].unanswered_jobs, ())

    asyncio.run(scenario())
