"""Checks that captured logs alone explain randomly chosen failed requests.

Passes each chosen job id to `anvilctl explain`. The run fails if a job failed
for a reason that `anvilctl explain` cannot put into words.

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

# Messages of the log line that ends a request, at the entry that received it.
FINAL_MESSAGES = ("request answered", "caller gone", "request refused")
HTTP_OK = 200
# Shown instead of a reason if an accepted job has no final log line.
NO_FINAL_MESSAGE = "no final log line"


def find_failed_jobs(paths: Sequence[pathlib.Path]) -> dict[str, str]:
    """Returns the jobs whose last request did not succeed, with the reason.

    A job whose request was repeated with success is not included. The reason
    is that of the final log line, or `NO_FINAL_MESSAGE`.
    """
    last: dict[str, str] = {}
    for path in paths:
        texts = path.read_text("utf-8", "replace").splitlines()
        for line in sorted(read_lines(texts), key=lambda x: x["time"]):
            job = line.get("job")
            if not job:
                continue
            if line["message"] in FINAL_MESSAGES:
                served = line.get("status") == HTTP_OK
                last[job] = "" if served else str(line.get("reason"))
            elif line["message"] == "job accepted":
                last.setdefault(job, NO_FINAL_MESSAGE)
    return {job: how for job, how in last.items() if how}


def main(argv: Sequence[str] | None = None) -> int:
    """Explains randomly chosen failures.

    Returns:
        Exit status: 0, or 1 if the reason of a failure has no explanation.
    """
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.explain_failures"
    )
    parser.add_argument("logs", nargs="+", type=pathlib.Path, metavar="LOG")
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--count", type=int, default=3)
    options = parser.parse_args(argv)
    failed = find_failed_jobs(options.logs)
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
        unexplained += failed[job] not in {
            *REASON_EXPLANATIONS,
            NO_FINAL_MESSAGE,
        }
    return 1 if unexplained else 0


if __name__ == "__main__":
    sys.exit(main())
