"""Tests of the experiments."""

import contextlib
import io
import json
import pathlib
import tempfile

import attrs

from anvilford import experiments
from anvilford.experiments import _measures
from anvilford.experiments import _simulation
from anvilford.experiments import _workload
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)

SCENARIOS = pathlib.Path(experiments.__file__).parent / "scenarios"


@fixture
def directory():
    """Yields an empty temporary directory."""
    with tempfile.TemporaryDirectory() as path:
        yield pathlib.Path(path)


def scenario(name="kerlann_ordinary_day", **changes):
    """Loads a shipped scenario, with one seed and a run time of 4 s.

    Args:
        name: Name of the scenario.
        **changes: Values that replace those of the scenario.
    """
    loaded = experiments.load_scenario(SCENARIOS / f"{name}.json").ok
    changes = {"warmup_s": 1, "duration_s": 3, "window_s": 1} | changes
    return attrs.evolve(loaded, seeds=[1], **changes)


def test_shipped_scenarios_load(case):
    """All shipped scenarios are valid, named as their file, with 5 seeds."""
    paths = sorted(SCENARIOS.glob("*.json"))
    case.assertGreater(len(paths), 10)
    for path in paths:
        loaded = experiments.load_scenario(path)
        case.assertTrue(loaded.is_ok(), f"{path} {loaded}")
        case.assertEqual(loaded.ok.name, path.stem)
        case.assertGreaterEqual(len(loaded.ok.seeds), 5)


def test_bad_scenarios_name_the_path(case, directory):
    """An invalid scenario is refused with the path of the invalid value.

    Covers a value out of range, an unknown key, and references to a zone and a
    target that do not exist.
    """
    good = json.loads((SCENARIOS / "kerlann_bad_targets.json").read_text())
    table = [
        ({"load": 0}, "load"),
        ({"sedes": [1]}, ""),
        ({"entries": [{"zone": "nowhere", "weight": 1}]}, "entries/0/zone"),
        ({"faults": [good["faults"][0] | {"target": 24}]}, "faults/0/target"),
    ]
    path = directory / "scenario.json"
    for change, where in table:
        path.write_text(json.dumps(good | change))
        case.assertEqual(experiments.load_scenario(path).error.path, where)


def test_equal_runs_give_equal_files(case, directory):
    """Two runs with the same arguments write identical files.

    Otherwise the figures could not be reproduced.
    """
    path = directory / "scenario.json"
    path.write_text(json.dumps(attrs.asdict(scenario())))
    texts = []
    for out in ("a", "b"):
        arguments = [str(path), "--out", str(directory / out)]
        with contextlib.redirect_stdout(io.StringIO()):
            status = experiments.main([*arguments, "--processes", "1"])
        case.assertEqual(status, 0)
        texts.append(
            [p.read_text() for p in sorted((directory / out).iterdir())]
        )
    case.assertEqual(len(texts[0]), 2)
    case.assertEqual(*texts)


def test_no_task_starts_twice_or_beyond_the_slots(case):
    """All policies respect slots, deadlines and the at-most-once start.

    A policy that broke these rules would have better figures than the others.
    """
    table = [
        ("kerlann_short_behind_long", {}),
        ("kerlann_ordinary_day_entries", {"remote_slots": 1}),
        ("cesteria_peak", {"load": 4}),
        ("cesteria_bad_targets", {"warmup_s": 25}),
    ]
    for name, changes in table:
        for policy in experiments.POLICIES:
            small = scenario(name, **changes)
            arrivals = _workload.make_arrivals(small, 1)
            run = _simulation.Simulation(small, policy, 1, arrivals)
            run.run()
            label = f"{name} {policy}"
            for record in run.records:
                case.assertNotEqual(record.outcome, "unanswered", label)
                tasks = len(record.arrival.job.tasks)
                case.assertLessEqual(record.started_tasks, tasks, label)
                if record.outcome == "not_run":
                    case.assertEqual(record.started_tasks, 0, label)
                budget = record.arrival.job.deadline_ms / 1000
                case.assertLessEqual(
                    record.answered_at, record.arrival.time_s + budget + 1e-9
                )
            for target in run.targets.values():
                case.assertEqual(target.running, {}, label)


def test_workload_meets_the_load(case):
    """The generated work and the mix of classes match the scenario."""
    small = scenario("kerlann_short_behind_long", duration_s=100)
    arrivals = _workload.make_arrivals(small, 3)
    offered = sum(a.total_run_time_s for a in arrivals) / 101 / small.capacity()
    case.assertAlmostEqual(offered, small.load, delta=0.04)
    long = sum(a.job_class == "long" for a in arrivals) / len(arrivals)
    case.assertAlmostEqual(long, 0.03, delta=0.005)


def test_slowdown_counts_lost_jobs_as_worst(case):
    """A job that did not complete counts with the worst slowdown.

    Otherwise a policy could improve its percentiles by refusing slow jobs.
    """
    small = scenario()
    arrival = _workload.make_arrivals(small, 1)[0]
    record = _simulation.JobRecord(arrival)
    case.assertEqual(
        _measures.slowdown(small, record), _measures.WORST_SLOWDOWN
    )
    record.outcome = "complete"
    record.answered_at = arrival.time_s + arrival.longest_run_time_s + 0.0002
    case.assertAlmostEqual(_measures.slowdown(small, record), 1.0)


def test_full_target_refuses(case):
    """A fake target refuses a task if all its slots are in use.

    A fake that accepted it would hide an overbooked target.
    """
    clock = _simulation.VirtualClock()
    target = _simulation.FakeTarget(clock, 1, 0.5, [])
    outcomes = []
    case.assertTrue(target.start("a", 1.0, outcomes.append))
    case.assertFalse(target.start("b", 1.0, outcomes.append))
    clock.run()
    case.assertEqual(clock.now, 2.0)
    case.assertEqual(len(outcomes), 2)
