"""Scenarios of the model, read from JSON and checked."""

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
_positive = validators.gt(0)


@attrs.frozen
class InvalidScenario:
    """The file is not a scenario.

    Attributes:
        reason: What is wrong.
    """

    reason: str


@attrs.frozen
class TargetGroup:
    """Targets that are alike; `cores` in cores, `speed` 1 is the estimates'."""

    count: int = attrs.field(validator=_positive)
    cores: int = attrs.field(validator=_positive)
    speed: float = attrs.field(validator=_positive)


@attrs.frozen
class KindShape:
    """A kind of job; `seconds` is the mean run time of a task at speed 1."""

    name: str
    share: float = attrs.field(validator=_positive)
    tasks: float = attrs.field(validator=_positive)
    seconds: float = attrs.field(validator=_positive)
    cores: float = attrs.field(validator=_positive)
    worth: float = attrs.field(validator=_positive)


@attrs.frozen
class Wave:
    """Demand: a mean that swings, and a burst.

    Attributes:
        per_second: Mean jobs a second.
        swing: Share of the mean by which it swings.
        period_s: Length of a swing.
        burst_at_s: When the burst begins.
        burst_for_s: How long it lasts; 0 for none.
        burst_x: Factor on the demand meanwhile.
    """

    per_second: float = attrs.field(validator=_positive)
    swing: float = attrs.field(default=0.0, validator=validators.ge(0))
    period_s: float = attrs.field(default=13.0, validator=_positive)
    burst_at_s: float = 0.0
    burst_for_s: float = 0.0
    burst_x: float = 1.0

    def at(self, now: float) -> float:
        """Jobs a second at a time."""
        turn = math.sin(2 * math.pi * now / self.period_s)
        rate = self.per_second * (1 + self.swing * turn)
        if 0 <= now - self.burst_at_s < self.burst_for_s:
            rate *= self.burst_x
        return max(rate, 0.0)


@attrs.frozen
class Scenario:
    """Targets, jobs and demand.

    Attributes:
        name: Name in reports.
        targets: Targets.
        kinds: Kinds of job.
        wave: Demand.
        length_s: Seconds of arrivals.
        seeds: Each is played once.
        stretch: Factor on the longest task in a job's objective.
        allowance_ms: Time added to it.
    """

    name: str
    targets: list[TargetGroup]
    kinds: list[KindShape]
    wave: Wave
    length_s: float = attrs.field(validator=_positive)
    seeds: list[int]
    stretch: float = attrs.field(default=1.6, validator=_positive)
    allowance_ms: int = 60

    def make_targets(self) -> list[FakeTarget]:
        """Targets without any work, the groups mixed."""
        made = []
        for group in self.targets:
            for _ in range(group.count):
                number = len(made)
                record = TargetRecord(
                    f"t{number}", 1000 + number, f"t{number}", "a", SERVICE,
                    False, 0, Resources(1000 * group.cores, MEMORY_MB),
                    ("a",), 1,
                )  # fmt: skip
                made.append(FakeTarget(record, group.speed))
        return made

    def make_jobs(self, seed: int, start: float) -> list[Arrival]:
        """Draws the jobs of one play; the first may come at `start`."""
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
            kinds, self.wave.at, self.length_s, random.Random(seed)
        )
        return [
            attrs.evolve(job, arrival_time=job.arrival_time + start)
            for job in drawn
        ]


def load_scenario(path: pathlib.Path) -> Result[Scenario, InvalidScenario]:
    """Reads and checks a scenario."""
    try:
        document: Any = json.loads(path.read_text("utf-8"))
    except (OSError, ValueError) as error:
        return Error(InvalidScenario(str(error)))
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return Ok(converter.structure(document, Scenario))
    except cattrs.BaseValidationError as error:
        return Error(InvalidScenario("; ".join(cattrs.transform_error(error))))
