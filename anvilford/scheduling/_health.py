"""Ejects failing and slow targets and schedules probes of them."""

import statistics
from collections.abc import Callable

from anvilford.scheduling._placement import Target

# A target is ejected after this many consecutive failures.
MAX_CONSECUTIVE_FAILURES = 3
# A target is ejected when its slowness exceeds this multiple of the median of
# the other targets. Healthy targets differ in speed by a factor of up to 4.
MAX_RELATIVE_SLOWNESS = 6.0
# Number of successful runs before the slowness of a target is judged.
MIN_SLOWNESS_RUNS = 4
# Limits of the time from an ejection to the probe. The time doubles each time a
# probe fails or is slow.
MIN_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0


class HealthMonitor:
    """Ejects targets, so that they get only probes, and readmits them.

    At most half of the targets are ejected at a time. If more of them fail or
    are slow, the cause is more likely the work or the network.

    Attributes:
        targets: Targets by VM id, shared with the dispatcher.
        request_wakeup: Requests a call of `Dispatcher.advance` at a loop time
            in seconds.
    """

    def __init__(
        self,
        targets: dict[str, Target],
        request_wakeup: Callable[[float], None],
    ):
        self.targets = targets
        self.request_wakeup = request_wakeup

    def count_ejected(self) -> int:
        """Returns the number of ejected targets."""
        return sum(target.ejected for target in self.targets.values())

    def record_success(
        self, target: Target, is_probe: bool, now: float
    ) -> None:
        """Updates a target after a successful attempt.

        Ejects the target if it is slow; otherwise readmits it if the attempt
        was its probe.

        Args:
            target: Target that ran the task; its slowness is up to date.
            is_probe: Whether the attempt was a probe.
            now: Loop time in seconds.
        """
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
        """Updates a target after a failed, refused or lost attempt.

        Args:
            target: Target to which the task was sent.
            is_probe: Whether the attempt was a probe.
            now: Loop time in seconds.
        """
        target.consecutive_failures += 1
        if target.ejected:
            if is_probe:
                self._eject(target, now)
        elif target.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            self._eject(target, now)

    def enforce_ejection_limit(self) -> None:
        """Readmits targets until at most half of them are ejected.

        Must be called whenever the set of targets changes. Targets whose probe
        is due first are readmitted first.
        """
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
        # The low median is that of a healthy target even if half of the other
        # targets are slow, such as two of four.
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
