"""Tests of the detection of tasks that slow each other down, on known runs."""

import math

import attrs

from anvilford.placement import PlacementOptions
from anvilford.placement._interference import MAX_KINDS
from anvilford.placement._interference import MAX_PAIRS
from anvilford.placement._run_samples import estimate_slowdown
from anvilford.placement._run_samples import KindSamples
from anvilford.placement._run_samples import KNOWN_ERRORS
from anvilford.placement._run_samples import KNOWN_RATIO
from anvilford.placement._run_samples import KNOWN_RUNS
from anvilford.placement._run_samples import PairSamples
from anvilford.placement._run_samples import shows_slowdown
from anvilford.placement.tests._synthetic_runs import SyntheticKind
from anvilford.placement.tests._synthetic_runs import SyntheticSite
from testkit import function_tests

load_tests = function_tests(__name__)

CHECK = SyntheticKind("check", 20, 8, 0.06)
PLAN = SyntheticKind("plan", 8, 4, 0.9)
CONFIRM = SyntheticKind("confirm", 60, 2, 0.2)
KINDS = [CHECK, PLAN, CONFIRM]
SEEDS = (1, 2, 3)


def assert_ratios(case, site, expected):
    """Checks the known pairs, and their ratios to within 0.2."""
    known = site.known()
    case.assertEqual(known.keys(), expected.keys())
    for pair, ratio in expected.items():
        case.assertAlmostEqual(known[pair], ratio, delta=0.2, msg=pair)


def test_two_kinds_that_hurt_each_other_are_found(case):
    """Guards against slowdowns that are missed or blamed on other kinds.

    The estimates are off by 40%, and 3% of the tasks take seven times as long.
    The times of 0.06 s and 0.9 s differ most: a long run has many runs of the
    short kind beside it, of which only the share of its time counts.
    """
    for seed in SEEDS:
        with case.subTest(seed=seed, kinds="short beside long"):
            slowdowns = {("check", "plan"): 2.0, ("plan", "check"): 1.5}
            site = SyntheticSite(KINDS, seed, slowdowns=slowdowns)
            site.run(40)
            assert_ratios(case, site, slowdowns)
        with case.subTest(seed=seed, kinds="both by half"):
            slowdowns = {("confirm", "plan"): 1.5, ("plan", "confirm"): 1.5}
            site = SyntheticSite(KINDS, seed, slowdowns=slowdowns)
            site.run(40)
            assert_ratios(case, site, slowdowns)


def test_kind_that_hurts_itself_is_found(case):
    """Guards against runs of one kind that are left side by side.

    Starting one more slows down both, so that it costs the square.
    """
    for seed in SEEDS:
        with case.subTest(seed=seed):
            site = SyntheticSite(KINDS, seed, slowdowns={("plan", "plan"): 1.8})
            site.run(40)
            assert_ratios(case, site, {("plan", "plan"): 1.8})
            plan = ("plan", 0)
            case.assertAlmostEqual(
                site.monitor.partners[plan][plan],
                site.known()["plan", "plan"] ** 2,
            )


def test_kinds_that_do_not_hurt_each_other_stay_unknown(case):
    """Guards against targets left empty for a slowdown that does not exist.

    Long runs, wrong estimates of a whole queue and full targets all go along
    with more runs beside, and none of them is a slowdown by these.
    """
    biased = [
        attrs.evolve(CHECK, bias=0.5),
        attrs.evolve(PLAN, bias=2.0),
        CONFIRM,
    ]
    busy = [attrs.evolve(k, per_second=3 * k.per_second) for k in KINDS]
    for seed in SEEDS:
        for name, kinds in {"": KINDS, "bias": biased, "busy": busy}.items():
            with case.subTest(seed=seed, load=name):
                site = SyntheticSite(kinds, seed)
                site.run(30)
                case.assertEqual(site.decisions, [])


def test_slow_target_is_no_interference(case):
    """Guards against a pair that is made up from the speed of one target.

    The kind "local" runs on one target only. That target becomes four times
    slower, so that all runs beside "local" are slow.
    """
    local = SyntheticKind("local", 8, 1, 0.2, only_on=("t5",))
    for seed in SEEDS:
        with case.subTest(seed=seed):
            site = SyntheticSite([*KINDS, local], seed)
            site.run(10)
            site.speeds["t5"] /= 4
            site.run(30)
            case.assertEqual(site.decisions, [])


