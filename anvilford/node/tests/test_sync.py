"""Tests of the local copies of the store's tables."""

import asyncio
import contextlib
import json
import time
from unittest import mock

import attrs

from anvilford.http1 import HttpClient
from anvilford.node import _sync
from anvilford.node._sync import SiteView
from anvilford.node._table_follower import TableFollower
from anvilford.platform import CONFIGURATION_KEY
from anvilford.platform import OPERATOR_TABLE
from anvilford.platform import StoreClient
from anvilford.platform import StoreRow
from anvilford.platform import TARGET_TABLE
from anvilford.telemetry import Counters
from standins.proxy import LinkState
from standins.proxy import Proxy
from standins.rows import RowStore
from testkit import function_tests

load_tests = function_tests(__name__)


def test_table_is_followed_after_a_listener_failed(case):
    """A change that a listener cannot handle must not end the follower.

    The entry would go on with an old target list or configuration for good.
    """
    listener = mock.Mock(side_effect=[RuntimeError(), None, None, None])

    async def scenario():
        async with RowStore() as store:
            store.put("t", "a", {"n": 1})
            with HttpClient() as http:
                follower = TableFollower(
                    StoreClient(http, store.address), "t", listener, Counters()
                )
                task = asyncio.ensure_future(follower.run())
                await asyncio.sleep(0.4)
                store.put("t", "b", {"n": 2})
                await asyncio.sleep(0.2)
                task.cancel()
                case.assertEqual(set(follower.rows), {"a", "b"})

    with case.assertLogs("anvilford.node._table_follower", "ERROR"):
        asyncio.run(scenario())


TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 1024, "gpu": 0},
}


def with_site(scenario, pause=(0.05, 30.0)):
    """Runs an async test body with a store of one target and a view of it.

    Args:
        scenario: Test body, which receives the store and the view.
        pause: Pauses of a member between two reads of the list, in seconds.
    """

    async def main():
        async with RowStore() as store:
            store.put(TARGET_TABLE, "r1", TARGET)
            with HttpClient() as http:
                client = StoreClient(http, store.address)
                site = SiteView(client, Counters())
                task = asyncio.ensure_future(site.target_list.run())
                await wait_until(lambda: site.targets)
                await scenario(store, site)
                task.cancel()

    with mock.patch.object(_sync, "FOLLOWER_LIST_PAUSE_S", pause):
        asyncio.run(main())


HEARTBEAT_INTERVAL_S = 0.15
# Time after which no task may start on a drained target, on the users' sites.
DRAIN_TIME_S = 2.0


async def wait_until(condition, timeout=1.0):
    """Waits until a condition holds."""
    async with asyncio.timeout(timeout):
        while not condition():
            await asyncio.sleep(0.01)


async def start_pause(store, site):
    """Lets the view read one more change, after which it pauses."""
    store.put(TARGET_TABLE, "r1", {**TARGET, "seq": 1})
    version = site.target_list.version
    await wait_until(lambda: site.target_list.version > version)


def test_change_that_the_leader_reports_is_read_soon(case):
    """A member must know a drained target although it reads the list rarely.

    It would start tasks there if it became the leader.
    """

    async def scenario(store, site):
        await start_pause(store, site)
        store.put(TARGET_TABLE, "r1", {**TARGET, "state": "draining"})
        await asyncio.sleep(0.1)
        case.assertFalse(site.targets[0].draining)
        site.refresh_targets_if_older(site.target_list.version + 1)
        await wait_until(lambda: site.targets[0].draining)

    with_site(scenario)


def test_drained_target_is_known_although_rows_change_often(case):
    """A feed returns at most 500 changes, fewer than come between two reads.

    Each target writes its row every 1.5 s. A member fell behind the list by
    more with each read, and started tasks on drained targets when it led.
    """

    async def scenario():
        async with RowStore() as store:
            store.put(TARGET_TABLE, "r1", TARGET)
            with HttpClient() as http:
                site = SiteView(StoreClient(http, store.address), Counters())
                task = asyncio.ensure_future(site.target_list.run())
                await wait_until(lambda: site.targets)
                await start_pause(store, site)
                for n in range(1600):
                    store.put(TARGET_TABLE, "r1", {**TARGET, "seq": n})
                store.put(TARGET_TABLE, "r1", {**TARGET, "state": "draining"})
                started = time.monotonic()
                while time.monotonic() < started + DRAIN_TIME_S:
                    site.refresh_targets_if_older(store.version)
                    await asyncio.sleep(HEARTBEAT_INTERVAL_S)
                case.assertTrue(site.targets[0].draining)
                task.cancel()

    asyncio.run(scenario())


