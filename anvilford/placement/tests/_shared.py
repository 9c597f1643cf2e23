"""Targets, jobs and fixtures for the tests of placement."""

import itertools
import math
import random

from anvilford.order_model import Arrival
from anvilford.order_model import FakeTarget
from anvilford.order_model import JobKind
from anvilford.order_model import PlacementSimulation
from anvilford.placement import JobSpec
from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import StepSpec
from anvilford.placement import TargetRecord
from testkit import fixture

SERVICE = "line"
_numbers = itertools.count(1)


def policy(name: str, priority: int = 0) -> QueuePolicy:
    """Returns a queue policy with the stretch and allowance of the users."""
    return QueuePolicy(name, SERVICE, priority, 3, 1.6, 60)


CHECK = JobKind(policy("check", 0), 34.4, 8, 0.051, 6800, 0.0291)
PLAN = JobKind(policy("plan", 2), 6.25, 4, 0.76, 6800, 0.16)
CONFIRM = JobKind(policy("confirm", 1), 100.0, 2, 0.17, 6800, 0.01)
KINDS = [CHECK, PLAN, CONFIRM]


def make_target(
    name: str, cpu: int = 16000, speed: float = 1.0, rack: str = "r1"
) -> FakeTarget:
    """Returns a fake target.

    Args:
        name: Id and address.
        cpu: Capacity, in thousandths of a core.
        speed: Speed relative to the estimates.
        rack: Label of the rack.
    """
    record = TargetRecord(
        name, 1000 + len(name), name, "a", SERVICE, False, 0,
        Resources(cpu, 65536), ("a", rack), 1,
    )  # fmt: skip
    return FakeTarget(record, speed)


def mixed_speed_targets() -> list[FakeTarget]:
    """Returns 24 targets of three speeds; the fastest have more cores.

    The same mix as the users' site Kerlann.
    """
    return [
        make_target(f"t{n}", *((16000, 0.6), (16000, 1.0), (24000, 1.6))[n % 3])
        for n in range(24)
    ]


def job(seconds: float = 0.1, tasks: int = 1, at: float = 0.1) -> Arrival:
    """Returns a job whose estimates equal the true run times.

    Args:
        seconds: Run time of each task at speed 1.
        tasks: Number of tasks.
        at: Arrival time.
    """
    step = StepSpec(tasks, Resources(6800, 64), int(seconds * 1000))
    return Arrival(
        at,
        f"{next(_numbers):016x}",
        CHECK,
        JobSpec("payload", (step,)),
        (seconds,) * tasks,
    )


def oscillating_rate(
    mean_rate: float, amplitude: float = 0.55, period: float = 13.0
):
    """Returns a sinusoidal arrival rate over time, as at the users' sites.

    Args:
        mean_rate: Mean rate, in jobs per second.
        amplitude: Amplitude relative to the mean.
        period: Period, in seconds.
    """
    return lambda t: mean_rate * (
        1 + amplitude * math.sin(2 * math.pi * t / period)
    )


def outcome_kinds(site):
    """Returns the kind of each job's latest outcome, by job id."""
    return {job_id: o.kind for _, _, job_id, o in site.outcomes}


@fixture
def site():
    """A simulated site: placer "p" has claimed the targets "t1" and "t2"."""
    made = PlacementSimulation([make_target("t1"), make_target("t2")], seed=1)
    made.add_placer("p", 1)
    made.run(0.1)
    yield made


@fixture
def rng():
    """A random generator with a fixed seed."""
    yield random.Random(7)
