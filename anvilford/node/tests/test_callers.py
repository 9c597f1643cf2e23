"""Tests of callers whose connection or answer is lost while their job runs."""

import asyncio
import contextlib
from unittest import mock

import attrs
from expression import Error
from expression import Ok

from anvilford.http1 import Request
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._callers import CallerRequestHandler
from anvilford.node._job_reports import JobReports
from anvilford.peers import PeerLost
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement.tests._shared import CHECK
from anvilford.placement.tests._shared import job
from anvilford.platform import DEADLINE_HEADER
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)

# Time after which a job has been offered.
OFFER_TIME_S = 0.02
MEMBER = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")


async def lose_caller(
    is_partial: bool, hears_site: bool = True, is_noticed: bool = True
) -> tuple[float, mock.Mock]:
    """Resets the connection of a caller whose job does not end.

    Args:
        is_partial: Whether the leader serves only its zone.
        hears_site: Whether the leader hears members of all zones.
        is_noticed: Whether the entry notices the end of the connection. If not,
            the deadline of the caller is over after 0.2 s.

    Returns:
        Seconds until the entry has given the job up, and the double of the
        placer's driver.
    """
    coordinator = mock.Mock(
        leader=Leader(2, MEMBER, is_partial),
        local_member=MEMBER,
        leader_is_unresponsive=False,
        leader_hears_site=hears_site,
        fence=1,
        job_reports=JobReports(),
    )
    coordinator.driver.place = lambda offer: asyncio.Future()
    handler = CallerRequestHandler(
        MEMBER.name, mock.Mock(), coordinator, mock.Mock(), Counters()
    )
    headers = {} if is_noticed else {DEADLINE_HEADER: "200"}
    request = mock.Mock(spec=Request, headers=headers, arrived_at=clock.now())
    request.disconnected = asyncio.get_running_loop().create_future()
    if is_noticed:
        asyncio.get_running_loop().call_later(
            OFFER_TIME_S, request.disconnected.set_result, True
        )
    route = mock.Mock(policy=CHECK.policy)
    started_at = clock.now()
    arrival = job()
    await handler._place_until_deadline(
        request, route, arrival.job_id, arrival.spec
    )
    return clock.now() - started_at, coordinator.driver


def test_lost_caller_keeps_its_job_in_a_cut_off_zone(case):
    """Guards against a second run when the caller goes to another zone.

    A caller resubmits after 1.3 s. An entry outside does not know of the run
    that the leader of the zone continues.
    """
    seconds, driver = asyncio.run(lose_caller(is_partial=True))
    case.assertLess(seconds, 1.0)
    driver.withdraw.assert_called_once()


def test_lost_caller_keeps_its_job_with_a_leader_that_was_cut_off(case):
    """Guards against a second run when the leader was cut off with its zone.

    It still leads the whole site by its own account, but its members follow
    another leader, to which the caller sends the job again.
    """
    seconds, driver = asyncio.run(
        lose_caller(is_partial=False, hears_site=False)
    )
    case.assertLess(seconds, 1.0)
    driver.withdraw.assert_called_once()


def test_caller_whose_loss_is_not_noticed_keeps_its_job(case):
    """Guards against a second run when the caller goes to another zone unseen.

    Its deadline is over, so that it has sent the job again if it got no answer.
    """
    seconds, driver = asyncio.run(
        asyncio.wait_for(lose_caller(is_partial=True, is_noticed=False), 3.0)
    )
    case.assertLess(seconds, 1.0)
    driver.withdraw.assert_called_once()


def test_late_answer_is_dropped_at_the_deadline(case):
    """Guards against answers that are lost because they come late.

    Without a cut, a job goes on for a caller that stays connected.
    """
    with case.assertRaises(TimeoutError):
        asyncio.run(
            asyncio.wait_for(
                lose_caller(is_partial=False, is_noticed=False), 2.5
            )
        )


def test_job_of_a_lost_caller_ends_too_early(case):
    """Guards against work lost when the leader serves the whole site."""
    seconds, driver = asyncio.run(lose_caller(is_partial=False))
    case.assertGreater(seconds, 1.3)
    driver.withdraw.assert_called_once()


