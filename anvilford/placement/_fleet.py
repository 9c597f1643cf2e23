"""Targets, the leases on them and the runs that they have.

Keeps what is known of every run, from the order to the end. Polls extend the
lease of a target while it has runs; a target that is not reached any more
loses its runs when the lease ends.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from anvilford.placement import _health as health
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import Resources
from anvilford.placement._model import TargetRecord
from anvilford.placement._orders import Accepted
from anvilford.placement._orders import Decision
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
from anvilford.placement._orders import RunEnd
from anvilford.placement._orders import RunningTask
from anvilford.placement._orders import StartRun
from anvilford.placement._orders import StopRun
from anvilford.placement._state import Job
from anvilford.placement._state import Ownership
from anvilford.placement._state import Run
from anvilford.placement._state import RunPhase
from anvilford.placement._state import Target
from anvilford.placement._state import Task
from anvilford.placement._state import TaskPhase
from anvilford.placement._target_list import CLAIM_RETRY_S
from anvilford.placement._target_list import TargetList

# A poll extends the lease of at most a second; two may fail before it ends. An
# end is learned this late if the poll that waits for it is lost.
POLL_WAIT_MS = 150
# A run found at a take-over is stopped if no entry claims it by then. Entries
# offer their jobs again within a heartbeat or two.
CLAIM_WINDOW_S = 0.7
UNREACHABLE_RETRY_S = 0.1
STOP_RETRY_S = 0.4
# Ends are acknowledged with the next poll; an idle target gets one for that.
ACKNOWLEDGE_AFTER_S = 0.1
# It is tried less often than others meanwhile.
UNLISTED_RETRY_S = 0.5
# Run numbers start anew with each fencing token, above all earlier ones.
RUNS_PER_FENCE = 16

NO_RESOURCES = Resources(0)
TaskListener = Callable[[Task, str, float], None]


class Fleet(TargetList):
    """All targets of one placer, with its orders and their answers.

    Attributes:
        fence: Fencing token of all orders.
        on_task_event: Called with each task that is done, failed or lost.
        tasks_found_done: Names of tasks whose end was found at a take-over.
        found_foreign_runs: True when runs or ends of another placer were found.
    """

    def __init__(
        self,
        fence: int,
        now: float,
        options: PlacementOptions,
        effects: list[Effect],
        on_task_event: TaskListener,
    ):
        super().__init__(now, options, effects)
        self.fence = fence
        self.on_task_event = on_task_event
        self.tasks_found_done: set[str] = set()
        self.found_foreign_runs = False

    def target_ids_of_job(self, job: Job) -> tuple[str, ...]:
        """Targets that may have runs of a job."""
        placed = {self.target_by_task.get(task.name) for task in job.tasks}
        return tuple(t.record.target_id for t in placed if t is not None)

    def clear(self) -> None:
        """Forgets all runs, which another placer takes over."""
        self.targets.clear()
        self.rebuild_index()
        self.target_by_task.clear()

    def apply_target_list(
        self,
        records: Iterable[TargetRecord],
        dropped: Iterable[TargetRecord],
        now: float,
    ) -> None:
        """Applies the platform's list and claims what is new."""
        self.reconcile(records, dropped, now)
        self._send_due_polls(now)

    def raise_fence(self, fence: int, now: float) -> None:
        """Uses a higher fencing token and claims all targets again.

        Runs ordered here stay: the targets tell what became of them.
        """
        self.fence = fence
        for target in self.targets.values():
            target.ownership = Ownership.CLAIMING
            target.retry_at = now
            # The regular poll may be waiting for an end.
            self._send_poll(target, now, is_probe=True)

    # Orders.

    def start(self, task: Task, target: Target, now: float) -> None:
        """Orders a start; the target must be usable and have room."""
        number = max(task.run, self.fence * RUNS_PER_FENCE) + 1
        task.run = number
        task.target_id = target.record.target_id
        task.phase = TaskPhase.PLACED
        run = Run(
            task, task.name, number, task.spec.need, RunPhase.ORDERED, now
        )
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

    def stop_job(self, job: Job, now: float) -> None:
        """Stops all runs of a job."""
        for task in job.tasks:
            if task.phase is not TaskPhase.PLACED:
                continue
            target = self.target_by_task.get(task.name)
            run = target.runs.get(task.name) if target else None
            if run is not None and run.task is task:
                self._stop_run(target, run, now)

    def adopt_runs(self, job: Job, now: float) -> bool:
        """Gives a job the runs of its tasks that targets may still have.

        They were found at a take-over, or are being stopped for an earlier
        offer of the same job. A task whose run is being stopped waits until
        that is over.

        Returns:
            True if any of its tasks had begun.
        """
        adopted = False
        for task in job.tasks:
            if task.phase is not TaskPhase.WAITING:
                # Placed here, or an earlier placer saw its end already.
                continue
            if task.name in self.tasks_found_done:
                task.phase = TaskPhase.DONE
                job.open_tasks -= 1
                adopted = True
                continue
            target = self.target_by_task.get(task.name)
            run = target.runs.get(task.name) if target else None
            if target is None or run is None:
                continue
            adopted = True
            if run.task is None:
                run.need = task.spec.need
                target.available = target.available.minus(run.need)
                run.percent_at = now
            run.task = task
            task.phase = TaskPhase.PLACED
            task.run = run.number
            task.target_id = target.record.target_id
            self._send_poll(target, now)
        job.started = job.started or adopted
        return adopted

    def _extend_lease(self, target: Target, now: float) -> int:
        options = self.options
        deadline = target.extend_lease(
            now, options.max_lease, options.clock_drift
        )
        assert deadline is not None  # Usable targets have answered a poll.
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
        """Sends the regular poll, or a look, unless one is under way."""
        if target.probe_pending if is_probe else target.poll_pending:
            return
        if target.ownership is Ownership.FENCED:
            return
        has_claimed_runs = any(
            run.task is not None for run in target.runs.values()
        )
        deadline = None
        # Polls of a target that did not answer leave its lease alone, or the
        # runs there would never count as ended.
        if (
            has_claimed_runs
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
                POLL_WAIT_MS if has_claimed_runs and not is_probe else 0,
                now,
                is_probe,
            )
        )

    # Answers.

    def handle_start_answer(
        self, order: StartRun, answer: OrderAnswer, now: float
    ) -> None:
        """Takes the answer to a start."""
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
                self._handle_refused_start(target, run, reason, now)
            case LifeReplaced():
                self._handle_replaced(target, now)
            case NotSent():
                target.retry_at = now + CLAIM_RETRY_S
                self._finish_run(target, run, "not_sent", now)
            case NoAnswer():
                if run.phase is RunPhase.ORDERED:
                    run.phase = RunPhase.DOUBTFUL
                    run.doubtful_at = now
                    self._send_poll(target, now, is_probe=True)

    def _confirm_start(self, run: Run, now: float) -> None:
        run.phase = RunPhase.RUNNING
        run.confirmed_at = run.percent_at = now

    def _handle_refused_start(
        self, target: Target, run: Run, reason: Refusal, now: float
    ) -> None:
        if reason is Refusal.FENCE:
            self._handle_fence_lost(target)
            return
        if reason is Refusal.OLD_RUN and run.task is not None:
            run.task.run += RUNS_PER_FENCE
        if reason is Refusal.NO_ROOM:
            target.is_full = True
            self._send_poll(target, now, is_probe=True)
        if reason in (Refusal.UNHEALTHY, Refusal.INVALID, Refusal.TICKET):
            self._record_failure(target, "start_" + reason, now)
        self._finish_run(target, run, "refused_" + reason, now)

    def handle_stop_answer(
        self, order: StopRun, answer: OrderAnswer, now: float
    ) -> None:
        """Takes the answer to a stop."""
        target, run = self._find_run(order)
        if target is None or run is None:
            return
        match answer:
            case Accepted(clock_ms):
                target.record_clock(clock_ms, now)
                run.phase = RunPhase.STOPPED
                run.stopped_at = now
            case Refused(Refusal.FENCE, _):
                self._handle_fence_lost(target)
            case LifeReplaced():
                self._handle_replaced(target, now)
            case _:
                pass  # `tick` repeats it until the lease has ended.

    def handle_poll_answer(
        self, order: Poll, answer: PollAnswer, now: float
    ) -> None:
        """Takes the answer to a poll."""
        target = self._find_target(order.target_id, order.incarnation)
        if target is None:
            return
        if order.is_probe:
            target.probe_pending = False
        else:
            target.poll_pending = False
        match answer:
            case Report() as report:
                if (
                    report.incarnation
                    and report.incarnation != target.record.incarnation
                ):
                    record = attrs.evolve(
                        target.record, incarnation=report.incarnation
                    )
                    target = self.replace_incarnation(target, record, now)
                self._apply_report(target, order, report, now)
            case Refused(Refusal.FENCE, _):
                self._handle_fence_lost(target)
            case LifeReplaced():
                self._handle_replaced(target, now)
            case _:
                self._handle_missed_poll(target, now)

    def _handle_missed_poll(self, target: Target, now: float) -> None:
        """Tries again at once; a second miss makes the target unreachable."""
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
            self.log_target_event(
                "target unreachable", target.record.target_id, target.record
            )

    def _apply_report(
        self, target: Target, order: Poll, report: Report, now: float
    ) -> None:
        target.record_clock(report.clock_ms, now)
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
        running = {entry.task: entry for entry in report.running}
        if is_claim and running:
            # Another placer may have extended the lease until just now.
            options = self.options
            length = options.max_lease / (1.0 - options.clock_drift)
            target.lease_end = max(target.lease_end, now + length)
        for entry in report.running:
            self._apply_running(target, entry, is_claim, now)
        for end in report.ended:
            if end.sequence > target.processed_end:
                target.processed_end = end.sequence
                target.last_end_at = now
                self._apply_end(target, end, now)
        for run in list(target.runs.values()):
            if run.task_name not in running:
                self._apply_absence(target, run, order, now)
        if any(run.task is not None for run in target.runs.values()):
            self._send_poll(target, now)

    def _apply_running(
        self, target: Target, entry: RunningTask, is_claim: bool, now: float
    ) -> None:
        run = target.runs.get(entry.task)
        if run is None:
            run = Run(
                None,
                entry.task,
                entry.run,
                NO_RESOURCES,
                RunPhase.RUNNING,
                now,
                now,
            )
            target.reserve(run)
            self.target_by_task.setdefault(run.task_name, target)
            self.found_foreign_runs = True
            if not is_claim:
                # Only an order that was given up can appear this late.
                self._stop_run(target, run, now)
            return
        if run.number != entry.run:
            return
        if run.phase in (RunPhase.ORDERED, RunPhase.DOUBTFUL):
            self._confirm_start(run, now)
        if entry.percent != run.percent:
            run.percent = entry.percent
            run.percent_at = now
        elif run.phase is RunPhase.RUNNING and health.is_stalled(run, now):
            # Judged only when the target reports: without news, a run that
            # goes on looks the same.
            self._record_failure(target, "run_stalled", now)
            self._stop_run(target, run, now)

    def _apply_end(self, target: Target, end: EndedTask, now: float) -> None:
        run = target.runs.get(end.task)
        if run is None or run.number != end.run:
            if end.end is RunEnd.DONE and run is None:
                self.tasks_found_done.add(end.task)
                self.found_foreign_runs = True
            return
        if run.task is None and end.end is RunEnd.DONE:
            self.tasks_found_done.add(end.task)
            self.found_foreign_runs = True
        stopping = run.phase in (RunPhase.STOPPING, RunPhase.STOPPED)
        if end.end is RunEnd.DONE:
            health.record_success(target, run, now)
        elif end.end is RunEnd.FAILED and not stopping:
            self._record_failure(target, "run_failed", now)
        self._finish_run(target, run, end.end.value, now)

    def _apply_absence(
        self, target: Target, run: Run, order: Poll, now: float
    ) -> None:
        """A run is not among those in progress; decides what that means."""
        # Answers may overtake each other: only a poll that was sent after the
        # last news of the run says anything about it.
        if run.phase is RunPhase.DOUBTFUL and run.doubtful_at <= order.sent_at:
            self._stop_run(target, run, now)
        if run.phase is RunPhase.RUNNING and run.confirmed_at <= order.sent_at:
            self._finish_run(target, run, "vanished", now)

    # Loss.

    def _handle_fence_lost(self, target: Target) -> None:
        if target.ownership is Ownership.FENCED:
            return
        target.ownership = Ownership.FENCED
        self.log_target_event(
            "target obeys a higher fence",
            target.record.target_id,
            target.record,
        )
        self.effects.append(FenceLost(target.record.target_id))

    def _handle_replaced(self, target: Target, now: float) -> None:
        """Another life answered; waits for the list to tell which."""
        self.log_target_event(
            "target replaced", target.record.target_id, target.record
        )
        self._drop_runs(target, "target_replaced", now)
        self.targets.pop(target.record.target_id, None)
        self.rebuild_index()

    def _drop_runs(self, target: Target, cause: str, now: float) -> None:
        for run in list(target.runs.values()):
            self._finish_run(target, run, cause, now)

    def _record_failure(self, target: Target, cause: str, now: float) -> None:
        peers = self.targets_of_service(target.record.service)
        if health.record_failure(target, peers, now):
            fields = {
                "target": target.record.target_id,
                "cause": cause,
                "strikes": target.consecutive_failures,
                "for_ms": int((target.suspended_until - now) * 1000),
            }
            self.effects.append(Decision("target suspended", "", fields))

    def _finish_run(
        self, target: Target, run: Run, cause: str, now: float
    ) -> None:
        target.release(run)
        if self.target_by_task.get(run.task_name) is target:
            del self.target_by_task[run.task_name]
        task = run.task
        if task is not None and task.run == run.number:
            self.on_task_event(task, cause, now)

    def _find_run(
        self, order: StartRun | StopRun
    ) -> tuple[Target | None, Run | None]:
        """The target and the run that an order meant, if they still exist."""
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

    # Time.

    def tick(self, now: float) -> None:
        """Ends leases, repeats stops and sends the polls that are due."""
        for target in list(self.targets.values()):
            if target.runs:
                self._check_runs(target, now)
            elif self.is_expired(target, now):
                del self.targets[target.record.target_id]
                self.rebuild_index()
        self._send_due_polls(now)

    def _check_runs(self, target: Target, now: float) -> None:
        if now > target.lease_end:
            self._drop_runs(target, "lease_ended", now)
            return
        for run in list(target.runs.values()):
            self._check_run(target, run, now)

    def _check_run(self, target: Target, run: Run, now: float) -> None:
        match run.phase:
            case RunPhase.STOPPED:
                if now - run.stopped_at > 2 * self.options.stop_time:
                    self._finish_run(target, run, "stopped", now)
            case RunPhase.STOPPING:
                if now - run.stopped_at > STOP_RETRY_S:
                    self._stop_run(target, run, now)
            case RunPhase.DOUBTFUL:
                self._send_poll(target, now, is_probe=True)
            case RunPhase.RUNNING if run.task is None:
                if now - run.ordered_at > CLAIM_WINDOW_S:
                    self._stop_run(target, run, now)

    def _send_due_polls(self, now: float) -> None:
        for target in self.targets.values():
            if target.poll_pending or target.retry_at > now:
                continue
            if (
                target.ownership is Ownership.CLAIMING
                or any(run.task is not None for run in target.runs.values())
                or (
                    target.processed_end > target.confirmed_end
                    and now - target.last_end_at > ACKNOWLEDGE_AFTER_S
                )
            ):
                self._send_poll(target, now)
