"""Tells since when data may have waited before the event loop reads it."""

import asyncio
import collections

from anvilford.node import _clock as clock

MARK_INTERVAL_S = 0.05
# Data that is read may have arrived since the oldest of this many marks: the loop
# accepts a connection in one round and reads it in the next one, and a mark falls
# between two rounds if they take long.
MARK_COUNT = 3
# Age of the oldest mark from which the loop counts as held up. Otherwise it is at
# most 0.15 s, plus what the loop takes for its work.
HELD_UP_S = 0.25


class LoopProgress:
    """Records by a timer when the event loop ran; a context manager.

    A process that was suspended, or got no processor, reads data that has waited
    in its sockets like new data.
    """

    def __init__(self):
        self._marks = collections.deque([clock.now()], maxlen=MARK_COUNT)
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "LoopProgress":
        self._mark()
        return self

    def __exit__(self, *_: object) -> None:
        self._timer.cancel()

    def _mark(self) -> None:
        self._marks.append(clock.now())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(MARK_INTERVAL_S, self._mark)

    def earliest_arrival(self) -> float:
        """Returns since when data that is read now may have waited.

        Returns:
            The present time while the loop runs in time, else the time of a mark
            before it was held up.
        """
        now = clock.now()
        oldest = self._marks[0]
        return oldest if now - oldest > HELD_UP_S else now
