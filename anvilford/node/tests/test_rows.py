"""Tests of the rows that entries keep in the store."""

import asyncio
from unittest import mock

from anvilford.node._leader_row import LEADER_KEY
from anvilford.node._leader_row import LeaderRow
from anvilford.node._speed_row import SpeedRow
from anvilford.node._speed_row import SPEEDS_KEY
from anvilford.platform import Snapshot
from anvilford.platform import StoreRow
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)

MEMBER = (
    b'{"name": "n", "zone": "a", "address": "h:1", "cores": %s, "token": "t"}'
)
ODD_VALUES = (
    b"",
    b"\xff",
    b"[]",
    b"7",
    b"[" * 100_000,
    b'{"term":' + b"[" * 100_000,
    b'{"term": 1e999, "leader": {}, "members": []}',
    b'{"term": %d, "leader": %s, "members": []}' % (10**30, MEMBER % b"1"),
    b'{"term": 1, "leader": %s, "members": [[]]}' % (MEMBER % b"1"),
    b'{"term": 1, "leader": %s, "members": []}' % (MEMBER % b"1e999"),
    b'{"t1/5": [], "t2/5": %d}' % 10**400,
    b'{"t1/5": 1e999, "t2/5": NaN}',
)


def store_with(key, value):
    """Returns a double of the store whose table has one row."""
    store = mock.Mock()
    snapshot = Snapshot((StoreRow("anvilford", key, value, 3),), 3)
    store.read = mock.AsyncMock(return_value=snapshot)
    return store


def test_odd_leader_row_ends_the_search_for_a_leader(case):
    """A leader's row that cannot be read must count as naming no leader.

    Each step of the search would end with the exception, and no entry lead.
    """
    for value in ODD_VALUES:
        with case.subTest(value=value[:60]):
            row = LeaderRow(store_with(LEADER_KEY, value), Counters())
            with case.assertLogs("anvilford.node._leader_row", "ERROR"):
                case.assertTrue(asyncio.run(row.read()))
            case.assertIsNone(row.leader)
            case.assertEqual(row.version, 3)


def test_odd_speeds_are_taken_over(case):
    """Speeds that are no finite numbers must not reach placement."""
    for value in ODD_VALUES:
        with case.subTest(value=value[:60]):
            row = SpeedRow(store_with(SPEEDS_KEY, value), Counters())
            speeds = asyncio.run(row.read())
            case.assertEqual(
                [s for s in speeds.values() if not 0 <= s < 1e300], []
            )
