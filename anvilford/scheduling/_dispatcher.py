"""Dispatcher that turns submitted jobs into attempts and answers."""

import random
from collections.abc import Sequence

import attrs

from anvilford.model import AttemptFailed
from anvilford.model import AttemptNotStarted
from anvilford.model import AttemptOutcome
from anvilford.model import AttemptSucceeded
from anvilford.model import AttemptUnknown
from anvilford.model import Complete
from anvilford.model import Failed
from anvilford.model import FailureReason
from anvilford.model import JobSpec
from anvilford.model import NotRun
from anvilford.model import TaskState
from anvilford.scheduling import _admission
from anvilford.scheduling._attempts import RunningAttempts
from anvilford.scheduling._counters import DispatchCounters
from anvilford.scheduling._effects import CancelAttempt
from anvilford.scheduling._effects import DispatcherStats
from anvilford.scheduling._effects import Effect
from anvilford.scheduling._effects import JobFinished
from anvilford.scheduling._effects import StartAttempt
from anvilford.scheduling._estimates import RunTimes
from anvilford.scheduling._forecast import Forecaster
from anvilford.scheduling._health import HealthMonitor
from anvilford.scheduling._jobs import Attempt
from anvilford.scheduling._jobs import BULK_LANE
from anvilford.scheduling._jobs import Job
from anvilford.scheduling._jobs import LONG_LANE
from anvilford.scheduling._jobs import SHORT_LANE
from anvilford.scheduling._placement import Placement
from anvilford.scheduling._placement import Target
from anvilford.scheduling._policy import Policy
from anvilford.scheduling._policy import ServicePolicy
from anvilford.scheduling._policy import TargetView
from anvilford.scheduling._queue import JobQueue
from anvilford.scheduling._retries import RetryBudget
from anvilford.scheduling._timers import Timer
from anvilford.scheduling._timers import Timers

# Slots in other zones are used once this many tasks are queued per slot of the
# own zone. With 0, the tasks of one zone displaced those of another, which then
# moved to other zones themselves: at 80% load, a third of all tasks ran outside
# their own zone.
REMOTE_QUEUE_TASKS_PER_SLOT = 0.03