def test_job_is_offered_after_its_caller_was_lost(case):
    """Guards against a second run when a leader is found after that.

    Another entry may have the job by then.
    """

    async def scenario():
        site = SilentLeaderSite([Error(PeerLost()), Error(PeerLost())])
        case.assertEqual(await site.submit(is_lost=True, deadline_ms=900), 504)
        case.assertEqual(len(site.answers), 1)

    asyncio.run(scenario())


OTHER_MEMBER = Member("entry-1", "a", "127.0.0.1:2", 2.0, "t1")
# Time after status 504 at which callers send a job again.
RESEND_DELAY_S = 1.3


class SilentLeaderSite:
    """An entry whose leader accepts a job and does not answer.

    Attributes:
        coordinator: Double of the coordinator of the entry.
        links: Double of its connections to other members.
        handler: The handler under test.
        job: A job that callers send.
        withdrawn_at: Times at which the job was withdrawn.
    """

    def __init__(self, answers):
        self.coordinator = mock.Mock(
            leader=Leader(2, OTHER_MEMBER),
            local_member=MEMBER,
            leader_is_unresponsive=False,
            leader_hears_site=True,
            fence=1,
            driver=None,
            job_reports=JobReports(),
        )
        self.links = mock.Mock()
        self.answers = list(answers)
        self.links.call = self.call
        self.coordinator.wait_for_leader_change = self.wait
        self.withdrawn_at = []
        self.coordinator.report_withdrawn_job = lambda job_id: (
            self.withdrawn_at.append(clock.now())
        )
        self.handler = CallerRequestHandler(
            MEMBER.name, mock.Mock(), self.coordinator, self.links, Counters()
        )
        self.job = job()

    async def call(self, address, offer, timeout):
        """Gives the next answer; waits for the timeout after the last one."""
        if self.answers:
            return self.answers.pop(0)
        await asyncio.sleep(timeout)
        return Error(PeerLost())

    async def wait(self, timeout):
        """Waits in vain for a change of the leader."""
        await asyncio.sleep(timeout)

    async def submit(self, deadline_ms=200, is_lost=False):
        """Returns the status of the answer to a caller."""
        request = mock.Mock(
            spec=Request,
            method="POST",
            target="/jobs/" + self.job.job_id,
            headers={DEADLINE_HEADER: str(deadline_ms)},
            arrived_at=clock.now(),
        )
        request.disconnected = asyncio.get_running_loop().create_future()
        if is_lost:
            asyncio.get_running_loop().call_later(
                OFFER_TIME_S, request.disconnected.set_result, True
            )
        route = mock.Mock(
            policy=CHECK.policy, path_prefix="/jobs/", needs_advice=False
        )
        self.handler.site.routing_table.find_route.return_value = route
        with mock.patch(
            "anvilford.node._callers.decode_job", return_value=self.job.spec
        ):
            return (await self.handler.handle(request)).status


async def lose_leader(is_partial=False):
    """Answers a caller after the leader was lost; returns the site."""
    site = SilentLeaderSite([Error(PeerLost())])
    leader = site.coordinator.leader
    asyncio.get_running_loop().call_later(
        0.05, setattr, site.coordinator, "leader", None
    )
    status = await site.submit()
    # The leader is known again soon after the answer, and has the job.
    site.coordinator.leader = attrs.evolve(leader, is_partial=is_partial)
    return site, status, clock.now()


def test_job_without_an_answer_goes_on_after_the_leader_was_lost(case):
    """Guards against a run without a caller until its task ends.

    The entry knew no leader at the deadline and answered 504. A leader still
    had the job, which the heartbeats of the entry kept alive.
    """

    async def scenario():
        site, status, ended_at = await lose_leader()
        await asyncio.sleep(RESEND_DELAY_S + 0.1)
        case.assertEqual((status, site.withdrawn_at), (504, []))
        await asyncio.sleep(0.5)
        case.assertEqual(len(site.withdrawn_at), 1)
        case.assertGreater(site.withdrawn_at[0], ended_at + RESEND_DELAY_S)

    asyncio.run(scenario())


def test_job_without_an_answer_goes_on_in_a_cut_off_zone(case):
    """Guards against a second run when the caller goes to another zone."""

    async def scenario():
        site, status, _ = await lose_leader(is_partial=True)
        await asyncio.sleep(0.5)
        case.assertEqual((status, len(site.withdrawn_at)), (504, 1))

    asyncio.run(scenario())


