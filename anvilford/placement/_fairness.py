"""Weighs jobs of different queues and sizes against each other.

Answers a crest at which one queue asks for most of the cores: all queues are
worth the same to their callers, however much work each brings, so a job of
the queue that brings the most work is worth the least for each core-second.
"""

import math

import attrs

from anvilford.placement._state import Job

# Offers are forgotten with this time constant; the users' crests last seconds.
MEMORY_S = 10.0
# Until this many offers are known, all jobs are alike.
FEWEST_OFFERS = 30.0
# A queue with fewer offers than this counts as a part of a queue, so that rare
# jobs do not displace the others.
FULL_QUEUE_JOBS = 10.0
# A job's value grows with its work, beside a part that every job has (the
# users' rule); the sum is capped at a multiple of the queue's mean job.
FIXED_VALUE = 0.3
WORK_VALUE = 0.7
LARGEST_VALUE = 4.0
# Most that a job's place in the queue is moved either way.
WEIGHT_RANGE = (0.5, 2.0)


@attrs.define
class _Offered:
    """What was offered lately to one queue.

    Attributes:
        jobs: Decayed number of jobs.
        work: Decayed work, in thousandths of a core times milliseconds.
    """

    jobs: float = 0.0
    work: float = 0.0

    @property
    def worth(self) -> float:
        """What its jobs are worth together; the same for all busy queues."""
        return min(1.0, self.jobs / FULL_QUEUE_JOBS)


class Fairness:
    """Remembers what each queue was offered.

    Attributes:
        offered: Recent offers by queue.
        decayed_at: Time for which they stand.
    """

    def __init__(self, now: float):
        self.offered: dict[str, _Offered] = {}
        self.decayed_at = now

    def observe(self, job: Job, now: float) -> None:
        """Counts an offer."""
        factor = math.exp(-max(0.0, now - self.decayed_at) / MEMORY_S)
        self.decayed_at = now
        for known in self.offered.values():
            known.jobs *= factor
            known.work *= factor
        queue = self.offered.setdefault(job.policy.name, _Offered())
        queue.jobs += 1.0
        queue.work += job.demand.work

    def weight(self, job: Job) -> float:
        """Value of a job for each core-second, relative to the mean job's."""
        jobs = sum(known.jobs for known in self.offered.values())
        work = sum(known.work for known in self.offered.values())
        queue = self.offered.get(job.policy.name)
        if queue is None or jobs < FEWEST_OFFERS or job.demand.work <= 0:
            return 1.0
        size = job.demand.work * queue.jobs / queue.work
        value = min(FIXED_VALUE + WORK_VALUE * size, LARGEST_VALUE)
        density = value * queue.worth / queue.jobs / job.demand.work
        mean = sum(known.worth for known in self.offered.values()) / work
        low, high = WEIGHT_RANGE
        return min(max(density / mean, low), high)
