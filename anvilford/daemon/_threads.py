"""Calls from other threads into the event loop's thread."""

import asyncio
import collections
import threading
from collections.abc import Callable
from typing import Any


class ThreadFuture:
    """A future that the loop's thread sets and one other thread waits for.

    It is a lock and a value only: `concurrent.futures.Future`, with its
    condition and callbacks, takes several times as long.

    Attributes:
        request_id: Id of the request that the result answers; set on the
            loop's thread, "" for other calls.
    """

    def __init__(self):
        self.request_id = ""
        self._value: Any = None
        self._error: Exception | None = None
        self._is_done = False
        self._completion_lock = threading.Lock()
        self._completion_lock.acquire()

    def done(self) -> bool:
        """Returns whether a result was set; called on the loop's thread."""
        return self._is_done

    def set_result(self, value: Any) -> None:
        """Sets the result and wakes the waiting thread.

        Called once, on the loop's thread.
        """
        self._value = value
        self._is_done = True
        self._completion_lock.release()

    def set_exception(self, error: Exception) -> None:
        """Lets `result` raise an exception unless a result was set."""
        if not self._is_done:
            self._error = error
            self.set_result(None)

    def result(self, timeout: float | None = None) -> Any:
        """Waits for the result; called once, by the waiting thread.

        Args:
            timeout: Longest wait in seconds; None waits without limit.

        Raises:
            Exception: The exception that was set instead of a result.
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
    """Queue of functions that other threads submit to the loop's thread.

    Each wake-up of the loop is a write to its socket. Functions that are added
    while a wake-up is pending share it.

    Attributes:
        loop: The event loop that runs the functions.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self.loop = loop
        self._calls: collections.deque[Callable[[], None]] = collections.deque()
        self._is_run_scheduled = False

    def put(self, function: Callable[[], None]) -> None:
        """Schedules a function to run on the loop's thread."""
        self._calls.append(function)
        if not self._is_run_scheduled:
            self._is_run_scheduled = True
            self.loop.call_soon_threadsafe(self._run)

    def _run(self) -> None:
        # The flag is cleared before the queue is read: a function appended
        # from now on is either run below or finds the flag cleared and wakes
        # the loop again.
        self._is_run_scheduled = False
        calls = self._calls
        try:
            for _ in range(len(calls)):
                calls.popleft()()
        finally:
            # If a function raised, the loop reports the exception and the
            # remaining functions run in the next iteration.
            if calls and not self._is_run_scheduled:
                self._is_run_scheduled = True
                self.loop.call_soon(self._run)
