"""Tests of the loop that carries out an entry's effects."""

import asyncio
import contextlib

from anvilford.daemon._runtime import EntryRuntime
from anvilford.model import JobLimits
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)


class FaultyCore:
    """Raises for the first events, then counts."""

    def __init__(self, faults):
        self.faults = faults
        self.handled = 0

    def handle(self, event, now):
        """Fails as often as it was told to."""
        del event, now
        if self.faults:
            self.faults -= 1
            raise ValueError("fault of the test")
        self.handled += 1
        return []

    def next_wakeup(self, now):
        """Asks for a tick soon."""
        return now + 0.01


class FaultyPlatform:
    """Raises for every read."""

    def __init__(self):
        self.reads = 0

    async def list_vms(self):
        """Fails."""
        self.reads += 1
        raise ValueError("fault of the test")

    async def read_row(self, key):
        """Fails."""
        raise ValueError(f"fault of the test: {key}")


def test_faults_end_neither_ticks_nor_polls(case):
    """Guards against an entry that stands still after one fault."""

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
