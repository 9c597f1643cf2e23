"""Tests of the options of a play."""

from testkit import function_tests
from testkit.cuts import Break
from testkit.cuts import Burst
from testkit.cuts import CutOptions
from testkit.cuts import LeaderCut
from testkit.cuts import ZoneCut
from testkit.cuts.__main__ import parse_options

load_tests = function_tests(__name__)

COMMAND = (
    "day.toml --site trama-norte --load 0.5 --plan-load 2 --stretch 3"
    " --task-stretch 4 --tries 5 --long-share 0.06 --long-ratio 20 --breaks 0.6"
    " --delay 0.007 --stalls 8 --longest-stall 0.9 --clock-drift 0.02 --until 10 --break-kinds silent fin"
)


def test_stretched_days(case):
    """Guards against times that a stretched day leaves out or stretches twice.

    Of two stretches, one leaves the times of the day as they are.
    """
    day = [Burst(1.0, 2.0, None, 3.0), ZoneCut(4.0, 5.0, "planta-vc")]
    plain = CutOptions(site="trama-norte")
    for stretch, task_stretch in ((10.0, 1.0), (1.0, 10.0), (2.0, 5.0)):
        options = CutOptions(
            site="trama-norte", stretch=stretch, task_stretch=task_stretch
        )
        case.assertEqual(
            options.select(day),
            [
                Burst(stretch, 2.0 * stretch, None, 3.0),
                ZoneCut(4.0 * stretch, 5.0 * stretch, "planta-vc"),
            ],
        )
        case.assertAlmostEqual(options.model.deadline_s, 15.0)
        for kind, before in zip(
            options.model.kinds, plain.model.kinds, strict=True
        ):
            case.assertAlmostEqual(kind.seconds, 10.0 * before.seconds)
            case.assertAlmostEqual(kind.per_s, before.per_s / 10.0)
            case.assertEqual(kind.tasks, before.tasks)


def test_until_counts_in_seconds_of_the_day_file(case):
    """Guards against cuts that a stretched day leaves out."""
    day = [LeaderCut(4.0, 5.0), LeaderCut(8.0, 5.0)]
    options = CutOptions(stretch=10.0, until_s=9.0)
    case.assertEqual(options.select(day), [LeaderCut(40.0, 50.0)])


def test_command_line(case):
    """Guards against an option that sets another one's value."""
    parsed = parse_options(COMMAND.split())
    case.assertEqual(
        parsed.options,
        CutOptions(
            "trama-norte",
            0.5,
            2.0,
            3.0,
            4.0,
            5,
            0.06,
            20.0,
            0.6,
            (Break.SILENT, Break.FIN),
            0.007,
            8.0,
            0.9,
            0.02,
            10.0,
        ),
    )
    case.assertEqual(parse_options(["day.toml"]).options, CutOptions())
    case.assertFalse(parsed.all_kinds)
    case.assertTrue(parse_options(["--random-day", "--all-kinds"]).all_kinds)
    case.assertFalse(parsed.mixes)
    case.assertTrue(parse_options(["--random-day", "--mixes"]).mixes)
    once = parse_options(["day.toml", "--no-resends"]).options
    case.assertEqual(once.tries, 1)
