"""Tests of `EntryRuntime` with a core and a platform that raise."""

import asyncio
import contextlib

from anvilford.daemon._runtime import EntryRuntime
from anvilford.model import JobLimits
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)


class FaultyCore:
    """Stands in for `EntryCore`; raises for the first events.

    Attributes:
        faults: Number of further events for which `handle` raises.
        handled: Number of events that were handled without an exception.
    """

    def __init__(self, faults):
        self.faults = faults
        self.handled = 0

    def handle(self, event, now):
        """Raises while `faults` is positive, then counts the event."""
        del event, now
        if self.faults:
            self.faults -= 1
            raise ValueError("fault of the test")
        self.handled += 1
        return []

    def next_wakeup(self, now):
        """Requests a tick 10 ms from now."""
        return now + 0.01


class FaultyPlatform:
    """Stands in for `PlatformClient`; every read raises.

    Attributes:
        reads: Number of reads of the VM list.
    """

    def __init__(self):
        self.reads = 0

    async def list_vms(self):
        """Counts the read and raises."""
        self.reads += 1
        raise ValueError("fault of the test")

    async def read_row(self, key):
        """Raises."""
        raise ValueError(f"fault of the test: {key}")


def test_faults_end_neither_ticks_nor_polls(case):
    """Ticks and polls continue after exceptions of the core or the platform.

    If one exception ended the timer or a polling task, the entry would stop
    working while its process still runs.
    """

    async def run():
        platform = FaultyPlatform()
        counters = Counters()
        core = FaultyCore(0)
        runtime = EntryRuntime(
            core, counters, None, platform, 0.01, JobLimits()
        )
        async with contextlib.AsyncExitStack() as stack:
            asyncio.get_running_loop().set_exception_handler(
                lambda *_: counters.increment("loop_errors")
            )
            await runtime.start(stack, None, None)
            core.faults = 2
            await asyncio.sleep(0.5)
        return core.handled, platform.reads, counters

    with case.assertLogs("anvilford.entry", "ERROR"):
        handled, reads, counters = asyncio.run(run())
    case.assertGreater(handled, 5)
    case.assertGreater(reads, 5)
    case.assertEqual(counters.count("loop_errors"), 2)
    case.assertGreater(counters.count("internal_errors"), 5)
