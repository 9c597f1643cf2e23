"""Placement of the tasks of jobs on targets.

Only `Placer` starts tasks. These rules keep a task from running twice at the
same time:

- A run ends at the latest with its target's lease, which lasts no longer than
  the permission of any entry (`_permissions.py` has the rule). A placer extends
  the lease of a target only while all runs on it belong to its own jobs in
  progress, since another placer that cannot reach the target counts on the end
  of the lease. A run whose stop is not confirmed yet belongs to none.
- A target accepts commands only with the highest fencing token that it has
  seen, so that only one placer at a time controls it.
- After a start without an answer, the placer probes the target and stops the
  run if it is missing. The task starts again only when the target has confirmed
  the stop or its lease has ended.
- A new placer adopts the runs that it finds on targets, and stops those whose
  job no entry offers again.
"""

import math
import random
from collections.abc import Collection
from collections.abc import Iterable

from anvilford.placement import _admission as admission
from anvilford.placement._choice import AMPLE_FREE_SHARE
from anvilford.placement._choice import choose_target
from anvilford.placement._choice import waits_for_faster_target
from anvilford.placement._cold import expected_warm_wait
from anvilford.placement._crashes import crash_outcome
from anvilford.placement._crashes import CRASHES_TO_GIVE_UP
from anvilford.placement._crashes import CrashHistory
from anvilford.placement._earlier_jobs import EarlierJobs
from anvilford.placement._earlier_jobs import ExpectedOffer
from anvilford.placement._evacuation import remaining_targets
from anvilford.placement._evacuation import RemainingTargets
from anvilford.placement._fleet import Fleet
from anvilford.placement._model import CANCELED_OUTCOME
from anvilford.placement._model import CancelResult
from anvilford.placement._model import Offer
from anvilford.placement._model import Outcome
from anvilford.placement._model import OutcomeKind
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import TargetRecord
from anvilford.placement._orders import Decision
from anvilford.placement._orders import Effect
from anvilford.placement._orders import OrderAnswer
from anvilford.placement._orders import Poll
from anvilford.placement._orders import PollAnswer
from anvilford.placement._orders import Settle
from anvilford.placement._orders import StartRun
from anvilford.placement._orders import StopRun
from anvilford.placement._refusals import check_admission
from anvilford.placement._refusals import is_too_late
from anvilford.placement._run_numbers import started_under_earlier_fence
from anvilford.placement._start_log import describe_job_start
from anvilford.placement._start_log import describe_repeated_start
from anvilford.placement._state import Job
from anvilford.placement._state import Target
from anvilford.placement._state import Task
from anvilford.placement._state import TaskPhase
from anvilford.placement._view import build_view
from anvilford.placement._view import ServiceView

# Maximum age of the cached view of a service. With hundreds of targets,
# building a view takes longer than all other work for an event.
MAX_VIEW_AGE_S = 0.01
# Time after a repeated offer by which earlier runs on reachable targets have
# been found; any others are on unreachable targets. Callers repeat a request
# 1.3 s after status 504, when those runs have ended.
RUN_DISCOVERY_S = 0.5
# Weight of a new delay in the moving average. With one delay each 20 ms or
# later, a processor that is short of time is noticed within 0.1 s.
EVENT_DELAY_WEIGHT = 0.3
# How long before its runs have to end a job without a caller is stopped. A stop is
# repeated each 0.1 s.
KEPT_STOP_S = 0.3
# Most jobs that go on without a caller. The members remember more of them.
MAX_KEPT_JOBS = 500


