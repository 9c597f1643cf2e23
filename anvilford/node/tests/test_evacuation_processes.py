"""Tests of evacuations with real entry processes."""

import asyncio
import json
import signal
import subprocess
import sys
import time

from anvilford.http1 import ClientResponse
from standins.proxy import LinkState
from standins.proxy import Proxy
from standins.site import LoopbackSite
from testkit import function_tests

load_tests = function_tests(__name__)

# Time after the store's acknowledgement from which no task may start in the
# zone, on the users' sites.
EVACUATE_S = 5.0
ZONE = "a"


def starts_in_zone(site):
    """Returns the number of starts on targets of the zone."""
    return sum(
        len(server.target.starts)
        for server, zone in zip(site.targets, site.target_zones, strict=True)
        if zone == ZONE
    )


async def submit_to_all(site, names):
    """Submits jobs through entries in turn; returns the statuses.

    In turn, since the remaining zone has room for two such jobs only.
    """
    answers = [
        await site.submit(name, site.new_job_id(), seconds=0.05)
        for name in [*names, *names]
    ]
    return {a.status if isinstance(a, ClientResponse) else 0 for a in answers}


async def wait_until_in_force(site):
    """Lets the time pass in which tasks may still start in the zone."""
    await asyncio.sleep(EVACUATE_S)


def changes_logged(entry):
    """Returns the events about evacuations in an entry's log."""
    events = ("zone evacuated", "evacuation taken back")
    return [r["message"] for r in entry.log_records() if r["message"] in events]


def test_evacuation_ends_with_the_leader(case):
    """The zone must stay empty through a new leader and a restart.

    It is used again soon after the row is removed, and `anvilctl status` shows
    the evacuation meanwhile.
    """

    async def scenario():
        async with LoopbackSite() as site:
            case.assertEqual(await submit_to_all(site, site.entries), {200})
            site.store.put("op", f"evacuate/{ZONE}", {})
            await wait_until_in_force(site)
            before = starts_in_zone(site)
            case.assertEqual(await submit_to_all(site, site.entries), {200})
            leader = site.leader_name()
            others = [name for name in site.entries if name != leader]
            site.entries[leader].stop(signal.SIGKILL)
            case.assertEqual(await submit_to_all(site, others), {200})
            site.entries[leader].start()
            await site.wait_ready(leader)
            case.assertEqual(await submit_to_all(site, site.entries), {200})
            case.assertEqual(starts_in_zone(site), before)
            entry = site.entries[leader]
            shown = await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "anvilford.cli", "status"]
                + ["--address", entry.metrics_address, "--token", "t" * 20],
                capture_output=True,
                text=True,
                check=False,
            )
            case.assertEqual(shown.returncode, 0, shown.stderr)
            case.assertIn(f"Evacuated zones: {ZONE} (row", shown.stdout)
            site.store.delete("op", f"evacuate/{ZONE}")
            end = time.monotonic() + EVACUATE_S
            while starts_in_zone(site) == before and time.monotonic() < end:
                await submit_to_all(site, site.entries)
            case.assertGreater(starts_in_zone(site), before)
            case.assertEqual(site.find_overlapping_tasks(), [])
            for entry in site.entries.values():
                case.assertEqual(
                    changes_logged(entry)[-2:],
                    ["zone evacuated", "evacuation taken back"],
                )

    asyncio.run(scenario())


def test_site_of_cold_targets_refuses_jobs(case):
    """Jobs must be served although the rows of all targets say cold."""

    async def scenario():
        async with LoopbackSite(entries=1, targets=2) as site:
            for server in site.targets:
                row = site.store.get("servers", server.name)
                cold = row | {"cold_remaining_ms": 30_000, "seq": 2}
                site.store.put("servers", server.name, cold)
            await asyncio.sleep(1.0)
            case.assertEqual(await submit_to_all(site, site.entries), {200})
            starts = [
                record
                for record in site.entries["entry-0"].log_records()
                if record["message"] == "job started"
            ]
            case.assertEqual(len(starts), 2)
            for start in starts:
                case.assertGreater(start["target_cold_ms"], 20_000)

    asyncio.run(scenario())


def test_leader_that_the_store_does_not_reach_goes_on_in_the_zone(case):
    """A leader must learn of the evacuation from the members.

    Its connection to the store is silent before the row is written, and stays
    so after the row is removed.
    """

    async def scenario():
        site = LoopbackSite(cores={"entry-0": 2.0})
        async with Proxy(site.store.address) as link:

            def use_link():
                link.upstream = site.store.address
                path = site.entries["entry-0"].settings_path
                settings = json.loads(path.read_text())
                path.write_text(json.dumps(settings | {"store": link.address}))

            site.before_start = use_link
            async with site:
                async with asyncio.timeout(10.0):
                    while site.leader_name() != "entry-0":
                        await asyncio.sleep(0.05)
                await submit_to_all(site, site.entries)
                link.state = LinkState.SILENT
                await asyncio.sleep(0.1)
                site.store.put("op", f"evacuate/{ZONE}", {})
                await wait_until_in_force(site)
                before = starts_in_zone(site)
                case.assertEqual(await submit_to_all(site, site.entries), {200})
                case.assertEqual(starts_in_zone(site), before)
                records = site.entries["entry-0"].log_records()
                sources = [
                    record["source"]
                    for record in records
                    if record["message"] == "zone evacuated"
                ]
                case.assertEqual(sources, ["member"])
                site.store.delete("op", f"evacuate/{ZONE}")
                end = time.monotonic() + EVACUATE_S
                while starts_in_zone(site) == before and time.monotonic() < end:
                    await submit_to_all(site, site.entries)
                case.assertGreater(starts_in_zone(site), before)

    asyncio.run(scenario())
