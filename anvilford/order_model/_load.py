"""Random jobs with sizes and run times like those of the users' sites."""

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

# The users' data sheets give an answer its full worth within the job's
# objective, a fraction of it up to a multiple of the objective, and none later.
LATE_LIMIT_FACTOR = 3.0
LATE_WORTH_FRACTION = 0.2


@attrs.frozen
class JobKind:
    """A class of similar jobs.

    Attributes:
        policy: Policy of the queue that the jobs are submitted to.
        frequency: Weight of this kind when the kind of a job is drawn.
        mean_tasks: Mean number of tasks of a job.
        mean_run_time_s: Mean run time of a task at speed 1, in seconds.
        mean_cpu_millis: Mean CPU need of a task, in thousandths of a core.
        mean_worth: Worth of a job of mean size that is answered in time.
        tail_share: Share of the runs that take seven times as long; if None,
            3% of the jobs have about one such run.
    """

    policy: QueuePolicy
    frequency: float
    mean_tasks: float
    mean_run_time_s: float
    mean_cpu_millis: int
    mean_worth: float
    tail_share: float | None = None


@attrs.frozen
class Arrival:
    """One job and its true run times, which only the simulation knows.

    Attributes:
        arrival_time: Time of arrival, in seconds.
        job_id: Id of the job.
        kind: Kind from which the job was drawn.
        spec: The job as it is submitted, with estimated run times.
        run_times_s: True run time of each task at speed 1, in seconds.
        zone: Zone of the entry that offers the job.
    """

    arrival_time: float
    job_id: str
    kind: JobKind
    spec: JobSpec
    run_times_s: tuple[float, ...]
    zone: str = "a"

    @property
    def objective_s(self) -> float:
        """Time within which an answer has its full worth, in seconds.

        It is computed from the true run times, not from the estimates.
        """
        policy = self.kind.policy
        return (
            policy.stretch * max(self.run_times_s) + policy.allowance_ms / 1000
        )

    @property
    def worth(self) -> float:
        """Worth of an answer in time; grows with the job's total run time."""
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
    """Counts of jobs by how they ended, for one kind or for all kinds.

    Attributes:
        asked: Number of submitted jobs.
        in_time: Jobs answered within their objective.
        late: Jobs answered late but while the answer still had some worth.
        refused: Jobs that were refused.
        failed: Jobs that were lost or answered too late to be worth anything.
        earned: Sum of the worth of the answers.
        owed: Sum of the worth that answers in time would have had.
    """

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    earned: float = 0.0
    owed: float = 0.0

    @property
    def share(self) -> float:
        """Share of the possible worth that was earned; 1 without jobs."""
        return self.earned / self.owed if self.owed else 1.0

    def add_job(self, job: Arrival, elapsed: float, ending: Ending) -> None:
        """Adds a job to the counts.

        Args:
            job: The job.
            elapsed: Time from its arrival to its end, in seconds.
            ending: How it ended for its caller.
        """
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
    """Draws random jobs in order of arrival.

    Times between arrivals are exponential. Numbers of tasks and run times are
    lognormal, in 3% of the jobs about one task runs seven times as long as
    drawn (the tail), and estimates differ from the true run times.

    Args:
        kinds: Kinds of job to draw from.
        rate_at: Returns the arrival rate, in jobs per second, at a given time
            in seconds.
        duration_s: Time during which jobs arrive, in seconds.
        rng: Random number generator.
    """
    now = 0.0
    job_number = 0
    while True:
        now += rng.expovariate(max(rate_at(now), 0.001))
        if now >= duration_s:
            return
        (kind,) = rng.choices(kinds, [k.frequency for k in kinds])
        job_number += 1
        yield _draw_job(job_number, now, kind, rng)


def _draw_job(
    job_number: int, now: float, kind: JobKind, rng: random.Random
) -> Arrival:
    count = max(
        1,
        min(
            round(_draw_lognormal(kind.mean_tasks, rng)),
            int(4 * kind.mean_tasks),
        ),
    )
    mean = _draw_lognormal(kind.mean_run_time_s, rng)
    seconds = []
    tail_share = 0.03 / count if kind.tail_share is None else kind.tail_share
    for _ in range(count):
        drawn = mean * rng.lognormvariate(0.0, 0.15)
        seconds.append(drawn * (7.0 if rng.random() < tail_share else 1.0))
    estimate = mean * rng.lognormvariate(0.0, 0.4)
    cpu = int(min(max(rng.gauss(1.0, 0.2), 0.4), 1.5) * kind.mean_cpu_millis)
    step = StepSpec(count, Resources(cpu, 64), max(1, int(estimate * 1000)))
    return Arrival(
        now, f"{job_number:016x}", kind, JobSpec("", (step,)), tuple(seconds)
    )


def _draw_lognormal(mean: float, rng: random.Random) -> float:
    """Draws from a lognormal distribution with about the given mean."""
    return mean * math.exp(rng.gauss(-0.08, 0.4))
