"""Targets known to a placer, kept in sync with the platform's list."""

import math
from collections.abc import Iterable
from collections.abc import Mapping

from anvilford.placement._cold import ColdTargets
from anvilford.placement._crashes import CrashHistory
from anvilford.placement._crashes import LossState
from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import TargetRecord
from anvilford.placement._orders import Decision
from anvilford.placement._orders import Effect
from anvilford.placement._state import Job
from anvilford.placement._state import Ownership
from anvilford.placement._state import RunPhase
from anvilford.placement._state import Target

# Retry delay of a target without runs that did not answer, and of one to which
# a start could not be sent. Also the time that the first claims may take.
CLAIM_RETRY_S = 0.25
# How long a target is kept after the platform's list has dropped it and all
# members were heard again. Until then, another placer may have it behind a
# network partition, of any length. Its row is back 2 s after that, and the runs
# of the other placer have ended.
UNLISTED_KEEP_S = 20.0
# Time off the list after which a target counts as gone in the check of lost
# members (`Fleet.controls_zone`). Silence does not tell a machine and a target
# that are gone from a part of their zone that is cut off, and neither is
# forgotten while the other is missing. This limit ends that; cuts last minutes.
GONE_FOR_GOOD_S = 600.0

# Minimum number of runs behind a speed that is passed to the next placer. With
# fewer, the speed depends more on the tasks than on the target.
MIN_SPEED_SAMPLES = 3


def _incarnation_key(target: Target) -> str:
    """Returns a key for a target's id and incarnation.

    The incarnation is part of the key because a restarted target may be of
    another kind, and so of another speed.
    """
    return f"{target.record.target_id}/{target.record.incarnation}"


