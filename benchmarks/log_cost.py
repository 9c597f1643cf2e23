"""Measures what logging costs an entry, with a reader and with a full pipe.

    python -m benchmarks.log_cost [--lines 20000] [--lines-per-s 340]

Prints processor time a line, the share of a core at a rate of lines, and the
longest time that one line took.
"""

import argparse
import contextlib
import logging
import os
import subprocess
import time
from collections.abc import Sequence

import attrs

from anvilford.telemetry import configure_logging
from anvilford.telemetry import NonBlockingOutput

FIELDS = {
    "job": "0123456789abcdef",
    "queue": "r-iimgcyw",
    "target": "i-505a207adb",
    "target_speed": 1.99,
    "target_version": 687,
    "contact_age_ms": 16,
    "waited_ms": 0,
    "objective_ms": 1541,
    "tasks": 1,
    "again": False,
}


@attrs.frozen
class LogCost:
    """Cost of one kind of output.

    Attributes:
        name: What read the lines.
        line_s: Processor time a line, in seconds.
        longest_s: Longest time of one line on the wall clock, in seconds.
        dropped: Lines that were left out.
    """

    name: str
    line_s: float
    longest_s: float
    dropped: int


def measure(name: str, lines: int, is_read: bool) -> LogCost:
    """Writes lines like those of an entry into a pipe."""
    reading, writing = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(logging.getLogger().handlers.clear)
        stack.callback(os.close, reading)
        if is_read:
            # A process of its own, which does not share this one's lock.
            reader = subprocess.Popen(
                ["cat"], stdin=reading, stdout=subprocess.DEVNULL
            )
            stack.callback(reader.wait)
        stack.callback(os.close, writing)
        output = NonBlockingOutput(writing)
        configure_logging(output, logging.INFO, {"node": "entry-0"})
        logger = logging.getLogger("benchmarks.log_cost")
        longest = 0.0
        spent = time.thread_time()
        for _ in range(lines):
            begun = time.perf_counter()
            logger.info("job started", extra=FIELDS)
            longest = max(longest, time.perf_counter() - begun)
        spent = time.thread_time() - spent
    return LogCost(name, spent / lines, longest, output.dropped)


def main(argv: Sequence[str] | None = None) -> int:
    """Prints the costs; returns 0."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.log_cost")
    parser.add_argument("--lines", type=int, default=20_000)
    # The busiest second of an entry on the users' standard days.
    parser.add_argument("--lines-per-s", type=float, default=340.0)
    options = parser.parse_args(argv)
    for name, is_read in (("read", True), ("full pipe", False)):
        cost = measure(name, options.lines, is_read)
        print(
            f"{cost.name}: {1e6 * cost.line_s:.1f} us a line, "
            f"{100 * cost.line_s * options.lines_per_s:.2f}% of a core, "
            f"longest {1e3 * cost.longest_s:.2f} ms, dropped {cost.dropped}"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
