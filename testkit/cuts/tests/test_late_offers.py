"""Tests of offers that reach a leader after their entry has left it."""

import asyncio

from standins.site import LoopbackSite
from testkit import function_tests
from testkit.cuts import How
from testkit.cuts import SiteLinks
from testkit.cuts import SITES

load_tests = function_tests(__name__)

SITE = SITES["kerlann-fill"]
JOBS = 16
# Interval between jobs, so that some are offered in the moment before their entry
# misses the leader's answer to a heartbeat.
INTERVAL_S = 0.015
TASK_S = 6.0
CALLER_DEADLINE_S = 20.0
# Longer than the time after which a leader starts a job that another one may
# have started before.
CUT_S = 3.5


async def offer_before_a_cut(how: How) -> list[str]:
    """Cuts a zone off while its entries offer jobs to the leader.

    The callers wait for the whole time, and send no job again.

    Returns:
        Tasks that ran twice at the same time.
    """
    site = LoopbackSite(len(SITE.entry_zones), len(SITE.target_zones))
    site.entry_zones = SITE.entry_zones
    site.target_zones = SITE.target_zones
    links = SiteLinks(site)
    async with site:
        while (leader := site.leader_name()) is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        leader = site.leader_name()
        zones = dict(zip(site.entries, site.entry_zones, strict=True))
        zone = "quimper-a" if zones[leader] != "quimper-a" else "quimper-b"
        entries = links.entries_of(zone)
        calls = []
        links.cut_zone(zone, how)
        for number in range(JOBS):
            entry = entries[number % len(entries)]
            call = site.submit(
                entry, site.new_job_id(), TASK_S, 1, CALLER_DEADLINE_S
            )
            calls.append(asyncio.ensure_future(call))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.sleep(CUT_S)
        links.heal()
        await asyncio.sleep(2.0)
        for call in calls:
            call.cancel()
        return site.find_overlapping_tasks()


def test_offer_that_arrives_late_is_started_beside_another_leader(case):
    """Guards against a second run of a job that its entry has offered elsewhere.

    The network keeps the offer for the whole of a cut. The entry has turned to a
    leader of its zone meanwhile, which runs the job, and the first leader takes
    the offer for a new one.
    """
    case.assertEqual(asyncio.run(offer_before_a_cut(How.LATE)), [])