def test_job_sent_again_is_withdrawn_for_the_first_request(case):
    """Guards against work lost of a caller that is served again.

    The withdrawal names the job and the entry, not the request.
    """

    async def scenario():
        site, _, _ = await lose_leader()
        await asyncio.sleep(RESEND_DELAY_S)
        second = asyncio.ensure_future(site.submit(deadline_ms=3000))
        await asyncio.sleep(1.0)
        case.assertFalse(second.done())
        case.assertEqual(site.withdrawn_at, [])
        second.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await second

    asyncio.run(scenario())


def test_job_sent_twice_is_withdrawn_at_the_time_of_the_first_request(case):
    """Guards against work lost of a caller that gets 504 a second time.

    It sends the job once more and must find it.
    """

    async def scenario():
        site, _, _ = await lose_leader()
        # Well before the withdrawal, also on a busy machine.
        await asyncio.sleep(0.5)
        site.answers.append(Error(PeerLost()))
        asyncio.get_running_loop().call_later(
            0.05, setattr, site.coordinator, "leader", None
        )
        case.assertEqual(await site.submit(), 504)
        answered_at = clock.now()
        await asyncio.sleep(RESEND_DELAY_S + 0.6)
        case.assertEqual(len(site.withdrawn_at), 1)
        case.assertGreater(site.withdrawn_at[0], answered_at + RESEND_DELAY_S)

    asyncio.run(scenario())


def test_job_goes_on_after_the_answer_of_a_later_leader(case):
    """Guards against a run without a caller after a leader was replaced.

    The first leader did not answer and may be followed again.
    """

    async def scenario(outcome, status):
        site = SilentLeaderSite([Error(PeerLost()), Ok(outcome)])
        leader = site.coordinator.leader
        asyncio.get_running_loop().call_later(
            0.05,
            setattr,
            site.coordinator,
            "leader",
            attrs.evolve(leader, member=attrs.evolve(OTHER_MEMBER, token="t2")),
        )
        case.assertEqual(await site.submit(deadline_ms=1500), status)
        await asyncio.sleep(0.3 if status == 200 else 1.8)
        case.assertEqual(len(site.withdrawn_at), 1)

    for kind, status in (
        (OutcomeKind.COMPLETED, 200),
        (OutcomeKind.LOST, 504),
        (OutcomeKind.REFUSED, 504),
    ):
        asyncio.run(scenario(Outcome(kind, "late"), status))


def test_job_of_a_lost_caller_goes_on_without_a_leader(case):
    """Guards against a run without a caller whose connection was reset.

    No leader was known at the deadline, which ended the wait for the caller.
    """

    async def scenario():
        site = SilentLeaderSite([Error(PeerLost())])
        asyncio.get_running_loop().call_later(
            0.05, setattr, site.coordinator, "leader", None
        )
        await site.submit(is_lost=True)
        await asyncio.sleep(RESEND_DELAY_S)
        case.assertEqual(site.withdrawn_at, [])
        await asyncio.sleep(0.6)
        case.assertEqual(len(site.withdrawn_at), 1)

    asyncio.run(scenario())


def test_job_goes_on_after_an_unexpected_error(case):
    """Guards against a run whose caller was answered 500.

    An answer of another kind raised an exception after the offer.
    """

    async def scenario():
        site = SilentLeaderSite([Ok("not an outcome")])
        with case.assertRaises(AttributeError):
            await site.submit()
        case.assertEqual(len(site.withdrawn_at), 1)

    asyncio.run(scenario())


def test_closed_placer_of_this_entry_blocks_the_event_loop(case):
    """Guards against an entry that stands still at the end of a planned stop.

    Its placer is closed and hands each offer back without waiting. The job was
    offered again at once, until the deadline of its caller.
    """

    async def scenario():
        site = SilentLeaderSite([])
        place = mock.AsyncMock(
            return_value=Outcome(OutcomeKind.MOVED, "placer_closed")
        )
        site.coordinator.leader = Leader(2, MEMBER)
        site.coordinator.driver = mock.Mock(place=place)
        case.assertEqual(await site.submit(deadline_ms=300), 504)
        case.assertLess(place.await_count, 10)

    asyncio.run(scenario())
