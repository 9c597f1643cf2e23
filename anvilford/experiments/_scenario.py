"""Scenarios: what is simulated, read from JSON and checked."""

import json
import pathlib
from typing import Any

import attrs
import cattrs
import jsonschema
from expression import Error
from expression import Ok
from expression import Result

MEASURES = ("slowdown", "slowdown_ratio", "peak", "in_time")


@attrs.frozen
class InvalidScenario:
    """The file is not a scenario.

    Attributes:
        path: Where in the document, e.g. "mix/0/share".
        message: What is wrong there.
    """

    path: str
    message: str


@attrs.frozen
class Entry:
    """One entry daemon.

    Attributes:
        zone: Its availability zone.
        weight: Its share of the arrivals and of the slots in its zone.
    """

    zone: str
    weight: float


@attrs.frozen
class JobClass:
    """One kind of job.

    Attributes:
        name: Name in the report.
        operations: Operations, chosen at random per task.
        share: Part of the jobs.
        median_ms: Median run time of a task on the fastest target.
        sigma: Standard deviation of the logarithm of run times.
        max_ms: Upper bound of run times.
        tasks: Smallest and largest number of tasks, log-uniform.
        deadline_ms: Deadline of every job.
        declared: "none", "true" or "useless" (up to ten times off).
    """

    name: str
    operations: list[str]
    share: float
    median_ms: float
    sigma: float
    max_ms: float
    tasks: list[int]
    deadline_ms: int
    declared: str = "none"


@attrs.frozen
class Surge:
    """A time of higher load.

    Attributes:
        start_s: When the load starts to rise.
        ramp_s: Time until it reaches `load`.
        length_s: Time from the end of the ramp until it ends.
        load: Offered work divided by capacity.
    """

    start_s: float
    ramp_s: float
    length_s: float
    load: float


@attrs.frozen
class Fault:
    """A faulty target.

    Attributes:
        target: Index of the target.
        kind: "fail" or "slow".
        start_s: When the fault begins.
        end_s: When it ends.
        factor: How much longer tasks run, for "slow".
    """

    target: int
    kind: str
    start_s: float
    end_s: float
    factor: float = 10.0


