"""Tests of the loopback site."""

import asyncio
import contextlib
import os
import socket
from unittest import mock

from standins import cluster
from standins import ports
from standins import site
from testkit import function_tests

load_tests = function_tests(__name__)

# Hardly more ports than the test reserves, so that a reservation that does not
# hold would return some port twice. No site draws from this range.
FEW_PORTS = (9_900, 9_940)


def test_reserved_ports_are_not_drawn_again(case):
    """Reserved ports are distinct, and a server can listen on them.

    Otherwise two sites that start at once could choose the same port, and one
    of their entries would fail with "address already in use".
    """
    with (
        contextlib.ExitStack() as stack,
        mock.patch.object(ports, "PORTS", FEW_PORTS),
    ):
        drawn = [
            address
            for _ in range(9)
            for address in ports.reserve_addresses(stack, 4)
        ]
        case.assertEqual(len(set(drawn)), len(drawn))
        host, _, port = drawn[0].rpartition(":")
        with socket.create_server((host, int(port))) as server:
            case.assertEqual(server.getsockname()[1], int(port))


def test_both_kinds_of_sites_reserve_their_ports(case):
    """An entry of one site must not lose a port to a daemon of another one.

    The site of daemons drew its ports without a reservation, from a range that
    holds that of the entries. In a soak beside CI, a daemon listened on a port
    that an entry, which started later, had reserved (seed 12003).
    """
    with (
        contextlib.ExitStack() as stack,
        mock.patch.object(ports, "PORTS", FEW_PORTS),
    ):
        daemons = cluster.Site()
        stack.push(daemons)
        used = {daemons.reserve_address() for _ in range(8)}
        case.assertEqual(len(used), 8)
        for drawn in ports.reserve_addresses(stack, 24):
            case.assertNotIn(drawn, used)


def test_entries_have_a_session_of_their_own(case):
    """A suspended entry must not be ended when the shell of the tests exits.

    The kernel sends SIGHUP to the process group of a suspended process that
    becomes orphaned. With CI in the background of a shell that exited, that
    ended an owner in `test_suspended_owner` (return code -1).
    """

    async def scenario():
        async with site.LoopbackSite(entries=1, targets=1) as loopback:
            (entry,) = loopback.entries.values()
            return os.getsid(entry.process.pid), entry.process.pid

    session, pid = asyncio.run(scenario())
    case.assertEqual(session, pid)


def test_daemons_have_a_session_of_their_own(case):
    """The same for the daemons of the product's own interface."""
    with cluster.Site(targets_per_zone=1) as started:
        (entry,) = started.entries
        pid = entry.process.popen.pid
        case.assertEqual(os.getsid(pid), pid)
