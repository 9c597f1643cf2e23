"""Tests of runs that go on while their callers may send the jobs again."""

import asyncio
import random

from standins.site import LoopbackSite
from testkit import function_tests
from testkit.cuts import Break
from testkit.cuts import CutReport
from testkit.cuts import How
from testkit.cuts import SiteLinks
from testkit.cuts import SITES
from testkit.cuts._callers import CallerConnections
from testkit.cuts._callers import CallerOptions
from testkit.cuts._callers import Callers
from testkit.cuts._callers import PlannedBreak
from testkit.cuts._callers import RESEND_AFTER_S
from testkit.cuts._sites import JobKind

load_tests = function_tests(__name__)

SITE = SITES["kerlann-fill"]
# The largest entry soon leads. There are two others in its zone, quimper-a.
LEADER = "entry-1"
# Enough for all targets of the zone.
JOBS = 40
KIND = JobKind("long", 1.0, 1, 5.0)
CALLER_DEADLINE_S = 12.0
# Time at which callers lose their connections, and the leader's zone is cut off.
BREAK_AT_S = 1.0
# Times from the cut of the zone to those of its targets, in turn: about when the
# leader misses the other members, and stops the jobs of the callers.
TARGETS_AFTER_S = 0.45
TARGETS_INTERVAL_S = 0.04


async def cut_off_leader_and_targets() -> list[str]:
    """Cuts off the leader's zone, and then its targets from their entries.

    Callers in the zone lose their connections at the first cut, and send their
    jobs again outside.

    Returns:
        Tasks that ran twice at the same time.
    """
    site = LoopbackSite(
        len(SITE.entry_zones), len(SITE.target_zones), {LEADER: 1.5}
    )
    site.entry_zones = SITE.entry_zones
    site.target_zones = SITE.target_zones
    links = SiteLinks(site)
    async with site:
        while site.leader_name() != LEADER:
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        zones = dict(zip(site.entries, site.entry_zones, strict=True))
        zone = zones[LEADER]
        near = [n for n in site.entries if zones[n] == zone and n != LEADER]
        far = [name for name in site.entries if zones[name] != zone]
        with CallerConnections() as connections:
            callers = Callers(
                site,
                random.Random(1),
                CallerOptions(CALLER_DEADLINE_S),
                connections,
                CutReport(),
            )

            async def send(entry: str, job_id: str, how: Break, s: float):
                await connections.call(
                    site.entries[entry].caller_address,
                    callers._request(
                        job_id, KIND, KIND.seconds, CALLER_DEADLINE_S
                    ),
                    CALLER_DEADLINE_S,
                    PlannedBreak(how, s),
                )

            async def send_twice(number: int) -> None:
                job_id = site.new_job_id()
                entry = near[number % len(near)]
                await send(entry, job_id, Break.RESET, BREAK_AT_S)
                await asyncio.sleep(RESEND_AFTER_S)
                await send(far[number % len(far)], job_id, Break.FIN, 0.5)

            async with asyncio.TaskGroup() as tasks:
                for number in range(JOBS):
                    tasks.create_task(send_twice(number))
                await asyncio.sleep(BREAK_AT_S)
                # The leader goes on hearing the others until they give it up.
                links.cut_zone(zone, How.ONE_WAY_OUT)
                await asyncio.sleep(TARGETS_AFTER_S)
                for target in site.targets:
                    if target.zone == zone:
                        links.cut([target.name], None, How.DROP)
                        await asyncio.sleep(TARGETS_INTERVAL_S)
        return site.find_overlapping_tasks()


def test_run_outlives_the_pause_of_its_caller_behind_two_cuts(case):
    """Guards against a lease that lasts longer than the pause of a caller.

    The leader extended it for an entry whose caller had just left, and could not
    stop the run when it missed the other members.
    """
    case.assertEqual(asyncio.run(cut_off_leader_and_targets()), [])