def test_slow_target_for_one_kind_is_no_interference(case):
    """Guards against a pair that is made up from the samples of one target.

    On one target, tasks of kind "check" take four times as long, and the kind
    "local" runs nowhere else. The speed of the target does not explain that, as
    the other kinds are as fast there as elsewhere.
    """
    check = attrs.evolve(CHECK, per_second=60, tasks=2)
    confirm = attrs.evolve(CONFIRM, per_second=40)
    local = SyntheticKind("local", 8, 1, 0.2, only_on=("t4",))
    for seed in SEEDS:
        with case.subTest(seed=seed):
            site = SyntheticSite(
                [check, confirm, local], seed, targets=12, slots=8
            )
            site.slow_for = {("t4", "check"): 4.0}
            site.run(40)
            case.assertEqual(site.decisions, [])
            kind = site.monitor.kinds["check", 0]
            shown = estimate_slowdown(kind, kind.pairs["local", 0])
            lower_bound = shown.log_ratio - KNOWN_ERRORS * shown.error
            case.assertGreater(lower_bound, math.log(KNOWN_RATIO))
            case.assertGreater(shown.runs, KNOWN_RUNS)


def test_each_group_of_targets_can_be_left_out(case):
    """Guards against one target that outweighs several without a slowdown.

    Runs beside the other kind take e times as long in one group of targets, and
    as long as apart in three others; then so in two groups of four.
    """
    for slow_groups, expected in ((1, False), (2, True)):
        with case.subTest(slow_groups=slow_groups):
            kind, pair = KindSamples(), PairSamples()
            for number, group in enumerate(pair.groups):
                for _ in range(1000):
                    kind.groups[number].add(0.0)
                for _ in range(100 if number < 4 else 0):
                    deviation = 1.0 if number < slow_groups else 0.0
                    kind.groups[number].add(deviation)
                    group.add(1.0, deviation, 0.0)
            shown = estimate_slowdown(kind, pair)
            lower_bound = shown.log_ratio - KNOWN_ERRORS * shown.error
            case.assertGreater(lower_bound, math.log(KNOWN_RATIO))
            case.assertIs(shows_slowdown(kind, pair, shown), expected)


def test_pairs_follow_kinds_that_change_their_nature(case):
    """Guards against pairs that stay known when they no longer interfere."""
    for seed in SEEDS:
        with case.subTest(seed=seed):
            site = SyntheticSite(
                KINDS, seed, slowdowns={("check", "plan"): 2.0}
            )
            site.run(20)
            assert_ratios(case, site, {("check", "plan"): 2.0})
            site.slowdowns = {("confirm", "plan"): 2.0}
            site.run(60)
            assert_ratios(case, site, {("confirm", "plan"): 2.0})
            events = [
                (d.event, d.fields["kind"], d.fields["slowed_by"])
                for _, d in site.decisions
            ]
            case.assertEqual(
                events,
                [
                    ("interference known", "check/0", "plan/0"),
                    ("interference known", "confirm/0", "plan/0"),
                    ("interference forgotten", "check/0", "plan/0"),
                ],
            )


def test_pair_without_samples_is_forgotten(case):
    """Guards against kinds that stay apart forever on old evidence."""
    site = SyntheticSite(KINDS, 1, slowdowns={("check", "plan"): 2.0})
    site.run(20)
    assert_ratios(case, site, {("check", "plan"): 2.0})
    plan = site.monitor.kinds["plan", 0]
    case.assertEqual(plan.pairs.keys(), {(k.name, 0) for k in KINDS})
    site.slots = 1
    site.run(120)
    case.assertEqual(site.known(), {})
    last = site.decisions[-1][1]
    case.assertEqual(last.event, "interference forgotten")
    case.assertEqual(last.fields["reason"], "old")


def test_speed_of_target_leaves_out_known_slowdowns(case):
    """Guards against targets that count as slow because of what they run.

    All runs of "check" beside "plan" take three times as long. Without the
    correction, the mean speed falls by a quarter.
    """
    slowdowns = {("check", "plan"): 3.0}
    speeds = {}
    for enabled in (True, False):
        options = PlacementOptions(separate_interfering_tasks=enabled)
        site = SyntheticSite(KINDS, 1, slowdowns=slowdowns, options=options)
        site.run(30)
        ratios = [
            target.speed / site.speeds[name]
            for name, target in site.targets.items()
        ]
        speeds[enabled] = sum(ratios) / len(ratios)
    case.assertGreater(speeds[True], 0.85)
    case.assertLess(speeds[False], 0.85)
    case.assertEqual(site.monitor.kinds, {})


def test_memory_is_bounded(case):
    """Guards against growth with the number of queues, and against old ones.

    The first kinds take all the room; those that come later get it once the
    first ones are gone.
    """
    first = [SyntheticKind(f"a{n}", 8, 1, 0.1) for n in range(2 * MAX_KINDS)]
    site = SyntheticSite(first, 1)
    site.run(5)
    case.assertEqual(len(site.monitor.kinds), MAX_KINDS)
    pairs = sum(len(k.pairs) for k in site.monitor.kinds.values())
    case.assertEqual(pairs, MAX_PAIRS)
    site.add_kinds([SyntheticKind("late", 20, 1, 0.1)])
    site.stop_kinds({kind.name for kind in first})
    site.run(20)
    case.assertIn(("late", 0), site.monitor.kinds)
    case.assertLessEqual(len(site.monitor.kinds), MAX_KINDS)
