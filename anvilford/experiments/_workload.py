"""Arrivals of a scenario, equal for every policy of a run."""

import math
import random

import attrs

from anvilford.experiments._scenario import JobClass
from anvilford.experiments._scenario import Scenario
from anvilford.model import JobSpec
from anvilford.model import TaskSpec

SERVICE = "service"


@attrs.frozen
class Arrival:
    """One job of the workload.

    Attributes:
        when: Time at which it reaches its entry, in seconds.
        entry: Index of the entry.
        caller: Name of the caller.
        job_class: Name of its class.
        job: The job. The payload of each task is its true run time on the
            fastest target, in seconds; only fakes and the clairvoyant policy
            read it.
        work: Sum of the true run times, in seconds.
        longest: Longest true run time, in seconds.
    """

    when: float
    entry: int
    caller: str
    job_class: str
    job: JobSpec
    work: float
    longest: float


def make_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draws all arrivals of one run, in order of time.

    Jobs arrive as a Poisson process whose rate follows the load.
    """
    rng = random.Random(f"workload-{seed}")
    rate = scenario.capacity() / _mean_work(scenario)
    peak = max([scenario.load, *(s.load for s in scenario.surges)])
    weights = [entry.weight for entry in scenario.entries]
    shares = [job_class.share for job_class in scenario.mix]
    entries = range(len(scenario.entries))
    arrivals = []
    now = 0.0
    end = scenario.warmup_s + scenario.duration_s
    while True:
        now += rng.expovariate(rate * peak)
        if now >= end:
            return arrivals
        # Thinning: candidates at the highest rate are kept in proportion.
        if rng.random() * peak >= scenario.load_at(now):
            continue
        job_class = rng.choices(scenario.mix, shares)[0]
        job = _draw_job(job_class, rng)
        run_times = [task.payload for task in job.tasks]
        arrivals.append(
            Arrival(
                when=now,
                entry=rng.choices(entries, weights)[0],
                caller=f"caller-{rng.randrange(scenario.callers)}",
                job_class=job_class.name,
                job=job,
                work=sum(run_times),
                longest=max(run_times),
            )
        )


def _draw_job(job_class: JobClass, rng: random.Random) -> JobSpec:
    low, high = job_class.tasks
    count = round(math.exp(rng.uniform(math.log(low), math.log(high))))
    tasks = tuple(_draw_task(job_class, rng) for _ in range(count))
    return JobSpec(SERVICE, tasks, job_class.deadline_ms, True, "")


def _draw_task(job_class: JobClass, rng: random.Random) -> TaskSpec:
    run_time = _draw_run_time(job_class, rng)
    match job_class.declared:
        case "true":
            declared_ms = run_time * 1000
        case "useless":
            declared_ms = run_time * 1000 * 10 ** rng.uniform(-1, 1)
        case _:
            declared_ms = None
    return TaskSpec(rng.choice(job_class.operations), run_time, declared_ms)


def _draw_run_time(job_class: JobClass, rng: random.Random) -> float:
    value = job_class.median_ms * math.exp(rng.gauss(0, job_class.sigma))
    return min(value, job_class.max_ms) / 1000


def _mean_work(scenario: Scenario) -> float:
    # Drawn rather than derived: bounds on run times have no simple mean. The
    # seed is fixed so that the offered load does not vary between seeds.
    rng = random.Random("mean-work")
    total = sum(job_class.share for job_class in scenario.mix)
    mean = 0.0
    for job_class in scenario.mix:
        times = [_draw_run_time(job_class, rng) for _ in range(4000)]
        low, high = job_class.tasks
        counts = [
            round(math.exp(rng.uniform(math.log(low), math.log(high))))
            for _ in range(4000)
        ]
        mean_time = sum(times) / len(times)
        mean_count = sum(counts) / len(counts)
        mean += job_class.share / total * mean_time * mean_count
    return mean
