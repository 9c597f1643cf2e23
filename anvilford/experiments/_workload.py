"""Generates the arrivals of a scenario, identical for all policies."""

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
    """One job of the workload and its arrival at an entry.

    Attributes:
        time_s: Time at which the job reaches its entry, in seconds since the
            start of the run.
        entry: Index of the entry.
        caller: Name of the caller.
        job_class: Name of the class of the job.
        job: Job as submitted. The payload of each task is its true run time on
            the fastest target, in seconds; only the fake targets and the
            clairvoyant policy read it.
        total_run_time_s: Sum of the true run times of all tasks, in seconds.
        longest_run_time_s: Longest true run time of a task, in seconds.
    """

    time_s: float
    entry: int
    caller: str
    job_class: str
    job: JobSpec
    total_run_time_s: float
    longest_run_time_s: float


def make_arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """Draws all arrivals of one run.

    Jobs arrive as a Poisson process whose rate follows the offered load.

    Args:
        scenario: Scenario whose load, mix and entries are used.
        seed: Seed of the random numbers; equal seeds give equal arrivals.

    Returns:
        Arrivals in order of time.
    """
    rng = random.Random(f"workload-{seed}")
    rate = scenario.capacity() / _mean_job_run_time(scenario)
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
        # Thinning: candidates are drawn at the highest rate, and each is kept
        # with a probability proportional to the load at its time.
        if rng.random() * peak >= scenario.load_at(now):
            continue
        job_class = rng.choices(scenario.mix, shares)[0]
        job = _draw_job(job_class, rng)
        run_times = [task.payload for task in job.tasks]
        arrivals.append(
            Arrival(
                time_s=now,
                entry=rng.choices(entries, weights)[0],
                caller=f"caller-{rng.randrange(scenario.callers)}",
                job_class=job_class.name,
                job=job,
                total_run_time_s=sum(run_times),
                longest_run_time_s=max(run_times),
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


def _mean_job_run_time(scenario: Scenario) -> float:
    # Estimated by sampling, because the mean of log-normal run times that are
    # limited to max_ms has no simple formula. The seed is fixed so that the
    # offered load does not vary between the seeds of the scenario.
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