def test_new_leader_reads_the_list_at_once(case):
    """A member that starts to lead must not go by a list of seconds ago."""

    async def scenario(store, site):
        await start_pause(store, site)
        store.put(TARGET_TABLE, "r1", {**TARGET, "state": "draining"})
        site.is_placing = True
        await wait_until(lambda: site.targets[0].draining)

    with_site(scenario)


# Time in which a new leader has to read the list: its claims take as long.
NEW_LEADER_READ_S = 0.25


def test_new_leader_waits_for_the_rest_of_a_members_pause(case):
    """A new leader must know the targets that the one before it just used.

    A member that was woken slept for the rest of its pause of 1.5 s, also once
    it led. Until then, it took the targets that it knew for all of the site.
    """

    async def scenario(store, site):
        await start_pause(store, site)
        site.refresh_targets_if_older(site.target_list.version + 1)
        await asyncio.sleep(0.05)
        store.put(TARGET_TABLE, "r2", {**TARGET, "address": "10.0.0.2:80"})
        site.is_placing = True
        case.assertFalse(site.has_current_targets)
        await wait_until(
            lambda: site.has_current_targets, timeout=NEW_LEADER_READ_S
        )
        case.assertEqual(len(site.targets), 2)

    with_site(scenario, pause=_sync.FOLLOWER_LIST_PAUSE_S)


def test_new_leader_trusts_a_watch_without_an_answer(case):
    """A watch that went silent must not count as proof of no change."""

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as proxy:
            store.put(TARGET_TABLE, "r1", TARGET)
            with HttpClient() as http:
                site = SiteView(StoreClient(http, proxy.address), Counters())
                task = asyncio.ensure_future(site.target_list.run())
                await wait_until(lambda: site.targets)
                await asyncio.sleep(0.05)
                proxy.silence()
                store.put(TARGET_TABLE, "r2", {**TARGET, "address": "b:80"})
                site.is_placing = True
                case.assertFalse(site.has_current_targets)
                await wait_until(
                    lambda: site.has_current_targets, timeout=NEW_LEADER_READ_S
                )
                case.assertEqual(len(site.targets), 2)
                task.cancel()

    asyncio.run(scenario())


def test_new_leader_trusts_a_replica_that_lags_behind(case):
    """A read older than what the last leader had read must be repeated."""

    async def scenario(store, site):
        site.refresh_targets_if_older(store.version + 1)
        site.is_placing = True
        await asyncio.sleep(NEW_LEADER_READ_S)
        case.assertFalse(site.has_current_targets)
        store.put(TARGET_TABLE, "r2", {**TARGET, "address": "10.0.0.2:80"})
        await wait_until(lambda: site.has_current_targets)
        case.assertEqual(len(site.targets), 2)

    with_site(scenario)


def test_only_changes_of_targets_are_reported(case):
    """Guards against members that read the list after each row is rewritten.

    Each target writes its row every 1.5 s. On a site of 97 entries and 270
    targets that made 0.23 GB of reads on a day.
    """

    async def scenario(store, site):
        before = site.changed_version
        case.assertGreater(before, 0)
        await start_pause(store, site)
        case.assertEqual(len(site.targets), 1)
        case.assertEqual(site.changed_version, before)
        site.is_placing = True
        store.put(TARGET_TABLE, "r1", {**TARGET, "state": "draining"})
        await wait_until(lambda: site.targets[0].draining)
        case.assertGreater(site.changed_version, before)

    with_site(scenario)


def test_members_decode_no_rows_that_they_do_not_use(case):
    """Guards against members that decode the whole list after each read."""
    rows = {
        f"r{n}": StoreRow(TARGET_TABLE, f"r{n}", json.dumps(TARGET).encode(), 1)
        for n in range(3)
    }
    site = SiteView(mock.Mock(), Counters())
    with mock.patch.object(
        _sync, "decode_target", wraps=_sync.decode_target
    ) as decode:
        site.target_list.on_change(rows)
        case.assertEqual(decode.call_count, 0)
        case.assertEqual(len(site.targets), 3)
        changed = attrs.evolve(rows["r1"], version=2)
        site.target_list.on_change({**rows, "r1": changed})
        case.assertEqual([t.version for t in site.targets], [1, 2, 1])
        case.assertEqual(decode.call_count, 4)


