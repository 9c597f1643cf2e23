"""Tests of targets that leave, are drained or refuse tasks under load."""

import time

from anvilford.daemon.tests import system
from standins import cluster
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

# Time in seconds after which an entry must start nothing on a leaving target
# (invariant P6).
LIMIT_S = 3.0
ZONE = "quimper-a"


@fixture
def site():
    """Runs two entries and four targets in one zone."""
    with cluster.Site((ZONE,), 2, 4) as running:
        yield running


def log_of(site, vm_id):
    """Returns the log of starts at a target."""
    address, _ = site.targets[vm_id]
    return site.http.request("GET", f"http://{address}/log").json()


def stats_of(site, vm_id):
    """Returns the counters of a target."""
    address, _ = site.targets[vm_id]
    return site.http.request("GET", f"http://{address}/stats").json()


def test_leaving_targets(case, site):
    """Within 3 s of leaving, a target receives no more tasks.

    One target is listed as leaving by the platform, one answers starts with
    "leaving", and one is drained by an operator. No job may fail because of it.
    """
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
        # The entries must not use a target again that once answered that it is
        # leaving, even if it would accept tasks.
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
    """An entry stops using a target whose "leaving" another entry received.

    The second entry never receives the target's answer itself; it depends on
    the gossip of the first.
    """
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
