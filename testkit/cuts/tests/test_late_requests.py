"""Tests of requests that an entry reads after their callers have left."""

import asyncio
import random
import signal

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
JOBS = 4
KIND = JobKind("long", 1.0, 1, 3.0)
# Time from the suspension of the entry to the cut of its zone.
CUT_AT_S = 1.0
# Time before the callers send their jobs again at which the entry goes on.
AWAKE_BEFORE_S = 0.15


async def read_requests_late() -> list[str]:
    """Suspends an entry while callers send it jobs and leave unseen.

    Its zone is cut off meanwhile and has a leader of its own. The callers send
    the jobs again, to the other side of the cut.

    Returns:
        Tasks that ran twice at the same time.
    """
    site = LoopbackSite(len(SITE.entry_zones), len(SITE.target_zones))
    site.entry_zones = SITE.entry_zones
    site.target_zones = SITE.target_zones
    links = SiteLinks(site)
    async with site:
        while site.leader_name() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(2.0)
        leader = site.leader_name()
        zones = dict(zip(site.entries, site.entry_zones, strict=True))
        zone = "quimper-a" if zones[leader] != "quimper-a" else "quimper-b"
        suspended = links.entries_of(zone)[0]
        others = [n for n, z in zones.items() if z not in (zone, zones[leader])]
        site.entries[suspended].send_signal(signal.SIGSTOP)
        with CallerConnections() as connections:
            callers = Callers(
                site,
                random.Random(1),
                CallerOptions(SITE.deadline_s),
                connections,
                CutReport(),
            )

            async def send(entry: str, job_id: str) -> None:
                deadline_s = SITE.deadline_s
                await connections.call(
                    site.entries[entry].caller_address,
                    callers._request(job_id, KIND, KIND.seconds, deadline_s),
                    deadline_s,
                    PlannedBreak(Break.UNCLOSED, deadline_s),
                )

            async def send_twice(number: int) -> None:
                job_id = site.new_job_id()
                await send(suspended, job_id)
                await asyncio.sleep(RESEND_AFTER_S)
                await send(others[number % len(others)], job_id)

            async with asyncio.TaskGroup() as tasks:
                for number in range(JOBS):
                    tasks.create_task(send_twice(number))
                await asyncio.sleep(CUT_AT_S)
                links.cut_zone(zone, How.DROP)
                awake_at = SITE.deadline_s + RESEND_AFTER_S - AWAKE_BEFORE_S
                await asyncio.sleep(awake_at - CUT_AT_S)
                site.entries[suspended].send_signal(signal.SIGCONT)
        links.heal()
        return site.find_overlapping_tasks()


def test_request_that_is_read_late_is_run_for_a_caller_that_has_left(case):
    """Guards against a job that counts as new when its entry goes on.

    The caller sent it while the entry was suspended, left at its deadline, and
    sends it to the other side of a cut. Its connection stays open, as if it had
    been lost unseen; the entry knows the deadline, but not when the request came.
    """
    case.assertEqual(asyncio.run(read_requests_late()), [])