class Placer:
    """Places jobs on the targets that accept this placer's fencing token.

    Performs no I/O and reads no clock: each event is a method call with the
    current time. After one or several events, the owner calls `dispatch`, and
    then carries out the effects from `pop_effects`.

    Attributes:
        options: Parameters of the placer.
        rng: Random generator for the jitter of retry delays.
        jobs: Jobs in progress, by id.
        effects: Effects that have not been returned yet.
        event_delay: Time by which the owner handles events late, in seconds;
            set by `record_event_delay`.
        crashes: Targets that were lost while they ran tasks. The process
            keeps it when it stops leading.
        fleet: Targets and runs.
    """

    def __init__(
        self,
        fence: int,
        now: float,
        options: PlacementOptions,
        rng: random.Random,
        crashes: CrashHistory | None = None,
    ):
        self.options = options
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.effects: list[Effect] = []
        self.event_delay = 0.0
        self.crashes = crashes or CrashHistory()
        self.fleet = Fleet(
            fence,
            now,
            options,
            self.effects,
            self._handle_task_event,
            self.crashes,
        )
        self._waiting: dict[str, Job] = {}
        # Jobs in progress whose callers are gone, by id.
        self._kept: dict[str, Job] = {}
        self._earlier_jobs = EarlierJobs()
        # Latest time at which each entry is known to have followed this placer.
        self._entry_contacts: dict[str, float] = {}
        self._views: dict[str, ServiceView] = {}
        self._remaining_targets: dict[str, RemainingTargets] = {}
        # Time by which runs that other placers started before the token was
        # last raised have ended.
        self._earlier_runs_end_by = 0.0

    @property
    def fence(self) -> int:
        """Fencing token of this placer's commands."""
        return self.fleet.fence

    @property
    def outcomes(self) -> dict[str, tuple[float, Outcome]]:
        """Time and outcome of recently ended jobs, by job id."""
        return self._earlier_jobs.outcomes

    def pop_effects(self) -> list[Effect]:
        """Returns and clears the effects since the last call."""
        effects = self.effects[:]
        self.effects.clear()
        return effects

    def count_waiting_jobs(self) -> dict[str, int]:
        """Returns the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for job in self._waiting.values():
            if not job.started:
                counts[job.policy.name] = counts.get(job.policy.name, 0) + 1
        return counts

    # Handlers of events from entries.

    def offer(self, offer: Offer, now: float) -> None:
        """Accepts, refuses or answers a job.

        A repeated offer of a job in progress joins it. A job that has ended
        within `OUTCOME_RETENTION_S` is answered with its outcome.
        """
        if offer.job_id in self.jobs:
            self._join(self.jobs[offer.job_id], offer, now)
            return
        known = self._earlier_jobs.known_outcome(offer.job_id)
        if known is not None:
            self.effects.append(Settle(offer.job_id, known))
            return
        if self._earlier_jobs.is_cancelled(offer.job_id):
            self._settle_cancelled(offer, now)
            return
        may_have_run = offer.again
        offer = self._earlier_jobs.recognize_repeated(offer, now)
        if offer.again and self.fleet.has_unclaimed_targets(now):
            may_have_run = True
        job = self._create_job(offer, now)
        found = self._find_runs(job, now)
        self._update_held(job)
        may_have_run = may_have_run or found or job.has_lost_target
        refusal = None if may_have_run else self._check_admission(job, now)
        if refusal is not None:
            if job.has_run_before:
                refusal = Outcome(OutcomeKind.LOST, refusal.reason)
                self._earlier_jobs.record_lost(job.job_id, now)
            self.effects.append(Settle(job.job_id, refusal))
            return
        job.set_waiting([t for t in job.tasks if t.phase is TaskPhase.WAITING])
        self.jobs[job.job_id] = job
        self._log_decision(
            "job accepted",
            job.job_id,
            {
                "entry": offer.entry,
                "proof_age_ms": self._proof_age_ms(offer.entry, now),
                "queue": job.policy.name,
                "tasks": len(job.tasks),
                "objective_ms": int(job.objective * 1000),
                "again": offer.again,
                "runs_found": found,
            },
        )
        if job.waiting:
            self._waiting[job.job_id] = job
        self._complete_if_done(job, now)

    def _proof_age_ms(self, entry: str, now: float) -> int | None:
        """Returns how long ago an entry is known to have followed, for the log.

        Returns:
            Age in milliseconds; None if the entry has not been heard.
        """
        followed_at = self._entry_contacts.get(entry)
        return None if followed_at is None else int((now - followed_at) * 1000)

    def _join(self, job: Job, offer: Offer, now: float) -> None:
        """Adds an entry to a job in progress, with what it knows of the job.

        The entry may have offered the job to another placer meanwhile. Of
        several requests for a job, the one that was accepted under the newest
        configuration governs its policy. Its offer may arrive first.
        """
        if offer.configuration_version > job.policy_version:
            job.set_policy(offer.policy, offer.configuration_version)
        job.entries.add(offer.entry)
        job.lost_entries.discard(offer.entry)
        self._update_kept(job, now)
        job.deadline = max(job.deadline, now + offer.remaining)
        if offer.again:
            job.unseen_runs_until = now + self.options.permission_lifetime
            job.add_possible_targets(
                offer.placed if offer.placed_is_known else None
            )
            self.fleet.tasks_found_done.update(job.task_names(offer.done))
        self._log_decision(
            "offer joined",
            job.job_id,
            {
                "entry": offer.entry,
                "proof_age_ms": self._proof_age_ms(offer.entry, now),
                "configuration": job.policy_version,
                "again": offer.again,
                "placed_elsewhere": job.placed_elsewhere,
            },
        )
        self._find_runs(job, now)
        self._update_waiting(job, now)

    def expect_resent_jobs(
        self, job_ids: Iterable[str], entry: str, now: float
    ) -> None:
        """Records jobs whose callers may send them again.

        Another entry then offers them as new, although an earlier placer may
        have started them. Such offers are treated as repeated ones.

        Args:
            job_ids: Ids of the jobs.
            entry: Entry that reports them; empty if it is not known. It has
                told this placer itself whether those that it offers may run
                elsewhere.
            now: Current time in seconds.
        """
        until = now + self.options.permission_lifetime
        for job_id in job_ids:
            placed = self._earlier_jobs.expected_targets(job_id)
            expected = ExpectedOffer(until, placed)
            self._earlier_jobs.expect_offer(job_id, expected)
            job = self.jobs.get(job_id)
            if job is None:
                continue
            if entry in job.entries:
                job.lost_entries.add(entry)
                self._update_kept(job, now)
            elif not job.started:
                job.unseen_runs_until = until
                job.placed_elsewhere = None

    @property
    def kept_jobs(self) -> list[str]:
        """Ids of the jobs in progress whose callers are gone."""
        return list(self._kept)

    def _update_kept(self, job: Job, now: float) -> None:
        """Updates whether a job goes on without a caller.

        Its caller may send it to any entry. Runs end as they would have without
        this, unless `limit_leases` extends that.
        """
        if not job.entries <= job.lost_entries:
            self._kept.pop(job.job_id, None)
            job.kept_since, job.kept_until = 0.0, math.inf
        elif not job.kept_since:
            self._kept[job.job_id] = job
            job.kept_since, job.kept_until = now, self.fleet.leases_end_by

    def _stop_kept_jobs(self, now: float) -> None:
        """Stops jobs without a caller in time before their runs have to end."""
        for job in list(self._kept.values()):
            if now > job.kept_until - KEPT_STOP_S or (
                len(self._kept) > MAX_KEPT_JOBS
            ):
                lost = Outcome(OutcomeKind.LOST, "caller_lost")
                self._end_job(job, lost, now)

    def record_event_delay(self, seconds: float) -> None:
        """Records how late the owner handled an event.

        A process that is short of processor time sends each start late, and
        reads the end of each run late. Admission accounts for both.
        """
        self.event_delay += EVENT_DELAY_WEIGHT * (seconds - self.event_delay)

    def record_contact(self, entry: str, followed_at: float) -> None:
        """Records that an entry followed this placer at a time in seconds."""
        self._entry_contacts[entry] = followed_at

    def limit_leases(
        self, oldest_proof: float, oldest_of_all: float = -math.inf
    ) -> None:
        """Lets no lease outlast the permission of any entry.

        A job whose caller is gone has no permission. It goes on only once each
        entry of the site has followed this placer since it learned of it, and as
        long as all of them do: no other placer gets the job as new then.

        Args:
            oldest_proof: Time of the oldest proof that an entry with jobs here
                followed this placer, in seconds.
            oldest_of_all: The same of all entries of the site, with jobs or
                without; minus infinity while one of them is missing.
        """
        lifetime = self.options.permission_lifetime
        self.fleet.leases_end_by = oldest_proof + lifetime
        for job in self._kept.values():
            if oldest_of_all >= job.kept_since:
                job.kept_until = max(job.kept_until, oldest_of_all + lifetime)

    def record_missing_members(self, now: float) -> None:
        """Records that entries are missing; they may follow another placer."""
        self.fleet.record_missing_members(now)

    def withdraw(
        self, job_id: str, entry: str, reason: str, now: float
    ) -> None:
        """Removes an entry that waits for a job.

        Without any entry left, the job is stopped with outcome `LOST`.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return
        job.entries.discard(entry)
        job.lost_entries.discard(entry)
        if not job.entries:
            self._end_job(job, Outcome(OutcomeKind.LOST, reason), now)
            return
        self._update_kept(job, now)

    def cancel(self, job_id: str, now: float) -> CancelResult:
        """Ends a job for its caller, with the outcome `CANCELED_OUTCOME`.

        A job that is not in progress does not start if it is offered within
        `OUTCOME_RETENTION_S`, as another entry may do before it learns of this.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return self._earlier_jobs.cancel(job_id, now)
        self._end_job(job, CANCELED_OUTCOME, now)
        return CancelResult.CANCELED

    def _settle_cancelled(self, offer: Offer, now: float) -> None:
        """Answers the offer of a job that was cancelled before."""
        job_id = offer.job_id
        self._earlier_jobs.record_outcome(job_id, CANCELED_OUTCOME, now)
        self._log_decision(
            "cancelled job not started", job_id, {"entry": offer.entry}
        )
        self.effects.append(Settle(job_id, CANCELED_OUTCOME))

    def stop_jobs_of(self, entry: str, now: float) -> None:
        """Stops all jobs of an entry that may have left for another placer.

        A job ends with outcome `LOST` for all entries that wait for it, since
        the other placer may start its tasks once they have been stopped here.
        It may also go on with those on targets that cannot be reached, while
        the caller sends the job to another entry.
        """
        for job in list(self.jobs.values()):
            if entry in job.entries:
                placed = self._possible_targets(job, now)
                until = now + self.options.permission_lifetime
                expected = ExpectedOffer(until, placed, placed_is_known=True)
                self._earlier_jobs.expect_offer(job.job_id, expected)
                self._end_job(
                    job, Outcome(OutcomeKind.LOST, "entry_silent"), now
                )

    def release_jobs(self, now: float) -> None:
        """Releases all jobs with their runs, for another placer to adopt.

        The outcome `MOVED` of each job names its completed tasks and the
        targets of its runs.
        """
        for job in list(self.jobs.values()):
            done = tuple(t.key for t in job.tasks if t.phase is TaskPhase.DONE)
            moved = Outcome(
                OutcomeKind.MOVED,
                "placer_left",
                0,
                done,
                self._possible_targets(job, now),
            )
            self.effects.append(Settle(job.job_id, moved))
        self.jobs.clear()
        self._waiting.clear()
        self._kept.clear()
        self.fleet.clear()

    def _possible_targets(self, job: Job, now: float) -> tuple[str, ...]:
        """Returns the ids of all targets that may run tasks of a job.

        They include those whose lease has ended, if another placer may have
        extended it.
        """
        known = self.fleet.target_ids_of_job(job)
        if job.lease_ended_at and self._may_have_moved(job):
            lost = {task.target_id for task in job.waiting if task.target_id}
            known = (*known, *lost)
        if now >= job.unseen_runs_until:
            return known
        if job.placed_elsewhere is None:
            return tuple(self.fleet.targets)
        return (*known, *job.placed_elsewhere)

    # Handlers of events from the platform's target list and from targets.

    def apply_target_list(
        self,
        records: Iterable[TargetRecord],
        dropped: Iterable[TargetRecord],
        now: float,
        is_current: bool = True,
        evacuated_zones: frozenset[str] = frozenset(),
    ) -> None:
        """Updates the targets from a complete copy of the platform's list.

        Args:
            records: Targets in the list.
            dropped: Targets that were removed from the list in the last
                seconds.
            now: Current time in seconds.
            is_current: Whether the list has all targets that other placers
                may have used.
            evacuated_zones: Zones on whose targets no task may start.
        """
        self.fleet.apply_target_list(
            records, dropped, now, is_current, evacuated_zones
        )

    def raise_fence(
        self, fence: int, now: float, left_zones: Collection[str] = ()
    ) -> None:
        """Adopts a higher fencing token and claims all targets with it.

        Another placer is active: it may have extended leases whose ends are
        known here, or have moved runs that this placer takes for its own.

        Args:
            fence: The higher token.
            now: Current time in seconds.
            left_zones: As for `Fleet.raise_fence`.
        """
        self._earlier_runs_end_by = now + self.options.permission_lifetime
        for job in self.jobs.values():
            if job.lease_ended_at:
                self._expect_unseen_runs(job)
        self.fleet.raise_fence(fence, now, left_zones)

    def _expect_unseen_runs(self, job: Job) -> None:
        """Lets a job wait for the claims that follow a raised token."""
        job.unseen_runs_until = self._earlier_runs_end_by
        job.placed_elsewhere = None

    def handle_start_answer(
        self, order: StartRun, answer: OrderAnswer, now: float
    ) -> None:
        """Handles the answer to a start."""
        self.fleet.handle_start_answer(order, answer, now)

    def handle_stop_answer(
        self, order: StopRun, answer: OrderAnswer, now: float
    ) -> None:
        """Handles the answer to a stop."""
        self.fleet.handle_stop_answer(order, answer, now)

    def handle_poll_answer(
        self, order: Poll, answer: PollAnswer, now: float
    ) -> None:
        """Handles the answer to a poll, and adopts runs that it revealed."""
        self.fleet.handle_poll_answer(order, answer, now)
        if self.fleet.found_foreign_runs:
            self.fleet.found_foreign_runs = False
            self._adopt_runs_for_waiting_jobs(now)

    def tick(self, now: float) -> None:
        """Handles timeouts; to be called every 20 ms while there are jobs."""
        self._stop_kept_jobs(now)
        self.fleet.tick(now)
        self.crashes.drop_old_losses(now)
        for job in list(self._waiting.values()):
            self._end_if_too_late(job, now)
        self._earlier_jobs.drop_old(now)

    def _adopt_runs_for_waiting_jobs(self, now: float) -> None:
        """Assigns newly found runs to jobs that were offered before."""
        for job in list(self._waiting.values()):
            self._adopt_runs(job, now)

    def _adopt_runs(self, job: Job, now: float) -> None:
        """Assigns known runs and ends to the waiting tasks of a job."""
        if self._find_runs(job, now):
            self._update_waiting(job, now)

    def _find_runs(self, job: Job, now: float) -> bool:
        """Adopts known runs and ends of a job; returns whether there were any.

        An earlier placer that started one task may have started the others, on
        targets that are not claimed yet. The entry need not know: the caller
        may have sent the job to it after the change of the placer.
        """
        found = self.fleet.adopt_runs(job, now)
        if job.has_earlier_runs and not job.unseen_runs_until:
            job.unseen_runs_until = now + self.options.permission_lifetime
            job.placed_elsewhere = None
        return found

    def _update_waiting(self, job: Job, now: float) -> None:
        """Updates the waiting tasks of a job after tasks were adopted or done."""
        job.set_waiting(
            [t for t in job.waiting if t.phase is TaskPhase.WAITING]
        )
        if not job.waiting:
            self._waiting.pop(job.job_id, None)
        self._complete_if_done(job, now)

    # Decisions on the admission and placement of jobs.

    def _create_job(self, offer: Offer, now: float) -> Job:
        job = Job(
            offer.job_id,
            offer.policy,
            offer.spec,
            now - offer.waited,
            now + offer.remaining,
            now + self.options.permission_lifetime if offer.again else 0.0,
            offer.placed if offer.placed_is_known else None,
            {offer.entry},
            policy_version=offer.configuration_version,
            has_run_before=self._earlier_jobs.was_lost(offer.job_id),
        )
        job.initialize()
        self.fleet.tasks_found_done.update(job.task_names(offer.done))
        return job

    def _check_admission(self, job: Job, now: float) -> Outcome | None:
        """Returns the refusal of a new job, or None if it is admitted."""
        service = job.policy.service
        view = self._view(service, now)
        needs_evacuated = self._needs_evacuated_zone(job, now)
        if (
            not view.targets
            and not needs_evacuated
            and self.fleet.is_claiming(now)
        ):
            return None
        waiting = [
            other
            for other in self._waiting.values()
            if other.policy.service == service and not other.is_held
        ]
        check = check_admission(
            job, waiting, view, self.event_delay, self.options, now
        )
        if not needs_evacuated and (
            check.is_admitted
            or self.fleet.cold.admits(
                job, check.backlog, view, self.options, now
            )
        ):
            return None
        reason = "overload" if view.targets else "no_target"
        if needs_evacuated:
            reason = "evacuated"
        capacity = view.capacity
        retry = admission.retry_after_ms(check.backlog, capacity, self.rng)
        self._log_decision(
            "job refused",
            job.job_id,
            {
                "queue": job.policy.name,
                "reason": reason,
                "expected_wait_ms": int(min(check.wait, 3600.0) * 1000),
                "event_delay_ms": int(self.event_delay * 1000),
                "objective_ms": int(job.objective * 1000),
                "usable_targets": len(view.targets),
                "free_share": round(capacity.free_share, 2),
                "jobs_waiting": len(self._waiting),
                "list_version": self.fleet.list_version,
                "retry_after_ms": retry,
            },
        )
        return Outcome(OutcomeKind.REFUSED, reason, retry)

    def _end_if_too_late(self, job: Job, now: float) -> None:
        """Ends a waiting job that cannot be answered in time.

        A job with started or completed tasks ends as `LOST` after its
        deadline. Any other job ends once `is_too_late`: as `REFUSED`, or as
        `LOST` if an earlier placer may have run its tasks.
        """
        if job.has_lost_target:
            self._end_if_hopeless(job, now)
            return
        if job.started or job.open_tasks < len(job.tasks):
            if now > job.deadline:
                self._end_job(job, Outcome(OutcomeKind.LOST, "deadline"), now)
            return
        view = self._view(job.policy.service, now)
        capacity = view.capacity
        earliest = self._earliest_start(job, now)
        needs_evacuated = self._needs_evacuated_zone(job, now)
        if not (
            needs_evacuated or is_too_late(job, earliest, capacity, now)
        ) or self._may_find_runs(job, now):
            return
        reason = "evacuated" if needs_evacuated else "too_late"
        if job.unseen_runs_until or job.has_run_before:
            outcome = Outcome(OutcomeKind.LOST, reason)
        else:
            retry = admission.retry_after_ms(job.demand, capacity, self.rng)
            outcome = Outcome(OutcomeKind.REFUSED, reason, retry)
        self._log_decision(
            "job given up",
            job.job_id,
            {
                "queue": job.policy.name,
                "waited_ms": int((now - job.arrived_at) * 1000),
                "objective_ms": int(job.objective * 1000),
                "usable_targets": len(view.targets),
                "outcome": outcome.kind.name.lower(),
            },
        )
        self._end_job(job, outcome, now)

    def _needs_evacuated_zone(self, job: Job, now: float) -> bool:
        """Returns whether a waiting task of a job fits there only."""
        if not self.fleet.evacuated_zones:
            return False
        service = job.policy.service
        remaining = self._remaining_targets.get(service)
        index_version = self.fleet.index_version
        if remaining is None or remaining.index_version != index_version:
            remaining = self._remaining_targets[service] = remaining_targets(
                self.fleet.targets_of_service(service), index_version, now
            )
        best_speed = self._view(service, now).capacity.best_speed
        return remaining.requires_evacuated(job, best_speed, self.options)

    def _update_held(self, job: Job) -> None:
        """Updates what the losses of targets mean for the waiting tasks.

        A task under which so many targets were lost that it would be given up
        if they had crashed does not start until that is known. The job cannot
        be completed without it, so its other tasks do not start either.
        """
        job.has_lost_target = job.is_held = False
        for task in job.waiting:
            task.has_lost_target = self.crashes.count_losses(task.name) > 0
            job.has_lost_target = job.has_lost_target or task.has_lost_target
            crashes = self.crashes.count_possible_crashes(task.name)
            job.is_held = job.is_held or crashes >= CRASHES_TO_GIVE_UP

    def _end_if_hopeless(self, job: Job, now: float) -> None:
        """Ends a job with lost targets if a task crashed them, or at its end.

        It is never refused, since its tasks may have run.
        """
        self._update_held(job)
        for task in job.waiting:
            crashes = self.crashes.count_crashes(task.name)
            if crashes >= CRASHES_TO_GIVE_UP:
                outcome = crash_outcome(self.crashes, task.name)
                self._log_decision(
                    "task given up",
                    job.job_id,
                    {
                        "task": task.key,
                        "crashed_targets": crashes,
                        "targets": self.crashes.crashed_targets(task.name),
                        "run": task.run,
                    },
                )
                self._end_job(job, outcome, now)
                return
        if now > job.deadline:
            self._end_job(job, Outcome(OutcomeKind.LOST, "deadline"), now)

    def _earliest_start(self, job: Job, now: float) -> float:
        """Returns a lower bound on the start time of a waiting job.

        Once its earlier runs are not expected to be found any more, it must
        wait until those runs have ended.
        """
        if self._is_discovery_over(job, now) and (
            self.fleet.may_have_unseen_runs(job, now)
        ):
            return job.unseen_runs_until
        return now

    def _may_find_runs(self, job: Job, now: float) -> bool:
        """Returns whether earlier runs of a waiting job may still be found.

        They may be nearly done, so that the time of a run from its start does
        not tell whether the job is too late.
        """
        return (
            now <= job.deadline
            and not self._is_discovery_over(job, now)
            and self.fleet.may_have_unseen_runs(job, now)
        )

    def _is_discovery_over(self, job: Job, now: float) -> bool:
        """Returns whether `RUN_DISCOVERY_S` have passed since the offer."""
        return now > (
            job.unseen_runs_until
            - self.options.permission_lifetime
            + RUN_DISCOVERY_S
        )

    def dispatch(self, now: float) -> None:
        """Starts waiting tasks on targets with free resources."""
        if not self._waiting:
            return
        # A caller may have sent a job again to another entry, which offers it
        # as new. The claims under way may still reveal its runs.
        is_claiming = self.fleet.is_claiming(now)
        jobs_by_service: dict[str, list[Job]] = {}
        for job in self._waiting.values():
            if job.is_held or job.kept_since:
                continue
            is_new = not job.started and not job.unseen_runs_until
            if is_new and is_claiming:
                continue
            if job.unseen_runs_until > now:
                self.fleet.ask_for_runs(job, now)
            may_run_elsewhere = job.unseen_runs_until or job.lease_ended_at
            if not may_run_elsewhere or not self._must_wait(job, now):
                jobs_by_service.setdefault(job.policy.service, []).append(job)
        for service, jobs in jobs_by_service.items():
            self._dispatch_service(service, jobs, now)

    def _dispatch_service(
        self, service: str, jobs: list[Job], now: float
    ) -> None:
        """Starts tasks of the given jobs, the most urgent jobs first.

        Runs after each answer of a target. Under overload, hundreds of jobs
        wait and hardly any target is free, so the free targets are found
        before the jobs are sorted, and a job without a start costs little.
        """
        view = self._view(service, now)
        smallest = min(job.smallest_cpu for job in jobs)
        free, cold = view.with_room(smallest)
        if not free and not cold:
            return
        best_speed = view.capacity.best_speed
        # Not that of the first target: the view may be older than the speeds.
        best_free = max((target.speed for target in free), default=1.0)
        most_free = max(t.available.cpu_millis for t in (*free, *cold))
        warm_wait = expected_warm_wait(jobs, view) if cold else 0.0
        for job in admission.order_jobs(jobs, view.capacity, now):
            if job.smallest_cpu > most_free or (
                not cold
                and waits_for_faster_target(job, best_free, best_speed, now)
            ):
                continue
            if self._place_job(job, free, cold, warm_wait, view.capacity, now):
                free = [t for t in free if t.available.cpu_millis >= smallest]
                if cold:
                    cold = [
                        t for t in cold if t.available.cpu_millis >= smallest
                    ]
                if not free and not cold:
                    return

    def _must_wait(self, job: Job, now: float) -> bool:
        """Returns whether runs of another placer may still be in progress."""
        return (
            job.unseen_runs_until > now
            and self.fleet.may_have_unseen_runs(job, now)
        ) or (job.lease_ended_at > 0 and self._may_have_moved(job))

    def _may_have_moved(self, job: Job) -> bool:
        """Returns whether an entry may have offered the job to another placer.

        That placer would have adopted the job's runs and extended their leases,
        so that they continue after the end of the lease known here. An entry
        that followed this placer after that end has stayed, or its return was
        noticed by its token (`raise_fence`) or its offer (`_join`).
        """
        return any(
            self._entry_contacts.get(entry, 0.0) <= job.lease_ended_at
            for entry in job.entries
        )

    def _place_job(
        self,
        job: Job,
        free: list[Target],
        cold: list[Target],
        warm_wait: float,
        capacity: admission.Capacity,
        now: float,
    ) -> bool:
        """Starts the tasks of a job that fit; returns whether one started."""
        has_ample_capacity = capacity.free_share > AMPLE_FREE_SHARE
        waiting = job.waiting
        unplaced = []
        # The tasks of a step are identical: once no target can take one of
        # them, no target can take the others.
        steps_without_target: set[int] = set()
        for position, task in enumerate(waiting):
            if len(steps_without_target) == len(job.spec.steps):
                unplaced += waiting[position:]
                break
            target = None
            if task.step not in steps_without_target and job.is_ready(task):
                target = choose_target(
                    task,
                    free,
                    now,
                    has_ample_capacity,
                    capacity.best_speed,
                    self.options,
                    self.fleet.interference,
                )
                if target is None and cold:
                    target = self.fleet.cold.choose(
                        task,
                        cold,
                        warm_wait,
                        capacity.best_speed,
                        self.options,
                        now,
                    )
            # A task that may crash its target is started only on one that is
            # known to be alive, so that a crash after it tells its cause.
            if target is None or (
                task.has_lost_target
                and not self.fleet.check_liveness(target, now)
            ):
                steps_without_target.add(task.step)
                unplaced.append(task)
                continue
            is_repeated = task.run > 0
            self.fleet.start(task, target, now)
            if not job.started:
                job.started = True
                fields = describe_job_start(job, task, target, self.fleet, now)
                self._log_decision("job started", job.job_id, fields)
            elif is_repeated:
                fields = describe_repeated_start(task, target, self.fleet, now)
                self._log_decision("task started again", job.job_id, fields)
        if len(unplaced) == len(waiting):
            return False
        job.set_waiting(unplaced)
        if not unplaced:
            self._waiting.pop(job.job_id, None)
        return True

    def _view(self, service: str, now: float) -> ServiceView:
        """Returns a view of a service that is at most `MAX_VIEW_AGE_S` old.

        It holds no target that has been replaced or removed since.
        """
        view = self._views.get(service)
        if (
            view is None
            or view.index_version != self.fleet.index_version
            or not 0 <= now - view.created_at < MAX_VIEW_AGE_S
        ):
            view = self._views[service] = build_view(
                self.fleet.targets_of_service(service),
                self.fleet.index_version,
                now,
            )
        return view

    # Handlers of task events, which the fleet reports.

    def _handle_task_event(self, task: Task, cause: str, now: float) -> None:
        """Completes a task, fails its job or lets the task wait again.

        Args:
            task: Task whose current run has ended or is lost.
            cause: Value of the `RunEnd`, or the reason for the loss.
            now: Current time in seconds.
        """
        job = task.job
        if self.jobs.get(job.job_id) is not job:
            return
        if task.phase is TaskPhase.DONE:
            return
        if cause == "done":
            task.phase = TaskPhase.DONE
            job.open_tasks -= 1
            self._complete_if_done(job, now)
            return
        if cause == "failed":
            task.failures += 1
            if task.failures >= job.policy.max_attempts:
                reason = "attempts_exhausted"
                self._end_job(job, Outcome(OutcomeKind.FAILED, reason), now)
                return
        self._log_decision(
            "task starts again",
            job.job_id,
            {
                "task": task.key,
                "run": task.run,
                "target": task.target_id,
                "cause": cause,
                "failures": task.failures,
            },
        )
        if cause == "lease_ended":
            job.lease_ended_at = now
        if now < self._earlier_runs_end_by and started_under_earlier_fence(
            task.run, self.fence
        ):
            self._expect_unseen_runs(job)
        task.phase = TaskPhase.WAITING
        job.set_waiting([*job.waiting, task])
        self._waiting[job.job_id] = job
        self._update_held(job)
        # A run that another placer started may have been found meanwhile.
        self._adopt_runs(job, now)

    def _complete_if_done(self, job: Job, now: float) -> None:
        if job.open_tasks == 0:
            self._end_job(job, Outcome(OutcomeKind.COMPLETED), now)

    def _end_job(self, job: Job, outcome: Outcome, now: float) -> None:
        """Removes a job, stops its runs and reports its outcome."""
        self.jobs.pop(job.job_id, None)
        self._waiting.pop(job.job_id, None)
        self._kept.pop(job.job_id, None)
        self.fleet.stop_job(job, now)
        if outcome.kind in (OutcomeKind.COMPLETED, OutcomeKind.FAILED):
            self._earlier_jobs.record_outcome(job.job_id, outcome, now)
        elif job.started or job.has_run_before:
            self._earlier_jobs.record_lost(job.job_id, now)
        self._log_decision(
            "job ended",
            job.job_id,
            {
                "outcome": outcome.kind.name.lower(),
                "reason": outcome.reason,
                "elapsed_ms": int((now - job.arrived_at) * 1000),
                "objective_ms": int(job.objective * 1000),
            },
        )
        self.effects.append(Settle(job.job_id, outcome))

    def _log_decision(self, event: str, job_id: str, fields: dict) -> None:
        """Appends a decision about a job to the effects."""
        self.effects.append(Decision(event, job_id, fields))
