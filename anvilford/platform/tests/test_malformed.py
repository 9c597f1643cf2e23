"""Property-based tests of decoders on malformed messages."""

import asyncio
import json
from unittest import mock

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from anvilford.http1 import ClientResponse
from anvilford.http1 import HttpClient
from anvilford.placement import Accepted
from anvilford.placement import JobSpec
from anvilford.placement import LifeReplaced
from anvilford.placement import NoAnswer
from anvilford.placement import Poll
from anvilford.placement import Refused
from anvilford.placement import Report
from anvilford.placement import StopRun
from anvilford.placement import TargetRecord
from anvilford.platform import Conflict
from anvilford.platform import decode_configuration
from anvilford.platform import decode_job
from anvilford.platform import decode_target
from anvilford.platform import HistoryLost
from anvilford.platform import InvalidJobBody
from anvilford.platform import MalformedDocument
from anvilford.platform import Snapshot
from anvilford.platform import StoreClient
from anvilford.platform import StoreFailed
from anvilford.platform import StoreRow
from anvilford.platform import TargetClient
from anvilford.platform import UnsupportedJob
from anvilford.platform import Written
from anvilford.routing import RoutingTable
from testkit import function_tests

load_tests = function_tests(__name__)

DEEPLY_NESTED = b"[" * 100_000
REPORT = {
    "clock_ms": 5,
    "running": [["t", 1, 0, 50]],
    "ended": [[3, "u", 1, "done"]],
    "born": 7,
}
ROW = {"table": "t", "part": "", "key": "k", "row_version": 1, "value": "e30="}
PAGE = {"rows": [ROW], "row_version": 1, "has_more": False}
TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "cold_remaining_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 1024, "gpu": 0},
    "labels": ["a"],
    "born": 5,
}
ROUTE = {"host": "h", "path_prefix": "/p/", "service": "s", "stretch": 1.6}
CONFIGURATION = {"version": 3, "routes": [ROUTE], "limits": {}}
JOB = {
    "best_effort": True,
    "spec": "x",
    "steps": [{"count": 2, "cpu": 1000, "estimate_ms": 50, "after": []}],
}

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.sampled_from([10**400, -(10**400), float("inf"), float("nan")])
    | st.floats()
    | st.text(max_size=5)
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=5,
)


@st.composite
def changed(draw, document):
    """Draws a copy of a JSON document with one value replaced."""
    copy = json.loads(json.dumps(document))
    node = copy
    while True:
        keys = list(node) if isinstance(node, dict) else range(len(node))
        key = draw(st.sampled_from(list(keys)))
        child = node[key]
        if isinstance(child, dict | list) and child and draw(st.booleans()):
            node = child
            continue
        node[key] = draw(values)
        return json.dumps(copy).encode()


def bodies(document):
    """Returns a strategy of malformed bodies similar to a document."""
    return (
        changed(document)
        | values.map(lambda value: json.dumps(value).encode())
        | st.binary(max_size=20)
        | st.just(DEEPLY_NESTED)
    )


def call(status, body, method, *arguments):
    """Calls a client method whose HTTP call gets the given response."""
    http = mock.Mock(spec=HttpClient)
    http.call = mock.AsyncMock(return_value=ClientResponse(status, body))
    return asyncio.run(method(http, *arguments))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(body=bodies(REPORT))
@example(body=json.dumps({**REPORT, "clock_ms": float("inf")}).encode())
@example(body=json.dumps({**REPORT, "running": [[["t"], 1, 0, 5]]}).encode())
@example(body=DEEPLY_NESTED)
def test_malformed_report_counts_as_no_answer(case, body):
    """A malformed report of a target must not raise an exception.

    The target would never be polled again, since its poll would stay pending.
    """
    poll = Poll("t", 0, 1, None, 0, 0, 0.0, False)
    answer = call(
        200, body, lambda h: TargetClient(h).poll("10.0.0.1:1", poll, 1.0)
    )
    case.assertIsInstance(answer, Report | NoAnswer)
    if isinstance(answer, Report):
        names = [run.task for run in (*answer.running, *answer.ended)]
        case.assertTrue(all(isinstance(name, str) for name in names))


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    body=bodies({"clock_ms": 5, "reason": "room"}),
    status=st.sampled_from([200, 400, 404, 409, 421, 429, 503]),
)
@example(body=b'{"clock_ms": "5", "reason": []}', status=409)
@example(body=DEEPLY_NESTED, status=409)
def test_malformed_order_answer_is_classified(case, body, status):
    """A malformed answer to an order must not raise an exception.

    A clock that is not a number would fail later, in the placer.
    """
    stop = StopRun("t", 0, "task", 1, 1)
    answer = call(
        status, body, lambda h: TargetClient(h).stop("10.0.0.1:1", stop, 1.0)
    )
    case.assertIsInstance(answer, Accepted | Refused | LifeReplaced | NoAnswer)
    clock_ms = getattr(answer, "clock_ms", None)
    case.assertTrue(clock_ms is None or type(clock_ms) is int)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(body=bodies(PAGE), status=st.sampled_from([200, 404, 410, 412, 503]))
@example(body=b'{"rows": [], "row_version": null}', status=200)
@example(body=b'{"rows": [1], "row_version": 1}', status=412)
@example(body=b'{"rows": null, "row_version": 1}', status=200)
@example(body=DEEPLY_NESTED, status=200)
def test_malformed_store_answer_counts_as_failed(case, body, status):
    """A malformed answer of the store must not raise an exception.

    It would end the task that follows the target list for good.
    """
    for method in (
        lambda h: StoreClient(h, "10.0.0.1:1").read("t", 1.0),
        lambda h: StoreClient(h, "10.0.0.1:1").watch("t", 0, 0, 1.0, 1.0),
        lambda h: StoreClient(h, "10.0.0.1:1").write("t", "k", b"", 0, 1.0),
    ):
        answer = call(status, body, method)
        case.assertIsInstance(
            answer, Snapshot | HistoryLost | Written | Conflict | StoreFailed
        )
        for row in getattr(answer, "rows", ()):
            case.assertIsInstance(row.key, str)
            case.assertIs(type(row.version), int)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    target=bodies(TARGET), configuration=bodies(CONFIGURATION), job=bodies(JOB)
)
@example(target=DEEPLY_NESTED, configuration=DEEPLY_NESTED, job=DEEPLY_NESTED)
def test_malformed_documents_are_reported(case, target, configuration, job):
    """Rows and job bodies that are malformed must not raise an exception.

    One target's row would end the task that follows the target list, and one
    caller's request would be answered as an internal error.
    """
    row = StoreRow("t", "k", target, 1)
    case.assertIsInstance(decode_target(row), TargetRecord | MalformedDocument)
    row = StoreRow("t", "k", configuration, 1)
    case.assertIsInstance(
        decode_configuration(row), RoutingTable | MalformedDocument
    )
    case.assertIsInstance(
        decode_job(job), JobSpec | InvalidJobBody | UnsupportedJob
    )
