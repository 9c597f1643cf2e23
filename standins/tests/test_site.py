"""Tests of the loopback site."""

import contextlib
import socket
from unittest import mock

from standins import site
from testkit import function_tests

load_tests = function_tests(__name__)

# Hardly more ports than the test reserves, so that a reservation that does not
# hold would return some port twice.
FEW_PORTS = (31_900, 31_940)


def test_reserved_ports_are_not_drawn_again(case):
    """Reserved ports are distinct, and a server can listen on them.

    Otherwise two sites that start at once could choose the same port, and one
    of their entries would fail with "address already in use".
    """
    with (
        contextlib.ExitStack() as stack,
        mock.patch.object(site, "ENTRY_PORTS", FEW_PORTS),
    ):
        drawn = [
            port for _ in range(9) for port in site.reserve_ports(stack, 4)
        ]
        case.assertEqual(len(set(drawn)), len(drawn))
        with socket.create_server(("127.0.0.1", drawn[0])) as server:
            case.assertEqual(server.getsockname()[1], drawn[0])
