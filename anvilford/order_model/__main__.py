"""Compares scheduling policies on scenario files.

Usage: `python -m anvilford.order_model SCENARIO.json ...`
"""

import argparse
import json
import pathlib
import sys
from collections.abc import Sequence

import attrs

from anvilford.order_model._by_queue import format_groups
from anvilford.order_model._by_queue import measure
from anvilford.order_model._comparison import compare
from anvilford.order_model._comparison import format_report
from anvilford.order_model._scenario import load_scenario
from anvilford.order_model._scenario import Scenario


def main(argv: Sequence[str] | None = None) -> int:
    """Runs all policies on the given scenarios and prints one table for each.

    Args:
        argv: Command-line arguments; `sys.argv` if None.

    Returns:
        The exit status: 0, or 2 if a scenario file is invalid.
    """
    parser = argparse.ArgumentParser(prog="python -m anvilford.order_model")
    parser.add_argument("scenarios", nargs="+", type=pathlib.Path)
    parser.add_argument("--seeds", nargs="+", type=int)
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument(
        "--load", type=float, default=1.0, help="factor on the arrival rate"
    )
    parser.add_argument(
        "--by-queue",
        action="store_true",
        help="measure only the placer, by queue, zone and time window",
    )
    parser.add_argument("--out", type=pathlib.Path, help="folder for reports")
    options = parser.parse_args(argv)
    for path in options.scenarios:
        loaded = load_scenario(path)
        if loaded.is_error():
            print(f"{path}: {loaded.error.reason}", file=sys.stderr)
            return 2
        scenario = loaded.ok
        if options.seeds:
            scenario = attrs.evolve(scenario, seeds=options.seeds)
        if options.load != 1.0:
            scenario = _scale_load(scenario, options.load)
        if options.by_queue:
            report = measure(scenario, options.processes)
            print(format_groups(report), flush=True)
        else:
            report = compare(scenario, options.processes)
            print(format_report(report), flush=True)
        if options.out is not None:
            options.out.mkdir(parents=True, exist_ok=True)
            text = json.dumps(report, indent=1, sort_keys=True)
            (options.out / f"{scenario.name}.json").write_text(text + "\n")
    return 0


def _scale_load(scenario: Scenario, factor: float) -> Scenario:
    """Returns the scenario with all arrival rates multiplied by a factor."""
    rate = scenario.wave.per_second * factor
    return attrs.evolve(
        scenario,
        name=f"{scenario.name} x{factor:g}",
        wave=attrs.evolve(scenario.wave, per_second=rate),
    )


if __name__ == "__main__":
    sys.exit(main())
