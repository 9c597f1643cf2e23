"""Mutable state of the jobs, runs and targets of a placer."""

import enum
import functools
import math
from collections.abc import Iterable

import attrs

from anvilford.placement._model import JobSpec
from anvilford.placement._model import QueuePolicy
from anvilford.placement._model import Resources
from anvilford.placement._model import StepSpec
from anvilford.placement._model import TargetRecord

# Time since the last answer of a target within which a start without an answer
# counts as received. An answer within a region takes some milliseconds.
RECENT_CONTACT_S = 0.02
# Shortest rest of a lease within which a task starts on a target with an
# unconfirmed stop. Polls extend a lease each 0.15 s, so that 0.85 s are left when
# a stop is sent, and a start that follows does not wait for its confirmation.
# Before the rest ends, a stop that was lost is sent five times more.
MIN_START_LEASE_S = 0.7
# An answer after its job's objective, but within this multiple of it, counts as
# late and keeps part of its value. A later answer has no value. The factor is
# defined by the platform.
LATE_FACTOR = 3.0


class TaskPhase(enum.Enum):
    """Progress of a task."""

    WAITING = "waiting"
    PLACED = "placed"  # It has a run that may exist on a target.
    DONE = "done"


@attrs.define(eq=False)
class Task:
    """One task of a job.

    Attributes:
        job: Job of the task.
        step: Index of the task's step in the job.
        index: Index of the task within the step.
        phase: Progress of the task.
        failures: Number of failed runs.
        run: Run number of the latest start.
        target_id: Id of the target of the latest start.
        has_lost_target: True if a target was lost that may have run the task;
            the task may be the cause.
    """

    job: "Job"
    step: int
    index: int
    phase: TaskPhase = TaskPhase.WAITING
    failures: int = 0
    run: int = 0
    target_id: str = ""
    has_lost_target: bool = False

    @functools.cached_property
    def name(self) -> str:
        """Name of the task in commands to targets, unique across jobs."""
        # The 0 after the job id is the occurrence of a repeated job. It is
        # constant because repeated jobs are not placed by this package.
        return f"{self.job.job_id}.0.{self.step}.{self.index}"

    @property
    def key(self) -> str:
        """Name of the task within its job, as "step.index"."""
        return f"{self.step}.{self.index}"

    @functools.cached_property
    def spec(self) -> StepSpec:
        """Specification of the task's step."""
        return self.job.spec.steps[self.step]


@attrs.frozen
class Demand:
    """Total demand of a group of tasks.

    Attributes:
        cpu: Required cores of all tasks, in thousandths.
        work: Sum of cores times estimated run time, in thousandths of a core
            times milliseconds.
        longest: Longest estimated run time, in seconds at speed 1.
    """

    cpu: int = 0
    work: float = 0.0
    longest: float = 0.0


def sum_demand(demands: Iterable[Demand]) -> Demand:
    """Returns the demand of several groups of tasks together."""
    cpu = 0
    work = longest = 0.0
    for demand in demands:
        cpu += demand.cpu
        work += demand.work
        longest = max(longest, demand.longest)
    return Demand(cpu, work, longest)


