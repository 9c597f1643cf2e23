"""Tests of day files."""

import pathlib

from testkit import function_tests
from testkit.cuts import Burst
from testkit.cuts import Drain
from testkit.cuts import EntryCut
from testkit.cuts import EntryKill
from testkit.cuts import format_day
from testkit.cuts import How
from testkit.cuts import LateMessages
from testkit.cuts import LateOrders
from testkit.cuts import LeaderCut
from testkit.cuts import load_day
from testkit.cuts import parse_day
from testkit.cuts import Stall
from testkit.cuts import StoreCut
from testkit.cuts import TargetCrash
from testkit.cuts import TargetCut
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
        ('kind = "applied_late", x = 0.25', LateOrders(1.5, 2.5, 0.25)),
        (
            'kind = "applied_late", x = 0.5, how = "orders"',
            LateOrders(1.5, 2.5, 0.5),
        ),
        ('kind = "node_kill"', EntryKill(1.5, 0.0, False, 1, False)),
        (
            'kind = "node_kill", how = "leader power", count = 2',
            EntryKill(1.5, 2.5, True, 2, True),
        ),
        ('kind = "srv_crash"', TargetCrash(1.5, 2.5, 0.15, How.RESET)),
        (
            'kind = "srv_crash", how = "dark", share = 0.5',
            TargetCrash(1.5, 2.5, 0.5, How.DROP),
        ),
        ('kind = "srv_cut"', TargetCut(1.5, 2.5, 0.2, How.DROP, None, False)),
        (
            'kind = "srv_cut", how = "some one_way", share = 0.4, x = 0.6',
            TargetCut(1.5, 2.5, 0.4, How.ONE_WAY_OUT, 0.6, False),
        ),
        (
            'kind = "srv_cut", how = "reborn reset"',
            TargetCut(1.5, 2.5, 0.2, How.RESET, None, True),
        ),
        (
            'kind = "platform_down", how = "nodes refused"',
            StoreCut(1.5, 2.5, 0.3, How.REFUSED, False),
        ),
        (
            'kind = "platform_down", how = "nodes leader 503", share = 0.5',
            StoreCut(1.5, 2.5, 0.5, How.UNAVAILABLE, True),
        ),
        (
            'kind = "platform_down", how = "nodes reset", share = 0.5',
            StoreCut(1.5, 2.5, 0.5, How.RESET, False),
        ),
        (
            'kind = "peer_late", how = "late", share = 0.4',
            LateMessages(1.5, 2.5, 0.4, How.LATE),
        ),
        (
            'kind = "peer_late", how = "late in"',
            LateMessages(1.5, 2.5, 0.5, How.LATE_IN),
        ),
        (
            'kind = "core_cut", how = "leader late"',
            LeaderCut(1.5, 2.5, How.LATE, False),
        ),
        ('kind = "scale_in"', Drain(1.5, 2.5, 0.1, 0.5, False)),
        (
            'kind = "scale_in", how = "again", share = 0.3, x = 0.2',
            Drain(1.5, 2.5, 0.3, 0.2, True),
        ),
    ):
        case.assertEqual(parse_fault(text), disruption, text)
        again = parse_day(format_day('again', [disruption]))
        case.assertEqual(again, [disruption], text)


def test_faults_that_cannot_be_played(case):
    """Guards against a day that is played without some of its faults."""
    for text in (
        'kind = "srv_crash", how = "gone"',
        'kind = "srv_crash", how = "dark one_way"',
        'kind = "srv_cut", how = "fronts"',
        'kind = "node_kill", how = "taken"',
        'kind = "applied_late", x = 0.5, how = "cloud"',
        'kind = "srv_slow"',
        'kind = "zone_cut", how = "reset"',
        'kind = "zone_cut", how = "leader", zone = "a"',
        'kind = "zone_cut", how = "store", zone = "a"',
        'kind = "node_cut", how = "all"',
        'kind = "core_cut"',
        'kind = "node_freeze", how = "renewed"',
        'kind = "platform_down", how = "503"',
        'kind = "scale_in", how = "spot"',
        'kind = "peer_late", how = "late leader"',
        'kind = "platform_down", how = "nodes revoke"',
    ):
        with case.assertRaises(ValueError, msg=text):
            parse_fault(text)


def test_day_of_the_review(case):
    """Guards against a day of an earlier finding that is not read any more."""
    day = load_day(ROOT / 'review' / '2' / 'day.toml')
    case.assertEqual(day[0], LeaderCut(9.0, 3.5, How.RESET))
    case.assertEqual(day[2], ZoneCut(12.82, 1.2, 'lorient-a', How.RESET))
