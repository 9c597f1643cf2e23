"""Data types of jobs, queues and targets used by placement."""

import enum

import attrs

# `retransmit_ms` of the users' sites.
RESUBMIT_PAUSE_S = 1.3
# Part of the pause that is left for what an entry cannot see at once: a connection
# that broke, and a request that took long to arrive.
RESUBMIT_MARGIN_S = 0.1


@attrs.frozen
class Resources:
    """Resources that a task requires or a target provides.

    Attributes:
        cpu_millis: Processor capacity, in thousandths of a core.
        memory_mb: Memory, in MB.
        gpus: Number of GPUs.
    """

    cpu_millis: int
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, available: "Resources") -> bool:
        """Returns whether every resource is covered by `available`."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def plus(self, other: "Resources") -> "Resources":
        """Returns the sum of each resource."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Returns the difference of each resource; may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@attrs.frozen
class StepSpec:
    """A group of identical tasks within a job.

    Attributes:
        count: Number of tasks.
        need: Resources required by each task.
        estimate_ms: Estimated run time of a task on a target of speed 1, in
            milliseconds.
        after: Indices of earlier steps that must complete first.
        label: Label that the target must have; empty for any target.
        rack: Rack that holds the input data; empty for any rack. On other
            racks a task takes `PlacementOptions.remote_penalty` times as
            long.
        spread_limit: Maximum number of tasks of the step on one target at
            a time; 0 for no limit.
    """

    count: int
    need: Resources
    estimate_ms: int
    after: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    spread_limit: int = 0


@attrs.frozen
class JobSpec:
    """A synchronous job: the caller waits for its end; it is not persisted.

    Attributes:
        payload: Text passed to every task.
        steps: Steps of the job.
    """

    payload: str
    steps: tuple[StepSpec, ...]


@attrs.frozen
class QueuePolicy:
    """Configuration of a queue.

    The latency objective of a job is `stretch` times the estimated run time of
    its longest chain of dependent steps, plus `allowance_ms`.

    Attributes:
        name: Name of the queue.
        service: Service whose targets run the tasks of the queue.
        priority: Priority of the queue; 0 is the most urgent.
        max_attempts: Number of failed runs of one task after which the job
            fails.
        stretch: Factor on the estimated run time in the objective.
        allowance_ms: Constant part of the objective, in milliseconds.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    allowance_ms: int


@attrs.frozen
class TargetRecord:
    """A row of the platform's target list, written by the target itself.

    Attributes:
        target_id: Id of the target; a restarted process may reuse it.
        incarnation: Start time of the target's process, in Unix milliseconds.
            Distinguishes processes that used the same id.
        address: Address of the target, as "IP:port".
        zone: Availability zone.
        service: Service whose tasks the target runs.
        draining: True once the target is about to leave.
        cold_ms: Remaining warm-up time after the start, in milliseconds,
            during which the target is slow.
        capacity: Total resources.
        labels: Labels of the target, such as its kind and its rack.
        version: Version of the row in the platform's list.
    """

    target_id: str
    incarnation: int
    address: str
    zone: str
    service: str
    draining: bool
    cold_ms: int
    capacity: Resources
    labels: tuple[str, ...]
    version: int


class OutcomeKind(enum.IntEnum):
    """Result of a job, as reported to the entry that offered it."""

    COMPLETED = 1
    FAILED = 2
    REFUSED = 3  # No task has run or will run.
    MOVED = 4  # This placer stopped; another one may continue.
    LOST = 5  # Tasks may have run, but none is running any more.


@attrs.frozen
class Outcome:
    """Result of a job with its details.

    Attributes:
        kind: Kind of result.
        reason: Short code for logs and counters.
        retry_after_ms: For `REFUSED`, time after which the caller should
            retry, in milliseconds.
        done: For `MOVED`, completed tasks, as "step.index".
        placed: For `MOVED`, ids of targets that may still run tasks of the
            job.
    """

    kind: OutcomeKind
    reason: str = ""
    retry_after_ms: int = 0
    done: tuple[str, ...] = ()
    placed: tuple[str, ...] = ()


@attrs.frozen
class Offer:
    """Request of an entry to place a job.

    Attributes:
        job_id: Id chosen by the caller.
        entry: Name of the entry that holds the caller's connection.
        policy: Policy of the job's queue.
        spec: Steps and payload of the job.
        waited: Seconds since the caller's request arrived.
        remaining: Seconds until the caller stops waiting.
        again: True if another placer may already have started tasks of the
            job.
        done: Tasks known to be completed, as "step.index".
        placed: Ids of targets that may run tasks of the job for an earlier
            placer.
        placed_is_known: False if an earlier placer was lost before it
            reported `placed`.
        fence: Highest fencing token of the placers that the entry has
            followed.
        answered_at: Time of the placer's last answer that the entry has
            received, on the placer's clock; 0 for none.
        process: Token of the entry's process.
        heartbeat_number: Number of the last heartbeat that the process has sent.
    """

    job_id: str
    entry: str
    policy: QueuePolicy
    spec: JobSpec
    waited: float
    remaining: float
    again: bool = False
    done: tuple[str, ...] = ()
    placed: tuple[str, ...] = ()
    placed_is_known: bool = True
    fence: int = 0
    answered_at: float = 0.0
    process: str = ""
    heartbeat_number: int = 0


@attrs.frozen
class PlacementOptions:
    """Parameters of a placer; times are in seconds.

    Attributes:
        max_lease: Longest lease that targets grant.
        clock_drift: Maximum relative error of a target's clock rate.
        stop_time: Time for which a task may continue after its target has
            confirmed the stop.
        remote_penalty: Factor on the run time of a task outside the rack that
            holds its data.
        list_complete_at: Time from which the platform's list is known to
            contain every target that an earlier placer may have used.
            Infinite if this placer serves only a part of the site.
        resubmit_pause: Time after which a caller whose connection broke or who
            got no answer sends its job to another entry.
        separate_interfering_tasks: Whether tasks avoid targets that run tasks
            of a kind that slows them down.
    """

    max_lease: float = 1.0
    clock_drift: float = 0.02
    stop_time: float = 0.05
    remote_penalty: float = 2.0
    list_complete_at: float = 0.0
    resubmit_pause: float = RESUBMIT_PAUSE_S
    separate_interfering_tasks: bool = True

    @property
    def permission_lifetime(self) -> float:
        """Time from the last proof of an entry to the end of its runs."""
        return self.resubmit_pause - RESUBMIT_MARGIN_S