def total_demand(tasks: Iterable[Task]) -> Demand:
    """Returns the total demand of tasks."""
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
        policy: Policy of the job's queue.
        spec: Steps and payload of the job.
        arrived_at: Time at which the caller's request arrived at its entry.
        deadline: Time at which the caller stops waiting.
        unseen_runs_until: Time by which all runs of an earlier placer on
            targets that this placer cannot see have ended; 0 if no earlier
            placer can have started any.
        placed_elsewhere: Ids of the targets on which an earlier placer may
            have started tasks; None if they are not known.
        entries: Names of the entries that wait for the outcome.
        lost_entries: Those of them whose callers are gone.
        kept_since: Time at which the last caller was known to be gone; 0 if
            there is one.
        kept_until: Latest time at which runs may end, while there is no caller.
        has_run_before: True if the job was offered before, and lost after tasks
            had started. It must not be refused, as a refusal denies that.
        lease_ended_at: Time at which a run was last counted as ended because
            its lease was over; 0 if none was.
        tasks: All tasks.
        waiting: Tasks without a run, as last set by `set_waiting`.
        open_tasks: Number of tasks that are not done.
        started: True once a run was started or adopted.
        has_earlier_runs: True once a run or an end was adopted that no job of
            this placer had.
        has_lost_target: True if a waiting task has one, as last updated.
        is_held: True while no task starts because so many targets were lost
            under one of them that it may have crashed them.
        objective: Latency for an answer of full value, in seconds.
        demand: Demand of the tasks in `waiting`.
        smallest_cpu: Fewest cores that a task in `waiting` requires, in
            thousandths; 0 without waiting tasks.
        deviations: Number of ended runs and sum of the deviations of their run
            times from those expected for the estimates, as logarithms, by step.
    """

    job_id: str
    policy: QueuePolicy
    spec: JobSpec
    arrived_at: float
    deadline: float
    unseen_runs_until: float = 0.0
    placed_elsewhere: tuple[str, ...] | None = None
    entries: set[str] = attrs.field(factory=set)
    lost_entries: set[str] = attrs.field(factory=set)
    kept_since: float = 0.0
    kept_until: float = math.inf
    has_run_before: bool = False
    lease_ended_at: float = 0.0
    tasks: list[Task] = attrs.field(factory=list)
    waiting: list[Task] = attrs.field(factory=list)
    open_tasks: int = 0
    started: bool = False
    has_earlier_runs: bool = False
    has_lost_target: bool = False
    is_held: bool = False
    objective: float = 0.0
    demand: Demand = Demand()
    smallest_cpu: int = 0
    deviations: dict[int, tuple[int, float]] = attrs.field(factory=dict)

    def set_waiting(self, tasks: list[Task]) -> None:
        """Sets the waiting tasks and updates their demand."""
        self.waiting = tasks
        self.demand = total_demand(tasks)
        self.smallest_cpu = min(
            (task.spec.need.cpu_millis for task in tasks), default=0
        )

    def initialize(self) -> None:
        """Creates the tasks and computes the objective from the estimates."""
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

    def task_names(self, keys: Iterable[str]) -> list[str]:
        """Returns the names of tasks given as "step.index"."""
        selected = set(keys)
        return [task.name for task in self.tasks if task.key in selected]

    def add_possible_targets(self, placed: tuple[str, ...] | None) -> None:
        """Adds targets on which another placer may have started tasks.

        Args:
            placed: Ids of the targets; None if they are not known.
        """
        if placed is None or self.placed_elsewhere is None:
            self.placed_elsewhere = None
        else:
            self.placed_elsewhere = (*self.placed_elsewhere, *placed)

    @property
    def objective_deadline(self) -> float:
        """Time until which the answer has its full value."""
        return self.arrived_at + self.objective

    @property
    def value_deadline(self) -> float:
        """Time after which the answer has no value."""
        return min(
            self.arrived_at + LATE_FACTOR * self.objective, self.deadline
        )

    def is_ready(self, task: Task) -> bool:
        """Returns whether all steps that the task depends on are done."""
        after = task.spec.after
        return not after or all(
            other.phase is TaskPhase.DONE
            for other in self.tasks
            if other.step in after
        )


class RunPhase(enum.Enum):
    """Progress of a run, as known to the placer."""

    ORDERED = "ordered"  # The start was sent and is not answered yet.
    RUNNING = "running"
    DOUBTFUL = "doubtful"  # Start unanswered; a probe is to find the run.
    STOPPING = "stopping"  # The stop was sent and is not confirmed yet.
    STOPPED = "stopped"  # Stop confirmed; the run may last `stop_time` more.


@attrs.define(eq=False)
class Run:
    """A run of a task on a target.

    Times that are 0 are not known yet.

    Attributes:
        task: Task of the run; None while a run found on the target is not
            claimed by an offer.
        task_name: Name of the task.
        number: Run number.
        need: Resources reserved for the run.
        phase: Progress of the run.
        ordered_at: Time at which the start was sent, or the run found.
        confirmed_at: Time at which the target confirmed the run.
        percent: Completed share of the work as last reported, in percent; -1
            before the first report.
        percent_at: Time at which `percent` last changed.
        stopped_at: Time at which the stop was last sent; once it is
            confirmed, the time of the confirmation.
        doubtful_at: Time at which the run became `DOUBTFUL`.
        was_sent_to_live: Whether the target was heard just before the start was
            sent.
        start_was_lost: Whether the start got no answer from a target that was
            alive: it closed the connection, or was heard just before.
        is_carried_over: Whether the run is known from an earlier incarnation of
            the target only. Apart from `confirmed_at`, which also tells which
            polls can show that the run is absent.
        beside: Time that ended runs of each kind have run beside it, in seconds.
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
    was_sent_to_live: bool = False
    start_was_lost: bool = False
    is_carried_over: bool = False
    beside: dict[tuple[str, int], float] = attrs.field(factory=dict)

    @property
    def job_id(self) -> str:
        """Id of the job of the task."""
        return self.task_name.partition(".")[0]


