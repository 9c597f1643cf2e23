"""Selection of the target for a task."""

import random
from collections.abc import Mapping

import attrs

from anvilford.scheduling._policy import TargetView


@attrs.define(eq=False)
class Target:
    """A target and its state in this dispatcher.

    Attributes:
        view: Address, zone and usable slots, replaced by
            `Dispatcher.apply_targets`.
        in_use: Number of slots occupied by attempts of this dispatcher.
        is_leaving: Whether the target refused a task because it is leaving.
        busy_slot_limit: Value of `in_use` after the last refused task.
        busy_limit_until: Loop time in seconds until which at most
            `busy_slot_limit` slots are used.
        busy_backoff: Duration of the last such limit, in seconds.
        slowness: Run time at this target divided by that at a target of typical
            speed.
        slowness_runs: Number of successful runs at this target.
        consecutive_failures: Number of failures since the last success.
        ejected: Whether the target gets only probes.
        probe_at: Loop time in seconds from which an ejected target is probed.
        is_probing: Whether a probe is running.
        probe_backoff: Time from the last ejection to the probe, in seconds.
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
        """Returns whether the target accepts tasks and has slots at all."""
        return (
            self.view.accepting and not self.is_leaving and self.view.slots > 0
        )


class Placement:
    """Chooses the free target with the shortest expected run time.

    Attributes:
        zone: Availability zone of the entry.
        targets: Targets by VM id, shared with the dispatcher.
        rng: Source of randomness, for ties between targets.
        remote_delay: Expected one-way delay to other zones, in seconds;
            replaced when a policy is applied.
    """

    def __init__(
        self, zone: str, targets: dict[str, Target], rng: random.Random
    ):
        self.zone = zone
        self.targets = targets
        self.rng = rng
        self.remote_delay = 0.001

    def count_slots(self) -> int:
        """Returns the number of slots, free or not, for ordinary work."""
        return sum(target.view.slots for target in self._capacity_targets())

    def capacity(self) -> float:
        """Returns the capacity of all slots, in seconds of work per second.

        Work is measured as run time at a target of typical speed.
        """
        return sum(
            target.view.slots / target.slowness
            for target in self._capacity_targets()
        )

    def count_free_slots(self) -> int:
        """Returns the number of slots that this dispatcher does not use."""
        return sum(
            max(0, target.view.slots - target.in_use)
            for target in self._capacity_targets()
        )

    def _capacity_targets(self) -> list[Target]:
        # Slots in other zones are shared with the entries there and may all be
        # busy, so they count only if the own zone has no usable target.
        usable = [
            target
            for target in self.targets.values()
            if target.is_usable() and not target.ejected
        ]
        own_zone = [t for t in usable if t.view.zone == self.zone]
        return own_zone or usable

    def find_probe_target(self, now: float) -> Target | None:
        """Returns an ejected target whose probe is due, or None."""
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
        """Chooses a target with a free slot for a task.

        Args:
            run_time: Expected run time at a target of typical speed, in
                seconds.
            avoided_target: VM id of a target to use only if no other is free;
                may be empty.
            zone_backoffs: For each other zone with a back-off, the loop time of
                its end and its length, in seconds; None if targets in other
                zones may not be used.
            now: Loop time in seconds.

        Returns:
            The target, or None if no slot is free.
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
            # Among equally fast targets the least used one is preferred. The
            # random term keeps dispatchers that share targets from choosing the
            # same one.
            cost += 1e-3 * (target.in_use / view.slots)
            cost += 1e-5 * self.rng.random()
            if best is None or cost < best_cost:
                best, best_cost = target, cost
        return best or fallback
