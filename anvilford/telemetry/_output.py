"""Log output that never blocks and is bounded in volume."""

import collections
import io
import logging
import os
import time

# Lines kept while the reader of the pipe is behind; about 1 MB.
BUFFERED_LINES = 2000
# Lines a second at INFO. An entry writes about four a job, and the largest of
# the users' sites has 400 jobs a second over 29 entries.
INFO_LINES_PER_S = 400
# Lines a second at WARNING and above, which are left out last.
WARNING_LINES_PER_S = 800


class NonBlockingOutput(io.TextIOBase):
    """Writes to a file descriptor without ever waiting for its reader.

    Attributes:
        descriptor: Where lines go; it is made non-blocking.
        dropped: Lines left out because the buffer was full.
    """

    def __init__(self, descriptor: int):
        self.descriptor = descriptor
        self.dropped = 0
        self._pending: collections.deque[bytes] = collections.deque()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Queues a line; the handler flushes after each one."""
        if len(self._pending) >= BUFFERED_LINES:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append(text.encode())
        return len(text)

    def flush(self) -> None:
        """Writes queued lines until the descriptor takes no more."""
        while self._pending:
            data = self._pending.popleft()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                self._pending.appendleft(data)
                return
            except OSError:
                # Nobody reads any more; serving goes on without logs.
                self.dropped += 1 + len(self._pending)
                self._pending.clear()
                return
            if written < len(data):
                self._pending.appendleft(data[written:])


class LogRateLimiter(logging.Filter):
    """Limits the lines a second; tells how many were left out.

    Attributes:
        output: Also reports the lines that it dropped.
    """

    def __init__(self, output: NonBlockingOutput):
        super().__init__()
        self.output = output
        self._second = 0
        self._written = {False: 0, True: 0}
        self._omitted = 0
        self._reported_drops = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a line is written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written = {False: 0, True: 0}
            self._report()
        urgent = record.levelno >= logging.WARNING
        limit = WARNING_LINES_PER_S if urgent else INFO_LINES_PER_S
        if self._written[urgent] >= limit:
            self._omitted += 1
            return False
        self._written[urgent] += 1
        return True

    def _report(self) -> None:
        dropped = self.output.dropped - self._reported_drops
        if not self._omitted and not dropped:
            return
        fields = {"omitted": self._omitted, "dropped": dropped}
        self._omitted = 0
        self._reported_drops = self.output.dropped
        logging.getLogger(__name__).warning("log lines left out", extra=fields)