class Ownership(enum.Enum):
    """Whether a target accepts commands of this placer."""

    CLAIMING = "claiming"  # It has not answered a poll of this placer yet.
    OWNED = "owned"
    FENCED = "fenced"  # It has accepted a higher fencing token.


@attrs.define(eq=False)
class Target:
    """State of a target in this placer.

    Attributes:
        record: Latest row of the target in the platform's list.
        available: Resources that are not reserved by runs.
        ownership: Whether the target accepts commands of this placer.
        runs: Runs that may exist on the target, by task name.
        clock_ms: Clock of the target at `clock_read_at`, in milliseconds; None
            before the first answer.
        clock_read_at: Time at which the answer with `clock_ms` arrived.
        lease_end: Time by which all runs on the target have ended unless a
            later command extends the lease.
        lease_deadline_ms: Latest end of the lease that a command has named, in
            milliseconds on the target's clock.
        processed_end: Highest sequence number of an ended run that this placer
            has processed.
        confirmed_end: Highest sequence number whose processing was
            acknowledged in a poll that the target has answered.
        poll_pending: True while the regular poll is not answered.
        probe_pending: True while an additional, immediate poll is not
            answered.
        retry_at: Earliest time of the next start and the next regular poll
            after commands failed.
        last_contact_at: Time of the last answer that contained the clock.
        controlled_at: Time at which the last poll was sent that the target has
            answered under the placer's token.
        speed: Estimated speed; a task takes its estimated run time divided by
            this.
        speed_samples: Number of completed runs in `speed`.
        recent_failures: Ids of the jobs of which runs failed since the last
            completed run, and names of the tasks that failed otherwise.
        suspended_until: Time before which no task may start, after failures.
        is_full: True from a start refused for lack of resources until the next
            report.
        listed: Whether the target is in the platform's list.
        unlisted_at: Time at which the platform's list dropped the target.
        last_end_at: Time at which the latest end of a run was reported.
        reachable: False from the second of two consecutive failed polls until
            the next report.
        missed_polls: Number of failed polls since the last report.
        isolated_job: Id of the job whose tasks may crash the target, so that
            no other job starts there; empty if there is none.
        has_old_record: True if the target has restarted and the list does not
            show its new row yet: capacity and labels in `record` are those of
            the previous incarnation.
        run_time_offset: Mean difference of the logarithm of run times from that
            of other targets, without the effect of what ran beside; None before
            the first sample.
        run_time_samples: Number of completed runs in `run_time_offset`.
    """

    record: TargetRecord
    available: Resources
    ownership: Ownership = Ownership.CLAIMING
    runs: dict[str, Run] = attrs.field(factory=dict)
    clock_ms: int | None = None
    clock_read_at: float = 0.0
    lease_end: float = 0.0
    lease_deadline_ms: int = 0
    processed_end: int = 0
    confirmed_end: int = 0
    poll_pending: bool = False
    probe_pending: bool = False
    retry_at: float = 0.0
    last_contact_at: float = 0.0
    controlled_at: float = -math.inf
    speed: float = 1.0
    speed_samples: int = 0
    recent_failures: set[str] = attrs.field(factory=set)
    suspended_until: float = 0.0
    is_full: bool = False
    listed: bool = True
    unlisted_at: float = 0.0
    last_end_at: float = 0.0
    reachable: bool = True
    missed_polls: int = 0
    isolated_job: str = ""
    has_old_record: bool = False
    run_time_offset: float | None = None
    run_time_samples: int = 0

    @property
    def has_claimed_runs(self) -> bool:
        """Whether any run on the target belongs to a job of this placer."""
        return any(run.task is not None for run in self.runs.values())

    @property
    def needs_lease(self) -> bool:
        """Whether any claimed run should go on, rather than being stopped."""
        return any(
            run.task is not None
            and run.phase not in (RunPhase.STOPPING, RunPhase.STOPPED)
            for run in self.runs.values()
        )

    @property
    def has_unclaimed_runs(self) -> bool:
        """Whether any run on the target is not claimed by an offer yet."""
        # A loop: with a generator expression, this property took a sixth of
        # the leader's processor time on a site of 270 targets.
        for run in self.runs.values():  # noqa: SIM110
            if run.task is None:
                return True
        return False

    @property
    def may_extend_lease(self) -> bool:
        """Whether all runs on the target are to go on, or have been stopped.

        Not while a run is unclaimed or its stop is unconfirmed: another placer
        may count on the end of the lease.
        """
        stopping = RunPhase.STOPPING  # Looked up once, for speed as above.
        for run in self.runs.values():
            if run.phase is stopping or run.task is None:
                return False
        return True

    @property
    def kept_until(self) -> float:
        """Latest end of the runs of jobs whose callers are gone."""
        return min(
            (
                run.task.job.kept_until
                for run in self.runs.values()
                if run.task is not None
            ),
            default=math.inf,
        )

    def accepts_starts_within_lease(self, now: float) -> bool:
        """Returns whether tasks may start although a stop is unconfirmed."""
        if self.clock_ms is None or self.has_unclaimed_runs:
            return False
        clock_ms = self.clock_ms + (now - self.clock_read_at) * 1000
        return self.lease_deadline_ms - clock_ms >= MIN_START_LEASE_S * 1000

    def was_heard_recently(self, now: float) -> bool:
        """Returns whether the target was alive within `RECENT_CONTACT_S`."""
        return (
            self.clock_ms is not None
            and now - self.last_contact_at <= RECENT_CONTACT_S
        )

    def reserve(self, run: Run) -> None:
        """Adds a run and reserves its resources."""
        self.runs[run.task_name] = run
        self.available = self.available.minus(run.need)

    def release(self, run: Run) -> None:
        """Removes a run and releases its resources."""
        if self.runs.get(run.task_name) is run:
            del self.runs[run.task_name]
            self.available = self.available.plus(run.need)
            if run.job_id == self.isolated_job and not any(
                other.job_id == run.job_id for other in self.runs.values()
            ):
                self.isolated_job = ""

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Records the target's clock from an answer received at `now`."""
        self.clock_ms = clock_ms
        self.clock_read_at = now
        self.last_contact_at = now

    def extend_lease(
        self,
        now: float,
        max_lease: float,
        drift: float,
        latest_end: float = math.inf,
    ) -> int | None:
        """Extends the lease and returns its deadline for the next command.

        Also moves `lease_end`, the latest time here at which the lease can
        end.

        Args:
            now: Current time in seconds.
            max_lease: Length of the lease, in seconds.
            drift: Maximum relative error of the target's clock rate.
            latest_end: Time to which the lease may last at most. It never ends
                before the present one.

        Returns:
            End of the lease, in milliseconds on the target's clock; None if
            the clock is not known.
        """
        if self.clock_ms is None:
            return None
        elapsed = now - self.clock_read_at
        length = elapsed + max_lease
        if latest_end < math.inf:
            length = min(
                length, (latest_end - self.clock_read_at) * (1 - drift)
            )
        # If the target's clock runs slow, the lease lasts longer on this clock.
        end = self.clock_read_at + length / (1.0 - drift)
        self.lease_end = max(self.lease_end, end)
        deadline_ms = self.clock_ms + int(length * 1000)
        self.lease_deadline_ms = max(self.lease_deadline_ms, deadline_ms)
        return self.lease_deadline_ms
