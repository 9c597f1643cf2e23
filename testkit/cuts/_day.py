"""Disruptions of a day file that real processes can be given."""

import pathlib
import tomllib

import attrs


@attrs.frozen
class Burst:
    """Jobs of one kind arrive more often for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        kind: Name of the kind of job; None for all.
        factor: Factor by which they arrive more often.
    """

    at: float
    length: float
    kind: str | None
    factor: float


@attrs.frozen
class Cut:
    """An entry or a zone is cut off for a while.

    Attributes:
        at: Start in seconds after the start of traffic.
        length: Duration in seconds.
        zone: Zone that is cut off from the others; None if only the leader of
            that moment is cut off, from the other entries and the store.
    """

    at: float
    length: float
    zone: str | None = None


Disruption = Burst | Cut


def load_day(path: pathlib.Path) -> list[Disruption]:
    """Returns the disruptions of the first day of a file, by time.

    Raises:
        ValueError: The day has a disruption of another kind.
    """
    day = tomllib.loads(path.read_text(encoding="utf-8"))["day"][0]
    disruptions: list[Disruption] = []
    for fault in day["faults"]:
        at, length = fault["at"], fault["for_s"]
        match fault:
            case {"kind": "burst", "x": factor}:
                kind = fault.get("class")
                disruptions.append(Burst(at, length, kind, factor))
            case {"kind": "node_cut", "how": "leader all reset"}:
                disruptions.append(Cut(at, length))
            case {"kind": "zone_cut", "how": "reset", "zone": zone}:
                disruptions.append(Cut(at, length, zone))
            case _:
                raise ValueError(f"cannot be given to processes: {fault}")
    return sorted(disruptions, key=lambda disruption: disruption.at)


def stretch_day(
    disruptions: list[Disruption], factor: float
) -> list[Disruption]:
    """Returns the disruptions of a day whose times are all longer."""
    return [
        attrs.evolve(
            disruption,
            at=disruption.at * factor,
            length=disruption.length * factor,
        )
        for disruption in disruptions
    ]
