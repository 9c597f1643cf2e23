"""Jobs, queues and targets as the placement decisions see them."""

import enum

import attrs


@attrs.frozen
class Resources:
    """What a task needs or a target has.

    Attributes:
        cpu_millis: Thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Accelerators.
    """

    cpu_millis: int
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, available: "Resources") -> bool:
        """Whether this need fits in what is free."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.gpus <= available.gpus
        )

    def plus(self, other: "Resources") -> "Resources":
        """Sum of both."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.gpus + other.gpus,
        )

    def minus(self, other: "Resources") -> "Resources":
        """Difference of both."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.gpus - other.gpus,
        )


@attrs.frozen
class StepSpec:
    """Tasks of one job that are alike.

    Attributes:
        count: Number of tasks.
        need: What each task needs.
        estimate_ms: Rough duration of a task on a target of speed 1.
        after: Earlier steps that must be done first.
        label: Label that the target must have, or empty.
        rack: Rack that holds the data, or empty. Elsewhere a task takes
            `PlacementOptions.remote_penalty` times as long.
        spread_limit: Most tasks of the step on one target; 0 is no limit.
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
    """A job whose answer waits for its end; nothing of it is stored.

    Attributes:
        payload: Text handed to every task.
        steps: Its steps.
    """

    payload: str
    steps: tuple[StepSpec, ...]


@attrs.frozen
class QueuePolicy:
    """What the configuration says of a queue.

    Attributes:
        name: Name of the queue.
        service: Service whose targets run its tasks.
        priority: 0 is the most urgent.
        max_attempts: Failed runs of one task after which the job has failed.
        stretch: Factor on the longest chain of work in the objective.
        allowance_ms: Time added to the objective.
    """

    name: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    allowance_ms: int


@attrs.frozen
class TargetRecord:
    """A target as it describes itself in the platform's list.

    Attributes:
        target_id: Id of the target, which may outlive one process.
        incarnation: When the process started, Unix milliseconds; tells the lives of
            one id apart.
        address: "IP:port".
        zone: Availability zone.
        service: Service that it runs.
        draining: True once it is about to leave.
        cold_ms: How much longer it stays slow after its start.
        capacity: What it has.
        labels: Kind and rack, among others.
        version: Version of the row that said so.
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
    """How an offered job ended for the entry that offered it."""

    COMPLETED = 1
    FAILED = 2
    REFUSED = 3  # Nothing of it has run or ever will.
    MOVED = 4  # This entry no longer places jobs; another one may.
    LOST = 5  # Tasks may have run; none runs any more.


@attrs.frozen
class Outcome:
    """End of an offered job.

    Attributes:
        kind: How it ended.
        reason: Short term for logs and counters.
        retry_after_ms: For refusals, when to come back.
        done: For `MOVED`, tasks that are done, as "step.index".
        placed: For `MOVED`, targets that may have runs of the job.
    """

    kind: OutcomeKind
    reason: str = ""
    retry_after_ms: int = 0
    done: tuple[str, ...] = ()
    placed: tuple[str, ...] = ()


@attrs.frozen
class Offer:
    """A job that an entry asks to be placed.

    Attributes:
        job_id: Id chosen by the caller.
        entry: Name of the entry that holds the caller's connection.
        policy: Its queue's policy.
        spec: The job.
        waited: Seconds since the caller's request arrived.
        remaining: Seconds until the caller stops waiting.
        again: True if another placing entry may have started its tasks.
        done: Tasks that are known to be done, as "step.index".
        placed: Targets that may have runs of the job.
        placed_is_known: False if a placer was lost without telling them.
        fence: Highest fencing token of a placer that the entry followed.
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


@attrs.frozen
class PlacementOptions:
    """Parameters of the decisions; times in seconds.

    Attributes:
        max_lease: Longest lease that targets grant.
        clock_drift: Largest relative error of a target's clock.
        stop_time: How long a task may run on after a confirmed stop.
        remote_penalty: Factor on the run time away from the data's rack.
        list_complete_at: Time from which the list holds every target that
            another placer may have used; infinite for a part of the site.
    """

    max_lease: float = 1.0
    clock_drift: float = 0.02
    stop_time: float = 0.05
    remote_penalty: float = 2.0
    list_complete_at: float = 0.0
