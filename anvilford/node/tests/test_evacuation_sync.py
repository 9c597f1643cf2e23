"""Tests of how entries learn of evacuated zones, with doubles of the store."""

import asyncio
import contextlib
import time
from unittest import mock

from anvilford.http1 import HttpClient
from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.node._sync import SiteView
from anvilford.placement import CrashHistory
from anvilford.platform import CONFIGURATION_KEY
from anvilford.platform import OPERATOR_TABLE
from anvilford.platform import StoreClient
from anvilford.platform import TARGET_TABLE
from anvilford.protocol import EvacuatedZone
from anvilford.protocol import EvacuationReport
from anvilford.protocol import Heartbeat
from anvilford.protocol import HeartbeatReply
from anvilford.telemetry import Counters
from standins.proxy import LinkState
from standins.proxy import Proxy
from standins.rows import RowStore
from testkit import function_tests

load_tests = function_tests(__name__)

MEMBER = Member("entry-1", "b", "127.0.0.1:2", 1.0, "t1")
LEADER = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")
# Time after which an evacuation is in force, on the users' sites, and the part
# of it in which an entry that reaches the store or a member must know it.
EVACUATE_S = 5.0
SOON_S = 1.0


def put_configuration(store):
    """Writes a configuration without routes."""
    store.put(OPERATOR_TABLE, CONFIGURATION_KEY, {"version": 1, "routes": []})


def evacuate(store, zone):
    """Writes the row that requests the evacuation of a zone."""
    store.put(OPERATOR_TABLE, f"evacuate/{zone}", {})


def take_back(store, zone):
    """Removes that row."""
    store.delete(OPERATOR_TABLE, f"evacuate/{zone}")


@contextlib.asynccontextmanager
async def following(address):
    """Yields the view of an entry that follows a store's operator table."""
    with HttpClient() as http:
        site = SiteView(StoreClient(http, address), Counters())
        task = asyncio.ensure_future(site.configuration.run())
        yield site
        task.cancel()


async def wait_for_zones(site, zones, timeout=SOON_S):
    """Waits until a view has exactly these evacuated zones; returns seconds."""
    started = time.monotonic()
    async with asyncio.timeout(timeout):
        while site.evacuations.names != frozenset(zones):
            await asyncio.sleep(0.01)
    return time.monotonic() - started


def exchange(member, leader):
    """Sends a heartbeat between two views; returns it and its reply."""
    fields = member.evacuations.fields_for_leader(LEADER.token)
    heartbeat = Heartbeat(
        MEMBER,
        1,
        evacuations_digest=fields.digest,
        evacuations=fields.report,
    )
    leader.evacuations.take_from_member(heartbeat)
    fields = leader.evacuations.fields_for_member(heartbeat)
    reply = HeartbeatReply(
        1, True, False, (), {}, 1, 0, 0.0, 0,
        evacuations_digest=fields.digest, evacuations=fields.report,
    )  # fmt: skip
    member.evacuations.take_from_leader(LEADER.token, reply)
    return heartbeat, reply


def test_rows_of_zones_are_followed(case):
    """Zones are evacuated and taken back with their rows, one by one."""

    async def scenario():
        async with RowStore() as store:
            put_configuration(store)
            async with following(store.address) as site:
                listener = mock.Mock()
                site.target_listeners.append(listener)
                evacuate(store, "a")
                await wait_for_zones(site, "a")
                case.assertEqual(listener.call_count, 1)
                evacuate(store, "b")
                await wait_for_zones(site, "ab")
                take_back(store, "a")
                await wait_for_zones(site, "b")
                evacuate(store, "a")
                take_back(store, "b")
                await wait_for_zones(site, "a")
                case.assertGreaterEqual(listener.call_count, 4)
                counters = site.evacuations.counters
                case.assertEqual(
                    counters.count(
                        "evacuation_changes", change="zone_evacuated"
                    ),
                    3,
                )

    with case.assertLogs("anvilford.node._evacuation_sync", "WARNING") as logs:
        asyncio.run(scenario())
    events = [record.message for record in logs.records]
    case.assertEqual(events.count("zone evacuated"), 3)
    case.assertEqual(events.count("evacuation taken back"), 2)


