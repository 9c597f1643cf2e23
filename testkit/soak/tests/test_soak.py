"""Short seeded runs of the soak."""

import asyncio

from testkit import function_tests
from testkit.soak import run_seed
from testkit.soak import SoakOptions

load_tests = function_tests(__name__)

# Seeds that failed once, each with its cause.
REGRESSIONS = {
    108: "runs that a restarted target had accepted were taken for lost",
    202: "runs that a restarted target had accepted were taken for lost",
}
SEEDS = (1, 2)


def test_promises_hold_under_faults(case):
    """Guards against promises that break when faults overlap."""
    options = SoakOptions(entries=3, targets=4, length=8.0)
    for seed in (*SEEDS, *REGRESSIONS):
        with case.subTest(seed=seed, cause=REGRESSIONS.get(seed)):
            report = asyncio.run(run_seed(seed, options))
            case.assertEqual(report.violations, [])
            case.assertGreater(report.statuses[200], 0)
