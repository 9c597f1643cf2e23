"""Run time estimates from successful attempts."""

import math

import attrs

# Number of runs after which measured run times replace declared ones, which may
# be wrong by a factor of ten in either direction.
MIN_RUNS = 5
DEFAULT_RUN_TIME_SECONDS = 0.3
# Operation names come from callers, so the number of stored operations must be
# limited. The oldest is removed first.
MAX_OPERATIONS = 4096
_MIN_RUN_TIME_SECONDS = 1e-4


@attrs.define
class RunTimeStatistics:
    """Running mean and median of run times at a target of typical speed.

    Attributes:
        count: Number of recorded runs.
        log_median: Natural logarithm of the estimated median in seconds.
        mean: Exponential moving average, in seconds.
    """

    count: int = 0
    log_median: float = math.log(DEFAULT_RUN_TIME_SECONDS)
    mean: float = DEFAULT_RUN_TIME_SECONDS

    def record_run(self, seconds: float) -> None:
        """Updates the mean and the median.

        Args:
            seconds: Run time divided by the slowness of the target.
        """
        log_seconds = math.log(max(seconds, _MIN_RUN_TIME_SECONDS))
        self.count += 1
        if self.count == 1:
            self.log_median = log_seconds
            self.mean = seconds
            return
        # Steps of limited size towards each run time follow the median, so
        # that rare long runs hardly move it. The steps start large and shrink,
        # for quick convergence.
        step = max(0.02, 0.7 / self.count)
        self.log_median += math.copysign(
            min(step, abs(log_seconds - self.log_median)),
            log_seconds - self.log_median,
        )
        self.mean += (seconds - self.mean) * max(0.01, 1.0 / self.count)

    @property
    def median(self) -> float:
        """Estimated median run time in seconds."""
        return math.exp(self.log_median)


@attrs.define
class _TargetSlowness:
    """Estimated slowness of a target.

    Attributes:
        count: Number of runs in the estimate.
        log_factor: Natural logarithm of the slowness.
    """

    count: int = 0
    log_factor: float = 0.0


class RunTimes:
    """Run time estimates by operation and by service, slowness by target.

    The slowness of a target is its run time divided by that of a target of
    typical speed.

    Attributes:
        operations: Statistics by service name and operation name.
        services: Statistics of all tasks of a service, by service name.
        targets: Slowness by VM id.
    """

    def __init__(self):
        self.operations: dict[tuple[str, str], RunTimeStatistics] = {}
        self.services: dict[str, RunTimeStatistics] = {}
        self.targets: dict[str, _TargetSlowness] = {}

    def estimate(
        self, service: str, operation: str, declared_ms: float | None
    ) -> float:
        """Estimates the mean run time of a task at a target of typical speed.

        Args:
            service: Name of the service.
            operation: Name of the operation.
            declared_ms: Run time declared by the caller, in milliseconds;
                used while too few runs of the operation were measured.

        Returns:
            Run time in seconds.
        """
        statistics = self.operations.get((service, operation))
        if statistics is not None and statistics.count >= MIN_RUNS:
            return statistics.mean
        if declared_ms:
            return declared_ms / 1000
        if statistics is not None:
            return statistics.mean
        return DEFAULT_RUN_TIME_SECONDS

    def service_median_run_time(self, service: str) -> float | None:
        """Returns the median run time of all tasks of a service.

        Returns:
            Run time in seconds at a target of typical speed, or None after
            fewer than `MIN_RUNS` runs.
        """
        statistics = self.services.get(service)
        if statistics is None or statistics.count < MIN_RUNS:
            return None
        return statistics.median

    def operation_median_run_time(
        self, service: str, operation: str
    ) -> float | None:
        """Returns the median run time of an operation.

        Returns:
            Run time in seconds at a target of typical speed, or None after
            fewer than `MIN_RUNS` runs.
        """
        statistics = self.operations.get((service, operation))
        if statistics is None or statistics.count < MIN_RUNS:
            return None
        return statistics.median

    def is_long(self, service: str, operation: str, factor: float) -> bool:
        """Returns whether an operation takes much longer than its service.

        Args:
            service: Name of the service.
            operation: Name of the operation.
            factor: Minimum ratio of the median run time of the operation to
                that of the service.

        Returns:
            Whether the ratio is reached; False after too few runs.
        """
        statistics = self.operations.get((service, operation))
        if statistics is None or statistics.count < MIN_RUNS:
            return False
        median_run_time = self.service_median_run_time(service)
        return (
            median_run_time is not None
            and statistics.median >= factor * median_run_time
        )

    def slowness(self, target_id: str) -> float:
        """Returns the slowness of a target; 1.0 if the target is unknown."""
        target = self.targets.get(target_id)
        return 1.0 if target is None else math.exp(target.log_factor)

    def record_run(
        self, service: str, operation: str, target_id: str, seconds: float
    ) -> None:
        """Updates all estimates with a successful attempt.

        Args:
            service: Name of the service.
            operation: Name of the operation.
            target_id: VM id of the target.
            seconds: Run time of the attempt.
        """
        target = self.targets.setdefault(target_id, _TargetSlowness())
        statistics = self._operation_statistics(service, operation)
        if statistics.count >= MIN_RUNS:
            error = (
                math.log(max(seconds, _MIN_RUN_TIME_SECONDS))
                - statistics.log_median
                - target.log_factor
            )
            target.count += 1
            # The limit of the error keeps a single long run from making a
            # target appear slow.
            target.log_factor += max(-1.0, min(1.0, error)) * max(
                0.05, 1.0 / (target.count + 1)
            )
        normalized_seconds = seconds / math.exp(target.log_factor)
        statistics.record_run(normalized_seconds)
        self.services.setdefault(service, RunTimeStatistics()).record_run(
            normalized_seconds
        )

    def retain_targets(self, target_ids: set[str]) -> None:
        """Removes the slowness of all targets except `target_ids`."""
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
