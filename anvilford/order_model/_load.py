"""Jobs that arrive in the patterns of the users' sites."""

import enum
import math
import random
from collections.abc import Callable
from collections.abc import Iterator

import attrs

from anvilford.placement import JobSpec
from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import StepSpec

# A job that ends later than this many times its objective is worth nothing,
# and a late one this share (the users' sheets).
LATE_LIMIT_FACTOR = 3.0
LATE_WORTH_FRACTION = 0.2


@attrs.frozen
class JobKind:
    """A kind of job.

    Attributes:
        policy: Policy of its queue.
        share: Relative frequency.
        tasks: Mean number of tasks.
        seconds: Mean run time of a task at speed 1.
        cpu_millis: Mean need of a task.
        worth: Worth of a mean job in time.
    """

    policy: QueuePolicy
    frequency: float
    mean_tasks: float
    mean_run_time_s: float
    mean_cpu_millis: int
    mean_worth: float


@attrs.frozen
class Arrival:
    """One job with the run times that nobody knows beforehand."""

    arrival_time: float
    job_id: str
    kind: JobKind
    spec: JobSpec
    run_times_s: tuple[float, ...]

    @property
    def objective_s(self) -> float:
        """Time for full worth, by the true run times."""
        policy = self.kind.policy
        return (
            policy.stretch * max(self.run_times_s) + policy.allowance_ms / 1000
        )

    @property
    def worth(self) -> float:
        """Worth of an answer in time, by the job's work."""
        size = sum(self.run_times_s) / (
            self.kind.mean_tasks * self.kind.mean_run_time_s
        )
        return self.kind.mean_worth * min(0.3 + 0.7 * size, 4.0)


class Ending(enum.Enum):
    """How a job ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"


@attrs.define
class Result:
    """What became of the jobs of one kind, or of all."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned: float = 0.0
    owed: float = 0.0

    @property
    def share(self) -> float:
        """Worth earned over worth owed."""
        return self.earned / self.owed if self.owed else 1.0

    def add_job(self, job: Arrival, elapsed: float, ending: Ending) -> None:
        """Adds a job that ended so many seconds after its arrival."""
        self.asked += 1
        self.owed += job.worth
        match ending:
            case Ending.LOST:
                self.failed += 1
            case Ending.REFUSED:
                self.refused += 1
            case Ending.ANSWERED if elapsed <= job.objective_s:
                self.in_time += 1
                self.earned += job.worth
            case Ending.ANSWERED if (
                elapsed <= LATE_LIMIT_FACTOR * job.objective_s
            ):
                self.late += 1
                self.earned += LATE_WORTH_FRACTION * job.worth
            case _:
                self.failed += 1


def draw_arrivals(
    kinds: list[JobKind],
    rate_at: Callable[[float], float],
    duration_s: float,
    rng: random.Random,
) -> Iterator[Arrival]:
    """Draws jobs with lognormal sizes, a tail, and estimates that miss.

    Args:
        kinds: Kinds of job.
        rate_at: Returns the jobs per second at a time in seconds.
        duration_s: Seconds during which jobs arrive.
        rng: Source of chance.
    """
    now = 0.0
    number = 0
    while True:
        now += rng.expovariate(max(rate_at(now), 0.001))
        if now >= duration_s:
            return
        (kind,) = rng.choices(kinds, [k.frequency for k in kinds])
        number += 1
        yield _draw(number, now, kind, rng)


def _draw(
    number: int, now: float, kind: JobKind, rng: random.Random
) -> Arrival:
    count = max(
        1, min(round(_spread(kind.mean_tasks, rng)), int(4 * kind.mean_tasks))
    )
    mean = _spread(kind.mean_run_time_s, rng)
    seconds = []
    for _ in range(count):
        drawn = mean * rng.lognormvariate(0.0, 0.15)
        seconds.append(drawn * (7.0 if rng.random() < 0.03 / count else 1.0))
    estimate = mean * rng.lognormvariate(0.0, 0.4)
    cpu = int(min(max(rng.gauss(1.0, 0.2), 0.4), 1.5) * kind.mean_cpu_millis)
    step = StepSpec(count, Resources(cpu, 64), max(1, int(estimate * 1000)))
    return Arrival(
        now, f"{number:016x}", kind, JobSpec("", (step,)), tuple(seconds)
    )


def _spread(mean: float, rng: random.Random) -> float:
    return mean * math.exp(rng.gauss(-0.08, 0.4))
