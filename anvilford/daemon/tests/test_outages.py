"""Tests of zones that are cut off and of platform outages."""

import time

from anvilford.daemon.tests import system
from standins import cluster
from standins import relay
from testkit import function_tests

load_tests = function_tests(__name__)

# Longest time for an answer in seconds. Requests to the platform time out after
# 2 s, so a job that waits for one exceeds it.
ANSWER_LIMIT_S = 1.5
IN_FORCE_LIMIT_S = 8.0


def check_served(case, site, load):
    """Checks that every job of a load completed within `ANSWER_LIMIT_S`."""
    case.assertEqual((load.failures, load.abandoned_entries), ([], []))
    case.assertGreater(len(load.results), 50)
    system.check_answers(case, load.results)
    for sent in load.results:
        case.assertEqual(sent.outcome, "complete", sent)
        case.assertLess(sent.ended_at - sent.started_at, ANSWER_LIMIT_S)
    system.check_starts(case, site, load.results)


def test_zone_cut_off(case):
    """A zone serves jobs and applies changes without the other zone.

    The other zone's entry is suspended, at first the platform too. The
    suspended entry applies the change after it resumes.
    """
    zones = ("quimper-a", "lorient-a")
    with cluster.Site(zones=zones) as site:
        first, second = site.entries
        platform = site.platform_member
        with system.suspended(second.member):
            with (
                system.suspended(platform),
                system.LoadGenerator(site, [first]) as load,
            ):
                time.sleep(4.0)
            status, report = system.apply_configuration(
                first, {"preset": "peak"}, "--wait", "1"
            )
            case.assertEqual(status, 3, report)
            version = report["accepted"]["version"]
            entry = system.configuration_in_force(site, first)
            case.assertEqual(entry["version"], version)
        check_served(case, site, load)
        system.wait_until(
            case,
            lambda: all(
                system.configuration_in_force(site, entry)["version"] == version
                for entry in site.entries
            ),
            IN_FORCE_LIMIT_S,
        )
        case.assertEqual(
            system.configuration_in_force(site, second)["preset"], "peak"
        )


def test_platform_outage_under_load(case):
    """Jobs complete in time while the platform is down or slow.

    Configuration changes are rejected meanwhile and not written.
    """
    with cluster.Site(entries_per_zone=2) as site:
        first, second = site.entries
        before = system.configuration_row(site)["version"]
        with system.LoadGenerator(site, [first, second]) as load:
            for faults in ({"outage": True}, {"slow_ms": 4000}):
                site.set_faults(site.platform, **faults)
                time.sleep(1.0)
                status, report = system.apply_configuration(
                    first, {"preset": "peak"}
                )
                case.assertEqual(status, 1, report)
                case.assertEqual(report["error"]["type"], "store_unavailable")
                site.set_faults(site.platform, outage=False, slow_ms=0)
                case.assertEqual(
                    system.configuration_row(site)["version"], before
                )
        check_served(case, site, load)


def test_lost_answer_of_a_write(case):
    """A change is applied once if the platform's response to it is lost.

    The write takes effect each time; one or two responses are lost.
    """
    with cluster.Site(entries_per_zone=2) as site:
        for lost, preset in enumerate(("peak", "ordinary"), start=1):
            before = system.configuration_row(site)["version"]
            site.set_faults(site.platform, lose_answers=lost)
            status, report = system.apply_configuration(
                site.entries[0], {"preset": preset}
            )
            case.assertEqual(status, 0, report)
            row = system.configuration_row(site)
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
    """Both zones serve their callers during a partition and agree after it.

    During the partition, a submission of the other zone has an unknown outcome
    and only the zone that reaches the platform can change the configuration.
    After it, both zones return the same answer and configuration.
    """
    zones = ("quimper-a", "lorient-a")
    with relay.Relay() as link, relay.DividedSite(link, zones) as site:
        first, second = site.entries
        job = system.distinct_job(2, 1000, deadline_ms=20_000)
        loads = [
            system.LoadGenerator(site, [e], threads=4) for e in site.entries
        ]
        with loads[0], loads[1]:
            with system.BackgroundSubmission(site, first, job) as background:
                system.wait_until(
                    case, lambda: system.all_started(site, job), 5
                )
                link.cut()
                across = system.submit_with_id(
                    site, second, background.submission_id, job
                )
                case.assertEqual(across.outcome, "outcome_unknown", across)
                case.assertLess(across.ended_at - across.started_at, 6)
            version = check_changes_across(case, site)
            link.heal()
            system.wait_until(
                case,
                lambda: system.configuration_in_force(site, second)["version"]
                == version,
                IN_FORCE_LIMIT_S,
            )
            case.assertEqual(
                *(
                    system.configuration_in_force(site, entry)
                    for entry in site.entries
                )
            )
        for load in loads:
            check_served(case, site, load)
        again = system.submit_with_id(
            site, second, background.submission_id, job
        )
        case.assertEqual(again.body, background.result.body)
        system.check_starts(case, site, [background.result])
        case.assertEqual(system.configuration_row(site)["version"], version)


def check_changes_across(case, site):
    """Changes the configuration during a partition; returns its version."""
    first, second = site.entries
    before = system.configuration_in_force(site, second)
    status, report = system.apply_configuration(
        first, {"preset": "peak"}, "--wait", "1"
    )
    case.assertEqual(status, 3, report)
    version = report["accepted"]["version"]
    case.assertEqual(
        system.configuration_in_force(site, first)["version"], version
    )
    status, report = system.apply_configuration(
        second, {"preset": "maintenance"}
    )
    case.assertEqual(status, 1, report)
    case.assertEqual(system.configuration_in_force(site, second), before)
    return version
