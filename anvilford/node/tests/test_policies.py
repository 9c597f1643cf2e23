"""Tests of the policy under which an entry offers a job."""

import asyncio
from unittest import mock

import attrs
from expression import Ok

from anvilford.http1 import Request
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._callers import CallerRequestHandler
from anvilford.node._job_reports import JobReports
from anvilford.placement import Outcome
from anvilford.placement import OutcomeKind
from anvilford.placement.tests._shared import CHECK
from anvilford.placement.tests._shared import job
from anvilford.routing import RequestLimits
from anvilford.routing import Route
from anvilford.routing import RoutingTable
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)

LOCAL_MEMBER = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")
OTHER_MEMBER = Member("entry-1", "a", "127.0.0.1:2", 1.0, "t1")


def make_table(version: int, *routes: Route) -> RoutingTable:
    """Returns a version of the configuration with the given routes."""
    return RoutingTable.build(version, list(routes), RequestLimits())


def offers_of_a_job(second: RoutingTable) -> list:
    """Returns the offers of a job whose first leader hands it back.

    Args:
        second: Configuration that is in force after the first offer.
    """
    offers = []
    arrival = job()
    route = Route("queue.example", "/jobs/", CHECK.policy)
    site = mock.Mock(routing_table=make_table(7, route))

    async def call(address, offer, timeout):
        del address, timeout
        offers.append(offer)
        site.routing_table = second
        kind = (OutcomeKind.MOVED, OutcomeKind.COMPLETED)[len(offers) - 1]
        return Ok(Outcome(kind))

    async def scenario():
        coordinator = mock.Mock(
            leader=Leader(2, OTHER_MEMBER),
            local_member=LOCAL_MEMBER,
            leader_is_unresponsive=False,
            wait_for_leader_change=mock.AsyncMock(),
            job_reports=JobReports(),
        )
        handler = CallerRequestHandler(
            "entry-0", site, coordinator, mock.Mock(call=call), Counters()
        )
        request = mock.Mock(
            spec=Request,
            method="POST",
            target="/jobs/" + arrival.job_id,
            headers={"host": "queue.example"},
            arrived_at=clock.now(),
            disconnected=asyncio.Future(),
        )
        with mock.patch(
            "anvilford.node._callers.decode_job", return_value=arrival.spec
        ):
            await handler.handle(request)

    asyncio.run(scenario())
    return offers


def test_offer_names_the_configuration_of_its_request(case):
    """Guards against leaders that cannot tell an older policy from a newer one."""
    offers = offers_of_a_job(make_table(7))
    case.assertEqual(offers[0].configuration_version, 7)


def test_job_is_offered_again_by_an_old_policy(case):
    """Guards against a start on the old service after a change of the leader.

    The first leader may have had a later request of another entry. Its
    successor gets the offer of this entry first.
    """
    moved = attrs.evolve(CHECK.policy, service="line-2")
    route = Route("queue.example", "/jobs/", moved)
    offers = offers_of_a_job(make_table(8, route))
    case.assertEqual(
        [(o.configuration_version, o.policy.service) for o in offers],
        [(7, CHECK.policy.service), (8, "line-2")],
    )


def test_job_whose_queue_is_gone_is_not_offered_again(case):
    """Guards against the loss of an accepted job when its queue is removed."""
    for routes in (
        (),
        (Route("queue.example", "/jobs/", CHECK.policy, needs_advice=True),),
    ):
        offers = offers_of_a_job(make_table(8, *routes))
        case.assertEqual([o.configuration_version for o in offers], [7, 7])
