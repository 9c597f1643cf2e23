"""Tests of the options of a play."""

from testkit import function_tests
from testkit.cuts import CutOptions
from testkit.cuts.__main__ import parse_options

load_tests = function_tests(__name__)

COMMAND = (
    "day.toml --site trama-norte --load 0.5 --plan-load 2"
    " --tries 5 --breaks 0.6 --delay 0.007 --stalls 8"
    " --longest-stall 0.9 --until 10"
)


def test_command_line(case):
    """Guards against an option that sets another one's value."""
    parsed = parse_options(COMMAND.split())
    case.assertEqual(
        parsed.options,
        CutOptions("trama-norte", 0.5, 2.0, 5, 0.6, 0.007, 8.0, 0.9, 10.0),
    )
    case.assertEqual(parse_options(["day.toml"]).options, CutOptions())
    once = parse_options(["day.toml", "--no-resends"]).options
    case.assertEqual(once.tries, 1)
