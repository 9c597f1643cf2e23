"""Tests of non-blocking log output and of its rate limit."""

import logging
import os

from anvilford.telemetry import configure_logging
from anvilford.telemetry import LogRateLimiter
from anvilford.telemetry import NonBlockingOutput
from anvilford.telemetry._output import MAX_INFO_LINES_PER_S
from testkit import fixture
from testkit import function_tests

load_tests = function_tests(__name__)


@fixture
def pipe():
    """Yields both ends of a pipe, (read end, write end)."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


@fixture
def root_logger():
    """Yields the root logger; restores its handlers and level afterwards."""
    logger = logging.getLogger()
    handlers, level = logger.handlers[:], logger.level
    yield logger
    logger.handlers[:] = handlers
    logger.setLevel(level)


def test_full_pipe_does_not_block(case, pipe):
    """A write to a full pipe drops lines instead of blocking.

    Without this, requests would wait while the log reader is slow.
    """
    output = NonBlockingOutput(pipe[1])
    for _ in range(20_000):
        output.write("x" * 100 + "\n")
    case.assertGreater(output.dropped, 0)


def test_lines_are_bounded_and_failures_kept(case, pipe, root_logger):
    """INFO lines beyond the limit are rejected, while warnings still pass.

    Without the limit, the log volume would grow with the load.
    """
    output = NonBlockingOutput(pipe[1])
    configure_logging(output, "INFO", line_filter=LogRateLimiter(output))
    logger = logging.getLogger("test")
    for _ in range(3 * MAX_INFO_LINES_PER_S):
        logger.info("served")
    logger.warning("failed")
    os.set_blocking(pipe[0], False)
    text = os.read(pipe[0], 1 << 20)
    while more := _read_some(pipe[0], output):
        text += more
    case.assertLessEqual(text.count(b'"served"'), 2 * MAX_INFO_LINES_PER_S)
    case.assertEqual(text.count(b'"failed"'), 1)
    del root_logger


def _read_some(end: int, output: NonBlockingOutput) -> bytes:
    output.flush()
    try:
        return os.read(end, 1 << 20)
    except BlockingIOError:
        return b""
