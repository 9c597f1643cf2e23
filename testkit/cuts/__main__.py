"""Plays days with cuts: `python -m testkit.cuts review/2/day.toml --seed 1`."""

import argparse
import pathlib
import sys

import uvloop

from testkit.cuts import CutOptions
from testkit.cuts import load_day
from testkit.cuts import play_day
from testkit.cuts import SITES


def main() -> int:
    """Plays a day with each seed; returns 1 if a task ran twice at once."""
    parser = argparse.ArgumentParser(prog="testkit.cuts")
    parser.add_argument("day", type=pathlib.Path, help="day file")
    parser.add_argument("--site", choices=SITES, default=CutOptions().site)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--load", type=float, default=CutOptions().load)
    parser.add_argument(
        "--plan-load", type=float, default=CutOptions().plan_load
    )
    parser.add_argument("--delay", type=float, default=CutOptions().delay_s)
    parser.add_argument("--stalls", type=float, default=0.0)
    parser.add_argument("--longest-stall", type=float, default=0.3)
    parser.add_argument("--until", type=float, default=CutOptions().until_s)
    parser.add_argument("--no-resends", action="store_true")
    parser.add_argument("--logs", type=pathlib.Path, help="folder for logs")
    parser.add_argument("--events", action="store_true", help="print the cuts")
    arguments = parser.parse_args()
    options = CutOptions(
        arguments.load,
        arguments.plan_load,
        arguments.delay,
        arguments.stalls,
        arguments.longest_stall,
        not arguments.no_resends,
        arguments.until,
        arguments.site,
    )
    day = load_day(arguments.day)
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        logs = arguments.logs and arguments.logs / str(seed)
        report = uvloop.run(play_day(day, seed, options, logs))
        print(
            f"seed {seed}: answers {dict(report.answers)}, {report.resent} sent"
            f" again, {len(report.overlaps)} tasks twice",
            flush=True,
        )
        failed += bool(report.overlaps)
        for text in report.overlaps:
            print(f"  TWICE {text}")
        if report.overlaps or arguments.events:
            print("  " + "\n  ".join(report.events), flush=True)
    print(f"{arguments.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
