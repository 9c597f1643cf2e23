"""Tests for the measurement by queue, zone and time window."""

import json
import pathlib
import tempfile

from anvilford.order_model._by_queue import format_groups
from anvilford.order_model._by_queue import measure
from anvilford.order_model._scenario import load_scenario
from testkit import function_tests

load_tests = function_tests(__name__)

SCENARIOS = pathlib.Path(__file__).parents[1] / "scenarios"


def load_changed(name: str, **changes):
    """Returns a scenario file with other values, and one seed."""
    value = json.loads((SCENARIOS / f"{name}.json").read_text())
    value |= {"length_s": 6.0, "seeds": [1], **changes}
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "changed.json"
        path.write_text(json.dumps(value))
        return load_scenario(path).ok


def test_only_the_bursting_queue_asks_more(case):
    """Guards against a burst that raises the rate of the other queues too.

    The comparison of queues during a burst of one of them would mean nothing.
    """
    jobs = load_changed("overload_second").make_jobs(1, 0.0)

    def count(name: str, start: float, end: float) -> int:
        return sum(
            job.kind.policy.name == name and start <= job.arrival_time < end
            for job in jobs
        )

    case.assertGreater(
        count("second", 3.0, 6.0), 1.5 * count("second", 0.0, 3.0)
    )
    for name in ("first", "third"):
        ratio = count(name, 3.0, 6.0) / count(name, 0.0, 3.0)
        case.assertTrue(0.8 < ratio < 1.25, ratio)
    case.assertEqual(len({job.job_id for job in jobs}), len(jobs))


def test_waves_reach_the_zones_one_after_another(case):
    """Guards against waves that reach all zones at the same time."""
    jobs = load_changed("overload_waves", length_s=13.0).make_jobs(1, 0.0)
    early = [job.zone for job in jobs if job.arrival_time < 6.5]
    late = [job.zone for job in jobs if job.arrival_time >= 6.5]
    case.assertGreater(early.count("z0"), 1.3 * late.count("z0"))
    case.assertGreater(late.count("z2"), 1.3 * early.count("z2"))


def test_measurement_adds_up(case):
    """Each job must count once among the queues and once among the zones."""
    lost = {"share": 0.15, "at_s": 3.0}
    scenario = load_changed("overload_all", lost_targets=lost)
    case.assertEqual(len(scenario.lost_target_ids()), 12)
    report = measure(scenario)
    groups = report["groups"]
    for kind in ("queue ", "zone "):
        members = [groups[name] for name in groups if name.startswith(kind)]
        asked = sum(figures["asked"] for figures in members)
        case.assertEqual(asked, groups["all"]["asked"])
    case.assertLessEqual(
        groups["worst window"]["worth"], groups["all"]["worth"]
    )
    case.assertIn("queue second", format_groups(report))
