"""Simulated sites with fixed seeds, and the parts of the simulation."""

import asyncio
import os
import pathlib
import random
import re
import subprocess
import sys
from unittest import mock

from anvilford.order_model import FakeTarget
from testkit import function_tests
from testkit.site_simulation import Options
from testkit.site_simulation import simulate
from testkit.site_simulation._loop import call_inside
from testkit.site_simulation._loop import SimulatedProcess
from testkit.site_simulation._loop import VirtualLoop
from testkit.site_simulation._network import Block
from testkit.site_simulation._network import Network
from testkit.site_simulation._network import UNACKNOWLEDGED_TIMEOUT_S
from testkit.site_simulation._trace import find_overlaps
from testkit.site_simulation._trace import Run

load_tests = function_tests(__name__)

ROOT = pathlib.Path(__file__).resolve().parents[3]
SEEDS = (1, 3)
# Seeds that failed before the fix of issue 46, each with the cause.
REGRESSIONS = {
    8: "offers that the network held reached a leader that started the jobs",
    31: "offers that the network held reached a leader that started the jobs",
    42: "a resumed entry took a request for new that its caller had left",
}
# Longest time for a command, in seconds; it takes less than a tenth of it.
COMMAND_TIMEOUT_S = 60


def _run_command(*arguments: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-m", "testkit.site_simulation", *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": "0"},
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


def _run_on_virtual_clock(scenario) -> object:
    """Runs a coroutine function on a virtual clock; returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(scenario())


def test_no_task_has_two_runs_at_once(case):
    """Guards against second runs while cuts, suspensions and kills overlap.

    Two runs of a task were seen twice on the users' site kerlann-fill.
    """
    for seed in (*SEEDS, *REGRESSIONS):
        result = _run_command("--seed", str(seed))
        case.assertEqual(result.returncode, 0, result.stdout + result.stderr)


def test_a_seed_repeats_the_same_run(case):
    """Guards against findings that cannot be repeated."""
    texts = [
        re.sub(
            r"[0-9.]+ s$",
            "",
            _run_command("--seed", "3", "--length", "20").stdout,
            flags=re.MULTILINE,
        )
        for _ in range(2)
    ]
    case.assertIn("seed 3: ", texts[0])
    case.assertEqual(*texts)


def test_check_sees_runs_without_leases(case):
    """Guards against a check that passes whatever the targets do.

    Runs that no lease ends go on after their leader is lost. Which seeds show it
    depends on the draws of the product: 1, 2 and 8 did before it changed.
    """

    def extend_lease(target: FakeTarget, deadline_ms: int, now: float) -> None:
        del now
        longer = deadline_ms + 60_000
        target.lease_end_ms = max(target.lease_end_ms, longer)

    with mock.patch.object(FakeTarget, "_extend_lease", extend_lease):
        reports = [simulate(Options(seed, 30.0)) for seed in (1, 2, 8, 3, 11)]
    traces = [trace for report in reports for trace in report.traces]
    case.assertTrue(traces)
    case.assertEqual(sum(len(r.overlaps) for r in reports), len(traces))
    case.assertIn(" RUN ", traces[0])
    case.assertIn(" CALL ", traces[0])


def test_overlap_of_two_runs_is_found(case):
    """Guards against runs that are not compared with all runs before."""

    def run(number: int, target: str, begin: float, end: float) -> Run:
        return Run("job.0.0.0", number, target, begin, end, "done")

    long = run(1, "t0", 1.0, 9.0)
    short = run(2, "t1", 2.0, 3.0)
    later = run(3, "t1", 4.0, 5.0)
    after = run(4, "t2", 9.0, 10.0)
    case.assertEqual(
        find_overlaps({"job.0.0.0": [long, short, later, after]}),
        [(long, short), (long, later)],
    )


def test_suspended_process_runs_what_arrived_afterwards(case):
    """Guards against callbacks that run during a suspension, or get lost."""

    async def scenario():
        loop = asyncio.get_running_loop()
        process = SimulatedProcess("entry")
        seen = []
        call_inside(process, loop.call_later, 1.0, seen.append, "timer")
        await asyncio.sleep(0.5)
        process.is_suspended = True
        call_inside(process, seen.append, "message")
        await asyncio.sleep(5.0)
        case.assertEqual(seen, [])
        loop.resume(process)
        await asyncio.sleep(0.1)
        return seen

    case.assertEqual(_run_on_virtual_clock(scenario), ["message", "timer"])


def test_killed_process_runs_nothing(case):
    """Guards against timers of a killed process that still run."""

    async def scenario():
        loop = asyncio.get_running_loop()
        process = SimulatedProcess("entry")
        seen = []
        call_inside(process, loop.call_later, 1.0, seen.append, "timer")
        await asyncio.sleep(0.5)
        process.is_dead = True
        call_inside(process, seen.append, "message")
        await asyncio.sleep(5.0)
        return seen

    case.assertEqual(_run_on_virtual_clock(scenario), [])


def test_held_bytes_arrive_late_and_cut_ones_are_dropped(case):
    """Guards against cuts that lose what the network only held, or revive."""

    async def deliver(kind: Block, length_s: float) -> list[str]:
        network = Network(random.Random(1))
        seen = []
        end = network.block([("a", "b")], kind)
        network.send(
            "a",
            "b",
            lambda: seen.append("delivered"),
            lambda: seen.append("given up"),
        )
        network.send("b", "a", lambda: seen.append("other way"))
        await asyncio.sleep(length_s)
        end()
        await asyncio.sleep(length_s + 1.0)
        return seen

    long = UNACKNOWLEDGED_TIMEOUT_S + 1.0
    case.assertEqual(
        _run_on_virtual_clock(lambda: deliver(Block.HELD, long)),
        ["other way", "delivered"],
    )
    case.assertEqual(
        _run_on_virtual_clock(lambda: deliver(Block.CUT, long)),
        ["other way", "given up"],
    )
    case.assertEqual(
        _run_on_virtual_clock(lambda: deliver(Block.CUT, 1.0)),
        ["other way", "delivered"],
    )
