"""Short runs of the soak test with fixed seeds."""

import asyncio
import random
import signal
import time
from unittest import mock

from anvilford.http1 import ClientResponse
from standins.site import EntryProcess
from standins.site import LoopbackSite
from testkit import function_tests
from testkit.soak import _checks as checks
from testkit.soak import run_seed
from testkit.soak import SoakOptions
from testkit.soak._checks import SoakChecks
from testkit.soak._checks import SoakReport
from testkit.soak._run import _SoakRun

load_tests = function_tests(__name__)

# Seeds that failed before, each with the cause of the failure.
REGRESSIONS = {
    108: "runs accepted by a restarted target were treated as lost",
    202: "runs accepted by a restarted target were treated as lost",
    9631: "a deadly task started three times before and after all entries ended",
    9705: "a job counted as the cause of crashes by the deadly job beside it",
    10019: "members waited for the leader of a zone that had been cut off",
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


def test_entry_that_is_frozen_while_it_stops_is_not_started_again(case):
    """Guards against a soak that leaves an entry ended after the faults.

    An entry that had not ended 5 s after SIGTERM was taken for running. It
    ended later with status 0, and no request to it was answered (seed 202).
    """

    async def scenario():
        async with LoopbackSite(entries=1) as site:
            entry = site.entries["entry-0"]
            soak = _SoakRun(site, 0, SoakOptions(entries=1))
            soak.rng = mock.Mock(spec=random.Random)
            soak.rng.choice.return_value = entry
            soak.rng.uniform.return_value = 0.1
            stop = asyncio.ensure_future(soak.stop())
            await asyncio.sleep(0.2)
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(5.5)
            entry.send_signal(signal.SIGCONT)
            await stop
            await asyncio.sleep(3.0)
            case.assertIsNone(entry.process.poll())
            case.assertTrue(await site.is_ready("entry-0"))

    asyncio.run(scenario())


class SlowSite:
    """A site of many entries, each of which takes a while to answer.

    Attributes:
        entries: Doubles of the entries by name.
        status: Status of the answers by name; others are 200.
        answer_time_s: Time until an answer in seconds.
        asked: Names of the entries that were asked, in order.
        route_at: Monotonic time from which the entries have a new route.
    """

    def __init__(self, count, answer_time_s):
        self.entries = {f"entry-{n}": mock.Mock() for n in range(count)}
        self.status = {}
        self.answer_time_s = answer_time_s
        self.asked = []
        self.route_at = time.monotonic() + 1.0

    def new_job_id(self):
        """Returns a job id."""
        return "0" * 16

    async def submit(self, name, job_id):
        """Answers a job."""
        self.asked.append(name)
        await asyncio.sleep(self.answer_time_s)
        return ClientResponse(self.status.get(name, 200), b"")

    async def has_route(self, name, prefix):
        """Answers whether an entry has a route."""
        has_route = time.monotonic() >= self.route_at
        await asyncio.sleep(self.answer_time_s)
        return has_route and self.status.get(name, 200) == 200


def test_last_ones_of_many_entries_are_not_asked(case):
    """Guards against ready entries that are reported as not recovered.

    They were asked one after the other within one limit, so that with 48 of them
    no job was sent to the last ones.
    """

    async def violations(site, limit_s=3.0):
        found = SoakChecks(site, SoakReport(0))
        with mock.patch.object(checks, "RECOVERY_LIMIT_S", limit_s):
            await found.check_recovery()
        return found.report.violations

    site = SlowSite(48, answer_time_s=0.1)
    case.assertEqual(asyncio.run(violations(site)), [])
    case.assertEqual(set(site.asked), set(site.entries))
    site = SlowSite(48, answer_time_s=0.1)
    site.status["entry-47"] = 503
    case.assertIn("entry-47", "".join(asyncio.run(violations(site))))
    case.assertGreater(site.asked.count("entry-47"), 2)
    # Answers that come after the limit do not count.
    late = SlowSite(2, answer_time_s=1.0)
    case.assertEqual(len(asyncio.run(violations(late, limit_s=0.5))), 2)


def test_new_configuration_of_many_entries_is_not_seen(case):
    """Guards against entries that are reported as late and are not.

    They were asked one after the other. Of 48, some were not asked again after
    they had the configuration.
    """

    async def violations(site):
        found = SoakChecks(site, SoakReport(0))
        with mock.patch.object(checks, "APPLY_LIMIT_S", 3.0):
            await found.check_route("/new/")
        return found.report.violations

    site = SlowSite(48, answer_time_s=0.1)
    case.assertEqual(asyncio.run(violations(site)), [])
    site = SlowSite(48, answer_time_s=0.1)
    site.status["entry-47"] = 404
    found = asyncio.run(violations(site))
    case.assertEqual(len(found), 1)
    case.assertIn("entry-47", found[0])


def test_starts_of_many_entries_block_store_and_targets(case):
    """Guards against a store and targets that stand still during the starts.

    The entries that had started gave up connection after connection, three
    descriptors each, until the process of the soak had no more of them.
    """
    turns = 0
    turns_at_starts = []

    async def count_turns():
        nonlocal turns
        while True:
            await asyncio.sleep(0)
            turns += 1

    async def scenario():
        site = LoopbackSite(entries=20)
        site.wait_ready = mock.AsyncMock()
        counter = asyncio.ensure_future(count_turns())
        start = mock.Mock(side_effect=lambda: turns_at_starts.append(turns))
        with mock.patch.object(EntryProcess, "start", start):
            async with site:
                soak = _SoakRun(site, 0, SoakOptions(entries=20))
                soak.rng = mock.Mock(spec=random.Random)
                soak.rng.uniform.return_value = 0.0
                await asyncio.gather(
                    *(soak.restart_entry(e) for e in site.entries.values())
                )
        counter.cancel()

    asyncio.run(scenario())
    case.assertEqual(len(turns_at_starts), 40)
    # The event loop has run between any two starts.
    case.assertEqual(len(set(turns_at_starts)), 40)


def test_entry_is_started_twice_while_others_start(case):
    """Guards against a second process of an entry, which ends at once.

    Two faults had ended the entry, and both restarted it when its turn came.
    """

    async def scenario():
        site = LoopbackSite(entries=3)
        entries = [
            EntryProcess(f"entry-{n}", *[""] * 4, None, None) for n in range(3)
        ]

        def start(entry):
            entry.process = mock.Mock(poll=lambda: None)

        with mock.patch.object(EntryProcess, "start", autospec=True) as started:
            started.side_effect = start
            await asyncio.gather(
                *(site.start_entry(entry) for entry in (*entries, *entries))
            )
            case.assertEqual(started.call_count, 3)

    asyncio.run(scenario())