class Dispatcher:
    """Decides when and at which target each task of one entry starts.

    The dispatcher performs no I/O. Its methods receive events and the current
    loop time and return effects, which the caller must carry out in order.
    Equal calls with equal random numbers return equal effects.

    Attributes:
        zone: Availability zone of the entry.
        attempt_id_prefix: Prefix of all attempt ids; unique per process and
            dispatcher.
        policy: Policy in force, replaced by `apply_policy`.
        rng: Source of all randomness.
        run_times: Run time estimates from successful attempts.
        queue: Tasks that wait for a slot.
        timers: Deadlines and other times at which `advance` must be called.
        targets: Targets by VM id, replaced by `apply_targets`.
        placement: Chooses the target of a task.
        health: Ejects failing and slow targets.
        retry_budget: Limits retries after failures.
        counters: Event counts since the start.
        attempts: Attempts that occupy a slot.
        forecaster: Predicts run times and waits of submitted jobs.
    """

    def __init__(
        self,
        zone: str,
        attempt_id_prefix: str,
        policy: Policy,
        rng: random.Random,
    ):
        self.zone = zone
        self.attempt_id_prefix = attempt_id_prefix
        self.policy = policy
        self.rng = rng
        self.run_times = RunTimes()
        self.queue = JobQueue()
        self.timers = Timers()
        self.targets: dict[str, Target] = {}
        self.placement = Placement(zone, self.targets, rng)
        self.health = HealthMonitor(self.targets, self._request_wakeup)
        self.retry_budget = RetryBudget(policy.retry_ratio)
        self.counters = DispatchCounters()
        self.attempts = RunningAttempts(
            zone,
            attempt_id_prefix,
            self.targets,
            self.run_times,
            self.health,
            self._request_wakeup,
        )
        self.forecaster = Forecaster(
            policy, self.run_times, self.queue, self.placement, self.attempts
        )
        self._jobs: dict[int, Job] = {}
        self._apply_policy_values()

    def submit(
        self, job_key: int, job: JobSpec, caller: str, now: float
    ) -> list[Effect]:
        """Admits or refuses a job and starts tasks in free slots.

        Args:
            job_key: Key that identifies the job in effects; must be new.
            job: Job to admit.
            caller: Name of the caller.
            now: Loop time in seconds.

        Returns:
            Effects, in the order in which the caller must carry them out.
        """
        effects: list[Effect] = []
        self._handle_due_timers(now, effects)
        forecast, estimates = self.forecaster.forecast_job(job, caller)
        service = self.policy.services.get(job.service)
        weight = 1.0 if service is None else service.weight
        refusal = _admission.check_admission(
            forecast,
            self.policy,
            self.queue,
            self.forecaster.record_and_measure_load(job, forecast, weight, now),
        )
        if refusal is not None:
            self.counters.refused += 1
            effects.append(JobFinished(job_key, refusal))
            return effects
        self._enqueue(job_key, job, caller, estimates, now)
        self._start_tasks(now, effects)
        return effects

    def cancel(self, job_key: int, now: float) -> list[Effect]:
        """Cancels a job and starts tasks in free slots.

        The attempts of the job keep their slots until `finish` is called.
        Unknown and answered job keys are ignored.

        Args:
            job_key: Key given to `submit`.
            now: Loop time in seconds.

        Returns:
            Effects, in the order in which the caller must carry them out.
        """
        effects: list[Effect] = []
        self._handle_due_timers(now, effects)
        job = self._jobs.get(job_key)
        if job is not None:
            self._end_incomplete_job(job, FailureReason.CANCELLED, "", effects)
        self._start_tasks(now, effects)
        return effects

    def finish(
        self, attempt_id: str, outcome: AttemptOutcome, now: float
    ) -> list[Effect]:
        """Records the outcome of an attempt and starts tasks in free slots.

        Attempts that are unknown or have already ended are only counted.

        Args:
            attempt_id: Id from `StartAttempt`.
            outcome: How the attempt ended.
            now: Loop time in seconds.

        Returns:
            Effects, in the order in which the caller must carry them out.
        """
        effects: list[Effect] = []
        self._handle_due_timers(now, effects)
        attempt = self.attempts.finish(attempt_id, outcome, now)
        if attempt is None:
            self.counters.late_finishes += 1
            return effects
        if isinstance(outcome, AttemptNotStarted):
            self.counters.not_started += 1
        if not attempt.job.finished:
            self._apply_outcome(attempt, outcome, effects)
        self._start_tasks(now, effects)
        return effects

    def advance(self, now: float) -> list[Effect]:
        """Handles timers that are due and starts tasks in free slots."""
        effects: list[Effect] = []
        self._handle_due_timers(now, effects)
        self._start_tasks(now, effects)
        return effects

    def apply_targets(self, targets: Sequence[TargetView], now: float) -> None:
        """Replaces the set of targets.

        A target that is no longer listed gets no new tasks. It is removed by
        the first call after its running attempts have ended.

        Args:
            targets: All targets that this entry may use.
            now: Loop time in seconds.
        """
        views = {view.target_id: view for view in targets}
        for target_id in list(self.targets):
            target = self.targets[target_id]
            if target_id in views:
                target.view = views[target_id]
            elif target.in_use:
                target.view = attrs.evolve(
                    target.view, slots=0, accepting=False
                )
            else:
                del self.targets[target_id]
        for target_id, view in views.items():
            if target_id not in self.targets:
                self.targets[target_id] = Target(
                    view,
                    is_leaving=target_id in self.attempts.leaving_target_ids,
                )
        self.run_times.retain_targets(set(self.targets))
        self.health.enforce_ejection_limit()
        self.queue.slot_count = max(1, self.placement.count_slots())
        self._request_wakeup(now)

    def apply_policy(self, policy: Policy, now: float) -> None:
        """Replaces the policy; jobs that were admitted stay admitted."""
        self.policy = policy
        self._apply_policy_values()
        self._request_wakeup(now)

    def next_wakeup(self) -> float | None:
        """Returns the time of the next timer.

        Returns:
            Loop time in seconds at which `advance` must be called, or None if
            no timer is set.
        """
        return self.timers.next_time()

    def stats(self) -> DispatcherStats:
        """Returns the current queue and attempt sizes and the event counts."""
        return DispatcherStats(
            queued=self.queue.task_count,
            running=len(self.attempts.by_id),
            jobs=len(self._jobs),
            ejected=self.health.count_ejected(),
            slots_in_use={i: t.in_use for i, t in self.targets.items()},
            **attrs.asdict(self.counters),
        )

    def _apply_policy_values(self) -> None:
        self.retry_budget.ratio = self.policy.retry_ratio
        self.forecaster.policy = self.policy
        self.placement.remote_delay = self.policy.remote_delay

    def _request_wakeup(self, when: float) -> None:
        self.timers.add(when, Timer.WAKE)

    def _handle_due_timers(self, now: float, effects: list[Effect]) -> None:
        for kind, key in self.timers.pop_due(now):
            match kind:
                case Timer.DEADLINE:
                    if job := self._jobs.get(key):
                        self._end_incomplete_job(
                            job, FailureReason.DEADLINE, "", effects
                        )
                case Timer.OVERSTAY:
                    self.attempts.mark_long(key)

    def _enqueue(
        self,
        job_key: int,
        spec: JobSpec,
        caller: str,
        estimates: list[float],
        now: float,
    ) -> None:
        count = len(spec.tasks)
        deadline = now + spec.deadline_ms / 1000
        job = Job(
            key=job_key,
            spec=spec,
            caller=caller,
            service_policy=self.policy.services[spec.service],
            submitted=now,
            deadline=deadline,
            estimates=estimates,
            states=[TaskState.NOT_RUN] * count,
            results=[None] * count,
            unfinished=count,
        )
        self._jobs[job_key] = job
        self.timers.add(deadline, Timer.DEADLINE, job_key)
        for index in range(count):
            self.queue.add_task(
                job, index, self.forecaster.lane_of_task(job.spec, index)
            )
        self.queue.push_job(job)

    def _start_tasks(self, now: float, effects: list[Effect]) -> None:
        if not self.queue.task_count:
            return
        long_slots = self.forecaster.max_long_slots()
        while True:
            lane = self.queue.choose_lane(self._startable_lanes(long_slots))
            if lane is None:
                return
            job = self.queue.peek_job(lane)
            task_index = job.queued_indices[lane][0]
            target = (
                self.placement.find_probe_target(now)
                if lane == SHORT_LANE
                else None
            )
            is_probe = target is not None
            if target is None:
                target = self.placement.choose_target(
                    job.estimates[task_index],
                    job.avoided_targets.get(task_index, ""),
                    self._remote_zone_backoffs(lane),
                    now,
                )
            if target is None:
                return
            self.queue.pop_task(lane)
            if (
                lane != LONG_LANE
                and self.forecaster.lane_of_task(job.spec, task_index)
                == LONG_LANE
            ):
                # While the task was queued, its operation was found to run
                # long.
                self.queue.add_task(job, task_index, LONG_LANE)
                self.queue.push_job(job)
                continue
            effects.append(
                self._start_attempt(
                    job, task_index, target, lane, is_probe, now
                )
            )

    def _startable_lanes(self, long_slots: int) -> list[int]:
        lanes = [SHORT_LANE]
        if self.attempts.long_count < long_slots:
            lanes.append(LONG_LANE)
        if (
            self.queue.peek_job(SHORT_LANE) is None
            and self.queue.peek_job(BULK_LANE) is not None
        ):
            # Some slots are reserved for short tasks. No reserve is needed
            # while no short tasks run, so half their number is the limit.
            reserved = min(
                self.policy.bulk_reserve * self.queue.slot_count,
                self.attempts.count_by_lane[SHORT_LANE] / 2,
            )
            if self.placement.count_free_slots() > reserved:
                lanes.append(BULK_LANE)
        return lanes

    def _remote_zone_backoffs(
        self, lane: int
    ) -> dict[str, tuple[float, float]] | None:
        # Returns None when tasks of the lane may not run in other zones. A
        # short queue drains before a slot elsewhere is found, and long work
        # would occupy slots that the entries of the other zone rely on.
        if (
            lane == LONG_LANE
            or self.queue.task_count
            < REMOTE_QUEUE_TASKS_PER_SLOT * self.queue.slot_count
        ):
            return None
        return self.attempts.zone_backoffs

    def _start_attempt(
        self,
        job: Job,
        task_index: int,
        target: Target,
        lane: int,
        is_probe: bool,
        now: float,
    ) -> StartAttempt:
        attempt = self.attempts.start(
            job, task_index, target, lane, is_probe, now
        )
        self.counters.started += 1
        self.retry_budget.record_start()
        median_run_time = self.run_times.service_median_run_time(
            job.spec.service
        )
        if median_run_time is not None and lane != LONG_LANE:
            short_work_limit = (
                self.policy.long_factor * median_run_time * target.slowness
            )
            self.timers.add(
                now + short_work_limit, Timer.OVERSTAY, attempt.attempt_id
            )
        return StartAttempt(
            attempt_id=attempt.attempt_id,
            target_id=attempt.target_id,
            address=attempt.address,
            job_key=job.key,
            task_index=task_index,
            task=job.spec.tasks[task_index],
            deadline=job.deadline,
        )

    def _apply_outcome(
        self, attempt: Attempt, outcome: AttemptOutcome, effects: list[Effect]
    ) -> None:
        job, task_index = attempt.job, attempt.task_index
        match outcome:
            case AttemptSucceeded(result):
                job.may_have_run = True
                job.states[task_index] = TaskState.SUCCEEDED
                job.results[task_index] = result
                job.unfinished -= 1
                if not job.unfinished:
                    self._finish_job(job, Complete(tuple(job.results)), effects)
            case AttemptNotStarted():
                job.states[task_index] = attempt.previous_state
                self._requeue_task(attempt)
            case AttemptFailed(message):
                job.may_have_run = True
                job.states[task_index] = TaskState.FAILED
                if self._spend_retry(job):
                    self.counters.retried += 1
                    self._requeue_task(attempt)
                else:
                    self._end_incomplete_job(
                        job, FailureReason.TASK_FAILED, message, effects
                    )
            case AttemptUnknown():
                job.may_have_run = True
                self._end_incomplete_job(
                    job, FailureReason.TASK_UNKNOWN, "", effects
                )

    def _spend_retry(self, job: Job) -> bool:
        service: ServicePolicy = job.service_policy
        return (
            service.restart_failed
            and job.spec.repeatable
            and self.retry_budget.try_spend()
        )

    def _requeue_task(self, attempt: Attempt) -> None:
        job, task_index = attempt.job, attempt.task_index
        job.avoided_targets[task_index] = attempt.target_id
        self.queue.add_task(
            job,
            task_index,
            self.forecaster.lane_of_task(job.spec, task_index),
            at_front=True,
        )
        self.queue.push_job(job)

    def _end_incomplete_job(
        self,
        job: Job,
        reason: FailureReason,
        message: str,
        effects: list[Effect],
    ) -> None:
        """Answers a job that did not complete and cancels its attempts."""
        answer = job.make_incomplete_answer(reason, message)
        self.queue.remove_job(job)
        self._finish_job(job, answer, effects)
        for attempt in job.attempts.values():
            self.counters.cancelled += 1
            effects.append(
                CancelAttempt(
                    attempt.attempt_id, attempt.target_id, attempt.address
                )
            )

    def _finish_job(
        self,
        job: Job,
        answer: Complete | Failed | NotRun,
        effects: list[Effect],
    ) -> None:
        job.finished = True
        del self._jobs[job.key]
        match answer:
            case Complete():
                self.counters.completed += 1
            case Failed():
                self.counters.failed += 1
            case NotRun():
                self.counters.refused += 1
        effects.append(JobFinished(job.key, answer))
