"""Command line that runs scenarios and reports their figures."""

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
    """Runs scenarios, prints their figures and writes their reports.

    Args:
        argv: Arguments without the program name; None for those of the
            process.

    Returns:
        Exit status: 0, or 2 if a scenario is invalid. Scenarios before the
        invalid one have been run and reported.
    """
    parser = argparse.ArgumentParser(prog="python -m anvilford.experiments")
    parser.add_argument("scenarios", nargs="+", type=pathlib.Path)
    parser.add_argument("--out", type=pathlib.Path, required=True)
    parser.add_argument("--policies", nargs="+", choices=POLICIES)
    parser.add_argument("--seeds", nargs="+", type=int)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument(
        "--time", action="store_true", help="print the wall time per task start"
    )
    arguments = parser.parse_args(argv)
    for path in arguments.scenarios:
        loaded = load_scenario(path)
        if loaded.is_error():
            where = loaded.error.path or "(top level)"
            print(f"{path}: {where}: {loaded.error.message}", file=sys.stderr)
            return 2
        scenario = loaded.ok
        if arguments.seeds:
            scenario = attrs.evolve(scenario, seeds=arguments.seeds)
        report = _comparison.compare_policies(
            scenario,
            tuple(arguments.policies or POLICIES),
            arguments.processes,
        )
        write_report(report, arguments.out)
        print(f"{scenario.name}, seeds {scenario.seeds}")
        print(format_figures(report), flush=True)
        if arguments.time:
            spent = _comparison.wall_time_per_start(scenario, scenario.seeds[0])
            print(
                f"{1e6 * spent:.0f} microseconds per task start, including the "
                "fake targets and entries"
            )
    return 0
