"""Tests of the store's client against the stand-in."""

import asyncio
from unittest import mock

from anvilford.http1 import HttpClient
from anvilford.platform import Conflict
from anvilford.platform import HistoryLost
from anvilford.platform import Snapshot
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import Written
from standins.rows import RowStore
from testkit import function_tests

load_tests = function_tests(__name__)


def with_store(scenario):
    """Runs a scenario with a store and its client."""

    async def main():
        async with RowStore() as store:
            with HttpClient() as http:
                await scenario(store, StoreClient(http, store.address))

    asyncio.run(main())


def test_write_needs_the_expected_version(case):
    """Guards against a row that is overwritten by a second writer."""

    async def scenario(store, client):
        first = await client.write("t", "k", b"1", 0, 1.0)
        case.assertIsInstance(first, Written)
        second = await client.write("t", "k", b"2", 0, 1.0)
        case.assertIsInstance(second, Conflict)
        case.assertEqual(second.rows[0].value, b"1")
        third = await client.write("t", "k", b"3", first.version, 1.0)
        case.assertIsInstance(third, Written)
        read = await client.read("t", 1.0)
        case.assertEqual([row.value for row in read.rows], [b"3"])
        del store

    with_store(scenario)


def test_watch_tells_changes_and_deletions(case):
    """Guards against a target that stays in use after it was dropped."""

    async def scenario(store, client):
        store.put("t", "a", {"n": 1})
        before = await client.read("t", 1.0)
        waiting = asyncio.ensure_future(
            client.watch("t", before.version, 2000, 3.0)
        )
        await asyncio.sleep(0.05)
        store.drop("t", "a")
        changes = await waiting
        case.assertIsInstance(changes, Snapshot)
        case.assertTrue(changes.rows[0].deleted)
        store.faults.has_no_history = True
        lost = await client.watch("t", before.version, 0, 1.0)
        case.assertIsInstance(lost, HistoryLost)

    with_store(scenario)


def test_failures_tell_whether_a_write_may_be_done(case):
    """Guards against taking a lost answer for a write that was not done."""

    async def scenario(store, client):
        store.faults.is_down = True
        failed = await client.write("t", "k", b"1", 0, 1.0)
        case.assertEqual(failed, StoreFailed("status 503"))
        store.faults.is_down = False
        store.faults.lost_answers = 1
        failed = await client.write("t", "k", b"1", 0, 0.2)
        case.assertIsInstance(failed, StoreFailed)
        case.assertTrue(failed.may_have_taken_effect)
        case.assertEqual(len((await client.read("t", 1.0)).rows), 1)

    with_store(scenario)


def test_change_between_pages_is_watched_for(case):
    """Guards against a change that is lost while a long table is read.

    The snapshot had the version of the last page, so a row of an earlier page
    that had changed in between was not watched for.
    """
    pages = [
        {"rows": [], "row_version": 7, "has_more": True},
        {"rows": [], "row_version": 9, "has_more": False},
    ]
    row = {"key": "a", "value": "", "row_version": 5}
    pages[0]["rows"] = [row]
    client = StoreClient(mock.Mock(), "127.0.0.1:1")
    with mock.patch.object(client, "_get", side_effect=pages):
        snapshot = asyncio.run(client.read("servers", 1.0))
    case.assertEqual(snapshot.version, 7)
