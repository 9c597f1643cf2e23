"""Targets and jobs for tests of placement."""

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
    """A queue with the users' stretch and allowance."""
    return QueuePolicy(name, SERVICE, priority, 3, 1.6, 60)


CHECK = JobKind(policy("check", 0), 34.4, 8, 0.051, 6800, 0.0291)
PLAN = JobKind(policy("plan", 2), 6.25, 4, 0.76, 6800, 0.16)
CONFIRM = JobKind(policy("confirm", 1), 100.0, 2, 0.17, 6800, 0.01)
KINDS = [CHECK, PLAN, CONFIRM]


def make_target(
    name: str, cpu: int = 16000, speed: float = 1.0, rack: str = "r1"
) -> FakeTarget:
    """A target with cores and a speed."""
    record = TargetRecord(
        name, 1000 + len(name), name, "a", SERVICE, False, 0,
        Resources(cpu, 65536), ("a", rack), 1,
    )  # fmt: skip
    return FakeTarget(record, speed)


def users_targets() -> list[FakeTarget]:
    """24 targets as at Kerlann: three speeds, the fastest with more cores."""
    return [
        make_target(f"t{n}", *((16000, 0.6), (16000, 1.0), (24000, 1.6))[n % 3])
        for n in range(24)
    ]


def job(seconds: float = 0.1, tasks: int = 1, at: float = 0.1) -> Arrival:
    """A job whose estimate is exact."""
    step = StepSpec(tasks, Resources(6800, 64), int(seconds * 1000))
    return Arrival(
        at,
        f"{next(_numbers):016x}",
        CHECK,
        JobSpec("payload", (step,)),
        (seconds,) * tasks,
    )


def wave(mean: float, swing: float = 0.55, period: float = 13.0):
    """Demand that swings around a mean, as at the users' sites."""
    return lambda t: mean * (1 + swing * math.sin(2 * math.pi * t / period))


@fixture
def site():
    """Two targets and a placer that has claimed them."""
    made = PlacementSimulation([make_target("t1"), make_target("t2")], seed=1)
    made.add_placer("p", 1)
    made.run(0.1)
    yield made


@fixture
def rng():
    """A source of chance with a fixed seed."""
    yield random.Random(7)
