"""What a service offers at a moment."""

from collections.abc import Iterable

import attrs

from anvilford.placement._admission import Capacity
from anvilford.placement._admission import total_capacity
from anvilford.placement._choice import is_usable
from anvilford.placement._state import Target


@attrs.frozen
class ServiceView:
    """Usable targets of a service.

    Attributes:
        targets: Targets that may take tasks, the fastest first.
        capacity: What they can do together.
        made_at: Time of the view.
    """

    targets: list[Target]
    capacity: Capacity
    created_at: float


def build_view(targets: Iterable[Target], now: float) -> ServiceView:
    """Looks all targets of a service over."""
    usable = [target for target in targets if is_usable(target, now)]
    usable.sort(key=lambda target: -target.speed)
    return ServiceView(usable, total_capacity(usable), now)
