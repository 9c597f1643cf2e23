"""Tests of the operators' application on a loopback server."""

import json

import attrs
import urllib3

from anvilford import http
from anvilford.http.tests import operator_fake
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

OPERATION = "operation-1"
CONFIGURATION = "/v1/configuration"
PRESET = {"preset": "peak", "operation_id": OPERATION}
APPLY = {"document": {"preset": "peak"}, "operation_id": OPERATION}


@attrs.frozen
class Client:
    """Sends requests to the application under test.

    Attributes:
        pool: Connections to the server.
        address: Address of the server, "IP:port".
        entry: The fake entry behind the application.
    """

    pool: urllib3.PoolManager
    address: str
    entry: operator_fake.FakeEntry

    def send(self, method, path, body=None, token=operator_fake.TOKEN, **more):
        """Sends a request with an operator's token.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Text, or a dict that is sent as JSON.
            token: Bearer token.
            **more: Additional headers, with "_" for "-" in their names.

        Returns:
            Status, body as text, and headers.
        """
        headers = {"Authorization": f"Bearer {token}"}
        headers |= {key.replace("_", "-"): v for key, v in more.items()}
        if isinstance(body, dict):
            body = json.dumps(body)
        response = self.pool.request(
            method,
            f"http://{self.address}{path}",
            body=body,
            headers=headers,
            timeout=5,
            retries=False,
        )
        text = response.data.decode()
        return response.status, text, response.headers


@fixture
def client():
    """A client of an application on a fake entry."""
    entry = operator_fake.FakeEntry()
    application = http.operator_application(
        entry, operator_fake.OPERATORS, body_bytes=4096
    )
    with operator_fake.serve(application) as address:
        yield Client(urllib3.PoolManager(), address, entry)


def test_resources_are_served(case, client):
    """Each path is served with the keys that operators' tools read."""
    table = [
        ("/v1/status", "vms"),
        ("/v1/targets", "targets"),
        ("/v1/submissions?limit=2", "submissions"),
        ("/v1/configuration", "document"),
        ("/v1/configuration/history", "history"),
        (f"/v1/traces/{operator_fake.TRACE_ID}", "spans"),
    ]
    for path, key in table:
        status, text, headers = client.send("GET", path)
        case.assertEqual(status, 200, path)
        case.assertEqual(headers["Content-Type"], "application/json")
        case.assertIn(key, json.loads(text))
    case.assertEqual(client.send("GET", "/metrics")[1], "starts_total 3\n")
    case.assertIn("Histogram", client.send("GET", "/metrics/hdr")[1])


def test_requests_without_a_valid_token_are_refused(case, client):
    """Every path answers 401 without a valid operator token.

    Otherwise anyone who reaches the listener could change the configuration.
    Tokens that are cut short, extended or not ASCII are rejected as well.
    """
    token = operator_fake.TOKEN
    for wrong in ("", "x", token[:-1], token + "x", "é" * 20):
        for method, path in (
            ("GET", "/v1/status"),
            ("GET", "/metrics"),
            ("POST", "/v1/preset"),
            ("GET", "/nothing"),
        ):
            status, text, _ = client.send(method, path, token=wrong.encode())
            case.assertEqual(status, 401, (wrong, path))
            case.assertEqual(json.loads(text)["type"], "unauthorized")
    status, _, _ = client.send(
        "GET", "/v1/status", Authorization=f"Basic {token}"
    )
    case.assertEqual(status, 401)
    case.assertEqual(client.entry.calls, [])


