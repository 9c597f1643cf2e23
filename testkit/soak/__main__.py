"""Runs the soak test: `python -m testkit.soak --seeds 50 --seed 0`.

To repeat a failing seed N, run `python -m testkit.soak --seed N --logs FOLDER`
with the same --length, --entries and --runners (number of targets). The seed
repeats the choice of faults and jobs, but not the timing of the processes, so
a failure may need several runs.
"""

import argparse
import asyncio
import pathlib
import sys

from testkit.soak import run_seed
from testkit.soak import SoakOptions


def main() -> int:
    """Runs seeds one after the other; returns 1 if one violates a guarantee."""
    parser = argparse.ArgumentParser(prog="testkit.soak")
    parser.add_argument("--seed", type=int, default=0, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument(
        "--length",
        type=float,
        default=12.0,
        help="duration of load and faults of each seed in seconds",
    )
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--runners", type=int, default=6)
    parser.add_argument(
        "--logs", help="folder for the entries' logs of failed seeds"
    )
    arguments = parser.parse_args()
    options = SoakOptions(
        arguments.entries, arguments.runners, arguments.length
    )
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):

        def save_log(name: str, text: str, seed: int = seed) -> None:
            if arguments.logs:
                folder = pathlib.Path(arguments.logs)
                folder.mkdir(parents=True, exist_ok=True)
                (folder / f"{seed}-{name}.log").write_text(text)

        report = asyncio.run(run_seed(seed, options, save_log))
        print(
            f"seed {seed}: {dict(report.status_counts)}, "
            f"{len(report.faults)} faults, {len(report.violations)} broken",
            flush=True,
        )
        failed += bool(report.violations)
        for violation in report.violations:
            print(f"  {violation}")
        if report.stalls:
            print(f"  this process stood still: {report.stalls}")
        if report.violations:
            print(f"  faults: {report.faults}")
    print(f"{arguments.seeds - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
