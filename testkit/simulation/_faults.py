"""Faults of a simulated run.

`at` is the time after the warm-up in seconds; durations are in seconds too.
Entries, zones and targets are given by index. An index beyond the last entry
or target wraps around; one beyond the last zone has no effect.
"""

import attrs


@attrs.frozen
class SuspendEntry:
    """Suspends an entry process for a while, as SIGSTOP and SIGCONT do."""

    at: float
    entry: int
    duration: float


@attrs.frozen
class KillEntry:
    """Kills an entry; a new process starts at its address afterwards."""

    at: float
    entry: int
    restart_after: float = 2.0


@attrs.frozen
class DrainEntry:
    """Drains an entry; a new process starts at its address once it stopped."""

    at: float
    entry: int
    restart_after: float = 2.0


@attrs.frozen
class PartitionZone:
    """Partitions a zone from the other zones and from the platform."""

    at: float
    zone: int
    duration: float


@attrs.frozen
class PlatformOutage:
    """Makes the platform unreachable for all entries."""

    at: float
    duration: float


@attrs.frozen
class FailingTarget:
    """Makes a target fail every task that it starts."""

    at: float
    target: int
    duration: float


@attrs.frozen
class HangTarget:
    """Makes a target accept tasks and never answer."""

    at: float
    target: int
    duration: float


@attrs.frozen
class KillTarget:
    """Removes a target at once; the tasks that it runs are lost."""

    at: float
    target: int


@attrs.frozen
class TargetLeaving:
    """Makes a target start leaving.

    Attributes:
        at: Time after the warm-up in seconds.
        target: Index of the target.
        announced_by: How entries learn of it: "list" from the platform's VM
            list, "answer" from the target's refusals, "operator" from an
            operator's drain mark.
    """

    at: float
    target: int
    announced_by: str


@attrs.frozen
class CancelWave:
    """Cancels a random share, 0 to 1, of the 60 most recent jobs."""

    at: float
    share: float


@attrs.frozen
class ApplyConfiguration:
    """Makes two operators write a configuration over the same version.

    One of them succeeds; the other one's write is a conflict.
    """

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
