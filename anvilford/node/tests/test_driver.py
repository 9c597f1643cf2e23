"""Tests of `PlacerDriver`."""

import asyncio
import contextlib
import time
from unittest import mock

from anvilford.node import _clock as clock
from anvilford.node._driver import PlacerDriver
from anvilford.node._driver import SUSPENSION_THRESHOLD_S
from anvilford.node._driver import TICK_INTERVAL_S
from anvilford.placement import CrashHistory
from anvilford.placement import JobSpec
from anvilford.placement import Offer
from anvilford.placement import OutcomeKind
from anvilford.placement import PlacementOptions
from anvilford.placement import QueuePolicy
from anvilford.placement import Report
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.placement import TargetRecord
from anvilford.placement._run_samples import KindSamples
from anvilford.placement._run_samples import KindSums
from anvilford.placement._run_samples import PairSamples
from anvilford.placement._state import Ownership
from anvilford.telemetry import Counters
from testkit import function_tests

load_tests = function_tests(__name__)

TARGET = TargetRecord(
    "r1", 3, "127.0.0.1:1", "a", "line", False, 0, Resources(8000), (), 1
)


def make_driver() -> PlacerDriver:
    """Returns a driver without targets that closes after a suspension."""
    return PlacerDriver(
        64,
        PlacementOptions(),
        mock.Mock(name="calls"),
        Counters(),
        on_fence_lost=mock.Mock(),
        on_suspended=lambda driver: driver.close(),
        crashes=CrashHistory(),
    )


def make_offer(job_id: str) -> Offer:
    """Returns an offer of a job with one task."""
    step = StepSpec(1, Resources(1000), 50)
    policy = QueuePolicy("check", "line", 0, 3, 1.6, 60)
    return Offer(job_id, "entry-0", policy, JobSpec("", (step,)), 0.0, 2.0)


def test_offer_after_a_suspension_is_handed_back(case):
    """An offer that arrives first after a suspension is answered `MOVED`.

    The driver detects the suspension while it receives the offer, and closes.
    An offer registered after that would never be answered.
    """

    async def scenario():
        driver = make_driver()
        resumed_at = clock.now() + 2 * SUSPENSION_THRESHOLD_S
        with mock.patch.object(clock, "now", return_value=resumed_at):
            job = driver.place(make_offer("00000000000000a1"))
            outcome = await asyncio.wait_for(job, 1.0)
        case.assertEqual(outcome.kind, OutcomeKind.MOVED)

    asyncio.run(scenario())


def test_order_that_raises_counts_as_unanswered(case):
    """A target must be polled again after its poll raised an exception.

    The poll would stay pending, and the target would never be used again.
    """

    async def scenario():
        driver = make_driver()
        driver.target_client.poll = mock.AsyncMock(
            side_effect=[
                OverflowError(),
                Report(5, (), (), TARGET.incarnation),
            ]
        )
        with case.assertLogs("anvilford.node._driver", "ERROR"):
            driver.start([TARGET], [], True)
            await asyncio.sleep(3 * TICK_INTERVAL_S)
        target = driver.placer.fleet.targets[TARGET.target_id]
        case.assertIs(target.ownership, Ownership.OWNED)
        driver.close()

    asyncio.run(scenario())


def test_ticks_go_on_after_an_exception(case):
    """An exception in one tick must not end the ticks.

    Without them, leases are not extended and lost runs do not start again.
    """

    async def scenario():
        driver = make_driver()
        asyncio.get_running_loop().set_exception_handler(mock.Mock())
        driver.placer.tick = mock.Mock(side_effect=[KeyError(), None, None])
        with contextlib.suppress(KeyError):
            driver.start([], [], True)
        await asyncio.sleep(3 * TICK_INTERVAL_S)
        case.assertGreater(driver.placer.tick.call_count, 1)
        driver.close()

    asyncio.run(scenario())


def test_busy_event_loop_is_noticed(case):
    """The placer must learn that its process is short of processor time."""

    async def scenario():
        driver = make_driver()
        driver.start([], [], True)
        await asyncio.sleep(5 * TICK_INTERVAL_S)
        idle = driver.placer.event_delay
        for _ in range(5):
            time.sleep(0.1)  # Blocks the event loop, as work for events does.
            await asyncio.sleep(0.001)
        busy = driver.placer.event_delay
        driver.close()
        return idle, busy

    idle, busy = asyncio.run(scenario())
    case.assertLess(idle, 0.01)
    case.assertGreater(busy, 0.04)


def test_known_interference_is_logged_counted_and_shown(case):
    """Guards against placement that changes without a trace for operators."""

    async def scenario():
        driver = make_driver()
        monitor = driver.placer.fleet.interference
        plan, check = ("plan", 0), ("check", 0)
        pair = PairSamples(seen_at=clock.now())
        groups = [KindSums(100.0, 0.0, 10.0) for _ in pair.groups]
        monitor.kinds[check] = KindSamples(groups, {plan: pair})
        for group in pair.groups:
            group.x = group.xx = 20.0
            group.xy = 20.0
        with case.assertLogs("anvilford.node._driver", "WARNING") as logs:
            driver.placer.tick(clock.now() + 1.0)
            driver._apply_effects()
        case.assertEqual(
            [r.getMessage() for r in logs.records], ["interference known"]
        )
        case.assertEqual(logs.records[0].slowed_by, "plan/0")
        shown = {"kind": "check/0", "slowed_by": "plan/0"}
        (described,) = driver.describe_interference()
        case.assertEqual(described, described | shown)
        case.assertGreater(described["ratio"], 2.0)
        counted = driver.counters.count("decisions", event="interference_known")
        case.assertEqual(counted, 1)
        for group in pair.groups:
            group.xy = 0.0
        with case.assertLogs("anvilford.node._driver", "WARNING") as logs:
            driver.placer.tick(clock.now() + 2.0)
            driver._apply_effects()
        case.assertEqual(
            [(r.getMessage(), r.reason) for r in logs.records],
            [("interference forgotten", "not_confirmed")],
        )
        case.assertEqual(driver.describe_interference(), [])
        case.assertEqual(monitor.partners, {})

    asyncio.run(scenario())
