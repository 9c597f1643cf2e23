"""Tests of what the soak measures of its own process and of entries."""

import asyncio
import signal
import subprocess
import sys
import time
from unittest import mock

from standins.site import EntryProcess
from testkit import function_tests
from testkit.soak import _checks as checks
from testkit.soak._checks import SoakChecks
from testkit.soak._checks import SoakReport

load_tests = function_tests(__name__)

LIMIT_S = 0.6
LATE_S = 0.5


class LateSite:
    """A site of one entry that gets a new route late.

    Attributes:
        entries: Double of the entry by name.
        route_at: Monotonic time from which it has the route.
    """

    def __init__(self):
        self.entries = {"entry-0": mock.Mock(process=None)}
        self.route_at = time.monotonic() + LIMIT_S + LATE_S

    async def has_route(self, name, prefix):
        """Answers whether the entry has a route."""
        await asyncio.sleep(0)
        return time.monotonic() >= self.route_at


async def find_late_entry(blocked_s: float) -> list[str]:
    """Returns violations of an entry that is late by `LATE_S`.

    Args:
        blocked_s: Time for which this process stands still meanwhile, in
            seconds.
    """
    found = SoakChecks(LateSite(), SoakReport(0))
    with mock.patch.object(checks, "APPLY_LIMIT_S", LIMIT_S):
        async with found.stalls:
            await asyncio.sleep(0.1)
            found.site.route_at = time.monotonic() + LIMIT_S + LATE_S
            asyncio.get_running_loop().call_later(0.2, time.sleep, blocked_s)
            await found.check_route("/new/")
    return found.report.violations


def test_entry_is_late_while_the_store_stands_still(case):
    """Guards against entries reported as late that wait for the store.

    The process of the soak, which carries the store, got no processor for more
    than a second (known failure 38).
    """
    case.assertEqual(asyncio.run(find_late_entry(LATE_S + 0.2)), [])


def test_late_entry_is_excused_without_a_stall(case):
    """Guards against a limit that is longer than what was measured."""
    for blocked_s in (0.0, 0.2):
        found = asyncio.run(find_late_entry(blocked_s))
        case.assertEqual(len(found), 1, blocked_s)


def test_earlier_stall_counts_for_a_later_check(case):
    """Guards against a limit that grows by stalls from before the check."""

    async def scenario():
        stalls = SoakChecks(LateSite(), SoakReport(0)).stalls
        async with stalls:
            await asyncio.sleep(0.1)
            time.sleep(0.3)
            await asyncio.sleep(0.1)
            since = time.monotonic()
            await asyncio.sleep(0.1)
            case.assertEqual(stalls.stalled_s(since), 0.0)
            time.sleep(0.3)
            # Also before the loop runs again.
            case.assertGreater(stalls.stalled_s(since), 0.25)
            case.assertLess(stalls.stalled_s(since), 0.4)

    asyncio.run(scenario())


def test_state_of_a_late_entry_is_not_known(case):
    """Guards against a report that does not tell why an entry was late."""
    entry = EntryProcess("entry-0", *[""] * 4, None, None)
    case.assertIsNone(checks.sample_entry(entry))
    with subprocess.Popen(
        [sys.executable, "-c", "while True: pass"]
    ) as process:
        entry.process = process
        time.sleep(0.3)
        before = checks.sample_entry(entry)
        time.sleep(0.5)
        after = checks.sample_entry(entry)
        case.assertEqual(after.state, "R")
        case.assertGreater(
            after.ran_s + after.queued_s - before.ran_s - before.queued_s, 0.4
        )
        process.send_signal(signal.SIGSTOP)
        time.sleep(0.2)
        text = checks.describe_process(before, checks.sample_entry(entry))
        case.assertIn("state T", text)
        process.kill()
        process.wait()
        case.assertIsNone(checks.sample_entry(entry))
