"""Short runs of the soak test with fixed seeds."""

import asyncio

from testkit import function_tests
from testkit.soak import run_seed
from testkit.soak import SoakOptions

load_tests = function_tests(__name__)

# Seeds that failed before, each with the cause of the failure.
REGRESSIONS = {
    108: "runs accepted by a restarted target were treated as lost",
    202: "runs accepted by a restarted target were treated as lost",
    9631: "a deadly task started three times before and after all entries ended",
    9705: "a job counted as the cause of crashes by the deadly job beside it",
}
SEEDS = (1, 2)


def test_promises_hold_under_faults(case):
    """No guarantee is violated while faults overlap.

    For example, runs that a restarted target accepted before its new
    incarnation was known were treated as lost, and their tasks ran twice.
    """
    options = SoakOptions(entries=3, targets=4, length=8.0)
    for seed in (*SEEDS, *REGRESSIONS):
        with case.subTest(seed=seed, cause=REGRESSIONS.get(seed)):
            report = asyncio.run(run_seed(seed, options))
            case.assertEqual(report.violations, [])
            case.assertGreater(report.status_counts[200], 0)
