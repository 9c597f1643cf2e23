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
        targets: Targets on which tasks may start, the fastest first.
        capacity: Total capacity of these targets.
        index_version: `TargetList.index_version` at that time.
        created_at: Time of the snapshot.
    """

    targets: list[Target]
    capacity: Capacity
    index_version: int
    created_at: float


def build_view(
    targets: Iterable[Target], index_version: int, now: float
) -> ServiceView:
    """Returns a view of the usable ones among a service's targets."""
    usable = [target for target in targets if is_usable(target, now)]
    usable.sort(key=lambda target: -target.speed)
    return ServiceView(usable, total_capacity(usable), index_version, now)
