"""Tests of the rows that entries keep in the store."""

import asyncio
from unittest import mock

from anvilford.leadership import Lead
from anvilford.leadership import Member
from anvilford.node import _clock as clock
from anvilford.node._coordination import SEARCH_INTERVAL_S
from anvilford.node._leader_row import LEADER_KEY
from anvilford.node._leader_row import LeaderRow
from anvilford.node._leader_row import ROW_READ_GAP_S
from anvilford.node._search import LeaderSearch
from anvilford.node._search import MembershipView
from anvilford.node._speed_row import SpeedRow
from anvilford.node._speed_row import SPEEDS_KEY
from anvilford.platform import Snapshot
from anvilford.platform import StoreFailed
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
LEADER_VALUE = b'{"term": 1, "leader": %s, "members": []}' % (MEMBER % b"1")
FAILURE = StoreFailed("timeout")


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


def row_of_version(version):
    """Returns an answer of the store with a leader's row."""
    row = StoreRow("anvilford", LEADER_KEY, LEADER_VALUE, version)
    return Snapshot((row,), version)


def leads_after_reads(answers):
    """Runs the searches of a member that reaches none of two others.

    Args:
        answers: Time of each search and answer of the store to it.

    Returns:
        For each search, whether the member leads the whole site after it.
    """
    members = [Member(name, "a", "h:1", 1.0, "t") for name in "abc"]
    store, links = mock.Mock(), mock.Mock()
    no_reply = mock.Mock(default_value=lambda default: default)
    links.call = mock.AsyncMock(return_value=no_reply)
    search = LeaderSearch(
        MembershipView(members[0], 1, tuple(members)),
        links,
        LeaderRow(store, Counters()),
        mock.AsyncMock(return_value=True),
    )

    async def search_once(now, answer):
        store.read = mock.AsyncMock(return_value=answer)
        with mock.patch.object(clock, "now", lambda: now):
            result = await search.collect_state()
            return search.select_action(result, True) == Lead(
                False, by_row=True
            )

    async def search_all():
        return [await search_once(*arguments) for arguments in answers]

    return asyncio.run(search_all())


def reads_until_stale(start, version=1):
    """Returns answers in which the row stays the same for 2.8 seconds."""
    return [
        (start + 0.4 * number, row_of_version(version)) for number in range(8)
    ]


def test_row_counts_as_stale_while_the_store_was_away(case):
    """Guards against a minority that leads the site after an outage.

    The leader could not write its row while the store did not answer, so that
    the row was unchanged at the first read after it.
    """
    outage = [(100.0 + 0.5 * n, FAILURE) for n in range(1, 7)]
    reads = [(100.0, row_of_version(1)), *outage, *reads_until_stale(103.1)]
    leads = leads_after_reads(reads)
    # Only after 2.5 s of unchanged reads since the outage.
    case.assertEqual(leads, [False] * 14 + [True])


def test_row_counts_as_stale_after_a_pause_in_reading(case):
    """Guards against a minority that leads after it was suspended.

    Whether the store answered meanwhile is not known.
    """
    reads = [(100.0, row_of_version(1)), *reads_until_stale(103.1)]
    case.assertEqual(leads_after_reads(reads), [False] * 8 + [True])


def test_one_failed_read_begins_the_measurement_anew(case):
    """A write of the leader that failed too may take 2 s to be repeated."""
    reads = [
        *reads_until_stale(100.0)[:6],
        (102.2, FAILURE),
        *reads_until_stale(102.4),
    ]
    case.assertEqual(leads_after_reads(reads), [False] * 14 + [True])


def test_row_of_a_lost_leader_becomes_stale(case):
    """A minority leads once it has seen the row unchanged, and not before."""
    case.assertEqual(
        leads_after_reads(reads_until_stale(100.0)), [False] * 7 + [True]
    )
    changed = reads_until_stale(100.0)[:6] + reads_until_stale(102.4, 2)
    case.assertEqual(leads_after_reads(changed), [False] * 13 + [True])


def test_outage_makes_the_row_look_fresh(case):
    """The row's age still counts from its last change after an outage.

    Members would wait for its leader to begin, which they do only right after
    it has written the row.
    """
    store = mock.Mock()
    row = LeaderRow(store, Counters())
    reads = [
        (100.0, row_of_version(1)),
        (101.0, FAILURE),
        *reads_until_stale(104),
    ]
    for now, answer in reads:
        store.read = mock.AsyncMock(return_value=answer)
        with mock.patch.object(clock, "now", lambda now=now: now):
            asyncio.run(row.read())
    case.assertEqual(row.changed_at, 100.0)


def test_slow_read_begins_the_measurement_anew(case):
    """Guards against a site without a leader while the store is slow.

    Reads that took longer than the search waits counted as failed, so that the
    row hardly ever became stale.
    """
    store = store_with(LEADER_KEY, LEADER_VALUE)
    row = LeaderRow(store, Counters())
    answer = store.read.return_value

    async def read_slowly(table, timeout):
        del table, timeout
        await asyncio.sleep(0.1)
        return answer

    async def scenario():
        case.assertTrue(await row.read())
        store.read = mock.AsyncMock(side_effect=read_slowly)
        case.assertFalse(await row.read(0.02))
        # Neither reachable nor away is shown by a read that is under way.
        case.assertTrue(row.store_reachable)
        late = clock.now() + ROW_READ_GAP_S
        with mock.patch.object(clock, "now", lambda: late):
            case.assertFalse(row.store_reachable)
        case.assertTrue(await row.read(1.0))
        case.assertTrue(row.store_reachable)
        case.assertEqual(store.read.call_count, 1)

    asyncio.run(scenario())
    case.assertEqual(row.unchanged_since, row.changed_at)


def test_slow_store_counts_as_away_in_a_search(case):
    """Guards against a site without a leader while every answer is slow.

    Most members are gone and do not answer either. Each search ended before the
    read that it had begun, and the store counted as away whenever it decided.
    """
    members = [Member(name, "a", "h:1", 1.0, "t") for name in "abc"]
    store, links = mock.Mock(), mock.Mock()

    async def answer_slowly(table, timeout):
        del table, timeout
        await asyncio.sleep(0.4)
        return row_of_version(1)

    async def give_no_answer(address, message, timeout):
        del address, message
        await asyncio.sleep(timeout)
        return mock.Mock(default_value=lambda default: default)

    store.read = answer_slowly
    links.call = give_no_answer
    search = LeaderSearch(
        MembershipView(members[0], 1, tuple(members)),
        links,
        LeaderRow(store, Counters()),
        mock.AsyncMock(return_value=True),
    )

    async def scenario():
        async with asyncio.timeout(8.0):
            while True:
                result = await search.collect_state()
                if search.select_action(result, True) == Lead(
                    False, by_row=True
                ):
                    return
                await asyncio.sleep(SEARCH_INTERVAL_S)

    asyncio.run(scenario())
