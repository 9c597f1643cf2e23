"""Detects failing and slow targets and probes them again after a backoff."""

import statistics
from collections.abc import Callable

from anvilford.scheduling._placement import Target

# A target is ejected after this many ends in a row without a success.
MAX_FAILURES = 3
# Healthy targets differ by up to 4 times in speed; slower ones are ejected.
SLOW_FACTOR = 6.0
MIN_SLOW_OBSERVATIONS = 4
FIRST_BACKOFF = 1.0
MAX_BACKOFF = 30.0


class HealthMonitor:
    """Decides which targets get no ordinary work.

    At most half of the targets are ejected at a time: when more look bad, the
    cause is more likely the work or the network than the targets.
    """

    def __init__(
        self,
        targets: dict[str, Target],
        wake_at: Callable[[float], None],
    ):
        self.targets = targets
        self.wake_at = wake_at

    def ejected(self) -> int:
        """Returns how many targets are ejected."""
        return sum(target.ejected for target in self.targets.values())

    def observe_success(self, target: Target, probe: bool, now: float) -> None:
        """Handles an attempt that ran to its end."""
        target.failures = 0
        if self._is_slow(target):
            if not target.ejected or probe:
                self._eject(target, now)
        elif probe and target.ejected:
            target.ejected = False
            target.backoff = 0.0

    def observe_failure(self, target: Target, probe: bool, now: float) -> None:
        """Handles an attempt that failed, was refused or got lost."""
        target.failures += 1
        if target.ejected:
            if probe:
                self._eject(target, now)
        elif target.failures >= MAX_FAILURES:
            self._eject(target, now)

    def enforce_cap(self) -> None:
        """Readmits targets when the set of targets has shrunk."""
        ejected = [t for t in self.targets.values() if t.ejected]
        excess = len(ejected) - self._cap()
        if excess > 0:
            ejected.sort(key=lambda target: target.probe_at)
            for target in ejected[:excess]:
                target.ejected = False
                target.failures = 0

    def _cap(self) -> int:
        return sum(t.view.accepting for t in self.targets.values()) // 2

    def _is_slow(self, target: Target) -> bool:
        if target.observations < MIN_SLOW_OBSERVATIONS:
            return False
        peers = [
            t.slowness
            for t in self.targets.values()
            if t is not target and t.observations
        ]
        if not peers:
            return False
        # The low median keeps two slow targets of four from being the norm.
        return target.slowness > SLOW_FACTOR * statistics.median_low(peers)

    def _eject(self, target: Target, now: float) -> None:
        if not target.ejected and self.ejected() + 1 > self._cap():
            return
        target.ejected = True
        target.backoff = min(
            MAX_BACKOFF, max(FIRST_BACKOFF, 2 * target.backoff)
        )
        target.probe_at = now + target.backoff
        self.wake_at(target.probe_at)
