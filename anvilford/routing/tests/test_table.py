"""Tests of route selection."""

from anvilford.placement import QueuePolicy
from anvilford.routing import RequestLimits
from anvilford.routing import Route
from anvilford.routing import RoutingTable
from testkit import function_tests

load_tests = function_tests(__name__)


def route(host: str, prefix: str) -> Route:
    """Returns a route whose queue has the prefix as its name."""
    return Route(host, prefix, QueuePolicy(prefix, "s", 0, 3, 1.6, 60))


def test_longest_prefix_wins(case):
    """The longest matching prefix of the requested host selects the route.

    With routes in any other order, a request for /a/b/ would go to the queue
    of /a/. A port in the host is ignored, and other hosts match nothing.
    """
    table = RoutingTable.build(
        1,
        [route("h", "/a/"), route("h", "/a/b/"), route("i", "/a/b/c/")],
        RequestLimits(),
    )
    for host, path, expected in (
        ("h", "/a/b/1", "/a/b/"),
        ("h:80", "/a/1", "/a/"),
        ("h", "/b/1", None),
        ("i", "/a/b/1", None),
        ("j", "/a/1", None),
    ):
        with case.subTest(host=host, path=path):
            found = table.find_route(host, path)
            case.assertEqual(found and found.path_prefix, expected)
