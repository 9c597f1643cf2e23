"""Measures the cost of log lines written to a pipe that is read or full.

    python -m benchmarks.log_cost [--lines 20000] [--lines-per-s 340]

Prints the processor time per line, the share of a core at the given lines per
second, the longest time that one line took, and the dropped lines.
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
    """Cost of log lines under one condition of the pipe.

    Attributes:
        name: Condition of the pipe.
        cpu_s_per_line: Processor time per line, in seconds.
        max_line_s: Longest elapsed time of one line, in seconds.
        dropped: Number of lines that were dropped because the buffer was full.
    """

    name: str
    cpu_s_per_line: float
    max_line_s: float
    dropped: int


def measure_log_cost(name: str, lines: int, has_reader: bool) -> LogCost:
    """Measures log lines like those of an entry, written to a pipe.

    Args:
        name: Condition of the pipe, for the result.
        lines: Number of lines.
        has_reader: Whether a process reads the pipe. Otherwise it fills up.
    """
    reading, writing = os.pipe()
    with contextlib.ExitStack() as stack:
        stack.callback(logging.getLogger().handlers.clear)
        stack.callback(os.close, reading)
        if has_reader:
            # A separate process, since a reading thread would compete for the
            # interpreter lock.
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
    """Prints the cost with a read and with a full pipe; returns 0."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.log_cost")
    parser.add_argument("--lines", type=int, default=20_000)
    # Lines that an entry writes in the busiest second of the users' standard
    # test days.
    parser.add_argument("--lines-per-s", type=float, default=340.0)
    options = parser.parse_args(argv)
    for name, is_read in (("read", True), ("full pipe", False)):
        cost = measure_log_cost(name, options.lines, is_read)
        print(
            f"{cost.name}: {1e6 * cost.cpu_s_per_line:.1f} us a line, "
            f"{100 * cost.cpu_s_per_line * options.lines_per_s:.2f}% "
            "of a core, "
            f"longest {1e3 * cost.max_line_s:.2f} ms, dropped {cost.dropped}"
        )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
