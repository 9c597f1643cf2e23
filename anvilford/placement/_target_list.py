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
ENOUGH_SAMPLES = 3


def _life_key(target: Target) -> str:
    """Names a life of a target; another life may be of another kind."""
    return f"{target.record.target_id}/{target.record.life}"


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
        self.placed: dict[str, Target] = {}
        self.list_version = 0
        self._by_service: dict[str, list[Target]] = {}

    def of_service(self, service: str) -> list[Target]:
        """Targets that run a service."""
        return self._by_service.get(service, [])

    def learned_speeds(self) -> dict[str, float]:
        """Speeds of the targets that have run enough, for the next placer."""
        return {
            _life_key(target): round(target.speed, 2)
            for target in self.targets.values()
            if target.samples >= ENOUGH_SAMPLES
        }

    def assume_speeds(self, speeds: Mapping[str, float]) -> int:
        """Takes an earlier placer's speeds for targets that have not run yet.

        They count as no sample, so that the first runs here correct them fast.

        Returns:
            Number of targets whose speed was taken.
        """
        taken = 0
        for target in self.targets.values():
            speed = speeds.get(_life_key(target))
            if speed is not None and speed > 0 and not target.samples:
                target.speed = speed
                taken += 1
        return taken

    def is_claiming(self, now: float) -> bool:
        """Whether the first polls of this placer are still under way."""
        return now - self.started_at < CLAIM_RETRY_S and any(
            t.ownership is Ownership.CLAIMING for t in self.targets.values()
        )

    def has_unknown(self, job: Job, now: float) -> bool:
        """Whether another placer's runs of a job may go on unseen."""
        if now >= job.unknown_until:
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

    def apply_list(
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
                self.note("target listed", target_id, record)
            elif record.life < target.record.life:
                continue  # The list lags behind what the target itself said.
            elif record.life > target.record.life:
                self.renew(target, record, now)
            else:
                self._update(target, record)
        for target_id, target in list(self.targets.items()):
            if target_id not in listed and target.listed:
                target.listed = False
                target.unlisted_at = now
                self.note("target no longer listed", target_id, target.record)
        self.index()

    def _update(self, target: Target, record: TargetRecord) -> None:
        old = target.record
        target.listed = True
        target.record = record
        if old.draining != record.draining:
            self.note("target state changed", record.target_id, record)
        if old.capacity != record.capacity:
            used = old.capacity.minus(target.room)
            target.room = record.capacity.minus(used)

    def renew(self, target: Target, record: TargetRecord, now: float) -> Target:
        """Replaces a target by its next life, under the same id.

        Orders name the id only, so starts since the restart have reached the
        new life. Its first report tells which runs are there.
        """
        self.note("target restarted", record.target_id, record)
        renewed = Target(record, record.capacity, lease_end=target.lease_end)
        for run in target.runs.values():
            if run.phase is RunPhase.ORDERED:
                run.phase = RunPhase.DOUBTFUL
                run.doubtful_at = now
            renewed.reserve(run)
            self.placed[run.name] = renewed
        self.targets[record.target_id] = renewed
        self.index()
        return renewed

    def note(self, event: str, target_id: str, record: TargetRecord) -> None:
        fields = {
            "target": target_id,
            "zone": record.zone,
            "service": record.service,
            "draining": record.draining,
            "version": record.version,
        }
        self.effects.append(Decision(event, "", fields))

    def index(self) -> None:
        self._by_service = {}
        for target in self.targets.values():
            service = target.record.service
            self._by_service.setdefault(service, []).append(target)

    def is_gone(self, target: Target, now: float) -> bool:
        return not target.listed and now - target.unlisted_at > UNLISTED_KEEP_S
