"""What the dispatcher is told: targets it may use and the policy in force."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class TargetView:
    """One target as this entry may use it.

    Attributes:
        target_id: VM id; a replaced VM has a new one.
        address: "IP:port".
        zone: Availability zone of the target.
        slots: This entry's share of the slots, 0 while not usable.
        accepting: False while the target is leaving, drained or gone.
    """

    target_id: str
    address: str
    zone: str
    slots: int
    accepting: bool


@attrs.frozen
class ServicePolicy:
    """Settings of one service.

    Attributes:
        name: Name that jobs give as their service.
        restart_failed: Whether a task that definitely failed may start again.
        weight: Share of the service when work is queued.
        priority: Services with a lower number go first.
        accepting: False refuses new jobs with the reason `maintenance`.
    """

    name: str
    restart_failed: bool = False
    weight: float = 1.0
    priority: int = 0
    accepting: bool = True


@attrs.frozen
class Policy:
    """Scheduling part of the configuration in force.

    Attributes:
        preset: "ordinary", "peak" or "maintenance".
        services: Service settings by name.
        max_queued_tasks: Most tasks queued at this entry.
        caller_queue_share: Part of `max_queued_tasks` one caller may hold.
        long_factor: A task is long when it runs this many times longer than
            the median task of its service.
        long_share: Part of the slots that long tasks may occupy.
        bulk_reserve: Part of the slots kept free of jobs with more tasks than
            half the slots.
        retry_ratio: Retries of failed tasks per task start.
        remote_delay: Expected one-way delay to other zones, in seconds.
    """

    preset: str
    services: Mapping[str, ServicePolicy]
    max_queued_tasks: int = 50_000
    caller_queue_share: float = 0.5
    long_factor: float = 5.0
    long_share: float = 0.45
    bulk_reserve: float = 0.15
    retry_ratio: float = 0.1
    remote_delay: float = 0.001
