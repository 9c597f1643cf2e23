"""Tests of day files."""

import pathlib

from testkit import function_tests
from testkit.cuts import Burst
from testkit.cuts import EntryCut
from testkit.cuts import format_day
from testkit.cuts import How
from testkit.cuts import LeaderCut
from testkit.cuts import load_day
from testkit.cuts import parse_day
from testkit.cuts import Stall
from testkit.cuts import ZoneCut

load_tests = function_tests(__name__)

ROOT = pathlib.Path(__file__).resolve().parents[3]


def parse_fault(text: str):
    """Returns the disruption of a day with one fault."""
    faults = f'{{ at = 1.5, for_s = 2.5, {text} }}'
    (disruption,) = parse_day(f'[[day]]\nfaults = [{faults}]')
    return disruption


def test_faults_of_a_day(case):
    """Guards against a fault that is played as another one."""
    for text, disruption in (
        ('kind = "burst", x = 3.0', Burst(1.5, 2.5, None, 3.0)),
        ('kind = "burst", x = 3.0, class = "k"', Burst(1.5, 2.5, 'k', 3.0)),
        (
            'kind = "zone_cut", how = "reset", zone = "a"',
            ZoneCut(1.5, 2.5, 'a', How.RESET),
        ),
        (
            'kind = "zone_cut", how = "drop", zone = "a"',
            ZoneCut(1.5, 2.5, 'a', How.DROP),
        ),
        ('kind = "zone_cut", zone = "a"', ZoneCut(1.5, 2.5, 'a', How.DROP)),
        (
            'kind = "node_cut", share = 0.17, how = "leader all reset"',
            LeaderCut(1.5, 2.5, How.RESET, True),
        ),
        (
            'kind = "core_cut", how = "leader one_way"',
            LeaderCut(1.5, 2.5, How.ONE_WAY_OUT, False),
        ),
        (
            'kind = "core_cut", how = "store one_way in", zone = "a"',
            EntryCut(1.5, 2.5, 'a', How.ONE_WAY_IN, True),
        ),
        (
            'kind = "core_cut", how = "split"',
            EntryCut(1.5, 2.5, None, How.DROP, False),
        ),
        ('kind = "node_freeze"', Stall(1.5, 2.5, False, 1)),
        (
            'kind = "node_freeze", how = "leader", count = 2',
            Stall(1.5, 2.5, True, 2),
        ),
    ):
        case.assertEqual(parse_fault(text), disruption, text)
        again = parse_day(format_day('again', [disruption]))
        case.assertEqual(again, [disruption], text)


def test_faults_that_cannot_be_played(case):
    """Guards against a day that is played without some of its faults."""
    for text in (
        'kind = "srv_crash"',
        'kind = "zone_cut", how = "reset"',
        'kind = "zone_cut", how = "leader", zone = "a"',
        'kind = "zone_cut", how = "store", zone = "a"',
        'kind = "node_cut", how = "all"',
        'kind = "core_cut"',
        'kind = "node_freeze", how = "renewed"',
    ):
        with case.assertRaises(ValueError, msg=text):
            parse_fault(text)


def test_day_of_the_review(case):
    """Guards against a day of an earlier finding that is not read any more."""
    day = load_day(ROOT / 'review' / '2' / 'day.toml')
    case.assertEqual(day[0], LeaderCut(9.0, 3.5, How.RESET))
    case.assertEqual(day[2], ZoneCut(12.82, 1.2, 'lorient-a', How.RESET))
