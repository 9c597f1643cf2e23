"""Targets with their leases and runs.

Tracks every run from the start command to its end. Polls extend the lease of a
target while it has runs. The runs of a target that cannot be reached count as
ended when its lease expires.
"""

import math
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import attrs

from anvilford.placement import _health as health
from anvilford.placement._crashes import CrashHistory
from anvilford.placement._crashes import LossState
from anvilford.placement._interference import InterferenceMonitor
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import Resources
from anvilford.placement._model import TargetRecord
from anvilford.placement._orders import Accepted
from anvilford.placement._orders import Effect
from anvilford.placement._orders import EndedTask
from anvilford.placement._orders import FenceLost
from anvilford.placement._orders import LifeReplaced
from anvilford.placement._orders import NoAnswer
from anvilford.placement._orders import NotSent
from anvilford.placement._orders import OrderAnswer
from anvilford.placement._orders import Poll
from anvilford.placement._orders import PollAnswer
from anvilford.placement._orders import Refusal
from anvilford.placement._orders import Refused
from anvilford.placement._orders import Report
from anvilford.placement._orders import Restarted
from anvilford.placement._orders import RunEnd
from anvilford.placement._orders import RunningTask
from anvilford.placement._orders import StartRun
from anvilford.placement._orders import StopRun
from anvilford.placement._run_log import describe_runs
from anvilford.placement._run_log import describe_suspension
from anvilford.placement._state import Job
from anvilford.placement._state import Ownership
from anvilford.placement._state import Run
from anvilford.placement._state import RunPhase
from anvilford.placement._state import Target
from anvilford.placement._state import Task
from anvilford.placement._state import TaskPhase
from anvilford.placement._target_list import CLAIM_RETRY_S
from anvilford.placement._target_list import GONE_FOR_GOOD_S
from anvilford.placement._target_list import TargetList
from anvilford.placement._target_list import UNLISTED_KEEP_S

# How long a target may delay its answer to a poll until a run ends. Two polls
# may fail before a lease of at most one second expires. The end of a run is
# detected up to this much later if the pending poll is lost.
POLL_WAIT_MS = 150
# Time after which a run of an earlier placer is stopped unless an entry has
# offered its job. After a takeover, entries repeat their offers within one or
# two heartbeats.
CLAIM_WINDOW_S = 0.7
# The same on a target that also has claimed runs. Its lease must not be extended
# before, and may end 0.3 s after the takeover.
SHARED_CLAIM_WINDOW_S = 0.15
# Interval between polls of an unreachable target that has runs.
UNREACHABLE_RETRY_S = 0.1
# Time after which a stop without a confirmation is sent again. Targets answer
# within a few milliseconds. The lease of the target is not extended meanwhile and
# lasts 0.85 s or more: its other runs end only if seven stops in a row are lost.
STOP_RETRY_S = 0.1
# The same for a target that does not answer polls either.
UNREACHABLE_STOP_RETRY_S = 0.4
# Delay before a target without runs is polled only to acknowledge ended runs.
# Otherwise, the next regular poll acknowledges them.
ACKNOWLEDGE_AFTER_S = 0.1
# Interval between polls of an unreachable target that is no longer listed. Such
# targets are polled less often than listed ones.
UNLISTED_RETRY_S = 0.5
# Distance between the first run numbers of consecutive fencing tokens. Numbers
# under a new token continue above all earlier ones.
RUNS_PER_FENCE = 16

# Age up to which an answer shows that a target obeys this placer. Long enough
# for the answers of all targets of a zone to probes that were sent together.
CONTROL_PROOF_AGE_S = 0.5

NO_RESOURCES = Resources(0)
# Receives a task, the cause of the event and the time.
TaskListener = Callable[[Task, str, float], None]


