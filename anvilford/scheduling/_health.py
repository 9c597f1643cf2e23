"""Detects failing and slow targets and probes them again after a backoff."""

import statistics
from collections.abc import Callable

from anvilford.scheduling._placement import Target

# A target is ejected after this many ends in a row without a success.
MAX_CONSECUTIVE_FAILURES = 3
# Healthy targets differ by up to 4 times in speed; slower ones are ejected.
MAX_RELATIVE_SLOWNESS = 6.0
MIN_SLOWNESS_RUNS = 4
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0


class HealthMonitor:
    """Decides which targets get no ordinary work.

    At most half of the targets are ejected at a time: when more look bad, the
    cause is more likely the work or the network than the targets.
    """

    def __init__(
        self,
        targets: dict[str, Target],
        request_wakeup: Callable[[float], None],
    ):
        self.targets = targets
        self.request_wakeup = request_wakeup

    def count_ejected(self) -> int:
        """Returns how many targets are ejected."""
        return sum(target.ejected for target in self.targets.values())

    def record_success(
        self, target: Target, is_probe: bool, now: float
    ) -> None:
        """Handles an attempt that ran to its end."""
        target.consecutive_failures = 0
        if self._is_slow(target):
            if not target.ejected or is_probe:
                self._eject(target, now)
        elif is_probe and target.ejected:
            target.ejected = False
            target.probe_backoff = 0.0

    def record_failure(
        self, target: Target, is_probe: bool, now: float
    ) -> None:
        """Handles an attempt that failed, was refused or got lost."""
        target.consecutive_failures += 1
        if target.ejected:
            if is_probe:
                self._eject(target, now)
        elif target.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            self._eject(target, now)

    def enforce_ejection_limit(self) -> None:
        """Readmits targets when the set of targets has shrunk."""
        ejected = [t for t in self.targets.values() if t.ejected]
        excess = len(ejected) - self._ejection_limit()
        if excess > 0:
            ejected.sort(key=lambda target: target.probe_at)
            for target in ejected[:excess]:
                target.ejected = False
                target.consecutive_failures = 0

    def _ejection_limit(self) -> int:
        return sum(t.view.accepting for t in self.targets.values()) // 2

    def _is_slow(self, target: Target) -> bool:
        if target.slowness_runs < MIN_SLOWNESS_RUNS:
            return False
        other_slowness = [
            t.slowness
            for t in self.targets.values()
            if t is not target and t.slowness_runs
        ]
        if not other_slowness:
            return False
        # The low median keeps two slow targets of four from being the norm.
        return target.slowness > MAX_RELATIVE_SLOWNESS * statistics.median_low(
            other_slowness
        )

    def _eject(self, target: Target, now: float) -> None:
        if (
            not target.ejected
            and self.count_ejected() + 1 > self._ejection_limit()
        ):
            return
        target.ejected = True
        target.probe_backoff = min(
            MAX_BACKOFF_SECONDS,
            max(MIN_BACKOFF_SECONDS, 2 * target.probe_backoff),
        )
        target.probe_at = now + target.probe_backoff
        self.request_wakeup(target.probe_at)