@attrs.frozen
class Scenario:
    """One experiment.

    Attributes:
        name: Name of the scenario.
        user: User whose sizes it has.
        measure: Which figure is compared with the target; one of `MEASURES`.
        target: Bound from the design page.
        report_class: Job class whose slowdown is the figure, "" for all.
        zones: Availability zones.
        zone_delay_ms: One-way delay between zones.
        client_delay_ms: One-way delay to clients.
        targets: Number of targets, spread evenly over the zones.
        slots: Slots of each target.
        speeds: Speeds of the targets, repeated in turn; the fastest is 1.
        entries: Entry daemons.
        remote_slots: Slots that an entry may use at a target in another zone.
        load: Offered work divided by capacity.
        surges: Times of higher load.
        mix: Kinds of jobs.
        without: Classes that are left out of the reference run of
            "slowdown_ratio".
        faults: Faulty targets.
        callers: Number of callers.
        warmup_s: Time that is not measured.
        duration_s: Measured time.
        window_s: Length of a window.
        seeds: Seeds, one run each.
        preset: Preset in force.
    """

    name: str
    user: str
    measure: str
    target: float
    zones: list[str]
    zone_delay_ms: float
    client_delay_ms: float
    entries: list[Entry]
    load: float
    mix: list[JobClass]
    report_class: str = ""
    targets: int = 24
    slots: int = 8
    speeds: list[float] = attrs.Factory(lambda: [1.0])
    remote_slots: int = 0
    surges: list[Surge] = attrs.Factory(list)
    without: list[str] = attrs.Factory(list)
    faults: list[Fault] = attrs.Factory(list)
    callers: int = 40
    warmup_s: float = 20.0
    duration_s: float = 60.0
    window_s: float = 60.0
    seeds: list[int] = attrs.Factory(lambda: [1, 2, 3, 4, 5])
    preset: str = "ordinary"

    def zone_of(self, target: int) -> str:
        """Returns the zone of a target."""
        return self.zones[target * len(self.zones) // self.targets]

    def speed_of(self, target: int) -> float:
        """Returns the speed of a target; the fastest has 1."""
        return self.speeds[target % len(self.speeds)]

    def capacity(self) -> float:
        """Returns seconds of work done per second at full use."""
        return sum(self.slots * self.speed_of(i) for i in range(self.targets))

    def load_at(self, now: float) -> float:
        """Returns the offered load at a time since the start."""
        load = self.load
        for surge in self.surges:
            since = now - surge.start_s
            if 0 <= since < surge.ramp_s:
                load = max(
                    load,
                    self.load + (surge.load - self.load) * since / surge.ramp_s,
                )
            elif surge.ramp_s <= since < surge.ramp_s + surge.length_s:
                load = max(load, surge.load)
        return load


_POSITIVE = {"type": "number", "exclusiveMinimum": 0}
_AMOUNT = {"type": "number", "minimum": 0}
_COUNT = {"type": "integer", "minimum": 0}
_NAME = {"type": "string", "minLength": 1}


def _object(required: str, **properties: Any) -> dict[str, Any]:
    return {
        "type": "object",
        "properties": properties,
        "required": required.split(),
        "additionalProperties": False,
    }


def _list(items: dict[str, Any], least: int = 0) -> dict[str, Any]:
    return {"type": "array", "items": items, "minItems": least}


SCHEMA = _object(
    "name user measure target zones zone_delay_ms client_delay_ms entries"
    " load mix",
    name=_NAME,
    user=_NAME,
    measure={"enum": list(MEASURES)},
    target=_POSITIVE,
    report_class={"type": "string"},
    zones=_list(_NAME, 1),
    zone_delay_ms=_AMOUNT,
    client_delay_ms=_AMOUNT,
    targets={"type": "integer", "minimum": 1},
    slots={"type": "integer", "minimum": 1},
    speeds=_list({**_POSITIVE, "maximum": 1}, 1),
    entries=_list(_object("zone weight", zone=_NAME, weight=_POSITIVE), 1),
    remote_slots=_COUNT,
    load=_POSITIVE,
    surges=_list(
        _object(
            "start_s ramp_s length_s load",
            start_s=_AMOUNT,
            ramp_s=_AMOUNT,
            length_s=_AMOUNT,
            load=_POSITIVE,
        )
    ),
    mix=_list(
        _object(
            "name operations share median_ms sigma max_ms tasks deadline_ms",
            name=_NAME,
            operations=_list(_NAME, 1),
            share=_POSITIVE,
            median_ms=_POSITIVE,
            sigma=_AMOUNT,
            max_ms=_POSITIVE,
            tasks={
                **_list({"type": "integer", "minimum": 1, "maximum": 1100}, 2),
                "maxItems": 2,
            },
            deadline_ms={"type": "integer", "minimum": 1, "maximum": 120000},
            declared={"enum": ["none", "true", "useless"]},
        ),
        1,
    ),
    without=_list(_NAME),
    faults=_list(
        _object(
            "target kind start_s end_s",
            target=_COUNT,
            kind={"enum": ["fail", "slow"]},
            start_s=_AMOUNT,
            end_s=_AMOUNT,
            factor=_POSITIVE,
        )
    ),
    callers={"type": "integer", "minimum": 1},
    warmup_s=_AMOUNT,
    duration_s=_POSITIVE,
    window_s=_POSITIVE,
    seeds=_list({"type": "integer"}, 1),
    preset={"enum": ["ordinary", "peak", "maintenance"]},
)


def load_scenario(path: pathlib.Path) -> Result[Scenario, InvalidScenario]:
    """Reads and checks a scenario.

    Args:
        path: JSON file.

    Returns:
        The scenario, or the first violation found.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Error(InvalidScenario("", str(error)))
    validator = jsonschema.Draft202012Validator(SCHEMA)
    for violation in validator.iter_errors(document):
        where = "/".join(str(part) for part in violation.absolute_path)
        return Error(InvalidScenario(where, violation.message))
    scenario = cattrs.structure(document, Scenario)
    zones = set(scenario.zones)
    for index, entry in enumerate(scenario.entries):
        if entry.zone not in zones:
            return Error(
                InvalidScenario(f"entries/{index}/zone", "not in zones")
            )
    for index, fault in enumerate(scenario.faults):
        if fault.target >= scenario.targets:
            return Error(
                InvalidScenario(f"faults/{index}/target", "no such target")
            )
    return Ok(scenario)
