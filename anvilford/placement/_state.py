"""State of jobs, runs and targets while they are being placed."""

import enum
from collections.abc import Iterable

import attrs

from anvilford.placement._model import JobSpec
from anvilford.placement._model import QueuePolicy
from anvilford.placement._model import Resources
from anvilford.placement._model import StepSpec
from anvilford.placement._model import TargetRecord

# A job counts as late, and keeps part of its value, up to this many times its
# objective (the platform's rule).
LATE_FACTOR = 3.0


class TaskPhase(enum.Enum):
    """Where a task stands."""

    WAITING = "waiting"
    PLACED = "placed"  # A target may have it.
    DONE = "done"


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        job: Its job.
        step: Number of its step.
        index: Number within the step.
        phase: Where it stands.
        failures: Runs that ended as failed.
        run: Number of its latest start.
        target_id: Target of its latest start.
    """

    job: "Job"
    step: int
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    failures: int = 0
    run: int = 0
    target_id: str = ""

    @property
    def name(self) -> str:
        """Name by which targets know the task."""
        # The occurrence is 0, since jobs that repeat are not placed here.
        return f"{self.job.job_id}.0.{self.step}.{self.index}"

    @property
    def key(self) -> str:
        """Name within the job."""
        return f"{self.step}.{self.index}"

    @property
    def spec(self) -> StepSpec:
        """Its step."""
        return self.job.spec.steps[self.step]


@attrs.frozen
class Demand:
    """What some tasks need.

    Attributes:
        cpu: Cores together, in thousandths.
        work: Cores times estimates, in thousandths times milliseconds.
        longest: Longest estimate, in seconds at speed 1.
    """

    cpu: int = 0
    work: float = 0.0
    longest: float = 0.0

    def plus(self, other: "Demand") -> "Demand":
        """Sum of both."""
        return Demand(
            self.cpu + other.cpu,
            self.work + other.work,
            max(self.longest, other.longest),
        )


def total_demand(tasks: Iterable[Task]) -> Demand:
    """Adds up the demand of tasks."""
    cpu = longest_ms = 0
    work = 0.0
    for task in tasks:
        step = task.spec
        cpu += step.need.cpu_millis
        work += step.need.cpu_millis * step.estimate_ms
        longest_ms = max(longest_ms, step.estimate_ms)
    return Demand(cpu, work, longest_ms / 1000)


@attrs.define(eq=False)
class Job:
    """A job in progress.

    Attributes:
        job_id: Id chosen by the caller.
        policy: Policy of its queue.
        spec: The job.
        arrived_at: When the caller's request arrived at its entry.
        deadline: When the caller stops waiting.
        unknown_until: Time by which runs that another placer may have started
            at targets not seen here have ended.
        placed_elsewhere: Targets at which it may have started them; None if
            they are not known.
        tasks: All tasks.
        waiting: Tasks that wait, steps in order.
        open_tasks: Tasks not done.
        started: True once a start was ordered.
        objective: Time for an answer of full value, in seconds.
        demand: What the tasks that wait need.
    """

    job_id: str
    policy: QueuePolicy
    spec: JobSpec
    arrived_at: float
    deadline: float
    unseen_runs_until: float = 0.0
    placed_elsewhere: tuple[str, ...] | None = None
    tasks: list[Task] = attrs.field(factory=list)
    waiting: list[Task] = attrs.field(factory=list)
    open_tasks: int = 0
    started: bool = False
    objective: float = 0.0
    demand: Demand = Demand()

    def set_waiting(self, tasks: list[Task]) -> None:
        """Replaces the tasks that wait, and what is derived from them."""
        self.waiting = tasks
        self.demand = total_demand(tasks)

    def initialize(self) -> None:
        """Makes the tasks and derives the objective from the estimates."""
        for number, step in enumerate(self.spec.steps):
            for index in range(step.count):
                self.tasks.append(Task(self, number, index))
        self.set_waiting(list(self.tasks))
        self.open_tasks = len(self.tasks)
        chains: list[float] = []
        for step in self.spec.steps:
            before = max((chains[n] for n in step.after), default=0.0)
            chains.append(before + step.estimate_ms / 1000)
        self.objective = (
            self.policy.stretch * max(chains, default=0.0)
            + self.policy.allowance_ms / 1000
        )

    @property
    def objective_deadline(self) -> float:
        """End of the time in which the answer has its full value."""
        return self.arrived_at + self.objective

    @property
    def value_deadline(self) -> float:
        """End of the time in which the answer has any value."""
        return min(
            self.arrived_at + LATE_FACTOR * self.objective, self.deadline
        )

    def is_ready(self, task: Task) -> bool:
        """Whether all steps that come before a task's are done."""
        after = task.spec.after
        return not after or all(
            other.phase is TaskPhase.DONE
            for other in self.tasks
            if other.step in after
        )


