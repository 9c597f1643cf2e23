"""Tests of zones that are cut off and of outages of the platform."""

import time

from anvilford.daemon.tests import system
from standins import cluster
from standins import relay
from testkit import function_tests

load_tests = function_tests(__name__)

# Below the 2 s after which a request to the platform times out.
ANSWER_LIMIT_S = 1.5
IN_FORCE_LIMIT_S = 8.0


def check_served(case, site, load):
    """Checks that every job of a load was answered in time and completely."""
    case.assertEqual((load.failures, load.left), ([], []))
    case.assertGreater(len(load.sent), 50)
    system.check_answers(case, load.sent)
    for sent in load.sent:
        case.assertEqual(sent.outcome, "complete", sent)
        case.assertLess(sent.ended - sent.began, ANSWER_LIMIT_S)
    system.check_starts(case, site, load.sent)


def test_zone_cut_off(case):
    """Guards against a zone that depends on the platform or other zones."""
    zones = ("quimper-a", "lorient-a")
    with cluster.Site(zones=zones) as site:
        first, second = site.entries
        platform = site.platform_process
        with system.suspended(second.process):
            with (
                system.suspended(platform),
                system.Load(site, [first]) as load,
            ):
                time.sleep(4.0)
            status, report = system.apply(
                first, {"preset": "peak"}, "--wait", "1"
            )
            case.assertEqual(status, 3, report)
            version = report["accepted"]["version"]
            entry = system.in_force(site, first)
            case.assertEqual(entry["version"], version)
        check_served(case, site, load)
        system.wait_until(
            case,
            lambda: all(
                system.in_force(site, entry)["version"] == version
                for entry in site.entries
            ),
            IN_FORCE_LIMIT_S,
        )
        case.assertEqual(system.in_force(site, second)["preset"], "peak")


def test_platform_outage_under_load(case):
    """Guards against callers that wait for the platform."""
    with cluster.Site(entries_per_zone=2) as site:
        first, second = site.entries
        before = system.table_row(site)["version"]
        with system.Load(site, [first, second]) as load:
            for faults in ({"outage": True}, {"slow_ms": 4000}):
                site.set_faults(site.platform, **faults)
                time.sleep(1.0)
                status, report = system.apply(first, {"preset": "peak"})
                case.assertEqual(status, 1, report)
                case.assertEqual(report["error"]["type"], "store_unavailable")
                site.set_faults(site.platform, outage=False, slow_ms=0)
                case.assertEqual(system.table_row(site)["version"], before)
        check_served(case, site, load)


def test_lost_answer_of_a_write(case):
    """Guards against a change that is lost or made twice."""
    with cluster.Site(entries_per_zone=2) as site:
        for lost, preset in enumerate(("peak", "ordinary"), start=1):
            before = system.table_row(site)["version"]
            site.set_faults(site.platform, lose_answers=lost)
            status, report = system.apply(site.entries[0], {"preset": preset})
            case.assertEqual(status, 0, report)
            row = system.table_row(site)
            case.assertEqual(row["version"], before + 1)
            case.assertEqual(report["accepted"]["version"], before + 1)
            operation = report["accepted"]["operation"]
            made = [
                change["version"]
                for change in row["value"]["history"]
                if change["operation"] == operation
            ]
            case.assertEqual(made, [before + 1])
            case.assertEqual(row["value"]["document"]["preset"], preset)
            site.set_faults(site.platform, lose_answers=False)


def test_partition(case):
    """Guards against zones that fail, or disagree, around a partition."""
    zones = ("quimper-a", "lorient-a")
    with relay.Relay() as link, relay.PartitionableSite(link, zones) as site:
        first, second = site.entries
        job = system.distinct_job(2, 1000, deadline_ms=20_000)
        loads = [system.Load(site, [e], threads=4) for e in site.entries]
        with loads[0], loads[1]:
            with system.Background(site, first, job) as background:
                system.wait_until(
                    case, lambda: system.all_started(site, job), 5
                )
                link.block()
                across = system.send(
                    site, second, background.submission_id, job
                )
                case.assertEqual(across.outcome, "outcome_unknown", across)
                case.assertLess(across.ended - across.began, 6)
            version = check_changes_across(case, site)
            link.unblock()
            system.wait_until(
                case,
                lambda: system.in_force(site, second)["version"] == version,
                IN_FORCE_LIMIT_S,
            )
            case.assertEqual(
                *(system.in_force(site, entry) for entry in site.entries)
            )
        for load in loads:
            check_served(case, site, load)
        again = system.send(site, second, background.submission_id, job)
        case.assertEqual(again.body, background.sent.body)
        system.check_starts(case, site, [background.sent])
        case.assertEqual(system.table_row(site)["version"], version)


def check_changes_across(case, site):
    """Changes the configuration during a partition; returns its version."""
    first, second = site.entries
    before = system.in_force(site, second)
    status, report = system.apply(first, {"preset": "peak"}, "--wait", "1")
    case.assertEqual(status, 3, report)
    version = report["accepted"]["version"]
    case.assertEqual(system.in_force(site, first)["version"], version)
    status, report = system.apply(second, {"preset": "maintenance"})
    case.assertEqual(status, 1, report)
    case.assertEqual(system.in_force(site, second), before)
    return version
