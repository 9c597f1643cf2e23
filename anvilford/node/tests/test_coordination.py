"""Tests of the search for a leader, with peers and store replaced."""

import asyncio
from unittest import mock

from expression import Error
from expression import Ok

from anvilford.leadership import Leader
from anvilford.leadership import Member
from anvilford.leadership import Opinion
from anvilford.node import _clock as clock
from anvilford.node._coordination import LeadershipCoordinator
from anvilford.protocol import LeaderQuery
from anvilford.telemetry import Counters
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

ME = Member("entry-0", "a", "127.0.0.1:1", 1.0, "t0")
OTHER = Member("entry-1", "b", "127.0.0.1:2", 1.0, "t1")
GONE = Leader(1, Member("entry-2", "a", "127.0.0.1:3", 1.0, "t2"))
# Longer than two rounds of questions.
SEEK_S = 0.5


class Peers:
    """Peers of which one is gone and one seeks a leader as well."""

    async def call(self, address, message, timeout):
        """Answers a query for the one that lives."""
        del timeout
        if address == OTHER.address and isinstance(message, LeaderQuery):
            return Ok(Opinion(OTHER, 1, True, False, GONE))
        return Error("unreachable")

    def send(self, address, message):
        """Drops a one-way message."""

    def reset(self, address):
        """Has no connection to close."""


class Row:
    """A row that names the leader that is gone, and nobody else."""

    leader = GONE
    members = (GONE.member,)
    has_been_read = True
    version = 1
    store_reachable = True

    @property
    def changed_at(self):
        """Neither just written nor stale."""
        return clock.now() - 1.0

    async def read(self, timeout=0.0):
        """Always answers."""
        del timeout
        return True

    async def write(self, leader, members):
        """Takes the row."""
        self.leader, self.members = leader, members
        return True


async def _reaches_other_zones() -> bool:
    return True


@fixture
def coordination():
    """A member that knows only the leader that is gone."""
    view = mock.Mock(targets=(), is_placing=False)
    view.is_loaded.return_value = True
    view.recently_removed_targets.return_value = ()
    driver = mock.Mock(name="driver")
    driver.waiting_entries.return_value = set()
    yield LeadershipCoordinator(
        ME,
        Peers(),
        Row(),
        mock.AsyncMock(name="speed_row"),
        view,
        Counters(),
        mock.Mock(name="make_driver", return_value=driver),
        _reaches_other_zones,
    )


async def run_for(coordination, seconds: float) -> None:
    """Runs the loop for a while."""
    loop = asyncio.ensure_future(coordination.run())
    await asyncio.sleep(seconds)
    loop.cancel()


def test_member_that_asks_counts(case, coordination):
    """Guards against members that each wait for another one to lead.

    A leader that ended right after its start had named only itself. It
    took itself for cut off, and the member that asked it waited for it. Its
    term is above that of the leader that is gone, so that targets obey.
    """

    async def scenario():
        await coordination.receive_query(OTHER)
        await run_for(coordination, SEEK_S)

    asyncio.run(scenario())
    case.assertEqual(coordination.leader, Leader(2, ME))


def test_member_that_reaches_nobody_waits(case, coordination):
    """Guards against a member that is cut off and leads all the same."""
    asyncio.run(run_for(coordination, SEEK_S))
    case.assertIsNone(coordination.leader)


def test_row_names_members_besides_those_that_ask(case, coordination):
    """Guards against a majority of the few members that happened to ask.

    A fresh process that was asked before it had read the row took the member
    that asked for the whole site, and led while most of it had not started.
    """
    silent = [
        Member(f"entry-{n}", "c", f"127.0.0.1:{n}", 1.0, f"t{n}")
        for n in range(4, 9)
    ]
    coordination.leader_row.members = (GONE.member, OTHER, *silent)

    async def scenario():
        await coordination.receive_query(OTHER)
        await run_for(coordination, SEEK_S)

    asyncio.run(scenario())
    case.assertIsNone(coordination.leader)
