"""Inputs of the dispatcher: the targets it may use and the policy in force."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class TargetView:
    """Address of a target and the slots of it that this entry may use.

    Attributes:
        target_id: VM id; a VM that replaces another has a new id.
        address: "IP:port" of the target.
        zone: Availability zone of the target.
        slots: Number of slots that this entry may use; 0 if it may not use the
            target.
        accepting: False if the target is leaving, drained or gone.
    """

    target_id: str
    address: str
    zone: str
    slots: int
    accepting: bool


@attrs.frozen
class ServicePolicy:
    """Scheduling settings of a service.

    Attributes:
        name: Name of the service, as jobs give it.
        restart_failed: Whether a task that definitely failed may run again.
        weight: Relative share of the service while tasks are queued.
        priority: Jobs of services with a lower number start first.
        accepting: Whether new jobs are admitted; if not, they are refused with
            the reason `maintenance`.
    """

    name: str
    restart_failed: bool = False
    weight: float = 1.0
    priority: int = 0
    accepting: bool = True


@attrs.frozen
class Policy:
    """Scheduling settings from the configuration in force.

    Attributes:
        preset: "ordinary", "peak" or "maintenance".
        services: Service settings by service name.
        max_queued_tasks: Maximum number of queued tasks per dispatcher.
        caller_queue_share: Fraction of `max_queued_tasks` that the tasks of one
            caller may occupy.
        long_factor: A task is long if its run time is at least this multiple of
            the median run time of its service.
        long_share: Fraction of the slots that long tasks may occupy.
        bulk_reserve: Fraction of the slots that jobs with more tasks than half
            the number of slots leave free.
        retry_ratio: Number of retries of failed tasks allowed per started
            attempt.
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
