"""Snapshot of the usable targets of a service."""

from collections.abc import Iterable

import attrs

from anvilford.placement._admission import Capacity
from anvilford.placement._admission import total_capacity
from anvilford.placement._choice import is_usable
from anvilford.placement._state import Target


@attrs.frozen
class ServiceView:
    """Usable targets of a service at one point in time.

    Attributes:
        targets: Warm targets on which tasks may start, the fastest first.
        cold_targets: Cold ones.
        capacity: Total capacity of the warm targets.
        index_version: `TargetList.index_version` at that time.
        created_at: Time of the snapshot.
    """

    targets: list[Target]
    cold_targets: list[Target]
    capacity: Capacity
    index_version: int
    created_at: float

    def with_room(self, cpu_millis: int) -> tuple[list[Target], list[Target]]:
        """Returns the warm and the cold targets with free cores.

        Args:
            cpu_millis: Least number of free cores, in thousandths.
        """
        return (
            [t for t in self.targets if t.available.cpu_millis >= cpu_millis],
            [
                t
                for t in self.cold_targets
                if t.available.cpu_millis >= cpu_millis
            ],
        )


def build_view(
    targets: Iterable[Target], index_version: int, now: float
) -> ServiceView:
    """Returns a view of the usable ones among a service's targets."""
    usable = [target for target in targets if is_usable(target, now)]
    warm = [target for target in usable if target.cold_until <= now]
    warm.sort(key=lambda target: -target.speed)
    cold = [target for target in usable if target.cold_until > now]
    return ServiceView(warm, cold, total_capacity(warm), index_version, now)
