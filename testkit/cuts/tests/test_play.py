"""Test of a play with real entry processes."""

import asyncio
import pathlib
import tempfile

from testkit import function_tests
from testkit.cuts import Break
from testkit.cuts import CutOptions
from testkit.cuts import Drain
from testkit.cuts import EntryCut
from testkit.cuts import EntryKill
from testkit.cuts import How
from testkit.cuts import LateOrders
from testkit.cuts import LeaderCut
from testkit.cuts import play_day
from testkit.cuts import Stall
from testkit.cuts import StoreCut
from testkit.cuts import TargetCrash
from testkit.cuts import TargetCut
from testkit.cuts import ZoneCut

load_tests = function_tests(__name__)

DAY = [
    ZoneCut(0.5, 1.5, "planta-pna", How.DROP),
    EntryCut(1.0, 1.0, "planta-vc", How.ONE_WAY_OUT, True),
    Stall(1.5, 0.4, True, 1),
]


def test_play_of_a_day(case):
    """Guards against a play whose callers or checks see nothing.

    The cuts overlap and are shorter than the product's waits, and callers close
    or reset their connections, so that no task may run twice.
    """
    options = CutOptions(
        site="trama-norte",
        load=0.4,
        tries=3,
        broken_share=0.3,
        breaks=(Break.FIN, Break.RESET),
        delay_s=0.005,
        clock_drift=0.02,
    )
    report = asyncio.run(play_day(DAY, 1, options))
    case.assertEqual(report.overlaps, [])
    case.assertGreater(report.answers[200], 20)
    case.assertEqual(set(report.breaks), {"fin", "reset"})
    case.assertGreaterEqual(report.terms.raised, 1)
    case.assertEqual(sum("ends" in text for text in report.events), 2)
    case.assertEqual(sum("suspended" in text for text in report.events), 1)


CRASHES = [
    ZoneCut(0.5, 2.0, "planta-vc", How.DROP),
    EntryKill(1.0, 1.0, True, 1, True),
    EntryKill(1.5, 0.0, False, 2),
    TargetCrash(1.0, 1.0, 0.2),
    TargetCut(1.0, 1.5, 0.2, How.RESET, 0.5),
    LateOrders(0.5, 1.0, 0.2),
]


def test_play_with_crashes(case):
    """Guards against crashes that end the play, and restarts seen as runs."""
    options = CutOptions(site="trama-norte", load=0.4, delay_s=0.005)
    report = asyncio.run(play_day(CRASHES, 1, options))
    case.assertEqual(report.overlaps, [])
    case.assertGreater(report.answers[200], 20)
    case.assertEqual(sum("started" in text for text in report.events), 2)
    case.assertEqual(sum(" restart" in text for text in report.events), 1)


STORE_CUTS = [
    StoreCut(0.5, 3.0, 0.4, How.REFUSED, True),
    StoreCut(1.0, 3.0, 0.4, How.UNAVAILABLE),
    EntryKill(2.0, 1.0, True, 1, True),
]


def test_play_with_a_store_that_serves_some_entries(case):
    """Guards against entries that are served by a store that is cut off.

    Only those that it turns away see status 503 or refused connections.
    """
    options = CutOptions(site="trama-norte", load=0.4, delay_s=0.005)
    with tempfile.TemporaryDirectory() as folder:
        logs = pathlib.Path(folder)
        report = asyncio.run(play_day(STORE_CUTS, 1, options, logs, True))
        texts = [path.read_text("utf-8") for path in logs.glob("*.log")]
        events = (logs / "events.txt").read_text("utf-8")
    case.assertEqual(report.overlaps, [])
    case.assertGreater(report.answers[200], 20)
    case.assertIn("from the store, refused", events)
    turned_away = sum("store call failed" in text for text in texts)
    case.assertGreater(turned_away, 0)
    case.assertLess(turned_away, len(texts))
    case.assertTrue(any("503" in text for text in texts))


DRAINS = [
    Drain(0.5, 3.0, 0.15, 0.3, True),
    Drain(1.0, 4.0, 0.15, 0.3, False),
    LeaderCut(1.5, 2.0, How.DROP),
]


def test_play_with_targets_that_drain(case):
    """Guards against targets that drain, leave or return without being seen."""
    options = CutOptions(site="trama-norte", load=0.4, delay_s=0.005)
    with tempfile.TemporaryDirectory() as folder:
        logs = pathlib.Path(folder)
        report = asyncio.run(play_day(DRAINS, 1, options, logs, True))
        text = "".join(path.read_text("utf-8") for path in logs.glob("*.log"))
    case.assertEqual(report.overlaps, [])
    case.assertGreater(report.answers[200], 20)
    case.assertEqual(sum("rows of" in text for text in report.events), 2)
    case.assertIn('"draining": true', text)