def test_target_with_a_malformed_row_counts_as_removed(case):
    """A target whose row became malformed may still run tasks.

    A new leader has to know it, to wait for the end of its runs.
    """
    row = StoreRow(TARGET_TABLE, "r1", json.dumps(TARGET).encode(), 1)
    site = SiteView(mock.Mock(), Counters())
    site.target_list.on_change({"r1": row})
    case.assertEqual(len(site.targets), 1)
    site.target_list.on_change({"r1": attrs.evolve(row, value=b"", version=2)})
    case.assertEqual(site.targets, ())
    removed = site.recently_removed_targets()
    case.assertEqual([record.target_id for record in removed], ["r1"])
    site.target_list.on_change({"r1": attrs.evolve(row, version=3)})
    case.assertEqual(site.recently_removed_targets(), [])
    site.target_list.on_change({})
    removed = site.recently_removed_targets()
    case.assertEqual([record.version for record in removed], [3])


def test_target_behind_a_long_cut_is_hidden_from_a_new_leader(case):
    """Guards against a second run of a task by a leader that begins to lead.

    It did not know targets that had been off the list for 20 s, though members
    were missing, one of which may lead there, also on one that drains.
    """
    row = StoreRow(TARGET_TABLE, "r1", json.dumps(TARGET).encode(), 1)
    drained = json.dumps({**TARGET, "state": "draining"}).encode()
    rows = {"r1": row, "r2": attrs.evolve(row, key="r2", value=drained)}
    with mock.patch("anvilford.node._sync.clock.now") as now:
        now.return_value = 0.0
        site = SiteView(mock.Mock(), Counters())
        site.target_list.on_change(rows)
        case.assertEqual(len(site.targets), 2)
        site.target_list.on_change({})
        kept = []
        for second in range(0, 60, 5):
            now.return_value = float(second)
            if second <= 30:
                site.record_missing_members()
            removed = site.recently_removed_targets()
            kept.append(sorted(record.target_id for record in removed))
        case.assertEqual(site.removals_known_at, 50.0)
    case.assertEqual(kept, [["r1", "r2"]] * 11 + [[]])


def test_removals_count_as_known_since_the_start_of_a_process(case):
    """Guards against a second run by a leader that first read the list late.

    The store was out of its reach at first, and rows lapsed meanwhile of
    targets that the last leader reached.
    """
    row = StoreRow(TARGET_TABLE, "r1", json.dumps(TARGET).encode(), 1)
    with mock.patch("anvilford.node._sync.clock.now") as now:
        now.return_value = 0.0
        site = SiteView(mock.Mock(), Counters())
        now.return_value = 25.0
        site.target_list.on_change({"r1": row})
        case.assertGreaterEqual(site.removals_known_at, 45.0)
        now.return_value = 26.0
        site.target_list.on_change({})
        case.assertEqual(site.removals_known_at, 45.0)


# The users' small links carry 9.5 Mbit/s; callers' requests use a part of it.
SMALL_LINK_BYTES_PER_S = 950_000
# Number of routes whose row, of 1.1 MB, such a link carries in 1.2 s.
MANY_ROUTES = 4200
# Time after which a configuration must be in force on the users' sites with
# such links, and on those without.
APPLY_TIME_S = 3.0
SHORT_APPLY_TIME_S = 2.0
# Time from a loss of connections after which the users' rules hold again.
CONTACT_TIME_S = 3.0


def put_configuration(store, version, routes):
    """Writes a configuration with a number of routes, as the operator does."""
    document = {
        "version": version,
        "routes": [
            {
                "name": f"r-{n:07x}",
                "host": "bose59.example",
                "path_prefix": f"/{n:08x}/",
                "kind": "non_idempotent",
                "timeout_ms": 1552,
                "target_latency_ms": 62,
                "priority": 1,
                "service": "mesa-ventas",
                "max_attempts": 2,
                "stretch": 1.6,
            }
            for n in range(routes)
        ],
    }
    store.put(OPERATOR_TABLE, CONFIGURATION_KEY, document)


