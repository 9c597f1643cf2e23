"""Tests of configuration changes by operators on a running system."""

import time

from anvilford.daemon.tests import system
from standins import cluster
from testkit import function_tests

load_tests = function_tests(__name__)

RACES = 3
EXIT_NOT_IN_FORCE = 3
EXIT_CONFLICT = 4
# Time within which a change must be in force on every VM that runs.
IN_FORCE_LIMIT_S = 8
# A job that runs when a change begins and still runs when it is in force.
LONG_TASK_MS = 1000 * (IN_FORCE_LIMIT_S + 2)
LONG_DEADLINE_MS = 2 * LONG_TASK_MS


def test_racing_operators(case):
    """Of two concurrent changes of one version, exactly one is accepted.

    The other operator gets a conflict that names the author and version of the
    accepted change.
    """
    tokens = {
        "operator": cluster.OPERATOR_TOKEN,
        "other-operator": cluster.OTHER_OPERATOR_TOKEN,
    }
    with cluster.Site(entries_per_zone=2) as site:
        for race in range(RACES):
            before = system.configuration_row(site)["version"]
            preset = ("peak", "ordinary")[race % 2]
            # A slow platform makes both operators read the row before either
            # of them writes it.
            slow_ms = 400 if race % 2 else 0
            site.set_faults(site.platform, slow_ms=slow_ms)
            with system.document_file({"preset": preset}) as path:
                command = ["config", "apply", path]
                command += ["--expected-version", str(before)]
                processes = [
                    system.start_anvilctl(
                        [entry.operators], *command, token=token
                    )
                    for entry, token in zip(
                        site.entries, tokens.values(), strict=True
                    )
                ]
                results = [system.finish_anvilctl(p) for p in processes]
            site.set_faults(site.platform, slow_ms=0)
            check_race(case, site, dict(zip(tokens, results, strict=True)))
            case.assertEqual(
                system.configuration_row(site)["version"], before + 1
            )


def check_race(case, site, results):
    """Checks that one of two operators won.

    Args:
        case: The test case.
        site: The running system.
        results: Exit status and output of `anvilctl` by operator.
    """
    statuses = sorted(status for status, _ in results.values())
    case.assertEqual(statuses, [0, EXIT_CONFLICT], results)
    winner = min(results, key=lambda author: results[author][0])
    (loser,) = results.keys() - {winner}
    accepted = results[winner][1]["accepted"]
    error = results[loser][1]["error"]
    case.assertEqual(error["type"], "configuration_conflict")
    case.assertEqual(error["author"], winner)
    case.assertEqual(error["version"], accepted["version"])
    newest = system.configuration_row(site)["value"]["history"][-1]
    case.assertEqual(newest["author"], winner)
    case.assertEqual(newest["version"], accepted["version"])


def test_presets(case):
    """`anvilctl preset use` reports as in force only what every VM applies.

    A VM that cannot confirm the version must be listed as unconfirmed.
    """
    with cluster.Site(entries_per_zone=3) as site:
        status, report = system.anvilctl(
            site.entries[0], "preset", "use", "peak"
        )
        case.assertEqual(status, 0, report)
        expected = (report["accepted"]["version"], "peak")
        for entry in site.entries:
            found = system.configuration_in_force(site, entry)
            case.assertEqual((found["version"], found["preset"]), expected)
        case.assertEqual(len(report["vms"]), 3)
        check_suspended_vm(case, site)
        check_maintenance(case, site)


def check_suspended_vm(case, site):
    """Checks that a suspended VM is reported as unconfirmed."""
    first, _, third = site.entries
    with system.suspended(third.process):
        status, report = system.anvilctl(
            first, "preset", "use", "ordinary", "--wait", "2"
        )
    case.assertEqual(status, EXIT_NOT_IN_FORCE, report)
    case.assertEqual(report["unconfirmed"], [f"entry-{third.peers}"])
    version = report["accepted"]["version"]
    system.wait_until(
        case,
        lambda: system.configuration_in_force(site, third)["version"]
        == version,
        IN_FORCE_LIMIT_S,
    )


def check_maintenance(case, site):
    """Checks that `maintenance` rejects new jobs and completes running ones."""
    first = site.entries[0]
    job = system.distinct_job(4, LONG_TASK_MS, LONG_DEADLINE_MS)
    with system.BackgroundSubmission(site, first, job) as background:
        system.wait_until(case, lambda: system.all_started(site, job), 5)
        status, report = system.anvilctl(first, "preset", "use", "maintenance")
        case.assertEqual(status, 0, report)
        refused = [
            system.submit(site, entry, system.distinct_job(2))
            for entry in site.entries
        ]
        case.assertIsNone(background.result)
    for sent in refused:
        case.assertEqual((sent.status, sent.outcome), (503, "not_run"), sent)
        case.assertEqual(sent.body["reason"], "maintenance")
    case.assertEqual(background.result.outcome, "complete")
    time.sleep(0.3)
    system.check_answers(case, [background.result])
    system.check_starts(case, site, [background.result, *refused])
