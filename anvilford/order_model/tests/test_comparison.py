"""Tests for the comparison of scheduling policies."""

import json
import pathlib
import random
import tempfile

from anvilford.order_model import _baselines
from anvilford.order_model import _reference
from anvilford.order_model._comparison import compare
from anvilford.order_model._scenario import load_scenario
from anvilford.placement import Resources
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

SCENARIOS = pathlib.Path(__file__).parents[1] / "scenarios"


@fixture
def scenario():
    """The peak-load scenario of the users' site, with a shorter duration."""
    value = json.loads((SCENARIOS / "kerlann_crest.json").read_text())
    value |= {"length_s": 4.0, "seeds": [1, 2]}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "short.json"
        path.write_text(json.dumps(value))
        yield load_scenario(path).ok


def test_policies_keep_their_order(case, scenario):
    """The placer must earn more than the baselines and less than the reference.

    A reference below the placer would be no upper bound. A baseline above it
    would use knowledge that a baseline must not have.
    """
    report = compare(scenario)
    worth = {p: f["worth"] for p, f in report["policies"].items()}
    case.assertLess(worth["least_loaded_fifo"], worth["anvilford"])
    case.assertLess(worth["random_fit"], worth["anvilford"])
    case.assertLess(worth["anvilford"], worth["clairvoyant"])
    case.assertEqual(report, compare(scenario))


def test_reference_never_overbooks(case, scenario):
    """The reference plan must not reserve more CPU than a target has.

    With overlapping reservations it would earn more than is possible.
    """
    (target,) = scenario.make_targets()[:1]
    need = Resources(target.record.capacity.cpu_millis)
    timeline = _reference._Timeline(need.cpu_millis, 1.0)
    for _ in range(5):
        start = timeline.find_start(need, 1.0, after=0.0, end_by=3.0)
        if start is not None:
            timeline.reserve(need, start, start + 1.0)
    case.assertEqual(
        [span[0] for span in timeline.reservations], [0.0, 1.0, 2.0]
    )
    jobs = scenario.make_jobs(1, 0.1)
    one = _reference.plan(jobs, [target])
    case.assertEqual(one.asked, len(jobs))
    case.assertLess(one.share, 0.2)


def test_baseline_serves_a_light_load(case, scenario):
    """Baselines must serve nearly all jobs at light load.

    A baseline that fails here has a fault of its own, and the comparison at
    peak load would favour the placer.
    """
    jobs = scenario.make_jobs(1, 0.1)[::8]
    targets = scenario.make_targets()
    for target in targets:
        # The baselines do not know the speeds. With different speeds they
        # would lose worth on slow targets, which is not tested here.
        target.speed = 1.0
    for baseline in _baselines.Baseline:
        with case.subTest(baseline=baseline.value):
            result = _baselines.simulate(
                baseline, jobs, targets, random.Random(1)
            )
            case.assertGreater(result.share, 0.9)


def test_invalid_scenarios_are_refused(case):
    """A scenario with an unknown key or an invalid value must be rejected.

    Otherwise a mistyped scenario runs with defaults, unnoticed.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "bad.json"
        good = json.loads((SCENARIOS / "kerlann_day.json").read_text())
        for change in ({"length_s": -1}, {"unheard": 1}, {"targets": 3}):
            with case.subTest(change=change):
                path.write_text(json.dumps(good | change))
                case.assertTrue(load_scenario(path).is_error())
