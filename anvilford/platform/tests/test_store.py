"""Tests for the store client against an in-process stand-in of the store."""

import asyncio
import json
from unittest import mock

from anvilford.http1 import ClientResponse
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
    """Runs an async test body with a stand-in store and a client of it."""

    async def main():
        async with RowStore() as store:
            with HttpClient() as http:
                await scenario(store, StoreClient(http, store.address))

    asyncio.run(main())


def read_pages(pages):
    """Reads a table from a store that answers with the given pages."""
    http = mock.Mock(spec=HttpClient)
    http.call = mock.AsyncMock(
        side_effect=[
            ClientResponse(200, json.dumps(page).encode()) for page in pages
        ]
    )
    client = StoreClient(http, "127.0.0.1:1")
    return asyncio.run(client.read("servers", 1.0))


def test_write_needs_the_expected_version(case):
    """A write with an outdated version must be rejected.

    Otherwise the second of two concurrent writers overwrites the row of the
    first one.
    """

    async def scenario(store, client):
        created = await client.write("t", "k", b"1", 0, 1.0)
        case.assertIsInstance(created, Written)
        rejected = await client.write("t", "k", b"2", 0, 1.0)
        case.assertIsInstance(rejected, Conflict)
        case.assertEqual(rejected.rows[0].value, b"1")
        updated = await client.write("t", "k", b"3", created.version, 1.0)
        case.assertIsInstance(updated, Written)
        read = await client.read("t", 1.0)
        case.assertEqual([row.value for row in read.rows], [b"3"])
        del store

    with_store(scenario)


def test_watch_reports_deletions_and_lost_history(case):
    """A watch must report deleted rows, and history that is no longer kept.

    If a deletion is missed, a removed target stays in use.
    """

    async def scenario(store, client):
        store.put("t", "a", {"n": 1})
        before = await client.read("t", 1.0)
        waiting = asyncio.ensure_future(
            client.watch("t", before.version, 2000, 3.0, 1.0)
        )
        await asyncio.sleep(0.05)
        store.delete("t", "a")
        changes = await waiting
        case.assertIsInstance(changes, Snapshot)
        case.assertTrue(changes.rows[0].deleted)
        store.faults.has_no_history = True
        lost = await client.watch("t", before.version, 0, 1.0, 1.0)
        case.assertIsInstance(lost, HistoryLost)

    with_store(scenario)


def test_failures_report_whether_a_write_may_have_taken_effect(case):
    """A write whose response is lost must be reported as possibly committed.

    A write that the store refused (status 503) did not take effect, whereas
    one that timed out may have.
    """

    async def scenario(store, client):
        store.faults.is_down = True
        failed = await client.write("t", "k", b"1", 0, 1.0)
        case.assertEqual(failed, StoreFailed("status 503"))
        store.faults.is_down = False
        store.faults.unanswered_writes = 1
        failed = await client.write("t", "k", b"1", 0, 0.2)
        case.assertIsInstance(failed, StoreFailed)
        case.assertTrue(failed.may_have_taken_effect)
        case.assertEqual(len((await client.read("t", 1.0)).rows), 1)

    with_store(scenario)


def test_snapshot_has_the_version_of_its_first_page(case):
    """A row that changes while a table is read must be seen by the next watch.

    If the snapshot had the version of the last page, a watch from there would
    miss a change to a row of an earlier page.
    """
    pages = [
        {"rows": [], "row_version": 7, "has_more": True},
        {"rows": [], "row_version": 9, "has_more": False},
    ]
    row = {"key": "a", "value": "", "row_version": 5}
    pages[0]["rows"] = [row]
    snapshot = read_pages(pages)
    case.assertEqual(snapshot.version, 7)


def test_pages_that_repeat_a_row_end_the_read(case):
    """A store that answers each page with the same rows must not be read on.

    The read would never end, and its rows would fill the memory.
    """
    row = {"key": "a", "value": "", "row_version": 5}
    page = {"rows": [row], "row_version": 7, "has_more": True}
    answer = read_pages([page] * 3)
    case.assertEqual(answer, StoreFailed("pages do not advance"))
