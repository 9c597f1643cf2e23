"""Points in time at which the dispatcher must act."""

import enum
import heapq
import itertools
from collections.abc import Iterator


class Timer(enum.Enum):
    """What is due."""

    DEADLINE = "deadline"
    OVERSTAY = "overstay"
    WAKE = "wake"


class Timers:
    """Heap of times, each with a kind and a key of a job or an attempt.

    Timers are not removed when their job or attempt ends; they are ignored
    when they fall due.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, Timer, int | str]] = []
        self._insertion_numbers = itertools.count()

    def add(self, when: float, kind: Timer, key: int | str = "") -> None:
        """Adds a timer at a loop time in seconds."""
        heapq.heappush(
            self._heap, (when, next(self._insertion_numbers), kind, key)
        )

    def pop_due(self, now: float) -> Iterator[tuple[Timer, int | str]]:
        """Removes and yields what is due, in order of time."""
        while self._heap and self._heap[0][0] <= now:
            _, _, kind, key = heapq.heappop(self._heap)
            yield kind, key

    def next_time(self) -> float | None:
        """Returns the time of the earliest timer."""
        return self._heap[0][0] if self._heap else None