class RunPhase(enum.Enum):
    """What is known of a run at a target."""

    ORDERED = "ordered"
    RUNNING = "running"
    DOUBTFUL = "doubtful"  # The order had no answer; a look will tell.
    STOPPING = "stopping"
    STOPPED = "stopped"  # Confirmed, but it may take `stop_time` to end.


@attrs.define(eq=False)
class Run:
    """A start of a task at a target.

    Attributes:
        task: The task; None for one of another placing entry.
        name: Name of the task.
        number: Run number.
        need: Room that it takes.
        phase: What is known.
        ordered_at: When the start was ordered.
        confirmed_at: When the target confirmed it.
        percent: Share of the work done as last reported.
        percent_at: When that share last changed.
        stopped_at: When the stop was last ordered or, later, confirmed.
        doubtful_at: When the start was found to have no answer.
    """

    task: Task | None
    task_name: str
    number: int
    need: Resources
    phase: RunPhase
    ordered_at: float
    confirmed_at: float = 0.0
    percent: int = -1
    percent_at: float = 0.0
    stopped_at: float = 0.0
    doubtful_at: float = 0.0


class Ownership(enum.Enum):
    """Whether a target obeys this placing entry."""

    CLAIMING = "claiming"
    OWNED = "owned"
    FENCED = "fenced"  # It obeys a higher fencing token.


@attrs.define(eq=False)
class Target:
    """A target as this placing entry uses it.

    Attributes:
        record: How it describes itself.
        ownership: Whether it obeys.
        room: What is free.
        runs: Runs that it may have, by task name.
        clock_ms: Its clock when `clock_at` was the time here.
        lease_end: Time by which everything ordered here has ended unless the
            target is reached again.
        acknowledged: Highest end that was processed.
        confirmed: Highest end that the target knows to be processed.
        poll: True while the regular poll is under way.
        look: True while an extra poll is under way.
        retry_at: When an unreachable target is tried again.
        contact_at: When it last answered.
        speed: Work done per second, relative to the estimates.
        samples: Number of runs that `speed` rests on.
        strikes: Failures without a success between.
        suspended_until: No starts before.
        crowded: True after a start was refused for want of room.
        listed: Whether the platform's list has it.
        unlisted_at: When the list dropped it.
        ended_at: When the latest end was seen.
        reachable: False after two polls in a row failed.
        misses: Polls that failed since the last answer.
    """

    record: TargetRecord
    available: Resources
    ownership: Ownership = Ownership.CLAIMING
    runs: dict[str, Run] = attrs.field(factory=dict)
    clock_ms: int | None = None
    clock_read_at: float = 0.0
    lease_end: float = 0.0
    processed_end: int = 0
    confirmed_end: int = 0
    poll_pending: bool = False
    probe_pending: bool = False
    retry_at: float = 0.0
    last_contact_at: float = 0.0
    speed: float = 1.0
    speed_samples: int = 0
    consecutive_failures: int = 0
    suspended_until: float = 0.0
    is_full: bool = False
    listed: bool = True
    unlisted_at: float = 0.0
    last_end_at: float = 0.0
    reachable: bool = True
    missed_polls: int = 0

    @property
    def has_unclaimed_runs(self) -> bool:
        """Whether it has runs that no entry has claimed yet."""
        return any(run.task is None for run in self.runs.values())

    def reserve(self, run: Run) -> None:
        """Adds a run and takes its room."""
        self.runs[run.task_name] = run
        self.available = self.available.minus(run.need)

    def release(self, run: Run) -> None:
        """Removes a run and frees its room."""
        if self.runs.get(run.task_name) is run:
            del self.runs[run.task_name]
            self.available = self.available.plus(run.need)

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Notes the target's clock from an answer that just came."""
        self.clock_ms = clock_ms
        self.clock_read_at = now
        self.last_contact_at = now

    def extend_lease(
        self, now: float, max_lease: float, drift: float
    ) -> int | None:
        """Deadline for a new lease, and the bound on its end here.

        Returns:
            Milliseconds on the target's clock; None if that is not known.
        """
        if self.clock_ms is None:
            return None
        elapsed = now - self.clock_read_at
        length = elapsed + max_lease
        # The clock may be slow, so the lease may last longer here.
        end = self.clock_read_at + length / (1.0 - drift)
        self.lease_end = max(self.lease_end, end)
        return self.clock_ms + int(length * 1000)