def test_bad_requests_are_typed_and_change_nothing(case, client):
    """Invalid requests get a typed error and leave the configuration as it is.

    Clients tell errors apart by type; a request that is rejected after a part
    of it took effect would leave an unintended configuration.
    """
    match = {"If_Match": '"1"'}
    bad = {"document": {"preset": "x"}}
    invalid = "invalid_request"
    table = [
        ("GET", "/", None, {}, 404, "not_found"),
        ("GET", "/v1/nothing", None, {}, 404, "not_found"),
        ("GET", "/v1/targets/t-1", None, {}, 404, "not_found"),
        ("POST", "/v1/targets/t-1/stop", None, {}, 404, "not_found"),
        ("POST", "/v1/targets/t-9/drain", None, {}, 404, "unknown_target"),
        ("GET", "/v1/traces/abc", None, {}, 404, "unknown_trace"),
        ("DELETE", "/v1/status", None, {}, 405, "method_not_allowed"),
        ("GET", "/v1/submissions?limit=0", None, {}, 400, invalid),
        ("POST", "/v1/preset", "{", {}, 400, "invalid_json"),
        ("POST", "/v1/preset", "[" * 4000, {}, 400, "invalid_json"),
        ("POST", "/v1/preset", "[]", {}, 400, invalid),
        ("POST", "/v1/preset", "x" * 5000, {}, 413, "body_too_large"),
        ("POST", "/v1/preset", PRESET | {"x": 1}, {}, 400, invalid),
        ("POST", "/v1/preset", {"preset": "peak"}, {}, 400, invalid),
        ("POST", "/v1/preset", PRESET | {"preset": []}, {}, 400, invalid),
        ("PUT", CONFIGURATION, APPLY, {}, 428, "version_required"),
        ("PUT", CONFIGURATION, APPLY, {"If_Match": "1"}, 400, invalid),
        ("PUT", CONFIGURATION, APPLY | bad, match, 400, "invalid_document"),
    ]
    for method, path, body, headers, status, kind in table:
        found, text, _ = client.send(method, path, body, **headers)
        error = json.loads(text)
        case.assertEqual((found, error["type"]), (status, kind), (path, body))
        case.assertTrue(error["message"])
    case.assertEqual(client.entry.row.version, 1)


def test_changes_carry_version_operation_and_author(case, client):
    """A repeated change is applied once and recorded with its author.

    The second PUT has the same operation id, as after a lost response.
    """
    for expected in (200, 200):
        status, text, headers = client.send(
            "PUT", CONFIGURATION, APPLY, If_Match='"1"'
        )
        case.assertEqual((status, headers["ETag"]), (expected, '"2"'))
        case.assertEqual(json.loads(text)["author"], "ana")
    status, text, _ = client.send(
        "POST",
        "/v1/preset",
        {"preset": "maintenance", "operation_id": "operation-2"},
        token=operator_fake.OPERATORS[1].token,
    )
    case.assertEqual(json.loads(text)["author"], "bea")
    case.assertEqual(client.entry.row.version, 3)
    case.assertEqual(client.send("POST", "/v1/targets/t-1/drain")[0], 200)
    case.assertEqual(client.entry.drained, {"t-1"})
    case.assertEqual(client.send("POST", "/v1/targets/t-1/resume")[0], 200)
    case.assertEqual(client.entry.drained, set())


def test_failures_of_the_entry_keep_their_type(case, client):
    """Each failure of the entry becomes its own status and error type.

    An operator repeats, corrects or gives up a change depending on whether it
    was not written, conflicted or may have been written.
    """
    client.entry.write({"preset": "peak"}, "operation-x", "bea")
    status, text, _ = client.send("PUT", CONFIGURATION, APPLY, If_Match='"1"')
    error = json.loads(text)
    case.assertEqual((status, error["type"]), (409, "configuration_conflict"))
    case.assertEqual((error["version"], error["author"]), (2, "bea"))
    table = [
        (http.StoreUnavailable("timeout"), 503, "store_unavailable"),
        (http.WriteUnresolved(OPERATION), 504, "write_unresolved"),
        (http.NotReady(), 503, "not_ready"),
        (http.EntryUnavailable(), 503, "entry_unavailable"),
    ]
    for failure, status, kind in table:
        client.entry.failures["change"] = [failure]
        found, text, _ = client.send("POST", "/v1/preset", PRESET)
        case.assertEqual((found, json.loads(text)["type"]), (status, kind))
    client.entry.failures["metrics_hdr"] = [RuntimeError("fault")]
    with case.assertLogs("anvilford.http", "ERROR"):
        found, text, _ = client.send("GET", "/metrics/hdr")
    case.assertEqual(found, 500)
    case.assertEqual(json.loads(text)["type"], "internal_error")