class Fleet(TargetList):
    """Targets of one placer, with the commands to them and their answers.

    Attributes:
        fence: Fencing token of all commands.
        on_task_event: Called with a task, the cause and the time when the
            current run of the task has ended or is lost.
        tasks_found_done: Names of tasks that completed under an earlier
            placer, as reported by targets.
        found_foreign_runs: Set to True when a target reports runs or ends of
            another placer; the owner of the fleet resets it.
        leases_end_by: Latest time at which leases may end; set by
            `Placer.limit_leases`.
        interference: Kinds of tasks that slow each other down.
    """

    def __init__(
        self,
        fence: int,
        now: float,
        options: PlacementOptions,
        effects: list[Effect],
        on_task_event: TaskListener,
        crashes: CrashHistory,
    ):
        super().__init__(now, options, effects, crashes)
        self.fence = fence
        self.on_task_event = on_task_event
        self.tasks_found_done: set[str] = set()
        self.found_foreign_runs = False
        self.leases_end_by = math.inf
        self.interference = InterferenceMonitor(options, now)
        # Ids of targets beside `target_by_task` that may run a task, by name.
        self._other_targets: dict[str, list[str]] = {}

    def target_ids_of_job(self, job: Job) -> tuple[str, ...]:
        """Returns the ids of targets that may run tasks of a job."""
        placed = {self.target_by_task.get(task.name) for task in job.tasks}
        return tuple(t.record.target_id for t in placed if t is not None)

    def clear(self) -> None:
        """Drops all targets and runs, so that another placer can adopt them."""
        self.targets.clear()
        self.rebuild_index()
        self.target_by_task.clear()
        self._other_targets.clear()

    def apply_target_list(
        self,
        records: Iterable[TargetRecord],
        dropped: Iterable[TargetRecord],
        now: float,
        is_current: bool = True,
    ) -> None:
        """Updates the targets from the platform's list and polls new ones.

        Args:
            records: Targets in the list.
            dropped: Targets that were removed from the list in the last few
                seconds.
            now: Current time in seconds.
            is_current: Whether the list has all targets that other placers
                may have used.
        """
        self.list_is_current = is_current
        self.reconcile(records, dropped, now)
        self._send_due_polls(now)

    def fenced_zones(self) -> set[str]:
        """Returns the zones with targets that obey a higher fencing token."""
        return {
            target.record.zone
            for target in self.targets.values()
            if target.ownership is Ownership.FENCED
        }

    def raise_fence(
        self, fence: int, now: float, left_zones: Collection[str] = ()
    ) -> None:
        """Adopts a higher fencing token and claims all targets again.

        Keeps the runs started by this placer; the next reports of the targets
        show their state.

        Args:
            fence: The higher token.
            now: Current time in seconds.
            left_zones: Zones whose targets stay with the placer that they
                obey, if they obey another one.
        """
        self.fence = fence
        self.claims_began_at = now
        if self.has_forgotten_targets:
            # The other placer may have them; their rows are not back yet.
            self.list_complete_at = max(
                self.list_complete_at, now + UNLISTED_KEEP_S
            )
        for target in self.targets.values():
            if (
                target.ownership is Ownership.FENCED
                and target.record.zone in left_zones
            ):
                continue
            target.ownership = Ownership.CLAIMING
            target.retry_at = now
            # A probe, because the regular poll may still wait for the end of
            # a run.
            self._send_poll(target, now, is_probe=True)

    def controls_zone(self, zone: str, now: float) -> bool | None:
        """Returns whether all targets of a zone lately obeyed this placer.

        Then no other placer can have runs there. Probes those that have not
        been heard lately. Leaves out targets that have been off the list for
        `GONE_FOR_GOOD_S`, since one that is gone never obeys.

        Returns:
            None if no target of the zone is known.
        """
        targets = [
            target
            for target in self.targets.values()
            if target.record.zone == zone
            and (target.listed or now - target.unlisted_at <= GONE_FOR_GOOD_S)
        ]
        if not targets:
            return None
        if not all(target.reachable for target in targets):
            return False  # The regular polls go on at their intervals.
        controls_all = True
        for target in targets:
            if now - target.last_contact_at > CONTROL_PROOF_AGE_S:
                controls_all = False
                self._send_poll(target, now, is_probe=True)
            elif target.ownership is not Ownership.OWNED:
                controls_all = False
        return controls_all

    def started_under_earlier_fence(self, run_number: int) -> bool:
        """Returns whether a run was started before the token was raised."""
        return run_number <= self.fence * RUNS_PER_FENCE

    # Methods that send commands to targets.

    def start(self, task: Task, target: Target, now: float) -> None:
        """Starts a run of a task on a usable target with enough resources."""
        number = max(task.run, self.fence * RUNS_PER_FENCE) + 1
        task.run = number
        task.target_id = target.record.target_id
        task.phase = TaskPhase.PLACED
        run = Run(
            task, task.name, number, task.spec.need, RunPhase.ORDERED, now
        )
        run.was_sent_to_live = target.was_heard_recently(now)
        if task.has_lost_target:
            target.isolated_job = task.job.job_id
        target.reserve(run)
        self.target_by_task[run.task_name] = target
        self.effects.append(
            StartRun(
                target.record.target_id,
                target.record.incarnation,
                run.task_name,
                number,
                task.job.spec.payload,
                self._extend_lease(target, now),
                self.fence,
            )
        )
        self._send_poll(target, now)

    def ask_for_runs(self, job: Job, now: float) -> None:
        """Probes the targets that have to show whether they run a job."""
        offered_at = job.unseen_runs_until - self.options.permission_lifetime
        for target_id in job.placed_elsewhere or ():
            target = self.targets.get(target_id)
            if (
                target is not None
                and target.reachable
                and not target.missed_polls
                and target.controlled_at < offered_at
            ):
                self._send_poll(target, now, is_probe=True)

    def check_liveness(self, target: Target, now: float) -> bool:
        """Returns whether a target was heard recently; probes it otherwise."""
        if target.was_heard_recently(now):
            return True
        self._send_poll(target, now, is_probe=True)
        return False

    def stop_job(self, job: Job, now: float) -> None:
        """Sends a stop for every run of a job."""
        for task in job.tasks:
            if task.phase is not TaskPhase.PLACED:
                continue
            target = self.target_by_task.get(task.name)
            run = target.runs.get(task.name) if target else None
            if run is not None and run.task is task:
                self._stop_run(target, run, now)

    def adopt_runs(self, job: Job, now: float) -> bool:
        """Assigns existing runs and ends of a job's tasks to the job.

        Such runs were found on targets after a takeover, or are being stopped
        for an earlier offer of the same job. A task whose run is being stopped
        starts again only when that run has ended.

        Returns:
            True if any waiting task of the job had a run or was done.
        """
        adopted = False
        for task in job.tasks:
            if task.phase is not TaskPhase.WAITING:
                # This placer has placed the task, or an earlier placer has
                # already reported it as done.
                continue
            if task.name in self.tasks_found_done:
                task.phase = TaskPhase.DONE
                job.open_tasks -= 1
                adopted = job.has_earlier_runs = True
                continue
            target = self.target_by_task.get(task.name)
            run = target.runs.get(task.name) if target else None
            if target is None or run is None:
                continue
            adopted = True
            if run.task is None:
                job.has_earlier_runs = True
                run.need = task.spec.need
                target.available = target.available.minus(run.need)
                run.percent_at = now
            run.task = task
            task.phase = TaskPhase.PLACED
            task.run = run.number
            task.target_id = target.record.target_id
            # Extends the lease at once when all runs on the target are claimed,
            # even if the regular poll still waits for the end of a run.
            self._send_poll(
                target,
                now,
                is_probe=target.poll_pending and not target.has_unclaimed_runs,
            )
        job.started = job.started or adopted
        return adopted

    def _extend_lease(self, target: Target, now: float) -> int:
        """Returns the deadline of a new lease, or of the present one.

        The present one is used if the target's lease must not be extended.
        """
        if not target.may_extend_lease:
            return target.lease_deadline_ms
        options = self.options
        deadline = target.extend_lease(
            now,
            options.max_lease,
            options.clock_drift,
            min(self.leases_end_by, target.kept_until),
        )
        assert deadline is not None  # The clock is known after the first poll.
        return deadline

    def _stop_run(self, target: Target, run: Run, now: float) -> None:
        if run.phase is RunPhase.STOPPED:
            return
        run.phase = RunPhase.STOPPING
        run.stopped_at = now
        record = target.record
        self.effects.append(
            StopRun(
                record.target_id,
                record.incarnation,
                run.task_name,
                run.number,
                self.fence,
            )
        )

    def _send_poll(
        self, target: Target, now: float, is_probe: bool = False
    ) -> None:
        """Sends a regular poll or a probe, unless one of its kind is pending.

        A probe is an additional poll that the target answers at once.
        """
        if target.probe_pending if is_probe else target.poll_pending:
            return
        if target.ownership is Ownership.FENCED:
            return
        deadline = None
        # While a target does not answer, polls leave its lease unchanged.
        # Otherwise, its runs would never count as ended.
        if (
            target.needs_lease
            and target.may_extend_lease
            and target.ownership is Ownership.OWNED
            and not target.missed_polls
        ):
            deadline = self._extend_lease(target, now)
        if is_probe:
            target.probe_pending = True
        else:
            target.poll_pending = True
        self.effects.append(
            Poll(
                target.record.target_id,
                target.record.incarnation,
                self.fence,
                deadline,
                target.processed_end,
                POLL_WAIT_MS if target.has_claimed_runs and not is_probe else 0,
                now,
                is_probe,
            )
        )

    # Handlers of the answers that targets give to commands.

    def handle_start_answer(
        self, order: StartRun, answer: OrderAnswer, now: float
    ) -> None:
        """Updates the target and the run after the answer to a start."""
        target, run = self._find_run(order)
        if target is None or run is None:
            return
        match answer:
            case Accepted(clock_ms):
                target.record_clock(clock_ms, now)
                if run.phase in (RunPhase.ORDERED, RunPhase.DOUBTFUL):
                    self._confirm_start(run, now)
            case Refused(reason, clock_ms):
                if clock_ms is not None:
                    target.record_clock(clock_ms, now)
                self._handle_refused_start(target, run, order, reason, now)
            case LifeReplaced():
                # Another process has answered, which has started nothing.
                self._finish_run(target, run, "target_replaced", now)
                self._handle_replaced(target, now)
            case Restarted(incarnation):
                self._finish_run(target, run, "target_restarted", now)
                self._handle_restarted(target, incarnation, now)
            case NotSent():
                target.retry_at = now + CLAIM_RETRY_S
                self._finish_run(target, run, "not_sent", now)
            case NoAnswer(connection_closed):
                run.start_was_lost = connection_closed or run.was_sent_to_live
                if run.phase is RunPhase.ORDERED:
                    run.phase = RunPhase.DOUBTFUL
                    run.doubtful_at = now
                    self._send_poll(target, now, is_probe=True)

    def _confirm_start(self, run: Run, now: float) -> None:
        """Marks a run as running on its target."""
        run.phase = RunPhase.RUNNING
        run.confirmed_at = run.percent_at = now

    def _handle_refused_start(
        self,
        target: Target,
        run: Run,
        order: StartRun,
        reason: Refusal,
        now: float,
    ) -> None:
        """Ends a refused run, which the target has not started."""
        if reason is Refusal.FENCE:
            self._handle_fence_lost(target, order)
        if reason is Refusal.NO_ROOM:
            target.is_full = True
            self._send_poll(target, now, is_probe=True)
        if reason in (Refusal.UNHEALTHY, Refusal.INVALID, Refusal.TICKET):
            self._record_failure(target, run.task_name, "start_" + reason, now)
        self._finish_run(target, run, "refused_" + reason, now)
        task = run.task
        if (
            reason is Refusal.OLD_RUN
            and task is not None
            and task.phase is TaskPhase.WAITING
        ):
            # The target has seen a higher run number for the task. The next one
            # is raised by a whole token's range, to exceed it.
            task.run += RUNS_PER_FENCE

    def handle_stop_answer(
        self, order: StopRun, answer: OrderAnswer, now: float
    ) -> None:
        """Updates the target and the run after the answer to a stop."""
        target, run = self._find_run(order)
        if target is None or run is None:
            return
        match answer:
            case Accepted(clock_ms):
                target.record_clock(clock_ms, now)
                run.phase = RunPhase.STOPPED
                run.stopped_at = now
            case Refused(Refusal.FENCE, _):
                self._handle_fence_lost(target, order)
            case LifeReplaced():
                self._handle_replaced(target, now)
            case _:
                pass  # `tick` repeats the stop until the lease has ended.

    def handle_poll_answer(
        self, order: Poll, answer: PollAnswer, now: float
    ) -> None:
        """Updates the target and its runs after the answer to a poll."""
        target = self._find_target(order.target_id, order.incarnation)
        if target is None:
            return
        if order.is_probe:
            target.probe_pending = False
        else:
            target.poll_pending = False
        match answer:
            case Report() | Refused(Refusal.FENCE, _) if (
                order.fence != self.fence
            ):
                # The answer does not show who controls the target now.
                self._send_poll(target, now)
            case Report() if target.ownership is Ownership.FENCED:
                pass  # The target has refused a later command since.
            case Report() as report:
                if (
                    report.incarnation
                    and report.incarnation != target.record.incarnation
                ):
                    target = self._handle_restarted(
                        target, report.incarnation, now
                    )
                self._apply_report(target, order, report, now)
            case Refused(Refusal.FENCE, _):
                self._handle_fence_lost(target, order)
            case LifeReplaced():
                self._handle_replaced(target, now)
            case _:
                self._handle_missed_poll(target, now)

    def _handle_missed_poll(self, target: Target, now: float) -> None:
        """Retries a failed poll at once; a second failure marks the target.

        From the second consecutive failure on, the target is unreachable and
        is polled at intervals.
        """
        target.missed_polls += 1
        if target.missed_polls == 1:
            self._send_poll(target, now)
            return
        wait = UNREACHABLE_RETRY_S if target.runs else CLAIM_RETRY_S
        if not target.listed:
            wait = UNLISTED_RETRY_S
        target.retry_at = now + wait
        if target.reachable:
            target.reachable = False
            # Recorded before the lease ends, so that the other members know it
            # even if this leader ends as well.
            self.record_loss(target, LossState.SILENT, now)
            self.log_target_event(
                "target unreachable", target.record.target_id, target.record
            )

    def _apply_report(
        self, target: Target, order: Poll, report: Report, now: float
    ) -> None:
        target.record_clock(report.clock_ms, now)
        target.controlled_at = max(target.controlled_at, order.sent_at)
        self.crashes.record_return(
            target.record.target_id, target.record.incarnation
        )
        target.confirmed_end = max(target.confirmed_end, order.acknowledged)
        target.is_full = False
        target.retry_at = 0.0
        target.missed_polls = 0
        if not target.reachable:
            target.reachable = True
            self.log_target_event(
                "target reachable", target.record.target_id, target.record
            )
        is_claim = target.ownership is Ownership.CLAIMING
        target.ownership = Ownership.OWNED
        running = {reported.task: reported for reported in report.running}
        if is_claim or not running.keys() <= target.runs.keys():
            # Another placer may have extended the lease just before this claim,
            # also if its runs have ended: tasks that start now have that lease.
            # The lease is therefore assumed to last for the maximum from now,
            # measured by a target clock that is slow by the maximum drift.
            options = self.options
            length = options.max_lease / (1.0 - options.clock_drift)
            target.lease_end = max(target.lease_end, now + length)
        known = set(target.runs)
        for reported in report.running:
            self._apply_running(target, reported, is_claim, now)
        found = [run for name, run in target.runs.items() if name not in known]
        self._log_runs("runs found", target, found, now, at_claim=is_claim)
        for ended_run in report.ended:
            if ended_run.sequence > target.processed_end:
                target.processed_end = ended_run.sequence
                target.last_end_at = now
                self._apply_end(target, ended_run, now)
        for run in list(target.runs.values()):
            if run.task_name not in running:
                self._apply_absence(target, run, order, now)
        if target.has_claimed_runs:
            self._send_poll(target, now)

    def _apply_running(
        self, target: Target, reported: RunningTask, is_claim: bool, now: float
    ) -> None:
        run = target.runs.get(reported.task)
        if run is None:
            run = Run(
                None,
                reported.task,
                reported.run,
                NO_RESOURCES,
                RunPhase.RUNNING,
                now,
                now,
            )
            target.reserve(run)
            if (
                self.target_by_task.setdefault(run.task_name, target)
                is not target
            ):
                others = self._other_targets.setdefault(run.task_name, [])
                others.append(target.record.target_id)
            self.found_foreign_runs = True
            if not is_claim:
                # Unknown runs of earlier placers appear when this placer claims
                # the target. Later, an unknown run can only come from a start
                # that this placer has given up.
                self._stop_run(target, run, now)
            return
        if run.number != reported.run:
            return
        run.is_carried_over = False
        if run.phase in (RunPhase.ORDERED, RunPhase.DOUBTFUL):
            self._confirm_start(run, now)
        if reported.percent != run.percent:
            run.percent = reported.percent
            run.percent_at = now
        elif run.phase is RunPhase.RUNNING and health.is_stalled(
            target, run, now
        ):
            # Checked only on reports: without them, a run that progresses
            # cannot be distinguished from a stalled one.
            self._record_failure(target, run.task_name, "run_stalled", now)
            self._stop_run(target, run, now)

    def _apply_end(
        self, target: Target, ended_run: EndedTask, now: float
    ) -> None:
        run = target.runs.get(ended_run.task)
        if run is None or run.number != ended_run.run:
            if ended_run.end is RunEnd.DONE and run is None:
                self.tasks_found_done.add(ended_run.task)
                self.found_foreign_runs = True
            return
        if run.task is None and ended_run.end is RunEnd.DONE:
            self.tasks_found_done.add(ended_run.task)
            self.found_foreign_runs = True
        stopping = run.phase in (RunPhase.STOPPING, RunPhase.STOPPED)
        if ended_run.end is RunEnd.DONE:
            slowdown = self.interference.record_success(target, run, now)
            health.record_success(target, run, now, slowdown)
        elif (
            ended_run.end is RunEnd.FAILED
            and not stopping
            and run.task is not None
            and not run.task.failures
        ):
            job_id = run.task.job.job_id
            self._record_failure(target, job_id, "run_failed", now)
        self._finish_run(target, run, ended_run.end.value, now)

    def _apply_absence(
        self, target: Target, run: Run, order: Poll, now: float
    ) -> None:
        """Handles a run that is missing from the reported runs in progress.

        A `DOUBTFUL` run is stopped, so that a delayed start command cannot
        take effect. A `RUNNING` run counts as vanished.
        """
        # Answers can arrive out of order: only a poll sent after the latest
        # change of the run is evidence of its absence.
        if run.phase is RunPhase.DOUBTFUL and run.doubtful_at <= order.sent_at:
            self._stop_run(target, run, now)
        if run.phase is RunPhase.RUNNING and run.confirmed_at <= order.sent_at:
            self._finish_run(target, run, "vanished", now)

    def _log_runs(
        self,
        event: str,
        target: Target,
        runs: Iterable[Run],
        now: float,
        **inputs: object,
    ) -> None:
        """Appends a decision about runs on one target, if any, to the effects.

        The arguments are those of `describe_runs`.
        """
        self.effects += describe_runs(
            event, target, runs, self.fence, now, **inputs
        )

    # Handlers of the loss of targets and runs.

    def _handle_fence_lost(
        self, target: Target, order: StartRun | StopRun | Poll
    ) -> None:
        """Marks a target as fenced and reports the loss once.

        Ignores the refusal of a command that was sent before the fencing token
        was raised.

        Args:
            target: Target that refused a command.
            order: The refused command.
        """
        if target.ownership is Ownership.FENCED or order.fence != self.fence:
            return
        was_owned = target.ownership is Ownership.OWNED
        target.ownership = Ownership.FENCED
        self.log_target_event(
            "target obeys a higher fence",
            target.record.target_id,
            target.record,
            fence=self.fence,
            refused_fence=order.fence,
            was_owned=was_owned,
        )
        self.effects.append(FenceLost(target.record.target_id, was_owned))

    def _handle_replaced(self, target: Target, now: float) -> None:
        """Drops a target on which another incarnation answered.

        The platform's list adds the new incarnation later.
        """
        self.log_target_event(
            "target replaced", target.record.target_id, target.record
        )
        self.record_loss(target, LossState.CRASHED, now)
        self._drop_runs(target, "target_replaced", now)
        self.drop_replaced(target)

    def _handle_restarted(
        self, target: Target, incarnation: int, now: float
    ) -> Target:
        """Replaces a target that has restarted before the list shows it.

        The new incarnation may be of another kind, so that no task starts on
        it until its row is listed.

        Returns:
            The target that replaces the old one.
        """
        record = attrs.evolve(target.record, incarnation=incarnation)
        restarted = self.replace_incarnation(target, record, now)
        restarted.has_old_record = True
        return restarted

    def _drop_runs(self, target: Target, cause: str, now: float) -> None:
        for run in list(target.runs.values()):
            self._finish_run(target, run, cause, now)

    def _record_failure(
        self, target: Target, failed: str, cause: str, now: float
    ) -> None:
        """Counts a failure of a target and logs a resulting suspension.

        Args:
            target: The target.
            failed: Job or task that failed, as for `health.record_failure`.
            cause: How it failed, for the log.
            now: Current time in seconds.
        """
        peers = self.targets_of_service(target.record.service)
        if health.record_failure(target, failed, peers, now):
            self.effects.append(describe_suspension(target, cause, now))

    def _finish_run(
        self, target: Target, run: Run, cause: str, now: float
    ) -> None:
        """Removes a run and reports its end if it is the task's latest run."""
        target.release(run)
        self.interference.record_end(target, run, now)
        if self.target_by_task.get(run.task_name) is target:
            del self.target_by_task[run.task_name]
            self._index_other_run(run.task_name)
        task = run.task
        if task is not None and task.run == run.number:
            self.on_task_event(task, cause, now)

    def _index_other_run(self, task_name: str) -> None:
        """Indexes another target that has a run of the task."""
        others = self._other_targets.pop(task_name, [])
        while others and task_name not in self.target_by_task:
            target = self.targets.get(others.pop())
            if target is not None and task_name in target.runs:
                self.target_by_task[task_name] = target
        if others:
            self._other_targets[task_name] = others

    def _find_run(
        self, order: StartRun | StopRun
    ) -> tuple[Target | None, Run | None]:
        """Returns the target and the run that a command was sent for.

        Returns:
            None for a target or run that no longer exists.
        """
        target = self._find_target(order.target_id, order.incarnation)
        run = target.runs.get(order.task) if target else None
        if run is not None and run.number != order.run:
            run = None
        return target, run

    def _find_target(self, target_id: str, incarnation: int) -> Target | None:
        target = self.targets.get(target_id)
        return (
            target
            if target and target.record.incarnation == incarnation
            else None
        )

    # Periodic checks of leases, stops and polls.

    def tick(self, now: float) -> None:
        """Expires leases, repeats stops and sends the polls that are due."""
        self.effects += self.interference.evaluate(now)
        for target in list(self.targets.values()):
            if target.runs:
                self._check_runs(target, now)
            elif self.is_expired(target, now):
                self.forget(target, now)
        self._send_due_polls(now)

    def _check_runs(self, target: Target, now: float) -> None:
        """Drops all runs after the end of the lease, or checks each of them."""
        if now > target.lease_end:
            self._log_runs("lease ended", target, target.runs.values(), now)
            self.record_loss(target, LossState.SILENT, now)
            self._drop_runs(target, "lease_ended", now)
            return
        for run in list(target.runs.values()):
            self._check_run(target, run, now)

    def _check_run(self, target: Target, run: Run, now: float) -> None:
        """Carries out the action that is due for a run in its phase."""
        match run.phase:
            case RunPhase.STOPPED:
                if now - run.stopped_at > 2 * self.options.stop_time:
                    self._finish_run(target, run, "stopped", now)
            case RunPhase.STOPPING:
                retry_s = (
                    STOP_RETRY_S
                    if target.reachable
                    else UNREACHABLE_STOP_RETRY_S
                )
                if now - run.stopped_at > retry_s:
                    self._log_runs("stop not confirmed", target, [run], now)
                    self._stop_run(target, run, now)
            case RunPhase.DOUBTFUL:
                self._send_poll(target, now, is_probe=True)
            case RunPhase.RUNNING if run.task is None:
                window = (
                    SHARED_CLAIM_WINDOW_S
                    if target.has_claimed_runs
                    else CLAIM_WINDOW_S
                )
                if now - run.ordered_at > window:
                    self._log_runs("run not claimed", target, [run], now)
                    self._stop_run(target, run, now)

    def _send_due_polls(self, now: float) -> None:
        """Polls targets that are to be claimed or found again, or have runs.

        Also acknowledges ended runs.
        """
        for target in self.targets.values():
            if target.poll_pending or target.retry_at > now:
                continue
            if (
                target.ownership is Ownership.CLAIMING
                or not target.reachable
                or target.has_claimed_runs
                or (
                    target.processed_end > target.confirmed_end
                    and now - target.last_end_at > ACKNOWLEDGE_AFTER_S
                )
            ):
                self._send_poll(target, now)
