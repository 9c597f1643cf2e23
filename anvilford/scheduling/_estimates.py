"""Run times learned from finished attempts."""

import math

import attrs

# Declared run times may be wrong by a factor of ten either way, so they count
# only until this many runs were seen.
MIN_RUNS = 5
DEFAULT_RUN_TIME_SECONDS = 0.3
# Operation names come from callers; the bound keeps the table small.
MAX_OPERATIONS = 4096
_MIN_RUN_TIME_SECONDS = 1e-4


@attrs.define
class RunTimeStatistics:
    """Run time of one kind of task at a target of ordinary speed.

    Attributes:
        count: Observations so far.
        log_median: Natural logarithm of the tracked median, in seconds.
        mean: Moving average, in seconds.
    """

    count: int = 0
    log_median: float = math.log(DEFAULT_RUN_TIME_SECONDS)
    mean: float = DEFAULT_RUN_TIME_SECONDS

    def record_run(self, seconds: float) -> None:
        """Adds one observation, already divided by the target's slowness."""
        log_seconds = math.log(max(seconds, _MIN_RUN_TIME_SECONDS))
        self.count += 1
        if self.count == 1:
            self.log_median = log_seconds
            self.mean = seconds
            return
        # Steps by sign follow the median, so that rare long runs do not move
        # it; they shrink from large to small to converge quickly.
        step = max(0.02, 0.7 / self.count)
        self.log_median += math.copysign(
            min(step, abs(log_seconds - self.log_median)),
            log_seconds - self.log_median,
        )
        self.mean += (seconds - self.mean) * max(0.01, 1.0 / self.count)

    @property
    def median(self) -> float:
        """Median in seconds."""
        return math.exp(self.log_median)


@attrs.define
class _TargetSlowness:
    count: int = 0
    log_factor: float = 0.0


class RunTimes:
    """Learned run times per operation and slowness per target."""

    def __init__(self):
        self.operations: dict[tuple[str, str], RunTimeStatistics] = {}
        self.services: dict[str, RunTimeStatistics] = {}
        self.targets: dict[str, _TargetSlowness] = {}

    def estimate(
        self, service: str, operation: str, declared_ms: float | None
    ) -> float:
        """Returns the mean run time expected at ordinary speed, in seconds."""
        statistics = self.operations.get((service, operation))
        if statistics is not None and statistics.count >= MIN_RUNS:
            return statistics.mean
        if declared_ms:
            return declared_ms / 1000
        if statistics is not None:
            return statistics.mean
        return DEFAULT_RUN_TIME_SECONDS

    def service_median(self, service: str) -> float | None:
        """Returns the median run time of all tasks of a service, if known."""
        statistics = self.services.get(service)
        if statistics is None or statistics.count < MIN_RUNS:
            return None
        return statistics.median

    def operation_median(self, service: str, operation: str) -> float | None:
        """Returns the median run time of an operation, if learned."""
        statistics = self.operations.get((service, operation))
        if statistics is None or statistics.count < MIN_RUNS:
            return None
        return statistics.median

    def is_long(self, service: str, operation: str, factor: float) -> bool:
        """Tells whether an operation usually runs `factor` times the median."""
        statistics = self.operations.get((service, operation))
        if statistics is None or statistics.count < MIN_RUNS:
            return False
        service_median = self.service_median(service)
        return (
            service_median is not None
            and statistics.median >= factor * service_median
        )

    def slowness(self, target_id: str) -> float:
        """Returns run time at a target divided by the ordinary run time."""
        target = self.targets.get(target_id)
        return 1.0 if target is None else math.exp(target.log_factor)

    def record_run(
        self, service: str, operation: str, target_id: str, seconds: float
    ) -> None:
        """Learns from one attempt that ran to its end."""
        target = self.targets.setdefault(target_id, _TargetSlowness())
        statistics = self._operation_statistics(service, operation)
        if statistics.count >= MIN_RUNS:
            error = (
                math.log(max(seconds, _MIN_RUN_TIME_SECONDS))
                - statistics.log_median
                - target.log_factor
            )
            target.count += 1
            # The clip keeps a single long run from marking a target as slow.
            target.log_factor += max(-1.0, min(1.0, error)) * max(
                0.05, 1.0 / (target.count + 1)
            )
        normalized_seconds = seconds / math.exp(target.log_factor)
        statistics.record_run(normalized_seconds)
        self.services.setdefault(service, RunTimeStatistics()).record_run(
            normalized_seconds
        )

    def retain_targets(self, target_ids: set[str]) -> None:
        """Drops what was learned about targets that no longer exist."""
        for target_id in self.targets.keys() - target_ids:
            del self.targets[target_id]

    def _operation_statistics(
        self, service: str, operation: str
    ) -> RunTimeStatistics:
        key = (service, operation)
        statistics = self.operations.get(key)
        if statistics is None:
            if len(self.operations) >= MAX_OPERATIONS:
                del self.operations[next(iter(self.operations))]
            statistics = self.operations[key] = RunTimeStatistics()
        return statistics
