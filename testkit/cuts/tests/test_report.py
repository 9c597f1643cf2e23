"""Tests of the checks of a play."""

import asyncio
import time

from anvilford.placement import Accepted
from anvilford.placement import Resources
from anvilford.placement import StartRun
from standins.runner import FakeTargetServer
from testkit import function_tests
from testkit.cuts._report import CallRecord
from testkit.cuts._report import CutReport
from testkit.cuts._report import find_overlaps
from testkit.cuts._report import read_terms

load_tests = function_tests(__name__)

RUN_S = 5.0


def lead(term: int, leader: str | None, at: int, is_partial=False) -> dict:
    """Returns the log record of a change of the leader."""
    return {
        "message": "leader changed",
        "leader": leader,
        "term": term,
        "is_partial": is_partial,
        "time": f"12:00:{at:02}",
    }


def test_terms_of_leaders(case):
    """Guards against leaders that take turns without being noticed.

    Only an entry's own record says that it led; the others follow it.
    """
    other = {"message": "leader sought", "term": 9}
    terms = read_terms(
        {
            "e0": [lead(1, "e0", 1), lead(2, "e1", 5), lead(3, "e0", 6)],
            "e1": [
                other,
                lead(1, "e0", 2),
                lead(2, None, 3),
                lead(2, "e1", 4),
                lead(3, "e1", 7),
                lead(4, "e1", 8, is_partial=True),
            ],
        }
    )
    case.assertEqual(
        [(term, name) for _, term, name in terms.leaderships],
        [(1, "e0"), (2, "e1"), (3, "e0"), (3, "e1")],
    )
    case.assertEqual(
        (terms.raised, terms.alternations, terms.shared), (4, 3, 1)
    )


async def restart_between_runs(second_at: float) -> list[str]:
    """Starts a task at a target that restarts, twice under one run number.

    Args:
        second_at: Time of the second start; the first is at 10 s, the crash at
            10.5 s, and a run of the same task elsewhere starts at 10.6 s.
    """
    first, other = (FakeTargetServer(n, "a", "line") for n in ("t0", "t1"))
    async with first, other:
        for server, at, run in (
            (first, 10.0, 1),
            (other, 10.6, 2),
            (first, second_at, 1),
        ):
            if at == second_at:
                first.target.restart(first.incarnation + 1, 10.5)
            order = StartRun(
                server.name,
                server.target.record.incarnation,
                "7.0",
                run,
                "",
                server.target.clock_ms(at) + 900,
                1,
            )
            answer = server.target.start(order, Resources(1), RUN_S, at)
            assert isinstance(answer, Accepted), answer
        return find_overlaps([first, other], 0.0)


def test_run_numbers_are_used_again_after_a_restart(case):
    """Guards against a run that seems to go on after its target crashed."""
    case.assertEqual(asyncio.run(restart_between_runs(11.6)), [])
    texts = asyncio.run(restart_between_runs(11.4))
    case.assertEqual(len(texts), 1, texts)


async def start_twice(first_at: float, second_at: float) -> list[str]:
    """Starts a task at two targets whose clocks differ.

    Args:
        first_at: Time of the first start, at a fast target.
        second_at: Time of the second start, at a slow one.
    """
    started = time.monotonic() - 100.0
    fast = FakeTargetServer("t0", "a", "line")
    slow = FakeTargetServer("t1", "b", "line")
    fast.clock_rate, fast.clock_offset_s = 1.02, 50.0
    slow.clock_rate, slow.clock_offset_s = 0.98, 900.0
    async with fast, slow:
        for server, at, run in ((fast, first_at, 1), (slow, second_at, 2)):
            now = (started + at) * server.clock_rate + server.clock_offset_s
            for seconds in (0.0, 0.5):
                order = StartRun(
                    server.name,
                    server.incarnation,
                    "7.0",
                    run,
                    "",
                    server.target.clock_ms(now + seconds) + 900,
                    1,
                )
                answer = server.target.start(
                    order, Resources(1), RUN_S, now + seconds
                )
                assert isinstance(answer, Accepted), answer
        return find_overlaps([fast, slow], started)


def test_overlaps_on_targets_with_clocks_of_their_own(case):
    """Guards against times of different clocks that are compared.

    The first run starts at 10 s, and its lease ends 1.4 s later on a clock that
    is 2% fast.
    """
    for second_at, count in (
        (10.2, 1),
        (11.3, 1),
        (11.5, 0),
        (8.0, 0),
        (9.0, 1),
    ):
        texts = asyncio.run(start_twice(10.0, second_at))
        case.assertEqual(len(texts), count, (second_at, texts))


def test_calls_of_a_job(case):
    """Guards against breaks that the report does not count."""
    report = CutReport()
    report.add_call(CallRecord("7", "e1", 11.0, 11.5, "silent", 0))
    report.add_call(CallRecord("8", "e1", 11.0, 11.5, "deadline", 0))
    report.add_call(CallRecord("7", "e0", 12.8, 14.0, "answer", 200))
    case.assertEqual(report.answers, {0: 2, 200: 1})
    case.assertEqual(report.breaks, {"silent": 1})
    case.assertEqual(
        report.describe_calls("7", {"e0": "a", "e1": "b"}, 10.0),
        [
            "1.000 to 1.500 e1 (b): silent 0",
            "2.800 to 4.000 e0 (a): answer 200",
        ],
    )
