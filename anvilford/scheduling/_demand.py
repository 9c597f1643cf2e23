"""Rate of offered work by size of the job."""

import math

# Demand rises to four times capacity within a second; the average must
# follow well within that time.
AVERAGING_TIME = 0.5
_LEAST_WORK = 1e-3


class OfferedWork:
    """Moving average of the work offered per second, by size class.

    Size classes are half powers of two of a job's work in seconds. All jobs
    count, refused ones too.
    """

    def __init__(self):
        self._rates: dict[int, tuple[float, float]] = {}

    def observe(self, work: float, now: float) -> None:
        """Counts a job that was offered."""
        size = size_class(work)
        rate, since = self._rates.get(size, (0.0, now))
        rate *= math.exp((since - now) / AVERAGING_TIME)
        self._rates[size] = (rate + work / AVERAGING_TIME, now)

    def rates(self, work: float, now: float) -> tuple[float, float]:
        """Returns the rates of smaller work and of work of the same size.

        Args:
            work: Work of a job, in seconds.
            now: Loop time in seconds.

        Returns:
            Two rates in seconds of work per second.
        """
        own = size_class(work)
        smaller = equal = 0.0
        for size, (rate, since) in self._rates.items():
            if size > own:
                continue
            current = rate * math.exp((since - now) / AVERAGING_TIME)
            if size == own:
                equal = current
            else:
                smaller += current
        return smaller, equal


def size_class(work: float) -> int:
    """Returns the size class of an amount of work in seconds."""
    return math.floor(2 * math.log2(max(work, _LEAST_WORK)))
