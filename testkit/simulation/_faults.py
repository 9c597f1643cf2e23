"""Faults of a simulated run, each a data class with its time."""

import attrs


@attrs.frozen
class SuspendEntry:
    """Suspends an entry, as SIGSTOP does."""

    at: float
    entry: int
    duration: float


@attrs.frozen
class KillEntry:
    """Kills an entry; a new process starts at its address later."""

    at: float
    entry: int
    restart_after: float = 2.0


@attrs.frozen
class DrainEntry:
    """Begins a planned stop; a new process starts at its address later."""

    at: float
    entry: int
    restart_after: float = 2.0


@attrs.frozen
class PartitionZone:
    """Cuts a zone off from the other zones and from the platform."""

    at: float
    zone: int
    duration: float


@attrs.frozen
class PlatformOutage:
    """The platform answers nothing."""

    at: float
    duration: float


@attrs.frozen
class FailingTarget:
    """A target fails everything it starts."""

    at: float
    target: int
    duration: float


@attrs.frozen
class HangTarget:
    """A target takes tasks and never answers."""

    at: float
    target: int
    duration: float


@attrs.frozen
class KillTarget:
    """A target vanishes; tasks it runs are lost."""

    at: float
    target: int


@attrs.frozen
class TargetLeaving:
    """A target begins to leave.

    Attributes:
        by: "list" for the platform's list, "answer" for its own answers,
            "operator" for a drain.
    """

    at: float
    target: int
    announced_by: str


@attrs.frozen
class CancelWave:
    """Callers cancel a share of the jobs in flight."""

    at: float
    share: float


@attrs.frozen
class ApplyConfiguration:
    """Two operators change the configuration from the same version."""

    at: float
    preset: str


Fault = (
    SuspendEntry
    | KillEntry
    | DrainEntry
    | PartitionZone
    | PlatformOutage
    | FailingTarget
    | HangTarget
    | KillTarget
    | TargetLeaving
    | CancelWave
    | ApplyConfiguration
)
