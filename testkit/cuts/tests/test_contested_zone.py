"""Tests of two leaders that reach the same targets, as real processes.

Entries of the zone reach nothing outside of it, but the leader of the site reaches
the targets inside.
"""

import asyncio

import attrs

from anvilford.http1 import ClientResponse
from anvilford.node._contest import PROBE_INTERVAL_S
from anvilford.node._contest import PROBE_WATCH_S
from standins.site import LoopbackSite
from testkit import function_tests
from testkit.cuts import How
from testkit.cuts import SiteLinks
from testkit.cuts._links import STORE
from testkit.cuts._report import read_terms

load_tests = function_tests(__name__)

ENTRY_ZONES = ("a", "a", "a", "b", "b")
TARGET_ZONES = ("a", "b") * 4
CONTEST_S = 12.0
TASK_S = 0.4
TASK_INTERVAL_S = 0.1
# Time within which entries of the zone have answers once the leader of the site
# no longer reaches its targets: a probe may just have ended.
RECOVERY_S = PROBE_INTERVAL_S + PROBE_WATCH_S + 3.0
# Share of the jobs that must have answers.
MIN_ANSWERED = 0.9


@attrs.define
class ContestedZone:
    """What happened to a site with a contested zone.

    Attributes:
        zone_terms: Number of times that an entry of the zone began to lead it
            while its targets were contested.
        statuses: Statuses of jobs sent to each entry meanwhile; 0 for none.
        recovered_after_s: Time until an entry that was cut off answered 200
            after no other entry reached the targets; None if it did not.
        overlapping: Tasks that ran twice at the same time.
    """

    zone_terms: int = 0
    statuses: dict[str, list[int]] = attrs.field(factory=dict)
    recovered_after_s: float | None = None
    overlapping: list[str] = attrs.field(factory=list)


def make_site() -> LoopbackSite:
    """Returns a site whose largest entry, in zone "a", soon leads."""
    site = LoopbackSite(
        len(ENTRY_ZONES), len(TARGET_ZONES), {"entry-0": 1.5, "entry-3": 0.6}
    )
    site.entry_zones = list(ENTRY_ZONES)
    site.target_zones = list(TARGET_ZONES)
    return site


def count_zone_terms(site: LoopbackSite) -> int:
    """Returns how often an entry began to lead only its zone, from the logs."""
    return len(
        {
            (name, record["term"])
            for name, entry in site.entries.items()
            for record in entry.log_records()
            if record.get("message") == "leader changed"
            and record["leader"] == name
            and record["is_partial"]
        }
    )


async def submit(site: LoopbackSite, entry: str) -> int:
    """Submits a job; returns the status of the answer, 0 for none."""
    answer = await site.submit(entry, site.new_job_id(), TASK_S, 1, 2.0)
    return answer.status if isinstance(answer, ClientResponse) else 0


async def contest_zone(cut_off: tuple[str, ...]) -> ContestedZone:
    """Cuts entries of zone "b" off, and the others from its targets later.

    Args:
        cut_off: Names of the entries; the first one is the best candidate.
    """
    site = make_site()
    links = SiteLinks(site)
    result = ContestedZone(statuses={"entry-1": [], "entry-4": []})
    clock = asyncio.get_running_loop().time

    async def send(entry: str):
        result.statuses[entry].append(await submit(site, entry))

    async with site:
        while site.leader_name() != "entry-0":
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        others = set(site.entries) - set(cut_off)
        inside = {t.name for t in site.targets if t.zone == "b"}
        outside = {t.name for t in site.targets} - inside
        links.cut(cut_off, others | outside, How.RESET)
        async with asyncio.TaskGroup() as callers:
            for _ in range(int(CONTEST_S / TASK_INTERVAL_S)):
                for entry in result.statuses:
                    callers.create_task(send(entry))
                await asyncio.sleep(TASK_INTERVAL_S)
        result.zone_terms = count_zone_terms(site)
        links.cut(others, inside, How.RESET)
        began = clock()
        while clock() < began + RECOVERY_S and not result.recovered_after_s:
            if await submit(site, cut_off[0]) == 200:
                result.recovered_after_s = clock() - began
            await asyncio.sleep(0.05)
        links.heal()
        await asyncio.sleep(1.0)
        result.overlapping = site.find_overlapping_tasks()
    return result


def check_contest(case, cut_off: tuple[str, ...]) -> None:
    """Checks that entries which are cut off and the others do not take turns."""
    result = asyncio.run(contest_zone(cut_off))
    case.assertLessEqual(result.zone_terms, 2, result)
    for statuses in result.statuses.values():
        answered = statuses.count(200) / len(statuses)
        case.assertGreaterEqual(answered, MIN_ANSWERED, result)
    case.assertIsNotNone(result.recovered_after_s, result)
    case.assertEqual(result.overlapping, [])


def test_leaders_take_the_targets_of_a_zone_in_turn(case):
    """Guards against leaders that take targets in turn for as long as a cut.

    Each began to lead the targets of the zone again after each loss. Neither
    zone may go without answers instead.
    """
    check_contest(case, ("entry-3", "entry-4"))


def test_lone_entry_takes_the_targets_of_its_zone_in_turn(case):
    """Guards against turns with an entry whose neighbour follows the leader.

    It waits instead; once no other entry reaches the targets, it leads them.
    """
    check_contest(case, ("entry-3",))


def list_leaders(site: LoopbackSite) -> set[tuple[int, str]]:
    """Returns the terms of leaders of the whole site, with their names."""
    records = {e.name: e.log_records() for e in site.entries.values()}
    return {(term, name) for _, term, name in read_terms(records).leaderships}


async def refuse_leader_at_store() -> tuple[list[int], list[str]]:
    """Cuts entries off from each other, and the larger part from the store.

    All reach the targets.

    Returns:
        Statuses of jobs sent to an entry of the larger part, and the names of
        the other entries that began to lead the whole site. They get jobs, too.
    """
    site = make_site()
    links = SiteLinks(site)
    statuses: list[int] = []

    async def send(entry: str):
        status = await submit(site, entry)
        if entry == "entry-1":
            statuses.append(status)

    async with site:
        while site.leader_name() != "entry-0":
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.5)
        before = list_leaders(site)
        minority = links.entries_of("b")
        links.cut(minority, links.entries_of("a"), How.RESET)
        links.cut(links.entries_of("a"), {STORE}, How.RESET)
        async with asyncio.TaskGroup() as callers:
            for _ in range(int(CONTEST_S / TASK_INTERVAL_S)):
                for entry in ("entry-1", "entry-3", "entry-4"):
                    callers.create_task(send(entry))
                await asyncio.sleep(TASK_INTERVAL_S)
        leaders = [
            name
            for term, name in list_leaders(site) - before
            if name in minority
        ]
    return statuses, leaders


def test_minority_leads_while_the_store_refuses_the_leader(case):
    """Guards against two leaders of the site that take turns.

    The row of the leader was stale for the minority, as the store refused it.
    """
    statuses, leaders = asyncio.run(refuse_leader_at_store())
    case.assertEqual(leaders, [])
    answered = statuses.count(200) / len(statuses)
    case.assertGreaterEqual(answered, MIN_ANSWERED, statuses)