@contextlib.asynccontextmanager
async def following_configuration(store, link):
    """Follows the configuration over a link; yields the view of the site."""
    with HttpClient() as http:
        site = SiteView(StoreClient(http, link.address), Counters())
        task = asyncio.ensure_future(site.configuration.run())
        yield site
        task.cancel()


async def apply_time(site, version, is_reported):
    """Returns the seconds until a version is in force; infinity after 6 s.

    Args:
        site: View of the site.
        version: Version that is to come into force.
        is_reported: Whether the leader's replies to heartbeats report it.
    """
    started = time.monotonic()
    while time.monotonic() < started + 6.0:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        if site.routing_table and site.routing_table.version >= version:
            return time.monotonic() - started
        if is_reported:
            site.expect_version(version)
    return float("inf")


def test_configuration_that_takes_longer_than_a_second_is_read(case):
    """Guards against a read that ends and begins again for good.

    A started entry with a small link would never serve.
    """

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            link.answer_bytes_per_s = SMALL_LINK_BYTES_PER_S
            put_configuration(store, 4, MANY_ROUTES)
            async with following_configuration(store, link) as site:
                seconds = await apply_time(site, 4, is_reported=False)
                case.assertLessEqual(seconds, APPLY_TIME_S)

    asyncio.run(scenario())


def test_config_larger_than_a_small_link_carries_in_a_second(case):
    """An entry with a small link went on with a configuration of before.

    The reads ended with their time limit and began again, while the leader's
    replies to heartbeats reported the new version (incident CONFIG).
    """

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            put_configuration(store, 15, 100)
            async with following_configuration(store, link) as site:
                await wait_until(lambda: site.routing_table)
                link.answer_bytes_per_s = SMALL_LINK_BYTES_PER_S
                put_configuration(store, 18, MANY_ROUTES)
                seconds = await apply_time(site, 18, is_reported=True)
                case.assertLessEqual(seconds, APPLY_TIME_S)

    asyncio.run(scenario())


def test_report_of_a_version_does_not_end_its_transfer(case):
    """A watch that receives a change must not be replaced by a read of it.

    The report of the leader arrives in the middle of the transfer. Reading
    the table instead sends all bytes a second time, over the same link.
    """

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            put_configuration(store, 15, 100)
            async with following_configuration(store, link) as site:
                await wait_until(lambda: site.routing_table)
                link.answer_bytes_per_s = SMALL_LINK_BYTES_PER_S
                calls = len(store.calls)
                put_configuration(store, 18, MANY_ROUTES)
                await apply_time(site, 18, is_reported=True)
                case.assertEqual(site.routing_table.version, 18)
                case.assertNotIn("/v1/rows-get", store.calls[calls:])

    asyncio.run(scenario())


def test_report_of_a_version_replaces_a_silent_watch(case):
    """An entry must not wait for a watch whose answer was lost.

    The watch would end only with its timeout, seconds later.
    """

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            put_configuration(store, 15, 1)
            async with following_configuration(store, link) as site:
                await wait_until(lambda: site.routing_table)
                link.state = LinkState.SILENT
                put_configuration(store, 18, 2)
                await asyncio.sleep(0.2)
                link.state = LinkState.OPEN
                seconds = await apply_time(site, 18, is_reported=True)
                case.assertLessEqual(seconds, SHORT_APPLY_TIME_S)

    asyncio.run(scenario())


def test_config_after_all_connections_of_the_site_went_silent(case):
    """No entry may go by an old configuration until its watch times out.

    All entries lose their connections to the store at the same moment, the
    leader as well, so that no entry reports the new version.
    """

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            put_configuration(store, 15, 1)
            async with following_configuration(store, link) as site:
                await wait_until(lambda: site.routing_table)
                await asyncio.sleep(0.1)
                link.silence()
                put_configuration(store, 18, 2)
                seconds = await apply_time(site, 18, is_reported=False)
                case.assertLessEqual(seconds, CONTACT_TIME_S)

    asyncio.run(scenario())


def test_refusals_of_the_store_are_logged_once(case):
    """A store that refuses calls must not fill the log with each retry."""

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            put_configuration(store, 15, 1)
            async with following_configuration(store, link) as site:
                await wait_until(lambda: site.routing_table)
                store.faults.is_down = True
                put_configuration(store, 18, 1)
                await asyncio.sleep(1.5)

    with case.assertLogs("anvilford.node._table_follower", "WARNING") as logs:
        asyncio.run(scenario())
    case.assertEqual(len(logs.records), 1)
