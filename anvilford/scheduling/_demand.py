"""Rate of offered work by size of the job."""

import math

# Demand rises to four times capacity within a second; the average must
# follow well within that time.
AVERAGING_SECONDS = 0.5
_MIN_WORK_SECONDS = 1e-3


class OfferedWork:
    """Moving average of the work offered per second, by size class.

    Size classes are half powers of two of a job's work in seconds. All jobs
    count, refused ones too.
    """

    def __init__(self):
        self._rate_by_size_class: dict[int, tuple[float, float]] = {}

    def record_job(self, work: float, now: float) -> None:
        """Counts a job that was offered."""
        job_class = size_class(work)
        rate, updated = self._rate_by_size_class.get(job_class, (0.0, now))
        rate *= math.exp((updated - now) / AVERAGING_SECONDS)
        self._rate_by_size_class[job_class] = (
            rate + work / AVERAGING_SECONDS,
            now,
        )

    def rates(self, work: float, now: float) -> tuple[float, float]:
        """Returns the rates of smaller work and of work of the same size.

        Args:
            work: Work of a job, in seconds.
            now: Loop time in seconds.

        Returns:
            Two rates in seconds of work per second.
        """
        job_class = size_class(work)
        smaller = equal = 0.0
        for other_class, (rate, updated) in self._rate_by_size_class.items():
            if other_class > job_class:
                continue
            current = rate * math.exp((updated - now) / AVERAGING_SECONDS)
            if other_class == job_class:
                equal = current
            else:
                smaller += current
        return smaller, equal


def size_class(work: float) -> int:
    """Returns the size class of an amount of work in seconds."""
    return math.floor(2 * math.log2(max(work, _MIN_WORK_SECONDS)))
