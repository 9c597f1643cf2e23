"""Tests of the limits that are derived from the size of the machine."""

import attrs

from anvilford.http1._holding import ORDINARY_BYTES
from anvilford.node._request_limits import caller_limits
from anvilford.node._request_limits import OPERATOR_CONNECTIONS
from anvilford.node._request_limits import peer_limits
from anvilford.node._request_limits import request_memory_bytes
from anvilford.node._request_limits import request_sizes
from anvilford.node.tests.test_settings import load
from anvilford.node.tests.test_settings import TEMPLATE
from anvilford.peers import PeerLimits
from anvilford.routing import RequestLimits
from testkit import function_tests

load_tests = function_tests(__name__)

MIB = 1024 * 1024
# Memory of an entry that serves nothing.
BASE_BYTES = 33 * MIB


def test_defaults_fit_every_machine(case):
    """Guards against limits that allow more than the machine has."""
    for memory_mb, descriptors in ((None, None), (160, 1638), (552, 10250)):
        with case.subTest(memory_mb=memory_mb):
            settings = load(memory_mb=memory_mb, max_descriptors=descriptors).ok
            limits = caller_limits(settings)
            peers = peer_limits(settings, PeerLimits())
            connections = limits.max_connections + 2 * OPERATOR_CONNECTIONS
            # 200 files, and three connections to each of 176 targets.
            case.assertLess(
                200 + connections + 96 + 3 * 176,
                descriptors or 1638,
            )
            case.assertLess(
                200 + connections + peers.max_connections,
                descriptors or 1638,
            )
            # The kernel's receive buffers of all callers come on top.
            memory = (
                BASE_BYTES
                + request_memory_bytes(settings)
                + limits.max_connections * limits.receive_buffer_bytes
            )
            case.assertLess(memory, (memory_mb or 160) * MIB / 2)
            # Each entry of a site of 300, any of which may lead, also while some
            # connections are left over; and a few hundred requests at once.
            case.assertGreaterEqual(peers.max_connections, 500)
            case.assertGreaterEqual(limits.max_incomplete_connections, 300)
            case.assertGreater(
                request_memory_bytes(settings), 300 * ORDINARY_BYTES
            )
            case.assertEqual(request_sizes(settings, None), (16_384, 262_144))


def test_configured_sizes_are_bounded_by_memory(case):
    """Guards against a configured size that no machine could hold."""
    settings = load(memory_mb=160).ok
    case.assertEqual(
        request_sizes(settings, RequestLimits(1000, 2000)), (1000, 2000)
    )
    case.assertEqual(
        request_sizes(settings, RequestLimits(10**9, 10**9)),
        (5 * MIB, 5 * MIB),
    )


def test_settings_of_limits_are_validated(case):
    """Guards against a start with a limit that serves nobody."""
    for key, values in {
        "memory_mb": (0, 63, "160", True),
        "max_descriptors": (255, 1638.5, False),
        "request_memory_bytes": (0, -1, 2**20 - 1),
        "max_caller_connections": (0, "many"),
        "max_incomplete_connections": (0, -5),
        "max_url_bytes": (255, 65537, None),
        "request_timeout_s": (0, 0.5, float("nan"), None),
        "min_request_rate": (-1, "fast"),
        "incomplete_request_cpu_share": (0, 1.5),
        "max_unread_answer_bytes": (1023, 1.5),
        "unread_answer_timeout_s": (0, float("inf")),
    }.items():
        for value in values:
            with case.subTest(key=key, value=value):
                loaded = load(**{key: value})
                case.assertTrue(loaded.is_error())
                case.assertIn(key, loaded.error.reason)


def test_settings_of_limits_are_obeyed(case):
    """Guards against a key that is read and then ignored."""
    keys = {
        "max_url_bytes": 1000,
        "request_timeout_s": 12.5,
        "min_request_rate": 0,
        "max_unread_answer_bytes": 2048,
        "unread_answer_timeout_s": 3,
        "max_incomplete_connections": 5,
    }
    settings = load(
        max_caller_connections=10, request_memory_bytes=2 * MIB, **keys
    ).ok
    limits = attrs.asdict(caller_limits(settings))
    for key, value in keys.items():
        case.assertEqual(limits[key], value, key)
    case.assertEqual(limits["max_connections"], 10)
    case.assertEqual(request_memory_bytes(settings), 2 * MIB)


def test_size_of_the_machine_is_passed_on(case):
    """Guards against limits of the smallest machine on all machines."""
    template = TEMPLATE.read_text(encoding="utf-8")
    case.assertIn('"memory_mb": {{limits.memory_mb|json}},', template)
    case.assertIn('"max_descriptors": {{limits.max_fds|json}},', template)
