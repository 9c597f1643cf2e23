"""Explains failed requests that are chosen at random from captured logs.

Shows whether an engineer who has logs alone finds the cause: each chosen id
is given to `anvilctl explain`, and one without a stated cause fails the run.

    python -m benchmarks.explain_failures --seed 1 --count 3 LOG...
"""

import argparse
import collections
import pathlib
import random
import sys
from collections.abc import Sequence

from anvilford.captured_logs import read_lines
from anvilford.cli import main as anvilctl
from anvilford.cli._explain import REASON_EXPLANATIONS

# The last line on a request, at the entry that its caller reached.
ENDS = ("request answered", "caller gone", "request refused")
SERVED = 200
NO_END = "no end"


def failed_jobs(paths: Sequence[pathlib.Path]) -> dict[str, str]:
    """Jobs that were not served in the end, with how they failed."""
    last: dict[str, str] = {}
    for path in paths:
        texts = path.read_text("utf-8", "replace").splitlines()
        for line in sorted(read_lines(texts), key=lambda x: x["time"]):
            job = line.get("job")
            if not job:
                continue
            if line["message"] in ENDS:
                served = line.get("status") == SERVED
                last[job] = "" if served else str(line.get("reason"))
            elif line["message"] == "job accepted":
                last.setdefault(job, NO_END)
    return {job: how for job, how in last.items() if how}


def main(argv: Sequence[str] | None = None) -> int:
    """Explains some failures.

    Returns:
        Exit status: 0, or 1 when a failure has no stated cause.
    """
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.explain_failures"
    )
    parser.add_argument("logs", nargs="+", type=pathlib.Path, metavar="LOG")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--count", type=int, default=3)
    options = parser.parse_args(argv)
    failed = failed_jobs(options.logs)
    reasons = collections.Counter(failed.values())
    print(f"{len(failed)} failed: {dict(reasons.most_common())}")
    chosen = random.Random(options.seed).sample(
        sorted(failed), min(options.count, len(failed))
    )
    unexplained = 0
    for job in chosen:
        print(f"\n== {job} ({failed[job]})", flush=True)
        logs = [str(path) for path in options.logs]
        anvilctl(["explain", job, *logs])
        unexplained += failed[job] not in {*REASON_EXPLANATIONS, NO_END}
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
