"""The targets of a placer, as the platform lists them."""

from collections.abc import Iterable
from collections.abc import Mapping

from anvilford.placement._model import PlacementOptions
from anvilford.placement._model import TargetRecord
from anvilford.placement._orders import Decision
from anvilford.placement._orders import Effect
from anvilford.placement._state import Job
from anvilford.placement._state import Ownership
from anvilford.placement._state import RunPhase
from anvilford.placement._state import Target

CLAIM_RETRY_S = 0.25
# A target that the list dropped is kept this long, because it may be behind a
# partition with runs of another placer; the longest cuts last 12 s.
UNLISTED_KEEP_S = 20.0

# Speeds of fewer runs say more of the tasks than of the target.
MIN_SPEED_SAMPLES = 3


def _incarnation_key(target: Target) -> str:
    """Names a life of a target; another life may be of another kind."""
    return f"{target.record.target_id}/{target.record.incarnation}"


class TargetList:
    """Targets by id and by service.

    Attributes:
        started_at: When the placer began.
        options: Parameters.
        effects: Where decisions go.
        targets: Targets by id.
        placed: Targets that may have a task, by its name.
        list_version: Highest version in the platform's list.
    """

    def __init__(
        self, now: float, options: PlacementOptions, effects: list[Effect]
    ):
        self.started_at = now
        self.options = options
        self.effects = effects
        self.targets: dict[str, Target] = {}
        self.target_by_task: dict[str, Target] = {}
        self.list_version = 0
        self._by_service: dict[str, list[Target]] = {}

    def targets_of_service(self, service: str) -> list[Target]:
        """Targets that run a service."""
        return self._by_service.get(service, [])

    def measured_speeds(self) -> dict[str, float]:
        """Speeds of the targets that have run enough, for the next placer."""
        return {
            _incarnation_key(target): round(target.speed, 2)
            for target in self.targets.values()
            if target.speed_samples >= MIN_SPEED_SAMPLES
        }

    def restore_speeds(self, speeds: Mapping[str, float]) -> int:
        """Takes an earlier placer's speeds for targets that have not run yet.

        They count as no sample, so that the first runs here correct them fast.

        Returns:
            Number of targets whose speed was taken.
        """
        restored = 0
        for target in self.targets.values():
            speed = speeds.get(_incarnation_key(target))
            if speed is not None and speed > 0 and not target.speed_samples:
                target.speed = speed
                restored += 1
        return restored

    def is_claiming(self, now: float) -> bool:
        """Whether the first polls of this placer are still under way."""
        return now - self.started_at < CLAIM_RETRY_S and any(
            t.ownership is Ownership.CLAIMING for t in self.targets.values()
        )

    def may_have_unseen_runs(self, job: Job, now: float) -> bool:
        """Whether another placer's runs of a job may go on unseen."""
        if now >= job.unseen_runs_until:
            return False
        if job.placed_elsewhere is not None:
            return any(not self._owns(name) for name in job.placed_elsewhere)
        return now < self.options.list_complete_at or any(
            target.ownership is not Ownership.OWNED
            for target in self.targets.values()
        )

    def _owns(self, target_id: str) -> bool:
        target = self.targets.get(target_id)
        return target is not None and target.ownership is Ownership.OWNED

    def reconcile(
        self,
        records: Iterable[TargetRecord],
        dropped: Iterable[TargetRecord],
        now: float,
    ) -> None:
        """Applies the platform's whole list.

        Args:
            records: Targets in the list.
            dropped: Targets that were in it until some seconds ago.
            now: Time.
        """
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
                self.targets[target_id] = Target(record, record.capacity)
                self.log_target_event("target listed", target_id, record)
            elif record.incarnation < target.record.incarnation:
                continue  # The list lags behind what the target itself said.
            elif record.incarnation > target.record.incarnation:
                self.replace_incarnation(target, record, now)
            else:
                self._update_record(target, record)
        for target_id, target in list(self.targets.items()):
            if target_id not in listed and target.listed:
                target.listed = False
                target.unlisted_at = now
                self.log_target_event(
                    "target no longer listed", target_id, target.record
                )
        self.rebuild_index()

    def _update_record(self, target: Target, record: TargetRecord) -> None:
        old = target.record
        target.listed = True
        target.record = record
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
        """Replaces a target by its next life, under the same id.

        Orders name the id only, so starts since the restart have reached the
        new life. Its first report tells which runs are there.
        """
        self.log_target_event("target restarted", record.target_id, record)
        replacement = Target(
            record, record.capacity, lease_end=target.lease_end
        )
        for run in target.runs.values():
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.DOUBTFUL
                run.doubtful_at = now
            replacement.reserve(run)
            self.target_by_task[run.task_name] = replacement
        self.targets[record.target_id] = replacement
        self.rebuild_index()
        return replacement

    def log_target_event(
        self, event: str, target_id: str, record: TargetRecord
    ) -> None:
        fields = {
            "target": target_id,
            "zone": record.zone,
            "service": record.service,
            "draining": record.draining,
            "version": record.version,
        }
        self.effects.append(Decision(event, "", fields))

    def rebuild_index(self) -> None:
        self._by_service = {}
        for target in self.targets.values():
            service = target.record.service
            self._by_service.setdefault(service, []).append(target)

    def is_expired(self, target: Target, now: float) -> bool:
        return not target.listed and now - target.unlisted_at > UNLISTED_KEEP_S
