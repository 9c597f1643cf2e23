"""Timers of the dispatcher."""

import enum
import heapq
import itertools
from collections.abc import Iterator


class Timer(enum.Enum):
    """Kind of a timer.

    Attributes:
        DEADLINE: The answer of a job is due; the key is the job key.
        OVERSTAY: An attempt exceeds the run time of short work; the key is the
            attempt id.
        WAKE: Queued tasks may be able to start; the key is empty.
    """

    DEADLINE = "deadline"
    OVERSTAY = "overstay"
    WAKE = "wake"


class Timers:
    """Heap of timers, each with a time, a kind and a key.

    Timers are not removed when their job or attempt ends. The dispatcher
    ignores them when they are due.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, Timer, int | str]] = []
        self._insertion_numbers = itertools.count()

    def add(self, when: float, kind: Timer, key: int | str = "") -> None:
        """Adds a timer.

        Args:
            when: Loop time in seconds.
            kind: Kind of the timer.
            key: Job key or attempt id, depending on the kind.
        """
        heapq.heappush(
            self._heap, (when, next(self._insertion_numbers), kind, key)
        )

    def pop_due(self, now: float) -> Iterator[tuple[Timer, int | str]]:
        """Removes the timers that are due and yields their kinds and keys.

        Timers are yielded in order of time, and of insertion at equal times.
        """
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, key = heapq.heappop(self._heap)
            yield kind, key

    def next_time(self) -> float | None:
        """Returns the loop time of the earliest timer, or None."""
        return self._heap[0][0] if self._heap else None
