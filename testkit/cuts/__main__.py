"""Plays days with cuts: `python -m testkit.cuts review/2/day.toml --seed 1`.

With `--random-day` instead of a file, each seed draws a day, which is printed.
"""

import argparse
import pathlib
import sys
from collections.abc import Callable

import uvloop

from testkit.cuts import Break
from testkit.cuts import CutOptions
from testkit.cuts import CutReport
from testkit.cuts import draw_day
from testkit.cuts import format_day
from testkit.cuts import load_day
from testkit.cuts import play_day
from testkit.cuts import SITES


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Returns the parsed command line, with its `CutOptions` as `options`."""
    parser = argparse.ArgumentParser(prog="testkit.cuts")
    _add_plays(parser.add_argument)
    _add_options(parser.add_argument, CutOptions())
    parsed = parser.parse_args(arguments)
    if parsed.random_day == (parsed.day is not None):
        parser.error("either a day file or --random-day is needed")
    parsed.options = CutOptions(
        site=parsed.site,
        load=parsed.load,
        plan_load=parsed.plan_load,
        stretch=parsed.stretch,
        task_stretch=parsed.task_stretch,
        tries=1 if parsed.no_resends else parsed.tries,
        long_share=parsed.long_share,
        long_ratio=parsed.long_ratio,
        broken_share=parsed.breaks,
        breaks=tuple(Break(value) for value in parsed.break_kinds),
        delay_s=parsed.delay,
        stalls_per_s=parsed.stalls,
        longest_stall_s=parsed.longest_stall,
        clock_drift=parsed.clock_drift,
        until_s=parsed.until,
    )
    return parsed


def _add_plays(add: Callable) -> None:
    """Adds the arguments that say which days are played and what is kept."""
    add("day", type=pathlib.Path, nargs="?", help="day file")
    add("--random-day", action="store_true", help="draw a day for each seed")
    add("--all-kinds", action="store_true", help="in drawn days: crashes, too")
    add(
        "--mixes",
        action="store_true",
        help="in drawn days: store cuts, drains, late messages and short"
        " suspensions around changes of the leader, too",
    )
    add("--length", type=float, default=60.0, help="of drawn days, seconds")
    add("--longest-cut", type=float, default=40.0, help="of drawn days")
    add("--seed", type=int, default=1, help="first seed")
    add("--seeds", type=int, default=1, help="number of seeds")
    add("--logs", type=pathlib.Path, help="folder for logs")
    add("--events", action="store_true", help="print the cuts")


def _add_options(add: Callable, default: CutOptions) -> None:
    """Adds the arguments that say how a day is played."""
    add("--site", choices=SITES, default=default.site)
    add("--load", type=float, default=default.load)
    add("--plan-load", type=float, default=default.plan_load)
    add("--stretch", type=float, default=default.stretch)
    add("--task-stretch", type=float, default=default.task_stretch)
    add("--tries", type=int, default=default.tries, help="entries for a job")
    add("--long-share", type=float, default=default.long_share)
    add("--long-ratio", type=float, default=default.long_ratio)
    add(
        "--breaks",
        type=float,
        default=default.broken_share,
        help="share of the requests whose connections break",
    )
    add(
        "--break-kinds",
        nargs="+",
        choices=[how.value for how in Break],
        default=[how.value for how in default.breaks],
    )
    add("--delay", type=float, default=default.delay_s)
    add("--stalls", type=float, default=default.stalls_per_s)
    add("--longest-stall", type=float, default=default.longest_stall_s)
    add("--clock-drift", type=float, default=default.clock_drift)
    add("--until", type=float, default=default.until_s)
    add("--no-resends", action="store_true")


def main() -> int:
    """Plays a day with each seed; returns 1 if a task ran twice at once."""
    parsed = parse_options(sys.argv[1:])
    failed = 0
    for seed in range(parsed.seed, parsed.seed + parsed.seeds):
        logs = parsed.logs and parsed.logs / str(seed)
        if parsed.random_day:
            site = SITES[parsed.site]
            day = draw_day(
                site,
                seed,
                parsed.length,
                parsed.longest_cut,
                parsed.all_kinds,
                parsed.mixes,
            )
            print(format_day(f"seed-{seed}", day), flush=True)
        else:
            day = load_day(parsed.day)
        report = uvloop.run(play_day(day, seed, parsed.options, logs))
        failed += bool(report.overlaps)
        print_report(seed, report, parsed.events)
    print(f"{parsed.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


def print_report(seed: int, report: CutReport, with_events: bool) -> None:
    """Prints what was seen in a play; events also if a task ran twice."""
    print(
        f"seed {seed}: answers {dict(sorted(report.answers.items()))},"
        f" {report.resent} sent again, breaks {dict(report.breaks)},"
        f" {report.terms.raised} terms of leaders of the whole site,"
        f" {report.terms.alternations} by another leader than the one before,"
        f" {report.terms.shared} by two,"
        f" {len(report.overlaps)} tasks twice"
    )
    for text in report.overlaps:
        print(f"  TWICE {text}")
    if report.overlaps or with_events:
        print("  " + "\n  ".join(report.events))
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
