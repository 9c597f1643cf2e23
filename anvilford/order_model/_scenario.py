"""Scenario files of the simulation: schema, validation and loading."""

import json
import math
import pathlib
import random
from typing import Any

import attrs
import cattrs
from attrs import validators
from expression import Error
from expression import Ok
from expression import Result

from anvilford.order_model._load import Arrival
from anvilford.order_model._load import draw_arrivals
from anvilford.order_model._load import JobKind
from anvilford.order_model._target import FakeTarget
from anvilford.placement import QueuePolicy
from anvilford.placement import Resources
from anvilford.placement import TargetRecord

SERVICE = "line"
MEMORY_MB = 65_536
_POSITIVE = validators.gt(0)


@attrs.frozen
class InvalidScenario:
    """The file cannot be read or is not a valid scenario.

    Attributes:
        reason: What is wrong with the file, for the user.
    """

    reason: str


@attrs.frozen
class TargetGroup:
    """Identical targets.

    Attributes:
        count: Number of targets.
        cores: Cores of each target.
        speed: Speed of each target; run times are divided by it. Estimates in
            jobs assume speed 1.
    """

    count: int = attrs.field(validator=_POSITIVE)
    cores: int = attrs.field(validator=_POSITIVE)
    speed: float = attrs.field(validator=_POSITIVE)


@attrs.frozen
class KindShape:
    """A kind of job.

    Attributes:
        name: Name of the kind and of its queue.
        share: Weight of this kind when the kind of a job is drawn.
        tasks: Mean number of tasks of a job.
        seconds: Mean run time of a task at speed 1, in seconds.
        cores: Mean CPU need of a task, in cores.
        worth: Worth of a job of mean size that is answered in time.
    """

    name: str
    share: float = attrs.field(validator=_POSITIVE)
    tasks: float = attrs.field(validator=_POSITIVE)
    seconds: float = attrs.field(validator=_POSITIVE)
    cores: float = attrs.field(validator=_POSITIVE)
    worth: float = attrs.field(validator=_POSITIVE)


@attrs.frozen
class KindSlowdown:
    """Slowdown of a kind of job by another one on the same target.

    Attributes:
        kind: Name of the kind that is slowed down.
        by: Name of the kind that slows it down.
        factor: Factor on the run time while both run.
    """

    kind: str
    by: str
    factor: float = attrs.field(validator=_POSITIVE)


@attrs.frozen
class Wave:
    """Arrival rate over time: a sine wave around a mean, and one burst.

    Attributes:
        per_second: Mean arrival rate, in jobs per second.
        swing: Amplitude of the sine wave, as a fraction of the mean.
        period_s: Period of the sine wave, in seconds.
        burst_at_s: Start of the burst, in seconds.
        burst_for_s: Duration of the burst, in seconds; 0 for no burst.
        burst_x: Factor on the arrival rate during the burst.
    """

    per_second: float = attrs.field(validator=_POSITIVE)
    swing: float = attrs.field(default=0.0, validator=validators.ge(0))
    period_s: float = attrs.field(default=13.0, validator=_POSITIVE)
    burst_at_s: float = 0.0
    burst_for_s: float = 0.0
    burst_x: float = 1.0

    def rate_at(self, now: float) -> float:
        """Returns the arrival rate, in jobs per second, at second `now`."""
        turn = math.sin(2 * math.pi * now / self.period_s)
        rate = self.per_second * (1 + self.swing * turn)
        if 0 <= now - self.burst_at_s < self.burst_for_s:
            rate *= self.burst_x
        return max(rate, 0.0)


@attrs.frozen
class Scenario:
    """Targets, kinds of job and arrival rate of a simulation.

    Attributes:
        name: Name in reports.
        targets: Groups of identical targets.
        kinds: Kinds of job; earlier ones have a higher priority.
        wave: Arrival rate over time.
        length_s: Time during which jobs arrive, in seconds.
        seeds: Random seeds; each policy runs once for each.
        stretch: Factor on the longest task in the objective of a job.
        allowance_ms: Time added to the objective, in milliseconds.
        slowdowns: Kinds that slow each other down on the same target. The
            baselines and the reference run as if there were none.
    """

    name: str
    targets: list[TargetGroup]
    kinds: list[KindShape]
    wave: Wave
    length_s: float = attrs.field(validator=_POSITIVE)
    seeds: list[int]
    stretch: float = attrs.field(default=1.6, validator=_POSITIVE)
    allowance_ms: int = 60
    slowdowns: list[KindSlowdown] = attrs.field(factory=list)

    def make_targets(self) -> list[FakeTarget]:
        """Creates the targets of all groups, without running tasks."""
        made = []
        slowdowns = {(s.kind, s.by): s.factor for s in self.slowdowns}
        for group in self.targets:
            for _ in range(group.count):
                number = len(made)
                record = TargetRecord(
                    f"t{number}", 1000 + number, f"t{number}", "a", SERVICE,
                    False, 0, Resources(1000 * group.cores, MEMORY_MB),
                    ("a",), 1,
                )  # fmt: skip
                made.append(FakeTarget(record, group.speed))
                made[-1].slowdowns = slowdowns
        return made

    def make_jobs(self, seed: int, start: float) -> list[Arrival]:
        """Draws the jobs for one seed.

        Args:
            seed: Random seed.
            start: Earliest time of arrival, in seconds.
        """
        kinds = [
            JobKind(
                QueuePolicy(
                    kind.name, SERVICE, number, 3, self.stretch,
                    self.allowance_ms,
                ),
                kind.share,
                kind.tasks,
                kind.seconds,
                int(1000 * kind.cores),
                kind.worth,
            )
            for number, kind in enumerate(self.kinds)
        ]  # fmt: skip
        drawn = draw_arrivals(
            kinds, self.wave.rate_at, self.length_s, random.Random(seed)
        )
        return [
            attrs.evolve(job, arrival_time=job.arrival_time + start)
            for job in drawn
        ]


def load_scenario(path: pathlib.Path) -> Result[Scenario, InvalidScenario]:
    """Reads and validates a scenario file."""
    try:
        document: Any = json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Error(InvalidScenario(str(error)))
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return Ok(converter.structure(document, Scenario))
    except cattrs.BaseValidationError as error:
        return Error(InvalidScenario("; ".join(cattrs.transform_error(error))))
