"""Tests of the shares of queues that compete for a service."""

import pathlib
import random
from unittest import mock

import attrs

from anvilford.order_model._by_queue import measure
from anvilford.order_model._scenario import load_scenario
from anvilford.placement import _refusals
from anvilford.placement._shares import FIRST_FACTOR
from anvilford.placement._shares import QueueShares
from testkit import function_tests

load_tests = function_tests(__name__)
SCENARIOS = (
    pathlib.Path(_refusals.__file__).parents[1] / "order_model/scenarios"
)


def offer_for(
    shares: QueueShares,
    start: float,
    seconds: float,
    rates: dict[str, tuple[int, float, float]],
) -> float:
    """Records offers of one unit of work.

    Args:
        shares: The shares.
        start: Time of the first offer, in seconds.
        seconds: Time during which jobs are offered, in seconds.
        rates: Priority, offers per second and admitted part, by queue.

    Returns:
        Time of the last offer, in seconds.
    """
    rng = random.Random(5)
    step = 0.01
    now = start
    for number in range(int(seconds / step)):
        now = start + number * step
        for queue, (priority, rate, part) in rates.items():
            for _ in range(int(rate * step)):
                is_admitted = rng.random() < part
                shares.record(queue, priority, 1.0, is_admitted, now)
    return now


def test_queue_that_falls_behind_is_served_more(case):
    """Guards against a queue that bears the refusals of all during a burst."""
    shares = QueueShares()
    now = offer_for(
        shares,
        0.0,
        5.0,
        {"a": (0, 100, 1.0), "b": (1, 100, 0.9), "c": (2, 100, 0.5)},
    )
    case.assertGreater(shares.factor("c", now), 2 * shares.factor("b", now))
    case.assertGreaterEqual(shares.factor("a", now), FIRST_FACTOR)


def test_burst_is_no_claim_on_the_shares_of_others(case):
    """A queue at many times its usual rate must get only what others leave.

    Half of its work is admitted, which is five times its usual rate. By the
    admitted part of all that it offers, it would be the one that is behind.
    """
    shares = QueueShares()
    now = offer_for(shares, 0.0, 30.0, {"a": (1, 100, 1.0), "b": (2, 100, 1.0)})
    now = offer_for(shares, now, 2.0, {"a": (1, 100, 0.9), "b": (2, 1000, 0.5)})
    case.assertGreater(shares.factor("a", now), 1.5 * shares.factor("b", now))


def test_first_priority_loses_its_preference_in_a_burst_of_its_own(case):
    """Guards against a first queue that displaces all others in a burst."""
    shares = QueueShares()
    rates = {"a": (0, 100, 1.0), "b": (1, 100, 1.0)}
    now = offer_for(shares, 0.0, 30.0, rates)
    rates = {"a": (0, 1000, 0.9), "b": (1, 100, 0.3)}
    now = offer_for(shares, now, 3.0, rates)
    case.assertLess(shares.factor("a", now), 0.5)
    case.assertGreater(shares.factor("b", now), shares.factor("a", now))


def test_a_single_priority_changes_nothing(case):
    """The shares must take effect only for queues of different priorities."""
    shares = QueueShares()
    case.assertEqual(shares.factor("a", 0.0), 1.0)
    now = offer_for(shares, 0.0, 5.0, {"a": (0, 100, 1.0), "b": (0, 100, 0.2)})
    case.assertEqual(shares.factor("a", now), 1.0)
    case.assertEqual(shares.factor("b", now), 1.0)


def test_number_of_queues_is_bounded(case):
    """Guards against memory that grows with the queues of each configuration."""
    shares = QueueShares()
    for number in range(1000):
        shares.record(f"q{number}", number % 2, 1.0, True, float(number))
    case.assertLessEqual(len(shares._meters), 64)


def test_burst_of_all_with_targets_taken_away(case):
    """Replays the burst for which the shares were made, on a quarter of a site.

    Without them, the queue of the first priority lost as much as the others.
    """
    scenario = load_scenario(SCENARIOS / "overload_all.json").ok
    halved = [
        attrs.evolve(group, count=group.count // 2)
        for group in scenario.targets
    ]
    rate = 0.75 * scenario.wave.per_second
    scenario = attrs.evolve(
        scenario,
        targets=halved,
        wave=attrs.evolve(scenario.wave, per_second=rate),
        seeds=[1, 2],
    )
    case.assertTrue(scenario.lost_target_ids())
    with_shares = measure(scenario)["groups"]
    with mock.patch.object(QueueShares, "factor", return_value=1.0):
        without = measure(scenario)["groups"]
    first = "queue first"
    case.assertGreater(
        with_shares[first]["in_time"], without[first]["in_time"] + 0.03
    )
    case.assertGreater(with_shares["all"]["worth"], without["all"]["worth"])
