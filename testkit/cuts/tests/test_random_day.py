"""Tests of days that are drawn from a seed."""

import collections
import hashlib
import itertools

from testkit import function_tests
from testkit.cuts import Burst
from testkit.cuts import Drain
from testkit.cuts import draw_day
from testkit.cuts import EntryCut
from testkit.cuts import EntryKill
from testkit.cuts import format_day
from testkit.cuts import How
from testkit.cuts import LateMessages
from testkit.cuts import LateOrders
from testkit.cuts import LeaderCut
from testkit.cuts import parse_day
from testkit.cuts import SITES
from testkit.cuts import Stall
from testkit.cuts import StoreCut
from testkit.cuts import TargetCrash
from testkit.cuts import TargetCut
from testkit.cuts import ZoneCut

load_tests = function_tests(__name__)

SEEDS = range(200)
SITE = SITES["trama-norte"]
# SHA-256 of the days of `SEEDS` as of the first findings in drawn days.
DAYS_SHA256 = "70534e4ef14ad913f5fed3b27907f4ede9d2699fa125cbcc444812d8ad324d6d"


def test_a_seed_draws_the_same_day(case):
    """Guards against a failure whose day cannot be played again.

    The printed text has the whole day.
    """
    for seed, all_kinds in itertools.product(SEEDS, (False, True)):
        day = draw_day(SITE, seed, all_kinds=all_kinds)
        again = draw_day(SITE, seed, all_kinds=all_kinds)
        case.assertEqual(again, day, seed)
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


def test_seeds_of_earlier_findings(case):
    """Guards against a seed that draws another day than when it failed."""
    days = "".join(format_day(str(s), draw_day(SITE, s)) for s in SEEDS)
    digest = hashlib.sha256(days.encode()).hexdigest()
    case.assertEqual(digest, DAYS_SHA256)


def test_crashes_are_added_to_days(case):
    """Guards against kinds that are never drawn, or drawn without the option.

    They leave the other disruptions as they are, and come during cuts, too.
    """
    added: list = []
    during_cuts = 0
    for seed in SEEDS:
        plain = draw_day(SITE, seed)
        day = draw_day(SITE, seed, all_kinds=True)
        case.assertEqual([d for d in day if d in plain], plain, seed)
        new = [d for d in day if d not in plain]
        added += new
        during_cuts += sum(
            a.at < b.at < a.at + a.length for a in plain for b in new
        )
    kinds = {type(d) for d in added}
    case.assertEqual(kinds, {EntryKill, TargetCrash, TargetCut, LateOrders})
    case.assertGreater(during_cuts, 400)
    kills = [d for d in added if isinstance(d, EntryKill)]
    case.assertEqual({k.with_leader for k in kills}, {False, True})
    case.assertEqual({k.is_dark for k in kills}, {False, True})
    cuts = [d for d in added if isinstance(d, TargetCut)]
    case.assertEqual({c.is_reborn for c in cuts}, {False, True})
    case.assertEqual({c.from_share is None for c in cuts}, {False, True})
    case.assertGreater(max(c.length for c in cuts), 20.0)


def test_mixes_are_added_to_days(case):
    """Guards against kinds that never come with a change of the leader.

    They leave the other disruptions as they are.
    """
    changes = (LeaderCut, ZoneCut, EntryCut, EntryKill, Stall)
    near: collections.Counter = collections.Counter()
    for seed in SEEDS:
        plain = draw_day(SITE, seed, all_kinds=True)
        day = draw_day(SITE, seed, all_kinds=True, mixes=True)
        case.assertEqual(draw_day(SITE, seed, 60.0, 40.0, True, True), day)
        case.assertEqual([d for d in day if d in plain], plain, seed)
        case.assertEqual(parse_day(format_day("again", day)), day, seed)
        new = [d for d in day if d not in plain]
        groups = [d for d in new if isinstance(d, changes)]
        for d in new:
            near[type(d)] += any(
                d.at <= c.at + c.length and c.at <= d.at + d.length
                for c in groups
                if c is not d
            )
            if isinstance(d, LateMessages | StoreCut):
                near[d.how] += 1
    for kind in (StoreCut, Drain, LateMessages, Stall, *changes):
        case.assertGreater(near[kind], 100, kind)
    for how in set(How) - {How.ONE_WAY_IN, How.ONE_WAY_OUT}:
        case.assertGreater(near[how], 50, how)
