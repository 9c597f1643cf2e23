"""Log output that never blocks the process and has a limited rate."""

import collections
import io
import logging
import os
import time

# Lines buffered while the reader of the pipe is slow; about 1 MB.
MAX_BUFFERED_LINES = 2000
# Limit for levels below WARNING. An entry writes about four lines per job, and
# the largest site of the users has 400 jobs per second over 29 entries, which
# is about 55 lines per second and entry.
MAX_INFO_LINES_PER_S = 400
# Limit for WARNING and above, counted separately so that a flood of INFO lines
# does not suppress warnings and errors.
MAX_WARNING_LINES_PER_S = 800


class NonBlockingOutput(io.TextIOBase):
    """Text stream that writes to a file descriptor without ever blocking.

    While the descriptor accepts no data, up to `MAX_BUFFERED_LINES` lines are
    buffered; beyond that the oldest buffered line is dropped for each new one.

    Attributes:
        descriptor: File descriptor that lines are written to. The constructor
            sets it to non-blocking mode.
        dropped: Number of lines dropped so far, because the buffer was full or
            the descriptor could not be written.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.dropped = 0
        self._pending: collections.deque[bytes] = collections.deque()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Buffers one line. `logging.StreamHandler` flushes after each line."""
        if len(self._pending) >= MAX_BUFFERED_LINES:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append(text.encode())
        return len(text)

    def flush(self) -> None:
        """Writes buffered lines until none is left or a write would block."""
        while self._pending:
            data = self._pending.popleft()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                self._pending.appendleft(data)
                return
            except OSError:
                # The reader has closed the pipe, or the write failed for
                # another reason. The process continues without these lines.
                self.dropped += 1 + len(self._pending)
                self._pending.clear()
                return
            if written < len(data):
                self._pending.appendleft(data[written:])


class LogRateLimiter(logging.Filter):
    """Logging filter that limits the number of lines per second.

    With the first line of each second, it logs a warning that states how many
    lines it rejected and the output dropped since the previous such warning;
    it logs none if there were no such lines.

    Attributes:
        output: Output whose dropped lines are included in the warning.
    """

    def __init__(self, output: NonBlockingOutput):
        super().__init__()
        self.output = output
        self._current_second = 0
        self._written_by_urgency = {False: 0, True: 0}
        self._omitted = 0
        self._reported_drops = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a line is within the limit of its second."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._written_by_urgency = {False: 0, True: 0}
            self._report_left_out_lines()
        urgent = record.levelno >= logging.WARNING
        limit = MAX_WARNING_LINES_PER_S if urgent else MAX_INFO_LINES_PER_S
        if self._written_by_urgency[urgent] >= limit:
            self._omitted += 1
            return False
        self._written_by_urgency[urgent] += 1
        return True

    def _report_left_out_lines(self) -> None:
        dropped = self.output.dropped - self._reported_drops
        if not self._omitted and not dropped:
            return
        fields = {"omitted": self._omitted, "dropped": dropped}
        self._omitted = 0
        self._reported_drops = self.output.dropped
        logging.getLogger(__name__).warning("log lines left out", extra=fields)
