"""Simulated runs of several entries under faults, checked for invariants."""

import itertools

from testkit import function_tests
from testkit.simulation import ApplyConfiguration
from testkit.simulation import CancelWave
from testkit.simulation import check_history
from testkit.simulation import DrainEntry
from testkit.simulation import FailingTarget
from testkit.simulation import HangTarget
from testkit.simulation import KillEntry
from testkit.simulation import KillTarget
from testkit.simulation import PartitionZone
from testkit.simulation import PlatformOutage
from testkit.simulation import run_scenario
from testkit.simulation import Scenario
from testkit.simulation import SuspendEntry
from testkit.simulation import TargetLeaving
from testkit.simulation.__main__ import check_random_scenario

load_tests = function_tests(__name__)

FAULTS = {
    "none": (),
    "freeze": (SuspendEntry(1.0, 0, 4.0),),
    "kill": (KillEntry(1.0, 0),),
    "drain": (DrainEntry(1.0, 0),),
    "cut": (PartitionZone(1.0, 1, 4.0),),
    "outage": (PlatformOutage(0.5, 5.0),),
    "failing target": (FailingTarget(1.0, 0, 3.0),),
    "hanging target": (HangTarget(1.0, 0, 3.0),),
    "vanished target": (KillTarget(1.0, 0),),
    "target leaving by list": (TargetLeaving(1.0, 0, "list"),),
    "target leaving by answer": (TargetLeaving(1.0, 0, "answer"),),
    "target leaving by operator": (TargetLeaving(1.0, 0, "operator"),),
    "cancel waves": (CancelWave(1.0, 0.8), CancelWave(2.0, 0.8)),
    "racing operators": (
        ApplyConfiguration(1.0, "peak"),
        ApplyConfiguration(2.0, "ordinary"),
    ),
}
TWICE = {
    "freeze twice": (SuspendEntry(1.0, 0, 2.0), SuspendEntry(3.5, 0, 2.0)),
    "freeze two": (SuspendEntry(1.0, 0, 3.0), SuspendEntry(1.0, 1, 3.0)),
    "kill twice": (KillEntry(1.0, 0, 0.5), KillEntry(3.0, 0, 0.5)),
    "drain in a row": (DrainEntry(1.0, 0), DrainEntry(2.0, 1)),
    "drain twice": (DrainEntry(1.0, 0, 0.5), DrainEntry(4.0, 0, 0.5)),
    "cut both zones": (PartitionZone(1.0, 0, 2.0), PartitionZone(2.0, 1, 3.0)),
    "drain while cut": (PartitionZone(0.5, 0, 4.0), DrainEntry(1.0, 0)),
    "kill the successor": (DrainEntry(1.0, 0), KillEntry(2.5, 1)),
    "maintenance while frozen": (
        SuspendEntry(0.5, 0, 4.0),
        ApplyConfiguration(1.0, "maintenance"),
        ApplyConfiguration(3.0, "ordinary"),
    ),
}


def check_scenarios(case, scenarios, seeds):
    """Asserts that no run violates an invariant.

    Args:
        case: Test case.
        scenarios: Faults by the name that a failure message shows.
        seeds: Seeds with which each scenario runs.
    """
    for (name, faults), seed in itertools.product(scenarios.items(), seeds):
        violations = check_history(run_scenario(Scenario(faults=faults), seed))
        case.assertEqual(violations, [], f"{name}, seed {seed}")


def test_single_faults(case):
    """Guards against invariants that a single fault violates."""
    check_scenarios(case, FAULTS, range(3))


def test_faults_twice_in_a_row(case):
    """Guards against state that is left over from the first of two faults.

    Covers repeated faults of one entry, the same fault at two entries, and
    faults that hit an entry during a planned stop or a cut.
    """
    check_scenarios(case, TWICE, range(3))


def test_two_faults_at_once(case):
    """Guards against invariants that two faults violate only together.

    Runs every pair of the single faults with one seed.
    """
    pairs = {
        f"{first} and {second}": FAULTS[first] + FAULTS[second]
        for first, second in itertools.combinations(FAULTS, 2)
    }
    check_scenarios(case, pairs, (7,))


def test_runs_that_once_failed(case):
    """Guards against regressions of bugs found by the random search.

    Each seed once produced a run with a violation.
    """
    for seed in (80, 1567, 1573, 1615, 1712, 3239, 5334, 10026):
        _, violations = check_random_scenario(seed)
        case.assertEqual(violations, [], f"seed {seed}")


def test_runs_are_repeatable(case):
    """Guards against violations that cannot be reproduced from their seed.

    Two runs with the same scenario and seed must produce the same events.
    """
    scenario = Scenario(faults=FAULTS["freeze"] + FAULTS["kill"])
    first, second = (run_scenario(scenario, 5) for _ in range(2))
    case.assertEqual(first.events, second.events)


def test_runs_exercise_what_they_claim(case):
    """Guards against invariants that hold because nothing happens in a run.

    A run with faults must execute tasks, stop and freeze entries, and produce
    every kind of final answer.
    """
    faults = (
        *FAULTS["drain"],
        *FAULTS["freeze"],
        ApplyConfiguration(3.0, "maintenance"),
    )
    history = run_scenario(Scenario(faults=faults), 3)
    event_names = [type(event).__name__ for event in history.events]
    for name in (
        "TaskStarted",
        "AnswerReceived",
        "EntryStopped",
        "EntrySuspended",
    ):
        case.assertIn(name, event_names)
    answers = {
        type(e.answer).__name__
        for e in history.events
        if type(e).__name__ == "AnswerReceived"
    }
    case.assertLessEqual(
        {"Complete", "Failed", "OutcomeUnknown", "NotRun"}, answers
    )
