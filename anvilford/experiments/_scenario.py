"""Scenarios of experiments, read from JSON files and validated."""

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
    """Reason why a file is not a valid scenario.

    Attributes:
        path: Path of the invalid value in the document, e.g. "mix/0/share"; ""
            for the document as a whole.
        message: Message that states what is wrong with the value.
    """

    path: str
    message: str


@attrs.frozen
class Entry:
    """One entry daemon.

    Attributes:
        zone: Availability zone of the entry.
        weight: Relative weight of the entry. It determines its share of all
            arrivals, and its share of the slots of the targets in its zone.
    """

    zone: str
    weight: float


@attrs.frozen
class JobClass:
    """Class of jobs with the same distribution of sizes.

    Run times are log-normal and limited to `max_ms`.

    Attributes:
        name: Name of the class in the report.
        operations: Operations; each task has one of them, chosen at random.
        share: Relative frequency of the class among the jobs.
        median_ms: Median run time of a task on the fastest target, in
            milliseconds.
        sigma: Standard deviation of the natural logarithm of the run times.
        max_ms: Upper limit of the run times, in milliseconds.
        tasks: Smallest and largest number of tasks of a job; the number is
            log-uniform between them.
        deadline_ms: Deadline of the jobs, in milliseconds after the arrival.
        declared: Run time that a task declares: "none", "true" (the true one)
            or "useless" (wrong by a random factor from 0.1 to 10).
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
    """Period of higher load.

    Attributes:
        start_s: Time at which the load starts to rise, in seconds since the
            start of the run.
        ramp_s: Duration of the linear rise to `load`, in seconds.
        length_s: Time for which the load stays at `load` after the rise, in
            seconds.
        load: Offered work divided by capacity.
    """

    start_s: float
    ramp_s: float
    length_s: float
    load: float


@attrs.frozen
class Fault:
    """Fault of one target for some time.

    Attributes:
        target: Index of the target.
        kind: "fail" (every task fails) or "slow" (tasks run longer).
        start_s: Time at which the fault begins, in seconds since the start of
            the run. It affects the tasks that start during the fault.
        end_s: Time at which the fault ends, in seconds since the start of the
            run.
        factor: Factor by which run times increase, for "slow".
    """

    target: int
    kind: str
    start_s: float
    end_s: float
    factor: float = 10.0


@attrs.frozen
class Scenario:
    """Site, workload and measurement of one experiment.

    Attributes:
        name: Name of the scenario, equal to the file name without ".json".
        user: User whose site the sizes are taken from.
        measure: Figure that is compared with `target`; one of `MEASURES`.
        target: Bound of the figure, from the design page.
        report_class: Job class whose slowdown is measured; "" for all.
        zones: Availability zones.
        zone_delay_ms: One-way network delay between zones, in milliseconds.
        client_delay_ms: One-way network delay between callers and entries, in
            milliseconds.
        entries: Entry daemons.
        load: Offered work divided by capacity, outside surges.
        mix: Job classes.
        targets: Number of targets, spread evenly over the zones.
        slots: Number of slots of each target.
        speeds: Relative speeds, assigned to the targets in turn; the fastest
            is 1.
        remote_slots: Number of slots that an entry may use at each target in
            another zone. Only the policy "anvilford" uses them.
        surges: Periods of higher load.
        without: Names of the job classes that are left out of the reference
            run of the measure "slowdown_ratio".
        faults: Faults of targets.
        callers: Number of callers.
        warmup_s: Time at the start that is not measured, in seconds.
        duration_s: Measured time after the warm-up, in seconds.
        window_s: Length of a window, in seconds.
        seeds: Seeds; each gives one run per policy.
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
        """Returns the zone of the target with this index."""
        return self.zones[target * len(self.zones) // self.targets]

    def speed_of(self, target: int) -> float:
        """Returns the relative speed of the target with this index."""
        return self.speeds[target % len(self.speeds)]

    def capacity(self) -> float:
        """Returns the work done per second if all slots are in use.

        Work is measured as run time on the fastest target, in seconds.
        """
        return sum(self.slots * self.speed_of(i) for i in range(self.targets))

    def load_at(self, now: float) -> float:
        """Returns the offered load at `now` seconds since the start."""
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


_POSITIVE_NUMBER = {"type": "number", "exclusiveMinimum": 0}
_NONNEGATIVE_NUMBER = {"type": "number", "minimum": 0}
_NONNEGATIVE_INTEGER = {"type": "integer", "minimum": 0}
_NONEMPTY_STRING = {"type": "string", "minLength": 1}


def _object_schema(required: str, **properties: Any) -> dict[str, Any]:
    """Returns the schema of an object without additional properties.

    Args:
        required: Names of the required properties, separated by blanks.
        **properties: Schemas of all properties by name.
    """
    return {
        "type": "object",
        "properties": properties,
        "required": required.split(),
        "additionalProperties": False,
    }


def _list_schema(items: dict[str, Any], min_items: int = 0) -> dict[str, Any]:
    return {"type": "array", "items": items, "minItems": min_items}


SCHEMA = _object_schema(
    "name user measure target zones zone_delay_ms client_delay_ms entries"
    " load mix",
    name=_NONEMPTY_STRING,
    user=_NONEMPTY_STRING,
    measure={"enum": list(MEASURES)},
    target=_POSITIVE_NUMBER,
    report_class={"type": "string"},
    zones=_list_schema(_NONEMPTY_STRING, 1),
    zone_delay_ms=_NONNEGATIVE_NUMBER,
    client_delay_ms=_NONNEGATIVE_NUMBER,
    targets={"type": "integer", "minimum": 1},
    slots={"type": "integer", "minimum": 1},
    speeds=_list_schema({**_POSITIVE_NUMBER, "maximum": 1}, 1),
    entries=_list_schema(
        _object_schema(
            "zone weight", zone=_NONEMPTY_STRING, weight=_POSITIVE_NUMBER
        ),
        1,
    ),
    remote_slots=_NONNEGATIVE_INTEGER,
    load=_POSITIVE_NUMBER,
    surges=_list_schema(
        _object_schema(
            "start_s ramp_s length_s load",
            start_s=_NONNEGATIVE_NUMBER,
            ramp_s=_NONNEGATIVE_NUMBER,
            length_s=_NONNEGATIVE_NUMBER,
            load=_POSITIVE_NUMBER,
        )
    ),
    mix=_list_schema(
        _object_schema(
            "name operations share median_ms sigma max_ms tasks deadline_ms",
            name=_NONEMPTY_STRING,
            operations=_list_schema(_NONEMPTY_STRING, 1),
            share=_POSITIVE_NUMBER,
            median_ms=_POSITIVE_NUMBER,
            sigma=_NONNEGATIVE_NUMBER,
            max_ms=_POSITIVE_NUMBER,
            tasks={
                **_list_schema(
                    {"type": "integer", "minimum": 1, "maximum": 1100}, 2
                ),
                "maxItems": 2,
            },
            deadline_ms={"type": "integer", "minimum": 1, "maximum": 120000},
            declared={"enum": ["none", "true", "useless"]},
        ),
        1,
    ),
    without=_list_schema(_NONEMPTY_STRING),
    faults=_list_schema(
        _object_schema(
            "target kind start_s end_s",
            target=_NONNEGATIVE_INTEGER,
            kind={"enum": ["fail", "slow"]},
            start_s=_NONNEGATIVE_NUMBER,
            end_s=_NONNEGATIVE_NUMBER,
            factor=_POSITIVE_NUMBER,
        )
    ),
    callers={"type": "integer", "minimum": 1},
    warmup_s=_NONNEGATIVE_NUMBER,
    duration_s=_POSITIVE_NUMBER,
    window_s=_POSITIVE_NUMBER,
    seeds=_list_schema({"type": "integer"}, 1),
    preset={"enum": ["ordinary", "peak", "maintenance"]},
)


def load_scenario(path: pathlib.Path) -> Result[Scenario, InvalidScenario]:
    """Reads and validates a scenario.

    Args:
        path: Path of the JSON file.

    Returns:
        The scenario, or the first error found.
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
                InvalidScenario(
                    f"entries/{index}/zone",
                    f"{entry.zone!r} is not one of the zones {scenario.zones}",
                )
            )
    for index, fault in enumerate(scenario.faults):
        if fault.target >= scenario.targets:
            return Error(
                InvalidScenario(
                    f"faults/{index}/target",
                    f"{fault.target} is not the index of a target, which must "
                    f"be less than {scenario.targets}",
                )
            )
    return Ok(scenario)
