"""Command line of the measuring tool."""

import argparse
import pathlib
import sys
from collections.abc import Sequence

import attrs

from anvilford.experiments import _comparison
from anvilford.experiments._report import format_figures
from anvilford.experiments._report import write_report
from anvilford.experiments._scenario import load_scenario
from anvilford.experiments._simulation import POLICIES


def main(argv: Sequence[str] | None = None) -> int:
    """Runs scenarios and prints their figures.

    Args:
        argv: Arguments without the program name; None reads the process's.

    Returns:
        Exit status: 0, or 2 when a scenario is invalid.
    """
    parser = argparse.ArgumentParser(prog="python -m anvilford.experiments")
    parser.add_argument("scenarios", nargs="+", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--policies", nargs="+", choices=POLICIES)
    parser.add_argument("--seeds", nargs="+", type=int)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument(
        "--time", action="store_true", help="print wall time per start"
    )
    arguments = parser.parse_args(argv)
    for path in arguments.scenarios:
        loaded = load_scenario(path)
        if loaded.is_error():
            print(f"{path}: {loaded.error}", file=sys.stderr)
            return 2
        scenario = loaded.ok
        if arguments.seeds:
            scenario = attrs.evolve(scenario, seeds=arguments.seeds)
        report = _comparison.run(
            scenario,
            tuple(arguments.policies or POLICIES),
            arguments.processes,
        )
        write_report(report, arguments.out)
        print(f"{scenario.name}, seeds {scenario.seeds}")
        print(format_figures(report), flush=True)
        if arguments.time:
            spent = _comparison.decision_time(scenario, scenario.seeds[0])
            print(f"{1e6 * spent:.0f} microseconds per start, with fakes")
    return 0