def test_unreadable_row_is_ignored(case):
    """A row whose content is damaged must evacuate the zone of its key."""

    async def scenario():
        async with RowStore() as store:
            put_configuration(store)
            store.put_bytes(OPERATOR_TABLE, "evacuate/a", b"\xff{")
            store.put_bytes(OPERATOR_TABLE, "evacuate/b", b"")
            store.put_bytes(OPERATOR_TABLE, "evacuate/", b"{}")
            store.put_bytes(OPERATOR_TABLE, "evacuate", b"{}")
            async with following(store.address) as site:
                await wait_for_zones(site, "ab")
                evacuate(store, "c")  # The faults are not reported again.
                await wait_for_zones(site, "abc")

    with case.assertLogs("anvilford.node._evacuation_sync", "WARNING") as logs:
        asyncio.run(scenario())
    faults = [r.key for r in logs.records if hasattr(r, "reason")]
    case.assertEqual(sorted(faults), ["evacuate/", "evacuate/a", "evacuate/b"])


def test_started_entry_is_loaded_before_it_knows_the_zones(case):
    """A process that restarts must know the zones when it may lead."""

    async def scenario():
        async with RowStore() as store:
            evacuate(store, "a")
            put_configuration(store)
            store.put(TARGET_TABLE, "r1", {})
            evacuate(store, "b")
            store.faults.delay_s = 0.1
            async with following(store.address) as site:
                task = asyncio.ensure_future(site.target_list.run())
                async with asyncio.timeout(SOON_S):
                    while not site.is_loaded():
                        await asyncio.sleep(0)
                case.assertEqual(site.evacuations.names, {"a", "b"})
                task.cancel()

    asyncio.run(scenario())


def test_removal_is_lost_with_the_history(case):
    """A zone must be taken back although the store has lost the change."""

    async def scenario():
        async with RowStore() as store:
            put_configuration(store)
            evacuate(store, "a")
            async with following(store.address) as site:
                await wait_for_zones(site, "a")
                store.faults.has_no_history = True
                take_back(store, "a")
                evacuate(store, "b")
                await wait_for_zones(site, "b", EVACUATE_S)

    asyncio.run(scenario())


def test_evacuation_is_missed_during_an_outage(case):
    """An evacuation written while the entry was turned away must be read.

    The same holds for one that is taken back meanwhile, and for an answer of
    the store that is lost with its connection.
    """

    async def scenario():
        async with RowStore() as store, Proxy(store.address) as link:
            put_configuration(store)
            evacuate(store, "a")
            async with following(link.address) as site:
                await wait_for_zones(site, "a")
                store.faults.is_down = True
                link.reset()  # Ends the pending watch.
                evacuate(store, "b")
                take_back(store, "a")
                await asyncio.sleep(0.5)
                case.assertEqual(site.evacuations.names, {"a"})
                store.faults.is_down = False
                await wait_for_zones(site, "b", EVACUATE_S)
                await asyncio.sleep(0.1)
                link.silence()
                evacuate(store, "c")
                seconds = await wait_for_zones(site, "bc", EVACUATE_S)
                case.assertLess(seconds, EVACUATE_S)

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def two_entries(cut_off):
    """Yields a store and the views of two entries, the first of them cut off.

    Args:
        cut_off: Rows are written by this function before the cut.
    """
    async with RowStore() as store, Proxy(store.address) as link:
        put_configuration(store)
        cut_off(store)
        async with (
            following(link.address) as deaf,
            following(store.address) as hearing,
        ):
            for site in (deaf, hearing):
                await asyncio.sleep(0)
                async with asyncio.timeout(SOON_S):
                    while site.routing_table is None:
                        await asyncio.sleep(0.01)
            link.state = LinkState.SILENT
            yield store, deaf, hearing


def test_leader_without_a_store_sends_to_an_evacuated_zone(case):
    """A leader must learn the zones from a member that reads the store.

    It is the leader that starts tasks: members that know better do not help.
    """

    async def scenario():
        async with two_entries(lambda _: None) as (store, leader, member):
            exchange(member, leader)
            evacuate(store, "a")
            await wait_for_zones(member, "a")
            case.assertEqual(leader.evacuations.names, frozenset())
            exchange(member, leader)
            case.assertEqual(leader.evacuations.names, {"a"})
            evacuate(store, "b")
            await wait_for_zones(member, "ab")
            exchange(member, leader)
            case.assertEqual(leader.evacuations.names, {"a", "b"})
            take_back(store, "a")
            await wait_for_zones(member, "b")
            exchange(member, leader)
            case.assertEqual(leader.evacuations.names, {"b"})

    asyncio.run(scenario())


