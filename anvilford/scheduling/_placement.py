"""Which target a task runs at."""

import random
from collections.abc import Mapping

import attrs

from anvilford.scheduling._policy import TargetView


@attrs.define(eq=False)
class Target:
    """A target and what this dispatcher knows about it.

    Attributes:
        view: The target as membership and shares describe it.
        in_use: Slots occupied by attempts of this dispatcher.
        is_leaving: Whether the target itself said that it is leaving.
        busy_slot_limit: Slots that were in use when it last refused a task.
        busy_limit_until: Loop time until which `busy_slot_limit` is in force.
        busy_backoff: Length of time of the last limit, in seconds.
        slowness: Run time here divided by the ordinary run time.
        slowness_runs: Number of runs behind `slowness`.
        consecutive_failures: Ends in a row without a success.
        ejected: Whether it gets no work except probes.
        probe_at: Loop time of the next probe of an ejected target.
        is_probing: Whether a probe is running.
        probe_backoff: Time from the last ejection to its probe, in seconds.
    """

    view: TargetView
    in_use: int = 0
    is_leaving: bool = False
    busy_slot_limit: int = 0
    busy_limit_until: float = 0.0
    busy_backoff: float = 0.0
    slowness: float = 1.0
    slowness_runs: int = 0
    consecutive_failures: int = 0
    ejected: bool = False
    probe_at: float = 0.0
    is_probing: bool = False
    probe_backoff: float = 0.0

    def is_usable(self) -> bool:
        """Tells whether new work may go here at all."""
        return (
            self.view.accepting and not self.is_leaving and self.view.slots > 0
        )


class Placement:
    """Chooses the free target with the earliest expected finish."""

    def __init__(
        self, zone: str, targets: dict[str, Target], rng: random.Random
    ):
        self.zone = zone
        self.targets = targets
        self.rng = rng
        self.remote_delay = 0.001

    def count_slots(self) -> int:
        """Returns how many slots take ordinary work."""
        return sum(target.view.slots for target in self._capacity_targets())

    def capacity(self) -> float:
        """Returns seconds of ordinary work done per second at full use."""
        return sum(
            target.view.slots / target.slowness
            for target in self._capacity_targets()
        )

    def count_free_slots(self) -> int:
        """Returns how many slots are free, by this dispatcher's own use."""
        return sum(
            max(0, target.view.slots - target.in_use)
            for target in self._capacity_targets()
        )

    def _capacity_targets(self) -> list[Target]:
        # Slots in other zones are shared with their own entries and may all
        # be busy, so they count only when the own zone has none.
        usable = [
            target
            for target in self.targets.values()
            if target.is_usable() and not target.ejected
        ]
        own_zone = [t for t in usable if t.view.zone == self.zone]
        return own_zone or usable

    def find_probe_target(self, now: float) -> Target | None:
        """Returns an ejected target that is due for a probe."""
        for target in self.targets.values():
            if (
                target.ejected
                and not target.is_probing
                and target.probe_at <= now
                and target.is_usable()
                and target.in_use < target.view.slots
            ):
                return target
        return None

    def choose_target(
        self,
        run_time: float,
        avoided_target: str,
        zone_backoffs: Mapping[str, tuple[float, float]] | None,
        now: float,
    ) -> Target | None:
        """Chooses a target for a task.

        Args:
            run_time: Run time at a target of ordinary speed, in seconds.
            avoided_target: Target to use only when no other is free; may be empty.
            zone_backoffs: Zones that are paused, with the end of the pause; None
                when targets in other zones may not be used.
            now: Loop time in seconds.

        Returns:
            The target, or None when no slot is free.
        """
        best = fallback = None
        best_cost = 0.0
        for target in self.targets.values():
            view = target.view
            if (
                target.in_use >= view.slots
                or target.ejected
                or target.is_leaving
                or not view.accepting
                or (
                    target.busy_limit_until > now
                    and target.in_use >= target.busy_slot_limit
                )
            ):
                continue
            if view.target_id == avoided_target:
                fallback = target
                continue
            cost = run_time * target.slowness
            if view.zone != self.zone:
                if zone_backoffs is None or (
                    view.zone in zone_backoffs
                    and zone_backoffs[view.zone][0] > now
                ):
                    continue
                cost += 2 * self.remote_delay
            # Spreads equal targets by use; the noise keeps dispatchers that
            # share targets from choosing the same one.
            cost += 1e-3 * (target.in_use / view.slots)
            cost += 1e-5 * self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = target, cost
        return best or fallback
