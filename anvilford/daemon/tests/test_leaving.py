"""Tests of targets that leave, under steady load."""

import time

from anvilford.daemon.tests import system
from standins import cluster
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

# Invariant P6.
LIMIT_S = 3.0
ZONE = "quimper-a"


@fixture
def site():
    """Two entries and four targets of one zone."""
    with cluster.Site((ZONE,), 2, 4) as running:
        yield running


def log_of(site, vm_id):
    """Starts at one target."""
    address, _ = site.targets[vm_id]
    return site.http.request("GET", f"http://{address}/log").json()


def stats_of(site, vm_id):
    """Use of one target."""
    address, _ = site.targets[vm_id]
    return site.http.request("GET", f"http://{address}/stats").json()


def test_leaving_targets(case, site):
    """Guards against work for a target after it began to leave."""
    listed, answering, drained, staying = sorted(site.targets)
    own_address, _ = site.targets[answering]
    with system.LoadGenerator(
        site, site.entries, lambda: system.distinct_job(3, 30), threads=12
    ) as load:
        time.sleep(1.0)
        left_at = time.monotonic()
        address, _ = site.targets[listed]
        site.list_vm(
            listed, "target", ZONE, address, cluster.SERVICE, "leaving"
        )
        site.set_faults(own_address, leaving=True)
        status, _ = system.anvilctl(site.entries[1], "target", "drain", drained)
        case.assertEqual(status, 0)
        time.sleep(max(0.0, left_at + LIMIT_S - time.monotonic()))
        refused = stats_of(site, answering)["refused_starts"]
        case.assertGreater(refused, 0)
        time.sleep(0.7)
        case.assertEqual(stats_of(site, answering)["refused_starts"], refused)
        # A target that left stays away, also if it would take work again.
        site.set_faults(own_address, leaving=False)
        time.sleep(1.3)
    for vm_id in (listed, answering, drained):
        times = [start["start"] for start in log_of(site, vm_id)]
        case.assertLess(min(times), left_at, f"{vm_id} was never in use")
        case.assertLess(max(times), left_at + LIMIT_S, vm_id)
    last = max(start["start"] for start in log_of(site, staying))
    case.assertGreater(last, left_at + LIMIT_S + 1.5)
    case.assertEqual((load.failures, load.abandoned_entries), ([], []))
    system.check_answers(case, load.results)
    system.check_starts(case, site, load.results)
    for sent in load.results:
        case.assertEqual(sent.outcome, "complete", sent)


def test_leaving_answer_reaches_other_entries(case, site):
    """Guards against an entry that starts where another saw a refusal."""
    first, second = site.entries
    vm_id = min(site.targets)
    address, _ = site.targets[vm_id]
    with system.LoadGenerator(site, [second]):
        system.wait_until(case, lambda: log_of(site, vm_id), 5)
    site.set_faults(address, leaving=True)
    with system.LoadGenerator(site, [first]):
        system.wait_until(
            case, lambda: stats_of(site, vm_id)["refused_starts"], 5
        )
        refused_at = time.monotonic()
    site.set_faults(address, leaving=False)
    time.sleep(max(0.0, refused_at + LIMIT_S - time.monotonic()))
    with system.LoadGenerator(site, [second], threads=12) as load:
        time.sleep(1.0)
    times = [start["start"] for start in log_of(site, vm_id)]
    case.assertLess(max(times), refused_at + LIMIT_S)
    case.assertGreater(len(load.results), 50)
    system.check_answers(case, load.results)
    system.check_starts(case, site, load.results)
