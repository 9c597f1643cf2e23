"""Tests of the local copies of the store's tables."""

import asyncio
from unittest import mock

from anvilford.http1 import HttpClient
from anvilford.node._sync import TableFollower
from anvilford.platform import StoreClient
from anvilford.telemetry import Counters
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

    with case.assertLogs("anvilford.node._sync", "ERROR"):
        asyncio.run(scenario())
