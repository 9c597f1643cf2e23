"""Tests of days that are drawn from a seed."""

import itertools

from testkit import function_tests
from testkit.cuts import Burst
from testkit.cuts import draw_day
from testkit.cuts import EntryCut
from testkit.cuts import format_day
from testkit.cuts import LeaderCut
from testkit.cuts import parse_day
from testkit.cuts import SITES
from testkit.cuts import Stall
from testkit.cuts import ZoneCut

load_tests = function_tests(__name__)

SEEDS = range(200)
SITE = SITES["trama-norte"]


def test_a_seed_draws_the_same_day(case):
    """Guards against a failure whose day cannot be played again.

    The printed text has the whole day.
    """
    for seed in SEEDS:
        day = draw_day(SITE, seed)
        case.assertEqual(draw_day(SITE, seed), day, seed)
        case.assertEqual(parse_day(format_day("again", day)), day, seed)
    case.assertNotEqual(draw_day(SITE, 1), draw_day(SITE, 2))


def test_days_have_all_kinds_of_disruptions(case):
    """Guards against days without the cuts that outlast the product's waits."""
    days = [draw_day(SITE, seed) for seed in SEEDS]
    drawn = [disruption for day in days for disruption in day]
    cuts = [d for d in drawn if isinstance(d, ZoneCut | LeaderCut | EntryCut)]
    kinds = {type(d) for d in drawn}
    case.assertEqual(kinds, {ZoneCut, LeaderCut, EntryCut, Burst, Stall})
    case.assertEqual(
        {cut.how.value for cut in cuts},
        {"reset", "drop", "one_way out", "one_way in"},
    )
    lengths = sorted(cut.length for cut in cuts)
    case.assertGreaterEqual(lengths[0], 1.0)
    case.assertLessEqual(lengths[-1], 40.0)
    share = sum(s > 15.0 for s in lengths) / len(lengths)
    case.assertGreater(share, 0.1)
    stalls = [d.length for d in drawn if isinstance(d, Stall)]
    case.assertTrue(0.1 <= min(stalls) <= max(stalls) <= 5.0)
    overlaps = sum(
        a.at + a.length > b.at
        for day in days
        for a, b in itertools.pairwise(d for d in day if d in cuts)
    )
    case.assertGreater(overlaps, 20)


def test_longest_cut(case):
    """Guards against long cuts in days that are to have short ones only."""
    for seed in SEEDS:
        for disruption in draw_day(SITE, seed, longest_cut_s=10.0):
            case.assertLessEqual(disruption.length, 10.0, seed)