def test_member_without_a_store_does_not_know_the_zones(case):
    """A member must learn the zones from the leader: it may lead next."""

    async def scenario():
        async with two_entries(lambda s: evacuate(s, "a")) as sites:
            store, member, leader = sites
            case.assertEqual(member.evacuations.names, {"a"})
            take_back(store, "a")
            evacuate(store, "b")
            await wait_for_zones(leader, "b")
            exchange(member, leader)
            case.assertEqual(member.evacuations.names, {"b"})
            case.assertEqual(leader.evacuations.names, {"b"})

    asyncio.run(scenario())


def test_zones_are_sent_with_each_heartbeat(case):
    """Hundreds of members must send only a digest while nothing changes."""

    async def scenario():
        async with two_entries(lambda _: None) as (store, leader, member):
            evacuate(store, "a")
            await wait_for_zones(member, "a")
            heartbeat, _ = exchange(member, leader)
            case.assertIsNotNone(heartbeat.evacuations)
            for _ in range(3):
                heartbeat, reply = exchange(member, leader)
                case.assertIsNone(heartbeat.evacuations)
                case.assertIsNone(reply.evacuations)
            # The next leader may know less than the last one.
            fields = member.evacuations.fields_for_leader("another process")
            case.assertEqual(fields.report.zones, (EvacuatedZone("a", 2),))

    asyncio.run(scenario())


def test_zones_are_sent_to_a_build_that_ignores_them(case):
    """A leader of the build before must not get the zones again and again."""

    async def scenario():
        async with two_entries(lambda s: evacuate(s, "a")) as (_, _, member):
            old_reply = HeartbeatReply(1, True, False, (), {}, 1, 0, 0.0, 0)
            member.evacuations.take_from_leader(LEADER.token, old_reply)
            fields = member.evacuations.fields_for_leader(LEADER.token)
            case.assertIsNone(fields.report)
            old_heartbeat = Heartbeat(MEMBER, 1)
            fields = member.evacuations.fields_for_member(old_heartbeat)
            case.assertIsNone(fields.report)
            case.assertEqual(member.evacuations.names, {"a"})

    asyncio.run(scenario())


def test_late_report_undoes_what_the_store_showed(case):
    """A report of another member must not bring back a removed evacuation.

    The local copy is newer although no row of it has changed since.
    """

    async def scenario():
        async with RowStore() as store:
            put_configuration(store)
            async with following(store.address) as site:
                async with asyncio.timeout(SOON_S):
                    while site.routing_table is None:
                        await asyncio.sleep(0.01)
                site.configuration.version = 30
                old = EvacuationReport(21, (EvacuatedZone("a", 20),))
                heartbeat = Heartbeat(
                    MEMBER, 1, evacuations_digest=5, evacuations=old
                )
                site.evacuations.take_from_member(heartbeat)
                case.assertEqual(site.evacuations.names, frozenset())

    asyncio.run(scenario())


class SilentLinks:
    """Connections to other members over which nothing arrives."""

    def send(self, address, message):
        """Drops a one-way message."""


def leading_coordinator(site):
    """Returns the coordinator of a member that leads, with a fake driver."""
    driver = mock.Mock(name="driver")
    driver.waiting_entries.return_value = set()
    driver.placer.kept_jobs = []
    leader_row = mock.Mock(version=0)
    speed_row = mock.AsyncMock()
    coordinator = LeadershipCoordinator(
        LEADER, SilentLinks(), leader_row, speed_row, site, Counters(),
        mock.Mock(return_value=driver), mock.AsyncMock(), mock.AsyncMock(),
        CrashHistory(),
    )  # fmt: skip
    site.target_listeners.append(coordinator.update_targets)
    return coordinator


def test_placer_is_not_told_of_the_zones(case):
    """The placer must get the zones when it starts and at each change.

    A leader that is elected after the row was written must have them from the
    start, and one that learns of them from a member passes them on at once.
    """

    async def scenario():
        async with two_entries(lambda s: evacuate(s, "a")) as sites:
            store, site, member = sites
            coordinator = leading_coordinator(site)
            coordinator._start_leading(Leader(2, LEADER))
            *_, zones = coordinator.driver.start.call_args.args
            case.assertEqual(zones, {"a"})
            evacuate(store, "b")
            await wait_for_zones(member, "ab")
            fields = member.evacuations.fields_for_leader(LEADER.token)
            reply = coordinator.receive_heartbeat(
                Heartbeat(
                    MEMBER,
                    1,
                    evacuations_digest=fields.digest,
                    evacuations=fields.report,
                )
            )
            *_, zones = coordinator.driver.update_targets.call_args.args
            case.assertEqual(zones, {"a", "b"})
            case.assertEqual(reply.evacuations_digest, fields.digest)
            case.assertIsNone(reply.evacuations)

    asyncio.run(scenario())