class TargetList:
    """Index of the targets by id and by service.

    Attributes:
        claims_began_at: Time at which the placer started, or last raised its
            fencing token.
        options: Parameters of the placer.
        effects: List to which decisions are appended.
        targets: Targets by id.
        target_by_task: Target that may run a task, by task name.
        list_version: Highest row version seen in the platform's list.
        list_is_current: Whether the list has all targets that other placers
            may have used.
        list_complete_at: Time from which no target is missing that was removed
            from the list before this process read it.
        members_missing_at: Time at which a member was last missing.
        has_forgotten_targets: Whether targets were removed that were off the
            list while a member was missing, which may still have them.
        crashes: Targets that were lost while they ran tasks.
        cold: What runs on cold targets have shown.
        evacuated_zones: Zones on whose targets no task may start.
        index_version: Increases whenever a target is added, replaced or
            removed.
    """

    def __init__(
        self,
        now: float,
        options: PlacementOptions,
        effects: list[Effect],
        crashes: CrashHistory,
    ):
        self.claims_began_at = now
        self.options = options
        self.effects = effects
        self.targets: dict[str, Target] = {}
        self.target_by_task: dict[str, Target] = {}
        self.list_version = 0
        self.list_is_current = True
        self.list_complete_at = options.list_complete_at
        self.members_missing_at = -math.inf
        self.has_forgotten_targets = False
        self.crashes = crashes
        self.evacuated_zones: frozenset[str] = frozenset()
        self.cold = ColdTargets()
        self.index_version = 0
        self._by_service: dict[str, list[Target]] = {}
        # Incarnation by id of targets at whose address another process answers.
        # The platform's list may show them for some seconds more.
        self._replaced: dict[str, int] = {}

    def targets_of_service(self, service: str) -> list[Target]:
        """Returns the targets that run tasks of a service."""
        return self._by_service.get(service, [])

    def measured_speeds(self) -> dict[str, float]:
        """Returns the speeds by incarnation key, to pass to the next placer.

        Leaves out targets with fewer than `MIN_SPEED_SAMPLES` samples.
        """
        return {
            _incarnation_key(target): round(target.speed, 2)
            for target in self.targets.values()
            if target.speed_samples >= MIN_SPEED_SAMPLES
        }

    def restore_speeds(self, speeds: Mapping[str, float]) -> int:
        """Initializes speeds with the estimates of an earlier placer.

        Changes only targets without samples of this placer. Restored speeds do
        not count as samples, so that the first runs correct them quickly.

        Args:
            speeds: Speeds by incarnation key, from `measured_speeds`.

        Returns:
            Number of targets whose speed was restored.
        """
        restored = 0
        for target in self.targets.values():
            speed = speeds.get(_incarnation_key(target))
            if speed is not None and speed > 0 and not target.speed_samples:
                target.speed = speed
                restored += 1
        return restored

    def is_claiming(self, now: float) -> bool:
        """Returns whether claims with the present token may still succeed.

        That is so for `CLAIM_RETRY_S` after the first one, while targets have
        not answered a poll with it, or may be missing from the list.
        """
        return now - self.claims_began_at < CLAIM_RETRY_S and (
            not self.list_is_current
            or any(
                t.ownership is Ownership.CLAIMING for t in self.targets.values()
            )
        )

    def may_have_unseen_runs(self, job: Job, now: float) -> bool:
        """Returns whether an earlier placer's runs of a job may still continue.

        If that placer has released the job and named its targets, those have to
        show their runs under this placer's token after the job was offered.
        Otherwise the permission of that placer has to end: it may go on to start
        the job, on targets that are missing here, and on those that it takes back.
        """
        if now >= job.unseen_runs_until:
            return False
        if job.placed_elsewhere is None:
            return True
        offered_at = job.unseen_runs_until - self.options.permission_lifetime
        return not self.have_shown_runs(job.placed_elsewhere, offered_at)

    def have_shown_runs(self, target_ids: Iterable[str], since: float) -> bool:
        """Returns whether targets have reported to this placer since a time.

        Args:
            target_ids: Ids of the targets.
            since: Time in seconds; the polls must have been sent later.
        """
        targets = [self.targets.get(target_id) for target_id in target_ids]
        return all(
            target is not None
            and target.ownership is Ownership.OWNED
            and target.controlled_at >= since
            for target in targets
        )

    def has_unclaimed_targets(self, now: float) -> bool:
        """Returns whether other placers may control targets.

        These can also be missing from the list.
        """
        return (
            not self.list_is_current
            or now < self.list_complete_at
            or any(
                target.ownership is not Ownership.OWNED
                for target in self.targets.values()
            )
        )

    def count_claims(self) -> dict[str, int]:
        """Returns the number of known and of claimed targets, for the log."""
        owned = sum(
            t.ownership is Ownership.OWNED for t in self.targets.values()
        )
        return {"targets_known": len(self.targets), "targets_owned": owned}

    def owns_all(self, target_ids: Iterable[str]) -> bool:
        """Returns whether this placer controls all given targets."""
        targets = [self.targets.get(target_id) for target_id in target_ids]
        return all(
            target is not None and target.ownership is Ownership.OWNED
            for target in targets
        )

    def reconcile(
        self,
        records: Iterable[TargetRecord],
        dropped: Iterable[TargetRecord],
        now: float,
    ) -> None:
        """Updates the targets from a complete copy of the platform's list.

        Args:
            records: Targets in the list.
            dropped: Targets that were removed from the list in the last
                seconds.
            now: Current time in seconds.
        """
        records, dropped = self._without_replaced(records, dropped)
        for record in dropped:
            if record.target_id not in self.targets:
                self.targets[record.target_id] = Target(
                    record, record.capacity, listed=False, unlisted_at=now
                )
        listed = {record.target_id: record for record in records}
        for target_id, record in listed.items():
            self.list_version = max(self.list_version, record.version)
            target = self.targets.get(target_id)
            if target is None:
                target = Target(record, record.capacity)
                target.record_cold_time(record.cold_ms, now)
                self.targets[target_id] = target
                self.log_target_event("target listed", target_id, record)
            elif record.incarnation < target.record.incarnation:
                continue  # A poll already reported a later incarnation.
            elif record.incarnation > target.record.incarnation:
                self.replace_incarnation(target, record, now)
            else:
                self._update_record(target, record, now)
        for target_id, target in list(self.targets.items()):
            if target_id not in listed and target.listed:
                target.listed = False
                target.unlisted_at = now
                self.log_target_event(
                    "target no longer listed", target_id, target.record
                )
        self.rebuild_index()

    def drop_replaced(self, target: Target) -> None:
        """Removes a target at whose address another process answers."""
        target_id = target.record.target_id
        self._replaced[target_id] = target.record.incarnation
        self.targets.pop(target_id, None)
        self.rebuild_index()

    def _without_replaced(
        self, *lists: Iterable[TargetRecord]
    ) -> list[list[TargetRecord]]:
        """Returns the lists without records of processes that are gone.

        Forgets replaced targets that are in none of the lists.
        """
        lists = [list(records) for records in lists]
        ids = {record.target_id for records in lists for record in records}
        self._replaced = {
            target_id: incarnation
            for target_id, incarnation in self._replaced.items()
            if target_id in ids
        }
        return [
            [
                record
                for record in records
                if record.incarnation > self._replaced.get(record.target_id, -1)
            ]
            for records in lists
        ]

    def _update_record(
        self, target: Target, record: TargetRecord, now: float
    ) -> None:
        old = target.record
        if record != old:
            target.record_cold_time(record.cold_ms, now)
        target.listed = True
        target.record = record
        target.has_old_record = False
        if old.draining != record.draining:
            self.log_target_event(
                "target state changed", record.target_id, record
            )
        if old.capacity != record.capacity:
            used = old.capacity.minus(target.available)
            target.available = record.capacity.minus(used)

    def replace_incarnation(
        self, target: Target, record: TargetRecord, now: float
    ) -> Target:
        """Replaces a restarted target by its new incarnation.

        Commands address a target by id only, and one without an answer may be
        carried out later, by the new incarnation as well. Runs without a
        confirmed start become `DOUBTFUL` until its next report shows whether
        they exist.

        Returns:
            The target that replaces the old one.
        """
        self.log_target_event("target restarted", record.target_id, record)
        self.record_loss(target, LossState.CRASHED, now)
        replacement = Target(
            record, record.capacity, lease_end=target.lease_end
        )
        replacement.record_cold_time(record.cold_ms, now)
        for run in target.runs.values():
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.DOUBTFUL
                run.doubtful_at = now
            run.is_carried_over = True
            replacement.reserve(run)
            self.target_by_task[run.task_name] = replacement
        self.targets[record.target_id] = replacement
        self.rebuild_index()
        return replacement

    def record_loss(self, target: Target, state: LossState, now: float) -> None:
        """Records that a target was lost with all runs known to be there.

        Starts that got no answer count only if they are of one job: one of
        several may have crashed the target before the others arrived. Runs that
        an earlier incarnation had do not count until this one reports them:
        the loss of the earlier one has counted them.
        """
        runs = target.runs.values()
        unanswered = [run for run in runs if not run.confirmed_at]
        lost_starts = [
            run
            for run in unanswered
            if run.start_was_lost and not run.is_carried_over
        ]
        if len({run.job_id for run in unanswered}) > 1:
            lost_starts = []
        confirmed = [
            run.task_name
            for run in runs
            if run.confirmed_at and not run.is_carried_over
        ]
        self.crashes.record_loss(
            target.record.target_id,
            target.record.incarnation,
            target.runs,
            [*confirmed, *(run.task_name for run in lost_starts)],
            state,
            now,
            confirmed,
        )
        for run in lost_starts:
            if run.was_sent_to_live:
                self.crashes.blame_for_earlier_losses(run.task_name, now)

    def log_target_event(
        self,
        event: str,
        target_id: str,
        record: TargetRecord,
        **inputs: object,
    ) -> None:
        """Appends a decision about a target to the effects.

        Args:
            event: Text of the log line.
            target_id: Id of the target.
            record: Row of the target in the platform's list.
            **inputs: Further fields of the log line.
        """
        fields = {
            "target": target_id,
            "zone": record.zone,
            "service": record.service,
            "draining": record.draining,
            "version": record.version,
            **inputs,
        }
        self.effects.append(Decision(event, "", fields))

    def rebuild_index(self) -> None:
        """Rebuilds the index of targets by service, and marks evacuated ones."""
        self.index_version += 1
        self._by_service = {}
        for target in self.targets.values():
            target.is_evacuated = target.record.zone in self.evacuated_zones
            service = target.record.service
            self._by_service.setdefault(service, []).append(target)

    def forget(self, target: Target, now: float) -> None:
        """Removes an unlisted target."""
        target_id = target.record.target_id
        self.log_target_event(
            "target forgotten",
            target_id,
            target.record,
            unlisted_ms=int((now - target.unlisted_at) * 1000),
            contact_age_ms=int((now - target.last_contact_at) * 1000),
        )
        if target.unlisted_at < self.members_missing_at:
            self.has_forgotten_targets = True
        del self.targets[target_id]
        self.rebuild_index()

    def record_missing_members(self, now: float) -> None:
        """Records that members are missing; one may lead behind a partition."""
        self.members_missing_at = now
        if now < self.list_complete_at:
            self.list_complete_at = max(
                self.list_complete_at, now + UNLISTED_KEEP_S
            )

    def is_expired(self, target: Target, now: float) -> bool:
        """Returns whether an unlisted target need not be kept any longer.

        Silence alone does not show that it is gone.
        """
        kept_since = max(target.unlisted_at, self.members_missing_at)
        return not target.listed and now - kept_since > UNLISTED_KEEP_S
