"""Tests of the platform and target doubles over real sockets."""

import concurrent.futures
import time

import urllib3

from standins import PlatformStandin
from standins import TargetStandin
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


@fixture
def http():
    """Yields an HTTP client without retries."""
    with urllib3.PoolManager(maxsize=64, retries=False) as manager:
        yield manager


@fixture
def target():
    """Yields a target with two slots at double speed."""
    with TargetStandin("127.0.0.1:0", slots=2, speed=2.0) as standin:
        yield standin


@fixture
def platform():
    """Yields a platform without faults."""
    with PlatformStandin("127.0.0.1:0") as standin:
        yield standin


def start(http, target, attempt, lease_ms=1000, **payload):
    """Starts a task and returns HTTP status and decoded body."""
    answer = http.request(
        "POST",
        f"http://{target.address}/v1/tasks",
        json={"operation": "op", "payload": payload},
        headers={
            "Anvilford-Attempt": attempt,
            "Anvilford-Lease-Ms": str(lease_ms),
        },
    )
    return answer.status, answer.json()


def test_target_runs_fails_and_ends_leases(case, http, target):
    """Results, failures and lease ends are answered as the protocol says.

    Otherwise tests that use the double would accept answers that no real
    target sends.
    """
    table = [
        ({"run_ms": 20, "echo": 7}, 200, "result"),
        ({"fail": True}, 500, "failed"),
        ({"run_ms": 400, "lease_ms": 20}, 500, "lease expired"),
        ({"run_ms": 400, "lease_ms": 0}, 503, "lease"),
    ]
    for index, (arguments, status, text) in enumerate(table):
        got = start(http, target, f"a{index}", **arguments)
        case.assertEqual((got[0], got[1]["attempt"]), (status, f"a{index}"))
        case.assertIn(text, str(got[1]))
    log = http.request("GET", f"http://{target.address}/log").json()
    case.assertEqual([s["attempt"] for s in log], ["a0", "a1", "a2"])
    case.assertLess(log[2]["end"] - log[2]["start"], 0.15)


def test_full_target_refuses_at_once_and_cancel_frees_it(case, http, target):
    """A full target refuses at once, and a cancellation frees a slot.

    A double that queued tasks or ignored cancellations would hide faults of
    clients under overload.
    """
    with concurrent.futures.ThreadPoolExecutor(2) as threads:
        running = [
            threads.submit(start, http, target, f"r{i}", 9000, run_ms=9000)
            for i in range(2)
        ]
        while target.stats()["slots_in_use"] < 2:
            time.sleep(0.005)
        status, document = start(http, target, "x")
        case.assertEqual((status, document["reason"]), (503, "busy"))
        for i in range(2):
            url = f"http://{target.address}/v1/tasks/r{i}"
            case.assertEqual(http.request("DELETE", url).status, 200)
        for future in running:
            case.assertEqual(future.result(5)[1]["message"], "cancelled")
    case.assertEqual(len(target.log), 2)
    case.assertEqual(target.stats()["max_slots_in_use"], 2)


def test_target_faults_damage_answers(case, http, target):
    """Each fault of the target changes its answers.

    A switch without effect would let tests of fault handling pass unused.
    """
    url = f"http://{target.address}/faults"
    http.request("PUT", url, json={"leaving": True})
    case.assertEqual(start(http, target, "a")[1]["reason"], "leaving")
    http.request("PUT", url, json={"leaving": False, "wrong_attempt": True})
    case.assertNotEqual(start(http, target, "a")[1]["attempt"], "a")
    for fault in ("truncate", "drop_after_start"):
        http.request("PUT", url, json={fault: True})
        with case.assertRaises(urllib3.exceptions.ProtocolError):
            start(http, target, fault)
    case.assertEqual(target.log[-1].outcome, "succeeded")
    case.assertEqual(http.request("PUT", url, json={"x": 1}).status, 400)


def test_target_closes_a_connection_above_its_limit(case, http):
    """A connection above the limit is closed and counted.

    Otherwise a client that opens too many connections would go unnoticed.
    """
    with (
        TargetStandin("127.0.0.1:0", connections=1) as target,
        urllib3.PoolManager(retries=False) as other,
    ):
        case.assertEqual(start(http, target, "a")[0], 200)
        with case.assertRaises(urllib3.exceptions.ProtocolError):
            start(other, target, "b")
        case.assertEqual(target.stats()["refused_connections"], 1)


def test_table_compares_and_loses_answers(case, http, platform):
    """Writes compare versions, and a write without an answer takes effect.

    If an unanswered write were dropped, tests would not cover clients that
    must find out whether their write took effect.
    """
    url = f"http://{platform.address}/table/a%2Fb"

    def put(version, value):
        headers = {"If-Match": f'"{version}"'}
        return http.request("PUT", url, json=value, headers=headers)

    case.assertEqual(http.request("GET", url).status, 404)
    case.assertEqual(put(0, {"x": 1}).json(), {"version": 1})
    conflict = put(0, {"x": 2})
    case.assertEqual(conflict.status, 412)
    case.assertEqual(conflict.json(), {"version": 1, "value": {"x": 1}})
    platform.set_faults(lose_answers=1)
    with case.assertRaises(urllib3.exceptions.ProtocolError):
        put(1, {"x": 3})
    case.assertEqual(
        http.request("GET", url).json(), {"version": 2, "value": {"x": 3}}
    )
    platform.set_faults(outage=True)
    case.assertEqual(put(2, {"x": 4}).status, 503)
    case.assertEqual(platform.rows["a/b"], (2, {"x": 3}))


def test_vm_list_lags(case, http, platform):
    """The VM list is returned with the lag that was set.

    Without a lag, tests would miss races between the list and what entries
    learn from each other.
    """
    url = f"http://{platform.address}/vms"
    vm = {"role": "target", "zone": "z", "address": "127.0.0.1:1"}
    http.request("PUT", f"{url}/t1", json=vm)
    listed = http.request("GET", url).json()
    case.assertEqual([v["id"] for v in listed["vms"]], ["t1"])
    case.assertEqual(listed["vms"][0]["state"], "live")
    platform.set_faults(list_lag_ms=60_000)
    case.assertEqual(http.request("GET", url).json()["vms"], [])
