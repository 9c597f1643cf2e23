"""Hand-over between other threads and the loop's thread."""

import asyncio
import collections
import threading
from collections.abc import Callable
from typing import Any


class ThreadFuture:
    """A result that one other thread waits for.

    `concurrent.futures.Future` with its condition and callbacks takes several
    times as long.

    Attributes:
        request_id: Names the waiting requester on the loop's thread.
    """

    def __init__(self):
        self.request_id = ""
        self._value: Any = None
        self._error: Exception | None = None
        self._is_done = False
        self._completion_lock = threading.Lock()
        self._completion_lock.acquire()

    def done(self) -> bool:
        """Tells the loop's thread whether there is a result."""
        return self._is_done

    def set_result(self, value: Any) -> None:
        """Wakes the waiting thread; called on the loop's thread, once."""
        self._value = value
        self._is_done = True
        self._completion_lock.release()

    def set_exception(self, error: Exception) -> None:
        """Wakes the waiting thread with an exception unless it has a result."""
        if not self._is_done:
            self._error = error
            self.set_result(None)

    def result(self, timeout: float | None = None) -> Any:
        """Waits for the result; called once, by the waiting thread.

        Raises:
            TimeoutError: There was no result within `timeout` seconds.
        """
        if not self._completion_lock.acquire(
            timeout=-1 if timeout is None else timeout
        ):
            raise TimeoutError
        if self._error is not None:
            raise self._error
        return self._value


class LoopCallQueue:
    """Functions that other threads pass to the loop's thread.

    Functions that arrive while the loop is about to run others cost no
    further wake-up, each of which is a write to the loop's socket.

    Attributes:
        loop: The loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self._calls: collections.deque[Callable[[], None]] = collections.deque()
        self._is_run_scheduled = False

    def put(self, function: Callable[[], None]) -> None:
        """Lets the loop's thread run a function."""
        self._calls.append(function)
        if not self._is_run_scheduled:
            self._is_run_scheduled = True
            self.loop.call_soon_threadsafe(self._run)

    def _run(self) -> None:
        # Cleared first: a function appended from now on either is run below
        # or finds the flag cleared and wakes the loop again.
        self._is_run_scheduled = False
        calls = self._calls
        try:
            for _ in range(len(calls)):
                calls.popleft()()
        finally:
            # Also after an exception, which the loop reports.
            if calls and not self._is_run_scheduled:
                self._is_run_scheduled = True
                self.loop.call_soon(self._run)
