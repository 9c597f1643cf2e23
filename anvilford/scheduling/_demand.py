"""Rate of offered work by the size class of jobs."""

import math

# Time constant of the moving average. Demand can rise to four times the
# capacity within a second, and the average must follow in well under that time.
AVERAGING_SECONDS = 0.5
_MIN_WORK_SECONDS = 1e-3


class OfferedWork:
    """Exponential moving average of the offered work by size class of jobs.

    The work of a job is the sum of the expected run times of its tasks. Each
    size class covers a factor of the square root of two in work. Refused jobs
    are included.
    """

    def __init__(self):
        # Rate in seconds of work per second, and the loop time of its last
        # update, by size class.
        self._rate_by_size_class: dict[int, tuple[float, float]] = {}

    def record_job(self, work: float, now: float) -> None:
        """Adds a submitted job to the rate of its size class.

        Args:
            work: Work of the job, in seconds.
            now: Loop time in seconds.
        """
        job_class = size_class(work)
        rate, updated = self._rate_by_size_class.get(job_class, (0.0, now))
        rate *= math.exp((updated - now) / AVERAGING_SECONDS)
        self._rate_by_size_class[job_class] = (
            rate + work / AVERAGING_SECONDS,
            now,
        )

    def rates(self, work: float, now: float) -> tuple[float, float]:
        """Returns the rates of work offered in smaller and equally large jobs.

        Args:
            work: Work of a job, in seconds.
            now: Loop time in seconds.

        Returns:
            The rate of all smaller size classes and the rate of the size class
            of the job, in seconds of work per second.
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
    """Returns the size class of a job, given its work in seconds."""
    return math.floor(2 * math.log2(max(work, _MIN_WORK_SECONDS)))
